#include <string.h>

#include "process/backends_state.h"

/* Fraction of the rate of a cold server that is used: when the list of nodes
 * changes, nodes briefly disagree on which of them use the server. */
#define COLD_RATE_FRACTION 0.8

void backends_set_nodes(backends_t *backends, const uint64_t *nodes,
			size_t count, uint64_t own, int64_t now_us)
{
	limit_nodes_set(&backends->nodes, nodes, count, own, now_us);
	if (backends->paces)
		pace_set_nodes(backends->paces, own, count);
}

bool backend_is_cold(const backend_t *backend, int64_t now_us)
{
	return now_us < backend->cold_until_us;
}

/* Each node that uses a cold server may save up one request, so there are fewer
 * of them than requests allowed beyond the rate. */
static limit_t cold_limit(const backend_t *backend,
			  const service_conf_t *service)
{
	const backends_conf_t *conf = &backend->table->conf;

	return (limit_t){ .server_hash = backend->hash,
			  .per_s = service->cold_requests_per_s *
				   conf->cold_factor * COLD_RATE_FRACTION,
			  .users = conf->cold_slack - 1 };
}

/* @return true if the cold limit applies to the server now. */
static bool has_cold_limit(const backend_t *backend,
			   const service_conf_t *service, int64_t now_us)
{
	return service->cold_requests_per_s > 0 &&
	       backend_is_cold(backend, now_us);
}

static bool cold_allows(backend_t *backend, const service_conf_t *service,
			int64_t now_us)
{
	limit_t limit;

	if (!has_cold_limit(backend, service, now_us))
		return true;
	limit = cold_limit(backend, service);
	return limit_share_allows(&backend->cold_share, &limit,
				  &backend->table->nodes, now_us);
}

bool backend_is_limited(const backend_t *backend)
{
	return backend->table &&
	       server_rates_per_s(backend->table->rates, backend->hash) >= 0;
}

bool backend_allows(backend_t *backend, const service_conf_t *service,
		    int64_t now_us)
{
	backends_t *table = backend->table;

	return !table || (cold_allows(backend, service, now_us) &&
			  server_rates_allow(table->rates, backend->hash,
					     &table->nodes, now_us));
}

bool backend_would_allow(const backend_t *backend,
			 const service_conf_t *service, int64_t now_us)
{
	const backends_t *table = backend->table;
	limit_share_t share = backend->cold_share;
	limit_t limit = cold_limit(backend, service);

	return (!has_cold_limit(backend, service, now_us) ||
		limit_share_allows(&share, &limit, &table->nodes, now_us)) &&
	       server_rates_would_allow(table->rates, backend->hash,
					&table->nodes, now_us);
}

bool backend_take(backend_t *backend, const service_conf_t *service,
		  int64_t now_us)
{
	if (!backend_allows(backend, service, now_us))
		return false;
	if (!backend->table)
		return true;
	if (has_cold_limit(backend, service, now_us))
		limit_share_take(&backend->cold_share);
	server_rates_take(backend->table->rates, backend->hash);
	return true;
}

static int64_t later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Keeps the earlier one of two times that are in the future. */
static void keep_first(int64_t *first_us, int64_t at_us, int64_t now_us)
{
	if (at_us > now_us && at_us < *first_us)
		*first_us = at_us;
}

accept_times_t backends_accept_times(backends_t *backends, const char *service,
				     int64_t now_us)
{
	accept_times_t first = { INT64_MAX, INT64_MAX };
	backend_t *server, *next;

	HASH_ITER (hh, backends->servers, server, next) {
		int64_t rejects_us = server->rejects_until_us;
		accept_times_t times;

		if (strcmp(server->entry.service, service) != 0 ||
		    !backend_in_service(server, now_us))
			continue;
		times = server_rates_next(backends->rates, server->hash,
					  &backends->nodes, now_us);
		keep_first(&first.here_us, later(times.here_us, rejects_us),
			   now_us);
		keep_first(&first.anywhere_us,
			   later(times.anywhere_us, rejects_us), now_us);
	}
	return first;
}

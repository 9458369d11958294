#include <stdlib.h>

#include "base/mem.h"
#include "process/backends_state.h"

/* A service is cut off when connections failed to so many of the servers that
 * were tried last, or to all if it has fewer servers: some may be down, and
 * some may be left in a partition of nearly all. */
enum { LAST_TRIED = 4, LAST_FAILED_MIN = 3 };
/* A server that started within this time is tried before its service counts as
 * cut off. */
#define NEW_SERVER_US (2 * US_PER_S)

backend_service_t *backends_find_service(const backends_t *backends,
					 const char *name)
{
	backend_service_t *service;

	HASH_FIND_STR(backends->services, name, service);
	return service;
}

backend_service_t *backends_service(backends_t *backends, const char *name)
{
	backend_service_t *service = backends_find_service(backends, name);

	if (service)
		return service;
	service = mem_calloc(1, sizeof(*service));
	service->name = mem_strdup(name);
	HASH_ADD_KEYPTR(hh, backends->services, service->name, strlen(name),
			service);
	return service;
}

void backends_free_services(backends_t *backends)
{
	backend_service_t *service, *next;

	HASH_ITER (hh, backends->services, service, next) {
		HASH_DEL(backends->services, service);
		zone_flow_destroy(service->flow);
		free(service->name);
		free(service);
	}
}

static bool has_failed(const backend_t *server)
{
	return server->connect_failed_us > server->connected_us;
}

static int64_t tried_us(const backend_t *server)
{
	return has_failed(server) ? server->connect_failed_us
				  : server->connected_us;
}

/* Keeps the servers that were tried last, the latest first. */
static void keep_last(const backend_t **last, const backend_t *server)
{
	size_t i;

	for (i = 0; i < LAST_TRIED; i++) {
		const backend_t *kept = last[i];

		if (kept && tried_us(kept) >= tried_us(server))
			continue;
		last[i] = server;
		if (!kept)
			return;
		server = kept;
	}
}

static void judge(backends_t *backends, backend_service_t *service,
		  int64_t now_us)
{
	const backend_t *last[LAST_TRIED] = { NULL };
	size_t i, count = 0, failed = 0;
	backend_t *server, *next;

	service->is_cut_off = false;
	HASH_ITER (hh, backends->servers, server, next) {
		if (server->service != service ||
		    !backend_in_service(server, now_us))
			continue;
		if (!has_failed(server) &&
		    now_us - server->begun_us < NEW_SERVER_US)
			return;
		count++;
		if (tried_us(server))
			keep_last(last, server);
	}
	for (i = 0; i < LAST_TRIED && last[i]; i++)
		failed += has_failed(last[i]);
	service->is_cut_off = failed &&
			      (failed >= LAST_FAILED_MIN || failed == count);
}

void backend_note_connection(backend_t *backend, bool made, int64_t started_us,
			     int64_t now_us)
{
	backend_service_t *service = backend->service;

	if (!made)
		backend->connect_failed_us = started_us;
	else if (started_us > backend->connected_us)
		backend->connected_us = started_us;
	if (!backend->table || (made && !service->is_cut_off))
		return;
	judge(backend->table, service, now_us);
	/* A server that works is followed by another one at once. */
	if (made)
		service->probed_us = 0;
}

bool backends_is_cut_off(backends_t *backends, const char *service)
{
	const backend_service_t *found =
		backends_find_service(backends, service);

	return found && found->is_cut_off;
}

void backends_check_reach(backends_t *backends,
			  backends_reach_changed_t changed, void *context,
			  int64_t now_us)
{
	backend_service_t *service, *next;

	HASH_ITER (hh, backends->services, service, next) {
		if (service->is_cut_off)
			judge(backends, service, now_us);
		if (service->is_cut_off == service->was_cut_off)
			continue;
		service->was_cut_off = service->is_cut_off;
		changed(context, service->name, service->is_cut_off);
	}
}

size_t backends_list_cut_off(const backends_t *backends, uint32_t *hashes,
			     size_t max)
{
	const backend_service_t *service;
	size_t count = 0;

	for (service = backends->services; service && count < max;
	     service = service->hh.next)
		if (service->is_cut_off)
			hashes[count++] = load_table_hash(service->name);
	return count;
}

#include "process/backends_state.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/mem.h"

/* A slowdown factor up to this counts as 1: the difference is within what the
 * time model leaves out. */
#define SLOWDOWN_TOLERANCE 2.0
/* Network delay of a server in another data centre, and the cost of traffic
 * where the operator states no price. */
#define FAR_COST_US (3 * US_PER_MS)
/* What is known of a server without an entry is kept for this long: the server
 * may be alive, and what it said of itself holds when its entry is back. */
#define ABSENT_KEEP_US (60 * US_PER_S)
/* Nodes that must announce a server as failing before the others avoid it. */
enum { AVOIDING_NODES_MIN = 2 };
/* Servers write their entries again within this time after the store came back
 * from an older copy, or their entries expire. */
#define DOUBT_US (5 * US_PER_S)
/* Fraction of the drain time in which requests are sent to a leaving server;
 * the rest is for requests that are on their way. */
#define LEAVING_SEND_FRACTION 0.5

backends_t *backends_create(const backends_conf_t *conf)
{
	backends_t *backends = mem_calloc(1, sizeof(*backends));

	backends->conf = *conf;
	backends->rates = server_rates_create();
	if (conf->controls_load)
		backends->paces = pace_create();
	return backends;
}

static void remove_server(backends_t *backends, backend_t *server)
{
	HASH_DEL(backends->servers, server);
	server->table = NULL;
	server->forget_at_us = 0;
	HASH_ADD_STR(backends->absent, entry.id, server);
}

/* @return the server whose entry came back; NULL: none */
static backend_t *restore_server(backends_t *backends, const char *id)
{
	backend_t *server;

	HASH_FIND_STR(backends->absent, id, server);
	if (!server)
		return NULL;
	HASH_DEL(backends->absent, server);
	server->table = backends;
	HASH_ADD_STR(backends->servers, entry.id, server);
	return server;
}

static void forget_server(backends_t *backends, backend_t *server)
{
	HASH_DEL(backends->absent, server);
	backend_unref(server);
}

void backends_destroy(backends_t *backends)
{
	backend_t *server, *next;
	backend_dc_t *dc, *next_dc;

	if (!backends)
		return;
	HASH_ITER (hh, backends->servers, server, next)
		remove_server(backends, server);
	HASH_ITER (hh, backends->absent, server, next)
		forget_server(backends, server);
	HASH_ITER (hh, backends->dcs, dc, next_dc) {
		HASH_DEL(backends->dcs, dc);
		free(dc);
	}
	backends_free_services(backends);
	server_rates_destroy(backends->rates);
	pace_destroy(backends->paces);
	limit_nodes_clear(&backends->nodes);
	free(backends);
}

backend_dc_t *backends_dc(backends_t *backends, const char *name)
{
	backend_dc_t *dc;

	HASH_FIND_STR(backends->dcs, name, dc);
	if (dc)
		return dc;
	dc = mem_calloc(1, sizeof(*dc));
	mem_strlcpy(dc->name, name, sizeof(dc->name));
	dc->hash = load_table_hash(name);
	HASH_ADD_STR(backends->dcs, name, dc);
	return dc;
}

/* A server may restart under the same id: what was known of the previous
 * generation no longer holds. */
static void begin_generation(backend_t *server, int64_t now_us)
{
	server->generation++;
	server->begun_us = now_us;
	server->connected_us = server->connect_failed_us = 0;
	server->leaving_us = 0;
	server->rejects_until_us = 0;
	server->failures = 0;
	server->failed_us = 0;
	server->paused_until_us = 0;
	server->slowdown = 1;
	server->memory_refused_us = 0;
	if (server->table->paces)
		pace_restart(server->table->paces, backend_start_hash(server),
			     now_us);
	server->cold_share.tokens = 0;
}

bool backends_update(backends_t *backends, const backend_entry_t *entry,
		     int64_t now_us)
{
	backend_t *server;
	bool changed, left;

	HASH_FIND_STR(backends->servers, entry->id, server);
	left = server && server->entry.state == BACKEND_DRAINING;
	changed = !server || server->entry.state != entry->state ||
		  server->entry.born_ms != entry->born_ms ||
		  strcmp(server->entry.address, entry->address) != 0;
	if (!server) {
		server = restore_server(backends, entry->id);
		left = server;
	}
	if (!server) {
		server = mem_calloc(1, sizeof(*server));
		server->entry = *entry;
		server->references = 1;
		server->table = backends;
		server->hash = load_table_hash(entry->id);
		server->cold_share.filled_us = now_us;
		begin_generation(server, now_us);
		HASH_ADD_STR(backends->servers, entry.id, server);
	} else if (server->entry.born_ms != entry->born_ms ||
		   strcmp(server->entry.address, entry->address) != 0) {
		begin_generation(server, now_us);
		left = false;
	}
	server->doubted_until_us =
		backends->restoring && left ? now_us + DOUBT_US : 0;
	server->entry = *entry;
	server->listing = backends->listing;
	server->remove_at_us = 0;
	server->dc = backends_dc(backends, entry->data_centre);
	server->service = backends_service(backends, entry->service);
	server->entry.service = server->service->name;
	server->cold_until_us = now_us + entry->cold_left_ms * US_PER_MS;
	return changed;
}

static void schedule_removal(backends_t *backends, backend_t *server,
			     int64_t grace_until_us)
{
	if (!grace_until_us)
		remove_server(backends, server);
	else if (!server->remove_at_us)
		server->remove_at_us = grace_until_us;
}

bool backends_remove(backends_t *backends, const char *id,
		     int64_t grace_until_us)
{
	backend_t *server = backends_find(backends, id);

	if (server)
		schedule_removal(backends, server, grace_until_us);
	return server;
}

void backends_begin_listing(backends_t *backends, bool restored)
{
	backends->listing++;
	backends->restoring = restored;
}

size_t backends_end_listing(backends_t *backends, int64_t grace_until_us)
{
	backend_t *server, *next;
	size_t removed = 0;

	backends->restoring = false;
	HASH_ITER (hh, backends->servers, server, next) {
		if (server->listing == backends->listing)
			continue;
		schedule_removal(backends, server, grace_until_us);
		removed++;
	}
	return removed;
}

static void forget_absent(backends_t *backends, int64_t now_us)
{
	backend_t *server, *next;

	HASH_ITER (hh, backends->absent, server, next) {
		if (!server->forget_at_us)
			server->forget_at_us = now_us + ABSENT_KEEP_US;
		else if (now_us >= server->forget_at_us)
			forget_server(backends, server);
	}
}

size_t backends_expire(backends_t *backends, int64_t now_us)
{
	backend_t *server, *next;
	size_t removed = 0;

	forget_absent(backends, now_us);
	HASH_ITER (hh, backends->servers, server, next) {
		if (!server->remove_at_us || now_us < server->remove_at_us)
			continue;
		remove_server(backends, server);
		removed++;
	}
	return removed;
}

void backends_evacuate(backends_t *backends, const char *data_centre,
		       bool evacuated)
{
	backends_dc(backends, data_centre)->evacuated = evacuated;
}

void backends_clear_evacuations(backends_t *backends)
{
	backend_dc_t *dc, *next;

	HASH_ITER (hh, backends->dcs, dc, next)
		dc->evacuated = false;
}

const limit_nodes_t *backends_nodes(const backends_t *backends)
{
	return &backends->nodes;
}

server_rates_t *backends_rates(backends_t *backends)
{
	return backends->rates;
}

pace_table_t *backends_paces(backends_t *backends)
{
	return backends->paces;
}

backend_t *backends_next(backends_t *backends, const backend_t *server)
{
	return server ? server->hh.next : backends->servers;
}

backend_t *backends_find(backends_t *backends, const char *id)
{
	backend_t *server;

	HASH_FIND_STR(backends->servers, id, server);
	return server;
}

backend_t *backend_ref(backend_t *backend)
{
	backend->references++;
	return backend;
}

void backend_unref(backend_t *backend)
{
	if (backend && !--backend->references)
		free(backend);
}

const backend_entry_t *backend_entry(const backend_t *backend)
{
	return &backend->entry;
}

uint32_t backend_hash(const backend_t *backend)
{
	return backend->hash;
}

uint32_t backend_start_hash(const backend_t *backend)
{
	return backend->hash ^ XXH32(&backend->entry.born_ms,
				     sizeof(backend->entry.born_ms), 0);
}

uint32_t backend_generation(const backend_t *backend)
{
	return backend->generation;
}

/* @return true if the server has not said that it leaves, or said so recently
 * enough to still get requests that no other server can take. */
static bool may_get_requests(const backend_t *backend, int64_t now_us)
{
	double send_us =
		(double)backend->table->conf.drain_us * LEAVING_SEND_FRACTION;

	return !backend->leaving_us ||
	       (double)(now_us - backend->leaving_us) < send_us;
}

bool backend_in_service(const backend_t *backend, int64_t now_us)
{
	return backend->table && backend->entry.state == BACKEND_READY &&
	       now_us >= backend->doubted_until_us && !backend->dc->evacuated &&
	       may_get_requests(backend, now_us);
}

bool backend_usable(const backend_t *backend, int64_t now_us)
{
	return backend_in_service(backend, now_us) &&
	       now_us >= backend->rejects_until_us;
}

local_load_t *backend_own_load(backend_t *backend)
{
	return &backend->own_load;
}

server_load_t backend_load(const backend_t *backend,
			   const load_table_t *load_table,
			   const engine_profile_t *engine, int64_t now_us)
{
	server_load_t load = local_load_sum(&backend->own_load, now_us);

	if (load_table)
		load_table_add_load(load_table, backend->hash, engine, &load,
				    now_us);
	return load;
}

/* @return true if enough other nodes announce the server as failing. A single
 * node may be partitioned from the server; if requests of several nodes fail,
 * requests of this node would probably fail, too. A server with a rate is
 * announced as failing for earlier builds only. */
static bool is_avoided(const backend_t *server, const backends_query_t *query)
{
	return query->load_table && !backend_is_limited(server) &&
	       load_table_failing_count(query->load_table, server->hash,
					query->now_us) >= AVOIDING_NODES_MIN;
}

/* @return slowdown factor to be applied to the predictions for a server */
static double slowdown_of(const backend_t *server, int64_t now_us)
{
	if (server->table->paces)
		return pace_slowdown(server->table->paces,
				     backend_start_hash(server), now_us);
	return server->slowdown > SLOWDOWN_TOLERANCE ? server->slowdown : 1;
}

/* @return requests that this node sent while the others may not know of it */
static int32_t recent_of(const backend_t *server, int64_t now_us)
{
	return now_us - server->recent_us < PLACEMENT_LOAD_AGE_US
		       ? server->recent
		       : 0;
}

void backend_note_sent(backend_t *backend, int64_t now_us)
{
	if (backend->table && backend->table->paces)
		pace_note_sent(backend->table->paces,
			       backend_start_hash(backend), now_us);
	backend->recent = recent_of(backend, now_us) + 1;
	if (backend->recent == 1)
		backend->recent_us = now_us;
}

static candidate_t candidate_of(backend_t *server,
				const backends_query_t *query)
{
	const engine_profile_t *engine = &query->service->engine;
	bool near = !strcmp(server->entry.data_centre,
			    server->table->conf.data_centre);
	candidate_t candidate = {
		.server = server,
		.order = server->hash,
		.load = backend_load(server, query->load_table,
				     engine->present ? engine : NULL,
				     query->now_us),
		.slots = server->entry.slots,
		.kv_capacity_tokens =
			engine->present ? engine->kv_capacity_tokens : 0,
		.slowdown = slowdown_of(server, query->now_us),
		.recent = recent_of(server, query->now_us),
		.kv_refused_tokens = query->now_us < server->memory_refused_us
					     ? server->memory_refused_tokens
					     : 0,
		.distance_us = near ? 0 : FAR_COST_US,
		.traffic_us = near ? 0
				   : backends_traffic_us(server->table,
							 query->traffic_bytes),
		.is_limited = backend_is_limited(server),
		.fallback = server->leaving_us ||
			    query->now_us < server->paused_until_us ||
			    is_avoided(server, query) ||
			    backend_is_partitioned(server, query->now_us),
	};

	return candidate;
}

static bool allows(backend_t *server, const backends_query_t *query)
{
	return query->is_dry_run
		       ? backend_would_allow(server, query->service,
					     query->now_us)
		       : backend_allows(server, query->service, query->now_us);
}

static bool is_excluded(const backend_t *server, const backends_query_t *query)
{
	size_t i;

	for (i = 0; i < query->except_count; i++)
		if (query->except[i] == server)
			return true;
	return false;
}

/* Marks the servers that a request should not go to. */
static void reserve(candidate_t *candidates, size_t count,
		    const backends_query_t *query, const zone_flow_t *flow)
{
	uint32_t zone;
	size_t i;

	if (!flow)
		return;
	zone = zone_flow_choose(flow, query->salt);
	for (i = 0; i < count; i++) {
		const backend_t *server = candidates[i].server;

		candidates[i].reserved = server->dc->hash != zone;
	}
}

size_t backends_candidates(backends_t *backends, const backends_query_t *query,
			   candidate_t **candidates)
{
	backend_t *server, *next;
	zone_sum_t sum;
	size_t count = 0;

	*candidates = mem_calloc(HASH_COUNT(backends->servers) + 1,
				 sizeof(**candidates));
	backends_begin_sum(backends, query, &sum);
	HASH_ITER (hh, backends->servers, server, next) {
		candidate_t *candidate = &(*candidates)[count];

		if (strcmp(server->entry.service, query->service->name) != 0 ||
		    !backend_usable(server, query->now_us))
			continue;
		*candidate = candidate_of(server, query);
		backends_add_to_sum(&sum, candidate, query);
		count += !is_excluded(server, query) && allows(server, query);
	}
	reserve(*candidates, count, query,
		backends_end_sum(backends, query, &sum));
	return count;
}

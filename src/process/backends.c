#include "process/backends.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "base/mem.h"

/* First pause after failures in a row, and the longest one. */
#define PAUSE_FIRST_US (300 * US_PER_MS)
#define PAUSE_MAX_US (4 * US_PER_S)
/* A server that was full is passed over for about the time of one pass. */
#define FULL_PAUSE_US (100 * US_PER_MS)
/* Weight of the newest pause between events in the moving average: a slow
 * server shows within some ten events, one long prefill does not count. */
#define PACE_WEIGHT_UP 0.1
#define PACE_WEIGHT_DOWN 0.3
/* A server counts as slow above this multiple of the stated time; below it
 * the difference is within what the model leaves out. */
#define PACE_TOLERANCE 2.0
#define PACE_MAX 6.0
/* Cost of another data centre: its delay, and bytes between data centres. */
#define FAR_COST_US (3 * US_PER_MS)

enum {
	PAUSE_DOUBLINGS_MAX = 4,
	/* Connections of a data centre that fail in a row, within the window,
	 * before all of its servers are avoided. One is enough while its nodes
	 * are silent, too. */
	UNREACHABLE_MIN = 3
};

#define UNREACHABLE_WINDOW_US US_PER_S
/* How long a data centre is avoided before a request tries it again. */
#define CUT_OFF_US (700 * US_PER_MS)

/* What is known of a data centre. */
typedef struct centre {
	char name[NAME_SIZE_BYTES];
	bool evacuated;
	bool peers_silent; /* its nodes are not heard of */
	int32_t unreachable; /* connections that failed since one was good */
	int64_t unreachable_us; /* the last of them */
	int64_t cut_off_until_us;
	UT_hash_handle hh;
} centre_t;

struct backend {
	backend_entry_t entry;
	backends_t *table; /* NULL after it was removed */
	int references;
	uint32_t hash;
	centre_t *centre;
	uint64_t listing; /* in which it was last seen */
	int64_t removed_at_us; /* 0: its entry is there */
	int64_t cold_until_us;
	double cold_tokens; /* requests that the cold limit leaves */
	int64_t cold_filled_us;
	backend_work_t work;
	int32_t failures; /* in a row */
	int64_t paused_until_us;
	double pace; /* measured pauses against the model */
	UT_hash_handle hh;
};

struct backends {
	backends_conf_t conf;
	backend_t *servers;
	centre_t *centres;
	uint64_t listing;
	int32_t nodes;
};

backends_t *backends_create(const backends_conf_t *conf)
{
	backends_t *backends = mem_calloc(1, sizeof(*backends));

	backends->conf = *conf;
	backends->nodes = 1;
	return backends;
}

static void drop(backends_t *backends, backend_t *server)
{
	HASH_DEL(backends->servers, server);
	server->table = NULL;
	backend_unref(server);
}

void backends_destroy(backends_t *backends)
{
	backend_t *server, *next;
	centre_t *centre, *next_centre;

	if (!backends)
		return;
	HASH_ITER (hh, backends->servers, server, next)
		drop(backends, server);
	HASH_ITER (hh, backends->centres, centre, next_centre) {
		HASH_DEL(backends->centres, centre);
		free(centre);
	}
	free(backends);
}

static centre_t *find_centre(backends_t *backends, const char *name)
{
	centre_t *centre;

	HASH_FIND_STR(backends->centres, name, centre);
	if (centre)
		return centre;
	centre = mem_calloc(1, sizeof(*centre));
	mem_strlcpy(centre->name, name, sizeof(centre->name));
	HASH_ADD_STR(backends->centres, name, centre);
	return centre;
}

/* A server may start again under its id: nothing known of it holds then. */
static void start_anew(backend_t *server)
{
	server->failures = 0;
	server->paused_until_us = 0;
	server->pace = 1;
	server->cold_tokens = 0;
}

bool backends_update(backends_t *backends, const backend_entry_t *entry,
		     int64_t now_us)
{
	backend_t *server;
	bool changed;

	HASH_FIND_STR(backends->servers, entry->id, server);
	changed = !server || server->entry.state != entry->state ||
		  server->entry.born_ms != entry->born_ms ||
		  strcmp(server->entry.address, entry->address) != 0;
	if (!server) {
		server = mem_calloc(1, sizeof(*server));
		server->entry = *entry;
		server->references = 1;
		server->table = backends;
		server->hash = work_share_hash(entry->id);
		server->cold_filled_us = now_us;
		start_anew(server);
		HASH_ADD_STR(backends->servers, entry.id, server);
	} else if (server->entry.born_ms != entry->born_ms) {
		start_anew(server);
	}
	server->entry = *entry;
	server->listing = backends->listing;
	server->removed_at_us = 0;
	server->centre = find_centre(backends, entry->data_centre);
	server->cold_until_us = now_us + entry->cold_left_ms * US_PER_MS;
	return changed;
}

static void remove_at(backends_t *backends, backend_t *server,
		      int64_t keep_until_us)
{
	if (!keep_until_us)
		drop(backends, server);
	else if (!server->removed_at_us)
		server->removed_at_us = keep_until_us;
}

bool backends_remove(backends_t *backends, const char *id,
		     int64_t keep_until_us)
{
	backend_t *server = backends_find(backends, id);

	if (server)
		remove_at(backends, server, keep_until_us);
	return server;
}

void backends_begin_listing(backends_t *backends)
{
	backends->listing++;
}

size_t backends_end_listing(backends_t *backends, int64_t keep_until_us)
{
	backend_t *server, *next;
	size_t removed = 0;

	HASH_ITER (hh, backends->servers, server, next) {
		if (server->listing == backends->listing)
			continue;
		remove_at(backends, server, keep_until_us);
		removed++;
	}
	return removed;
}

size_t backends_expire(backends_t *backends, int64_t now_us)
{
	backend_t *server, *next;
	size_t removed = 0;

	HASH_ITER (hh, backends->servers, server, next) {
		if (!server->removed_at_us || now_us < server->removed_at_us)
			continue;
		drop(backends, server);
		removed++;
	}
	return removed;
}

void backends_evacuate(backends_t *backends, const char *data_centre,
		       bool evacuated)
{
	find_centre(backends, data_centre)->evacuated = evacuated;
}

void backends_clear_evacuations(backends_t *backends)
{
	centre_t *centre, *next;

	HASH_ITER (hh, backends->centres, centre, next)
		centre->evacuated = false;
}

void backends_set_nodes(backends_t *backends, int32_t nodes)
{
	backends->nodes = nodes > 0 ? nodes : 1;
}

size_t backends_count(const backends_t *backends)
{
	return HASH_COUNT(backends->servers);
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

bool backend_usable(const backend_t *backend)
{
	return backend->table && backend->entry.state == BACKEND_READY &&
	       !backend->centre->evacuated;
}

bool backend_is_cold(const backend_t *backend, int64_t now_us)
{
	return now_us < backend->cold_until_us;
}

/* Refills the share of this node; it may save up one request. */
static void fill_cold_limit(backend_t *backend, const service_conf_t *service,
			    int64_t now_us)
{
	double rate = service->cold_requests_per_s *
		      backend->table->conf.cold_factor / backend->table->nodes;
	double passed_s =
		(double)(now_us - backend->cold_filled_us) / (double)US_PER_S;

	backend->cold_tokens += rate * passed_s;
	if (backend->cold_tokens > 1)
		backend->cold_tokens = 1;
	backend->cold_filled_us = now_us;
}

bool backend_take_cold(backend_t *backend, const service_conf_t *service,
		       int64_t now_us)
{
	if (!backend_is_cold(backend, now_us) ||
	    service->cold_requests_per_s <= 0 || !backend->table)
		return true;
	fill_cold_limit(backend, service, now_us);
	if (backend->cold_tokens < 1)
		return false;
	backend->cold_tokens -= 1;
	return true;
}

backend_work_t *backend_work(backend_t *backend)
{
	return &backend->work;
}

static void pause(backend_t *backend, int64_t now_us)
{
	int32_t doublings = backend->failures - 1;
	int64_t pause_us;

	if (doublings > PAUSE_DOUBLINGS_MAX)
		doublings = PAUSE_DOUBLINGS_MAX;
	pause_us = PAUSE_FIRST_US << doublings;
	backend->paused_until_us =
		now_us + (pause_us < PAUSE_MAX_US ? pause_us : PAUSE_MAX_US);
}

static void note_unreachable(centre_t *centre, int64_t now_us)
{
	if (now_us - centre->unreachable_us > UNREACHABLE_WINDOW_US)
		centre->unreachable = 0;
	centre->unreachable++;
	centre->unreachable_us = now_us;
	if (centre->unreachable >= (centre->peers_silent ? 1 : UNREACHABLE_MIN))
		centre->cut_off_until_us = now_us + CUT_OFF_US;
}

void backend_note_heard(backend_t *backend)
{
	backend->centre->unreachable = 0;
	backend->centre->cut_off_until_us = 0;
}

void backend_note(backend_t *backend, evidence_t evidence, int64_t now_us)
{
	switch (evidence) {
	case EVIDENCE_GOOD:
		backend->failures = 0;
		backend->paused_until_us = 0;
		backend_note_heard(backend);
		return;
	case EVIDENCE_UNREACHABLE:
		note_unreachable(backend->centre, now_us);
		backend->failures++;
		pause(backend, now_us);
		return;
	case EVIDENCE_BROKEN:
	case EVIDENCE_SILENT:
		backend->failures++;
		pause(backend, now_us);
		return;
	case EVIDENCE_FULL:
		if (backend->paused_until_us < now_us + FULL_PAUSE_US)
			backend->paused_until_us = now_us + FULL_PAUSE_US;
		return;
	}
}

void backends_note_peers(backends_t *backends, const char *data_centre,
			 bool silent)
{
	find_centre(backends, data_centre)->peers_silent = silent;
}

bool backend_is_cut_off(const backend_t *backend, int64_t now_us)
{
	return now_us < backend->centre->cut_off_until_us;
}

void backend_note_gap(backend_t *backend, double actual_us, double expected_us)
{
	double ratio = expected_us > 0 ? actual_us / expected_us : 1;

	if (ratio > PACE_MAX)
		ratio = PACE_MAX;
	if (ratio < 1)
		ratio = 1;
	backend->pace +=
		(ratio - backend->pace) *
		(ratio > backend->pace ? PACE_WEIGHT_UP : PACE_WEIGHT_DOWN);
}

server_load_t backend_load(const backend_t *backend, const work_share_t *share,
			   int64_t now_us)
{
	server_load_t load = server_work_load(&backend->work, now_us);

	if (share)
		work_share_add(share, backend->hash, &load, now_us);
	return load;
}

static candidate_t candidate_of(backend_t *server,
				const backends_query_t *query)
{
	const engine_profile_t *engine = &query->service->engine;
	bool near = !strcmp(server->entry.data_centre,
			    server->table->conf.data_centre);
	candidate_t candidate = {
		.server = server,
		.load = backend_load(server, query->share, query->now_us),
		.slots = server->entry.slots,
		.kv_capacity_tokens =
			engine->present ? engine->kv_capacity_tokens : 0,
		.pace = server->pace > PACE_TOLERANCE ? server->pace : 1,
		.distance_us = near ? 0 : FAR_COST_US,
		.doubtful = query->now_us < server->paused_until_us ||
			    backend_is_cut_off(server, query->now_us),
	};

	return candidate;
}

static bool excepted(const backend_t *server, const backends_query_t *query)
{
	size_t i;

	for (i = 0; i < query->except_count; i++)
		if (query->except[i] == server)
			return true;
	return false;
}

/* A cold server with nothing left of its limit is no candidate. */
static bool has_cold_room(backend_t *server, const backends_query_t *query)
{
	if (!backend_is_cold(server, query->now_us) ||
	    query->service->cold_requests_per_s <= 0)
		return true;
	fill_cold_limit(server, query->service, query->now_us);
	return server->cold_tokens >= 1;
}

size_t backends_candidates(backends_t *backends, const backends_query_t *query,
			   candidate_t **candidates)
{
	backend_t *server, *next;
	size_t count = 0;

	*candidates = mem_calloc(HASH_COUNT(backends->servers) + 1,
				 sizeof(**candidates));
	HASH_ITER (hh, backends->servers, server, next) {
		if (strcmp(server->entry.service, query->service->name) != 0 ||
		    !backend_usable(server) || excepted(server, query) ||
		    !has_cold_room(server, query))
			continue;
		(*candidates)[count++] = candidate_of(server, query);
	}
	return count;
}

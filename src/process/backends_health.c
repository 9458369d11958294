#include "process/backends_state.h"

/* A server is paused, that is fallback, for this time after its first failure;
 * each further failure in a row doubles the time up to the maximum. */
#define PAUSE_FIRST_US (300 * US_PER_MS)
#define PAUSE_MAX_US (4 * US_PER_S)
/* A failure is announced to the other nodes for this long at most, and no
 * longer than the pause after it. */
#define ANNOUNCE_FAILURE_US US_PER_S
/* A server without free capacity is paused for about one engine iteration. */
#define FULL_PAUSE_US (100 * US_PER_MS)
/* A server that refused memory is assumed to have no more free for the time
 * after which the load of all nodes is known. */
#define MEMORY_REFUSED_US (200 * US_PER_MS)
/* Weight of the newest event gap in the moving average: a slow server shows
 * within some ten events, while one long prefill has little effect. */
#define SLOWDOWN_WEIGHT_UP 0.1
#define SLOWDOWN_WEIGHT_DOWN 0.3
#define SLOWDOWN_MAX 6.0

enum {
	PAUSE_DOUBLINGS_MAX = 4,
	/* Connections to a data centre that fail in a row, within the
	 * window, before all of its servers become fallback. One failure is
	 * enough while the data centre's nodes are silent, too. */
	CONNECT_FAILURES_MIN = 3
};

#define CONNECT_FAILURES_WINDOW_US US_PER_S
/* How long the servers of a data centre are fallback before a request tries
 * them again. */
#define DC_FALLBACK_US (700 * US_PER_MS)

/* Time between two probes of a data centre whose nodes are silent. */
#define PROBE_INTERVAL_US (400 * US_PER_MS)
/* Multiplier of the linear congruential generator that varies the salt. */
#define PROBE_SALT_FACTOR UINT64_C(6364136223846793005)

static void pause_server(backend_t *backend, int64_t now_us)
{
	int32_t doublings = backend->failures - 1;
	int64_t pause_us;

	if (doublings > PAUSE_DOUBLINGS_MAX)
		doublings = PAUSE_DOUBLINGS_MAX;
	pause_us = PAUSE_FIRST_US << doublings;
	backend->paused_until_us =
		now_us + (pause_us < PAUSE_MAX_US ? pause_us : PAUSE_MAX_US);
}

static void record_failure(backend_t *backend, int64_t now_us)
{
	backend->failures++;
	backend->failed_us = now_us;
	pause_server(backend, now_us);
}

bool backend_failed_recently(const backend_t *backend, int64_t now_us)
{
	return !backend->service->is_cut_off && backend->failed_us &&
	       now_us < backend->paused_until_us &&
	       now_us - backend->failed_us < ANNOUNCE_FAILURE_US;
}

static void note_connect_failure(backend_dc_t *dc, int64_t now_us)
{
	if (now_us - dc->connect_failed_us > CONNECT_FAILURES_WINDOW_US)
		dc->connect_failures = 0;
	dc->connect_failures++;
	dc->connect_failed_us = now_us;
	if (dc->connect_failures >=
	    (dc->peers != PEERS_REACHABLE ? 1 : CONNECT_FAILURES_MIN))
		dc->fallback_until_us = now_us + DC_FALLBACK_US;
}

void backend_note_received(backend_t *backend, int64_t now_us)
{
	backend->dc->last_received_us = now_us;
	backend->dc->connect_failures = 0;
	backend->dc->fallback_until_us = 0;
}

void backend_note(backend_t *backend, evidence_t evidence, int64_t now_us)
{
	switch (evidence) {
	case EVIDENCE_GOOD:
		backend->failures = 0;
		backend->paused_until_us = 0;
		backend->failed_us = 0;
		backend_note_received(backend, now_us);
		return;
	case EVIDENCE_UNREACHABLE:
		note_connect_failure(backend->dc, now_us);
		record_failure(backend, now_us);
		return;
	case EVIDENCE_BROKEN:
	case EVIDENCE_SILENT:
		record_failure(backend, now_us);
		return;
	case EVIDENCE_GONE:
		record_failure(backend, now_us);
		backend->paused_until_us = now_us + PAUSE_MAX_US;
		return;
	case EVIDENCE_FULL:
		if (backend->paused_until_us < now_us + FULL_PAUSE_US)
			backend->paused_until_us = now_us + FULL_PAUSE_US;
		return;
	}
}

void backend_note_memory_refused(backend_t *backend, int64_t tokens,
				 int64_t now_us)
{
	if (!backend->table || !backend->table->conf.controls_load)
		return;
	if (now_us >= backend->memory_refused_us ||
	    tokens < backend->memory_refused_tokens)
		backend->memory_refused_tokens = tokens;
	backend->memory_refused_us = now_us + MEMORY_REFUSED_US;
}

void backend_note_leaving(backend_t *backend, int64_t now_us)
{
	if (!backend->leaving_us)
		backend->leaving_us = now_us;
}

void backend_note_rejecting(backend_t *backend, int64_t until_us)
{
	if (backend->rejects_until_us < until_us)
		backend->rejects_until_us = until_us;
}

void backends_note_peers(backends_t *backends, const char *data_centre,
			 peers_state_t peers, int64_t now_us)
{
	backend_dc_t *dc = backends_dc(backends, data_centre);

	if (peers == PEERS_PARTITIONED && dc->peers != PEERS_PARTITIONED)
		dc->partitioned_us = now_us;
	else if (peers != PEERS_PARTITIONED)
		dc->partitioned_us = 0;
	dc->peers = peers;
}

/* @return true if no server of the data centre has sent data since its nodes
 * fell silent together. */
static bool is_partitioned(const backend_dc_t *dc)
{
	return dc->partitioned_us && dc->last_received_us <= dc->partitioned_us;
}

/* What a probe is to find out. */
typedef enum { PROBE_DATA_CENTRE, PROBE_SERVICE } probe_goal_t;

/* @return when a probe with this goal was last sent; INT64_MAX: none is needed
 */
static int64_t probed_us(const backend_t *server, probe_goal_t goal)
{
	switch (goal) {
	case PROBE_DATA_CENTRE:
		return is_partitioned(server->dc) ? server->dc->probed_us
						  : INT64_MAX;
	case PROBE_SERVICE:
		return server->service->is_cut_off ? server->service->probed_us
						   : INT64_MAX;
	}
	return INT64_MAX;
}

static backend_t *choose_for_probe(backends_t *backends, probe_goal_t goal,
				   uint64_t salt, int64_t now_us)
{
	backend_t *server, *next, *chosen = NULL;
	uint64_t seen = 0;

	HASH_ITER (hh, backends->servers, server, next) {
		if (probed_us(server, goal) > now_us - PROBE_INTERVAL_US ||
		    !backend_usable(server, now_us))
			continue;
		/* Reservoir sampling: equal probability for each server. */
		if (!(salt % ++seen))
			chosen = server;
		salt = salt * PROBE_SALT_FACTOR + 1;
	}
	return chosen;
}

backend_t *backends_to_probe(backends_t *backends, uint64_t salt,
			     int64_t now_us)
{
	backend_t *chosen =
		choose_for_probe(backends, PROBE_DATA_CENTRE, salt, now_us);

	if (chosen)
		chosen->dc->probed_us = now_us;
	return chosen;
}

backend_t *backends_to_connect(backends_t *backends, uint64_t salt,
			       int64_t now_us)
{
	backend_t *chosen =
		choose_for_probe(backends, PROBE_SERVICE, salt, now_us);

	if (chosen)
		chosen->service->probed_us = now_us;
	return chosen;
}

bool backend_is_partitioned(const backend_t *backend, int64_t now_us)
{
	return now_us < backend->dc->fallback_until_us ||
	       backend->service->is_cut_off || is_partitioned(backend->dc);
}

void backend_note_gap(backend_t *backend, double actual_us, double expected_us)
{
	double ratio = expected_us > 0 ? actual_us / expected_us : 1;

	if (ratio > SLOWDOWN_MAX)
		ratio = SLOWDOWN_MAX;
	if (ratio < 1)
		ratio = 1;
	backend->slowdown += (ratio - backend->slowdown) *
			     (ratio > backend->slowdown ? SLOWDOWN_WEIGHT_UP
							: SLOWDOWN_WEIGHT_DOWN);
}

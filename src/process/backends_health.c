#include "process/backends_state.h"

/* First pause after failures in a row, and the longest one. */
#define PAUSE_FIRST_US (300 * US_PER_MS)
#define PAUSE_MAX_US (4 * US_PER_S)
/* For so long after a failure the other nodes are told of it. */
#define SHUNNED_US US_PER_S
/* A server that was full is passed over for about the time of one pass. */
#define FULL_PAUSE_US (100 * US_PER_MS)
/* Weight of the newest pause between events in the moving average: a slow
 * server shows within some ten events, one long prefill does not count. */
#define PACE_WEIGHT_UP 0.1
#define PACE_WEIGHT_DOWN 0.3
#define PACE_MAX 6.0

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

/* Pause between two probes of a data centre that is silent. */
#define PROBE_PAUSE_US (400 * US_PER_MS)
#define PROBE_SALT_FACTOR UINT64_C(6364136223846793005)

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

static void fail(backend_t *backend, int64_t now_us)
{
	backend->failures++;
	backend->failed_us = now_us;
	pause(backend, now_us);
}

bool backend_failed_recently(const backend_t *backend, int64_t now_us)
{
	return backend->failed_us && now_us < backend->paused_until_us &&
	       now_us - backend->failed_us < SHUNNED_US;
}

static void note_unreachable(centre_t *centre, int64_t now_us)
{
	if (now_us - centre->unreachable_us > UNREACHABLE_WINDOW_US)
		centre->unreachable = 0;
	centre->unreachable++;
	centre->unreachable_us = now_us;
	if (centre->unreachable >=
	    (centre->peers != PEERS_REACHABLE ? 1 : UNREACHABLE_MIN))
		centre->cut_off_until_us = now_us + CUT_OFF_US;
}

void backend_note_received(backend_t *backend, int64_t now_us)
{
	backend->centre->heard_us = now_us;
	backend->centre->unreachable = 0;
	backend->centre->cut_off_until_us = 0;
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
		note_unreachable(backend->centre, now_us);
		fail(backend, now_us);
		return;
	case EVIDENCE_BROKEN:
	case EVIDENCE_SILENT:
		fail(backend, now_us);
		return;
	case EVIDENCE_GONE:
		fail(backend, now_us);
		backend->paused_until_us = now_us + PAUSE_MAX_US;
		return;
	case EVIDENCE_FULL:
		if (backend->paused_until_us < now_us + FULL_PAUSE_US)
			backend->paused_until_us = now_us + FULL_PAUSE_US;
		return;
	}
}

void backend_note_leaving(backend_t *backend, int64_t now_us)
{
	if (!backend->leaving_us)
		backend->leaving_us = now_us;
}

void backend_note_rejecting(backend_t *backend, int64_t until_us)
{
	if (backend->away_until_us < until_us)
		backend->away_until_us = until_us;
}

void backends_note_peers(backends_t *backends, const char *data_centre,
			 peers_state_t peers, int64_t now_us)
{
	centre_t *centre = backends_centre(backends, data_centre);

	if (peers == PEERS_PARTITIONED && centre->peers != PEERS_PARTITIONED)
		centre->cut_us = now_us;
	else if (peers != PEERS_PARTITIONED)
		centre->cut_us = 0;
	centre->peers = peers;
}

/* Nothing came from there since its nodes fell silent. */
static bool is_silent(const centre_t *centre)
{
	return centre->cut_us && centre->heard_us <= centre->cut_us;
}

backend_t *backends_to_probe(backends_t *backends, uint64_t salt,
			     int64_t now_us)
{
	backend_t *server, *next, *chosen = NULL;
	uint64_t seen = 0;

	HASH_ITER (hh, backends->servers, server, next) {
		if (!is_silent(server->centre) ||
		    now_us - server->centre->probed_us < PROBE_PAUSE_US ||
		    !backend_usable(server, now_us))
			continue;
		/* Each of them with the same probability. */
		if (!(salt % ++seen))
			chosen = server;
		salt = salt * PROBE_SALT_FACTOR + 1;
	}
	if (chosen)
		chosen->centre->probed_us = now_us;
	return chosen;
}

bool backend_is_partitioned(const backend_t *backend, int64_t now_us)
{
	return now_us < backend->centre->cut_off_until_us ||
	       is_silent(backend->centre);
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

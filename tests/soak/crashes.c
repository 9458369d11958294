#include <stdio.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"
#include "soak/soak.h"

/*
 * Prompts with some segments crash each server that begins to write an answer
 * to them, whatever else they hold, to the end of the run; sound prompts have
 * the same other segments. Some requests crash each server that begins to run
 * them, and come again at any node; sound requests have the same path, or the
 * same body.
 */
enum {
	CRASH_PERCENT = 15, /* of prompts, while there is such a segment */
	FIRST_S = 2, /* time until the first of these segments is used */
	DOWN_MIN_MS = 300, /* time until a server starts again */
	DOWN_MAX_MS = 1500
};

/* The rule of the platform: of requests with such a cause that were sent later
 * than STABLE_MS after the crash from which it is known, ALLOWED may reach
 * servers, from nodes that had no fault for as long. */
enum { SEGMENT_KNOWN = 5, REQUEST_KNOWN = 3, STABLE_MS = 3000, ALLOWED = 3 };

static uint64_t random_below(soak_t *soak, uint64_t below)
{
	return soak_random_of(&soak->crashes_random, below);
}

/* @return number of causes of a kind that crash servers so far */
static int active_causes(const soak_t *soak, int used, int max)
{
	int64_t passed_us = clock_monotonic_us() - soak->start_us;

	if (!used || passed_us < FIRST_S * US_PER_S)
		return 0;
	return passed_us < soak->seconds * US_PER_S / 2 ? 1 : max;
}

/* Request i of those that crash servers has path paths[i]. */
static const char crash_paths[CRASH_REQUESTS] = "sto";

/* Makes the request one that crashes servers, or one like it that does not. */
static void choose_request(soak_t *soak, request_record_t *record)
{
	int active = active_causes(soak, soak->request_crashes, CRASH_REQUESTS);
	int i;

	if (!active || random_below(soak, 100) >= CRASH_PERCENT)
		return;
	i = (int)random_below(soak, (uint64_t)active);
	snprintf(record->body, sizeof(record->body), "deadly%d", i);
	if (record->path == crash_paths[i] && random_below(soak, 2))
		record->crash_cause = CRASH_SEGMENTS + i;
	else if (record->path == crash_paths[i])
		snprintf(record->body, sizeof(record->body), "sound%d", i);
}

void crashes_choose(soak_t *soak, request_record_t *record, char *text,
		    size_t size)
{
	static const char *const crashing[] = { "bad%d:7", "bad%d:7,a1:8",
						"a1:8,bad%d:7",
						"a1:8,bad%d:7,c2:6",
						"a1:8,b%d:4,bad%d:7" };
	static const char *const sound[] = { "a1:8", "a1:8,c2:6", "c2:6",
					     "a1:8,d%d:4" };
	int active = active_causes(soak, soak->prompt_crashes, CRASH_SEGMENTS);
	size_t used;

	record->crash_cause = -1;
	if (record->path == 'o')
		mem_strlcpy(record->body, "order", sizeof(record->body));
	choose_request(soak, record);
	if (!soak->prompt_crashes) {
		snprintf(text, size, "0:1");
		return;
	}
	if (record->path == 't' && active && record->crash_cause < 0 &&
	    random_below(soak, 100) < CRASH_PERCENT)
		record->crash_cause = (int)random_below(soak, (uint64_t)active);
	if (record->crash_cause < 0 || record->crash_cause >= CRASH_SEGMENTS)
		used = (size_t)snprintf(text, size,
					sound[random_below(soak, 4)],
					(int)random_below(soak, 10));
	else
		used = (size_t)snprintf(text, size,
					crashing[random_below(soak, 5)],
					record->crash_cause,
					record->crash_cause);
	snprintf(text + used, size - used, ",e%llx:9",
		 (unsigned long long)soak->next_id);
}

void crashes_arrival(soak_t *soak, const request_record_t *record)
{
	crash_log_t *log;

	if (!record || record->crash_cause < 0)
		return;
	log = &soak->crashes[record->crash_cause];
	if (!log->known_us ||
	    clock_monotonic_us() < log->known_us + STABLE_MS * US_PER_MS ||
	    !node_undisturbed(record->node))
		return;
	if (++log->late_arrivals > ALLOWED)
		soak_violation(soak,
			       "BUDGET %s reached a server: request %d with "
			       "cause %d from %s, %d crashes",
			       record->id, log->late_arrivals,
			       record->crash_cause, record->node->name,
			       log->crashes);
}

bool crashes_server(server_t *server, const request_record_t *record)
{
	soak_t *soak = server->soak;
	crash_log_t *log;

	if (!record || record->crash_cause < 0)
		return false;
	log = &soak->crashes[record->crash_cause];
	soak_note(soak, "%s crashes at cause %d (%s)", server->id,
		  record->crash_cause, record->id);
	if (++log->crashes == (record->crash_cause < CRASH_SEGMENTS
				       ? SEGMENT_KNOWN
				       : REQUEST_KNOWN))
		log->known_us = clock_monotonic_us();
	server_crash(server,
		     DOWN_MIN_MS + (int64_t)random_below(
					   soak, DOWN_MAX_MS - DOWN_MIN_MS));
	return true;
}

void crashes_start(soak_t *soak)
{
	soak->crashes_random = ~soak->random;
}

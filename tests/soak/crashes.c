#include <stdio.h>

#include "base/clock.h"
#include "base/units.h"
#include "soak/soak.h"

/* Prompts with some segments crash each server that begins to write an answer
 * to them, whatever else they hold, to the end of the run. Sound prompts have
 * the same other segments. */
enum {
	CRASH_PERCENT = 15, /* of prompts, while there is such a segment */
	FIRST_S = 2, /* time until the first of these segments is used */
	DOWN_MIN_MS = 300, /* time until a server starts again */
	DOWN_MAX_MS = 1500
};

/* The rule of the platform: of requests with such a segment that were sent
 * later than STABLE_MS after the crash number KNOWN_CRASHES, ALLOWED may reach
 * servers, from nodes that had no fault for as long. */
enum { KNOWN_CRASHES = 5, STABLE_MS = 3000, ALLOWED = 3 };

static uint64_t random_below(soak_t *soak, uint64_t below)
{
	return soak_random_of(&soak->crashes_random, below);
}

/* @return number of segments that crash servers so far */
static int active_segments(const soak_t *soak)
{
	int64_t passed_us = clock_monotonic_us() - soak->start_us;

	if (!soak->prompt_crashes || passed_us < FIRST_S * US_PER_S)
		return 0;
	return passed_us < soak->seconds * US_PER_S / 2 ? 1 : CRASH_SEGMENTS;
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
	int active = active_segments(soak);
	size_t used;

	record->crash_segment = -1;
	if (!soak->prompt_crashes) {
		snprintf(text, size, "0:1");
		return;
	}
	if (record->path == 't' && active &&
	    random_below(soak, 100) < CRASH_PERCENT)
		record->crash_segment =
			(int)random_below(soak, (uint64_t)active);
	if (record->crash_segment < 0)
		used = (size_t)snprintf(text, size,
					sound[random_below(soak, 4)],
					(int)random_below(soak, 10));
	else
		used = (size_t)snprintf(text, size,
					crashing[random_below(soak, 5)],
					record->crash_segment,
					record->crash_segment);
	snprintf(text + used, size - used, ",e%llx:9",
		 (unsigned long long)soak->next_id);
}

void crashes_arrival(soak_t *soak, const request_record_t *record)
{
	crash_log_t *log;

	if (!record || record->crash_segment < 0)
		return;
	log = &soak->crashes[record->crash_segment];
	if (!log->known_us ||
	    clock_monotonic_us() < log->known_us + STABLE_MS * US_PER_MS ||
	    !node_undisturbed(record->node))
		return;
	if (++log->late_arrivals > ALLOWED)
		soak_violation(soak,
			       "BUDGET %s reached a server: request %d with "
			       "segment bad%d from %s, %d crashes",
			       record->id, log->late_arrivals,
			       record->crash_segment, record->node->name,
			       log->crashes);
}

bool crashes_server(server_t *server, const request_record_t *record)
{
	soak_t *soak = server->soak;
	crash_log_t *log;

	if (!record || record->crash_segment < 0)
		return false;
	log = &soak->crashes[record->crash_segment];
	soak_note(soak, "%s crashes at bad%d (%s)", server->id,
		  record->crash_segment, record->id);
	if (++log->crashes == KNOWN_CRASHES)
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

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/mem.h"
#include "process/control.h"

/* Completions may wait: they only let a ramp grow. */
#define INTERVAL_US (500 * US_PER_MS)

typedef struct {
	UT_hash_handle hh;
	uint64_t request;
	char server[NAME_SIZE_BYTES];
} flight_t;

typedef struct {
	UT_hash_handle hh;
	char server[NAME_SIZE_BYTES];
	server_progress_t counts;
	bool warm; /* the owner needs no completions */
	int64_t sent_us;
} entry_t;

struct control_progress {
	control_t *control;
	flight_t *flights;
	entry_t *entries;
};

control_progress_t *control_progress_create(control_t *control)
{
	control_progress_t *progress = mem_calloc(1, sizeof(*progress));

	progress->control = control;
	return progress;
}

void control_progress_destroy(control_progress_t *progress)
{
	flight_t *flight, *next_flight;
	entry_t *entry, *next_entry;

	if (!progress)
		return;
	flight = progress->flights;
	HASH_CLEAR(hh, progress->flights);
	for (; flight; flight = next_flight) {
		next_flight = flight->hh.next;
		free(flight);
	}
	entry = progress->entries;
	HASH_CLEAR(hh, progress->entries);
	for (; entry; entry = next_entry) {
		next_entry = entry->hh.next;
		free(entry);
	}
	free(progress);
}

static flight_t *find_flight(const control_progress_t *progress,
			     uint64_t request)
{
	flight_t *flight;

	HASH_FIND(hh, progress->flights, &request, sizeof(request), flight);
	return flight;
}

static entry_t *obtain_entry(control_progress_t *progress, const char *server)
{
	entry_t *entry;

	HASH_FIND_STR(progress->entries, server, entry);
	if (entry)
		return entry;
	entry = mem_calloc(1, sizeof(*entry));
	mem_strlcpy(entry->server, server, sizeof(entry->server));
	mem_strlcpy(entry->counts.server, server, sizeof(entry->counts.server));
	HASH_ADD_STR(progress->entries, server, entry);
	return entry;
}

void control_progress_dispatched(control_progress_t *progress, uint64_t request,
				 const char *server)
{
	flight_t *flight = find_flight(progress, request);

	if (!flight) {
		flight = mem_calloc(1, sizeof(*flight));
		flight->request = request;
		HASH_ADD(hh, progress->flights, request, sizeof(request),
			 flight);
	}
	mem_strlcpy(flight->server, server, sizeof(flight->server));
}

static void count(server_progress_t *counts, attempt_end_t end)
{
	switch (end) {
	case ATTEMPT_COMPLETE:
		counts->completed++;
		break;
	case ATTEMPT_CONNECT_FAILED:
		counts->refused++;
		break;
	case ATTEMPT_BROKEN:
	case ATTEMPT_TIMED_OUT:
		counts->failed++;
		break;
	case ATTEMPT_REFUSED:
	case ATTEMPT_DEADLINE:
	case ATTEMPT_CALLER_GONE:
		break;
	}
}

void control_progress_finished(control_progress_t *progress, uint64_t request,
			       attempt_end_t end)
{
	flight_t *flight = find_flight(progress, request);

	if (!flight)
		return;
	count(&obtain_entry(progress, flight->server)->counts, end);
	HASH_DEL(progress->flights, flight);
	free(flight);
}

void control_progress_warm(control_progress_t *progress, const char *server,
			   bool warm)
{
	entry_t *entry;

	HASH_FIND_STR(progress->entries, server, entry);
	if (entry)
		entry->warm = warm;
}

static bool is_due(const entry_t *entry, int64_t now_us)
{
	const server_progress_t *counts = &entry->counts;

	if (counts->failed || counts->refused)
		return true;
	return counts->completed && !entry->warm &&
	       now_us - entry->sent_us >= INTERVAL_US;
}

static void send(control_progress_t *progress, entry_t *entry, int64_t now_us)
{
	control_t *control = progress->control;
	const char *owner =
		control_credits_owner(control->credits, entry->server);

	if (control_credits_owns(control->credits, entry->server))
		control_warmup_progress(control->warmup, &entry->counts);
	else if (*owner)
		control_members_send_progress(control->members, owner,
					      &entry->counts);
	entry->sent_us = now_us;
	entry->counts.completed = 0;
	entry->counts.failed = 0;
	entry->counts.refused = 0;
}

void control_progress_tick(control_progress_t *progress, int64_t now_us)
{
	entry_t *entry;

	for (entry = progress->entries; entry; entry = entry->hh.next)
		if (is_due(entry, now_us))
			send(progress, entry, now_us);
}

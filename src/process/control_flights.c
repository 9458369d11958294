#include <stdlib.h>
#include <uthash.h>

#include "base/mem.h"
#include "process/control.h"

/** A request in flight and the server of its newest attempt. */
typedef struct {
	UT_hash_handle hh;
	uint64_t request;
	char server[NAME_SIZE_BYTES];
} entry_t;

struct control_flights {
	control_t *control;
	entry_t *entries; /**< hash table by request */
};

control_flights_t *control_flights_create(control_t *control)
{
	control_flights_t *flights = mem_calloc(1, sizeof(*flights));

	flights->control = control;
	return flights;
}

void control_flights_destroy(control_flights_t *flights)
{
	entry_t *entry, *next;

	if (!flights)
		return;
	entry = flights->entries;
	HASH_CLEAR(hh, flights->entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
	free(flights);
}

static entry_t *find_entry(const control_flights_t *flights, uint64_t request)
{
	entry_t *entry;

	HASH_FIND(hh, flights->entries, &request, sizeof(request), entry);
	return entry;
}

void control_flights_dispatched(control_flights_t *flights, uint64_t request,
				const char *server)
{
	entry_t *entry = find_entry(flights, request);

	if (!entry) {
		entry = mem_calloc(1, sizeof(*entry));
		entry->request = request;
		HASH_ADD(hh, flights->entries, request, sizeof(request), entry);
	}
	mem_strlcpy(entry->server, server, sizeof(entry->server));
}

/*
 * @return true if the end of an attempt shows whether the server works; the
 *         other ends are decided by the caller, the deadline or a refusal
 */
static bool is_evidence(attempt_end_t end)
{
	switch (end) {
	case ATTEMPT_COMPLETE:
	case ATTEMPT_CONNECT_FAILED:
	case ATTEMPT_BROKEN:
	case ATTEMPT_TIMED_OUT:
		return true;
	case ATTEMPT_REFUSED:
	case ATTEMPT_DEADLINE:
	case ATTEMPT_CALLER_GONE:
		break;
	}
	return false;
}

void control_flights_finished(control_flights_t *flights, uint64_t request,
			      attempt_end_t end)
{
	resource_t resource = { .kind = RESOURCE_SERVER };
	entry_t *entry = find_entry(flights, request);

	if (!entry)
		return;
	mem_strlcpy(resource.name, entry->server, sizeof(resource.name));
	if (is_evidence(end))
		credit_holder_request_ended(flights->control->holder, &resource,
					    end == ATTEMPT_COMPLETE);
	HASH_DEL(flights->entries, entry);
	free(entry);
}

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

struct control_inflight {
	control_t *control;
	entry_t *entries; /**< hash table by request */
};

control_inflight_t *control_inflight_create(control_t *control)
{
	control_inflight_t *inflight = mem_calloc(1, sizeof(*inflight));

	inflight->control = control;
	return inflight;
}

void control_inflight_destroy(control_inflight_t *inflight)
{
	entry_t *entry, *next;

	if (!inflight)
		return;
	entry = inflight->entries;
	HASH_CLEAR(hh, inflight->entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
	free(inflight);
}

static entry_t *find_entry(const control_inflight_t *inflight, uint64_t request)
{
	entry_t *entry;

	HASH_FIND(hh, inflight->entries, &request, sizeof(request), entry);
	return entry;
}

void control_inflight_dispatched(control_inflight_t *inflight, uint64_t request,
				 const char *server)
{
	entry_t *entry = find_entry(inflight, request);

	if (!entry) {
		entry = mem_calloc(1, sizeof(*entry));
		entry->request = request;
		HASH_ADD(hh, inflight->entries, request, sizeof(request),
			 entry);
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

void control_inflight_finished(control_inflight_t *inflight, uint64_t request,
			       attempt_end_t end)
{
	resource_t resource = { .kind = RESOURCE_SERVER };
	entry_t *entry = find_entry(inflight, request);

	if (!entry)
		return;
	mem_strlcpy(resource.name, entry->server, sizeof(resource.name));
	if (is_evidence(end))
		credit_holder_request_ended(inflight->control->holder,
					    &resource, end == ATTEMPT_COMPLETE);
	HASH_DEL(inflight->entries, entry);
	free(entry);
}

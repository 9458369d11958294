#include <stdlib.h>
#include <uthash.h>

#include "base/mem.h"
#include "process/control.h"

typedef struct {
	UT_hash_handle hh;
	uint64_t request;
	char server[NAME_SIZE_BYTES];
} flight_t;

struct control_inflight {
	control_t *control;
	flight_t *inflight;
};

control_inflight_t *control_inflight_create(control_t *control)
{
	control_inflight_t *inflight = mem_calloc(1, sizeof(*inflight));

	inflight->control = control;
	return inflight;
}

void control_inflight_destroy(control_inflight_t *inflight)
{
	flight_t *flight, *next;

	if (!inflight)
		return;
	flight = inflight->inflight;
	HASH_CLEAR(hh, inflight->inflight);
	for (; flight; flight = next) {
		next = flight->hh.next;
		free(flight);
	}
	free(inflight);
}

static flight_t *find(const control_inflight_t *inflight, uint64_t request)
{
	flight_t *flight;

	HASH_FIND(hh, inflight->inflight, &request, sizeof(request), flight);
	return flight;
}

void control_inflight_dispatched(control_inflight_t *inflight, uint64_t request,
				 const char *server)
{
	flight_t *flight = find(inflight, request);

	if (!flight) {
		flight = mem_calloc(1, sizeof(*flight));
		flight->request = request;
		HASH_ADD(hh, inflight->inflight, request, sizeof(request),
			 flight);
	}
	mem_strlcpy(flight->server, server, sizeof(flight->server));
}

/* Whether the end of an attempt tells something about the server. */
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
	flight_t *flight = find(inflight, request);

	if (!flight)
		return;
	mem_strlcpy(resource.name, flight->server, sizeof(resource.name));
	if (is_evidence(end))
		credit_holder_request_ended(inflight->control->holder,
					    &resource, end == ATTEMPT_COMPLETE);
	HASH_DEL(inflight->inflight, flight);
	free(flight);
}

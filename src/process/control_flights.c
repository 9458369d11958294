#include <stdlib.h>
#include <uthash.h>

#include "base/mem.h"
#include "process/control.h"

typedef struct {
	UT_hash_handle hh;
	uint64_t request;
	char server[NAME_SIZE_BYTES];
} flight_t;

struct control_flights {
	control_t *control;
	flight_t *flights;
};

control_flights_t *control_flights_create(control_t *control)
{
	control_flights_t *flights = mem_calloc(1, sizeof(*flights));

	flights->control = control;
	return flights;
}

void control_flights_destroy(control_flights_t *flights)
{
	flight_t *flight, *next;

	if (!flights)
		return;
	flight = flights->flights;
	HASH_CLEAR(hh, flights->flights);
	for (; flight; flight = next) {
		next = flight->hh.next;
		free(flight);
	}
	free(flights);
}

static flight_t *find(const control_flights_t *flights, uint64_t request)
{
	flight_t *flight;

	HASH_FIND(hh, flights->flights, &request, sizeof(request), flight);
	return flight;
}

void control_flights_dispatched(control_flights_t *flights, uint64_t request,
				const char *server)
{
	flight_t *flight = find(flights, request);

	if (!flight) {
		flight = mem_calloc(1, sizeof(*flight));
		flight->request = request;
		HASH_ADD(hh, flights->flights, request, sizeof(request),
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

void control_flights_finished(control_flights_t *flights, uint64_t request,
			      attempt_end_t end)
{
	resource_t resource = { .kind = RESOURCE_SERVER };
	flight_t *flight = find(flights, request);

	if (!flight)
		return;
	mem_strlcpy(resource.name, flight->server, sizeof(resource.name));
	if (is_evidence(end))
		credit_holder_request_ended(flights->control->holder, &resource,
					    end == ATTEMPT_COMPLETE);
	HASH_DEL(flights->flights, flight);
	free(flight);
}

#include "duty/duty_lease.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/mem.h"

/* Name of the lease in the store. */
#define LEASE_NAME "duties"

/* Times as fractions of the lease's duration. A holder starts no call in the
 * last STOP_FRACTION of the lease. This is longer than the timeout of a call,
 * CALL_FRACTION, so every call ends before the lease does. */
#define RENEW_FRACTION 0.25
#define STOP_FRACTION 0.25
#define CALL_FRACTION 0.2
#define POLL_FRACTION 0.5 /* between two reads by a candidate */
/* A node does not request the lease for this time after a start or a loss of
 * the lease. The time is longer than the lease, since calls of this node may
 * still be on their way. */
#define ABSTAIN_FRACTION 1.2

struct duty_lease {
	platform_t *platform;
	lease_t *lease;
	int64_t duration_us;
};

duty_lease_t *duty_lease_create(platform_t *platform, const char *node,
				uint64_t incarnation, int64_t duration_us)
{
	duty_lease_t *duty = mem_calloc(1, sizeof(*duty));
	double duration = (double)duration_us;
	lease_times_t times = {
		.duration_us = duration_us,
		.renew_us = (int64_t)(duration * RENEW_FRACTION),
		.stop_us = (int64_t)(duration * STOP_FRACTION),
		.poll_us = (int64_t)(duration * POLL_FRACTION),
		.abstain_us = (int64_t)(duration * ABSTAIN_FRACTION),
	};

	duty->platform = platform;
	duty->duration_us = duration_us;
	duty->lease = lease_create(LEASE_NAME, node, incarnation, &times,
				   clock_boot_us());
	lease_set_wanted(duty->lease, false);
	return duty;
}

void duty_lease_destroy(duty_lease_t *duty)
{
	if (!duty)
		return;
	lease_destroy(duty->lease);
	free(duty);
}

static void on_answer(void *context, platform_status_t status,
		      const platform_object_t *object)
{
	duty_lease_t *duty = context;

	lease_result(duty->lease, status, object, clock_boot_us());
}

void duty_lease_step(duty_lease_t *duty, bool wanted)
{
	lease_action_t action;

	lease_set_wanted(duty->lease, wanted);
	if (!lease_next(duty->lease, &action, clock_boot_us()))
		return;
	switch (action.type) {
	case LEASE_ACTION_READ:
		platform_get(duty->platform, PLATFORM_LEASES, LEASE_NAME,
			     on_answer, duty);
		return;
	case LEASE_ACTION_CREATE:
		platform_create_object(duty->platform, PLATFORM_LEASES,
				       LEASE_NAME, action.spec, on_answer,
				       duty);
		return;
	case LEASE_ACTION_PUT:
		platform_put(duty->platform, PLATFORM_LEASES, LEASE_NAME,
			     action.version, action.spec, on_answer, duty);
		return;
	}
}

void duty_lease_store_restored(duty_lease_t *duty)
{
	lease_store_restored(duty->lease, clock_boot_us());
}

bool duty_lease_held(const duty_lease_t *duty)
{
	return lease_held(duty->lease, clock_boot_us());
}

lease_t *duty_lease(const duty_lease_t *duty)
{
	return duty->lease;
}

int64_t duty_lease_call_timeout_ms(const duty_lease_t *duty)
{
	return (int64_t)((double)duty->duration_us * CALL_FRACTION) / US_PER_MS;
}

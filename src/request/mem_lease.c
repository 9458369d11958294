#include "request/mem_lease.h"

#include <string.h>

#include "base/mem.h"

/* A lease outlives 2 lost renewals. */
enum { RENEWALS_PER_LEASE = 3 };
/* Pause before an order that was denied or not answered is sent again. */
#define RETRY_PAUSE_US (250 * US_PER_MS)

void mem_lease_init(mem_lease_t *lease, const char *id, int64_t tokens,
		    int64_t lease_us, int64_t now_us)
{
	memset(lease, 0, sizeof(*lease));
	mem_strlcpy(lease->id, id, sizeof(lease->id));
	lease->tokens = tokens;
	lease->lease_us = lease_us;
	lease->state = MEM_LEASE_REQUESTED;
	lease->due_us = now_us;
}

static mem_lease_order_t start_order(mem_lease_t *lease,
				     mem_lease_order_t order, int64_t now_us)
{
	lease->in_flight = order;
	lease->sent_us = now_us;
	if (order == MEM_LEASE_RESERVE)
		lease->may_hold = true;
	return order;
}

mem_lease_order_t mem_lease_next(mem_lease_t *lease, int64_t now_us)
{
	if (lease->in_flight != MEM_LEASE_NONE || now_us < lease->due_us)
		return MEM_LEASE_NONE;
	switch (lease->state) {
	case MEM_LEASE_REQUESTED:
	case MEM_LEASE_HELD:
		return start_order(lease, MEM_LEASE_RESERVE, now_us);
	case MEM_LEASE_RELEASING:
		return start_order(lease, MEM_LEASE_RELEASE, now_us);
	case MEM_LEASE_REFUSED:
	case MEM_LEASE_GONE:
		break;
	}
	return MEM_LEASE_NONE;
}

static void apply_reserve_answer(mem_lease_t *lease, mem_lease_answer_t answer,
				 int64_t now_us)
{
	switch (answer) {
	case MEM_LEASE_DONE:
		lease->held_until_us = now_us + lease->lease_us;
		lease->due_us =
			lease->sent_us + lease->lease_us / RENEWALS_PER_LEASE;
		if (lease->state == MEM_LEASE_REQUESTED)
			lease->state = MEM_LEASE_HELD;
		return;
	case MEM_LEASE_DENIED:
		if (lease->state == MEM_LEASE_REQUESTED) {
			lease->state = MEM_LEASE_REFUSED;
			lease->may_hold = false;
		}
		lease->due_us = now_us + RETRY_PAUSE_US;
		return;
	case MEM_LEASE_LOST:
		lease->held_until_us = now_us + lease->lease_us;
		if (lease->state == MEM_LEASE_REQUESTED)
			lease->state = MEM_LEASE_REFUSED;
		lease->due_us = now_us + RETRY_PAUSE_US;
		return;
	}
}

static void apply_release_answer(mem_lease_t *lease, mem_lease_answer_t answer,
				 int64_t now_us)
{
	lease->due_us = now_us + RETRY_PAUSE_US;
	if (answer != MEM_LEASE_LOST || now_us > lease->held_until_us)
		lease->state = MEM_LEASE_GONE;
}

void mem_lease_answered(mem_lease_t *lease, mem_lease_answer_t answer,
			int64_t now_us)
{
	mem_lease_order_t order = lease->in_flight;

	lease->in_flight = MEM_LEASE_NONE;
	if (order == MEM_LEASE_RELEASE) {
		apply_release_answer(lease, answer, now_us);
		return;
	}
	apply_reserve_answer(lease, answer, now_us);
	/* The lease was to be released while the reserve order was in flight.
	 */
	if (lease->state == MEM_LEASE_RELEASING)
		lease->due_us = now_us;
}

void mem_lease_release(mem_lease_t *lease, int64_t now_us)
{
	if (lease->state == MEM_LEASE_GONE)
		return;
	lease->state = lease->may_hold ? MEM_LEASE_RELEASING : MEM_LEASE_GONE;
	lease->due_us = now_us;
}

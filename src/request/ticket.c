#include "request/ticket.h"

#include <string.h>

#include "base/mem.h"

/* A lease outlives two renewals that are lost. */
enum { RENEWALS_PER_LEASE = 3 };
/* Pause before an order that was not answered is sent again. */
#define REPEAT_US (250 * US_PER_MS)

void mem_lease_init(mem_lease_t *ticket, const char *id, int64_t tokens,
		    int64_t lease_us, int64_t now_us)
{
	memset(ticket, 0, sizeof(*ticket));
	mem_strlcpy(ticket->id, id, sizeof(ticket->id));
	ticket->tokens = tokens;
	ticket->lease_us = lease_us;
	ticket->state = MEM_LEASE_REQUESTED;
	ticket->due_us = now_us;
}

static mem_lease_order_t send(mem_lease_t *ticket, mem_lease_order_t order,
			      int64_t now_us)
{
	ticket->in_flight = order;
	ticket->sent_us = now_us;
	if (order == MEM_LEASE_RESERVE)
		ticket->may_hold = true;
	return order;
}

mem_lease_order_t mem_lease_next(mem_lease_t *ticket, int64_t now_us)
{
	if (ticket->in_flight != MEM_LEASE_NONE || now_us < ticket->due_us)
		return MEM_LEASE_NONE;
	switch (ticket->state) {
	case MEM_LEASE_REQUESTED:
	case MEM_LEASE_HELD:
		return send(ticket, MEM_LEASE_RESERVE, now_us);
	case MEM_LEASE_RELEASING:
		return send(ticket, MEM_LEASE_RELEASE, now_us);
	case MEM_LEASE_REFUSED:
	case MEM_LEASE_GONE:
		break;
	}
	return MEM_LEASE_NONE;
}

static void reserve_answered(mem_lease_t *ticket, mem_lease_answer_t answer,
			     int64_t now_us)
{
	switch (answer) {
	case MEM_LEASE_DONE:
		ticket->held_until_us = now_us + ticket->lease_us;
		ticket->due_us =
			ticket->sent_us + ticket->lease_us / RENEWALS_PER_LEASE;
		if (ticket->state == MEM_LEASE_REQUESTED)
			ticket->state = MEM_LEASE_HELD;
		return;
	case MEM_LEASE_DENIED:
		if (ticket->state == MEM_LEASE_REQUESTED) {
			ticket->state = MEM_LEASE_REFUSED;
			ticket->may_hold = false;
		}
		ticket->due_us = now_us + REPEAT_US;
		return;
	case MEM_LEASE_LOST:
		ticket->held_until_us = now_us + ticket->lease_us;
		if (ticket->state == MEM_LEASE_REQUESTED)
			ticket->state = MEM_LEASE_REFUSED;
		ticket->due_us = now_us + REPEAT_US;
		return;
	}
}

static void release_answered(mem_lease_t *ticket, mem_lease_answer_t answer,
			     int64_t now_us)
{
	ticket->due_us = now_us + REPEAT_US;
	if (answer != MEM_LEASE_LOST || now_us > ticket->held_until_us)
		ticket->state = MEM_LEASE_GONE;
}

void mem_lease_answered(mem_lease_t *ticket, mem_lease_answer_t answer,
			int64_t now_us)
{
	mem_lease_order_t order = ticket->in_flight;

	ticket->in_flight = MEM_LEASE_NONE;
	if (order == MEM_LEASE_RELEASE) {
		release_answered(ticket, answer, now_us);
		return;
	}
	reserve_answered(ticket, answer, now_us);
	/* It was to be released while the order was under way. */
	if (ticket->state == MEM_LEASE_RELEASING)
		ticket->due_us = now_us;
}

void mem_lease_release(mem_lease_t *ticket, int64_t now_us)
{
	if (ticket->state == MEM_LEASE_GONE)
		return;
	ticket->state = ticket->may_hold ? MEM_LEASE_RELEASING : MEM_LEASE_GONE;
	ticket->due_us = now_us;
}

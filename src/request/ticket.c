#include "request/ticket.h"

#include <string.h>

#include "base/mem.h"

/* A lease outlives 2 lost renewals. */
enum { RENEWALS_PER_LEASE = 3 };
/* Pause before an order without an answer is sent again. */
#define RETRY_PAUSE_US (250 * US_PER_MS)

void ticket_init(ticket_t *lease, const char *id, int64_t tokens,
		 int64_t lease_us, int64_t now_us)
{
	memset(lease, 0, sizeof(*lease));
	mem_strlcpy(lease->id, id, sizeof(lease->id));
	lease->tokens = tokens;
	lease->lease_us = lease_us;
	lease->state = TICKET_ASKED;
	lease->due_us = now_us;
}

static ticket_order_t start_order(ticket_t *lease, ticket_order_t order,
				  int64_t now_us)
{
	lease->in_flight = order;
	lease->sent_us = now_us;
	if (order == TICKET_RESERVE)
		lease->may_hold = true;
	return order;
}

ticket_order_t ticket_next(ticket_t *lease, int64_t now_us)
{
	if (lease->in_flight != TICKET_NONE || now_us < lease->due_us)
		return TICKET_NONE;
	switch (lease->state) {
	case TICKET_ASKED:
	case TICKET_HELD:
		return start_order(lease, TICKET_RESERVE, now_us);
	case TICKET_RELEASING:
		return start_order(lease, TICKET_RELEASE, now_us);
	case TICKET_REFUSED:
	case TICKET_GONE:
		break;
	}
	return TICKET_NONE;
}

static void apply_reserve_answer(ticket_t *lease, ticket_answer_t answer,
				 int64_t now_us)
{
	switch (answer) {
	case TICKET_DONE:
		lease->held_until_us = now_us + lease->lease_us;
		lease->due_us =
			lease->sent_us + lease->lease_us / RENEWALS_PER_LEASE;
		if (lease->state == TICKET_ASKED)
			lease->state = TICKET_HELD;
		return;
	case TICKET_DENIED:
		if (lease->state == TICKET_ASKED) {
			lease->state = TICKET_REFUSED;
			lease->may_hold = false;
		}
		lease->due_us = now_us + RETRY_PAUSE_US;
		return;
	case TICKET_LOST:
		lease->held_until_us = now_us + lease->lease_us;
		if (lease->state == TICKET_ASKED)
			lease->state = TICKET_REFUSED;
		lease->due_us = now_us + RETRY_PAUSE_US;
		return;
	}
}

static void apply_release_answer(ticket_t *lease, ticket_answer_t answer,
				 int64_t now_us)
{
	lease->due_us = now_us + RETRY_PAUSE_US;
	if (answer != TICKET_LOST || now_us > lease->held_until_us)
		lease->state = TICKET_GONE;
}

void ticket_answered(ticket_t *lease, ticket_answer_t answer, int64_t now_us)
{
	ticket_order_t order = lease->in_flight;

	lease->in_flight = TICKET_NONE;
	if (order == TICKET_RELEASE) {
		apply_release_answer(lease, answer, now_us);
		return;
	}
	apply_reserve_answer(lease, answer, now_us);
	/* The lease was to be released while the reserve order was in flight.
	 */
	if (lease->state == TICKET_RELEASING)
		lease->due_us = now_us;
}

void ticket_release(ticket_t *lease, int64_t now_us)
{
	if (lease->state == TICKET_GONE)
		return;
	lease->state = lease->may_hold ? TICKET_RELEASING : TICKET_GONE;
	lease->due_us = now_us;
}

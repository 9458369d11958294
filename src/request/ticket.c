#include "request/ticket.h"

#include <string.h>

#include "base/mem.h"

/* A lease outlives two renewals that are lost. */
enum { RENEWALS_PER_LEASE = 3 };
/* Pause before an order that was not answered is sent again. */
#define REPEAT_US (250 * US_PER_MS)

void ticket_init(ticket_t *ticket, const char *id, int64_t tokens,
		 int64_t lease_us, int64_t now_us)
{
	memset(ticket, 0, sizeof(*ticket));
	mem_strlcpy(ticket->id, id, sizeof(ticket->id));
	ticket->tokens = tokens;
	ticket->lease_us = lease_us;
	ticket->state = TICKET_ASKED;
	ticket->due_us = now_us;
}

static ticket_order_t send(ticket_t *ticket, ticket_order_t order,
			   int64_t now_us)
{
	ticket->in_flight = order;
	ticket->sent_us = now_us;
	if (order == TICKET_RESERVE)
		ticket->may_hold = true;
	return order;
}

ticket_order_t ticket_next(ticket_t *ticket, int64_t now_us)
{
	if (ticket->in_flight != TICKET_NONE || now_us < ticket->due_us)
		return TICKET_NONE;
	switch (ticket->state) {
	case TICKET_ASKED:
	case TICKET_HELD:
		return send(ticket, TICKET_RESERVE, now_us);
	case TICKET_RELEASING:
		return send(ticket, TICKET_RELEASE, now_us);
	case TICKET_REFUSED:
	case TICKET_GONE:
		break;
	}
	return TICKET_NONE;
}

static void reserve_answered(ticket_t *ticket, ticket_answer_t answer,
			     int64_t now_us)
{
	switch (answer) {
	case TICKET_DONE:
		ticket->held_until_us = now_us + ticket->lease_us;
		ticket->due_us =
			ticket->sent_us + ticket->lease_us / RENEWALS_PER_LEASE;
		if (ticket->state == TICKET_ASKED)
			ticket->state = TICKET_HELD;
		return;
	case TICKET_DENIED:
		if (ticket->state == TICKET_ASKED) {
			ticket->state = TICKET_REFUSED;
			ticket->may_hold = false;
		}
		ticket->due_us = now_us + REPEAT_US;
		return;
	case TICKET_LOST:
		ticket->held_until_us = now_us + ticket->lease_us;
		if (ticket->state == TICKET_ASKED)
			ticket->state = TICKET_REFUSED;
		ticket->due_us = now_us + REPEAT_US;
		return;
	}
}

static void release_answered(ticket_t *ticket, ticket_answer_t answer,
			     int64_t now_us)
{
	ticket->due_us = now_us + REPEAT_US;
	if (answer != TICKET_LOST || now_us > ticket->held_until_us)
		ticket->state = TICKET_GONE;
}

void ticket_answered(ticket_t *ticket, ticket_answer_t answer, int64_t now_us)
{
	ticket_order_t order = ticket->in_flight;

	ticket->in_flight = TICKET_NONE;
	if (order == TICKET_RELEASE) {
		release_answered(ticket, answer, now_us);
		return;
	}
	reserve_answered(ticket, answer, now_us);
	/* It was to be released while the order was under way. */
	if (ticket->state == TICKET_RELEASING)
		ticket->due_us = now_us;
}

void ticket_release(ticket_t *ticket, int64_t now_us)
{
	if (ticket->state == TICKET_GONE)
		return;
	ticket->state = ticket->may_hold ? TICKET_RELEASING : TICKET_GONE;
	ticket->due_us = now_us;
}

/**
 * @file ticket.h
 * Lease of KV cache on one engine. Pure: time and answers are arguments, the
 * next order is the result.
 *
 * Leases are short and renewed while they are in use, so that the memory is
 * free soon after a node that holds one is gone.
 */
#ifndef REQUEST_TICKET_H
#define REQUEST_TICKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/units.h"

typedef enum {
	TICKET_ASKED, /**< no answer yet */
	TICKET_HELD,
	TICKET_REFUSED, /**< no memory, or no answer in time */
	TICKET_RELEASING,
	TICKET_GONE
} ticket_state_t;

typedef enum { TICKET_NONE, TICKET_RESERVE, TICKET_RELEASE } ticket_order_t;

typedef enum {
	TICKET_DONE,
	TICKET_DENIED, /**< the engine refused the order */
	TICKET_LOST /**< no answer: it may be carried out, now or later */
} ticket_answer_t;

typedef struct {
	char id[NAME_SIZE_BYTES];
	int64_t tokens;
	int64_t lease_us;
	ticket_state_t state;
	bool may_hold; /**< an order that reserves was sent */
	ticket_order_t in_flight;
	int64_t sent_us; /**< of the last order */
	int64_t held_until_us; /**< the engine frees it by then at the latest */
	int64_t due_us; /**< of the next order */
} ticket_t;

void ticket_init(ticket_t *ticket, const char *id, int64_t tokens,
		 int64_t lease_us, int64_t now_us);

/** @return the order to send now; the user reports how it ended. */
ticket_order_t ticket_next(ticket_t *ticket, int64_t now_us);

void ticket_answered(ticket_t *ticket, ticket_answer_t answer, int64_t now_us);

/** The request that used it ended, or will not be sent. */
void ticket_release(ticket_t *ticket, int64_t now_us);

#endif

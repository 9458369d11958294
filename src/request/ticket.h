/**
 * @file ticket.h
 * Memory lease: lease of KV cache on one engine. Does no I/O: time and answers
 * are arguments, the next order to the engine is the result.
 *
 * Leases are short and renewed while they are in use, so that the memory of a
 * node that died is free soon afterwards.
 */
#ifndef REQUEST_TICKET_H
#define REQUEST_TICKET_H

#include <stdbool.h>
#include <stdint.h>

#include "base/units.h"

typedef enum {
	TICKET_ASKED, /**< requested; the engine has not answered yet */
	TICKET_HELD, /**< granted; it is renewed */
	TICKET_REFUSED, /**< the engine has no memory, or the answer was lost */
	TICKET_RELEASING, /**< not used any more; not confirmed yet */
	TICKET_GONE /**< released, expired, or never granted */
} ticket_state_t;

/** Order to an engine. TICKET_RESERVE also renews a lease. */
typedef enum { TICKET_NONE, TICKET_RESERVE, TICKET_RELEASE } ticket_order_t;

/** Result of an order. */
typedef enum {
	TICKET_DONE, /**< the engine executed the order */
	TICKET_DENIED, /**< the engine refused the order */
	TICKET_LOST /**< no answer: the engine may execute the order, now or
		     * later */
} ticket_answer_t;

typedef struct {
	char id[NAME_SIZE_BYTES];
	int64_t tokens; /**< KV cache to reserve */
	int64_t lease_us; /**< duration of the lease without renewal */
	ticket_state_t state;
	bool may_hold; /**< a reserve order was sent and not denied: the engine
			* may hold memory */
	ticket_order_t in_flight; /**< order without an answer yet, or none */
	int64_t sent_us; /**< when the last order was sent */
	int64_t held_until_us; /**< when the engine frees the memory at the
				* latest; 0: nothing was reserved yet */
	int64_t due_us; /**< when the next order is due */
} ticket_t;

void ticket_init(ticket_t *lease, const char *id, int64_t tokens,
		 int64_t lease_us, int64_t now_us);

/**
 * @return order that the user of the lease sends now, and whose result it
 * passes to ticket_answered()
 */
ticket_order_t ticket_next(ticket_t *lease, int64_t now_us);

/** Records the result of the order in flight. */
void ticket_answered(ticket_t *lease, ticket_answer_t answer, int64_t now_us);

/** Starts the release: the request using the lease ended or is not sent. */
void ticket_release(ticket_t *lease, int64_t now_us);

#endif

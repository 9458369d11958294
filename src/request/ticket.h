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
	MEM_LEASE_REQUESTED, /**< no answer yet */
	MEM_LEASE_HELD,
	MEM_LEASE_REFUSED, /**< no memory, or no answer in time */
	MEM_LEASE_RELEASING,
	MEM_LEASE_GONE
} mem_lease_state_t;

typedef enum {
	MEM_LEASE_NONE,
	MEM_LEASE_RESERVE,
	MEM_LEASE_RELEASE
} mem_lease_order_t;

typedef enum {
	MEM_LEASE_DONE,
	MEM_LEASE_DENIED, /**< the engine refused the order */
	MEM_LEASE_LOST /**< no answer: it may be carried out, now or later */
} mem_lease_answer_t;

typedef struct {
	char id[NAME_SIZE_BYTES];
	int64_t tokens;
	int64_t lease_us;
	mem_lease_state_t state;
	bool may_hold; /**< an order that reserves was sent */
	mem_lease_order_t in_flight;
	int64_t sent_us; /**< of the last order */
	int64_t held_until_us; /**< the engine frees it by then at the latest */
	int64_t due_us; /**< of the next order */
} mem_lease_t;

void mem_lease_init(mem_lease_t *ticket, const char *id, int64_t tokens,
		    int64_t lease_us, int64_t now_us);

/** @return the order to send now; the user reports how it ended. */
mem_lease_order_t mem_lease_next(mem_lease_t *ticket, int64_t now_us);

void mem_lease_answered(mem_lease_t *ticket, mem_lease_answer_t answer,
			int64_t now_us);

/** The request that used it ended, or will not be sent. */
void mem_lease_release(mem_lease_t *ticket, int64_t now_us);

#endif

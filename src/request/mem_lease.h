/**
 * @file mem_lease.h
 * Memory lease: lease of KV cache on one engine. Does no I/O: time and answers
 * are arguments, the next order to the engine is the result.
 *
 * Leases are short and renewed while they are in use, so that the memory of a
 * node that died is free soon afterwards.
 */
#ifndef REQUEST_MEM_LEASE_H
#define REQUEST_MEM_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/units.h"

typedef enum {
	MEM_LEASE_REQUESTED, /**< requested; the engine has not answered yet */
	MEM_LEASE_HELD, /**< granted; it is renewed */
	MEM_LEASE_REFUSED, /**< the engine has no memory, or did not answer */
	MEM_LEASE_RELEASING, /**< not used any more; the engine has not
			      * confirmed the release */
	MEM_LEASE_GONE /**< released, expired, or never granted */
} mem_lease_state_t;

/** Order to an engine. MEM_LEASE_RESERVE also renews a lease. */
typedef enum {
	MEM_LEASE_NONE,
	MEM_LEASE_RESERVE,
	MEM_LEASE_RELEASE
} mem_lease_order_t;

/** Result of an order. */
typedef enum {
	MEM_LEASE_DONE, /**< the engine executed the order */
	MEM_LEASE_DENIED, /**< the engine refused the order */
	MEM_LEASE_LOST /**< no answer: the engine may execute the order, now or
			* later */
} mem_lease_answer_t;

typedef struct {
	char id[NAME_SIZE_BYTES];
	int64_t tokens; /**< KV cache to reserve */
	int64_t lease_us; /**< duration of the lease without renewal */
	mem_lease_state_t state;
	bool may_hold; /**< a reserve order was sent and not denied: the engine
			* may hold memory */
	mem_lease_order_t
		in_flight; /**< order without an answer yet, or none */
	int64_t sent_us; /**< when the last order was sent */
	int64_t held_until_us; /**< when the engine frees the memory at the
				* latest; 0: nothing was reserved yet */
	int64_t due_us; /**< when the next order is due */
} mem_lease_t;

void mem_lease_init(mem_lease_t *lease, const char *id, int64_t tokens,
		    int64_t lease_us, int64_t now_us);

/**
 * @return order that the user of the lease sends now, and whose result it
 * passes to mem_lease_answered(); MEM_LEASE_NONE: no order is due
 */
mem_lease_order_t mem_lease_next(mem_lease_t *lease, int64_t now_us);

/** Records the result of the order in flight. */
void mem_lease_answered(mem_lease_t *lease, mem_lease_answer_t answer,
			int64_t now_us);

/** Starts the release: the request using the lease ended or is not sent. */
void mem_lease_release(mem_lease_t *lease, int64_t now_us);

#endif

/**
 * @file claim_count.h
 * Estimate of the number of claims in the fleet. Performs no I/O.
 *
 * One node sweeps the store: it reads all claims and removes the old ones. That
 * node knows the number of claims. Every other node counts the claims that it
 * created during the last 24 h, the time that a claim is kept, and assumes that
 * all nodes create equally many.
 */
#ifndef REQUEST_CLAIM_COUNT_H
#define REQUEST_CLAIM_COUNT_H

#include <stdbool.h>
#include <stdint.h>

/* The last 24 full hours and the current one. */
enum { CLAIM_COUNT_HOURS = 25 };

typedef struct {
	int64_t sweep_claims; /**< claims found by the last sweep; 0: none */
	int64_t last_sweep_us; /**< end of the last sweep, monotonic; 0: none */
	int64_t hour; /**< newest hour of the ring: monotonic time in h */
	int64_t created[CLAIM_COUNT_HOURS]; /**< claims created in each hour,
					     * indexed modulo the size */
} claim_count_t;

/** Counts a claim that exists until a sweep removes it. */
void claim_count_add(claim_count_t *count, int64_t now_us);

/**
 * Replaces the counts with the result of a complete sweep. Claims created
 * during the sweep are counted by the next sweep.
 */
void claim_count_swept(claim_count_t *count, int64_t claims, int64_t now_us);

/**
 * @param open   claims of this node that are not counted yet
 * @param nodes  number of nodes that create claims
 * @param max    bound on the number of claims in the fleet
 * @return true if one more claim may be created
 */
bool claim_count_admit(claim_count_t *count, int64_t open, int32_t nodes,
		       int64_t max, int64_t now_us);

#endif

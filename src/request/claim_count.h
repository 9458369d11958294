/**
 * @file claim_count.h
 * How many claims exist, as far as this node knows. Pure.
 *
 * The node that sweeps knows the number of objects; every other node counts
 * what it sent during the last 24 h, the time that a claim is kept, and takes
 * it that all nodes send alike.
 */
#ifndef REQUEST_CLAIM_COUNT_H
#define REQUEST_CLAIM_COUNT_H

#include <stdbool.h>
#include <stdint.h>

/* 24 h and the hour that has begun. */
enum { CLAIM_COUNT_HOURS = 25 };

typedef struct {
	int64_t swept; /**< objects that the last sweep found */
	int64_t swept_us; /**< monotonic */
	int64_t hour; /**< of the newest count */
	int64_t created[CLAIM_COUNT_HOURS]; /**< by hour, as a ring */
} claim_count_t;

/** Counts a claim that stays until it is swept. */
void claim_count_add(claim_count_t *count, int64_t now_us);

/** A sweep is complete; claims made during it are found by the next. */
void claim_count_swept(claim_count_t *count, int64_t claims, int64_t now_us);

/**
 * Whether one more claim may be created.
 * @param open   claims of this node that are not counted yet
 * @param nodes  nodes that create claims
 * @param max    bound on the number of objects
 */
bool claim_count_admit(claim_count_t *count, int64_t open, int32_t nodes,
		       int64_t max, int64_t now_us);

#endif

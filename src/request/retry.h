/**
 * @file retry.h
 * Retry budget of one service: new attempts are a bounded share of recent
 * requests, so failures cannot multiply the load on what is left.
 */
#ifndef REQUEST_RETRY_H
#define REQUEST_RETRY_H

#include <stdbool.h>
#include <stdint.h>

enum {
	RETRY_WINDOW_S = 10, /**< what counts as recent */
	/** Allowed whatever the load, so that a service with few requests can
	 * survive the loss of a server. */
	RETRY_FLOOR = 3
};

typedef struct {
	int64_t second; /**< of the newest entry below */
	int32_t requests[RETRY_WINDOW_S];
	int32_t retries[RETRY_WINDOW_S];
} retry_budget_t;

/** Counts a new request. */
void retry_count_request(retry_budget_t *budget, int64_t now_us);

/**
 * Takes one new attempt from the budget.
 * @param percent of the requests in the window; 0 allows no retry at all
 * @return false if the budget is used up
 */
bool retry_take(retry_budget_t *budget, int32_t percent, int64_t now_us);

/**
 * The same with a floor of the caller's choice instead of RETRY_FLOOR.
 */
bool retry_take_floor(retry_budget_t *budget, int32_t percent, int32_t floor,
		      int64_t now_us);

#endif

/**
 * @file retry.h
 * Retry budget of a service: retries are limited to a percentage of recent
 * requests, so that failures cannot multiply the load on the servers that are
 * left.
 */
#ifndef REQUEST_RETRY_H
#define REQUEST_RETRY_H

#include <stdbool.h>
#include <stdint.h>

enum {
	RETRY_WINDOW_S = 10, /**< requests of this time count as recent */
	/** Seconds for which retries are kept: one more than the window, as the
	 * first second lies in the window only in part. */
	RETRY_KEPT_S = RETRY_WINDOW_S + 1,
	/** Retries in the window that are allowed whatever the load, so that a
	 * service with few requests can survive the loss of a server. */
	RETRY_FLOOR = 3
};

typedef struct {
	int64_t second; /**< monotonic clock, in s, of the newest entry of the
			 * arrays, which are indexed modulo the window */
	int32_t requests[RETRY_KEPT_S]; /**< new requests in each second */
	int32_t retries[RETRY_KEPT_S]; /**< retries in each second */
} retry_budget_t;

/** What a budget allows in a window. */
typedef struct {
	double ratio; /**< retries per request in the window */
	double floor; /**< retries that are allowed whatever the load */
} retry_limits_t;

/** Counts a new request. */
void retry_count_request(retry_budget_t *budget, int64_t now_us);

/**
 * Takes one retry from the budget, which is RETRY_FLOOR plus a percentage.
 * @param percent retries in % of the requests in the window; 0: no retries
 * @return false if the budget is used up
 */
bool retry_take(retry_budget_t *budget, int32_t percent, int64_t now_us);

/**
 * Takes one retry from the budget. In any RETRY_WINDOW_S, no more retries are
 * taken than @p limits allows for the requests of that time.
 * @return false if the budget is used up
 */
bool retry_take_within(retry_budget_t *budget, const retry_limits_t *limits,
		       int64_t now_us);

#endif

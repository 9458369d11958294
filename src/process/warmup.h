/**
 * @file warmup.h
 * Slow start of one backend server: the limit of its requests in flight after a
 * cold start.
 *
 * A server counts as cold until completed requests show that it is warm. The
 * limit starts at the configured cold limit and grows by 1 for each completed
 * request, so that each full round of requests doubles the limit. A request
 * that completed while n - 1 others were in flight is evidence that the server
 * can run n, and n + 1 is a small step. The limit stays within twice the
 * observed concurrency, so that the limit of an idle server does not grow. The
 * node that owns the server keeps this state. Pure: no clock, no input or
 * output.
 */
#ifndef PROCESS_WARMUP_H
#define PROCESS_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "process/load.h"

typedef struct {
	int32_t cold_requests; /**< limit of a cold server */
	int32_t max_requests; /**< limit of a warm server */
	int32_t limit; /**< limit of requests in flight now */
	/** Requests in flight at the last reset; their end is no evidence. */
	int32_t stale;
	bool reported; /**< a load report arrived since warmup_start() */
	uint64_t incarnation; /**< server's incarnation in the newest load
				 report */
	int64_t taken_us; /**< when the server measured its newest report */
} warmup_t;

/** Event that resets the limit to the cold limit. */
typedef enum {
	WARMUP_CONNECTION_REFUSED,
	WARMUP_STREAM_FAILED,
	WARMUP_RESTORED /**< server or data centre is in service again */
} warmup_event_t;

/**
 * Starts at the cold limit. Call for a server that is new in the configuration
 * or that this node becomes the owner of.
 */
void warmup_start(warmup_t *warmup, int32_t cold_requests,
		  int32_t max_requests);

/**
 * Applies changed limits. A cold server gets the new cold limit, a warm server
 * the new maximum; any other limit is clamped to the new range.
 */
void warmup_configure(warmup_t *warmup, int32_t cold_requests,
		      int32_t max_requests);

/**
 * Applies a load report of the server, unless a newer report was applied
 * before. A new incarnation, or a report that the server is cold, resets the
 * limit. In the first report after warmup_start(), the requests that a server
 * runs without being cold are evidence, so that a new owner does not stop the
 * requests to a busy server.
 * @param in_flight requests sent and not ended, plus unused credits in blocks
 */
void warmup_update(warmup_t *warmup, const load_report_t *report,
		   int32_t in_flight);

/**
 * Resets the limit to the cold limit.
 * @param in_flight as for warmup_update()
 */
void warmup_reset(warmup_t *warmup, warmup_event_t event, int32_t in_flight);

/**
 * Raises the limit for completed requests, except the stale ones.
 * @param count requests that completed since the last call
 * @param in_flight requests that still run
 */
void warmup_count_completed(warmup_t *warmup, int32_t count, int32_t in_flight);

/** @return the limit of requests in flight on the server now. */
int32_t warmup_limit(const warmup_t *warmup);

/** @return true if one more request may be sent. */
bool warmup_may_send(const warmup_t *warmup, int32_t in_flight);

#endif

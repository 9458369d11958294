/**
 * @file warmup.h
 * Ramp of one backend server after a cold start: how many requests it may
 * hold at once.
 *
 * A server is cold until there is evidence that it is warm. The limit starts
 * at its configured cold limit and grows by one for each completed request,
 * which doubles it with each full round: a request that completed beside
 * n - 1 others is evidence that the server bears n, and a further one is a
 * small step. Idle servers do not grow: the limit stays within twice the
 * concurrency that was seen. The owner of the server keeps this state. Pure.
 */
#ifndef PROCESS_WARMUP_H
#define PROCESS_WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "process/load.h"

typedef struct {
	int32_t cold_requests; /**< limit of a cold server */
	int32_t max_requests; /**< limit of a warm server */
	int32_t limit;
	/** Requests sent before the last reset whose end proves nothing. */
	int32_t stale;
	bool reported;
	uint64_t incarnation; /**< of the server */
	int64_t taken_us; /**< time of the newest report */
} warmup_t;

/** What resets a ramp. */
typedef enum {
	WARMUP_CONNECTION_REFUSED,
	WARMUP_STREAM_FAILED,
	WARMUP_RESTORED /**< the server or its data centre is in service again
			 */
} warmup_event_t;

/** Starts cold, for a server of the configuration or a new owner of it. */
void warmup_start(warmup_t *warmup, int32_t cold_requests,
		  int32_t max_requests);

/** Puts changed limits in force; a warm server stays warm. */
void warmup_configure(warmup_t *warmup, int32_t cold_requests,
		      int32_t max_requests);

/**
 * Takes in a report of the server; older ones than the newest are ignored. A
 * new incarnation or a report of cold resets the ramp. With the first report
 * after warmup_start() the requests that a server runs without being cold
 * count as evidence, so that a new owner does not stop a busy server.
 * @param in_flight requests sent and not ended, blocks included
 */
void warmup_report(warmup_t *warmup, const load_report_t *report,
		   int32_t in_flight);

/** Resets the ramp. */
void warmup_reset(warmup_t *warmup, warmup_event_t event, int32_t in_flight);

/**
 * Counts completed requests.
 * @param in_flight requests that still run
 */
void warmup_completed(warmup_t *warmup, int32_t count, int32_t in_flight);

/** @return the requests that the server may hold now. */
int32_t warmup_limit(const warmup_t *warmup);

/** Whether one more request may be sent. */
bool warmup_may_send(const warmup_t *warmup, int32_t in_flight);

#endif

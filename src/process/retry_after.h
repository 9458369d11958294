/**
 * @file retry_after.h
 * Retry-After of requests that cannot be placed. Pure.
 */
#ifndef PROCESS_RETRY_AFTER_H
#define PROCESS_RETRY_AFTER_H

#include "process/placement.h"

enum {
	/** If a service has no usable server, by when one is expected again;
	 * shortened if the caller has less time. */
	NO_SERVER_RETRY_MS = 1000,
	/** Shortest useful time when all servers are busy. */
	BUSY_RETRY_MS = 250
};

/**
 * @param left_us time left until the caller's deadline
 * @return time if no server is known to accept requests again: well before the
 *         deadline, after which a retry is not served at all
 */
int64_t no_server_retry_ms(int64_t left_us);

/**
 * @param placement what placement_choose() filled in for @p result
 * @return time for a result; 0 if the request is placed
 */
int64_t retry_after_ms(placement_result_t result, const placement_t *placement,
		       int64_t left_us);

#endif

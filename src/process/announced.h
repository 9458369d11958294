/**
 * @file announced.h
 * What nodes announce of load that exceeds the room: requests that wait, the
 * use of each client account, refused requests that are to return, and the pace
 * of servers. The lists are short, so that an announcement fits one datagram.
 */
#ifndef PROCESS_ANNOUNCED_H
#define PROCESS_ANNOUNCED_H

#include <stdint.h>

enum {
	ANNOUNCED_WAITING_MAX = 6,
	ANNOUNCED_ACCOUNTS_MAX = 12,
	ANNOUNCED_PROMISES_MAX = 6,
	ANNOUNCED_PACES_MAX = 6
};

/** Requests of one service and rank that wait at a node for a server. */
typedef struct {
	uint32_t service_hash;
	int32_t rank; /**< 0 is the most urgent */
	int32_t count;
	int64_t prefill_us; /**< prefill of all of them */
} waiting_report_t;

/** Requests of one client account in progress at a node. */
typedef struct {
	uint32_t service_hash;
	uint32_t account_hash;
	int32_t count;
} account_report_t;

/** A refused request that was told when to return. */
typedef struct {
	uint64_t content; /**< content id of the request */
	int64_t return_in_us; /**< time until it may return; negative: it could
			       * return that long ago */
	int64_t prefill_us; /**< prefill that it needs; 0: the promise is used,
			     * and reserves nothing */
	uint32_t service_hash; /**< hash of the service's name */
} promise_report_t;

/** Slowdown factor of a server, as one node measured it. */
typedef struct {
	uint32_t server_hash; /**< backend_start_hash() of the server */
	double slowdown; /**< 1 is the stated speed */
	int32_t samples; /**< measurements behind it */
	int64_t age_us; /**< time since the last measurement */
} pace_report_t;

#endif

/**
 * @file announced.h
 * What nodes announce for load control: the use of each client account, and the
 * pace of servers. The lists are short, so that an announcement fits one
 * datagram.
 */
#ifndef PROCESS_ANNOUNCED_H
#define PROCESS_ANNOUNCED_H

#include <stdint.h>

enum { ANNOUNCED_ACCOUNTS_MAX = 12, ANNOUNCED_PACES_MAX = 6 };

/** Requests of one client account in progress at a node. */
typedef struct {
	uint32_t service_hash;
	uint32_t account_hash;
	int32_t count;
} account_report_t;

/** Slowdown factor of a server, as one node measured it. */
typedef struct {
	uint32_t server_hash; /**< backend_start_hash() of the server */
	double slowdown; /**< 1 is the stated speed */
	int32_t samples; /**< measurements behind it */
	int64_t age_us; /**< time since the last measurement */
} pace_report_t;

#endif

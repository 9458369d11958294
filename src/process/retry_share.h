/**
 * @file retry_share.h
 * This node's share of the retries that all nodes together may send. Pure; time
 * is an argument.
 *
 * What a process has spent ends with it. A process that starts therefore counts
 * its whole share as spent by an earlier one until a window has passed, but for
 * a small part that the shares leave free. It has its share sooner if the other
 * nodes show that few processes started lately, as the rest of the shares
 * covers these, or if the whole fleet starts for the first time.
 *
 * In any window all nodes together, with processes that ended in it, stay
 * within the limits: RETRY_SHARE for the processes that ran before, the same
 * for one in RETRY_STARTS_DIVISOR of the nodes, and RETRY_START_SHARE for the
 * other processes that started.
 */
#ifndef PROCESS_RETRY_SHARE_H
#define PROCESS_RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "request/retry.h"

/** Fraction of the limits that the nodes use together. */
#define RETRY_SHARE 0.8
/** Fraction that processes use which count their share as spent. */
#define RETRY_START_SHARE 0.08
enum {
	/** One in this many nodes may start in a window and have its share. */
	RETRY_STARTS_DIVISOR = 6
};

/** Limits of the retries of all nodes together, for one service. */
typedef struct {
	double ratio; /**< retries per request in the window */
	double slack; /**< retries allowed above the ratio */
	int64_t window_us;
} retry_fleet_limits_t;

/** What a node knows of the fleet. */
typedef struct {
	int64_t up_us; /**< time since the process started */
	bool is_first; /**< no process of this node ran before */
	int32_t nodes; /**< listed nodes with this one; 0: not known */
	int32_t heard; /**< other nodes that announced since this start */
	int32_t first; /**< of these, those that are the first of their node */
	int32_t settled; /**< and those that run longer than a window */
	/** Of the settled ones, those that saw a process start in the last
	 * window. */
	int32_t noticed;
	int32_t starts; /**< most starts that one of them saw in that time */
} retry_fleet_t;

typedef enum {
	RETRY_SHARE_SETTLED, /**< the process runs longer than a window */
	RETRY_SHARE_FIRST, /**< the fleet starts for the first time */
	RETRY_SHARE_CALM, /**< few processes started lately */
	RETRY_SHARE_SPENT /**< an earlier process may have spent the share */
} retry_share_t;

retry_share_t retry_share(const retry_fleet_t *fleet, int64_t window_us);
/** @return name of the value, for logs */
const char *retry_share_text(retry_share_t share);

/**
 * Divides the limits of all nodes.
 * @return what the budget of this node allows in RETRY_WINDOW_S
 */
retry_limits_t retry_share_limits(const retry_fleet_limits_t *limits,
				  const retry_fleet_t *fleet);

#endif

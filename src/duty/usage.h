/**
 * @file usage.h
 * Counts requests that began to run, by time window, node and client account.
 * Does no I/O. The number of a window is the count of windows since 1970.
 *
 * Each node counts its own requests, and sends the counts to the nodes that may
 * have to report the usage of all nodes. Each datagram has the total counts so
 * far, so that a lost datagram costs nothing.
 */
#ifndef DUTY_USAGE_H
#define DUTY_USAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

/** Bound of the number of a window that others state. */
#define USAGE_WINDOW_MAX (INT64_C(1) << 60)

typedef struct usage usage_t;

typedef struct {
	char *account; /**< name */
	uint32_t requests; /**< requests that began to run in a window */
} usage_count_t;

enum {
	USAGE_COUNTS_MAX = 64,
	/** Most bytes of the counts in one datagram. */
	USAGE_COUNTS_SIZE_BYTES = 1200
};

/** One datagram: the counts of a node in one window, or some of them. */
typedef struct {
	uint64_t node; /**< hash of the node's id */
	uint64_t incarnation; /**< grows with each start of the process */
	int64_t window; /**< number of the window */
	bool final; /**< the counts of the window do not change any more */
	uint32_t accounts; /**< number of accounts in all datagrams of
			     the window */
	usage_count_t counts[USAGE_COUNTS_MAX]; /**< their names belong to the
						 * table that fills them in, or
						 * to the decoded packet */
	size_t count; /**< entries of counts */
} usage_message_t;

/** @param node hash of this node's id */
usage_t *usage_create(uint64_t node, uint64_t incarnation);
void usage_destroy(usage_t *usage);

/** Counts a request that began to run on this node. */
void usage_count_request(usage_t *usage, int64_t window, const char *account);
/** Marks this node's counts of a window as final. */
void usage_finish(usage_t *usage, int64_t window);
/**
 * Fills in a datagram with this node's counts of a window.
 * @param first index of the first account in the datagram; 0: first datagram
 * @return index for the next datagram; 0: this datagram is the last
 */
size_t usage_fill(const usage_t *usage, int64_t window, size_t first,
		  usage_message_t *message);
/** Takes in a datagram of another node. */
void usage_receive(usage_t *usage, const usage_message_t *message);
/** Removes all windows before @p window, and processes without windows. */
void usage_expire(usage_t *usage, int64_t window);

/**
 * Checks the counts of a window. A node that sent nothing for this window and
 * the two windows before counts as stopped. A process that was replaced by a
 * new one on its node sends nothing more.
 * @return true if the counts of all processes are final and complete
 */
bool usage_complete(const usage_t *usage, int64_t window);
/** @return the first window that has a request; INT64_MAX: none */
int64_t usage_first_window(const usage_t *usage);
/**
 * Sums up the counts of a window over all nodes.
 * @param counts set to one entry per account; freed with usage_free_counts()
 * @return number of accounts
 */
size_t usage_sum(const usage_t *usage, int64_t window, usage_count_t **counts);
void usage_free_counts(usage_count_t *counts, size_t count);

#endif

/**
 * @file usage.h
 * Requests that began to run, by window of time, node and account. Pure.
 *
 * Each node counts its own and tells the nodes that may have to report the
 * usage of all. What is told replaces what was told before, so that a lost
 * datagram costs nothing.
 */
#ifndef DUTY_USAGE_H
#define DUTY_USAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

typedef struct usage usage_t;

typedef struct {
	char account[NAME_SIZE_BYTES];
	uint32_t requests;
} usage_count_t;

enum {
	USAGE_COUNTS_MAX = 64,
	/** Bytes of a datagram that counts may take. */
	USAGE_COUNTS_SIZE_BYTES = 1200
};

/** What one datagram tells of one window. */
typedef struct {
	uint64_t node;
	uint64_t incarnation; /**< start of the process, grows */
	int64_t window;
	bool final; /**< no more requests will be counted in it */
	uint32_t accounts; /**< in all datagrams of the window */
	usage_count_t counts[USAGE_COUNTS_MAX];
	size_t count;
} usage_message_t;

usage_t *usage_create(uint64_t node, uint64_t incarnation);
void usage_destroy(usage_t *usage);

/** A request began to run here. */
void usage_begin(usage_t *usage, int64_t window, const char *account);
/** The own counts of a window do not change any more. */
void usage_finish(usage_t *usage, int64_t window);
/**
 * Fills in a datagram with own counts, from the account at place @p first on.
 * @return the place of the next datagram; 0: this was the last one
 */
size_t usage_fill(const usage_t *usage, int64_t window, size_t first,
		  usage_message_t *report);
/** Takes the report of another node in. */
void usage_receive(usage_t *usage, const usage_message_t *report);
/** Forgets the windows before this one. */
void usage_forget(usage_t *usage, int64_t window);

/**
 * Whether every node that told of this window, or of the last ones before it,
 * has told all of this one. A process that was replaced is not waited for.
 */
bool usage_complete(const usage_t *usage, int64_t window);
/** @return the first window with a request; INT64_MAX: none */
int64_t usage_first_window(const usage_t *usage);
/**
 * Sums up a window over all nodes.
 * @param counts the caller frees it
 * @return how many accounts there are
 */
size_t usage_sum(const usage_t *usage, int64_t window, usage_count_t **counts);

#endif

/**
 * @file outage.h
 * Time for which calls of this node to the store fail. Pure: no clock, no I/O.
 *
 * A node cannot tell an outage of the store, in which entries of live servers
 * expire, from a store that turns this node alone away, while servers leave.
 * What it knows are bounds: the store did not answer the last call that failed,
 * and answers the first one that succeeds. Entries are back within a time after
 * the end, which is at the latest when the first answer arrives. Servers that
 * left must not be used for longer than a time after the end, which is at the
 * earliest when the last failed call was sent.
 */
#ifndef HEALTH_OUTAGE_H
#define HEALTH_OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

/** All times are in microseconds, of one clock that counts while the machine
 * is suspended. */
typedef struct {
	int64_t answered_us; /**< last answer; 0: none */
	int64_t since_us; /**< first failure since then; 0: none */
	int64_t failed_us; /**< when the last call that failed was sent */
} outage_t;

/** Limits of the time for which servers without an entry are kept. */
typedef struct {
	int64_t return_us; /**< entries are back after the end of an outage */
	int64_t drain_us; /**< servers that left are used, once known */
	int64_t settle_us; /**< servers that left are used, after the end */
} outage_limits_t;

/**
 * Notes a call that failed.
 * @param sent_us   when it was sent
 * @param is_silent no answer came in time: it tells nothing of the time since
 *                  it was sent
 */
void outage_note_failure(outage_t *outage, int64_t sent_us, bool is_silent,
			 int64_t now_us);

/**
 * Notes a call that was answered, which ends an outage.
 * @param sent_us when it was sent
 * @return true if calls had failed for so long that entries may have expired
 */
bool outage_note_answer(outage_t *outage, int64_t sent_us, int64_t now_us);

/**
 * @return time in microseconds, from the end of an outage that was noted now,
 *         for which servers without an entry are kept
 */
int64_t outage_keep_us(const outage_t *outage, const outage_limits_t *limits,
		       int64_t now_us);

#endif

/**
 * @file prefill_clock.h
 * When each server will have done the prefill that it was sent. Pure.
 *
 * A server does the prefill of all its requests one after the other, whichever
 * nodes sent them. What many nodes have pending there therefore adds up, and
 * does not pass for all of them at the same time.
 */
#ifndef PROCESS_READ_CLOCK_H
#define PROCESS_READ_CLOCK_H

#include <stdint.h>

typedef struct prefill_clock prefill_clock_t;

prefill_clock_t *prefill_clock_create(void);
void prefill_clock_destroy(prefill_clock_t *clock);

/** More prefill was sent to a server; it follows what was sent before. */
void prefill_clock_add(prefill_clock_t *clock, uint32_t server_hash,
		       int64_t read_us, int64_t now_us);
/**
 * @param open_us prefill of all requests there without a first event
 * @param wait_us before the server takes up what it was sent
 * @return how much of it is not done yet, by prediction
 */
int64_t prefill_clock_backlog_us(const prefill_clock_t *clock,
				 uint32_t server_hash, int64_t open_us,
				 int64_t wait_us, int64_t now_us);
/** Forgets servers that have had no prefill for long. */
void prefill_clock_expire(prefill_clock_t *clock, int64_t now_us);

#endif

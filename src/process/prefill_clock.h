/**
 * @file prefill_clock.h
 * Predicts when each server finishes the prefill that was sent to it. Pure:
 * time is an argument.
 *
 * A server prefills its requests one after the other, whichever nodes sent
 * them. The prefill backlogs of several nodes on one server therefore add up;
 * they do not run down at the same time.
 */
#ifndef PROCESS_PREFILL_CLOCK_H
#define PROCESS_PREFILL_CLOCK_H

#include <stdint.h>

typedef struct prefill_clock prefill_clock_t;

prefill_clock_t *prefill_clock_create(void);
void prefill_clock_destroy(prefill_clock_t *clock);

/** Adds prefill sent to a server; it runs after all earlier prefill.
 * @param server_hash identifies the server */
void prefill_clock_add(prefill_clock_t *clock, uint32_t server_hash,
		       int64_t prefill_us, int64_t now_us);
/**
 * @param open_us prefill of all requests on the server without a first event
 * @param wait_us delay until the server begins the prefill that was sent to it
 * @return predicted prefill backlog of the server, at most @p open_us; equal to
 *         @p open_us if no prefill of the server is recorded
 */
int64_t prefill_clock_backlog_us(const prefill_clock_t *clock,
				 uint32_t server_hash, int64_t open_us,
				 int64_t wait_us, int64_t now_us);
/** Removes the entries of servers without recent prefill. */
void prefill_clock_expire(prefill_clock_t *clock, int64_t now_us);

#endif

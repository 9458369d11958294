/**
 * @file read_clock.h
 * Predicts when each server finishes the prefill that was sent to it. Pure:
 * time is an argument.
 *
 * A server prefills its requests one after the other, whichever nodes sent
 * them. The prefill backlogs of several nodes on one server therefore add up;
 * they do not run down at the same time.
 */
#ifndef PROCESS_READ_CLOCK_H
#define PROCESS_READ_CLOCK_H

#include <stdint.h>

typedef struct read_clock read_clock_t;

read_clock_t *read_clock_create(void);
void read_clock_destroy(read_clock_t *clock);

/** Adds prefill sent to a server; it runs after all earlier prefill. */
void read_clock_add(read_clock_t *clock, uint32_t server_hash,
		    int64_t prefill_us, int64_t now_us);
/**
 * @param open_us prefill of all requests on the server without a first event
 * @param wait_us delay until the server begins the prefill that was sent to it
 * @return predicted prefill backlog of the server, at most @p open_us
 */
int64_t read_clock_pending_us(const read_clock_t *clock, uint32_t server_hash,
			      int64_t open_us, int64_t wait_us, int64_t now_us);
/** Removes the entries of servers without recent prefill. */
void read_clock_expire(read_clock_t *clock, int64_t now_us);

#endif

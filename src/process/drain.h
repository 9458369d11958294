/**
 * @file drain.h
 * Phases of a graceful shutdown. Pure: time and events are arguments.
 *
 * After SIGTERM the node reports that it is not ready and announces that it is
 * leaving, but accepts requests until the load balancer stops sending them.
 * Then the node finishes the requests in flight, returns its credits and stops.
 */
#ifndef PROCESS_DRAIN_H
#define PROCESS_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	DRAIN_RUNNING,
	DRAIN_NOTICE, /**< not ready, but requests are still accepted */
	DRAIN_FINISHING, /**< request tasks accept no new requests */
	/** Credits go back to their owners, and final answers to callers. */
	DRAIN_RETURNING,
	DRAIN_STOPPED
} drain_phase_t;

typedef struct {
	int64_t notice_us; /**< length of DRAIN_NOTICE */
	/** Longest time from the signal to DRAIN_RETURNING. */
	int64_t limit_us;
	int32_t tasks; /**< number of request tasks, at most 64 */
} drain_conf_t;

typedef struct {
	drain_conf_t conf;
	drain_phase_t phase;
	int64_t signalled_us; /**< time of the first signal */
	int64_t since_us; /**< start of the current phase */
	uint64_t idle_tasks; /**< bit per request task without requests */
	bool timed_out; /**< limit_us ended the wait for requests */
} drain_t;

void drain_init(drain_t *drain, const drain_conf_t *conf);

/** Starts the shutdown on SIGTERM; a second SIGTERM changes nothing. */
void drain_signal(drain_t *drain, int64_t now_us);

/**
 * Records that a request task has no request left; ignored before
 * DRAIN_FINISHING, when the task may still get requests.
 * @param task index of the request task
 */
void drain_idle(drain_t *drain, uint32_t task);

/**
 * Advances by at most one phase.
 * @param pending operations of the control task that must finish too, such as
 *                outcomes of actions that are being recorded
 * @return true if the phase changed
 */
bool drain_tick(drain_t *drain, int32_t pending, int64_t now_us);

/** @return when the requests that are left are ended, after the signal */
int64_t drain_ends_us(const drain_t *drain);

/** @return the name of a phase, as in the status and the log. */
const char *drain_phase_text(drain_phase_t phase);

#endif

/**
 * @file drain.h
 * Phases of a graceful shutdown. Pure: time and events are arguments.
 *
 * After the signal the node is not ready and announces that it leaves, but
 * accepts requests until the load balancer has noticed. Then it finishes the
 * requests it has, returns its credits and stops.
 */
#ifndef PROCESS_DRAIN_H
#define PROCESS_DRAIN_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
	DRAIN_RUNNING,
	DRAIN_NOTICE, /**< not ready, leaving announced, still accepting */
	DRAIN_FINISHING, /**< request tasks accept nothing new */
	DRAIN_RETURNING, /**< credits are returned */
	DRAIN_STOPPED
} drain_phase_t;

typedef struct {
	int64_t notice_us; /**< time until the load balancer has noticed */
	int64_t limit_us; /**< from the signal to the end of waiting */
	int32_t tasks; /**< request tasks */
} drain_conf_t;

typedef struct {
	drain_conf_t conf;
	drain_phase_t phase;
	int64_t signalled_us;
	int64_t since_us; /**< start of the phase */
	uint64_t idle_tasks; /**< one bit per request task */
	bool cut_off; /**< the limit ended the wait for requests */
} drain_t;

void drain_init(drain_t *drain, const drain_conf_t *conf);

/** SIGTERM; a second one changes nothing. */
void drain_signal(drain_t *drain, int64_t now_us);

/** A request task has no request left. */
void drain_idle(drain_t *drain, uint32_t task);

/**
 * Advances by at most one phase.
 * @param pending work of the control task that must be finished too, such as
 *                outcomes of actions that are being recorded
 * @return whether the phase changed
 */
bool drain_tick(drain_t *drain, int32_t pending, int64_t now_us);

/** @return the name of a phase. */
const char *drain_phase_text(drain_phase_t phase);

#endif

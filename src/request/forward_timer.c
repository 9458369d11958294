#include "base/clock.h"
#include "request/forward_state.h"

enum {
	HTTP_GATEWAY_TIMEOUT = 504,
	/* A request without a server is tried again this often. */
	PLACE_RETRY_MS = 20,
	/* Nothing is known about the fleet: shortest useful pause. */
	LIMIT_RETRY_MS = 250
};

/* Callers leave a stream that is silent for this long, or for a multiple of
 * its objective or of its longest pause, as the platform states. */
#define CALLER_PATIENCE_US (2 * US_PER_S)
enum { CALLER_PATIENCE_TARGETS = 4, CALLER_PATIENCE_GAPS = 8 };

/* Silence after which an attempt is moved while the data centre of its server
 * seems to be cut off: a few passes of an engine. */
#define CUT_OFF_PATIENCE_US (150 * US_PER_MS)

/* How often a silent attempt is compared with another server. */
#define SILENCE_RECHECK_US (300 * US_PER_MS)

static int64_t longer(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

int64_t forward_caller_patience_us(const forward_t *forward)
{
	const route_conf_t *route = forward->route;
	int64_t patience_us = CALLER_PATIENCE_US;

	patience_us = longer(patience_us, route->target_ms * US_PER_MS *
						  CALLER_PATIENCE_TARGETS);
	return longer(patience_us,
		      route->gap_target_ms * US_PER_MS * CALLER_PATIENCE_GAPS);
}

/* When the attempt counts as silent; INT64_MAX: it does not. */
static int64_t silent_at_us(const forward_t *forward)
{
	const attempt_t *attempt = forward->attempt;
	int64_t patience_us;

	if (!attempt || !attempt->patience_us)
		return INT64_MAX;
	patience_us = attempt->patience_us;
	if (patience_us > CUT_OFF_PATIENCE_US &&
	    backend_is_partitioned(attempt->work.parts[0].server,
				   clock_monotonic_us()))
		patience_us = CUT_OFF_PATIENCE_US;
	return attempt->heard_us + patience_us;
}

void forward_set_timer(forward_t *forward)
{
	struct ev_loop *loop = forward->gateway->loop;
	int64_t now_us = clock_monotonic_us();
	int64_t due_us = forward->limit_us, silent_us = silent_at_us(forward);

	if (forward->phase == FORWARD_ENDED)
		return;
	if (silent_us < due_us)
		due_us = silent_us;
	if (forward->phase == FORWARD_WAITING &&
	    now_us + PLACE_RETRY_MS * US_PER_MS < due_us)
		due_us = now_us + PLACE_RETRY_MS * US_PER_MS;
	ev_timer_stop(loop, &forward->timer);
	ev_timer_set(&forward->timer,
		     due_us > now_us
			     ? (double)(due_us - now_us) / (double)US_PER_S
			     : 0,
		     0.);
	ev_timer_start(loop, &forward->timer);
}

static void on_limit(forward_t *forward)
{
	if (forward->phase == FORWARD_SENT) {
		forward->runs++;
		forward_fail(forward, HTTP_GATEWAY_TIMEOUT, "time_limit");
	} else if (forward->runs) {
		forward_fail(forward, HTTP_GATEWAY_TIMEOUT, "time_limit");
	} else {
		forward_refuse(forward, "time_limit", LIMIT_RETRY_MS);
	}
}

/*
 * A stream that is silent on a busy server is often read again in vain. It is
 * moved only if another server can speak before the caller leaves.
 */
static bool is_better_elsewhere(forward_t *forward)
{
	choice_t choice = { .placement = { .count = 0 } };
	placement_result_t result;
	int64_t left_us;

	if (forward->route->kind != CALL_STREAM)
		return true;
	left_us = forward->attempt->heard_us +
		  forward_caller_patience_us(forward) - clock_monotonic_us();
	result = forward_choose(forward, &choice);
	choice_clear(&choice);
	return result == PLACEMENT_CHOSEN &&
	       choice.placement.first_event_us < left_us;
}

static void on_silence(forward_t *forward)
{
	backend_t *server = backend_ref(forward->attempt->work.parts[0].server);

	if (is_better_elsewhere(forward) &&
	    forward_move(forward, FAILURE_SILENT)) {
		backend_note(server, EVIDENCE_SILENT, clock_monotonic_us());
	} else {
		forward->attempt->patience_us += SILENCE_RECHECK_US;
		forward_set_timer(forward);
	}
	backend_unref(server);
}

void forward_on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	forward_t *forward = timer->data;
	int64_t now_us = clock_monotonic_us();

	if (now_us >= forward->limit_us)
		on_limit(forward);
	else if (forward->phase == FORWARD_WAITING)
		forward_place(forward);
	else if (now_us >= silent_at_us(forward))
		on_silence(forward);
	else
		forward_set_timer(forward);
}

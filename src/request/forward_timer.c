#include "base/clock.h"
#include "request/forward_state.h"

enum {
	HTTP_GATEWAY_TIMEOUT = 504,
	/* Interval at which a request without a server tries to get one. */
	PLACE_RETRY_MS = 20,
	/* Shortest useful Retry-After when the state of the servers is not
	 * known. */
	LIMIT_RETRY_MS = 250
};

/* Silence after which callers close a stream, as the platform specifies: this
 * time, or a multiple of the latency objective or of the event gap objective of
 * the route, whichever is longest. */
#define CALLER_TIMEOUT_US (2 * US_PER_S)
enum { CALLER_TIMEOUT_TARGETS = 4, CALLER_TIMEOUT_GAPS = 8 };

/* Silence before failover while the data centre of the server seems
 * partitioned: a few iterations of an engine. */
#define PARTITION_TIMEOUT_US (150 * US_PER_MS)

/* Head start of the node to which a request was passed on in noticing that its
 * server is silent, so that the request is not repeated there. */
#define RELAY_HEAD_START_US (100 * US_PER_MS)

/* Pause before a silent attempt that stayed on its server is compared with
 * other servers again. */
#define FAILOVER_RECHECK_US (300 * US_PER_MS)

static int64_t longer(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

int64_t forward_caller_timeout_us(const forward_t *forward)
{
	const route_conf_t *route = forward->route;
	int64_t timeout_us = CALLER_TIMEOUT_US;

	timeout_us = longer(timeout_us, route->target_ms * US_PER_MS *
						CALLER_TIMEOUT_TARGETS);
	return longer(timeout_us, route->event_gap_target_ms * US_PER_MS *
					  CALLER_TIMEOUT_GAPS);
}

/* @return when the attempt times out by silence; INT64_MAX: never */
static int64_t silent_at_us(const forward_t *forward)
{
	const attempt_t *attempt = forward->attempt;
	int64_t timeout_us;

	if (!attempt || !attempt->timeout_us)
		return INT64_MAX;
	timeout_us = attempt->timeout_us;
	if (attempt->relay_node)
		timeout_us += RELAY_HEAD_START_US;
	else if (timeout_us > PARTITION_TIMEOUT_US &&
		 backend_is_partitioned(attempt->load.shards[0].server,
					clock_monotonic_us()))
		timeout_us = PARTITION_TIMEOUT_US;
	return attempt->last_progress_us + timeout_us;
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

static void on_time_limit(forward_t *forward)
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
 * A stream that is silent on a busy server often gains nothing from another
 * prefill elsewhere.
 * @return true if another server can send an event before the caller closes the
 * stream, or if the request is no stream
 */
static bool should_fail_over(forward_t *forward)
{
	choice_t choice = { .placement = { .count = 0 } };
	placement_result_t result;
	int64_t left_us;

	if (forward->route->kind != CALL_STREAM)
		return true;
	if (forward_may_relay(forward))
		return forward_can_relay(forward);
	left_us = forward->attempt->last_progress_us +
		  forward_caller_timeout_us(forward) - clock_monotonic_us();
	result = forward_choose(forward, &choice);
	choice_clear(&choice);
	return result == PLACEMENT_CHOSEN &&
	       choice.placement.first_event_us < left_us;
}

static void stay(forward_t *forward)
{
	forward->attempt->timeout_us += FAILOVER_RECHECK_US;
	forward_set_timer(forward);
}

/* The silence is that of a server; announcements show if the node lives. */
static void on_relay_silence(forward_t *forward)
{
	if (!should_fail_over(forward) ||
	    !forward_failover(forward, FAILURE_SILENT))
		stay(forward);
}

/* The node that passed the request on decides if it is repeated. */
static void on_relayed_silence(forward_t *forward)
{
	if (!forward->is_silence_noted)
		backend_note(forward->attempt->load.shards[0].server,
			     EVIDENCE_SILENT, clock_monotonic_us());
	forward->is_silence_noted = true;
	stay(forward);
}

static void on_silence(forward_t *forward)
{
	backend_t *server;

	if (forward->attempt->relay_node) {
		on_relay_silence(forward);
		return;
	}
	if (forward->is_relayed) {
		on_relayed_silence(forward);
		return;
	}
	server = backend_ref(forward->attempt->load.shards[0].server);
	if (should_fail_over(forward) &&
	    forward_failover(forward, FAILURE_SILENT)) {
		backend_note(server, EVIDENCE_SILENT, clock_monotonic_us());
	} else {
		stay(forward);
	}
	backend_unref(server);
}

void forward_on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	forward_t *forward = timer->data;
	int64_t now_us = clock_monotonic_us();

	if (now_us >= forward->limit_us)
		on_time_limit(forward);
	else if (forward->phase == FORWARD_WAITING)
		forward_place(forward);
	else if (now_us >= silent_at_us(forward))
		on_silence(forward);
	else
		forward_set_timer(forward);
}

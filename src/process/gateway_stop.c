#include "process/gateway.h"

#include "base/clock.h"
#include "base/log.h"
#include "process/gateway_state.h"
#include "request/forward.h"

enum {
	STOP_POLL_MS = 50,
	/* The load balancer probes readiness each second and takes a node out
	 * after two misses. */
	STOP_NOTICE_MS = 2800,
	/* Shortest stop: requests that were on their way when the load balancer
	 * took the node out still arrive. */
	STOP_MIN_MS = 3200,
	/* Requests in progress are ended this long before the platform kills
	 * the process. */
	STOP_MARGIN_MS = 250,
	/* Longest time for sending the answers to these requests, and the time
	 * that the process has for its end after that. */
	STOP_SEND_MAX_MS = 150,
	STOP_EXIT_MS = 100,
	STOP_SEND_POLL_MS = 10
};

const char *gateway_stop_text(stop_phase_t phase)
{
	switch (phase) {
	case STOP_NONE:
		return "none";
	case STOP_NOTICE:
		return "notice";
	case STOP_FINISHING:
		return "finishing";
	case STOP_ENDED:
		return "ended";
	case STOP_CLOSED:
		break;
	}
	return "closed";
}

static void set_phase(gateway_t *gateway, stop_phase_t phase)
{
	gateway->stop = phase;
	log_event(EVENT_SHUTDOWN_PHASE, "phase=%s requests=%zu",
		  gateway_stop_text(phase), gateway->forward_count);
}

int64_t gateway_stops_at_us(const gateway_t *gateway)
{
	return gateway->stop_started_us +
	       (gateway->stop_ms - STOP_MARGIN_MS) * US_PER_MS;
}

/* Includes refused requests whose answer is being sent, and requests that are
 * only read in part. */
static bool has_requests(const gateway_t *gateway)
{
	return listener_has_requests(gateway->callers) ||
	       listener_has_requests(gateway->relayed);
}

/* Lets no request start any more; the answers of all that did are sent. */
static void end_requests(gateway_t *gateway)
{
	int64_t now_us = clock_monotonic_us();
	int64_t exit_us = gateway->stop_started_us +
			  (gateway->stop_ms - STOP_EXIT_MS) * US_PER_MS;

	set_phase(gateway, STOP_ENDED);
	forward_end_all(gateway);
	gateway->stop_closes_us = now_us + STOP_SEND_MAX_MS * US_PER_MS;
	if (gateway->stop_closes_us > exit_us)
		gateway->stop_closes_us = exit_us;
	gateway->stop_timer.repeat = (double)STOP_SEND_POLL_MS / MS_PER_S;
	ev_timer_again(gateway->loop, &gateway->stop_timer);
}

static void on_stop_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;
	int64_t now_us = clock_monotonic_us();
	int64_t passed_ms = (now_us - gateway->stop_started_us) / US_PER_MS;

	if (gateway->stop == STOP_ENDED) {
		if (has_requests(gateway) && now_us < gateway->stop_closes_us)
			return;
		set_phase(gateway, STOP_CLOSED);
		ev_break(loop, EVBREAK_ALL);
		return;
	}
	if (gateway->stop == STOP_NOTICE && passed_ms >= STOP_NOTICE_MS)
		set_phase(gateway, STOP_FINISHING);
	if (now_us >= gateway_stops_at_us(gateway) ||
	    (passed_ms >= STOP_MIN_MS && !has_requests(gateway) &&
	     !gateway->reservations))
		end_requests(gateway);
}

int64_t gateway_stop_limit_ms(const gateway_t *gateway)
{
	return gateway->settings.stop_ms;
}

void gateway_stop(gateway_t *gateway)
{
	if (gateway->stop != STOP_NONE)
		return;
	set_phase(gateway, STOP_NOTICE);
	gateway->stop_started_us = clock_monotonic_us();
	gateway->stop_ms = gateway->settings.stop_ms;
	duties_stop(gateway->duties);
	listener_keep_unsent(gateway->callers);
	listener_keep_unsent(gateway->relayed);
	ev_timer_init(&gateway->stop_timer, on_stop_timer,
		      (double)STOP_POLL_MS / MS_PER_S,
		      (double)STOP_POLL_MS / MS_PER_S);
	gateway->stop_timer.data = gateway;
	ev_timer_start(gateway->loop, &gateway->stop_timer);
}

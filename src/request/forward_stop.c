#include <utlist.h>

#include "request/forward_state.h"

enum { HTTP_GATEWAY_TIMEOUT = 504 };

bool forward_may_outlast_stop(const forward_t *forward)
{
	const gateway_t *gateway = forward->gateway;

	return gateway->stop != STOP_NONE &&
	       forward->limit_us >= gateway_stops_at_us(gateway);
}

static bool may_start(const forward_t *forward)
{
	switch (forward->gateway->stop) {
	case STOP_NONE:
	case STOP_NOTICE:
		return true;
	case STOP_FINISHING:
		/* A shorter time than the limit is not certain to be enough. */
		return !forward_may_outlast_stop(forward);
	case STOP_ENDED:
	case STOP_CLOSED:
		return false;
	}
	return false;
}

bool forward_may_start(forward_t *forward)
{
	if (may_start(forward))
		return true;
	forward_refuse_here(forward, "stopping", OTHER_NODE_RETRY_MS);
	return false;
}

/* Ends a request with an answer, if that is still possible. */
static void end_at_stop(forward_t *forward)
{
	if (forward->phase == FORWARD_ENDED)
		return;
	if (forward->phase == FORWARD_SENT)
		forward->runs++;
	if (forward->runs)
		forward_fail(forward, HTTP_GATEWAY_TIMEOUT, "stopping");
	else
		forward_refuse_here(forward, "stopping", OTHER_NODE_RETRY_MS);
}

void forward_end_all(gateway_t *gateway)
{
	forward_t *forward, *next;

	DL_FOREACH_SAFE (gateway->forwards, forward, next)
		end_at_stop(forward);
}

void forward_abort_all(gateway_t *gateway)
{
	forward_t *forward, *next;

	DL_FOREACH_SAFE (gateway->forwards, forward, next) {
		if (forward->phase == FORWARD_ENDED)
			continue;
		exchange_abort(forward->exchange);
		forward_ended(forward, 0, "stopped");
	}
}

#include "base/clock.h"
#include "request/forward_state.h"

int32_t forward_rank(const forward_t *forward)
{
	if (forward->account && forward->account->priority >= 0)
		return forward->account->priority;
	return forward->route->priority;
}

void forward_admit(forward_t *forward)
{
	const service_conf_t *service = forward->service;
	int64_t waited_us = clock_monotonic_us() - forward->received_us;
	admission_query_t query = {
		.controls_load = forward->gateway->settings.controls_load,
		.engine = service->engine.present ? &service->engine : NULL,
		.placement = &forward->choice.placement,
		.prompt_tokens = forward->request.prompt_tokens,
		.priority = forward_rank(forward),
		.target_us = forward->route->target_ms * US_PER_MS - waited_us,
		.waited_us = waited_us,
		.wait_max_us = forward_caller_timeout_us(forward),
		.has_events = forward->event_count > 0,
	};

	admission_decide(&query, &forward->admission);
	forward->choice.placement.deferred = forward->admission.action ==
					     ADMISSION_DEFER;
}

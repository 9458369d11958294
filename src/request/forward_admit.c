#include "base/clock.h"
#include "request/forward_state.h"

int32_t forward_rank(const forward_t *forward)
{
	return routing_priority(forward->route, forward->account);
}

static uint32_t account_hash(const forward_t *forward)
{
	return forward->account ? load_table_hash(forward->account->name) : 0;
}

void attempt_count_account(const forward_t *forward, attempt_t *attempt)
{
	if (!forward->account || !forward->gateway->settings.controls_load)
		return;
	attempt->is_counted = true;
	account_load_begin(forward->gateway->accounts,
			   load_table_hash(forward->service->name),
			   account_hash(forward));
}

void attempt_uncount_account(const forward_t *forward, attempt_t *attempt)
{
	if (!attempt->is_counted)
		return;
	attempt->is_counted = false;
	account_load_end(forward->gateway->accounts,
			 load_table_hash(forward->service->name),
			 account_hash(forward));
}

void forward_count_deferred(const forward_t *forward)
{
	switch (forward->admission.cause) {
	case ADMISSION_NO_CAUSE:
		break;
	case ADMISSION_LATE:
		metrics_add(METRIC_DEFERRED_LATE, 1);
		break;
	case ADMISSION_ACCOUNT:
		metrics_add(METRIC_DEFERRED_ACCOUNT, 1);
		break;
	case ADMISSION_KIND:
		metrics_add(METRIC_DEFERRED_KIND, 1);
		break;
	}
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
		.ranks_below = routing_ranks_below(
			forward->routing, forward->route, service->name),
		.salt = gateway_random(forward->gateway),
		.target_us = forward->route->target_ms * US_PER_MS - waited_us,
		.waited_us = waited_us,
		.wait_max_us = forward_caller_timeout_us(forward),
		.has_events = forward->event_count > 0,
		.capacity = forward->choice.capacity,
		.accounts = forward->gateway->accounts,
		.service = load_table_hash(service->name),
		.account = account_hash(forward),
	};

	admission_decide(&query, &forward->admission);
	forward->choice.placement.deferred = forward->admission.action ==
					     ADMISSION_DEFER;
}

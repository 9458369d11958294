#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "request/forward_state.h"

enum {
	/* Shortest useful time until a retry when all servers are busy. */
	BUSY_RETRY_MS = 250
};

static const char *id_of(const forward_t *forward)
{
	return *forward->request.id ? forward->request.id : "-";
}

/* Only prefill can be reserved: a plain service has none. */
static bool has_promises(const forward_t *forward)
{
	return forward->gateway->settings.controls_load &&
	       forward->service->engine.present;
}

void forward_check_promise(forward_t *forward)
{
	if (forward->is_return_checked || !has_promises(forward))
		return;
	forward->is_return_checked = true;
	switch (promises_take(forward->gateway->promises, forward->content,
			      clock_monotonic_us())) {
	case RETURN_NONE:
		break;
	case RETURN_EARLY:
		metrics_add(METRIC_PROMISES_EARLY, 1);
		break;
	case RETURN_TAKEN:
		forward->is_returning = true;
		metrics_add(METRIC_PROMISES_USED, 1);
		log_event(EVENT_PROMISE_USED, "request=%s content=%" PRIx64,
			  id_of(forward), forward->content);
		/* Other nodes free what they reserve for it. */
		gateway_load_changed(forward->gateway, true);
		break;
	}
}

static refusal_t make_refusal(const forward_t *forward, int64_t known_ms,
			      int64_t now_us)
{
	const placement_t *placement = &forward->choice.placement;
	const engine_profile_t *engine = &forward->service->engine;
	int64_t tokens = forward->request.prompt_tokens;
	int64_t serve_us = placement->first_event_us - placement->backlog_us;

	if (tokens <= 0)
		tokens = engine->usual_prompt_tokens;
	return (refusal_t){
		.content = forward->content,
		.service_hash = load_table_hash(forward->service->name),
		.prefill_us =
			time_to_us(forecast_prefill_us(engine, tokens, 1)),
		.serve_us = serve_us > 0 ? serve_us : 0,
		.left_us = forward->limit_us - now_us,
		.backlog_us = placement->backlog_us,
		.servers = placement->server_count ? placement->server_count
						   : 1,
		.least_us =
			(known_ms > BUSY_RETRY_MS ? known_ms : BUSY_RETRY_MS) *
			US_PER_MS,
		.salt = gateway_random(forward->gateway),
	};
}

static void log_promise(const forward_t *forward, const refusal_t *refusal,
			const promise_t *promise)
{
	static const char *const names[] = {
		[PROMISE_MADE] = "made",
		[PROMISE_SHARED] = "shared",
		[PROMISE_LATE] = "late",
		[PROMISE_FULL] = "full",
	};

	log_event(EVENT_PROMISE_MADE,
		  "request=%s content=%" PRIx64
		  " result=%s return_in_ms=%" PRId64 " backlog_ms=%" PRId64
		  " promised_ms=%" PRId64 " prefill_ms=%" PRId64
		  " servers=%zu left_ms=%" PRId64,
		  id_of(forward), forward->content, names[promise->result],
		  promise->retry_us / US_PER_MS,
		  refusal->backlog_us / US_PER_MS,
		  promise->promised_us / US_PER_MS,
		  refusal->prefill_us / US_PER_MS, refusal->servers,
		  refusal->left_us / US_PER_MS);
}

/* Others must know of a promise before its time. */
static void announce_promise(gateway_t *gateway, const promise_t *promise)
{
	gateway_load_changed(gateway,
			     promise->retry_us <=
				     gateway_announce_pause_us(gateway));
}

void forward_refuse_load(forward_t *forward, const char *code, int64_t known_ms,
			 int64_t retry_after_ms)
{
	gateway_t *gateway = forward->gateway;
	int64_t now_us = clock_monotonic_us();
	refusal_t refusal;
	promise_t promise;

	if (!has_promises(forward) || forward->runs || forward->head_sent) {
		forward_refuse(forward, code, retry_after_ms);
		return;
	}
	refusal = make_refusal(forward, known_ms, now_us);
	promise = promises_add(gateway->promises, &refusal, now_us);
	log_promise(forward, &refusal, &promise);
	if (promise.result == PROMISE_MADE) {
		metrics_add(METRIC_PROMISES_MADE, 1);
		announce_promise(gateway, &promise);
	}
	forward_refuse(forward, code,
		       (promise.retry_us + US_PER_MS - 1) / US_PER_MS);
}

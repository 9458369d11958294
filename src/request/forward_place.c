#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/retry_after.h"
#include "request/forward_state.h"

enum {
	HTTP_BAD_GATEWAY = 502,
	HTTP_GATEWAY_TIMEOUT = 504,
	/* Failed reservations, each on newly chosen servers, after which a
	 * request is refused. */
	RESERVATIONS_MAX = 3,
	/* Time after which full engines are expected to have memory again. */
	MEMORY_RETRY_MS = 1000,
	/* An attempt with less time left would not complete. */
	ATTEMPT_TIME_MIN_MS = 20
};

/* Fraction of the latency objective for which a request waits for a server to
 * appear; after it the caller is better served by a refusal. */
#define WAIT_TARGET_FRACTION 0.125
/* The same for a request that waits until a server accepts it: the time is
 * known, and the rest of the objective is left to serve it. */
#define WAIT_ACCEPT_FRACTION 0.5

static int64_t age_us(const forward_t *forward, int64_t now_us)
{
	return now_us - forward->received_us;
}

static bool is_retryable(const forward_t *forward)
{
	switch (forward->route->kind) {
	case CALL_IDEMPOTENT:
		return true;
	case CALL_AT_MOST_ONCE:
		return false;
	case CALL_STREAM:
		return forward->route->is_resumable;
	}
	return false;
}

/* The caller's estimate is right on average only; the stated maximum bounds
 * it. */
static int64_t expected_output_tokens(const forward_t *forward)
{
	const caller_request_t *request = &forward->request;
	int64_t expected = request->output_tokens_hint;

	if (expected <= 0)
		expected = forward->service->engine.usual_output_tokens;
	if (request->output_tokens_max > 0 &&
	    expected > request->output_tokens_max)
		expected = request->output_tokens_max;
	return expected;
}

placement_query_t forward_placement_query(const forward_t *forward,
					  int64_t now_us)
{
	const service_conf_t *service = forward->service;
	placement_query_t query = {
		.engine = service->engine.present ? &service->engine : NULL,
		.prompt_tokens = forward->request.prompt_tokens,
		.output_tokens = expected_output_tokens(forward),
		.gap_target_us =
			forward->route->event_gap_target_ms * US_PER_MS,
		.objective_us = forward->route->target_ms * US_PER_MS,
		.target_us = forward->route->target_ms * US_PER_MS -
			     age_us(forward, now_us),
		.limit_us = forward->limit_us - now_us,
		.may_refuse = !forward->runs && !forward->head_sent,
		.nodes = forward->gateway->nodes,
		.salt = gateway_random(forward->gateway),
		.controls_load = forward->gateway->settings.controls_load,
	};

	if (query.controls_load)
		query.ranks_below = routing_ranks_below(
			forward->routing, forward->route, service->name);
	if (query.prompt_tokens <= 0)
		query.prompt_tokens = service->engine.usual_prompt_tokens;
	if (query.target_us < 0)
		query.target_us = 0;
	return query;
}

backends_query_t forward_backends_query(const forward_t *forward,
					const placement_query_t *query,
					int64_t now_us)
{
	return (backends_query_t){
		.service = forward->service,
		.load_table = forward->gateway->load_table,
		.except = (backend_t *const *)forward->tried,
		.except_count = forward->tried_count,
		.now_us = now_us,
		.salt = query->salt,
		.traffic_bytes = backends_traffic_bytes(
			forward->service, (int64_t)forward->body_bytes,
			query->output_tokens),
		.objective_us =
			routing_shortest_target_ms(forward->routing,
						   forward->service->name) *
			US_PER_MS
	};
}

placement_result_t forward_choose(forward_t *forward, choice_t *choice)
{
	int64_t now_us = clock_monotonic_us();
	placement_query_t query = forward_placement_query(forward, now_us);
	backends_query_t wanted =
		forward_backends_query(forward, &query, now_us);

	return choice_make(choice, forward->gateway->backends, &wanted, &query);
}

static bool another_waits(const forward_t *forward)
{
	const forward_t *other;

	DL_FOREACH (forward->gateway->forwards, other)
		if (other != forward && other->phase == FORWARD_WAITING &&
		    other->service == forward->service)
			return true;
	return false;
}

/* @return true if the request should wait here: for a server to appear, or for
 * the next request that a server accepts, for which one request may wait */
static bool should_wait(const forward_t *forward, const accept_times_t *accepts)
{
	double target_us = (double)(forward->route->target_ms * US_PER_MS);
	double age = (double)age_us(forward, clock_monotonic_us());

	if (forward->tried_count)
		return false;
	if (accepts->anywhere_us == INT64_MAX)
		return age < target_us * WAIT_TARGET_FRACTION;
	return accepts->here_us != INT64_MAX &&
	       (double)age_us(forward, accepts->here_us) <
		       target_us * WAIT_ACCEPT_FRACTION &&
	       !another_waits(forward);
}

static void wait_or_refuse(forward_t *forward)
{
	int64_t now_us = clock_monotonic_us();
	accept_times_t accepts = backends_accept_times(
		forward->gateway->backends, forward->service->name, now_us);

	if (should_wait(forward, &accepts)) {
		forward->phase = FORWARD_WAITING;
		forward_set_timer(forward);
	} else if (accepts.anywhere_us != INT64_MAX) {
		forward_refuse(forward, "servers_limited",
			       (accepts.anywhere_us - now_us) / US_PER_MS + 1);
	} else {
		forward_refuse_here(
			forward, "no_server",
			no_server_retry_ms(forward->limit_us - now_us));
	}
}

/* @return false if a limit of a chosen server is used up */
static bool take_from_limits(const forward_t *forward)
{
	const placement_t *placement = &forward->choice.placement;
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < placement->count; i++)
		if (!backend_take(placement->shards[i]->server,
				  forward->service, now_us))
			return false;
	return true;
}

static void add_tried(forward_t *forward, backend_t *server)
{
	if (forward->tried_count < SERVERS_TRIED_MAX)
		forward->tried[forward->tried_count++] = backend_ref(server);
}

static void send(forward_t *forward)
{
	forward_log_placed(forward);
	forward_count_left(forward);
	if (forward->reservation)
		reservation_note_used(forward->reservation);
	forward_count_deferred(forward);
	add_tried(forward, choice_server(&forward->choice, 0));
	forward_segments_sent(forward);
	forward->phase = FORWARD_SENT;
	attempt_start(forward);
	forward_set_timer(forward);
}

static void on_reserved(void *context, bool granted)
{
	forward_t *forward = context;

	bool is_valid = choice_is_valid(&forward->choice, clock_monotonic_us());

	if (granted && is_valid) {
		if (forward_check_segments(forward))
			send(forward);
		return;
	}
	if (!is_valid)
		log_event(EVENT_CHOICE_DROPPED, "request=%s granted=%d",
			  *forward->request.id ? forward->request.id : "-",
			  granted);
	attempt_cancel(forward);
	if (!is_valid || ++forward->reservations_failed < RESERVATIONS_MAX)
		forward_place(forward);
	else
		forward_refuse(forward, "no_engine_memory", MEMORY_RETRY_MS);
}

/*
 * Refuses a request whose service is cut off from here: one of another node at
 * once, since that node tries others; one of a caller when it has waited for as
 * long as a request may wait for a server.
 * @return false if servers are to be tried
 */
static bool refuse_cut_off(forward_t *forward)
{
	int64_t now_us = clock_monotonic_us();
	double wait_us = (double)(forward->route->target_ms * US_PER_MS) *
			 WAIT_TARGET_FRACTION;

	if (!backends_is_cut_off(forward->gateway->backends,
				 forward->service->name) ||
	    (!forward->is_relayed && (double)age_us(forward, now_us) < wait_us))
		return false;
	forward_refuse_here(forward, "servers_unreachable",
			    no_server_retry_ms(forward->limit_us - now_us));
	return true;
}

/* @return Retry-After of a request that cannot be placed */
static int64_t retry_ms(const forward_t *forward, placement_result_t result)
{
	return retry_after_ms(result, &forward->choice.placement,
			      forward->limit_us - clock_monotonic_us());
}

void forward_place(forward_t *forward)
{
	const placement_t *placement = &forward->choice.placement;
	placement_result_t result;

	/* The body, or the wait for a server, may have taken long. */
	if (!forward->runs && !forward_may_start(forward))
		return;
	if (!forward_check_segments(forward) || forward_relay(forward) ||
	    refuse_cut_off(forward))
		return;
	forward->phase = FORWARD_WAITING;
	result = forward_choose(forward, &forward->choice);
	switch (result) {
	case PLACEMENT_CHOSEN:
		forward_admit(forward);
		if (!take_from_limits(forward))
			wait_or_refuse(forward);
		else if (placement->shared_memory)
			forward_reserve(forward, on_reserved);
		else
			send(forward);
		break;
	case PLACEMENT_NO_SERVER:
		wait_or_refuse(forward);
		break;
	case PLACEMENT_TOO_LONG:
		forward_refuse(forward, "prompt_too_long",
			       retry_ms(forward, result));
		break;
	case PLACEMENT_BUSY:
		forward_log_busy(forward, "cost");
		forward_refuse(forward, "busy", retry_ms(forward, result));
		break;
	case PLACEMENT_PAST_LIMIT:
		forward_log_busy(forward, "late");
		forward_refuse(forward, "busy", retry_ms(forward, result));
		break;
	}
}

static bool may_retry(forward_t *forward, failure_t failure)
{
	int64_t now_us = clock_monotonic_us();

	if (forward->body_sent || (forward->is_relayed && forward->runs))
		return false;
	if (forward->tried_count >= SERVERS_TRIED_MAX ||
	    now_us + ATTEMPT_TIME_MIN_MS * US_PER_MS >= forward->limit_us)
		return false;
	if (forward->runs && (!is_retryable(forward) ||
			      forward->runs >= forward->route->attempts_max))
		return false;
	/* Only retries of attempts that reached a server use the budget. */
	if (failure == FAILURE_UNREACHABLE)
		return true;
	if (!gateway_take_retry(forward->gateway, forward->service->name))
		return false;
	metrics_add(METRIC_ATTEMPTS_REPEATED, 1);
	return true;
}

static void give_up(forward_t *forward, failure_t failure)
{
	if (!forward->runs) {
		forward_refuse_here(forward, "not_served", BUSY_RETRY_MS);
		return;
	}
	forward_fail(forward,
		     failure == FAILURE_SILENT ? HTTP_GATEWAY_TIMEOUT
					       : HTTP_BAD_GATEWAY,
		     "attempt_failed");
}

static void retry(forward_t *forward)
{
	if (forward->event_count) {
		metrics_add(METRIC_STREAMS_RESUMED, 1);
		log_event(EVENT_STREAM_RESUMED, "request=%s after_event=%s",
			  *forward->request.id ? forward->request.id : "-",
			  forward->last_event_id);
	}
	forward_place(forward);
}

/* A node that could not pass the request to a server gets it only once. */
static void note_relay_failed(forward_t *forward, failure_t failure)
{
	if (forward->attempt->relay_node && failure == FAILURE_UNREACHABLE)
		forward->relays_failed[forward->relays_failed_count++] =
			forward->attempt->relay_node;
}

void forward_attempt_failed(forward_t *forward, failure_t failure)
{
	forward_log_failed(forward, failure);
	note_relay_failed(forward, failure);
	attempt_cancel(forward);
	if (failure != FAILURE_UNREACHABLE)
		forward->may_have_arrived = true;
	if (failure != FAILURE_UNREACHABLE && failure != FAILURE_NOT_RUN)
		forward->runs++;
	if (forward->phase == FORWARD_ENDED)
		return;
	if (may_retry(forward, failure))
		retry(forward);
	else
		give_up(forward, failure);
}

bool forward_failover(forward_t *forward, failure_t failure)
{
	forward->runs++;
	if (!may_retry(forward, failure)) {
		forward->runs--;
		return false;
	}
	forward_log_failed(forward, failure);
	attempt_cancel(forward);
	retry(forward);
	return true;
}

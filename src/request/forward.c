#include "request/forward.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "platform/headers.h"
#include "request/content_id.h"
#include "request/forward_state.h"

enum {
	HTTP_BAD_REQUEST = 400,
	HTTP_UNAUTHORIZED = 401,
	HTTP_NOT_FOUND = 404,
	HTTP_TOO_LARGE = 413,
	/* Retry-After of a node that starts: it reads its configuration within
	 * this time. */
	START_RETRY_MS = 500,
	/* Retry-After without memory for a body: other requests that end free
	 * theirs. */
	MEMORY_RETRY_MS = 300,
	/* Time limit of requests that state none. */
	DEFAULT_DEADLINE_MS = 30000,
	/* Time between the final answer and the caller's deadline. */
	ANSWER_MARGIN_MS = 30,
	BODY_CAPACITY_MIN_BYTES = 1024
};

/* Fraction of the memory limit that bodies of requests may take. */
#define BODY_MEMORY_FRACTION 0.35

static void log_end(const forward_t *forward, int status, const char *outcome)
{
	int64_t now_us = clock_monotonic_us();

	log_event(EVENT_REQUEST_ENDED,
		  "request=%s content=%" PRIx64
		  " route=%s account=%s status=%d outcome=%s "
		  "sends=%zu runs=%d events=%" PRId64 " first_event_ms=%" PRId64
		  " gap_max_ms=%" PRId64 " total_ms=%" PRId64 " config=%" PRId64
		  " relays=%zu relayed=%d stop=%s",
		  *forward->request.id ? forward->request.id : "-",
		  forward->content, forward->route ? forward->route->name : "-",
		  forward->account ? forward->account->name : "-", status,
		  outcome, forward->tried_count, forward->runs,
		  forward->event_count,
		  forward->first_event_us
			  ? (forward->first_event_us - forward->received_us) /
				    US_PER_MS
			  : -1,
		  forward->gap_max_us / US_PER_MS,
		  (now_us - forward->received_us) / US_PER_MS,
		  forward->routing ? routing_version(forward->routing) : -1,
		  forward->relay_count, forward->is_relayed,
		  gateway_stop_text(forward->gateway->stop));
}

/* The request has ended, but its caller does not get all of the answer. */
static void log_answer_cut(const forward_t *forward)
{
	metrics_add(METRIC_ANSWERS_CUT, 1);
	log_event(EVENT_ANSWER_CUT,
		  "request=%s pending_bytes=%zu after_ms=%" PRId64 " stop=%s",
		  *forward->request.id ? forward->request.id : "-",
		  exchange_pending_bytes(forward->exchange),
		  (clock_monotonic_us() - forward->received_us) / US_PER_MS,
		  gateway_stop_text(forward->gateway->stop));
}

void forward_ended(forward_t *forward, int status, const char *outcome)
{
	if (forward->phase == FORWARD_ENDED)
		return;
	forward->phase = FORWARD_ENDED;
	ev_timer_stop(forward->gateway->loop, &forward->timer);
	attempt_cancel(forward);
	log_end(forward, status, outcome);
	forward->gateway->body_bytes -= (int64_t)forward->body_capacity;
	free(forward->body);
	forward->body = NULL;
	forward->body_bytes = forward->body_capacity = 0;
}

static void destroy(forward_t *forward)
{
	size_t i;

	ev_timer_stop(forward->gateway->loop, &forward->timer);
	for (i = 0; i < forward->tried_count; i++)
		backend_unref(forward->tried[i]);
	DL_DELETE(forward->gateway->forwards, forward);
	forward->gateway->forward_count--;
	forward->gateway->relayed_count -= forward->is_relayed;
	sse_clear(&forward->events);
	choice_clear(&forward->choice);
	routing_unref(forward->routing);
	free(forward->body);
	free(forward);
}

/*
 * @return true if this node's views may be outdated, so that a key or a route
 * that it does not find may exist
 */
static bool may_be_outdated(const forward_t *forward)
{
	return !gateway_keys_valid(forward->gateway);
}

static bool find_route(forward_t *forward)
{
	exchange_t *exchange = forward->exchange;
	const char *host = exchange_header(exchange, "Host");

	if (!host) {
		forward_fail(forward, HTTP_BAD_REQUEST, "host_missing");
		return false;
	}
	forward->route =
		routing_find(forward->routing, host, exchange_path(exchange));
	if (forward->route)
		return true;
	if (may_be_outdated(forward))
		forward_refuse_here(forward, "configuration_unconfirmed",
				    OTHER_NODE_RETRY_MS);
	else
		forward_fail(forward, HTTP_NOT_FOUND, "no_route");
	return false;
}

static bool find_account(forward_t *forward)
{
	if (forward->route->is_public || !routing_needs_keys(forward->routing))
		return true;
	if (may_be_outdated(forward)) {
		forward_refuse_here(forward, "keys_unconfirmed",
				    OTHER_NODE_RETRY_MS);
		return false;
	}
	forward->account =
		routing_account(forward->routing, forward->request.key);
	if (!forward->account)
		forward_fail(forward, HTTP_UNAUTHORIZED, "unknown_key");
	return forward->account;
}

static void set_limit(forward_t *forward)
{
	int64_t wait_ms = forward->request.deadline_ms;

	if (wait_ms < 0)
		wait_ms = DEFAULT_DEADLINE_MS;
	if (wait_ms > forward->route->timeout_ms)
		wait_ms = forward->route->timeout_ms;
	if (wait_ms > 2 * ANSWER_MARGIN_MS)
		wait_ms -= ANSWER_MARGIN_MS;
	forward->limit_us = forward->received_us + wait_ms * US_PER_MS;
}

static bool has_memory(const forward_t *forward, int64_t more_bytes)
{
	const gateway_t *gateway = forward->gateway;

	return (double)(gateway->body_bytes + more_bytes) <
	       (double)gateway->settings.memory_limit_bytes *
		       BODY_MEMORY_FRACTION;
}

static void refuse_memory(forward_t *forward)
{
	metrics_add(METRIC_MEMORY_REFUSED, 1);
	forward_refuse_here(forward, "no_memory", MEMORY_RETRY_MS);
}

static bool check_body(forward_t *forward)
{
	int64_t size = exchange_body_bytes(forward->exchange);

	if (size > routing_limits(forward->routing)->body_bytes) {
		forward_fail(forward, HTTP_TOO_LARGE, "body_too_long");
		return false;
	}
	if (has_memory(forward, size > 0 ? size : 0))
		return true;
	refuse_memory(forward);
	return false;
}

static void admit(forward_t *forward)
{
	gateway_t *gateway = forward->gateway;

	if (!gateway_has_views(gateway)) {
		forward_refuse_here(forward, "starting", START_RETRY_MS);
		return;
	}
	forward->routing = routing_ref(gateway->routing);
	if (forward->is_relayed && !forward_admits_relayed(forward))
		return;
	if (!find_route(forward) || !find_account(forward))
		return;
	set_limit(forward);
	if (!forward_may_start(forward) || !forward_check_segments(forward) ||
	    !check_body(forward))
		return;
	forward->service = routing_service(
		forward->routing,
		routing_target(forward->route, gateway_random(gateway)));
	if (!forward->service) {
		forward_refuse_here(forward, "no_service", START_RETRY_MS);
		return;
	}
	/* Counted by the node of the caller. */
	if (!forward->is_relayed)
		gateway_count_request(gateway, forward->service->name);
	forward_set_timer(forward);
}

/* The bound applies to decisions of this node; servers get the header as it was
 * sent. */
static void note_bounded(const forward_t *forward)
{
	if (!forward->request.bounded_header)
		return;
	metrics_add(METRIC_NUMBERS_BOUNDED, 1);
	log_event(EVENT_NUMBER_BOUNDED, "request=%s header=%s",
		  *forward->request.id ? forward->request.id : "-",
		  forward->request.bounded_header);
}

static forward_t *begin(gateway_t *gateway, exchange_t *exchange,
			bool is_relayed)
{
	forward_t *forward = mem_calloc(1, sizeof(*forward));

	forward->gateway = gateway;
	forward->exchange = exchange;
	forward->is_relayed = is_relayed;
	gateway->relayed_count += is_relayed;
	forward->received_us = clock_monotonic_us();
	ev_init(&forward->timer, forward_on_timer);
	forward->timer.data = forward;
	DL_APPEND(gateway->forwards, forward);
	gateway->forward_count++;
	metrics_add(METRIC_REQUESTS, 1);
	platform_read_request(exchange, &forward->request);
	note_bounded(forward);
	mem_strlcpy(forward->last_event_id, forward->request.last_event_id,
		    sizeof(forward->last_event_id));
	admit(forward);
	return forward;
}

static void *on_request(void *context, exchange_t *exchange)
{
	return begin(context, exchange, false);
}

static void *on_relayed_request(void *context, exchange_t *exchange)
{
	return begin(context, exchange, true);
}

/* @return false if there is no memory for the body */
static bool grow_body(forward_t *forward, size_t needed)
{
	size_t capacity = forward->body_capacity ? forward->body_capacity * 2
						 : BODY_CAPACITY_MIN_BYTES;
	int64_t more_bytes;

	while (capacity < needed)
		capacity *= 2;
	more_bytes = (int64_t)capacity - (int64_t)forward->body_capacity;
	if (!has_memory(forward, more_bytes))
		return false;
	forward->gateway->body_bytes += more_bytes;
	forward->body = mem_realloc(forward->body, capacity, 1);
	forward->body_capacity = capacity;
	return true;
}

static void on_body(void *user, const void *data, size_t size)
{
	forward_t *forward = user;
	size_t needed = forward->body_bytes + size;

	if (forward->phase != FORWARD_RECEIVING)
		return;
	if ((int64_t)needed > routing_limits(forward->routing)->body_bytes) {
		forward_fail(forward, HTTP_TOO_LARGE, "body_too_long");
		return;
	}
	if (needed > forward->body_capacity && !grow_body(forward, needed)) {
		refuse_memory(forward);
		return;
	}
	memcpy(forward->body + forward->body_bytes, data, size);
	forward->body_bytes = needed;
}

/* The caller sent requests ahead of their answers. */
static void refuse_reply_room(forward_t *forward)
{
	metrics_add(METRIC_HEADERS_REFUSED, 1);
	forward_refuse_here(forward, "no_reply_room", OTHER_NODE_RETRY_MS);
}

static void on_complete(void *user)
{
	forward_t *forward = user;

	if (forward->phase != FORWARD_RECEIVING)
		return;
	if (!exchange_has_reply_room(forward->exchange)) {
		refuse_reply_room(forward);
		return;
	}
	forward->content =
		content_id(forward->account ? forward->account->name : NULL,
			   exchange_method(forward->exchange),
			   exchange_path(forward->exchange),
			   exchange_query(forward->exchange), forward->body,
			   forward->body_bytes);
	forward_place(forward);
}

static void on_drained(void *user)
{
	forward_t *forward = user;

	if (forward->phase == FORWARD_SENT)
		attempt_resume(forward);
}

static void on_close(void *user, bool sent)
{
	forward_t *forward = user;

	if (forward->phase == FORWARD_ENDED && !sent)
		log_answer_cut(forward);
	forward->exchange = NULL;
	if (forward->phase != FORWARD_ENDED) {
		metrics_add(METRIC_CALLERS_GONE, 1);
		forward_ended(forward, 0, "caller-gone");
	}
	destroy(forward);
}

const listener_handler_t forward_handler = {
	.on_request = on_request,
	.on_body = on_body,
	.on_drained = on_drained,
	.on_complete = on_complete,
	.on_close = on_close,
};

const listener_handler_t forward_relayed_handler = {
	.on_request = on_relayed_request,
	.on_body = on_body,
	.on_drained = on_drained,
	.on_complete = on_complete,
	.on_close = on_close,
};

void forward_retry_waiting(gateway_t *gateway)
{
	forward_t *forward, *next;

	DL_FOREACH_SAFE (gateway->forwards, forward, next)
		if (forward->phase == FORWARD_WAITING)
			forward_place(forward);
}

void forward_check_partition(gateway_t *gateway)
{
	int64_t now_us = clock_monotonic_us();
	forward_t *forward, *next;

	DL_FOREACH_SAFE (gateway->forwards, forward, next)
		if (forward->attempt && !forward->attempt->relay_node &&
		    backend_is_partitioned(
			    forward->attempt->load.shards[0].server, now_us))
			forward_set_timer(forward);
}

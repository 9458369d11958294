#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "request/forward_state.h"

enum {
	HTTP_BAD_GATEWAY = 502,
	HTTP_UNAVAILABLE = 503,
	ERROR_BODY_SIZE_BYTES = 160,
	SECONDS_SIZE_BYTES = 24, /* text of a Retry-After header */
	EVENT_FIELD_ID_BYTES = 3 /* "id:" */
};

static void close_if_stopping(const forward_t *forward)
{
	if (forward->gateway->stop != STOP_NONE)
		exchange_set_last(forward->exchange);
}

void forward_reply_whole(forward_t *forward)
{
	const attempt_t *attempt = forward->attempt;

	forward->head_sent = true;
	metrics_add(METRIC_REQUESTS_COMPLETE, 1);
	close_if_stopping(forward);
	exchange_reply(forward->exchange, attempt->reply.status,
		       attempt->headers.items, attempt->headers.count,
		       attempt->body, attempt->body_bytes);
	forward_ended(forward, attempt->reply.status, "complete");
}

void forward_reply_begin(forward_t *forward)
{
	const attempt_t *attempt = forward->attempt;

	if (forward->head_sent)
		return;
	forward->head_sent = true;
	close_if_stopping(forward);
	exchange_stream(forward->exchange, attempt->reply.status,
			attempt->headers.items, attempt->headers.count);
}

/*
 * Copies the value of the `id` field of an event.
 * @return false if the event has no id, or one of @p size bytes or more
 */
static bool event_id(const sse_event_t *event, char *id, size_t size)
{
	const char *line = event->raw, *end = event->raw + event->raw_size;

	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));
		const char *value = line + EVENT_FIELD_ID_BYTES;
		size_t length;

		if (!stop)
			return false;
		if (value < stop &&
		    !memcmp(line, "id:", EVENT_FIELD_ID_BYTES)) {
			while (value < stop && *value == ' ')
				value++;
			length = (size_t)(stop - value);
			if (length && value[length - 1] == '\r')
				length--;
			if (length >= size)
				return false;
			memcpy(id, value, length);
			id[length] = '\0';
			return true;
		}
		line = stop + 1;
	}
	return false;
}

static void record_event(forward_t *forward)
{
	attempt_t *attempt = forward->attempt;
	int64_t now_us = clock_monotonic_us();

	if (!forward->first_event_us) {
		forward->first_event_us = now_us;
		metrics_ttft(forward->request.prompt_tokens,
			     forward->route->name,
			     now_us - forward->received_us);
	}
	if (forward->last_event_us &&
	    now_us - forward->last_event_us > forward->gap_max_us)
		forward->gap_max_us = now_us - forward->last_event_us;
	forward->last_event_us = now_us;
	attempt->last_event_us = attempt->last_progress_us = now_us;
	forward->event_count++;
	metrics_add(METRIC_CHUNKS_RELAYED, 1);
}

/*
 * Relays an event. Event ids are increasing numbers. A resumed stream must
 * continue after the last event that the caller has, so events up to this one
 * are dropped.
 */
static bool on_event(void *context, const sse_event_t *event)
{
	forward_t *forward = context;
	char id[EVENT_ID_SIZE_BYTES] = "";

	if (event_id(event, id, sizeof(id))) {
		if (*forward->last_event_id &&
		    strtoll(id, NULL, 10) <=
			    strtoll(forward->last_event_id, NULL, 10)) {
			metrics_add(METRIC_CHUNKS_DROPPED, 1);
			return true;
		}
		mem_strlcpy(forward->last_event_id, id,
			    sizeof(forward->last_event_id));
	}
	forward_reply_begin(forward);
	record_event(forward);
	exchange_write(forward->exchange, event->raw, event->raw_size);
	return true;
}

bool forward_reply_events(forward_t *forward, const void *data, size_t size)
{
	return sse_feed(&forward->events, data, size, on_event, forward) ==
	       SSE_OK;
}

void forward_reply_end(forward_t *forward)
{
	forward_reply_begin(forward);
	exchange_end(forward->exchange);
	metrics_add(METRIC_REQUESTS_COMPLETE, 1);
	forward_ended(forward, forward->attempt->reply.status, "complete");
}

static const char *relay_outcome(const forward_t *forward, int status)
{
	if (forward->runs)
		return RELAY_FAILED;
	if (status != HTTP_UNAVAILABLE ||
	    (forward->is_own_refusal && !forward->may_have_arrived))
		return RELAY_UNAVAILABLE;
	return RELAY_REFUSED;
}

static void reply_error(forward_t *forward, int status, const char *code,
			own_headers_t *headers)
{
	char body[ERROR_BODY_SIZE_BYTES];

	if (forward->is_relayed)
		headers->items[headers->count++] =
			(reply_header_t){ RELAY_HEADER_OUTCOME,
					  relay_outcome(forward, status) };
	headers->items[headers->count++] =
		(reply_header_t){ "Content-Type", "application/json" };
	close_if_stopping(forward);
	snprintf(body, sizeof(body), "{\"error\":{\"code\":\"%s\"}}", code);
	exchange_reply(forward->exchange, status, headers->items,
		       headers->count, body, strlen(body));
}

void forward_refuse(forward_t *forward, const char *code,
		    int64_t retry_after_ms)
{
	own_headers_t headers = { .count = 1 };
	char seconds[SECONDS_SIZE_BYTES];

	/* A refusal states that the request has not run: a request that may
	 * have run is never refused, whatever the reason. */
	if (forward->runs || forward->head_sent) {
		forward_fail(forward, HTTP_BAD_GATEWAY, code);
		return;
	}
	metrics_add(METRIC_REQUESTS_REFUSED, 1);
	snprintf(seconds, sizeof(seconds), "%.3f",
		 (double)retry_after_ms / MS_PER_S);
	headers.items[0] = (reply_header_t){ "Retry-After", seconds };
	reply_error(forward, HTTP_UNAVAILABLE, code, &headers);
	forward_ended(forward, HTTP_UNAVAILABLE, code);
}

void forward_refuse_here(forward_t *forward, const char *code,
			 int64_t retry_after_ms)
{
	forward->is_own_refusal = true;
	forward_refuse(forward, code, retry_after_ms);
}

void forward_fail(forward_t *forward, int status, const char *code)
{
	own_headers_t headers = { .count = 0 };

	metrics_add(METRIC_REQUESTS_FAILED, 1);
	if (forward->head_sent)
		exchange_abort(forward->exchange);
	else
		reply_error(forward, status, code, &headers);
	forward_ended(forward, status, code);
}

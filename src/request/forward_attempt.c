#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "platform/headers.h"
#include "platform/orders.h"
#include "request/forward_state.h"
#include "request/hop_headers.h"

enum {
	/* Answers up to this size are held until they are complete, so that
	 * the request can be retried if the answer breaks; longer ones too, if
	 * a stop may end the request. */
	HOLD_MAX_BYTES = 256 * 1024,
	/* The server's answer is paused while more than this is buffered for
	 * the caller. */
	PENDING_MAX_BYTES = 64 * 1024,
	HEADERS_FIRST = 16, /* of an answer, that need no more memory */
	HTTP_OK = 200,
	HTTP_MULTIPLE_CHOICES = 300,
	HTTP_MISDIRECTED = 421,
	HTTP_SERVER_ERROR = 500,
	HTTP_BAD_GATEWAY = 502,
	HTTP_UNAVAILABLE = 503
};

/* Fraction of the memory limit that answers may take: those that are held, and
 * what callers have not received. */
#define ANSWER_MEMORY_FRACTION 0.2
/* Silence of a stream before failover, as a fraction of the caller's timeout;
 * the rest of the timeout is left for the other server. */
#define STREAM_TIMEOUT_FRACTION 0.5

static void free_held_body(gateway_t *gateway, attempt_t *attempt)
{
	gateway->held_bytes -= (int64_t)attempt->body_bytes;
	attempt->body_bytes = 0;
	free(attempt->body);
	attempt->body = NULL;
}

static void free_attempt(gateway_t *gateway, attempt_t *attempt)
{
	size_t i;

	for (i = 0; i < attempt->headers.count; i++) {
		free((char *)attempt->headers.items[i].name);
		free((char *)attempt->headers.items[i].value);
	}
	free(attempt->headers.items);
	free_held_body(gateway, attempt);
	free(attempt);
}

static void end_load(forward_t *forward, attempt_t *attempt)
{
	attempt_load_end(&attempt->load);
	attempt_uncount_account(forward, attempt);
	gateway_load_changed(forward->gateway, false);
}

void attempt_cancel(forward_t *forward)
{
	attempt_t *attempt = forward->attempt;

	if (attempt && attempt->call)
		client_call_cancel(attempt->call);
	forward_end_reserving(forward);
	if (forward->reservation)
		reservation_release(forward->reservation);
	forward->reservation = NULL;
	forward->attempt = NULL;
	if (!attempt)
		return;
	end_load(forward, attempt);
	free_attempt(forward->gateway, attempt);
	sse_reset(&forward->events);
}

void attempt_resume(forward_t *forward)
{
	if (forward->attempt && forward->attempt->call)
		client_call_resume(forward->attempt->call);
}

static void record_evidence(const forward_t *forward, evidence_t evidence)
{
	if (forward->attempt->relay_node)
		return;
	backend_note(forward->attempt->load.shards[0].server, evidence,
		     clock_monotonic_us());
	/* Announces the failure, so that other nodes need not run into it. */
	if (evidence != EVIDENCE_GOOD && evidence != EVIDENCE_FULL)
		gateway_load_changed(forward->gateway, true);
}

static void fail(forward_t *forward, failure_t failure, evidence_t evidence)
{
	record_evidence(forward, evidence);
	forward_attempt_failed(forward, failure);
}

/* The client bounds the size of all headers. */
static void append_header(answer_headers_t *headers, const char *name,
			  const char *value)
{
	if (headers->count == headers->capacity) {
		headers->capacity = headers->capacity ? 2 * headers->capacity
						      : HEADERS_FIRST;
		headers->items = mem_realloc(headers->items, headers->capacity,
					     sizeof(*headers->items));
	}
	headers->items[headers->count++] =
		(reply_header_t){ mem_strdup(name), mem_strdup(value) };
}

static void on_header(void *context, const char *name, const char *value)
{
	forward_t *forward = context;
	attempt_t *attempt = forward->attempt;

	if (!strncasecmp(name, RELAY_HEADER_PREFIX,
			 strlen(RELAY_HEADER_PREFIX))) {
		if (attempt->relay_node &&
		    !strcasecmp(name, RELAY_HEADER_OUTCOME))
			attempt->relay_outcome = relay_outcome_of(value);
		return;
	}
	platform_read_reply_header(name, value, forward->request.id,
				   &attempt->reply);
	if (!strcasecmp(name, "Content-Length") ||
	    !strcasecmp(name, "Transfer-Encoding"))
		attempt->is_framed = true;
	if (!is_hop_header(name, NULL))
		append_header(&attempt->headers, name, value);
}

static bool is_success(const server_reply_t *reply)
{
	return reply->status >= HTTP_OK &&
	       reply->status < HTTP_MULTIPLE_CHOICES;
}

/* @return true if the answer cannot be the server's own to this request */
static bool is_untrusted(const server_reply_t *reply)
{
	return reply->foreign || (is_success(reply) && !reply->sealed) ||
	       (!reply->sealed && !reply->not_run);
}

/* Applies what the answer says of the rate that the server accepts. Only an
 * answer that is the server's own can end a rate. */
static void apply_rate(const forward_t *forward, int64_t now_us)
{
	const attempt_t *attempt = forward->attempt;
	const server_reply_t *reply = &attempt->reply;
	const backend_t *server = attempt->load.shards[0].server;
	server_rate_t rate = { .server_hash = backend_hash(server),
			       .is_limited = reply->rate == RATE_STATED,
			       .per_s = reply->rate_per_s };
	char per_s[RATE_TEXT_BYTES];

	if (reply->rate == RATE_UNREADABLE ||
	    (reply->rate == RATE_NOT_STATED && !reply->sealed) ||
	    !server_rates_note(backends_rates(forward->gateway->backends),
			       &rate, attempt->sent_us, now_us))
		return;
	server_rate_format(&rate, per_s);
	gateway_load_changed(forward->gateway, true);
	log_event(EVENT_SERVER_RATE, "server=%s per_s=%s source=%s",
		  backend_entry(server)->id, per_s,
		  *forward->request.id ? forward->request.id : "-");
}

/* Applies the server's notice that it leaves, rejects requests for a time, or
 * accepts a limited rate. A server that has the address of another one speaks
 * only for itself. */
static void apply_server_notices(const forward_t *forward)
{
	const server_reply_t *reply = &forward->attempt->reply;
	backend_t *server = forward->attempt->load.shards[0].server;
	int64_t now_us = clock_monotonic_us();

	if (reply->foreign)
		return;
	if (reply->status != HTTP_MISDIRECTED)
		apply_rate(forward, now_us);
	if (reply->leaving)
		backend_note_leaving(server, now_us);
	if (reply->status != HTTP_UNAVAILABLE || !reply->retry_after_ms)
		return;
	log_event(EVENT_SERVER_TURNS_AWAY,
		  "request=%s server=%s retry_after_ms=%" PRId64,
		  *forward->request.id ? forward->request.id : "-",
		  backend_entry(server)->id, reply->retry_after_ms);
	backend_note_rejecting(server,
			       now_us + reply->retry_after_ms * US_PER_MS);
}

/* Counts the attempt, once, as usage of its client account. The node that sends
 * it to a server counts. */
static void count_usage(const forward_t *forward, int64_t began_us)
{
	if (forward->account && !forward->attempt->relay_node)
		duties_count_request(forward->gateway->duties,
				     forward->account->name, began_us);
}

/* Records what the status of an answer shows about its server. */
static void note_answer(forward_t *forward)
{
	attempt_t *attempt = forward->attempt;
	int64_t now_us = clock_monotonic_us();
	backend_t *server;

	if (attempt->relay_node)
		return;
	server = attempt->load.shards[0].server;
	backend_note_received(server, now_us);
	backend_note_connection(server, true, attempt->sent_us, now_us);
	attempt_note_data(forward);
	apply_server_notices(forward);
}

/* A server that is full got the request; one that is gone did not. */
static void fail_not_run(forward_t *forward)
{
	if (forward->attempt->reply.status != HTTP_MISDIRECTED) {
		metrics_add(METRIC_SERVERS_FULL, 1);
		fail(forward, FAILURE_NOT_RUN, EVIDENCE_FULL);
		return;
	}
	attempt_note_not_run(forward);
	fail(forward, FAILURE_NOT_RUN, EVIDENCE_GONE);
}

/* The request has run, and would get as long an answer from another server. */
static void fail_undeliverable(forward_t *forward)
{
	metrics_add(METRIC_ANSWERS_REPLACED, 1);
	forward->runs++;
	forward_fail(forward, HTTP_BAD_GATEWAY, "answer_headers_too_long");
}

static bool is_deliverable(const forward_t *forward)
{
	const answer_headers_t *headers = &forward->attempt->headers;

	return forward->head_sent ||
	       exchange_reply_fits(forward->exchange, headers->items,
				   headers->count);
}

/*
 * A refusal, or an answer that is not the server's own, ends the attempt at its
 * headers: its body decides nothing and may have no end.
 */
static void on_status(void *context, int status)
{
	forward_t *forward = context;
	attempt_t *attempt = forward->attempt;
	server_reply_t *reply = &attempt->reply;

	reply->status = status;
	attempt->head_done = true;
	attempt->last_progress_us = clock_monotonic_us();
	if (attempt_end_relay(forward))
		return;
	note_answer(forward);
	if (status == HTTP_MISDIRECTED)
		reply->not_run = true;
	if (reply->not_run && !reply->foreign)
		fail_not_run(forward);
	else if (is_untrusted(reply))
		fail(forward, FAILURE_BROKEN, EVIDENCE_BROKEN);
	else if (forward->head_sent && !is_success(reply))
		/* The caller has a part of another server's answer. */
		fail(forward, FAILURE_SERVER_ERROR, EVIDENCE_GOOD);
	else if (!is_deliverable(forward))
		fail_undeliverable(forward);
	else if (forward->route->kind != CALL_STREAM)
		count_usage(forward, attempt->sent_us);
}

/*
 * Updates the slowdown factor of the server with the last event gap.
 * @param before_us time of the event before the last one; 0: none
 */
static void record_event_gap(forward_t *forward, int64_t before_us)
{
	attempt_t *attempt = forward->attempt;
	const engine_profile_t *engine = &forward->service->engine;
	server_load_t load;
	backend_t *server;
	double expected_us;

	if (!engine->present || !before_us || attempt->relay_node)
		return;
	server = attempt->load.shards[0].server;
	load = backend_load(server, forward->gateway->load_table, engine,
			    attempt->last_event_us);
	expected_us =
		forecast_decode_us(engine, load.decoding, load.kv_tokens) +
		(double)load.backlog_us;
	backend_note_gap(server, (double)(attempt->last_event_us - before_us),
			 expected_us);
	if (backends_paces(forward->gateway->backends))
		pace_note_gap(backends_paces(forward->gateway->backends),
			      backend_start_hash(server),
			      (double)(attempt->last_event_us - before_us),
			      expected_us, attempt->last_event_us);
}

/* Measures the pace of the server by the first event, unless requests of other
 * nodes came in between. */
static void record_first_event(const forward_t *forward)
{
	const attempt_t *attempt = forward->attempt;
	pace_table_t *paces = backends_paces(forward->gateway->backends);
	backend_t *server;
	server_load_t load;

	if (!paces || attempt->relay_node || attempt->pace_expected_us <= 0)
		return;
	server = attempt->load.shards[0].server;
	load = backend_load(server, forward->gateway->load_table,
			    &forward->service->engine, attempt->last_event_us);
	if (load.prefilling + load.decoding > attempt->pace_running + 1)
		return;
	pace_note_first_event(
		paces, backend_start_hash(server),
		(double)(attempt->first_event_us - attempt->sent_us),
		attempt->pace_expected_us, attempt->first_event_us);
}

int64_t attempt_stream_timeout_us(const forward_t *forward)
{
	return (int64_t)((double)forward_caller_timeout_us(forward) *
			 STREAM_TIMEOUT_FRACTION);
}

/* @return true if @p more_bytes of answers find memory */
static bool has_answer_memory(const gateway_t *gateway, size_t more_bytes)
{
	size_t used_bytes = (size_t)gateway->held_bytes +
			    listener_reply_bytes(gateway->callers) +
			    listener_reply_bytes(gateway->relayed);

	return (double)(used_bytes + more_bytes) <
	       (double)gateway->settings.memory_limit_bytes *
		       ANSWER_MEMORY_FRACTION;
}

/* Pauses the server while much of its answer waits for the caller; if memory is
 * short, while any of it does. */
static client_flow_t flow_of(const forward_t *forward)
{
	size_t pending_bytes = exchange_pending_bytes(forward->exchange);
	size_t limit_bytes =
		has_answer_memory(forward->gateway, 0) ? PENDING_MAX_BYTES : 0;

	return pending_bytes > limit_bytes ? CLIENT_PAUSE : CLIENT_CONTINUE;
}

static client_flow_t relay_events(forward_t *forward, const void *data,
				  size_t size)
{
	attempt_t *attempt = forward->attempt;
	int64_t before_us = attempt->last_event_us,
		events = forward->event_count;

	if (!forward_reply_events(forward, data, size)) {
		fail(forward, FAILURE_BROKEN, EVIDENCE_BROKEN);
		return CLIENT_CONTINUE;
	}
	if (forward->event_count > events) {
		if (!attempt->first_event_us) {
			attempt->first_event_us = attempt->last_event_us;
			attempt_load_first_event(&attempt->load);
			record_first_event(forward);
			count_usage(forward, attempt->last_event_us);
			gateway_load_changed(forward->gateway, false);
			if (attempt->timeout_us)
				attempt->timeout_us =
					attempt_stream_timeout_us(forward);
		} else if (forward->event_count == events + 1) {
			record_event_gap(forward, before_us);
		}
	}
	return flow_of(forward);
}

/* @return true if a body of @p size is held. Of an answer that is streamed,
 * nothing can be taken back when a stop ends the request. */
static bool may_hold(const forward_t *forward, size_t size)
{
	return size <= HOLD_MAX_BYTES || forward_may_outlast_stop(forward);
}

/* Holds a body up to HOLD_MAX_BYTES; a longer one, or one without memory to
 * hold it, is streamed. */
static client_flow_t relay_body(forward_t *forward, const void *data,
				size_t size)
{
	attempt_t *attempt = forward->attempt;

	if (!attempt->overflow &&
	    may_hold(forward, attempt->body_bytes + size) &&
	    has_answer_memory(forward->gateway, size)) {
		attempt->body = mem_realloc(attempt->body,
					    attempt->body_bytes + size, 1);
		memcpy(attempt->body + attempt->body_bytes, data, size);
		attempt->body_bytes += size;
		forward->gateway->held_bytes += (int64_t)size;
		return CLIENT_CONTINUE;
	}
	if (!attempt->overflow) {
		attempt->overflow = true;
		forward->body_sent = true;
		forward_reply_begin(forward);
		exchange_write(forward->exchange, attempt->body,
			       attempt->body_bytes);
		free_held_body(forward->gateway, attempt);
	}
	exchange_write(forward->exchange, data, size);
	return flow_of(forward);
}

static bool relays_events(const forward_t *forward)
{
	const server_reply_t *reply = &forward->attempt->reply;

	return is_success(reply) && forward->route->kind == CALL_STREAM;
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	forward_t *forward = context;
	attempt_t *attempt = forward->attempt;

	if (!attempt->relay_node)
		backend_note_received(attempt->load.shards[0].server,
				      clock_monotonic_us());
	forward_count_far(forward, METRIC_FAR_RECEIVED_BYTES, size);
	attempt_note_data(forward);
	/* An incomplete event is no progress: a stream may stall within an
	 * event. */
	if (!relays_events(forward))
		attempt->last_progress_us = clock_monotonic_us();
	return relays_events(forward) ? relay_events(forward, data, size)
				      : relay_body(forward, data, size);
}

static void end_stream(forward_t *forward)
{
	/* A truncated event shows that the stream is not complete. */
	if (forward->events.held_size) {
		attempt_note_broken(forward);
		fail(forward, FAILURE_BROKEN, EVIDENCE_BROKEN);
		return;
	}
	attempt_note_end(forward);
	record_evidence(forward, EVIDENCE_GOOD);
	forward_reply_end(forward);
}

static void end_body(forward_t *forward)
{
	attempt_t *attempt = forward->attempt;

	attempt_note_end(forward);
	record_evidence(forward, EVIDENCE_GOOD);
	if (attempt->overflow)
		forward_reply_end(forward);
	else
		forward_reply_whole(forward);
}

/* @return true if the server itself failed and the request may run twice */
static bool is_retryable_error(const forward_t *forward)
{
	return forward->attempt->reply.status >= HTTP_SERVER_ERROR &&
	       forward->route->kind == CALL_IDEMPOTENT;
}

static void on_complete_answer(forward_t *forward)
{
	if (relays_events(forward))
		end_stream(forward);
	else if (!is_retryable_error(forward) ||
		 !forward_failover(forward, FAILURE_SERVER_ERROR))
		end_body(forward);
}

static void on_unreachable(forward_t *forward)
{
	const attempt_t *attempt = forward->attempt;

	if (!attempt->relay_node)
		backend_note_connection(attempt->load.shards[0].server, false,
					attempt->sent_us, clock_monotonic_us());
	attempt_note_unreachable(forward);
	fail(forward, FAILURE_UNREACHABLE, EVIDENCE_UNREACHABLE);
}

static void on_end(void *context, client_end_t end, int status)
{
	forward_t *forward = context;
	attempt_t *attempt = forward->attempt;

	attempt->call = NULL;
	/* What ends later may be the fault of a server. */
	if (attempt->relay_node && end == CLIENT_CONNECT_FAILED)
		gateway_note_relay_failed(forward->gateway,
					  attempt->relay_node);
	switch (end) {
	case CLIENT_OK:
		on_complete_answer(forward);
		return;
	case CLIENT_CONNECT_FAILED:
		on_unreachable(forward);
		return;
	case CLIENT_TIMED_OUT:
		fail(forward, FAILURE_SILENT, EVIDENCE_SILENT);
		return;
	case CLIENT_BROKEN:
		attempt_note_broken(forward);
		fail(forward, FAILURE_BROKEN, EVIDENCE_BROKEN);
		return;
	case CLIENT_CANCELLED:
		fail(forward, FAILURE_BROKEN, EVIDENCE_BROKEN);
		return;
	case CLIENT_INVALID:
		/* The server has not crashed: it sent something. */
		attempt_note_data(forward);
		fail(forward, FAILURE_BROKEN, EVIDENCE_BROKEN);
		return;
	}
}

const client_handler_t attempt_handler = { .on_header = on_header,
					   .on_status = on_status,
					   .on_data = on_data,
					   .on_end = on_end };

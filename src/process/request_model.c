#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "connection/engine.h"
#include "process/request.h"

/* Longest error body of an engine that is forwarded. */
enum { ERROR_BODY_MAX_BYTES = 8 * 1024 };

static void on_header(void *context, const char *name, const char *value)
{
	request_on_reply_header(context, name, value);
}

static void on_status(void *context, int status)
{
	request_t *request = context;

	request->status = status;
	request_record_phase(request, "connect", status != 200);
}

/* Sends TASK_MSG_FIRST_TOKEN for the first token of an attempt. */
static void report_first_token(request_t *request)
{
	task_msg_t *message;
	int64_t now_us;

	if (request->attempt_token_seen)
		return;
	request->attempt_token_seen = true;
	now_us = clock_monotonic_us();
	message = task_msg_create(TASK_MSG_FIRST_TOKEN, request->number);
	message->as.first_token.attempt = request->dispatch.stream_id.attempt;
	message->as.first_token.at_us = now_us;
	if (!mailbox_send(request->task->control, message))
		task_msg_destroy(message);
	request_record_phase(request, "first token", false);
	if (request->first_token_seen)
		return;
	request->first_token_seen = true;
	metrics_ttft(request->completion.prompt_tokens,
		     request->class_conf->name, now_us - request->received_us);
}

/* Collects the text of a chunk, and sends a streaming caller the chunk. */
static void deliver_chunk(request_t *request, const sse_event_t *event,
			  const engine_chunk_t *chunk)
{
	static const reply_header_t headers[] = {
		{ "Content-Type", "text/event-stream" },
		{ "Cache-Control", "no-cache" },
	};

	if (chunk->tokens) {
		report_first_token(request);
		request->resumes = 0;
	}
	metrics_add(METRIC_CHUNKS_RELAYED, 1);
	if (chunk->finish_reason[0])
		mem_strlcpy(request->finish_reason, chunk->finish_reason,
			    sizeof(request->finish_reason));
	/*
	 * The text of a streamed answer is kept too, because a new attempt
	 * continues after that text.
	 */
	body_buf_append(request, &request->answer, chunk->text,
			chunk->text_size_bytes, SIZE_MAX / 4);
	if (!request->completion.stream)
		return;
	if (!request->headers_sent)
		request_begin_stream(request, 200, headers, 2);
	exchange_write(request->exchange, event->raw, event->raw_size);
}

static void model_send(request_t *request, engine_call_t *call);

/*
 * Requests the rest of the stream from its server, from the delivered tokens
 * on, after the connection or a chunk was lost. Ends the attempt after
 * RESUMES_MAX resumptions without a new token.
 */
static void resume_stream(request_t *request)
{
	engine_call_t call;

	if (request->call)
		client_call_cancel(request->call);
	request->call = NULL;
	if (request->resumes++ >= RESUMES_MAX) {
		request_attempt_end(request, ATTEMPT_BROKEN);
		return;
	}
	metrics_add(METRIC_STREAMS_RESUMED, 1);
	log_event(EVENT_STREAM_RESUMED,
		  "request=%s attempt=%" PRIu32 " server=%s offset=%" PRId64,
		  request->id, request->dispatch.stream_id.attempt,
		  request->dispatch.server, request->stream.next_tokens);
	request->resuming = true;
	request->status = 0;
	stream_resume(&request->stream);
	sse_reset(&request->sse);
	engine_resume(&call, request->dispatch.url,
		      &request->dispatch.stream_id,
		      request->stream.next_tokens);
	model_send(request, &call);
}

/* @return false if the call to the server ended. */
static bool on_end_marker(request_t *request)
{
	switch (stream_end_marker(&request->stream)) {
	case STREAM_COMPLETE:
		request_attempt_end(request, ATTEMPT_COMPLETE);
		request_complete_model(request);
		return false;
	case STREAM_LOST:
		resume_stream(request);
		return false;
	default:
		metrics_add(METRIC_CHUNKS_DROPPED, 1);
		return true;
	}
}

/*
 * Counts a dropped chunk. Logs only the first of each attempt, so that the log
 * is not flooded.
 */
static void count_drop(request_t *request, const engine_chunk_t *chunk,
		       stream_result_t result)
{
	metrics_add(METRIC_CHUNKS_DROPPED, 1);
	if (request->drop_logged)
		return;
	request->drop_logged = true;
	log_event(EVENT_CHUNK_DROPPED,
		  "request=%s server=%s reason=%d offset=%" PRId64
		  " expected=%" PRId64,
		  request->id, request->dispatch.server, (int)result,
		  chunk->offset_tokens, request->stream.next_tokens);
}

/* Ends the request and its attempt. */
static void end_at_server_fault(request_t *request, refusal_t refusal,
				const char *message)
{
	request_give_up(request, ATTEMPT_BROKEN);
	request_refuse(request, refusal, OUTCOME_FAILED,
		       refusal_retry_after_s(refusal), message);
}

/* Handles the chunk that is due. @return false if the call to the server ended.
 */
static bool on_next_chunk(request_t *request, const sse_event_t *event,
			  const engine_chunk_t *chunk)
{
	if (request->stream.next_tokens > request->completion.max_tokens) {
		end_at_server_fault(request, REFUSAL_SERVER_FAILED,
				    "the server sent more than was requested");
		return false;
	}
	deliver_chunk(request, event, chunk);
	if (!request->answer.overflow || request->completion.stream)
		return true;
	/* The text is no longer held, so it cannot be sent. */
	end_at_server_fault(request, REFUSAL_MEMORY_FULL, "");
	return false;
}

/* @return false if the call to the server ended. */
static bool on_chunk(request_t *request, const sse_event_t *event,
		     const engine_chunk_t *chunk)
{
	stream_result_t result = stream_chunk(
		&request->stream, &chunk->stream_id, chunk->offset_tokens,
		chunk->tokens, chunk->finish_reason[0]);

	if (result == STREAM_DELIVER)
		return on_next_chunk(request, event, chunk);
	count_drop(request, chunk, result);
	if (result != STREAM_LOST)
		return true;
	resume_stream(request);
	return false;
}

/* Callback of sse_feed(). @return false to stop the parser. */
static bool on_event(void *context, const sse_event_t *event)
{
	request_t *request = context;
	request_task_t *task = request->task;
	engine_chunk_t chunk;

	if (!event->data_size)
		return true;
	if (!engine_parse_event(event->data, event->data_size, task->text,
				sizeof(task->text), &chunk, NULL)) {
		metrics_add(METRIC_CHUNKS_DROPPED, 1);
		return true;
	}
	switch (chunk.type) {
	case ENGINE_EVENT_CHUNK:
		return on_chunk(request, event, &chunk);
	case ENGINE_EVENT_DONE:
		return on_end_marker(request);
	case ENGINE_EVENT_OTHER:
		/* Names no stream, so it may belong to another request. */
		metrics_add(METRIC_CHUNKS_DROPPED, 1);
		return true;
	}
	return true;
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	request_t *request = context;

	if (request->state != REQUEST_RUNNING)
		return CLIENT_CONTINUE;
	if (request->status != 200) {
		/*
		 * The body of an error may have no end, and must not be
		 * appended to the text that was delivered so far.
		 */
		if (request->resuming || request->stream.next_tokens)
			return CLIENT_STOP;
		body_buf_append(request, &request->answer, data, size,
				ERROR_BODY_MAX_BYTES);
		return request->answer.overflow ? CLIENT_STOP : CLIENT_CONTINUE;
	}
	if (sse_feed(&request->sse, data, size, on_event, request) ==
	    SSE_TOO_LONG) {
		request_attempt_end(request, ATTEMPT_BROKEN);
		return CLIENT_CONTINUE;
	}
	if (request->state != REQUEST_RUNNING || !request->call ||
	    !request->headers_sent ||
	    exchange_pending_bytes(request->exchange) < REPLY_BUFFER_HIGH_BYTES)
		return CLIENT_CONTINUE;
	request->paused = true;
	return CLIENT_PAUSE;
}

/*
 * @return true if the engine rejected the request itself (4xx, but not 408 or
 * 429), as any other engine would; such an answer is final
 */
static bool is_rejection(const request_t *request)
{
	return !request->resuming && request->status >= 400 &&
	       request->status < 500 && request->status != 408 &&
	       request->status != 429 && !request->headers_sent &&
	       !request->stream.next_tokens;
}

/*
 * Handles the end of a reply.
 * @param whole true if the body was received to its end
 */
static void on_response(request_t *request, bool whole)
{
	static const reply_header_t type = { "Content-Type",
					     "application/json" };

	if (request->status == 200) {
		resume_stream(request);
	} else if (request_is_refusal(request, request->status) &&
		   !request->resuming) {
		request->attempt_sent = false;
		request_attempt_end(request, ATTEMPT_REFUSED);
	} else if (whole && is_rejection(request)) {
		request_attempt_end(request, ATTEMPT_COMPLETE);
		request_reply(request, request->status, OUTCOME_FAILED, &type,
			      1, request->answer.data, request->answer.size);
	} else {
		request_attempt_end(request, ATTEMPT_BROKEN);
	}
}

static void on_end(void *context, client_end_t end, int status)
{
	request_t *request = context;

	request->call = NULL;
	request->paused = false;
	if (request->state != REQUEST_RUNNING)
		return;
	switch (end) {
	case CLIENT_OK:
		on_response(request, true);
		break;
	case CLIENT_CONNECT_FAILED:
		if (request->resuming) {
			request_attempt_end(request, ATTEMPT_BROKEN);
			break;
		}
		request->attempt_sent = false;
		request_attempt_end(request, ATTEMPT_CONNECT_FAILED);
		break;
	case CLIENT_TIMED_OUT:
		request_attempt_end(request, ATTEMPT_TIMED_OUT);
		break;
	case CLIENT_BROKEN:
	case CLIENT_CANCELLED:
		if (request->status && request->status != 200)
			on_response(request, false);
		else
			resume_stream(request);
		break;
	case CLIENT_INVALID:
		request_attempt_end(request, ATTEMPT_BROKEN);
		break;
	}
}

/* Sends @p call to the server; takes over the body of @p call. */
static void model_send(request_t *request, engine_call_t *call)
{
	char traceparent[TRACE_PARENT_SIZE_BYTES + 16] = "traceparent: ";
	const char *headers[] = { "Content-Type: application/json",
				  "Accept: text/event-stream", traceparent,
				  NULL };
	client_request_t send = {
		.method = call->method,
		.url = call->url,
		.headers = headers,
		.body_to_free = call->body,
		.body_size_bytes = call->body_size_bytes,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_timeout_ms = request->class_conf->server_idle_ms,
		.unsent_timeout_ms = request_left_ms(request),
		/* As for plain services: no answer of an earlier call. */
		.at_most_once = true,
	};
	client_handler_t handler = {
		.on_header = on_header,
		.on_status = on_status,
		.on_data = on_data,
		.on_end = on_end,
		.context = request,
	};

	trace_context_format(&request->trace,
			     traceparent + strlen(traceparent));
	request->paused = false;
	request->call = client_call(request->task->client, &send, &handler);
}

void model_start(request_t *request)
{
	stream_t *stream = &request->stream;
	engine_request_t wanted = {
		.fields = request->completion.fields,
		.chat = request->chat,
		.model = request->service->model,
		.account = request->account->name,
		.max_tokens = request->completion.max_tokens,
	};
	engine_call_t call;

	if (stream->next_tokens && request->answer.overflow) {
		/*
		 * The delivered text is no longer held, and no server can
		 * continue the stream without it.
		 */
		request_give_up(request, ATTEMPT_CALLER_GONE);
		request_refuse(request, REFUSAL_MEMORY_FULL, OUTCOME_FAILED,
			       RETRY_AFTER_S, "");
		return;
	}
	stream_attempt(stream, &request->dispatch.stream_id);
	sse_reset(&request->sse);
	request->attempt_token_seen = false;
	request->drop_logged = false;
	request->attempt_sent = true;
	if (!stream->next_tokens)
		body_buf_clear(&request->answer); /* body of a refusal */
	engine_submit(&call, &request->dispatch, &wanted, request->answer.data,
		      stream->next_tokens, clock_monotonic_us());
	model_send(request, &call);
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/mem.h"
#include "base/metrics.h"
#include "process/request.h"

/* Headers of plain services that are forwarded to callers. */
static const char *const reply_headers[] = {
	"Content-Type",
	"Content-Language",
	"Content-Encoding",
	"Cache-Control",
	"ETag",
	"Last-Modified",
	"Location",
	"Content-Disposition",
};

/* Discards the reply of an earlier attempt. */
static void clear_reply(request_t *request)
{
	while (request->reply_header_count)
		free((char *)request
			     ->reply_headers[--request->reply_header_count]
			     .value);
	body_buf_clear(&request->answer);
}

static void on_header(void *context, const char *name, const char *value)
{
	request_t *request = context;
	size_t i;

	request_on_reply_header(request, name, value);
	for (i = 0; i < sizeof(reply_headers) / sizeof(reply_headers[0]); i++) {
		if (strcasecmp(name, reply_headers[i]) != 0 ||
		    request->reply_header_count >= FORWARDED_HEADERS_MAX)
			continue;
		request->reply_headers[request->reply_header_count++] =
			(reply_header_t){ reply_headers[i], mem_strdup(value) };
	}
}

static void on_status(void *context, int status)
{
	request_t *request = context;

	request->status = status;
	request_record_phase(request, "connect", status >= 500);
}

/*
 * @return the size up to which a lookup's answer is collected. Of an answer
 * that is streamed, nothing can be taken back when a shutdown ends the request.
 */
static size_t collect_max_bytes(const request_t *request)
{
	const request_task_t *task = request->task;
	size_t body_max_bytes = (size_t)task->settings.body_max_bytes;

	if (!task->ends_us || request->deadline_us < task->ends_us ||
	    body_max_bytes < COLLECT_MAX_BYTES)
		return COLLECT_MAX_BYTES;
	return body_max_bytes;
}

/*
 * Streams a lookup's answer that is longer than collect_max_bytes(), beginning
 * with the data collected so far.
 */
static void begin_stream(request_t *request)
{
	request_begin_stream(request, request->status, request->reply_headers,
			     request->reply_header_count);
	exchange_write(request->exchange, request->answer.data,
		       request->answer.size);
	request->answer.size = 0;
}

static client_flow_t on_lookup_data(request_t *request, const void *data,
				    size_t size)
{
	size_t max_bytes = collect_max_bytes(request);

	if (!request->headers_sent &&
	    request->answer.size + size <= max_bytes) {
		body_buf_append(request, &request->answer, data, size,
				max_bytes);
		if (!request->answer.overflow)
			return CLIENT_CONTINUE;
		request_give_up(request, ATTEMPT_CALLER_GONE);
		request_refuse(request, REFUSAL_MEMORY_FULL, OUTCOME_FAILED,
			       RETRY_AFTER_S, "");
		return CLIENT_CONTINUE;
	}
	if (!request->headers_sent)
		begin_stream(request);
	exchange_write(request->exchange, data, size);
	if (exchange_pending_bytes(request->exchange) < REPLY_BUFFER_HIGH_BYTES)
		return CLIENT_CONTINUE;
	request->paused = true;
	return CLIENT_PAUSE;
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	request_t *request = context;

	if (request->state != REQUEST_RUNNING)
		return CLIENT_CONTINUE;
	if (request->kind == REQUEST_LOOKUP)
		return on_lookup_data(request, data, size);
	body_buf_append(request, &request->answer, data, size,
			(size_t)request->task->settings.body_max_bytes);
	return request->answer.overflow ? CLIENT_STOP : CLIENT_CONTINUE;
}

static void complete_lookup(request_t *request)
{
	if (!request->headers_sent) {
		request_reply(request, request->status, OUTCOME_COMPLETE,
			      request->reply_headers,
			      request->reply_header_count, request->answer.data,
			      request->answer.size);
		return;
	}
	metrics_add(METRIC_REQUESTS_COMPLETE, 1);
	request->state = REQUEST_ANSWERED;
	exchange_end(request->exchange);
}

/*
 * Reports a failed attempt to the control task, which decides what follows.
 * Without a caller the request is freed. A reply whose headers were sent
 * cannot be retried, so it ends here.
 */
static void fail_attempt(request_t *request, attempt_end_t end)
{
	request_attempt_end(request, end);
	if (!request->exchange)
		request_destroy(request);
	else if (request->headers_sent)
		request_refuse(request, REFUSAL_SERVER_FAILED, OUTCOME_FAILED,
			       0, "");
}

static void complete_attempt(request_t *request)
{
	request_attempt_end(request, ATTEMPT_COMPLETE);
	if (request->kind == REQUEST_LOOKUP)
		complete_lookup(request);
	else if (!request->exchange)
		request_destroy(request);
}

static void end_refused(request_t *request)
{
	request->attempt_sent = false;
	fail_attempt(request, ATTEMPT_REFUSED);
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
		if (request_is_refusal(request, status))
			end_refused(request);
		else
			complete_attempt(request);
		break;
	case CLIENT_CONNECT_FAILED:
		request->attempt_sent = false;
		fail_attempt(request, ATTEMPT_CONNECT_FAILED);
		break;
	case CLIENT_TIMED_OUT:
		fail_attempt(request, ATTEMPT_TIMED_OUT);
		break;
	case CLIENT_BROKEN:
	case CLIENT_CANCELLED:
	case CLIENT_INVALID:
		/*
		 * The headers of a refusal are valid even if the body is cut
		 * short.
		 */
		if (request_is_refusal(request, status))
			end_refused(request);
		else
			fail_attempt(request, ATTEMPT_BROKEN);
		break;
	}
}

/* @return the URL of the call; freed by the caller of this function. */
static char *build_url(const request_t *request)
{
	size_t size =
		strlen(request->dispatch.url) + strlen(request->target) + 1;
	char *url = mem_calloc(size, 1);

	snprintf(url, size, "%s%s", request->dispatch.url, request->target);
	return url;
}

void plain_start(request_t *request)
{
	char traceparent[TRACE_PARENT_SIZE_BYTES + 16] = "traceparent: ";
	const char *headers[FORWARDED_HEADERS_MAX + 2] = { traceparent };
	char *url = build_url(request);
	client_request_t send = {
		.method = request->method,
		.url = url,
		.headers = headers,
		.body = request->body_size_bytes ? request->body : NULL,
		.body_size_bytes = request->body_size_bytes,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_timeout_ms = request->class_conf->server_idle_ms,
		.unsent_timeout_ms = request_left_ms(request),
		/*
		 * Opens a new connection, on which no answer of an earlier
		 * call can arrive.
		 */
		.at_most_once = true,
	};
	client_handler_t handler = {
		.on_header = on_header,
		.on_status = on_status,
		.on_data = on_data,
		.on_end = on_end,
		.context = request,
	};
	size_t i;

	for (i = 0; request->forwarded[i]; i++)
		headers[i + 1] = request->forwarded[i];
	trace_context_format(&request->trace,
			     traceparent + strlen(traceparent));
	clear_reply(request);
	request->attempt_sent = true;
	request->call = client_call(request->task->client, &send, &handler);
	free(url);
}

#include "process/request.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/history.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"

/*
 * Reply header of a server that refused a request before running it; a part
 * of the interface to servers (docs/design.md, 4.4).
 */
#define HEADER_NOT_RUN "X-Not-Run"

enum { HTTP_UNAVAILABLE = 503 };

request_t *request_create(request_task_t *task, exchange_t *exchange)
{
	request_t *request = mem_calloc(1, sizeof(*request));

	request->task = task;
	request->exchange = exchange;
	request->number = ++task->last_number;
	request->received_us = clock_monotonic_us();
	request->trace_start_us = clock_wall_us();
	request->phase_start_us = request->trace_start_us;
	snprintf(request->id, sizeof(request->id), "%s.%" PRIx64 ".%" PRIx64,
		 task->settings.vm_id, task->incarnation, request->number);
	stream_init(&request->stream);
	HASH_ADD(hh, task->requests, number, sizeof(request->number), request);
	return request;
}

static void free_strings(request_t *request)
{
	size_t i;

	free(request->body);
	free(request->answer.data);
	free(request->method);
	free(request->path);
	free(request->query);
	free(request->target);
	for (i = 0; request->forwarded[i]; i++)
		free(request->forwarded[i]);
	for (i = 0; i < request->reply_header_count; i++)
		free((char *)request->reply_headers[i].value);
}

void request_destroy(request_t *request)
{
	request_task_t *task = request->task;

	request_record_phase(request, "end", false);
	if (request->call)
		client_call_cancel(request->call);
	ev_timer_stop(task->loop, &request->deadline);
	HASH_DEL(task->requests, request);
	if (request->account_use)
		request->account_use->in_flight--;
	budget_release(&task->budget, request->reserved_bytes);
	completion_clear(&request->completion);
	sse_clear(&request->sse);
	document_unref(request->document);
	free_strings(request);
	free(request);
	request_task_check_idle(task);
}

void request_on_reply_header(request_t *request, const char *name,
			     const char *value)
{
	if (!strcasecmp(name, HEADER_NOT_RUN) && !strcmp(value, "1"))
		request->not_run = true;
}

bool request_is_refusal(const request_t *request, int status)
{
	return status == HTTP_UNAVAILABLE && request->not_run;
}

void request_record_phase(request_t *request, const char *name, bool failed)
{
	span_t span = { .name = name,
			.start_us = request->phase_start_us,
			.end_us = clock_wall_us(),
			.failed = failed };

	if (!request->task->settings.trace_url[0])
		return;
	request->phase_start_us = span.end_us;
	trace_context_child(&request->trace, &span.context);
	memcpy(span.parent_id, request->trace.span_id, sizeof(span.parent_id));
	snprintf(span.detail, sizeof(span.detail), "%s",
		 request->dispatch.server);
	trace_record(&span);
	if (strcmp(name, "end") != 0)
		return;
	span.name = "request";
	span.context = request->trace;
	span.start_us = request->trace_start_us;
	memcpy(span.parent_id, request->trace_parent, sizeof(span.parent_id));
	trace_record(&span);
}

/* @param attempt 0: the request has no attempt in flight */
static void send_finished(request_t *request, uint32_t attempt,
			  attempt_end_t end)
{
	task_msg_t *message =
		task_msg_create(TASK_MSG_FINISHED, request->number);
	finished_msg_t *finished = &message->as.finished;
	size_t i;

	finished->attempt = attempt;
	finished->end = end;
	finished->delivered_tokens = request->stream.next_tokens;
	finished->status = attempt ? request->status : 0;
	if (request->kind == REQUEST_ACTION && end == ATTEMPT_COMPLETE) {
		for (i = 0; i < request->reply_header_count; i++)
			if (!strcmp(request->reply_headers[i].name,
				    "Content-Type"))
				mem_strlcpy(finished->content_type,
					    request->reply_headers[i].value,
					    sizeof(finished->content_type));
		finished->answer =
			mem_copy(request->answer.data, request->answer.size);
		finished->answer_size_bytes = request->answer.size;
	}
	if (!mailbox_send(request->task->control, message))
		task_msg_destroy(message);
}

void request_stop_attempt(request_t *request)
{
	if (request->call)
		client_call_cancel(request->call);
	request->call = NULL;
	if (request->kind == REQUEST_MODEL && request->attempt_sent &&
	    request->state == REQUEST_RUNNING && !request->stream.complete)
		cancellation_add(request->task, request->dispatch.server,
				 request->dispatch.url,
				 &request->dispatch.stream_id);
}

void request_attempt_end(request_t *request, attempt_end_t end)
{
	if (end != ATTEMPT_COMPLETE) {
		log_event(EVENT_ATTEMPT_FAILED,
			  "request=%s attempt=%" PRIu32
			  " server=%s end=%d status=%" PRId32,
			  request->id, request->dispatch.stream_id.attempt,
			  request->dispatch.server, (int)end, request->status);
		metrics_add(METRIC_ATTEMPTS_FAILED, 1);
		request_stop_attempt(request);
	}
	request_record_phase(request, "stream", end != ATTEMPT_COMPLETE);
	send_finished(request, request->dispatch.stream_id.attempt, end);
	request->state = REQUEST_WAITING;
}

void request_give_up(request_t *request, attempt_end_t end)
{
	uint32_t attempt = request->state == REQUEST_RUNNING
				   ? request->dispatch.stream_id.attempt
				   : 0;

	request_stop_attempt(request);
	send_finished(request, attempt, end);
	request->state = REQUEST_ANSWERED;
}

/* @return true if the server of an action gave a whole answer */
static bool action_has_answer(const request_t *request)
{
	return request->kind == REQUEST_ACTION &&
	       request->state == REQUEST_WAITING && request->status &&
	       request->attempt_sent && !request->answer.overflow;
}

/* Replies with the server's answer, with all headers that are forwarded. */
static void reply_server_answer(request_t *request)
{
	request_reply(request, request->status, OUTCOME_COMPLETE,
		      request->reply_headers, request->reply_header_count,
		      request->answer.data, request->answer.size);
}

void request_end(request_t *request, attempt_end_t end, refusal_t refusal,
		 const char *message)
{
	bool done = action_has_answer(request);

	switch (request->state) {
	case REQUEST_ANSWERED:
		return;
	case REQUEST_RECEIVING:
		break;
	case REQUEST_WAITING:
	case REQUEST_RUNNING:
		request_give_up(request, end);
		break;
	}
	if (done)
		reply_server_answer(request);
	else
		request_refuse(request, refusal, OUTCOME_NOT_RUN, RETRY_AFTER_S,
			       message);
}

int64_t request_left_ms(const request_t *request)
{
	int64_t left_us = request->deadline_us - clock_monotonic_us();

	return left_us > US_PER_MS ? left_us / US_PER_MS : 1;
}

static void on_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
	request_t *request = timer->data;

	if (request->state == REQUEST_ANSWERED && request->exchange)
		exchange_abort(request->exchange);
	else
		request_end(request, ATTEMPT_DEADLINE, REFUSAL_DEADLINE, "");
}

void request_set_deadline(request_t *request)
{
	/*
	 * The answer must have reached the caller by the deadline, so the
	 * timer ends earlier: a tenth of the time limit, at most 20 ms, is
	 * left for sending the answer.
	 */
	int64_t limit_us = request->class_conf->deadline_ms * US_PER_MS;
	int64_t margin_us = limit_us / 10 < 20 * US_PER_MS ? limit_us / 10
							   : 20 * US_PER_MS;
	int64_t left_us;

	request->deadline_us = request->received_us + limit_us - margin_us;
	left_us = request->deadline_us - clock_monotonic_us();
	ev_now_update(request->task->loop);
	ev_timer_init(&request->deadline, on_deadline,
		      left_us > 0 ? (double)left_us / US_PER_S : 0, 0);
	request->deadline.data = request;
	ev_timer_start(request->task->loop, &request->deadline);
}

void request_on_body(void *user, const void *data, size_t size)
{
	request_t *request = user;
	size_t free_bytes =
		request->body_expected_bytes - request->body_size_bytes;

	size = size < free_bytes ? size : free_bytes;
	memcpy(request->body + request->body_size_bytes, data, size);
	request->body_size_bytes += size;
}

void request_on_complete(void *user)
{
	request_t *request = user;

	request_record_phase(request, "accept", false);
	if (exchange_has_reply_room(request->exchange)) {
		request_admit(request);
		return;
	}
	metrics_add(METRIC_HEADERS_REFUSED, 1);
	request_refuse(request, REFUSAL_MEMORY_FULL, OUTCOME_NOT_RUN,
		       RETRY_AFTER_S,
		       "requests ahead of their answers fill the connection");
}

void request_on_drained(void *user)
{
	request_t *request = user;

	if (!request->paused || !request->call)
		return;
	request->paused = false;
	client_call_resume(request->call);
}

void request_on_close(void *user, bool sent)
{
	request_t *request = user;

	if (!request)
		return;
	request->exchange = NULL;
	switch (request->state) {
	case REQUEST_RECEIVING:
	case REQUEST_ANSWERED:
		break;
	case REQUEST_RUNNING:
		/*
		 * An action that may have run is not retried. It runs on, so
		 * that the control task can record its outcome.
		 */
		if (request->kind == REQUEST_ACTION)
			return;
		/* fall through */
	case REQUEST_WAITING:
		metrics_add(METRIC_CALLERS_GONE, 1);
		log_event(EVENT_CALLER_GONE, "request=%s", request->id);
		history_event("end", "request=%s outcome=%s", request->id,
			      "none");
		if (!action_has_answer(request))
			request_give_up(request, ATTEMPT_CALLER_GONE);
		break;
	}
	request_destroy(request);
}

void request_on_dispatch(request_t *request, const dispatch_msg_t *dispatch)
{
	request_record_phase(request,
			     dispatch->stream_id.attempt > 1 ? "retry"
							     : "credit wait",
			     false);
	if (dispatch->stream_id.attempt > 1)
		metrics_add(METRIC_ATTEMPTS_REPEATED, 1);
	request->earlier_sent |= request->attempt_sent;
	request->attempt_sent = false;
	request->dispatch = *dispatch;
	request->state = REQUEST_RUNNING;
	request->status = 0;
	request->not_run = false;
	request->resuming = false;
	request->paused = false;
	request->resumes = 0;
	if (clock_monotonic_us() >= request->deadline_us) {
		request_give_up(request, ATTEMPT_DEADLINE);
		request_refuse(request, REFUSAL_DEADLINE, OUTCOME_NOT_RUN,
			       RETRY_AFTER_S, "");
		return;
	}
	history_event("dispatch", "request=%s attempt=%" PRIu32 " server=%s",
		      request->id, dispatch->stream_id.attempt,
		      dispatch->server);
	switch (request->kind) {
	case REQUEST_MODEL:
		model_start(request);
		break;
	case REQUEST_LOOKUP:
	case REQUEST_ACTION:
		plain_start(request);
		break;
	}
}

void request_on_refuse(request_t *request, const refuse_msg_t *refuse)
{
	if (request->state == REQUEST_ANSWERED)
		return;
	if (request->state == REQUEST_RUNNING)
		request_stop_attempt(request);
	request_refuse(request, refuse->refusal, refuse->outcome,
		       refuse->retry_after_s, refuse->message);
}

void request_on_answer(request_t *request, answer_msg_t *answer)
{
	reply_header_t type = { "Content-Type", answer->content_type };

	if (request->state != REQUEST_WAITING)
		return;
	/*
	 * The control task's record has only the content type; the answer in
	 * this request has all of the server's headers.
	 */
	if (action_has_answer(request) && answer->outcome == OUTCOME_COMPLETE) {
		reply_server_answer(request);
		return;
	}
	request_reply(request, answer->status, answer->outcome, &type,
		      answer->content_type[0] ? 1 : 0, answer->answer,
		      answer->answer_size_bytes);
}

void request_check_stall(request_t *request, int64_t now_us)
{
	exchange_t *exchange = request->exchange;

	if (!exchange || !request->headers_sent ||
	    !exchange_pending_bytes(exchange) ||
	    now_us - exchange_progress_us(exchange) <
		    request->class_conf->stall_ms * US_PER_MS)
		return;
	metrics_add(METRIC_CALLERS_STALLED, 1);
	log_event(EVENT_CALLER_STALLED, "request=%s", request->id);
	if (request->state != REQUEST_ANSWERED) {
		history_event("end", "request=%s outcome=%s", request->id,
			      "failed");
		request_give_up(request, ATTEMPT_CALLER_GONE);
	}
	exchange_abort(exchange);
}

void body_buf_clear(body_buf_t *buf)
{
	buf->size = 0;
	buf->overflow = false;
}

void body_buf_append(request_t *request, body_buf_t *buf, const void *data,
		     size_t size, size_t limit_bytes)
{
	size_t needed = buf->size + size, capacity = buf->capacity;

	if (buf->overflow)
		return;
	while (capacity <= needed)
		capacity = capacity ? capacity * 2 : 1024;
	if (needed > limit_bytes ||
	    !budget_reserve_answer(&request->task->budget,
				   (int64_t)(capacity - buf->capacity))) {
		buf->overflow = true;
		free(buf->data);
		buf->data = NULL;
		buf->size = 0;
		budget_release(&request->task->budget, (int64_t)buf->capacity);
		request->reserved_bytes -= (int64_t)buf->capacity;
		buf->capacity = 0;
		return;
	}
	request->reserved_bytes += (int64_t)(capacity - buf->capacity);
	if (capacity != buf->capacity)
		buf->data = mem_realloc(buf->data, capacity, 1);
	buf->capacity = capacity;
	memcpy(buf->data + buf->size, data, size);
	buf->size = needed;
	buf->data[needed] = '\0';
}

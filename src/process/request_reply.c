#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/history.h"
#include "base/log.h"
#include "base/metrics.h"
#include "process/request.h"

enum {
	REPLY_HEADERS_MAX = FORWARDED_HEADERS_MAX + 4,
	/*
	 * A larger whole reply is streamed, so that a caller that stops
	 * reading is detected.
	 */
	WHOLE_REPLY_MAX_BYTES = 16 * 1024
};

static const char json_content_type[] = "application/json";

/* @return the text for the caller. A message may quote text that is not UTF-8,
 * which JSON cannot hold. */
static json_t *message_json(refusal_t refusal, const char *message)
{
	json_t *text = message && *message ? json_string(message) : NULL;

	return text ? text : json_string(refusal_message(refusal));
}

/* @return a JSON text; freed by the caller of this function. */
static char *error_body(refusal_t refusal, const char *message)
{
	json_t *json = json_pack("{s:{s:s,s:o}}", "error", "code",
				 refusal_code(refusal), "message",
				 message_json(refusal, message));
	char *body = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return body;
}

static void send_refusal(exchange_t *exchange, const char *id,
			 refusal_t refusal, outcome_t outcome,
			 int32_t retry_after_s, const char *message)
{
	char retry_after[16];
	char *body = error_body(refusal, message);
	reply_header_t headers[] = {
		{ "Content-Type", json_content_type },
		{ "Chivestage-Request-Id", id },
		{ "Chivestage-Outcome", outcome_text(outcome) },
		{ "Retry-After", retry_after },
	};

	snprintf(retry_after, sizeof(retry_after), "%" PRId32, retry_after_s);
	exchange_reply(exchange, refusal_status(refusal), headers,
		       retry_after_s > 0 ? 4 : 3, body, strlen(body));
	free(body);
}

/* Counts a final answer in the metric of its outcome. */
static void count_outcome(outcome_t outcome)
{
	static const metric_t metrics[] = {
		[OUTCOME_COMPLETE] = METRIC_REQUESTS_COMPLETE,
		[OUTCOME_NOT_RUN] = METRIC_REQUESTS_REFUSED,
		[OUTCOME_FAILED] = METRIC_REQUESTS_FAILED,
		[OUTCOME_UNKNOWN] = METRIC_REQUESTS_UNKNOWN,
	};

	metrics_add(metrics[outcome], 1);
}

int32_t refusal_retry_after_s(refusal_t refusal)
{
	switch (refusal_status(refusal)) {
	case 429:
	case 503:
	case 504:
		return RETRY_AFTER_S;
	default:
		return 0; /* the same request would be refused again */
	}
}

void exchange_refuse(const request_task_t *task, exchange_t *exchange,
		     const char *id, refusal_t refusal, const char *message)
{
	count_outcome(OUTCOME_NOT_RUN);
	history_event("refuse", "request=%s outcome=%s code=%s", id,
		      outcome_text(OUTCOME_NOT_RUN), refusal_code(refusal));
	send_refusal(exchange, id, refusal, OUTCOME_NOT_RUN,
		     refusal_retry_after_s(refusal), message);
}

/*
 * @return the outcome that may be reported to the caller. `not-run` stays only
 * if no server may have run the request; it becomes `failed` if a part of the
 * answer was delivered, and `unknown` otherwise.
 */
static outcome_t provable_outcome(const request_t *request, outcome_t outcome)
{
	if (outcome != OUTCOME_NOT_RUN ||
	    !(request->earlier_sent || request->attempt_sent))
		return outcome;
	return request->stream.next_tokens ? OUTCOME_FAILED : OUTCOME_UNKNOWN;
}

/* Ends a stream with a last event that names the outcome and the failure. */
static void send_last_event(request_t *request, refusal_t refusal,
			    outcome_t outcome, const char *message)
{
	static const char begin[] = "event: chivestage\ndata: ";
	json_t *json = json_pack("{s:s,s:s,s:o}", "outcome",
				 outcome_text(outcome), "code",
				 refusal_code(refusal), "message",
				 message_json(refusal, message));
	char *data = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	exchange_write(request->exchange, begin, sizeof(begin) - 1);
	exchange_write(request->exchange, data, strlen(data));
	exchange_write(request->exchange, "\n\n", 2);
	free(data);
	exchange_end(request->exchange);
}

void request_refuse(request_t *request, refusal_t refusal, outcome_t outcome,
		    int32_t retry_after_s, const char *message)
{
	outcome = provable_outcome(request, outcome);
	count_outcome(outcome);
	if (request->admitted)
		log_event(EVENT_REQUEST_REFUSED,
			  "request=%s code=%s outcome=%s", request->id,
			  refusal_code(refusal), outcome_text(outcome));
	history_event("refuse", "request=%s outcome=%s code=%s", request->id,
		      outcome_text(outcome), refusal_code(refusal));
	history_event("end", "request=%s outcome=%s", request->id,
		      outcome_text(outcome));
	request->state = REQUEST_ANSWERED;
	if (!request->exchange)
		request_destroy(request);
	else if (!request->headers_sent)
		send_refusal(request->exchange, request->id, refusal, outcome,
			     retry_after_s, message);
	else if (request->kind == REQUEST_MODEL)
		send_last_event(request, refusal, outcome, message);
	else
		exchange_abort(request->exchange);
}

/*
 * Copies @p headers to @p all and adds those that every reply has.
 * @param outcome NULL: not known yet, no header
 * @return the number of headers in @p all
 */
static size_t add_headers(const request_t *request, const outcome_t *outcome,
			  const reply_header_t *headers, size_t count,
			  reply_header_t all[REPLY_HEADERS_MAX])
{
	memcpy(all, headers, count * sizeof(*headers));
	all[count++] = (reply_header_t){ "Chivestage-Request-Id", request->id };
	if (outcome)
		all[count++] = (reply_header_t){ "Chivestage-Outcome",
						 outcome_text(*outcome) };
	return count;
}

void request_begin_stream(request_t *request, int status,
			  const reply_header_t *headers, size_t header_count)
{
	reply_header_t all[REPLY_HEADERS_MAX];
	size_t total = add_headers(request, NULL, headers, header_count, all);

	request->headers_sent = true;
	exchange_stream(request->exchange, status, all, total);
}

void request_reply(request_t *request, int status, outcome_t outcome,
		   const reply_header_t *headers, size_t header_count,
		   const void *body, size_t size)
{
	reply_header_t all[REPLY_HEADERS_MAX];
	size_t total =
		add_headers(request, &outcome, headers, header_count, all);

	count_outcome(outcome);
	history_event("end", "request=%s outcome=%s", request->id,
		      outcome_text(outcome));
	request->state = REQUEST_ANSWERED;
	if (!request->exchange) {
		request_destroy(request);
	} else if (size <= WHOLE_REPLY_MAX_BYTES) {
		exchange_reply(request->exchange, status, all, total, body,
			       size);
	} else {
		request->headers_sent = true;
		exchange_stream(request->exchange, status, all, total);
		exchange_write(request->exchange, body, size);
		exchange_end(request->exchange);
	}
}

/* Answers a caller that did not request a stream. */
static void reply_collected(request_t *request)
{
	const completion_t *completion = &request->completion;
	json_int_t created_s = clock_wall_us() / US_PER_S;
	json_int_t prompt_tokens = completion->prompt_tokens;
	json_int_t answer_tokens = request->stream.next_tokens;
	json_t *text =
		json_stringn(request->answer.data ? request->answer.data : "",
			     request->answer.size);
	const char *reason = request->finish_reason[0] ? request->finish_reason
						       : "stop";
	json_t *choice, *json;
	char *body;

	if (request->chat)
		choice = json_pack("{s:i,s:{s:s,s:o},s:s}", "index", 0,
				   "message", "role", "assistant", "content",
				   text, "finish_reason", reason);
	else
		choice = json_pack("{s:i,s:o,s:s}", "index", 0, "text", text,
				   "finish_reason", reason);
	json = json_pack("{s:s,s:s,s:I,s:s,s:[o],s:{s:I,s:I,s:I}}", "id",
			 request->id, "object",
			 request->chat ? "chat.completion" : "text_completion",
			 "created", created_s, "model", completion->model,
			 "choices", choice, "usage", "prompt_tokens",
			 prompt_tokens, "completion_tokens", answer_tokens,
			 "total_tokens", prompt_tokens + answer_tokens);
	body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	request_reply(request, 200, OUTCOME_COMPLETE,
		      &(reply_header_t){ "Content-Type", json_content_type }, 1,
		      body, strlen(body));
	free(body);
}

void request_complete_model(request_t *request)
{
	static const char end_marker[] = "data: [DONE]\n\n";

	if (!request->completion.stream) {
		if (request->answer.overflow)
			request_refuse(request, REFUSAL_MEMORY_FULL,
				       OUTCOME_FAILED, RETRY_AFTER_S, "");
		else
			reply_collected(request);
		return;
	}
	count_outcome(OUTCOME_COMPLETE);
	history_event("end", "request=%s outcome=%s", request->id,
		      outcome_text(OUTCOME_COMPLETE));
	request->state = REQUEST_ANSWERED;
	exchange_write(request->exchange, end_marker, sizeof(end_marker) - 1);
	exchange_end(request->exchange);
}

void reply_models(request_task_t *task, exchange_t *exchange, const char *id,
		  const account_conf_t *account)
{
	reply_header_t headers[] = {
		{ "Content-Type", json_content_type },
		{ "Chivestage-Request-Id", id },
		{ "Chivestage-Outcome", outcome_text(OUTCOME_COMPLETE) },
	};
	json_t *list = json_array(), *json;
	char *body;
	size_t i;

	for (i = 0; i < document_service_count(task->document); i++) {
		const service_conf_t *service =
			document_service_at(task->document, i);

		if (service->kind == SERVICE_MODEL &&
		    document_account_may_use_service(account, service->name))
			json_array_append_new(list,
					      json_pack("{s:s,s:s,s:s}", "id",
							service->name, "object",
							"model", "owned_by",
							"chivestage"));
	}
	json = json_pack("{s:s,s:o}", "object", "list", "data", list);
	body = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	count_outcome(OUTCOME_COMPLETE);
	exchange_reply(exchange, 200, headers, 3, body, strlen(body));
	free(body);
}

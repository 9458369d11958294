#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/history.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/request.h"
#include "request/content_id.h"

/* Headers of callers that are forwarded to plain services. */
static const char *const forwarded_headers[] = { "Content-Type", "Accept",
						 "Accept-Language",
						 "User-Agent",
						 "Idempotency-Key" };

/* @param err the code is a refusal_t */
static void refuse_err(request_t *request, const err_t *err)
{
	refusal_t refusal = (refusal_t)err->code;

	request_refuse(request, refusal, OUTCOME_NOT_RUN,
		       refusal_retry_after_s(refusal), err->message);
}

static void read_trace(request_t *request)
{
	const char *header = exchange_header(request->exchange, "traceparent");
	trace_context_t parent;

	if (header && trace_context_parse(header, &parent)) {
		trace_context_child(&parent, &request->trace);
		memcpy(request->trace_parent, parent.span_id,
		       sizeof(request->trace_parent));
	} else {
		trace_context_new(&request->trace);
	}
}

/* @return the account of the caller's key, or NULL if it is unknown. */
static const account_conf_t *authenticate(const document_t *document,
					  exchange_t *exchange)
{
	uint8_t hash[KEY_HASH_SIZE_BYTES];
	const char *key =
		parse_bearer(exchange_header(exchange, "Authorization"));

	if (!key)
		return NULL;
	document_hash_key(key, hash);
	return document_account_by_key(document, hash);
}

/*
 * Counts the request as in flight.
 * @return false if the account has max_in_flight requests already
 */
static bool take_account_slot(request_t *request)
{
	request_task_t *task = request->task;
	const account_conf_t *account = request->account;
	/*
	 * The limit holds for the node. Each task counts only its own requests,
	 * and enforces an equal fraction of the limit, rounded up.
	 */
	int32_t tasks = task->settings.request_tasks;
	int32_t task_limit = (account->max_in_flight + tasks - 1) / tasks;
	account_use_t *account_use;

	HASH_FIND_STR(task->accounts, account->name, account_use);
	if (!account_use) {
		account_use = mem_calloc(1, sizeof(*account_use));
		mem_strlcpy(account_use->name, account->name,
			    sizeof(account_use->name));
		HASH_ADD_STR(task->accounts, name, account_use);
	}
	if (account->max_in_flight && account_use->in_flight >= task_limit)
		return false;
	account_use->in_flight++;
	request->account_use = account_use;
	return true;
}

/* Reserves memory for the body and the reply before the body is received. */
static bool reserve_memory(request_t *request, err_t *err)
{
	request_task_t *task = request->task;
	int64_t body_bytes = exchange_body_bytes(request->exchange);
	/*
	 * A model request holds the body of its prompt, the parsed form and
	 * the text for engines; later that text and the copy that is being
	 * sent. A plain request holds the body and the copy being sent.
	 */
	int64_t copies = request->kind == REQUEST_MODEL ? 3 : 2;
	int64_t needed_bytes = REQUEST_RESERVE_BYTES + body_bytes * copies;

	if (!parse_body_size(body_bytes, task->settings.body_max_bytes, err))
		return false;
	if (!budget_reserve(&task->budget, needed_bytes)) {
		metrics_add(METRIC_MEMORY_REFUSED, 1);
		return err_set(err, ERR_LAYER_REQUEST, REFUSAL_MEMORY_FULL,
			       "%s", refusal_message(REFUSAL_MEMORY_FULL));
	}
	request->reserved_bytes = needed_bytes;
	request->body_expected_bytes = (size_t)body_bytes;
	request->body = mem_calloc(request->body_expected_bytes + 1, 1);
	return true;
}

/* Looks up service and class, and checks that the account may use them. */
static bool set_service(request_t *request, const char *name, err_t *err)
{
	const service_conf_t *service =
		document_service(request->document, name);
	service_kind_t kind = request->kind == REQUEST_MODEL ? SERVICE_MODEL
							     : SERVICE_PLAIN;

	if (!service || service->kind != kind)
		return err_set(err, ERR_LAYER_REQUEST, REFUSAL_NOT_FOUND,
			       "no %s %.64s",
			       kind == SERVICE_MODEL ? "model" : "service",
			       name);
	if (!document_account_may_use_service(request->account, name))
		return err_set(err, ERR_LAYER_REQUEST, REFUSAL_FORBIDDEN,
			       "the account may not use this service");
	request->service = service;
	request->class_conf = parse_class(
		request->document, request->account, service,
		request->class_header[0] ? request->class_header : NULL, err);
	return request->class_conf;
}

/* Adds a header to forward; skips a NULL, or a line of 1024 bytes or more. */
static void forward_header(request_t *request, const char *name,
			   const char *value)
{
	char text[1024];
	size_t i = 0;

	while (request->forwarded[i])
		i++;
	if (i < FORWARDED_HEADERS_MAX && value &&
	    (size_t)snprintf(text, sizeof(text), "%s: %s", name, value) <
		    sizeof(text))
		request->forwarded[i] = mem_strdup(text);
}

static bool prepare_plain(request_t *request, const endpoint_t *endpoint,
			  err_t *err)
{
	exchange_t *exchange = request->exchange;
	size_t i;

	request->kind = REQUEST_LOOKUP;
	if (!set_service(request, endpoint->service, err))
		return false;
	if (!request->service->repeatable)
		request->kind = REQUEST_ACTION;
	if (!parse_idempotency_key(exchange_header(exchange, "Idempotency-Key"),
				   request->kind == REQUEST_ACTION,
				   request->key, err))
		return false;
	request->method = mem_strdup(exchange_method(exchange));
	request->path = mem_strdup(endpoint->rest);
	request->query = mem_strdup(exchange_query(exchange));
	request->target =
		mem_strdup(exchange_target(exchange) +
			   (endpoint->rest - exchange_path(exchange)));
	for (i = 0;
	     i < sizeof(forwarded_headers) / sizeof(forwarded_headers[0]); i++)
		forward_header(request, forwarded_headers[i],
			       exchange_header(exchange, forwarded_headers[i]));
	request_set_deadline(request);
	return true;
}

/* Sets kind and class, counts the request and reserves its memory. */
static bool prepare(request_t *request, const endpoint_t *endpoint, err_t *err)
{
	const char *class_header =
		exchange_header(request->exchange, "Chivestage-Class");

	if (class_header &&
	    mem_strlcpy(request->class_header, class_header, NAME_SIZE_BYTES))
		return err_set(err, ERR_LAYER_REQUEST, REFUSAL_FORBIDDEN,
			       "the account may not use this class");
	request->chat = endpoint->type == ENDPOINT_CHAT;
	request->kind = REQUEST_MODEL;
	if (endpoint->type == ENDPOINT_SERVICE &&
	    !prepare_plain(request, endpoint, err))
		return false;
	if (!take_account_slot(request))
		return err_set(err, ERR_LAYER_REQUEST, REFUSAL_RATE_LIMITED,
			       "the account has too many requests in flight");
	return reserve_memory(request, err);
}

/*
 * Checks path, readiness and key, and refuses the exchange if one is wrong.
 * @return the account of the caller, or NULL after a refusal
 */
static const account_conf_t *check_headers(request_task_t *task,
					   exchange_t *exchange, const char *id,
					   endpoint_t *endpoint)
{
	const account_conf_t *account;
	err_t err = { 0 };

	if (!parse_endpoint(exchange_method(exchange), exchange_path(exchange),
			    endpoint, &err)) {
		exchange_refuse(task, exchange, id, (refusal_t)err.code,
				err.message);
		return NULL;
	}
	if (!task->document || task->draining) {
		exchange_refuse(task, exchange, id, REFUSAL_NOT_READY,
				task->draining ? "the node is shutting down"
					       : "");
		return NULL;
	}
	account = authenticate(task->document, exchange);
	if (!account)
		exchange_refuse(task, exchange, id, REFUSAL_UNAUTHORIZED, "");
	return account;
}

void *request_on_request(void *context, exchange_t *exchange)
{
	request_task_t *task = context;
	request_t *request = request_create(task, exchange);
	endpoint_t endpoint;
	err_t err = { 0 };

	metrics_add(METRIC_REQUESTS, 1);
	read_trace(request);
	request->account =
		check_headers(task, exchange, request->id, &endpoint);
	if (!request->account) {
		request_destroy(request);
		return NULL;
	}
	request->document = document_ref(task->document);
	if (endpoint.type == ENDPOINT_MODELS) {
		reply_models(task, exchange, request->id, request->account);
		request_destroy(request);
		return NULL;
	}
	if (!prepare(request, &endpoint, &err))
		refuse_err(request, &err);
	return request;
}

static uint64_t plain_content(const request_t *request)
{
	size_t size =
		strlen(request->service->name) + strlen(request->path) + 2;
	char *path = mem_calloc(size, 1);
	uint64_t content;

	snprintf(path, size, "%s/%s", request->service->name, request->path);
	content = content_id(request->account->name, request->method, path,
			     request->query, request->body,
			     request->body_size_bytes);
	free(path);
	return content;
}

static void admit_plain(request_t *request, submit_msg_t *submit)
{
	submit->content = plain_content(request);
	if (request->kind != REQUEST_ACTION)
		return;
	mem_strlcpy(submit->key, request->key, sizeof(submit->key));
	parse_request_hash(request->method, request->path, request->query,
			   request->body, request->body_size_bytes,
			   submit->request_hash);
}

static void fill_submit(const request_t *request, submit_msg_t *submit)
{
	submit->kind = request->kind;
	submit->task = request->task->index;
	submit->received_us = request->received_us;
	submit->deadline_us = request->deadline_us;
	mem_strlcpy(submit->service, request->service->name, NAME_SIZE_BYTES);
	mem_strlcpy(submit->account, request->account->name, NAME_SIZE_BYTES);
	mem_strlcpy(submit->class_name, request->class_conf->name,
		    NAME_SIZE_BYTES);
}

/* Submits the request to the control task; takes over @p message. */
static void submit(request_t *request, task_msg_t *message)
{
	static const char *const kinds[] = { "model", "lookup", "action" };

	fill_submit(request, &message->as.submit);
	request_record_phase(request, "admit", false);
	request->state = REQUEST_WAITING;
	request->admitted = true;
	history_event("admit", "request=%s kind=%s deadline_us=%" PRId64,
		      request->id, kinds[request->kind], request->deadline_us);
	if (!mailbox_send(request->task->control, message))
		task_msg_destroy(message);
}

void request_on_parsed(request_t *request, body_job_t *job)
{
	completion_t *completion = &request->completion;
	int64_t body_bytes = (int64_t)job->size_bytes;
	task_msg_t *message;

	if (request->state != REQUEST_RECEIVING)
		return;
	if (!job->valid ||
	    !set_service(request, job->completion.model, &job->err)) {
		refuse_err(request, &job->err);
		return;
	}
	budget_release(&request->task->budget, body_bytes);
	request->reserved_bytes -= body_bytes;
	*completion = job->completion;
	job->completion.fields = NULL;
	job->completion.blocks = NULL;
	request_set_deadline(request);
	message = task_msg_create(TASK_MSG_SUBMIT, request->number);
	message->as.submit.content = job->content;
	message->as.submit.prompt_tokens = completion->prompt_tokens;
	message->as.submit.max_tokens = completion->max_tokens;
	message->as.submit.blocks = completion->blocks;
	message->as.submit.block_count = completion->block_count;
	completion->blocks = NULL;
	submit(request, message);
}

/* Parses the body here or, if it is large, in the body worker. */
static void parse_model(request_t *request)
{
	body_job_t *job = mem_calloc(1, sizeof(*job));

	job->request = request->number;
	job->body = request->body;
	job->size_bytes = request->body_size_bytes;
	job->chat = request->chat;
	mem_strlcpy(job->salt, request->account->name, sizeof(job->salt));
	request->body = NULL;
	if (job->size_bytes > INLINE_BODY_MAX_BYTES) {
		body_worker_push(request->task->worker, job);
		return;
	}
	body_job_run(job);
	request_on_parsed(request, job);
	body_job_destroy(job);
}

void request_admit(request_t *request)
{
	task_msg_t *message;

	if (request->kind == REQUEST_MODEL) {
		parse_model(request);
		return;
	}
	message = task_msg_create(TASK_MSG_SUBMIT, request->number);
	admit_plain(request, &message->as.submit);
	submit(request, message);
}

#include "lib/fixture.h"

#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "cases.h"

/* Longest wait for a message or a call. */
enum { WAIT_MS = 2000 };

/* API key of the account in the configuration. */
static const char key[] = "secret";

static void push_dispatch(fixture_t *fixture, uint64_t request,
			  uint32_t attempt)
{
	task_msg_t *message = task_msg_create(TASK_MSG_DISPATCH, request);
	dispatch_msg_t *dispatch = &message->as.dispatch;

	mem_strlcpy(dispatch->stream_id.vm_id, "vm", NAME_SIZE_BYTES);
	dispatch->stream_id.incarnation = 7;
	dispatch->stream_id.request = request;
	dispatch->stream_id.attempt = attempt;
	mem_strlcpy(dispatch->server, "s1", NAME_SIZE_BYTES);
	mem_strlcpy(dispatch->url,
		    fixture->dispatch_url ? fixture->dispatch_url
					  : fixture->server_url,
		    URL_SIZE_BYTES);
	dispatch->deadline_us = clock_monotonic_us() + 5 * US_PER_S;
	fixture_send(fixture, message);
}

static void push_refuse(fixture_t *fixture, uint64_t request)
{
	task_msg_t *message = task_msg_create(TASK_MSG_REFUSE, request);

	message->as.refuse = fixture->refusal;
	fixture_send(fixture, message);
}

static void push_answer(fixture_t *fixture, const task_msg_t *finished)
{
	task_msg_t *message =
		task_msg_create(TASK_MSG_ANSWER, finished->request);
	answer_msg_t *answer = &message->as.answer;

	answer->status = finished->as.finished.status;
	answer->outcome = OUTCOME_COMPLETE;
	answer->answer_size_bytes = finished->as.finished.answer_size_bytes;
	answer->answer = mem_copy(finished->as.finished.answer,
				  answer->answer_size_bytes);
	mem_strlcpy(answer->content_type, finished->as.finished.content_type,
		    NAME_SIZE_BYTES);
	fixture_send(fixture, message);
}

/* Acts as the control task: dispatches the next attempt, or refuses. */
static void on_finished(fixture_t *fixture, const task_msg_t *message)
{
	const finished_msg_t *finished = &message->as.finished;

	if (finished->end == ATTEMPT_COMPLETE) {
		if (fixture->answer_actions)
			push_answer(fixture, message);
		return;
	}
	if (finished->end == ATTEMPT_CALLER_GONE ||
	    finished->end == ATTEMPT_DEADLINE)
		return;
	if (finished->attempt < fixture->attempts_max)
		push_dispatch(fixture, message->request, finished->attempt + 1);
	else
		push_refuse(fixture, message->request);
}

static void on_message(void *context, void *received)
{
	fixture_t *fixture = context;
	task_msg_t *message = received;

	assert_true(fixture->message_count < FIXTURE_MESSAGES_MAX);
	fixture->messages[fixture->message_count++] = message;
	if (message->type == TASK_MSG_SUBMIT && fixture->attempts_max)
		push_dispatch(fixture, message->request, 1);
	if (message->type == TASK_MSG_FINISHED)
		on_finished(fixture, message);
}

static void *on_server_request(void *context, exchange_t *exchange)
{
	fixture_t *fixture = context;
	server_call_t *call;

	assert_true(fixture->call_count < FIXTURE_CALLS_MAX);
	call = &fixture->calls[fixture->call_count++];
	call->fixture = fixture;
	call->exchange = exchange;
	call->method = mem_strdup(exchange_method(exchange));
	call->target = mem_strdup(exchange_target(exchange));
	call->path = mem_strdup(exchange_path(exchange));
	call->query = mem_strdup(exchange_query(exchange));
	call->body = mem_calloc(1, 1);
	return call;
}

static void on_server_body(void *user, const void *data, size_t size)
{
	server_call_t *call = user;

	call->body = mem_realloc(call->body, call->size + size + 1, 1);
	memcpy(call->body + call->size, data, size);
	call->size += size;
	call->body[call->size] = '\0';
}

static void on_server_complete(void *user)
{
	server_call_t *call = user;
	fixture_t *fixture = call->fixture;

	if (!strcmp(call->method, "DELETE")) {
		exchange_reply(call->exchange, 200, NULL, 0, "{}", 2);
		return;
	}
	if (fixture->serve)
		fixture->serve(call, (size_t)(call - fixture->calls));
}

static void on_server_drained(void *user)
{
	server_call_t *call = user;

	if (call->fixture->serve_more)
		call->fixture->serve_more(call);
}

static void on_server_close(void *user, bool sent)
{
	server_call_t *call = user;

	call->closed = true;
	call->exchange = NULL;
}

/* Builds the configuration of a test. Its services are chat, hidden (not
 * permitted for the account), status, and orders (runs actions). */
static document_t *build_document(const fixture_conf_t *conf)
{
	uint8_t hash[KEY_HASH_SIZE_BYTES];
	char hex[2 * KEY_HASH_SIZE_BYTES + 1], text[2048];
	err_t err = { 0 };
	document_t *document;

	document_hash_key(key, hash);
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	snprintf(text, sizeof(text),
		 "{\"version\":1,\"data_centres\":[{\"name\":\"a\"}],"
		 "\"classes\":[{\"name\":\"quick\",\"deadline_ms\":%d,"
		 "\"stall_ms\":%d,\"server_idle_ms\":%d},"
		 "{\"name\":\"bulk\",\"deadline_ms\":9000}],"
		 "\"servers\":[{\"name\":\"s1\",\"data_centre\":\"a\","
		 "\"kind\":\"engine\",\"url\":\"http://127.0.0.1:1\","
		 "\"kv_tokens\":1000,\"model\":\"m\"},"
		 "{\"name\":\"p1\",\"data_centre\":\"a\",\"kind\":\"plain\","
		 "\"url\":\"http://127.0.0.1:1\"}],"
		 "\"services\":[{\"name\":\"chat\",\"kind\":\"model\","
		 "\"model\":\"m\",\"class\":\"quick\"},"
		 "{\"name\":\"hidden\",\"kind\":\"model\",\"model\":\"m\","
		 "\"class\":\"quick\"},"
		 "{\"name\":\"status\",\"kind\":\"plain\",\"class\":\"quick\","
		 "\"servers\":[\"p1\"]},"
		 "{\"name\":\"orders\",\"kind\":\"plain\",\"class\":\"quick\","
		 "\"repeatable\":false,\"servers\":[\"p1\"]}],"
		 "\"accounts\":[{\"name\":\"acme\",\"key_hash\":\"%s\","
		 "\"max_in_flight\":%d,\"classes\":[\"quick\"],"
		 "\"services\":[\"chat\",\"status\",\"orders\"]}]}",
		 conf->deadline_ms ? conf->deadline_ms : 5000,
		 conf->stall_ms ? conf->stall_ms : 5000,
		 conf->idle_ms ? conf->idle_ms : 5000, hex,
		 conf->max_in_flight);
	document = document_parse(text, strlen(text), &err);
	assert_string_equal(err.message, "");
	return document;
}

static void start_server(fixture_t *fixture)
{
	listener_conf_t conf = { .address = "127.0.0.1:0",
				 .connections_max = 2000 };
	listener_handler_t handler = {
		.on_request = on_server_request,
		.on_body = on_server_body,
		.on_complete = on_server_complete,
		.on_drained = on_server_drained,
		.on_close = on_server_close,
		.context = fixture,
	};
	err_t err = { 0 };

	fixture->server = listener_create(fixture->loop, &conf, &handler, &err);
	assert_string_equal(err.message, "");
	snprintf(fixture->server_url, sizeof(fixture->server_url),
		 "http://127.0.0.1:%u", listener_port(fixture->server));
}

static void start_task(fixture_t *fixture, const fixture_conf_t *conf)
{
	settings_t settings = {
		.vm_id = "vm",
		.caller_address = "127.0.0.1:0",
		.request_tasks = 1,
		.memory_budget_bytes = conf->memory_bytes ? conf->memory_bytes
							  : 64 * 1024 * 1024,
		.body_max_bytes = conf->body_max_bytes ? conf->body_max_bytes
						       : 1024 * 1024,
	};
	err_t err = { 0 };

	if (conf->traced)
		mem_strlcpy(settings.trace_url, "http://127.0.0.1:1",
			    sizeof(settings.trace_url));
	fixture->task = request_task_create(&settings, 0, fixture->zmq, &err);
	assert_string_equal(err.message, "");
	snprintf(fixture->task_url, sizeof(fixture->task_url),
		 "http://127.0.0.1:%u", request_task_port(fixture->task));
	fixture->to_task =
		mailbox_sender_create(fixture->zmq, "request-0", &err);
	assert_int_equal(pthread_create(&fixture->thread, NULL,
					request_task_run, fixture->task),
			 0);
}

void fixture_start(fixture_t *fixture, const fixture_conf_t *conf)
{
	static bool started;
	err_t err = { 0 };

	if (!started) {
		assert_true(sodium_init() >= 0);
		curl_global_init(CURL_GLOBAL_DEFAULT);
		signal(SIGPIPE, SIG_IGN);
		assert_true(log_open(LOG_ERROR, LOG_FORMAT_KEY_VALUE, &err));
		started = true;
	}
	memset(fixture, 0, sizeof(*fixture));
	fixture->zmq = zmq_ctx_new();
	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	fixture->attempts_max = 1;
	fixture->answer_actions = true;
	fixture->refusal.refusal = REFUSAL_SERVER_FAILED;
	fixture->refusal.outcome = OUTCOME_NOT_RUN;
	fixture->refusal.retry_after_s = 2;
	fixture->control = mailbox_create(fixture->zmq, "control",
					  fixture->loop, on_message, fixture,
					  &err);
	fixture->client = client_create(fixture->loop, &err);
	start_server(fixture);
	start_task(fixture, conf);
	if (!conf->no_document) {
		task_msg_t *message = task_msg_create(TASK_MSG_CONFIG, 0);

		message->as.config = build_document(conf);
		fixture_send(fixture, message);
		usleep(20000);
	}
}

void fixture_stop(fixture_t *fixture)
{
	size_t i;

	fixture_send(fixture, task_msg_create(TASK_MSG_STOP, 0));
	pthread_join(fixture->thread, NULL);
	request_task_destroy(fixture->task);
	client_destroy(fixture->client);
	listener_destroy(fixture->server);
	mailbox_drain(fixture->control);
	mailbox_destroy(fixture->control);
	mailbox_sender_destroy(fixture->to_task);
	ev_loop_destroy(fixture->loop);
	zmq_ctx_term(fixture->zmq);
	for (i = 0; i < fixture->message_count; i++)
		task_msg_destroy(fixture->messages[i]);
	for (i = 0; i < fixture->call_count; i++) {
		free(fixture->calls[i].method);
		free(fixture->calls[i].target);
		free(fixture->calls[i].path);
		free(fixture->calls[i].query);
		free(fixture->calls[i].body);
	}
}

void fixture_send(fixture_t *fixture, task_msg_t *message)
{
	assert_true(mailbox_send(fixture->to_task, message));
}

static void on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

void fixture_step(fixture_t *fixture)
{
	ev_timer step_timer;

	ev_timer_init(&step_timer, on_step, 0.005, 0);
	ev_now_update(fixture->loop);
	ev_timer_start(fixture->loop, &step_timer);
	ev_run(fixture->loop, EVRUN_ONCE);
	ev_timer_stop(fixture->loop, &step_timer);
}

bool fixture_run(fixture_t *fixture, bool (*done)(fixture_t *fixture),
		 int64_t limit_ms)
{
	int64_t end_us = clock_monotonic_us() + limit_ms * US_PER_MS;

	while (!done || !done(fixture)) {
		if (clock_monotonic_us() >= end_us)
			return false;
		fixture_step(fixture);
	}
	return true;
}

const task_msg_t *fixture_message(fixture_t *fixture, task_msg_type_t type,
				  size_t nth)
{
	int64_t end_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < end_us) {
		size_t i, seen = 0;

		for (i = 0; i < fixture->message_count; i++)
			if (fixture->messages[i]->type == type && seen++ == nth)
				return fixture->messages[i];
		fixture_step(fixture);
	}
	return NULL;
}

server_call_t *fixture_server_call(fixture_t *fixture, const char *method,
				   size_t nth)
{
	int64_t end_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < end_us) {
		size_t i, seen = 0;

		for (i = 0; i < fixture->call_count; i++)
			if (!strcmp(fixture->calls[i].method, method) &&
			    seen++ == nth)
				return &fixture->calls[i];
		fixture_step(fixture);
	}
	return NULL;
}

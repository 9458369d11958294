/** Request task: what callers get around a shutdown of the process. */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/fixture.h"
#include "lib/loopback.h"
#include "process/drain.h"

enum {
	NOTICE_MS = 200,
	LIMIT_MS = 700,
	SEND_MS = 30, /* in DRAIN_NOTICE */
	FINISH_MS = 150, /* in DRAIN_FINISHING */
	LATE_BODY_MS = 50, /* in the phase of the moment */
	READ_LATE_MS = 300, /* in DRAIN_RETURNING */
	STOP_MAX_MS = 3000,
	ANSWER_PARTS = 900, /* of 1 KiB; more than sockets hold */
	PART_BYTES = 1024,
	RECEIVE_BUFFER_BYTES = 128 * 1024,
	TEXT_SIZE_BYTES = 2048 * 1024
};

/** The kinds of requests; the path at the server names them. */
typedef enum {
	STREAMED,
	COLLECTED,
	SHORT_LOOKUP,
	LONG_LOOKUP,
	ACTION,
	KINDS
} kind_t;

static const struct {
	const char *name, *path, *header, *body;
} kinds[KINDS] = {
	{ "streamed completion", "/v1/completions", "",
	  "{\"model\":\"chat\",\"prompt\":\"x\",\"stream\":true,"
	  "\"max_tokens\":1000}" },
	{ "completion", "/v1/completions", "",
	  "{\"model\":\"chat\",\"prompt\":\"x\",\"max_tokens\":1000}" },
	{ "short lookup", "/services/status/short", "", "{}" },
	{ "long lookup", "/services/status/long", "", "{}" },
	{ "action", "/services/orders/x", "Idempotency-Key: k\r\n", "{}" },
};

/** A course of requests that are sent in DRAIN_NOTICE. */
typedef struct {
	const char *name;
	drain_phase_t body_in; /* phase of the rest of the body; or 0 */
	bool finishes; /* the answer, in DRAIN_FINISHING */
	bool reads_late;
	struct {
		int status;
		const char *part; /* of the answer */
	} expected[KINDS];
} moment_t;

#define DONE "data: [DONE]\n\n"
#define STOPPED "the node is shutting down"

static const moment_t moments[] = {
	{ "finished in time",
	  0,
	  true,
	  false,
	  { { 200, DONE },
	    { 200, "complete" },
	    { 200, "answer" },
	    { 200, "yy" },
	    { 200, "yy" } } },
	{ "finished in time, read after the limit",
	  0,
	  true,
	  true,
	  { { 200, "\"outcome\":\"failed\"" },
	    { 200, "complete" },
	    { 200, "answer" },
	    { 200, "yy" },
	    { 200, "yy" } } },
	{ "complete after new requests are refused",
	  DRAIN_FINISHING,
	  true,
	  false,
	  { { 200, DONE },
	    { 200, "complete" },
	    { 200, "answer" },
	    { 200, "yy" },
	    { 200, "yy" } } },
	{ "running at the limit",
	  0,
	  false,
	  false,
	  { { 200, "\"outcome\":\"failed\"" },
	    { 503, STOPPED },
	    { 503, STOPPED },
	    { 503, STOPPED },
	    { 503, STOPPED } } },
	{ "running at the limit, read after it",
	  0,
	  false,
	  true,
	  { { 200, "\"outcome\":\"failed\"" },
	    { 503, STOPPED },
	    { 503, STOPPED },
	    { 503, STOPPED },
	    { 503, STOPPED } } },
	{ "complete after the limit",
	  DRAIN_RETURNING,
	  false,
	  false,
	  { { 503, "not-run" },
	    { 503, "not-run" },
	    { 503, "not-run" },
	    { 503, "not-run" },
	    { 503, "not-run" } } },
};

typedef struct {
	int fd;
	const char *late_part; /* of the body; NULL: sent */
	char *text; /* received */
	size_t size;
	bool ended;
} caller_t;

static fixture_t fixture;

/* A shutdown in progress, whose control task is the test. */
typedef struct {
	const moment_t *moment;
	drain_t drain;
	size_t messages_seen;
	caller_t callers[KINDS];
	bool sent, finished[FIXTURE_CALLS_MAX];
} play_t;

static const char *part_text(void)
{
	static char text[PART_BYTES + 1];

	memset(text, 'y', PART_BYTES);
	return text;
}

static void write_tokens(server_call_t *call, size_t count)
{
	char event[PART_BYTES + 300];

	while (count--) {
		int size = snprintf(event, sizeof(event),
				    "data: {\"stream_id\":\"%s\",\"offset\":"
				    "%zu,\"tokens\":1,\"choices\":[{\"index\":"
				    "0,\"text\":\"%s\",\"finish_reason\":"
				    "null}]}\n\n",
				    serve_stream_id(call), call->sent++,
				    part_text());

		exchange_write(call->exchange, event, (size_t)size);
	}
}

static void write_parts(server_call_t *call, size_t count)
{
	while (count--)
		exchange_write(call->exchange, part_text(), PART_BYTES);
}

static bool is_model(const server_call_t *call)
{
	return !strcmp(call->path, "/v1/completions");
}

/* Sends half of an answer; nothing of a short one. */
static void serve_half(server_call_t *call, size_t index)
{
	if (!strcmp(call->path, "/short"))
		return;
	if (is_model(call)) {
		serve_stream(call);
		write_tokens(call, ANSWER_PARTS / 2);
		return;
	}
	exchange_stream(call->exchange, 200, NULL, 0);
	write_parts(call, ANSWER_PARTS / 2);
}

static void finish_answer(server_call_t *call)
{
	if (!call->exchange)
		return;
	if (!strcmp(call->path, "/short")) {
		serve_reply(call, 200, NULL, NULL, "answer");
	} else if (is_model(call)) {
		write_tokens(call, ANSWER_PARTS / 2);
		serve_chunk(call, serve_stream_id(call), (int64_t)call->sent,
			    "z", true);
		serve_done(call);
	} else {
		write_parts(call, ANSWER_PARTS / 2);
		exchange_end(call->exchange);
	}
}

static void send_text(int fd, const char *text, size_t size)
{
	assert_int_equal(send(fd, text, size, MSG_NOSIGNAL), size);
}

static void send_request(play_t *play, kind_t kind)
{
	caller_t *caller = &play->callers[kind];
	int buffer = RECEIVE_BUFFER_BYTES;
	char head[512];
	size_t size = strlen(kinds[kind].body);
	int head_size = snprintf(head, sizeof(head),
				 "POST %s HTTP/1.1\r\nHost: h\r\n"
				 "Authorization: Bearer secret\r\n%s"
				 "Content-Length: %zu\r\n\r\n",
				 kinds[kind].path, kinds[kind].header, size);

	caller->fd = loopback_connect(request_task_port(fixture.task));
	if (play->moment->reads_late)
		setsockopt(caller->fd, SOL_SOCKET, SO_RCVBUF, &buffer,
			   sizeof(buffer));
	caller->text = mem_calloc(TEXT_SIZE_BYTES, 1);
	send_text(caller->fd, head, (size_t)head_size);
	if (!play->moment->body_in) {
		send_text(caller->fd, kinds[kind].body, size);
		return;
	}
	send_text(caller->fd, kinds[kind].body, 1);
	caller->late_part = kinds[kind].body + 1;
}

static void receive(caller_t *caller)
{
	ssize_t size;

	while (!caller->ended) {
		size = recv(caller->fd, caller->text + caller->size,
			    TEXT_SIZE_BYTES - 1 - caller->size, MSG_DONTWAIT);
		if (size < 0 && errno == EAGAIN)
			return;
		if (size <= 0)
			caller->ended = true;
		else
			caller->size += (size_t)size;
	}
}

/* @return the status of a whole answer; else 0 */
static int whole_status(const caller_t *caller)
{
	static const char last_chunk[] = "\r\n0\r\n\r\n";
	const char *body = strstr(caller->text, "\r\n\r\n"), *length;
	size_t end = strlen(last_chunk);
	int status = 0;

	if (!body || sscanf(caller->text, "HTTP/1.1 %d", &status) != 1)
		return 0;
	body += strlen("\r\n\r\n");
	length = strstr(caller->text, "Content-Length: ");
	if (length && length < body)
		return caller->text + caller->size - body ==
				       atoi(length + strlen("Content-Length: "))
			       ? status
			       : 0;
	return caller->size > end && !strcmp(caller->text + caller->size - end,
					     last_chunk)
		       ? status
		       : 0;
}

/* Performs what the control task does at the start of a phase. */
static void enter_phase(const play_t *play)
{
	if (play->drain.phase == DRAIN_NOTICE) {
		task_msg_t *message = task_msg_create(TASK_MSG_NOTICE, 0);

		message->as.ends_us = drain_ends_us(&play->drain);
		fixture_send(&fixture, message);
	}
	if (play->drain.phase == DRAIN_FINISHING)
		fixture_send(&fixture, task_msg_create(TASK_MSG_DRAIN, 0));
	if (play->drain.phase == DRAIN_RETURNING && play->drain.timed_out)
		fixture_send(&fixture, task_msg_create(TASK_MSG_END_ALL, 0));
}

static void step_shutdown(play_t *play, int64_t now_us)
{
	for (; play->messages_seen < fixture.message_count;
	     play->messages_seen++)
		if (fixture.messages[play->messages_seen]->type ==
		    TASK_MSG_IDLE)
			drain_idle(&play->drain, 0);
	if (drain_tick(&play->drain, 0, now_us))
		enter_phase(play);
}

/* @return true if the phase is @p phase, or a later one, since @p ms */
static bool is_past(const play_t *play, drain_phase_t phase, int64_t ms,
		    int64_t now_us)
{
	return play->drain.phase > phase ||
	       (play->drain.phase == phase &&
		now_us - play->drain.since_us >= ms * US_PER_MS);
}

static void step_callers(play_t *play, int64_t now_us)
{
	const moment_t *moment = play->moment;
	kind_t kind;
	size_t i;

	if (!play->sent && is_past(play, DRAIN_NOTICE, SEND_MS, now_us)) {
		for (kind = 0; kind < KINDS; kind++)
			send_request(play, kind);
		play->sent = true;
	}
	for (kind = 0; play->sent && kind < KINDS; kind++) {
		caller_t *caller = &play->callers[kind];

		if (caller->late_part &&
		    is_past(play, moment->body_in, LATE_BODY_MS, now_us)) {
			send_text(caller->fd, caller->late_part,
				  strlen(caller->late_part));
			caller->late_part = NULL;
		}
		if (!moment->reads_late ||
		    is_past(play, DRAIN_RETURNING, READ_LATE_MS, now_us))
			receive(caller);
	}
	if (!moment->finishes ||
	    !is_past(play, DRAIN_FINISHING, FINISH_MS, now_us))
		return;
	for (i = 0; i < fixture.call_count; i++) {
		if (!play->finished[i] &&
		    strcmp(fixture.calls[i].method, "DELETE") != 0)
			finish_answer(&fixture.calls[i]);
		play->finished[i] = true;
	}
}

/* @return true if the caller got what is expected */
static bool judge(const play_t *play, kind_t kind)
{
	const moment_t *moment = play->moment;
	const caller_t *caller = &play->callers[kind];
	int status = whole_status(caller);

	if (status == moment->expected[kind].status &&
	    strstr(caller->text, moment->expected[kind].part))
		return true;
	print_error("%s, %s: %zu bytes, whole answer %d in place of %d\n",
		    kinds[kind].name, moment->name, caller->size, status,
		    moment->expected[kind].status);
	return false;
}

/* @return the number of callers that did not get what is expected */
static size_t play_moment(const moment_t *moment)
{
	const drain_conf_t conf = { NOTICE_MS * US_PER_MS, LIMIT_MS * US_PER_MS,
				    1 };
	play_t *play = mem_calloc(1, sizeof(*play));
	int64_t began_us = clock_monotonic_us(), now_us = began_us;
	size_t wrong = 0;
	kind_t kind;

	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
	fixture.serve = serve_half;
	play->moment = moment;
	drain_init(&play->drain, &conf);
	drain_signal(&play->drain, now_us);
	enter_phase(play);
	while (play->drain.phase != DRAIN_STOPPED) {
		now_us = clock_monotonic_us();
		assert_true(now_us - began_us < STOP_MAX_MS * US_PER_MS);
		fixture_step(&fixture);
		step_callers(play, now_us);
		step_shutdown(play, now_us);
	}
	if (!moment->body_in || moment->body_in == DRAIN_FINISHING)
		assert_true(fixture.call_count >= KINDS);
	else
		assert_int_equal(fixture.call_count, 0);
	fixture_stop(&fixture);
	for (kind = 0; kind < KINDS; kind++) {
		caller_t *caller = &play->callers[kind];

		receive(caller);
		wrong += !judge(play, kind);
		close(caller->fd);
		free(caller->text);
	}
	free(play);
	return wrong;
}

/*
 * Guards against requests that a server got and whose callers get no whole
 * answer, since the process stops: their bodies come late, their answers are
 * long, or they are read late.
 */
static void request_is_lost_around_a_shutdown(void **state)
{
	size_t i, wrong = 0;

	for (i = 0; i < COUNT_OF(moments); i++)
		wrong += play_moment(&moments[i]);
	assert_int_equal(wrong, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(request_is_lost_around_a_shutdown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

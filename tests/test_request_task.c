/** Request task: answers and outcomes that a caller sees. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "cases.h"
#include "lib/fixture.h"
#include "lib/loopback.h"
#include "process/request.h"

static fixture_t fixture;
static answer_t answer;

/* Bodies of a streamed and of a whole completion. */
static const char prompt[] =
	"{\"model\":\"chat\",\"prompt\":\"hello\",\"stream\":true,"
	"\"max_tokens\":3}";
static const char unstreamed_prompt[] =
	"{\"model\":\"chat\",\"prompt\":\"hello\"}";

static void serve_three(server_call_t *call, size_t index)
{
	const char *id = serve_stream_id(call);

	serve_stream(call);
	serve_chunk(call, id, 0, "a ", false);
	serve_chunk(call, id, 1, "b ", false);
	serve_chunk(call, id, 2, "c ", true);
	serve_done(call);
}

static void start(void)
{
	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
}

static void complete(const char *body)
{
	fixture_call(&fixture, &answer, "POST", "/v1/completions", NULL, body);
	fixture_wait(&fixture, &answer);
}

/* @return the texts of all chunks that the caller received, in order. */
static const char *received_text(void)
{
	static char text[1024];
	const char *at = answer.body;

	text[0] = '\0';
	while ((at = strstr(at, "\"text\":\""))) {
		at += strlen("\"text\":\"");
		strncat(text, at, strcspn(at, "\""));
	}
	return text;
}

static const finished_msg_t *finished(size_t nth)
{
	const task_msg_t *message =
		fixture_message(&fixture, TASK_MSG_FINISHED, nth);

	assert_non_null(message);
	return &message->as.finished;
}

/* Guards against a stream that is changed or cut short by the request task. */
static void relays_a_stream_to_its_end_marker(void **state)
{
	start();
	fixture.serve = serve_three;
	complete(prompt);
	assert_int_equal(answer.status, 200);
	assert_string_equal(answer.content_type, "text/event-stream");
	assert_string_equal(received_text(), "a b c ");
	assert_non_null(strstr(answer.body, "data: [DONE]\n\n"));
	assert_non_null(fixture_message(&fixture, TASK_MSG_FIRST_TOKEN, 0));
	assert_int_equal(finished(0)->end, ATTEMPT_COMPLETE);
	assert_int_equal(finished(0)->delivered_tokens, 3);
	fixture_stop(&fixture);
}

/*
 * Guards against a collected answer without an outcome, and against a chat
 * answer in the form of a text completion.
 */
static void collects_an_answer_that_is_not_streamed(void **state)
{
	start();
	fixture.serve = serve_three;
	complete(unstreamed_prompt);
	assert_int_equal(answer.status, 200);
	assert_string_equal(answer.outcome, "complete");
	assert_non_null(strstr(answer.body, "\"text\":\"a b c \""));
	assert_non_null(strstr(answer.body, "\"completion_tokens\":3"));
	fixture_call(&fixture, &answer, "POST", "/v1/chat/completions", NULL,
		     "{\"model\":\"chat\",\"messages\":[{\"role\":\"user\","
		     "\"content\":\"hi\"}]}");
	fixture_wait(&fixture, &answer);
	assert_non_null(strstr(answer.body, "\"content\":\"a b c \""));
	assert_string_equal(fixture.calls[1].path, "/v1/chat/completions");
	fixture_stop(&fixture);
}

static void serve_long_reason(server_call_t *call, size_t index)
{
	char event[512];
	int size = snprintf(event, sizeof(event),
			    "data: {\"stream_id\":\"%s\",\"offset\":0,"
			    "\"choices\":[{\"text\":\"a \",\"finish_reason\":"
			    "\"a reason cut within \u00e9\u00e9\u00e9\"}]}\n\n",
			    serve_stream_id(call));

	serve_stream(call);
	exchange_write(call->exchange, event, (size_t)size);
	serve_done(call);
}

static void process_ends_by_a_finish_reason_cut_within_a_character(void **state)
{
	start();
	fixture.serve = serve_long_reason;
	complete(unstreamed_prompt);
	assert_int_equal(answer.status, 502);
	assert_string_equal(answer.outcome, "unknown");
	fixture_stop(&fixture);
}

/*
 * Scripts of what an engine sends on the first connection and on the connection
 * that resumes the stream. Letters: a, b, c are the tokens 0, 1, 2; x is a
 * chunk of another request, y a chunk of another attempt, D the end marker;
 * . closes the connection without an end marker.
 */
static const struct {
	const char *first, *resumed; /* NULL: no resumption */
	const char *offset; /* query of the resumption */
} stream_faults[] = {
	{ "xaybcD", NULL, NULL }, /* chunks of other streams */
	{ "abbacD", NULL, NULL }, /* repeated chunks */
	{ "aDbcD", "bcD", "offset=1" }, /* early end marker */
	{ "acD", "bcD", "offset=1" }, /* missing chunk */
	{ "acbcD", NULL, NULL }, /* stray chunk, then the right chunk */
	{ "acccc", "bcD", "offset=1" }, /* missing chunk, stream continues */
	{ ".", "abcD", "offset=0" }, /* closed before the first token */
	{ "ab.", "cD", "offset=2" }, /* closed mid-stream */
	{ "abc.", "D", "offset=3" }, /* closed before the end marker */
};
static size_t fault;

static void serve_script(server_call_t *call, const char *letters)
{
	static const char *const texts[] = { "a ", "b ", "c " };
	char id[128], other[160];

	mem_strlcpy(id, serve_stream_id(call), sizeof(id));
	serve_stream(call);
	for (; *letters; letters++) {
		switch (*letters) {
		case 'x':
			serve_chunk(call, "vm.7.ffff.1", 0, "x ", true);
			break;
		case 'y':
			snprintf(other, sizeof(other), "%.*s.9",
				 (int)(strrchr(id, '.') - id), id);
			serve_chunk(call, other, 1, "y ", true);
			break;
		case 'D':
			exchange_write(call->exchange, "data: [DONE]\n\n", 14);
			break;
		case '.':
			break;
		default:
			serve_chunk(call, id, *letters - 'a',
				    texts[*letters - 'a'], *letters == 'c');
		}
	}
	serve_end(call);
}

static void serve_fault(server_call_t *call, size_t index)
{
	serve_script(call, strcmp(call->method, "GET") != 0
				   ? stream_faults[fault].first
				   : stream_faults[fault].resumed);
}

/*
 * Guards against an answer with chunks of other requests, or with chunks that
 * are lost, repeated or in the wrong place, and against an answer that is cut
 * short but looks complete.
 */
static void delivers_each_token_once_in_order(void **state)
{
	for (fault = 0; fault < COUNT_OF(stream_faults); fault++) {
		server_call_t *resumption;

		start();
		fixture.serve = serve_fault;
		complete(prompt);
		if (strcmp(received_text(), "a b c ") != 0 ||
		    !strstr(answer.body, "[DONE]"))
			fail_msg("case %zu: %s", fault, answer.body);
		assert_int_equal(finished(0)->end, ATTEMPT_COMPLETE);
		if (stream_faults[fault].resumed) {
			resumption = fixture_server_call(&fixture, "GET", 0);
			assert_non_null(resumption);
			assert_string_equal(resumption->query,
					    stream_faults[fault].offset);
		} else {
			assert_int_equal(fixture.call_count, 1);
		}
		fixture_stop(&fixture);
	}
}

/*
 * Guards against a large prompt that the body worker changes, and against an
 * invalid large body that is not refused.
 */
static void parses_a_large_body(void **state)
{
	enum { SIZE = 300 * 1024 };
	char *body = mem_calloc(SIZE + 256, 1);
	int start_size = snprintf(body, 256,
				  "{\"model\":\"chat\",\"peers\":"
				  "[\"x\"],\"prompt\":\"");
	const submit_msg_t *submit;

	memset(body + start_size, 'p', SIZE);
	memcpy(body + start_size + SIZE, "\"}", 3);
	start();
	fixture.serve = serve_three;
	complete(body);
	assert_string_equal(answer.outcome, "complete");
	submit = &fixture_message(&fixture, TASK_MSG_SUBMIT, 0)->as.submit;
	assert_int_equal(submit->prompt_tokens, SIZE / 4);
	assert_int_equal(submit->block_count, SIZE / 1024);
	assert_int_equal(strspn(strchr(fixture.calls[0].body, 'p') + 9, "p"),
			 SIZE);
	assert_null(strstr(fixture.calls[0].body, "peers"));
	assert_non_null(strstr(fixture.calls[0].body, "\"model\":\"m\""));
	body[start_size + SIZE] = ' ';
	complete(body);
	assert_int_equal(answer.status, 400);
	free(body);
	fixture_stop(&fixture);
}

static void serve_refusal_then_three(server_call_t *call, size_t index)
{
	if (!index)
		serve_reply(call, 503, "X-Not-Run", "1", "{}");
	else
		serve_three(call, index);
}

/* Guards against a phase that is missing in a trace or has another trace id. */
static void records_a_span_for_each_hop(void **state)
{
	static const char *const names[] = { "accept",	"admit", "credit wait",
					     "connect", "retry", "first token",
					     "stream",	"end",	 "request" };
	static const char parent[] =
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
	span_t spans[32];
	size_t count, i, j;

	fixture_start(&fixture, &(fixture_conf_t){ .traced = true });
	fixture.attempts_max = 2;
	fixture.serve = serve_refusal_then_three;
	fixture_call(&fixture, &answer, "POST", "/v1/completions",
		     "traceparent: 00-0af7651916cd43dd8448eb211c80319c-"
		     "b7ad6b7169203331-01",
		     prompt);
	fixture_wait(&fixture, &answer);
	fixture_stop(&fixture);
	count = trace_take(spans, COUNT_OF(spans));
	for (i = 0; i < COUNT_OF(names); i++) {
		for (j = 0; j < count && strcmp(spans[j].name, names[i]) != 0;
		     j++)
			;
		if (j == count)
			fail_msg("no span %s", names[i]);
	}
	for (i = 0; i < count; i++) {
		char text[TRACE_PARENT_SIZE_BYTES];

		trace_context_format(&spans[i].context, text);
		assert_memory_equal(text, parent, 36);
		assert_true(spans[i].start_us <= spans[i].end_us);
	}
}

static void serve_broken_then_rest(server_call_t *call, size_t index)
{
	if (!strcmp(call->method, "GET"))
		serve_reply(call, 404, NULL, NULL, "{}");
	else
		serve_script(call, index ? "cD" : "ab.");
}

/*
 * Guards against tokens that are repeated or lost when another server
 * continues a broken stream.
 */
static void continues_after_the_delivered_tokens(void **state)
{
	server_call_t *second;

	start();
	fixture.attempts_max = 2;
	fixture.serve = serve_broken_then_rest;
	complete(prompt);
	assert_string_equal(received_text(), "a b c ");
	assert_non_null(strstr(answer.body, "[DONE]"));
	assert_int_equal(finished(0)->end, ATTEMPT_BROKEN);
	assert_int_equal(finished(0)->delivered_tokens, 2);
	second = fixture_server_call(&fixture, "POST", 1);
	assert_non_null(strstr(second->body, "\"resume_tokens\":2"));
	assert_non_null(strstr(second->body, "\"resume_text\":\"a b \""));
	/* The first server may still generate the stream. */
	assert_non_null(fixture_server_call(&fixture, "DELETE", 0));
	fixture_stop(&fixture);
}

/* Guards against a failed stream that looks complete to its caller. */
static void ends_a_failed_stream_with_an_event(void **state)
{
	start();
	fixture.serve = serve_broken_then_rest;
	complete(prompt);
	assert_string_equal(received_text(), "a b ");
	assert_null(strstr(answer.body, "[DONE]"));
	assert_non_null(strstr(answer.body, "event: chivestage\ndata: "
					    "{\"outcome\":\"failed\","
					    "\"code\":\"server_failed\""));
	fixture_stop(&fixture);
}

/* Guards against a last event that holds other memory of the process, or "null"
 * in place of its data. */
static void last_event_of_a_stream_overruns_its_buffer(void **state)
{
	static const struct {
		const char *name, *message, *text;
	} cases[] = {
		{ "a text of escapes", NULL, "\\u0001\\u0001\\u0001" },
		{ "a text that is not UTF-8", "\xff\xfe", "\"message\":\"" },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		char *text = fixture.refusal.message;
		const char *last;

		start();
		fixture.serve = serve_broken_then_rest;
		if (cases[i].message)
			mem_strlcpy(text, cases[i].message,
				    sizeof(fixture.refusal.message));
		else
			memset(text, 1, sizeof(fixture.refusal.message) - 1);
		complete(prompt);
		last = strstr(answer.body, "event: chivestage\ndata: {");
		if (!last || !strstr(last, cases[i].text) ||
		    strcmp(strstr(last, "\n\n"), "\n\n") != 0)
			fail_msg("%s: %s", cases[i].name, answer.body);
		fixture_stop(&fixture);
	}
}

/* Guards against a delay that comes from a shift beyond the width of its type.
 */
static void delays_cancellations(void **state)
{
	static const struct {
		int32_t tries;
		int delay_ms;
	} cases[] = { { 1, 200 },  { 2, 400 },	 { 5, 3200 },
		      { 6, 5000 }, { 31, 5000 }, { 60, 5000 } };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++)
		assert_int_equal(cancellation_delay_s(cases[i].tries) * 1000,
				 cases[i].delay_ms);
}

static void serve_refusal(server_call_t *call, size_t index)
{
	serve_reply(call, 503, "X-Not-Run", "1", "{}");
}

static void serve_failure(server_call_t *call, size_t index)
{
	serve_reply(call, 503, NULL, NULL, "{}");
}

static void serve_abort(server_call_t *call, size_t index)
{
	exchange_abort(call->exchange);
}

/*
 * Failures of the only attempt. Control refuses each request as `not-run`; the
 * caller must receive this outcome only where it is true.
 */
static const struct {
	const char *url; /* NULL: the server of the fixture */
	void (*serve)(server_call_t *call, size_t index);
	attempt_end_t end;
	const char *outcome;
} failures[] = {
	{ "http://127.0.0.1:1", NULL, ATTEMPT_CONNECT_FAILED, "not-run" },
	{ NULL, serve_refusal, ATTEMPT_REFUSED, "not-run" },
	{ NULL, serve_failure, ATTEMPT_BROKEN, "unknown" },
	{ NULL, serve_abort, ATTEMPT_BROKEN, "unknown" },
};

/* Guards against the outcome `not-run` for a call that may have run. */
static void claims_not_run_only_if_nothing_was_sent(void **state)
{
	static const struct {
		const char *path, *header, *body;
	} calls[] = {
		{ "/v1/completions", NULL, prompt },
		{ "/services/status/7", NULL, "{}" },
		{ "/services/orders/7", "Idempotency-Key: k", "{}" },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(failures) * COUNT_OF(calls); i++) {
		j = i % COUNT_OF(calls);
		start();
		fixture.dispatch_url = failures[i / COUNT_OF(calls)].url;
		fixture.serve = failures[i / COUNT_OF(calls)].serve;
		/*
		 * A plain service may answer 503 for its own reasons; without
		 * X-Not-Run the answer is forwarded.
		 */
		if (j && fixture.serve == serve_failure) {
			fixture_stop(&fixture);
			continue;
		}
		fixture_call(&fixture, &answer, "POST", calls[j].path,
			     calls[j].header, calls[j].body);
		fixture_wait(&fixture, &answer);
		assert_int_equal(answer.status, 502);
		if (strcmp(answer.outcome,
			   failures[i / COUNT_OF(calls)].outcome) != 0)
			fail_msg("case %zu: %s", i, answer.outcome);
		assert_int_equal(finished(0)->end,
				 failures[i / COUNT_OF(calls)].end);
		assert_string_equal(answer.retry_after, "2");
		fixture_stop(&fixture);
	}
}

static void serve_nothing(server_call_t *call, size_t index)
{
}

static void serve_first_token(server_call_t *call, size_t index)
{
	serve_stream(call);
	serve_chunk(call, serve_stream_id(call), 0, "a ", false);
}

/*
 * Guards against requests that a shutdown cuts without an answer when its time
 * is over: each gets one that says what is known of its outcome.
 */
static void request_is_cut_at_the_end_of_a_shutdown(void **state)
{
	static const struct {
		const char *path, *header, *body;
		void (*serve)(server_call_t *call, size_t index);
		int status;
		const char *outcome, *part; /* of the body */
	} cases[] = {
		{ "/v1/completions", NULL, prompt, serve_nothing, 503,
		  "unknown", "shutting down" },
		{ "/v1/completions", NULL, prompt, serve_first_token, 200, "",
		  "\"outcome\":\"failed\"" },
		{ "/v1/completions", NULL, unstreamed_prompt, serve_first_token,
		  503, "failed", "shutting down" },
		{ "/services/status/7", NULL, "{}", serve_nothing, 503,
		  "unknown", "shutting down" },
		{ "/services/orders/7", "Idempotency-Key: k", "{}",
		  serve_nothing, 503, "unknown", "shutting down" },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		start();
		fixture.serve = cases[i].serve;
		fixture_call(&fixture, &answer, "POST", cases[i].path,
			     cases[i].header, cases[i].body);
		assert_non_null(fixture_server_call(&fixture, "POST", 0));
		fixture_run(&fixture, NULL, 50);
		assert_false(answer.ended);
		fixture_send(&fixture, task_msg_create(TASK_MSG_DRAIN, 0));
		fixture_send(&fixture, task_msg_create(TASK_MSG_END_ALL, 0));
		fixture_wait(&fixture, &answer);
		if (answer.status != cases[i].status ||
		    strcmp(answer.outcome, cases[i].outcome) != 0 ||
		    !strstr(answer.body, cases[i].part))
			fail_msg("case %zu: %d %s %s", i, answer.status,
				 answer.outcome, answer.body);
		fixture_call(&fixture, &answer, "POST", cases[i].path,
			     cases[i].header, cases[i].body);
		fixture_wait(&fixture, &answer);
		assert_int_equal(answer.status, 503);
		assert_string_equal(answer.outcome, "not-run");
		fixture_stop(&fixture);
	}
}

/* Requests that must be refused, with the status and code of the refusal. */
static const struct {
	const char *method, *path, *header, *body;
	int status;
	const char *code;
} bad_requests[] = {
	{ "GET", "/nowhere", NULL, NULL, 404, "not_found" },
	{ "GET", "/v1/completions", NULL, NULL, 400, "bad_request" },
	{ "POST", "/v1/completions", NULL, "{", 400, "bad_request" },
	{ "POST", "/v1/completions", NULL, "[]", 400, "bad_request" },
	{ "POST", "/v1/completions", NULL, "{\"model\":\"chat\"}", 400,
	  "bad_request" },
	{ "POST", "/v1/completions", NULL,
	  "{\"model\":\"none\",\"prompt\":\"x\"}", 404, "not_found" },
	{ "POST", "/v1/completions", NULL,
	  "{\"model\":\"status\",\"prompt\":\"x\"}", 404, "not_found" },
	{ "POST", "/v1/completions", NULL,
	  "{\"model\":\"hidden\",\"prompt\":\"x\"}", 403, "forbidden" },
	{ "POST", "/v1/completions", "Chivestage-Class: bulk",
	  unstreamed_prompt, 403, "forbidden" },
	{ "POST", "/v1/completions", "Transfer-Encoding: chunked", "{}", 400,
	  "bad_request" },
	{ "POST", "/v1/completions", "Content-Length: 20000000", NULL, 413,
	  "too_large" },
	{ "POST", "/services/orders/x", NULL, "{}", 400,
	  "idempotency_key_required" },
	{ "POST", "/services/none/x", NULL, "{}", 404, "not_found" },
	{ "POST", "/services/chat/x", NULL, "{}", 404, "not_found" },
};

/* Guards against an invalid request that reaches control or a server. */
static void refuses_bad_requests(void **state)
{
	size_t i;

	start();
	for (i = 0; i < COUNT_OF(bad_requests); i++) {
		fixture_call(&fixture, &answer, bad_requests[i].method,
			     bad_requests[i].path, bad_requests[i].header,
			     bad_requests[i].body);
		fixture_wait(&fixture, &answer);
		if (answer.status != bad_requests[i].status ||
		    !strstr(answer.body, bad_requests[i].code))
			fail_msg("case %zu: %d %s", i, answer.status,
				 answer.body);
		assert_string_equal(answer.outcome, "not-run");
		assert_true(answer.request_id[0]);
	}
	assert_int_equal(fixture.message_count, 0);
	assert_int_equal(fixture.call_count, 0);
	fixture_stop(&fixture);
}

static void serve_echo(server_call_t *call, size_t index)
{
	char body[256];

	snprintf(body, sizeof(body), "%s %s?%s %s", call->method, call->path,
		 call->query, call->body);
	serve_reply(call, 201, "Content-Type", "text/plain", body);
}

/* Guards against a lookup whose path, query or body is changed. */
static void forwards_a_lookup_unchanged(void **state)
{
	static const struct {
		const char *target;
		size_t filler_bytes; /* appended */
	} cases[] = { { "/a%20b?x=1%2F", 0 },
		      { "/x?", 0 },
		      { "/a/../b/./c", 0 },
		      { "/x?q=", 12000 },
		      { "/", 12000 } };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		char target[12100];
		size_t size;

		start();
		fixture.serve = serve_echo;
		size = (size_t)snprintf(target, sizeof(target),
					"/services/status%s", cases[i].target);
		memset(target + size, 'y', cases[i].filler_bytes);
		target[size + cases[i].filler_bytes] = '\0';
		fixture_call(&fixture, &answer, "PUT", target, NULL, "body");
		fixture_wait(&fixture, &answer);
		assert_int_equal(answer.status, 201);
		assert_string_equal(fixture.calls[0].target,
				    target + strlen("/services/status"));
		assert_string_equal(fixture.calls[0].method, "PUT");
		assert_string_equal(fixture.calls[0].body, "body");
		assert_string_equal(answer.content_type, "text/plain");
		assert_string_equal(answer.outcome, "complete");
		fixture_stop(&fixture);
	}
}

/* Next token of a stream that never ends; counts the tokens in the body. */
static void send_token(server_call_t *call, int tokens)
{
	static char text[1024], event[1300];
	int size;

	memset(text, 'y', sizeof(text) - 1);
	size = snprintf(event, sizeof(event),
			"data: {\"stream_id\":\"%s\",\"offset\":%zu,"
			"\"tokens\":%d,\"choices\":[{\"index\":0,\"text\":"
			"\"%s\",\"finish_reason\":null}]}\n\n",
			serve_stream_id(call), tokens ? call->sent++ : 0,
			tokens, text);
	exchange_write(call->exchange, event, (size_t)size);
}

static void send_tokens(server_call_t *call)
{
	send_token(call, 1);
}

static void send_empty_tokens(server_call_t *call)
{
	send_token(call, 0);
}

static void send_bytes(server_call_t *call)
{
	static char block[8192];

	memset(block, 'y', sizeof(block));
	exchange_write(call->exchange, block, sizeof(block));
}

static void send_comments(server_call_t *call)
{
	static char block[8000];
	size_t i;

	for (i = 0; i < sizeof(block); i++)
		block[i] = ":y\n\n"[i % strlen(":y\n\n")];
	exchange_write(call->exchange, block, sizeof(block));
}

static void serve_endless(server_call_t *call, size_t index)
{
	if (!strcmp(call->target, "/x")) {
		serve_reply(call, 200, NULL, NULL, "answer");
		return;
	}
	serve_stream(call);
	call->fixture->serve_more(call);
}

/*
 * Guards against the memory of a node that one server takes which sends without
 * end, and against other callers that are refused for it.
 */
static void server_takes_the_memory_of_all_callers(void **state)
{
	enum {
		ENDLESS = 8,
		OTHERS = 10,
		MEMORY_BYTES = 2 * 1024 * 1024,
		PLAY_MS = 1500
	};
	static const struct {
		const char *name, *path, *header, *body;
		void (*serve_more)(server_call_t *call);
		bool ends; /* long before the time limit */
	} cases[] = {
		{ "stream, tokens", "/v1/completions", NULL,
		  "{\"model\":\"chat\",\"prompt\":\"x\",\"stream\":true}",
		  send_tokens, true },
		{ "completion, tokens", "/v1/completions", NULL,
		  "{\"model\":\"chat\",\"prompt\":\"x\"}", send_tokens, true },
		{ "completion, most tokens", "/v1/completions", NULL,
		  "{\"model\":\"chat\",\"prompt\":\"x\","
		  "\"max_tokens\":1000000}",
		  send_tokens, true },
		{ "completion, text without tokens", "/v1/completions", NULL,
		  "{\"model\":\"chat\",\"prompt\":\"x\"}", send_empty_tokens,
		  true },
		{ "completion, one event", "/v1/completions", NULL,
		  "{\"model\":\"chat\",\"prompt\":\"x\"}", send_bytes, true },
		{ "completion, comments", "/v1/completions", NULL,
		  "{\"model\":\"chat\",\"prompt\":\"x\"}", send_comments,
		  false },
		{ "lookup, body", "/services/status/e", NULL, "{}", send_bytes,
		  false },
		{ "action, body", "/services/orders/e", "Idempotency-Key: k",
		  "{}", send_bytes, true },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		static answer_t answers[ENDLESS];
		size_t served = 0, left = 0;
		int64_t peak = 0, end_us;

		fixture_start(&fixture,
			      &(fixture_conf_t){ .memory_bytes = MEMORY_BYTES,
						 .body_max_bytes = 64 * 1024,
						 .deadline_ms = 4000 });
		fixture.serve = serve_endless;
		fixture.serve_more = cases[i].serve_more;
		for (j = 0; j < ENDLESS; j++) {
			answers[j].discards = true;
			fixture_call(&fixture, &answers[j], "POST",
				     cases[i].path, cases[i].header,
				     cases[i].body);
		}
		end_us = clock_monotonic_us() + PLAY_MS * US_PER_MS;
		for (j = 0; j < OTHERS || clock_monotonic_us() < end_us; j++) {
			int64_t held;

			fixture_step(&fixture);
			held = metrics_get(METRIC_MEMORY_HELD_BYTES);
			peak = held > peak ? held : peak;
			if (j >= OTHERS)
				continue;
			fixture_call(&fixture, &answer, "POST",
				     "/services/status/x", NULL, "{}");
			fixture_wait(&fixture, &answer);
			served += answer.status == 200;
		}
		for (j = 0; j < ENDLESS; j++)
			left += !answers[j].ended;
		print_message("%s: %lld KiB held, %zu of %d others served, "
			      "%zu left\n",
			      cases[i].name, (long long)peak / 1024, served,
			      OTHERS, left);
		/* A quarter of the memory is for requests. */
		if (served < OTHERS ||
		    peak > MEMORY_BYTES * 3 / 4 + 2 * REQUEST_RESERVE_BYTES ||
		    (cases[i].ends && left))
			fail_msg("%s", cases[i].name);
		fixture_stop(&fixture);
	}
}

/*
 * A server that echoes paths. On a reused connection it sends its previous
 * answer once more before each new answer.
 */
typedef struct {
	int fd;
	char url[64];
	bool refuses; /* see refuse_connection() */
	pthread_t thread;
} repeating_server_t;

static void serve_connection(int fd)
{
	char request[2048], path[64], answer_text[256], last[256] = "";
	ssize_t size;

	while ((size = read(fd, request, sizeof(request) - 1)) > 0) {
		request[size] = '\0';
		assert_int_equal(sscanf(request, "%*s %63s", path), 1);
		snprintf(answer_text, sizeof(answer_text),
			 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
			 strlen(path), path);
		if (write(fd, last, strlen(last)) < 0 ||
		    write(fd, answer_text, strlen(answer_text)) < 0)
			return;
		mem_strlcpy(last, answer_text, sizeof(last));
	}
}

/* Refuses the first request of a connection if @p refuses, and writes this
 * refusal once more when it runs the next one. */
static void refuse_connection(int fd, bool refuses)
{
	static const char refusal[] = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n"
				      "Content-Length: 0\r\n\r\n";
	char request[4096];

	while (read(fd, request, sizeof(request)) > 0)
		if (!refuses || write(fd, refusal, sizeof(refusal) - 1) < 0)
			return;
}

static void *run_repeating_server(void *context)
{
	repeating_server_t *server = context;
	int fd, connections = 0;

	while ((fd = accept(server->fd, NULL, NULL)) >= 0) {
		if (server->refuses)
			refuse_connection(fd, !connections++);
		else
			serve_connection(fd);
		close(fd);
	}
	return NULL;
}

/* Guards against a late copy of an answer that the next caller receives. */
static void never_forwards_a_copy_of_an_earlier_answer(void **state)
{
	static const char *const paths[] = { "/one", "/two", "/three" };
	repeating_server_t server = { .refuses = false };
	size_t i;
	int port;

	server.fd = loopback_listen(&port);
	snprintf(server.url, sizeof(server.url), "http://127.0.0.1:%d", port);
	pthread_create(&server.thread, NULL, run_repeating_server, &server);
	start();
	fixture.dispatch_url = server.url;
	for (i = 0; i < COUNT_OF(paths); i++) {
		char path[64];

		snprintf(path, sizeof(path), "/services/status%s", paths[i]);
		fixture_call(&fixture, &answer, "GET", path, NULL, NULL);
		fixture_wait(&fixture, &answer);
		assert_string_equal(answer.body, paths[i]);
	}
	fixture_stop(&fixture);
	shutdown(server.fd, SHUT_RDWR);
	pthread_join(server.thread, NULL);
	close(server.fd);
}

/* Guards against a prompt that an engine runs and that counts as not run. */
static void earlier_refusal_is_taken_for_one_of_the_next_prompt(void **state)
{
	repeating_server_t server = { .refuses = true };
	int i, port;

	server.fd = loopback_listen(&port);
	snprintf(server.url, sizeof(server.url), "http://127.0.0.1:%d", port);
	pthread_create(&server.thread, NULL, run_repeating_server, &server);
	start();
	fixture.dispatch_url = server.url;
	for (i = 0; i < 2; i++) {
		fixture_call(&fixture, &answer, "POST", "/v1/completions", NULL,
			     prompt);
		fixture_wait(&fixture, &answer);
		if (i)
			assert_int_not_equal(finished(i)->end, ATTEMPT_REFUSED);
		else
			assert_int_equal(finished(i)->end, ATTEMPT_REFUSED);
	}
	fixture_stop(&fixture);
	shutdown(server.fd, SHUT_RDWR);
	pthread_join(server.thread, NULL);
	close(server.fd);
}

/*
 * Guards against an action that is answered before the control task recorded
 * its outcome.
 */
static void answers_an_action_only_after_control(void **state)
{
	const submit_msg_t *submit;

	start();
	fixture.serve = serve_echo;
	fixture.answer_actions = false;
	fixture_call(&fixture, &answer, "POST", "/services/orders/new",
		     "Idempotency-Key: k1", "{}");
	assert_string_equal(finished(0)->answer, "POST /new? {}");
	assert_string_equal(finished(0)->content_type, "text/plain");
	fixture_run(&fixture, NULL, 100);
	assert_false(answer.ended);
	submit = &fixture_message(&fixture, TASK_MSG_SUBMIT, 0)->as.submit;
	assert_int_equal(submit->kind, REQUEST_ACTION);
	assert_string_equal(submit->key, "k1");
	{
		task_msg_t *message = task_msg_create(
			TASK_MSG_ANSWER, fixture.messages[0]->request);

		message->as.answer.status = 201;
		message->as.answer.outcome = OUTCOME_COMPLETE;
		message->as.answer.answer = mem_strdup("recorded");
		message->as.answer.answer_size_bytes = 8;
		fixture_send(&fixture, message);
	}
	fixture_wait(&fixture, &answer);
	assert_int_equal(answer.status, 201);
	assert_string_equal(answer.outcome, "complete");
	fixture_stop(&fixture);
}

static void serve_large(server_call_t *call, size_t index)
{
	static char body[100 * 1024 + 1];

	memset(body, 'y', sizeof(body) - 1);
	serve_reply(call, 200, NULL, NULL, body);
}

static void serve_long_refusal_then_answer(server_call_t *call, size_t index)
{
	static char body[20 * 1024 + 1];

	memset(body, 'y', sizeof(body) - 1);
	if (!index)
		serve_reply(call, 503, "X-Not-Run", "1", body);
	else if (strstr(call->path, "/v1/"))
		serve_three(call, index);
	else
		serve_echo(call, index);
}

/*
 * Guards against a lost answer after a refusal whose body was too long to
 * collect: the overflow of the first attempt must not affect the second.
 */
static void answers_after_a_long_refusal(void **state)
{
	static const struct {
		const char *path, *key, *body, *expected;
	} cases[] = {
		{ "/v1/completions", NULL, unstreamed_prompt,
		  "\"text\":\"a b c \"" },
		{ "/services/orders/new", "Idempotency-Key: k1", "{}",
		  "POST /new? {}" },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		fixture_start(&fixture,
			      &(fixture_conf_t){ .body_max_bytes = 10000 });
		fixture.attempts_max = 2;
		fixture.serve = serve_long_refusal_then_answer;
		fixture_call(&fixture, &answer, "POST", cases[i].path,
			     cases[i].key, cases[i].body);
		fixture_wait(&fixture, &answer);
		assert_int_equal(fixture.call_count, 2);
		if (!strstr(answer.body, cases[i].expected))
			fail_msg("%s: status %d, %s", cases[i].path,
				 answer.status, answer.body);
		assert_string_equal(answer.outcome, "complete");
		fixture_stop(&fixture);
	}
}

/*
 * Guards against a long answer that is recorded truncated or empty, so that a
 * repeated call with the same key would receive a wrong answer.
 */
static void sends_the_whole_answer_of_an_action_to_control(void **state)
{
	static const struct {
		int64_t body_max_bytes;
		attempt_end_t end;
		size_t size;
		const char *outcome;
	} cases[] = {
		{ 0, ATTEMPT_COMPLETE, 100 * 1024, "complete" },
		{ 16 * 1024, ATTEMPT_BROKEN, 0, "unknown" },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		fixture_start(
			&fixture,
			&(fixture_conf_t){ .body_max_bytes =
						   cases[i].body_max_bytes });
		fixture.serve = serve_large;
		fixture_call(&fixture, &answer, "POST", "/services/orders/x",
			     "Idempotency-Key: k", "{}");
		fixture_wait(&fixture, &answer);
		assert_string_equal(answer.outcome, cases[i].outcome);
		assert_int_equal(finished(0)->end, cases[i].end);
		assert_int_equal(finished(0)->answer_size_bytes, cases[i].size);
		if (cases[i].size)
			assert_int_equal(answer.size, cases[i].size);
		fixture_stop(&fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(relays_a_stream_to_its_end_marker),
		cmocka_unit_test(collects_an_answer_that_is_not_streamed),
		cmocka_unit_test(
			process_ends_by_a_finish_reason_cut_within_a_character),
		cmocka_unit_test(delivers_each_token_once_in_order),
		cmocka_unit_test(parses_a_large_body),
		cmocka_unit_test(records_a_span_for_each_hop),
		cmocka_unit_test(continues_after_the_delivered_tokens),
		cmocka_unit_test(ends_a_failed_stream_with_an_event),
		cmocka_unit_test(last_event_of_a_stream_overruns_its_buffer),
		cmocka_unit_test(delays_cancellations),
		cmocka_unit_test(claims_not_run_only_if_nothing_was_sent),
		cmocka_unit_test(request_is_cut_at_the_end_of_a_shutdown),
		cmocka_unit_test(refuses_bad_requests),
		cmocka_unit_test(forwards_a_lookup_unchanged),
		cmocka_unit_test(server_takes_the_memory_of_all_callers),
		cmocka_unit_test(never_forwards_a_copy_of_an_earlier_answer),
		cmocka_unit_test(
			earlier_refusal_is_taken_for_one_of_the_next_prompt),
		cmocka_unit_test(answers_an_action_only_after_control),
		cmocka_unit_test(answers_after_a_long_refusal),
		cmocka_unit_test(
			sends_the_whole_answer_of_an_action_to_control),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** Request task: callers that leave or stall, deadlines, memory, shutdown. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "cases.h"
#include "lib/loopback.h"
#include "lib/fixture.h"

static fixture_t fixture;
static answer_t answer;

static const char prompt[] =
	"{\"model\":\"chat\",\"prompt\":\"hello\",\"stream\":true}";

static const finished_msg_t *finished(size_t nth)
{
	const task_msg_t *message =
		fixture_message(&fixture, TASK_MSG_FINISHED, nth);

	assert_non_null(message);
	return &message->as.finished;
}

static void serve_two(server_call_t *call, size_t index)
{
	const char *id = serve_stream_id(call);

	serve_stream(call);
	serve_chunk(call, id, 0, "a ", false);
	serve_chunk(call, id, 1, "b ", false);
}

/* @return true if the caller received data. */
static bool first_token(fixture_t *fix)
{
	return answer.size > 0;
}

/* Guards against an engine that generates on after its caller left. */
static void cancels_the_stream_of_a_caller_that_left(void **state)
{
	server_call_t *cancel;

	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
	fixture.serve = serve_two;
	fixture_call(&fixture, &answer, "POST", "/v1/completions", NULL,
		     prompt);
	assert_true(fixture_run(&fixture, first_token, 2000));
	client_call_cancel(answer.call);
	assert_int_equal(finished(0)->end, ATTEMPT_CALLER_GONE);
	assert_int_equal(finished(0)->attempt, 1);
	assert_int_equal(finished(0)->delivered_tokens, 2);
	cancel = fixture_server_call(&fixture, "DELETE", 0);
	assert_non_null(cancel);
	assert_non_null(strstr(cancel->path, "/v1/streams/vm.7."));
	fixture_stop(&fixture);
}

/* Guards against a request that stays queued after its caller left. */
static void gives_up_a_waiting_request_of_a_caller_that_left(void **state)
{
	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
	fixture.attempts_max = 0;
	fixture_call(&fixture, &answer, "POST", "/v1/completions", NULL,
		     prompt);
	assert_non_null(fixture_message(&fixture, TASK_MSG_SUBMIT, 0));
	client_call_cancel(answer.call);
	assert_int_equal(finished(0)->end, ATTEMPT_CALLER_GONE);
	assert_int_equal(finished(0)->attempt, 0);
	fixture_stop(&fixture);
}

static void serve_nothing(server_call_t *call, size_t index)
{
}

/* Guards against an action whose outcome is lost because its caller left. */
static void finishes_an_action_without_its_caller(void **state)
{
	server_call_t *call;

	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
	fixture.serve = serve_nothing;
	fixture_call(&fixture, &answer, "POST", "/services/orders/x",
		     "Idempotency-Key: k", "{}");
	call = fixture_server_call(&fixture, "POST", 0);
	assert_non_null(call);
	client_call_cancel(answer.call);
	fixture_run(&fixture, NULL, 200);
	assert_false(call->closed);
	serve_reply(call, 200, NULL, NULL, "done");
	assert_int_equal(finished(0)->end, ATTEMPT_COMPLETE);
	assert_string_equal(finished(0)->answer, "done");
	fixture_stop(&fixture);
}

/* Guards against a request that a stopped node passes on after its deadline:
 * the kernel sends it again until then at most. */
static void request_of_a_stopped_node_comes_late(void **state)
{
	enum { DEADLINE_MS = 2000 };
	static const char *const paths[] = { "/v1/completions",
					     "/services/orders/x" };
	size_t i;

	for (i = 0; i < COUNT_OF(paths); i++) {
		int limit_ms;

		fixture_start(&fixture,
			      &(fixture_conf_t){ .deadline_ms = DEADLINE_MS });
		fixture.serve = serve_nothing;
		fixture_call(&fixture, &answer, "POST", paths[i],
			     i ? "Idempotency-Key: k" : NULL, prompt);
		assert_non_null(fixture_server_call(&fixture, "POST", 0));
		limit_ms = loopback_option(listener_port(fixture.server),
					   IPPROTO_TCP, TCP_USER_TIMEOUT);
		if (limit_ms < 1 || limit_ms > DEADLINE_MS)
			fail_msg("%s: %d ms", paths[i], limit_ms);
		client_call_cancel(answer.call);
		fixture_stop(&fixture);
	}
}

/* Guards against an answer that is lost, or comes after the deadline. */
static void answers_at_the_deadline(void **state)
{
	static const struct {
		uint32_t attempts_max;
		const char *path, *header, *outcome;
		uint32_t attempt;
	} cases[] = {
		{ 0, "/v1/completions", NULL, "not-run", 0 },
		{ 1, "/v1/completions", NULL, "unknown", 1 },
		{ 0, "/services/orders/x", "Idempotency-Key: k", "not-run", 0 },
		{ 1, "/services/orders/x", "Idempotency-Key: k", "unknown", 1 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		int64_t start_us, took_us;

		fixture_start(&fixture,
			      &(fixture_conf_t){ .deadline_ms = 300 });
		fixture.attempts_max = cases[i].attempts_max;
		fixture.serve = serve_nothing;
		start_us = clock_monotonic_us();
		fixture_call(&fixture, &answer, "POST", cases[i].path,
			     cases[i].header, prompt);
		fixture_wait(&fixture, &answer);
		took_us = clock_monotonic_us() - start_us;
		assert_int_equal(answer.status, 504);
		assert_string_equal(answer.outcome, cases[i].outcome);
		assert_string_equal(answer.retry_after, "1");
		assert_in_range(took_us, 250 * US_PER_MS, 300 * US_PER_MS);
		assert_int_equal(finished(0)->end, ATTEMPT_DEADLINE);
		assert_int_equal(finished(0)->attempt, cases[i].attempt);
		fixture_stop(&fixture);
	}
}

/* Guards against a silent server that delays a request to its deadline. */
static void times_out_a_silent_server(void **state)
{
	fixture_start(&fixture, &(fixture_conf_t){ .idle_ms = 200 });
	fixture.serve = serve_two;
	fixture_call(&fixture, &answer, "POST", "/v1/completions", NULL,
		     prompt);
	assert_int_equal(finished(0)->end, ATTEMPT_TIMED_OUT);
	fixture_wait(&fixture, &answer);
	assert_non_null(strstr(answer.body, "event: chivestage"));
	assert_non_null(fixture_server_call(&fixture, "DELETE", 0));
	fixture_stop(&fixture);
}

/* A stream that the server extends as long as the request task reads. */
typedef struct {
	server_call_t *call;
	char id[128];
	int64_t offset;
} endless_stream_t;

static endless_stream_t endless;

static void serve_endless(server_call_t *call, size_t index)
{
	endless.call = call;
	endless.offset = 0;
	mem_strlcpy(endless.id, serve_stream_id(call), sizeof(endless.id));
	serve_stream(call);
}

static void fill_server_buffer(void)
{
	static const char text[] = "0123456789012345678901234567890123456789"
				   "0123456789012345678901234567890123456789";

	while (endless.call && endless.call->exchange &&
	       exchange_pending_bytes(endless.call->exchange) < 64 * 1024)
		serve_chunk(endless.call, endless.id, endless.offset++, text,
			    false);
}

/*
 * Sends a request over a socket with a small receive buffer. The answer is
 * read only when the test reads the socket.
 * @return the socket
 */
static int connect_slow_caller(void)
{
	/* The server sends tens of thousands of tokens. */
	static const char body[] =
		"{\"model\":\"chat\",\"prompt\":\"hello\",\"stream\":true,"
		"\"max_tokens\":1000000}";
	struct sockaddr_in address = { .sin_family = AF_INET };
	int size = 8 * 1024, fd = socket(AF_INET, SOCK_STREAM, 0);
	char text[512];
	int length = snprintf(text, sizeof(text),
			      "POST /v1/completions HTTP/1.1\r\nHost: a\r\n"
			      "Authorization: Bearer secret\r\n"
			      "Content-Length: %zu\r\n\r\n%s",
			      strlen(body), body);

	address.sin_port = htons(request_task_port(fixture.task));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(write(fd, text, (size_t)length), length);
	return fd;
}

/* Writes chunks until the request task reads nothing for 100 ms. */
static void fill_until_paused(void)
{
	int64_t offset = -1;

	assert_non_null(fixture_server_call(&fixture, "POST", 0));
	while (offset != endless.offset) {
		int i;

		offset = endless.offset;
		for (i = 0; i < 10; i++) {
			fill_server_buffer();
			fixture_run(&fixture, NULL, 10);
		}
		/* 40000 chunks take 8 MiB, far more than all buffers hold. */
		assert_in_range(endless.offset, 1, 40000);
	}
}

/*
 * A caller that stops reading must not fill the memory of the node with its
 * reply, and must not hold its stream for ever.
 */
static void disconnects_a_caller_that_stops_reading(void **state)
{
	int fd, i;

	fixture_start(&fixture, &(fixture_conf_t){ .stall_ms = 1000 });
	fixture.serve = serve_endless;
	fd = connect_slow_caller();
	fill_until_paused();
	assert_in_range(metrics_get(METRIC_MEMORY_HELD_BYTES), 1,
			4 * 1024 * 1024);
	assert_int_equal(finished(0)->end, ATTEMPT_CALLER_GONE);
	assert_non_null(fixture_server_call(&fixture, "DELETE", 0));
	for (i = 0; i < 100 && metrics_get(METRIC_MEMORY_HELD_BYTES); i++)
		fixture_run(&fixture, NULL, 10);
	assert_int_equal(metrics_get(METRIC_MEMORY_HELD_BYTES), 0);
	close(fd);
	fixture_stop(&fixture);
}

/* Guards against a stream that stays paused once its caller reads again. */
static void continues_when_a_caller_reads_again(void **state)
{
	static char data[64 * 1024];
	int64_t offset, end_us;
	int fd;

	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
	fixture.serve = serve_endless;
	fd = connect_slow_caller();
	fill_until_paused();
	offset = endless.offset;
	end_us = clock_monotonic_us() + 4 * US_PER_S;
	while (endless.offset < offset + 10000 &&
	       clock_monotonic_us() < end_us) {
		while (recv(fd, data, sizeof(data), MSG_DONTWAIT) > 0)
			;
		fill_server_buffer();
		fixture_run(&fixture, NULL, 1);
	}
	assert_in_range(endless.offset, offset + 10000, INT64_MAX);
	close(fd);
	fixture_stop(&fixture);
}

/* Guards against a body that is received without a memory reservation. */
static void refuses_a_body_without_memory_before_reading_it(void **state)
{
	fixture_start(&fixture,
		      &(fixture_conf_t){ .memory_bytes = 256 * 1024,
					 .body_max_bytes = 64 * 1024 * 1024 });
	/* The headers announce a body, but none is sent. */
	fixture_call(&fixture, &answer, "POST", "/v1/completions",
		     "Content-Length: 20000000", NULL);
	fixture_wait(&fixture, &answer);
	assert_int_equal(answer.status, 503);
	assert_non_null(strstr(answer.body, "memory_full"));
	assert_string_equal(answer.retry_after, "1");
	fixture_stop(&fixture);
}

/* Guards against an account that uses all capacity of a node. */
static void limits_the_requests_of_an_account(void **state)
{
	static answer_t second;

	fixture_start(&fixture, &(fixture_conf_t){ .max_in_flight = 1 });
	fixture.attempts_max = 0;
	fixture_call(&fixture, &answer, "POST", "/v1/completions", NULL,
		     prompt);
	assert_non_null(fixture_message(&fixture, TASK_MSG_SUBMIT, 0));
	fixture_call(&fixture, &second, "POST", "/v1/completions", NULL,
		     prompt);
	fixture_wait(&fixture, &second);
	assert_int_equal(second.status, 429);
	assert_string_equal(second.retry_after, "1");
	client_call_cancel(answer.call);
	assert_int_equal(finished(0)->end, ATTEMPT_CALLER_GONE);
	fixture_call(&fixture, &second, "POST", "/v1/completions", NULL,
		     prompt);
	assert_non_null(fixture_message(&fixture, TASK_MSG_SUBMIT, 1));
	fixture_stop(&fixture);
}

/* Guards against a shutdown that aborts a request, or never ends. */
static void reports_idle_after_the_last_request(void **state)
{
	server_call_t *call;
	static answer_t rejected;

	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
	fixture.serve = serve_nothing;
	fixture_call(&fixture, &answer, "GET", "/services/status/x", NULL,
		     NULL);
	call = fixture_server_call(&fixture, "GET", 0);
	assert_non_null(call);
	fixture_send(&fixture, task_msg_create(TASK_MSG_DRAIN, 0));
	fixture_run(&fixture, NULL, 100);
	assert_int_equal(fixture.message_count, 1);
	fixture_call(&fixture, &rejected, "GET", "/services/status/x", NULL,
		     NULL);
	fixture_wait(&fixture, &rejected);
	assert_int_equal(rejected.status, 503);
	assert_string_equal(rejected.outcome, "not-run");
	serve_reply(call, 200, NULL, NULL, "done");
	fixture_wait(&fixture, &answer);
	assert_string_equal(answer.body, "done");
	assert_non_null(fixture_message(&fixture, TASK_MSG_IDLE, 0));
	fixture_stop(&fixture);
}

/* Guards against requests that are admitted without a configuration. */
static void refuses_before_the_first_configuration(void **state)
{
	fixture_start(&fixture, &(fixture_conf_t){ .no_document = true });
	fixture_call(&fixture, &answer, "POST", "/v1/completions", NULL,
		     prompt);
	fixture_wait(&fixture, &answer);
	assert_int_equal(answer.status, 503);
	assert_non_null(strstr(answer.body, "not_ready"));
	fixture_stop(&fixture);
}

/* Guards against an attempt that starts after its request ended. */
static void returns_a_dispatch_for_a_request_that_is_gone(void **state)
{
	task_msg_t *message = task_msg_create(TASK_MSG_DISPATCH, 99);

	fixture_start(&fixture, &(fixture_conf_t){ .deadline_ms = 0 });
	message->as.dispatch.stream_id.attempt = 3;
	fixture_send(&fixture, message);
	assert_int_equal(finished(0)->end, ATTEMPT_CALLER_GONE);
	assert_int_equal(finished(0)->attempt, 3);
	assert_int_equal(fixture.call_count, 0);
	fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cancels_the_stream_of_a_caller_that_left),
		cmocka_unit_test(
			gives_up_a_waiting_request_of_a_caller_that_left),
		cmocka_unit_test(finishes_an_action_without_its_caller),
		cmocka_unit_test(request_of_a_stopped_node_comes_late),
		cmocka_unit_test(answers_at_the_deadline),
		cmocka_unit_test(times_out_a_silent_server),
		cmocka_unit_test(disconnects_a_caller_that_stops_reading),
		cmocka_unit_test(continues_when_a_caller_reads_again),
		cmocka_unit_test(
			refuses_a_body_without_memory_before_reading_it),
		cmocka_unit_test(limits_the_requests_of_an_account),
		cmocka_unit_test(reports_idle_after_the_last_request),
		cmocka_unit_test(refuses_before_the_first_configuration),
		cmocka_unit_test(returns_a_dispatch_for_a_request_that_is_gone),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

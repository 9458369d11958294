/** HTTP client: answers that come before the request is sent, and statuses that
 * are none. */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"
#include "cases.h"
#include "connection/client.h"
#include "lib/raw_server.h"

enum {
	UPLOAD_BYTES = 4 << 20,
	/* The buffers of the kernel take all of it, the server none. */
	BUFFERED_BYTES = 1 << 20,
	SHORT_UPLOAD_BYTES = 10,
	LONG_PART_BYTES = 300 * 1024, /* more than a node holds */
	CALL_MAX_MS = 3000,
	TRIES = 6, /* of each early answer, half of them buffered: the moment of
		    * the reset varies */
	LINE_BYTES = 128
};

typedef struct {
	bool ended, has_head;
	client_end_t end;
	int status;
	size_t size;
} call_log_t;

static struct ev_loop *loop;
static client_t *client;
static raw_server_t server;
static char upload[UPLOAD_BYTES];

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	memset(upload, 'u', sizeof(upload));
	loop = ev_loop_new(EVFLAG_AUTO);
	client = client_create(loop, NULL);
	raw_server_start(&server, loop);
	return 0;
}

static int tear_down(void **state)
{
	raw_server_stop(&server);
	client_destroy(client);
	ev_loop_destroy(loop);
	return 0;
}

static void on_status(void *context, int status)
{
	call_log_t *log = context;

	log->has_head = true;
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	call_log_t *log = context;

	if (!log->has_head)
		fail_msg("%zu bytes of a body before the status", size);
	log->size += size;
	return CLIENT_CONTINUE;
}

static void on_end(void *context, client_end_t end, int status)
{
	call_log_t *log = context;

	log->ended = true;
	log->end = end;
	log->status = status;
}

static call_log_t call(const raw_answer_t *answer, const char *method,
		       size_t upload_bytes)
{
	call_log_t log = { .ended = false };
	char url[64];
	client_request_t request = { .method = method,
				     .url = url,
				     .body = upload_bytes ? upload : NULL,
				     .body_size_bytes = upload_bytes,
				     .connect_timeout_ms = 1000,
				     .at_most_once = true };
	client_handler_t handler = { .on_status = on_status,
				     .on_data = on_data,
				     .on_end = on_end,
				     .context = &log };
	int64_t end_us = clock_monotonic_us() + CALL_MAX_MS * US_PER_MS;

	raw_server_script(&server, answer, 1);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/x", server.port);
	client_call(client, &request, &handler);
	while (!log.ended && clock_monotonic_us() < end_us) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(200);
	}
	assert_true(log.ended);
	return log;
}

#define OK "HTTP/1.1 200 OK\r\n"
#define PLAIN OK "X: 1\r\n\r\n"
#define CLOSING OK "Connection: close\r\n\r\n"
#define OLD "HTTP/1.0 200 OK\r\n\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define TOO_LARGE "HTTP/1.1 413 Too Large\r\n"

/*
 * Guards against a part of an answer that is taken for all of it, where the
 * server answers a long request before it has read it, and against a whole
 * answer that is lost there.
 */
static void early_answer_is_cut_or_lost(void **state)
{
	static const struct {
		const char *name;
		raw_answer_t answer;
		client_end_t end;
	} cases[] = {
		{ "part, reset after 20 ms",
		  { PLAIN, "part", 0, false, true, 20, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "part, reset after 400 ms",
		  { PLAIN, "part", 0, false, true, 400, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "part, reset at once",
		  { PLAIN, "part", 0, false, true, 0, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "part, connection: close, 20 ms",
		  { CLOSING, "part", 0, false, true, 20, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "part, connection: close, 400 ms",
		  { CLOSING, "part", 0, false, true, 400, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "part, HTTP/1.0, 20 ms",
		  { OLD, "part", 0, false, true, 20, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "part, HTTP/1.0, 400 ms",
		  { OLD, "part", 0, false, true, 400, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "long part, 20 ms",
		  { PLAIN, "part", LONG_PART_BYTES, false, true, 20,
		    RAW_RESETS },
		  CLIENT_BROKEN },
		{ "long part, connection: close, 400 ms",
		  { CLOSING, "part", LONG_PART_BYTES, false, true, 400,
		    RAW_RESETS },
		  CLIENT_BROKEN },
		{ "chunk, 20 ms",
		  { CHUNKED, "part", 0, true, true, 20, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "long chunk, 400 ms",
		  { CHUNKED, "part", LONG_PART_BYTES, true, true, 400,
		    RAW_RESETS },
		  CLIENT_BROKEN },
		{ "part of a length, 20 ms",
		  { OK "Content-Length: 5\r\n\r\n", "part", 0, false, true, 20,
		    RAW_RESETS },
		  CLIENT_BROKEN },
		{ "error without length, 20 ms",
		  { TOO_LARGE "\r\n", "part", 0, false, true, 20, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "error without length, connection: close, 400 ms",
		  { TOO_LARGE "Connection: close\r\n\r\n", "part", 0, false,
		    true, 400, RAW_RESETS },
		  CLIENT_BROKEN },
		{ "whole error, 20 ms",
		  { TOO_LARGE "Content-Length: 5\r\n\r\n", "large", 0, false,
		    true, 20, RAW_RESETS },
		  CLIENT_OK },
		{ "whole error, reset at once",
		  { TOO_LARGE "Content-Length: 5\r\n\r\n", "large", 0, false,
		    true, 0, RAW_RESETS },
		  CLIENT_OK },
		{ "whole error, connection: close, 20 ms",
		  { TOO_LARGE "Connection: close\r\nContent-Length: 5\r\n\r\n",
		    "large", 0, false, true, 20, RAW_RESETS },
		  CLIENT_OK },
		{ "whole error that ends the connection",
		  { TOO_LARGE "Connection: close\r\nContent-Length: 5\r\n\r\n",
		    "large", 0, false, true, 20, RAW_ENDS },
		  CLIENT_OK },
		{ "whole error, the rest is read",
		  { TOO_LARGE "Content-Length: 5\r\n\r\n", "large", 0, false,
		    true, 0, RAW_STAYS },
		  CLIENT_OK },
		{ "whole error in a chunk",
		  { TOO_LARGE "Transfer-Encoding: chunked\r\n\r\n", "large", 0,
		    true, true, 20, RAW_ENDS },
		  CLIENT_OK },
		/* Without length, nothing shows that the error is whole. */
		{ "error without length",
		  { TOO_LARGE "Connection: close\r\n\r\n", "large", 0, false,
		    true, 20, RAW_ENDS },
		  CLIENT_BROKEN },
		{ "part, no reset",
		  { PLAIN, "part", 0, false, true, 20, RAW_ENDS_UNREAD },
		  CLIENT_BROKEN },
		{ "part, connection: close, no reset",
		  { CLOSING, "part", 0, false, true, 0, RAW_ENDS_UNREAD },
		  CLIENT_BROKEN },
		{ "part that is not chunked, no reset",
		  { OK "Transfer-Encoding: identity\r\n\r\n", "part", 0, false,
		    true, 20, RAW_ENDS_UNREAD },
		  CLIENT_BROKEN },
		{ "part, HTTP/1.0, no reset",
		  { OLD, "part", 0, false, true, 0, RAW_ENDS },
		  CLIENT_BROKEN },
		{ "whole answer, reset after 20 ms",
		  { OK "Content-Length: 5\r\n\r\n", "whole", 0, false, true, 20,
		    RAW_RESETS },
		  CLIENT_OK },
		{ "whole answer, the rest is read",
		  { OK "Content-Length: 5\r\n\r\n", "whole", 0, false, true, 20,
		    RAW_STAYS },
		  CLIENT_OK },
		{ "whole answer, without length, after the request",
		  { CLOSING, "whole", 0, false, false, 0, RAW_ENDS },
		  CLIENT_OK },
		{ "whole answer without body",
		  { "HTTP/1.1 204 Empty\r\n\r\n", NULL, 0, false, true, 20,
		    RAW_STAYS },
		  CLIENT_OK },
	};
	size_t i, failed = 0;
	int try;

	for (i = 0; i < COUNT_OF(cases); i++) {
		for (try = 0; try < TRIES; try++) {
			call_log_t log =
				call(&cases[i].answer, "POST",
				     try % 2 ? BUFFERED_BYTES : UPLOAD_BYTES);

			if (log.end == cases[i].end)
				continue;
			print_error(
				"%s, try %d: end %d in place of %d, status %d, "
				"%zu bytes\n",
				cases[i].name, try, (int)log.end,
				(int)cases[i].end, log.status, log.size);
			failed++;
			break;
		}
	}
	assert_int_equal(failed, 0);
}

/* Guards against a status outside 100 to 599 that is taken for an answer, and
 * against the body of an answer without a status. */
static void status_that_is_none_is_an_answer(void **state)
{
	static const struct {
		const char *line;
		client_end_t end;
		int status; /* of an answer */
	} cases[] = {
		{ "HTTP/1.1 000 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 001 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 099 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 20 OK", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 0200 OK", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 2000 OK", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 600 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 999 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.0 600 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 -20 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 2x0 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 200X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 101 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 100 X", CLIENT_INVALID, 0 },
		{ "HTTP/1.1 200 OK", CLIENT_OK, 200 },
		{ "HTTP/1.1 200", CLIENT_OK, 200 },
		{ "HTTP/1.1 300 X", CLIENT_OK, 300 },
		{ "HTTP/1.0 599 X", CLIENT_OK, 599 },
	};
	static const char *const framings[] = {
		"Content-Length: 4\r\n\r\n", "Connection: close\r\n\r\n",
		"Transfer-Encoding: chunked\r\n\r\n"
	};
	size_t i, failed = 0;

	for (i = 0; i < COUNT_OF(cases) * COUNT_OF(framings); i++) {
		size_t nth = i / COUNT_OF(framings);
		const char *framing = framings[i % COUNT_OF(framings)];
		char head[LINE_BYTES * 2];
		raw_answer_t answer = { head,	 "body",
					0,	 strstr(framing, "chunked"),
					false,	 0,
					RAW_ENDS };
		call_log_t log;

		snprintf(head, sizeof(head), "%s\r\n%s", cases[nth].line,
			 framing);
		log = call(&answer, "POST", SHORT_UPLOAD_BYTES);
		if (log.end == cases[nth].end &&
		    log.has_head == (cases[nth].status != 0) &&
		    log.status == cases[nth].status)
			continue;
		print_error("\"%s\", %.17s: end %d, status %d, head %d, %zu "
			    "bytes\n",
			    cases[nth].line, framing, (int)log.end, log.status,
			    log.has_head, log.size);
		failed++;
	}
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(early_answer_is_cut_or_lost),
		cmocka_unit_test(status_that_is_none_is_an_answer),
	};

	return cmocka_run_group_tests(tests, set_up, tear_down);
}

/**
 * Own interface: answers of engines and plain services that are cut off while
 * the request is still being sent to them, or that have no valid status.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "lib/fixture.h"
#include "lib/raw_server.h"

enum {
	UPLOAD_BYTES = 4 << 20,
	BODY_MAX_BYTES = 8 << 20,
	LONG_PART_BYTES = 300 * 1024,
	HEADERS_SIZE_BYTES = 20000
};

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define TOKEN(attempt, offset, text, reason)                             \
	"data: {\"stream_id\":\"vm.7.1." attempt "\",\"offset\":" offset \
	",\"choices\":[{\"text\":\"" text "\",\"finish_reason\":" reason \
	"}]}\n\n"
#define TOKENS(attempt)                   \
	TOKEN(attempt, "0", "a ", "null") \
	TOKEN(attempt, "1", "b ", "null") \
	TOKEN(attempt, "2", "c ", "\"length\"") "data: [DONE]\n\n"

/** Kinds of request. */
typedef enum { STREAM, COMPLETION, LOOKUP, ORDER, KINDS } kind_t;

static const struct {
	const char *name, *path, *header, *begin, *end; /* of the body */
} kinds[KINDS] = {
	{ "stream", "/v1/completions", NULL,
	  "{\"model\":\"chat\",\"stream\":true,\"max_tokens\":3,\"prompt\":\"",
	  "\"}" },
	{ "completion", "/v1/completions", NULL,
	  "{\"model\":\"chat\",\"max_tokens\":3,\"prompt\":\"", "\"}" },
	{ "lookup", "/services/status/7", NULL, "", "" },
	{ "order", "/services/orders/7", "Idempotency-Key: k", "", "" },
};

static fixture_t fixture;
static const char *more_headers; /* of requests; NULL: none */
static raw_server_t server;
static answer_t answer;

/* @return header lines of a request; NULL: none */
static const char *make_headers(kind_t kind)
{
	static char text[HEADERS_SIZE_BYTES];
	const char *header = kinds[kind].header;

	if (!more_headers)
		return header;
	snprintf(text, sizeof(text), "%s%s%s", header ? header : "",
		 header ? "\r\n" : "", more_headers);
	return text;
}

/* Plays an answer of the server, which gives whole ones after it. */
static void play(const raw_answer_t *first, kind_t kind, size_t body_bytes)
{
	bool is_model = kind == STREAM || kind == COMPLETION;
	/* An engine whose connection breaks is asked for the rest; one with an
	 * invalid answer is given up, as all plain services are. */
	raw_answer_t answers[] = {
		*first,
		{ OK CHUNKED,
		  !is_model	    ? "whole"
		  : first->is_early ? TOKENS("1")
				    : TOKENS("2"),
		  .is_chunked = true, .end = RAW_ENDS },
	};
	size_t size = body_bytes + strlen(kinds[kind].begin);
	char *body = test_calloc(size + strlen(kinds[kind].end) + 1, 1),
	     url[64];

	memcpy(body, kinds[kind].begin, size - body_bytes);
	memset(body + size - body_bytes, 'u', body_bytes);
	memcpy(body + size, kinds[kind].end, strlen(kinds[kind].end));
	fixture_start(&fixture,
		      &(fixture_conf_t){ .body_max_bytes = BODY_MAX_BYTES });
	raw_server_start(&server, fixture.loop);
	raw_server_script(&server, answers, COUNT_OF(answers));
	snprintf(url, sizeof(url), "http://127.0.0.1:%d", server.port);
	fixture.dispatch_url = url;
	/* The control task repeats no order. */
	fixture.attempts_max = kind == ORDER ? 1 : 2;
	answer.discards = false;
	fixture_call(&fixture, &answer, "POST", kinds[kind].path,
		     make_headers(kind), body);
	answer.discards = first->filler_bytes > 0;
	fixture_wait(&fixture, &answer);
	raw_server_stop(&server);
	fixture_stop(&fixture);
	test_free(body);
}

static bool is_whole(kind_t kind)
{
	if (answer.end != CLIENT_OK || answer.status != 200)
		return false;
	switch (kind) {
	case STREAM:
		return strstr(answer.body, "\"a \"") &&
		       strstr(answer.body, "\"b \"") &&
		       strstr(answer.body, "\"c \"") &&
		       strstr(answer.body, "[DONE]");
	case COMPLETION:
		return strstr(answer.body, "\"text\":\"a b c \"");
	case LOOKUP:
	case ORDER:
	case KINDS:
		break;
	}
	return !strcmp(answer.body, "whole");
}

/* @return 1 after a message if the outcome is not @p expected, else 0 */
static size_t judge(const char *name, kind_t kind, bool expected,
		    size_t arrivals)
{
	if (expected && server.arrivals == arrivals)
		return 0;
	print_error("%s, %s: end %d, status %d, %zu bytes, %zu arrivals in "
		    "place of %zu\n%.200s\n",
		    name, kinds[kind].name, (int)answer.end, answer.status,
		    answer.size, server.arrivals, arrivals, answer.body);
	return 1;
}

/* Guards against a part of an answer that is taken for all of it, and against
 * the rest of another answer that is joined to it. */
static void part_of_an_early_answer_is_taken_for_all(void **state)
{
	static const struct {
		const char *name, *head;
		size_t filler_bytes;
		bool is_chunked;
		int64_t end_ms;
		raw_end_t end;
	} cases[] = {
		{ "part, 20 ms", OK "\r\n", 0, false, 20, RAW_RESETS },
		{ "part, 400 ms", OK "\r\n", 0, false, 400, RAW_RESETS },
		{ "part, connection: close, 20 ms",
		  OK "Connection: close\r\n\r\n", 0, false, 20, RAW_RESETS },
		{ "part, connection: close, 400 ms",
		  OK "Connection: close\r\n\r\n", 0, false, 400, RAW_RESETS },
		{ "part, HTTP/1.0, 20 ms", "HTTP/1.0 200 OK\r\n\r\n", 0, false,
		  20, RAW_RESETS },
		{ "part of a length, 20 ms", OK "Content-Length: 900\r\n\r\n",
		  0, false, 20, RAW_RESETS },
		{ "part, no reset", OK "\r\n", 0, false, 20, RAW_ENDS_UNREAD },
		{ "chunk, 20 ms", OK CHUNKED, 0, true, 20, RAW_RESETS },
		{ "long part, 400 ms", OK "\r\n", LONG_PART_BYTES, false, 400,
		  RAW_RESETS },
		{ "long chunk, 400 ms", OK CHUNKED, LONG_PART_BYTES, true, 400,
		  RAW_RESETS },
	};
	size_t i, failed = 0;

	for (i = 0; i < COUNT_OF(cases) * KINDS; i++) {
		size_t nth = i / KINDS;
		kind_t kind = (kind_t)(i % KINDS);
		raw_answer_t first = { cases[nth].head,
				       TOKEN("1", "0", "a ", "null"),
				       cases[nth].filler_bytes,
				       cases[nth].is_chunked,
				       true,
				       cases[nth].end_ms,
				       cases[nth].end };
		bool is_long = cases[nth].filler_bytes > 0;

		play(&first, kind, UPLOAD_BYTES);
		if (is_long)
			failed += judge(cases[nth].name, kind,
					kind == ORDER ? answer.status == 502
					: kind == LOOKUP
						? answer.end != CLIENT_OK
						: answer.status != 0,
					server.arrivals);
		else
			failed += judge(cases[nth].name, kind,
					kind == ORDER ? answer.status == 502
						      : is_whole(kind),
					kind == ORDER ? 1 : 2);
	}
	assert_int_equal(failed, 0);
}

/* Guards against a whole answer that is lost since it comes early. */
static void whole_early_answer_is_lost(void **state)
{
	static const raw_answer_t answers[] = {
		{ "HTTP/1.1 413 Large\r\nContent-Length: 5\r\n\r\n", "large", 0,
		  false, true, 20, RAW_RESETS },
		/* Of plain services; engines send events. */
		{ "HTTP/1.1 201 Made\r\nContent-Length: 5\r\n\r\n", "whole", 0,
		  false, true, 20, RAW_RESETS },
	};
	size_t i, failed = 0;
	kind_t kind;

	for (i = 0; i < COUNT_OF(answers); i++) {
		for (kind = i ? LOOKUP : STREAM; kind < KINDS; kind++) {
			play(&answers[i], kind, UPLOAD_BYTES);
			failed += judge(
				answers[i].head, kind,
				answer.end == CLIENT_OK &&
					answer.status == (i ? 201 : 413) &&
					!strcmp(answer.body, answers[i].body),
				1);
		}
	}
	assert_int_equal(failed, 0);
}

/* Guards against a status outside 100 to 599 that a caller gets. */
static void status_that_is_none_reaches_a_caller(void **state)
{
	static const char *const statuses[] = { "000",	"099", "20",
						"0200", "600", "999" };
	size_t i, failed = 0;

	for (i = 0; i < COUNT_OF(statuses) * KINDS; i++) {
		const char *status = statuses[i / KINDS];
		kind_t kind = (kind_t)(i % KINDS);
		char head[128];
		raw_answer_t first = { head, "body", .end = RAW_ENDS };

		snprintf(head, sizeof(head),
			 "HTTP/1.1 %s X\r\nContent-Length: 4\r\n\r\n", status);
		play(&first, kind, 1);
		failed += judge(status, kind,
				kind == ORDER ? answer.status == 502
					      : is_whole(kind),
				kind == ORDER ? 1 : 2);
	}
	assert_int_equal(failed, 0);
}

/* Guards against requests that run and are not answered, since their headers
 * and those of the answer share a bound. */
static void headers_cost_the_answer(void **state)
{
	static const struct {
		const char *name;
		size_t count, bytes; /* further headers, each */
		size_t answer_bytes; /* of a header of the answer */
	} cases[] = {
		{ "8,000 bytes in 320 headers", 320, 25, 1200 },
		{ "12,600 bytes in 50 headers", 50, 245, 1200 },
		{ "16,000 bytes in 2 headers", 2, 8000, 1200 },
		{ "16,000 bytes in 640 headers", 640, 25, 1200 },
		{ "an answer of 30,000 bytes", 1, 20, 30000 },
	};
	static char text[HEADERS_SIZE_BYTES], head[2 * HEADERS_SIZE_BYTES];
	size_t c, i, failed = 0;
	kind_t kind;

	for (c = 0; c < COUNT_OF(cases); c++) {
		char *at = text;

		for (i = 0; i < cases[c].count; i++)
			at += sprintf(at, "%sX-%03zu: %0*d", i ? "\r\n" : "", i,
				      (int)cases[c].bytes - 9, 0);
		snprintf(head, sizeof(head),
			 OK "Content-Type: text/%0*d\r\n" CHUNKED,
			 (int)cases[c].answer_bytes, 0);
		more_headers = text;
		for (kind = STREAM; kind < KINDS; kind++) {
			bool is_model = kind == STREAM || kind == COMPLETION;
			raw_answer_t first = { head,
					       is_model ? TOKENS("1") : "whole",
					       .is_chunked = true,
					       .end = RAW_ENDS };

			play(&first, kind, 1);
			failed += judge(cases[c].name, kind, is_whole(kind), 1);
		}
	}
	more_headers = NULL;
	assert_int_equal(failed, 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(headers_cost_the_answer),
		cmocka_unit_test(status_that_is_none_reaches_a_caller),
		cmocka_unit_test(whole_early_answer_is_lost),
		cmocka_unit_test(part_of_an_early_answer_is_taken_for_all),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/**
 * Answers of servers that are cut off while the request is still being sent to
 * them, or that have no valid status: what callers get, from the node that they
 * asked and through another node.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "lib/raw_server.h"
#include "process/gateway.h"

enum {
	UPLOAD_BYTES = 4 << 20,
	BODY_MAX_BYTES = 8 << 20,
	LONG_PART_BYTES = 300 * 1024, /* more than a node holds */
	MEET_MS = 10000, /* until nodes know of each other */
	CALL_MAX_MS = 2500,
	TIMEOUT_MS = 60000,
	STOP_MS = 4000 /* of the fixture */
};

#define SEALED "X-Server-Seal: 1.2\r\n"
#define OK "HTTP/1.1 200 OK\r\n" SEALED
#define EVENT(n) "id: " n "\ndata: e" n "\n\n"
#define ALL_EVENTS EVENT("1") EVENT("2") EVENT("3") EVENT("4")

/** A node, and in relayed plays another one, cut off from its own servers, that
 * passes requests on to it. */
typedef struct {
	gateway_fixture_t node, near;
	raw_server_t server;
	bool is_relayed;
	bool is_hanging; /* requests have much time, since no answer comes */
} play_t;

/** Kinds of request, by the paths of their routes. */
typedef enum { LOOKUP, ORDER, STREAM, SINGLE, KINDS } kind_t;

static const char *const paths[KINDS] = { "/safe/x", "/once/x", "/stream/x",
					  "/single/x" };

static const raw_answer_t whole_answer = { OK "Content-Length: 10\r\n\r\n",
					   "0123456789", .end = RAW_ENDS };
static const raw_answer_t whole_stream = {
	OK
	"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
	ALL_EVENTS, .is_chunked = true, .end = RAW_ENDS
};

static play_t play;
static char upload[UPLOAD_BYTES + 1];

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	memset(upload, 'u', UPLOAD_BYTES);
	return 0;
}

static bool is_stream(kind_t kind)
{
	return kind == STREAM || kind == SINGLE;
}

static bool may_repeat(kind_t kind)
{
	return kind == LOOKUP || kind == STREAM;
}

/* All servers of the node are the raw server. */
static void edit(const gateway_fixture_t *fixture, const char *path,
		 json_t *spec)
{
	json_t *limits = json_object_get(spec, "limits"), *route;
	size_t i;
	char address[64];

	snprintf(address, sizeof(address), "127.0.0.1:%d", play.server.port);
	if (!strcmp(path, "/objects/servers") && fixture == &play.node)
		json_object_set_new(spec, "address", json_string(address));
	json_array_foreach(json_object_get(spec, "routes"), i, route)
	{
		if (play.is_hanging)
			json_object_set_new(route, "timeoutMs",
					    json_integer(TIMEOUT_MS));
	}
	if (limits)
		json_object_set_new(limits, "bodyBytes",
				    json_integer(BODY_MAX_BYTES));
}

static void run(void)
{
	ev_run(play.server.loop, EVRUN_NOWAIT);
	ev_run(play.node.loop, EVRUN_NOWAIT);
	if (play.is_relayed)
		ev_run(play.near.loop, EVRUN_NOWAIT);
	usleep(100);
}

static const char *const usual_headers[] = { "Host: h", "X-Request-Id: r1",
					     "X-Deadline-Ms: 1400",
					     FIXTURE_AUTHORIZATION, NULL };

static reply_t call_with(const char *path, const char *const *headers,
			 const char *body)
{
	int64_t end_us = clock_monotonic_us() + CALL_MAX_MS * US_PER_MS;
	static reply_t reply;

	gateway_fixture_call(play.is_relayed ? &play.near : &play.node, &reply,
			     "POST", path, headers, body);
	/* Only the length of a long answer is checked. */
	reply.discards = body == upload;
	while (!reply.ended && clock_monotonic_us() < end_us)
		run();
	assert_true(reply.ended);
	return reply;
}

static bool knows(const gateway_fixture_t *fixture)
{
	return gateway_is_ready(fixture->gateway) &&
	       (!play.is_relayed ||
		(fixture->gateway->peer_count &&
		 load_table_node_count(fixture->gateway->load_table)));
}

static reply_t call(const char *path, const char *body)
{
	return call_with(path, usual_headers, body);
}

/* Cuts the node that callers ask off, and waits until it knows of it. */
static void cut_near(void)
{
	int64_t end_us = clock_monotonic_us() + MEET_MS * US_PER_MS;
	size_t i;

	for (i = 0; i < COUNT_OF(play.near.servers); i++)
		gateway_fixture_cut_server(&play.near, &play.near.servers[i],
					   CUT_REFUSES);
	while (!backends_is_cut_off(play.near.gateway->backends, "s")) {
		assert_true(clock_monotonic_us() < end_us);
		call("/safe/x", "body");
	}
}

static void start_with(bool is_relayed, bool is_hanging)
{
	int64_t end_us = clock_monotonic_us() + MEET_MS * US_PER_MS;
	static struct ev_loop *loop;

	memset(&play, 0, sizeof(play));
	play.is_hanging = is_hanging;
	play.is_relayed = is_relayed;
	loop = ev_loop_new(EVFLAG_AUTO);
	raw_server_start(&play.server, loop);
	raw_server_script(&play.server, &whole_answer, 1);
	play.node = (gateway_fixture_t){
		.node_id = "n2", .edit = edit, .keys_stay = true, .slots = 100
	};
	play.near = (gateway_fixture_t){ .node_id = "n1",
					 .edit = edit,
					 .has_health = true,
					 .keys_stay = true,
					 .slots = 100 };
	if (is_relayed) {
		play.near.other = &play.node;
		play.node.other = &play.near;
		gateway_fixture_start(&play.near);
	}
	gateway_fixture_start(&play.node);
	while (!knows(&play.node) || (is_relayed && !knows(&play.near))) {
		assert_true(clock_monotonic_us() < end_us);
		run();
	}
	if (is_relayed)
		cut_near();
}

static void start(bool is_relayed)
{
	start_with(is_relayed, false);
}

static void stop(void)
{
	struct ev_loop *loop = play.server.loop;

	raw_server_stop(&play.server);
	gateway_fixture_stop(&play.node);
	if (play.is_relayed)
		gateway_fixture_stop(&play.near);
	ev_loop_destroy(loop);
}

/* Plays an answer of the server, which gives whole ones after it. */
static reply_t play_answer(const raw_answer_t *first, kind_t kind,
			   const char *body)
{
	raw_answer_t answers[] = { *first, is_stream(kind) ? whole_stream
							   : whole_answer };

	raw_server_script(&play.server, answers, COUNT_OF(answers));
	return call(paths[kind], body);
}

static bool is_whole(const reply_t *reply, kind_t kind)
{
	const char *body = (is_stream(kind) ? whole_stream : whole_answer).body;

	return reply->end == CLIENT_OK && reply->status == 200 &&
	       reply->size == strlen(body) &&
	       (reply->discards || !strcmp(reply->body, body));
}

/* @return 1 after a message if the outcome is not @p expected, else 0 */
static size_t judge(const char *name, kind_t kind, const reply_t *reply,
		    bool expected, size_t arrivals)
{
	if (expected && play.server.arrivals == arrivals)
		return 0;
	print_error("%s, %s%s: end %d, status %d, %zu bytes, %zu arrivals "
		    "in place of %zu\n",
		    name, paths[kind], play.is_relayed ? ", relayed" : "",
		    (int)reply->end, reply->status, reply->size,
		    play.server.arrivals, arrivals);
	return 1;
}

static const struct {
	const char *name, *head, *body;
	size_t filler_bytes;
	bool is_chunked;
	int64_t end_ms;
	raw_end_t end;
} parts[] = {
	{ "part, 20 ms", OK "\r\n", EVENT("1"), 0, false, 20, RAW_RESETS },
	{ "part, 400 ms", OK "\r\n", EVENT("1"), 0, false, 400, RAW_RESETS },
	{ "part, connection: close, 20 ms", OK "Connection: close\r\n\r\n",
	  EVENT("1"), 0, false, 20, RAW_RESETS },
	{ "part, connection: close, 400 ms", OK "Connection: close\r\n\r\n",
	  EVENT("1"), 0, false, 400, RAW_RESETS },
	{ "part, HTTP/1.0, 20 ms", "HTTP/1.0 200 OK\r\n" SEALED "\r\n",
	  EVENT("1"), 0, false, 20, RAW_RESETS },
	{ "part of an event, 20 ms", OK "\r\n", EVENT("1") "id: 2\nda", 0,
	  false, 20, RAW_RESETS },
	{ "part of a length, 20 ms", OK "Content-Length: 900\r\n\r\n",
	  EVENT("1"), 0, false, 20, RAW_RESETS },
	{ "chunk, 20 ms", OK "Transfer-Encoding: chunked\r\n\r\n", EVENT("1"),
	  0, true, 20, RAW_RESETS },
	{ "long part, 400 ms", OK "Connection: close\r\n\r\n", EVENT("1"),
	  LONG_PART_BYTES, false, 400, RAW_RESETS },
	{ "long chunk, 400 ms", OK "Transfer-Encoding: chunked\r\n\r\n",
	  EVENT("1"), LONG_PART_BYTES, true, 400, RAW_RESETS },
	{ "part, no reset", OK "\r\n", EVENT("1"), 0, false, 20,
	  RAW_ENDS_UNREAD },
	{ "error of the server, 20 ms", "HTTP/1.1 500 Error\r\n" SEALED "\r\n",
	  "bad", 0, false, 20, RAW_RESETS },
};

/*
 * A part of an answer is never taken for all of it. What may be repeated is, if
 * the caller has nothing of it; a stream goes on after the events that it has.
 */
static size_t play_part(size_t number, kind_t kind)
{
	raw_answer_t first = { parts[number].head,
			       parts[number].body,
			       parts[number].filler_bytes,
			       parts[number].is_chunked,
			       true,
			       parts[number].end_ms,
			       parts[number].end };
	bool is_long = parts[number].filler_bytes > 0, repeats, expected;
	reply_t reply = play_answer(&first, kind, upload);

	repeats = may_repeat(kind) && !(is_long && kind == LOOKUP);
	if (repeats)
		expected = is_whole(&reply, kind);
	else if (kind == SINGLE || is_long)
		expected = reply.end != CLIENT_OK || reply.status == 502;
	else
		expected = reply.end == CLIENT_OK && reply.status == 502;
	return judge(parts[number].name, kind, &reply, expected,
		     repeats ? 2 : 1);
}

static size_t play_parts(bool is_relayed)
{
	size_t i, failed = 0;
	kind_t kind;

	for (i = 0; i < COUNT_OF(parts); i++) {
		start(is_relayed);
		for (kind = LOOKUP; kind < KINDS; kind++)
			failed += play_part(i, kind);
		stop();
	}
	return failed;
}

static void part_of_an_early_answer_is_taken_for_all(void **state)
{
	assert_int_equal(play_parts(false), 0);
}

static void relayed_part_of_an_early_answer_is_taken_for_all(void **state)
{
	assert_int_equal(play_parts(true), 0);
}

/* Guards against a whole answer that is lost since it comes early. */
static void whole_early_answer_is_lost(void **state)
{
	static const raw_answer_t answers[] = {
		/* A status of success with a length, for all kinds but
		 * streams. */
		{ "HTTP/1.1 201 Made\r\n" SEALED "Content-Length: 5\r\n\r\n",
		  "whole", 0, false, true, 20, RAW_RESETS },
		{ "HTTP/1.1 413 Large\r\n" SEALED "Content-Length: 5\r\n\r\n",
		  "large", 0, false, true, 20, RAW_RESETS },
		{ "HTTP/1.1 413 Large\r\n" SEALED "Connection: close\r\n"
		  "Content-Length: 5\r\n\r\n",
		  "large", 0, false, true, 0, RAW_RESETS },
		{ "HTTP/1.1 413 Large\r\n" SEALED "Connection: close\r\n"
		  "Content-Length: 5\r\n\r\n",
		  "large", 0, false, true, 20, RAW_ENDS },
		{ "HTTP/1.1 413 Large\r\n" SEALED
		  "Transfer-Encoding: chunked\r\n\r\n",
		  "large", 0, true, true, 0, RAW_ENDS },
	};
	size_t i, failed = 0;
	kind_t kind;

	for (i = 0; i < COUNT_OF(answers) * 2; i++) {
		start(i % 2);
		for (kind = LOOKUP; kind < KINDS; kind++) {
			const raw_answer_t *answer = &answers[i / 2];
			int status = atoi(strchr(answer->head, ' '));
			reply_t reply;

			if (status < 300 && is_stream(kind))
				continue;
			reply = play_answer(answer, kind, upload);
			failed += judge(answer->head, kind, &reply,
					reply.end == CLIENT_OK &&
						reply.status == status &&
						reply.size == 5,
					1);
		}
		stop();
	}
	assert_int_equal(failed, 0);
}

/* Plays a status of which each framing is sent to each kind of request. */
static size_t play_status(const char *status)
{
	static const char *const framings[] = { "Content-Length: 4\r\n\r\n",
						"Connection: close\r\n\r\n" };
	size_t i, failed = 0;

	for (i = 0; i < COUNT_OF(framings) * KINDS; i++) {
		kind_t kind = (kind_t)(i % KINDS);
		char head[128];
		raw_answer_t answer = { head, "body", .end = RAW_ENDS };
		reply_t reply;

		snprintf(head, sizeof(head), "HTTP/1.1 %s X\r\n" SEALED "%s",
			 status, framings[i / KINDS]);
		reply = play_answer(&answer, kind, "body");
		failed += judge(status, kind, &reply,
				may_repeat(kind) ? is_whole(&reply, kind)
						 : reply.status == 502,
				may_repeat(kind) ? 2 : 1);
	}
	return failed;
}

/* A server that gives no other status is not asked without end. */
static size_t play_status_always(void)
{
	static const raw_answer_t always = { "HTTP/1.1 600 X\r\n" SEALED
					     "Content-Length: 4\r\n\r\n",
					     "body", .end = RAW_ENDS };
	reply_t reply;

	raw_server_script(&play.server, &always, 1);
	reply = call("/safe/x", "body");
	return judge("always", LOOKUP, &reply, reply.status == 502, 2);
}

/* Guards against a status outside 100 to 599 that a caller gets. */
static void status_that_is_none_reaches_a_caller(void **state)
{
	static const char *const statuses[] = { "000",	"099", "20",
						"0200", "600", "999" };
	size_t i, is_relayed, failed = 0;

	for (is_relayed = 0; is_relayed < 2; is_relayed++) {
		for (i = 0; i < COUNT_OF(statuses); i++) {
			start(is_relayed);
			failed += play_status(statuses[i]);
			failed += i ? 0 : play_status_always();
			stop();
		}
	}
	assert_int_equal(failed, 0);
}

/* Headers of a request beside those of its answer. */
typedef struct {
	const char *name;
	size_t count, bytes; /* further headers of the request, each */
	size_t answer_count, answer_bytes; /* the same of the answer */
} headers_t;

/* @return lines with one NULL after them, to be freed with their text */
static char **make_lines(const headers_t *shape)
{
	size_t usual = COUNT_OF(usual_headers) - 1, i;
	char **lines = calloc(usual + shape->count + 1, sizeof(*lines));

	for (i = 0; i < usual; i++)
		lines[i] = (char *)usual_headers[i];
	for (i = 0; i < shape->count; i++) {
		lines[usual + i] = calloc(1, shape->bytes);
		snprintf(lines[usual + i], shape->bytes - 1, "X-%zu: %0*d", i,
			 (int)shape->bytes, 0);
	}
	return lines;
}

static void free_lines(char **lines)
{
	size_t i;

	for (i = COUNT_OF(usual_headers) - 1; lines[i]; i++)
		free(lines[i]);
	free(lines);
}

/* @return headers of a whole answer, of which the seal is the last */
static char *make_head(const headers_t *shape, kind_t kind)
{
	size_t size = shape->answer_count * (shape->answer_bytes + 1) + 400, i;
	char *head = calloc(1, size), *at = head;

	at += sprintf(at, "HTTP/1.1 200 OK\r\n%s",
		      is_stream(kind) ? "Content-Type: text/event-stream\r\n"
					"Transfer-Encoding: chunked\r\n"
				      : "Content-Length: 10\r\n");
	for (i = 0; i < shape->answer_count; i++)
		at += sprintf(at, "X-%03zu: %0*d\r\n", i,
			      (int)shape->answer_bytes - 9, 0);
	sprintf(at, SEALED "\r\n");
	return head;
}

/* @return 1 after a message if the answer is not whole, else 0 */
static size_t play_headers(const headers_t *shape, kind_t kind)
{
	raw_answer_t answer = is_stream(kind) ? whole_stream : whole_answer;
	char *head = make_head(shape, kind), **lines = make_lines(shape);
	reply_t reply;
	bool expected;

	answer.head = head;
	raw_server_script(&play.server, &answer, 1);
	reply = call_with(paths[kind], (const char *const *)lines, "body");
	expected = is_whole(&reply, kind) && reply.is_sealed &&
		   reply.header_bytes >=
			   shape->answer_count * (shape->answer_bytes - 4);
	free_lines(lines);
	free(head);
	return judge(shape->name, kind, &reply, expected, 1);
}

/* Guards against requests that run and are not answered, or without the seal,
 * since their headers and those of the answer share a bound. */
static void headers_cost_the_answer(void **state)
{
	static const headers_t shapes[] = {
		{ "8,000 bytes in 320 headers", 320, 25, 14, 75 },
		{ "12,600 bytes in 50 headers", 50, 245, 14, 75 },
		{ "16,000 bytes in 2 headers", 2, 8000, 14, 75 },
		{ "16,000 bytes in 640 headers", 640, 25, 14, 75 },
		{ "12,600 bytes, a long answer", 50, 245, 30, 1000 },
		{ "an answer of 30,000 bytes", 0, 0, 30, 1000 },
		{ "an answer of 60,000 bytes", 0, 0, 6, 10000 },
		{ "an answer of 60 headers", 0, 0, 60, 40 },
		{ "an answer of 600 headers", 0, 0, 600, 40 },
	};
	size_t way, i, failed = 0;
	kind_t kind;

	for (way = 0; way < 2; way++) {
		start(way);
		for (i = 0; i < COUNT_OF(shapes); i++)
			for (kind = LOOKUP; kind < KINDS; kind++)
				failed += play_headers(&shapes[i], kind);
		stop();
	}
	assert_int_equal(failed, 0);
}

/*
 * Guards against a node that outlasts its stop since the node that it passed a
 * request on to never answers, and against a caller without an answer.
 */
static void node_outlasts_its_stop_for_another_node(void **state)
{
	static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
					       "X-Deadline-Ms: 60000",
					       FIXTURE_AUTHORIZATION, NULL };
	static const raw_answer_t none = { .head = NULL };
	static reply_t replies[KINDS];
	int64_t start_us;
	kind_t kind;

	start_with(true, true);
	raw_server_script(&play.server, &none, 1);
	for (kind = LOOKUP; kind < KINDS; kind++)
		gateway_fixture_call(&play.near, &replies[kind], "POST",
				     paths[kind], headers, "body");
	start_us = clock_monotonic_us();
	while (play.server.arrivals < KINDS) {
		assert_true(clock_monotonic_us() - start_us <
			    CALL_MAX_MS * US_PER_MS);
		run();
	}
	gateway_stop(play.near.gateway);
	start_us = clock_monotonic_us();
	while (play.near.gateway->stop != STOP_CLOSED) {
		assert_true(clock_monotonic_us() - start_us <
			    STOP_MS * US_PER_MS);
		run();
	}
	for (kind = LOOKUP; kind < KINDS; kind++)
		assert_int_equal(replies[kind].status, 504);
	stop();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(headers_cost_the_answer),
		cmocka_unit_test(node_outlasts_its_stop_for_another_node),
		cmocka_unit_test(status_that_is_none_reaches_a_caller),
		cmocka_unit_test(whole_early_answer_is_lost),
		cmocka_unit_test(part_of_an_early_answer_is_taken_for_all),
		cmocka_unit_test(
			relayed_part_of_an_early_answer_is_taken_for_all),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

/**
 * Prompts with a segment that crashes servers, through a whole gateway: what
 * reaches the servers, and what callers get instead.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "cases.h"
#include "lib/gateway_fixture.h"

enum {
	REQUESTS = 14, /* with the segment, of each case */
	/* The platform's rule: requests that may reach servers after the fifth
	 * crash, besides the repeats that are on their way. */
	CRASHES = 5,
	AFTER_CRASHES_MAX = 3,
	PAUSE_MS = 60, /* between two requests */
	DOWN_MS = 300, /* of a server that crashed */
	REFUSAL_MAX_MS = 100 /* a refusal comes at once */
};

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

/* Sends a request under an id of its own, whose prompt has the segments
 * @p segments and one of its own. */
static void call(gateway_fixture_t *fixture, reply_t *reply, const char *path,
		 const char *segments, const char *body, int number)
{
	char prefix[160], id[40];
	const char *headers[] = { "Host: h",
				  id,
				  "X-Deadline-Ms: 1400",
				  prefix,
				  FIXTURE_AUTHORIZATION,
				  NULL };

	snprintf(id, sizeof(id), "X-Request-Id: r%d", number);
	snprintf(prefix, sizeof(prefix), "X-Prefix-Hash: %s,e%d:9", segments,
		 number);
	gateway_fixture_call(fixture, reply, body ? "POST" : "GET", path,
			     headers, body);
	assert_true(gateway_fixture_wait(fixture, reply, 1600));
}

static size_t crashes(const gateway_fixture_t *fixture)
{
	size_t i, count = 0;

	for (i = 0; i < fixture->arrival_count; i++)
		count += strstr(fixture->arrivals[i].text,
				fixture->crash_text) != NULL;
	return count;
}

/* A server takes some time to start again. */
static void restart_servers(gateway_fixture_t *fixture)
{
	gateway_fixture_run(fixture, fixture->crash_down_ms + PAUSE_MS);
}

static void servers_crash_on_without_end(void **state)
{
	static const struct {
		const char *guards_against, *path;
		const char *crashing; /* segments of prompts that crash */
		const char *sound[2]; /* of prompts sent between these */
		server_act_t act;
	} cases[] = {
		{ "segment in the middle",
		  "/single/x",
		  "a1:8,bad1:7,c2:6",
		  { "a1:8,c2:6", "a1:8" },
		  CLOSES },
		{ "segment first, stream repeated",
		  "/stream/x",
		  "bad1:7,a1:8",
		  { "a1:8", "c2:6" },
		  CLOSES },
		{ "no other segment, end within an event",
		  "/stream/x",
		  "bad1:7",
		  { "a1:8", "c2:6" },
		  BREAKS_OFF },
		{ "sound prompts with all segments but one",
		  "/single/x",
		  "a1:8,b1:4,c1:3,bad1:7",
		  { "a1:8,b1:4,c1:3", "a1:8,b1:4,c1:3,d1:7" },
		  BREAKS_OFF },
		{ "lookup",
		  "/safe/x",
		  "a1:8,bad1:7",
		  { "a1:8", "c2:6" },
		  CLOSES },
	};
	size_t i;
	int j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = { .crash_text = "bad1:",
					      .has_health = true,
					      .crash_act = cases[i].act };
		reply_t reply;
		int refused = 0, served = 0;
		size_t count;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		for (j = 0; j < REQUESTS; j++) {
			int64_t sent_us = clock_monotonic_us();
			const char *sound = cases[i].sound[j % 2];

			call(&fixture, &reply, cases[i].path, cases[i].crashing,
			     NULL, 2 * j);
			if (reply.status == 503 &&
			    strstr(reply.headers, "Retry-After: ") &&
			    clock_monotonic_us() - sent_us <
				    REFUSAL_MAX_MS * US_PER_MS)
				refused++;
			restart_servers(&fixture);
			call(&fixture, &reply, cases[i].path, sound, NULL,
			     2 * j + 1);
			served += reply.status == 200;
		}
		count = crashes(&fixture);
		if (count > CRASHES + AFTER_CRASHES_MAX)
			fail_msg("case \"%s\": %zu crashes",
				 cases[i].guards_against, count);
		if (refused < REQUESTS - (int)count || served < REQUESTS - 2)
			fail_msg("case \"%s\": %d refused, %d served",
				 cases[i].guards_against, refused, served);
		gateway_fixture_stop(&fixture);
	}
}

/* The platform allows three requests after the third crash. */
static void same_request_crashes_servers_without_end(void **state)
{
	enum { REQUEST_CRASHES = 3 };
	static const struct {
		const char *guards_against, *path, *sound_path;
		const char *body, *sound_body, *crash_text;
		server_act_t act;
		int64_t down_ms;
	} cases[] = {
		{ "lookup, other body", "/safe/x", "/safe/x", "bad1:", "sound",
		  "bad1:", CLOSES, 0 },
		{ "lookup, other path", "/safe/bad1", "/safe/x", "body", "body",
		  "/bad1", CLOSES, 0 },
		{ "lookup that breaks off", "/safe/x", "/safe/x",
		  "bad1:", "sound", "bad1:", BREAKS_OFF, 0 },
		{ "other query", "/safe/x?bad1", "/safe/x?good", "body", "body",
		  "?bad1", CLOSES, 0 },
		{ "call that runs at most once", "/once/x", "/once/x",
		  "bad1:", "sound", "bad1:", CLOSES, 0 },
		{ "public route", "/open/x", "/open/x", "bad1:", "sound",
		  "bad1:", CLOSES, 0 },
		{ "stream that may resume", "/stream/x", "/stream/x",
		  "bad1:", "sound", "bad1:", BREAKS_OFF, 0 },
		{ "stream that may not", "/single/x", "/single/x",
		  "bad1:", "sound", "bad1:", BREAKS_OFF, 0 },
		{ "answer without length or chunks", "/safe/x", "/safe/x",
		  "bad1:", "sound", "bad1:", ENDS_UNFRAMED, DOWN_MS },
		{ "stream without length or chunks", "/stream/x", "/stream/x",
		  "bad1:", "sound", "bad1:", ENDS_UNFRAMED, DOWN_MS },
	};
	size_t i;
	int j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = { .crash_text = cases[i].crash_text,
					      .has_health = true,
					      .crash_down_ms = cases[i].down_ms,
					      .crash_act = cases[i].act };
		reply_t reply;
		int refused = 0, served = 0;
		size_t count;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		for (j = 0; j < REQUESTS; j++) {
			call(&fixture, &reply, cases[i].path, "a1:8",
			     cases[i].body, 2 * j);
			refused += reply.status == 503 &&
				   strstr(reply.headers, "Retry-After: ");
			restart_servers(&fixture);
			call(&fixture, &reply, cases[i].sound_path, "a1:8",
			     cases[i].sound_body, 2 * j + 1);
			served += reply.status == 200;
		}
		count = crashes(&fixture);
		if (count > REQUEST_CRASHES + AFTER_CRASHES_MAX)
			fail_msg("case \"%s\": %zu crashes",
				 cases[i].guards_against, count);
		if (refused < REQUESTS - (int)count || served < REQUESTS - 2)
			fail_msg("case \"%s\": %d refused, %d served",
				 cases[i].guards_against, refused, served);
		gateway_fixture_stop(&fixture);
	}
}

/* Sound requests were under the ends of servers; their trials do not run. */
static void trial_that_did_not_run_blocks_requests_for_long(void **state)
{
	/* Time until a suspect request, and a blocked one, is tried. */
	enum { SUSPECT_MS = 2100, TRIAL_PAUSE_MS = 5100 };
	static const text_act_t misdirected[] = { { "bad1:", MISDIRECTED },
						  { NULL, SERVES } };
	gateway_fixture_t fixture = {
		.crash_text = "bad1:", .has_health = true, .crash_act = CLOSES
	};
	size_t suspects;
	reply_t reply;
	int number = 0;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	while (!segment_table_count(fixture.gateway->segments, CAUSE_CONTENT,
				    &suspects) &&
	       number < REQUESTS) {
		call(&fixture, &reply, "/safe/x", "a1:8", "bad1:", number++);
		call(&fixture, &reply, "/safe/x", "a1:8", "sound", number++);
		gateway_fixture_run(&fixture, SUSPECT_MS);
	}
	assert_in_range(number, 1, REQUESTS - 1);
	fixture.crash_text = NULL;

	fixture.text_acts = misdirected;
	gateway_fixture_run(&fixture, TRIAL_PAUSE_MS);
	call(&fixture, &reply, "/safe/x", "a1:8", "bad1:", number++);
	assert_int_equal(reply.status, 503);
	fixture.text_acts = NULL;

	gateway_fixture_run(&fixture, TRIAL_PAUSE_MS);
	gateway_fixture_cut_server(&fixture, &fixture.servers[0], CUT_REFUSES);
	gateway_fixture_cut_server(&fixture, &fixture.servers[1], CUT_REFUSES);
	call(&fixture, &reply, "/safe/x", "a1:8", "bad1:", number++);
	assert_int_equal(reply.status, 503);
	gateway_fixture_heal_server(&fixture, &fixture.servers[0]);
	gateway_fixture_heal_server(&fixture, &fixture.servers[1]);

	gateway_fixture_run(&fixture, TRIAL_PAUSE_MS);
	call(&fixture, &reply, "/safe/x", "a1:8", "bad1:", number++);
	assert_int_equal(reply.status, 200);
	gateway_fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(same_request_crashes_servers_without_end),
		cmocka_unit_test(servers_crash_on_without_end),
		cmocka_unit_test(
			trial_that_did_not_run_blocks_requests_for_long),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

/**
 * The whole way of a request through the gateway: what reaches the servers,
 * how often, and what the caller gets, whatever a server does.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "process/gateway.h"

#define ALL_EVENTS                               \
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" \
	"id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"

static const char *const with_key[] = { "Host: h", "X-Request-Id: r1",
					"X-Deadline-Ms: 1400",
					FIXTURE_AUTHORIZATION, NULL };

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static void start(gateway_fixture_t *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	gateway_fixture_start(fixture);
	gateway_fixture_wait_ready(fixture);
}

/* status 0: the connection ends without a complete answer */
static void answers(void **state)
{
	static const struct {
		const char *guards_against, *path;
		server_act_t acts[ACTS_MAX];
		size_t arrivals;
		int status;
		const char *body;
	} cases[] = {
		{ "an answer that is not passed on",
		  "/safe/x",
		  { SERVES },
		  1,
		  200,
		  "0123456789" },
		{ "a lookup that is not asked for again",
		  "/safe/x",
		  { CLOSES, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "half an answer passed on as whole",
		  "/safe/x",
		  { BREAKS_OFF, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an answer to another request",
		  "/safe/x",
		  { FOREIGN, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an answer without the server's digest",
		  "/safe/x",
		  { UNSEALED, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "noise passed on",
		  "/safe/x",
		  { GARBAGE, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an error that another server would not make",
		  "/safe/x",
		  { FAILS, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an error that is changed on its way",
		  "/safe/x",
		  { FAILS, FAILS },
		  2,
		  500,
		  "bad" },
		{ "more servers than the route allows",
		  "/safe/x",
		  { CLOSES, CLOSES, SERVES },
		  2,
		  502,
		  NULL },
		{ "a silent server that holds a lookup",
		  "/safe/x",
		  { SILENT, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an order that runs twice after a closed connection",
		  "/once/x",
		  { CLOSES, SERVES },
		  1,
		  502,
		  NULL },
		{ "an order that runs twice after half an answer",
		  "/once/x",
		  { BREAKS_OFF, SERVES },
		  1,
		  502,
		  NULL },
		{ "an order that runs twice after noise",
		  "/once/x",
		  { GARBAGE, SERVES },
		  1,
		  502,
		  NULL },
		{ "an order that runs twice after an error",
		  "/once/x",
		  { FAILS, SERVES },
		  1,
		  500,
		  "bad" },
		{ "an order that runs twice after silence",
		  "/once/x",
		  { SILENT, SERVES },
		  1,
		  504,
		  NULL },
		{ "an order lost although it has not run",
		  "/once/x",
		  { NOT_RUN, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an order sent to a server of another start",
		  "/once/x",
		  { MISDIRECTED, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "a refusal without a time to come back",
		  "/once/x",
		  { NOT_RUN, NOT_RUN },
		  2,
		  503,
		  NULL },
		{ "a stream that is changed",
		  "/stream/x",
		  { SERVES },
		  1,
		  200,
		  ALL_EVENTS },
		{ "a stream with a gap after a break",
		  "/stream/x",
		  { BREAKS_OFF, SERVES },
		  2,
		  200,
		  ALL_EVENTS },
		{ "events that come twice",
		  "/stream/x",
		  { BREAKS_OFF, REPEATS },
		  2,
		  200,
		  ALL_EVENTS },
		{ "a stream that breaks before its first event",
		  "/stream/x",
		  { CLOSES, SERVES },
		  2,
		  200,
		  ALL_EVENTS },
		{ "a broken stream that looks complete",
		  "/stream/x",
		  { BREAKS_OFF, CLOSES },
		  2,
		  0,
		  NULL },
		{ "a stream resumed that must not be",
		  "/single/x",
		  { BREAKS_OFF, SERVES },
		  1,
		  0,
		  NULL },
		{ "headers without end",
		  "/safe/x",
		  { ENDLESS_HEAD, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an order repeated after headers without end",
		  "/once/x",
		  { ENDLESS_HEAD, SERVES },
		  1,
		  502,
		  NULL },
		{ "a refusal whose body has no end",
		  "/once/x",
		  { ENDLESS_REFUSAL, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "a body without end that is not the server's",
		  "/safe/x",
		  { ENDLESS_UNSEALED, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an order that waits for the end of such a body",
		  "/once/x",
		  { ENDLESS_UNSEALED, SERVES },
		  1,
		  502,
		  NULL },
		{ "a stalled stream that sends a byte now and then",
		  "/stream/x",
		  { TRICKLES, SERVES },
		  2,
		  200,
		  ALL_EVENTS },
		{ "a request without a route",
		  "/none/x",
		  { SERVES },
		  0,
		  404,
		  NULL },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		bool is_post = strstr(cases[i].path, "/once/");
		gateway_fixture_t fixture;
		reply_t reply;
		int status;

		start(&fixture);
		memcpy(fixture.acts, cases[i].acts, sizeof(fixture.acts));
		gateway_fixture_call(&fixture, &reply, is_post ? "POST" : "GET",
				     cases[i].path, with_key,
				     is_post ? "body" : NULL);
		gateway_fixture_wait(&fixture, &reply, 3000);
		status = reply.end == CLIENT_OK ? reply.status : 0;
		if (!reply.ended || status != cases[i].status ||
		    fixture.arrival_count != cases[i].arrivals ||
		    (cases[i].body && strcmp(reply.body, cases[i].body) != 0))
			fail_msg("case \"%s\": ended %d end %d status %d, %zu "
				 "arrivals, body %s",
				 cases[i].guards_against, reply.ended,
				 reply.end, reply.status, fixture.arrival_count,
				 reply.body);
		if (status == 503)
			assert_non_null(strstr(reply.headers, "Retry-After: "));
		/* Only what a server answered carries its digest. */
		if (status && status != 200 && status != 500)
			assert_null(strstr(reply.headers, "X-Server-Seal"));
		gateway_fixture_stop(&fixture);
	}
}

/*
 * Guards against a refusal, or silence, for a stream that has begun: its second
 * attempt finds no servers that could hold the prompt together.
 */
static void ends_a_stream_that_cannot_go_on(void **state)
{
	static const char *const headers[] = { "Host: h",
					       "X-Request-Id: r1",
					       "X-Deadline-Ms: 1400",
					       FIXTURE_AUTHORIZATION,
					       "X-Token-Counts: 15000,100",
					       NULL };
	gateway_fixture_t fixture;
	reply_t reply;

	start(&fixture);
	/* The lease on the helper, then the stream. */
	fixture.acts[0] = SERVES;
	fixture.acts[1] = BREAKS_OFF;
	gateway_fixture_call(&fixture, &reply, "GET", "/stream/long/x", headers,
			     NULL);
	assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
	assert_int_not_equal(reply.end, CLIENT_OK);
	assert_non_null(strstr(fixture.arrivals[1].text, "X-Helpers: "));
	gateway_fixture_stop(&fixture);
}

/* Guards against a caller that is told to come back after its time. */
static void refuses_with_a_useful_time(void **state)
{
	gateway_fixture_t fixture;
	reply_t reply;
	const char *after;

	start(&fixture);
	fixture.acts[0] = fixture.acts[1] = NOT_RUN;
	gateway_fixture_call(&fixture, &reply, "POST", "/once/x", with_key,
			     "body");
	assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
	assert_int_equal(reply.status, 503);
	after = strstr(reply.headers, "Retry-After: ");
	assert_non_null(after);
	/* The time limit is 1.4 s. */
	assert_true(strtod(after + strlen("Retry-After: "), NULL) < 0.4);
	gateway_fixture_stop(&fixture);
}

/* Guards against headers that tell a server too much, or too little. */
static void sends_headers(void **state)
{
	static const char *const headers[] = { "Host: h",
					       "X-Request-Id: r7",
					       "X-Deadline-Ms: 1400",
					       FIXTURE_AUTHORIZATION,
					       "X-Tenant: other",
					       "X-Expect-Instance: other",
					       "X-Helpers: 10.0.0.1:1",
					       "X-Model: m",
					       "Connection: X-Private",
					       "X-Private: 1",
					       NULL };
	static const struct {
		const char *text;
		bool sent;
	} cases[] = {
		{ "POST /once/a/../b?q=%2f HTTP/1.1", true },
		{ "Host: h\r\n", true },
		{ "X-Request-Id: r7\r\n", true },
		{ "X-Tenant: acme\r\n", true },
		{ "X-Tenant: other", false },
		{ "X-Model: m\r\n", true },
		{ "X-Expect-Instance: i-", true },
		{ "X-Expect-Instance: other", false },
		{ "X-Helpers", false },
		{ "Authorization", false },
		{ "X-Private", false },
		{ "\r\n\r\nbody", true },
	};
	gateway_fixture_t fixture;
	reply_t reply;
	size_t i;

	start(&fixture);
	gateway_fixture_call(&fixture, &reply, "POST", "/once/a/../b?q=%2f",
			     headers, "body");
	assert_true(gateway_fixture_wait(&fixture, &reply, 2000));
	/* curl in the caller resolves dots in the path. */
	for (i = 1; i < COUNT_OF(cases); i++)
		if (!strstr(fixture.arrivals[0].text, cases[i].text) ==
		    cases[i].sent)
			fail_msg("\"%s\" in\n%s", cases[i].text,
				 fixture.arrivals[0].text);
	gateway_fixture_stop(&fixture);
}

static void checks_keys(void **state)
{
	static const struct {
		const char *guards_against, *path, *key;
		bool store_lost;
		int status;
	} cases[] = {
		{ "an unknown key", "/safe/x", "Authorization: Bearer k9",
		  false, 401 },
		{ "no key", "/safe/x", "X-Other: 1", false, 401 },
		{ "a public route that needs a key", "/open/x", "X-Other: 1",
		  false, 200 },
		{ "a key that may have been removed", "/safe/x",
		  FIXTURE_AUTHORIZATION, true, 503 },
		{ "a refusal of a key that may have been added", "/safe/x",
		  "Authorization: Bearer k9", true, 503 },
		{ "a refusal of a route that may have been added", "/none/x",
		  "X-Other: 1", true, 503 },
		{ "a public route refused for keys", "/open/x", "X-Other: 1",
		  true, 200 },
	};
	gateway_fixture_t fixture;
	size_t i;

	start(&fixture);
	for (i = 0; i < COUNT_OF(cases); i++) {
		const char *headers[] = { "Host: h", "X-Request-Id: r1",
					  cases[i].key, NULL };
		reply_t reply;

		if (cases[i].store_lost && !fixture.store_silent) {
			fixture.store_silent = true;
			gateway_fixture_run(&fixture, 2000);
			assert_false(gateway_is_ready(fixture.gateway));
		}
		gateway_fixture_call(&fixture, &reply, "GET", cases[i].path,
				     headers, NULL);
		assert_true(gateway_fixture_wait(&fixture, &reply, 2000));
		if (reply.status != cases[i].status)
			fail_msg("case \"%s\": %d", cases[i].guards_against,
				 reply.status);
	}
	fixture.store_silent = false;
	gateway_fixture_wait_ready(&fixture);
	gateway_fixture_stop(&fixture);
}

/* Guards against refusals for good by a node that knows nothing yet. */
static void starts_without_configuration(void **state)
{
	gateway_fixture_t fixture = { .no_configuration = true };
	reply_t reply;

	gateway_fixture_start(&fixture);
	gateway_fixture_run(&fixture, 100);
	assert_false(gateway_is_ready(fixture.gateway));
	gateway_fixture_call(&fixture, &reply, "GET", "/safe/x", with_key,
			     NULL);
	assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
	assert_int_equal(reply.status, 503);
	assert_non_null(strstr(reply.headers, "Retry-After: "));
	gateway_fixture_stop(&fixture);
}

/* Guards against work that goes on after its caller has left. */
static void leaves_with_the_caller(void **state)
{
	static const char *const paths[] = { "/safe/x", "/stream/x" };
	size_t i;

	for (i = 0; i < COUNT_OF(paths); i++) {
		gateway_fixture_t fixture;
		reply_t reply;

		start(&fixture);
		fixture.acts[0] = SILENT;
		gateway_fixture_call(&fixture, &reply, "GET", paths[i],
				     with_key, NULL);
		gateway_fixture_run(&fixture, 60);
		assert_int_equal(fixture.arrival_count, 1);
		client_call_cancel(reply.call);
		gateway_fixture_run(&fixture, 60);
		assert_true(fixture.arrivals[0].closed);
		assert_int_equal(fixture.gateway->forward_count, 0);
		gateway_fixture_stop(&fixture);
	}
}

/* Guards against bodies that two parsers read differently. */
static void refuses_bodies(void **state)
{
	static const struct {
		const char *guards_against, *header;
		size_t size;
		int status;
	} cases[] = {
		{ "a body over the limit", "X-Other: 1", 5000, 413 },
		{ "a length beside chunks", "Transfer-Encoding: chunked", 4,
		  400 },
		{ "a body within the limit", "X-Other: 1", 3000, 200 },
	};
	static char body[6000];
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		const char *headers[] = { "Host: h",
					  "X-Request-Id: r1",
					  FIXTURE_AUTHORIZATION,
					  cases[i].header,
					  strstr(cases[i].header, "chunked")
						  ? "Content-Length: 4"
						  : NULL,
					  NULL };
		gateway_fixture_t fixture;
		reply_t reply;

		start(&fixture);
		memset(body, 'x', sizeof(body));
		body[cases[i].size] = '\0';
		gateway_fixture_call(&fixture, &reply, "POST", "/once/x",
				     headers, body);
		assert_true(gateway_fixture_wait(&fixture, &reply, 2000));
		if (reply.status != cases[i].status)
			fail_msg("case \"%s\": %d", cases[i].guards_against,
				 reply.status);
		assert_int_equal(fixture.arrival_count, cases[i].status == 200);
		gateway_fixture_stop(&fixture);
	}
}

/*
 * Guards against requests that are cut off by a stop: a lookup is served to
 * the end, a stream that comes when the balancer has noticed goes elsewhere.
 */
static void expected_instance(const arrival_t *arrival, char id[16])
{
	const char *value = strstr(arrival->text, "X-Expect-Instance: ");

	assert_non_null(value);
	assert_int_equal(sscanf(value, "X-Expect-Instance: %15[^\r]", id), 1);
}

/* Where new requests go after what two servers said, at different times. */
static void follows_what_servers_say(void **state)
{
	static const struct {
		const char *fault;
		server_act_t
			acts[2]; /* of both servers, if a second is asked */
		int64_t later_ms; /* the second request comes */
		int status; /* that it gets */
		size_t arrivals; /* of both requests */
	} cases[] = {
		{ "sent to servers that turned this node away",
		  { TURNS_AWAY, TURNS_AWAY },
		  200,
		  503,
		  2 },
		{ "no server tried after the time is over",
		  { TURNS_AWAY, TURNS_AWAY },
		  400,
		  200,
		  3 },
		{ "one that turned away hides the other",
		  { TURNS_AWAY, SERVES },
		  50,
		  200,
		  3 },
		{ "an order sent to a server that leaves, beside another",
		  { SAYS_LEAVING, SERVES },
		  1200,
		  200,
		  2 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture;
		reply_t reply;

		start(&fixture);
		memcpy(fixture.acts, cases[i].acts, sizeof(cases[i].acts));
		gateway_fixture_call(&fixture, &reply, "POST", "/once/x",
				     with_key, "body");
		assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
		gateway_fixture_run(&fixture, cases[i].later_ms);
		gateway_fixture_call(&fixture, &reply, "POST", "/once/x",
				     with_key, "body");
		assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
		if (reply.status != cases[i].status ||
		    fixture.arrival_count != cases[i].arrivals)
			fail_msg("%s: status %d, %zu arrivals", cases[i].fault,
				 reply.status, fixture.arrival_count);
		if (cases[i].acts[0] == SAYS_LEAVING) {
			char before[16], after[16];

			expected_instance(&fixture.arrivals[0], before);
			expected_instance(&fixture.arrivals[1], after);
			assert_string_not_equal(before, after);
		}
		if (reply.status == 503) {
			const char *after =
				strstr(reply.headers, "Retry-After: ");

			assert_non_null(after);
			assert_true(strtod(after + strlen("Retry-After: "),
					   NULL) < 0.3);
		}
		gateway_fixture_stop(&fixture);
	}
}

typedef enum {
	LEAVES,
	REPLACED,
	STARTS_AGAIN,
	MOVES,
	TURNS_COLD,
	RETIRED
} change_t;

/* Changes the entry of a server of the model. */
static void change_server(gateway_fixture_t *fixture, const char *id,
			  change_t change)
{
	backends_t *backends = fixture->gateway->backends;
	backend_entry_t entry = *backend_entry(backends_find(backends, id));
	int64_t now_us = clock_monotonic_us();

	switch (change) {
	case LEAVES:
		backends_remove(backends, id, 0);
		return;
	case REPLACED:
		backends_remove(backends, id, 0);
		mem_strlcpy(entry.id, "i-new", sizeof(entry.id));
		break;
	case STARTS_AGAIN:
		entry.born_ms++;
		break;
	case MOVES:
		mem_strlcpy(entry.address, "127.0.0.1:9",
			    sizeof(entry.address));
		break;
	case TURNS_COLD:
		entry.cold_left_ms = 1000;
		break;
	case RETIRED:
		backends_evacuate(backends, "a", true);
		return;
	}
	backends_update(backends, &entry, now_us);
}

/* A server changes while engine memory is asked for. The prompt needs both:
 * nothing is sent to one that left, and what was granted is given back. */
static void places_anew_when_a_server_leaves(void **state)
{
	static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
					       FIXTURE_AUTHORIZATION,
					       "X-Token-Counts: 15000,100",
					       NULL };
	static const struct {
		const char *fault;
		change_t change;
		bool served; /* two servers are left */
	} cases[] = {
		{ "sent to a server that left", LEAVES, false },
		{ "sent under the id of the server before", REPLACED, true },
		{ "sent with the lease of an earlier start", STARTS_AGAIN,
		  true },
		{ "sent to an address with another server", MOVES, false },
		{ "a cold server is sent to", TURNS_COLD, true },
		{ "sent to a data centre out of service", RETIRED, false },
	};
	static const char *const ids[] = { "i-m0", "i-m1" };
	size_t i;

	for (i = 0; i < COUNT_OF(cases) * COUNT_OF(ids); i++) {
		change_t change = cases[i / COUNT_OF(ids)].change;
		bool served = cases[i / COUNT_OF(ids)].served;
		gateway_fixture_t fixture;
		reply_t reply;
		const char *id = ids[i % COUNT_OF(ids)];
		size_t arrived, released = 0, sent_to_it = 0, j;

		start(&fixture);
		fixture.acts[0] = LATE;
		gateway_fixture_call(&fixture, &reply, "POST", "/stream/long/x",
				     headers, "body");
		/* The order has arrived and is not answered yet. */
		for (j = 0; j < 100 &&
			    !strstr(fixture.arrivals[0].text, "\"reserve\"");
		     j++)
			gateway_fixture_run(&fixture, 5);
		assert_true(j < 100);
		change_server(&fixture, id, change);
		arrived = fixture.arrival_count;
		assert_true(gateway_fixture_wait(&fixture, &reply, 2000));
		gateway_fixture_run(&fixture, 50);
		for (j = arrived; j < fixture.arrival_count; j++) {
			const char *text = fixture.arrivals[j].text;

			released += strstr(text, "\"release\"") != NULL;
			sent_to_it += change == LEAVES &&
				      !strstr(text, "/order") &&
				      strstr(text, id);
		}
		/* At another address, nobody knows of the lease. */
		if (sent_to_it || (!released && change != MOVES) ||
		    (reply.status == 200) != served)
			fail_msg("%s: status %d, released %zu",
				 cases[i / COUNT_OF(ids)].fault, reply.status,
				 released);
		gateway_fixture_stop(&fixture);
	}
}

/* Requests in all reports; what was not accepted comes again as it was. */
static int reported_sum(const gateway_fixture_t *fixture)
{
	int sum = 0;
	size_t i, j;

	for (i = 0; i < fixture->duty_call_count; i++) {
		const char *call = fixture->duty_calls[i];
		const char *counts = strstr(call, ",\"replicaCounts\":{");
		int count = 0;

		assert_int_equal(strncmp(call, "/usage n1 9 {\"window\":", 22),
				 0);
		assert_non_null(counts);
		sscanf(counts, ",\"replicaCounts\":{\"acme\":%d}}", &count);
		for (j = 0; j < i; j++)
			if (!strncmp(call, fixture->duty_calls[j],
				     (size_t)(counts - call)))
				break;
		if (j < i)
			assert_string_equal(call, fixture->duty_calls[j]);
		else
			sum += count;
	}
	return sum;
}

/* Guards against requests that are not reported, or in two reports of one
 * window; and against calls after the lease was given up. */
static void reports_usage(void **state)
{
	static const char *const paths[] = { "/safe/x", "/stream/x",
					     "/open/x" };
	gateway_fixture_t fixture = { .has_duties = true };
	size_t i;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	/* Four of these are of an account: public routes have none. */
	for (i = 0; i < 6; i++) {
		reply_t reply;

		gateway_fixture_call(&fixture, &reply, "GET",
				     paths[i % COUNT_OF(paths)], with_key,
				     NULL);
		assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
		assert_int_equal(reply.status, 200);
	}
	/* The first reports are not accepted. */
	fixture.duties_fail = true;
	for (i = 0; i < 100 && !fixture.duty_call_count; i++)
		gateway_fixture_run(&fixture, 100);
	fixture.duties_fail = false;
	for (i = 0; i < 50 && reported_sum(&fixture) < 4; i++)
		gateway_fixture_run(&fixture, 100);
	gateway_fixture_run(&fixture, 500);
	assert_int_equal(reported_sum(&fixture), 4);
	assert_int_equal(duties_state(fixture.gateway->duties),
			 DUTY_STATE_HELD);
	gateway_stop(fixture.gateway);
	assert_int_equal(duties_state(fixture.gateway->duties),
			 DUTY_STATE_NONE);
	gateway_fixture_stop(&fixture);
}

static void stops_gracefully(void **state)
{
	gateway_fixture_t fixture;
	reply_t lookup, stream;

	start(&fixture);
	gateway_stop(fixture.gateway);
	assert_false(gateway_is_ready(fixture.gateway));
	gateway_fixture_call(&fixture, &stream, "GET", "/stream/x", with_key,
			     NULL);
	assert_true(gateway_fixture_wait(&fixture, &stream, 1000));
	assert_int_equal(stream.status, 200);
	assert_non_null(strstr(stream.headers, "Connection: close"));
	gateway_fixture_run(&fixture, 2900);
	gateway_fixture_call(&fixture, &stream, "GET", "/stream/x", with_key,
			     NULL);
	gateway_fixture_call(&fixture, &lookup, "GET", "/safe/x", with_key,
			     NULL);
	assert_true(gateway_fixture_wait(&fixture, &stream, 1000));
	assert_true(gateway_fixture_wait(&fixture, &lookup, 1000));
	assert_int_equal(stream.status, 503);
	assert_non_null(strstr(stream.headers, "Retry-After: "));
	assert_int_equal(lookup.status, 200);
	gateway_fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(answers),
		cmocka_unit_test(ends_a_stream_that_cannot_go_on),
		cmocka_unit_test(refuses_with_a_useful_time),
		cmocka_unit_test(sends_headers),
		cmocka_unit_test(checks_keys),
		cmocka_unit_test(starts_without_configuration),
		cmocka_unit_test(leaves_with_the_caller),
		cmocka_unit_test(refuses_bodies),
		cmocka_unit_test(follows_what_servers_say),
		cmocka_unit_test(places_anew_when_a_server_leaves),
		cmocka_unit_test(reports_usage),
		cmocka_unit_test(stops_gracefully),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

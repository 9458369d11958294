/**
 * Guards against requests that the gateway loses, runs twice or answers wrongly
 * when a server fails: checks which requests reach the servers, how often, and
 * what the caller receives.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "lib/loopback.h"
#include "process/gateway.h"

#define ALL_EVENTS                               \
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" \
	"id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"

#define TWO_EVENTS "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"

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

/*
 * Guards against wrong answers to the caller, and against requests that run
 * more often than their route allows, when servers fail as `acts` say. In the
 * names of the cases, a lookup is an idempotent request (/safe) and an order an
 * at-most-once request (/once).
 * Status 0: the connection ends without a complete answer.
 */
static void relays_or_retries_answers(void **state)
{
	static const struct {
		const char *guards_against, *path;
		server_act_t acts[ACTS_MAX];
		size_t arrivals;
		int status;
		const char *body;
	} cases[] = {
		{ "an answer that is not relayed",
		  "/safe/x",
		  { SERVES },
		  1,
		  200,
		  "0123456789" },
		{ "a lookup that is not retried",
		  "/safe/x",
		  { CLOSES, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "a truncated answer relayed as complete",
		  "/safe/x",
		  { BREAKS_OFF, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an answer to another request relayed",
		  "/safe/x",
		  { FOREIGN, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an answer without the server's digest relayed",
		  "/safe/x",
		  { UNSEALED, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "bytes that are not HTTP relayed",
		  "/safe/x",
		  { GARBAGE, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an error of one server that is not retried",
		  "/safe/x",
		  { FAILS, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an error that is changed when relayed",
		  "/safe/x",
		  { FAILS, FAILS },
		  2,
		  500,
		  "bad" },
		{ "more attempts than the route allows",
		  "/safe/x",
		  { CLOSES, CLOSES, SERVES },
		  2,
		  502,
		  NULL },
		{ "a lookup that waits for a silent server",
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
		{ "an order that runs twice after a truncated answer",
		  "/once/x",
		  { BREAKS_OFF, SERVES },
		  1,
		  502,
		  NULL },
		{ "an order that runs twice after bytes that are not HTTP",
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
		{ "an order that has not run and is not retried",
		  "/once/x",
		  { NOT_RUN, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an order not retried after another incarnation rejects it",
		  "/once/x",
		  { MISDIRECTED, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "a refusal without Retry-After",
		  "/once/x",
		  { NOT_RUN, NOT_RUN },
		  2,
		  503,
		  NULL },
		{ "a stream that is changed when relayed",
		  "/stream/x",
		  { SERVES },
		  1,
		  200,
		  ALL_EVENTS },
		{ "a stream that loses events after a broken connection",
		  "/stream/x",
		  { BREAKS_OFF, SERVES },
		  2,
		  200,
		  ALL_EVENTS },
		{ "events sent twice to the caller",
		  "/stream/x",
		  { BREAKS_OFF, REPEATS },
		  2,
		  200,
		  ALL_EVENTS },
		{ "a stream not retried that breaks before its first event",
		  "/stream/x",
		  { CLOSES, SERVES },
		  2,
		  200,
		  ALL_EVENTS },
		{ "a broken stream that ends as if complete",
		  "/stream/x",
		  { BREAKS_OFF, CLOSES },
		  2,
		  0,
		  NULL },
		{ "a stream resumed that is not resumable",
		  "/single/x",
		  { BREAKS_OFF, SERVES },
		  1,
		  0,
		  NULL },
		{ "an error of the next server in the middle of a stream",
		  "/stream/x",
		  { BREAKS_OFF, FAILS },
		  2,
		  0,
		  TWO_EVENTS },
		{ "a long error of the next server in the middle of a stream",
		  "/stream/x",
		  { BREAKS_OFF, FAILS_LONG },
		  2,
		  0,
		  TWO_EVENTS },
		{ "a refusal of the next server in the middle of a stream",
		  "/stream/x",
		  { BREAKS_OFF, NOT_RUN },
		  2,
		  0,
		  TWO_EVENTS },
		{ "an answer without the end of its head, taken for a whole one",
		  "/once/x",
		  { CUTS_HEAD, SERVES },
		  1,
		  502,
		  NULL },
		{ "a lookup that is not retried after half a head",
		  "/safe/x",
		  { CUTS_HEAD, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "a stream that is not retried after half a head",
		  "/stream/x",
		  { CUTS_HEAD, SERVES },
		  2,
		  200,
		  ALL_EVENTS },
		{ "half a head in the middle of a stream",
		  "/stream/x",
		  { BREAKS_OFF, CUTS_HEAD },
		  2,
		  0,
		  TWO_EVENTS },
		{ "endless headers that hold a lookup",
		  "/safe/x",
		  { ENDLESS_HEAD, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an order that runs twice after endless headers",
		  "/once/x",
		  { ENDLESS_HEAD, SERVES },
		  1,
		  502,
		  NULL },
		{ "an order that waits for the endless body of a refusal",
		  "/once/x",
		  { ENDLESS_REFUSAL, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "a lookup that waits for an endless body without a digest",
		  "/safe/x",
		  { ENDLESS_UNSEALED, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an order that waits for an endless body without a digest",
		  "/once/x",
		  { ENDLESS_UNSEALED, SERVES },
		  1,
		  502,
		  NULL },
		{ "a stalled stream kept alive by single bytes",
		  "/stream/x",
		  { TRICKLES, SERVES },
		  2,
		  200,
		  ALL_EVENTS },
		{ "a request without a route sent to a server",
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
		/* Only an answer that a server gave carries a digest. */
		if (status && status != 200 && status != 500)
			assert_null(strstr(reply.headers, "X-Server-Seal"));
		gateway_fixture_stop(&fixture);
	}
}

/*
 * Guards against a stream that stays open, or is refused, after it has begun:
 * its server breaks off, and the retry finds no servers that can hold the long
 * prompt together. The gateway must abort the connection.
 */
static void aborts_a_stream_that_cannot_resume(void **state)
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
	/* The order for a memory lease on the helper arrives first, then the
	 * stream. */
	fixture.acts[0] = SERVES;
	fixture.acts[1] = BREAKS_OFF;
	gateway_fixture_call(&fixture, &reply, "GET", "/stream/long/x", headers,
			     NULL);
	assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
	assert_int_not_equal(reply.end, CLIENT_OK);
	assert_non_null(strstr(fixture.arrivals[1].text, "X-Helpers: "));
	gateway_fixture_stop(&fixture);
}

/* Guards against a Retry-After that ends after the caller's deadline. */
static void refuses_with_retry_before_the_deadline(void **state)
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
	/* The caller's deadline is 1.4 s after the request; Retry-After is at
	 * most a quarter of the time left. */
	assert_true(strtod(after + strlen("Retry-After: "), NULL) < 0.4);
	gateway_fixture_stop(&fixture);
}

/*
 * Guards against headers that reveal a key to a server, that a caller sets in
 * place of the gateway, or that are missing.
 */
static void sends_headers_to_servers(void **state)
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
	for (i = 0; i < COUNT_OF(cases); i++)
		if (!strstr(fixture.arrivals[0].text, cases[i].text) ==
		    cases[i].sent)
			fail_msg("\"%s\" in\n%s", cases[i].text,
				 fixture.arrivals[0].text);
	gateway_fixture_stop(&fixture);
}

/*
 * Guards against answers of two servers that reach the caller as one, when the
 * first was passed on in part: because it is long, or because there is no
 * memory to hold it.
 */
static void answers_of_two_servers_become_one(void **state)
{
	enum { NO_MEMORY_BYTES = 64 * 1024 };
	static const struct {
		const char *path;
		server_act_t act;
		int64_t memory_bytes;
		client_end_t end;
		int status;
	} cases[] = {
		{ "/safe/x", BREAKS_OFF_LONG, 0, CLIENT_BROKEN, 200 },
		{ "/safe/x", STALLS_LONG, 0, CLIENT_BROKEN, 200 },
		{ "/safe/x", FAILS_LONG, 0, CLIENT_OK, 500 },
		{ "/stream/x", FAILS_LONG, 0, CLIENT_OK, 500 },
		{ "/once/x", BREAKS_OFF_LONG, 0, CLIENT_BROKEN, 200 },
		{ "/safe/x", BREAKS_OFF_LONG, NO_MEMORY_BYTES, CLIENT_BROKEN,
		  200 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = {
			.acts = { cases[i].act },
			.memory_limit_bytes = cases[i].memory_bytes,
		};
		reply_t reply;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		gateway_fixture_call(&fixture, &reply, "GET", cases[i].path,
				     with_key, NULL);
		reply.discards = true;
		gateway_fixture_wait(&fixture, &reply, 3000);
		if (!reply.ended || reply.end != cases[i].end ||
		    reply.status != cases[i].status ||
		    fixture.arrival_count != 1)
			fail_msg("case %zu: ended %d with %d, status %d, "
				 "%zu arrivals",
				 i, reply.ended, (int)reply.end, reply.status,
				 fixture.arrival_count);
		gateway_fixture_stop(&fixture);
	}
}

/* Guards against a target that reaches the server cut off or changed. */
static void server_gets_another_target(void **state)
{
	static const struct {
		const char *target; /* begins with the path of a route */
		size_t filler_bytes; /* appended */
	} cases[] = {
		{ "/once/", 7000 },	  { "/once/", 8186 },
		{ "/once/", 12000 },	  { "/once/x?q=", 8180 },
		{ "/once/x?q=", 8182 },	  { "/once/x?q=", 12000 },
		{ "/safe/x?q=", 12000 },  { "/stream/x?q=", 12000 },
		{ "/single/?q=", 12000 }, { "/safe/x?", 0 },
		{ "/once/x?", 0 },	  { "/safe/x??a=?&b", 0 },
		{ "/safe/%2e%00/x", 0 },  { "/safe//x?%zz", 0 },
	};
	gateway_fixture_t fixture;
	reply_t reply;
	size_t i;

	start(&fixture);
	for (i = 0; i < COUNT_OF(cases); i++) {
		size_t size = strlen(cases[i].target) + cases[i].filler_bytes;
		char *target = test_calloc(size + 1, 1);
		char *line = test_calloc(size + 32, 1);

		memset(target, 'y', size);
		memcpy(target, cases[i].target, strlen(cases[i].target));
		sprintf(line, "POST %s HTTP/1.1\r\n", target);
		fixture.arrival_count = 0;
		gateway_fixture_call(&fixture, &reply, "POST", target, with_key,
				     "body");
		assert_true(gateway_fixture_wait(&fixture, &reply, 2000));
		if (reply.status != 200 ||
		    strncmp(fixture.arrivals[0].text, line, strlen(line)) != 0)
			fail_msg("%s with %zu bytes more: status %d",
				 cases[i].target, cases[i].filler_bytes,
				 reply.status);
		test_free(line);
		test_free(target);
	}
	gateway_fixture_stop(&fixture);
}

/* A part of the configuration that has a size of the operator's choice. */
typedef enum {
	LONG_KEY,
	LONG_ACCOUNT,
	LONG_SERVICE,
	LONG_PREFIX,
	LONG_HOST,
	LONG_HEALTH_PATH,
	MANY_SERVICES /* of a route, by weight */
} long_part_t;

typedef struct {
	long_part_t part;
	int size;
} long_case_t;

static const long_case_t *long_case;

/* @return a text of the size of the case, which begins with @p begin */
static const char *long_text(const char *begin)
{
	static char text[16384];
	int size = long_case->size;

	assert_true(size < (int)sizeof(text));
	memset(text, 'y', sizeof(text));
	memcpy(text, begin, strlen(begin));
	if (long_case->part == LONG_PREFIX)
		text[size - 1] = '/';
	text[size] = '\0';
	return text;
}

static void set(json_t *array, size_t i, const char *key, const char *text)
{
	json_object_set_new(json_array_get(array, i), key, json_string(text));
}

static void use_many_services(json_t *route)
{
	json_t *services = json_array();
	int i;

	for (i = 0; i < long_case->size; i++)
		json_array_append_new(services,
				      json_pack("{s:s,s:i}", "service", "s",
						"weight", 1));
	json_object_del(route, "service");
	json_object_set_new(route, "backends", services);
}

static void edit_long(const gateway_fixture_t *fixture, const char *path,
		      json_t *spec)
{
	json_t *routes = json_object_get(spec, "routes");
	json_t *accounts = json_object_get(spec, "tenants");
	bool is_configuration = !strcmp(path, "/objects/config");
	const char *service =
		json_string_value(json_object_get(spec, "service"));

	if (!is_configuration) {
		if (long_case->part == LONG_SERVICE && service &&
		    !strcmp(service, "s"))
			json_object_set_new(spec, "service",
					    json_string(long_text("")));
		return;
	}
	switch (long_case->part) {
	case LONG_KEY:
		json_array_append_new(
			json_object_get(json_array_get(accounts, 0), "keys"),
			json_string(long_text("k2")));
		return;
	case LONG_ACCOUNT:
		set(accounts, 0, "name", long_text(""));
		return;
	case LONG_SERVICE:
		set(routes, 0, "service", long_text(""));
		set(json_object_get(spec, "services"), 0, "name",
		    long_text(""));
		return;
	case LONG_PREFIX:
		set(routes, 0, "pathPrefix", long_text("/safe/"));
		return;
	case LONG_HOST:
		set(routes, 0, "host", long_text("h"));
		return;
	case LONG_HEALTH_PATH:
		set(json_object_get(spec, "services"), 0, "healthPath",
		    long_text("/"));
		return;
	case MANY_SERVICES:
		use_many_services(json_array_get(routes, 0));
		return;
	}
}

static void call_long(gateway_fixture_t *fixture, reply_t *reply, bool is_long)
{
	static char target[20000], host[20000], key[20000];
	const char *headers[] = { host, "X-Request-Id: r1",
				  "X-Deadline-Ms: 1400", key, NULL };
	long_part_t part = long_case->part;

	snprintf(target, sizeof(target), "/%s/x",
		 is_long || part == LONG_SERVICE ? "safe" : "once");
	if (is_long && part == LONG_PREFIX)
		snprintf(target, sizeof(target), "%sx", long_text("/safe/"));
	snprintf(host, sizeof(host), "Host: %s",
		 is_long && part == LONG_HOST ? long_text("h") : "h");
	snprintf(key, sizeof(key), "Authorization: Bearer %s",
		 is_long && part == LONG_KEY ? long_text("k2") : FIXTURE_KEY);
	gateway_fixture_call(fixture, reply, "POST", target, headers, "body");
	assert_true(gateway_fixture_wait(fixture, reply, 2000));
}

/*
 * Guards against a configuration that a node refuses as a whole, so that it
 * serves nothing after a restart: each part of it has any size that fits into a
 * request. What uses this part is served, and the rest, too.
 */
static void node_serves_nothing_with_a_long_configuration(void **state)
{
	static const long_case_t cases[] = {
		{ LONG_KEY, 127 },	    { LONG_KEY, 128 },
		{ LONG_KEY, 164 },	    { LONG_KEY, 8000 },
		{ LONG_ACCOUNT, 63 },	    { LONG_ACCOUNT, 64 },
		{ LONG_ACCOUNT, 640 },	    { LONG_SERVICE, 63 },
		{ LONG_SERVICE, 64 },	    { LONG_SERVICE, 640 },
		{ LONG_PREFIX, 255 },	    { LONG_PREFIX, 256 },
		{ LONG_PREFIX, 2560 },	    { LONG_HOST, 255 },
		{ LONG_HOST, 256 },	    { LONG_HOST, 2560 },
		{ LONG_HEALTH_PATH, 255 },  { LONG_HEALTH_PATH, 256 },
		{ LONG_HEALTH_PATH, 2560 }, { MANY_SERVICES, 8 },
		{ MANY_SERVICES, 9 },	    { MANY_SERVICES, 90 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = { .edit = edit_long };
		reply_t usual, special;
		char account[1000] = "X-Tenant: acme\r\n";

		long_case = &cases[i];
		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		if (cases[i].part == LONG_ACCOUNT)
			snprintf(account, sizeof(account), "X-Tenant: %s\r\n",
				 long_text(""));
		call_long(&fixture, &usual, false);
		call_long(&fixture, &special, true);
		if (usual.status != 200 || special.status != 200 ||
		    !strstr(fixture.arrivals[1].text, account))
			fail_msg("part %d of size %d: status %d and %d",
				 (int)cases[i].part, cases[i].size,
				 usual.status, special.status);
		gateway_fixture_stop(&fixture);
	}
}

/*
 * Guards against requests served with an invalid key, and against keys and
 * routes rejected permanently while the store is silent and may hold newer
 * ones.
 */
static void checks_keys_and_routes(void **state)
{
	static const struct {
		const char *guards_against, *path, *key;
		bool store_lost;
		int status;
	} cases[] = {
		{ "an unknown key accepted", "/safe/x",
		  "Authorization: Bearer k9", false, 401 },
		{ "a request without a key accepted", "/safe/x", "X-Other: 1",
		  false, 401 },
		{ "a public route that needs a key", "/open/x", "X-Other: 1",
		  false, 200 },
		{ "a key accepted that may be removed", "/safe/x",
		  FIXTURE_AUTHORIZATION, true, 503 },
		{ "a key rejected that may be new", "/safe/x",
		  "Authorization: Bearer k9", true, 503 },
		{ "a route rejected that may be new", "/none/x", "X-Other: 1",
		  true, 503 },
		{ "a public route refused for lack of current keys", "/open/x",
		  "X-Other: 1", true, 200 },
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

/*
 * Guards against a 401 or 404 from a node that has not read its configuration
 * yet: the answer must ask the caller to retry.
 */
static void refuses_without_configuration(void **state)
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

/* Guards against requests that run on after their caller has disconnected. */
static void cancels_when_the_caller_closes(void **state)
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

/* Guards against a request that a stopped node passes on when its time is over:
 * the kernel sends it again until then at most. */
static void request_of_a_stopped_node_comes_late(void **state)
{
	enum { DEADLINE_MS = 900 };
	static const char *const paths[] = { "/safe/x", "/once/x",
					     "/stream/x" };
	static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
					       "Authorization: Bearer k1",
					       "X-Deadline-Ms: 900", NULL };
	size_t i;

	for (i = 0; i < COUNT_OF(paths); i++) {
		gateway_fixture_t fixture;
		reply_t reply;
		int limit_ms;

		start(&fixture);
		fixture.acts[0] = SILENT;
		gateway_fixture_call(&fixture, &reply, "GET", paths[i], headers,
				     NULL);
		gateway_fixture_run(&fixture, 60);
		assert_int_equal(fixture.arrival_count, 1);
		limit_ms = loopback_option(
			fixture.servers[fixture.arrivals[0].server].port,
			IPPROTO_TCP, TCP_USER_TIMEOUT);
		if (limit_ms < 1 || limit_ms > DEADLINE_MS)
			fail_msg("%s: %d ms", paths[i], limit_ms);
		gateway_fixture_stop(&fixture);
	}
}

/*
 * Guards against bodies above the limit, and against request smuggling: bodies
 * whose length two parsers take differently.
 */
static void refuses_invalid_bodies(void **state)
{
	static const struct {
		const char *guards_against, *header;
		size_t size;
		int status;
	} cases[] = {
		{ "a body above the limit accepted", "X-Other: 1", 5000, 413 },
		{ "a Content-Length beside chunks accepted",
		  "Transfer-Encoding: chunked", 4, 400 },
		{ "a body within the limit refused", "X-Other: 1", 3000, 200 },
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

/* Copies the id of the incarnation that a request was sent to. */
/* The body comes in two parts, and needs almost all of the memory for bodies.
 */
static void body_refused_because_its_memory_counts_twice(void **state)
{
	static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
					       FIXTURE_AUTHORIZATION, NULL };
	char head[256], part[3991];
	gateway_fixture_t fixture;
	struct sockaddr_in address = { .sin_family = AF_INET };
	char answer[512] = "";
	int fd, i;

	start(&fixture);
	/* 35 in 100 of it are for bodies: 4200 bytes, for a body of 3990. */
	fixture.gateway->settings.memory_limit_bytes = 12000;
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(listener_port(fixture.gateway->callers));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	snprintf(head, sizeof(head),
		 "POST /once/x HTTP/1.1\r\n%s\r\n%s\r\n%s\r\n"
		 "Content-Length: 3990\r\n\r\n",
		 headers[0], headers[1], headers[2]);
	memset(part, 'x', sizeof(part));
	assert_int_equal(send(fd, head, strlen(head), 0), strlen(head));
	for (i = 0; i < 2; i++) {
		size_t size = i ? 2990 : 1000;

		assert_int_equal(send(fd, part, size, 0), size);
		gateway_fixture_run(&fixture, 30);
	}
	gateway_fixture_run(&fixture, 100);
	assert_true(recv(fd, answer, sizeof(answer) - 1, MSG_DONTWAIT) > 0);
	assert_non_null(strstr(answer, "HTTP/1.1 200"));
	close(fd);
	gateway_fixture_stop(&fixture);
}

static void expected_instance(const arrival_t *arrival, char id[16])
{
	const char *value = strstr(arrival->text, "X-Expect-Instance: ");

	assert_non_null(value);
	assert_int_equal(sscanf(value, "X-Expect-Instance: %15[^\r]", id), 1);
}

/*
 * Guards against requests sent to servers that reject requests or leave, and
 * against usable servers left out: a second request comes some time after such
 * notices.
 */
static void obeys_server_notices(void **state)
{
	static const struct {
		const char *fault;
		server_act_t acts[2]; /* what servers do with the first two
					 requests */
		int64_t pause_ms; /* time between the caller's requests */
		int status; /* status of the second answer */
		size_t arrivals; /* arrivals of both requests at the servers */
	} cases[] = {
		{ "sent to servers that reject this node's requests",
		  { REJECTS_ALL, REJECTS_ALL },
		  200,
		  503,
		  2 },
		{ "no server used after the time of rejection",
		  { REJECTS_ALL, REJECTS_ALL },
		  400,
		  200,
		  3 },
		{ "one rejecting server keeps the other unused",
		  { REJECTS_ALL, SERVES },
		  50,
		  200,
		  3 },
		{ "sent to a server that leaves, with another one left",
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
		gateway_fixture_run(&fixture, cases[i].pause_ms);
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
	REMOVED,
	REPLACED,
	RESTARTED,
	READDRESSED,
	TURNED_COLD,
	EVACUATED
} change_t;

/* Changes the server's entry in the gateway, as a view of the store would. */
static void change_server(gateway_fixture_t *fixture, const char *id,
			  change_t change)
{
	backends_t *backends = fixture->gateway->backends;
	backend_entry_t entry = *backend_entry(backends_find(backends, id));
	int64_t now_us = clock_monotonic_us();

	switch (change) {
	case REMOVED:
		backends_remove(backends, id, 0);
		return;
	case REPLACED:
		backends_remove(backends, id, 0);
		mem_strlcpy(entry.id, "i-new", sizeof(entry.id));
		break;
	case RESTARTED:
		entry.born_ms++;
		break;
	case READDRESSED:
		mem_strlcpy(entry.address, "127.0.0.1:9",
			    sizeof(entry.address));
		break;
	case TURNED_COLD:
		entry.cold_left_ms = 1000;
		break;
	case EVACUATED:
		backends_evacuate(backends, "a", true);
		return;
	}
	backends_update(backends, &entry, now_us);
}

/*
 * Guards against requests sent to a server that changed while engine memory was
 * being reserved, and against memory that stays reserved afterwards. The prompt
 * needs both servers; the lease of either one is granted late.
 */
static void places_again_when_a_server_changes(void **state)
{
	static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
					       FIXTURE_AUTHORIZATION,
					       "X-Token-Counts: 15000,100",
					       NULL };
	static const struct {
		const char *fault;
		change_t change;
		bool served; /* both servers are still usable, so that the
			      * request is served */
	} cases[] = {
		{ "sent to a removed server", REMOVED, false },
		{ "sent with the id of the replaced server", REPLACED, true },
		{ "sent with a lease from before the restart", RESTARTED,
		  true },
		{ "sent to the old address of a server", READDRESSED, false },
		{ "sent to a server that turned cold", TURNED_COLD, true },
		{ "sent to an evacuated data centre", EVACUATED, false },
	};
	static const char *const ids[] = { "i-m0", "i-m1" };
	size_t i;

	for (i = 0; i < COUNT_OF(cases) * COUNT_OF(ids); i++) {
		change_t change = cases[i / COUNT_OF(ids)].change;
		bool served = cases[i / COUNT_OF(ids)].served;
		gateway_fixture_t fixture;
		reply_t reply;
		const char *id = ids[i % COUNT_OF(ids)];
		size_t arrivals_before, released = 0, sent_to_removed = 0, j;

		start(&fixture);
		fixture.acts[0] = SERVES_DELAYED;
		gateway_fixture_call(&fixture, &reply, "POST", "/stream/long/x",
				     headers, "body");
		/* Waits for the reserve order, which is answered late. */
		for (j = 0; j < 100 &&
			    (!fixture.arrival_count ||
			     !strstr(fixture.arrivals[0].text, "\"reserve\""));
		     j++)
			gateway_fixture_run(&fixture, 5);
		assert_true(j < 100);
		change_server(&fixture, id, change);
		arrivals_before = fixture.arrival_count;
		assert_true(gateway_fixture_wait(&fixture, &reply, 2000));
		gateway_fixture_run(&fixture, 50);
		for (j = arrivals_before; j < fixture.arrival_count; j++) {
			const char *text = fixture.arrivals[j].text;

			released += strstr(text, "\"release\"") != NULL;
			sent_to_removed += change == REMOVED &&
					   !strstr(text, "/order") &&
					   strstr(text, id);
		}
		/* No release is sent to the new address: the server there knows
		 * no lease. */
		if (sent_to_removed || (!released && change != READDRESSED) ||
		    (reply.status == 200) != served)
			fail_msg("%s: status %d, released %zu",
				 cases[i / COUNT_OF(ids)].fault, reply.status,
				 released);
		gateway_fixture_stop(&fixture);
	}
}

/*
 * Guards against a prompt sent with the helper that refused memory, and against
 * granted leases that are given up because of a refused one. The prompt needs
 * three of four servers; two of their entries have the addresses of the others.
 */
static void sends_the_helpers_that_granted_memory(void **state)
{
	static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
					       FIXTURE_AUTHORIZATION,
					       "X-Token-Counts: 25000,100",
					       NULL };
	gateway_fixture_t fixture = { .controls_load = true,
				      .acts = { NOT_RUN } };
	const arrival_t *arrivals = fixture.arrivals;
	reply_t reply;
	int i;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	for (i = 0; i < 2; i++) {
		backends_t *backends = fixture.gateway->backends;
		backend_entry_t entry = *backend_entry(
			backends_find(backends, i ? "i-m1" : "i-m0"));

		entry.id[3] += 2;
		backends_update(backends, &entry, clock_monotonic_us());
	}
	gateway_fixture_call(&fixture, &reply, "POST", "/stream/long/x",
			     headers, "body");
	assert_true(gateway_fixture_wait(&fixture, &reply, 2000));
	assert_int_equal(reply.status, 200);
	/* The order that is refused, one that is granted, the replacement. */
	assert_non_null(strstr(arrivals[3].text, "X-Helpers: "));
	for (i = 0; i < 3; i++) {
		const char *id = strstr(arrivals[i].text, "\"id\":\"");
		char helper[NAME_SIZE_BYTES * 2];

		assert_non_null(strstr(arrivals[i].text, "\"reserve\""));
		id += strlen("\"id\":\"");
		snprintf(helper, sizeof(helper), ":%d/%.*s",
			 fixture.servers[arrivals[i].server].port,
			 (int)strcspn(id, "\""), id);
		assert_int_equal(strstr(arrivals[3].text, helper) != NULL,
				 i > 0);
	}
	/* The servers answer the orders to release the leases. */
	gateway_fixture_run(&fixture, 50);
	gateway_fixture_stop(&fixture);
}

/*
 * Adds up the requests in all reports. Asserts that a report that was not
 * accepted is repeated unchanged.
 */
static int sum_reported(const gateway_fixture_t *fixture)
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

/*
 * Guards against requests that are not reported, or are counted twice because
 * two reports of one window differ, and against calls to the platform after a
 * stop has released the lease on the reporting duty.
 */
static void reports_usage_once(void **state)
{
	static const char *const paths[] = { "/safe/x", "/stream/x",
					     "/open/x" };
	gateway_fixture_t fixture = { .has_duties = true };
	size_t i;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	/* Four of these requests belong to an account: public routes have
	 * none. */
	for (i = 0; i < 6; i++) {
		reply_t reply;

		gateway_fixture_call(&fixture, &reply, "GET",
				     paths[i % COUNT_OF(paths)], with_key,
				     NULL);
		assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
		assert_int_equal(reply.status, 200);
	}
	/* The first reports get a 503. */
	fixture.duties_fail = true;
	for (i = 0; i < 100 && !fixture.duty_call_count; i++)
		gateway_fixture_run(&fixture, 100);
	fixture.duties_fail = false;
	for (i = 0; i < 50 && sum_reported(&fixture) < 4; i++)
		gateway_fixture_run(&fixture, 100);
	gateway_fixture_run(&fixture, 500);
	assert_int_equal(sum_reported(&fixture), 4);
	assert_int_equal(duties_state(fixture.gateway->duties),
			 DUTY_STATE_HELD);
	gateway_stop(fixture.gateway);
	assert_int_equal(duties_state(fixture.gateway->duties),
			 DUTY_STATE_NONE);
	gateway_fixture_stop(&fixture);
}

static void request_late_in_a_stop_gets_no_answer(void **state)
{
	static const struct {
		const char *guards_against, *path;
		int32_t after_ms; /* time from SIGTERM to the request */
		size_t arrivals;
		int status;
	} cases[] = {
		{ "an order that may outlast the process", "/once/x", 2950, 0,
		  503 },
		{ "an order that is at a server when the process ends",
		  "/once/x", 2600, 1, 504 },
		{ "a lookup that may outlast the process", "/safe/x", 2950, 0,
		  503 },
		{ "a lookup that is at a server when the process ends",
		  "/safe/x", 2600, 2, 504 },
		{ "a lookup that comes too late", "/safe/x", 3700, 0, 503 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture;
		reply_t reply;

		start(&fixture);
		fixture.acts[0] = fixture.acts[1] = SILENT;
		gateway_stop(fixture.gateway);
		gateway_fixture_run(&fixture, cases[i].after_ms);
		gateway_fixture_call(&fixture, &reply, "POST", cases[i].path,
				     with_key, "body");
		gateway_fixture_wait(&fixture, &reply,
				     4000 - cases[i].after_ms);
		if (!reply.ended || reply.end != CLIENT_OK ||
		    reply.status != cases[i].status ||
		    fixture.arrival_count != cases[i].arrivals)
			fail_msg("case \"%s\": status %d, %zu arrivals",
				 cases[i].guards_against, reply.status,
				 fixture.arrival_count);
		gateway_fixture_stop(&fixture);
	}
}

/*
 * Guards against requests that a stop interrupts: after the load balancer has
 * noticed the stop, one whose time limit is over before the end is served, and
 * another one is refused, so that the caller retries at another node.
 */
static void stops_gracefully(void **state)
{
	static const char *const in_time[] = { "Host: h", "X-Request-Id: r2",
					       "X-Deadline-Ms: 500",
					       FIXTURE_AUTHORIZATION, NULL };
	gateway_fixture_t fixture;
	reply_t lookup, stream, short_lookup, short_stream;

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
	gateway_fixture_call(&fixture, &short_stream, "GET", "/stream/x",
			     in_time, NULL);
	gateway_fixture_call(&fixture, &short_lookup, "GET", "/safe/x", in_time,
			     NULL);
	assert_true(gateway_fixture_wait(&fixture, &stream, 1000));
	assert_true(gateway_fixture_wait(&fixture, &lookup, 1000));
	assert_true(gateway_fixture_wait(&fixture, &short_stream, 1000));
	assert_true(gateway_fixture_wait(&fixture, &short_lookup, 1000));
	assert_int_equal(stream.status, 503);
	assert_non_null(strstr(stream.headers, "Retry-After: "));
	assert_int_equal(lookup.status, 503);
	assert_non_null(strstr(lookup.headers, "Retry-After: "));
	assert_int_equal(short_stream.status, 200);
	assert_int_equal(short_lookup.status, 200);
	gateway_fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(relays_or_retries_answers),
		cmocka_unit_test(aborts_a_stream_that_cannot_resume),
		cmocka_unit_test(refuses_with_retry_before_the_deadline),
		cmocka_unit_test(sends_headers_to_servers),
		cmocka_unit_test(answers_of_two_servers_become_one),
		cmocka_unit_test(server_gets_another_target),
		cmocka_unit_test(node_serves_nothing_with_a_long_configuration),
		cmocka_unit_test(checks_keys_and_routes),
		cmocka_unit_test(refuses_without_configuration),
		cmocka_unit_test(cancels_when_the_caller_closes),
		cmocka_unit_test(request_of_a_stopped_node_comes_late),
		cmocka_unit_test(refuses_invalid_bodies),
		cmocka_unit_test(body_refused_because_its_memory_counts_twice),
		cmocka_unit_test(obeys_server_notices),
		cmocka_unit_test(places_again_when_a_server_changes),
		cmocka_unit_test(sends_the_helpers_that_granted_memory),
		cmocka_unit_test(reports_usage_once),
		cmocka_unit_test(request_late_in_a_stop_gets_no_answer),
		cmocka_unit_test(stops_gracefully),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

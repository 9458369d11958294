/**
 * Requests at a node that cannot reach the servers, while another node reaches
 * them: what callers get, and what reaches the servers.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "lib/memory.h"
#include "process/gateway.h"

#define ALL_EVENTS                               \
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" \
	"id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"

enum {
	/* Nodes know of each other after 1.2 s, and later on a busy machine. */
	MEET_MS = 10000,
	/* The platform's rule: callers are served again this long after a cut
	 * began. */
	STABLE_WINDOW_MS = 3000,
	CALLS = 6, /* of each kind, after that */
	DEADLINE_MS = 1400,
	STOP_AFTER_MS = 50, /* a request was sent */
	ENDED_MS = 300,
	LONG_TARGET_BYTES = 12000,
	MEMORY_LIMIT_BYTES = 8 << 20,
	ENDLESS = 20, /* requests whose answers do not end */
	CONNECTION_BYTES = 320 * 1024 /* heap of one, with both nodes */
};

/* A node that is cut off from its servers, and one that is not. Both know the
 * same servers by the same ids. */
typedef struct {
	gateway_fixture_t near, far;
} pair_t;

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static void run(pair_t *pair, int64_t ms)
{
	int64_t end_us = clock_monotonic_us() + ms * US_PER_MS;

	do {
		ev_run(pair->near.loop, EVRUN_NOWAIT);
		ev_run(pair->far.loop, EVRUN_NOWAIT);
		usleep(200);
	} while (clock_monotonic_us() < end_us);
}

/* The node that reaches the servers fails, refuses or stops. */
typedef enum {
	FAR_WORKS,
	FAR_CUT_OFF,
	FAR_TAKES_NONE, /* like a build without relays */
	FAR_STOPS,
	FAR_GONE, /* its process ended */
	FAR_HAS_OTHER_CONFIGURATION
} far_t;

static bool knows(const gateway_fixture_t *fixture)
{
	return gateway_is_ready(fixture->gateway) &&
	       fixture->gateway->peer_count &&
	       load_table_node_count(fixture->gateway->load_table);
}

static void start_with(pair_t *pair, far_t far)
{
	int64_t end_us = clock_monotonic_us() + MEET_MS * US_PER_MS;

	*pair = (pair_t){ .near = { .node_id = "n1",
				    .has_health = true,
				    .slots = 100,
				    .keys_stay = true,
				    .memory_limit_bytes = MEMORY_LIMIT_BYTES },
			  .far = { .node_id = "n2",
				   .slots = 100,
				   .keys_stay = true,
				   .memory_limit_bytes = MEMORY_LIMIT_BYTES } };
	pair->far.takes_no_relays = far == FAR_TAKES_NONE;
	if (far == FAR_HAS_OTHER_CONFIGURATION)
		pair->far.configuration_version = 9;
	pair->near.other = &pair->far;
	pair->far.other = &pair->near;
	gateway_fixture_start(&pair->near);
	gateway_fixture_start(&pair->far);
	while (!knows(&pair->near) || !knows(&pair->far)) {
		assert_true(clock_monotonic_us() < end_us);
		run(pair, 0);
	}
}

static void start(pair_t *pair)
{
	start_with(pair, FAR_WORKS);
	assert_true(gateway_is_ready(pair->near.gateway));
	assert_true(gateway_is_ready(pair->far.gateway));
}

static void stop(pair_t *pair)
{
	gateway_fixture_stop(&pair->near);
	gateway_fixture_stop(&pair->far);
}

static void cut(pair_t *pair, cut_t kind)
{
	size_t i;

	for (i = 0; i < COUNT_OF(pair->near.servers); i++)
		gateway_fixture_cut_server(&pair->near, &pair->near.servers[i],
					   kind);
}

static void break_far(pair_t *pair, far_t far)
{
	size_t i;

	switch (far) {
	case FAR_WORKS:
	case FAR_TAKES_NONE:
	case FAR_HAS_OTHER_CONFIGURATION:
		return;
	case FAR_CUT_OFF:
		for (i = 0; i < COUNT_OF(pair->far.servers); i++)
			gateway_fixture_cut_server(
				&pair->far, &pair->far.servers[i], CUT_REFUSES);
		return;
	case FAR_STOPS:
		gateway_stop(pair->far.gateway);
		return;
	case FAR_GONE:
		listener_destroy(pair->far.gateway->relayed);
		pair->far.gateway->relayed = NULL;
		return;
	}
}

/* Sends a request to the node that is cut off. */
static void begin_call(pair_t *pair, reply_t *reply, const char *path,
		       int number)
{
	char id[40];
	const char *headers[] = { "Host: h", id, "X-Deadline-Ms: 1400",
				  FIXTURE_AUTHORIZATION, NULL };

	snprintf(id, sizeof(id), "X-Request-Id: r%d", number);
	gateway_fixture_call(&pair->near, reply, "POST", path, headers, "body");
}

static void finish_call(pair_t *pair, const reply_t *reply)
{
	int64_t end_us = clock_monotonic_us() + DEADLINE_MS * US_PER_MS;

	while (!reply->ended && clock_monotonic_us() < end_us)
		run(pair, 0);
}

static void call(pair_t *pair, reply_t *reply, const char *path, int number)
{
	begin_call(pair, reply, path, number);
	finish_call(pair, reply);
}

/*
 * Stops a node.
 * @param ends the requests that are left are ended after ENDED_MS
 */
static void stop_node(gateway_fixture_t *fixture, bool ends)
{
	gateway_t *gateway = fixture->gateway;

	gateway_stop(gateway);
	if (ends)
		gateway->stop_started_us -= gateway_stops_at_us(gateway) -
					    clock_monotonic_us() -
					    ENDED_MS * US_PER_MS;
}

/* Calls until the node has noticed the cut, for which it has so long. */
static void notice(pair_t *pair, const char *path)
{
	int64_t end_us = clock_monotonic_us() + STABLE_WINDOW_MS * US_PER_MS;
	reply_t reply;
	int i;

	for (i = 0; !backends_is_cut_off(pair->near.gateway->backends, "s");
	     i++) {
		assert_true(clock_monotonic_us() < end_us);
		call(pair, &reply, path, 1000 + i);
	}
}

static void callers_of_a_node_cut_from_servers_are_refused(void **state)
{
	static const struct {
		const char *guards_against;
		cut_t cut;
		const char *path, *body;
	} cases[] = {
		{ "lookups, reset", CUT_REFUSES, "/safe/x", "0123456789" },
		{ "lookups, silent", CUT_HANGS, "/safe/x", "0123456789" },
		{ "orders, reset", CUT_REFUSES, "/once/x", "0123456789" },
		{ "orders, silent", CUT_HANGS, "/once/x", "0123456789" },
		{ "streams, reset", CUT_REFUSES, "/stream/x", ALL_EVENTS },
		{ "streams that run once", CUT_REFUSES, "/single/x",
		  ALL_EVENTS },
	};
	size_t i;
	int j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		pair_t pair;
		reply_t reply;
		size_t before;

		start(&pair);
		cut(&pair, cases[i].cut);
		notice(&pair, cases[i].path);
		before = pair.far.arrival_count;
		for (j = 0; j < CALLS; j++) {
			call(&pair, &reply, cases[i].path, j);
			if (reply.status != 200 ||
			    strcmp(reply.body, cases[i].body) != 0)
				fail_msg("case \"%s\", call %d: status %d, "
					 "body \"%s\"",
					 cases[i].guards_against, j,
					 reply.status, reply.body);
		}
		if (pair.far.arrival_count - before != CALLS)
			fail_msg("case \"%s\": %zu arrivals",
				 cases[i].guards_against,
				 pair.far.arrival_count - before);
		stop(&pair);
	}
}

/*
 * Guards against a request that runs twice over two nodes, an answer that is
 * not the server's, a refusal of a request that may have run, and a request
 * that is passed on without end.
 */
static void relayed_requests_break_a_rule_of_one_node(void **state)
{
	static const struct {
		const char *guards_against, *path;
		far_t far;
		server_act_t acts[ACTS_MAX];
		size_t arrivals;
		int status;
		const char *body; /* NULL: any */
	} cases[] = {
		{ "an order that runs twice",
		  "/once/x",
		  FAR_WORKS,
		  { CLOSES, SERVES },
		  1,
		  502,
		  NULL },
		{ "a lookup that is not repeated",
		  "/safe/x",
		  FAR_WORKS,
		  { CLOSES, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "a lookup that runs more often than its route allows",
		  "/safe/x",
		  FAR_WORKS,
		  { CLOSES, CLOSES, SERVES },
		  2,
		  502,
		  NULL },
		{ "a lookup that waits for a silent server",
		  "/safe/x",
		  FAR_WORKS,
		  { SILENT, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "an order that a server refused, not sent to another",
		  "/once/x",
		  FAR_WORKS,
		  { NOT_RUN, SERVES },
		  2,
		  200,
		  "0123456789" },
		{ "a server's error that is not relayed",
		  "/once/x",
		  FAR_WORKS,
		  { FAILS },
		  1,
		  500,
		  "bad" },
		{ "a stream that is not resumed",
		  "/stream/x",
		  FAR_WORKS,
		  { BREAKS_OFF, SERVES },
		  2,
		  200,
		  ALL_EVENTS },
		{ "events twice",
		  "/stream/x",
		  FAR_WORKS,
		  { BREAKS_OFF, REPEATS },
		  2,
		  200,
		  ALL_EVENTS },
		{ "a stream that may run once, broken off before the caller "
		  "has its head, sent again",
		  "/single/x",
		  FAR_WORKS,
		  { BREAKS_OFF },
		  1,
		  502,
		  NULL },
		{ "a stream that may run once, ended as if it were whole",
		  "/single/x",
		  FAR_WORKS,
		  { TRICKLES },
		  1,
		  0,
		  "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" },
		{ "a loop", "/once/x", FAR_CUT_OFF, { SERVES }, 0, 503, NULL },
		{ "a node that does not know relays",
		  "/once/x",
		  FAR_TAKES_NONE,
		  { SERVES },
		  0,
		  503,
		  NULL },
		{ "a node that stops",
		  "/once/x",
		  FAR_STOPS,
		  { SERVES },
		  0,
		  503,
		  NULL },
		{ "a node that is gone",
		  "/once/x",
		  FAR_GONE,
		  { SERVES },
		  0,
		  503,
		  NULL },
		{ "a node with another configuration",
		  "/once/x",
		  FAR_HAS_OTHER_CONFIGURATION,
		  { SERVES },
		  0,
		  503,
		  NULL },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		pair_t pair;
		reply_t reply;

		start_with(&pair, cases[i].far);
		cut(&pair, CUT_REFUSES);
		notice(&pair, cases[i].path);
		break_far(&pair, cases[i].far);
		memcpy(pair.far.acts, cases[i].acts, sizeof(pair.far.acts));
		pair.far.arrival_count = 0;
		call(&pair, &reply, cases[i].path, 1);
		if ((reply.end == CLIENT_OK ? reply.status : 0) !=
			    cases[i].status ||
		    pair.far.arrival_count != cases[i].arrivals ||
		    (cases[i].body && strcmp(reply.body, cases[i].body) != 0))
			fail_msg("case \"%s\": status %d, %zu arrivals, "
				 "body \"%s\"",
				 cases[i].guards_against, reply.status,
				 pair.far.arrival_count, reply.body);
		if (reply.status == 503 &&
		    !strstr(reply.headers, "Retry-After: "))
			fail_msg("case \"%s\": no Retry-After",
				 cases[i].guards_against);
		stop(&pair);
	}
}

/*
 * Guards against a relayed request that ends without a whole answer, or runs
 * twice, since one of its two nodes stops while a server runs it.
 */
static void relayed_request_is_lost_when_a_node_stops(void **state)
{
	static const struct {
		const char *guards_against, *path;
		server_act_t act; /* of the first server that gets it */
		enum {
			FAR, /* reaches the servers */
			FAR_ENDS, /* and ends the request */
			NEAR, /* has the caller */
			NEAR_ENDS,
			NEAR_BEFORE /* before it gets the request */
		} stops;
		size_t arrivals;
		int status;
		size_t bytes; /* of the body; 0: any */
	} cases[] = {
		{ "a held lookup", "/safe/x", SERVES_DELAYED, FAR, 1, 200, 10 },
		{ "a held order", "/once/x", SERVES_DELAYED, FAR, 1, 200, 10 },
		{ "a delayed stream", "/stream/x", SERVES_DELAYED, FAR, 1, 200,
		  0 },
		{ "a lookup in parts", "/safe/x", SERVES_PARTS, FAR, 1, 200,
		  PARTS_BODY_BYTES },
		{ "an order in parts", "/once/x", SERVES_PARTS_CHUNKED, FAR, 1,
		  200, PARTS_BODY_BYTES },
		{ "an order that ends with its connection", "/once/x",
		  SERVES_PARTS_UNFRAMED, FAR, 1, 200, PARTS_BODY_BYTES },
		{ "a held lookup, sender", "/safe/x", SERVES_DELAYED, NEAR, 1,
		  200, 10 },
		{ "a held order, sender", "/once/x", SERVES_DELAYED, NEAR, 1,
		  200, 10 },
		{ "a delayed stream, sender", "/stream/x", SERVES_DELAYED, NEAR,
		  1, 200, 0 },
		{ "a lookup in parts, sender", "/safe/x", SERVES_PARTS, NEAR, 1,
		  200, PARTS_BODY_BYTES },
		{ "an order in parts, sender", "/once/x", SERVES_PARTS_CHUNKED,
		  NEAR, 1, 200, PARTS_BODY_BYTES },
		{ "a lookup after the signal", "/safe/x", SERVES, NEAR_BEFORE,
		  1, 200, 10 },
		{ "an order after the signal", "/once/x", SERVES_PARTS,
		  NEAR_BEFORE, 1, 200, PARTS_BODY_BYTES },
		{ "a stream after the signal", "/stream/x", SERVES, NEAR_BEFORE,
		  1, 200, 0 },
		{ "a stream that falls silent, sender", "/stream/x", TRICKLES,
		  NEAR, 2, 200, 0 },
		{ "a stream that falls silent", "/stream/x", TRICKLES, FAR, 2,
		  200, 0 },
		{ "a lookup whose server is silent", "/safe/x", SILENT, FAR, 1,
		  502, 0 },
		{ "a lookup that the stop ends", "/safe/x", SILENT, FAR_ENDS, 1,
		  502, 0 },
		{ "an order that the stop ends", "/once/x", SILENT, FAR_ENDS, 1,
		  502, 0 },
		{ "a stream that the stop ends", "/stream/x", SILENT, FAR_ENDS,
		  1, 502, 0 },
		{ "a lookup that the stop ends, sender", "/safe/x", SILENT,
		  NEAR_ENDS, 1, 504, 0 },
		{ "an order that the stop ends, sender", "/once/x", SILENT,
		  NEAR_ENDS, 1, 504, 0 },
	};
	size_t i, wrong = 0;

	for (i = 0; i < COUNT_OF(cases); i++) {
		pair_t pair;
		reply_t reply = { .ended = false };

		start(&pair);
		cut(&pair, CUT_REFUSES);
		notice(&pair, cases[i].path);
		pair.far.arrival_count = 0;
		pair.far.acts[0] = cases[i].act;
		if (cases[i].stops == NEAR_BEFORE)
			stop_node(&pair.near, false);
		begin_call(&pair, &reply, cases[i].path, 1);
		reply.discards = true;
		run(&pair, STOP_AFTER_MS);
		stop_node(cases[i].stops >= NEAR ? &pair.near : &pair.far,
			  cases[i].stops == FAR_ENDS ||
				  cases[i].stops == NEAR_ENDS);
		finish_call(&pair, &reply);
		if ((reply.end == CLIENT_OK ? reply.status : 0) !=
			    cases[i].status ||
		    pair.far.arrival_count != cases[i].arrivals ||
		    (cases[i].bytes && reply.size != cases[i].bytes)) {
			print_error("case \"%s\": status %d, end %d, %zu "
				    "bytes, %zu arrivals\n",
				    cases[i].guards_against, reply.status,
				    (int)reply.end, reply.size,
				    pair.far.arrival_count);
			wrong++;
		}
		stop(&pair);
	}
	assert_int_equal(wrong, 0);
}

static bool has_header(const arrival_t *arrival, const char *header)
{
	return strstr(arrival->text, header);
}

/* Guards against a key, or what nodes tell each other, that reaches servers,
 * against a target that reaches them cut off, and against a server that gets
 * more time than the caller has. */
static void server_of_a_relayed_request_gets_other_headers(void **state)
{
	static char target[LONG_TARGET_BYTES], line[LONG_TARGET_BYTES + 8];
	pair_t pair;
	reply_t reply;
	const char *deadline;

	snprintf(target, sizeof(target), "/once/x?q=%0*d",
		 (int)sizeof(target) - 11, 0);
	snprintf(line, sizeof(line), "POST %s ", target);
	start(&pair);
	cut(&pair, CUT_REFUSES);
	notice(&pair, "/once/x");
	pair.far.arrival_count = 0;
	call(&pair, &reply, target, 7);
	assert_int_equal(reply.status, 200);
	assert_null(strstr(reply.headers, "Chivestage-Relay"));
	assert_true(has_header(pair.far.arrivals, line));
	assert_true(has_header(pair.far.arrivals, "X-Request-Id: r7\r\n"));
	assert_true(has_header(pair.far.arrivals, "X-Tenant: acme\r\n"));
	assert_true(has_header(pair.far.arrivals, "\r\n\r\nbody"));
	assert_false(has_header(pair.far.arrivals, "Authorization"));
	assert_false(has_header(pair.far.arrivals, "Chivestage-Relay"));
	deadline = strstr(pair.far.arrivals->text, "X-Deadline-Ms: ");
	assert_non_null(deadline);
	assert_true(atoi(deadline + strlen("X-Deadline-Ms: ")) <= DEADLINE_MS);
	stop(&pair);
}

/* Guards against nodes that run out of memory while a server behind two of them
 * sends without end. */
static void answer_without_end_takes_the_memory_of_two_nodes(void **state)
{
	static const text_act_t acts[] = { { "/e HTTP", ENDLESS_BODY },
					   { NULL, SERVES } };
	/* Answers may take a fifth of the memory of each node. */
	size_t bound_bytes =
		2 * MEMORY_LIMIT_BYTES / 5 + ENDLESS * CONNECTION_BYTES;
	size_t before, peak = 0;
	int fds[ENDLESS], i;
	pair_t pair;
	reply_t reply;

	start(&pair);
	cut(&pair, CUT_REFUSES);
	notice(&pair, "/safe/x");
	pair.far.text_acts = acts;
	before = memory_in_use();
	for (i = 0; i < ENDLESS; i++)
		fds[i] = gateway_fixture_send_unread(&pair.near, "/safe/e", i);
	for (i = 0; i < CALLS; i++) {
		call(&pair, &reply, "/safe/x", i);
		if (reply.status != 200)
			fail_msg("call %d: status %d %s", i, reply.status,
				 reply.body);
		run(&pair, 40);
		if (memory_in_use() > before + peak)
			peak = memory_in_use() - before;
	}
	print_message("at most %zu KiB\n", peak / 1024);
	assert_true(peak <= bound_bytes);
	for (i = 0; i < ENDLESS; i++)
		close(fds[i]);
	stop(&pair);
}

/* Guards against a server that works on for a caller that left. */
static void server_works_on_for_a_caller_behind_two_nodes(void **state)
{
	static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
					       "X-Deadline-Ms: 1400",
					       FIXTURE_AUTHORIZATION, NULL };
	pair_t pair;
	reply_t reply;

	start(&pair);
	cut(&pair, CUT_REFUSES);
	notice(&pair, "/stream/x");
	pair.far.arrival_count = 0;
	pair.far.acts[0] = SILENT;
	gateway_fixture_call(&pair.near, &reply, "POST", "/stream/x", headers,
			     "body");
	run(&pair, 100);
	assert_int_equal(pair.far.arrival_count, 1);
	client_call_cancel(reply.call);
	run(&pair, 200);
	assert_true(pair.far.arrivals[0].closed);
	stop(&pair);
}

/* Guards against requests of others than nodes at the address for nodes. */
static void others_than_nodes_get_in(void **state)
{
	static const char *const keys[] = {
		"X-None: 1",
		"Chivestage-Relay-Key: ",
		"Chivestage-Relay-Key: 00000000000000000000000000000000",
	};
	size_t i;

	for (i = 0; i < COUNT_OF(keys); i++) {
		const char *headers[] = { "Host: h",
					  "X-Request-Id: r1",
					  "X-Deadline-Ms: 1400",
					  "Chivestage-Relay-Version: 3,1000",
					  FIXTURE_AUTHORIZATION,
					  keys[i],
					  NULL };
		gateway_fixture_t fixture = { .has_health = true };
		listener_t *callers;
		reply_t reply;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		callers = fixture.gateway->callers;
		fixture.gateway->callers = fixture.gateway->relayed;
		gateway_fixture_call(&fixture, &reply, "POST", "/once/x",
				     headers, "body");
		fixture.gateway->callers = callers;
		assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
		if (reply.status != 503 || fixture.arrival_count)
			fail_msg("key \"%s\": status %d", keys[i],
				 reply.status);
		gateway_fixture_stop(&fixture);
	}
}

/* Guards against a node that goes on without its own servers after the cut. */
static void servers_stay_unused_after_the_cut(void **state)
{
	pair_t pair;
	reply_t reply;
	size_t i;

	start(&pair);
	cut(&pair, CUT_HANGS);
	notice(&pair, "/safe/x");
	for (i = 0; i < COUNT_OF(pair.near.servers); i++)
		gateway_fixture_heal_server(&pair.near, &pair.near.servers[i]);
	run(&pair, STABLE_WINDOW_MS / 2);
	pair.near.arrival_count = pair.far.arrival_count = 0;
	call(&pair, &reply, "/safe/x", 1);
	assert_int_equal(reply.status, 200);
	assert_int_equal(pair.near.arrival_count, 1);
	assert_int_equal(pair.far.arrival_count, 0);
	stop(&pair);
}

static int64_t requests_of_acme(const gateway_fixture_t *fixture)
{
	return account_load_use(fixture->gateway->accounts,
				load_table_hash("m"), load_table_hash("acme"),
				1)
		.held;
}

static int32_t deferred_at_servers(const gateway_fixture_t *fixture)
{
	const gateway_t *gateway = fixture->gateway;
	backend_t *server = NULL;
	int32_t sum = 0;

	while ((server = backends_next(gateway->backends, server)))
		sum += backend_load(server, gateway->load_table, NULL,
				    clock_monotonic_us())
			       .deferred;
	return sum;
}

/* Guards against late requests that servers admit before others, or that other
 * nodes do not know of, against ones that are deferred where servers state
 * their rates, and against requests that count for their account after their
 * end. */
static void node_defers_a_late_request(void **state)
{
	static const char *const headers[] = { "Host: h",
					       "X-Request-Id: r1",
					       "X-Deadline-Ms: 1400",
					       FIXTURE_AUTHORIZATION,
					       "X-Token-Counts: 100,100",
					       NULL };
	int deferred;

	for (deferred = 0; deferred < 2; deferred++) {
		const route_conf_t *route;
		reply_t reply;
		pair_t pair;

		start(&pair);
		pair.near.gateway->settings.controls_load = deferred;
		route = routing_find(pair.near.gateway->routing, "h",
				     "/stream/long/");
		((route_conf_t *)route)->target_ms = 1;
		pair.near.acts[0] = SERVES_DELAYED;
		gateway_fixture_call(&pair.near, &reply, "GET",
				     "/stream/long/x", headers, NULL);
		run(&pair, 80);
		assert_int_equal(pair.near.arrival_count, 1);
		assert_int_equal(!!strstr(pair.near.arrivals[0].text,
					  "X-Request-Priority: 9\r\n"),
				 deferred);
		assert_int_equal(metrics_get(METRIC_DEFERRED_LATE), deferred);
		assert_int_equal(requests_of_acme(&pair.near), deferred);
		assert_int_equal(requests_of_acme(&pair.far), deferred);
		assert_int_equal(deferred_at_servers(&pair.far), deferred);
		finish_call(&pair, &reply);
		run(&pair, 50);
		assert_int_equal(requests_of_acme(&pair.near), 0);
		assert_int_equal(requests_of_acme(&pair.far), 0);
		stop(&pair);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			callers_of_a_node_cut_from_servers_are_refused),
		cmocka_unit_test(relayed_requests_break_a_rule_of_one_node),
		cmocka_unit_test(relayed_request_is_lost_when_a_node_stops),
		cmocka_unit_test(
			server_of_a_relayed_request_gets_other_headers),
		cmocka_unit_test(
			answer_without_end_takes_the_memory_of_two_nodes),
		cmocka_unit_test(server_works_on_for_a_caller_behind_two_nodes),
		cmocka_unit_test(others_than_nodes_get_in),
		cmocka_unit_test(servers_stay_unused_after_the_cut),
		cmocka_unit_test(node_defers_a_late_request),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

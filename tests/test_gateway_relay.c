/**
 * Requests at a node that cannot reach the servers, while another node reaches
 * them: what callers get, and what reaches the servers.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/gateway_fixture.h"

#define ALL_EVENTS                               \
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n" \
	"id: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"

enum {
	/* Within this time nodes know of each other. */
	MEET_MS = 1200,
	/* The platform's rule: callers are served again this long after a cut
	 * began. */
	STABLE_WINDOW_MS = 3000,
	CALLS = 6, /* of each kind, after that */
	DEADLINE_MS = 1400
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

static void start(pair_t *pair)
{
	*pair = (pair_t){ .near = { .node_id = "n1", .has_health = true },
			  .far = { .node_id = "n2", .has_health = true } };
	pair->near.other = &pair->far;
	pair->far.other = &pair->near;
	gateway_fixture_start(&pair->near);
	gateway_fixture_start(&pair->far);
	run(pair, MEET_MS);
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

/* Sends a request to the node that is cut off. */
static void call(pair_t *pair, reply_t *reply, const char *path, int number)
{
	int64_t end_us = clock_monotonic_us() + DEADLINE_MS * US_PER_MS;
	char id[40];
	const char *headers[] = { "Host: h", id, "X-Deadline-Ms: 1400",
				  FIXTURE_AUTHORIZATION, NULL };

	snprintf(id, sizeof(id), "X-Request-Id: r%d", number);
	gateway_fixture_call(&pair->near, reply, "POST", path, headers, "body");
	while (!reply->ended && clock_monotonic_us() < end_us)
		run(pair, 0);
}

/* Calls until the node has had time to notice the cut. */
static void notice(pair_t *pair, const char *path)
{
	int64_t end_us = clock_monotonic_us() + STABLE_WINDOW_MS * US_PER_MS;
	reply_t reply;
	int i;

	for (i = 0; i < CALLS && clock_monotonic_us() < end_us; i++)
		call(pair, &reply, path, 1000 + i);
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

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			callers_of_a_node_cut_from_servers_are_refused),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

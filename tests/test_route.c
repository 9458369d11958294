/** Routing: predicted time to first token, lanes, distance, late reports. */
#include <stdio.h>
#include <string.h>

#include "cases.h"
#include "process/route.h"

enum { SERVERS_MAX = 64, LONG_TOKENS = 32000 };

static server_t servers[2][SERVERS_MAX];
static server_t *lists[2][SERVERS_MAX];
static dc_t dcs[2];
static group_t groups[2];

/* Two data centres with idle servers of 10,000 tokens/s, 1 ms apart. */
static void build(size_t local, size_t remote)
{
	const size_t counts[] = { local, remote };
	size_t g, i;

	memset(servers, 0, sizeof(servers));
	for (g = 0; g < 2; g++) {
		dcs[g] = (dc_t){ .local = !g,
				 .reachable = true,
				 .rtt_us = g ? 1000 : 0 };
		groups[g] = (group_t){ .dc = &dcs[g],
				       .count = counts[g],
				       .servers = lists[g] };
		for (i = 0; i < counts[g]; i++) {
			server_t *server = &servers[g][i];

			server->dc = &dcs[g];
			server->in_service = server->usable = true;
			server->kv_tokens = 2000000;
			server->us_per_token = 100;
			server->lane_rank = (uint32_t)(i * 2654435761u);
			lists[g][i] = server;
		}
	}
}

static route_query_t query_of(route_policy_t policy, int64_t prompt_tokens,
			      uint64_t salt)
{
	return (route_query_t){ .policy = policy,
				.prompt_tokens = prompt_tokens,
				.kv_tokens = prompt_tokens,
				.is_long = prompt_tokens > LONG_TOKENS,
				.long_prompt_tokens = LONG_TOKENS,
				.lane_share = 0.5,
				.salt = salt };
}

static server_t *choose(const route_query_t *query)
{
	route_choice_t choice;

	route_choose(groups, 2, query, &choice);
	return choice.server;
}

static const struct {
	size_t available;
	double share;
	size_t minimum, size;
} lane_sizes[] = {
	{ 0, 0.5, 0, 0 },     { 1, 0.5, 0, 1 },	 { 2, 0.9, 0, 1 },
	{ 10, 0.0, 0, 1 },    { 10, 0.2, 0, 2 }, { 10, 0.9, 0, 6 },
	{ 440, 0.4, 0, 176 }, { 5, 0.2, 3, 3 },	 { 3, 0.2, 8, 2 },
};

/* Guards against long prompts that take over all servers, and against a set
 * of servers that does not fit into the lane. */
static void bounds_the_lane(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(lane_sizes); i++)
		assert_int_equal(route_lane_size(lane_sizes[i].available,
						 lane_sizes[i].share,
						 lane_sizes[i].minimum),
				 lane_sizes[i].size);
}

/* Guards against short requests behind prefill of a million tokens: with
 * lanes none is, without lanes they are. */
static void keeps_short_prompts_away_from_long_prefill(void **state)
{
	static const struct {
		route_policy_t policy;
		bool delayed;
	} cases[] = { { ROUTE_COST, true }, { ROUTE_COST_LANES, false } };
	send_t sends[8 + 200];
	size_t c, i;

	for (c = 0; c < COUNT_OF(cases); c++) {
		int delayed = 0, in_lane = 0;

		build(8, 0);
		memset(sends, 0, sizeof(sends));
		for (i = 0; i < COUNT_OF(sends); i++) {
			route_query_t query = query_of(
				cases[c].policy, i < 8 ? 1000000 : 1000, i);
			server_t *server = choose(&query);

			assert_non_null(server);
			delayed += i >= 8 && server->long_prefills;
			in_lane += i >= 8 && server < &servers[0][4];
			sends[i].is_long = query.is_long;
			sends[i].prefill_tokens = query.prompt_tokens;
			server_sent(server, &sends[i], 0);
		}
		assert_int_equal(delayed > 0, cases[c].delayed);
		/* All four servers of the lane are busy. */
		if (!cases[c].delayed)
			assert_int_equal(in_lane, 0);
	}
}

/* Guards against servers of the lane that idle while short requests wait, and
 * against a lane that never drains for the long prompt that waits for it. */
static void uses_idle_servers_of_the_lane(void **state)
{
	static const struct {
		int64_t backlog_tokens;
		int32_t long_prefills;
		bool long_waiting;
		bool used;
	} cases[] = {
		{ 0, 0, false, true },
		{ 0, 1, false, false },
		{ LONG_TOKENS, 0, false, false }, /* of another node */
		{ 0, 0, true, false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		route_query_t query = query_of(ROUTE_COST_LANES, 1000, i);

		build(2, 0);
		servers[0][0].backlog_tokens = cases[i].backlog_tokens;
		servers[0][0].long_prefills = cases[i].long_prefills;
		servers[0][1].backlog_tokens = 200000;
		query.long_waiting = cases[i].long_waiting;
		assert_ptr_equal(choose(&query),
				 &servers[0][cases[i].used ? 0 : 1]);
	}
}

/* Guards against a large prompt that finds every server of the lane partly
 * full, and against a long one that waits too long at the full end. */
static void keeps_one_end_of_the_lane_for_large_prompts(void **state)
{
	static const struct {
		int64_t prompt_tokens, last_backlog_tokens;
		bool pack;
		size_t place; /* in the lane of three */
	} cases[] = {
		{ 40000, 1000, true, 2 },
		{ 40000, 200000, true, 1 },
		{ 900000, 0, true, 0 },
		{ 40000, 1000, false, 0 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		route_query_t query =
			query_of(ROUTE_COST_LANES, cases[i].prompt_tokens, i);

		build(6, 0);
		query.pack = cases[i].pack;
		servers[0][1].backlog_tokens = 100;
		servers[0][2].backlog_tokens = cases[i].last_backlog_tokens;
		assert_ptr_equal(choose(&query), &servers[0][cases[i].place]);
	}
}

/* Guards against requests sent away for nothing, against requests that stay
 * although another data centre answers sooner, and against unreachable and
 * retired servers. */
static void prefers_the_local_data_centre(void **state)
{
	static const struct {
		int64_t local_backlog_tokens;
		bool reachable, remote_in_service, local_in_service;
		int dc; /* chosen; -1: none */
	} cases[] = {
		{ 0, true, true, true, 0 },
		{ 5, true, true, true, 0 }, /* gain below 1 ms */
		{ 20, true, true, true, 1 },
		{ 20, false, true, true, 0 },
		{ 20, true, false, true, 0 },
		{ 0, true, true, false, 1 },
		{ 0, false, true, false, -1 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		route_query_t query = query_of(ROUTE_COST, 1000, i);
		server_t *server;

		build(1, 1);
		servers[0][0].backlog_tokens = cases[i].local_backlog_tokens;
		servers[0][0].in_service = cases[i].local_in_service;
		servers[1][0].in_service = cases[i].remote_in_service;
		dcs[1].reachable = cases[i].reachable;
		server = choose(&query);
		assert_ptr_equal(server, cases[i].dc < 0
						 ? NULL
						 : &servers[cases[i].dc][0]);
	}
}

/* Guards against a cache hit that is ignored, and against one that is worth
 * less than the queue in front of it. */
static void weighs_a_cache_hit_against_the_queue(void **state)
{
	static const struct {
		int64_t backlog_tokens;
		bool used;
	} cases[] = { { 0, true }, { 7000, true }, { 9000, false } };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		route_query_t query = query_of(ROUTE_COST, 10000, i);
		prefix_match_t match = { &servers[0][1].prefix, 80 };

		build(2, 0);
		servers[0][1].backlog_tokens = cases[i].backlog_tokens;
		query.matches = &match;
		query.match_count = 1;
		query.block_count = 99;
		assert_ptr_equal(choose(&query),
				 &servers[0][cases[i].used ? 1 : 0]);
		assert_int_equal(servers[0][1].hit_tokens, 0);
	}
}

/* Guards against one server that receives every request until the next
 * report, from one node or from many. */
static void spreads_requests_between_reports(void **state)
{
	send_t sends[640] = { 0 };
	int32_t most = 0;
	int best = 0;
	size_t i;

	build(SERVERS_MAX, 0);
	for (i = 0; i < SERVERS_MAX; i++)
		servers[0][i].backlog_tokens = i == 7 ? 0 : 5000;
	/* Each node sees the same report, and none the others' requests. */
	for (i = 0; i < 300; i++) {
		route_query_t query = query_of(ROUTE_COST, 1000, i * 77);

		best += choose(&query) == &servers[0][7];
	}
	assert_true(best < 200);
	for (i = 0; i < COUNT_OF(sends); i++) {
		route_query_t query = query_of(ROUTE_COST, 1000, i);
		server_t *server = choose(&query);

		sends[i].prefill_tokens = 1000;
		server_sent(server, &sends[i], 0);
		if (server->in_flight > most)
			most = server->in_flight;
	}
	assert_true(most <= 20); /* twice the mean */
}

/* Guards against own requests that are forgotten, or counted twice, when a
 * late report arrives. */
static void counts_own_requests_that_a_report_lacks(void **state)
{
	static const struct {
		int64_t taken_us, reported_tokens, backlog_tokens;
	} cases[] = {
		{ 0, 0, 1000 }, /* taken before the request was sent */
		{ 200000, 800, 800 }, /* taken after it */
		{ 200000, 0, 0 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		load_report_t report = { .taken_us = cases[i].taken_us,
					 .received_us = 300000,
					 .prefill_queued_tokens =
						 cases[i].reported_tokens };
		send_t send = { .prefill_tokens = 1000 };

		build(1, 0);
		server_sent(&servers[0][0], &send, 100000);
		server_apply_report(&servers[0][0], &report);
		assert_int_equal(server_backlog_tokens(&servers[0][0],
						       cases[i].taken_us),
				 cases[i].backlog_tokens);
	}
}

/* Guards against a failing server that draws request after request. */
static void tries_a_failing_server_with_growing_pauses(void **state)
{
	int64_t now_us = 0, pause_us = 0;
	send_t send = { 0 };
	int i;

	build(1, 0);
	for (i = 0; i < 12; i++) {
		int64_t last_us = pause_us;

		server_failed(&servers[0][0], now_us);
		server_failed(&servers[0][0], now_us); /* the same moment */
		pause_us = servers[0][0].retry_at_us - now_us;
		assert_true(pause_us > last_us || pause_us == 10 * US_PER_S);
		assert_false(
			server_may_try(&servers[0][0], now_us + pause_us - 1));
		now_us += pause_us;
		assert_true(server_may_try(&servers[0][0], now_us));
		server_sent(&servers[0][0], &send, now_us);
		assert_false(server_may_try(&servers[0][0], now_us));
		server_ended(&send);
	}
	server_succeeded(&servers[0][0]);
	assert_true(server_may_try(&servers[0][0], now_us));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(bounds_the_lane),
		cmocka_unit_test(keeps_short_prompts_away_from_long_prefill),
		cmocka_unit_test(uses_idle_servers_of_the_lane),
		cmocka_unit_test(keeps_one_end_of_the_lane_for_large_prompts),
		cmocka_unit_test(prefers_the_local_data_centre),
		cmocka_unit_test(weighs_a_cache_hit_against_the_queue),
		cmocka_unit_test(spreads_requests_between_reports),
		cmocka_unit_test(counts_own_requests_that_a_report_lacks),
		cmocka_unit_test(tries_a_failing_server_with_growing_pauses),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

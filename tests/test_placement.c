/** Forecast and placement: selection of servers for a prompt, and refusals. */
#include <inttypes.h>
#include <string.h>
#include <time.h>

#include "base/units.h"
#include "cases.h"
#include "process/placement.h"

/* An engine with round figures: it prefills 100 prompt tokens a ms and runs
 * iterations of 50 ms. */
static const engine_profile_t engine = {
	.present = true,
	.kv_capacity_tokens = 400000,
	.steps_per_iteration = 50,
	.step_us = 1000,
	.prefill_token_us = 10,
	.prefill_pair_us = 0.0002,
	.chunk_tokens = 2000,
	.usual_prompt_tokens = 10000,
	.usual_output_tokens = 1000,
};

enum {
	SERVERS = 8,
	MS = 1000,
	/* Processor time of one placement: a node has hundreds a second, on a
	 * quarter of a core. */
	PLACING_MAX_US = 5 * MS
};

typedef struct {
	int32_t decoding, gap_ms, pending_ms, kv_ktokens, distance_ms;
	bool fallback;
	double slowdown; /* 0: slowdown factor 1 */
	int32_t decode_pending;
} state_t;

static void fill(candidate_t *candidates, const state_t *states, size_t count)
{
	size_t i;

	memset(candidates, 0, count * sizeof(*candidates));
	for (i = 0; i < count; i++) {
		candidates[i] = (candidate_t){
			.server = &candidates[i],
			.order = (uint32_t)i,
			.load = { .decoding = states[i].decoding,
				  .prefilling = states[i].decode_pending,
				  .decode_pending = states[i].decode_pending,
				  .gap_us = states[i].gap_ms * US_PER_MS,
				  .backlog_us =
					  states[i].pending_ms * US_PER_MS,
				  .kv_tokens = states[i].kv_ktokens * 1000 },
			.slots = 16,
			.kv_capacity_tokens = engine.kv_capacity_tokens,
			.slowdown = states[i].slowdown > 0 ? states[i].slowdown
							   : 1,
			.distance_us = states[i].distance_ms * US_PER_MS,
			.fallback = states[i].fallback,
		};
	}
}

static placement_query_t query_of(int64_t tokens, int64_t target_ms)
{
	return (placement_query_t){ .engine = &engine,
				    .prompt_tokens = tokens,
				    .output_tokens = 1000,
				    .objective_us = target_ms * US_PER_MS,
				    .target_us = target_ms * US_PER_MS,
				    .limit_us = 15 * US_PER_S,
				    .may_refuse = true };
}

/* Guards against a predicted first event that omits the wait for an iteration,
 * the prefill backlog, or the prefill of token pairs. */
static void forecasts_first_event(void **state)
{
	static const struct {
		const char *guards_against;
		server_load_t load;
		int64_t tokens;
		int32_t shards;
		/* bounds of the predicted first event */
		int64_t min_ms, max_ms;
	} cases[] = {
		{ "an idle server that waits for an iteration",
		  { 0 },
		  5000,
		  1,
		  50,
		  60 },
		{ "an iteration with decoding requests that is not counted",
		  { .decoding = 3 },
		  5000,
		  1,
		  125,
		  140 },
		{ "prefill backlog that is not counted",
		  { .backlog_us = 400 * MS },
		  5000,
		  1,
		  450,
		  460 },
		{ "prefill of token pairs that is not counted",
		  { 0 },
		  200000,
		  1,
		  6000,
		  6200 },
		{ "prefill of token pairs that is not split over shards",
		  { 0 },
		  200000,
		  4,
		  1500,
		  1600 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		double prefill_us = forecast_prefill_us(
			&engine, cases[i].tokens, cases[i].shards);
		double event_us = forecast_first_event_us(
			&engine, &cases[i].load, prefill_us);

		if (event_us < (double)(cases[i].min_ms * MS) ||
		    event_us > (double)(cases[i].max_ms * MS))
			fail_msg("case \"%s\": %.1f ms",
				 cases[i].guards_against, event_us / MS);
	}
}

/* Guards against placements that make requests miss their objectives, or that
 * use a server which is slow, full, far or failing without need. */
static void chooses_servers(void **state)
{
	static const struct {
		const char *guards_against;
		state_t servers[SERVERS];
		size_t count;
		int64_t tokens, target_ms;
		size_t first; /* index of the decoding server; SERVERS: any */
		size_t min_shards, max_shards;
	} cases[] = {
		{ "an idle server taken by a short prompt",
		  { { .decoding = 4, .gap_ms = 250 }, { 0 }, { 0 } },
		  3,
		  4000,
		  400,
		  0,
		  1,
		  1 },
		{ "a short prompt behind a long one",
		  { { .decoding = 4, .gap_ms = 250, .pending_ms = 900 },
		    { 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "a full server",
		  { { .decoding = 16, .gap_ms = 250 }, { 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "a long prompt that delays streams",
		  { { .decoding = 8, .gap_ms = 250 },
		    { .decoding = 8, .gap_ms = 250 },
		    { 0 } },
		  3,
		  60000,
		  4000,
		  2,
		  1,
		  1 },
		{ "a long prompt on servers whose streams are about to start",
		  { { .decode_pending = 1, .gap_ms = 250, .kv_ktokens = 45 },
		    { .decode_pending = 1, .gap_ms = 250, .kv_ktokens = 45 },
		    { 0 } },
		  3,
		  60000,
		  4000,
		  2,
		  1,
		  1 },
		{ "a long prompt that one server prefills for seconds",
		  { { 0 }, { 0 }, { 0 }, { 0 }, { 0 }, { 0 }, { 0 }, { 0 } },
		  8,
		  200000,
		  4000,
		  SERVERS,
		  3,
		  8 },
		{ "a slow server",
		  { { .slowdown = 5 }, { 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "a server that failed recently",
		  { { .fallback = true }, { 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "no server although a fallback server is left",
		  { { .fallback = true } },
		  1,
		  4000,
		  400,
		  0,
		  1,
		  1 },
		{ "a distant server without need",
		  { { .distance_ms = 30 }, { .distance_ms = 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "memory that is exceeded",
		  { { .decoding = 2, .gap_ms = 250, .kv_ktokens = 399 },
		    { 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		placement_query_t query =
			query_of(cases[i].tokens, cases[i].target_ms);
		candidate_t candidates[SERVERS];
		placement_t placement;
		placement_result_t result;
		uint64_t salt;

		fill(candidates, cases[i].servers, cases[i].count);
		for (salt = 0; salt < 5; salt++) {
			query.salt = salt;
			result = placement_choose(candidates, cases[i].count,
						  &query, &placement);
			if (result != PLACEMENT_CHOSEN ||
			    placement.count < cases[i].min_shards ||
			    placement.count > cases[i].max_shards ||
			    (cases[i].first < SERVERS &&
			     placement.shards[0] !=
				     &candidates[cases[i].first]))
				fail_msg("case \"%s\": result %d, %zu shards, "
					 "first server %td",
					 cases[i].guards_against, result,
					 placement.count,
					 placement.shards[0] - candidates);
		}
	}
}

/* Guards against short prompts that spread over idle servers, and against nodes
 * that overfill a server. Many short prompts arrive at once at nodes that know
 * each other's load with a delay. */
static void packs_short_prompts(void **state)
{
	static const struct {
		const char *guards_against;
		state_t servers[SERVERS];
		size_t count;
		int64_t target_ms;
		int32_t nodes;
		size_t min, max; /* bounds of the number of servers used */
	} cases[] = {
		{ "idle servers that each take one prompt",
		  { { .decoding = 1, .gap_ms = 250 }, { 0 }, { 0 }, { 0 } },
		  4,
		  400,
		  1,
		  1,
		  1 },
		{ "more prompts on one server than it prefills in time",
		  { { 0 }, { 0 }, { 0 }, { 0 } },
		  4,
		  100,
		  6,
		  2,
		  4 },
		{ "nodes that all choose the last free slot",
		  { { .decoding = 15, .gap_ms = 250 },
		    { .decoding = 15, .gap_ms = 250 },
		    { .decoding = 15, .gap_ms = 250 },
		    { 0 },
		    { 0 } },
		  5,
		  400,
		  6,
		  4,
		  4 },
		{ "a packed fleet without free slots for arriving prompts",
		  { { .decoding = 10, .gap_ms = 250 },
		    { .decoding = 10, .gap_ms = 250 },
		    { .decoding = 10, .gap_ms = 250 },
		    { .decoding = 10, .gap_ms = 250 },
		    { .decoding = 10, .gap_ms = 250 },
		    { .decoding = 10, .gap_ms = 250 },
		    { 0 },
		    { 0 } },
		  8,
		  400,
		  90,
		  2,
		  6 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		placement_query_t query = query_of(4000, cases[i].target_ms);
		candidate_t candidates[SERVERS];
		placement_t placement;
		size_t last = 0;

		query.nodes = cases[i].nodes;
		fill(candidates, cases[i].servers, cases[i].count);
		for (query.salt = 0; query.salt < 100; query.salt++) {
			assert_int_equal(placement_choose(candidates,
							  cases[i].count,
							  &query, &placement),
					 PLACEMENT_CHOSEN);
			assert_int_equal(placement.count, 1);
			if (placement.shards[0] > &candidates[last])
				last = (size_t)(placement.shards[0] -
						candidates);
		}
		if (last + 1 < cases[i].min || last + 1 > cases[i].max)
			fail_msg("case \"%s\": %zu servers",
				 cases[i].guards_against, last + 1);
	}
}

/* A burst of short prompts over many nodes; each node knows the load of the
 * others as it was KNOWN_AFTER_MS ago. */
enum {
	FLEET = 60,
	PROMPTS = 600,
	ARRIVAL_MS = 4, /* time between two prompts */
	KNOWN_AFTER_MS = 40,
	STAY_MS = 2000 /* time that a prompt occupies a slot */
};

typedef struct {
	int64_t at_ms;
	size_t server;
} sent_t;

/* Sets the load of the servers: prompts sent up to until_ms and not ended by
 * from_ms. */
static void count_load(candidate_t *candidates, const sent_t *sent,
		       size_t count, int64_t from_ms, int64_t until_ms)
{
	size_t i;

	for (i = 0; i < FLEET; i++)
		candidates[i].load = (server_load_t){ 0 };
	for (i = 0; i < count; i++) {
		server_load_t *load = &candidates[sent[i].server].load;

		if (sent[i].at_ms > until_ms ||
		    sent[i].at_ms + STAY_MS <= from_ms)
			continue;
		load->decoding++;
		load->gap_us = 250 * US_PER_MS;
		load->kv_tokens += 5000;
	}
}

/*
 * Guards against nodes that all choose the same server, and against servers
 * that run only a single short prompt and are therefore lost to long prompts.
 */
static void spreads_a_burst_of_short_prompts(void **state)
{
	candidate_t candidates[FLEET];
	sent_t sent[PROMPTS] = { 0 };
	int64_t now_ms = 0;
	size_t i, used = 0, overfilled = 0;

	memset(candidates, 0, sizeof(candidates));
	for (i = 0; i < FLEET; i++)
		candidates[i] = (candidate_t){ .server = &candidates[i],
					       .order = (uint32_t)i,
					       .slots = 16,
					       .slowdown = 1 };
	for (i = 0; i < PROMPTS; i++) {
		placement_query_t query = query_of(4000, 400);
		placement_t placement;

		now_ms = (int64_t)i * ARRIVAL_MS;
		query.nodes = 90;
		query.salt = i * 0x9e3779b97f4a7c15u;
		count_load(candidates, sent, i, now_ms,
			   now_ms - KNOWN_AFTER_MS);
		assert_int_equal(placement_choose(candidates, FLEET, &query,
						  &placement),
				 PLACEMENT_CHOSEN);
		sent[i] = (sent_t){ now_ms, (size_t)(placement.shards[0] -
						     candidates) };
		count_load(candidates, sent, i + 1, now_ms, now_ms);
		overfilled += candidates[sent[i].server].load.decoding > 16;
	}
	for (i = 0; i < FLEET; i++)
		used += candidates[i].load.decoding > 0;
	/* 500 prompts run at the end, at most 16 on a server. */
	assert_in_range(used, STAY_MS / ARRIVAL_MS / 16, 45);
	assert_true(overfilled < PROMPTS / 20);
}

/* Guards against a wrong refusal, a wrong reason for it, and a refusal without
 * a time for the retry. */
static void refuses_requests(void **state)
{
	static const struct {
		const char *guards_against;
		state_t servers[SERVERS];
		size_t count;
		int64_t tokens;
		bool may_refuse;
		placement_result_t expected;
	} cases[] = {
		{ "a placement without servers",
		  { { 0 } },
		  0,
		  4000,
		  true,
		  PLACEMENT_NO_SERVER },
		{ "a prompt that no set can hold",
		  { { 0 }, { 0 } },
		  2,
		  900000,
		  true,
		  PLACEMENT_TOO_LONG },
		{ "a wait beyond the caller's time limit",
		  { { .pending_ms = 20000 } },
		  1,
		  4000,
		  true,
		  PLACEMENT_PAST_LIMIT },
		{ "a huge prompt on a busy fleet",
		  { { .pending_ms = 800 }, { .pending_ms = 800 } },
		  2,
		  390000,
		  true,
		  PLACEMENT_BUSY },
		{ "a stream refused after its caller has received events",
		  { { .pending_ms = 800 }, { .pending_ms = 800 } },
		  2,
		  390000,
		  false,
		  PLACEMENT_CHOSEN },
		{ "a huge prompt refused on an idle fleet",
		  { { 0 }, { 0 } },
		  2,
		  390000,
		  true,
		  PLACEMENT_CHOSEN },
		{ "a short prompt refused on a busy fleet",
		  { { .pending_ms = 2000 }, { .pending_ms = 2000 } },
		  2,
		  4000,
		  true,
		  PLACEMENT_CHOSEN },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		placement_query_t query = query_of(cases[i].tokens, 4000);
		candidate_t candidates[SERVERS];
		placement_t placement;
		placement_result_t result;

		query.may_refuse = cases[i].may_refuse;
		query.limit_us = cases[i].may_refuse ? 15 * US_PER_S
						     : 60 * US_PER_S;
		fill(candidates, cases[i].servers, cases[i].count);
		result = placement_choose(candidates, cases[i].count, &query,
					  &placement);
		if (result != cases[i].expected)
			fail_msg("case \"%s\": result %d",
				 cases[i].guards_against, result);
		/* The caller needs a time for its retry. */
		if (result == PLACEMENT_BUSY || result == PLACEMENT_PAST_LIMIT)
			assert_true(placement.retry_in_us > 0);
	}
}

/* Guards against long prompts of a less urgent kind that are all refused while
 * prefill waits everywhere and urgent ones are served. */
static void keeps_some_long_prompts_of_each_rank(void **state)
{
	enum { REQUESTS = 100 };
	placement_query_t query = { .engine = &engine,
				    .prompt_tokens = 40000,
				    .output_tokens = 300,
				    .objective_us = 2 * US_PER_S,
				    .target_us = 2 * US_PER_S,
				    .limit_us = 10 * US_PER_S,
				    .may_refuse = true,
				    .nodes = 1,
				    .controls_load = true };
	candidate_t candidates[SERVERS];
	state_t states[SERVERS];
	placement_t placement;
	size_t i;

	for (i = 0; i < SERVERS; i++)
		states[i] = (state_t){ .decoding = 2,
				       .gap_ms = 250,
				       .pending_ms = 200 };
	fill(candidates, states, SERVERS);
	for (; query.ranks_below <= 9; query.ranks_below++) {
		int placed = 0;

		for (query.salt = 0; query.salt < REQUESTS; query.salt++)
			placed += placement_choose(candidates, SERVERS, &query,
						   &placement) ==
				  PLACEMENT_CHOSEN;
		if (query.ranks_below ? placed * 4 < REQUESTS
				      : placed < REQUESTS)
			fail_msg("%d steps of priority below: %d placed",
				 query.ranks_below, placed);
	}
}

/* Guards against a prompt that exceeds one server's memory but is sent to a
 * single server. */
static void splits_prompts_beyond_one_memory(void **state)
{
	state_t idle[SERVERS] = { { 0 } };
	placement_query_t query = query_of(700000, 4000);
	candidate_t candidates[SERVERS];
	placement_t placement;

	fill(candidates, idle, SERVERS);
	assert_int_equal(placement_choose(candidates, SERVERS, &query,
					  &placement),
			 PLACEMENT_CHOSEN);
	assert_true(placement.shared_memory);
	assert_in_range(placement.count, 2, SERVERS);
}

/* Guards against a placement cost without bound once the objective has passed:
 * the request would be split over too many servers. */
static void places_requests_past_their_objective(void **state)
{
	static const state_t busy[SERVERS] = {
		{ .decoding = 8, .gap_ms = 250 },
		{ .decoding = 8, .gap_ms = 250 },
		{ .decoding = 8, .gap_ms = 250 },
		{ .decoding = 8, .gap_ms = 250 },
		{ .decoding = 8, .gap_ms = 250 },
		{ .decoding = 8, .gap_ms = 250 },
		{ .decoding = 8, .gap_ms = 250 },
		{ .decoding = 8, .gap_ms = 250 },
	};
	placement_query_t query = query_of(150000, 4000);
	candidate_t candidates[SERVERS];
	placement_t placement;

	fill(candidates, busy, SERVERS);
	query.target_us = 0;
	query.may_refuse = false;
	assert_int_equal(placement_choose(candidates, SERVERS, &query,
					  &placement),
			 PLACEMENT_CHOSEN);
	assert_in_range(placement.count, 1, 2);
}

/* Guards against plain calls that go to a busy or a fallback server while
 * another server is less busy. */
static void spreads_plain_calls(void **state)
{
	candidate_t candidates[3] = { { .slots = 6, .slowdown = 1 },
				      { .slots = 6, .slowdown = 1 },
				      { .slots = 6, .slowdown = 1 } };
	placement_query_t query = { .salt = 1 };
	placement_t placement;

	candidates[0].load.prefilling = 2;
	candidates[1].load.prefilling = 1;
	candidates[2].load.prefilling = 4;
	assert_int_equal(placement_choose(candidates, 3, &query, &placement),
			 PLACEMENT_CHOSEN);
	assert_ptr_equal(placement.shards[0], &candidates[1]);
	candidates[1].fallback = true;
	placement_choose(candidates, 3, &query, &placement);
	assert_ptr_equal(placement.shards[0], &candidates[0]);
}

static int64_t processor_time_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
	return (int64_t)time.tv_sec * US_PER_S + time.tv_nsec / 1000;
}

/* Guards against a placement that takes longer the more tokens a request
 * states: the node does nothing else meanwhile. */
static void number_of_tokens_decides_how_long_a_placement_takes(void **state)
{
	static const struct {
		int64_t prompt_tokens, output_tokens, kv_capacity_tokens;
		placement_result_t expected;
	} cases[] = {
		{ 700000, 1000, 400000, PLACEMENT_CHOSEN },
		{ 5000000, 1000, 400000, PLACEMENT_TOO_LONG },
		{ TOKENS_MAX, TOKENS_MAX, 400000, PLACEMENT_TOO_LONG },
		{ TOKENS_MAX, TOKENS_MAX, 1, PLACEMENT_TOO_LONG },
		{ INT64_C(800000000000000), 80, 400000, PLACEMENT_TOO_LONG },
		{ 80, INT64_C(800000000000000), 400000, PLACEMENT_TOO_LONG },
		{ INT64_MAX, INT64_MAX, 400000, PLACEMENT_TOO_LONG },
	};
	state_t idle[SERVERS] = { { 0 } };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		engine_profile_t small = engine;
		placement_query_t query =
			query_of(cases[i].prompt_tokens, 4000);
		candidate_t candidates[SERVERS];
		placement_t placement;
		placement_result_t result;
		int64_t begin_us = processor_time_us(), took_us;

		small.kv_capacity_tokens = cases[i].kv_capacity_tokens;
		query.engine = &small;
		query.output_tokens = cases[i].output_tokens;
		fill(candidates, idle, SERVERS);
		result = placement_choose(candidates, SERVERS, &query,
					  &placement);
		took_us = processor_time_us() - begin_us;
		if (result != cases[i].expected || took_us > PLACING_MAX_US)
			fail_msg("%" PRId64 " and %" PRId64
				 " tokens: result %d after %" PRId64 " us",
				 cases[i].prompt_tokens, cases[i].output_tokens,
				 result, took_us);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(forecasts_first_event),
		cmocka_unit_test(chooses_servers),
		cmocka_unit_test(packs_short_prompts),
		cmocka_unit_test(spreads_a_burst_of_short_prompts),
		cmocka_unit_test(refuses_requests),
		cmocka_unit_test(keeps_some_long_prompts_of_each_rank),
		cmocka_unit_test(splits_prompts_beyond_one_memory),
		cmocka_unit_test(places_requests_past_their_objective),
		cmocka_unit_test(spreads_plain_calls),
		cmocka_unit_test(
			number_of_tokens_decides_how_long_a_placement_takes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

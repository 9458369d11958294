/** Forecast and placement: which servers a prompt goes to, and when none. */
#include <string.h>

#include "base/units.h"
#include "cases.h"
#include "process/placement.h"

/* An engine of round figures: 100 prompt tokens a ms, passes of 50 ms. */
static const engine_profile_t engine = {
	.present = true,
	.kv_capacity_tokens = 400000,
	.steps_per_pass = 50,
	.step_us = 1000,
	.read_token_us = 10,
	.read_pair_us = 0.0002,
	.chunk_tokens = 2000,
	.usual_prompt_tokens = 10000,
	.usual_output_tokens = 1000,
};

enum { SERVERS = 8, MS = 1000 };

typedef struct {
	int32_t writers, gap_ms, pending_ms, kv_ktokens, distance_ms;
	bool fallback;
	double slowdown; /* 0: 1 */
	int32_t starting;
} state_t;

static void fill(candidate_t *candidates, const state_t *states, size_t count)
{
	size_t i;

	memset(candidates, 0, count * sizeof(*candidates));
	for (i = 0; i < count; i++) {
		candidates[i] = (candidate_t){
			.server = &candidates[i],
			.order = (uint32_t)i,
			.load = { .writers = states[i].writers,
				  .readers = states[i].starting,
				  .starting = states[i].starting,
				  .gap_us = states[i].gap_ms * US_PER_MS,
				  .pending_us =
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

static void forecasts_passes(void **state)
{
	static const struct {
		const char *guards_against;
		server_load_t load;
		int64_t tokens;
		int32_t parts;
		int64_t least_ms, most_ms; /* of the first event */
	} cases[] = {
		{ "an idle server that waits for a pass",
		  { 0 },
		  5000,
		  1,
		  50,
		  60 },
		{ "a pass beside writers that is forgotten",
		  { .writers = 3 },
		  5000,
		  1,
		  125,
		  140 },
		{ "prefill ahead that is forgotten",
		  { .pending_us = 400 * MS },
		  5000,
		  1,
		  450,
		  460 },
		{ "pairs that are forgotten", { 0 }, 200000, 1, 6000, 6200 },
		{ "pairs of a part that do not shrink with it",
		  { 0 },
		  200000,
		  4,
		  1500,
		  1600 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		double read_us = forecast_read_us(&engine, cases[i].tokens,
						  cases[i].parts);
		double event_us = forecast_first_event_us(
			&engine, &cases[i].load, read_us);

		if (event_us < (double)(cases[i].least_ms * MS) ||
		    event_us > (double)(cases[i].most_ms * MS))
			fail_msg("case \"%s\": %.1f ms",
				 cases[i].guards_against, event_us / MS);
	}
}

static void chooses_servers(void **state)
{
	static const struct {
		const char *guards_against;
		state_t servers[SERVERS];
		size_t count;
		int64_t tokens, target_ms;
		size_t first; /* index; SERVERS: any */
		size_t least_parts, most_parts;
	} cases[] = {
		{ "an idle server taken by a short prompt",
		  { { .writers = 4, .gap_ms = 250 }, { 0 }, { 0 } },
		  3,
		  4000,
		  400,
		  0,
		  1,
		  1 },
		{ "a short prompt behind a long one",
		  { { .writers = 4, .gap_ms = 250, .pending_ms = 900 }, { 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "a full server",
		  { { .writers = 16, .gap_ms = 250 }, { 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "a long prompt that makes streams late",
		  { { .writers = 8, .gap_ms = 250 },
		    { .writers = 8, .gap_ms = 250 },
		    { 0 } },
		  3,
		  60000,
		  4000,
		  2,
		  1,
		  1 },
		{ "a long prompt beside streams that will write by then",
		  { { .starting = 1, .gap_ms = 250, .kv_ktokens = 45 },
		    { .starting = 1, .gap_ms = 250, .kv_ktokens = 45 },
		    { 0 } },
		  3,
		  60000,
		  4000,
		  2,
		  1,
		  1 },
		{ "a long prompt read by one server for seconds",
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
		{ "a server that failed lately",
		  { { .fallback = true }, { 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "no server although one may work",
		  { { .fallback = true } },
		  1,
		  4000,
		  400,
		  0,
		  1,
		  1 },
		{ "a far server without need",
		  { { .distance_ms = 30 }, { .distance_ms = 0 } },
		  2,
		  4000,
		  400,
		  1,
		  1,
		  1 },
		{ "memory that is overfilled",
		  { { .writers = 2, .gap_ms = 250, .kv_ktokens = 399 }, { 0 } },
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
			    placement.count < cases[i].least_parts ||
			    placement.count > cases[i].most_parts ||
			    (cases[i].first < SERVERS &&
			     placement.parts[0] != &candidates[cases[i].first]))
				fail_msg("case \"%s\": result %d, %zu parts, "
					 "first %td",
					 cases[i].guards_against, result,
					 placement.count,
					 placement.parts[0] - candidates);
		}
	}
}

/* Load: many short prompts at once, from nodes that know of each other's work
 * a little late. */
static void packs_short_prompts(void **state)
{
	static const struct {
		const char *guards_against;
		state_t servers[SERVERS];
		size_t count;
		int64_t target_ms;
		int32_t nodes;
		size_t least,
			most; /* servers that are chosen, from the first */
	} cases[] = {
		{ "idle servers that each take one prompt",
		  { { .writers = 1, .gap_ms = 250 }, { 0 }, { 0 }, { 0 } },
		  4,
		  400,
		  1,
		  1,
		  1 },
		{ "more prompts on one server than it reads in time",
		  { { 0 }, { 0 }, { 0 }, { 0 } },
		  4,
		  100,
		  6,
		  2,
		  4 },
		{ "nodes that all choose the last free slot",
		  { { .writers = 15, .gap_ms = 250 },
		    { .writers = 15, .gap_ms = 250 },
		    { .writers = 15, .gap_ms = 250 },
		    { 0 },
		    { 0 } },
		  5,
		  400,
		  6,
		  4,
		  4 },
		{ "a fleet that is packed with no room for what arrives",
		  { { .writers = 10, .gap_ms = 250 },
		    { .writers = 10, .gap_ms = 250 },
		    { .writers = 10, .gap_ms = 250 },
		    { .writers = 10, .gap_ms = 250 },
		    { .writers = 10, .gap_ms = 250 },
		    { .writers = 10, .gap_ms = 250 },
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
			if (placement.parts[0] > &candidates[last])
				last = (size_t)(placement.parts[0] -
						candidates);
		}
		if (last + 1 < cases[i].least || last + 1 > cases[i].most)
			fail_msg("case \"%s\": %zu servers",
				 cases[i].guards_against, last + 1);
	}
}

/* A burst of short prompts over many nodes, each of which knows the work of the
 * others as it was a while ago. */
enum {
	FLEET = 60,
	PROMPTS = 600,
	ARRIVAL_MS = 4, /* between two prompts */
	KNOWN_AFTER_MS = 40,
	STAY_MS = 2000
};

typedef struct {
	int64_t at_ms;
	size_t server;
} placed_t;

static void count_work(candidate_t *candidates, const placed_t *placed,
		       size_t count, int64_t from_ms, int64_t until_ms)
{
	size_t i;

	for (i = 0; i < FLEET; i++)
		candidates[i].load = (server_load_t){ 0 };
	for (i = 0; i < count; i++) {
		server_load_t *load = &candidates[placed[i].server].load;

		if (placed[i].at_ms > until_ms ||
		    placed[i].at_ms + STAY_MS <= from_ms)
			continue;
		load->writers++;
		load->gap_us = 250 * US_PER_MS;
		load->kv_tokens += 5000;
	}
}

/*
 * Guards against nodes that all choose the same server, and against servers
 * with a single short prompt, which are lost to long ones.
 */
static void plays_a_burst_of_short_prompts(void **state)
{
	candidate_t candidates[FLEET];
	placed_t placed[PROMPTS] = { 0 };
	int64_t now_ms = 0;
	size_t i, used = 0, full = 0;

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
		count_work(candidates, placed, i, now_ms,
			   now_ms - KNOWN_AFTER_MS);
		assert_int_equal(placement_choose(candidates, FLEET, &query,
						  &placement),
				 PLACEMENT_CHOSEN);
		placed[i] = (placed_t){ now_ms, (size_t)(placement.parts[0] -
							 candidates) };
		count_work(candidates, placed, i + 1, now_ms, now_ms);
		full += candidates[placed[i].server].load.writers > 16;
	}
	for (i = 0; i < FLEET; i++)
		used += candidates[i].load.writers > 0;
	/* 500 prompts at the end, 16 on a server. */
	assert_in_range(used, STAY_MS / ARRIVAL_MS / 16, 45);
	assert_true(full < PROMPTS / 20);
}

static void refuses(void **state)
{
	static const struct {
		const char *guards_against;
		state_t servers[SERVERS];
		size_t count;
		int64_t tokens;
		bool may_refuse;
		placement_result_t expected;
	} cases[] = {
		{ "a choice without servers",
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
		{ "a wait that must fail",
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
		{ "a stream given up after its caller has a part of it",
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
			fail_msg("case \"%s\": %d", cases[i].guards_against,
				 result);
		/* A caller that is told to come back needs a time. */
		if (result == PLACEMENT_BUSY || result == PLACEMENT_PAST_LIMIT)
			assert_true(placement.retry_in_us > 0);
	}
}

/* Guards against a prompt beyond one server's memory that is sent to one. */
static void shares_memory(void **state)
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

/* Guards against a cost that has no bound once the objective has passed. */
static void places_late_requests_like_others(void **state)
{
	static const state_t busy[SERVERS] = {
		{ .writers = 8, .gap_ms = 250 },
		{ .writers = 8, .gap_ms = 250 },
		{ .writers = 8, .gap_ms = 250 },
		{ .writers = 8, .gap_ms = 250 },
		{ .writers = 8, .gap_ms = 250 },
		{ .writers = 8, .gap_ms = 250 },
		{ .writers = 8, .gap_ms = 250 },
		{ .writers = 8, .gap_ms = 250 },
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

static void spreads_plain_calls(void **state)
{
	candidate_t candidates[3] = { { .slots = 6, .slowdown = 1 },
				      { .slots = 6, .slowdown = 1 },
				      { .slots = 6, .slowdown = 1 } };
	placement_query_t query = { .salt = 1 };
	placement_t placement;

	candidates[0].load.readers = 2;
	candidates[1].load.readers = 1;
	candidates[2].load.readers = 4;
	assert_int_equal(placement_choose(candidates, 3, &query, &placement),
			 PLACEMENT_CHOSEN);
	assert_ptr_equal(placement.parts[0], &candidates[1]);
	candidates[1].fallback = true;
	placement_choose(candidates, 3, &query, &placement);
	assert_ptr_equal(placement.parts[0], &candidates[0]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(forecasts_passes),
		cmocka_unit_test(chooses_servers),
		cmocka_unit_test(packs_short_prompts),
		cmocka_unit_test(plays_a_burst_of_short_prompts),
		cmocka_unit_test(refuses),
		cmocka_unit_test(shares_memory),
		cmocka_unit_test(places_late_requests_like_others),
		cmocka_unit_test(spreads_plain_calls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

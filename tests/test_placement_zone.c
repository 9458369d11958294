/** Placement with data centres to which a request should not go. */
#include "base/units.h"
#include "cases.h"
#include "process/placement.h"

/* A first event takes 20 ms and 100 ms for each 10,000 prompt tokens. */
static const engine_profile_t engine = {
	.present = true,
	.kv_capacity_tokens = 400000,
	.steps_per_iteration = 20,
	.step_us = 1000,
	.prefill_token_us = 10,
	.chunk_tokens = 2000,
	.usual_prompt_tokens = 10000,
	.usual_output_tokens = 1000,
};

/** States of a server. */
enum { NEAR, FAR = 1, RESERVED = 2, FALLBACK = 4 };

enum { SERVERS = 2, SLOTS = 8, FAR_MS = 3 };

typedef struct {
	int32_t is; /* sum of FAR, RESERVED, FALLBACK */
	int32_t decoding, pending_ms;
} server_t;

/* Guards against requests that are refused or late because they are kept in
 * their data centre, and against ones that leave it without need. */
static void keeps_requests_that_are_in_time(void **state)
{
	static const struct {
		const char *name;
		server_t servers[SERVERS];
		int64_t tokens, target_ms, price_ms;
		bool is_plain;
		size_t server; /* expected */
		leave_cause_t leaves;
	} cases[] = {
		{ .name = "a far server comes first in the order",
		  .servers = { { .is = FAR | RESERVED }, { .is = NEAR } },
		  .server = 1 },
		{ .name = "no data centre is reserved",
		  .servers = { { .is = FAR }, { .is = NEAR } } },
		{ .name = "the near one has no slot",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = NEAR, .decoding = SLOTS } },
		  .leaves = LEAVES_LATE },
		{ .name = "the near one is late",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = NEAR, .pending_ms = 400 } },
		  .leaves = LEAVES_LATE },
		{ .name = "both are late",
		  .servers = { { .is = FAR | RESERVED, .pending_ms = 400 },
			       { .is = NEAR, .pending_ms = 500 } },
		  .server = 1 },
		{ .name = "both are late, the near one by far",
		  .servers = { { .is = FAR | RESERVED, .pending_ms = 400 },
			       { .is = NEAR, .pending_ms = 1500 } },
		  .leaves = LEAVES_LATE },
		{ .name = "the near one answers after the limit",
		  .servers = { { .is = FAR | RESERVED, .pending_ms = 1500 },
			       { .is = NEAR, .pending_ms = 2500 } },
		  .leaves = LEAVES_LATE },
		{ .name = "the near one is doubtful",
		  .servers = { { .is = FAR | RESERVED }, { .is = FALLBACK } },
		  .leaves = LEAVES_NO_SERVER },
		{ .name = "no near one",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = FAR | RESERVED } },
		  .leaves = LEAVES_NO_SERVER },
		{ .name = "it leaves by share",
		  .servers = { { .is = FAR }, { .is = RESERVED } },
		  .leaves = LEAVES_BY_SHARE },
		{ .name = "it would leave, and is late there",
		  .servers = { { .is = FAR, .pending_ms = 400 },
			       { .is = RESERVED } },
		  .server = 1 },
		{ .name = "it would leave, for a price",
		  .servers = { { .is = FAR }, { .is = RESERVED } },
		  .price_ms = 1,
		  .server = 1 },
		{ .name = "it would leave, for a price, and is late here",
		  .servers = { { .is = FAR },
			       { .is = RESERVED, .pending_ms = 400 } },
		  .price_ms = 1000,
		  .leaves = LEAVES_BY_SHARE },
		{ .name = "the near one is late, and the price high",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = NEAR, .pending_ms = 400 } },
		  .price_ms = 100000,
		  .leaves = LEAVES_LATE },
		{ .name = "no objective is left",
		  .servers = { { .is = FAR | RESERVED }, { .is = NEAR } },
		  .target_ms = -1,
		  .server = 1 },
		{ .name = "a long prompt",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = NEAR, .pending_ms = 200 } },
		  .tokens = 30000,
		  .target_ms = 2000,
		  .leaves = LEAVES_LONG },
		{ .name = "a long prompt, for a price",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = NEAR, .pending_ms = 20 } },
		  .tokens = 30000,
		  .target_ms = 2000,
		  .price_ms = 1000,
		  .server = 1 },
		{ .name = "a long prompt, late here, for a high price",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = NEAR, .pending_ms = 2500 } },
		  .tokens = 30000,
		  .target_ms = 2000,
		  .price_ms = 100000,
		  .leaves = LEAVES_LONG },
		{ .name = "a plain service",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = NEAR, .decoding = 7 } },
		  .is_plain = true,
		  .server = 1 },
		{ .name = "a plain service without a slot",
		  .servers = { { .is = FAR | RESERVED },
			       { .is = NEAR, .decoding = SLOTS } },
		  .is_plain = true,
		  .leaves = LEAVES_LATE },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		candidate_t candidates[SERVERS];
		placement_query_t query = {
			.engine = cases[i].is_plain ? NULL : &engine,
			.prompt_tokens = cases[i].tokens ? cases[i].tokens
							 : 1000,
			.output_tokens = 100,
			.objective_us = 300 * US_PER_MS,
			.target_us = (cases[i].target_ms ? cases[i].target_ms
							 : 300) *
				     US_PER_MS,
			.limit_us = 2 * US_PER_S,
			.nodes = 1,
			.salt = 1,
		};
		placement_t placement;
		placement_result_t result;

		for (j = 0; j < SERVERS; j++) {
			const server_t *server = &cases[i].servers[j];

			candidates[j] = (candidate_t){
				.order = (uint32_t)j,
				.load = { .decoding = server->decoding,
					  .backlog_us = server->pending_ms *
							US_PER_MS },
				.slots = SLOTS,
				.kv_capacity_tokens = engine.kv_capacity_tokens,
				.slowdown = 1,
				.distance_us = server->is & FAR
						       ? FAR_MS * US_PER_MS
						       : 0,
				.traffic_us =
					server->is & FAR
						? cases[i].price_ms * US_PER_MS
						: 0,
				.fallback = server->is & FALLBACK,
				.reserved = server->is & RESERVED,
			};
		}
		result = placement_choose(candidates, SERVERS, &query,
					  &placement);
		if (result != PLACEMENT_CHOSEN ||
		    placement.shards[0] != &candidates[cases[i].server] ||
		    placement.leaves != cases[i].leaves)
			fail_msg("%s: result %d, server %td, leaves %s",
				 cases[i].name, result,
				 placement.shards[0] - candidates,
				 placement_leaves_name(placement.leaves));
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(keeps_requests_that_are_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/**
 * What callers get when many nodes place requests on shared engines: plays
 * loads that the fleet has room for through the placement, with the fleet
 * model. Objectives are to hold for 95 in 100 requests.
 */
#include "cases.h"
#include "lib/fleet_model.h"

/* Share of requests that may be late or refused. */
#define LATE_MOST 0.05

/* A third of a large fleet, to keep the test short. */
enum { SERVERS = 36, NODES = 96, LENGTH_MS = 15000 };

static const engine_profile_t engine = {
	.present = true,
	.kv_capacity_tokens = 400000,
	.steps_per_pass = 50,
	.step_us = 1300,
	.step_per_writer_us = 1,
	.step_per_context_token_us = 0.002,
	.read_token_us = 6.5,
	.read_pair_us = 0.00016,
	.chunk_tokens = 2000,
	.usual_prompt_tokens = 10000,
	.usual_output_tokens = 1000,
};

static void serves_callers_in_time(void **state)
{
	static const struct {
		const char *guards_against;
		double short_per_s, middle_per_s, long_per_s;
	} cases[] = {
		{ "short prompts that all nodes send to the same servers", 110,
		  2, 0 },
		{ "parts of long prompts that hold up streams", 20, 5, 1.5 },
		{ "streams that start where a long prompt goes next", 50, 4,
		  1 },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		fleet_result_t result;
		fleet_load_t load = {
			.engine = engine,
			.servers = SERVERS,
			.slots = 10,
			.nodes = NODES,
			.work_known_ms = 15,
			.announce_ms = 1200,
			.length_ms = LENGTH_MS,
			.seed = 7,
			.kinds = { { "short", cases[i].short_per_s, 300, 9600,
				     1100, 400, 300 },
				   { "middle", cases[i].middle_per_s, 15000,
				     90000, 800, 1500, 800 },
				   { "long", cases[i].long_per_s, 120000,
				     300000, 700, 4000, 1200 } },
		};

		fleet_play(&load, &result);
		for (j = 0; load.kinds[j].name; j++) {
			const fleet_seen_t *seen = &result.kinds[j];
			int32_t missed = seen->late_first + seen->late_gap +
					 seen->refused;

			if (missed > seen->asked * LATE_MOST)
				fail_msg("case \"%s\", %s: %d asked, %d refused"
					 ", %d with a late first event, %d"
					 " with a late pause",
					 cases[i].guards_against,
					 load.kinds[j].name, seen->asked,
					 seen->refused, seen->late_first,
					 seen->late_gap);
		}
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(serves_callers_in_time),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

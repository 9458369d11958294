/**
 * Simulates three mixes of load with the fleet model and prints the results for
 * callers:
 *
 *     fleet [SECONDS [SEED [NODES [SERVERS]]]]
 *
 * The request rates are stated for 112 servers and scale with the number of
 * servers.
 */
#include <stdio.h>
#include <stdlib.h>

#include "lib/fleet_model.h"

#define ARG(index, otherwise) \
	(argc > (index) ? strtoll(argv[index], NULL, 10) : (otherwise))

typedef struct {
	const char *name;
	/* Requests per second of each kind. */
	double rates[FLEET_KINDS_MAX];
} mix_t;

static void print(const fleet_scenario_t *load, const fleet_result_t *result)
{
	size_t i;

	for (i = 0; load->kinds[i].name; i++) {
		const fleet_stats_t *stats = &result->kinds[i];

		printf("  %-6s requested %5d refused %4d missed "
		       "first event %4d missed gap %4d, missed share %.3f\n",
		       load->kinds[i].name, stats->requested, stats->refused,
		       stats->missed_first, stats->missed_gap,
		       stats->requested ? (double)(stats->missed_first +
						   stats->missed_gap) /
						  stats->requested
					: 0);
	}
}

int main(int argc, char **argv)
{
	static const mix_t mixes[] = {
		{ "many long prompts", { 56, 16, 8.7 } },
		{ "many short prompts", { 365, 6, 0.2 } },
		{ "even", { 152, 12, 3.1 } },
	};
	size_t i, j;

	for (i = 0; i < sizeof(mixes) / sizeof(mixes[0]); i++) {
		fleet_result_t result;
		fleet_scenario_t load = {
			.engine = { .present = true,
				    .kv_capacity_tokens = 400000,
				    .steps_per_iteration = 53,
				    .step_us = 1300,
				    .step_per_decode_us = 1,
				    .step_per_context_token_us = 0.002,
				    .prefill_token_us = 6.5,
				    .prefill_pair_us = 0.00016,
				    .chunk_tokens = 2048,
				    .usual_prompt_tokens = 10000,
				    .usual_output_tokens = 1300 },
			.servers = (size_t)ARG(4, 112),
			.slots = 10,
			.nodes = (int32_t)ARG(3, 295),
			.load_known_ms = 15,
			.announce_ms = 1200,
			.length_ms = ARG(1, 10) * 1000,
			.seed = (uint64_t)ARG(2, 1),
			.kinds = { { "short", 0, 300, 9600, 1100, 400, 300 },
				   { "middle", 0, 15000, 90000, 800, 1500,
				     800 },
				   { "long", 0, 120000, 400000, 700, 4000,
				     1200 } },
		};

		for (j = 0; load.kinds[j].name; j++)
			load.kinds[j].per_s =
				mixes[i].rates[j] * (double)load.servers / 112;
		fleet_simulate(&load, &result);
		printf("%s\n", mixes[i].name);
		print(&load, &result);
	}
	return 0;
}

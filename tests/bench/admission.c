/**
 * @file admission.c
 * Measures what load control costs a node at 810 nodes and 11,000 servers: a
 * placement among the 512 servers that a decision sees, with and without load
 * control, the decision of admission, an announcement of accounts, and an
 * update of the shares between 25 data centres.
 */
#include <stdio.h>
#include <time.h>

#include "admission/admission.h"
#include "base/units.h"
#include "zone/zone_flow.h"

enum { NODES = 810, SERVERS = 512, SLOTS = 8, ZONES = 25, ROUNDS = 2000 };

static const engine_profile_t engine = { .present = true,
					 .kv_capacity_tokens = 400000,
					 .steps_per_iteration = 34,
					 .chunk_tokens = 2048,
					 .step_us = 1000,
					 .prefill_token_us = 6.7,
					 .prefill_pair_us = 0.00016,
					 .usual_prompt_tokens = 5000,
					 .usual_output_tokens = 400 };

static int64_t now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * INT64_C(1000000000) + now.tv_nsec;
}

static void print(const char *what, int64_t start_ns)
{
	printf("%-44s %8.2f us\n", what,
	       (double)(now_ns() - start_ns) / 1000 / ROUNDS);
}

static void fill(candidate_t *candidates, int32_t running)
{
	uint32_t i;

	for (i = 0; i < SERVERS; i++)
		candidates[i] = (candidate_t){
			.order = i * 2654435761u,
			.slots = SLOTS,
			.slowdown = i % 3 ? 1 : 2,
			.kv_capacity_tokens = 400000,
			.load = { .decoding = running - (int32_t)(i % 2),
				  .backlog_us = (i % 7) * 10 * US_PER_MS },
		};
}

static placement_t measure_placement(const char *what,
				     const candidate_t *candidates,
				     bool controls_load)
{
	placement_t placement = { .count = 0 };
	placement_query_t query = { .engine = &engine,
				    .prompt_tokens = 5000,
				    .output_tokens = 400,
				    .gap_target_us = 250 * US_PER_MS,
				    .objective_us = 300 * US_PER_MS,
				    .target_us = 300 * US_PER_MS,
				    .limit_us = 4 * US_PER_S,
				    .nodes = NODES,
				    .controls_load = controls_load };
	int64_t start_ns = now_ns();

	for (query.salt = 0; query.salt < ROUNDS; query.salt++)
		placement_choose(candidates, SERVERS, &query, &placement);
	print(what, start_ns);
	return placement;
}

static void announce(account_load_t *load, uint32_t accounts)
{
	announcement_t message = { .account_count = ANNOUNCED_ACCOUNTS_MAX };
	uint32_t i;

	for (message.node = 1; message.node < NODES; message.node++) {
		for (i = 0; i < ANNOUNCED_ACCOUNTS_MAX; i++)
			message.accounts[i] = (account_report_t){
				1,
				((uint32_t)message.node *
					 ANNOUNCED_ACCOUNTS_MAX +
				 i) % accounts,
				3
			};
		account_load_receive(load, &message, 1);
	}
}

static void measure_admission(const char *what, uint32_t accounts,
			      const candidate_t *candidates,
			      const placement_t *placement)
{
	account_load_t *load = account_load_create();
	admission_query_t query = { .controls_load = true,
				    .engine = &engine,
				    .placement = placement,
				    .target_us = INT64_MAX,
				    .wait_max_us = 2 * US_PER_S,
				    .accounts = load,
				    .service = 1,
				    .account = 2 };
	admission_t admission;
	int64_t start_ns;
	int i;

	announce(load, accounts);
	start_ns = now_ns();
	for (i = 0; i < ROUNDS; i++) {
		query.capacity = admission_capacity(candidates, SERVERS);
		admission_decide(&query, &admission);
	}
	print(what, start_ns);
	start_ns = now_ns();
	for (i = 0; i < ROUNDS / (NODES - 1) + 1; i++)
		announce(load, accounts);
	printf("  an announcement received %27.2f us\n",
	       (double)(now_ns() - start_ns) / 1000 /
		       ((double)i * (NODES - 1)));
	account_load_destroy(load);
}

int main(void)
{
	static candidate_t candidates[SERVERS];
	zone_load_t zones[ZONES];
	zone_flow_t *flow = zone_flow_create(0);
	placement_t placement;
	int64_t start_ns;
	int i;

	fill(candidates, SLOTS / 2);
	measure_placement("placement, half full, without", candidates, false);
	measure_placement("placement, half full, with", candidates, true);
	fill(candidates, SLOTS + 1);
	measure_placement("placement, full, without", candidates, false);
	placement =
		measure_placement("placement, full, with", candidates, true);
	measure_admission("admission, 43 accounts", 43, candidates, &placement);
	measure_admission("admission, 9,708 accounts", 9708, candidates,
			  &placement);
	start_ns = now_ns();
	for (i = 0; i < ROUNDS; i++) {
		uint32_t zone;

		for (zone = 0; zone < ZONES; zone++)
			zones[zone] =
				(zone_load_t){ zone, 3520, 140.0 * zone + i };
		zone_flow_update(flow, zones, ZONES, (i + 1) * 50 * US_PER_MS);
	}
	print("shares of 25 data centres", start_ns);
	zone_flow_destroy(flow);
	return 0;
}

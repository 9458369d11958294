#include <stdlib.h>

#include "base/units.h"
#include "process/placement_cost.h"

/* Free slots among which nodes choose, per request that arrives within
 * PLACEMENT_LOAD_AGE_US: enough that few nodes choose the same slot. */
#define SLOTS_PER_ARRIVAL 2
/* Servers with a longer round trip are in another region. */
#define REGION_DISTANCE_US (10 * US_PER_MS)

enum {
	/* Least number of free slots among which nodes choose. */
	SLOTS_MIN = 4,
	SERVERS_MAX = 512
};

/** Free capacity of a server for short prompts. */
typedef struct {
	const candidate_t *candidate;
	double event_us; /**< predicted time until the first event */
	int32_t free_slots; /**< 0: server takes no short prompt */
} capacity_t;

/* @return short prompts that a server can take at once: it has a slot for each,
 * and prefills them one after the other within their objectives. */
static int32_t count_free_slots(const capacity_t *capacity,
				const placement_query_t *query,
				double prefill_us)
{
	int32_t slots = placement_free_slots(capacity->candidate, query);
	double left_us = (double)query->target_us * PLACEMENT_TARGET_SHARE -
			 capacity->event_us;

	if (left_us < 0)
		return 0;
	if (prefill_us > 0 && left_us / prefill_us + 1 < slots)
		slots = (int32_t)(left_us / prefill_us) + 1;
	return slots > 0 ? slots : 0;
}

static capacity_t capacity_of(const candidate_t *candidate,
			      const placement_query_t *query, double prefill_us)
{
	double slowdown = placement_slowdown(candidate, query);
	capacity_t capacity = {
		.candidate = candidate,
		.event_us = (double)candidate->distance_us +
			    slowdown * forecast_first_event_us(query->engine,
							       &candidate->load,
							       prefill_us),
	};

	prefill_us *= slowdown;
	if (!candidate->fallback && placement_keeps_gap(candidate, query) &&
	    (candidate->slowdown <= 1 || query->controls_load) &&
	    !placement_has_share(candidate, query) &&
	    placement_fits(candidate,
			   query->prompt_tokens + query->output_tokens) &&
	    placement_delayed_weight(candidate, query, prefill_us) <= 0)
		capacity.free_slots =
			count_free_slots(&capacity, query, prefill_us);
	return capacity;
}

/* Sorts servers of this node's region first. Within the region, nodes of all
 * data centres fill the same servers. */
static int compare_order(const void *left, const void *right)
{
	const candidate_t *a = ((const capacity_t *)left)->candidate;
	const candidate_t *b = ((const capacity_t *)right)->candidate;
	bool far_a = a->distance_us > REGION_DISTANCE_US;
	bool far_b = b->distance_us > REGION_DISTANCE_US;

	if (far_a != far_b)
		return far_a ? 1 : -1;
	if ((a->slowdown > 1) != (b->slowdown > 1))
		return a->slowdown > 1 ? 1 : -1;
	if (a->order != b->order)
		return a->order < b->order ? -1 : 1;
	return 0;
}

/* @return expected number of requests that other nodes have placed and that
 * this node does not know yet. */
static double unknown_arrivals(const candidate_t *candidates, size_t count,
			       const placement_query_t *query)
{
	server_load_t usual = { .decoding = candidates[0].slots / 2 };
	double decode_us = forecast_output_us(
		query->engine, query->engine->usual_output_tokens, &usual);
	double sum = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum += placement_running(&candidates[i]);
	return decode_us > 0 ? sum * PLACEMENT_LOAD_AGE_US / decode_us : 0;
}

int32_t placement_spread_slots(const candidate_t *candidates, size_t count,
			       const placement_query_t *query)
{
	int32_t slots_min = query->nodes < SLOTS_MIN ? query->nodes : SLOTS_MIN;
	double wanted;

	if (query->nodes <= 1)
		return 1;
	wanted = SLOTS_PER_ARRIVAL * unknown_arrivals(candidates, count, query);
	if (wanted >= INT32_MAX)
		return INT32_MAX;
	return wanted > slots_min ? (int32_t)wanted : slots_min;
}

bool placement_pack(const candidate_t *candidates, size_t count,
		    const placement_query_t *query, placement_t *placement)
{
	double prefill_us =
		forecast_prefill_us(query->engine, query->prompt_tokens, 1);
	capacity_t servers[SERVERS_MAX];
	int32_t wanted, sum = 0, slot;
	size_t i, used = 0;

	for (i = 0; i < count && used < SERVERS_MAX; i++) {
		servers[used] = capacity_of(&candidates[i], query, prefill_us);
		used += servers[used].free_slots > 0;
	}
	if (!used)
		return false;
	qsort(servers, used, sizeof(*servers), compare_order);
	wanted = placement_spread_slots(candidates, count, query);
	for (i = 0; i < used && sum < wanted; i++)
		sum += servers[i].free_slots;
	if (!sum)
		return false;
	slot = (int32_t)(query->salt % (uint64_t)sum);
	for (i = 0; slot >= servers[i].free_slots; i++)
		slot -= servers[i].free_slots;
	*placement = (placement_t){
		.count = 1,
		.shards = { servers[i].candidate },
		.first_event_us = time_to_us(servers[i].event_us),
		.prefill_us = { time_to_us(
			prefill_us *
			placement_slowdown(servers[i].candidate, query)) },
	};
	return true;
}

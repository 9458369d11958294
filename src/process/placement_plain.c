#include <stdlib.h>

#include "base/mem.h"
#include "process/placement_cost.h"

enum {
	/* Assumed duration of a call. Plain services state no cost, and only
	 * the order of the servers depends on this value. */
	PLAIN_CALL_US = 15000,
	/* Free slots among which nodes choose, per request that arrives before
	 * the latest choices of other nodes are known: less than 1 in 100
	 * requests meets a server without a slot then. */
	SLOTS_PER_ARRIVAL = 4,
	SLOTS_MIN = 8 /* least number of these slots */
};

/** A server that may be chosen. */
typedef struct {
	const candidate_t *candidate;
	double us; /* expected duration of the call */
	int32_t free_slots;
} option_t;

static double call_us(const candidate_t *candidate)
{
	return (double)candidate->distance_us +
	       PLAIN_CALL_US * candidate->slowdown *
		       ((double)(placement_running(candidate) + 1) /
			(candidate->slots > 0 ? candidate->slots : 1));
}

static const candidate_t *find_fastest(const candidate_t *candidates,
				       size_t count,
				       const placement_query_t *query)
{
	const candidate_t *best = NULL;
	double best_us = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		const candidate_t *candidate =
			&candidates[(i + query->salt % count) % count];
		double us = call_us(candidate);

		if (best && candidate->fallback > best->fallback)
			continue;
		if (!best || candidate->fallback < best->fallback ||
		    us < best_us) {
			best = candidate;
			best_us = us;
		}
	}
	return best;
}

static int compare_options(const void *left, const void *right)
{
	const option_t *a = left, *b = right;

	if (a->us != b->us)
		return a->us < b->us ? -1 : 1;
	return 0;
}

/* @return greatest distance of the servers to be used: the near ones alone
 * while at most half of their slots are in use */
static int64_t distance_max_us(const candidate_t *candidates, size_t count)
{
	int64_t nearest_us = INT64_MAX, slots = 0, running = 0;
	size_t i;

	for (i = 0; i < count; i++)
		if (!candidates[i].fallback &&
		    candidates[i].distance_us < nearest_us)
			nearest_us = candidates[i].distance_us;
	for (i = 0; i < count; i++) {
		if (candidates[i].fallback ||
		    candidates[i].distance_us > nearest_us)
			continue;
		slots += candidates[i].slots;
		running += placement_running(&candidates[i]);
	}
	return running * 2 <= slots ? nearest_us : INT64_MAX;
}

/* Lists the servers with free slots, the fastest first. */
static size_t list_options(const candidate_t *candidates, size_t count,
			   const placement_query_t *query, option_t *options)
{
	int64_t max_us = distance_max_us(candidates, count);
	size_t i, used = 0;

	for (i = 0; i < count; i++) {
		const candidate_t *candidate = &candidates[i];
		int32_t free_slots = placement_free_slots(candidate, query);

		if (candidate->fallback || free_slots <= 0 ||
		    candidate->distance_us > max_us ||
		    placement_has_share(candidate, query))
			continue;
		options[used++] =
			(option_t){ candidate, call_us(candidate), free_slots };
	}
	qsort(options, used, sizeof(*options), compare_options);
	return used;
}

/* @return number of free slots among which nodes choose: all nodes see the same
 * server as the fastest until they know of each other's requests. */
static int64_t slots_wanted(const candidate_t *candidates, size_t count)
{
	int64_t running = 0, wanted;
	size_t i;

	for (i = 0; i < count; i++)
		running += placement_running(&candidates[i]);
	wanted = running * SLOTS_PER_ARRIVAL * PLACEMENT_LOAD_AGE_US /
		 PLAIN_CALL_US;
	return wanted > SLOTS_MIN ? wanted : SLOTS_MIN;
}

/* Chooses at random among the free slots of the fastest servers.
 * @return NULL: no server has a free slot */
static const candidate_t *choose_slot(const candidate_t *candidates,
				      size_t count,
				      const placement_query_t *query)
{
	option_t *options = mem_calloc(count, sizeof(*options));
	size_t used = list_options(candidates, count, query, options), i;
	int64_t wanted = slots_wanted(candidates, count), sum = 0, slot;
	const candidate_t *chosen = NULL;

	/* Without the equally fast servers, nodes would crowd on those that the
	 * sort happens to put first. */
	for (i = 0;
	     i < used && (sum < wanted || options[i].us <= options[i - 1].us);
	     i++)
		sum += options[i].free_slots;
	if (sum) {
		slot = (int64_t)(query->salt % (uint64_t)sum);
		for (i = 0; slot >= options[i].free_slots; i++)
			slot -= options[i].free_slots;
		chosen = options[i].candidate;
	}
	free(options);
	return chosen;
}

placement_result_t placement_plain(const candidate_t *candidates, size_t count,
				   const placement_query_t *query,
				   placement_t *placement)
{
	const candidate_t *chosen = NULL;

	if (query->controls_load && query->nodes > 1)
		chosen = choose_slot(candidates, count, query);
	if (!chosen)
		chosen = find_fastest(candidates, count, query);
	placement->count = 1;
	placement->missed_weight = 0;
	placement->shards[0] = chosen;
	placement->prefill_us[0] = 0;
	placement->first_event_us = time_to_us(call_us(chosen));
	return PLACEMENT_CHOSEN;
}

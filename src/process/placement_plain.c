#include "process/placement_cost.h"

enum {
	/* Assumed duration of a call. Plain services state no cost, and only
	 * the order of the servers depends on this value. */
	PLAIN_CALL_US = 15000
};

placement_result_t placement_plain(const candidate_t *candidates, size_t count,
				   const placement_query_t *query,
				   placement_t *placement)
{
	const candidate_t *best = NULL;
	double best_us = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		const candidate_t *candidate =
			&candidates[(i + query->salt % count) % count];
		double us =
			(double)candidate->distance_us +
			PLAIN_CALL_US * candidate->slowdown *
				((double)(placement_running(candidate) + 1) /
				 (candidate->slots > 0 ? candidate->slots : 1));

		if (best && candidate->fallback > best->fallback)
			continue;
		if (!best || candidate->fallback < best->fallback ||
		    us < best_us) {
			best = candidate;
			best_us = us;
		}
	}
	placement->count = 1;
	placement->missed_weight = 0;
	placement->shards[0] = best;
	placement->prefill_us[0] = 0;
	placement->first_event_us = time_to_us(best_us);
	return PLACEMENT_CHOSEN;
}

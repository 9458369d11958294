#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "process/placement_cost.h"

/* A request that no server serves in time leaves its data centre if it is
 * answered in less than this fraction of the time there. Of two data centres
 * that are late, at most one is so much better than the other: late requests
 * never go both ways. */
#define LATE_LEAVE_FRACTION 0.5

/** Which candidates are considered. */
typedef enum { KEPT_NOT_RESERVED, KEPT_NEAR } kept_t;

const char *placement_leaves_name(leave_cause_t cause)
{
	static const char *const names[] = {
		[LEAVES_NOT] = "no",	[LEAVES_BY_SHARE] = "share",
		[LEAVES_LATE] = "late", [LEAVES_NO_SERVER] = "no-server",
		[LEAVES_LONG] = "long",
	};

	return names[cause];
}

static bool is_near(const candidate_t *candidate)
{
	return candidate->distance_us <= 0;
}

static bool keeps(const candidate_t *candidate, kept_t kept)
{
	return kept == KEPT_NEAR ? is_near(candidate) : !candidate->reserved;
}

static bool has_reserved(const candidate_t *candidates, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (candidates[i].reserved)
			return true;
	return false;
}

/* Selects servers among a part of the candidates. */
static placement_result_t choose_kept(const candidate_t *candidates,
				      size_t count, kept_t kept,
				      const placement_query_t *query,
				      placement_among_t among,
				      placement_t *placement)
{
	candidate_t *copies = mem_calloc(count, sizeof(*copies));
	const candidate_t **origins = mem_calloc(count, sizeof(*origins));
	placement_result_t result;
	size_t i, used = 0;

	for (i = 0; i < count; i++) {
		if (!keeps(&candidates[i], kept))
			continue;
		copies[used] = candidates[i];
		origins[used++] = &candidates[i];
	}
	result = among(copies, used, query, placement);
	for (i = 0; i < placement->count; i++)
		placement->shards[i] = origins[placement->shards[i] - copies];
	free(origins);
	free(copies);
	return result;
}

/* @return true if the request is served in time and delays no other one */
static bool serves(const placement_t *placement, const placement_query_t *query)
{
	const candidate_t *first = placement->shards[0];

	return !first->fallback && placement->missed_weight <= 0 &&
	       placement_running(first) < first->slots &&
	       (double)placement->first_event_us <=
		       (double)query->target_us * PLACEMENT_TARGET_SHARE;
}

/* @return true if placement @p other, of a last choice, is better than @p first
 * although neither may be in time */
static bool is_better(const placement_t *other, const placement_t *first,
		      const placement_query_t *query)
{
	bool fallback = first->shards[0]->fallback;

	if (other->shards[0]->fallback != fallback)
		return fallback;
	return serves(other, query) ||
	       (double)other->first_event_us <
		       (double)first->first_event_us * LATE_LEAVE_FRACTION ||
	       other->missed_weight <
		       first->missed_weight * LATE_LEAVE_FRACTION;
}

/* Brings a request back that left by share, if a server here serves it so soon
 * that the traffic is not worth its price. */
static void weigh_traffic(const candidate_t *candidates, size_t count,
			  const placement_query_t *query,
			  placement_among_t among, placement_t *placement)
{
	int64_t price_us = placement->shards[0]->traffic_us;
	placement_t near;

	if (price_us <= 0 || choose_kept(candidates, count, KEPT_NEAR, query,
					 among, &near) != PLACEMENT_CHOSEN)
		return;
	if (serves(&near, query) &&
	    near.first_event_us <= placement->first_event_us + price_us)
		*placement = near;
}

static leave_cause_t cause_of(const candidate_t *candidates, size_t count,
			      const placement_t *placement)
{
	size_t i;

	if (is_near(placement->shards[0]))
		return LEAVES_NOT;
	for (i = 0; i < count; i++)
		if (is_near(&candidates[i]) && !candidates[i].fallback)
			return placement->shards[0]->reserved ? LEAVES_LATE
							      : LEAVES_BY_SHARE;
	return LEAVES_NO_SERVER;
}

/* Keeps the better one of the placement without reserved servers and that with
 * all of them. */
static placement_result_t
choose_last(const candidate_t *candidates, size_t count,
	    const placement_query_t *query, placement_among_t among,
	    placement_result_t result, placement_t *placement)
{
	placement_t other;
	placement_result_t all = among(candidates, count, query, &other);

	if (result == PLACEMENT_CHOSEN &&
	    (all != PLACEMENT_CHOSEN || !is_better(&other, placement, query)))
		return result;
	*placement = other;
	return all;
}

placement_result_t placement_stay(const candidate_t *candidates, size_t count,
				  const placement_query_t *query,
				  placement_among_t among,
				  placement_t *placement)
{
	placement_result_t result;

	placement->leaves = LEAVES_NOT;
	if (!has_reserved(candidates, count))
		return among(candidates, count, query, placement);
	if (query->engine && !placement_is_short(query)) {
		result = among(candidates, count, query, placement);
		placement->leaves =
			result == PLACEMENT_CHOSEN &&
					!is_near(placement->shards[0])
				? LEAVES_LONG
				: LEAVES_NOT;
		return result;
	}
	result = choose_kept(candidates, count, KEPT_NOT_RESERVED, query, among,
			     placement);
	if (result == PLACEMENT_CHOSEN && serves(placement, query))
		weigh_traffic(candidates, count, query, among, placement);
	else
		result = choose_last(candidates, count, query, among, result,
				     placement);
	if (result == PLACEMENT_CHOSEN)
		placement->leaves = cause_of(candidates, count, placement);
	return result;
}

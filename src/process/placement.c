#include "process/placement_cost.h"

#include <stdlib.h>
#include <xxhash.h>

/* Short prompts are packed while the prediction is below this share. */
#define PACK_SHARE 0.45
/* Shortest pause before a refused prompt is worth sending again. */
#define REFUSED_PAUSE_US (US_PER_S)
/* Cost of the time that an answer within its objective takes, as a part of
 * the request's weight at the whole objective. */
#define TIME_LOSS 0.1
/* Cost of each further part: it delays others a little. */
#define PART_LOSS 0.03
/* Part of its weight that a request risks with each further server. */
#define PART_RISK 0.001
/* Cost of an idle server for a short prompt, which takes it from long ones. */
#define SPREAD_LOSS 0.1
/* Random part of the cost of a server, for each node that may choose at the
 * same moment: the more there are, the wider they must spread. */
#define JITTER_LOSS 0.0015

enum {
	CANDIDATES_MAX = 512,
	/* Packing tells servers apart by this many steps of fullness. Within a
	 * step nodes choose at random, since what they know is a little old. */
	FILL_STEPS = 4,
	/* A short prompt gains nothing from more parts. */
	SHORT_PARTS_MAX = 5
};

/** One server as a possible place of a part. */
typedef struct {
	const candidate_t *candidate;
	double read_us; /**< prefill of the part there */
	double event_us; /**< when the part is read, from now */
	double missed_weight; /**< of streams there that it makes late */
	double cost; /**< order of preference */
} option_t;

/* Cost of the time until the first event, whether it is late or not. */
static double time_cost(const placement_query_t *query, double event_us)
{
	double objective_us = (double)query->objective_us;

	return placement_weight(query, query->prompt_tokens) * TIME_LOSS *
	       event_us / (objective_us > 1 ? objective_us : 1);
}

/* A full server starts the next request when one of those it runs ends. */
static double slot_wait_us(const candidate_t *candidate,
			   const placement_query_t *query)
{
	int32_t over = placement_running(candidate) - candidate->slots + 1;

	if (over <= 0 || candidate->slots <= 0)
		return 0;
	return forecast_write_us(query->engine,
				 query->engine->usual_output_tokens,
				 &candidate->load) *
	       over / candidate->slots;
}

/* Packing: an idle server is worth more to a long prompt. */
static double spread_cost(const candidate_t *candidate,
			  const placement_query_t *query, double event_us)
{
	int32_t step;

	if (!placement_is_short(query) ||
	    event_us > (double)query->target_us * PACK_SHARE)
		return 0;
	step = placement_running(candidate) * FILL_STEPS /
	       (candidate->slots > 0 ? candidate->slots : 1);
	return -SPREAD_LOSS * step / FILL_STEPS;
}

/* @return the bound of the random part of a cost. */
static double jitter_most(const candidate_t *candidates, size_t count,
			  const placement_query_t *query)
{
	int32_t rivals = placement_choices(candidates, count, query);

	return JITTER_LOSS * (rivals < query->nodes ? rivals : query->nodes);
}

static double jitter(const placement_query_t *query,
		     const candidate_t *candidate, double most)
{
	uint64_t key = query->salt ^ candidate->order;

	return most * (double)(XXH64(&key, sizeof(key), 0) >> 40) / (1 << 24);
}

static option_t option_of(const candidate_t *candidate,
			  const placement_query_t *query, int32_t parts,
			  double random_part)
{
	option_t option = { .candidate = candidate };
	double target_us = (double)query->target_us;
	int64_t part_tokens = query->prompt_tokens / parts;
	double pass_us;

	option.read_us =
		forecast_read_us(query->engine, query->prompt_tokens, parts) *
		candidate->slowdown;
	option.event_us = (double)candidate->distance_us +
			  slot_wait_us(candidate, query) +
			  forecast_first_event_us(query->engine,
						  &candidate->load,
						  option.read_us);
	pass_us = forecast_pass_read_max_us(query->engine, option.read_us,
					    part_tokens);
	option.missed_weight =
		placement_late_streams(candidate, query, pass_us);
	option.cost = option.missed_weight * PLACEMENT_LATE_LOSS +
		      time_cost(query, option.event_us);
	if (option.event_us > target_us * PLACEMENT_TARGET_SHARE)
		option.cost += placement_weight(query, query->prompt_tokens) *
			       PLACEMENT_LATE_LOSS;
	option.cost += spread_cost(candidate, query, option.event_us) +
		       jitter(query, candidate, random_part);
	return option;
}

static int compare_options(const void *left, const void *right)
{
	const option_t *a = left, *b = right;

	if (a->cost != b->cost)
		return a->cost < b->cost ? -1 : 1;
	return 0;
}

/* Lists the servers, fallback ones only if there are too few others. */
static size_t list_options(const candidate_t *candidates, size_t count,
			   const placement_query_t *query, int32_t parts,
			   int64_t kv_tokens, double random_part,
			   option_t *options)
{
	size_t i, used = 0, offset = (size_t)(query->salt % count);
	int fallback;

	for (fallback = 0; fallback < 2 && used < (size_t)parts; fallback++) {
		for (i = 0; i < count && used < CANDIDATES_MAX; i++) {
			const candidate_t *candidate =
				&candidates[(i + offset) % count];

			if (candidate->fallback == !!fallback &&
			    placement_fits(candidate, kv_tokens))
				options[used++] = option_of(candidate, query,
							    parts, random_part);
		}
	}
	return used;
}

static bool has_slot(const candidate_t *candidate)
{
	return placement_running(candidate) < candidate->slots;
}

/* The server that keeps the KV cache and writes goes first: one with room and
 * a free slot, and with the most writers for a short prompt, the fewest for a
 * long one. */
static bool put_writer_first(option_t *options, size_t parts, int64_t kv_tokens,
			     bool packs)
{
	size_t i, writer = parts;
	option_t first;

	for (i = 0; i < parts; i++) {
		const server_load_t *load = &options[i].candidate->load;
		int32_t more;

		if (!placement_fits(options[i].candidate, kv_tokens))
			continue;
		if (writer == parts || (has_slot(options[i].candidate) &&
					!has_slot(options[writer].candidate))) {
			writer = i;
			continue;
		}
		if (!has_slot(options[i].candidate))
			continue;
		more = load->writers - options[writer].candidate->load.writers;
		if (packs ? more > 0 : more < 0)
			writer = i;
	}
	if (writer == parts)
		return false;
	first = options[writer];
	options[writer] = options[0];
	options[0] = first;
	return true;
}

/* Fills in the placement on the first @p parts options; returns its cost. */
static double evaluate(const option_t *options, size_t parts,
		       const placement_query_t *query, placement_t *placement)
{
	double weight = placement_weight(query, query->prompt_tokens);
	double target_us = (double)query->target_us, event_us = 0, cost;
	size_t i;

	placement->count = parts;
	placement->missed_weight = 0;
	for (i = 0; i < parts; i++) {
		placement->parts[i] = options[i].candidate;
		placement->read_us[i] = (int64_t)options[i].read_us;
		placement->missed_weight += options[i].missed_weight;
		if (options[i].event_us > event_us)
			event_us = options[i].event_us;
	}
	placement->first_event_us = (int64_t)event_us;
	cost = placement->missed_weight * PLACEMENT_LATE_LOSS +
	       time_cost(query, event_us) +
	       (PART_LOSS + weight * PART_RISK) * (double)(parts - 1) +
	       spread_cost(options[0].candidate, query, event_us);
	if (event_us > target_us * PLACEMENT_TARGET_SHARE)
		cost += weight * PLACEMENT_LATE_LOSS;
	return cost;
}

static bool place(const candidate_t *candidates, size_t count,
		  const placement_query_t *query, int32_t parts,
		  bool shared_memory, double random_part,
		  placement_t *placement, double *cost)
{
	option_t options[CANDIDATES_MAX];
	int64_t kv_tokens = query->prompt_tokens + query->output_tokens;
	size_t used;

	if (shared_memory)
		kv_tokens = kv_tokens / parts + 1;
	used = list_options(candidates, count, query, parts,
			    shared_memory || parts == 1 ? kv_tokens : 0,
			    random_part, options);
	if (used < (size_t)parts)
		return false;
	qsort(options, used, sizeof(*options), compare_options);
	if (!put_writer_first(options, (size_t)parts, kv_tokens,
			      placement_is_short(query)))
		return false;
	*cost = evaluate(options, (size_t)parts, query, placement);
	placement->shared_memory = shared_memory;
	return true;
}

/* @return parts that the KV cache of a prompt needs when servers are empty;
 * 0 if no set can hold it. */
static int32_t parts_for_memory(const placement_query_t *query, size_t count)
{
	double capacity =
		(double)query->engine->kv_capacity_tokens * PLACEMENT_KV_SHARE;
	double kv_tokens =
		(double)(query->prompt_tokens + query->output_tokens);
	int32_t parts = 1;

	if (capacity <= 0)
		return 1;
	while (kv_tokens / parts > capacity)
		parts++;
	return parts <= PLACEMENT_SHARDS_MAX && (size_t)parts <= count ? parts
								       : 0;
}

/* Tries each number of parts and keeps the cheapest. */
static bool place_cheapest(const candidate_t *candidates, size_t count,
			   const placement_query_t *query, int32_t parts_min,
			   bool shared_memory, placement_t *placement)
{
	double random_part = jitter_most(candidates, count, query), best = 0;
	int32_t parts, parts_max = PLACEMENT_SHARDS_MAX;
	bool found = false;

	if (placement_is_short(query) && !shared_memory)
		parts_max = SHORT_PARTS_MAX;
	for (parts = parts_min; parts <= parts_max && (size_t)parts <= count;
	     parts++) {
		placement_t tried = { .count = 0 };
		double cost;

		if (!place(candidates, count, query, parts, shared_memory,
			   random_part, &tried, &cost))
			continue;
		if (found && cost >= best)
			continue;
		*placement = tried;
		best = cost;
		found = true;
	}
	return found;
}

placement_result_t placement_choose(const candidate_t *candidates, size_t count,
				    const placement_query_t *query,
				    placement_t *placement)
{
	int32_t parts_min;
	bool found = false;

	placement->count = 0;
	placement->shared_memory = false;
	placement->retry_in_us = 0;
	placement->missed_weight = 0;
	if (!count)
		return PLACEMENT_NO_SERVER;
	if (!query->engine)
		return placement_plain(candidates, count, query, placement);
	parts_min = parts_for_memory(query, count);
	if (!parts_min)
		return PLACEMENT_TOO_LONG;
	if (parts_min == 1 && placement_is_short(query))
		found = placement_pack(candidates, count, query, placement);
	if (parts_min == 1 && !found)
		found = place_cheapest(candidates, count, query, 1, false,
				       placement);
	if (!found)
		found = place_cheapest(candidates, count, query,
				       parts_min > 1 ? parts_min : 2, true,
				       placement);
	if (!found)
		return PLACEMENT_NO_SERVER;
	if (placement_costs_too_much(candidates, count, query, placement)) {
		placement->retry_in_us =
			(int64_t)placement_backlog_us(candidates, count) +
			REFUSED_PAUSE_US;
		return PLACEMENT_BUSY;
	}
	if (placement->first_event_us <= query->limit_us)
		return PLACEMENT_CHOSEN;
	placement->retry_in_us = placement->first_event_us - query->limit_us;
	return PLACEMENT_PAST_LIMIT;
}

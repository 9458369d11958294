#include "process/placement_cost.h"

#include <stdlib.h>
#include <xxhash.h>

/* Short prompts are packed as long as the predicted first event stays below
 * this share of the time left to the objective. */
#define PACK_SHARE 0.45
/* Least delay after which a retry of a refused prompt is worthwhile. */
#define RETRY_DELAY_US (US_PER_S)
/* Cost of the time to the first event within the objective: this fraction of
 * the request's weight when the whole objective is used up. */
#define TIME_LOSS 0.1
/* Cost of each additional shard, as weight: it slightly delays other requests.
 */
#define SHARD_LOSS 0.03
/* Fraction of a request's weight that each additional server puts at risk. */
#define SHARD_RISK 0.001
/* Cost, as weight, of using an idle server for a short prompt, which takes the
 * server from long prompts. */
#define SPREAD_LOSS 0.1
/* Random term of the cost of a server, per node that may place a request at the
 * same time: the more nodes do, the wider the requests must spread. */
#define JITTER_LOSS 0.0015

enum {
	CANDIDATES_MAX = 512,
	/* Packing distinguishes this many levels of slot usage. Within a level
	 * nodes choose at random, because their load tables are slightly out of
	 * date. */
	FILL_STEPS = 4,
	/* More shards do not speed up a short prompt. */
	SHORT_SHARDS_MAX = 5
};

/** A candidate server for one prompt shard. */
typedef struct {
	const candidate_t *candidate;
	double prefill_us; /**< prefill of the shard on this server */
	double event_us; /**< time until the shard is prefilled */
	/** Weight of the server's streams that the shard makes miss their
	 * objective. */
	double missed_weight;
	double cost; /**< lowest is preferred */
} option_t;

/* Cost of the time until the first event, whether or not the event misses the
 * objective. */
static double time_cost(const placement_query_t *query, double event_us)
{
	double objective_us = (double)query->objective_us;

	return placement_own_weight(query) * TIME_LOSS * event_us /
	       (objective_us > 1 ? objective_us : 1);
}

/* Cost of traffic to another data centre. The price counts up to the objective:
 * it is never worth more than being in time. */
static double traffic_cost(const placement_query_t *query,
			   const candidate_t *candidate)
{
	double price_us = (double)candidate->traffic_us;
	double max_us = (double)query->objective_us;

	return time_cost(query, price_us < max_us ? price_us : max_us);
}

/* @return time until a server has a free slot: a full server starts the next
 * request when a running request ends. */
static double slot_wait_us(const candidate_t *candidate,
			   const placement_query_t *query)
{
	int32_t over = placement_ahead(candidate, query) - candidate->slots + 1;
	double wait_us;

	if (over <= 0 || candidate->slots <= 0)
		return 0;
	wait_us = forecast_output_us(query->engine,
				     query->engine->usual_output_tokens,
				     &candidate->load) *
		  over / candidate->slots;
	/* A slot becomes free at the end of an iteration, so that the half of
	 * it that forecast_decode_wait_us() adds is not waited for. */
	if (query->controls_load)
		wait_us -= forecast_decode_us(query->engine,
					      candidate->load.decoding,
					      candidate->load.kv_tokens) /
			   2;
	return wait_us > 0 ? wait_us : 0;
}

/* Discount for servers in use, so that short prompts are packed: an idle server
 * is worth more to a long prompt. */
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

/* @return upper bound of the random term of a cost. */
static double jitter_max(const candidate_t *candidates, size_t count,
			 const placement_query_t *query)
{
	int32_t slots = placement_spread_slots(candidates, count, query);

	return JITTER_LOSS * (slots < query->nodes ? slots : query->nodes);
}

static double jitter(const placement_query_t *query,
		     const candidate_t *candidate, double max)
{
	uint64_t key = query->salt ^ candidate->order;

	return max * (double)(XXH64(&key, sizeof(key), 0) >> 40) / (1 << 24);
}

static option_t option_of(const candidate_t *candidate,
			  const placement_query_t *query, int32_t shards,
			  double jitter_bound)
{
	option_t option = { .candidate = candidate };
	double target_us = (double)query->target_us;
	int64_t shard_tokens = query->prompt_tokens / shards;
	double iteration_us;

	option.prefill_us = forecast_prefill_us(query->engine,
						query->prompt_tokens, shards) *
			    candidate->slowdown;
	option.event_us =
		(double)candidate->distance_us +
		(slot_wait_us(candidate, query) +
		 forecast_first_event_us(query->engine, &candidate->load, 0)) *
			placement_slowdown(candidate, query) +
		option.prefill_us;
	iteration_us = forecast_iteration_prefill_us(
		query->engine, option.prefill_us, shard_tokens);
	option.missed_weight =
		placement_delayed_weight(candidate, query, iteration_us);
	option.cost = option.missed_weight * PLACEMENT_MISS_LOSS +
		      time_cost(query, option.event_us);
	if (option.event_us > target_us * PLACEMENT_TARGET_SHARE ||
	    (shards == 1 && !placement_keeps_gap(candidate, query)))
		option.cost +=
			placement_own_weight(query) * PLACEMENT_MISS_LOSS;
	option.cost += traffic_cost(query, candidate) / shards +
		       spread_cost(candidate, query, option.event_us) +
		       jitter(query, candidate, jitter_bound);
	return option;
}

static int compare_options(const void *left, const void *right)
{
	const option_t *a = left, *b = right;

	if (a->cost != b->cost)
		return a->cost < b->cost ? -1 : 1;
	return 0;
}

/* Lists the servers with free memory that take a shard; fallback servers are
 * included only if fewer than @p shards other servers are available. */
static size_t list_options(const candidate_t *candidates, size_t count,
			   const placement_query_t *query, int32_t shards,
			   int64_t kv_tokens, double jitter_bound,
			   option_t *options)
{
	size_t i, used = 0, offset = (size_t)(query->salt % count);
	int fallback;

	for (fallback = 0; fallback < 2 && used < (size_t)shards; fallback++) {
		for (i = 0; i < count && used < CANDIDATES_MAX; i++) {
			const candidate_t *candidate =
				&candidates[(i + offset) % count];

			if (candidate->fallback == !!fallback &&
			    (shards == 1 || !candidate->is_limited) &&
			    placement_fits(candidate, kv_tokens))
				options[used++] = option_of(
					candidate, query, shards, jitter_bound);
		}
	}
	return used;
}

static bool has_slot(const candidate_t *candidate,
		     const placement_query_t *query)
{
	return placement_ahead(candidate, query) < candidate->slots;
}

/* Moves the server that keeps the KV cache and decodes to the front: a server
 * with free memory and a free slot. It has the most decoding requests of the
 * candidates for a short prompt, and the fewest for a long prompt.
 * @return false if no server has free memory */
static bool put_decoder_first(option_t *options, size_t shards,
			      int64_t kv_tokens, const placement_query_t *query)
{
	bool prefer_busy = placement_is_short(query);
	size_t i, decoder = shards;
	option_t first;

	for (i = 0; i < shards; i++) {
		const server_load_t *load = &options[i].candidate->load;
		int32_t more;

		if (!placement_fits(options[i].candidate, kv_tokens))
			continue;
		if (decoder == shards ||
		    (has_slot(options[i].candidate, query) &&
		     !has_slot(options[decoder].candidate, query))) {
			decoder = i;
			continue;
		}
		if (!has_slot(options[i].candidate, query))
			continue;
		more = load->decoding -
		       options[decoder].candidate->load.decoding;
		if (prefer_busy ? more > 0 : more < 0)
			decoder = i;
	}
	if (decoder == shards)
		return false;
	first = options[decoder];
	options[decoder] = options[0];
	options[0] = first;
	return true;
}

/* Fills in the placement on the first @p shards options.
 * @return its cost */
static double evaluate(const option_t *options, size_t shards,
		       const placement_query_t *query, placement_t *placement)
{
	double weight = placement_own_weight(query);
	double target_us = (double)query->target_us, event_us = 0, cost;
	size_t i;

	placement->count = shards;
	placement->missed_weight = 0;
	for (i = 0; i < shards; i++) {
		placement->shards[i] = options[i].candidate;
		placement->prefill_us[i] = time_to_us(options[i].prefill_us);
		placement->missed_weight += options[i].missed_weight;
		if (options[i].event_us > event_us)
			event_us = options[i].event_us;
	}
	placement->first_event_us = time_to_us(event_us);
	cost = placement->missed_weight * PLACEMENT_MISS_LOSS +
	       time_cost(query, event_us) +
	       (SHARD_LOSS + weight * SHARD_RISK) * (double)(shards - 1) +
	       spread_cost(options[0].candidate, query, event_us);
	for (i = 0; i < shards; i++)
		cost += traffic_cost(query, options[i].candidate) /
			(double)shards;
	if (event_us > target_us * PLACEMENT_TARGET_SHARE)
		cost += weight * PLACEMENT_MISS_LOSS;
	return cost;
}

/* Places the request on the @p shards cheapest servers.
 * @return false if too few servers have free memory */
static bool place_shards(const candidate_t *candidates, size_t count,
			 const placement_query_t *query, int32_t shards,
			 bool shared_memory, double jitter_bound,
			 placement_t *placement, double *cost)
{
	option_t options[CANDIDATES_MAX];
	int64_t kv_tokens = query->prompt_tokens + query->output_tokens;
	size_t used;

	if (shared_memory)
		kv_tokens = kv_tokens / shards + 1;
	used = list_options(candidates, count, query, shards,
			    shared_memory || shards == 1 ? kv_tokens : 0,
			    jitter_bound, options);
	if (used < (size_t)shards)
		return false;
	qsort(options, used, sizeof(*options), compare_options);
	if (!put_decoder_first(options, (size_t)shards, kv_tokens, query))
		return false;
	*cost = evaluate(options, (size_t)shards, query, placement);
	placement->shared_memory = shared_memory;
	return true;
}

/* @return number of shards that the KV cache of a prompt needs on idle servers;
 * 0 if no set of servers can hold the prompt. */
static int32_t shards_for_memory(const placement_query_t *query, size_t count)
{
	double capacity =
		(double)query->engine->kv_capacity_tokens * PLACEMENT_KV_SHARE;
	double kv_tokens =
		(double)query->prompt_tokens + (double)query->output_tokens;
	int32_t shards;

	if (capacity <= 0)
		return 1;
	for (shards = 1;
	     shards <= PLACEMENT_SHARDS_MAX && (size_t)shards <= count;
	     shards++)
		if (kv_tokens / shards <= capacity)
			return shards;
	return 0;
}

/* Tries each number of shards and keeps the cheapest placement. */
static bool place_cheapest(const candidate_t *candidates, size_t count,
			   const placement_query_t *query, int32_t shards_min,
			   bool shared_memory, placement_t *placement)
{
	double jitter_bound = jitter_max(candidates, count, query), best = 0;
	int32_t shards, shards_max = PLACEMENT_SHARDS_MAX;
	bool found = false;

	if (placement_is_short(query) && !shared_memory)
		shards_max = SHORT_SHARDS_MAX;
	for (shards = shards_min;
	     shards <= shards_max && (size_t)shards <= count; shards++) {
		placement_t tried = { .count = 0 };
		double cost;

		if (!place_shards(candidates, count, query, shards,
				  shared_memory, jitter_bound, &tried, &cost))
			continue;
		if (found && cost >= best)
			continue;
		*placement = tried;
		best = cost;
		found = true;
	}
	return found;
}

static bool is_placed(const placement_t *placement,
		      const candidate_t *candidate)
{
	size_t i;

	for (i = 0; i < placement->count; i++)
		if (placement->shards[i]->server == candidate->server)
			return true;
	return false;
}

bool placement_replace(const candidate_t *candidates, size_t count,
		       const placement_query_t *query, size_t index,
		       placement_t *placement)
{
	int32_t shards = (int32_t)placement->count;
	int64_t kv_tokens =
		(query->prompt_tokens + query->output_tokens) / shards + 1;
	option_t best = { .candidate = NULL };
	double bound;
	size_t i;

	if (!count)
		return false;
	bound = jitter_max(candidates, count, query);
	for (i = 0; i < count; i++) {
		option_t option;

		if (candidates[i].fallback || candidates[i].is_limited ||
		    is_placed(placement, &candidates[i]) ||
		    !placement_fits(&candidates[i], kv_tokens))
			continue;
		option = option_of(&candidates[i], query, shards, bound);
		if (option.event_us > (double)query->limit_us)
			continue;
		if (!best.candidate || option.cost < best.cost)
			best = option;
	}
	if (!best.candidate)
		return false;
	placement->shards[index] = best.candidate;
	placement->prefill_us[index] = time_to_us(best.prefill_us);
	if (best.event_us > (double)placement->first_event_us)
		placement->first_event_us = time_to_us(best.event_us);
	return true;
}

static placement_result_t choose_among(const candidate_t *candidates,
				       size_t count,
				       const placement_query_t *query,
				       placement_t *placement)
{
	int32_t shards_min;
	bool found = false;

	placement->count = 0;
	placement->shared_memory = false;
	placement->deferred = false;
	placement->retry_in_us = 0;
	placement->missed_weight = 0;
	placement->leaves = LEAVES_NOT;
	if (!count)
		return PLACEMENT_NO_SERVER;
	if (!query->engine)
		return placement_plain(candidates, count, query, placement);
	shards_min = shards_for_memory(query, count);
	if (!shards_min)
		return PLACEMENT_TOO_LONG;
	if (shards_min == 1 && placement_is_short(query))
		found = placement_pack(candidates, count, query, placement);
	if (shards_min == 1 && !found)
		found = place_cheapest(candidates, count, query, 1, false,
				       placement);
	if (!found)
		found = place_cheapest(candidates, count, query,
				       shards_min > 1 ? shards_min : 2, true,
				       placement);
	if (!found)
		return PLACEMENT_NO_SERVER;
	if (placement_costs_too_much(candidates, count, query, placement)) {
		placement->retry_in_us =
			time_to_us(placement_backlog_us(candidates, count)) +
			RETRY_DELAY_US;
		return PLACEMENT_BUSY;
	}
	if (placement->first_event_us <= query->limit_us)
		return PLACEMENT_CHOSEN;
	placement->retry_in_us = placement->first_event_us - query->limit_us;
	return PLACEMENT_PAST_LIMIT;
}

placement_result_t placement_choose(const candidate_t *candidates, size_t count,
				    const placement_query_t *query,
				    placement_t *placement)
{
	return placement_stay(candidates, count, query, choose_among,
			      placement);
}

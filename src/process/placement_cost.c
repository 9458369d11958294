#include "process/placement_cost.h"

#include <math.h>
#include <stdlib.h>

#include "base/mem.h"
#include "base/units.h"

/* Value of an answer that misses its objective, as a fraction of the request's
 * weight. */
#define MISSED_VALUE 0.25
/* Prefill backlog, see placement_backlog_us(), at and above which server time
 * has its full price. */
#define FULL_PRICE_BACKLOG_US (125 * US_PER_MS)
/* Fraction of the allowed event gap of a stream, or of the time left to the
 * objective of a request, that a prediction may use up. */
#define GAP_SHARE 0.85
/* Weight of a request in addition to that of its prompt, in usual prompts. */
#define WEIGHT_BASE 0.5

enum {
	/* Prompts shorter than this many usual prompts count as short and are
	 * packed. */
	SHORT_PROMPTS = 2,
	/* Free slots that are left to requests of other nodes: without one, 57
	 * instead of 11 of 1,000 short prompts meet a full server in
	 * test_uneven. */
	SLOTS_SPARE = 1,
	/* One in so many long prompts is not refused for its rank: no kind is
	 * to be served less than a quarter as often as all. */
	KEPT_DIVISOR = 4
};

double placement_weight(const placement_query_t *query, int64_t prompt_tokens)
{
	double usual = (double)query->engine->usual_prompt_tokens;

	return WEIGHT_BASE + (usual > 0 ? (double)prompt_tokens / usual : 1);
}

double placement_own_weight(const placement_query_t *query)
{
	return ldexp(placement_weight(query, query->prompt_tokens),
		     -query->ranks_below);
}

bool placement_is_short_prompt(const engine_profile_t *engine,
			       int64_t prompt_tokens)
{
	return prompt_tokens < engine->usual_prompt_tokens * SHORT_PROMPTS;
}

bool placement_is_short(const placement_query_t *query)
{
	return placement_is_short_prompt(query->engine, query->prompt_tokens);
}

int32_t placement_running(const candidate_t *candidate)
{
	return candidate->load.prefilling + candidate->load.decoding;
}

int32_t placement_ahead(const candidate_t *candidate,
			const placement_query_t *query)
{
	int32_t running = placement_running(candidate);
	int32_t waiting = running - candidate->slots;

	/* Those that have a slot are ahead, deferred or not. */
	if (!query->controls_load || waiting <= 0)
		return running;
	return running - (waiting < candidate->load.deferred
				  ? waiting
				  : candidate->load.deferred);
}

bool placement_fits(const candidate_t *candidate, int64_t kv_tokens)
{
	if (candidate->kv_refused_tokens &&
	    kv_tokens >= candidate->kv_refused_tokens)
		return false;
	return !candidate->kv_capacity_tokens ||
	       (double)(candidate->load.kv_tokens + kv_tokens) <=
		       (double)candidate->kv_capacity_tokens *
			       PLACEMENT_KV_SHARE;
}

double placement_slowdown(const candidate_t *candidate,
			  const placement_query_t *query)
{
	return query->controls_load ? candidate->slowdown : 1;
}

bool placement_keeps_gap(const candidate_t *candidate,
			 const placement_query_t *query)
{
	const server_load_t *load = &candidate->load;

	if (!query->controls_load || candidate->slowdown <= 1 ||
	    !query->gap_target_us)
		return true;
	return forecast_decode_us(query->engine,
				  load->decoding + load->decode_pending + 1,
				  load->kv_tokens + query->prompt_tokens) *
		       candidate->slowdown <=
	       (double)query->gap_target_us * GAP_SHARE;
}

int32_t placement_free_slots(const candidate_t *candidate,
			     const placement_query_t *query)
{
	int32_t slots = candidate->slots - placement_ahead(candidate, query);

	/* A server with no more slots than that would get no packed prompt. */
	if (query->controls_load && query->nodes > 1 &&
	    candidate->slots > SLOTS_SPARE)
		slots -= SLOTS_SPARE;
	return slots;
}

bool placement_has_share(const candidate_t *candidate,
			 const placement_query_t *query)
{
	int32_t share = (candidate->slots - placement_ahead(candidate, query)) /
			(query->nodes > 0 ? query->nodes : 1);

	return query->controls_load && query->nodes > 1 &&
	       candidate->recent >= (share > 1 ? share : 1);
}

/*
 * @return weight that is served per microsecond of prefill, for a prompt that
 * fills half of a server's memory. Prefill time grows with the square of the
 * prompt length, so a longer prompt serves less weight per microsecond.
 */
static double weight_per_us(const placement_query_t *query)
{
	int64_t tokens = query->engine->kv_capacity_tokens / 2;

	return placement_weight(query, tokens) /
	       forecast_prefill_us(query->engine, tokens, 1);
}

/* @return true if additional prefill of @p prefill_us makes the prefilling
 * requests of a server miss their objective. The additional prefill runs first:
 * an engine prefills the newest shard of a split prompt before older shards. */
static bool delays_prefill(const candidate_t *candidate,
			   const placement_query_t *query, double prefill_us)
{
	double limit_us = (double)candidate->load.target_us * GAP_SHARE;
	double event_us =
		forecast_first_event_us(query->engine, &candidate->load, 0) *
		candidate->slowdown;

	return limit_us > 0 && event_us <= limit_us &&
	       event_us + prefill_us > limit_us;
}

double placement_delayed_weight(const candidate_t *candidate,
				const placement_query_t *query,
				double prefill_us)
{
	const server_load_t *load = &candidate->load;
	int32_t streams = load->decoding + load->decode_pending, missed = 0;
	double limit_us = (double)load->gap_us * GAP_SHARE;
	double decode_us, before_us, weight = 0;
	bool delays = delays_prefill(candidate, query, prefill_us);

	/* Shards of prompts that other servers will decode. */
	if (delays && load->prefilling > load->decode_pending)
		weight = (double)load->backlog_us * weight_per_us(query);
	if (!streams || !load->gap_us)
		return weight;
	decode_us =
		forecast_decode_us(query->engine, streams, load->kv_tokens) *
		candidate->slowdown;
	before_us = decode_us + (double)load->backlog_us * candidate->slowdown;
	if (before_us <= limit_us && before_us + prefill_us > limit_us)
		missed += load->decoding;
	/* The present prefill backlog is done before these requests decode. */
	if (decode_us + prefill_us > limit_us || delays)
		missed += load->decode_pending;
	return weight +
	       missed * placement_weight(query, load->kv_tokens / streams);
}

static int compare_backlogs(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

	return a < b ? -1 : a > b;
}

double placement_backlog_us(const candidate_t *candidates, size_t count)
{
	int64_t *backlogs_us = mem_calloc(count, sizeof(*backlogs_us));
	size_t i, half = (count + 1) / 2;
	double sum_us = 0;

	for (i = 0; i < count; i++)
		backlogs_us[i] = candidates[i].load.backlog_us;
	qsort(backlogs_us, count, sizeof(*backlogs_us), compare_backlogs);
	for (i = 0; i < half; i++)
		sum_us += (double)backlogs_us[i];
	free(backlogs_us);
	return sum_us / (double)half;
}

/* @return price of server time; it grows with the backlog of long prompts. */
static double price_per_us(const placement_query_t *query, double backlog_us)
{
	double full = weight_per_us(query) * PLACEMENT_MISS_LOSS;

	return backlog_us < FULL_PRICE_BACKLOG_US
		       ? full * backlog_us / FULL_PRICE_BACKLOG_US
		       : full;
}

bool placement_costs_too_much(const candidate_t *candidates, size_t count,
			      const placement_query_t *query,
			      const placement_t *placement)
{
	double weight = query->salt % KEPT_DIVISOR
				? placement_own_weight(query)
				: placement_weight(query, query->prompt_tokens);
	bool missed = placement->first_event_us > query->target_us;
	double others_weight = placement->missed_weight;
	double backlog_us, prefill_us = 0;
	size_t i;

	if (placement_is_short(query) || !query->may_refuse)
		return false;
	backlog_us = placement_backlog_us(candidates, count);
	for (i = 0; i < placement->count; i++)
		prefill_us += (double)placement->prefill_us[i];
	return others_weight * PLACEMENT_MISS_LOSS +
		       prefill_us * price_per_us(query, backlog_us) >
	       weight * (missed ? MISSED_VALUE : 1);
}

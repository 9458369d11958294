#include "process/placement_cost.h"

#include "base/units.h"

/* Value of a late answer, as a part of the request's weight. */
#define LATE_VALUE 0.25
/* Backlog of a server, on average, at which its time has its full price. */
#define BACKLOG_FULL_US (250 * US_PER_MS)
/* Part of the pause that a stream allows which a prediction may use up. */
#define GAP_SHARE 0.85
/* Weight of a request beside its prompt, in usual prompts. */
#define WEIGHT_BASE 0.5

enum {
	/* Prompts below this many usual ones are short: they are packed. */
	SHORT_PROMPTS = 2
};

double placement_weight(const placement_query_t *query, int64_t prompt_tokens)
{
	double usual = (double)query->engine->usual_prompt_tokens;

	return WEIGHT_BASE + (usual > 0 ? (double)prompt_tokens / usual : 1);
}

bool placement_is_short(const placement_query_t *query)
{
	return query->prompt_tokens <
	       query->engine->usual_prompt_tokens * SHORT_PROMPTS;
}

int32_t placement_running(const candidate_t *candidate)
{
	return candidate->load.readers + candidate->load.writers;
}

bool placement_fits(const candidate_t *candidate, int64_t kv_tokens)
{
	return !candidate->kv_capacity_tokens ||
	       (double)(candidate->load.kv_tokens + kv_tokens) <=
		       (double)candidate->kv_capacity_tokens *
			       PLACEMENT_KV_SHARE;
}

double placement_late_streams(const candidate_t *candidate,
			      const placement_query_t *query, double read_us)
{
	const server_load_t *load = &candidate->load;
	double limit_us = (double)load->gap_us * GAP_SHARE;
	double before_us;

	if (!load->writers || !load->gap_us)
		return 0;
	before_us = (forecast_decode_us(query->engine, load->writers,
					load->kv_tokens) +
		     (double)load->pending_us) *
		    candidate->pace;
	if (before_us > limit_us || before_us + read_us <= limit_us)
		return 0;
	return load->writers *
	       placement_weight(query, load->kv_tokens /
					       (load->writers + load->readers));
}

double placement_backlog_us(const candidate_t *candidates, size_t count)
{
	double sum_us = 0;
	size_t i;

	for (i = 0; i < count; i++)
		sum_us += (double)candidates[i].load.pending_us;
	return sum_us / (double)count;
}

/*
 * Weight that a second of a server's time serves when long prompts wait for
 * it: that of a prompt that fills half of its memory, for its prefill. Prefill
 * grows with the square of a prompt, so a longer one serves less.
 */
static double price_per_us(const placement_query_t *query, double backlog_us)
{
	int64_t tokens = query->engine->kv_capacity_tokens / 2;
	double full = placement_weight(query, tokens) * PLACEMENT_LATE_LOSS /
		      forecast_read_us(query->engine, tokens, 1);

	return backlog_us < BACKLOG_FULL_US
		       ? full * backlog_us / BACKLOG_FULL_US
		       : full;
}

bool placement_costs_too_much(const candidate_t *candidates, size_t count,
			      const placement_query_t *query,
			      const placement_t *placement)
{
	double weight = placement_weight(query, query->prompt_tokens);
	double backlog_us = placement_backlog_us(candidates, count),
	       read_us = 0;
	bool late = placement->first_event_us > query->target_us;
	double others = placement->late_weight;
	size_t i;

	if (placement_is_short(query) || !query->may_refuse)
		return false;
	for (i = 0; i < placement->count; i++)
		read_us += (double)placement->read_us[i];
	return others * PLACEMENT_LATE_LOSS +
		       read_us * price_per_us(query, backlog_us) >
	       weight * (late ? LATE_VALUE : 1);
}

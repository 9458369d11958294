#include "process/placement_cost.h"

#include <stdlib.h>

#include "base/mem.h"
#include "base/units.h"

/* Value of a late answer, as a part of the request's weight. */
#define LATE_VALUE 0.25
/* Backlog, see placement_backlog_us(), at which server time has its full
 * price. */
#define BACKLOG_FULL_US (125 * US_PER_MS)
/* Part of the pause, or of the time until its objective, that a stream allows
 * and a prediction may use up. */
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

/*
 * Weight that a unit of prefill time serves: that of a prompt that fills half
 * of a server's memory. Prefill grows with the square of a prompt, so a longer
 * one serves less.
 */
static double weight_per_us(const placement_query_t *query)
{
	int64_t tokens = query->engine->kv_capacity_tokens / 2;

	return placement_weight(query, tokens) /
	       forecast_read_us(query->engine, tokens, 1);
}

/* Whether prefill of @p read_us makes what the server reads late. It goes
 * first: an engine reads the newest part of a split prompt before older ones.
 */
static bool delays_readers(const candidate_t *candidate,
			   const placement_query_t *query, double read_us)
{
	double limit_us = (double)candidate->load.due_us * GAP_SHARE;
	double event_us =
		forecast_first_event_us(query->engine, &candidate->load, 0) *
		candidate->slowdown;

	return limit_us > 0 && event_us <= limit_us &&
	       event_us + read_us > limit_us;
}

double placement_late_streams(const candidate_t *candidate,
			      const placement_query_t *query, double read_us)
{
	const server_load_t *load = &candidate->load;
	int32_t streams = load->writers + load->starting, late = 0;
	double limit_us = (double)load->gap_us * GAP_SHARE;
	double decode_us, before_us, weight = 0;
	bool delays = delays_readers(candidate, query, read_us);

	/* Parts of prompts whose streams others will write. */
	if (delays && load->readers > load->starting)
		weight = (double)load->pending_us * weight_per_us(query);
	if (!streams || !load->gap_us)
		return weight;
	decode_us =
		forecast_decode_us(query->engine, streams, load->kv_tokens) *
		candidate->slowdown;
	before_us = decode_us + (double)load->pending_us * candidate->slowdown;
	if (before_us <= limit_us && before_us + read_us > limit_us)
		late += load->writers;
	/* What is pending now is done before they write. */
	if (decode_us + read_us > limit_us || delays)
		late += load->starting;
	return weight +
	       late * placement_weight(query, load->kv_tokens / streams);
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
		backlogs_us[i] = candidates[i].load.pending_us;
	qsort(backlogs_us, count, sizeof(*backlogs_us), compare_backlogs);
	for (i = 0; i < half; i++)
		sum_us += (double)backlogs_us[i];
	free(backlogs_us);
	return sum_us / (double)half;
}

/* What server time costs when long prompts wait for it. */
static double price_per_us(const placement_query_t *query, double backlog_us)
{
	double full = weight_per_us(query) * PLACEMENT_LATE_LOSS;

	return backlog_us < BACKLOG_FULL_US
		       ? full * backlog_us / BACKLOG_FULL_US
		       : full;
}

bool placement_costs_too_much(const candidate_t *candidates, size_t count,
			      const placement_query_t *query,
			      const placement_t *placement)
{
	double weight = placement_weight(query, query->prompt_tokens);
	bool late = placement->first_event_us > query->target_us;
	double others = placement->missed_weight;
	double backlog_us, read_us = 0;
	size_t i;

	if (placement_is_short(query) || !query->may_refuse)
		return false;
	backlog_us = placement_backlog_us(candidates, count);
	for (i = 0; i < placement->count; i++)
		read_us += (double)placement->read_us[i];
	return others * PLACEMENT_LATE_LOSS +
		       read_us * price_per_us(query, backlog_us) >
	       weight * (late ? LATE_VALUE : 1);
}

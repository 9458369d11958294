#include "process/placement.h"

#include <stdlib.h>

/* Share of the objective that a prediction may use when requests are packed;
 * the rest covers errors of the prediction. */
#define PACK_TARGET_SHARE 0.5
/* Above this share of the objective a prompt is split. */
#define SPLIT_TARGET_SHARE 0.6
/* A further part has to shorten the wait at least by this factor. */
#define SPLIT_GAIN 0.93
/* Share of a server's KV cache that is planned; the rest covers outputs that
 * turn out longer than expected. */
#define KV_PLANNED_SHARE 0.92

enum {
	CANDIDATES_MAX = 1024,
	/* Plain services state no cost; the order of servers matters only. */
	PLAIN_CALL_US = 15000
};

typedef struct {
	const candidate_t *candidate;
	double ready_us; /**< when its part is read, from now */
	double read_us; /**< that its part takes there */
} option_t;

static bool fits(const candidate_t *candidate, int64_t kv_tokens)
{
	return !candidate->kv_capacity_tokens ||
	       (double)(candidate->load.kv_tokens + kv_tokens) <=
		       (double)candidate->kv_capacity_tokens * KV_PLANNED_SHARE;
}

/* A full server starts the next request when one of those it runs ends. */
static double slot_wait_us(const candidate_t *candidate,
			   const placement_query_t *query)
{
	int32_t running = candidate->load.readers + candidate->load.writers;
	int32_t over = running - candidate->slots + 1;

	if (over <= 0 || candidate->slots <= 0)
		return 0;
	return forecast_write_us(query->engine,
				 query->engine->usual_output_tokens,
				 &candidate->load) *
	       over / candidate->slots;
}

static option_t option_of(const candidate_t *candidate,
			  const placement_query_t *query, int32_t parts)
{
	option_t option = { .candidate = candidate };
	double wait_us =
		(double)(candidate->load.busy_until_us - query->now_us);

	if (wait_us < 0)
		wait_us = 0;
	option.read_us = forecast_read_us(query->engine, query->prompt_tokens,
					  parts, &candidate->load) *
			 candidate->pace;
	option.ready_us =
		(double)candidate->distance_us + wait_us +
		slot_wait_us(candidate, query) + option.read_us +
		forecast_pass_us(query->engine, candidate->load.writers, 0) / 2;
	return option;
}

/* The salt decides between equal servers. */
static int compare_options(const void *left, const void *right)
{
	const option_t *a = left, *b = right;

	if (a->ready_us != b->ready_us)
		return a->ready_us < b->ready_us ? -1 : 1;
	return 0;
}

static double first_event_us(const option_t *writer, double ready_us,
			     const placement_query_t *query)
{
	return ready_us + forecast_first_event_us(query->engine,
						  &writer->candidate->load) *
				  writer->candidate->pace;
}

static void add_part(placement_t *placement, const option_t *option)
{
	placement->parts[placement->count] = option->candidate;
	placement->read_us[placement->count] = (int64_t)option->read_us;
	placement->count++;
}

static size_t list_options(const candidate_t *candidates, size_t count,
			   const placement_query_t *query, int32_t parts,
			   int64_t kv_tokens, option_t *options)
{
	size_t i, used = 0, offset = count ? query->salt % count : 0;
	bool doubtful;

	for (doubtful = false;; doubtful = true) {
		for (i = 0; i < count && used < CANDIDATES_MAX; i++) {
			const candidate_t *candidate =
				&candidates[(i + offset) % count];

			if (candidate->doubtful == doubtful &&
			    fits(candidate, kv_tokens))
				options[used++] =
					option_of(candidate, query, parts);
		}
		/* Several parts need several servers, doubtful or not. */
		if (doubtful || used >= (size_t)parts)
			return used;
	}
}

/* The fullest server that still meets the objective, or the fastest. */
static const option_t *choose_one(const option_t *options, size_t count,
				  const placement_query_t *query)
{
	const option_t *best = NULL, *fastest = NULL;
	size_t i;

	for (i = 0; i < count; i++) {
		const option_t *option = &options[i];
		double event_us =
			first_event_us(option, option->ready_us, query);

		if (!fastest || option->ready_us < fastest->ready_us)
			fastest = option;
		if (event_us > (double)query->target_us * PACK_TARGET_SHARE)
			continue;
		if (!best || option->candidate->load.writers >
				     best->candidate->load.writers)
			best = option;
	}
	return best ? best : fastest;
}

static bool place_on_one(const candidate_t *candidates, size_t count,
			 const placement_query_t *query, placement_t *placement)
{
	option_t options[CANDIDATES_MAX];
	size_t used = list_options(candidates, count, query, 1,
				   query->prompt_tokens + query->output_tokens,
				   options);
	const option_t *chosen = choose_one(options, used, query);

	placement->count = 0;
	if (!chosen)
		return false;
	add_part(placement, chosen);
	placement->first_event_us =
		(int64_t)first_event_us(chosen, chosen->ready_us, query);
	return true;
}

/* The server that keeps the KV cache and writes goes first. */
static void put_writer_first(option_t *options, size_t parts, int64_t kv_tokens)
{
	size_t i, writer = parts;

	for (i = 0; i < parts; i++) {
		if (!fits(options[i].candidate, kv_tokens))
			continue;
		if (writer == parts ||
		    options[i].candidate->load.writers >
			    options[writer].candidate->load.writers)
			writer = i;
	}
	if (writer < parts) {
		option_t first = options[writer];

		options[writer] = options[0];
		options[0] = first;
	}
}

/* Splits the prompt evenly over the servers that are ready first. */
static bool place_on_many(const candidate_t *candidates, size_t count,
			  const placement_query_t *query, int32_t parts,
			  bool shared_memory, placement_t *placement)
{
	option_t options[CANDIDATES_MAX];
	int64_t kv_tokens = query->prompt_tokens + query->output_tokens;
	size_t used, i;

	if (shared_memory)
		kv_tokens = kv_tokens / parts + 1;
	used = list_options(candidates, count, query, parts,
			    shared_memory ? kv_tokens : 0, options);
	placement->count = 0;
	if (used < (size_t)parts)
		return false;
	qsort(options, used, sizeof(*options), compare_options);
	put_writer_first(options, (size_t)parts, kv_tokens);
	if (!fits(options[0].candidate, kv_tokens))
		return false;
	placement->first_event_us = 0;
	for (i = 0; i < (size_t)parts; i++) {
		int64_t event_us = (int64_t)first_event_us(
			&options[0], options[i].ready_us, query);

		add_part(placement, &options[i]);
		if (event_us > placement->first_event_us)
			placement->first_event_us = event_us;
	}
	placement->shared_memory = shared_memory;
	return true;
}

/* Adds parts until the objective is met or a part gains too little. */
static void split(const candidate_t *candidates, size_t count,
		  const placement_query_t *query, placement_t *placement)
{
	double enough_us = (double)query->target_us * SPLIT_TARGET_SHARE;
	int32_t parts;

	for (parts = (int32_t)placement->count + 1;
	     parts <= PLACEMENT_PARTS_MAX &&
	     (double)placement->first_event_us > enough_us;
	     parts++) {
		placement_t wider = { .count = 0 };

		if (!place_on_many(candidates, count, query, parts,
				   placement->shared_memory, &wider))
			return;
		if ((double)wider.first_event_us >
		    (double)placement->first_event_us * SPLIT_GAIN) {
			/* Two parts more may still help a long prompt. */
			if (parts > (int32_t)placement->count + 2)
				return;
			continue;
		}
		*placement = wider;
	}
}

static placement_result_t place_plain(const candidate_t *candidates,
				      size_t count,
				      const placement_query_t *query,
				      placement_t *placement)
{
	const candidate_t *best = NULL;
	double best_us = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		const candidate_t *candidate =
			&candidates[(i + query->salt % count) % count];
		int32_t running =
			candidate->load.readers + candidate->load.writers;
		double us =
			(double)candidate->distance_us +
			PLAIN_CALL_US * candidate->pace *
				((double)(running + 1) /
				 (candidate->slots > 0 ? candidate->slots : 1));

		if (best && candidate->doubtful > best->doubtful)
			continue;
		if (!best || candidate->doubtful < best->doubtful ||
		    us < best_us) {
			best = candidate;
			best_us = us;
		}
	}
	placement->count = 1;
	placement->parts[0] = best;
	placement->read_us[0] = 0;
	placement->first_event_us = (int64_t)best_us;
	return PLACEMENT_CHOSEN;
}

/* @return parts that the KV cache of a prompt needs when servers are empty;
 * 0 if no set can hold it. */
static int32_t parts_for_memory(const placement_query_t *query, size_t count)
{
	double capacity =
		(double)query->engine->kv_capacity_tokens * KV_PLANNED_SHARE;
	double kv_tokens =
		(double)(query->prompt_tokens + query->output_tokens);
	int32_t parts = 1;

	if (capacity <= 0)
		return 1;
	while (kv_tokens / parts > capacity)
		parts++;
	return parts <= PLACEMENT_PARTS_MAX && (size_t)parts <= count ? parts
								      : 0;
}

placement_result_t placement_choose(const candidate_t *candidates, size_t count,
				    const placement_query_t *query,
				    placement_t *placement)
{
	int32_t parts;
	bool found;

	placement->count = 0;
	placement->shared_memory = false;
	placement->room_in_us = 0;
	if (!count)
		return PLACEMENT_NO_SERVER;
	if (!query->engine)
		return place_plain(candidates, count, query, placement);
	parts = parts_for_memory(query, count);
	if (!parts)
		return PLACEMENT_TOO_LONG;
	if (parts == 1)
		found = place_on_one(candidates, count, query, placement);
	else
		found = place_on_many(candidates, count, query, parts, true,
				      placement);
	if (!found)
		return PLACEMENT_NO_SERVER;
	split(candidates, count, query, placement);
	if (placement->first_event_us <= query->limit_us)
		return PLACEMENT_CHOSEN;
	placement->room_in_us = placement->first_event_us - query->limit_us;
	return PLACEMENT_LATE;
}

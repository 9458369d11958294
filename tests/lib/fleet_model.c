#include "lib/fleet_model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"
#include "process/placement.h"
#include "process/load_table.h"

enum {
	TICK_US = 2000, /* step of the simulated time */
	REQUESTS_MAX = 40000,
	TASKS_MAX = 64,
	/* Steps of an iteration without decoding requests. */
	PREFILL_STEPS = 8,
	/* Round trip from the caller over the node to the server. */
	CALLER_RTT_US = 4000
};

typedef enum { UNUSED, PREFILLING, DECODING, DONE } phase_t;

/** A request, from arrival to its last event. */
typedef struct {
	phase_t phase;
	size_t kind, node; /**< indices; the node received the request */
	size_t shard_count, shards_left;
	size_t servers[PLACEMENT_SHARDS_MAX]; /**< the first one decodes */
	int64_t prefill_us[PLACEMENT_SHARDS_MAX]; /**< prefill time of each
						     shard */
	int64_t prompt_tokens, tokens_left; /**< tokens_left: output tokens
					       still to generate */
	/** Times of arrival and of the last event; longest event gap so far. */
	int64_t began_us, event_us, gap_us;
	int64_t first_us; /**< first event; 0: no event yet */
} request_t;

/** A prompt shard that a server prefills, or a stream that it decodes. */
typedef struct {
	request_t *request;
	double prefill_left_us; /**< 0: prefill is done */
	bool in_iteration; /**< runs in the current iteration */
	bool prefill_only; /**< another server decodes the prompt */
	double iteration_prefill_us; /**< prefill in the current iteration */
} task_t;

/** An engine and its running tasks. */
typedef struct {
	task_t tasks[TASKS_MAX];
	size_t count;
	int64_t iteration_end_us; /**< 0: idle */
} server_t;

/** Announcements of one node. */
typedef struct {
	int64_t due_us; /**< next announcement; 0: no change to announce */
	int64_t announced_us; /**< last announcement */
	uint64_t sequence;
} node_t;

typedef struct {
	const fleet_scenario_t *load;
	fleet_result_t *result;
	server_t *servers;
	candidate_t *candidates;
	node_t *nodes;
	request_t *requests;
	size_t request_count, oldest; /**< oldest: first running request */
	load_table_t *load_table;
	int64_t now_us;
	uint64_t random;
} fleet_t;

static double uniform(fleet_t *fleet)
{
	fleet->random ^= fleet->random << 13;
	fleet->random ^= fleet->random >> 7;
	fleet->random ^= fleet->random << 17;
	return (double)(fleet->random >> 11) / (double)(UINT64_C(1) << 53);
}

static uint32_t hash_of(size_t server)
{
	return (uint32_t)server * 2654435761u + 1;
}

/* Schedules an announcement, unless an earlier one is scheduled already. */
static void schedule_announcement(fleet_t *fleet, size_t node, int64_t delay_us)
{
	node_t *state = &fleet->nodes[node];
	int64_t due_us = fleet->now_us + delay_us;

	if (!state->due_us || due_us < state->due_us)
		state->due_us = due_us;
}

/* Schedules the announcement of a change other than new load: at most one in
 * announce_ms. */
static void announce_change(fleet_t *fleet, size_t node)
{
	int64_t delay_us = fleet->load->announce_ms * US_PER_MS -
			   (fleet->now_us - fleet->nodes[node].announced_us);

	schedule_announcement(fleet, node, delay_us > 0 ? delay_us : 0);
}

static size_t find_item(load_item_t *items, size_t *count, uint32_t hash)
{
	size_t i;

	for (i = 0; i < *count; i++)
		if (items[i].server_hash == hash)
			return i;
	items[*count] = (load_item_t){ .server_hash = hash };
	return (*count)++;
}

static void add_request(const fleet_t *fleet, const request_t *request,
			load_item_t *items, size_t *count)
{
	const fleet_kind_t *kind = &fleet->load->kinds[request->kind];
	int64_t due_us =
		request->began_us + kind->target_ms * US_PER_MS - fleet->now_us;
	size_t i;

	for (i = 0; i < request->shard_count; i++) {
		load_item_t *item = &items[find_item(
			items, count, hash_of(request->servers[i]))];

		if (!i)
			item->kv_tokens += request->prompt_tokens;
		if (!i)
			forecast_min_us(&item->gap_us,
					kind->gap_ms * US_PER_MS);
		if (request->phase == DECODING) {
			item->decoding += !i;
			continue;
		}
		item->prefilling++;
		item->decode_pending += !i;
		item->backlog_us += request->prefill_us[i];
		forecast_min_us(&item->target_us, due_us);
	}
}

static void announce(fleet_t *fleet, size_t node)
{
	static load_item_t items[1024];
	announcement_t message = { .node = node + 1,
				   .incarnation = 1,
				   .sequence = ++fleet->nodes[node].sequence,
				   .items = items };
	size_t i;

	for (i = fleet->oldest; i < fleet->request_count; i++) {
		const request_t *request = &fleet->requests[i];

		if (request->node == node && (request->phase == PREFILLING ||
					      request->phase == DECODING))
			add_request(fleet, request, items, &message.item_count);
	}
	load_table_receive(fleet->load_table, &message, fleet->now_us, 0);
	fleet->nodes[node].due_us = 0;
	fleet->nodes[node].announced_us = fleet->now_us;
}

/* Sends the announcements that are due. Nodes without changes repeat the last
 * announcement, so that they count as live. */
static void announce_due(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < (size_t)fleet->load->nodes; i++) {
		const node_t *node = &fleet->nodes[i];

		if ((node->due_us && node->due_us <= fleet->now_us) ||
		    fleet->now_us - node->announced_us >
			    fleet->load->announce_ms * US_PER_MS)
			announce(fleet, i);
	}
}

static void send_request(fleet_t *fleet, request_t *request,
			 const placement_t *placement)
{
	size_t i;

	request->shard_count = request->shards_left = placement->count;
	for (i = 0; i < placement->count; i++) {
		size_t index =
			(size_t)(placement->shards[i] - fleet->candidates);
		server_t *server = &fleet->servers[index];

		request->servers[i] = index;
		request->prefill_us[i] = placement->prefill_us[i];
		if (server->count == TASKS_MAX)
			abort();
		server->tasks[server->count++] = (task_t){
			.request = request,
			.prefill_left_us = (double)placement->prefill_us[i],
			.prefill_only = i > 0,
		};
	}
	schedule_announcement(fleet, request->node,
			      fleet->load->load_known_ms * US_PER_MS);
}

static void arrive(fleet_t *fleet, size_t index)
{
	const fleet_scenario_t *load = fleet->load;
	const fleet_kind_t *kind = &load->kinds[index];
	request_t *request = &fleet->requests[fleet->request_count++];
	placement_query_t query = {
		.engine = &load->engine,
		.output_tokens = kind->output_tokens,
		.gap_target_us = kind->gap_ms * US_PER_MS,
		.objective_us = kind->target_ms * US_PER_MS,
		.target_us = kind->target_ms * US_PER_MS,
		.limit_us = 15 * US_PER_S,
		.may_refuse = true,
		.nodes = load->nodes,
	};
	placement_t placement;
	size_t i;

	query.prompt_tokens =
		kind->prompt_min +
		(int64_t)(uniform(fleet) *
			  (double)(kind->prompt_max - kind->prompt_min));
	query.salt = (uint64_t)(uniform(fleet) * 1e15);
	for (i = 0; i < load->servers; i++) {
		fleet->candidates[i].load = (server_load_t){ 0 };
		load_table_add_load(fleet->load_table, hash_of(i),
				    &load->engine, &fleet->candidates[i].load,
				    fleet->now_us);
	}
	*request = (request_t){
		.phase = PREFILLING,
		.kind = index,
		.node = (size_t)(uniform(fleet) * load->nodes),
		.prompt_tokens = query.prompt_tokens,
		.tokens_left = kind->output_tokens,
		.began_us = fleet->now_us,
	};
	fleet->result->kinds[index].requested++;
	if (placement_choose(fleet->candidates, load->servers, &query,
			     &placement) == PLACEMENT_CHOSEN) {
		send_request(fleet, request, &placement);
		return;
	}
	request->phase = DONE;
	fleet->result->kinds[index].refused++;
}

static void create_arrivals(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < FLEET_KINDS_MAX; i++) {
		double expected =
			fleet->load->kinds[i].per_s * TICK_US / US_PER_S;

		/* At most one request of a kind arrives in a tick. */
		if (uniform(fleet) < expected &&
		    fleet->request_count < REQUESTS_MAX)
			arrive(fleet, i);
	}
}

static void finish(fleet_t *fleet, request_t *request)
{
	const fleet_kind_t *kind = &fleet->load->kinds[request->kind];
	fleet_stats_t *stats = &fleet->result->kinds[request->kind];

	request->phase = DONE;
	if (request->first_us - request->began_us + CALLER_RTT_US >
	    kind->target_ms * US_PER_MS)
		stats->missed_first++;
	else if (request->gap_us > kind->gap_ms * US_PER_MS)
		stats->missed_gap++;
	announce_change(fleet, request->node);
}

static void generate_event(fleet_t *fleet, request_t *request)
{
	if (fleet->now_us - request->event_us > request->gap_us)
		request->gap_us = fleet->now_us - request->event_us;
	request->event_us = fleet->now_us;
	request->tokens_left -= fleet->load->engine.steps_per_iteration;
	if (request->tokens_left <= 0)
		finish(fleet, request);
}

static void begin_stream(fleet_t *fleet, request_t *request)
{
	request->phase = DECODING;
	request->first_us = request->event_us = fleet->now_us;
	announce_change(fleet, request->node);
}

/* @return true if the task stays on its server. */
static bool end_task_iteration(fleet_t *fleet, task_t *task, size_t server)
{
	request_t *request = task->request;

	if (!task->in_iteration)
		return true;
	if (task->prefill_left_us > 0) {
		task->prefill_left_us -= task->iteration_prefill_us;
		if (task->prefill_left_us > 0)
			return true;
		if (--request->shards_left == 0)
			begin_stream(fleet, request);
		return request->servers[0] == server;
	}
	if (request->phase == DECODING)
		generate_event(fleet, request);
	return request->phase != DONE;
}

static void end_iteration(fleet_t *fleet, size_t index)
{
	server_t *server = &fleet->servers[index];
	size_t i, kept = 0;

	for (i = 0; i < server->count; i++)
		if (end_task_iteration(fleet, &server->tasks[i], index))
			server->tasks[kept++] = server->tasks[i];
	server->count = kept;
	server->iteration_end_us = 0;
}

/* Takes prefill time of the iteration for a task.
 * @param left_us time left for prefill; reduced by the time taken
 * @return the time taken */
static double take_prefill(task_t *task, double *left_us)
{
	task->iteration_prefill_us = fmin(task->prefill_left_us, *left_us);
	*left_us -= task->iteration_prefill_us;
	return task->iteration_prefill_us;
}

/* Distributes the prefill time of an iteration: the newest shard of a split
 * prompt is prefilled first, then whole prompts.
 * @return the time used */
static double take_prefills(server_t *server, double left_us)
{
	double sum_us = 0;
	size_t i;

	for (i = server->count; i > 0; i--)
		if (server->tasks[i - 1].prefill_only)
			sum_us += take_prefill(&server->tasks[i - 1], &left_us);
	for (i = 0; i < server->count; i++)
		if (!server->tasks[i].prefill_only &&
		    server->tasks[i].prefill_left_us > 0)
			sum_us += take_prefill(&server->tasks[i], &left_us);
	return sum_us;
}

/* Starts an iteration with all waiting tasks. Its prefill is bounded by one
 * chunk for each step. */
static void begin_iteration(fleet_t *fleet, size_t index)
{
	const engine_profile_t *engine = &fleet->load->engine;
	server_t *server = &fleet->servers[index];
	int32_t decoding = 0, steps = PREFILL_STEPS;
	int64_t context_tokens = 0;
	double iteration_us;
	size_t i;

	for (i = 0; i < server->count; i++) {
		task_t *task = &server->tasks[i];

		task->in_iteration = true;
		task->iteration_prefill_us = 0;
		if (task->prefill_left_us > 0)
			continue;
		decoding += task->request->phase == DECODING;
		context_tokens += task->request->prompt_tokens;
	}
	if (decoding)
		steps = engine->steps_per_iteration;
	iteration_us = take_prefills(server, steps * engine->chunk_tokens *
						     engine->prefill_token_us) +
		       forecast_decode_us(engine, decoding, context_tokens);
	if (iteration_us > 0)
		server->iteration_end_us =
			fleet->now_us + (int64_t)iteration_us + 1;
}

static void run_servers(fleet_t *fleet)
{
	size_t i;

	for (i = 0; i < fleet->load->servers; i++) {
		server_t *server = &fleet->servers[i];

		if (server->iteration_end_us &&
		    fleet->now_us >= server->iteration_end_us)
			end_iteration(fleet, i);
		if (!server->iteration_end_us && server->count)
			begin_iteration(fleet, i);
	}
	while (fleet->oldest < fleet->request_count &&
	       fleet->requests[fleet->oldest].phase == DONE)
		fleet->oldest++;
}

static void set_up(fleet_t *fleet)
{
	const fleet_scenario_t *load = fleet->load;
	size_t i;

	fleet->random = load->seed * UINT64_C(0x9e3779b97f4a7c15) + 1;
	fleet->load_table = load_table_create();
	fleet->servers = mem_calloc(load->servers, sizeof(*fleet->servers));
	fleet->candidates =
		mem_calloc(load->servers, sizeof(*fleet->candidates));
	fleet->nodes = mem_calloc((size_t)load->nodes, sizeof(*fleet->nodes));
	fleet->requests = mem_calloc(REQUESTS_MAX, sizeof(*fleet->requests));
	for (i = 0; i < load->servers; i++)
		fleet->candidates[i] = (candidate_t){
			.server = &fleet->servers[i],
			.order = hash_of(i),
			.slots = load->slots,
			.kv_capacity_tokens = load->engine.kv_capacity_tokens,
			.slowdown = 1,
		};
}

void fleet_simulate(const fleet_scenario_t *load, fleet_result_t *result)
{
	fleet_t fleet = { .load = load, .result = result };

	memset(result, 0, sizeof(*result));
	set_up(&fleet);
	for (fleet.now_us = TICK_US; fleet.now_us < load->length_ms * US_PER_MS;
	     fleet.now_us += TICK_US) {
		run_servers(&fleet);
		announce_due(&fleet);
		create_arrivals(&fleet);
	}
	load_table_destroy(fleet.load_table);
	free(fleet.servers);
	free(fleet.candidates);
	free(fleet.nodes);
	free(fleet.requests);
}

/**
 * @file model.h
 * Simulated engines for benches: an event list, engines that compute prefill
 * in chunks, and a ledger of credits in place of process/credit_holder. Only
 * one source file of a program may include this header.
 */
#ifndef TESTS_BENCH_MODEL_H
#define TESTS_BENCH_MODEL_H

#include <stdlib.h>

#include "base/mem.h"
#include "process/credit_holder.h"
#include "process/load.h"

enum {
	SERVERS = 16,
	KV_TOKENS = 400000, /* KV memory of one engine */
	SLOTS = 64, /* request slots of one engine */
	PREFILL_TOKENS_PER_S = 20000,
	CHUNK_TOKENS = 1024, /* prefill computed without a break */
	EVENTS_MAX = 65536
};

/* Prefill of one job on one engine. */
typedef struct task {
	size_t job; /* index of the job */
	int64_t tokens; /* prompt tokens not computed yet */
	int32_t priority;
	struct task *next;
} task_t;

typedef struct {
	task_t *waiting; /* tasks in order of arrival */
	bool busy; /* computes a chunk */
	int64_t backlog_tokens, kv_used, busy_us;
	int32_t slots_used;
	uint64_t incarnation;
} engine_t;

typedef enum {
	EVENT_ARRIVAL,
	EVENT_CHUNK, /* an engine ended a chunk */
	EVENT_END, /* an answer sent its last token */
	EVENT_REPORT, /* an engine takes a load report */
	EVENT_REPORT_ARRIVES, /* the nodes receive the report */
	EVENT_TICK
} event_type_t;

typedef struct {
	int64_t at_us;
	uint64_t order; /* order of insertion, for events at the same time */
	event_type_t type;
	size_t index; /* index of a job or an engine; depends on the type */
	task_t *task; /* task of an EVENT_CHUNK; NULL for other types */
	load_report_t *report; /* report of an EVENT_REPORT_ARRIVES; NULL for
				  other types */
} sim_event_t;

/* Credits drawn by one use on one server. */
typedef struct {
	size_t server;
	uint64_t use;
	int64_t kv_tokens;
} draw_t;

/* Draws of one node; the limits are checked on the engines, for all nodes. */
struct credit_holder {
	size_t count, capacity;
	draw_t *draws;
};

static engine_t engines[SERVERS];
static sim_event_t events[EVENTS_MAX];
static size_t event_count;
static uint64_t event_order;
static int64_t now_us;

static bool event_before(const sim_event_t *a, const sim_event_t *b)
{
	return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void add_event(sim_event_t event)
{
	size_t at = event_count++;

	if (event_count > EVENTS_MAX)
		abort();
	event.order = event_order++;
	for (; at && event_before(&event, &events[(at - 1) / 2]);
	     at = (at - 1) / 2)
		events[at] = events[(at - 1) / 2];
	events[at] = event;
}

static sim_event_t take_event(void)
{
	sim_event_t first = events[0];
	sim_event_t last = events[--event_count];
	size_t at = 0, child;

	while ((child = 2 * at + 1) < event_count) {
		if (child + 1 < event_count &&
		    event_before(&events[child + 1], &events[child]))
			child++;
		if (!event_before(&events[child], &last))
			break;
		events[at] = events[child];
		at = child;
	}
	events[at] = last;
	return first;
}

static size_t server_index(const char *name)
{
	return (size_t)strtoul(name + 1, NULL, 10);
}

/* @return index of the draw; holder->count if there is no such draw. */
static size_t find_draw(const credit_holder_t *holder, size_t server,
			uint64_t use)
{
	size_t i;

	for (i = 0; i < holder->count; i++)
		if (holder->draws[i].server == server &&
		    holder->draws[i].use == use)
			break;
	return i;
}

draw_result_t credit_holder_draw(credit_holder_t *holder,
				 const resource_t *resource, uint64_t use,
				 credit_amount_t amount, int64_t at_us)
{
	size_t server = server_index(resource->name);
	engine_t *engine = &engines[server];

	if (find_draw(holder, server, use) < holder->count)
		return DRAW_OK;
	if (engine->kv_used + amount.kv_tokens > KV_TOKENS ||
	    engine->slots_used >= SLOTS)
		return DRAW_REFUSED;
	engine->kv_used += amount.kv_tokens;
	engine->slots_used++;
	if (holder->count == holder->capacity) {
		holder->capacity = 2 * holder->capacity + 16;
		holder->draws = mem_realloc(holder->draws, holder->capacity,
					    sizeof(draw_t));
	}
	holder->draws[holder->count++] =
		(draw_t){ server, use, amount.kv_tokens };
	return DRAW_OK;
}

void credit_holder_release(credit_holder_t *holder, const resource_t *resource,
			   uint64_t use, int64_t at_us)
{
	size_t server = server_index(resource->name);
	size_t at = find_draw(holder, server, use);

	if (at == holder->count)
		return;
	engines[server].kv_used -= holder->draws[at].kv_tokens;
	engines[server].slots_used--;
	holder->draws[at] = holder->draws[--holder->count];
}

bool credit_holder_use_valid(const credit_holder_t *holder,
			     const resource_t *resource, uint64_t use,
			     int64_t at_us)
{
	return find_draw(holder, server_index(resource->name), use) <
	       holder->count;
}

/* The modelled engines do not restart. */
uint64_t credit_holder_server_incarnation(const credit_holder_t *holder,
					  const resource_t *resource,
					  uint64_t use)
{
	return 0;
}

void credit_holder_request_ended(credit_holder_t *holder,
				 const resource_t *resource, bool completed)
{
}

/* Starts the next chunk of the first task with the highest priority. */
static void start_chunk(size_t index)
{
	engine_t *engine = &engines[index];
	task_t **best = &engine->waiting, **link;
	int64_t tokens, time_us;
	task_t *task;

	if (engine->busy || !engine->waiting)
		return;
	for (link = &engine->waiting; *link; link = &(*link)->next)
		if ((*link)->priority > (*best)->priority)
			best = link;
	task = *best;
	tokens = task->tokens < CHUNK_TOKENS ? task->tokens : CHUNK_TOKENS;
	time_us = tokens * US_PER_S / PREFILL_TOKENS_PER_S;
	task->tokens -= tokens;
	engine->backlog_tokens -= tokens;
	engine->busy = true;
	engine->busy_us += time_us;
	add_event((sim_event_t){ .at_us = now_us + time_us,
				 .type = EVENT_CHUNK,
				 .index = index,
				 .task = task });
}

static void add_task(size_t server, size_t job, int64_t tokens,
		     int32_t priority)
{
	engine_t *engine = &engines[server];
	task_t *task = mem_calloc(1, sizeof(*task));
	task_t **link = &engine->waiting;

	*task = (task_t){ job, tokens, priority, NULL };
	while (*link)
		link = &(*link)->next;
	*link = task;
	engine->backlog_tokens += tokens;
	start_chunk(server);
}

#endif

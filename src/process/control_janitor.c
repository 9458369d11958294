#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "connection/engine.h"
#include "process/control.h"
#include "process/janitor.h"

enum {
	LIST_INTERVAL_MS = 1000,
	CALL_TIMEOUT_MS = 1000,
	LIST_MAX_BYTES = 4 * 1024 * 1024
};

/*
 * A member that is dead for others may still send to engines. Its share is
 * taken over when every engine was listed this long after its death and no
 * list showed a new stream of it.
 */
#define QUIET_US (2 * US_PER_S)

typedef struct {
	UT_hash_handle hh;
	control_orphans_t *owner;
	char name[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	client_call_t *call;
	int64_t due_us;
	int64_t sent_us; /* of the present list */
	int64_t listed_us; /* when the last complete list was asked for */
	uint64_t incarnation; /* of the last load report */
	bool followed; /* during configure */
} engine_t;

/** Streams of one VM as the lists show them. */
typedef struct {
	UT_hash_handle hh;
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation, request; /* highest seen */
	int64_t new_us; /* when a higher one was first seen */
} holder_t;

/** One cancellation; the answer does not matter, the next list tells. */
struct control_orphans {
	control_t *control;
	janitor_t *orphans;
	engine_t *engines;
	int64_t next_us; /* no engine is due before */
	holder_t *holders;
	const char **ids; /* of the list that is read */
	size_t count, capacity;
};

control_orphans_t *control_orphans_create(control_t *control)
{
	control_orphans_t *orphans = mem_calloc(1, sizeof(*orphans));

	orphans->control = control;
	orphans->orphans = janitor_create();
	return orphans;
}

static void remove_engine(control_orphans_t *orphans, engine_t *engine)
{
	if (engine->call)
		client_call_cancel(engine->call);
	janitor_forget(orphans->orphans, engine->name);
	HASH_DEL(orphans->engines, engine);
	free(engine);
}

void control_orphans_destroy(control_orphans_t *orphans)
{
	engine_t *engine, *next_engine;
	holder_t *holder, *next_holder;

	if (!orphans)
		return;
	for (engine = orphans->engines; engine; engine = next_engine) {
		next_engine = engine->hh.next;
		remove_engine(orphans, engine);
	}
	holder = orphans->holders;
	HASH_CLEAR(hh, orphans->holders);
	for (; holder; holder = next_holder) {
		next_holder = holder->hh.next;
		free(holder);
	}
	janitor_destroy(orphans->orphans);
	free(orphans->ids);
	free(orphans);
}

static void follow(control_orphans_t *orphans, const server_conf_t *conf)
{
	engine_t *engine;

	HASH_FIND_STR(orphans->engines, conf->name, engine);
	if (!engine) {
		engine = mem_calloc(1, sizeof(*engine));
		engine->owner = orphans;
		mem_strlcpy(engine->name, conf->name, sizeof(engine->name));
		HASH_ADD_STR(orphans->engines, name, engine);
	}
	mem_strlcpy(engine->url, conf->url, sizeof(engine->url));
	engine->followed = true;
}

void control_orphans_configure(control_orphans_t *orphans, document_t *document)
{
	const char *local = orphans->control->settings.data_centre;
	const server_conf_t *conf;
	engine_t *engine, *next;
	size_t i;

	for (engine = orphans->engines; engine; engine = engine->hh.next)
		engine->followed = false;
	for (i = 0; (conf = document_server_at(document, i)); i++)
		if (conf->kind == SERVER_ENGINE &&
		    !strcmp(conf->data_centre, local))
			follow(orphans, conf);
	for (engine = orphans->engines; engine; engine = next) {
		next = engine->hh.next;
		if (!engine->followed)
			remove_engine(orphans, engine);
	}
	orphans->next_us = 0;
}

void control_orphans_apply_report(control_orphans_t *orphans,
				  const load_report_t *report)
{
	engine_t *engine;

	HASH_FIND_STR(orphans->engines, report->server, engine);
	if (!engine)
		return;
	if (engine->incarnation && engine->incarnation != report->incarnation)
		janitor_forget(orphans->orphans, engine->name);
	engine->incarnation = report->incarnation;
}

static void note_stream(control_orphans_t *orphans, const stream_id_t *id)
{
	holder_t *holder;

	HASH_FIND_STR(orphans->holders, id->vm_id, holder);
	if (!holder) {
		holder = mem_calloc(1, sizeof(*holder));
		mem_strlcpy(holder->vm_id, id->vm_id, sizeof(holder->vm_id));
		HASH_ADD_STR(orphans->holders, vm_id, holder);
	} else if (id->incarnation < holder->incarnation ||
		   (id->incarnation == holder->incarnation &&
		    id->request <= holder->request)) {
		return;
	}
	holder->incarnation = id->incarnation;
	holder->request = id->request;
	holder->new_us = clock_monotonic_us();
}

static void on_id(void *context, const char *text)
{
	control_orphans_t *orphans = context;
	stream_id_t id;

	if (orphans->count == orphans->capacity) {
		orphans->capacity = orphans->capacity ? 2 * orphans->capacity
						      : 64;
		orphans->ids = mem_realloc(orphans->ids, orphans->capacity,
					   sizeof(const char *));
	}
	orphans->ids[orphans->count++] = mem_strdup(text);
	if (stream_id_parse(text, &id))
		note_stream(orphans, &id);
}

static void on_list(void *context, client_end_t end, int status,
		    const char *body, size_t size)
{
	engine_t *engine = context;
	control_orphans_t *orphans = engine->owner;
	err_t err;
	bool complete;

	engine->call = NULL;
	if (end != CLIENT_OK || status != 200)
		return;
	orphans->count = 0;
	complete = engine_parse_streams(body, size, on_id, orphans, &err);
	if (complete) {
		engine->listed_us = engine->sent_us;
		janitor_list(orphans->orphans, engine->name, orphans->ids,
			     orphans->count, clock_monotonic_us());
	} else {
		log_event(EVENT_SERVER_BAD_REPORT, "server=%s problem=\"%s\"",
			  engine->name, err.message);
	}
	while (orphans->count)
		free((char *)orphans->ids[--orphans->count]);
}

static client_call_t *fetch(control_orphans_t *orphans, engine_call_t *call,
			    client_done_t done, void *context)
{
	const client_request_t request = {
		.method = call->method,
		.url = call->url,
		.connect_timeout_ms = CALL_TIMEOUT_MS,
		.idle_timeout_ms = CALL_TIMEOUT_MS,
		.total_timeout_ms = CALL_TIMEOUT_MS,
	};
	client_call_t *handle = client_fetch(orphans->control->client, &request,
					     LIST_MAX_BYTES, done, context);

	engine_call_clear(call);
	return handle;
}

static void list(engine_t *engine, int64_t now_us)
{
	engine_call_t call = { 0 };

	engine->sent_us = now_us;
	engine_list_streams(&call, engine->url);
	engine->call = fetch(engine->owner, &call, on_list, engine);
}

/* The next list tells whether the stream is gone. */
static void on_cancelled(void *context, client_end_t end, int status,
			 const char *body, size_t size)
{
}

static void cancel(control_orphans_t *orphans, const janitor_cancel_t *order)
{
	engine_call_t call = { 0 };
	engine_t *engine;

	HASH_FIND_STR(orphans->engines, order->server, engine);
	if (!engine)
		return;
	log_event(EVENT_STREAM_CANCELLED, "server=%s stream=%s", order->server,
		  order->id);
	engine_cancel(&call, engine->url, order->id);
	fetch(orphans, &call, on_cancelled, NULL);
}

static void visit(engine_t *engine, int64_t now_us)
{
	const control_credits_t *credits = engine->owner->control->credits;

	if (engine->call || now_us < engine->due_us)
		return;
	engine->due_us = now_us + LIST_INTERVAL_MS * US_PER_MS;
	if (control_credits_owns(credits, engine->name))
		list(engine, now_us);
}

/* Walks over all engines only when one is due, as control_load.c does. */
static void visit_due(control_orphans_t *orphans, int64_t now_us)
{
	engine_t *engine;

	if (now_us < orphans->next_us)
		return;
	orphans->next_us = INT64_MAX;
	for (engine = orphans->engines; engine; engine = engine->hh.next) {
		visit(engine, now_us);
		if (engine->due_us < orphans->next_us)
			orphans->next_us = engine->due_us;
	}
}

void control_orphans_tick(control_orphans_t *orphans, int64_t now_us)
{
	janitor_cancel_t order;

	visit_due(orphans, now_us);
	while (janitor_next(orphans->orphans, &order, now_us))
		cancel(orphans, &order);
}

void control_orphans_set_node(control_orphans_t *orphans, const char *vm_id,
			      uint64_t incarnation, bool dead)
{
	if (dead)
		janitor_holder_dead(orphans->orphans, vm_id);
	else if (incarnation)
		janitor_holder_seen(orphans->orphans, vm_id, incarnation);
}

void control_orphans_set_vms(control_orphans_t *orphans,
			     const platform_vm_t *vms, size_t count)
{
	const char **ids = mem_calloc(count, sizeof(const char *));
	size_t i;

	for (i = 0; i < count; i++)
		ids[i] = vms[i].id;
	janitor_vm_list(orphans->orphans, ids, count);
	free(ids);
}

bool control_orphans_node_idle(const control_orphans_t *orphans,
			       const char *vm_id, int64_t dead_us)
{
	const engine_t *engine;
	const holder_t *holder;

	for (engine = orphans->engines; engine; engine = engine->hh.next)
		if (!control_credits_owns(orphans->control->credits,
					  engine->name) ||
		    engine->listed_us < dead_us + QUIET_US)
			return false;
	HASH_FIND_STR(orphans->holders, vm_id, holder);
	return orphans->engines && (!holder || holder->new_us < dead_us);
}

size_t control_orphans_count(const control_orphans_t *orphans)
{
	return janitor_count(orphans->orphans);
}

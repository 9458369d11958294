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
	control_janitor_t *owner;
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
struct control_janitor {
	control_t *control;
	janitor_t *janitor;
	engine_t *engines;
	int64_t next_us; /* no engine is due before */
	holder_t *holders;
	const char **ids; /* of the list that is read */
	size_t count, capacity;
};

control_janitor_t *control_janitor_create(control_t *control)
{
	control_janitor_t *janitor = mem_calloc(1, sizeof(*janitor));

	janitor->control = control;
	janitor->janitor = janitor_create();
	return janitor;
}

static void remove_engine(control_janitor_t *janitor, engine_t *engine)
{
	if (engine->call)
		client_call_cancel(engine->call);
	janitor_forget(janitor->janitor, engine->name);
	HASH_DEL(janitor->engines, engine);
	free(engine);
}

void control_janitor_destroy(control_janitor_t *janitor)
{
	engine_t *engine, *next_engine;
	holder_t *holder, *next_holder;

	if (!janitor)
		return;
	for (engine = janitor->engines; engine; engine = next_engine) {
		next_engine = engine->hh.next;
		remove_engine(janitor, engine);
	}
	holder = janitor->holders;
	HASH_CLEAR(hh, janitor->holders);
	for (; holder; holder = next_holder) {
		next_holder = holder->hh.next;
		free(holder);
	}
	janitor_destroy(janitor->janitor);
	free(janitor->ids);
	free(janitor);
}

static void follow(control_janitor_t *janitor, const server_conf_t *conf)
{
	engine_t *engine;

	HASH_FIND_STR(janitor->engines, conf->name, engine);
	if (!engine) {
		engine = mem_calloc(1, sizeof(*engine));
		engine->owner = janitor;
		mem_strlcpy(engine->name, conf->name, sizeof(engine->name));
		HASH_ADD_STR(janitor->engines, name, engine);
	}
	mem_strlcpy(engine->url, conf->url, sizeof(engine->url));
	engine->followed = true;
}

void control_janitor_configure(control_janitor_t *janitor, document_t *document)
{
	const char *local = janitor->control->settings.data_centre;
	const server_conf_t *conf;
	engine_t *engine, *next;
	size_t i;

	for (engine = janitor->engines; engine; engine = engine->hh.next)
		engine->followed = false;
	for (i = 0; (conf = document_server_at(document, i)); i++)
		if (conf->kind == SERVER_ENGINE &&
		    !strcmp(conf->data_centre, local))
			follow(janitor, conf);
	for (engine = janitor->engines; engine; engine = next) {
		next = engine->hh.next;
		if (!engine->followed)
			remove_engine(janitor, engine);
	}
	janitor->next_us = 0;
}

void control_janitor_report(control_janitor_t *janitor,
			    const load_report_t *report)
{
	engine_t *engine;

	HASH_FIND_STR(janitor->engines, report->server, engine);
	if (!engine)
		return;
	if (engine->incarnation && engine->incarnation != report->incarnation)
		janitor_forget(janitor->janitor, engine->name);
	engine->incarnation = report->incarnation;
}

static void note_stream(control_janitor_t *janitor, const stream_id_t *id)
{
	holder_t *holder;

	HASH_FIND_STR(janitor->holders, id->vm_id, holder);
	if (!holder) {
		holder = mem_calloc(1, sizeof(*holder));
		mem_strlcpy(holder->vm_id, id->vm_id, sizeof(holder->vm_id));
		HASH_ADD_STR(janitor->holders, vm_id, holder);
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
	control_janitor_t *janitor = context;
	stream_id_t id;

	if (janitor->count == janitor->capacity) {
		janitor->capacity = janitor->capacity ? 2 * janitor->capacity
						      : 64;
		janitor->ids = mem_realloc(janitor->ids, janitor->capacity,
					   sizeof(const char *));
	}
	janitor->ids[janitor->count++] = mem_strdup(text);
	if (stream_id_parse(text, &id))
		note_stream(janitor, &id);
}

static void on_list(void *context, client_end_t end, int status,
		    const char *body, size_t size)
{
	engine_t *engine = context;
	control_janitor_t *janitor = engine->owner;
	err_t err;
	bool complete;

	engine->call = NULL;
	if (end != CLIENT_OK || status != 200)
		return;
	janitor->count = 0;
	complete = engine_parse_list(body, size, on_id, janitor, &err);
	if (complete) {
		engine->listed_us = engine->sent_us;
		janitor_list(janitor->janitor, engine->name, janitor->ids,
			     janitor->count, clock_monotonic_us());
	} else {
		log_event(EVENT_SERVER_BAD_REPORT, "server=%s problem=\"%s\"",
			  engine->name, err.message);
	}
	while (janitor->count)
		free((char *)janitor->ids[--janitor->count]);
}

static client_call_t *fetch(control_janitor_t *janitor, engine_call_t *call,
			    client_done_t done, void *context)
{
	const client_request_t request = {
		.method = call->method,
		.url = call->url,
		.connect_timeout_ms = CALL_TIMEOUT_MS,
		.idle_timeout_ms = CALL_TIMEOUT_MS,
		.total_timeout_ms = CALL_TIMEOUT_MS,
	};
	client_call_t *handle = client_fetch(janitor->control->client, &request,
					     LIST_MAX_BYTES, done, context);

	engine_call_clear(call);
	return handle;
}

static void list(engine_t *engine, int64_t now_us)
{
	engine_call_t call = { 0 };

	engine->sent_us = now_us;
	engine_list(&call, engine->url);
	engine->call = fetch(engine->owner, &call, on_list, engine);
}

/* The next list tells whether the stream is gone. */
static void on_cancelled(void *context, client_end_t end, int status,
			 const char *body, size_t size)
{
}

static void cancel(control_janitor_t *janitor, const janitor_cancel_t *order)
{
	engine_call_t call = { 0 };
	engine_t *engine;

	HASH_FIND_STR(janitor->engines, order->server, engine);
	if (!engine)
		return;
	log_event(EVENT_STREAM_CANCELLED, "server=%s stream=%s", order->server,
		  order->id);
	engine_cancel(&call, engine->url, order->id);
	fetch(janitor, &call, on_cancelled, NULL);
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
static void visit_due(control_janitor_t *janitor, int64_t now_us)
{
	engine_t *engine;

	if (now_us < janitor->next_us)
		return;
	janitor->next_us = INT64_MAX;
	for (engine = janitor->engines; engine; engine = engine->hh.next) {
		visit(engine, now_us);
		if (engine->due_us < janitor->next_us)
			janitor->next_us = engine->due_us;
	}
}

void control_janitor_tick(control_janitor_t *janitor, int64_t now_us)
{
	janitor_cancel_t order;

	visit_due(janitor, now_us);
	while (janitor_next(janitor->janitor, &order, now_us))
		cancel(janitor, &order);
}

void control_janitor_holder(control_janitor_t *janitor, const char *vm_id,
			    uint64_t incarnation, bool dead)
{
	if (dead)
		janitor_holder_dead(janitor->janitor, vm_id);
	else if (incarnation)
		janitor_holder_seen(janitor->janitor, vm_id, incarnation);
}

void control_janitor_vms(control_janitor_t *janitor, const platform_vm_t *vms,
			 size_t count)
{
	const char **ids = mem_calloc(count, sizeof(const char *));
	size_t i;

	for (i = 0; i < count; i++)
		ids[i] = vms[i].id;
	janitor_vm_list(janitor->janitor, ids, count);
	free(ids);
}

bool control_janitor_quiet(const control_janitor_t *janitor, const char *vm_id,
			   int64_t dead_us)
{
	const engine_t *engine;
	const holder_t *holder;

	for (engine = janitor->engines; engine; engine = engine->hh.next)
		if (!control_credits_owns(janitor->control->credits,
					  engine->name) ||
		    engine->listed_us < dead_us + QUIET_US)
			return false;
	HASH_FIND_STR(janitor->holders, vm_id, holder);
	return janitor->engines && (!holder || holder->new_us < dead_us);
}

size_t control_janitor_count(const control_janitor_t *janitor)
{
	return janitor_count(janitor->janitor);
}

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "connection/engine.h"
#include "process/control.h"
#include "process/orphans.h"

/* Reads of an engine's list of streams. */
enum {
	LIST_INTERVAL_MS = 1000,
	CALL_TIMEOUT_MS = 1000,
	LIST_MAX_BYTES = 4 * 1024 * 1024
};

/*
 * A member that the membership view has as dead may still send requests to
 * engines. Its share of the credits is taken over when the streams of every
 * engine were listed this long after its death and no list showed a new stream
 * of the member.
 */
#define IDLE_US (2 * US_PER_S)

/** An engine of this data centre. */
typedef struct {
	UT_hash_handle hh;
	control_orphans_t *orphans;
	char name[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	client_call_t *call; /**< request for the list; NULL: none */
	int64_t due_us; /**< earliest time of the next list */
	int64_t sent_us; /**< when the newest list was requested */
	/** When the newest complete list was requested; 0: none yet. */
	int64_t listed_us;
	uint64_t incarnation; /**< engine's incarnation in the last load report;
				 0: no report yet */
	/** Used during configure: the new document has the engine. */
	bool configured;
} engine_t;

/** The newest stream of a VM in the lists of all engines. */
typedef struct {
	UT_hash_handle hh;
	char vm_id[NAME_SIZE_BYTES];
	/** Highest incarnation in a stream id, and its highest request. */
	uint64_t incarnation, request;
	int64_t newest_us; /**< when a list first showed that stream */
} node_t;

struct control_orphans {
	control_t *control;
	orphans_t *table; /**< orphaned streams in the engines' lists */
	engine_t *engines; /**< hash table by name */
	int64_t next_us; /**< earliest due time of all engines */
	node_t *nodes; /**< hash table by VM id */
	const char **ids; /**< stream ids of the list being parsed */
	size_t count, capacity; /**< used and allocated elements of `ids` */
};

control_orphans_t *control_orphans_create(control_t *control)
{
	control_orphans_t *orphans = mem_calloc(1, sizeof(*orphans));

	orphans->control = control;
	orphans->table = orphans_create();
	return orphans;
}

static void remove_engine(control_orphans_t *orphans, engine_t *engine)
{
	if (engine->call)
		client_call_cancel(engine->call);
	orphans_remove_server(orphans->table, engine->name);
	HASH_DEL(orphans->engines, engine);
	free(engine);
}

void control_orphans_destroy(control_orphans_t *orphans)
{
	engine_t *engine, *next_engine;
	node_t *node, *next_node;

	if (!orphans)
		return;
	for (engine = orphans->engines; engine; engine = next_engine) {
		next_engine = engine->hh.next;
		remove_engine(orphans, engine);
	}
	node = orphans->nodes;
	HASH_CLEAR(hh, orphans->nodes);
	for (; node; node = next_node) {
		next_node = node->hh.next;
		free(node);
	}
	orphans_destroy(orphans->table);
	free(orphans->ids);
	free(orphans);
}

static void add_engine(control_orphans_t *orphans, const server_conf_t *conf)
{
	engine_t *engine;

	HASH_FIND_STR(orphans->engines, conf->name, engine);
	if (!engine) {
		engine = mem_calloc(1, sizeof(*engine));
		engine->orphans = orphans;
		mem_strlcpy(engine->name, conf->name, sizeof(engine->name));
		HASH_ADD_STR(orphans->engines, name, engine);
	}
	mem_strlcpy(engine->url, conf->url, sizeof(engine->url));
	engine->configured = true;
}

void control_orphans_configure(control_orphans_t *orphans, document_t *document)
{
	const char *local = orphans->control->settings.data_centre;
	const server_conf_t *conf;
	engine_t *engine, *next;
	size_t i;

	for (engine = orphans->engines; engine; engine = engine->hh.next)
		engine->configured = false;
	for (i = 0; (conf = document_server_at(document, i)); i++)
		if (conf->kind == SERVER_ENGINE &&
		    !strcmp(conf->data_centre, local))
			add_engine(orphans, conf);
	for (engine = orphans->engines; engine; engine = next) {
		next = engine->hh.next;
		if (!engine->configured)
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
		orphans_remove_server(orphans->table, engine->name);
	engine->incarnation = report->incarnation;
}

/* Records a listed stream if it is the newest of its VM. */
static void record_stream(control_orphans_t *orphans, const stream_id_t *id)
{
	node_t *node;

	HASH_FIND_STR(orphans->nodes, id->vm_id, node);
	if (!node) {
		node = mem_calloc(1, sizeof(*node));
		mem_strlcpy(node->vm_id, id->vm_id, sizeof(node->vm_id));
		HASH_ADD_STR(orphans->nodes, vm_id, node);
	} else if (id->incarnation < node->incarnation ||
		   (id->incarnation == node->incarnation &&
		    id->request <= node->request)) {
		return;
	}
	node->incarnation = id->incarnation;
	node->request = id->request;
	node->newest_us = clock_monotonic_us();
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
		record_stream(orphans, &id);
}

static void on_list(void *context, client_end_t end, int status,
		    const char *body, size_t size)
{
	engine_t *engine = context;
	control_orphans_t *orphans = engine->orphans;
	err_t err;
	bool complete;

	engine->call = NULL;
	if (end != CLIENT_OK || status != 200)
		return;
	orphans->count = 0;
	complete = engine_parse_streams(body, size, on_id, orphans, &err);
	if (complete) {
		engine->listed_us = engine->sent_us;
		orphans_apply_list(orphans->table, engine->name, orphans->ids,
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
		/* See request_cancel.c. */
		.at_most_once = true,
	};
	client_call_t *handle = client_fetch(orphans->control->client, &request,
					     LIST_MAX_BYTES, done, context);

	engine_call_clear(call);
	return handle;
}

static void request_list(engine_t *engine, int64_t now_us)
{
	engine_call_t call = { 0 };

	engine->sent_us = now_us;
	engine_list_streams(&call, engine->url);
	engine->call = fetch(engine->orphans, &call, on_list, engine);
}

/* The reply is ignored: the next list shows whether the stream has ended. */
static void on_cancelled(void *context, client_end_t end, int status,
			 const char *body, size_t size)
{
}

static void cancel_stream(control_orphans_t *orphans,
			  const orphan_cancel_t *stream)
{
	engine_call_t call = { 0 };
	engine_t *engine;

	HASH_FIND_STR(orphans->engines, stream->server, engine);
	if (!engine)
		return;
	log_event(EVENT_STREAM_CANCELLED, "server=%s stream=%s", stream->server,
		  stream->id);
	engine_cancel(&call, engine->url, stream->id);
	fetch(orphans, &call, on_cancelled, NULL);
}

/* Requests the list of an engine that is due and that this node owns. */
static void list_if_due(engine_t *engine, int64_t now_us)
{
	const control_credits_t *credits = engine->orphans->control->credits;

	if (engine->call || now_us < engine->due_us)
		return;
	engine->due_us = now_us + LIST_INTERVAL_MS * US_PER_MS;
	if (control_credits_owns(credits, engine->name))
		request_list(engine, now_us);
}

/*
 * Walks over all engines only when at least one is due: a walk over 440 servers
 * on each tick took a tenth of the processor time of an idle node.
 */
static void list_due_engines(control_orphans_t *orphans, int64_t now_us)
{
	engine_t *engine;

	if (now_us < orphans->next_us)
		return;
	orphans->next_us = INT64_MAX;
	for (engine = orphans->engines; engine; engine = engine->hh.next) {
		list_if_due(engine, now_us);
		if (engine->due_us < orphans->next_us)
			orphans->next_us = engine->due_us;
	}
}

void control_orphans_tick(control_orphans_t *orphans, int64_t now_us)
{
	orphan_cancel_t stream;

	list_due_engines(orphans, now_us);
	while (orphans_next_cancel(orphans->table, &stream, now_us))
		cancel_stream(orphans, &stream);
}

void control_orphans_set_node(control_orphans_t *orphans, const char *vm_id,
			      uint64_t incarnation, bool dead)
{
	if (dead)
		orphans_node_dead(orphans->table, vm_id);
	else if (incarnation)
		orphans_node_alive(orphans->table, vm_id, incarnation);
}

void control_orphans_set_vms(control_orphans_t *orphans,
			     const platform_vm_t *vms, size_t count)
{
	const char **ids = mem_calloc(count, sizeof(const char *));
	size_t i;

	for (i = 0; i < count; i++)
		ids[i] = vms[i].id;
	orphans_set_vms(orphans->table, ids, count);
	free(ids);
}

bool control_orphans_node_idle(const control_orphans_t *orphans,
			       const char *vm_id, int64_t dead_us)
{
	const engine_t *engine;
	const node_t *node;

	for (engine = orphans->engines; engine; engine = engine->hh.next)
		if (!control_credits_owns(orphans->control->credits,
					  engine->name) ||
		    engine->listed_us < dead_us + IDLE_US)
			return false;
	HASH_FIND_STR(orphans->nodes, vm_id, node);
	return orphans->engines && (!node || node->newest_us < dead_us);
}

size_t control_orphans_count(const control_orphans_t *orphans)
{
	return orphans_count(orphans->table);
}

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "connection/engine.h"
#include "process/control.h"

/*
 * Every node reads the cache events of the engines of its data centre itself:
 * a digest of the events for all nodes would exceed the 8 KB/s of control
 * traffic that a node may send. A node reads one engine after the other,
 * READS_PER_S of them a second: with 440 engines (the target) each engine is
 * read every 110 s, in a small data centre every second or two.
 */
enum { READS_PER_S = 4, CALL_TIMEOUT_MS = 1000, EVENTS_MAX_BYTES = 1 << 20 };
/* Shortest time between two reads of the same engine. */
#define ENGINE_INTERVAL_US US_PER_S

/** An engine of this data centre whose cache events this node reads. */
typedef struct {
	UT_hash_handle hh;
	control_cache_t *cache;
	char name[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	client_call_t *call; /**< read in progress; NULL: none */
	uint64_t incarnation; /**< engine's incarnation in the last reply; 0: no
				 reply yet */
	uint64_t sequence; /**< number of the last event read; 0: none */
	int64_t due_us; /**< earliest time of the next read */
	/** Used during configure: the new document has the engine. */
	bool configured;
	/** The last reply was malformed; further ones are not logged. */
	bool malformed;
} engine_t;

struct control_cache {
	control_t *control;
	engine_t *engines;
	int64_t next_us; /**< earliest time of the next read of any engine */
};

control_cache_t *control_cache_create(control_t *control)
{
	control_cache_t *cache = mem_calloc(1, sizeof(*cache));

	cache->control = control;
	return cache;
}

static void remove_engine(control_cache_t *cache, engine_t *engine)
{
	if (engine->call)
		client_call_cancel(engine->call);
	HASH_DEL(cache->engines, engine);
	free(engine);
}

void control_cache_destroy(control_cache_t *cache)
{
	engine_t *engine, *next;

	if (!cache)
		return;
	for (engine = cache->engines; engine; engine = next) {
		next = engine->hh.next;
		remove_engine(cache, engine);
	}
	free(cache);
}

static void add_engine(control_cache_t *cache, const server_conf_t *conf)
{
	engine_t *engine;

	HASH_FIND_STR(cache->engines, conf->name, engine);
	if (!engine) {
		engine = mem_calloc(1, sizeof(*engine));
		engine->cache = cache;
		mem_strlcpy(engine->name, conf->name, sizeof(engine->name));
		HASH_ADD_STR(cache->engines, name, engine);
	}
	mem_strlcpy(engine->url, conf->url, sizeof(engine->url));
	engine->configured = true;
}

void control_cache_configure(control_cache_t *cache, document_t *document)
{
	const char *local = cache->control->settings.data_centre;
	const server_conf_t *conf;
	engine_t *engine, *next;
	size_t i;

	for (engine = cache->engines; engine; engine = engine->hh.next)
		engine->configured = false;
	for (i = 0; (conf = document_server_at(document, i)); i++)
		if (conf->kind == SERVER_ENGINE &&
		    !strcmp(conf->data_centre, local))
			add_engine(cache, conf);
	for (engine = cache->engines; engine; engine = next) {
		next = engine->hh.next;
		if (!engine->configured)
			remove_engine(cache, engine);
	}
}

static void on_event(void *context, const cache_event_t *event)
{
	engine_t *engine = context;

	if (event->sequence <= engine->sequence)
		return;
	engine->sequence = event->sequence;
	dispatch_cache_event(engine->cache->control->dispatch, engine->name,
			     event->sequence, event->stored, event->block,
			     clock_monotonic_us());
}

static void on_events(void *context, client_end_t end, int status,
		      const char *body, size_t size)
{
	engine_t *engine = context;
	uint64_t incarnation = 0;
	err_t err;

	engine->call = NULL;
	if (end != CLIENT_OK || status != 200)
		return;
	if (!engine_parse_cache_events(body, size, &incarnation, on_event,
				       engine, &err)) {
		if (!engine->malformed)
			log_event(EVENT_SERVER_BAD_REPORT,
				  "server=%s problem=\"%s\"", engine->name,
				  err.message);
		engine->malformed = true;
		return;
	}
	engine->malformed = false;
	/* A restarted engine counts from the beginning: read all events. */
	if (incarnation != engine->incarnation)
		engine->sequence = 0;
	engine->incarnation = incarnation;
}

static void read_events(engine_t *engine)
{
	engine_call_t call = { 0 };
	client_request_t request = { .connect_timeout_ms = CALL_TIMEOUT_MS,
				     .idle_timeout_ms = CALL_TIMEOUT_MS,
				     .total_timeout_ms = CALL_TIMEOUT_MS };

	engine_cache_events(&call, engine->url, engine->sequence);
	request.method = call.method;
	request.url = call.url;
	engine->call = client_fetch(engine->cache->control->client, &request,
				    EVENTS_MAX_BYTES, on_events, engine);
	engine_call_clear(&call);
}

void control_cache_tick(control_cache_t *cache, int64_t now_us)
{
	engine_t *engine, *earliest = NULL;

	if (now_us < cache->next_us)
		return;
	for (engine = cache->engines; engine; engine = engine->hh.next)
		if (!engine->call && engine->due_us <= now_us &&
		    (!earliest || engine->due_us < earliest->due_us))
			earliest = engine;
	if (!earliest)
		return;
	cache->next_us = now_us + US_PER_S / READS_PER_S;
	earliest->due_us = now_us + ENGINE_INTERVAL_US;
	read_events(earliest);
}

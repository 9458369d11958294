#include "process/reconcile.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/mem.h"

typedef enum {
	ENGINE_IDLE, /**< no order; the engine may get one */
	ENGINE_ORDERED, /**< an order is being sent or carried out */
	ENGINE_ENDED /**< the order ended; a later report is awaited */
} engine_state_t;

/** Last report and last order of one engine. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	bool has_report; /**< report is set */
	load_report_t report; /**< the newest report */
	engine_state_t state;
	order_t order; /**< the last order given */
	/** ENGINE_ORDERED: start of the order; ENGINE_ENDED: its end. */
	int64_t state_since_us;
	int64_t not_before_us; /**< earliest time of the next order */
	UT_hash_handle hh;
} engine_t;

struct reconcile {
	reconcile_conf_t conf;
	document_t *document; /**< configuration; NULL: none yet */
	engine_t *engines; /**< hash table by name; NULL: none */
	bool active; /**< this node may give orders */
	int64_t token; /**< fencing token of the lease */
	int64_t acquired_us; /**< when this node acquired the lease */
	/** Orders of earlier lease holders have ended by this time. */
	int64_t old_orders_end_us;
};

reconcile_t *reconcile_create(const reconcile_conf_t *conf)
{
	reconcile_t *reconcile = mem_calloc(1, sizeof(*reconcile));

	reconcile->conf = *conf;
	return reconcile;
}

void reconcile_destroy(reconcile_t *reconcile)
{
	engine_t *engine, *next;

	if (!reconcile)
		return;
	HASH_ITER (hh, reconcile->engines, engine, next) {
		HASH_DEL(reconcile->engines, engine);
		free(engine);
	}
	if (reconcile->document)
		document_unref(reconcile->document);
	free(reconcile);
}

static engine_t *find_engine(const reconcile_t *reconcile, const char *name)
{
	engine_t *engine;

	HASH_FIND_STR(reconcile->engines, name, engine);
	return engine;
}

static engine_t *get_engine(reconcile_t *reconcile, const char *name)
{
	engine_t *engine = find_engine(reconcile, name);

	if (engine)
		return engine;
	engine = mem_calloc(1, sizeof(*engine));
	mem_strlcpy(engine->name, name, sizeof(engine->name));
	HASH_ADD_STR(reconcile->engines, name, engine);
	return engine;
}

void reconcile_configure(reconcile_t *reconcile, document_t *document)
{
	document_t *old = reconcile->document;
	engine_t *engine, *next;

	reconcile->document = document_ref(document);
	if (old)
		document_unref(old);
	HASH_ITER (hh, reconcile->engines, engine, next) {
		if (document_server(document, engine->name) ||
		    engine->state == ENGINE_ORDERED)
			continue;
		HASH_DEL(reconcile->engines, engine);
		free(engine);
	}
}

void reconcile_set_report(reconcile_t *reconcile, const load_report_t *report)
{
	engine_t *engine;

	if (!reconcile->document ||
	    !document_server(reconcile->document, report->server))
		return;
	engine = get_engine(reconcile, report->server);
	if (engine->has_report && report->taken_us < engine->report.taken_us)
		return;
	engine->has_report = true;
	engine->report = *report;
	if (engine->state == ENGINE_ENDED &&
	    report->taken_us > engine->state_since_us)
		engine->state = ENGINE_IDLE;
}

void reconcile_acquired(reconcile_t *reconcile, int64_t token, bool first,
			int64_t now_us)
{
	engine_t *engine, *next;

	reconcile->active = true;
	reconcile->token = token;
	reconcile->acquired_us = now_us;
	reconcile->old_orders_end_us = now_us;
	if (!first)
		reconcile->old_orders_end_us +=
			reconcile->conf.lease_us + reconcile->conf.order_max_us;
	HASH_ITER (hh, reconcile->engines, engine, next)
		engine->state = ENGINE_IDLE;
}

void reconcile_lost(reconcile_t *reconcile)
{
	reconcile->active = false;
}

static bool has_model(const load_report_t *report, const char *model)
{
	int32_t i;

	for (i = 0; i < report->model_count && i < LOAD_MODELS_MAX; i++)
		if (!strcmp(report->models[i], model))
			return true;
	return false;
}

/* Sets the order that the engine needs. Returns false if the engine has the
 * desired model and role. */
static bool find_order(const server_conf_t *server, const load_report_t *report,
		       order_t *order)
{
	memset(order, 0, sizeof(*order));
	mem_strlcpy(order->server, server->name, sizeof(order->server));
	if (server->model[0] && !has_model(report, server->model)) {
		order->kind = ORDER_LOAD_MODEL;
		mem_strlcpy(order->model, server->model, sizeof(order->model));
		return true;
	}
	order->kind = ORDER_SET_ROLE;
	order->role = server->role;
	return server->role != report->role;
}

static bool is_load_running(const reconcile_t *reconcile,
			    const engine_t *engine, int64_t now_us)
{
	return engine->state == ENGINE_ORDERED &&
	       engine->order.kind == ORDER_LOAD_MODEL &&
	       now_us - engine->state_since_us < reconcile->conf.order_max_us;
}

int32_t reconcile_load_count(const reconcile_t *reconcile, int64_t now_us)
{
	engine_t *engine, *next;
	int32_t count = 0;

	HASH_ITER (hh, reconcile->engines, engine, next)
		count += is_load_running(reconcile, engine, now_us);
	return count;
}

/* Returns true if an order of this kind may be given to the engine now. */
static bool may_order(const reconcile_t *reconcile, const server_conf_t *server,
		      const engine_t *engine, order_kind_t kind, int64_t now_us)
{
	int64_t from_us = reconcile->acquired_us;
	const limits_conf_t *limits = document_limits(reconcile->document);

	if (server->fencing == FENCING_IGNORED || kind == ORDER_LOAD_MODEL)
		from_us = reconcile->old_orders_end_us;
	if (now_us < from_us || engine->report.taken_us < from_us ||
	    now_us < engine->not_before_us)
		return false;
	return kind != ORDER_LOAD_MODEL ||
	       reconcile_load_count(reconcile, now_us) <
		       limits->weight_loads_max;
}

static bool next_order(reconcile_t *reconcile, const server_conf_t *server,
		       order_t *order, int64_t now_us)
{
	engine_t *engine = find_engine(reconcile, server->name);

	if (server->kind != SERVER_ENGINE || !engine || !engine->has_report ||
	    strcmp(server->data_centre, reconcile->conf.data_centre) != 0 ||
	    !document_server_in_service(reconcile->document, server))
		return false;
	/* An order without an answer counts as ended after order_max_us. */
	if (engine->state == ENGINE_ORDERED &&
	    now_us - engine->state_since_us >= reconcile->conf.order_max_us) {
		engine->state = ENGINE_ENDED;
		engine->state_since_us = now_us;
	}
	if (engine->state != ENGINE_IDLE ||
	    !find_order(server, &engine->report, order) ||
	    !may_order(reconcile, server, engine, order->kind, now_us))
		return false;
	order->fencing = reconcile->token;
	engine->state = ENGINE_ORDERED;
	engine->order = *order;
	engine->state_since_us = now_us;
	return true;
}

bool reconcile_next(reconcile_t *reconcile, order_t *order, int64_t now_us)
{
	size_t i;

	if (!reconcile->active || !reconcile->document)
		return false;
	for (i = 0; i < document_server_count(reconcile->document); i++)
		if (next_order(reconcile,
			       document_server_at(reconcile->document, i),
			       order, now_us))
			return true;
	return false;
}

bool reconcile_may_send(const reconcile_t *reconcile, const order_t *order,
			bool lease_held, int64_t lease_token)
{
	const server_conf_t *server =
		reconcile->document
			? document_server(reconcile->document, order->server)
			: NULL;

	return reconcile->active && lease_held &&
	       order->fencing == lease_token &&
	       order->fencing == reconcile->token && server &&
	       document_server_in_service(reconcile->document, server);
}

void reconcile_result(reconcile_t *reconcile, const order_t *order,
		      order_result_t result, int64_t now_us)
{
	engine_t *engine = find_engine(reconcile, order->server);

	if (!engine || engine->state != ENGINE_ORDERED ||
	    engine->order.fencing != order->fencing)
		return;
	switch (result) {
	case ORDER_DONE:
		engine->state = ENGINE_ENDED;
		engine->state_since_us = now_us;
		break;
	case ORDER_STALE:
		/* Another node holds the lease; the next call for the lease
		 * will show that. */
		reconcile->active = false;
		engine->state = ENGINE_IDLE;
		break;
	case ORDER_FAILED:
		engine->state = ENGINE_IDLE;
		engine->not_before_us = now_us + RECONCILE_RETRY_US;
		break;
	case ORDER_UNKNOWN:
		break; /* counts as running until order_max_us has passed */
	}
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "connection/engine.h"
#include "process/control.h"
#include "process/lease.h"
#include "process/reconcile.h"

enum { CONNECT_TIMEOUT_MS = 1000, REPLY_MAX_BYTES = 64 * 1024 };

enum { HTTP_OK = 200, HTTP_MULTIPLE_CHOICES = 300, HTTP_CONFLICT = 409 };

/** An order that was sent and has no reply yet. */
typedef struct order_call {
	struct order_call *next;
	control_orders_t *orders;
	order_t order;
	client_call_t *call;
} order_call_t;

struct control_orders {
	control_t *control;
	lease_t *lease;
	reconcile_t *reconcile;
	bool held; /**< this node holds the lease */
	order_call_t *calls;
};

control_orders_t *control_orders_create(control_t *control)
{
	const settings_t *settings = &control->settings;
	control_orders_t *orders = mem_calloc(1, sizeof(*orders));
	reconcile_conf_t conf = { .lease_us = LEASE_DURATION_US,
				  .order_max_us = RECONCILE_ORDER_MAX_US };
	char name[NAME_SIZE_BYTES + 16];

	orders->control = control;
	mem_strlcpy(conf.data_centre, settings->data_centre,
		    sizeof(conf.data_centre));
	snprintf(name, sizeof(name), "reconciler-%s", settings->data_centre);
	orders->lease =
		lease_create(name, settings->vm_id, control->incarnation,
			     &lease_reconciler_times, clock_monotonic_us());
	orders->reconcile = reconcile_create(&conf);
	return orders;
}

void control_orders_destroy(control_orders_t *orders)
{
	order_call_t *entry, *next;

	if (!orders)
		return;
	for (entry = orders->calls; entry; entry = next) {
		next = entry->next;
		client_call_cancel(entry->call);
		free(entry);
	}
	lease_destroy(orders->lease);
	reconcile_destroy(orders->reconcile);
	free(orders);
}

void control_orders_store_restored(control_orders_t *orders)
{
	lease_store_restored(orders->lease, clock_monotonic_us());
}

void control_orders_configure(control_orders_t *orders, document_t *document)
{
	reconcile_configure(orders->reconcile, document);
}

void control_orders_apply_report(control_orders_t *orders,
				 const load_report_t *report)
{
	reconcile_set_report(orders->reconcile, report);
}

static void on_platform(void *context, platform_status_t status,
			const platform_object_t *object)
{
	control_orders_t *orders = context;

	lease_result(orders->lease, status, object, clock_monotonic_us());
}

/* Acquires and renews the lease if this node is the one to hold it. */
static void maintain_lease(control_orders_t *orders, int64_t now_us)
{
	platform_t *platform = orders->control->platform;
	const char *name = lease_object_name(orders->lease);
	lease_action_t action;

	lease_set_wanted(orders->lease,
			 control_members_reconciles(orders->control->members));
	while (lease_next(orders->lease, &action, now_us)) {
		switch (action.type) {
		case LEASE_ACTION_READ:
			platform_get(platform, PLATFORM_LEASES, name,
				     on_platform, orders);
			break;
		case LEASE_ACTION_CREATE:
			platform_create_object(platform, PLATFORM_LEASES, name,
					       action.spec, on_platform,
					       orders);
			break;
		case LEASE_ACTION_PUT:
			platform_put(platform, PLATFORM_LEASES, name,
				     action.version, action.spec, on_platform,
				     orders);
			break;
		}
	}
}

/* Starts or stops the orders when the lease is acquired or lost. */
static void update_held(control_orders_t *orders, int64_t now_us)
{
	bool held = lease_held(orders->lease, now_us);

	if (held == orders->held)
		return;
	orders->held = held;
	log_event(held ? EVENT_LEASE_ACQUIRED : EVENT_LEASE_LOST, "name=%s",
		  lease_object_name(orders->lease));
	if (held)
		reconcile_acquired(orders->reconcile,
				   lease_token(orders->lease),
				   lease_is_first(orders->lease), now_us);
	else
		reconcile_lost(orders->reconcile);
}

/*
 * An order whose connection timed out or broke may have been carried out, so
 * its result is unknown.
 */
static order_result_t result_of(client_end_t end, int status)
{
	switch (end) {
	case CLIENT_CONNECT_FAILED:
		return ORDER_FAILED;
	case CLIENT_OK:
		if (status >= HTTP_OK && status < HTTP_MULTIPLE_CHOICES)
			return ORDER_DONE;
		return status == HTTP_CONFLICT ? ORDER_STALE : ORDER_FAILED;
	case CLIENT_TIMED_OUT:
	case CLIENT_BROKEN:
	case CLIENT_CANCELLED:
	case CLIENT_INVALID:
		break;
	}
	return ORDER_UNKNOWN;
}

static void on_reply(void *context, client_end_t end, int status,
		     const char *body, size_t size)
{
	order_call_t *entry = context;
	control_orders_t *orders = entry->orders;

	reconcile_result(orders->reconcile, &entry->order,
			 result_of(end, status), clock_monotonic_us());
	LL_DELETE(orders->calls, entry);
	free(entry);
}

static void send_order(control_orders_t *orders, const server_conf_t *server,
		       const order_t *order)
{
	client_request_t request = {
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_timeout_ms = RECONCILE_ORDER_MAX_US / US_PER_MS,
		.total_timeout_ms = RECONCILE_ORDER_MAX_US / US_PER_MS,
		.at_most_once = true,
	};
	order_call_t *entry = mem_calloc(1, sizeof(*entry));
	engine_call_t call = { 0 };

	entry->orders = orders;
	entry->order = *order;
	engine_order(&call, server->url, order);
	request.method = call.method;
	request.url = call.url;
	request.body = call.body;
	request.body_size_bytes = call.body_size_bytes;
	entry->call = client_fetch(orders->control->client, &request,
				   REPLY_MAX_BYTES, on_reply, entry);
	LL_PREPEND(orders->calls, entry);
	engine_call_clear(&call);
	log_event(EVENT_ORDER_SENT, "server=%s kind=%d fencing=%lld",
		  order->server, (int)order->kind, (long long)order->fencing);
}

static void send_orders(control_orders_t *orders, int64_t now_us)
{
	const document_t *document = inforce_document(orders->control->inforce);
	const server_conf_t *server;
	order_t order;

	while (reconcile_next(orders->reconcile, &order, now_us)) {
		server = document ? document_server(document, order.server)
				  : NULL;
		/*
		 * The lease is checked with the present time: it may have
		 * expired since this tick began.
		 */
		now_us = clock_monotonic_us();
		if (server &&
		    reconcile_may_send(orders->reconcile, &order,
				       lease_held(orders->lease, now_us),
				       lease_token(orders->lease)))
			send_order(orders, server, &order);
		else
			reconcile_result(orders->reconcile, &order,
					 ORDER_FAILED, now_us);
	}
}

void control_orders_tick(control_orders_t *orders, int64_t now_us)
{
	maintain_lease(orders, now_us);
	update_held(orders, now_us);
	send_orders(orders, now_us);
}

bool control_orders_held(const control_orders_t *orders)
{
	return orders->held;
}

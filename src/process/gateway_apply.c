#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/units.h"
#include "platform/config.h"
#include "process/gateway_state.h"

/* The routing configuration states no limit for bodies. Requests that take
 * longer than their own time limit end before it. */
enum { BODY_TIMEOUT_MS = 60000 };

int64_t gateway_routing_version(const gateway_t *gateway)
{
	return gateway->routing ? routing_version(gateway->routing) : -1;
}

/* Says how a version came into force: by which call, how long ago it was sent,
 * and which node announced the version, if one did. */
static void log_applied(const view_t *view, const routing_t *routing,
			int64_t before, int64_t revision)
{
	int64_t told_ms =
		view->told_by
			? (clock_monotonic_us() - view->told_us) / US_PER_MS
			: -1;

	log_event(EVENT_CONFIG_APPLIED,
		  "version=%" PRId64 " before=%" PRId64 " revision=%" PRId64
		  " source=platform call=%s called_ms=%" PRId64
		  " told_by=node-%016" PRIx64 " told_ms=%" PRId64,
		  routing_version(routing), before, revision,
		  view->listed ? "watch" : "list",
		  (clock_boot_us() - view->called_boot_us) / US_PER_MS,
		  view->told_by, told_ms);
}

static void apply_routing(view_t *view, const platform_object_t *object)
{
	gateway_t *gateway = view->gateway;
	int64_t current = gateway_routing_version(gateway);
	const caller_limits_t *limits;
	routing_t *routing;
	err_t err;

	if (strcmp(object->name, PLATFORM_ROUTING_NAME) != 0 || object->deleted)
		return;
	routing = platform_decode_routing(object->spec, &err);
	if (!routing) {
		log_event(EVENT_CONFIG_REFUSED,
			  "source=platform revision=%" PRId64 " problem=\"%s\"",
			  object->version, err.message);
		return;
	}
	gateway->stored_version = routing_version(routing);
	if (routing_version(routing) <= current) {
		if (routing_version(routing) < current)
			log_event(EVENT_CONFIG_STALE,
				  "version=%" PRId64 " in_force=%" PRId64
				  " source=platform",
				  routing_version(routing), current);
		view->told_by = 0;
		routing_unref(routing);
		return;
	}
	log_applied(view, routing, current, object->version);
	view->told_by = 0;
	metrics_set(METRIC_CONFIG_VERSION, routing_version(routing));
	routing_unref(gateway->routing);
	gateway->routing = routing;
	gateway->routing_applied_us = clock_monotonic_us();
	limits = routing_limits(routing);
	listener_set_timeouts(
		gateway->callers,
		&(listener_timeouts_t){ .idle_ms = limits->idle_timeout_ms,
					.head_ms = limits->header_timeout_ms,
					.body_ms = BODY_TIMEOUT_MS });
}

/* @return false if the object names no server to use. A server that states its
 * start does so in all its entries: one without it is of another writer. */
static bool decode_entry(const gateway_t *gateway,
			 const platform_object_t *object,
			 backend_entry_t *entry)
{
	const backend_t *known = backends_find(gateway->backends, object->name);

	return !object->deleted && platform_decode_server(object, entry) &&
	       (entry->born_ms || !known || !backend_entry(known)->born_ms);
}

static void apply_server(gateway_t *gateway, const platform_object_t *object,
			 int64_t grace_until_us)
{
	int64_t now_us = clock_monotonic_us();
	backend_entry_t entry;

	if (!decode_entry(gateway, object, &entry)) {
		if (backends_remove(gateway->backends, object->name,
				    grace_until_us))
			log_event(EVENT_SERVER_REMOVED,
				  "server=%s revision=%" PRId64 " reason=%s",
				  object->name, object->version,
				  object->deleted ? "deleted" : "malformed");
		return;
	}
	if (backends_update(gateway->backends, &entry, now_us))
		log_event(EVENT_SERVER_CHANGED,
			  "server=%s service=%s address=%s data_centre=%s "
			  "state=%s cold_ms=%" PRId64 " born_ms=%" PRId64
			  " revision=%" PRId64,
			  entry.id, entry.service, entry.address,
			  entry.data_centre,
			  entry.state == BACKEND_READY ? "ready" : "draining",
			  entry.cold_left_ms, entry.born_ms, object->version);
}

static void apply_evacuation(gateway_t *gateway,
			     const platform_object_t *object)
{
	log_event(object->deleted ? EVENT_DATA_CENTRE_RESTORED
				  : EVENT_DATA_CENTRE_RETIRED,
		  "data_centre=%s revision=%" PRId64, object->name,
		  object->version);
	backends_evacuate(gateway->backends, object->name, !object->deleted);
}

void gateway_apply(view_t *view, const platform_object_t *object,
		   int64_t grace_until_us)
{
	switch (view->kind) {
	case PLATFORM_ROUTING:
		apply_routing(view, object);
		break;
	case PLATFORM_SERVERS:
		apply_server(view->gateway, object, grace_until_us);
		break;
	case PLATFORM_EVACUATIONS:
		apply_evacuation(view->gateway, object);
		break;
	default:
		break;
	}
}

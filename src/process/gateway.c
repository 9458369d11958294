#include "process/gateway.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/gateway_state.h"
#include "request/forward.h"
#include "request/reservation.h"

enum {
	/* Timeout of a call to the store, which normally takes some ms. */
	PLATFORM_TIMEOUT_MS = 1000,
	/* Call budget, which bounds a node that calls the store in a loop. */
	PLATFORM_CALLS_PER_S = 40,
	/* File descriptors kept for other uses than callers and servers. */
	DESCRIPTORS_RESERVED = 400,
	SERVER_EXPIRY_MS = 100
};

/* Prefix of chivestage's own kinds of objects in the store. */
#define PLATFORM_NAMESPACE "chivestage"

uint64_t gateway_random(gateway_t *gateway)
{
	/* Xorshift64 generator. */
	gateway->random ^= gateway->random << 13;
	gateway->random ^= gateway->random >> 7;
	gateway->random ^= gateway->random << 17;
	return gateway->random;
}

static retry_budget_t *find_budget(gateway_t *gateway, const char *service)
{
	service_budget_t *entry;
	size_t i;

	for (i = 0; i < gateway->budget_count; i++)
		if (!strcmp(gateway->budgets[i].service, service))
			return &gateway->budgets[i].budget;
	/* Services beyond the table share its last entry. */
	if (gateway->budget_count == SERVICES_MAX)
		return &gateway->budgets[SERVICES_MAX - 1].budget;
	entry = &gateway->budgets[gateway->budget_count++];
	entry->service = mem_strdup(service);
	return &entry->budget;
}

void gateway_count_request(gateway_t *gateway, const char *service)
{
	retry_count_request(find_budget(gateway, service),
			    clock_monotonic_us());
}

bool gateway_take_retry(gateway_t *gateway, const char *service)
{
	const retry_limits_t limits = gateway_retry_limits(gateway);

	if (retry_take_within(find_budget(gateway, service), &limits,
			      clock_monotonic_us()))
		return true;
	metrics_add(METRIC_RETRIES_REFUSED, 1);
	return false;
}

/* Share of the memory limit for connections that are kept open. */
enum { KEPT_MEMORY_DIVISOR = 8 };

static bool open_callers(gateway_t *gateway, err_t *err)
{
	listener_handler_t handler = forward_handler;
	listener_conf_t conf = {
		.address = gateway->settings.caller_address,
		.connections_max = (gateway->settings.descriptors_max -
				    DESCRIPTORS_RESERVED) /
				   2,
		.kept_max = (int32_t)(gateway->settings.memory_limit_bytes /
				      KEPT_MEMORY_DIVISOR /
				      LISTENER_CONNECTION_BYTES),
	};

	handler.context = gateway;
	gateway->callers = listener_create(gateway->loop, &conf, &handler, err);
	return gateway->callers;
}

static void on_expiry(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;
	size_t removed =
		backends_expire(gateway->backends, clock_monotonic_us());

	if (removed)
		log_event(EVENT_SERVER_REMOVED, "count=%zu reason=not-returned",
			  removed);
}

/* The store lost what nodes wrote in its last seconds, and shows what was
 * before: nothing that was read of it is known to hold. */
static void on_store_restored(void *context)
{
	gateway_t *gateway = context;

	gateway_views_restored(gateway);
	gateway_peers_restored(gateway);
	duties_store_restored(gateway->duties);
}

static bool start(gateway_t *gateway, err_t *err)
{
	platform_conf_t platform = { .restored = on_store_restored,
				     .context = gateway,
				     .timeout_ms = PLATFORM_TIMEOUT_MS,
				     .calls_per_s = PLATFORM_CALLS_PER_S };
	backends_conf_t backends = {
		.cold_factor = gateway->settings.cold_factor,
		.cold_slack = gateway->settings.cold_slack,
		.drain_us = gateway->settings.drain_ms * US_PER_MS,
		.controls_load = gateway->settings.controls_load,
		.traffic_price_us_per_mb =
			gateway->settings.traffic_price_us_per_mb
	};

	mem_strlcpy(platform.url, gateway->settings.platform_url,
		    sizeof(platform.url));
	mem_strlcpy(platform.namespace_name, PLATFORM_NAMESPACE,
		    sizeof(platform.namespace_name));
	mem_strlcpy(backends.data_centre, gateway->settings.data_centre,
		    sizeof(backends.data_centre));
	gateway->backends = backends_create(&backends);
	gateway->segments = segment_table_create();
	gateway->client = client_create(gateway->loop, err);
	if (!gateway->client)
		return false;
	gateway->platform = platform_create(gateway->client, &platform);
	if (!gateway_probes_start(gateway, err) ||
	    !open_callers(gateway, err) || !gateway_relay_start(gateway, err) ||
	    !gateway_peers_start(gateway, err))
		return false;
	gateway_views_start(gateway);
	gateway->duties = duties_create(gateway);
	ev_timer_init(&gateway->expiry, on_expiry,
		      (double)SERVER_EXPIRY_MS / MS_PER_S,
		      (double)SERVER_EXPIRY_MS / MS_PER_S);
	gateway->expiry.data = gateway;
	ev_timer_start(gateway->loop, &gateway->expiry);
	gateway_reach_start(gateway);
	return true;
}

gateway_t *gateway_create(struct ev_loop *loop, const node_settings_t *settings,
			  err_t *err)
{
	gateway_t *gateway = mem_calloc(1, sizeof(*gateway));

	gateway->loop = loop;
	gateway->settings = *settings;
	gateway->random = ((uint64_t)clock_wall_us() << 16) ^
			  load_table_hash(settings->node_id) ^
			  (uint64_t)getpid();
	snprintf(gateway->mem_lease_prefix, sizeof(gateway->mem_lease_prefix),
		 "%08x-%" PRIx64, load_table_hash(settings->node_id),
		 gateway->random);
	ev_init(&gateway->stop_timer, NULL);
	if (start(gateway, err))
		return gateway;
	gateway_destroy(gateway);
	return NULL;
}

static void free_budgets(gateway_t *gateway)
{
	while (gateway->budget_count)
		free(gateway->budgets[--gateway->budget_count].service);
}

void gateway_destroy(gateway_t *gateway)
{
	if (!gateway)
		return;
	/* Requests that are still read while the listeners close are refused.
	 */
	gateway->stop = STOP_CLOSED;
	forward_abort_all(gateway);
	ev_timer_stop(gateway->loop, &gateway->stop_timer);
	ev_timer_stop(gateway->loop, &gateway->expiry);
	gateway_reach_stop(gateway);
	gateway_stop_store_probes(gateway);
	gateway_views_stop(gateway);
	listener_destroy(gateway->callers);
	gateway_relay_stop(gateway);
	duties_destroy(gateway->duties);
	gateway_probes_stop(gateway);
	gateway_peers_stop(gateway);
	platform_destroy(gateway->platform);
	client_destroy(gateway->client);
	reservations_destroy(&gateway->reservations);
	segment_table_destroy(gateway->segments);
	backends_destroy(gateway->backends);
	routing_unref(gateway->routing);
	free_budgets(gateway);
	free(gateway);
}

void gateway_reload(gateway_t *gateway, const node_settings_t *settings)
{
	node_settings_t *current = &gateway->settings;

	/* Addresses cannot change while the process runs. */
	current->memory_limit_bytes = settings->memory_limit_bytes;
	current->stop_ms = settings->stop_ms;
	current->key_revoke_ms = settings->key_revoke_ms;
	current->keys_expire = settings->keys_expire;
	current->retry_ratio = settings->retry_ratio;
	current->retry_slack = settings->retry_slack;
	log_event(EVENT_SETTINGS_RELOADED, "node=%s", current->node_id);
}

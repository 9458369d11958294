#include <stdio.h>

#include "base/clock.h"
#include "base/log.h"
#include "process/gateway_state.h"
#include "request/forward.h"

/* Interval between checks for silent data centres. */
#define CHECK_US (40 * US_PER_MS)
/* A check delayed by this much shows nothing: datagrams that have arrived still
 * wait in the socket. */
#define CHECK_DELAY_MAX_US (3 * CHECK_US)

/* A reachable server answers a probe in some ms. */
enum { PROBE_TIMEOUT_MS = 200 };

static void on_probe_end(void *context, client_end_t end, int status)
{
	backend_t *server = context;

	/* Any answer, whatever its status, shows that the data centre can be
	 * reached. */
	if (end != CLIENT_OK)
		return;
	backend_note_received(server, clock_monotonic_us());
	log_event(EVENT_DATA_CENTRE_REACHABLE,
		  "data_centre=%s server=%s evidence=probe",
		  backend_entry(server)->data_centre,
		  backend_entry(server)->id);
}

static void on_probe_free(void *context)
{
	backend_unref(context);
}

static void send_probe(gateway_t *gateway, backend_t *server)
{
	const backend_entry_t *entry = backend_entry(server);
	const service_conf_t *service =
		routing_service(gateway->routing, entry->service);
	char url[URL_SIZE_BYTES + PREFIX_SIZE_BYTES + 16];
	client_request_t request = { .method = "GET",
				     .url = url,
				     .connect_timeout_ms = PROBE_TIMEOUT_MS,
				     .total_timeout_ms = PROBE_TIMEOUT_MS,
				     .at_most_once = true };
	client_handler_t handler = { .on_end = on_probe_end,
				     .on_free = on_probe_free };

	/* The limits of a server hold for probes, too. */
	if (!service || !*service->health_path ||
	    !backend_take(server, service, clock_monotonic_us()))
		return;
	handler.context = backend_ref(server);
	snprintf(url, sizeof(url), "http://%s%s", entry->address,
		 service->health_path);
	client_call(gateway->client, &request, &handler);
}

static void note_peers(gateway_t *gateway, int64_t now_us)
{
	const region_t *region = &gateway->settings.region;
	size_t i;

	for (i = 0; i < region->count; i++) {
		const char *data_centre = region->data_centres[i];

		backends_note_peers(
			gateway->backends, data_centre,
			load_table_peers(gateway->load_table, data_centre,
					 gateway_announce_pause_us(gateway),
					 now_us),
			now_us);
	}
}

static void on_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;
	int64_t now_us = clock_monotonic_us();
	bool delayed = now_us - gateway->reach_checked_us > CHECK_DELAY_MAX_US;
	backend_t *server;

	gateway->reach_checked_us = now_us;
	if (delayed || !gateway->routing)
		return;
	note_peers(gateway, now_us);
	server = backends_to_probe(gateway->backends, gateway_random(gateway),
				   now_us);
	if (server)
		send_probe(gateway, server);
	forward_check_partition(gateway);
}

void gateway_reach_start(gateway_t *gateway)
{
	double pause_s = (double)CHECK_US / (double)US_PER_S;

	ev_timer_init(&gateway->reach, on_check, pause_s, pause_s);
	gateway->reach.data = gateway;
	ev_timer_start(gateway->loop, &gateway->reach);
}

void gateway_reach_stop(gateway_t *gateway)
{
	ev_timer_stop(gateway->loop, &gateway->reach);
}

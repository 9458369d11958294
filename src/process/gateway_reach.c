#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/gateway_state.h"
#include "request/forward.h"

/* Interval between checks for silent data centres. */
#define CHECK_US (40 * US_PER_MS)
/* A check delayed by this much shows nothing: datagrams that have arrived still
 * wait in the socket. */
#define CHECK_DELAY_MAX_US (3 * CHECK_US)

/* A reachable server answers a probe in some ms. */
enum { PROBE_TIMEOUT_MS = 200 };

typedef struct {
	gateway_t *gateway;
	backend_t *server;
	int64_t sent_us;
} probe_t;

/* Any answer, whatever its status, shows that the server is alive and its data
 * centre can be reached. */
static void on_answer(const probe_t *probe)
{
	int64_t now_us = clock_monotonic_us();

	segment_table_note_alive(probe->gateway->segments,
				 backend_start_hash(probe->server),
				 probe->sent_us, now_us);
	if (backend_is_partitioned(probe->server, now_us))
		log_event(EVENT_DATA_CENTRE_REACHABLE,
			  "data_centre=%s server=%s evidence=probe",
			  backend_entry(probe->server)->data_centre,
			  backend_entry(probe->server)->id);
	backend_note_received(probe->server, now_us);
}

static void on_probe_end(void *context, client_end_t end, int status)
{
	const probe_t *probe = context;

	switch (end) {
	case CLIENT_OK:
	case CLIENT_INVALID:
		on_answer(probe);
		return;
	case CLIENT_CONNECT_FAILED:
	case CLIENT_BROKEN:
		segment_table_note_dead(probe->gateway->segments,
					backend_start_hash(probe->server),
					clock_monotonic_us());
		return;
	case CLIENT_TIMED_OUT:
	case CLIENT_CANCELLED:
		return;
	}
}

static void on_connect_end(void *context, client_end_t end, int status)
{
	const probe_t *probe = context;

	backend_note_connection(probe->server, end == CLIENT_OK, probe->sent_us,
				clock_monotonic_us());
}

static void on_probe_free(void *context)
{
	probe_t *probe = context;

	backend_unref(probe->server);
	free(probe);
}

void gateway_probe(gateway_t *gateway, backend_t *server)
{
	const backend_entry_t *entry = backend_entry(server);
	int64_t now_us = clock_monotonic_us();
	const service_conf_t *service =
		routing_service(gateway->routing, entry->service);
	char url[URL_SIZE_BYTES + 16];
	client_request_t request = { .method = "GET",
				     .url = url,
				     .connect_timeout_ms = PROBE_TIMEOUT_MS,
				     .total_timeout_ms = PROBE_TIMEOUT_MS,
				     .at_most_once = true };
	client_handler_t handler = { .on_end = on_probe_end,
				     .on_free = on_probe_free };
	probe_t *probe;

	/* The limits of a server hold for probes, too. */
	if (!service || !*service->health_path ||
	    !backend_usable(server, now_us) ||
	    !backend_take(server, service, now_us))
		return;
	probe = mem_calloc(1, sizeof(*probe));
	*probe = (probe_t){ gateway, backend_ref(server), now_us };
	handler.context = probe;
	snprintf(url, sizeof(url), "http://%s/", entry->address);
	request.target = service->health_path;
	client_call(gateway->client, &request, &handler);
}

/* Connects to a server without a request, which services without a health path
 * allow, too. */
static void try_connection(gateway_t *gateway, backend_t *server)
{
	char url[URL_SIZE_BYTES + 16];
	client_request_t request = { .method = "GET",
				     .url = url,
				     .connect_timeout_ms = PROBE_TIMEOUT_MS,
				     .total_timeout_ms = PROBE_TIMEOUT_MS,
				     .at_most_once = true,
				     .connect_only = true };
	client_handler_t handler = { .on_end = on_connect_end,
				     .on_free = on_probe_free };
	probe_t *probe = mem_calloc(1, sizeof(*probe));

	*probe =
		(probe_t){ gateway, backend_ref(server), clock_monotonic_us() };
	handler.context = probe;
	snprintf(url, sizeof(url), "http://%s/",
		 backend_entry(server)->address);
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

static void on_reach_changed(void *context, const char *service,
			     bool is_cut_off)
{
	gateway_t *gateway = context;

	log_event(is_cut_off ? EVENT_SERVICE_CUT_OFF : EVENT_SERVICE_REACHABLE,
		  "service=%s", service);
	gateway_load_changed(gateway, true);
}

static void on_flow_changed(void *context, const char *service, double share)
{
	log_event(share > 0 ? EVENT_SPILLOVER_STARTED : EVENT_SPILLOVER_ENDED,
		  "service=%s share=%.2f", service, share);
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
	backends_check_reach(gateway->backends, on_reach_changed, gateway,
			     now_us);
	backends_check_flows(gateway->backends, on_flow_changed, NULL);
	server = backends_to_probe(gateway->backends, gateway_random(gateway),
				   now_us);
	if (server)
		gateway_probe(gateway, server);
	server = backends_to_connect(gateway->backends, gateway_random(gateway),
				     now_us);
	if (server)
		try_connection(gateway, server);
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

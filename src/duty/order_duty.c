#include "duty/order_duty.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/gateway_state.h"

/* Most services for which servers are ordered; further services get none. */
enum { ORDERED_SERVICES_MAX = 16 };

typedef struct {
	char *name;
	fleet_size_t *size;
} ordered_service_t;

struct order_duty {
	gateway_t *gateway;
	ordered_service_t services[ORDERED_SERVICES_MAX];
	size_t count;
};

order_duty_t *order_duty_create(gateway_t *gateway)
{
	order_duty_t *duty = mem_calloc(1, sizeof(*duty));

	duty->gateway = gateway;
	return duty;
}

static void remove_services(order_duty_t *duty)
{
	while (duty->count) {
		ordered_service_t *service = &duty->services[--duty->count];

		fleet_size_destroy(service->size);
		free(service->name);
	}
}

void order_duty_destroy(order_duty_t *duty)
{
	if (!duty)
		return;
	remove_services(duty);
	free(duty);
}

/* Finds or adds a service. Returns NULL if the table is full. */
static ordered_service_t *get_service(order_duty_t *duty, const char *name)
{
	ordered_service_t *service;
	size_t i;

	for (i = 0; i < duty->count; i++)
		if (!strcmp(duty->services[i].name, name))
			return &duty->services[i];
	if (duty->count == ORDERED_SERVICES_MAX)
		return NULL;
	service = &duty->services[duty->count++];
	service->name = mem_strdup(name);
	service->size = fleet_size_create(&duty->gateway->settings.region);
	return service;
}

void order_duty_take_over(order_duty_t *duty, const json_t *state)
{
	const char *name;
	json_t *orders;

	remove_services(duty);
	json_object_foreach((json_t *)state, name, orders)
	{
		ordered_service_t *service = get_service(duty, name);

		if (service)
			fleet_size_take_over(service->size, orders);
	}
}

json_t *order_duty_state(const order_duty_t *duty)
{
	json_t *state = json_object();
	size_t i;

	for (i = 0; i < duty->count; i++)
		json_object_set_new(state, duty->services[i].name,
				    fleet_size_state(duty->services[i].size));
	return state;
}

static void add_load(const gateway_t *gateway, const backend_t *server,
		     const service_conf_t *service, int64_t now_us,
		     service_load_t *load)
{
	const backend_entry_t *entry = backend_entry(server);
	size_t dc = region_find(&gateway->settings.region, entry->data_centre);
	server_load_t server_load = backend_load(
		server, gateway->load_table,
		service->engine.present ? &service->engine : NULL, now_us);

	if (dc == gateway->settings.region.count ||
	    entry->state != BACKEND_READY)
		return;
	load->servers[dc]++;
	load->slots += entry->slots;
	load->used += server_load.prefilling + server_load.decoding;
	load->backlog_us += server_load.backlog_us;
}

static bool update_service(order_duty_t *duty, ordered_service_t *ordered,
			   const service_conf_t *service,
			   const service_load_t *load, int64_t now_us)
{
	fleet_limits_t limits = { .min = service->servers_min,
				  .max = service->servers_max,
				  .startup_us =
					  service->startup_ms * US_PER_MS };
	fleet_order_t order;

	if (!fleet_size_update(ordered->size, &limits, load, now_us))
		return false;
	if (fleet_size_next(ordered->size, now_us, &order))
		log_event(EVENT_SERVERS_ORDERED,
			  "service=%s data_centre=%s count=%d slots=%d used=%d"
			  " pending_ms=%" PRId64,
			  service->name,
			  duty->gateway->settings.region
				  .data_centres[order.data_centre],
			  order.count, load->slots, load->used,
			  load->backlog_us / US_PER_MS);
	return true;
}

bool order_duty_update(order_duty_t *duty, int64_t now_us)
{
	gateway_t *gateway = duty->gateway;
	service_load_t loads[ORDERED_SERVICES_MAX] = { { .slots = 0 } };
	const service_conf_t *services[ORDERED_SERVICES_MAX] = { NULL };
	int64_t at_us = clock_monotonic_us();
	backend_t *server = NULL;
	bool changed = false;
	size_t i;

	if (!gateway->routing)
		return false;
	while ((server = backends_next(gateway->backends, server))) {
		const service_conf_t *service = routing_service(
			gateway->routing, backend_entry(server)->service);
		ordered_service_t *ordered;

		if (!service || service->servers_max <= 0 ||
		    !(ordered = get_service(duty, service->name)))
			continue;
		services[ordered - duty->services] = service;
		add_load(gateway, server, service, at_us,
			 &loads[ordered - duty->services]);
	}
	for (i = 0; i < duty->count; i++)
		changed |= services[i] &&
			   update_service(duty, &duty->services[i], services[i],
					  &loads[i], now_us);
	return changed;
}

bool order_duty_next(const order_duty_t *duty, int64_t now_us,
		     server_order_t *order)
{
	size_t i;

	for (i = 0; i < duty->count; i++) {
		if (!fleet_size_next(duty->services[i].size, now_us,
				     &order->order))
			continue;
		order->service = duty->services[i].name;
		order->data_centre =
			duty->gateway->settings.region
				.data_centres[order->order.data_centre];
		return true;
	}
	return false;
}

void order_duty_answered(order_duty_t *duty, const server_order_t *order,
			 duty_answer_t answer, int64_t now_us)
{
	ordered_service_t *service = get_service(duty, order->service);

	if (service)
		fleet_size_answered(service->size, &order->order, answer,
				    now_us);
}

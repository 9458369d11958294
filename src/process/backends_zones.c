#include <string.h>

#include "process/backends_state.h"

/* Least time between two updates of the shares of a service: nodes announce
 * new load about so often. */
#define FLOW_INTERVAL_US (50 * US_PER_MS)
/* Assumed duration of a call to a plain service. */
#define PLAIN_CALL_US (15 * US_PER_MS)
#define BYTES_PER_MB 1e6
/* An event of a completion stream: a token and its JSON. */
#define BYTES_PER_OUTPUT_TOKEN 200
/* Headers of a request and its answer. */
#define HEADER_BYTES 1000

/* @return time for which a request uses a slot of an idle server */
static double call_us(const service_conf_t *service)
{
	server_load_t idle = { .decoding = 0 };
	const engine_profile_t *engine = &service->engine;

	if (!engine->present)
		return PLAIN_CALL_US;
	return forecast_prefill_us(engine, engine->usual_prompt_tokens, 1) +
	       forecast_output_us(engine, engine->usual_output_tokens, &idle);
}

/* @return requests that a server serves in time, at once: fewer while it is
 * slow, or while a limit for cold servers holds */
static double capacity_of(const candidate_t *candidate,
			  const backends_query_t *query)
{
	const backend_t *server = candidate->server;
	const service_conf_t *service = query->service;
	double capacity = candidate->slots / candidate->slowdown, cold;

	if (!service->cold_requests_per_s ||
	    !backend_is_cold(server, query->now_us))
		return capacity;
	cold = service->cold_requests_per_s * server->table->conf.cold_factor *
	       call_us(service) / US_PER_S;
	return cold < capacity ? cold : capacity;
}

/* @return requests in progress, or the slots that the prefill backlog makes
 * useless. All are where a prompt without any prefill of its own would miss the
 * shortest objective. */
static double used_of(const candidate_t *candidate,
		      const backends_query_t *query)
{
	const server_load_t *load = &candidate->load;
	double running = load->prefilling + load->decoding;
	double full_us = (double)query->objective_us * PLACEMENT_TARGET_SHARE;
	double backlog = 0, slots;

	if (query->service->engine.present && full_us > 0)
		backlog = (double)load->backlog_us / full_us;
	slots = candidate->slots * (backlog < 1 ? backlog : 1);
	return running > slots ? running : slots;
}

static zone_load_t *load_of_zone(zone_load_t *zones, size_t *count,
				 uint32_t zone)
{
	size_t i;

	for (i = 0; i < *count; i++)
		if (zones[i].zone == zone)
			return &zones[i];
	if (*count == ZONES_MAX)
		return NULL;
	zones[*count] = (zone_load_t){ .zone = zone };
	return &zones[(*count)++];
}

void backends_begin_sum(const backends_t *backends,
			const backends_query_t *query, zone_sum_t *sum)
{
	const backend_service_t *service =
		backends_find_service(backends, query->service->name);

	*sum = (zone_sum_t){ .count = 0 };
	sum->is_due = backends->conf.controls_load && !query->is_dry_run &&
		      (!service || !service->flow ||
		       query->now_us - service->flow_us >= FLOW_INTERVAL_US);
	/* The own data centre counts, also without a server. */
	if (sum->is_due)
		load_of_zone(sum->zones, &sum->count,
			     load_table_hash(backends->conf.data_centre));
}

void backends_add_to_sum(zone_sum_t *sum, const candidate_t *candidate,
			 const backends_query_t *query)
{
	const backend_t *server = candidate->server;
	zone_load_t *zone;

	if (!sum->is_due || candidate->fallback)
		return;
	zone = load_of_zone(sum->zones, &sum->count, server->dc->hash);
	if (!zone)
		return;
	zone->capacity += capacity_of(candidate, query);
	zone->used += used_of(candidate, query);
}

const zone_flow_t *backends_end_sum(backends_t *backends,
				    const backends_query_t *query,
				    const zone_sum_t *sum)
{
	backend_service_t *service;

	if (!sum->is_due) {
		service = backends_find_service(backends, query->service->name);
		return service ? service->flow : NULL;
	}
	service = backends_service(backends, query->service->name);
	if (!service->flow)
		service->flow = zone_flow_create(
			load_table_hash(backends->conf.data_centre));
	service->flow_us = query->now_us;
	zone_flow_update(service->flow, sum->zones, sum->count, query->now_us);
	return service->flow;
}

int64_t backends_traffic_bytes(const service_conf_t *service,
			       int64_t body_bytes, int64_t output_tokens)
{
	int64_t bytes = body_bytes + HEADER_BYTES;

	if (service->engine.present)
		bytes += output_tokens * BYTES_PER_OUTPUT_TOKEN;
	return bytes;
}

int64_t backends_traffic_us(const backends_t *backends, int64_t bytes)
{
	return backends->conf.controls_load
		       ? time_to_us((double)backends->conf
					    .traffic_price_us_per_mb *
				    (double)bytes / BYTES_PER_MB)
		       : 0;
}

double backends_flow_share(const backends_t *backends, const char *service)
{
	const backend_service_t *found =
		backends_find_service(backends, service);

	return found && found->flow
		       ? zone_flow_share(
				 found->flow,
				 load_table_hash(backends->conf.data_centre))
		       : 0;
}

void backends_check_flows(backends_t *backends, backends_flow_changed_t changed,
			  void *context)
{
	uint32_t own = load_table_hash(backends->conf.data_centre);
	backend_service_t *service, *next;

	HASH_ITER (hh, backends->services, service, next) {
		double share =
			service->flow ? zone_flow_share(service->flow, own) : 0;

		if ((share > 0) == service->was_spilling)
			continue;
		service->was_spilling = share > 0;
		changed(context, service->name, share);
	}
}

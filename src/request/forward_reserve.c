#include "base/clock.h"
#include "base/log.h"
#include "request/forward_state.h"

/* Added to each lease, because the engine rounds up to blocks. */
enum { RESERVED_TOKENS_MARGIN = 64 };

/* Duration of a memory lease, as a fraction of the time in which the memory of
 * a node that died must be free; the rest is a margin. */
#define LEASE_FRACTION 0.85

int64_t forward_kv_tokens(const forward_t *forward)
{
	const engine_profile_t *engine = &forward->service->engine;

	return engine->present ? forward->request.prompt_tokens +
					 engine->usual_output_tokens
			       : 0;
}

int64_t forward_due_us(const forward_t *forward)
{
	return forward->received_us + forward->route->target_ms * US_PER_MS;
}

static int64_t lease_us(const node_settings_t *settings)
{
	double free_ms = (double)settings->reservation_free_ms * LEASE_FRACTION;
	double max_ms = (double)settings->reservation_max_ms;

	return (int64_t)(free_ms < max_ms ? free_ms : max_ms) * US_PER_MS;
}

static int64_t shard_tokens(const forward_t *forward)
{
	return forward->request.prompt_tokens /
	       (int64_t)forward->choice.placement.count;
}

/* Counts the attempt as load of its servers while its memory is requested, so
 * that requests that come meanwhile do not choose the same memory. */
static void begin_reserving(forward_t *forward)
{
	attempt_load_begin(&forward->reserving, &forward->choice.placement,
			   forward_kv_tokens(forward),
			   forward->route->event_gap_target_ms * US_PER_MS,
			   forward_due_us(forward));
	gateway_load_changed(forward->gateway, true);
}

void forward_end_reserving(forward_t *forward)
{
	if (forward->reserving.phase == ATTEMPT_IDLE)
		return;
	attempt_load_end(&forward->reserving);
	gateway_load_changed(forward->gateway, false);
}

static size_t index_of(const choice_t *choice, const backend_t *server)
{
	size_t i;

	for (i = 0; i < choice->placement.count; i++)
		if (choice_server(choice, i) == server)
			break;
	return i;
}

/* Chooses another helper after one refused memory.
 * @return NULL: no server has room */
static backend_t *replace_helper(void *context, backend_t *refused,
				 bool may_replace)
{
	forward_t *forward = context;
	int64_t now_us = clock_monotonic_us();
	placement_query_t query = forward_placement_query(forward, now_us);
	backends_query_t wanted =
		forward_backends_query(forward, &query, now_us);
	size_t index = index_of(&forward->choice, refused);
	backend_t *server;

	backend_note_memory_refused(refused, shard_tokens(forward), now_us);
	if (!may_replace || !forward->gateway->settings.controls_load ||
	    index == forward->choice.placement.count ||
	    !choice_is_valid(&forward->choice, now_us))
		return NULL;
	server = choice_replace(&forward->choice, index,
				forward->gateway->backends, &wanted, &query);
	if (!server)
		return NULL;
	attempt_load_end(&forward->reserving);
	begin_reserving(forward);
	log_event(EVENT_LEASE_REPLACED, "request=%s refused=%s server=%s",
		  *forward->request.id ? forward->request.id : "-",
		  backend_entry(refused)->id, backend_entry(server)->id);
	return server;
}

/* The first server keeps the KV cache of its prompt shard and of the output
 * without a lease. */
void forward_reserve(forward_t *forward, reservation_done_t done)
{
	const placement_t *placement = &forward->choice.placement;
	gateway_t *gateway = forward->gateway;
	reservation_conf_t conf = {
		.loop = gateway->loop,
		.client = gateway->client,
		.id_prefix = gateway->mem_lease_prefix,
		.tokens = shard_tokens(forward) + RESERVED_TOKENS_MARGIN,
		.lease_us = lease_us(&gateway->settings),
		.list = &gateway->reservations,
		.replace = replace_helper,
	};
	backend_t *servers[PLACEMENT_SHARDS_MAX];
	size_t i;

	for (i = 1; i < placement->count; i++)
		servers[i - 1] = placement->shards[i]->server;
	forward->phase = FORWARD_RESERVING;
	if (gateway->settings.controls_load)
		begin_reserving(forward);
	forward->reservation = reservation_create(
		&conf, servers, placement->count - 1, done, forward);
	forward_set_timer(forward);
}

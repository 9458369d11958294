#include <stdio.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "platform/headers.h"
#include "platform/orders.h"
#include "request/forward_state.h"

enum {
	/* A connection takes a round trip of some ms. A lost first packet is
	 * retransmitted after 1 s, which is too late to wait for. */
	CONNECT_TIMEOUT_MS = 200,
	/* The VM of a server that is silent for this long missed 2 probes: it
	 * died, or is partitioned for longer than callers wait for an event. */
	SERVER_SILENCE_MS = 2000
};

/* Timeout of the first event, as a multiple of its predicted time. */
#define FIRST_EVENT_TIMEOUT_FACTOR 2
/* Greatest part of a predicted first event that prefill of other requests may
 * be, for the event to show the pace of the server: how far their prefill is
 * done is an estimate. */
#define PACE_BACKLOG_SHARE 0.25
/* Timeout of an idempotent request, as a multiple of its latency objective. */
enum { LOOKUP_TIMEOUT_TARGETS = 3 };

/* Lists addresses and lease ids of the helpers for the request's header. */
static void format_helpers(const forward_t *forward, char *text, size_t size)
{
	const placement_t *placement = &forward->choice.placement;
	size_t i, used = 0;

	*text = '\0';
	for (i = 1; i < placement->count && used + 1 < size; i++) {
		const backend_t *server = choice_server(&forward->choice, i);
		const char *lease_id = NULL;

		if (forward->reservation)
			lease_id = reservation_lease_id(forward->reservation,
							server);
		if (i > 1)
			text[used++] = ',';
		platform_format_helper(text + used, size - used,
				       backend_entry(server)->address,
				       lease_id);
		used += strlen(text + used);
	}
}

int64_t attempt_timeout_us(const forward_t *forward, int64_t predicted_us)
{
	int64_t timeout_us = attempt_stream_timeout_us(forward);

	switch (forward->route->kind) {
	case CALL_IDEMPOTENT:
		return forward->route->target_ms * US_PER_MS *
		       LOOKUP_TIMEOUT_TARGETS;
	case CALL_AT_MOST_ONCE:
		return 0;
	case CALL_STREAM:
		if (!forward->route->is_resumable)
			return 0;
		if (timeout_us < predicted_us * FIRST_EVENT_TIMEOUT_FACTOR)
			timeout_us = predicted_us * FIRST_EVENT_TIMEOUT_FACTOR;
		return timeout_us;
	}
	return 0;
}

void attempt_send(forward_t *forward, const char *address, char **headers)
{
	exchange_t *exchange = forward->exchange;
	char url[URL_SIZE_BYTES + 16];
	client_handler_t handler = attempt_handler;
	client_request_t request = { .method = exchange_method(exchange),
				     .url = url,
				     .target = exchange_target(exchange),
				     .headers = (const char *const *)headers,
				     .connect_timeout_ms = CONNECT_TIMEOUT_MS,
				     .at_most_once = true };

	request.unsent_timeout_ms =
		(forward->limit_us - forward->attempt->sent_us) / US_PER_MS;
	/* An at-most-once request must not run again, and its answer may still
	 * come: there is no limit on the silence of its server. */
	if (forward->route->kind != CALL_AT_MOST_ONCE)
		request.peer_silence_ms = SERVER_SILENCE_MS;
	handler.context = forward;
	snprintf(url, sizeof(url), "http://%s/", address);
	if (forward->body_bytes || !strcmp(request.method, "POST") ||
	    !strcmp(request.method, "PUT")) {
		request.body = forward->body ? forward->body : "";
		request.body_size_bytes = forward->body_bytes;
	}
	forward->attempt->call =
		client_call(forward->gateway->client, &request, &handler);
}

static void send_to_server(forward_t *forward)
{
	const backend_entry_t *entry =
		backend_entry(choice_server(&forward->choice, 0));
	char helpers[PLACEMENT_SHARDS_MAX * (URL_SIZE_BYTES + NAME_SIZE_BYTES)];
	server_request_t node_headers = {
		.server_id = entry->id,
		.account = forward->account ? forward->account->name : NULL,
		.deadline_ms = (forward->limit_us - forward->attempt->sent_us) /
			       US_PER_MS,
		.priority = forward->admission.priority,
		.last_event_id = forward->last_event_id,
		.helpers = helpers,
	};
	char **headers;

	format_helpers(forward, helpers, sizeof(helpers));
	forward_count_far(forward, METRIC_FAR_SENT_BYTES, forward->body_bytes);
	headers = platform_server_headers(forward->exchange, &node_headers);
	attempt_send(forward, entry->address, headers);
	platform_free_headers(headers);
}

/* Fills in what the first event is measured against, for the pace of the
 * server. The prediction holds where prefill that other nodes sent was a small
 * part of it, and the request need not wait for a slot. */
static void expect_first_event(const forward_t *forward, attempt_t *attempt)
{
	const placement_t *placement = &forward->choice.placement;
	const candidate_t *first = placement->shards[0];
	const engine_profile_t *engine = &forward->service->engine;
	double prefill_us = (double)placement->prefill_us[0] / first->slowdown;
	double expected_us =
		forecast_first_event_us(engine, &first->load, prefill_us);

	if (!engine->present || placement->count > 1 ||
	    first->load.prefilling + first->load.decoding >= first->slots ||
	    (double)first->load.backlog_us > expected_us * PACE_BACKLOG_SHARE)
		return;
	attempt->pace_expected_us = expected_us;
	attempt->pace_running = first->load.prefilling + first->load.decoding;
}

void attempt_start(forward_t *forward)
{
	const placement_t *placement = &forward->choice.placement;
	attempt_t *attempt = mem_calloc(1, sizeof(*attempt));
	int64_t now_us = clock_monotonic_us();
	size_t i;

	forward_end_reserving(forward);
	forward->attempt = attempt;
	attempt->sent_us = attempt->last_progress_us = now_us;
	attempt->predicted_us = placement->first_event_us;
	attempt->timeout_us =
		attempt_timeout_us(forward, placement->first_event_us);
	expect_first_event(forward, attempt);
	attempt_load_begin(&attempt->load, placement,
			   forward_kv_tokens(forward),
			   forward->route->event_gap_target_ms * US_PER_MS,
			   forward_due_us(forward));
	attempt_count_account(forward, attempt);
	for (i = 0; i < placement->count; i++) {
		backend_t *server = placement->shards[i]->server;

		backend_note_sent(server, now_us);
		load_table_add_prefill(forward->gateway->load_table,
				       backend_hash(server),
				       placement->prefill_us[i], now_us);
	}
	gateway_load_changed(forward->gateway, true);
	send_to_server(forward);
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "platform/headers.h"
#include "request/forward_state.h"

/* Two nodes may use different configurations for so long after one of them
 * applied the newer one; it takes others some ms. */
enum { VERSION_SKEW_MAX_MS = 150 };

static void start_attempt(forward_t *forward, const peer_t *peer)
{
	gateway_t *gateway = forward->gateway;
	attempt_t *attempt = mem_calloc(1, sizeof(*attempt));
	int64_t now_us = clock_monotonic_us();
	relayed_request_t node_headers = {
		.key = peer->relay_key,
		.version = gateway_routing_version(gateway),
		.version_age_ms =
			(now_us - gateway->routing_applied_us) / US_PER_MS,
		.deadline_ms = (forward->limit_us - now_us) / US_PER_MS,
		.last_event_id = forward->last_event_id,
	};
	char **headers =
		platform_relay_headers(forward->exchange, &node_headers);

	forward->attempt = attempt;
	attempt->relay_node = peer->hash;
	attempt->sent_us = attempt->last_progress_us = now_us;
	attempt->timeout_us = attempt_timeout_us(forward, 0);
	attempt_send(forward, peer->relay_address, headers);
	platform_free_headers(headers);
}

bool forward_may_relay(const forward_t *forward)
{
	return !forward->is_relayed && forward->relay_count < RELAYS_MAX &&
	       backends_is_cut_off(forward->gateway->backends,
				   forward->service->name);
}

static const peer_t *choose(const forward_t *forward)
{
	relay_query_t query = { .service = forward->service->name,
				.except = forward->relays_failed,
				.except_count = forward->relays_failed_count };

	return gateway_choose_relay(forward->gateway, &query);
}

bool forward_can_relay(const forward_t *forward)
{
	return forward_may_relay(forward) && choose(forward);
}

bool forward_relay(forward_t *forward)
{
	const peer_t *peer = forward_may_relay(forward) ? choose(forward)
							: NULL;

	if (!peer)
		return false;
	forward->relay_count++;
	metrics_add(METRIC_REQUESTS_RELAYED, 1);
	log_event(EVENT_REQUEST_RELAYED,
		  "request=%s node=%016" PRIx64
		  " address=%s service=%s after_event=%s",
		  *forward->request.id ? forward->request.id : "-", peer->hash,
		  peer->relay_address, forward->service->name,
		  *forward->last_event_id ? forward->last_event_id : "-");
	forward->phase = FORWARD_SENT;
	start_attempt(forward, peer);
	forward_set_timer(forward);
	return true;
}

relay_outcome_t relay_outcome_of(const char *value)
{
	if (!strcmp(value, RELAY_UNAVAILABLE))
		return RELAY_OUTCOME_UNAVAILABLE;
	if (!strcmp(value, RELAY_REFUSED))
		return RELAY_OUTCOME_REFUSED;
	return RELAY_OUTCOME_FAILED;
}

bool attempt_end_relay(forward_t *forward)
{
	attempt_t *attempt = forward->attempt;
	int64_t retry_after_ms = attempt->reply.retry_after_ms;

	switch (attempt->relay_outcome) {
	case RELAY_OUTCOME_ANSWERED:
		return false;
	case RELAY_OUTCOME_UNAVAILABLE:
		forward_attempt_failed(forward, FAILURE_UNREACHABLE);
		return true;
	case RELAY_OUTCOME_REFUSED:
		attempt_cancel(forward);
		forward_refuse(forward, "refused_by_node", retry_after_ms);
		return true;
	case RELAY_OUTCOME_FAILED:
		forward_attempt_failed(forward, FAILURE_BROKEN);
		return true;
	}
	return false;
}

/* @return true if the sending node's configuration and that of this node are
 * the same, or the newer one has just been applied */
static bool version_fits(const forward_t *forward)
{
	const gateway_t *gateway = forward->gateway;
	const char *value =
		exchange_header(forward->exchange, RELAY_HEADER_VERSION);
	int64_t own = gateway_routing_version(gateway), version, age_ms;

	if (!value ||
	    sscanf(value, "%" SCNd64 ",%" SCNd64, &version, &age_ms) != 2)
		return false;
	if (own > version)
		age_ms = (clock_monotonic_us() - gateway->routing_applied_us) /
			 US_PER_MS;
	return own == version || age_ms < VERSION_SKEW_MAX_MS;
}

/* A node that stops takes only the rest of a stream: the caller has a part of
 * it, so that the other node can no longer refuse it. */
static bool is_taken_at_stop(const forward_t *forward)
{
	return forward->gateway->stop == STOP_NONE ||
	       *forward->request.last_event_id;
}

bool forward_admits_relayed(forward_t *forward)
{
	gateway_t *gateway = forward->gateway;
	const char *key = exchange_header(forward->exchange, RELAY_HEADER_KEY);

	if (!gateway_relay_key_is(gateway, key))
		forward_refuse_here(forward, "relay_key", 0);
	else if (!is_taken_at_stop(forward))
		forward_refuse_here(forward, "stopping", 0);
	else if (gateway->relayed_count > gateway_relayed_max(gateway))
		forward_refuse_here(forward, "relayed_max", 0);
	else if (!version_fits(forward))
		forward_refuse_here(forward, "configuration_differs", 0);
	else
		return true;
	return false;
}

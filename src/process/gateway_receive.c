#include <inttypes.h>
#include <stdio.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/gateway_state.h"
#include "process/packet.h"

/* Text of a node's hash as the source of a line. */
enum { NODE_SOURCE_BYTES = 24 };

static const char *server_id(const gateway_t *gateway, uint32_t hash)
{
	const backend_t *server = NULL;

	while ((server = backends_next(gateway->backends, server)))
		if (backend_hash(server) == hash)
			return backend_entry(server)->id;
	return "-";
}

static void receive_rates(gateway_t *gateway, const announcement_t *message)
{
	server_rates_t *rates = backends_rates(gateway->backends);
	char per_s[RATE_TEXT_BYTES];
	size_t i;

	for (i = 0; i < message->rate_count; i++) {
		const server_rate_t *rate = &message->rates[i];

		if (!server_rates_receive(rates, rate, clock_monotonic_us()))
			continue;
		server_rate_format(rate, per_s);
		log_event(EVENT_SERVER_RATE,
			  "server=%s per_s=%s source=node-%016" PRIx64,
			  server_id(gateway, rate->server_hash), per_s,
			  message->node);
	}
}

static void receive_causes(gateway_t *gateway, const announcement_t *message)
{
	char source[NODE_SOURCE_BYTES];
	int64_t now_us;
	size_t i;

	if (!message->content_count && !message->segment_count)
		return;
	now_us = clock_monotonic_us();
	for (i = 0; i < message->content_count; i++)
		segment_table_receive(gateway->segments, CAUSE_CONTENT,
				      &message->contents[i], now_us);
	for (i = 0; i < message->segment_count; i++)
		segment_table_receive(gateway->segments, CAUSE_SEGMENT,
				      &message->segments[i], now_us);
	snprintf(source, sizeof(source), "node-%016" PRIx64, message->node);
	gateway_log_blocked(gateway, source);
}

static void receive_promises(gateway_t *gateway, const announcement_t *message)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	if (!gateway->settings.controls_load)
		return;
	for (i = 0; i < message->promise_count; i++)
		promises_receive(gateway->promises, &message->promises[i],
				 now_us);
}

static bool is_listed(const gateway_t *gateway, uint64_t node)
{
	size_t i;

	for (i = 0; i < gateway->peer_count; i++)
		if (gateway->peers[i].hash == node)
			return true;
	return false;
}

/* @return true if something crashes servers, or may */
static bool knows_causes(const gateway_t *gateway)
{
	size_t suspects;

	if (segment_table_count(gateway->segments, CAUSE_CONTENT, &suspects))
		return true;
	return segment_table_count(gateway->segments, CAUSE_SEGMENT,
				   &suspects) ||
	       suspects;
}

/* Tells a node that started lately what crashes servers, before it is listed
 * here. */
static void inform_new_node(gateway_t *gateway, const announcement_t *message)
{
	peer_t peer = { .hash = message->node };

	if (!*message->address || is_listed(gateway, message->node) ||
	    !knows_causes(gateway))
		return;
	mem_strlcpy(peer.address, message->address, sizeof(peer.address));
	gateway_announce_to(gateway, &peer);
}

static void receive_paces(gateway_t *gateway, const announcement_t *message)
{
	pace_table_t *paces = backends_paces(gateway->backends);
	size_t i;

	for (i = 0; paces && i < message->pace_count; i++)
		pace_receive(paces, message->node, &message->paces[i],
			     clock_monotonic_us());
}

static void receive_statements(gateway_t *gateway,
			       const announcement_t *message)
{
	receive_paces(gateway, message);
	account_load_receive(gateway->accounts, message, clock_monotonic_us());
	receive_rates(gateway, message);
	receive_causes(gateway, message);
	receive_promises(gateway, message);
	inform_new_node(gateway, message);
}

static void receive_load(gateway_t *gateway, const announcement_t *message)
{
	if (load_table_receive(gateway->load_table, message,
			       clock_monotonic_us(), clock_boot_us()))
		receive_statements(gateway, message);
	else
		metrics_add(METRIC_PEER_INCARNATION_OLD, 1);
}

void gateway_on_datagram(void *context, const uint8_t *data, size_t size)
{
	gateway_t *gateway = context;
	packet_t packet;

	if (!packet_decode(&packet, data, size)) {
		metrics_add(METRIC_PEER_MALFORMED, 1);
		return;
	}
	metrics_add(METRIC_PEER_RECEIVED_BYTES, (int64_t)size);
	switch (packet.type) {
	case PACKET_LOAD:
		receive_load(gateway, &packet.as.load);
		break;
	case PACKET_VIEW_UPDATE:
		gateway_receive_update(gateway, &packet.as.update);
		break;
	case PACKET_USAGE:
		duties_receive_usage(gateway->duties, &packet.as.usage);
		break;
	}
	packet_clear(&packet);
}

#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/gateway_state.h"
#include "process/packet.h"

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

static void receive_segments(gateway_t *gateway, const announcement_t *message)
{
	size_t i;

	for (i = 0; i < message->segment_count; i++) {
		uint64_t blocked = segment_table_receive(gateway->segments,
							 &message->segments[i],
							 clock_monotonic_us());

		if (blocked)
			log_event(EVENT_SEGMENT_BLOCKED,
				  "segment=%" PRIx64 " source=node-%016" PRIx64,
				  blocked, message->node);
	}
}

static bool is_listed(const gateway_t *gateway, uint64_t node)
{
	size_t i;

	for (i = 0; i < gateway->peer_count; i++)
		if (gateway->peers[i].hash == node)
			return true;
	return false;
}

/* Tells a node that started lately which segments crash servers, before it is
 * listed here. */
static void inform_new_node(gateway_t *gateway, const announcement_t *message)
{
	peer_t peer = { .hash = message->node };
	size_t suspects;

	if (!*message->address || is_listed(gateway, message->node) ||
	    segment_table_count(gateway->segments, &suspects) + suspects == 0)
		return;
	mem_strlcpy(peer.address, message->address, sizeof(peer.address));
	gateway_announce_to(gateway, &peer);
}

static void receive_statements(gateway_t *gateway,
			       const announcement_t *message)
{
	receive_rates(gateway, message);
	receive_segments(gateway, message);
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

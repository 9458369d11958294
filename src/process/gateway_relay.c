#include <sodium.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "process/gateway_state.h"
#include "request/forward.h"

/* A node to which a relayed request failed gets no others for this time. */
#define RELAY_PAUSE_US US_PER_S
/* A node that was silent for longer gets no relayed requests. */
#define RELAY_SILENCE_MAX_US (2 * US_PER_S)
enum {
	/* Announcements in a row that may be lost, or late, before a node gets
	 * relayed requests only if no other one is left. */
	ANNOUNCEMENTS_MISSED_MAX = 3,
	/* Nodes that are drawn before all are looked through: most nodes will
	 * do in a partition that cuts off a minority. */
	DRAWS_MAX = 8,
	/* A relayed request takes two descriptors here; this share of all of
	 * them is for relayed requests. */
	DESCRIPTORS_DIVISOR = 8,
	/* Connections beyond the limit of requests, so that these are refused
	 * in a way that the other node understands. */
	CONNECTIONS_SPARE = 64
};

int32_t gateway_relayed_max(const gateway_t *gateway)
{
	return gateway->settings.descriptors_max / DESCRIPTORS_DIVISOR;
}

bool gateway_relay_start(gateway_t *gateway, err_t *err)
{
	listener_handler_t handler = forward_relayed_handler;
	listener_conf_t conf = {
		.address = gateway->settings.relay_address,
		.connections_max =
			gateway_relayed_max(gateway) + CONNECTIONS_SPARE,
	};
	uint8_t key[RELAY_KEY_SIZE_BYTES / 2];

	if (!*gateway->settings.relay_address)
		return true;
	randombytes_buf(key, sizeof(key));
	sodium_bin2hex(gateway->relay_key, sizeof(gateway->relay_key), key,
		       sizeof(key));
	handler.context = gateway;
	gateway->relayed = listener_create(gateway->loop, &conf, &handler, err);
	return gateway->relayed;
}

void gateway_relay_stop(gateway_t *gateway)
{
	listener_destroy(gateway->relayed);
}

bool gateway_relay_key_is(const gateway_t *gateway, const char *key)
{
	return key && strlen(key) == RELAY_KEY_SIZE_BYTES - 1 &&
	       !sodium_memcmp(key, gateway->relay_key,
			      RELAY_KEY_SIZE_BYTES - 1);
}

void gateway_note_relay_failed(gateway_t *gateway, uint64_t node)
{
	relay_failure_t *failure =
		&gateway->relay_failures[gateway->relay_failure_count++ %
					 RELAY_FAILURES_MAX];

	*failure = (relay_failure_t){ node, clock_monotonic_us() };
}

static bool has_failed(const gateway_t *gateway, uint64_t node, int64_t now_us)
{
	size_t i;

	for (i = 0; i < RELAY_FAILURES_MAX; i++)
		if (gateway->relay_failures[i].node == node &&
		    now_us - gateway->relay_failures[i].at_us < RELAY_PAUSE_US)
			return true;
	return false;
}

static bool is_tried(const relay_query_t *query, uint64_t node)
{
	size_t i;

	for (i = 0; i < query->except_count; i++)
		if (query->except[i] == node)
			return true;
	return false;
}

static bool is_suitable(const gateway_t *gateway, const peer_t *peer,
			const relay_query_t *query, int64_t silence_max_us,
			int64_t now_us)
{
	return *peer->relay_address &&
	       region_has(&gateway->settings.region, peer->data_centre) &&
	       !is_tried(query, peer->hash) &&
	       !has_failed(gateway, peer->hash, now_us) &&
	       load_table_reaches(gateway->load_table, peer->hash,
				  load_table_hash(query->service),
				  silence_max_us, now_us);
}

static const peer_t *draw(gateway_t *gateway, const relay_query_t *query,
			  int64_t silence_max_us)
{
	int64_t now_us = clock_monotonic_us();
	size_t i, first;

	for (i = 0; i < DRAWS_MAX; i++) {
		const peer_t *peer = &gateway->peers[gateway_random(gateway) %
						     gateway->peer_count];

		if (is_suitable(gateway, peer, query, silence_max_us, now_us))
			return peer;
	}
	first = gateway_random(gateway) % gateway->peer_count;
	for (i = 0; i < gateway->peer_count; i++) {
		const peer_t *peer =
			&gateway->peers[(first + i) % gateway->peer_count];

		if (is_suitable(gateway, peer, query, silence_max_us, now_us))
			return peer;
	}
	return NULL;
}

const peer_t *gateway_choose_relay(gateway_t *gateway,
				   const relay_query_t *query)
{
	int64_t silence_max_us =
		gateway_announce_pause_us(gateway) * ANNOUNCEMENTS_MISSED_MAX;
	const peer_t *peer;

	if (!gateway->peer_count)
		return NULL;
	peer = draw(gateway, query, silence_max_us);
	/* All may seem silent because this process was delayed. */
	return peer ? peer : draw(gateway, query, RELAY_SILENCE_MAX_US);
}

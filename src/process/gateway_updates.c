#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "platform/config.h"
#include "process/gateway_state.h"
#include "process/packet.h"

/* Publishers of a region: nodes that watch the store for the others. Two, in
 * different data centres, so that subscribers do not notice the loss of one. */
enum { PUBLISHERS = 2 };
/* Nodes of the region that rank next after the publishers: they become
 * publishers when no view updates arrive. */
enum { STANDBYS = 2 };
/* A single failure may be a lost answer; more in a row show an outage. */
enum { OUTAGE_FAILURES = 2 };
/* Standby nodes watch the store when no view update arrived for this long. */
#define UPDATE_TIMEOUT_US (1300 * US_PER_MS)
/* Subscribers watch the store themselves when no view update arrived during
 * this many announcements, but not before the standby nodes had the time to
 * take over. */
enum { ANNOUNCEMENTS_MISSED = 2 };
/* In a region with fewer nodes, each node watches with long calls: this costs
 * the platform less than two publishers with short calls. */
enum { PUBLISH_NODES_MIN = 10 };
/* Changes wait this long for further changes, so that each subscriber receives
 * few datagrams. */
#define UPDATE_DELAY_S 0.05
/* Share of the bound for the configuration during which a node waits for
 * further versions before it fetches one. */
#define FETCH_DELAY_SHARE 0.35
/* Changes that no announcement has acknowledged are sent again after this
 * time. */
#define RESEND_US (500 * US_PER_MS)
/* Space for changes in one datagram. */
enum { CHANGES_SIZE_MAX_BYTES = 1000 };
/* Age of a view in a datagram that holds only some of the changes and so
 * confirms nothing. */
#define AGE_UNKNOWN_US (INT64_C(1) << 60)

static uint64_t own_hash(const gateway_t *gateway)
{
	return load_table_node_hash(gateway->settings.node_id);
}

static size_t rank(const gateway_t *gateway, bool reachable_only)
{
	node_rank_t own = {
		.data_centre = gateway->settings.data_centre,
		.node = own_hash(gateway),
		.link_mbps = (int64_t)gateway->settings.link_mbps,
	};

	return load_table_rank(gateway->load_table, &gateway->settings.region,
			       &own, reachable_only, clock_monotonic_us());
}

bool gateway_in_outage(const view_t *view)
{
	return view->failures >= OUTAGE_FAILURES;
}

bool gateway_reaches_store(const gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		if (gateway_in_outage(&gateway->views[i]))
			return false;
	return platform_available(gateway->platform);
}

static bool received_update_within(const gateway_t *gateway, int64_t silence_us)
{
	return gateway->last_update_us &&
	       clock_monotonic_us() - gateway->last_update_us < silence_us;
}

bool gateway_is_publisher(const gateway_t *gateway)
{
	size_t place;

	if (!gateway_reaches_store(gateway))
		return false;
	place = rank(gateway, true);
	return place < PUBLISHERS ||
	       (place < PUBLISHERS + STANDBYS && gateway->last_update_us &&
		!received_update_within(gateway, UPDATE_TIMEOUT_US));
}

static size_t live_peers(const gateway_t *gateway)
{
	return load_table_live_count(gateway->load_table,
				     &gateway->settings.region,
				     clock_monotonic_us());
}

static bool is_large_fleet(const gateway_t *gateway)
{
	return live_peers(gateway) + 1 >= PUBLISH_NODES_MIN;
}

/* @return nodes of this node's region in the list of nodes, with this node */
static size_t listed_in_region(const gateway_t *gateway)
{
	size_t i, count = 1;

	for (i = 0; i < gateway->peer_count; i++)
		count += region_has(&gateway->settings.region,
				    gateway->peers[i].data_centre);
	return count;
}

bool gateway_is_partitioned(const gateway_t *gateway)
{
	return listed_in_region(gateway) >= PUBLISH_NODES_MIN &&
	       !live_peers(gateway);
}

bool gateway_retries_for_others(const gateway_t *gateway)
{
	return !is_large_fleet(gateway) || rank(gateway, false) < PUBLISHERS;
}

bool gateway_has_subscribers(const gateway_t *gateway)
{
	return is_large_fleet(gateway) && gateway_is_publisher(gateway);
}

int64_t gateway_bound_us(const view_t *view)
{
	const node_settings_t *settings = &view->gateway->settings;

	switch (view->kind) {
	case PLATFORM_ROUTING:
		return settings->config_apply_ms * US_PER_MS;
	case PLATFORM_SERVERS:
		return settings->drain_ms * US_PER_MS;
	case PLATFORM_EVACUATIONS:
	default:
		return settings->evacuate_ms * US_PER_MS;
	}
}

bool gateway_receives_updates(const gateway_t *gateway)
{
	int64_t silence_us =
		gateway_announce_pause_us(gateway) * ANNOUNCEMENTS_MISSED;

	return received_update_within(gateway, silence_us > UPDATE_TIMEOUT_US
						       ? silence_us
						       : UPDATE_TIMEOUT_US);
}

bool gateway_is_subscriber(const view_t *view)
{
	const gateway_t *gateway = view->gateway;

	return gateway_receives_updates(gateway) &&
	       view_is_fresh(clock_boot_us() - view->confirmed_boot_us,
			     gateway_bound_us(view)) &&
	       is_large_fleet(gateway) && !gateway_is_publisher(gateway);
}

/* @return the rest of the grace period of servers without an entry; 0: over */
static int64_t grace_left_ms(int64_t grace_until_us, int64_t now_us)
{
	return grace_until_us > now_us ? (grace_until_us - now_us) / US_PER_MS
				       : 0;
}

/* @return the content of an object as text, which the caller frees; NULL: none.
 * An entry that names no server may be too long for a datagram, and its
 * content does not matter. */
static char *content_text(const view_t *view, const platform_object_t *object)
{
	backend_entry_t entry;

	if (view->kind == PLATFORM_SERVERS &&
	    !platform_decode_server(object, &entry))
		return NULL;
	return json_dumps(object->spec, JSON_COMPACT | JSON_ENCODE_ANY);
}

void gateway_log_change(view_t *view, const platform_object_t *object,
			int64_t revision, int64_t grace_until_us)
{
	int64_t now_us = clock_monotonic_us();
	char *spec;
	view_change_t change = {
		.name = (char *)object->name,
		.revision = revision,
		.deleted = object->deleted,
		.grace_ms = grace_left_ms(grace_until_us, now_us),
	};

	/* The routing configuration is too large for a datagram: view updates
	 * carry its version alone. */
	if (view->kind == PLATFORM_ROUTING)
		return;
	spec = content_text(view, object);
	change.spec = spec ? spec : "null";
	change_log_add(view->log, &change, now_us);
	free(spec);
}

static void send_update(gateway_t *gateway, const peer_t *peer,
			view_update_t *update)
{
	packet_t packet = { .type = PACKET_VIEW_UPDATE, .as.update = *update };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = packet_encode(&packet, data, sizeof(data));

	if (size)
		datagram_send(gateway->datagram, peer->address, data, size);
	update->view_count = 0;
}

/* @return the revision after which a receiver needs changes; 0: the receiver
 * has no view */
static int64_t known_revision(peer_t *peer, const load_timestamps_t *last,
			      size_t index)
{
	int64_t known = last->known_revisions[index];
	int64_t now_us = clock_monotonic_us();

	if (known && known < peer->sent_revisions[index] &&
	    now_us - peer->unacked_since_us[index] < RESEND_US)
		return peer->sent_revisions[index];
	peer->unacked_since_us[index] = now_us;
	return known;
}

/* Sends the changes of a view that the receiver lacks, in as many datagrams as
 * needed. */
static void send_changes(gateway_t *gateway, size_t index, peer_t *peer,
			 const load_timestamps_t *last, view_update_t *update)
{
	const view_t *view = &gateway->views[index];
	int64_t known = known_revision(peer, last, index);
	size_t count = change_log_count(view->log);
	size_t next = known ? change_log_find(view->log, known) : count;

	if (next < count)
		peer->sent_revisions[index] = view->revision;
	do {
		view_delta_t *sent = &update->views[update->view_count++];

		*sent = (view_delta_t){ .kind = (uint32_t)view->kind,
					.age_us = last->received_boot_us -
						  view->confirmed_boot_us };
		next = change_log_fill(view->log, next, CHANGES_SIZE_MAX_BYTES,
				       view->revision, sent);
		if (next < count)
			sent->age_us = AGE_UNKNOWN_US;
		if (view->kind == PLATFORM_ROUTING && gateway->routing)
			sent->version = routing_version(gateway->routing);
		if (sent->change_count ||
		    update->view_count == UPDATE_VIEWS_MAX)
			send_update(gateway, peer, update);
	} while (next < count);
}

static void publish_to(gateway_t *gateway, peer_t *peer)
{
	int64_t now_us = clock_monotonic_us();
	view_update_t update = { .node = own_hash(gateway),
				 .grace_ms = grace_left_ms(
					 gateway->grace_until_us, now_us) };
	load_timestamps_t last;
	size_t i;

	if (!load_table_find_timestamps(gateway->load_table, peer->hash, now_us,
					&last))
		return;
	update.echoed_boot_us = last.sent_boot_us;
	for (i = 0; i < KINDS_WATCHED; i++)
		send_changes(gateway, i, peer, &last, &update);
	if (update.view_count)
		send_update(gateway, peer, &update);
}

/* @return true if all of this node's own watches are answered, and others
 * subscribe: only such a node sends view updates */
static bool can_publish(const gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		if (!gateway->views[i].listed || gateway->views[i].subscribed ||
		    gateway->views[i].failures)
			return false;
	return gateway_has_subscribers(gateway);
}

void gateway_send_updates(gateway_t *gateway)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		change_log_prune(gateway->views[i].log, now_us);
	if (!can_publish(gateway))
		return;
	for (i = 0; i < gateway->peer_count; i++)
		if (region_has(&gateway->settings.region,
			       gateway->peers[i].data_centre))
			publish_to(gateway, &gateway->peers[i]);
}

static void on_update_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_send_updates(timer->data);
}

void gateway_schedule_updates(gateway_t *gateway)
{
	if (ev_is_active(&gateway->update_timer) ||
	    !gateway_has_subscribers(gateway))
		return;
	ev_timer_init(&gateway->update_timer, on_update_timer, UPDATE_DELAY_S,
		      0.);
	gateway->update_timer.data = gateway;
	ev_timer_start(gateway->loop, &gateway->update_timer);
}

static void apply_changes(view_t *view, const view_delta_t *delta)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < delta->change_count; i++) {
		const view_change_t *change = &delta->changes[i];
		platform_object_t object = { .version = change->revision,
					     .deleted = change->deleted };
		int64_t grace_until_us =
			change->grace_ms ? now_us + change->grace_ms * US_PER_MS
					 : 0;

		if (change->revision <= view->revision)
			continue;
		mem_strlcpy(object.name, change->name, sizeof(object.name));
		object.spec = json_loads(change->spec, JSON_DECODE_ANY, NULL);
		gateway_apply(view, &object, grace_until_us);
		json_decref(object.spec);
	}
	view->revision = delta->revision;
	change_log_reset(view->log, view->revision);
}

/* @return a random delay, so that versions in quick succession are fetched
 * once, and not by all nodes at the same moment */
static int64_t fetch_delay_ms(const view_t *view)
{
	int64_t longest_ms = (int64_t)((double)gateway_bound_us(view) /
				       US_PER_MS * FETCH_DELAY_SHARE);

	return longest_ms / 2 + (int64_t)(gateway_random(view->gateway) %
					  (uint64_t)(longest_ms / 2 + 1));
}

/* @return false if changes in between are missing: they are sent again, or this
 * node's own watch returns them */
static bool apply_delta(view_t *view, const view_delta_t *received,
			delta_result_t result)
{
	if (result == DELTA_APPLICABLE)
		apply_changes(view, received);
	return result == DELTA_APPLICABLE || result == DELTA_CURRENT;
}

/* Notes that a view update announced objects that this node has to fetch. */
static void note_announced(view_t *view, uint64_t node,
			   const view_delta_t *received)
{
	view->told_by = node;
	view->told_us = clock_monotonic_us();
	log_event(EVENT_VIEW_ANNOUNCED,
		  "kind=%d revision=%" PRId64 " own=%" PRId64
		  " version=%" PRId64 " own_version=%" PRId64
		  " node=node-%016" PRIx64,
		  (int)view->kind, received->revision, view->revision,
		  received->version, gateway_routing_version(view->gateway),
		  node);
}

static void receive_view(gateway_t *gateway, view_t *view,
			 const view_update_t *update,
			 const view_delta_t *received)
{
	delta_result_t result;

	/* A view that this node lists or watches itself is more recent. */
	if (!view->listed || view->calling ||
	    (!view->subscribed && !view->failures))
		return;
	result = view_delta_compare(received, view->revision);
	if (result == DELTA_EARLIER)
		return;
	if (result == DELTA_LATER ||
	    (view->kind == PLATFORM_ROUTING &&
	     received->version > gateway_routing_version(gateway))) {
		note_announced(view, update->node, received);
		gateway_relist(view, fetch_delay_ms(view));
		return;
	}
	/* The routing configuration is complete if its version is. */
	if (view->kind == PLATFORM_ROUTING
		    ? received->version < gateway_routing_version(gateway)
		    : !apply_delta(view, received, result))
		return;
	gateway_confirm(view, view_delta_confirmed_boot_us(update, received,
							   clock_boot_us()));
	if (view->failures)
		gateway_end_outage(view);
}

static bool has_changes(const view_update_t *update)
{
	size_t i;

	for (i = 0; i < update->view_count; i++)
		if (update->views[i].change_count)
			return true;
	return false;
}

void gateway_receive_update(gateway_t *gateway, const view_update_t *update)
{
	int64_t now_us = clock_monotonic_us();
	bool silent = !gateway_receives_updates(gateway);
	size_t i, j;

	gateway->last_update_us = now_us;
	gateway->received_grace_until_us =
		now_us + update->grace_ms * US_PER_MS;
	/* Other nodes reach the platform: retry without further delay. */
	if (silent)
		gateway_retry_views(gateway);
	for (i = 0; i < update->view_count; i++)
		for (j = 0; j < KINDS_WATCHED; j++)
			if (gateway->views[j].kind == update->views[i].kind)
				receive_view(gateway, &gateway->views[j],
					     update, &update->views[i]);
	if (has_changes(update))
		gateway_acknowledge(gateway, update->node);
}

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/gateway_state.h"
#include "process/packet.h"

/* Nodes of a region that watch the platform for the others; two in different
 * data centres, so that the loss of one is not noticed. */
enum { WATCHERS = 2 };
/* The next ones in the order stand by: they go on when news stop. */
enum { STANDBYS = 2 };
/* One lost answer says little; more failures in a row show an outage. */
enum { OUTAGE_FAILURES = 2 };
/* Nodes that stand by watch when they have heard no news for this long. */
#define NEWS_MISSED_US (1300 * US_PER_MS)
/* Others watch themselves after this many announcements without news, but not
 * before those that stand by had the time to go on. */
enum { ANNOUNCEMENTS_MISSED = 2 };
/* Fewer nodes in a region cost the platform less when each watches with
 * long calls than when two watch with short ones. */
enum { NODES_MIN = 10 };
/* Changes wait this long for further ones, so that each follower gets few
 * datagrams. */
#define NEWS_PAUSE_S 0.05
/* Part of the bound for the configuration that a node waits for further
 * versions before it fetches one. */
#define FETCH_DELAY_SHARE 0.35
/* What was sent and is not yet acknowledged by an announcement is sent again
 * after this time. */
#define RESEND_US (500 * US_PER_MS)
/* Bytes of a datagram that changes may take. */
enum { CHANGES_SIZE_MAX_BYTES = 1000 };
/* Says that a part of the changes confirms nothing. */
#define AGE_UNKNOWN_US (INT64_C(1) << 60)

static uint64_t own_hash(const gateway_t *gateway)
{
	return load_table_node_hash(gateway->settings.node_id);
}

static size_t rank(const gateway_t *gateway, bool sound)
{
	node_rank_t own = {
		.data_centre = gateway->settings.data_centre,
		.node = own_hash(gateway),
		.link_mbps = (int64_t)gateway->settings.link_mbps,
	};

	return load_table_rank(gateway->share, &gateway->settings.region, &own,
			       sound, clock_monotonic_us());
}

bool gateway_is_outage(const view_t *view)
{
	return view->failures >= OUTAGE_FAILURES;
}

bool gateway_reaches_store(const gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		if (gateway_is_outage(&gateway->views[i]))
			return false;
	return platform_available(gateway->platform);
}

static bool hears_news_within(const gateway_t *gateway, int64_t silence_us)
{
	return gateway->news_us &&
	       clock_monotonic_us() - gateway->news_us < silence_us;
}

bool gateway_is_publisher(const gateway_t *gateway)
{
	size_t place;

	if (!gateway_reaches_store(gateway))
		return false;
	place = rank(gateway, true);
	return place < WATCHERS ||
	       (place < WATCHERS + STANDBYS && gateway->news_us &&
		!hears_news_within(gateway, NEWS_MISSED_US));
}

static size_t live_others(const gateway_t *gateway)
{
	return load_table_live_count(gateway->share, &gateway->settings.region,
				     clock_monotonic_us());
}

static bool are_many(const gateway_t *gateway)
{
	return live_others(gateway) + 1 >= NODES_MIN;
}

bool gateway_is_cut_off(const gateway_t *gateway)
{
	return gateway->nodes >= NODES_MIN && !live_others(gateway);
}

bool gateway_asks_for_others(const gateway_t *gateway)
{
	return !are_many(gateway) || rank(gateway, false) < WATCHERS;
}

bool gateway_is_followed(const gateway_t *gateway)
{
	return are_many(gateway) && gateway_is_publisher(gateway);
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

bool gateway_hears_news(const gateway_t *gateway)
{
	int64_t silence_us =
		gateway_announce_pause_us(gateway) * ANNOUNCEMENTS_MISSED;

	return hears_news_within(gateway, silence_us > NEWS_MISSED_US
						  ? silence_us
						  : NEWS_MISSED_US);
}

bool gateway_follows(const view_t *view)
{
	const gateway_t *gateway = view->gateway;

	return gateway_hears_news(gateway) &&
	       news_is_fresh(clock_boot_us() - view->confirmed_boot_us,
			     gateway_bound_us(view)) &&
	       are_many(gateway) && !gateway_is_publisher(gateway);
}

/* Time for which a server without an entry is kept, from now. */
static int64_t keep_ms(int64_t keep_until_us, int64_t now_us)
{
	return keep_until_us > now_us ? (keep_until_us - now_us) / US_PER_MS
				      : 0;
}

void gateway_log_change(view_t *view, const platform_object_t *object,
			int64_t revision, int64_t keep_until_us)
{
	int64_t now_us = clock_monotonic_us();
	char *spec;
	news_change_t change = {
		.name = (char *)object->name,
		.revision = revision,
		.deleted = object->deleted,
		.keep_ms = keep_ms(keep_until_us, now_us),
	};

	/* The routing configuration is too large: its version is told. */
	if (view->kind == PLATFORM_ROUTING)
		return;
	spec = json_dumps(object->spec, JSON_COMPACT | JSON_ENCODE_ANY);
	change.spec = spec ? spec : "null";
	news_log_add(view->log, &change, now_us);
	free(spec);
}

static void send_views(gateway_t *gateway, const peer_t *peer, news_t *news)
{
	packet_t packet = { .type = PACKET_NEWS, .as.news = *news };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = packet_encode(&packet, data, sizeof(data));

	if (size)
		datagram_send(gateway->datagram, peer->address, data, size);
	news->view_count = 0;
}

/* The revision from which a receiver needs changes; 0: it has no view. */
static int64_t known_revision(peer_t *peer, const load_echo_t *echo,
			      size_t index)
{
	int64_t known = echo->known_revisions[index];
	int64_t now_us = clock_monotonic_us();

	if (known && known < peer->told_revisions[index] &&
	    now_us - peer->told_us[index] < RESEND_US)
		return peer->told_revisions[index];
	peer->told_us[index] = now_us;
	return known;
}

/* Sends what the receiver lacks of a view, in as many datagrams as it needs. */
static void send_view(gateway_t *gateway, size_t index, peer_t *peer,
		      const load_echo_t *echo, news_t *news)
{
	const view_t *view = &gateway->views[index];
	int64_t known = known_revision(peer, echo, index);
	size_t count = news_log_count(view->log);
	size_t next = known ? news_log_find(view->log, known) : count;

	if (next < count)
		peer->told_revisions[index] = view->revision;
	do {
		news_view_t *sent = &news->views[news->view_count++];

		*sent = (news_view_t){ .kind = (uint32_t)view->kind,
				       .age_us = echo->received_boot_us -
						 view->confirmed_boot_us };
		next = news_log_fill(view->log, next, CHANGES_SIZE_MAX_BYTES,
				     view->revision, sent);
		if (next < count)
			sent->age_us = AGE_UNKNOWN_US;
		if (view->kind == PLATFORM_ROUTING && gateway->routing)
			sent->version = routing_version(gateway->routing);
		if (sent->change_count || news->view_count == NEWS_VIEWS_MAX)
			send_views(gateway, peer, news);
	} while (next < count);
}

static void send_news_to(gateway_t *gateway, peer_t *peer)
{
	int64_t now_us = clock_monotonic_us();
	news_t news = { .node = own_hash(gateway),
			.keep_ms = keep_ms(gateway->keep_until_us, now_us) };
	load_echo_t echo;
	size_t i;

	if (!load_table_find_echo(gateway->share, peer->hash, now_us, &echo))
		return;
	news.echo_boot_us = echo.sent_boot_us;
	for (i = 0; i < KINDS_WATCHED; i++)
		send_view(gateway, i, peer, &echo, &news);
	if (news.view_count)
		send_views(gateway, peer, &news);
}

/* Only a node whose own watches are answered tells others. */
static bool has_news(const gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		if (!gateway->views[i].listed || gateway->views[i].following ||
		    gateway->views[i].failures)
			return false;
	return gateway_is_followed(gateway);
}

void gateway_send_news(gateway_t *gateway)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		news_log_prune(gateway->views[i].log, now_us);
	if (!has_news(gateway))
		return;
	for (i = 0; i < gateway->peer_count; i++)
		if (region_has(&gateway->settings.region,
			       gateway->peers[i].data_centre))
			send_news_to(gateway, &gateway->peers[i]);
}

static void on_news(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_send_news(timer->data);
}

void gateway_news_due(gateway_t *gateway)
{
	if (ev_is_active(&gateway->news) || !gateway_is_followed(gateway))
		return;
	ev_timer_init(&gateway->news, on_news, NEWS_PAUSE_S, 0.);
	gateway->news.data = gateway;
	ev_timer_start(gateway->loop, &gateway->news);
}

static void apply_changes(view_t *view, const news_view_t *news)
{
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < news->change_count; i++) {
		const news_change_t *change = &news->changes[i];
		platform_object_t object = { .version = change->revision,
					     .deleted = change->deleted };
		int64_t keep_us = change->keep_ms
					  ? now_us + change->keep_ms * US_PER_MS
					  : 0;

		if (change->revision <= view->revision)
			continue;
		mem_strlcpy(object.name, change->name, sizeof(object.name));
		object.spec = json_loads(change->spec, JSON_DECODE_ANY, NULL);
		gateway_apply(view, &object, keep_us);
		json_decref(object.spec);
	}
	view->revision = news->revision;
	news_log_reset(view->log, view->revision);
}

/* Versions that follow each other are fetched once, and not by all nodes at the
 * same moment. */
static int64_t fetch_delay_ms(const view_t *view)
{
	int64_t most_ms = (int64_t)((double)gateway_bound_us(view) / US_PER_MS *
				    FETCH_DELAY_SHARE);

	return most_ms / 2 + (int64_t)(gateway_random(view->gateway) %
				       (uint64_t)(most_ms / 2 + 1));
}

static void receive_view(gateway_t *gateway, view_t *view, const news_t *news,
			 const news_view_t *received)
{
	/* What is not read, or watched, is more recent. */
	if (!view->listed || view->calling ||
	    (!view->following && !view->failures))
		return;
	if (view->kind == PLATFORM_ROUTING) {
		if (received->version > gateway_routing_version(gateway)) {
			gateway_relist(view, fetch_delay_ms(view));
			return;
		}
	} else {
		switch (news_compare(received, view->revision)) {
		case NEWS_CURRENT:
			break;
		case NEWS_CHANGES:
			apply_changes(view, received);
			break;
		case NEWS_GAP:
			/* What is between comes again, or is watched for. */
			return;
		}
	}
	gateway_confirm(view, news_confirmed_boot_us(news, received,
						     clock_boot_us()));
	if (view->failures)
		gateway_end_outage(view);
}

static bool has_changes(const news_t *news)
{
	size_t i;

	for (i = 0; i < news->view_count; i++)
		if (news->views[i].change_count)
			return true;
	return false;
}

void gateway_receive_news(gateway_t *gateway, const news_t *news)
{
	int64_t now_us = clock_monotonic_us();
	bool silent = !gateway_hears_news(gateway);
	size_t i, j;

	gateway->news_us = now_us;
	gateway->told_keep_until_us = now_us + news->keep_ms * US_PER_MS;
	/* Others reach the platform: no need to wait any longer. */
	if (silent)
		gateway_retry_views(gateway);
	for (i = 0; i < news->view_count; i++)
		for (j = 0; j < KINDS_WATCHED; j++)
			if (gateway->views[j].kind == news->views[i].kind)
				receive_view(gateway, &gateway->views[j], news,
					     &news->views[i]);
	if (has_changes(news))
		gateway_acknowledge(gateway, news->node);
}

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/gateway_state.h"
#include "process/packet.h"

/* Datagrams that one node sends to all peers together in a second, unless its
 * load grows; limits the processor time in a large fleet. */
enum { DATAGRAMS_PER_S = 250 };
/* Shortest pause between two announcements. */
#define ANNOUNCE_MIN_S 0.02
/* Least share of the longest pause after which an unchanged announcement is
 * repeated. The share is random, so that nodes that started together do not
 * fall silent together. */
#define ANNOUNCE_IDLE_MIN_SHARE 0.7
/* An unchanged announcement is repeated after this time, or later in a large
 * fleet: silence shows that a node, or its data centre, cannot be reached. */
#define ANNOUNCE_IDLE_US (200 * US_PER_MS)

/* The list of nodes is read at the start, again after REGISTRY_FIRST_S, and
 * then every REGISTRY_S. Nodes that start together have written their entries
 * when the second read begins, which therefore asks for an up-to-date list; the
 * other reads accept a list that is a little old. */
#define REGISTRY_FIRST_S 0.7
#define REGISTRY_S 5.0
/* After the store came back from a copy, nodes write their entries again within
 * this time, and others read them. */
#define RESTORED_SPREAD_S 1.0
#define KEEP_PEERS_US (12 * US_PER_S)
/* All nodes list a node that started this long ago. */
#define NEW_NODE_US (10 * US_PER_S)

static double announce_pause_s(const gateway_t *gateway)
{
	double pause_s = (double)gateway->peer_count / DATAGRAMS_PER_S;

	return pause_s > ANNOUNCE_MIN_S ? pause_s : ANNOUNCE_MIN_S;
}

int64_t gateway_announce_pause_us(const gateway_t *gateway)
{
	int64_t pause_us = (int64_t)(announce_pause_s(gateway) * US_PER_S);

	return pause_us > ANNOUNCE_IDLE_US ? pause_us : ANNOUNCE_IDLE_US;
}

/* Sorts the load that occupies servers longest to the front. */
static int compare_load(const void *left, const void *right)
{
	const load_item_t *a = left, *b = right;

	if (a->backlog_us != b->backlog_us)
		return a->backlog_us > b->backlog_us ? -1 : 1;
	return b->decoding - a->decoding;
}

static size_t list_load(gateway_t *gateway, load_item_t *items, size_t max,
			int64_t now_us)
{
	backend_t *server = NULL;
	size_t count = 0;

	while (count < max &&
	       (server = backends_next(gateway->backends, server))) {
		server_load_t load = backend_load(server, NULL, NULL, now_us);

		if (!load.prefilling && !load.decoding)
			continue;
		items[count++] = (load_item_t){
			.server_hash = backend_hash(server),
			.prefilling = load.prefilling,
			.decode_pending = load.decode_pending,
			.decoding = load.decoding,
			.kv_tokens = load.kv_tokens,
			.backlog_us = load.backlog_us,
			.gap_us = load.gap_us,
			.target_us = load.target_us,
			.deferred = load.deferred,
		};
	}
	if (count > 1)
		qsort(items, count, sizeof(*items), compare_load);
	return count;
}

/* Lists the servers that failed requests of this node recently and, for nodes
 * of earlier builds, those that state a rate: these nodes do not know rates,
 * and avoid servers that fail for others. */
static void list_failing(gateway_t *gateway, int64_t now_us,
			 announcement_t *message)
{
	backend_t *server = NULL;

	while (message->failing_count < LOAD_FAILING_MAX &&
	       (server = backends_next(gateway->backends, server)))
		if (backend_failed_recently(server, now_us))
			message->failing[message->failing_count++] =
				backend_hash(server);
	message->failing_count +=
		server_rates_limited(backends_rates(gateway->backends),
				     message->failing + message->failing_count,
				     LOAD_FAILING_MAX - message->failing_count);
}

static size_t encode_announcement(gateway_t *gateway, int64_t now_us,
				  uint8_t *data, size_t capacity)
{
	load_item_t items[256];
	packet_t packet = { .type = PACKET_LOAD };
	announcement_t *message = &packet.as.load;
	size_t i;

	*message = (announcement_t){
		.node = load_table_node_hash(gateway->settings.node_id),
		.incarnation = gateway->incarnation,
		.sequence = ++gateway->sequence,
		.sent_boot_us = clock_boot_us(),
		.store_reachable = gateway_reaches_store(gateway),
		.link_mbps = (int64_t)gateway->settings.link_mbps,
		.wall_ms = clock_wall_us() / US_PER_MS,
		.duty = duties_state(gateway->duties),
		.usage_closed = duties_usage_closed(gateway->duties),
		.starts = gateway_announced_starts(gateway),
		.is_first = gateway->is_first,
		.items = items,
		.item_count = list_load(gateway, items,
					sizeof(items) / sizeof(items[0]),
					now_us),
	};
	list_failing(gateway, now_us, message);
	message->cut_off_count = backends_list_cut_off(
		gateway->backends, message->cut_off, LOAD_CUT_OFF_MAX);
	message->rate_count =
		server_rates_list(backends_rates(gateway->backends),
				  message->rates, ANNOUNCED_RATES_MAX, now_us);
	message->segment_count = segment_table_list(
		gateway->segments, CAUSE_SEGMENT, message->segments,
		ANNOUNCED_SEGMENTS_MAX, now_us);
	message->content_count = segment_table_list(
		gateway->segments, CAUSE_CONTENT, message->contents,
		ANNOUNCED_CONTENTS_MAX, now_us);
	if (backends_paces(gateway->backends))
		message->pace_count =
			pace_list(backends_paces(gateway->backends),
				  message->paces, ANNOUNCED_PACES_MAX, now_us);
	message->account_count = account_load_list(
		gateway->accounts, message->accounts, ANNOUNCED_ACCOUNTS_MAX);
	for (i = 0; i < KINDS_WATCHED; i++)
		if (gateway->views[i].listed)
			message->known_revisions[i] =
				gateway->views[i].revision;
	mem_strlcpy(message->data_centre, gateway->settings.data_centre,
		    sizeof(message->data_centre));
	if (now_us - gateway->started_us < NEW_NODE_US)
		mem_strlcpy(message->address, gateway->settings.peer_address,
			    sizeof(message->address));
	return packet_encode(&packet, data, capacity);
}

static void send_announcement(gateway_t *gateway, const peer_t *peers,
			      size_t count, bool near_only, int64_t now_us)
{
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = encode_announcement(gateway, now_us, data, sizeof(data));
	size_t i, sent = 0;

	for (i = 0; size && i < count; i++) {
		if (near_only && strcmp(peers[i].data_centre,
					gateway->settings.data_centre) != 0)
			continue;
		datagram_send(gateway->datagram, peers[i].address, data, size);
		sent++;
	}
	metrics_add(METRIC_PEER_SENT, (int64_t)sent);
	metrics_add(METRIC_PEER_SENT_BYTES, (int64_t)(size * sent));
}

static void announce(gateway_t *gateway, int64_t now_us)
{
	bool far = far_pace_take(&gateway->far_pace,
				 gateway->settings.controls_load, now_us);

	gateway->announced_us = now_us;
	gateway->announce_due = false;
	send_announcement(gateway, gateway->peers, gateway->peer_count, !far,
			  now_us);
	gateway_send_updates(gateway);
}

void gateway_announce_to(gateway_t *gateway, const peer_t *peer)
{
	send_announcement(gateway, peer, 1, false, clock_monotonic_us());
}

void gateway_acknowledge(gateway_t *gateway, uint64_t node)
{
	size_t i;

	for (i = 0; i < gateway->peer_count; i++)
		if (gateway->peers[i].hash == node)
			gateway_announce_to(gateway, &gateway->peers[i]);
}

static double idle_pause_s(gateway_t *gateway)
{
	double pause_s =
		(double)gateway_announce_pause_us(gateway) / (double)US_PER_S;
	double fraction =
		(double)(gateway_random(gateway) % MS_PER_S) / MS_PER_S;

	return pause_s * (ANNOUNCE_IDLE_MIN_SHARE +
			  (1 - ANNOUNCE_IDLE_MIN_SHARE) * fraction);
}

static void on_pace_changed(void *context, uint32_t server, double slowdown)
{
	gateway_t *gateway = context;
	const backend_t *backend = NULL;

	while ((backend = backends_next(gateway->backends, backend)))
		if (backend_start_hash(backend) == server)
			break;
	log_event(EVENT_SERVER_PACE, "server=%s slowdown=%.2f",
		  backend ? backend_entry(backend)->id : "-", slowdown);
	/* Other nodes may lack a measurement to agree. */
	gateway_load_changed(gateway, false);
}

static void check_paces(gateway_t *gateway, int64_t now_us)
{
	pace_table_t *paces = backends_paces(gateway->backends);

	if (paces)
		metrics_set(METRIC_SERVERS_SLOW,
			    (int64_t)pace_check(paces, on_pace_changed, gateway,
						now_us));
}

static void on_announce(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;
	int64_t now_us = clock_monotonic_us();
	double idle_us = (double)gateway_announce_pause_us(gateway) *
			 ANNOUNCE_IDLE_MIN_SHARE;

	load_table_expire(gateway->load_table, now_us);
	account_load_expire(gateway->accounts, now_us);
	server_rates_expire(backends_rates(gateway->backends), now_us);
	gateway_check_crashes(gateway, now_us);
	check_paces(gateway, now_us);
	gateway_check_retry_share(gateway);
	if (gateway->routing)
		metrics_set(METRIC_CONFIG_CONFIRMED_AGE_MS,
			    (clock_boot_us() -
			     gateway->views[0].confirmed_boot_us) /
				    US_PER_MS);
	metrics_set(
		METRIC_SERVERS_LIMITED,
		(int64_t)server_rates_count(backends_rates(gateway->backends)));
	if (gateway->announce_due ||
	    (double)(now_us - gateway->announced_us) >= idle_us)
		announce(gateway, now_us);
	ev_timer_set(timer,
		     gateway->announce_due ? announce_pause_s(gateway)
					   : idle_pause_s(gateway),
		     0.);
	ev_timer_start(loop, timer);
}

void gateway_load_changed(gateway_t *gateway, bool urgent)
{
	int64_t now_us = clock_monotonic_us();
	double pause_s = urgent ? ANNOUNCE_MIN_S : announce_pause_s(gateway);

	far_pace_changed(&gateway->far_pace, urgent);
	pause_s -= (double)(now_us - gateway->announced_us) / (double)US_PER_S;
	if (pause_s < 0)
		pause_s = 0;
	if (gateway->announce_due &&
	    ev_timer_remaining(gateway->loop, &gateway->announce) <= pause_s)
		return;
	gateway->announce_due = true;
	ev_timer_stop(gateway->loop, &gateway->announce);
	ev_timer_set(&gateway->announce, pause_s, 0.);
	ev_timer_start(gateway->loop, &gateway->announce);
}

void gateway_send_to_duty_nodes(gateway_t *gateway, const packet_t *packet)
{
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = packet_encode(packet, data, sizeof(data)), i;
	int64_t now_us = clock_monotonic_us();

	for (i = 0; size && i < gateway->peer_count; i++)
		if (load_table_duty(gateway->load_table, gateway->peers[i].hash,
				    now_us) != DUTY_STATE_NONE)
			datagram_send(gateway->datagram,
				      gateway->peers[i].address, data, size);
}

static bool is_own(const gateway_t *gateway, const platform_vm_t *vm)
{
	return !strcmp(vm->id, gateway->settings.node_id);
}

static void set_peer(peer_t *peer, const platform_vm_t *vm)
{
	*peer = (peer_t){ .hash = load_table_node_hash(vm->id) };
	mem_strlcpy(peer->address, vm->address, sizeof(peer->address));
	mem_strlcpy(peer->data_centre, vm->data_centre,
		    sizeof(peer->data_centre));
	mem_strlcpy(peer->relay_address, vm->relay_address,
		    sizeof(peer->relay_address));
	mem_strlcpy(peer->relay_key, vm->relay_key, sizeof(peer->relay_key));
}

static void set_limit_nodes(gateway_t *gateway)
{
	uint64_t *nodes = mem_calloc(gateway->peer_count + 1, sizeof(*nodes));
	size_t i;

	nodes[0] = load_table_node_hash(gateway->settings.node_id);
	for (i = 0; i < gateway->peer_count; i++)
		nodes[i + 1] = gateway->peers[i].hash;
	backends_set_nodes(gateway->backends, nodes, gateway->peer_count + 1,
			   nodes[0], clock_monotonic_us());
	free(nodes);
}

/* Adds a node to the list, unless it is listed. */
static void add_peer(gateway_t *gateway, const peer_t *peer)
{
	size_t i;

	for (i = 0; i < gateway->peer_count; i++)
		if (gateway->peers[i].hash == peer->hash)
			return;
	gateway->peers[gateway->peer_count++] = *peer;
}

static void on_list(void *context, platform_status_t status,
		    const platform_vm_t *vms, size_t count)
{
	gateway_t *gateway = context;
	size_t i, before = gateway->peer_count;
	bool keeps = clock_monotonic_us() < gateway->keep_peers_until_us;
	peer_t *kept = gateway->peers;

	if (status != PLATFORM_OK)
		return;
	gateway->peers =
		mem_calloc(count + before + 1, sizeof(*gateway->peers));
	gateway->peer_count = 0;
	for (i = 0; i < count; i++)
		if (!is_own(gateway, &vms[i]))
			set_peer(&gateway->peers[gateway->peer_count++],
				 &vms[i]);
	for (i = 0; i < before && keeps; i++)
		add_peer(gateway, &kept[i]);
	free(kept);
	gateway->nodes = (int32_t)gateway->peer_count + 1;
	if (gateway->nodes > gateway->retry_nodes)
		gateway->retry_nodes = gateway->nodes;
	set_limit_nodes(gateway);
	if (before == gateway->peer_count)
		return;
	log_event(EVENT_PEERS_CHANGED, "nodes=%d before=%zu", gateway->nodes,
		  before + 1);
	/* Nodes that start learn at once of each other and of the
	 * publishers. */
	gateway_load_changed(gateway, true);
}

static json_t *own_entry(const gateway_t *gateway)
{
	return json_pack("{s:s,s:s,s:b,s:s,s:s}", "data_centre",
			 gateway->settings.data_centre, "address",
			 gateway->settings.peer_address, "leaving", 0, "relay",
			 gateway->settings.relay_address, "relay_key",
			 gateway->relay_key);
}

static void on_registered(void *context, platform_status_t status,
			  const platform_object_t *object)
{
	gateway_t *gateway = context;

	gateway->registered = status == PLATFORM_OK;
}

/* Goes on with the relay key of an earlier process, which other nodes know. */
static void keep_relay_key(gateway_t *gateway, const json_t *entry)
{
	const char *key =
		json_string_value(json_object_get(entry, "relay_key"));

	if (*gateway->relay_key && key &&
	    strlen(key) == sizeof(gateway->relay_key) - 1)
		mem_strlcpy(gateway->relay_key, key,
			    sizeof(gateway->relay_key));
}

/* The entry that an earlier process wrote may hold another address. */
static void on_own_entry(void *context, platform_status_t status,
			 const platform_object_t *object)
{
	gateway_t *gateway = context;
	json_t *entry;

	if (status == PLATFORM_OK)
		keep_relay_key(gateway, object->spec);
	entry = own_entry(gateway);
	if (status == PLATFORM_OK && json_equal(entry, object->spec))
		gateway->registered = true;
	else if (status == PLATFORM_OK)
		platform_put(gateway->platform, PLATFORM_VMS,
			     gateway->settings.node_id, object->version,
			     json_incref(entry), on_registered, gateway);
	json_decref(entry);
}

static void on_created(void *context, platform_status_t status,
		       const platform_object_t *object)
{
	gateway_t *gateway = context;

	gateway->registered = status == PLATFORM_OK;
	/* An entry that is missing later was lost by the store. */
	if (status == PLATFORM_OK && !gateway->entry_known)
		gateway->is_first = true;
	if (status == PLATFORM_OK || status == PLATFORM_EXISTS)
		gateway->entry_known = true;
	if (status == PLATFORM_EXISTS)
		platform_get(gateway->platform, PLATFORM_VMS,
			     gateway->settings.node_id, on_own_entry, gateway);
}

static void on_registry(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;

	if (!gateway->registered)
		platform_create_object(gateway->platform, PLATFORM_VMS,
				       gateway->settings.node_id,
				       own_entry(gateway), on_created, gateway);
	platform_list_vms(gateway->platform, gateway->registry_reads != 1,
			  on_list, gateway);
	ev_timer_set(timer,
		     gateway->registry_reads++ ? REGISTRY_S : REGISTRY_FIRST_S,
		     0.);
	ev_timer_start(loop, timer);
}

bool gateway_peers_start(gateway_t *gateway, err_t *err)
{
	gateway->load_table = load_table_create();
	gateway->accounts = account_load_create();
	gateway->datagram = datagram_create(gateway->loop,
					    gateway->settings.peer_address,
					    gateway_on_datagram, gateway, err);
	if (!gateway->datagram)
		return false;
	gateway->incarnation = (uint64_t)clock_wall_us();
	gateway->started_us = clock_monotonic_us();
	ev_timer_init(&gateway->announce, on_announce, ANNOUNCE_MIN_S, 0.);
	gateway->announce.data = gateway;
	ev_timer_start(gateway->loop, &gateway->announce);
	ev_timer_init(&gateway->registry, on_registry, 0., 0.);
	gateway->registry.data = gateway;
	ev_timer_start(gateway->loop, &gateway->registry);
	return true;
}

void gateway_peers_restored(gateway_t *gateway)
{
	double pause_s = RESTORED_SPREAD_S *
			 (double)(gateway_random(gateway) % MS_PER_S) /
			 MS_PER_S;

	gateway->registered = false;
	gateway->keep_peers_until_us = clock_monotonic_us() + KEEP_PEERS_US;
	ev_timer_stop(gateway->loop, &gateway->registry);
	ev_timer_set(&gateway->registry, pause_s, 0.);
	ev_timer_start(gateway->loop, &gateway->registry);
}

void gateway_peers_stop(gateway_t *gateway)
{
	ev_timer_stop(gateway->loop, &gateway->announce);
	ev_timer_stop(gateway->loop, &gateway->registry);
	ev_timer_stop(gateway->loop, &gateway->update_timer);
	datagram_destroy(gateway->datagram);
	load_table_destroy(gateway->load_table);
	account_load_destroy(gateway->accounts);
	free(gateway->peers);
}

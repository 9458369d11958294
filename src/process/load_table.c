#include "process/load_table.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/mem.h"
#include "base/units.h"
#include "process/prefill_clock.h"

/* Announcements come several times a second. The load of a node that is silent
 * for this long no longer counts: its requests have ended, or will end without
 * an announcement. */
#define NODE_SILENT_US (2 * US_PER_S)
/* A node that is silent for this long is removed from the table. */
#define NODE_EXPIRE_US (10 * US_PER_S)

/* Announcement intervals without any announcement from a data centre after
 * which its nodes count as silent: single datagrams may get lost. */
enum { ANNOUNCEMENTS_LOST_MAX = 3 };
enum {
	/* A data centre counts as partitioned when all of its nodes are silent
	 * for the time in which this many announcements, of all nodes together,
	 * are due. Nodes announce at times independent of each other. */
	ANNOUNCEMENTS_EXPECTED = 10,
	/* Fewer nodes may fall silent together without a partition. */
	PARTITION_NODES_MIN = 3
};
/* A shorter silence is no partition: nodes may be busy, or timers late. */
#define PARTITION_SILENCE_MIN_US (120 * US_PER_MS)

/* Nodes in the table: each choice of servers reads the load of all, and the
 * sums of their loads must not overflow. */
enum { NODES_MAX = 4096 };

/* Starts of processes that are remembered; more count as this many. */
enum { STARTS_MAX = 512 };

typedef struct node {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	char data_centre[NAME_SIZE_BYTES];
	int64_t received_us; /* time of the last announcement */
	load_timestamps_t last;
	bool store_reachable; /* the platform's store answers the node */
	int64_t link_mbps;
	int64_t wall_ms; /* node's time of day in the last announcement;
			    0: unknown */
	uint32_t failing[LOAD_FAILING_MAX];
	size_t failing_count;
	uint32_t cut_off[LOAD_CUT_OFF_MAX];
	size_t cut_off_count;
	duty_state_t duty;
	int64_t usage_closed;
	int32_t starts; /* see announcement_t */
	bool is_first;
	load_item_t *items; /* sorted by server_hash; NULL: none */
	size_t item_count;
	struct node *next;
} node_t;

struct load_table {
	node_t *nodes;
	prefill_clock_t *clock; /* prefill backlog of each server */
	int64_t starts_us[STARTS_MAX]; /* when starts were noticed; a ring */
	size_t start_count; /* all so far */
};

load_table_t *load_table_create(void)
{
	load_table_t *table = mem_calloc(1, sizeof(*table));

	table->clock = prefill_clock_create();
	return table;
}

static void remove_node(load_table_t *table, node_t *node)
{
	LL_DELETE(table->nodes, node);
	free(node->items);
	free(node);
}

void load_table_destroy(load_table_t *table)
{
	if (!table)
		return;
	while (table->nodes)
		remove_node(table, table->nodes);
	prefill_clock_destroy(table->clock);
	free(table);
}

/* @return NULL if the table is full */
static node_t *find_or_add_node(load_table_t *table, uint64_t id)
{
	size_t count = 0;
	node_t *node;

	LL_FOREACH (table->nodes, node) {
		if (node->id == id)
			return node;
		count++;
	}
	if (count >= NODES_MAX)
		return NULL;
	node = mem_calloc(1, sizeof(*node));
	node->id = id;
	LL_PREPEND(table->nodes, node);
	return node;
}

static int compare_items(const void *left, const void *right)
{
	const load_item_t *a = left, *b = right;

	if (a->server_hash == b->server_hash)
		return 0;
	return a->server_hash < b->server_hash ? -1 : 1;
}

static bool is_live(const node_t *node, int64_t now_us)
{
	return now_us - node->received_us <= NODE_SILENT_US;
}

static const load_item_t *find_item(const node_t *node, uint32_t server_hash)
{
	load_item_t wanted = { .server_hash = server_hash };

	return node->item_count
		       ? bsearch(&wanted, node->items, node->item_count,
				 sizeof(wanted), compare_items)
		       : NULL;
}

/* Adds the prefill that a node sent since its last announcement to the backlog
 * of the servers. */
static void add_new_prefill(load_table_t *table, const node_t *node,
			    const announcement_t *message, int64_t now_us)
{
	size_t i;

	for (i = 0; i < message->item_count; i++) {
		const load_item_t *item = &message->items[i];
		const load_item_t *before = find_item(node, item->server_hash);
		int64_t begun_us = item->backlog_us;

		if (before && is_live(node, now_us))
			begun_us -= before->backlog_us;
		if (begun_us > 0)
			prefill_clock_add(table->clock, item->server_hash,
					  begun_us, now_us);
	}
}

void load_table_add_prefill(load_table_t *table, uint32_t server_hash,
			    int64_t prefill_us, int64_t now_us)
{
	prefill_clock_add(table->clock, server_hash, prefill_us, now_us);
}

bool load_table_receive(load_table_t *table, const announcement_t *message,
			int64_t now_us, int64_t boot_us)
{
	node_t *node = find_or_add_node(table, message->node);
	size_t size = message->item_count * sizeof(*message->items);

	if (!node)
		return false;
	/* The incarnation of a restarted node is lower than before if its clock
	 * was set back; its announcements must not be ignored for that reason.
	 */
	if (!is_live(node, now_us))
		node->incarnation = node->sequence = 0;
	if (message->incarnation < node->incarnation ||
	    (message->incarnation == node->incarnation &&
	     message->sequence <= node->sequence))
		return false;
	add_new_prefill(table, node, message, now_us);
	if (message->incarnation != node->incarnation)
		table->starts_us[table->start_count++ % STARTS_MAX] = now_us;
	node->incarnation = message->incarnation;
	node->sequence = message->sequence;
	node->received_us = now_us;
	node->last.received_boot_us = boot_us;
	node->last.sent_boot_us = message->sent_boot_us;
	memcpy(node->last.known_revisions, message->known_revisions,
	       sizeof(node->last.known_revisions));
	node->store_reachable = message->store_reachable;
	node->link_mbps = message->link_mbps;
	node->wall_ms = message->wall_ms;
	node->duty = message->duty;
	node->starts = message->starts;
	node->is_first = message->is_first;
	node->failing_count = message->failing_count;
	memcpy(node->failing, message->failing, sizeof(node->failing));
	node->cut_off_count = message->cut_off_count;
	memcpy(node->cut_off, message->cut_off, sizeof(node->cut_off));
	node->usage_closed = message->usage_closed;
	mem_strlcpy(node->data_centre, message->data_centre,
		    sizeof(node->data_centre));
	free(node->items);
	node->items = NULL;
	node->item_count = message->item_count;
	if (size) {
		node->items = mem_calloc(1, size);
		memcpy(node->items, message->items, size);
		qsort(node->items, node->item_count, sizeof(*node->items),
		      compare_items);
	}
	return true;
}

void load_table_expire(load_table_t *table, int64_t now_us)
{
	node_t *node, *next;

	LL_FOREACH_SAFE (table->nodes, node, next)
		if (now_us - node->received_us > NODE_EXPIRE_US)
			remove_node(table, node);
	prefill_clock_expire(table->clock, now_us);
}

peers_state_t load_table_peers(const load_table_t *table,
			       const char *data_centre, int64_t pause_us,
			       int64_t now_us)
{
	int64_t last_us = 0, silence_us, expected_us;
	const node_t *node;
	int64_t count = 0;

	LL_FOREACH (table->nodes, node)
		if (!strcmp(node->data_centre, data_centre) &&
		    node->received_us > last_us)
			last_us = node->received_us;
	/* Count only nodes that were live when the last announcement came. */
	LL_FOREACH (table->nodes, node)
		count += !strcmp(node->data_centre, data_centre) &&
			 node->received_us >= last_us - pause_us;
	if (!count)
		return PEERS_REACHABLE;
	silence_us = now_us - last_us;
	expected_us = pause_us * ANNOUNCEMENTS_EXPECTED / count;
	if (expected_us < PARTITION_SILENCE_MIN_US)
		expected_us = PARTITION_SILENCE_MIN_US;
	if (count >= PARTITION_NODES_MIN && silence_us >= expected_us)
		return PEERS_PARTITIONED;
	return silence_us >= pause_us * ANNOUNCEMENTS_LOST_MAX
		       ? PEERS_SILENT
		       : PEERS_REACHABLE;
}

/* Time left until the objective of an item; 0: none, or in the past. */
static int64_t remaining_target_us(const node_t *node, const load_item_t *item,
				   int64_t now_us)
{
	int64_t left_us = item->target_us - (now_us - node->received_us);

	return left_us > 0 ? left_us : 0;
}

void load_table_add_load(const load_table_t *table, uint32_t server_hash,
			 const engine_profile_t *engine, server_load_t *load,
			 int64_t now_us)
{
	int64_t wait_us = 0;
	const node_t *node;

	LL_FOREACH (table->nodes, node) {
		const load_item_t *item = find_item(node, server_hash);

		if (!item || !is_live(node, now_us))
			continue;
		load->prefilling += item->prefilling;
		load->decode_pending += item->decode_pending;
		load->deferred += item->deferred;
		load->decoding += item->decoding;
		load->kv_tokens += item->kv_tokens;
		load->backlog_us += item->backlog_us;
		forecast_min_us(&load->gap_us, item->gap_us);
		forecast_min_us(&load->target_us,
				remaining_target_us(node, item, now_us));
	}
	if (engine)
		wait_us = time_to_us(forecast_decode_wait_us(engine, load));
	load->backlog_us = prefill_clock_backlog_us(
		table->clock, server_hash, load->backlog_us, wait_us, now_us);
}

int64_t load_table_age_us(const load_table_t *table, uint32_t server_hash,
			  int64_t now_us)
{
	int64_t age_us = -1;
	const node_t *node;

	LL_FOREACH (table->nodes, node)
		if (is_live(node, now_us) && find_item(node, server_hash) &&
		    now_us - node->received_us > age_us)
			age_us = now_us - node->received_us;
	return age_us;
}

size_t load_table_node_count(const load_table_t *table)
{
	const node_t *node;
	size_t count = 0;

	LL_FOREACH (table->nodes, node)
		count++;
	return count;
}

uint32_t load_table_hash(const char *id)
{
	return (uint32_t)XXH64(id, strlen(id), 0);
}

uint64_t load_table_node_hash(const char *id)
{
	return XXH64(id, strlen(id), 0);
}

static bool is_eligible(const node_t *node, const region_t *region,
			bool store_reachable, int64_t now_us)
{
	return is_live(node, now_us) &&
	       (node->store_reachable || !store_reachable) &&
	       region_has(region, node->data_centre);
}

static size_t count_faster(const load_table_t *table, const region_t *region,
			   int64_t link_mbps, bool store_reachable,
			   int64_t now_us)
{
	const node_t *node;
	size_t count = 0;

	LL_FOREACH (table->nodes, node)
		count += is_eligible(node, region, store_reachable, now_us) &&
			 node->link_mbps > link_mbps;
	return count;
}

/* Counts nodes with the same link speed as @p own in each data centre of a
 * region; in the data centre of @p own only nodes with a lower hash. */
static void count_nodes(const load_table_t *table, const region_t *region,
			const node_rank_t *own, bool store_reachable,
			int64_t now_us, size_t *counts)
{
	size_t own_dc = region_find(region, own->data_centre);
	const node_t *node;

	LL_FOREACH (table->nodes, node) {
		size_t dc = region_find(region, node->data_centre);

		if (is_eligible(node, region, store_reachable, now_us) &&
		    node->link_mbps == own->link_mbps &&
		    (dc != own_dc || node->id < own->node))
			counts[dc]++;
	}
}

size_t load_table_rank(const load_table_t *table, const region_t *region,
		       const node_rank_t *own, bool store_reachable,
		       int64_t now_us)
{
	size_t counts[REGION_DATA_CENTRES_MAX] = { 0 };
	size_t own_dc = region_find(region, own->data_centre), rank, i;
	uint64_t own_hash = load_table_node_hash(own->data_centre);

	if (own_dc == region->count)
		return 0;
	rank = count_faster(table, region, own->link_mbps, store_reachable,
			    now_us);
	count_nodes(table, region, own, store_reachable, now_us, counts);
	for (i = 0; i < region->count; i++) {
		size_t round = counts[own_dc];

		if (counts[i] < round)
			round = counts[i];
		rank += round;
		if (i != own_dc && counts[i] > counts[own_dc] &&
		    load_table_node_hash(region->data_centres[i]) < own_hash)
			rank++;
	}
	return rank;
}

size_t load_table_live_count(const load_table_t *table, const region_t *region,
			     int64_t now_us)
{
	const node_t *node;
	size_t count = 0;

	LL_FOREACH (table->nodes, node)
		count += is_live(node, now_us) &&
			 region_has(region, node->data_centre);
	return count;
}

bool load_table_find_timestamps(const load_table_t *table, uint64_t node,
				int64_t now_us, load_timestamps_t *last)
{
	const node_t *other;

	LL_FOREACH (table->nodes, other) {
		if (other->id != node || !is_live(other, now_us))
			continue;
		*last = other->last;
		return true;
	}
	return false;
}

load_starts_t load_table_starts(const load_table_t *table, int64_t now_us)
{
	load_starts_t starts = { 0 };
	const node_t *node;

	LL_FOREACH (table->nodes, node) {
		if (!is_live(node, now_us))
			continue;
		starts.nodes++;
		starts.first += node->is_first;
		starts.settled += node->starts >= 0;
		starts.noticed += node->starts > 0;
		if (node->starts > starts.starts)
			starts.starts = node->starts;
	}
	return starts;
}

int32_t load_table_started(const load_table_t *table, int64_t since_us)
{
	size_t i, kept = table->start_count;
	int32_t count = 0;

	if (kept > STARTS_MAX)
		kept = STARTS_MAX;
	for (i = 0; i < kept; i++)
		count += table->starts_us[i] >= since_us;
	return count;
}

size_t load_table_failing_count(const load_table_t *table, uint32_t server_hash,
				int64_t now_us)
{
	size_t i, count = 0;
	const node_t *node;

	LL_FOREACH (table->nodes, node) {
		if (!node->failing_count || !is_live(node, now_us))
			continue;
		for (i = 0; i < node->failing_count; i++)
			if (node->failing[i] == server_hash)
				break;
		count += i < node->failing_count;
	}
	return count;
}

static bool is_cut_off(const node_t *node, uint32_t service_hash)
{
	size_t i;

	for (i = 0; i < node->cut_off_count; i++)
		if (node->cut_off[i] == service_hash)
			return true;
	return false;
}

bool load_table_reaches(const load_table_t *table, uint64_t node,
			uint32_t service_hash, int64_t silence_max_us,
			int64_t now_us)
{
	const node_t *other;

	LL_FOREACH (table->nodes, other)
		if (other->id == node)
			return now_us - other->received_us <= silence_max_us &&
			       !is_cut_off(other, service_hash);
	return false;
}

duty_state_t load_table_duty(const load_table_t *table, uint64_t node,
			     int64_t now_us)
{
	const node_t *other;

	LL_FOREACH (table->nodes, other)
		if (other->id == node && is_live(other, now_us))
			return other->duty;
	return DUTY_STATE_NONE;
}

bool load_table_duty_wanted(const load_table_t *table, int64_t now_us)
{
	const node_t *node;

	LL_FOREACH (table->nodes, node)
		if (is_live(node, now_us) && node->duty != DUTY_STATE_NONE)
			return true;
	return false;
}

int64_t load_table_usage_closed(const load_table_t *table, int64_t now_us)
{
	int64_t closed = 0;
	const node_t *node;

	LL_FOREACH (table->nodes, node)
		if (is_live(node, now_us) && node->duty == DUTY_STATE_HELD &&
		    node->usage_closed > closed)
			closed = node->usage_closed;
	return closed;
}

static int compare_times(const void *left, const void *right)
{
	int64_t a = *(const int64_t *)left, b = *(const int64_t *)right;

	return (a > b) - (a < b);
}

int64_t load_table_wall_ms(const load_table_t *table, int64_t own_wall_ms,
			   int64_t now_us, int64_t boot_us)
{
	int64_t *times =
		mem_calloc(load_table_node_count(table) + 1, sizeof(*times));
	int64_t median;
	size_t count = 0;
	const node_t *node;

	times[count++] = own_wall_ms;
	LL_FOREACH (table->nodes, node)
		if (is_live(node, now_us) && node->wall_ms)
			times[count++] =
				node->wall_ms +
				(boot_us - node->last.received_boot_us) /
					US_PER_MS;
	qsort(times, count, sizeof(*times), compare_times);
	median = times[count / 2];
	free(times);
	return median;
}

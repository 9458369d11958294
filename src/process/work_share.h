/**
 * @file load_table.h
 * What the other nodes have sent to each server. Pure.
 *
 * Each node announces its own work in datagrams (see connection/datagram.h).
 * An announcement replaces the one before from the same node, and is forgotten
 * when that node falls silent. Servers are named by a hash of their id.
 */
#ifndef PROCESS_WORK_SHARE_H
#define PROCESS_WORK_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"
#include "process/forecast.h"
#include "process/region.h"

typedef struct load_table load_table_t;

/** Views of the platform that a node keeps up to date. */
enum { LOAD_VIEWS = 3 };
/** Servers that one announcement names as failing. */
enum { LOAD_AVOIDED_MAX = 32 };

/** Work of one node on one server. */
typedef struct {
	uint32_t server_hash;
	int32_t readers;
	int32_t starting; /**< readers whose stream it will write */
	int32_t writers;
	int64_t kv_tokens;
	int64_t pending_us; /**< prefill without a first event */
	int64_t gap_us; /**< shortest pause that a stream allows; 0: none */
	int64_t due_us; /**< until the first objective of the readers; 0: none
			 */
} load_item_t;

/** Whether a node does what one node does for all. */
typedef enum {
	DUTY_STATE_NONE,
	DUTY_STATE_REQUESTED,
	DUTY_STATE_HELD
} duty_state_t;

/** One announcement. */
typedef struct {
	uint64_t node; /**< hash of the node's id */
	uint64_t incarnation; /**< start of the process, grows */
	uint64_t sequence; /**< grows within an incarnation */
	char data_centre[NAME_SIZE_BYTES]; /**< of the node */
	int64_t sent_boot_us; /**< the node's CLOCK_BOOTTIME */
	bool sound; /**< the platform's store answers it */
	int64_t link_mbps; /**< of its VM */
	int64_t known_revisions[LOAD_VIEWS]; /**< of its views; 0: none yet */
	int64_t wall_ms; /**< its time of day when it sent this; 0: unknown */
	duty_state_t duty;
	int64_t usage_closed; /**< last window of usage that needs no reports */
	uint32_t shunned[LOAD_AVOIDED_MAX]; /**< servers that failed it just now
					     */
	size_t shunned_count;
	load_item_t *items;
	size_t item_count;
} announcement_t;

load_table_t *load_table_create(void);
void load_table_destroy(load_table_t *share);

/**
 * Takes an announcement in.
 * @param boot_us CLOCK_BOOTTIME of this node
 * @return false if it is older than the last
 */
bool load_table_receive(load_table_t *share, const announcement_t *message,
			int64_t now_us, int64_t boot_us);
/** Forgets nodes that were silent for too long. */
void load_table_expire(load_table_t *share, int64_t now_us);
/** This node sent prefill to a server. */
void load_table_add_prefill(load_table_t *share, uint32_t server_hash,
			    int64_t read_us, int64_t now_us);
/**
 * Adds the work of the other nodes on a server to @p load, which holds that of
 * this node, and predicts how much of the prefill is not done yet.
 * @param engine of the server; NULL: a plain service
 */
void load_table_add_load(const load_table_t *share, uint32_t server_hash,
			 const engine_profile_t *engine, server_load_t *load,
			 int64_t now_us);
/** @return nodes that were heard of lately. */
size_t load_table_node_count(const load_table_t *share);
/** What the silence of the nodes of a data centre shows. */
typedef enum {
	PEERS_REACHABLE, /**< nothing, or there are no nodes */
	PEERS_SILENT, /**< each may have stopped by itself */
	PEERS_PARTITIONED /**< so many do not fall silent at once by themselves
			   */
} peers_state_t;

/**
 * @param pause_us longest pause between two announcements of a node
 */
peers_state_t load_table_peers(const load_table_t *share,
			       const char *data_centre, int64_t pause_us,
			       int64_t now_us);

/** A node in the order of a region. */
typedef struct {
	const char *data_centre;
	uint64_t node;
	int64_t link_mbps;
} node_rank_t;

/**
 * Place of this node in the order in which live nodes of its region are asked
 * to do something for the others: those with the fastest links first, since
 * they send to all; among these one of each data centre, then a second one of
 * each, and so on.
 * @param sound count only nodes that the platform answers
 */
size_t load_table_rank(const load_table_t *share, const region_t *region,
		       const node_rank_t *own, bool sound, int64_t now_us);
/** @return live nodes of a region, without this one. */
size_t load_table_live_count(const load_table_t *share, const region_t *region,
			     int64_t now_us);
/** Last announcement of another node. */
typedef struct {
	int64_t sent_boot_us; /**< on that node's clock */
	int64_t received_boot_us; /**< on the own clock */
	int64_t known_revisions[LOAD_VIEWS];
} load_echo_t;

/** @return false if the node is not live */
bool load_table_find_echo(const load_table_t *share, uint64_t node,
			  int64_t now_us, load_echo_t *echo);

/** @return nodes that announced lately that a server failed them. */
size_t load_table_avoid_count(const load_table_t *share, uint32_t server_hash,
			      int64_t now_us);
/** @return what a live node announced of the duties; NONE if it is silent. */
duty_state_t load_table_duty(const load_table_t *share, uint64_t node,
			     int64_t now_us);
/** Whether a live node asks for the duties, or has them. */
bool load_table_duty_wanted(const load_table_t *share, int64_t now_us);
/** @return the last closed window of usage that a live node told; 0: none. */
int64_t load_table_usage_closed(const load_table_t *share, int64_t now_us);
/**
 * The time of day by most clocks: clocks of single VMs may be off by seconds.
 * @param own_wall_ms by the own clock
 * @return ms since 1970
 */
int64_t load_table_wall_ms(const load_table_t *share, int64_t own_wall_ms,
			   int64_t now_us, int64_t boot_us);

uint32_t load_table_hash(const char *id);
uint64_t load_table_node_hash(const char *id);

#endif

/**
 * @file load_table.h
 * Load table: the load that the other nodes put on each server. Does no I/O;
 * time is an argument.
 *
 * Each node announces its own load in datagrams (see connection/datagram.h).
 * An announcement replaces the previous announcement of the same node, and
 * stops counting when that node falls silent. A server is identified by a hash
 * of its id.
 */
#ifndef PROCESS_LOAD_TABLE_H
#define PROCESS_LOAD_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"
#include "process/announced.h"
#include "process/forecast.h"
#include "process/region.h"
#include "process/segment_table.h"
#include "process/server_rates.h"

typedef struct load_table load_table_t;

/** Kinds of platform objects of which a node keeps a view. */
enum { LOAD_VIEWS = 3 };
/** Most servers that one announcement lists as failing. */
enum { LOAD_FAILING_MAX = 32 };
/** Most services that one announcement lists as cut off from its node. */
enum { LOAD_CUT_OFF_MAX = 16 };

/** Load of one node on one server. */
typedef struct {
	uint32_t server_hash;
	int32_t prefilling; /**< prefilling requests, and prompt shards */
	int32_t decode_pending; /**< prefilling requests that will decode here
				 */
	int32_t decoding; /**< decoding requests */
	int64_t kv_tokens; /**< engine memory of all these requests */
	int64_t backlog_us; /**< prefill of requests without a first event */
	int64_t gap_us; /**< shortest event gap limit of a stream; 0: none */
	int64_t target_us; /**< time left until the earliest objective of a
			   prefilling request; 0: none */
	int32_t deferred; /**< of the prefilling requests, those that the server
			   * admits after all others */
} load_item_t;

/**
 * State of a node in the choice of the node that does the duties: tasks at the
 * platform that one node at a time does for all nodes.
 */
typedef enum {
	DUTY_STATE_NONE,
	DUTY_STATE_REQUESTED,
	DUTY_STATE_HELD
} duty_state_t;

/** Load announcement: one datagram of a node. */
typedef struct {
	uint64_t node; /**< hash of the node's id */
	uint64_t incarnation; /**< grows with each start of the process */
	uint64_t sequence; /**< grows within an incarnation */
	char data_centre[NAME_SIZE_BYTES]; /**< data centre of the node */
	char address[URL_SIZE_BYTES]; /**< of a node that started lately; empty:
					 it did not */
	int64_t sent_boot_us; /**< CLOCK_BOOTTIME of the node when sending */
	bool store_reachable; /**< the platform's store answers the node */
	int64_t link_mbps; /**< network bandwidth of the node's VM */
	int64_t known_revisions[LOAD_VIEWS]; /**< newest known revision of each
						view; 0: none yet */
	int64_t wall_ms; /**< node's time of day when sending; 0: unknown */
	duty_state_t duty;
	int64_t usage_closed; /**< number of the last usage window that needs no
				 reports; 0: none */
	/** Hashes of the ids of servers that just failed for the node. */
	uint32_t failing[LOAD_FAILING_MAX];
	size_t failing_count; /**< entries of failing */
	/** Hashes of the names of services that are cut off from the node. */
	uint32_t cut_off[LOAD_CUT_OFF_MAX];
	size_t cut_off_count; /**< entries of cut_off */
	/** What servers stated in their last answers to the node. */
	server_rate_t rates[ANNOUNCED_RATES_MAX];
	size_t rate_count; /**< entries of rates */
	/** Segments of prompts that may crash servers. */
	segment_report_t segments[ANNOUNCED_SEGMENTS_MAX];
	size_t segment_count; /**< entries of segments */
	/** Contents of requests that may crash servers. */
	segment_report_t contents[ANNOUNCED_CONTENTS_MAX];
	size_t content_count; /**< entries of contents */
	account_report_t accounts[ANNOUNCED_ACCOUNTS_MAX];
	size_t account_count; /**< entries of accounts */
	pace_report_t paces[ANNOUNCED_PACES_MAX];
	size_t pace_count; /**< entries of paces */
	/** Starts of processes that the node noticed within the window of
	 * retries; -1: it started within the window itself, or does not say */
	int32_t starts;
	bool is_first; /**< no process of the node ran before this one */
	load_item_t *items;
	size_t item_count;
} announcement_t;

load_table_t *load_table_create(void);
void load_table_destroy(load_table_t *table);

/**
 * Replaces the previous announcement of a node.
 * @param boot_us CLOCK_BOOTTIME of this node
 * @return false if @p message is not newer than the previous announcement, or
 * the table is full
 */
bool load_table_receive(load_table_t *table, const announcement_t *message,
			int64_t now_us, int64_t boot_us);
/** Removes nodes that have sent no announcement for 10 s. */
void load_table_expire(load_table_t *table, int64_t now_us);
/**
 * Adds prefill that this node sent to a server to the server's backlog.
 * @param prefill_us predicted duration of the prefill
 */
void load_table_add_prefill(load_table_t *table, uint32_t server_hash,
			    int64_t prefill_us, int64_t now_us);
/**
 * Adds the load of the other nodes on a server to @p load, which holds the load
 * of this node, and sets its prefill backlog to the predicted value.
 * @param engine profile of the server's engine; NULL: a plain service
 */
void load_table_add_load(const load_table_t *table, uint32_t server_hash,
			 const engine_profile_t *engine, server_load_t *load,
			 int64_t now_us);
/**
 * @return age of the oldest live announcement that has load on a server; -1:
 * none has
 */
int64_t load_table_age_us(const load_table_t *table, uint32_t server_hash,
			  int64_t now_us);
/** @return number of nodes in the table. */
size_t load_table_node_count(const load_table_t *table);
/** What the silence of the nodes of a data centre shows. */
typedef enum {
	PEERS_REACHABLE, /**< some node announces, or no node is known */
	PEERS_SILENT, /**< all silent; each may have stopped for its own cause
		       */
	PEERS_PARTITIONED /**< too many fell silent at once: a network partition
			   */
} peers_state_t;

/**
 * Judges whether the nodes of a data centre can be reached.
 * @param pause_us longest time between two announcements of a node
 */
peers_state_t load_table_peers(const load_table_t *table,
			       const char *data_centre, int64_t pause_us,
			       int64_t now_us);

/** What the rank of a node in its region depends on. */
typedef struct {
	const char *data_centre;
	uint64_t node; /**< hash of the node's id */
	int64_t link_mbps; /**< network bandwidth of the node's VM */
} node_rank_t;

/**
 * Ranks this node among the live nodes of its region. The nodes of the
 * lowest ranks do tasks for the others. Nodes with the fastest links come
 * first, since they send to all; among nodes of equal links the first of each
 * data centre, then the second of each, and so on.
 * @param store_reachable count only nodes that the platform's store answers
 * @return rank from 0; 0 if the own data centre is not in @p region
 */
size_t load_table_rank(const load_table_t *table, const region_t *region,
		       const node_rank_t *own, bool store_reachable,
		       int64_t now_us);
/** @return number of live nodes of a region, without this node. */
size_t load_table_live_count(const load_table_t *table, const region_t *region,
			     int64_t now_us);
/** Timestamps of the last announcement of another node. */
typedef struct {
	int64_t sent_boot_us; /**< CLOCK_BOOTTIME of the other node */
	int64_t received_boot_us; /**< CLOCK_BOOTTIME of this node */
	int64_t known_revisions[LOAD_VIEWS]; /**< newest known revision of each
						view; 0: none yet */
} load_timestamps_t;

/**
 * Looks up the last announcement of a node.
 * @param last set if the node is live
 * @return false if the node is not live
 */
bool load_table_find_timestamps(const load_table_t *table, uint64_t node,
				int64_t now_us, load_timestamps_t *last);

/** What live nodes state of processes that started within the window of
 * retries. */
typedef struct {
	int32_t nodes; /**< live nodes, without this one */
	int32_t first; /**< of these, those that are the first of their node */
	int32_t settled; /**< and those that run longer than the window */
	int32_t noticed; /**< of the settled ones, those that noticed a start */
	int32_t starts; /**< most starts that one of them noticed */
} load_starts_t;

load_starts_t load_table_starts(const load_table_t *table, int64_t now_us);
/** @return number of starts of other processes that this node noticed since
 * @p since_us; a node that was silent for long counts as started */
int32_t load_table_started(const load_table_t *table, int64_t since_us);

/** @return number of live nodes that announce a server as failing. */
size_t load_table_failing_count(const load_table_t *table, uint32_t server_hash,
				int64_t now_us);
/**
 * @param silence_max_us longest time since the last announcement of the node
 * @return true if the node seems to reach servers of a service
 */
bool load_table_reaches(const load_table_t *table, uint64_t node,
			uint32_t service_hash, int64_t silence_max_us,
			int64_t now_us);
/** @return duty state of a node; DUTY_STATE_NONE if it is not live. */
duty_state_t load_table_duty(const load_table_t *table, uint64_t node,
			     int64_t now_us);
/** @return true if a live node requests or holds the duties. */
bool load_table_duty_wanted(const load_table_t *table, int64_t now_us);
/**
 * @return number of the last usage window that a live duty holder closed; 0:
 * none
 */
int64_t load_table_usage_closed(const load_table_t *table, int64_t now_us);
/**
 * Median time of day of all live nodes and this node: clocks of single VMs may
 * be off by seconds.
 * @param own_wall_ms time of day of this node
 * @param boot_us     CLOCK_BOOTTIME of this node
 * @return ms since 1970
 */
int64_t load_table_wall_ms(const load_table_t *table, int64_t own_wall_ms,
			   int64_t now_us, int64_t boot_us);

/** @return hash of a server's id, as announcements carry it. */
uint32_t load_table_hash(const char *id);
/** @return hash of the id of a node or of a data centre. */
uint64_t load_table_node_hash(const char *id);

#endif

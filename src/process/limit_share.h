/**
 * @file limit_share.h
 * Divides a limit on the requests that all nodes together send to a server.
 * Pure; time is an argument.
 *
 * A few nodes, chosen by a hash of server and node, use each server and have
 * equal parts of its limit; the others send it nothing. The limit divided by
 * all nodes would be too low to use, and each node may save up one request, so
 * that the number of users bounds what can come at once. Nodes need not
 * exchange messages for this, only to have the same list of nodes.
 */
#ifndef PROCESS_LIMIT_SHARE_H
#define PROCESS_LIMIT_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** The nodes among which limits are divided. */
typedef struct {
	uint64_t *hashes; /**< hashes of the node ids; NULL: not known yet */
	size_t count;
	uint64_t own; /**< hash of this node's id */
	uint32_t version; /**< grows with each change */
	int64_t changed_us;
} limit_nodes_t;

/** Limit of a server. */
typedef struct {
	uint32_t server_hash;
	double per_s; /**< requests a second, of all nodes together */
	int32_t users; /**< nodes that have a part */
	/**
	 * Time from a change of the list of nodes until the part of a node
	 * grows: other nodes may still have the previous list.
	 */
	int64_t handover_us;
} limit_t;

/** This node's part of one limit. Bytes of 0, but for filled_us: no part yet.
 */
typedef struct {
	double part; /**< 0 to 1 */
	double next_part; /**< replaces `part` at next_part_us */
	int64_t next_part_us;
	uint32_t version; /**< of the list of nodes that gave next_part */
	int32_t users;
	double tokens; /**< requests that may be sent now, at most 1 */
	int64_t filled_us; /**< at first, when the limit began */
} limit_share_t;

/** Replaces the list of nodes. */
void limit_nodes_set(limit_nodes_t *nodes, const uint64_t *hashes, size_t count,
		     uint64_t own, int64_t now_us);
void limit_nodes_clear(limit_nodes_t *nodes);

/** @return true if this node is the one of all nodes that stands for @p hash.
 */
bool limit_nodes_is_first(const limit_nodes_t *nodes, uint32_t hash);

/** @return true if this node may send a request now. */
bool limit_share_allows(limit_share_t *share, const limit_t *limit,
			const limit_nodes_t *nodes, int64_t now_us);
/** Uses a request that limit_share_allows() allowed. */
void limit_share_take(limit_share_t *share);
/** @return when this node may send the next request; INT64_MAX: it has no part
 */
int64_t limit_share_next_us(limit_share_t *share, const limit_t *limit,
			    const limit_nodes_t *nodes, int64_t now_us);

#endif

/**
 * @file prefix.h
 * Index of the prefix blocks that each backend server probably has cached.
 *
 * Blocks are chained hashes: block i identifies the prompt up to the end of
 * block i, so a server that holds block i is assumed to hold all blocks before
 * it. The index is updated from the requests that this node sends and from the
 * cache events of the servers. Its size is bounded: the least recently used
 * blocks of all servers are evicted first.
 */
#ifndef PROCESS_PREFIX_H
#define PROCESS_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Servers recorded per block. More servers may hold a popular block;
	 * the servers that used it last are the most likely to still hold it.
	 */
	PREFIX_HOLDERS = 8,
	/** Servers returned by one match. */
	PREFIX_MATCHES_MAX = 16
};

typedef struct prefix prefix_t;

/** State of one server in the index. The caller embeds it in its own struct and
 * must not move it. */
typedef struct {
	uint16_t slot; /**< 0: server has no blocks in the index */
	bool sequenced; /**< last_sequence is valid */
	uint64_t last_sequence; /**< number of the latest cache event */
} prefix_server_t;

/** A server that holds a prefix of a prompt. */
typedef struct {
	prefix_server_t *server;
	size_t blocks; /**< lower bound of the leading blocks held */
} prefix_match_t;

/** @param capacity in blocks; a block takes about 45 bytes */
prefix_t *prefix_create(uint32_t capacity);
void prefix_destroy(prefix_t *prefix);

/** Removes a server and its blocks. Call this before freeing the server. */
void prefix_drop(prefix_t *prefix, prefix_server_t *server);

/** Records that a prompt with these blocks was sent to the server. */
void prefix_observe(prefix_t *prefix, prefix_server_t *server,
		    const uint64_t *blocks, size_t count);

/**
 * Processes a cache event of the server. A repeated event is ignored. A gap in
 * the sequence drops the server's blocks, because evictions may be missing.
 * @param stored true if the block was stored, false if it was evicted
 */
void prefix_event(prefix_t *prefix, prefix_server_t *server, uint64_t sequence,
		  bool stored, uint64_t block);

/**
 * Finds the servers with the longest known prefixes of a prompt. The number of
 * lookups grows with the logarithm of @p count, so a match may be up to an
 * eighth too short.
 * @return number of matches
 */
size_t prefix_match(const prefix_t *prefix, const uint64_t *blocks,
		    size_t count, prefix_match_t matches[PREFIX_MATCHES_MAX]);

/** @return number of blocks in the index. */
uint32_t prefix_count(const prefix_t *prefix);

#endif

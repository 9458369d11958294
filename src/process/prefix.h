/**
 * @file prefix.h
 * Which backend servers are likely to hold which prefix blocks.
 *
 * Blocks are chained hashes: block i identifies the prompt up to its end, so
 * a server that holds block i is taken to hold the blocks before it. Fed by
 * this node's sends and by the servers' cache events. Bounded: the blocks
 * used least recently are forgotten first, over all servers.
 */
#ifndef PROCESS_PREFIX_H
#define PROCESS_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Servers kept per block. More servers may hold a popular block; the
	 * ones that used it last are the ones worth knowing. */
	PREFIX_HOLDERS = 8,
	/** Servers returned by one match. */
	PREFIX_MATCHES_MAX = 16
};

typedef struct prefix prefix_t;

/** Place of one server in the index; embed it and keep it in place. */
typedef struct {
	uint16_t slot; /**< 0: not in the index */
	bool sequenced; /**< an event arrived since the last drop */
	uint64_t last_sequence;
} prefix_server_t;

typedef struct {
	prefix_server_t *server;
	size_t blocks; /**< at least this many leading blocks */
} prefix_match_t;

/** @param capacity blocks; about 45 bytes each */
prefix_t *prefix_create(uint32_t capacity);
void prefix_destroy(prefix_t *prefix);

/** Forgets everything about a server, also before it is freed. */
void prefix_drop(prefix_t *prefix, prefix_server_t *server);

/** The server was sent a prompt with these blocks. */
void prefix_observe(prefix_t *prefix, prefix_server_t *server,
		    const uint64_t *blocks, size_t count);

/**
 * Takes in a cache event. Events that were seen are ignored; a gap in the
 * sequence drops the server's blocks, because evictions may be missing.
 */
void prefix_event(prefix_t *prefix, prefix_server_t *server, uint64_t sequence,
		  bool stored, uint64_t block);

/**
 * Finds the servers with the longest known prefixes of a prompt. Looks up a
 * number of blocks that grows with the logarithm of @p count, so a match may
 * be up to an eighth short.
 * @return the number of matches
 */
size_t prefix_match(const prefix_t *prefix, const uint64_t *blocks,
		    size_t count, prefix_match_t matches[PREFIX_MATCHES_MAX]);

/** @return blocks in the index. */
uint32_t prefix_count(const prefix_t *prefix);

#endif

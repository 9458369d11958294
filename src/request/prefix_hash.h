/**
 * @file prefix_hash.h
 * Chained hashes of the blocks of a prompt. Pure: no clock, no I/O.
 *
 * The hash of a block covers all blocks before it: it is the XXH64 of the
 * block's bytes with the hash of the previous block as seed. The first seed
 * is the hash of the client account's name, so that an account cannot learn of
 * the prompts of other accounts. A partial block at the end has no hash.
 */
#ifndef REQUEST_PREFIX_HASH_H
#define REQUEST_PREFIX_HASH_H

#include <stddef.h>
#include <stdint.h>

enum { PREFIX_BLOCK_SIZE_BYTES = 1024 };

/** State of the computation, and the hashes so far. */
typedef struct {
	uint64_t *blocks; /**< hashes, at most `capacity` */
	size_t count, capacity;
	uint64_t previous; /**< hash of the last block, or first seed */
	size_t partial_size; /**< bytes in `partial` */
	uint8_t partial[PREFIX_BLOCK_SIZE_BYTES]; /**< incomplete block */
} prefix_hash_t;

/**
 * @param salt     name of the client account
 * @param capacity blocks to hash; further blocks are ignored
 */
void prefix_hash_init(prefix_hash_t *hash, const char *salt, size_t capacity);

/** Adds the next bytes of the prompt. */
void prefix_hash_add(prefix_hash_t *hash, const void *data, size_t size);

/** Frees the hashes; a caller that keeps them sets `blocks` to NULL first. */
void prefix_hash_clear(prefix_hash_t *hash);

#endif

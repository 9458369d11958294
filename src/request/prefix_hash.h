/**
 * @file prefix_hash.h
 * Chained hashes of the blocks of a prompt. Pure.
 *
 * The hash of a block covers all blocks before it: it is the XXH64 of the
 * block's bytes with the hash of the previous block as seed. The first seed
 * is the hash of the client account, so that accounts do not learn of each
 * other's prompts. A partial block at the end has no hash.
 */
#ifndef REQUEST_PREFIX_HASH_H
#define REQUEST_PREFIX_HASH_H

#include <stddef.h>
#include <stdint.h>

enum { PREFIX_BLOCK_SIZE_BYTES = 1024 };

typedef struct {
	uint64_t *blocks; /**< at most capacity of them */
	size_t count, capacity;
	uint64_t previous;
	size_t partial_size;
	uint8_t partial[PREFIX_BLOCK_SIZE_BYTES];
} prefix_hash_t;

/**
 * @param salt     name of the client account
 * @param capacity further blocks are left out
 */
void prefix_hash_init(prefix_hash_t *hash, const char *salt, size_t capacity);

/** Adds the next bytes of the prompt. */
void prefix_hash_add(prefix_hash_t *hash, const void *data, size_t size);

/** Frees the blocks; set `blocks` to NULL to keep them. */
void prefix_hash_clear(prefix_hash_t *hash);

#endif

#include "request/prefix_hash.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/mem.h"

void prefix_hash_init(prefix_hash_t *hash, const char *salt, size_t capacity)
{
	hash->blocks = NULL;
	hash->count = 0;
	hash->capacity = capacity;
	hash->partial_size = 0;
	hash->previous = XXH3_64bits(salt, strlen(salt));
}

static void add_block(prefix_hash_t *hash, const uint8_t *block)
{
	/* Doubles the array when it is full: count is then a power of two. */
	if (!(hash->count & (hash->count - 1)))
		hash->blocks = mem_realloc(hash->blocks,
					   hash->count ? hash->count * 2 : 1,
					   sizeof(*hash->blocks));
	hash->previous = XXH64(block, PREFIX_BLOCK_SIZE_BYTES, hash->previous);
	hash->blocks[hash->count++] = hash->previous;
}

void prefix_hash_add(prefix_hash_t *hash, const void *data, size_t size)
{
	const uint8_t *next = data;

	while (size && hash->count < hash->capacity) {
		size_t chunk = PREFIX_BLOCK_SIZE_BYTES - hash->partial_size;

		if (!hash->partial_size && size >= chunk) {
			add_block(hash, next);
		} else {
			chunk = size < chunk ? size : chunk;
			memcpy(hash->partial + hash->partial_size, next, chunk);
			hash->partial_size += chunk;
			if (hash->partial_size == PREFIX_BLOCK_SIZE_BYTES) {
				add_block(hash, hash->partial);
				hash->partial_size = 0;
			}
		}
		next += chunk;
		size -= chunk;
	}
}

void prefix_hash_clear(prefix_hash_t *hash)
{
	free(hash->blocks);
	hash->blocks = NULL;
	hash->count = 0;
}

#include "base/text_pool.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/mem.h"

/* A longer string gets a block of its own. */
enum { BLOCK_SIZE_BYTES = 4096 };

typedef struct block {
	size_t used, size;
	struct block *next;
	char text[];
} block_t;

struct text_pool {
	block_t *blocks; /* strings are added to the first one */
};

text_pool_t *text_pool_create(void)
{
	return mem_calloc(1, sizeof(text_pool_t));
}

void text_pool_destroy(text_pool_t *pool)
{
	block_t *block, *next;

	if (!pool)
		return;
	LL_FOREACH_SAFE (pool->blocks, block, next)
		free(block);
	free(pool);
}

static void add_block(text_pool_t *pool, size_t needed)
{
	size_t size = needed > BLOCK_SIZE_BYTES ? needed : BLOCK_SIZE_BYTES;
	block_t *block = mem_calloc(1, sizeof(*block) + size);

	block->size = size;
	LL_PREPEND(pool->blocks, block);
}

const char *text_pool_copy(text_pool_t *pool, const char *text)
{
	size_t size = strlen(text) + 1;
	char *copy;

	if (!pool->blocks || pool->blocks->size - pool->blocks->used < size)
		add_block(pool, size);
	copy = pool->blocks->text + pool->blocks->used;
	memcpy(copy, text, size);
	pool->blocks->used += size;
	return copy;
}

/**
 * @file text_pool.h
 * Strings that are kept, and freed, together.
 */
#ifndef BASE_TEXT_POOL_H
#define BASE_TEXT_POOL_H

typedef struct text_pool text_pool_t;

text_pool_t *text_pool_create(void);
/** Frees all strings of the pool; @p pool may be NULL. */
void text_pool_destroy(text_pool_t *pool);

/** @return a copy of @p text, which lives as long as the pool */
const char *text_pool_copy(text_pool_t *pool, const char *text);

#endif

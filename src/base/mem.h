/**
 * @file mem.h
 * Allocation that does not return NULL: the process aborts when the system
 * has no memory. Budgets limit the memory of requests before this memory is
 * allocated, so running out is not an expected state.
 */
#ifndef BASE_MEM_H
#define BASE_MEM_H

#include <stddef.h>

/** @return zeroed memory for @p count items of @p size bytes each. */
void *mem_calloc(size_t count, size_t size)
	__attribute__((returns_nonnull, malloc));

/**
 * Resizes @p old, which may be NULL, to @p count items of @p size bytes each.
 * Added bytes are not zeroed.
 */
void *mem_realloc(void *old, size_t count, size_t size)
	__attribute__((returns_nonnull));

/** @return a copy of the string @p text; the caller frees the copy. */
char *mem_strdup(const char *text) __attribute__((returns_nonnull));

/** @return a copy of @p size bytes with a NUL appended; the caller frees it. */
char *mem_copy(const void *data, size_t size) __attribute__((returns_nonnull));

/**
 * Copies a string into a buffer of @p size bytes, always NUL-terminated unless
 * @p size is 0.
 * @return 0, or -1 if the string was truncated
 */
int mem_strlcpy(char *target, const char *source, size_t size);

#endif

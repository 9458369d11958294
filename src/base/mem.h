/**
 * @file mem.h
 * Allocation that does not return NULL: the process aborts when the system
 * has no memory, since per-request memory is bounded by budgets before it is
 * allocated.
 */
#ifndef BASE_MEM_H
#define BASE_MEM_H

#include <stddef.h>

/** Returns zeroed memory for @p count items of @p size bytes. */
void *mem_calloc(size_t count, size_t size)
	__attribute__((returns_nonnull, malloc));

/** Resizes @p old to @p count items of @p size bytes. */
void *mem_realloc(void *old, size_t count, size_t size)
	__attribute__((returns_nonnull));

/** Copies a string. */
char *mem_strdup(const char *text) __attribute__((returns_nonnull));

/** Copies @p size bytes and appends a NUL. */
char *mem_copy(const void *data, size_t size) __attribute__((returns_nonnull));

/**
 * Copies a string into a buffer of fixed size and terminates it.
 * @return 0, or -1 if the string had to be cut.
 */
int mem_strlcpy(char *target, const char *source, size_t size);

#endif

/**
 * @file memory.h
 * Heap memory of the test process.
 */
#ifndef TESTS_LIB_MEMORY_H
#define TESTS_LIB_MEMORY_H

#include <stddef.h>

#ifdef __SANITIZE_ADDRESS__
size_t __sanitizer_get_current_allocated_bytes(void);

/** @return bytes that are allocated now */
static inline size_t memory_in_use(void)
{
	return __sanitizer_get_current_allocated_bytes();
}
#else
#include <malloc.h>

/** @return bytes that are allocated now */
static inline size_t memory_in_use(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}
#endif

#endif

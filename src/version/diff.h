/**
 * @file diff.h
 * Difference between two documents, line by line.
 */
#ifndef VERSION_DIFF_H
#define VERSION_DIFF_H

#include <jansson.h>

/**
 * Calls @p line for each difference: `+ SECTION NAME`, `- SECTION NAME`,
 * `~ SECTION NAME KEY: OLD -> NEW`. Version and change ids do not count.
 * @return the number of lines
 */
size_t diff_documents(const json_t *from, const json_t *to,
		      void (*line)(void *context, const char *text),
		      void *context);

#endif

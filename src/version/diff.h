/**
 * @file diff.h
 * Differences between two configuration documents, as lines of text.
 */
#ifndef VERSION_DIFF_H
#define VERSION_DIFF_H

#include <jansson.h>

/**
 * Calls @p line for each difference: `+ SECTION NAME`, `- SECTION NAME`,
 * `~ SECTION NAME KEY: OLD -> NEW`. The name of a distance is FROM-TO; `limits`
 * has no name. The version and the change ids are not compared.
 * @return the number of lines
 */
size_t diff_documents(const json_t *from, const json_t *to,
		      void (*line)(void *context, const char *text),
		      void *context);

#endif

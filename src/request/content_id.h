/**
 * @file content_id.h
 * Identifies what a request asks for.
 */
#ifndef REQUEST_CONTENT_ID_H
#define REQUEST_CONTENT_ID_H

#include <stddef.h>
#include <stdint.h>

enum { CONTENT_HASH_SIZE_BYTES = 32 };

/** Hashes texts, of which none can run into the next, and a body. */
void content_hash(const char *const *texts, size_t count, const void *body,
		  size_t size, uint8_t hash[CONTENT_HASH_SIZE_BYTES]);

/**
 * Requests with the same caller, method, path, query and body have the same id
 * on all nodes.
 * @param account name of the client account; NULL: none
 * @return the id, never 0
 */
uint64_t content_id(const char *account, const char *method, const char *path,
		    const char *query, const void *body, size_t size);

#endif

/**
 * @file inforce.h
 * The configuration in force: the document with the highest version that was
 * offered. The version never goes back.
 */
#ifndef VERSION_INFORCE_H
#define VERSION_INFORCE_H

#include "version/document.h"

typedef struct inforce inforce_t;

typedef enum {
	INFORCE_APPLIED, /**< higher version: now in force */
	INFORCE_SAME, /**< the version in force, same content */
	INFORCE_STALE, /**< lower version: ignored */
	INFORCE_CONFLICT /**< the version in force, other content: ignored */
} inforce_result_t;

inforce_t *inforce_create(void);
void inforce_destroy(inforce_t *inforce);

/**
 * Puts @p document into force if its version is higher than the version in
 * force. The caller keeps its own reference.
 */
inforce_result_t inforce_offer(inforce_t *inforce, document_t *document);

/**
 * @return the document in force, without a reference for the caller; NULL if no
 *         document was applied yet
 */
document_t *inforce_document(const inforce_t *inforce);

/** @return the version in force; 0 if no document was applied yet. */
int64_t inforce_version(const inforce_t *inforce);

#endif

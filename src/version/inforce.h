/**
 * @file inforce.h
 * The configuration in force: the highest version seen, never a lower one.
 */
#ifndef VERSION_INFORCE_H
#define VERSION_INFORCE_H

#include "version/document.h"

typedef struct inforce inforce_t;

typedef enum {
	INFORCE_APPLIED, /**< higher than the version before */
	INFORCE_SAME, /**< the same version and content */
	INFORCE_STALE, /**< lower than the version in force */
	INFORCE_CONFLICT /**< the same version with other content; not applied
			  */
} inforce_result_t;

inforce_t *inforce_create(void);
void inforce_destroy(inforce_t *inforce);

/** Offers a document; takes a reference of its own if it is applied. */
inforce_result_t inforce_offer(inforce_t *inforce, document_t *document);

/** @return the document in force, borrowed; NULL before the first one. */
document_t *inforce_document(const inforce_t *inforce);

/** @return the version in force; 0 before the first one. */
int64_t inforce_version(const inforce_t *inforce);

#endif

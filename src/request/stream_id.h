/**
 * @file stream_id.h
 * Identity of one attempt of one request, unique across the fleet and across
 * restarts of a node.
 */
#ifndef REQUEST_STREAM_ID_H
#define REQUEST_STREAM_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "base/units.h"

/**
 * Identity of an attempt. Its text form is VM.INCARNATION.REQUEST.ATTEMPT, with
 * the numbers in lower-case hexadecimal.
 */
typedef struct {
	char vm_id[NAME_SIZE_BYTES]; /**< contains no '.' and no '/' */
	uint64_t incarnation; /**< random number of the sending process */
	uint64_t request; /**< number of the request in the process */
	uint32_t attempt; /**< number of the attempt, from 1 */
} stream_id_t;

/** Size of a buffer for the text form, with the terminating NUL. */
enum { STREAM_ID_SIZE_BYTES = NAME_SIZE_BYTES + 48 };

/** Writes the text form. */
void stream_id_format(const stream_id_t *id, char text[STREAM_ID_SIZE_BYTES]);

/**
 * Parses the text form.
 * @return false if the text form is malformed
 */
bool stream_id_parse(const char *text, stream_id_t *id);

bool stream_id_equal(const stream_id_t *a, const stream_id_t *b);

#endif

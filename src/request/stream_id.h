/**
 * @file stream_id.h
 * Identity of one attempt of one request, unique over the fleet and over
 * restarts.
 */
#ifndef REQUEST_STREAM_ID_H
#define REQUEST_STREAM_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "base/units.h"

/** Text form: VM.INCARNATION.REQUEST.ATTEMPT, numbers in lower-case hex. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES]; /**< without '.' and '/' */
	uint64_t incarnation; /**< random number of the process */
	uint64_t request;
	uint32_t attempt; /**< from 1 */
} stream_id_t;

enum { STREAM_ID_SIZE_BYTES = NAME_SIZE_BYTES + 48 };

void stream_id_format(const stream_id_t *id, char text[STREAM_ID_SIZE_BYTES]);

/** Parses the text form; false if it is malformed. */
bool stream_id_parse(const char *text, stream_id_t *id);

bool stream_id_equal(const stream_id_t *a, const stream_id_t *b);

#endif

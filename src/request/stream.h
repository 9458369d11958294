/**
 * @file stream.h
 * Position of one answer stream over all attempts of its request. Pure.
 *
 * A chunk is delivered only if it belongs to the current attempt and starts
 * where the answer ends. An answer is complete only with the end marker.
 */
#ifndef REQUEST_STREAM_H
#define REQUEST_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "request/stream_id.h"

typedef struct {
	stream_id_t id; /**< current attempt */
	int64_t next_tokens; /**< tokens delivered over all attempts */
	bool attempt_delivered; /**< the current attempt delivered a chunk */
	int32_t gaps; /**< chunks in a row above the position */
	bool finished; /**< a chunk with a finish reason was delivered */
	bool complete;
	int64_t dropped; /**< chunks dropped over all attempts */
} stream_t;

/*
 * A single chunk with a wrong offset may be a stray one, after which the
 * stream goes on; several in a row mean that a chunk was lost.
 */
enum { STREAM_GAPS_MAX = 4 };

typedef enum {
	STREAM_DELIVER,
	STREAM_COMPLETE,
	STREAM_DROP_OTHER_REQUEST,
	STREAM_DROP_OTHER_ATTEMPT,
	STREAM_DROP_REPEATED, /**< offset below the position */
	STREAM_DROP_AFTER_END,
	STREAM_GAP, /**< offset above the position: dropped */
	STREAM_LOST /**< chunks are missing: read again from the position */
} stream_result_t;

void stream_init(stream_t *stream);

/** Starts an attempt, which continues after the delivered tokens. */
void stream_attempt(stream_t *stream, const stream_id_t *id);

/** The stream of the attempt is read again from the position. */
void stream_resume(stream_t *stream);

/** @param finish the chunk states a finish reason */
stream_result_t stream_chunk(stream_t *stream, const stream_id_t *id,
			     int64_t offset_tokens, int64_t tokens,
			     bool finish);

/**
 * The end marker arrived. It names no stream, so it counts only after a chunk
 * of this stream with a finish reason; before that, chunks are missing.
 */
stream_result_t stream_end_marker(stream_t *stream);

#endif

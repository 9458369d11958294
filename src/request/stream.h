/**
 * @file stream.h
 * Position of one answer stream across all attempts of its request. Performs
 * no I/O.
 *
 * The position is the number of tokens delivered to the caller. A chunk is
 * delivered only if it belongs to the current attempt and its offset equals the
 * position. An answer is complete only when the end marker has arrived.
 */
#ifndef REQUEST_STREAM_H
#define REQUEST_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "request/stream_id.h"

typedef struct {
	stream_id_t id; /**< identity of the current attempt */
	int64_t next_tokens; /**< position: tokens delivered by all attempts */
	bool attempt_delivered; /**< the current attempt delivered a chunk */
	/** Chunks in a row whose offset was above the position. */
	int32_t ahead_chunks;
	bool finished; /**< a chunk with a finish reason was delivered */
	bool complete; /**< the end marker arrived after a finish reason */
	int64_t dropped; /**< chunks and end markers dropped in all attempts */
} stream_t;

/*
 * This many chunks in a row with an offset above the position mean that a chunk
 * was lost. A single one may be a stray chunk, after which the stream
 * continues.
 */
enum { STREAM_AHEAD_MAX = 4 };

typedef enum {
	STREAM_DELIVER, /**< the chunk is the next one of the answer */
	STREAM_COMPLETE, /**< the end marker ended the answer */
	STREAM_DROP_OTHER_REQUEST,
	STREAM_DROP_OTHER_ATTEMPT,
	STREAM_DROP_REPEATED, /**< the offset is below the position */
	STREAM_DROP_AFTER_END, /**< the answer has ended already */
	STREAM_DROP_AHEAD, /**< the offset is above the position */
	STREAM_LOST /**< chunks are missing: resume from the position */
} stream_result_t;

void stream_init(stream_t *stream);

/** Starts an attempt, whose stream continues at the position. */
void stream_attempt(stream_t *stream, const stream_id_t *id);

/** Notes that the attempt's stream is requested again from the position. */
void stream_resume(stream_t *stream);

/**
 * Decides what to do with a chunk, and advances the position if the chunk is
 * to be delivered.
 * @param id            attempt that the chunk names
 * @param offset_tokens tokens of the answer before the chunk
 * @param tokens        tokens in the chunk
 * @param finish        true if the chunk has a finish reason
 */
stream_result_t stream_chunk(stream_t *stream, const stream_id_t *id,
			     int64_t offset_tokens, int64_t tokens,
			     bool finish);

/**
 * Handles an end marker. An end marker names no stream, so it ends the answer
 * only after a chunk of this stream with a finish reason. Before such a chunk
 * it shows that chunks are missing (STREAM_LOST).
 */
stream_result_t stream_end_marker(stream_t *stream);

#endif

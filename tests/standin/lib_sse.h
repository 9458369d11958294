/**
 * @file lib_sse.h
 * Server-sent events of the engine stand-in: replies that send the tokens of
 * a stream.
 */
#ifndef STANDIN_LIB_SSE_H
#define STANDIN_LIB_SSE_H

#include "lib_batch.h"
#include "lib_http.h"

/** Faults injected into replies; guarded by batch_lock. */
typedef struct {
	int64_t cut_after; /**< tokens after which the connection breaks */
	int64_t cut_count; /**< number of new replies with that fault */
	int64_t crossed; /**< chunks of another stream still to insert */
	int64_t wrong_offset; /**< chunks with a wrong offset to insert */
} sse_faults_t;

extern sse_faults_t sse_faults;

/**
 * Replies with the tokens of a stream. Takes over the caller's reference to
 * the stream.
 * @param position index of the first token to send
 */
enum MHD_Result sse_start(http_request_t *request, stream_t *stream,
			  int64_t position);

#endif

/**
 * @file lib_sse.h
 * Replies of the engine stand-in that stream the tokens of a stream.
 */
#ifndef STANDIN_LIB_SSE_H
#define STANDIN_LIB_SSE_H

#include "lib_batch.h"
#include "lib_http.h"

/** Faults of the replies; guarded by batch_lock. */
typedef struct {
	int64_t cut_after; /**< tokens after which a reply is cut */
	int64_t cut_count; /**< of that many replies */
	int64_t crossed; /**< chunks of another stream that are added */
	int64_t wrong_offset; /**< chunks of a wrong offset that are added */
} sse_faults_t;

extern sse_faults_t sse_faults;

/** Sends a stream from a token on; the caller's hold of it passes over. */
enum MHD_Result sse_start(http_request_t *request, stream_t *stream,
			  int64_t position);

#endif

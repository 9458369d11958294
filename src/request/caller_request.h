/**
 * @file caller_request.h
 * Decoded headers of requests and of answers. platform/headers.c defines their
 * form on the wire.
 */
#ifndef REQUEST_CALLER_REQUEST_H
#define REQUEST_CALLER_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"
#include "version/routing.h"

enum {
	REQUEST_ID_SIZE_BYTES = 128,
	EVENT_ID_SIZE_BYTES = 64,
	/** Segments of a prompt that are read; further ones are ignored. */
	SEGMENTS_MAX = 64
};

/** Headers of a caller's request. */
typedef struct {
	char id[REQUEST_ID_SIZE_BYTES]; /**< empty: not stated */
	const char *key; /**< key of a client account, in the headers of the
			  * exchange; empty: not stated */
	int64_t deadline_ms; /**< how long the caller waits for the answer;
			      * -1: not stated */
	int64_t prompt_tokens; /**< length of the prompt; 0: not stated */
	/** Ids of the segments of the prompt that other prompts may share, in
	 * their order; the last segment is the request's own. */
	uint64_t segments[SEGMENTS_MAX];
	size_t segment_count; /**< entries of segments */
	int64_t output_tokens_max; /**< limit of the output; 0: not stated */
	int64_t output_tokens_hint; /**< the caller's estimate of the output;
				     * 0: not stated */
	const char *bounded_header; /**< header whose number was above its bound
				     * and is read as the bound; NULL: none */
	char last_event_id[EVENT_ID_SIZE_BYTES]; /**< last event that the caller
						  * has of the stream; empty:
						  * stream from the start */
} caller_request_t;

/** Headers that this node sets in a request to a server. */
typedef struct {
	const char *server_id; /**< id of the server's incarnation; a server
				* with another id rejects the request */
	const char *account; /**< client account; NULL: public route */
	int64_t deadline_ms; /**< time left until the final answer is due */
	int32_t priority; /**< 0 is the most urgent */
	const char *last_event_id; /**< the stream resumes after this event;
				    * empty: from the start */
	const char *helpers; /**< servers that prefill the other prompt shards;
			      * empty: none */
} server_request_t;

/** Headers that this node sets in a request that it passes to another node. */
typedef struct {
	const char *key; /**< key of the other node */
	int64_t version; /**< configuration in force here */
	int64_t version_age_ms; /**< time since it was applied */
	int64_t deadline_ms; /**< time left until the final answer is due */
	const char *last_event_id; /**< see server_request_t */
} relayed_request_t;

/** What an answer says of the rate of requests that its server accepts. */
typedef enum {
	RATE_NOT_STATED, /**< the server sets no rate, or sets it no longer */
	RATE_STATED,
	RATE_UNREADABLE /**< not a number of requests: says nothing */
} rate_statement_t;

/** Status and headers of a server's answer. */
typedef struct {
	int status; /**< HTTP status; 0: not received yet */
	bool not_run; /**< the answer states that the request did not execute */
	bool sealed; /**< the answer carries the server's digest of the body */
	bool foreign; /**< the answer carries the id of another request */
	bool leaving; /**< the server soon stops accepting requests */
	int64_t retry_after_ms; /**< with status 503: time for which the server
				 * rejects requests of this node; 0: not
				 * stated */
	rate_statement_t rate;
	double rate_per_s; /**< with RATE_STATED: requests a second that the
			    * server accepts from all nodes together */
} server_reply_t;

#endif

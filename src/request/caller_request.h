/**
 * @file caller_request.h
 * What the headers of a request and of its answers say, decoded; see
 * platform/headers.c for their form on the wire.
 */
#ifndef REQUEST_CALLER_REQUEST_H
#define REQUEST_CALLER_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "base/units.h"
#include "version/routing.h"

enum { REQUEST_ID_SIZE_BYTES = 128, EVENT_ID_SIZE_BYTES = 64 };

/** One request of a caller. */
typedef struct {
	char id[REQUEST_ID_SIZE_BYTES];
	char key[ACCOUNT_KEY_SIZE_BYTES]; /**< of an account; empty: none */
	int64_t deadline_ms; /**< that the caller waits; -1: not stated */
	int64_t prompt_tokens; /**< 0: not stated */
	int64_t output_tokens_max;
	int64_t output_tokens_hint; /**< the caller's estimate; 0: none */
	char last_event_id[EVENT_ID_SIZE_BYTES]; /**< empty: from the start */
} caller_request_t;

/** What this node adds to a request on its way to a server. */
typedef struct {
	const char *server_id; /**< only this start of the server may answer */
	const char *account; /**< NULL: public route */
	int64_t deadline_ms; /**< that is left */
	int32_t priority; /**< 0 is the most urgent */
	const char
		*last_event_id; /**< resume after it; empty: from the start */
	const char *helpers; /**< servers that read parts; empty: none */
} server_request_t;

/** Head of a server's answer. */
typedef struct {
	int status;
	bool not_run; /**< states that the request did not execute */
	bool sealed; /**< carries the server's digest of its answer */
	bool foreign; /**< carries the id of another request */
	bool leaving; /**< the server takes no new work soon */
	int64_t retry_after_ms; /**< with 503: it takes no work of this node */
} server_reply_t;

#endif

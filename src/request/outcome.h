/**
 * @file outcome.h
 * Outcomes and error codes that are sent to callers. The codes must not change,
 * because callers depend on them.
 */
#ifndef REQUEST_OUTCOME_H
#define REQUEST_OUTCOME_H

/** Value of the Chivestage-Outcome header. */
typedef enum {
	OUTCOME_COMPLETE, /**< the call executed and has a whole answer */
	OUTCOME_NOT_RUN, /**< the call did not execute */
	OUTCOME_FAILED, /**< a server took the call, but it did not succeed */
	OUTCOME_UNKNOWN /**< the call may or may not have executed */
} outcome_t;

/* Reasons to refuse a request: REFUSAL(NAME, "code", HTTP status, "message") */
#define REFUSALS(REFUSAL)                                                 \
	REFUSAL(BAD_REQUEST, "bad_request", 400, "malformed request")     \
	REFUSAL(KEY_REQUIRED, "idempotency_key_required", 400,            \
		"this service requires an Idempotency-Key header")        \
	REFUSAL(UNAUTHORIZED, "unauthorized", 401, "unknown bearer key")  \
	REFUSAL(FORBIDDEN, "forbidden", 403,                              \
		"the account may not use this service or class")          \
	REFUSAL(NOT_FOUND, "not_found", 404, "no such service or path")   \
	REFUSAL(IN_PROGRESS, "in_progress", 409,                          \
		"a call with this Idempotency-Key is in progress")        \
	REFUSAL(TOO_LARGE, "too_large", 413,                              \
		"the request body exceeds the limit")                     \
	REFUSAL(PROMPT_TOO_LONG, "prompt_too_long", 413,                  \
		"no set of backend servers can hold the prompt")          \
	REFUSAL(KEY_REUSED, "idempotency_key_reused", 422,                \
		"this Idempotency-Key was used with another request")     \
	REFUSAL(RATE_LIMITED, "rate_limited", 429,                        \
		"the account exceeds its rate")                           \
	REFUSAL(OVERLOADED, "overloaded", 503, "no capacity in time")     \
	REFUSAL(MEMORY_FULL, "memory_full", 503,                          \
		"the node's memory budget is used up")                    \
	REFUSAL(NOT_READY, "not_ready", 503, "no configuration in force") \
	REFUSAL(PLATFORM_UNAVAILABLE, "platform_unavailable", 503,        \
		"actions need the platform, which does not answer")       \
	REFUSAL(NO_SERVER, "no_server", 503,                              \
		"no backend server is in service")                        \
	REFUSAL(CRASHES_SERVERS, "request_crashes_servers", 503,          \
		"backend servers ended under this request")               \
	REFUSAL(DEADLINE, "deadline_exceeded", 504,                       \
		"the request cannot finish in time")                      \
	REFUSAL(SERVER_FAILED, "server_failed", 502,                      \
		"the backend server failed")                              \
	REFUSAL(CALLER_STALLED, "caller_stalled", 408,                    \
		"the caller stopped reading")                             \
	REFUSAL(OUTCOME_NOT_KNOWN, "outcome_unknown", 502,                \
		"the call may have executed")

typedef enum {
#define REFUSAL(name, code, status, message) REFUSAL_##name,
	REFUSALS(REFUSAL)
#undef REFUSAL
} refusal_t;

/** @return the value of the Chivestage-Outcome header. */
const char *outcome_text(outcome_t outcome);

/** @return the error code for the caller. */
const char *refusal_code(refusal_t refusal);

/** @return the message for the caller, unless a more exact one is known. */
const char *refusal_message(refusal_t refusal);

/** @return the HTTP status of the answer. */
int refusal_status(refusal_t refusal);

#endif

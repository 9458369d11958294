/**
 * @file client.h
 * A caller for tests: sends calls with libcurl multi on one thread, records
 * each call in the test history, and checks each answer against its request.
 */
#ifndef TESTS_LIB_CLIENT_H
#define TESTS_LIB_CLIENT_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Prompt for a model, or lookup or action of a plain service. */
typedef enum { CALL_MODEL, CALL_LOOKUP, CALL_ACTION } call_kind_t;

/** How a caller reads the answer. */
typedef enum {
	READ_ALL, /**< reads at full speed */
	READ_SLOW, /**< reads 4 KiB a second, with small buffers */
	READ_STALL /**< stops reading after the first bytes of the body */
} read_mode_t;

/** A call to send. The strings must stay valid until the call has ended. */
typedef struct {
	call_kind_t kind;
	char id[48]; /**< unique id of the call */
	const char *address; /**< ADDRESS:PORT */
	const char *key; /**< bearer key; NULL for an engine called directly */
	const char *service; /**< name of a model or plain service */
	const char *class_name; /**< NULL: the default class of the service */
	char action[64]; /**< actions: id, also sent as Idempotency-Key; else
			    empty */
	int64_t prompt_tokens;
	int64_t max_tokens;
	uint64_t seed; /**< seed of the prompt text */
	int64_t deadline_ms; /**< time limit, only for the history; 0: not
				known, so that no limit is checked */
	bool chat; /**< true: chat completion; false: text completion */
	read_mode_t read_mode;
} call_spec_t;

/** How a call ended. */
typedef struct {
	call_kind_t kind;
	int64_t prompt_tokens;
	int status; /**< HTTP status; 0: no answer */
	char outcome[16]; /**< Chivestage-Outcome; "none" if not received */
	char code[40]; /**< code of an error; empty: none */
	bool complete; /**< status 200 with a whole and correct answer */
	bool connected; /**< a connection to the address was made */
	int64_t tokens; /**< tokens received */
	int64_t wrong; /**< bytes that differ from the expected answer, plus 1
			   for each other error in the answer */
	int64_t retry_after_s; /**< value of Retry-After; -1: no such header */
	int64_t ttft_us; /**< time to the first byte of the body; 0: none
			   received */
	int64_t total_us; /**< time to the end of the call */
	uint64_t answer_hash; /**< hash of the body, for actions and lookups */
} call_result_t;

typedef struct caller caller_t;

/**
 * Creates a caller, which caller_destroy() frees.
 * @param done called from caller_run() with the result of each call
 * @param context argument of done()
 */
caller_t *caller_create(void (*done)(void *context, const call_spec_t *spec,
				     const call_result_t *result),
			void *context);

/** Aborts the calls in flight, recording an event `gone` for each. */
void caller_destroy(caller_t *caller);

/** Sends a call and records an event `invoke`. */
void caller_start(caller_t *caller, const call_spec_t *spec);

/**
 * Sends and receives, then waits up to @p wait_ms for more data.
 * @return the number of calls in flight
 */
int caller_run(caller_t *caller, int wait_ms);

#endif

/**
 * @file client.h
 * A caller for tests: sends calls with libcurl multi on one thread, records
 * them in the history, and checks each answer against the request.
 */
#ifndef TESTS_LIB_CLIENT_H
#define TESTS_LIB_CLIENT_H

#include <curl/curl.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef enum { CALL_MODEL, CALL_LOOKUP, CALL_ACTION } call_kind_t;

typedef enum {
	READ_ALL,
	READ_SLOWLY, /**< a few KB a second */
	READ_NOTHING /**< stops reading after the first bytes */
} read_mode_t;

/** What to call. Strings have to live until the call has ended. */
typedef struct {
	call_kind_t kind;
	char id[48]; /**< unique; for actions that of the action */
	const char *address; /**< ADDRESS:PORT */
	const char *key; /**< bearer key; NULL for an engine called directly */
	const char *service; /**< model name or plain service */
	const char *class_name; /**< NULL: the service's own */
	char action[64]; /**< actions: number, also the Idempotency-Key */
	int64_t prompt_tokens;
	int64_t max_tokens;
	uint64_t seed; /**< of the prompt text */
	int64_t deadline_ms; /**< for the history; 0: not known */
	bool chat;
	read_mode_t read_mode;
} call_spec_t;

/** How a call ended. */
typedef struct {
	call_kind_t kind;
	int64_t prompt_tokens;
	int status; /**< 0: no answer */
	char outcome[16]; /**< "none" without one */
	char code[40];
	bool complete; /**< whole, correct, and 200 */
	bool connected;
	int64_t tokens;
	int64_t wrong; /**< bytes that are not those of the request's answer */
	int64_t retry_after_s; /**< -1: no header */
	int64_t ttft_us; /**< time to the first byte of the body */
	int64_t total_us;
	uint64_t answer_hash; /**< actions and lookups */
} call_result_t;

typedef struct caller caller_t;

/** @param done called from caller_run() with each result */
caller_t *caller_create(void (*done)(void *context, const call_spec_t *spec,
				     const call_result_t *result),
			void *context);

/** Ends the calls that still run; their `gone` is recorded. */
void caller_destroy(caller_t *caller);

void caller_start(caller_t *caller, const call_spec_t *spec);

/** Sends and receives for up to @p wait_ms. @return calls in flight */
int caller_run(caller_t *caller, int wait_ms);

#endif

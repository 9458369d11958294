/**
 * @file parse.h
 * Validation of what callers send. Pure.
 */
#ifndef REQUEST_PARSE_H
#define REQUEST_PARSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/units.h"
#include "process/task_msg.h"
#include "request/outcome.h"
#include "version/document.h"

enum {
	/* Prompt estimate: one token for each 4 bytes, rounded up. */
	PROMPT_BYTES_PER_TOKEN = 4,
	MAX_TOKENS_DEFAULT = 1024, /* when the caller states none */
	MAX_TOKENS_LIMIT = 1000000
};

/** Codes of ERR_LAYER_REQUEST: the refusal that the caller receives. */
typedef refusal_t parse_err_t;

/** What a path addresses. */
typedef enum {
	ENDPOINT_COMPLETION,
	ENDPOINT_CHAT,
	ENDPOINT_MODELS,
	ENDPOINT_SERVICE
} endpoint_type_t;

typedef struct {
	endpoint_type_t type;
	char service[NAME_SIZE_BYTES]; /**< ENDPOINT_SERVICE */
	const char *rest; /**< path below the service, with its '/' */
} endpoint_t;

/** Reads method and path; err->code is a refusal_t. */
bool parse_endpoint(const char *method, const char *path, endpoint_t *endpoint,
		    err_t *err);

/** @return the key of `Authorization: Bearer KEY`, or NULL. */
const char *parse_bearer(const char *authorization);

/**
 * Checks an Idempotency-Key: 1 to 128 visible ASCII characters.
 * @param required whether its absence is an error
 */
bool parse_idempotency_key(const char *header, bool required,
			   char key[IDEMPOTENCY_KEY_SIZE_BYTES], err_t *err);

/**
 * Chooses the class: @p header if it is given and allowed, otherwise the
 * default of the service.
 */
const class_conf_t *parse_class(const document_t *document,
				const account_conf_t *account,
				const service_conf_t *service,
				const char *header, err_t *err);

/** Checks Content-Length against the limit. */
bool parse_body_size(int64_t size_bytes, int64_t max_bytes, err_t *err);

/** A completion or chat completion request. */
typedef struct {
	/**
	 * Members of the caller's object as JSON text without braces, less
	 * those that the engine adapter sets; owned.
	 */
	char *fields;
	char model[NAME_SIZE_BYTES]; /**< name of the service */
	bool stream;
	bool include_usage;
	int64_t prompt_tokens; /**< estimate */
	int64_t max_tokens;
	size_t block_count;
	uint64_t *blocks; /**< prefix hashes, owned */
} completion_t;

/**
 * Reads a body. Takes about 20 ms for each MiB: large bodies are read in a
 * thread of their own (process/body_worker.h).
 * @param salt name of the client account, for the prefix hashes
 */
bool parse_completion(const char *body, size_t size, bool chat,
		      const char *salt, completion_t *completion, err_t *err);

void completion_clear(completion_t *completion);

/** Hashes an action, so that a key used with another request is noticed. */
void parse_request_hash(const char *method, const char *path, const char *query,
			const void *body, size_t size,
			uint8_t hash[REQUEST_HASH_SIZE_BYTES]);

#endif

/**
 * @file parse.h
 * Parsing and validation of requests. Performs no I/O.
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
	/* Estimate of a prompt's length: 1 token per 4 bytes, rounded up. */
	PROMPT_BYTES_PER_TOKEN = 4,
	MAX_TOKENS_DEFAULT = 1024, /* if the caller sets no limit */
	MAX_TOKENS_LIMIT = 1000000 /* largest limit of a caller */
};

/** Code of ERR_LAYER_REQUEST: the refusal to send to the caller. */
typedef refusal_t parse_err_t;

/** Kind of resource that a path names. */
typedef enum {
	ENDPOINT_COMPLETION,
	ENDPOINT_CHAT,
	ENDPOINT_MODELS,
	ENDPOINT_SERVICE
} endpoint_type_t;

typedef struct {
	endpoint_type_t type;
	char service[NAME_SIZE_BYTES]; /**< empty unless ENDPOINT_SERVICE */
	/**
	 * Path after the name of the service, empty or with a leading '/'.
	 * NULL unless ENDPOINT_SERVICE.
	 */
	const char *rest;
} endpoint_t;

/**
 * Parses the method and the path of a request.
 * @return false with a refusal_t in err->code if they name no endpoint
 */
bool parse_endpoint(const char *method, const char *path, endpoint_t *endpoint,
		    err_t *err);

/** @return the KEY of "Authorization: Bearer KEY", NULL if there is none. */
const char *parse_bearer(const char *authorization);

/**
 * Checks an Idempotency-Key: 1 to 128 visible ASCII characters.
 * @param header   value of the header; NULL if absent
 * @param required true if an absent header is an error
 * @param key      receives the key; empty if absent or invalid
 * @return false if the header is invalid or a required one is absent
 */
bool parse_idempotency_key(const char *header, bool required,
			   char key[IDEMPOTENCY_KEY_SIZE_BYTES], err_t *err);

/**
 * Chooses the class of a request: the one that @p header names, or the default
 * class of the service if @p header is NULL. The default class is allowed for
 * every account that may use the service.
 * @return NULL if there is no such class or the account may not use it
 */
const class_conf_t *parse_class(const document_t *document,
				const account_conf_t *account,
				const service_conf_t *service,
				const char *header, err_t *err);

/**
 * Checks the Content-Length of a request against the limit.
 * @param size_bytes value of the header; negative if absent
 * @return false if the header is absent or above @p max_bytes
 */
bool parse_body_size(int64_t size_bytes, int64_t max_bytes, err_t *err);

/** A completion or chat completion request. */
typedef struct {
	/**
	 * Members of the caller's object as JSON text without braces, except
	 * those that the engine adapter sets; owned.
	 */
	char *fields;
	char model[NAME_SIZE_BYTES]; /**< name of the service */
	bool stream; /**< answer with a stream of events */
	bool include_usage; /**< stream_options.include_usage is true */
	int64_t prompt_tokens; /**< estimate from the size of the text */
	int64_t max_tokens; /**< tokens to generate at most */
	size_t block_count;
	uint64_t *blocks; /**< prefix hashes of the prompt, owned */
} completion_t;

/**
 * Parses the body of a completion. Takes about 20 ms per MiB, so large bodies
 * are parsed in a thread of their own (process/body_worker.h).
 * @param chat true for a chat completion
 * @param salt name of the client account, which seeds the prefix hashes
 * @return false with a refusal_t in err->code if the body is invalid
 */
bool parse_completion(const char *body, size_t size, bool chat,
		      const char *salt, completion_t *completion, err_t *err);

/** Frees the contents. */
void completion_clear(completion_t *completion);

/**
 * Hashes an action. The hash shows if an idempotency key is used again with
 * another request.
 */
void parse_request_hash(const char *method, const char *path, const char *query,
			const void *body, size_t size,
			uint8_t hash[REQUEST_HASH_SIZE_BYTES]);

#endif

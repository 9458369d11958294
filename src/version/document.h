/**
 * @file document.h
 * One version of the configuration: an immutable, validated JSON document.
 *
 * Documents are shared between tasks by reference count. Pointers returned
 * by accessors stay valid as long as the caller holds a reference.
 */
#ifndef VERSION_DOCUMENT_H
#define VERSION_DOCUMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/units.h"

typedef struct document document_t;

/** Codes of ERR_LAYER_DOCUMENT. */
typedef enum {
	DOCUMENT_ERR_SYNTAX = 1, /**< not JSON */
	DOCUMENT_ERR_SCHEMA, /**< unknown key, wrong type or range */
	DOCUMENT_ERR_REFERENCE, /**< a name that does not exist */
	DOCUMENT_ERR_DUPLICATE, /**< a name that exists twice */
	DOCUMENT_ERR_SIZE /**< larger than the platform accepts */
} document_err_t;

enum {
	DOCUMENT_SIZE_MAX_BYTES = 1000000, /* limit of one platform object */
	KEY_HASH_SIZE_BYTES = 32
};

/** A data centre; out of service while retired. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	bool retired;
} data_centre_conf_t;

/** Round-trip time between two data centres, symmetric. */
typedef struct {
	char from[NAME_SIZE_BYTES];
	char to[NAME_SIZE_BYTES];
	int64_t rtt_us;
} distance_conf_t;

typedef enum { SERVER_ENGINE, SERVER_PLAIN } server_kind_t;

typedef enum {
	FENCING_ENFORCED, /**< refuses orders with an old fencing number */
	FENCING_IGNORED
} fencing_t;

typedef enum { ROLE_BOTH, ROLE_PREFILL, ROLE_DECODE } server_role_t;

/** A backend server. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	char data_centre[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES]; /**< http://ADDRESS:PORT */
	server_kind_t kind;
	fencing_t fencing;
	bool retired;
	int64_t kv_tokens; /**< engine KV memory; 0 for plain services */
	int32_t max_requests; /**< concurrent requests when warm */
	int32_t cold_requests; /**< concurrent requests when cold */
	server_role_t role; /**< desired role */
	char model[NAME_SIZE_BYTES]; /**< desired model; empty for plain */
} server_conf_t;

typedef enum { SERVICE_MODEL, SERVICE_PLAIN } service_kind_t;

/** A service that callers address: a model or a plain service. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	service_kind_t kind;
	char model[NAME_SIZE_BYTES]; /**< model that serves it; model only */
	char class_name[NAME_SIZE_BYTES]; /**< default class */
	bool repeatable; /**< false: calls run at most once, key required */
	size_t server_count;
	char (*servers)[NAME_SIZE_BYTES]; /**< plain services only */
} service_conf_t;

/** A priority class and what it promises. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t priority; /**< higher is served first, 0 to 100 */
	int64_t ttft_ms; /**< promised time to first token */
	int64_t deadline_ms; /**< from receipt to the end of the answer */
	int64_t stall_ms; /**< a caller may stop reading this long */
	int64_t server_idle_ms; /**< a backend server may be silent this long */
} class_conf_t;

/** A client account. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	uint8_t key_hash[KEY_HASH_SIZE_BYTES]; /**< BLAKE2b of the bearer key */
	int32_t weight; /**< share in the queue, 1 to 1000 */
	int64_t requests_per_s; /**< fleet-wide rate; 0 means no limit */
	int32_t max_in_flight; /**< per node; 0 means no limit */
	size_t class_count;
	char (*classes)[NAME_SIZE_BYTES]; /**< classes that may be chosen */
	size_t service_count;
	char (*services)[NAME_SIZE_BYTES]; /**< empty: all services */
} account_conf_t;

/** Fleet-wide parameters. */
typedef struct {
	int64_t long_prompt_tokens; /**< prompts above it use the long lane */
	int64_t credit_block_tokens; /**< KV tokens of a node's block */
	int32_t weight_loads_max; /**< loads in flight per data centre */
	int32_t retry_percent; /**< retries per 100 requests */
} limits_conf_t;

/**
 * Parses and validates a document.
 * @return a document with one reference, or NULL with @p err naming the path
 *         of the offending value, for example `servers[2].url`
 */
document_t *document_parse(const char *text, size_t size_bytes, err_t *err);

document_t *document_ref(document_t *document);
void document_unref(document_t *document);

int64_t document_version(const document_t *document);
const char *document_change_id(const document_t *document);
const limits_conf_t *document_limits(const document_t *document);

/** @return the text in canonical form; valid as long as the document. */
const char *document_text(const document_t *document);

size_t document_data_centre_count(const document_t *document);
const data_centre_conf_t *document_data_centre_at(const document_t *document,
						  size_t index);
const data_centre_conf_t *document_data_centre(const document_t *document,
					       const char *name);

size_t document_distance_count(const document_t *document);
const distance_conf_t *document_distance_at(const document_t *document,
					    size_t index);

/** @return the round-trip time between two data centres, 0 within one. */
int64_t document_rtt_us(const document_t *document, const char *from,
			const char *to);

size_t document_server_count(const document_t *document);
const server_conf_t *document_server_at(const document_t *document,
					size_t index);
const server_conf_t *document_server(const document_t *document,
				     const char *name);

/** @return whether neither the server nor its data centre is retired. */
bool document_server_in_service(const document_t *document,
				const server_conf_t *server);

size_t document_service_count(const document_t *document);
const service_conf_t *document_service_at(const document_t *document,
					  size_t index);
const service_conf_t *document_service(const document_t *document,
				       const char *name);

size_t document_class_count(const document_t *document);
const class_conf_t *document_class_at(const document_t *document, size_t index);
const class_conf_t *document_class(const document_t *document,
				   const char *name);

size_t document_account_count(const document_t *document);
const account_conf_t *document_account_at(const document_t *document,
					  size_t index);
const account_conf_t *document_account(const document_t *document,
				       const char *name);

/** Looks an account up by the hash of its bearer key. */
const account_conf_t *
document_account_by_key(const document_t *document,
			const uint8_t hash[KEY_HASH_SIZE_BYTES]);

/** Hashes a bearer key the way the document stores it. */
void document_hash_key(const char *key, uint8_t hash[KEY_HASH_SIZE_BYTES]);

/** Whether @p account may use the class or the service. */
bool document_account_may_use_class(const account_conf_t *account,
				    const char *class_name);
bool document_account_may_use_service(const account_conf_t *account,
				      const char *service);

#endif

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
	DOCUMENT_ERR_REFERENCE, /**< a name that no object has */
	DOCUMENT_ERR_DUPLICATE, /**< two objects with one name or key */
	DOCUMENT_ERR_SIZE /**< above DOCUMENT_SIZE_MAX_BYTES */
} document_err_t;

enum {
	DOCUMENT_SIZE_MAX_BYTES = 1000000, /**< limit of a platform object */
	KEY_HASH_SIZE_BYTES = 32
};

/** A data centre; its servers receive no new requests while it is retired. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	bool retired;
} data_centre_conf_t;

/** Round-trip time between two data centres, the same in both directions. */
typedef struct {
	char from[NAME_SIZE_BYTES];
	char to[NAME_SIZE_BYTES];
	int64_t rtt_us;
} distance_conf_t;

typedef enum { SERVER_ENGINE, SERVER_PLAIN } server_kind_t;

/** How a server treats the fencing token of an order. */
typedef enum {
	FENCING_ENFORCED, /**< server refuses orders with an old token */
	FENCING_IGNORED /**< server accepts orders with any token */
} fencing_t;

typedef enum { ROLE_BOTH, ROLE_PREFILL, ROLE_DECODE } server_role_t;

/** A backend server. A server is cold after a restart, later warm. */
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
	char model[NAME_SIZE_BYTES]; /**< desired model; empty: none */
} server_conf_t;

typedef enum { SERVICE_MODEL, SERVICE_PLAIN } service_kind_t;

/** A service that callers address: a model or a plain service. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	service_kind_t kind;
	char model[NAME_SIZE_BYTES]; /**< model of a model service */
	char class_name[NAME_SIZE_BYTES]; /**< default: class of requests that
					    name no class */
	/** False: each call runs at most once and needs an idempotency key. */
	bool repeatable;
	size_t server_count;
	char (*servers)[NAME_SIZE_BYTES]; /**< servers of a plain service */
} service_conf_t;

/** A priority class of requests, with its objective and time limits. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t priority; /**< 0 to 100; higher is served first */
	int64_t ttft_ms; /**< objective for the time to first token */
	int64_t deadline_ms; /**< limit from receipt to the end of the answer */
	int64_t stall_ms; /**< longest time without a read by the caller */
	int64_t server_idle_ms; /**< longest silence of a backend server */
} class_conf_t;

/** A client account. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	uint8_t key_hash[KEY_HASH_SIZE_BYTES]; /**< BLAKE2b of the bearer key */
	int32_t weight; /**< relative weight in the queue, 1 to 1000 */
	int64_t requests_per_s; /**< limit over all nodes; 0: no limit */
	int32_t max_in_flight; /**< requests per node; 0: no limit */
	size_t class_count;
	char (*classes)[NAME_SIZE_BYTES]; /**< classes that requests may name */
	size_t service_count;
	char (*services)[NAME_SIZE_BYTES]; /**< allowed services; NULL: all */
} account_conf_t;

/**
 * Parameters of the whole fleet. Prompts above a length use a lane, a subset of
 * the servers. A node holds a block of credits, in KV tokens, for short
 * requests on one server. A load brings the weights of a model into an engine.
 */
typedef struct {
	int64_t long_prompt_tokens; /**< longer prompts use the long lane */
	int64_t credit_block_tokens; /**< block of a node on one server */
	int32_t weight_loads_max; /**< concurrent loads per data centre */
	int32_t retry_percent; /**< retries per 100 requests of a service */
} limits_conf_t;

/**
 * Parses and validates a document.
 * @return a document with one reference, or NULL with @p err naming the path
 *         of the offending value, for example `servers[2].url`
 */
document_t *document_parse(const char *text, size_t size_bytes, err_t *err);

/**
 * Adds a reference.
 * @return @p document, which may be NULL
 */
document_t *document_ref(document_t *document);
/**
 * Drops a reference, and frees the document with the last reference. NULL is
 * allowed.
 */
void document_unref(document_t *document);

int64_t document_version(const document_t *document);
/** @return the id of the change that made the document; "" if not set. */
const char *document_change_id(const document_t *document);
const limits_conf_t *document_limits(const document_t *document);

/**
 * @return the document as JSON text in canonical form, valid as long as the
 *         document
 */
const char *document_text(const document_t *document);

/*
 * Accessors of each section: the number of objects, the object at an index, and
 * the object with a name. An object that does not exist is NULL.
 */
size_t document_data_centre_count(const document_t *document);
const data_centre_conf_t *document_data_centre_at(const document_t *document,
						  size_t index);
const data_centre_conf_t *document_data_centre(const document_t *document,
					       const char *name);

size_t document_distance_count(const document_t *document);
const distance_conf_t *document_distance_at(const document_t *document,
					    size_t index);

/**
 * @return the round-trip time between two data centres; 0 within one data
 *         centre, and if the document has no distance between the two
 */
int64_t document_rtt_us(const document_t *document, const char *from,
			const char *to);

size_t document_server_count(const document_t *document);
const server_conf_t *document_server_at(const document_t *document,
					size_t index);
const server_conf_t *document_server(const document_t *document,
				     const char *name);

/** @return true if neither the server nor its data centre is retired. */
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

/** @return the account whose bearer key has the hash, or NULL. */
const account_conf_t *
document_account_by_key(const document_t *document,
			const uint8_t hash[KEY_HASH_SIZE_BYTES]);

/** Computes the hash of a bearer key as the document stores it. */
void document_hash_key(const char *key, uint8_t hash[KEY_HASH_SIZE_BYTES]);

/** @return true if requests of @p account may name the class. */
bool document_account_may_use_class(const account_conf_t *account,
				    const char *class_name);
/** @return true if @p account may use the service. */
bool document_account_may_use_service(const account_conf_t *account,
				      const char *service);

#endif

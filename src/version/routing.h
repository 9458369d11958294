/**
 * @file routing.h
 * One version of the routing configuration: routes, services and client
 * accounts. Immutable once built, shared by reference count.
 *
 * A builder fills the structs in (see platform/config.c) and calls
 * routing_create(), which takes over the arrays.
 */
#ifndef VERSION_ROUTING_H
#define VERSION_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/units.h"

enum {
	PREFIX_SIZE_BYTES = 256, /**< path prefix of a route */
	ACCOUNT_KEY_SIZE_BYTES = 128,
	ROUTE_TARGETS_MAX = 8
};

/** How often a request may execute. */
typedef enum {
	CALL_IDEMPOTENT, /**< any number of times */
	CALL_AT_MOST_ONCE, /**< once for each request of a caller */
	CALL_STREAM /**< a stream of events; repeated only by resuming it */
} call_kind_t;

/** A service that a route sends to, with its share of the requests. */
typedef struct {
	char service[NAME_SIZE_BYTES];
	int32_t weight;
} route_target_t;

typedef struct {
	char name[NAME_SIZE_BYTES];
	char host[URL_SIZE_BYTES];
	char prefix[PREFIX_SIZE_BYTES]; /**< begins and ends with a slash */
	call_kind_t kind;
	int64_t timeout_ms; /**< longest wait of a caller for the answer */
	int64_t target_ms; /**< latency objective; streams: first event */
	int64_t event_gap_target_ms; /**< longest pause between events; 0: none
				      */
	int32_t attempts_max; /**< servers that one request may be sent to */
	int32_t priority; /**< 0 is the most urgent */
	bool is_public; /**< needs no key */
	bool is_resumable; /**< a broken stream may go on at another server */
	route_target_t targets[ROUTE_TARGETS_MAX];
	size_t target_count;
} route_conf_t;

/** Timing of the model engines of a service, as the operator states it. */
typedef struct {
	bool present; /**< false: a plain service */
	int64_t kv_capacity_tokens; /**< KV cache of one server */
	int32_t steps_per_iteration; /**< steps of a pass that has writers */
	double step_us;
	double step_per_decode_us;
	double step_per_context_token_us;
	double prefill_token_us; /**< prefill of one prompt token */
	double prefill_pair_us; /**< prefill, for each pair of tokens */
	int32_t chunk_tokens; /**< prefill in one step */
	int64_t usual_prompt_tokens;
	int64_t usual_output_tokens;
} engine_profile_t;

typedef struct {
	char name[NAME_SIZE_BYTES];
	char health_path[PREFIX_SIZE_BYTES];
	int32_t connections_max; /**< of one server, over all callers */
	double cold_requests_per_s; /**< that a cold server bears; 0: any */
	int64_t cold_ms; /**< after a start */
	engine_profile_t engine;
	/* Servers that may be ordered in each data centre; 0: none. */
	int32_t servers_min, servers_max;
	int64_t startup_ms; /**< until an ordered server serves */
} service_conf_t;

typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t priority; /**< -1: that of the route */
} account_conf_t;

typedef struct {
	char key[ACCOUNT_KEY_SIZE_BYTES];
	int32_t account; /**< index */
} account_key_t;

/** Limits on what a caller may send. */
typedef struct {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
} caller_limits_t;

typedef struct {
	int64_t version;
	route_conf_t *routes;
	size_t route_count;
	service_conf_t *services;
	size_t service_count;
	account_conf_t *accounts;
	size_t account_count;
	account_key_t *keys;
	size_t key_count;
	caller_limits_t limits;
} routing_conf_t;

typedef struct routing routing_t;

/** Takes over the arrays of @p conf. The caller holds one reference. */
routing_t *routing_create(const routing_conf_t *conf);
routing_t *routing_ref(routing_t *routing);
void routing_unref(routing_t *routing);

int64_t routing_version(const routing_t *routing);
const caller_limits_t *routing_limits(const routing_t *routing);
/** Whether requests need the key of a client account. */
bool routing_needs_keys(const routing_t *routing);

/** @return the route of @p host with the longest prefix of @p path, or NULL. */
const route_conf_t *routing_find(const routing_t *routing, const char *host,
				 const char *path);
/** @return the account that holds @p key, or NULL. */
const account_conf_t *routing_account(const routing_t *routing,
				      const char *key);
const service_conf_t *routing_service(const routing_t *routing,
				      const char *name);
/**
 * Chooses a service of a route by weight.
 * @param draw uniform random number
 */
const char *routing_target(const route_conf_t *route, uint64_t draw);

#endif

/**
 * @file routing.h
 * One version of the routing configuration: routes, services and client
 * accounts. A configuration is immutable once built, and shared by reference
 * count.
 *
 * platform/config.c fills in the structs and calls routing_create(), which
 * becomes owner of the arrays.
 */
#ifndef VERSION_ROUTING_H
#define VERSION_ROUTING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/text_pool.h"
#include "base/units.h"

/** How often a request may execute. */
typedef enum {
	CALL_IDEMPOTENT, /**< may execute any number of times */
	CALL_AT_MOST_ONCE, /**< may execute at most once for each request of a
			      caller */
	CALL_STREAM /**< event stream: a retry must resume the stream */
} call_kind_t;

/** A service to which a route sends requests, chosen by weight. */
typedef struct {
	const char *service;
	int32_t weight;
} route_target_t;

/** How requests for a host and a path prefix are served. */
typedef struct {
	const char *name; /**< empty: not stated */
	const char *host;
	const char *prefix; /**< begins and ends with a slash */
	call_kind_t kind;
	int64_t timeout_ms; /**< longest wait of a caller for the answer */
	int64_t target_ms; /**< latency objective; streams: to first event */
	int64_t event_gap_target_ms; /**< objective for the time between two
					events of a stream; 0: none */
	int32_t attempts_max; /**< servers to which one request may be sent */
	int32_t priority; /**< 0 is the most urgent */
	bool is_public; /**< requests need no key of an account */
	bool is_resumable; /**< another server can resume a broken stream */
	const route_target_t *targets; /**< among those of the configuration */
	size_t target_count;
} route_conf_t;

/**
 * Cost model of the model engines of a service, as the operator states it. An
 * engine works in iterations: chunks of prefill, then decode steps.
 */
typedef struct {
	bool present; /**< false for a plain service */
	int64_t kv_capacity_tokens; /**< KV cache of one server */
	/** Decode steps of an iteration that has decoding requests. */
	int32_t steps_per_iteration;
	double step_us; /**< fixed part of a step */
	double step_per_decode_us; /**< added for each decoding request */
	double step_per_context_token_us; /**< added for each KV token */
	double prefill_token_us; /**< prefill of one prompt token */
	double prefill_pair_us; /**< prefill for each pair of prompt tokens */
	int32_t chunk_tokens; /**< prompt tokens prefilled in one step */
	int64_t usual_prompt_tokens; /**< assumed if the length is unknown */
	int64_t usual_output_tokens; /**< assumed if the length is unknown */
} engine_profile_t;

/** A service and its servers. */
typedef struct {
	const char *name;
	const char *health_path; /**< empty: none */
	int32_t connections_max; /**< connections to one server, for all
				    callers together */
	double cold_requests_per_s; /**< limit of a cold server; 0: no limit */
	int64_t cold_ms; /**< time for which a restarted server is cold */
	engine_profile_t engine;
	/** Servers that may be ordered in each data centre; max 0: none. */
	int32_t servers_min, servers_max;
	int64_t startup_ms; /**< time from the order of a server until the
			       server is ready */
} service_conf_t;

/** A client account. */
typedef struct {
	const char *name;
	int32_t priority; /**< -1: the priority of the route applies */
} account_conf_t;

/** The key of a client account. */
typedef struct {
	const char *key;
	int32_t account; /**< index into routing_conf_t.accounts */
} account_key_t;

/** Limits on what a caller may send. header_bytes is not enforced. */
typedef struct {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_ms; /**< longest wait for a request header */
	int64_t idle_timeout_ms; /**< longest silence of a connection */
} caller_limits_t;

/** The content of a routing configuration. */
typedef struct {
	int64_t version;
	text_pool_t *texts; /**< all strings of the configuration */
	route_conf_t *routes;
	size_t route_count;
	route_target_t *targets; /**< of all routes */
	service_conf_t *services;
	size_t service_count;
	bool needs_keys; /**< the configuration lists accounts, maybe none */
	account_conf_t *accounts;
	size_t account_count;
	account_key_t *keys;
	size_t key_count;
	caller_limits_t limits;
} routing_conf_t;

typedef struct routing routing_t;

/** Frees the arrays and strings of @p conf. */
void routing_conf_clear(routing_conf_t *conf);

/**
 * Builds a routing configuration and becomes owner of the arrays and strings of
 * @p conf.
 * @return the routing configuration, with one reference for the caller
 */
routing_t *routing_create(const routing_conf_t *conf);
routing_t *routing_ref(routing_t *routing);
void routing_unref(routing_t *routing);

int64_t routing_version(const routing_t *routing);
const caller_limits_t *routing_limits(const routing_t *routing);
/** @return true if requests need the key of a client account. */
bool routing_needs_keys(const routing_t *routing);

/**
 * @return the route of @p host, taken without its port, whose prefix is the
 *         longest prefix of @p path, or NULL
 */
const route_conf_t *routing_find(const routing_t *routing, const char *host,
				 const char *path);
/** @return the account with the key @p key, or NULL. */
const account_conf_t *routing_account(const routing_t *routing,
				      const char *key);
/** @return the account called @p name, or NULL. */
const account_conf_t *routing_account_named(const routing_t *routing,
					    const char *name);
/** @return a route that leads to the service; NULL: none does */
const route_conf_t *routing_route_to(const routing_t *routing,
				     const char *service);
/**
 * @param account client account of the request; NULL: none
 * @return priority of requests on a route: that of the account, if it has one
 */
int32_t routing_priority(const route_conf_t *route,
			 const account_conf_t *account);
/** @return the service called @p name, or NULL. */
const service_conf_t *routing_service(const routing_t *routing,
				      const char *name);
/**
 * @return the priority of the most urgent of the routes that lead to a service;
 * 0 if none does. Routes stand for kinds of requests: the priority of an
 * account says nothing about the kind.
 */
int32_t routing_first_priority(const routing_t *routing, const char *service);
/**
 * @return the shortest latency objective of the routes that lead to a service;
 * 0 if none has one
 */
int64_t routing_shortest_target_ms(const routing_t *routing,
				   const char *service);

/** Greatest difference of priorities: servers know those from 0 to 9. */
enum { ROUTING_RANKS_MAX = 9 };
/**
 * @return steps of priority between the most urgent route of a service and a
 *         route that leads to it, 0 to ROUTING_RANKS_MAX
 */
int32_t routing_ranks_below(const routing_t *routing, const route_conf_t *route,
			    const char *service);

/**
 * Chooses a service of a route by weight.
 * @param draw random number, uniform over all values of the type
 * @return the name of the service; empty if the route has no targets
 */
const char *routing_target(const route_conf_t *route, uint64_t draw);

#endif

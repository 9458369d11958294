/**
 * @file backends.h
 * Table of the backend servers that this node knows: their entries in the
 * platform, their load, and the evidence about their health. Does no I/O; time
 * is an argument.
 *
 * A fallback server gets requests only if no other server is left: it failed or
 * was full recently, said that it leaves, is announced as failing by several
 * other nodes, or seems to be partitioned from this node.
 *
 * A server that was removed from the table is remembered for a time, in case
 * its entry comes back, and stays allocated until its last request ends.
 */
#ifndef PROCESS_BACKENDS_H
#define PROCESS_BACKENDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"
#include "health/pace.h"
#include "process/placement.h"
#include "process/local_load.h"
#include "process/load_table.h"
#include "process/server_rates.h"
#include "version/routing.h"

typedef struct backends backends_t;
typedef struct backend backend_t;

typedef enum { BACKEND_READY, BACKEND_DRAINING } backend_state_t;

/** Entry of a server in the platform. */
typedef struct {
	char id[NAME_SIZE_BYTES]; /**< may stay the same over restarts */
	const char *service;
	char address[URL_SIZE_BYTES]; /**< IP:PORT */
	char data_centre[NAME_SIZE_BYTES];
	int32_t slots; /**< requests that the server runs at once */
	backend_state_t state;
	int64_t cold_left_ms; /**< time for which the server stays cold, counted
				 from reading the entry; 0: warm */
	int64_t born_ms; /**< wall clock at the server's start, in ms since
			    1970; 0: not stated */
} backend_entry_t;

/** How an attempt on a server ended, as evidence of the server's health. */
typedef enum {
	EVIDENCE_GOOD, /**< the server answered */
	EVIDENCE_UNREACHABLE, /**< no connection from this node */
	EVIDENCE_BROKEN, /**< reset, truncated or malformed answer */
	EVIDENCE_SILENT, /**< no answer before the timeout */
	EVIDENCE_FULL, /**< rejected for lack of free capacity */
	EVIDENCE_GONE /**< another server, or a restarted one, has the address
		       */
} evidence_t;

typedef struct {
	char data_centre[NAME_SIZE_BYTES]; /**< data centre of this node */
	double cold_factor; /**< factor on service_conf_t.cold_requests_per_s */
	/** Requests beyond its rate that a cold server can take in a second. */
	int32_t cold_slack;
	int64_t drain_us; /**< time in which a leaving server accepts requests
			   */
	bool controls_load; /**< see node_settings_t */
	int64_t traffic_price_us_per_mb;
} backends_conf_t;

backends_t *backends_create(const backends_conf_t *conf);
void backends_destroy(backends_t *backends);

/**
 * Adds or updates a server; copies @p entry with the name of its service.
 * @return true if the server is new, or its state, address or start changed
 */
bool backends_update(backends_t *backends, const backend_entry_t *entry,
		     int64_t now_us);
/**
 * Removes a server, at once or after a grace period.
 * @param grace_until_us time of removal; an update before then cancels the
 *                       removal, since after an outage of the platform the
 *                       entries that expired meanwhile come back; 0: now
 * @return true if the server was in the table
 */
bool backends_remove(backends_t *backends, const char *id,
		     int64_t grace_until_us);
/**
 * Starts a full listing; its end removes the servers not updated since.
 * @param restored the store came back from an older copy: a server that left
 *                 before may be listed as if it had not, until it writes again
 */
void backends_begin_listing(backends_t *backends, bool restored);
/**
 * Ends a full listing.
 * @param grace_until_us see backends_remove()
 * @return number of servers removed or in their grace period
 */
size_t backends_end_listing(backends_t *backends, int64_t grace_until_us);
/**
 * Removes the servers whose grace period is over.
 * @return number of removed servers
 */
size_t backends_expire(backends_t *backends, int64_t now_us);

/** Takes a data centre out of service, or back into service. */
void backends_evacuate(backends_t *backends, const char *data_centre,
		       bool evacuated);
/** Takes all data centres back into service. */
void backends_clear_evacuations(backends_t *backends);

/**
 * Sets the nodes among which the limits of servers are divided (limit_share.h).
 * Before the first call this node's part of each limit is 0.
 * @param nodes hashes of the node ids; copied
 * @param own   hash of this node's id, one of @p nodes
 */
void backends_set_nodes(backends_t *backends, const uint64_t *nodes,
			size_t count, uint64_t own, int64_t now_us);

/** @return the nodes among which limits are divided. */
const limit_nodes_t *backends_nodes(const backends_t *backends);

/**
 * Iterates over the table.
 * @param server previous server; NULL: start
 * @return next server; NULL: end of the table
 */
backend_t *backends_next(backends_t *backends, const backend_t *server);
/** @return the server with this id; NULL: none */
backend_t *backends_find(backends_t *backends, const char *id);

backend_t *backend_ref(backend_t *backend);
/** @param backend may be NULL */
void backend_unref(backend_t *backend);
const backend_entry_t *backend_entry(const backend_t *backend);
/** @return hash of the server's id, as load announcements carry it. */
uint32_t backend_hash(const backend_t *backend);
/** @return hash of the server's id and start, the same at all nodes. */
uint32_t backend_start_hash(const backend_t *backend);
/** @return generation: count of the server's starts that this node has seen. */
uint32_t backend_generation(const backend_t *backend);
/** @return true if new requests may be sent to the server now. */
bool backend_usable(const backend_t *backend, int64_t now_us);

/**
 * Takes one request, of any kind, from this node's part of the server's limits:
 * that of a cold server, and the rate that the server states.
 * @return false, with nothing taken, if a limit is used up
 */
bool backend_take(backend_t *backend, const service_conf_t *service,
		  int64_t now_us);
bool backend_is_cold(const backend_t *backend, int64_t now_us);
/** @return true if the server states a rate of requests. */
bool backend_is_limited(const backend_t *backend);

/** Load of this node on the server; see attempt_load.h. */
local_load_t *backend_own_load(backend_t *backend);

/**
 * Load of all nodes on the server.
 * @param load_table load of the other nodes; NULL: load of this node alone,
 * with the full prefill of each request without a first event
 * @param engine profile of the server's engine; NULL: a plain service
 */
server_load_t backend_load(const backend_t *backend,
			   const load_table_t *load_table,
			   const engine_profile_t *engine, int64_t now_us);

/** Records that a request of this node, or a prompt shard, is sent. */
void backend_note_sent(backend_t *backend, int64_t now_us);
/** Records how an attempt on the server ended. */
void backend_note(backend_t *backend, evidence_t evidence, int64_t now_us);
/**
 * @return true if the server failed for this node within the last second and is
 * still paused: this node announces the server as failing. Never true while its
 * service is cut off from here, which shows nothing about the server.
 */
bool backend_failed_recently(const backend_t *backend, int64_t now_us);

/** Records an answer that said the server leaves; holds until its restart. */
void backend_note_leaving(backend_t *backend, int64_t now_us);
/** Records that the server rejects requests of this node until @p until_us. */
void backend_note_rejecting(backend_t *backend, int64_t until_us);
/**
 * Finds out when a server of a service accepts requests again that it rejects
 * now, or does not accept by the rate that it states.
 * @return INT64_MAX: no server does either
 */
accept_times_t backends_accept_times(backends_t *backends, const char *service,
				     int64_t now_us);

/** @return the rates that the servers state. */
server_rates_t *backends_rates(backends_t *backends);
/** @return the paces of servers; NULL: the nodes do not control the load. */
pace_table_t *backends_paces(backends_t *backends);

/**
 * Records that the server refused to reserve engine memory: for a time, this
 * node assumes that it has less free. No effect unless the nodes control the
 * load.
 * @param tokens memory of the prompt shard that was refused
 */
void backend_note_memory_refused(backend_t *backend, int64_t tokens,
				 int64_t now_us);

/** Records that the server sent data: its data centre can be reached. */
void backend_note_received(backend_t *backend, int64_t now_us);
/**
 * Records whether a connection to the server was made.
 * @param started_us when it was started: a connection shows nothing about the
 *                   time after that
 */
void backend_note_connection(backend_t *backend, bool made, int64_t started_us,
			     int64_t now_us);
/**
 * @return true if this node seems to be partitioned from the servers of a
 * service: connections failed to most of those that were tried last. Whether
 * they live is not known.
 */
bool backends_is_cut_off(backends_t *backends, const char *service);
/** Receives that a service was cut off from this node, or is no longer. */
typedef void (*backends_reach_changed_t)(void *context, const char *service,
					 bool is_cut_off);
/** Judges all services again, and reports what changed since the last call. */
void backends_check_reach(backends_t *backends,
			  backends_reach_changed_t changed, void *context,
			  int64_t now_us);
/**
 * Lists the hashes (load_table_hash()) of services that are cut off from this
 * node.
 * @return number of hashes
 */
size_t backends_list_cut_off(const backends_t *backends, uint32_t *hashes,
			     size_t max);

/** Records whether announcements of the nodes of a data centre arrive. */
void backends_note_peers(backends_t *backends, const char *data_centre,
			 peers_state_t peers, int64_t now_us);
/**
 * Chooses a server of a service that seems to be cut off from this node.
 * @param salt random
 * @return server to connect to; NULL: none now
 */
backend_t *backends_to_connect(backends_t *backends, uint64_t salt,
			       int64_t now_us);
/**
 * Chooses a server whose answer would show that a data centre that seems to be
 * partitioned from this node can be reached.
 * @param salt random
 * @return server to probe; NULL: none now
 */
backend_t *backends_to_probe(backends_t *backends, uint64_t salt,
			     int64_t now_us);
/** @return true if the server's data centre or service seems partitioned from
 * here. */
bool backend_is_partitioned(const backend_t *backend, int64_t now_us);
/**
 * Updates the slowdown factor of a server with one event gap.
 * @param actual_us   measured gap
 * @param expected_us gap by the time model
 */
void backend_note_gap(backend_t *backend, double actual_us, double expected_us);

typedef struct {
	const service_conf_t *service;
	/** Load of the other nodes; NULL: only the load of this node counts. */
	const load_table_t *load_table;
	backend_t *const *except; /**< servers not to be used */
	size_t except_count;
	int64_t now_us;
	/** The query is made only to look: it has no effect. */
	bool is_dry_run;
	uint64_t salt; /**< random number of the request */
	/** Expected bytes of request and answer. */
	int64_t traffic_bytes;
	/** Shortest latency objective of the routes to the service; 0: none. */
	int64_t objective_us;
} backends_query_t;

/**
 * Lists the servers of a service that may take a request now.
 * @param candidates set to an array that the caller frees
 * @return number of candidates
 */
size_t backends_candidates(backends_t *backends, const backends_query_t *query,
			   candidate_t **candidates);

/**
 * @param output_tokens expected output; not used for a plain service
 * @return expected bytes of a request and its answer
 */
int64_t backends_traffic_bytes(const service_conf_t *service,
			       int64_t body_bytes, int64_t output_tokens);
/**
 * Receives that requests for a service begin, or end, to spill over.
 * @param share share of the requests that leaves this data centre; 0: none
 */
typedef void (*backends_flow_changed_t)(void *context, const char *service,
					double share);
/** @return share of the requests for a service that leaves this data centre. */
double backends_flow_share(const backends_t *backends, const char *service);
/** Reports what changed since the last call. */
void backends_check_flows(backends_t *backends, backends_flow_changed_t changed,
			  void *context);

#endif

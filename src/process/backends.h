/**
 * @file backends.h
 * The backend servers that this node knows: their entries in the platform,
 * the work on them, and the evidence about their health. Pure: time is an
 * argument.
 *
 * A server that left the table while requests run on it stays allocated until
 * the last of them ends.
 */
#ifndef PROCESS_BACKENDS_H
#define PROCESS_BACKENDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"
#include "process/placement.h"
#include "process/server_work.h"
#include "process/work_share.h"
#include "version/routing.h"

typedef struct backends backends_t;
typedef struct backend backend_t;

typedef enum { BACKEND_READY, BACKEND_DRAINING } backend_state_t;

/** What the platform says of a server. */
typedef struct {
	char id[NAME_SIZE_BYTES]; /**< of one start, or of several */
	char service[NAME_SIZE_BYTES];
	char address[URL_SIZE_BYTES]; /**< IP:PORT */
	char data_centre[NAME_SIZE_BYTES];
	int32_t slots;
	backend_state_t state;
	int64_t cold_left_ms; /**< when the entry was read */
	int64_t born_ms; /**< wall clock of its start; 0: not stated */
} backend_entry_t;

/** How an attempt on a server ended, as evidence of its health. */
typedef enum {
	EVIDENCE_GOOD,
	EVIDENCE_UNREACHABLE, /**< no connection from this node */
	EVIDENCE_BROKEN, /**< reset, cut off or malformed answer */
	EVIDENCE_SILENT, /**< no answer in the time that was expected */
	EVIDENCE_FULL, /**< refused for lack of room */
	EVIDENCE_GONE /**< another start of a server has its address */
} evidence_t;

typedef struct {
	char data_centre[NAME_SIZE_BYTES]; /**< of this node */
	double cold_factor; /**< on the stated rate of a cold server */
	/** Requests beyond the rate that a cold server bears in a second. */
	int32_t cold_slack;
	int64_t drain_us; /**< in which a server that leaves may be sent to */
} backends_conf_t;

backends_t *backends_create(const backends_conf_t *conf);
void backends_destroy(backends_t *backends);

/** Adds or updates a server. @return whether anything but load changed */
bool backends_update(backends_t *backends, const backend_entry_t *entry,
		     int64_t now_us);
/**
 * Removes a server.
 * @param keep_until_us the server stays in use until then, unless it is updated
 *                      before; 0: it is removed now. After an outage of the
 *                      platform, entries that expired meanwhile come back.
 * @return whether it was there
 */
bool backends_remove(backends_t *backends, const char *id,
		     int64_t keep_until_us);
/** Starts a full listing; servers not updated before the end are removed. */
void backends_begin_listing(backends_t *backends);
/** @return how many servers were removed, or are to be */
size_t backends_end_listing(backends_t *backends, int64_t keep_until_us);
/** Removes the servers whose time is over. @return how many */
size_t backends_expire(backends_t *backends, int64_t now_us);

/** Takes a data centre out of service or back. */
void backends_evacuate(backends_t *backends, const char *data_centre,
		       bool evacuated);
void backends_clear_evacuations(backends_t *backends);

/**
 * Sets the nodes that share the limits of cold servers. Few of them use each
 * cold server, chosen by hash, so that the share of each is worth having.
 * @param nodes hashes of their ids; NULL: not known yet
 * @param own   hash of this node, one of them
 */
void backends_set_nodes(backends_t *backends, const uint64_t *nodes,
			size_t count, uint64_t own);

/** Walks over the table: NULL gives the first server, and ends the walk. */
backend_t *backends_next(backends_t *backends, const backend_t *server);
backend_t *backends_find(backends_t *backends, const char *id);

backend_t *backend_ref(backend_t *backend);
void backend_unref(backend_t *backend);
const backend_entry_t *backend_entry(const backend_t *backend);
/** @return the name of the server in announcements. */
uint32_t backend_hash(const backend_t *backend);
/** @return how often the server is known to have started; grows. */
uint32_t backend_generation(const backend_t *backend);
/** Whether new requests may be sent to it now. */
bool backend_usable(const backend_t *backend, int64_t now_us);

/** Takes one request from the limit of a cold server; true if it is warm. */
bool backend_take_cold(backend_t *backend, const service_conf_t *service,
		       int64_t now_us);
bool backend_is_cold(const backend_t *backend, int64_t now_us);

/** The work of this node on the server; see attempt_work.h. */
local_load_t *backend_own_load(backend_t *backend);

/**
 * Work of all nodes on the server.
 * @param share of the others; NULL: the own work alone, with all prefill that
 *              has not led to a first event
 * @param engine of the server; NULL: a plain service
 */
server_load_t backend_load(const backend_t *backend, const load_table_t *share,
			   const engine_profile_t *engine, int64_t now_us);

void backend_note(backend_t *backend, evidence_t evidence, int64_t now_us);
/** Whether it failed this node just now, which other nodes should know. */
bool backend_failed_recently(const backend_t *backend, int64_t now_us);

/** An answer of the server said that it leaves; holds for this start of it. */
void backend_note_leaving(backend_t *backend, int64_t now_us);
/** The server turned this node away until a time. */
void backend_note_rejecting(backend_t *backend, int64_t until_us);
/**
 * @return when the first server of a service that turned this node away may be
 * sent to again; INT64_MAX: no server did
 */
int64_t backends_accept_at_us(backends_t *backends, const char *service,
			      int64_t now_us);

/** Data came from the server: its data centre can be reached. */
void backend_note_received(backend_t *backend, int64_t now_us);
/** What is heard of the nodes of a data centre. */
void backends_note_peers(backends_t *backends, const char *data_centre,
			 peers_state_t peers, int64_t now_us);
/**
 * @param salt random
 * @return a server that would show whether a data centre that seems to be cut
 * off can be reached; NULL: none is to be probed now
 */
backend_t *backends_to_probe(backends_t *backends, uint64_t salt,
			     int64_t now_us);
/** Whether the data centre of the server seems to be cut off from here. */
bool backend_is_partitioned(const backend_t *backend, int64_t now_us);
/** An event came @p actual_us after the one before; @p expected_us by model. */
void backend_note_gap(backend_t *backend, double actual_us, double expected_us);

typedef struct {
	const service_conf_t *service;
	const load_table_t *share; /**< work of the other nodes; or NULL */
	backend_t *const *except; /**< servers not to be used */
	size_t except_count;
	int64_t now_us;
} backends_query_t;

/**
 * Lists the servers of a service that may take a request now.
 * @param candidates the caller frees it
 */
size_t backends_candidates(backends_t *backends, const backends_query_t *query,
			   candidate_t **candidates);

#endif

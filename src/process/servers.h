/**
 * @file servers.h
 * Backend servers, data centres and services as the dispatcher sees them:
 * the configuration in force, the load reports, and the attempts that this
 * node sent.
 *
 * Times are microseconds of CLOCK_MONOTONIC and are passed in.
 */
#ifndef PROCESS_SERVERS_H
#define PROCESS_SERVERS_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "process/load.h"
#include "process/prefix.h"
#include "version/document.h"

/** A data centre, as seen from the data centre of this node. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	int64_t rtt_us; /**< round trip; 0 for the local data centre */
	bool local; /**< true for the data centre of this node */
	bool reachable; /**< always true for the local data centre */
	UT_hash_handle hh;
} dc_t;

struct server;

/** One attempt on one server, from dispatch to its end. */
typedef struct send {
	struct server *server;
	int64_t sent_us;
	int64_t prefill_tokens; /**< prompt tokens on this server, without the
				   expected prefix-cache hit */
	bool is_long; /**< prompt of the long lane */
	bool prefilled; /**< the first token arrived */
	struct send *prev, *next; /**< other attempts on the server */
} send_t;

/** A backend server. */
typedef struct server {
	/* Fields that every routing decision reads. */
	dc_t *dc;
	bool in_service; /**< configured, and neither the server nor its data
			    centre is retired */
	bool usable; /**< the last report shows the model loaded and a fitting
			role; true until a report about the configured
			model arrives */
	bool reported; /**< at least one report arrived */
	bool shares_kv; /**< can hold a prompt together with other servers */
	bool reserved; /**< kept free for a long prompt that is due, during the
			  present scan of the queue */
	int32_t in_flight; /**< attempts that this node sent */
	int32_t long_prefills; /**< long prompts without a first token */
	int32_t failures; /**< consecutive failed attempts */
	int64_t retry_at_us; /**< no attempt before this time while failures
				 > 0 */
	int64_t kv_tokens; /**< KV memory: the configured or the reported
			      amount, whichever is smaller */
	int64_t backlog_tokens; /**< prefill ahead of a new prompt at
				   backlog_at_us */
	int64_t backlog_at_us; /**< time at which backlog_tokens held */
	double us_per_token; /**< prefill time per token: the inverse of the
				measured rate */
	int64_t refused_until_us; /**< until this time the credit owner is
				     expected to refuse refused_tokens */
	int64_t refused_tokens; /**< smallest amount of KV memory that the owner
				   refused; larger amounts are refused too */
	uint32_t lane_rank; /**< servers join the long lane in ascending rank */
	int64_t hit_tokens; /**< expected prefix-cache hit; process/route sets
			       it for one decision */
	prefix_server_t prefix;

	char name[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	char model[NAME_SIZE_BYTES];
	server_kind_t kind;
	int64_t configured_kv_tokens;
	uint64_t incarnation;
	int64_t report_taken_us; /**< when the server took its last report */
	int32_t references; /**< attempts in flight and pending choices */
	send_t *sends; /**< attempts in flight of this node */
	UT_hash_handle hh;
} server_t;

/** Servers of one service in one data centre. */
typedef struct {
	dc_t *dc;
	size_t count;
	server_t **servers; /**< in ascending order of lane_rank */
	size_t round_robin; /**< index of the next server, for
				ROUTE_ROUND_ROBIN */
} group_t;

typedef struct {
	dc_t *dcs;
	server_t *servers;
	prefix_t *prefix; /**< prefix index; the dispatcher frees it */
	char data_centre[NAME_SIZE_BYTES]; /**< data centre of this node */
} servers_t;

void servers_init(servers_t *servers, const char *data_centre,
		  prefix_t *prefix);
void servers_clear(servers_t *servers);

/** Applies a configuration. A server that is no longer configured stays while
 * it is in use. */
void servers_configure(servers_t *servers, const document_t *document);

/** @return NULL if no server has this name. */
server_t *servers_find(const servers_t *servers, const char *name);
/** Records that this node can, or cannot, reach a data centre. Ignored for the
 * local data centre. */
void servers_set_reachable(servers_t *servers, const char *data_centre,
			   bool reachable);

/**
 * Groups the servers of a service by data centre, nearest first.
 * @return the number of groups; free with groups_free()
 */
size_t servers_group(const servers_t *servers, const document_t *document,
		     const service_conf_t *service, group_t **groups);
void groups_free(group_t *groups, size_t count);

/**
 * Applies a load report. A report older than the last one is ignored.
 * @return true if the server restarted: the report has a new incarnation
 */
bool server_apply_report(server_t *server, const load_report_t *report);

/** @return true if the server takes part in the lanes: in service, usable,
 * reachable and not failing. */
static inline bool server_available(const server_t *server)
{
	return server->in_service && server->usable && !server->failures &&
	       server->dc->reachable;
}

/** @return prefill tokens ahead of a new prompt, as predicted for now. */
int64_t server_backlog_tokens(const server_t *server, int64_t now_us);

/** @return true if no earlier failure forbids an attempt now. After a failure
 * one attempt at a time may be sent, after the backoff. */
bool server_may_try(const server_t *server, int64_t now_us);

/** Counts an attempt as in flight on a server until server_ended(). */
void server_sent(server_t *server, send_t *send, int64_t now_us);
/** Counts the prefill of an attempt as done. */
void server_first_token(send_t *send);
/** Ends an attempt on a server; ignored for an attempt that ended before. */
void server_ended(send_t *send);

/** Records that an attempt succeeded: ends the backoff of the server. */
void server_succeeded(server_t *server);
/** Records that an attempt failed: starts the backoff, or doubles it. */
void server_failed(server_t *server, int64_t now_us);

#endif

/**
 * @file servers.h
 * Backend servers, data centres and services as the dispatcher sees them:
 * the configuration in force, the load reports, and this node's own sends.
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

/** A data centre, seen from the data centre of this node. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	int64_t rtt_us; /**< 0 for the local data centre */
	bool local;
	bool reachable; /**< always true for the local one */
	UT_hash_handle hh;
} dc_t;

struct server;

/** One attempt on one server, from dispatch to its end. */
typedef struct send {
	struct server *server;
	int64_t sent_us;
	int64_t prefill_tokens; /**< prompt tokens without the expected hit */
	bool is_long; /**< prompt of the long lane */
	bool prefilled; /**< its first token arrived */
	struct send *prev, *next; /**< other sends of the server */
} send_t;

/** A backend server. */
typedef struct server {
	/* read for every routing decision */
	dc_t *dc;
	bool in_service; /**< configured, not retired, nor its data centre */
	bool usable; /**< the report shows the model loaded and a fitting role
		      */
	bool reported; /**< a report of this incarnation arrived */
	bool shares_kv;
	bool reserved; /**< kept for a long prompt that is due, in this pass */
	int32_t in_flight; /**< attempts of this node */
	int32_t long_prefills; /**< long prompts without a first token */
	int32_t failures; /**< consecutive failed attempts */
	int64_t retry_at_us; /**< no attempt before, while failures > 0 */
	int64_t kv_tokens; /**< memory: configured, or less if so reported */
	int64_t backlog_tokens; /**< prefill ahead of a new prompt... */
	int64_t backlog_at_us; /**< ...at this time */
	double us_per_token; /**< inverse of the measured prefill rate */
	int64_t refused_until_us; /**< the credit owner refused... */
	int64_t refused_tokens; /**< ...this amount, so a larger one too */
	uint32_t lane_rank; /**< order in which servers join the long lane */
	int64_t hit_tokens; /**< used by process/route during one decision */
	prefix_server_t prefix;

	char name[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	char model[NAME_SIZE_BYTES];
	server_kind_t kind;
	int64_t configured_kv_tokens;
	uint64_t incarnation;
	int64_t report_taken_us;
	int32_t references; /**< sends and pending placements */
	send_t *sends;
	UT_hash_handle hh;
} server_t;

/** Servers of one service in one data centre. */
typedef struct {
	dc_t *dc;
	size_t count;
	server_t **servers; /**< in the order in which they join the lane */
	size_t round_robin; /**< next one, for ROUTE_ROUND_ROBIN */
} group_t;

typedef struct {
	dc_t *dcs;
	server_t *servers;
	prefix_t *prefix; /**< not owned */
	char data_centre[NAME_SIZE_BYTES]; /**< of this node */
} servers_t;

void servers_init(servers_t *servers, const char *data_centre,
		  prefix_t *prefix);
void servers_clear(servers_t *servers);

/** Takes over a configuration; servers that left it stay while in use. */
void servers_configure(servers_t *servers, const document_t *document);

server_t *servers_find(const servers_t *servers, const char *name);
void servers_reachable(servers_t *servers, const char *data_centre,
		       bool reachable);

/**
 * Groups the servers of a service by data centre, nearest first.
 * @return the number of groups; free with groups_free()
 */
size_t servers_groups(const servers_t *servers, const document_t *document,
		      const service_conf_t *service, group_t **groups);
void groups_free(group_t *groups, size_t count);

/**
 * Takes in a load report.
 * @return whether the server has a new incarnation
 */
bool server_apply_report(server_t *server, const load_report_t *report);

/** Whether the server takes part in the lanes: in service and not failing. */
static inline bool server_available(const server_t *server)
{
	return server->in_service && server->usable && !server->failures &&
	       server->dc->reachable;
}

/** @return prefill tokens ahead of a new prompt, as predicted for now. */
int64_t server_backlog_tokens(const server_t *server, int64_t now_us);

/** Whether an attempt may be sent, as far as failures are concerned. */
bool server_may_try(const server_t *server, int64_t now_us);

/** Counts an attempt from its dispatch until server_ended(). */
void server_sent(server_t *server, send_t *send, int64_t now_us);
void server_first_token(send_t *send);
void server_ended(send_t *send);

/** The last attempt showed that the server works, or that it does not. */
void server_succeeded(server_t *server);
void server_failed(server_t *server, int64_t now_us);

#endif

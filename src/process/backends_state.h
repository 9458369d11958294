/**
 * @file backends_state.h
 * State of the server table. Private to src/process/backends*.c.
 */
#ifndef PROCESS_BACKENDS_STATE_H
#define PROCESS_BACKENDS_STATE_H

#include <uthash.h>

#include "process/backends.h"
#include "zone/zone_flow.h"

/* Health of a data centre, as seen from this node. */
typedef struct backend_dc {
	char name[NAME_SIZE_BYTES];
	uint32_t hash; /* hash of the name */
	bool evacuated;
	peers_state_t peers;
	int64_t partitioned_us; /* when its nodes fell silent together; 0: they
				   did not */
	int64_t last_received_us; /* last data from one of its servers */
	int64_t probed_us; /* last probe of one of its servers */
	int32_t connect_failures; /* connect failures in a row, each within 1 s
				     of the one before */
	int64_t connect_failed_us; /* last connection that failed */
	int64_t fallback_until_us; /* the servers of the data centre are
				      fallback until this time */
	UT_hash_handle hh;
} backend_dc_t;

/* Reachability of the servers of a service from this node. */
typedef struct backend_service {
	char *name;
	int64_t probed_us; /* last probe of one of its servers */
	bool is_cut_off; /* see backends_is_cut_off() */
	bool was_cut_off; /* what was last reported */
	zone_flow_t *flow; /* spillover; NULL: no request yet */
	int64_t flow_us; /* last update of the flow */
	bool was_spilling; /* what was last reported */
	UT_hash_handle hh;
} backend_service_t;

struct backend {
	backend_entry_t entry;
	backends_t *table; /* NULL once the server is removed */
	int references;
	uint32_t hash; /* hash of the server's id */
	uint32_t generation; /* starts seen; a new address counts as a start */
	backend_dc_t *dc;
	backend_service_t *service;
	int64_t begun_us; /* when its generation was first seen */
	/* Start of the last connection in this generation that worked, and of
	 * the last one that failed; 0: none */
	int64_t connected_us, connect_failed_us;
	uint64_t listing; /* last listing that had its entry */
	int64_t forget_at_us; /* for an absent server; 0: not set yet */
	int64_t remove_at_us; /* end of the grace period; 0: entry is present */
	int64_t cold_until_us;
	limit_share_t cold_share; /* this node's part of the cold limit */
	local_load_t own_load; /* load of this node */
	int64_t doubted_until_us; /* its entry may be of an older copy of the
				     store until then; 0: it is not */
	int64_t leaving_us; /* first answer that said the server leaves; 0: none
			     */
	int64_t rejects_until_us; /* the server rejects requests of this node
				     until this time */
	int32_t failures; /* failures of the server in a row */
	int64_t paused_until_us; /* after failures, the server is fallback until
				    this time */
	int64_t failed_us; /* last failure; 0: none since the last success */
	double slowdown; /* mean ratio of event gaps to the model's; 1: equal */
	int64_t memory_refused_tokens; /* least memory that the server refused
					  to reserve until memory_refused_us */
	int64_t memory_refused_us;
	int32_t recent; /* requests sent since recent_us */
	int64_t recent_us;
	UT_hash_handle hh;
};

struct backends {
	backends_conf_t conf;
	backend_t *servers;
	backend_t *absent; /* servers whose entries were removed */
	backend_dc_t *dcs;
	backend_service_t *services;
	server_rates_t *rates;
	pace_table_t *paces; /* NULL: the nodes do not control the load */
	uint64_t listing; /* number of the current listing */
	bool restoring; /* it is of an older copy of the store */
	limit_nodes_t nodes; /* share the limits of servers */
};

/** Finds a data centre, or adds it. @return never NULL */
backend_dc_t *backends_dc(backends_t *backends, const char *name);

/** @return NULL: no server, or request, of the service was seen */
backend_service_t *backends_find_service(const backends_t *backends,
					 const char *name);
/** Finds a service, or adds it. @return never NULL */
backend_service_t *backends_service(backends_t *backends, const char *name);
/** Frees the table of services. */
void backends_free_services(backends_t *backends);

/* @return true if the server may be used, or will be once it no longer rejects
 * requests, and once a limit allows one. */
bool backend_in_service(const backend_t *backend, int64_t now_us);
/* @return true if the limits of the server allow this node a request now. */
bool backend_allows(backend_t *backend, const service_conf_t *service,
		    int64_t now_us);

/* The same without any effect, for a server that is in the table. */
bool backend_would_allow(const backend_t *backend,
			 const service_conf_t *service, int64_t now_us);
/* backends_zones.c */
/* Load of the data centres of a service, summed up while its servers are
 * listed.
 */
typedef struct {
	zone_load_t zones[ZONES_MAX];
	size_t count;
	bool is_due; /* the sum is wanted */
} zone_sum_t;

/* Begins a sum if the spillover of the service is older than 50 ms. */
void backends_begin_sum(const backends_t *backends,
			const backends_query_t *query, zone_sum_t *sum);
/* Adds a usable server. */
void backends_add_to_sum(zone_sum_t *sum, const candidate_t *candidate,
			 const backends_query_t *query);
/* Updates the spillover of the service if the sum was due.
 * @return the spillover; NULL: requests go to any data centre */
const zone_flow_t *backends_end_sum(backends_t *backends,
				    const backends_query_t *query,
				    const zone_sum_t *sum);
/* @return price of @p bytes between data centres. */
int64_t backends_traffic_us(const backends_t *backends, int64_t bytes);

#endif

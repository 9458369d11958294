/**
 * @file admission.h
 * Decides how urgent a placed request is to its servers. Pure: no clock, no
 * I/O.
 *
 * The load it answers: for some seconds, more short prompts than engines have
 * slots, from several kinds of requests and client accounts. In one queue all
 * of them become late together. A request that is late in any case is therefore
 * deferred: engines admit it after all others, and the forecasts for others do
 * not include waiting for it. Since an engine admits a deferred request at once
 * while no other waits, this costs no capacity.
 */
#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include "admission/account_load.h"
#include "process/placement.h"

enum {
	/** Engines admit requests with this priority after all others. */
	ADMISSION_PRIORITY_LAST = 9
};

typedef enum {
	ADMISSION_SEND, /**< with the priority of the request */
	ADMISSION_DEFER /**< with ADMISSION_PRIORITY_LAST */
} admission_action_t;

/** Why a request is deferred. */
typedef enum {
	ADMISSION_NO_CAUSE, /**< it is not */
	ADMISSION_LATE, /**< it misses its objective on every server */
	/** Its service is short of capacity, of which its account has more than
	 * a fair share. */
	ADMISSION_ACCOUNT,
	/** Its service is short of capacity, and has more urgent kinds of
	 * requests. */
	ADMISSION_KIND
} admission_cause_t;

/** Slots of the servers of a service. */
typedef struct {
	int64_t slots;
	int64_t free; /**< deferred requests not counted: others pass them */
} admission_capacity_t;

/** A request for which servers were chosen. */
typedef struct {
	bool controls_load; /**< false: nothing is deferred */
	const engine_profile_t *engine; /**< NULL: a plain service */
	const placement_t *placement; /**< the servers; at least one */
	int64_t prompt_tokens;
	int32_t priority; /**< of its account or route */
	int32_t ranks_below; /**< see placement_query_t */
	uint64_t salt; /**< random number of the request */
	/** Time left to the latency objective; not positive: passed. */
	int64_t target_us;
	int64_t waited_us; /**< time since the request arrived */
	/** Time after which its caller stops waiting for a first event. */
	int64_t wait_max_us;
	bool has_events; /**< its caller has events of the answer */
	admission_capacity_t capacity; /**< of the service */
	const account_load_t *accounts;
	uint32_t service; /**< hash of its name */
	/** Hash of the name of the client account; 0: none, which has no share.
	 */
	uint32_t account;
} admission_query_t;

typedef struct {
	admission_action_t action;
	int32_t priority; /**< that the servers are told */
	admission_cause_t cause;
} admission_t;

/** @return capacity of servers, without those used as a last resort */
admission_capacity_t admission_capacity(const candidate_t *candidates,
					size_t count);

/** Use of the service by the account of a request, and its fair share. */
account_use_t admission_use(const admission_query_t *query);

/** Decides on one request. */
void admission_decide(const admission_query_t *query, admission_t *admission);

/** @return name of a cause, as logs have it. */
const char *admission_cause_name(admission_cause_t cause);

#endif

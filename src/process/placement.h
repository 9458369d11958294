/**
 * @file placement.h
 * Selects the servers for one request. Pure: no clock, no I/O.
 *
 * Two kinds of load share one fleet: many short prompts whose streams allow
 * only short event gaps, and few prompts whose prefill takes seconds. The
 * prefill of a long prompt delays every stream on its server. The cost of a
 * placement is therefore the weight of the requests that miss their objective
 * because of it: the request itself, and the streams whose event gaps grow too
 * long. The weight of a request grows with the length of its prompt. Among
 * placements of equal cost, short prompts are packed onto servers that already
 * decode, so that other servers stay free for long prompts, and a prompt is
 * split over as few servers as meet its objective.
 */
#ifndef PROCESS_PLACEMENT_H
#define PROCESS_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"
#include "process/forecast.h"

enum { PLACEMENT_SHARDS_MAX = 16 };
/** Greatest age of the load that other nodes announced to this node: the time
 * for two announcements after an increase, plus the network delay. */
#define PLACEMENT_LOAD_AGE_US (50 * US_PER_MS)
/** Fraction of an objective that a prediction may use up before the request
 * counts as missing it; the rest covers errors of the prediction. */
#define PLACEMENT_TARGET_SHARE 0.6

/** A server that can take the request. */
typedef struct {
	void *server; /**< opaque object of the caller */
	/** Sort key: equal on all nodes, differs between servers. */
	uint32_t order;
	server_load_t load;
	int32_t slots; /**< requests that the server runs at once */
	int64_t kv_capacity_tokens; /**< 0: no limit */
	int64_t kv_refused_tokens; /**< memory that the server just refused to
				    * reserve; 0: none */
	double slowdown; /**< slowdown factor: 1 is the stated speed */
	/** Requests that this node sent to the server within
	 * PLACEMENT_LOAD_AGE_US. */
	int32_t recent;
	/** Network delay to a far server; 0: in this node's data centre. */
	int64_t distance_us;
	/** Price of the traffic to a far server, as time: weighed, but not part
	 * of predictions. */
	int64_t traffic_us;
	bool fallback; /**< used only when no other server is left */
	/** Last choice for short prompts and plain services: in a data centre
	 * that the request should not go to. */
	bool reserved;
	/** States a rate of requests: takes whole prompts only, because each
	 * shard would count as a request. */
	bool is_limited;
} candidate_t;

/** The request to place. */
typedef struct {
	const engine_profile_t *engine; /**< NULL: a plain service */
	int64_t prompt_tokens;
	int64_t output_tokens; /**< expected output */
	int64_t gap_target_us; /**< longest event gap of the stream; 0: any */
	int64_t objective_us; /**< latency objective of the request */
	int64_t target_us; /**< time left to the objective; 0: passed */
	int64_t limit_us; /**< time left until the caller stops waiting */
	bool may_refuse; /**< caller has received no event yet */
	/** Ranks between the most urgent kind of request of the service and
	 * this one; each halves the weight of the request. */
	int32_t ranks_below;
	int32_t nodes; /**< nodes that place requests concurrently */
	uint64_t salt; /**< random tie breaker of the request */
	bool controls_load; /**< see node_settings_t: slowdown factors apply to
			     * all work of a server, what this node adds to a
			     * server is bounded, and requests that servers
			     * admit after all others do not delay this one */
} placement_query_t;

typedef enum {
	PLACEMENT_CHOSEN,
	PLACEMENT_NO_SERVER, /**< no candidate with free memory */
	/** Other requests would lose more than this request gains. */
	PLACEMENT_BUSY,
	PLACEMENT_TOO_LONG, /**< no set of servers can hold the prompt */
	PLACEMENT_PAST_LIMIT /**< first event predicted after limit_us */
} placement_result_t;

/** Why a request leaves its data centre. */
typedef enum {
	LEAVES_NOT, /**< it stays, or no data centre is reserved */
	LEAVES_BY_SHARE, /**< the pressure there is high */
	LEAVES_LATE, /**< no server there serves it in time */
	LEAVES_NO_SERVER, /**< no usable server is there */
	LEAVES_LONG /**< a long prompt, which goes anywhere */
} leave_cause_t;

/** @return name of a cause, as logs have it. */
const char *placement_leaves_name(leave_cause_t cause);

/** Servers selected for a request. */
typedef struct {
	size_t count; /**< prompt shards, one per server; 0: none selected */
	/** Server of each prompt shard; the first one also decodes. */
	const candidate_t *shards[PLACEMENT_SHARDS_MAX];
	bool shared_memory; /**< the prompt exceeds one server's memory */
	int64_t first_event_us; /**< predicted time until the first event */
	/** Prefill time of each shard. */
	int64_t prefill_us[PLACEMENT_SHARDS_MAX];
	/** Weight of other requests that miss their objective because of this
	 * placement. */
	double missed_weight;
	leave_cause_t leaves; /**< by the server of the first shard */
	/** If the request is refused: time until capacity is expected to be
	 * free. */
	int64_t retry_in_us;
	bool deferred; /**< the servers admit the request after all others */
} placement_t;

/** @return true if the prompt counts as short: short ones are packed. */
bool placement_is_short_prompt(const engine_profile_t *engine,
			       int64_t prompt_tokens);

/**
 * Selects the servers for one request.
 * @param placement the selected servers; for PLACEMENT_BUSY and
 * PLACEMENT_PAST_LIMIT, the placement that was rejected
 * @return PLACEMENT_CHOSEN, or the reason why the request is not placed
 */
placement_result_t placement_choose(const candidate_t *candidates, size_t count,
				    const placement_query_t *query,
				    placement_t *placement);

/**
 * Replaces the server of one shard by the cheapest candidate that has memory
 * for the shard, finishes it before limit_us, and is not in the placement.
 * @return false if there is none; @p placement is unchanged
 */
bool placement_replace(const candidate_t *candidates, size_t count,
		       const placement_query_t *query, size_t index,
		       placement_t *placement);

#endif

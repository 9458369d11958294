/**
 * @file placement.h
 * Chooses the servers for one request. Pure.
 *
 * Answers two loads that share one fleet: many short prompts whose streams
 * allow short pauses only, and few prompts whose prefill takes seconds. The
 * prefill of a long prompt delays every stream on its server, so what a choice
 * costs is the weight of the requests that become late by it: the request
 * itself, and the streams whose pauses grow too long. Among choices of equal
 * cost, short prompts are packed onto servers that already write, so that
 * other servers stay free for long ones, and a prompt is split over as few
 * servers as meet its objective.
 */
#ifndef PROCESS_PLACEMENT_H
#define PROCESS_PLACEMENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/forecast.h"

enum { PLACEMENT_SHARDS_MAX = 16 };

/** A server that may take the request. */
typedef struct {
	void *server; /**< the user's object */
	uint32_t order; /**< the same for all nodes, different for servers */
	server_load_t load;
	int32_t slots; /**< requests that run at once */
	int64_t kv_capacity_tokens; /**< 0: not limited */
	double slowdown; /**< 1 is the stated speed, above it is slower */
	int64_t distance_us; /**< round trip, and what a far server costs */
	bool fallback; /**< used only when no other server is left */
} candidate_t;

typedef struct {
	const engine_profile_t *engine; /**< NULL: a plain service */
	int64_t prompt_tokens;
	int64_t output_tokens; /**< expected */
	int64_t gap_target_us; /**< longest pause of its stream; 0: any */
	int64_t objective_us; /**< latency objective of the request */
	int64_t target_us; /**< time left until then; 0: it is late */
	int64_t limit_us; /**< time left until the caller gives up */
	bool may_refuse; /**< the caller has nothing of the answer yet */
	int32_t nodes; /**< that choose servers at the same time */
	uint64_t salt; /**< breaks ties, differs between requests */
} placement_query_t;

typedef enum {
	PLACEMENT_CHOSEN,
	PLACEMENT_NO_SERVER, /**< no candidate, or none with room */
	PLACEMENT_BUSY, /**< others would lose more than the request gains */
	PLACEMENT_TOO_LONG, /**< no set of servers can hold the prompt */
	PLACEMENT_PAST_LIMIT /**< the first event would come after the limit */
} placement_result_t;

typedef struct {
	size_t count;
	const candidate_t
		*parts[PLACEMENT_SHARDS_MAX]; /**< first: the writer */
	bool shared_memory; /**< the prompt does not fit on the first alone */
	int64_t first_event_us; /**< predicted, from now */
	int64_t read_us[PLACEMENT_SHARDS_MAX]; /**< prefill of each part */
	double missed_weight; /**< of other requests that become late by it */
	int64_t retry_in_us; /**< if it is refused: when there is room */
} placement_t;

placement_result_t placement_choose(const candidate_t *candidates, size_t count,
				    const placement_query_t *query,
				    placement_t *placement);

#endif

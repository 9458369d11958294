/**
 * @file placement_cost.h
 * Weights of requests, and the price of server time. Private to
 * src/process/placement*.c.
 */
#ifndef PROCESS_PLACEMENT_COST_H
#define PROCESS_PLACEMENT_COST_H

#include "process/placement.h"

/** @return weight of the request itself, which is less if its service has more
 *          urgent kinds of requests. */
double placement_own_weight(const placement_query_t *query);

/* Fraction of a request's weight that is lost if the request misses its
 * objective. */
#define PLACEMENT_MISS_LOSS 0.75

/** @return weight of a request with this prompt; the unit is a prompt of the
 *          engine's usual length. */
double placement_weight(const placement_query_t *query, int64_t prompt_tokens);

/* Share of a server's KV cache that placements may fill; the rest covers
 * outputs that turn out longer than expected. */
#define PLACEMENT_KV_SHARE 0.92

/** @return requests that a server runs, plus prompt shards that it prefills. */
int32_t placement_running(const candidate_t *candidate);

/**
 * @return requests of placement_running() that the server admits before this
 *         one, or has admitted
 */
int32_t placement_ahead(const candidate_t *candidate,
			const placement_query_t *query);

/** @return true if the server has free memory for @p kv_tokens more tokens. */
bool placement_fits(const candidate_t *candidate, int64_t kv_tokens);

/**
 * @param prefill_us additional prefill in one iteration
 * @return weight of the streams whose next event gap becomes too long because
 *         of the prefill. Streams that are too slow anyway because of the
 *         prefill backlog lose nothing more and do not count. Streams that will
 *         start on the server count, too, and so do prefilling requests that
 *         miss their objective for the first event.
 */
double placement_delayed_weight(const candidate_t *candidate,
				const placement_query_t *query,
				double prefill_us);

/** @return slowdown factor of all work of the server, not only of the prefill
 *          of the request; 1 unless the nodes control the load */
double placement_slowdown(const candidate_t *candidate,
			  const placement_query_t *query);

/**
 * @return true if the events of the request would come in time on a slow
 * server. True unless the nodes control the load.
 */
bool placement_keeps_gap(const candidate_t *candidate,
			 const placement_query_t *query);

/**
 * @return free slots of a server. Where the nodes control the load, some are
 * left to requests of other nodes that this node does not know of yet.
 */
int32_t placement_free_slots(const candidate_t *candidate,
			     const placement_query_t *query);

/**
 * @return true if this node has just sent the server its equal share of the
 *         free slots, at least one: other nodes may do the same and do not know
 * of it yet. False unless the nodes control the load.
 */
bool placement_has_share(const candidate_t *candidate,
			 const placement_query_t *query);

/** @return true if the prompt is short enough to be packed. */
bool placement_is_short(const placement_query_t *query);

/**
 * @return mean prefill backlog of the half of the servers that has the least:
 *         the backlog that other requests meet while they can choose
 */
double placement_backlog_us(const candidate_t *candidates, size_t count);

/** @return true if a long prompt costs other requests more than it gains. */
bool placement_costs_too_much(const candidate_t *candidates, size_t count,
			      const placement_query_t *query,
			      const placement_t *placement);

/* placement_pack.c */
/**
 * Places a short prompt on one of the first servers in an order that is equal
 * on all nodes. As many servers are considered as have enough free slots for
 * the requests that arrive at the same time.
 * @return false if no server can take the prompt without a request missing its
 *         objective
 */
bool placement_pack(const candidate_t *candidates, size_t count,
		    const placement_query_t *query, placement_t *placement);

/**
 * @return number of free slots to choose among, so that few nodes choose the
 *         same slot. It follows the number of requests that arrive before the
 *         latest placements of other nodes are known. A single node knows all
 *         placements and needs 1 slot.
 */
int32_t placement_spread_slots(const candidate_t *candidates, size_t count,
			       const placement_query_t *query);

/* placement_zone.c */
/** Selects servers among all candidates, whatever is reserved. */
typedef placement_result_t (*placement_among_t)(const candidate_t *candidates,
						size_t count,
						const placement_query_t *query,
						placement_t *placement);
/**
 * Selects servers that are not reserved for a short prompt or a plain service,
 * and others only if those do not serve it in time.
 */
placement_result_t placement_stay(const candidate_t *candidates, size_t count,
				  const placement_query_t *query,
				  placement_among_t among,
				  placement_t *placement);

/* placement_plain.c */
/** Selects the server of a plain service that is expected to answer first. */
placement_result_t placement_plain(const candidate_t *candidates, size_t count,
				   const placement_query_t *query,
				   placement_t *placement);

#endif

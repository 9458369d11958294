/**
 * @file placement_cost.h
 * What requests count for, and what server time is worth. Private to
 * src/process/placement*.c.
 */
#ifndef PROCESS_PLACEMENT_COST_H
#define PROCESS_PLACEMENT_COST_H

#include "process/placement.h"

/* Part of its weight that a late request loses. */
#define PLACEMENT_LATE_LOSS 0.75

/** @return what a request with this prompt counts for. */
double placement_weight(const placement_query_t *query, int64_t prompt_tokens);

/* Part of an objective that a prediction may use up before the request counts
 * as late; the rest covers errors of the prediction. */
#define PLACEMENT_TARGET_SHARE 0.6

/* Share of a server's KV cache that is planned; the rest covers outputs that
 * turn out longer than expected. */
#define PLACEMENT_KV_SHARE 0.92

/** @return requests that a server runs, and parts that it reads. */
int32_t placement_running(const candidate_t *candidate);

/** Whether a server has memory for so many more tokens. */
bool placement_fits(const candidate_t *candidate, int64_t kv_tokens);

/**
 * @return weight of the streams whose next pause becomes too long by prefill of
 *         @p read_us in one pass; those that are late anyway, because of
 *         prefill that is pending, lose nothing more. Streams that will start
 *         count, too, and so do readers whose first event becomes late.
 */
double placement_late_streams(const candidate_t *candidate,
			      const placement_query_t *query, double read_us);

/** Whether the prompt is one of those that are packed. */
bool placement_is_short(const placement_query_t *query);

/**
 * @return prefill that waits on a server, on average of the half that has
 * least: what others would find while they can choose
 */
double placement_backlog_us(const candidate_t *candidates, size_t count);

/** Whether others lose more by a long prompt than it gains. */
bool placement_costs_too_much(const candidate_t *candidates, size_t count,
			      const placement_query_t *query,
			      const placement_t *placement);

/* placement_pack.c */
/**
 * Puts a short prompt onto one of the first servers, in an order that all nodes
 * have, that have free slots between them for what arrives at once.
 * @return false if no server can take it without anything being late
 */
bool placement_pack(const candidate_t *candidates, size_t count,
		    const placement_query_t *query, placement_t *placement);

/**
 * @return among how many places to choose, so that few nodes choose the same
 *         one: what arrives before the last choices of others are known. A node
 *         alone knows them all.
 */
int32_t placement_choices(const candidate_t *candidates, size_t count,
			  const placement_query_t *query);

/* placement_plain.c */
placement_result_t placement_plain(const candidate_t *candidates, size_t count,
				   const placement_query_t *query,
				   placement_t *placement);

#endif

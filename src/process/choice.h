/**
 * @file choice.h
 * The servers that were selected for one attempt. Pure: no clock, no I/O.
 *
 * An attempt may wait for memory leases of its engines before it is sent, while
 * servers leave or restart. The choice therefore holds a reference to each of
 * its servers, and records their state at the time of selection.
 */
#ifndef PROCESS_CHOICE_H
#define PROCESS_CHOICE_H

#include "admission/admission.h"
#include "process/backends.h"

/** Servers of one attempt. */
typedef struct {
	placement_t placement; /**< points into `candidates` */
	candidate_t candidates[PLACEMENT_SHARDS_MAX];
	/** Generation of each server at the time of selection. */
	uint32_t generations[PLACEMENT_SHARDS_MAX];
	bool cold[PLACEMENT_SHARDS_MAX]; /**< server was cold at selection */
	/** Server stated a rate of requests at selection. */
	bool limited[PLACEMENT_SHARDS_MAX];
	admission_capacity_t capacity; /**< of the servers that matched */
} choice_t;

/**
 * Selects servers among those that match @p wanted. Clears @p choice first.
 * @return PLACEMENT_CHOSEN, or the reason why @p choice is empty
 */
placement_result_t choice_make(choice_t *choice, backends_t *backends,
			       const backends_query_t *wanted,
			       const placement_query_t *query);
/**
 * Drops the references to the servers and empties the choice. A choice whose
 * bytes are all 0 is empty, too.
 */
void choice_clear(choice_t *choice);

/**
 * Replaces the server of one prompt shard by the cheapest one that can take the
 * shard and is not in the choice.
 * @return the new server; NULL: none, and @p choice is unchanged
 */
backend_t *choice_replace(choice_t *choice, size_t index, backends_t *backends,
			  const backends_query_t *wanted,
			  const placement_query_t *query);

/**
 * @param index prompt shard; 0: the shard of the server that decodes
 * @return server that prefills the shard; the reference stays with @p choice
 */
backend_t *choice_server(const choice_t *choice, size_t index);

/**
 * @return true if the attempt may still be sent: none of its servers has left,
 *         restarted, turned cold, or stated a rate since it was selected
 */
bool choice_is_valid(const choice_t *choice, int64_t now_us);

#endif

/**
 * @file choice.h
 * The servers that were chosen for one attempt. Pure.
 *
 * A choice may wait for leases of engine memory before it is sent, while
 * servers leave or start again. It holds a reference to each of its servers,
 * and tells whether they are still those that were chosen.
 */
#ifndef PROCESS_CHOICE_H
#define PROCESS_CHOICE_H

#include "process/backends.h"

typedef struct {
	placement_t placement; /**< its parts point at the candidates below */
	candidate_t candidates[PLACEMENT_SHARDS_MAX];
	uint32_t starts[PLACEMENT_SHARDS_MAX]; /**< of the servers */
	bool cold[PLACEMENT_SHARDS_MAX];
} choice_t;

/** Chooses among the servers that fit @p wanted. Clears @p choice first. */
placement_result_t choice_make(choice_t *choice, backends_t *backends,
			       const backends_query_t *wanted,
			       const placement_query_t *query);
/** Drops the references; a choice of zeros is empty. */
void choice_clear(choice_t *choice);

/** @return the server that answers, or reads the part @p index. */
backend_t *choice_server(const choice_t *choice, size_t index);

/**
 * Whether all servers may still be sent to: none has left, started again, or
 * turned cold since the choice.
 */
bool choice_is_valid(const choice_t *choice, int64_t now_us);

#endif

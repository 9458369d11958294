/**
 * @file budget.h
 * Memory budget of one request task, in bytes: request bodies, stream buffers
 * and replies. Not thread-safe: each request task has a budget of its own, a
 * fraction of the node's memory.
 */
#ifndef PROCESS_BUDGET_H
#define PROCESS_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	int64_t limit_bytes;
	int64_t held_bytes;
} budget_t;

void budget_init(budget_t *budget, int64_t limit_bytes);

/**
 * Reserves @p size_bytes.
 * @return false, with nothing reserved, if the size is negative or above the
 *         free memory of the budget
 */
bool budget_reserve(budget_t *budget, int64_t size_bytes);

/** Like budget_reserve() for a part of an answer: some memory is left for
 * requests, whatever servers send. */
bool budget_reserve_answer(budget_t *budget, int64_t size_bytes);

/** Returns @p size_bytes that was reserved. */
void budget_release(budget_t *budget, int64_t size_bytes);

#endif

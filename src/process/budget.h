/**
 * @file budget.h
 * Memory budget of one request task: bodies, stream buffers and replies.
 * Not thread-safe; each request task has its share of the node's budget.
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

/** Takes @p size_bytes; false if they are not available. */
bool budget_reserve(budget_t *budget, int64_t size_bytes);

void budget_release(budget_t *budget, int64_t size_bytes);

#endif

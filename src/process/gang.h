/**
 * @file gang.h
 * Chooses the set of servers that together hold one prompt which exceeds the
 * memory of one engine.
 *
 * The servers belong to one data centre, report that they share KV memory,
 * and hold shards of equal size. They are listed in ascending name order:
 * credits are acquired in this order, so two such requests cannot deadlock.
 */
#ifndef PROCESS_GANG_H
#define PROCESS_GANG_H

#include "process/servers.h"
#include "process/task_msg.h"

typedef enum {
	GANG_CHOSEN,
	/** A set exists but is busy, or may exist once servers report. */
	GANG_WAIT,
	GANG_IMPOSSIBLE /**< no set can hold the prompt, even when idle */
} gang_result_t;

/** Servers that hold one prompt together. */
typedef struct {
	size_t count;
	server_t *servers[GANG_SERVERS_MAX]; /**< in ascending name order */
	int64_t kv_tokens; /**< memory needed on each server */
} gang_t;

/**
 * Chooses the smallest set that can hold @p kv_tokens.
 * @param groups candidates by data centre, nearest first
 * @param count  number of groups
 * @param gang   filled in for GANG_CHOSEN. For GANG_WAIT only `count` is set:
 *               the size of the smallest set, 0 if unknown.
 */
gang_result_t gang_choose(const group_t *groups, size_t count,
			  int64_t kv_tokens, int64_t now_us, gang_t *gang);

#endif

/**
 * @file gang.h
 * Chooses the set of servers that hold one prompt beyond one engine's memory.
 *
 * The servers belong to one data centre, report that they share KV memory,
 * and hold equal parts. They are listed in ascending name order; credits are
 * drawn in this order, so two such requests cannot wait for each other.
 */
#ifndef PROCESS_GANG_H
#define PROCESS_GANG_H

#include "process/servers.h"
#include "process/task_msg.h"

typedef enum {
	GANG_CHOSEN,
	GANG_WAIT, /**< a set exists, or may exist once servers report */
	GANG_IMPOSSIBLE /**< no set can hold the prompt, even when empty */
} gang_result_t;

typedef struct {
	size_t count;
	server_t *servers[SERVER_SET_MAX]; /**< ascending name */
	int64_t kv_tokens; /**< needed on each of them */
} gang_t;

/**
 * Chooses the smallest set that can hold @p kv_tokens.
 * @param groups nearest first
 * @param gang   filled in for GANG_CHOSEN; its count for GANG_WAIT, too, if
 *               the size is known
 */
gang_result_t gang_choose(const group_t *groups, size_t count,
			  int64_t kv_tokens, int64_t now_us, gang_t *gang);

#endif

/**
 * @file route.h
 * Chooses a server for a request by its predicted time to first token (TTFT):
 * prefill ahead of it plus its own prompt without the expected prefix-cache
 * hit, over the measured prefill rate, plus the network distance.
 *
 * Lanes: prompts of the long lane go to a subset of the servers that adapts to
 * their share of the load and never exceeds two thirds of the servers. Other
 * prompts go to the rest, and to servers of the lane that are idle.
 */
#ifndef PROCESS_ROUTE_H
#define PROCESS_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/dispatch.h"
#include "process/servers.h"

/** What is to be placed. */
typedef struct {
	route_policy_t policy;
	int64_t now_us;
	int64_t prompt_tokens; /**< 0 for calls of plain services */
	int64_t kv_tokens; /**< memory it needs on its server */
	bool is_long;
	bool long_waiting; /**< a long prompt waits for the lane to drain */
	int64_t long_prompt_tokens; /**< threshold of the long lane */
	double lane_share; /**< part of the servers for the long lane */
	bool pack; /**< keep room for prompts that need much of a server */
	size_t lane_min; /**< servers that a waiting set needs */
	uint64_t salt; /**< differs between requests and between nodes */
	const prefix_match_t *matches;
	size_t match_count;
	size_t block_count; /**< blocks of the prompt */
} route_query_t;

typedef struct {
	server_t *server;
	int64_t ttft_us; /**< predicted */
	int64_t hit_tokens; /**< expected prefix-cache hit */
} route_choice_t;

/** @return predicted TTFT of a prompt on a server. */
int64_t route_ttft_us(const server_t *server, int64_t prefill_tokens,
		      int64_t now_us);

/**
 * Chooses a server that can take the request now.
 * @param groups nearest first
 * @return false if no server can
 */
bool route_choose(group_t *groups, size_t count, const route_query_t *query,
		  route_choice_t *choice);

/** @return servers of the lane among @p available ones. */
size_t route_lane_size(size_t available, double share, size_t minimum);

/** Whether a prompt needs much of a server's memory. */
bool route_is_large(const server_t *server, int64_t kv_tokens);

/** Whether a server in service and in reach has this much memory. */
bool route_fits(const group_t *groups, size_t count, int64_t kv_tokens);

/** Whether any server is in service and in reach. */
bool route_has_server(const group_t *groups, size_t count);

#endif

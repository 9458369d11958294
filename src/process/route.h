/**
 * @file route.h
 * Selects a server for a request by the predicted time to first token (TTFT):
 * the server's prefill backlog plus the request's prompt without the expected
 * prefix-cache hit, divided by the measured prefill rate, plus the network
 * distance.
 *
 * Lanes: long prompts go to a subset of the servers, the long lane. Its size
 * follows the share of long prompts in the load and never exceeds two thirds of
 * the servers. Other prompts go to the other servers, and to idle servers of
 * the long lane.
 */
#ifndef PROCESS_ROUTE_H
#define PROCESS_ROUTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/dispatch.h"
#include "process/servers.h"

/** The request to place, and the state of the long lane. */
typedef struct {
	route_policy_t policy;
	int64_t now_us;
	int64_t prompt_tokens; /**< 0: call of a plain service */
	int64_t kv_tokens; /**< memory needed on the server */
	bool is_long; /**< the prompt belongs to the long lane */
	bool long_waiting; /**< a long prompt waits for the lane to drain */
	int64_t long_prompt_tokens; /**< longer prompts belong to the long
				       lane */
	double lane_share; /**< fraction of the servers in the long lane */
	/** Keep servers of the lane free for prompts that need much memory. */
	bool pack;
	size_t lane_min; /**< servers that a waiting gang needs */
	uint64_t salt; /**< random; differs between requests and nodes */
	const prefix_match_t *matches; /**< servers that hold a prefix */
	size_t match_count;
	size_t block_count; /**< full blocks of the prompt */
} route_query_t;

/** The selected server. */
typedef struct {
	server_t *server; /**< NULL: none */
	int64_t ttft_us; /**< predicted TTFT */
	int64_t hit_tokens; /**< expected prefix-cache hit */
} route_choice_t;

/**
 * @param prefill_tokens prompt without the expected prefix-cache hit
 * @return predicted TTFT of the prompt on the server
 */
int64_t route_ttft_us(const server_t *server, int64_t prefill_tokens,
		      int64_t now_us);

/**
 * Selects a server that can take the request now.
 * @param groups nearest first
 * @return false if no server can take the request now
 */
bool route_choose(group_t *groups, size_t count, const route_query_t *query,
		  route_choice_t *choice);

/**
 * @param available servers that take part in the lanes
 * @param share     fraction of them for the long lane
 * @param minimum   servers that the lane must have if enough are available
 * @return number of servers in the long lane
 */
size_t route_lane_size(size_t available, double share, size_t minimum);

/** @return true if a prompt needs more than a third of the server's memory. */
bool route_is_large(const server_t *server, int64_t kv_tokens);

/** @return true if a reachable server in service has this much memory. */
bool route_fits(const group_t *groups, size_t count, int64_t kv_tokens);

/** @return true if any server is in service and reachable. */
bool route_has_server(const group_t *groups, size_t count);

#endif

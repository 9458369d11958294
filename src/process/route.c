#include "process/route.h"

/* Cost of each running request of a server for a new prompt. It decides between
 * servers with nearly equal prefill backlogs. */
#define IN_FLIGHT_COST_US 200

/* A prompt is large if a server can hold fewer than this many of its size. */
enum { LARGE_DIVISOR = 3 };

/* Longest prefill backlog that a long prompt accepts so that the servers at the
 * other end of the lane stay free. */
#define PACK_COST_MAX_US (10 * US_PER_S)

/* Number of servers of a large group that are compared for one request. All
 * nodes have the same outdated reports: if each node compared all servers, all
 * nodes would choose the same server until the next report. */
enum { SAMPLE_SERVERS = 32 };

/* The long lane of a group of servers. */
typedef struct {
	size_t lane; /* servers in the lane */
	bool lane_has_memory; /* a server of the lane can hold the prompt */
	bool lane_only; /* all available servers are in the lane */
} lane_info_t;

int64_t route_ttft_us(const server_t *server, int64_t prefill_tokens,
		      int64_t now_us)
{
	int64_t tokens = server_backlog_tokens(server, now_us) + prefill_tokens;

	return (int64_t)((double)tokens * server->us_per_token) +
	       server->dc->rtt_us;
}

size_t route_lane_size(size_t available, double share, size_t minimum)
{
	size_t size = (size_t)((double)available * share + 0.5);

	if (available < 2)
		return available;
	if (size > available * 2 / 3)
		size = available * 2 / 3;
	if (size < minimum)
		size = minimum < available ? minimum : available - 1;
	return size ? size : 1;
}

static bool has_memory(const server_t *server, int64_t kv_tokens)
{
	return server->kind == SERVER_PLAIN || server->kv_tokens >= kv_tokens;
}

static lane_info_t inspect_lane(const group_t *group,
				const route_query_t *query)
{
	lane_info_t result = { 0 };
	size_t available = 0, seen = 0, i;

	for (i = 0; i < group->count; i++)
		available += server_available(group->servers[i]);
	result.lane =
		route_lane_size(available, query->lane_share, query->lane_min);
	result.lane_only = available <= result.lane;
	if (!query->is_long)
		return result;
	for (i = 0; i < group->count && seen < result.lane; i++) {
		if (!server_available(group->servers[i]))
			continue;
		seen++;
		if (has_memory(group->servers[i], query->kv_tokens))
			result.lane_has_memory = true;
	}
	return result;
}

static bool can_take(const server_t *server, const route_query_t *query)
{
	return server->in_service && server->usable && !server->reserved &&
	       has_memory(server, query->kv_tokens) &&
	       server_may_try(server, query->now_us) &&
	       (query->now_us >= server->refused_until_us ||
		query->kv_tokens < server->refused_tokens);
}

static bool lane_allows(const server_t *server, bool in_lane,
			const lane_info_t *lanes, const route_query_t *query)
{
	if (query->is_long)
		return in_lane || !lanes->lane_has_memory;
	if (!in_lane || lanes->lane_only)
		return true;
	return !query->long_waiting && !server->long_prefills &&
	       server_backlog_tokens(server, query->now_us) <
		       query->long_prompt_tokens;
}

/* @return pseudorandom number, different for each request on each server. */
static uint32_t mix(const server_t *server, uint64_t salt)
{
	uint64_t value =
		(salt ^ server->lane_rank) * UINT64_C(0x9e3779b97f4a7c15);

	value ^= value >> 32;
	return (uint32_t)((value * UINT64_C(0xd6e8feb86659fd93)) >> 32);
}

static bool in_sample(const group_t *group, const server_t *server,
		      uint32_t number)
{
	return group->count <= SAMPLE_SERVERS || server->hit_tokens ||
	       (uint64_t)number * group->count < (uint64_t)SAMPLE_SERVERS << 32;
}

bool route_is_large(const server_t *server, int64_t kv_tokens)
{
	return kv_tokens > server->kv_tokens / LARGE_DIVISOR;
}

/* @return cost of a server's position in the lane. It fills the lane from both
 * ends: large prompts from the first server, other long prompts from the last.
 * If these were spread evenly, no server would have enough free memory for a
 * large prompt. All nodes have the same order of servers. */
static int64_t pack_cost_us(const server_t *server, const route_query_t *query,
			    size_t place, size_t lane)
{
	size_t steps;

	if (!query->pack || !query->is_long || place >= lane)
		return 0;
	steps = route_is_large(server, query->kv_tokens) ? place : lane - place;
	return PACK_COST_MAX_US * (int64_t)steps / (int64_t)lane;
}

static void compare_server(server_t *server, const route_query_t *query,
			   uint32_t number, int64_t extra_us,
			   int64_t *best_cost_us, route_choice_t *choice)
{
	int64_t ttft_us =
		route_ttft_us(server, query->prompt_tokens - server->hit_tokens,
			      query->now_us);
	int64_t cost_us = ttft_us + server->in_flight * IN_FLIGHT_COST_US +
			  number % IN_FLIGHT_COST_US + extra_us;

	if (choice->server && cost_us >= *best_cost_us)
		return;
	*best_cost_us = cost_us;
	choice->server = server;
	choice->ttft_us = ttft_us;
	choice->hit_tokens = server->hit_tokens;
}

static void search_group(const group_t *group, const route_query_t *query,
			 bool sampled, int64_t *best_cost_us,
			 route_choice_t *choice)
{
	bool lanes = query->policy == ROUTE_COST_LANES;
	lane_info_t found = { 0 };
	size_t available = 0, i;

	if (lanes)
		found = inspect_lane(group, query);
	for (i = 0; i < group->count; i++) {
		server_t *server = group->servers[i];
		size_t place = SIZE_MAX;
		uint32_t number;

		if (lanes && server_available(server))
			place = available++;
		if (!can_take(server, query) ||
		    (lanes &&
		     !lane_allows(server, place < found.lane, &found, query)))
			continue;
		number = mix(server, query->salt);
		/* Long prompts compare all servers: the lane is small, and a
		 * wrong choice is expensive for them. */
		if (sampled && !query->is_long &&
		    !in_sample(group, server, number))
			continue;
		compare_server(server, query, number,
			       pack_cost_us(server, query, place, found.lane),
			       best_cost_us, choice);
	}
}

static void choose_by_cost(const group_t *groups, size_t count,
			   const route_query_t *query, route_choice_t *choice)
{
	int64_t best_cost_us = 0;
	size_t g;

	for (g = 0; g < count; g++) {
		const group_t *group = &groups[g];

		if (!group->dc->reachable)
			continue;
		/* The round trip alone of this group and the groups that follow
		 * is no less than the best cost. */
		if (choice->server && group->dc->rtt_us >= best_cost_us)
			break;
		search_group(group, query, true, &best_cost_us, choice);
		if (!choice->server)
			search_group(group, query, false, &best_cost_us,
				     choice);
	}
}

static bool choose_round_robin(group_t *group, const route_query_t *query,
			       route_choice_t *choice)
{
	size_t i;

	for (i = 0; i < group->count; i++) {
		size_t place = (group->round_robin + i) % group->count;

		if (!can_take(group->servers[place], query))
			continue;
		group->round_robin = place + 1;
		choice->server = group->servers[place];
		return true;
	}
	return false;
}

static bool choose_least_outstanding(const group_t *group,
				     const route_query_t *query,
				     route_choice_t *choice)
{
	size_t i;

	for (i = 0; i < group->count; i++) {
		server_t *server = group->servers[i];

		if (can_take(server, query) &&
		    (!choice->server ||
		     server->in_flight < choice->server->in_flight))
			choice->server = server;
	}
	return choice->server;
}

static void choose_without_cost(group_t *groups, size_t count,
				const route_query_t *query,
				route_choice_t *choice)
{
	size_t g;

	for (g = 0; g < count && !choice->server; g++) {
		if (!groups[g].dc->reachable)
			continue;
		if (query->policy == ROUTE_ROUND_ROBIN)
			choose_round_robin(&groups[g], query, choice);
		else
			choose_least_outstanding(&groups[g], query, choice);
	}
	if (choice->server)
		choice->ttft_us = route_ttft_us(
			choice->server, query->prompt_tokens, query->now_us);
}

static server_t *server_of(prefix_server_t *prefix)
{
	return (server_t *)((char *)prefix - offsetof(server_t, prefix));
}

/* Sets hit_tokens of the servers that hold a prefix of the prompt, or sets the
 * field back to 0. */
static void set_hits(const route_query_t *query, bool set)
{
	size_t i;

	for (i = 0; i < query->match_count; i++) {
		const prefix_match_t *match = &query->matches[i];
		int64_t tokens = 0;

		/* The end of the prompt is always prefilled: a hit is never
		 * complete. */
		if (set && match->blocks)
			tokens = query->prompt_tokens * (int64_t)match->blocks /
				 (int64_t)(query->block_count + 1);
		server_of(match->server)->hit_tokens = tokens;
	}
}

bool route_choose(group_t *groups, size_t count, const route_query_t *query,
		  route_choice_t *choice)
{
	*choice = (route_choice_t){ 0 };
	if (query->policy == ROUTE_ROUND_ROBIN ||
	    query->policy == ROUTE_LEAST_OUTSTANDING) {
		choose_without_cost(groups, count, query, choice);
		return choice->server;
	}
	set_hits(query, true);
	choose_by_cost(groups, count, query, choice);
	set_hits(query, false);
	return choice->server;
}

bool route_fits(const group_t *groups, size_t count, int64_t kv_tokens)
{
	size_t g, i;

	for (g = 0; g < count; g++)
		for (i = 0; i < groups[g].count; i++)
			if (groups[g].servers[i]->in_service &&
			    groups[g].dc->reachable &&
			    has_memory(groups[g].servers[i], kv_tokens))
				return true;
	return false;
}

bool route_has_server(const group_t *groups, size_t count)
{
	size_t g, i;

	for (g = 0; g < count; g++)
		for (i = 0; i < groups[g].count; i++)
			if (groups[g].servers[i]->in_service &&
			    groups[g].dc->reachable)
				return true;
	return false;
}

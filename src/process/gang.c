#include "process/gang.h"

#include <stdlib.h>
#include <string.h>

static bool reachable_in_service(const server_t *server)
{
	return server->in_service && server->dc->reachable &&
	       server->kind == SERVER_ENGINE;
}

static bool can_hold_shard(const server_t *server, int64_t kv_tokens)
{
	return reachable_in_service(server) && server->reported &&
	       server->shares_kv && server->kv_tokens >= kv_tokens;
}

/* @return number of servers in the smallest set of the group that can hold the
 * prompt; 0 if no set can. */
static size_t set_size(const group_t *group, int64_t kv_tokens)
{
	size_t size, i;

	for (size = 2; size <= GANG_SERVERS_MAX; size++) {
		int64_t shard_tokens =
			(kv_tokens + (int64_t)size - 1) / (int64_t)size;
		size_t fitting = 0;

		for (i = 0; i < group->count && fitting < size; i++)
			fitting +=
				can_hold_shard(group->servers[i], shard_tokens);
		if (fitting == size)
			return size;
	}
	return 0;
}

static bool may_join(const server_t *server, int64_t kv_tokens, int64_t now_us)
{
	return can_hold_shard(server, kv_tokens) && server->usable &&
	       !server->reserved && server_may_try(server, now_us) &&
	       (now_us >= server->refused_until_us ||
		kv_tokens < server->refused_tokens);
}

/* @return long prompts that the server prefills, plus pending choices of the
 * server for requests that are not sent yet. */
static int32_t long_prompts(const server_t *server)
{
	return server->long_prefills + server->references - server->in_flight;
}

static bool is_member(const gang_t *gang, const server_t *server)
{
	size_t i;

	for (i = 0; i < gang->count; i++)
		if (gang->servers[i] == server)
			return true;
	return false;
}

/* @return next server to add to the gang: fewest long prompts, then first in
 * lane order; NULL if no further server can join. */
static server_t *next_member(const group_t *group, const gang_t *gang,
			     int64_t now_us)
{
	server_t *best = NULL;
	size_t i;

	for (i = 0; i < group->count; i++) {
		server_t *server = group->servers[i];

		if (!may_join(server, gang->kv_tokens, now_us) ||
		    is_member(gang, server))
			continue;
		if (!best || long_prompts(server) < long_prompts(best))
			best = server;
	}
	return best;
}

static int by_name(const void *a, const void *b)
{
	return strcmp((*(server_t *const *)a)->name,
		      (*(server_t *const *)b)->name);
}

static bool choose_from_group(const group_t *group, size_t size,
			      int64_t kv_tokens, int64_t now_us, gang_t *gang)
{
	gang->count = 0;
	gang->kv_tokens = (kv_tokens + (int64_t)size - 1) / (int64_t)size;
	while (gang->count < size) {
		server_t *server = next_member(group, gang, now_us);

		if (!server)
			return false;
		gang->servers[gang->count++] = server;
	}
	qsort(gang->servers, gang->count, sizeof(server_t *), by_name);
	return true;
}

static bool any_unreported(const group_t *group)
{
	size_t i;

	for (i = 0; i < group->count; i++)
		if (reachable_in_service(group->servers[i]) &&
		    !group->servers[i]->reported)
			return true;
	return false;
}

gang_result_t gang_choose(const group_t *groups, size_t count,
			  int64_t kv_tokens, int64_t now_us, gang_t *gang)
{
	gang_result_t result = GANG_IMPOSSIBLE;
	size_t size_min = 0, g;

	gang->count = 0;
	for (g = 0; g < count; g++) {
		size_t size = set_size(&groups[g], kv_tokens);

		if (size && choose_from_group(&groups[g], size, kv_tokens,
					      now_us, gang))
			return GANG_CHOSEN;
		if (size && (!size_min || size < size_min))
			size_min = size;
		if (size || any_unreported(&groups[g]))
			result = GANG_WAIT;
	}
	gang->count = size_min;
	return result;
}

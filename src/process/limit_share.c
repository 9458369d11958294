#include "process/limit_share.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/mem.h"
#include "base/units.h"

static bool is_same(const limit_nodes_t *nodes, const uint64_t *hashes,
		    size_t count, uint64_t own)
{
	return nodes->hashes && nodes->count == count && nodes->own == own &&
	       !memcmp(nodes->hashes, hashes, count * sizeof(*hashes));
}

static int compare_hashes(const void *left, const void *right)
{
	uint64_t a = *(const uint64_t *)left, b = *(const uint64_t *)right;

	return (a > b) - (a < b);
}

void limit_nodes_set(limit_nodes_t *nodes, const uint64_t *hashes, size_t count,
		     uint64_t own, int64_t now_us)
{
	uint64_t *sorted = (uint64_t *)mem_copy((const char *)hashes,
						count * sizeof(*hashes));

	qsort(sorted, count, sizeof(*sorted), compare_hashes);
	if (is_same(nodes, sorted, count, own)) {
		free(sorted);
		return;
	}
	free(nodes->hashes);
	nodes->hashes = sorted;
	nodes->count = count;
	nodes->own = own;
	nodes->version++;
	nodes->changed_us = now_us;
}

void limit_nodes_clear(limit_nodes_t *nodes)
{
	free(nodes->hashes);
	nodes->hashes = NULL;
}

static uint64_t rendezvous_weight(uint32_t server_hash, uint64_t node)
{
	const uint64_t key[] = { server_hash, node };

	return XXH64(key, sizeof(key), 0);
}

/* @return this node's part by the current list of nodes */
static double part_of(const limit_t *limit, const limit_nodes_t *nodes)
{
	uint64_t own = rendezvous_weight(limit->server_hash, nodes->own);
	size_t users = limit->users > 1 ? (size_t)limit->users : 1;
	size_t i, before = 0;

	if (!nodes->hashes)
		return 0;
	if (users > nodes->count)
		users = nodes->count;
	for (i = 0; i < nodes->count; i++)
		before += rendezvous_weight(limit->server_hash,
					    nodes->hashes[i]) > own;
	return before < users ? 1 / (double)users : 0;
}

bool limit_nodes_is_first(const limit_nodes_t *nodes, uint32_t hash)
{
	const limit_t limit = { .server_hash = hash, .users = 1 };

	return part_of(&limit, nodes) > 0;
}

static void refill(limit_share_t *share, double per_s, int64_t now_us)
{
	share->tokens += per_s * share->part *
			 (double)(now_us - share->filled_us) / (double)US_PER_S;
	if (share->tokens > 1)
		share->tokens = 1;
	share->filled_us = now_us;
}

/* A part that shrinks does so at once, one that grows after the hand-over. */
static void update_part(limit_share_t *share, const limit_t *limit,
			const limit_nodes_t *nodes, int64_t now_us)
{
	bool is_first = !share->version;

	if (share->version != nodes->version || share->users != limit->users) {
		share->version = nodes->version;
		share->users = limit->users;
		share->next_part = part_of(limit, nodes);
		share->next_part_us = nodes->changed_us + limit->handover_us;
	}
	if (share->next_part == share->part ||
	    (share->next_part > share->part && now_us < share->next_part_us))
		return;
	if (!is_first)
		refill(share, limit->per_s, now_us);
	share->part = share->next_part;
	if (share->part <= 0)
		share->tokens = 0;
}

bool limit_share_allows(limit_share_t *share, const limit_t *limit,
			const limit_nodes_t *nodes, int64_t now_us)
{
	update_part(share, limit, nodes, now_us);
	refill(share, limit->per_s, now_us);
	return share->tokens >= 1;
}

void limit_share_take(limit_share_t *share)
{
	share->tokens -= 1;
}

int64_t limit_share_next_us(limit_share_t *share, const limit_t *limit,
			    const limit_nodes_t *nodes, int64_t now_us)
{
	if (limit_share_allows(share, limit, nodes, now_us))
		return now_us;
	if (share->part <= 0)
		return INT64_MAX;
	return now_us +
	       time_to_us((1 - share->tokens) / (limit->per_s * share->part) *
			  (double)US_PER_S);
}

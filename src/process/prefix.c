#include "process/prefix.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

enum { SLOTS = 65536, NONE = 0 };

/* Entries are addressed by an index from 1; index 0 ends a chain. */
typedef struct {
	uint64_t block;
	/* Slots of the servers, last used first; 0: unused. */
	uint16_t holders[PREFIX_HOLDERS];
	uint32_t chain; /* next entry of the bucket */
	uint32_t newer, older; /* recency list */
} entry_t;

struct prefix {
	uint32_t capacity;
	uint32_t count;
	uint32_t newest, oldest;
	uint32_t bucket_mask;
	uint32_t *buckets;
	entry_t *entries;
	/* All slots below were assigned; some of them may be free again. */
	uint32_t next_slot;
	prefix_server_t *servers[SLOTS]; /* NULL: no server uses the slot */
};

prefix_t *prefix_create(uint32_t capacity)
{
	prefix_t *prefix = mem_calloc(1, sizeof(*prefix));
	uint32_t buckets = 1;

	while (buckets < capacity)
		buckets *= 2;
	prefix->capacity = capacity;
	prefix->bucket_mask = buckets - 1;
	prefix->buckets = mem_calloc(buckets, sizeof(*prefix->buckets));
	prefix->entries = mem_calloc((size_t)capacity + 1, sizeof(entry_t));
	prefix->next_slot = 1;
	return prefix;
}

void prefix_destroy(prefix_t *prefix)
{
	if (!prefix)
		return;
	free(prefix->buckets);
	free(prefix->entries);
	free(prefix);
}

/* Multiplies the hash, so that the bucket depends on most of its bits: callers
 * choose the prompts that are hashed, but not the salt. */
static uint32_t *bucket_of(const prefix_t *prefix, uint64_t block)
{
	uint64_t mixed = block * UINT64_C(0x9e3779b97f4a7c15);

	return &prefix->buckets[(mixed >> 32) & prefix->bucket_mask];
}

static uint32_t find(const prefix_t *prefix, uint64_t block)
{
	uint32_t at = *bucket_of(prefix, block);

	while (at && prefix->entries[at].block != block)
		at = prefix->entries[at].chain;
	return at;
}

static void unlink_recency(prefix_t *prefix, uint32_t at)
{
	const entry_t *entry = &prefix->entries[at];

	if (entry->newer)
		prefix->entries[entry->newer].older = entry->older;
	else
		prefix->newest = entry->older;
	if (entry->older)
		prefix->entries[entry->older].newer = entry->newer;
	else
		prefix->oldest = entry->newer;
}

static void link_newest(prefix_t *prefix, uint32_t at)
{
	entry_t *entry = &prefix->entries[at];

	entry->newer = NONE;
	entry->older = prefix->newest;
	if (prefix->newest)
		prefix->entries[prefix->newest].newer = at;
	else
		prefix->oldest = at;
	prefix->newest = at;
}

static void unlink_bucket(prefix_t *prefix, uint32_t at)
{
	uint32_t *link = bucket_of(prefix, prefix->entries[at].block);

	while (*link != at)
		link = &prefix->entries[*link].chain;
	*link = prefix->entries[at].chain;
}

/* Adds an entry; it replaces the oldest entry if the index is full. */
static uint32_t add(prefix_t *prefix, uint64_t block)
{
	uint32_t *bucket = bucket_of(prefix, block);
	uint32_t at;

	if (prefix->count < prefix->capacity) {
		at = ++prefix->count;
	} else {
		at = prefix->oldest;
		unlink_recency(prefix, at);
		unlink_bucket(prefix, at);
	}
	memset(&prefix->entries[at], 0, sizeof(entry_t));
	prefix->entries[at].block = block;
	prefix->entries[at].chain = *bucket;
	*bucket = at;
	link_newest(prefix, at);
	return at;
}

/* Removes the slots without a server from all blocks, so that they can be
 * assigned again. */
static void reclaim_slots(prefix_t *prefix)
{
	uint32_t at;
	int h;

	for (at = 1; at <= prefix->count; at++)
		for (h = 0; h < PREFIX_HOLDERS; h++) {
			uint16_t *holder = &prefix->entries[at].holders[h];

			if (!prefix->servers[*holder])
				*holder = NONE;
		}
	prefix->next_slot = 1;
}

/* Assigns a free slot to the server. A slot is reused only after
 * reclaim_slots(), so prefix_drop() need not walk over all entries. */
static void assign_slot(prefix_t *prefix, prefix_server_t *server)
{
	int round;

	for (round = 0; round < 2; round++) {
		while (prefix->next_slot < SLOTS &&
		       prefix->servers[prefix->next_slot])
			prefix->next_slot++;
		if (prefix->next_slot < SLOTS) {
			server->slot = (uint16_t)prefix->next_slot++;
			prefix->servers[server->slot] = server;
			return;
		}
		reclaim_slots(prefix);
	}
}

void prefix_drop(prefix_t *prefix, prefix_server_t *server)
{
	if (server->slot)
		prefix->servers[server->slot] = NULL;
	server->slot = NONE;
	server->sequenced = false;
}

static void add_holder(prefix_t *prefix, prefix_server_t *server,
		       uint64_t block)
{
	uint32_t at = find(prefix, block);
	uint16_t *holders;
	int h = 0;

	if (!at) {
		at = add(prefix, block);
	} else if (prefix->newest != at) {
		unlink_recency(prefix, at);
		link_newest(prefix, at);
	}
	holders = prefix->entries[at].holders;
	while (h < PREFIX_HOLDERS - 1 && holders[h] != server->slot &&
	       prefix->servers[holders[h]])
		h++;
	memmove(holders + 1, holders, (size_t)h * sizeof(*holders));
	holders[0] = server->slot;
}

static void remove_holder(prefix_t *prefix, const prefix_server_t *server,
			  uint64_t block)
{
	uint32_t at = find(prefix, block);
	int h;

	if (!at || !server->slot)
		return;
	for (h = 0; h < PREFIX_HOLDERS; h++)
		if (prefix->entries[at].holders[h] == server->slot)
			prefix->entries[at].holders[h] = NONE;
}

void prefix_observe(prefix_t *prefix, prefix_server_t *server,
		    const uint64_t *blocks, size_t count)
{
	size_t i;

	if (!server->slot)
		assign_slot(prefix, server);
	if (!server->slot)
		return;
	/* Starts at the end, so that the first blocks of the prompt are evicted
	 * last. */
	for (i = count; i-- > 0;)
		add_holder(prefix, server, blocks[i]);
}

void prefix_event(prefix_t *prefix, prefix_server_t *server, uint64_t sequence,
		  bool stored, uint64_t block)
{
	if (server->sequenced && sequence <= server->last_sequence)
		return;
	if (server->sequenced && sequence != server->last_sequence + 1)
		prefix_drop(prefix, server);
	server->sequenced = true;
	server->last_sequence = sequence;
	if (stored)
		prefix_observe(prefix, server, &block, 1);
	else
		remove_holder(prefix, server, block);
}

/* @return true if @p server holds the block before position @p end. */
static bool is_holder(const prefix_t *prefix, const prefix_server_t *server,
		      const uint64_t *blocks, size_t end)
{
	uint32_t at = find(prefix, blocks[end - 1]);
	int h;

	if (!at)
		return false;
	for (h = 0; h < PREFIX_HOLDERS; h++)
		if (prefix->entries[at].holders[h] == server->slot)
			return true;
	return false;
}

/* Adds the holders of the block before position @p end to the matches.
 * @return false if no server holds the block */
static bool match_holders(const prefix_t *prefix, const uint64_t *blocks,
			  size_t end, prefix_match_t *matches,
			  size_t *match_count)
{
	uint32_t at = find(prefix, blocks[end - 1]);
	bool found = false;
	size_t m;
	int h;

	for (h = 0; at && h < PREFIX_HOLDERS; h++) {
		uint16_t slot = prefix->entries[at].holders[h];
		prefix_server_t *server = prefix->servers[slot];

		if (!slot || !server)
			continue;
		found = true;
		for (m = 0; m < *match_count; m++)
			if (matches[m].server == server)
				break;
		if (m == PREFIX_MATCHES_MAX)
			continue;
		if (m == *match_count) {
			(*match_count)++;
			matches[m].blocks = 0;
		}
		matches[m].server = server;
		if (end > matches[m].blocks)
			matches[m].blocks = end;
	}
	return found;
}

/* Extends a match by binary search between its length and the next length that
 * prefix_match() looked up. */
static void extend_match(const prefix_t *prefix, const uint64_t *blocks,
			 size_t count, prefix_match_t *match)
{
	size_t low = match->blocks, high = low * 2;
	int step;

	if (high > count)
		high = count + 1;
	for (step = 0; step < 3 && low + 1 < high; step++) {
		size_t middle = low + (high - low) / 2;

		if (is_holder(prefix, match->server, blocks, middle))
			low = middle;
		else
			high = middle;
	}
	match->blocks = low;
}

size_t prefix_match(const prefix_t *prefix, const uint64_t *blocks,
		    size_t count, prefix_match_t matches[PREFIX_MATCHES_MAX])
{
	size_t match_count = 0, end, m;

	if (!count)
		return 0;
	for (end = 1; end < count; end *= 2)
		if (!match_holders(prefix, blocks, end, matches, &match_count))
			break;
	if (end >= count)
		match_holders(prefix, blocks, count, matches, &match_count);
	for (m = 0; m < match_count; m++)
		if (matches[m].blocks < count)
			extend_match(prefix, blocks, count, &matches[m]);
	return match_count;
}

uint32_t prefix_count(const prefix_t *prefix)
{
	return prefix->count;
}

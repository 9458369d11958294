#include "process/server_rates.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/mem.h"
#include "base/units.h"

/* Nodes that have a part of a rate: this many, and one more for each request a
 * second. Each may save up one request, which the platform's rule allows beyond
 * the rate. */
enum { USERS_MIN = 4, USERS_MAX = 64 };
enum {
	ENTRIES_MAX = 16384, /* more servers than a large fleet has */
	/* Rates are kept in thousandths, as announcements carry them, so that
	 * all nodes keep the same. */
	MILLI = 1000
};
/* A lower rate counts as this one, so that the end of a rate is noticed. */
#define RATE_MIN_PER_S 0.1
/* Nodes read the list of nodes each 5 s, and may get one that is seconds old.
 */
#define HANDOVER_US (10 * US_PER_S)
/* What an answer said is announced for this long. */
#define ANNOUNCE_US (10 * US_PER_S)
/* A rate that no request asked for in this time is forgotten. */
#define UNUSED_US (600 * US_PER_S)

/** What is known of one server. */
typedef struct {
	uint32_t server_hash;
	bool is_limited;
	double per_s;
	int64_t seen_us; /* when the last answer arrived, at any node */
	int64_t own_us; /* when the last answer arrived at this node; 0: none
			   since the rate changed */
	int64_t used_us; /* when a request last asked for the rate */
	limit_share_t share;
	UT_hash_handle hh;
} entry_t;

struct server_rates {
	entry_t *entries;
	size_t limited; /* entries with a rate */
};

void server_rate_format(const server_rate_t *rate, char text[RATE_TEXT_BYTES])
{
	snprintf(text, RATE_TEXT_BYTES, rate->is_limited ? "%.3f" : "-",
		 rate->per_s);
}

server_rates_t *server_rates_create(void)
{
	return mem_calloc(1, sizeof(server_rates_t));
}

static void remove_entry(server_rates_t *rates, entry_t *entry)
{
	rates->limited -= entry->is_limited;
	HASH_DEL(rates->entries, entry);
	free(entry);
}

void server_rates_destroy(server_rates_t *rates)
{
	entry_t *entry, *next;

	if (!rates)
		return;
	HASH_ITER (hh, rates->entries, entry, next)
		remove_entry(rates, entry);
	free(rates);
}

static entry_t *find(const server_rates_t *rates, uint32_t server_hash)
{
	entry_t *entry;

	HASH_FIND(hh, rates->entries, &server_hash, sizeof(server_hash), entry);
	return entry;
}

static entry_t *find_limited(const server_rates_t *rates, uint32_t server_hash)
{
	entry_t *entry = find(rates, server_hash);

	return entry && entry->is_limited ? entry : NULL;
}

static entry_t *add(server_rates_t *rates, uint32_t server_hash, int64_t now_us)
{
	entry_t *entry = mem_calloc(1, sizeof(*entry));

	entry->server_hash = server_hash;
	entry->used_us = now_us;
	HASH_ADD(hh, rates->entries, server_hash, sizeof(server_hash), entry);
	return entry;
}

/* Records what an answer said that arrived after the last one. */
static bool apply(server_rates_t *rates, const server_rate_t *rate, bool is_own,
		  int64_t now_us)
{
	entry_t *entry = find(rates, rate->server_hash);
	double per_s = round(rate->per_s * MILLI) / MILLI;
	bool changed;

	/* Without a rate before, an answer without one is no news. */
	if (!rate->is_limited && !(entry && entry->is_limited))
		return false;
	if (!entry && HASH_COUNT(rates->entries) >= ENTRIES_MAX)
		return false;
	if (!entry)
		entry = add(rates, rate->server_hash, now_us);
	changed = entry->is_limited != rate->is_limited ||
		  (rate->is_limited && entry->per_s != per_s);
	if (rate->is_limited && !entry->is_limited)
		entry->share = (limit_share_t){ .filled_us = now_us };
	rates->limited += rate->is_limited;
	rates->limited -= entry->is_limited;
	entry->is_limited = rate->is_limited;
	entry->per_s = per_s;
	entry->seen_us = now_us - rate->age_us;
	if (is_own)
		entry->own_us = now_us;
	else if (changed)
		entry->own_us = 0;
	return changed;
}

bool server_rates_note(server_rates_t *rates, const server_rate_t *rate,
		       int64_t sent_us, int64_t now_us)
{
	const entry_t *entry = find(rates, rate->server_hash);

	if (entry && !rate->is_limited && sent_us < entry->seen_us)
		return false;
	return apply(rates, rate, true, now_us);
}

bool server_rates_receive(server_rates_t *rates, const server_rate_t *rate,
			  int64_t now_us)
{
	const entry_t *entry = find(rates, rate->server_hash);

	if (entry && now_us - rate->age_us <= entry->seen_us)
		return false;
	return apply(rates, rate, false, now_us);
}

static bool is_announced(const entry_t *entry, int64_t now_us)
{
	return entry->own_us && now_us - entry->own_us < ANNOUNCE_US;
}

size_t server_rates_list(server_rates_t *rates, server_rate_t *items,
			 size_t max, int64_t now_us)
{
	size_t count = 0, left = HASH_COUNT(rates->entries);
	entry_t *entry, *next;

	HASH_ITER (hh, rates->entries, entry, next) {
		if (!left-- || count == max)
			break;
		if (!is_announced(entry, now_us))
			continue;
		items[count++] = (server_rate_t){
			.server_hash = entry->server_hash,
			.is_limited = entry->is_limited,
			.per_s = entry->per_s,
			.age_us = now_us - entry->own_us,
		};
		/* To the end, so that the next list begins with others. */
		HASH_DEL(rates->entries, entry);
		HASH_ADD(hh, rates->entries, server_hash,
			 sizeof(entry->server_hash), entry);
	}
	return count;
}

size_t server_rates_limited(const server_rates_t *rates, uint32_t *hashes,
			    size_t max)
{
	const entry_t *entry, *next;
	size_t count = 0;

	HASH_ITER (hh, rates->entries, entry, next)
		if (entry->is_limited && count < max)
			hashes[count++] = entry->server_hash;
	return count;
}

void server_rates_expire(server_rates_t *rates, int64_t now_us)
{
	entry_t *entry, *next;

	HASH_ITER (hh, rates->entries, entry, next)
		if (entry->is_limited ? now_us - entry->used_us > UNUSED_US
				      : now_us - entry->seen_us > ANNOUNCE_US)
			remove_entry(rates, entry);
}

size_t server_rates_count(const server_rates_t *rates)
{
	return rates->limited;
}

double server_rates_per_s(const server_rates_t *rates, uint32_t server_hash)
{
	const entry_t *entry = find_limited(rates, server_hash);

	return entry ? entry->per_s : -1;
}

static limit_t limit_of(const entry_t *entry)
{
	limit_t limit = { .server_hash = entry->server_hash,
			  .per_s = entry->per_s,
			  .users = USERS_MIN,
			  .handover_us = HANDOVER_US };

	if (limit.per_s < RATE_MIN_PER_S)
		limit.per_s = RATE_MIN_PER_S;
	if (limit.per_s >= USERS_MAX - USERS_MIN)
		limit.users = USERS_MAX;
	else
		limit.users += (int32_t)limit.per_s;
	return limit;
}

bool server_rates_allow(server_rates_t *rates, uint32_t server_hash,
			const limit_nodes_t *nodes, int64_t now_us)
{
	entry_t *entry = find_limited(rates, server_hash);
	limit_t limit;

	if (!entry)
		return true;
	entry->used_us = now_us;
	limit = limit_of(entry);
	return limit_share_allows(&entry->share, &limit, nodes, now_us);
}

bool server_rates_would_allow(const server_rates_t *rates, uint32_t server_hash,
			      const limit_nodes_t *nodes, int64_t now_us)
{
	const entry_t *entry = find_limited(rates, server_hash);
	limit_share_t share;
	limit_t limit;

	if (!entry)
		return true;
	share = entry->share;
	limit = limit_of(entry);
	return limit_share_allows(&share, &limit, nodes, now_us);
}

void server_rates_take(server_rates_t *rates, uint32_t server_hash)
{
	entry_t *entry = find_limited(rates, server_hash);

	if (entry)
		limit_share_take(&entry->share);
}

accept_times_t server_rates_next(server_rates_t *rates, uint32_t server_hash,
				 const limit_nodes_t *nodes, int64_t now_us)
{
	entry_t *entry = find_limited(rates, server_hash);
	accept_times_t times = { now_us, now_us };
	limit_t limit;

	if (!entry)
		return times;
	limit = limit_of(entry);
	times.here_us =
		limit_share_next_us(&entry->share, &limit, nodes, now_us);
	times.anywhere_us += (int64_t)((double)US_PER_S / limit.per_s);
	if (times.here_us < times.anywhere_us)
		times.anywhere_us = times.here_us;
	return times;
}

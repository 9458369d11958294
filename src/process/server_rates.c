#include "process/server_rates.h"

#include <stdlib.h>
#include <uthash.h>

#include "base/mem.h"

typedef struct {
	server_rate_t rate;
	UT_hash_handle hh;
} entry_t;

struct server_rates {
	entry_t *entries;
};

server_rates_t *server_rates_create(void)
{
	return mem_calloc(1, sizeof(server_rates_t));
}

static void remove_entry(server_rates_t *rates, entry_t *entry)
{
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

static entry_t *add(server_rates_t *rates, uint32_t server_hash)
{
	entry_t *entry = mem_calloc(1, sizeof(*entry));

	entry->rate.server_hash = server_hash;
	HASH_ADD(hh, rates->entries, rate.server_hash, sizeof(server_hash),
		 entry);
	return entry;
}

bool server_rates_note(server_rates_t *rates, const server_rate_t *rate,
		       int64_t sent_us)
{
	entry_t *entry = find(rates, rate->server_hash);
	bool changed;

	if (!entry && !rate->is_limited)
		return false;
	if (!entry)
		entry = add(rates, rate->server_hash);
	if (rate->seen_us < entry->rate.seen_us ||
	    (!rate->is_limited && sent_us < entry->rate.seen_us))
		return false;
	changed = entry->rate.is_limited != rate->is_limited ||
		  (rate->is_limited && entry->rate.per_s != rate->per_s);
	entry->rate = *rate;
	return changed;
}

const server_rate_t *server_rates_find(const server_rates_t *rates,
				       uint32_t server_hash)
{
	const entry_t *entry = find(rates, server_hash);

	return entry && entry->rate.is_limited ? &entry->rate : NULL;
}

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/mem.h"
#include "process/member_table.h"

const member_t *member_at(const member_table_t *table, size_t index)
{
	return index < table->count ? &table->entries[index]->public : NULL;
}

const member_t *member_find(const member_table_t *table, const char *vm_id)
{
	const entry_t *entry = member_entry(table, vm_id);

	return entry ? &entry->public : NULL;
}

static bool is_live(const member_t *member)
{
	return member->state == MEMBER_ALIVE || member->state == MEMBER_SUSPECT;
}

/*
 * When every node of the data centre is leaving, the leaving ones stay
 * candidates: they still accept and finish requests, which needs credits.
 */
static bool all_leaving(const member_table_t *table, bool self_leaving)
{
	size_t i;

	for (i = 0; self_leaving && i < table->count; i++)
		if (is_live(&table->entries[i]->public) &&
		    !table->entries[i]->public.leaving)
			return false;
	return self_leaving;
}

static bool is_candidate(const member_t *member, bool all)
{
	return is_live(member) && (all || !member->leaving);
}

static int compare_names(const void *a, const void *b)
{
	return strcmp(a, b);
}

size_t member_candidates(const member_table_t *table, bool self_leaving,
			 char (*names)[NAME_SIZE_BYTES], size_t capacity)
{
	bool all = all_leaving(table, self_leaving);
	size_t count = 0, i;

	if ((!self_leaving || all) && capacity)
		mem_strlcpy(names[count++], table->vm_id, NAME_SIZE_BYTES);
	for (i = 0; i < table->count && count < capacity; i++)
		if (is_candidate(&table->entries[i]->public, all))
			mem_strlcpy(names[count++],
				    table->entries[i]->public.vm_id,
				    NAME_SIZE_BYTES);
	qsort(names, count, NAME_SIZE_BYTES, compare_names);
	return count;
}

size_t member_watch_candidates(const member_table_t *table, bool self_cut,
			       const char (*candidates)[NAME_SIZE_BYTES],
			       size_t count, char (*names)[NAME_SIZE_BYTES])
{
	size_t found = 0, i;

	for (i = 0; i < count; i++) {
		const entry_t *entry = member_entry(table, candidates[i]);
		bool cut = entry ? entry->public.platform_cut : self_cut;

		if (!cut)
			memcpy(names[found++], candidates[i], NAME_SIZE_BYTES);
	}
	if (!found && count)
		memcpy(names, candidates, count * NAME_SIZE_BYTES);
	return found ? found : count;
}

static uint64_t hash_of(const char *vm_id, uint64_t incarnation)
{
	return XXH3_64bits_withSeed(vm_id, strlen(vm_id), incarnation);
}

uint32_t member_view(const member_table_t *table, bool self_leaving)
{
	bool all = all_leaving(table, self_leaving);
	uint64_t view = 0;
	size_t i;

	/* A sum, so that the order of the table does not matter. */
	if (!self_leaving || all)
		view += hash_of(table->vm_id, table->incarnation);
	for (i = 0; i < table->count; i++) {
		const member_t *member = &table->entries[i]->public;

		if (is_candidate(member, all))
			view += hash_of(member->vm_id, member->incarnation);
	}
	return (uint32_t)(view ^ view >> 32);
}

bool member_agreed(const member_table_t *table, bool self_leaving)
{
	uint32_t view = member_view(table, self_leaving);
	size_t i;

	for (i = 0; i < table->count; i++) {
		const member_t *member = &table->entries[i]->public;

		if (member->state == MEMBER_ALIVE && !member->unreachable &&
		    member->view != view)
			return false;
	}
	return true;
}

bool member_isolated(const member_table_t *table)
{
	bool others = false;
	size_t i;

	for (i = 0; i < table->count; i++) {
		const member_t *member = &table->entries[i]->public;

		if (!member->unreachable)
			return false;
		others |= !member->leaving;
	}
	return others;
}

#include "process/remote.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

struct remote_table {
	remote_dc_t *dcs;
	size_t count;
};

remote_table_t *remote_create(void)
{
	return mem_calloc(1, sizeof(remote_table_t));
}

void remote_destroy(remote_table_t *table)
{
	size_t i;

	if (!table)
		return;
	for (i = 0; i < table->count; i++)
		free(table->dcs[i].members);
	free(table->dcs);
	free(table);
}

static remote_dc_t *find_site(const remote_table_t *table, const char *name)
{
	size_t i;

	for (i = 0; i < table->count; i++)
		if (!strcmp(table->dcs[i].name, name))
			return &table->dcs[i];
	return NULL;
}

static remote_dc_t *obtain_site(remote_table_t *table, const char *name)
{
	remote_dc_t *dc = find_site(table, name);

	if (dc)
		return dc;
	table->dcs =
		mem_realloc(table->dcs, table->count + 1, sizeof(*table->dcs));
	dc = &table->dcs[table->count++];
	memset(dc, 0, sizeof(*dc));
	mem_strlcpy(dc->name, name, sizeof(dc->name));
	return dc;
}

static int compare_members(const void *a, const void *b)
{
	const remote_member_t *left = a, *right = b;

	return strcmp(left->vm_id, right->vm_id);
}

static bool same_members(const remote_dc_t *dc, const remote_member_t *members,
			 size_t count)
{
	size_t i;

	if (dc->count != count)
		return false;
	for (i = 0; i < count; i++)
		if (strcmp(dc->members[i].vm_id, members[i].vm_id) != 0 ||
		    strcmp(dc->members[i].address, members[i].address) != 0 ||
		    dc->members[i].incarnation != members[i].incarnation ||
		    dc->members[i].leaving != members[i].leaving)
			return false;
	return true;
}

static bool set_members(remote_dc_t *dc, const remote_member_t *members,
			size_t count)
{
	remote_member_t *sorted = mem_calloc(count, sizeof(*sorted));

	if (count)
		memcpy(sorted, members, count * sizeof(*sorted));
	qsort(sorted, count, sizeof(*sorted), compare_members);
	if (same_members(dc, sorted, count)) {
		free(sorted);
		return false;
	}
	free(dc->members);
	dc->members = sorted;
	dc->count = count;
	return true;
}

void remote_seed(remote_table_t *table, const char *data_centre,
		 const remote_member_t *members, size_t count)
{
	remote_dc_t *dc = obtain_site(table, data_centre);

	if (!dc->reachable)
		set_members(dc, members, count);
}

bool remote_summary(remote_table_t *table, const char *data_centre,
		    int64_t config_version, const remote_member_t *members,
		    size_t count, bool direct, int64_t now_us)
{
	remote_dc_t *dc = obtain_site(table, data_centre);
	bool changed = !dc->reachable;

	/* Without members nothing is known of whom to ask there. */
	if (!count && !dc->heard_us)
		return false;
	dc->reachable = true;
	dc->heard_us = now_us;
	if (direct)
		dc->last_direct_us = now_us;
	if (config_version > dc->config_version)
		dc->config_version = config_version;
	if (count && set_members(dc, members, count))
		changed = true;
	return changed;
}

bool remote_tick(remote_table_t *table, int64_t silence_us, int64_t now_us)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < table->count; i++) {
		remote_dc_t *dc = &table->dcs[i];

		if (!dc->reachable || now_us - dc->heard_us < silence_us)
			continue;
		dc->reachable = false;
		changed = true;
	}
	return changed;
}

const remote_dc_t *remote_at(const remote_table_t *table, size_t index)
{
	return index < table->count ? &table->dcs[index] : NULL;
}

const remote_dc_t *remote_find(const remote_table_t *table,
			       const char *data_centre)
{
	return find_site(table, data_centre);
}

const remote_member_t *remote_member(const remote_table_t *table,
				     const char *vm_id)
{
	remote_member_t key = { 0 };
	size_t i;

	mem_strlcpy(key.vm_id, vm_id, sizeof(key.vm_id));
	for (i = 0; i < table->count; i++) {
		const remote_dc_t *dc = &table->dcs[i];
		const remote_member_t *member =
			dc->count
				? bsearch(&key, dc->members, dc->count,
					  sizeof(*dc->members), compare_members)
				: NULL;

		if (member)
			return member;
	}
	return NULL;
}

size_t remote_candidates(const remote_dc_t *dc, char (*names)[NAME_SIZE_BYTES],
			 size_t capacity)
{
	size_t count = 0, i;

	for (i = 0; i < dc->count && count < capacity; i++)
		if (!dc->members[i].leaving)
			mem_strlcpy(names[count++], dc->members[i].vm_id,
				    NAME_SIZE_BYTES);
	return count;
}

size_t remote_count(const remote_table_t *table)
{
	size_t count = 0, i;

	for (i = 0; i < table->count; i++)
		count += table->dcs[i].count;
	return count;
}

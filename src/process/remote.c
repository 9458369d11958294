#include "process/remote.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

struct remote_table {
	remote_site_t *sites;
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
		free(table->sites[i].members);
	free(table->sites);
	free(table);
}

static remote_site_t *find_site(const remote_table_t *table, const char *name)
{
	size_t i;

	for (i = 0; i < table->count; i++)
		if (!strcmp(table->sites[i].name, name))
			return &table->sites[i];
	return NULL;
}

static remote_site_t *obtain_site(remote_table_t *table, const char *name)
{
	remote_site_t *site = find_site(table, name);

	if (site)
		return site;
	table->sites = mem_realloc(table->sites, table->count + 1,
				   sizeof(*table->sites));
	site = &table->sites[table->count++];
	memset(site, 0, sizeof(*site));
	mem_strlcpy(site->name, name, sizeof(site->name));
	return site;
}

static int compare_members(const void *a, const void *b)
{
	const remote_member_t *left = a, *right = b;

	return strcmp(left->vm_id, right->vm_id);
}

static bool same_members(const remote_site_t *site,
			 const remote_member_t *members, size_t count)
{
	size_t i;

	if (site->count != count)
		return false;
	for (i = 0; i < count; i++)
		if (strcmp(site->members[i].vm_id, members[i].vm_id) != 0 ||
		    strcmp(site->members[i].address, members[i].address) != 0 ||
		    site->members[i].incarnation != members[i].incarnation ||
		    site->members[i].leaving != members[i].leaving)
			return false;
	return true;
}

static bool set_members(remote_site_t *site, const remote_member_t *members,
			size_t count)
{
	remote_member_t *sorted = mem_calloc(count, sizeof(*sorted));

	if (count)
		memcpy(sorted, members, count * sizeof(*sorted));
	qsort(sorted, count, sizeof(*sorted), compare_members);
	if (same_members(site, sorted, count)) {
		free(sorted);
		return false;
	}
	free(site->members);
	site->members = sorted;
	site->count = count;
	return true;
}

void remote_seed(remote_table_t *table, const char *data_centre,
		 const remote_member_t *members, size_t count)
{
	remote_site_t *site = obtain_site(table, data_centre);

	if (!site->reachable)
		set_members(site, members, count);
}

bool remote_summary(remote_table_t *table, const char *data_centre,
		    int64_t config_version, const remote_member_t *members,
		    size_t count, bool direct, int64_t now_us)
{
	remote_site_t *site = obtain_site(table, data_centre);
	bool changed = !site->reachable;

	/* Without members nothing is known of whom to ask there. */
	if (!count && !site->heard_us)
		return false;
	site->reachable = true;
	site->heard_us = now_us;
	if (direct)
		site->direct_us = now_us;
	if (config_version > site->config_version)
		site->config_version = config_version;
	if (count && set_members(site, members, count))
		changed = true;
	return changed;
}

bool remote_tick(remote_table_t *table, int64_t silence_us, int64_t now_us)
{
	bool changed = false;
	size_t i;

	for (i = 0; i < table->count; i++) {
		remote_site_t *site = &table->sites[i];

		if (!site->reachable || now_us - site->heard_us < silence_us)
			continue;
		site->reachable = false;
		changed = true;
	}
	return changed;
}

const remote_site_t *remote_at(const remote_table_t *table, size_t index)
{
	return index < table->count ? &table->sites[index] : NULL;
}

const remote_site_t *remote_find(const remote_table_t *table,
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
		const remote_site_t *site = &table->sites[i];
		const remote_member_t *member =
			site->count ? bsearch(&key, site->members, site->count,
					      sizeof(*site->members),
					      compare_members)
				    : NULL;

		if (member)
			return member;
	}
	return NULL;
}

size_t remote_candidates(const remote_site_t *site,
			 char (*names)[NAME_SIZE_BYTES], size_t capacity)
{
	size_t count = 0, i;

	for (i = 0; i < site->count && count < capacity; i++)
		if (!site->members[i].leaving)
			mem_strlcpy(names[count++], site->members[i].vm_id,
				    NAME_SIZE_BYTES);
	return count;
}

size_t remote_count(const remote_table_t *table)
{
	size_t count = 0, i;

	for (i = 0; i < table->count; i++)
		count += table->sites[i].count;
	return count;
}

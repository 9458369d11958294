#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "process/control_members.h"

/*
 * 810 nodes that read the list every 15 s are 54 reads a second, of the
 * platform's 2,000.
 */
#define LIST_INTERVAL_US (15 * US_PER_S)
#define LIST_RETRY_US US_PER_S

static void seed_local(control_members_t *members, const platform_vm_t *vms,
		       size_t count)
{
	const settings_t *settings = &members->control->settings;
	member_seed_t *seeds = mem_calloc(count, sizeof(*seeds));
	size_t seeded = 0, i;

	for (i = 0; i < count; i++) {
		if (strcmp(vms[i].data_centre, settings->data_centre) != 0)
			continue;
		mem_strlcpy(seeds[seeded].vm_id, vms[i].id,
			    sizeof(seeds[seeded].vm_id));
		mem_strlcpy(seeds[seeded].address, vms[i].address,
			    sizeof(seeds[seeded].address));
		seeded++;
	}
	members->listed = seeded ? (int32_t)seeded : 1;
	member_seed(members->members, seeds, seeded, clock_monotonic_us());
	free(seeds);
}

/* Collects the VMs of one other data centre. */
static void seed_site(control_members_t *members, const char *data_centre,
		      const platform_vm_t *vms, size_t count)
{
	remote_member_t *seeds = mem_calloc(count, sizeof(*seeds));
	size_t seeded = 0, i;

	for (i = 0; i < count; i++) {
		if (strcmp(vms[i].data_centre, data_centre) != 0)
			continue;
		mem_strlcpy(seeds[seeded].vm_id, vms[i].id,
			    sizeof(seeds[seeded].vm_id));
		mem_strlcpy(seeds[seeded].address, vms[i].address,
			    sizeof(seeds[seeded].address));
		seeds[seeded++].leaving = vms[i].leaving;
	}
	remote_seed(members->remote, data_centre, seeds, seeded);
	free(seeds);
}

/* Whether no earlier VM of the list is in the same data centre. */
static bool is_first_of_site(const platform_vm_t *vms, size_t index)
{
	size_t i;

	for (i = 0; i < index; i++)
		if (!strcmp(vms[i].data_centre, vms[index].data_centre))
			return false;
	return true;
}

static void on_list(void *context, platform_status_t status,
		    const platform_vm_t *vms, size_t count)
{
	control_members_t *members = context;
	const char *local = members->control->settings.data_centre;
	size_t i;

	members->listing = false;
	if (status != PLATFORM_OK) {
		members->list_us = clock_monotonic_us() + LIST_RETRY_US;
		return;
	}
	members->list_us = clock_monotonic_us() + LIST_INTERVAL_US;
	seed_local(members, vms, count);
	control_orphans_set_vms(members->control->orphans, vms, count);
	for (i = 0; i < count; i++)
		if (strcmp(vms[i].data_centre, local) != 0 &&
		    is_first_of_site(vms, i))
			seed_site(members, vms[i].data_centre, vms, count);
	members->changed = true;
}

void members_tick_vms(control_members_t *members, int64_t now_us)
{
	if (members->listing || now_us < members->list_us)
		return;
	members->listing = true;
	platform_list_vms(members->control->platform, true, on_list, members);
}

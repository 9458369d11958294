#include <string.h>

#include "base/mem.h"
#include "process/control_members.h"
#include "process/rendezvous.h"

/*
 * @param names  VM ids of the candidates
 * @param wanted number of nodes that a duty needs
 * @return true if this node is among the candidates chosen for the duty
 */
static bool is_chosen(const control_members_t *members, const char *duty,
		      const char (*names)[NAME_SIZE_BYTES], size_t count,
		      size_t wanted)
{
	int32_t chosen[CONFIG_PUBLISHERS > RELAYS ? CONFIG_PUBLISHERS : RELAYS];
	size_t i;

	count = rendezvous_top(duty, names, count, wanted, chosen);
	for (i = 0; i < count; i++)
		if (!strcmp(names[chosen[i]], members->control->settings.vm_id))
			return true;
	return false;
}

bool members_has_duty(const control_members_t *members, const char *duty,
		      size_t wanted)
{
	return is_chosen(members, duty,
			 (const char(*)[NAME_SIZE_BYTES])members->candidates,
			 members->candidate_count, wanted);
}

bool control_members_watches(const control_members_t *members)
{
	char names[CANDIDATES_MAX][NAME_SIZE_BYTES];
	size_t count = member_watch_candidates(
		members->members, members->platform_cut,
		(const char(*)[NAME_SIZE_BYTES])members->candidates,
		members->candidate_count, names);

	return is_chosen(members, "configuration",
			 (const char(*)[NAME_SIZE_BYTES])names, count,
			 CONFIG_PUBLISHERS);
}

bool control_members_reconciles(const control_members_t *members)
{
	return members_has_duty(members, "reconciler", 1);
}

/*
 * One node of the fleet removes old claims: of the data centres that can reach
 * each other, the first by name does the sweep.
 */
bool control_members_sweeps(const control_members_t *members)
{
	const char *local = members->control->settings.data_centre;
	const remote_dc_t *dc;
	size_t i;

	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		if (dc->reachable && strcmp(dc->name, local) < 0)
			return false;
	return members_has_duty(members, "sweep", 1);
}

int32_t control_members_vm_count(const control_members_t *members)
{
	const remote_dc_t *dc;
	int32_t count = members->listed > 0 ? members->listed : 1;
	size_t i;

	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		count += (int32_t)dc->count;
	return count;
}

bool control_members_owner(const control_members_t *members,
			   const char *data_centre, const char *key,
			   char owner[NAME_SIZE_BYTES])
{
	const remote_dc_t *dc;
	char names[CANDIDATES_MAX][NAME_SIZE_BYTES];
	const char(*list)[NAME_SIZE_BYTES];
	size_t count = members->candidate_count;
	int32_t index;

	list = (const char(*)[NAME_SIZE_BYTES])members->candidates;
	if (strcmp(data_centre, members->control->settings.data_centre) != 0) {
		dc = remote_find(members->remote, data_centre);
		if (!dc || !dc->reachable)
			return false;
		count = remote_candidates(dc, names, CANDIDATES_MAX);
		list = (const char(*)[NAME_SIZE_BYTES])names;
	}
	index = rendezvous_owner(key, list, count);
	if (index == RENDEZVOUS_NONE)
		return false;
	mem_strlcpy(owner, list[index], NAME_SIZE_BYTES);
	return true;
}

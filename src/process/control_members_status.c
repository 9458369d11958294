#include <jansson.h>

#include "process/control_members.h"

static const char *state_text(const member_t *member)
{
	if (member->leaving && member->state != MEMBER_DEAD)
		return "leaving";
	switch (member->state) {
	case MEMBER_SEEDED:
		return "listed";
	case MEMBER_ALIVE:
		return "alive";
	case MEMBER_SUSPECT:
		return "suspect";
	case MEMBER_DEAD:
		break;
	}
	return "dead";
}

static json_t *describe(const char *id, const char *data_centre,
			const char *state, const char *address,
			uint64_t incarnation, bool unreachable)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:I,s:b}", "id", id, "data_centre",
			 data_centre, "state", state, "address", address,
			 "incarnation", (json_int_t)incarnation, "unreachable",
			 unreachable);
}

static void add_site(const remote_dc_t *dc, json_t *list)
{
	size_t i;

	for (i = 0; i < dc->count; i++) {
		const remote_member_t *member = &dc->members[i];
		const char *state = !member->incarnation ? "listed"
				    : member->leaving	 ? "leaving"
							 : "alive";

		json_array_append_new(list, describe(member->vm_id, dc->name,
						     state, member->address,
						     member->incarnation,
						     !dc->reachable));
	}
}

json_t *control_members_status(const control_members_t *members)
{
	const control_t *control = members->control;
	const char *local = control->settings.data_centre;
	const remote_dc_t *dc;
	const member_t *member;
	json_t *list = json_array();
	size_t i;

	json_array_append_new(list,
			      describe(control->settings.vm_id, local,
				       members->leaving ? "leaving" : "alive",
				       control->settings.peer_address,
				       control->incarnation, false));
	for (i = 0; (member = member_at(members->members, i)); i++)
		json_array_append_new(
			list, describe(member->vm_id, local, state_text(member),
				       member->address, member->incarnation,
				       member->unreachable));
	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		add_site(dc, list);
	return list;
}

json_t *control_members_data_centres(const control_members_t *members)
{
	const remote_dc_t *dc;
	json_t *list = json_array();
	size_t i;

	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		json_array_append_new(
			list,
			json_pack("{s:s,s:b,s:I}", "name", dc->name,
				  "reachable", dc->reachable, "config_version",
				  (json_int_t)dc->config_version));
	return list;
}

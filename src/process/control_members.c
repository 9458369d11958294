#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/control_members.h"

control_members_t *control_members_create(control_t *control, void *zmq,
					  err_t *err)
{
	const settings_t *settings = &control->settings;
	control_members_t *members = mem_calloc(1, sizeof(*members));
	peer_conf_t conf = {
		.public_key = settings->peer_public_key,
		.secret_key = settings->peer_secret_key,
	};

	members->control = control;
	members->members = member_create(settings->vm_id, control->incarnation);
	members->remote = remote_create();
	members->candidates = mem_calloc(CANDIDATES_MAX, NAME_SIZE_BYTES);
	members->listed = 1;
	members->changed = true;
	mem_strlcpy(conf.address, settings->peer_address, sizeof(conf.address));
	members->peer = peer_create(zmq, control->loop, &conf, members_receive,
				    members, err);
	if (members->peer)
		return members;
	control_members_destroy(members);
	return NULL;
}

void control_members_destroy(control_members_t *members)
{
	if (!members)
		return;
	peer_destroy(members->peer);
	member_destroy(members->members);
	remote_destroy(members->remote);
	free(members->candidates);
	free(members);
}

static uint8_t *encode(const control_members_t *members, peer_msg_t *message,
		       size_t *size)
{
	const control_t *control = members->control;

	mem_strlcpy(message->vm_id, control->settings.vm_id,
		    sizeof(message->vm_id));
	mem_strlcpy(message->data_centre, control->settings.data_centre,
		    sizeof(message->data_centre));
	message->incarnation = control->incarnation;
	return peer_encode(message, size);
}

void members_send(control_members_t *members, const char *vm_id,
		  peer_msg_t *message)
{
	const remote_member_t *remote = remote_member(members->remote, vm_id);
	size_t size;
	uint8_t *data;

	/* Members of other data centres are connected when needed. */
	if (remote &&
	    !peer_connect(members->peer, vm_id, remote->address, NULL))
		return;
	data = encode(members, message, &size);
	peer_send(members->peer, vm_id, data, size);
	free(data);
}

void members_broadcast(control_members_t *members, peer_msg_t *message)
{
	const member_t *member;
	size_t size, i;
	uint8_t *data = encode(members, message, &size);

	for (i = 0; (member = member_at(members->members, i)); i++)
		if (member->state == MEMBER_ALIVE)
			peer_send(members->peer, member->vm_id, data, size);
	free(data);
}

static void send_heartbeat(control_members_t *members,
			   const member_action_t *action)
{
	const control_t *control = members->control;
	peer_msg_t message = { .type = PEER_HEARTBEAT };
	peer_heartbeat_t *heartbeat = &message.as.heartbeat;

	heartbeat->sequence = action->sequence;
	heartbeat->config_version = inforce_version(control->inforce);
	heartbeat->leaving = members->leaving;
	heartbeat->view = members->view_hash;
	heartbeat->platform_cut = members->platform_cut;
	if (action->with_address)
		mem_strlcpy(heartbeat->address, control->settings.peer_address,
			    sizeof(heartbeat->address));
	members_send(members, action->vm_id, &message);
}

static void send_probe(control_members_t *members,
		       const member_action_t *action)
{
	peer_msg_t message = { .type = action->type == MEMBER_DO_PROBE
					       ? PEER_PROBE_REQUEST
					       : PEER_PROBE_REPLY };
	peer_probe_t *probe = &message.as.probe;

	mem_strlcpy(probe->target, action->target, sizeof(probe->target));
	probe->nonce = action->nonce;
	probe->direct = action->direct;
	probe->target_incarnation = action->target_incarnation;
	members_send(members, action->vm_id, &message);
}

static void handle_state_change(control_members_t *members,
				const member_action_t *action)
{
	static const event_t events[] = {
		[MEMBER_SEEDED] = EVENT_MEMBER_REMOVED,
		[MEMBER_ALIVE] = EVENT_MEMBER_ALIVE,
		[MEMBER_SUSPECT] = EVENT_MEMBER_SUSPECT,
		[MEMBER_DEAD] = EVENT_MEMBER_DEAD,
	};
	event_t event = events[action->state];

	if (action->removed)
		event = EVENT_MEMBER_REMOVED;
	else if (action->leaving && action->state != MEMBER_DEAD)
		event = EVENT_MEMBER_LEAVING;
	log_event(event, "vm=%s", action->vm_id);
	if (action->state == MEMBER_ALIVE && !action->removed)
		control_load_resend(members->control->load);
	members->changed = true;
}

static void execute(control_members_t *members, const member_action_t *action)
{
	err_t err;

	switch (action->type) {
	case MEMBER_DO_CONNECT:
		if (!peer_connect(members->peer, action->vm_id, action->address,
				  &err))
			log_event(EVENT_PEER_ADDRESS_BAD,
				  "vm=%s problem=\"%s\"", action->vm_id,
				  err.message);
		break;
	case MEMBER_DO_DISCONNECT:
		peer_disconnect(members->peer, action->vm_id);
		break;
	case MEMBER_DO_HEARTBEAT:
		send_heartbeat(members, action);
		break;
	case MEMBER_DO_PROBE:
	case MEMBER_DO_REPLY:
		send_probe(members, action);
		break;
	case MEMBER_DO_NOTIFY:
		handle_state_change(members, action);
		break;
	}
}

static bool is_known(void *context, const char *vm_id)
{
	const control_members_t *members = context;

	return member_find(members->members, vm_id) ||
	       remote_member(members->remote, vm_id);
}

/*
 * Sends the incarnation of every known node to the orphan cleanup, which
 * cancels the streams of dead or replaced processes.
 */
static void update_orphans(const control_members_t *members)
{
	control_orphans_t *orphans = members->control->orphans;
	const remote_dc_t *dc;
	const member_t *member;
	size_t i, m;

	control_orphans_set_node(orphans, members->control->settings.vm_id,
				 members->control->incarnation, false);
	for (i = 0; (member = member_at(members->members, i)); i++)
		if (member->state != MEMBER_SEEDED)
			control_orphans_set_node(orphans, member->vm_id,
						 member->incarnation,
						 member->state == MEMBER_DEAD);
	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		for (m = 0; m < dc->count; m++)
			control_orphans_set_node(orphans, dc->members[m].vm_id,
						 dc->members[m].incarnation,
						 false);
}

static void update_view(control_members_t *members)
{
	members->changed = false;
	peer_retain(members->peer, is_known, members);
	members->candidate_count =
		member_candidates(members->members, members->leaving,
				  members->candidates, CANDIDATES_MAX);
	members->view_hash = member_view(members->members, members->leaving);
	metrics_set(METRIC_MEMBERS_LIVE, (int64_t)members->candidate_count);
	update_orphans(members);
	control_members_changed(members->control);
}

void control_members_tick(control_members_t *members, int64_t now_us)
{
	bool cut = control_config_failing(members->control->config, now_us);
	member_action_t action;

	if (cut != members->platform_cut)
		members->changed = true;
	members->platform_cut = cut;
	members_tick_vms(members, now_us);
	members_tick_remote(members, now_us);
	member_tick(members->members, now_us);
	while (member_next(members->members, &action))
		execute(members, &action);
	if (members->changed)
		update_view(members);
}

void control_members_leave(control_members_t *members)
{
	peer_msg_t message = { .type = PEER_LEAVING };

	members->leaving = true;
	members->changed = true;
	members_broadcast(members, &message);
}

uint64_t control_members_incarnation(const control_members_t *members,
				     const char *vm_id)
{
	const member_t *member = member_find(members->members, vm_id);
	const remote_member_t *remote = remote_member(members->remote, vm_id);

	if (!strcmp(vm_id, members->control->settings.vm_id))
		return members->control->incarnation;
	if (member)
		return member->incarnation;
	return remote ? remote->incarnation : 0;
}

/*
 * Appends the members of other data centres, which request credits from this
 * owner too. @return the new count
 */
static size_t add_remote_holders(const control_members_t *members,
				 char (*names)[NAME_SIZE_BYTES], size_t count,
				 size_t capacity)
{
	const remote_dc_t *dc;
	size_t i, m;

	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		for (m = 0; m < dc->count && count < capacity; m++)
			mem_strlcpy(names[count++], dc->members[m].vm_id,
				    NAME_SIZE_BYTES);
	return count;
}

/*
 * @return true if all other members are dead and no engine has received a new
 *         stream from them since
 */
static bool all_others_dead(const control_members_t *members)
{
	const member_t *member;
	size_t i;

	for (i = 0; (member = member_at(members->members, i)); i++)
		if (member->state != MEMBER_DEAD ||
		    !control_orphans_node_idle(members->control->orphans,
					       member->vm_id,
					       member->changed_us))
			return false;
	return true;
}

void control_members_view(const control_members_t *members, credit_view_t *view,
			  char (*names)[NAME_SIZE_BYTES], size_t capacity)
{
	const member_t *member;
	size_t count = 0, i;

	view->agreed = (!member_isolated(members->members) ||
			all_others_dead(members)) &&
		       member_agreed(members->members, members->leaving);
	view->listed_vms = members->listed;
	mem_strlcpy(names[count++], members->control->settings.vm_id,
		    NAME_SIZE_BYTES);
	for (i = 0; (member = member_at(members->members, i)); i++)
		if ((member->state == MEMBER_ALIVE ||
		     member->state == MEMBER_SUSPECT) &&
		    count < capacity)
			mem_strlcpy(names[count++], member->vm_id,
				    NAME_SIZE_BYTES);
	view->counted_vms = (int32_t)count;
	if (view->counted_vms > view->listed_vms ||
	    (count == 1 && view->agreed))
		view->listed_vms = view->counted_vms;
	view->member_count =
		add_remote_holders(members, names, count, capacity);
	view->members = (const char(*)[NAME_SIZE_BYTES])names;
}

void control_members_send_credit(control_members_t *members, const char *vm_id,
				 const credit_msg_t *credit)
{
	peer_msg_t message = { .type = PEER_CREDIT, .as.credit = *credit };

	members_send(members, vm_id, &message);
}

/*
 * @return the number of members of reachable data centres that receive load
 *         figures; 0 if the other data centres have more members than
 *         DIRECT_MEMBERS_MAX
 */
static size_t remote_receivers(const control_members_t *members)
{
	const remote_dc_t *dc;
	size_t count = 0, i;

	if (remote_count(members->remote) > DIRECT_MEMBERS_MAX)
		return 0;
	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		if (dc->reachable)
			count += dc->count;
	return count;
}

size_t control_members_receiver_count(const control_members_t *members)
{
	const member_t *member;
	size_t count = 0, i;

	for (i = 0; (member = member_at(members->members, i)); i++)
		if (member->state == MEMBER_ALIVE)
			count++;
	return count + remote_receivers(members);
}

static void send_to_data_centres(control_members_t *members,
				 peer_msg_t *message)
{
	const remote_dc_t *dc;
	size_t i, m;

	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		for (m = 0; dc->reachable && m < dc->count; m++)
			members_send(members, dc->members[m].vm_id, message);
}

void control_members_send_digest(control_members_t *members,
				 peer_load_t *servers, size_t count)
{
	peer_msg_t message = { .type = PEER_LOAD_DIGEST,
			       .as.digest = { count, servers } };

	members_broadcast(members, &message);
	if (remote_receivers(members))
		send_to_data_centres(members, &message);
}

void control_members_push_config(control_members_t *members)
{
	int64_t version = inforce_version(members->control->inforce);
	const member_t *member;
	size_t i;

	for (i = 0; (member = member_at(members->members, i)); i++)
		if (member->state == MEMBER_ALIVE &&
		    member->config_version < version)
			members_push_config(members, member->vm_id);
}

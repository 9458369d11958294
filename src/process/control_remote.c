#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/control_members.h"
#include "process/rendezvous.h"

enum {
	/**
	 * A data centre with more members than this number names the members
	 * in its summaries only after a change and in every tenth round.
	 */
	FULL_SUMMARY_MEMBERS = 8,
	FULL_SUMMARY_EVERY = 10, /**< rounds */
	/** Summaries that one relay forwards per second at most. */
	FORWARDS_PER_S = 100,
	INTERVAL_MAX_S = 5, /**< seconds between rounds, at most */
	/** Intervals without a summary that make a data centre unreachable. */
	SILENT_INTERVALS = 3
};

/*
 * A relay sends one message a second to each other data centre, and forwards
 * each summary that it receives to every member of its own data centre. In a
 * large fleet these forwarded summaries would exceed the 8 KB/s of control
 * traffic, so the interval grows with their number. @return microseconds
 */
static int64_t interval_us(const control_members_t *members)
{
	size_t dcs = 0, forwards;

	while (remote_at(members->remote, dcs))
		dcs++;
	forwards = dcs * members->candidate_count / FORWARDS_PER_S + 1;
	if (forwards > INTERVAL_MAX_S)
		forwards = INTERVAL_MAX_S;
	return (int64_t)forwards * US_PER_S;
}

static void add_member(peer_summary_t *summary, const char *vm_id,
		       const char *address, uint64_t incarnation, bool leaving)
{
	peer_member_t *entry = &summary->members[summary->count++];

	mem_strlcpy(entry->vm_id, vm_id, sizeof(entry->vm_id));
	mem_strlcpy(entry->address, address, sizeof(entry->address));
	entry->incarnation = incarnation;
	entry->leaving = leaving;
}

static void fill_local(control_members_t *members, peer_summary_t *summary)
{
	const control_t *control = members->control;
	const member_t *member;
	size_t i;

	summary->members =
		mem_calloc(CANDIDATES_MAX, sizeof(*summary->members));
	add_member(summary, control->settings.vm_id,
		   control->settings.peer_address, control->incarnation,
		   members->leaving);
	for (i = 0; (member = member_at(members->members, i)); i++)
		if ((member->state == MEMBER_ALIVE ||
		     member->state == MEMBER_SUSPECT) &&
		    summary->count < CANDIDATES_MAX)
			add_member(summary, member->vm_id, member->address,
				   member->incarnation, member->leaving);
}

/*
 * Sends to the two relays of a data centre. If the data centre is unreachable,
 * its relays may be dead, so each round tries the next two members instead.
 */
static void send_to_data_centre(control_members_t *members,
				const remote_dc_t *dc, peer_msg_t *message)
{
	char names[CANDIDATES_MAX][NAME_SIZE_BYTES];
	size_t count = remote_candidates(dc, names, CANDIDATES_MAX);
	int32_t chosen[RELAYS];
	size_t chosen_count, i;

	if (!dc->reachable) {
		for (i = 0; i < RELAYS && i < count; i++)
			members_send(
				members,
				names[(members->summary_rounds + i) % count],
				message);
		return;
	}
	chosen_count = rendezvous_top("relay",
				      (const char(*)[NAME_SIZE_BYTES])names,
				      count, RELAYS, chosen);
	for (i = 0; i < chosen_count; i++)
		members_send(members, names[chosen[i]], message);
}

static void send_summaries(control_members_t *members)
{
	peer_msg_t message = { .type = PEER_SUMMARY };
	peer_summary_t *summary = &message.as.summary;
	const remote_dc_t *dc;
	size_t count, i;

	if (!remote_at(members->remote, 0) ||
	    !members_has_duty(members, "relay", RELAYS))
		return;
	fill_local(members, summary);
	summary->config_version = inforce_version(members->control->inforce);
	count = summary->count;
	for (i = 0; (dc = remote_at(members->remote, i)); i++) {
		summary->count =
			count <= FULL_SUMMARY_MEMBERS || !dc->reachable ||
					members->summary_rounds %
							FULL_SUMMARY_EVERY ==
						0
				? count
				: 0;
		send_to_data_centre(members, dc, &message);
	}
	members->summary_rounds++;
	free(summary->members);
}

/*
 * Sends the state of another data centre to the members of this one, if this
 * node is a relay.
 * @param with_members false: without the member list, which did not change
 */
static void forward_summary(control_members_t *members, const remote_dc_t *dc,
			    bool with_members)
{
	peer_msg_t message = { .type = PEER_SUMMARY };
	peer_summary_t *summary = &message.as.summary;
	size_t i;

	if (!members_has_duty(members, "relay", RELAYS))
		return;
	mem_strlcpy(summary->data_centre, dc->name,
		    sizeof(summary->data_centre));
	summary->config_version = dc->config_version;
	summary->members = mem_calloc(dc->count, sizeof(*summary->members));
	for (i = 0; with_members && i < dc->count; i++)
		add_member(summary, dc->members[i].vm_id,
			   dc->members[i].address, dc->members[i].incarnation,
			   dc->members[i].leaving);
	members_broadcast(members, &message);
	free(summary->members);
}

/*
 * Forwards the state of the data centres whose own relays sent a summary in the
 * last 2 intervals. Summaries forwarded by another relay of this data centre do
 * not count: two relays that repeat each other would keep an unreachable data
 * centre reachable for ever.
 */
static void forward_summaries(control_members_t *members, int64_t interval,
			      int64_t now_us)
{
	const remote_dc_t *dc;
	size_t i;

	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		if (dc->reachable && now_us - dc->last_direct_us < 2 * interval)
			forward_summary(
				members, dc,
				dc->count <= FULL_SUMMARY_MEMBERS ||
					members->summary_rounds %
							FULL_SUMMARY_EVERY ==
						0);
}

static void update_dispatcher(control_members_t *members, int64_t now_us)
{
	const remote_dc_t *dc;
	size_t i;

	for (i = 0; (dc = remote_at(members->remote, i)); i++)
		dispatch_set_reachable(members->control->dispatch, dc->name,
				       dc->reachable, now_us);
	members->changed = true;
}

void members_tick_remote(control_members_t *members, int64_t now_us)
{
	int64_t interval = interval_us(members);

	if (remote_tick(members->remote, SILENT_INTERVALS * interval, now_us)) {
		log_event(EVENT_DATA_CENTRE_UNREACHABLE, "silent_ms=%d",
			  (int)(SILENT_INTERVALS * interval / US_PER_MS));
		update_dispatcher(members, now_us);
	}
	if (now_us < members->next_summary_us)
		return;
	members->next_summary_us = now_us + interval;
	send_summaries(members);
	forward_summaries(members, interval, now_us);
}

/*
 * Connects to all members of a data centre, so that the first request for
 * credits finds a link; does nothing if the other data centres have more
 * members than DIRECT_MEMBERS_MAX.
 */
static void connect_members(control_members_t *members, const char *data_centre)
{
	const remote_dc_t *dc = remote_find(members->remote, data_centre);
	size_t i;

	if (remote_count(members->remote) > DIRECT_MEMBERS_MAX)
		return;
	for (i = 0; i < dc->count; i++)
		peer_connect(members->peer, dc->members[i].vm_id,
			     dc->members[i].address, NULL);
}

/*
 * @param data_centre the data centre that the summary describes
 * @param direct true if sent by a relay of that data centre, not forwarded
 */
static void apply_summary(control_members_t *members, const char *data_centre,
			  const peer_summary_t *summary, bool direct)
{
	remote_member_t *list = mem_calloc(summary->count, sizeof(*list));
	const remote_dc_t *dc = remote_find(members->remote, data_centre);
	bool was_reachable = dc && dc->reachable;
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < summary->count; i++) {
		mem_strlcpy(list[i].vm_id, summary->members[i].vm_id,
			    sizeof(list[i].vm_id));
		mem_strlcpy(list[i].address, summary->members[i].address,
			    sizeof(list[i].address));
		list[i].incarnation = summary->members[i].incarnation;
		list[i].leaving = summary->members[i].leaving;
	}
	if (remote_summary(members->remote, data_centre,
			   summary->config_version, list, summary->count,
			   direct, now_us)) {
		if (!was_reachable)
			log_event(EVENT_DATA_CENTRE_REACHABLE, "data_centre=%s",
				  data_centre);
		update_dispatcher(members, now_us);
		connect_members(members, data_centre);
		if (direct)
			forward_summary(members,
					remote_find(members->remote,
						    data_centre),
					true);
	}
	free(list);
}

void members_receive_summary(control_members_t *members,
			     const peer_msg_t *message)
{
	const peer_summary_t *summary = &message->as.summary;
	const char *local = members->control->settings.data_centre;
	bool direct = strcmp(message->data_centre, local) != 0;
	const char *described = direct ? message->data_centre
				       : summary->data_centre;

	if (!*described || !strcmp(described, local))
		return;
	apply_summary(members, described, summary, direct);
	if (direct)
		members_request_config(members, message->vm_id,
				       summary->config_version);
}

#include <inttypes.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/control_members.h"

#define CONFIG_REQUEST_US (200 * US_PER_MS)

void members_request_config(control_members_t *members, const char *vm_id,
			    int64_t version)
{
	peer_msg_t message = { .type = PEER_CONFIG_REQUEST };
	int64_t known = inforce_version(members->control->inforce);
	int64_t now_us = clock_monotonic_us();

	if (version <= known || now_us < members->config_request_us)
		return;
	members->config_request_us = now_us + CONFIG_REQUEST_US;
	message.as.known_version = known;
	members_send(members, vm_id, &message);
}

void members_push_config(control_members_t *members, const char *vm_id)
{
	document_t *document = inforce_document(members->control->inforce);
	peer_msg_t message = { .type = PEER_CONFIG_PUSH };

	if (!document)
		return;
	message.as.config.version = document_version(document);
	message.as.config.text = (char *)document_text(document);
	message.as.config.size_bytes = strlen(message.as.config.text);
	members_send(members, vm_id, &message);
}

static bool is_local(const control_members_t *members,
		     const peer_msg_t *message)
{
	return !strcmp(message->data_centre,
		       members->control->settings.data_centre);
}

/* Messages of a process that has been replaced must not take effect. */
static bool is_old(const control_members_t *members, const peer_msg_t *message)
{
	member_sender_t sender = { .incarnation = message->incarnation };
	const remote_member_t *remote;

	if (is_local(members, message)) {
		mem_strlcpy(sender.vm_id, message->vm_id, sizeof(sender.vm_id));
		return member_sender_state(members->members, &sender) ==
		       MEMBER_SENDER_OLD;
	}
	remote = remote_member(members->remote, message->vm_id);
	return remote && message->incarnation < remote->incarnation;
}

static void receive_heartbeat(control_members_t *members,
			      const peer_msg_t *message)
{
	const peer_heartbeat_t *body = &message->as.heartbeat;
	member_heartbeat_t heartbeat = {
		.sequence = body->sequence,
		.config_version = body->config_version,
		.leaving = body->leaving,
		.address = body->address,
		.view = body->view,
		.platform_cut = body->platform_cut,
	};
	member_sender_t sender = { .incarnation = message->incarnation };
	const member_t *member;
	bool was_cut;

	mem_strlcpy(sender.vm_id, message->vm_id, sizeof(sender.vm_id));
	member = member_find(members->members, message->vm_id);
	was_cut = member && member->platform_cut;
	member_heartbeat(members->members, &sender, &heartbeat,
			 clock_monotonic_us());
	member = member_find(members->members, message->vm_id);
	if (member && member->platform_cut != was_cut)
		members->changed = true;
	members_request_config(members, message->vm_id, body->config_version);
}

static void receive_leaving(control_members_t *members,
			    const peer_msg_t *message)
{
	member_sender_t sender = { .incarnation = message->incarnation };

	mem_strlcpy(sender.vm_id, message->vm_id, sizeof(sender.vm_id));
	member_leaving(members->members, &sender, clock_monotonic_us());
}

static void receive_credit(control_members_t *members, peer_msg_t *message)
{
	credit_msg_t *credit = &message->as.credit;

	mem_strlcpy(credit->holder, message->vm_id, sizeof(credit->holder));
	credit->holder_incarnation = message->incarnation;
	control_credits_receive(members->control->credits, credit);
}

static void receive_digest(control_members_t *members,
			   const peer_msg_t *message)
{
	const peer_digest_t *digest = &message->as.digest;
	size_t i;

	for (i = 0; i < digest->count; i++)
		control_load_apply_entry(members->control->load,
					 &digest->servers[i]);
}

/* Heartbeats and probes count within the data centre only. */
static void handle_local(control_members_t *members, const peer_msg_t *message)
{
	const peer_probe_t *probe = &message->as.probe;
	int64_t now_us = clock_monotonic_us();

	switch (message->type) {
	case PEER_HEARTBEAT:
		receive_heartbeat(members, message);
		break;
	case PEER_LEAVING:
		receive_leaving(members, message);
		break;
	case PEER_PROBE_REQUEST:
		member_probe_request(members->members, message->vm_id,
				     probe->target, probe->nonce, probe->direct,
				     now_us);
		break;
	case PEER_PROBE_REPLY:
		member_probe_reply(members->members, probe->target,
				   probe->nonce, probe->target_incarnation,
				   now_us);
		break;
	default:
		break;
	}
}

static void handle(control_members_t *members, peer_msg_t *message)
{
	switch (message->type) {
	case PEER_HEARTBEAT:
	case PEER_LEAVING:
	case PEER_PROBE_REQUEST:
	case PEER_PROBE_REPLY:
		if (is_local(members, message))
			handle_local(members, message);
		break;
	case PEER_CONFIG_REQUEST:
		if (message->as.known_version <
		    inforce_version(members->control->inforce))
			members_push_config(members, message->vm_id);
		break;
	case PEER_CONFIG_PUSH:
		control_config_offer(members->control->config,
				     message->as.config.text,
				     message->as.config.size_bytes,
				     message->vm_id);
		break;
	case PEER_CREDIT:
		receive_credit(members, message);
		break;
	case PEER_LOAD_DIGEST:
		receive_digest(members, message);
		break;
	case PEER_SUMMARY:
		members_receive_summary(members, message);
		break;
	case PEER_HELLO:
		break;
	}
}

void members_receive(void *context, const void *data, size_t size)
{
	control_members_t *members = context;
	peer_msg_t message;
	err_t err;

	if (!peer_decode(data, size, &message, &err)) {
		metrics_add(METRIC_PEER_MALFORMED, 1);
		log_event(EVENT_PEER_MESSAGE_REFUSED, "problem=\"%s\"",
			  err.message);
		return;
	}
	if (is_old(members, &message)) {
		metrics_add(METRIC_PEER_INCARNATION_OLD, 1);
		log_event(EVENT_PEER_INCARNATION_OLD,
			  "vm=%s incarnation=%" PRIu64, message.vm_id,
			  message.incarnation);
	} else {
		handle(members, &message);
	}
	peer_msg_clear(&message);
}

#include "connection/peer_codec.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "connection/engine.h"
#include "proto/peer.pb-c.h"

bool peer_is_name(const char *text)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789-_.";
	size_t length = strlen(text);

	return length && length < NAME_SIZE_BYTES &&
	       strspn(text, allowed) == length;
}

static bool malformed(err_t *err, const char *what)
{
	return err_set(err, ERR_LAYER_PEER, PEER_ERR_MALFORMED,
		       "peer message: invalid %s", what);
}

static bool read_name(char *target, const char *text, const char *what,
		      err_t *err)
{
	if (!peer_is_name(text))
		return malformed(err, what);
	mem_strlcpy(target, text, NAME_SIZE_BYTES);
	return true;
}

static bool read_address(char *target, const char *text, err_t *err)
{
	if (mem_strlcpy(target, text, URL_SIZE_BYTES))
		return malformed(err, "address");
	return true;
}

static bool read_heartbeat(const Peer__Heartbeat *body,
			   peer_heartbeat_t *heartbeat, err_t *err)
{
	heartbeat->sequence = body->sequence;
	heartbeat->config_version = body->config_version;
	heartbeat->leaving = body->leaving;
	heartbeat->view = body->view;
	heartbeat->platform_cut = body->platform_cut;
	if (!body->sequence || body->config_version < 0)
		return malformed(err, "heartbeat");
	return read_address(heartbeat->address, body->address, err);
}

static bool read_credit(const Peer__Credit *body, credit_msg_t *credit,
			err_t *err)
{
	if (body->type > CREDIT_PRESENT)
		return malformed(err, "credit type");
	if (body->resource_kind > RESOURCE_WEIGHT_LOAD)
		return malformed(err, "resource kind");
	credit->type = body->type;
	credit->resource.kind = body->resource_kind;
	credit->id = body->id;
	credit->sequence = body->sequence;
	credit->amount.kv_tokens = body->kv_tokens;
	credit->amount.slots = body->slots;
	credit->minimum.kv_tokens = body->minimum_kv_tokens;
	credit->minimum.slots = body->minimum_slots;
	credit->lifetime_us = body->lifetime_us;
	credit->retry_after_us = body->retry_after_us;
	credit->completed = body->completed;
	credit->failed = body->failed;
	credit->server_incarnation = body->server_incarnation;
	if (!read_name(credit->resource.name, body->resource, "resource", err))
		return false;
	return credit_msg_valid(credit) || malformed(err, "credit amount");
}

static bool read_load(const Peer__ServerLoad *body, peer_load_t *load,
		      err_t *err)
{
	load_report_t *report = &load->report;
	size_t i;

	if (body->kv_total_tokens < 0 || body->kv_used_tokens < 0 ||
	    body->running < 0 || body->queued < 0 ||
	    body->prefill_queued_tokens < 0 || body->prefill_tokens_per_s < 0 ||
	    body->age_us < 0 || body->role > ROLE_DECODE ||
	    body->n_models > LOAD_MODELS_MAX)
		return malformed(err, "load");
	report->incarnation = body->incarnation;
	report->cold = body->cold;
	report->kv_total_tokens = body->kv_total_tokens;
	report->kv_used_tokens = body->kv_used_tokens;
	report->running = body->running;
	report->queued = body->queued;
	report->prefill_queued_tokens = body->prefill_queued_tokens;
	report->prefill_tokens_per_s = body->prefill_tokens_per_s;
	report->role = body->role;
	report->shares_kv = body->shares_kv;
	report->model_count = (int32_t)body->n_models;
	engine_bound_load(report);
	load->age_us = body->age_us;
	for (i = 0; i < body->n_models; i++)
		if (!read_name(report->models[i], body->models[i], "model",
			       err))
			return false;
	return read_name(report->server, body->server, "server", err);
}

static bool read_digest(const Peer__LoadDigest *body, peer_digest_t *digest,
			err_t *err)
{
	size_t i;

	digest->count = body->n_servers;
	digest->servers = mem_calloc(digest->count, sizeof(*digest->servers));
	for (i = 0; i < digest->count; i++)
		if (!read_load(body->servers[i], &digest->servers[i], err))
			return false;
	return true;
}

static bool read_member(const Peer__Member *body, peer_member_t *member,
			err_t *err)
{
	member->incarnation = body->incarnation;
	member->leaving = body->leaving;
	return read_name(member->vm_id, body->vm_id, "member", err) &&
	       read_address(member->address, body->address, err);
}

static bool read_summary(const Peer__Summary *body, peer_summary_t *summary,
			 err_t *err)
{
	size_t i;

	summary->config_version = body->config_version;
	if (body->config_version < 0)
		return malformed(err, "version");
	if (*body->data_centre &&
	    !read_name(summary->data_centre, body->data_centre, "data centre",
		       err))
		return false;
	summary->count = body->n_members;
	summary->members =
		mem_calloc(summary->count, sizeof(*summary->members));
	for (i = 0; i < summary->count; i++)
		if (!read_member(body->members[i], &summary->members[i], err))
			return false;
	return true;
}

static bool read_config(const Peer__ConfigPush *body, peer_config_t *config,
			err_t *err)
{
	if (body->version < 1 || !body->document.len)
		return malformed(err, "configuration");
	config->version = body->version;
	config->size_bytes = body->document.len;
	config->text = mem_copy(body->document.data, body->document.len);
	return true;
}

static bool read_body(const Peer__Envelope *envelope, peer_msg_t *message,
		      err_t *err)
{
	switch (envelope->body_case) {
	case PEER__ENVELOPE__BODY_HELLO:
		message->type = PEER_HELLO;
		return read_address(message->as.hello, envelope->hello->address,
				    err);
	case PEER__ENVELOPE__BODY_HEARTBEAT:
		message->type = PEER_HEARTBEAT;
		return read_heartbeat(envelope->heartbeat,
				      &message->as.heartbeat, err);
	case PEER__ENVELOPE__BODY_PROBE_REQUEST:
		message->type = PEER_PROBE_REQUEST;
		message->as.probe.nonce = envelope->probe_request->nonce;
		message->as.probe.direct = envelope->probe_request->direct;
		return read_name(message->as.probe.target,
				 envelope->probe_request->target, "target",
				 err);
	case PEER__ENVELOPE__BODY_PROBE_REPLY:
		message->type = PEER_PROBE_REPLY;
		message->as.probe.nonce = envelope->probe_reply->nonce;
		message->as.probe.target_incarnation =
			envelope->probe_reply->target_incarnation;
		return read_name(message->as.probe.target,
				 envelope->probe_reply->target, "target", err);
	case PEER__ENVELOPE__BODY_CONFIG_REQUEST:
		message->type = PEER_CONFIG_REQUEST;
		message->as.known_version =
			envelope->config_request->known_version;
		return true;
	case PEER__ENVELOPE__BODY_CONFIG_PUSH:
		message->type = PEER_CONFIG_PUSH;
		return read_config(envelope->config_push, &message->as.config,
				   err);
	case PEER__ENVELOPE__BODY_CREDIT:
		message->type = PEER_CREDIT;
		return read_credit(envelope->credit, &message->as.credit, err);
	case PEER__ENVELOPE__BODY_LOAD_DIGEST:
		message->type = PEER_LOAD_DIGEST;
		return read_digest(envelope->load_digest, &message->as.digest,
				   err);
	case PEER__ENVELOPE__BODY_LEAVING:
		message->type = PEER_LEAVING;
		return true;
	case PEER__ENVELOPE__BODY_SUMMARY:
		message->type = PEER_SUMMARY;
		return read_summary(envelope->summary, &message->as.summary,
				    err);
	case PEER__ENVELOPE__BODY__NOT_SET:
	default:
		/* A message type of a later version is an unknown field. */
		return err_set(err, ERR_LAYER_PEER, PEER_ERR_UNKNOWN,
			       "peer message: unknown type");
	}
}

static bool read_envelope(const Peer__Envelope *envelope, peer_msg_t *message,
			  err_t *err)
{
	if (envelope->protocol != PEER_PROTOCOL)
		return err_set(err, ERR_LAYER_PEER, PEER_ERR_PROTOCOL,
			       "peer message: protocol %u, expected %d",
			       envelope->protocol, PEER_PROTOCOL);
	if (!envelope->incarnation)
		return malformed(err, "incarnation");
	message->incarnation = envelope->incarnation;
	return read_name(message->vm_id, envelope->vm_id, "sender", err) &&
	       read_name(message->data_centre, envelope->data_centre,
			 "data centre", err) &&
	       read_body(envelope, message, err);
}

bool peer_decode(const void *data, size_t size, peer_msg_t *message, err_t *err)
{
	Peer__Envelope *envelope;
	bool valid;

	if (size > PEER_MESSAGE_MAX_BYTES)
		return malformed(err, "size");
	envelope = peer__envelope__unpack(NULL, size, data);
	if (!envelope)
		return malformed(err, "encoding");
	memset(message, 0, sizeof(*message));
	valid = read_envelope(envelope, message, err);
	if (!valid)
		peer_msg_clear(message);
	peer__envelope__free_unpacked(envelope, NULL);
	return valid;
}

void peer_msg_clear(peer_msg_t *message)
{
	switch (message->type) {
	case PEER_CONFIG_PUSH:
		free(message->as.config.text);
		message->as.config.text = NULL;
		break;
	case PEER_LOAD_DIGEST:
		free(message->as.digest.servers);
		message->as.digest.servers = NULL;
		break;
	case PEER_SUMMARY:
		free(message->as.summary.members);
		message->as.summary.members = NULL;
		break;
	case PEER_HELLO:
	case PEER_HEARTBEAT:
	case PEER_PROBE_REQUEST:
	case PEER_PROBE_REPLY:
	case PEER_CONFIG_REQUEST:
	case PEER_CREDIT:
	case PEER_LEAVING:
		break;
	}
}

#include <stdlib.h>

#include "base/mem.h"
#include "connection/peer_codec.h"
#include "proto/peer.pb-c.h"

/* Body of the message to encode; the envelope points to the body. */
typedef union {
	Peer__Hello hello;
	Peer__Heartbeat heartbeat;
	Peer__ProbeRequest probe_request;
	Peer__ProbeReply probe_reply;
	Peer__ConfigRequest config_request;
	Peer__ConfigPush config_push;
	Peer__Credit credit;
	Peer__LoadDigest load_digest;
	Peer__Leaving leaving;
	Peer__Summary summary;
} body_t;

static void fill_heartbeat(const peer_heartbeat_t *heartbeat,
			   Peer__Heartbeat *body)
{
	peer__heartbeat__init(body);
	body->sequence = heartbeat->sequence;
	body->config_version = heartbeat->config_version;
	body->leaving = heartbeat->leaving;
	body->address = (char *)heartbeat->address;
	body->view = heartbeat->view;
	body->platform_cut = heartbeat->platform_cut;
}

static void fill_probe_request(const peer_probe_t *probe,
			       Peer__ProbeRequest *body)
{
	peer__probe_request__init(body);
	body->target = (char *)probe->target;
	body->nonce = probe->nonce;
	body->direct = probe->direct;
}

static void fill_probe_reply(const peer_probe_t *probe, Peer__ProbeReply *body)
{
	peer__probe_reply__init(body);
	body->target = (char *)probe->target;
	body->nonce = probe->nonce;
	body->target_incarnation = probe->target_incarnation;
}

static void fill_credit(const credit_msg_t *credit, Peer__Credit *body)
{
	peer__credit__init(body);
	body->type = credit->type;
	body->resource_kind = credit->resource.kind;
	body->resource = (char *)credit->resource.name;
	body->id = credit->id;
	body->sequence = credit->sequence;
	body->kv_tokens = credit->amount.kv_tokens;
	body->slots = credit->amount.slots;
	body->minimum_kv_tokens = credit->minimum.kv_tokens;
	body->minimum_slots = credit->minimum.slots;
	body->lifetime_us = credit->lifetime_us;
	body->retry_after_us = credit->retry_after_us;
	body->completed = credit->completed;
	body->failed = credit->failed;
	body->server_incarnation = credit->server_incarnation;
}

static void fill_load(const peer_load_t *load, Peer__ServerLoad *body,
		      char **models)
{
	const load_report_t *report = &load->report;
	int32_t i;

	peer__server_load__init(body);
	body->server = (char *)report->server;
	body->incarnation = report->incarnation;
	body->cold = report->cold;
	body->kv_total_tokens = report->kv_total_tokens;
	body->kv_used_tokens = report->kv_used_tokens;
	body->running = report->running;
	body->queued = report->queued;
	body->prefill_queued_tokens = report->prefill_queued_tokens;
	body->prefill_tokens_per_s = report->prefill_tokens_per_s;
	body->role = report->role;
	body->shares_kv = report->shares_kv;
	body->age_us = load->age_us;
	for (i = 0; i < report->model_count; i++)
		models[i] = (char *)report->models[i];
	body->n_models = (size_t)report->model_count;
	body->models = models;
}

static uint8_t *pack(const Peer__Envelope *envelope, size_t *size)
{
	uint8_t *data;

	*size = peer__envelope__get_packed_size(envelope);
	data = mem_calloc(*size, 1);
	peer__envelope__pack(envelope, data);
	return data;
}

static uint8_t *pack_digest(Peer__Envelope *envelope,
			    const peer_digest_t *digest, size_t *size)
{
	Peer__LoadDigest body = PEER__LOAD_DIGEST__INIT;
	Peer__ServerLoad *loads = mem_calloc(digest->count, sizeof(*loads));
	Peer__ServerLoad **list =
		mem_calloc(digest->count, sizeof(Peer__ServerLoad *));
	char *(*models)[LOAD_MODELS_MAX] =
		mem_calloc(digest->count, sizeof(*models));
	uint8_t *data;
	size_t i;

	for (i = 0; i < digest->count; i++) {
		fill_load(&digest->servers[i], &loads[i], models[i]);
		list[i] = &loads[i];
	}
	body.n_servers = digest->count;
	body.servers = list;
	envelope->load_digest = &body;
	data = pack(envelope, size);
	envelope->load_digest = NULL;
	free(models);
	free(list);
	free(loads);
	return data;
}

static uint8_t *pack_summary(Peer__Envelope *envelope,
			     const peer_summary_t *summary, size_t *size)
{
	Peer__Summary body = PEER__SUMMARY__INIT;
	Peer__Member *members = mem_calloc(summary->count, sizeof(*members));
	Peer__Member **list =
		mem_calloc(summary->count, sizeof(Peer__Member *));
	uint8_t *data;
	size_t i;

	for (i = 0; i < summary->count; i++) {
		const peer_member_t *member = &summary->members[i];

		peer__member__init(&members[i]);
		members[i].vm_id = (char *)member->vm_id;
		members[i].incarnation = member->incarnation;
		members[i].address = (char *)member->address;
		members[i].leaving = member->leaving;
		list[i] = &members[i];
	}
	body.config_version = summary->config_version;
	body.data_centre = (char *)summary->data_centre;
	body.n_members = summary->count;
	body.members = list;
	envelope->summary = &body;
	data = pack(envelope, size);
	envelope->summary = NULL;
	free(list);
	free(members);
	return data;
}

/* Fills in the body; for a digest or a summary, the pack functions do. */
static void fill_body(const peer_msg_t *message, body_t *body)
{
	switch (message->type) {
	case PEER_HELLO:
		peer__hello__init(&body->hello);
		body->hello.address = (char *)message->as.hello;
		break;
	case PEER_HEARTBEAT:
		fill_heartbeat(&message->as.heartbeat, &body->heartbeat);
		break;
	case PEER_PROBE_REQUEST:
		fill_probe_request(&message->as.probe, &body->probe_request);
		break;
	case PEER_PROBE_REPLY:
		fill_probe_reply(&message->as.probe, &body->probe_reply);
		break;
	case PEER_CONFIG_REQUEST:
		peer__config_request__init(&body->config_request);
		body->config_request.known_version = message->as.known_version;
		break;
	case PEER_CONFIG_PUSH:
		peer__config_push__init(&body->config_push);
		body->config_push.version = message->as.config.version;
		body->config_push.document.len = message->as.config.size_bytes;
		body->config_push.document.data =
			(uint8_t *)message->as.config.text;
		break;
	case PEER_CREDIT:
		fill_credit(&message->as.credit, &body->credit);
		break;
	case PEER_LEAVING:
		peer__leaving__init(&body->leaving);
		break;
	case PEER_LOAD_DIGEST:
	case PEER_SUMMARY:
		break;
	}
}

static Peer__Envelope__BodyCase body_case(peer_msg_type_t type)
{
	static const Peer__Envelope__BodyCase cases[] = {
		[PEER_HELLO] = PEER__ENVELOPE__BODY_HELLO,
		[PEER_HEARTBEAT] = PEER__ENVELOPE__BODY_HEARTBEAT,
		[PEER_PROBE_REQUEST] = PEER__ENVELOPE__BODY_PROBE_REQUEST,
		[PEER_PROBE_REPLY] = PEER__ENVELOPE__BODY_PROBE_REPLY,
		[PEER_CONFIG_REQUEST] = PEER__ENVELOPE__BODY_CONFIG_REQUEST,
		[PEER_CONFIG_PUSH] = PEER__ENVELOPE__BODY_CONFIG_PUSH,
		[PEER_CREDIT] = PEER__ENVELOPE__BODY_CREDIT,
		[PEER_LOAD_DIGEST] = PEER__ENVELOPE__BODY_LOAD_DIGEST,
		[PEER_LEAVING] = PEER__ENVELOPE__BODY_LEAVING,
		[PEER_SUMMARY] = PEER__ENVELOPE__BODY_SUMMARY,
	};

	return cases[type];
}

uint8_t *peer_encode(const peer_msg_t *message, size_t *size)
{
	Peer__Envelope envelope = PEER__ENVELOPE__INIT;
	body_t body;

	envelope.protocol = PEER_PROTOCOL;
	envelope.vm_id = (char *)message->vm_id;
	envelope.incarnation = message->incarnation;
	envelope.data_centre = (char *)message->data_centre;
	envelope.body_case = body_case(message->type);
	if (message->type == PEER_LOAD_DIGEST)
		return pack_digest(&envelope, &message->as.digest, size);
	if (message->type == PEER_SUMMARY)
		return pack_summary(&envelope, &message->as.summary, size);
	fill_body(message, &body);
	/*
	 * The union of the envelope has a pointer for each type of body, so
	 * `hello` sets the pointer for any type.
	 */
	envelope.hello = &body.hello;
	return pack(&envelope, size);
}

/** Messages between peers: encoding, refusals, keys and queue limits. */
#include <errno.h>
#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "cases.h"
#include "connection/peer.h"
#include "connection/peer_codec.h"
#include "connection/zap.h"
#include "proto/peer.pb-c.h"

static peer_load_t loads[] = {
	{ .report = { .server = "e1",
		      .incarnation = 9,
		      .cold = true,
		      .kv_total_tokens = 1000,
		      .running = 3,
		      .role = ROLE_DECODE,
		      .model_count = 2,
		      .models = { "m", "n" } },
	  .age_us = 17 },
	{ .report = { .server = "e2" } },
};
static peer_member_t members[] = {
	{ "vm-2", 7, "10.0.0.2:1", true },
	{ "vm-3", 8, "10.0.0.3:1", false },
};

static const peer_msg_t messages[] = {
	{ .type = PEER_HELLO, .as.hello = "10.0.0.1:1" },
	{ .type = PEER_HEARTBEAT,
	  .as.heartbeat = { 4, 12, true, "10.0.0.1:1", 77 } },
	{ .type = PEER_PROBE_REQUEST, .as.probe = { "vm-2", 5, true, 0 } },
	{ .type = PEER_PROBE_REPLY, .as.probe = { "vm-2", 5, false, 6 } },
	{ .type = PEER_CONFIG_REQUEST, .as.known_version = 3 },
	{ .type = PEER_CONFIG_PUSH, .as.config = { 4, 2, (char *)"{}" } },
	{ .type = PEER_CREDIT,
	  .as.credit = { .type = CREDIT_RENEW,
			 .resource = { RESOURCE_ACCOUNT, "acme" },
			 .id = 5,
			 .sequence = 6,
			 .amount = { 7, 8 },
			 .minimum = { 1, 2 },
			 .lifetime_us = 3,
			 .retry_after_us = 4,
			 .server_incarnation = 41,
			 .completed = 9,
			 .failed = 10 } },
	{ .type = PEER_LOAD_DIGEST, .as.digest = { 2, loads } },
	{ .type = PEER_LEAVING },
	{ .type = PEER_SUMMARY, .as.summary = { 3, "b", 2, members } },
};

static uint8_t *encode(size_t index, size_t *size)
{
	peer_msg_t message = messages[index];

	mem_strlcpy(message.vm_id, "vm-1", sizeof(message.vm_id));
	mem_strlcpy(message.data_centre, "a", sizeof(message.data_centre));
	message.incarnation = 11;
	return peer_encode(&message, size);
}

static void assert_same_body(const peer_msg_t *a, const peer_msg_t *b)
{
	size_t i;

	switch (a->type) {
	case PEER_CONFIG_PUSH:
		assert_int_equal(a->as.config.version, b->as.config.version);
		assert_string_equal(a->as.config.text, b->as.config.text);
		break;
	case PEER_LOAD_DIGEST:
		assert_int_equal(a->as.digest.count, b->as.digest.count);
		for (i = 0; i < a->as.digest.count; i++)
			assert_memory_equal(&a->as.digest.servers[i],
					    &b->as.digest.servers[i],
					    sizeof(peer_load_t));
		break;
	case PEER_SUMMARY:
		assert_int_equal(a->as.summary.count, b->as.summary.count);
		assert_string_equal(a->as.summary.data_centre,
				    b->as.summary.data_centre);
		for (i = 0; i < a->as.summary.count; i++)
			assert_memory_equal(&a->as.summary.members[i],
					    &b->as.summary.members[i],
					    sizeof(peer_member_t));
		break;
	default:
		assert_memory_equal(&a->as, &b->as, sizeof(a->as));
	}
}

/* Guards against fields that are lost between encoding and decoding. */
static void decodes_what_it_encoded(void **state)
{
	size_t i, size;

	for (i = 0; i < COUNT_OF(messages); i++) {
		uint8_t *data = encode(i, &size);
		peer_msg_t message;
		err_t err;

		if (!peer_decode(data, size, &message, &err))
			fail_msg("message %zu: %s", i, err.message);
		assert_int_equal(message.type, messages[i].type);
		assert_string_equal(message.vm_id, "vm-1");
		assert_int_equal(message.incarnation, 11);
		assert_same_body(&messages[i], &message);
		peer_msg_clear(&message);
		free(data);
	}
}

/* Guards against a truncated message that is accepted as complete. */
static void refuses_truncated_messages(void **state)
{
	size_t i, size, length;

	for (i = 0; i < COUNT_OF(messages); i++) {
		uint8_t *data = encode(i, &size);

		for (length = 0; length < size; length++) {
			uint8_t *prefix = (uint8_t *)mem_copy(data, length);
			peer_msg_t message;
			err_t err = { 0 };

			if (peer_decode(prefix, length, &message, &err))
				fail_msg("message %zu accepted at %zu bytes", i,
					 length);
			assert_int_equal(err.layer, ERR_LAYER_PEER);
			assert_true(*err.message);
			free(prefix);
		}
		free(data);
	}
}

/* Guards against crashes on corrupt messages: changes each byte in turn. */
static void survives_changed_bytes(void **state)
{
	size_t i, size, at;
	int change;

	for (i = 0; i < COUNT_OF(messages); i++) {
		uint8_t *data = encode(i, &size);

		for (at = 0; at < size; at++)
			for (change = 1; change < 256; change += 7) {
				peer_msg_t message;
				uint8_t before = data[at];

				data[at] = (uint8_t)(before + change);
				if (peer_decode(data, size, &message, NULL))
					peer_msg_clear(&message);
				data[at] = before;
			}
		free(data);
	}
}

/* Credit message with one invalid field, and the expected error. */
typedef struct {
	const char *guards_against;
	uint32_t protocol;
	const char *vm_id;
	uint64_t incarnation;
	const char *resource;
	int64_t kv_tokens;
	uint32_t type;
	peer_err_t code;
} invalid_t;

static const invalid_t invalid[] = {
	{ "another protocol", 2, "vm-1", 1, "e1", 1, 0, PEER_ERR_PROTOCOL },
	{ "a sender without a name", 1, "", 1, "e1", 1, 0, PEER_ERR_MALFORMED },
	{ "a sender with a path as name", 1, "../x", 1, "e1", 1, 0,
	  PEER_ERR_MALFORMED },
	{ "a sender without an incarnation", 1, "vm-1", 0, "e1", 1, 0,
	  PEER_ERR_MALFORMED },
	{ "a resource name that does not fit", 1, "vm-1", 1,
	  "0123456789012345678901234567890123456789012345678901234567890123", 1,
	  0, PEER_ERR_MALFORMED },
	{ "a negative amount", 1, "vm-1", 1, "e1", -1, 0, PEER_ERR_MALFORMED },
	{ "an unknown credit type", 1, "vm-1", 1, "e1", 1, 99,
	  PEER_ERR_MALFORMED },
};

/* Guards against invalid fields that reach the credit protocol. */
static void refuses_invalid_fields(void **state)
{
	size_t i, size;

	for (i = 0; i < COUNT_OF(invalid); i++) {
		Peer__Envelope envelope = PEER__ENVELOPE__INIT;
		Peer__Credit credit = PEER__CREDIT__INIT;
		peer_msg_t message;
		err_t err = { 0 };
		uint8_t data[512];

		credit.resource = (char *)invalid[i].resource;
		credit.kv_tokens = invalid[i].kv_tokens;
		credit.type = invalid[i].type;
		envelope.protocol = invalid[i].protocol;
		envelope.vm_id = (char *)invalid[i].vm_id;
		envelope.incarnation = invalid[i].incarnation;
		envelope.data_centre = (char *)"a";
		envelope.body_case = PEER__ENVELOPE__BODY_CREDIT;
		envelope.credit = &credit;
		size = peer__envelope__pack(&envelope, data);
		if (peer_decode(data, size, &message, &err) ||
		    err.code != (int32_t)invalid[i].code)
			fail_msg("case \"%s\": code %d",
				 invalid[i].guards_against, err.code);
	}
}

/*
 * Guards against PEER_ERR_MALFORMED for a message type that a later version
 * added.
 */
static void distinguishes_unknown_types_from_malformed(void **state)
{
	Peer__Envelope envelope = PEER__ENVELOPE__INIT;
	/* Field 99, length-delimited, empty. */
	static const uint8_t later[] = { 0x9a, 0x06, 0x00 };
	peer_msg_t message;
	err_t err = { 0 };
	uint8_t data[128];
	size_t size;

	envelope.protocol = PEER_PROTOCOL;
	envelope.vm_id = (char *)"vm-1";
	envelope.data_centre = (char *)"a";
	envelope.incarnation = 1;
	size = peer__envelope__pack(&envelope, data);
	memcpy(data + size, later, sizeof(later));
	assert_false(peer_decode(data, size + sizeof(later), &message, &err));
	assert_int_equal(err.code, PEER_ERR_UNKNOWN);
}

typedef struct {
	void *zmq;
	peer_t *peer;
	struct ev_loop *loop;
	char public_key[41], secret_key[41];
	int received;
	char last[64];
} node_t;

/* Guards against a failed start that names the reason of another failure. */
static void unusable_key_without_its_reason(void **state)
{
	static const char *const keys[] = {
		"", "too short", "Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hI\x01"
	};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	void *zmq = zmq_ctx_new();
	size_t i;

	for (i = 0; i < COUNT_OF(keys); i++) {
		errno = ENOENT;
		assert_null(zap_create(zmq, loop, keys[i]));
		assert_int_equal(errno, EINVAL);
	}
	zmq_ctx_term(zmq);
	ev_loop_destroy(loop);
}

static void on_message(void *context, const void *data, size_t size)
{
	node_t *node = context;

	node->received++;
	if (size < sizeof(node->last)) {
		memcpy(node->last, data, size);
		node->last[size] = '\0';
	}
}

static void start_node(node_t *node, const char *address, struct ev_loop *loop,
		       const node_t *keys)
{
	peer_conf_t conf;
	err_t err = { 0 };

	memset(node, 0, sizeof(*node));
	node->zmq = zmq_ctx_new();
	node->loop = loop;
	if (keys) {
		memcpy(node->public_key, keys->public_key, 41);
		memcpy(node->secret_key, keys->secret_key, 41);
	} else {
		zmq_curve_keypair(node->public_key, node->secret_key);
	}
	mem_strlcpy(conf.address, address, sizeof(conf.address));
	conf.public_key = node->public_key;
	conf.secret_key = node->secret_key;
	node->peer =
		peer_create(node->zmq, loop, &conf, on_message, node, &err);
	if (!node->peer)
		fail_msg("%s", err.message);
}

static void stop_node(node_t *node)
{
	peer_destroy(node->peer);
	zmq_ctx_term(node->zmq);
}

static void run(struct ev_loop *loop, int64_t ms)
{
	int64_t end_us = clock_monotonic_us() + ms * US_PER_MS;

	while (clock_monotonic_us() < end_us) {
		ev_run(loop, EVRUN_NOWAIT);
		usleep(1000);
	}
}

#define ADDRESS_A "127.0.0.1:19871"
#define ADDRESS_B "127.0.0.1:19872"

/*
 * Guards against links that do not connect, and against messages that are
 * queued before the connection exists and arrive late.
 */
static void delivers_between_nodes(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	node_t a, b;

	start_node(&a, ADDRESS_A, loop, NULL);
	assert_true(peer_connect(a.peer, "b", ADDRESS_B, NULL));
	/* Messages for a peer without a connection are dropped. */
	assert_false(peer_send(a.peer, "b", "early", 5));
	assert_false(peer_send(a.peer, "c", "nobody", 6));
	start_node(&b, ADDRESS_B, loop, &a);
	run(loop, 1000);
	assert_int_equal(b.received, 0);
	assert_true(peer_send(a.peer, "b", "hello", 5));
	run(loop, 200);
	assert_int_equal(b.received, 1);
	assert_string_equal(b.last, "hello");
	peer_disconnect(a.peer, "b");
	assert_false(peer_send(a.peer, "b", "gone", 4));
	stop_node(&a);
	stop_node(&b);
	ev_loop_destroy(loop);
}

/*
 * Guards against messages from a process that knows the public key of the fleet
 * but not its secret key.
 */
static void refuses_a_wrong_key(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	int64_t refused = metrics_get(METRIC_PEER_KEY_REFUSED);
	void *zmq = zmq_ctx_new(), *intruder = zmq_socket(zmq, ZMQ_DEALER);
	char public_key[41], secret_key[41];
	int linger = 0;
	node_t a;

	start_node(&a, ADDRESS_A, loop, NULL);
	zmq_curve_keypair(public_key, secret_key);
	zmq_setsockopt(intruder, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(intruder, ZMQ_CURVE_SERVERKEY, a.public_key, 41);
	zmq_setsockopt(intruder, ZMQ_CURVE_PUBLICKEY, public_key, 41);
	zmq_setsockopt(intruder, ZMQ_CURVE_SECRETKEY, secret_key, 41);
	assert_int_equal(zmq_connect(intruder, "tcp://" ADDRESS_A), 0);
	assert_int_equal(zmq_send(intruder, "x", 1, 0), 1);
	run(loop, 500);
	assert_int_equal(a.received, 0);
	assert_true(metrics_get(METRIC_PEER_KEY_REFUSED) > refused);
	zmq_close(intruder);
	zmq_ctx_term(zmq);
	stop_node(&a);
	ev_loop_destroy(loop);
}

/* Guards against a message of several frames read as one message. */
static void refuses_several_frames(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	int64_t malformed = metrics_get(METRIC_PEER_MALFORMED);
	void *zmq = zmq_ctx_new(), *socket = zmq_socket(zmq, ZMQ_DEALER);
	int linger = 0;
	node_t a;

	start_node(&a, ADDRESS_A, loop, NULL);
	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, a.public_key, 41);
	zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, a.public_key, 41);
	zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, a.secret_key, 41);
	assert_int_equal(zmq_connect(socket, "tcp://" ADDRESS_A), 0);
	zmq_send(socket, "one", 3, ZMQ_SNDMORE);
	zmq_send(socket, "two", 3, 0);
	zmq_send(socket, "whole", 5, 0);
	run(loop, 500);
	assert_int_equal(a.received, 1);
	assert_string_equal(a.last, "whole");
	assert_int_equal(metrics_get(METRIC_PEER_MALFORMED), malformed + 1);
	zmq_close(socket);
	zmq_ctx_term(zmq);
	stop_node(&a);
	ev_loop_destroy(loop);
}

/* Guards against a queue that grows while a peer does not read. */
static void limits_the_queue(void **state)
{
	struct ev_loop *loop_a = ev_loop_new(EVFLAG_AUTO);
	struct ev_loop *loop_b = ev_loop_new(EVFLAG_AUTO);
	static char message[64 * 1024];
	node_t a, b;
	int sent = 0;

	start_node(&a, ADDRESS_A, loop_a, NULL);
	start_node(&b, ADDRESS_B, loop_b, &a);
	assert_true(peer_connect(a.peer, "b", ADDRESS_B, NULL));
	/* The loop of the receiver checks the keys and accepts the link. */
	run(loop_b, 500);
	while (sent < 5000 && peer_send(a.peer, "b", message, sizeof(message)))
		sent++;
	assert_in_range(sent, 1, 4999);
	run(loop_b, 500);
	assert_true(b.received > 0);
	assert_true(peer_send(a.peer, "b", message, sizeof(message)));
	stop_node(&a);
	stop_node(&b);
	ev_loop_destroy(loop_a);
	ev_loop_destroy(loop_b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(decodes_what_it_encoded),
		cmocka_unit_test(refuses_truncated_messages),
		cmocka_unit_test(survives_changed_bytes),
		cmocka_unit_test(refuses_invalid_fields),
		cmocka_unit_test(unusable_key_without_its_reason),
		cmocka_unit_test(distinguishes_unknown_types_from_malformed),
		cmocka_unit_test(delivers_between_nodes),
		cmocka_unit_test(refuses_a_wrong_key),
		cmocka_unit_test(refuses_several_frames),
		cmocka_unit_test(limits_the_queue),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

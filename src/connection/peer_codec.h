/**
 * @file peer_codec.h
 * Messages between peers as structs, and their conversion to and from the
 * protobuf messages of proto/peer.proto. No I/O.
 */
#ifndef CONNECTION_PEER_CODEC_H
#define CONNECTION_PEER_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "base/units.h"
#include "process/credit.h"
#include "process/load.h"

enum {
	PEER_PROTOCOL = 1, /* version of the protocol */
	/*
	 * Larger messages are refused. A configuration document of 1 MB fits,
	 * with its envelope.
	 */
	PEER_MESSAGE_MAX_BYTES = 1100000
};

/** Codes of ERR_LAYER_PEER. */
typedef enum {
	PEER_ERR_MALFORMED = 1, /**< undecodable, or a field is invalid */
	PEER_ERR_PROTOCOL, /**< the sender uses another protocol version */
	PEER_ERR_UNKNOWN, /**< message type unknown to this version */
	PEER_ERR_SOCKET /**< a socket cannot be opened */
} peer_err_t;

/** Type of a message; the messages are described in proto/peer.proto. */
typedef enum {
	PEER_HELLO,
	PEER_HEARTBEAT,
	PEER_PROBE_REQUEST,
	PEER_PROBE_REPLY,
	PEER_CONFIG_REQUEST,
	PEER_CONFIG_PUSH,
	PEER_CREDIT,
	PEER_LOAD_DIGEST,
	PEER_LEAVING,
	PEER_SUMMARY
} peer_msg_type_t;

/** Periodic sign of life of the sender, with its state. */
typedef struct {
	uint64_t sequence; /**< number of the heartbeat, from 1 */
	int64_t config_version; /**< version that the sender has; 0: none */
	bool leaving; /**< the sender shuts down */
	char address[URL_SIZE_BYTES]; /**< address of the sender; empty:
					 unchanged */
	uint32_t view; /**< hash of the members that the sender lists */
	bool platform_cut; /**< the sender cannot watch the configuration */
} peer_heartbeat_t;

/** Probe request or reply. */
typedef struct {
	char target[NAME_SIZE_BYTES]; /**< VM id of the probed member */
	uint64_t nonce; /**< the reply repeats the nonce of its request */
	bool direct; /**< requests only: the receiver is the target */
	uint64_t target_incarnation; /**< replies only */
} peer_probe_t;

/** Configuration document. */
typedef struct {
	int64_t version;
	size_t size_bytes;
	/** Text of the document; freed by peer_msg_clear() after decoding. */
	char *text;
} peer_config_t;

/** Load of one server. */
typedef struct {
	load_report_t report; /**< taken_us and received_us are not set */
	int64_t age_us; /**< time since the server measured the load */
} peer_load_t;

/** Load of the servers whose credits the sender owns. */
typedef struct {
	size_t count;
	peer_load_t *servers; /**< freed by peer_msg_clear() after decoding */
} peer_digest_t;

/** Member of a data centre, as listed in a summary. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation;
	char address[URL_SIZE_BYTES];
	bool leaving;
} peer_member_t;

/** State of a data centre. */
typedef struct {
	int64_t config_version;
	/** Data centre described; empty: the data centre of the sender. */
	char data_centre[NAME_SIZE_BYTES];
	size_t count; /**< number of members; 0: members unchanged */
	/** Members; freed by peer_msg_clear() after decoding. */
	peer_member_t *members;
} peer_summary_t;

/** One message; the member of `as` that is set depends on type. */
typedef struct {
	peer_msg_type_t type;
	char vm_id[NAME_SIZE_BYTES]; /**< VM id of the sender */
	uint64_t incarnation; /**< incarnation of the sender */
	char data_centre[NAME_SIZE_BYTES]; /**< data centre of the sender */
	union {
		char hello[URL_SIZE_BYTES]; /**< address of the sender */
		peer_heartbeat_t heartbeat;
		peer_probe_t probe;
		int64_t known_version; /**< PEER_CONFIG_REQUEST: version that
					  the sender has */
		peer_config_t config;
		credit_msg_t credit; /**< holder and holder_incarnation are
					  not encoded */
		peer_digest_t digest;
		peer_summary_t summary;
	} as;
} peer_msg_t;

/**
 * Encodes a message; heap memory of the message is not freed.
 * @return a buffer of @p size bytes, to be freed with free()
 */
uint8_t *peer_encode(const peer_msg_t *message, size_t *size);

/**
 * Decodes a message; a decoded message is freed with peer_msg_clear().
 * @return false and @p err, with no memory to free, if the message is refused
 */
bool peer_decode(const void *data, size_t size, peer_msg_t *message,
		 err_t *err);

/** Frees the heap memory of a decoded message. */
void peer_msg_clear(peer_msg_t *message);

/**
 * @return true if @p text can be the name of a VM, data centre or resource:
 * 1 to NAME_SIZE_BYTES - 1 letters, digits, '-', '_' and '.'
 */
bool peer_is_name(const char *text);

#endif

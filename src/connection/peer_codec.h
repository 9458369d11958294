/**
 * @file peer_codec.h
 * Messages between peers as structs, and their protobuf form. No I/O.
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
	PEER_PROTOCOL = 1,
	/* A document of 1 MB in an envelope; larger messages are refused. */
	PEER_MESSAGE_MAX_BYTES = 1100000
};

/** Codes of ERR_LAYER_PEER. */
typedef enum {
	PEER_ERR_MALFORMED = 1, /**< cannot be read, or a field is invalid */
	PEER_ERR_PROTOCOL, /**< another version of the protocol */
	PEER_ERR_UNKNOWN, /**< a message type this version does not know */
	PEER_ERR_SOCKET /**< a socket cannot be opened */
} peer_err_t;

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

typedef struct {
	uint64_t sequence;
	int64_t config_version;
	bool leaving;
	char address[URL_SIZE_BYTES]; /**< empty if unchanged */
	uint32_t view;
	bool platform_cut;
} peer_heartbeat_t;

typedef struct {
	char target[NAME_SIZE_BYTES];
	uint64_t nonce;
	bool direct; /**< requests */
	uint64_t target_incarnation; /**< replies */
} peer_probe_t;

typedef struct {
	int64_t version;
	size_t size_bytes;
	char *text; /**< owned after decoding, borrowed for encoding */
} peer_config_t;

typedef struct {
	load_report_t report; /**< without its times */
	int64_t age_us; /**< time since the server took the figures */
} peer_load_t;

typedef struct {
	size_t count;
	peer_load_t *servers; /**< owned after decoding */
} peer_digest_t;

typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	uint64_t incarnation;
	char address[URL_SIZE_BYTES];
	bool leaving;
} peer_member_t;

typedef struct {
	int64_t config_version;
	char data_centre[NAME_SIZE_BYTES]; /**< empty: that of the sender */
	size_t count; /**< 0: unchanged */
	peer_member_t *members; /**< owned after decoding */
} peer_summary_t;

typedef struct {
	peer_msg_type_t type;
	char vm_id[NAME_SIZE_BYTES]; /**< sender */
	uint64_t incarnation;
	char data_centre[NAME_SIZE_BYTES];
	union {
		char hello[URL_SIZE_BYTES]; /**< address of the sender */
		peer_heartbeat_t heartbeat;
		peer_probe_t probe;
		int64_t known_version; /**< configuration request */
		peer_config_t config;
		credit_msg_t credit; /**< without the holder */
		peer_digest_t digest;
		peer_summary_t summary;
	} as;
} peer_msg_t;

/**
 * Encodes a message.
 * @return a buffer of @p size bytes that the caller frees
 */
uint8_t *peer_encode(const peer_msg_t *message, size_t *size);

/**
 * Decodes a message; free with peer_msg_clear().
 * @return false with @p err, and nothing to free, if it is refused
 */
bool peer_decode(const void *data, size_t size, peer_msg_t *message,
		 err_t *err);

void peer_msg_clear(peer_msg_t *message);

/** Whether the text can be the name of a VM, data centre or resource. */
bool peer_is_name(const char *text);

#endif

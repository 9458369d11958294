/**
 * @file claim_record.h
 * The platform object that a claim is: its name and its JSON form.
 */
#ifndef REQUEST_CLAIM_RECORD_H
#define REQUEST_CLAIM_RECORD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "process/task_msg.h"
#include "request/stream_id.h"

enum {
	/** "claim-" and 64 hexadecimal digits, which Kubernetes accepts. */
	CLAIM_NAME_SIZE_BYTES = 6 + 64 + 1,
	/**
	 * Longest answer that is kept: as base64 and with the other fields
	 * it stays below the 1 MB of a platform object.
	 */
	CLAIM_ANSWER_MAX_BYTES = 700000
};

/** Codes of ERR_LAYER_REQUEST. */
typedef enum {
	CLAIM_ERR_MALFORMED = 1 /**< not a claim in JSON form */
} claim_err_t;

typedef enum {
	CLAIM_OPEN, /**< claimed; perhaps sent */
	CLAIM_DONE, /**< answered by the server */
	CLAIM_UNKNOWN /**< sent, and no answer came */
} claim_state_t;

/** Contents of a claim. Times are wall-clock microseconds. */
typedef struct {
	char account[NAME_SIZE_BYTES];
	char key[IDEMPOTENCY_KEY_SIZE_BYTES];
	stream_id_t claimant; /**< VM, incarnation, request and attempt */
	uint8_t request_hash[REQUEST_HASH_SIZE_BYTES];
	claim_state_t state;
	int64_t created_us;
	int64_t deadline_us; /**< nothing is sent after it */
	int64_t ended_us; /**< 0: open */
	int32_t status; /**< HTTP status of the answer; CLAIM_DONE */
	char content_type[NAME_SIZE_BYTES];
	bool omitted; /**< the answer was too long to keep */
	char *answer; /**< NUL-terminated, owned; NULL: none */
	size_t answer_size_bytes;
} claim_record_t;

/** Derives the object name from account and key. */
void claim_name(const char *account, const char *key,
		char name[CLAIM_NAME_SIZE_BYTES]);

/** @return a new reference to the JSON form. */
json_t *claim_record_encode(const claim_record_t *record);

/**
 * Reads the JSON form; unknown keys are ignored. Clear @p record with
 * claim_record_clear() after success.
 */
bool claim_record_decode(const json_t *spec, claim_record_t *record,
			 err_t *err);

void claim_record_clear(claim_record_t *record);

#endif

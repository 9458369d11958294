/**
 * @file claim_record.h
 * Contents, name and JSON form of a claim, which is an object in the platform's
 * store.
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
	/** "claim-", 64 hexadecimal digits and NUL; a valid object name in
	 * Kubernetes. */
	CLAIM_NAME_SIZE_BYTES = 6 + 64 + 1,
	/**
	 * Longest answer that a claim records: as base64, and with the other
	 * fields, it stays below the 1 MB limit of a platform object.
	 */
	CLAIM_ANSWER_MAX_BYTES = 700000
};

/** Codes of ERR_LAYER_REQUEST. */
typedef enum {
	CLAIM_ERR_MALFORMED = 1 /**< the JSON form is not that of a claim */
} claim_err_t;

typedef enum {
	CLAIM_OPEN, /**< the claim was created; the call may have been sent */
	CLAIM_DONE, /**< the server answered the call */
	CLAIM_UNKNOWN /**< the call was sent, but no complete answer arrived */
} claim_state_t;

/** Contents of a claim. Times are microseconds of the wall clock. */
typedef struct {
	char account[NAME_SIZE_BYTES];
	char key[IDEMPOTENCY_KEY_SIZE_BYTES];
	stream_id_t claimant; /**< attempt that owns the claim */
	uint8_t request_hash[REQUEST_HASH_SIZE_BYTES];
	claim_state_t state;
	int64_t created_us;
	int64_t deadline_us; /**< the call is not sent after this time */
	int64_t ended_us; /**< end of the call; 0 if CLAIM_OPEN */
	int32_t status; /**< HTTP status of the answer if CLAIM_DONE */
	char content_type[NAME_SIZE_BYTES]; /**< type of the answer; empty if
					       unknown */
	bool omitted; /**< the answer was too long to record */
	char *answer; /**< NUL-terminated, owned; NULL if none */
	size_t answer_size_bytes;
} claim_record_t;

/** Derives the object name from the account and the idempotency key. */
void claim_name(const char *account, const char *key,
		char name[CLAIM_NAME_SIZE_BYTES]);

/** @return a new reference to the JSON form. */
json_t *claim_record_encode(const claim_record_t *record);

/**
 * Reads the JSON form; unknown keys are ignored. After success the caller
 * frees the contents of @p record with claim_record_clear().
 * @return false if the JSON form is malformed
 */
bool claim_record_decode(const json_t *spec, claim_record_t *record,
			 err_t *err);

/** Frees the answer. */
void claim_record_clear(claim_record_t *record);

#endif

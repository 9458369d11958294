/**
 * @file claim.h
 * One action: a call that runs at most once.
 *
 * The claim is an object of the platform that is created before anything is
 * sent, so only one node sends the call. Pure: the caller of this module
 * carries out the actions of claim_next() and reports their results. At most
 * one platform call is outstanding at a time. The caller of the service gets
 * exactly one CLAIM_ACTION_ANSWER or CLAIM_ACTION_REFUSE, unless it is gone;
 * the claim may go on to record or release itself afterwards, until
 * CLAIM_ACTION_END.
 */
#ifndef REQUEST_CLAIM_H
#define REQUEST_CLAIM_H

#include "platform/client.h"
#include "request/claim_record.h"

typedef struct claim claim_t;

/** What an action is about. */
typedef struct {
	stream_id_t claimant; /**< the single attempt that may be sent */
	char account[NAME_SIZE_BYTES];
	char key[IDEMPOTENCY_KEY_SIZE_BYTES];
	uint8_t request_hash[REQUEST_HASH_SIZE_BYTES];
	int64_t deadline_us; /**< monotonic */
	int64_t wall_us; /**< wall-clock time of claim_create() */
} claim_conf_t;

typedef enum {
	CLAIM_ACTION_CREATE, /**< platform_create_object(name, spec) */
	CLAIM_ACTION_READ, /**< platform_get(name) */
	CLAIM_ACTION_PUT, /**< platform_put(name, version, spec) */
	CLAIM_ACTION_DELETE, /**< platform_delete(name, version) */
	CLAIM_ACTION_SEND, /**< send the call now; comes at most once */
	CLAIM_ACTION_ANSWER, /**< `record`, valid until the next call */
	CLAIM_ACTION_REFUSE, /**< `refuse` */
	CLAIM_ACTION_END /**< nothing follows; destroy the claim */
} claim_action_type_t;

typedef struct {
	claim_action_type_t type;
	int64_t version;
	json_t *spec; /**< one reference, for the taker */
	const claim_record_t *record;
	refuse_msg_t refuse;
} claim_action_t;

claim_t *claim_create(const claim_conf_t *conf, int64_t now_us);
void claim_destroy(claim_t *claim);

/** @return the name of the platform object. */
const char *claim_object_name(const claim_t *claim);

/** Result of the outstanding platform call. */
void claim_platform_done(claim_t *claim, platform_status_t status,
			 const platform_object_t *object, int64_t now_us);

/**
 * The call was not handed to a server, for want of capacity or of a server:
 * the claim is released and the caller refused as not-run.
 */
void claim_unsent(claim_t *claim, refusal_t refusal, int32_t retry_after_s,
		  int64_t now_us);

/** End of the send. The message stays the caller's. */
void claim_finished(claim_t *claim, const finished_msg_t *finished,
		    int64_t now_us);

/** The caller disconnected: it gets no answer, and nothing new is sent. */
void claim_caller_gone(claim_t *claim, int64_t now_us);

/** Takes the next action; false if there is none now. Call it after every
 * input and every 100 ms. */
bool claim_next(claim_t *claim, claim_action_t *action, int64_t now_us);

/** A claim may be removed this long after its end. */
#define CLAIM_KEEP_US (24 * 3600 * US_PER_S)

/**
 * Whether a claim may be removed: 24 h after it ended, or, when its end was
 * never recorded, 24 h after its deadline, when nothing can be sent for it.
 */
bool claim_removable(const claim_record_t *record, int64_t wall_us);

/**
 * Whether a new claim may be created.
 * @param claims    objects that the last sweep found
 * @param created   objects created since by this node
 * @param nodes     nodes that create claims
 * @param max       bound on the number of objects
 */
bool claim_admit(int64_t claims, int64_t created, int32_t nodes, int64_t max);

#endif

/**
 * @file claim.h
 * State machine of a call that runs at most once. Such a call is named an
 * action in other files; in this one, an action is a step for the code that
 * drives the state machine (claim_action_t).
 *
 * A claim is an object in the platform's store that is created before the call
 * is sent. Its name derives from the account and the idempotency key, so only
 * one attempt can create the object and only one node sends the call. When the
 * call has ended, its result is recorded in the object. If the call was not
 * sent, the claim is released: the object is deleted.
 *
 * The state machine performs no I/O: the code that drives it
 * (process/control_actions.c) carries out the actions of claim_next() and
 * passes their results back. At most one platform call is outstanding at a
 * time. The caller of the service gets exactly one CLAIM_ACTION_ANSWER or
 * CLAIM_ACTION_REFUSE, unless it has disconnected. Recording or releasing the
 * claim may continue after that, until CLAIM_ACTION_END.
 */
#ifndef REQUEST_CLAIM_H
#define REQUEST_CLAIM_H

#include "platform/client.h"
#include "request/claim_record.h"

typedef struct claim claim_t;

/** Identity and time limits of the call. */
typedef struct {
	stream_id_t claimant; /**< the only attempt that may be sent */
	char account[NAME_SIZE_BYTES];
	char key[IDEMPOTENCY_KEY_SIZE_BYTES];
	uint8_t request_hash[REQUEST_HASH_SIZE_BYTES];
	int64_t deadline_us; /**< deadline of the call, monotonic clock */
	int64_t wall_us; /**< wall-clock time of claim_create() */
} claim_conf_t;

/** What the code that drives the claim must do next. */
typedef enum {
	CLAIM_ACTION_CREATE, /**< platform_create_object(name, spec) */
	CLAIM_ACTION_READ, /**< platform_get(name) */
	CLAIM_ACTION_PUT, /**< platform_put(name, version, spec) */
	CLAIM_ACTION_DELETE, /**< platform_delete(name, version) */
	CLAIM_ACTION_SEND, /**< send the call; returned at most once */
	CLAIM_ACTION_ANSWER, /**< answer the caller with `record` */
	CLAIM_ACTION_REFUSE, /**< refuse the caller with `refuse` */
	CLAIM_ACTION_END /**< no action follows; destroy the claim */
} claim_action_type_t;

/** One action. The members in use depend on the type. */
typedef struct {
	claim_action_type_t type;
	int64_t version; /**< PUT and DELETE: version of the object */
	/**
	 * CREATE and PUT: JSON form of the claim, a reference that the receiver
	 * must release; otherwise NULL.
	 */
	json_t *spec;
	/** ANSWER: valid until the next use of the claim; otherwise NULL. */
	const claim_record_t *record;
	refuse_msg_t refuse; /**< REFUSE: what to send to the caller */
} claim_action_t;

/**
 * Starts the state machine; its first action creates the object.
 * @param now_us monotonic time, here and in the functions below
 */
claim_t *claim_create(const claim_conf_t *conf, int64_t now_us);
void claim_destroy(claim_t *claim);

/** @return the name of the platform object of the claim. */
const char *claim_object_name(const claim_t *claim);

/**
 * Handles the result of the outstanding platform call.
 * @param object the object that was created, read or written; NULL if none
 */
void claim_platform_done(claim_t *claim, platform_status_t status,
			 const platform_object_t *object, int64_t now_us);

/**
 * Handles a call that was not handed to a server, because no capacity or no
 * server was available: releases the claim and refuses the caller with
 * OUTCOME_NOT_RUN. Has no effect before CLAIM_ACTION_SEND.
 * @param retry_after_s seconds for Retry-After; 0: no such header
 */
void claim_unsent(claim_t *claim, refusal_t refusal, int32_t retry_after_s,
		  int64_t now_us);

/**
 * Handles the end of the attempt. Has no effect before CLAIM_ACTION_SEND.
 * Copies what it needs of @p finished.
 */
void claim_finished(claim_t *claim, const finished_msg_t *finished,
		    int64_t now_us);

/**
 * Handles a caller that disconnected: the caller gets no answer, and a call
 * that was not sent yet is not sent.
 */
void claim_caller_gone(claim_t *claim, int64_t now_us);

/**
 * Takes the next action. Must be called after every input and every 100 ms.
 * @return false if no action is due now
 */
bool claim_next(claim_t *claim, claim_action_t *action, int64_t now_us);

/** A claim may be removed this long after the call ended. */
#define CLAIM_RETENTION_US (24 * 3600 * US_PER_S)

/**
 * @return true if a claim may be removed: 24 h after the call ended, or, when
 * its end was never recorded, 24 h after its deadline, because the call is not
 * sent after the deadline; 30 s are added to the deadline, because the clocks
 * of two VMs differ
 */
bool claim_removable(const claim_record_t *record, int64_t wall_us);

/**
 * Estimates the number of claims in the fleet, as if every node had created
 * as many as this node since the last sweep.
 * @param claims    claims that the last sweep of the store found
 * @param created   claims that this node created since the last sweep
 * @param nodes     number of nodes that create claims
 * @param max       bound on the number of claims
 * @return true if the estimate is below @p max, so that a claim may be created
 */
bool claim_admit(int64_t claims, int64_t created, int32_t nodes, int64_t max);

#endif

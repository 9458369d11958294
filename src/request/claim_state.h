/**
 * @file claim_state.h
 * State of one claim. Internal: shared by the functions that choose the next
 * action (claim.c) and those that handle the results of platform calls.
 */
#ifndef REQUEST_CLAIM_STATE_H
#define REQUEST_CLAIM_STATE_H

#include "request/claim.h"

/* Pause before a platform call without a usable answer is retried. */
#define CLAIM_RETRY_US (100 * US_PER_MS)

/* Bound on the difference between the wall clocks of two VMs. */
#define CLAIM_SKEW_US (30 * US_PER_S)

/* Value of Retry-After in refusals whose cause is likely to end soon. */
#define CLAIM_RETRY_AFTER_S 2

/** The next thing to do, or the result that the claim is waiting for. */
typedef enum {
	STEP_CREATE, /**< create the object */
	STEP_READ, /**< read the object to see which attempt owns the claim */
	STEP_SEND, /**< return CLAIM_ACTION_SEND */
	STEP_SENT, /**< wait for the end of the call */
	STEP_RECORD, /**< write the end of the call into the object */
	STEP_RECORD_READ, /**< check if STEP_RECORD took effect */
	STEP_RELEASE, /**< delete the object */
	STEP_RELEASE_READ, /**< check if there is an object to delete */
	STEP_ENDED /**< return CLAIM_ACTION_END */
} claim_step_t;

struct claim {
	claim_conf_t conf;
	char name[CLAIM_NAME_SIZE_BYTES];
	int64_t start_us; /**< time of claim_create() */
	claim_step_t step;
	bool waiting; /**< a platform call is outstanding */
	int64_t not_before_us; /**< earliest time of the next step */
	/** Time to stop recording or releasing; 0: neither has begun. */
	int64_t background_until_us;
	int64_t version; /**< last known version of the object; 0: none */
	bool abandoned; /**< the call must no longer be sent */
	bool replied; /**< the caller was answered or has disconnected */
	bool maybe_created; /**< a create without an answer may take effect */
	bool name_taken; /**< an object with this name exists; another attempt
			  * may have created it */
	/** Reads that found no object after a create without an answer. */
	int32_t create_checks;
	claim_record_t record; /**< own claim, or the record to answer with */
	bool reply_pending; /**< claim_next() has yet to return `reply` */
	claim_action_t reply;
};

/** @return the wall-clock time at the monotonic time @p now_us. */
int64_t claim_wall_us(const claim_t *claim, int64_t now_us);

/** Sets the next step and the earliest time of its action. */
void claim_set_step(claim_t *claim, claim_step_t step, int64_t at_us);

/** @return true if it is not known yet which attempt owns the claim. */
bool claim_is_acquiring(const claim_t *claim);

/**
 * Gives up a claim whose call was not sent; releases the object if there may
 * be one.
 */
void claim_abandon(claim_t *claim, int64_t now_us);

/**
 * Refuses the caller, unless the caller was answered or has disconnected.
 * @param retry_after_s seconds for Retry-After; 0: no such header
 * @param message       text for the caller; empty: refusal_message()
 */
void claim_refuse(claim_t *claim, refusal_t refusal, outcome_t outcome,
		  int32_t retry_after_s, const char *message);

/** Refuses the caller because the call may or may not have executed. */
void claim_refuse_unknown(claim_t *claim);

/**
 * Refuses the caller and abandons a claim whose call was not sent. The outcome
 * is not-run, or unknown if the name is taken, perhaps by an earlier call with
 * the same key that ran.
 */
void claim_refuse_unsent(claim_t *claim, refusal_t refusal, int64_t now_us);

/**
 * Answers the caller with claim->record, unless the caller was answered or has
 * disconnected.
 */
void claim_answer(claim_t *claim);

#endif

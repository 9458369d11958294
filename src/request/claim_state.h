/**
 * @file claim_state.h
 * State of one action. Internal: shared by the part that decides what to do
 * next (claim.c) and the part that reads platform results
 * (claim_platform_done.c).
 */
#ifndef REQUEST_CLAIM_STATE_H
#define REQUEST_CLAIM_STATE_H

#include "request/claim.h"

/* A platform call without a usable answer is made again after this time. */
#define CLAIM_RETRY_US (100 * US_PER_MS)

/* Wall clocks of two VMs differ by less than this. */
#define CLAIM_SKEW_US (30 * US_PER_S)

#define CLAIM_RETRY_AFTER_S 2

typedef enum {
	STEP_CREATE,
	STEP_READ, /**< whose claim is it? */
	STEP_SEND,
	STEP_SENT,
	STEP_RECORD,
	STEP_RECORD_READ, /**< did the record take effect? */
	STEP_RELEASE,
	STEP_RELEASE_READ, /**< is there something to release? */
	STEP_OVER
} claim_step_t;

struct claim {
	claim_conf_t conf;
	char name[CLAIM_NAME_SIZE_BYTES];
	int64_t start_us;
	claim_step_t step;
	bool waiting; /**< a platform call is outstanding */
	int64_t not_before_us; /**< of the next platform call */
	int64_t background_until_us;
	int64_t version;
	bool abandoned; /**< must not send any more */
	bool replied; /**< the caller has its answer, or is gone */
	bool maybe_created; /**< an unanswered create may take effect */
	bool other_seen; /**< the name is taken, perhaps by another claim */
	int32_t late_checks;
	claim_record_t record; /**< own claim, then what is answered */
	bool reply_pending;
	claim_action_t reply;
};

int64_t claim_wall_us(const claim_t *claim, int64_t now_us);

/** Sets the next step, and the earliest time of its platform call. */
void claim_go(claim_t *claim, claim_step_t step, int64_t at_us);

/** Whether it is still open who owns the claim. */
bool claim_is_settling(const claim_t *claim);

/** Gives the claim up before anything was sent. */
void claim_abandon(claim_t *claim, int64_t now_us);

/** Refuses the caller, unless it has its answer. */
void claim_refuse(claim_t *claim, refusal_t refusal, outcome_t outcome,
		  int32_t retry_after_s, const char *message);
void claim_refuse_unknown(claim_t *claim);

/**
 * Refuses and gives up a claim that was not sent: as not-run, unless the
 * name is taken, perhaps by an earlier call with the same key.
 */
void claim_refuse_unsettled(claim_t *claim, refusal_t refusal, int64_t now_us);

/** Answers the caller with claim->record, unless it has its answer. */
void claim_answer(claim_t *claim);

#endif

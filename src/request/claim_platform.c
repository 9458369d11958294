#include "request/claim_state.h"

#include <string.h>

/*
 * A create whose answer was lost may take effect later. Its object is looked
 * up at most this many times, at this interval.
 */
#define CREATE_CHECKS_MAX 3
#define CREATE_CHECK_INTERVAL_US US_PER_S

static bool is_ours(const claim_t *claim, const claim_record_t *record)
{
	return stream_id_equal(&record->claimant, &claim->conf.claimant);
}

/* Lets the call be sent, or releases an abandoned claim. */
static void become_owner(claim_t *claim, int64_t version, int64_t now_us)
{
	claim->version = version;
	claim_set_step(claim, STEP_SEND, now_us);
	if (claim->abandoned)
		claim_set_step(claim, STEP_RELEASE, now_us);
}

/* Replies to the caller from a claim that another attempt created. */
static void reply_from_other(claim_t *claim, claim_record_t *other,
			     int64_t now_us)
{
	bool same = !strcmp(other->account, claim->conf.account) &&
		    !strcmp(other->key, claim->conf.key) &&
		    !memcmp(other->request_hash, claim->conf.request_hash,
			    sizeof(other->request_hash));

	claim_set_step(claim, STEP_ENDED, now_us);
	if (!same) {
		claim_refuse(claim, REFUSAL_KEY_REUSED, OUTCOME_NOT_RUN, 0, "");
	} else if (other->state == CLAIM_DONE && other->omitted) {
		claim_refuse(
			claim, REFUSAL_TOO_LARGE, OUTCOME_COMPLETE, 0,
			"the call is complete; its answer was too long to keep");
	} else if (other->state == CLAIM_DONE) {
		claim_record_t own_record = claim->record;

		claim->record = *other;
		*other = own_record;
		claim_answer(claim);
	} else if (other->state == CLAIM_OPEN &&
		   claim_wall_us(claim, now_us) <
			   other->deadline_us + CLAIM_SKEW_US) {
		claim_refuse(claim, REFUSAL_IN_PROGRESS, OUTCOME_UNKNOWN,
			     CLAIM_RETRY_AFTER_S, "");
	} else {
		claim_refuse_unknown(claim);
	}
}

/* Finds out from the object that was read which attempt owns the claim. */
static void resolve_owner(claim_t *claim, const platform_object_t *object,
			  int64_t now_us)
{
	claim_record_t record;

	if (!object || !claim_record_decode(object->spec, &record, NULL)) {
		claim_refuse_unknown(claim);
		claim_set_step(claim, STEP_ENDED, now_us);
		return;
	}
	if (is_ours(claim, &record) && record.state == CLAIM_OPEN)
		become_owner(claim, object->version, now_us);
	else
		reply_from_other(claim, &record, now_us);
	claim_record_clear(&record);
}

/*
 * Handles a create whose answer was lost. Refuses the caller at once, because
 * the call was not sent and the platform may not answer for long. An object
 * that was created after all is looked up and released later.
 */
static void handle_lost_create(claim_t *claim, int64_t now_us)
{
	claim->maybe_created = true;
	claim_refuse_unsent(claim, REFUSAL_PLATFORM_UNAVAILABLE, now_us);
}

/* Handles the result of STEP_CREATE. */
static void handle_create(claim_t *claim, platform_status_t status,
			  const platform_object_t *object, int64_t now_us)
{
	switch (status) {
	case PLATFORM_OK:
		if (object) {
			become_owner(claim, object->version, now_us);
			return;
		}
		handle_lost_create(claim, now_us);
		break;
	case PLATFORM_EXISTS:
		claim->name_taken = true;
		claim_set_step(claim, STEP_READ, now_us);
		break;
	case PLATFORM_UNKNOWN:
		handle_lost_create(claim, now_us);
		break;
	case PLATFORM_NOT_FOUND:
	case PLATFORM_CONFLICT:
	case PLATFORM_REFUSED:
	case PLATFORM_BUDGET:
	case PLATFORM_UNSENT:
		claim_refuse_unsent(claim, REFUSAL_PLATFORM_UNAVAILABLE,
				    now_us);
		break;
	}
}

/* Handles the result of STEP_READ. */
static void handle_read(claim_t *claim, platform_status_t status,
			const platform_object_t *object, int64_t now_us)
{
	switch (status) {
	case PLATFORM_OK:
		resolve_owner(claim, object, now_us);
		break;
	case PLATFORM_NOT_FOUND:
		claim->name_taken = false;
		claim_set_step(claim, STEP_CREATE, now_us);
		break;
	case PLATFORM_UNKNOWN:
	case PLATFORM_BUDGET:
	case PLATFORM_UNSENT:
		claim_set_step(claim, STEP_READ, now_us + CLAIM_RETRY_US);
		break;
	case PLATFORM_EXISTS:
	case PLATFORM_CONFLICT:
	case PLATFORM_REFUSED:
		claim_refuse_unsent(claim, REFUSAL_PLATFORM_UNAVAILABLE,
				    now_us);
		break;
	}
}

/* Handles the result of STEP_RECORD or STEP_RELEASE. */
static void handle_write(claim_t *claim, platform_status_t status,
			 int64_t now_us)
{
	bool recording = claim->step == STEP_RECORD;

	switch (status) {
	case PLATFORM_OK:
	case PLATFORM_EXISTS:
		claim_set_step(claim, STEP_ENDED, now_us);
		break;
	case PLATFORM_REFUSED:
		/* The answer may be too long for the platform: leave it out. */
		if (recording && claim->record.answer &&
		    !claim->record.omitted) {
			claim->record.omitted = true;
			claim_set_step(claim, STEP_RECORD, now_us);
			break;
		}
		claim_set_step(claim, STEP_ENDED, now_us);
		break;
	case PLATFORM_NOT_FOUND:
		claim_set_step(claim, STEP_ENDED, now_us);
		break;
	case PLATFORM_CONFLICT:
	case PLATFORM_UNKNOWN:
		claim_set_step(claim,
			       recording ? STEP_RECORD_READ : STEP_RELEASE_READ,
			       now_us);
		break;
	case PLATFORM_BUDGET:
	case PLATFORM_UNSENT:
		claim_set_step(claim, claim->step, now_us + CLAIM_RETRY_US);
		break;
	}
}

/*
 * Handles the read that shows if a put, a delete or a create without an answer
 * took effect.
 */
static void handle_check(claim_t *claim, platform_status_t status,
			 const platform_object_t *object, int64_t now_us)
{
	bool recording = claim->step == STEP_RECORD_READ;
	claim_record_t record;
	bool owned_and_open;

	if (status == PLATFORM_OK && object &&
	    claim_record_decode(object->spec, &record, NULL)) {
		owned_and_open = is_ours(claim, &record) &&
				 record.state == CLAIM_OPEN;
		claim_record_clear(&record);
		claim->version = object->version;
		claim_set_step(claim,
			       !owned_and_open ? STEP_ENDED
			       : recording     ? STEP_RECORD
					       : STEP_RELEASE,
			       now_us);
	} else if (status == PLATFORM_NOT_FOUND && !recording &&
		   claim->maybe_created &&
		   claim->create_checks < CREATE_CHECKS_MAX) {
		claim->create_checks++;
		claim_set_step(claim, claim->step,
			       now_us + CREATE_CHECK_INTERVAL_US);
	} else if (status == PLATFORM_UNKNOWN || status == PLATFORM_BUDGET ||
		   status == PLATFORM_UNSENT) {
		claim_set_step(claim, claim->step, now_us + CLAIM_RETRY_US);
	} else {
		claim_set_step(claim, STEP_ENDED, now_us);
	}
}

void claim_platform_done(claim_t *claim, platform_status_t status,
			 const platform_object_t *object, int64_t now_us)
{
	if (!claim->waiting)
		return;
	claim->waiting = false;
	switch (claim->step) {
	case STEP_CREATE:
		handle_create(claim, status, object, now_us);
		break;
	case STEP_READ:
		handle_read(claim, status, object, now_us);
		break;
	case STEP_RECORD:
	case STEP_RELEASE:
		handle_write(claim, status, now_us);
		break;
	case STEP_RECORD_READ:
	case STEP_RELEASE_READ:
		handle_check(claim, status, object, now_us);
		break;
	case STEP_SEND:
	case STEP_SENT:
	case STEP_ENDED:
		break;
	}
	if (claim->abandoned && claim_is_acquiring(claim))
		claim_abandon(claim, now_us);
}

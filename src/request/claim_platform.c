#include "request/claim_state.h"

#include <string.h>

/* A lost create may still take effect; it is looked for this often, with
 * LATE_US in between. */
#define LATE_CHECKS 3
#define LATE_US US_PER_S

static bool is_ours(const claim_t *claim, const claim_record_t *record)
{
	return stream_id_equal(&record->claimant, &claim->conf.claimant);
}

static void own(claim_t *claim, int64_t version, int64_t now_us)
{
	claim->version = version;
	claim_go(claim, STEP_SEND, now_us);
	if (claim->abandoned)
		claim_go(claim, STEP_RELEASE, now_us);
}

/* Answers for a claim that somebody else made. */
static void answer_other(claim_t *claim, claim_record_t *other, int64_t now_us)
{
	bool same = !strcmp(other->account, claim->conf.account) &&
		    !strcmp(other->key, claim->conf.key) &&
		    !memcmp(other->request_hash, claim->conf.request_hash,
			    sizeof(other->request_hash));

	claim_go(claim, STEP_OVER, now_us);
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

static void read_back(claim_t *claim, const platform_object_t *object,
		      int64_t now_us)
{
	claim_record_t record;

	if (!object || !claim_record_decode(object->spec, &record, NULL)) {
		claim_refuse_unknown(claim);
		claim_go(claim, STEP_OVER, now_us);
		return;
	}
	if (is_ours(claim, &record) && record.state == CLAIM_OPEN)
		own(claim, object->version, now_us);
	else
		answer_other(claim, &record, now_us);
	claim_record_clear(&record);
}

/*
 * The caller has its answer at once, because nothing was sent and the platform
 * may be silent for long; what was created is looked up and released later.
 */
static void lost_create(claim_t *claim, int64_t now_us)
{
	claim->maybe_created = true;
	claim_refuse_unsettled(claim, REFUSAL_PLATFORM_UNAVAILABLE, now_us);
}

static void created(claim_t *claim, platform_status_t status,
		    const platform_object_t *object, int64_t now_us)
{
	switch (status) {
	case PLATFORM_OK:
		if (object) {
			own(claim, object->version, now_us);
			return;
		}
		lost_create(claim, now_us);
		break;
	case PLATFORM_EXISTS:
		claim->other_seen = true;
		claim_go(claim, STEP_READ, now_us);
		break;
	case PLATFORM_UNKNOWN:
		lost_create(claim, now_us);
		break;
	case PLATFORM_NOT_FOUND:
	case PLATFORM_CONFLICT:
	case PLATFORM_REFUSED:
	case PLATFORM_BUDGET:
	case PLATFORM_UNSENT:
		claim_refuse_unsettled(claim, REFUSAL_PLATFORM_UNAVAILABLE,
				       now_us);
		break;
	}
}

static void was_read(claim_t *claim, platform_status_t status,
		     const platform_object_t *object, int64_t now_us)
{
	switch (status) {
	case PLATFORM_OK:
		read_back(claim, object, now_us);
		break;
	case PLATFORM_NOT_FOUND:
		claim->other_seen = false;
		claim_go(claim, STEP_CREATE, now_us);
		break;
	case PLATFORM_UNKNOWN:
	case PLATFORM_BUDGET:
	case PLATFORM_UNSENT:
		claim_go(claim, STEP_READ, now_us + CLAIM_RETRY_US);
		break;
	case PLATFORM_EXISTS:
	case PLATFORM_CONFLICT:
	case PLATFORM_REFUSED:
		claim_refuse_unsettled(claim, REFUSAL_PLATFORM_UNAVAILABLE,
				       now_us);
		break;
	}
}

/* Result of the put that records the end, or of the delete that releases. */
static void changed(claim_t *claim, platform_status_t status, int64_t now_us)
{
	bool recording = claim->step == STEP_RECORD;

	switch (status) {
	case PLATFORM_OK:
	case PLATFORM_EXISTS:
		claim_go(claim, STEP_OVER, now_us);
		break;
	case PLATFORM_REFUSED:
		if (recording && claim->record.answer &&
		    !claim->record.omitted) {
			claim->record.omitted = true;
			claim_go(claim, STEP_RECORD, now_us);
			break;
		}
		claim_go(claim, STEP_OVER, now_us);
		break;
	case PLATFORM_NOT_FOUND:
		claim_go(claim, STEP_OVER, now_us);
		break;
	case PLATFORM_CONFLICT:
	case PLATFORM_UNKNOWN:
		claim_go(claim,
			 recording ? STEP_RECORD_READ : STEP_RELEASE_READ,
			 now_us);
		break;
	case PLATFORM_BUDGET:
	case PLATFORM_UNSENT:
		claim_go(claim, claim->step, now_us + CLAIM_RETRY_US);
		break;
	}
}

/* Result of the read that settles a put, a delete or a lost create. */
static void checked(claim_t *claim, platform_status_t status,
		    const platform_object_t *object, int64_t now_us)
{
	bool recording = claim->step == STEP_RECORD_READ;
	claim_record_t record;
	bool change;

	if (status == PLATFORM_OK && object &&
	    claim_record_decode(object->spec, &record, NULL)) {
		change = is_ours(claim, &record) && record.state == CLAIM_OPEN;
		claim_record_clear(&record);
		claim->version = object->version;
		claim_go(claim,
			 !change     ? STEP_OVER
			 : recording ? STEP_RECORD
				     : STEP_RELEASE,
			 now_us);
	} else if (status == PLATFORM_NOT_FOUND && !recording &&
		   claim->maybe_created && claim->late_checks < LATE_CHECKS) {
		claim->late_checks++;
		claim_go(claim, claim->step, now_us + LATE_US);
	} else if (status == PLATFORM_UNKNOWN || status == PLATFORM_BUDGET ||
		   status == PLATFORM_UNSENT) {
		claim_go(claim, claim->step, now_us + CLAIM_RETRY_US);
	} else {
		claim_go(claim, STEP_OVER, now_us);
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
		created(claim, status, object, now_us);
		break;
	case STEP_READ:
		was_read(claim, status, object, now_us);
		break;
	case STEP_RECORD:
	case STEP_RELEASE:
		changed(claim, status, now_us);
		break;
	case STEP_RECORD_READ:
	case STEP_RELEASE_READ:
		checked(claim, status, object, now_us);
		break;
	case STEP_SEND:
	case STEP_SENT:
	case STEP_OVER:
		break;
	}
	if (claim->abandoned && claim_is_settling(claim))
		claim_abandon(claim, now_us);
}

#include "request/claim_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

/*
 * Time to learn which attempt owns the claim before the caller is refused. The
 * platform answers in milliseconds; a longer limit would only keep the caller
 * waiting during an outage.
 */
#define ACQUIRE_TIMEOUT_US (2 * US_PER_S)

/* Time limit for recording or releasing a claim in the background. */
#define BACKGROUND_US (60 * US_PER_S)

claim_t *claim_create(const claim_conf_t *conf, int64_t now_us)
{
	claim_t *claim = mem_calloc(1, sizeof(*claim));
	claim_record_t *record = &claim->record;

	claim->conf = *conf;
	claim->start_us = now_us;
	claim_name(conf->account, conf->key, claim->name);
	mem_strlcpy(record->account, conf->account, sizeof(record->account));
	mem_strlcpy(record->key, conf->key, sizeof(record->key));
	record->claimant = conf->claimant;
	memcpy(record->request_hash, conf->request_hash,
	       sizeof(record->request_hash));
	record->created_us = conf->wall_us;
	record->deadline_us = conf->wall_us + conf->deadline_us - now_us;
	return claim;
}

void claim_destroy(claim_t *claim)
{
	if (!claim)
		return;
	claim_record_clear(&claim->record);
	free(claim);
}

const char *claim_object_name(const claim_t *claim)
{
	return claim->name;
}

int64_t claim_wall_us(const claim_t *claim, int64_t now_us)
{
	return claim->conf.wall_us + now_us - claim->start_us;
}

void claim_refuse(claim_t *claim, refusal_t refusal, outcome_t outcome,
		  int32_t retry_after_s, const char *message)
{
	refuse_msg_t *refuse = &claim->reply.refuse;

	if (claim->replied)
		return;
	claim->replied = true;
	claim->reply_pending = true;
	claim->reply.type = CLAIM_ACTION_REFUSE;
	refuse->refusal = refusal;
	refuse->outcome = outcome;
	refuse->retry_after_s = retry_after_s;
	mem_strlcpy(refuse->message, message, sizeof(refuse->message));
}

void claim_refuse_unknown(claim_t *claim)
{
	claim_refuse(claim, REFUSAL_OUTCOME_NOT_KNOWN, OUTCOME_UNKNOWN, 0, "");
}

void claim_answer(claim_t *claim)
{
	if (claim->replied)
		return;
	claim->replied = true;
	claim->reply_pending = true;
	claim->reply.type = CLAIM_ACTION_ANSWER;
	claim->reply.record = &claim->record;
}

void claim_set_step(claim_t *claim, claim_step_t step, int64_t at_us)
{
	claim->step = step;
	claim->not_before_us = at_us;
}

void claim_abandon(claim_t *claim, int64_t now_us)
{
	claim->abandoned = true;
	claim->background_until_us = now_us + BACKGROUND_US;
	if (claim->step == STEP_SEND)
		claim_set_step(claim, STEP_RELEASE, now_us);
	else if ((claim->step == STEP_CREATE || claim->step == STEP_READ) &&
		 !claim->waiting)
		claim_set_step(claim,
			       claim->maybe_created ? STEP_RELEASE_READ
						    : STEP_ENDED,
			       now_us);
}

void claim_refuse_unsent(claim_t *claim, refusal_t refusal, int64_t now_us)
{
	if (claim->name_taken)
		claim_refuse_unknown(claim);
	else
		claim_refuse(claim, refusal, OUTCOME_NOT_RUN,
			     CLAIM_RETRY_AFTER_S, "");
	claim_abandon(claim, now_us);
}

bool claim_is_acquiring(const claim_t *claim)
{
	return claim->step == STEP_CREATE || claim->step == STEP_READ;
}

void claim_unsent(claim_t *claim, refusal_t refusal, int32_t retry_after_s,
		  int64_t now_us)
{
	if (claim->step != STEP_SENT)
		return;
	claim_refuse(claim, refusal, OUTCOME_NOT_RUN, retry_after_s, "");
	claim->background_until_us = now_us + BACKGROUND_US;
	claim_set_step(claim, STEP_RELEASE, now_us);
}

/* Copies the answer of a complete call to the record and to the caller. */
static void complete(claim_t *claim, const finished_msg_t *finished)
{
	claim_record_t *record = &claim->record;

	record->state = CLAIM_DONE;
	record->status = finished->status;
	record->omitted = finished->answer_size_bytes > CLAIM_ANSWER_MAX_BYTES;
	mem_strlcpy(record->content_type, finished->content_type,
		    sizeof(record->content_type));
	record->answer_size_bytes = finished->answer_size_bytes;
	if (!record->omitted)
		record->answer =
			mem_copy(finished->answer ? finished->answer : "",
				 finished->answer_size_bytes);
	claim_answer(claim);
}

void claim_finished(claim_t *claim, const finished_msg_t *finished,
		    int64_t now_us)
{
	if (claim->step != STEP_SENT)
		return;
	switch (finished->end) {
	case ATTEMPT_CONNECT_FAILED:
	case ATTEMPT_REFUSED:
		claim_unsent(claim, REFUSAL_SERVER_FAILED, CLAIM_RETRY_AFTER_S,
			     now_us);
		return;
	case ATTEMPT_COMPLETE:
		complete(claim, finished);
		break;
	case ATTEMPT_BROKEN:
	case ATTEMPT_TIMED_OUT:
	case ATTEMPT_DEADLINE:
	case ATTEMPT_CALLER_GONE:
		claim->record.state = CLAIM_UNKNOWN;
		claim_refuse_unknown(claim);
		break;
	}
	claim->record.ended_us = claim_wall_us(claim, now_us);
	claim->background_until_us = now_us + BACKGROUND_US;
	claim_set_step(claim, STEP_RECORD, now_us);
}

void claim_caller_gone(claim_t *claim, int64_t now_us)
{
	claim->replied = true;
	claim->reply_pending = false;
	if (claim_is_acquiring(claim) || claim->step == STEP_SEND)
		claim_abandon(claim, now_us);
}

/* Refuses the caller or ends the claim when a time limit is exceeded. */
static void check_timeouts(claim_t *claim, int64_t now_us)
{
	bool unsent = claim_is_acquiring(claim) || claim->step == STEP_SEND;

	if (unsent && !claim->abandoned && now_us >= claim->conf.deadline_us)
		claim_refuse_unsent(claim, REFUSAL_DEADLINE, now_us);
	else if (claim_is_acquiring(claim) && !claim->abandoned &&
		 now_us - claim->start_us >= ACQUIRE_TIMEOUT_US)
		claim_refuse_unsent(claim, REFUSAL_PLATFORM_UNAVAILABLE,
				    now_us);
	else if (claim->background_until_us &&
		 now_us >= claim->background_until_us && !claim->waiting)
		claim_set_step(claim, STEP_ENDED, now_us);
}

static bool take_reply(claim_t *claim, claim_action_t *action)
{
	if (!claim->reply_pending)
		return false;
	claim->reply_pending = false;
	*action = claim->reply;
	return true;
}

bool claim_next(claim_t *claim, claim_action_t *action, int64_t now_us)
{
	memset(action, 0, sizeof(*action));
	check_timeouts(claim, now_us);
	if (take_reply(claim, action))
		return true;
	if (claim->waiting || now_us < claim->not_before_us)
		return false;
	action->version = claim->version;
	switch (claim->step) {
	case STEP_CREATE:
		action->type = CLAIM_ACTION_CREATE;
		action->spec = claim_record_encode(&claim->record);
		break;
	case STEP_READ:
	case STEP_RECORD_READ:
	case STEP_RELEASE_READ:
		action->type = CLAIM_ACTION_READ;
		break;
	case STEP_SEND:
		action->type = CLAIM_ACTION_SEND;
		claim->step = STEP_SENT;
		return true;
	case STEP_SENT:
		return false;
	case STEP_RECORD:
		action->type = CLAIM_ACTION_PUT;
		action->spec = claim_record_encode(&claim->record);
		break;
	case STEP_RELEASE:
		action->type = CLAIM_ACTION_DELETE;
		break;
	case STEP_ENDED:
		action->type = CLAIM_ACTION_END;
		return true;
	}
	claim->waiting = true;
	return true;
}

bool claim_removable(const claim_record_t *record, int64_t wall_us)
{
	int64_t end_us = record->state == CLAIM_OPEN
				 ? record->deadline_us + CLAIM_SKEW_US
				 : record->ended_us;

	return wall_us - end_us >= CLAIM_RETENTION_US;
}

bool claim_admit(int64_t claims, int64_t created, int32_t nodes, int64_t max)
{
	return claims + created * nodes < max;
}

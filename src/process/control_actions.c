#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/control.h"
#include "request/claim.h"
#include "request/claim_count.h"

/*
 * Retry-After of refusals while the platform is unavailable or ACTIONS_MAX
 * actions are open. In an outage the VM list is tried once a second, which
 * shows when the platform answers again.
 */
enum { OUTAGE_RETRY_AFTER_S = 2 };

/*
 * Retry-After of refusals while the platform holds too many claims. Claims
 * become removable once an hour at best; a sweep starts every 10 min.
 */
enum { CLAIMS_RETRY_AFTER_S = 600 };

/*
 * Upper bound of the open actions of a node. The count includes actions whose
 * claims are released or recorded in the background for up to 60 s: 68
 * requests/s for 60 s are 4080.
 */
enum { ACTIONS_MAX = 4096 };

/** A call that runs at most once; kept until its claim is settled. */
typedef struct {
	UT_hash_handle hh;
	control_t *control;
	uint64_t request;
	submit_msg_t submit;
	claim_t *claim;
	bool submitted; /**< the dispatcher has the request */
	/** The request task has the request and may have sent it. */
	bool dispatched;
} action_t;

struct control_actions {
	control_t *control;
	action_t *actions;
	claim_count_t count;
	/** The last action was refused because of the bound on claims. */
	bool claims_full;
};

control_actions_t *control_actions_create(control_t *control)
{
	control_actions_t *actions = mem_calloc(1, sizeof(*actions));

	actions->control = control;
	return actions;
}

static void free_action(action_t *action)
{
	claim_destroy(action->claim);
	free(action);
}

void control_actions_destroy(control_actions_t *actions)
{
	action_t *action, *next;

	if (!actions)
		return;
	action = actions->actions;
	HASH_CLEAR(hh, actions->actions);
	for (; action; action = next) {
		next = action->hh.next;
		free_action(action);
	}
	free(actions);
}

int32_t control_actions_count(const control_actions_t *actions)
{
	return (int32_t)HASH_COUNT(actions->actions);
}

static action_t *find_action(const control_actions_t *actions, uint64_t request)
{
	action_t *action;

	HASH_FIND(hh, actions->actions, &request, sizeof(request), action);
	return action;
}

static void send_refusal(const action_t *action, const refuse_msg_t *refuse)
{
	task_msg_t *message = task_msg_create(TASK_MSG_REFUSE, action->request);

	message->as.refuse = *refuse;
	control_send(action->control, action->submit.task, message);
}

static void refuse_new(control_t *control, uint64_t request,
		       const submit_msg_t *submit, refusal_t refusal,
		       int32_t retry_after_s)
{
	task_msg_t *message = task_msg_create(TASK_MSG_REFUSE, request);

	message->as.refuse.refusal = refusal;
	message->as.refuse.outcome = OUTCOME_NOT_RUN;
	message->as.refuse.retry_after_s = retry_after_s;
	control_send(control, submit->task, message);
}

/*
 * Logs when the claims of the fleet reach their bound.
 * @return true if the claims are below the bound
 */
static bool admit_claim(control_actions_t *actions)
{
	control_t *control = actions->control;
	int32_t nodes = control_members_vm_count(control->members);
	int64_t max = control->settings.platform_claims_max;
	bool full = !claim_count_admit(&actions->count,
				       HASH_COUNT(actions->actions), nodes, max,
				       clock_monotonic_us());

	if (full)
		metrics_add(METRIC_CLAIMS_REFUSED, 1);
	if (full && !actions->claims_full)
		log_event(EVENT_CLAIMS_FULL, "max=%" PRId64 " nodes=%" PRId32,
			  max, nodes);
	actions->claims_full = full;
	return !full;
}

void control_actions_swept(control_actions_t *actions, int64_t claims)
{
	claim_count_swept(&actions->count, claims, clock_monotonic_us());
}

void control_actions_submit(control_actions_t *actions, uint64_t request,
			    const submit_msg_t *submit)
{
	control_t *control = actions->control;
	claim_conf_t conf = {
		.claimant = { .incarnation = control->incarnation,
			      .request = request,
			      .attempt = 1 },
		.deadline_us = submit->deadline_us,
		.wall_us = clock_wall_us(),
	};
	action_t *action;

	if (!platform_available(control->platform)) {
		refuse_new(control, request, submit,
			   REFUSAL_PLATFORM_UNAVAILABLE, OUTAGE_RETRY_AFTER_S);
		return;
	}
	if (HASH_COUNT(actions->actions) >= ACTIONS_MAX) {
		metrics_add(METRIC_CLAIMS_REFUSED, 1);
		refuse_new(control, request, submit, REFUSAL_OVERLOADED,
			   OUTAGE_RETRY_AFTER_S);
		return;
	}
	if (!admit_claim(actions)) {
		refuse_new(control, request, submit, REFUSAL_OVERLOADED,
			   CLAIMS_RETRY_AFTER_S);
		return;
	}
	mem_strlcpy(conf.claimant.vm_id, control->settings.vm_id,
		    sizeof(conf.claimant.vm_id));
	mem_strlcpy(conf.account, submit->account, sizeof(conf.account));
	mem_strlcpy(conf.key, submit->key, sizeof(conf.key));
	memcpy(conf.request_hash, submit->request_hash,
	       sizeof(conf.request_hash));
	action = mem_calloc(1, sizeof(*action));
	action->control = control;
	action->request = request;
	action->submit = *submit;
	action->submit.blocks = NULL;
	action->submit.block_count = 0;
	action->claim = claim_create(&conf, clock_monotonic_us());
	HASH_ADD(hh, actions->actions, request, sizeof(request), action);
}

static void on_platform(void *context, platform_status_t status,
			const platform_object_t *object)
{
	const action_t *action = context;

	claim_platform_done(action->claim, status, object,
			    clock_monotonic_us());
}

static void send_answer(const action_t *action, const claim_record_t *record)
{
	task_msg_t *message = task_msg_create(TASK_MSG_ANSWER, action->request);
	answer_msg_t *reply = &message->as.answer;

	reply->status = record->status;
	reply->outcome = OUTCOME_COMPLETE;
	if (record->answer) {
		reply->answer =
			mem_copy(record->answer, record->answer_size_bytes);
		reply->answer_size_bytes = record->answer_size_bytes;
	}
	mem_strlcpy(reply->content_type, record->content_type,
		    sizeof(reply->content_type));
	control_send(action->control, action->submit.task, message);
}

/*
 * Carries out one step that the claim requests.
 * @return false if the step was the last and the action can be freed
 */
static bool run_step(action_t *action, const claim_action_t *step,
		     int64_t now_us)
{
	platform_t *platform = action->control->platform;
	const char *name = claim_object_name(action->claim);

	switch (step->type) {
	case CLAIM_ACTION_CREATE:
		platform_create_object(platform, PLATFORM_CLAIMS, name,
				       step->spec, on_platform, action);
		break;
	case CLAIM_ACTION_READ:
		platform_get(platform, PLATFORM_CLAIMS, name, on_platform,
			     action);
		break;
	case CLAIM_ACTION_PUT:
		platform_put(platform, PLATFORM_CLAIMS, name, step->version,
			     step->spec, on_platform, action);
		break;
	case CLAIM_ACTION_DELETE:
		platform_delete(platform, PLATFORM_CLAIMS, name, step->version,
				on_platform, action);
		break;
	case CLAIM_ACTION_SEND:
		action->submitted = true;
		claim_count_add(&action->control->actions->count, now_us);
		dispatch_submit(action->control->dispatch, action->request,
				&action->submit, now_us);
		break;
	case CLAIM_ACTION_ANSWER:
		send_answer(action, step->record);
		break;
	case CLAIM_ACTION_REFUSE:
		send_refusal(action, &step->refuse);
		break;
	case CLAIM_ACTION_END:
		return false;
	}
	return true;
}

void control_actions_pump(control_actions_t *actions)
{
	int64_t now_us = clock_monotonic_us();
	action_t *action, *next;
	claim_action_t step;

	for (action = actions->actions; action; action = next) {
		bool open = true;

		next = action->hh.next;
		while (open && claim_next(action->claim, &step, now_us))
			open = run_step(action, &step, now_us);
		if (open)
			continue;
		HASH_DEL(actions->actions, action);
		free_action(action);
	}
}

bool control_actions_dispatched(control_actions_t *actions, uint64_t request)
{
	action_t *action = find_action(actions, request);

	if (action)
		action->dispatched = true;
	return action;
}

bool control_actions_refused(control_actions_t *actions, uint64_t request,
			     const refuse_msg_t *message)
{
	const finished_msg_t deadline = { .attempt = 1,
					  .end = ATTEMPT_DEADLINE };
	action_t *action = find_action(actions, request);
	int64_t now_us = clock_monotonic_us();

	if (!action)
		return false;
	/*
	 * The request task may have sent a dispatched call, whatever happened
	 * afterwards: its outcome is not known.
	 */
	if (action->dispatched)
		claim_finished(action->claim, &deadline, now_us);
	else
		claim_unsent(action->claim, message->refusal,
			     message->retry_after_s, now_us);
	return true;
}

void control_actions_finished(control_actions_t *actions, uint64_t request,
			      const finished_msg_t *message)
{
	action_t *action = find_action(actions, request);
	int64_t now_us = clock_monotonic_us();
	finished_msg_t finished = *message;

	if (!action)
		return;
	/*
	 * A complete attempt without an answer text had an answer that was too
	 * long to collect. A size above CLAIM_ANSWER_MAX_BYTES marks the answer
	 * as too long to record.
	 */
	if (finished.end == ATTEMPT_COMPLETE && !finished.answer)
		finished.answer_size_bytes = CLAIM_ANSWER_MAX_BYTES + 1;
	if (finished.attempt) {
		claim_finished(action->claim, &finished, now_us);
		return;
	}
	/* Attempt 0: the request task gave up before it sent the call. */
	claim_caller_gone(action->claim, now_us);
	claim_unsent(action->claim, REFUSAL_DEADLINE, 0, now_us);
}

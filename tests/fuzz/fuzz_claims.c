/**
 * Fuzzes actions with one idempotency key on several nodes, against a platform
 * that loses answers and delays writes. Each pair of input bytes is one step.
 * Rules: the call runs at most once, a call that is refused as not-run did not
 * run, every caller gets one answer, and a repeated call gets the recorded
 * answer. A caller whose create lost its answer is refused at once, and the
 * claim is released unless the create takes effect after the last look-up.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request/claim.h"

enum { CALLS = 4, DELAYED_MAX = 16 };

/* Time limit for recording or releasing a claim in the background. */
#define BACKGROUND_US (60 * US_PER_S)
#define WALL_US (INT64_C(1800000000) * US_PER_S)

/** One call of the platform. */
typedef struct {
	claim_action_type_t type;
	int64_t version;
	json_t *spec;
	uint64_t request; /**< number of the request that made the call */
} platform_call_t;

/** One call of the service, made by one node. */
typedef struct {
	claim_t *claim; /**< NULL: no call is open */
	uint64_t request;
	int64_t replied_us; /**< time of the reply or of the disconnect */
	bool pending; /**< a platform call waits for its answer */
	platform_call_t platform_call;
	bool sending; /**< the call was sent and has not ended */
	int sends;
	bool ran;
	int replies;
	bool gone; /**< the caller disconnected */
	bool create_lost; /**< the answer to the call's create was lost: the
			     call must not be sent */
	bool ended;
} call_t;

/* State of the platform and of all nodes. */
static struct {
	int64_t now_us;
	int64_t version; /**< version of the claim's object; 0: no object */
	int64_t last_version; /**< last number given to a version or request */
	json_t *spec; /**< contents of the object */
	/** Writes whose answer was lost and that have had no effect yet. */
	platform_call_t delayed_writes[DELAYED_MAX];
	int delayed_count;
	int runs; /**< times that a server ran the call */
	bool may_stay_open; /**< a claim may stay open forever */
	call_t calls[CALLS];
} model;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Aborts and prints the rule if the rule is broken. */
static void check(bool rule, const char *name)
{
	if (rule)
		return;
	fprintf(stderr, "rule broken: %s\n", name);
	abort();
}

/* Carries out a platform call. */
static platform_status_t execute_call(const platform_call_t *call)
{
	if (call->type == CLAIM_ACTION_READ)
		return model.version ? PLATFORM_OK : PLATFORM_NOT_FOUND;
	if (call->type == CLAIM_ACTION_CREATE && model.version)
		return PLATFORM_EXISTS;
	if (call->type != CLAIM_ACTION_CREATE && !model.version)
		return PLATFORM_NOT_FOUND;
	if (call->type != CLAIM_ACTION_CREATE && call->version != model.version)
		return PLATFORM_CONFLICT;
	json_decref(model.spec);
	model.spec = json_incref(call->spec);
	model.version = ++model.last_version;
	if (call->type == CLAIM_ACTION_DELETE)
		model.version = 0;
	return PLATFORM_OK;
}

static void start_call(int number, uint8_t value)
{
	call_t *call = &model.calls[number];
	claim_conf_t conf = { .claimant = { .vm_id = "a", .attempt = 1 },
			      .account = "acme",
			      .key = "k",
			      .deadline_us = model.now_us + 10 * US_PER_S,
			      .wall_us = WALL_US + model.now_us };

	if (call->claim)
		return;
	/* The last call of this slot is over: the caller makes a new one. */
	memset(call, 0, sizeof(*call));
	conf.claimant.request = (uint64_t)++model.last_version;
	conf.request_hash[0] = value % 8 == 7;
	call->request = conf.claimant.request;
	call->claim = claim_create(&conf, model.now_us);
}

static void end_call(call_t *call)
{
	claim_destroy(call->claim);
	json_decref(call->platform_call.spec);
	call->platform_call.spec = NULL;
	call->claim = NULL;
	call->pending = call->sending = false;
}

/* Carries out the actions that are due and checks them. */
static void run_actions(call_t *call)
{
	claim_action_t action;

	while (call->claim && claim_next(call->claim, &action, model.now_us)) {
		switch (action.type) {
		case CLAIM_ACTION_SEND:
			check(!call->sends++, "a call is sent at most once");
			check(!call->create_lost,
			      "a call is not sent after a lost create");
			call->sending = true;
			break;
		case CLAIM_ACTION_ANSWER:
			call->replied_us = model.now_us;
			check(!call->replies++, "one reply");
			check(model.runs == 1,
			      "only a call that ran is answered");
			check(!strcmp(action.record->answer, "ran"),
			      "the answer is the recorded one");
			break;
		case CLAIM_ACTION_REFUSE:
			call->replied_us = model.now_us;
			check(!call->replies++, "one reply");
			check(action.refuse.outcome != OUTCOME_NOT_RUN ||
				      !call->ran,
			      "a call refused as not-run did not run");
			check(action.refuse.outcome != OUTCOME_NOT_RUN ||
				      !call->sending,
			      "a call refused as not-run does not run later");
			break;
		case CLAIM_ACTION_END:
			check(call->replies == 1 || call->gone,
			      "a caller gets a reply");
			if (model.now_us - call->replied_us >= BACKGROUND_US)
				model.may_stay_open = true;
			end_call(call);
			break;
		default:
			check(!call->pending, "one platform call at a time");
			call->pending = true;
			call->platform_call =
				(platform_call_t){ action.type, action.version,
						   action.spec, call->request };
		}
	}
}

/* Ends the platform call with @p status. */
static void end_platform_call(call_t *call, platform_status_t status)
{
	platform_object_t object = { .version = model.version,
				     .spec = model.spec };

	bool lost = call->platform_call.type == CLAIM_ACTION_CREATE &&
		    status == PLATFORM_UNKNOWN;

	json_decref(call->platform_call.spec);
	call->platform_call.spec = NULL;
	call->pending = false;
	claim_platform_done(call->claim, status, &object, model.now_us);
	run_actions(call);
	if (!lost)
		return;
	check(call->replies == 1 || call->gone,
	      "a lost create is answered at once");
	check(!call->sends, "a call is not sent before its create is answered");
	call->create_lost = true;
}

/* Loses the answer of the platform call, whose write may take effect
 * later. */
static void lose_answer(call_t *call)
{
	if (call->platform_call.type != CLAIM_ACTION_READ &&
	    model.delayed_count < DELAYED_MAX) {
		json_incref(call->platform_call.spec);
		model.delayed_writes[model.delayed_count++] =
			call->platform_call;
	}
	end_platform_call(call, PLATFORM_UNKNOWN);
}

/* @return true if the request's claim is still open in its node. */
static bool claim_is_open(uint64_t request)
{
	int i;

	for (i = 0; i < CALLS; i++)
		if (model.calls[i].claim && model.calls[i].request == request)
			return true;
	return false;
}

/* Lets a write whose answer was lost take effect. */
static void apply_delayed_write(int index)
{
	if (index >= model.delayed_count)
		return;
	if (execute_call(&model.delayed_writes[index]) == PLATFORM_OK &&
	    model.delayed_writes[index].type == CLAIM_ACTION_CREATE &&
	    !claim_is_open(model.delayed_writes[index].request))
		model.may_stay_open = true;
	json_decref(model.delayed_writes[index].spec);
	model.delayed_writes[index] =
		model.delayed_writes[--model.delayed_count];
}

static void answer_platform_call(call_t *call, uint8_t value)
{
	if (!call->pending)
		return;
	switch (value % 8) {
	case 0:
		end_platform_call(call, PLATFORM_BUDGET);
		break;
	case 1:
		end_platform_call(call, PLATFORM_UNSENT);
		break;
	case 2:
		lose_answer(call); /* the write may take effect later */
		break;
	case 3:
		execute_call(&call->platform_call);
		end_platform_call(call, PLATFORM_UNKNOWN);
		break;
	default:
		end_platform_call(call, execute_call(&call->platform_call));
	}
}

static void end_attempt(call_t *call, uint8_t value)
{
	finished_msg_t finished = { .status = 200,
				    .answer = "ran",
				    .answer_size_bytes = 3 };
	static const attempt_end_t ends[] = {
		ATTEMPT_COMPLETE, ATTEMPT_CONNECT_FAILED, ATTEMPT_REFUSED,
		ATTEMPT_BROKEN,	  ATTEMPT_TIMED_OUT,	  ATTEMPT_DEADLINE
	};

	if (!call->sending)
		return;
	finished.end = ends[value % 6];
	if (finished.end == ATTEMPT_COMPLETE || value & 64) {
		if (finished.end != ATTEMPT_CONNECT_FAILED &&
		    finished.end != ATTEMPT_REFUSED) {
			call->ran = true;
			check(++model.runs == 1, "at most one run");
		}
	}
	call->sending = false;
	claim_finished(call->claim, &finished, model.now_us);
	run_actions(call);
}

static void apply_step(uint8_t code, uint8_t value)
{
	int number = code / 16 % CALLS;
	call_t *call = &model.calls[number];

	switch (code % 8) {
	case 0:
		start_call(number, value);
		break;
	case 1:
	case 2:
		answer_platform_call(call, value);
		return;
	case 3:
		end_attempt(call, value);
		return;
	case 4:
		model.now_us += value * (code & 8 ? 100 : 1) * US_PER_MS;
		break;
	case 5:
		apply_delayed_write(value % DELAYED_MAX);
		return;
	case 6:
		if (call->claim && value & 1) {
			if (!call->replies && !call->gone)
				call->replied_us = model.now_us;
			call->gone = true;
			claim_caller_gone(call->claim, model.now_us);
		}
		break;
	case 7: /* the process dies; a call that was sent may run */
		if (!call->claim || value % 4)
			break;
		if (call->sending && value & 64)
			check(++model.runs == 1, "at most one run");
		model.may_stay_open = true;
		end_call(call);
		return;
	}
	run_actions(call);
}

/* Answers all platform calls from now on. Checks that every call ends and that
 * an abandoned claim is released. */
static void check_all_end(void)
{
	claim_record_t record;
	int i, round;

	for (round = 0; round < 1000; round++) {
		model.now_us += 100 * US_PER_MS;
		for (i = 0; i < CALLS; i++) {
			if (!model.calls[i].claim)
				continue;
			run_actions(&model.calls[i]);
			answer_platform_call(&model.calls[i], 7);
			end_attempt(&model.calls[i], 3);
		}
	}
	for (i = 0; i < CALLS; i++)
		check(!model.calls[i].claim,
		      "every call ends on a healthy platform");
	if (!model.version || model.may_stay_open)
		return;
	check(claim_record_decode(model.spec, &record, NULL),
	      "the object is a claim");
	check(record.state != CLAIM_OPEN, "an abandoned claim is released");
	claim_record_clear(&record);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t i;

	memset(&model, 0, sizeof(model));
	for (i = 0; i + 1 < size && i < 600; i += 2)
		apply_step(data[i], data[i + 1]);
	check_all_end();
	while (model.delayed_count)
		apply_delayed_write(0);
	json_decref(model.spec);
	return 0;
}

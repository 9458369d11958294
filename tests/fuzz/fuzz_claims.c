/**
 * Actions with one idempotency key on several nodes, against a platform that
 * loses answers and delays writes. Oracle: the call runs at most once, a
 * caller that is told not-run did not run, every caller gets one answer, and
 * a repeated answer is the recorded one. A lost create is answered at once,
 * and its claim is released unless it shows up after the last look-up.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "request/claim.h"

enum { CALLS = 4, LATE_MAX = 16 };

/* A claim is recorded or released in the background for this long. */
#define BACKGROUND_US (60 * US_PER_S)
#define WALL_US (INT64_C(1800000000) * US_PER_S)

typedef struct {
	claim_action_type_t type;
	int64_t version;
	json_t *spec;
	uint64_t request; /**< the claim that wrote it */
} write_t;

typedef struct {
	claim_t *claim;
	uint64_t request;
	int64_t replied_us; /**< or when the caller was gone */
	bool pending; /**< a platform call waits for its answer */
	write_t call;
	bool sending;
	int sends;
	bool ran;
	int replies;
	bool gone;
	bool given_up; /**< its create was lost: nothing may be sent */
	bool ended;
} call_t;

static struct {
	int64_t now_us;
	int64_t version; /**< of the object; 0: none */
	int64_t last_version;
	json_t *spec;
	write_t late[LATE_MAX]; /**< writes whose answer was lost */
	int late_count;
	int runs;
	bool may_stay; /**< a claim may stay open */
	call_t calls[CALLS];
} world;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check(bool rule, const char *name)
{
	if (rule)
		return;
	fprintf(stderr, "broken: %s\n", name);
	abort();
}

static platform_status_t write_object(const write_t *call)
{
	if (call->type == CLAIM_ACTION_READ)
		return world.version ? PLATFORM_OK : PLATFORM_NOT_FOUND;
	if (call->type == CLAIM_ACTION_CREATE && world.version)
		return PLATFORM_EXISTS;
	if (call->type != CLAIM_ACTION_CREATE && !world.version)
		return PLATFORM_NOT_FOUND;
	if (call->type != CLAIM_ACTION_CREATE && call->version != world.version)
		return PLATFORM_CONFLICT;
	json_decref(world.spec);
	world.spec = json_incref(call->spec);
	world.version = ++world.last_version;
	if (call->type == CLAIM_ACTION_DELETE)
		world.version = 0;
	return PLATFORM_OK;
}

static void start_call(int number, uint8_t value)
{
	call_t *call = &world.calls[number];
	claim_conf_t conf = { .claimant = { .vm_id = "a", .attempt = 1 },
			      .account = "acme",
			      .key = "k",
			      .deadline_us = world.now_us + 10 * US_PER_S,
			      .wall_us = WALL_US + world.now_us };

	if (call->claim)
		return;
	/* A call that is over is a new one from the caller's view. */
	memset(call, 0, sizeof(*call));
	conf.claimant.request = (uint64_t)++world.last_version;
	conf.request_hash[0] = value % 8 == 7;
	call->request = conf.claimant.request;
	call->claim = claim_create(&conf, world.now_us);
}

static void end_call(call_t *call)
{
	claim_destroy(call->claim);
	json_decref(call->call.spec);
	call->call.spec = NULL;
	call->claim = NULL;
	call->pending = call->sending = false;
}

static void take(call_t *call)
{
	claim_action_t action;

	while (call->claim && claim_next(call->claim, &action, world.now_us)) {
		switch (action.type) {
		case CLAIM_ACTION_SEND:
			check(!call->sends++, "one send per call");
			check(!call->given_up, "no send after a lost create");
			call->sending = true;
			break;
		case CLAIM_ACTION_ANSWER:
			call->replied_us = world.now_us;
			check(!call->replies++, "one reply");
			check(world.runs == 1, "answer of a call that ran");
			check(!strcmp(action.record->answer, "ran"),
			      "the recorded answer");
			break;
		case CLAIM_ACTION_REFUSE:
			call->replied_us = world.now_us;
			check(!call->replies++, "one reply");
			check(action.refuse.outcome != OUTCOME_NOT_RUN ||
				      !call->ran,
			      "not-run is true");
			check(action.refuse.outcome != OUTCOME_NOT_RUN ||
				      !call->sending,
			      "not-run stays true");
			break;
		case CLAIM_ACTION_END:
			check(call->replies == 1 || call->gone, "a reply");
			if (world.now_us - call->replied_us >= BACKGROUND_US)
				world.may_stay = true;
			end_call(call);
			break;
		default:
			check(!call->pending, "one platform call at a time");
			call->pending = true;
			call->call = (write_t){ action.type, action.version,
						action.spec, call->request };
		}
	}
}

static void give(call_t *call, platform_status_t status)
{
	platform_object_t object = { .version = world.version,
				     .spec = world.spec };

	bool lost = call->call.type == CLAIM_ACTION_CREATE &&
		    status == PLATFORM_UNKNOWN;

	json_decref(call->call.spec);
	call->call.spec = NULL;
	call->pending = false;
	claim_platform_done(call->claim, status, &object, world.now_us);
	take(call);
	if (!lost)
		return;
	check(call->replies == 1 || call->gone, "a reply to a lost create");
	check(!call->sends, "no send after a lost create");
	call->given_up = true;
}

static void lose(call_t *call)
{
	if (call->call.type != CLAIM_ACTION_READ &&
	    world.late_count < LATE_MAX) {
		json_incref(call->call.spec);
		world.late[world.late_count++] = call->call;
	}
	give(call, PLATFORM_UNKNOWN);
}

static bool is_at_work(uint64_t request)
{
	int i;

	for (i = 0; i < CALLS; i++)
		if (world.calls[i].claim && world.calls[i].request == request)
			return true;
	return false;
}

static void land_late(int index)
{
	if (index >= world.late_count)
		return;
	if (write_object(&world.late[index]) == PLATFORM_OK &&
	    world.late[index].type == CLAIM_ACTION_CREATE &&
	    !is_at_work(world.late[index].request))
		world.may_stay = true;
	json_decref(world.late[index].spec);
	world.late[index] = world.late[--world.late_count];
}

static void answer_platform(call_t *call, uint8_t value)
{
	if (!call->pending)
		return;
	switch (value % 8) {
	case 0:
		give(call, PLATFORM_BUDGET);
		break;
	case 1:
		give(call, PLATFORM_UNSENT);
		break;
	case 2:
		lose(call); /* without effect, or with a late one */
		break;
	case 3:
		write_object(&call->call);
		give(call, PLATFORM_UNKNOWN);
		break;
	default:
		give(call, write_object(&call->call));
	}
}

static void finish(call_t *call, uint8_t value)
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
			check(++world.runs == 1, "at most one run");
		}
	}
	call->sending = false;
	claim_finished(call->claim, &finished, world.now_us);
	take(call);
}

static void apply(uint8_t code, uint8_t value)
{
	int number = code / 16 % CALLS;
	call_t *call = &world.calls[number];

	switch (code % 8) {
	case 0:
		start_call(number, value);
		break;
	case 1:
	case 2:
		answer_platform(call, value);
		return;
	case 3:
		finish(call, value);
		return;
	case 4:
		world.now_us += value * (code & 8 ? 100 : 1) * US_PER_MS;
		break;
	case 5:
		land_late(value % LATE_MAX);
		return;
	case 6:
		if (call->claim && value & 1) {
			if (!call->replies && !call->gone)
				call->replied_us = world.now_us;
			call->gone = true;
			claim_caller_gone(call->claim, world.now_us);
		}
		break;
	case 7: /* the process dies; what it sent may run */
		if (!call->claim || value % 4)
			break;
		if (call->sending && value & 64)
			check(++world.runs == 1, "at most one run");
		world.may_stay = true;
		end_call(call);
		return;
	}
	take(call);
}

/* With a healthy platform every call comes to an end. */
static void check_quiet(void)
{
	claim_record_t record;
	int i, round;

	for (round = 0; round < 1000; round++) {
		world.now_us += 100 * US_PER_MS;
		for (i = 0; i < CALLS; i++) {
			if (!world.calls[i].claim)
				continue;
			take(&world.calls[i]);
			answer_platform(&world.calls[i], 7);
			finish(&world.calls[i], 3);
		}
	}
	for (i = 0; i < CALLS; i++)
		check(!world.calls[i].claim, "every call ends");
	if (!world.version || world.may_stay)
		return;
	check(claim_record_decode(world.spec, &record, NULL), "a claim");
	check(record.state != CLAIM_OPEN, "a lost claim is released");
	claim_record_clear(&record);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t i;

	memset(&world, 0, sizeof(world));
	for (i = 0; i + 1 < size && i < 600; i += 2)
		apply(data[i], data[i + 1]);
	check_quiet();
	while (world.late_count)
		land_late(0);
	json_decref(world.spec);
	return 0;
}

/**
 * Tests of actions: the state machine of a claim after each result of the
 * platform and of the server, also when their answers are lost.
 */
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "cases.h"
#include "request/claim.h"
#include "request/claim_count.h"

#define WALL_US (INT64_C(1800000000) * US_PER_S)
#define DEADLINE_US (60 * US_PER_S)

/*
 * A script is a sequence of expected actions and of inputs, one character each;
 * spaces are ignored.
 * Expected actions: C create, R read, P put, D delete, S send, A answer,
 * F refuse, E end, - no action is due.
 * Results of the platform: o ok, x exists, u unknown, n not found, b budget,
 * s unsent, c conflict, r refused.
 * Objects that a read returns: m own open claim, M own ended claim; claims of
 * another attempt: d done, i in progress, k of another request, z unknown,
 * l open after its deadline; w malformed object.
 * Ends of the call: 1 complete, 2 connect failed, 3 refused, 4 broken,
 * 5 not handed to a server.
 * Other inputs: g the caller disconnects, t 0.1 s pass, T the deadline passes.
 */
static const struct {
	const char *name;
	const char *script;
	refusal_t refusal;
	outcome_t outcome;
} cases[] = {
	{ "plain call", "CoS1AP o E", 0, OUTCOME_COMPLETE },
	{ "lost create: refused before the read", "CuFRmDoE",
	  REFUSAL_PLATFORM_UNAVAILABLE, OUTCOME_NOT_RUN },
	{ "lost create that had no effect",
	  "CuFRn-ttttttttttRn-ttttttttttRn-ttttttttttRnE",
	  REFUSAL_PLATFORM_UNAVAILABLE, OUTCOME_NOT_RUN },
	{ "lost create that takes effect after the read",
	  "CuFRn-ttttttttttRmDoE", REFUSAL_PLATFORM_UNAVAILABLE,
	  OUTCOME_NOT_RUN },
	{ "lost create while another node claims: not released", "CuFRdE",
	  REFUSAL_PLATFORM_UNAVAILABLE, OUTCOME_NOT_RUN },
	{ "lost create while another node's call runs: not released", "CuFRiE",
	  REFUSAL_PLATFORM_UNAVAILABLE, OUTCOME_NOT_RUN },
	{ "create that is never answered", "C-ttttttttttttttttttttFoDoE",
	  REFUSAL_PLATFORM_UNAVAILABLE, OUTCOME_NOT_RUN },
	{ "repeat of a finished call", "CxRdAE", 0, OUTCOME_COMPLETE },
	{ "repeat of a running call", "CxRiFE", REFUSAL_IN_PROGRESS,
	  OUTCOME_UNKNOWN },
	{ "repeat of a call whose node died", "CxRlFE",
	  REFUSAL_OUTCOME_NOT_KNOWN, OUTCOME_UNKNOWN },
	{ "repeat of a call with unknown outcome", "CxRzFE",
	  REFUSAL_OUTCOME_NOT_KNOWN, OUTCOME_UNKNOWN },
	{ "key used for another request", "CxRkFE", REFUSAL_KEY_REUSED,
	  OUTCOME_NOT_RUN },
	{ "claim that cannot be read", "CxRwFE", REFUSAL_OUTCOME_NOT_KNOWN,
	  OUTCOME_UNKNOWN },
	{ "claim released between create and read", "CxRnCoS1APoE", 0,
	  OUTCOME_COMPLETE },
	{ "no connection to the platform", "CsFE", REFUSAL_PLATFORM_UNAVAILABLE,
	  OUTCOME_NOT_RUN },
	{ "platform budget used up", "CbFE", REFUSAL_PLATFORM_UNAVAILABLE,
	  OUTCOME_NOT_RUN },
	{ "platform refuses the claim", "CrFE", REFUSAL_PLATFORM_UNAVAILABLE,
	  OUTCOME_NOT_RUN },
	{ "outage after a lost create", "CuFRu-tRu-tRs-tRb-tRmDoE",
	  REFUSAL_PLATFORM_UNAVAILABLE, OUTCOME_NOT_RUN },
	{ "release that is retried until its time limit", "CuFRu-tRuTE",
	  REFUSAL_PLATFORM_UNAVAILABLE, OUTCOME_NOT_RUN },
	{ "outage after the name was taken: the earlier call may have run",
	  "CxRu-tRu-tRutRutRutRutRutRutRutRutRutRutRutRut"
	  "RutRutRutRutRutRut FE",
	  REFUSAL_OUTCOME_NOT_KNOWN, OUTCOME_UNKNOWN },
	{ "lost create that takes effect after the refusal",
	  "CTFuRn-ttttttttttRmDoE", REFUSAL_DEADLINE, OUTCOME_NOT_RUN },
	{ "send after the deadline", "CToFDoE", REFUSAL_DEADLINE,
	  OUTCOME_NOT_RUN },
	{ "connect failed", "CoS2FDoE", REFUSAL_SERVER_FAILED,
	  OUTCOME_NOT_RUN },
	{ "server refused before running", "CoS3FDoE", REFUSAL_SERVER_FAILED,
	  OUTCOME_NOT_RUN },
	{ "no server in time", "CoS5FDoE", REFUSAL_OVERLOADED,
	  OUTCOME_NOT_RUN },
	{ "connection broken after the send", "CoS4FPoE",
	  REFUSAL_OUTCOME_NOT_KNOWN, OUTCOME_UNKNOWN },
	{ "lost answer to the release, which took effect", "CoS2FDuRnE",
	  REFUSAL_SERVER_FAILED, OUTCOME_NOT_RUN },
	{ "lost answer to the release, which had no effect", "CoS2FDuRmDoE",
	  REFUSAL_SERVER_FAILED, OUTCOME_NOT_RUN },
	{ "release of a claim that another node has created since",
	  "CoS2FDcRiE", REFUSAL_SERVER_FAILED, OUTCOME_NOT_RUN },
	{ "lost answer to the record, which took effect", "CoS1APuRME", 0,
	  OUTCOME_COMPLETE },
	{ "lost answer to the record, which had no effect", "CoS1APuRmPoE", 0,
	  OUTCOME_COMPLETE },
	{ "record during an outage", "CoS1APs-tPb-tPu R u-t RmPoE", 0,
	  OUTCOME_COMPLETE },
	{ "record that the platform rejects as too long", "CoS1APrPoE", 0,
	  OUTCOME_COMPLETE },
	{ "caller gone before the claim", "CgoDoE", 0, 0 },
	{ "caller gone after a lost create", "CguRmDoE", 0, 0 },
	{ "caller gone during the call", "CoSg4PoE", 0, 0 },
	{ "caller gone after the name was taken", "CgxE", 0, 0 },
};

static claim_conf_t conf_of(uint64_t request)
{
	claim_conf_t conf = {
		.claimant = { .vm_id = "a", .incarnation = 1, .attempt = 1 },
		.account = "acme",
		.key = "order-1",
		.request_hash = { 7 },
		.deadline_us = DEADLINE_US,
		.wall_us = WALL_US
	};

	conf.claimant.request = request;
	return conf;
}

static claim_record_t record_of(char input)
{
	claim_conf_t conf = conf_of(input == 'm' || input == 'M' ? 1 : 2);
	claim_record_t record = { .claimant = conf.claimant,
				  .request_hash = { input == 'k' ? 8 : 7 },
				  .created_us = WALL_US,
				  .deadline_us = WALL_US + DEADLINE_US };

	mem_strlcpy(record.account, conf.account, sizeof(record.account));
	mem_strlcpy(record.key, conf.key, sizeof(record.key));
	if (input == 'l')
		record.deadline_us = WALL_US - 60 * US_PER_S;
	if (input == 'd' || input == 'M')
		record.state = CLAIM_DONE;
	if (input == 'z')
		record.state = CLAIM_UNKNOWN;
	record.ended_us = record.state == CLAIM_OPEN ? 0 : WALL_US;
	record.status = 201;
	record.answer = "done";
	record.answer_size_bytes = 4;
	mem_strlcpy(record.content_type, "text/plain",
		    sizeof(record.content_type));
	return record;
}

static void give_platform(claim_t *claim, char input, int64_t now_us)
{
	static const char codes[] = "onxcrbsu";
	const char *found = strchr(codes, input);
	platform_object_t object = { .version = 5 };
	platform_status_t status = PLATFORM_OK;

	if (found)
		status = (platform_status_t)(found - codes);
	if (input == 'w') {
		object.spec = json_object();
	} else if (!found) {
		claim_record_t record = record_of(input);

		object.spec = claim_record_encode(&record);
	}
	claim_platform_done(claim, status, &object, now_us);
	json_decref(object.spec);
}

static void give_end(claim_t *claim, char input, int64_t now_us)
{
	static const attempt_end_t ends[] = { ATTEMPT_COMPLETE,
					      ATTEMPT_CONNECT_FAILED,
					      ATTEMPT_REFUSED, ATTEMPT_BROKEN };
	finished_msg_t finished = { .status = 201,
				    .answer = "done",
				    .answer_size_bytes = 4,
				    .content_type = "text/plain" };

	if (input == '5') {
		claim_unsent(claim, REFUSAL_OVERLOADED, 1, now_us);
		return;
	}
	finished.end = ends[input - '1'];
	claim_finished(claim, &finished, now_us);
}

static char letter_of(claim_action_type_t type)
{
	return "CRPDSAFE"[type];
}

static void run(size_t number)
{
	const char *step = cases[number].script;
	claim_conf_t conf = conf_of(1);
	int64_t now_us = 0;
	claim_t *claim = claim_create(&conf, now_us);
	claim_action_t action;

	for (; *step; step++) {
		if (*step == ' ')
			continue;
		if (*step == 't' || *step == 'T')
			now_us += *step == 't' ? 100 * US_PER_MS : DEADLINE_US;
		else if (*step == 'g')
			claim_caller_gone(claim, now_us);
		else if (*step >= '1' && *step <= '5')
			give_end(claim, *step, now_us);
		else if (*step != 'M' &&
			 (strchr("CRPDSAFE", *step) || *step == '-')) {
			bool due = claim_next(claim, &action, now_us);
			char letter = due ? letter_of(action.type) : '-';

			if (letter != *step)
				fail_msg("%s: %c instead of \"%s\"",
					 cases[number].name, letter, step);
			json_decref(action.spec);
			if (letter == 'F') {
				assert_int_equal(action.refuse.refusal,
						 cases[number].refusal);
				assert_int_equal(action.refuse.outcome,
						 cases[number].outcome);
			}
			if (letter == 'A')
				assert_string_equal(action.record->answer,
						    "done");
		} else
			give_platform(claim, *step, now_us);
	}
	claim_destroy(claim);
}

/* Guards against a call that is sent twice or refused with a false outcome. */
static void runs_scripts(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++)
		run(i);
}

/* Guards against a claim that changes when it is encoded and decoded. */
static void decodes_what_it_encoded(void **state)
{
	static const char inputs[] = "mdz";
	const char *input;

	for (input = inputs; *input; input++) {
		claim_record_t record = record_of(*input), copy;
		json_t *spec = claim_record_encode(&record);

		assert_true(claim_record_decode(spec, &copy, NULL));
		assert_true(stream_id_equal(&copy.claimant, &record.claimant));
		assert_string_equal(copy.key, record.key);
		assert_int_equal(copy.state, record.state);
		assert_int_equal(copy.deadline_us, record.deadline_us);
		assert_int_equal(copy.ended_us, record.ended_us);
		assert_memory_equal(copy.request_hash, record.request_hash,
				    sizeof(copy.request_hash));
		if (record.state == CLAIM_DONE)
			assert_memory_equal(copy.answer, "done", 5);
		claim_record_clear(&copy);
		json_decref(spec);
	}
}

/* Guards against malformed objects that are accepted as claims. */
static void refuses_malformed_claims(void **state)
{
	static const char *const damages[] = {
		"{\"account\":1}",	  "{\"key\":\"\"}",
		"{\"claimant\":\"a\"}",	  "{\"requestHash\":\"00\"}",
		"{\"state\":\"gone\"}",	  "{\"createdUs\":0}",
		"{\"deadlineUs\":\"1\"}", "{\"endedUs\":-1}",
		"{\"status\":99}",	  "{\"answer\":\"***\"}",
		"{\"answer\":5}",	  "{\"contentType\":7}",
	};
	claim_record_t record = record_of('d'), copy;
	size_t i;

	for (i = 0; i < COUNT_OF(damages); i++) {
		json_t *spec = claim_record_encode(&record);
		json_t *damage = json_loads(damages[i], 0, NULL);
		bool accepted;

		json_object_update(spec, damage);
		accepted = claim_record_decode(spec, &copy, NULL);
		if (accepted)
			fail_msg("malformed claim accepted: %s", damages[i]);
		json_decref(spec);
		json_decref(damage);
	}
}

/*
 * Guards against two calls that share an object because their names are equal,
 * and against names that the platform rejects.
 */
static void derives_distinct_names(void **state)
{
	char a[CLAIM_NAME_SIZE_BYTES], b[CLAIM_NAME_SIZE_BYTES];
	char key[IDEMPOTENCY_KEY_SIZE_BYTES];

	claim_name("ab", "c", a);
	claim_name("a", "bc", b);
	assert_string_not_equal(a, b);
	memset(key, '/', sizeof(key) - 1);
	key[sizeof(key) - 1] = '\0';
	claim_name("a", key, b);
	assert_int_equal(strlen(b), CLAIM_NAME_SIZE_BYTES - 1);
	assert_int_equal(strspn(b, "claim-0123456789abcdef"), strlen(b));
}

/*
 * Guards against the removal of a claim whose key may still be used again, and
 * against claims that are never removed.
 */
static void removes_old_claims(void **state)
{
	claim_record_t open = record_of('i'), done = record_of('d');
	int64_t end_us = WALL_US + CLAIM_RETENTION_US;

	assert_false(claim_removable(&done, end_us - 1));
	assert_true(claim_removable(&done, end_us));
	assert_false(claim_removable(&open, end_us + DEADLINE_US));
	assert_true(
		claim_removable(&open, end_us + DEADLINE_US + 60 * US_PER_S));
	assert_true(claim_admit(100, 10, 6, 161));
	assert_false(claim_admit(100, 10, 6, 160));
}

/*
 * Guards against an unbounded number of claims, and against a count that still
 * refuses new claims after the old ones were removed.
 */
static void bounds_the_number_of_claims(void **state)
{
	const int64_t hour_us = 3600 * US_PER_S;
	claim_count_t count = { 0 };
	int i;

	for (i = 0; i < 10; i++)
		claim_count_add(&count, i * hour_us);
	assert_true(claim_count_admit(&count, 0, 3, 31, 10 * hour_us));
	assert_false(claim_count_admit(&count, 0, 3, 30, 10 * hour_us));
	assert_false(claim_count_admit(&count, 1, 3, 33, 10 * hour_us));
	/* Counts are kept for 24 h and then expire hour by hour. */
	assert_false(claim_count_admit(&count, 0, 3, 30, 24 * hour_us));
	assert_true(claim_count_admit(&count, 0, 3, 30, 25 * hour_us));
	assert_false(claim_count_admit(&count, 0, 3, 27, 25 * hour_us));
	/* The result of a sweep replaces the counts. */
	claim_count_swept(&count, 29, 26 * hour_us);
	assert_true(claim_count_admit(&count, 0, 3, 30, 26 * hour_us));
	claim_count_add(&count, 26 * hour_us);
	assert_false(claim_count_admit(&count, 0, 3, 32, 26 * hour_us));
	/* The result of a sweep expires after a day. */
	assert_true(claim_count_admit(&count, 0, 3, 1, 99 * hour_us));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(runs_scripts),
		cmocka_unit_test(decodes_what_it_encoded),
		cmocka_unit_test(refuses_malformed_claims),
		cmocka_unit_test(derives_distinct_names),
		cmocka_unit_test(removes_old_claims),
		cmocka_unit_test(bounds_the_number_of_claims),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

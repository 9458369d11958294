/** Dispatch: who gets which server, and the final answer of every request. */
#include <stdio.h>
#include <stdlib.h>

#include "base/mem.h"
#include "cases.h"
#include "fake_credit.h"
#include "process/dispatch.h"
#include "request/retry.h"

#define SERVER(name, dc, more)                                      \
	"{\"name\":\"" name "\",\"data_centre\":\"" dc              \
	"\",\"kind\":\"engine\",\"url\":\"http://127.0.0.1:9001\"," \
	"\"kv_tokens\":100000,\"model\":\"m\"" more "}"
#define PLAIN(name)                                              \
	"{\"name\":\"" name "\",\"data_centre\":\"a\",\"kind\":" \
	"\"plain\",\"url\":\"http://127.0.0.1:9002\"}"
#define DOCUMENT(version, servers, dc_b, more)                                               \
	"{\"version\":" version ",\"data_centres\":[{\"name\":\"a\"},"                       \
	"{\"name\":\"b\"" dc_b "}],\"distances\":[{\"from\":\"a\","                          \
	"\"to\":\"b\",\"rtt_us\":500}],\"classes\":[{\"name\":\"quick\","                    \
	"\"deadline_ms\":5000}],\"servers\":[" servers "," PLAIN(                            \
		"p1") "],"                                                                   \
		      "\"services\":[{\"name\":\"s\",\"kind\":\"model\",\"model\":\"m\","    \
		      "\"class\":\"quick\"},{\"name\":\"orders\",\"kind\":\"plain\","        \
		      "\"class\":\"quick\",\"repeatable\":false,\"servers\":[\"p1\"]}]" more \
		      "}"

typedef struct {
	credit_holder_t holder;
	dispatch_t *dispatch;
} world_t;

static void configure(world_t *world, const char *text, int64_t now_us)
{
	err_t err = { 0 };
	document_t *document = document_parse(text, strlen(text), &err);

	assert_string_equal(err.message, "");
	dispatch_configure(world->dispatch, document, now_us);
	document_unref(document);
}

static void start(world_t *world, const char *text)
{
	const dispatch_conf_t conf = { .vm_id = "vm1",
				       .incarnation = 7,
				       .data_centre = "a",
				       .policy = ROUTE_COST_LANES,
				       .queue_max = 100 };

	memset(world, 0, sizeof(*world));
	world->dispatch = dispatch_create(&conf, &world->holder);
	if (text)
		configure(world, text, 0);
}

static submit_msg_t message_of(request_kind_t kind, int64_t prompt_tokens,
			       int64_t now_us)
{
	submit_msg_t message = { .kind = kind,
				 .account = "acme",
				 .class_name = "quick",
				 .prompt_tokens = prompt_tokens,
				 .max_tokens = 100,
				 .received_us = now_us,
				 .deadline_us = now_us + 5 * US_PER_S };

	mem_strlcpy(message.service, kind == REQUEST_MODEL ? "s" : "orders",
		    sizeof(message.service));
	return message;
}

static void submit(world_t *world, uint64_t number, request_kind_t kind,
		   int64_t now_us)
{
	submit_msg_t message = message_of(kind, 1000, now_us);

	dispatch_submit(world->dispatch, number, &message, now_us);
}

static void submit_prompt(world_t *world, uint64_t number,
			  int64_t prompt_tokens, int64_t now_us)
{
	submit_msg_t message = message_of(REQUEST_MODEL, prompt_tokens, now_us);

	message.deadline_us = now_us + 600 * US_PER_S;
	dispatch_submit(world->dispatch, number, &message, now_us);
}

static void report(world_t *world, const char *server, bool shares_kv,
		   int64_t backlog_tokens, int64_t now_us)
{
	load_report_t message = { .incarnation = 1,
				  .kv_total_tokens = 100000,
				  .prefill_tokens_per_s = 10000,
				  .prefill_queued_tokens = backlog_tokens,
				  .shares_kv = shares_kv,
				  .model_count = 1,
				  .models = { "m" },
				  .taken_us = now_us,
				  .received_us = now_us };

	mem_strlcpy(message.server, server, NAME_SIZE_BYTES);
	dispatch_apply_report(world->dispatch, &message, now_us);
}

static void finish(world_t *world, uint64_t number, uint32_t attempt,
		   attempt_end_t end, int64_t now_us)
{
	const finished_msg_t message = { .attempt = attempt, .end = end };

	dispatch_finished(world->dispatch, number, &message, now_us);
}

static dispatch_msg_t expect_dispatch(world_t *world, uint64_t number,
				      uint32_t attempt)
{
	dispatch_action_t action = { 0 };

	assert_true(dispatch_next(world->dispatch, &action));
	assert_int_equal(action.message.type, TASK_MSG_DISPATCH);
	assert_int_equal(action.message.request, number);
	assert_int_equal(action.message.as.dispatch.stream_id.attempt, attempt);
	return action.message.as.dispatch;
}

static refuse_msg_t expect_refusal(world_t *world, uint64_t number,
				   refusal_t refusal, outcome_t outcome)
{
	dispatch_action_t action = { 0 };

	assert_true(dispatch_next(world->dispatch, &action));
	assert_int_equal(action.message.type, TASK_MSG_REFUSE);
	assert_int_equal(action.message.request, number);
	assert_int_equal(action.message.as.refuse.refusal, refusal);
	assert_int_equal(action.message.as.refuse.outcome, outcome);
	return action.message.as.refuse;
}

static void expect_nothing(world_t *world)
{
	dispatch_action_t action;

	assert_false(dispatch_next(world->dispatch, &action));
}

/* Every credit was given back: no leaked reservation. */
static void stop(world_t *world)
{
	expect_nothing(world);
	assert_int_equal(dispatch_waiting(world->dispatch), 0);
	assert_int_equal(dispatch_in_flight(world->dispatch), 0);
	assert_int_equal(world->holder.count, 0);
	dispatch_destroy(world->dispatch);
}

static const char two_servers[] =
	DOCUMENT("1", SERVER("e1", "a", "") "," SERVER("e2", "a", ""), "", "");

/* Guards against work piling up on one server. */
static void spreads_requests_over_the_servers(void **state)
{
	world_t world;
	dispatch_msg_t first, second;

	start(&world, two_servers);
	submit(&world, 1, REQUEST_MODEL, 0);
	submit(&world, 2, REQUEST_MODEL, 0);
	first = expect_dispatch(&world, 1, 1);
	second = expect_dispatch(&world, 2, 1);
	assert_string_not_equal(first.server, second.server);
	assert_string_equal(first.stream_id.vm_id, "vm1");
	assert_int_equal(first.stream_id.incarnation, 7);
	assert_int_equal(first.stream_id.request, 1);
	finish(&world, 1, 1, ATTEMPT_COMPLETE, 10);
	finish(&world, 2, 1, ATTEMPT_COMPLETE, 10);
	stop(&world);
}

/* Guards against a second execution of a call that may have run, and against
 * "not-run" for it. */
static void sends_an_action_once(void **state)
{
	static const struct {
		attempt_end_t end;
		refusal_t refusal;
		outcome_t outcome;
	} ends[] = {
		{ ATTEMPT_CONNECT_FAILED, REFUSAL_SERVER_FAILED,
		  OUTCOME_NOT_RUN },
		{ ATTEMPT_REFUSED, REFUSAL_SERVER_FAILED, OUTCOME_NOT_RUN },
		{ ATTEMPT_BROKEN, REFUSAL_OUTCOME_NOT_KNOWN, OUTCOME_UNKNOWN },
		{ ATTEMPT_TIMED_OUT, REFUSAL_OUTCOME_NOT_KNOWN,
		  OUTCOME_UNKNOWN },
		{ ATTEMPT_DEADLINE, REFUSAL_DEADLINE, OUTCOME_UNKNOWN },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(ends); i++) {
		world_t world;

		start(&world, two_servers);
		submit(&world, 1, REQUEST_ACTION, 0);
		assert_string_equal(expect_dispatch(&world, 1, 1).server, "p1");
		finish(&world, 1, 1, ends[i].end, 10);
		expect_refusal(&world, 1, ends[i].refusal, ends[i].outcome);
		dispatch_tick(world.dispatch, US_PER_S);
		stop(&world);
	}
}

/* Guards against a request that is lost with the server that held it. */
static void tries_another_server_after_a_failure(void **state)
{
	world_t world;
	dispatch_msg_t first, second;

	start(&world, two_servers);
	submit(&world, 1, REQUEST_MODEL, 0);
	first = expect_dispatch(&world, 1, 1);
	finish(&world, 1, 1, ATTEMPT_BROKEN, 10);
	second = expect_dispatch(&world, 1, 2);
	assert_string_not_equal(first.server, second.server);
	finish(&world, 1, 2, ATTEMPT_COMPLETE, 20);
	stop(&world);
}

/* Guards against requests to a server that restarted after its grant. */
static void names_the_incarnation_that_may_run_it(void **state)
{
	world_t world;

	start(&world, two_servers);
	world.holder.server_incarnation = 41;
	submit(&world, 1, REQUEST_MODEL, 0);
	assert_int_equal(expect_dispatch(&world, 1, 1).server_incarnation, 41);
	finish(&world, 1, 1, ATTEMPT_REFUSED, 10);
	assert_int_equal(world.holder.failed, 0);
	assert_int_equal(expect_dispatch(&world, 1, 2).server_incarnation, 41);
	finish(&world, 1, 2, ATTEMPT_COMPLETE, 20);
	stop(&world);
}

/* Guards against a late message of attempt 1 that ends attempt 2. */
static void ignores_crossed_messages_of_an_earlier_attempt(void **state)
{
	world_t world;

	start(&world, two_servers);
	submit(&world, 1, REQUEST_MODEL, 0);
	expect_dispatch(&world, 1, 1);
	finish(&world, 1, 1, ATTEMPT_CONNECT_FAILED, 10);
	expect_dispatch(&world, 1, 2);
	finish(&world, 1, 1, ATTEMPT_BROKEN, 11);
	finish(&world, 1, 1, ATTEMPT_COMPLETE, 12);
	expect_nothing(&world);
	assert_int_equal(dispatch_in_flight(world.dispatch), 1);
	finish(&world, 1, 2, ATTEMPT_COMPLETE, 20);
	/* Each attempt counts once for the ramp of its server. */
	assert_int_equal(world.holder.failed, 1);
	assert_int_equal(world.holder.completed, 1);
	stop(&world);
}

/* Guards against a leaked attempt when the caller leaves while a new attempt
 * is on its way to the request task. */
static void ends_the_request_when_the_caller_left(void **state)
{
	world_t world;

	start(&world, two_servers);
	submit(&world, 1, REQUEST_MODEL, 0);
	expect_dispatch(&world, 1, 1);
	finish(&world, 1, 1, ATTEMPT_BROKEN, 10);
	expect_dispatch(&world, 1, 2);
	finish(&world, 1, 1, ATTEMPT_CALLER_GONE, 11);
	stop(&world);
}

/* Guards against an answer that is held back for ever without capacity. */
static void refuses_at_the_deadline(void **state)
{
	world_t world;

	start(&world, two_servers);
	world.holder.server_result = DRAW_PENDING;
	submit(&world, 1, REQUEST_MODEL, 0);
	dispatch_tick(world.dispatch, 4 * US_PER_S);
	expect_nothing(&world);
	dispatch_tick(world.dispatch, 5 * US_PER_S);
	assert_true(expect_refusal(&world, 1, REFUSAL_DEADLINE, OUTCOME_NOT_RUN)
			    .retry_after_s > 0);
	stop(&world);
}

/* Guards against new work for what was taken out of service. */
static void sends_nothing_to_what_is_retired(void **state)
{
	static const char *const documents[] = {
		DOCUMENT("2",
			 SERVER("e1", "a", "") "," SERVER("e2", "a",
							  ",\"retired\":true"),
			 "", ""),
		DOCUMENT("2", SERVER("e1", "a", "") "," SERVER("e2", "b", ""),
			 ",\"retired\":true", ""),
		DOCUMENT("2", SERVER("e1", "a", ""), "", ""),
	};
	size_t i;
	uint64_t number;

	for (i = 0; i < COUNT_OF(documents); i++) {
		world_t world;

		start(&world, two_servers);
		dispatch_set_reachable(world.dispatch, "b", true, 0);
		submit(&world, 1, REQUEST_MODEL, 0);
		submit(&world, 2, REQUEST_MODEL, 0);
		expect_dispatch(&world, 1, 1);
		expect_dispatch(&world, 2, 1);
		configure(&world, documents[i], 10);
		/* The work it has keeps running. */
		assert_int_equal(dispatch_in_flight(world.dispatch), 2);
		for (number = 3; number < 20; number++) {
			submit(&world, number, REQUEST_MODEL, 20);
			assert_string_equal(
				expect_dispatch(&world, number, 1).server,
				"e1");
		}
		for (number = 1; number < 20; number++)
			finish(&world, number, 1, ATTEMPT_COMPLETE, 30);
		stop(&world);
	}
}

/* Guards against requests that wait when nothing can serve them. */
static void refuses_at_once_without_configuration_or_server(void **state)
{
	world_t world;

	start(&world, NULL);
	submit(&world, 1, REQUEST_MODEL, 0);
	expect_refusal(&world, 1, REFUSAL_NOT_READY, OUTCOME_NOT_RUN);
	configure(&world,
		  DOCUMENT("1", SERVER("e1", "a", ",\"retired\":true"), "", ""),
		  0);
	submit(&world, 2, REQUEST_MODEL, 0);
	assert_true(
		expect_refusal(&world, 2, REFUSAL_NO_SERVER, OUTCOME_NOT_RUN)
			.retry_after_s > 0);
	stop(&world);
}

#define ACCOUNT(more) \
	",\"accounts\":[{\"name\":\"acme\",\"key_hash\":\"" HASH "\"" more "}]"
#define HASH                               \
	"00000000000000000000000000000000" \
	"000000000000000000000000000000aa"

/* Guards against a retry storm: the budget of one service is used up. */
static void stops_retrying_when_the_budget_is_used_up(void **state)
{
	world_t world;
	uint64_t number;
	int retried = 0, refused = 0;

	start(&world, two_servers);
	for (number = 1; number <= 10; number++) {
		dispatch_action_t action = { 0 };
		int64_t now_us = (int64_t)number * 10;

		dispatch_set_reachable(world.dispatch, "b", false, now_us);
		submit(&world, number, REQUEST_MODEL, now_us);
		expect_dispatch(&world, number, 1);
		/* The server itself is not to blame here. */
		finish(&world, number, 1, ATTEMPT_BROKEN, now_us);
		if (!dispatch_next(world.dispatch, &action)) {
			/* Both servers pause: the new attempt waits. */
			retried++;
			dispatch_tick(world.dispatch, now_us + 200000);
			expect_dispatch(&world, number, 2);
			finish(&world, number, 2, ATTEMPT_COMPLETE,
			       now_us + 200000);
			continue;
		}
		if (action.message.type == TASK_MSG_REFUSE) {
			refused++;
			assert_int_equal(action.message.as.refuse.refusal,
					 REFUSAL_SERVER_FAILED);
			assert_int_equal(action.message.as.refuse.outcome,
					 OUTCOME_FAILED);
			assert_true(action.message.as.refuse.retry_after_s > 0);
			dispatch_tick(world.dispatch, now_us + 20 * US_PER_S);
			break;
		}
		retried++;
		finish(&world, number, 2, ATTEMPT_COMPLETE, now_us);
	}
	assert_int_equal(retried, RETRY_FLOOR);
	assert_int_equal(refused, 1);
	stop(&world);
}

/* Guards against waiting for what can never be: no set holds the prompt. */
static void refuses_a_prompt_that_no_set_can_hold(void **state)
{
	static const struct {
		bool shares_kv;
		int64_t prompt_tokens;
		bool refused;
	} cases[] = {
		{ true, 199000, false },
		{ true, 201000, true },
		{ false, 150000, true },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		world_t world;

		start(&world, two_servers);
		report(&world, "e1", cases[i].shares_kv, 0, 0);
		report(&world, "e2", cases[i].shares_kv, 0, 0);
		submit_prompt(&world, 1, cases[i].prompt_tokens, 0);
		if (cases[i].refused) {
			expect_refusal(&world, 1, REFUSAL_PROMPT_TOO_LONG,
				       OUTCOME_NOT_RUN);
		} else {
			assert_int_equal(
				expect_dispatch(&world, 1, 1).peer_count, 1);
			finish(&world, 1, 1, ATTEMPT_COMPLETE, 10);
		}
		stop(&world);
	}
}

/* Guards against two prompts that each hold a part of the set that the other
 * one waits for. */
static void places_two_oversized_prompts_one_after_the_other(void **state)
{
	world_t world;

	start(&world, two_servers);
	report(&world, "e1", true, 0, 0);
	report(&world, "e2", true, 0, 0);
	world.holder.kv_limit = 100000;
	world.holder.pending_server = "e2";
	submit_prompt(&world, 1, 150000, 0);
	submit_prompt(&world, 2, 150000, 0);
	expect_nothing(&world);
	/* The first holds e1; the second has no part of e2 meanwhile. */
	assert_int_equal(world.holder.count, 3);
	world.holder.pending_server = NULL;
	dispatch_tick(world.dispatch, 1000);
	expect_dispatch(&world, 1, 1);
	expect_nothing(&world);
	finish(&world, 1, 1, ATTEMPT_COMPLETE, 2000);
	expect_dispatch(&world, 2, 1);
	finish(&world, 2, 1, ATTEMPT_COMPLETE, 3000);
	stop(&world);
}

/* Guards against a set that keeps the servers it got when one refuses. */
static void gives_a_partial_set_back(void **state)
{
	world_t world;

	start(&world, two_servers);
	report(&world, "e1", true, 0, 0);
	report(&world, "e2", true, 0, 0);
	world.holder.refusing_server = "e2";
	submit_prompt(&world, 1, 150000, 0);
	expect_nothing(&world);
	assert_int_equal(world.holder.count, 0);
	world.holder.refusing_server = NULL;
	dispatch_tick(world.dispatch, 100 * US_PER_MS);
	expect_dispatch(&world, 1, 1);
	finish(&world, 1, 1, ATTEMPT_COMPLETE, 200 * US_PER_MS);
	stop(&world);
}

/* Guards against a request that waits for one server's credits while another
 * has some. */
static void turns_to_another_server_for_credits(void **state)
{
	world_t world;

	start(&world, two_servers);
	world.holder.refusing_server = "e1";
	submit(&world, 1, REQUEST_MODEL, 0);
	assert_string_equal(expect_dispatch(&world, 1, 1).server, "e2");
	/* A prompt needs memory for its answer, too. */
	assert_int_equal(world.holder.draws[0].amount.kv_tokens, 1100);
	finish(&world, 1, 1, ATTEMPT_COMPLETE, 0);
	/* An owner that does not answer. */
	world.holder.refusing_server = NULL;
	world.holder.pending_server = "e1";
	report(&world, "e2", false, 10000, 0);
	submit(&world, 2, REQUEST_MODEL, 50 * US_PER_MS);
	expect_nothing(&world);
	dispatch_tick(world.dispatch, 400 * US_PER_MS);
	assert_string_equal(expect_dispatch(&world, 2, 1).server, "e2");
	finish(&world, 2, 1, ATTEMPT_COMPLETE, 400 * US_PER_MS);
	stop(&world);
}

/* Guards against a refusal that comes at the deadline instead of at once. */
static void refuses_at_once_what_cannot_finish_in_time(void **state)
{
	world_t world;

	start(&world, two_servers);
	report(&world, "e1", false, 60000, 0);
	report(&world, "e2", false, 60000, 0);
	submit(&world, 1, REQUEST_MODEL, 0);
	assert_true(expect_refusal(&world, 1, REFUSAL_DEADLINE, OUTCOME_NOT_RUN)
			    .retry_after_s > 0);
	report(&world, "e1", false, 20000, 10);
	submit(&world, 2, REQUEST_MODEL, 10);
	expect_dispatch(&world, 2, 1);
	finish(&world, 2, 1, ATTEMPT_COMPLETE, 20);
	stop(&world);
}

/* Guards against accounts that exceed their rate or their requests in
 * flight, and against rate credits for accounts without a limit. */
static void limits_accounts(void **state)
{
	static const char *const documents[] = {
		DOCUMENT("1", SERVER("e1", "a", ""), "", ACCOUNT("")),
		DOCUMENT("1", SERVER("e1", "a", ""), "",
			 ACCOUNT(",\"requests_per_s\":5")),
		DOCUMENT("1", SERVER("e1", "a", ""), "",
			 ACCOUNT(",\"max_in_flight\":1")),
	};
	world_t world;

	start(&world, documents[0]);
	world.holder.account_result = DRAW_REFUSED;
	submit(&world, 1, REQUEST_MODEL, 0);
	expect_dispatch(&world, 1, 1);
	assert_int_equal(world.holder.count, 1);
	finish(&world, 1, 1, ATTEMPT_COMPLETE, 0);
	stop(&world);

	start(&world, documents[1]);
	world.holder.account_result = DRAW_PENDING;
	submit(&world, 1, REQUEST_MODEL, 0);
	expect_nothing(&world);
	world.holder.account_result = DRAW_REFUSED;
	dispatch_tick(world.dispatch, 0);
	assert_true(
		expect_refusal(&world, 1, REFUSAL_RATE_LIMITED, OUTCOME_NOT_RUN)
			.retry_after_s > 0);
	stop(&world);

	start(&world, documents[2]);
	submit(&world, 1, REQUEST_MODEL, 0);
	submit(&world, 2, REQUEST_MODEL, 0);
	expect_dispatch(&world, 1, 1);
	expect_nothing(&world);
	finish(&world, 1, 1, ATTEMPT_COMPLETE, 0);
	expect_dispatch(&world, 2, 1);
	finish(&world, 2, 1, ATTEMPT_COMPLETE, 0);
	stop(&world);
}

/* Guards against an engine that serves a long prompt before short ones, and
 * against short ones on the server that the long one waits for. */
static void separates_long_prompts(void **state)
{
	world_t world;
	dispatch_msg_t first;
	uint64_t number;

	start(&world, two_servers);
	submit_prompt(&world, 1, 90000, 0);
	first = expect_dispatch(&world, 1, 1);
	for (number = 2; number < 20; number++) {
		dispatch_msg_t other;

		submit(&world, number, REQUEST_MODEL, 0);
		other = expect_dispatch(&world, number, 1);
		assert_string_not_equal(other.server, first.server);
		assert_true(other.priority > first.priority);
	}
	for (number = 1; number < 20; number++)
		finish(&world, number, 1, ATTEMPT_COMPLETE, 10);
	stop(&world);
}

/* Guards against long prompts that starve because short ones take whatever
 * memory becomes free. */
static void finishes_long_work_under_a_stream_of_short(void **state)
{
	world_t world;
	uint64_t number, done = 1;
	int64_t now_us = 0;
	bool sent = false;

	start(&world, two_servers);
	world.holder.kv_limit = 100000;
	for (number = 2; number < 4000 && !sent; number++) {
		dispatch_action_t action;

		now_us += 10 * US_PER_MS;
		if (number == 500)
			submit_prompt(&world, 1, 90000, now_us);
		submit(&world, number, REQUEST_MODEL, now_us);
		while (dispatch_next(world.dispatch, &action))
			sent |= action.message.request == 1;
		/* Each answer takes 150 arrivals: both servers are full. */
		for (; done + 150 < number; done++)
			finish(&world, done + 1, 1, ATTEMPT_COMPLETE, now_us);
		dispatch_tick(world.dispatch, now_us);
	}
	assert_true(sent);
	dispatch_destroy(world.dispatch);
}

/* Guards against a prompt that needs most of a server's memory and never
 * finds it free, because smaller long prompts take every part that is. */
static void finishes_the_largest_under_a_stream_of_long(void **state)
{
	world_t world;
	uint64_t running[1000] = { 0 }, number;
	size_t sent = 0, ended = 0;
	int64_t now_us = 0;

	start(&world, two_servers);
	world.holder.kv_limit = 100000;
	for (number = 2; number < 60 && running[sent] != 1; number++) {
		dispatch_action_t action = { 0 };
		size_t before = sent;

		now_us += 10 * US_PER_S;
		submit_prompt(&world, number, 40000, now_us);
		if (number == 10)
			submit_prompt(&world, 1, 90000, now_us);
		while (dispatch_next(world.dispatch, &action))
			if (action.message.type == TASK_MSG_DISPATCH)
				running[++sent] = action.message.request;
		/* Two fit together and end in turn: one runs as long as new
		 * ones are sent. */
		if (ended + 1 < sent || (sent == before && ended < sent))
			finish(&world, running[++ended], 1, ATTEMPT_COMPLETE,
			       now_us + 5 * US_PER_S);
	}
	assert_int_equal(running[sent], 1);
	dispatch_destroy(world.dispatch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(spreads_requests_over_the_servers),
		cmocka_unit_test(sends_an_action_once),
		cmocka_unit_test(tries_another_server_after_a_failure),
		cmocka_unit_test(names_the_incarnation_that_may_run_it),
		cmocka_unit_test(
			ignores_crossed_messages_of_an_earlier_attempt),
		cmocka_unit_test(ends_the_request_when_the_caller_left),
		cmocka_unit_test(refuses_at_the_deadline),
		cmocka_unit_test(sends_nothing_to_what_is_retired),
		cmocka_unit_test(
			refuses_at_once_without_configuration_or_server),
		cmocka_unit_test(stops_retrying_when_the_budget_is_used_up),
		cmocka_unit_test(refuses_a_prompt_that_no_set_can_hold),
		cmocka_unit_test(
			places_two_oversized_prompts_one_after_the_other),
		cmocka_unit_test(gives_a_partial_set_back),
		cmocka_unit_test(turns_to_another_server_for_credits),
		cmocka_unit_test(refuses_at_once_what_cannot_finish_in_time),
		cmocka_unit_test(limits_accounts),
		cmocka_unit_test(separates_long_prompts),
		cmocka_unit_test(finishes_long_work_under_a_stream_of_short),
		cmocka_unit_test(finishes_the_largest_under_a_stream_of_long),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

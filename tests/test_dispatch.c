/** Dispatch: who gets which server, and the final answer of every request. */
#include <stdio.h>
#include <stdlib.h>

#include "base/mem.h"
#include "cases.h"
#include "fake_credit.h"
#include "process/dispatch.h"

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

static void submit(world_t *world, uint64_t number, request_kind_t kind,
		   int64_t now_us)
{
	submit_msg_t message = { .kind = kind,
				 .account = "acme",
				 .class_name = "quick",
				 .prompt_tokens = 1000,
				 .max_tokens = 100,
				 .received_us = now_us,
				 .deadline_us = now_us + 5 * US_PER_S };

	mem_strlcpy(message.service, kind == REQUEST_MODEL ? "s" : "orders",
		    sizeof(message.service));
	dispatch_submit(world->dispatch, number, &message, now_us);
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
		dispatch_reachable(world.dispatch, "b", true, 0);
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

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(spreads_requests_over_the_servers),
		cmocka_unit_test(sends_an_action_once),
		cmocka_unit_test(tries_another_server_after_a_failure),
		cmocka_unit_test(
			ignores_crossed_messages_of_an_earlier_attempt),
		cmocka_unit_test(ends_the_request_when_the_caller_left),
		cmocka_unit_test(refuses_at_the_deadline),
		cmocka_unit_test(sends_nothing_to_what_is_retired),
		cmocka_unit_test(
			refuses_at_once_without_configuration_or_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

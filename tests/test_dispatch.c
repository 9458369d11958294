/** Tests of the dispatcher: which server each request is sent to, and that each
 * request gets one final answer. */
#include <stdio.h>
#include <stdlib.h>

#include "base/mem.h"
#include "cases.h"
#include "fake_credit.h"
#include "process/dispatch.h"
#include "request/retry.h"

#define SERVER(name, data_centre, more)                             \
	"{\"name\":\"" name "\",\"data_centre\":\"" data_centre     \
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

/* The dispatcher of one node, with a fake credit holder. */
typedef struct {
	credit_holder_t holder;
	dispatch_t *dispatch;
} node_t;

static void configure(node_t *node, const char *text, int64_t now_us)
{
	err_t err = { 0 };
	document_t *document = document_parse(text, strlen(text), &err);

	assert_string_equal(err.message, "");
	dispatch_configure(node->dispatch, document, now_us);
	document_unref(document);
}

static void start(node_t *node, const char *text)
{
	const dispatch_conf_t conf = { .vm_id = "vm1",
				       .incarnation = 7,
				       .data_centre = "a",
				       .policy = ROUTE_COST_LANES,
				       .queue_max = 100 };

	memset(node, 0, sizeof(*node));
	node->dispatch = dispatch_create(&conf, &node->holder);
	if (text)
		configure(node, text, 0);
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

static void submit(node_t *node, uint64_t number, request_kind_t kind,
		   int64_t now_us)
{
	submit_msg_t message = message_of(kind, 1000, now_us);

	dispatch_submit(node->dispatch, number, &message, now_us);
}

static void submit_prompt(node_t *node, uint64_t number, int64_t prompt_tokens,
			  int64_t now_us)
{
	submit_msg_t message = message_of(REQUEST_MODEL, prompt_tokens, now_us);

	message.deadline_us = now_us + 600 * US_PER_S;
	dispatch_submit(node->dispatch, number, &message, now_us);
}

static void report(node_t *node, const char *server, bool shares_kv,
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
	dispatch_apply_report(node->dispatch, &message, now_us);
}

static void finish(node_t *node, uint64_t number, uint32_t attempt,
		   attempt_end_t end, int64_t now_us)
{
	const finished_msg_t message = { .attempt = attempt, .end = end };

	dispatch_finished(node->dispatch, number, &message, now_us);
}

static dispatch_msg_t expect_dispatch(node_t *node, uint64_t number,
				      uint32_t attempt)
{
	dispatch_action_t action = { 0 };

	assert_true(dispatch_next(node->dispatch, &action));
	assert_int_equal(action.message.type, TASK_MSG_DISPATCH);
	assert_int_equal(action.message.request, number);
	assert_int_equal(action.message.as.dispatch.stream_id.attempt, attempt);
	return action.message.as.dispatch;
}

static refuse_msg_t expect_refusal(node_t *node, uint64_t number,
				   refusal_t refusal, outcome_t outcome)
{
	dispatch_action_t action = { 0 };

	assert_true(dispatch_next(node->dispatch, &action));
	assert_int_equal(action.message.type, TASK_MSG_REFUSE);
	assert_int_equal(action.message.request, number);
	assert_int_equal(action.message.as.refuse.refusal, refusal);
	assert_int_equal(action.message.as.refuse.outcome, outcome);
	return action.message.as.refuse;
}

static void expect_nothing(node_t *node)
{
	dispatch_action_t action;

	assert_false(dispatch_next(node->dispatch, &action));
}

/* Checks that no decision, request or credit is left. */
static void stop(node_t *node)
{
	expect_nothing(node);
	assert_int_equal(dispatch_waiting(node->dispatch), 0);
	assert_int_equal(dispatch_in_flight(node->dispatch), 0);
	assert_int_equal(node->holder.count, 0);
	dispatch_destroy(node->dispatch);
}

static const char two_servers[] =
	DOCUMENT("1", SERVER("e1", "a", "") "," SERVER("e2", "a", ""), "", "");

/* Guards against two requests on one server while another server is idle. */
static void spreads_requests_over_the_servers(void **state)
{
	node_t node;
	dispatch_msg_t first, second;

	start(&node, two_servers);
	submit(&node, 1, REQUEST_MODEL, 0);
	submit(&node, 2, REQUEST_MODEL, 0);
	first = expect_dispatch(&node, 1, 1);
	second = expect_dispatch(&node, 2, 1);
	assert_string_not_equal(first.server, second.server);
	assert_string_equal(first.stream_id.vm_id, "vm1");
	assert_int_equal(first.stream_id.incarnation, 7);
	assert_int_equal(first.stream_id.request, 1);
	finish(&node, 1, 1, ATTEMPT_COMPLETE, 10);
	finish(&node, 2, 1, ATTEMPT_COMPLETE, 10);
	stop(&node);
}

/* Guards against a second execution of an action that may have run, and against
 * the outcome "not-run" for such an action. */
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
		node_t node;

		start(&node, two_servers);
		submit(&node, 1, REQUEST_ACTION, 0);
		assert_string_equal(expect_dispatch(&node, 1, 1).server, "p1");
		finish(&node, 1, 1, ends[i].end, 10);
		expect_refusal(&node, 1, ends[i].refusal, ends[i].outcome);
		dispatch_tick(node.dispatch, US_PER_S);
		stop(&node);
	}
}

/* Guards against a request that is lost when its server fails. */
static void tries_another_server_after_a_failure(void **state)
{
	node_t node;
	dispatch_msg_t first, second;

	start(&node, two_servers);
	submit(&node, 1, REQUEST_MODEL, 0);
	first = expect_dispatch(&node, 1, 1);
	finish(&node, 1, 1, ATTEMPT_BROKEN, 10);
	second = expect_dispatch(&node, 1, 2);
	assert_string_not_equal(first.server, second.server);
	finish(&node, 1, 2, ATTEMPT_COMPLETE, 20);
	stop(&node);
}

/* Guards against requests to a server that restarted after the grant: each
 * attempt must carry the incarnation that the grant names. */
static void sends_the_incarnation_of_the_grant(void **state)
{
	node_t node;

	start(&node, two_servers);
	node.holder.server_incarnation = 41;
	submit(&node, 1, REQUEST_MODEL, 0);
	assert_int_equal(expect_dispatch(&node, 1, 1).server_incarnation, 41);
	finish(&node, 1, 1, ATTEMPT_REFUSED, 10);
	assert_int_equal(node.holder.failed, 0);
	assert_int_equal(expect_dispatch(&node, 1, 2).server_incarnation, 41);
	finish(&node, 1, 2, ATTEMPT_COMPLETE, 20);
	stop(&node);
}

/* Guards against a delayed message about attempt 1 that ends attempt 2. */
static void ignores_messages_of_an_earlier_attempt(void **state)
{
	node_t node;

	start(&node, two_servers);
	submit(&node, 1, REQUEST_MODEL, 0);
	expect_dispatch(&node, 1, 1);
	finish(&node, 1, 1, ATTEMPT_CONNECT_FAILED, 10);
	expect_dispatch(&node, 1, 2);
	finish(&node, 1, 1, ATTEMPT_BROKEN, 11);
	finish(&node, 1, 1, ATTEMPT_COMPLETE, 12);
	expect_nothing(&node);
	assert_int_equal(dispatch_in_flight(node.dispatch), 1);
	finish(&node, 1, 2, ATTEMPT_COMPLETE, 20);
	/* Each attempt counts once for the slow start of its server. */
	assert_int_equal(node.holder.failed, 1);
	assert_int_equal(node.holder.completed, 1);
	stop(&node);
}

/* Guards against an attempt that never ends: the caller closes the connection
 * while the message about a new attempt is on its way to the request task. */
static void ends_the_request_when_the_caller_is_gone(void **state)
{
	node_t node;

	start(&node, two_servers);
	submit(&node, 1, REQUEST_MODEL, 0);
	expect_dispatch(&node, 1, 1);
	finish(&node, 1, 1, ATTEMPT_BROKEN, 10);
	expect_dispatch(&node, 1, 2);
	finish(&node, 1, 1, ATTEMPT_CALLER_GONE, 11);
	stop(&node);
}

/* Guards against a request that waits for capacity beyond its deadline. */
static void refuses_at_the_deadline(void **state)
{
	node_t node;

	start(&node, two_servers);
	node.holder.server_result = DRAW_PENDING;
	submit(&node, 1, REQUEST_MODEL, 0);
	dispatch_tick(node.dispatch, 4 * US_PER_S);
	expect_nothing(&node);
	dispatch_tick(node.dispatch, 5 * US_PER_S);
	assert_true(expect_refusal(&node, 1, REFUSAL_DEADLINE, OUTCOME_NOT_RUN)
			    .retry_after_s > 0);
	stop(&node);
}

/* Guards against new requests to a server that was retired, alone or with its
 * data centre, or removed from the configuration. */
static void sends_nothing_to_retired_servers(void **state)
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
		node_t node;

		start(&node, two_servers);
		dispatch_set_reachable(node.dispatch, "b", true, 0);
		submit(&node, 1, REQUEST_MODEL, 0);
		submit(&node, 2, REQUEST_MODEL, 0);
		expect_dispatch(&node, 1, 1);
		expect_dispatch(&node, 2, 1);
		configure(&node, documents[i], 10);
		/* The requests in flight on the server go on. */
		assert_int_equal(dispatch_in_flight(node.dispatch), 2);
		for (number = 3; number < 20; number++) {
			submit(&node, number, REQUEST_MODEL, 20);
			assert_string_equal(
				expect_dispatch(&node, number, 1).server, "e1");
		}
		for (number = 1; number < 20; number++)
			finish(&node, number, 1, ATTEMPT_COMPLETE, 30);
		stop(&node);
	}
}

/* Guards against requests that wait although no server can serve them: without
 * a configuration, or without a server in service. */
static void refuses_at_once_without_configuration_or_server(void **state)
{
	node_t node;

	start(&node, NULL);
	submit(&node, 1, REQUEST_MODEL, 0);
	expect_refusal(&node, 1, REFUSAL_NOT_READY, OUTCOME_NOT_RUN);
	configure(&node,
		  DOCUMENT("1", SERVER("e1", "a", ",\"retired\":true"), "", ""),
		  0);
	submit(&node, 2, REQUEST_MODEL, 0);
	assert_true(expect_refusal(&node, 2, REFUSAL_NO_SERVER, OUTCOME_NOT_RUN)
			    .retry_after_s > 0);
	stop(&node);
}

#define ACCOUNT(more) \
	",\"accounts\":[{\"name\":\"acme\",\"key_hash\":\"" HASH "\"" more "}]"
#define HASH                               \
	"00000000000000000000000000000000" \
	"000000000000000000000000000000aa"

/* Guards against a retry storm: without a limit, every failed attempt would add
 * another one. The retry budget of the service is used up here. */
static void stops_retrying_when_the_budget_is_used_up(void **state)
{
	node_t node;
	uint64_t number;
	int retried = 0, refused = 0;

	start(&node, two_servers);
	for (number = 1; number <= 10; number++) {
		dispatch_action_t action = { 0 };
		int64_t now_us = (int64_t)number * 10;

		dispatch_set_reachable(node.dispatch, "b", false, now_us);
		submit(&node, number, REQUEST_MODEL, now_us);
		expect_dispatch(&node, number, 1);
		/* The attempt fails although the server works. */
		finish(&node, number, 1, ATTEMPT_BROKEN, now_us);
		if (!dispatch_next(node.dispatch, &action)) {
			/* Both servers are in backoff: the retry waits. */
			retried++;
			dispatch_tick(node.dispatch, now_us + 200000);
			expect_dispatch(&node, number, 2);
			finish(&node, number, 2, ATTEMPT_COMPLETE,
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
			dispatch_tick(node.dispatch, now_us + 20 * US_PER_S);
			break;
		}
		retried++;
		finish(&node, number, 2, ATTEMPT_COMPLETE, now_us);
	}
	assert_int_equal(retried, RETRY_FLOOR);
	assert_int_equal(refused, 1);
	stop(&node);
}

/* Guards against a prompt that waits for ever because no set of servers has
 * enough memory for it. */
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
		node_t node;

		start(&node, two_servers);
		report(&node, "e1", cases[i].shares_kv, 0, 0);
		report(&node, "e2", cases[i].shares_kv, 0, 0);
		submit_prompt(&node, 1, cases[i].prompt_tokens, 0);
		if (cases[i].refused) {
			expect_refusal(&node, 1, REFUSAL_PROMPT_TOO_LONG,
				       OUTCOME_NOT_RUN);
		} else {
			assert_int_equal(
				expect_dispatch(&node, 1, 1).peer_count, 1);
			finish(&node, 1, 1, ATTEMPT_COMPLETE, 10);
		}
		stop(&node);
	}
}

/* Guards against a deadlock of two prompts, each of which holds credits of a
 * server that the other prompt waits for. */
static void places_two_oversized_prompts_one_after_the_other(void **state)
{
	node_t node;

	start(&node, two_servers);
	report(&node, "e1", true, 0, 0);
	report(&node, "e2", true, 0, 0);
	node.holder.kv_limit = 100000;
	node.holder.pending_server = "e2";
	submit_prompt(&node, 1, 150000, 0);
	submit_prompt(&node, 2, 150000, 0);
	expect_nothing(&node);
	/* Prompt 1 holds credits of e1; prompt 2 holds none of e2. */
	assert_int_equal(node.holder.count, 3);
	node.holder.pending_server = NULL;
	dispatch_tick(node.dispatch, 1000);
	expect_dispatch(&node, 1, 1);
	expect_nothing(&node);
	finish(&node, 1, 1, ATTEMPT_COMPLETE, 2000);
	expect_dispatch(&node, 2, 1);
	finish(&node, 2, 1, ATTEMPT_COMPLETE, 3000);
	stop(&node);
}

/* Guards against credits that stay drawn for a set of servers when the owner of
 * one of the servers refuses. */
static void releases_a_partial_set(void **state)
{
	node_t node;

	start(&node, two_servers);
	report(&node, "e1", true, 0, 0);
	report(&node, "e2", true, 0, 0);
	node.holder.refusing_server = "e2";
	submit_prompt(&node, 1, 150000, 0);
	expect_nothing(&node);
	assert_int_equal(node.holder.count, 0);
	node.holder.refusing_server = NULL;
	dispatch_tick(node.dispatch, 100 * US_PER_MS);
	expect_dispatch(&node, 1, 1);
	finish(&node, 1, 1, ATTEMPT_COMPLETE, 200 * US_PER_MS);
	stop(&node);
}

/* Guards against a request that waits for the credits of one server, after a
 * refusal or without an answer, while another server has free credits. */
static void draws_from_another_server(void **state)
{
	node_t node;

	start(&node, two_servers);
	node.holder.refusing_server = "e1";
	submit(&node, 1, REQUEST_MODEL, 0);
	assert_string_equal(expect_dispatch(&node, 1, 1).server, "e2");
	/* The memory is for the prompt and the longest answer. */
	assert_int_equal(node.holder.draws[0].amount.kv_tokens, 1100);
	finish(&node, 1, 1, ATTEMPT_COMPLETE, 0);
	/* The credit owner of e1 does not answer. */
	node.holder.refusing_server = NULL;
	node.holder.pending_server = "e1";
	report(&node, "e2", false, 10000, 0);
	submit(&node, 2, REQUEST_MODEL, 50 * US_PER_MS);
	expect_nothing(&node);
	dispatch_tick(node.dispatch, 400 * US_PER_MS);
	assert_string_equal(expect_dispatch(&node, 2, 1).server, "e2");
	finish(&node, 2, 1, ATTEMPT_COMPLETE, 400 * US_PER_MS);
	stop(&node);
}

/* Guards against a request that waits until its deadline although the predicted
 * wait shows at once that it will miss the deadline. */
static void refuses_at_once_if_the_deadline_is_too_near(void **state)
{
	node_t node;

	start(&node, two_servers);
	report(&node, "e1", false, 60000, 0);
	report(&node, "e2", false, 60000, 0);
	submit(&node, 1, REQUEST_MODEL, 0);
	assert_true(expect_refusal(&node, 1, REFUSAL_DEADLINE, OUTCOME_NOT_RUN)
			    .retry_after_s > 0);
	report(&node, "e1", false, 20000, 10);
	submit(&node, 2, REQUEST_MODEL, 10);
	expect_dispatch(&node, 2, 1);
	finish(&node, 2, 1, ATTEMPT_COMPLETE, 20);
	stop(&node);
}

/* Guards against accounts that exceed their rate or their limit of requests in
 * flight, and against rate credits drawn for accounts without a limit. */
static void limits_accounts(void **state)
{
	static const char *const documents[] = {
		DOCUMENT("1", SERVER("e1", "a", ""), "", ACCOUNT("")),
		DOCUMENT("1", SERVER("e1", "a", ""), "",
			 ACCOUNT(",\"requests_per_s\":5")),
		DOCUMENT("1", SERVER("e1", "a", ""), "",
			 ACCOUNT(",\"max_in_flight\":1")),
	};
	node_t node;

	start(&node, documents[0]);
	node.holder.account_result = DRAW_REFUSED;
	submit(&node, 1, REQUEST_MODEL, 0);
	expect_dispatch(&node, 1, 1);
	assert_int_equal(node.holder.count, 1);
	finish(&node, 1, 1, ATTEMPT_COMPLETE, 0);
	stop(&node);

	start(&node, documents[1]);
	node.holder.account_result = DRAW_PENDING;
	submit(&node, 1, REQUEST_MODEL, 0);
	expect_nothing(&node);
	node.holder.account_result = DRAW_REFUSED;
	dispatch_tick(node.dispatch, 0);
	assert_true(
		expect_refusal(&node, 1, REFUSAL_RATE_LIMITED, OUTCOME_NOT_RUN)
			.retry_after_s > 0);
	stop(&node);

	start(&node, documents[2]);
	submit(&node, 1, REQUEST_MODEL, 0);
	submit(&node, 2, REQUEST_MODEL, 0);
	expect_dispatch(&node, 1, 1);
	expect_nothing(&node);
	finish(&node, 1, 1, ATTEMPT_COMPLETE, 0);
	expect_dispatch(&node, 2, 1);
	finish(&node, 2, 1, ATTEMPT_COMPLETE, 0);
	stop(&node);
}

/* Guards against an engine that serves a long prompt before short prompts, and
 * against short prompts on the server that the long prompt uses. */
static void separates_long_prompts(void **state)
{
	node_t node;
	dispatch_msg_t first;
	uint64_t number;

	start(&node, two_servers);
	submit_prompt(&node, 1, 90000, 0);
	first = expect_dispatch(&node, 1, 1);
	for (number = 2; number < 20; number++) {
		dispatch_msg_t other;

		submit(&node, number, REQUEST_MODEL, 0);
		other = expect_dispatch(&node, number, 1);
		assert_string_not_equal(other.server, first.server);
		assert_true(other.priority > first.priority);
	}
	for (number = 1; number < 20; number++)
		finish(&node, number, 1, ATTEMPT_COMPLETE, 10);
	stop(&node);
}

/* Guards against long prompts that starve because short prompts take all memory
 * that becomes free. */
static void places_a_long_prompt_among_short_ones(void **state)
{
	node_t node;
	uint64_t number, done = 1;
	int64_t now_us = 0;
	bool sent = false;

	start(&node, two_servers);
	node.holder.kv_limit = 100000;
	for (number = 2; number < 4000 && !sent; number++) {
		dispatch_action_t action;

		now_us += 10 * US_PER_MS;
		if (number == 500)
			submit_prompt(&node, 1, 90000, now_us);
		submit(&node, number, REQUEST_MODEL, now_us);
		while (dispatch_next(node.dispatch, &action))
			sent |= action.message.request == 1;
		/* Each answer takes 150 arrivals: both servers are full. */
		for (; done + 150 < number; done++)
			finish(&node, done + 1, 1, ATTEMPT_COMPLETE, now_us);
		dispatch_tick(node.dispatch, now_us);
	}
	assert_true(sent);
	dispatch_destroy(node.dispatch);
}

/* Guards against a prompt that needs most of a server's memory and starves,
 * because smaller long prompts take the memory as soon as some is free. */
static void places_the_largest_prompt_among_long_ones(void **state)
{
	node_t node;
	uint64_t running[1000] = { 0 }, number;
	size_t sent = 0, ended = 0;
	int64_t now_us = 0;

	start(&node, two_servers);
	node.holder.kv_limit = 100000;
	for (number = 2; number < 60 && running[sent] != 1; number++) {
		dispatch_action_t action = { 0 };
		size_t before = sent;

		now_us += 10 * US_PER_S;
		submit_prompt(&node, number, 40000, now_us);
		if (number == 10)
			submit_prompt(&node, 1, 90000, now_us);
		while (dispatch_next(node.dispatch, &action))
			if (action.message.type == TASK_MSG_DISPATCH)
				running[++sent] = action.message.request;
		/* Two prompts fit on a server and end in turn: one prompt runs
		 * as long as new prompts are sent. */
		if (ended + 1 < sent || (sent == before && ended < sent))
			finish(&node, running[++ended], 1, ATTEMPT_COMPLETE,
			       now_us + 5 * US_PER_S);
	}
	assert_int_equal(running[sent], 1);
	dispatch_destroy(node.dispatch);
}

/* Ends all attempts: those of requests with an odd number break off. Counts
 * them by the remainder of the number, and refusals. */
static void end_attempts(node_t *node, int sent[2], int *refused,
			 int64_t now_us)
{
	dispatch_action_t action;

	while (dispatch_next(node->dispatch, &action)) {
		const task_msg_t *message = &action.message;
		uint64_t odd = message->request % 2;

		if (message->type == TASK_MSG_REFUSE) {
			*refused += message->as.refuse.refusal ==
				    REFUSAL_CRASHES_SERVERS;
			continue;
		}
		sent[odd]++;
		finish(node, message->request,
		       message->as.dispatch.stream_id.attempt,
		       odd ? ATTEMPT_BROKEN : ATTEMPT_COMPLETE, now_us);
	}
}

/* As on the platform: three requests may reach servers after the third crash.
 */
static void same_request_crashes_server_after_server(void **state)
{
	enum { REQUESTS = 20, CRASHES_MAX = 6, PAUSE_S = 6, DEADLY = 7 };
	static const request_kind_t kinds[] = { REQUEST_MODEL, REQUEST_ACTION };
	size_t i;
	uint64_t j;

	for (i = 0; i < COUNT_OF(kinds); i++) {
		node_t node;
		int sent[2] = { 0 }, refused = 0;

		start(&node, two_servers);
		for (j = 1; j <= 2 * REQUESTS; j++) {
			int64_t now_us = (int64_t)j * PAUSE_S * US_PER_S;
			submit_msg_t message =
				message_of(kinds[i], 1000, now_us);

			message.content = DEADLY + j % 2;
			dispatch_submit(node.dispatch, j, &message, now_us);
			end_attempts(&node, sent, &refused, now_us);
			dispatch_tick(node.dispatch, now_us + US_PER_S);
			end_attempts(&node, sent, &refused, now_us + US_PER_S);
		}
		assert_in_range(sent[1], 3, CRASHES_MAX);
		assert_in_range(refused, REQUESTS - CRASHES_MAX, REQUESTS);
		assert_int_equal(sent[0], REQUESTS);
		stop(&node);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(same_request_crashes_server_after_server),
		cmocka_unit_test(spreads_requests_over_the_servers),
		cmocka_unit_test(sends_an_action_once),
		cmocka_unit_test(tries_another_server_after_a_failure),
		cmocka_unit_test(sends_the_incarnation_of_the_grant),
		cmocka_unit_test(ignores_messages_of_an_earlier_attempt),
		cmocka_unit_test(ends_the_request_when_the_caller_is_gone),
		cmocka_unit_test(refuses_at_the_deadline),
		cmocka_unit_test(sends_nothing_to_retired_servers),
		cmocka_unit_test(
			refuses_at_once_without_configuration_or_server),
		cmocka_unit_test(stops_retrying_when_the_budget_is_used_up),
		cmocka_unit_test(refuses_a_prompt_that_no_set_can_hold),
		cmocka_unit_test(
			places_two_oversized_prompts_one_after_the_other),
		cmocka_unit_test(releases_a_partial_set),
		cmocka_unit_test(draws_from_another_server),
		cmocka_unit_test(refuses_at_once_if_the_deadline_is_too_near),
		cmocka_unit_test(limits_accounts),
		cmocka_unit_test(separates_long_prompts),
		cmocka_unit_test(places_a_long_prompt_among_short_ones),
		cmocka_unit_test(places_the_largest_prompt_among_long_ones),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

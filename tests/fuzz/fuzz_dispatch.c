/**
 * Fuzzes the dispatcher with random submissions, load reports, failures,
 * messages of earlier attempts, changes of configuration, network partitions
 * and credit owners that do not answer.
 *
 * Checks that every request gets exactly one final answer by its deadline plus
 * one tick; that attempts are numbered in order, one at a time, and that an
 * action has at most one; that nothing is sent to a server out of service; and
 * that credits are released.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "process/dispatch.h"

enum {
	ENGINES = 6, /* the last two engines are in data centre b */
	SERVERS = 8, /* the engines and two plain servers */
	REQUESTS_MAX = 512,
	KV_TOKENS = 1000
};

#define TICK_US (50 * US_PER_MS)

#define CHECK(condition)                                                       \
	do {                                                                   \
		if (!(condition)) {                                            \
			fprintf(stderr, "check failed: %s:%d: %s\n", __FILE__, \
				__LINE__, #condition);                         \
			abort();                                               \
		}                                                              \
	} while (0)

typedef struct {
	bool answered;
	bool in_flight;
	request_kind_t kind;
	uint32_t attempt;
	int64_t deadline_us;
} oracle_t;

typedef enum { OWNER_GRANTS, OWNER_REFUSES, OWNER_SILENT } owner_t;

static struct {
	const uint8_t *data;
	size_t size;
	int64_t now_us;
	dispatch_t *dispatch;
	credit_holder_t *holder;
	owner_t owner;
	bool credits_used; /* the node renewed or presented a grant in use */
	uint64_t count; /* requests submitted */
	oracle_t requests[REQUESTS_MAX];
	uint8_t removed, retired; /* sets of servers, one bit per server */
	bool b_retired, b_reachable;
	int64_t version;
} sim;

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint8_t next_byte(void)
{
	if (!sim.size)
		return 0;
	sim.size--;
	return *sim.data++;
}

static bool may_serve(size_t server)
{
	if ((sim.removed | sim.retired) >> server & 1)
		return false;
	return server < 4 || server >= ENGINES ||
	       (sim.b_reachable && !sim.b_retired);
}

static void configure(uint8_t removed, uint8_t retired, uint8_t options)
{
	char text[4096];
	const char *comma = "";
	document_t *document;
	int length, i;

	sim.removed = removed;
	sim.retired = retired;
	sim.b_retired = options & 1;
	/* The plain service names its servers, so they cannot be removed. */
	sim.removed &= (1 << ENGINES) - 1;
	length = snprintf(
		text, sizeof(text),
		"{\"version\":%lld,\"data_centres\":[{\"name\":\"a\"},"
		"{\"name\":\"b\",\"retired\":%s}],\"classes\":[{\"name\":"
		"\"c\",\"deadline_ms\":5000}],\"limits\":{"
		"\"long_prompt_tokens\":300},\"accounts\":[{\"name\":\"acme\","
		"\"key_hash\":\"%064d\",\"requests_per_s\":%d,"
		"\"max_in_flight\":%d}],\"services\":[%s{\"name\":\"p\","
		"\"kind\":\"plain\",\"class\":\"c\",\"repeatable\":false,"
		"\"servers\":[\"e6\",\"e7\"]}],\"servers\":[",
		(long long)++sim.version, sim.b_retired ? "true" : "false", 0,
		options & 2 ? 5 : 0, options & 4 ? 3 : 0,
		options & 8 ? ""
			    : "{\"name\":\"m\",\"kind\":\"model\",\"model\":"
			      "\"m\",\"class\":\"c\"},");
	for (i = 0; i < SERVERS; i++) {
		if (sim.removed >> i & 1)
			continue;
		length += snprintf(
			text + length, sizeof(text) - (size_t)length,
			"%s{\"name\":\"e%d\",\"data_centre\":\"%s\",\"url\":"
			"\"http://127.0.0.1:%d\",\"retired\":%s,%s}",
			comma, i, i == 4 || i == 5 ? "b" : "a", 9000 + i,
			retired >> i & 1 ? "true" : "false",
			i < ENGINES ? "\"kind\":\"engine\",\"model\":\"m\","
				      "\"kv_tokens\":1000"
				    : "\"kind\":\"plain\"");
		comma = ",";
	}
	snprintf(text + length, sizeof(text) - (size_t)length, "]}");
	document = document_parse(text, strlen(text), NULL);
	CHECK(document);
	dispatch_configure(sim.dispatch, document, sim.now_us);
	document_unref(document);
}

static void check_dispatch(const task_msg_t *message)
{
	const dispatch_msg_t *sent = &message->as.dispatch;
	oracle_t *request = &sim.requests[message->request];
	size_t i;

	CHECK(message->request < sim.count);
	CHECK(!request->answered && !request->in_flight);
	CHECK(sent->stream_id.attempt == request->attempt + 1);
	CHECK(request->kind != REQUEST_ACTION || !request->attempt);
	CHECK(sim.now_us < request->deadline_us);
	CHECK(may_serve((size_t)(sent->server[1] - '0')));
	CHECK(sent->peer_count < GANG_SERVERS_MAX);
	for (i = 0; i < sent->peer_count; i++)
		CHECK(may_serve(
			(size_t)(strrchr(sent->peers[i], ':')[4] - '0')));
	request->in_flight = true;
	request->attempt++;
}

static void check_refusal(const task_msg_t *message)
{
	oracle_t *request = &sim.requests[message->request];

	CHECK(message->request < sim.count);
	CHECK(!request->answered);
	/* Without an attempt, no server ran the request. */
	if (!request->attempt)
		CHECK(message->as.refuse.outcome == OUTCOME_NOT_RUN);
	request->answered = true;
	request->in_flight = false;
}

/* @return true if the message renews a grant in use, or presents the part in
 * use of an expired grant. */
static bool states_use(const credit_msg_t *message)
{
	return message->id && message->minimum.slots > 0 &&
	       (message->type == CREDIT_RENEW ||
		message->type == CREDIT_PRESENT);
}

static void answer_credits(void)
{
	credit_msg_t message;

	while (credit_holder_next(sim.holder, &message)) {
		bool refused = sim.owner == OWNER_REFUSES &&
			       message.type != CREDIT_PRESENT;

		sim.credits_used |= states_use(&message);
		if (sim.owner == OWNER_SILENT || !message.id ||
		    message.type == CREDIT_RETURN)
			continue;
		message.type = refused ? CREDIT_REFUSAL : CREDIT_GRANT;
		message.lifetime_us = CREDIT_LIFETIME_US;
		message.retry_after_us = refused ? 20 * US_PER_MS : 0;
		credit_holder_receive(sim.holder, &message, sim.now_us);
	}
}

static void check_decisions(void)
{
	dispatch_action_t action;

	answer_credits();
	while (dispatch_next(sim.dispatch, &action)) {
		if (action.message.type == TASK_MSG_DISPATCH)
			check_dispatch(&action.message);
		else
			check_refusal(&action.message);
	}
}

static void submit(uint8_t what, uint8_t size, uint8_t limit)
{
	uint64_t blocks[4] = { what % 4u + 1, size / 64u, size, what };
	submit_msg_t message = { .kind = what % 8 == 7 ? REQUEST_ACTION
						       : REQUEST_MODEL,
				 .account = "acme",
				 .class_name = "c",
				 .max_tokens = 10,
				 .received_us = sim.now_us,
				 .block_count = 4,
				 .blocks = blocks };
	oracle_t *request = &sim.requests[sim.count];

	if (sim.count == REQUESTS_MAX)
		return;
	message.service[0] = message.kind == REQUEST_ACTION ? 'p' : 'm';
	message.prompt_tokens = 1 + (int64_t)size * size / 8;
	message.deadline_us =
		sim.now_us + (1 + limit) * INT64_C(20) * US_PER_MS;
	request->kind = message.kind;
	request->deadline_us = message.deadline_us;
	dispatch_submit(sim.dispatch, sim.count++, &message, sim.now_us);
}

static void finish(uint64_t number, uint32_t attempt, attempt_end_t end)
{
	const finished_msg_t message = { .attempt = attempt,
					 .end = end,
					 .delivered_tokens = 5 };
	oracle_t *request = &sim.requests[number];
	bool over = end == ATTEMPT_COMPLETE || end == ATTEMPT_CALLER_GONE;

	if (attempt == request->attempt || end == ATTEMPT_CALLER_GONE) {
		request->in_flight = false;
		if (over)
			request->answered = true;
	}
	dispatch_finished(sim.dispatch, number, &message, sim.now_us);
}

/* Ends an attempt of a request. For some values of how the message is about an
 * earlier attempt, as if it had crossed the message that starts a new one. */
static void finish_attempt(uint8_t which, uint8_t how)
{
	uint64_t number = sim.count ? which % sim.count : 0;
	const oracle_t *request = &sim.requests[number];
	uint32_t attempt = request->attempt;

	if (!sim.count || request->answered)
		return;
	if (how >= 200 && attempt > 1) {
		bool in_flight = request->in_flight;

		finish(number, attempt - 1, ATTEMPT_BROKEN);
		check_decisions();
		/* A request in flight is unchanged. A waiting request may be
		 * sent now, for other reasons. */
		CHECK(!in_flight || (request->in_flight && !request->answered &&
				     request->attempt == attempt));
		return;
	}
	if (how >= 180) {
		finish(number, attempt, ATTEMPT_CALLER_GONE);
		return;
	}
	if (request->in_flight)
		finish(number, attempt,
		       (attempt_end_t)(how % (ATTEMPT_TIMED_OUT + 1)));
}

static void report(uint8_t which, uint8_t figures)
{
	load_report_t message = { .incarnation = figures % 3u,
				  .cold = figures & 4,
				  .kv_total_tokens = KV_TOKENS,
				  .prefill_queued_tokens = figures * 10,
				  .prefill_tokens_per_s = 100 + figures * 10,
				  .shares_kv = figures & 8,
				  .role = figures % 64 ? ROLE_BOTH
						       : ROLE_DECODE,
				  .model_count = figures % 31 != 0,
				  .models = { "m" },
				  .taken_us = sim.now_us - figures * 1000,
				  .received_us = sim.now_us };

	snprintf(message.server, NAME_SIZE_BYTES, "e%d", which % SERVERS);
	dispatch_apply_report(sim.dispatch, &message, sim.now_us);
}

/* Advances the time. The request task ends requests in flight at their
 * deadline. */
static void tick(void)
{
	uint64_t number;

	sim.now_us += TICK_US;
	credit_holder_tick(sim.holder, sim.now_us);
	answer_credits();
	for (number = 0; number < sim.count; number++)
		if (sim.requests[number].in_flight &&
		    sim.requests[number].deadline_us <= sim.now_us) {
			finish(number, sim.requests[number].attempt,
			       ATTEMPT_DEADLINE);
			check_decisions();
		}
	dispatch_tick(sim.dispatch, sim.now_us);
	check_decisions();
	for (number = 0; number < sim.count; number++)
		CHECK(sim.requests[number].answered ||
		      sim.requests[number].deadline_us > sim.now_us);
}

static void first_token(uint8_t which)
{
	uint64_t number = sim.count ? which % sim.count : 0;
	const first_token_msg_t message = { sim.requests[number].attempt,
					    sim.now_us };

	dispatch_first_token(sim.dispatch, number, &message, sim.now_us);
}

static void cache_event(uint8_t which, uint8_t sequence)
{
	char name[NAME_SIZE_BYTES];

	snprintf(name, sizeof(name), "e%d", which % SERVERS);
	dispatch_cache_event(sim.dispatch, name, sequence, which & 16,
			     which % 4u + 1, sim.now_us);
}

static void apply(uint8_t code)
{
	uint8_t a = next_byte(), b = next_byte(), c = next_byte();

	switch (code % 16) {
	case 0:
		configure(a, b, c);
		break;
	case 1:
		sim.b_reachable = a & 1;
		dispatch_set_reachable(sim.dispatch, "b", sim.b_reachable,
				       sim.now_us);
		break;
	case 2:
		sim.owner = (owner_t)(a % 3);
		break;
	case 3:
		cache_event(a, b);
		break;
	case 4:
		first_token(a);
		break;
	case 5:
	case 6:
		report(a, b);
		break;
	case 7:
	case 8:
		tick();
		break;
	case 9:
	case 10:
	case 11:
		finish_attempt(a, b);
		break;
	default:
		submit(a, b, c);
		break;
	}
	check_decisions();
}

/* Checks that every request is answered, and that no credit is in use then. */
static void check_final_state(void)
{
	uint64_t number;
	int i;

	sim.owner = OWNER_GRANTS;
	for (i = 0; i < 120; i++)
		tick();
	for (number = 0; number < sim.count; number++)
		CHECK(sim.requests[number].answered);
	CHECK(!dispatch_waiting(sim.dispatch));
	CHECK(!dispatch_in_flight(sim.dispatch));
	sim.credits_used = false;
	for (i = 0; i < 100; i++)
		tick();
	CHECK(!sim.credits_used);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const credit_holder_conf_t credits = { .vm_id = "vm",
					       .incarnation = 1,
					       .server_block = { 100, 4 },
					       .account_block = 2 };
	uint8_t start;
	dispatch_conf_t conf = { .vm_id = "vm",
				 .incarnation = 1,
				 .data_centre = "a",
				 .queue_max = 20 };

	memset(&sim, 0, sizeof(sim));
	sim.data = data;
	sim.size = size;
	sim.now_us = US_PER_S;
	start = next_byte();
	conf.policy = (route_policy_t)(start % 4);
	sim.holder = credit_holder_create(&credits);
	sim.dispatch = dispatch_create(&conf, sim.holder);
	/* In some runs the first requests come before a configuration. */
	if (start < 224)
		configure(0, 0, 0);
	while (sim.size)
		apply(next_byte());
	check_final_state();
	dispatch_destroy(sim.dispatch);
	credit_holder_destroy(sim.holder);
	return 0;
}

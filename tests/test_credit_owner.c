/** Tests of the credit owner. Each table entry names the failure it detects. */
#include <string.h>

#include "base/mem.h"
#include "cases.h"
#include "process/credit_owner.h"

static const char members[2][NAME_SIZE_BYTES] = { "a", "b" };
static const credit_limit_t limit = { .amount = { 1000, 10 },
				      .requests_per_s = 20 };

typedef struct {
	credit_owner_t *owner;
	resource_t resource;
	int64_t now_us;
	uint64_t sequence;
	credit_msg_t answer; /**< last message of the owner */
	int answer_count; /**< messages that the last collect() took */
	uint64_t list_number; /**< number of the last requested list */
} fixture_t;

static void set_view(fixture_t *f, bool agreed, int32_t listed)
{
	credit_view_t view = { agreed, listed, 2, 2, members };

	credit_owner_set_view(f->owner, &view, f->now_us);
}

static void collect(fixture_t *f)
{
	credit_msg_t message;

	f->answer_count = 0;
	while (credit_owner_next(f->owner, &message)) {
		f->answer = message;
		if (!message.id)
			f->list_number = message.sequence;
		f->answer_count++;
	}
}

static void advance(fixture_t *f, int64_t time_us)
{
	int64_t end_us = f->now_us + time_us;

	for (; f->now_us < end_us; f->now_us += 50 * US_PER_MS)
		credit_owner_tick(f->owner, f->now_us);
	collect(f);
}

/* Returns a fixture whose owner has left its quarantine. */
static fixture_t start_owner(resource_kind_t kind)
{
	fixture_t f = { .now_us = US_PER_S };

	f.owner = credit_owner_create("a");
	resource_set(&f.resource, kind, "s");
	set_view(&f, true, 2);
	credit_owner_add_resource(f.owner, &f.resource, &limit, f.now_us);
	advance(&f, 35 * US_PER_S); /* no VM has left the view recently */
	return f;
}

static credit_msg_type_t send(fixture_t *f, credit_msg_type_t type,
			      const char *holder, uint64_t id, int64_t amount,
			      int64_t minimum)
{
	credit_msg_t message = { .type = type,
				 .resource = f->resource,
				 .id = id,
				 .sequence = ++f->sequence,
				 .amount = { amount, amount > 0 },
				 .minimum = { minimum, minimum > 0 },
				 .holder_incarnation = 7 };

	mem_strlcpy(message.holder, holder, sizeof(message.holder));
	collect(f);
	credit_owner_receive(f->owner, &message, f->now_us);
	collect(f);
	return f->answer.type;
}

static int64_t granted(const fixture_t *f)
{
	return credit_owner_granted(f->owner, &f->resource).kv_tokens;
}

static int64_t free_tokens(const fixture_t *f)
{
	return credit_owner_free_amount(f->owner, &f->resource, f->now_us)
		.kv_tokens;
}

typedef struct {
	credit_msg_type_t type;
	uint64_t id;
	int64_t amount, minimum;
	int64_t granted; /**< expected sum of the grants after the step */
} step_t;

static const struct {
	const char *guards;
	step_t steps[4];
	size_t count;
} sequences[] = {
	{ "a request that is served twice",
	  { { CREDIT_REQUEST, 1, 600, 600, 600 },
	    { CREDIT_REQUEST, 1, 600, 600, 600 } },
	  2 },
	{ "grants above the limit",
	  { { CREDIT_REQUEST, 1, 600, 600, 600 },
	    { CREDIT_REQUEST, 2, 600, 600, 600 } },
	  2 },
	{ "one holder takes the whole free amount as a block",
	  { { CREDIT_REQUEST, 1, 1000, 10, 250 } },
	  1 },
	{ "a repeated partial return frees its amount twice",
	  { { CREDIT_REQUEST, 1, 600, 600, 600 },
	    { CREDIT_RETURN, 1, 200, 400, 400 },
	    { CREDIT_RETURN, 1, 200, 400, 400 } },
	  3 },
	{ "a delayed renewal undoes a partial return",
	  { { CREDIT_REQUEST, 1, 600, 600, 600 },
	    { CREDIT_RETURN, 1, 200, 400, 400 },
	    { CREDIT_RENEW, 1, 600, 0, 400 } },
	  3 },
	{ "a returned grant stays granted",
	  { { CREDIT_REQUEST, 1, 600, 600, 600 },
	    { CREDIT_RETURN, 1, 600, 0, 0 },
	    { CREDIT_REQUEST, 2, 900, 900, 900 } },
	  3 },
	{ "a renewal of an unknown grant exceeds the limit",
	  { { CREDIT_REQUEST, 1, 600, 600, 600 },
	    { CREDIT_RENEW, 2, 600, 0, 600 } },
	  2 },
	{ "a presented grant above the limit is not counted",
	  { { CREDIT_REQUEST, 1, 600, 600, 600 },
	    { CREDIT_PRESENT, 2, 600, 0, 1200 } },
	  2 },
	{ "a request with a zero minimum is granted",
	  { { CREDIT_REQUEST, 1, 100, 0, 0 } },
	  1 },
	{ "numbers out of range are accepted",
	  { { CREDIT_REQUEST, 1, INT64_MAX, 1, 0 },
	    { CREDIT_PRESENT, 1, -5, 0, 0 } },
	  2 },
};

static void follows_sequences(void **state)
{
	size_t i, j;

	for (i = 0; i < COUNT_OF(sequences); i++) {
		fixture_t f = start_owner(RESOURCE_SERVER);

		for (j = 0; j < sequences[i].count; j++) {
			const step_t *step = &sequences[i].steps[j];

			send(&f, step->type, "b", step->id, step->amount,
			     step->minimum);
			if (granted(&f) != step->granted)
				fail_msg("%s: step %zu: %lld granted",
					 sequences[i].guards, j,
					 (long long)granted(&f));
		}
		credit_owner_destroy(f.owner);
	}
}

/* Fails if an expired grant is never freed, or if the grant is freed while its
 * holder, or an earlier process of the holder, may still use it. */
static void expires_after_lifetime_and_margin(void **state)
{
	fixture_t f = start_owner(RESOURCE_SERVER);

	send(&f, CREDIT_REQUEST, "b", 1, 600, 600);
	advance(&f, CREDIT_LIFETIME_US);
	assert_int_equal(granted(&f), 600);
	advance(&f, CREDIT_MARGIN_US + 100 * US_PER_MS);
	assert_int_equal(granted(&f), 0);
	credit_owner_destroy(f.owner);
}

/* Fails if a new owner grants on top of the grants of the old owner, or if a
 * list requested in an earlier quarantine ends the present quarantine. */
static void quarantines_a_new_owner(void **state)
{
	fixture_t f = start_owner(RESOURCE_SERVER);
	credit_msg_t list = { .type = CREDIT_PRESENT };
	uint64_t number;

	list.resource = f.resource;
	credit_owner_remove_resource(f.owner, &f.resource);
	assert_int_equal(send(&f, CREDIT_REQUEST, "b", 1, 10, 10),
			 CREDIT_REFUSAL);
	credit_owner_add_resource(f.owner, &f.resource, &limit, f.now_us);
	advance(&f, 50 * US_PER_MS);
	/* The owner requests the lists of both members. */
	assert_int_equal(f.answer_count, 2);
	assert_int_equal(f.answer.id, 0);
	number = f.answer.sequence;
	assert_int_equal(send(&f, CREDIT_REQUEST, "b", 1, 10, 10),
			 CREDIT_REFUSAL);
	assert_int_equal(send(&f, CREDIT_PRESENT, "b", 2, 700, 0),
			 CREDIT_GRANT);
	mem_strlcpy(list.holder, "a", sizeof(list.holder));
	list.sequence = number;
	credit_owner_receive(f.owner, &list, f.now_us);
	mem_strlcpy(list.holder, "b", sizeof(list.holder));
	list.holder_incarnation = 7;
	list.minimum = credit_digest(list.minimum, 2);
	list.sequence = number - 1;
	credit_owner_receive(f.owner, &list, f.now_us);
	assert_int_equal(free_tokens(&f), 0);
	list.sequence = number;
	list.minimum = credit_digest(list.minimum, 3); /* grant 3 was lost */
	credit_owner_receive(f.owner, &list, f.now_us);
	assert_int_equal(free_tokens(&f), 0);
	list.minimum = credit_digest((credit_amount_t){ 0 }, 2);
	credit_owner_receive(f.owner, &list, f.now_us);
	assert_int_equal(free_tokens(&f), 300);
	credit_owner_destroy(f.owner);
}

/* Fails if the owner grants after a pause of its process, during which another
 * node may have become owner. */
static void quarantines_after_a_pause(void **state)
{
	fixture_t f = start_owner(RESOURCE_SERVER);

	f.now_us += 3 * US_PER_S;
	assert_int_equal(send(&f, CREDIT_REQUEST, "a", 1, 10, 10),
			 CREDIT_REFUSAL);
	advance(&f, 2500 * US_PER_MS);
	assert_int_equal(send(&f, CREDIT_REQUEST, "a", 2, 10, 10),
			 CREDIT_GRANT);
	credit_owner_destroy(f.owner);
}

/* Fails if a block lets a holder send new requests to a retired or cold server,
 * or if the recall of the block ends requests in progress. */
static void recalls_blocks(void **state)
{
	int retire;

	for (retire = 0; retire < 2; retire++) {
		fixture_t f = start_owner(RESOURCE_SERVER);

		send(&f, CREDIT_REQUEST, "b", 1, 200, 10);
		send(&f, CREDIT_REQUEST, "b", 2, 100, 10);
		if (retire)
			credit_owner_set_retired(f.owner, &f.resource, true,
						 f.now_us);
		else
			credit_owner_set_slow_start(f.owner, &f.resource, 1, 0,
						    f.now_us);
		collect(&f);
		assert_int_equal(f.answer_count, 2);
		assert_int_equal(f.answer.type, CREDIT_REFUSAL);
		assert_int_equal(f.answer.sequence, 0);
		assert_int_equal(send(&f, CREDIT_REQUEST, "b", 3, 10, 10),
				 CREDIT_REFUSAL);
		assert_int_equal(send(&f, CREDIT_RENEW, "b", 1, 200, 0),
				 CREDIT_GRANT);
		assert_true(f.answer.retry_after_us > 0);
		send(&f, CREDIT_RETURN, "b", 1, 200, 0);
		send(&f, CREDIT_RETURN, "b", 2, 100, 0);
		assert_int_equal(send(&f, CREDIT_REQUEST, "b", 4, 10, 10),
				 retire ? CREDIT_REFUSAL : CREDIT_GRANT);
		credit_owner_destroy(f.owner);
	}
}

/* Fails if a server that restarted gets requests by blocks that were granted
 * before the restart. */
static void grants_for_one_incarnation_of_a_server(void **state)
{
	fixture_t f = start_owner(RESOURCE_SERVER);

	credit_owner_set_slow_start(f.owner, &f.resource, 10, 41, f.now_us);
	send(&f, CREDIT_REQUEST, "b", 1, 100, 10);
	assert_int_equal(f.answer.server_incarnation, 41);
	advance(&f, 200 * US_PER_MS);
	credit_owner_set_slow_start(f.owner, &f.resource, 10, 42, f.now_us);
	collect(&f);
	assert_int_equal(f.answer_count, 1);
	assert_int_equal(f.answer.type, CREDIT_REFUSAL);
	assert_int_equal(f.answer.id, 1);
	assert_int_equal(send(&f, CREDIT_RENEW, "b", 1, 100, 10), CREDIT_GRANT);
	assert_int_equal(f.answer.server_incarnation, 41);
	assert_true(f.answer.retry_after_us > 0);
	send(&f, CREDIT_REQUEST, "b", 2, 100, 10);
	assert_int_equal(f.answer.server_incarnation, 42);
	assert_int_equal(f.answer.retry_after_us, 0);
	credit_owner_destroy(f.owner);
}

static const struct {
	const char *guards;
	bool agreed;
	int32_t listed;
	const char *holder;
	int64_t amount;
	int64_t reported_use; /* -1: no load report */
	bool grant;
} shares[] = {
	{ "an agreed view limits too much", true, 2, "b", 900, -1, true },
	{ "unreachable nodes have no share", true, 4, "b", 501, 0, false },
	{ "the reachable nodes have no share", true, 4, "b", 500, 0, true },
	{ "a partitioned node exceeds its share", false, 4, "a", 251, 0,
	  false },
	{ "a partitioned node has no share", false, 4, "a", 250, 0, true },
	{ "a partitioned node grants to others", false, 4, "b", 10, 0, false },
};

static void grants_shares(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(shares); i++) {
		fixture_t f = start_owner(RESOURCE_SERVER);
		load_report_t report = { .server = "s",
					 .kv_total_tokens = 1000 };
		credit_msg_type_t type;

		set_view(&f, shares[i].agreed, shares[i].listed);
		advance(&f, US_PER_S);
		report.kv_used_tokens = shares[i].reported_use;
		report.taken_us = f.now_us;
		if (shares[i].reported_use >= 0)
			credit_owner_apply_report(f.owner, &report, f.now_us);
		type = send(&f, CREDIT_REQUEST, shares[i].holder, 1,
			    shares[i].amount, shares[i].amount);
		if ((type == CREDIT_GRANT) != shares[i].grant)
			fail_msg("%s", shares[i].guards);
		credit_owner_destroy(f.owner);
	}
}

/* Fails if the share of an owner grows while the node that had the difference
 * before still uses grants of its own. */
static void delays_a_larger_share(void **state)
{
	fixture_t f = start_owner(RESOURCE_SERVER);

	set_view(&f, true, 4);
	assert_int_equal(free_tokens(&f), 500);
	set_view(&f, true, 2);
	advance(&f, 2 * US_PER_S);
	assert_int_equal(free_tokens(&f), 500);
	advance(&f, 300 * US_PER_MS);
	assert_int_equal(free_tokens(&f), 1000);
	credit_owner_destroy(f.owner);
}

/* Fails if memory is granted again while an expired grant is still in use on
 * the server, or if the memory of an expired grant is never granted again. */
static void counts_expired_use(void **state)
{
	fixture_t f = start_owner(RESOURCE_SERVER);
	load_report_t report = { .server = "s", .kv_total_tokens = 1000 };
	credit_msg_t list = { .type = CREDIT_PRESENT,
			      .holder = "a",
			      .holder_incarnation = 7 };

	send(&f, CREDIT_REQUEST, "b", 1, 600, 600);
	send(&f, CREDIT_REQUEST, "b", 2, 100, 100);
	advance(&f, 2500 * US_PER_MS);
	assert_int_equal(granted(&f), 0);
	assert_int_equal(free_tokens(&f), 300);
	/* The list of another holder does not free the grants of b. */
	list.resource = f.resource;
	list.sequence = f.list_number;
	credit_owner_receive(f.owner, &list, f.now_us);
	assert_int_equal(free_tokens(&f), 300);
	send(&f, CREDIT_PRESENT, "b", 1, 400, 0);
	assert_int_equal(free_tokens(&f), 500);
	report.kv_used_tokens = 50;
	report.taken_us = f.now_us;
	credit_owner_apply_report(f.owner, &report, f.now_us);
	assert_int_equal(free_tokens(&f), 550);
	advance(&f, 35 * US_PER_S);
	assert_int_equal(free_tokens(&f), 1000);
	credit_owner_destroy(f.owner);
}

/* Fails if unreachable VMs are counted with their present share although they
 * held more before: c holds 700 of 1,000 when the view grows to 4 VMs. */
static void counts_grants_of_unreachable_vms(void **state)
{
	fixture_t f = start_owner(RESOURCE_SERVER);
	load_report_t report = { .server = "s", .kv_total_tokens = 1000 };

	send(&f, CREDIT_REQUEST, "c", 1, 700, 700);
	set_view(&f, true, 4);
	assert_int_equal(free_tokens(&f), 0);
	advance(&f, 2500 * US_PER_MS);
	assert_int_equal(free_tokens(&f), 300);
	report.kv_used_tokens = 100;
	report.taken_us = f.now_us;
	credit_owner_apply_report(f.owner, &report, f.now_us);
	/* The load report alone shows a smaller free amount. */
	assert_int_equal(free_tokens(&f), 300);
	credit_owner_destroy(f.owner);
}

/* Fails if a large request waits forever because small requests take whatever
 * is returned. */
static void serves_a_large_request_eventually(void **state)
{
	fixture_t f = start_owner(RESOURCE_SERVER);
	uint64_t id, large = 0;

	for (id = 1; id <= 400; id++) {
		send(&f, CREDIT_REQUEST, "b", id, 250, 250);
		if (id > 3)
			send(&f, CREDIT_RETURN, "b", id - 3, 250, 0);
		if (!large && send(&f, CREDIT_REQUEST, "a", 999, 900, 900) ==
				      CREDIT_GRANT)
			large = id;
		advance(&f, 50 * US_PER_MS);
		if (large)
			break;
	}
	assert_in_range(large, 1, 100);
	credit_owner_destroy(f.owner);
}

/* Fails if the granted rate exceeds the configured rate, or if requests of
 * expired or returned grants are lost from the rate. */
static void refills_rates(void **state)
{
	fixture_t f = start_owner(RESOURCE_ACCOUNT);
	uint64_t id = 0;
	int second, count = 0;

	while (send(&f, CREDIT_REQUEST, "b", ++id, 0, 0), id < 3)
		;
	for (second = 0; second < 50; second++) {
		credit_msg_t request = { .type = CREDIT_REQUEST,
					 .resource = f.resource,
					 .amount = { 0, 5 },
					 .minimum = { 0, 1 },
					 .holder = "b" };
		do {
			request.id = ++id;
			credit_owner_receive(f.owner, &request, f.now_us);
			collect(&f);
			if (f.answer.type == CREDIT_GRANT)
				count += f.answer.amount.slots;
		} while (f.answer.type == CREDIT_GRANT);
		assert_true(f.answer.retry_after_us > 0);
		advance(&f, 100 * US_PER_MS);
	}
	/* A burst of one second, then 20 per second for 4.9 s. */
	assert_in_range(count, 20 + 96, 20 + 98);
	credit_owner_destroy(f.owner);
}

/* Fails if a request outcome is counted twice, or if the totals of an earlier
 * process of the holder are compared with those of its new process. */
static void counts_outcomes_once(void **state)
{
	static const struct {
		uint64_t incarnation, completed, failed, more, more_failed;
	} steps[] = { { 7, 5, 0, 0, 0 }, { 7, 8, 1, 3, 1 }, { 7, 8, 1, 0, 0 },
		      { 7, 6, 1, 0, 0 }, { 8, 2, 0, 0, 0 }, { 8, 4, 0, 2, 0 } };
	fixture_t f = start_owner(RESOURCE_SERVER);
	uint64_t completed, failed;
	size_t i;

	for (i = 0; i < COUNT_OF(steps); i++) {
		credit_msg_t message = { .type = CREDIT_RETURN,
					 .resource = f.resource,
					 .holder = "b" };

		message.holder_incarnation = steps[i].incarnation;
		message.completed = steps[i].completed;
		message.failed = steps[i].failed;
		credit_owner_receive(f.owner, &message, f.now_us);
		credit_owner_take_outcomes(f.owner, &f.resource, &completed,
					   &failed);
		assert_int_equal(completed, steps[i].more);
		assert_int_equal(failed, steps[i].more_failed);
	}
	credit_owner_destroy(f.owner);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(follows_sequences),
		cmocka_unit_test(expires_after_lifetime_and_margin),
		cmocka_unit_test(quarantines_a_new_owner),
		cmocka_unit_test(quarantines_after_a_pause),
		cmocka_unit_test(recalls_blocks),
		cmocka_unit_test(grants_for_one_incarnation_of_a_server),
		cmocka_unit_test(grants_shares),
		cmocka_unit_test(delays_a_larger_share),
		cmocka_unit_test(counts_expired_use),
		cmocka_unit_test(counts_grants_of_unreachable_vms),
		cmocka_unit_test(serves_a_large_request_eventually),
		cmocka_unit_test(refills_rates),
		cmocka_unit_test(counts_outcomes_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

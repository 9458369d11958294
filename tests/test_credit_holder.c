/** Credit holder: each case names the failure that it guards against. */
#include <string.h>

#include "cases.h"
#include "process/credit_grant.h"
#include "process/credit_holder.h"

typedef struct {
	credit_holder_t *holder;
	resource_t resource;
	int64_t now_us;
	credit_msg_t sent; /**< last message of the holder */
	int count;
} fixture_t;

static const credit_amount_t small = { 10, 1 }, large = { 500, 1 };

static fixture_t start(resource_kind_t kind)
{
	credit_holder_conf_t conf = { .vm_id = "a",
				      .incarnation = 1000,
				      .server_block = { 100, 4 },
				      .account_block = 5 };
	fixture_t f = { .now_us = US_PER_S };

	f.holder = credit_holder_create(&conf);
	resource_set(&f.resource, kind, "s");
	return f;
}

static int collect(fixture_t *f)
{
	f->count = 0;
	while (credit_holder_next(f->holder, &f->sent))
		f->count++;
	return f->count;
}

static draw_result_t draw(fixture_t *f, uint64_t use, credit_amount_t amount)
{
	return credit_holder_draw(f->holder, &f->resource, use, amount,
				  f->now_us);
}

static bool valid(const fixture_t *f, uint64_t use)
{
	return credit_holder_use_valid(f->holder, &f->resource, use, f->now_us);
}

static int64_t available(const fixture_t *f)
{
	return credit_holder_available(f->holder, &f->resource, f->now_us)
		.kv_tokens;
}

/* Answers the last message as an owner would. */
static void reply(fixture_t *f, credit_msg_type_t type, credit_amount_t amount,
		  int64_t retry_after_us)
{
	credit_msg_t message = f->sent;

	message.type = type;
	message.amount = amount;
	message.lifetime_us = CREDIT_LIFETIME_US;
	message.retry_after_us = retry_after_us;
	credit_holder_receive(f->holder, &message, f->now_us);
}

/* Guards against a renewal that makes a grant valid for a server that has
 * restarted since. */
static void keeps_the_incarnation_of_a_grant(void **state)
{
	fixture_t f = start(RESOURCE_SERVER);
	credit_amount_t block = { 100, 4 };

	draw(&f, 1, small);
	collect(&f);
	f.sent.server_incarnation = 41;
	reply(&f, CREDIT_GRANT, block, 0);
	assert_int_equal(draw(&f, 1, small), DRAW_OK);
	assert_int_equal(
		credit_holder_server_incarnation(f.holder, &f.resource, 1), 41);
	assert_int_equal(
		credit_holder_server_incarnation(f.holder, &f.resource, 2), 0);
	f.now_us += CREDIT_RENEW_US;
	credit_holder_tick(f.holder, f.now_us);
	collect(&f);
	assert_int_equal(f.sent.type, CREDIT_RENEW);
	assert_int_equal(f.sent.server_incarnation, 41);
	f.sent.server_incarnation = 42;
	reply(&f, CREDIT_GRANT, block, 0);
	assert_int_equal(
		credit_holder_server_incarnation(f.holder, &f.resource, 1), 41);
	credit_holder_destroy(f.holder);
}

static void tick(fixture_t *f, int64_t time_us)
{
	f->now_us += time_us;
	credit_holder_tick(f->holder, f->now_us);
}

/* A holder with a block that use 1 has drawn from. */
static fixture_t start_with_block(void)
{
	fixture_t f = start(RESOURCE_SERVER);
	credit_amount_t block = { 100, 4 };

	assert_int_equal(draw(&f, 1, small), DRAW_PENDING);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_REQUEST);
	assert_int_equal(f.sent.amount.kv_tokens, 100);
	assert_int_equal(f.sent.minimum.kv_tokens, 10);
	reply(&f, CREDIT_GRANT, block, 0);
	assert_int_equal(draw(&f, 1, small), DRAW_OK);
	return f;
}

/* Guards against a message per short request, and a drawn amount that is
 * drawn again. */
static void draws_from_a_block(void **state)
{
	fixture_t f = start_with_block();
	uint64_t use;

	assert_int_equal(draw(&f, 1, small), DRAW_OK);
	for (use = 2; use <= 4; use++)
		assert_int_equal(draw(&f, use, small), DRAW_OK);
	assert_int_equal(collect(&f), 0);
	assert_int_equal(draw(&f, 5, small), DRAW_PENDING);
	assert_int_equal(collect(&f), 1);
	credit_holder_release(f.holder, &f.resource, 2, f.now_us);
	assert_int_equal(draw(&f, 5, small), DRAW_OK);
	credit_holder_destroy(f.holder);
}

/* Guards against a large prompt that takes up a block, and a reservation
 * that outlives its use. */
static void reserves_large_amounts(void **state)
{
	fixture_t f = start(RESOURCE_SERVER);

	assert_int_equal(draw(&f, 1, large), DRAW_PENDING);
	assert_int_equal(draw(&f, 1, large), DRAW_PENDING);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.minimum.kv_tokens, 500);
	reply(&f, CREDIT_REFUSAL, large, 20 * US_PER_MS);
	assert_int_equal(draw(&f, 1, large), DRAW_REFUSED);
	f.now_us += 20 * US_PER_MS;
	assert_int_equal(draw(&f, 1, large), DRAW_PENDING);
	assert_int_equal(collect(&f), 1);
	reply(&f, CREDIT_GRANT, large, 0);
	assert_int_equal(draw(&f, 2, small), DRAW_PENDING);
	collect(&f);
	assert_int_equal(draw(&f, 1, large), DRAW_OK);
	assert_true(valid(&f, 1));
	credit_holder_release(f.holder, &f.resource, 1, f.now_us);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_RETURN);
	assert_int_equal(f.sent.minimum.kv_tokens, 0);
	assert_false(valid(&f, 1));
	credit_holder_destroy(f.holder);
}

/* Guards against the use of an expired grant, by a holder that was paused and
 * finds answers and time-outs waiting in any order. */
static void never_uses_an_expired_grant(void **state)
{
	fixture_t f = start_with_block();

	f.now_us += CREDIT_RENEW_US;
	draw(&f, 2, small);
	credit_holder_tick(f.holder, f.now_us);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_RENEW);
	f.now_us += CREDIT_LIFETIME_US; /* pause */
	assert_false(valid(&f, 1));
	assert_int_equal(available(&f), 0);
	reply(&f, CREDIT_GRANT, f.sent.amount, 0);
	assert_false(valid(&f, 1));
	assert_int_equal(draw(&f, 3, small), DRAW_PENDING);
	credit_holder_destroy(f.holder);
}

/* Guards against an answer to an earlier message that extends a grant. */
static void ignores_answers_to_earlier_messages(void **state)
{
	fixture_t f = start_with_block();
	credit_msg_t first = f.sent;

	f.now_us += CREDIT_RENEW_US;
	draw(&f, 2, small);
	credit_holder_tick(f.holder, f.now_us);
	collect(&f);
	first.type = CREDIT_GRANT;
	first.lifetime_us = CREDIT_LIFETIME_US;
	f.now_us += CREDIT_RENEW_US - 1;
	credit_holder_receive(f.holder, &first, f.now_us);
	assert_true(valid(&f, 1));
	f.now_us += 1;
	assert_false(valid(&f, 1));
	credit_holder_destroy(f.holder);
}

/* Guards against lost messages, and an expiry counted from a repetition. */
static void repeats_unanswered_messages(void **state)
{
	fixture_t f = start(RESOURCE_SERVER);
	credit_amount_t block = { 100, 4 };
	uint64_t sequence;

	draw(&f, 1, small);
	collect(&f);
	sequence = f.sent.sequence;
	tick(&f, CREDIT_REPEAT_US);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.sequence, sequence);
	reply(&f, CREDIT_GRANT, block, 0);
	assert_int_equal(draw(&f, 1, small), DRAW_OK);
	f.now_us += CREDIT_LIFETIME_US - CREDIT_REPEAT_US;
	assert_false(valid(&f, 1));
	credit_holder_destroy(f.holder);
}

/* Guards against capacity that is held by a use nobody waits for. */
static void returns_what_nobody_waits_for(void **state)
{
	fixture_t f = start(RESOURCE_SERVER);

	draw(&f, 1, large);
	collect(&f);
	credit_holder_release(f.holder, &f.resource, 1, f.now_us);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_RETURN);
	f.sent.id--;
	reply(&f, CREDIT_GRANT, large, 0);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_RETURN);
	draw(&f, 2, large);
	collect(&f);
	tick(&f, 2 * US_PER_S);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_RETURN);
	credit_holder_destroy(f.holder);
}

/* Guards against new work from a recalled grant, and against giving back
 * what is in use. */
static void returns_the_unused_part_when_recalled(void **state)
{
	int renewal;

	for (renewal = 0; renewal < 2; renewal++) {
		fixture_t f = start_with_block();

		if (renewal) {
			draw(&f, 2, small);
			tick(&f, CREDIT_RENEW_US);
			assert_int_equal(collect(&f), 2);
			reply(&f, CREDIT_GRANT, f.sent.amount, 1);
			assert_int_equal(collect(&f), 0);
			credit_holder_release(f.holder, &f.resource, 2,
					      f.now_us);
		} else {
			f.sent.sequence = 0;
			reply(&f, CREDIT_REFUSAL, small, 1);
		}
		assert_int_equal(collect(&f), 1);
		assert_int_equal(f.sent.type, CREDIT_RETURN);
		assert_int_equal(f.sent.minimum.kv_tokens, 10);
		assert_int_equal(available(&f), 0);
		assert_true(valid(&f, 1));
		credit_holder_release(f.holder, &f.resource, 1, f.now_us);
		assert_int_equal(collect(&f), 1);
		assert_int_equal(f.sent.minimum.kv_tokens, 0);
		credit_holder_destroy(f.holder);
	}
}

/* Guards against grants that a new owner does not know, and an answer of the
 * old owner that is taken for one of the new. */
static void presents_to_a_new_owner(void **state)
{
	fixture_t f = start_with_block();
	credit_msg_t old;
	uint64_t id = f.sent.id;

	draw(&f, 2, large);
	collect(&f);
	old = f.sent;
	old.type = CREDIT_GRANT;
	old.lifetime_us = CREDIT_LIFETIME_US;
	credit_holder_owner_changed(f.holder, &f.resource, f.now_us);
	credit_holder_next(f.holder, &f.sent);
	assert_int_equal(f.sent.type, CREDIT_PRESENT);
	assert_int_equal(f.sent.id, id);
	assert_int_equal(f.sent.amount.kv_tokens, 100);
	credit_holder_next(f.holder, &f.sent);
	assert_int_equal(f.sent.id, 0);
	assert_int_equal(f.sent.minimum.slots, 1);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_REQUEST);
	credit_holder_receive(f.holder, &old, f.now_us);
	assert_int_equal(draw(&f, 2, large), DRAW_PENDING);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_RETURN);
	old.type = CREDIT_REFUSAL; /* the owner asks for the list */
	old.id = 0;
	old.sequence = 77;
	credit_holder_receive(f.holder, &old, f.now_us);
	assert_int_equal(collect(&f), 2);
	assert_int_equal(f.sent.sequence, 77);
	credit_holder_destroy(f.holder);
}

/* Guards against an owner that does not know what still runs after a grant
 * expired, and against new work from such a grant. */
static void presents_use_that_outlives_its_grant(void **state)
{
	fixture_t f = start_with_block();

	tick(&f, CREDIT_LIFETIME_US);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_PRESENT);
	assert_int_equal(f.sent.amount.kv_tokens, 10);
	assert_false(valid(&f, 1));
	reply(&f, CREDIT_GRANT, f.sent.amount, 0);
	assert_true(valid(&f, 1));
	credit_holder_release(f.holder, &f.resource, 1, f.now_us);
	assert_int_equal(available(&f), 0);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_RETURN);
	credit_holder_destroy(f.holder);
}

/* Guards against a rate that is spent twice or held back for good. */
static void spends_rates(void **state)
{
	fixture_t f = start(RESOURCE_ACCOUNT);
	credit_amount_t one = { 0, 1 }, five = { 0, 5 };

	assert_int_equal(draw(&f, 1, one), DRAW_PENDING);
	collect(&f);
	reply(&f, CREDIT_GRANT, five, 0);
	assert_int_equal(draw(&f, 1, one), DRAW_OK);
	assert_true(valid(&f, 1));
	credit_holder_release(f.holder, &f.resource, 1, f.now_us);
	assert_int_equal(
		credit_holder_available(f.holder, &f.resource, f.now_us).slots,
		4);
	tick(&f, CREDIT_RENEW_US);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(f.sent.type, CREDIT_RETURN);
	assert_int_equal(f.sent.minimum.slots, 1);
	tick(&f, CREDIT_RENEW_US);
	assert_int_equal(collect(&f), 0);
	credit_holder_destroy(f.holder);
}

/* Guards against credits that are kept through a shutdown, a failure that the
 * owner of the server learns late, and sends on slots that were granted before
 * the server failed. */
static void tells_the_owner_at_once(void **state)
{
	fixture_t f = start_with_block();

	draw(&f, 2, large);
	collect(&f);
	credit_holder_request_ended(f.holder, &f.resource, true);
	assert_int_equal(collect(&f), 0);
	credit_holder_request_ended(f.holder, &f.resource, false);
	/* The counts, and what is unused of the block. */
	assert_int_equal(collect(&f), 2);
	assert_int_equal(f.sent.type, CREDIT_RETURN);
	assert_int_equal(f.sent.completed, 1);
	assert_int_equal(f.sent.failed, 1);
	assert_int_equal(available(&f), 0);
	credit_holder_return_all(f.holder, f.now_us);
	assert_int_equal(collect(&f), 1);
	assert_int_equal(available(&f), 0);
	assert_true(valid(&f, 1));
	credit_holder_destroy(f.holder);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(draws_from_a_block),
		cmocka_unit_test(keeps_the_incarnation_of_a_grant),
		cmocka_unit_test(reserves_large_amounts),
		cmocka_unit_test(never_uses_an_expired_grant),
		cmocka_unit_test(ignores_answers_to_earlier_messages),
		cmocka_unit_test(repeats_unanswered_messages),
		cmocka_unit_test(returns_what_nobody_waits_for),
		cmocka_unit_test(returns_the_unused_part_when_recalled),
		cmocka_unit_test(presents_to_a_new_owner),
		cmocka_unit_test(presents_use_that_outlives_its_grant),
		cmocka_unit_test(spends_rates),
		cmocka_unit_test(tells_the_owner_at_once),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** Requests in progress by client account at all nodes, and fair shares. */
#include "admission/account_load.h"
#include "base/units.h"
#include "cases.h"

enum { SERVICE = 7, OTHER_SERVICE = 8, ACCOUNTS = 30 };

static void receive(account_load_t *load, uint64_t node, uint32_t account,
		    int32_t count, int64_t at_s)
{
	announcement_t message = { .node = node,
				   .accounts = { { SERVICE, account, count } },
				   .account_count = count > 0 };

	account_load_receive(load, &message, at_s * US_PER_S);
}

static int64_t held(const account_load_t *load, uint32_t account)
{
	return account_load_use(load, SERVICE, account, 100).held;
}

/* Guards against counts of requests that ended, or that count twice, after
 * announcements were lost or came twice, or their node died. */
static void follows_announcements(void **state)
{
	account_load_t *load = account_load_create();

	account_load_begin(load, SERVICE, 1);
	account_load_begin(load, OTHER_SERVICE, 1);
	receive(load, 5, 1, 3, 0);
	receive(load, 5, 1, 3, 0);
	receive(load, 6, 1, 4, 0);
	assert_int_equal(held(load, 1), 8);
	/* Those between were lost. */
	receive(load, 5, 2, 2, 2);
	assert_int_equal(held(load, 1), 5);
	assert_int_equal(held(load, 2), 2);
	account_load_expire(load, 2 * US_PER_S);
	assert_int_equal(held(load, 1), 5);
	account_load_expire(load, 2 * US_PER_S + 1);
	assert_int_equal(held(load, 1), 1);
	assert_int_equal(held(load, 2), 2);
	account_load_end(load, SERVICE, 1);
	account_load_end(load, SERVICE, 1);
	account_load_end(load, SERVICE, 2);
	assert_int_equal(held(load, 1), 0);
	assert_int_equal(held(load, 2), 2);
	receive(load, 5, 2, 0, 3);
	assert_int_equal(held(load, 2), 0);
	account_load_destroy(load);
}

/* Guards against an announcement that lacks the accounts that use most, or that
 * exceeds its room. */
static void lists_the_largest(void **state)
{
	account_load_t *load = account_load_create();
	account_report_t reports[ANNOUNCED_ACCOUNTS_MAX];
	uint32_t account;
	size_t i, count;

	for (account = 1; account <= ACCOUNTS; account++)
		for (i = 0; i < account * 7 % (ACCOUNTS + 1); i++)
			account_load_begin(load, SERVICE, account);
	receive(load, 5, ACCOUNTS + 1, 1000, 0);
	count = account_load_list(load, reports, ANNOUNCED_ACCOUNTS_MAX);
	assert_int_equal(count, ANNOUNCED_ACCOUNTS_MAX);
	for (i = 0; i < count; i++)
		assert_int_equal(reports[i].count, ACCOUNTS - (int)i);
	account_load_destroy(load);
}

/* Guards against shares that leave slots unused, or that give to one account
 * what another one lacks. */
static void shares_slots_fairly(void **state)
{
	static const struct {
		const char *name;
		int32_t counts[4]; /* the first one asks for one more */
		int64_t slots, share;
	} cases[] = {
		{ "alone", { 500 }, 100, INT64_MAX },
		{ "all get what they ask for", { 50, 30 }, 100, INT64_MAX },
		{ "equal", { 50, 50 }, 100, 50 },
		{ "one uses little", { 90, 10 }, 100, 90 },
		{ "two are large", { 200, 200, 10, 10 }, 100, 40 },
		{ "it has nothing yet", { 0, 200, 200 }, 100, 49 },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		account_load_t *load = account_load_create();
		account_use_t use;

		for (j = 0; j < 4; j++)
			receive(load, j + 1, (uint32_t)j + 1,
				cases[i].counts[j], 0);
		use = account_load_use(load, SERVICE, 1, cases[i].slots);
		if (use.held != cases[i].counts[0] ||
		    use.share != cases[i].share)
			fail_msg("%s: share %lld", cases[i].name,
				 (long long)use.share);
		account_load_destroy(load);
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(follows_announcements),
		cmocka_unit_test(lists_the_largest),
		cmocka_unit_test(shares_slots_fairly),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

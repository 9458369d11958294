/** Retry budget: failures must not multiply the load on what is left. */
#include "base/units.h"
#include "cases.h"
#include "request/retry.h"

static const struct {
	int requests;
	int32_t percent;
	int64_t asked_us; /* when the retries are asked for */
	int granted;
} cases[] = {
	{ 0, 10, 0, RETRY_FLOOR }, /* the floor alone */
	{ 1000, 10, 0, RETRY_FLOOR + 100 },
	{ 1000, 10, 9 * US_PER_S, RETRY_FLOOR + 100 },
	{ 1000, 10, 10 * US_PER_S, RETRY_FLOOR }, /* no longer recent */
	{ 1000, 100, 0, RETRY_FLOOR + 1000 },
	{ 1000, 0, 0, 0 }, /* switched off */
};

/* Guards against a retry storm. */
static void grants_a_share_of_recent_requests(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		retry_budget_t budget = { 0 };
		int granted = 0, n;

		for (n = 0; n < cases[i].requests; n++)
			retry_count_request(&budget, 0);
		for (n = 0; n < 5000; n++)
			granted += retry_take(&budget, cases[i].percent,
					      cases[i].asked_us);
		assert_int_equal(granted, cases[i].granted);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(grants_a_share_of_recent_requests),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

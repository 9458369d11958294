/**
 * Guards against retry storms: without a budget, retries of failed requests
 * multiply the load on the servers that are left.
 */
#include "base/units.h"
#include "cases.h"
#include "request/retry.h"

static const struct {
	int requests;
	int32_t percent;
	int64_t taken_us; /* when the retries are taken; requests come at 0 */
	int granted;
} cases[] = {
	{ 0, 10, 0, RETRY_FLOOR }, /* only the floor */
	{ 1000, 10, 0, RETRY_FLOOR + 100 },
	{ 1000, 10, 9 * US_PER_S, RETRY_FLOOR + 100 },
	{ 1000, 10, 10 * US_PER_S, RETRY_FLOOR }, /* outside the window */
	{ 1000, 100, 0, RETRY_FLOOR + 1000 },
	{ 1000, 0, 0, 0 }, /* retries disabled */
};

/* Guards against more, or fewer, retries than floor and percentage allow. */
static void grants_a_percentage_of_recent_requests(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		retry_budget_t budget = { 0 };
		int granted = 0, n;

		for (n = 0; n < cases[i].requests; n++)
			retry_count_request(&budget, 0);
		for (n = 0; n < 5000; n++)
			granted += retry_take(&budget, cases[i].percent,
					      cases[i].taken_us);
		assert_int_equal(granted, cases[i].granted);
	}
}

static const struct {
	int64_t first_us, again_us; /* when all retries are taken */
	int granted_again;
} window_cases[] = {
	{ 0, 9 * US_PER_S, 0 },
	/* Less than a window apart, in seconds that are a window apart. */
	{ US_PER_S - 1, 10 * US_PER_S, 0 },
	{ US_PER_S - 1, 11 * US_PER_S - 1, 0 },
	{ US_PER_S - 1, 11 * US_PER_S, RETRY_FLOOR },
};

/* Guards against retries that leave the window too early. */
static void counts_retries_for_a_whole_window(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(window_cases); i++) {
		retry_budget_t budget = { 0 };
		int granted = 0;

		while (retry_take(&budget, 10, window_cases[i].first_us))
			granted++;
		assert_int_equal(granted, RETRY_FLOOR);
		granted = 0;
		while (retry_take(&budget, 10, window_cases[i].again_us))
			granted++;
		assert_int_equal(granted, window_cases[i].granted_again);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(grants_a_percentage_of_recent_requests),
		cmocka_unit_test(counts_retries_for_a_whole_window),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** Ramp of cold servers: what grows it, what resets it. */
#include "cases.h"
#include "process/warmup.h"

enum {
	COMPLETED,
	REPORT,
	COLD_REPORT,
	RESTARTED,
	OLD_REPORT,
	REFUSED,
	RESTORED
};

static const struct {
	const char *guards; /* against this failure */
	struct {
		int event;
		int32_t count; /* completed, or running in the report */
		int32_t in_flight;
	} steps[4];
	size_t step_count;
	int32_t limit;
} cases[] = {
	{ "a server of unknown state gets its full load", { { 0 } }, 0, 2 },
	{ "a ramp that does not grow",
	  { { COMPLETED, 1, 1 }, { COMPLETED, 1, 2 } },
	  2,
	  4 },
	{ "more than the configured maximum",
	  { { COMPLETED, 9, 50 }, { COMPLETED, 50, 50 } },
	  2,
	  16 },
	{ "growth by requests that ran one after the other",
	  { { COMPLETED, 1, 0 }, { COMPLETED, 1, 0 }, { COMPLETED, 1, 0 } },
	  3,
	  2 },
	{ "a new owner stops a busy server", { { REPORT, 9, 9 } }, 1, 9 },
	{ "a cold report passes for evidence",
	  { { COLD_REPORT, 9, 9 } },
	  1,
	  2 },
	{ "load for a server that turned cold",
	  { { REPORT, 9, 9 }, { COLD_REPORT, 9, 9 } },
	  2,
	  2 },
	{ "load for a server that restarted",
	  { { REPORT, 9, 9 }, { RESTARTED, 9, 9 } },
	  2,
	  2 },
	{ "a late report of before a restart resets again",
	  { { REPORT, 9, 9 }, { OLD_REPORT, 0, 9 } },
	  2,
	  9 },
	{ "load after a refused connection",
	  { { REPORT, 9, 9 }, { REFUSED, 0, 9 } },
	  2,
	  2 },
	{ "full load for a restored server",
	  { { REPORT, 9, 9 }, { RESTORED, 0, 0 } },
	  2,
	  2 },
	{ "requests from before a reset count as evidence",
	  { { REPORT, 9, 9 }, { REFUSED, 0, 9 }, { COMPLETED, 9, 0 } },
	  3,
	  2 },
	{ "requests that were cancelled delay the ramp for good",
	  { { REPORT, 9, 9 },
	    { REFUSED, 0, 9 },
	    { COMPLETED, 1, 0 },
	    { COMPLETED, 2, 2 } },
	  4,
	  4 },
};

static void apply(warmup_t *warmup, int event, int32_t count, int32_t in_flight)
{
	load_report_t report = { .incarnation = 1, .taken_us = 100 };

	report.running = count;
	report.cold = event == COLD_REPORT;
	if (event == RESTARTED)
		report.incarnation = 2;
	if (event == OLD_REPORT) {
		report.incarnation = 3;
		report.taken_us = 50;
	}
	if (event == COMPLETED)
		warmup_completed(warmup, count, in_flight);
	else if (event == REFUSED)
		warmup_reset(warmup, WARMUP_CONNECTION_REFUSED, in_flight);
	else if (event == RESTORED)
		warmup_reset(warmup, WARMUP_RESTORED, in_flight);
	else
		warmup_report(warmup, &report, in_flight);
}

static void follows_the_ramp(void **state)
{
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		warmup_t warmup;

		warmup_start(&warmup, 2, 16);
		for (j = 0; j < cases[i].step_count; j++)
			apply(&warmup, cases[i].steps[j].event,
			      cases[i].steps[j].count,
			      cases[i].steps[j].in_flight);
		if (warmup_limit(&warmup) != cases[i].limit)
			fail_msg("%s: limit %d instead of %d", cases[i].guards,
				 warmup_limit(&warmup), cases[i].limit);
	}
}

/* Guards against new requests while old ones are above the new limit. */
static void sends_nothing_above_the_limit(void **state)
{
	warmup_t warmup;

	warmup_start(&warmup, 2, 16);
	apply(&warmup, REPORT, 9, 9);
	apply(&warmup, COLD_REPORT, 9, 9);
	assert_false(warmup_may_send(&warmup, 9));
	assert_false(warmup_may_send(&warmup, 2));
	assert_true(warmup_may_send(&warmup, 1));
}

/* Guards against a changed configuration that makes a server warm or cold. */
static void keeps_the_state_when_configured(void **state)
{
	warmup_t warmup;

	warmup_start(&warmup, 2, 16);
	warmup_configure(&warmup, 1, 32);
	assert_int_equal(warmup_limit(&warmup), 1);
	warmup_completed(&warmup, 100, 100);
	assert_int_equal(warmup_limit(&warmup), 32);
	warmup_configure(&warmup, 1, 64);
	assert_int_equal(warmup_limit(&warmup), 64);
	warmup_configure(&warmup, 1, 8);
	assert_int_equal(warmup_limit(&warmup), 8);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(follows_the_ramp),
		cmocka_unit_test(sends_nothing_above_the_limit),
		cmocka_unit_test(keeps_the_state_when_configured),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

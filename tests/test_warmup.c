/** Slow start of cold servers: which events raise or reset the limit. */
#include "cases.h"
#include "process/warmup.h"

enum {
	COMPLETED, /**< requests completed */
	REPORT, /**< load report of a server that is not cold */
	COLD_REPORT,
	RESTARTED, /**< load report with a new incarnation */
	OLD_REPORT, /**< load report older than the newest one */
	REFUSED, /**< connection refused */
	RESTORED /**< server in service again */
};

static const struct {
	const char *guards_against;
	struct {
		int event;
		int32_t count; /**< completed, or running in the load report */
		int32_t in_flight;
	} steps[4];
	size_t step_count;
	int32_t limit; /**< expected after the steps */
} cases[] = {
	{ "a server of unknown state gets the full limit", { { 0 } }, 0, 2 },
	{ "a limit that does not grow",
	  { { COMPLETED, 1, 1 }, { COMPLETED, 1, 2 } },
	  2,
	  4 },
	{ "a limit above the configured maximum",
	  { { COMPLETED, 9, 50 }, { COMPLETED, 50, 50 } },
	  2,
	  16 },
	{ "requests that ran one after the other raise the limit",
	  { { COMPLETED, 1, 0 }, { COMPLETED, 1, 0 }, { COMPLETED, 1, 0 } },
	  3,
	  2 },
	{ "a new owner resets the limit of a busy server",
	  { { REPORT, 9, 9 } },
	  1,
	  9 },
	{ "a report of a cold server counts as evidence",
	  { { COLD_REPORT, 9, 9 } },
	  1,
	  2 },
	{ "a server that turned cold keeps its limit",
	  { { REPORT, 9, 9 }, { COLD_REPORT, 9, 9 } },
	  2,
	  2 },
	{ "a server that restarted keeps its limit",
	  { { REPORT, 9, 9 }, { RESTARTED, 9, 9 } },
	  2,
	  2 },
	{ "a delayed report from before a restart resets the limit",
	  { { REPORT, 9, 9 }, { OLD_REPORT, 0, 9 } },
	  2,
	  9 },
	{ "a server that refused a connection keeps its limit",
	  { { REPORT, 9, 9 }, { REFUSED, 0, 9 } },
	  2,
	  2 },
	{ "a restored server keeps its limit",
	  { { REPORT, 9, 9 }, { RESTORED, 0, 0 } },
	  2,
	  2 },
	{ "requests sent before a reset count as evidence",
	  { { REPORT, 9, 9 }, { REFUSED, 0, 9 }, { COMPLETED, 9, 0 } },
	  3,
	  2 },
	{ "cancelled requests stop the growth of the limit for ever",
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
		warmup_count_completed(warmup, count, in_flight);
	else if (event == REFUSED)
		warmup_reset(warmup, WARMUP_CONNECTION_REFUSED, in_flight);
	else if (event == RESTORED)
		warmup_reset(warmup, WARMUP_RESTORED, in_flight);
	else
		warmup_update(warmup, &report, in_flight);
}

/* Guards against the failures that the cases name. */
static void limit_follows_events(void **state)
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
			fail_msg("case \"%s\": limit %d instead of %d",
				 cases[i].guards_against, warmup_limit(&warmup),
				 cases[i].limit);
	}
}

/*
 * Guards against new requests to a server that still runs more requests than
 * its limit, which was reset meanwhile.
 */
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

/*
 * Guards against changed limits in the configuration that make a cold server
 * count as warm, or reset a warm one.
 */
static void changed_limits_keep_the_state(void **state)
{
	warmup_t warmup;

	warmup_start(&warmup, 2, 16);
	warmup_configure(&warmup, 1, 32);
	assert_int_equal(warmup_limit(&warmup), 1);
	warmup_count_completed(&warmup, 100, 100);
	assert_int_equal(warmup_limit(&warmup), 32);
	warmup_configure(&warmup, 1, 64);
	assert_int_equal(warmup_limit(&warmup), 64);
	warmup_configure(&warmup, 1, 8);
	assert_int_equal(warmup_limit(&warmup), 8);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(limit_follows_events),
		cmocka_unit_test(sends_nothing_above_the_limit),
		cmocka_unit_test(changed_limits_keep_the_state),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

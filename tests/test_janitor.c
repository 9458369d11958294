/** Streams of holders that are gone. */
#include <string.h>

#include "cases.h"
#include "base/units.h"
#include "process/janitor.h"

#define STREAM "vm1.a.1.1"

enum { SEEN, RESTARTED, DEAD, LISTED, UNLISTED };

static const struct {
	const char *guards;
	const char *stream;
	int events[4];
	size_t count;
	int64_t grace_us; /**< 0: never cancelled */
} cases[] = {
	{ "a running stream is cancelled", STREAM, { SEEN }, 1, 0 },
	{ "a stream outlives its process",
	  STREAM,
	  { SEEN, RESTARTED },
	  2,
	  JANITOR_GRACE_US },
	{ "a cut VM loses its streams", STREAM, { SEEN, LISTED, DEAD }, 3, 0 },
	{ "streams of a cut VM are cancelled while the platform is down",
	  STREAM,
	  { SEEN, DEAD },
	  2,
	  0 },
	{ "a stream outlives its VM",
	  STREAM,
	  { SEEN, UNLISTED, DEAD },
	  3,
	  JANITOR_GRACE_US },
	{ "a VM that the list lacks loses its streams",
	  STREAM,
	  { SEEN, UNLISTED },
	  2,
	  0 },
	{ "a stream of a VM that went before this process started stays",
	  STREAM,
	  { UNLISTED },
	  1,
	  JANITOR_UNKNOWN_GRACE_US },
	{ "a stream that is not ours is cancelled",
	  "foreign",
	  { UNLISTED },
	  1,
	  0 },
	{ "a VM that came back loses its streams",
	  STREAM,
	  { SEEN, UNLISTED, DEAD, SEEN },
	  4,
	  0 },
};

static void apply(janitor_t *orphans, int event)
{
	static const char *const with[] = { "vm1", "vm2" };

	switch (event) {
	case SEEN:
		janitor_holder_seen(orphans, "vm1", 10);
		break;
	case RESTARTED:
		janitor_holder_seen(orphans, "vm1", 11);
		break;
	case DEAD:
		janitor_holder_dead(orphans, "vm1");
		break;
	case LISTED:
		janitor_vm_list(orphans, with, 2);
		break;
	case UNLISTED:
		janitor_vm_list(orphans, with + 1, 1);
		break;
	}
}

static void cancels_after_the_grace_period(void **state)
{
	janitor_cancel_t cancel;
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		janitor_t *orphans = janitor_create();
		const char *ids[] = { cases[i].stream };
		int64_t now_us, cancelled_us = 0;

		for (j = 0; j < cases[i].count; j++)
			apply(orphans, cases[i].events[j]);
		for (now_us = US_PER_S; now_us < 100 * US_PER_S;
		     now_us += 100 * US_PER_MS) {
			janitor_list(orphans, "s", ids, 1, now_us);
			if (!cancelled_us &&
			    janitor_next(orphans, &cancel, now_us))
				cancelled_us = now_us - US_PER_S;
		}
		if (cancelled_us != cases[i].grace_us)
			fail_msg("%s: cancelled after %lld us", cases[i].guards,
				 (long long)cancelled_us);
		janitor_destroy(orphans);
	}
}

/* Guards against a lost cancellation, and one without an end. */
static void repeats_until_the_list_is_clear(void **state)
{
	janitor_t *orphans = janitor_create();
	static const char *const ids[] = { STREAM, "vm1.b.2.1" };
	janitor_cancel_t cancel;
	int64_t now_us = US_PER_S + JANITOR_GRACE_US;

	janitor_holder_seen(orphans, "vm1", 11);
	janitor_list(orphans, "s", ids, 2, US_PER_S);
	janitor_list(orphans, "t", ids, 1, US_PER_S);
	assert_int_equal(janitor_count(orphans), 2);
	assert_true(janitor_next(orphans, &cancel, now_us));
	assert_string_equal(cancel.id, STREAM);
	assert_true(janitor_next(orphans, &cancel, now_us));
	assert_false(janitor_next(orphans, &cancel, now_us));
	now_us += JANITOR_REPEAT_US;
	assert_true(janitor_next(orphans, &cancel, now_us));
	janitor_list(orphans, "s", NULL, 0, now_us);
	janitor_forget(orphans, "t");
	assert_int_equal(janitor_count(orphans), 0);
	assert_false(janitor_next(orphans, &cancel, now_us + US_PER_S * 9));
	janitor_destroy(orphans);
}

/* Guards against the cancellation of a new process's streams whose heartbeat
 * came after the list. */
static void looks_again_before_it_cancels(void **state)
{
	janitor_t *orphans = janitor_create();
	static const char *const ids[] = { STREAM };
	janitor_cancel_t cancel;

	janitor_holder_seen(orphans, "vm1", 9);
	janitor_list(orphans, "s", ids, 1, US_PER_S);
	janitor_holder_seen(orphans, "vm1", 10);
	assert_false(janitor_next(orphans, &cancel, 9 * US_PER_S));
	janitor_destroy(orphans);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cancels_after_the_grace_period),
		cmocka_unit_test(repeats_until_the_list_is_clear),
		cmocka_unit_test(looks_again_before_it_cancels),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

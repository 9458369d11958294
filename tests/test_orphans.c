/**
 * Guards against streams that stay on an engine, and use its memory, after
 * their node died, and against cancelled streams of nodes that still serve
 * them. The id of a stream names its node. Heartbeats, the membership view and
 * the platform's VM list show whether the node still runs.
 */
#include <string.h>

#include "cases.h"
#include "base/units.h"
#include "process/orphans.h"

/* VM, incarnation (10 in hexadecimal), request and attempt. */
#define STREAM "vm1.a.1.1"

/*
 * Events about vm1: a heartbeat of incarnation 10; a heartbeat of incarnation
 * 11; vm1 is dead in the membership view; the platform's VM list has vm1; the
 * list lacks vm1.
 */
enum { SEEN, RESTARTED, DEAD, LISTED, UNLISTED };

static const struct {
	const char *guards; /**< the failure that the case guards against */
	const char *stream;
	int events[4];
	size_t count; /**< number of events */
	/** Time from the first list to the cancellation; 0: never. */
	int64_t grace_us;
} cases[] = {
	{ "a running stream is cancelled", STREAM, { SEEN }, 1, 0 },
	{ "a stream outlives its process",
	  STREAM,
	  { SEEN, RESTARTED },
	  2,
	  ORPHAN_GRACE_US },
	{ "a partitioned VM loses its streams",
	  STREAM,
	  { SEEN, LISTED, DEAD },
	  3,
	  0 },
	{ "streams of a partitioned VM are cancelled in a platform outage",
	  STREAM,
	  { SEEN, DEAD },
	  2,
	  0 },
	{ "a stream outlives its VM",
	  STREAM,
	  { SEEN, UNLISTED, DEAD },
	  3,
	  ORPHAN_GRACE_US },
	{ "a live VM that is not in the VM list loses its streams",
	  STREAM,
	  { SEEN, UNLISTED },
	  2,
	  0 },
	{ "a stream of a VM that was removed before this start stays",
	  STREAM,
	  { UNLISTED },
	  1,
	  ORPHAN_UNKNOWN_GRACE_US },
	{ "a stream with an id of another program is cancelled",
	  "foreign",
	  { UNLISTED },
	  1,
	  0 },
	{ "a VM that is alive again loses its streams",
	  STREAM,
	  { SEEN, UNLISTED, DEAD, SEEN },
	  4,
	  0 },
};

static void apply(orphans_t *orphans, int event)
{
	static const char *const vms[] = { "vm1", "vm2" };

	switch (event) {
	case SEEN:
		orphans_node_alive(orphans, "vm1", 10);
		break;
	case RESTARTED:
		orphans_node_alive(orphans, "vm1", 11);
		break;
	case DEAD:
		orphans_node_dead(orphans, "vm1");
		break;
	case LISTED:
		orphans_set_vms(orphans, vms, 2);
		break;
	case UNLISTED:
		orphans_set_vms(orphans, vms + 1, 1);
		break;
	}
}

static void cancels_after_the_grace_period(void **state)
{
	orphan_cancel_t cancel;
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		orphans_t *orphans = orphans_create();
		const char *ids[] = { cases[i].stream };
		int64_t now_us, cancelled_us = 0;

		for (j = 0; j < cases[i].count; j++)
			apply(orphans, cases[i].events[j]);
		for (now_us = US_PER_S; now_us < 100 * US_PER_S;
		     now_us += 100 * US_PER_MS) {
			orphans_apply_list(orphans, "s", ids, 1, now_us);
			if (!cancelled_us &&
			    orphans_next_cancel(orphans, &cancel, now_us))
				cancelled_us = now_us - US_PER_S;
		}
		if (cancelled_us != cases[i].grace_us)
			fail_msg("%s: cancelled after %lld us", cases[i].guards,
				 (long long)cancelled_us);
		orphans_destroy(orphans);
	}
}

/*
 * Guards against a stream that stays on an engine because its cancellation was
 * lost, and against cancellations that are repeated after the engine's list no
 * longer has the stream or the server was removed.
 */
static void repeats_cancellation_until_stream_is_unlisted(void **state)
{
	orphans_t *orphans = orphans_create();
	static const char *const ids[] = { STREAM, "vm1.b.2.1" };
	orphan_cancel_t cancel;
	int64_t now_us = US_PER_S + ORPHAN_GRACE_US;

	orphans_node_alive(orphans, "vm1", 11);
	orphans_apply_list(orphans, "s", ids, 2, US_PER_S);
	orphans_apply_list(orphans, "t", ids, 1, US_PER_S);
	assert_int_equal(orphans_count(orphans), 2);
	assert_true(orphans_next_cancel(orphans, &cancel, now_us));
	assert_string_equal(cancel.id, STREAM);
	assert_true(orphans_next_cancel(orphans, &cancel, now_us));
	assert_false(orphans_next_cancel(orphans, &cancel, now_us));
	now_us += ORPHAN_REPEAT_US;
	assert_true(orphans_next_cancel(orphans, &cancel, now_us));
	orphans_apply_list(orphans, "s", NULL, 0, now_us);
	orphans_remove_server(orphans, "t");
	assert_int_equal(orphans_count(orphans), 0);
	assert_false(
		orphans_next_cancel(orphans, &cancel, now_us + US_PER_S * 9));
	orphans_destroy(orphans);
}

/*
 * Guards against the cancellation of streams of a process that just started:
 * an engine lists them before the first heartbeat of the process arrives, so
 * the node still counts as the old process.
 */
static void keeps_stream_when_heartbeat_follows_list(void **state)
{
	orphans_t *orphans = orphans_create();
	static const char *const ids[] = { STREAM };
	orphan_cancel_t cancel;

	orphans_node_alive(orphans, "vm1", 9);
	orphans_apply_list(orphans, "s", ids, 1, US_PER_S);
	orphans_node_alive(orphans, "vm1", 10);
	assert_false(orphans_next_cancel(orphans, &cancel, 9 * US_PER_S));
	orphans_destroy(orphans);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(cancels_after_the_grace_period),
		cmocka_unit_test(repeats_cancellation_until_stream_is_unlisted),
		cmocka_unit_test(keeps_stream_when_heartbeat_follows_list),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

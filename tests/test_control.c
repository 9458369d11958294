/**
 * Rules of the control task without sockets: the version in force, phases of
 * the shutdown, load digests, other data centres, watchers of the
 * configuration.
 */
#include <stdio.h>
#include <string.h>

#include "cases.h"
#include "process/digest.h"
#include "process/drain.h"
#include "process/remote.h"
#include "process/rendezvous.h"
#include "version/inforce.h"

/* Guards against a node that goes back to an older configuration. */
static void version_never_goes_back(void **state)
{
	static const struct {
		const char *text;
		inforce_result_t result;
		int64_t version;
	} offers[] = {
		{ "{\"version\":5}", INFORCE_APPLIED, 5 },
		{ "{\"version\":4}", INFORCE_STALE, 5 },
		{ "{ \"version\" : 5 }", INFORCE_SAME, 5 },
		{ "{\"version\":5,\"change_id\":\"x\"}", INFORCE_CONFLICT, 5 },
		{ "{\"version\":7}", INFORCE_APPLIED, 7 },
		{ "{\"version\":6}", INFORCE_STALE, 7 },
		{ "{\"version\":5}", INFORCE_STALE, 7 },
	};
	inforce_t *inforce = inforce_create();
	size_t i;

	assert_int_equal(inforce_version(inforce), 0);
	assert_null(inforce_document(inforce));
	for (i = 0; i < COUNT_OF(offers); i++) {
		document_t *document = document_parse(
			offers[i].text, strlen(offers[i].text), NULL);

		assert_non_null(document);
		assert_int_equal(inforce_offer(inforce, document),
				 offers[i].result);
		document_unref(document);
		assert_int_equal(inforce_version(inforce), offers[i].version);
	}
	assert_string_equal(document_change_id(inforce_document(inforce)), "");
	inforce_destroy(inforce);
}

typedef struct {
	int64_t at_ms;
	enum { SIGNAL, IDLE_0, IDLE_1, TICK } event;
	int32_t pending;
	drain_phase_t phase;
	bool cut_off;
} drain_step_t;

static const struct {
	const char *guards_against;
	drain_step_t steps[10];
} drains[] = {
	{ "a balancer that still sends requests to a closed port",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 4999, TICK, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false } } },
	{ "requests that are cut off by one idle task of two",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false },
	    { 6000, IDLE_0, 0, DRAIN_FINISHING, false },
	    { 6001, IDLE_0, 0, DRAIN_FINISHING, false },
	    { 6500, TICK, 0, DRAIN_FINISHING, false },
	    { 7000, IDLE_1, 0, DRAIN_FINISHING, false },
	    { 7001, TICK, 0, DRAIN_RETURNING, false },
	    { 7050, TICK, 0, DRAIN_RETURNING, false },
	    { 7101, TICK, 0, DRAIN_STOPPED, false } } },
	{ "an outcome of an action that is not recorded",
	  { { 0, SIGNAL, 1, DRAIN_NOTICE, false },
	    { 5000, TICK, 1, DRAIN_FINISHING, false },
	    { 5001, IDLE_0, 1, DRAIN_FINISHING, false },
	    { 5001, IDLE_1, 1, DRAIN_FINISHING, false },
	    { 5002, TICK, 1, DRAIN_FINISHING, false },
	    { 5100, TICK, 0, DRAIN_RETURNING, false } } },
	{ "a shutdown that never ends",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false },
	    { 59999, TICK, 0, DRAIN_FINISHING, false },
	    { 60000, TICK, 0, DRAIN_RETURNING, true } } },
	{ "a second signal that restarts or shortens the notice",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 3000, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 4999, TICK, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false },
	    { 5001, SIGNAL, 0, DRAIN_FINISHING, false } } },
	{ "a task that was idle before it was told to drain",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 1000, IDLE_0, 0, DRAIN_NOTICE, false },
	    { 1000, IDLE_1, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false },
	    { 5001, TICK, 0, DRAIN_FINISHING, false } } },
};

static void shuts_down_in_order(void **state)
{
	const drain_conf_t conf = { 5 * US_PER_S, 60 * US_PER_S, 2 };
	size_t i, s;

	for (i = 0; i < COUNT_OF(drains); i++) {
		drain_t drain;

		drain_init(&drain, &conf);
		assert_false(drain_tick(&drain, 0, 0));
		for (s = 0; s < 10 && drains[i].steps[s].phase; s++) {
			const drain_step_t *step = &drains[i].steps[s];
			int64_t now_us = step->at_ms * US_PER_MS;

			if (step->event == SIGNAL)
				drain_signal(&drain, now_us);
			else if (step->event == TICK)
				drain_tick(&drain, step->pending, now_us);
			else
				drain_idle(&drain, step->event - IDLE_0);
			if (drain.phase != step->phase ||
			    drain.cut_off != step->cut_off)
				fail_msg("case \"%s\" step %zu: phase %s",
					 drains[i].guards_against, s,
					 drain_phase_text(drain.phase));
		}
	}
}

static load_report_t report_of(int server, int64_t kv_used_tokens)
{
	load_report_t report = { .incarnation = 1,
				 .kv_total_tokens = 1000,
				 .kv_used_tokens = kv_used_tokens,
				 .prefill_tokens_per_s = 1000 };

	snprintf(report.server, sizeof(report.server), "e%d", server);
	return report;
}

/* Guards against figures that are never sent, or sent without need. */
static void digest_sends_changes(void **state)
{
	digest_t *digest = digest_create();
	load_report_t report = report_of(1, 100), sent[4];
	int64_t now_us = 10 * US_PER_S;

	digest_update(digest, &report);
	assert_int_equal(digest_take(digest, 0, now_us, sent, 4), 0);
	assert_int_equal(digest_take(digest, 1, now_us, sent, 4), 1);
	report.kv_used_tokens = 120;
	digest_update(digest, &report);
	now_us += US_PER_S;
	assert_int_equal(digest_take(digest, 1, now_us, sent, 4), 0);
	report.kv_used_tokens = 160;
	digest_update(digest, &report);
	now_us += US_PER_S;
	assert_int_equal(digest_take(digest, 1, now_us, sent, 4), 1);
	assert_int_equal(sent[0].kv_used_tokens, 160);
	report.cold = true;
	digest_update(digest, &report);
	now_us += 250 * US_PER_MS;
	assert_int_equal(digest_take(digest, 1, now_us, sent, 4), 1);
	now_us += 5 * US_PER_S;
	assert_int_equal(digest_take(digest, 1, now_us, sent, 4), 1);
	digest_resend(digest);
	now_us += 250 * US_PER_MS;
	assert_int_equal(digest_take(digest, 1, now_us, sent, 4), 1);
	digest_drop(digest, "e1");
	now_us += 10 * US_PER_S;
	assert_int_equal(digest_take(digest, 1, now_us, sent, 4), 0);
	digest_destroy(digest);
}

/* Guards against control traffic above the target at 32 nodes. */
static void digest_keeps_its_budget(void **state)
{
	enum { SERVERS = 14, RECEIVERS = 31, SECONDS = 60 };
	digest_t *digest = digest_create();
	load_report_t sent[32];
	int64_t now_us = 0, bytes = 0, times[SERVERS + 1] = { 0 };
	int step, server;
	size_t count, i;

	for (step = 0; step < SECONDS * 4; step++) {
		now_us += 250 * US_PER_MS;
		for (server = 1; server <= SERVERS; server++) {
			/* All change all the time, one of them the most. */
			int64_t swing = server == 1 ? 900 : 300;
			load_report_t report =
				report_of(server, step % 2 ? swing : 0);

			digest_update(digest, &report);
		}
		count = digest_take(digest, RECEIVERS, now_us, sent, 32);
		if (count)
			bytes += RECEIVERS *
				 ((int64_t)count * DIGEST_ENTRY_BYTES +
				  DIGEST_HEADER_BYTES);
		for (i = 0; i < count; i++)
			times[sent[i].server[1] == '1' && !sent[i].server[2]
				      ? 1
				      : 2]++;
	}
	assert_in_range(bytes / SECONDS, DIGEST_BYTES_PER_S / 2,
			DIGEST_BYTES_PER_S * 11 / 10);
	assert_true(times[1] > 0);
	assert_true(times[2] > 0);
	digest_destroy(digest);
}

/* Guards against requests to a data centre that cannot be reached. */
static void remote_sites_need_summaries(void **state)
{
	remote_table_t *table = remote_create();
	const remote_member_t listed[] = { { "b1", "10.0.1.1:1", 0, false },
					   { "b2", "10.0.1.2:1", 0, false } };
	const remote_member_t heard[] = { { "b3", "10.0.1.3:1", 9, true },
					  { "b1", "10.0.1.1:1", 8, false } };
	char names[4][NAME_SIZE_BYTES];
	int64_t now_us = US_PER_S;

	remote_seed(table, "b", listed, 2);
	assert_false(remote_find(table, "b")->reachable);
	assert_int_equal(remote_find(table, "b")->count, 2);
	/* A summary without members tells nothing of an unknown dc. */
	assert_false(remote_summary(table, "b", 3, NULL, 0, true, now_us));
	assert_true(remote_summary(table, "b", 3, heard, 2, true, now_us));
	assert_true(remote_find(table, "b")->reachable);
	assert_int_equal(remote_candidates(remote_find(table, "b"), names, 4),
			 1);
	assert_string_equal(names[0], "b1");
	assert_int_equal(remote_member(table, "b3")->incarnation, 9);
	/* The VM list lags behind what the dc says itself. */
	remote_seed(table, "b", listed, 2);
	assert_null(remote_member(table, "b2"));
	now_us += 2 * US_PER_S;
	assert_false(remote_summary(table, "b", 2, NULL, 0, false, now_us));
	assert_int_equal(remote_find(table, "b")->config_version, 3);
	assert_int_equal(remote_find(table, "b")->last_direct_us, US_PER_S);
	assert_false(remote_tick(table, 3 * US_PER_S, now_us + US_PER_S));
	assert_true(remote_tick(table, 3 * US_PER_S, now_us + 3 * US_PER_S));
	assert_false(remote_find(table, "b")->reachable);
	assert_true(remote_summary(table, "b", 3, NULL, 0, true, now_us));
	remote_destroy(table);
}

/* Guards against a data centre without a watch when both watchers fail. */
static void watchers_are_replaced(void **state)
{
	char names[6][NAME_SIZE_BYTES], rest[6][NAME_SIZE_BYTES];
	int32_t first[2], second[2];
	size_t i, count = 0;

	for (i = 0; i < 6; i++)
		snprintf(names[i], NAME_SIZE_BYTES, "vm-%zu", i);
	assert_int_equal(rendezvous_top("configuration", names, 6, 2, first),
			 2);
	assert_int_not_equal(first[0], first[1]);
	for (i = 0; i < 6; i++)
		if ((int32_t)i != first[0] && (int32_t)i != first[1])
			memcpy(rest[count++], names[i], NAME_SIZE_BYTES);
	assert_int_equal(rendezvous_top("configuration", rest, 4, 2, second),
			 2);
	/* One failure keeps the other watcher. */
	memcpy(rest[count++], names[first[1]], NAME_SIZE_BYTES);
	assert_int_equal(rendezvous_top("configuration", rest, 5, 2, second),
			 2);
	assert_int_equal(second[0], 4);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(version_never_goes_back),
		cmocka_unit_test(shuts_down_in_order),
		cmocka_unit_test(digest_sends_changes),
		cmocka_unit_test(digest_keeps_its_budget),
		cmocka_unit_test(remote_sites_need_summaries),
		cmocka_unit_test(watchers_are_replaced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

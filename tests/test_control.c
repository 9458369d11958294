/**
 * Rules of the control task, without sockets: the configuration version in
 * force, the phases of the shutdown, load digests, reachability of other data
 * centres, and the nodes that watch the configuration.
 */
#include <stdio.h>
#include <string.h>

#include "cases.h"
#include "connection/engine.h"
#include "process/digest.h"
#include "process/drain.h"
#include "process/remote.h"
#include "process/rendezvous.h"
#include "version/inforce.h"

/*
 * Guards against a node that applies an older configuration, received late from
 * the platform or a peer, or a different one with the version in force.
 */
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
	int64_t at_ms; /**< time of the event */
	enum { SIGNAL, IDLE_0, IDLE_1, TICK } event;
	int32_t pending; /**< unfinished operations of the control task */
	drain_phase_t phase; /**< expected after the event */
	bool timed_out; /**< expected after the event */
} drain_step_t;

static const struct {
	const char *guards_against;
	drain_step_t steps[10];
} drains[] = {
	{ "requests refused before the load balancer knows of the shutdown",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 4999, TICK, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false } } },
	{ "requests of a busy task cancelled because the other task is idle",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false },
	    { 6000, IDLE_0, 0, DRAIN_FINISHING, false },
	    { 6001, IDLE_0, 0, DRAIN_FINISHING, false },
	    { 6500, TICK, 0, DRAIN_FINISHING, false },
	    { 7000, IDLE_1, 0, DRAIN_FINISHING, false },
	    { 7001, TICK, 0, DRAIN_RETURNING, false },
	    { 7050, TICK, 0, DRAIN_RETURNING, false },
	    { 7101, TICK, 0, DRAIN_STOPPED, false } } },
	{ "a shutdown before the outcome of an action is recorded",
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
	    { 60000, TICK, 0, DRAIN_RETURNING, true },
	    { 60999, TICK, 0, DRAIN_RETURNING, true },
	    { 61000, TICK, 0, DRAIN_STOPPED, true } } },
	{ "answers that are cut while they are sent after the limit",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false },
	    { 5001, IDLE_1, 0, DRAIN_FINISHING, false },
	    { 60000, TICK, 1, DRAIN_RETURNING, true },
	    { 60101, TICK, 1, DRAIN_RETURNING, true },
	    { 60500, IDLE_0, 1, DRAIN_RETURNING, true },
	    { 60501, TICK, 1, DRAIN_RETURNING, true },
	    { 60600, TICK, 0, DRAIN_STOPPED, true } } },
	{ "a second signal that restarts or shortens the notice phase",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 3000, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 4999, TICK, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false },
	    { 5001, SIGNAL, 0, DRAIN_FINISHING, false } } },
	{ "a shutdown because tasks were idle before they had to drain",
	  { { 0, SIGNAL, 0, DRAIN_NOTICE, false },
	    { 1000, IDLE_0, 0, DRAIN_NOTICE, false },
	    { 1000, IDLE_1, 0, DRAIN_NOTICE, false },
	    { 5000, TICK, 0, DRAIN_FINISHING, false },
	    { 5001, TICK, 0, DRAIN_FINISHING, false } } },
};

/* Guards against the failures that the cases name. */
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
			    drain.timed_out != step->timed_out)
				fail_msg("case \"%s\" step %zu: phase %s",
					 drains[i].guards_against, s,
					 drain_phase_text(drain.phase));
		}
	}
}

static load_report_t make_report(int server, int64_t kv_used_tokens)
{
	load_report_t report = { .incarnation = 1,
				 .kv_total_tokens = 1000,
				 .kv_used_tokens = kv_used_tokens,
				 .prefill_tokens_per_s = 1000 };

	snprintf(report.server, sizeof(report.server), "e%d", server);
	return report;
}

/*
 * Guards against changed figures that are not sent, against figures that are
 * never repeated, and against messages for changes too small to matter.
 */
static void digest_sends_changes(void **state)
{
	digest_t *digest = digest_create();
	load_report_t report = make_report(1, 100), sent[4];
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

/*
 * Guards against control traffic above the target at 32 nodes, when the load of
 * all servers changes all the time, and against servers that are never sent
 * because the change of another server is larger.
 */
static void digest_stays_in_budget(void **state)
{
	enum { SERVERS = 14, RECEIVERS = 31, SECONDS = 60 };
	digest_t *digest = digest_create();
	load_report_t sent[32];
	int64_t now_us = 0, bytes = 0, sent_counts[SERVERS + 1] = { 0 };
	int step, server;
	size_t count, i;

	for (step = 0; step < SECONDS * 4; step++) {
		now_us += 250 * US_PER_MS;
		for (server = 1; server <= SERVERS; server++) {
			/* Every server changes each time, server 1 the most. */
			int64_t swing = server == 1 ? 900 : 300;
			load_report_t report =
				make_report(server, step % 2 ? swing : 0);

			digest_update(digest, &report);
		}
		count = digest_take(digest, RECEIVERS, now_us, sent, 32);
		if (count)
			bytes += RECEIVERS *
				 ((int64_t)count * DIGEST_ENTRY_BYTES +
				  DIGEST_HEADER_BYTES);
		for (i = 0; i < count; i++)
			sent_counts[sent[i].server[1] == '1' &&
						    !sent[i].server[2]
					    ? 1
					    : 2]++;
	}
	assert_in_range(bytes / SECONDS, DIGEST_BYTES_PER_S / 2,
			DIGEST_BYTES_PER_S * 11 / 10);
	assert_true(sent_counts[1] > 0);
	assert_true(sent_counts[2] > 0);
	digest_destroy(digest);
}

/*
 * Guards against requests to an unreachable data centre: the VM list names its
 * members, but only a summary makes the data centre reachable.
 */
static void summary_makes_reachable(void **state)
{
	remote_table_t *table = remote_create();
	const remote_member_t listed[] = { { "b1", "10.0.1.1:1", 0, false },
					   { "b2", "10.0.1.2:1", 0, false } };
	const remote_member_t received[] = { { "b3", "10.0.1.3:1", 9, true },
					     { "b1", "10.0.1.1:1", 8, false } };
	char names[4][NAME_SIZE_BYTES];
	int64_t now_us = US_PER_S;

	remote_seed(table, "b", listed, 2);
	assert_false(remote_find(table, "b")->reachable);
	assert_int_equal(remote_find(table, "b")->count, 2);
	/* A summary without members does not add an unknown data centre. */
	assert_false(remote_summary(table, "b", 3, NULL, 0, true, now_us));
	assert_true(remote_summary(table, "b", 3, received, 2, true, now_us));
	assert_true(remote_find(table, "b")->reachable);
	assert_int_equal(remote_candidates(remote_find(table, "b"), names, 4),
			 1);
	assert_string_equal(names[0], "b1");
	assert_int_equal(remote_member(table, "b3")->incarnation, 9);
	/* The VM list is older than the summary, so b2 does not come back. */
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

/*
 * Guards against a data centre in which no node watches the configuration after
 * both publishers failed.
 */
static void publishers_are_replaced(void **state)
{
	char names[6][NAME_SIZE_BYTES], others[6][NAME_SIZE_BYTES];
	int32_t first[2], second[2];
	size_t i, count = 0;

	for (i = 0; i < 6; i++)
		snprintf(names[i], NAME_SIZE_BYTES, "vm-%zu", i);
	assert_int_equal(rendezvous_top("configuration", names, 6, 2, first),
			 2);
	assert_int_not_equal(first[0], first[1]);
	for (i = 0; i < 6; i++)
		if ((int32_t)i != first[0] && (int32_t)i != first[1])
			memcpy(others[count++], names[i], NAME_SIZE_BYTES);
	assert_int_equal(rendezvous_top("configuration", others, 4, 2, second),
			 2);
	/* If only one publisher fails, the other publisher stays. */
	memcpy(others[count++], names[first[1]], NAME_SIZE_BYTES);
	assert_int_equal(rendezvous_top("configuration", others, 5, 2, second),
			 2);
	assert_int_equal(second[0], 4);
}

/* Guards against numbers in the report of a server that overflow in what is
 * computed from them. */
static void numbers_of_a_report_overflow(void **state)
{
	static const struct {
		const char *tokens, *requests;
	} cases[] = {
		{ "9223372036854775807", "2147483647" },
		{ "0", "0" },
		{ "4611686018427387904", "1073741824" },
	};
	digest_t *digest = digest_create();
	load_report_t report, sent[4];
	int64_t now_us = 10 * US_PER_S;
	char text[400];
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		snprintf(
			text, sizeof(text),
			"{\"incarnation\":1,\"cold\":false,\"shares_kv\":false,"
			"\"role\":\"both\",\"models\":[\"m\"],"
			"\"kv_total\":%s,\"kv_used\":%s,\"running\":%s,"
			"\"queued\":%s,\"prefill_tokens_queued\":%s,"
			"\"prefill_tokens_per_s\":%s,\"time_us\":%s}",
			cases[i].tokens, cases[i].tokens, cases[i].requests,
			cases[i].requests, cases[i].tokens, cases[i].tokens,
			cases[i].tokens);
		assert_true(
			engine_parse_load(text, strlen(text), &report, NULL));
		strcpy(report.server, "e1");
		assert_in_range(report.kv_used_tokens, 0, TOKENS_MAX);
		assert_in_range(report.prefill_queued_tokens, 0, TOKENS_MAX);
		digest_update(digest, &report);
		now_us += US_PER_S;
		assert_int_equal(digest_take(digest, 1, now_us, sent, 4), 1);
	}
	digest_destroy(digest);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(version_never_goes_back),
		cmocka_unit_test(shuts_down_in_order),
		cmocka_unit_test(digest_sends_changes),
		cmocka_unit_test(digest_stays_in_budget),
		cmocka_unit_test(numbers_of_a_report_overflow),
		cmocka_unit_test(summary_makes_reachable),
		cmocka_unit_test(publishers_are_replaced),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

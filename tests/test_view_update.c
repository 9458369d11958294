/** Datagrams between nodes, and the age and completeness of view updates. */
#include <stdlib.h>
#include <string.h>

#include "base/units.h"
#include "cases.h"
#include "process/packet.h"

#define MS(count) ((int64_t)(count)*US_PER_MS)

static void encodes_load(void **state)
{
	load_item_t item = { .server_hash = 7,
			     .prefilling = 3,
			     .decode_pending = 2,
			     .decoding = 12,
			     .kv_tokens = 181000,
			     .backlog_us = MS(44),
			     .gap_us = MS(600),
			     .target_us = MS(350) };
	packet_t sent = {
		.type = PACKET_LOAD,
		.as.load = { .node = 3,
			     .sequence = 8,
			     .data_centre = "north",
			     .sent_boot_us = 77,
			     .store_reachable = true,
			     .link_mbps = 200,
			     .known_revisions = { 0, 41, 42 },
			     .wall_ms = 1782633895829,
			     .duty = DUTY_STATE_REQUESTED,
			     .usage_closed = 356526781,
			     .rates = { { 7, true, 2.3, MS(40) },
					{ 8, false, 0, MS(1) } },
			     .rate_count = 2,
			     .segments = { { .id = 0xbad0,
					     .is_blocked = true,
					     .trials = 2,
					     .seen_age_us = MS(9),
					     .harmless_age_us = -1,
					     .crashes = { { 7, MS(30) },
							  { 8, MS(2) } },
					     .crash_count = 2 },
					   { .id = 3, .harmless_age_us = 0 } },
			     .segment_count = 2,
			     .contents = { { .id = UINT64_MAX,
					     .harmless_age_us = -1,
					     .crashes = { { 9, MS(5) } },
					     .crash_count = 1 } },
			     .content_count = 1,
			     .address = "10.0.0.4:700",
			     .items = &item,
			     .item_count = 1 }
	};
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = packet_encode(&sent, data, sizeof(data)), i;
	packet_t got;

	assert_true(size > 0);
	assert_true(packet_decode(&got, data, size));
	assert_int_equal(got.type, PACKET_LOAD);
	assert_int_equal(got.as.load.node, 3);
	assert_int_equal(got.as.load.sequence, 8);
	assert_int_equal(got.as.load.sent_boot_us, 77);
	assert_true(got.as.load.store_reachable);
	assert_int_equal(got.as.load.link_mbps, 200);
	assert_int_equal(got.as.load.known_revisions[0], 0);
	assert_int_equal(got.as.load.known_revisions[2], 42);
	assert_string_equal(got.as.load.data_centre, "north");
	assert_int_equal(got.as.load.wall_ms, 1782633895829);
	assert_int_equal(got.as.load.duty, DUTY_STATE_REQUESTED);
	assert_int_equal(got.as.load.usage_closed, 356526781);
	assert_int_equal(got.as.load.rate_count, 2);
	assert_int_equal(got.as.load.rates[0].server_hash, 7);
	assert_true(got.as.load.rates[0].is_limited);
	assert_true(got.as.load.rates[0].per_s == 2.3);
	assert_int_equal(got.as.load.rates[0].age_us, MS(40));
	assert_false(got.as.load.rates[1].is_limited);
	assert_int_equal(got.as.load.segment_count, 2);
	assert_memory_equal(got.as.load.segments, sent.as.load.segments,
			    2 * sizeof(segment_report_t));
	assert_int_equal(got.as.load.content_count, 1);
	assert_memory_equal(got.as.load.contents, sent.as.load.contents,
			    sizeof(segment_report_t));
	assert_string_equal(got.as.load.address, "10.0.0.4:700");
	assert_int_equal(got.as.load.item_count, 1);
	assert_int_equal(got.as.load.items[0].server_hash, 7);
	assert_int_equal(got.as.load.items[0].prefilling, 3);
	assert_int_equal(got.as.load.items[0].decode_pending, 2);
	assert_int_equal(got.as.load.items[0].decoding, 12);
	assert_int_equal(got.as.load.items[0].kv_tokens, 181000);
	assert_int_equal(got.as.load.items[0].backlog_us, MS(44));
	assert_int_equal(got.as.load.items[0].gap_us, MS(600));
	assert_int_equal(got.as.load.items[0].target_us, MS(350));
	packet_clear(&got);
	/* A truncated datagram must not crash the node. */
	for (i = 0; i < size; i++)
		if (packet_decode(&got, data, i))
			packet_clear(&got);
	assert_int_equal(packet_encode(&sent, data, 4), 0);
}

/* Guards against a node that falls silent because its load does not fit into an
 * announcement. */
static void encodes_as_much_load_as_fits(void **state)
{
	enum { SERVERS = 200 };
	load_item_t items[SERVERS];
	packet_t sent = { .type = PACKET_LOAD,
			  .as.load = { .node = 3,
				       .data_centre = "north",
				       .items = items,
				       .item_count = SERVERS } };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size, i;
	packet_t got;

	for (i = 0; i < SERVERS; i++)
		items[i] = (load_item_t){ .server_hash = (uint32_t)i,
					  .prefilling = 1,
					  .kv_tokens = 400000,
					  .backlog_us = MS(900) };
	size = packet_encode(&sent, data, sizeof(data));
	assert_true(size > PACKET_SIZE_MAX_BYTES * 3 / 4);
	assert_true(packet_decode(&got, data, size));
	assert_true(got.as.load.item_count > 0);
	for (i = 0; i < got.as.load.item_count; i++)
		assert_int_equal(got.as.load.items[i].server_hash, i);
	packet_clear(&got);
}

static void add(change_log_t *log, const char *name, int64_t revision,
		int64_t at_ms)
{
	view_change_t change = { .name = (char *)name,
				 .revision = revision,
				 .spec = "{\"state\":\"ready\"}" };

	change_log_add(log, &change, MS(at_ms));
}

static void encodes_view_update(void **state)
{
	change_log_t *log = change_log_create();
	packet_t sent = { .type = PACKET_VIEW_UPDATE }, got;
	view_update_t *update = &sent.as.update;
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size;

	change_log_reset(log, 10);
	add(log, "s1", 12, 0);
	update->node = 5;
	update->echoed_boot_us = 900;
	update->view_count = 1;
	update->views[0] = (view_delta_t){ .kind = 2, .age_us = -40 };
	change_log_fill(log, 0, 1000, 14, &update->views[0]);
	size = packet_encode(&sent, data, sizeof(data));
	assert_true(packet_decode(&got, data, size));
	assert_int_equal(got.type, PACKET_VIEW_UPDATE);
	assert_int_equal(got.as.update.echoed_boot_us, 900);
	assert_int_equal(got.as.update.views[0].age_us, -40);
	assert_int_equal(got.as.update.views[0].revision, 14);
	assert_int_equal(got.as.update.views[0].from, 10);
	assert_string_equal(got.as.update.views[0].changes[0].name, "s1");
	assert_string_equal(got.as.update.views[0].changes[0].spec,
			    "{\"state\":\"ready\"}");
	packet_clear(&got);
	change_log_destroy(log);
}

/* A receiver and a sender of view updates, of which one has noticed that the
 * store came back from an older copy. */
static void changes_after_a_restored_store_are_skipped(void **state)
{
	const int64_t later = INT64_C(1) << 40;
	const struct {
		const char *guards_against;
		int64_t own_revision, from, revision;
		delta_result_t expected;
	} cases[] = {
		{ "a sender at a lower revision of a later copy", 164,
		  later + 160, later + 161, DELTA_LATER },
		{ "a sender at a higher revision of a later copy", 164,
		  later + 164, later + 170, DELTA_LATER },
		{ "a sender that has not noticed", later + 160, 163, 165,
		  DELTA_EARLIER },
		{ "a copy after the next", later + 160, 2 * later + 160,
		  2 * later + 170, DELTA_LATER },
		{ "the same copy", later + 160, later + 159, later + 161,
		  DELTA_APPLICABLE },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		view_delta_t view = { .kind = 1,
				      .from = cases[i].from,
				      .revision = cases[i].revision };

		if (view_delta_compare(&view, cases[i].own_revision) !=
		    cases[i].expected)
			fail_msg("case \"%s\"", cases[i].guards_against);
	}
}

/* Compares a receiver at a revision with a log whose changes have the revisions
 * 12, 14 and 14. */
static void compares_revisions(void **state)
{
	static const struct {
		const char *guards_against;
		int64_t own_revision;
		int64_t pruned_at_ms; /* when the sender's log was pruned */
		delta_result_t expected;
	} cases[] = {
		{ "changes applied twice", 20, 0, DELTA_CURRENT },
		{ "a view set back to an older revision", 25, 0,
		  DELTA_CURRENT },
		{ "changes that are skipped", 13, 0, DELTA_APPLICABLE },
		{ "a gap reported to a receiver that misses nothing", 10, 0,
		  DELTA_APPLICABLE },
		{ "changes that are no longer in the log", 11, 3500,
		  DELTA_GAP },
		{ "a receiver from before the log's first change", 5, 0,
		  DELTA_GAP },
		{ "a gap reported after a pruned change that is known", 14,
		  9000, DELTA_APPLICABLE },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		change_log_t *log = change_log_create();
		view_delta_t view = { .kind = 1 };

		change_log_reset(log, 10);
		add(log, "a", 12, 0);
		add(log, "b", 14, 1000);
		add(log, "c", 14, 1000);
		change_log_prune(log, MS(cases[i].pruned_at_ms));
		change_log_fill(log, 0, 1000, 20, &view);
		if (view_delta_compare(&view, cases[i].own_revision) !=
		    cases[i].expected)
			fail_msg("case \"%s\"", cases[i].guards_against);
		change_log_destroy(log);
	}
}

/* Guards against a receiver that gets only some of the changes of one revision
 * when the changes need several datagrams. */
static void keeps_changes_of_a_revision_together(void **state)
{
	change_log_t *log = change_log_create();
	int64_t own = 10;
	size_t next = 0, got = 0, datagrams = 0, i;

	change_log_reset(log, 10);
	for (i = 0; i < 9; i++)
		add(log, "name", 11 + (int64_t)i / 2, 0);
	do {
		view_delta_t view = { .kind = 1 };

		next = change_log_fill(log, next, 150, 16, &view);
		assert_int_equal(view_delta_compare(&view, own),
				 DELTA_APPLICABLE);
		for (i = 0; i < view.change_count; i++)
			got += view.changes[i].revision > own;
		own = view.revision;
		datagrams++;
	} while (next < change_log_count(log));
	assert_true(datagrams > 1);
	assert_int_equal(got, 9);
	assert_int_equal(own, 16);
	change_log_destroy(log);
}

/* Guards against changes that are sent again and again, and against a change
 * that a receiver lacks and never gets. */
static void sends_missing_changes(void **state)
{
	static const struct {
		int64_t known_revision;
		size_t first; /* index in the log */
	} cases[] = { { 10, 0 }, { 12, 1 }, { 13, 1 }, { 14, 3 }, { 99, 3 } };
	change_log_t *log = change_log_create();
	view_delta_t view = { .kind = 1 };
	size_t i;

	change_log_reset(log, 10);
	add(log, "a", 12, 0);
	add(log, "b", 14, 0);
	add(log, "c", 14, 0);
	for (i = 0; i < COUNT_OF(cases); i++)
		assert_int_equal(change_log_find(log, cases[i].known_revision),
				 cases[i].first);
	change_log_fill(log, 1, 1000, 20, &view);
	assert_int_equal(view.from, 12);
	assert_int_equal(view.revision, 20);
	assert_int_equal(view.change_count, 2);
	change_log_destroy(log);
}

/* Guards against changes that are lost between two publishers that got them in
 * different answers: a receiver gets some of them from one publisher, then all
 * from the other. */
static void combines_two_publishers(void **state)
{
	change_log_t *one = change_log_create(), *other = change_log_create();
	int64_t own = 10;
	view_delta_t view = { .kind = 1 };
	size_t got = 0, i;

	change_log_reset(one, own);
	change_log_reset(other, own);
	for (i = 0; i < 9; i++) {
		view_change_t change = { .name = "name",
					 .revision = 11 + (int64_t)i,
					 .spec = "{\"state\":\"ready\"}" };

		change_log_add(one, &change, 0);
		change_log_add(other, &change, 0);
	}
	assert_true(change_log_fill(one, 0, 150, 19, &view) < 9);
	for (i = 0; i < view.change_count; i++)
		got += view.changes[i].revision > own;
	own = view.revision;
	change_log_fill(other, 0, 5000, 25, &view);
	assert_int_equal(view_delta_compare(&view, own), DELTA_APPLICABLE);
	for (i = 0; i < view.change_count; i++)
		got += view.changes[i].revision > own;
	assert_int_equal(got, 9);
	change_log_destroy(one);
	change_log_destroy(other);
}

/* Guards against view updates that look fresher than they are. */
static void dates_views(void **state)
{
	static const struct {
		const char *guards_against;
		int64_t echoed_ms, age_ms, now_ms, expected_ms;
	} cases[] = {
		{ "a view older than the echo", 5000, 300, 5100, 4700 },
		{ "an update that waited in a socket", 5000, 300, 60000, 4700 },
		{ "a view completed after the echo", 5000, -200, 5300, 5200 },
		{ "a view confirmed in the future", 5000, -900, 5300, 5300 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		view_update_t update = { .echoed_boot_us =
						 MS(cases[i].echoed_ms) };
		view_delta_t view = { .age_us = MS(cases[i].age_ms) };

		if (view_delta_confirmed_boot_us(&update, &view,
						 MS(cases[i].now_ms)) !=
		    MS(cases[i].expected_ms))
			fail_msg("case \"%s\"", cases[i].guards_against);
	}
}

/* Guards against a node that keeps using a view that nobody watches: a change
 * must be in force within the bound, which includes a watch of the node's
 * own. */
static void distinguishes_fresh_views(void **state)
{
	static const struct {
		int64_t age_ms, bound_ms;
		bool fresh;
	} cases[] = {
		{ 0, 3000, true },     { 1700, 3000, true },
		{ 1900, 3000, false }, { 3399, 3000, false },
		{ 1300, 2000, false }, { 1100, 2000, true },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		int64_t bound_us = MS(cases[i].bound_ms);

		assert_int_equal(view_is_fresh(MS(cases[i].age_ms), bound_us),
				 cases[i].fresh);
		/* The age of a view just before its next confirmation. */
		assert_true(view_is_fresh(publisher_watch_us(bound_us) * 3 / 2,
					  bound_us));
	}
}

/* Decodes a recorded announcement of build 952d325, which lacks newer fields.
 * In the same way an earlier build ignores the newer fields of this build. */
static void decodes_earlier_builds(void **state)
{
	static const char recorded[] =
		"0a3f090300000000000000110500000000000000180822160d0700000010"
		"03180c20b501282c30d804380240de022a056e6f727468304d3801420300"
		"292a48c801";
	uint8_t data[sizeof(recorded) / 2];
	packet_t got;
	size_t i;

	for (i = 0; i < sizeof(data); i++) {
		char digits[3] = { recorded[2 * i], recorded[2 * i + 1] };

		data[i] = (uint8_t)strtoul(digits, NULL, 16);
	}
	assert_true(packet_decode(&got, data, sizeof(data)));
	assert_int_equal(got.type, PACKET_LOAD);
	assert_int_equal(got.as.load.node, 3);
	assert_int_equal(got.as.load.incarnation, 5);
	assert_int_equal(got.as.load.link_mbps, 200);
	assert_int_equal(got.as.load.known_revisions[2], 42);
	assert_int_equal(got.as.load.items[0].target_us, MS(350));
	assert_int_equal(got.as.load.duty, DUTY_STATE_NONE);
	assert_int_equal(got.as.load.wall_ms, 0);
	assert_int_equal(got.as.load.failing_count, 0);
	packet_clear(&got);
}

/* Guards against what nodes announce of overload being lost or changed. */
static void encodes_what_overload_needs(void **state)
{
	load_item_t item = { .server_hash = 7, .prefilling = 3, .deferred = 2 };
	packet_t sent = { .type = PACKET_LOAD,
			  .as.load = {
				  .node = 3,
				  .data_centre = "north",
				  .items = &item,
				  .item_count = 1,
				  .accounts = { { 9, 11, 5 }, { 9, 12, 1 } },
				  .account_count = 2,
				  .paces = { { 7, 1.5, 6, MS(90) } },
				  .pace_count = 1 } };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = packet_encode(&sent, data, sizeof(data));
	const announcement_t *load;
	packet_t got;

	assert_true(packet_decode(&got, data, size));
	load = &got.as.load;
	assert_int_equal(load->items[0].deferred, 2);
	assert_int_equal(load->account_count, 2);
	assert_memory_equal(load->accounts, sent.as.load.accounts,
			    2 * sizeof(load->accounts[0]));
	assert_int_equal(load->pace_count, 1);
	assert_memory_equal(load->paces, sent.as.load.paces,
			    sizeof(load->paces[0]));
	packet_clear(&got);
}

/* Guards against starts of processes that are announced as others, or by nodes
 * of earlier builds, which do not know them. */
static void encodes_starts_of_processes(void **state)
{
	static const struct {
		int32_t starts;
		bool is_first;
	} cases[] = { { -1, false }, { -1, true }, { 0, false }, { 15, true } };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		packet_t got,
			sent = { .type = PACKET_LOAD,
				 .as.load = { .node = 3,
					      .data_centre = "north",
					      .starts = cases[i].starts,
					      .is_first = cases[i].is_first } };
		size_t size = packet_encode(&sent, data, sizeof(data));

		assert_true(packet_decode(&got, data, size));
		assert_int_equal(got.as.load.starts, cases[i].starts);
		assert_int_equal(got.as.load.is_first, cases[i].is_first);
		packet_clear(&got);
	}
}

/* Guards against values of a later build that this build does not know. */
static void bounds_unknown_values(void **state)
{
	packet_t sent = { .type = PACKET_LOAD,
			  .as.load = { .node = 3,
				       .data_centre = "north",
				       .duty = (duty_state_t)9,
				       .wall_ms = INT64_MAX } };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = packet_encode(&sent, data, sizeof(data));
	packet_t got;

	assert_true(packet_decode(&got, data, size));
	assert_int_equal(got.as.load.duty, DUTY_STATE_NONE);
	assert_int_equal(got.as.load.wall_ms, 0);
	packet_clear(&got);
}

/* Guards against numbers of a datagram that overflow in what is computed from
 * them, or that come out as other numbers. */
static void numbers_of_a_datagram_overflow(void **state)
{
	static const int64_t extremes[] = { INT64_MIN, -1, 0, INT64_MAX };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t i, j, size;
	packet_t got;

	for (i = 0; i < COUNT_OF(extremes); i++) {
		for (j = 0; j < COUNT_OF(extremes); j++) {
			packet_t sent = {
				.type = PACKET_VIEW_UPDATE,
				.as.update = { .echoed_boot_us = extremes[i],
					       .views = { { .age_us = extremes
								    [j] } },
					       .view_count = 1 }
			};

			size = packet_encode(&sent, data, sizeof(data));
			assert_true(packet_decode(&got, data, size));
			assert_true(view_delta_confirmed_boot_us(
					    &got.as.update,
					    &got.as.update.views[0],
					    MS(5000)) <= MS(5000));
			packet_clear(&got);
		}
	}
	for (i = 0; i < COUNT_OF(extremes); i++) {
		load_item_t item = { .prefilling = INT32_MAX,
				     .decoding = INT16_MAX + 1 };
		load_item_t idle = { .deferred = INT16_MAX };
		load_item_t items[] = { item, idle };
		packet_t sent = { .type = PACKET_LOAD,
				  .as.load = { .data_centre = "north",
					       .usage_closed = extremes[i],
					       .items = items,
					       .item_count = 2 } };

		size = packet_encode(&sent, data, sizeof(data));
		assert_true(packet_decode(&got, data, size));
		assert_in_range(got.as.load.usage_closed, 0, INT64_MAX / 2);
		assert_int_equal(got.as.load.items[0].prefilling, INT16_MAX);
		assert_int_equal(got.as.load.items[0].decoding, INT16_MAX);
		/* More would count as free slots. */
		assert_int_equal(got.as.load.items[1].deferred, 0);
		packet_clear(&got);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(encodes_load),
		cmocka_unit_test(decodes_earlier_builds),
		cmocka_unit_test(encodes_what_overload_needs),
		cmocka_unit_test(encodes_starts_of_processes),
		cmocka_unit_test(bounds_unknown_values),
		cmocka_unit_test(encodes_as_much_load_as_fits),
		cmocka_unit_test(encodes_view_update),
		cmocka_unit_test(compares_revisions),
		cmocka_unit_test(changes_after_a_restored_store_are_skipped),
		cmocka_unit_test(keeps_changes_of_a_revision_together),
		cmocka_unit_test(sends_missing_changes),
		cmocka_unit_test(combines_two_publishers),
		cmocka_unit_test(dates_views),
		cmocka_unit_test(distinguishes_fresh_views),
		cmocka_unit_test(numbers_of_a_datagram_overflow),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** Datagrams between nodes, and what news of the platform are worth. */
#include <stdlib.h>
#include <string.h>

#include "base/units.h"
#include "cases.h"
#include "process/packet.h"

#define MS(count) ((int64_t)(count)*US_PER_MS)

static void encodes_work(void **state)
{
	load_item_t item = { .server_hash = 7,
			     .readers = 3,
			     .starting = 2,
			     .writers = 12,
			     .kv_tokens = 181000,
			     .pending_us = MS(44),
			     .gap_us = MS(600),
			     .due_us = MS(350) };
	packet_t sent = { .type = PACKET_WORK,
			  .as.work = { .node = 3,
				       .sequence = 8,
				       .data_centre = "north",
				       .sent_boot_us = 77,
				       .sound = true,
				       .link_mbps = 200,
				       .known_revisions = { 0, 41, 42 },
				       .wall_ms = 1782633895829,
				       .duty = DUTY_STATE_REQUESTED,
				       .usage_closed = 356526781,
				       .items = &item,
				       .item_count = 1 } };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = packet_encode(&sent, data, sizeof(data)), i;
	packet_t got;

	assert_true(size > 0);
	assert_true(packet_decode(&got, data, size));
	assert_int_equal(got.type, PACKET_WORK);
	assert_int_equal(got.as.work.node, 3);
	assert_int_equal(got.as.work.sequence, 8);
	assert_int_equal(got.as.work.sent_boot_us, 77);
	assert_true(got.as.work.sound);
	assert_int_equal(got.as.work.link_mbps, 200);
	assert_int_equal(got.as.work.known_revisions[0], 0);
	assert_int_equal(got.as.work.known_revisions[2], 42);
	assert_string_equal(got.as.work.data_centre, "north");
	assert_int_equal(got.as.work.wall_ms, 1782633895829);
	assert_int_equal(got.as.work.duty, DUTY_STATE_REQUESTED);
	assert_int_equal(got.as.work.usage_closed, 356526781);
	assert_int_equal(got.as.work.item_count, 1);
	assert_int_equal(got.as.work.items[0].server_hash, 7);
	assert_int_equal(got.as.work.items[0].readers, 3);
	assert_int_equal(got.as.work.items[0].starting, 2);
	assert_int_equal(got.as.work.items[0].writers, 12);
	assert_int_equal(got.as.work.items[0].kv_tokens, 181000);
	assert_int_equal(got.as.work.items[0].pending_us, MS(44));
	assert_int_equal(got.as.work.items[0].gap_us, MS(600));
	assert_int_equal(got.as.work.items[0].due_us, MS(350));
	packet_clear(&got);
	/* A datagram that was cut must not crash the node. */
	for (i = 0; i < size; i++)
		if (packet_decode(&got, data, i))
			packet_clear(&got);
	assert_int_equal(packet_encode(&sent, data, 4), 0);
}

/* Guards against a node that is silent because it has too much to tell. */
static void encodes_as_much_work_as_fits(void **state)
{
	enum { SERVERS = 200 };
	load_item_t items[SERVERS];
	packet_t sent = { .type = PACKET_WORK,
			  .as.work = { .node = 3,
				       .data_centre = "north",
				       .items = items,
				       .item_count = SERVERS } };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size, i;
	packet_t got;

	for (i = 0; i < SERVERS; i++)
		items[i] = (load_item_t){ .server_hash = (uint32_t)i,
					  .readers = 1,
					  .kv_tokens = 400000,
					  .pending_us = MS(900) };
	size = packet_encode(&sent, data, sizeof(data));
	assert_true(size > PACKET_SIZE_MAX_BYTES * 3 / 4);
	assert_true(packet_decode(&got, data, size));
	assert_true(got.as.work.item_count > 0);
	for (i = 0; i < got.as.work.item_count; i++)
		assert_int_equal(got.as.work.items[i].server_hash, i);
	packet_clear(&got);
}

static void add(news_log_t *log, const char *name, int64_t revision,
		int64_t at_ms)
{
	news_change_t change = { .name = (char *)name,
				 .revision = revision,
				 .spec = "{\"state\":\"ready\"}" };

	news_log_add(log, &change, MS(at_ms));
}

static void encodes_news(void **state)
{
	news_log_t *log = news_log_create();
	packet_t sent = { .type = PACKET_NEWS }, got;
	news_t *news = &sent.as.news;
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size;

	news_log_reset(log, 10);
	add(log, "s1", 12, 0);
	news->node = 5;
	news->echo_boot_us = 900;
	news->view_count = 1;
	news->views[0] = (news_view_t){ .kind = 2, .age_us = -40 };
	news_log_fill(log, 0, 1000, 14, &news->views[0]);
	size = packet_encode(&sent, data, sizeof(data));
	assert_true(packet_decode(&got, data, size));
	assert_int_equal(got.type, PACKET_NEWS);
	assert_int_equal(got.as.news.echo_boot_us, 900);
	assert_int_equal(got.as.news.views[0].age_us, -40);
	assert_int_equal(got.as.news.views[0].revision, 14);
	assert_int_equal(got.as.news.views[0].from, 10);
	assert_string_equal(got.as.news.views[0].changes[0].name, "s1");
	assert_string_equal(got.as.news.views[0].changes[0].spec,
			    "{\"state\":\"ready\"}");
	packet_clear(&got);
	news_log_destroy(log);
}

/* A receiver at a revision, against a log whose changes are 12, 14 and 14. */
static void compares_revisions(void **state)
{
	static const struct {
		const char *guards_against;
		int64_t own_revision;
		int64_t pruned_at_ms; /* of the sender's log */
		news_result_t expected;
	} cases[] = {
		{ "changes applied twice", 20, 0, NEWS_CURRENT },
		{ "an older view that goes backwards", 25, 0, NEWS_CURRENT },
		{ "changes that are passed over", 13, 0, NEWS_CHANGES },
		{ "a receiver that misses nothing", 10, 0, NEWS_CHANGES },
		{ "changes that are no longer told", 11, 3500, NEWS_GAP },
		{ "a receiver that was away", 5, 0, NEWS_GAP },
		{ "a gap that is not one", 14, 9000, NEWS_CHANGES },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		news_log_t *log = news_log_create();
		news_view_t view = { .kind = 1 };

		news_log_reset(log, 10);
		add(log, "a", 12, 0);
		add(log, "b", 14, 1000);
		add(log, "c", 14, 1000);
		news_log_prune(log, MS(cases[i].pruned_at_ms));
		news_log_fill(log, 0, 1000, 20, &view);
		if (news_compare(&view, cases[i].own_revision) !=
		    cases[i].expected)
			fail_msg("case \"%s\"", cases[i].guards_against);
		news_log_destroy(log);
	}
}

/* Guards against changes of one answer of which a receiver gets a part. */
static void splits_changes(void **state)
{
	news_log_t *log = news_log_create();
	int64_t own = 10;
	size_t next = 0, got = 0, parts = 0, i;

	news_log_reset(log, 10);
	for (i = 0; i < 9; i++)
		add(log, "name", 11 + (int64_t)i / 2, 0);
	do {
		news_view_t view = { .kind = 1 };

		next = news_log_fill(log, next, 150, 16, &view);
		assert_int_equal(news_compare(&view, own), NEWS_CHANGES);
		for (i = 0; i < view.change_count; i++)
			got += view.changes[i].revision > own;
		own = view.revision;
		parts++;
	} while (next < news_log_count(log));
	assert_true(parts > 1);
	assert_int_equal(got, 9);
	assert_int_equal(own, 16);
	news_log_destroy(log);
}

/* Guards against changes that are told again and again, and against one that a
 * receiver lacks and is not told. */
static void tells_what_is_missing(void **state)
{
	static const struct {
		int64_t known_revision;
		size_t first; /* place in the log */
	} cases[] = { { 10, 0 }, { 12, 1 }, { 13, 1 }, { 14, 3 }, { 99, 3 } };
	news_log_t *log = news_log_create();
	news_view_t view = { .kind = 1 };
	size_t i;

	news_log_reset(log, 10);
	add(log, "a", 12, 0);
	add(log, "b", 14, 0);
	add(log, "c", 14, 0);
	for (i = 0; i < COUNT_OF(cases); i++)
		assert_int_equal(news_log_find(log, cases[i].known_revision),
				 cases[i].first);
	news_log_fill(log, 1, 1000, 20, &view);
	assert_int_equal(view.from, 12);
	assert_int_equal(view.revision, 20);
	assert_int_equal(view.change_count, 2);
	news_log_destroy(log);
}

/*
 * Guards against changes that are lost between two watchers that got them in
 * different answers: the first part of one, then all of the other.
 */
static void joins_two_watchers(void **state)
{
	news_log_t *one = news_log_create(), *other = news_log_create();
	int64_t own = 10;
	news_view_t view = { .kind = 1 };
	size_t got = 0, i;

	news_log_reset(one, own);
	news_log_reset(other, own);
	for (i = 0; i < 9; i++) {
		news_change_t change = { .name = "name",
					 .revision = 11 + (int64_t)i,
					 .spec = "{\"state\":\"ready\"}" };

		news_log_add(one, &change, 0);
		news_log_add(other, &change, 0);
	}
	assert_true(news_log_fill(one, 0, 150, 19, &view) < 9);
	for (i = 0; i < view.change_count; i++)
		got += view.changes[i].revision > own;
	own = view.revision;
	news_log_fill(other, 0, 5000, 25, &view);
	assert_int_equal(news_compare(&view, own), NEWS_CHANGES);
	for (i = 0; i < view.change_count; i++)
		got += view.changes[i].revision > own;
	assert_int_equal(got, 9);
	news_log_destroy(one);
	news_log_destroy(other);
}

/* Guards against news that look fresher than they are. */
static void dates_views(void **state)
{
	static const struct {
		const char *guards_against;
		int64_t echo_ms, age_ms, now_ms, expected_ms;
	} cases[] = {
		{ "a view older than the echo", 5000, 300, 5100, 4700 },
		{ "news that waited in a socket", 5000, 300, 60000, 4700 },
		{ "a view completed after the echo", 5000, -200, 5300, 5200 },
		{ "a view from the future", 5000, -900, 5300, 5300 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		news_t news = { .echo_boot_us = MS(cases[i].echo_ms) };
		news_view_t view = { .age_us = MS(cases[i].age_ms) };

		if (news_confirmed_boot_us(&news, &view, MS(cases[i].now_ms)) !=
		    MS(cases[i].expected_ms))
			fail_msg("case \"%s\"", cases[i].guards_against);
	}
}

/*
 * Guards against a node that goes on with a view that nobody watches: a change
 * must be in force within the bound, with a watch of the node's own in it.
 */
static void tells_fresh_views(void **state)
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

		assert_int_equal(news_is_fresh(MS(cases[i].age_ms), bound_us),
				 cases[i].fresh);
		/* The age of a view just before its next confirmation. */
		assert_true(news_is_fresh(news_watch_us(bound_us) * 3 / 2,
					  bound_us));
	}
}

/* A message as build 952d325 sends it, and what an earlier build makes of a
 * message of this one: what is new is left out. */
static void understands_earlier_builds(void **state)
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
	assert_int_equal(got.type, PACKET_WORK);
	assert_int_equal(got.as.work.node, 3);
	assert_int_equal(got.as.work.incarnation, 5);
	assert_int_equal(got.as.work.link_mbps, 200);
	assert_int_equal(got.as.work.known_revisions[2], 42);
	assert_int_equal(got.as.work.items[0].due_us, MS(350));
	assert_int_equal(got.as.work.duty, DUTY_STATE_NONE);
	assert_int_equal(got.as.work.wall_ms, 0);
	assert_int_equal(got.as.work.shunned_count, 0);
	packet_clear(&got);
}

/* Guards against values of a later build that this one does not know. */
static void bounds_unknown_values(void **state)
{
	packet_t sent = { .type = PACKET_WORK,
			  .as.work = { .node = 3,
				       .data_centre = "north",
				       .duty = (duty_state_t)9,
				       .wall_ms = INT64_MAX } };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t size = packet_encode(&sent, data, sizeof(data));
	packet_t got;

	assert_true(packet_decode(&got, data, size));
	assert_int_equal(got.as.work.duty, DUTY_STATE_NONE);
	assert_int_equal(got.as.work.wall_ms, 0);
	packet_clear(&got);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(encodes_work),
		cmocka_unit_test(understands_earlier_builds),
		cmocka_unit_test(bounds_unknown_values),
		cmocka_unit_test(encodes_as_much_work_as_fits),
		cmocka_unit_test(encodes_news),
		cmocka_unit_test(compares_revisions),
		cmocka_unit_test(splits_changes),
		cmocka_unit_test(tells_what_is_missing),
		cmocka_unit_test(joins_two_watchers),
		cmocka_unit_test(dates_views),
		cmocka_unit_test(tells_fresh_views),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

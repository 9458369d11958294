/**
 * Guards against usage that is reported to the platform twice, with different
 * counts, incomplete, late or not at all.
 */
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "duty/usage_duty.h"
#include "process/packet.h"

#define SECOND US_PER_S

static const usage_duty_conf_t conf = { .window_us = 5 * SECOND,
					.delay_us = 10 * SECOND };

/* Sends the counts of a node in datagrams to another node. */
static void send_counts(const usage_t *from, usage_t *to, int64_t window)
{
	packet_t packet = { .type = PACKET_USAGE }, got;
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	size_t next = 0, size;

	do {
		next = usage_fill(from, window, next, &packet.as.usage);
		size = packet_encode(&packet, data, sizeof(data));
		assert_true(size > 0);
		assert_true(packet_decode(&got, data, size));
		usage_receive(to, &got.as.usage);
		packet_clear(&got);
	} while (next);
}

static uint32_t requests_of(const usage_t *usage, int64_t window,
			    const char *account)
{
	usage_count_t *counts;
	size_t i, count = usage_sum(usage, window, &counts);
	uint32_t requests = 0;

	for (i = 0; i < count; i++)
		if (!strcmp(counts[i].account, account))
			requests = counts[i].requests;
	usage_free_counts(counts, count);
	return requests;
}

/*
 * Guards against counts that are lost, doubled or added to a wrong window or
 * account, when datagrams repeat and nodes restart.
 */
static void sums_counts_of_all_nodes(void **state)
{
	usage_t *own = usage_create(1, 1), *other = usage_create(2, 1);
	usage_t *restarted = usage_create(2, 9);

	usage_count_request(own, 7, "acme");
	usage_count_request(other, 7, "acme");
	send_counts(other, own, 7);
	usage_count_request(other, 7, "acme");
	usage_count_request(other, 8, "acme");
	usage_count_request(other, 7, "zeta");
	send_counts(other, own, 7);
	send_counts(other, own, 7);
	assert_int_equal(requests_of(own, 7, "acme"), 3);
	assert_int_equal(requests_of(own, 7, "zeta"), 1);
	assert_int_equal(requests_of(own, 8, "acme"), 0);
	/* The node restarts and counts from 0. */
	usage_count_request(restarted, 7, "acme");
	send_counts(restarted, own, 7);
	assert_int_equal(requests_of(own, 7, "acme"), 4);
	/* A node's own counts that come back to it are ignored. */
	send_counts(own, own, 7);
	assert_int_equal(requests_of(own, 7, "acme"), 4);
	usage_expire(own, 8);
	assert_int_equal(requests_of(own, 7, "acme"), 0);
	usage_destroy(own);
	usage_destroy(other);
	usage_destroy(restarted);
}

/* Guards against lost accounts when they do not fit into one datagram. */
static void sends_many_accounts(void **state)
{
	enum { ACCOUNTS = 500 };
	usage_t *own = usage_create(1, 1), *other = usage_create(2, 1);
	char name[48];
	int i;

	for (i = 0; i < ACCOUNTS; i++) {
		snprintf(name, sizeof(name), "account-with-a-long-name-%d", i);
		usage_count_request(other, 7, name);
	}
	usage_finish(other, 7);
	send_counts(other, own, 7);
	usage_finish(own, 7);
	assert_int_equal(requests_of(own, 7, name), 1);
	assert_true(usage_complete(own, 7));
	usage_destroy(own);
	usage_destroy(other);
}

/* Guards against accounts that are taken for one because their names are long
 * and begin alike, and against counts that wait for a name that fits no
 * datagram. */
static void counts_accounts_with_long_names(void **state)
{
	static const size_t sizes[] = { 63, 64, 65, 640, 1190, 1191, 5000 };
	static const uint32_t told[] = { 1, 1, 1, 1, 1, 0, 0 };
	usage_t *own = usage_create(1, 1), *other = usage_create(2, 1);
	char name[6000];
	size_t i;

	memset(name, 'y', sizeof(name));
	for (i = 0; i < COUNT_OF(sizes); i++) {
		name[sizes[i]] = '\0';
		usage_count_request(other, 7, name);
		name[sizes[i]] = 'y';
	}
	usage_finish(other, 7);
	send_counts(other, own, 7);
	usage_finish(own, 7);
	for (i = 0; i < COUNT_OF(sizes); i++) {
		name[sizes[i]] = '\0';
		assert_int_equal(requests_of(own, 7, name), told[i]);
		assert_int_equal(requests_of(other, 7, name), 1);
		name[sizes[i]] = 'y';
	}
	assert_true(usage_complete(own, 7));
	usage_destroy(own);
	usage_destroy(other);
}

/* Guards against memory without bounds: a node sends more accounts for a window
 * than any fleet has. */
static void bounds_accounts_of_other_nodes(void **state)
{
	enum { DATAGRAMS = 70000 / USAGE_COUNTS_MAX };
	usage_t *own = usage_create(1, 1);
	usage_message_t message = { .node = 2, .incarnation = 1, .window = 7 };
	char names[USAGE_COUNTS_MAX][16];
	usage_count_t *counts;
	size_t count;
	int i, j;

	message.count = USAGE_COUNTS_MAX;
	for (i = 0; i < DATAGRAMS; i++) {
		for (j = 0; j < USAGE_COUNTS_MAX; j++) {
			message.counts[j].account = names[j];
			snprintf(names[j], sizeof(names[j]), "a%d",
				 i * USAGE_COUNTS_MAX + j);
			message.counts[j].requests = 1;
		}
		usage_receive(own, &message);
	}
	count = usage_sum(own, 7, &counts);
	assert_in_range(count, 1, 65536);
	usage_free_counts(counts, count);
	usage_destroy(own);
}

/* Guards against a window that counts as complete before the counts of a live
 * node arrive, or that waits for a node that stopped or restarted. */
static void knows_when_a_window_is_complete(void **state)
{
	usage_t *own = usage_create(1, 1), *other = usage_create(2, 1);
	usage_t *restarted = usage_create(2, 2);

	usage_finish(own, 7);
	assert_true(usage_complete(own, 7));
	usage_count_request(other, 6, "acme");
	send_counts(other, own, 6);
	assert_false(usage_complete(own, 7));
	usage_finish(other, 7);
	send_counts(other, own, 7);
	assert_true(usage_complete(own, 7));
	/* The process ends in window 8, and a new one replaces it. */
	usage_finish(own, 8);
	assert_false(usage_complete(own, 8));
	usage_finish(restarted, 8);
	send_counts(restarted, own, 8);
	assert_true(usage_complete(own, 8));
	/* Windows do not wait for a node that stopped long ago. */
	usage_finish(own, 11);
	assert_true(usage_complete(own, 11));
	usage_destroy(own);
	usage_destroy(other);
	usage_destroy(restarted);
}

typedef enum {
	NOTHING,
	ANSWERED, /**< the platform accepts the report */
	UNANSWERED, /**< the platform takes the report; its answer is lost */
	REFUSED,
	HOLDER_DIES, /**< the holder dies after the state was written: a
			successor has the state */
	HOLDER_DIES_UNWRITTEN /**< holder dies before the state was written */
} step_t;

typedef struct {
	int64_t windows[16];
	json_t *counts[16]; /* accepted by the platform for each window */
	size_t count;
	bool differs; /* two reports of one window had different counts */
} platform_sim_t;

static void accept_report(platform_sim_t *platform, int64_t window,
			  const json_t *counts)
{
	size_t i;

	for (i = 0; i < platform->count; i++) {
		if (platform->windows[i] != window)
			continue;
		platform->differs |= !json_equal(platform->counts[i], counts);
		return;
	}
	platform->windows[platform->count] = window;
	platform->counts[platform->count++] = json_deep_copy(counts);
}

/*
 * Guards against windows that the platform gets twice with different counts, or
 * never, when answers are lost or the holder changes. Each step closes a window
 * and sets what happens to its report. The counts of a successor differ from
 * those of the previous holder.
 */
static void reports_each_window_once(void **state)
{
	static const struct {
		const char *fault;
		step_t steps[3];
		size_t reported; /* windows accepted by the platform */
	} cases[] = {
		{ "a missing report", { ANSWERED, ANSWERED, ANSWERED }, 3 },
		{ "a report lost with its answer",
		  { UNANSWERED, ANSWERED, ANSWERED },
		  3 },
		{ "a refused report that is sent again",
		  { REFUSED, ANSWERED, ANSWERED },
		  2 },
		{ "two different reports of a window",
		  { UNANSWERED, HOLDER_DIES, ANSWERED },
		  3 },
		{ "a window that was written, but never sent",
		  { ANSWERED, HOLDER_DIES, ANSWERED },
		  3 },
		{ "a report sent before the state is written",
		  { ANSWERED, HOLDER_DIES_UNWRITTEN, ANSWERED },
		  3 },
		{ "a report lost after two changes of the holder",
		  { HOLDER_DIES, HOLDER_DIES, UNANSWERED },
		  3 },
	};
	size_t i, step;

	for (i = 0; i < COUNT_OF(cases); i++) {
		platform_sim_t platform = { .count = 0 };
		usage_duty_t *duty = usage_duty_create(&conf);
		usage_t *usage = usage_create(1, 1);
		json_t *written = NULL;

		for (step = 0; step <= COUNT_OF(cases[i].steps); step++) {
			bool last = step == COUNT_OF(cases[i].steps);
			step_t what = last ? ANSWERED : cases[i].steps[step];
			int64_t window = (int64_t)step + 100, sent;
			int64_t now_us =
				(window + 1) * conf.window_us + 2 * SECOND;
			const json_t *counts;

			if (!last) {
				usage_count_request(usage, window, "acme");
				usage_finish(usage, window);
				assert_true(
					usage_duty_close(duty, usage, now_us));
			}
			if (what == HOLDER_DIES_UNWRITTEN ||
			    what == HOLDER_DIES) {
				if (what == HOLDER_DIES) {
					json_decref(written);
					written = usage_duty_state(duty);
				}
				/* The successor has other counts. */
				usage_count_request(usage, window, "acme");
				usage_duty_take_over(duty, written);
				usage_duty_close(duty, usage, now_us);
			}
			json_decref(written);
			written = usage_duty_state(duty);
			while ((sent = usage_duty_next(duty, now_us,
						       &counts))) {
				if (what != REFUSED)
					accept_report(&platform, sent, counts);
				usage_duty_answered(
					duty, sent,
					what == REFUSED	     ? DUTY_REFUSED
					: what == UNANSWERED ? DUTY_RETRY
							     : DUTY_ACCEPTED,
					now_us);
			}
		}
		if (platform.differs || platform.count != cases[i].reported)
			fail_msg("%s: %zu windows accepted%s", cases[i].fault,
				 platform.count,
				 platform.differs ? ", different reports" : "");
		while (platform.count)
			json_decref(platform.counts[--platform.count]);
		json_decref(written);
		usage_duty_destroy(duty);
		usage_destroy(usage);
	}
}

/* Guards against windows that are closed too early or too late after their
 * end. */
static void closes_windows_in_time(void **state)
{
	static const struct {
		const char *fault;
		bool complete; /* the other node's counts are final */
		double after_s; /* since the end of the window */
		bool closed;
	} cases[] = {
		{ "closed before the last counts can arrive", true, 1.4,
		  false },
		{ "a complete window that is not closed", true, 1.6, true },
		{ "closed early without a node that is partitioned", false, 5.9,
		  false },
		{ "closed too late for a retry of the report", false, 6.1,
		  true },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		usage_duty_t *duty = usage_duty_create(&conf);
		usage_t *own = usage_create(1, 1), *other = usage_create(2, 1);
		int64_t end_us = 101 * conf.window_us;

		usage_count_request(own, 100, "acme");
		usage_finish(own, 100);
		usage_count_request(other, 100, "acme");
		if (cases[i].complete)
			usage_finish(other, 100);
		send_counts(other, own, 100);
		if (usage_duty_close(
			    duty, own,
			    end_us + (int64_t)(cases[i].after_s * SECOND)) !=
		    cases[i].closed)
			fail_msg("%s", cases[i].fault);
		usage_duty_destroy(duty);
		usage_destroy(own);
		usage_destroy(other);
	}
}

/*
 * Guards against a datagram with a wrong window number that makes a node report
 * all windows since then, which may be years.
 */
static void ignores_very_old_windows(void **state)
{
	usage_duty_t *duty = usage_duty_create(&conf);
	usage_t *usage = usage_create(1, 1);
	const json_t *counts;

	usage_count_request(usage, 5, "acme");
	usage_finish(usage, 5);
	usage_duty_close(duty, usage, 1000000 * conf.window_us);
	assert_true(usage_duty_last_closed(duty) == 0 ||
		    usage_duty_last_closed(duty) >= 1000000 - 8);
	assert_int_not_equal(usage_duty_next(duty, 0, &counts), 5);
	usage_duty_destroy(duty);
	usage_destroy(usage);
}

/* Guards against windows of other nodes, or of the state in the store, that
 * overflow, and against reports that end after such a number. */
static void number_of_a_window_overflows(void **state)
{
	static const int64_t windows[] = { INT64_MIN, -1, INT64_MAX / 2,
					   INT64_MAX };
	size_t i;

	for (i = 0; i < COUNT_OF(windows); i++) {
		usage_duty_t *duty = usage_duty_create(&conf);
		usage_t *own = usage_create(1, 1), *other = usage_create(2, 1);
		json_t *taken = json_pack("{s:I,s:[{s:I,s:{}}]}", "closed",
					  (json_int_t)windows[i], "reports",
					  "window", (json_int_t)windows[i],
					  "counts");

		usage_count_request(other, windows[i], "acme");
		send_counts(other, own, windows[i]);
		usage_duty_close(duty, own, 1000 * conf.window_us);
		assert_in_range(usage_duty_last_closed(duty), 0, 1000);
		usage_duty_take_over(duty, taken);
		usage_duty_close(duty, own, 1000 * conf.window_us);
		json_decref(taken);
		usage_duty_destroy(duty);
		usage_destroy(own);
		usage_destroy(other);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sums_counts_of_all_nodes),
		cmocka_unit_test(sends_many_accounts),
		cmocka_unit_test(counts_accounts_with_long_names),
		cmocka_unit_test(bounds_accounts_of_other_nodes),
		cmocka_unit_test(knows_when_a_window_is_complete),
		cmocka_unit_test(reports_each_window_once),
		cmocka_unit_test(closes_windows_in_time),
		cmocka_unit_test(ignores_very_old_windows),
		cmocka_unit_test(number_of_a_window_overflows),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

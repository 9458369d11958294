/** Queue: order of service, fairness between accounts, and bounds. */
#include <stdio.h>
#include <string.h>

#include "base/mem.h"
#include "cases.h"
#include "process/queue.h"

enum { ITEMS = 4000 };
static queue_item_t items[ITEMS];

static queue_item_t *item(size_t index, const char *account, int32_t weight,
			  int32_t priority, int64_t now_us, int64_t slack_us)
{
	queue_item_t *result = &items[index];

	memset(result, 0, sizeof(*result));
	mem_strlcpy(result->account, account, NAME_SIZE_BYTES);
	mem_strlcpy(result->service, "s", NAME_SIZE_BYTES);
	result->weight = weight;
	result->priority = priority;
	result->cost_tokens = 1000;
	result->received_us = now_us;
	result->deadline_us = now_us + slack_us;
	return result;
}

/* Guards against an order of service that ignores deadlines or priorities. */
static void serves_urgent_and_high_priority_first(void **state)
{
	static const struct {
		int32_t priority;
		int64_t slack_us;
	} requests[] = {
		{ 50, 60 * US_PER_S }, /* served last */
		{ 0, 10 * US_PER_S },
		{ 100, 10 * US_PER_S },
		{ 50, 1 * US_PER_S }, /* served first */
	};
	static const size_t order[] = { 3, 2, 1, 0 };
	queue_t *queue = queue_create(100);
	char name[8];
	size_t i;

	for (i = 0; i < COUNT_OF(requests); i++) {
		snprintf(name, sizeof(name), "a%zu", i);
		assert_true(queue_push(queue,
				       item(i, name, 1, requests[i].priority, 0,
					    requests[i].slack_us),
				       0));
	}
	for (i = 0; i < COUNT_OF(order); i++)
		assert_ptr_equal(queue_at(queue, i), &items[order[i]]);
	queue_destroy(queue);
}

/* Guards against starvation of a request with a distant deadline while more
 * urgent requests arrive than are served. */
static void serves_distant_deadline_under_urgent_requests(void **state)
{
	queue_t *queue = queue_create(100);
	queue_item_t *distant = item(0, "kwena", 1, 0, 0, 120 * US_PER_S);
	int64_t now_us;
	size_t next = 1;

	assert_true(queue_push(queue, distant, 0));
	/* Two urgent requests arrive for each request that is served. */
	for (now_us = 0; now_us < 120 * US_PER_S; now_us += 100 * US_PER_MS) {
		queue_item_t *first;
		int n;

		for (n = 0; n < 2; n++)
			queue_push(queue,
				   item(next++, "kwena", 1, 100, now_us,
					5 * US_PER_S),
				   now_us);
		first = queue_at(queue, 0);
		queue_remove(queue, first, true, now_us);
		if (first == distant)
			break;
		if (queue_count(queue) > 40)
			queue_remove(queue,
				     queue_at(queue, 5) == distant
					     ? queue_at(queue, 6)
					     : queue_at(queue, 5),
				     false, now_us);
	}
	/* Half of the time to its deadline is left to run the request. */
	assert_true(now_us <= 61 * US_PER_S);
	queue_destroy(queue);
}

/* Guards against a request that waits for hours because its deadline is a day
 * away. */
static void bounds_the_wait_for_distant_deadlines(void **state)
{
	queue_t *queue = queue_create(100);
	queue_item_t *distant = item(0, "a", 1, 0, 0, 86400 * US_PER_S);

	assert_true(queue_push(queue, distant, 0));
	assert_true(distant->due_us <= 300 * US_PER_S);
	queue_destroy(queue);
}

/* Guards against an account that gets more service than its weighted share
 * because it sends more requests. */
static void serves_accounts_by_weight(void **state)
{
	static const struct {
		int32_t weight_large, weight_small;
		int share_percent; /* service that the small account gets */
	} cases[] = { { 1, 1, 50 }, { 3, 1, 25 }, { 1, 3, 75 } };
	size_t c;

	for (c = 0; c < COUNT_OF(cases); c++) {
		queue_t *queue = queue_create(2000);
		int64_t now_us = 0;
		size_t i, small = 0;

		/* The large account arrives first, with three times as many
		 * requests. */
		for (i = 0; i < 1200; i++)
			queue_push(queue,
				   item(i, i < 900 ? "large" : "small",
					i < 900 ? cases[c].weight_large
						: cases[c].weight_small,
					50, 0, 600 * US_PER_S),
				   0);
		for (i = 0; i < 200; i++) {
			queue_item_t *first = queue_at(queue, 0);

			now_us += 10 * US_PER_MS;
			small += !strcmp(first->account, "small");
			queue_remove(queue, first, true, now_us);
		}
		assert_in_range((int)small / 2, cases[c].share_percent - 10,
				cases[c].share_percent + 10);
		queue_destroy(queue);
	}
}

/* Guards against one account that fills the queue, so that other accounts are
 * refused. */
static void keeps_places_for_other_accounts(void **state)
{
	queue_t *queue = queue_create(100);
	int large = 0, small = 0;
	size_t i;

	for (i = 0; i < 1000; i++)
		large += queue_push(queue, item(i, "large", 1, 50, 0, US_PER_S),
				    0);
	for (; i < 2000; i++)
		small += queue_push(queue, item(i, "small", 1, 50, 0, US_PER_S),
				    0);
	assert_int_equal(large, 50);
	assert_int_equal(small, 25);
	assert_true(queue_push(queue, item(i, "new", 1, 50, 0, US_PER_S), 0));
	queue_destroy(queue);
}

/* Guards against an account that is delayed because of requests that were
 * refused and never served. */
static void charges_only_served_requests(void **state)
{
	queue_t *queue = queue_create(100);
	queue_item_t *other = item(0, "other", 1, 50, 0, 10 * US_PER_S);
	size_t i;

	queue_push(queue, other, 0);
	for (i = 1; i < 1000; i++) {
		queue_item_t *refused =
			item(i, "burst", 1, 50, 0, 10 * US_PER_S);

		assert_true(queue_push(queue, refused, 0));
		assert_int_equal(refused->due_us, other->due_us);
		queue_remove(queue, refused, false, 0);
	}
	queue_destroy(queue);
}

/* Guards against Retry-After values and early refusals that do not follow from
 * the measured service rate. */
static void predicts_the_wait_from_the_service_rate(void **state)
{
	queue_t *queue = queue_create(1000);
	int64_t now_us = 0;
	size_t i;

	assert_int_equal(queue_wait_us(queue, "s", false, INT64_MAX), 0);
	for (i = 0; i < 400; i++)
		queue_push(queue, item(i, "a", 1, 50, 0, 60 * US_PER_S), 0);
	for (i = 0; i < 300; i++) {
		now_us += 20 * US_PER_MS;
		queue_remove(queue, queue_at(queue, 0), true, now_us);
	}
	/* A long prompt waits for other servers and does not count. */
	item(400, "b", 1, 100, 0, US_PER_S)->is_long = true;
	items[400].cost_tokens = 1000000;
	queue_push(queue, &items[400], 0);
	/* 100 requests wait; a request is served every 20 ms. */
	assert_in_range(queue_wait_us(queue, "s", false, INT64_MAX),
			1900 * US_PER_MS, 2100 * US_PER_MS);
	assert_int_equal(queue_wait_us(queue, "other", false, INT64_MAX), 0);
	queue_destroy(queue);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(serves_urgent_and_high_priority_first),
		cmocka_unit_test(serves_distant_deadline_under_urgent_requests),
		cmocka_unit_test(bounds_the_wait_for_distant_deadlines),
		cmocka_unit_test(serves_accounts_by_weight),
		cmocka_unit_test(keeps_places_for_other_accounts),
		cmocka_unit_test(charges_only_served_requests),
		cmocka_unit_test(predicts_the_wait_from_the_service_rate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** Orders to engines: each case names the failure that it guards against. */
#include <string.h>

#include "base/mem.h"
#include "cases.h"
#include "process/reconcile.h"

#define SERVER(name, fencing, extra)                                     \
	"{\"name\":\"" name "\",\"data_centre\":\"a\",\"kind\":"         \
	"\"engine\",\"url\":\"http://127.0.0.1:9001\",\"kv_tokens\":10," \
	"\"model\":\"m\",\"fencing\":\"" fencing "\"" extra "}"

static const char text[] =
	"{\"version\":1,\"change_id\":\"c\","
	"\"data_centres\":[{\"name\":\"a\"}],"
	"\"limits\":{\"weight_loads_max\":1},"
	"\"servers\":[" SERVER("e1", "enforced", "") "," SERVER(
		"e2", "ignored", "") "," SERVER("e3", "enforced",
						",\"retired\":true") "]}";

#define LEASE_US (10 * US_PER_S)
#define ORDER_US (30 * US_PER_S)

static reconcile_t *start(void)
{
	reconcile_conf_t conf = { .data_centre = "a",
				  .lease_us = LEASE_US,
				  .order_max_us = ORDER_US };
	reconcile_t *reconcile = reconcile_create(&conf);
	err_t err = { 0 };
	document_t *document = document_parse(text, strlen(text), &err);

	assert_string_equal(err.message, "");
	reconcile_configure(reconcile, document);
	document_unref(document);
	return reconcile;
}

static void report(reconcile_t *reconcile, const char *server, bool loaded,
		   server_role_t role, int64_t taken_us)
{
	load_report_t figures = { .taken_us = taken_us,
				  .role = role,
				  .model_count = loaded,
				  .models = { "m" } };

	mem_strlcpy(figures.server, server, sizeof(figures.server));
	reconcile_set_report(reconcile, &figures);
}

/* Guards against orders that nothing calls for. */
static void orders_only_what_differs(void **state)
{
	reconcile_t *reconcile = start();
	order_t order;

	report(reconcile, "e1", true, ROLE_BOTH, 5);
	report(reconcile, "e2", true, ROLE_BOTH, 5);
	report(reconcile, "e3", false, ROLE_DECODE, 5); /* retired */
	assert_false(reconcile_next(reconcile, &order, 9)); /* no lease */
	reconcile_acquired(reconcile, 7, true, 5);
	assert_false(reconcile_next(reconcile, &order, 9));
	report(reconcile, "e1", true, ROLE_PREFILL, 6);
	assert_true(reconcile_next(reconcile, &order, 9));
	assert_int_equal(order.kind, ORDER_SET_ROLE);
	assert_int_equal(order.role, ROLE_BOTH);
	assert_int_equal(order.fencing, 7);
	assert_false(reconcile_next(reconcile, &order, 9));
	reconcile_destroy(reconcile);
}

/* Guards against a second order by an old report, and against an order that
 * is given up because its answer was lost. */
static void repeats_by_a_later_report(void **state)
{
	reconcile_t *reconcile = start();
	order_t order;

	reconcile_acquired(reconcile, 7, true, 5);
	report(reconcile, "e1", false, ROLE_BOTH, 6);
	assert_true(reconcile_next(reconcile, &order, 9));
	assert_int_equal(order.kind, ORDER_LOAD_MODEL);
	reconcile_result(reconcile, &order, ORDER_DONE, 20);
	report(reconcile, "e1", false, ROLE_BOTH, 19);
	assert_false(reconcile_next(reconcile, &order, 21));
	report(reconcile, "e1", true, ROLE_BOTH, 21);
	assert_false(reconcile_next(reconcile, &order, 21));
	report(reconcile, "e1", false, ROLE_BOTH, 22);
	assert_true(reconcile_next(reconcile, &order, 22));
	reconcile_result(reconcile, &order, ORDER_UNKNOWN, 23);
	report(reconcile, "e1", false, ROLE_BOTH, 24);
	assert_false(reconcile_next(reconcile, &order, 24));
	assert_false(reconcile_next(reconcile, &order, 22 + ORDER_US));
	report(reconcile, "e1", false, ROLE_BOTH, 23 + ORDER_US);
	assert_true(reconcile_next(reconcile, &order, 24 + ORDER_US));
	reconcile_result(reconcile, &order, ORDER_FAILED, 25 + ORDER_US);
	assert_false(reconcile_next(reconcile, &order, 26 + ORDER_US));
	assert_true(reconcile_next(reconcile, &order,
				   25 + ORDER_US + RECONCILE_RETRY_US));
	reconcile_destroy(reconcile);
}

/* Guards against an overrun weight store. */
static void limits_loads(void **state)
{
	reconcile_t *reconcile = start();
	order_t order, second;

	reconcile_acquired(reconcile, 7, true, 5);
	report(reconcile, "e1", false, ROLE_BOTH, 6);
	report(reconcile, "e2", false, ROLE_BOTH, 6);
	assert_true(reconcile_next(reconcile, &order, 9));
	assert_false(reconcile_next(reconcile, &second, 9));
	assert_int_equal(reconcile_loads(reconcile, 9), 1);
	reconcile_result(reconcile, &order, ORDER_DONE, 10);
	assert_true(reconcile_next(reconcile, &second, 11));
	reconcile_destroy(reconcile);
}

static const struct {
	const char *guards;
	const char *server;
	bool load; /* or a role */
	int64_t wait_us;
} successors[] = {
	{ "an order is held back although the engine fences", "e1", false, 0 },
	{ "an engine that ignores fencing gets orders of two holders", "e2",
	  false, LEASE_US + ORDER_US },
	{ "loads of two holders overrun the weight store", "e1", true,
	  LEASE_US + ORDER_US },
};

static void waits_after_a_change_of_holder(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(successors); i++) {
		reconcile_t *reconcile = start();
		int64_t end_us = 5 + successors[i].wait_us;
		order_t order;
		bool loaded = !successors[i].load;

		reconcile_acquired(reconcile, 7, false, 5);
		report(reconcile, successors[i].server, loaded, ROLE_DECODE, 4);
		if (reconcile_next(reconcile, &order, end_us + 9))
			fail_msg("%s: old report", successors[i].guards);
		report(reconcile, successors[i].server, loaded, ROLE_DECODE,
		       end_us);
		if (reconcile_next(reconcile, &order, end_us - 1))
			fail_msg("%s: early", successors[i].guards);
		if (!reconcile_next(reconcile, &order, end_us))
			fail_msg("%s: never", successors[i].guards);
		reconcile_destroy(reconcile);
	}
}

/* Guards against an order that is sent after the lease ended, by a process
 * that was paused between the decision and the send. */
static void checks_before_the_send(void **state)
{
	reconcile_t *reconcile = start();
	order_t order;

	reconcile_acquired(reconcile, 7, true, 5);
	report(reconcile, "e1", false, ROLE_BOTH, 6);
	assert_true(reconcile_next(reconcile, &order, 9));
	assert_true(reconcile_may_send(reconcile, &order, true, 7));
	assert_false(reconcile_may_send(reconcile, &order, false, 7));
	assert_false(reconcile_may_send(reconcile, &order, true, 8));
	reconcile_result(reconcile, &order, ORDER_STALE, 10);
	assert_false(reconcile_may_send(reconcile, &order, true, 7));
	report(reconcile, "e1", false, ROLE_BOTH, 11);
	assert_false(reconcile_next(reconcile, &order, 12));
	reconcile_acquired(reconcile, 9, true, 13);
	report(reconcile, "e1", false, ROLE_BOTH, 14);
	assert_true(reconcile_next(reconcile, &order, 15));
	reconcile_lost(reconcile);
	assert_false(reconcile_may_send(reconcile, &order, true, 9));
	reconcile_destroy(reconcile);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(orders_only_what_differs),
		cmocka_unit_test(repeats_by_a_later_report),
		cmocka_unit_test(limits_loads),
		cmocka_unit_test(waits_after_a_change_of_holder),
		cmocka_unit_test(checks_before_the_send),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** Orders that the lease holder sends to engines: model loads and role
 * changes. */
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
#define ORDER_MAX_US (30 * US_PER_S)

static reconcile_t *create_reconcile(void)
{
	reconcile_conf_t conf = { .data_centre = "a",
				  .lease_us = LEASE_US,
				  .order_max_us = ORDER_MAX_US };
	reconcile_t *reconcile = reconcile_create(&conf);
	err_t err = { 0 };
	document_t *document = document_parse(text, strlen(text), &err);

	assert_string_equal(err.message, "");
	reconcile_configure(reconcile, document);
	document_unref(document);
	return reconcile;
}

static void add_report(reconcile_t *reconcile, const char *server, bool loaded,
		       server_role_t role, int64_t taken_us)
{
	load_report_t load_report = { .taken_us = taken_us,
				      .role = role,
				      .model_count = loaded,
				      .models = { "m" } };

	mem_strlcpy(load_report.server, server, sizeof(load_report.server));
	reconcile_set_report(reconcile, &load_report);
}

/* Guards against orders to an engine that has the desired model and role, to a
 * retired engine, and by a node without the lease. */
static void orders_only_what_differs(void **state)
{
	reconcile_t *reconcile = create_reconcile();
	order_t order;

	add_report(reconcile, "e1", true, ROLE_BOTH, 5);
	add_report(reconcile, "e2", true, ROLE_BOTH, 5);
	add_report(reconcile, "e3", false, ROLE_DECODE, 5); /* retired */
	assert_false(reconcile_next(reconcile, &order, 9)); /* no lease */
	reconcile_acquired(reconcile, 7, true, 5);
	assert_false(reconcile_next(reconcile, &order, 9));
	add_report(reconcile, "e1", true, ROLE_PREFILL, 6);
	assert_true(reconcile_next(reconcile, &order, 9));
	assert_int_equal(order.kind, ORDER_SET_ROLE);
	assert_int_equal(order.role, ROLE_BOTH);
	assert_int_equal(order.fencing, 7);
	assert_false(reconcile_next(reconcile, &order, 9));
	reconcile_destroy(reconcile);
}

/* Guards against a second order because of a report older than the end of the
 * first order, and against an order that is never repeated because its answer
 * was lost. */
static void repeats_by_a_later_report(void **state)
{
	reconcile_t *reconcile = create_reconcile();
	order_t order;

	reconcile_acquired(reconcile, 7, true, 5);
	add_report(reconcile, "e1", false, ROLE_BOTH, 6);
	assert_true(reconcile_next(reconcile, &order, 9));
	assert_int_equal(order.kind, ORDER_LOAD_MODEL);
	reconcile_result(reconcile, &order, ORDER_DONE, 20);
	add_report(reconcile, "e1", false, ROLE_BOTH, 19);
	assert_false(reconcile_next(reconcile, &order, 21));
	add_report(reconcile, "e1", true, ROLE_BOTH, 21);
	assert_false(reconcile_next(reconcile, &order, 21));
	add_report(reconcile, "e1", false, ROLE_BOTH, 22);
	assert_true(reconcile_next(reconcile, &order, 22));
	reconcile_result(reconcile, &order, ORDER_UNKNOWN, 23);
	add_report(reconcile, "e1", false, ROLE_BOTH, 24);
	assert_false(reconcile_next(reconcile, &order, 24));
	assert_false(reconcile_next(reconcile, &order, 22 + ORDER_MAX_US));
	add_report(reconcile, "e1", false, ROLE_BOTH, 23 + ORDER_MAX_US);
	assert_true(reconcile_next(reconcile, &order, 24 + ORDER_MAX_US));
	reconcile_result(reconcile, &order, ORDER_FAILED, 25 + ORDER_MAX_US);
	assert_false(reconcile_next(reconcile, &order, 26 + ORDER_MAX_US));
	assert_true(reconcile_next(reconcile, &order,
				   25 + ORDER_MAX_US + RECONCILE_RETRY_US));
	reconcile_destroy(reconcile);
}

/* Guards against more concurrent model loads than the weight store serves
 * (weight_loads_max). */
static void limits_loads(void **state)
{
	reconcile_t *reconcile = create_reconcile();
	order_t order, second;

	reconcile_acquired(reconcile, 7, true, 5);
	add_report(reconcile, "e1", false, ROLE_BOTH, 6);
	add_report(reconcile, "e2", false, ROLE_BOTH, 6);
	assert_true(reconcile_next(reconcile, &order, 9));
	assert_false(reconcile_next(reconcile, &second, 9));
	assert_int_equal(reconcile_load_count(reconcile, 9), 1);
	reconcile_result(reconcile, &order, ORDER_DONE, 10);
	assert_true(reconcile_next(reconcile, &second, 11));
	reconcile_destroy(reconcile);
}

static const struct {
	const char *fault;
	const char *server;
	bool load; /* true: a model load is due; false: a role change */
	int64_t wait_us; /* no order for this time after the acquisition */
} acquisitions[] = {
	{ "an order waits although the engine enforces fencing", "e1", false,
	  0 },
	{ "an engine that ignores fencing gets orders of two holders", "e2",
	  false, LEASE_US + ORDER_MAX_US },
	{ "loads of two holders overload the weight store", "e1", true,
	  LEASE_US + ORDER_MAX_US },
};

/* Guards against the faults named in acquisitions[], which arise when a new
 * lease holder orders too early or because of an old report. */
static void waits_after_a_change_of_holder(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(acquisitions); i++) {
		reconcile_t *reconcile = create_reconcile();
		int64_t end_us = 5 + acquisitions[i].wait_us;
		order_t order;
		bool loaded = !acquisitions[i].load;

		reconcile_acquired(reconcile, 7, false, 5);
		add_report(reconcile, acquisitions[i].server, loaded,
			   ROLE_DECODE, 4);
		if (reconcile_next(reconcile, &order, end_us + 9))
			fail_msg("%s: order by an old report",
				 acquisitions[i].fault);
		add_report(reconcile, acquisitions[i].server, loaded,
			   ROLE_DECODE, end_us);
		if (reconcile_next(reconcile, &order, end_us - 1))
			fail_msg("%s: order too early", acquisitions[i].fault);
		if (!reconcile_next(reconcile, &order, end_us))
			fail_msg("%s: no order", acquisitions[i].fault);
		reconcile_destroy(reconcile);
	}
}

/* Guards against an order that is sent after the lease ended: the process was
 * paused after it chose the order and before it sent the order. */
static void checks_before_the_send(void **state)
{
	reconcile_t *reconcile = create_reconcile();
	order_t order;

	reconcile_acquired(reconcile, 7, true, 5);
	add_report(reconcile, "e1", false, ROLE_BOTH, 6);
	assert_true(reconcile_next(reconcile, &order, 9));
	assert_true(reconcile_may_send(reconcile, &order, true, 7));
	assert_false(reconcile_may_send(reconcile, &order, false, 7));
	assert_false(reconcile_may_send(reconcile, &order, true, 8));
	reconcile_result(reconcile, &order, ORDER_STALE, 10);
	assert_false(reconcile_may_send(reconcile, &order, true, 7));
	add_report(reconcile, "e1", false, ROLE_BOTH, 11);
	assert_false(reconcile_next(reconcile, &order, 12));
	reconcile_acquired(reconcile, 9, true, 13);
	add_report(reconcile, "e1", false, ROLE_BOTH, 14);
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

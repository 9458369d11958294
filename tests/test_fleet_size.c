/**
 * Guards against orders of servers for short bursts, orders that are missing,
 * lost or too large, and servers that are given back too early or never.
 */
#include <stdio.h>
#include <string.h>

#include "base/units.h"
#include "cases.h"
#include "duty/fleet_size.h"

#define MS(count) ((int64_t)(count)*US_PER_MS)

enum { SLOTS = 12, PHASES_MAX = 4 };

static const region_t region = { 3, { "north", "east", "south" } };
static const fleet_limits_t limits = { .min = 10,
				       .max = 30,
				       .startup_us = MS(8000) };

/* Constant load for a time. Each data centre has 20 servers at the start. */
typedef struct {
	double lasts_s;
	int32_t used; /* slots in use, of all servers */
	int64_t backlog_ms; /* prefill backlog of all servers, summed */
	int32_t lost; /* servers of the last data centre that are lost */
} phase_t;

/*
 * Runs the phases with a platform that carries out each order at once. Returns
 * the final numbers of servers as "NORTH,EAST,SOUTH".
 */
static const char *run_phases(const phase_t *phases, bool successor,
			      duty_answer_t first_answer, int *orders)
{
	static char text[64];
	fleet_size_t *fleet = fleet_size_create(&region);
	int32_t servers[3] = { 20, 20, 20 };
	int64_t now_us = MS(1000);
	duty_answer_t answer = first_answer;
	size_t i, j;

	*orders = 0;
	for (i = 0; i < PHASES_MAX; i++) {
		int64_t end_us =
			now_us + (int64_t)(phases[i].lasts_s * US_PER_S);

		for (; now_us < end_us; now_us += MS(500)) {
			service_load_t load = { .used = phases[i].used,
						.backlog_us = MS(
							phases[i].backlog_ms) };
			fleet_order_t order;

			for (j = 0; j < region.count; j++) {
				load.servers[j] = servers[j];
				if (j == region.count - 1)
					load.servers[j] -= phases[i].lost;
				load.slots += load.servers[j] * SLOTS;
			}
			if (fleet_size_update(fleet, &limits, &load, now_us) &&
			    successor) {
				json_t *state = fleet_size_state(fleet);

				fleet_size_destroy(fleet);
				fleet = fleet_size_create(&region);
				fleet_size_take_over(fleet, state);
				json_decref(state);
			}
			while (fleet_size_next(fleet, now_us, &order)) {
				(*orders)++;
				fleet_size_answered(fleet, &order, answer,
						    now_us);
				answer = DUTY_ACCEPTED;
				if (order.count < limits.min ||
				    order.count > limits.max)
					fail_msg("ordered %d servers",
						 order.count);
				servers[order.data_centre] = order.count;
			}
		}
	}
	snprintf(text, sizeof(text), "%d,%d,%d", servers[0], servers[1],
		 servers[2]);
	fleet_size_destroy(fleet);
	return text;
}

static void orders_servers_for_the_load(void **state)
{
	static const struct {
		const char *fault;
		/* At the start of the phases there are 720 slots. */
		phase_t phases[PHASES_MAX];
		bool successor; /* a new lease holder takes over between an
				 * update and the sending of its orders */
		duty_answer_t first_answer;
		const char *servers; /* final numbers */
		int orders; /* number of orders sent */
	} cases[] = {
		{ "orders for a normal load",
		  { { 100, 300, 0, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "20,20,20",
		  0 },
		{ "orders for a burst that ends before servers start",
		  { { 10, 300, 0, 0 }, { 3, 700, 0, 0 }, { 60, 300, 0, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "20,20,20",
		  0 },
		{ "bursts that add up",
		  { { 3, 700, 0, 0 },
		    { 1, 300, 0, 0 },
		    { 3, 700, 0, 0 },
		    { 1, 300, 0, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "20,20,20",
		  0 },
		{ "no order for a lasting overload",
		  { { 10, 650, 0, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "25,25,25",
		  3 },
		{ "no order for a prefill backlog",
		  { { 10, 100, 40000, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "27,27,27",
		  3 },
		{ "an order above the limit of the platform",
		  { { 10, 720, 99000, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "30,30,30",
		  3 },
		{ "orders lost at a change of the lease holder",
		  { { 10, 650, 0, 0 } },
		  true,
		  DUTY_ACCEPTED,
		  "25,25,25",
		  3 },
		{ "an order without an answer that is not sent again",
		  { { 10, 650, 0, 0 } },
		  false,
		  DUTY_RETRY,
		  "25,25,25",
		  4 },
		{ "orders though the other data centres take the load",
		  { { 30, 300, 0, 20 } },
		  false,
		  DUTY_ACCEPTED,
		  "20,20,20",
		  0 },
		{ "servers given back that were not ordered",
		  { { 200, 50, 0, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "20,20,20",
		  0 },
		{ "ordered servers given back after a short low load",
		  { { 10, 650, 0, 0 }, { 50, 100, 0, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "25,25,25",
		  3 },
		{ "ordered servers never given back",
		  { { 10, 650, 0, 0 }, { 70, 100, 0, 0 } },
		  false,
		  DUTY_ACCEPTED,
		  "16,16,16",
		  6 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		int orders;
		const char *servers =
			run_phases(cases[i].phases, cases[i].successor,
				   cases[i].first_answer, &orders);

		if (strcmp(servers, cases[i].servers) != 0 ||
		    orders != cases[i].orders)
			fail_msg("%s: servers %s after %d orders",
				 cases[i].fault, servers, orders);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(orders_servers_for_the_load),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

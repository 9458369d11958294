/**
 * Rates that servers state, through a whole gateway: what reaches the servers,
 * and what callers get instead.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "lib/gateway_fixture.h"

static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
				       "X-Deadline-Ms: 1400",
				       FIXTURE_AUTHORIZATION, NULL };

enum {
	NODES = 4, /* in the list of nodes; the others send nothing here */
	/* Lookups of a case. They end before the node takes the silence of the
	 * others for a partition. */
	CALLS = 40,
	TOLD_MS = 500, /* time from which on requests count */
	RATE_WINDOW_S = 4,
	RATE_SLACK = 5
};
#define RATE_FACTOR 1.5

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

/*
 * Sends @p count lookups, one each @p pause_ms.
 * @return the number of them that were served; the others are refused with a
 * Retry-After of @p retry_max_s at most
 */
static int call(gateway_fixture_t *fixture, int count, int64_t pause_ms,
		double retry_max_s)
{
	static const char name[] = "Retry-After: ";
	int i, served = 0;

	for (i = 0; i < count; i++) {
		reply_t reply;

		gateway_fixture_call(fixture, &reply, "GET", "/safe/x", headers,
				     NULL);
		assert_true(gateway_fixture_wait(fixture, &reply, 1000));
		gateway_fixture_run(fixture, pause_ms);
		served += reply.status == 200;
		if (reply.status != 200) {
			const char *after = strstr(reply.headers, name);

			assert_int_equal(reply.status, 503);
			assert_non_null(after);
			assert_in_range(strtod(after + strlen(name), NULL) *
						(double)MS_PER_S,
					1, retry_max_s * (double)MS_PER_S + 1);
		}
	}
	return served;
}

/* If every node sent as much, the sum has to stay within the platform's rule.
 */
static void server_gets_more_than_its_stated_rate(void **state)
{
	static const struct {
		const char *guards_against, *rates[2];
		double per_s; /* lower one of the rates */
		int served_min;
	} cases[] = {
		{ "rates of all servers passed over", { "1", "1" }, 1, 2 },
		{ "the rate of one server passed over, or the other unused",
		  { "2", NULL },
		  2,
		  CALLS },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = { .other_nodes = NODES - 1 };
		double allowed = cases[i].per_s * RATE_FACTOR * RATE_WINDOW_S +
				 RATE_SLACK;
		int counts[2] = { 0 }, served;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		for (j = 0; j < 2; j++)
			fixture.servers[j].rate = cases[i].rates[j];
		served = call(&fixture, CALLS, 25, 1 / cases[i].per_s);
		for (j = 0; j < fixture.arrival_count; j++)
			counts[fixture.arrivals[j].server] +=
				fixture.arrivals[j].at_us >
				fixture.arrivals[0].at_us + TOLD_MS * US_PER_MS;
		for (j = 0; j < 2; j++)
			if (cases[i].rates[j] && counts[j] * NODES > allowed)
				fail_msg("case \"%s\": server %zu got %d",
					 cases[i].guards_against, j, counts[j]);
		if (served < cases[i].served_min)
			fail_msg("case \"%s\": %d served",
				 cases[i].guards_against, served);
		gateway_fixture_stop(&fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(server_gets_more_than_its_stated_rate),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

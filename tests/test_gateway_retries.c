/**
 * Retries that a process may send soon after its start, through a whole
 * gateway.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>

#include "cases.h"
#include "lib/gateway_fixture.h"

static const char *const headers[] = { "Host: h", "X-Request-Id: r1",
				       "X-Deadline-Ms: 1400",
				       FIXTURE_AUTHORIZATION, NULL };

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static const struct {
	const char *name;
	bool has_entry;
	size_t other_nodes;
	int status;
	size_t arrivals;
} cases[] = {
	{ "the first process of a single node", false, 0, 200, 2 },
	{ "a process after another one", true, 0, 503, 1 },
	{ "a new node that heard of no other", false, 5, 503, 1 },
};

/* Guards against processes that spend again what earlier ones have spent, and
 * against calm starts that refuse what can be served. */
static void retries_after_a_start(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = {
			.has_entry = cases[i].has_entry,
			.other_nodes = cases[i].other_nodes,
		};
		reply_t reply;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		fixture.acts[0] = NOT_RUN;
		gateway_fixture_call(&fixture, &reply, "GET", "/safe/x",
				     headers, NULL);
		assert_true(gateway_fixture_wait(&fixture, &reply, 1000));
		if (reply.status != cases[i].status ||
		    fixture.arrival_count != cases[i].arrivals)
			fail_msg("%s: status %d, %zu arrivals", cases[i].name,
				 reply.status, fixture.arrival_count);
		gateway_fixture_stop(&fixture);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(retries_after_a_start),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

/** Choice of a set of servers for a prompt beyond one engine's memory. */
#include <stdio.h>
#include <string.h>

#include "cases.h"
#include "process/gang.h"

enum { SERVERS_MAX = 10 };

static server_t servers[2][SERVERS_MAX];
static server_t *lists[2][SERVERS_MAX];
static dc_t dcs[2];
static group_t groups[2];

static void build(size_t local, size_t remote)
{
	const size_t counts[] = { local, remote };
	size_t g, i;

	memset(servers, 0, sizeof(servers));
	for (g = 0; g < 2; g++) {
		dcs[g] = (dc_t){ .local = !g, .reachable = true };
		groups[g] = (group_t){ .dc = &dcs[g],
				       .count = counts[g],
				       .servers = lists[g] };
		for (i = 0; i < counts[g]; i++) {
			server_t *server = &servers[g][i];

			server->dc = &dcs[g];
			server->in_service = server->usable = true;
			server->reported = server->shares_kv = true;
			server->kv_tokens = 100;
			/* Lane order differs from name order. */
			snprintf(server->name, NAME_SIZE_BYTES, "e%zu",
				 SERVERS_MAX - i);
			lists[g][i] = server;
		}
	}
}

static const struct {
	size_t local, remote; /* servers with 100 tokens each */
	int64_t kv_tokens;
	gang_result_t result;
	size_t count;
} cases[] = {
	{ 4, 4, 150, GANG_CHOSEN, 2 },
	{ 4, 4, 201, GANG_CHOSEN, 3 },
	{ 4, 6, 500, GANG_CHOSEN, 5 }, /* needs the remote data centre */
	{ 4, 4, 500, GANG_IMPOSSIBLE, 0 }, /* a set never spans data centres */
	{ 10, 0, 800, GANG_CHOSEN, 8 },
	{ 10, 0, 801, GANG_IMPOSSIBLE, 0 }, /* exceeds the largest set */
};

/* Guards against a prompt that waits forever because no set can hold it, and
 * against a set with more servers than needed. */
static void chooses_the_smallest_set_of_one_data_centre(void **state)
{
	gang_t gang;
	size_t c, i;

	for (c = 0; c < COUNT_OF(cases); c++) {
		build(cases[c].local, cases[c].remote);
		assert_int_equal(gang_choose(groups, 2, cases[c].kv_tokens, 0,
					     &gang),
				 cases[c].result);
		assert_int_equal(gang.count, cases[c].count);
		for (i = 1; i < gang.count; i++)
			assert_true(strcmp(gang.servers[i - 1]->name,
					   gang.servers[i]->name) < 0);
		if (gang.count)
			assert_true((int64_t)gang.count * gang.kv_tokens >=
				    cases[c].kv_tokens);
	}
}

/* Guards against a set that includes a server which is out of service, has not
 * reported, cannot share KV memory, or fails. */
static void leaves_out_servers_that_cannot_share(void **state)
{
	static const struct {
		bool in_service, reported, shares_kv;
		int32_t failures;
		gang_result_t result; /* result for a prompt that needs both
					 servers */
	} changes[] = {
		{ true, true, true, 0, GANG_CHOSEN },
		{ false, true, true, 0, GANG_IMPOSSIBLE },
		{ true, true, false, 0, GANG_IMPOSSIBLE },
		{ true, false, true, 0, GANG_WAIT }, /* server may report */
		{ true, true, true, 1, GANG_WAIT }, /* server may recover */
	};
	gang_t gang;
	size_t i;

	for (i = 0; i < COUNT_OF(changes); i++) {
		build(2, 0);
		servers[0][0].in_service = changes[i].in_service;
		servers[0][0].reported = changes[i].reported;
		servers[0][0].shares_kv = changes[i].shares_kv;
		servers[0][0].failures = changes[i].failures;
		servers[0][0].retry_at_us = 1000;
		assert_int_equal(gang_choose(groups, 2, 200, 0, &gang),
				 changes[i].result);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(chooses_the_smallest_set_of_one_data_centre),
		cmocka_unit_test(leaves_out_servers_that_cannot_share),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

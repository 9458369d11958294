/** Nodes that watch the platform for each other. */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "process/gateway.h"

/* The fleet is large enough for nodes to follow others. */
enum { OTHERS = 12, NODES = 400 };

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static void hear(work_share_t *share, uint64_t node, const char *data_centre,
		 bool sound)
{
	static uint64_t sequence = 1;
	work_message_t message = { .node = node,
				   .incarnation = 1,
				   .sequence = sequence,
				   .sound = sound };

	sequence++;
	mem_strlcpy(message.data_centre, data_centre,
		    sizeof(message.data_centre));
	assert_true(work_share_receive(share, &message, clock_monotonic_us(),
				       clock_boot_us()));
}

/* The order of the hashes of the names is south, north, west. This node is node
 * 50 of north. */
static const struct {
	const char *guards;
	struct {
		const char *data_centre;
		uint64_t node;
		bool sound;
	} others[4];
	bool sound;
	size_t rank;
} ranks[] = {
	{ "a node alone that does nothing", { { NULL } }, true, 0 },
	{ "two of one data centre before one of another",
	  { { "north", 60, true }, { "north", 70, true }, { "west", 1, true } },
	  true,
	  0 },
	{ "data centres without an order",
	  { { "south", 90, true }, { "west", 1, true } },
	  true,
	  1 },
	{ "a second one while another data centre has none",
	  { { "north", 1, true }, { "south", 90, true }, { "west", 91, true } },
	  true,
	  3 },
	{ "nodes that the platform does not answer",
	  { { "north", 1, false }, { "south", 2, false } },
	  true,
	  0 },
	{ "a fleet in which nobody tries the platform",
	  { { "north", 1, false }, { "south", 2, false } },
	  false,
	  2 },
	{ "nodes of another region", { { "far", 1, true } }, true, 0 },
};

static void ranks_nodes(void **state)
{
	region_t region = { 3, { "north", "south", "west" } };
	size_t i, j;

	for (i = 0; i < COUNT_OF(ranks); i++) {
		work_share_t *share = work_share_create();
		size_t rank;

		for (j = 0; j < 4 && ranks[i].others[j].data_centre; j++)
			hear(share, ranks[i].others[j].node,
			     ranks[i].others[j].data_centre,
			     ranks[i].others[j].sound);
		rank = work_share_rank(share, &region, "north", 50,
				       ranks[i].sound, clock_monotonic_us());
		if (rank != ranks[i].rank)
			fail_msg("case \"%s\": rank %zu", ranks[i].guards,
				 rank);
		work_share_destroy(share);
	}
}

static void hear_others(gateway_fixture_t *fixture, bool sound)
{
	uint64_t node;

	for (node = 1; node <= OTHERS; node++)
		hear(fixture->gateway->share, node, "a", sound);
	fixture->gateway->nodes = NODES;
}

static void run(gateway_fixture_t *fixture, int64_t ms, bool sound)
{
	for (; ms > 0; ms -= 200) {
		hear_others(fixture, sound);
		gateway_fixture_run(fixture, 200);
	}
}

static void hear_news(gateway_t *gateway, int64_t version)
{
	news_t news = { .node = 1,
			.echo_boot_us = clock_boot_us(),
			.view_count = KINDS_WATCHED };
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		news.views[i] =
			(news_view_t){ .kind = (uint32_t)gateway->views[i].kind,
				       .revision = gateway->views[i].revision,
				       .from = gateway->views[i].revision,
				       .version = version };
	gateway_receive_news(gateway, &news);
}

static bool has_failures(const gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		if (gateway->views[i].failures)
			return true;
	return false;
}

/*
 * Guards against a fleet whose calls take up all that a platform that fails
 * allows, and against a node that does not notice when it is back.
 */
static void waits_for_others_in_an_outage(void **state)
{
	gateway_fixture_t fixture = { 0 };
	int before;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	fixture.store_refuses = true;
	run(&fixture, 2000, false);
	assert_true(has_failures(fixture.gateway));
	assert_false(gateway_is_sound(fixture.gateway));
	before = fixture.view_calls;
	run(&fixture, 3000, false);
	assert_int_equal(fixture.view_calls, before);
	fixture.store_refuses = false;
	hear_others(&fixture, true);
	hear_news(fixture.gateway, 3);
	gateway_fixture_run(&fixture, 1200);
	assert_false(has_failures(fixture.gateway));
	assert_true(gateway_keys_valid(fixture.gateway));
	gateway_fixture_stop(&fixture);
}

/* Guards against a node that stays without the changes of an outage when it
 * had to read the objects anew. */
static void reads_anew_after_an_outage(void **state)
{
	gateway_fixture_t fixture = { 0 };
	view_t *servers;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	fixture.store_refuses = true;
	run(&fixture, 2000, false);
	servers = &fixture.gateway->views[1];
	servers->failures = 5;
	gateway_relist(servers, 9000);
	fixture.store_refuses = false;
	hear_others(&fixture, true);
	hear_news(fixture.gateway, 3);
	gateway_fixture_run(&fixture, 1200);
	assert_true(servers->listed);
	assert_false(has_failures(fixture.gateway));
	gateway_fixture_stop(&fixture);
}

/* Guards against a server that left while this node was cut off and is used
 * as if its entry could return, and against a fleet without servers after an
 * outage of the platform. */
static const struct {
	bool others_reach_it; /**< the platform, while this node does not */
	int64_t keep_ms; /**< that they tell */
	size_t servers; /**< that are kept */
} outages[] = {
	{ false, 0, 4 },
	{ true, 0, 0 },
	{ true, 1500, 4 },
};

static size_t count_servers(const gateway_t *gateway)
{
	backend_t *server = NULL;
	size_t count = 0;

	while ((server = backends_next(gateway->backends, server)))
		count++;
	return count;
}

static void keeps_servers_after_an_outage(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(outages); i++) {
		gateway_fixture_t fixture = { 0 };
		news_t news = { .node = 1, .keep_ms = outages[i].keep_ms };
		int64_t ms;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		assert_int_equal(count_servers(fixture.gateway), 4);
		fixture.store_refuses = true;
		for (ms = 0; ms < 4000 && !fixture.gateway->views[0].failures;
		     ms += 50)
			gateway_fixture_run(&fixture, 50);
		fixture.store_refuses = false;
		fixture.no_servers = true;
		gateway_relist(&fixture.gateway->views[1], 0);
		for (ms = 0; ms < 1000; ms += 200) {
			if (outages[i].others_reach_it)
				gateway_receive_news(fixture.gateway, &news);
			gateway_fixture_run(&fixture, 200);
		}
		assert_true(fixture.gateway->views[1].listed);
		assert_int_equal(count_servers(fixture.gateway),
				 outages[i].servers);
		gateway_fixture_stop(&fixture);
	}
}

static const peer_t *wait_peers(gateway_fixture_t *fixture, size_t count)
{
	int i;

	fixture->other_nodes = count;
	for (i = 0; i < 100 && fixture->gateway->peer_count != count; i++)
		gateway_fixture_run(fixture, 50);
	assert_int_equal(fixture->gateway->peer_count, count);
	return fixture->gateway->peers;
}

/* Guards against changes that a node is not told because another one that was
 * at its place in the list has them. */
static void tells_each_node_apart(void **state)
{
	gateway_fixture_t fixture = { 0 };
	const peer_t *peers;
	size_t i;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	wait_peers(&fixture, 1);
	fixture.gateway->peers[0].told_revisions[1] = 99;
	fixture.gateway->peers[0].told_us[1] = INT64_MAX;
	peers = wait_peers(&fixture, 2);
	for (i = 0; i < 2; i++) {
		assert_int_equal(peers[i].told_revisions[1], 0);
		assert_int_equal(peers[i].told_us[1], 0);
	}
	gateway_fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(ranks_nodes),
		cmocka_unit_test(waits_for_others_in_an_outage),
		cmocka_unit_test(reads_anew_after_an_outage),
		cmocka_unit_test(keeps_servers_after_an_outage),
		cmocka_unit_test(tells_each_node_apart),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

/**
 * Nodes that watch the platform's store for each other: publishers and
 * subscribers.
 */
#include <curl/curl.h>
#include <signal.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "process/gateway.h"

/* NODES is large enough for nodes to subscribe instead of watching. */
enum { OTHERS = 12, NODES = 400, OWN_LINK_MBPS = 10 };

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static void receive_announcement(load_table_t *table, uint64_t node,
				 const char *data_centre, bool has_store,
				 int64_t link_mbps)
{
	static uint64_t sequence = 1;
	announcement_t message = { .node = node,
				   .incarnation = 1,
				   .sequence = sequence,
				   .store_reachable = has_store,
				   .link_mbps = link_mbps };

	sequence++;
	mem_strlcpy(message.data_centre, data_centre,
		    sizeof(message.data_centre));
	assert_true(load_table_receive(table, &message, clock_monotonic_us(),
				       clock_boot_us()));
}

static void receive_from(load_table_t *table, uint64_t node,
			 const char *data_centre, bool has_store)
{
	receive_announcement(table, node, data_centre, has_store, 0);
}

/* The hashes of the data centres' names sort as south, north, west. This node
 * is node 50 of north. */
static const struct {
	const char *guards;
	struct {
		const char *data_centre;
		uint64_t node;
		bool has_store;
		int64_t link_mbps; /* 0: that of this node */
	} others[4];
	bool has_store;
	size_t rank;
} ranks[] = {
	{ "a single node that never publishes", { { NULL } }, true, 0 },
	{ "a second node of a data centre before the first of another",
	  { { "north", 60, true, 0 },
	    { "north", 70, true, 0 },
	    { "west", 1, true, 0 } },
	  true,
	  0 },
	{ "data centres in no defined order",
	  { { "south", 90, true, 0 }, { "west", 1, true, 0 } },
	  true,
	  1 },
	{ "a second node of a data centre while another has none",
	  { { "north", 1, true, 0 },
	    { "south", 90, true, 0 },
	    { "west", 91, true, 0 } },
	  true,
	  3 },
	{ "nodes that the platform does not answer, ranked first",
	  { { "north", 1, false, 0 }, { "south", 2, false, 0 } },
	  true,
	  0 },
	{ "an outage in which no node calls the platform",
	  { { "north", 1, false, 0 }, { "south", 2, false, 0 } },
	  false,
	  2 },
	{ "nodes of another region, ranked first",
	  { { "far", 1, true, 0 } },
	  true,
	  0 },
	{ "a node with a fast link that is not ranked first",
	  { { "north", 60, true, 200 }, { "west", 91, true, 200 } },
	  true,
	  2 },
	{ "a node with a slow link that is ranked first",
	  { { "north", 1, true, 1 }, { "south", 1, true, 1 } },
	  true,
	  0 },
};

static int64_t link_of(int64_t stated_mbps)
{
	return stated_mbps ? stated_mbps : OWN_LINK_MBPS;
}

static void ranks_nodes(void **state)
{
	static const node_rank_t own = { .data_centre = "north",
					 .node = 50,
					 .link_mbps = OWN_LINK_MBPS };
	region_t region = { 3, { "north", "south", "west" } };
	size_t i, j;

	for (i = 0; i < COUNT_OF(ranks); i++) {
		load_table_t *table = load_table_create();
		size_t rank;

		for (j = 0; j < 4 && ranks[i].others[j].data_centre; j++)
			receive_announcement(
				table, ranks[i].others[j].node,
				ranks[i].others[j].data_centre,
				ranks[i].others[j].has_store,
				link_of(ranks[i].others[j].link_mbps));
		rank = load_table_rank(table, &region, &own, ranks[i].has_store,
				       clock_monotonic_us());
		if (rank != ranks[i].rank)
			fail_msg("case \"%s\": rank %zu", ranks[i].guards,
				 rank);
		load_table_destroy(table);
	}
}

/* @param first hash of the first node; low hashes precede this node's */
static void receive_from_nodes(gateway_fixture_t *fixture, uint64_t first,
			       bool has_store)
{
	uint64_t i;

	for (i = 0; i < OTHERS; i++)
		receive_from(fixture->gateway->load_table, first + i, "a",
			     has_store);
	fixture->gateway->nodes = NODES;
}

static void receive_from_others(gateway_fixture_t *fixture, bool has_store)
{
	receive_from_nodes(fixture, 1, has_store);
}

static void run_with_others(gateway_fixture_t *fixture, int64_t ms,
			    bool has_store)
{
	for (; ms > 0; ms -= 200) {
		receive_from_others(fixture, has_store);
		gateway_fixture_run(fixture, 200);
	}
}

static void receive_update(gateway_t *gateway, int64_t version)
{
	view_update_t update = { .node = 1,
				 .echoed_boot_us = clock_boot_us(),
				 .view_count = KINDS_WATCHED };
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		update.views[i] = (view_delta_t){
			.kind = (uint32_t)gateway->views[i].kind,
			.revision = gateway->views[i].revision,
			.from = gateway->views[i].revision,
			.version = version
		};
	gateway_receive_update(gateway, &update);
}

static bool has_failures(const gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		if (gateway->views[i].failures)
			return true;
	return false;
}

/* Guards against a fleet whose retries use up all calls that a failing platform
 * allows, and against a node that does not notice that the platform answers
 * again. */
static void lets_others_retry_in_an_outage(void **state)
{
	gateway_fixture_t fixture = { 0 };
	int before;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	fixture.store_refuses = true;
	run_with_others(&fixture, 2000, false);
	assert_true(has_failures(fixture.gateway));
	assert_false(gateway_reaches_store(fixture.gateway));
	before = fixture.view_calls;
	run_with_others(&fixture, 3000, false);
	assert_int_equal(fixture.view_calls, before);
	fixture.store_refuses = false;
	receive_from_others(&fixture, true);
	receive_update(fixture.gateway, 3);
	gateway_fixture_run(&fixture, 1200);
	assert_false(has_failures(fixture.gateway));
	assert_true(gateway_keys_valid(fixture.gateway));
	gateway_fixture_stop(&fixture);
}

/* Waits for a list of nodes of this length.
 * @return a time shortly before the list arrived */
static int64_t wait_peers(gateway_fixture_t *fixture, size_t count)
{
	int64_t before_us = 0;
	int i;

	fixture->other_nodes = count;
	for (i = 0; i < 500 && fixture->gateway->peer_count != count; i++) {
		before_us = clock_monotonic_us();
		gateway_fixture_run(fixture, 10);
	}
	assert_int_equal(fixture->gateway->peer_count, count);
	return before_us;
}

/* Guards against a node without contact to any other that keeps calling the
 * platform: view updates of the others would end its outage. */
static void calls_seldom_while_partitioned(void **state)
{
	gateway_fixture_t fixture = { 0 };
	int before;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	wait_peers(&fixture, NODES);
	fixture.store_refuses = true;
	gateway_fixture_run(&fixture, 3000);
	assert_true(has_failures(fixture.gateway));
	before = fixture.view_calls;
	gateway_fixture_run(&fixture, 3000);
	assert_in_range(fixture.view_calls - before, 0, 1);
	gateway_fixture_stop(&fixture);
}

/* Guards against a starting fleet in which all nodes watch, because the
 * publishers wait for view updates, too. */
static void publishes_from_the_start(void **state)
{
	gateway_fixture_t fixture = { 0 };
	int64_t ms;

	gateway_fixture_start(&fixture);
	receive_from_nodes(&fixture, UINT64_MAX - OTHERS, true);
	for (ms = 0; ms < 500 && !fixture.gateway->views[0].watched; ms += 20) {
		gateway_fixture_run(&fixture, 20);
		receive_from_nodes(&fixture, UINT64_MAX - OTHERS, true);
	}
	assert_true(fixture.gateway->views[0].watched);
	gateway_fixture_stop(&fixture);
}

/* Guards against a node that the platform rejects while it answers others, and
 * that notices too late for its bounds that the platform answers it again. */
static void retries_soon_while_others_are_served(void **state)
{
	gateway_fixture_t fixture = { 0 };
	int64_t ms;
	int before;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	fixture.store_refuses = true;
	/* A newer version, which the node has to read itself. */
	for (ms = 0; ms < 2000; ms += 200) {
		receive_from_others(&fixture, true);
		receive_update(fixture.gateway, 4);
		gateway_fixture_run(&fixture, 200);
	}
	before = fixture.view_calls;
	for (ms = 0; ms < 2000; ms += 200) {
		receive_from_others(&fixture, true);
		receive_update(fixture.gateway, 4);
		gateway_fixture_run(&fixture, 200);
	}
	/* Pauses of 0.2 to 0.4 s for a bound of 2 s. */
	assert_in_range(fixture.view_calls - before, 4, 12);
	gateway_fixture_stop(&fixture);
}

/* Guards against a node that is alone in its region, and takes the silence of
 * its region for a partition: nodes of other regions send it nothing. */
static void tells_a_lone_node_from_a_partitioned_one(void **state)
{
	static const struct {
		const char *data_centre;
		bool is_partitioned;
	} cases[] = { { "a", true }, { "elsewhere", false } };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = { .other_nodes = 20,
					      .other_data_centre =
						      cases[i].data_centre };

		gateway_fixture_start(&fixture);
		wait_peers(&fixture, 20);
		assert_int_equal(gateway_is_partitioned(fixture.gateway),
				 cases[i].is_partitioned);
		gateway_fixture_stop(&fixture);
	}
}

/* Guards against starting nodes that learn of each other late. */
static void announces_to_new_nodes_at_once(void **state)
{
	gateway_fixture_t fixture = { .other_nodes = 250 };
	int64_t changed_us;

	gateway_fixture_start(&fixture);
	wait_peers(&fixture, 250);
	gateway_fixture_run(&fixture, 100);
	changed_us = wait_peers(&fixture, 251);
	gateway_fixture_run(&fixture, 60);
	assert_true(fixture.gateway->announced_us >= changed_us);
	gateway_fixture_stop(&fixture);
}

/* Guards against a fleet in which all nodes watch once the publishers fall
 * silent: the next nodes in the order take over, the others wait for them. */
static void stands_by_for_the_publishers(void **state)
{
	static const struct {
		size_t before; /* nodes before this node in the order */
		bool watches;
	} cases[] = {
		{ 2, true },
		{ 3, true },
		{ 4, false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = { 0 };
		uint64_t node;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		fixture.gateway->last_update_us =
			clock_monotonic_us() - 1400 * US_PER_MS;
		for (node = 0; node < OTHERS; node++)
			receive_from(fixture.gateway->load_table,
				     node < cases[i].before ? 1 + node
							    : UINT64_MAX - node,
				     "a", true);
		if (gateway_has_subscribers(fixture.gateway) !=
		    cases[i].watches)
			fail_msg("%zu nodes before this node", cases[i].before);
		fixture.gateway->last_update_us = clock_monotonic_us();
		assert_false(gateway_has_subscribers(fixture.gateway));
		gateway_fixture_stop(&fixture);
	}
}

/* Guards against a node that misses the changes of an outage because it had to
 * list the objects again during the outage. */
static void lists_again_after_an_outage(void **state)
{
	gateway_fixture_t fixture = { 0 };
	view_t *servers;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	fixture.store_refuses = true;
	run_with_others(&fixture, 2000, false);
	servers = &fixture.gateway->views[1];
	servers->failures = 5;
	gateway_relist(servers, 9000);
	fixture.store_refuses = false;
	receive_from_others(&fixture, true);
	receive_update(fixture.gateway, 3);
	gateway_fixture_run(&fixture, 1200);
	assert_true(servers->listed);
	assert_false(has_failures(fixture.gateway));
	gateway_fixture_stop(&fixture);
}

enum { OUTAGE_MS = 1500 };

/* Guards against two faults after an outage: a server that left while this node
 * was partitioned is used as if its entry could return, and a platform that
 * lost its entries leaves the fleet without servers. */
static const struct {
	/** Other nodes reach the platform, this node does not. */
	bool others_reach_platform;
	int64_t grace_ms; /**< grace period in the view updates */
	size_t servers; /**< servers that stay usable */
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
		view_update_t update = { .node = 1,
					 .grace_ms = outages[i].grace_ms };
		int64_t ms;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		assert_int_equal(count_servers(fixture.gateway), 4);
		fixture.store_refuses = true;
		for (ms = 0; ms < 4000 && !fixture.gateway->views[0].failures;
		     ms += 50)
			gateway_fixture_run(&fixture, 50);
		gateway_fixture_run(&fixture, OUTAGE_MS);
		fixture.store_refuses = false;
		fixture.no_servers = true;
		gateway_relist(&fixture.gateway->views[1], 0);
		for (ms = 0; ms < 4000 && fixture.gateway->views[0].failures;
		     ms += 50) {
			if (outages[i].others_reach_platform)
				gateway_receive_update(fixture.gateway,
						       &update);
			gateway_fixture_run(&fixture, 50);
		}
		for (ms = 0; ms < 1000; ms += 200) {
			if (outages[i].others_reach_platform)
				gateway_receive_update(fixture.gateway,
						       &update);
			gateway_fixture_run(&fixture, 200);
		}
		assert_true(fixture.gateway->views[1].listed);
		assert_int_equal(count_servers(fixture.gateway),
				 outages[i].servers);
		gateway_fixture_stop(&fixture);
	}
}

/* The platform allows 2 s; requests need some of it to arrive. */
static void server_that_left_is_used_after_a_failed_call(void **state)
{
	enum { USED_MAX_MS = 1000 };
	static const struct {
		const char *guards_against;
		int status; /* of the answer to a watch that fails */
		int calls; /* that fail; 0: the store is listed at once */
	} cases[] = { { "one refused call", 503, 1 },
		      { "calls refused for a moment", 503, 2 },
		      { "too many calls", 429, 1 },
		      { "history that is gone", 410, 0 } };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_fixture_t fixture = { 0 };
		const view_t *view;
		int64_t ms;

		gateway_fixture_start(&fixture);
		gateway_fixture_wait_ready(&fixture);
		view = &fixture.gateway->views[0];
		fixture.watch_status = cases[i].status;
		fixture.no_servers = !cases[i].calls;
		if (fixture.no_servers)
			gateway_fixture_run(&fixture, USED_MAX_MS / 2);
		for (ms = 0; ms < 2000 && view->failures < cases[i].calls;
		     ms += 2)
			gateway_fixture_run(&fixture, 2);
		assert_in_range(view->failures, cases[i].calls, 2);
		fixture.watch_status = 0;
		fixture.no_servers = true;
		gateway_fixture_run(&fixture, USED_MAX_MS / 2);
		gateway_relist(&fixture.gateway->views[1], 0);
		gateway_fixture_run(&fixture, USED_MAX_MS / 2);
		if (count_servers(fixture.gateway))
			fail_msg("case \"%s\"", cases[i].guards_against);
		gateway_fixture_stop(&fixture);
	}
}

/* Guards against changes that other nodes do not get because an odd entry among
 * them fits no datagram. */
static void odd_entry_fits_no_datagram(void **state)
{
	enum { LONG_BYTES = 4 * PACKET_SIZE_MAX_BYTES, REVISION = 20 };
	gateway_fixture_t fixture = { 0 };
	platform_object_t object = { .name = "i-odd" };
	packet_t packet = { .type = PACKET_VIEW_UPDATE,
			    .as.update = { .view_count = 1 } };
	uint8_t data[PACKET_SIZE_MAX_BYTES];
	char text[LONG_BYTES + 1] = "";
	view_t *view;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	view = &fixture.gateway->views[1];
	memset(text, 'x', LONG_BYTES);
	object.spec = json_pack("{s:s}", "odd", text);
	gateway_log_change(view, &object, REVISION, 0);
	json_decref(object.spec);
	assert_int_equal(change_log_fill(view->log, 0, PACKET_SIZE_MAX_BYTES,
					 REVISION, &packet.as.update.views[0]),
			 1);
	assert_true(packet_encode(&packet, data, sizeof(data)) > 0);
	gateway_fixture_stop(&fixture);
}

static void apply_entry(gateway_t *gateway, const char *state, int64_t born_ms)
{
	platform_object_t object = { .name = "i-9", .version = 20 };

	object.spec = json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i}", "service",
				"s", "address", "127.0.0.1:9", "zone", "a",
				"version", "v1", "concurrencyLimit", 8, "state",
				state, "coldLeftMs", 0, "seq", 1);
	if (born_ms)
		json_object_set_new(object.spec, "born", json_integer(born_ms));
	gateway_apply(&gateway->views[1], &object, 0);
	json_decref(object.spec);
}

/* Guards against a draining server that is put into use by an entry of another
 * program, which does not know when the server started. */
static void entry_without_its_start_ends_no_drain(void **state)
{
	static const struct {
		int64_t own_ms, other_ms; /* starts; 0: not stated */
		bool is_used;
	} cases[] = {
		{ 1700000000000, 0, false },
		{ 1700000000000, 1700000000001, true },
		{ 0, 0, true }, /* a server that never states its start */
	};
	gateway_fixture_t fixture = { 0 };
	size_t i;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	for (i = 0; i < COUNT_OF(cases); i++) {
		gateway_t *gateway = fixture.gateway;
		const backend_t *server;

		apply_entry(gateway, "draining", cases[i].own_ms);
		apply_entry(gateway, "ready", cases[i].other_ms);
		server = backends_find(gateway->backends, "i-9");
		if ((server && backend_usable(server, clock_monotonic_us())) !=
		    cases[i].is_used)
			fail_msg("case %zu", i);
		backends_remove(gateway->backends, "i-9", 0);
	}
	gateway_fixture_stop(&fixture);
}

/* Guards against changes that a node does not receive because another node,
 * which had the same place in the list of nodes before, has them already. */
static void tracks_changes_per_node(void **state)
{
	gateway_fixture_t fixture = { 0 };
	const peer_t *peers;
	size_t i;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	wait_peers(&fixture, 1);
	fixture.gateway->peers[0].sent_revisions[1] = 99;
	fixture.gateway->peers[0].unacked_since_us[1] = INT64_MAX;
	wait_peers(&fixture, 2);
	peers = fixture.gateway->peers;
	for (i = 0; i < 2; i++) {
		assert_int_equal(peers[i].sent_revisions[1], 0);
		assert_int_equal(peers[i].unacked_since_us[1], 0);
	}
	gateway_fixture_stop(&fixture);
}

/* The copy lacks the entries of this node and of the others. */
static void nodes_are_lost_with_a_restored_store(void **state)
{
	gateway_fixture_t fixture = { .era = "1", .other_nodes = 3 };

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	gateway_fixture_run(&fixture, 1000);
	assert_int_equal(fixture.registrations, 1);
	assert_int_equal(fixture.gateway->nodes, 4);
	fixture.era = "2";
	fixture.other_nodes = 0;
	gateway_fixture_run(&fixture, 1800);
	assert_int_equal(fixture.registrations, 2);
	assert_int_equal(fixture.gateway->nodes, 4);
	gateway_fixture_stop(&fixture);
}

/* The copy has an older configuration, until the newer one is written again. */
static void restored_store_confirms_an_older_configuration(void **state)
{
	gateway_fixture_t fixture = { .era = "1", .configuration_version = 7 };
	const view_t *view;
	int64_t confirmed_us;

	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	view = &fixture.gateway->views[0];
	fixture.configuration_version = 5;
	fixture.era = "2";
	gateway_fixture_run(&fixture, 600);
	confirmed_us = view->confirmed_boot_us;
	gateway_fixture_run(&fixture, 600);
	assert_int_equal(gateway_routing_version(fixture.gateway), 7);
	assert_int_equal(view->confirmed_boot_us, confirmed_us);
	fixture.configuration_version = 7;
	gateway_fixture_run(&fixture, 600);
	assert_true(view->confirmed_boot_us > confirmed_us);
	gateway_fixture_stop(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(ranks_nodes),
		cmocka_unit_test(lets_others_retry_in_an_outage),
		cmocka_unit_test(calls_seldom_while_partitioned),
		cmocka_unit_test(publishes_from_the_start),
		cmocka_unit_test(stands_by_for_the_publishers),
		cmocka_unit_test(tells_a_lone_node_from_a_partitioned_one),
		cmocka_unit_test(announces_to_new_nodes_at_once),
		cmocka_unit_test(retries_soon_while_others_are_served),
		cmocka_unit_test(nodes_are_lost_with_a_restored_store),
		cmocka_unit_test(
			restored_store_confirms_an_older_configuration),
		cmocka_unit_test(lists_again_after_an_outage),
		cmocka_unit_test(keeps_servers_after_an_outage),
		cmocka_unit_test(server_that_left_is_used_after_a_failed_call),
		cmocka_unit_test(odd_entry_fits_no_datagram),
		cmocka_unit_test(entry_without_its_start_ends_no_drain),
		cmocka_unit_test(tracks_changes_per_node),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

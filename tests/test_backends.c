/** Tests the table of backend servers and the load table of other nodes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "cases.h"
#include "process/attempt_load.h"
#include "process/backends.h"
#include "process/load_table.h"

#define MS(count) ((int64_t)(count)*US_PER_MS)

static const service_conf_t service = { .name = "drafting",
					.cold_requests_per_s = 36 };
static const backends_conf_t conf = { .data_centre = "north",
				      .cold_factor = 1.5,
				      .cold_slack = 5,
				      .drain_us = 2 * US_PER_S };
static backends_t *backends;

static int set_up(void **state)
{
	backends = backends_create(&conf);
	return 0;
}

static int tear_down(void **state)
{
	backends_destroy(backends);
	return 0;
}

static backend_entry_t entry_of(const char *id, const char *dc)
{
	backend_entry_t entry = { .slots = 4, .state = BACKEND_READY };

	mem_strlcpy(entry.id, id, sizeof(entry.id));
	entry.service = service.name;
	mem_strlcpy(entry.address, "10.0.0.1:80", sizeof(entry.address));
	mem_strlcpy(entry.data_centre, dc, sizeof(entry.data_centre));
	return entry;
}

static backend_t *add(const char *id, const char *dc)
{
	backend_entry_t entry = entry_of(id, dc);

	backends_update(backends, &entry, 0);
	return backends_find(backends, id);
}

/* Returns the ids of the candidates, as "a b"; fallback servers in brackets. */
static const char *listed(int64_t now_us)
{
	static char text[256];
	size_t used = 0;
	backends_query_t query = { .service = &service, .now_us = now_us };
	candidate_t *candidates;
	size_t i, count = backends_candidates(backends, &query, &candidates);

	*text = '\0';
	for (i = 0; i < count; i++) {
		const backend_t *server = candidates[i].server;

		used += (size_t)snprintf(
			text + used, sizeof(text) - used,
			candidates[i].fallback ? "%s(%s)" : "%s%s",
			i ? " " : "", backend_entry(server)->id);
	}
	free(candidates);
	return text;
}

typedef enum {
	DRAIN,
	EVACUATE,
	RESTORE,
	REMOVE,
	REMOVE_LATER, /* removes a server with a grace period of 1.8 s */
	WRITE_ENTRY, /* writes the server's first entry again */
	REFUSE_CONNECTION,
	BREAK,
	ANSWER,
	NODES_SILENT,
	NODES_PARTITIONED,
	NODES_REACHABLE,
	EXPIRE,
	OTHER_SERVICE,
	ANNOUNCE_LEAVING,
	REJECTS, /* the server rejects requests for 500 ms */
	RESTART,
	LIST_COPY /* the store lists a as usable, from an older copy */
} event_t;

static void list_copy(const backend_entry_t *entry, int64_t now_us)
{
	backend_entry_t b = entry_of("b", "north"), c = entry_of("c", "south");

	backends_begin_listing(backends, true);
	backends_update(backends, entry, now_us);
	backends_update(backends, &b, now_us);
	backends_update(backends, &c, now_us);
	backends_end_listing(backends, 0);
}

static void apply(event_t event, int64_t now_us)
{
	backend_t *a = backends_find(backends, "a");
	backend_entry_t entry = entry_of("a", "north");

	switch (event) {
	case DRAIN:
		entry.state = BACKEND_DRAINING;
		backends_update(backends, &entry, now_us);
		break;
	case EVACUATE:
	case RESTORE:
		backends_evacuate(backends, "north", event == EVACUATE);
		break;
	case REMOVE:
		backends_remove(backends, "a", 0);
		break;
	case REMOVE_LATER:
		backends_remove(backends, "a", now_us + MS(1800));
		break;
	case WRITE_ENTRY:
		backends_update(backends, &entry, now_us);
		break;
	case REFUSE_CONNECTION:
		backend_note(a, EVIDENCE_UNREACHABLE, now_us);
		break;
	case BREAK:
		backend_note(a, EVIDENCE_BROKEN, now_us);
		break;
	case ANSWER:
		backend_note(a, EVIDENCE_GOOD, now_us);
		break;
	case NODES_SILENT:
		backends_note_peers(backends, "north", PEERS_SILENT, now_us);
		break;
	case NODES_PARTITIONED:
		backends_note_peers(backends, "north", PEERS_PARTITIONED,
				    now_us);
		break;
	case NODES_REACHABLE:
		backends_note_peers(backends, "north", PEERS_REACHABLE, now_us);
		break;
	case EXPIRE:
		backends_expire(backends, now_us);
		break;
	case OTHER_SERVICE:
		entry.service = "jobdesk";
		backends_update(backends, &entry, now_us);
		break;
	case ANNOUNCE_LEAVING:
		backend_note_leaving(a, now_us);
		break;
	case REJECTS:
		backend_note_rejecting(a, now_us + MS(500));
		break;
	case LIST_COPY:
		list_copy(&entry, now_us);
		break;
	case RESTART:
		entry.born_ms = 99;
		backends_update(backends, &entry, now_us);
		break;
	}
}

/*
 * Guards against requests sent to a server that is not usable, and against
 * usable servers that get none. Servers a and b are in the data centre north, c
 * is in south; all events concern a or north.
 */
static void lists_usable_servers(void **state)
{
	static const struct {
		const char *guards_against;
		struct {
			int64_t at_ms;
			event_t event;
		} events[4];
		size_t count;
		int64_t at_ms;
		const char *expected;
	} cases[] = {
		{ "a usable server that is not listed",
		  { { 0 } },
		  0,
		  0,
		  "a b c" },
		{ "a draining server that is still listed",
		  { { 10, DRAIN } },
		  1,
		  10,
		  "b c" },
		{ "a draining server that an older copy lists as usable",
		  { { 10, DRAIN }, { 20, LIST_COPY } },
		  2,
		  30,
		  "b c" },
		{ "a removed server that an older copy lists",
		  { { 10, REMOVE }, { 20, LIST_COPY } },
		  2,
		  4000,
		  "b c" },
		{ "a server that writes its entry after the copy, and is unused",
		  { { 10, REMOVE }, { 20, LIST_COPY }, { 30, WRITE_ENTRY } },
		  3,
		  40,
		  "b c a" },
		{ "a server of an older copy that is unused for ever",
		  { { 10, DRAIN }, { 20, LIST_COPY } },
		  2,
		  5100,
		  "a b c" },
		{ "a server that never left, and is unused after a copy",
		  { { 20, LIST_COPY } },
		  1,
		  30,
		  "a b c" },
		{ "an evacuated data centre that is still listed",
		  { { 10, EVACUATE } },
		  1,
		  10,
		  "c" },
		{ "a restored data centre that is not listed",
		  { { 10, EVACUATE }, { 20, RESTORE } },
		  2,
		  20,
		  "a b c" },
		{ "a removed server that is still listed",
		  { { 10, REMOVE } },
		  1,
		  10,
		  "b c" },
		{ "an outage of the platform that empties the table",
		  { { 10, REMOVE_LATER }, { 1800, EXPIRE } },
		  2,
		  1800,
		  "a b c" },
		{ "a server that is listed after its grace period",
		  { { 10, REMOVE_LATER }, { 1811, EXPIRE } },
		  2,
		  1811,
		  "b c" },
		{ "a server that is removed though its entry came back",
		  { { 10, REMOVE_LATER },
		    { 900, WRITE_ENTRY },
		    { 1811, EXPIRE } },
		  3,
		  1811,
		  "a b c" },
		{ "a server that now belongs to another service",
		  { { 10, OTHER_SERVICE } },
		  1,
		  10,
		  "b c" },
		{ "a server that just failed and is not fallback",
		  { { 10, BREAK } },
		  1,
		  20,
		  "(a) b c" },
		{ "a failed server that is never tried again",
		  { { 10, BREAK } },
		  1,
		  400,
		  "a b c" },
		{ "a pause that does not grow",
		  { { 10, BREAK }, { 400, BREAK } },
		  2,
		  800,
		  "(a) b c" },
		{ "a server that answered and is still fallback",
		  { { 10, BREAK }, { 20, ANSWER } },
		  2,
		  30,
		  "a b c" },
		{ "one refused connection that makes a data centre fallback",
		  { { 10, REFUSE_CONNECTION } },
		  1,
		  20,
		  "(a) b c" },
		{ "a partition that each server must show by itself",
		  { { 10, REFUSE_CONNECTION },
		    { 20, REFUSE_CONNECTION },
		    { 30, REFUSE_CONNECTION } },
		  3,
		  40,
		  "(a) (b) c" },
		{ "a partition that silent nodes already show",
		  { { 5, NODES_SILENT }, { 10, REFUSE_CONNECTION } },
		  2,
		  20,
		  "(a) (b) c" },
		{ "a leaving server used again once its entry is back",
		  { { 10, ANNOUNCE_LEAVING },
		    { 500, REMOVE },
		    { 600, WRITE_ENTRY } },
		  3,
		  1100,
		  "b c" },
		{ "a rejecting server used again once its entry is back",
		  { { 10, REJECTS }, { 50, REMOVE }, { 100, WRITE_ENTRY } },
		  3,
		  400,
		  "b c" },
		{ "a server kept out by what it said before its restart",
		  { { 10, ANNOUNCE_LEAVING },
		    { 500, REMOVE },
		    { 600, RESTART } },
		  3,
		  1100,
		  "b c a" },
		{ "a leaving server that is not fallback",
		  { { 10, ANNOUNCE_LEAVING } },
		  1,
		  20,
		  "(a) b c" },
		{ "a leaving server that is listed for its rewritten entry",
		  { { 10, ANNOUNCE_LEAVING }, { 900, WRITE_ENTRY } },
		  2,
		  1010,
		  "b c" },
		{ "a second answer that gives a leaving server more time",
		  { { 10, ANNOUNCE_LEAVING }, { 900, ANNOUNCE_LEAVING } },
		  2,
		  1010,
		  "b c" },
		{ "a restarted server that is judged by its previous start",
		  { { 10, ANNOUNCE_LEAVING },
		    { 20, REJECTS },
		    { 30, RESTART } },
		  3,
		  1010,
		  "a b c" },
		{ "a server that rejects requests and is listed",
		  { { 10, REJECTS } },
		  1,
		  509,
		  "b c" },
		{ "an answer to another request that ends the rejection early",
		  { { 10, REJECTS }, { 20, ANSWER } },
		  2,
		  509,
		  "b c" },
		{ "a server that is not listed after its rejection ended",
		  { { 10, REJECTS } },
		  1,
		  510,
		  "a b c" },
		{ "a partition that shows as the silence of many nodes",
		  { { 5, NODES_PARTITIONED } },
		  1,
		  20,
		  "(a) (b) c" },
		{ "many silent nodes that make answering servers fallback",
		  { { 5, NODES_PARTITIONED }, { 15, ANSWER } },
		  2,
		  20,
		  "a b c" },
		{ "a partition that ends before a server answers",
		  { { 5, ANSWER },
		    { 15, NODES_PARTITIONED },
		    { 900, NODES_PARTITIONED } },
		  3,
		  3000,
		  "(a) (b) c" },
		{ "a data centre that is fallback after its nodes announce",
		  { { 5, NODES_PARTITIONED }, { 900, NODES_REACHABLE } },
		  2,
		  910,
		  "a b c" },
		{ "few silent nodes that make working servers fallback",
		  { { 5, NODES_SILENT } },
		  1,
		  20,
		  "a b c" },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		set_up(NULL);
		add("a", "north");
		add("b", "north");
		add("c", "south");
		for (j = 0; j < cases[i].count; j++)
			apply(cases[i].events[j].event,
			      MS(cases[i].events[j].at_ms));
		if (strcmp(listed(MS(cases[i].at_ms)), cases[i].expected) != 0)
			fail_msg("case \"%s\": %s", cases[i].guards_against,
				 listed(MS(cases[i].at_ms)));
		tear_down(NULL);
	}
}

/* Lets each of count nodes send to a cold server as often as its limit allows.
 * Sets what all nodes send in the worst second, and the sum over 2 s. */
static void send_to_cold(const uint64_t *nodes, size_t listed, size_t count,
			 int32_t *worst, int32_t *sum)
{
	backends_t *tables[70];
	backend_entry_t entry = entry_of("a", "north");
	int32_t sent[2000] = { 0 };
	int64_t ms;
	size_t i;

	entry.cold_left_ms = 3000;
	for (i = 0; i < count; i++) {
		tables[i] = backends_create(&conf);
		if (listed)
			backends_set_nodes(tables[i], nodes, listed, nodes[i],
					   0);
		backends_update(tables[i], &entry, 0);
	}
	*worst = *sum = 0;
	for (ms = 0; ms < 2000; ms++) {
		int32_t window = 0;
		int64_t at;

		for (i = 0; i < count; i++)
			while (backend_take(backends_find(tables[i], "a"),
					    &service, MS(ms)))
				sent[ms]++;
		*sum += sent[ms];
		for (at = ms > 999 ? ms - 999 : 0; at <= ms; at++)
			window += sent[at];
		if (window > *worst)
			*worst = window;
	}
	for (i = 0; i < count; i++)
		backends_destroy(tables[i]);
}

/* Guards against nodes that each use the whole limit of a cold server, and
 * against a limit divided by so many nodes that no node can use its part. */
static void divides_cold_limit(void **state)
{
	static const struct {
		const char *label;
		/* nodes that each node knows (0: no list yet), and all nodes */
		size_t listed, count;
		int32_t least; /* requests that are sent in 2 s at least */
	} cases[] = {
		{ "one node", 1, 1, 60 },
		{ "as many nodes as use the server", 4, 4, 60 },
		{ "many nodes", 65, 65, 60 },
		{ "nodes that start and do not know of each other", 0, 16, 0 },
	};
	uint64_t nodes[70];
	size_t i;

	for (i = 0; i < COUNT_OF(nodes); i++)
		nodes[i] = i * 7919 + 1;
	for (i = 0; i < COUNT_OF(cases); i++) {
		int32_t worst, sum;

		send_to_cold(nodes, cases[i].listed, cases[i].count, &worst,
			     &sum);
		/* 36 requests/s, times cold_factor 1.5, plus cold_slack 5 */
		if (worst > 59 || sum < cases[i].least || sum > 108 + 5)
			fail_msg("%s: %d in a second, %d in all",
				 cases[i].label, worst, sum);
	}
	add("a", "north");
	assert_true(
		backend_take(backends_find(backends, "a"), &service, MS(4000)));
}

/* Guards against failures of a server before its restart that still make it
 * fallback after the restart. */
static void restart_clears_failures(void **state)
{
	backend_entry_t entry = entry_of("a", "north");
	backend_t *server = add("a", "north");

	backend_note(server, EVIDENCE_BROKEN, 0);
	assert_string_equal(listed(MS(1)), "(a)");
	entry.born_ms = 77;
	assert_true(backends_update(backends, &entry, MS(1)));
	assert_string_equal(listed(MS(1)), "a");
	assert_false(backends_update(backends, &entry, MS(2)));
}

/* Guards against load of an attempt that is missing, counted twice, or left
 * behind in one of its phases. */
static void counts_load_of_attempt(void **state)
{
	candidate_t candidate = { .server = add("a", "north") };
	placement_t placement = { .count = 1,
				  .shards = { &candidate },
				  .first_event_us = MS(200),
				  .prefill_us = { MS(150) } };
	attempt_load_t load_of_attempt = { .phase = ATTEMPT_IDLE };
	backend_t *server = candidate.server;
	load_table_t *table = load_table_create();
	server_load_t load;

	attempt_load_begin(&load_of_attempt, &placement, 6000, MS(250),
			   MS(400));
	load_table_add_prefill(table, backend_hash(server), MS(150), 0);
	load = backend_load(server, table, NULL, 0);
	assert_int_equal(load.prefilling, 1);
	assert_int_equal(load.backlog_us, MS(150));
	assert_int_equal(load.kv_tokens, 6000);
	assert_int_equal(load.decode_pending, 1);
	assert_int_equal(load.gap_us, MS(250));
	assert_int_equal(load.target_us, MS(400));
	load = backend_load(server, table, NULL, MS(70));
	assert_int_equal(load.backlog_us, MS(80));
	/* Without a first event, all of the prefill is announced. */
	load = backend_load(server, NULL, NULL, MS(70));
	assert_int_equal(load.backlog_us, MS(150));
	/* Prefill past its predicted end still counts. */
	load = backend_load(server, table, NULL, MS(900));
	assert_true(load.backlog_us > 0);
	attempt_load_first_event(&load_of_attempt);
	load = backend_load(server, table, NULL, MS(900));
	assert_int_equal(load.backlog_us, 0);
	assert_int_equal(load.prefilling, 0);
	assert_int_equal(load.decoding, 1);
	assert_int_equal(load.gap_us, MS(250));
	/* The server may be removed while the stream runs. */
	backends_remove(backends, "a", 0);
	attempt_load_end(&load_of_attempt);
	load_table_destroy(table);
}

static announcement_t message_of(uint64_t node, uint64_t sequence,
				 load_item_t *items, size_t count)
{
	announcement_t message = { .node = node,
				   .incarnation = 1,
				   .sequence = sequence,
				   .data_centre = "north",
				   .items = items,
				   .item_count = count };

	return message;
}

/* Guards against load of other nodes that is missing, outdated, or counted
 * after its node stopped. */
static void adds_load_of_other_nodes(void **state)
{
	load_table_t *table = load_table_create();
	uint32_t hash = load_table_hash("a");
	load_item_t item = { .server_hash = hash,
			     .prefilling = 1,
			     .decoding = 2,
			     .kv_tokens = 9000,
			     .backlog_us = MS(300),
			     .gap_us = MS(250),
			     .target_us = MS(350) };
	announcement_t first = message_of(1, 5, &item, 1);
	announcement_t second = message_of(2, 1, &item, 1);
	announcement_t old = message_of(1, 4, &item, 1);
	announcement_t empty = message_of(1, 6, NULL, 0);
	server_load_t load = { 0 };

	assert_true(load_table_receive(table, &first, 0, 0));
	assert_true(load_table_receive(table, &second, 0, 0));
	assert_false(load_table_receive(table, &old, MS(1), 0));
	load_table_add_load(table, hash, NULL, &load, MS(100));
	assert_int_equal(load.decoding, 4);
	/* The server does the prefill of both nodes in turn: 600 - 100 ms. */
	assert_int_equal(load.backlog_us, MS(500));
	assert_int_equal(load.gap_us, MS(250));
	assert_int_equal(load.target_us, MS(250));
	assert_true(load_table_receive(table, &empty, MS(100), 0));
	memset(&load, 0, sizeof(load));
	load_table_add_load(table, hash, NULL, &load, MS(100));
	assert_int_equal(load.decoding, 2);
	/* The load of a node that stopped must not count for ever. */
	memset(&load, 0, sizeof(load));
	load_table_add_load(table, hash, NULL, &load, MS(2500));
	assert_int_equal(load.decoding, 0);
	assert_int_equal(load_table_peers(table, "north", MS(160), MS(2500)),
			 PEERS_SILENT);
	assert_int_equal(load_table_peers(table, "south", MS(160), MS(2500)),
			 PEERS_REACHABLE);
	load_table_expire(table, MS(20000));
	assert_int_equal(load_table_node_count(table), 0);
	load_table_destroy(table);
}

static void ignore_change(void *context, const char *name, bool is_cut_off)
{
}

/*
 * Guards against a node that does not notice that it lost all servers of a
 * service, or that takes servers that are down, busy or new for it. Servers a
 * to d are ready at 0; a step is a connection that was started at its time.
 */
static void tells_cut_off_from_servers_that_fail(void **state)
{
	enum { FAILS = 1, WORKS, STARTS, LEAVES };
	static const struct {
		const char *guards_against;
		const char *servers;
		struct {
			int32_t at_ms, took_ms;
			char server;
			int what;
		} steps[8];
		bool is_cut_off;
	} cases[] = {
		{ "three servers fail, none works",
		  "abcd",
		  { { 5000, 200, 'a', FAILS },
		    { 5010, 200, 'b', FAILS },
		    { 5020, 2, 'd', FAILS } },
		  true },
		{ "two servers are down",
		  "abcd",
		  { { 5000, 2, 'a', FAILS }, { 5010, 2, 'b', FAILS } },
		  false },
		{ "one server refuses again and again",
		  "abcd",
		  { { 5000, 2, 'a', FAILS },
		    { 5010, 2, 'a', FAILS },
		    { 5020, 2, 'a', FAILS } },
		  false },
		{ "a service with two servers",
		  "ab",
		  { { 5000, 2, 'a', FAILS }, { 5010, 2, 'b', FAILS } },
		  true },
		{ "connections work among those that fail",
		  "abcde",
		  { { 5000, 2, 'a', FAILS },
		    { 5010, 2, 'b', FAILS },
		    { 5012, 2, 'e', WORKS },
		    { 5015, 2, 'c', WORKS },
		    { 5020, 2, 'd', FAILS } },
		  false },
		{ "one server is left, and used again and again",
		  "abcde",
		  { { 5000, 2, 'a', FAILS },
		    { 5005, 2, 'e', WORKS },
		    { 5010, 2, 'b', FAILS },
		    { 5012, 2, 'e', WORKS },
		    { 5020, 2, 'd', FAILS },
		    { 5022, 2, 'e', WORKS } },
		  true },
		{ "servers that worked last, before the cut",
		  "abcde",
		  { { 4990, 2, 'd', WORKS },
		    { 4990, 2, 'e', WORKS },
		    { 5000, 200, 'a', FAILS },
		    { 5010, 200, 'b', FAILS },
		    { 5020, 200, 'c', FAILS } },
		  true },
		{ "an answer to a request from before the cut",
		  "abcd",
		  { { 5000, 2, 'a', FAILS },
		    { 5010, 2, 'b', FAILS },
		    { 4000, 1015, 'c', WORKS },
		    { 5020, 2, 'd', FAILS } },
		  true },
		{ "a failure that shows after a later success",
		  "abc",
		  { { 5000, 200, 'a', FAILS },
		    { 5010, 2, 'b', FAILS },
		    { 5020, 2, 'c', FAILS },
		    { 5100, 2, 'b', WORKS },
		    { 5050, 200, 'c', FAILS } },
		  false },
		{ "the way back",
		  "abcde",
		  { { 5000, 2, 'a', FAILS },
		    { 5010, 2, 'b', FAILS },
		    { 5020, 2, 'd', FAILS },
		    { 5030, 2, 'e', FAILS },
		    { 9000, 2, 'b', WORKS },
		    { 9040, 2, 'a', WORKS } },
		  false },
		{ "a new server is not tried",
		  "abc",
		  { { 5000, 2, 'a', FAILS },
		    { 5010, 2, 'b', FAILS },
		    { 5020, 2, 'c', FAILS },
		    { 5100, 0, 'a', STARTS } },
		  false },
		{ "a new server beside three that fail is not tried",
		  "abcd",
		  { { 5000, 2, 'a', FAILS },
		    { 5010, 2, 'b', FAILS },
		    { 5020, 2, 'c', FAILS },
		    { 5030, 2, 'd', FAILS },
		    { 5100, 0, 'a', STARTS } },
		  false },
		{ "a new server fails, too",
		  "abc",
		  { { 5000, 2, 'a', FAILS },
		    { 5010, 2, 'b', FAILS },
		    { 5020, 2, 'c', FAILS },
		    { 5100, 0, 'a', STARTS },
		    { 5110, 2, 'a', FAILS } },
		  true },
		{ "servers that failed are gone",
		  "abcd",
		  { { 5000, 2, 'a', FAILS },
		    { 5010, 2, 'b', FAILS },
		    { 5020, 2, 'c', FAILS },
		    { 5030, 0, 'a', LEAVES },
		    { 5030, 0, 'b', LEAVES } },
		  false },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		const char *name;
		int64_t now_us = 0;

		set_up(state);
		for (name = cases[i].servers; *name; name++)
			add((char[]){ *name, '\0' }, "north");
		for (j = 0; j < COUNT_OF(cases[i].steps); j++) {
			char id[] = { cases[i].steps[j].server, '\0' };
			int64_t at_us = MS(cases[i].steps[j].at_ms);
			backend_entry_t entry = entry_of(id, "north");

			now_us = at_us + MS(cases[i].steps[j].took_ms);
			switch (cases[i].steps[j].what) {
			case FAILS:
			case WORKS:
				backend_note_connection(
					backends_find(backends, id),
					cases[i].steps[j].what == WORKS, at_us,
					now_us);
				break;
			case STARTS:
				entry.born_ms = 99;
				backends_update(backends, &entry, now_us);
				break;
			case LEAVES:
				backends_remove(backends, id, 0);
				break;
			}
			if (cases[i].steps[j].what)
				backends_check_reach(backends, ignore_change,
						     NULL, now_us);
		}
		if (backends_is_cut_off(backends, service.name) !=
		    cases[i].is_cut_off)
			fail_msg("case \"%s\"", cases[i].guards_against);
		tear_down(state);
	}
}

/* Guards against partitions that are found late, and against silent nodes
 * taken for a partition. Each node announces at least every 260 ms, at times
 * independent of the other nodes. */
static void tells_partition_from_silence(void **state)
{
	static const struct {
		const char *label;
		size_t nodes;
		size_t stopped; /* nodes that stopped 1 s before the others */
		int64_t silence_ms;
		peers_state_t expected;
	} cases[] = {
		{ "a partition that is found late", 22, 0, 130,
		  PEERS_PARTITIONED },
		{ "a short silence of busy nodes taken for a partition", 22, 0,
		  110, PEERS_REACHABLE },
		{ "nodes that stopped before, counted for a partition", 22, 20,
		  300, PEERS_REACHABLE },
		{ "two nodes taken for a partition", 2, 0, 700,
		  PEERS_REACHABLE },
		{ "two silent nodes taken for live", 2, 0, 790, PEERS_SILENT },
		{ "a partition of few nodes that is found late", 6, 0, 500,
		  PEERS_PARTITIONED },
		{ "no nodes at all", 0, 0, 5000, PEERS_REACHABLE },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		load_table_t *table = load_table_create();
		int64_t last_us = MS(3000);
		peers_state_t peers;

		for (j = 0; j < cases[i].nodes; j++) {
			announcement_t message = message_of(j + 1, 1, NULL, 0);
			int64_t at_us =
				last_us - MS(j * 260) / (int64_t)cases[i].nodes;

			if (j && j <= cases[i].stopped)
				at_us -= MS(1000);
			assert_true(
				load_table_receive(table, &message, at_us, 0));
		}
		peers = load_table_peers(table, "north", MS(260),
					 last_us + MS(cases[i].silence_ms));
		if (peers != cases[i].expected)
			fail_msg("%s: %d", cases[i].label, (int)peers);
		load_table_destroy(table);
	}
}

/*
 * Guards against nodes of an earlier build that keep sending to a server with a
 * rate, and against nodes that know rates and take the server for failing.
 */
static void announces_rates_to_earlier_builds(void **state)
{
	static const struct {
		const char *guards_against;
		bool is_limited, knows_rates, fallback;
	} cases[] = {
		{ "an earlier build that uses a limited server", true, false,
		  true },
		{ "a limited server that counts as failing", true, true,
		  false },
		{ "a server without a rate that counts as failing", false, true,
		  false },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		server_rate_t rate = { load_table_hash("a"),
				       cases[i].is_limited, 2, 0 };
		server_rates_t *rates = server_rates_create();
		load_table_t *table = load_table_create();
		backends_query_t query = { .service = &service,
					   .load_table = table };
		candidate_t *candidates;
		size_t count;

		set_up(NULL);
		add("a", "south");
		server_rates_note(rates, &rate, 0, 0);
		for (j = 1; j <= 2; j++) {
			announcement_t message = message_of(j, 1, NULL, 0);

			message.failing_count = server_rates_limited(
				rates, message.failing, LOAD_FAILING_MAX);
			load_table_receive(table, &message, 0, 0);
		}
		if (cases[i].knows_rates) {
			backends_set_nodes(backends, &(uint64_t){ 1 }, 1, 1,
					   MS(-20000));
			server_rates_receive(backends_rates(backends), &rate,
					     0);
		}
		/* Late enough for a part of the rate. */
		query.now_us = MS(1500);
		count = backends_candidates(backends, &query, &candidates);
		if (count != 1 || candidates[0].fallback != cases[i].fallback)
			fail_msg("case \"%s\": %zu candidates",
				 cases[i].guards_against, count);
		free(candidates);
		load_table_destroy(table);
		server_rates_destroy(rates);
		tear_down(NULL);
	}
}

/* Guards against a single partitioned node whose failures make all other nodes
 * avoid a server. */
static void avoids_server_failing_for_others(void **state)
{
	load_table_t *table = load_table_create();
	announcement_t message = message_of(1, 1, NULL, 0);
	backends_query_t query = { .service = &service, .load_table = table };
	candidate_t *candidates;
	size_t i;

	add("a", "south");
	for (i = 0; i < 3; i++) {
		message.node = i + 1;
		message.failing[0] = load_table_hash("a");
		message.failing_count = 1;
		assert_true(load_table_receive(table, &message, 0, 0));
		assert_int_equal(
			backends_candidates(backends, &query, &candidates), 1);
		assert_int_equal(candidates[0].fallback, i > 0);
		free(candidates);
	}
	load_table_destroy(table);
}

/* Guards against usage that is counted by the clock of a VM that jumped: the
 * median of all clocks applies. */
static void uses_median_of_clocks(void **state)
{
	static const struct {
		const char *label;
		int64_t own_ms, other_ms[4]; /* 0: build without wall_ms */
		int64_t expected_ms;
	} cases[] = {
		{ "no other node", 5000, { 0 }, 5000 },
		{ "the clock of this node jumped",
		  9000,
		  { 5000, 5001, 0, 5002 },
		  5002 },
		{ "the clock of another node jumped",
		  5001,
		  { 5000, 99000, 5002, 1 },
		  5001 },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		load_table_t *table = load_table_create();

		for (j = 0; j < COUNT_OF(cases[i].other_ms); j++) {
			announcement_t message = message_of(j + 1, 1, NULL, 0);

			message.wall_ms = cases[i].other_ms[j];
			load_table_receive(table, &message, MS(10), MS(40));
		}
		/* 500 ms after the announcements */
		if (load_table_wall_ms(table, cases[i].own_ms + 500, MS(510),
				       MS(540)) != cases[i].expected_ms + 500)
			fail_msg("%s", cases[i].label);
		load_table_destroy(table);
	}
}

/* Guards against a datagram with a huge prefill backlog, for which a server
 * would get no requests for days. */
static void limits_announced_backlog(void **state)
{
	load_table_t *table = load_table_create();
	uint32_t hash = load_table_hash("a");
	load_item_t item = { .server_hash = hash,
			     .prefilling = 1,
			     .backlog_us = MS(UINT32_MAX) };
	announcement_t hostile = message_of(1, 1, &item, 1);
	announcement_t valid = message_of(2, 1, &item, 1);
	server_load_t load = { 0 };

	assert_true(load_table_receive(table, &hostile, 0, 0));
	item.backlog_us = MS(300);
	assert_true(load_table_receive(table, &valid, MS(61000), 0));
	load_table_add_load(table, hash, NULL, &load, MS(61200));
	assert_int_equal(load.backlog_us, MS(100));
	load_table_destroy(table);
}

/* Guards against a restarted node whose announcements are ignored for ever,
 * since its clock was set back and its incarnation is lower than before. */
static void accepts_restarted_node(void **state)
{
	load_table_t *table = load_table_create();
	announcement_t previous = message_of(1, 9, NULL, 0);
	announcement_t restarted = message_of(1, 1, NULL, 0);

	previous.incarnation = 500;
	restarted.incarnation = 100;
	assert_true(load_table_receive(table, &previous, 0, 0));
	assert_false(load_table_receive(table, &restarted, MS(500), 0));
	assert_true(load_table_receive(table, &restarted, MS(2500), 0));
	load_table_destroy(table);
}

/* Guards against choices of servers that take longer the more nodes datagrams
 * name, and against loads whose sum overflows. */
static void names_of_nodes_decide_how_long_a_choice_takes(void **state)
{
	enum { NAMED = 10000, KEPT_MAX = 4096 };
	load_table_t *table = load_table_create();
	uint32_t hash = load_table_hash("a");
	load_item_t item = { .server_hash = hash,
			     .prefilling = INT16_MAX,
			     .decoding = INT16_MAX };
	candidate_t candidate = { .slots = 1 };
	announcement_t message;
	uint64_t node;

	for (node = 1; node <= NAMED; node++) {
		message = message_of(node, 1, &item, 1);
		load_table_receive(table, &message, 0, 0);
	}
	assert_in_range(load_table_node_count(table), 1000, KEPT_MAX);
	load_table_add_load(table, hash, NULL, &candidate.load, MS(1));
	assert_true(candidate.load.decoding > 0);
	assert_true(candidate.load.decoding + candidate.load.prefilling > 0);
	message = message_of(1, 2, &item, 1);
	assert_true(load_table_receive(table, &message, MS(2), 0));
	load_table_expire(table, 20 * US_PER_S);
	message = message_of(NAMED, 3, &item, 1);
	assert_true(load_table_receive(table, &message, 20 * US_PER_S, 0));
	load_table_destroy(table);
}

/* Guards against requests that leave an idle data centre, and against ones that
 * stay in one that has no servers or no room; also against any of it where the
 * servers state their rates. */
static void reserves_other_data_centres(void **state)
{
	static const struct {
		const char *guards_against;
		bool controls_load;
		int32_t near_running;
		bool evacuated;
		bool far_reserved; /* expected */
		int64_t traffic_us; /* expected */
	} cases[] = {
		{ "restricted with rates", false, 0, false, false, 0 },
		{ "left while idle", true, 0, false, true, 3000 },
		{ "busy, first steps", true, 4, false, true, 3000 },
		{ "no servers here", true, 0, true, false, 3000 },
	};
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		backends_conf_t zones = conf;
		backends_query_t query = { .service = &service,
					   .salt = 1,
					   .traffic_bytes = 1000000 };
		load_item_t item = { .server_hash = load_table_hash("a"),
				     .decoding = cases[i].near_running };
		announcement_t message = message_of(1, 1, &item, 1);
		load_table_t *table = load_table_create();
		candidate_t *candidates;
		size_t count;

		zones.controls_load = cases[i].controls_load;
		zones.traffic_price_us_per_mb = 3000;
		backends = backends_create(&zones);
		add("a", "north");
		add("b", "south");
		backends_evacuate(backends, "north", cases[i].evacuated);
		load_table_receive(table, &message, 0, 0);
		query.load_table = table;
		query.now_us = MS(1);
		/* A look has no effect: the shares are not found yet. */
		query.is_dry_run = true;
		count = backends_candidates(backends, &query, &candidates);
		for (j = 0; j < count; j++)
			assert_false(candidates[j].reserved);
		free(candidates);
		query.is_dry_run = false;
		count = backends_candidates(backends, &query, &candidates);
		assert_int_equal(count, cases[i].evacuated ? 1 : 2);
		for (j = 0; j < count; j++) {
			const backend_t *server = candidates[j].server;
			bool near = *backend_entry(server)->id == 'a';

			if (candidates[j].reserved !=
				    (!near && cases[i].far_reserved) ||
			    candidates[j].traffic_us !=
				    (near ? 0 : cases[i].traffic_us))
				fail_msg("case \"%s\"",
					 cases[i].guards_against);
		}
		free(candidates);
		load_table_destroy(table);
		tear_down(NULL);
	}
}

/* Guards against a prefill backlog that is measured against the objective of
 * another deployment. */
static void spills_by_own_objective(void **state)
{
	static const struct {
		int64_t objective_ms;
		bool spills;
	} cases[] = { { 0, false }, { 100, true }, { 500, false } };
	service_conf_t engines = service;
	backends_conf_t zones = conf;
	size_t i;
	uint64_t n;

	engines.engine.present = true;
	engines.cold_requests_per_s = 0;
	zones.controls_load = true;
	for (i = 0; i < COUNT_OF(cases); i++) {
		backends_query_t query = { .service = &engines,
					   .objective_us =
						   MS(cases[i].objective_ms) };
		load_item_t item = { .server_hash = load_table_hash("a"),
				     .backlog_us = MS(100) };
		candidate_t *candidates;

		backends = backends_create(&zones);
		add("a", "north");
		add("b", "south");
		for (n = 1; n < 10; n++) {
			announcement_t message = message_of(1, n, &item, 1);

			load_table_t *table = load_table_create();

			query.load_table = table;
			query.now_us = MS(60) * (int64_t)n;
			load_table_receive(table, &message, query.now_us, 0);
			backends_candidates(backends, &query, &candidates);
			free(candidates);
			load_table_destroy(table);
		}
		if ((backends_flow_share(backends, service.name) > 0) !=
		    cases[i].spills)
			fail_msg("objective of %d ms",
				 (int)cases[i].objective_ms);
		tear_down(NULL);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(lists_usable_servers),
		cmocka_unit_test_setup_teardown(divides_cold_limit, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(restart_clears_failures, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(counts_load_of_attempt, set_up,
						tear_down),
		cmocka_unit_test(adds_load_of_other_nodes),
		cmocka_unit_test(tells_cut_off_from_servers_that_fail),
		cmocka_unit_test(tells_partition_from_silence),
		cmocka_unit_test_setup_teardown(
			avoids_server_failing_for_others, set_up, tear_down),
		cmocka_unit_test(announces_rates_to_earlier_builds),
		cmocka_unit_test(reserves_other_data_centres),
		cmocka_unit_test(spills_by_own_objective),
		cmocka_unit_test(uses_median_of_clocks),
		cmocka_unit_test(limits_announced_backlog),
		cmocka_unit_test(accepts_restarted_node),
		cmocka_unit_test(names_of_nodes_decide_how_long_a_choice_takes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/**
 * Rates that servers state, over a whole fleet in simulated time: each node
 * sends a server as much as it may, while nodes and servers change. Guards
 * against a sum over all nodes above the platform's rule, and against a rate
 * that nodes do not use, or keep after its end.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "platform/headers.h"
#include "process/backends.h"

#define MS(ms) ((int64_t)(ms)*US_PER_MS)

enum {
	NODES_MAX = 40,
	TICK_MS = 10,
	/* Time from a request to the head of its answer. */
	ANSWER_MIN_MS = 60,
	ANSWER_MAX_MS = 700,
	ANNOUNCE_MS = 200,
	LIST_MS = 5000, /* interval between reads of the list of nodes */
	LIST_OLD_MS = 3000, /* greatest age of a list that is read */
	FLIGHTS_MAX = 4096,
	ARRIVALS_MAX = 65536
};

/* The platform's rule: from STABLE_MS after a server first stated a rate, the
 * nodes that relayed such an answer TOLD_MS before or earlier send it, in any
 * WINDOW_MS, no more than RATE_FACTOR times the rate and RATE_SLACK. */
enum { STABLE_MS = 3000, TOLD_MS = 500, WINDOW_MS = 4000, RATE_SLACK = 5 };
#define RATE_FACTOR 1.5

typedef enum {
	NONE,
	STATES, /* the server states `value` a second, in tenths */
	ENDS, /* the server states no rate */
	RESTARTS, /* under its id; it goes on to state its rate */
	UNLISTED, /* the entry is gone, as after an outage of the store */
	LISTED,
	JOIN, /* `value` more nodes start */
	LEAVE, /* the first `value` nodes are gone for good */
	RESTART_NODES, /* the first `value` nodes forget everything */
	FREEZE, /* the first `value` nodes stand still */
	THAW,
	CUT, /* the first `value` nodes reach neither nodes nor store */
	HEAL,
	OLD_BUILD /* the first `value` nodes announce no rates */
} event_type_t;

typedef struct {
	int at_ms;
	event_type_t type;
	int value;
} event_t;

typedef struct {
	backends_t *backends; /* NULL: not running */
	uint64_t hash;
	int64_t told_ms; /* first answer with a rate; -1: none */
	int64_t listed_ms; /* when the node was added to the list of nodes */
	bool frozen, cut, old_build, gone;
} node_t;

/* A request on its way to the server and back. */
typedef struct {
	int node;
	int64_t sent_ms, answered_ms;
	bool states_rate;
	double per_s;
} flight_t;

static struct {
	node_t nodes[NODES_MAX];
	int node_count;
	flight_t flights[FLIGHTS_MAX];
	int flight_count;
	int64_t arrivals_ms[ARRIVALS_MAX]; /* that count for the rule */
	int arrival_count;
	bool states_rate, listed;
	double per_s, highest_per_s;
	int64_t first_ms, lowered_ms, born_ms;
	int sent; /* since the last event of the server */
	double worst; /* greatest number above what is allowed in a window */
} fleet;

static const service_conf_t service = { .name = "s" };

static void list_server(node_t *node, int64_t now_ms)
{
	backend_entry_t entry = { .id = "a",
				  .service = "s",
				  .address = "10.0.0.1:80",
				  .data_centre = "north",
				  .slots = 8,
				  .born_ms = fleet.born_ms };

	if (!node->backends)
		return;
	if (fleet.listed)
		backends_update(node->backends, &entry, MS(now_ms));
	else
		backends_remove(node->backends, "a", 0);
}

static void read_list(node_t *node, int64_t now_ms, int64_t age_ms)
{
	uint64_t hashes[NODES_MAX];
	size_t count = 0;
	int i;

	for (i = 0; i < fleet.node_count; i++)
		if (fleet.nodes[i].listed_ms <= now_ms - age_ms ||
		    &fleet.nodes[i] == node)
			hashes[count++] = fleet.nodes[i].hash;
	backends_set_nodes(node->backends, hashes, count, node->hash,
			   MS(now_ms));
}

static void start_node(node_t *node, int64_t now_ms)
{
	static const backends_conf_t conf = { .data_centre = "north",
					      .cold_factor = 1,
					      .cold_slack = 5,
					      .drain_us = 2 * US_PER_S };

	node->backends = backends_create(&conf);
	node->told_ms = -1;
	list_server(node, now_ms);
	read_list(node, now_ms, 0);
}

static void stop_node(node_t *node)
{
	int i;

	backends_destroy(node->backends);
	node->backends = NULL;
	for (i = 0; i < fleet.flight_count; i++)
		if (&fleet.nodes[fleet.flights[i].node] == node)
			fleet.flights[i].answered_ms = -1;
}

static void add_nodes(int count, int64_t now_ms)
{
	for (; count-- && fleet.node_count < NODES_MAX; fleet.node_count++) {
		node_t *node = &fleet.nodes[fleet.node_count];

		*node = (node_t){ .hash = 77777 +
					  (uint64_t)fleet.node_count * 31,
				  .listed_ms = now_ms };
		start_node(node, now_ms);
	}
}

static void state_rate(double per_s, int64_t now_ms)
{
	int i;

	if (!fleet.states_rate) {
		for (i = 0; i < fleet.node_count; i++)
			fleet.nodes[i].told_ms = -1;
		fleet.first_ms = now_ms;
		fleet.highest_per_s = 0;
		fleet.arrival_count = 0;
	}
	if (per_s >= fleet.highest_per_s)
		fleet.highest_per_s = per_s;
	else
		fleet.lowered_ms = now_ms;
	fleet.states_rate = true;
	fleet.per_s = per_s;
}

static void apply_to_node(event_type_t type, node_t *node, int64_t now_ms)
{
	switch (type) {
	case LEAVE:
		stop_node(node);
		node->gone = true;
		break;
	case RESTART_NODES:
		stop_node(node);
		start_node(node, now_ms);
		break;
	case FREEZE:
	case THAW:
		node->frozen = type == FREEZE;
		break;
	case CUT:
	case HEAL:
		node->cut = type == CUT;
		break;
	case OLD_BUILD:
		node->old_build = true;
		break;
	default:
		break;
	}
}

static void apply(const event_t *event, int64_t now_ms)
{
	int i;

	fleet.sent = event->type == STATES || event->type == ENDS ? 0
								  : fleet.sent;
	switch (event->type) {
	case STATES:
		state_rate(event->value / 10.0, now_ms);
		return;
	case ENDS:
		fleet.states_rate = false;
		return;
	case RESTARTS:
		fleet.born_ms++;
		break;
	case UNLISTED:
	case LISTED:
		fleet.listed = event->type == LISTED;
		break;
	case JOIN:
		add_nodes(event->value, now_ms);
		return;
	default:
		for (i = 0; i < event->value && i < fleet.node_count; i++)
			apply_to_node(event->type, &fleet.nodes[i], now_ms);
		return;
	}
	for (i = 0; i < fleet.node_count; i++)
		list_server(&fleet.nodes[i], now_ms);
}

static bool runs(const node_t *node)
{
	return node->backends && !node->frozen;
}

static void count_arrival(const node_t *node, int64_t now_ms)
{
	int i, count = 0;
	double allowed;

	fleet.sent++;
	if (!fleet.states_rate || node->told_ms < 0 ||
	    now_ms - node->told_ms < TOLD_MS)
		return;
	assert_true(fleet.arrival_count < ARRIVALS_MAX);
	fleet.arrivals_ms[fleet.arrival_count++] = now_ms;
	for (i = fleet.arrival_count; i-- > 0; count++)
		if (now_ms - fleet.arrivals_ms[i] >= WINDOW_MS)
			break;
	if (fleet.lowered_ms &&
	    now_ms - fleet.lowered_ms > WINDOW_MS + TOLD_MS) {
		fleet.highest_per_s = fleet.per_s;
		fleet.lowered_ms = 0;
	}
	allowed = fleet.highest_per_s * RATE_FACTOR * WINDOW_MS /
			  (double)MS_PER_S +
		  RATE_SLACK;
	if (now_ms - fleet.first_ms >= STABLE_MS)
		fleet.worst = fmax(fleet.worst, count - allowed);
}

/* A node sends whatever it may: a first send, a repeat or a probe. */
static void send_all(int64_t now_ms)
{
	int i;

	for (i = 0; i < fleet.node_count; i++) {
		node_t *node = &fleet.nodes[i];
		backend_t *server;

		if (!runs(node))
			continue;
		server = backends_find(node->backends, "a");
		if (!server || !backend_take(server, &service, MS(now_ms)))
			continue;
		count_arrival(node, now_ms);
		assert_true(fleet.flight_count < FLIGHTS_MAX);
		fleet.flights[fleet.flight_count++] = (flight_t){
			.node = i,
			.sent_ms = now_ms,
			.answered_ms = now_ms + ANSWER_MIN_MS +
				       rand() % (ANSWER_MAX_MS - ANSWER_MIN_MS),
			.states_rate = fleet.states_rate,
			.per_s = fleet.per_s,
		};
	}
}

static void receive_answer(const flight_t *flight, int64_t now_ms)
{
	node_t *node = &fleet.nodes[flight->node];
	server_rate_t rate = { .server_hash = load_table_hash("a"),
			       .is_limited = flight->states_rate,
			       .per_s = flight->per_s };

	server_rates_note(backends_rates(node->backends), &rate,
			  MS(flight->sent_ms), MS(now_ms));
	if (flight->states_rate && node->told_ms < 0)
		node->told_ms = now_ms;
}

static void receive_answers(int64_t now_ms)
{
	int i, kept = 0;

	for (i = 0; i < fleet.flight_count; i++) {
		const flight_t *flight = &fleet.flights[i];

		if (flight->answered_ms < 0)
			continue;
		if (flight->answered_ms > now_ms ||
		    !runs(&fleet.nodes[flight->node]))
			fleet.flights[kept++] = *flight;
		else
			receive_answer(flight, now_ms);
	}
	fleet.flight_count = kept;
}

/* One announcement in twenty is lost. */
static void announce(int from, int64_t now_ms)
{
	node_t *sender = &fleet.nodes[from];
	server_rate_t items[ANNOUNCED_RATES_MAX];
	size_t count;
	int i;

	if (!runs(sender) || sender->cut || sender->old_build)
		return;
	count = server_rates_list(backends_rates(sender->backends), items,
				  ANNOUNCED_RATES_MAX, MS(now_ms));
	for (i = 0; count && i < fleet.node_count; i++) {
		node_t *node = &fleet.nodes[i];

		if (i != from && runs(node) && !node->cut && rand() % 20)
			server_rates_receive(backends_rates(node->backends),
					     &items[0], MS(now_ms));
	}
}

static void tick(int64_t now_ms)
{
	int i;

	receive_answers(now_ms);
	for (i = 0; i < fleet.node_count; i++) {
		node_t *node = &fleet.nodes[i];

		if ((now_ms + i * 7 * TICK_MS) % ANNOUNCE_MS == 0)
			announce(i, now_ms);
		if (runs(node) && !node->cut &&
		    (now_ms + i * 130 * TICK_MS) % LIST_MS == 0)
			read_list(node, now_ms, rand() % LIST_OLD_MS);
	}
	send_all(now_ms);
}

/* Plays the events. @return requests sent since the last event of the server */
static int play(int nodes, const event_t *events, int until_ms)
{
	int64_t now_ms;
	int i;

	memset(&fleet, 0, sizeof(fleet));
	fleet.listed = true;
	srand(1);
	add_nodes(nodes, -60000);
	for (now_ms = 1; now_ms <= until_ms; now_ms += TICK_MS) {
		for (; events->type && events->at_ms <= now_ms; events++)
			apply(events, now_ms);
		tick(now_ms - 1);
	}
	for (i = 0; i < fleet.node_count; i++)
		backends_destroy(fleet.nodes[i].backends);
	return fleet.sent;
}

enum { SERVER_EVENT_MS = 20000, UNTIL_MS = 60000 };

static void sum_over_all_nodes_above_a_stated_rate(void **state)
{
	static const struct {
		const char *trouble;
		event_t events[8];
	} cases[] = {
		{ "a rate stated", { { 100, STATES, 23 } } },
		{ "a rate raised and lowered",
		  { { 100, STATES, 10 },
		    { 8000, STATES, 60 },
		    { 16000, STATES, 5 },
		    { 30000, STATES, 20 } } },
		{ "a rate of 0", { { 100, STATES, 0 } } },
		{ "a rate ended and stated again",
		  { { 100, STATES, 20 },
		    { 12000, ENDS, 0 },
		    { 14000, STATES, 20 } } },
		{ "nodes that join",
		  { { 100, STATES, 20 }, { 9000, JOIN, 6 } } },
		{ "many nodes that join in turn",
		  { { 100, STATES, 20 },
		    { 9000, JOIN, 4 },
		    { 13000, JOIN, 4 },
		    { 17000, JOIN, 4 } } },
		{ "a fleet of nodes that grows at once",
		  { { 100, STATES, 100 }, { 9000, JOIN, NODES_MAX } } },
		{ "nodes that leave",
		  { { 100, STATES, 20 }, { 9000, LEAVE, 3 } } },
		{ "nodes that restart",
		  { { 100, STATES, 20 },
		    { 9000, RESTART_NODES, 3 },
		    { 10000, RESTART_NODES, 2 } } },
		{ "nodes that freeze and wake",
		  { { 100, STATES, 20 },
		    { 9000, FREEZE, 3 },
		    { 16000, THAW, 3 } } },
		{ "nodes that are frozen while the rate falls",
		  { { 100, STATES, 40 },
		    { 9000, FREEZE, 3 },
		    { 10000, STATES, 10 },
		    { 16000, THAW, 3 } } },
		{ "nodes that are cut off",
		  { { 100, STATES, 20 },
		    { 9000, CUT, 3 },
		    { 30000, HEAL, 3 } } },
		{ "nodes that join while others are cut off",
		  { { 100, STATES, 20 },
		    { 9000, CUT, 3 },
		    { 12000, JOIN, 4 },
		    { 30000, HEAL, 3 } } },
		{ "nodes of a build that announces no rates",
		  { { 50, OLD_BUILD, 3 },
		    { 100, STATES, 20 },
		    { 9000, RESTART_NODES, 3 } } },
		{ "a server that restarts under its id",
		  { { 100, STATES, 20 }, { 9000, RESTARTS, 0 } } },
		{ "a server whose entry is gone for a while",
		  { { 100, STATES, 20 },
		    { 9000, UNLISTED, 0 },
		    { 11000, LISTED, 0 } } },
		{ "all at once",
		  { { 100, STATES, 30 },
		    { 9000, CUT, 2 },
		    { 10000, RESTART_NODES, 2 },
		    { 11000, STATES, 10 },
		    { 12000, JOIN, 3 },
		    { 13000, RESTARTS, 0 },
		    { 15000, HEAL, 2 } } },
	};
	static const int sizes[] = { 1, 3, 6, 24 };
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++)
		for (j = 0; j < COUNT_OF(sizes); j++) {
			if (sizes[j] < 6 && strstr(cases[i].trouble, "odes"))
				continue;
			play(sizes[j], cases[i].events, UNTIL_MS);
			if (fleet.worst > 0)
				fail_msg("%s, %d nodes: %.1f above the rule",
					 cases[i].trouble, sizes[j],
					 fleet.worst);
		}
}

static void stated_rate_left_unused(void **state)
{
	static const struct {
		const char *guards_against;
		int nodes;
		event_t events[5];
		int sent_min, sent_max;
	} cases[] = {
		{ "a rate that one node uses too little",
		  1,
		  { { 100, STATES, 20 } },
		  100,
		  125 },
		{ "a rate that few nodes use too little",
		  3,
		  { { 100, STATES, 20 } },
		  100,
		  160 },
		{ "a rate that many nodes use too little",
		  24,
		  { { 100, STATES, 20 } },
		  100,
		  500 },
		{ "a rate of 0 whose end is not noticed",
		  24,
		  { { 100, STATES, 0 }, { SERVER_EVENT_MS, ENDS, 0 } },
		  10000,
		  INT32_MAX },
		{ "a rate that nodes keep after its end",
		  24,
		  { { 100, STATES, 20 }, { SERVER_EVENT_MS, ENDS, 0 } },
		  90000,
		  INT32_MAX },
		{ "a rate kept by nodes that are not told of its end",
		  6,
		  { { 100, STATES, 20 },
		    { 9000, CUT, 3 },
		    { SERVER_EVENT_MS, ENDS, 0 },
		    { 30000, HEAL, 3 } },
		  20000,
		  INT32_MAX },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		int sent = play(cases[i].nodes, cases[i].events, UNTIL_MS);

		if (sent < cases[i].sent_min || sent > cases[i].sent_max)
			fail_msg("case \"%s\": %d sent",
				 cases[i].guards_against, sent);
	}
}

static void ended_rate_announced_for_ever(void **state)
{
	server_rates_t *rates = server_rates_create();
	server_rate_t rate = { 7, true, 2, 0 }, items[2];
	int64_t ms;

	server_rates_note(rates, &rate, 0, 0);
	rate.is_limited = false;
	assert_true(server_rates_note(rates, &rate, MS(1), MS(2)));
	assert_int_equal(server_rates_list(rates, items, 2, MS(3)), 1);
	for (ms = 100; ms < 12000; ms += 100) {
		server_rates_note(rates, &rate, MS(ms), MS(ms));
		server_rates_expire(rates, MS(ms));
	}
	assert_int_equal(server_rates_list(rates, items, 2, MS(ms)), 0);
	server_rates_destroy(rates);
}

/* Guards against a server that states so high a rate that it is never used: the
 * node's part of it is not a number. */
static void high_rate_keeps_requests_from_a_server(void **state)
{
	static const char *const values[] = { "1000000", "1e15", "1e306",
					      "1.7976931348623157e308" };
	static const uint64_t hashes[] = { 1, 2 };
	limit_nodes_t list = { .version = 0 };
	size_t i;

	limit_nodes_set(&list, hashes, COUNT_OF(hashes), 1, 0);
	for (i = 0; i < COUNT_OF(values); i++) {
		server_rates_t *rates = server_rates_create();
		server_reply_t reply = { .status = 200 };
		server_rate_t stated = { .server_hash = 7, .is_limited = true };
		int64_t now_us = US_PER_S;

		platform_read_reply_header("Server-Limit", values[i], "r1",
					   &reply);
		assert_int_equal(reply.rate, RATE_STATED);
		stated.per_s = reply.rate_per_s;
		server_rates_note(rates, &stated, now_us, now_us);
		server_rates_allow(rates, 7, &list, now_us);
		now_us += 20 * US_PER_S;
		server_rates_allow(rates, 7, &list, now_us);
		now_us += US_PER_S;
		if (!server_rates_allow(rates, 7, &list, now_us))
			fail_msg("rate %s", values[i]);
		server_rates_destroy(rates);
	}
	limit_nodes_clear(&list);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(sum_over_all_nodes_above_a_stated_rate),
		cmocka_unit_test(stated_rate_left_unused),
		cmocka_unit_test(ended_rate_announced_for_ever),
		cmocka_unit_test(high_rate_keeps_requests_from_a_server),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

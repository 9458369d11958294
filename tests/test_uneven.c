/**
 * Slow servers, and servers that many nodes choose at the same moment: plays
 * the load without network, with the old decision and the new one. Old: each
 * node measures alone, and sends to the server that seems least loaded.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "cases.h"
#include "process/backends.h"
#include "process/placement_cost.h"

#define MS(count) ((int64_t)(count)*US_PER_MS)

enum {
	NODES = 40,
	SERVERS = 24,
	TICK_MS = 10,
	REQUESTS_PER_S = 4, /* at each node */
	ANNOUNCE_MS = 200,
	LOST_PERCENT = 10, /* announcements that are lost */
	EVENT_MS = 100, /* first event at the stated speed */
	LENGTH_MS = 16000,
	CHANGE_MS = 6000, /* when something changes, in the cases that do */
	KNOWN_FROM_MS = 12000,
	PENDING_MAX = 20000
};

/* Share of paces that nodes must know: some of them try slow servers. */
#define KNOWN_MIN 0.97

static const service_conf_t service = { .name = "drafting" };

static uint64_t random_state;

static double uniform(void)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return (double)(random_state >> 11) / (double)(UINT64_C(1) << 53);
}

typedef enum { STAYS, RECOVERS, RESTARTS } change_t;

typedef struct {
	const char *guards_against;
	int slow; /* slow servers */
	double factor;
	change_t change;
	double wrong; /* pace of all servers by node 0; 0: it measures */
	double model; /* how much slower than predicted all servers are */
	double noise; /* events vary by this factor, up and down */
	double slow_share_max; /* of requests that get slow servers */
	bool old_fails; /* the old decision does not meet this */
} play_t;

typedef struct {
	double slow_share; /* requests at slow servers, after the first second
			    */
	double known; /* least share of paces known, from KNOWN_FROM_MS on */
	bool meets;
} played_t;

/** An answer that is on its way to a node. */
typedef struct {
	int64_t due_us;
	int node, server;
	double actual_us;
} pending_t;

static backends_t *tables[NODES];
static backend_t *servers[NODES][SERVERS];
static pending_t pending[PENDING_MAX];

/* A restarted server has another address, or another start. */
static void write_entry(int node, int server, bool restarted, int64_t now_us)
{
	backend_entry_t entry = { .service = service.name,
				  .slots = 8,
				  .data_centre = "north",
				  .born_ms = 1 };

	snprintf(entry.id, sizeof(entry.id), "s%d", server);
	mem_strlcpy(entry.address, "10.0.0.1:80", sizeof(entry.address));
	if (restarted && server % 2)
		entry.address[7]++;
	else if (restarted)
		entry.born_ms++;
	backends_update(tables[node], &entry, now_us);
	servers[node][server] = backends_find(tables[node], entry.id);
}

static void set_up(bool controls_load)
{
	backends_conf_t conf = { .data_centre = "north",
				 .drain_us = MS(2000),
				 .controls_load = controls_load };
	uint64_t nodes[NODES];
	int i, j;

	random_state = 88172645463325252u;
	for (i = 0; i < NODES; i++)
		nodes[i] = (uint64_t)i * 7919 + 1;
	for (i = 0; i < NODES; i++) {
		tables[i] = backends_create(&conf);
		backends_set_nodes(tables[i], nodes, NODES, nodes[i], 0);
		for (j = 0; j < SERVERS; j++)
			write_entry(i, j, false, 1);
	}
}

/* @return the slowdown factor that a node applies to each server */
static void read_slowdowns(int node, double *slowdowns, int64_t now_us)
{
	backends_query_t query = { .service = &service, .now_us = now_us };
	candidate_t *candidates;
	size_t i,
		count = backends_candidates(tables[node], &query, &candidates);

	for (i = 0; i < count; i++)
		slowdowns[atoi(backend_entry(candidates[i].server)->id + 1)] =
			candidates[i].slowdown;
	free(candidates);
}

static double factor_of(const play_t *play, int server, int64_t now_us)
{
	bool is_over = play->change != STAYS && now_us >= MS(CHANGE_MS);

	return server < play->slow && !is_over ? play->factor : 1;
}

/* Sends a request to the faster one of two servers. @return true if it is slow
 */
static bool send(const play_t *play, int node, size_t *count, int64_t now_us)
{
	int a = (int)(uniform() * SERVERS), b = (int)(uniform() * SERVERS);
	double slowdowns[SERVERS], factor, actual_us;

	read_slowdowns(node, slowdowns, now_us);
	if (slowdowns[b] < slowdowns[a])
		a = b;
	factor = factor_of(play, a, now_us);
	backend_note_sent(servers[node][a], now_us);
	actual_us = (double)MS(EVENT_MS) * factor * play->model *
		    (1 + play->noise * (2 * uniform() - 1));
	assert_true(*count < PENDING_MAX);
	pending[(*count)++] =
		(pending_t){ now_us + (int64_t)actual_us, node, a, actual_us };
	return factor > 1;
}

/* Lets the answers that are due arrive. */
static void receive_due(size_t count, int64_t now_us)
{
	size_t i;

	for (i = 0; i < count; i++) {
		pending_t *answer = &pending[i];
		backend_t *server = servers[answer->node][answer->server];
		pace_table_t *paces = backends_paces(tables[answer->node]);

		if (!answer->due_us || answer->due_us > now_us)
			continue;
		answer->due_us = 0;
		backend_note_gap(server, answer->actual_us, MS(EVENT_MS));
		if (paces)
			pace_note_first_event(paces, backend_start_hash(server),
					      answer->actual_us, MS(EVENT_MS),
					      now_us);
	}
}

static void announce(const play_t *play, int node, int64_t now_us)
{
	pace_report_t reports[ANNOUNCED_PACES_MAX];
	size_t count = pace_list(backends_paces(tables[node]), reports,
				 ANNOUNCED_PACES_MAX, now_us);
	size_t i;
	int to;

	/* Servers 0 to 5, the slow ones among them. */
	if (!node && play->wrong > 0)
		for (count = 0; count < ANNOUNCED_PACES_MAX; count++)
			reports[count] = (pace_report_t){
				backend_start_hash(servers[0][count]),
				play->wrong, 100, 0
			};
	for (to = 0; to < NODES; to++)
		for (i = 0;
		     i < count && to != node && uniform() * 100 >= LOST_PERCENT;
		     i++)
			pace_receive(backends_paces(tables[to]),
				     (uint64_t)node * 7919 + 1, &reports[i],
				     now_us);
}

/* @return share of the paces, at all nodes, that are known */
static double known_share(const play_t *play, int64_t now_us)
{
	int known = 0, node, server;

	for (node = 0; node < NODES; node++) {
		double slowdowns[SERVERS];

		read_slowdowns(node, slowdowns, now_us);
		for (server = 0; server < SERVERS; server++)
			known += (slowdowns[server] > 1) ==
				 (factor_of(play, server, now_us) > 1);
	}
	return (double)known / (NODES * SERVERS);
}

static played_t run(const play_t *play, bool controls_load)
{
	played_t played = { .known = 1 };
	size_t count = 0, sent = 0, slow = 0;
	int64_t ms;
	int node, i;

	set_up(controls_load);
	for (ms = TICK_MS; ms < LENGTH_MS; ms += TICK_MS) {
		receive_due(count, MS(ms));
		for (node = 0; node < NODES; node++) {
			if (play->change == RESTARTS && ms == CHANGE_MS)
				for (i = 0; i < play->slow; i++)
					write_entry(node, i, true, MS(ms));
			if (controls_load && ms % ANNOUNCE_MS == 0)
				announce(play, node, MS(ms));
			if (uniform() * 1000 < REQUESTS_PER_S * TICK_MS) {
				bool is_slow = send(play, node, &count, MS(ms));

				sent += ms > 1000;
				slow += ms > 1000 && is_slow;
			}
		}
		if (ms >= KNOWN_FROM_MS && ms % 1000 == 0)
			played.known =
				fmin(played.known, known_share(play, MS(ms)));
	}
	played.slow_share = (double)slow / (double)sent;
	for (node = 0; node < NODES; node++)
		backends_destroy(tables[node]);
	played.meets = played.slow_share <= play->slow_share_max &&
		       played.known >= KNOWN_MIN;
	return played;
}

static void nodes_agree_on_slow_servers(void **state)
{
	static const play_t plays[] = {
		{ "one server four times slower that each node tries alone", 1,
		  4, STAYS, 0, 1, 0.2, 0.01, true },
		{ "a third of the servers four times slower", 8, 4, STAYS, 0, 1,
		  0.2, 0.12, true },
		{ "a slowdown too small for one node alone", 3, 1.7, STAYS, 0,
		  1, 0.2, 0.03, true },
		{ "servers that recover and stay slow for the nodes", 3, 4,
		  RECOVERS, 0, 1, 0.2, 0.02, true },
		{ "a pace that outlives its server's restart", 3, 4, RESTARTS,
		  0, 1, 0.2, 0.02, true },
		{ "servers that one node calls slow", 0, 1, STAYS, 6, 1, 0.2, 0,
		  false },
		{ "slow servers that one node calls fast", 3, 4, STAYS, 1, 1,
		  0.2, 0.03, true },
		{ "noise that makes a server slow", 0, 1, STAYS, 0, 1, 0.6, 0,
		  false },
		{ "a time model that makes all servers slow", 0, 1, STAYS, 0,
		  1.5, 0.2, 0, false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(plays); i++) {
		const play_t *play = &plays[i];
		played_t after = run(play, true), before = run(play, false);

		print_message("%s: at slow servers %.3f (old %.3f), known %.3f"
			      " (old %.3f)\n",
			      play->guards_against, after.slow_share,
			      before.slow_share, after.known, before.known);
		if (!after.meets || before.meets == play->old_fails)
			fail_msg("%s", play->guards_against);
	}
}

/* Guards against a server that fewer than three nodes slow down, and a pace of
 * before a restart, in a node without measurements of its own. */
static void believes_three_nodes(void **state)
{
	static const double expected[] = { 1, 1, 4, 1, 1 };
	pace_table_t *table = pace_create();
	size_t i;

	for (i = 0; i < COUNT_OF(expected); i++) {
		pace_report_t report = { 7, 4, 1, MS(100) };

		if (i == 3)
			pace_restart(table, 7, MS(1050));
		pace_receive(table, i + 1, &report, MS(1000) + MS(i));
		assert_true(pace_slowdown(table, 7, MS(1100)) == expected[i]);
	}
	pace_destroy(table);
}

/* Guards against a node that sends a slow server all its requests once the pace
 * has faded, and against a recovered one that stays slow. */
static void tries_a_slow_server_with_one_request(void **state)
{
	pace_table_t *table = pace_create();
	pace_report_t report = { 7, 4, 1, 0 };
	uint64_t node;

	for (node = 1; node <= 3; node++)
		pace_receive(table, node, &report, MS(1000));
	assert_true(pace_slowdown(table, 7, MS(6000)) == 4);
	assert_true(pace_slowdown(table, 7, MS(6001)) == 1);
	pace_note_sent(table, 7, MS(6001));
	assert_true(pace_slowdown(table, 7, MS(6002)) == 4);
	pace_note_first_event(table, 7, MS(100), MS(100), MS(6100));
	assert_true(pace_slowdown(table, 7, MS(6100)) == 1);
	pace_destroy(table);
}

static void count_change(void *context, uint32_t server, double slowdown)
{
	++*(size_t *)context;
	assert_true(slowdown == 4);
}

/* Guards against a node that stops for a second to report that thousands of
 * servers became slow, and against changes that are not reported at all. */
static void reports_many_changes_in_turn(void **state)
{
	enum { SLOW = 100, EACH = 16 };
	pace_table_t *table = pace_create();
	pace_report_t report = { 0, 4, 1, 0 };
	size_t changes = 0, i;

	for (i = 0; i < 3 * SLOW; i++) {
		report.server_hash = (uint32_t)(i / 3 + 1);
		pace_receive(table, i % 3 + 1, &report, MS(1000));
	}
	for (i = 1; i <= SLOW / EACH + 1; i++) {
		assert_int_equal(pace_check(table, count_change, &changes,
					    MS(1100)),
				 SLOW);
		assert_int_equal(changes, i * EACH < SLOW ? i * EACH : SLOW);
	}
	pace_destroy(table);
}

/** Requests that many nodes send by load that is some time old. */
typedef struct {
	const char *guards_against;
	const engine_profile_t *engine; /* NULL: a plain service */
	int32_t slots;
	int64_t call_ms;
	double used; /* mean share of the slots in use */
	int32_t nodes;
	int32_t together, each; /* nodes that get requests at the same moment,
				 * and how many each of them */
	bool meets_target; /* fewer than FULL_MAX meet a full server */
} crowd_t;

/* Target of docs/overload-work.md, part C: arrivals that servers reject. */
#define FULL_MAX 0.01
/* In loads that leave no room for FULL_MAX, at most half as many arrivals as
 * with the old decision meet a full server. */
#define FULL_RATIO_MAX 0.5

enum {
	CROWD_SERVERS = 20,
	CROWD_LENGTH_MS = 4000,
	CROWD_CALLS_MAX = 1024,
	KNOWN_AFTER_MS = 35
};

typedef struct {
	int64_t sent_ms, ends_ms;
	int32_t node, server;
} call_t;

/* Sends one request of a node, which knows its own calls, and those of other
 * nodes that began or ended KNOWN_AFTER_MS ago.
 * @return true if its server has no free slot */
static bool arrive(const crowd_t *crowd, call_t *calls, int32_t node,
		   bool controls_load, int64_t ms)
{
	placement_query_t query = { .engine = crowd->engine,
				    .prompt_tokens = 1000,
				    .output_tokens = 100,
				    .objective_us = MS(1000),
				    .target_us = MS(1000),
				    .limit_us = MS(4000),
				    .nodes = crowd->nodes,
				    .salt = (uint64_t)(uniform() * 1e15),
				    .controls_load = controls_load };
	candidate_t candidates[CROWD_SERVERS] = { 0 };
	int32_t running[CROWD_SERVERS] = { 0 }, server;
	size_t i, unused = 0;
	placement_t placement;

	for (server = 0; server < CROWD_SERVERS; server++) {
		candidates[server].order = (uint32_t)server * 2654435761u;
		candidates[server].slots = crowd->slots;
		candidates[server].slowdown = 1;
	}
	for (i = 0; i < CROWD_CALLS_MAX; i++) {
		const call_t *call = &calls[i];
		candidate_t *candidate = &candidates[call->server];
		bool is_own = call->node == node;
		int64_t at_ms = is_own ? ms : ms - KNOWN_AFTER_MS;

		running[call->server] += call->ends_ms > ms;
		candidate->load.decoding += call->sent_ms <= at_ms &&
					    call->ends_ms > at_ms;
		candidate->recent += is_own && MS(ms - call->sent_ms) <
						       PLACEMENT_LOAD_AGE_US;
		if (call->ends_ms + 2 * KNOWN_AFTER_MS < ms)
			unused = i;
	}
	assert_int_equal(placement_choose(candidates, CROWD_SERVERS, &query,
					  &placement),
			 PLACEMENT_CHOSEN);
	server = (int32_t)(placement.shards[0] - candidates);
	if (running[server] >= crowd->slots)
		return true;
	calls[unused] = (call_t){
		ms, ms + 1 + (int64_t)((double)crowd->call_ms * 2 * uniform()),
		node, server
	};
	return false;
}

static double run_crowd(const crowd_t *crowd, bool controls_load)
{
	call_t *calls = mem_calloc(CROWD_CALLS_MAX, sizeof(*calls));
	double per_ms = crowd->used * CROWD_SERVERS * crowd->slots /
			(double)crowd->call_ms / crowd->together / crowd->each;
	int32_t arrived = 0, full = 0, i;
	int64_t ms;

	random_state = 88172645463325252u;
	for (ms = 1000; ms < 1000 + CROWD_LENGTH_MS; ms++) {
		int32_t due = (int32_t)(per_ms + uniform()) * crowd->together;
		int32_t node = (int32_t)(uniform() * crowd->nodes);

		arrived += due * crowd->each;
		for (i = 0; i < due * crowd->each; i++)
			full += arrive(crowd, calls,
				       (node + i % due) % crowd->nodes,
				       controls_load, ms);
	}
	free(calls);
	return (double)full / arrived;
}

static void check_crowd(const crowd_t *crowd)
{
	double after = run_crowd(crowd, true);
	double before = run_crowd(crowd, false);
	double max = crowd->meets_target ? FULL_MAX : before * FULL_RATIO_MAX;

	print_message("%s: without a slot %.4f (old %.4f)\n",
		      crowd->guards_against, after, before);
	if (after > max || before <= max)
		fail_msg("%s", crowd->guards_against);
}

static const engine_profile_t short_engine = {
	.present = true,
	.kv_capacity_tokens = 400000,
	.steps_per_iteration = 50,
	.step_us = 1300,
	.step_per_decode_us = 1,
	.step_per_context_token_us = 0.002,
	.prefill_token_us = 6.5,
	.prefill_pair_us = 0.00016,
	.chunk_tokens = 2000,
	.usual_prompt_tokens = 10000,
	.usual_output_tokens = 300,
};

static void nodes_spread_over_free_slots(void **state)
{
	static const crowd_t crowds[] = {
		{ "calls that all nodes send to the least loaded server", NULL,
		  8, 15, 0.2, 40, 1, 1, true },
		{ "the same with half of the slots in use", NULL, 8, 40, 0.5,
		  40, 1, 1, false },
		{ "nodes that choose at the same moment", NULL, 8, 40, 0.2, 40,
		  10, 1, true },
		{ "short prompts packed on the same engines", &short_engine, 12,
		  400, 0.5, 40, 1, 1, false },
		{ "nodes that each fill the same engines", &short_engine, 12,
		  400, 0.2, 8, 4, 8, false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(crowds); i++)
		check_crowd(&crowds[i]);
}

/* Guards against nodes that all send to a few of many idle servers. */
static void nodes_use_all_idle_servers(void **state)
{
	placement_query_t query = { .nodes = 40, .controls_load = true };
	candidate_t candidates[CROWD_SERVERS] = { 0 };
	bool used[CROWD_SERVERS] = { false };
	placement_t placement;
	size_t i, count = 0;

	for (i = 0; i < CROWD_SERVERS; i++) {
		candidates[i].slots = 8;
		candidates[i].slowdown = 1;
	}
	for (query.salt = 0; query.salt < 1000; query.salt++) {
		assert_int_equal(placement_choose(candidates, CROWD_SERVERS,
						  &query, &placement),
				 PLACEMENT_CHOSEN);
		used[placement.shards[0] - candidates] = true;
	}
	for (i = 0; i < CROWD_SERVERS; i++)
		count += used[i];
	assert_int_equal(count, CROWD_SERVERS);
}

/* Guards against a slot left to other nodes on servers that have no more, which
 * would get no packed prompt. */
static void leaves_a_slot_where_there_are_more(void **state)
{
	static const struct {
		int32_t slots, nodes, free_slots;
	} cases[] = { { 1, 40, 1 }, { 2, 40, 1 }, { 8, 40, 7 }, { 8, 1, 8 } };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		placement_query_t query = { .nodes = cases[i].nodes,
					    .controls_load = true };
		candidate_t candidate = { .slots = cases[i].slots };

		assert_int_equal(placement_free_slots(&candidate, &query),
				 cases[i].free_slots);
	}
}

/* A test of its own, since it is in KNOWN-RED.txt. */
static void nodes_spread_short_prompts_of_one_moment(void **state)
{
	static const crowd_t crowd = { "short prompts that come together",
				       &short_engine,
				       12,
				       400,
				       0.3,
				       40,
				       10,
				       1,
				       false };

	check_crowd(&crowd);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(nodes_agree_on_slow_servers),
		cmocka_unit_test(believes_three_nodes),
		cmocka_unit_test(tries_a_slow_server_with_one_request),
		cmocka_unit_test(reports_many_changes_in_turn),
		cmocka_unit_test(nodes_spread_over_free_slots),
		cmocka_unit_test(nodes_use_all_idle_servers),
		cmocka_unit_test(leaves_a_slot_where_there_are_more),
		cmocka_unit_test(nodes_spread_short_prompts_of_one_moment),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

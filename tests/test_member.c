/**
 * Membership of four simulated nodes under lost, late and reordered messages,
 * network partitions, deaths and restarts; and the choice of owners by
 * rendezvous hashing.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "process/member.h"
#include "process/rendezvous.h"

enum { NODES = 4, STEP_MS = 10, MESSAGES_MAX = 4096, STEPS_MAX = 8 };

typedef struct {
	int64_t due_ms;
	int from, to;
	uint64_t incarnation;
	member_action_t action;
	member_heartbeat_t heartbeat;
} message_t;

typedef struct {
	member_table_t *tables[NODES];
	uint64_t incarnations[NODES];
	bool alive[NODES], leaving[NODES];
	bool partitioned[NODES][NODES]; /* links, by sender and receiver */
	int loss_percent;
	int jitter_ms; /* delay up to this, so messages overtake each other */
	message_t messages[MESSAGES_MAX];
	size_t count;
	uint32_t random;
	int changes[NODES][4]; /* changes of state, by observer and state */
} fleet_t;

static uint32_t next_random(fleet_t *fleet)
{
	fleet->random = fleet->random * 1664525u + 1013904223u;
	return fleet->random >> 8;
}

static void name_of(int node, char name[NAME_SIZE_BYTES])
{
	snprintf(name, NAME_SIZE_BYTES, "vm-%d", node);
}

static int node_of(const char *name)
{
	return name[3] - '0';
}

static void start_node(fleet_t *fleet, int node, uint64_t incarnation)
{
	member_seed_t seeds[NODES];
	char name[NAME_SIZE_BYTES];
	int i;

	member_destroy(fleet->tables[node]);
	name_of(node, name);
	fleet->tables[node] = member_create(name, incarnation);
	fleet->incarnations[node] = incarnation;
	fleet->alive[node] = true;
	for (i = 0; i < NODES; i++) {
		name_of(i, seeds[i].vm_id);
		snprintf(seeds[i].address, sizeof(seeds[i].address),
			 "10.0.0.%d:1", i);
	}
	member_seed(fleet->tables[node], seeds, NODES, 0);
}

static void queue(fleet_t *fleet, int from, const member_action_t *action,
		  int64_t now_ms)
{
	message_t *message;
	int to = node_of(action->vm_id);

	if (fleet->partitioned[from][to] || !fleet->alive[to])
		return;
	if ((int)(next_random(fleet) % 100) < fleet->loss_percent)
		return;
	assert_true(fleet->count < MESSAGES_MAX);
	message = &fleet->messages[fleet->count++];
	memset(message, 0, sizeof(*message));
	message->due_ms = now_ms + 1;
	if (fleet->jitter_ms)
		message->due_ms +=
			next_random(fleet) % (uint32_t)fleet->jitter_ms;
	message->from = from;
	message->to = to;
	message->incarnation = fleet->incarnations[from];
	message->action = *action;
	message->heartbeat.sequence = action->sequence;
	message->heartbeat.leaving = fleet->leaving[from];
	message->heartbeat.view =
		member_view(fleet->tables[from], fleet->leaving[from]);
}

static void deliver(fleet_t *fleet, const message_t *message, int64_t now_us)
{
	member_table_t *table = fleet->tables[message->to];
	member_sender_t sender = { .incarnation = message->incarnation };
	member_heartbeat_t heartbeat = message->heartbeat;
	const member_action_t *action = &message->action;
	char address[URL_SIZE_BYTES];

	name_of(message->from, sender.vm_id);
	snprintf(address, sizeof(address), "10.0.0.%d:1", message->from);
	heartbeat.address = action->with_address ? address : "";
	if (action->type == MEMBER_DO_HEARTBEAT)
		member_heartbeat(table, &sender, &heartbeat, now_us);
	else if (action->type == MEMBER_DO_PROBE)
		member_probe_request(table, sender.vm_id, action->target,
				     action->nonce, action->direct, now_us);
	else
		member_probe_reply(table, action->target, action->nonce,
				   action->target_incarnation, now_us);
}

static void run_node(fleet_t *fleet, int node, int64_t now_ms)
{
	member_action_t action;

	member_tick(fleet->tables[node], now_ms * US_PER_MS);
	while (member_next(fleet->tables[node], &action)) {
		if (action.type == MEMBER_DO_NOTIFY && !action.removed)
			fleet->changes[node][action.state]++;
		else if (action.type == MEMBER_DO_HEARTBEAT ||
			 action.type == MEMBER_DO_PROBE ||
			 action.type == MEMBER_DO_REPLY)
			queue(fleet, node, &action, now_ms);
	}
}

static void run_step(fleet_t *fleet, int64_t now_ms)
{
	size_t i = 0;
	int node;

	while (i < fleet->count) {
		message_t message = fleet->messages[i];

		if (message.due_ms > now_ms) {
			i++;
			continue;
		}
		fleet->messages[i] = fleet->messages[--fleet->count];
		if (fleet->alive[message.to])
			deliver(fleet, &message, now_ms * US_PER_MS);
	}
	for (node = 0; node < NODES; node++)
		if (fleet->alive[node])
			run_node(fleet, node, now_ms);
}

typedef enum {
	PARTITION,
	HEAL,
	KILL,
	RESTART,
	LEAVE,
	LOSE,
	DELAY,
	EXPECT
} op_t;

typedef struct {
	int64_t at_ms;
	op_t op;
	int a, b; /* nodes: sender and receiver, or observer and member */
	member_state_t state;
	bool unreachable, leaving;
} step_t;

#define DO(ms, operation, x, y)                                      \
	{                                                            \
		.at_ms = (ms), .op = (operation), .a = (x), .b = (y) \
	}
#define SEES(ms, x, y, ...)                                      \
	{                                                        \
		.at_ms = (ms), .op = EXPECT, .a = (x), .b = (y), \
		.state = __VA_ARGS__                             \
	}

static const struct {
	const char *fault;
	step_t steps[STEPS_MAX];
} cases[] = {
	{ "members that never connect",
	  { SEES(1000, 0, 3, MEMBER_ALIVE), SEES(1000, 3, 0, MEMBER_ALIVE) } },
	{ "a dead member that stays in the view, or dies too early",
	  { DO(3000, KILL, 1, 0), SEES(3700, 0, 1, MEMBER_ALIVE),
	    SEES(4400, 0, 1, MEMBER_SUSPECT, .unreachable = true),
	    SEES(5500, 0, 1, MEMBER_DEAD, .unreachable = true) } },
	{ "a one-way partition taken for the death of a member",
	  { DO(3000, PARTITION, 1, 0),
	    SEES(6000, 0, 1, MEMBER_ALIVE, .unreachable = true),
	    SEES(6000, 1, 0, MEMBER_ALIVE), DO(9000, HEAL, 1, 0),
	    SEES(9500, 0, 1, MEMBER_ALIVE) } },
	{ "a partition of two members taken for their death",
	  { DO(3000, PARTITION, 1, 0), DO(3000, PARTITION, 0, 1),
	    SEES(7000, 0, 1, MEMBER_ALIVE, .unreachable = true),
	    SEES(7000, 1, 0, MEMBER_ALIVE, .unreachable = true) } },
	{ "a healed partition that is not noticed",
	  { DO(3000, PARTITION, 0, 1), DO(3000, PARTITION, 2, 1),
	    DO(3000, PARTITION, 3, 1),
	    SEES(6000, 1, 2, MEMBER_DEAD, .unreachable = true),
	    DO(6000, HEAL, 2, 1), DO(6000, HEAL, 0, 1),
	    SEES(8000, 1, 2, MEMBER_ALIVE),
	    SEES(8000, 1, 3, MEMBER_DEAD, .unreachable = true) } },
	{ "false suspicion at a loss of one message in five",
	  { DO(2000, LOSE, 20, 0), SEES(12000, 0, 1, MEMBER_ALIVE),
	    SEES(12000, 2, 3, MEMBER_ALIVE) } },
	{ "late and reordered heartbeats that change the state",
	  { DO(2000, DELAY, 600, 0), DO(6000, LEAVE, 1, 0),
	    SEES(7000, 0, 1, MEMBER_ALIVE, .leaving = true),
	    SEES(8000, 0, 1, MEMBER_ALIVE, .leaving = true) } },
	{ "a leaving member that is no longer leaving when it dies",
	  { DO(3000, LEAVE, 1, 0), DO(4000, KILL, 1, 0),
	    SEES(6500, 0, 1, MEMBER_DEAD, .unreachable = true,
		 .leaving = true) } },
	{ "a restarted member taken for the process before it",
	  { DO(3000, LEAVE, 1, 0), DO(4000, RESTART, 1, 0),
	    SEES(5500, 0, 1, MEMBER_ALIVE), SEES(5500, 1, 0, MEMBER_ALIVE) } },
};

static void expect(fleet_t *fleet, size_t index, const step_t *step)
{
	char name[NAME_SIZE_BYTES];
	const member_t *member;

	name_of(step->b, name);
	member = member_find(fleet->tables[step->a], name);
	if (!member || member->state != step->state ||
	    member->unreachable != step->unreachable ||
	    member->leaving != step->leaving)
		fail_msg("case \"%s\" at %d ms: state %d unreachable %d "
			 "leaving %d",
			 cases[index].fault, (int)step->at_ms,
			 member ? (int)member->state : -1,
			 member ? member->unreachable : -1,
			 member ? member->leaving : -1);
}

static void apply_step(fleet_t *fleet, size_t index, const step_t *step)
{
	switch (step->op) {
	case PARTITION:
	case HEAL:
		fleet->partitioned[step->a][step->b] = step->op == PARTITION;
		break;
	case KILL:
		fleet->alive[step->a] = false;
		break;
	case RESTART:
		fleet->leaving[step->a] = false;
		start_node(fleet, step->a, fleet->incarnations[step->a] + 7);
		break;
	case LEAVE:
		fleet->leaving[step->a] = true;
		break;
	case LOSE:
		fleet->loss_percent = step->a;
		break;
	case DELAY:
		fleet->jitter_ms = step->a;
		break;
	case EXPECT:
		expect(fleet, index, step);
		break;
	}
}

static fleet_t *create_fleet(void)
{
	fleet_t *fleet = calloc(1, sizeof(*fleet));
	int node;

	assert_non_null(fleet);
	fleet->random = 1;
	for (node = 0; node < NODES; node++)
		start_node(fleet, node, UINT64_C(100) + (uint64_t)node);
	return fleet;
}

static void destroy_fleet(fleet_t *fleet)
{
	int node;

	for (node = 0; node < NODES; node++)
		member_destroy(fleet->tables[node]);
	free(fleet);
}

static void observes_states(void **state)
{
	size_t i, next;

	for (i = 0; i < COUNT_OF(cases); i++) {
		fleet_t *fleet = create_fleet();
		int64_t now_ms;

		next = 0;
		for (now_ms = 0; now_ms <= 13000; now_ms += STEP_MS) {
			run_step(fleet, now_ms);
			while (next < STEPS_MAX && cases[i].steps[next].at_ms &&
			       cases[i].steps[next].at_ms <= now_ms)
				apply_step(fleet, i, &cases[i].steps[next++]);
		}
		destroy_fleet(fleet);
	}
}

/* Guards against suspicion between members that have just connected again: dead
 * members get heartbeats at a longer interval, which must end at once. */
static void suspects_none_after_reconnecting(void **state)
{
	fleet_t *fleet = create_fleet();
	int64_t now_ms;

	fleet->partitioned[0][1] = fleet->partitioned[1][0] = true;
	fleet->alive[2] = fleet->alive[3] = false;
	for (now_ms = 0; now_ms < 5000; now_ms += STEP_MS)
		run_step(fleet, now_ms);
	fleet->partitioned[0][1] = fleet->partitioned[1][0] = false;
	for (; now_ms < 15000; now_ms += STEP_MS)
		run_step(fleet, now_ms);
	start_node(fleet, 2, 200);
	for (; now_ms < 20000; now_ms += STEP_MS)
		run_step(fleet, now_ms);
	assert_int_equal(fleet->changes[0][MEMBER_ALIVE], 2);
	assert_int_equal(fleet->changes[0][MEMBER_SUSPECT], 0);
	assert_int_equal(fleet->changes[1][MEMBER_SUSPECT], 0);
	/* A member that was dead must get heartbeats at the short interval at
	 * once, too. */
	fleet->jitter_ms = 50;
	fleet->alive[2] = false;
	fleet->partitioned[0][1] = fleet->partitioned[1][0] = true;
	for (; now_ms < 25000; now_ms += STEP_MS)
		run_step(fleet, now_ms);
	fleet->partitioned[0][1] = fleet->partitioned[1][0] = false;
	for (; now_ms < 30000; now_ms += STEP_MS)
		run_step(fleet, now_ms);
	assert_int_equal(fleet->changes[0][MEMBER_SUSPECT], 2);
	assert_int_equal(fleet->changes[1][MEMBER_SUSPECT], 2);
	destroy_fleet(fleet);
}

/* Guards against a live member that is reported dead because messages are lost
 * and delayed. */
static void reports_no_death_under_loss(void **state)
{
	fleet_t *fleet = create_fleet();
	int64_t now_ms;
	int node;

	fleet->loss_percent = 20;
	fleet->jitter_ms = 200;
	for (now_ms = 0; now_ms < 120000; now_ms += STEP_MS)
		run_step(fleet, now_ms);
	for (node = 0; node < NODES; node++)
		assert_int_equal(fleet->changes[node][MEMBER_DEAD], 0);
	destroy_fleet(fleet);
}

/* Guards against late messages of a replaced process that change the state of
 * its successor. */
static void refuses_an_older_incarnation(void **state)
{
	member_table_t *table = member_create("vm-0", 1);
	member_sender_t old = { "vm-1", 50 }, new = { "vm-1", 60 };
	member_heartbeat_t beat = { .sequence = 1, .address = "10.0.0.1:1" };

	assert_true(member_heartbeat(table, &old, &beat, 0));
	assert_true(member_heartbeat(table, &new, &beat, US_PER_MS));
	beat.sequence = 9;
	beat.leaving = true;
	assert_int_equal(member_sender_state(table, &old), MEMBER_SENDER_OLD);
	assert_false(member_heartbeat(table, &old, &beat, 2 * US_PER_MS));
	member_leaving(table, &old, 2 * US_PER_MS);
	assert_false(member_find(table, "vm-1")->leaving);
	assert_int_equal(member_find(table, "vm-1")->incarnation, 60);
	/* A VM whose clock was set back has a lower incarnation, which is
	 * accepted once the known incarnation is dead, so that the VM is not
	 * refused for ever. */
	member_tick(table, 2 * US_PER_S);
	member_tick(table, 4 * US_PER_S);
	assert_int_equal(member_find(table, "vm-1")->state, MEMBER_DEAD);
	beat.leaving = false;
	assert_true(member_heartbeat(table, &old, &beat, 4 * US_PER_S));
	assert_int_equal(member_find(table, "vm-1")->incarnation, 50);
	member_destroy(table);
}

/* Guards against a heartbeat that arrives after a newer one and sets the
 * configuration version back, or a dead member alive. */
static void ignores_an_overtaken_heartbeat(void **state)
{
	member_table_t *table = member_create("vm-0", 1);
	member_sender_t sender = { "vm-1", 5 };
	member_heartbeat_t beat = { .sequence = 5,
				    .address = "10.0.0.1:1",
				    .config_version = 8 };

	assert_true(member_heartbeat(table, &sender, &beat, 0));
	beat.sequence = 4;
	beat.config_version = 7;
	assert_false(member_heartbeat(table, &sender, &beat, US_PER_MS));
	assert_int_equal(member_find(table, "vm-1")->config_version, 8);
	member_tick(table, 2 * US_PER_S);
	member_tick(table, 4 * US_PER_S);
	assert_false(member_heartbeat(table, &sender, &beat, 4 * US_PER_S));
	assert_int_equal(member_find(table, "vm-1")->state, MEMBER_DEAD);
	member_destroy(table);
}

/* Guards against a VM list that lags and removes a live member. */
static void vm_list_does_not_decide(void **state)
{
	member_table_t *table = member_create("vm-0", 1);
	member_sender_t sender = { "vm-1", 5 };
	member_heartbeat_t beat = { .sequence = 1, .address = "10.0.0.1:1" };
	member_seed_t seeds[] = { { "vm-0", "10.0.0.0:1" },
				  { "vm-2", "10.0.0.2:1" } };

	assert_true(member_heartbeat(table, &sender, &beat, 0));
	member_seed(table, seeds, COUNT_OF(seeds), 0);
	assert_int_equal(member_find(table, "vm-1")->state, MEMBER_ALIVE);
	assert_int_equal(member_find(table, "vm-2")->state, MEMBER_SEEDED);
	assert_null(member_find(table, "vm-0"));
	member_seed(table, seeds, 1, US_PER_MS);
	assert_null(member_find(table, "vm-2"));
	assert_non_null(member_find(table, "vm-1"));
	member_destroy(table);
}

/* Guards against credits granted while nodes know different members. */
static void agreement_needs_equal_views(void **state)
{
	fleet_t *fleet = create_fleet();
	int64_t now_ms;

	assert_true(member_isolated(fleet->tables[0]));
	for (now_ms = 0; now_ms < 3000; now_ms += STEP_MS)
		run_step(fleet, now_ms);
	assert_true(member_agreed(fleet->tables[0], false));
	assert_false(member_isolated(fleet->tables[0]));
	fleet->leaving[3] = true;
	assert_false(member_agreed(fleet->tables[3], true));
	for (; now_ms < 4000; now_ms += STEP_MS)
		run_step(fleet, now_ms);
	assert_true(member_agreed(fleet->tables[3], true));
	assert_true(member_agreed(fleet->tables[0], false));
	destroy_fleet(fleet);
}

/* Guards against a node that takes a planned stop of the others for a network
 * partition. */
static void expects_silence_after_leaving(void **state)
{
	member_table_t *table = member_create("vm-0", 1);
	member_sender_t one = { "vm-1", 5 }, two = { "vm-2", 6 };
	member_heartbeat_t beat = { .sequence = 1, .address = "10.0.0.1:1" };

	assert_false(member_isolated(table));
	assert_true(member_heartbeat(table, &one, &beat, 0));
	assert_true(member_heartbeat(table, &two, &beat, 0));
	member_leaving(table, &one, 0);
	member_tick(table, 2 * US_PER_S);
	assert_true(member_isolated(table));
	member_leaving(table, &two, 2 * US_PER_S);
	assert_false(member_isolated(table));
	member_destroy(table);
}

/* Guards against owners that change without need when a member is added, or
 * that differ between nodes. */
static void rendezvous_changes_few_owners(void **state)
{
	char members[8][NAME_SIZE_BYTES], reversed[8][NAME_SIZE_BYTES];
	char key[32];
	int32_t top[3];
	int owned_count[8] = { 0 };
	int i, k;

	for (i = 0; i < 8; i++) {
		name_of(i, members[i]);
		name_of(7 - i, reversed[i]);
	}
	for (k = 0; k < 4000; k++) {
		int32_t owner, with_seven;

		snprintf(key, sizeof(key), "server-%d", k);
		owner = rendezvous_owner(key, members, 8);
		with_seven = rendezvous_owner(key, members, 7);
		owned_count[owner]++;
		assert_int_equal(rendezvous_owner(key, reversed, 8), 7 - owner);
		if (owner != 7)
			assert_int_equal(with_seven, owner);
		assert_int_equal(rendezvous_top(key, members, 8, 3, top), 3);
		assert_int_equal(top[0], owner);
		if (owner == 7)
			assert_int_equal(top[1], with_seven);
	}
	for (i = 0; i < 8; i++)
		assert_in_range(owned_count[i], 400, 600);
	assert_int_equal(rendezvous_owner("x", members, 0), RENDEZVOUS_NONE);
	assert_int_equal(rendezvous_top("x", members, 2, 3, top), 2);
}

/* Guards against a configuration watched by a node that cannot reach the
 * platform, and against a configuration that no node watches when no node can
 * reach the platform. */
static void skips_partitioned_members(void **state)
{
	static const char candidates[3][NAME_SIZE_BYTES] = { "a", "b", "c" };
	static const struct {
		bool self_partitioned, b_partitioned, c_partitioned;
		const char *expected; /* names of the listed members */
	} partitions[] = {
		{ false, false, false, "abc" }, { true, false, false, "bc" },
		{ true, true, false, "c" },	{ false, true, true, "a" },
		{ true, true, true, "abc" },	{ false, false, true, "ab" },
	};
	size_t i, n;

	for (i = 0; i < COUNT_OF(partitions); i++) {
		member_table_t *table = member_create("a", 1);
		member_sender_t b = { "b", 2 }, c = { "c", 3 };
		member_heartbeat_t heartbeat = { .sequence = 1,
						 .address = "127.0.0.1:1" };
		char names[3][NAME_SIZE_BYTES], found[4] = "";

		heartbeat.platform_cut = partitions[i].b_partitioned;
		assert_true(member_heartbeat(table, &b, &heartbeat, 1));
		heartbeat.platform_cut = partitions[i].c_partitioned;
		assert_true(member_heartbeat(table, &c, &heartbeat, 1));
		n = member_watch_candidates(table,
					    partitions[i].self_partitioned,
					    candidates, 3, names);
		while (n--)
			found[n] = *names[n];
		assert_string_equal(found, partitions[i].expected);
		member_destroy(table);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(observes_states),
		cmocka_unit_test(suspects_none_after_reconnecting),
		cmocka_unit_test(reports_no_death_under_loss),
		cmocka_unit_test(refuses_an_older_incarnation),
		cmocka_unit_test(ignores_an_overtaken_heartbeat),
		cmocka_unit_test(vm_list_does_not_decide),
		cmocka_unit_test(agreement_needs_equal_views),
		cmocka_unit_test(expects_silence_after_leaving),
		cmocka_unit_test(rendezvous_changes_few_owners),
		cmocka_unit_test(skips_partitioned_members),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** Lease: two candidates against one object with lost answers and pauses. */
#include <string.h>

#include "cases.h"
#include "process/lease.h"

static struct {
	int64_t version;
	int64_t last_version;
	json_t *spec;
	int64_t now_us;
	lease_t *nodes[2];
	lease_action_t late; /**< a write that takes effect later */
} world;

static void start(void)
{
	json_decref(world.spec);
	memset(&world, 0, sizeof(world));
	world.now_us = US_PER_S;
	world.nodes[0] = lease_create("dc1", "a", 1, &lease_reconciler_times,
				      world.now_us);
	world.nodes[1] = lease_create("dc1", "b", 2, &lease_reconciler_times,
				      world.now_us);
}

static void stop(void)
{
	lease_destroy(world.nodes[0]);
	lease_destroy(world.nodes[1]);
	json_decref(world.spec);
	json_decref(world.late.spec);
	world.spec = world.late.spec = NULL;
}

static platform_status_t apply(const lease_action_t *action)
{
	if (action->type == LEASE_ACTION_READ)
		return world.version ? PLATFORM_OK : PLATFORM_NOT_FOUND;
	if (action->type == LEASE_ACTION_CREATE && world.version)
		return PLATFORM_EXISTS;
	if (action->type == LEASE_ACTION_PUT &&
	    action->version != world.version)
		return PLATFORM_CONFLICT;
	/* A write that changes nothing leaves the version as it is. */
	if (json_equal(world.spec, action->spec))
		return PLATFORM_OK;
	json_decref(world.spec);
	world.spec = json_incref(action->spec);
	world.version = ++world.last_version;
	return PLATFORM_OK;
}

typedef enum { HEALTHY, DOWN, LOST_AFTER, LOST_LATE } answer_mode_t;

/* Lets one node make its due call; false if there is none. */
static bool serve(int node, answer_mode_t mode)
{
	platform_status_t status = PLATFORM_UNSENT;
	platform_object_t object = { 0 };
	lease_action_t action;
	bool write;

	if (!lease_next(world.nodes[node], &action, world.now_us))
		return false;
	write = action.type != LEASE_ACTION_READ;
	if (mode == HEALTHY || mode == LOST_AFTER)
		status = apply(&action);
	if (write && (mode == LOST_AFTER || mode == LOST_LATE))
		status = PLATFORM_UNKNOWN;
	if (write && mode == LOST_LATE) {
		json_decref(world.late.spec);
		world.late = action;
		json_incref(action.spec);
	}
	object.version = world.version;
	object.spec = world.spec;
	lease_result(world.nodes[node], status, &object, world.now_us);
	json_decref(action.spec);
	return true;
}

static bool held(int node)
{
	return lease_held(world.nodes[node], world.now_us);
}

static void pass(int64_t time_us, answer_mode_t a, answer_mode_t b)
{
	int64_t end_us = world.now_us + time_us;

	for (; world.now_us < end_us; world.now_us += 50 * US_PER_MS) {
		serve(0, a);
		serve(1, b);
		if (held(0) && held(1))
			fail_msg("two holders at %lld us",
				 (long long)world.now_us);
	}
}

/* Guards against two holders, and a lease that moves without need. */
static void one_node_holds_it(void **state)
{
	start();
	pass(60 * US_PER_S, HEALTHY, HEALTHY);
	assert_true(held(0));
	assert_int_equal(lease_token(world.nodes[0]), 1);
	stop();
}

/* Guards against acts after the end of the lease, and a lease that nobody
 * takes over; the token must grow. */
static void moves_when_the_holder_cannot_renew(void **state)
{
	int64_t lost_us, token;

	start();
	pass(US_PER_S, HEALTHY, HEALTHY);
	token = lease_token(world.nodes[0]);
	lost_us = world.now_us;
	while (held(0))
		pass(50 * US_PER_MS, DOWN, HEALTHY);
	assert_in_range(world.now_us - lost_us, 4 * US_PER_S,
			LEASE_DURATION_US - LEASE_STOP_US);
	while (!held(1) && world.now_us - lost_us < US_PER_S * 60)
		pass(50 * US_PER_MS, DOWN, HEALTHY);
	assert_in_range(world.now_us - lost_us, 8 * US_PER_S, 15 * US_PER_S);
	assert_true(lease_token(world.nodes[1]) > token);
	pass(30 * US_PER_S, HEALTHY, HEALTHY);
	assert_true(held(1));
	stop();
}

/* Guards against a holder that was paused and acts before it looks. */
static void paused_holder_stops(void **state)
{
	start();
	pass(US_PER_S, HEALTHY, HEALTHY);
	world.now_us += 9 * US_PER_S;
	assert_false(held(0));
	pass(20 * US_PER_S, HEALTHY, HEALTHY);
	assert_true(held(0) != held(1));
	stop();
}

/* Guards against a lease that is lost with an answer. */
static void settles_lost_answers(void **state)
{
	start();
	pass(US_PER_S, LOST_AFTER, DOWN);
	assert_true(held(0));
	assert_int_equal(lease_token(world.nodes[0]), 1);
	pass(30 * US_PER_S, LOST_AFTER, DOWN);
	assert_true(held(0));
	stop();
}

/* Guards against a lease that is counted from the answer: the other node
 * counts from when the write took effect. */
static void counts_from_the_send(void **state)
{
	platform_object_t object = { 0 };
	lease_action_t action;

	start();
	pass(US_PER_S, HEALTHY, HEALTHY);
	while (!lease_next(world.nodes[0], &action, world.now_us))
		world.now_us += 50 * US_PER_MS;
	assert_int_equal(apply(&action), PLATFORM_OK);
	json_decref(action.spec);
	object.version = world.version;
	object.spec = world.spec;
	world.now_us += 7 * US_PER_S; /* the answer is slow */
	lease_result(world.nodes[0], PLATFORM_OK, &object, world.now_us);
	assert_true(held(0));
	world.now_us += US_PER_S;
	assert_false(held(0));
	stop();
}

/* Guards against a lease that is counted from the last of several writes
 * without an answer, when the first one took effect. */
static void counts_from_the_first_write(void **state)
{
	platform_object_t object = { 0 };
	lease_action_t first = { 0 }, action;
	int64_t first_us = 0;
	int reads = 0;

	start();
	pass(US_PER_S, HEALTHY, HEALTHY);
	while (reads < 2) {
		world.now_us += 50 * US_PER_MS;
		if (!lease_next(world.nodes[0], &action, world.now_us))
			continue;
		object.version = world.version;
		object.spec = world.spec;
		if (action.type != LEASE_ACTION_READ) {
			if (!first_us) {
				first_us = world.now_us;
				first = action;
			} else {
				json_decref(action.spec);
			}
			lease_result(world.nodes[0], PLATFORM_UNKNOWN, NULL,
				     world.now_us);
			continue;
		}
		lease_result(world.nodes[0], PLATFORM_OK, &object,
			     world.now_us);
		if (!reads++) {
			assert_int_equal(apply(&first), PLATFORM_OK);
			world.now_us += 4 * US_PER_S; /* pause */
		}
	}
	json_decref(first.spec);
	world.now_us = first_us + 7 * US_PER_S;
	assert_true(held(0));
	world.now_us = first_us + 9 * US_PER_S;
	assert_false(held(0));
	stop();
}

/* Guards against a lease that stays with a node that shuts down. */
static void gives_it_up(void **state)
{
	start();
	pass(US_PER_S, HEALTHY, HEALTHY);
	lease_set_wanted(world.nodes[0], false);
	assert_false(held(0));
	pass(3 * US_PER_S, HEALTHY, HEALTHY);
	assert_true(held(1));
	stop();
}

static const lease_times_t short_times = { .duration_us = 3 * US_PER_S,
					   .renew_us = 750 * US_PER_MS,
					   .stop_us = 750 * US_PER_MS,
					   .poll_us = 1500 * US_PER_MS,
					   .abstain_us = 3600 * US_PER_MS };

static void start_short(void)
{
	start();
	lease_destroy(world.nodes[0]);
	lease_destroy(world.nodes[1]);
	world.nodes[0] = lease_create("d", "a", 1, &short_times, world.now_us);
	world.nodes[1] = lease_create("d", "b", 2, &short_times, world.now_us);
}

/* Guards against a successor that does not know what the holder did, and a
 * holder that acts on a state that nobody would find. */
static void hands_its_state_over(void **state)
{
	static const struct {
		const char *fault;
		answer_mode_t mode; /* of the write of the state */
		bool written; /* the holder knows that it is */
		bool found; /* the successor has it */
	} cases[] = {
		{ "a state that is lost", HEALTHY, true, true },
		{ "a state that counts as written though nobody has it", DOWN,
		  false, false },
		{ "a lost answer that counts as written", LOST_AFTER, false,
		  true },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		bool found;

		start_short();
		pass(5 * US_PER_S, HEALTHY, DOWN);
		assert_true(held(0));
		lease_set_state(world.nodes[0], json_pack("{s:i}", "n", 7));
		assert_false(lease_state_written(world.nodes[0]));
		while (!serve(0, cases[i].mode))
			world.now_us += 50 * US_PER_MS;
		if (lease_state_written(world.nodes[0]) != cases[i].written)
			fail_msg("%s", cases[i].fault);
		pass(12 * US_PER_S, DOWN, HEALTHY);
		assert_true(held(1));
		found = json_object_get(lease_state(world.nodes[1]), "n");
		if (found != cases[i].found)
			fail_msg("%s: found %d", cases[i].fault, found);
		stop();
	}
}

/* Guards against a node that acts again shortly after another one did. */
static void stays_away_after_it_lost(void **state)
{
	int64_t lost_us;

	start_short();
	pass(3 * US_PER_S, HEALTHY, HEALTHY);
	assert_false(held(0) || held(1)); /* both may have acted before */
	pass(3 * US_PER_S, HEALTHY, DOWN);
	assert_true(held(0));
	lease_set_wanted(world.nodes[0], false);
	pass(100 * US_PER_MS, HEALTHY, DOWN);
	lost_us = world.now_us;
	while (!held(1))
		pass(50 * US_PER_MS, DOWN, HEALTHY);
	lease_set_wanted(world.nodes[1], false);
	lease_set_wanted(world.nodes[0], true);
	while (!held(0))
		pass(50 * US_PER_MS, HEALTHY, HEALTHY);
	assert_true(world.now_us - lost_us >=
		    short_times.abstain_us - 200 * US_PER_MS);
	stop();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_node_holds_it),
		cmocka_unit_test(moves_when_the_holder_cannot_renew),
		cmocka_unit_test(paused_holder_stops),
		cmocka_unit_test(settles_lost_answers),
		cmocka_unit_test(counts_from_the_send),
		cmocka_unit_test(counts_from_the_first_write),
		cmocka_unit_test(gives_it_up),
		cmocka_unit_test(hands_its_state_over),
		cmocka_unit_test(stays_away_after_it_lost),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

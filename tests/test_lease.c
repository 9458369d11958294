/** Lease: two candidates for the lease in one platform object, with lost
 * answers and paused nodes. The comment above each test names the failure that
 * the test guards against. */
#include <string.h>

#include "cases.h"
#include "process/lease.h"

/* Simulated platform object and the nodes that use it. */
static struct {
	int64_t version; /**< version of the object; 0: the object does not
			    exist */
	int64_t last_version; /**< the last version given to the object */
	json_t *spec; /**< content of the object; NULL: none */
	int64_t now_us;
	lease_t *nodes[2];
	lease_action_t delayed; /**< last write in mode WRITE_DELAYED */
} sim;

static void start_nodes(void)
{
	json_decref(sim.spec);
	memset(&sim, 0, sizeof(sim));
	sim.now_us = US_PER_S;
	sim.nodes[0] = lease_create("dc1", "a", 1, &lease_reconciler_times,
				    sim.now_us);
	sim.nodes[1] = lease_create("dc1", "b", 2, &lease_reconciler_times,
				    sim.now_us);
}

static void stop_nodes(void)
{
	lease_destroy(sim.nodes[0]);
	lease_destroy(sim.nodes[1]);
	json_decref(sim.spec);
	json_decref(sim.delayed.spec);
	sim.spec = sim.delayed.spec = NULL;
}

/* Carries out a platform call on the simulated object. */
static platform_status_t apply(const lease_action_t *action)
{
	if (action->type == LEASE_ACTION_READ)
		return sim.version ? PLATFORM_OK : PLATFORM_NOT_FOUND;
	if (action->type == LEASE_ACTION_CREATE && sim.version)
		return PLATFORM_EXISTS;
	if (action->type == LEASE_ACTION_PUT && action->version != sim.version)
		return PLATFORM_CONFLICT;
	/* As on the platform, a write that changes nothing leaves the version
	 * as it is. */
	if (json_equal(sim.spec, action->spec))
		return PLATFORM_OK;
	json_decref(sim.spec);
	sim.spec = json_incref(action->spec);
	sim.version = ++sim.last_version;
	return PLATFORM_OK;
}

/* How the platform answers the calls of a node. */
typedef enum {
	HEALTHY,
	DOWN, /**< no call reaches the platform */
	ANSWER_LOST, /**< writes take effect, but without an answer */
	WRITE_DELAYED /**< writes get no answer and take no effect yet */
} answer_mode_t;

/* Makes the platform call of a node that is due. Returns false if none is. */
static bool run_call(int node, answer_mode_t mode)
{
	platform_status_t status = PLATFORM_UNSENT;
	platform_object_t object = { 0 };
	lease_action_t action;
	bool write;

	if (!lease_next(sim.nodes[node], &action, sim.now_us))
		return false;
	write = action.type != LEASE_ACTION_READ;
	if (mode == HEALTHY || mode == ANSWER_LOST)
		status = apply(&action);
	if (write && (mode == ANSWER_LOST || mode == WRITE_DELAYED))
		status = PLATFORM_UNKNOWN;
	if (write && mode == WRITE_DELAYED) {
		json_decref(sim.delayed.spec);
		sim.delayed = action;
		json_incref(action.spec);
	}
	object.version = sim.version;
	object.spec = sim.spec;
	lease_result(sim.nodes[node], status, &object, sim.now_us);
	json_decref(action.spec);
	return true;
}

static bool held(int node)
{
	return lease_held(sim.nodes[node], sim.now_us);
}

/* Advances the time in steps of 50 ms; fails if both nodes hold the lease.
 * a and b are the modes of the two nodes. */
static void advance(int64_t time_us, answer_mode_t a, answer_mode_t b)
{
	int64_t end_us = sim.now_us + time_us;

	for (; sim.now_us < end_us; sim.now_us += 50 * US_PER_MS) {
		run_call(0, a);
		run_call(1, b);
		if (held(0) && held(1))
			fail_msg("two holders at %lld us",
				 (long long)sim.now_us);
	}
}

/* Guards against two lease holders, and against a lease that moves although
 * its holder can renew it. */
static void one_node_holds_the_lease(void **state)
{
	start_nodes();
	advance(60 * US_PER_S, HEALTHY, HEALTHY);
	assert_true(held(0));
	assert_int_equal(lease_token(sim.nodes[0]), 1);
	stop_nodes();
}

/* Guards against a holder that cannot renew and acts after the end of its
 * lease, against a lease that no other node acquires then, and against a
 * fencing token that does not grow. */
static void moves_when_the_holder_cannot_renew(void **state)
{
	int64_t lost_us, token;

	start_nodes();
	advance(US_PER_S, HEALTHY, HEALTHY);
	token = lease_token(sim.nodes[0]);
	lost_us = sim.now_us;
	while (held(0))
		advance(50 * US_PER_MS, DOWN, HEALTHY);
	assert_in_range(sim.now_us - lost_us, 4 * US_PER_S,
			LEASE_DURATION_US - LEASE_STOP_US);
	while (!held(1) && sim.now_us - lost_us < US_PER_S * 60)
		advance(50 * US_PER_MS, DOWN, HEALTHY);
	assert_in_range(sim.now_us - lost_us, 8 * US_PER_S, 15 * US_PER_S);
	assert_true(lease_token(sim.nodes[1]) > token);
	advance(30 * US_PER_S, HEALTHY, HEALTHY);
	assert_true(held(1));
	stop_nodes();
}

/* Guards against a holder that was paused past the end of its lease and acts
 * before it reads the lease again. */
static void paused_holder_stops(void **state)
{
	start_nodes();
	advance(US_PER_S, HEALTHY, HEALTHY);
	sim.now_us += 9 * US_PER_S;
	assert_false(held(0));
	advance(20 * US_PER_S, HEALTHY, HEALTHY);
	assert_true(held(0) != held(1));
	stop_nodes();
}

/* Guards against a node that loses the lease because the answer to its write
 * was lost: a read must show that the write took effect. */
static void reads_after_a_lost_answer(void **state)
{
	start_nodes();
	advance(US_PER_S, ANSWER_LOST, DOWN);
	assert_true(held(0));
	assert_int_equal(lease_token(sim.nodes[0]), 1);
	advance(30 * US_PER_S, ANSWER_LOST, DOWN);
	assert_true(held(0));
	stop_nodes();
}

/* Guards against two holders after a slow answer: the other node counts the
 * lease from when the write took effect, so the holder must not count from the
 * answer. */
static void counts_from_the_send_time(void **state)
{
	platform_object_t object = { 0 };
	lease_action_t action;

	start_nodes();
	advance(US_PER_S, HEALTHY, HEALTHY);
	while (!lease_next(sim.nodes[0], &action, sim.now_us))
		sim.now_us += 50 * US_PER_MS;
	assert_int_equal(apply(&action), PLATFORM_OK);
	json_decref(action.spec);
	object.version = sim.version;
	object.spec = sim.spec;
	sim.now_us += 7 * US_PER_S; /* the answer is slow */
	lease_result(sim.nodes[0], PLATFORM_OK, &object, sim.now_us);
	assert_true(held(0));
	sim.now_us += US_PER_S;
	assert_false(held(0));
	stop_nodes();
}

/* Guards against a lease that counts from the last of several writes without
 * an answer, when the first write is the one that took effect. */
static void counts_from_the_first_write(void **state)
{
	platform_object_t object = { 0 };
	lease_action_t first = { 0 }, action;
	int64_t first_us = 0;
	int reads = 0;

	start_nodes();
	advance(US_PER_S, HEALTHY, HEALTHY);
	while (reads < 2) {
		sim.now_us += 50 * US_PER_MS;
		if (!lease_next(sim.nodes[0], &action, sim.now_us))
			continue;
		object.version = sim.version;
		object.spec = sim.spec;
		if (action.type != LEASE_ACTION_READ) {
			if (!first_us) {
				first_us = sim.now_us;
				first = action;
			} else {
				json_decref(action.spec);
			}
			lease_result(sim.nodes[0], PLATFORM_UNKNOWN, NULL,
				     sim.now_us);
			continue;
		}
		lease_result(sim.nodes[0], PLATFORM_OK, &object, sim.now_us);
		if (!reads++) {
			assert_int_equal(apply(&first), PLATFORM_OK);
			sim.now_us += 4 * US_PER_S; /* pause */
		}
	}
	json_decref(first.spec);
	sim.now_us = first_us + 7 * US_PER_S;
	assert_true(held(0));
	sim.now_us = first_us + 9 * US_PER_S;
	assert_false(held(0));
	stop_nodes();
}

/* Guards against a node that keeps the lease when it shuts down: it must
 * release the lease, so that another node need not wait for the end
 * of the lease. */
static void releases_the_lease(void **state)
{
	start_nodes();
	advance(US_PER_S, HEALTHY, HEALTHY);
	lease_set_wanted(sim.nodes[0], false);
	assert_false(held(0));
	advance(3 * US_PER_S, HEALTHY, HEALTHY);
	assert_true(held(1));
	stop_nodes();
}

static const lease_times_t short_times = { .duration_us = 3 * US_PER_S,
					   .renew_us = 750 * US_PER_MS,
					   .stop_us = 750 * US_PER_MS,
					   .poll_us = 1500 * US_PER_MS,
					   .abstain_us = 3600 * US_PER_MS };

static void start_short_nodes(void)
{
	start_nodes();
	lease_destroy(sim.nodes[0]);
	lease_destroy(sim.nodes[1]);
	sim.nodes[0] = lease_create("d", "a", 1, &short_times, sim.now_us);
	sim.nodes[1] = lease_create("d", "b", 2, &short_times, sim.now_us);
}

/* Guards against a new holder without the state of the previous holder, and
 * against a holder that acts on a state which it takes for written but which
 * no other node would find. */
static void hands_over_the_state(void **state)
{
	static const struct {
		const char *fault;
		answer_mode_t mode; /* answer mode for the write of the state */
		bool written; /* the holder knows the state is written */
		bool found; /* the next holder has the state */
	} cases[] = {
		{ "a written state is lost", HEALTHY, true, true },
		{ "a state counts as written but was not sent", DOWN, false,
		  false },
		{ "a state counts as written without an answer", ANSWER_LOST,
		  false, true },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		bool found;

		start_short_nodes();
		advance(5 * US_PER_S, HEALTHY, DOWN);
		assert_true(held(0));
		lease_set_state(sim.nodes[0], json_pack("{s:i}", "n", 7));
		assert_false(lease_state_written(sim.nodes[0]));
		while (!run_call(0, cases[i].mode))
			sim.now_us += 50 * US_PER_MS;
		if (lease_state_written(sim.nodes[0]) != cases[i].written)
			fail_msg("%s", cases[i].fault);
		advance(12 * US_PER_S, DOWN, HEALTHY);
		assert_true(held(1));
		found = json_object_get(lease_state(sim.nodes[1]), "n");
		if (found != cases[i].found)
			fail_msg("%s: next holder has state: %d",
				 cases[i].fault, found);
		stop_nodes();
	}
}

/* Guards against a node that loses the lease, or restarts, and acts again
 * shortly after another node acted. */
static void abstains_after_losing_the_lease(void **state)
{
	int64_t lost_us;

	start_short_nodes();
	advance(3 * US_PER_S, HEALTHY, HEALTHY);
	assert_false(held(0) || held(1)); /* may have acted before the start */
	advance(3 * US_PER_S, HEALTHY, DOWN);
	assert_true(held(0));
	lease_set_wanted(sim.nodes[0], false);
	advance(100 * US_PER_MS, HEALTHY, DOWN);
	lost_us = sim.now_us;
	while (!held(1))
		advance(50 * US_PER_MS, DOWN, HEALTHY);
	lease_set_wanted(sim.nodes[1], false);
	lease_set_wanted(sim.nodes[0], true);
	while (!held(0))
		advance(50 * US_PER_MS, HEALTHY, HEALTHY);
	assert_true(sim.now_us - lost_us >=
		    short_times.abstain_us - 200 * US_PER_MS);
	stop_nodes();
}

/* The store comes back from a copy, and gives out versions above all before. */
static void two_nodes_act_after_a_restored_store(void **state)
{
	static const struct {
		const char *guards_against;
		bool lacks_lease; /* the copy has no lease */
		answer_mode_t holder; /* what the holder gets of the store */
	} cases[] = {
		{ "a copy without the lease", true, HEALTHY },
		{ "a copy without the lease, and a holder cut off", true,
		  DOWN },
		{ "a copy with an earlier write of it", false, HEALTHY },
		{ "an earlier write, and a holder cut off", false, DOWN },
	};
	size_t i, again;

	for (i = 0; i < COUNT_OF(cases); i++) {
		int64_t token;

		start_nodes();
		advance(10 * US_PER_S, HEALTHY, HEALTHY);
		assert_true(held(0));
		for (again = 0; again < 2; again++) {
			token = lease_token(sim.nodes[held(1)]);
			sim.last_version += INT64_C(1) << 40;
			sim.version =
				cases[i].lacks_lease ? 0 : sim.last_version - 2;
			if (cases[i].holder == HEALTHY)
				lease_store_restored(sim.nodes[0], sim.now_us);
			lease_store_restored(sim.nodes[1], sim.now_us);
			advance(2 * LEASE_DURATION_US, cases[i].holder,
				HEALTHY);
			if (!held(0) && !held(1))
				fail_msg("case \"%s\": no holder",
					 cases[i].guards_against);
			if (lease_token(sim.nodes[held(1)]) <= token)
				fail_msg("case \"%s\": token goes back",
					 cases[i].guards_against);
			/* The node that was cut off is told late. */
			lease_store_restored(sim.nodes[0], sim.now_us);
			advance(4 * LEASE_DURATION_US, HEALTHY, HEALTHY);
		}
		stop_nodes();
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(one_node_holds_the_lease),
		cmocka_unit_test(moves_when_the_holder_cannot_renew),
		cmocka_unit_test(paused_holder_stops),
		cmocka_unit_test(reads_after_a_lost_answer),
		cmocka_unit_test(counts_from_the_send_time),
		cmocka_unit_test(counts_from_the_first_write),
		cmocka_unit_test(releases_the_lease),
		cmocka_unit_test(hands_over_the_state),
		cmocka_unit_test(two_nodes_act_after_a_restored_store),
		cmocka_unit_test(abstains_after_losing_the_lease),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

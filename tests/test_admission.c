/**
 * Requests that wait for engines, played with the placement of the daemon: many
 * nodes that know of the requests of others late, and engines that admit the
 * most urgent request first. Once as the daemon decides, once in the old way,
 * in which nothing is deferred.
 */
#include <stdlib.h>
#include <string.h>

#include "admission/admission.h"
#include "base/units.h"
#include "cases.h"
#include "process/placement.h"

enum {
	SERVERS = 10,
	SLOTS = 8,
	NODES = 24,
	ACCOUNTS = 11,
	SERVICE = 7,
	STEP_MS = 10,
	AGE_STEPS = 6, /* after which other nodes know of load */
	STEPS_KEPT = AGE_STEPS + 1,
	LENGTH_MS = 10000,
	FAULT_MS = 3000, /* of 3 s */
	STREAM_MS = 1000, /* mean time of a stream */
	PREFILL_MS = 50, /* from a slot to the first event */
	OBJECTIVE_MS = 300,
	WAIT_MS = 2000,
	WAITING_MAX = 4096,
	SEEDS = 3
};

/* A stream takes about a second; prefill takes little time, so that slots bound
 * what is served in time. */
static const engine_profile_t engine = {
	.present = true,
	.kv_capacity_tokens = 1000000,
	.steps_per_iteration = 10,
	.step_us = 3000,
	.prefill_token_us = 2,
	.chunk_tokens = 2000,
	.usual_prompt_tokens = 1000,
	.usual_output_tokens = 300,
};

static const admission_query_t usual = {
	.controls_load = true,
	.engine = &engine,
	.prompt_tokens = 1000,
	.priority = 4,
	.target_us = OBJECTIVE_MS * US_PER_MS,
	.wait_max_us = WAIT_MS * US_PER_MS,
	.service = SERVICE,
};

typedef struct {
	double per_s; /* arrivals, of what all servers serve */
	double burst; /* the same, for 3 s */
	int32_t gone; /* servers that are gone for 3 s */
	double greedy; /* share of the first account; 0: no accounts */
	double less_urgent; /* share of the less urgent kind */
} play_t;

/* Groups of requests; each request is in the first one and in others. */
enum { ALL, URGENT, LESS_URGENT, GREEDY, SMALL, GROUPS };

typedef struct {
	int32_t requests, in_time, served;
} result_t;

typedef struct {
	size_t node, server;
	uint32_t account; /* from 1 */
	int32_t kind; /* 0: urgent */
	int32_t priority;
	bool deferred, has_slot, has_event;
	int64_t arrived_ms, event_ms, end_ms;
} request_t;

typedef struct {
	int32_t prefilling, decoding, deferred;
} load_t;

typedef struct {
	const play_t *play;
	bool old_way;
	load_t loads[STEPS_KEPT][NODES][SERVERS]; /* by step */
	account_load_t *accounts[NODES];
	request_t requests[WAITING_MAX]; /* in progress, by arrival */
	size_t count;
	int64_t now_ms;
	uint64_t random;
	result_t *results; /* of each group */
} site_t;

static double uniform(site_t *site)
{
	site->random ^= site->random << 13;
	site->random ^= site->random >> 7;
	site->random ^= site->random << 17;
	return (double)(site->random >> 11) / (double)(UINT64_C(1) << 53);
}

static bool has_fault(const site_t *site)
{
	return site->now_ms >= FAULT_MS && site->now_ms < FAULT_MS + 3000;
}

static size_t servers_of(const site_t *site)
{
	return SERVERS - (has_fault(site) ? (size_t)site->play->gone : 0);
}

/* Lists the servers with the load that the node knows of. */
static void fill(const site_t *site, size_t node, candidate_t *candidates)
{
	size_t step = (size_t)(site->now_ms / STEP_MS), server, i;

	for (server = 0; server < servers_of(site); server++) {
		server_load_t load = { 0 };

		for (i = 0; i < NODES; i++) {
			size_t at = (step + (i == node ? 0 : 1)) % STEPS_KEPT;
			const load_t *part = &site->loads[at][i][server];

			load.prefilling += part->prefilling;
			load.decoding += part->decoding;
			load.deferred += part->deferred;
		}
		load.decode_pending = load.prefilling;
		candidates[server] = (candidate_t){
			.server = (void *)(uintptr_t)(server + 1),
			.order = (uint32_t)(server * 2654435761U),
			.load = load,
			.slots = SLOTS,
			.slowdown = 1,
		};
	}
}

/* Decides on a request, and sends it.
 * @return false if it is refused */
static bool place(site_t *site, request_t *request)
{
	candidate_t candidates[SERVERS];
	placement_query_t query = {
		.engine = &engine,
		.prompt_tokens = 1000,
		.output_tokens = 300,
		.objective_us = OBJECTIVE_MS * US_PER_MS,
		.target_us = OBJECTIVE_MS * US_PER_MS,
		.limit_us = 10 * US_PER_S,
		.may_refuse = true,
		.nodes = NODES,
		.salt = site->random,
		.controls_load = !site->old_way,
		.ranks_below = site->old_way ? 0 : request->kind,
	};
	admission_query_t wanted = usual;
	placement_t placement;
	admission_t admission;

	fill(site, request->node, candidates);
	if (placement_choose(candidates, servers_of(site), &query,
			     &placement) != PLACEMENT_CHOSEN)
		return false;
	wanted.controls_load = !site->old_way;
	wanted.placement = &placement;
	wanted.priority += request->kind;
	wanted.ranks_below = request->kind;
	wanted.salt = site->random;
	wanted.accounts = site->accounts[request->node];
	wanted.account = site->play->greedy > 0 ? request->account : 0;
	wanted.capacity = admission_capacity(candidates, servers_of(site));
	admission_decide(&wanted, &admission);
	request->server = (size_t)(uintptr_t)placement.shards[0]->server - 1;
	request->priority = admission.priority;
	request->deferred = admission.action == ADMISSION_DEFER;
	return true;
}

/* Adds to one number of each group that a request is in. */
static void count(site_t *site, const request_t *request, size_t offset)
{
	const size_t groups[] = { ALL, request->kind ? LESS_URGENT : URGENT,
				  request->account > 1 ? SMALL : GREEDY };
	size_t i;

	for (i = 0; i < COUNT_OF(groups); i++)
		++*(int32_t *)((char *)&site->results[groups[i]] + offset);
}

static load_t *own_load(site_t *site, const request_t *request)
{
	size_t step = (size_t)(site->now_ms / STEP_MS) % STEPS_KEPT;

	return &site->loads[step][request->node][request->server];
}

static void arrive(site_t *site)
{
	request_t *request = &site->requests[site->count];
	double draw = uniform(site);

	assert_true(site->count < WAITING_MAX);
	*request = (request_t){ .arrived_ms = site->now_ms, .account = 1 };
	if (draw >= site->play->greedy)
		request->account =
			2 + (uint32_t)(uniform(site) * (ACCOUNTS - 1));
	request->kind = uniform(site) < site->play->less_urgent;
	request->node = (size_t)(uniform(site) * NODES);
	uniform(site);
	count(site, request, offsetof(result_t, requests));
	if (!place(site, request))
		return;
	site->count++;
	own_load(site, request)->prefilling++;
	own_load(site, request)->deferred += request->deferred;
	account_load_begin(site->accounts[request->node], SERVICE,
			   request->account);
}

static void note_event(site_t *site, request_t *request)
{
	request->has_event = true;
	own_load(site, request)->prefilling--;
	own_load(site, request)->decoding++;
	own_load(site, request)->deferred -= request->deferred;
	count(site, request, offsetof(result_t, served));
	if (request->event_ms - request->arrived_ms <= OBJECTIVE_MS)
		count(site, request, offsetof(result_t, in_time));
}

/* @return true if the request has ended, or its caller has left */
static bool advance(site_t *site, request_t *request)
{
	bool left = !request->has_event &&
		    site->now_ms - request->arrived_ms >= WAIT_MS;

	if (request->has_slot && !request->has_event &&
	    site->now_ms >= request->event_ms)
		note_event(site, request);
	if (!left && (!request->has_event || site->now_ms < request->end_ms))
		return false;
	if (request->has_event) {
		own_load(site, request)->decoding--;
	} else {
		own_load(site, request)->prefilling--;
		own_load(site, request)->deferred -= request->deferred;
	}
	account_load_end(site->accounts[request->node], SERVICE,
			 request->account);
	return true;
}

/* Gives the free slots of a server to the most urgent requests, among these to
 * those that came first. */
static void admit(site_t *site, size_t server)
{
	size_t used = 0, i;

	for (i = 0; i < site->count; i++)
		used += site->requests[i].server == server &&
			site->requests[i].has_slot;
	for (; used < SLOTS; used++) {
		request_t *first = NULL;

		for (i = 0; i < site->count; i++) {
			request_t *request = &site->requests[i];

			if (request->server == server && !request->has_slot &&
			    (!first || request->priority < first->priority))
				first = request;
		}
		if (!first)
			return;
		first->has_slot = true;
		first->event_ms = site->now_ms + PREFILL_MS;
		first->end_ms = first->event_ms +
				(int64_t)(STREAM_MS * (0.5 + uniform(site)));
	}
}

static void announce(site_t *site)
{
	size_t from, to;

	for (from = 0; from < NODES; from++) {
		announcement_t message = { .node = from + 1 };

		message.account_count = account_load_list(
			site->accounts[from], message.accounts,
			ANNOUNCED_ACCOUNTS_MAX);
		for (to = 0; to < NODES; to++)
			if (to != from)
				account_load_receive(site->accounts[to],
						     &message,
						     site->now_ms * US_PER_MS);
	}
}

static void step(site_t *site)
{
	size_t at = (size_t)(site->now_ms / STEP_MS), i, kept = 0;
	double rate = has_fault(site) ? site->play->burst : site->play->per_s;
	double due =
		rate * SERVERS * SLOTS * STEP_MS / (STREAM_MS + PREFILL_MS);

	memcpy(site->loads[at % STEPS_KEPT],
	       site->loads[(at + AGE_STEPS) % STEPS_KEPT],
	       sizeof(site->loads[0]));
	for (i = 0; i < site->count; i++)
		if (!advance(site, &site->requests[i]))
			site->requests[kept++] = site->requests[i];
	site->count = kept;
	for (i = 0; i < servers_of(site); i++)
		admit(site, i);
	if (site->now_ms % (AGE_STEPS * STEP_MS) == 0)
		announce(site);
	while (due > 0) {
		if (uniform(site) < due)
			arrive(site);
		due -= 1;
	}
}

/* Adds to the results. */
static void run(const play_t *play, bool old_way, uint64_t seed,
		result_t results[GROUPS])
{
	site_t *site = calloc(1, sizeof(*site));
	size_t i;

	site->play = play;
	site->old_way = old_way;
	site->results = results;
	site->random = 88172645463325252ULL + seed;
	for (i = 0; i < NODES; i++)
		site->accounts[i] = account_load_create();
	for (; site->now_ms < LENGTH_MS; site->now_ms += STEP_MS)
		step(site);
	for (i = 0; i < NODES; i++)
		account_load_destroy(site->accounts[i]);
	free(site);
}

/* Percent of the requests of a group, at least. */
typedef struct {
	int32_t group, in_time, served;
} least_t;

/* @return the first group that gets less; NULL: none */
static const result_t *find_short(const least_t *least, size_t least_count,
				  const result_t results[GROUPS])
{
	size_t i;

	for (i = 0; i < least_count; i++) {
		const result_t *result = &results[least[i].group];

		if (result->in_time * 100 <
			    least[i].in_time * result->requests ||
		    result->served * 100 < least[i].served * result->requests)
			return result;
	}
	return NULL;
}

/* Guards against requests that are all late together, against an account or a
 * kind that takes the capacity from others, and against one that gets none. */
static void keeps_requests_in_time(void **state)
{
	static const struct {
		const char *name;
		play_t play;
		least_t least[3];
	} cases[] = {
		{ "burst",
		  { .per_s = 0.6, .burst = 1.5 },
		  { { ALL, 55, 85 } } },
		{ "half of the servers gone",
		  { 0.7, 0.7, .gone = SERVERS / 2 },
		  { { ALL, 75, 94 } } },
		{ "greedy account",
		  { 1.2, 1.2, .greedy = 0.6 },
		  { { SMALL, 70, 95 }, { GREEDY, 10, 65 }, { ALL, 35, 80 } } },
		{ "account that is alone",
		  { 1.2, 1.2, .greedy = 1 },
		  { { ALL, 25, 78 } } },
		{ "less urgent kind",
		  { 1.3, 1.3, .less_urgent = 0.5 },
		  { { URGENT, 60, 92 }, { LESS_URGENT, 15, 50 } } },
		{ "few requests of a less urgent kind",
		  { 1.5, 1.5, .less_urgent = 0.15 },
		  { { URGENT, 22, 70 }, { LESS_URGENT, 5, 20 } } },
	};
	size_t i;

	for (i = 0; i < 2 * COUNT_OF(cases); i++) {
		bool old_way = i % 2;
		result_t results[GROUPS] = { { 0 } };
		const result_t *found;
		uint64_t seed;

		for (seed = 1; seed <= SEEDS; seed++)
			run(&cases[i / 2].play, old_way, seed, results);
		found = find_short(cases[i / 2].least, 3, results);
		if (!found && old_way)
			fail_msg("%s: as good in the old way",
				 cases[i / 2].name);
		if (found && !old_way)
			fail_msg("%s: of %d %d in time, %d served",
				 cases[i / 2].name, found->requests,
				 found->in_time, found->served);
	}
}

/* Guards against requests that are deferred without need, or for too long. */
static void defers_what_others_may_pass(void **state)
{
	enum {
		LATE = ADMISSION_LATE,
		ACCOUNT = ADMISSION_ACCOUNT,
		KIND = ADMISSION_KIND
	};
	static const struct {
		const char *name;
		int64_t event_ms;
		int cause; /* expected */
		int64_t waited_ms, passed_ms, tokens;
		int32_t free, held, others, ranks_below;
		uint64_t salt;
		size_t helpers;
		bool is_plain, has_events, is_public;
	} cases[] = {
		{ "in time to the ms", .event_ms = 300 },
		{ "late by 1 ms", 301, .cause = LATE },
		{ "objective passed", 10, LATE, .passed_ms = 800 },
		{ "half of the wait is over", 400, .waited_ms = WAIT_MS / 2 },
		{ "half of it, but 1 ms", 400, LATE, .waited_ms = 999 },
		{ "long prompt", 400, .tokens = 2000 },
		{ "several servers", 400, .helpers = 1 },
		{ "plain service", 400, .is_plain = true },
		{ "stream that goes on", 400, .has_events = true },
		{ "above its share", 0, ACCOUNT, .held = 40, .others = 40 },
		{ "the same, with room", .free = 8, .held = 40, .others = 40 },
		{ "below its share", .held = 20, .others = 60 },
		{ "alone", .held = 80 },
		{ "public", .held = 40, .others = 40, .is_public = true },
		{ "less urgent", 0, KIND, .ranks_below = 1, .salt = 1 },
		{ "one of four", .ranks_below = 1, .salt = 4 },
		{ "with room", .ranks_below = 1, .salt = 1, .free = 8 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		account_load_t *accounts = account_load_create();
		announcement_t message = {
			.node = 1,
			.accounts = { { SERVICE, 1, cases[i].held },
				      { SERVICE, 2, cases[i].others } },
			.account_count = 2
		};
		placement_t placement = { .count = 1 + cases[i].helpers,
					  .first_event_us = cases[i].event_ms *
							    US_PER_MS };
		admission_query_t query = usual;
		admission_t admission;

		account_load_receive(accounts, &message, 0);
		query.engine = cases[i].is_plain ? NULL : &engine;
		query.placement = &placement;
		query.prompt_tokens = cases[i].tokens;
		query.ranks_below = cases[i].ranks_below;
		query.salt = cases[i].salt;
		query.target_us -= cases[i].passed_ms * US_PER_MS;
		query.waited_us = cases[i].waited_ms * US_PER_MS;
		query.has_events = cases[i].has_events;
		query.capacity = (admission_capacity_t){ 80, cases[i].free };
		query.accounts = accounts;
		query.account = !cases[i].is_public;
		admission_decide(&query, &admission);
		if ((int)admission.cause != cases[i].cause ||
		    admission.priority != (cases[i].cause ? 9 : 4) ||
		    (admission.action == ADMISSION_DEFER) != !!cases[i].cause)
			fail_msg("%s: %s", cases[i].name,
				 admission_cause_name(admission.cause));
		query.controls_load = false;
		admission_decide(&query, &admission);
		assert_int_equal(admission.priority, 4);
		account_load_destroy(accounts);
	}
}

/* Guards against a service that seems short of capacity because of requests
 * that others pass, or that hides it behind servers used as a last resort. */
static void sums_up_free_slots(void **state)
{
	static const candidate_t candidates[] = {
		{ .slots = 8, .load = { .prefilling = 5, .decoding = 2 } },
		{ .slots = 8, .load = { .prefilling = 5, .deferred = 4 } },
		{ .slots = 8, .load = { .decoding = 12 } },
		{ .slots = 8, .fallback = true },
	};
	admission_capacity_t sum =
		admission_capacity(candidates, COUNT_OF(candidates));

	assert_int_equal(sum.slots, 24);
	assert_int_equal(sum.free, 8);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(keeps_requests_in_time),
		cmocka_unit_test(defers_what_others_may_pass),
		cmocka_unit_test(sums_up_free_slots),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

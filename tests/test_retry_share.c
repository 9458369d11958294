/**
 * Retries of a fleet whose processes end and start: what they have spent must
 * not be spent again.
 */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/units.h"
#include "cases.h"
#include "process/load_table.h"
#include "process/retry_share.h"

enum {
	NODES_MAX = 24,
	STEP_MS = 50,
	LENGTH_MS = 60000,
	STEPS = LENGTH_MS / STEP_MS,
	WINDOW_STEPS = RETRY_WINDOW_S * 1000 / STEP_MS,
	ANNOUNCE_MS = 200,
	RESTART_MS = 300,
	LIST_MS = 5000, /* pause between two reads of the list of nodes */
	SLACK = 100,
	DAY_KILLS_MAX = 40
};
#define RATIO 0.2

/** Processes that end, and start again after RESTART_MS. */
typedef struct {
	int at_ms, first, count;
} kills_t;

typedef struct {
	const char *name;
	int nodes, added, added_ms; /* nodes at the start, and later */
	kills_t kills[DAY_KILLS_MAX];
	int cut_ms, healed_ms; /* odd and even nodes do not hear each other */
	/* Requests a second, before and from burst_ms on. */
	double per_s, burst_per_s;
	int burst_ms;
} fleet_case_t;

typedef struct {
	bool runs, ran_before;
	int starts_ms, listed_ms;
	int64_t started_us;
	uint64_t incarnation, sequence;
	load_table_t *table;
	retry_budget_t budget;
	double due; /* requests that came in part */
	int32_t nodes;
	bool is_first;
} node_t;

static const retry_fleet_limits_t limits = { RATIO, SLACK,
					     RETRY_WINDOW_S *US_PER_S };

static retry_fleet_t fleet_of(const node_t *node, int64_t now_us)
{
	load_starts_t starts = load_table_starts(node->table, now_us);

	return (retry_fleet_t){ .up_us = now_us - node->started_us,
				.is_first = node->is_first,
				.nodes = node->nodes,
				.heard = starts.nodes,
				.first = starts.first,
				.settled = starts.settled,
				.noticed = starts.noticed,
				.starts = starts.starts };
}

static void announce(node_t *nodes, int count, int from, bool is_cut,
		     int64_t now_us)
{
	node_t *node = &nodes[from];
	bool is_settled = now_us - node->started_us >= limits.window_us;
	announcement_t message = {
		.node = (uint64_t)from + 1,
		.incarnation = node->incarnation,
		.sequence = ++node->sequence,
		.starts = is_settled ? load_table_started(
					       node->table,
					       now_us - limits.window_us)
				     : -1,
		.is_first = node->is_first,
	};
	int i;

	for (i = 0; i < count; i++)
		if (i != from && nodes[i].runs &&
		    (!is_cut || (i - from) % 2 == 0))
			load_table_receive(nodes[i].table, &message, now_us,
					   now_us);
}

static void end(node_t *node)
{
	if (node->runs)
		load_table_destroy(node->table);
	node->runs = false;
}

static void start(node_t *node, int count, int now_ms)
{
	node->runs = true;
	node->started_us = now_ms * US_PER_MS;
	node->incarnation++;
	node->sequence = 0;
	node->table = load_table_create();
	node->budget = (retry_budget_t){ 0 };
	node->is_first = !node->ran_before;
	node->ran_before = true;
	node->nodes = count;
	node->listed_ms = now_ms;
}

/* Takes all retries that the budget allows. @return their number */
static int serve(node_t *node, double requests, int64_t now_us)
{
	const retry_fleet_t fleet = fleet_of(node, now_us);
	const retry_limits_t own = retry_share_limits(&limits, &fleet);
	int retries = 0;

	for (node->due += requests; node->due >= 1; node->due--)
		retry_count_request(&node->budget, now_us);
	while (retry_take_within(&node->budget, &own, now_us))
		retries++;
	return retries;
}

static void step_node(node_t *nodes, int index, int count,
		      const fleet_case_t *fleet_case, int now_ms)
{
	node_t *node = &nodes[index];
	bool is_cut = now_ms >= fleet_case->cut_ms &&
		      now_ms < fleet_case->healed_ms;

	if (!node->runs && now_ms >= node->starts_ms)
		start(node, count, now_ms);
	if (!node->runs)
		return;
	if (now_ms - node->listed_ms >= LIST_MS) {
		node->listed_ms = now_ms;
		node->nodes = count;
	}
	if ((now_ms - (int)(node->started_us / US_PER_MS)) % ANNOUNCE_MS == 0)
		announce(nodes, count, index, is_cut, now_ms * US_PER_MS);
}

static void kill_nodes(node_t *nodes, const fleet_case_t *fleet_case,
		       int now_ms)
{
	int i, j;

	for (i = 0; i < DAY_KILLS_MAX && fleet_case->kills[i].count; i++)
		for (j = 0; fleet_case->kills[i].at_ms == now_ms &&
			    j < fleet_case->kills[i].count;
		     j++) {
			node_t *node = &nodes[fleet_case->kills[i].first + j];

			end(node);
			node->starts_ms = now_ms + RESTART_MS;
		}
}

static double sum(const double *values, int from, int to)
{
	double total = 0;
	int i;

	for (i = from > 0 ? from : 0; i < to; i++)
		total += values[i];
	return total;
}

/* The requests of a window, the one before it, or the one half a window before
 * it, whichever has most. */
static double allowed(const double *requests, int from)
{
	double most = sum(requests, from, from + WINDOW_STEPS);
	double before = sum(requests, from - WINDOW_STEPS, from);
	double half =
		sum(requests, from - WINDOW_STEPS / 2, from + WINDOW_STEPS / 2);

	if (before > most)
		most = before;
	return SLACK + RATIO * (half > most ? half : most);
}

static void check_windows(const fleet_case_t *fleet_case,
			  const double *requests, const double *retries)
{
	int from;

	for (from = 0; from + WINDOW_STEPS <= STEPS; from++) {
		double taken = sum(retries, from, from + WINDOW_STEPS);

		if (taken > allowed(requests, from))
			fail_msg("%s: %.0f retries from %d ms, %.1f allowed",
				 fleet_case->name, taken, from * STEP_MS,
				 allowed(requests, from));
	}
}

static const fleet_case_t fleets[] = {
	{ "nothing ends", 6, .per_s = 60, .burst_per_s = 200,
	  .burst_ms = 20000 },
	{ "all end once, in a burst", 6, .kills = { { 25000, 0, 6 } },
	  .per_s = 60, .burst_per_s = 200, .burst_ms = 20000 },
	{ "all end in series", 6,
	  .kills = { { 20000, 0, 6 },
		     { 21000, 0, 6 },
		     { 22000, 0, 6 },
		     { 23000, 0, 6 },
		     { 25000, 0, 6 },
		     { 29000, 0, 6 },
		     { 31000, 0, 6 },
		     { 42000, 0, 6 } },
	  .per_s = 150, .burst_per_s = 60, .burst_ms = 24000 },
	{ "one ends in series", 6,
	  .kills = { { 20000, 0, 1 },
		     { 21000, 0, 1 },
		     { 22000, 0, 1 },
		     { 23000, 0, 1 },
		     { 24000, 0, 1 },
		     { 25000, 0, 1 },
		     { 26000, 0, 1 },
		     { 27000, 0, 1 },
		     { 28000, 0, 1 } },
	  .per_s = 60, .burst_per_s = 120, .burst_ms = 20000 },
	{ "one after the other", 6,
	  .kills = { { 20000, 0, 1 },
		     { 21000, 1, 1 },
		     { 22000, 2, 1 },
		     { 23000, 3, 1 },
		     { 24000, 4, 1 },
		     { 25000, 5, 1 } },
	  .per_s = 60, .burst_per_s = 120, .burst_ms = 20000 },
	{ "one, then all", 6, .kills = { { 20000, 0, 1 }, { 22000, 0, 6 } },
	  .per_s = 60, .burst_per_s = 60, .burst_ms = 20000 },
	{ "half of a larger fleet", 24, .kills = { { 20000, 0, 12 } },
	  .per_s = 240, .burst_per_s = 400, .burst_ms = 15000 },
	{ "some, then all of a larger fleet", 24,
	  .kills = { { 20000, 0, 4 }, { 24000, 0, 24 } }, .per_s = 240,
	  .burst_per_s = 400, .burst_ms = 15000 },
	{ "a single node", 1, .kills = { { 20000, 0, 1 }, { 21000, 0, 1 } },
	  .per_s = 20, .burst_per_s = 60, .burst_ms = 15000 },
	{ "as many nodes are added", 6, .added = 6, .added_ms = 20000,
	  .per_s = 60, .burst_per_s = 120, .burst_ms = 18000 },
	{ "nodes are added while all end", 6, .added = 3, .added_ms = 20000,
	  .kills = { { 20000, 0, 6 } }, .per_s = 60, .burst_per_s = 120,
	  .burst_ms = 18000 },
	{ "a half ends behind a cut", 6,
	  .kills = { { 22000, 0, 1 },
		     { 22000, 2, 1 },
		     { 22000, 4, 1 },
		     { 23000, 0, 1 },
		     { 23000, 2, 1 },
		     { 23000, 4, 1 } },
	  .cut_ms = 15000, .healed_ms = 22500, .per_s = 60, .burst_per_s = 120,
	  .burst_ms = 18000 },
	{ "few requests", 6, .kills = { { 20000, 0, 6 }, { 24000, 0, 6 } },
	  .per_s = 2, .burst_per_s = 2, .burst_ms = 0 },
};

/* Plays the time until @p until_ms, and leaves the nodes as they are then. */
static void play_until(const fleet_case_t *fleet_case, int until_ms,
		       node_t *nodes, double *requests, double *retries)
{
	int i, step;

	for (step = 0; step < until_ms / STEP_MS; step++) {
		int now_ms = step * STEP_MS, count = fleet_case->nodes;
		double per_s = now_ms < fleet_case->burst_ms
				       ? fleet_case->per_s
				       : fleet_case->burst_per_s;

		if (fleet_case->added && now_ms >= fleet_case->added_ms)
			count += fleet_case->added;
		kill_nodes(nodes, fleet_case, now_ms);
		requests[step] = per_s * STEP_MS / (double)MS_PER_S;
		retries[step] = 0;
		for (i = 0; i < count; i++)
			step_node(nodes, i, count, fleet_case, now_ms);
		for (i = 0; i < count; i++)
			if (nodes[i].runs)
				retries[step] += serve(&nodes[i],
						       requests[step] / count,
						       now_ms * US_PER_MS);
	}
}

static void end_all(node_t *nodes)
{
	int i;

	for (i = 0; i < NODES_MAX; i++)
		end(&nodes[i]);
}

static void play(const fleet_case_t *fleet_case)
{
	static double requests[STEPS], retries[STEPS];
	node_t nodes[NODES_MAX] = { 0 };

	play_until(fleet_case, LENGTH_MS, nodes, requests, retries);
	end_all(nodes);
	check_windows(fleet_case, requests, retries);
}

/* Guards against processes that start with a whole budget of retries, which
 * earlier ones have spent. */
static void fleet_keeps_its_budget_when_processes_start(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(fleets); i++)
		play(&fleets[i]);
}

static const struct {
	fleet_case_t fleet;
	int at_ms, node; /* whose share, and when */
	retry_share_t share;
} calm[] = {
	{ { .name = "a new fleet", .nodes = 6 }, 500, 5, RETRY_SHARE_FIRST },
	{ { .name = "one starts again",
	    .nodes = 6,
	    .kills = { { 30000, 0, 1 } } },
	  31000,
	  0,
	  RETRY_SHARE_CALM },
	{ { .name = "one a window after the other",
	    .nodes = 6,
	    .kills = { { 30000, 0, 1 }, { 40500, 1, 1 } } },
	  41500,
	  1,
	  RETRY_SHARE_CALM },
	{ { .name = "one is added", .nodes = 6, .added = 1, .added_ms = 30000 },
	  31000,
	  6,
	  RETRY_SHARE_CALM },
	{ { .name = "all start again",
	    .nodes = 6,
	    .kills = { { 30000, 0, 6 } } },
	  31000,
	  0,
	  RETRY_SHARE_SPENT },
};

/* Guards against calm starts that refuse retries for a whole window. */
static void process_has_its_share_soon_in_a_calm_fleet(void **state)
{
	static double requests[STEPS], retries[STEPS];
	size_t i;

	for (i = 0; i < COUNT_OF(calm); i++) {
		node_t nodes[NODES_MAX] = { 0 };
		retry_fleet_t fleet;
		retry_share_t share;

		play_until(&calm[i].fleet, calm[i].at_ms, nodes, requests,
			   retries);
		fleet = fleet_of(&nodes[calm[i].node],
				 calm[i].at_ms * US_PER_MS);
		share = retry_share(&fleet, limits.window_us);
		end_all(nodes);
		if (share != calm[i].share)
			fail_msg("%s: %s", calm[i].fleet.name,
				 retry_share_text(share));
	}
}

static const struct {
	const char *name;
	retry_fleet_t fleet;
	retry_share_t share;
} shares[] = {
	{ "a single new node",
	  { 0, true, 1, 0, 0, 0, 0, 0 },
	  RETRY_SHARE_FIRST },
	{ "a new fleet",
	  { 500000, true, 6, 5, 5, 0, 0, 0 },
	  RETRY_SHARE_FIRST },
	{ "new, before it hears of others",
	  { 0, true, 6, 0, 0, 0, 0, 0 },
	  RETRY_SHARE_SPENT },
	{ "new, and others have started again",
	  { 0, true, 6, 5, 0, 0, 0, 0 },
	  RETRY_SHARE_SPENT },
	{ "nodes not known", { 0, true, 0, 0, 0, 0, 0, 0 }, RETRY_SHARE_SPENT },
	{ "a single node again",
	  { 0, false, 1, 0, 0, 0, 0, 0 },
	  RETRY_SHARE_SPENT },
	{ "all again", { 0, false, 6, 5, 0, 0, 0, 0 }, RETRY_SHARE_SPENT },
	{ "one of six again",
	  { 0, false, 6, 5, 0, 5, 5, 1 },
	  RETRY_SHARE_CALM },
	{ "one of six, not noticed yet",
	  { 0, false, 6, 5, 0, 5, 0, 0 },
	  RETRY_SHARE_SPENT },
	{ "one of six twice",
	  { 0, false, 6, 5, 0, 5, 5, 2 },
	  RETRY_SHARE_SPENT },
	{ "one of six, half is cut off",
	  { 0, false, 6, 2, 0, 2, 2, 1 },
	  RETRY_SHARE_SPENT },
	{ "new beside settled ones",
	  { 0, true, 6, 5, 5, 5, 5, 1 },
	  RETRY_SHARE_CALM },
	{ "15 of 90 again",
	  { 0, false, 90, 80, 0, 74, 74, 15 },
	  RETRY_SHARE_CALM },
	{ "16 of 90 again",
	  { 0, false, 90, 80, 0, 74, 74, 16 },
	  RETRY_SHARE_SPENT },
	{ "a window has passed",
	  { 10000000, false, 6, 0, 0, 0, 0, 0 },
	  RETRY_SHARE_SETTLED },
};

/* Guards against starts that refuse retries although little can have been
 * spent, and against others that allow them. */
static void share_depends_on_what_is_known_of_starts(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(shares); i++)
		if (retry_share(&shares[i].fleet, limits.window_us) !=
		    shares[i].share)
			fail_msg("%s: %s", shares[i].name,
				 retry_share_text(retry_share(
					 &shares[i].fleet, limits.window_us)));
}

static const struct {
	retry_fleet_limits_t limits;
	retry_fleet_t fleet;
	retry_limits_t own;
} divided[] = {
	{ { 0.2, 100, 10 * US_PER_S },
	  { .up_us = 10 * US_PER_S, .nodes = 4 },
	  { 0.16, 20 } },
	{ { 0.2, 100, 20 * US_PER_S },
	  { .up_us = 20 * US_PER_S, .nodes = 4 },
	  { 0.16, 10 } },
	{ { 0.2, 100, 5 * US_PER_S },
	  { .up_us = 5 * US_PER_S, .nodes = 4 },
	  { 0.08, 20 } },
	{ { 0.2, 100, 10 * US_PER_S },
	  { .up_us = 0, .nodes = 4 },
	  { 0.016, 0 } },
	{ { 0.2, 100, 10 * US_PER_S },
	  { .up_us = 5 * US_PER_S, .nodes = 4 },
	  { 0.016, 1 } },
	{ { 0.2, 100, 10 * US_PER_S },
	  { .up_us = 10 * US_PER_S, .nodes = 0 },
	  { 0.16, 0 } },
};

/* Guards against a floor of retries that each of the nodes has whole. */
static void limits_are_divided_among_the_nodes(void **state)
{
	size_t i;

	for (i = 0; i < COUNT_OF(divided); i++) {
		retry_limits_t own = retry_share_limits(&divided[i].limits,
							&divided[i].fleet);

		assert_true(fabs(own.ratio - divided[i].own.ratio) < 1e-9);
		assert_true(fabs(own.floor - divided[i].own.floor) < 1e-9);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(fleet_keeps_its_budget_when_processes_start),
		cmocka_unit_test(process_has_its_share_soon_in_a_calm_fleet),
		cmocka_unit_test(share_depends_on_what_is_known_of_starts),
		cmocka_unit_test(limits_are_divided_among_the_nodes),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/**
 * Segments of prompts, and requests that come again, that crash servers: fleets
 * of nodes that announce to each other what they see, and single tables.
 */
#include <stdlib.h>
#include <string.h>

#include "base/units.h"
#include "cases.h"
#include "process/segment_table.h"

enum {
	NODES_MAX = 24,
	SERVERS = 12,
	RUNS_MAX = 400,
	STEP_MS = 10,
	DAY_MS = 24000,
	FROM_MS = 6000, /* until then all prompts are sound */
	FAULT_MS = 9000, /* time of the other fault of a case */
	FAULT_END_MS = 12000,
	REQUESTS_PER_S = 60,
	READ_MS = 60, /* from sending to the first event */
	WRITE_MS = 600,
	ANNOUNCE_MS = 100,
	/* The platform's rules. */
	KNOWN_CRASHES = 5,
	CONTENT_KNOWN_CRASHES = 3,
	ALLOWED = 3,
	CALLER_TRIES = 4, /* of a caller who sends a failed request again */
	STABLE_MS = 3000
};

/* Segments that crash servers in all cases. */
#define BAD UINT64_C(0xbad0)
/* Contents of requests that do, of sound ones that come again and again, and of
 * sound ones that come once. */
#define DEADLY UINT64_C(0xdead0)
#define FREQUENT UINT64_C(0xf0)
#define SINGLE (UINT64_C(1) << 40)

typedef enum {
	NO_FAULT,
	SERVERS_CRASH, /* a third of the servers, at one moment */
	SERVERS_FLAP, /* two servers end and start by turns */
	SERVER_STOPS, /* a server ends within its last requests */
	CUT, /* half of the nodes lose all their connections, and the others */
	RESTART, /* a third of the nodes start anew */
	RESTART_TURNS, /* the nodes start anew in turns */
	JOIN, /* a third of the nodes start only now */
	FREEZE /* a third of the nodes do nothing for 3 s */
} fault_t;

typedef struct {
	const char *name;
	int nodes;
	uint64_t prompt[3]; /* segments of crashing prompts; 0: none */
	uint64_t sound[3]; /* of sound prompts besides the shared ones */
	fault_t fault;
	int bad_count; /* segments that crash servers */
	int bad_percent; /* of all requests */
	int until_ms; /* end of such prompts; 0: none */
	bool unframed; /* ends of answers are unclear */
	bool is_at_any; /* each crash is seen by another node alone */
	bool was_harmless; /* sound prompts had the segment before */
	int older; /* nodes of a build that knows nothing of this */
	bool is_content; /* requests that come again crash servers */
	bool is_beside; /* prompts with a bad segment crash them, too */
	bool is_repeated; /* callers send failed requests again */
} day_t;

typedef struct {
	bool used;
	int node, server, start, tries;
	int bad; /* number of the bad segment; -1: sound */
	int64_t sent_us, due_us;
	int crash_ms; /* from the first event */
	uint64_t ids[6], content;
	size_t count;
	int caller_tries;
	bool is_first, began;
} run_t;

typedef struct {
	const day_t *day;
	segment_table_t *tables[NODES_MAX];
	limit_nodes_t nodes[NODES_MAX];
	int64_t disturbed_us[NODES_MAX];
	int start[SERVERS]; /* counts the starts of each server */
	int64_t down_until_us[SERVERS];
	run_t runs[RUNS_MAX];
	int64_t now_us;
	uint64_t random;
	int crashes[4], late[4], next_node;
	int64_t known_us[4];
	uint64_t next_content, content_random;
	int sound_sent[2],
		sound_began[2]; /* before, and after the rule holds */
} fleet_t;

static int random_of(uint64_t *state, int below)
{
	*state = *state * UINT64_C(6364136223846793005) +
		 UINT64_C(1442695040888963407);
	return (int)((*state >> 33) % (uint64_t)below);
}

static int random_below(fleet_t *fleet, int below)
{
	return random_of(&fleet->random, below);
}

static bool in_fault(const fleet_t *fleet, fault_t fault)
{
	int64_t ms = fleet->now_us / US_PER_MS;

	return fleet->day->fault == fault && ms >= FAULT_MS &&
	       ms < FAULT_END_MS;
}

static bool is_third(int index)
{
	return index % 3 == 1;
}

/* @return true if the node does not take part at the moment */
static bool is_away(const fleet_t *fleet, int node)
{
	if (fleet->day->fault == JOIN && is_third(node))
		return fleet->now_us < FAULT_MS * US_PER_MS;
	return in_fault(fleet, FREEZE) && is_third(node);
}

static bool is_undisturbed(const fleet_t *fleet, int node)
{
	return fleet->now_us - fleet->disturbed_us[node] >=
	       STABLE_MS * US_PER_MS;
}

static bool is_older(const fleet_t *fleet, int node)
{
	return node < fleet->day->older;
}

static uint32_t server_hash(const fleet_t *fleet, int server)
{
	return (uint32_t)(1000 * server + fleet->start[server]);
}

static segments_t segments_of(const run_t *run)
{
	return (segments_t){ run->ids, run->count, run->content };
}

static void dispatch(fleet_t *fleet, run_t *run);

/* The caller of a request that failed sends it again, to another node. */
static void send_again(fleet_t *fleet, run_t *run)
{
	run->used = false;
	if (!fleet->day->is_repeated || ++run->caller_tries >= CALLER_TRIES)
		return;
	run->node = random_below(fleet, fleet->day->nodes);
	run->tries = 0;
	if (!is_away(fleet, run->node))
		dispatch(fleet, run);
}

/* The server of a request ended, or its connection broke. */
static void break_off(fleet_t *fleet, run_t *run, uint32_t server)
{
	segments_t segments = segments_of(run);

	if (!is_older(fleet, run->node) && !is_away(fleet, run->node))
		segment_table_note_crash(fleet->tables[run->node], &segments,
					 server, fleet->now_us);
	if (run->tries < 2)
		dispatch(fleet, run);
	else
		send_again(fleet, run);
}

static void end_server(fleet_t *fleet, int server)
{
	uint32_t hash = server_hash(fleet, server);
	int i, start = fleet->start[server]++;

	fleet->down_until_us[server] =
		fleet->now_us + (1000 + random_below(fleet, 2000)) * US_PER_MS;
	for (i = 0; i < RUNS_MAX; i++)
		if (fleet->runs[i].used && fleet->runs[i].server == server &&
		    fleet->runs[i].start == start)
			break_off(fleet, &fleet->runs[i], hash);
}

/* Sends a request to a server that is up, unless its segments forbid it. */
static void dispatch(fleet_t *fleet, run_t *run)
{
	segments_t segments = segments_of(run);
	segment_table_t *table = fleet->tables[run->node];
	int i, from = random_below(fleet, SERVERS);

	run->used = false;
	if (!is_older(fleet, run->node) &&
	    segment_table_judge(table, &segments, &fleet->nodes[run->node],
				fleet->now_us)
			    .state != SEGMENTS_FREE)
		return;
	for (i = 0; i < SERVERS; i++) {
		run->server = (from + i) % SERVERS;
		if (fleet->down_until_us[run->server] <= fleet->now_us)
			break;
	}
	if (i == SERVERS)
		return;
	segment_table_sent(table, &segments, fleet->now_us);
	run->used = true;
	run->began = false;
	run->is_first = !run->tries++;
	run->start = fleet->start[run->server];
	run->sent_us = fleet->now_us;
	run->due_us = fleet->now_us + READ_MS * US_PER_MS;
	if (run->bad < 0 || !fleet->known_us[run->bad] ||
	    fleet->now_us - fleet->known_us[run->bad] < STABLE_MS * US_PER_MS ||
	    !is_undisturbed(fleet, run->node) || is_older(fleet, run->node))
		return;
	fleet->late[run->bad]++;
}

static run_t *new_run(fleet_t *fleet)
{
	int i;

	for (i = 0; i < RUNS_MAX; i++)
		if (!fleet->runs[i].used)
			break;
	assert_true(i < RUNS_MAX);
	memset(&fleet->runs[i], 0, sizeof(fleet->runs[i]));
	return &fleet->runs[i];
}

static void add_ids(run_t *run, const uint64_t *ids, int bad)
{
	size_t i;

	for (i = 0; i < 3 && ids[i]; i++)
		run->ids[run->count++] = ids[i] == BAD ? BAD + (uint64_t)bad
						       : ids[i];
}

static bool day_has_bad(const fleet_t *fleet)
{
	return fleet->day->bad_percent > 0;
}

/* Causes are numbered: segments from 0, contents from 2. */
static int first_bad(const fleet_t *fleet)
{
	return fleet->day->is_content ? 2 : 0;
}

/* @return number of crashes after which nodes know the cause */
static int known_crashes(int bad)
{
	return bad < 2 ? KNOWN_CRASHES : CONTENT_KNOWN_CRASHES;
}

/* @return the content of a sound request */
static uint64_t sound_content(fleet_t *fleet)
{
	if (random_of(&fleet->content_random, 3))
		return SINGLE + fleet->next_content++;
	return FREQUENT + (uint64_t)random_of(&fleet->content_random, 4);
}

/* @return the number of what makes a request crash its server */
static int choose_bad(fleet_t *fleet)
{
	int bad = random_below(fleet, fleet->day->bad_count);

	if (fleet->day->is_beside && random_below(fleet, 2))
		return bad;
	return first_bad(fleet) + bad;
}

/* @return true once the rule on sound requests holds */
static bool is_settled(const fleet_t *fleet)
{
	bool crashed = !day_has_bad(fleet);
	size_t i;

	for (i = 0; i < COUNT_OF(fleet->crashes); i++)
		crashed |= fleet->crashes[i] > 0;
	return crashed &&
	       fleet->now_us >= (FAULT_END_MS + 2 * STABLE_MS) * US_PER_MS;
}

static void send_request(fleet_t *fleet)
{
	const day_t *day = fleet->day;
	run_t *run = new_run(fleet);
	int64_t ms = fleet->now_us / US_PER_MS;
	bool bad = ms >= FROM_MS && (!day->until_ms || ms < day->until_ms) &&
		   random_below(fleet, 100) < day->bad_percent;

	run->node = random_below(fleet, day->nodes);
	if (bad && day->is_at_any)
		run->node = fleet->next_node++ % day->nodes;
	if (is_away(fleet, run->node))
		return;
	run->bad = bad ? choose_bad(fleet) : -1;
	run->crash_ms = 20 + random_below(fleet, 400);
	run->content = run->bad >= 2 ? DEADLY + (uint64_t)run->bad
				     : sound_content(fleet);
	if (run->bad >= 2) {
		add_ids(run, day->sound, 0);
	} else if (bad) {
		run->content = SINGLE + fleet->next_content++;
		add_ids(run, day->prompt, run->bad);
	} else {
		static const uint64_t shared[] = { 0xa1, 0, 0 };

		add_ids(run, shared, 0);
		if (random_below(fleet, 2))
			add_ids(run, day->sound, 0);
		if (day->was_harmless && ms < FROM_MS)
			add_ids(run, day->prompt, 0);
		if (!random_below(fleet, 8))
			run->ids[run->count++] =
				0xf000 + (uint64_t)random_below(fleet, 400);
	}
	dispatch(fleet, run);
	if (bad || (ms > FROM_MS && !is_settled(fleet)) ||
	    !is_undisturbed(fleet, run->node))
		return;
	fleet->sound_sent[ms > FROM_MS]++;
	if (run->used)
		fleet->sound_began[ms > FROM_MS]++;
}

static void finish(fleet_t *fleet, run_t *run)
{
	segments_t segments = segments_of(run);
	segment_table_t *table = fleet->tables[run->node];
	uint32_t server = server_hash(fleet, run->server);
	int64_t began_us = fleet->now_us - WRITE_MS * US_PER_MS;

	run->used = false;
	if (is_older(fleet, run->node) || is_away(fleet, run->node))
		return;
	if (fleet->day->unframed)
		segment_table_note_unclear(table, &segments, server, began_us,
					   fleet->now_us);
	else
		segment_table_note_harmless(table, &segments, began_us,
					    fleet->now_us);
}

static void advance_run(fleet_t *fleet, run_t *run)
{
	if (!run->used || fleet->now_us < run->due_us)
		return;
	if (!run->began) {
		run->began = true;
		run->due_us +=
			(run->bad < 0 ? WRITE_MS : run->crash_ms) * US_PER_MS;
		segment_table_note_alive(fleet->tables[run->node],
					 server_hash(fleet, run->server),
					 fleet->now_us - 50 * US_PER_MS,
					 fleet->now_us);
		return;
	}
	if (run->bad < 0) {
		finish(fleet, run);
		return;
	}
	if (++fleet->crashes[run->bad] == known_crashes(run->bad))
		fleet->known_us[run->bad] = fleet->now_us;
	end_server(fleet, run->server);
}

static void announce_kind(fleet_t *fleet, int from, cause_kind_t kind,
			  size_t max)
{
	segment_report_t reports[ANNOUNCED_SEGMENTS_MAX];
	size_t i, count = segment_table_list(fleet->tables[from], kind, reports,
					     max, fleet->now_us);
	int to;

	for (to = 0; to < fleet->day->nodes; to++) {
		if (to == from || is_away(fleet, to) || is_older(fleet, to) ||
		    (in_fault(fleet, CUT) && to % 2 != from % 2) ||
		    !random_of(kind == CAUSE_SEGMENT ? &fleet->random
						     : &fleet->content_random,
			       20))
			continue;
		for (i = 0; i < count; i++)
			segment_table_receive(fleet->tables[to], kind,
					      &reports[i], fleet->now_us);
	}
}

static void announce(fleet_t *fleet, int from)
{
	if (is_away(fleet, from) || is_older(fleet, from))
		return;
	segment_table_expire(fleet->tables[from], fleet->now_us);
	announce_kind(fleet, from, CAUSE_SEGMENT, ANNOUNCED_SEGMENTS_MAX);
	announce_kind(fleet, from, CAUSE_CONTENT, ANNOUNCED_CONTENTS_MAX);
}

static void restart_node(fleet_t *fleet, int node)
{
	int i;

	for (i = 0; i < RUNS_MAX; i++)
		if (fleet->runs[i].node == node)
			fleet->runs[i].used = false;
	segment_table_destroy(fleet->tables[node]);
	fleet->tables[node] = segment_table_create();
	fleet->disturbed_us[node] = fleet->now_us;
}

static void break_connections(fleet_t *fleet)
{
	int i;

	for (i = 0; i < RUNS_MAX; i++)
		if (fleet->runs[i].used && fleet->runs[i].node % 2)
			break_off(fleet, &fleet->runs[i],
				  server_hash(fleet, fleet->runs[i].server));
}

static void apply_fault(fleet_t *fleet)
{
	int64_t ms = fleet->now_us / US_PER_MS;
	bool begins = ms == FAULT_MS;
	int i;

	for (i = 0; i < SERVERS; i++)
		if ((in_fault(fleet, SERVERS_CRASH) && begins && is_third(i)) ||
		    (in_fault(fleet, SERVER_STOPS) && begins && !i) ||
		    (in_fault(fleet, SERVERS_FLAP) && i < 2 &&
		     ms % 400 == 200 * i))
			end_server(fleet, i);
	for (i = 0; i < fleet->day->nodes; i++) {
		if ((is_away(fleet, i) || in_fault(fleet, CUT)))
			fleet->disturbed_us[i] = fleet->now_us;
		if ((in_fault(fleet, RESTART) && begins && is_third(i)) ||
		    (in_fault(fleet, RESTART_TURNS) &&
		     ms == FAULT_MS + 100 * i))
			restart_node(fleet, i);
	}
	if (in_fault(fleet, CUT) && begins)
		break_connections(fleet);
}

static void play(fleet_t *fleet)
{
	int i, step;

	for (step = 0; step < DAY_MS / STEP_MS; step++) {
		fleet->now_us = (int64_t)step * STEP_MS * US_PER_MS + 1;
		apply_fault(fleet);
		for (i = 0; i < RUNS_MAX; i++)
			advance_run(fleet, &fleet->runs[i]);
		if (random_below(fleet, 1000) < REQUESTS_PER_S * STEP_MS)
			send_request(fleet);
		for (i = 0; i < fleet->day->nodes; i++)
			if ((step + i) % (ANNOUNCE_MS / STEP_MS) == 0)
				announce(fleet, i);
	}
}

/* @return number of broken rules */
static int check(const fleet_t *fleet, uint64_t seed)
{
	const day_t *day = fleet->day;
	int i, broken = 0;

	for (i = 0; i < (int)COUNT_OF(fleet->late); i++)
		if (fleet->late[i] > ALLOWED) {
			print_error("day \"%s\" seed %d: %d requests after "
				    "crash %d, %d crashes\n",
				    day->name, (int)seed, fleet->late[i],
				    known_crashes(i), fleet->crashes[i]);
			broken++;
		}
	if (fleet->sound_sent[1] < 20 ||
	    (double)fleet->sound_began[1] / fleet->sound_sent[1] <
		    0.5 * fleet->sound_began[0] / fleet->sound_sent[0]) {
		print_error("day \"%s\" seed %d: %d of %d sound requests "
			    "begin\n",
			    day->name, (int)seed, fleet->sound_began[1],
			    fleet->sound_sent[1]);
		broken++;
	}
	return broken;
}

static void set_nodes(fleet_t *fleet)
{
	uint64_t hashes[NODES_MAX];
	int i, count = fleet->day->nodes;

	for (i = 0; i < count; i++)
		hashes[i] = 7919 * (uint64_t)(i + 1);
	for (i = 0; i < count; i++)
		limit_nodes_set(&fleet->nodes[i], hashes, (size_t)count,
				hashes[i], 1);
}

#define MIDDLE                  \
	{                       \
		0xa1, BAD, 0xc2 \
	}

/* @return number of broken rules */
static int play_day(const day_t *given, uint64_t seed)
{
	static fleet_t fleet;
	day_t day = *given;
	int i, broken;

	if (!day.bad_count)
		day.bad_count = 1;
	memset(&fleet, 0, sizeof(fleet));
	fleet.day = &day;
	fleet.random = fleet.content_random = seed;
	set_nodes(&fleet);
	for (i = 0; i < day.nodes; i++)
		fleet.tables[i] = segment_table_create();
	play(&fleet);
	broken = check(&fleet, seed);
	for (i = 0; i < day.nodes; i++) {
		segment_table_destroy(fleet.tables[i]);
		limit_nodes_clear(&fleet.nodes[i]);
	}
	return broken;
}

static const day_t harmless_before = { "a segment that was harmless before",
				       6,
				       { BAD },
				       { 0xc2 },
				       .bad_percent = 12,
				       .was_harmless = true };

static void segment_crashes_servers_or_sound_prompts_are_lost(void **state)
{
	static const day_t days[] = {
		{ "in the middle", 6, MIDDLE, { 0xc2 }, .bad_percent = 12 },
		{ "first",
		  6,
		  { BAD, 0xa1, 0xc2 },
		  { 0xc2 },
		  .bad_percent = 12 },
		{ "alone", 6, { BAD }, { 0xc2 }, .bad_percent = 12 },
		{ "one node", 1, MIDDLE, { 0xc2 }, .bad_percent = 12 },
		{ "each node sees one crash",
		  24,
		  MIDDLE,
		  { 0xc2 },
		  .bad_percent = 8,
		  .is_at_any = true },
		{ "few such requests", 6, MIDDLE, { 0xc2 }, .bad_percent = 3 },
		{ "most requests", 6, MIDDLE, { 0xc2 }, .bad_percent = 60 },
		{ "sound prompts share all segments but one",
		  6,
		  { 0xa1, 0xc2, BAD },
		  { 0xc2, 0xd3 },
		  .bad_percent = 12 },
		{ "two segments",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .bad_percent = 15,
		  .bad_count = 2 },
		{ "ends of answers are unclear",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .bad_percent = 12,
		  .unframed = true },
		{ "many servers crash",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = SERVERS_CRASH,
		  .bad_percent = 12 },
		{ "many servers crash alone",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = SERVERS_CRASH,
		  .bad_percent = 0 },
		{ "servers flap",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = SERVERS_FLAP,
		  .bad_percent = 12 },
		{ "servers flap alone",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = SERVERS_FLAP,
		  .bad_percent = 0 },
		{ "a server stops",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = SERVER_STOPS,
		  .bad_percent = 12 },
		{ "nodes are cut off",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = CUT,
		  .bad_percent = 12 },
		{ "nodes are cut off alone",
		  24,
		  MIDDLE,
		  { 0xc2 },
		  .fault = CUT,
		  .bad_percent = 0 },
		{ "nodes restart",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = RESTART,
		  .bad_percent = 12 },
		{ "nodes restart in turns",
		  24,
		  MIDDLE,
		  { 0xc2 },
		  .fault = RESTART_TURNS,
		  .bad_percent = 12 },
		{ "nodes join",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = JOIN,
		  .bad_percent = 12 },
		{ "nodes freeze",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .fault = FREEZE,
		  .bad_percent = 12 },
		{ "the prompts end",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .bad_percent = 12,
		  .until_ms = 11000 },
		{ "nodes of the build before",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .bad_percent = 4,
		  .older = 2 },
		{ "callers send failed requests again",
		  6,
		  MIDDLE,
		  { 0xc2 },
		  .bad_percent = 12,
		  .is_repeated = true },
	};
	size_t i;
	uint64_t seed;
	int broken = 0;

	for (i = 0; i < COUNT_OF(days); i++)
		for (seed = 1; seed <= 8; seed++)
			broken += play_day(&days[i], seed);
	for (seed = 1; seed <= 8; seed++)
		broken += play_day(&harmless_before, seed);
	assert_int_equal(broken, 0);
}

#define CONTENT_DAY(name, nodes, percent)                  \
	name, nodes, MIDDLE, { 0xc2 }, .is_content = true, \
				       .bad_percent = percent

static const day_t two_beside_two = {
	CONTENT_DAY("two beside two segments, sent again", 6, 12),
	.bad_count = 2, .is_beside = true, .is_repeated = true
};
static const day_t beside_older = {
	CONTENT_DAY("nodes of the build before", 6, 3), .older = 2
};

static void
same_request_crashes_servers_or_sound_requests_are_lost(void **state)
{
	static const day_t days[] = {
		{ CONTENT_DAY("one request", 6, 6) },
		{ CONTENT_DAY("one node", 1, 6) },
		{ CONTENT_DAY("each node sees one crash", 24, 4),
		  .is_at_any = true },
		{ CONTENT_DAY("seldom", 6, 1) },
		{ CONTENT_DAY("most requests", 6, 60) },
		{ CONTENT_DAY("two requests", 6, 8), .bad_count = 2 },
		{ CONTENT_DAY("callers send it again", 6, 6),
		  .is_repeated = true },
		{ CONTENT_DAY("beside a segment", 6, 12), .is_beside = true },
		{ CONTENT_DAY("two beside two segments, sent again", 6, 12),
		  .bad_count = 2, .is_beside = true, .is_repeated = true },
		{ CONTENT_DAY("ends of answers are unclear", 6, 6),
		  .unframed = true },
		{ CONTENT_DAY("many servers crash", 6, 6),
		  .fault = SERVERS_CRASH },
		{ CONTENT_DAY("many servers crash alone", 6, 0),
		  .fault = SERVERS_CRASH, .is_repeated = true },
		{ CONTENT_DAY("servers flap", 6, 6), .fault = SERVERS_FLAP },
		{ CONTENT_DAY("servers flap alone", 6, 0),
		  .fault = SERVERS_FLAP, .is_repeated = true },
		{ CONTENT_DAY("a server stops", 6, 6), .fault = SERVER_STOPS },
		{ CONTENT_DAY("nodes are cut off", 6, 6), .fault = CUT },
		{ CONTENT_DAY("nodes are cut off alone", 24, 0), .fault = CUT },
		{ CONTENT_DAY("nodes restart", 6, 6), .fault = RESTART },
		{ CONTENT_DAY("nodes restart in turns", 24, 6),
		  .fault = RESTART_TURNS },
		{ CONTENT_DAY("nodes join", 6, 6), .fault = JOIN },
		{ CONTENT_DAY("nodes freeze", 6, 6), .fault = FREEZE },
		{ CONTENT_DAY("the request ends", 6, 6), .until_ms = 11000 },
		{ CONTENT_DAY("nodes of the build before", 6, 3), .older = 2 },
	};
	size_t i;
	uint64_t seed;
	int broken = 0;

	for (i = 0; i < COUNT_OF(days); i++)
		for (seed = 1; seed <= 8; seed++)
			broken += play_day(&days[i], seed);
	assert_int_equal(broken, 0);
}

static void segment_that_was_harmless_crashes_servers(void **state)
{
	static const uint64_t seeds[] = { 13, 45, 129, 145 };
	size_t i;
	int broken = 0;

	for (i = 0; i < COUNT_OF(seeds); i++)
		broken += play_day(&harmless_before, seeds[i]);
	assert_int_equal(broken, 0);
}

static void segments_beside_contents_that_crash_servers(void **state)
{
	assert_int_equal(play_day(&two_beside_two, 116), 0);
}

static void
content_crashes_servers_beside_nodes_of_the_build_before(void **state)
{
	assert_int_equal(play_day(&beside_older, 30), 0);
}

static const uint64_t bad[] = { 0xa1, BAD };
static const segments_t bad_prompt = { bad, 2, 0 };

/* A node that stands for each hash, and one that does for none. */
static uint64_t alone_hash = 1;
static const limit_nodes_t alone = { .hashes = &alone_hash,
				     .count = 1,
				     .own = 1 };
static const limit_nodes_t others = { .hashes = NULL };

/* Crashes servers one after the other until the segment is blocked.
 * @return the time after it */
static int64_t block(segment_table_t *table, int64_t now_us)
{
	static const segments_t shared = { bad, 1, 0 };
	uint32_t i;

	for (i = 0; i < KNOWN_CRASHES; i++) {
		now_us += 300 * US_PER_MS;
		segment_table_note_harmless(table, &shared, now_us - US_PER_MS,
					    now_us);
		segment_table_note_crash(table, &bad_prompt, i, now_us);
	}
	assert_int_equal(
		segment_table_judge(table, &bad_prompt, &others, now_us).state,
		SEGMENTS_BLOCKED);
	return now_us;
}

static segments_state_t state_of(segment_table_t *table, const uint64_t *ids,
				 size_t count, int64_t now_us)
{
	segments_t segments = { ids, count, 0 };

	return segment_table_judge(table, &segments, &others, now_us).state;
}

/* Two new segments are in the same prompts, and one of them crashes servers. */
static void sound_segment_is_blocked_with_another(void **state)
{
	static const uint64_t both[] = { 0xe5, BAD };
	static const segments_t prompt = { both, 2, 0 }, sound = { both, 1, 0 };
	segment_table_t *table = segment_table_create();
	int64_t now_us = US_PER_S;
	uint32_t i;

	for (i = 0; i < KNOWN_CRASHES; i++) {
		now_us += 300 * US_PER_MS;
		segment_table_note_crash(table, &prompt, i, now_us);
	}
	assert_int_equal(state_of(table, both, 2, now_us), SEGMENTS_BLOCKED);
	assert_int_equal(state_of(table, both, 1, now_us), SEGMENTS_FREE);
	segment_table_sent(table, &sound, now_us);
	assert_int_equal(state_of(table, both, 1, now_us), SEGMENTS_SUSPECT);
	segment_table_note_harmless(table, &sound, now_us + 1, now_us + 2);
	assert_int_equal(state_of(table, both, 1, now_us + 3), SEGMENTS_FREE);
	assert_int_equal(state_of(table, both + 1, 1, now_us + 3),
			 SEGMENTS_BLOCKED);
	segment_table_destroy(table);
}

/* The platform allows three requests after the fifth crash. */
static void blocked_segment_is_tried_too_often_or_never(void **state)
{
	segment_table_t *table = segment_table_create();
	int64_t now_us = block(table, US_PER_S), end_us;
	int tried = 0;

	for (end_us = now_us + 86400 * US_PER_S; now_us < end_us;
	     now_us += US_PER_S) {
		segment_table_expire(table, now_us);
		if (segment_table_judge(table, &bad_prompt, &alone, now_us)
			    .state != SEGMENTS_FREE)
			continue;
		segment_table_sent(table, &bad_prompt, now_us);
		segment_table_note_crash(table, &bad_prompt,
					 100 + (uint32_t)tried, now_us);
		tried++;
	}
	assert_in_range(tried, 1, ALLOWED);
	segment_table_destroy(table);
}

/* Prompts with the segment have any others, and come at any node. */
static void each_node_tries_a_blocked_segment(void **state)
{
	enum { NODES = 6, STEPS = 200 };
	static fleet_t fleet;
	const day_t day = { .nodes = NODES };
	int i, step, tried = 0;
	int64_t now_us = US_PER_S, start_us = 0;

	memset(&fleet, 0, sizeof(fleet));
	fleet.day = &day;
	set_nodes(&fleet);
	for (i = 0; i < NODES; i++) {
		fleet.tables[i] = segment_table_create();
		start_us = block(fleet.tables[i], now_us);
	}
	for (step = 0; step < STEPS; step++) {
		uint64_t ids[] = { 0x100 + (uint64_t)step, BAD };
		segments_t prompt = { ids, 2, 0 };
		segment_table_t *table = fleet.tables[step % NODES];

		fleet.now_us = start_us + step * US_PER_S;
		for (i = 0; i < NODES; i++)
			announce(&fleet, i);
		if (segment_table_judge(table, &prompt,
					&fleet.nodes[step % NODES],
					fleet.now_us)
			    .state != SEGMENTS_FREE)
			continue;
		segment_table_sent(table, &prompt, fleet.now_us);
		segment_table_note_crash(table, &prompt, 1000 + (uint32_t)step,
					 fleet.now_us);
		tried++;
	}
	assert_in_range(tried, 1, ALLOWED);
	for (i = 0; i < NODES; i++) {
		segment_table_destroy(fleet.tables[i]);
		limit_nodes_clear(&fleet.nodes[i]);
	}
}

static void segment_that_was_mended_stays_blocked(void **state)
{
	static const struct {
		const char *guards_against;
		bool asks; /* requests go on */
	} cases[] = { { "after a trial that went well", true },
		      { "after no request for long", false } };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		segment_table_t *table = segment_table_create();
		int64_t now_us = block(table, US_PER_S);

		now_us += 700 * US_PER_S;
		if (cases[i].asks) {
			assert_int_equal(segment_table_judge(table, &bad_prompt,
							     &alone, now_us)
						 .state,
					 SEGMENTS_FREE);
			segment_table_sent(table, &bad_prompt, now_us);
			segment_table_note_harmless(table, &bad_prompt, now_us,
						    now_us + US_PER_S);
		}
		segment_table_expire(table, now_us);
		if (segment_table_judge(table, &bad_prompt, &others, now_us)
			    .state != SEGMENTS_FREE)
			fail_msg("case \"%s\"", cases[i].guards_against);
		segment_table_destroy(table);
	}
}

static void memory_grows_with_each_segment(void **state)
{
	enum { SEGMENTS = 50000, KEPT_MAX = 4096 };
	segment_table_t *table = segment_table_create();
	int64_t now_us = block(table, US_PER_S);
	uint64_t id, first = UINT64_C(1) << 32;

	for (id = first; id < first + SEGMENTS; id++) {
		segments_t one = { &id, 1, 0 };

		now_us += US_PER_MS;
		if (id % 100)
			segment_table_note_harmless(table, &one, now_us,
						    now_us);
		else
			segment_table_note_crash(table, &one, 7, now_us);
	}
	assert_in_range(segment_table_size(table, CAUSE_SEGMENT), 1, KEPT_MAX);
	assert_int_equal(
		segment_table_judge(table, &bad_prompt, &others, now_us).state,
		SEGMENTS_BLOCKED);
	segment_table_destroy(table);
}

/* What one node sees of a request that comes again. */
static void content_is_blocked_too_late_or_without_cause(void **state)
{
	enum { STEPS_MAX = 8, CONTENT = 77 };
	typedef struct {
		enum { END, CRASH, OTHER_CRASH, HARMLESS, ALIVE } type;
		int64_t at_ms;
		uint32_t server;
	} step_t;
	static const struct {
		const char *guards_against;
		step_t steps[STEPS_MAX];
		segments_state_t state;
	} cases[] = {
		{ "three servers end, one after the other",
		  { { CRASH, 100, 1 }, { CRASH, 900, 2 }, { CRASH, 5000, 3 } },
		  SEGMENTS_BLOCKED },
		{ "two servers end",
		  { { CRASH, 100, 1 }, { CRASH, 900, 2 } },
		  SEGMENTS_FREE },
		{ "a server starts again, and ends",
		  { { CRASH, 100, 1 },
		    { ALIVE, 2000, 1 },
		    { CRASH, 2100, 1 },
		    { ALIVE, 4000, 1 },
		    { CRASH, 4100, 1 } },
		  SEGMENTS_BLOCKED },
		{ "a server that ended breaks off more requests",
		  { { CRASH, 100, 1 },
		    { CRASH, 700, 1 },
		    { CRASH, 1500, 1 },
		    { CRASH, 2900, 1 } },
		  SEGMENTS_FREE },
		{ "many servers are lost at one moment",
		  { { CRASH, 100, 1 },
		    { CRASH, 110, 2 },
		    { CRASH, 120, 3 },
		    { CRASH, 130, 4 } },
		  SEGMENTS_FREE },
		{ "two ends at one moment, and another",
		  { { CRASH, 100, 1 }, { CRASH, 110, 2 }, { CRASH, 900, 3 } },
		  SEGMENTS_BLOCKED },
		{ "an answer between the ends",
		  { { CRASH, 100, 1 },
		    { CRASH, 900, 2 },
		    { HARMLESS, 1000, 0 },
		    { CRASH, 1500, 3 } },
		  SEGMENTS_FREE },
		{ "answers before, servers end quickly",
		  { { HARMLESS, 50, 0 },
		    { CRASH, 100, 1 },
		    { CRASH, 400, 2 },
		    { CRASH, 700, 3 } },
		  SEGMENTS_FREE },
		{ "answers before, and none since for long",
		  { { HARMLESS, 50, 0 },
		    { CRASH, 100, 1 },
		    { CRASH, 900, 2 },
		    { CRASH, 2500, 3 } },
		  SEGMENTS_BLOCKED },
		{ "crashes that other nodes saw",
		  { { OTHER_CRASH, 100, 1 },
		    { OTHER_CRASH, 900, 2 },
		    { CRASH, 1500, 3 } },
		  SEGMENTS_BLOCKED },
		{ "one crash that several nodes saw",
		  { { CRASH, 100, 1 },
		    { OTHER_CRASH, 150, 1 },
		    { OTHER_CRASH, 800, 1 },
		    { CRASH, 900, 2 } },
		  SEGMENTS_FREE },
	};
	static const segments_t request = { NULL, 0, CONTENT },
				another = { NULL, 0, CONTENT + 1 };
	size_t i, j;

	for (i = 0; i < COUNT_OF(cases); i++) {
		segment_table_t *table = segment_table_create();
		int64_t now_us = 0;

		for (j = 0; j < STEPS_MAX && cases[i].steps[j].type; j++) {
			const step_t *step = &cases[i].steps[j];
			segment_report_t report = { .id = CONTENT,
						    .harmless_age_us = -1,
						    .crashes = { { step->server,
								   0 } },
						    .crash_count = 1 };

			now_us = step->at_ms * US_PER_MS;
			if (step->type == CRASH)
				segment_table_note_crash(table, &request,
							 step->server, now_us);
			else if (step->type == OTHER_CRASH)
				segment_table_receive(table, CAUSE_CONTENT,
						      &report, now_us);
			else if (step->type == HARMLESS)
				segment_table_note_harmless(table, &request,
							    now_us - 1, now_us);
			else
				segment_table_note_alive(table, step->server,
							 now_us, now_us);
		}
		segment_table_expire(table, now_us);
		if (segment_table_judge(table, &request, &others, now_us)
			    .state != cases[i].state)
			fail_msg("case \"%s\"", cases[i].guards_against);
		assert_int_equal(segment_table_judge(table, &another, &others,
						     now_us)
					 .state,
				 SEGMENTS_FREE);
		segment_table_destroy(table);
	}
}

/* Requests with a new segment are always beside one that crashes servers. */
static void segment_is_blocked_for_crashes_of_a_content(void **state)
{
	static const uint64_t segment = 0xe5;
	static const segments_t deadly = { NULL, 0, DEADLY };
	segment_table_t *table = segment_table_create();
	int64_t now_us = US_PER_S;
	uint32_t i;

	for (i = 0; i < KNOWN_CRASHES; i++) {
		segments_t beside = { &segment, 1, SINGLE + i };

		now_us += 300 * US_PER_MS;
		segment_table_note_crash(table, &deadly, i, now_us);
		segment_table_note_crash(table, &beside, i, now_us + 1);
	}
	assert_int_equal(state_of(table, &segment, 1, now_us), SEGMENTS_FREE);
	assert_int_equal(
		segment_table_judge(table, &deadly, &others, now_us).state,
		SEGMENTS_BLOCKED);
	segment_table_destroy(table);
}

/* The platform allows three requests after the third crash. */
static void blocked_content_is_tried_too_often_or_never(void **state)
{
	static const segments_t request = { NULL, 0, DEADLY };
	segment_table_t *table = segment_table_create();
	int64_t now_us;
	uint32_t server = 0;

	for (now_us = US_PER_S; now_us < 86400 * US_PER_S; now_us += US_PER_S) {
		segment_table_expire(table, now_us);
		if (segment_table_judge(table, &request, &alone, now_us)
			    .state != SEGMENTS_FREE)
			continue;
		segment_table_sent(table, &request, now_us);
		segment_table_note_crash(table, &request, server++, now_us);
	}
	assert_in_range(server, CONTENT_KNOWN_CRASHES + 1,
			CONTENT_KNOWN_CRASHES + ALLOWED);
	segment_table_destroy(table);
}

static void tell(segment_table_t *from, segment_table_t *to, int64_t now_us)
{
	segment_report_t reports[ANNOUNCED_CONTENTS_MAX];
	size_t i, count = segment_table_list(from, CAUSE_CONTENT, reports,
					     COUNT_OF(reports), now_us);

	for (i = 0; i < count; i++)
		segment_table_receive(to, CAUSE_CONTENT, &reports[i], now_us);
}

/* Lets the seconds pass until a blocked request is tried. @return when */
static int64_t wait_for_trial(segment_table_t *table, const segments_t *request,
			      int64_t now_us)
{
	while (segment_table_judge(table, request, &alone, now_us).state !=
	       SEGMENTS_FREE)
		now_us += US_PER_S;
	segment_table_sent(table, request, now_us);
	return now_us;
}

/* A trial that no server ran says nothing about the request. */
static void trial_that_did_not_run_is_the_last_for_long(void **state)
{
	enum { PAUSE_MS = 5000 };
	static const struct {
		const char *guards_against;
		int broken; /* trials before that broke off */
		bool breaks; /* the trial itself does */
		int32_t announced; /* trials that another node knows of */
		int64_t sent_ms, answer_ms; /* since the trial was sent */
		segments_state_t state;
	} cases[] = {
		{ "first trial", 0, false, 0, 0, 4, SEGMENTS_FREE },
		{ "second trial", 1, false, 0, 0, 4, SEGMENTS_FREE },
		{ "trial that broke off", 0, true, 0, 0, 4, SEGMENTS_BLOCKED },
		{ "request sent before it", 0, false, 0, -100, 4,
		  SEGMENTS_BLOCKED },
		{ "refusal after it was announced", 0, false, 0, 0, 3000,
		  SEGMENTS_BLOCKED },
		{ "trial beside those of other nodes", 0, false, 3, 0, 4,
		  SEGMENTS_BLOCKED },
	};
	static const segments_t request = { NULL, 0, DEADLY };
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		segment_table_t *table = segment_table_create();
		segment_table_t *other = segment_table_create();
		int64_t now_us = US_PER_S, trial_us;
		segment_report_t report = { .id = DEADLY,
					    .trials = cases[i].announced,
					    .harmless_age_us = -1 };
		uint32_t server = 0;

		while (server < CONTENT_KNOWN_CRASHES)
			segment_table_note_crash(table, &request, server++,
						 now_us += US_PER_S);
		while (server <
		       CONTENT_KNOWN_CRASHES + (uint32_t)cases[i].broken) {
			now_us = wait_for_trial(table, &request, now_us);
			segment_table_note_crash(table, &request, server++,
						 now_us + 1);
		}
		now_us = trial_us = wait_for_trial(table, &request, now_us);
		tell(table, other, now_us);
		if (cases[i].breaks)
			segment_table_note_crash(table, &request, server,
						 now_us + 1);
		now_us += cases[i].answer_ms * US_PER_MS;
		tell(table, other, now_us);
		segment_table_receive(table, CAUSE_CONTENT, &report, now_us);
		segment_table_note_not_run(
			table, &request,
			trial_us + cases[i].sent_ms * US_PER_MS, now_us);
		tell(other, table, now_us);
		assert_int_equal(segment_table_judge(table, &request, &alone,
						     now_us)
					 .state,
				 SEGMENTS_BLOCKED);
		now_us = trial_us + PAUSE_MS * US_PER_MS + 1;
		tell(other, table, now_us);
		if (segment_table_judge(table, &request, &alone, now_us)
			    .state != cases[i].state)
			fail_msg("case \"%s\"", cases[i].guards_against);
		segment_table_destroy(table);
		segment_table_destroy(other);
	}
}

/* Sound requests with bodies of their own, and some that break off. */
static void memory_grows_with_each_content(void **state)
{
	enum { REQUESTS = 50000, KEPT_MAX = 4096 };
	static const segments_t deadly = { NULL, 0, DEADLY };
	segment_table_t *table = segment_table_create();
	int64_t now_us = US_PER_S;
	uint64_t id;

	for (id = 0; id < CONTENT_KNOWN_CRASHES; id++)
		segment_table_note_crash(table, &deadly, (uint32_t)id,
					 now_us += US_PER_S);
	for (id = SINGLE; id < SINGLE + REQUESTS; id++) {
		segments_t one = { NULL, 0, id };

		now_us += US_PER_MS;
		if (id % 10)
			segment_table_note_harmless(table, &one, now_us,
						    now_us);
		else
			segment_table_note_crash(table, &one, 7, now_us);
	}
	assert_in_range(segment_table_size(table, CAUSE_CONTENT), 1, KEPT_MAX);
	assert_int_equal(
		segment_table_judge(table, &deadly, &others, now_us).state,
		SEGMENTS_BLOCKED);
	segment_table_destroy(table);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			segment_crashes_servers_or_sound_prompts_are_lost),
		cmocka_unit_test(
			same_request_crashes_servers_or_sound_requests_are_lost),
		cmocka_unit_test(segment_that_was_harmless_crashes_servers),
		cmocka_unit_test(segments_beside_contents_that_crash_servers),
		cmocka_unit_test(
			content_crashes_servers_beside_nodes_of_the_build_before),
		cmocka_unit_test(sound_segment_is_blocked_with_another),
		cmocka_unit_test(blocked_segment_is_tried_too_often_or_never),
		cmocka_unit_test(each_node_tries_a_blocked_segment),
		cmocka_unit_test(segment_that_was_mended_stays_blocked),
		cmocka_unit_test(memory_grows_with_each_segment),
		cmocka_unit_test(content_is_blocked_too_late_or_without_cause),
		cmocka_unit_test(segment_is_blocked_for_crashes_of_a_content),
		cmocka_unit_test(blocked_content_is_tried_too_often_or_never),
		cmocka_unit_test(trial_that_did_not_run_is_the_last_for_long),
		cmocka_unit_test(memory_grows_with_each_content),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

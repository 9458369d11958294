#include "health/pace.h"

#include <math.h>
#include <stdlib.h>
#include <uthash.h>

#include "base/mem.h"
#include "base/units.h"

/* Measurements older than this no longer count: slow phases of servers last
 * some seconds. */
#define FADE_US (5 * US_PER_S)
/* Least weight of the newest first event in the average of a node. */
#define EVENT_WEIGHT_MIN 0.25
/* Weight of the newest event gap, by direction: a slow server shows within some
 * ten events, while one long prefill has little effect. */
#define GAP_WEIGHT_UP 0.1
#define GAP_WEIGHT_DOWN 0.3
/* Least slowdown factor that event gaps of this node alone show: a gap grows
 * with each prefill that the node does not know of. */
#define GAP_SLOW_MIN 2.0
/* Ratios below this count as this one, so that one early event does not
 * outweigh several late ones. */
#define RATIO_MIN 0.5
/* Added to predictions of first events: connection and headers, in the
 * processing of a busy node. */
#define EVENT_MARGIN_US (10 * US_PER_MS)
/* The typical ratio of first events to predictions follows each measurement by
 * this step, up to the bound: what the time model leaves out at all servers
 * makes none of them slow. */
#define TYPICAL_STEP 0.01
#define TYPICAL_MAX 2.0
/* Nodes that try a slow server again in a second, over the whole fleet. */
#define TRIALS_PER_S 4
/* Longest time over which these trials are spread. */
#define TRIALS_SPREAD_MAX_US (30 * US_PER_S)

enum {
	/* Nodes that must find a server slow before it counts as slow. */
	NODES_MIN = 3,
	/* First events at this node that count as much. */
	OWN_SAMPLES_MIN = 8,
	/* Gaps that count as one sample: the streams of a server get their
	 * events together. */
	GAPS_PER_SAMPLE = 4,
	/* Reports kept for a server: enough for a median. */
	REPORTS_MAX = 16,
	ENTRIES_MAX = 16384, /* more servers than a large fleet has */
	/* Changes that one check reports. A report looks through all servers,
	 * 0.05 ms with 11,000 of them, and thousands may become slow at once.
	 */
	CHANGES_MAX = 16
};

/** Average of one kind of measurement; samples fade linearly. */
typedef struct {
	double mean;
	double samples;
	int64_t at_us; /* last measurement; 0: none */
} measure_t;

/** What another node announced. */
typedef struct {
	uint64_t node;
	double slowdown;
	int64_t at_us; /* when it was measured */
} report_t;

/** What is known of one server start. */
typedef struct {
	uint32_t server;
	measure_t events, gaps; /* of this node */
	report_t reports[REPORTS_MAX];
	size_t report_count;
	int64_t since_us; /* earlier measurements are of an earlier start */
	double agreed; /* factor that was agreed on; 1: not slow */
	int64_t agreed_until_us; /* then this node tries the server */
	int64_t trial_us; /* when the trial was sent; 0: not yet */
	bool was_slow; /* at the last pace_check() */
	UT_hash_handle hh;
} entry_t;

struct pace_table {
	entry_t *entries; /* those listed longest ago first */
	uint64_t own;
	size_t nodes;
	double typical; /* typical ratio of first events to predictions */
};

pace_table_t *pace_create(void)
{
	pace_table_t *table = mem_calloc(1, sizeof(*table));

	table->nodes = 1;
	table->typical = 1;
	return table;
}

static void remove_entry(pace_table_t *table, entry_t *entry)
{
	HASH_DEL(table->entries, entry);
	free(entry);
}

void pace_destroy(pace_table_t *table)
{
	entry_t *entry, *next;

	if (!table)
		return;
	HASH_ITER (hh, table->entries, entry, next)
		remove_entry(table, entry);
	free(table);
}

void pace_set_nodes(pace_table_t *table, uint64_t own, size_t nodes)
{
	table->own = own;
	table->nodes = nodes;
}

static entry_t *find(const pace_table_t *table, uint32_t server)
{
	entry_t *entry;

	HASH_FIND(hh, table->entries, &server, sizeof(server), entry);
	return entry;
}

/* @return NULL if the table is full */
static entry_t *find_or_add(pace_table_t *table, uint32_t server)
{
	entry_t *entry = find(table, server);

	if (entry || HASH_COUNT(table->entries) >= ENTRIES_MAX)
		return entry;
	entry = mem_calloc(1, sizeof(*entry));
	entry->server = server;
	entry->agreed = 1;
	HASH_ADD(hh, table->entries, server, sizeof(server), entry);
	return entry;
}

static double bounded(double value, double min, double max)
{
	if (!(value > min))
		return min;
	return value < max ? value : max;
}

static bool is_fresh(int64_t at_us, int64_t now_us)
{
	return at_us && now_us - at_us <= FADE_US;
}

/* Lets the samples of an average fade until now. */
static void fade(measure_t *measure, int64_t now_us)
{
	double left = 1 - (double)(now_us - measure->at_us) / FADE_US;

	measure->samples *= measure->at_us ? bounded(left, 0, 1) : 0;
	measure->at_us = now_us;
}

/* Time after the last measurement until this node tries a slow server again;
 * differs between nodes, so that few of them do at a time. */
static int64_t trial_after_us(const pace_table_t *table, const entry_t *entry)
{
	int64_t spread_us =
		(int64_t)(table->nodes - 1) * US_PER_S / TRIALS_PER_S;
	uint64_t part =
		(table->own ^ entry->server) * UINT64_C(0x9e3779b97f4a7c15);

	if (spread_us > TRIALS_SPREAD_MAX_US)
		spread_us = TRIALS_SPREAD_MAX_US;
	return FADE_US +
	       (int64_t)((double)spread_us * (double)(part >> 32) / 0x1p32);
}

static void agree(const pace_table_t *table, entry_t *entry, double slowdown,
		  int64_t measured_us)
{
	entry->agreed = slowdown;
	entry->agreed_until_us = measured_us + trial_after_us(table, entry);
	entry->trial_us = 0;
}

/* An answer to the trial of a slow server decides for this node alone. */
static void end_trial(const pace_table_t *table, entry_t *entry, double ratio,
		      int64_t now_us)
{
	if (!entry->trial_us || entry->agreed <= 1)
		return;
	if (ratio >= PACE_SLOW_MIN)
		agree(table, entry, bounded(ratio, 1, PACE_MAX), now_us);
	else
		entry->agreed = 1;
	entry->trial_us = 0;
}

void pace_note_first_event(pace_table_t *table, uint32_t server,
			   double actual_us, double predicted_us,
			   int64_t now_us)
{
	entry_t *entry = find_or_add(table, server);
	double ratio, weight;

	if (!entry || predicted_us <= 0)
		return;
	ratio = bounded(actual_us / (predicted_us + EVENT_MARGIN_US), RATIO_MIN,
			PACE_MAX * TYPICAL_MAX);
	table->typical = bounded(table->typical + (ratio > table->typical
							   ? TYPICAL_STEP
							   : -TYPICAL_STEP),
				 1, TYPICAL_MAX);
	ratio = bounded(ratio / table->typical, RATIO_MIN, PACE_MAX);
	fade(&entry->events, now_us);
	entry->events.samples++;
	weight = bounded(1 / entry->events.samples, EVENT_WEIGHT_MIN, 1);
	entry->events.mean += (ratio - entry->events.mean) * weight;
	end_trial(table, entry, ratio, now_us);
}

void pace_note_gap(pace_table_t *table, uint32_t server, double actual_us,
		   double expected_us, int64_t now_us)
{
	entry_t *entry = find_or_add(table, server);
	double ratio;

	if (!entry || expected_us <= 0)
		return;
	ratio = bounded(actual_us / expected_us, RATIO_MIN, PACE_MAX);
	fade(&entry->gaps, now_us);
	if (entry->gaps.samples <= 0)
		entry->gaps.mean = 1;
	entry->gaps.samples++;
	entry->gaps.mean +=
		(ratio - entry->gaps.mean) *
		(ratio > entry->gaps.mean ? GAP_WEIGHT_UP : GAP_WEIGHT_DOWN);
}

void pace_note_sent(pace_table_t *table, uint32_t server, int64_t now_us)
{
	entry_t *entry = find(table, server);

	if (entry && entry->agreed > 1 && now_us > entry->agreed_until_us)
		entry->trial_us = now_us;
}

void pace_restart(pace_table_t *table, uint32_t server, int64_t now_us)
{
	entry_t *entry = find(table, server);

	if (!entry)
		return;
	entry->events = entry->gaps = (measure_t){ 0 };
	entry->report_count = 0;
	entry->since_us = now_us;
	entry->agreed = 1;
	entry->trial_us = 0;
}

/* @return the report of a node; else the one to be replaced */
static report_t *slot_for(entry_t *entry, uint64_t node)
{
	report_t *oldest = entry->reports;
	size_t i;

	for (i = 0; i < entry->report_count; i++) {
		if (entry->reports[i].node == node)
			return &entry->reports[i];
		if (entry->reports[i].at_us < oldest->at_us)
			oldest = &entry->reports[i];
	}
	if (entry->report_count == REPORTS_MAX)
		return oldest;
	oldest = &entry->reports[entry->report_count++];
	*oldest = (report_t){ .node = node };
	return oldest;
}

void pace_receive(pace_table_t *table, uint64_t node,
		  const pace_report_t *report, int64_t now_us)
{
	double slowdown = bounded(report->slowdown, 1, PACE_MAX);
	int64_t at_us = now_us - report->age_us;
	entry_t *entry = find(table, report->server_hash);
	report_t *slot;

	if (report->samples < 1 || report->age_us < 0 ||
	    !is_fresh(at_us, now_us))
		return;
	/* A server of the stated speed needs no entry. */
	if (!entry && slowdown >= PACE_SLOW_MIN)
		entry = find_or_add(table, report->server_hash);
	if (!entry || at_us <= entry->since_us)
		return;
	slot = slot_for(entry, node);
	if (at_us >= slot->at_us)
		*slot = (report_t){ node, slowdown, at_us };
}

/* Averages what this node measured.
 * @return false if it has no measurement that counts */
static bool own_slowdown(const entry_t *entry, int64_t now_us, double *slowdown,
			 double *samples)
{
	measure_t events = entry->events, gaps = entry->gaps;

	fade(&events, now_us);
	fade(&gaps, now_us);
	gaps.samples /= GAPS_PER_SAMPLE;
	*samples = events.samples + gaps.samples;
	if (*samples <= 0)
		return false;
	*slowdown = bounded(
		(events.mean * events.samples + gaps.mean * gaps.samples) /
			*samples,
		1, PACE_MAX);
	return true;
}

static int compare_values(const void *left, const void *right)
{
	double a = *(const double *)left, b = *(const double *)right;

	return (a > b) - (a < b);
}

/** What the nodes that measured a server say of it. */
typedef struct {
	size_t count, slow; /* nodes, and those that find it slow */
	double median;
	int64_t newest_us; /* last measurement */
} opinion_t;

static opinion_t opinion_of(const entry_t *entry, int64_t now_us)
{
	double values[REPORTS_MAX + 1], samples;
	opinion_t opinion = { .median = 1 };
	size_t i;

	if (own_slowdown(entry, now_us, &values[0], &samples)) {
		opinion.count = 1;
		opinion.newest_us = entry->events.at_us > entry->gaps.at_us
					    ? entry->events.at_us
					    : entry->gaps.at_us;
	}
	for (i = 0; i < entry->report_count; i++) {
		const report_t *report = &entry->reports[i];

		if (!is_fresh(report->at_us, now_us))
			continue;
		values[opinion.count++] = report->slowdown;
		if (report->at_us > opinion.newest_us)
			opinion.newest_us = report->at_us;
	}
	if (!opinion.count)
		return opinion;
	for (i = 0; i < opinion.count; i++)
		opinion.slow += values[i] >= PACE_SLOW_MIN;
	qsort(values, opinion.count, sizeof(*values), compare_values);
	/* Of an even number the lower one: a single node slows no server. */
	opinion.median = values[(opinion.count - 1) / 2];
	return opinion;
}

/* Decides from the present measurements if the server counts as slow; without
 * enough of them, what was agreed on holds. */
static void decide(const pace_table_t *table, entry_t *entry, int64_t now_us)
{
	opinion_t opinion = opinion_of(entry, now_us);
	measure_t events = entry->events;
	bool own;

	fade(&events, now_us);
	own = events.samples >= OWN_SAMPLES_MIN;
	if (opinion.median >= PACE_SLOW_MIN &&
	    (opinion.slow >= NODES_MIN || own))
		agree(table, entry, opinion.median, opinion.newest_us);
	else if (opinion.median < PACE_SLOW_MIN &&
		 (opinion.count >= NODES_MIN || own))
		entry->agreed = 1;
}

static bool is_tried(const entry_t *entry, int64_t now_us)
{
	return now_us > entry->agreed_until_us &&
	       !is_fresh(entry->trial_us, now_us);
}

/* @return slowdown factor that gaps of this node alone show; 1: none */
static double gap_slowdown(const entry_t *entry, int64_t now_us)
{
	return is_fresh(entry->gaps.at_us, now_us) &&
			       entry->gaps.mean > GAP_SLOW_MIN
		       ? entry->gaps.mean
		       : 1;
}

double pace_slowdown(pace_table_t *table, uint32_t server, int64_t now_us)
{
	entry_t *entry = find(table, server);
	double gaps;

	if (!entry)
		return 1;
	decide(table, entry, now_us);
	gaps = gap_slowdown(entry, now_us);
	return entry->agreed > gaps && !is_tried(entry, now_us) ? entry->agreed
								: gaps;
}

size_t pace_list(pace_table_t *table, pace_report_t *reports, size_t max,
		 int64_t now_us)
{
	size_t count = 0, i;
	entry_t *entry, *next;

	HASH_ITER (hh, table->entries, entry, next) {
		double slowdown, samples;
		int64_t at_us = entry->events.at_us > entry->gaps.at_us
					? entry->events.at_us
					: entry->gaps.at_us;

		if (count == max)
			break;
		if (!own_slowdown(entry, now_us, &slowdown, &samples) ||
		    (!opinion_of(entry, now_us).slow && entry->agreed <= 1))
			continue;
		reports[count++] = (pace_report_t){
			.server_hash = entry->server,
			.slowdown = slowdown,
			.samples = (int32_t)ceil(samples),
			.age_us = now_us - at_us,
		};
	}
	/* Moves the listed entries to the end. */
	for (i = 0; i < count; i++) {
		entry = find(table, reports[i].server_hash);
		HASH_DEL(table->entries, entry);
		HASH_ADD(hh, table->entries, server, sizeof(entry->server),
			 entry);
	}
	return count;
}

/* @return true if nothing is left that an entry is kept for */
static bool is_forgotten(const entry_t *entry, int64_t now_us)
{
	return entry->agreed <= 1 && !opinion_of(entry, now_us).count &&
	       now_us - entry->since_us > FADE_US;
}

/* @return true if the server counts as slow, also while it is tried */
static bool is_slow(const pace_table_t *table, entry_t *entry, int64_t now_us)
{
	decide(table, entry, now_us);
	/* A server that needs no trial for so long has no requests. */
	if (now_us - entry->agreed_until_us > TRIALS_SPREAD_MAX_US)
		entry->agreed = 1;
	return entry->agreed > 1 || gap_slowdown(entry, now_us) > 1;
}

size_t pace_check(pace_table_t *table, pace_changed_t changed, void *context,
		  int64_t now_us)
{
	entry_t *entry, *next;
	size_t slow = 0, changes = 0;

	HASH_ITER (hh, table->entries, entry, next) {
		bool is_slow_now = is_slow(table, entry, now_us);

		if (is_slow_now != entry->was_slow && changes < CHANGES_MAX) {
			changed(context, entry->server,
				pace_slowdown(table, entry->server, now_us));
			entry->was_slow = is_slow_now;
			changes++;
		}
		slow += is_slow_now;
		if (is_slow_now == entry->was_slow &&
		    is_forgotten(entry, now_us))
			remove_entry(table, entry);
	}
	return slow;
}

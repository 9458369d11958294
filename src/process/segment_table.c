#include "process/segment_table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"
#include "process/segment_state.h"

/* Segments that are remembered; those that were not used for longest, and have
 * no crashes, are forgotten first. */
enum { SEGMENTS_KEPT_MAX = 4096 };
/* Nodes notice one crash of a server within this time. */
#define SAME_CRASH_US (200 * US_PER_MS)
/* A server that ended is found to be gone within this time. */
#define EXPLAIN_US (5 * US_PER_S)
/* A request with a suspect segment shows within this time whether its server
 * ends. */
#define TRIAL_US (2 * US_PER_S)
/* A blocked segment is tried once soon, in case that servers ended for another
 * cause, and once when they may have been mended. The platform allows three
 * requests after the fifth crash. */
static const int64_t trial_pauses_us[] = { 5 * US_PER_S, 600 * US_PER_S };
enum { TRIALS_MAX = sizeof(trial_pauses_us) / sizeof(trial_pauses_us[0]) };
/* A blame is forgotten if no request had the segment in this time. */
#define FORGET_US (600 * US_PER_S)
/* News of a segment is announced for this long. */
#define ANNOUNCE_US (10 * US_PER_S)

segment_table_t *segment_table_create(void)
{
	return mem_calloc(1, sizeof(segment_table_t));
}

void segment_remove(segment_table_t *table, segment_t *segment)
{
	segment_set_count(table, segment, 0);
	assert(table->segments);
	HASH_DEL(table->segments, segment);
	free(segment->crashes);
	free(segment);
}

void segment_table_destroy(segment_table_t *table)
{
	segment_t *segment, *next;

	if (!table)
		return;
	HASH_ITER (hh, table->segments, segment, next)
		segment_remove(table, segment);
	free(table);
}

segment_t *segment_find(const segment_table_t *table, uint64_t id)
{
	segment_t *segment;

	HASH_FIND(hh, table->segments, &id, sizeof(id), segment);
	return segment;
}

/* Puts a segment to the end of the list of all, as the last one used. */
static void move_to_end(segment_table_t *table, segment_t *segment)
{
	HASH_DEL(table->segments, segment);
	HASH_ADD(hh, table->segments, id, sizeof(segment->id), segment);
}

static void make_room(segment_table_t *table)
{
	segment_t *segment, *next, *last = NULL;

	if (HASH_COUNT(table->segments) < SEGMENTS_KEPT_MAX)
		return;
	HASH_ITER (hh, table->segments, segment, next) {
		if (!last || segment->blame < last->blame)
			last = segment;
		if (!segment->crash_count) {
			last = segment;
			break;
		}
	}
	if (last)
		segment_remove(table, last);
}

segment_t *segment_use(segment_table_t *table, uint64_t id, int64_t now_us)
{
	segment_t *segment = segment_find(table, id);

	if (segment) {
		move_to_end(table, segment);
		return segment;
	}
	make_room(table);
	segment = mem_calloc(1, sizeof(*segment));
	segment->id = id;
	segment->seen_us = now_us;
	HASH_ADD(hh, table->segments, id, sizeof(segment->id), segment);
	return segment;
}

void segment_set_count(segment_table_t *table, segment_t *segment, size_t count)
{
	if (count && !segment->crash_count)
		DL_APPEND(table->blamed, segment);
	if (!count && segment->crash_count)
		DL_DELETE(table->blamed, segment);
	segment->crash_count = count;
	if (count)
		return;
	segment->blame = SEGMENT_CLEAR;
	segment->is_tied = false;
	segment->trials = 0;
	segment->trial_until_us = 0;
}

bool segment_has_crash(const segment_t *segment, segment_crash_t crash,
		       int64_t within_us)
{
	size_t i;

	for (i = 0; i < segment->crash_count; i++)
		if (segment->crashes[i].server == crash.server &&
		    llabs(segment->crashes[i].at_us - crash.at_us) < within_us)
			return true;
	return false;
}

bool segment_explains(const segment_t *segment, segment_crash_t crash)
{
	return segment_has_crash(segment, crash, EXPLAIN_US);
}

static bool is_blocked_crash(const segment_table_t *table,
			     const segment_t *segment, segment_crash_t crash)
{
	const segment_t *other;

	DL_FOREACH (table->blamed, other)
		if (other != segment && other->blame == SEGMENT_BLOCKED &&
		    segment_explains(other, crash))
			return true;
	return false;
}

void segment_add_crash(segment_table_t *table, segment_t *segment,
		       segment_crash_t crash)
{
	size_t i = segment->crash_count;

	if (crash.at_us <= segment->harmless_us ||
	    segment_has_crash(segment, crash, SAME_CRASH_US) ||
	    (segment->blame != SEGMENT_BLOCKED &&
	     is_blocked_crash(table, segment, crash)))
		return;
	if (!segment->crashes)
		segment->crashes = mem_calloc(SEGMENT_CRASHES_MAX,
					      sizeof(*segment->crashes));
	if (i == SEGMENT_CRASHES_MAX) {
		/* The first one stays: it says how long there was none that
		 * went on. */
		memmove(segment->crashes + 1, segment->crashes + 2,
			(--i - 1) * sizeof(*segment->crashes));
	} else {
		segment_set_count(table, segment, i + 1);
	}
	for (; i > 0 && segment->crashes[i - 1].at_us > crash.at_us; i--)
		segment->crashes[i] = segment->crashes[i - 1];
	segment->crashes[i] = crash;
}

/* Removes the crashes up to a time. */
static void drop_crashes(segment_table_t *table, segment_t *segment,
			 int64_t until_us)
{
	size_t dropped = 0;

	if (!segment->crash_count)
		return;
	while (dropped < segment->crash_count &&
	       segment->crashes[dropped].at_us <= until_us)
		dropped++;
	memmove(segment->crashes, segment->crashes + dropped,
		(segment->crash_count - dropped) * sizeof(*segment->crashes));
	segment_set_count(table, segment, segment->crash_count - dropped);
}

void segment_set_harmless(segment_table_t *table, segment_t *segment,
			  int64_t began_us)
{
	if (began_us <= segment->harmless_us)
		return;
	segment->harmless_us = began_us;
	drop_crashes(table, segment, began_us);
}

/* @return time until a blocked segment is tried; FORGET_US if it is not */
static int64_t trial_in_us(const segment_t *segment, int64_t now_us)
{
	int64_t last_us = segment_last_crash_us(segment), in_us;

	if (segment->trials >= TRIALS_MAX)
		return FORGET_US;
	if (segment->last_trial_us > last_us)
		last_us = segment->last_trial_us;
	in_us = last_us + trial_pauses_us[segment->trials] - now_us;
	return in_us > 0 ? in_us : 0;
}

void segment_announce(segment_table_t *table, segment_t *segment,
		      int64_t now_us)
{
	segment->announce_until_us = now_us + ANNOUNCE_US;
	table->announce_until_us = segment->announce_until_us;
}

static segments_verdict_t make_verdict(segments_state_t state,
				       const segment_t *segment,
				       int64_t retry_us, int64_t now_us)
{
	return (segments_verdict_t){
		.state = state,
		.segment = segment->id,
		.crashes = segment->crash_count,
		.crash_age_us = now_us - segment_last_crash_us(segment),
		.retry_us = retry_us,
	};
}

segments_verdict_t segment_table_judge(segment_table_t *table,
				       const segments_t *segments,
				       const limit_nodes_t *nodes,
				       int64_t now_us)
{
	segments_verdict_t verdict = { .state = SEGMENTS_FREE };
	size_t i, tied = 0;

	for (i = 0; i < segments->count && table->blamed; i++) {
		segment_t *segment = segment_find(table, segments->ids[i]);
		int64_t wait_us;

		if (!segment || segment->blame == SEGMENT_CLEAR)
			continue;
		segment->seen_us = now_us;
		wait_us = trial_in_us(segment, now_us);
		if (segment->blame == SEGMENT_BLOCKED &&
		    (wait_us ||
		     !limit_nodes_is_first(nodes, (uint32_t)segment->id)))
			return make_verdict(SEGMENTS_BLOCKED, segment,
					    wait_us + TRIAL_US, now_us);
		/* One of them crashes servers. */
		tied += segment->is_tied;
		if (tied > 1)
			return make_verdict(SEGMENTS_BLOCKED, segment, TRIAL_US,
					    now_us);
		wait_us = segment->trial_until_us - now_us;
		if (wait_us > 0 && wait_us > verdict.retry_us)
			verdict = make_verdict(SEGMENTS_SUSPECT, segment,
					       wait_us, now_us);
	}
	return verdict;
}

void segment_table_sent(segment_table_t *table, const segments_t *segments,
			int64_t now_us)
{
	size_t i;

	if (!table->blamed)
		return;
	for (i = 0; i < segments->count; i++) {
		segment_t *segment = segment_find(table, segments->ids[i]);

		if (!segment || segment->blame == SEGMENT_CLEAR)
			continue;
		segment->trial_until_us = now_us + TRIAL_US;
		segment->last_trial_us = now_us;
		segment_announce(table, segment, now_us);
		segment->trials += segment->blame == SEGMENT_BLOCKED;
	}
}

bool segment_table_blames(const segment_table_t *table,
			  const segments_t *segments)
{
	size_t i;

	for (i = 0; i < segments->count && table->blamed; i++) {
		const segment_t *segment =
			segment_find(table, segments->ids[i]);

		if (segment && segment->crash_count)
			return true;
	}
	return false;
}

static bool has_blocked(const segment_table_t *table,
			const segments_t *segments)
{
	size_t i;

	for (i = 0; i < segments->count; i++) {
		const segment_t *segment =
			segment_find(table, segments->ids[i]);

		if (segment && segment->blame == SEGMENT_BLOCKED)
			return true;
	}
	return false;
}

void segment_add_crashes(segment_table_t *table, const segments_t *segments,
			 segment_crash_t crash, int64_t now_us)
{
	bool only_blocked = has_blocked(table, segments);
	size_t i;

	for (i = 0; i < segments->count; i++) {
		segment_t *segment =
			segment_use(table, segments->ids[i], now_us);

		if (only_blocked && segment->blame != SEGMENT_BLOCKED)
			continue;
		segment->seen_us = now_us;
		segment_announce(table, segment, now_us);
		segment_add_crash(table, segment, crash);
	}
}

uint64_t segment_table_note_crash(segment_table_t *table,
				  const segments_t *segments, uint32_t server,
				  int64_t now_us)
{
	segment_add_unclear(table, server, now_us, now_us);
	segment_add_crashes(table, segments,
			    (segment_crash_t){ server, now_us }, now_us);
	return segment_table_blame(table, now_us);
}

void segment_table_note_harmless(segment_table_t *table,
				 const segments_t *segments, int64_t began_us,
				 int64_t now_us)
{
	size_t i;
	bool was_blamed = false;

	for (i = 0; i < segments->count; i++) {
		segment_t *segment =
			segment_use(table, segments->ids[i], now_us);

		if (segment->crash_count)
			segment_announce(table, segment, now_us);
		was_blamed |= segment->crash_count > 0;
		segment_set_harmless(table, segment, began_us);
		if (began_us > segment->own_harmless_us)
			segment->own_harmless_us = began_us;
	}
	if (was_blamed)
		segment_table_blame(table, now_us);
}

uint64_t segment_table_expire(segment_table_t *table, int64_t now_us)
{
	segment_t *segment, *next;

	segment_clear_ends(table, now_us);
	DL_FOREACH_SAFE (table->blamed, segment, next)
		if (now_us - segment->seen_us >= FORGET_US)
			segment_remove(table, segment);
	return segment_table_blame(table, now_us);
}

size_t segment_table_count(const segment_table_t *table, size_t *suspects)
{
	const segment_t *segment;
	size_t blocked = 0;

	*suspects = 0;
	DL_FOREACH (table->blamed, segment) {
		blocked += segment->blame == SEGMENT_BLOCKED;
		*suspects += segment->blame == SEGMENT_SUSPECT;
	}
	return blocked;
}

size_t segment_table_size(const segment_table_t *table)
{
	return HASH_COUNT(table->segments);
}

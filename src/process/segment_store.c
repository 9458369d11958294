#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "process/segment_state.h"

/* Causes of each kind that are remembered; those that were not used for
 * longest, and are not blamed, are forgotten first. */
enum { CAUSES_KEPT_MAX = 4096 };
/* A server that ended is found to be gone within this time. */
#define EXPLAIN_US (5 * US_PER_S)

segment_table_t *segment_table_create(void)
{
	return mem_calloc(1, sizeof(segment_table_t));
}

void segment_remove(segment_table_t *table, segment_t *segment)
{
	segment_set_count(table, segment, 0);
	assert(table->known[segment->kind]);
	HASH_DEL(table->known[segment->kind], segment);
	free(segment->crashes);
	free(segment);
}

void segment_table_destroy(segment_table_t *table)
{
	segment_t *segment, *next;
	int kind;

	if (!table)
		return;
	for (kind = 0; kind < CAUSE_KINDS; kind++)
		HASH_ITER (hh, table->known[kind], segment, next)
			segment_remove(table, segment);
	free(table);
}

segment_t *segment_find(const segment_table_t *table, cause_kind_t kind,
			uint64_t id)
{
	segment_t *segment;

	HASH_FIND(hh, table->known[kind], &id, sizeof(id), segment);
	return segment;
}

segment_t *segment_find_content(const segment_table_t *table,
				const segments_t *segments)
{
	if (!segments->content)
		return NULL;
	return segment_find(table, CAUSE_CONTENT, segments->content);
}

/* Puts a cause to the end of the list of all, as the last one used. */
static void move_to_end(segment_table_t *table, segment_t *segment)
{
	HASH_DEL(table->known[segment->kind], segment);
	HASH_ADD(hh, table->known[segment->kind], id, sizeof(segment->id),
		 segment);
}

/* Removes a cause that is not blamed, or else the one that is blamed least; of
 * several, the one that was used longest ago. */
static void make_room(segment_table_t *table, cause_kind_t kind)
{
	segment_t *segment, *next, *last = NULL;
	size_t left = HASH_COUNT(table->known[kind]);

	if (left < CAUSES_KEPT_MAX)
		return;
	HASH_ITER (hh, table->known[kind], segment, next) {
		if (!segment->crash_count) {
			segment_remove(table, segment);
			return;
		}
		if (!last || segment->blame < last->blame)
			last = segment;
		if (!--left)
			break;
		/* So that the next search does not begin with it again. */
		move_to_end(table, segment);
	}
	if (last)
		segment_remove(table, last);
}

segment_t *segment_use(segment_table_t *table, cause_kind_t kind, uint64_t id,
		       int64_t now_us)
{
	segment_t *segment = segment_find(table, kind, id);

	if (segment) {
		move_to_end(table, segment);
		return segment;
	}
	make_room(table, kind);
	segment = mem_calloc(1, sizeof(*segment));
	segment->kind = kind;
	segment->id = id;
	segment->seen_us = now_us;
	HASH_ADD(hh, table->known[kind], id, sizeof(segment->id), segment);
	return segment;
}

/* @return true if a cause with so many crashes is in the list of blamed ones */
static bool is_blamed(const segment_t *segment, size_t crash_count)
{
	switch (segment->kind) {
	case CAUSE_SEGMENT:
		return crash_count;
	case CAUSE_CONTENT:
		return crash_count >= EXPLAIN_CRASHES;
	}
	return false;
}

void segment_set_count(segment_table_t *table, segment_t *segment, size_t count)
{
	bool was_blamed = is_blamed(segment, segment->crash_count);
	bool now_blamed = is_blamed(segment, count);

	if (now_blamed && !was_blamed)
		DL_APPEND(table->blamed[segment->kind], segment);
	if (!now_blamed && was_blamed)
		DL_DELETE(table->blamed[segment->kind], segment);
	segment->crash_count = count;
	if (count)
		return;
	segment->blame = SEGMENT_CLEAR;
	segment->is_tied = false;
	segment->trials = 0;
	segment->is_tried_here = false;
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

	DL_FOREACH (table->blamed[CAUSE_SEGMENT], other)
		if (other != segment && other->blame == SEGMENT_BLOCKED &&
		    segment_explains(other, crash))
			return true;
	return false;
}

/* @return true if a crash is not another one, or has another cause */
static bool is_known_crash(const segment_table_t *table,
			   const segment_t *segment, segment_crash_t crash)
{
	switch (segment->kind) {
	case CAUSE_SEGMENT:
		return segment->blame != SEGMENT_BLOCKED &&
		       is_blocked_crash(table, segment, crash);
	case CAUSE_CONTENT:
		return segment_has_end(table, segment, crash);
	}
	return false;
}

/* @return number of the first crashes, which stay when there are too many */
static size_t first_kept(const segment_t *segment)
{
	switch (segment->kind) {
	case CAUSE_SEGMENT:
		/* It says how long there was none that went on. */
		return 1;
	case CAUSE_CONTENT:
		/* Those that come after them explain crashes of segments. */
		return EXPLAIN_CRASHES + 1;
	}
	return 0;
}

void segment_add_crash(segment_table_t *table, segment_t *segment,
		       segment_crash_t crash)
{
	size_t i = segment->crash_count;

	if (crash.at_us <= segment->harmless_us ||
	    segment_has_crash(segment, crash, SAME_CRASH_US) ||
	    is_known_crash(table, segment, crash))
		return;
	if (!segment->crashes)
		segment->crashes = mem_calloc(SEGMENT_CRASHES_MAX,
					      sizeof(*segment->crashes));
	if (i == SEGMENT_CRASHES_MAX) {
		size_t kept = first_kept(segment);

		memmove(segment->crashes + kept, segment->crashes + kept + 1,
			(--i - kept) * sizeof(*segment->crashes));
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

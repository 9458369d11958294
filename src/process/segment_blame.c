#include "base/units.h"
#include "process/segment_state.h"

/* Servers that end within this time end for one cause: they count as one
 * crash. */
#define MOMENT_US (50 * US_PER_MS)
/* A crash is known to all nodes that announce, with all its segments, after
 * this time. */
#define SETTLE_US (300 * US_PER_MS)
/* A segment that was harmless in this time is blamed later than one that never
 * was. */
#define HARMLESS_KEEP_US (600 * US_PER_S)

/* It is blamed only if in this time no server began to write that went on: most
 * answers that began before the first crash have ended by then. */
#define HARMLESS_BLAME_US (2 * US_PER_S)

/* Crashes of a content that are older do not count. */
#define CONTENT_KEEP_US (600 * US_PER_S)

/* Crashes from which a cause is suspect and blocked. The platform allows few
 * requests after the fifth. Many requests of a segment that was harmless may
 * break before the next of its answers is complete. */
enum {
	SUSPECT_CRASHES = 2,
	BLOCK_CRASHES = 4,
	HARMLESS_SUSPECT_CRASHES = 5,
	HARMLESS_BLOCK_CRASHES = 6,
	/* The platform allows three requests after the third crash. */
	CONTENT_SUSPECT_CRASHES = 2,
	CONTENT_BLOCK_CRASHES = 3,
	/* Crashes of a content at one moment that count: many servers that are
	 * lost together may have had sound requests with it. */
	CONTENT_MOMENT_CRASHES = 2
};

int64_t segment_last_crash_us(const segment_t *segment)
{
	return segment->crash_count
		       ? segment->crashes[segment->crash_count - 1].at_us
		       : 0;
}

static bool was_harmless(const segment_t *segment, int64_t now_us)
{
	return segment->harmless_us &&
	       now_us - segment->harmless_us < HARMLESS_KEEP_US;
}

/* @return true if a segment that never was harmless explains the crash */
static bool is_explained(const segment_table_t *table, const segment_t *segment,
			 segment_crash_t crash, int64_t now_us)
{
	const segment_t *other;

	DL_FOREACH (table->blamed[CAUSE_SEGMENT], other)
		if (other != segment && other->crash_count >= EXPLAIN_CRASHES &&
		    !was_harmless(other, now_us) &&
		    segment_explains(other, crash))
			return true;
	return false;
}

bool segment_explains_others(const segment_t *content, int64_t now_us)
{
	return content->crash_count > EXPLAIN_CRASHES &&
	       !was_harmless(content, now_us);
}

/* @return true if it is one of the further crashes of a content: the first ones
 * may as well be those of a segment that the request has */
static bool is_of_content(const segment_table_t *table, segment_crash_t crash,
			  int64_t now_us)
{
	const segment_t *content;

	DL_FOREACH (table->blamed[CAUSE_CONTENT], content)
		if (segment_explains_others(content, now_us) &&
		    segment_explains(content, crash) &&
		    crash.at_us + SAME_CRASH_US >=
			    content->crashes[EXPLAIN_CRASHES].at_us)
			return true;
	return false;
}

/* @return number of moments at which crashes came that count against it */
static int count_crashes(const segment_table_t *table, const segment_t *segment,
			 int64_t now_us)
{
	bool harmless = was_harmless(segment, now_us);
	int64_t last_us = 0;
	int count = 0;
	size_t i;

	for (i = 0; i < segment->crash_count; i++) {
		const segment_crash_t *crash = &segment->crashes[i];

		if (is_of_content(table, *crash, now_us) ||
		    (harmless && is_explained(table, segment, *crash, now_us)))
			continue;
		if (!count || crash->at_us - last_us >= MOMENT_US) {
			count++;
			last_us = crash->at_us;
		}
	}
	return count;
}

/* @return number of crashes that all nodes know */
static size_t settled_crashes(const segment_t *segment, int64_t now_us)
{
	size_t count = segment->crash_count;

	while (count && now_us - segment->crashes[count - 1].at_us < SETTLE_US)
		count--;
	return count;
}

/* @return true if @p other is at least as suspect by what else is known: of
 * segments that were harmless, the one that was so last is the least */
static bool is_as_suspect(const segment_t *other, const segment_t *segment,
			  int64_t now_us)
{
	bool harmless = was_harmless(segment, now_us);

	return was_harmless(other, now_us) == harmless &&
	       (!harmless || other->harmless_us < segment->harmless_us);
}

/* @return true if another segment that is as suspect has all of its crashes */
static bool has_equal(const segment_table_t *table, const segment_t *segment,
		      int64_t now_us)
{
	size_t settled = settled_crashes(segment, now_us);
	const segment_t *other;

	DL_FOREACH (table->blamed[CAUSE_SEGMENT], other) {
		size_t i = 0;

		if (other == segment || other->crash_count < settled ||
		    !is_as_suspect(other, segment, now_us))
			continue;
		while (i < settled &&
		       segment_explains(other, segment->crashes[i]))
			i++;
		if (i == settled)
			return true;
	}
	return false;
}

static segment_blame_t judge(const segment_table_t *table, segment_t *segment,
			     int64_t now_us)
{
	bool harmless = was_harmless(segment, now_us);
	int suspect = harmless ? HARMLESS_SUSPECT_CRASHES : SUSPECT_CRASHES;
	int count;

	segment->is_tied = false;
	if ((int)segment->crash_count < suspect ||
	    (harmless &&
	     now_us - segment->crashes[0].at_us < HARMLESS_BLAME_US))
		return SEGMENT_CLEAR;
	count = count_crashes(table, segment, now_us);
	if (count < suspect)
		return SEGMENT_CLEAR;
	if (count < (harmless ? HARMLESS_BLOCK_CRASHES : BLOCK_CRASHES))
		return SEGMENT_SUSPECT;
	segment->is_tied = has_equal(table, segment, now_us);
	return segment->is_tied ? SEGMENT_SUSPECT : SEGMENT_BLOCKED;
}

/* Clears the other segments of the crashes that a blocked one explains. */
static void explain_crashes(segment_table_t *table, const segment_t *blocked)
{
	segment_t *other, *next;

	DL_FOREACH_SAFE (table->blamed[CAUSE_SEGMENT], other, next) {
		size_t i, kept = 0;

		if (other->blame == SEGMENT_BLOCKED)
			continue;
		for (i = 0; i < other->crash_count; i++)
			if (!segment_explains(blocked, other->crashes[i]))
				other->crashes[kept++] = other->crashes[i];
		segment_set_count(table, other, kept);
	}
}

/* @return a segment that is to be blocked now; NULL: none */
static segment_t *judge_all(segment_table_t *table, int64_t now_us)
{
	segment_t *segment;

	DL_FOREACH (table->blamed[CAUSE_SEGMENT], segment) {
		if (segment->blame == SEGMENT_BLOCKED)
			continue;
		segment->blame = judge(table, segment, now_us);
		if (segment->blame == SEGMENT_BLOCKED)
			return segment;
	}
	return NULL;
}

void segment_block(segment_table_t *table, segment_t *segment)
{
	segment->blame = SEGMENT_BLOCKED;
	segment->is_tied = false;
	if (table->newly_blocked_count < NEWLY_BLOCKED_MAX)
		table->newly_blocked[table->newly_blocked_count++] =
			(cause_id_t){ segment->kind, segment->id };
}

/* @return number of crashes that count against a content */
static int count_content_crashes(const segment_t *content, int64_t now_us)
{
	int64_t moment_us = 0;
	int count = 0, at_moment = 0;
	size_t i;

	for (i = 0; i < content->crash_count; i++) {
		int64_t at_us = content->crashes[i].at_us;

		if (now_us - at_us >= CONTENT_KEEP_US)
			continue;
		if (!count || at_us - moment_us >= MOMENT_US) {
			moment_us = at_us;
			at_moment = 0;
		}
		if (at_moment++ < CONTENT_MOMENT_CRASHES)
			count++;
	}
	return count;
}

void segment_judge_content(segment_table_t *table, segment_t *content,
			   int64_t now_us)
{
	int count;

	if (content->blame == SEGMENT_BLOCKED &&
	    content->crash_count >= EXPLAIN_CRASHES)
		return;
	content->blame = SEGMENT_CLEAR;
	if (was_harmless(content, now_us) && content->crash_count &&
	    now_us - content->crashes[0].at_us < HARMLESS_BLAME_US)
		return;
	count = count_content_crashes(content, now_us);
	if (count >= CONTENT_BLOCK_CRASHES)
		segment_block(table, content);
	else if (count >= CONTENT_SUSPECT_CRASHES)
		content->blame = SEGMENT_SUSPECT;
}

void segment_table_blame(segment_table_t *table, int64_t now_us)
{
	segment_t *segment, *next;

	DL_FOREACH_SAFE (table->blamed[CAUSE_SEGMENT], segment, next)
		if (segment->blame == SEGMENT_BLOCKED)
			explain_crashes(table, segment);
	/* What one explains may clear those that were judged before it. */
	while ((segment = judge_all(table, now_us))) {
		segment_block(table, segment);
		explain_crashes(table, segment);
	}
}

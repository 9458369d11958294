#include "process/segment_table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"
#include "process/segment_state.h"

/* Causes of each kind that are remembered; those that were not used for
 * longest, and are not blamed, are forgotten first. */
enum { CAUSES_KEPT_MAX = 4096 };
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
	table->announce_until_us[segment->kind] = segment->announce_until_us;
}

static segments_verdict_t make_verdict(segments_state_t state,
				       const segment_t *segment,
				       int64_t retry_us, int64_t now_us)
{
	return (segments_verdict_t){
		.state = state,
		.cause = { segment->kind, segment->id },
		.crashes = segment->crash_count,
		.crash_age_us = now_us - segment_last_crash_us(segment),
		.retry_us = retry_us,
	};
}

/* @return true if no request with a blocked cause may be sent by this node */
static bool is_kept_back(const segment_t *segment, const limit_nodes_t *nodes,
			 int64_t now_us)
{
	return segment->blame == SEGMENT_BLOCKED &&
	       (trial_in_us(segment, now_us) ||
		!limit_nodes_is_first(nodes, (uint32_t)segment->id));
}

/* Judges a request by one cause that is blamed. */
static segments_verdict_t
judge_cause(segment_t *segment, const limit_nodes_t *nodes, int64_t now_us)
{
	int64_t wait_us = segment->trial_until_us - now_us;

	segment->seen_us = now_us;
	if (is_kept_back(segment, nodes, now_us))
		return make_verdict(SEGMENTS_BLOCKED, segment,
				    trial_in_us(segment, now_us) + TRIAL_US,
				    now_us);
	if (wait_us > 0)
		return make_verdict(SEGMENTS_SUSPECT, segment, wait_us, now_us);
	return (segments_verdict_t){ .state = SEGMENTS_FREE };
}

segments_verdict_t segment_table_judge(segment_table_t *table,
				       const segments_t *segments,
				       const limit_nodes_t *nodes,
				       int64_t now_us)
{
	segments_verdict_t verdict = { .state = SEGMENTS_FREE }, other;
	segment_t *segment = segment_find_content(table, segments);
	size_t i, tied = 0;

	if (segment && segment->blame != SEGMENT_CLEAR)
		verdict = judge_cause(segment, nodes, now_us);
	for (i = 0; i < segments->count && table->blamed[CAUSE_SEGMENT]; i++) {
		if (verdict.state == SEGMENTS_BLOCKED)
			return verdict;
		segment = segment_find(table, CAUSE_SEGMENT, segments->ids[i]);
		if (!segment || segment->blame == SEGMENT_CLEAR)
			continue;
		/* One of those that are tied crashes servers. */
		tied += segment->is_tied;
		if (tied > 1)
			return make_verdict(SEGMENTS_BLOCKED, segment, TRIAL_US,
					    now_us);
		other = judge_cause(segment, nodes, now_us);
		if (other.state == SEGMENTS_BLOCKED ||
		    other.retry_us > verdict.retry_us)
			verdict = other;
	}
	return verdict;
}

/* A request with the cause is sent. */
static void start_trial(segment_table_t *table, segment_t *segment,
			int64_t now_us)
{
	if (!segment || segment->blame == SEGMENT_CLEAR)
		return;
	segment->trial_until_us = now_us + TRIAL_US;
	segment->last_trial_us = now_us;
	segment_announce(table, segment, now_us);
	segment->trials += segment->blame == SEGMENT_BLOCKED;
}

void segment_table_sent(segment_table_t *table, const segments_t *segments,
			int64_t now_us)
{
	size_t i;

	start_trial(table, segment_find_content(table, segments), now_us);
	for (i = 0; i < segments->count && table->blamed[CAUSE_SEGMENT]; i++)
		start_trial(table,
			    segment_find(table, CAUSE_SEGMENT,
					 segments->ids[i]),
			    now_us);
}

bool segment_table_blames(const segment_table_t *table,
			  const segments_t *segments)
{
	const segment_t *segment = segment_find_content(table, segments);
	size_t i;

	if (segment && segment->crash_count)
		return true;
	for (i = 0; i < segments->count && table->blamed[CAUSE_SEGMENT]; i++) {
		segment = segment_find(table, CAUSE_SEGMENT, segments->ids[i]);
		if (segment && segment->crash_count)
			return true;
	}
	return false;
}

/* @return true if the request has a blocked segment */
static bool has_blocked(const segment_table_t *table,
			const segments_t *segments)
{
	size_t i;

	for (i = 0; i < segments->count; i++) {
		const segment_t *segment =
			segment_find(table, CAUSE_SEGMENT, segments->ids[i]);

		if (segment && segment->blame == SEGMENT_BLOCKED)
			return true;
	}
	return false;
}

/* Adds a crash to a cause of a request that the crash broke. */
static void add_own_crash(segment_table_t *table, segment_t *segment,
			  segment_crash_t crash, int64_t now_us)
{
	segment->seen_us = now_us;
	segment_announce(table, segment, now_us);
	segment_add_crash(table, segment, crash);
}

void segment_add_crashes(segment_table_t *table, const segments_t *segments,
			 segment_crash_t crash, int64_t now_us)
{
	bool only_blocked = has_blocked(table, segments);
	segment_t *segment;
	size_t i;

	segment_note_end(table, crash);
	if (segments->content) {
		segment = segment_use(table, CAUSE_CONTENT, segments->content,
				      now_us);
		add_own_crash(table, segment, crash, now_us);
		segment_judge_content(table, segment, now_us);
		only_blocked |= segment_explains_others(segment, now_us);
	}
	for (i = 0; i < segments->count; i++) {
		segment = segment_use(table, CAUSE_SEGMENT, segments->ids[i],
				      now_us);
		if (!only_blocked || segment->blame == SEGMENT_BLOCKED)
			add_own_crash(table, segment, crash, now_us);
	}
}

void segment_table_note_crash(segment_table_t *table,
			      const segments_t *segments, uint32_t server,
			      int64_t now_us)
{
	segment_add_unclear(table, server, now_us, now_us);
	segment_add_crashes(table, segments,
			    (segment_crash_t){ server, now_us }, now_us);
	segment_table_blame(table, now_us);
}

/* @return true if the cause had crashes */
static bool note_harmless(segment_table_t *table, segment_t *segment,
			  int64_t began_us, int64_t now_us)
{
	bool was_blamed = segment->crash_count > 0;

	if (was_blamed)
		segment_announce(table, segment, now_us);
	segment_set_harmless(table, segment, began_us);
	if (began_us > segment->own_harmless_us)
		segment->own_harmless_us = began_us;
	return was_blamed;
}

void segment_table_note_harmless(segment_table_t *table,
				 const segments_t *segments, int64_t began_us,
				 int64_t now_us)
{
	segment_t *content;
	bool was_blamed = false;
	size_t i;

	if (segments->content) {
		content = segment_use(table, CAUSE_CONTENT, segments->content,
				      now_us);
		note_harmless(table, content, began_us, now_us);
		segment_judge_content(table, content, now_us);
	}
	for (i = 0; i < segments->count; i++)
		was_blamed |=
			note_harmless(table,
				      segment_use(table, CAUSE_SEGMENT,
						  segments->ids[i], now_us),
				      began_us, now_us);
	if (was_blamed)
		segment_table_blame(table, now_us);
}

static void forget_unused(segment_table_t *table, cause_kind_t kind,
			  int64_t now_us)
{
	segment_t *segment, *next;

	DL_FOREACH_SAFE (table->blamed[kind], segment, next)
		if (now_us - segment->seen_us >= FORGET_US)
			segment_remove(table, segment);
}

void segment_table_expire(segment_table_t *table, int64_t now_us)
{
	segment_t *content;

	segment_clear_ends(table, now_us);
	forget_unused(table, CAUSE_SEGMENT, now_us);
	forget_unused(table, CAUSE_CONTENT, now_us);
	DL_FOREACH (table->blamed[CAUSE_CONTENT], content)
		segment_judge_content(table, content, now_us);
	segment_table_blame(table, now_us);
}

bool segment_table_next_blocked(segment_table_t *table, cause_id_t *cause)
{
	if (!table->newly_blocked_count)
		return false;
	*cause = table->newly_blocked[--table->newly_blocked_count];
	return true;
}

size_t segment_table_count(const segment_table_t *table, cause_kind_t kind,
			   size_t *suspects)
{
	const segment_t *segment;
	size_t blocked = 0;

	*suspects = 0;
	DL_FOREACH (table->blamed[kind], segment) {
		blocked += segment->blame == SEGMENT_BLOCKED;
		*suspects += segment->blame == SEGMENT_SUSPECT;
	}
	return blocked;
}

size_t segment_table_size(const segment_table_t *table, cause_kind_t kind)
{
	return HASH_COUNT(table->known[kind]);
}

#include "process/segment_table.h"

#include "base/units.h"
#include "process/segment_state.h"

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
	segment->is_tried_here = segment->blame == SEGMENT_BLOCKED;
	segment->trials += segment->is_tried_here;
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

bool segment_is_on_trial(const segment_t *segment, int64_t now_us)
{
	return segment->is_tried_here && now_us < segment->trial_until_us;
}

static void take_back_trial(segment_t *segment, int64_t sent_us, int64_t now_us)
{
	if (!segment || !segment_is_on_trial(segment, now_us) ||
	    sent_us < segment->last_trial_us)
		return;
	segment->is_tried_here = false;
	segment->trials--;
	/* The next one comes after the shortest pause. */
	segment->last_trial_us -=
		trial_pauses_us[segment->trials] - trial_pauses_us[0];
}

void segment_table_note_not_run(segment_table_t *table,
				const segments_t *segments, int64_t sent_us,
				int64_t now_us)
{
	size_t i;

	take_back_trial(segment_find_content(table, segments), sent_us, now_us);
	for (i = 0; i < segments->count && table->blamed[CAUSE_SEGMENT]; i++)
		take_back_trial(segment_find(table, CAUSE_SEGMENT,
					     segments->ids[i]),
				sent_us, now_us);
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
	segment->is_tried_here = false;
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

#include "process/segment_state.h"

static segment_report_t make_report(const segment_t *segment, int64_t now_us)
{
	segment_report_t report = {
		.id = segment->id,
		.is_blocked = segment->blame == SEGMENT_BLOCKED,
		.trials =
			segment->trials - segment_is_on_trial(segment, now_us),
		.seen_age_us = now_us - segment->seen_us,
		.harmless_age_us = segment->own_harmless_us
					   ? now_us - segment->own_harmless_us
					   : -1,
	};
	size_t i = 0;

	if (segment->crash_count > ANNOUNCED_CRASHES_MAX)
		i = segment->crash_count - ANNOUNCED_CRASHES_MAX;
	for (; i < segment->crash_count; i++) {
		report.crashes[report.crash_count].server =
			segment->crashes[i].server;
		report.crashes[report.crash_count++].age_us =
			now_us - segment->crashes[i].at_us;
	}
	return report;
}

static bool has_news(const segment_t *segment, int64_t now_us)
{
	return now_us < segment->announce_until_us;
}

/* @return true if others may block the cause by what this node knows */
static bool is_grave(const segment_t *segment, int64_t now_us)
{
	switch (segment->kind) {
	case CAUSE_SEGMENT:
		return segment->crash_count > 1 &&
		       (segment->blame != SEGMENT_CLEAR ||
			has_news(segment, now_us));
	case CAUSE_CONTENT:
		/* With its next crash, the earlier ones are announced again. */
		return segment->blame == SEGMENT_BLOCKED ||
		       (segment->crash_count > 1 && has_news(segment, now_us));
	}
	return false;
}

/* Lists causes, those that were listed longest ago first. */
static size_t list(segment_table_t *table, cause_kind_t kind,
		   segment_report_t *reports, size_t max, bool grave,
		   int64_t now_us)
{
	size_t count = 0, left = HASH_COUNT(table->known[kind]);
	segment_t *segment, *next;

	HASH_ITER (hh, table->known[kind], segment, next) {
		if (!left-- || count == max)
			break;
		if (is_grave(segment, now_us) != grave ||
		    (!grave && !has_news(segment, now_us)))
			continue;
		reports[count++] = make_report(segment, now_us);
		/* So that the next list begins with others. */
		segment_use(table, kind, segment->id, now_us);
	}
	return count;
}

size_t segment_table_list(segment_table_t *table, cause_kind_t kind,
			  segment_report_t *reports, size_t max, int64_t now_us)
{
	bool news = now_us < table->announce_until_us[kind];
	size_t count = 0, reserved = 0;

	/* First crashes are not held up by what was announced before. */
	if (news && kind == CAUSE_CONTENT)
		reserved = max / 2;
	if (news || table->blamed[kind])
		count = list(table, kind, reports, max - reserved, true,
			     now_us);
	if (news)
		count += list(table, kind, reports + count, max - count, false,
			      now_us);
	return count;
}

/* Another node does not know that the segment is harmless. */
static void contradict(segment_table_t *table, segment_t *segment,
		       const segment_report_t *report, int64_t now_us)
{
	size_t i;

	for (i = 0; i < report->crash_count; i++)
		if (now_us - report->crashes[i].age_us <=
		    segment->own_harmless_us)
			segment_announce(table, segment, now_us);
}

/* Judges a cause by what was received. */
static void judge_received(segment_table_t *table, segment_t *segment,
			   bool is_blocked, bool changed, int64_t now_us)
{
	switch (segment->kind) {
	case CAUSE_SEGMENT:
		if (changed)
			segment_table_blame(table, now_us);
		if (!is_blocked || !segment->crash_count ||
		    segment->blame == SEGMENT_BLOCKED)
			return;
		segment_block(table, segment);
		break;
	case CAUSE_CONTENT:
		segment_judge_content(table, segment, now_us);
		if (is_blocked && segment->crash_count >= EXPLAIN_CRASHES &&
		    segment->blame != SEGMENT_BLOCKED)
			segment_block(table, segment);
		if (!changed)
			return;
		break;
	}
	segment_table_blame(table, now_us);
}

/* @return true if the report has crashes that were not known */
static bool receive_crashes(segment_table_t *table, segment_t *segment,
			    const segment_report_t *report, int64_t now_us)
{
	size_t i, before = segment->crash_count;
	bool changed = false;

	for (i = 0; i < report->crash_count; i++) {
		segment_crash_t crash = { report->crashes[i].server,
					  now_us - report->crashes[i].age_us };

		if (report->crashes[i].age_us < RESTART_US)
			segment_note_end(table, crash);
		segment_add_crash(table, segment, crash);
		changed |= segment_add_unclear(table, crash.server, crash.at_us,
					       now_us);
	}
	return changed || segment->crash_count != before;
}

void segment_table_receive(segment_table_t *table, cause_kind_t kind,
			   const segment_report_t *report, int64_t now_us)
{
	segment_t *segment = segment_find(table, kind, report->id);
	int64_t seen_us = now_us - report->seen_age_us;
	bool changed;

	if (!segment && !report->crash_count)
		return;
	if (!segment)
		segment = segment_use(table, kind, report->id, seen_us);
	if (segment->seen_us < seen_us)
		segment->seen_us = seen_us;
	if (report->harmless_age_us >= 0)
		segment_set_harmless(table, segment,
				     now_us - report->harmless_age_us);
	contradict(table, segment, report, now_us);
	changed = receive_crashes(table, segment, report, now_us);
	if (segment->crash_count && segment->trials < report->trials) {
		segment->trials = report->trials;
		segment->is_tried_here = false;
	}
	judge_received(table, segment, report->is_blocked, changed, now_us);
}

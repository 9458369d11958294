#include "process/segment_state.h"

static segment_report_t make_report(const segment_t *segment, int64_t now_us)
{
	segment_report_t report = {
		.id = segment->id,
		.is_blocked = segment->blame == SEGMENT_BLOCKED,
		.trials = segment->trials,
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

/* @return true if others may blame the segment soon, or do */
static bool is_important(const segment_t *segment)
{
	return segment->crash_count > 1;
}

/* Lists important segments, or others with news. */
static size_t list(segment_table_t *table, segment_report_t *reports,
		   size_t max, bool important, int64_t now_us)
{
	size_t count = 0, left = HASH_COUNT(table->segments);
	segment_t *segment, *next;

	HASH_ITER (hh, table->segments, segment, next) {
		if (!left-- || count == max)
			break;
		if (is_important(segment) != important ||
		    (segment->blame == SEGMENT_CLEAR &&
		     now_us >= segment->announce_until_us))
			continue;
		reports[count++] = make_report(segment, now_us);
		/* So that the next list begins with others. */
		segment_use(table, segment->id, now_us);
	}
	return count;
}

size_t segment_table_list(segment_table_t *table, segment_report_t *reports,
			  size_t max, int64_t now_us)
{
	size_t count = 0;

	if (table->blamed)
		count = list(table, reports, max, true, now_us);
	if (now_us < table->announce_until_us)
		count += list(table, reports + count, max - count, false,
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

/* @return id of a segment that was not blocked before and is now; 0: none */
static uint64_t receive_crashes(segment_table_t *table, segment_t *segment,
				const segment_report_t *report, int64_t now_us)
{
	size_t i, before = segment->crash_count;
	bool changed = false;

	for (i = 0; i < report->crash_count; i++) {
		segment_crash_t crash = { report->crashes[i].server,
					  now_us - report->crashes[i].age_us };

		segment_add_crash(table, segment, crash);
		changed |= segment_add_unclear(table, crash.server, crash.at_us,
					       now_us);
	}
	return changed || segment->crash_count != before
		       ? segment_table_blame(table, now_us)
		       : 0;
}

uint64_t segment_table_receive(segment_table_t *table,
			       const segment_report_t *report, int64_t now_us)
{
	segment_t *segment = segment_find(table, report->id);
	int64_t seen_us = now_us - report->seen_age_us;
	uint64_t blocked;

	if (!segment && !report->crash_count)
		return 0;
	if (!segment)
		segment = segment_use(table, report->id, seen_us);
	if (segment->seen_us < seen_us)
		segment->seen_us = seen_us;
	if (report->harmless_age_us >= 0)
		segment_set_harmless(table, segment,
				     now_us - report->harmless_age_us);
	contradict(table, segment, report, now_us);
	blocked = receive_crashes(table, segment, report, now_us);
	if (segment->crash_count && segment->trials < report->trials)
		segment->trials = report->trials;
	if (!report->is_blocked || !segment->crash_count ||
	    segment->blame == SEGMENT_BLOCKED)
		return blocked;
	segment->blame = SEGMENT_BLOCKED;
	segment->is_tied = false;
	segment_table_blame(table, now_us);
	return segment->id;
}

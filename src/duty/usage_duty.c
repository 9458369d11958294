#include "duty/usage_duty.h"

#include <stdlib.h>
#include <utlist.h>

#include "base/mem.h"

/* When a window is closed, as fractions of the time in which the platform
 * expects its report. At the earliest, the last counts of all nodes can have
 * arrived. At the latest, time is left for a change of the lease holder and for
 * retries. */
#define EARLIEST_FRACTION 0.15
#define LATEST_FRACTION 0.6
/* Multiple of the time in which the platform expects a report; after it, a
 * window is no longer closed. */
#define GIVE_UP_FRACTION 2.0
/* Delay before a report is sent again. */
#define RETRY_DELAY_US (300 * US_PER_MS)

typedef struct report {
	int64_t window;
	json_t *counts;
	int64_t due_us; /* when to send the report, on CLOCK_BOOTTIME; 0: at
			   once */
	struct report *prev, *next;
} report_t;

struct usage_duty {
	usage_duty_conf_t conf;
	int64_t closed; /* last closed window; 0: none */
	/* Reports of closed windows, neither accepted nor refused yet; the
	 * oldest first. */
	report_t *reports;
};

usage_duty_t *usage_duty_create(const usage_duty_conf_t *conf)
{
	usage_duty_t *duty = mem_calloc(1, sizeof(*duty));

	duty->conf = *conf;
	return duty;
}

static void remove_report(usage_duty_t *duty, report_t *report)
{
	DL_DELETE(duty->reports, report);
	json_decref(report->counts);
	free(report);
}

static void remove_reports(usage_duty_t *duty)
{
	while (duty->reports)
		remove_report(duty, duty->reports);
}

void usage_duty_destroy(usage_duty_t *duty)
{
	if (!duty)
		return;
	remove_reports(duty);
	free(duty);
}

int64_t usage_duty_window(const usage_duty_conf_t *conf, int64_t time_us)
{
	return time_us / conf->window_us;
}

bool usage_duty_ended(const usage_duty_conf_t *conf, int64_t window,
		      int64_t time_us, int64_t after_us)
{
	return usage_duty_window(conf, time_us - after_us) > window;
}

int64_t usage_duty_open_windows(const usage_duty_conf_t *conf)
{
	/* Plus 2: the present window, and the window that the time limit falls
	 * into. */
	return (int64_t)((double)conf->delay_us * GIVE_UP_FRACTION) /
		       conf->window_us +
	       2;
}

static bool has_ended_for(const usage_duty_t *duty, int64_t window,
			  int64_t time_us, double fraction)
{
	return usage_duty_ended(
		&duty->conf, window, time_us,
		(int64_t)((double)duty->conf.delay_us * fraction));
}

/* Adds a report; takes over the reference to counts. */
static void add(usage_duty_t *duty, int64_t window, json_t *counts)
{
	report_t *report = mem_calloc(1, sizeof(*report));

	report->window = window;
	report->counts = counts;
	DL_APPEND(duty->reports, report);
}

/* @return the number of a window, within its bounds; 0: none */
static int64_t read_window(const json_t *object, const char *key)
{
	json_int_t window = json_integer_value(json_object_get(object, key));

	if (window < 0)
		return 0;
	return window < USAGE_WINDOW_MAX ? window : USAGE_WINDOW_MAX;
}

void usage_duty_take_over(usage_duty_t *duty, const json_t *state)
{
	const json_t *reports = json_object_get(state, "reports"), *report;
	size_t i;

	remove_reports(duty);
	duty->closed = read_window(state, "closed");
	json_array_foreach(reports, i, report)
	{
		json_t *counts = json_object_get(report, "counts");
		int64_t window = read_window(report, "window");

		if (window > 0 && json_is_object(counts))
			add(duty, window, json_incref(counts));
	}
}

void usage_duty_skip(usage_duty_t *duty, int64_t window)
{
	if (duty->closed < window)
		duty->closed = window;
}

json_t *usage_duty_state(const usage_duty_t *duty)
{
	json_t *reports = json_array();
	const report_t *report;

	DL_FOREACH (duty->reports, report)
		json_array_append_new(reports,
				      json_pack("{s:I,s:O}", "window",
						(json_int_t)report->window,
						"counts", report->counts));
	return json_pack("{s:I,s:o}", "closed", (json_int_t)duty->closed,
			 "reports", reports);
}

static json_t *sum_counts(const usage_t *usage, int64_t window)
{
	json_t *json = json_object();
	usage_count_t *counts;
	size_t i, count = usage_sum(usage, window, &counts);

	for (i = 0; i < count; i++)
		json_object_set_new(json, counts[i].account,
				    json_integer(counts[i].requests));
	usage_free_counts(counts, count);
	return json;
}

static bool may_close(const usage_duty_t *duty, const usage_t *usage,
		      int64_t window, int64_t time_us)
{
	return has_ended_for(duty, window, time_us, LATEST_FRACTION) ||
	       (has_ended_for(duty, window, time_us, EARLIEST_FRACTION) &&
		usage_complete(usage, window));
}

bool usage_duty_close(usage_duty_t *duty, const usage_t *usage, int64_t time_us)
{
	int64_t window = duty->closed + 1, first = usage_first_window(usage);
	int64_t oldest = usage_duty_window(
		&duty->conf, time_us - (int64_t)((double)duty->conf.delay_us *
						 GIVE_UP_FRACTION));
	bool changed = false;

	if (first == INT64_MAX)
		return false;
	/* No counts are known of windows before `first`. */
	if (window < first)
		window = first;
	if (window < oldest)
		window = oldest;
	for (; may_close(duty, usage, window, time_us); window++) {
		add(duty, window, sum_counts(usage, window));
		duty->closed = window;
		changed = true;
	}
	return changed;
}

int64_t usage_duty_last_closed(const usage_duty_t *duty)
{
	return duty->closed;
}

int64_t usage_duty_next(const usage_duty_t *duty, int64_t now_us,
			const json_t **counts)
{
	const report_t *report;

	DL_FOREACH (duty->reports, report) {
		if (now_us < report->due_us)
			continue;
		*counts = report->counts;
		return report->window;
	}
	return 0;
}

void usage_duty_answered(usage_duty_t *duty, int64_t window,
			 duty_answer_t answer, int64_t now_us)
{
	report_t *report, *next;

	DL_FOREACH_SAFE (duty->reports, report, next) {
		if (report->window != window)
			continue;
		if (answer == DUTY_RETRY)
			report->due_us = now_us + RETRY_DELAY_US;
		else
			remove_report(duty, report);
	}
}

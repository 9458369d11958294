/**
 * @file usage_duty.h
 * Reports the usage of all nodes to the platform, on the node that holds the
 * lease of the duties. Does no I/O; time is an argument.
 *
 * Each time window is closed once: its counts are fixed, written with the
 * lease, and only then sent. A successor finds them in the lease, sends the
 * same reports again, and continues with the next window, so that the platform
 * never gets two different reports of one window.
 */
#ifndef DUTY_USAGE_DUTY_H
#define DUTY_USAGE_DUTY_H

#include <jansson.h>

#include "duty/answer.h"
#include "duty/usage.h"

typedef struct usage_duty usage_duty_t;

typedef struct {
	int64_t window_us; /**< length of a window */
	int64_t delay_us; /**< time after the end of a window in which the
			     platform expects the report */
} usage_duty_conf_t;

usage_duty_t *usage_duty_create(const usage_duty_conf_t *conf);
void usage_duty_destroy(usage_duty_t *duty);

/**
 * @param time_us time since 1970
 * @return number of the window: windows since 1970
 */
int64_t usage_duty_window(const usage_duty_conf_t *conf, int64_t time_us);
/** @return true if a window ended at least @p after_us ago. */
bool usage_duty_ended(const usage_duty_conf_t *conf, int64_t window,
		      int64_t time_us, int64_t after_us);

/** @return number of windows that may still be reported, including the present
 * window. */
int64_t usage_duty_open_windows(const usage_duty_conf_t *conf);

/**
 * Replaces the state by that of the previous lease holder.
 * @param state from usage_duty_state() there; NULL: no previous holder
 */
void usage_duty_take_over(usage_duty_t *duty, const json_t *state);
/** Reports no windows up to @p window that the state did not have: another
 * holder may have reported them with other counts. */
void usage_duty_skip(usage_duty_t *duty, int64_t window);
/** @return state for a successor; a new reference */
json_t *usage_duty_state(const usage_duty_t *duty);

/**
 * Closes all windows whose counts are complete, or whose report is due.
 * @param time_us time since 1970
 * @return true if the state changed
 */
bool usage_duty_close(usage_duty_t *duty, const usage_t *usage,
		      int64_t time_us);
/** @return the last closed window; 0: none */
int64_t usage_duty_last_closed(const usage_duty_t *duty);

/**
 * Gets the next report to send, from the closed windows.
 * @param now_us time on CLOCK_BOOTTIME
 * @param counts set to the number of requests by account; borrowed
 * @return window of the report; 0: no report is due
 */
int64_t usage_duty_next(const usage_duty_t *duty, int64_t now_us,
			const json_t **counts);
/**
 * Takes in the platform's answer to the report of a window.
 * @param now_us time on CLOCK_BOOTTIME
 */
void usage_duty_answered(usage_duty_t *duty, int64_t window,
			 duty_answer_t answer, int64_t now_us);

#endif

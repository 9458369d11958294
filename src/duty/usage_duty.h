/**
 * @file usage_duty.h
 * What the node with the duty reports of the usage of all nodes. Pure.
 *
 * A window of time is closed once: its counts are fixed, written with the
 * lease of the duty, and only then sent. A successor finds them there and
 * sends the same again, or goes on behind them, so that the platform never
 * gets two different reports of one window.
 */
#ifndef DUTY_USAGE_DUTY_H
#define DUTY_USAGE_DUTY_H

#include <jansson.h>

#include "duty/answer.h"
#include "duty/usage.h"

typedef struct usage_duty usage_duty_t;

typedef struct {
	int64_t window_us;
	int64_t delay_us; /**< after its end, in which a report is due */
} usage_duty_conf_t;

usage_duty_t *usage_duty_create(const usage_duty_conf_t *conf);
void usage_duty_destroy(usage_duty_t *duty);

/** @return the window of a time, in microseconds since 1970. */
int64_t usage_duty_window(const usage_duty_conf_t *conf, int64_t time_us);
/** @return whether a window ended @p after_us ago or longer. */
bool usage_duty_ended(const usage_duty_conf_t *conf, int64_t window,
		      int64_t time_us, int64_t after_us);

/** @return windows, with the present one, that may still be reported. */
int64_t usage_duty_kept(const usage_duty_conf_t *conf);

/** Goes on from what the holder before wrote; NULL: there was none. */
void usage_duty_take_over(usage_duty_t *duty, const json_t *state);
/** @return what a successor needs; a new reference */
json_t *usage_duty_state(const usage_duty_t *duty);

/**
 * Closes the windows whose counts are complete, or that are due.
 * @return whether the state changed
 */
bool usage_duty_close(usage_duty_t *duty, const usage_t *usage,
		      int64_t time_us);
/** @return the last closed window; 0: none */
int64_t usage_duty_closed(const usage_duty_t *duty);

/**
 * The next report to send, of those that were written.
 * @param counts borrowed; requests by account
 * @return its window; 0: none is due
 */
int64_t usage_duty_next(const usage_duty_t *duty, int64_t now_us,
			const json_t **counts);
void usage_duty_answered(usage_duty_t *duty, int64_t window,
			 duty_answer_t answer, int64_t now_us);

#endif

/**
 * @file history.h
 * Writer of the test history, a log of events that tests check: one JSON
 * object per line, see docs/history.md.
 *
 * All functions may be called from any thread. Each line is one write() to a
 * file opened with O_APPEND, so that lines of one file are never mixed.
 */
#ifndef BASE_HISTORY_H
#define BASE_HISTORY_H

#include <stdbool.h>

#include "base/err.h"

/** Codes of ERR_LAYER_BASE that this module uses. */
enum { HISTORY_ERR_OPEN = 100 /**< the file cannot be opened for appending */ };

/**
 * True between a history_open() that opened a file and history_close(). Only
 * history_event() may read the variable.
 */
extern bool history_is_open;

/**
 * Starts the history of this process. Call before other threads start.
 * @param path file to append to; NULL or empty: nothing is recorded
 * @param who  name of the process, for example its VM id
 * @return false if the file cannot be opened, with HISTORY_ERR_OPEN in @p err;
 *         else true, also without a path
 */
bool history_open(const char *path, const char *who, err_t *err);

/** Ends the history. Call after other threads have ended. */
void history_close(void);

/**
 * Writes one event, for example
 * history_event("dispatch", "request=%s attempt=%u", id, attempt).
 * The printf format holds `key=value` pairs separated by spaces, which become
 * the fields of the JSON object: an integer becomes a number, everything else
 * a string. A value with spaces is given in double quotes. Arguments are not
 * evaluated while no history is open.
 */
#define history_event(...)                          \
	do {                                        \
		if (history_is_open)                \
			history_write(__VA_ARGS__); \
	} while (0)

/** Writes one event to the open history; call through history_event() only. */
void history_write(const char *event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif

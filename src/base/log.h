/**
 * @file log.h
 * Numbered log events, written as key=value pairs or JSON through log4c.
 *
 * Event numbers are stable; docs/EVENTS.md lists the events. Secret keys,
 * tokens and prompt text are never logged.
 */
#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <stdbool.h>

#include "base/err.h"

typedef enum {
#define EVENT(number, name, level, message) EVENT_##name = (number),
#include "base/events.def"
#undef EVENT
} event_t;

typedef enum { LOG_ERROR, LOG_WARN, LOG_INFO, LOG_DEBUG } log_level_t;

typedef enum { LOG_FORMAT_KEY_VALUE, LOG_FORMAT_JSON } log_format_t;

/**
 * Opens the log on standard output. Call once, before the first event. Writing
 * never blocks: lines above a rate limit, and lines for which a full pipe has
 * no space, are dropped and counted.
 * @param level least severe level that is written
 * @return false if log4c cannot be set up
 */
bool log_open(log_level_t level, log_format_t format, err_t *err);

/** Closes the log; later events are discarded. */
void log_close(void);

/**
 * Writes one event. The optional printf format holds `key=value` pairs
 * separated by spaces; a value with spaces is given in double quotes.
 */
void log_event(event_t event, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** @return the message of @p event, or NULL if the number is unknown. */
const char *log_event_message(event_t event);

#endif

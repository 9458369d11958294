#include "base/log.h"

#include <inttypes.h>
#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"

enum {
	FIELDS_SIZE_BYTES = 1024,
	LINE_SIZE_BYTES = 2560,
	/* About twice the lines of a node that serves 68 requests/s with 3
	 * lines each; lines above the rate are dropped and counted. */
	LINES_PER_S = 400,
	LINES_BURST = 2000
};

typedef struct {
	event_t event;
	log_level_t level;
	const char *name;
	const char *message;
} event_info_t;

#define LOG_LEVEL_OF(level) LOG_##level

static const event_info_t events[] = {
#define EVENT(number, name, level, message) \
	{ EVENT_##name, LOG_LEVEL_OF(level), #name, message },
#include "base/events.def"
#undef EVENT
};

/* log4c formats into shared buffers, so one thread writes at a time. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static log4c_category_t *category;
static log_format_t line_format;

static int priority_of(log_level_t level)
{
	switch (level) {
	case LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	case LOG_DEBUG:
		return LOG4C_PRIORITY_DEBUG;
	}
	return LOG4C_PRIORITY_ERROR;
}

static const event_info_t *find(event_t event)
{
	size_t i;

	for (i = 0; i < sizeof(events) / sizeof(events[0]); i++)
		if (events[i].event == event)
			return &events[i];
	return NULL;
}

const char *log_event_message(event_t event)
{
	const event_info_t *info = find(event);

	return info ? info->message : NULL;
}

static const char *level_name(log_level_t level)
{
	static const char *const names[] = { "error", "warn", "info", "debug" };

	return names[level];
}

/*
 * Appends @p size bytes of @p text as the inside of a JSON string, truncated
 * near @p end. Returns the new end of the text.
 */
static char *append_json(char *target, const char *end, const char *text,
			 size_t size)
{
	size_t i;

	for (i = 0; i < size && end - target > 8; i++) {
		unsigned char c = (unsigned char)text[i];

		if (c == '"' || c == '\\') {
			*target++ = '\\';
			*target++ = (char)c;
		} else if (c < ' ') {
			target += sprintf(target, "\\u%04x", c);
		} else {
			*target++ = (char)c;
		}
	}
	*target = '\0';
	return target;
}

/* Appends `key=value key="two words"` as JSON members and closes the object. */
static void append_fields(char *target, const char *end, const char *fields)
{
	while (*fields && end - target > 16) {
		size_t key = strcspn(fields, "= "), value;
		const char *start = fields + key;

		target += sprintf(target, ",\"");
		target = append_json(target, end, fields, key);
		target += sprintf(target, "\":\"");
		if (*start == '=')
			start++;
		if (*start == '"') {
			start++;
			value = strcspn(start, "\"");
			fields = start + value + (start[value] == '"');
		} else {
			value = strcspn(start, " ");
			fields = start + value;
		}
		target = append_json(target, end, start, value);
		target += sprintf(target, "\"");
		fields += strspn(fields, " ");
	}
	snprintf(target, (size_t)(end - target), "}");
}

static void format_line(char *line, const event_info_t *info,
			const char *fields)
{
	int64_t now_ms = clock_wall_us() / US_PER_MS;
	int length;

	if (line_format == LOG_FORMAT_KEY_VALUE) {
		snprintf(line, LINE_SIZE_BYTES,
			 "time_ms=%" PRId64 " level=%s event=%d message=\"%s\""
			 "%s%s",
			 now_ms, level_name(info->level), (int)info->event,
			 info->message, *fields ? " " : "", fields);
		return;
	}
	length = snprintf(line, LINE_SIZE_BYTES,
			  "{\"time_ms\":%" PRId64 ",\"level\":\"%s\","
			  "\"event\":%d,\"message\":\"%s\"",
			  now_ms, level_name(info->level), (int)info->event,
			  info->message);
	append_fields(line + length, line + LINE_SIZE_BYTES, fields);
}

/* Token bucket: lines that may be written now, refilled at LINES_PER_S. */
static double lines_left = LINES_BURST;
static int64_t refilled_us;
static int64_t dropped_lines; /* since the last event LOG_DROPPED */

static bool consume_line(void)
{
	int64_t now_us = clock_monotonic_us();

	lines_left +=
		(double)(now_us - refilled_us) * LINES_PER_S / (double)US_PER_S;
	refilled_us = now_us;
	if (lines_left > LINES_BURST)
		lines_left = LINES_BURST;
	if (lines_left < 1)
		return false;
	lines_left--;
	return true;
}

/*
 * Writes without blocking: a pipe that poll() finds writable has space for
 * PIPE_BUF bytes, more than one line. Returns false if the line was not
 * written.
 */
static bool write_line(const char *line)
{
	struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
	char text[LINE_SIZE_BYTES + 1];
	int size = snprintf(text, sizeof(text), "%s\n", line);

	if (size >= (int)sizeof(text))
		size = sizeof(text) - 1;
	return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) &&
	       write(STDOUT_FILENO, text, (size_t)size) == size;
}

static void write_log_dropped(void)
{
	char fields[32], line[LINE_SIZE_BYTES];

	snprintf(fields, sizeof(fields), "count=%" PRId64, dropped_lines);
	format_line(line, find(EVENT_LOG_DROPPED), fields);
	if (write_line(line))
		dropped_lines = 0;
}

static int append_to_stdout(log4c_appender_t *appender,
			    const log4c_logging_event_t *event)
{
	(void)appender;
	if (!consume_line()) {
		dropped_lines++;
		return 0;
	}
	if (dropped_lines)
		write_log_dropped();
	if (!write_line(event->evt_rendered_msg))
		dropped_lines++;
	return 0;
}

static const char *message_only(const log4c_layout_t *layout,
				const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

static const log4c_appender_type_t appender_type = {
	.name = "chivestage_stdout", .append = append_to_stdout
};

static const log4c_layout_type_t layout_type = { .name = "chivestage_message",
						 .format = message_only };

bool log_open(log_level_t level, log_format_t format, err_t *err)
{
	log4c_appender_t *appender;
	log4c_layout_t *layout;

	log4c_appender_type_set(&appender_type);
	log4c_layout_type_set(&layout_type);
	category = log4c_category_get("chivestage");
	appender = log4c_appender_get("chivestage");
	layout = log4c_layout_get("chivestage");
	if (!category || !appender || !layout)
		return err_set(err, ERR_LAYER_BASE, 0,
			       "log4c: cannot create the category, the "
			       "appender or the layout");
	log4c_layout_set_type(layout, &layout_type);
	log4c_appender_set_type(appender, &appender_type);
	log4c_appender_set_layout(appender, layout);
	log4c_category_set_appender(category, appender);
	log4c_category_set_priority(category, priority_of(level));
	line_format = format;
	refilled_us = clock_monotonic_us();
	return true;
}

void log_close(void)
{
	pthread_mutex_lock(&lock);
	category = NULL;
	pthread_mutex_unlock(&lock);
}

void log_event(event_t event, const char *format, ...)
{
	const event_info_t *info = find(event);
	char fields[FIELDS_SIZE_BYTES] = "", line[LINE_SIZE_BYTES];
	va_list args;

	if (!info)
		return;
	if (format) {
		va_start(args, format);
		vsnprintf(fields, sizeof(fields), format, args);
		va_end(args);
	}
	pthread_mutex_lock(&lock);
	if (category && log4c_category_is_priority_enabled(
				category, priority_of(info->level))) {
		format_line(line, info, fields);
		log4c_category_log(category, priority_of(info->level), "%s",
				   line);
	}
	pthread_mutex_unlock(&lock);
}

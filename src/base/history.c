#include "base/history.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"

enum { FIELDS_SIZE_BYTES = 2048, LINE_SIZE_BYTES = 3 * FIELDS_SIZE_BYTES };

bool history_is_open;
static int file = -1;
static char process_name[NAME_SIZE_BYTES];

bool history_open(const char *path, const char *who, err_t *err)
{
	if (!path || !*path)
		return true;
	file = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	if (file < 0)
		return err_set(err, ERR_LAYER_BASE, HISTORY_ERR_OPEN,
			       "open %s: %s", path, strerror(errno));
	mem_strlcpy(process_name, who, sizeof(process_name));
	history_is_open = true;
	return true;
}

void history_close(void)
{
	if (!history_is_open)
		return;
	history_is_open = false;
	close(file);
	file = -1;
}

/*
 * True if @p value can be written as a JSON number: JSON allows no leading
 * zero, and 18 digits always fit into int64_t.
 */
static bool is_integer(const char *value, size_t length)
{
	if (length && *value == '-') {
		value++;
		length--;
	}
	if (!length || length > 18 || (*value == '0' && length > 1))
		return false;
	return strspn(value, "0123456789") >= length;
}

static size_t append_string(char *line, size_t used, const char *value,
			    size_t length)
{
	size_t i;

	line[used++] = '"';
	for (i = 0; i < length && used + 8 < LINE_SIZE_BYTES; i++) {
		unsigned char byte = (unsigned char)value[i];

		if (byte == '"' || byte == '\\')
			line[used++] = '\\';
		line[used++] = (char)(byte < ' ' || byte > '~' ? '?' : byte);
	}
	line[used++] = '"';
	return used;
}

/*
 * Appends `,"key":value` for each pair of @p fields; stops at the first pair
 * without a "=" or without enough space in the line.
 */
static size_t append_fields(char *line, size_t used, const char *fields)
{
	while (*(fields += strspn(fields, " "))) {
		size_t key = strcspn(fields, "=");
		const char *value = fields + key + 1, *end;
		bool quoted;

		if (!fields[key] ||
		    used + key + strlen(value) * 2 + 8 > LINE_SIZE_BYTES)
			break;
		line[used++] = ',';
		used = append_string(line, used, fields, key);
		line[used++] = ':';
		quoted = *value == '"';
		value += quoted;
		end = value + strcspn(value, quoted ? "\"" : " ");
		if (!quoted && is_integer(value, (size_t)(end - value))) {
			memcpy(line + used, value, (size_t)(end - value));
			used += (size_t)(end - value);
		} else {
			used = append_string(line, used, value,
					     (size_t)(end - value));
		}
		fields = end + (quoted && *end);
	}
	return used;
}

void history_write(const char *event, const char *format, ...)
{
	char fields[FIELDS_SIZE_BYTES], line[LINE_SIZE_BYTES];
	va_list args;
	size_t used;
	ssize_t written;

	va_start(args, format);
	vsnprintf(fields, sizeof(fields), format, args);
	va_end(args);
	used = (size_t)snprintf(line, 256,
				"{\"t_us\":%" PRId64
				",\"who\":\"%s\",\"event\":\"%.64s\"",
				clock_monotonic_us(), process_name, event);
	used = append_fields(line, used, fields);
	line[used++] = '}';
	line[used++] = '\n';
	written = write(file, line, used);
	/* The history serves tests only: a full disk must fail no call. */
	(void)written;
}

#include "request/sse.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

/* @return @p at, or the first byte after it that begins no blank line */
static const char *skip_blank_lines(const char *at, const char *end)
{
	while (at < end) {
		if (*at == '\n')
			at++;
		else if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
			at += 2;
		else
			break;
	}
	return at;
}

/*
 * Finds the end of the first event: two line ends in a row, each "\n" or
 * "\r\n". Further blank lines belong to the event, so that many of them are not
 * handled one by one.
 * @param from offset from which the end is searched
 * @return size of the event with the blank lines in bytes; 0 if no end is found
 */
static size_t event_size(const char *data, size_t size, size_t from)
{
	const char *end = data + size, *at = data + from;

	while ((at = memchr(at, '\n', (size_t)(end - at)))) {
		at++;
		if (skip_blank_lines(at, end) > at)
			return (size_t)(skip_blank_lines(at, end) - data);
	}
	return 0;
}

/* Sets the data of the event to the value of its first `data` line. */
static void find_data(sse_event_t *event)
{
	const char *line = event->raw, *end = event->raw + event->raw_size;

	event->data = event->raw;
	event->data_size = 0;
	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));
		size_t size = (size_t)((stop ? stop : end) - line);

		if (size && line[size - 1] == '\r')
			size--;
		if (size >= 5 && !memcmp(line, "data:", 5)) {
			size_t skip = size > 5 && line[5] == ' ' ? 6 : 5;

			event->data = line + skip;
			event->data_size = size - skip;
			return;
		}
		line = stop ? stop + 1 : end;
	}
}

static bool emit_event(const char *raw, size_t size, sse_handler_t on_event,
		       void *context)
{
	sse_event_t event = { .raw = raw, .raw_size = size };

	find_data(&event);
	return on_event(context, &event);
}

/*
 * Appends to the start of an event whose end has not arrived.
 * @return false if the event is longer than SSE_EVENT_MAX_BYTES
 */
static bool hold_partial(sse_t *sse, const char *data, size_t size)
{
	size_t needed = sse->held_size + size;

	if (needed > SSE_EVENT_MAX_BYTES)
		return false;
	if (needed > sse->held_capacity) {
		sse->held_capacity = needed * 2;
		sse->held = mem_realloc(sse->held, sse->held_capacity, 1);
	}
	if (size)
		memcpy(sse->held + sse->held_size, data, size);
	sse->held_size = needed;
	return true;
}

/*
 * Appends new data to the held start of an event, and passes the event to the
 * handler if it is complete then.
 * @param used receives the number of bytes of @p data that belong to the event
 */
static sse_result_t complete_held(sse_t *sse, const char *data, size_t size,
				  size_t *used, sse_handler_t on_event,
				  void *context)
{
	/* Up to 3 bytes of the end, "\r\n\r\n", can be held already. */
	size_t before = sse->held_size, from = before > 3 ? before - 3 : 0;
	size_t take = size, length;
	bool more;
	char *event;

	if (take > SSE_EVENT_MAX_BYTES - before)
		take = SSE_EVENT_MAX_BYTES - before;
	hold_partial(sse, data, take);
	length = event_size(sse->held, sse->held_size, from);
	*used = take;
	if (!length)
		return take < size ? SSE_TOO_LONG : SSE_OK;
	*used = length - before;
	/* The handler may free the splitter. */
	event = sse->held;
	sse->held = NULL;
	sse->held_size = sse->held_capacity = 0;
	more = emit_event(event, length, on_event, context);
	free(event);
	return more ? SSE_OK : SSE_STOPPED;
}

sse_result_t sse_feed(sse_t *sse, const char *data, size_t size,
		      sse_handler_t on_event, void *context)
{
	size_t used = 0;

	if (sse->held_size) {
		sse_result_t result = complete_held(sse, data, size, &used,
						    on_event, context);

		if (result != SSE_OK)
			return result;
	}
	while (used < size) {
		size_t length = event_size(data + used, size - used, 0);

		if (!length)
			break;
		if (!emit_event(data + used, length, on_event, context))
			return SSE_STOPPED;
		used += length;
	}
	if (used == size)
		return SSE_OK;
	return hold_partial(sse, data + used, size - used) ? SSE_OK
							   : SSE_TOO_LONG;
}

void sse_reset(sse_t *sse)
{
	sse->held_size = 0;
}

void sse_clear(sse_t *sse)
{
	free(sse->held);
	memset(sse, 0, sizeof(*sse));
}

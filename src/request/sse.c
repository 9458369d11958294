#include "request/sse.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

/*
 * Finds the end of the first event: two line ends in a row, each "\n" or
 * "\r\n". Returns the size with the blank line, or 0.
 */
static size_t event_size(const char *data, size_t size, size_t from)
{
	const char *end = data + size, *at = data + from;

	while ((at = memchr(at, '\n', (size_t)(end - at)))) {
		at++;
		if (at < end && *at == '\n')
			return (size_t)(at - data) + 1;
		if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
			return (size_t)(at - data) + 2;
	}
	return 0;
}

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

static bool hand_out(const char *raw, size_t size, sse_each_t each,
		     void *context)
{
	sse_event_t event = { .raw = raw, .raw_size = size };

	find_data(&event);
	return each(context, &event);
}

static bool hold(sse_t *sse, const char *data, size_t size)
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
 * Completes the held event from new data.
 * @param used bytes of @p data that belong to it
 */
static sse_result_t finish_held(sse_t *sse, const char *data, size_t size,
				size_t *used, sse_each_t each, void *context)
{
	size_t before = sse->held_size, from = before > 3 ? before - 3 : 0;
	size_t take = size, length;
	bool more;
	char *event;

	if (take > SSE_EVENT_MAX_BYTES - before)
		take = SSE_EVENT_MAX_BYTES - before;
	hold(sse, data, take);
	length = event_size(sse->held, sse->held_size, from);
	*used = take;
	if (!length)
		return take < size ? SSE_TOO_LONG : SSE_OK;
	*used = length - before;
	/* The handler may free the splitter. */
	event = sse->held;
	sse->held = NULL;
	sse->held_size = sse->held_capacity = 0;
	more = hand_out(event, length, each, context);
	free(event);
	return more ? SSE_OK : SSE_STOPPED;
}

sse_result_t sse_feed(sse_t *sse, const char *data, size_t size,
		      sse_each_t each, void *context)
{
	size_t used = 0;

	if (sse->held_size) {
		sse_result_t result =
			finish_held(sse, data, size, &used, each, context);

		if (result != SSE_OK)
			return result;
	}
	while (used < size) {
		size_t length = event_size(data + used, size - used, 0);

		if (!length)
			break;
		if (!hand_out(data + used, length, each, context))
			return SSE_STOPPED;
		used += length;
	}
	if (used == size)
		return SSE_OK;
	return hold(sse, data + used, size - used) ? SSE_OK : SSE_TOO_LONG;
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

/**
 * @file sse.h
 * Splits a byte stream into server-sent events. Pure.
 *
 * An event that lies whole in one piece of input is handed out in place;
 * only an event cut by the end of a piece is copied.
 */
#ifndef REQUEST_SSE_H
#define REQUEST_SSE_H

#include <stdbool.h>
#include <stddef.h>

enum { SSE_EVENT_MAX_BYTES = 64 * 1024 };

typedef struct {
	char *held; /**< start of an event whose end has not arrived */
	size_t held_size, held_capacity;
} sse_t;

/** One event. */
typedef struct {
	const char *raw; /**< all bytes, with the blank line at the end */
	size_t raw_size;
	const char *data; /**< value of the first `data` line */
	size_t data_size;
} sse_event_t;

/** Handles one event; false stops the splitting. */
typedef bool (*sse_each_t)(void *context, const sse_event_t *event);

typedef enum {
	SSE_OK,
	SSE_STOPPED, /**< by the handler; the splitter may be gone */
	SSE_TOO_LONG /**< an event above SSE_EVENT_MAX_BYTES */
} sse_result_t;

sse_result_t sse_feed(sse_t *sse, const char *data, size_t size,
		      sse_each_t each, void *context);

/** Forgets a partial event. */
void sse_reset(sse_t *sse);

void sse_clear(sse_t *sse);

#endif

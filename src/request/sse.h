/**
 * @file sse.h
 * Splits a byte stream into server-sent events. Performs no I/O.
 *
 * An event that is complete in one piece of input is passed to the handler
 * without a copy; only an event that continues in the next piece is copied.
 */
#ifndef REQUEST_SSE_H
#define REQUEST_SSE_H

#include <stdbool.h>
#include <stddef.h>

/** Size limit of an event that arrives in several pieces of input. */
enum { SSE_EVENT_MAX_BYTES = 64 * 1024 };

/** A splitter; all zero is its initial state. */
typedef struct {
	char *held; /**< start of an event whose end has not arrived; owned */
	size_t held_size, held_capacity; /**< in bytes */
} sse_t;

/** One event. Its pointers are valid while the handler runs. */
typedef struct {
	const char *raw; /**< bytes of the event with the blank line */
	size_t raw_size; /**< in bytes */
	const char *data; /**< value of the first `data` line */
	size_t data_size; /**< in bytes; 0 if the event has no `data` line */
} sse_event_t;

/**
 * Handles one event.
 * @return false to stop sse_feed(); the handler may then free the splitter
 */
typedef bool (*sse_handler_t)(void *context, const sse_event_t *event);

typedef enum {
	SSE_OK, /**< all input was used or held */
	SSE_STOPPED, /**< the handler returned false */
	SSE_TOO_LONG /**< an event in pieces exceeds SSE_EVENT_MAX_BYTES */
} sse_result_t;

/**
 * Passes each event that ends in @p data to @p on_event. After a result other
 * than SSE_OK the rest of @p data is lost.
 */
sse_result_t sse_feed(sse_t *sse, const char *data, size_t size,
		      sse_handler_t on_event, void *context);

/** Discards the start of an event whose end has not arrived. */
void sse_reset(sse_t *sse);

/** Frees the buffer of the splitter. */
void sse_clear(sse_t *sse);

#endif

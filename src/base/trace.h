/**
 * @file trace.h
 * Spans of requests, W3C trace context, and a bounded queue for export.
 * All functions may be called from any thread.
 */
#ifndef BASE_TRACE_H
#define BASE_TRACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum { TRACE_PARENT_SIZE_BYTES = 56 };

/** Ids of one span and of the trace that the span belongs to. */
typedef struct {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	uint8_t flags; /**< trace flags of W3C trace context */
} trace_context_t;

/** One finished span; times are wall-clock microseconds. */
typedef struct {
	trace_context_t context;
	uint8_t parent_id[8]; /**< all 0 for a root span */
	const char *name; /**< static string: accept, admit, connect, ... */
	int64_t start_us;
	int64_t end_us;
	bool failed;
	char detail[64]; /**< name of the selected server; may be empty */
} span_t;

/** Starts a new trace with a random trace id and span id. */
void trace_context_new(trace_context_t *context);

/** Sets @p child to a new span of the trace of @p parent. */
void trace_context_child(const trace_context_t *parent, trace_context_t *child);

/**
 * Parses a traceparent header.
 * @return false if @p header is NULL or malformed; @p context is unchanged then
 */
bool trace_context_parse(const char *header, trace_context_t *context);

/** Formats @p context as the value of a traceparent header. */
void trace_context_format(const trace_context_t *context,
			  char text[TRACE_PARENT_SIZE_BYTES]);

/**
 * Turns the recording of spans on (the default) or off. Turn recording off if
 * no exporter takes spans from the queue.
 */
void trace_enable(bool enabled);

/** Queues a finished span; drops and counts the span if the queue is full. */
void trace_record(const span_t *span);

/**
 * Moves up to @p capacity spans from the queue to @p spans.
 * @return the number of spans
 */
size_t trace_take(span_t *spans, size_t capacity);

/** @return an OTLP/JSON body for @p spans; the caller frees it. */
char *trace_render_otlp(const span_t *spans, size_t count,
			const char *service_instance);

#endif

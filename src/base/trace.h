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

/** Identifies one span within one trace. */
typedef struct {
	uint8_t trace_id[16];
	uint8_t span_id[8];
	uint8_t flags;
} trace_context_t;

/** One finished span; times are wall-clock microseconds. */
typedef struct {
	trace_context_t context;
	uint8_t parent_id[8]; /**< all zero for a root span */
	const char *name; /**< static string: accept, admit, connect, ... */
	int64_t start_us;
	int64_t end_us;
	bool failed;
	char detail[64]; /**< server, code or empty */
} span_t;

/** Starts a trace of its own with random ids. */
void trace_context_new(trace_context_t *context);

/** Makes a child of @p parent: same trace, new span id. */
void trace_context_child(const trace_context_t *parent, trace_context_t *child);

/** Parses a traceparent header; false if it is malformed. */
bool trace_context_parse(const char *header, trace_context_t *context);

/** Writes the traceparent header of @p context. */
void trace_context_format(const trace_context_t *context,
			  char text[TRACE_PARENT_SIZE_BYTES]);

/** Turns recording on (the default) or off, when nothing exports spans. */
void trace_enable(bool enabled);

/** Queues a finished span; drops and counts it if the queue is full. */
void trace_record(const span_t *span);

/** Takes up to @p capacity spans from the queue. @return their number. */
size_t trace_take(span_t *spans, size_t capacity);

/** @return an OTLP/JSON body for @p spans; the caller frees it. */
char *trace_render_otlp(const span_t *spans, size_t count,
			const char *service_instance);

#endif

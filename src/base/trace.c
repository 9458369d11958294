#include "base/trace.h"

#include <inttypes.h>
#include <jansson.h>
#include <pthread.h>
#include <sodium.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "base/mem.h"
#include "base/metrics.h"

enum { QUEUE_SPANS = 4096, HEX_SIZE_BYTES = 33 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Ring buffer of finished spans. */
static span_t queue[QUEUE_SPANS];
static size_t queue_head, queue_count;
static atomic_bool recording = true;

void trace_enable(bool enabled)
{
	atomic_store(&recording, enabled);
}

void trace_context_new(trace_context_t *context)
{
	randombytes_buf(context->trace_id, sizeof(context->trace_id));
	randombytes_buf(context->span_id, sizeof(context->span_id));
	context->flags = 1;
}

void trace_context_child(const trace_context_t *parent, trace_context_t *child)
{
	trace_context_t context = *parent;

	randombytes_buf(context.span_id, sizeof(context.span_id));
	*child = context;
}

static bool parse_hex(const char *text, uint8_t *target, size_t size)
{
	size_t length;

	if (strspn(text, "0123456789abcdef") < 2 * size)
		return false;
	return !sodium_hex2bin(target, size, text, 2 * size, NULL, &length,
			       NULL) &&
	       length == size;
}

bool trace_context_parse(const char *header, trace_context_t *context)
{
	trace_context_t parsed;
	uint8_t version;

	/* VERSION-TRACEID-SPANID-FLAGS: 2, 32, 16 and 2 hex digits */
	if (!header || strlen(header) < 55 || header[2] != '-' ||
	    header[35] != '-' || header[52] != '-')
		return false;
	if (!parse_hex(header, &version, 1) || version == 0xff ||
	    (version == 0 && header[55]) ||
	    !parse_hex(header + 3, parsed.trace_id, 16) ||
	    !parse_hex(header + 36, parsed.span_id, 8) ||
	    !parse_hex(header + 53, &parsed.flags, 1))
		return false;
	if (sodium_is_zero(parsed.trace_id, 16) ||
	    sodium_is_zero(parsed.span_id, 8))
		return false;
	*context = parsed;
	return true;
}

void trace_context_format(const trace_context_t *context,
			  char text[TRACE_PARENT_SIZE_BYTES])
{
	char trace_id[33], span_id[17];

	sodium_bin2hex(trace_id, sizeof(trace_id), context->trace_id, 16);
	sodium_bin2hex(span_id, sizeof(span_id), context->span_id, 8);
	snprintf(text, TRACE_PARENT_SIZE_BYTES, "00-%s-%s-%02x", trace_id,
		 span_id, context->flags);
}

void trace_record(const span_t *span)
{
	if (!atomic_load(&recording))
		return;
	pthread_mutex_lock(&lock);
	if (queue_count == QUEUE_SPANS) {
		metrics_add(METRIC_SPANS_DROPPED, 1);
	} else {
		queue[(queue_head + queue_count) % QUEUE_SPANS] = *span;
		queue_count++;
	}
	pthread_mutex_unlock(&lock);
}

size_t trace_take(span_t *spans, size_t capacity)
{
	size_t taken = 0;

	pthread_mutex_lock(&lock);
	while (taken < capacity && queue_count) {
		spans[taken++] = queue[queue_head];
		queue_head = (queue_head + 1) % QUEUE_SPANS;
		queue_count--;
	}
	pthread_mutex_unlock(&lock);
	return taken;
}

static json_t *nanoseconds(int64_t time_us)
{
	char text[32];

	/* OTLP/JSON writes 64-bit integers as decimal strings. */
	snprintf(text, sizeof(text), "%" PRId64 "000", time_us);
	return json_string(text);
}

static json_t *attribute(const char *key, const char *value)
{
	return json_pack("{s:s,s:{s:s}}", "key", key, "value", "stringValue",
			 value);
}

static json_t *render_span(const span_t *span)
{
	enum { KIND_SERVER = 2, STATUS_OK = 1, STATUS_ERROR = 2 };
	char trace_id[33], span_id[17];
	char parent_id[HEX_SIZE_BYTES] = "";
	json_t *json;

	sodium_bin2hex(trace_id, sizeof(trace_id), span->context.trace_id, 16);
	sodium_bin2hex(span_id, sizeof(span_id), span->context.span_id, 8);
	if (!sodium_is_zero(span->parent_id, 8))
		sodium_bin2hex(parent_id, sizeof(parent_id), span->parent_id,
			       8);
	json = json_pack("{s:s,s:s,s:s,s:s,s:i,s:o,s:o,s:{s:i}}", "traceId",
			 trace_id, "spanId", span_id, "parentSpanId", parent_id,
			 "name", span->name, "kind", KIND_SERVER,
			 "startTimeUnixNano", nanoseconds(span->start_us),
			 "endTimeUnixNano", nanoseconds(span->end_us), "status",
			 "code", span->failed ? STATUS_ERROR : STATUS_OK);
	if (*span->detail)
		json_object_set_new(
			json, "attributes",
			json_pack("[o]", attribute("detail", span->detail)));
	return json;
}

char *trace_render_otlp(const span_t *spans, size_t count,
			const char *service_instance)
{
	json_t *list = json_array(), *root;
	size_t i;
	char *text;

	for (i = 0; i < count; i++)
		json_array_append_new(list, render_span(&spans[i]));
	root = json_pack("{s:[{s:{s:[o,o]},s:[{s:{s:s},s:o}]}]}",
			 "resourceSpans", "resource", "attributes",
			 attribute("service.name", "chivestaged"),
			 attribute("service.instance.id", service_instance),
			 "scopeSpans", "scope", "name", "chivestage", "spans",
			 list);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text ? text : mem_strdup("{}");
}

/**
 * Formats of log lines, metrics, trace headers and spans. Also guards against
 * telemetry that blocks the node, or that uses unbounded memory, when nobody
 * reads the output.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "base/log.h"
#include "base/metrics.h"
#include "base/trace.h"
#include "cases.h"

static const struct {
	const char *header;
	bool valid;
} headers[] = {
	{ "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", true },
	{ "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x", true },
	{ "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x", false },
	{ "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false },
	{ "00-00000000000000000000000000000000-b7ad6b7169203331-01", false },
	{ "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01", false },
	{ "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", false },
	{ "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331", false },
	{ "", false },
};

static void parses_only_valid_trace_headers(void **state)
{
	char text[TRACE_PARENT_SIZE_BYTES];
	trace_context_t context, child;
	size_t i;

	for (i = 0; i < COUNT_OF(headers); i++)
		assert_int_equal(trace_context_parse(headers[i].header,
						     &context),
				 headers[i].valid);
	assert_false(trace_context_parse(NULL, &context));
	trace_context_new(&context);
	trace_context_child(&context, &child);
	assert_memory_equal(context.trace_id, child.trace_id, 16);
	assert_memory_not_equal(context.span_id, child.span_id, 8);
	trace_context_format(&child, text);
	assert_true(trace_context_parse(text, &context));
	assert_memory_equal(&context, &child, sizeof(context));
}

/*
 * Guards against unbounded memory while the span exporter is down: spans beyond
 * the queue are dropped and counted.
 */
static void drops_and_counts_spans_beyond_the_queue(void **state)
{
	static span_t taken[8192];
	span_t span = { .name = "accept" };
	int64_t dropped = metrics_get(METRIC_SPANS_DROPPED);
	int i;

	for (i = 0; i < 5000; i++)
		trace_record(&span);
	assert_int_equal(metrics_get(METRIC_SPANS_DROPPED) - dropped, 904);
	assert_int_equal(trace_take(taken, COUNT_OF(taken)), 4096);
	assert_int_equal(trace_take(taken, COUNT_OF(taken)), 0);
}

static void renders_spans_as_otlp_json(void **state)
{
	span_t span = { .name = "connect",
			.start_us = 1,
			.end_us = 2,
			.failed = true,
			.detail = "e1" };
	char *text;
	json_t *root, *spans;

	trace_context_new(&span.context);
	text = trace_render_otlp(&span, 1, "vm-1");
	root = json_loads(text, 0, NULL);
	assert_non_null(root);
	spans = json_object_get(
		json_array_get(
			json_object_get(
				json_array_get(json_object_get(root,
							       "resourceSpans"),
					       0),
				"scopeSpans"),
			0),
		"spans");
	assert_int_equal(json_array_size(spans), 1);
	assert_string_equal(
		json_string_value(json_object_get(json_array_get(spans, 0),
						  "endTimeUnixNano")),
		"2000");
	json_decref(root);
	free(text);
}

static void renders_metrics_by_prompt_length(void **state)
{
	char *text;

	metrics_ttft(1000, "quick", 3000);
	metrics_ttft(1000, "quick", 7000000);
	metrics_ttft(200000, "quick", 900000000);
	text = metrics_render();
	assert_non_null(strstr(text, "# TYPE chivestage_requests_total "
				     "counter\n"));
	assert_non_null(strstr(text, "_bucket{class=\"quick\",prompt=\"to_4k\""
				     ",le=\"0.005\"} 1\n"));
	assert_non_null(strstr(text, "_count{class=\"quick\",prompt="
				     "\"to_4k\"} 2\n"));
	assert_non_null(strstr(text, "prompt=\"above_100k\",le=\"300\"} 0\n"));
	assert_non_null(strstr(text, "prompt=\"above_100k\",le=\"+Inf\"} 1\n"));
	free(text);
}

/*
 * Writes one log event while standard output is a pipe, and returns the written
 * text in @p line.
 */
static void capture(log_format_t format, char *line, size_t size)
{
	int saved = dup(STDOUT_FILENO), pipe_fds[2];
	ssize_t count;

	assert_int_equal(pipe(pipe_fds), 0);
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	assert_true(log_open(LOG_INFO, format, NULL));
	log_event(EVENT_START_FAILED,
		  "file=a.yaml problem=\"no \\ such file\"");
	log_close();
	dup2(saved, STDOUT_FILENO);
	count = read(pipe_fds[0], line, size - 1);
	assert_true(count > 0);
	line[count] = '\0';
	close(saved);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

static void writes_events_in_both_formats(void **state)
{
	char line[1024];
	json_t *json;

	capture(LOG_FORMAT_KEY_VALUE, line, sizeof(line));
	assert_non_null(strstr(line, " level=error event=102 message=\"start "
				     "failed\" file=a.yaml problem="));
	capture(LOG_FORMAT_JSON, line, sizeof(line));
	json = json_loads(line, 0, NULL);
	assert_non_null(json);
	assert_int_equal(json_integer_value(json_object_get(json, "event")),
			 102);
	assert_string_equal(json_string_value(json_object_get(json, "problem")),
			    "no \\ such file");
	json_decref(json);
}

/*
 * Guards against a node that blocks when nobody reads its log: the pipe fills
 * up, further lines are dropped, and a later line gives their number.
 */
static void never_blocks_on_the_log(void **state)
{
	int saved = dup(STDOUT_FILENO), pipe_fds[2], i;
	static char text[128 * 1024];
	ssize_t count;

	assert_int_equal(pipe(pipe_fds), 0);
	fflush(stdout);
	dup2(pipe_fds[1], STDOUT_FILENO);
	assert_true(log_open(LOG_INFO, LOG_FORMAT_KEY_VALUE, NULL));
	for (i = 0; i < 1500; i++)
		log_event(EVENT_START_FAILED, "number=%d", i);
	count = read(pipe_fds[0], text, sizeof(text) - 1);
	log_event(EVENT_START_FAILED, "number=%d", i);
	assert_true(count > 0 && count < (ssize_t)sizeof(text) - 1);
	count = read(pipe_fds[0], text, sizeof(text) - 1);
	dup2(saved, STDOUT_FILENO);
	log_close();
	text[count] = '\0';
	assert_non_null(strstr(text, "log lines dropped\" count="));
	assert_non_null(strstr(text, "number=1500"));
	close(saved);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(parses_only_valid_trace_headers),
		cmocka_unit_test(drops_and_counts_spans_beyond_the_queue),
		cmocka_unit_test(renders_spans_as_otlp_json),
		cmocka_unit_test(renders_metrics_by_prompt_length),
		cmocka_unit_test(writes_events_in_both_formats),
		cmocka_unit_test(never_blocks_on_the_log),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

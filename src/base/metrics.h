/**
 * @file metrics.h
 * Counters, gauges and the time-to-first-token histogram of the process.
 * All functions may be called from any thread.
 */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include <stddef.h>
#include <stdint.h>

typedef enum {
#define COUNTER(name, text, help) METRIC_##name,
#define GAUGE(name, text, help) METRIC_##name,
#include "base/metrics.def"
#undef COUNTER
#undef GAUGE
	METRIC_COUNT
} metric_t;

/** Adds @p amount, which may be negative for a gauge only. */
void metrics_add(metric_t metric, int64_t amount);

/** Sets a gauge. */
void metrics_set(metric_t metric, int64_t value);

/** @return the current value of a counter or gauge. */
int64_t metrics_get(metric_t metric);

/**
 * Records one time to first token in the histogram.
 * @param prompt_tokens selects the prompt-length band
 * @param class_name    label of the priority class; the first
 *                      METRICS_CLASSES_MAX names have a label of their own,
 *                      later names are counted under "other"
 */
void metrics_ttft(int64_t prompt_tokens, const char *class_name,
		  int64_t ttft_us);

enum { METRICS_CLASSES_MAX = 16 };

/**
 * Renders all metrics as Prometheus text.
 * @return a NUL-terminated buffer that the caller frees
 */
char *metrics_render(void);

#endif

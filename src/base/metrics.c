#include "base/metrics.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"

typedef struct {
	const char *name;
	const char *type;
	const char *help;
} metric_info_t;

static const metric_info_t infos[] = {
#define COUNTER(name, text, help) { text, "counter", help },
#define GAUGE(name, text, help) { text, "gauge", help },
#include "base/metrics.def"
#undef COUNTER
#undef GAUGE
};

static _Atomic int64_t values[METRIC_COUNT];

/* Upper limits of the histogram buckets; the last bucket has no limit. */
static const int64_t bucket_limits_us[] = {
	1000,	 2000,	   5000,     10000,    20000,	 50000,
	100000,	 200000,   400000,   780000,   1500000,	 3000000,
	6000000, 15000000, 30000000, 60000000, 300000000
};

enum {
	BUCKETS = sizeof(bucket_limits_us) / sizeof(bucket_limits_us[0]) + 1,
	BANDS = 4
};

/* Bands of prompt length; the names are the values of the label `prompt`. */
static const struct {
	const char *name;
	int64_t max_tokens;
} bands[BANDS] = {
	{ "to_4k", 4000 },
	{ "to_32k", 32000 },
	{ "to_100k", 100000 },
	{ "above_100k", INT64_MAX },
};

/* Histogram of one class; a class without a name is an unused entry. */
typedef struct {
	char class_name[NAME_SIZE_BYTES];
	int64_t buckets[BANDS][BUCKETS];
	int64_t sum_us[BANDS];
} ttft_t;

static pthread_mutex_t ttft_lock = PTHREAD_MUTEX_INITIALIZER;
static ttft_t ttft[METRICS_CLASSES_MAX + 1] = {
	[METRICS_CLASSES_MAX] = { .class_name = "other" }
};

void metrics_add(metric_t metric, int64_t amount)
{
	atomic_fetch_add_explicit(&values[metric], amount,
				  memory_order_relaxed);
}

void metrics_set(metric_t metric, int64_t value)
{
	atomic_store_explicit(&values[metric], value, memory_order_relaxed);
}

int64_t metrics_get(metric_t metric)
{
	return atomic_load_explicit(&values[metric], memory_order_relaxed);
}

/*
 * Finds or adds a class; returns the entry "other" if the table is full. The
 * caller holds ttft_lock.
 */
static ttft_t *find_class(const char *class_name)
{
	int i;

	for (i = 0; i < METRICS_CLASSES_MAX; i++) {
		if (!*ttft[i].class_name)
			mem_strlcpy(ttft[i].class_name, class_name,
				    NAME_SIZE_BYTES);
		if (!strcmp(ttft[i].class_name, class_name))
			return &ttft[i];
	}
	return &ttft[METRICS_CLASSES_MAX];
}

void metrics_ttft(int64_t prompt_tokens, const char *class_name,
		  int64_t ttft_us)
{
	int band = 0, bucket = 0;
	ttft_t *entry;

	while (prompt_tokens > bands[band].max_tokens)
		band++;
	while (bucket < BUCKETS - 1 && ttft_us > bucket_limits_us[bucket])
		bucket++;
	pthread_mutex_lock(&ttft_lock);
	entry = find_class(class_name);
	entry->buckets[band][bucket]++;
	entry->sum_us[band] += ttft_us;
	pthread_mutex_unlock(&ttft_lock);
}

#define TTFT_NAME "chivestage_ttft_seconds"

static void render_labels(FILE *out, const char *suffix, const ttft_t *entry,
			  int band)
{
	fprintf(out, TTFT_NAME "%s{class=\"%s\",prompt=\"%s\"", suffix,
		entry->class_name, bands[band].name);
}

static void render_band(FILE *out, const ttft_t *entry, int band)
{
	int64_t count = 0;
	int i;

	for (i = 0; i < BUCKETS; i++) {
		count += entry->buckets[band][i];
		render_labels(out, "_bucket", entry, band);
		fprintf(out, ",le=\"");
		if (i == BUCKETS - 1)
			fprintf(out, "+Inf");
		else
			fprintf(out, "%g",
				(double)bucket_limits_us[i] / (double)US_PER_S);
		fprintf(out, "\"} %" PRId64 "\n", count);
	}
	render_labels(out, "_sum", entry, band);
	fprintf(out, "} %g\n", (double)entry->sum_us[band] / (double)US_PER_S);
	render_labels(out, "_count", entry, band);
	fprintf(out, "} %" PRId64 "\n", count);
}

static void render_ttft(FILE *out)
{
	int i, band;

	fprintf(out, "# HELP " TTFT_NAME
		     " Time to first token by prompt length and class.\n"
		     "# TYPE " TTFT_NAME " histogram\n");
	pthread_mutex_lock(&ttft_lock);
	for (i = 0; i <= METRICS_CLASSES_MAX; i++)
		for (band = 0; band < BANDS; band++)
			if (ttft[i].sum_us[band])
				render_band(out, &ttft[i], band);
	pthread_mutex_unlock(&ttft_lock);
}

char *metrics_render(void)
{
	char *text = NULL;
	size_t size;
	FILE *out = open_memstream(&text, &size);
	int i;

	if (!out)
		return mem_strdup("");
	for (i = 0; i < METRIC_COUNT; i++)
		fprintf(out, "# HELP %s %s\n# TYPE %s %s\n%s %" PRId64 "\n",
			infos[i].name, infos[i].help, infos[i].name,
			infos[i].type, infos[i].name, metrics_get(i));
	render_ttft(out);
	fclose(out);
	return text;
}

#include "lib_batch.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"
#include "lib/tokens.h"
#include "lib_http.h"
#include "request/prefix_hash.h"

enum {
	REPORTS = 64, /* load reports kept for report_lag_ms */
	PEER_TIMEOUT_MS = 500, /* timeout of a request to another engine */
	BLOCKS_MAX = 16384, /* blocks in the prefix cache */
	EVENTS_MAX = 16384 /* cache events kept for /v1/cache_events */
};

typedef struct {
	uint64_t block;
	bool stored; /**< false: evicted */
} cache_event_t;

static json_t *reports[REPORTS]; /* ring of load reports */
static int64_t report_count, reported_us;
static uint64_t blocks[BLOCKS_MAX]; /* ring: the oldest block is evicted */
static int64_t block_count; /* blocks stored since the cache was cleared */
static cache_event_t events[EVENTS_MAX]; /* ring, by sequence number */
static int64_t last_sequence;

static bool is_cached(uint64_t block)
{
	int64_t i;

	for (i = 0; i < BLOCKS_MAX && i < block_count; i++)
		if (blocks[i] == block)
			return true;
	return false;
}

static void add_event(uint64_t block, bool stored)
{
	cache_event_t *event = &events[++last_sequence % EVENTS_MAX];

	event->block = block;
	event->stored = stored;
}

static void cache_block(uint64_t block)
{
	uint64_t *slot = &blocks[block_count % BLOCKS_MAX];

	if (block_count++ >= BLOCKS_MAX)
		add_event(*slot, false);
	*slot = block;
	add_event(block, true);
}

int64_t batch_cache_prompt(const char *prompt, size_t size, const char *salt)
{
	prefix_hash_t hash;
	int64_t cached = 0;
	bool hit = true;
	size_t i;

	prefix_hash_init(&hash, salt, BLOCKS_MAX);
	prefix_hash_add(&hash, prompt, size);
	for (i = 0; i < hash.count; i++) {
		hit = hit && is_cached(hash.blocks[i]);
		if (hit)
			cached += PREFIX_BLOCK_SIZE_BYTES /
				  PROMPT_BYTES_PER_TOKEN;
		else
			cache_block(hash.blocks[i]);
	}
	prefix_hash_clear(&hash);
	return cached;
}

json_t *batch_cache_events(int64_t after)
{
	json_t *list = json_array();
	int64_t sequence = last_sequence - EVENTS_MAX + 1;
	char block[20];

	if (sequence <= after)
		sequence = after + 1;
	for (; sequence > 0 && sequence <= last_sequence; sequence++) {
		const cache_event_t *event = &events[sequence % EVENTS_MAX];

		if (batch_conf.event_loss_nth &&
		    sequence % batch_conf.event_loss_nth == 0)
			continue;
		snprintf(block, sizeof(block), "%016" PRIx64, event->block);
		json_array_append_new(
			list,
			json_pack("{s:I,s:s,s:s}", "sequence", sequence, "type",
				  event->stored ? "stored" : "evicted", "block",
				  block));
	}
	return json_pack("{s:I,s:o}", "incarnation", batch.incarnation,
			 "events", list);
}

void batch_clear_cache(void)
{
	block_count = 0;
	last_sequence = 0;
}

void batch_free_reports(void)
{
	for (report_count = 0; report_count < REPORTS; report_count++)
		json_decref(reports[report_count]);
}

static json_t *new_report(int64_t now_us)
{
	int64_t queued = 0, running = 0;
	double left = 0;
	const stream_t *stream;

	for (stream = batch.streams; stream; stream = stream->next) {
		running += stream->state == STREAM_DECODE;
		queued += stream->state == STREAM_PREFILL;
		left += stream->prefill_left * stream_is_running(stream);
	}
	return json_pack("{s:I,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:[s],s:s,s:b,s:I}",
			 "incarnation", batch.incarnation, "cold", batch.cold,
			 "kv_total", batch_conf.kv_tokens, "kv_used",
			 batch.kv_used, "running", running, "queued", queued,
			 "prefill_tokens_queued", (json_int_t)left,
			 "prefill_tokens_per_s",
			 batch_conf.prefill_tokens_per_s, "models",
			 batch_conf.model, "role", batch_conf.role, "shares_kv",
			 batch_conf.shares_kv, "time_us", now_us);
}

/* The ring spans twice the lag, so that it has a report as old as the lag. */
void batch_record_report(int64_t now_us)
{
	json_t **slot = &reports[report_count % REPORTS];

	if (!batch_conf.report_lag_ms ||
	    now_us - reported_us <
		    batch_conf.report_lag_ms * US_PER_MS * 2 / REPORTS)
		return;
	json_decref(*slot);
	*slot = new_report(now_us);
	report_count++;
	reported_us = now_us;
}

json_t *batch_load(void)
{
	int64_t now_us = clock_monotonic_us(), i;
	int64_t until_us = now_us - batch_conf.report_lag_ms * US_PER_MS;

	if (!batch_conf.report_lag_ms)
		return new_report(now_us);
	for (i = report_count - 1; i >= 0 && i > report_count - REPORTS; i--)
		if (http_json_integer(reports[i % REPORTS], "time_us", 0) <=
		    until_us)
			return json_incref(reports[i % REPORTS]);
	return new_report(now_us);
}

json_t *batch_list(void)
{
	json_t *list = json_array();
	const stream_t *stream;

	for (stream = batch.streams; stream; stream = stream->next)
		if (stream_is_running(stream))
			json_array_append_new(list, json_string(stream->id));
	return json_pack("{s:I,s:o}", "incarnation", batch.incarnation,
			 "streams", list);
}

/*
 * Sends a POST request to another engine.
 * @return the JSON answer, NULL if none; to be released with json_decref()
 */
static json_t *post(const char *server, const char *path, const char *id,
		    int64_t tokens)
{
	CURL *call = curl_easy_init();
	char url[320], body[256], *answer = NULL;
	size_t size = 0;
	FILE *file = open_memstream(&answer, &size);
	json_t *json = NULL;
	bool answered;

	snprintf(url, sizeof(url), "%s%s", server, path);
	snprintf(body, sizeof(body),
		 "{\"stream_id\":\"%.128s\",\"tokens\":%" PRId64 "}", id,
		 tokens);
	curl_easy_setopt(call, CURLOPT_URL, url);
	curl_easy_setopt(call, CURLOPT_POSTFIELDS, body);
	curl_easy_setopt(call, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call, CURLOPT_WRITEDATA, file);
	curl_easy_setopt(call, CURLOPT_TIMEOUT_MS, (long)PEER_TIMEOUT_MS);
	answered = !curl_easy_perform(call);
	fclose(file);
	if (answered)
		json = json_loadb(answer, size, 0, NULL);
	curl_easy_cleanup(call);
	free(answer);
	return json;
}

int64_t batch_fetch_export(const char *source, const char *id)
{
	json_t *answer = post(source, "/v1/kv/export", id, 0);
	int64_t tokens = http_json_integer(answer, "tokens", 0);

	json_decref(answer);
	return tokens;
}

bool batch_reserve_on_peers(const stream_t *stream, int64_t tokens)
{
	bool held = true;
	int32_t i;

	for (i = 0; i < stream->peer_count; i++) {
		json_t *answer = post(stream->peers[i], "/standin/share",
				      stream->id, tokens);

		held = answer && held;
		json_decref(answer);
	}
	return held;
}

/*
 * Works on a copy of each stream, since the lock is released during the
 * requests.
 */
void batch_release_peers(void)
{
	stream_t *stream;

	for (stream = batch.streams; stream; stream = stream->next) {
		stream_t copy;

		if (stream_is_running(stream) || !stream->peer_count)
			continue;
		copy = *stream;
		stream->peer_count = 0;
		copy.id = mem_strdup(stream->id);
		pthread_mutex_unlock(&batch_lock);
		batch_reserve_on_peers(&copy, 0);
		while (copy.peer_count)
			free(copy.peers[--copy.peer_count]);
		free(copy.id);
		pthread_mutex_lock(&batch_lock);
	}
}

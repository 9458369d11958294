#include "lib_batch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/history.h"
#include "base/mem.h"
#include "base/units.h"
#include "lib_http.h"

/* Time for which an ended stream is kept, so that it can be resumed. */
#define RETENTION_US (10 * US_PER_S)
/*
 * Time for which an engine that turns cold tolerates the load above its cold
 * limit: chivestaged learns of the change from the next load report only.
 */
#define COLD_GRACE_US (500 * US_PER_MS)
/* Longest time between two steps of the engine thread. */
#define IDLE_WAIT_US (20 * US_PER_MS)

pthread_mutex_t batch_lock = PTHREAD_MUTEX_INITIALIZER;
batch_conf_t batch_conf = { .kv_tokens = 400000,
			    .prefill_tokens_per_s = 1000000,
			    .decode_tokens_per_s = 1000,
			    .cold_limit = 2 };

static pthread_cond_t wake_cond = PTHREAD_COND_INITIALIZER;
static pthread_t thread;
batch_t batch;
/*
 * Arrival number of the last stream, requests completed since the engine
 * restarted or turned cold, and two monotonic times: the last step, and the
 * time from which the cold limit applies.
 */
static int64_t order, completed, last_step_us, cold_limit_from_us;
/* Tokens held for streams of other engines, by stream id. */
static json_t *held_for_peers;

static void add_kv_used(int64_t tokens)
{
	batch.kv_used += tokens;
	history_event("kv", "used=%" PRId64 " total=%" PRId64, batch.kv_used,
		      batch_conf.kv_tokens);
}

static int64_t count_running(void)
{
	const stream_t *stream;
	int64_t count = 0;

	for (stream = batch.streams; stream; stream = stream->next)
		count += stream_is_running(stream);
	return count;
}

void stream_free(stream_t *stream)
{
	int32_t i;

	for (i = 0; i < stream->peer_count; i++)
		free(stream->peers[i]);
	pthread_cond_destroy(&stream->changed);
	free(stream->id);
	free(stream->call);
	free(stream);
}

/* Frees ended streams without references, after RETENTION_US or if dropped. */
static void free_ended(int64_t now_us)
{
	stream_t **link = &batch.streams, *stream;

	while ((stream = *link)) {
		if (stream_is_running(stream) || stream->refs ||
		    (stream->ended_us + RETENTION_US > now_us &&
		     stream->state != STREAM_DROPPED)) {
			link = &stream->next;
			continue;
		}
		*link = stream->next;
		stream_free(stream);
	}
}

void batch_unref(stream_t *stream)
{
	stream->refs--;
}

stream_t *batch_find(const char *id)
{
	stream_t *stream;

	for (stream = batch.streams; stream; stream = stream->next)
		if (!strcmp(stream->id, id) && stream->state != STREAM_DROPPED)
			return stream;
	return NULL;
}

void batch_end(stream_t *stream, stream_state_t state)
{
	static const char *const reasons[] = { [STREAM_COMPLETE] = "complete",
					       [STREAM_CANCELLED] = "cancel",
					       [STREAM_DROPPED] = "dropped" };

	if (!stream_is_running(stream))
		return;
	stream->state = state;
	stream->ended_us = clock_monotonic_us();
	history_event("end", "stream=%s reason=%s generated=%" PRId64,
		      stream->id, reasons[state], stream->generated);
	add_kv_used(-stream->held_tokens);
	stream->held_tokens = 0;
	if (state == STREAM_COMPLETE && ++completed >= batch_conf.cold_until)
		batch.cold = false;
	pthread_cond_broadcast(&stream->changed);
}

void batch_turn_cold(void)
{
	batch.cold = true;
	completed = 0;
	cold_limit_from_us = clock_monotonic_us() + COLD_GRACE_US;
}

/* @return true if the cold limit is in force. */
static bool is_cold(void)
{
	return batch.cold && clock_monotonic_us() >= cold_limit_from_us;
}

void batch_restart(const char *reason)
{
	stream_t *stream;

	for (stream = batch.streams; stream; stream = stream->next)
		batch_end(stream, STREAM_DROPPED);
	json_object_clear(held_for_peers);
	batch_clear_cache();
	batch.incarnation = http_incarnation();
	completed = 0;
	batch.cold = batch_conf.cold_until > 0;
	cold_limit_from_us = 0;
	history_event("incarnation",
		      "incarnation=%" PRId64 " reason=%s kv_total=%" PRId64,
		      batch.incarnation, reason, batch_conf.kv_tokens);
	add_kv_used(-batch.kv_used);
}

/*
 * Restarts an engine that holds more KV memory than it has, or that is cold
 * and runs more requests than its cold limit.
 * @return true if the engine crashed
 */
static bool crash_if_overloaded(void)
{
	if (batch.kv_used > batch_conf.kv_tokens)
		batch_restart("kv_overflow");
	else if (is_cold() && count_running() > batch_conf.cold_limit)
		batch_restart("cold_limit");
	else
		return false;
	return true;
}

bool batch_add(stream_t *stream, int64_t cached_tokens)
{
	int64_t left = stream->prompt_tokens - cached_tokens;

	stream->order = ++order;
	stream->prefill_left =
		(double)(left > 1 ? left : 1) / (1 + stream->peer_count);
	stream->held_tokens = stream->prompt_tokens / (1 + stream->peer_count);
	stream->next = batch.streams;
	batch.streams = stream;
	history_event("submit",
		      "call=\"%s\" stream=%s tokens=%" PRId64 " resume=%" PRId64
		      " priority=%" PRId64 " running=%" PRId64
		      " cold=%d limit=%" PRId64,
		      stream->call, stream->id, stream->prompt_tokens,
		      stream->first, stream->priority, count_running(),
		      is_cold(), batch_conf.cold_limit);
	add_kv_used(stream->held_tokens);
	if (crash_if_overloaded())
		return false;
	pthread_cond_signal(&wake_cond);
	return true;
}

void batch_reserve(const char *id, int64_t tokens)
{
	int64_t held = json_integer_value(json_object_get(held_for_peers, id));

	json_object_del(held_for_peers, id);
	if (tokens)
		json_object_set_new(held_for_peers, id, json_integer(tokens));
	add_kv_used(tokens - held);
	crash_if_overloaded();
}

/* @return the stream to prefill: highest priority, then oldest; or NULL. */
static stream_t *next_prefill(void)
{
	stream_t *stream, *best = NULL;

	for (stream = batch.streams; stream; stream = stream->next)
		if (stream->state == STREAM_PREFILL &&
		    (!best || stream->priority > best->priority ||
		     (stream->priority == best->priority &&
		      stream->order < best->order)))
			best = stream;
	return best;
}

/* Spends the time since the last step on the streams in prefill. */
static void prefill(int64_t now_us)
{
	double rate = (double)batch_conf.prefill_tokens_per_s / US_PER_S;
	double tokens = (double)(now_us - last_step_us) * rate;
	stream_t *stream;

	while (tokens > 0 && (stream = next_prefill())) {
		if (stream->prefill_left > tokens) {
			stream->prefill_left -= tokens;
			return;
		}
		tokens -= stream->prefill_left;
		stream->prefill_left = 0;
		stream->state = STREAM_DECODE;
		stream->next_token_us = now_us - (int64_t)(tokens / rate);
	}
}

/* Generates the tokens that are due by @p now_us. */
static void decode(stream_t *stream, int64_t now_us)
{
	int64_t step_us = US_PER_S / batch_conf.decode_tokens_per_s +
			  batch_conf.slow_ms * US_PER_MS;
	int64_t before = stream->generated;

	while (stream->next_token_us <= now_us &&
	       stream->generated < stream->max_tokens) {
		stream->generated++;
		stream->next_token_us += step_us;
	}
	if (stream->generated == before && before < stream->max_tokens)
		return;
	stream->held_tokens += stream->generated - before;
	batch.kv_used += stream->generated - before;
	if (stream->generated >= stream->max_tokens)
		batch_end(stream, STREAM_COMPLETE);
	else
		pthread_cond_broadcast(&stream->changed);
}

/* Advances the engine to @p now_us. @return the time of the next step. */
static int64_t step(int64_t now_us)
{
	int64_t next_us = now_us + IDLE_WAIT_US;
	stream_t *stream;

	if (!batch_conf.stall) {
		prefill(now_us);
		for (stream = batch.streams; stream; stream = stream->next)
			if (stream->state == STREAM_DECODE)
				decode(stream, now_us);
	}
	last_step_us = now_us;
	if (crash_if_overloaded() || batch_conf.stall)
		return next_us;
	stream = next_prefill();
	if (stream &&
	    stream->prefill_left * US_PER_S <
		    (double)IDLE_WAIT_US * batch_conf.prefill_tokens_per_s)
		next_us = now_us + 1 +
			  (int64_t)(stream->prefill_left * US_PER_S /
				    batch_conf.prefill_tokens_per_s);
	for (stream = batch.streams; stream; stream = stream->next)
		if (stream->state == STREAM_DECODE &&
		    stream->next_token_us < next_us)
			next_us = stream->next_token_us;
	return next_us;
}

static void *run(void *unused)
{
	pthread_mutex_lock(&batch_lock);
	last_step_us = clock_monotonic_us();
	while (!http_stopping) {
		int64_t now_us = clock_monotonic_us(), wait_us;
		struct timespec until;

		wait_us = step(now_us) - now_us;
		batch_record_report(now_us);
		batch_release_peers();
		free_ended(now_us);
		wait_us = wait_us > 0 ? wait_us : 0;
		clock_gettime(CLOCK_MONOTONIC, &until);
		until.tv_nsec += wait_us * 1000;
		until.tv_sec += until.tv_nsec / 1000000000;
		until.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&wake_cond, &batch_lock, &until);
	}
	pthread_mutex_unlock(&batch_lock);
	return NULL;
}

void batch_start(void)
{
	pthread_condattr_t attributes;

	pthread_condattr_init(&attributes);
	pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
	pthread_cond_init(&wake_cond, &attributes);
	held_for_peers = json_object();
	batch_restart("start");
	if (pthread_create(&thread, NULL, run, NULL))
		abort();
}

void batch_stop(void)
{
	stream_t *stream;

	pthread_mutex_lock(&batch_lock);
	pthread_cond_signal(&wake_cond);
	for (stream = batch.streams; stream; stream = stream->next)
		pthread_cond_broadcast(&stream->changed);
	pthread_mutex_unlock(&batch_lock);
	pthread_join(thread, NULL);
	batch_free_reports();
	json_decref(held_for_peers);
	history_event("stop", "incarnation=%" PRId64 " kv_used=%" PRId64,
		      batch.incarnation, batch.kv_used);
}

/**
 * @file lib_batch.h
 * The machine of the engine stand-in: continuous batching, KV memory, prefix
 * cache and cold start. Prefill goes through the streams by priority and
 * arrival at one rate; each stream in decode gets tokens at its own rate.
 *
 * Everything is guarded by batch_lock.
 */
#ifndef STANDIN_LIB_BATCH_H
#define STANDIN_LIB_BATCH_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum { BATCH_PEERS_MAX = 8 };

typedef enum {
	STREAM_PREFILL,
	STREAM_DECODE,
	STREAM_COMPLETE,
	STREAM_CANCELLED,
	STREAM_DROPPED /**< the engine lost it */
} stream_state_t;

typedef struct stream {
	struct stream *next;
	char *id;
	bool chat; /**< chat completion */
	char *call; /**< number that the test client gave the call */
	stream_state_t state;
	int32_t readers;
	pthread_cond_t changed;
	uint64_t seed; /**< of the tokens */
	int64_t prompt_tokens;
	int64_t held_tokens; /**< KV memory on this engine */
	int64_t first; /**< index of the first token, after a resumption */
	int64_t generated; /**< index of the next token */
	int64_t max_tokens;
	int64_t priority;
	int64_t order;
	double prefill_left;
	int64_t next_token_us;
	int64_t ended_us;
	int32_t peer_count; /**< engines that hold a part of the memory */
	char *peers[BATCH_PEERS_MAX];
} stream_t;

static inline bool stream_is_running(const stream_t *stream)
{
	return stream->state == STREAM_PREFILL ||
	       stream->state == STREAM_DECODE;
}

typedef struct {
	int64_t kv_tokens;
	int64_t prefill_tokens_per_s;
	int64_t decode_tokens_per_s; /**< of one stream */
	int64_t cold_limit; /**< requests borne while cold */
	int64_t cold_until; /**< requests after which the engine is warm */
	int64_t report_lag_ms;
	int64_t event_gap; /**< every Nth cache event is lost; 0: none */
	int64_t slow_ms; /**< added to each decode step */
	int64_t stall; /**< no progress at all */
	char *model;
	char *role;
	int shares_kv;
} batch_conf_t;

/** State of the engine. */
typedef struct {
	stream_t *streams;
	int64_t incarnation;
	int64_t kv_used;
	bool cold;
} batch_t;

extern pthread_mutex_t batch_lock;
extern batch_conf_t batch_conf;
extern batch_t batch;

void batch_start(void);
void batch_stop(void);

/** Drops every stream and begins a new, cold incarnation. */
void batch_restart(const char *reason);

/** The engine is cold again, but keeps its streams. */
void batch_turn_cold(void);

/**
 * Takes over a stream, or crashes as an overloaded engine does.
 * @return false if the engine crashed; the stream is then dropped
 */
bool batch_add(stream_t *stream, int64_t cached_tokens);

/** Ends a stream that still runs; others are left alone. */
void batch_end(stream_t *stream, stream_state_t state);

/** Frees a stream that was not added. */
void stream_free(stream_t *stream);

/** Gives back a reader's hold of a stream. */
void batch_release(stream_t *stream);

stream_t *batch_find(const char *id);

/** Holds memory for a stream of another engine; 0 tokens: gives it back. */
void batch_share(const char *id, int64_t tokens);

/* lib_report.c */

/** @return tokens of @p prompt that are in the prefix cache; adds the rest. */
int64_t batch_cache_prompt(const char *prompt, size_t size, const char *salt);
void batch_clear_cache(void);

json_t *batch_list(void);
json_t *batch_load(void);
json_t *batch_cache_events(int64_t after);

/** Keeps a report, so that one that is as old as the lag can be given. */
void batch_keep_report(int64_t now_us);
void batch_drop_reports(void);

/** Tells the peers of a stream to hold memory, or to give it back (0). */
bool batch_call_peers(const stream_t *stream, int64_t tokens);

/** Asks another engine for the memory of a stream. @return tokens, or 0 */
int64_t batch_export(const char *source, const char *id);

/** Gives back the memory on peers of ended streams; unlocks meanwhile. */
void batch_release_peers(void);

#endif

/**
 * @file lib_batch.h
 * Model of the engine in the engine stand-in: continuous batching, KV memory,
 * prefix cache and cold start. The engine prefills one stream at a time, by
 * priority and then by arrival, at one rate for the whole engine; each stream
 * in decode generates tokens at a rate of its own.
 *
 * batch_lock guards all state declared here.
 */
#ifndef STANDIN_LIB_BATCH_H
#define STANDIN_LIB_BATCH_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/** Maximum number of other engines that share the prompt of one stream. */
enum { BATCH_PEERS_MAX = 8 };

typedef enum {
	STREAM_PREFILL,
	STREAM_DECODE,
	STREAM_COMPLETE,
	STREAM_CANCELLED,
	STREAM_DROPPED /**< lost in a crash of the engine */
} stream_state_t;

typedef struct stream {
	struct stream *next;
	char *id;
	bool chat; /**< true: chat completion; false: text completion */
	char *call; /**< call id of the test client, or empty */
	stream_state_t state;
	int32_t refs; /**< HTTP requests that use the stream */
	pthread_cond_t changed; /**< signals a new token or the end */
	uint64_t seed; /**< seed from which the token texts are derived */
	int64_t prompt_tokens; /**< includes the tokens of resume_tokens */
	int64_t held_tokens; /**< tokens in the KV memory of this engine */
	int64_t first; /**< index of the first token; above 0 if resumed */
	int64_t generated; /**< index of the next token */
	int64_t max_tokens; /**< index at which generation ends */
	int64_t priority; /**< streams of a higher priority prefill first */
	int64_t order; /**< sequence number of the arrival */
	double prefill_left; /**< tokens that this engine has yet to prefill */
	int64_t next_token_us; /**< time of the next token, in decode */
	int64_t ended_us; /**< end of the stream, monotonic time */
	int32_t peer_count; /**< other engines that hold prompt shards */
	char *peers[BATCH_PEERS_MAX]; /**< URLs of these engines */
} stream_t;

static inline bool stream_is_running(const stream_t *stream)
{
	return stream->state == STREAM_PREFILL ||
	       stream->state == STREAM_DECODE;
}

/** Options of the engine, and the faults that slow its progress. */
typedef struct {
	int64_t kv_tokens; /**< capacity of the KV memory, in tokens */
	int64_t prefill_tokens_per_s; /**< prefill rate of the engine */
	int64_t decode_tokens_per_s; /**< decode rate of one stream */
	int64_t cold_limit; /**< a cold engine with more requests crashes */
	int64_t cold_until; /**< completions until warm; 0: starts warm */
	int64_t report_lag_ms; /**< age of load reports; 0: always current */
	int64_t event_loss_nth; /**< every Nth cache event is lost; 0: none */
	int64_t slow_ms; /**< time added to each decode step */
	int64_t stall; /**< 1: prefill and decode stand still */
	char *model; /**< name of the served model */
	char *role; /**< "both", "prefill" or "decode" */
	int shares_kv; /**< 1: holds prompt shards with other engines */
} batch_conf_t;

/** State of the engine. */
typedef struct {
	stream_t *streams; /**< running and recently ended streams */
	int64_t incarnation;
	int64_t kv_used; /**< tokens held in the KV memory */
	bool cold; /**< true until cold_until requests completed */
} batch_t;

/**
 * Lock of the state declared here. Callers of the functions below must hold
 * this lock, unless stated otherwise.
 */
extern pthread_mutex_t batch_lock;
extern batch_conf_t batch_conf;
extern batch_t batch;

/** Start and stop the engine thread; batch_lock must not be held. */
void batch_start(void);
void batch_stop(void);

/**
 * Drops every stream and begins a new incarnation, which is cold unless
 * cold_until is 0.
 * @param reason recorded in the history
 */
void batch_restart(const char *reason);

/** Makes the engine cold again without dropping its streams. */
void batch_turn_cold(void);

/**
 * Adds a stream to the batch, or crashes as an overloaded engine does. The
 * batch frees the stream once it has ended and nothing references it.
 * @param cached_tokens prompt tokens found in the prefix cache
 * @return false if the engine crashed; the stream is then dropped
 */
bool batch_add(stream_t *stream, int64_t cached_tokens);

/** Ends a running stream; does nothing if the stream has already ended. */
void batch_end(stream_t *stream, stream_state_t state);

/** Frees a stream that was not passed to batch_add(). */
void stream_free(stream_t *stream);

/** Releases the reference of one HTTP request to a stream. */
void batch_unref(stream_t *stream);

/** @return the running or ended stream, NULL if unknown or dropped. */
stream_t *batch_find(const char *id);

/**
 * Sets the KV memory held for a stream of another engine. The engine crashes if
 * this overloads it.
 * @param tokens memory to hold; 0 releases all of it
 */
void batch_reserve(const char *id, int64_t tokens);

/* Functions of lib_report.c */

/**
 * Looks up the blocks of a prompt in the prefix cache and caches the others.
 * @param size length of @p prompt in bytes
 * @param salt name of the client account, which has cache entries of its own
 * @return tokens of the longest cached prefix
 */
int64_t batch_cache_prompt(const char *prompt, size_t size, const char *salt);
/** Empties the cache and restarts the sequence numbers of its events. */
void batch_clear_cache(void);

/** @return the body of GET /v1/streams: ids of the running streams. */
json_t *batch_list(void);
/** @return the body of GET /v1/load, as old as report_lag_ms. */
json_t *batch_load(void);
/** @return the body of GET /v1/cache_events: events above number @p after. */
json_t *batch_cache_events(int64_t after);

/**
 * Records a load report if 1/32 of report_lag_ms has passed since the last one.
 * batch_load() returns the latest recorded report that is report_lag_ms old.
 */
void batch_record_report(int64_t now_us);
/** Frees all recorded reports. */
void batch_free_reports(void);

/**
 * Has each peer of a stream hold KV memory for the stream. Blocks on HTTP, so
 * batch_lock must not be held.
 * @param tokens memory for each peer to hold; 0 releases the memory
 * @return false if a peer did not answer
 */
bool batch_reserve_on_peers(const stream_t *stream, int64_t tokens);

/**
 * Asks another engine how much KV memory one of its streams holds. Blocks on
 * HTTP, so batch_lock must not be held.
 * @param source URL of the engine
 * @return tokens; 0 if the engine has no such stream or did not answer
 */
int64_t batch_fetch_export(const char *source, const char *id);

/**
 * Has the peers of ended streams release their memory. Unlocks batch_lock
 * during the HTTP requests.
 */
void batch_release_peers(void);

#endif

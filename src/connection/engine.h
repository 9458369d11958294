/**
 * @file engine.h
 * Wire format of model engines: builds requests, reads replies, no I/O.
 * A different wire format changes only this module.
 *
 * Beyond design.md section 4.4 the adapter uses these forms:
 * - submission: `resume_text` (text of the tokens counted by resume_tokens;
 *   `max_tokens` counts them too), `cache_salt` (the client account);
 * - submission: `incarnation` (optional): an engine in another incarnation
 *   refuses before running;
 * - a resumed stream has the form of its submission (completion or chat);
 * - chunk: `tokens` (default 1 if it has text), `choices[0].text` or
 *   `choices[0].delta.content`, `choices[0].finish_reason`;
 * - load report: `incarnation` a number, `time_us`, `role` one of both,
 *   prefill, decode, `models` an array of names;
 * - stream list: `{"streams":["ID",...]}`;
 * - cache events: `{"incarnation":1,"events":[{"sequence":1,
 *   "type":"stored","block":"hex"}]}`, type stored or evicted; blocks are
 *   those of request/prefix_hash.h;
 * - order: `kind` load_model or set_role;
 * - KV export and import: `stream_id`, import also `source`.
 */
#ifndef CONNECTION_ENGINE_H
#define CONNECTION_ENGINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"
#include "process/load.h"
#include "process/task_msg.h"
#include "request/stream_id.h"

/** Codes of ERR_LAYER_ENGINE. */
typedef enum {
	ENGINE_ERR_MALFORMED = 1 /**< a reply does not have the expected form */
} engine_err_t;

/** One built request; free with engine_call_clear(). */
typedef struct {
	const char *method;
	char url[URL_SIZE_BYTES + STREAM_ID_SIZE_BYTES + 64];
	char *body; /**< NULL: none */
	size_t body_size_bytes;
} engine_call_t;

void engine_call_clear(engine_call_t *call);

/** What a caller asked for. */
typedef struct {
	/** Members of the caller's JSON object, without braces. */
	const char *fields;
	bool chat; /**< chat completion instead of completion */
	const char *model;
	const char *account; /**< salt of the prefix cache */
	int64_t max_tokens;
} engine_request_t;

/**
 * Builds the submission of one attempt.
 * @param delivered        text delivered by earlier attempts, or NULL
 * @param delivered_tokens number of tokens of that text
 */
void engine_submit(engine_call_t *call, const dispatch_msg_t *dispatch,
		   const engine_request_t *request, const char *delivered,
		   int64_t delivered_tokens, int64_t now_us);

/** Builds the resumption of a broken stream from a token offset. */
void engine_resume(engine_call_t *call, const char *url, const stream_id_t *id,
		   int64_t offset_tokens);

/** Builds the cancellation of a stream. */
void engine_cancel(engine_call_t *call, const char *url, const char *id);

void engine_list_streams(engine_call_t *call, const char *url);
void engine_get_load(engine_call_t *call, const char *url);
void engine_cache_events(engine_call_t *call, const char *url,
			 uint64_t after_sequence);

typedef enum { ORDER_LOAD_MODEL, ORDER_SET_ROLE } order_kind_t;

/** An order to an engine. */
typedef struct {
	order_kind_t kind;
	char server[NAME_SIZE_BYTES];
	char model[NAME_SIZE_BYTES];
	server_role_t role;
	int64_t fencing; /**< token of the lease that covers the order */
} order_t;

void engine_order(engine_call_t *call, const char *url, const order_t *order);
void engine_kv_export(engine_call_t *call, const char *url, const char *id);
void engine_kv_import(engine_call_t *call, const char *url, const char *id,
		      const char *source_url);

/** One event of a completion stream. */
typedef enum {
	ENGINE_EVENT_CHUNK,
	ENGINE_EVENT_DONE, /**< end marker */
	ENGINE_EVENT_OTHER
} engine_event_type_t;

typedef struct {
	engine_event_type_t type;
	stream_id_t stream_id;
	int64_t offset_tokens; /**< index of the first token of the chunk */
	int64_t tokens;
	const char *text; /**< inside the buffer given to the parser's user */
	size_t text_size_bytes;
	char finish_reason[24]; /**< empty: the stream goes on */
} engine_chunk_t;

/** Reads the data of one SSE event. The text is decoded into @p buffer. */
bool engine_parse_event(const char *data, size_t size, char *buffer,
			size_t buffer_size, engine_chunk_t *chunk, err_t *err);

bool engine_parse_load(const char *body, size_t size, load_report_t *report,
		       err_t *err);

/** Calls @p each for every stream in a list reply. */
bool engine_parse_streams(const char *body, size_t size,
			  void (*each)(void *context, const char *id),
			  void *context, err_t *err);

typedef struct {
	uint64_t sequence;
	bool stored; /**< false: evicted */
	uint64_t block;
} cache_event_t;

bool engine_parse_cache_events(const char *body, size_t size,
			       uint64_t *incarnation,
			       void (*each)(void *context,
					    const cache_event_t *event),
			       void *context, err_t *err);

#endif

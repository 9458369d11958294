/**
 * @file engine.h
 * Adapter for the HTTP API of model engines: builds requests and parses
 * replies, without I/O. Only this module depends on the API of the engines.
 *
 * The API is described in section 4.4 of design.md. Its further requests and
 * fields:
 * - submission: `resume_text`, the text of the tokens that `resume_tokens`
 *   counts (`max_tokens` counts these tokens too); `cache_salt`, the client
 *   account;
 * - submission: `incarnation` (optional): an engine with another incarnation
 *   refuses the request before it runs;
 * - a resumed stream has the form of its submission (completion or chat);
 * - chunk: `tokens` (default 1 if the chunk has text), `choices[0].text` or
 *   `choices[0].delta.content`, `choices[0].finish_reason`;
 * - load report: `incarnation`, a number; `time_us`; `role`: both, prefill or
 *   decode; `models`, an array of names;
 * - stream list: `{"streams":["ID",...]}`;
 * - cache events: `{"incarnation":1,"events":[{"sequence":1,
 *   "type":"stored","block":"hex"}]}`, type stored or evicted; a block is the
 *   hash of a prompt prefix, see request/prefix_hash.h;
 * - order: `kind`, load_model or set_role;
 * - KV export and import: `stream_id`; import also `source`.
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
	ENGINE_ERR_MALFORMED = 1 /**< a reply lacks a field or is invalid */
} engine_err_t;

/** HTTP request to an engine; free with engine_call_clear(). */
typedef struct {
	const char *method;
	char url[URL_SIZE_BYTES + STREAM_ID_SIZE_BYTES + 64];
	char *body; /**< NULL: no body */
	size_t body_size_bytes;
} engine_call_t;

/** Frees the body and clears the request. */
void engine_call_clear(engine_call_t *call);

/** Completion request of a caller. */
typedef struct {
	/**
	 * Members of the caller's JSON object to copy into the submission,
	 * without braces.
	 */
	const char *fields;
	bool chat; /**< chat completion instead of completion */
	const char *model;
	const char *account; /**< client account, salt of the prefix cache */
	int64_t max_tokens;
} engine_request_t;

/**
 * Builds the submission of one attempt.
 * @param delivered        text that earlier attempts delivered; NULL: none
 * @param delivered_tokens number of tokens of @p delivered; 0: none
 * @param now_us           time on the clock of dispatch->deadline_us
 */
void engine_submit(engine_call_t *call, const dispatch_msg_t *dispatch,
		   const engine_request_t *request, const char *delivered,
		   int64_t delivered_tokens, int64_t now_us);

/** Builds the request that resumes a broken stream at a token offset. */
void engine_resume(engine_call_t *call, const char *url, const stream_id_t *id,
		   int64_t offset_tokens);

/** Builds the request that cancels the stream @p id. */
void engine_cancel(engine_call_t *call, const char *url, const char *id);

/** Builds the request for the list of all streams of an engine. */
void engine_list_streams(engine_call_t *call, const char *url);

/** Builds the request for the load report of an engine. */
void engine_get_load(engine_call_t *call, const char *url);

/** Builds the request for the cache events after @p after_sequence. */
void engine_cache_events(engine_call_t *call, const char *url,
			 uint64_t after_sequence);

/** What an order makes an engine do. */
typedef enum { ORDER_LOAD_MODEL, ORDER_SET_ROLE } order_kind_t;

/** Order to an engine to load a model or to change its role. */
typedef struct {
	order_kind_t kind;
	char server[NAME_SIZE_BYTES];
	char model[NAME_SIZE_BYTES]; /**< model to load, for ORDER_LOAD_MODEL */
	server_role_t role; /**< new role, for ORDER_SET_ROLE */
	int64_t fencing; /**< fencing token of the lease for the order */
} order_t;

/** Builds the request that sends an order. */
void engine_order(engine_call_t *call, const char *url, const order_t *order);

/** Builds the request that makes an engine export the KV cache of a stream. */
void engine_kv_export(engine_call_t *call, const char *url, const char *id);

/**
 * Builds the request that makes an engine import the KV cache of a stream from
 * the engine at @p source_url.
 */
void engine_kv_import(engine_call_t *call, const char *url, const char *id,
		      const char *source_url);

/** Type of an event of a completion stream. */
typedef enum {
	ENGINE_EVENT_CHUNK,
	ENGINE_EVENT_DONE, /**< end marker of the stream */
	ENGINE_EVENT_OTHER /**< event without stream id and offset */
} engine_event_type_t;

/** Parsed event; the fields after type are set for ENGINE_EVENT_CHUNK. */
typedef struct {
	engine_event_type_t type;
	stream_id_t stream_id;
	int64_t offset_tokens; /**< index of the first token of the chunk */
	int64_t tokens; /**< number of tokens of the chunk */
	const char *text; /**< text of the chunk, in the buffer passed to
			     engine_parse_event() */
	size_t text_size_bytes;
	char finish_reason[24]; /**< empty: the stream continues */
} engine_chunk_t;

/**
 * Parses the data of one SSE event. The text of a chunk is decoded into
 * @p buffer.
 * @return false and @p err if the event is malformed or its text too long
 */
bool engine_parse_event(const char *data, size_t size, char *buffer,
			size_t buffer_size, engine_chunk_t *chunk, err_t *err);

/** Cuts the numbers of a load report to bounds within which sums do not
 * overflow. */
void engine_bound_load(load_report_t *report);

/**
 * Parses a load report. `server` stays empty and `received_us` 0.
 * @return false and @p err if the report is malformed
 */
bool engine_parse_load(const char *body, size_t size, load_report_t *report,
		       err_t *err);

/**
 * Calls @p each for every stream id of a stream list.
 * @return false and @p err, without a call, if the list is malformed
 */
bool engine_parse_streams(const char *body, size_t size,
			  void (*each)(void *context, const char *id),
			  void *context, err_t *err);

/** A block that entered or left the prefix cache of an engine. */
typedef struct {
	uint64_t sequence; /**< number of the event; increases */
	bool stored; /**< false: evicted */
	uint64_t block; /**< hash of the prefix, see request/prefix_hash.h */
} cache_event_t;

/**
 * Calls @p each for every cache event of a reply.
 * @return false and @p err if the reply is malformed; @p each has run for the
 * events before the malformed one
 */
bool engine_parse_cache_events(const char *body, size_t size,
			       uint64_t *incarnation,
			       void (*each)(void *context,
					    const cache_event_t *event),
			       void *context, err_t *err);

#endif

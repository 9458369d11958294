#include "connection/engine.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "connection/engine_chunk.h"

void engine_call_clear(engine_call_t *call)
{
	free(call->body);
	memset(call, 0, sizeof(*call));
}

static void set_call(engine_call_t *call, const char *method,
		     const char *format, ...)
	__attribute__((format(printf, 3, 4)));

static void set_call(engine_call_t *call, const char *method,
		     const char *format, ...)
{
	va_list args;

	memset(call, 0, sizeof(*call));
	call->method = method;
	va_start(args, format);
	vsnprintf(call->url, sizeof(call->url), format, args);
	va_end(args);
}

/* Sets the body to the text of @p json and releases @p json. */
static void set_body(engine_call_t *call, json_t *json)
{
	call->body = json_dumps(json, JSON_COMPACT);
	call->body_size_bytes = call->body ? strlen(call->body) : 0;
	json_decref(json);
}

static bool malformed(err_t *err, const char *what)
{
	return err_set(err, ERR_LAYER_ENGINE, ENGINE_ERR_MALFORMED,
		       "engine reply: malformed %s", what);
}

/* Adds the members that belong to one attempt, not to the request. */
static void set_attempt(json_t *json, const dispatch_msg_t *dispatch,
			int64_t now_us)
{
	char id[STREAM_ID_SIZE_BYTES];
	int64_t left_us = dispatch->deadline_us - now_us;
	size_t i;

	stream_id_format(&dispatch->stream_id, id);
	json_object_set_new(json, "stream", json_true());
	json_object_set_new(json, "stream_id", json_string(id));
	json_object_set_new(json, "priority", json_integer(dispatch->priority));
	json_object_set_new(json, "deadline_ms",
			    json_integer(left_us > 0 ? left_us / US_PER_MS
						     : 0));
	if (dispatch->server_incarnation)
		json_object_set_new(
			json, "incarnation",
			json_integer((json_int_t)dispatch->server_incarnation));
	if (dispatch->peer_count) {
		json_t *peers = json_array();

		for (i = 0; i < dispatch->peer_count; i++)
			json_array_append_new(peers,
					      json_string(dispatch->peers[i]));
		json_object_set_new(json, "peers", peers);
	}
}

/* Joins @p fields of the caller and the members of @p attempt to one object. */
static void join_body(engine_call_t *call, const char *fields, json_t *attempt)
{
	char *attempt_text = json_dumps(attempt, JSON_COMPACT);
	size_t size = strlen(fields) + strlen(attempt_text) + 2;

	call->body = mem_calloc(size, 1);
	call->body_size_bytes = (size_t)snprintf(call->body, size, "{%s%s%s",
						 fields, *fields ? "," : "",
						 attempt_text + 1);
	free(attempt_text);
	json_decref(attempt);
}

void engine_submit(engine_call_t *call, const dispatch_msg_t *dispatch,
		   const engine_request_t *request, const char *delivered,
		   int64_t delivered_tokens, int64_t now_us)
{
	json_t *json = json_object();

	set_call(call, "POST", "%s/v1/%s", dispatch->url,
		 request->chat ? "chat/completions" : "completions");
	set_attempt(json, dispatch, now_us);
	json_object_set_new(json, "model", json_string(request->model));
	json_object_set_new(json, "cache_salt", json_string(request->account));
	json_object_set_new(json, "max_tokens",
			    json_integer(request->max_tokens));
	if (delivered_tokens > 0) {
		json_object_set_new(json, "resume_tokens",
				    json_integer(delivered_tokens));
		json_object_set_new(json, "resume_text",
				    json_string(delivered ? delivered : ""));
	}
	join_body(call, request->fields, json);
}

void engine_resume(engine_call_t *call, const char *url, const stream_id_t *id,
		   int64_t offset_tokens)
{
	char text[STREAM_ID_SIZE_BYTES];

	stream_id_format(id, text);
	set_call(call, "GET", "%s/v1/streams/%s?offset=%" PRId64, url, text,
		 offset_tokens);
}

void engine_cancel(engine_call_t *call, const char *url, const char *id)
{
	set_call(call, "DELETE", "%s/v1/streams/%s", url, id);
}

void engine_list_streams(engine_call_t *call, const char *url)
{
	set_call(call, "GET", "%s/v1/streams", url);
}

void engine_get_load(engine_call_t *call, const char *url)
{
	set_call(call, "GET", "%s/v1/load", url);
}

void engine_cache_events(engine_call_t *call, const char *url,
			 uint64_t after_sequence)
{
	set_call(call, "GET", "%s/v1/cache_events?after=%" PRIu64, url,
		 after_sequence);
}

static const char *const role_names[] = { "both", "prefill", "decode" };

void engine_order(engine_call_t *call, const char *url, const order_t *order)
{
	json_t *json = json_object();

	set_call(call, "POST", "%s/v1/orders", url);
	json_object_set_new(json, "fencing", json_integer(order->fencing));
	switch (order->kind) {
	case ORDER_LOAD_MODEL:
		json_object_set_new(json, "kind", json_string("load_model"));
		json_object_set_new(json, "model", json_string(order->model));
		break;
	case ORDER_SET_ROLE:
		json_object_set_new(json, "kind", json_string("set_role"));
		json_object_set_new(json, "role",
				    json_string(role_names[order->role]));
		break;
	}
	set_body(call, json);
}

void engine_kv_export(engine_call_t *call, const char *url, const char *id)
{
	set_call(call, "POST", "%s/v1/kv/export", url);
	set_body(call, json_pack("{s:s}", "stream_id", id));
}

void engine_kv_import(engine_call_t *call, const char *url, const char *id,
		      const char *source_url)
{
	set_call(call, "POST", "%s/v1/kv/import", url);
	set_body(call,
		 json_pack("{s:s,s:s}", "stream_id", id, "source", source_url));
}

/* @return the text of a completion or chat completion; NULL: no text */
static const char *choice_text(const json_t *choice, size_t *size)
{
	const json_t *text = json_object_get(choice, "text");

	if (!text)
		text = json_object_get(json_object_get(choice, "delta"),
				       "content");
	*size = json_string_length(text);
	return json_string_value(text);
}

static bool copy_text(const json_t *choice, char *buffer, size_t buffer_size,
		      engine_chunk_t *chunk)
{
	const char *text = choice_text(choice, &chunk->text_size_bytes);

	chunk->text = buffer;
	if (!text)
		return true;
	if (chunk->text_size_bytes > buffer_size)
		return false;
	memcpy(buffer, text, chunk->text_size_bytes);
	return true;
}

static bool read_chunk(const json_t *json, char *buffer, size_t buffer_size,
		       engine_chunk_t *chunk, err_t *err)
{
	const json_t *choice =
		json_array_get(json_object_get(json, "choices"), 0);
	const char *id = json_string_value(json_object_get(json, "stream_id"));
	const json_t *offset = json_object_get(json, "offset");
	const json_t *tokens = json_object_get(json, "tokens");
	const char *reason =
		json_string_value(json_object_get(choice, "finish_reason"));

	/* Not a chunk: the type stays ENGINE_EVENT_OTHER. */
	if (!id && !offset)
		return true;
	if (!id || !stream_id_parse(id, &chunk->stream_id))
		return malformed(err, "stream_id");
	if (!json_is_integer(offset) || json_integer_value(offset) < 0)
		return malformed(err, "offset");
	chunk->type = ENGINE_EVENT_CHUNK;
	chunk->offset_tokens = json_integer_value(offset);
	if (!copy_text(choice, buffer, buffer_size, chunk))
		return malformed(err, "chunk: text too long");
	/* Engines may omit `tokens` in a chunk of one token, the usual case. */
	chunk->tokens = tokens ? json_integer_value(tokens)
			       : (chunk->text_size_bytes > 0);
	if (chunk->tokens < 0 || chunk->tokens > INT32_MAX)
		return malformed(err, "tokens");
	if (reason && mem_strlcpy(chunk->finish_reason, reason,
				  sizeof(chunk->finish_reason)))
		return malformed(err, "finish_reason too long");
	return true;
}

bool engine_parse_event(const char *data, size_t size, char *buffer,
			size_t buffer_size, engine_chunk_t *chunk, err_t *err)
{
	json_t *json;
	bool valid;

	memset(chunk, 0, sizeof(*chunk));
	if (size == strlen("[DONE]") && !memcmp(data, "[DONE]", size)) {
		chunk->type = ENGINE_EVENT_DONE;
		chunk->text = buffer;
		return true;
	}
	if (engine_read_plain_chunk(data, size, buffer, buffer_size, chunk))
		return true;
	memset(chunk, 0, sizeof(*chunk));
	chunk->type = ENGINE_EVENT_OTHER;
	chunk->text = buffer;
	json = json_loadb(data, size, 0, NULL);
	if (!json_is_object(json)) {
		json_decref(json);
		return malformed(err, "event: not a JSON object");
	}
	valid = read_chunk(json, buffer, buffer_size, chunk, err);
	json_decref(json);
	return valid;
}

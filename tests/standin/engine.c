/**
 * Stand-in for a model engine: the HTTP interface. lib_batch.c models the
 * engine.
 *
 * A prompt has one token for each four bytes. A request with `resume_tokens`
 * has the text of these tokens in `resume_text`, and its `max_tokens` counts
 * them too. POST /standin/fault with a JSON object injects faults:
 *   crash         restarts the engine, which loses its streams
 *   cold          makes the engine cold
 *   stall         stops prefill and decode until it is set to false
 *   refuse        refuses the next N requests
 *   lose_submits  runs the next N requests, but closes their connections
 *                 without an answer
 *   cut_count     breaks the connections of the next N replies, each after
 *                 cut_after tokens
 *   crossed       inserts a chunk of another stream before each of the next N
 *                 chunks
 *   wrong_offset  inserts a chunk with a wrong offset before each of the next
 *                 N chunks
 *   slow_ms       adds this time, in ms, to each token
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/history.h"
#include "base/mem.h"
#include "lib/tokens.h"
#include "lib_batch.h"
#include "lib_http.h"
#include "lib_sse.h"

enum { CALL_SIZE_BYTES = 64 }; /* longest call id, with the NUL */

static char *name, *fencing_mode;
static int64_t fencing_highest;
static int64_t refuse, lose_submits;

/* @return the prompt, or the text of all messages; the caller frees it. */
static char *prompt_text(const json_t *body)
{
	const json_t *message, *messages = json_object_get(body, "messages");
	const char *prompt = http_json_string(body, "prompt", NULL);
	size_t i, size = 0;
	char *text;

	if (prompt)
		return mem_strdup(prompt);
	text = mem_calloc(1, 1);
	json_array_foreach(messages, i, message)
	{
		const char *content = http_json_string(message, "content", "");
		size_t length = strlen(content);

		text = mem_realloc(text, size + length + 1, 1);
		memcpy(text + size, content, length + 1);
		size += length;
	}
	return text;
}

/* @return true if @p text consists of the tokens before stream->first. */
static bool is_continuation(const stream_t *stream, const char *text)
{
	char token[TOKEN_SIZE_BYTES + 1];
	int64_t i;

	if (strlen(text) != (size_t)stream->first * TOKEN_SIZE_BYTES)
		return false;
	for (i = 0; i < stream->first; i++) {
		token_text(stream->seed, i, token);
		if (memcmp(text + i * TOKEN_SIZE_BYTES, token,
			   TOKEN_SIZE_BYTES) != 0)
			return false;
	}
	return true;
}

/*
 * @return the call id that the test client puts at the end of a prompt as
 * "call=ID", empty if none; the caller frees it
 */
static char *call_id(const char *prompt, size_t size)
{
	char call[CALL_SIZE_BYTES] = "";
	size_t from = size > CALL_SIZE_BYTES ? size - CALL_SIZE_BYTES : 0;
	const char *found = strstr(prompt + from, "call=");

	if (found)
		sscanf(found + 5, "%63[0-9A-Za-z_.-]", call);
	return mem_strdup(call);
}

/*
 * Creates the stream that a request body describes.
 * @param cached set to the prompt tokens found in the prefix cache
 */
static stream_t *new_stream(const json_t *body, int64_t *cached)
{
	stream_t *stream = mem_calloc(1, sizeof(*stream));
	const json_t *peers = json_object_get(body, "peers");
	const char *salt = http_json_string(body, "cache_salt", "");
	char *prompt = prompt_text(body);
	size_t size = strlen(prompt), i;

	pthread_cond_init(&stream->changed, NULL);
	stream->first = http_json_integer(body, "resume_tokens", 0);
	stream->id = mem_strdup(http_json_string(body, "stream_id", "none"));
	stream->call = call_id(prompt, size);
	stream->seed = tokens_seed(prompt, size);
	stream->prompt_tokens = prompt_token_count(size) + stream->first;
	stream->generated = stream->first;
	stream->max_tokens = http_json_integer(body, "max_tokens", 16);
	stream->priority = http_json_integer(body, "priority", 0);
	stream->refs = 1;
	for (i = 0; i < json_array_size(peers) && i < BATCH_PEERS_MAX; i++) {
		const char *peer = json_string_value(json_array_get(peers, i));

		stream->peers[i] = mem_strdup(peer ? peer : "");
		stream->peer_count++;
	}
	*cached = batch_cache_prompt(prompt, size, salt);
	free(prompt);
	return stream;
}

/* @return why a stream is refused, for the history; NULL if accepted. */
static const char *refusal_reason(const json_t *body, const stream_t *stream)
{
	if (http_use_fault(&refuse))
		return "fault";
	if (strcmp(http_json_string(body, "model", ""), batch_conf.model) != 0)
		return "model";
	if (http_json_integer(body, "incarnation", batch.incarnation) !=
	    batch.incarnation)
		return "incarnation";
	if (!is_continuation(stream, http_json_string(body, "resume_text", "")))
		return "resume_text";
	return NULL;
}

static enum MHD_Result submit(http_request_t *request)
{
	json_t *body = http_body_json(request);
	const char *reason;
	stream_t *stream;
	int64_t cached;
	bool accepted;

	pthread_mutex_lock(&batch_lock);
	stream = new_stream(body, &cached);
	stream->chat = !strcmp(request->path, "/v1/chat/completions");
	reason = refusal_reason(body, stream);
	json_decref(body);
	if (reason) {
		history_event("refused", "call=\"%s\" reason=%s", stream->call,
			      reason);
		stream_free(stream);
		pthread_mutex_unlock(&batch_lock);
		return http_refuse(request);
	}
	if (stream->peer_count) {
		pthread_mutex_unlock(&batch_lock);
		batch_reserve_on_peers(stream,
				       stream->prompt_tokens /
					       (1 + stream->peer_count));
		pthread_mutex_lock(&batch_lock);
	}
	accepted = batch_add(stream, cached) && !http_use_fault(&lose_submits);
	if (!accepted)
		batch_unref(stream);
	pthread_mutex_unlock(&batch_lock);
	return accepted ? sse_start(request, stream, stream->first) : MHD_NO;
}

static enum MHD_Result on_stream(http_request_t *request, const char *id)
{
	stream_t *stream;

	pthread_mutex_lock(&batch_lock);
	stream = batch_find(id);
	if (stream && !strcmp(request->method, "DELETE"))
		batch_end(stream, STREAM_CANCELLED);
	else if (stream)
		stream->refs++;
	pthread_mutex_unlock(&batch_lock);
	if (!stream)
		return http_reply(request, 404, "{}");
	if (!strcmp(request->method, "DELETE"))
		return http_reply(request, 200, "{}");
	return sse_start(request, stream,
			 http_argument_integer(request, "offset",
					       stream->first));
}

/*
 * Executes an order, which sets the model or the role of the engine. With
 * --fencing enforced, an order is rejected if its fencing token is lower than
 * one received before.
 */
static enum MHD_Result on_order(http_request_t *request, const json_t *body)
{
	int64_t fencing = http_json_integer(body, "fencing", 0);
	const char *model = http_json_string(body, "model", NULL);
	const char *role = http_json_string(body, "role", NULL);
	bool stale = !strcmp(fencing_mode, "enforced") &&
		     fencing < fencing_highest;

	if (fencing > fencing_highest)
		fencing_highest = fencing;
	history_event("order", "fencing=%" PRId64 " kind=%s accepted=%d",
		      fencing, http_json_string(body, "kind", ""), !stale);
	if (stale)
		return http_reply(request, 409, "{}");
	if (model && *model && strcmp(model, batch_conf.model) != 0) {
		free(batch_conf.model);
		batch_conf.model = mem_strdup(model);
		batch_turn_cold();
	}
	if (role && *role) {
		free(batch_conf.role);
		batch_conf.role = mem_strdup(role);
	}
	return http_reply(request, 200, "{}");
}

static enum MHD_Result on_fault(http_request_t *request, const json_t *fault)
{
	int64_t crash = 0, cold = 0;

	http_read_fault(fault, "crash", &crash);
	http_read_fault(fault, "cold", &cold);
	http_read_fault(fault, "refuse", &refuse);
	http_read_fault(fault, "lose_submits", &lose_submits);
	http_read_fault(fault, "cut_after", &sse_faults.cut_after);
	http_read_fault(fault, "cut_count", &sse_faults.cut_count);
	http_read_fault(fault, "crossed", &sse_faults.crossed);
	http_read_fault(fault, "wrong_offset", &sse_faults.wrong_offset);
	http_read_fault(fault, "slow_ms", &batch_conf.slow_ms);
	http_read_fault(fault, "stall", &batch_conf.stall);
	if (crash)
		batch_restart("crash");
	if (cold)
		batch_turn_cold();
	return http_reply(request, fault ? 200 : 400, "{}");
}

static enum MHD_Result export_kv(http_request_t *request, const json_t *body)
{
	stream_t *stream = batch_find(http_json_string(body, "stream_id", ""));

	if (!stream)
		return http_reply(request, 404, "{}");
	return http_reply_json(request, 200,
			       json_pack("{s:s,s:I}", "stream_id", stream->id,
					 "tokens", stream->held_tokens));
}

/*
 * Reserves KV memory for a stream of another engine, `source`: as many tokens
 * as that engine holds for the stream.
 */
static enum MHD_Result import_kv(http_request_t *request)
{
	json_t *body = http_body_json(request);
	const char *id = http_json_string(body, "stream_id", "");
	int64_t tokens =
		batch_fetch_export(http_json_string(body, "source", ""), id);

	pthread_mutex_lock(&batch_lock);
	if (tokens > 0)
		batch_reserve(id, tokens);
	pthread_mutex_unlock(&batch_lock);
	json_decref(body);
	return http_reply(request, tokens > 0 ? 200 : 404, "{}");
}

/* Handles the requests that need batch_lock throughout. */
static enum MHD_Result on_request_locked(http_request_t *request,
					 const json_t *body)
{
	const char *path = request->path;

	if (!strcmp(path, "/v1/load"))
		return http_reply_json(request, 200, batch_load());
	if (!strcmp(path, "/v1/streams"))
		return http_reply_json(request, 200, batch_list());
	if (!strcmp(path, "/v1/cache_events"))
		return http_reply_json(request, 200,
				       batch_cache_events(http_argument_integer(
					       request, "after", 0)));
	if (!strcmp(path, "/v1/orders"))
		return on_order(request, body);
	if (!strcmp(path, "/v1/kv/export"))
		return export_kv(request, body);
	if (!strcmp(path, "/standin/share")) {
		batch_reserve(http_json_string(body, "stream_id", ""),
			      http_json_integer(body, "tokens", 0));
		return http_reply(request, 200, "{}");
	}
	if (!strcmp(path, "/standin/fault"))
		return on_fault(request, body);
	return http_reply(request, 404, "{}");
}

static enum MHD_Result on_request(http_request_t *request)
{
	enum MHD_Result result;
	json_t *body;

	if (!strcmp(request->path, "/v1/completions") ||
	    !strcmp(request->path, "/v1/chat/completions"))
		return submit(request);
	if (!strncmp(request->path, "/v1/streams/", 12))
		return on_stream(request, request->path + 12);
	if (!strcmp(request->path, "/v1/kv/import"))
		return import_kv(request);
	body = http_body_json(request);
	pthread_mutex_lock(&batch_lock);
	result = on_request_locked(request, body);
	pthread_mutex_unlock(&batch_lock);
	json_decref(body);
	return result;
}

int main(int argc, const char **argv)
{
#define NUMBER(option, target, help)                               \
	{                                                          \
		option, 0, POPT_ARG_LONGLONG, target, 0, help, "N" \
	}
#define TEXT(option, target, help)                                  \
	{                                                           \
		option, 0, POPT_ARG_STRING, target, 0, help, "TEXT" \
	}
	struct poptOption options[] = {
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, http_options, 0, NULL,
		  NULL },
		TEXT("name", &name, "name of the server"),
		TEXT("model", &batch_conf.model, "name of the served model"),
		TEXT("role", &batch_conf.role, "both, prefill or decode"),
		TEXT("fencing", &fencing_mode,
		     "fencing tokens: enforced or ignored"),
		NUMBER("kv-tokens", &batch_conf.kv_tokens,
		       "capacity of the KV memory, tokens"),
		NUMBER("prefill-tokens-per-s", &batch_conf.prefill_tokens_per_s,
		       "prefill rate of the engine, tokens/s"),
		NUMBER("decode-tokens-per-s", &batch_conf.decode_tokens_per_s,
		       "decode rate of one stream, tokens/s"),
		NUMBER("cold-limit", &batch_conf.cold_limit,
		       "most running requests while cold"),
		NUMBER("cold-until", &batch_conf.cold_until,
		       "completed requests until it is warm"),
		NUMBER("report-lag-ms", &batch_conf.report_lag_ms,
		       "age of load reports, ms"),
		NUMBER("event-gap", &batch_conf.event_loss_nth,
		       "every Nth cache event is lost; 0: none"),
		{ "shares-kv", 0, POPT_ARG_NONE, &batch_conf.shares_kv, 0,
		  "holds prompt shards with other engines", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	int status;

	http_parse_options(argc, argv, options);
	if (!name)
		name = mem_strdup("engine");
	if (!batch_conf.model)
		batch_conf.model = mem_strdup("m");
	if (!batch_conf.role)
		batch_conf.role = mem_strdup("both");
	if (!fencing_mode)
		fencing_mode = mem_strdup("ignored");
	status = http_serve(name, on_request, batch_start, batch_stop);
	free(name);
	free(fencing_mode);
	free(batch_conf.model);
	free(batch_conf.role);
	return status;
}

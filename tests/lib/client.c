#include "lib/client.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "base/history.h"
#include "base/mem.h"
#include "base/units.h"
#include "lib/prompt.h"
#include "lib/tokens.h"

enum {
	LINE_MAX_BYTES = 4096,
	SLOW_BYTES_PER_S = 4096,
	/* Small, so that the daemon's writes block soon after the caller stops
	 * reading. */
	SLOW_BUFFER_BYTES = 8192,
	CONNECT_TIMEOUT_MS = 2000,
	CALLS_MAX = 4096
};

typedef struct call {
	int slot; /* index in caller_t.calls */
	caller_t *caller;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	call_spec_t spec;
	call_result_t result;
	uint64_t seed; /* seed of the expected tokens */
	int64_t start_us;
	char line[LINE_MAX_BYTES]; /* current line of a stream, or the body of
				    another answer; the rest is dropped */
	size_t line_size;
	int64_t text_bytes; /* bytes of tokens received */
	bool outcome_event; /* received an event whose name starts with
			       chivestage */
	bool end_marker; /* received [DONE] */
} call_t;

struct caller {
	CURLM *multi;
	call_t *calls[CALLS_MAX]; /* calls in flight */
	int running; /* number of calls in flight */
	void (*done)(void *context, const call_spec_t *spec,
		     const call_result_t *result);
	void *context;
};

/* Compares received text with the expected tokens, from the position after the
 * text received before, and counts the bytes that differ. */
static void check_text(call_t *call, const char *text, size_t size)
{
	char token[TOKEN_SIZE_BYTES + 1];
	size_t i;

	for (i = 0; i < size; i++, call->text_bytes++) {
		int64_t at = call->text_bytes % TOKEN_SIZE_BYTES;

		if (!at || !i)
			token_text(call->seed,
				   call->text_bytes / TOKEN_SIZE_BYTES, token);
		call->result.wrong += text[i] != token[at];
	}
	call->result.tokens = call->text_bytes / TOKEN_SIZE_BYTES;
}

/* Finds the string value of a key in a line of JSON. Escapes are not handled,
 * since tokens contain none.
 * @param key with its quotes
 * @return the value, which is not terminated; NULL if the key has no string */
static const char *find_value(const char *line, const char *key, size_t *size)
{
	const char *found = strstr(line, key);

	if (!found)
		return NULL;
	found += strlen(key);
	found += strspn(found, ": ");
	if (*found++ != '"')
		return NULL;
	*size = strcspn(found, "\"");
	return found;
}

static void copy_value(const char *line, const char *key, char *target,
		       size_t capacity)
{
	size_t size;
	const char *value = find_value(line, key, &size);

	if (value)
		snprintf(target, capacity, "%.*s", (int)size, value);
}

static void read_line(call_t *call, const char *line)
{
	call_result_t *result = &call->result;
	const char *text;
	size_t size;

	if (!strncmp(line, "event: chivestage", 17)) {
		call->outcome_event = true;
		return;
	}
	if (strncmp(line, "data:", 5) != 0)
		return;
	if (strstr(line, "[DONE]")) {
		call->end_marker = true;
		return;
	}
	if (call->outcome_event) {
		copy_value(line, "\"outcome\"", result->outcome,
			   sizeof(result->outcome));
		copy_value(line, "\"code\"", result->code,
			   sizeof(result->code));
		return;
	}
	text = find_value(line, call->spec.chat ? "\"content\"" : "\"text\"",
			  &size);
	if (text)
		check_text(call, text, size);
	result->wrong += call->end_marker;
}

static bool is_stream(const call_t *call)
{
	return call->spec.kind == CALL_MODEL && call->result.status == 200;
}

static size_t on_body(char *data, size_t unit, size_t size, void *context)
{
	call_t *call = context;
	long status = 0;
	size_t i;

	if (!call->result.ttft_us)
		call->result.ttft_us = clock_monotonic_us() - call->start_us;
	else if (call->spec.read_mode == READ_STALL)
		return CURL_WRITEFUNC_PAUSE;
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	call->result.status = (int)status;
	for (i = 0; i < size; i++) {
		bool end = data[i] == '\n' && is_stream(call);

		if (!end && call->line_size + 1 < sizeof(call->line))
			call->line[call->line_size++] = data[i];
		call->line[call->line_size] = '\0';
		if (!end)
			continue;
		read_line(call, call->line);
		call->line_size = 0;
	}
	return size;
}

static size_t on_header(char *data, size_t unit, size_t size, void *context)
{
	static const char outcome[] = "Chivestage-Outcome:";
	call_t *call = context;
	char line[128];

	snprintf(line, sizeof(line), "%.*s", (int)size, data);
	line[strcspn(line, "\r\n")] = '\0';
	if (!strncasecmp(line, outcome, strlen(outcome)))
		snprintf(call->result.outcome, sizeof(call->result.outcome),
			 "%.15s",
			 line + strlen(outcome) +
				 strspn(line + strlen(outcome), " "));
	if (!strncasecmp(line, "Retry-After:", 12))
		call->result.retry_after_s = strtoll(line + 12, NULL, 10);
	return size;
}

static int on_socket(void *context, curl_socket_t socket, curlsocktype purpose)
{
	int size = SLOW_BUFFER_BYTES;

	setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	return CURL_SOCKOPT_OK;
}

static void add_header(call_t *call, const char *format, const char *value)
{
	char line[256];

	snprintf(line, sizeof(line), format, value);
	call->headers = curl_slist_append(call->headers, line);
}

static void set_target(call_t *call)
{
	const call_spec_t *spec = &call->spec;
	char url[256];

	switch (spec->kind) {
	case CALL_MODEL:
		snprintf(url, sizeof(url), "http://%s/v1/%scompletions",
			 spec->address, spec->chat ? "chat/" : "");
		call->body = prompt_body(spec, &call->seed);
		break;
	case CALL_LOOKUP:
		snprintf(url, sizeof(url), "http://%s/services/%s/job?call=%s",
			 spec->address, spec->service, spec->id);
		break;
	case CALL_ACTION:
		snprintf(url, sizeof(url), "http://%s/services/%s/submit",
			 spec->address, spec->service);
		call->body = mem_calloc(128, 1);
		snprintf(call->body, 128, "{\"action\":\"%s\"}", spec->action);
		add_header(call, "Idempotency-Key: %s", spec->action);
		break;
	}
	curl_easy_setopt(call->easy, CURLOPT_URL, url);
	if (!call->body)
		return;
	add_header(call, "Content-Type: %s", "application/json");
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->body);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)strlen(call->body));
}

static void set_options(call_t *call)
{
	const call_spec_t *spec = &call->spec;

	set_target(call);
	add_header(call, "Expect:%s", "");
	if (spec->key)
		add_header(call, "Authorization: Bearer %s", spec->key);
	if (spec->class_name)
		add_header(call, "Chivestage-Class: %s", spec->class_name);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	if (spec->read_mode == READ_ALL)
		return;
	curl_easy_setopt(call->easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
	curl_easy_setopt(call->easy, CURLOPT_BUFFERSIZE, 2048L);
	curl_easy_setopt(call->easy, CURLOPT_MAX_RECV_SPEED_LARGE,
			 (curl_off_t)SLOW_BYTES_PER_S);
}

static void record_invoke(const call_spec_t *spec)
{
	static const char *const kinds[] = { "model", "lookup", "action" };

	history_event("invoke",
		      "call=%s kind=%s service=%s action=\"%s\" "
		      "tokens=%" PRId64 " max_tokens=%" PRId64
		      " deadline_ms=%" PRId64,
		      spec->id, kinds[spec->kind], spec->service, spec->action,
		      spec->prompt_tokens, spec->max_tokens, spec->deadline_ms);
}

void caller_start(caller_t *caller, const call_spec_t *spec)
{
	call_t *call = mem_calloc(1, sizeof(*call));

	call->caller = caller;
	call->spec = *spec;
	call->easy = curl_easy_init();
	call->result.kind = spec->kind;
	call->result.prompt_tokens = spec->prompt_tokens;
	call->result.retry_after_s = -1;
	mem_strlcpy(call->result.outcome, "none", sizeof(call->result.outcome));
	set_options(call);
	if (caller->running == CALLS_MAX)
		abort();
	call->slot = caller->running++;
	caller->calls[call->slot] = call;
	record_invoke(spec);
	call->start_us = clock_monotonic_us();
	curl_multi_add_handle(caller->multi, call->easy);
}

static void free_call(call_t *call)
{
	caller_t *caller = call->caller;

	caller->calls[call->slot] = caller->calls[--caller->running];
	caller->calls[call->slot]->slot = call->slot;
	curl_multi_remove_handle(caller->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	free(call->body);
	free(call);
}

/* @return true if the answer of a plain service names this call */
static bool answer_names_call(const call_t *call)
{
	char expected[96];

	if (call->spec.kind == CALL_ACTION)
		snprintf(expected, sizeof(expected), "\"action\":\"%s\"",
			 call->spec.action);
	else
		snprintf(expected, sizeof(expected), "\"call\":\"%s\"",
			 call->spec.id);
	return strstr(call->line, expected) != NULL;
}

/* Fills in the result of a call.
 * @param whole the transfer ended without an error */
static void check_answer(call_t *call, bool whole)
{
	call_result_t *result = &call->result;
	long status = 0, connects = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
	result->status = (int)status;
	result->connected = connects > 0 || status;
	result->total_us = clock_monotonic_us() - call->start_us;
	if (status != 200) {
		copy_value(call->line, "\"code\"", result->code,
			   sizeof(result->code));
	} else if (call->spec.kind == CALL_MODEL) {
		result->complete = whole && call->end_marker &&
				   !result->wrong &&
				   result->tokens == call->spec.max_tokens;
		result->wrong += call->end_marker &&
				 result->tokens != call->spec.max_tokens;
	} else {
		result->answer_hash = XXH64(call->line, call->line_size, 0);
		result->wrong += whole && !answer_names_call(call);
		result->complete = whole && !result->wrong;
	}
}

/* Records how a call ended, passes on its result and frees the call. */
static void end_call(call_t *call, CURLcode code)
{
	const call_result_t *result = &call->result;
	const char *end = "done";

	check_answer(call, code == CURLE_OK);
	if (call->outcome_event)
		end = "event";
	else if (code != CURLE_OK || (is_stream(call) && !call->end_marker))
		end = "cut";
	history_event("response",
		      "call=%s status=%d outcome=%s code=%s end=%s "
		      "connected=%d tokens=%" PRId64 " wrong=%" PRId64
		      " complete=%d ttft_us=%" PRId64 " error=%d",
		      call->spec.id, result->status, result->outcome,
		      *result->code ? result->code : "none", end,
		      result->connected, result->tokens, result->wrong,
		      result->complete, result->ttft_us, (int)code);
	call->caller->done(call->caller->context, &call->spec, result);
	free_call(call);
}

int caller_run(caller_t *caller, int wait_ms)
{
	CURLMsg *message;
	int running, left;

	curl_multi_perform(caller->multi, &running);
	while ((message = curl_multi_info_read(caller->multi, &left))) {
		CURLcode code = message->data.result;
		char *call;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  &call);
		end_call((call_t *)(void *)call, code);
	}
	if (wait_ms > 0)
		curl_multi_poll(caller->multi, NULL, 0, wait_ms, NULL);
	return caller->running;
}

caller_t *caller_create(void (*done)(void *context, const call_spec_t *spec,
				     const call_result_t *result),
			void *context)
{
	caller_t *caller = mem_calloc(1, sizeof(*caller));

	curl_global_init(CURL_GLOBAL_DEFAULT);
	caller->multi = curl_multi_init();
	caller->done = done;
	caller->context = context;
	return caller;
}

void caller_destroy(caller_t *caller)
{
	while (caller->running) {
		call_t *call = caller->calls[caller->running - 1];

		history_event("gone", "call=%s", call->spec.id);
		free_call(call);
	}
	curl_multi_cleanup(caller->multi);
	curl_global_cleanup();
	free(caller);
}

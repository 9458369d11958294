#include "connection/platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "connection/platform_codec.h"

/* A platform object holds up to 1 MB; a VM list of 810 nodes about 200 kB. */
enum { ANSWER_MAX_BYTES = 2 * 1024 * 1024 };

typedef struct call {
	struct call *next;
	platform_t *platform;
	client_call_t *handle;
	platform_call_type_t type;
	int64_t version; /* watch: only a higher one counts */
	char *data;
	size_t size_bytes;
	bool overflow;
	platform_done_t done;
	platform_vms_done_t vms_done;
	void *context;
} call_t;

struct platform {
	client_t *client;
	platform_conf_t conf;
	call_t *calls;
	int64_t budget_us; /* unused budget as time at calls_per_s */
	int64_t refilled_us;
	int32_t failures; /* calls without an answer since the last answer */
	bool failing;
};

platform_t *platform_create(client_t *client, const platform_conf_t *conf)
{
	platform_t *platform = mem_calloc(1, sizeof(*platform));

	platform->client = client;
	platform->conf = *conf;
	platform->budget_us = US_PER_S;
	platform->refilled_us = clock_monotonic_us();
	return platform;
}

static void free_call(call_t *call)
{
	free(call->data);
	free(call);
}

static void remove_call(call_t *call)
{
	LL_DELETE(call->platform->calls, call);
	free_call(call);
}

void platform_destroy(platform_t *platform)
{
	call_t *call, *next;

	if (!platform)
		return;
	LL_FOREACH_SAFE (platform->calls, call, next) {
		client_call_cancel(call->handle);
		free_call(call);
	}
	free(platform);
}

/* Token bucket of one second's worth of calls. */
static bool take_budget(platform_t *platform)
{
	int64_t now_us = clock_monotonic_us();
	int64_t price_us = US_PER_S / platform->conf.calls_per_s;

	platform->budget_us += now_us - platform->refilled_us;
	platform->refilled_us = now_us;
	if (platform->budget_us > US_PER_S)
		platform->budget_us = US_PER_S;
	if (platform->budget_us < price_us) {
		metrics_add(METRIC_PLATFORM_BUDGET_REFUSED, 1);
		return false;
	}
	platform->budget_us -= price_us;
	return true;
}

bool platform_available(const platform_t *platform)
{
	return !platform->failing;
}

/*
 * One lost answer says little. Calls that could not be sent, or two lost ones
 * in a row, count as an outage until the next answer.
 */
static void note_status(platform_t *platform, platform_status_t status)
{
	bool failing;

	if (status == PLATFORM_UNSENT || status == PLATFORM_UNKNOWN) {
		metrics_add(METRIC_PLATFORM_FAILURES, 1);
		platform->failures += status == PLATFORM_UNSENT ? 2 : 1;
	} else {
		platform->failures = 0;
	}
	failing = platform->failures >= 2;
	if (failing == platform->failing)
		return;
	platform->failing = failing;
	log_event(failing ? EVENT_PLATFORM_FAILING : EVENT_PLATFORM_ANSWERING,
		  "url=%s", platform->conf.url);
}

static void finish_vms(call_t *call, platform_status_t status)
{
	platform_vm_t *vms = NULL;
	size_t count = 0;
	err_t err;

	if (status == PLATFORM_OK) {
		vms = platform_parse_vms(call->data, call->size_bytes, &count,
					 &err);
		if (!vms) {
			log_event(EVENT_PLATFORM_BAD_ANSWER, "problem=\"%s\"",
				  err.message);
			status = PLATFORM_UNKNOWN;
		}
	}
	call->vms_done(call->context, status, vms, vms ? count : 0);
	free(vms);
}

static void finish_object(call_t *call, platform_status_t status)
{
	platform_object_t object;
	json_t *root = NULL;
	err_t err;

	if (status == PLATFORM_OK && call->type != PLATFORM_CALL_WATCH &&
	    call->type != PLATFORM_CALL_DELETE) {
		root = platform_parse_object(call->data, call->size_bytes,
					     &object, &err);
		if (!root) {
			log_event(EVENT_PLATFORM_BAD_ANSWER, "problem=\"%s\"",
				  err.message);
			status = PLATFORM_UNKNOWN;
		}
	}
	call->done(call->context, status, root ? &object : NULL);
	json_decref(root);
}

static void on_end(void *context, client_end_t end, int http_status)
{
	call_t *call = context;
	platform_status_t status =
		platform_status(call->type, end, http_status);

	call->handle = NULL;
	if (status == PLATFORM_OK && call->overflow)
		status = PLATFORM_UNKNOWN;
	note_status(call->platform, status);
	if (call->type == PLATFORM_CALL_VMS)
		finish_vms(call, status);
	else
		finish_object(call, status);
	remove_call(call);
}

/* @return whether the line ended the watch. */
static bool handle_line(call_t *call, const char *line, size_t size)
{
	platform_object_t object;
	json_t *root = NULL;
	platform_status_t status;

	if (!size)
		return false;
	status = platform_parse_event(line, size, &root, &object);
	if (status == PLATFORM_UNKNOWN)
		log_event(EVENT_PLATFORM_BAD_ANSWER,
			  "problem=\"malformed watch line\"");
	if (status == PLATFORM_OK && object.version <= call->version) {
		json_decref(root);
		return false;
	}
	call->done(call->context, status,
		   status == PLATFORM_OK ? &object : NULL);
	json_decref(root);
	return true;
}

/* @return whether a line ended the watch. */
static bool handle_lines(call_t *call)
{
	char *line = call->data, *end = line + call->size_bytes, *newline;

	while ((newline = memchr(line, '\n', (size_t)(end - line)))) {
		if (handle_line(call, line, (size_t)(newline - line)))
			return true;
		line = newline + 1;
	}
	call->size_bytes = (size_t)(end - line);
	memmove(call->data, line, call->size_bytes);
	return false;
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	call_t *call = context;

	if (call->overflow || size > ANSWER_MAX_BYTES - call->size_bytes) {
		call->overflow = true;
		return CLIENT_CONTINUE;
	}
	call->data = mem_realloc(call->data, call->size_bytes + size, 1);
	memcpy(call->data + call->size_bytes, data, size);
	call->size_bytes += size;
	if (call->type == PLATFORM_CALL_WATCH && handle_lines(call)) {
		client_call_cancel(call->handle);
		remove_call(call);
	}
	return CLIENT_CONTINUE;
}

static call_t *new_call(platform_t *platform, platform_call_type_t type,
			platform_done_t done, void *context)
{
	call_t *call = mem_calloc(1, sizeof(*call));

	call->platform = platform;
	call->type = type;
	call->done = done;
	call->context = context;
	LL_PREPEND(platform->calls, call);
	return call;
}

static void refuse(call_t *call, platform_status_t status)
{
	if (call->type == PLATFORM_CALL_VMS)
		call->vms_done(call->context, status, NULL, 0);
	else
		call->done(call->context, status, NULL);
	remove_call(call);
}

/* Sends a call; @p text is its body or NULL and is freed. */
static void start(call_t *call, const char *method, const char *url, char *text,
		  int64_t wait_ms)
{
	platform_t *platform = call->platform;
	char authorization[NAME_SIZE_BYTES + 32];
	const char *headers[] = { "Accept: application/json",
				  "Content-Type: application/json",
				  authorization, NULL };
	const client_handler_t handler = { .on_data = on_data,
					   .on_end = on_end,
					   .context = call };
	client_request_t request = {
		.method = method,
		.url = url,
		.headers = headers,
		.body = text,
		.body_size_bytes = text ? strlen(text) : 0,
		.connect_timeout_ms = platform->conf.timeout_ms,
		.idle_timeout_ms = platform->conf.timeout_ms + wait_ms,
		.total_timeout_ms = platform->conf.timeout_ms + wait_ms,
		/*
		 * A repeated create would be answered "exists" for the
		 * object that the first sending made.
		 */
		.at_most_once = call->type == PLATFORM_CALL_CREATE ||
				call->type == PLATFORM_CALL_WRITE ||
				call->type == PLATFORM_CALL_DELETE,
	};

	if (*platform->conf.token)
		snprintf(authorization, sizeof(authorization),
			 "Authorization: Bearer %s", platform->conf.token);
	else
		headers[2] = NULL;
	if (take_budget(platform)) {
		metrics_add(METRIC_PLATFORM_CALLS, 1);
		call->handle =
			client_call(platform->client, &request, &handler);
	} else {
		refuse(call, PLATFORM_BUDGET);
	}
	free(text);
}

static void start_object(call_t *call, const char *method, platform_kind_t kind,
			 const char *name, const char *query, char *text,
			 int64_t wait_ms)
{
	char url[PLATFORM_URL_SIZE_BYTES];
	size_t length;

	if (!platform_url(url, &call->platform->conf, platform_kind_text(kind),
			  name)) {
		free(text);
		refuse(call, PLATFORM_REFUSED);
		return;
	}
	length = strlen(url);
	if (query && mem_strlcpy(url + length, query, sizeof(url) - length)) {
		refuse(call, PLATFORM_REFUSED);
		return;
	}
	start(call, method, url, text, wait_ms);
}

void platform_get(platform_t *platform, platform_kind_t kind, const char *name,
		  platform_done_t done, void *context)
{
	call_t *call = new_call(platform, PLATFORM_CALL_READ, done, context);

	start_object(call, "GET", kind, name, NULL, NULL, 0);
}

void platform_create_object(platform_t *platform, platform_kind_t kind,
			    const char *name, json_t *spec,
			    platform_done_t done, void *context)
{
	call_t *call = new_call(platform, PLATFORM_CALL_CREATE, done, context);
	char *text = platform_format_object(name, 0, spec);

	json_decref(spec);
	start_object(call, "POST", kind, name, NULL, text, 0);
}

void platform_put(platform_t *platform, platform_kind_t kind, const char *name,
		  int64_t version, json_t *spec, platform_done_t done,
		  void *context)
{
	call_t *call = new_call(platform, PLATFORM_CALL_WRITE, done, context);
	char *text = platform_format_object(name, version, spec);

	json_decref(spec);
	start_object(call, "PUT", kind, name, NULL, text, 0);
}

void platform_delete(platform_t *platform, platform_kind_t kind,
		     const char *name, int64_t version, platform_done_t done,
		     void *context)
{
	call_t *call = new_call(platform, PLATFORM_CALL_DELETE, done, context);
	char query[64];

	snprintf(query, sizeof(query), "?resourceVersion=%" PRId64, version);
	start_object(call, "DELETE", kind, name, query, NULL, 0);
}

void platform_watch(platform_t *platform, platform_kind_t kind,
		    const char *name, int64_t version, int64_t wait_ms,
		    platform_done_t done, void *context)
{
	call_t *call = new_call(platform, PLATFORM_CALL_WATCH, done, context);
	char query[128];

	call->version = version;
	snprintf(query, sizeof(query),
		 "?watch=true&resourceVersion=%" PRId64
		 "&timeoutSeconds=%" PRId64,
		 version, (wait_ms + MS_PER_S - 1) / MS_PER_S);
	start_object(call, "GET", kind, name, query, NULL, wait_ms);
}

void platform_list_vms(platform_t *platform, platform_vms_done_t done,
		       void *context)
{
	call_t *call = new_call(platform, PLATFORM_CALL_VMS, NULL, context);
	char url[PLATFORM_URL_SIZE_BYTES];

	call->vms_done = done;
	if (platform_url(url, &platform->conf, "vms", NULL))
		start(call, "GET", url, NULL, 0);
	else
		refuse(call, PLATFORM_REFUSED);
}

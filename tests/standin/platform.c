/**
 * Stand-in of the platform's object API, in the form of Kubernetes objects:
 * versions, conditional updates, watches of one object, and the VM list.
 * POST /standin/vms {"items":[...]} sets the VM list, which shows after a lag.
 * Faults: down (no answer to any call), slow_ms, lose_answers (of the next N
 * writes, after they took effect), cut (names of callers, by their bearer
 * tokens, that get no answer; their watches hang).
 */
#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/clock.h"
#include "base/history.h"
#include "base/mem.h"
#include "base/units.h"
#include "lib_http.h"

#define PREFIX "/apis/chivestage.dev/v1/namespaces/"
enum { POLL_MS = 200, WATCH_MAX_S = 60, CUT_MS = 3000 };

/** One object; a deleted one stays, so that watches see the deletion. */
typedef struct object {
	struct object *next;
	char *path;
	int64_t version;
	json_t *spec;
	bool deleted;
} object_t;

typedef struct {
	char *path;
	char *token;
	int64_t version;
	int64_t end_us;
	char *line; /* being sent */
	size_t sent;
} watch_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static object_t *objects;
static int64_t last_version, vms_since_us;
static json_t *vms, *vms_before;
static json_t *cut; /* tokens of callers that get no answer */
static int64_t lag_ms, down, slow_ms, lose_answers;

static object_t *find(const char *path)
{
	object_t *object;

	for (object = objects; object; object = object->next)
		if (!strcmp(object->path, path))
			return object;
	return NULL;
}

static const char *last_name(const char *path)
{
	const char *slash = strrchr(path, '/');

	return slash ? slash + 1 : path;
}

static json_t *object_json(const object_t *object)
{
	char version[24];

	snprintf(version, sizeof(version), "%" PRId64, object->version);
	return json_pack("{s:{s:s,s:s},s:O}", "metadata", "name",
			 last_name(object->path), "resourceVersion", version,
			 "spec", object->spec);
}

static enum MHD_Result reply_status(http_request_t *request, int status,
				    const char *reason)
{
	return http_reply_json(request, status,
			       json_pack("{s:s,s:s,s:s,s:i}", "kind", "Status",
					 "status", "Failure", "reason", reason,
					 "code", status));
}

/* Loses the answer of a write that took effect, if so ordered. */
static enum MHD_Result reply_write(http_request_t *request, int status,
				   const object_t *object)
{
	if (http_take(&lose_answers))
		return MHD_NO;
	return http_reply_json(request, status, object_json(object));
}

/* Names the servers that a configuration has in service, as ",a,b,". */
static void record_accepted(const json_t *spec)
{
	const json_t *centres = json_object_get(spec, "data_centres"), *item;
	const json_t *servers = json_object_get(spec, "servers");
	char names[1024] = ",", retired[1024] = ",", centre[96];
	size_t i, used = 1;

	json_array_foreach(centres, i, item)
	{
		if (json_is_true(json_object_get(item, "retired")))
			used += (size_t)snprintf(
				retired + used, sizeof(retired) - used,
				"%.64s,", http_json_string(item, "name", ""));
	}
	used = 1;
	json_array_foreach(servers, i, item)
	{
		snprintf(centre, sizeof(centre), ",%.64s,",
			 http_json_string(item, "data_centre", ""));
		if (!json_is_true(json_object_get(item, "retired")) &&
		    !strstr(retired, centre) && used + 70 < sizeof(names))
			used += (size_t)snprintf(
				names + used, sizeof(names) - used, "%.64s,",
				http_json_string(item, "name", ""));
	}
	history_event("accepted",
		      "version=%" PRId64 " change_id=%s in_service=%s",
		      http_json_integer(spec, "version", 0),
		      http_json_string(spec, "change_id", ""), names);
}

static void store(object_t *object, json_t *spec)
{
	object->version = ++last_version;
	object->deleted = !spec;
	if (spec) {
		json_decref(object->spec);
		object->spec = json_incref(spec);
	}
	if (spec && strstr(object->path, "/configurations/"))
		record_accepted(spec);
	pthread_cond_broadcast(&changed);
}

static enum MHD_Result create(http_request_t *request, const char *kind,
			      json_t *body)
{
	const char *name = http_json_string(json_object_get(body, "metadata"),
					    "name", last_name(kind));
	json_t *spec = json_object_get(body, "spec");
	object_t *object;
	char path[1024];

	/* The name may be in the path, in the body, or in both. */
	snprintf(path, sizeof(path), "%s%s%s", kind,
		 strcmp(last_name(kind), name) ? "/" : "",
		 strcmp(last_name(kind), name) ? name : "");
	object = find(path);
	if (!json_is_object(spec))
		return reply_status(request, 400, "BadRequest");
	if (object && !object->deleted)
		return reply_status(request, 409, "AlreadyExists");
	if (!object) {
		object = mem_calloc(1, sizeof(*object));
		object->path = mem_strdup(path);
		object->next = objects;
		objects = object;
	}
	store(object, spec);
	return reply_write(request, 201, object);
}

static enum MHD_Result put(http_request_t *request, object_t *object,
			   const json_t *body)
{
	json_t *spec = json_object_get(body, "spec");

	if (!json_is_object(spec))
		return reply_status(request, 400, "BadRequest");
	if (http_json_integer(json_object_get(body, "metadata"),
			      "resourceVersion", -1) != object->version)
		return reply_status(request, 409, "Conflict");
	store(object, spec);
	return reply_write(request, 200, object);
}

static enum MHD_Result delete (http_request_t *request, object_t *object,
			       const json_t *body) {
	const json_t *conditions = json_object_get(body, "preconditions");
	int64_t version = http_json_integer(
		conditions, "resourceVersion",
		http_argument_integer(request, "resourceVersion",
				      object->version));

	if (version != object->version) return reply_status(request, 409,
							    "Conflict");
	store(object, NULL);
	if (http_take(&lose_answers)) return MHD_NO;
	return http_reply(request, 200, "{\"kind\":\"Status\"}");
}

/* Waits for a newer version of the watched object; true if there is one. */
static bool next_event(watch_t *watch)
{
	struct timespec until;
	object_t *object = find(watch->path);
	json_t *event;

	if (!object || object->version <= watch->version) {
		clock_gettime(CLOCK_REALTIME, &until);
		until.tv_nsec += POLL_MS * 1000000L;
		until.tv_sec += until.tv_nsec / 1000000000L;
		until.tv_nsec %= 1000000000L;
		pthread_cond_timedwait(&changed, &lock, &until);
		return false;
	}
	event = json_pack("{s:s,s:o}", "type",
			  object->deleted  ? "DELETED"
			  : watch->version ? "MODIFIED"
					   : "ADDED",
			  "object", object_json(object));
	watch->version = object->version;
	watch->line = json_dumps(event, JSON_COMPACT);
	watch->sent = 0;
	json_decref(event);
	return true;
}

static bool is_cut(const char *token)
{
	const json_t *name;
	size_t i;

	json_array_foreach(cut, i, name)
	{
		if (!strcmp(json_string_value(name), token))
			return true;
	}
	return false;
}

/* Waits a little; whether the watch has a line that may be sent. */
static bool is_due(watch_t *watch)
{
	bool found = watch->line || next_event(watch);

	if (!is_cut(watch->token))
		return found;
	pthread_mutex_unlock(&lock);
	http_sleep_ms(POLL_MS);
	pthread_mutex_lock(&lock);
	return false;
}

/* A caller that is cut off does not see the end either. */
static bool is_over(const watch_t *watch)
{
	int64_t late_us = is_cut(watch->token) ? CUT_MS * US_PER_MS : 0;

	return clock_monotonic_us() > watch->end_us + late_us;
}

static ssize_t read_watch(void *context, uint64_t position, char *buffer,
			  size_t size)
{
	watch_t *watch = context;
	size_t length;

	pthread_mutex_lock(&lock);
	while (!is_due(watch))
		if (http_stopping || down || is_over(watch)) {
			pthread_mutex_unlock(&lock);
			return down || is_cut(watch->token)
				       ? MHD_CONTENT_READER_END_WITH_ERROR
				       : MHD_CONTENT_READER_END_OF_STREAM;
		}
	pthread_mutex_unlock(&lock);
	length = strlen(watch->line) - watch->sent;
	if (length >= size) {
		memcpy(buffer, watch->line + watch->sent, size);
		watch->sent += size;
		return (ssize_t)size;
	}
	memcpy(buffer, watch->line + watch->sent, length);
	buffer[length] = '\n';
	free(watch->line);
	watch->line = NULL;
	return (ssize_t)length + 1;
}

static void free_watch(void *context)
{
	watch_t *watch = context;

	free(watch->line);
	free(watch->path);
	free(watch->token);
	free(watch);
}

static enum MHD_Result start_watch(http_request_t *request, const char *path)
{
	watch_t *watch = mem_calloc(1, sizeof(*watch));

	watch->path = mem_strdup(path);
	watch->token = mem_strdup(http_bearer(request));
	watch->version = http_argument_integer(request, "resourceVersion", 0);
	watch->end_us = clock_monotonic_us() +
			US_PER_S * http_argument_integer(request,
							 "timeoutSeconds",
							 WATCH_MAX_S);
	return http_stream(request, "application/json", read_watch, watch,
			   free_watch);
}

/* Objects of a kind, without those of longer names of a kind. */
static enum MHD_Result list(http_request_t *request, const char *kind)
{
	json_t *items = json_array();
	size_t length = strlen(kind);
	object_t *object;

	for (object = objects; object; object = object->next)
		if (!object->deleted && !strncmp(object->path, kind, length) &&
		    object->path[length] == '/')
			json_array_append_new(items, object_json(object));
	return http_reply_json(request, 200,
			       json_pack("{s:o}", "items", items));
}

static enum MHD_Result list_vms(http_request_t *request)
{
	bool lagging = clock_monotonic_us() - vms_since_us < lag_ms * US_PER_MS;

	return http_reply_json(request, 200,
			       json_pack("{s:O}", "items",
					 lagging ? vms_before : vms));
}

static enum MHD_Result on_object(http_request_t *request, const char *path,
				 json_t *body)
{
	object_t *object = find(path);

	/* NS/KIND has one slash, NS/KIND/NAME two. */
	if (!strcmp(request->method, "POST"))
		return create(request, path, body);
	if (!strcmp(last_name(path), "vms"))
		return list_vms(request);
	if (strchr(path, '/') == strrchr(path, '/'))
		return list(request, path);
	if (http_argument(request, "watch"))
		return start_watch(request, path);
	if (!object || object->deleted)
		return reply_status(request, 404, "NotFound");
	if (!strcmp(request->method, "GET"))
		return http_reply_json(request, 200, object_json(object));
	if (!strcmp(request->method, "PUT"))
		return put(request, object, body);
	if (!strcmp(request->method, "DELETE"))
		return delete (request, object, body);
	return reply_status(request, 405, "MethodNotAllowed");
}

static enum MHD_Result on_control(http_request_t *request, json_t *body)
{
	json_t *items = json_object_get(body, "items");
	int64_t was_down = down;

	if (!body)
		return reply_status(request, 400, "BadRequest");
	if (!strcmp(request->path, "/standin/vms") && json_is_array(items)) {
		json_decref(vms_before);
		vms_before = vms;
		vms = json_incref(items);
		vms_since_us = clock_monotonic_us();
	}
	http_fault(body, "down", &down);
	if (json_is_array(json_object_get(body, "cut"))) {
		json_decref(cut);
		cut = json_incref(json_object_get(body, "cut"));
	}
	if (down != was_down)
		history_event(down ? "paused" : "resumed", "node=platform");
	http_fault(body, "slow_ms", &slow_ms);
	http_fault(body, "lose_answers", &lose_answers);
	return http_reply(request, 200, "{}");
}

static enum MHD_Result on_request(http_request_t *request)
{
	bool control = !strncmp(request->path, "/standin/", 9);
	enum MHD_Result result = MHD_NO;
	json_t *body = NULL;

	if (!control)
		http_sleep_ms(slow_ms);
	pthread_mutex_lock(&lock);
	body = http_body_json(request);
	if (!control && is_cut(http_bearer(request))) {
		json_decref(body);
		pthread_mutex_unlock(&lock);
		http_sleep_ms(CUT_MS);
		return MHD_NO;
	}
	if (control)
		result = on_control(request, body);
	else if (!down && strncmp(request->path, PREFIX, strlen(PREFIX)) != 0)
		result = reply_status(request, 404, "NotFound");
	else if (!down)
		result = on_object(request, request->path + strlen(PREFIX),
				   body);
	json_decref(body);
	pthread_mutex_unlock(&lock);
	return result;
}

static void clear(void)
{
	object_t *object;

	while ((object = objects)) {
		objects = object->next;
		json_decref(object->spec);
		free(object->path);
		free(object);
	}
	json_decref(vms);
	json_decref(vms_before);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = { { NULL, 0, POPT_ARG_INCLUDE_TABLE,
					  http_options, 0, NULL, NULL },
					{ "lag-ms", 0, POPT_ARG_LONGLONG,
					  &lag_ms, 0, "age of the VM list",
					  "MS" },
					POPT_AUTOHELP POPT_TABLEEND };
	int status;

	http_parse_options(argc, argv, options);
	vms = json_array();
	vms_before = json_array();
	status = http_serve("platform", on_request, NULL, NULL);
	clear();
	return status;
}

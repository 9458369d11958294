/**
 * Stand-in for the platform's object store: revisions, conditional updates,
 * lists and watches of all objects of a kind, and the VM list.
 *
 * POST /standin/vms {"items":[...]} sets the VM list. Calls still
 * receive the previous list until --lag-ms have passed.
 *
 * Faults, set by POST /standin/...:
 * - down: no call gets an answer
 * - slow_ms: delay of each call, in ms
 * - lose_answers: the next N writes take effect, but their answers are lost
 * - cut: bearer tokens of clients that are partitioned from the store: their
 *   calls get no answer, and their watches hang
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

#define PREFIX "/objects/"
enum {
	POLL_MS = 200, /* longest time between the checks of a watch for faults
			  and for its end */
	WATCH_MAX_MS = 30000, /* duration of a watch without waitMs */
	/* Time for which a call of a partitioned client hangs. */
	PARTITION_HANG_MS = 3000
};

/**
 * Object of the store. A deleted object stays, so that watches see the
 * deletion.
 */
typedef struct object {
	struct object *next;
	char *path; /**< KIND/NAME */
	int64_t version; /**< revision of the store at the last change */
	json_t *spec;
	bool deleted;
} object_t;

/** Open watch of the objects of one kind. */
typedef struct {
	char *kind;
	char *token; /**< bearer token of the client */
	int64_t revision; /**< changes after this revision are sent */
	int64_t end_us; /**< when an answer without changes is sent */
	char *answer; /**< answer that is being sent; NULL: no change yet */
	size_t sent; /**< bytes of the answer that are sent */
} watch_t;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static object_t *objects;
static int64_t last_version, vms_since_us;
static json_t *vms, *previous_vms; /* current and previous VM list */
static json_t *partitioned_tokens; /* bearer tokens of partitioned clients */
static int64_t lag_ms, down, slow_ms, lose_answers;

static object_t *find(const char *path)
{
	object_t *object;

	for (object = objects; object; object = object->next)
		if (!strcmp(object->path, path))
			return object;
	return NULL;
}

static const char *object_name(const char *path)
{
	const char *slash = strrchr(path, '/');

	return slash ? slash + 1 : path;
}

static json_t *object_json(const object_t *object)
{
	return json_pack("{s:{s:s,s:I},s:O}", "meta", "name",
			 object_name(object->path), "revision",
			 (json_int_t)object->version, "spec", object->spec);
}

static enum MHD_Result reply_status(http_request_t *request, int status,
				    const char *reason)
{
	return http_reply_json(request, status,
			       json_pack("{s:s,s:s,s:s,s:i}", "kind", "Status",
					 "status", "Failure", "reason", reason,
					 "code", status));
}

/** Answers a write that took effect; loses the answer under lose_answers. */
static enum MHD_Result reply_write(http_request_t *request, int status,
				   const object_t *object)
{
	if (http_use_fault(&lose_answers))
		return MHD_NO;
	return http_reply_json(request, status, object_json(object));
}

/**
 * Records an accepted configuration in the history, with the servers that it
 * has in service as ",a,b,".
 */
static void record_accepted(const json_t *spec)
{
	const json_t *data_centres = json_object_get(spec, "data_centres"),
		     *item;
	const json_t *servers = json_object_get(spec, "servers");
	char names[1024] = ",", retired[1024] = ",", data_centre[96];
	size_t i, used = 1;

	json_array_foreach(data_centres, i, item)
	{
		if (json_is_true(json_object_get(item, "retired")))
			used += (size_t)snprintf(
				retired + used, sizeof(retired) - used,
				"%.64s,", http_json_string(item, "name", ""));
	}
	used = 1;
	json_array_foreach(servers, i, item)
	{
		snprintf(data_centre, sizeof(data_centre), ",%.64s,",
			 http_json_string(item, "data_centre", ""));
		if (!json_is_true(json_object_get(item, "retired")) &&
		    !strstr(retired, data_centre) && used + 70 < sizeof(names))
			used += (size_t)snprintf(
				names + used, sizeof(names) - used, "%.64s,",
				http_json_string(item, "name", ""));
	}
	history_event("accepted",
		      "version=%" PRId64 " change_id=%s in_service=%s",
		      http_json_integer(spec, "version", 0),
		      http_json_string(spec, "change_id", ""), names);
}

/**
 * Writes or deletes an object and wakes the watches.
 * @param spec new content; NULL: deletes the object
 */
static void store(object_t *object, json_t *spec)
{
	object->version = ++last_version;
	object->deleted = !spec;
	if (spec) {
		json_decref(object->spec);
		object->spec = json_incref(spec);
	}
	if (spec && strstr(object->path, "configurations/"))
		record_accepted(spec);
	pthread_cond_broadcast(&changed);
}

static enum MHD_Result create(http_request_t *request, const char *kind,
			      json_t *body)
{
	const char *name =
		http_json_string(json_object_get(body, "meta"), "name", "");
	json_t *spec = json_object_get(body, "spec");
	object_t *object;
	char path[1024];

	snprintf(path, sizeof(path), "%s/%s", kind, name);
	object = find(path);
	if (!json_is_object(spec) || !*name)
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
	if (http_json_integer(json_object_get(body, "meta"), "revision", -1) !=
	    object->version)
		return reply_status(request, 409, "Conflict");
	store(object, spec);
	return reply_write(request, 200, object);
}

static enum MHD_Result delete_object(http_request_t *request, object_t *object)
{
	if (http_argument_integer(request, "revision", object->version) !=
	    object->version)
		return reply_status(request, 409, "Conflict");
	store(object, NULL);
	if (http_use_fault(&lose_answers))
		return MHD_NO;
	return http_reply(request, 200, "{}");
}

static bool is_of_kind(const object_t *object, const char *kind)
{
	size_t length = strlen(kind);

	return !strncmp(object->path, kind, length) &&
	       object->path[length] == '/';
}

/** @return the changes of a kind after @p revision, oldest first */
static json_t *changes_since(const char *kind, int64_t revision)
{
	json_t *events = json_array();
	const object_t *object, *next;

	for (;;) {
		next = NULL;
		for (object = objects; object; object = object->next)
			if (is_of_kind(object, kind) &&
			    object->version > revision &&
			    (!next || object->version < next->version))
				next = object;
		if (!next)
			return events;
		json_array_append_new(events,
				      json_pack("{s:o,s:b}", "object",
						object_json(next), "deleted",
						next->deleted));
		revision = next->version;
	}
}

/**
 * Sets the answer of a watch if there is a change.
 * @param timed_out true: the watch timed out, answer also without a change
 */
static void answer_watch(watch_t *watch, bool timed_out)
{
	json_t *events = changes_since(watch->kind, watch->revision), *page;

	if (!json_array_size(events) && !timed_out) {
		json_decref(events);
		return;
	}
	page = json_pack("{s:o,s:I}", "events", events, "storeRevision",
			 (json_int_t)last_version);
	watch->answer = json_dumps(page, JSON_COMPACT);
	json_decref(page);
}

/** Waits for a change of any object, POLL_MS at most. */
static void wait_for_change(void)
{
	struct timespec until;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_nsec += POLL_MS * 1000000L;
	until.tv_sec += until.tv_nsec / 1000000000L;
	until.tv_nsec %= 1000000000L;
	pthread_cond_timedwait(&changed, &lock, &until);
}

static bool is_partitioned(const char *token)
{
	const json_t *name;
	size_t i;

	json_array_foreach(partitioned_tokens, i, name)
	{
		if (!strcmp(json_string_value(name), token))
			return true;
	}
	return false;
}

/**
 * Waits until the answer of a watch is set. The watch of a partitioned client
 * gets no answer, and hangs for PARTITION_HANG_MS beyond its end.
 * @return false if the connection must be closed without an answer
 */
static bool wait_for_answer(watch_t *watch)
{
	for (;;) {
		bool timed_out = clock_monotonic_us() > watch->end_us;
		bool partitioned = is_partitioned(watch->token);

		if (http_stopping || down)
			return false;
		if (partitioned &&
		    clock_monotonic_us() >
			    watch->end_us + PARTITION_HANG_MS * US_PER_MS)
			return false;
		if (!partitioned)
			answer_watch(watch, timed_out);
		if (watch->answer)
			return true;
		wait_for_change();
	}
}

/** Sends the answer of a watch; an MHD_ContentReaderCallback. */
static ssize_t read_watch(void *context, uint64_t position, char *buffer,
			  size_t size)
{
	watch_t *watch = context;
	size_t length;
	bool answered = true;

	pthread_mutex_lock(&lock);
	if (!watch->answer)
		answered = wait_for_answer(watch);
	pthread_mutex_unlock(&lock);
	if (!answered)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	length = strlen(watch->answer) - watch->sent;
	if (!length)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (length > size)
		length = size;
	memcpy(buffer, watch->answer + watch->sent, length);
	watch->sent += length;
	return (ssize_t)length;
}

static void free_watch(void *context)
{
	watch_t *watch = context;

	free(watch->answer);
	free(watch->kind);
	free(watch->token);
	free(watch);
}

static enum MHD_Result start_watch(http_request_t *request, const char *kind)
{
	watch_t *watch = mem_calloc(1, sizeof(*watch));

	watch->kind = mem_strdup(kind);
	watch->token = mem_strdup(http_bearer(request));
	watch->revision = http_argument_integer(request, "watch", 0);
	watch->end_us = clock_monotonic_us() +
			US_PER_MS * http_argument_integer(request, "waitMs",
							  WATCH_MAX_MS);
	return http_stream(request, "application/json", read_watch, watch,
			   free_watch);
}

static enum MHD_Result reply_items(http_request_t *request, json_t *items)
{
	return http_reply_json(request, 200,
			       json_pack("{s:o,s:b,s:I}", "items", items,
					 "morePages", 0, "storeRevision",
					 (json_int_t)last_version));
}

static enum MHD_Result list(http_request_t *request, const char *kind)
{
	json_t *items = json_array();
	object_t *object;

	for (object = objects; object; object = object->next)
		if (!object->deleted && is_of_kind(object, kind))
			json_array_append_new(items, object_json(object));
	return reply_items(request, items);
}

static enum MHD_Result list_vms(http_request_t *request)
{
	bool lagging = clock_monotonic_us() - vms_since_us < lag_ms * US_PER_MS;

	return reply_items(request, json_incref(lagging ? previous_vms : vms));
}

static bool is_vm_list(const char *kind)
{
	size_t length = strlen(kind);

	return length > 4 && !strcmp(kind + length - 4, "-vms");
}

/**
 * Handles a call of the store.
 * @param path KIND, or KIND/NAME
 */
static enum MHD_Result on_object(http_request_t *request, const char *path,
				 json_t *body)
{
	object_t *object = find(path);

	if (!strcmp(request->method, "POST"))
		return create(request, path, body);
	if (is_vm_list(path))
		return list_vms(request);
	if (http_argument(request, "watch"))
		return start_watch(request, path);
	if (!strchr(path, '/'))
		return list(request, path);
	if (!object || object->deleted)
		return reply_status(request, 404, "NotFound");
	if (!strcmp(request->method, "GET"))
		return http_reply_json(request, 200, object_json(object));
	if (!strcmp(request->method, "PUT"))
		return put(request, object, body);
	if (!strcmp(request->method, "DELETE"))
		return delete_object(request, object);
	return reply_status(request, 405, "MethodNotAllowed");
}

/** Handles a request of a test to set the VM list or faults. */
static enum MHD_Result on_control(http_request_t *request, json_t *body)
{
	json_t *items = json_object_get(body, "items");
	int64_t was_down = down;

	if (!body)
		return reply_status(request, 400, "BadRequest");
	if (!strcmp(request->path, "/standin/vms") && json_is_array(items)) {
		json_decref(previous_vms);
		previous_vms = vms;
		vms = json_incref(items);
		vms_since_us = clock_monotonic_us();
	}
	http_read_fault(body, "down", &down);
	if (json_is_array(json_object_get(body, "cut"))) {
		json_decref(partitioned_tokens);
		partitioned_tokens = json_incref(json_object_get(body, "cut"));
	}
	if (down != was_down)
		history_event(down ? "paused" : "resumed", "node=platform");
	http_read_fault(body, "slow_ms", &slow_ms);
	http_read_fault(body, "lose_answers", &lose_answers);
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
	if (!control && is_partitioned(http_bearer(request))) {
		json_decref(body);
		pthread_mutex_unlock(&lock);
		http_sleep_ms(PARTITION_HANG_MS);
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
	json_decref(previous_vms);
}

int main(int argc, const char **argv)
{
	struct poptOption options[] = {
		{ NULL, 0, POPT_ARG_INCLUDE_TABLE, http_options, 0, NULL,
		  NULL },
		{ "lag-ms", 0, POPT_ARG_LONGLONG, &lag_ms, 0,
		  "delay of changes of the VM list", "MS" },
		POPT_AUTOHELP POPT_TABLEEND
	};
	int status;

	http_parse_options(argc, argv, options);
	vms = json_array();
	previous_vms = json_array();
	status = http_serve("platform", on_request, NULL, NULL);
	clear();
	return status;
}

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <sys/socket.h>
#include <unistd.h>

/* Each change is kept for the time of the history, so that a watch gets all
 * changes since its revision. */
typedef struct change {
	char kind[64], name[128];
	int64_t revision, create_revision;
	json_t *spec;
	bool deleted, is_newest; /* the object as it is */
	double at_s;
	struct change *next;
} change_t;

struct store_link {
	listener_t *listener;
	link_state_t state;
	const char *silent_kind; /* the next watch of it gets no answer */
	double silent_s; /* when that watch came; 0: it has not */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static change_t *first, *last;
static int64_t revision = 10, dropped_revision;
static double history_s = 20;

void store_set_history(double seconds)
{
	history_s = seconds;
}

static change_t *find(const char *kind, const char *name)
{
	change_t *change;

	for (change = first; change; change = change->next)
		if (change->is_newest && !change->deleted &&
		    !strcmp(change->kind, kind) && !strcmp(change->name, name))
			return change;
	return NULL;
}

/* Takes over @p spec. */
static change_t *add(const char *kind, const char *name, json_t *spec,
		     bool deleted)
{
	change_t *before = find(kind, name);
	change_t *change = calloc(1, sizeof(*change));

	snprintf(change->kind, sizeof(change->kind), "%s", kind);
	snprintf(change->name, sizeof(change->name), "%s", name);
	change->revision = ++revision;
	change->create_revision =
		before ? before->create_revision : change->revision;
	change->spec = spec;
	change->deleted = deleted;
	change->is_newest = true;
	change->at_s = rig_now_s();
	if (before)
		before->is_newest = false;
	if (last)
		last->next = change;
	else
		first = change;
	last = change;
	pthread_cond_broadcast(&changed);
	return change;
}

/* Notes which changes a watch can no longer get. */
static void expire_history(void)
{
	double before_s = rig_now_s() - history_s;
	const change_t *change;

	for (change = first; change && change->at_s < before_s;
	     change = change->next)
		dropped_revision = change->revision;
}

void store_put(const char *kind, const char *name, json_t *spec)
{
	pthread_mutex_lock(&lock);
	add(kind, name, spec, false);
	pthread_mutex_unlock(&lock);
}

static json_t *object_of(const change_t *change)
{
	return json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:n}", "meta", "name",
			 change->name, "revision",
			 (json_int_t)change->revision, "createRev",
			 (json_int_t)change->create_revision, "finalizers",
			 "deleting", 0, "spec", change->spec, "status");
}

static bool reply(int fd, int status, json_t *body)
{
	char *text = body ? json_dumps(body, JSON_COMPACT) : strdup("{}");
	bool sent = send_answer(fd, status, "Content-Type: application/json\r\n",
				text, strlen(text));

	free(text);
	json_decref(body);
	return sent;
}

static json_t *list(const char *kind)
{
	json_t *items = json_array();
	change_t *change;

	for (change = first; change; change = change->next)
		if (change->is_newest && !change->deleted &&
		    !strcmp(change->kind, kind))
			json_array_append_new(items, object_of(change));
	return json_pack("{s:o,s:b,s:I}", "items", items, "morePages", 0,
			 "storeRevision", (json_int_t)revision);
}

static json_t *events_since(const char *kind, int64_t since)
{
	json_t *events = json_array();
	change_t *change;

	for (change = first; change; change = change->next)
		if (change->revision > since && !strcmp(change->kind, kind))
			json_array_append_new(
				events,
				json_pack("{s:b,s:o}", "deleted",
					  change->deleted, "object",
					  object_of(change)));
	return events;
}

/* The lock is held. */
static json_t *wait_for_events(const store_link_t *link, const char *kind,
			       int64_t since, long wait_ms, int *status)
{
	double until_s = rig_now_s() + (double)wait_ms / 1e3;
	json_t *events;

	for (;;) {
		struct timespec at;

		expire_history();
		if (since < dropped_revision) {
			*status = 410;
			return NULL;
		}
		events = events_since(kind, since);
		if (json_array_size(events) || rig_now_s() >= until_s ||
		    link->state != LINK_UP)
			break;
		json_decref(events);
		clock_gettime(CLOCK_REALTIME, &at);
		at.tv_nsec += 20 * 1000 * 1000;
		if (at.tv_nsec >= 1000 * 1000 * 1000) {
			at.tv_sec++;
			at.tv_nsec -= 1000 * 1000 * 1000;
		}
		pthread_cond_timedwait(&changed, &lock, &at);
	}
	*status = 200;
	return json_pack("{s:o,s:I}", "events", events, "storeRevision",
			 (json_int_t)revision);
}

static const char *query_value(const char *query, const char *name)
{
	const char *at = query ? strstr(query, name) : NULL;

	return at ? at + strlen(name) : NULL;
}

static json_t *read_call(const store_link_t *link, const char *kind,
			 const char *name, const char *query, int *status)
{
	const char *watch = query_value(query, "watch=");
	const char *wait = query_value(query, "waitMs=");
	const change_t *change;

	*status = 200;
	if (watch)
		return wait_for_events(link, kind, atoll(watch),
				       wait ? atol(wait) : 0, status);
	if (!name)
		return list(kind);
	change = find(kind, name);
	if (change)
		return object_of(change);
	*status = 404;
	return NULL;
}

static json_t *create_call(const char *kind, const json_t *root, int *status)
{
	json_t *meta = json_object_get(root, "meta");
	const char *name = json_string_value(json_object_get(meta, "name"));
	change_t *change = name ? find(kind, name) : NULL;

	*status = 409;
	if (change)
		return object_of(change);
	*status = name ? 200 : 400;
	return name ? object_of(add(kind, name,
				    json_incref(json_object_get(root, "spec")),
				    false))
		    : NULL;
}

static json_t *put_call(const char *kind, const char *name, const json_t *root,
			int *status)
{
	json_t *meta = json_object_get(root, "meta");
	json_int_t wanted =
		json_integer_value(json_object_get(meta, "revision"));
	change_t *change = find(kind, name);

	*status = 404;
	if (!change)
		return NULL;
	*status = 409;
	if (wanted && wanted != change->revision)
		return object_of(change);
	*status = 200;
	if (json_equal(change->spec, json_object_get(root, "spec")))
		return object_of(change);
	return object_of(add(kind, name,
			     json_incref(json_object_get(root, "spec")),
			     false));
}

static json_t *handle(const store_link_t *link, const message_t *call,
		      int *status)
{
	char path[1024];
	char *query, *name;
	json_t *root, *result = NULL;

	snprintf(path, sizeof(path), "%s", call->target);
	query = strchr(path, '?');
	if (query)
		*query++ = '\0';
	*status = 400;
	if (strncmp(path, "/objects/", 9) != 0)
		return NULL;
	name = strchr(path + 9, '/');
	if (name)
		*name++ = '\0';
	if (!strcmp(call->method, "GET"))
		return read_call(link, path + 9, name, query, status);
	root = json_loads(call->body, 0, NULL);
	if (!strcmp(call->method, "POST"))
		result = create_call(path + 9, root, status);
	else if (!strcmp(call->method, "PUT") && name)
		result = put_call(path + 9, name, root, status);
	json_decref(root);
	return result;
}

static void wait_for_end(int fd)
{
	char data[256];

	while (recv(fd, data, sizeof(data), 0) > 0)
		continue;
}

/* @return true if the channel of this call is silent from now on */
static bool is_silent_watch(store_link_t *link, const message_t *call)
{
	char path[128];

	if (!link->silent_kind || !query_value(call->target, "watch="))
		return false;
	snprintf(path, sizeof(path), "/objects/%s?", link->silent_kind);
	if (strncmp(call->target, path, strlen(path)) != 0)
		return false;
	rig_record("the channel of a watch of %s at port %d is silent from now "
		   "on", link->silent_kind, store_link_port(link));
	link->silent_kind = NULL;
	link->silent_s = rig_now_s();
	return true;
}

static void on_connection(void *context, int fd)
{
	store_link_t *link = context;
	message_t call;
	bool open = true;

	while (open && message_read(fd, &call, false)) {
		json_t *result = NULL;
		int status = 503;

		if (is_silent_watch(link, &call)) {
			message_clear(&call);
			wait_for_end(fd);
			break;
		}
		if (link->state == LINK_UP) {
			usleep(4000);
			pthread_mutex_lock(&lock);
			result = handle(link, &call, &status);
			pthread_mutex_unlock(&lock);
		}
		message_clear(&call);
		if (link->state == LINK_UP) {
			open = reply(fd, status, result);
			continue;
		}
		json_decref(result);
		/* A channel on which an answer is lost returns nothing
		 * further. */
		if (link->state == LINK_SILENT)
			wait_for_end(fd);
		open = link->state == LINK_BUSY && reply(fd, 503, NULL);
	}
	message_clear(&call);
}

store_link_t *store_link_open(void)
{
	store_link_t *link = calloc(1, sizeof(*link));

	link->listener = listener_open(0, on_connection, link);
	return link;
}

int store_link_port(const store_link_t *link)
{
	return listener_port(link->listener);
}

void store_link_set(store_link_t *link, link_state_t state)
{
	static const char *const names[] = { "answers", "answers 503",
					     "is silent" };

	pthread_mutex_lock(&lock);
	link->state = state;
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	rig_record("store %s at port %d", names[state], store_link_port(link));
}

void store_link_silence(store_link_t *link, const char *kind)
{
	link->silent_kind = kind;
}

double store_link_silent_s(const store_link_t *link)
{
	return link->silent_s;
}

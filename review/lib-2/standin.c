#define _GNU_SOURCE
#include "standin.h"

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum { BACKLOG = 512, STACK_BYTES = 512 * 1024, WATCH_POLL_MS = 20 };

int64_t now_ms(void)
{
	static int64_t start;
	struct timespec now;
	int64_t ms;

	clock_gettime(CLOCK_MONOTONIC, &now);
	ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	if (!start)
		start = ms;
	return ms - start;
}

void sleep_ms(int64_t ms)
{
	struct timespec pause = { ms / 1000, (ms % 1000) * 1000000 };

	if (ms > 0)
		nanosleep(&pause, NULL);
}

void sleep_until_ms(int64_t at_ms)
{
	sleep_ms(at_ms - now_ms());
}

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

/* Sets the number of descriptors that this process may open. */
static void limit_descriptors(rlim_t count)
{
	struct rlimit limit;

	getrlimit(RLIMIT_NOFILE, &limit);
	if (limit.rlim_max < count)
		exit(2);
	limit.rlim_cur = count;
	setrlimit(RLIMIT_NOFILE, &limit);
}

void record_open(const char *directory)
{
	char path[512];

	limit_descriptors(2 * NODE_DESCRIPTORS);

	snprintf(path, sizeof(path), "%s/record.txt", directory);
	record_file = fopen(path, "we");
	if (!record_file)
		exit(2);
	now_ms();
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

bool has_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

static void start_thread(void *(*run)(void *), void *context)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, STACK_BYTES);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attributes, run, context))
		exit(2);
	pthread_attr_destroy(&attributes);
}

/* Messages. */

bool message_header(const message_t *message, const char *name, char *value,
		    size_t size)
{
	size_t length = strlen(name);
	const char *line = message->head;

	*value = '\0';
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (!strncasecmp(line, name, length) && line[length] == ':') {
			size_t n;

			line += length + 1;
			line += strspn(line, " \t");
			n = strcspn(line, "\r");
			if (n >= size)
				n = size - 1;
			memcpy(value, line, n);
			value[n] = '\0';
			return true;
		}
	}
	return false;
}

void message_clear(message_t *message)
{
	free(message->body);
	message->body = NULL;
	message->body_size = 0;
}

bool send_all(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
		size -= (size_t)sent;
	}
	return true;
}

int connect_to(int port, int64_t timeout_ms)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

/* @return bytes read; 0: end; -1: reset or time-out */
static ssize_t read_some(int fd, void *data, size_t size, int64_t until_ms)
{
	int64_t left = until_ms - now_ms();
	struct pollfd ready = { .fd = fd, .events = POLLIN };

	if (left <= 0 || poll(&ready, 1, (int)left) <= 0)
		return -1;
	return recv(fd, data, size, 0);
}

static void append(message_t *message, const char *data, size_t size)
{
	message->body = realloc(message->body, message->body_size + size + 1);
	memcpy(message->body + message->body_size, data, size);
	message->body_size += size;
	message->body[message->body_size] = '\0';
}

/* Buffered bytes that were read and not used yet. */
typedef struct {
	int fd;
	int64_t until_ms;
	char data[16 * 1024];
	size_t at, size;
} reader_t;

static bool fill(reader_t *reader, ssize_t *got)
{
	*got = read_some(reader->fd, reader->data, sizeof(reader->data),
			 reader->until_ms);
	if (*got <= 0)
		return false;
	reader->at = 0;
	reader->size = (size_t)*got;
	return true;
}

static bool read_body(reader_t *reader, message_t *message, size_t size)
{
	ssize_t got;

	while (size) {
		size_t n;

		if (reader->at == reader->size && !fill(reader, &got))
			return false;
		n = reader->size - reader->at;
		if (n > size)
			n = size;
		append(message, reader->data + reader->at, n);
		reader->at += n;
		size -= n;
	}
	return true;
}

static bool read_line(reader_t *reader, char *line, size_t max)
{
	size_t n = 0;
	ssize_t got;

	for (;;) {
		if (reader->at == reader->size && !fill(reader, &got))
			return false;
		if (n + 1 >= max)
			return false;
		line[n++] = reader->data[reader->at++];
		if (line[n - 1] == '\n') {
			line[n] = '\0';
			return true;
		}
	}
}

static bool read_chunks(reader_t *reader, message_t *message)
{
	char line[256];
	message_t end = { .body = NULL };
	bool is_whole;

	for (;;) {
		size_t size;

		if (!read_line(reader, line, sizeof(line)))
			return false;
		size = strtoul(line, NULL, 16);
		if (!size)
			break;
		if (!read_body(reader, message, size) ||
		    !read_body(reader, &end, 2)) {
			message_clear(&end);
			return false;
		}
	}
	is_whole = read_line(reader, line, sizeof(line));
	message_clear(&end);
	return is_whole;
}

static bool read_to_end(reader_t *reader, message_t *message)
{
	ssize_t got = 0;

	do {
		append(message, reader->data + reader->at,
		       reader->size - reader->at);
		reader->at = reader->size;
	} while (fill(reader, &got));
	return !got;
}

bool read_message(int fd, message_t *message, bool is_answer,
		  int64_t timeout_ms)
{
	reader_t *reader = calloc(1, sizeof(*reader));
	char value[64], *line = message->head;
	size_t used = 0;
	bool has_head = false;

	message->body = NULL;
	message->body_size = 0;
	message->status = 0;
	message->is_whole = false;
	*message->head = '\0';
	reader->fd = fd;
	reader->until_ms = now_ms() + timeout_ms;
	while (read_line(reader, line, sizeof(message->head) - used)) {
		if (!strcmp(line, "\r\n")) {
			if (is_answer &&
			    !strncmp(message->head, "HTTP/1.1 1", 10)) {
				used = 0;
				line = message->head;
				continue;
			}
			has_head = true;
			break;
		}
		used += strlen(line);
		line = message->head + used;
	}
	if (!has_head)
		goto done;
	if (is_answer)
		message->status = atoi(message->head + strlen("HTTP/1.1 "));
	if (message_header(message, "Transfer-Encoding", value, sizeof(value)))
		message->is_whole = read_chunks(reader, message);
	else if (message_header(message, "Content-Length", value,
				sizeof(value)))
		message->is_whole =
			read_body(reader, message, strtoul(value, NULL, 10));
	else if (is_answer)
		message->is_whole = read_to_end(reader, message);
	else
		message->is_whole = true;
done:
	free(reader);
	return has_head;
}

/* Clients. */

bool client_send(int fd, const client_request_t *request)
{
	size_t more = request->more_headers ? strlen(request->more_headers) : 0;
	char *head = calloc(1, more + 1024);
	int size = sprintf(head,
			   "%s %s HTTP/1.1\r\nHost: h.example\r\n"
			   "X-Request-Id: %s\r\nX-Deadline-Ms: %lld\r\n%s%s%s"
			   "%sContent-Length: %zu\r\n\r\n",
			   request->method, request->path, request->id,
			   (long long)request->deadline_ms,
			   request->key ? "Authorization: Bearer " : "",
			   request->key ? request->key : "",
			   request->key ? "\r\n" : "",
			   more ? request->more_headers : "",
			   request->body_size);
	bool is_sent = send_all(fd, head, (size_t)size) &&
		       send_all(fd, request->body, request->body_size);

	free(head);
	return is_sent;
}

bool client_exchange(int fd, const client_request_t *request, message_t *answer)
{
	answer->status = 0;
	answer->body = NULL;
	answer->is_whole = false;
	return client_send(fd, request) &&
	       read_message(fd, answer, true, request->deadline_ms + 1000) &&
	       answer->is_whole;
}

/* Listening sockets. */

static int listen_on(int *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)*port) };
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, BACKLOG))
		exit(2);
	getsockname(fd, (struct sockaddr *)&address, &size);
	*port = ntohs(address.sin_port);
	return fd;
}

/* @return a port that is free now, for a daemon: below the range from which the
 * kernel takes ports of outgoing connections */
static int free_port(void)
{
	static int next;

	if (!next)
		next = 10000 + (int)(getpid() * 37L % 18000);
	for (;;) {
		struct sockaddr_in address = { .sin_family = AF_INET,
					       .sin_port = htons(
						       (uint16_t)++next) };
		int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		bool is_free;

		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		is_free =
			!bind(fd, (struct sockaddr *)&address, sizeof(address));
		close(fd);
		if (is_free)
			return next;
	}
}

/* The store. */

typedef struct object {
	char kind[ID_SIZE], name[128];
	int64_t revision, created;
	json_t *spec, *status; /* spec NULL: deleted */
	struct object *next;
} object_t;

typedef struct entrance {
	int port, fd;
	store_mode_t mode;
	struct entrance *next;
} entrance_t;

/* A channel to the store or to a server. */
typedef struct {
	int fd;
	entrance_t *entrance;
	server_t *server;
	int silences; /* that came before the channel was opened */
} channel_t;

static int silences; /* of store channels, so far */

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static object_t *objects;
static entrance_t *entrances;
static int64_t revision = 100;

static object_t *find_object(const char *kind, const char *name)
{
	object_t *object;

	for (object = objects; object; object = object->next)
		if (!strcmp(object->kind, kind) && !strcmp(object->name, name))
			return object;
	return NULL;
}

static object_t *get_object(const char *kind, const char *name)
{
	object_t *object = find_object(kind, name);

	if (object)
		return object;
	object = calloc(1, sizeof(*object));
	snprintf(object->kind, sizeof(object->kind), "%s", kind);
	snprintf(object->name, sizeof(object->name), "%s", name);
	object->next = objects;
	objects = object;
	return object;
}

/* Takes over the reference to spec. */
static void set_spec(object_t *object, json_t *spec)
{
	if (!object->spec && spec)
		object->created = revision + 1;
	json_decref(object->spec);
	object->spec = spec;
	object->revision = ++revision;
}

int64_t store_write(const char *kind, const char *name, json_t *spec)
{
	int64_t at;

	pthread_mutex_lock(&store_lock);
	set_spec(get_object(kind, name), spec);
	at = revision;
	pthread_mutex_unlock(&store_lock);
	record("store: %s/%s %s at revision %lld", kind, name,
	       spec ? "written" : "deleted", (long long)at);
	return at;
}

static json_t *object_json(const object_t *object)
{
	return json_pack("{s:{s:s,s:I,s:I,s:[],s:b},s:O,s:n}", "meta", "name",
			 object->name, "revision", (json_int_t)object->revision,
			 "createRev", (json_int_t)object->created, "finalizers",
			 "deleting", 0, "spec",
			 object->spec ? object->spec : json_null(), "status");
}

static void reply_json(int fd, int status, json_t *json)
{
	char *text = json ? json_dumps(json, JSON_COMPACT) : strdup("{}");
	char head[256];
	int size = snprintf(head, sizeof(head),
			    "HTTP/1.1 %d X\r\nContent-Type: application/json"
			    "\r\nContent-Length: %zu\r\n\r\n",
			    status, strlen(text));

	send_all(fd, head, (size_t)size);
	send_all(fd, text, strlen(text));
	free(text);
	json_decref(json);
}

static store_mode_t mode_of(const entrance_t *entrance)
{
	store_mode_t mode;

	pthread_mutex_lock(&store_lock);
	mode = entrance->mode;
	pthread_mutex_unlock(&store_lock);
	return mode;
}

static bool is_silenced(const channel_t *channel)
{
	bool is_silent;

	pthread_mutex_lock(&store_lock);
	is_silent = channel->silences < silences;
	pthread_mutex_unlock(&store_lock);
	return is_silent;
}

void store_silence_channels(void)
{
	pthread_mutex_lock(&store_lock);
	silences++;
	pthread_mutex_unlock(&store_lock);
	record("store: the open channels go silent, new ones work");
}

/* Reads and discards until the other side closes the channel. */
static void hang(int fd)
{
	char data[4096];

	while (recv(fd, data, sizeof(data), 0) > 0)
		;
}

/* @return false if the call gets no answer, or 503 */
static bool may_answer(const entrance_t *entrance, int fd)
{
	switch (mode_of(entrance)) {
	case STORE_ANSWERS:
		return true;
	case STORE_BUSY:
		reply_json(fd, 503, NULL);
		return false;
	case STORE_SILENT:
		hang(fd);
		return false;
	}
	return false;
}

static json_t *list_json(const char *kind)
{
	json_t *items = json_array();
	object_t *object;

	for (object = objects; object; object = object->next)
		if (!strcmp(object->kind, kind) && object->spec)
			json_array_append_new(items, object_json(object));
	return json_pack("{s:o,s:b,s:I}", "items", items, "morePages", 0,
			 "storeRevision", (json_int_t)revision);
}

static json_t *events_json(const char *kind, int64_t after)
{
	json_t *events = json_array();
	object_t *object;

	for (object = objects; object; object = object->next)
		if (!strcmp(object->kind, kind) && object->revision > after)
			json_array_append_new(events,
					      json_pack("{s:b,s:o}", "deleted",
							!object->spec, "object",
							object_json(object)));
	return events;
}

static bool watch(const channel_t *channel, const char *kind, int64_t after,
		  int64_t wait_ms)
{
	const entrance_t *entrance = channel->entrance;
	int64_t until_ms = now_ms() + wait_ms;
	int fd = channel->fd;

	for (;;) {
		json_t *events, *answer = NULL;
		store_mode_t mode;

		if (is_silenced(channel))
			return true;
		pthread_mutex_lock(&store_lock);
		mode = entrance->mode;
		events = events_json(kind, after);
		if (mode == STORE_ANSWERS &&
		    (json_array_size(events) || now_ms() >= until_ms))
			answer = json_pack("{s:O,s:I}", "events", events,
					   "storeRevision",
					   (json_int_t)revision);
		pthread_mutex_unlock(&store_lock);
		json_decref(events);
		if (answer) {
			reply_json(fd, 200, answer);
			return true;
		}
		/* A watch that waits may be cut off. */
		if (mode != STORE_ANSWERS)
			return may_answer(entrance, fd);
		sleep_ms(WATCH_POLL_MS);
	}
}

static void write_object(int fd, const char *method, const char *kind,
			 const char *path_name, const char *query,
			 const message_t *request)
{
	json_t *root = json_loadb(request->body ? request->body : "",
				  request->body_size, 0, NULL);
	json_t *meta = json_object_get(root, "meta");
	const char *name =
		*path_name ? path_name
			   : json_string_value(json_object_get(meta, "name"));
	json_t *wanted = json_object_get(meta, "revision"), *answer;
	int64_t expected = json_integer_value(wanted);
	const char *in_query = strstr(query, "revision=");
	bool is_create = !strcmp(method, "POST");
	object_t *object;
	int status = 200;

	if (in_query)
		expected = strtoll(in_query + strlen("revision="), NULL, 10);
	pthread_mutex_lock(&store_lock);
	object = name ? get_object(kind, name) : NULL;
	if (!object)
		status = 400;
	else if (is_create && object->spec)
		status = 409;
	else if (!is_create && !object->spec)
		status = 404;
	else if (!is_create && expected && expected != object->revision)
		status = 409;
	else if (!strcmp(method, "DELETE"))
		set_spec(object, NULL);
	else if (is_create ||
		 !json_equal(object->spec, json_object_get(root, "spec")))
		set_spec(object, json_incref(json_object_get(root, "spec")));
	answer = object ? object_json(object) : NULL;
	pthread_mutex_unlock(&store_lock);
	reply_json(fd, status, answer);
	json_decref(root);
}

static bool answer_call(const channel_t *channel, message_t *request)
{
	const entrance_t *entrance = channel->entrance;
	int fd = channel->fd;
	char method[16], target[512], kind[ID_SIZE] = "", name[128] = "";
	char *query, *slash;
	const char *watch_from, *wait;

	if (sscanf(request->head, "%15s %511s", method, target) != 2 ||
	    strncmp(target, "/objects/", 9) != 0)
		return false;
	query = strchr(target, '?');
	if (query)
		*query++ = '\0';
	else
		query = target + strlen(target);
	slash = strchr(target + 9, '/');
	if (slash) {
		*slash = '\0';
		snprintf(name, sizeof(name), "%.127s", slash + 1);
	}
	snprintf(kind, sizeof(kind), "%.63s", target + 9);
	watch_from = strstr(query, "watch=");
	wait = strstr(query, "waitMs=");
	if (watch_from)
		return watch(channel, kind, strtoll(watch_from + 6, NULL, 10),
			     wait ? strtoll(wait + 7, NULL, 10) : 30000);
	if (!may_answer(entrance, fd))
		return mode_of(entrance) == STORE_BUSY;
	if (strcmp(method, "GET") != 0) {
		write_object(fd, method, kind, name, query, request);
	} else if (*name) {
		json_t *answer = NULL;
		object_t *object;

		pthread_mutex_lock(&store_lock);
		object = find_object(kind, name);
		if (object && object->spec)
			answer = object_json(object);
		pthread_mutex_unlock(&store_lock);
		reply_json(fd, answer ? 200 : 404, answer);
	} else {
		json_t *answer;

		pthread_mutex_lock(&store_lock);
		answer = list_json(kind);
		pthread_mutex_unlock(&store_lock);
		reply_json(fd, 200, answer);
	}
	return true;
}

static void *run_store_channel(void *context)
{
	channel_t *channel = context;
	message_t *request = calloc(1, sizeof(*request));
	bool goes_on = true;

	while (goes_on && read_message(channel->fd, request, false, 60000)) {
		goes_on = !is_silenced(channel) &&
			  answer_call(channel, request);
		message_clear(request);
	}
	if (is_silenced(channel))
		hang(channel->fd);
	close(channel->fd);
	free(request);
	free(channel);
	return NULL;
}

static void accept_channels(int listen_fd, entrance_t *entrance,
			    server_t *server, void *(*run)(void *))
{
	for (;;) {
		int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC), on = 1;
		channel_t *channel;

		if (fd < 0 && errno == EINTR)
			continue;
		if (fd < 0)
			return;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		channel = calloc(1, sizeof(*channel));
		*channel = (channel_t){ fd, entrance, server, silences };
		start_thread(run, channel);
	}
}

static void *run_entrance(void *context)
{
	entrance_t *entrance = context;

	accept_channels(entrance->fd, entrance, NULL, run_store_channel);
	return NULL;
}

int store_open(void)
{
	entrance_t *entrance = calloc(1, sizeof(*entrance));

	entrance->fd = listen_on(&entrance->port);
	pthread_mutex_lock(&store_lock);
	entrance->next = entrances;
	entrances = entrance;
	pthread_mutex_unlock(&store_lock);
	start_thread(run_entrance, entrance);
	return entrance->port;
}

void store_set_mode(int port, store_mode_t mode)
{
	static const char *const names[] = { "answers", "is silent",
					     "turns calls away with 503" };
	entrance_t *entrance;

	pthread_mutex_lock(&store_lock);
	for (entrance = entrances; entrance; entrance = entrance->next)
		if (entrance->port == port)
			entrance->mode = mode;
	pthread_mutex_unlock(&store_lock);
	record("store: port %d %s", port, names[mode]);
}

/* Servers. */

static void *run_server_channel(void *context)
{
	channel_t *channel = context;
	message_t *request = calloc(1, sizeof(*request));
	bool goes_on = true;

	while (goes_on && read_message(channel->fd, request, false, 60000)) {
		goes_on = request->is_whole &&
			  channel->server->serve(channel->server, request,
						 channel->fd);
		message_clear(request);
	}
	close(channel->fd);
	free(request);
	free(channel);
	return NULL;
}

static void *run_server(void *context)
{
	server_t *server = context;

	accept_channels(server->listen_fd, NULL, server, run_server_channel);
	return NULL;
}

void server_start(server_t *server)
{
	pthread_mutex_init(&server->lock, NULL);
	server->listen_fd = listen_on(&server->port);
	if (!server->state)
		server->state = "ready";
	start_thread(run_server, server);
}

void server_stop_listening(server_t *server)
{
	shutdown(server->listen_fd, SHUT_RDWR);
	close(server->listen_fd);
	server->listen_fd = -1;
}

void server_listen_again(server_t *server)
{
	server->listen_fd = listen_on(&server->port);
	start_thread(run_server, server);
}

void server_announce(const server_t *server)
{
	int64_t cold_ms = server->cold_until_ms - now_ms();
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d", server->port);
	store_write(
		"servers", server->id,
		json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I,s:I}", "service",
			  server->service, "address", address, "zone",
			  server->zone, "version", "v1", "concurrencyLimit",
			  server->slots, "state", server->state, "coldLeftMs",
			  (json_int_t)(cold_ms > 0 ? cold_ms : 0), "born",
			  (json_int_t)server->born_ms, "seq", (json_int_t)1));
}

bool server_answer(const message_t *request, int fd, int status,
		   const char *more_headers, const void *body, size_t size)
{
	char id[128], head[16 * 1024];
	int length;

	message_header(request, "X-Request-Id", id, sizeof(id));
	length = snprintf(head, sizeof(head),
			  "HTTP/1.1 %d X\r\nX-Request-Id: %s\r\n"
			  "X-Server-Seal: seal-%s\r\n%sContent-Length: %zu"
			  "\r\n\r\n",
			  status, id, id, more_headers ? more_headers : "",
			  size);
	return send_all(fd, head, (size_t)length) && send_all(fd, body, size);
}

bool server_is_other(const server_t *server, const message_t *request, int fd)
{
	static const char answer[] =
		"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
	char expected[ID_SIZE];

	if (!message_header(request, "X-Expect-Instance", expected,
			    sizeof(expected)) ||
	    !strcmp(expected, server->id))
		return false;
	send_all(fd, answer, strlen(answer));
	return true;
}

/* Daemons. */

static char run_directory[128];

static void make_directory(void)
{
	const char *base = getenv("TMPDIR");

	if (*run_directory)
		return;
	snprintf(run_directory, sizeof(run_directory), "%s/review-2.XXXXXX",
		 base ? base : "/tmp");
	if (!mkdtemp(run_directory))
		exit(2);
}

void node_write_settings(const node_t *node)
{
	FILE *file = fopen(node->settings_path, "we");

	if (!file)
		exit(2);
	fprintf(file,
		"node=%s\nrole=gateway\nmachineClass=front\nserves=front\n"
		"ip=127.0.0.1\nzone=%s\nregion=r\nzones.a=r\nzones.b=r\n"
		"zones.c=r\nbind.front=127.0.0.1:%d\nbind.ready=127.0.0.1:%d\n"
		"portRange=%d,%d\nbootstrap=true\n"
		"limits.cpuShare=0.25\nlimits.memoryMb=%d\n"
		"limits.maxFds=%d\nlimits.netMbps=1000.0\n"
		"discovery=platform\nentry=virtual_ip\nbeatMs=1200\n",
		node->name, node->zone, node->front_port, node->ready_port,
		node->peer_port, node->peer_port + 15, node->memory_mb,
		NODE_DESCRIPTORS);
	fprintf(file,
		"contracts=base,drain,config,cost,retry,recover,engine,stream,"
		"tenants,places,pressure,platform,spans\n"
		"contractParams.stableWindowMs=3000\n"
		"contractParams.drainMs=2000\ncontractParams.graceS=8\n"
		"contractParams.lossSlackMs=200\n"
		"contractParams.configApplyMs=2000\n"
		"contractParams.backMs=250\n"
		"contractParams.strictRevoke=true\n"
		"contractParams.revokeMs=5000\n"
		"contractParams.budgetRatio=0.2\n"
		"contractParams.budgetWindowS=10\n"
		"contractParams.retrySlack=100\n"
		"contractParams.coldMultiplier=1.5\n"
		"contractParams.coldSlack=5\n"
		"contractParams.evacuateMs=5000\n"
		"contractParams.holdMaxMs=20000\ncontractParams.freeMs=4000\n"
		"contractParams.idleMaxMs=9000\n"
		"platform.address=127.0.0.1:%d\nplatform.form=objects\n"
		"platform.writesPerS=400\nplatform.readsPerS=2000\n%s",
		node->store_port,
		node->more_settings ? node->more_settings : "");
	fclose(file);
}

bool node_start(node_t *node)
{
	const char *program = getenv("CHIVESTAGED");

	make_directory();
	if (!node->front_port) {
		node->front_port = free_port();
		node->ready_port = free_port();
		node->peer_port = free_port();
		free_port(); /* the port after it is for requests of nodes */
	}
	if (!node->memory_mb)
		node->memory_mb = 260;
	snprintf(node->settings_path, sizeof(node->settings_path), "%s/%s.conf",
		 run_directory, node->name);
	snprintf(node->log_path, sizeof(node->log_path), "%s/%s.log",
		 run_directory, node->name);
	node_write_settings(node);
	node->pid = fork();
	if (node->pid < 0)
		return false;
	if (!node->pid) {
		FILE *log = freopen(node->log_path, "a", stdout);

		if (log)
			dup2(fileno(log), STDERR_FILENO);
		/* It ends with this process, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		limit_descriptors(NODE_DESCRIPTORS);
		setenv("CHIVESTAGE_SETTINGS", node->settings_path, 1);
		execl(program, program, "--platform", (char *)NULL);
		_exit(127);
	}
	record("node %s: process starts", node->name);
	return true;
}

bool node_is_ready(const node_t *node)
{
	static const char request[] = "GET /ready HTTP/1.1\r\nHost: n\r\n"
				      "Connection: close\r\n\r\n";
	int fd = connect_to(node->ready_port, 1000);
	message_t *answer;
	bool is_ready;

	if (fd < 0)
		return false;
	answer = calloc(1, sizeof(*answer));
	is_ready = send_all(fd, request, strlen(request)) &&
		   read_message(fd, answer, true, 1000) &&
		   answer->status == 200;
	message_clear(answer);
	free(answer);
	close(fd);
	return is_ready;
}

bool node_wait_ready(const node_t *node, int64_t timeout_ms)
{
	int64_t until_ms = now_ms() + timeout_ms;

	while (now_ms() < until_ms) {
		if (node_is_ready(node)) {
			record("node %s: ready", node->name);
			return true;
		}
		sleep_ms(50);
	}
	record("node %s: not ready", node->name);
	return false;
}

bool node_has_ended(node_t *node, int *status)
{
	if (!node->pid || waitpid(node->pid, status, WNOHANG) != node->pid)
		return false;
	node->pid = 0;
	return true;
}

void nodes_end(node_t *nodes, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (nodes[i].pid <= 0)
			continue;
		kill(nodes[i].pid, SIGCONT);
		kill(nodes[i].pid, SIGKILL);
		waitpid(nodes[i].pid, NULL, 0);
		nodes[i].pid = 0;
	}
	if (getenv("KEEP_LOGS")) {
		fprintf(stderr, "logs: %s\n", run_directory);
		return;
	}
	for (i = 0; i < count; i++) {
		unlink(nodes[i].settings_path);
		unlink(nodes[i].log_path);
	}
	rmdir(run_directory);
}

int64_t node_memory_kib(const node_t *node)
{
	char path[64], line[256];
	int64_t kib = -1;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)node->pid);
	file = fopen(path, "re");
	while (file && fgets(line, sizeof(line), file))
		if (!strncmp(line, "VmRSS:", 6))
			kib = atoll(line + 6);
	if (file)
		fclose(file);
	return kib;
}

json_t *route_json(const char *prefix, const char *kind, const char *service,
		   int timeout_ms, int target_ms)
{
	return json_pack("{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b,s:b,s:b,"
			 "s:i}",
			 "name", prefix, "host", "h.example", "pathPrefix",
			 prefix, "kind", kind, "timeoutMs", timeout_ms,
			 "targetLatencyMs", target_ms, "priority", 1, "service",
			 service, "attempts",
			 strcmp(kind, "non_idempotent") != 0 ? 2 : 1, "public",
			 0, "sticky", 0, "resumable", 0, "gapAimMs", 1000);
}

json_t *limits_json(void)
{
	return json_pack("{s:i,s:i,s:i,s:i}", "headerBytes", 16384, "bodyBytes",
			 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs",
			 15000);
}

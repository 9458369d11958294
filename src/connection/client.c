#include "connection/client.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "base/mem.h"
#include "base/units.h"
#include "connection/client_options.h"
#include "connection/client_private.h"
#include "connection/client_sockets.h"
#include "connection/status_line.h"

enum {
	/* Headers with a longer name are ignored. */
	HEADER_NAME_SIZE_BYTES = 128,
	/* HTTP statuses below this are informational, not the response. */
	STATUS_INFORMATIONAL_END = 200
};

typedef struct {
	ev_io watcher;
	client_t *client;
} client_socket_t;

/* @param ended_well the response was received whole */
static void call_free(client_call_t *call, bool ended_well)
{
	ev_timer_stop(call->client->loop, &call->idle);
	DL_DELETE(call->client->calls, call);
	if (call->added)
		curl_multi_remove_handle(call->client->multi, call->easy);
	curl_easy_cleanup(call->easy);
	client_sockets_release(call, ended_well);
	curl_slist_free_all(call->headers);
	free(call->body);
	if (call->handler.on_free)
		call->handler.on_free(call->handler.context);
	free(call);
}

static void call_add(client_call_t *call)
{
	call->added = true;
	curl_multi_add_handle(call->client->multi, call->easy);
}

/*
 * Ends a section that runs libcurl. After the outermost section, adds the calls
 * that callbacks started and frees the calls that callbacks cancelled.
 */
static void exit_libcurl(client_t *client)
{
	client_call_t *call, *next;

	if (--client->curl_depth || !client->deferred)
		return;
	client->deferred = false;
	DL_FOREACH_SAFE (client->calls, call, next) {
		if (call->cancelled)
			call_free(call, false);
		else if (!call->added)
			call_add(call);
	}
}

static void call_end(client_call_t *call, client_end_t end)
{
	client_handler_t handler = call->handler;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (end == CLIENT_INVALID)
		client_log_invalid(call, status);
	if (end == CLIENT_INVALID || status < STATUS_INFORMATIONAL_END)
		status = 0;
	call->handler.on_free = NULL;
	call_free(call, end == CLIENT_OK);
	if (handler.on_end)
		handler.on_end(handler.context, end, (int)status);
	if (handler.on_free)
		handler.on_free(handler.context);
}

static void end_finished_calls(client_t *client)
{
	CURLMsg *message;
	int queued;

	while ((message = curl_multi_info_read(client->multi, &queued))) {
		client_call_t *call = NULL;
		CURLcode code = message->data.result;
		CURL *easy = message->easy_handle;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
		call_end(call, client_map_result(call, code));
	}
}

static void socket_action(client_t *client, curl_socket_t fd, int events)
{
	int running;

	client->curl_depth++;
	curl_multi_socket_action(client->multi, fd, events, &running);
	exit_libcurl(client);
	end_finished_calls(client);
}

static void on_socket_ready(struct ev_loop *loop, ev_io *watcher, int events)
{
	client_socket_t *socket = watcher->data;

	socket_action(socket->client, watcher->fd,
		      (events & EV_READ ? CURL_CSELECT_IN : 0) |
			      (events & EV_WRITE ? CURL_CSELECT_OUT : 0));
}

static void on_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	socket_action(watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

static int on_curl_timer(CURLM *multi, long timeout_ms, void *context)
{
	client_t *client = context;

	ev_timer_stop(client->loop, &client->timer);
	if (timeout_ms < 0)
		return 0;
	ev_timer_set(&client->timer, (double)timeout_ms / MS_PER_S, 0);
	ev_timer_start(client->loop, &client->timer);
	return 0;
}

static int on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *context,
			  void *socket_context)
{
	client_t *client = context;
	client_socket_t *socket = socket_context;
	client_call_t *call = NULL;
	int events = 0;

	if (socket)
		ev_io_stop(client->loop, &socket->watcher);
	if (what == CURL_POLL_REMOVE) {
		client_note_unsent(easy, fd);
		free(socket);
		curl_multi_assign(client->multi, fd, NULL);
		return 0;
	}
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&call);
	client_sockets_use(call, fd);
	if (!socket) {
		socket = mem_calloc(1, sizeof(*socket));
		socket->client = client;
		socket->watcher.data = socket;
		ev_init(&socket->watcher, on_socket_ready);
		curl_multi_assign(client->multi, fd, socket);
	}
	events |= what & CURL_POLL_IN ? EV_READ : 0;
	events |= what & CURL_POLL_OUT ? EV_WRITE : 0;
	ev_io_set(&socket->watcher, fd, events);
	if (events)
		ev_io_start(client->loop, &socket->watcher);
	return 0;
}

client_t *client_create(struct ev_loop *loop, err_t *err)
{
	client_t *client = mem_calloc(1, sizeof(*client));

	client->loop = loop;
	client->multi = curl_multi_init();
	if (!client->multi) {
		err_set(err, ERR_LAYER_CONNECTION, 0,
			"HTTP client: out of memory");
		free(client);
		return NULL;
	}
	ev_init(&client->timer, on_timer);
	client->timer.data = client;
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETFUNCTION,
			  on_curl_socket);
	curl_multi_setopt(client->multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(client->multi, CURLMOPT_TIMERDATA, client);
	return client;
}

void client_destroy(client_t *client)
{
	client_call_t *call, *next;

	if (!client)
		return;
	DL_FOREACH_SAFE (client->calls, call, next)
		call_free(call, false);
	curl_multi_cleanup(client->multi);
	client_sockets_forget(client);
	ev_timer_stop(client->loop, &client->timer);
	free(client);
}

static size_t on_curl_data(char *data, size_t unit, size_t count, void *context)
{
	client_call_t *call = context;
	size_t size = unit * count;

	if (call->cancelled)
		return 0;
	if (call->paused)
		return CURL_WRITEFUNC_PAUSE;
	/* What follows status 101 is no body: no request asks for it. */
	call->is_invalid = !call->head_done;
	if (call->is_invalid)
		return 0;
	call->last_activity = ev_now(call->client->loop);
	call->body_bytes += size;
	if (!call->handler.on_data)
		return size;
	switch (call->handler.on_data(call->handler.context, data, size)) {
	case CLIENT_CONTINUE:
		break;
	case CLIENT_PAUSE:
		call->paused = true;
		break;
	case CLIENT_STOP:
		return 0;
	}
	return call->cancelled ? 0 : size;
}

static void deliver_header(client_call_t *call, const char *line, size_t size)
{
	char name[HEADER_NAME_SIZE_BYTES];
	const char *colon = memchr(line, ':', size), *end = line + size;
	char *value;

	if (!colon || (size_t)(colon - line) >= sizeof(name))
		return;
	memcpy(name, line, (size_t)(colon - line));
	name[colon - line] = '\0';
	for (colon++; colon < end && (*colon == ' ' || *colon == '\t');)
		colon++;
	while (end > colon && strchr(" \t\r\n", end[-1]))
		end--;
	value = mem_copy(colon, (size_t)(end - colon));
	call->handler.on_header(call->handler.context, name, value);
	free(value);
}

/* @return true if the header says that the body is sent in chunks: only then
 * does the last chunk show its end. Chunks are always the last coding. */
static bool is_chunked(const char *line, size_t size)
{
	static const char name[] = "Transfer-Encoding:", coding[] = "chunked";
	size_t coding_size = strlen(coding);

	while (size && strchr(" \t\r\n", line[size - 1]))
		size--;
	return size >= strlen(name) + coding_size &&
	       !strncasecmp(line, name, strlen(name)) &&
	       !strncasecmp(line + size - coding_size, coding, coding_size);
}

static size_t on_curl_header(char *line, size_t unit, size_t count,
			     void *context)
{
	client_call_t *call = context;
	size_t size = unit * count;
	long status = 0;

	if (call->cancelled)
		return 0;
	call->header_bytes += size;
	if (call->header_bytes > CLIENT_HEADERS_MAX_BYTES)
		return 0;
	call->last_activity = ev_now(call->client->loop);
	if (is_status_line(line, size) && !status_line_valid(line, size)) {
		call->is_invalid = true;
		return 0;
	}
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < STATUS_INFORMATIONAL_END)
		return size;
	/* The line end alone, 2 bytes at most, ends the headers. */
	if (size > 2) {
		call->is_chunked |= is_chunked(line, size);
		if (call->handler.on_header)
			deliver_header(call, line, size);
		return call->cancelled ? 0 : size;
	}
	call->head_done = true;
	if (call->handler.on_status)
		call->handler.on_status(call->handler.context, (int)status);
	return call->cancelled ? 0 : size;
}

static void on_idle(struct ev_loop *loop, ev_timer *watcher, int events)
{
	client_call_t *call = watcher->data;
	ev_tstamp silence_s = ev_now(loop) - call->last_activity;
	client_t *client = call->client;
	long sent_bytes = 0;

	/* No data can arrive while a call is paused. */
	if (call->paused)
		silence_s = 0;
	if (silence_s < call->idle_timeout) {
		ev_timer_set(watcher, call->idle_timeout - silence_s, 0);
		ev_timer_start(loop, watcher);
		return;
	}
	curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
	call_end(call, sent_bytes ? CLIENT_TIMED_OUT : CLIENT_CONNECT_FAILED);
	end_finished_calls(client);
}

static void start_idle_timer(client_call_t *call, int64_t timeout_ms)
{
	ev_init(&call->idle, on_idle);
	call->idle.data = call;
	call->last_activity = ev_now(call->client->loop);
	if (timeout_ms <= 0)
		return;
	call->idle_timeout = (double)timeout_ms / MS_PER_S;
	ev_timer_set(&call->idle, call->idle_timeout, 0);
	ev_timer_start(call->client->loop, &call->idle);
}

client_call_t *client_call(client_t *client, const client_request_t *request,
			   const client_handler_t *handler)
{
	client_call_t *call = mem_calloc(1, sizeof(*call));
	const char *const *header;

	call->client = client;
	call->handler = *handler;
	call->connect_only = request->connect_only;
	call->easy = curl_easy_init();
	if (!call->easy)
		abort();
	call->body = request->body_to_free;
	call->upload_bytes =
		call->body || request->body ? request->body_size_bytes : 0;
	if (request->body)
		call->body = mem_copy(request->body, request->body_size_bytes);
	/*
	 * An empty Expect: header, because the wait for "100 Continue" would
	 * delay a large prompt.
	 */
	call->headers = curl_slist_append(NULL, "Expect:");
	for (header = request->headers; header && *header; header++)
		call->headers = curl_slist_append(call->headers, *header);
	client_set_options(call->easy, request, call->body, call->headers);
	client_sockets_watch(call, request);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_curl_data);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_curl_header);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	start_idle_timer(call, request->idle_timeout_ms);
	DL_APPEND(client->calls, call);
	if (client->curl_depth)
		client->deferred = true;
	else
		call_add(call);
	return call;
}

void client_call_resume(client_call_t *call)
{
	client_t *client = call->client;

	if (!call->paused || call->cancelled)
		return;
	call->paused = false;
	call->unsent_bytes = 0; /* of when the socket was last in use */
	call->last_activity = ev_now(client->loop);
	client->curl_depth++;
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
	exit_libcurl(client);
}

void client_call_cancel(client_call_t *call)
{
	if (!call->client->curl_depth) {
		call_free(call, false);
		return;
	}
	call->cancelled = true;
	call->client->deferred = true;
}

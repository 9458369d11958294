#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "base/units.h"
#include "connection/framing.h"
#include "connection/listener_private.h"

enum {
	HTTP_BAD_REQUEST = 400,
	HTTP_HEADERS_TOO_LONG = 431,
	HTTP_BAD_GATEWAY = 502,
	ERROR_BODY_SIZE_BYTES = 80,
	REPLY_BLOCK_SIZE_BYTES = 4096,
	/*
	 * Most of a streamed reply that the library holds: as the process ends,
	 * it is lost unless the socket takes it at once.
	 */
	LIBRARY_BLOCK_MAX_BYTES = 12 * 1024,
	/* An empty buffer above this size is freed. */
	EMPTY_BUFFER_MAX_BYTES = 16 * 1024
};

/* Interval between checks for a disconnected caller. */
#define DISCONNECT_POLL_S 0.5

static int connection_fd(const exchange_t *exchange)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return info ? info->connect_fd : -1;
}

static void stop_watching(exchange_t *exchange)
{
	ev_io_stop(exchange->listener->loop, &exchange->disconnect);
	ev_timer_stop(exchange->listener->loop, &exchange->disconnect_poll);
}

/*
 * Returns true if the caller closed its side. Checks the state of the TCP
 * connection: a read would not show the end under TLS, where the closing alert
 * comes first.
 */
static bool caller_disconnected(const exchange_t *exchange)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);

	if (getsockopt(connection_fd(exchange), IPPROTO_TCP, TCP_INFO, &info,
		       &size))
		return true;
	return info.tcpi_state != TCP_ESTABLISHED;
}

/* The socket is readable: the caller disconnected or sent a next request. */
static void on_disconnect(struct ev_loop *loop, ev_io *watcher, int events)
{
	exchange_t *exchange = watcher->data;

	if (caller_disconnected(exchange)) {
		exchange_abort(exchange);
		return;
	}
	/*
	 * The data of a next request keeps the socket readable, so the state of
	 * the connection is polled from now on.
	 */
	ev_io_stop(loop, &exchange->disconnect);
	ev_timer_set(&exchange->disconnect_poll, DISCONNECT_POLL_S,
		     DISCONNECT_POLL_S);
	ev_timer_start(loop, &exchange->disconnect_poll);
}

static void on_disconnect_poll(struct ev_loop *loop, ev_timer *watcher,
			       int events)
{
	exchange_t *exchange = watcher->data;

	if (caller_disconnected(exchange))
		exchange_abort(exchange);
}

/*
 * Detects a caller that disconnects. The library does not watch the socket of a
 * suspended connection.
 */
static void watch_disconnect(exchange_t *exchange)
{
	ev_io_init(&exchange->disconnect, on_disconnect,
		   connection_fd(exchange), EV_READ);
	exchange->disconnect.data = exchange;
	ev_io_start(exchange->listener->loop, &exchange->disconnect);
}

/* Resizes the reply buffer; capacity 0 frees the buffer. */
static void set_capacity(exchange_t *exchange, size_t capacity)
{
	metrics_add(METRIC_REPLY_BUFFER_BYTES,
		    (int64_t)capacity - (int64_t)exchange->capacity);
	exchange->listener->reply_bytes += capacity - exchange->capacity;
	exchange->capacity = capacity;
	if (capacity) {
		exchange->data = mem_realloc(exchange->data, capacity, 1);
		return;
	}
	free(exchange->data);
	exchange->data = NULL;
}

static void suspend(exchange_t *exchange)
{
	exchange->suspended = true;
	MHD_suspend_connection(exchange->connection);
}

static void resume(exchange_t *exchange)
{
	if (!exchange->suspended)
		return;
	exchange->suspended = false;
	MHD_resume_connection(exchange->connection);
	exchange->listener->run_pending = true;
}

void *exchange_on_uri(void *context, const char *uri,
		      struct MHD_Connection *connection)
{
	listener_t *listener = context;
	exchange_t *exchange = mem_calloc(1, sizeof(*exchange));

	exchange->listener = listener;
	exchange->connection = connection;
	exchange->target = mem_strdup(uri);
	exchange->path = mem_strdup(uri);
	exchange->query = exchange->path + strcspn(exchange->path, "?");
	if (*exchange->query)
		*exchange->query++ = '\0';
	ev_init(&exchange->disconnect, on_disconnect);
	ev_init(&exchange->disconnect_poll, on_disconnect_poll);
	exchange->disconnect_poll.data = exchange;
	DL_APPEND(listener->exchanges, exchange);
	callers_set_phase(connection, CALLER_SENDS_HEAD);
	return exchange;
}

static enum MHD_Result queue_reply(exchange_t *exchange)
{
	exchange->queued = true;
	return MHD_queue_response(exchange->connection,
				  (unsigned int)exchange->status,
				  exchange->reply);
}

static bool has_header(const reply_header_t *headers, size_t count,
		       const char *name)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcasecmp(headers[i].name, name))
			return true;
	return false;
}

static void set_reply(exchange_t *exchange, int status,
		      struct MHD_Response *reply, const reply_header_t *headers,
		      size_t header_count)
{
	const listener_t *listener = exchange->listener;
	bool is_full = listener->kept_max &&
		       listener->caller_count > listener->kept_max;
	size_t i;

	for (i = 0; i < header_count; i++)
		MHD_add_response_header(reply, headers[i].name,
					headers[i].value);
	if ((exchange->is_last || is_full) &&
	    !has_header(headers, header_count, "Connection"))
		MHD_add_response_header(reply, "Connection", "close");
	exchange->status = status;
	exchange->reply = reply;
	exchange->progress_us = clock_monotonic_us();
	resume(exchange);
}

static void reply_whole(exchange_t *exchange, int status,
			const reply_header_t *headers, size_t header_count,
			const void *body, size_t size)
{
	exchange->whole_bytes = size;
	exchange->listener->reply_bytes += size;
	set_reply(exchange, status,
		  MHD_create_response_from_buffer(size, (void *)body,
						  MHD_RESPMEM_MUST_COPY),
		  headers, header_count);
}

/* Answers with an error of the listener, and closes the connection. */
static void reply_error(exchange_t *exchange, int status, const char *code)
{
	static const reply_header_t headers[] = {
		{ "Content-Type", "application/json" },
		{ "Connection", "close" },
	};
	char body[ERROR_BODY_SIZE_BYTES];

	snprintf(body, sizeof(body), "{\"error\":{\"code\":\"%s\"}}", code);
	reply_whole(exchange, status, headers,
		    sizeof(headers) / sizeof(headers[0]), body, strlen(body));
}

/* Closes the connection: where the next request begins is not known. */
static enum MHD_Result refuse_framing(exchange_t *exchange)
{
	metrics_add(METRIC_FRAMING_REFUSED, 1);
	reply_error(exchange, HTTP_BAD_REQUEST, "length_not_clear");
	return queue_reply(exchange);
}

static enum MHD_Result refuse_headers(exchange_t *exchange)
{
	metrics_add(METRIC_HEADERS_REFUSED, 1);
	reply_error(exchange, HTTP_HEADERS_TOO_LONG, "headers_too_long");
	return queue_reply(exchange);
}

/*
 * Handles the headers of a request. A refused body is not read if its
 * Content-Length is above DISCARD_MAX_BYTES.
 */
static enum MHD_Result begin_request(exchange_t *exchange, const char *method)
{
	const listener_handler_t *handler = &exchange->listener->handler;

	if (exchange->listener->closing)
		return MHD_NO;
	if (!framing_is_clear(exchange->connection))
		return refuse_framing(exchange);
	exchange_measure_head(exchange);
	if (!exchange_has_reply_room(exchange))
		return refuse_headers(exchange);
	callers_set_phase(exchange->connection, CALLER_SENDS_BODY);
	exchange->started = true;
	exchange->method = mem_strdup(method);
	if (handler->on_request)
		exchange->user =
			handler->on_request(handler->context, exchange);
	if (exchange->aborted)
		return MHD_NO;
	if (exchange->reply &&
	    exchange_body_bytes(exchange) > DISCARD_MAX_BYTES)
		return queue_reply(exchange);
	return MHD_YES;
}

/* Handles the end of a request body. */
static enum MHD_Result complete_request(exchange_t *exchange)
{
	if (!exchange->completed) {
		exchange->completed = true;
		exchange_measure_unread(exchange);
		callers_set_phase(exchange->connection, CALLER_WAITS);
		MHD_set_connection_option(exchange->connection,
					  MHD_CONNECTION_OPTION_TIMEOUT, 0U);
		if (!exchange->reply)
			exchange->listener->handler.on_complete(exchange->user);
		if (!exchange->aborted &&
		    (!exchange->reply || exchange->streaming))
			watch_disconnect(exchange);
	}
	if (exchange->aborted)
		return MHD_NO;
	if (exchange->reply)
		return queue_reply(exchange);
	suspend(exchange);
	return MHD_YES;
}

enum MHD_Result exchange_on_access(void *context,
				   struct MHD_Connection *connection,
				   const char *url, const char *method,
				   const char *version, const char *data,
				   size_t *size, void **exchange_slot)
{
	exchange_t *exchange = *exchange_slot;
	const listener_handler_t *handler = &exchange->listener->handler;

	if (exchange->queued)
		return MHD_YES;
	if (!exchange->started)
		return begin_request(exchange, method);
	if (!*size)
		return complete_request(exchange);
	if (!exchange->reply && handler->on_body)
		handler->on_body(exchange->user, data, *size);
	exchange->body_bytes += *size;
	*size = 0;
	return exchange->aborted ? MHD_NO : MHD_YES;
}

void exchange_on_completed(void *context, struct MHD_Connection *connection,
			   void **exchange_slot,
			   enum MHD_RequestTerminationCode code)
{
	exchange_t *exchange = *exchange_slot;
	listener_t *listener = context;
	bool sent = exchange && code == MHD_REQUEST_TERMINATED_COMPLETED_OK &&
		    exchange->queued && !exchange->aborted;

	if (!exchange)
		return;
	callers_set_phase(connection, CALLER_IDLE);
	stop_watching(exchange);
	if (exchange->started && listener->handler.on_close)
		listener->handler.on_close(exchange->user, sent);
	if (sent)
		MHD_set_connection_option(connection,
					  MHD_CONNECTION_OPTION_TIMEOUT,
					  (unsigned int)CONNECTION_TIMEOUT_S);
	DL_DELETE(listener->exchanges, exchange);
	if (exchange->reply)
		MHD_destroy_response(exchange->reply);
	set_capacity(exchange, 0);
	listener->reply_bytes -= exchange->whole_bytes;
	free(exchange->method);
	free(exchange->path);
	free(exchange->target);
	free(exchange);
	*exchange_slot = NULL;
}

/* Gives the library the next block of a streamed reply. */
static ssize_t on_read(void *context, uint64_t position, char *target,
		       size_t max)
{
	exchange_t *exchange = context;
	const listener_handler_t *handler = &exchange->listener->handler;
	size_t size;

	if (exchange->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (!exchange->size && !exchange->ended && handler->on_drained)
		handler->on_drained(exchange->user);
	if (!exchange->size && exchange->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (!exchange->size) {
		suspend(exchange);
		return 0;
	}
	size = exchange->size < max ? exchange->size : max;
	if (size > LIBRARY_BLOCK_MAX_BYTES)
		size = LIBRARY_BLOCK_MAX_BYTES;
	memcpy(target, exchange->data + exchange->start, size);
	exchange->start += size;
	exchange->size -= size;
	exchange->progress_us = clock_monotonic_us();
	if (!exchange->size && exchange->capacity > EMPTY_BUFFER_MAX_BYTES) {
		set_capacity(exchange, 0);
	}
	return (ssize_t)size;
}

const char *exchange_method(const exchange_t *exchange)
{
	return exchange->method;
}

const char *exchange_target(const exchange_t *exchange)
{
	return exchange->target;
}

const char *exchange_path(const exchange_t *exchange)
{
	return exchange->path;
}

const char *exchange_query(const exchange_t *exchange)
{
	return exchange->query;
}

const char *exchange_header(const exchange_t *exchange, const char *name)
{
	return MHD_lookup_connection_value(exchange->connection,
					   MHD_HEADER_KIND, name);
}

/* Callback of exchange_headers() and its context. */
typedef struct {
	exchange_each_header_t each;
	void *context;
} header_visit_t;

static enum MHD_Result on_header(void *context, enum MHD_ValueKind kind,
				 const char *name, const char *value)
{
	const header_visit_t *visit = context;

	return visit->each(visit->context, name, value ? value : "") ? MHD_YES
								     : MHD_NO;
}

void exchange_headers(const exchange_t *exchange, exchange_each_header_t each,
		      void *context)
{
	header_visit_t visit = { each, context };

	MHD_get_connection_values(exchange->connection, MHD_HEADER_KIND,
				  on_header, &visit);
}

int64_t exchange_body_bytes(const exchange_t *exchange)
{
	const char *length = exchange_header(exchange, "Content-Length");

	if (length)
		return strtoll(length, NULL, 10);
	return exchange_header(exchange, "Transfer-Encoding") ? -1 : 0;
}

void exchange_set_last(exchange_t *exchange)
{
	exchange->is_last = true;
}

/* The request may have run: the caller must get an answer. */
static void replace_reply(exchange_t *exchange)
{
	metrics_add(METRIC_ANSWERS_REPLACED, 1);
	exchange->ended = true;
	reply_error(exchange, HTTP_BAD_GATEWAY, "answer_headers_too_long");
}

void exchange_reply(exchange_t *exchange, int status,
		    const reply_header_t *headers, size_t header_count,
		    const void *body, size_t size)
{
	if (exchange->reply || exchange->aborted)
		return;
	if (!exchange_reply_fits(exchange, headers, header_count))
		replace_reply(exchange);
	else
		reply_whole(exchange, status, headers, header_count, body,
			    size);
}

void exchange_stream(exchange_t *exchange, int status,
		     const reply_header_t *headers, size_t header_count)
{
	if (exchange->reply || exchange->aborted)
		return;
	if (!exchange_reply_fits(exchange, headers, header_count)) {
		replace_reply(exchange);
		return;
	}
	exchange->streaming = true;
	set_reply(exchange, status,
		  MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
						    REPLY_BLOCK_SIZE_BYTES,
						    on_read, exchange, NULL),
		  headers, header_count);
}

/* Makes the buffer large enough to append @p size bytes. */
static void reserve(exchange_t *exchange, size_t size)
{
	size_t needed = exchange->size + size, capacity = exchange->capacity;

	if (exchange->start + needed <= capacity)
		return;
	if (exchange->size)
		memmove(exchange->data, exchange->data + exchange->start,
			exchange->size);
	exchange->start = 0;
	if (needed <= capacity)
		return;
	capacity = capacity ? capacity : REPLY_BLOCK_SIZE_BYTES;
	while (capacity < needed)
		capacity *= 2;
	set_capacity(exchange, capacity);
}

void exchange_write(exchange_t *exchange, const void *data, size_t size)
{
	if (exchange->aborted || exchange->ended || !size)
		return;
	if (!exchange->size)
		exchange->progress_us = clock_monotonic_us();
	reserve(exchange, size);
	memcpy(exchange->data + exchange->start + exchange->size, data, size);
	exchange->size += size;
	resume(exchange);
}

void exchange_end(exchange_t *exchange)
{
	exchange->ended = true;
	resume(exchange);
}

void exchange_abort(exchange_t *exchange)
{
	if (exchange->aborted)
		return;
	exchange->aborted = true;
	stop_watching(exchange);
	/* Wakes up the library if it waits for a caller that stalls. */
	shutdown(connection_fd(exchange), SHUT_RDWR);
	resume(exchange);
}

size_t exchange_pending_bytes(const exchange_t *exchange)
{
	/*
	 * While a streamed reply is not suspended, the library holds a block
	 * that the network has not accepted. The size of the block is unknown
	 * and counts as 1 byte.
	 */
	return exchange->size +
	       (exchange->streaming && !exchange->suspended ? 1 : 0);
}

int64_t exchange_progress_us(const exchange_t *exchange)
{
	return exchange->progress_us;
}

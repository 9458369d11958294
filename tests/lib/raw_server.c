#include "lib/raw_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/units.h"
#include "cases.h"
#include "lib/loopback.h"

enum {
	/* Small, so that a long request is not in the buffers of a server that
	 * does not read it. */
	RECEIVE_BUFFER_BYTES = 128 * 1024,
	/* Holds an answer that the peer has not read. */
	SEND_BUFFER_BYTES = 512 * 1024,
	FILLER_MAX_BYTES = 400 * 1024,
	HEAD_READ_BYTES = 512
};

static void close_connection(struct raw_connection *connection)
{
	if (!connection->is_open)
		return;
	connection->is_open = false;
	ev_io_stop(connection->server->loop, &connection->readable);
	ev_timer_stop(connection->server->loop, &connection->end);
	close(connection->readable.fd);
}

static void write_text(int fd, const char *text)
{
	(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
}

static void write_body(int fd, const raw_answer_t *answer)
{
	static char filler[FILLER_MAX_BYTES];
	const char *body = answer->body ? answer->body : "";
	char size[24];

	memset(filler, 'x', sizeof(filler));
	snprintf(size, sizeof(size), "%zx\r\n",
		 strlen(body) + answer->filler_bytes);
	if (answer->is_chunked)
		write_text(fd, size);
	write_text(fd, body);
	(void)!send(fd, filler, answer->filler_bytes,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (answer->is_chunked)
		write_text(fd, "\r\n");
}

static void on_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct raw_connection *connection = timer->data;
	struct linger none = { .l_onoff = 1, .l_linger = 0 };
	int fd = connection->readable.fd;

	switch (connection->answer->end) {
	case RAW_RESETS:
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
		close_connection(connection);
		return;
	case RAW_ENDS:
		if (connection->answer->is_chunked)
			write_text(fd, "0\r\n\r\n");
		shutdown(fd, SHUT_WR);
		ev_io_start(loop, &connection->readable);
		return;
	case RAW_ENDS_UNREAD:
		shutdown(fd, SHUT_WR);
		return;
	case RAW_STAYS:
		ev_io_start(loop, &connection->readable);
		return;
	}
}

static void answer(struct raw_connection *connection)
{
	const raw_answer_t *answer = connection->answer;
	struct ev_loop *loop = connection->server->loop;

	if (!answer->head)
		return;
	write_text(connection->readable.fd, answer->head);
	write_body(connection->readable.fd, answer);
	if (answer->is_early)
		ev_io_stop(loop, &connection->readable);
	ev_now_update(loop);
	ev_timer_set(&connection->end, (double)answer->end_ms / MS_PER_S, 0.);
	ev_timer_start(loop, &connection->end);
}

/* @return size of the whole request; 0: its head is not complete */
static size_t request_bytes(const char *head)
{
	const char *end = strstr(head, "\r\n\r\n");
	const char *length = strcasestr(head, "\r\nContent-Length: ");

	if (!end)
		return 0;
	return (size_t)(end + 4 - head) +
	       (length && length < end
			? strtoul(strchr(length, ':') + 1, NULL, 10)
			: 0);
}

/* Reads a head. @return true if it is complete */
static bool take_head(struct raw_connection *connection, const char *data,
		      size_t size)
{
	raw_server_t *server = connection->server;
	size_t space = sizeof(connection->head) - 1 - connection->size, number;

	memcpy(connection->head + connection->size, data,
	       size < space ? size : space);
	connection->size += size < space ? size : space;
	connection->expected_bytes = request_bytes(connection->head);
	if (!connection->expected_bytes)
		return false;
	number = server->answer_count - 1;
	if (strncmp(connection->head, "DELETE ", strlen("DELETE ")) != 0 &&
	    server->arrivals++ < number)
		number = server->arrivals - 1;
	connection->answer = &server->answers[number];
	return true;
}

static void take(struct raw_connection *connection, const char *data,
		 size_t size)
{
	connection->received_bytes += size;
	if (!connection->answer && !take_head(connection, data, size))
		return;
	if (connection->is_answered ||
	    (!connection->answer->is_early &&
	     connection->received_bytes < connection->expected_bytes))
		return;
	connection->is_answered = true;
	answer(connection);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct raw_connection *connection = watcher->data;
	static char data[64 * 1024];
	/* An early answer leaves as much as possible of the request unread. */
	size_t limit = connection->answer ? sizeof(data) : HEAD_READ_BYTES;
	ssize_t size = recv(watcher->fd, data, limit, 0);

	if (size <= 0)
		close_connection(connection);
	else
		take(connection, data, (size_t)size);
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	raw_server_t *server = watcher->data;
	size_t number = server->connection_count++;
	struct raw_connection *connection = &server->connections[number];
	int fd = accept(watcher->fd, NULL, NULL), bytes = SEND_BUFFER_BYTES;

	assert_true(fd >= 0 && number < RAW_CONNECTIONS_MAX);
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
	memset(connection, 0, sizeof(*connection));
	connection->server = server;
	connection->is_open = true;
	ev_io_init(&connection->readable, on_readable, fd, EV_READ);
	connection->readable.data = connection;
	ev_init(&connection->end, on_end);
	connection->end.data = connection;
	ev_io_start(loop, &connection->readable);
}

void raw_server_start(raw_server_t *server, struct ev_loop *loop)
{
	int fd, bytes = RECEIVE_BUFFER_BYTES;

	memset(server, 0, sizeof(*server));
	server->loop = loop;
	fd = loopback_listen(&server->port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
	ev_io_init(&server->listening, on_accept, fd, EV_READ);
	server->listening.data = server;
	ev_io_start(loop, &server->listening);
}

static void close_all(raw_server_t *server)
{
	while (server->connection_count)
		close_connection(
			&server->connections[--server->connection_count]);
}

void raw_server_script(raw_server_t *server, const raw_answer_t *answers,
		       size_t count)
{
	close_all(server);
	server->answers = answers;
	server->answer_count = count;
	server->arrivals = 0;
}

void raw_server_stop(raw_server_t *server)
{
	close_all(server);
	ev_io_stop(server->loop, &server->listening);
	close(server->listening.fd);
}

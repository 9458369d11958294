/* Room for the head of a reply, in the memory that it shares with its request
 * and with what was read of next ones. */
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "connection/listener_private.h"

enum {
	/* The library reads into half of the memory of a connection. */
	UNREAD_MAX_BYTES = LISTENER_CONNECTION_BYTES / 2,
	/* Memory of the library for a header of a request, beside the text. */
	HEADER_RECORD_SIZE_BYTES = 64,
	/* Room without which no request is run. */
	ROOM_MIN_BYTES = 4096,
	/* The status line, the headers that the library adds, and the framing
	 * of a chunk. */
	LIBRARY_BYTES = 512,
	/* ": " and the line end of a header. */
	HEADER_MARKS_BYTES = 4
};

void exchange_measure_head(exchange_t *exchange)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		exchange->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	const char *cookies;

	exchange->head_bytes = info ? info->header_size : 0;
	/* Parameters of the query and cookies have records as well. */
	exchange->record_count = (size_t)MHD_get_connection_values(
		exchange->connection,
		MHD_HEADER_KIND | MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND, NULL,
		NULL);
	/* The library parses a copy of the first header with cookies. */
	cookies = exchange_header(exchange, MHD_HTTP_HEADER_COOKIE);
	if (cookies)
		exchange->copied_bytes = strlen(cookies) + 1;
}

/* @return bytes of the caller that were read from the socket; 0: not known */
static uint64_t read_bytes(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);
	int unread = 0;

	if (ioctl(fd, SIOCINQ, &unread) ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) ||
	    info.tcpi_bytes_received < (uint64_t)unread)
		return 0;
	return info.tcpi_bytes_received - (uint64_t)unread;
}

void exchange_measure_unread(exchange_t *exchange)
{
	caller_t *caller = callers_of_connection(exchange->connection);
	uint64_t read;

	exchange->unread_bytes = UNREAD_MAX_BYTES;
	if (!caller)
		return;
	caller->request_bytes += exchange->head_bytes + exchange->body_bytes;
	/* The framing of chunks, and of TLS, is read but not counted: the
	 * result is never too small. */
	read = read_bytes(caller->fd);
	if (read >= caller->request_bytes &&
	    read - caller->request_bytes < UNREAD_MAX_BYTES)
		exchange->unread_bytes = (size_t)(read - caller->request_bytes);
}

size_t exchange_reply_room_bytes(const exchange_t *exchange)
{
	size_t used = exchange->head_bytes + exchange->copied_bytes +
		      exchange->unread_bytes +
		      exchange->record_count * HEADER_RECORD_SIZE_BYTES +
		      LIBRARY_BYTES;

	return used < LISTENER_CONNECTION_BYTES
		       ? LISTENER_CONNECTION_BYTES - used
		       : 0;
}

bool exchange_has_reply_room(const exchange_t *exchange)
{
	return exchange_reply_room_bytes(exchange) >= ROOM_MIN_BYTES;
}

bool exchange_reply_fits(const exchange_t *exchange,
			 const reply_header_t *headers, size_t header_count)
{
	size_t size = 0, i;

	for (i = 0; i < header_count; i++)
		size += strlen(headers[i].name) + strlen(headers[i].value) +
			HEADER_MARKS_BYTES;
	return size <= exchange_reply_room_bytes(exchange);
}

#include "lib/raw_requests.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"
#include "cases.h"

enum { ANSWER_MS = 1500, AFTER_MS = 30, REPLY_BYTES = 16384 };

/** How the request reaches the node. */
typedef enum { ALONE, AFTER_ANOTHER, PIPELINED, CONNECTION_USES } use_t;

static int connect_to(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

/** What came back on a connection. */
typedef struct {
	char text[REPLY_BYTES];
	size_t size;
	bool closed;
} replies_t;

static size_t count(const char *text, const char *part)
{
	size_t found = 0;

	while ((text = strstr(text, part))) {
		found++;
		text += strlen(part);
	}
	return found;
}

/* @return number of answers; bytes after the length of the last one are none */
static size_t count_answers(const char *text)
{
	size_t answers = 0;

	while (!strncmp(text, "HTTP/1.", strlen("HTTP/1."))) {
		const char *end = strstr(text, "\r\n\r\n");
		const char *length = strstr(text, "Content-Length: ");
		size_t left, size;

		if (!end || !length || length > end)
			return answers;
		answers++;
		text = end + 4;
		left = strlen(text);
		size = strtoul(length + strlen("Content-Length: "), NULL, 10);
		text += size < left ? size : left;
	}
	return answers;
}

static void receive(int fd, replies_t *replies)
{
	ssize_t size = recv(fd, replies->text + replies->size,
			    sizeof(replies->text) - 1 - replies->size, 0);

	if (size > 0)
		replies->size += (size_t)size;
	else if (!size || errno == ECONNRESET)
		replies->closed = true;
	replies->text[replies->size] = '\0';
}

/* Runs until there are @p wanted answers or the connection is closed, and for
 * some time after it. */
static void run(const interface_t *interface, int fd, size_t wanted,
		replies_t *replies)
{
	int64_t end_us = clock_monotonic_us() + ANSWER_MS * US_PER_MS;
	bool is_done = false;

	while (clock_monotonic_us() < end_us) {
		interface->step();
		receive(fd, replies);
		if (!is_done && (replies->closed ||
				 count_answers(replies->text) >= wanted)) {
			is_done = true;
			end_us = clock_monotonic_us() + AFTER_MS * US_PER_MS;
		}
	}
}

/** A request after its request line and the headers of the interface. */
typedef struct {
	const char *name, *rest;
	int status; /* 200; 0: closed, with an error or without an answer */
	const char *body; /* that reaches the server, with status 200 */
} raw_request_t;

#define HIDDEN                                                      \
	"POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" \
	"\r\n"

static const raw_request_t requests[] = {
	{ "a length", "Content-Length: 4\r\n\r\nbody", 200, "body" },
	{ "chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	  200, "body" },
	{ "chunks in capitals",
	  "Transfer-Encoding: Chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 200,
	  "body" },
	{ "two lengths, the smaller first",
	  "Content-Length: 4\r\nContent-Length: 59\r\n\r\nbody" HIDDEN, 0,
	  NULL },
	{ "two lengths, the larger first",
	  "Content-Length: 59\r\nContent-Length: 4\r\n\r\nbody" HIDDEN, 0,
	  NULL },
	{ "two equal lengths",
	  "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 0, NULL },
	{ "a length and chunks",
	  "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
	  "4\r\nbody\r\n0\r\n\r\n" HIDDEN,
	  0, NULL },
	{ "chunks and a length",
	  "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
	  "4\r\nbody\r\n0\r\n\r\n" HIDDEN,
	  0, NULL },
	{ "a blank before the colon of a length",
	  "Content-Length : 4\r\n\r\nbody", 0, NULL },
	{ "a blank before the colon of chunks",
	  "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 0,
	  NULL },
	{ "an unknown encoding",
	  "Transfer-Encoding: xchunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", 0,
	  NULL },
	{ "a list of encodings",
	  "Transfer-Encoding: chunked, identity\r\n\r\n"
	  "4\r\nbody\r\n0\r\n\r\n",
	  0, NULL },
	{ "two encodings",
	  "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n"
	  "4\r\nbody\r\n0\r\n\r\n",
	  0, NULL },
	{ "a length in a folded line",
	  "X-A: 1\r\n Content-Length: 59\r\nContent-Length: 4\r\n\r\nbody", 0,
	  NULL },
	{ "a folded length", "Content-Length:\r\n 4\r\n\r\nbody", 0, NULL },
	{ "a list of lengths", "Content-Length: 4, 4\r\n\r\nbody", 0, NULL },
	{ "a length with a sign", "Content-Length: +4\r\n\r\nbody", 0, NULL },
	{ "a negative length", "Content-Length: -4\r\n\r\nbody", 0, NULL },
	{ "a hexadecimal length", "Content-Length: 0x4\r\n\r\nbody", 0, NULL },
	{ "an empty length", "Content-Length: \r\n\r\nbody", 0, NULL },
	{ "a length beyond all numbers",
	  "Content-Length: 99999999999999999999999\r\n\r\nbody", 0, NULL },
	{ "a bad chunk size",
	  "Transfer-Encoding: chunked\r\n\r\nxx\r\nbody\r\n0\r\n\r\n", 0,
	  NULL },
	{ "a chunk size with a sign",
	  "Transfer-Encoding: chunked\r\n\r\n+4\r\nbody\r\n0\r\n\r\n", 0,
	  NULL },
	{ "a chunk size beyond all numbers",
	  "Transfer-Encoding: chunked\r\n\r\n"
	  "fffffffffffffffffffff\r\nbody\r\n0\r\n\r\n",
	  0, NULL },
};

static size_t format(const interface_t *interface, const char *rest, char *text,
		     size_t size)
{
	return (size_t)snprintf(text, size,
				"POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n%s",
				interface->path, interface->key, rest);
}

static void send_all(int fd, const char *text, size_t size)
{
	assert_int_equal(send(fd, text, size, MSG_NOSIGNAL), size);
}

static bool is_refused(const char *text)
{
	return strstr(text, "HTTP/1.1 400") || strstr(text, "HTTP/1.1 413") ||
	       strstr(text, "HTTP/1.1 501");
}

/* @return what is wrong; NULL: nothing */
static const char *check(const interface_t *interface,
			 const raw_request_t *request, use_t use,
			 const replies_t *replies)
{
	size_t first = use != ALONE, answers = count_answers(replies->text);
	bool is_clear = request->status == 200;
	bool served = is_clear && (interface->takes_chunks ||
				   !strstr(request->rest, "hunked"));

	if (interface->arrived("hidden"))
		return "the hidden request arrived";
	if (interface->arrivals() != first + served)
		return "arrivals at the server";
	if (count(replies->text, "HTTP/1.1 200") != first + served)
		return "answers with status 200";
	if (served && !interface->arrived(request->body))
		return "the body that arrived";
	if (is_clear && (replies->closed || answers != first + 1))
		return "closed, or without an answer";
	if (!served && answers > first && !is_refused(replies->text))
		return "status";
	if (answers > first + 1)
		return "more than one answer";
	return is_clear || replies->closed ? NULL : "not closed";
}

/* @return true if the request was treated as it should be */
static bool play(const interface_t *interface, const raw_request_t *request,
		 use_t use)
{
	static const char valid[] = "Content-Length: 5\r\n\r\nfirst";
	replies_t replies = { .size = 0 };
	char text[2048];
	size_t size = 0;
	const char *wrong;
	int fd;

	interface->start();
	fd = connect_to(interface->port());
	if (use != ALONE)
		size = format(interface, valid, text, sizeof(text));
	if (use == AFTER_ANOTHER) {
		send_all(fd, text, size);
		run(interface, fd, 1, &replies);
		size = 0;
	}
	size += format(interface, request->rest, text + size,
		       sizeof(text) - size);
	send_all(fd, text, size);
	run(interface, fd, use == ALONE ? 1 : 2, &replies);
	wrong = check(interface, request, use, &replies);
	if (wrong)
		print_error("%s, %s, connection use %d: %s: %s\n",
			    interface->name, request->name, use, wrong,
			    replies.text);
	close(fd);
	interface->stop();
	return !wrong;
}

size_t raw_requests_play(const interface_t *interface)
{
	size_t i, wrong = 0;
	use_t use;

	for (i = 0; i < COUNT_OF(requests); i++)
		for (use = ALONE; use < CONNECTION_USES; use++)
			wrong += !play(interface, &requests[i], use);
	return wrong;
}

/** HTTP listener: start errors, TLS, requests of one connection, refused
 * bodies, disconnects and aborted streams. */
#include <curl/curl.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"
#include "cases.h"
#include "connection/address.h"
#include "connection/client.h"
#include "connection/listener.h"

enum {
	SMALL_BUFFER_BYTES = 4096,
	/* Of a reply that the send buffer holds, not the caller's. */
	LAST_REPLY_BYTES = 90000,
	UNREAD_BYTES = 40000
};

static struct ev_loop *loop;
static listener_t *server;
static exchange_t *held; /* awaits a reply; NULL: no such exchange */
static size_t body_size;
static int opened, closed, sent;

static void *on_request(void *context, exchange_t *exchange)
{
	opened++;
	if (!strcmp(exchange_path(exchange), "/refused"))
		exchange_reply(exchange, 413, NULL, 0, "no", 2);
	return exchange;
}

static void on_body(void *user, const void *data, size_t size)
{
	body_size += size;
}

static void on_complete(void *user)
{
	exchange_t *exchange = user;
	reply_header_t header = { "X-Query", exchange_query(exchange) };
	char text[32];

	if (!strcmp(exchange_path(exchange), "/held")) {
		held = exchange;
		return;
	}
	if (!strcmp(exchange_path(exchange), "/last")) {
		static char last[LAST_REPLY_BYTES];
		reply_header_t close = { "Connection", "close" };

		memset(last, 'x', sizeof(last));
		exchange_reply(exchange, 200, &close, 1, last, sizeof(last));
		return;
	}
	snprintf(text, sizeof(text), "%zu", body_size);
	exchange_reply(exchange, 200, &header, 1, text, strlen(text));
}

static void on_close(void *user, bool whole)
{
	closed++;
	sent += whole;
	held = NULL;
}

static const listener_handler_t handler = { .on_request = on_request,
					    .on_body = on_body,
					    .on_complete = on_complete,
					    .on_close = on_close };

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	loop = ev_loop_new(EVFLAG_AUTO);
	opened = closed = sent = 0;
	body_size = 0;
	return 0;
}

static int tear_down(void **state)
{
	listener_destroy(server);
	server = NULL;
	ev_loop_destroy(loop);
	assert_int_equal(opened, closed);
	return 0;
}

static bool start(const char *address, const char *certificate, const char *key,
		  err_t *err)
{
	listener_conf_t conf = { .address = address,
				 .certificate = certificate,
				 .key = key,
				 .connections_max = 20 };

	server = listener_create(loop, &conf, &handler, err);
	return server;
}

#define DATA "tests/data/"

/*
 * Guards against a listener that starts without TLS when a certificate or key
 * is unusable, and against errors that do not name the address or file.
 */
static void refuses_to_start(void **state)
{
	static const struct {
		const char *address, *certificate, *key, *message;
		listener_err_t code;
	} cases[] = {
		{ "127.0.0.1", NULL, NULL, "listen on 127.0.0.1: expected",
		  LISTENER_ERR_ADDRESS },
		{ "localhost:0", NULL, NULL, "expected IPV4:PORT",
		  LISTENER_ERR_ADDRESS },
		{ "127.0.0.1:70000", NULL, NULL, "expected IPV4:PORT",
		  LISTENER_ERR_ADDRESS },
		{ "192.0.2.1:0", NULL, NULL,
		  "listen on 192.0.2.1:0: ", LISTENER_ERR_ADDRESS },
		{ "127.0.0.1:0", DATA "none.crt", DATA "node.key",
		  "read tests/data/none.crt: No such file", LISTENER_ERR_FILE },
		{ "127.0.0.1:0", DATA "node.crt", DATA "none.key",
		  "read tests/data/none.key: No such file", LISTENER_ERR_FILE },
		{ "127.0.0.1:0", DATA "node.crt", "", "read : No such file",
		  LISTENER_ERR_FILE },
		{ "127.0.0.1:0", DATA "node.crt", DATA "other.key",
		  "the key must match the certificate", LISTENER_ERR_START },
		{ "127.0.0.1:0", DATA "node.crt", DATA "node.crt",
		  "key tests/data/node.crt: ", LISTENER_ERR_START },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		err_t err = { 0 };

		if (start(cases[i].address, cases[i].certificate, cases[i].key,
			  &err))
			fail_msg("case %zu started", i);
		if (!strstr(err.message, cases[i].message))
			fail_msg("case %zu: %s", i, err.message);
		assert_int_equal(err.layer, ERR_LAYER_CONNECTION);
		assert_int_equal(err.code, cases[i].code);
	}
}

static void on_step(struct ev_loop *ev, ev_timer *timer, int events)
{
	ev_break(ev, EVBREAK_ALL);
}

static void run_for(int64_t ms)
{
	int64_t end_us = clock_monotonic_us() + ms * US_PER_MS;
	ev_timer step;

	while (clock_monotonic_us() < end_us) {
		ev_timer_init(&step, on_step, 0.002, 0);
		ev_now_update(loop);
		ev_timer_start(loop, &step);
		ev_run(loop, EVRUN_ONCE);
		ev_timer_stop(loop, &step);
	}
}

static int open_caller(const char *request)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons(listener_port(server));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	assert_int_equal(write(fd, request, strlen(request)), strlen(request));
	return fd;
}

/* @return the bytes that the caller can read after 50 ms; empty: none */
static const char *read_reply(int fd)
{
	static char text[4096];
	ssize_t size;

	run_for(50);
	size = recv(fd, text, sizeof(text) - 1, MSG_DONTWAIT);
	text[size > 0 ? size : 0] = '\0';
	return text;
}

/* Guards against requests of one connection that are mixed up. */
static void answers_requests_of_one_connection(void **state)
{
	int fd;

	assert_true(start("127.0.0.1:0", NULL, NULL, NULL));
	fd = open_caller("POST /a?x=%2F HTTP/1.1\r\nHost: a\r\n"
			 "Content-Length: 5\r\n\r\nhello");
	assert_non_null(strstr(read_reply(fd), "X-Query: x=%2F"));
	assert_int_equal(write(fd, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n", 29),
			 29);
	assert_non_null(strstr(read_reply(fd), "\r\n\r\n5"));
	assert_int_equal(sent, 2);
	close(fd);
	run_for(20);
}

/*
 * Guards against a refused body that reaches on_body, and against a lost reply:
 * closing a socket with unread data resets the connection.
 */
static void refuses_a_body(void **state)
{
	int fd;

	assert_true(start("127.0.0.1:0", NULL, NULL, NULL));
	/* A large body is refused before any of the body arrives. */
	fd = open_caller("POST /refused HTTP/1.1\r\nHost: a\r\n"
			 "Content-Length: 99999999\r\n\r\n");
	assert_non_null(strstr(read_reply(fd), " 413 "));
	close(fd);
	/* A small body is read and discarded; the connection stays usable. */
	fd = open_caller("POST /refused HTTP/1.1\r\nHost: a\r\n"
			 "Content-Length: 5\r\n\r\nhello");
	assert_non_null(strstr(read_reply(fd), " 413 "));
	assert_int_equal(write(fd, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n", 29),
			 29);
	assert_non_null(strstr(read_reply(fd), " 200 "));
	assert_int_equal(body_size, 0);
	close(fd);
	run_for(20);
}

/*
 * Guards against a caller whose disconnect goes undetected while the reply is
 * prepared: libmicrohttpd does not watch a suspended connection.
 */
static void detects_a_caller_that_disconnects(void **state)
{
	int fd;

	assert_true(start("127.0.0.1:0", NULL, NULL, NULL));
	fd = open_caller("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
	run_for(30);
	assert_non_null(held);
	close(fd);
	run_for(30);
	assert_null(held);
	assert_int_equal(sent, 0);
	/* Unread data of a second request: polling detects the disconnect. */
	fd = open_caller("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
	run_for(30);
	assert_int_equal(write(fd, "GET /b HTTP/1.1\r\nHost: a\r\n\r\n", 29),
			 29);
	run_for(30);
	assert_non_null(held);
	close(fd);
	run_for(700);
	assert_null(held);
}

/* Guards against an aborted stream that looks like a complete reply. */
static void abort_leaves_a_stream_incomplete(void **state)
{
	const char *reply;
	int fd;

	assert_true(start("127.0.0.1:0", NULL, NULL, NULL));
	fd = open_caller("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
	run_for(30);
	exchange_stream(held, 200, NULL, 0);
	exchange_write(held, "part", 4);
	reply = read_reply(fd);
	assert_non_null(strstr(reply, "4\r\npart\r\n"));
	exchange_abort(held);
	reply = read_reply(fd);
	assert_null(strstr(reply, "0\r\n\r\n"));
	assert_int_equal(closed, 1);
	assert_int_equal(sent, 0);
	close(fd);
}

/* Reads to the end of the connection. @return bytes of the body; -1: reset */
static int64_t read_to_end(int fd)
{
	int64_t received = 0, body = -1, size;
	char data[4096];

	while ((size = read(fd, data, sizeof(data))) > 0) {
		if (body < 0 && strstr(data, "\r\n\r\n"))
			body = strstr(data, "\r\n\r\n") + 4 - data;
		received += size;
		run_for(2);
	}
	return size < 0 ? -1 : received - body;
}

/* @return a caller with a small buffer, which has sent a request for the last
 * reply, and then @p more bytes */
static int open_last_caller(size_t more)
{
	static char unread[UNREAD_BYTES];
	int fd = open_caller("GET /last HTTP/1.1\r\nHost: a\r\n");
	int size = SMALL_BUFFER_BYTES;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	assert_int_equal(write(fd, "\r\n", 2), 2);
	if (more)
		(void)!send(fd, unread, more, MSG_DONTWAIT);
	return fd;
}

/*
 * Guards against the last answer of a connection that its caller does not get
 * whole: the process ends while the answer is on its way, or the connection is
 * reset, since bytes of the caller were not read.
 */
static void last_answer_is_cut_as_the_process_ends(void **state)
{
	static const struct {
		const char *caller;
		size_t more; /* bytes that are not read */
		bool ends_before; /* the listener, before the caller reads */
	} cases[] = {
		{ "reads late", 0, false },
		{ "reads late and sends on", 40000, false },
		{ "reads after the end", 0, true },
		{ "sends on and reads after the end", 40000, true },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		int fd;

		assert_true(start("127.0.0.1:0", NULL, NULL, NULL));
		listener_keep_unsent(server);
		fd = open_last_caller(cases[i].more);
		run_for(100);
		if (!closed || !listener_has_requests(server))
			fail_msg("%s: not waited for", cases[i].caller);
		if (cases[i].ends_before)
			listener_destroy(server);
		if (read_to_end(fd) != LAST_REPLY_BYTES)
			fail_msg("%s: answer not whole", cases[i].caller);
		/* The caller confirms what it received up to 40 ms later. */
		run_for(200);
		if (!cases[i].ends_before && listener_has_requests(server))
			fail_msg("%s: waited for in vain", cases[i].caller);
		close(fd);
		if (!cases[i].ends_before)
			listener_destroy(server);
		server = NULL;
	}
}

static int count_descriptors(void)
{
	int fd, count = 0;

	for (fd = 0; fd < 2000; fd++)
		count += fcntl(fd, F_GETFD) >= 0;
	return count;
}

/* Guards against a stop that callers hold up, or use up descriptors in. */
static void silent_callers_hold_up_the_end_of_a_process(void **state)
{
	enum { CALLERS = 150, KEPT_MAX = 100 };
	int fds[CALLERS], i, before;

	assert_true(start("127.0.0.1:0", NULL, NULL, NULL));
	listener_keep_unsent(server);
	before = count_descriptors();
	for (i = 0; i < CALLERS; i++) {
		fds[i] = open_last_caller(0);
		run_for(5);
	}
	run_for(100);
	assert_int_equal(closed, CALLERS);
	assert_in_range(count_descriptors() - before - CALLERS, 1, KEPT_MAX);
	assert_true(listener_has_requests(server));
	run_for(1200);
	assert_false(listener_has_requests(server));
	assert_int_equal(count_descriptors() - before, CALLERS);
	for (i = 0; i < CALLERS; i++)
		close(fds[i]);
}

static void on_end(void *context, client_end_t end, int status)
{
	*(int *)context = end == CLIENT_OK ? status : -1;
}

static int connect_to_server(void)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(listener_port(server));
	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Runs the loop for @p ms. @return true if the connection was closed */
static bool closes_within(int fd, int64_t ms)
{
	int64_t end_us = clock_monotonic_us() + ms * US_PER_MS;
	char data[512];

	while (clock_monotonic_us() < end_us) {
		ev_run(loop, EVRUN_NOWAIT);
		if (!recv(fd, data, sizeof(data), MSG_DONTWAIT))
			return true;
		usleep(2000);
	}
	return false;
}

static void slow_caller_that_keeps_its_connection(void **state)
{
	static const struct {
		const char *caller, *first, *then; /* sent each 100 ms */
		bool closed;
	} cases[] = {
		{ "sends nothing", "", "", true },
		{ "sends a request line by single bytes", "", "G", true },
		{ "sends headers by single bytes",
		  "GET / HTTP/1.1\r\nHost: h\r\nX-A: ", "x", true },
		{ "sends a body by single bytes",
		  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n",
		  "x", true },
		{ "sends nothing after a request",
		  "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "", true },
		{ "sends a request now and then",
		  "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
		  "GET / HTTP/1.1\r\nHost: h\r\n\r\n", false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		bool is_closed = false;
		int fd, step;

		start("127.0.0.1:0", NULL, NULL, NULL);
		listener_set_timeouts(server,
				      &(listener_timeouts_t){ 300, 300, 300 });
		fd = connect_to_server();
		send(fd, cases[i].first, strlen(cases[i].first), 0);
		for (step = 0; step < 14 && !is_closed; step++) {
			is_closed = closes_within(fd, 100);
			send(fd, cases[i].then, strlen(cases[i].then),
			     MSG_NOSIGNAL);
		}
		if (is_closed != cases[i].closed)
			fail_msg("a caller that %s: closed %d", cases[i].caller,
				 is_closed);
		close(fd);
		listener_destroy(server);
	}
	server = NULL;
}

/* Guards against an address that is read as another one. */
static void parses_addresses(void **state)
{
	static const struct {
		const char *text;
		int port; /* -1: refused */
	} cases[] = {
		{ "127.0.0.1:80", 80 },
		{ "127.0.0.1:0", 0 },
		{ "127.0.0.1:65535", 65535 },
		{ "127.0.0.1:65536", -1 },
		{ "127.0.0.1:+80", -1 },
		{ "127.0.0.1:-1", -1 },
		{ "127.0.0.1: 80", -1 },
		{ "127.0.0.1:", -1 },
		{ "127.0.0.1:80x", -1 },
		{ "127.0.0.1", -1 },
		{ "[::1]:80", -1 },
		{ "localhost:80", -1 },
		{ "127.0.0.1:00000000000000000000000000080", -1 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		struct sockaddr_in address;
		int port = address_parse(cases[i].text, &address)
				   ? ntohs(address.sin_port)
				   : -1;

		if (port != cases[i].port)
			fail_msg("%s: %d", cases[i].text, port);
	}
}

/*
 * Guards against a listener that ignores its certificate and serves plain HTTP.
 */
static void serves_tls(void **state)
{
	char url[64], plain[64];
	int secure_status = 0, plain_status = 0;
	client_request_t request = { .method = "GET",
				     .url = url,
				     .ca_file = DATA "node.crt",
				     .connect_timeout_ms = 1000 };
	client_handler_t seen = { .on_end = on_end, .context = &secure_status };
	client_t *client = client_create(loop, NULL);
	err_t err = { 0 };

	start("127.0.0.1:0", DATA "node.crt", DATA "node.key", &err);
	assert_string_equal(err.message, "");
	snprintf(url, sizeof(url), "https://127.0.0.1:%u/",
		 listener_port(server));
	snprintf(plain, sizeof(plain), "http://127.0.0.1:%u/",
		 listener_port(server));
	client_call(client, &request, &seen);
	run_for(300);
	assert_int_equal(secure_status, 200);
	request.url = plain;
	seen.context = &plain_status;
	client_call(client, &request, &seen);
	run_for(300);
	assert_int_equal(plain_status, -1);
	client_destroy(client);
	run_for(20);
}

int main(void)
{
#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(refuses_to_start),
		CASE(answers_requests_of_one_connection),
		CASE(refuses_a_body),
		CASE(detects_a_caller_that_disconnects),
		CASE(last_answer_is_cut_as_the_process_ends),
		CASE(silent_callers_hold_up_the_end_of_a_process),
		CASE(abort_leaves_a_stream_incomplete),
		CASE(slow_caller_that_keeps_its_connection),
		CASE(parses_addresses),
		CASE(serves_tls),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

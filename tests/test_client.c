/** HTTP client: reports of each kind of failure, paused and cancelled calls,
 * and limits on responses. */
#include <curl/curl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"
#include "cases.h"
#include "connection/client.h"
#include "connection/listener.h"
#include "lib/loopback.h"

/* What the callbacks of a call received, and what on_data does. */
typedef struct {
	client_end_t end;
	int status;
	bool ended;
	bool freed;
	size_t size;
	int blocks; /* calls of on_data */
	/* on_data cancels both calls if `other` is not NULL. */
	client_call_t *call, *other;
	client_flow_t flow; /* result of on_data */
} call_log_t;

static struct ev_loop *loop;
static client_t *client;
static listener_t *server;
static char url[64];
static int requests;

static void *on_request(void *context, exchange_t *exchange)
{
	requests++;
	return exchange;
}

static void on_complete(void *user)
{
	exchange_t *exchange = user;
	const char *path = exchange_path(exchange);
	char block[3000];

	memset(block, 'x', sizeof(block));
	if (!strcmp(path, "/whole")) {
		exchange_reply(exchange, 200, NULL, 0, block, sizeof(block));
	} else if (!strcmp(path, "/aborted")) {
		exchange_stream(exchange, 200, NULL, 0);
		exchange_write(exchange, block, sizeof(block));
		exchange_abort(exchange);
	} else if (!strcmp(path, "/blocks")) {
		exchange_stream(exchange, 200, NULL, 0);
		while (exchange_pending_bytes(exchange) < 60000)
			exchange_write(exchange, block, sizeof(block));
		exchange_end(exchange);
	}
	/* A request for any other path gets no response. */
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	call_log_t *log = context;

	log->size += size;
	log->blocks++;
	if (log->other) {
		/* A callback may cancel any call, its own too. */
		client_call_cancel(log->other);
		client_call_cancel(log->call);
		log->other = NULL;
	}
	return log->flow;
}

static void on_end(void *context, client_end_t end, int status)
{
	call_log_t *log = context;

	log->ended = true;
	log->end = end;
	log->status = status;
}

static void on_free(void *context)
{
	call_log_t *log = context;

	log->freed = true;
}

static void begin(call_log_t *log, const char *base, const char *path,
		  bool at_most_once, int64_t idle_ms)
{
	char full[128];
	client_request_t request = {
		.method = "GET",
		.url = full,
		.connect_timeout_ms = 300,
		.idle_timeout_ms = idle_ms,
		.at_most_once = at_most_once,
	};
	client_handler_t handler = { .on_data = on_data,
				     .on_end = on_end,
				     .on_free = on_free,
				     .context = log };

	snprintf(full, sizeof(full), "%s%s", base, path);
	log->call = client_call(client, &request, &handler);
	assert_false(log->ended);
}

static void on_step(struct ev_loop *ev, ev_timer *timer, int events)
{
	ev_break(ev, EVBREAK_ALL);
}

static void run(call_log_t *log, int64_t limit_ms)
{
	int64_t end_us = clock_monotonic_us() + limit_ms * US_PER_MS;
	ev_timer step;

	while (!log->ended && clock_monotonic_us() < end_us) {
		ev_timer_init(&step, on_step, 0.005, 0);
		ev_now_update(loop);
		ev_timer_start(loop, &step);
		ev_run(loop, EVRUN_ONCE);
		ev_timer_stop(loop, &step);
	}
}

static int set_up(void **state)
{
	listener_conf_t conf = { .address = "127.0.0.1:0",
				 .connections_max = 20 };
	listener_handler_t handler = { .on_request = on_request,
				       .on_complete = on_complete };
	err_t err = { 0 };

	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	loop = ev_loop_new(EVFLAG_AUTO);
	client = client_create(loop, &err);
	server = listener_create(loop, &conf, &handler, &err);
	assert_string_equal(err.message, "");
	snprintf(url, sizeof(url), "http://127.0.0.1:%u",
		 listener_port(server));
	requests = 0;
	return 0;
}

static int tear_down(void **state)
{
	client_destroy(client);
	listener_destroy(server);
	ev_loop_destroy(loop);
	return 0;
}

/*
 * Guards against a failure reported as the wrong kind. CLIENT_CONNECT_FAILED
 * for a request that was sent would become a false `not-run` to the caller.
 */
static void distinguishes_failures(void **state)
{
	static const struct {
		const char *base, *path;
		client_end_t end;
	} cases[] = {
		{ NULL, "/whole", CLIENT_OK },
		{ NULL, "/aborted", CLIENT_BROKEN },
		{ NULL, "/silent", CLIENT_TIMED_OUT },
		{ "http://127.0.0.1:1", "/", CLIENT_CONNECT_FAILED },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		call_log_t log = { .flow = CLIENT_CONTINUE };

		begin(&log, cases[i].base ? cases[i].base : url, cases[i].path,
		      i % 2, 100);
		run(&log, 2000);
		assert_true(log.ended && log.freed);
		if (log.end != cases[i].end)
			fail_msg("case %zu: end %d", i, (int)log.end);
	}
}

/*
 * Server that replies to the first request and keeps its connection open. For
 * every further request, closes the connection of the request without a reply,
 * and also the listening socket if close_all is set.
 */
typedef struct {
	int fd;
	int connections, requests;
	bool close_all;
	/* Each connection answers one request, then stays open and silent. */
	bool goes_silent;
	bool answered[1024]; /* by socket */
	pthread_t thread;
	char url[64];
} raw_server_t;

static bool read_request(raw_server_t *raw, int connection)
{
	static const char reply[] = "HTTP/1.1 200 OK\r\n"
				    "Content-Length: 2\r\n\r\nok";
	char text[2048];

	if (read(connection, text, sizeof(text)) <= 0)
		return false;
	if (raw->goes_silent && raw->answered[connection])
		return true;
	raw->answered[connection] = true;
	if (raw->requests++ == 0 || raw->goes_silent)
		return write(connection, reply, sizeof(reply) - 1) > 0;
	if (raw->close_all)
		shutdown(raw->fd, SHUT_RDWR);
	return false;
}

static void *serve_raw(void *context)
{
	raw_server_t *raw = context;
	struct pollfd polled[8] = { { .fd = raw->fd, .events = POLLIN } };
	nfds_t count = 1, i;

	while (poll(polled, count, 5000) > 0) {
		for (i = 1; i < count; i++) {
			if (!polled[i].revents ||
			    read_request(raw, polled[i].fd))
				continue;
			close(polled[i].fd);
			polled[i--] = polled[--count];
		}
		if (polled[0].revents) {
			int fd = accept(raw->fd, NULL, NULL);

			if (fd < 0 || count == COUNT_OF(polled))
				break;
			raw->connections++;
			raw->answered[fd] = false;
			polled[count].fd = fd;
			polled[count].events = POLLIN;
			polled[count++].revents = 0;
		}
	}
	for (i = 1; i < count; i++)
		close(polled[i].fd);
	return NULL;
}

static void start_raw(raw_server_t *raw, bool close_all)
{
	int port;

	memset(raw, 0, sizeof(*raw));
	raw->close_all = close_all;
	raw->fd = loopback_listen(&port);
	snprintf(raw->url, sizeof(raw->url), "http://127.0.0.1:%d", port);
	pthread_create(&raw->thread, NULL, serve_raw, raw);
}

static void stop_raw(raw_server_t *raw)
{
	shutdown(raw->fd, SHUT_RDWR);
	pthread_join(raw->thread, NULL);
	close(raw->fd);
}

/*
 * Guards against CLIENT_CONNECT_FAILED for a request that was sent. libcurl
 * repeats a request by itself when a reused connection breaks, and reports a
 * failed connect when the second connection fails.
 */
static void reports_a_repeated_request_as_sent(void **state)
{
	call_log_t first = { .flow = CLIENT_CONTINUE };
	call_log_t second = { .flow = CLIENT_CONTINUE };
	raw_server_t raw;

	start_raw(&raw, true);
	begin(&first, raw.url, "/", false, 1000);
	run(&first, 2000);
	assert_int_equal(first.end, CLIENT_OK);
	begin(&second, raw.url, "/", false, 1000);
	run(&second, 2000);
	assert_int_equal(raw.connections, 1);
	assert_int_equal(raw.requests, 2);
	assert_int_equal(second.end, CLIENT_BROKEN);
	stop_raw(&raw);
}

/* Guards against calls that wait for a connection that fell silent while no
 * call used it, such as one to the store. */
static void call_waits_on_a_connection_that_fell_silent(void **state)
{
	call_log_t first = { .flow = CLIENT_CONTINUE };
	call_log_t second = { .flow = CLIENT_CONTINUE };
	raw_server_t raw;

	start_raw(&raw, false);
	raw.goes_silent = true;
	begin(&first, raw.url, "/", false, 1000);
	run(&first, 2000);
	assert_int_equal(first.end, CLIENT_OK);
	usleep(2100 * US_PER_MS);
	ev_now_update(loop);
	begin(&second, raw.url, "/", false, 1000);
	run(&second, 2000);
	assert_int_equal(second.end, CLIENT_OK);
	assert_int_equal(raw.connections, 2);
	stop_raw(&raw);
}

/*
 * Guards against a request that must not run twice but that libcurl repeats by
 * itself, when a reused connection breaks.
 */
static void sends_at_most_once(void **state)
{
	call_log_t first = { .flow = CLIENT_CONTINUE };
	call_log_t second = { .flow = CLIENT_CONTINUE };
	raw_server_t raw;

	start_raw(&raw, false);
	begin(&first, raw.url, "/", false, 1000);
	run(&first, 2000);
	begin(&second, raw.url, "/", true, 1000);
	run(&second, 2000);
	assert_int_equal(second.end, CLIENT_BROKEN);
	run(&(call_log_t){ .ended = false }, 100);
	assert_int_equal(raw.requests, 2);
	stop_raw(&raw);
}

/*
 * Guards against data that is delivered to a paused call, whose receiver has no
 * free memory.
 */
static void pauses_and_resumes(void **state)
{
	call_log_t log = { .flow = CLIENT_PAUSE };
	int resumed = 0;

	begin(&log, url, "/blocks", false, 150);
	run(&log, 400);
	assert_int_equal(log.blocks, 1);
	assert_false(log.ended); /* no idle timeout while paused */
	while (!log.ended && resumed++ < 1000) {
		client_call_resume(log.call);
		run(&log, 1);
	}
	assert_int_equal(log.end, CLIENT_OK);
	assert_int_equal(log.size, 60000);
}

/*
 * Guards against a crash when a callback cancels calls: libcurl refuses to
 * remove handles from inside its callbacks.
 */
static void cancels_from_inside_a_callback(void **state)
{
	call_log_t other = { .flow = CLIENT_CONTINUE };
	call_log_t log = { .flow = CLIENT_CONTINUE };

	begin(&other, url, "/silent", false, 5000);
	run(&other, 50);
	log.other = other.call;
	begin(&log, url, "/blocks", false, 1000);
	run(&log, 200);
	assert_int_equal(log.blocks, 1);
	assert_true(log.freed && other.freed);
	assert_false(log.ended || other.ended);
}

/*
 * Guards against a VM without power that looks like a busy server: without TCP
 * keepalive probes both are silent.
 */
static void probes_the_vm_of_a_silent_server(void **state)
{
	static const struct {
		int64_t silence_ms;
		int keeps_alive, probes, timeout_ms;
	} cases[] = {
		{ 2000, 1, 2, 2000 },
		{ 500, 1, 1, 500 },
		{ 0, 0, 0, 0 },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		call_log_t log = { .flow = CLIENT_CONTINUE };
		client_handler_t handler = { .on_end = on_end,
					     .context = &log };
		client_request_t request = {
			.method = "GET",
			.connect_timeout_ms = 300,
			.at_most_once = true,
			.peer_silence_ms = cases[i].silence_ms,
		};
		uint16_t port = listener_port(server);
		char silent[80];

		snprintf(silent, sizeof(silent), "%s/silent", url);
		request.url = silent;
		log.call = client_call(client, &request, &handler);
		run(&log, 50);
		assert_false(log.ended);
		assert_int_equal(loopback_option(port, SOL_SOCKET,
						 SO_KEEPALIVE),
				 cases[i].keeps_alive);
		if (cases[i].keeps_alive)
			assert_int_equal(loopback_option(port, IPPROTO_TCP,
							 TCP_KEEPCNT),
					 cases[i].probes);
		assert_int_equal(loopback_option(port, IPPROTO_TCP,
						 TCP_USER_TIMEOUT),
				 cases[i].timeout_ms);
		client_call_cancel(log.call);
	}
}

/* Server that sends `start`, then `repeated` until the client disconnects. */
typedef struct {
	int fd;
	const char *start, *repeated;
	size_t sent; /* bytes of `repeated` */
	pthread_t thread;
	char url[64];
} endless_server_t;

/* More than any limit of the client plus the socket buffers. */
enum { ENDLESS_MAX_BYTES = 64 * 1024 * 1024 };

static void *serve_endless(void *context)
{
	endless_server_t *endless = context;
	char text[2048];
	int fd = accept(endless->fd, NULL, NULL);
	ssize_t size = read(fd, text, sizeof(text));

	if (size > 0)
		size = write(fd, endless->start, strlen(endless->start));
	while (size > 0 && endless->sent < ENDLESS_MAX_BYTES) {
		size = write(fd, endless->repeated, strlen(endless->repeated));
		endless->sent += size > 0 ? (size_t)size : 0;
	}
	close(fd);
	return NULL;
}

static void on_fetched(void *context, client_end_t end, int status,
		       const char *body, size_t size)
{
	on_end(context, end, status);
}

/*
 * Guards against unlimited memory and time for a response that never ends, in
 * any of its syntactic elements.
 */
static void ends_an_endless_response(void **state)
{
#define OK_START "HTTP/1.1 200 OK\r\n"
#define CHUNKED_START OK_START "Transfer-Encoding: chunked\r\n\r\n"
	static const struct {
		const char *guards_against, *start, *repeated;
		/* Bytes that reach no callback end in an idle timeout. */
		client_end_t end;
	} cases[] = {
		{ "header lines", OK_START, "X-A: 0123456789\r\n",
		  CLIENT_BROKEN },
		{ "one header line", OK_START "X-A: ", "0123456789",
		  CLIENT_BROKEN },
		{ "informational responses", "",
		  "HTTP/1.1 100 Continue\r\n\r\n", CLIENT_BROKEN },
		{ "a status line", "HTTP/1.1 200 ", "0123456789",
		  CLIENT_BROKEN },
		{ "noise", "\x01\x02", "\x03\x04\x05\x06", CLIENT_INVALID },
		{ "a body", OK_START "\r\n", "0123456789", CLIENT_BROKEN },
		{ "chunks", CHUNKED_START, "1\r\nx\r\n", CLIENT_BROKEN },
		{ "the size of a chunk", CHUNKED_START, "0", CLIENT_BROKEN },
		{ "an extension of a chunk", CHUNKED_START "1;", "a",
		  CLIENT_TIMED_OUT },
		{ "trailers", CHUNKED_START "0\r\n", "X-A: 0123456789\r\n",
		  CLIENT_BROKEN },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		endless_server_t endless = { .start = cases[i].start,
					     .repeated = cases[i].repeated };
		call_log_t log = { .flow = CLIENT_CONTINUE };
		client_request_t request = { .method = "GET",
					     .url = endless.url,
					     .connect_timeout_ms = 300,
					     .idle_timeout_ms = 500,
					     .at_most_once = true };
		int port;

		endless.fd = loopback_listen(&port);
		snprintf(endless.url, sizeof(endless.url),
			 "http://127.0.0.1:%d/", port);
		pthread_create(&endless.thread, NULL, serve_endless, &endless);
		client_fetch(client, &request, 4096, on_fetched, &log);
		run(&log, 3000);
		if (!log.ended || log.end != cases[i].end)
			fail_msg("case \"%s\": ended %d end %d after %zu",
				 cases[i].guards_against, log.ended,
				 (int)log.end, endless.sent);
		pthread_join(endless.thread, NULL);
		close(endless.fd);
	}
}

int main(void)
{
#define CASE(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)
	const struct CMUnitTest tests[] = {
		CASE(distinguishes_failures),
		CASE(reports_a_repeated_request_as_sent),
		CASE(call_waits_on_a_connection_that_fell_silent),
		CASE(sends_at_most_once),
		CASE(pauses_and_resumes),
		CASE(cancels_from_inside_a_callback),
		CASE(probes_the_vm_of_a_silent_server),
		CASE(ends_an_endless_response),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

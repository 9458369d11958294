/** Headers of a request, those of its answer, and what was read of next
 * requests share the memory of a connection: a request that runs is answered.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"
#include "cases.h"
#include "connection/listener.h"
#include "lib/loopback.h"

enum {
	TEXT_SIZE_BYTES = 300 * 1024,
	LINE_SIZE_MAX_BYTES = 70 * 1024,
	ANSWER_LINE_BYTES = 1000,
	ANSWER_HEADERS_MAX = 100,
	WAIT_MS = 2000,
	LIMIT_BYTES = 16384 /* headers that the platform's callers may send */
};

static struct ev_loop *loop;
static listener_t *server;
static size_t answer_bytes; /* headers of answers */
static bool streams;
static int runs;

static void send_answer(exchange_t *exchange)
{
	static char value[ANSWER_LINE_BYTES];
	reply_header_t headers[ANSWER_HEADERS_MAX];
	size_t count = 0;

	memset(value, 'a', sizeof(value) - 1);
	while (count * ANSWER_LINE_BYTES < answer_bytes)
		headers[count++] = (reply_header_t){ "X-Detail", value };
	if (!streams) {
		exchange_reply(exchange, 200, headers, count, "done", 4);
		return;
	}
	exchange_stream(exchange, 200, headers, count);
	exchange_write(exchange, "done", 4);
	exchange_end(exchange);
}

static void *on_request(void *context, exchange_t *exchange)
{
	return exchange;
}

static void on_complete(void *user)
{
	exchange_t *exchange = user;

	if (!exchange_has_reply_room(exchange)) {
		exchange_reply(exchange, 503, NULL, 0, "done", 4);
		return;
	}
	runs++;
	send_answer(exchange);
}

static const listener_handler_t handler = { .on_request = on_request,
					    .on_complete = on_complete };

static int set_up(void **state)
{
	listener_conf_t conf = { .address = "127.0.0.1:0",
				 .connections_max = 20 };

	signal(SIGPIPE, SIG_IGN);
	loop = ev_loop_new(EVFLAG_AUTO);
	server = listener_create(loop, &conf, &handler, NULL);
	assert_non_null(server);
	return 0;
}

static int tear_down(void **state)
{
	listener_destroy(server);
	ev_loop_destroy(loop);
	return 0;
}

static void on_step(struct ev_loop *ev, ev_timer *timer, int events)
{
	ev_break(ev, EVBREAK_ALL);
}

static void run_step(void)
{
	ev_timer step;

	ev_timer_init(&step, on_step, 0.001, 0);
	ev_now_update(loop);
	ev_timer_start(loop, &step);
	ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &step);
}

/* A request: its shape, and what comes behind it at once. */
typedef struct {
	const char *name;
	size_t headers, header_bytes; /* further headers, bytes of each */
	size_t body_bytes;
	size_t behind_bytes; /* of a next request */
	size_t answer_bytes;
	const char *target, *more; /* NULL: "/", no more headers */
	int status; /* of the answer */
} shape_t;

static char text[TEXT_SIZE_BYTES];

static size_t write_headers(char *at, size_t count, size_t bytes)
{
	size_t i, size = 0;

	for (i = 0; i < count; i++) {
		size += (size_t)sprintf(at + size, "x:");
		memset(at + size, 'v', bytes - 4);
		size += bytes - 4;
		size += (size_t)sprintf(at + size, "\r\n");
	}
	return size;
}

static size_t write_request(char *at, const shape_t *shape)
{
	size_t size = (size_t)sprintf(
		at, "POST %s HTTP/1.1\r\nHost: a\r\n%sContent-Length: %zu\r\n",
		shape->target ? shape->target : "/",
		shape->more ? shape->more : "", shape->body_bytes);

	size += write_headers(at + size, shape->headers, shape->header_bytes);
	size += (size_t)sprintf(at + size, "\r\n");
	memset(at + size, 'b', shape->body_bytes);
	return size + shape->body_bytes;
}

static int open_caller(void)
{
	int fd = loopback_connect(listener_port(server));

	assert_true(fd >= 0);
	run_step();
	return fd;
}

static bool is_whole(const char *answer)
{
	const char *body = strstr(answer, "\r\n\r\n");

	if (!body)
		return false;
	body += strlen("\r\n\r\n");
	if (strstr(answer, "Transfer-Encoding: chunked"))
		return strstr(body, "\r\n0\r\n\r\n");
	return strstr(body, "done") || strstr(body, "code");
}

/* Sends and reads until the answer is whole or the connection has ended.
 * @return the status; 0: not a whole answer */
static int exchange_bytes(int fd, size_t size)
{
	static char answer[TEXT_SIZE_BYTES];
	int64_t end_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;
	size_t sent = 0, received = 0;

	while (clock_monotonic_us() < end_us) {
		ssize_t more = sent < size ? send(fd, text + sent, size - sent,
						  MSG_DONTWAIT)
					   : 0;

		sent += more > 0 ? (size_t)more : 0;
		run_step();
		more = recv(fd, answer + received,
			    sizeof(answer) - received - 1, MSG_DONTWAIT);
		if (!more)
			break;
		received += more > 0 ? (size_t)more : 0;
		answer[received] = '\0';
		if (is_whole(answer))
			return (int)strtol(answer + strlen("HTTP/1.1 "), NULL,
					   10);
	}
	return 0;
}

/* @return the status of the answer to the last request */
static int play(const shape_t *shape, bool is_second)
{
	static const shape_t small = { .body_bytes = 3 };
	shape_t behind = { .headers = shape->behind_bytes / 500,
			   .header_bytes = 500 };
	int fd = open_caller(), status;
	size_t size;

	answer_bytes = 200;
	if (is_second && exchange_bytes(fd, write_request(text, &small)) != 200)
		fail_msg("%s: the first request", shape->name);
	answer_bytes = shape->answer_bytes;
	runs = 0;
	size = write_request(text, shape);
	if (shape->behind_bytes)
		size += write_request(text + size, &behind);
	status = exchange_bytes(fd, size);
	close(fd);
	run_step();
	run_step();
	return status;
}

/*
 * Guards against requests that keep the limit of headers and run without an
 * answer, or are refused.
 */
static void headers_within_the_limit_cost_the_answer(void **state)
{
	static char cookies[8000], query[8000];
	const shape_t shapes[] = {
		{ "small", 5, 40, 10, 0, 1200, NULL, NULL, 200 },
		{ "8,000 bytes, 320", 320, 25, 11, 0, 1200, NULL, NULL, 200 },
		{ "12,600 bytes, 50", 50, 245, 11, 0, 1200, NULL, NULL, 200 },
		{ "16,000 bytes, 1", 1, 16000, 0, 0, 1200, NULL, NULL, 200 },
		{ "16,000 bytes, 4", 4, 4000, 11, 0, 1200, NULL, NULL, 200 },
		{ "16,000 bytes, 160", 160, 100, 11, 0, 1200, NULL, NULL, 200 },
		{ "16,000 bytes, 640", 640, 25, 11, 0, 1200, NULL, NULL, 200 },
		{ "16,000 bytes, 1,000", 1000, 16, 0, 0, 1200, NULL, NULL,
		  200 },
		{ "16,000 bytes, 4, long answer", 4, 4000, 11, 0, 40000, NULL,
		  NULL, 200 },
		{ "long answer", 5, 40, 11, 0, 30000, NULL, NULL, 200 },
		{ "longest answer", 5, 40, 11, 0, 64000, NULL, NULL, 200 },
		{ "16,000 bytes, 1, and a body", 1, 16000, 100000, 0, 1200,
		  NULL, NULL, 200 },
		{ "with cookies", 20, 245, 11, 0, 1200, NULL, cookies, 200 },
		{ "with a query", 20, 245, 11, 0, 1200, query, NULL, 200 },
		{ "a next request behind", 5, 40, 11, 14000, 30000, NULL, NULL,
		  200 },
		{ "12,600 bytes, 50, the same behind", 50, 245, 11, 12600, 9000,
		  NULL, NULL, 200 },
		{ "16,000 bytes, 160, the same behind", 160, 100, 11, 15000,
		  9000, NULL, NULL, 200 },
	};
	size_t i, way;

	sprintf(cookies, "Cookie: ");
	for (i = 0; strlen(cookies) < 7500; i++)
		sprintf(cookies + strlen(cookies), "c%zu=%zu; ", i, i);
	sprintf(cookies + strlen(cookies), "\r\n");
	sprintf(query, "/p?");
	for (i = 0; strlen(query) < 7500; i++)
		sprintf(query + strlen(query), "k%zu=%zu&", i, i);
	for (i = 0; i < COUNT_OF(shapes); i++)
		for (way = 0; way < 4; way++) {
			int status;

			streams = way & 1;
			status = play(&shapes[i], way & 2);
			if (status != shapes[i].status || !runs)
				fail_msg("%s%s%s: status %d, %d runs",
					 shapes[i].name,
					 streams ? ", streamed" : "",
					 way & 2 ? ", second" : "", status,
					 runs);
		}
}

/*
 * Guards against requests that run although their headers, or requests behind
 * them, leave no room for an answer, and against answers that are too long and
 * end the connection.
 */
static void requests_run_and_are_not_answered(void **state)
{
	static const size_t sizes[] = { 5, 8, 16, 25, 60, 245, 2000 };
	static const size_t behind[] = { 0, 20000, 60000 };
	static const size_t answers[] = { 3000, 20000, 60000 };
	size_t s, b, a, total, unanswered = 0, ran = 0;

	for (s = 0; s < COUNT_OF(sizes); s++)
		for (b = 0; b < COUNT_OF(behind); b++)
			for (a = 0; a < COUNT_OF(answers); a++)
				for (total = 2000; total <= 98000;
				     total += 2400) {
					shape_t shape = {
						.headers = total / sizes[s],
						.header_bytes = sizes[s],
						.behind_bytes = behind[b],
						.answer_bytes = answers[a],
					};
					int status;

					streams = total / 2400 & 1;
					status = play(&shape, total / 4800 & 1);
					ran += runs > 0;
					if (!runs || status)
						continue;
					unanswered++;
					print_message("%zu headers of %zu "
						      "bytes, %zu behind, "
						      "%zu of the answer\n",
						      shape.headers, sizes[s],
						      behind[b], answers[a]);
				}
	assert_true(ran > 500);
	assert_int_equal(unanswered, 0);
}

/* Guards against idle connections without a bound of their memory: while many
 * are open, each is closed after its reply. */
static void idle_connections_are_without_bound(void **state)
{
	listener_conf_t conf = { .address = "127.0.0.1:0",
				 .connections_max = 20,
				 .kept_max = 3 };
	static const shape_t small = { .body_bytes = 3 };
	int fds[5], kept = 0;
	size_t i;

	listener_destroy(server);
	server = listener_create(loop, &conf, &handler, NULL);
	streams = false;
	answer_bytes = 100;
	for (i = 0; i < COUNT_OF(fds); i++) {
		fds[i] = open_caller();
		assert_int_equal(exchange_bytes(fds[i],
						write_request(text, &small)),
				 200);
	}
	for (i = 0; i < COUNT_OF(fds); i++) {
		kept += recv(fds[i], text, 1, MSG_DONTWAIT) != 0;
		close(fds[i]);
	}
	assert_int_equal(kept, 3);
	run_step();
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			headers_within_the_limit_cost_the_answer, set_up,
			tear_down),
		cmocka_unit_test_setup_teardown(
			requests_run_and_are_not_answered, set_up, tear_down),
		cmocka_unit_test_setup_teardown(
			idle_connections_are_without_bound, set_up, tear_down),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** HTTP client: what a call that has ended leaves on its connection. */
#include <curl/curl.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/units.h"
#include "cases.h"
#include "connection/client.h"
#include "lib/loopback.h"

enum {
	TIMEOUT_MS = 100, /* of a call that ends by its time */
	WAIT_MS = 3000, /* for anything that is to happen */
	/* Larger than the socket buffer of the server, which does not read. */
	LARGE_BYTES = 64 * 1024,
	SMALL_BUFFER_BYTES = 4096
};

/* How a call ends, and where its process goes from there. */
typedef enum {
	BY_ANSWER,
	BY_TOTAL_TIMEOUT,
	BY_IDLE_TIMEOUT,
	BY_CANCEL,
	BY_DESTROY,
	BY_EXIT,
	BY_SIGNAL
} call_end_t;

typedef struct {
	const char *name;
	call_end_t end;
	int signal;
	bool is_kept; /* an earlier call has left its connection */
	bool is_reset; /* the connection, as the server sees it */
} end_case_t;

static void on_done(void *context, client_end_t end, int status,
		    const char *body, size_t size)
{
	bool *done = context;

	*done = true;
}

static void on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(struct ev_loop *loop, int64_t time_ms, const bool *done)
{
	ev_timer step;

	for (; time_ms > 0 && !*done; time_ms -= 10) {
		ev_timer_init(&step, on_step, 0.01, 0);
		ev_timer_start(loop, &step);
		ev_run(loop, 0);
		ev_timer_stop(loop, &step);
	}
}

static client_call_t *call(client_t *client, int port, const end_case_t *play,
			   const char *body, bool *done)
{
	char url[64];
	client_request_t request = { .method = "POST",
				     .url = url,
				     .body = body,
				     .body_size_bytes = strlen(body),
				     .at_most_once = !play->is_kept };

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/", port);
	if (play->end == BY_TOTAL_TIMEOUT)
		request.total_timeout_ms = TIMEOUT_MS;
	if (play->end == BY_IDLE_TIMEOUT)
		request.idle_timeout_ms = TIMEOUT_MS;
	if (play->end == BY_SIGNAL && play->signal == SIGSTOP)
		request.unsent_timeout_ms = TIMEOUT_MS;
	*done = false;
	return client_fetch(client, &request, 4096, on_done, done);
}

/* Runs in a process of its own: makes the call, and ends it. */
static void make_call(const end_case_t *play, int port, const char *body)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	client_t *client = client_create(loop, NULL);
	client_call_t *handle;
	bool done;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (play->is_kept) {
		call(client, port, play, "first", &done);
		run_for(loop, WAIT_MS, &done);
	}
	handle = call(client, port, play, body, &done);
	run_for(loop, play->end == BY_ANSWER ? WAIT_MS : 2 * TIMEOUT_MS, &done);
	switch (play->end) {
	case BY_CANCEL:
		client_call_cancel(handle);
		break;
	case BY_ANSWER:
	case BY_DESTROY:
		client_destroy(client);
		break;
	case BY_EXIT:
		_exit(0);
	case BY_SIGNAL:
		raise(play->signal);
		break;
	case BY_TOTAL_TIMEOUT:
	case BY_IDLE_TIMEOUT:
		break;
	}
	/* The process lives on: its end would close the connection as well. */
	for (;;)
		pause();
}

static pid_t start_caller(const end_case_t *play, int port, const char *body)
{
	pid_t pid = fork();

	if (!pid) {
		make_call(play, port, body);
		_exit(1);
	}
	return pid;
}

static void end_caller(pid_t pid)
{
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
}

static int accept_caller(int listening)
{
	struct pollfd polled = { .fd = listening, .events = POLLIN };

	assert_int_equal(poll(&polled, 1, WAIT_MS), 1);
	return accept(listening, NULL, NULL);
}

/* Reads a small request, whose body ends its last block. */
static void read_request(int fd, const char *body)
{
	char text[4096] = "";
	size_t size = 0;
	ssize_t got;

	while (!strstr(text, body) &&
	       (got = recv(fd, text + size, sizeof(text) - 1 - size, 0)) > 0) {
		size += (size_t)got;
		text[size] = '\0';
	}
	assert_non_null(strstr(text, body));
}

static void answer(int fd)
{
	static const char text[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Length: 2\r\n\r\nok";

	assert_int_equal(write(fd, text, sizeof(text) - 1), sizeof(text) - 1);
}

/* Reads on until the connection has ended.
 * @return true if it was reset; an end that does not come fails the test */
static bool ends_in_reset(int fd, const char *name)
{
	struct pollfd polled = { .fd = fd, .events = POLLIN };
	char text[4096];
	ssize_t got = 1;

	while (got > 0) {
		if (poll(&polled, 1, WAIT_MS) != 1)
			fail_msg("%s: the connection does not end", name);
		got = recv(fd, text, sizeof(text), 0);
	}
	return got < 0 && errno == ECONNRESET;
}

/*
 * Guards against a call that its node has given up and that is delivered later,
 * for example after a cut: the kernel goes on sending after a close without a
 * reset, also after that of a process that was killed.
 */
static void call_that_was_given_up_is_not_delivered(void **state)
{
	static const end_case_t cases[] = {
		{ "its time", BY_TOTAL_TIMEOUT, 0, false, true },
		{ "silence", BY_IDLE_TIMEOUT, 0, false, true },
		{ "a cancel", BY_CANCEL, 0, false, true },
		{ "the end of the client", BY_DESTROY, 0, false, true },
		{ "exit()", BY_EXIT, 0, false, true },
		{ "SIGKILL", BY_SIGNAL, SIGKILL, false, true },
		{ "SIGTERM", BY_SIGNAL, SIGTERM, false, true },
		{ "SIGABRT", BY_SIGNAL, SIGABRT, false, true },
		{ "its time, kept", BY_TOTAL_TIMEOUT, 0, true, true },
		{ "silence, kept", BY_IDLE_TIMEOUT, 0, true, true },
		{ "a cancel, kept", BY_CANCEL, 0, true, true },
		{ "the end of the client, kept", BY_DESTROY, 0, true, true },
		{ "SIGKILL, kept", BY_SIGNAL, SIGKILL, true, true },
		/* A call that has ended well ends its connection as before. */
		{ "an answer", BY_ANSWER, 0, false, false },
		{ "an answer, kept", BY_ANSWER, 0, true, false },
	};
	size_t i;

	for (i = 0; i < COUNT_OF(cases); i++) {
		const end_case_t *play = &cases[i];
		int port, listening = loopback_listen(&port), fd;
		pid_t pid = start_caller(play, port, "second");
		bool is_reset;

		fd = accept_caller(listening);
		if (play->is_kept) {
			read_request(fd, "first");
			answer(fd);
		}
		read_request(fd, "second");
		if (play->end == BY_ANSWER)
			answer(fd);
		is_reset = ends_in_reset(fd, play->name);
		end_caller(pid);
		close(fd);
		close(listening);
		if (is_reset != play->is_reset)
			fail_msg("%s: reset %d", play->name, is_reset);
	}
}

/* Guards against a call of a stopped process that its kernel delivers when the
 * time of the call is over. */
static void call_of_a_stopped_process_is_not_delivered(void **state)
{
	static const end_case_t cases[] = {
		{ "its time", BY_TOTAL_TIMEOUT, SIGSTOP, false, true },
		{ "silence", BY_IDLE_TIMEOUT, SIGSTOP, false, true },
		{ "the time of its owner", BY_SIGNAL, SIGSTOP, false, true },
		{ "its time, kept", BY_TOTAL_TIMEOUT, SIGSTOP, true, true },
	};
	char *body = malloc(LARGE_BYTES + 1);
	size_t i;

	memset(body, 'x', LARGE_BYTES);
	body[LARGE_BYTES] = '\0';
	for (i = 0; i < COUNT_OF(cases); i++) {
		int port, listening = loopback_listen(&port), fd;
		int buffer_bytes = SMALL_BUFFER_BYTES;
		pid_t pid;

		setsockopt(listening, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
			   sizeof(buffer_bytes));
		pid = start_caller(&cases[i], port, body);
		fd = accept_caller(listening);
		if (cases[i].is_kept) {
			read_request(fd, "first");
			answer(fd);
		}
		/* The call is on its way, and its time is not over. */
		usleep(TIMEOUT_MS / 2 * US_PER_MS);
		kill(pid, SIGSTOP);
		usleep(TIMEOUT_MS * 10 * US_PER_MS);
		assert_true(ends_in_reset(fd, cases[i].name));
		end_caller(pid);
		close(fd);
		close(listening);
	}
	free(body);
}

/* Guards against memory that a client keeps of each call that ended while it
 * connected: libcurl does not report the end of such a socket. */
static void call_that_ends_while_it_connects_leaves_nothing(void **state)
{
	const end_case_t play = { .end = BY_CANCEL };
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	client_t *client = client_create(loop, NULL);
	int i, port, listening = loopback_listen(&port);
	bool done;

	/* LeakSanitizer checks at exit. */
	for (i = 0; i < 3; i++) {
		client_call_t *handle = call(client, port, &play, "x", &done);

		ev_run(loop, EVRUN_ONCE); /* opens the socket */
		client_call_cancel(handle);
	}
	client_destroy(client);
	ev_loop_destroy(loop);
	close(listening);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(call_that_was_given_up_is_not_delivered),
		cmocka_unit_test(call_of_a_stopped_process_is_not_delivered),
		cmocka_unit_test(
			call_that_ends_while_it_connects_leaves_nothing),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}

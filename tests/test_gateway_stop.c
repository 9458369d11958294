/**
 * Requests in each phase of a stop, until the process has ended: each is
 * answered, or reaches no server.
 */
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "lib/loopback.h"
#include "process/gateway.h"
#include "request/relay_headers.h"

enum {
	CALLERS_MAX = 96,
	/* Holds the longest answer, in the chunks of the node. */
	TEXT_SIZE_BYTES = PARTS_BODY_BYTES + 16384,
	DEADLINE_MS = 1400,
	DEADLINE_SHORT_MS = 600, /* over before the stop ends */
	SMALL_BUFFER_BYTES = 49152,
	UNREAD_BYTES = 40000,
	LATE_PART_MS = 80,
	READ_LATE_MS = 60,
	SETTLE_MS = 200 /* until all kept connections are idle */
};

#define STEP_S 0.001

/** How a request reaches the node. */
typedef enum { KEPT, NEW, RELAYED, CONNECTION_USES } use_t;

static const char *const use_names[] = { "kept", "new", "relayed" };

/** Kinds of request, by the paths of their routes. */
enum { KINDS = 4 };

static const char *const paths[KINDS] = { "/safe/x", "/once/x", "/stream/x",
					  "/single/x" };

/** When requests are sent, and the status that each kind gets. 0: the
 * connection may also close without an answer. */
typedef struct {
	stop_phase_t phase;
	int64_t after_ms; /* time since the phase began */
	int deadline_ms; /* time limit of the requests */
	int status[KINDS];
} moment_t;

/** A caller, which sends one request. */
typedef struct {
	const moment_t *moment;
	use_t use;
	const char *path;
	int status; /* expected */
	int fd;
	const char *late_part; /* of the request, sent late_ms later */
	int64_t late_ms;
	int64_t sent_us; /* 0: not yet */
	bool reads_late; /* reads nothing until READ_LATE_MS after STOP_ENDED */
	bool sends_on; /* UNREAD_BYTES after the request */
	char *text;
	size_t size;
} caller_t;

typedef struct {
	gateway_fixture_t fixture;
	ev_timer step;
	stop_phase_t phase;
	int64_t phase_us; /* when the phase began */
	int64_t reload_stop_ms; /* in settings that change in the notice */
	caller_t callers[CALLERS_MAX];
	size_t count;
} play_t;

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static size_t format(const play_t *play, const caller_t *caller, char *text,
		     size_t size)
{
	char relay[200] = "";

	if (caller->use == RELAYED)
		snprintf(relay, sizeof(relay),
			 RELAY_HEADER_KEY ": %s\r\n" RELAY_HEADER_VERSION
					  ": 3,1000\r\n",
			 play->fixture.gateway->relay_key);
	return (size_t)snprintf(text, size,
				"POST %s HTTP/1.1\r\nHost: h\r\n"
				"X-Request-Id: r%td\r\nX-Deadline-Ms: %d\r\n"
				"%s" FIXTURE_AUTHORIZATION
				"\r\nContent-Length: 8\r\n\r\nbodybody",
				caller->path, caller - play->callers,
				caller->moment->deadline_ms, relay);
}

static int connect_caller(const play_t *play, const caller_t *caller)
{
	const gateway_t *gateway = play->fixture.gateway;
	int fd = loopback_connect(listener_port(
		caller->use == RELAYED ? gateway->relayed : gateway->callers));
	int size = SMALL_BUFFER_BYTES;

	if (caller->reads_late)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	return fd;
}

static void send_request(play_t *play, caller_t *caller)
{
	static const char unread[UNREAD_BYTES];
	char text[1024];
	size_t size = format(play, caller, text, sizeof(text));

	if (caller->fd < 0) {
		caller->fd = connect_caller(play, caller);
		caller->sent_us = 1;
		return;
	}
	if (caller->late_part)
		size = (size_t)(strstr(text, caller->late_part) - text);
	/* Fails if the connection is not open yet, or was closed. */
	if (send(caller->fd, text, size, MSG_NOSIGNAL | MSG_DONTWAIT) > 0)
		caller->sent_us = clock_monotonic_us();
	if (caller->sent_us > 1 && caller->sends_on)
		(void)!send(caller->fd, unread, sizeof(unread),
			    MSG_NOSIGNAL | MSG_DONTWAIT);
}

static void send_late_part(play_t *play, caller_t *caller)
{
	char text[1024];
	const char *part;

	format(play, caller, text, sizeof(text));
	part = strstr(text, caller->late_part);
	(void)!send(caller->fd, part, strlen(part),
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	caller->late_part = NULL;
}

static void receive(caller_t *caller)
{
	ssize_t size;

	do {
		size = recv(caller->fd, caller->text + caller->size,
			    TEXT_SIZE_BYTES - 1 - caller->size, MSG_DONTWAIT);
		if (size > 0)
			caller->size += (size_t)size;
	} while (size > 0);
	caller->text[caller->size] = '\0';
}

static bool is_due(const play_t *play, const moment_t *moment)
{
	return play->phase == moment->phase &&
	       clock_monotonic_us() - play->phase_us >=
		       moment->after_ms * US_PER_MS;
}

static void step_caller(play_t *play, caller_t *caller)
{
	int64_t phase_ms = (clock_monotonic_us() - play->phase_us) / US_PER_MS;

	if (caller->sent_us <= 1 &&
	    (caller->sent_us || is_due(play, caller->moment)))
		send_request(play, caller);
	if (caller->sent_us > 1 && caller->late_part &&
	    clock_monotonic_us() - caller->sent_us >=
		    caller->late_ms * US_PER_MS)
		send_late_part(play, caller);
	if (caller->fd >= 0 &&
	    (!caller->reads_late || play->phase == STOP_CLOSED ||
	     (play->phase == STOP_ENDED && phase_ms >= READ_LATE_MS)))
		receive(caller);
}

static void reload(play_t *play)
{
	node_settings_t settings = play->fixture.gateway->settings;

	settings.stop_ms = play->reload_stop_ms;
	gateway_reload(play->fixture.gateway, &settings);
}

static void step(play_t *play, stop_phase_t phase)
{
	size_t i;

	if (phase != play->phase) {
		play->phase = phase;
		play->phase_us = clock_monotonic_us();
		if (phase == STOP_NOTICE && play->reload_stop_ms)
			reload(play);
	}
	for (i = 0; i < play->count; i++)
		step_caller(play, &play->callers[i]);
}

static void on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	play_t *play = timer->data;

	step(play, play->fixture.gateway->stop);
}

/* @return status of a complete answer; 0: none, or it is not complete */
static int answer_status(const char *text, size_t size)
{
	const char *end = strstr(text, "\r\n\r\n");
	const char *length = strstr(text, "Content-Length: ");
	static const char last[] = "\r\n0\r\n\r\n";
	int status = 0;

	if (!end || sscanf(text, "HTTP/1.1 %d", &status) != 1)
		return 0;
	if (length && length < end)
		return strtoul(length + strlen("Content-Length: "), NULL, 10) ==
				       size - (size_t)(end + 4 - text)
			       ? status
			       : 0;
	return size >= strlen(last) && !strcmp(text + size - strlen(last), last)
		       ? status
		       : 0;
}

static bool has_arrived(const play_t *play, size_t number)
{
	char id[40];
	size_t i;

	snprintf(id, sizeof(id), "X-Request-Id: r%zu\r\n", number);
	for (i = 0; i < play->fixture.arrival_count; i++)
		if (strstr(play->fixture.arrivals[i].text, id))
			return true;
	return false;
}

/* @return true if the request was answered as expected, or not run */
static bool judge(const play_t *play, size_t number)
{
	const caller_t *caller = &play->callers[number];
	int status = answer_status(caller->text, caller->size);
	bool arrived = has_arrived(play, number);
	bool ran = caller->status == 200 || caller->status == 504;

	if ((status == caller->status || (!caller->status && status == 503)) &&
	    arrived == ran)
		return true;
	print_error(
		"%s connection, %s, phase %d after %d ms: %zu bytes, whole answer "
		"%d in place of %d, %s a server\n",
		use_names[caller->use], caller->path,
		(int)caller->moment->phase, (int)caller->moment->after_ms,
		caller->size, status, caller->status,
		arrived ? "reached" : "did not reach");
	return false;
}

static caller_t *add(play_t *play, const moment_t *moment, use_t use,
		     const char *path, int status)
{
	caller_t *caller = &play->callers[play->count++];

	assert_true(play->count <= CALLERS_MAX);
	*caller = (caller_t){ .moment = moment,
			      .use = use,
			      .path = path,
			      .status = status,
			      .fd = -1,
			      .late_ms = LATE_PART_MS,
			      .text = test_calloc(TEXT_SIZE_BYTES, 1) };
	return caller;
}

static void add_moment(play_t *play, const moment_t *moment)
{
	use_t use;
	int kind;

	for (use = KEPT; use < CONNECTION_USES; use++)
		for (kind = 0; kind < KINDS; kind++)
			/* A node that stops takes no relayed requests. */
			add(play, moment, use, paths[kind],
			    use == RELAYED && moment->status[kind]
				    ? 503
				    : moment->status[kind]);
}

static void begin(play_t *play)
{
	memset(play, 0, sizeof(*play));
	gateway_fixture_start(&play->fixture);
	gateway_fixture_wait_ready(&play->fixture);
	ev_timer_init(&play->step, on_step, STEP_S, STEP_S);
	play->step.data = play;
	ev_timer_start(play->fixture.loop, &play->step);
}

/* Has a lookup answered on each connection that is kept. */
static void use_kept(play_t *play)
{
	static const char lookup[] =
		"GET /safe/first HTTP/1.1\r\nHost: h\r\nX-Request-Id: first\r\n"
		"X-Deadline-Ms: 1400\r\n" FIXTURE_AUTHORIZATION "\r\n\r\n";
	size_t i;

	for (i = 0; i < play->count; i++) {
		caller_t *caller = &play->callers[i];

		if (caller->use != KEPT)
			continue;
		caller->fd = connect_caller(play, caller);
		gateway_fixture_run(&play->fixture, 2);
		assert_int_equal(send(caller->fd, lookup, sizeof(lookup) - 1,
				      MSG_NOSIGNAL),
				 sizeof(lookup) - 1);
		gateway_fixture_run(&play->fixture, 2);
	}
	gateway_fixture_run(&play->fixture, SETTLE_MS);
	for (i = 0; i < play->count; i++) {
		caller_t *caller = &play->callers[i];

		if (caller->use != KEPT)
			continue;
		receive(caller);
		assert_int_equal(answer_status(caller->text, caller->size),
				 200);
		caller->size = 0;
	}
}

/* Stops the process as SIGTERM does. @return number of wrong outcomes */
static size_t stop(play_t *play)
{
	size_t i, wrong = 0;

	gateway_stop(play->fixture.gateway);
	ev_run(play->fixture.loop, 0);
	ev_timer_stop(play->fixture.loop, &play->step);
	step(play, STOP_CLOSED);
	step(play, STOP_CLOSED);
	gateway_destroy(play->fixture.gateway);
	play->fixture.gateway = NULL;
	gateway_fixture_run(&play->fixture, SETTLE_MS);
	for (i = 0; i < play->count; i++) {
		receive(&play->callers[i]);
		wrong += !judge(play, i);
		close(play->callers[i].fd);
		test_free(play->callers[i].text);
	}
	gateway_fixture_stop(&play->fixture);
	return wrong;
}

static const moment_t notice = {
	STOP_NOTICE, 300, DEADLINE_MS, { 200, 200, 200, 200 }
};
/* A request that may outlast the stop is refused, whatever its kind. */
static const moment_t finishing = {
	STOP_FINISHING, 100, DEADLINE_MS, { 503, 503, 503, 503 }
};
static const moment_t finishing_short = {
	STOP_FINISHING, 100, DEADLINE_SHORT_MS, { 200, 200, 200, 200 }
};
static const moment_t finishing_late = {
	STOP_FINISHING, 870, DEADLINE_SHORT_MS, { 503, 503, 503, 503 }
};
static const moment_t ended = {
	STOP_ENDED, 0, DEADLINE_MS, { 503, 503, 503, 503 }
};
static const moment_t ended_later = {
	STOP_ENDED, 30, DEADLINE_MS, { 503, 503, 503, 503 }
};
static const moment_t closed = { STOP_CLOSED, 0, DEADLINE_MS, { 0, 0, 0, 0 } };

/* Sent just before all requests are ended. */
static const moment_t before_end = { STOP_NOTICE, 2600, DEADLINE_MS, { 0 } };

static const text_act_t text_acts[] = { { "/x ", SERVES_DELAYED },
					{ "/hold ", SILENT },
					{ "/long ", SERVES_LONG },
					{ "/medium ", SERVES_MEDIUM },
					{ "/length ", SERVES_PARTS },
					{ "/chunks ", SERVES_PARTS_CHUNKED },
					{ "/open ", SERVES_PARTS_UNFRAMED },
					{ NULL, SERVES } };

static play_t *begin_acts(void)
{
	play_t *play = test_malloc(sizeof(*play));

	begin(play);
	play->fixture.text_acts = text_acts;
	return play;
}

/* Stops the process and frees the play. @return number of wrong outcomes */
static size_t end_play(play_t *play)
{
	size_t wrong = stop(play);

	test_free(play);
	return wrong;
}

static size_t play_moments(const moment_t *const *moments, size_t count,
			   bool is_held)
{
	play_t *play = begin_acts();
	size_t i;

	for (i = 0; i < count; i++)
		add_moment(play, moments[i]);
	if (is_held) {
		caller_t *caller =
			add(play, &finishing_short, NEW, "/safe/medium", 200);

		caller->reads_late = caller->sends_on = true;
		add(play, &before_end, NEW, "/once/hold", 504);
		add(play, &before_end, NEW, "/safe/long", 200)->reads_late =
			true;
	}
	/* In the head, and in the body. */
	add(play, &ended, NEW, "/safe/x", 503)->late_part = "Content-Length";
	add(play, &ended, NEW, "/safe/x", 503)->late_part = "dybody";
	use_kept(play);
	return end_play(play);
}

/*
 * Guards against requests that are passed on so late that the process ends
 * before their answer, and against answers that the process does not send to
 * their end. The stop takes all of its time: an order waits for a server.
 */
static void request_is_lost_at_the_end_of_a_stop(void **state)
{
	static const moment_t *const moments[] = {
		&notice, &finishing,   &finishing_short, &finishing_late,
		&ended,	 &ended_later, &closed
	};

	assert_int_equal(play_moments(moments, COUNT_OF(moments), true), 0);
}

/* The same, where the process ends early, as it has no requests left. */
static void request_is_lost_at_an_early_end_of_a_stop(void **state)
{
	static const moment_t *const moments[] = { &notice,	     &finishing,
						   &finishing_short, &ended,
						   &ended_later,     &closed };

	assert_int_equal(play_moments(moments, COUNT_OF(moments), false), 0);
}

/* Guards against a stop whose end moves, away from that which its requests
 * started by. */
static void changed_settings_cut_requests_in_a_stop(void **state)
{
	static const moment_t moment = {
		STOP_NOTICE, 2500, DEADLINE_MS, { 0 }
	};
	play_t *play = begin_acts();

	play->reload_stop_ms = 3300;
	add(play, &moment, NEW, "/safe/length", 200);
	add(play, &moment, NEW, "/once/chunks", 200);
	add(play, &finishing_short, NEW, "/once/x", 200);
	assert_int_equal(end_play(play), 0);
}

/*
 * Guards against a part of an answer in place of an error, where the answer
 * takes longer than the stop: its last part comes 3.4 s after SIGTERM.
 */
static void answer_that_outlasts_a_stop_is_begun(void **state)
{
	static const moment_t moment = {
		STOP_NOTICE, 2600, DEADLINE_MS, { 0 }
	};
	static const char *const answers[] = { "/safe/length", "/safe/chunks",
					       "/safe/open",   "/once/length",
					       "/once/chunks", "/once/open" };
	play_t *play = begin_acts();
	size_t i;

	play->fixture.gateway->settings.stop_ms = 3500;
	for (i = 0; i < COUNT_OF(answers); i++)
		add(play, &moment, NEW, answers[i], 504);
	assert_int_equal(end_play(play), 0);
}

/*
 * Guards against requests that start late, since their bodies come late: the
 * phase when a request is complete decides, not only that of its headers.
 */
static void request_with_a_late_body_outlasts_a_stop(void **state)
{
	static const moment_t head = { STOP_NOTICE, 2600, DEADLINE_MS, { 0 } };
	play_t *play = begin_acts();
	int kind;

	for (kind = 0; kind < KINDS; kind++) {
		use_t use;

		for (use = KEPT; use <= NEW; use++) {
			caller_t *caller =
				add(play, &head, use, paths[kind], 503);

			caller->late_part = "dybody";
			caller->late_ms = 400;
		}
	}
	use_kept(play);
	assert_int_equal(end_play(play), 0);
}

/*
 * Guards against answers that are cut in the middle since they take longer than
 * the stop: a request starts only if its time limit is over before. The server
 * sends the rest of the answers that come in parts 800 ms after it got the
 * request, which is after the end of the stop, but for the first moment.
 */
static void answer_is_cut_in_the_middle_at_the_end_of_a_stop(void **state)
{
	static const moment_t in_time = {
		STOP_NOTICE, 2500, DEADLINE_MS, { 0 }
	};
	static const moment_t too_late[] = {
		{ STOP_FINISHING, 200, DEADLINE_MS, { 0 } },
		{ STOP_FINISHING, 500, DEADLINE_MS, { 0 } },
		{ STOP_FINISHING, 800, DEADLINE_MS, { 0 } },
	};
	static const char *const answers[] = { "/safe/length", "/safe/chunks",
					       "/safe/open",   "/safe/hold",
					       "/once/length", "/once/chunks",
					       "/once/open",   "/once/hold" };
	play_t *play = begin_acts();
	size_t i, j;

	for (i = 0; i < COUNT_OF(answers); i++) {
		bool is_held = strstr(answers[i], "/hold");
		use_t use;

		for (use = KEPT; use <= NEW; use++)
			add(play, &in_time, use, answers[i],
			    is_held ? 504 : 200);
		for (use = KEPT; use < CONNECTION_USES; use++)
			for (j = 0; j < COUNT_OF(too_late); j++)
				add(play, &too_late[j], use, answers[i], 503);
	}
	use_kept(play);
	assert_int_equal(end_play(play), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(
			answer_is_cut_in_the_middle_at_the_end_of_a_stop),
		cmocka_unit_test(changed_settings_cut_requests_in_a_stop),
		cmocka_unit_test(answer_that_outlasts_a_stop_is_begun),
		cmocka_unit_test(request_with_a_late_body_outlasts_a_stop),
		cmocka_unit_test(request_is_lost_at_the_end_of_a_stop),
		cmocka_unit_test(request_is_lost_at_an_early_end_of_a_stop),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

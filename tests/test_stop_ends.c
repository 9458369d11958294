/**
 * The end of a process after SIGTERM: within its time, whatever callers,
 * servers, the store and other nodes do.
 */
#include <curl/curl.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/clock.h"
#include "cases.h"
#include "lib/gateway_fixture.h"
#include "lib/loopback.h"
#include "platform/settings.h"
#include "process/gateway_run.h"
#include "process/stop_guard.h"

enum {
	GRACE_S = 4,
	/* Until the node is up, and knows its routes. */
	START_MS = 1500,
	CALLERS_MAX = 8,
	CALLS_MS = 300, /* before SIGTERM */
	GUARD_MS = 300,
	LATE_MS = 400, /* of a busy machine */
	TIMEOUT_MS = 60000 /* of the routes: longer than the stop */
};

static gateway_fixture_t fixture;

static int set_up(void **state)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return 0;
}

static void edit(const gateway_fixture_t *unused, const char *path,
		 json_t *spec)
{
	json_t *route;
	size_t i;

	json_array_foreach(json_object_get(spec, "routes"), i, route)
	{
		json_object_set_new(route, "timeoutMs",
				    json_integer(TIMEOUT_MS));
	}
}

static int port_of(const char *address)
{
	return atoi(strchr(address, ':') + 1);
}

/* Runs a node as a process of its own. @return its id */
static pid_t start_node(char address[64])
{
	char path[] = "/tmp/chivestage-stop-XXXXXX";
	char ready[64], peer[64], relay[64];
	FILE *file = fdopen(mkstemp(path), "w");
	pid_t process;
	int fd;

	loopback_free_address(address, 64);
	loopback_free_address(ready, sizeof(ready));
	loopback_free_address(peer, sizeof(peer));
	loopback_free_address(relay, sizeof(relay));
	fprintf(file,
		"node=n9\nzone=a\nip=127.0.0.1\nportRange=%d,%d\n"
		"bind.front=%s\nbind.ready=%s\nlimits.maxFds=1024\n"
		"platform.address=127.0.0.1:%u\ncontractParams.graceS=%d\n",
		port_of(peer), port_of(relay), address, ready,
		listener_port(fixture.store), GRACE_S);
	fclose(file);
	process = fork();
	if (process) {
		gateway_fixture_run(&fixture, START_MS);
		unlink(path);
		return process;
	}
	for (fd = STDERR_FILENO + 1; fd < 1024; fd++)
		close(fd);
	setenv(PLATFORM_SETTINGS_VARIABLE, path, 1);
	_exit(gateway_run());
}

/* @return time from now, in ms, until the process ended; -1: it did not */
static int64_t wait_end(pid_t process, int64_t limit_ms, int *status)
{
	int64_t start_us = clock_monotonic_us(), passed_ms = 0;

	while (passed_ms < limit_ms) {
		if (waitpid(process, status, WNOHANG) == process)
			return passed_ms;
		if (fixture.loop)
			gateway_fixture_run(&fixture, 5);
		else
			usleep(5000);
		passed_ms = (clock_monotonic_us() - start_us) / US_PER_MS;
	}
	kill(process, SIGKILL);
	waitpid(process, status, 0);
	return -1;
}

static int send_request(const char *address, const char *path, int number,
			size_t body_bytes)
{
	int fd = loopback_connect(port_of(address));
	char text[400];

	gateway_fixture_run(&fixture, 5);
	snprintf(text, sizeof(text),
		 "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: e%d\r\n"
		 "X-Deadline-Ms: 60000\r\n" FIXTURE_AUTHORIZATION
		 "\r\nContent-Length: %zu\r\n\r\nbody",
		 path, number, body_bytes);
	(void)!send(fd, text, strlen(text), MSG_NOSIGNAL);
	return fd;
}

/*
 * Guards against a node that waits for a caller, a server or the store until
 * the platform kills it.
 */
static void node_outlasts_its_stop(void **state)
{
	static const struct {
		const char *name, *path;
		server_act_t act;
		size_t body_bytes; /* of which 4 are sent */
		bool store_silent_before, store_silent_at_end;
		bool sends_again; /* another SIGTERM, 1 s later */
	} cases[] = {
		{ "server that never answers", "/once/e", SILENT, 4, false,
		  false, true },
		{ "stream that never goes on", "/single/e", TRICKLES, 4, false,
		  false, false },
		{ "caller that never reads", "/once/e", ENDLESS_BODY, 4, false,
		  false, false },
		{ "head without end", "/once/e", ENDLESS_HEAD, 4, false, false,
		  false },
		{ "upload that never ends", "/once/e", SERVES, 3000, false,
		  false, false },
		{ "store that hangs", "/once/e", SILENT, 4, false, true,
		  false },
		{ "store that hangs from the start", "/once/e", SERVES, 4, true,
		  true, false },
	};
	size_t i, failed = 0;

	for (i = 0; i < COUNT_OF(cases); i++) {
		text_act_t acts[] = { { "/e HTTP", cases[i].act },
				      { NULL, SERVES } };
		int fds[CALLERS_MAX], j, status = 0;
		char address[64];
		int64_t ended_ms;
		pid_t node;

		fixture = (gateway_fixture_t){
			.text_acts = acts,
			.keys_stay = true,
			.edit = edit,
			.slots = 100,
			.store_silent = cases[i].store_silent_before
		};
		gateway_fixture_start(&fixture);
		node = start_node(address);
		for (j = 0; j < CALLERS_MAX; j++)
			fds[j] = send_request(address, cases[i].path, j,
					      cases[i].body_bytes);
		gateway_fixture_run(&fixture, CALLS_MS);
		fixture.store_silent = cases[i].store_silent_at_end;
		kill(node, SIGTERM);
		if (cases[i].sends_again) {
			gateway_fixture_run(&fixture, 1000);
			kill(node, SIGTERM);
		}
		ended_ms = wait_end(node, 3L * GRACE_S * MS_PER_S, &status) +
			   (cases[i].sends_again ? 1000 : 0);
		print_message("%s: %" PRId64 " ms, status %d, %zu arrivals\n",
			      cases[i].name, ended_ms, status,
			      fixture.arrival_count);
		/* The guard of the stop had to act if the status is not 0. */
		failed += ended_ms < 0 || ended_ms > GRACE_S * MS_PER_S ||
			  status ||
			  (cases[i].body_bytes == 4 &&
			   !cases[i].store_silent_before &&
			   !fixture.arrival_count);
		for (j = 0; j < CALLERS_MAX; j++)
			close(fds[j]);
		gateway_fixture_stop(&fixture);
		fixture.loop = NULL;
	}
	assert_int_equal(failed, 0);
}

/* Guards against a process that ends only when something returns that it waits
 * for, and against a second signal that prolongs its stop. */
static void process_hangs_in_its_stop(void **state)
{
	int64_t ended_ms;
	int status = 0, log[2];
	char text[200] = "";
	pid_t process;

	assert_int_equal(pipe(log), 0);
	process = fork();
	if (!process) {
		dup2(log[1], STDOUT_FILENO);
		stop_guard_arm(GUARD_MS);
		stop_guard_arm(10 * GUARD_MS);
		for (;;)
			pause();
	}
	ended_ms = wait_end(process, 20L * GUARD_MS, &status);
	assert_in_range(ended_ms, GUARD_MS - 50, GUARD_MS + LATE_MS);
	assert_true(WIFEXITED(status) && WEXITSTATUS(status) == EXIT_FAILURE);
	assert_true(read(log[0], text, sizeof(text) - 1) > 0);
	assert_non_null(strstr(text, "name=STOP_OVERDUE limit_ms=300\n"));
	close(log[0]);
	close(log[1]);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(process_hangs_in_its_stop),
		cmocka_unit_test(node_outlasts_its_stop),
	};

	return cmocka_run_group_tests(tests, set_up, NULL);
}

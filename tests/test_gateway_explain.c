/**
 * Explanations of where a request would be placed, as the node gives them and
 * as the command prints them.
 */
#include <fcntl.h>
#include <libgen.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/metrics.h"
#include "cases.h"
#include "lib/gateway_fixture.h"

enum { OUTPUT_SIZE_BYTES = 65536, TOOL_TURNS_MAX = 5000 };

static gateway_fixture_t fixture;
static char output[OUTPUT_SIZE_BYTES];

/* Runs the command, which is built beside the tests, while the gateway serves.
 * @return its exit code */
static int run_tool(const char *const *arguments, bool is_text)
{
	char path[PATH_MAX] = "", tool[PATH_MAX + 32], address[32];
	char *argv[8] = { tool, (char *)(is_text ? "-c-" : "--json"),
			  (char *)"explain", address };
	int ends[2], status = 0, turn;
	size_t used = 0, i;
	ssize_t size;
	pid_t child;

	assert_true(readlink("/proc/self/exe", path, sizeof(path) - 1) > 0);
	snprintf(tool, sizeof(tool), "%s/../chivestage", dirname(path));
	snprintf(address, sizeof(address), "127.0.0.1:%u",
		 listener_port(fixture.gateway->metrics));
	for (i = 0; arguments[i]; i++)
		argv[4 + i] = (char *)arguments[i];
	assert_int_equal(pipe2(ends, O_CLOEXEC | O_NONBLOCK), 0);
	child = fork();
	if (!child) {
		dup2(ends[1], STDOUT_FILENO);
		dup2(ends[1], STDERR_FILENO);
		execv(tool, argv);
		_exit(127);
	}
	close(ends[1]);
	for (turn = 0; turn < TOOL_TURNS_MAX; turn++) {
		gateway_fixture_run(&fixture, 1);
		size = read(ends[0], output + used, sizeof(output) - 1 - used);
		used += size > 0 ? (size_t)size : 0;
		if (!size)
			break;
	}
	output[used] = '\0';
	close(ends[0]);
	waitpid(child, &status, 0);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Guards against explanations that differ from what forward_place() decides,
 * and against ones that send or change something. */
static void explains_without_effect(void **state)
{
	static const struct {
		const char *arguments[4];
		int code;
		const char *texts[4]; /* in the output */
	} cases[] = {
		{ { "service=s" },
		  0,
		  { "\"decision\":\"placed\"", "\"candidate_count\":2",
		    "\"shard\":1" } },
		{ { "service=%73" }, 1, { "no such" } },
		{ { "route=h/stream/long/x", "prompt=5000", "account=acme" },
		  0,
		  { "\"service\":\"m\"", "\"prompt_tokens\":5000",
		    "\"decision\":\"placed\"", "\"deferred\":\"no\"" } },
		{ { "service=m", "prompt=15000" },
		  0,
		  { "\"decision\":\"placed\"", "\"shard\":1", "\"shard\":2" } },
		{ { "service=m", "prompt=99999999999999999999" },
		  0,
		  { "\"decision\":\"prompt_too_long\"",
		    "\"prompt_tokens\":1000000000",
		    "\"retry_after_ms\":1000" } },
		{ { "service=m", "output=-5" },
		  0,
		  { "\"output_tokens\":100" } },
		{ { "service=none" }, 1, { "404", "no such route" } },
		{ { "route=h/none/" }, 1, { "404", "no such route" } },
		{ { "service=s", "account=none" }, 1, { "no such account" } },
		{ { "prompt=5" }, 1, { "400" } },
		{ { "service=s", "size=5" }, 1, { "400" } },
		{ { "service" }, 2, { "expected KEY=VALUE" } },
	};
	size_t i, j;

	fixture.keys_stay = true;
	gateway_fixture_start(&fixture);
	gateway_fixture_wait_ready(&fixture);
	gateway_fixture_run(&fixture, 50);
	for (i = 0; i < COUNT_OF(cases); i++) {
		int code;

		code = run_tool(cases[i].arguments, false);
		if (code != cases[i].code)
			fail_msg("%s: exit code %d: %s", cases[i].arguments[0],
				 code, output);
		for (j = 0; j < 4 && cases[i].texts[j]; j++)
			if (!strstr(output, cases[i].texts[j]))
				fail_msg("%s: no %s in %s",
					 cases[i].arguments[0],
					 cases[i].texts[j], output);
	}
	assert_int_equal(run_tool(cases[0].arguments, true), 0);
	assert_non_null(strstr(output, "\ndecision placed, first event in "));
	assert_non_null(strstr(output, "\ndeferred no, sent with priority "));
	assert_non_null(strstr(output, "\n* i-s"));
	assert_non_null(strstr(output, "\n  i-s"));
	assert_int_equal(fixture.arrival_count, 0);
	assert_int_equal(metrics_get(METRIC_REQUESTS), 0);
	gateway_fixture_stop(&fixture);
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(explains_without_effect),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/**
 * Guards against a process that a fatal signal ends without a log line, or with
 * a line that lacks the signal, the build id or the stack: then the cause of
 * the crash cannot be found from the log.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/crash.h"
#include "base/log.h"
#include "cases.h"

/*
 * Forks a child that raises signal @p number. Returns the output of the child,
 * and in @p ended_by the signal that ended the child, or 0.
 */
static const char *crash_child(int number, int *ended_by)
{
	static char text[2048];
	size_t used = 0;
	ssize_t size;
	int pipe_fds[2], status;
	pid_t child;

	assert_int_equal(pipe(pipe_fds), 0);
	child = fork();
	if (!child) {
		dup2(pipe_fds[1], STDOUT_FILENO);
		crash_handler_install();
		raise(number);
		_exit(0);
	}
	close(pipe_fds[1]);
	while ((size = read(pipe_fds[0], text + used,
			    sizeof(text) - 1 - used)) > 0)
		used += (size_t)size;
	text[used] = '\0';
	close(pipe_fds[0]);
	assert_int_equal(waitpid(child, &status, 0), child);
	*ended_by = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
	return text;
}

static void logs_signal_build_and_stack(void **state)
{
	static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGABRT };
	size_t i;

	for (i = 0; i < COUNT_OF(signals); i++) {
		char expected[64];
		int ended_by;
		const char *text = crash_child(signals[i], &ended_by);

		snprintf(expected, sizeof(expected),
			 "event=%d name=PROCESS_CRASHED signal=%d build=",
			 EVENT_PROCESS_CRASHED, signals[i]);
		assert_int_equal(ended_by, signals[i]);
		assert_non_null(strstr(text, expected));
		assert_null(strstr(text, "build=unknown"));
		assert_non_null(strstr(text, " stack=0x"));
		assert_ptr_equal(strchr(text, '\n'), text + strlen(text) - 1);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(logs_signal_build_and_stack),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

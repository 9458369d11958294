/** A process that a fatal signal ends says so on its log. */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "base/crash.h"
#include "base/log.h"
#include "cases.h"

/* Runs a child that ends by @p number; returns what it wrote. */
static const char *crash(int number, int *ended_by)
{
	static char text[2048];
	size_t used = 0;
	ssize_t size;
	int ends[2], status;
	pid_t child;

	assert_int_equal(pipe(ends), 0);
	child = fork();
	if (!child) {
		dup2(ends[1], STDOUT_FILENO);
		crash_handler_install();
		raise(number);
		_exit(0);
	}
	close(ends[1]);
	while ((size = read(ends[0], text + used, sizeof(text) - 1 - used)) > 0)
		used += (size_t)size;
	text[used] = '\0';
	close(ends[0]);
	assert_int_equal(waitpid(child, &status, 0), child);
	*ended_by = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
	return text;
}

static void names_the_signal(void **state)
{
	static const int signals[] = { SIGSEGV, SIGBUS, SIGFPE, SIGABRT };
	size_t i;

	for (i = 0; i < COUNT_OF(signals); i++) {
		char expected[64];
		int ended_by;
		const char *text = crash(signals[i], &ended_by);

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
		cmocka_unit_test(names_the_signal),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

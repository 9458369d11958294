#include "process/stop_guard.h"

#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#include "base/log.h"
#include "base/units.h"

enum { LINE_SIZE_BYTES = 128 };

static char line[LINE_SIZE_BYTES];
static bool armed;

/* Calls async-signal-safe functions only, and none that may block. */
static void on_alarm(int number)
{
	struct pollfd log = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (poll(&log, 1, 0) > 0 && log.revents & POLLOUT)
		(void)!write(STDOUT_FILENO, line, strlen(line));
	_exit(EXIT_FAILURE);
}

void stop_guard_arm(int64_t limit_ms)
{
	struct itimerval timer = {
		.it_value = { .tv_sec = limit_ms / MS_PER_S,
			      .tv_usec = limit_ms % MS_PER_S * US_PER_MS }
	};
	struct sigaction action = { .sa_handler = on_alarm };

	if (armed)
		return;
	armed = true;
	snprintf(line, sizeof(line),
		 "level=error event=%d name=STOP_OVERDUE limit_ms=%" PRId64
		 "\n",
		 EVENT_STOP_OVERDUE, limit_ms);
	sigemptyset(&action.sa_mask);
	if (sigaction(SIGALRM, &action, NULL) ||
	    setitimer(ITIMER_REAL, &timer, NULL))
		log_event(EVENT_STOP_OVERDUE, "limit_ms=none");
}

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "base/units.h"
#include "connection/listener_private.h"

/* Interval between two checks of all connections. */
#define CHECK_S 0.5
/* A check that is this late shows nothing: what callers sent meanwhile waits in
 * the sockets. */
#define CHECK_LATE_US (3 * US_PER_S / 2)

static void on_started(listener_t *listener, struct MHD_Connection *connection,
		       void **context)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	caller_t *caller = mem_calloc(1, sizeof(*caller));

	caller->fd = info ? info->connect_fd : -1;
	caller->since_us = clock_monotonic_us();
	DL_APPEND(listener->callers, caller);
	*context = caller;
}

/* @return true if the caller may still receive data that was sent to it */
static bool is_unsent(int fd)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);
	int bytes = 0;

	return !ioctl(fd, SIOCOUTQ, &bytes) && bytes > 0 &&
	       !getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size) &&
	       info.tcpi_state != TCP_CLOSE;
}

/* Closing a socket resets the connection, and loses what is on the way to the
 * caller, if bytes of the caller were not read. */
static void discard_input(int fd)
{
	char data[4096];

	while (recv(fd, data, sizeof(data), MSG_DONTWAIT) > 0)
		;
}

static void keep_unsent(listener_t *listener, int fd)
{
	unsent_t *unsent;
	int copy = is_unsent(fd) ? dup(fd) : -1;

	if (copy < 0)
		return;
	unsent = mem_calloc(1, sizeof(*unsent));
	unsent->fd = copy;
	DL_APPEND(listener->unsent, unsent);
}

static void drop_unsent(listener_t *listener, unsent_t *unsent)
{
	close(unsent->fd);
	DL_DELETE(listener->unsent, unsent);
	free(unsent);
}

bool callers_have_unsent(listener_t *listener)
{
	unsent_t *unsent, *next;
	const caller_t *caller;

	DL_FOREACH_SAFE (listener->unsent, unsent, next) {
		discard_input(unsent->fd);
		if (!is_unsent(unsent->fd))
			drop_unsent(listener, unsent);
	}
	if (listener->unsent)
		return true;
	DL_FOREACH (listener->callers, caller)
		if (is_unsent(caller->fd))
			return true;
	return false;
}

void callers_drop_unsent(listener_t *listener)
{
	unsent_t *unsent, *next;

	DL_FOREACH_SAFE (listener->unsent, unsent, next)
		drop_unsent(listener, unsent);
}

void callers_on_connection(void *listener_context,
			   struct MHD_Connection *connection, void **context,
			   enum MHD_ConnectionNotificationCode code)
{
	listener_t *listener = listener_context;
	caller_t *caller = *context;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		on_started(listener, connection, context);
	} else if (caller) {
		if (listener->keeps_unsent)
			keep_unsent(listener, caller->fd);
		DL_DELETE(listener->callers, caller);
		free(caller);
		*context = NULL;
	}
}

void callers_set_phase(struct MHD_Connection *connection, caller_phase_t phase)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	caller_t *caller = info ? info->socket_context : NULL;

	if (!caller)
		return;
	caller->phase = phase;
	caller->since_us = clock_monotonic_us();
}

/* @return the longest time that a caller may stay in its phase; 0: any */
static int64_t limit_ms(const listener_t *listener, const caller_t *caller)
{
	switch (caller->phase) {
	case CALLER_IDLE:
		return listener->timeouts.idle_ms;
	case CALLER_SENDS_HEAD:
		return listener->timeouts.head_ms;
	case CALLER_SENDS_BODY:
		return listener->timeouts.body_ms;
	case CALLER_WAITS:
		return 0;
	}
	return 0;
}

/* A request of an idle caller may have arrived and not have been read yet. */
static bool has_sent(const caller_t *caller)
{
	char byte;

	return caller->phase == CALLER_IDLE &&
	       recv(caller->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

static void on_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	listener_t *listener = timer->data;
	int64_t now_us = clock_monotonic_us();
	bool is_late = now_us - listener->checked_us > CHECK_LATE_US;
	caller_t *caller;

	listener->checked_us = now_us;
	if (is_late)
		return;
	DL_FOREACH (listener->callers, caller) {
		int64_t limit_us = limit_ms(listener, caller) * US_PER_MS;

		if (!limit_us || now_us - caller->since_us <= limit_us ||
		    has_sent(caller))
			continue;
		if (caller->phase != CALLER_IDLE)
			metrics_add(METRIC_CALLERS_SLOW, 1);
		/* The library sees the end and closes the connection. */
		shutdown(caller->fd, SHUT_RDWR);
	}
}

void slow_callers_start(listener_t *listener)
{
	listener->checked_us = clock_monotonic_us();
	ev_timer_init(&listener->check, on_check, CHECK_S, CHECK_S);
	listener->check.data = listener;
	ev_timer_start(listener->loop, &listener->check);
}

void slow_callers_stop(listener_t *listener)
{
	ev_timer_stop(listener->loop, &listener->check);
}

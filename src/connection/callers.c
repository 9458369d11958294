#include <fcntl.h>
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

enum {
	/* Closed connections that are kept; each takes a descriptor. */
	UNSENT_MAX = 100,
	/* A caller that sends without end must not hold up the others. */
	DISCARD_READS_MAX = 16
};

/* A caller that has received nothing for so long is not waited for. */
#define SILENCE_MAX_US US_PER_S

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
	listener->caller_count++;
	*context = caller;
}

/* @return bytes that were sent to the caller and that it has not confirmed */
static int unconfirmed_bytes(int fd)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);
	int bytes = 0;

	if (ioctl(fd, SIOCOUTQ, &bytes) ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size))
		return 0;
	switch (info.tcpi_state) {
	case TCP_CLOSE:
		return 0;
	case TCP_FIN_WAIT1:
	case TCP_CLOSING:
	case TCP_LAST_ACK:
		return bytes - 1; /* the end itself counts as a byte */
	default:
		return bytes;
	}
}

/* Closing a socket resets the connection, and loses what is on the way to the
 * caller, if bytes of the caller were not read. */
static void discard_input(int fd)
{
	char data[4096];
	int i;

	for (i = 0; i < DISCARD_READS_MAX; i++)
		if (recv(fd, data, sizeof(data), MSG_DONTWAIT) <= 0)
			return;
}

/* @return true if the caller receives what was sent to it */
static bool is_receiving(int fd, progress_t *progress)
{
	int bytes = unconfirmed_bytes(fd);
	int64_t now_us = clock_monotonic_us();

	if (bytes != progress->bytes)
		*progress = (progress_t){ bytes, now_us };
	return bytes > 0 && now_us - progress->since_us < SILENCE_MAX_US;
}

static void drop_unsent(listener_t *listener, unsent_t *unsent)
{
	discard_input(unsent->fd);
	close(unsent->fd);
	DL_DELETE(listener->unsent, unsent);
	listener->unsent_count--;
	free(unsent);
}

/* Closes the kept connections whose callers have received all, or receive
 * nothing. */
static void check_unsent(listener_t *listener)
{
	unsent_t *unsent, *next;

	DL_FOREACH_SAFE (listener->unsent, unsent, next) {
		discard_input(unsent->fd);
		if (!is_receiving(unsent->fd, &unsent->progress))
			drop_unsent(listener, unsent);
	}
}

static void keep_unsent(listener_t *listener, int fd)
{
	unsent_t *unsent;
	int copy;

	if (unconfirmed_bytes(fd) <= 0)
		return;
	if (listener->unsent_count >= UNSENT_MAX)
		check_unsent(listener);
	if (listener->unsent_count >= UNSENT_MAX)
		return;
	copy = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	if (copy < 0)
		return;
	unsent = mem_calloc(1, sizeof(*unsent));
	unsent->fd = copy;
	DL_APPEND(listener->unsent, unsent);
	listener->unsent_count++;
}

bool callers_have_unsent(listener_t *listener)
{
	caller_t *caller;

	check_unsent(listener);
	if (listener->unsent)
		return true;
	DL_FOREACH (listener->callers, caller)
		if (is_receiving(caller->fd, &caller->progress))
			return true;
	return false;
}

void callers_drop_unsent(listener_t *listener)
{
	unsent_t *unsent, *next;
	caller_t *caller;

	DL_FOREACH_SAFE (listener->unsent, unsent, next)
		drop_unsent(listener, unsent);
	DL_FOREACH (listener->callers, caller)
		if (unconfirmed_bytes(caller->fd) > 0)
			discard_input(caller->fd);
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
		listener->caller_count--;
		free(caller);
		*context = NULL;
	}
}

caller_t *callers_of_connection(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

void callers_set_phase(struct MHD_Connection *connection, caller_phase_t phase)
{
	caller_t *caller = callers_of_connection(connection);

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

#include "connection/client_sockets.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/mem.h"
#include "base/units.h"

enum {
	/* Idle time before the first keepalive probe and between probes. */
	PROBE_INTERVAL_S = 1
};

struct client_connection {
	int fd;
	client_call_t *call; /* that uses it; NULL: none */
	bool is_closed; /* by libcurl, while the call uses it */
	int unsent_limit_ms; /* value of TCP_USER_TIMEOUT */
	client_connection_t *next; /* of the call */
	UT_hash_handle hh; /* of the client, by fd; not if is_closed */
};

/* Closing a socket whose linger time is 0 resets its connection. */
static bool set_reset(int fd, bool resets)
{
	struct linger linger = { .l_onoff = resets, .l_linger = 0 };

	return !setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
}

/*
 * Turns on TCP keepalive probes. The kernel of the server's VM answers them
 * even while the server process is busy. Without probes, a VM that is down
 * looks like a server that works on a long prompt.
 */
static bool set_keepalive(int fd, int64_t silence_ms)
{
	int on = 1, interval_s = PROBE_INTERVAL_S;
	int probes = (int)(silence_ms / (PROBE_INTERVAL_S * MS_PER_S));

	if (probes < 1)
		probes = 1;
	return !setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) &&
	       !setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval_s,
			   sizeof(interval_s)) &&
	       !setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s,
			   sizeof(interval_s)) &&
	       !setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes,
			   sizeof(probes));
}

/*
 * @return milliseconds after which the kernel gives up what the server has not
 * acknowledged: the rest of the call's time, but at most the longest silence;
 * 0: the default of the operating system
 */
static int unsent_limit_ms(const client_call_t *call)
{
	int64_t limit_ms = call->silence_ms, left_ms;

	if (call->unsent_until_us) {
		left_ms = (call->unsent_until_us - clock_monotonic_us()) /
			  US_PER_MS;
		if (left_ms < 1)
			left_ms = 1;
		if (!limit_ms || left_ms < limit_ms)
			limit_ms = left_ms;
	}
	return limit_ms < INT32_MAX ? (int)limit_ms : INT32_MAX;
}

static bool set_unsent_limit(client_connection_t *connection)
{
	int limit_ms = unsent_limit_ms(connection->call);

	if (limit_ms == connection->unsent_limit_ms)
		return true;
	connection->unsent_limit_ms = limit_ms;
	return !setsockopt(connection->fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
			   &limit_ms, sizeof(limit_ms));
}

static void attach(client_connection_t *connection, client_call_t *call)
{
	connection->call = call;
	LL_PREPEND(call->connections, connection);
}

/* Frees the entry of a socket that is closed. */
static void forget(client_t *client, client_connection_t *connection)
{
	HASH_DEL(client->connections, connection);
	if (connection->call)
		LL_DELETE(connection->call->connections, connection);
	free(connection);
}

static int on_open(void *context, curl_socket_t fd, curlsocktype type)
{
	client_call_t *call = context;
	client_connection_t *connection;

	/* libcurl does not say that it closed a socket which never connected.
	 */
	HASH_FIND_INT(call->client->connections, &fd, connection);
	if (connection)
		forget(call->client, connection);
	connection = mem_calloc(1, sizeof(*connection));
	connection->fd = fd;
	HASH_ADD_INT(call->client->connections, fd, connection);
	attach(connection, call);
	if (set_reset(fd, true) && set_unsent_limit(connection) &&
	    (!call->keepalive_ms || set_keepalive(fd, call->keepalive_ms)))
		return CURL_SOCKOPT_OK;
	return CURL_SOCKOPT_ERROR;
}

/* Closes a connection that no call uses, or whose call has ended. */
static void close_connection(client_connection_t *connection, bool resets)
{
	if (!resets)
		set_reset(connection->fd, false);
	close(connection->fd);
	free(connection);
}

/* libcurl closes the sockets of a call before it says how the call has ended,
 * so that the socket stays open until then. */
static int on_close(void *context, curl_socket_t fd)
{
	client_t *client = context;
	client_connection_t *connection;

	HASH_FIND_INT(client->connections, &fd, connection);
	if (!connection)
		return close(fd);
	HASH_DEL(client->connections, connection);
	if (connection->call)
		connection->is_closed = true;
	else
		close_connection(connection, false);
	return 0;
}

/* @return the lesser of two times, either of which may be 0: none */
static int64_t least_ms(int64_t a_ms, int64_t b_ms)
{
	if (a_ms <= 0 || b_ms <= 0)
		return a_ms > b_ms ? a_ms : b_ms;
	return a_ms < b_ms ? a_ms : b_ms;
}

/* Notes when the kernel gives up what the server has not acknowledged, which a
 * process that has stopped cannot do. */
static void limit_unsent(client_call_t *call, const client_request_t *request)
{
	int64_t limit_ms =
		least_ms(request->total_timeout_ms, request->unsent_timeout_ms);

	call->keepalive_ms = request->peer_silence_ms;
	call->silence_ms =
		least_ms(request->peer_silence_ms, request->idle_timeout_ms);
	if (limit_ms)
		call->unsent_until_us =
			clock_monotonic_us() + limit_ms * US_PER_MS;
}

void client_sockets_watch(client_call_t *call, const client_request_t *request)
{
	limit_unsent(call, request);
	curl_easy_setopt(call->easy, CURLOPT_SOCKOPTFUNCTION, on_open);
	curl_easy_setopt(call->easy, CURLOPT_SOCKOPTDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(call->easy, CURLOPT_CLOSESOCKETDATA, call->client);
}

void client_sockets_use(client_call_t *call, curl_socket_t fd)
{
	client_connection_t *connection;

	HASH_FIND_INT(call->client->connections, &fd, connection);
	/* libcurl also watches sockets of its own. */
	if (!connection)
		return;
	if (!connection->call)
		attach(connection, call);
	set_unsent_limit(connection);
}

void client_sockets_release(client_call_t *call, bool ended_well)
{
	client_connection_t *connection, *next;

	LL_FOREACH_SAFE (call->connections, connection, next) {
		connection->call = NULL;
		if (connection->is_closed)
			close_connection(connection, !ended_well);
	}
	call->connections = NULL;
}

void client_sockets_forget(client_t *client)
{
	client_connection_t *connection, *next;

	HASH_ITER (hh, client->connections, connection, next)
		forget(client, connection);
}

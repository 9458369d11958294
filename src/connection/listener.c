#include "connection/listener.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "base/mem.h"
#include "base/units.h"
#include "connection/address.h"
#include "connection/listener_private.h"

enum {
	BACKLOG = 1024,
	/*
	 * Limits the kernel memory of a connection whose caller reads slowly.
	 * Without a limit the kernel grows the send buffer up to 4 MiB.
	 */
	SEND_BUFFER_SIZE_BYTES = 64 * 1024,
	CREDENTIAL_SIZE_MAX_BYTES = 256 * 1024,
	OPTIONS_MAX = 16
};

static const listener_timeouts_t default_timeouts = {
	.idle_ms = CONNECTION_TIMEOUT_S * MS_PER_S,
	.head_ms = 10 * MS_PER_S,
	.body_ms = CONNECTION_TIMEOUT_S * MS_PER_S,
};

/* Handles all ready connections and sets the timer for the next timeout. */
static void run_daemon(listener_t *listener)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	listener->run_pending = false;
	listener->running = true;
	MHD_run(listener->daemon);
	listener->running = false;
	ev_timer_stop(listener->loop, &listener->timeout);
	if (MHD_get_timeout(listener->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&listener->timeout, (double)timeout_ms / MS_PER_S, 0);
	ev_timer_start(listener->loop, &listener->timeout);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	run_daemon(watcher->data);
}

static void on_timeout(struct ev_loop *loop, ev_timer *watcher, int events)
{
	run_daemon(watcher->data);
}

/* One MHD_run() serves all connections resumed in this loop iteration. */
static void on_before_wait(struct ev_loop *loop, ev_prepare *watcher,
			   int events)
{
	listener_t *listener = watcher->data;

	if (listener->run_pending)
		run_daemon(listener);
}

static int open_socket(const listener_conf_t *conf, err_t *err)
{
	struct sockaddr_in address;
	int on = 1, send_buffer = SEND_BUFFER_SIZE_BYTES, fd;

	if (!address_parse(conf->address, &address)) {
		err_set(err, ERR_LAYER_CONNECTION, LISTENER_ERR_ADDRESS,
			"listen on %s: expected IPV4:PORT", conf->address);
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		goto failed;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (conf->shared)
		setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
	/* Accepted sockets inherit SO_SNDBUF and TCP_NODELAY. */
	setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &send_buffer,
		   sizeof(send_buffer));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!bind(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    !listen(fd, BACKLOG))
		return fd;

failed:
	err_set(err, ERR_LAYER_CONNECTION, LISTENER_ERR_ADDRESS,
		"listen on %s: %s", conf->address, strerror(errno));
	if (fd >= 0)
		close(fd);
	return -1;
}

/* @return the text of a PEM file, to be freed; NULL and @p err: unreadable */
static char *read_credential(const char *path, err_t *err)
{
	FILE *file = fopen(path, "re");
	char *text;
	size_t size;

	if (!file) {
		err_set(err, ERR_LAYER_CONNECTION, LISTENER_ERR_FILE,
			"read %s: %s", path, strerror(errno));
		return NULL;
	}
	text = mem_calloc(CREDENTIAL_SIZE_MAX_BYTES, 1);
	size = fread(text, 1, CREDENTIAL_SIZE_MAX_BYTES - 1, file);
	if (!size) {
		err_set(err, ERR_LAYER_CONNECTION, LISTENER_ERR_FILE,
			"read %s: %s", path,
			ferror(file) ? strerror(errno) : "empty file");
		free(text);
		text = NULL;
	}
	fclose(file);
	return text;
}

static void on_library_message(void *context, const char *format, va_list args)
{
	listener_t *listener = context;

	vsnprintf(listener->error, sizeof(listener->error), format, args);
	listener->error[strcspn(listener->error, "\r\n")] = '\0';
}

static bool start_daemon(listener_t *listener, const listener_conf_t *conf,
			 int fd, char *certificate, char *key, err_t *err)
{
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
			     MHD_USE_ERROR_LOG;
	struct MHD_OptionItem options[OPTIONS_MAX] = {
		{ MHD_OPTION_EXTERNAL_LOGGER, (intptr_t)on_library_message,
		  listener },
		{ MHD_OPTION_LISTEN_SOCKET, fd, NULL },
		{ MHD_OPTION_CONNECTION_LIMIT, conf->connections_max, NULL },
		{ MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_TIMEOUT_S, NULL },
		{ MHD_OPTION_CONNECTION_MEMORY_LIMIT, LISTENER_CONNECTION_BYTES,
		  NULL },
		{ MHD_OPTION_NOTIFY_COMPLETED, (intptr_t)exchange_on_completed,
		  listener },
		{ MHD_OPTION_URI_LOG_CALLBACK, (intptr_t)exchange_on_uri,
		  listener },
		{ MHD_OPTION_NOTIFY_CONNECTION, (intptr_t)callers_on_connection,
		  listener },
		{ MHD_OPTION_END, 0, NULL },
	};
	struct MHD_OptionItem tls[] = {
		{ MHD_OPTION_HTTPS_MEM_CERT, 0, certificate },
		{ MHD_OPTION_HTTPS_MEM_KEY, 0, key },
		{ MHD_OPTION_END, 0, NULL },
	};

	if (certificate)
		flags |= MHD_USE_TLS;
	else
		tls[0].option = MHD_OPTION_END;
	listener->daemon =
		MHD_start_daemon(flags, 0, NULL, NULL, exchange_on_access,
				 listener, MHD_OPTION_ARRAY, options,
				 MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
	if (listener->daemon)
		return true;
	return err_set(err, ERR_LAYER_CONNECTION, LISTENER_ERR_START,
		       "listen on %s%s%s%s%s: %s%s", conf->address,
		       certificate ? " with certificate " : "",
		       certificate ? conf->certificate : "",
		       certificate ? " and key " : "",
		       certificate ? conf->key : "",
		       listener->error[0] ? listener->error : "cannot start",
		       certificate ? " Both must be PEM, and the key must "
				     "match the certificate."
				   : "");
}

static void start_watchers(listener_t *listener)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(listener->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	ev_io_init(&listener->readable, on_readable, info->epoll_fd, EV_READ);
	listener->readable.data = listener;
	ev_io_start(listener->loop, &listener->readable);
	ev_init(&listener->timeout, on_timeout);
	listener->timeout.data = listener;
	ev_prepare_init(&listener->before_wait, on_before_wait);
	listener->before_wait.data = listener;
	ev_prepare_start(listener->loop, &listener->before_wait);
	slow_callers_start(listener);
}

/* Reads certificate and key, opens the socket and starts the library. */
static bool start(listener_t *listener, const listener_conf_t *conf, err_t *err)
{
	bool tls = conf->certificate && conf->certificate[0];
	char *certificate = NULL, *key = NULL;
	bool started = false;
	int fd = -1;

	if (tls && !(certificate = read_credential(conf->certificate, err)))
		goto done;
	if (tls && !(key = read_credential(conf->key ? conf->key : "", err)))
		goto done;
	fd = open_socket(conf, err);
	if (fd < 0)
		goto done;
	started = start_daemon(listener, conf, fd, certificate, key, err);
	if (started) {
		struct sockaddr_in address = { 0 };
		socklen_t size = sizeof(address);

		getsockname(fd, (struct sockaddr *)&address, &size);
		listener->port = ntohs(address.sin_port);
	} else {
		close(fd);
	}

done:
	free(certificate);
	if (key)
		explicit_bzero(key, CREDENTIAL_SIZE_MAX_BYTES);
	free(key);
	return started;
}

listener_t *listener_create(struct ev_loop *loop, const listener_conf_t *conf,
			    const listener_handler_t *handler, err_t *err)
{
	listener_t *listener = mem_calloc(1, sizeof(*listener));

	listener->loop = loop;
	listener->handler = *handler;
	listener->kept_max = conf->kept_max;
	listener->timeouts = default_timeouts;
	if (!start(listener, conf, err)) {
		free(listener);
		return NULL;
	}
	start_watchers(listener);
	return listener;
}

void listener_destroy(listener_t *listener)
{
	exchange_t *exchange, *next;

	if (!listener)
		return;
	/* Sends the replies that are complete. */
	run_daemon(listener);
	/*
	 * Resumes all connections: the library cannot stop while connections
	 * are suspended. Requests that arrive from now on are not begun, since
	 * they would be suspended.
	 */
	listener->closing = true;
	DL_FOREACH_SAFE (listener->exchanges, exchange, next)
		exchange_abort(exchange);
	run_daemon(listener);
	ev_io_stop(listener->loop, &listener->readable);
	ev_timer_stop(listener->loop, &listener->timeout);
	ev_prepare_stop(listener->loop, &listener->before_wait);
	slow_callers_stop(listener);
	callers_drop_unsent(listener);
	listener->keeps_unsent = false;
	MHD_stop_daemon(listener->daemon);
	free(listener);
}

void listener_keep_unsent(listener_t *listener)
{
	if (listener)
		listener->keeps_unsent = true;
}

bool listener_has_requests(listener_t *listener)
{
	if (!listener)
		return false;
	return listener->exchanges ||
	       (listener->keeps_unsent && callers_have_unsent(listener));
}

size_t listener_reply_bytes(const listener_t *listener)
{
	return listener ? listener->reply_bytes : 0;
}

void listener_set_timeouts(listener_t *listener,
			   const listener_timeouts_t *timeouts)
{
	listener->timeouts = *timeouts;
}

uint16_t listener_port(const listener_t *listener)
{
	return listener->port;
}

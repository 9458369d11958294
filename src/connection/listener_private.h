/**
 * @file listener_private.h
 * Shared by listener.c (daemon, sockets) and exchange.c (one request).
 */
#ifndef CONNECTION_LISTENER_PRIVATE_H
#define CONNECTION_LISTENER_PRIVATE_H

#include <microhttpd.h>

#include "connection/listener.h"

enum {
	/* Idle time of a connection outside of a running exchange. */
	CONNECTION_TIMEOUT_S = 60,
	/*
	 * A refused body up to this size is read and discarded, because
	 * closing a socket with unread data resets the connection and can
	 * destroy the reply on its way. The largest prompts are about 4 MiB.
	 */
	DISCARD_MAX_BYTES = 8 * 1024 * 1024
};

struct listener {
	struct MHD_Daemon *daemon;
	struct ev_loop *loop;
	ev_io readable;
	ev_timer timeout;
	ev_prepare before_wait;
	listener_handler_t handler;
	exchange_t *exchanges;
	bool run_pending; /* a connection was resumed */
	bool running; /* inside MHD_run() */
	uint16_t port;
	char error[ERR_MESSAGE_SIZE_BYTES]; /* last message of the library */
};

struct exchange {
	listener_t *listener;
	struct MHD_Connection *connection;
	char *path;
	char *query; /* inside path */
	char *method;
	void *user;
	bool started; /* on_request was called */
	bool completed; /* the request was read whole */
	bool suspended;
	bool queued; /* the reply was given to the library */
	bool streaming;
	bool ended;
	bool aborted;
	struct MHD_Response *reply;
	int status;
	char *data; /* reply bytes not taken yet: [start, start + size) */
	size_t start, size, capacity;
	int64_t progress_us;
	ev_io leaving; /* readable while suspended: the caller may have left */
	ev_timer leaving_poll;
	exchange_t *prev, *next;
};

/** Callbacks of the library. */
void *exchange_on_uri(void *context, const char *uri,
		      struct MHD_Connection *connection);
enum MHD_Result exchange_on_access(void *context,
				   struct MHD_Connection *connection,
				   const char *url, const char *method,
				   const char *version, const char *data,
				   size_t *size, void **exchange);
void exchange_on_completed(void *context, struct MHD_Connection *connection,
			   void **exchange,
			   enum MHD_RequestTerminationCode code);

#endif

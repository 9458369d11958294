/**
 * @file listener_private.h
 * Structs shared by listener.c (HTTP daemon, sockets) and exchange.c (one
 * request and its reply).
 */
#ifndef CONNECTION_LISTENER_PRIVATE_H
#define CONNECTION_LISTENER_PRIVATE_H

#include <microhttpd.h>

#include "connection/listener.h"

enum {
	/*
	 * Idle time after which a connection is closed between exchanges, or
	 * while a request is received.
	 */
	CONNECTION_TIMEOUT_S = 60,
	/*
	 * A refused body up to this size is read and discarded, because
	 * closing a socket with unread data resets the connection, which can
	 * destroy the reply in transit. The largest prompts are about 4 MiB.
	 */
	DISCARD_MAX_BYTES = 8 * 1024 * 1024
};

/* What a connection waits for. */
typedef enum {
	CALLER_IDLE, /* the next request */
	CALLER_SENDS_HEAD, /* the rest of the headers */
	CALLER_SENDS_BODY, /* the rest of the body */
	CALLER_WAITS /* the answer */
} caller_phase_t;

/* How much of what was sent to a caller is not confirmed, and since when. */
typedef struct {
	int bytes;
	int64_t since_us;
} progress_t;

/* A connection, with or without an exchange. */
typedef struct caller {
	int fd;
	caller_phase_t phase;
	int64_t since_us; /* when the phase began */
	progress_t progress; /* as of the last check for unsent data */
	uint64_t request_bytes; /* heads and bodies of its requests so far */
	struct caller *prev, *next;
} caller_t;

/* A connection that the library has closed while data was on the way. */
typedef struct unsent {
	int fd; /* a duplicate, which keeps the socket */
	progress_t progress;
	struct unsent *prev, *next;
} unsent_t;

/* HTTP server; the library is libmicrohttpd. */
struct listener {
	struct MHD_Daemon *daemon;
	struct ev_loop *loop;
	ev_io readable;
	ev_timer timeout;
	ev_prepare before_wait;
	listener_handler_t handler;
	exchange_t *exchanges;
	size_t reply_bytes; /* memory of their replies */
	caller_t *callers; /* all connections */
	int32_t caller_count;
	int32_t kept_max; /* see listener_conf_t */
	bool keeps_unsent;
	unsent_t *unsent; /* if keeps_unsent; as of the last check */
	size_t unsent_count;
	listener_timeouts_t timeouts;
	ev_timer check; /* closes the connections of slow callers */
	int64_t checked_us;
	bool run_pending; /* a connection was resumed: call MHD_run() */
	bool running; /* inside MHD_run() */
	bool closing; /* no request begins any more */
	uint16_t port;
	char error[ERR_MESSAGE_SIZE_BYTES]; /* last error of the library */
};

/* One request and its reply. */
struct exchange {
	listener_t *listener;
	struct MHD_Connection *connection;
	char *target; /* path and query as sent */
	char *path;
	char *query; /* points into the memory of path */
	char *method;
	void *user; /* result of on_request */
	bool started; /* on_request was called */
	bool completed; /* the whole request was read */
	bool suspended; /* the library ignores the connection */
	bool queued; /* the library has the reply */
	bool streaming; /* the reply is streamed */
	bool ended; /* the streamed reply gets no more data */
	bool aborted;
	bool is_last; /* the connection is closed after the reply */
	size_t head_bytes; /* request line and headers */
	size_t copied_bytes; /* of headers, of which the library has a copy */
	size_t record_count; /* headers, cookies and parameters of the query */
	uint64_t body_bytes; /* read so far */
	size_t unread_bytes; /* what the library may hold of next requests */
	struct MHD_Response *reply; /* NULL: no reply yet */
	int status;
	/* Streamed reply: the library has not read [start, start + size). */
	char *data;
	size_t start, size, capacity;
	size_t whole_bytes; /* size of a reply that is not streamed */
	int64_t progress_us; /* see exchange_progress_us() */
	/*
	 * While the connection is suspended, a readable socket means that the
	 * caller disconnected or sent a next request. After a next request the
	 * timer polls the connection state.
	 */
	ev_io disconnect;
	ev_timer disconnect_poll;
	exchange_t *prev, *next;
};

/* callers.c */
/** Called by the library when a connection starts and ends. */
void callers_on_connection(void *listener_context,
			   struct MHD_Connection *connection, void **context,
			   enum MHD_ConnectionNotificationCode code);
/** Notes what a connection waits for from now on. */
void callers_set_phase(struct MHD_Connection *connection, caller_phase_t phase);
/** @return the caller of a connection; NULL: the connection has ended */
caller_t *callers_of_connection(struct MHD_Connection *connection);
/** @return true if a caller receives data that was sent to it, on a kept
 * connection or an open one */
bool callers_have_unsent(listener_t *listener);
/** Closes all kept connections, and prepares the end of the open ones. */
void callers_drop_unsent(listener_t *listener);
/** Starts to close the connections of slow callers. */
void slow_callers_start(listener_t *listener);
void slow_callers_stop(listener_t *listener);

/** Called by the library when a request line arrives. @return an exchange */
void *exchange_on_uri(void *context, const char *uri,
		      struct MHD_Connection *connection);

/**
 * Called by the library for a request: first after the headers, then for each
 * block of the body, and last with @p size 0.
 */
enum MHD_Result exchange_on_access(void *context,
				   struct MHD_Connection *connection,
				   const char *url, const char *method,
				   const char *version, const char *data,
				   size_t *size, void **exchange);

/** Called by the library when an exchange ended; frees the exchange. */
void exchange_on_completed(void *context, struct MHD_Connection *connection,
			   void **exchange,
			   enum MHD_RequestTerminationCode code);

/* exchange_room.c */
/** Notes the size of the head of a request, whose headers were read. */
void exchange_measure_head(exchange_t *exchange);
/** Notes how much was read of next requests, when this one was read. */
void exchange_measure_unread(exchange_t *exchange);

#endif

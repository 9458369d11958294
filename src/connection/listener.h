/**
 * @file listener.h
 * HTTP server on the event loop of one task, built on libmicrohttpd.
 *
 * An exchange is one request of a caller and its reply. The reply is sent
 * either whole (exchange_reply()) or as a stream (exchange_stream(),
 * exchange_write(), exchange_end()). The exchange buffers a streamed reply; the
 * code that writes the reply stops while exchange_pending_bytes() is high and
 * continues on on_drained.
 */
#ifndef CONNECTION_LISTENER_H
#define CONNECTION_LISTENER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

typedef struct listener listener_t;
typedef struct exchange exchange_t;

enum {
	/**
	 * Memory of a connection: the head of the request, a record for each of
	 * its headers, what was read of its body and of next requests (up to
	 * half of this), and the head of the reply. Memory that the first
	 * request does not need is not touched; before each further one all of
	 * it is cleared.
	 */
	LISTENER_CONNECTION_BYTES = 96 * 1024
};

/** Codes of ERR_LAYER_CONNECTION that the listener reports. */
typedef enum {
	LISTENER_ERR_ADDRESS = 1, /**< address malformed or cannot be bound */
	LISTENER_ERR_FILE, /**< certificate or key cannot be read */
	LISTENER_ERR_START /**< TLS key refused, or out of resources */
} listener_err_t;

/** Configuration of a listener. */
typedef struct {
	const char *address; /**< IPV4:PORT; port 0 chooses a free port */
	const char *certificate; /**< PEM file; empty or NULL: no TLS */
	const char *key; /**< PEM file with the private key of certificate */
	bool shared; /**< other listeners of the process bind the same port */
	int32_t connections_max; /**< largest number of open connections */
	/** While more connections are open, each is closed after its reply,
	 * which bounds the memory of idle ones; 0: none is closed for this. */
	int32_t kept_max;
} listener_conf_t;

/**
 * Longest times of callers, each for the whole of what they do, so that a
 * caller that sends a byte now and then keeps no connection. 0: no limit.
 */
typedef struct {
	int64_t idle_ms; /**< between two requests */
	int64_t head_ms; /**< from the request line to the end of the headers */
	int64_t body_ms; /**< for a body */
} listener_timeouts_t;

/** Header of a reply. */
typedef struct {
	const char *name;
	const char *value;
} reply_header_t;

/**
 * Callbacks of a listener, run on its loop. on_request, on_body, on_drained and
 * on_close may be NULL.
 */
typedef struct {
	/**
	 * Called when the headers of a request arrived, before its body is
	 * read. A reply sent from this callback refuses the body.
	 * @return the @p user argument of the other callbacks of this exchange
	 */
	void *(*on_request)(void *context, exchange_t *exchange);
	/** Receives a block of the request body. */
	void (*on_body)(void *user, const void *data, size_t size);
	/** Called when the buffer of a streamed reply became empty. */
	void (*on_drained)(void *user);
	/** Called when the body is complete; the reply may be sent later. */
	void (*on_complete)(void *user);
	/**
	 * Called from the loop for every exchange when the exchange ended; the
	 * exchange is invalid afterwards.
	 * @param sent true if the whole reply was passed to the network
	 */
	void (*on_close)(void *user, bool sent);
	void *context;
} listener_handler_t;

/** @return a listener that accepts connections, or NULL and @p err. */
listener_t *listener_create(struct ev_loop *loop, const listener_conf_t *conf,
			    const listener_handler_t *handler, err_t *err);

/**
 * Prepares the end of the process: a connection that closes from now on is kept
 * while its caller receives data, until listener_destroy(); a bounded number of
 * them. Nothing for NULL.
 */
void listener_keep_unsent(listener_t *listener);

/**
 * @return true if a request is being read, waits for its reply, or has a reply
 * that its caller has not received, but receives (before
 * listener_keep_unsent(): that is not passed to the network); false for NULL
 */
bool listener_has_requests(listener_t *listener);

/** @return memory of replies that the network has not accepted; 0 for NULL */
size_t listener_reply_bytes(const listener_t *listener);

/**
 * Closes all connections after it has sent what their callers can take at once;
 * on_close is called for their exchanges.
 */
void listener_destroy(listener_t *listener);

/** Replaces the default times of callers. */
void listener_set_timeouts(listener_t *listener,
			   const listener_timeouts_t *timeouts);

/** @return the bound port. */
uint16_t listener_port(const listener_t *listener);

/** @return the method of the request, such as GET. */
const char *exchange_method(const exchange_t *exchange);

/** @return path and query as sent, with the '?' of an empty query. */
const char *exchange_target(const exchange_t *exchange);

/** @return the path without the query, as sent (not decoded). */
const char *exchange_path(const exchange_t *exchange);

/** @return the query without '?'; empty: the request has no query. */
const char *exchange_query(const exchange_t *exchange);

/** @return the value of a request header; NULL: no such header. */
const char *exchange_header(const exchange_t *exchange, const char *name);

/** Handles one header. @return false to skip the remaining headers */
typedef bool (*exchange_each_header_t)(void *context, const char *name,
				       const char *value);

/** Calls @p each for the request headers in the order of the request. */
void exchange_headers(const exchange_t *exchange, exchange_each_header_t each,
		      void *context);

/** @return Content-Length; 0: no body, -1: a body of unknown length. */
int64_t exchange_body_bytes(const exchange_t *exchange);

/**
 * @return bytes that the status line and the headers of a reply may have. What
 * the library holds of this request and of next ones on the connection takes
 * from the same memory. A reply beyond it is replaced by status 502.
 */
size_t exchange_reply_room_bytes(const exchange_t *exchange);

/** @return true if there is room for a reply of usual size: a request for which
 * there is none must be refused before it is run */
bool exchange_has_reply_room(const exchange_t *exchange);

/** @return true if there is room for a reply with these headers */
bool exchange_reply_fits(const exchange_t *exchange,
			 const reply_header_t *headers, size_t header_count);

/** The connection is closed after the reply, which says so. */
void exchange_set_last(exchange_t *exchange);

/** Sends a whole reply; the body is copied. A second reply is ignored. */
void exchange_reply(exchange_t *exchange, int status,
		    const reply_header_t *headers, size_t header_count,
		    const void *body, size_t size);

/** Starts a streamed reply. */
void exchange_stream(exchange_t *exchange, int status,
		     const reply_header_t *headers, size_t header_count);

/** Appends to a streamed reply; the data is copied. */
void exchange_write(exchange_t *exchange, const void *data, size_t size);

/** Ends a streamed reply after the data written so far. */
void exchange_end(exchange_t *exchange);

/** Closes the connection without completing the reply. */
void exchange_abort(exchange_t *exchange);

/**
 * @return number of reply bytes that the network has not accepted yet; at least
 * 1 while the library still holds data of a streamed reply
 */
size_t exchange_pending_bytes(const exchange_t *exchange);

/**
 * @return monotonic time in microseconds when the network last accepted data of
 * the reply, or when the reply started, or when the first byte was written to
 * an empty buffer, whichever is latest
 */
int64_t exchange_progress_us(const exchange_t *exchange);

#endif

/**
 * @file listener.h
 * HTTP server on the loop of one task, by libmicrohttpd.
 *
 * An exchange is one request of a caller and its reply. The reply is either
 * whole (exchange_reply()) or streamed (exchange_stream(), exchange_write(),
 * exchange_end()). A streamed reply is buffered here; its user stops writing
 * while exchange_pending_bytes() is high and continues on on_drained.
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

/** Codes of ERR_LAYER_CONNECTION that the listener reports. */
typedef enum {
	LISTENER_ERR_ADDRESS = 1, /**< malformed, or cannot be bound */
	LISTENER_ERR_FILE, /**< certificate or key cannot be read */
	LISTENER_ERR_START /**< TLS key refused, or no resources */
} listener_err_t;

typedef struct {
	const char *address; /**< ADDRESS:PORT; port 0 chooses a free one */
	const char *certificate; /**< PEM file; empty or NULL: no TLS */
	const char *key; /**< PEM file */
	bool shared; /**< several listeners of this process share the port */
	int32_t connections_max;
} listener_conf_t;

/** One header of a reply. */
typedef struct {
	const char *name;
	const char *value;
} reply_header_t;

/** Called on the loop of the listener; the first three may be NULL. */
typedef struct {
	/**
	 * The headers of a request arrived, and nothing of its body was read.
	 * A reply given here refuses the body.
	 * @return the user's object of this exchange, passed to the others
	 */
	void *(*on_request)(void *context, exchange_t *exchange);
	/** Part of the body. */
	void (*on_body)(void *user, const void *data, size_t size);
	/** The reply buffer became empty. */
	void (*on_drained)(void *user);
	/** The body is complete; reply now or later. */
	void (*on_complete)(void *user);
	/**
	 * The exchange ended and is invalid afterwards. Called for every
	 * exchange, from the loop.
	 * @param sent whether the whole reply was handed to the network
	 */
	void (*on_close)(void *user, bool sent);
	void *context;
} listener_handler_t;

listener_t *listener_create(struct ev_loop *loop, const listener_conf_t *conf,
			    const listener_handler_t *handler, err_t *err);

/** Closes all connections; on_close is called for their exchanges. */
void listener_destroy(listener_t *listener);

/** @return the bound port. */
uint16_t listener_port(const listener_t *listener);

const char *exchange_method(const exchange_t *exchange);

/** @return the path without the query, as sent (not decoded). */
const char *exchange_path(const exchange_t *exchange);

/** @return the query without '?'; empty if there is none. */
const char *exchange_query(const exchange_t *exchange);

/** @return the value of a request header, or NULL. */
const char *exchange_header(const exchange_t *exchange, const char *name);

/** Handles one header; false ends the walk. */
typedef bool (*exchange_each_header_t)(void *context, const char *name,
				       const char *value);
/** Walks over the request headers in the order in which they were sent. */
void exchange_headers(const exchange_t *exchange, exchange_each_header_t each,
		      void *context);
/** @return Content-Length; 0 if there is no body, -1 if it is not stated. */
int64_t exchange_body_bytes(const exchange_t *exchange);

/** Sends a whole reply; the body is copied. */
void exchange_reply(exchange_t *exchange, int status,
		    const reply_header_t *headers, size_t header_count,
		    const void *body, size_t size);

/** Starts a streamed reply. */
void exchange_stream(exchange_t *exchange, int status,
		     const reply_header_t *headers, size_t header_count);

/** Appends to a streamed reply. */
void exchange_write(exchange_t *exchange, const void *data, size_t size);

/** Ends a streamed reply after what was written. */
void exchange_end(exchange_t *exchange);

/** Closes the connection without completing the reply. */
void exchange_abort(exchange_t *exchange);

/** @return bytes of the reply that the caller has not taken yet. */
size_t exchange_pending_bytes(const exchange_t *exchange);

/**
 * @return when the network last took a part of the reply, or when a part
 * was first waiting; monotonic microseconds.
 */
int64_t exchange_progress_us(const exchange_t *exchange);

#endif

/**
 * @file client.h
 * Outgoing HTTP on the loop of one task, by libcurl multi.
 */
#ifndef CONNECTION_CLIENT_H
#define CONNECTION_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

typedef struct client client_t;
typedef struct client_call client_call_t;

enum {
	/** All header lines of one answer, trailers included. */
	CLIENT_HEAD_MAX_BYTES = 64 * 1024
};

/** What a call sends. Strings and the body are copied. */
typedef struct {
	const char *method;
	const char *url;
	const char *target; /**< path and query as sent; NULL: those of url */
	const char *const *headers; /**< "Name: value", NULL-terminated */
	const void *body; /**< NULL: no body */
	size_t body_size_bytes;
	char *body_to_free; /**< instead of body, not copied; freed by the call
			     */
	const char *ca_file; /**< https: trusted certificate; NULL: system's */
	int64_t connect_timeout_ms;
	int64_t idle_timeout_ms; /**< silence after which the call fails */
	int64_t total_timeout_ms; /**< 0: none */
	/**
	 * Sends at most once: uses a new connection, because libcurl repeats
	 * a request by itself when a reused connection turns out to be closed.
	 */
	bool at_most_once;
	/**
	 * The connection breaks when the machine of the peer acknowledges
	 * nothing for about this long, whether or not it owes an answer;
	 * 0: only what is sent must be acknowledged, in the system's time.
	 */
	int64_t peer_silence_ms;
	const char *ca_path; /**< PEM file that vouches for https; or NULL */
} client_request_t;

typedef enum {
	CLIENT_OK, /**< an HTTP response was received whole */
	CLIENT_CONNECT_FAILED, /**< no byte was sent */
	CLIENT_TIMED_OUT,
	CLIENT_BROKEN, /**< failed after bytes may have been sent */
	CLIENT_CANCELLED
} client_end_t;

typedef enum {
	CLIENT_CONTINUE,
	CLIENT_PAUSE,
	CLIENT_STOP /**< ends the call with CLIENT_BROKEN */
} client_flow_t;

/**
 * Called on the loop of the client. Any of them may be NULL. Headers of more
 * than CLIENT_HEAD_MAX_BYTES end the call with CLIENT_BROKEN.
 */
typedef struct {
	/** One response header, without the line end. */
	void (*on_header)(void *context, const char *name, const char *value);
	/** Status line and headers are complete. */
	void (*on_status)(void *context, int status);
	/**
	 * Part of the body. CLIENT_PAUSE stops further data after this part
	 * (which counts as taken) until client_call_resume().
	 */
	client_flow_t (*on_data)(void *context, const void *data, size_t size);
	/** The call ended; the handle is invalid afterwards. */
	void (*on_end)(void *context, client_end_t end, int status);
	/** The call is freed, however it ended; called last. */
	void (*on_free)(void *context);
	void *context;
} client_handler_t;

client_t *client_create(struct ev_loop *loop, err_t *err);

/** Cancels every call without calling its handler. */
void client_destroy(client_t *client);

/** Starts a call; the handler is never called before this returns. */
client_call_t *client_call(client_t *client, const client_request_t *request,
			   const client_handler_t *handler);

/** Continues a paused call; on_data may be called before it returns. */
void client_call_resume(client_call_t *call);

/** Ends a call without calling its handler again. */
void client_call_cancel(client_call_t *call);

/**
 * Starts a call whose body is collected. A body above the limit ends the call
 * with CLIENT_BROKEN.
 */
typedef void (*client_done_t)(void *context, client_end_t end, int status,
			      const char *body, size_t size);
client_call_t *client_fetch(client_t *client, const client_request_t *request,
			    size_t limit_bytes, client_done_t done,
			    void *context);

#endif

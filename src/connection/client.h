/**
 * @file client.h
 * Outgoing HTTP client on the event loop of one task, built on the multi
 * interface of libcurl.
 */
#ifndef CONNECTION_CLIENT_H
#define CONNECTION_CLIENT_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/err.h"

/** HTTP client: the calls of one event loop. */
typedef struct client client_t;

/**
 * Call: one HTTP request and its response. A call that ends early resets its
 * connection, so that nothing of its request is delivered after its end.
 */
typedef struct client_call client_call_t;

enum {
	/** Largest size of all header lines of a response, with trailers. */
	CLIENT_HEADERS_MAX_BYTES = 64 * 1024
};

/**
 * Request and timeouts of a call. client_call() copies the strings and `body`,
 * but not `body_to_free`.
 */
typedef struct {
	const char *method;
	const char *url;
	const char *target; /**< path and query to send; NULL: those of url */
	const char *const *headers; /**< "Name: value", NULL-terminated */
	const void *body; /**< NULL: no body, or see body_to_free */
	size_t body_size_bytes;
	/**
	 * Request body on the heap, sent without a copy; the call frees the
	 * memory. NULL: none. If set, `body` must be NULL.
	 */
	char *body_to_free;
	/** PEM file with the CA for https; NULL: the CAs of the system. */
	const char *ca_file;
	int64_t connect_timeout_ms; /**< 0: the default of libcurl */
	/** Time without received bytes after which a call fails; 0: none. */
	int64_t idle_timeout_ms;
	int64_t total_timeout_ms; /**< limit of the whole call; 0: none */
	/**
	 * Time after which the kernel drops what it has not delivered of the
	 * request, for calls without total_timeout_ms that their owner cancels:
	 * a process that has stopped cannot. 0: none.
	 */
	int64_t unsent_timeout_ms;
	/**
	 * Sends the request at most once, on a new connection: libcurl repeats
	 * a request by itself when a reused connection turns out to be closed.
	 */
	bool at_most_once;
	/**
	 * Ends the connection when the VM of the server acknowledges no packet
	 * for about this long, also while the client only waits for a
	 * response. 0: only sent data must be acknowledged, within the
	 * default timeout of the operating system. A value from 1 to 999 is
	 * not allowed: probes are sent once a second.
	 */
	int64_t peer_silence_ms;
	bool connect_only; /**< opens and closes a connection, sends nothing */
	const char *ca_path; /**< like ca_file, and replaces it if not NULL */
} client_request_t;

/** How a call ended. */
typedef enum {
	CLIENT_OK, /**< the whole HTTP response was received */
	CLIENT_CONNECT_FAILED, /**< no byte of the request was sent */
	CLIENT_TIMED_OUT, /**< timed out after bytes were sent */
	CLIENT_BROKEN, /**< failed, and bytes may have been sent */
	CLIENT_CANCELLED, /**< reserved: on_end does not run after a cancel */
	/** The server sent bytes that are no HTTP answer, for example with a
	 * status outside 100 to 599. */
	CLIENT_INVALID
} client_end_t;

/** What a call does after on_data handled a block of the body. */
typedef enum {
	CLIENT_CONTINUE,
	CLIENT_PAUSE, /**< receives nothing until client_call_resume() */
	CLIENT_STOP /**< ends the call with CLIENT_BROKEN */
} client_flow_t;

/**
 * Callbacks of a call, run on the loop of the client; each may be NULL. Headers
 * of more than CLIENT_HEADERS_MAX_BYTES end a call with CLIENT_BROKEN.
 */
typedef struct {
	/** Receives one response header; @p value has no line end. */
	void (*on_header)(void *context, const char *name, const char *value);
	/** Called when the status line and the headers are complete. */
	void (*on_status)(void *context, int status);
	/**
	 * Receives a block of the response body. CLIENT_PAUSE accepts this
	 * block and stops further data until client_call_resume().
	 */
	client_flow_t (*on_data)(void *context, const void *data, size_t size);
	/**
	 * Called when a call ended; its handle is invalid from here on.
	 * @param status HTTP status; 0: no valid response was received
	 */
	void (*on_end)(void *context, client_end_t end, int status);
	/** Called last, when a call is freed, however the call ended. */
	void (*on_free)(void *context);
	void *context;
} client_handler_t;

/** @return a client on @p loop, or NULL and @p err. */
client_t *client_create(struct ev_loop *loop, err_t *err);

/** Cancels all calls; of their callbacks only on_free is run. */
void client_destroy(client_t *client);

/** Starts a call; no callback runs before this function returns. */
client_call_t *client_call(client_t *client, const client_request_t *request,
			   const client_handler_t *handler);

/** Continues a paused call; on_data may run before this function returns. */
void client_call_resume(client_call_t *call);

/** Ends a call; of its callbacks only on_free is still run. */
void client_call_cancel(client_call_t *call);

/**
 * Receives the result of client_fetch().
 * @param status HTTP status; 0: no response was received
 * @param body   received body with a NUL after its @p size bytes, valid until
 * the function returns
 */
typedef void (*client_done_t)(void *context, client_end_t end, int status,
			      const char *body, size_t size);

/**
 * Starts a call that collects the response body in memory. A body of more than
 * @p limit_bytes ends the call with CLIENT_BROKEN.
 */
client_call_t *client_fetch(client_t *client, const client_request_t *request,
			    size_t limit_bytes, client_done_t done,
			    void *context);

#endif

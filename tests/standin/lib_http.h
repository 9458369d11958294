/**
 * @file lib_http.h
 * Code common to all stand-ins: an HTTP server with one thread per
 * connection, command-line options, replies and fault injection.
 */
#ifndef STANDIN_LIB_HTTP_H
#define STANDIN_LIB_HTTP_H

#include <jansson.h>
#include <microhttpd.h>
#include <popt.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One HTTP request, received completely. */
typedef struct {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	char *body; /**< NULL if empty */
	size_t body_size_bytes;
	size_t capacity_bytes; /**< allocated size of body */
} http_request_t;

/** Answers a request; MHD_NO closes the connection without an answer. */
typedef enum MHD_Result (*http_handler_t)(http_request_t *request);

/** True when the process stops; waiting content readers must check it. */
extern volatile bool http_stopping;

/** Options common to all stand-ins, to include in a popt table. */
extern struct poptOption http_options[];

/** Parses the options; exits with status 2 if they are invalid. */
void http_parse_options(int argc, const char **argv,
			struct poptOption *options);

/**
 * Serves until SIGTERM or SIGINT. To be called before other threads start,
 * since it blocks these signals for them.
 * @param who   name of the process in the history and in error messages
 * @param start called when the history is open, to start threads; or NULL
 * @param stop  called when http_stopping is set, to wake content readers; or
 *              NULL
 * @return exit status of the process
 */
int http_serve(const char *who, http_handler_t handler, void (*start)(void),
	       void (*stop)(void));

/** Replies with a copy of @p body as application/json. */
enum MHD_Result http_reply(http_request_t *request, int status,
			   const char *body);

/** Replies with @p json and releases the reference. */
enum MHD_Result http_reply_json(http_request_t *request, int status,
				json_t *json);

/** Replies 503 with X-Not-Run: 1: the request was refused and did not run. */
enum MHD_Result http_refuse(http_request_t *request);

/**
 * Replies with a body of unknown length.
 * @param reader, context, release as for MHD_create_response_from_callback()
 */
enum MHD_Result http_stream(http_request_t *request, const char *type,
			    MHD_ContentReaderCallback reader, void *context,
			    MHD_ContentReaderFreeCallback release);

/** @return the bearer token, an empty string if the request has none. */
const char *http_bearer(http_request_t *request);

/** @return a query argument, NULL if absent. */
const char *http_argument(http_request_t *request, const char *name);
/** @return a query argument as an integer, @p otherwise if absent. */
int64_t http_argument_integer(http_request_t *request, const char *name,
			      int64_t otherwise);

/** @return the parsed body, NULL if the body is not a JSON object. */
json_t *http_body_json(const http_request_t *request);

/**
 * @return member @p key, an integer or a string of digits; @p otherwise if
 * absent or of another type
 */
int64_t http_json_integer(const json_t *json, const char *key,
			  int64_t otherwise);
/** @return member @p key, @p otherwise if absent or not a string. */
const char *http_json_string(const json_t *json, const char *key,
			     const char *otherwise);

/** Sets @p target to member @p key of a fault request, if present. */
void http_read_fault(const json_t *fault, const char *key, int64_t *target);

/**
 * Uses up one of the faults that remain to be injected.
 * @return true if the fault applies now, false if @p count is 0
 */
bool http_use_fault(int64_t *count);

/** Sleeps; returns early when http_stopping is set. */
void http_sleep_ms(int64_t ms);

/** @return a new incarnation, a random positive number. */
int64_t http_incarnation(void);

#endif

/**
 * @file lib_http.h
 * What the stand-ins share: an HTTP server with one thread for each
 * connection, options, and replies.
 */
#ifndef STANDIN_LIB_HTTP_H
#define STANDIN_LIB_HTTP_H

#include <jansson.h>
#include <microhttpd.h>
#include <popt.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** One request; the body is complete. */
typedef struct {
	struct MHD_Connection *connection;
	const char *method;
	const char *path;
	char *body;
	size_t body_size_bytes;
	size_t capacity_bytes;
} http_request_t;

/** Answers a request; MHD_NO closes the connection without an answer. */
typedef enum MHD_Result (*http_handler_t)(http_request_t *request);

/** Set when the process stops; readers that wait have to look at it. */
extern volatile bool http_stopping;

/** Options of every stand-in, for its popt table. */
extern struct poptOption http_options[];

/** Reads the options; exits with 2 if they are wrong. */
void http_parse_options(int argc, const char **argv,
			struct poptOption *options);

/**
 * Serves until SIGTERM or SIGINT. Call before other threads start, since it
 * blocks the signals for them.
 * @param start called when the history is open; starts threads, or NULL
 * @param stop  called when http_stopping is set; wakes readers, or NULL
 * @return exit status
 */
int http_serve(const char *who, http_handler_t handler, void (*start)(void),
	       void (*stop)(void));

enum MHD_Result http_reply(http_request_t *request, int status,
			   const char *body);

/** Replies with @p json and releases it. */
enum MHD_Result http_reply_json(http_request_t *request, int status,
				json_t *json);

/** 503 with X-Not-Run: 1, a refusal before running. */
enum MHD_Result http_refuse(http_request_t *request);

/** Streams a reply; @p reader as for MHD_create_response_from_callback(). */
enum MHD_Result http_stream(http_request_t *request, const char *type,
			    MHD_ContentReaderCallback reader, void *context,
			    MHD_ContentReaderFreeCallback release);

/** @return the bearer token, empty without one. */
const char *http_bearer(http_request_t *request);

/** @return a query argument or NULL; @p otherwise if it is not a number. */
const char *http_argument(http_request_t *request, const char *name);
int64_t http_argument_integer(http_request_t *request, const char *name,
			      int64_t otherwise);

/** Parses the body; NULL if it is not a JSON object. */
json_t *http_body_json(const http_request_t *request);

/** @return member @p key as an integer, also if it is a string of digits. */
int64_t http_json_integer(const json_t *json, const char *key,
			  int64_t otherwise);
const char *http_json_string(const json_t *json, const char *key,
			     const char *otherwise);

/** Reads `key` of a fault order into @p target, if it is there. */
void http_read_fault(const json_t *fault, const char *key, int64_t *target);

/** Takes one from a counter of faults; false if it is 0. */
bool http_use_fault(int64_t *count);

void http_sleep_ms(int64_t ms);

/** @return a random positive number for an incarnation. */
int64_t http_incarnation(void);

#endif

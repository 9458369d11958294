/**
 * @file raw_server.h
 * A server on plain sockets, on the event loop of the test, that answers at
 * once, or while a request is still being sent, with any bytes, and then ends
 * the connection in any way.
 */
#ifndef TESTS_LIB_RAW_SERVER_H
#define TESTS_LIB_RAW_SERVER_H

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How a connection ends after the answer. */
typedef enum {
	RAW_RESETS, /**< with a reset; the rest of the request is not read */
	RAW_ENDS, /**< as a whole answer does; the request is read on */
	RAW_ENDS_UNREAD, /**< the same, but the request is not read on */
	RAW_STAYS /**< not at all; the request is read on */
} raw_end_t;

typedef struct {
	const char *head; /**< status line and headers; NULL: answers nothing */
	const char *body; /**< begin of the body; NULL: none */
	size_t filler_bytes; /**< of the body, after that */
	bool is_chunked; /**< the body is one chunk, and RAW_ENDS adds the last
			  */
	bool is_early; /**< comes when the head of the request has come, and
			* nothing more is read before the end */
	int64_t end_ms; /**< time between the answer and the end */
	raw_end_t end;
} raw_answer_t;

enum { RAW_CONNECTIONS_MAX = 64 };

typedef struct raw_server {
	struct ev_loop *loop;
	ev_io listening;
	int port;
	/** Answers to the requests, in order; the last is repeated. */
	const raw_answer_t *answers;
	size_t answer_count;
	size_t arrivals; /**< requests whose head has come, without those
			  * that cancel another, with DELETE */
	struct raw_connection {
		struct raw_server *server;
		const raw_answer_t *answer; /**< NULL: no head has come */
		ev_io readable;
		ev_timer end;
		char head[20000];
		size_t size; /**< of head */
		size_t received_bytes, expected_bytes;
		bool is_open, is_answered;
	} connections[RAW_CONNECTIONS_MAX];
	size_t connection_count;
} raw_server_t;

void raw_server_start(raw_server_t *server, struct ev_loop *loop);
/** Sets the answers of the next connections, and forgets earlier ones. */
void raw_server_script(raw_server_t *server, const raw_answer_t *answers,
		       size_t count);
void raw_server_stop(raw_server_t *server);

#endif

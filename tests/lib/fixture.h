/**
 * @file fixture.h
 * A request task in a thread of its own, with a control task, a backend
 * server and a caller that the test plays on its own loop.
 */
#ifndef TESTS_LIB_FIXTURE_H
#define TESTS_LIB_FIXTURE_H

#include <ev.h>
#include <pthread.h>

#include "base/mailbox.h"
#include "connection/client.h"
#include "connection/listener.h"
#include "process/request_task.h"
#include "process/task_msg.h"

enum { FIXTURE_MESSAGES_MAX = 4096, FIXTURE_CALLS_MAX = 1024 };

typedef struct fixture fixture_t;

/** One request that the backend server received. */
typedef struct {
	fixture_t *fixture;
	exchange_t *exchange; /* NULL: closed */
	char *method, *path, *query, *body;
	size_t size;
	bool closed;
} server_call_t;

struct fixture {
	void *zmq;
	struct ev_loop *loop;
	request_task_t *task;
	pthread_t thread;
	mailbox_t *control;
	mailbox_sender_t *to_task;
	listener_t *server;
	client_t *client;
	char task_url[64], server_url[64];
	/* Messages of the request task, in order. */
	task_msg_t *messages[FIXTURE_MESSAGES_MAX];
	size_t message_count;
	/* What the server received, in order. */
	server_call_t calls[FIXTURE_CALLS_MAX];
	size_t call_count;
	/** Called when the server received a request whole. */
	void (*serve)(server_call_t *call, size_t index);
	/** Attempts that control sends before it refuses; 0: none. */
	uint32_t attempts_max;
	const char *dispatch_url; /* NULL: the server */
	refuse_msg_t refusal; /* after the last attempt */
	bool answer_actions; /* with TASK_MSG_ANSWER */
};

/** Limits that a test may change; see fixture.c for the document. */
typedef struct {
	int64_t memory_bytes, body_max_bytes;
	int32_t deadline_ms, stall_ms, idle_ms, max_in_flight;
	bool no_document, traced;
} fixture_conf_t;

void fixture_start(fixture_t *fixture, const fixture_conf_t *conf);
void fixture_stop(fixture_t *fixture);

/** Runs the loop for at most 5 ms. */
void fixture_step(fixture_t *fixture);

/** Runs the loop until @p done or for at most @p limit_ms. */
bool fixture_run(fixture_t *fixture, bool (*done)(fixture_t *fixture),
		 int64_t limit_ms);

/** @return the nth message of a type, from 0; waits for it up to 2 s. */
const task_msg_t *fixture_message(fixture_t *fixture, task_msg_type_t type,
				  size_t nth);

/** @return the nth call with the method, from 0; waits for it up to 2 s. */
server_call_t *fixture_server_call(fixture_t *fixture, const char *method,
				   size_t nth);

/** Sends a message to the request task. */
void fixture_send(fixture_t *fixture, task_msg_t *message);

/** Answer that a caller received. */
typedef struct {
	int status;
	client_end_t end;
	bool ended;
	char outcome[32], retry_after[16], content_type[64], request_id[128];
	char body[256 * 1024];
	size_t size;
	client_call_t *call;
} answer_t;

/** Starts a call of a caller with the right key. */
void fixture_call(fixture_t *fixture, answer_t *answer, const char *method,
		  const char *path, const char *header, const char *body);

/** Waits until the answer is complete, up to 5 s. */
void fixture_wait(fixture_t *fixture, answer_t *answer);

/** A stream of the server: SSE headers; a chunk; the end marker. */
void serve_stream(server_call_t *call);
void serve_chunk(server_call_t *call, const char *stream_id, int64_t offset,
		 const char *text, bool last);
void serve_done(server_call_t *call);
void serve_end(server_call_t *call);
void serve_reply(server_call_t *call, int status, const char *header,
		 const char *value, const char *body);

/** @return the stream id that the body or path of a call names; static. */
const char *serve_stream_id(const server_call_t *call);

#endif

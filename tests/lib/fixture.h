/**
 * @file fixture.h
 * A request task in a thread of its own. The test acts as its control task,
 * its backend server and its caller, all on the loop of the test.
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

/** One request that the test's backend server received. */
typedef struct {
	fixture_t *fixture;
	exchange_t *exchange; /**< NULL: closed */
	char *method, *target, *path, *query, *body;
	size_t size; /**< size of body in bytes */
	bool closed; /**< the exchange ended */
	size_t sent; /**< tokens that the test counts */
} server_call_t;

struct fixture {
	void *zmq; /**< ZeroMQ context */
	struct ev_loop *loop;
	request_task_t *task;
	pthread_t thread;
	mailbox_t *control; /**< receives as the control task */
	mailbox_sender_t *to_task;
	listener_t *server; /**< backend server */
	client_t *client; /**< callers */
	char task_url[64], server_url[64];
	/** Messages of the request task, in order. */
	task_msg_t *messages[FIXTURE_MESSAGES_MAX];
	size_t message_count;
	/** Requests that the server received, in order. */
	server_call_t calls[FIXTURE_CALLS_MAX];
	size_t call_count;
	/** Called when the server received a whole request; NULL: no reply. */
	void (*serve)(server_call_t *call, size_t index);
	/** Called when what was written of a streamed reply is sent; NULL: no
	 * more is written. */
	void (*serve_more)(server_call_t *call);
	/** Attempts that control dispatches before it refuses; 0: none. */
	uint32_t attempts_max;
	const char *dispatch_url; /**< NULL: server_url */
	refuse_msg_t refusal; /**< sent after the last attempt */
	bool answer_actions; /**< send TASK_MSG_ANSWER when an attempt
				  completes */
};

/** Settings of a test. */
typedef struct {
	int64_t memory_bytes, /**< memory budget; 0: 64 MiB */
		body_max_bytes; /**< largest request body; 0: 1 MiB */
	/* The times are limits of the class of the services; 0: 5000 ms. */
	int32_t deadline_ms, stall_ms, idle_ms,
		max_in_flight; /**< requests of the account; 0: no limit */
	bool no_document, /**< start without a configuration */
		traced; /**< record trace spans */
} fixture_conf_t;

void fixture_start(fixture_t *fixture, const fixture_conf_t *conf);
void fixture_stop(fixture_t *fixture);

/** Runs the loop for at most 5 ms. */
void fixture_step(fixture_t *fixture);

/**
 * Runs the loop until @p done returns true, or for @p limit_ms.
 * @param done NULL: runs for the whole time
 * @return false if the time ended first
 */
bool fixture_run(fixture_t *fixture, bool (*done)(fixture_t *fixture),
		 int64_t limit_ms);

/**
 * Waits for a message of the request task for up to 2 s.
 * @param nth number among the messages of this type, from 0
 * @return the message, or NULL if none arrived
 */
const task_msg_t *fixture_message(fixture_t *fixture, task_msg_type_t type,
				  size_t nth);

/**
 * Waits for a request at the backend server for up to 2 s.
 * @param nth number among the requests with this method, from 0
 * @return the request, or NULL if none arrived
 */
server_call_t *fixture_server_call(fixture_t *fixture, const char *method,
				   size_t nth);

/** Sends a message to the request task. */
void fixture_send(fixture_t *fixture, task_msg_t *message);

/** Answer that a caller received. */
typedef struct {
	int status;
	client_end_t end;
	bool ended; /**< the call ended; end and status are set */
	bool discards; /**< does not keep the body */
	char outcome[32], retry_after[16], content_type[64], request_id[128];
	char body[256 * 1024];
	size_t size; /**< size of body in bytes */
	client_call_t *call; /**< NULL: ended */
} answer_t;

/**
 * Starts a call of a caller with a valid key.
 * @param answer filled in as the answer arrives; must stay valid until the call
 * has ended
 * @param header another header, "Name: value"; NULL: none
 * @param body   NULL: none
 */
void fixture_call(fixture_t *fixture, answer_t *answer, const char *method,
		  const char *path, const char *header, const char *body);

/** Waits until the answer is complete; fails the test after 5 s. */
void fixture_wait(fixture_t *fixture, answer_t *answer);

/** Sends the headers of an SSE stream. */
void serve_stream(server_call_t *call);

/**
 * Sends a chunk of one token.
 * @param offset index of the token in the stream
 * @param last   sets a finish reason
 */
void serve_chunk(server_call_t *call, const char *stream_id, int64_t offset,
		 const char *text, bool last);

/** Sends the end marker and ends the stream. */
void serve_done(server_call_t *call);

/** Ends the stream without an end marker. */
void serve_end(server_call_t *call);

/**
 * Sends a whole reply.
 * @param header NULL: no header
 */
void serve_reply(server_call_t *call, int status, const char *header,
		 const char *value, const char *body);

/** @return the stream id in the body or path of a call; a static buffer. */
const char *serve_stream_id(const server_call_t *call);

#endif

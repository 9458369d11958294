/**
 * @file request.h
 * One request of a caller. Private to src/process/request*.c.
 *
 * A request is READING until its body is complete, WAITING while the control
 * task decides, RUNNING while an attempt is in flight, and ANSWERED once its
 * final answer was given. It is freed when its exchange closes; an action
 * that runs is kept until its outcome was reported.
 */
#ifndef PROCESS_REQUEST_H
#define PROCESS_REQUEST_H

#include <ev.h>
#include <uthash.h>

#include "base/mailbox.h"
#include "base/trace.h"
#include "connection/client.h"
#include "connection/listener.h"
#include "process/body_worker.h"
#include "process/budget.h"
#include "process/request_task.h"
#include "process/task_msg.h"
#include "request/parse.h"
#include "request/sse.h"
#include "request/stream.h"

enum {
	/*
	 * Memory of one request beside its body: reply buffer and one piece
	 * more (2 x 8 KiB), libcurl's buffer and the piece it holds while
	 * paused (2 x 8 KiB), the library's connection memory (16 KiB), and
	 * the request itself.
	 */
	REQUEST_RESERVE_BYTES = 56 * 1024,
	/* The upstream is paused at this size of the reply buffer. */
	REPLY_BUFFER_HIGH_BYTES = 8 * 1024,
	CONNECT_TIMEOUT_MS = 1000,
	/* Resumptions of one attempt without a new token in between. */
	RESUMES_MAX = 3,
	/* A lookup's answer up to this size is collected before it is sent. */
	COLLECT_MAX_BYTES = 64 * 1024,
	RETRY_AFTER_S = 1,
	/* A larger body is read by the worker; this one takes about 1 ms. */
	INLINE_BODY_MAX_BYTES = 32 * 1024,
	PASSED_HEADERS_MAX = 8,
	REQUEST_ID_SIZE_BYTES = NAME_SIZE_BYTES + 40
};

typedef enum {
	REQUEST_READING,
	REQUEST_WAITING,
	REQUEST_RUNNING,
	REQUEST_ANSWERED
} request_state_t;

/** Requests in flight of one account on this task. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	int32_t in_flight;
	UT_hash_handle hh;
} account_use_t;

typedef struct cancellation cancellation_t;
typedef struct request request_t;

struct request_task {
	settings_t settings;
	uint32_t index;
	uint64_t incarnation; /* of request ids */
	uint64_t last_number;
	struct ev_loop *loop;
	ev_timer tick;
	mailbox_t *mailbox;
	mailbox_sender_t *control;
	mailbox_t *parsed; /* finished jobs of the worker */
	char parsed_name[32];
	body_worker_t *worker;
	listener_t *listener;
	client_t *client;
	budget_t budget;
	document_t *document; /* NULL: no configuration yet */
	request_t *requests;
	account_use_t *accounts;
	cancellation_t *cancellations;
	bool draining;
	bool closing; /* messages are discarded */
	char text[SSE_EVENT_MAX_BYTES]; /* decoded text of one chunk */
};

/** A growing buffer whose memory is reserved in the budget. */
typedef struct {
	char *data;
	size_t size, capacity;
	bool overflow; /* the budget or the limit was reached; data is freed */
} collected_t;

struct request {
	request_task_t *task;
	exchange_t *exchange; /* NULL: the caller is gone */
	uint64_t number;
	char id[REQUEST_ID_SIZE_BYTES];
	request_kind_t kind;
	request_state_t state;
	bool chat;
	bool admitted;
	document_t *document;
	const account_conf_t *account;
	const service_conf_t *service;
	const class_conf_t *class_conf;
	account_use_t *use;
	int64_t reserved_bytes;
	int64_t received_us, deadline_us;
	ev_timer deadline;

	char *body;
	size_t body_size_bytes, body_expected_bytes;
	completion_t completion; /* models */
	char *method, *path, *query; /* plain services; path below the name */
	char *passed[PASSED_HEADERS_MAX + 1]; /* "Name: value" to the server */
	char key[IDEMPOTENCY_KEY_SIZE_BYTES];
	char class_header[NAME_SIZE_BYTES];

	dispatch_msg_t dispatch; /* current attempt */
	client_call_t *call;
	bool paused;
	bool attempt_sent; /* the attempt's server may have run it */
	bool bytes_sent; /* the same of an earlier attempt */
	bool attempt_token_seen;
	bool resuming;
	int32_t resumes;
	int32_t status; /* HTTP status of the attempt; 0: none yet */
	bool not_run; /* the server refused before running it */
	stream_t stream;
	sse_t sse;
	collected_t answer; /* text or body */
	char finish_reason[24];
	reply_header_t reply_headers[PASSED_HEADERS_MAX]; /* values owned */
	size_t reply_header_count;
	bool headers_sent;
	bool first_token_seen;
	bool drop_logged; /* of this attempt */

	trace_context_t trace;
	uint8_t trace_parent[8];
	int64_t trace_start_us, phase_start_us; /* wall clock */
	UT_hash_handle hh;
};

/* request.c: life of a request. */
request_t *request_create(request_task_t *task, exchange_t *exchange);
void request_destroy(request_t *request);

/** Starts the timer of the deadline. */
void request_set_deadline(request_t *request);
void request_on_body(void *user, const void *data, size_t size);
void request_on_complete(void *user);
void request_on_drained(void *user);
void request_on_close(void *user, bool sent);
void request_on_dispatch(request_t *request, const dispatch_msg_t *dispatch);
void request_on_refuse(request_t *request, const refuse_msg_t *refuse);
void request_on_answer(request_t *request, answer_msg_t *answer);

/** Ends a request whose caller took nothing for too long. */
void request_check_stall(request_t *request, int64_t now_us);

/** Reports the end of the attempt; the control task decides what follows. */
void request_attempt_end(request_t *request, attempt_end_t end);

/** Ends the request towards the control task; the caller is not answered. */
void request_give_up(request_t *request, attempt_end_t end);

/** Ends the call to the server, and the stream of a model on its server. */
void request_stop_attempt(request_t *request);

/** Notes a header of the server's reply: whether it did not run the request. */
void request_note_header(request_t *request, const char *name,
			 const char *value);

/** Records the span from the end of the last phase to now. */
void request_phase(request_t *request, const char *name, bool failed);

/** Whether an answer says that the server did not run the request. */
bool request_is_refusal(const request_t *request, int status);

/** Forgets what an earlier attempt left; the buffer stays for the next one. */
void collected_clear(collected_t *collected);
/** Appends; frees the buffer and sets overflow beyond limit or budget. */
void collected_add(request_t *request, collected_t *collected, const void *data,
		   size_t size, size_t limit_bytes);

/* request_admit.c: from the headers to the submission. */
void *request_on_request(void *context, exchange_t *exchange);

/** The body is complete: checks it and submits the request. */
void request_admit(request_t *request);

/** The worker has read the body; takes over what @p job holds. */
void request_on_parsed(request_t *request, body_job_t *job);

/* request_model.c and request_plain.c: attempts. */
void model_start(request_t *request);
void plain_start(request_t *request);

/* request_reply.c: answers to callers. */

/** Final answer of a request that is given up. */
void request_refuse(request_t *request, refusal_t refusal, outcome_t outcome,
		    int32_t retry_after_s, const char *message);

/** @return the Retry-After of a refusal by this task; 0: none. */
int32_t refusal_retry_after_s(refusal_t refusal);

/** Refuses a call for which no request exists. */
void exchange_refuse(const request_task_t *task, exchange_t *exchange,
		     const char *id, refusal_t refusal, const char *message);

/** Final answer with a whole body. */
void request_reply(request_t *request, int status, outcome_t outcome,
		   const reply_header_t *headers, size_t header_count,
		   const void *body, size_t size);

/** Sends the headers of a streamed reply. */
void request_begin_stream(request_t *request, int status,
			  const reply_header_t *headers, size_t header_count);

/** The answer is complete: ends the stream or sends the collected text. */
void request_complete_model(request_t *request);
void reply_models(request_task_t *task, exchange_t *exchange, const char *id,
		  const account_conf_t *account);

/* request_cancel.c: streams that have to end on their servers. */

/** Cancels a stream, repeated until the server confirms it. */
void cancellation_add(request_task_t *task, const char *server, const char *url,
		      const stream_id_t *id);

/** Whether a shutdown has to wait for cancellations. */
bool cancellations_pending(const request_task_t *task);
void cancellations_clear(request_task_t *task);

/* request_task.c */

/** Reports TASK_MSG_IDLE if the task drains and holds nothing. */
void request_task_check_idle(request_task_t *task);

#endif

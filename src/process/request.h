/**
 * @file request.h
 * One request of a caller. Private to src/process/request*.c.
 *
 * A request is RECEIVING until its body is complete and checked, WAITING while
 * the control task decides on the next attempt, RUNNING while an attempt is in
 * flight, and ANSWERED once its final answer was given. A request is freed
 * when its exchange closes; a running action without a caller is kept until
 * its outcome was reported to the control task.
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
	/**
	 * Memory of one request without its body: the reply buffer and one more
	 * piece of data (2 x 8 KiB), libcurl's buffer and the piece that
	 * libcurl holds while paused (2 x 8 KiB), the connection memory of
	 * libmicrohttpd (16 KiB), and the request_t itself.
	 */
	REQUEST_RESERVE_BYTES = 56 * 1024,
	/** Fill level of the reply buffer that pauses the backend server. */
	REPLY_BUFFER_HIGH_BYTES = 8 * 1024,
	CONNECT_TIMEOUT_MS = 1000, /**< for connections to backend servers */
	/** Resumptions of one attempt without a new token in between. */
	RESUMES_MAX = 3,
	/** A lookup's answer up to this size is collected before sending; a
	 * longer one too, if a shutdown may end the request. */
	COLLECT_MAX_BYTES = 64 * 1024,
	RETRY_AFTER_S = 1, /**< Retry-After of refusals by a request task */
	/**
	 * A larger body is parsed by the body worker; parsing a body of this
	 * size takes about 1 ms, during which no other stream proceeds.
	 */
	INLINE_BODY_MAX_BYTES = 32 * 1024,
	/** Most headers that are forwarded in each direction. */
	FORWARDED_HEADERS_MAX = 8,
	REQUEST_ID_SIZE_BYTES = NAME_SIZE_BYTES + 40
};

/** State of a request; the head of this file says when each state ends. */
typedef enum {
	REQUEST_RECEIVING,
	REQUEST_WAITING,
	REQUEST_RUNNING,
	REQUEST_ANSWERED
} request_state_t;

/** Number of requests of one account that this task has in flight. */
typedef struct {
	char name[NAME_SIZE_BYTES]; /**< name of the account */
	int32_t in_flight;
	UT_hash_handle hh;
} account_use_t;

typedef struct cancellation cancellation_t;
typedef struct request request_t;

struct request_task {
	settings_t settings;
	uint32_t index; /**< number of this task in the process, from 0 */
	uint64_t incarnation; /**< random; a part of request ids */
	uint64_t last_number; /**< number of the newest request */
	struct ev_loop *loop;
	ev_timer tick; /**< checks for stalled callers */
	mailbox_t *mailbox; /**< messages of the control task */
	mailbox_sender_t *control; /**< sends to the control task */
	mailbox_t *parsed; /**< finished jobs of the body worker */
	char parsed_name[32]; /**< name of the mailbox `parsed` */
	body_worker_t *worker;
	listener_t *listener;
	client_t *client;
	budget_t budget;
	document_t *document; /**< configuration in force; NULL: none yet */
	request_t *requests; /**< hash table by number */
	account_use_t *accounts; /**< hash table by name */
	cancellation_t *cancellations; /**< list */
	int64_t ends_us; /**< when a shutdown ends requests; 0: none began */
	bool draining; /**< new requests are refused */
	bool closing; /**< messages are discarded */
	char text[SSE_EVENT_MAX_BYTES]; /**< decoded text of one chunk */
};

/** A growing buffer whose memory is reserved in the task's budget. */
typedef struct {
	char *data; /**< NULL: nothing allocated */
	size_t size, capacity; /**< in bytes */
	bool overflow; /**< limit or budget was reached; data was freed */
} body_buf_t;

struct request {
	request_task_t *task;
	exchange_t *exchange; /**< NULL: the caller disconnected */
	uint64_t number; /**< unique in the process */
	char id[REQUEST_ID_SIZE_BYTES]; /**< Chivestage-Request-Id */
	request_kind_t kind;
	request_state_t state;
	bool chat; /**< chat completion, not text completion */
	bool admitted; /**< the request was submitted to the control task */
	document_t *document; /**< configuration when the request arrived */
	const account_conf_t *account; /**< NULL: not authenticated */
	const service_conf_t *service;
	const class_conf_t *class_conf;
	account_use_t *account_use; /**< NULL: not counted as in flight */
	int64_t reserved_bytes; /**< held in the task's budget */
	int64_t received_us, deadline_us; /**< monotonic clock */
	ev_timer deadline;

	char *body; /**< NULL: none, or taken over by a body job */
	size_t body_size_bytes, body_expected_bytes;
	completion_t completion; /**< models: the parsed body */
	/** Plain services only; `path` does not contain the service name. */
	char *method, *path, *query;
	char *target; /**< path and query as the caller sent them */
	char *forwarded[FORWARDED_HEADERS_MAX + 1]; /**< "Name: value" */
	char key[IDEMPOTENCY_KEY_SIZE_BYTES]; /**< Idempotency-Key; or empty */
	char class_header[NAME_SIZE_BYTES]; /**< Chivestage-Class; or empty */

	dispatch_msg_t dispatch; /**< current attempt */
	client_call_t *call; /**< NULL: no call to a server is in flight */
	bool paused; /**< the call waits until the caller takes data */
	bool attempt_sent; /**< the server may have run the attempt */
	bool earlier_sent; /**< a server may have run an earlier attempt */
	bool attempt_token_seen; /**< a token of the attempt arrived */
	bool resuming; /**< the attempt's stream was requested again */
	int32_t resumes; /**< resumptions since the last new token */
	int32_t status; /**< HTTP status of the attempt; 0: none yet */
	bool not_run; /**< the server refused before running the request */
	stream_t stream;
	sse_t sse;
	body_buf_t answer; /**< text of a model, or body of a reply */
	char finish_reason[24]; /**< empty: none received */
	/** Headers of the server's reply to forward; the values are owned. */
	reply_header_t reply_headers[FORWARDED_HEADERS_MAX];
	size_t reply_header_count;
	bool headers_sent; /**< the caller receives a streamed reply */
	bool first_token_seen; /**< a token of any attempt arrived */
	bool drop_logged; /**< a dropped chunk of the attempt was logged */

	trace_context_t trace;
	uint8_t trace_parent[8]; /**< span id of the caller; 0: none */
	int64_t trace_start_us, phase_start_us; /**< wall clock */
	UT_hash_handle hh;
};

/* request.c: life of a request. */
request_t *request_create(request_task_t *task, exchange_t *exchange);

/** Cancels the call to the server, and returns all memory to the budget. */
void request_destroy(request_t *request);

/** @return milliseconds to the deadline, 1 at least. */
int64_t request_left_ms(const request_t *request);

/** Starts the timer of the deadline, which the request's class states. */
void request_set_deadline(request_t *request);

/* Handlers of listener_handler_t; `user` is the request_t. */
void request_on_body(void *user, const void *data, size_t size);
void request_on_complete(void *user);
void request_on_drained(void *user);

/**
 * @param user NULL if the exchange was answered before a request existed
 * @param sent not used
 */
void request_on_close(void *user, bool sent);

/* Handlers of messages of the control task. */
void request_on_dispatch(request_t *request, const dispatch_msg_t *dispatch);
void request_on_refuse(request_t *request, const refuse_msg_t *refuse);
void request_on_answer(request_t *request, answer_msg_t *answer);

/**
 * Disconnects the caller if it took no data for the stall time of its class.
 * @param now_us monotonic clock
 */
void request_check_stall(request_t *request, int64_t now_us);

/** Reports the end of the attempt; the control task decides what follows. */
void request_attempt_end(request_t *request, attempt_end_t end);

/**
 * Stops the attempt and reports to the control task that the request ended.
 * Does not answer the caller.
 */
void request_give_up(request_t *request, attempt_end_t end);

/**
 * Gives the request its final answer now: the server's whole answer, or a
 * refusal with the outcome that holds. Does nothing after the final answer.
 * Frees the request if its caller disconnected.
 * @param message empty: default message of the refusal
 */
void request_end(request_t *request, attempt_end_t end, refusal_t refusal,
		 const char *message);

/** Cancels the call to the server and, for a model, the server's stream. */
void request_stop_attempt(request_t *request);

/** Handles a header of the server's reply: sets not_run on X-Not-Run. */
void request_on_reply_header(request_t *request, const char *name,
			     const char *value);

/**
 * Records a trace span from the end of the last phase to now.
 * @param name "end" also records the span of the whole request
 */
void request_record_phase(request_t *request, const char *name, bool failed);

/** @return true if the answer says that the server did not run the request. */
bool request_is_refusal(const request_t *request, int status);

/** Empties the buffer for the next attempt; the memory stays allocated. */
void body_buf_clear(body_buf_t *buf);

/**
 * Appends @p data; beyond the limit or the budget, frees the buffer and sets
 * overflow instead.
 */
void body_buf_append(request_t *request, body_buf_t *buf, const void *data,
		     size_t size, size_t limit_bytes);

/* request_admit.c: from the headers to the submission. */

/**
 * Handler of listener_handler_t: checks the headers of a request.
 * @return the request_t, or NULL if the exchange was answered
 */
void *request_on_request(void *context, exchange_t *exchange);

/** Checks the complete body and submits the request to the control task. */
void request_admit(request_t *request);

/** Handles a parsed body; takes over the completion that @p job holds. */
void request_on_parsed(request_t *request, body_job_t *job);

/* request_model.c and request_plain.c: attempts. */
void model_start(request_t *request);
void plain_start(request_t *request);

/* request_reply.c: answers to callers. */

/**
 * Final answer of a request that fails or is refused. Frees the request if
 * its caller disconnected.
 * @param outcome       what the control task knows; corrected if a server may
 *                      have run the request
 * @param retry_after_s 0: no Retry-After header
 * @param message       NULL or empty: default message of the refusal
 */
void request_refuse(request_t *request, refusal_t refusal, outcome_t outcome,
		    int32_t retry_after_s, const char *message);

/** @return the Retry-After of a refusal by a request task; 0: none. */
int32_t refusal_retry_after_s(refusal_t refusal);

/**
 * Refuses an exchange that fails the checks before its request is prepared.
 * @param id      request id for the reply
 * @param message NULL or empty: default message of the refusal
 */
void exchange_refuse(const request_task_t *task, exchange_t *exchange,
		     const char *id, refusal_t refusal, const char *message);

/**
 * Final answer with a whole body. Frees the request if its caller
 * disconnected.
 * @param size length of @p body in bytes
 */
void request_reply(request_t *request, int status, outcome_t outcome,
		   const reply_header_t *headers, size_t header_count,
		   const void *body, size_t size);

/** Sends the headers of a streamed reply. */
void request_begin_stream(request_t *request, int status,
			  const reply_header_t *headers, size_t header_count);

/** Ends a model's complete answer: the stream, or the collected text. */
void request_complete_model(request_t *request);

/** Answers a request for the list of models that the account may use. */
void reply_models(request_task_t *task, exchange_t *exchange, const char *id,
		  const account_conf_t *account);

/* request_cancel.c: cancellation of streams on their servers. */

/** Cancels a stream; the call is retried until the server confirms it. */
void cancellation_add(request_task_t *task, const char *server, const char *url,
		      const stream_id_t *id);

/**
 * @param tries calls sent so far, 1 or more
 * @return time until a cancellation that was not confirmed is sent again
 */
double cancellation_delay_s(int32_t tries);

/** @return true if a shutdown has to wait for cancellations. */
bool cancellations_pending(const request_task_t *task);

/** Frees all cancellations, also those that no server confirmed. */
void cancellations_clear(request_task_t *task);

/* request_task.c */

/** Sends TASK_MSG_IDLE if the task drains and has nothing left to finish. */
void request_task_check_idle(request_task_t *task);

#endif

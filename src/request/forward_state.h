/**
 * @file forward_state.h
 * State of a request and of its attempts. Private to src/request/forward*.c.
 */
#ifndef REQUEST_FORWARD_STATE_H
#define REQUEST_FORWARD_STATE_H

#include "process/gateway_state.h"
#include "process/attempt_work.h"
#include "process/choice.h"
#include "request/caller_request.h"
#include "request/forward.h"
#include "request/reservation.h"
#include "request/sse.h"

enum { SERVERS_TRIED_MAX = 8, REPLY_HEADERS_MAX = 48 };

/** Headers of an answer that are passed on. */
typedef struct {
	reply_header_t items[REPLY_HEADERS_MAX]; /**< owned strings */
	size_t count;
} reply_headers_t;

/** One sending of a request to one server or a set of servers. */
typedef struct {
	client_call_t *call;
	attempt_load_t work;
	int64_t sent_us;
	int64_t predicted_us; /**< first event, after it was sent */
	int64_t patience_us; /**< silence after which another server is asked;
			      * 0: never */
	server_reply_t reply;
	reply_headers_t headers;
	char *body; /**< of an answer that is passed on as a whole */
	size_t body_bytes;
	bool head_done; /**< status and headers are complete */
	bool overflow; /**< the body is too long to be held, and is streamed */
	bool first_event;
	int64_t heard_us; /**< last data */
	int64_t event_us; /**< last event of a stream */
} attempt_t;

typedef enum {
	FORWARD_READING, /**< the body is on its way */
	FORWARD_WAITING, /**< for a server */
	FORWARD_RESERVING, /**< memory on several servers */
	FORWARD_SENT,
	FORWARD_ENDED /**< the final answer was given */
} forward_phase_t;

typedef struct forward {
	gateway_t *gateway;
	exchange_t *exchange; /**< NULL once the caller's exchange is closed */
	forward_phase_t phase;
	caller_request_t request;
	routing_t *routing; /**< version under which it was admitted */
	const route_conf_t *route;
	const service_conf_t *service;
	const account_conf_t *account; /**< NULL: public route */
	char *body;
	size_t body_bytes, body_capacity;
	int64_t received_us;
	int64_t limit_us; /**< when the final answer is due */
	backend_t *tried[SERVERS_TRIED_MAX];
	size_t tried_count;
	int32_t runs; /**< servers that ran it, or may have */
	choice_t choice; /**< servers of the present attempt */
	reservation_t *reservation; /**< memory for it; or NULL */
	int32_t reservations_failed;
	attempt_t *attempt; /**< NULL: none under way */
	bool head_sent; /**< the caller got status and headers */
	sse_t events;
	char last_event_id[EVENT_ID_SIZE_BYTES];
	int64_t event_count;
	int64_t first_event_us;
	int64_t last_event_us, gap_max_us; /**< longest pause between events */
	ev_timer timer; /**< limit, silence, or the next try */
	struct forward *prev, *next;
} forward_t;

/** Why an attempt did not lead to an answer. */
typedef enum {
	FAILURE_UNREACHABLE, /**< nothing was sent */
	FAILURE_NOT_RUN, /**< the server refused it before it ran */
	FAILURE_BROKEN, /**< it may have run */
	FAILURE_SILENT, /**< no answer in time; it may have run */
	FAILURE_SERVER_ERROR /**< the server's own; it ran */
} failure_t;

/* forward_send.c */
/** Sends the request to the servers of its placement. */
void attempt_start(forward_t *forward);

/* forward_attempt.c */
/** What a server answers; the context is the request. */
extern const client_handler_t attempt_handler;
/** @return the silence of a stream after which another server is asked. */
int64_t attempt_stream_patience_us(const forward_t *forward);
/** Stops an attempt; its server notices that the connection closes. */
void attempt_cancel(forward_t *forward);
void attempt_resume(forward_t *forward);

/* forward_reply.c */
/** Passes a whole answer of a server on. */
void forward_reply_whole(forward_t *forward);
/** Starts the answer of a stream, or of a body that is too long to hold. */
void forward_reply_begin(forward_t *forward);
/** Passes events of a stream on; false if they do not fit what came before. */
bool forward_reply_events(forward_t *forward, const void *data, size_t size);
/** Ends a streamed answer. */
void forward_reply_end(forward_t *forward);
/**
 * Refuses a request that has not run and will not run; one that may have run
 * gets forward_fail() instead.
 * @param retry_after_ms when to come back
 */
void forward_refuse(forward_t *forward, const char *code,
		    int64_t retry_after_ms);
/** Gives an answer of this node that promises nothing about execution. */
void forward_fail(forward_t *forward, int status, const char *code);

/* forward_log.c */
/** The request goes to the servers of its choice. */
void forward_log_placed(const forward_t *forward);
/** What decided a refusal for load. @param reason cost, or late */
void forward_log_busy(const forward_t *forward, const char *reason);
/** Also counts the attempt. */
void forward_log_failed(const forward_t *forward, failure_t failure);

/* forward_place.c */
/** Chooses servers; the caller clears @p choice. */
placement_result_t forward_choose(forward_t *forward, choice_t *choice);
/** Chooses servers and sends, waits for a server, or refuses. */
void forward_place(forward_t *forward);
/** After a failed attempt: another one, or the final answer. */
void forward_attempt_failed(forward_t *forward, failure_t failure);
/**
 * Gives the present attempt up for another one, if that is allowed.
 * @return false if the attempt goes on
 */
bool forward_move(forward_t *forward, failure_t failure);

/* forward_timer.c */
/** @return the silence after which the caller leaves a stream. */
int64_t forward_caller_patience_us(const forward_t *forward);
/** Sets the timer to what is due next. */
void forward_set_timer(forward_t *forward);
void forward_on_timer(struct ev_loop *loop, ev_timer *timer, int events);

/* forward.c */
/** Logs the outcome; the caller's exchange stays until it is closed. */
void forward_ended(forward_t *forward, int status, const char *outcome);

#endif

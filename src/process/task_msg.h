/**
 * @file task_msg.h
 * Messages between request tasks and the control task, and messages that shut
 * down the tasks of the process.
 *
 * The sender allocates a message with task_msg_create(), and the receiver frees
 * it with task_msg_destroy(). A request is identified by a number that its
 * request task assigns; numbers are unique in the process.
 */
#ifndef PROCESS_TASK_MSG_H
#define PROCESS_TASK_MSG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"
#include "request/outcome.h"
#include "request/stream_id.h"
#include "version/document.h"

enum {
	REQUEST_HASH_SIZE_BYTES = 32,
	IDEMPOTENCY_KEY_SIZE_BYTES = 129,
	GANG_SERVERS_MAX = 8, /* gang: servers that hold one prompt together */
	BLOCK_HASHES_MAX = 4096 /* prefix blocks of one prompt */
};

typedef enum {
	REQUEST_MODEL, /**< prompt for a model engine */
	REQUEST_LOOKUP, /**< repeatable call of a plain service */
	REQUEST_ACTION /**< call of a plain service that runs at most once */
} request_kind_t;

/** Request task to control: choose a server for a request. */
typedef struct {
	request_kind_t kind;
	uint32_t task; /**< index of the request task */
	char service[NAME_SIZE_BYTES];
	char account[NAME_SIZE_BYTES];
	char class_name[NAME_SIZE_BYTES];
	int64_t prompt_tokens; /**< estimated length of the prompt */
	int64_t max_tokens; /**< most tokens to generate */
	int64_t received_us; /**< when the request task received the request */
	int64_t deadline_us; /**< when the request has to be answered */
	char key[IDEMPOTENCY_KEY_SIZE_BYTES]; /**< Idempotency-Key, actions
						  only */
	uint64_t content; /**< see content_id() */
	/** Hash of the request, for actions only. */
	uint8_t request_hash[REQUEST_HASH_SIZE_BYTES];
	size_t block_count; /**< length of blocks */
	uint64_t *blocks; /**< chained hashes of the prompt's prefix blocks,
			     freed with the message */
} submit_msg_t;

/** How an attempt ended, as far as the request task can see. */
typedef enum {
	ATTEMPT_COMPLETE,
	ATTEMPT_CONNECT_FAILED, /**< no byte reached the server */
	ATTEMPT_REFUSED, /**< the server refused the request without
			     running it */
	ATTEMPT_BROKEN, /**< the attempt failed after bytes were sent */
	ATTEMPT_TIMED_OUT, /**< the server sent nothing until a timeout */
	ATTEMPT_DEADLINE, /**< the request's deadline passed */
	ATTEMPT_CALLER_GONE /**< the caller disconnected or stalled */
} attempt_end_t;

/** Request task to control: an attempt ended. */
typedef struct {
	uint32_t attempt; /**< number of the attempt, from 1; 0: the request
			     ended without an attempt in flight */
	attempt_end_t end;
	int64_t delivered_tokens; /**< tokens that the caller got in all
				     attempts */
	int32_t status; /**< HTTP status that the server sent; 0 if none */
	char *answer; /**< actions: body to record, freed with the message; else
			 NULL */
	size_t answer_size_bytes;
	char content_type[NAME_SIZE_BYTES]; /**< actions: Content-Type */
} finished_msg_t;

/** Request task to control: the first token of an attempt arrived. */
typedef struct {
	uint32_t attempt;
	int64_t at_us; /**< time of arrival */
} first_token_msg_t;

/** Control to request task: send an attempt to a server. */
typedef struct {
	stream_id_t stream_id;
	char server[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	uint64_t server_incarnation; /**< incarnation that may run the
					 attempt; 0: any */
	size_t peer_count; /**< other servers of the gang */
	char peers[GANG_SERVERS_MAX][URL_SIZE_BYTES]; /**< URLs of the other
						       servers */
	int32_t priority;
	int64_t deadline_us;
} dispatch_msg_t;

/** Control to request task: refuse a request; no attempt follows. */
typedef struct {
	refusal_t refusal;
	outcome_t outcome;
	int32_t retry_after_s; /**< value of Retry-After; 0: no such header */
	char message[128]; /**< text for the caller; empty: default text */
} refuse_msg_t;

/** Control to request task: answer an action with its recorded result. */
typedef struct {
	int32_t status; /**< HTTP status */
	outcome_t outcome;
	char *answer; /**< body, freed with the message */
	size_t answer_size_bytes;
	char content_type[NAME_SIZE_BYTES];
} answer_msg_t;

typedef enum {
	/* From a request task to the control task. */
	TASK_MSG_SUBMIT,
	TASK_MSG_FIRST_TOKEN,
	TASK_MSG_FINISHED,
	TASK_MSG_IDLE, /**< a request task that drains has no request left */
	/* From the control task to a request task. */
	TASK_MSG_DISPATCH,
	TASK_MSG_REFUSE,
	TASK_MSG_ANSWER,
	TASK_MSG_CONFIG, /**< a new configuration is in force */
	/** The shutdown begins; requests are still accepted. */
	TASK_MSG_NOTICE,
	/** Accept no new request, and send TASK_MSG_IDLE when no request is
	 * left. From the main thread to the control task: start the shutdown.
	 */
	TASK_MSG_DRAIN,
	/** Give each request that is left its final answer. */
	TASK_MSG_END_ALL,
	/** End the event loop. Also sent to the telemetry task and the main
	 * thread. */
	TASK_MSG_STOP
} task_msg_type_t;

typedef struct {
	task_msg_type_t type;
	uint64_t request; /**< number of the request; 0 if the message is about
			    none */
	union {
		submit_msg_t submit;
		first_token_msg_t first_token;
		finished_msg_t finished;
		dispatch_msg_t dispatch;
		refuse_msg_t refuse;
		answer_msg_t answer;
		document_t *config; /**< TASK_MSG_CONFIG: one reference,
				     released with the message */
		uint32_t task; /**< TASK_MSG_IDLE: index of the request task */
		int64_t ends_us; /**< TASK_MSG_NOTICE: when requests that are
				    left are ended */
	} as;
} task_msg_t;

/** @return a message with the given fields; its other fields are zero. */
task_msg_t *task_msg_create(task_msg_type_t type, uint64_t request);
/** Frees a message and what it points to; @p message may be NULL. */
void task_msg_destroy(task_msg_t *message);

#endif

/**
 * @file task_msg.h
 * Messages between request tasks and the control task.
 *
 * A message is allocated by its sender and freed by its receiver with
 * task_msg_destroy(). A request is identified by the number that its request
 * task gave it; numbers are unique in the process.
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
	GANG_SERVERS_MAX = 8, /* servers that hold one prompt together */
	BLOCK_HASHES_MAX = 4096 /* prefix blocks of one prompt */
};

typedef enum {
	REQUEST_MODEL, /**< prompt for a model engine */
	REQUEST_LOOKUP, /**< repeatable call of a plain service */
	REQUEST_ACTION /**< call that runs at most once */
} request_kind_t;

/** Request task to control: choose a server for a request. */
typedef struct {
	request_kind_t kind;
	uint32_t task; /**< index of the request task */
	char service[NAME_SIZE_BYTES];
	char account[NAME_SIZE_BYTES];
	char class_name[NAME_SIZE_BYTES];
	int64_t prompt_tokens; /**< estimate */
	int64_t max_tokens; /**< tokens to generate at most */
	int64_t received_us;
	int64_t deadline_us;
	char key[IDEMPOTENCY_KEY_SIZE_BYTES]; /**< actions only */
	uint8_t request_hash[REQUEST_HASH_SIZE_BYTES]; /**< actions only */
	size_t block_count;
	uint64_t *blocks; /**< chained prefix hashes, owned */
} submit_msg_t;

/** How an attempt ended, as far as the request task saw. */
typedef enum {
	ATTEMPT_COMPLETE,
	ATTEMPT_CONNECT_FAILED, /**< no byte reached the server */
	ATTEMPT_REFUSED, /**< the server refused before running it */
	ATTEMPT_BROKEN, /**< failed after bytes were sent */
	ATTEMPT_TIMED_OUT, /**< the server was silent too long */
	ATTEMPT_DEADLINE, /**< the request's deadline passed */
	ATTEMPT_CALLER_GONE /**< caller disconnected or stalled */
} attempt_end_t;

/** Request task to control: an attempt ended. */
typedef struct {
	uint32_t attempt;
	attempt_end_t end;
	int64_t delivered_tokens; /**< over all attempts */
	int32_t status; /**< HTTP status of the server; 0 if none */
	char *answer; /**< actions: body to record, owned */
	size_t answer_size_bytes;
	char content_type[NAME_SIZE_BYTES]; /**< actions */
} finished_msg_t;

/** Request task to control: the first token of an attempt arrived. */
typedef struct {
	uint32_t attempt;
	int64_t at_us;
} first_token_msg_t;

/** Control to request task: send an attempt. */
typedef struct {
	stream_id_t stream_id;
	char server[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	uint64_t server_incarnation; /**< that may run it; 0: any */
	size_t peer_count; /**< other servers of a set */
	char peers[GANG_SERVERS_MAX][URL_SIZE_BYTES];
	int32_t priority;
	int64_t deadline_us;
} dispatch_msg_t;

/** Control to request task: final answer without a further attempt. */
typedef struct {
	refusal_t refusal;
	outcome_t outcome;
	int32_t retry_after_s; /**< 0: no Retry-After header */
	char message[128]; /**< empty: default message */
} refuse_msg_t;

/** Control to request task: answer an action with this recorded result. */
typedef struct {
	int32_t status;
	outcome_t outcome;
	char *answer; /**< owned */
	size_t answer_size_bytes;
	char content_type[NAME_SIZE_BYTES];
} answer_msg_t;

typedef enum {
	/* request task to control */
	TASK_MSG_SUBMIT,
	TASK_MSG_FIRST_TOKEN,
	TASK_MSG_FINISHED,
	TASK_MSG_IDLE, /**< draining request task has no request left */
	/* control to request task */
	TASK_MSG_DISPATCH,
	TASK_MSG_REFUSE,
	TASK_MSG_ANSWER,
	TASK_MSG_CONFIG, /**< a new configuration is in force */
	TASK_MSG_DRAIN, /**< report TASK_MSG_IDLE when no request is left */
	TASK_MSG_STOP /**< leave the loop */
} task_msg_type_t;

typedef struct {
	task_msg_type_t type;
	uint64_t request; /**< number of the request; 0 if none */
	union {
		submit_msg_t submit;
		first_token_msg_t first_token;
		finished_msg_t finished;
		dispatch_msg_t dispatch;
		refuse_msg_t refuse;
		answer_msg_t answer;
		document_t *config; /**< one reference */
		uint32_t task; /**< TASK_MSG_IDLE: index of the task */
	} as;
} task_msg_t;

task_msg_t *task_msg_create(task_msg_type_t type, uint64_t request);
void task_msg_destroy(task_msg_t *message);

#endif

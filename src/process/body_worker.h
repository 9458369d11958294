/**
 * @file body_worker.h
 * Thread that parses large request bodies.
 *
 * Parsing a body of 4 MiB, about a million tokens, takes some 80 ms. In the
 * request task this would stall all other streams for as long.
 */
#ifndef PROCESS_BODY_WORKER_H
#define PROCESS_BODY_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/units.h"
#include "request/parse.h"

typedef struct body_worker body_worker_t;

/**
 * One body to parse. The request task allocates the job; whoever holds it last
 * frees it with body_job_destroy().
 */
typedef struct {
	uint64_t request; /**< number of the request in its task */
	char *body; /**< owned by the job; NULL after body_job_run() */
	size_t size_bytes; /**< length of body */
	bool chat; /**< chat completion, not text completion */
	char salt[NAME_SIZE_BYTES]; /**< passed to parse_completion() */
	bool valid; /**< set by body_job_run(): the body was parsed */
	uint64_t content; /**< set by body_job_run(); see content_id() */
	completion_t completion; /**< result if valid is true */
	err_t err; /**< reason if valid is false */
} body_job_t;

/** @param job may be NULL */
void body_job_destroy(body_job_t *job);

/** Parses the body of @p job into its result, and frees the body. */
void body_job_run(body_job_t *job);

/**
 * Starts a thread that sends finished jobs to the mailbox @p reply_to.
 * @param zmq   ZeroMQ context of the mailboxes
 * @param index number of the request task
 * @return NULL if a mailbox or the thread can't be created, with @p err set
 */
body_worker_t *body_worker_start(void *zmq, uint32_t index,
				 const char *reply_to, err_t *err);

/** Queues a job, which then belongs to the worker; frees it on failure. */
void body_worker_push(body_worker_t *worker, body_job_t *job);

/**
 * Ends the thread after its queued jobs, and frees the worker.
 * @param worker may be NULL
 */
void body_worker_stop(body_worker_t *worker);

#endif

/**
 * @file body_worker.h
 * Reads large bodies in a thread of its own.
 *
 * A body of 4 MiB, about a million tokens, takes some 80 ms to read, in which
 * no other stream of the request task would go on.
 */
#ifndef PROCESS_BODY_WORKER_H
#define PROCESS_BODY_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/err.h"
#include "base/units.h"
#include "request/parse.h"

typedef struct body_worker body_worker_t;

/** One body; allocated by the sender and freed with body_job_destroy(). */
typedef struct {
	uint64_t request; /**< number of the request */
	char *body; /**< owned; freed by the worker */
	size_t size_bytes;
	bool chat;
	char salt[NAME_SIZE_BYTES];
	bool valid;
	completion_t completion; /**< if valid */
	err_t err; /**< if not */
} body_job_t;

void body_job_destroy(body_job_t *job);

/** Reads the body of @p job; frees it. */
void body_job_run(body_job_t *job);

/**
 * Starts the thread. It sends finished jobs to the mailbox @p reply_to.
 * @param index number of the request task
 */
body_worker_t *body_worker_start(void *zmq, uint32_t index,
				 const char *reply_to, err_t *err);

/** Hands a job over. */
void body_worker_push(body_worker_t *worker, body_job_t *job);

/** Ends the thread after the jobs that it has. */
void body_worker_stop(body_worker_t *worker);

#endif

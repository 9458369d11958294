/**
 * @file request_task.h
 * A request task: caller connections, requests, streams to backend servers.
 *
 * Rules for messages that task_msg.h does not state:
 * - TASK_MSG_FINISHED with attempt 0 ends a request that has no attempt
 *   in flight, because its caller left or its deadline passed. Nothing was
 *   sent to a server since the last reported attempt.
 * - A TASK_MSG_DISPATCH for a request that ended is answered with
 *   TASK_MSG_FINISHED, ATTEMPT_CALLER_GONE and status 0; nothing was sent.
 * - After TASK_MSG_DRAIN new requests are refused as not ready.
 */
#ifndef PROCESS_REQUEST_TASK_H
#define PROCESS_REQUEST_TASK_H

#include <stdint.h>

#include "base/err.h"
#include "process/settings.h"

typedef struct request_task request_task_t;

/**
 * Opens the caller listener and the mailboxes; accepts nothing before
 * request_task_run().
 * @param index number of the task, from 0
 * @param zmq   ZeroMQ context of the process
 * @return NULL on failure, with @p err set
 */
request_task_t *request_task_create(const settings_t *settings, uint32_t index,
				    void *zmq, err_t *err);

/** Thread function; returns NULL after TASK_MSG_STOP. */
void *request_task_run(void *task);

/**
 * Closes all connections and frees the task; call after request_task_run()
 * returned.
 * @param task may be NULL
 */
void request_task_destroy(request_task_t *task);

/** @return the port of the caller listener. */
uint16_t request_task_port(const request_task_t *task);

#endif

/**
 * @file control_task.h
 * The control task: configuration, members, credits, dispatching, claims.
 */
#ifndef PROCESS_CONTROL_TASK_H
#define PROCESS_CONTROL_TASK_H

#include "base/err.h"
#include "process/settings.h"

typedef struct control control_t;

/** Codes of ERR_LAYER_PROCESS that the control task reports. */
typedef enum {
	CONTROL_ERR_START = 1 /**< a socket or mailbox cannot be opened */
} control_err_t;

/**
 * Opens the sockets and mailboxes; call before the request tasks start.
 * @param zmq ZeroMQ context of the process
 */
control_t *control_task_create(const settings_t *settings, void *zmq,
			       err_t *err);

/** Thread function; returns NULL when the shutdown is finished. */
void *control_task_run(void *control);

void control_task_destroy(control_t *control);

#endif

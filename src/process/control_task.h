/**
 * @file control_task.h
 * The control task, a thread that handles the configuration, the members, the
 * credits, the dispatch of requests to servers, and the claims of actions.
 */
#ifndef PROCESS_CONTROL_TASK_H
#define PROCESS_CONTROL_TASK_H

#include "base/err.h"
#include "process/settings.h"

typedef struct control control_t;

/** Error codes of the control task in ERR_LAYER_PROCESS. */
typedef enum {
	CONTROL_ERR_START = 1 /**< an event loop, socket or mailbox failed */
} control_err_t;

/**
 * Opens the sockets and mailboxes; call before the request tasks start.
 * @param zmq ZeroMQ context of the process
 * @return the control task, or NULL with @p err set
 */
control_t *control_task_create(const settings_t *settings, void *zmq,
			       err_t *err);

/**
 * Thread function.
 * @param control the control_t of control_task_create()
 * @return NULL, when the shutdown is finished
 */
void *control_task_run(void *control);

void control_task_destroy(control_t *control);

#endif

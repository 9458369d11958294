/**
 * @file telemetry_task.h
 * Telemetry task: serves status, readiness and metrics at the operator
 * listener, and exports trace spans.
 */
#ifndef PROCESS_TELEMETRY_TASK_H
#define PROCESS_TELEMETRY_TASK_H

#include "base/err.h"
#include "process/settings.h"

typedef struct telemetry_task telemetry_task_t;

/**
 * Binds the operator listener.
 * @param settings must outlive the task
 * @param zmq ZeroMQ context of the process
 * @return NULL with @p err set if an address or mailbox cannot be opened
 */
telemetry_task_t *telemetry_task_create(const settings_t *settings, void *zmq,
					err_t *err);
/** Frees the task after telemetry_task_run() has returned; NULL is ignored. */
void telemetry_task_destroy(telemetry_task_t *task);

/**
 * Thread function; runs until mailbox `telemetry` receives TASK_MSG_STOP.
 * @param task the telemetry_task_t
 * @return NULL
 */
void *telemetry_task_run(void *task);

#endif

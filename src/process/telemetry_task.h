/**
 * @file telemetry_task.h
 * Serves the operator listener and exports spans.
 */
#ifndef PROCESS_TELEMETRY_TASK_H
#define PROCESS_TELEMETRY_TASK_H

#include "base/err.h"
#include "process/settings.h"

typedef struct telemetry_task telemetry_task_t;

/** Binds the operator listener; @p settings must outlive the task. */
telemetry_task_t *telemetry_task_create(const settings_t *settings, void *zmq,
					err_t *err);
void telemetry_task_destroy(telemetry_task_t *task);

/** Thread function; returns after TASK_MSG_STOP to mailbox `telemetry`. */
void *telemetry_task_run(void *task);

#endif

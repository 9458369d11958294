#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/control.h"

struct control_shutdown {
	control_t *control;
	drain_t drain;
	/** Mailboxes of the telemetry task and the main task. */
	mailbox_sender_t *telemetry, *main_task;
};

control_shutdown_t *control_shutdown_create(control_t *control, void *zmq,
					    err_t *err)
{
	const settings_t *settings = &control->settings;
	control_shutdown_t *shutdown = mem_calloc(1, sizeof(*shutdown));
	const drain_conf_t conf = {
		.notice_us = settings->drain_notice_ms * US_PER_MS,
		.limit_us = settings->drain_max_ms * US_PER_MS,
		.tasks = settings->request_tasks,
	};

	shutdown->control = control;
	drain_init(&shutdown->drain, &conf);
	shutdown->telemetry = mailbox_sender_create(zmq, "telemetry", err);
	if (shutdown->telemetry)
		shutdown->main_task = mailbox_sender_create(zmq, "main", err);
	if (shutdown->main_task)
		return shutdown;
	control_shutdown_destroy(shutdown);
	return NULL;
}

void control_shutdown_destroy(control_shutdown_t *shutdown)
{
	if (!shutdown)
		return;
	mailbox_sender_destroy(shutdown->telemetry);
	mailbox_sender_destroy(shutdown->main_task);
	free(shutdown);
}

static void send_to_request_tasks(control_t *control, task_msg_type_t type)
{
	int32_t i;

	for (i = 0; i < control->settings.request_tasks; i++)
		control_send(control, (uint32_t)i, task_msg_create(type, 0));
}

static void send_message(mailbox_sender_t *sender, task_msg_type_t type)
{
	task_msg_t *message = task_msg_create(type, 0);

	if (!mailbox_send(sender, message))
		task_msg_destroy(message);
}

static void announce_end(control_t *control, int64_t ends_us)
{
	int32_t i;

	for (i = 0; i < control->settings.request_tasks; i++) {
		task_msg_t *message = task_msg_create(TASK_MSG_NOTICE, 0);

		message->as.ends_us = ends_us;
		control_send(control, (uint32_t)i, message);
	}
}

/* Performs the actions that belong to the start of the current phase. */
static void enter_phase(control_shutdown_t *shutdown, int64_t now_us)
{
	control_t *control = shutdown->control;

	log_event(EVENT_SHUTDOWN_PHASE,
		  "phase=%s in_flight=%d waiting=%d cut_off=%d",
		  drain_phase_text(shutdown->drain.phase),
		  dispatch_in_flight(control->dispatch),
		  dispatch_waiting(control->dispatch),
		  shutdown->drain.timed_out);
	control_status_publish(control->status, now_us);
	switch (shutdown->drain.phase) {
	case DRAIN_NOTICE:
		control_members_leave(control->members);
		announce_end(control, drain_ends_us(&shutdown->drain));
		break;
	case DRAIN_FINISHING:
		send_to_request_tasks(control, TASK_MSG_DRAIN);
		break;
	case DRAIN_RETURNING:
		if (shutdown->drain.timed_out)
			send_to_request_tasks(control, TASK_MSG_END_ALL);
		credit_holder_return_all(control->holder, now_us);
		break;
	case DRAIN_STOPPED:
		send_to_request_tasks(control, TASK_MSG_STOP);
		send_message(shutdown->telemetry, TASK_MSG_STOP);
		send_message(shutdown->main_task, TASK_MSG_STOP);
		ev_break(control->loop, EVBREAK_ALL);
		break;
	case DRAIN_RUNNING:
		break;
	}
}

void control_shutdown_start(control_shutdown_t *shutdown)
{
	int64_t now_us = clock_monotonic_us();

	if (shutdown->drain.phase != DRAIN_RUNNING)
		return;
	drain_signal(&shutdown->drain, now_us);
	enter_phase(shutdown, now_us);
}

void control_shutdown_task_idle(control_shutdown_t *shutdown, uint32_t task)
{
	drain_idle(&shutdown->drain, task);
}

void control_shutdown_tick(control_shutdown_t *shutdown, int64_t now_us)
{
	int32_t pending = control_actions_count(shutdown->control->actions);

	if (drain_tick(&shutdown->drain, pending, now_us))
		enter_phase(shutdown, now_us);
}

drain_phase_t control_shutdown_phase(const control_shutdown_t *shutdown)
{
	return shutdown->drain.phase;
}

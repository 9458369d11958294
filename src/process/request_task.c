#include "process/request_task.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/request.h"

enum {
	CONNECTIONS_MAX = 20000, /* caller connections of one request task */
	CONNECTIONS_KEPT_MAX = 1000 /* the same, that wait for a next request */
};

/* Period of the check for stalled callers. */
#define TICK_S 0.1

static request_t *find_request(request_task_t *task, uint64_t number)
{
	request_t *request;

	HASH_FIND(hh, task->requests, &number, sizeof(number), request);
	return request;
}

/*
 * Answers a dispatch whose request ended before the message arrived.
 * Nothing is sent to the server.
 */
static void refuse_dispatch(request_task_t *task, const task_msg_t *message)
{
	task_msg_t *finished =
		task_msg_create(TASK_MSG_FINISHED, message->request);

	finished->as.finished.attempt = message->as.dispatch.stream_id.attempt;
	finished->as.finished.end = ATTEMPT_CALLER_GONE;
	if (!mailbox_send(task->control, finished))
		task_msg_destroy(finished);
}

static void on_config(request_task_t *task, document_t *document)
{
	document_unref(task->document);
	task->document = document_ref(document);
}

static void end_all(request_task_t *task)
{
	request_t *request, *next;

	HASH_ITER (hh, task->requests, request, next)
		request_end(request, ATTEMPT_CALLER_GONE, REFUSAL_NOT_READY,
			    "the node is shutting down");
}

static void on_message(void *context, void *received)
{
	request_task_t *task = context;
	task_msg_t *message = received;
	request_t *request = find_request(task, message->request);

	if (task->closing) {
		task_msg_destroy(message);
		return;
	}
	switch (message->type) {
	case TASK_MSG_DISPATCH:
		if (request && request->state == REQUEST_WAITING)
			request_on_dispatch(request, &message->as.dispatch);
		else
			refuse_dispatch(task, message);
		break;
	case TASK_MSG_REFUSE:
		if (request)
			request_on_refuse(request, &message->as.refuse);
		break;
	case TASK_MSG_ANSWER:
		if (request)
			request_on_answer(request, &message->as.answer);
		break;
	case TASK_MSG_CONFIG:
		on_config(task, message->as.config);
		break;
	case TASK_MSG_NOTICE:
		task->ends_us = message->as.ends_us;
		break;
	case TASK_MSG_DRAIN:
		task->draining = true;
		request_task_check_idle(task);
		break;
	case TASK_MSG_END_ALL:
		end_all(task);
		break;
	case TASK_MSG_STOP:
		ev_break(task->loop, EVBREAK_ALL);
		break;
	case TASK_MSG_SUBMIT:
	case TASK_MSG_FIRST_TOKEN:
	case TASK_MSG_FINISHED:
	case TASK_MSG_IDLE:
		break;
	}
	task_msg_destroy(message);
}

static void on_parsed(void *context, void *received)
{
	request_task_t *task = context;
	body_job_t *job = received;
	request_t *request = find_request(task, job->request);

	if (request && !task->closing)
		request_on_parsed(request, job);
	body_job_destroy(job);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	request_task_t *task = timer->data;
	int64_t now_us = clock_monotonic_us();
	request_t *request, *next;

	HASH_ITER (hh, task->requests, request, next)
		request_check_stall(request, now_us);
}

void request_task_check_idle(request_task_t *task)
{
	task_msg_t *idle;

	if (!task->draining || task->closing || task->requests ||
	    cancellations_pending(task))
		return;
	idle = task_msg_create(TASK_MSG_IDLE, 0);
	idle->as.task = task->index;
	if (!mailbox_send(task->control, idle))
		task_msg_destroy(idle);
}

static bool open_mailboxes(request_task_t *task, void *zmq, err_t *err)
{
	char name[32];

	snprintf(name, sizeof(name), "request-%" PRIu32, task->index);
	task->mailbox =
		mailbox_create(zmq, name, task->loop, on_message, task, err);
	if (!task->mailbox)
		return false;
	snprintf(task->parsed_name, sizeof(task->parsed_name),
		 "parsed-%" PRIu32, task->index);
	task->parsed = mailbox_create(zmq, task->parsed_name, task->loop,
				      on_parsed, task, err);
	task->control = mailbox_sender_create(zmq, "control", err);
	return task->parsed && task->control;
}

static bool open_connections(request_task_t *task, err_t *err)
{
	const settings_t *settings = &task->settings;
	listener_conf_t conf = {
		.address = settings->caller_address,
		.certificate = settings->caller_certificate,
		.key = settings->caller_key,
		.shared = settings->request_tasks > 1,
		.connections_max = CONNECTIONS_MAX,
		.kept_max = CONNECTIONS_KEPT_MAX,
	};
	listener_handler_t handler = {
		.on_request = request_on_request,
		.on_body = request_on_body,
		.on_drained = request_on_drained,
		.on_complete = request_on_complete,
		.on_close = request_on_close,
		.context = task,
	};

	task->client = client_create(task->loop, err);
	if (!task->client)
		return false;
	task->listener = listener_create(task->loop, &conf, &handler, err);
	return task->listener;
}

request_task_t *request_task_create(const settings_t *settings, uint32_t index,
				    void *zmq, err_t *err)
{
	request_task_t *task = mem_calloc(1, sizeof(*task));

	task->settings = *settings;
	task->index = index;
	randombytes_buf(&task->incarnation, sizeof(task->incarnation));
	/* Unique in the process: the upper 16 bits are the task's index. */
	task->last_number = (uint64_t)index << 48;
	budget_init(&task->budget,
		    settings->memory_budget_bytes / settings->request_tasks);
	task->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&task->tick, on_tick, TICK_S, TICK_S);
	task->tick.data = task;
	ev_timer_start(task->loop, &task->tick);
	if (open_mailboxes(task, zmq, err) && open_connections(task, err))
		task->worker =
			body_worker_start(zmq, index, task->parsed_name, err);
	if (task->worker)
		return task;
	request_task_destroy(task);
	return NULL;
}

void *request_task_run(void *context)
{
	request_task_t *task = context;

	ev_run(task->loop, 0);
	return NULL;
}

void request_task_destroy(request_task_t *task)
{
	request_t *request, *next;
	account_use_t *use, *next_use;

	if (!task)
		return;
	task->closing = true;
	body_worker_stop(task->worker);
	listener_destroy(task->listener);
	HASH_ITER (hh, task->requests, request, next)
		request_destroy(request);
	cancellations_clear(task);
	client_destroy(task->client);
	use = task->accounts;
	HASH_CLEAR(hh, task->accounts);
	for (; use; use = next_use) {
		next_use = use->hh.next;
		free(use);
	}
	document_unref(task->document);
	if (task->mailbox)
		mailbox_drain(task->mailbox);
	mailbox_destroy(task->mailbox);
	if (task->parsed)
		mailbox_drain(task->parsed);
	mailbox_destroy(task->parsed);
	mailbox_sender_destroy(task->control);
	ev_loop_destroy(task->loop);
	free(task);
}

uint16_t request_task_port(const request_task_t *task)
{
	return listener_port(task->listener);
}

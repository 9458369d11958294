#include "process/body_worker.h"

#include <ev.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/mailbox.h"
#include "base/mem.h"
#include "request/content_id.h"

struct body_worker {
	struct ev_loop *loop;
	mailbox_t *jobs;
	mailbox_sender_t *to_worker; /* used by the request task only */
	mailbox_sender_t *replies; /* used by the worker thread only */
	pthread_t thread;
	bool running; /* thread was started */
};

void body_job_destroy(body_job_t *job)
{
	if (!job)
		return;
	free(job->body);
	completion_clear(&job->completion);
	free(job);
}

void body_job_run(body_job_t *job)
{
	job->content =
		content_id(job->salt, "POST",
			   job->chat ? "chat/completions" : "completions", "",
			   job->body, job->size_bytes);
	job->valid = parse_completion(job->body, job->size_bytes, job->chat,
				      job->salt, &job->completion, &job->err);
	free(job->body);
	job->body = NULL;
}

/* Runs one job; a NULL message ends the thread. */
static void on_job(void *context, void *message)
{
	body_worker_t *worker = context;

	if (!message) {
		ev_break(worker->loop, EVBREAK_ALL);
		return;
	}
	body_job_run(message);
	if (!mailbox_send(worker->replies, message))
		body_job_destroy(message);
}

static void *run(void *context)
{
	body_worker_t *worker = context;

	ev_run(worker->loop, 0);
	return NULL;
}

body_worker_t *body_worker_start(void *zmq, uint32_t index,
				 const char *reply_to, err_t *err)
{
	body_worker_t *worker = mem_calloc(1, sizeof(*worker));
	char name[32];

	snprintf(name, sizeof(name), "bodies-%" PRIu32, index);
	worker->loop = ev_loop_new(EVFLAG_AUTO);
	worker->jobs =
		mailbox_create(zmq, name, worker->loop, on_job, worker, err);
	if (worker->jobs)
		worker->to_worker = mailbox_sender_create(zmq, name, err);
	if (worker->to_worker)
		worker->replies = mailbox_sender_create(zmq, reply_to, err);
	if (worker->replies)
		worker->running =
			!pthread_create(&worker->thread, NULL, run, worker);
	if (worker->running)
		return worker;
	if (worker->replies)
		err_set(err, ERR_LAYER_PROCESS, 0,
			"start thread \"%s\": not enough memory or threads",
			name);
	body_worker_stop(worker);
	return NULL;
}

void body_worker_push(body_worker_t *worker, body_job_t *job)
{
	if (!mailbox_send(worker->to_worker, job))
		body_job_destroy(job);
}

void body_worker_stop(body_worker_t *worker)
{
	if (!worker)
		return;
	if (worker->running) {
		mailbox_send(worker->to_worker, NULL);
		pthread_join(worker->thread, NULL);
	}
	mailbox_sender_destroy(worker->to_worker);
	mailbox_sender_destroy(worker->replies);
	mailbox_destroy(worker->jobs);
	ev_loop_destroy(worker->loop);
	free(worker);
}

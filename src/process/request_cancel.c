#include <stdlib.h>
#include <utlist.h>

#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "connection/engine.h"
#include "process/request.h"

enum {
	REPLY_MAX_BYTES = 4096, /* a longer reply fails the try */
	TIMEOUT_MS = 2000, /* time limit of one try */
	/*
	 * At the longest delay, 60 tries take 5 minutes; most restarts of a
	 * server are over by then.
	 */
	TRIES_MAX = 60,
	/* A shutdown waits until each cancellation was tried this often. */
	SHUTDOWN_TRIES = 3
};

/* The delay doubles with each try. */
#define RETRY_DELAY_MIN_S 0.2
#define RETRY_DELAY_MAX_S 5.0

/* A stream to end on its server, and the state of the retries. */
struct cancellation {
	request_task_t *task;
	char server[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	char id[STREAM_ID_SIZE_BYTES]; /**< id of the stream */
	int32_t tries; /**< calls sent so far */
	ev_timer retry_timer;
	client_call_t *call; /**< NULL: waits for the retry timer */
	cancellation_t *prev, *next;
};

static void cancellation_free(cancellation_t *cancellation)
{
	request_task_t *task = cancellation->task;

	if (cancellation->call)
		client_call_cancel(cancellation->call);
	ev_timer_stop(task->loop, &cancellation->retry_timer);
	DL_DELETE(task->cancellations, cancellation);
	free(cancellation);
}

/*
 * @return true if tries are left and the server is still in the
 * configuration; retrying makes no sense otherwise
 */
static bool may_retry(const cancellation_t *cancellation)
{
	const document_t *document = cancellation->task->document;

	return cancellation->tries < TRIES_MAX &&
	       document_server(document, cancellation->server);
}

double cancellation_delay_s(int32_t tries)
{
	double delay_s = RETRY_DELAY_MIN_S;

	while (--tries > 0 && delay_s < RETRY_DELAY_MAX_S)
		delay_s *= 2;
	return delay_s < RETRY_DELAY_MAX_S ? delay_s : RETRY_DELAY_MAX_S;
}

static void on_done(void *context, client_end_t end, int status,
		    const char *body, size_t size)
{
	cancellation_t *cancellation = context;
	request_task_t *task = cancellation->task;
	/* 404 and 410: the server has no such stream any more. */
	bool confirmed = end == CLIENT_OK &&
			 (status / 100 == 2 || status == 404 || status == 410);

	cancellation->call = NULL;
	if (confirmed || !may_retry(cancellation)) {
		if (!confirmed)
			log_event(EVENT_CANCEL_FAILED, "server=%s stream=%s",
				  cancellation->server, cancellation->id);
		cancellation_free(cancellation);
		request_task_check_idle(task);
		return;
	}
	ev_timer_set(&cancellation->retry_timer,
		     cancellation_delay_s(cancellation->tries), 0);
	ev_timer_start(task->loop, &cancellation->retry_timer);
	request_task_check_idle(task);
}

static void send_cancel(cancellation_t *cancellation)
{
	engine_call_t call;
	client_request_t send = {
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.idle_timeout_ms = TIMEOUT_MS,
		.total_timeout_ms = TIMEOUT_MS,
		/* An answer to an earlier call would count as the server's
		 * word that the stream ended. */
		.at_most_once = true,
	};

	engine_cancel(&call, cancellation->url, cancellation->id);
	send.method = call.method;
	send.url = call.url;
	cancellation->tries++;
	cancellation->call = client_fetch(cancellation->task->client, &send,
					  REPLY_MAX_BYTES, on_done,
					  cancellation);
	engine_call_clear(&call);
}

static void on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	send_cancel(timer->data);
}

void cancellation_add(request_task_t *task, const char *server, const char *url,
		      const stream_id_t *id)
{
	cancellation_t *cancellation = mem_calloc(1, sizeof(*cancellation));

	metrics_add(METRIC_STREAMS_CANCELLED, 1);
	cancellation->task = task;
	mem_strlcpy(cancellation->server, server, NAME_SIZE_BYTES);
	mem_strlcpy(cancellation->url, url, URL_SIZE_BYTES);
	stream_id_format(id, cancellation->id);
	ev_init(&cancellation->retry_timer, on_retry);
	cancellation->retry_timer.data = cancellation;
	DL_APPEND(task->cancellations, cancellation);
	send_cancel(cancellation);
}

bool cancellations_pending(const request_task_t *task)
{
	const cancellation_t *cancellation;

	DL_FOREACH (task->cancellations, cancellation)
		if (cancellation->tries < SHUTDOWN_TRIES ||
		    (cancellation->tries == SHUTDOWN_TRIES &&
		     cancellation->call))
			return true;
	return false;
}

void cancellations_clear(request_task_t *task)
{
	cancellation_t *cancellation, *next;

	DL_FOREACH_SAFE (task->cancellations, cancellation, next)
		cancellation_free(cancellation);
}

#include "process/telemetry_task.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mailbox.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "base/status.h"
#include "base/trace.h"
#include "connection/client.h"
#include "connection/listener.h"
#include "process/task_msg.h"

enum {
	SPANS_PER_EXPORT = 512,
	EXPORT_TIMEOUT_MS = 5000,
	EXPORT_REPLY_MAX_BYTES = 64 * 1024,
	OPERATOR_CONNECTIONS_MAX = 64
};

static const double export_interval_s = 1.0;

struct telemetry_task {
	const settings_t *settings;
	struct ev_loop *loop;
	mailbox_t *mailbox;
	listener_t *listener;
	client_t *client;
	ev_timer export_timer;
	bool exporting; /**< an export is in flight; at most one at a time */
	size_t exported_count; /**< spans in the last export */
	int64_t dropped_logged; /**< METRIC_SPANS_DROPPED when last logged */
	span_t spans[SPANS_PER_EXPORT];
};

static void reply_text(exchange_t *exchange, int status, const char *type,
		       const char *text)
{
	const reply_header_t header = { "Content-Type", type };

	exchange_reply(exchange, status, &header, 1, text, strlen(text));
}

/* Compares hashes of the tokens instead of the tokens, so that the time taken
 * does not show at which byte the tokens differ.
 * @return true if the request carries the token of the operators */
static bool is_operator(const telemetry_task_t *task,
			const exchange_t *exchange)
{
	static const char scheme[] = "Bearer ";
	const char *header = exchange_header(exchange, "Authorization");
	uint8_t given[32], expected[32];
	const char *token = task->settings->operator_token;

	if (!header || strncmp(header, scheme, strlen(scheme)) != 0)
		return false;
	header += strlen(scheme);
	crypto_generichash(given, sizeof(given), (const uint8_t *)header,
			   strlen(header), NULL, 0);
	crypto_generichash(expected, sizeof(expected), (const uint8_t *)token,
			   strlen(token), NULL, 0);
	return !sodium_memcmp(given, expected, sizeof(given));
}

/* Replies with 200 and frees @p text. */
static void reply_and_free(exchange_t *exchange, const char *type, char *text)
{
	reply_text(exchange, 200, type, text);
	free(text);
}

static void *on_request(void *context, exchange_t *exchange)
{
	const telemetry_task_t *task = context;
	const char *path = exchange_path(exchange);
	bool ready = status_ready();

	if (!is_operator(task, exchange))
		reply_text(exchange, 401, "text/plain", "unauthorized\n");
	else if (strcmp(exchange_method(exchange), "GET") != 0)
		reply_text(exchange, 405, "text/plain", "only GET\n");
	else if (!strcmp(path, "/healthz"))
		reply_text(exchange, 200, "text/plain", "ok\n");
	else if (!strcmp(path, "/readyz"))
		reply_text(exchange, ready ? 200 : 503, "text/plain",
			   ready ? "ready\n" : "not ready\n");
	else if (!strcmp(path, "/metrics"))
		reply_and_free(exchange, "text/plain; version=0.0.4",
			       metrics_render());
	else if (!strcmp(path, "/status"))
		reply_and_free(exchange, "application/json", status_copy());
	else
		reply_text(exchange, 404, "text/plain", "no such path\n");
	return NULL;
}

static void export_spans(telemetry_task_t *task);

/* Exports again at once after a full batch, since more spans may be queued;
 * otherwise the next export waits for the timer. */
static void on_exported(void *context, client_end_t end, int status,
			const char *body, size_t size)
{
	telemetry_task_t *task = context;

	task->exporting = false;
	if (end != CLIENT_OK || status >= 300)
		metrics_add(METRIC_SPAN_EXPORTS_FAILED, 1);
	else if (task->exported_count == SPANS_PER_EXPORT)
		export_spans(task);
}

static void export_spans(telemetry_task_t *task)
{
	const char *headers[] = { "Content-Type: application/json", NULL };
	size_t count = trace_take(task->spans, SPANS_PER_EXPORT);
	client_request_t request = {
		.method = "POST",
		.url = task->settings->trace_url,
		.headers = headers,
		.connect_timeout_ms = EXPORT_TIMEOUT_MS,
		.idle_timeout_ms = EXPORT_TIMEOUT_MS,
		.total_timeout_ms = EXPORT_TIMEOUT_MS,
	};
	char *body;

	if (!count)
		return;
	body = trace_render_otlp(task->spans, count, task->settings->vm_id);
	request.body = body;
	request.body_size_bytes = strlen(body);
	task->exporting = true;
	task->exported_count = count;
	client_fetch(task->client, &request, EXPORT_REPLY_MAX_BYTES,
		     on_exported, task);
	free(body);
}

static void on_export_timer(struct ev_loop *loop, ev_timer *watcher, int events)
{
	telemetry_task_t *task = watcher->data;
	int64_t dropped = metrics_get(METRIC_SPANS_DROPPED);

	if (dropped != task->dropped_logged) {
		log_event(EVENT_SPANS_DROPPED, "count=%lld",
			  (long long)(dropped - task->dropped_logged));
		task->dropped_logged = dropped;
	}
	if (!task->exporting)
		export_spans(task);
}

static void on_message(void *context, void *message)
{
	telemetry_task_t *task = context;
	task_msg_t *received = message;

	if (received->type == TASK_MSG_STOP)
		ev_break(task->loop, EVBREAK_ALL);
	task_msg_destroy(received);
}

static bool open_sockets(telemetry_task_t *task, void *zmq, err_t *err)
{
	const settings_t *settings = task->settings;
	const listener_conf_t conf = {
		.address = settings->operator_address,
		.certificate = settings->operator_certificate,
		.key = settings->operator_key,
		.connections_max = OPERATOR_CONNECTIONS_MAX,
	};
	const listener_handler_t handler = { .on_request = on_request,
					     .context = task };

	task->mailbox = mailbox_create(zmq, "telemetry", task->loop, on_message,
				       task, err);
	if (!task->mailbox)
		return false;
	task->client = client_create(task->loop, err);
	if (!task->client)
		return false;
	task->listener = listener_create(task->loop, &conf, &handler, err);
	return task->listener != NULL;
}

telemetry_task_t *telemetry_task_create(const settings_t *settings, void *zmq,
					err_t *err)
{
	telemetry_task_t *task = mem_calloc(1, sizeof(*task));

	task->settings = settings;
	task->loop = ev_loop_new(EVFLAG_AUTO);
	ev_timer_init(&task->export_timer, on_export_timer, export_interval_s,
		      export_interval_s);
	task->export_timer.data = task;
	if (!open_sockets(task, zmq, err)) {
		telemetry_task_destroy(task);
		return NULL;
	}
	trace_enable(*settings->trace_url != '\0');
	if (*settings->trace_url)
		ev_timer_start(task->loop, &task->export_timer);
	return task;
}

void telemetry_task_destroy(telemetry_task_t *task)
{
	if (!task)
		return;
	ev_timer_stop(task->loop, &task->export_timer);
	if (task->listener)
		listener_destroy(task->listener);
	client_destroy(task->client);
	mailbox_destroy(task->mailbox);
	ev_loop_destroy(task->loop);
	free(task);
}

void *telemetry_task_run(void *task)
{
	ev_run(((telemetry_task_t *)task)->loop, 0);
	return NULL;
}

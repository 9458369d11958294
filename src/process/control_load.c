#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "connection/engine.h"
#include "process/control.h"

/*
 * At 14 servers per node (440 servers, 32 nodes) a poll every 250 ms is 56
 * calls a second.
 */
enum {
	POLL_INTERVAL_MS = 250,
	POLL_TIMEOUT_MS = 1000,
	REPORT_MAX_BYTES = 64 * 1024
};

typedef struct {
	UT_hash_handle hh;
	control_load_t *load;
	char name[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	client_call_t *call;
	int64_t due_us;
	int64_t sent_us;
	bool silent;
	bool cold;
	bool listed; /* during configure: still in the document */
} server_t;

struct control_load {
	control_t *control;
	server_t *servers;
};

control_load_t *control_load_create(control_t *control)
{
	control_load_t *load = mem_calloc(1, sizeof(*load));

	load->control = control;
	return load;
}

static void remove_server(control_load_t *load, server_t *server)
{
	if (server->call)
		client_call_cancel(server->call);
	HASH_DEL(load->servers, server);
	free(server);
}

void control_load_destroy(control_load_t *load)
{
	server_t *server, *next;

	if (!load)
		return;
	HASH_ITER (hh, load->servers, server, next)
		remove_server(load, server);
	free(load);
}

static void follow(control_load_t *load, const server_conf_t *conf)
{
	server_t *server;

	HASH_FIND_STR(load->servers, conf->name, server);
	if (!server) {
		server = mem_calloc(1, sizeof(*server));
		server->load = load;
		server->cold = true;
		mem_strlcpy(server->name, conf->name, sizeof(server->name));
		HASH_ADD_STR(load->servers, name, server);
	}
	mem_strlcpy(server->url, conf->url, sizeof(server->url));
	server->listed = true;
}

void control_load_configure(control_load_t *load, document_t *document)
{
	const char *data_centre = load->control->settings.data_centre;
	const server_conf_t *conf;
	server_t *server, *next;
	size_t i;

	HASH_ITER (hh, load->servers, server, next)
		server->listed = false;
	/* Retired servers too: they finish the work they have. */
	for (i = 0; (conf = document_server_at(document, i)); i++)
		if (!strcmp(conf->data_centre, data_centre))
			follow(load, conf);
	HASH_ITER (hh, load->servers, server, next)
		if (!server->listed)
			remove_server(load, server);
}

static void on_silent(server_t *server)
{
	metrics_add(METRIC_SERVER_REPORTS_FAILED, 1);
	if (server->silent)
		return;
	server->silent = true;
	log_event(EVENT_SERVER_SILENT, "server=%s", server->name);
}

static void take_report(server_t *server, load_report_t *report)
{
	control_t *control = server->load->control;

	/* Age is counted from before the request, so it is never too low. */
	mem_strlcpy(report->server, server->name, sizeof(report->server));
	report->received_us = clock_monotonic_us();
	report->taken_us = server->sent_us;
	if (server->silent)
		log_event(EVENT_SERVER_REPORTING, "server=%s", server->name);
	if (report->cold && !server->cold)
		log_event(EVENT_SERVER_COLD, "server=%s", server->name);
	server->silent = false;
	server->cold = report->cold;
	dispatch_load(control->dispatch, report, report->received_us);
}

static void on_report(void *context, client_end_t end, int status,
		      const char *body, size_t size)
{
	server_t *server = context;
	load_report_t report;
	err_t err;

	server->call = NULL;
	memset(&report, 0, sizeof(report));
	if (end != CLIENT_OK || status != 200) {
		on_silent(server);
		return;
	}
	if (!engine_parse_load(body, size, &report, &err)) {
		log_event(EVENT_SERVER_BAD_REPORT, "server=%s problem=\"%s\"",
			  server->name, err.message);
		on_silent(server);
		return;
	}
	take_report(server, &report);
}

static void poll_server(server_t *server, int64_t now_us)
{
	client_request_t request = {
		.connect_timeout_ms = POLL_TIMEOUT_MS,
		.idle_timeout_ms = POLL_TIMEOUT_MS,
		.total_timeout_ms = POLL_TIMEOUT_MS,
	};
	engine_call_t call = { 0 };

	engine_load(&call, server->url);
	request.method = call.method;
	request.url = call.url;
	server->sent_us = now_us;
	server->due_us = now_us + POLL_INTERVAL_MS * US_PER_MS;
	server->call = client_fetch(server->load->control->client, &request,
				    REPORT_MAX_BYTES, on_report, server);
	engine_call_clear(&call);
}

void control_load_tick(control_load_t *load, int64_t now_us)
{
	server_t *server, *next;

	HASH_ITER (hh, load->servers, server, next)
		if (!server->call && server->due_us <= now_us)
			poll_server(server, now_us);
}

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "connection/engine.h"
#include "process/control.h"
#include "process/digest.h"

/*
 * With 14 servers per node (440 servers, 32 nodes) a poll every 250 ms makes 56
 * calls a second.
 */
enum {
	POLL_INTERVAL_MS = 250,
	POLL_TIMEOUT_MS = 1000,
	REPORT_MAX_BYTES = 64 * 1024,
	DIGEST_SERVERS = 32 /* servers in one digest message */
};

/*
 * A time in a load report counts as a time of this node's clock if it is at
 * most this far in the past.
 */
#define CLOCK_DIFFERENCE_MAX_US (10 * US_PER_S)
/* Assumed age of load figures whose time is on an unknown clock. */
#define ASSUMED_AGE_US (500 * US_PER_MS)

/** A backend server of this data centre. */
typedef struct {
	UT_hash_handle hh;
	control_load_t *load;
	char name[NAME_SIZE_BYTES];
	char url[URL_SIZE_BYTES];
	client_call_t *call; /**< poll in progress; NULL: none */
	int64_t due_us; /**< earliest time of the next poll */
	int64_t sent_us; /**< when the last poll was sent */
	bool silent; /**< the last poll gave no valid report */
	bool cold; /**< cold state in the last report; true before the first
		      report */
	/** Used during configure: the new document has the server. */
	bool listed;
	load_report_t report; /**< newest report; taken_us 0: none yet */
} server_t;

struct control_load {
	control_t *control;
	server_t *servers; /**< hash table by name */
	digest_t *digest;
	int64_t next_us; /**< earliest due time of all servers */
};

control_load_t *control_load_create(control_t *control)
{
	control_load_t *load = mem_calloc(1, sizeof(*load));

	load->control = control;
	load->digest = digest_create();
	return load;
}

static void remove_server(control_load_t *load, server_t *server)
{
	if (server->call)
		client_call_cancel(server->call);
	digest_drop(load->digest, server->name);
	HASH_DEL(load->servers, server);
	free(server);
}

void control_load_destroy(control_load_t *load)
{
	server_t *server, *next;

	if (!load)
		return;
	for (server = load->servers; server; server = next) {
		next = server->hh.next;
		remove_server(load, server);
	}
	digest_destroy(load->digest);
	free(load);
}

static void add_server(control_load_t *load, const server_conf_t *conf)
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

	for (server = load->servers; server; server = next) {
		next = server->hh.next;
		server->listed = false;
	}
	/* Retired servers are kept: they finish the requests they have. */
	for (i = 0; (conf = document_server_at(document, i)); i++)
		if (!strcmp(conf->data_centre, data_centre))
			add_server(load, conf);
	for (server = load->servers; server; server = next) {
		next = server->hh.next;
		if (!server->listed)
			remove_server(load, server);
	}
	load->next_us = 0;
}

static void record_failure(server_t *server)
{
	metrics_add(METRIC_SERVER_REPORTS_FAILED, 1);
	if (server->silent)
		return;
	server->silent = true;
	log_event(EVENT_SERVER_SILENT, "server=%s", server->name);
}

static bool is_recent(int64_t time_us, int64_t now_us)
{
	return time_us <= now_us && now_us - time_us <= CLOCK_DIFFERENCE_MAX_US;
}

/*
 * Servers give the time of their load figures on the wall clock, or, if they
 * run on the same VM as this node, on the monotonic clock.
 * @return the age of the figures in us
 */
static int64_t report_age_us(int64_t time_us)
{
	if (is_recent(time_us, clock_wall_us()))
		return clock_wall_us() - time_us;
	if (is_recent(time_us, clock_monotonic_us()))
		return clock_monotonic_us() - time_us;
	return ASSUMED_AGE_US;
}

static void apply_report(server_t *server, load_report_t *report)
{
	control_t *control = server->load->control;

	mem_strlcpy(report->server, server->name, sizeof(report->server));
	report->received_us = clock_monotonic_us();
	report->taken_us =
		report->received_us - report_age_us(report->taken_us);
	if (report->taken_us > server->sent_us)
		report->taken_us = server->sent_us;
	if (server->silent)
		log_event(EVENT_SERVER_REPORTING, "server=%s", server->name);
	if (report->cold && !server->cold)
		log_event(EVENT_SERVER_COLD, "server=%s", server->name);
	server->silent = false;
	server->cold = report->cold;
	server->report = *report;
	dispatch_apply_report(control->dispatch, report, report->received_us);
	control_credits_apply_report(control->credits, report);
	control_warmup_apply_report(control->warmup, report);
	control_orphans_apply_report(control->orphans, report);
	control_orders_apply_report(control->orders, report);
	digest_update(server->load->digest, report);
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
		record_failure(server);
		return;
	}
	if (!engine_parse_load(body, size, &report, &err)) {
		log_event(EVENT_SERVER_BAD_REPORT, "server=%s problem=\"%s\"",
			  server->name, err.message);
		record_failure(server);
		return;
	}
	apply_report(server, &report);
}

static void poll_server(server_t *server, int64_t now_us)
{
	client_request_t request = {
		.connect_timeout_ms = POLL_TIMEOUT_MS,
		.idle_timeout_ms = POLL_TIMEOUT_MS,
		.total_timeout_ms = POLL_TIMEOUT_MS,
	};
	engine_call_t call = { 0 };

	engine_get_load(&call, server->url);
	request.method = call.method;
	request.url = call.url;
	server->sent_us = now_us;
	server->due_us = now_us + POLL_INTERVAL_MS * US_PER_MS;
	server->call = client_fetch(server->load->control->client, &request,
				    REPORT_MAX_BYTES, on_report, server);
	engine_call_clear(&call);
}

static void send_digest(control_load_t *load, int64_t now_us)
{
	control_members_t *members = load->control->members;
	load_report_t reports[DIGEST_SERVERS];
	peer_load_t entries[DIGEST_SERVERS];
	size_t count, i;

	count = digest_take(load->digest,
			    control_members_receiver_count(members), now_us,
			    reports, DIGEST_SERVERS);
	for (i = 0; i < count; i++) {
		entries[i].report = reports[i];
		entries[i].age_us = now_us - reports[i].taken_us;
	}
	if (count)
		control_members_send_digest(members, entries, count);
}

/*
 * Polls a server that is due if this node owns it. The load of other servers
 * comes in the digests of their owners.
 */
static void poll_if_due(server_t *server, int64_t now_us)
{
	control_load_t *load = server->load;

	if (server->call || now_us < server->due_us)
		return;
	if (control_credits_owns(load->control->credits, server->name)) {
		poll_server(server, now_us);
		return;
	}
	digest_drop(load->digest, server->name);
	server->due_us = now_us + POLL_INTERVAL_MS * US_PER_MS;
}

/*
 * Walks over all servers only when at least one is due: a walk over the 440
 * servers of a data centre on each tick took a tenth of the processor time of
 * an idle node.
 */
static void poll_due_servers(control_load_t *load, int64_t now_us)
{
	server_t *server;

	if (now_us < load->next_us)
		return;
	load->next_us = INT64_MAX;
	for (server = load->servers; server; server = server->hh.next) {
		poll_if_due(server, now_us);
		if (server->due_us < load->next_us)
			load->next_us = server->due_us;
	}
}

void control_load_tick(control_load_t *load, int64_t now_us)
{
	poll_due_servers(load, now_us);
	send_digest(load, now_us);
}

void control_load_resend(control_load_t *load)
{
	digest_resend(load->digest);
}

void control_load_apply_entry(control_load_t *load, const peer_load_t *entry)
{
	load_report_t report = entry->report;
	server_t *server;

	/* This node polls the servers that it owns itself. */
	if (control_credits_owns(load->control->credits, report.server))
		return;
	report.received_us = clock_monotonic_us();
	report.taken_us = report.received_us - entry->age_us;
	dispatch_apply_report(load->control->dispatch, &report,
			      report.received_us);
	control_orders_apply_report(load->control->orders, &report);
	HASH_FIND_STR(load->servers, report.server, server);
	if (server)
		server->report = report;
}

json_t *control_load_status(const control_load_t *load, int64_t now_us)
{
	const control_credits_t *credits = load->control->credits;
	json_t *list = json_array();
	server_t *server, *next;

	for (server = load->servers; server; server = next) {
		next = server->hh.next;
		const load_report_t *report = &server->report;

		json_array_append_new(
			list,
			json_pack("{s:s,s:b,s:b,s:I,s:I,s:i,s:i,s:I}", "name",
				  server->name, "owned",
				  control_credits_owns(credits, server->name),
				  "cold", report->cold, "kv_total_tokens",
				  (json_int_t)report->kv_total_tokens,
				  "kv_used_tokens",
				  (json_int_t)report->kv_used_tokens, "running",
				  report->running, "queued", report->queued,
				  "age_ms",
				  report->taken_us
					  ? (json_int_t)((now_us -
							  report->taken_us) /
							 US_PER_MS)
					  : (json_int_t)-1));
	}
	return list;
}

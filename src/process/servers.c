#include "process/servers.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

#include "base/mem.h"

/* First wait after a failed attempt; it doubles up to the second figure. A
 * process restart takes about a second, so three tries fall within it. */
#define BACKOFF_MIN_US (100 * US_PER_MS)
#define BACKOFF_MAX_US (10 * US_PER_S)

/* Used until the first report shows a measured prefill rate. */
#define ASSUMED_PREFILL_TOKENS_PER_S 10000

/* A report without a plausible time is taken to be this old. */
#define ASSUMED_REPORT_AGE_US (500 * US_PER_MS)
#define REPORT_AGE_MAX_US (10 * US_PER_S)

void servers_init(servers_t *servers, const char *data_centre, prefix_t *prefix)
{
	memset(servers, 0, sizeof(*servers));
	servers->prefix = prefix;
	mem_strlcpy(servers->data_centre, data_centre, NAME_SIZE_BYTES);
}

void servers_clear(servers_t *servers)
{
	server_t *server = servers->servers, *next_server;
	dc_t *dc = servers->dcs, *next_site;

	HASH_CLEAR(hh, servers->servers);
	HASH_CLEAR(hh, servers->dcs);
	for (; server; server = next_server) {
		next_server = server->hh.next;
		free(server);
	}
	for (; dc; dc = next_site) {
		next_site = dc->hh.next;
		free(dc);
	}
}

static dc_t *find_site(servers_t *servers, const char *name)
{
	dc_t *dc = NULL;

	HASH_FIND_STR(servers->dcs, name, dc);
	if (dc)
		return dc;
	dc = mem_calloc(1, sizeof(*dc));
	mem_strlcpy(dc->name, name, NAME_SIZE_BYTES);
	dc->local = !strcmp(name, servers->data_centre);
	dc->reachable = dc->local;
	HASH_ADD_STR(servers->dcs, name, dc);
	return dc;
}

server_t *servers_find(const servers_t *servers, const char *name)
{
	server_t *server = NULL;

	HASH_FIND_STR(servers->servers, name, server);
	return server;
}

static void configure_server(servers_t *servers, const document_t *document,
			     const server_conf_t *conf)
{
	server_t *server = servers_find(servers, conf->name);

	if (!server) {
		server = mem_calloc(1, sizeof(*server));
		mem_strlcpy(server->name, conf->name, NAME_SIZE_BYTES);
		server->us_per_token =
			(double)US_PER_S / ASSUMED_PREFILL_TOKENS_PER_S;
		server->lane_rank =
			(uint32_t)XXH64(conf->name, strlen(conf->name), 0);
		HASH_ADD_STR(servers->servers, name, server);
	}
	server->dc = find_site(servers, conf->data_centre);
	server->in_service = document_server_in_service(document, conf);
	server->kind = conf->kind;
	if (!server->reported || strcmp(server->model, conf->model) != 0)
		server->usable = true;
	mem_strlcpy(server->url, conf->url, URL_SIZE_BYTES);
	mem_strlcpy(server->model, conf->model, NAME_SIZE_BYTES);
	if (server->configured_kv_tokens != conf->kv_tokens)
		server->kv_tokens = conf->kv_tokens;
	server->configured_kv_tokens = conf->kv_tokens;
}

/* Builds the table again from the servers that are configured or in use. */
static void remove_unused(servers_t *servers, const document_t *document)
{
	server_t *server = servers->servers, *next;

	HASH_CLEAR(hh, servers->servers);
	for (; server; server = next) {
		next = server->hh.next;
		if (!document_server(document, server->name)) {
			server->in_service = false;
			if (!server->references) {
				prefix_drop(servers->prefix, &server->prefix);
				free(server);
				continue;
			}
		}
		HASH_ADD_STR(servers->servers, name, server);
	}
}

void servers_configure(servers_t *servers, const document_t *document)
{
	dc_t *dc;
	size_t i;

	for (i = 0; i < document_server_count(document); i++)
		configure_server(servers, document,
				 document_server_at(document, i));
	for (dc = servers->dcs; dc; dc = dc->hh.next)
		dc->rtt_us = document_rtt_us(document, servers->data_centre,
					     dc->name);
	remove_unused(servers, document);
}

void servers_reachable(servers_t *servers, const char *data_centre,
		       bool reachable)
{
	dc_t *dc = find_site(servers, data_centre);

	if (!dc->local)
		dc->reachable = reachable;
}

static bool serves(const document_t *document, const service_conf_t *service,
		   const server_t *server)
{
	size_t i;

	if (!document_server(document, server->name))
		return false;
	if (service->kind == SERVICE_MODEL)
		return server->kind == SERVER_ENGINE &&
		       !strcmp(server->model, service->model);
	for (i = 0; i < service->server_count; i++)
		if (!strcmp(service->servers[i], server->name))
			return true;
	return false;
}

static int by_distance(const void *a, const void *b)
{
	const dc_t *x = ((const group_t *)a)->dc;
	const dc_t *y = ((const group_t *)b)->dc;

	if (x->local != y->local)
		return x->local ? -1 : 1;
	if (x->rtt_us != y->rtt_us)
		return x->rtt_us < y->rtt_us ? -1 : 1;
	return strcmp(x->name, y->name);
}

static int by_lane_rank(const void *a, const void *b)
{
	const server_t *x = *(server_t *const *)a;
	const server_t *y = *(server_t *const *)b;

	if (x->lane_rank != y->lane_rank)
		return x->lane_rank < y->lane_rank ? -1 : 1;
	return strcmp(x->name, y->name);
}

static group_t *find_group(group_t **groups, size_t *count, dc_t *dc,
			   size_t capacity)
{
	group_t *group;
	size_t i;

	for (i = 0; i < *count; i++)
		if ((*groups)[i].dc == dc)
			return &(*groups)[i];
	*groups = mem_realloc(*groups, *count + 1, sizeof(**groups));
	group = &(*groups)[(*count)++];
	memset(group, 0, sizeof(*group));
	group->dc = dc;
	group->servers = mem_calloc(capacity, sizeof(server_t *));
	return group;
}

size_t servers_groups(const servers_t *servers, const document_t *document,
		      const service_conf_t *service, group_t **groups)
{
	size_t capacity = HASH_COUNT(servers->servers);
	size_t count = 0, i;
	server_t *server;

	*groups = NULL;
	for (server = servers->servers; server; server = server->hh.next) {
		group_t *group;

		if (!serves(document, service, server))
			continue;
		group = find_group(groups, &count, server->dc, capacity);
		group->servers[group->count++] = server;
	}
	if (count)
		qsort(*groups, count, sizeof(**groups), by_distance);
	for (i = 0; i < count; i++)
		qsort((*groups)[i].servers, (*groups)[i].count,
		      sizeof(server_t *), by_lane_rank);
	return count;
}

void groups_free(group_t *groups, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		free(groups[i].servers);
	free(groups);
}

static bool report_usable(const server_t *server, const load_report_t *report)
{
	int32_t i;

	if (server->kind == SERVER_PLAIN)
		return true;
	if (report->role != ROLE_BOTH)
		return false;
	for (i = 0; i < report->model_count && i < LOAD_MODELS_MAX; i++)
		if (!strcmp(report->models[i], server->model))
			return true;
	return false;
}

static int64_t report_time_us(const load_report_t *report)
{
	if (report->taken_us > report->received_us ||
	    report->taken_us < report->received_us - REPORT_AGE_MAX_US)
		return report->received_us - ASSUMED_REPORT_AGE_US;
	return report->taken_us;
}

bool server_apply_report(server_t *server, const load_report_t *report)
{
	bool restarted = server->reported &&
			 server->incarnation != report->incarnation;
	int64_t taken_us = report_time_us(report);
	const send_t *send = server->sends;

	if (!restarted && server->reported &&
	    taken_us < server->report_taken_us)
		return false;
	server->reported = true;
	server->incarnation = report->incarnation;
	server->report_taken_us = taken_us;
	server->usable = report_usable(server, report);
	server->shares_kv = report->shares_kv;
	server->kv_tokens = server->configured_kv_tokens;
	if (report->kv_total_tokens > 0 &&
	    report->kv_total_tokens < server->kv_tokens)
		server->kv_tokens = report->kv_total_tokens;
	if (report->prefill_tokens_per_s > 0)
		server->us_per_token =
			(double)US_PER_S / (double)report->prefill_tokens_per_s;
	server->backlog_tokens = report->prefill_queued_tokens;
	server->backlog_at_us = taken_us;
	for (; send; send = send->next) {
		/* What arrived after the report is not part of it. */
		if (!send->prefilled &&
		    send->sent_us + server->dc->rtt_us / 2 >= taken_us)
			server->backlog_tokens += send->prefill_tokens;
	}
	return restarted;
}

int64_t server_backlog_tokens(const server_t *server, int64_t now_us)
{
	int64_t done = (int64_t)((double)(now_us - server->backlog_at_us) /
				 server->us_per_token);

	return done < server->backlog_tokens ? server->backlog_tokens - done
					     : 0;
}

bool server_may_try(const server_t *server, int64_t now_us)
{
	if (!server->failures)
		return true;
	return now_us >= server->retry_at_us && !server->in_flight;
}

void server_sent(server_t *server, send_t *send, int64_t now_us)
{
	send->server = server;
	send->sent_us = now_us;
	send->prefilled = false;
	DL_APPEND(server->sends, send);
	server->references++;
	server->in_flight++;
	server->long_prefills += send->is_long;
	server->backlog_tokens =
		server_backlog_tokens(server, now_us) + send->prefill_tokens;
	server->backlog_at_us = now_us;
}

void server_first_token(send_t *send)
{
	if (send->prefilled)
		return;
	send->prefilled = true;
	send->server->long_prefills -= send->is_long;
}

void server_ended(send_t *send)
{
	server_t *server = send->server;

	if (!server)
		return;
	server_first_token(send);
	DL_DELETE(server->sends, send);
	server->references--;
	server->in_flight--;
	send->server = NULL;
}

void server_succeeded(server_t *server)
{
	server->failures = 0;
}

void server_failed(server_t *server, int64_t now_us)
{
	int64_t wait_us = BACKOFF_MIN_US;
	int32_t i;

	/* Attempts that were in flight together fail together: one step. */
	if (server->failures && now_us < server->retry_at_us)
		return;
	for (i = 0; i < server->failures && wait_us < BACKOFF_MAX_US; i++)
		wait_us *= 2;
	if (wait_us > BACKOFF_MAX_US)
		wait_us = BACKOFF_MAX_US;
	server->failures++;
	server->retry_at_us = now_us + wait_us;
}

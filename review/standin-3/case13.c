/*
 * Case 13: an entry of another writer, which lacks fields, stands for one beat
 * in the place of a server's own, which said that the server drains. Nodes use
 * the server again.
 *
 * Usage: case13 RECORD; without TROUBLE=0 in the environment the other writer
 * writes.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOST "lists.example"
#define SERVERS 4
#define NODES 2
#define DRAIN_AT_S 5.0
#define DRAIN_S 2.0 /* drainMs */
#define FOREIGN_AFTER_S 2.6 /* from the ack of the draining */
#define BEAT_S 1.2 /* beatMs */
#define END_AFTER_S 6.0 /* the server goes on serving until then */
#define PAUSE_S 0.03

static server_t servers[SERVERS] = {
	{ .id = "i-1", .service = "jobdesk", .work_ms = 10, .slots = 6 },
	{ .id = "i-2", .service = "jobdesk", .work_ms = 10, .slots = 6 },
	{ .id = "i-3", .service = "jobdesk", .work_ms = 10, .slots = 6 },
	{ .id = "i-4", .service = "jobdesk", .work_ms = 10, .slots = 6 },
};
static daemon_node_t nodes[NODES];
static double acked_s; /* ack of the draining; 0: not yet */
static int broken;

static void on_run(const server_t *server, const char *id, double at_s)
{
	rig_record("%s reaches %s", id, server->id);
	if (!server->is_leaving || !acked_s || at_s < acked_s + DRAIN_S)
		return;
	rig_record("this is %.3f s after the ack of its draining",
		   at_s - acked_s);
	broken++;
}

static void write_config(void)
{
	store_put("config", "main",
		  json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}]"
			    ",s:[{s:s,s:s,s:i,s:f,s:f}],s:{s:i,s:i,s:i,s:i}}",
			    "version", 1, "routes", "name", "r-1", "host", HOST,
			    "pathPrefix", "/status/", "kind", "idempotent",
			    "timeoutMs", 1000, "targetLatencyMs", 100,
			    "priority", 2, "service", "jobdesk", "attempts", 2,
			    "public", 1, "services", "name", "jobdesk",
			    "healthPath", "/health", "maxConns", 400, "coldS",
			    0.0, "coldPerS", 0.0, "limits", "headerBytes",
			    16384, "bodyBytes", 4194304, "headerTimeoutMs",
			    3000, "idleTimeoutMs", 15000));
}

/* An entry of the server without version, coldLeftMs, seq and born. */
static void write_foreign(const server_t *server)
{
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d", server->port);
	store_put("servers", server->id,
		  json_pack("{s:s,s:s,s:s,s:i,s:s}", "service", server->service,
			    "address", address, "zone", "north",
			    "concurrencyLimit", server->slots, "state",
			    "ready"));
	rig_record("another writer writes the entry of %s, without version, "
		   "coldLeftMs, seq and born", server->id);
}

/* @return requests with an answer */
static int ask(double until_s)
{
	static int number;
	int answered = 0;
	char id[32];

	while (rig_now_s() < until_s) {
		result_t result;

		snprintf(id, sizeof(id), "r%08d", number);
		rig_record("%s sent", id);
		result = client_get(nodes[number++ % NODES].front_port, HOST,
				    "/status/x", id, "", 1000);
		rig_record("%s answered %d by %s", id, result.status,
			   *result.server ? result.server : "-");
		answered += result.status == 200;
		usleep((useconds_t)(PAUSE_S * 1e6));
	}
	return answered;
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool is_calm = trouble && !strcmp(trouble, "0");
	char name[16];
	int i;

	if (argc != 2)
		return RIG_NOT_RUN;
	rig_start(argv[1]);
	for (i = 0; i < SERVERS; i++) {
		servers[i].run_seen = on_run;
		server_up(&servers[i], 0);
		server_report(&servers[i]);
	}
	write_config();
	for (i = 0; i < NODES; i++) {
		snprintf(name, sizeof(name), "front-%d", i + 1);
		daemon_start(&nodes[i], name,
			     store_link_port(store_link_open()),
			     "contracts=base,drain,config,cost,retry,recover,"
			     "engine,stream,tenants,places,pressure,platform,"
			     "spans\n");
	}
	for (i = 0; i < NODES; i++)
		if (!daemon_wait_ready(&nodes[i], 3))
			rig_finish(RIG_NOT_RUN);
	if (!ask(DRAIN_AT_S))
		rig_finish(RIG_NOT_RUN);
	servers[0].is_leaving = true;
	server_report(&servers[0]);
	acked_s = rig_now_s();
	rig_record("the draining of %s is acknowledged", servers[0].id);
	ask(acked_s + FOREIGN_AFTER_S);
	if (!is_calm)
		write_foreign(&servers[0]);
	ask(acked_s + FOREIGN_AFTER_S + BEAT_S);
	server_report(&servers[0]);
	rig_record("%s writes its own entry again", servers[0].id);
	if (!ask(acked_s + END_AFTER_S))
		rig_finish(RIG_NOT_RUN);
	rig_record("%d requests reached it later than drainMs", broken);
	rig_finish(broken ? RIG_BROKEN : RIG_HELD);
}

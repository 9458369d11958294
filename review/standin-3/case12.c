/*
 * Case 12: a configuration that takes the last key away opens all routes.
 *
 * Usage: case12 RECORD; without TROUBLE=0 in the environment the operator takes
 * away the only tenant; with it the operator takes away one of two tenants.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOST "lists.example"
#define KEY "yhks8nbkxxmibw6kpqk8" /* is taken away */
#define OTHER_KEY "bdk9eevyxq2yyazax6pw"
#define UNKNOWN_KEY "aaaaaaaaaaaaaaaaaaaa" /* no configuration holds it */
#define REVOKE_AT_S 4.0
#define REVOKE_S 5.0 /* revokeMs */
#define END_S 13.0
#define NODES 2

static daemon_node_t nodes[NODES];

static void write_config(int version, json_t *tenants)
{
	store_put("config", "main",
		  json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}]"
			    ",s:[{s:s,s:s,s:i,s:f,s:f}],s:{s:i,s:i,s:i,s:i},"
			    "s:o}",
			    "version", version, "routes", "name", "r-1", "host",
			    HOST, "pathPrefix", "/status/", "kind",
			    "idempotent", "timeoutMs", 1000, "targetLatencyMs",
			    100, "priority", 2, "service", "jobdesk",
			    "attempts", 2, "public", 0, "services", "name",
			    "jobdesk", "healthPath", "/health", "maxConns", 400,
			    "coldS", 0.0, "coldPerS", 0.0, "limits",
			    "headerBytes", 16384, "bodyBytes", 4194304,
			    "headerTimeoutMs", 3000, "idleTimeoutMs", 15000,
			    "tenants", tenants));
}

static json_t *tenant(const char *name, const char *key)
{
	return json_pack("{s:s,s:[s],s:i}", "name", name, "keys", key,
			 "priority", 1);
}

/* @return requests with the key that ran */
static int ask(const char *key, double until_s)
{
	char id[32], header[128];
	int ran = 0, sent = 0;
	static int number;

	snprintf(header, sizeof(header), "Authorization: Bearer %s\r\n", key);
	while (rig_now_s() < until_s) {
		result_t result;

		snprintf(id, sizeof(id), "r%08d", number);
		rig_record("%s sent with key %s", id, key);
		result = client_get(nodes[number++ % NODES].front_port, HOST,
				    "/status/x", id, header, 1000);
		rig_record("%s answered %d by %s", id, result.status,
			   *result.server ? result.server : "-");
		ran += *result.server != 0;
		sent++;
		usleep(50 * 1000);
	}
	rig_record("key %s: %d of %d requests ran", key, ran, sent);
	return ran;
}

int main(int argc, char **argv)
{
	static server_t server = { .id = "i-1", .service = "jobdesk",
				   .work_ms = 5, .slots = 6 };
	const char *trouble = getenv("TROUBLE");
	bool is_calm = trouble && !strcmp(trouble, "0");
	json_t *tenants = json_array();
	int i, before, after, unknown;
	char name[16];

	if (argc != 2)
		return RIG_NOT_RUN;
	rig_start(argv[1]);
	server_up(&server, 0);
	server_report(&server);
	json_array_append_new(tenants, tenant("hule930", KEY));
	if (is_calm)
		json_array_append_new(tenants, tenant("fida11", OTHER_KEY));
	write_config(1, tenants);
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
	before = ask(KEY, REVOKE_AT_S);
	tenants = json_array();
	if (is_calm)
		json_array_append_new(tenants, tenant("fida11", OTHER_KEY));
	write_config(4, tenants);
	rig_record("version 4 is acknowledged, without key " KEY);
	rig_sleep_until(REVOKE_AT_S + REVOKE_S + 0.5);
	after = ask(KEY, END_S - 1);
	unknown = ask(UNKNOWN_KEY, END_S);
	if (!before)
		rig_finish(RIG_NOT_RUN);
	rig_finish(after || unknown ? RIG_BROKEN : RIG_HELD);
}

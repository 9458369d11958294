/*
 * Case 14: a server becomes cold and says so in its entry, which a node whose
 * watch of the servers has fallen silent does not see for up to 4 s. The node
 * goes on with the full load.
 *
 * Usage: case14 RECORD; without TROUBLE=0 in the environment the channel of the
 * watch falls silent. The server becomes cold in both cases.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOST "lists.example"
#define NODES 3
#define SERVERS 6
#define PER_S 900 /* requests of all clients */
#define COLD_PER_S 36.0
#define COLD_MULTIPLIER 1.5
#define COLD_SLACK 5
#define COLD_MS 3000
#define FROM_S 4.0
#define SILENT_FROM_S 7.0 /* the next watch falls silent */
#define COLD_AFTER_S 0.3 /* from the silence */
#define END_S 15.0

enum { ARRIVALS_MAX = 100000 };

static server_t servers[SERVERS] = {
	{ .id = "i-1", .service = "jobdesk", .work_ms = 10, .slots = 6 },
	{ .id = "i-2", .service = "jobdesk", .work_ms = 10, .slots = 6 },
	{ .id = "i-3", .service = "jobdesk", .work_ms = 10, .slots = 6 },
	{ .id = "i-4", .service = "jobdesk", .work_ms = 10, .slots = 6 },
	{ .id = "i-5", .service = "jobdesk", .work_ms = 10, .slots = 6 },
	{ .id = "i-6", .service = "jobdesk", .work_ms = 10, .slots = 6 },
};
static daemon_node_t nodes[NODES];
static store_link_t *links[NODES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Requests that were sent and arrived while their server was cold. */
static double sent_s[ARRIVALS_MAX]; /* by number of the request */
static double cold_sent_s[ARRIVALS_MAX], cold_arrived_s[ARRIVALS_MAX];
static int cold_count, answered, sent;

static void on_run(const server_t *server, const char *id, double at_s)
{
	int number = atoi(id + 1);
	bool is_cold = at_s < server->cold_until_s;

	rig_record("%s reaches %s%s", id, server->id, is_cold ? ", cold" : "");
	if (!is_cold || cold_count == ARRIVALS_MAX)
		return;
	cold_sent_s[cold_count] = sent_s[number];
	cold_arrived_s[cold_count++] = at_s;
}

/* @return most requests that were sent and arrived within one second */
static int most_in_a_second(void)
{
	int most = 0, i, j;

	for (i = 0; i < cold_count; i++) {
		int count = 0;

		for (j = 0; j < cold_count; j++)
			count += cold_sent_s[j] >= cold_sent_s[i] &&
				 cold_arrived_s[j] < cold_sent_s[i] + 1;
		if (count > most)
			most = count;
	}
	return most;
}

static void *send_request(void *argument)
{
	int number = (int)(intptr_t)argument;
	char id[32];
	result_t result;

	snprintf(id, sizeof(id), "r%08d", number);
	sent_s[number] = rig_now_s();
	result = client_get(nodes[number % NODES].front_port, HOST,
			    "/status/x", id, "", 1000);
	pthread_mutex_lock(&lock);
	answered += result.status == 200;
	pthread_mutex_unlock(&lock);
	rig_record("%s answered %d", id, result.status);
	return NULL;
}

static void send_one(void)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	if (pthread_create(&thread, &attributes, send_request,
			   (void *)(intptr_t)sent++))
		rig_finish(RIG_NOT_RUN);
	pthread_attr_destroy(&attributes);
}

static void send_until(double until_s)
{
	static double next_s = FROM_S;

	for (; next_s < until_s; next_s += 1.0 / PER_S) {
		rig_sleep_until(next_s);
		send_one();
	}
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
			    COLD_MS / 1e3, "coldPerS", COLD_PER_S, "limits",
			    "headerBytes", 16384, "bodyBytes", 4194304,
			    "headerTimeoutMs", 3000, "idleTimeoutMs", 15000));
}

int main(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	bool is_calm = trouble && !strcmp(trouble, "0");
	double bound = COLD_PER_S * COLD_MULTIPLIER + COLD_SLACK;
	char name[16];
	int i, most;

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
		links[i] = store_link_open();
		snprintf(name, sizeof(name), "front-%d", i + 1);
		daemon_start(&nodes[i], name, store_link_port(links[i]),
			     "contracts=base,drain,config,cost,retry,recover,"
			     "engine,stream,tenants,places,pressure,platform,"
			     "spans\n");
	}
	for (i = 0; i < NODES; i++)
		if (!daemon_wait_ready(&nodes[i], FROM_S))
			rig_finish(RIG_NOT_RUN);
	send_until(SILENT_FROM_S);
	if (!is_calm) {
		store_link_silence(links[0], "servers");
		while (!store_link_silent_s(links[0]) && rig_now_s() < END_S)
			send_until(rig_now_s() + 0.01);
	}
	send_until(rig_now_s() + COLD_AFTER_S);
	servers[0].cold_until_s = rig_now_s() + COLD_MS / 1e3;
	server_report(&servers[0]);
	rig_record("%s is cold for %d ms, and its entry says so",
		   servers[0].id, COLD_MS);
	send_until(END_S);
	usleep(1500 * 1000);
	pthread_mutex_lock(&lock);
	most = most_in_a_second();
	rig_record("%d requests, %d answered 200; cold servers got %d, at most "
		   "%d in a second, of %.0f",
		   sent, answered, cold_count, most, bound);
	if (answered < sent / 2)
		rig_finish(RIG_NOT_RUN);
	rig_finish(most > bound ? RIG_BROKEN : RIG_HELD);
}

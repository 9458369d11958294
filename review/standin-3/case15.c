/*
 * Case 15: nodes that are killed forget how many requests they have sent again,
 * and send as many once more.
 *
 * Usage: case15 RECORD; without TROUBLE=0 in the environment all machines are
 * killed at once. Many users come in both cases.
 */
#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define HOST "lists.example"
#define NODES 3
#define SERVERS 6
#define PER_S 14.0
#define BURST_PER_S 36.0 /* 2.6 times as many */
#define FROM_S 3.0
#define BURST_S 12.0
#define KILL_S 15.5
#define RESTART_AFTER_S 0.3
#define END_S 22.0
#define WINDOW_S 10.0 /* budgetWindowS */
#define RATIO 0.2 /* budgetRatio */
#define SLACK 100 /* retrySlack */

enum { REQUESTS_MAX = 4096, ARRIVALS_MAX = 65536 };

static server_t servers[SERVERS];
static daemon_node_t nodes[NODES];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double sent_s[REQUESTS_MAX];
static int arrivals[REQUESTS_MAX];
static double again_s[ARRIVALS_MAX]; /* arrivals beyond the first */
static int sent, answered, again_count;

static void on_arrival(const server_t *server, const char *id, double at_s)
{
	int number = atoi(id + 1);

	rig_record("%s arrives at %s%s", id, server->id,
		   arrivals[number] ? " again" : "");
	if (arrivals[number]++ && again_count < ARRIVALS_MAX)
		again_s[again_count++] = at_s;
}

static int sent_between(double from_s, double to_s)
{
	int i, count = 0;

	for (i = 0; i < sent; i++)
		count += sent_s[i] >= from_s && sent_s[i] < to_s;
	return count;
}

/* @return true if a window that ends with an arrival breaks the rule */
static bool is_broken(void)
{
	double most_over = -1e9;
	int i, j;

	for (i = 0; i < again_count; i++) {
		double end_s = again_s[i] + 1e-6, from_s = end_s - WINDOW_S;
		int count = 0, requests = sent_between(from_s, end_s);
		int before = sent_between(from_s - WINDOW_S, from_s);
		int half = sent_between(from_s - WINDOW_S / 2,
					end_s - WINDOW_S / 2);
		double over;

		for (j = 0; j < again_count; j++)
			count += again_s[j] >= from_s && again_s[j] < end_s;
		requests = before > requests ? before : requests;
		requests = half > requests ? half : requests;
		over = count - (RATIO * requests + SLACK);
		if (over <= most_over)
			continue;
		most_over = over;
		rig_record("from %.3f to %.3f: %d arrivals beyond the first, "
			   "%.1f allowed, %d requests",
			   from_s, end_s, count, RATIO * requests + SLACK,
			   requests);
	}
	return most_over > 0;
}

static void *send_request(void *argument)
{
	int number = (int)(intptr_t)argument;
	char id[32];
	result_t result;

	snprintf(id, sizeof(id), "r%08d", number);
	result = client_get(nodes[number % NODES].front_port, HOST,
			    "/status/x", id, "", 1000);
	pthread_mutex_lock(&lock);
	answered += result.status == 200;
	pthread_mutex_unlock(&lock);
	rig_record("%s answered %d", id, result.status);
	return NULL;
}

static void send_until(double until_s)
{
	static double next_s = FROM_S;

	while (next_s < until_s) {
		pthread_attr_t attributes;
		pthread_t thread;

		rig_sleep_until(next_s);
		sent_s[sent] = rig_now_s();
		pthread_attr_init(&attributes);
		pthread_attr_setdetachstate(&attributes,
					    PTHREAD_CREATE_DETACHED);
		if (sent == REQUESTS_MAX ||
		    pthread_create(&thread, &attributes, send_request,
				   (void *)(intptr_t)sent++))
			rig_finish(RIG_NOT_RUN);
		pthread_attr_destroy(&attributes);
		next_s += 1 / (next_s < BURST_S ? PER_S : BURST_PER_S);
	}
}

static void write_config(void)
{
	store_put("config", "main",
		  json_pack("{s:i,s:[{s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:s,s:i,s:b}]"
			    ",s:[{s:s,s:s,s:i,s:f,s:f}],s:{s:i,s:i,s:i,s:i}}",
			    "version", 1, "routes", "name", "r-1", "host", HOST,
			    "pathPrefix", "/status/", "kind", "idempotent",
			    "timeoutMs", 1000, "targetLatencyMs", 300,
			    "priority", 2, "service", "jobdesk", "attempts", 2,
			    "public", 1, "services", "name", "jobdesk",
			    "healthPath", "/health", "maxConns", 400, "coldS",
			    0.0, "coldPerS", 0.0, "limits", "headerBytes",
			    16384, "bodyBytes", 4194304, "headerTimeoutMs",
			    3000, "idleTimeoutMs", 15000));
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
		static char ids[SERVERS][8];

		snprintf(ids[i], sizeof(ids[i]), "i-%d", i + 1);
		servers[i] = (server_t){ .id = ids[i], .service = "jobdesk",
					 .work_ms = 400, .slots = 1,
					 .queue = 1,
					 .arrival_seen = on_arrival };
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
		if (!daemon_wait_ready(&nodes[i], FROM_S))
			rig_finish(RIG_NOT_RUN);
	send_until(KILL_S);
	for (i = 0; i < NODES && !is_calm; i++)
		daemon_kill(&nodes[i]);
	send_until(KILL_S + RESTART_AFTER_S);
	for (i = 0; i < NODES && !is_calm; i++)
		daemon_restart(&nodes[i]);
	send_until(END_S);
	usleep(1500 * 1000);
	rig_record("%d requests, %d answered 200, %d arrivals beyond the first",
		   sent, answered, again_count);
	if (answered < sent / 4)
		rig_finish(RIG_NOT_RUN);
	rig_finish(is_broken() ? RIG_BROKEN : RIG_HELD);
}

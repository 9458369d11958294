/*
 * A server leaves shortly after the channels to the store have gone silent. The
 * daemons have sent it nothing since; the next requests come when they are in
 * touch again.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

enum {
	NODES = 3,
	SERVERS = 2, /* and one that starts in place of the one that leaves */
	REQUESTS = 8, /* to each daemon */
	STABLE_WINDOW_MS = 3000,
	DRAIN_MS = 2000
};

static node_t nodes[NODES] = { { .name = "front-a-1", .zone = "a" },
			       { .name = "front-b-1", .zone = "b" },
			       { .name = "front-c-1", .zone = "c" } };
static server_t servers[SERVERS + 1];
static int64_t acked_ms; /* when the store took the leaving; 0: not yet */
static int late;

static bool serve(server_t *server, const message_t *request, int fd)
{
	bool leaves = server == &servers[0] && acked_ms;
	int64_t after_ms = now_ms() - acked_ms;
	char id[ID_SIZE];

	if (!strncmp(request->head, "GET /health ", 12))
		return server_answer(request, fd, leaves ? 503 : 200, NULL, "",
				     0);
	if (server_is_other(server, request, fd))
		return true;
	message_header(request, "X-Request-Id", id, sizeof(id));
	late += leaves && after_ms > DRAIN_MS;
	if (leaves)
		record("server %s, draining: %s arrives %lld ms after the ack",
		       server->id, id, (long long)after_ms);
	else
		record("server %s: %s arrives", server->id, id);
	sleep_ms(15);
	return server_answer(request, fd, 200,
			     leaves ? "Server-Leaving: 1\r\n" : NULL, "ok", 2);
}

static void send_request(const char *name, int node, int number)
{
	message_t *answer = calloc(1, sizeof(*answer));
	char id[ID_SIZE];
	client_request_t request = { .method = "GET",
				     .path = "/s/status",
				     .id = id,
				     .key = "k1",
				     .deadline_ms = 1000 };
	int fd = connect_to(nodes[node].front_port, 1000);

	snprintf(id, sizeof(id), "%s-%d-%d", name, node, number);
	record("client: %s sent to %s", id, nodes[node].name);
	if (fd >= 0)
		client_exchange(fd, &request, answer);
	record("client: %s answered with %d", id, answer->status);
	message_clear(answer);
	free(answer);
	if (fd >= 0)
		close(fd);
}

static void send_requests(const char *name, int count)
{
	int i, node;

	for (i = 0; i < count; i++) {
		for (node = 0; node < NODES; node++)
			send_request(name, node, i);
		sleep_ms(20);
	}
}

int main(int argc, char **argv)
{
	int64_t silent_ms;
	int i;

	record_open(argc > 1 ? argv[1] : ".");
	for (i = 0; i <= SERVERS; i++) {
		servers[i] = (server_t){ .service = "jobdesk",
					 .zone = "a",
					 .slots = 6,
					 .born_ms = 1700000000000,
					 .serve = serve };
		snprintf(servers[i].id, ID_SIZE, "i-%d", i);
		server_start(&servers[i]);
		if (i < SERVERS)
			server_announce(&servers[i]);
	}
	store_write(
		"config", "main",
		json_pack("{s:i,s:[o],s:[{s:s,s:s}],s:o,s:[{s:s,s:[s]}]}",
			  "version", 3, "routes",
			  route_json("/s/", "idempotent", "jobdesk", 1000, 100),
			  "services", "name", "jobdesk", "healthPath",
			  "/health", "limits", limits_json(), "tenants", "name",
			  "t", "keys", "k1"));
	for (i = 0; i < NODES; i++) {
		nodes[i].store_port = store_open();
		if (!node_start(&nodes[i]))
			return 2;
	}
	for (i = 0; i < NODES; i++)
		if (!node_wait_ready(&nodes[i], 10000))
			return 2;
	sleep_ms(4000);
	send_requests("before", 2);
	/* A server starts, so that one can leave. */
	server_announce(&servers[SERVERS]);
	sleep_ms(250);
	silent_ms = now_ms();
	if (has_trouble())
		store_silence_channels();
	sleep_ms(400);
	servers[0].state = "draining";
	server_announce(&servers[0]);
	acked_ms = now_ms();
	/* The daemons are in touch again, and drainMs have passed. */
	sleep_until_ms(silent_ms + STABLE_WINDOW_MS + 100);
	send_requests("after", REQUESTS);
	nodes_end(nodes, NODES);
	record("%d requests reached i-0 later than %d ms after the ack", late,
	       DRAIN_MS);
	printf("late=%d\n", late);
	fflush(stdout);
	_exit(late > 0);
}

/*
 * The store turns one of three daemons away for 4.8 s. Meanwhile a server is
 * replaced, which never reports draining: its entry goes. Requests come when
 * the daemon is in touch again and drainMs have passed. Done three times.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

enum {
	NODES = 3,
	ROUNDS = 3,
	SERVERS = 2 + ROUNDS, /* in each round one starts and one leaves */
	REQUESTS = 14, /* in each round */
	OUTAGE_MS = 4800,
	STABLE_WINDOW_MS = 3000,
	DRAIN_MS = 2000
};

static node_t nodes[NODES] = { { .name = "front-a-1", .zone = "a" },
			       { .name = "front-b-1", .zone = "b" },
			       { .name = "front-c-1", .zone = "c" } };
static server_t servers[SERVERS];
static int64_t acked_ms[SERVERS]; /* when the store took the leaving; 0: not */
static int late;

static bool serve(server_t *server, const message_t *request, int fd)
{
	int64_t acked = acked_ms[server - servers];
	int64_t after_ms = acked ? now_ms() - acked : 0;
	char id[ID_SIZE];

	if (!strncmp(request->head, "GET /health ", 12))
		return server_answer(request, fd, acked ? 503 : 200, NULL, "",
				     0);
	if (server_is_other(server, request, fd))
		return true;
	message_header(request, "X-Request-Id", id, sizeof(id));
	late += after_ms > DRAIN_MS;
	if (acked)
		record("server %s, gone from the store: %s arrives %lld ms "
		       "after the ack",
		       server->id, id, (long long)after_ms);
	else
		record("server %s: %s arrives", server->id, id);
	sleep_ms(15);
	return server_answer(request, fd, 200,
			     acked ? "Server-Leaving: 1\r\n" : NULL, "ok", 2);
}

static void send_request(int round, int number, message_t *answer)
{
	char id[ID_SIZE];
	client_request_t request = { .method = "GET",
				     .path = "/s/status",
				     .id = id,
				     .key = "k1",
				     .deadline_ms = 1000 };
	int fd = connect_to(nodes[0].front_port, 1000);

	snprintf(id, sizeof(id), "q-%d-%d", round, number);
	record("client: %s sent to %s", id, nodes[0].name);
	if (fd >= 0)
		client_exchange(fd, &request, answer);
	record("client: %s answered with %d", id, answer->status);
	message_clear(answer);
	if (fd >= 0)
		close(fd);
}

static void run_round(int round, message_t *answer)
{
	int64_t end_ms;
	int i;

	record("round %d", round);
	if (has_trouble())
		store_set_mode(nodes[0].store_port, STORE_BUSY);
	sleep_ms(OUTAGE_MS - 1000);
	server_announce(&servers[2 + round]);
	sleep_ms(800);
	store_write("servers", servers[round].id, NULL);
	acked_ms[round] = now_ms();
	sleep_ms(200);
	if (has_trouble())
		store_set_mode(nodes[0].store_port, STORE_ANSWERS);
	end_ms = now_ms();
	sleep_until_ms(end_ms + STABLE_WINDOW_MS + 30);
	for (i = 0; i < REQUESTS; i++)
		send_request(round, i, answer);
	sleep_until_ms(end_ms + 8000);
}

int main(int argc, char **argv)
{
	message_t *answer = calloc(1, sizeof(*answer));
	int i;

	record_open(argc > 1 ? argv[1] : ".");
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (server_t){ .service = "jobdesk",
					 .zone = "a",
					 .slots = 6,
					 .born_ms = 1700000000000,
					 .serve = serve };
		snprintf(servers[i].id, ID_SIZE, "i-%d", i);
		server_start(&servers[i]);
		if (i < 2)
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
	send_request(-1, 0, answer);
	for (i = 0; i < ROUNDS; i++)
		run_round(i, answer);
	nodes_end(nodes, NODES);
	record("%d requests reached a server later than %d ms after the store "
	       "had acknowledged that it is gone",
	       late, DRAIN_MS);
	printf("late=%d\n", late);
	fflush(stdout);
	_exit(late > 0);
}

/*
 * Orders on kept channels: first one with few headers, then one whose headers
 * take 12,600 of the 16,384 bytes that the configuration allows.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

enum {
	CLIENTS = 20,
	HEAD_BYTES = 12600, /* request line and headers */
	HEAD_MAX_BYTES = 16384, /* limits.headerBytes */
	HEADER_BYTES = 245, /* one further header */
	ANSWER_HEADERS = 14, /* further headers of an answer, 75 bytes each */
	BODY_BYTES = 800,
	LOST_MAX = 3 /* LOST: more than three times */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int runs;

static bool serve(server_t *server, const message_t *request, int fd)
{
	char id[ID_SIZE], more[2048] = "", body[BODY_BYTES];
	int i;

	if (server_is_other(server, request, fd))
		return true;
	message_header(request, "X-Request-Id", id, sizeof(id));
	for (i = 0; i < ANSWER_HEADERS; i++)
		sprintf(more + strlen(more), "X-Job-Detail-%02d: %056d\r\n", i,
			i);
	pthread_mutex_lock(&lock);
	runs++;
	pthread_mutex_unlock(&lock);
	memset(body, 'x', sizeof(body));
	record("server %s: runs %s, answers 200 with %zu bytes of headers",
	       server->id, id, strlen(more) + 120);
	return server_answer(request, fd, 200, more, body, sizeof(body));
}

/* @return headers that make the request as long as HEAD_BYTES */
static void fill_headers(char *headers, size_t used)
{
	size_t size = 0;
	int i;

	for (i = 0; used + size + HEADER_BYTES < HEAD_BYTES; i++)
		size += (size_t)sprintf(headers + size,
					"X-Survey-%03d: %0*d"
					"\r\n",
					i, HEADER_BYTES - 16, i);
}

/* @return true if the whole answer came */
static bool exchange(int fd, const char *id, bool is_long, message_t *answer)
{
	char headers[HEAD_MAX_BYTES] = "";
	client_request_t request = { .method = "POST",
				     .path = "/o/lodgement",
				     .id = id,
				     .key = "k1",
				     .more_headers = headers,
				     .deadline_ms = 1000,
				     .body = "close job 7",
				     .body_size = 11 };
	bool is_whole;

	if (is_long)
		fill_headers(headers, 200);
	is_whole = client_exchange(fd, &request, answer);
	record("client: %s with %zu bytes of further headers: status %d%s", id,
	       strlen(headers), answer->status,
	       is_whole ? ", whole" : ", the channel ended");
	message_clear(answer);
	return is_whole;
}

int main(int argc, char **argv)
{
	static node_t node = { .name = "front-a-1", .zone = "a" };
	static server_t server = { .id = "i-1",
				   .service = "jobdesk",
				   .zone = "a",
				   .slots = 6,
				   .born_ms = 1700000000000,
				   .serve = serve };
	message_t *answer = calloc(1, sizeof(*answer));
	int lost = 0, kept = 0, before, i;

	record_open(argc > 1 ? argv[1] : ".");
	node.store_port = store_open();
	server_start(&server);
	server_announce(&server);
	store_write("config", "main",
		    json_pack("{s:i,s:[o],s:[{s:s,s:s}],s:o,s:[{s:s,s:[s]}]}",
			      "version", 3, "routes",
			      route_json("/o/", "non_idempotent", "jobdesk",
					 1000, 100),
			      "services", "name", "jobdesk", "healthPath",
			      "/health", "limits", limits_json(), "tenants",
			      "name", "t", "keys", "k1"));
	if (!node_start(&node) || !node_wait_ready(&node, 10000))
		return 2;
	/* In touch: nothing has happened for stableWindowMs. */
	sleep_ms(3500);
	for (i = 0; i < CLIENTS; i++) {
		int fd = connect_to(node.front_port, 1000);
		char id[ID_SIZE];

		snprintf(id, sizeof(id), "first-%d", i);
		if (fd < 0 || !exchange(fd, id, false, answer))
			continue;
		kept++;
		before = runs;
		snprintf(id, sizeof(id), "second-%d", i);
		if (!exchange(fd, id, has_trouble(), answer) && runs > before)
			lost++;
		close(fd);
	}
	nodes_end(&node, 1);
	record("%d kept channels, %d orders ran without an answer", kept, lost);
	printf("kept=%d lost=%d runs=%d\n", kept, lost, runs);
	fflush(stdout);
	_exit(kept < CLIENTS ? 2 : lost > LOST_MAX);
}

#include "rig.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum { TEXT_BYTES = 512 };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slot_free = PTHREAD_COND_INITIALIZER;

static int cold_left_ms(const server_t *server)
{
	double left_s = server->cold_until_s - rig_now_s();

	return left_s > 0 ? (int)(left_s * 1000) : 0;
}

void server_report(const server_t *server)
{
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d", server->port);
	store_put("servers", server->id,
		  json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:i,s:I}", "service",
			    server->service, "address", address, "zone",
			    "north", "version", "v1", "concurrencyLimit",
			    server->slots, "state",
			    server->is_leaving ? "draining" : "ready",
			    "coldLeftMs",
			    cold_left_ms(server), "seq", 0, "born",
			    (json_int_t)server->born_ms));
}

static bool answer_health(const server_t *server, int fd)
{
	char headers[TEXT_BYTES];

	snprintf(headers, sizeof(headers),
		 "X-Instance-Id: %s\r\nX-Cold-Ms: %d\r\nX-Server-Load: "
		 "0,0,%d\r\n",
		 server->id, cold_left_ms(server), server->slots);
	return send_answer(fd, 200, headers, "", 0);
}

static bool run_request(server_t *server, int fd, const message_t *request)
{
	char id[128] = "", headers[TEXT_BYTES], body[TEXT_BYTES];
	int size;

	message_header(request, "X-Request-Id", id, sizeof(id));
	pthread_mutex_lock(&lock);
	if (server->arrival_seen)
		server->arrival_seen(server, id, rig_now_s());
	if (server->queue && server->running >= server->slots &&
	    server->waiting >= server->queue) {
		pthread_mutex_unlock(&lock);
		snprintf(headers, sizeof(headers),
			 "X-Request-Id: %s\r\nX-Not-Run: 1\r\n", id);
		return send_answer(fd, 503, headers, "", 0);
	}
	server->waiting++;
	while (server->queue && server->running >= server->slots)
		pthread_cond_wait(&slot_free, &lock);
	server->waiting--;
	server->running++;
	server->runs++;
	if (server->run_seen)
		server->run_seen(server, id, rig_now_s());
	pthread_mutex_unlock(&lock);
	usleep((useconds_t)server->work_ms * 1000);
	pthread_mutex_lock(&lock);
	server->running--;
	pthread_cond_broadcast(&slot_free);
	pthread_mutex_unlock(&lock);
	size = snprintf(body, sizeof(body), "%s %s", server->id, id);
	snprintf(headers, sizeof(headers),
		 "X-Request-Id: %s\r\nX-Server-Seal: %s\r\nX-Server: %s\r\n%s",
		 id, id, server->id,
		 server->is_leaving ? "Server-Leaving: 1\r\n" : "");
	return send_answer(fd, 200, headers, body, (size_t)size);
}

static void on_connection(void *context, int fd)
{
	server_t *server = context;
	char wanted[128], headers[TEXT_BYTES];
	message_t request;
	bool open = true;

	while (open && message_read(fd, &request, false)) {
		if (!strcmp(request.target, "/health")) {
			open = answer_health(server, fd);
		} else if (message_header(&request, "X-Expect-Instance", wanted,
					  sizeof(wanted)) &&
			   strcmp(wanted, server->id) != 0) {
			snprintf(headers, sizeof(headers),
				 "X-Instance-Id: %s\r\nX-Not-Run: 1\r\n",
				 server->id);
			open = send_answer(fd, 421, headers, "", 0);
		} else {
			open = run_request(server, fd, &request);
		}
		message_clear(&request);
	}
	message_clear(&request);
}

void server_up(server_t *server, int cold_ms)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	server->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	server->cold_until_s = cold_ms ? rig_now_s() + cold_ms / 1e3 : 0;
	server->listener = listener_open(server->port, on_connection, server);
	server->port = listener_port(server->listener);
	rig_record("server %s of %s is up at port %d, cold for %d ms",
		   server->id, server->service, server->port, cold_ms);
}

void server_crash(server_t *server)
{
	listener_close(server->listener);
	server->listener = NULL;
	rig_record("server %s crashes", server->id);
}

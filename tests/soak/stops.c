#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"
#include "soak/soak.h"

enum {
	CHANNELS = 240,
	/* Of these, so many open a connection for each request, also to nodes
	 * that stop; the others keep theirs until the node closes it. */
	NEW_CHANNELS = 80,
	/* Of these, so many send lookups that take long, so that a stop has
	 * requests to wait for until its time is over. */
	LONG_CHANNELS = 16,
	ANSWER_MAX_BYTES = 4096,
	PAUSE_SHORT_MS = 100,
	/* Idle connections may be used for the last time when a stop ends. */
	PAUSE_LONG_MS = STOP_MS + 1500
};

#define STEP_S 0.002

/* A caller with one connection, and its request in progress. */
typedef struct {
	soak_t *soak;
	node_t *node;
	bool keeps; /* the connection */
	bool is_long; /* sends requests that take long */
	int fd; /* -1: none */
	request_record_t *record; /* NULL: none in progress */
	int64_t due_us; /* when to send the next one */
	char text[ANSWER_MAX_BYTES];
	size_t size;
} channel_t;

static channel_t channels[CHANNELS];
static ev_timer step_timer;

static int connect_to(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}

static uint64_t draw(channel_t *channel, uint64_t below)
{
	return soak_random_of(&channel->soak->stops_random, below);
}

static void rest(channel_t *channel)
{
	int64_t limit_ms = !channel->keeps || draw(channel, 2) ? PAUSE_SHORT_MS
							       : PAUSE_LONG_MS;

	channel->record = NULL;
	channel->size = 0;
	channel->due_us =
		clock_monotonic_us() +
		(int64_t)draw(channel, (uint64_t)limit_ms) * US_PER_MS;
}

static void close_channel(channel_t *channel)
{
	if (channel->fd >= 0)
		close(channel->fd);
	channel->fd = -1;
}

/* @return true if a whole answer was received */
static bool is_whole(const channel_t *channel)
{
	static const char last[] = "\r\n0\r\n\r\n";
	const char *text = channel->text, *end = strstr(text, "\r\n\r\n");
	const char *length = strstr(text, "Content-Length: ");

	if (!end)
		return false;
	if (length && length < end)
		return channel->size - (size_t)(end + 4 - text) >=
		       strtoul(length + strlen("Content-Length: "), NULL, 10);
	return channel->size >= strlen(last) &&
	       !strcmp(text + channel->size - strlen(last), last);
}

static void send_request(channel_t *channel)
{
	soak_t *soak = channel->soak;
	char text[400];
	int size;

	if (channel->fd < 0)
		channel->fd = connect_to(channel->node->port);
	if (channel->fd < 0) {
		rest(channel);
		return;
	}
	channel->record = callers_new_record(soak);
	channel->record->key = 0;
	channel->record->tries = channel->record->crash_cause = -1;
	channel->record->node = channel->node;
	if (channel->is_long)
		channel->record->path = 's';
	size = snprintf(text, sizeof(text),
			"GET /%c/%s HTTP/1.1\r\nHost: soak\r\n"
			"X-Request-Id: %s\r\nAuthorization: Bearer key-0\r\n"
			"X-Deadline-Ms: %d\r\nX-Token-Counts: 1000,400\r\n\r\n",
			channel->record->path, channel->is_long ? "long" : "x",
			channel->record->id, DEADLINE_MS);
	if (send(channel->fd, text, (size_t)size, MSG_NOSIGNAL) != size) {
		close_channel(channel);
		rest(channel);
	}
}

/* The connection ended: a request that a server ran must have its answer. */
static void on_closed(channel_t *channel)
{
	const request_record_t *record = channel->record;

	if (record && record->runs && !is_whole(channel))
		soak_violation(channel->soak,
			       "LOST %s: sent to %s on a %s connection %d ms "
			       "before its end, ran and got no answer",
			       record->id, channel->node->name,
			       channel->keeps ? "kept" : "new",
			       (int)((clock_monotonic_us() - record->sent_us) /
				     US_PER_MS));
	close_channel(channel);
	rest(channel);
}

static void receive(channel_t *channel)
{
	ssize_t size = recv(channel->fd, channel->text + channel->size,
			    sizeof(channel->text) - 1 - channel->size, 0);

	if (!size || (size < 0 && errno != EAGAIN)) {
		on_closed(channel);
		return;
	}
	if (size < 0)
		return;
	channel->size += (size_t)size;
	channel->text[channel->size] = '\0';
	if (!channel->record || !is_whole(channel))
		return;
	if (strncmp(channel->text, "HTTP/1.1 200", 12) == 0)
		channel->soak->counts.complete++;
	if (!channel->keeps || strstr(channel->text, "Connection: close"))
		close_channel(channel);
	rest(channel);
}

static void on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	int i;

	for (i = 0; i < CHANNELS; i++) {
		channel_t *channel = &channels[i];

		if (channel->fd >= 0)
			receive(channel);
		if (!channel->record && !channel->soak->faults_over &&
		    clock_monotonic_us() >= channel->due_us)
			send_request(channel);
	}
}

void stops_start(soak_t *soak)
{
	int i;

	if (!soak->stops)
		return;
	soak->stops_random = soak->random;
	for (i = 0; i < CHANNELS; i++) {
		channels[i] = (channel_t){
			.soak = soak,
			.node = &soak->nodes[i % soak->node_count],
			.keeps = i >= NEW_CHANNELS,
			.is_long = i < LONG_CHANNELS,
			.fd = -1,
		};
		rest(&channels[i]);
		channels[i].due_us += US_PER_S;
	}
	ev_timer_init(&step_timer, on_step, STEP_S, STEP_S);
	ev_timer_start(soak->loop, &step_timer);
}

void stops_end(soak_t *soak)
{
	int i;

	if (!soak->stops)
		return;
	ev_timer_stop(soak->loop, &step_timer);
	for (i = 0; i < CHANNELS; i++)
		close_channel(&channels[i]);
}

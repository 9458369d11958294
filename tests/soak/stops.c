#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/units.h"
#include "soak/answer.h"
#include "soak/soak.h"

enum {
	CHANNELS_MAX = 240,
	/* One channel of so many opens a connection for each request, also to
	 * nodes that stop; the others keep theirs until the node closes it. */
	NEW_SHARE = 3,
	/* One channel of so many sends lookups that take long, so that a stop
	 * has requests to wait for until its time is over. */
	LONG_SHARE = 15,
	TEXT_MAX_BYTES = 1600,
	BODY_BYTES = 600,
	CHUNK_BYTES = 200,
	PIECE_DELAY_MAX_MS = 300, /* between the pieces of a request */
	READ_LATE_MS = 600,
	SMALL_BUFFER_BYTES = 16 * 1024, /* of a caller that reads late */
	PAUSE_SHORT_MS = 100,
	/* Idle connections may be used for the last time when a stop ends. */
	PAUSE_LONG_MS = STOP_MS + 1500,
	/* A node has this long to close the connection of a request that it
	 * read and does not answer. */
	LOSS_SLACK_MS = 200
};

#define STEP_S 0.002

typedef enum { NO_BODY, WITH_LENGTH, IN_CHUNKS, BODY_FORMS } body_t;

static const char *const body_names[] = { "no body", "a body with a length",
					  "a body in chunks" };

/* A caller with one connection, and its request in progress. */
typedef struct {
	soak_t *soak;
	node_t *node;
	bool keeps; /* the connection */
	bool is_long; /* sends requests that take long */
	int fd; /* -1: none */
	request_record_t *record; /* NULL: none in progress */
	const char *asks_for; /* the answer */
	body_t body;
	bool reads_late;
	char text[TEXT_MAX_BYTES]; /* the request */
	size_t size, sent;
	size_t piece_ends[3]; /* it is sent in so many pieces at most */
	int64_t due_us; /* when to send the next piece, or request */
	int64_t sent_us; /* when the last byte was sent */
	int64_t stop_us; /* SIGTERM of the process that got the request; 0: the
			    request was sent before */
	answer_t answer;
	int64_t closed_us; /* when the connection was last open; 0: it is */
} channel_t;

static channel_t channels[CHANNELS_MAX];
static int channel_count;
static ev_timer step_timer;

static int connect_to(int port, bool reads_late)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int size = SMALL_BUFFER_BYTES;

	if (reads_late)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
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

static size_t format_body(const channel_t *channel, char *text, size_t size)
{
	char data[BODY_BYTES + 1];
	size_t used = 0, i;

	memset(data, 'b', BODY_BYTES);
	data[BODY_BYTES] = '\0';
	if (channel->body == WITH_LENGTH)
		return (size_t)snprintf(text, size, "%s", data);
	for (i = 0; i < BODY_BYTES / CHUNK_BYTES; i++)
		used += (size_t)snprintf(text + used, size - used,
					 "%x\r\n%.*s\r\n", CHUNK_BYTES,
					 CHUNK_BYTES, data);
	return used + (size_t)snprintf(text + used, size - used, "0\r\n\r\n");
}

static void format_request(channel_t *channel)
{
	static const char *const framings[] = {
		"", "Content-Length: 600\r\n", "Transfer-Encoding: chunked\r\n"
	};

	channel->size = (size_t)snprintf(
		channel->text, sizeof(channel->text),
		"%s /%c/%s HTTP/1.1\r\nHost: soak\r\nX-Request-Id: %s\r\n"
		"Authorization: Bearer key-0\r\nX-Deadline-Ms: %d\r\n"
		"X-Token-Counts: 1000,400\r\n%s\r\n",
		channel->body == NO_BODY ? "GET" : "POST",
		channel->record->path, channel->asks_for, channel->record->id,
		DEADLINE_MS, framings[channel->body]);
	if (channel->body != NO_BODY)
		channel->size +=
			format_body(channel, channel->text + channel->size,
				    sizeof(channel->text) - channel->size);
}

/* Half of the requests are sent in three pieces. */
static void cut_into_pieces(channel_t *channel)
{
	size_t *ends = channel->piece_ends, size = channel->size;

	ends[0] = ends[1] = ends[2] = size;
	if (!draw(channel, 2))
		return;
	ends[0] = 1 + draw(channel, size - 2);
	ends[1] = ends[0] + 1 + draw(channel, size - ends[0] - 1);
}

static void choose_request(channel_t *channel)
{
	static const char *const answers[] = { "x",	   "x",
					       "x",	   "x",
					       ANSWER_BIG, ANSWER_BIG_CHUNKS };
	request_record_t *record = callers_new_record(channel->soak);

	record->key = 0;
	record->tries = record->crash_cause = -1;
	record->node = channel->node;
	channel->record = record;
	channel->body = (body_t)draw(channel, BODY_FORMS);
	channel->asks_for =
		answers[draw(channel, sizeof(answers) / sizeof(answers[0]))];
	if (channel->is_long) {
		record->path = 's';
		channel->asks_for = ANSWER_DELAYED;
	}
	if (record->path == 't')
		channel->asks_for = "x";
	channel->stop_us = channel->node->stopping ? channel->node->stop_us : 0;
	format_request(channel);
	cut_into_pieces(channel);
	channel->sent = 0;
	channel->closed_us = 0;
	channel->answer = (answer_t){ .left = 0 };
}

static bool is_sent(const channel_t *channel)
{
	return channel->sent == channel->size;
}

/* Sends the next piece of the request. */
static void send_piece(channel_t *channel)
{
	size_t end = channel->size;
	int i;

	for (i = 2; i >= 0; i--)
		if (channel->piece_ends[i] > channel->sent)
			end = channel->piece_ends[i];
	/* A connection that failed is noticed by the next read. */
	(void)!send(channel->fd, channel->text + channel->sent,
		    end - channel->sent, MSG_NOSIGNAL);
	channel->sent = end;
	channel->sent_us = clock_monotonic_us();
	channel->due_us =
		channel->sent_us +
		(int64_t)draw(channel, PIECE_DELAY_MAX_MS) * US_PER_MS;
}

static void send_request(channel_t *channel)
{
	if (channel->fd < 0) {
		channel->reads_late = !draw(channel, 3);
		channel->fd =
			connect_to(channel->node->port, channel->reads_late);
	}
	if (channel->fd < 0) {
		rest(channel);
		return;
	}
	choose_request(channel);
	send_piece(channel);
}

static void count(const channel_t *channel, bool is_whole)
{
	soak_t *soak = channel->soak;
	int64_t sent_us = channel->record->sent_us;
	int status = 0;

	if (is_whole)
		sscanf(channel->answer.head, "HTTP/1.1 %d", &status);
	soak->counts.complete += status == 200;
	if (!channel->stop_us)
		return;
	soak->stop_counts.sent++;
	soak->stop_counts.refused += status == 503;
	soak->stop_counts.failed += status != 503 && status != 200;
	soak->stop_counts.served += status == 200;
	if (status == 200)
		soak->stop_counts.served_ms +=
			(clock_monotonic_us() - sent_us) / US_PER_MS;
}

/* @return why the end of the connection broke the rule; NULL: it did not */
static const char *find_loss(const channel_t *channel, int64_t now_us)
{
	const request_record_t *record = channel->record;

	if (now_us - record->sent_us >= DEADLINE_MS * US_PER_MS)
		return NULL;
	if (record->runs)
		return "ran";
	if (is_sent(channel) &&
	    now_us - channel->sent_us > LOSS_SLACK_MS * US_PER_MS)
		return "did not run";
	return NULL;
}

/* The connection ended within a request, or before its whole answer. */
static void on_cut(channel_t *channel)
{
	const request_record_t *record = channel->record;
	const node_t *node = channel->node;
	int64_t end_us = channel->closed_us;
	const char *loss = find_loss(channel, end_us);

	if (record->runs)
		count(channel, false);
	if (loss)
		soak_violation(
			channel->soak,
			"LOST %s: /%c/%s with %s, sent to %s on a %s connection "
			"%d ms after SIGTERM, closed %d ms later: it %s and got "
			"%zu bytes of an answer%s",
			record->id, record->path, channel->asks_for,
			body_names[channel->body], node->name,
			channel->keeps ? "kept" : "new",
			channel->stop_us
				? (int)((record->sent_us - channel->stop_us) /
					US_PER_MS)
				: -1,
			(int)((end_us - record->sent_us) / US_PER_MS), loss,
			channel->answer.head_size + channel->answer.body_size,
			channel->reads_late ? ", read late" : "");
}

static void on_closed(channel_t *channel)
{
	if (!channel->closed_us)
		channel->closed_us = channel->soak->stepped_us;
	if (channel->record)
		on_cut(channel);
	close_channel(channel);
	rest(channel);
}

static void on_answer(channel_t *channel)
{
	count(channel, true);
	if (!channel->keeps ||
	    strstr(channel->answer.head, "Connection: close"))
		close_channel(channel);
	rest(channel);
}

static void receive(channel_t *channel)
{
	char data[16 * 1024];
	ssize_t size = recv(channel->fd, data, sizeof(data), 0);

	if (!size || (size < 0 && errno != EAGAIN)) {
		on_closed(channel);
		return;
	}
	if (size < 0 || !channel->record)
		return;
	answer_read(&channel->answer, data, (size_t)size);
	if (channel->answer.is_whole)
		on_answer(channel);
}

static bool reads_now(const channel_t *channel, int64_t now_us)
{
	return channel->fd >= 0 &&
	       (!channel->record || !channel->reads_late ||
		(is_sent(channel) &&
		 now_us - channel->sent_us >= READ_LATE_MS * US_PER_MS));
}

/* A caller that reads late learns later of the end of its connection. This
 * process may have stood still since its last step. */
static void note_closed(channel_t *channel)
{
	struct tcp_info info;
	socklen_t size = sizeof(info);

	if (channel->fd < 0 || !channel->record || channel->closed_us ||
	    getsockopt(channel->fd, IPPROTO_TCP, TCP_INFO, &info, &size) ||
	    info.tcpi_state == TCP_ESTABLISHED)
		return;
	channel->closed_us = channel->soak->stepped_us;
}

static void step(channel_t *channel, int64_t now_us)
{
	note_closed(channel);
	if (reads_now(channel, now_us))
		receive(channel);
	if (now_us < channel->due_us)
		return;
	if (channel->record && !is_sent(channel))
		send_piece(channel);
	else if (!channel->record && !channel->soak->faults_over)
		send_request(channel);
}

static void on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	soak_t *soak = timer->data;
	int64_t now_us = clock_monotonic_us();
	int i;

	for (i = 0; i < channel_count; i++)
		step(&channels[i], clock_monotonic_us());
	soak->stepped_us = now_us;
}

void stops_start(soak_t *soak)
{
	static const int counts[] = { 1, 8, 40, 120, CHANNELS_MAX };
	int i;

	if (!soak->stops)
		return;
	soak->stops_random = soak->random;
	channel_count = counts[soak_random_of(&soak->stops_random, 5)];
	soak_note(soak, "%d callers", channel_count);
	for (i = 0; i < channel_count; i++) {
		channels[i] = (channel_t){
			.soak = soak,
			.node = &soak->nodes[i % soak->node_count],
			.keeps = i % NEW_SHARE,
			.is_long = i % LONG_SHARE == LONG_SHARE - 1,
			.fd = -1,
		};
		rest(&channels[i]);
		channels[i].due_us += US_PER_S;
	}
	ev_timer_init(&step_timer, on_step, STEP_S, STEP_S);
	step_timer.data = soak;
	ev_timer_start(soak->loop, &step_timer);
}

void stops_end(soak_t *soak)
{
	int i;

	if (!soak->stops)
		return;
	ev_timer_stop(soak->loop, &step_timer);
	for (i = 0; i < channel_count; i++)
		close_channel(&channels[i]);
}

void stops_print(const soak_t *soak)
{
	printf("%d callers; at nodes that stop: %d sent, %d served in %d ms on "
	       "average, %d refused, %d failed or cut\n",
	       channel_count, soak->stop_counts.sent, soak->stop_counts.served,
	       soak->stop_counts.served ? (int)(soak->stop_counts.served_ms /
						soak->stop_counts.served)
					: 0,
	       soak->stop_counts.refused, soak->stop_counts.failed);
}

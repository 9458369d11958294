#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "base/mem.h"
#include "soak/soak.h"

enum {
	BUFFER_SIZE_BYTES = 16 * 1024,
	BACKLOG = 128,
	FILLERS = 4,
	HELD_BUFFER_BYTES = 1 /* the kernel takes the least that it allows */
};
#define REPLY_DELAY_S 0.15 /* delay of replies with LINK_SLOW */
#define RETRY_S \
	0.005 /* until data is written again that a socket did not take */
/* A long reply arrives in pieces of one buffer, with this pause between them.
 */
#define PIECE_S 0.032

typedef struct pair pair_t;

/* One direction of a connection. */
typedef struct {
	pair_t *pair;
	int from, to; /* sockets */
	bool reply; /* true: data from the target to the client */
	ev_io readable;
	ev_timer delay; /* delays replies with LINK_SLOW, pieces of long ones,
			   and data that a socket did not take */
	char data[BUFFER_SIZE_BYTES]; /* data read last */
	size_t size;
} flow_t;

/* A connection of a client with the connection to the target. */
struct pair {
	proxy_t *proxy;
	flow_t request, reply;
	pair_t *prev, *next;
};

struct proxy {
	struct ev_loop *loop;
	ev_io accepting;
	int port, target_port;
	link_mode_t link;
	pair_t *pairs;
	int fillers[FILLERS]; /* with LINK_SILENT: connections that are not
				 accepted, so that new ones hang */
};

static void close_pair(pair_t *pair, bool reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	proxy_t *proxy = pair->proxy;

	if (reset) {
		setsockopt(pair->request.from, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
		setsockopt(pair->request.to, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	}
	ev_io_stop(proxy->loop, &pair->request.readable);
	ev_io_stop(proxy->loop, &pair->reply.readable);
	ev_timer_stop(proxy->loop, &pair->request.delay);
	ev_timer_stop(proxy->loop, &pair->reply.delay);
	close(pair->request.from);
	close(pair->request.to);
	DL_DELETE(proxy->pairs, pair);
	free(pair);
}

/* @return true if the data of a direction are dropped */
static bool drops_data(const flow_t *flow)
{
	link_mode_t link = flow->pair->proxy->link;

	return link == LINK_DROP_ALL || link == LINK_SILENT ||
	       (link == LINK_DROP_REPLIES && flow->reply);
}

static void pause_flow(flow_t *flow, double pause_s)
{
	struct ev_loop *loop = flow->pair->proxy->loop;

	ev_io_stop(loop, &flow->readable);
	ev_timer_set(&flow->delay, pause_s, 0.);
	ev_timer_start(loop, &flow->delay);
}

/* Writes what the socket takes; the rest is written later.
 * @return false if the connection failed */
static bool forward_data(flow_t *flow)
{
	bool is_piece = flow->reply && flow->size == sizeof(flow->data);
	ssize_t count = send(flow->to, flow->data, flow->size,
			     MSG_DONTWAIT | MSG_NOSIGNAL);

	if (count < 0 && errno != EAGAIN)
		return false;
	if (count > 0) {
		flow->size -= (size_t)count;
		memmove(flow->data, flow->data + count, flow->size);
	}
	if (flow->size)
		pause_flow(flow, RETRY_S);
	else if (is_piece)
		pause_flow(flow, PIECE_S);
	return true;
}

static void on_delay_end(struct ev_loop *loop, ev_timer *timer, int events)
{
	flow_t *flow = timer->data;

	ev_io_start(loop, &flow->readable);
	if (flow->size && !forward_data(flow))
		close_pair(flow->pair, false);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	flow_t *flow = watcher->data;
	ssize_t size = read(flow->from, flow->data, sizeof(flow->data));

	if (size <= 0) {
		/* The other end of a partitioned link does not see that the
		 * connection was closed. */
		if (drops_data(flow))
			ev_io_stop(loop, watcher);
		else
			close_pair(flow->pair, size < 0);
		return;
	}
	if (drops_data(flow))
		return;
	flow->size = (size_t)size;
	if (flow->reply && flow->pair->proxy->link == LINK_SLOW)
		pause_flow(flow, REPLY_DELAY_S);
	else if (!forward_data(flow))
		close_pair(flow->pair, false);
}

static void start_flow(pair_t *pair, flow_t *flow, int from, int to, bool reply)
{
	flow->pair = pair;
	flow->from = from;
	flow->to = to;
	flow->reply = reply;
	ev_io_init(&flow->readable, on_readable, from, EV_READ);
	flow->readable.data = flow;
	ev_init(&flow->delay, on_delay_end);
	flow->delay.data = flow;
	ev_io_start(pair->proxy->loop, &flow->readable);
}

/* A reset leaves what came before it readable. */
static bool was_reset(int fd)
{
	int error = 0;
	socklen_t size = sizeof(error);

	return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) || error;
}

static void on_accept(struct ev_loop *loop, ev_io *watcher, int events)
{
	proxy_t *proxy = watcher->data;
	struct sockaddr_in address = { .sin_family = AF_INET };
	int from = accept(watcher->fd, NULL, NULL), to;
	pair_t *pair;

	if (from < 0)
		return;
	if (was_reset(from)) {
		close(from);
		return;
	}
	to = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	fcntl(from, F_SETFD, FD_CLOEXEC);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)proxy->target_port);
	if (proxy->link == LINK_REFUSED ||
	    connect(to, (struct sockaddr *)&address, sizeof(address))) {
		close(from);
		close(to);
		return;
	}
	pair = mem_calloc(1, sizeof(*pair));
	pair->proxy = proxy;
	DL_APPEND(proxy->pairs, pair);
	start_flow(pair, &pair->request, from, to, false);
	if (proxy->link == LINK_HOLD)
		ev_io_stop(loop, &pair->request.readable);
	start_flow(pair, &pair->reply, to, from, true);
}

static int open_socket(struct sockaddr_in *address)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address->sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)address, sizeof(*address)))
		abort();
	return fd;
}

proxy_t *proxy_create(struct ev_loop *loop, int target_port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	proxy_t *proxy = mem_calloc(1, sizeof(*proxy));
	int fd = open_socket(&address);

	/* The kernel keeps a port only if it was bound by number. */
	getsockname(fd, (struct sockaddr *)&address, &size);
	close(fd);
	fd = open_socket(&address);
	if (listen(fd, BACKLOG))
		abort();
	proxy->loop = loop;
	proxy->port = ntohs(address.sin_port);
	proxy->target_port = target_port;
	ev_io_init(&proxy->accepting, on_accept, fd, EV_READ);
	proxy->accepting.data = proxy;
	ev_io_start(loop, &proxy->accepting);
	return proxy;
}

int proxy_port(const proxy_t *proxy)
{
	return proxy->port;
}

void proxy_reset(proxy_t *proxy)
{
	while (proxy->pairs)
		close_pair(proxy->pairs, true);
}

/* Connections beyond the queue of those that are not accepted hang. */
static void fill_queue(proxy_t *proxy)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int i;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)proxy->port);
	listen(proxy->accepting.fd, 0);
	for (i = 0; i < FILLERS; i++) {
		proxy->fillers[i] = socket(
			AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		(void)!connect(proxy->fillers[i], (struct sockaddr *)&address,
			       sizeof(address));
	}
}

static void empty_queue(proxy_t *proxy)
{
	int i;

	for (i = 0; i < FILLERS && proxy->fillers[i]; i++) {
		close(proxy->fillers[i]);
		proxy->fillers[i] = 0;
	}
}

/* Starts, or stops, to accept connections as a mode wants. */
static void accept_none(proxy_t *proxy, link_mode_t link)
{
	bool closed = link == LINK_UNREACHABLE || link == LINK_OPEN_ONLY;

	empty_queue(proxy);
	ev_io_stop(proxy->loop, &proxy->accepting);
	if (closed) {
		shutdown(proxy->accepting.fd, SHUT_RDWR);
	} else if (link == LINK_SILENT) {
		fill_queue(proxy);
	} else {
		listen(proxy->accepting.fd, BACKLOG);
		ev_io_start(proxy->loop, &proxy->accepting);
	}
}

static void hold_requests(proxy_t *proxy)
{
	pair_t *pair;

	DL_FOREACH (proxy->pairs, pair)
		ev_io_stop(proxy->loop, &pair->request.readable);
}

static void release_requests(proxy_t *proxy)
{
	pair_t *pair, *next;

	DL_FOREACH_SAFE (proxy->pairs, pair, next) {
		if (was_reset(pair->request.from))
			close_pair(pair, true);
		else
			ev_io_start(proxy->loop, &pair->request.readable);
	}
}

void proxy_set(proxy_t *proxy, link_mode_t link)
{
	if (link == LINK_HOLD)
		hold_requests(proxy);
	else if (proxy->link == LINK_HOLD)
		release_requests(proxy);
	/* Dropped data are lost, so that connections that lost data cannot
	 * continue. */
	if (link == LINK_REFUSED || link == LINK_UNREACHABLE ||
	    (link == LINK_NORMAL &&
	     (proxy->link == LINK_DROP_ALL || proxy->link == LINK_SILENT ||
	      proxy->link == LINK_DROP_REPLIES)))
		proxy_reset(proxy);
	accept_none(proxy, link);
	proxy->link = link;
}

void proxy_bound_held(proxy_t *proxy)
{
	int size = HELD_BUFFER_BYTES;

	setsockopt(proxy->accepting.fd, SOL_SOCKET, SO_RCVBUF, &size,
		   sizeof(size));
}

/* @return true if all of an HTTP request with a length can be read */
static bool has_request(int fd)
{
	char text[BUFFER_SIZE_BYTES + 1];
	ssize_t size = recv(fd, text, BUFFER_SIZE_BYTES, MSG_PEEK);
	const char *length, *body;

	if (size <= 0)
		return false;
	text[size] = '\0';
	length = strcasestr(text, "\r\nContent-Length:");
	body = strstr(text, "\r\n\r\n");
	return length && body &&
	       text + size - (body + 4) >=
		       strtol(strchr(length, ':') + 1, NULL, 10);
}

held_call_t proxy_held_call(const proxy_t *proxy)
{
	const pair_t *pair;
	int size = 0;

	if (proxy->link != LINK_HOLD)
		return HELD_NONE;
	DL_FOREACH (proxy->pairs, pair)
		if (!ioctl(pair->request.from, FIONREAD, &size) && size)
			return has_request(pair->request.from) ? HELD_WHOLE
							       : HELD_PART;
	return HELD_NONE;
}

void proxy_destroy(proxy_t *proxy)
{
	proxy_reset(proxy);
	empty_queue(proxy);
	ev_io_stop(proxy->loop, &proxy->accepting);
	close(proxy->accepting.fd);
	free(proxy);
}

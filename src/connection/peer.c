#include "connection/peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <zmq.h>

#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "connection/peer_codec.h"

enum {
	/*
	 * A busy node sends some hundred credit messages a second to one
	 * peer; the queue holds about a second of them.
	 */
	QUEUE_MESSAGES = 256,
	/* Time for returned credits and the announcement of leaving. */
	LINGER_MS = 200,
	HANDSHAKE_MS = 3000,
	RECONNECT_MS = 100,
	RECONNECT_MAX_MS = 1000,
	/* Ends a connection whose peer no longer acknowledges data. */
	UNACKNOWLEDGED_MS = 3000,
	CURVE_KEY_BINARY_BYTES = 32,
	ZAP_FRAMES = 7, /* version to the CURVE key */
	ZAP_FRAME_MAX_BYTES = 256
};

typedef struct {
	UT_hash_handle hh;
	char vm_id[NAME_SIZE_BYTES];
	char address[URL_SIZE_BYTES];
	void *socket;
} link_t;

typedef struct {
	ev_io readable;
	void *socket;
	void (*handle)(peer_t *peer);
} source_t;

struct peer {
	void *zmq;
	struct ev_loop *loop;
	char public_key[48], secret_key[48];
	uint8_t fleet_key[CURVE_KEY_BINARY_BYTES];
	source_t router, zap;
	ev_prepare before_wait;
	link_t *links;
	peer_receive_t receive;
	void *context;
};

static bool socket_error(err_t *err, const char *what, const char *on)
{
	return err_set(err, ERR_LAYER_PEER, PEER_ERR_SOCKET, "%s %s: %s", what,
		       on, zmq_strerror(zmq_errno()));
}

static bool set_int(void *socket, int option, int value)
{
	return !zmq_setsockopt(socket, option, &value, sizeof(value));
}

static bool set_limits(void *socket)
{
	return set_int(socket, ZMQ_SNDHWM, QUEUE_MESSAGES) &&
	       set_int(socket, ZMQ_RCVHWM, QUEUE_MESSAGES) &&
	       set_int(socket, ZMQ_LINGER, LINGER_MS) &&
	       set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_MS) &&
	       set_int(socket, ZMQ_TCP_MAXRT, UNACKNOWLEDGED_MS) &&
	       set_int(socket, ZMQ_IPV6, 1);
}

static bool set_key(void *socket, int option, const char *key)
{
	return !zmq_setsockopt(socket, option, key, strlen(key) + 1);
}

static bool format_endpoint(char *endpoint, size_t size, const char *address)
{
	int length = snprintf(endpoint, size, "tcp://%s", address);

	return length > 0 && (size_t)length < size;
}

/* Reads one message; false without one. Frames beyond the last are dropped. */
static int receive_frames(void *socket, zmq_msg_t *frames, int capacity)
{
	int count = 0, more = 1;
	zmq_msg_t surplus = { 0 };

	while (more) {
		zmq_msg_t *frame = count < capacity ? &frames[count] : &surplus;

		zmq_msg_init(frame);
		if (zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) < 0) {
			zmq_msg_close(frame);
			break;
		}
		more = zmq_msg_more(frame);
		if (frame == &surplus)
			zmq_msg_close(frame);
		count++;
	}
	return count;
}

static void close_frames(zmq_msg_t *frames, int count, int capacity)
{
	int i;

	for (i = 0; i < count && i < capacity; i++)
		zmq_msg_close(&frames[i]);
}

/* A message has two frames: the identity of the connection and the body. */
static void handle_messages(peer_t *peer)
{
	zmq_msg_t frames[2];
	int count;

	while ((count = receive_frames(peer->router.socket, frames, 2))) {
		size_t size = count == 2 ? zmq_msg_size(&frames[1]) : 0;

		if (count == 2) {
			metrics_add(METRIC_PEER_RECEIVED_BYTES, (int64_t)size);
			peer->receive(peer->context, zmq_msg_data(&frames[1]),
				      size);
		} else {
			metrics_add(METRIC_PEER_MALFORMED, 1);
			log_event(EVENT_PEER_MESSAGE_REFUSED,
				  "problem=\"%d frames\"", count);
		}
		close_frames(frames, count, 2);
	}
}

static bool frame_is(zmq_msg_t *frame, const void *data, size_t size)
{
	return zmq_msg_size(frame) == size &&
	       !memcmp(zmq_msg_data(frame), data, size);
}

/* Frames: version, request id, domain, address, identity, mechanism, key. */
static bool zap_accepts(const peer_t *peer, zmq_msg_t *frames, int count)
{
	return count == ZAP_FRAMES && frame_is(&frames[0], "1.0", 3) &&
	       frame_is(&frames[5], "CURVE", 5) &&
	       frame_is(&frames[6], peer->fleet_key, CURVE_KEY_BINARY_BYTES);
}

static void zap_reply(peer_t *peer, zmq_msg_t *request_id, bool accepted)
{
	void *socket = peer->zap.socket;

	zmq_send(socket, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(socket, zmq_msg_data(request_id), zmq_msg_size(request_id),
		 ZMQ_SNDMORE);
	zmq_send(socket, accepted ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(socket, "", 0, ZMQ_SNDMORE);
	zmq_send(socket, "", 0, ZMQ_SNDMORE);
	zmq_send(socket, "", 0, 0);
}

static void handle_zap(peer_t *peer)
{
	zmq_msg_t frames[ZAP_FRAMES];
	int count;

	while ((count = receive_frames(peer->zap.socket, frames, ZAP_FRAMES))) {
		bool accepted = zap_accepts(peer, frames, count);

		if (!accepted) {
			metrics_add(METRIC_PEER_KEY_REFUSED, 1);
			log_event(EVENT_PEER_KEY_REFUSED, "address=%.*s",
				  count > 3 ? (int)zmq_msg_size(&frames[3]) : 0,
				  count > 3 ? (char *)zmq_msg_data(&frames[3])
					    : "");
		}
		if (count > 1)
			zap_reply(peer, &frames[1], accepted);
		close_frames(frames, count, ZAP_FRAMES);
	}
}

/*
 * The descriptor of a ZeroMQ socket is edge-triggered, and sending on a
 * socket can consume its event, so sockets are read before each wait too.
 */
static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	source_t *source = (source_t *)(void *)watcher;

	source->handle(watcher->data);
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *watcher,
			   int events)
{
	peer_t *peer = watcher->data;

	handle_zap(peer);
	handle_messages(peer);
}

static bool watch(peer_t *peer, source_t *source, void (*handle)(peer_t *peer))
{
	int fd;
	size_t size = sizeof(fd);

	if (zmq_getsockopt(source->socket, ZMQ_FD, &fd, &size))
		return false;
	source->handle = handle;
	ev_io_init(&source->readable, on_readable, fd, EV_READ);
	source->readable.data = peer;
	ev_io_start(peer->loop, &source->readable);
	return true;
}

static bool open_zap(peer_t *peer, err_t *err)
{
	static const char endpoint[] = "inproc://zeromq.zap.01";

	peer->zap.socket = zmq_socket(peer->zmq, ZMQ_REP);
	if (!peer->zap.socket || !set_int(peer->zap.socket, ZMQ_LINGER, 0) ||
	    zmq_bind(peer->zap.socket, endpoint) ||
	    !watch(peer, &peer->zap, handle_zap))
		return socket_error(err, "peers", endpoint);
	return true;
}

static bool open_router(peer_t *peer, const char *address, err_t *err)
{
	int64_t size_max = PEER_MESSAGE_MAX_BYTES;
	char endpoint[URL_SIZE_BYTES + 8];
	void *socket = zmq_socket(peer->zmq, ZMQ_ROUTER);

	peer->router.socket = socket;
	if (!socket || !set_limits(socket) ||
	    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &size_max,
			   sizeof(size_max)) ||
	    !set_int(socket, ZMQ_CURVE_SERVER, 1) ||
	    !set_key(socket, ZMQ_CURVE_SECRETKEY, peer->secret_key) ||
	    zmq_setsockopt(socket, ZMQ_ZAP_DOMAIN, "peers", 5) ||
	    !format_endpoint(endpoint, sizeof(endpoint), address) ||
	    zmq_bind(socket, endpoint) ||
	    !watch(peer, &peer->router, handle_messages))
		return socket_error(err, "peers.address", address);
	return true;
}

peer_t *peer_create(void *zmq, struct ev_loop *loop, const peer_conf_t *conf,
		    peer_receive_t receive, void *context, err_t *err)
{
	peer_t *peer = mem_calloc(1, sizeof(*peer));

	peer->zmq = zmq;
	peer->loop = loop;
	peer->receive = receive;
	peer->context = context;
	ev_prepare_init(&peer->before_wait, on_before_wait);
	peer->before_wait.data = peer;
	ev_prepare_start(loop, &peer->before_wait);
	mem_strlcpy(peer->public_key, conf->public_key,
		    sizeof(peer->public_key));
	mem_strlcpy(peer->secret_key, conf->secret_key,
		    sizeof(peer->secret_key));
	if (!zmq_z85_decode(peer->fleet_key, peer->public_key)) {
		err_set(err, ERR_LAYER_PEER, PEER_ERR_SOCKET,
			"peers.public_key: not a CURVE key");
		peer_destroy(peer);
		return NULL;
	}
	if (!open_zap(peer, err) || !open_router(peer, conf->address, err)) {
		peer_destroy(peer);
		return NULL;
	}
	return peer;
}

static void close_link(peer_t *peer, link_t *link)
{
	/* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): uthash */
	HASH_DEL(peer->links, link);
	zmq_close(link->socket);
	free(link);
}

static void close_source(peer_t *peer, source_t *source)
{
	if (!source->socket)
		return;
	ev_io_stop(peer->loop, &source->readable);
	zmq_close(source->socket);
}

void peer_destroy(peer_t *peer)
{
	link_t *link, *next;

	if (!peer)
		return;
	HASH_ITER (hh, peer->links, link, next)
		close_link(peer, link);
	ev_prepare_stop(peer->loop, &peer->before_wait);
	close_source(peer, &peer->router);
	close_source(peer, &peer->zap);
	free(peer);
}

static void *open_dealer(const peer_t *peer, const char *address)
{
	char endpoint[URL_SIZE_BYTES + 8];
	void *socket = zmq_socket(peer->zmq, ZMQ_DEALER);

	/*
	 * IMMEDIATE: nothing is queued without a connection, so that no old
	 * heartbeat or credit message arrives after a cut has healed.
	 */
	if (socket && set_limits(socket) && set_int(socket, ZMQ_IMMEDIATE, 1) &&
	    set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS) &&
	    set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS) &&
	    set_key(socket, ZMQ_CURVE_SERVERKEY, peer->public_key) &&
	    set_key(socket, ZMQ_CURVE_PUBLICKEY, peer->public_key) &&
	    set_key(socket, ZMQ_CURVE_SECRETKEY, peer->secret_key) &&
	    format_endpoint(endpoint, sizeof(endpoint), address) &&
	    !zmq_connect(socket, endpoint))
		return socket;
	if (socket)
		zmq_close(socket);
	return NULL;
}

bool peer_connect(peer_t *peer, const char *vm_id, const char *address,
		  err_t *err)
{
	link_t *link;
	void *socket;

	HASH_FIND_STR(peer->links, vm_id, link);
	if (link && !strcmp(link->address, address))
		return true;
	socket = open_dealer(peer, address);
	if (!socket)
		return socket_error(err, "connect", address);
	if (link)
		close_link(peer, link);
	link = mem_calloc(1, sizeof(*link));
	link->socket = socket;
	mem_strlcpy(link->vm_id, vm_id, sizeof(link->vm_id));
	mem_strlcpy(link->address, address, sizeof(link->address));
	HASH_ADD_STR(peer->links, vm_id, link);
	return true;
}

void peer_disconnect(peer_t *peer, const char *vm_id)
{
	link_t *link;

	HASH_FIND_STR(peer->links, vm_id, link);
	if (link)
		close_link(peer, link);
}

void peer_retain(peer_t *peer, bool (*keep)(void *context, const char *vm_id),
		 void *context)
{
	link_t *link, *next;

	HASH_ITER (hh, peer->links, link, next)
		if (!keep(context, link->vm_id))
			close_link(peer, link);
}

bool peer_send(peer_t *peer, const char *vm_id, const void *data, size_t size)
{
	link_t *link;

	HASH_FIND_STR(peer->links, vm_id, link);
	if (!link || zmq_send(link->socket, data, size, ZMQ_DONTWAIT) < 0) {
		metrics_add(METRIC_PEER_QUEUE_FULL, 1);
		return false;
	}
	metrics_add(METRIC_PEER_SENT, 1);
	metrics_add(METRIC_PEER_SENT_BYTES, (int64_t)size);
	return true;
}

#include "connection/peer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "connection/frames.h"
#include "connection/peer_codec.h"
#include "connection/zap.h"

enum {
	/*
	 * A busy node sends a few hundred credit messages a second to one
	 * peer; the queue holds the messages of about a second.
	 */
	QUEUE_MAX_MESSAGES = 256,
	/*
	 * Time for which a closed link still sends queued messages, such as
	 * returned credits and PEER_LEAVING.
	 */
	LINGER_MS = 200,
	HANDSHAKE_TIMEOUT_MS = 3000,
	RECONNECT_MIN_MS = 100,
	RECONNECT_MAX_MS = 1000,
	LINKS_GROWTH = 16,
	/* A connection with data unacknowledged for this long is closed. */
	ACK_TIMEOUT_MS = 3000
};

/* Connection that sends to one peer. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	char address[URL_SIZE_BYTES];
	void *socket;
} link_t;

struct peer {
	void *zmq;
	struct ev_loop *loop;
	char public_key[48], secret_key[48]; /* Z85: 40 characters */
	zap_t *zap;
	frames_source_t router; /* receiving socket */
	link_t **links;
	size_t count, capacity;
	peer_receive_t receive;
	void *context;
};

static bool socket_error(err_t *err, const char *what, const char *target)
{
	return err_set(err, ERR_LAYER_PEER, PEER_ERR_SOCKET, "%s %s: %s", what,
		       target, zmq_strerror(zmq_errno()));
}

static bool set_int(void *socket, int option, int value)
{
	return !zmq_setsockopt(socket, option, &value, sizeof(value));
}

static bool set_limits(void *socket)
{
	return set_int(socket, ZMQ_SNDHWM, QUEUE_MAX_MESSAGES) &&
	       set_int(socket, ZMQ_RCVHWM, QUEUE_MAX_MESSAGES) &&
	       set_int(socket, ZMQ_LINGER, LINGER_MS) &&
	       set_int(socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS) &&
	       set_int(socket, ZMQ_TCP_MAXRT, ACK_TIMEOUT_MS) &&
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

/* A message has two frames: the identity of the connection and the body. */
static void handle_messages(void *context)
{
	peer_t *peer = context;
	zmq_msg_t frames[2];
	int count;

	while ((count = frames_receive(peer->router.socket, frames, 2))) {
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
		frames_close(frames, count, 2);
	}
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
	    !frames_watch(&peer->router, peer->loop, handle_messages, peer))
		return socket_error(err, "listen on peers.address", address);
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
	mem_strlcpy(peer->public_key, conf->public_key,
		    sizeof(peer->public_key));
	mem_strlcpy(peer->secret_key, conf->secret_key,
		    sizeof(peer->secret_key));
	peer->zap = zap_create(zmq, loop, conf->public_key);
	if (!peer->zap)
		socket_error(err, "ZAP handler for", "peers.public_key");
	if (!peer->zap || !open_router(peer, conf->address, err)) {
		peer_destroy(peer);
		return NULL;
	}
	return peer;
}

static link_t *find_link(const peer_t *peer, const char *vm_id)
{
	size_t i;

	for (i = 0; i < peer->count; i++)
		if (!strcmp(peer->links[i]->vm_id, vm_id))
			return peer->links[i];
	return NULL;
}

static link_t *add_link(peer_t *peer, const char *vm_id)
{
	link_t *link = mem_calloc(1, sizeof(*link));

	if (peer->count == peer->capacity) {
		peer->capacity += LINKS_GROWTH;
		peer->links = mem_realloc(peer->links, peer->capacity,
					  sizeof(link_t *));
	}
	mem_strlcpy(link->vm_id, vm_id, sizeof(link->vm_id));
	peer->links[peer->count++] = link;
	return link;
}

static void close_link_at(peer_t *peer, size_t index)
{
	link_t *link = peer->links[index];

	peer->links[index] = peer->links[--peer->count];
	zmq_close(link->socket);
	free(link);
}

void peer_destroy(peer_t *peer)
{
	if (!peer)
		return;
	while (peer->count)
		close_link_at(peer, peer->count - 1);
	free(peer->links);
	frames_unwatch(&peer->router);
	zap_destroy(peer->zap);
	free(peer);
}

static void *open_dealer(const peer_t *peer, const char *address)
{
	char endpoint[URL_SIZE_BYTES + 8];
	void *socket = zmq_socket(peer->zmq, ZMQ_DEALER);

	/*
	 * ZMQ_IMMEDIATE: messages are queued only while there is a connection,
	 * so that no old heartbeat or credit message arrives after a network
	 * partition ends.
	 */
	if (socket && set_limits(socket) && set_int(socket, ZMQ_IMMEDIATE, 1) &&
	    set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS) &&
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
	link_t *link = find_link(peer, vm_id);
	void *socket;

	if (link && !strcmp(link->address, address))
		return true;
	socket = open_dealer(peer, address);
	if (!socket)
		return socket_error(err, "connect to peer", address);
	if (link)
		zmq_close(link->socket);
	else
		link = add_link(peer, vm_id);
	link->socket = socket;
	mem_strlcpy(link->address, address, sizeof(link->address));
	return true;
}

void peer_disconnect(peer_t *peer, const char *vm_id)
{
	size_t i;

	for (i = peer->count; i-- > 0;)
		if (!strcmp(peer->links[i]->vm_id, vm_id))
			close_link_at(peer, i);
}

void peer_retain(peer_t *peer, bool (*keep)(void *context, const char *vm_id),
		 void *context)
{
	size_t i;

	for (i = peer->count; i-- > 0;)
		if (!keep(context, peer->links[i]->vm_id))
			close_link_at(peer, i);
}

bool peer_send(peer_t *peer, const char *vm_id, const void *data, size_t size)
{
	const link_t *link = find_link(peer, vm_id);

	if (!link || zmq_send(link->socket, data, size, ZMQ_DONTWAIT) < 0) {
		metrics_add(METRIC_PEER_QUEUE_FULL, 1);
		return false;
	}
	metrics_add(METRIC_PEER_SENT, 1);
	metrics_add(METRIC_PEER_SENT_BYTES, (int64_t)size);
	return true;
}

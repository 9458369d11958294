#include "connection/datagram.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/mem.h"
#include "connection/address.h"

enum {
	/* The rest of a longer datagram is discarded. */
	DATAGRAM_MAX_BYTES = 2048,
	/* Limit per event, so that datagrams do not delay requests. */
	DATAGRAMS_PER_EVENT = 64
};

struct datagram {
	struct ev_loop *loop;
	ev_io readable;
	int fd;
	datagram_received_t received;
	void *context;
};

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	datagram_t *datagram = watcher->data;
	uint8_t data[DATAGRAM_MAX_BYTES];
	int i;

	for (i = 0; i < DATAGRAMS_PER_EVENT; i++) {
		ssize_t size = recv(datagram->fd, data, sizeof(data), 0);

		if (size < 0)
			return;
		datagram->received(datagram->context, data, (size_t)size);
	}
}

datagram_t *datagram_create(struct ev_loop *loop, const char *address,
			    datagram_received_t received, void *context,
			    err_t *err)
{
	datagram_t *datagram;
	struct sockaddr_in bound;
	int fd;

	if (!address_parse(address, &bound)) {
		err_set(err, ERR_LAYER_CONNECTION, 0,
			"bind %s: expected IPV4:PORT", address);
		return NULL;
	}
	fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0 || bind(fd, (struct sockaddr *)&bound, sizeof(bound))) {
		err_set(err, ERR_LAYER_CONNECTION, 0, "bind %s: %s", address,
			strerror(errno));
		if (fd >= 0)
			close(fd);
		return NULL;
	}
	datagram = mem_calloc(1, sizeof(*datagram));
	datagram->loop = loop;
	datagram->fd = fd;
	datagram->received = received;
	datagram->context = context;
	ev_io_init(&datagram->readable, on_readable, fd, EV_READ);
	datagram->readable.data = datagram;
	ev_io_start(loop, &datagram->readable);
	return datagram;
}

void datagram_destroy(datagram_t *datagram)
{
	if (!datagram)
		return;
	ev_io_stop(datagram->loop, &datagram->readable);
	close(datagram->fd);
	free(datagram);
}

bool datagram_send(datagram_t *datagram, const char *address,
		   const uint8_t *data, size_t size)
{
	struct sockaddr_in target;

	if (!address_parse(address, &target))
		return false;
	/*
	 * A failed send needs no retry: the next announcement replaces this
	 * one.
	 */
	(void)!sendto(datagram->fd, data, size, 0, (struct sockaddr *)&target,
		      sizeof(target));
	return true;
}

#include "lib/loopback.h"

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cases.h"

enum {
	BACKLOG = 8,
	/* Ports below the range that the kernel uses for outgoing
	 * connections. */
	PORTS_FROM = 12000,
	PORTS_TO = 30000,
	PORTS_STEP = 97 /* distance between the first ports of tests with
			   successive process ids */
};

int loopback_listen_at(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&address, sizeof(address)),
			 0);
	assert_int_equal(listen(fd, BACKLOG), 0);
	return fd;
}

int loopback_listen(int *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd = loopback_listen_at(0);

	getsockname(fd, (struct sockaddr *)&address, &size);
	*port = ntohs(address.sin_port);
	return fd;
}

static bool can_bind(int port, int type)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, type, 0);
	bool bound;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	bound = !bind(fd, (struct sockaddr *)&address, sizeof(address));
	close(fd);
	return bound;
}

void loopback_free_address(char *address, size_t size)
{
	static int port;

	if (!port)
		port = PORTS_FROM +
		       (int)getpid() * PORTS_STEP % (PORTS_TO - PORTS_FROM);
	do {
		if (++port >= PORTS_TO)
			port = PORTS_FROM;
	} while (!can_bind(port, SOCK_STREAM) || !can_bind(port, SOCK_DGRAM));
	snprintf(address, size, "127.0.0.1:%d", port);
}

int loopback_connect(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	(void)!connect(fd, (struct sockaddr *)&address, sizeof(address));
	return fd;
}

int loopback_option(int port, int level, int option)
{
	enum { DESCRIPTORS_MAX = 256 };
	int fd;

	for (fd = 0; fd < DESCRIPTORS_MAX; fd++) {
		struct sockaddr_in peer = { .sin_family = 0 };
		socklen_t size = sizeof(peer);
		int value = -1;
		socklen_t value_size = sizeof(value);

		if (getpeername(fd, (struct sockaddr *)&peer, &size) ||
		    peer.sin_family != AF_INET || ntohs(peer.sin_port) != port)
			continue;
		getsockopt(fd, level, option, &value, &value_size);
		return value;
	}
	return -1;
}

#include "lib/loopback.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cases.h"

enum { BACKLOG = 8 };

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

void loopback_free_address(char *address, size_t size)
{
	int port;

	close(loopback_listen(&port));
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

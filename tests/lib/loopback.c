#include "lib/loopback.h"

#include <arpa/inet.h>
#include <sys/socket.h>

#include "cases.h"

enum { BACKLOG = 8 };

int loopback_listen(int *port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(fd, (struct sockaddr *)&address, size), 0);
	assert_int_equal(listen(fd, BACKLOG), 0);
	getsockname(fd, (struct sockaddr *)&address, &size);
	*port = ntohs(address.sin_port);
	return fd;
}

#include "rig.h"

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

result_t client_get(int port, const char *host, const char *path,
		    const char *id, const char *headers, int deadline_ms)
{
	struct timeval limit = { deadline_ms / 1000,
				 deadline_ms % 1000 * 1000 };
	result_t result = { .status = 0 };
	message_t answer = { .body = NULL };
	char text[2048];
	int fd = connect_to(port), size;

	if (fd < 0)
		return result;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	size = snprintf(text, sizeof(text),
			"GET %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: "
			"%s\r\nX-Deadline-Ms: %d\r\n%s\r\n",
			path, host, id, deadline_ms, headers);
	if (send_all(fd, text, (size_t)size) && message_read(fd, &answer, true)) {
		result.status = answer.status;
		message_header(&answer, "X-Server", result.server,
			       sizeof(result.server));
	}
	message_clear(&answer);
	close(fd);
	return result;
}

#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum {
	BODY_MAX_BYTES = 64 * 1024 * 1024,
	LIMIT_S = 110 /* a case takes 120 s at most */
};

static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;
static struct timespec start_time;

double rig_now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - start_time.tv_sec) +
	       (double)(now.tv_nsec - start_time.tv_nsec) / 1e9;
}

static void on_end(int number)
{
	(void)number;
	rig_finish(RIG_NOT_RUN);
}

void rig_start(const char *record_path)
{
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_end);
	signal(SIGINT, on_end);
	signal(SIGALRM, on_end);
	alarm(LIMIT_S);
	clock_gettime(CLOCK_MONOTONIC, &start_time);
	record = fopen(record_path, "we");
	if (!record) {
		perror(record_path);
		exit(RIG_NOT_RUN);
	}
}

void rig_sleep_until(double at_s)
{
	double left_s;

	while ((left_s = at_s - rig_now_s()) > 0)
		usleep((useconds_t)(left_s * 1e6) + 1);
}

void rig_record(const char *format, ...)
{
	double at_s = rig_now_s();
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", at_s);
	va_start(args, format);
	vfprintf(record, format, args);
	va_end(args);
	fprintf(record, "\n");
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

bool send_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		size -= (size_t)sent;
	}
	return true;
}

bool send_answer(int fd, int status, const char *headers, const char *body,
		 size_t body_bytes)
{
	char head[4096];
	int size = snprintf(head, sizeof(head),
			    "HTTP/1.1 %d Status\r\n%sContent-Length: "
			    "%zu\r\n\r\n",
			    status, headers, body_bytes);

	return send_all(fd, head, (size_t)size) &&
	       send_all(fd, body, body_bytes);
}

bool message_header(const message_t *message, const char *name, char *value,
		    size_t size)
{
	size_t length = strlen(name);
	const char *line = strstr(message->head, "\r\n");

	for (; line; line = strstr(line, "\r\n")) {
		line += 2;
		if (!strncasecmp(line, name, length) && line[length] == ':') {
			const char *from = line + length + 1;
			size_t bytes;

			from += strspn(from, " ");
			bytes = strcspn(from, "\r");
			if (bytes >= size)
				bytes = size - 1;
			memcpy(value, from, bytes);
			value[bytes] = '\0';
			return true;
		}
	}
	return false;
}

static bool read_exactly(int fd, char *target, size_t size)
{
	while (size) {
		ssize_t got = recv(fd, target, size, 0);

		if (got <= 0)
			return false;
		target += got;
		size -= (size_t)got;
	}
	return true;
}

/* Reads byte by byte: heads are short, and no byte of the body is taken. */
static bool read_head(int fd, message_t *message)
{
	size_t used = 0;

	while (used + 1 < sizeof(message->head)) {
		if (recv(fd, message->head + used, 1, 0) != 1)
			return false;
		message->head[++used] = '\0';
		if (used >= 4 && !memcmp(message->head + used - 4, "\r\n\r\n", 4))
			return true;
	}
	return false;
}

static bool append(message_t *message, int fd, size_t size)
{
	if (size > BODY_MAX_BYTES)
		return false;
	message->body = realloc(message->body, message->body_bytes + size + 1);
	if (!message->body)
		abort();
	if (!read_exactly(fd, message->body + message->body_bytes, size))
		return false;
	message->body_bytes += size;
	message->body[message->body_bytes] = '\0';
	return true;
}

static bool read_line(int fd, char *line, size_t size)
{
	size_t used = 0;

	while (used + 1 < size) {
		if (recv(fd, line + used, 1, 0) != 1)
			return false;
		if (line[used] == '\n') {
			line[used] = '\0';
			return true;
		}
		used++;
	}
	return false;
}

static bool read_chunks(int fd, message_t *message)
{
	char line[128];

	for (;;) {
		size_t size;

		if (!read_line(fd, line, sizeof(line)))
			return false;
		size = strtoul(line, NULL, 16);
		if (size && !append(message, fd, size))
			return false;
		if (!read_line(fd, line, sizeof(line)))
			return false;
		if (!size)
			return true;
	}
}

bool message_read(int fd, message_t *message, bool is_answer)
{
	char value[64];

	memset(message, 0, sizeof(*message));
	if (!read_head(fd, message))
		return false;
	if (is_answer)
		message->status = atoi(message->head + strcspn(message->head, " "));
	else if (sscanf(message->head, "%15s %1023s", message->method,
			message->target) != 2)
		return false;
	message->body = calloc(1, 1);
	if (message_header(message, "Transfer-Encoding", value, sizeof(value)))
		return read_chunks(fd, message);
	if (message_header(message, "Content-Length", value, sizeof(value)))
		return append(message, fd, strtoul(value, NULL, 10));
	return true;
}

void message_clear(message_t *message)
{
	free(message->body);
	message->body = NULL;
}

int connect_to(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

struct listener {
	int fd, port;
	connection_t handler;
	void *context;
	pthread_mutex_t lock;
	int connections[CONNECTIONS_MAX]; /* 0: free */
	bool is_closed;
};

typedef struct {
	listener_t *listener;
	int fd, slot;
} accepted_t;

static void *serve(void *argument)
{
	accepted_t accepted = *(accepted_t *)argument;

	free(argument);
	accepted.listener->handler(accepted.listener->context, accepted.fd);
	pthread_mutex_lock(&accepted.listener->lock);
	accepted.listener->connections[accepted.slot] = 0;
	close(accepted.fd);
	pthread_mutex_unlock(&accepted.listener->lock);
	return NULL;
}

static bool start_thread(void *(*run)(void *), void *argument)
{
	pthread_attr_t attributes;
	pthread_t thread;
	int failed;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	failed = pthread_create(&thread, &attributes, run, argument);
	pthread_attr_destroy(&attributes);
	return !failed;
}

static void take(listener_t *listener, int fd)
{
	accepted_t *accepted = malloc(sizeof(*accepted));
	int slot = 0, on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	pthread_mutex_lock(&listener->lock);
	while (slot < CONNECTIONS_MAX && listener->connections[slot])
		slot++;
	if (slot < CONNECTIONS_MAX && !listener->is_closed)
		listener->connections[slot] = fd;
	else
		slot = CONNECTIONS_MAX;
	pthread_mutex_unlock(&listener->lock);
	*accepted = (accepted_t){ listener, fd, slot };
	if (slot == CONNECTIONS_MAX || !start_thread(serve, accepted)) {
		close(fd);
		free(accepted);
	}
}

static void *accept_all(void *argument)
{
	listener_t *listener = argument;
	int fd;

	while ((fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		take(listener, fd);
	return NULL;
}

listener_t *listener_open(int port, connection_t handler, void *context)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons((uint16_t)port) };
	socklen_t size = sizeof(address);
	listener_t *listener = calloc(1, sizeof(*listener));
	int on = 1;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	pthread_mutex_init(&listener->lock, NULL);
	listener->handler = handler;
	listener->context = context;
	listener->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(listener->fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(listener->fd, 1024)) {
		rig_record("cannot listen: %s", strerror(errno));
		rig_finish(RIG_NOT_RUN);
	}
	getsockname(listener->fd, (struct sockaddr *)&address, &size);
	listener->port = ntohs(address.sin_port);
	if (!start_thread(accept_all, listener))
		rig_finish(RIG_NOT_RUN);
	return listener;
}

int listener_port(const listener_t *listener)
{
	return listener->port;
}

void listener_close(listener_t *listener)
{
	struct linger reset = { 1, 0 };
	int i;

	shutdown(listener->fd, SHUT_RDWR);
	close(listener->fd);
	pthread_mutex_lock(&listener->lock);
	listener->is_closed = true;
	for (i = 0; i < CONNECTIONS_MAX; i++) {
		if (!listener->connections[i])
			continue;
		setsockopt(listener->connections[i], SOL_SOCKET, SO_LINGER,
			   &reset, sizeof(reset));
		shutdown(listener->connections[i], SHUT_RDWR);
	}
	pthread_mutex_unlock(&listener->lock);
}

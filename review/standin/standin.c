#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static int64_t started_ms;
static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	if (!started_ms)
		started_ms = clock_ms();
	return clock_ms() - started_ms;
}

void sleep_ms(int64_t ms)
{
	struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&pause, NULL);
}

void sleep_until(int64_t ms)
{
	sleep_ms(ms - now_ms());
}

void record_open(const char *path)
{
	now_ms();
	signal(SIGPIPE, SIG_IGN);
	record_file = fopen(path, "a");
	if (!record_file)
		exit(2);
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", (double)now_ms() / 1000);
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

bool header(const message_t *message, const char *name, char *value,
	    size_t size)
{
	const char *line = message->head;
	size_t length = strlen(name);

	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, length) != 0 || line[length] != ':')
			continue;
		line += length + 1;
		line += strspn(line, " ");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r"), line);
		return true;
	}
	return false;
}

int status_of(const message_t *message)
{
	int status = 0;

	sscanf(message->head, "HTTP/1.1 %d", &status);
	return status;
}

void message_clear(message_t *message)
{
	free(message->body);
	message->body = NULL;
	message->size = 0;
}

/* Reads what is there within the time. @return bytes; 0: end, -1: failed or
 * late */
static ssize_t read_some(int fd, char *data, size_t size, int64_t until_ms)
{
	struct pollfd in = { .fd = fd, .events = POLLIN };
	int64_t left = until_ms - now_ms();

	if (poll(&in, 1, left > 0 ? (int)left : 0) <= 0)
		return -1;
	return recv(fd, data, size, 0);
}

/* Reads the headers. @return bytes of the body that came with them; -1: none */
static ssize_t read_head(int fd, message_t *message, char *rest,
			 size_t rest_size, int64_t until_ms)
{
	size_t used = 0;

	while (used < HEAD_MAX_BYTES - 1) {
		ssize_t got = read_some(fd, message->head + used,
					HEAD_MAX_BYTES - 1 - used, until_ms);
		char *end;

		if (got <= 0)
			return -1;
		used += (size_t)got;
		message->head[used] = '\0';
		end = strstr(message->head, "\r\n\r\n");
		if (!end)
			continue;
		end += 4;
		used -= (size_t)(end - message->head);
		if (used > rest_size)
			return -1;
		memcpy(rest, end, used);
		*end = '\0';
		return (ssize_t)used;
	}
	return -1;
}

typedef struct {
	int fd;
	int64_t until_ms;
	char data[HEAD_MAX_BYTES];
	size_t start, end;
} input_t;

static int read_byte(input_t *input)
{
	if (input->start == input->end) {
		ssize_t got = read_some(input->fd, input->data,
					sizeof(input->data), input->until_ms);

		if (got <= 0)
			return got == 0 ? -1 : -2;
		input->start = 0;
		input->end = (size_t)got;
	}
	return (unsigned char)input->data[input->start++];
}

static void append(message_t *message, char byte)
{
	if (!(message->size & (message->size + 1)) || !message->body)
		message->body =
			realloc(message->body, 2 * (message->size + 1) + 64);
	message->body[message->size++] = byte;
}

static bool read_chunks(input_t *input, message_t *message)
{
	for (;;) {
		char line[64];
		size_t used = 0, left;
		int byte;

		while ((byte = read_byte(input)) >= 0 && byte != '\n')
			if (used < sizeof(line) - 1)
				line[used++] = (char)byte;
		line[used] = '\0';
		if (byte < 0)
			return false;
		left = strtoul(line, NULL, 16);
		if (!left)
			break;
		for (; left; left--) {
			byte = read_byte(input);
			if (byte < 0)
				return false;
			append(message, (char)byte);
		}
		if (read_byte(input) < 0 || read_byte(input) < 0)
			return false;
	}
	return read_byte(input) >= 0 && read_byte(input) >= 0;
}

static bool read_body(input_t *input, message_t *message, bool is_answer)
{
	char value[64];
	int byte;

	if (header(message, "Transfer-Encoding", value, sizeof(value)))
		return read_chunks(input, message);
	if (header(message, "Content-Length", value, sizeof(value))) {
		long left = strtol(value, NULL, 10);

		for (; left > 0; left--) {
			byte = read_byte(input);
			if (byte < 0)
				return false;
			append(message, (char)byte);
		}
		return true;
	}
	if (!is_answer)
		return true;
	while ((byte = read_byte(input)) >= 0)
		append(message, (char)byte);
	return byte == -1;
}

static bool read_message(int fd, message_t *message, int64_t until_ms,
			 bool is_answer)
{
	input_t input = { .fd = fd, .until_ms = until_ms };
	ssize_t rest;

	message->body = NULL;
	message->size = 0;
	message->complete = false;
	*message->head = '\0';
	rest = read_head(fd, message, input.data, sizeof(input.data), until_ms);
	if (rest >= 0) {
		input.end = (size_t)rest;
		message->complete = read_body(&input, message, is_answer);
	}
	message->end_ms = now_ms();
	return rest >= 0;
}

bool read_request(int fd, message_t *message)
{
	return read_message(fd, message, INT64_C(1) << 30, false);
}

bool read_answer(int fd, message_t *message, int64_t until_ms)
{
	return read_message(fd, message, until_ms, true);
}

static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in address = { .sin_family = AF_INET };

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)port);
	return address;
}

int listen_on(int *port)
{
	struct sockaddr_in address = loopback(*port);
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 || bind(fd, (struct sockaddr *)&address, size) ||
	    listen(fd, 512) ||
	    getsockname(fd, (struct sockaddr *)&address, &size))
		exit(2);
	*port = ntohs(address.sin_port);
	return fd;
}

int connect_to(int port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
	struct timeval second = { .tv_sec = 1 };

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &second, sizeof(second));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

bool send_all(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
		size -= (size_t)sent;
	}
	return true;
}

bool send_text(int fd, const char *format, ...)
{
	char text[HEAD_MAX_BYTES];
	va_list args;
	int size;

	va_start(args, format);
	size = vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	return size > 0 && (size_t)size < sizeof(text) &&
	       send_all(fd, text, (size_t)size);
}

typedef struct {
	int fd;
	serve_t handler;
	void *context;
} server_t;

void start_thread(void *(*run)(void *), void *context)
{
	pthread_attr_t attributes;
	pthread_t thread;

	pthread_attr_init(&attributes);
	pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attributes, 512 * 1024);
	if (pthread_create(&thread, &attributes, run, context))
		exit(2);
	pthread_attr_destroy(&attributes);
}

static void *run_connection(void *context)
{
	server_t *connection = context;
	message_t *request = malloc(sizeof(*request));
	bool more = true;

	while (more && read_request(connection->fd, request)) {
		more = connection->handler(connection->fd, request,
					   connection->context);
		message_clear(request);
	}
	close(connection->fd);
	free(request);
	free(connection);
	return NULL;
}

static void *run_listener(void *context)
{
	server_t *server = context;

	for (;;) {
		server_t *connection;
		int on = 1, fd = accept4(server->fd, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			break;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		connection = malloc(sizeof(*connection));
		*connection = *server;
		connection->fd = fd;
		start_thread(run_connection, connection);
	}
	return NULL;
}

void serve(int listener, serve_t handler, void *context)
{
	server_t *server = malloc(sizeof(*server));

	*server = (server_t){ listener, handler, context };
	start_thread(run_listener, server);
}

/* The store. */

typedef struct object {
	char kind[32], name[64];
	int64_t revision;
	char *spec; /* NULL: deleted */
	struct object *next;
} object_t;

static object_t *objects;
static int64_t revision = 100;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;

static object_t *find_object(const char *kind, const char *name)
{
	object_t *object;

	for (object = objects; object; object = object->next)
		if (!strcmp(object->kind, kind) && !strcmp(object->name, name))
			return object;
	return NULL;
}

/* The caller holds the lock. */
static object_t *put_object(const char *kind, const char *name,
			    const char *spec)
{
	object_t *object = find_object(kind, name);

	if (!object) {
		object = calloc(1, sizeof(*object));
		snprintf(object->kind, sizeof(object->kind), "%s", kind);
		snprintf(object->name, sizeof(object->name), "%s", name);
		object->next = objects;
		objects = object;
	}
	free(object->spec);
	object->spec = spec ? strdup(spec) : NULL;
	object->revision = ++revision;
	pthread_cond_broadcast(&store_changed);
	return object;
}

void store_put(const char *kind, const char *name, const char *spec)
{
	pthread_mutex_lock(&store_lock);
	put_object(kind, name, spec);
	pthread_mutex_unlock(&store_lock);
}

void store_put_server(const char *id, const char *service, int port, int slots)
{
	char spec[512];

	snprintf(spec, sizeof(spec),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"perth-north\",\"version\":\"v1\","
		 "\"concurrencyLimit\":%d,\"state\":\"ready\",\"coldLeftMs\":0,"
		 "\"seq\":1,\"born\":1000}",
		 service, port, slots);
	store_put("servers", id, spec);
}

void store_put_config(int version, const char *keys)
{
	static const char routes[] =
		"{\"name\":\"status\",\"host\":\"jobs.example\","
		"\"pathPrefix\":\"/status/\",\"kind\":\"idempotent\","
		"\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":2,"
		"\"service\":\"jobdesk\",\"attempts\":2,\"public\":false},"
		"{\"name\":\"order\",\"host\":\"jobs.example\","
		"\"pathPrefix\":\"/order/\",\"kind\":\"non_idempotent\","
		"\"timeoutMs\":3000,\"targetLatencyMs\":300,\"priority\":2,"
		"\"service\":\"jobdesk\",\"attempts\":1,\"public\":false}";
	char spec[SPEC_MAX_BYTES];

	snprintf(spec, sizeof(spec),
		 "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":"
		 "\"jobdesk\",\"healthPath\":\"/health\",\"maxConns\":96,"
		 "\"coldS\":0.0,\"coldPerS\":0.0}],\"limits\":{"
		 "\"headerBytes\":16384,\"bodyBytes\":4194304,"
		 "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
		 "\"tenants\":[{\"name\":\"t1\",\"keys\":[%s],"
		 "\"priority\":1}]}",
		 version, routes, keys);
	store_put("config", "main", spec);
}

typedef struct {
	char *data;
	size_t size;
} text_t;

static void add_text(text_t *text, const char *format, ...)
{
	va_list args;
	int size;

	va_start(args, format);
	size = vsnprintf(NULL, 0, format, args);
	va_end(args);
	text->data = realloc(text->data, text->size + (size_t)size + 1);
	va_start(args, format);
	vsnprintf(text->data + text->size, (size_t)size + 1, format, args);
	va_end(args);
	text->size += (size_t)size;
}

static void add_object(text_t *text, const object_t *object)
{
	add_text(text,
		 "{\"meta\":{\"name\":\"%s\",\"revision\":%lld,"
		 "\"createRev\":1,\"finalizers\":[],\"deleting\":false},"
		 "\"spec\":%s,\"status\":null}",
		 object->name, (long long)object->revision,
		 object->spec ? object->spec : "null");
}

static bool reply(int fd, int status, text_t *text)
{
	bool sent = send_text(fd,
			      "HTTP/1.1 %d Status\r\nContent-Type: "
			      "application/json\r\nContent-Length: %zu\r\n\r\n",
			      status, text->size) &&
		    (!text->size || send_all(fd, text->data, text->size));

	free(text->data);
	return sent;
}

static bool reply_object(int fd, int status, const object_t *object)
{
	text_t text = { NULL, 0 };

	add_object(&text, object);
	pthread_mutex_unlock(&store_lock);
	return reply(fd, status, &text);
}

static bool reply_empty(int fd, int status)
{
	text_t text = { NULL, 0 };

	pthread_mutex_unlock(&store_lock);
	add_text(&text, "{}");
	return reply(fd, status, &text);
}

static int add_changes(text_t *text, const char *kind, int64_t since)
{
	int count = 0;

	for (;;) {
		const object_t *object, *next = NULL;

		for (object = objects; object; object = object->next)
			if (!strcmp(object->kind, kind) &&
			    object->revision > since &&
			    (!next || object->revision < next->revision))
				next = object;
		if (!next)
			return count;
		add_text(text, "%s{\"object\":", count++ ? "," : "");
		add_object(text, next);
		add_text(text, ",\"deleted\":%s}",
			 next->spec ? "false" : "true");
		since = next->revision;
	}
}

static bool watch(int fd, const char *kind, int64_t since, int64_t wait_ms)
{
	struct timespec until;
	text_t text = { NULL, 0 };
	int count = 0, error = 0;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	add_text(&text, "{\"events\":[");
	while (!(count = add_changes(&text, kind, since)) && !error)
		error = pthread_cond_timedwait(&store_changed, &store_lock,
					       &until);
	add_text(&text, "],\"storeRevision\":%lld}", (long long)revision);
	pthread_mutex_unlock(&store_lock);
	return reply(fd, 200, &text);
}

static bool list(int fd, const char *kind)
{
	text_t text = { NULL, 0 };
	const object_t *object;
	int count = 0;

	add_text(&text, "{\"items\":[");
	for (object = objects; object; object = object->next) {
		if (strcmp(object->kind, kind) != 0 || !object->spec)
			continue;
		add_text(&text, count++ ? "," : "");
		add_object(&text, object);
	}
	add_text(&text, "],\"morePages\":false,\"storeRevision\":%lld}",
		 (long long)revision);
	pthread_mutex_unlock(&store_lock);
	return reply(fd, 200, &text);
}

/* Copies the JSON object under "spec" of a body, and the name under "meta". */
static void read_object(const message_t *request, char *name, size_t size,
			char spec[SPEC_MAX_BYTES], int64_t *wanted)
{
	char *body = calloc(1, request->size + 1), *at, *end;
	int depth = 0;

	memcpy(body, request->body ? request->body : "", request->size);
	*name = *spec = '\0';
	*wanted = 0;
	if ((at = strstr(body, "\"name\":\"")))
		snprintf(name, size, "%.*s", (int)strcspn(at + 8, "\""),
			 at + 8);
	if ((at = strstr(body, "\"revision\":")))
		*wanted = strtoll(at + 11, NULL, 10);
	if ((at = strstr(body, "\"spec\":{"))) {
		at += 7;
		end = at;
		do
			depth += (*end == '{') - (*end == '}');
		while (*end++ && depth);
		snprintf(spec, SPEC_MAX_BYTES, "%.*s", (int)(end - at), at);
	}
	free(body);
}

static bool write_object(int fd, const message_t *request, const char *kind,
			 char *path_name)
{
	char name[64], spec[SPEC_MAX_BYTES];
	object_t *object;
	int64_t wanted;

	read_object(request, name, sizeof(name), spec, &wanted);
	if (path_name)
		snprintf(name, sizeof(name), "%s", path_name);
	object = find_object(kind, name);
	if (object && !object->spec)
		object = NULL;
	if (!strncmp(request->head, "POST", 4) && object)
		return reply_object(fd, 409, object);
	if (strncmp(request->head, "POST", 4) != 0 && !object)
		return reply_empty(fd, 404);
	if (wanted && object && object->revision != wanted)
		return reply_object(fd, 409, object);
	if (!strncmp(request->head, "DELETE", 6)) {
		put_object(kind, name, NULL);
		return reply_empty(fd, 200);
	}
	if (object && !strcmp(object->spec, spec))
		return reply_object(fd, 200, object);
	return reply_object(fd, 200, put_object(kind, name, spec));
}

static bool on_store_request(int fd, message_t *request, void *context)
{
	char method[8], kind[64] = "", query[256] = "", *name;
	const char *since, *wait_text;
	object_t *object;

	(void)context;
	if (sscanf(request->head, "%7s /objects/%63[^? ]%255[^ ]", method, kind,
		   query) < 2)
		return false;
	name = strchr(kind, '/');
	if (name)
		*name++ = '\0';
	pthread_mutex_lock(&store_lock);
	if (strcmp(method, "GET") != 0)
		return write_object(fd, request, kind, name);
	if (name) {
		object = find_object(kind, name);
		return object && object->spec ? reply_object(fd, 200, object)
					      : reply_empty(fd, 404);
	}
	since = strstr(query, "watch=");
	wait_text = strstr(query, "waitMs=");
	if (since)
		return watch(fd, kind, strtoll(since + 6, NULL, 10),
			     wait_text ? strtoll(wait_text + 7, NULL, 10) : 0);
	return list(fd, kind);
}

int store_start(void)
{
	int port = 0, fd = listen_on(&port);

	serve(fd, on_store_request, NULL);
	return port;
}

/* Nodes. */

int free_ports(int count)
{
	static int next;
	int port, i;

	if (!next)
		next = 12000 + (int)(getpid() * 37 % 16000);
	for (;;) {
		port = next;
		next += count;
		if (next > 30000)
			next = 12000;
		for (i = 0; i < 2 * count; i++) {
			struct sockaddr_in address = loopback(port + i / 2);
			int fd = socket(AF_INET,
					i % 2 ? SOCK_DGRAM : SOCK_STREAM, 0);
			bool bound = !bind(fd, (struct sockaddr *)&address,
					   sizeof(address));

			close(fd);
			if (!bound)
				break;
		}
		if (i == 2 * count)
			return port;
	}
}

pid_t run_role(const char *const *arguments)
{
	pid_t pid = fork();

	if (pid < 0)
		exit(2);
	if (pid)
		return pid;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	execv("/proc/self/exe", (char *const *)arguments);
	_exit(127);
}

/* The kernel ends a child if the case itself ends. */
void node_run(node_t *node)
{
	char log[300];
	int fd;

	node->pid = fork();
	if (node->pid < 0)
		exit(2);
	if (node->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	snprintf(log, sizeof(log), "%s.log", node->settings);
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	setenv("CHIVESTAGE_SETTINGS", node->settings, 1);
	execl("target/chivestaged", "target/chivestaged", "--platform", NULL);
	_exit(127);
}

void node_start(node_t *node, const char *folder, int number, int store_port,
		const char *more)
{
	static const char *const zones[] = { "perth-north", "perth-east",
					     "perth-south" };
	FILE *file;

	snprintf(node->name, sizeof(node->name), "front-%d", number);
	node->port = free_ports(1);
	node->ready_port = free_ports(1);
	node->peer_port = free_ports(4);
	snprintf(node->settings, sizeof(node->settings), "%s/%s.conf", folder,
		 node->name);
	file = fopen(node->settings, "w");
	if (!file)
		exit(2);
	fprintf(file,
		"node=%s\nrole=gateway\nmachineClass=front\nserves=front\n"
		"ip=127.0.0.1\nzone=%s\nregion=perth\n"
		"zones.perth-north=perth\nzones.perth-east=perth\n"
		"zones.perth-south=perth\n"
		"bind.front=127.0.0.1:%d\nbind.ready=127.0.0.1:%d\n"
		"portRange=%d,%d\nbootstrap=true\nlimits.cpuShare=0.25\n"
		"limits.memoryMb=260\nlimits.maxFds=4100\n"
		"limits.netMbps=1000.0\nbeatMs=1200\n"
		"contractParams.seedLagS=3\ncontractParams.addrReuseS=2\n"
		"contractParams.stableWindowMs=3000\n"
		"contractParams.ackMs=4000\ncontractParams.syncS=4\n"
		"contractParams.drainMs=2000\ncontractParams.graceS=8\n"
		"contractParams.lossSlackMs=200\n"
		"contractParams.configApplyMs=2000\n"
		"contractParams.backMs=250\ncontractParams.skewMaxMs=5000\n"
		"contractParams.strictRevoke=true\n"
		"contractParams.revokeMs=5000\n"
		"contractParams.budgetRatio=0.2\n"
		"contractParams.budgetWindowS=10\n"
		"contractParams.retrySlack=100\n"
		"contractParams.coldMultiplier=1.5\n"
		"contractParams.coldSlack=5\ncontractParams.evacuateMs=5000\n"
		"contractParams.recoveryS=12\ncontractParams.passMs=120\n"
		"contractParams.stall_ms=1500\n"
		"contractParams.holdMaxMs=20000\ncontractParams.freeMs=4000\n"
		"contractParams.idleMaxMs=9000\n"
		"platform.address=127.0.0.1:%d\nplatform.form=objects\n"
		"platform.writesPerS=400\nplatform.readsPerS=2000\n"
		"platform.historyS=20\nplatform.valueBytes=1048576\n%s",
		node->name, zones[number % 3], node->port, node->ready_port,
		node->peer_port, node->peer_port + 3, store_port, more);
	fclose(file);
	node_run(node);
}

bool node_is_ready(const node_t *node)
{
	message_t *answer = malloc(sizeof(*answer));
	int fd = connect_to(node->ready_port);
	bool ready = false;

	if (fd >= 0 &&
	    send_text(fd, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
	    read_answer(fd, answer, now_ms() + 1000)) {
		ready = status_of(answer) == 200;
		message_clear(answer);
	}
	if (fd >= 0)
		close(fd);
	free(answer);
	return ready;
}

bool node_wait_ready(const node_t *node)
{
	int64_t until = now_ms() + 15000;

	while (now_ms() < until) {
		if (node_is_ready(node))
			return true;
		sleep_ms(100);
	}
	return false;
}

bool node_has_ended(node_t *node, int *status)
{
	if (node->pid && waitpid(node->pid, status, WNOHANG) != node->pid)
		return false;
	node->pid = 0;
	return true;
}

void node_kill(node_t *node)
{
	if (!node->pid)
		return;
	kill(node->pid, SIGCONT);
	kill(node->pid, SIGKILL);
	waitpid(node->pid, NULL, 0);
	node->pid = 0;
}

#include "lib_http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "base/history.h"
#include "base/mem.h"

volatile bool http_stopping;
static char *option_address, *option_history;
static http_handler_t request_handler;

struct poptOption http_options[] = {
	{ "address", 0, POPT_ARG_STRING, &option_address, 0,
	  "address to listen on", "ADDRESS:PORT" },
	{ "history", 0, POPT_ARG_STRING, &option_history, 0,
	  "file that events are appended to", "FILE" },
	POPT_TABLEEND
};

void http_parse_options(int argc, const char **argv, struct poptOption *options)
{
	poptContext context = poptGetContext(NULL, argc, argv, options, 0);
	int result = poptGetNextOpt(context);

	if (result < -1 || poptPeekArg(context) || !option_address) {
		fprintf(stderr, "%s: %s\n", argv[0],
			result < -1 ? poptStrerror(result)
				    : "expects --address and no arguments");
		exit(2);
	}
	poptFreeContext(context);
}

static bool parse_address(struct sockaddr_in *address)
{
	char host[64];
	unsigned int port;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	if (sscanf(option_address, "%63[0-9.]:%5u", host, &port) != 2)
		return false;
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

/* Doubles the capacity, so that a body of several MB is seldom copied. */
static void append_body(http_request_t *request, const char *data, size_t size)
{
	size_t needed = request->body_size_bytes + size + 1;

	if (request->capacity_bytes < needed) {
		request->capacity_bytes = 2 * needed;
		request->body = mem_realloc(request->body, 2 * needed, 1);
	}
	memcpy(request->body + request->body_size_bytes, data, size);
	request->body_size_bytes += size;
	request->body[request->body_size_bytes] = '\0';
}

/* MHD calls this first with the headers, then for each piece of the body, and
 * last with a size of 0. */
static enum MHD_Result on_request(void *context,
				  struct MHD_Connection *connection,
				  const char *path, const char *method,
				  const char *version, const char *data,
				  size_t *size, void **state)
{
	http_request_t *request = *state;

	if (!request) {
		*state = request = mem_calloc(1, sizeof(*request));
		request->connection = connection;
		request->method = method;
		request->path = path;
		return MHD_YES;
	}
	if (*size) {
		append_body(request, data, *size);
		*size = 0;
		return MHD_YES;
	}
	return request_handler(request);
}

static void on_completed(void *context, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	http_request_t *request = *state;

	if (!request)
		return;
	free(request->body);
	free(request);
	*state = NULL;
}

int http_serve(const char *who, http_handler_t handler, void (*start)(void),
	       void (*stop)(void))
{
	struct sockaddr_in address;
	struct MHD_Daemon *daemon;
	sigset_t signals;
	err_t err = { 0 };
	int signal;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	request_handler = handler;
	if (!parse_address(&address) ||
	    !history_open(option_history, who, &err)) {
		fprintf(stderr, "%s: %s: %s\n", who, option_address,
			*err.message ? err.message
				     : "expected IPV4-ADDRESS:PORT");
		return 1;
	}
	if (start)
		start();
	daemon = MHD_start_daemon(
		MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
		0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &address,
		MHD_OPTION_CONNECTION_LIMIT, 4000U,
		MHD_OPTION_THREAD_STACK_SIZE, (size_t)256 << 10,
		MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (!daemon)
		perror(option_address);
	else
		sigwait(&signals, &signal);
	http_stopping = true;
	if (stop)
		stop();
	if (daemon)
		MHD_stop_daemon(daemon);
	history_close();
	free(option_address);
	free(option_history);
	return daemon ? 0 : 1;
}

static enum MHD_Result send_response(http_request_t *request, int status,
				     struct MHD_Response *response,
				     const char *type)
{
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", type);
	result = MHD_queue_response(request->connection, (unsigned int)status,
				    response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result http_reply(http_request_t *request, int status,
			   const char *body)
{
	return send_response(
		request, status,
		MHD_create_response_from_buffer(strlen(body), (void *)body,
						MHD_RESPMEM_MUST_COPY),
		"application/json");
}

enum MHD_Result http_reply_json(http_request_t *request, int status,
				json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	json_decref(json);
	return send_response(request, status,
			     MHD_create_response_from_buffer(
				     strlen(text), text, MHD_RESPMEM_MUST_FREE),
			     "application/json");
}

enum MHD_Result http_refuse(http_request_t *request)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		0, NULL, MHD_RESPMEM_PERSISTENT);

	MHD_add_response_header(response, "X-Not-Run", "1");
	return send_response(request, 503, response, "text/plain");
}

enum MHD_Result http_stream(http_request_t *request, const char *type,
			    MHD_ContentReaderCallback reader, void *context,
			    MHD_ContentReaderFreeCallback release)
{
	return send_response(
		request, 200,
		MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, 65536,
						  reader, context, release),
		type);
}

const char *http_bearer(http_request_t *request)
{
	const char *value = MHD_lookup_connection_value(
		request->connection, MHD_HEADER_KIND, "Authorization");

	return value && !strncmp(value, "Bearer ", 7) ? value + 7 : "";
}

const char *http_argument(http_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(request->connection,
					   MHD_GET_ARGUMENT_KIND, name);
}

int64_t http_argument_integer(http_request_t *request, const char *name,
			      int64_t otherwise)
{
	const char *text = http_argument(request, name);

	return text ? strtoll(text, NULL, 10) : otherwise;
}

json_t *http_body_json(const http_request_t *request)
{
	json_t *json = json_loadb(request->body ? request->body : "",
				  request->body_size_bytes, 0, NULL);

	if (json_is_object(json))
		return json;
	json_decref(json);
	return NULL;
}

int64_t http_json_integer(const json_t *json, const char *key,
			  int64_t otherwise)
{
	const json_t *value = json_object_get(json, key);

	if (json_is_string(value))
		return strtoll(json_string_value(value), NULL, 10);
	return json_is_integer(value) ? json_integer_value(value) : otherwise;
}

const char *http_json_string(const json_t *json, const char *key,
			     const char *otherwise)
{
	const char *text = json_string_value(json_object_get(json, key));

	return text ? text : otherwise;
}

void http_read_fault(const json_t *fault, const char *key, int64_t *target)
{
	const json_t *value = json_object_get(fault, key);

	if (json_is_boolean(value))
		*target = json_is_true(value);
	else if (value)
		*target = http_json_integer(fault, key, *target);
}

bool http_use_fault(int64_t *count)
{
	if (*count <= 0)
		return false;
	(*count)--;
	return true;
}

void http_sleep_ms(int64_t ms)
{
	struct timespec wait = { ms / 1000, ms % 1000 * 1000000 };

	while (!http_stopping && nanosleep(&wait, &wait))
		;
}

int64_t http_incarnation(void)
{
	int64_t value = 0;

	if (getrandom(&value, sizeof(value), 0) < 0)
		abort();
	return (value & INT64_MAX) | 1;
}

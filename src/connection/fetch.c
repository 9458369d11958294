#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "connection/client.h"

/* State of a call that collects the response body in memory. */
typedef struct {
	client_done_t done;
	void *context;
	size_t limit_bytes;
	char *body;
	size_t size;
} fetch_t;

static client_flow_t on_fetch_data(void *context, const void *data, size_t size)
{
	fetch_t *fetch = context;

	if (size > fetch->limit_bytes - fetch->size)
		return CLIENT_STOP;
	fetch->body = mem_realloc(fetch->body, fetch->size + size + 1, 1);
	memcpy(fetch->body + fetch->size, data, size);
	fetch->size += size;
	fetch->body[fetch->size] = '\0';
	return CLIENT_CONTINUE;
}

static void on_fetch_end(void *context, client_end_t end, int status)
{
	fetch_t *fetch = context;

	fetch->done(fetch->context, end, status, fetch->body ? fetch->body : "",
		    fetch->size);
}

static void on_fetch_free(void *context)
{
	fetch_t *fetch = context;

	free(fetch->body);
	free(fetch);
}

client_call_t *client_fetch(client_t *client, const client_request_t *request,
			    size_t limit_bytes, client_done_t done,
			    void *context)
{
	fetch_t *fetch = mem_calloc(1, sizeof(*fetch));
	client_handler_t handler = { .on_data = on_fetch_data,
				     .on_end = on_fetch_end,
				     .on_free = on_fetch_free,
				     .context = fetch };

	fetch->done = done;
	fetch->context = context;
	fetch->limit_bytes = limit_bytes;
	return client_call(client, request, &handler);
}

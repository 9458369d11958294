#include "process/dispatch_state.h"

void reserve_clear(dispatch_t *dispatch)
{
	while (dispatch->reserved_count)
		dispatch->reserved[--dispatch->reserved_count]->reserved =
			false;
}

static void reserve_server(dispatch_t *dispatch, server_t *server)
{
	if (server->reserved || dispatch->reserved_count == RESERVED_MAX)
		return;
	server->reserved = true;
	dispatch->reserved[dispatch->reserved_count++] = server;
}

/* Reserves the servers chosen for the request. Without a choice, reserves the
 * first servers of the nearest data centre by lane rank that could hold the
 * request, so that all nodes drain the same servers. */
void reserve_for(dispatch_t *dispatch, const entry_t *request)
{
	const service_t *service = request->service;
	size_t count = request->set_size ? request->set_size : 1, i;
	int64_t kv_tokens = place_kv_tokens(request) / (int64_t)count;

	for (i = 0; i < request->set.count; i++)
		reserve_server(dispatch, request->set.servers[i]);
	if (request->set.count || !service->group_count)
		return;
	for (i = 0; i < service->groups[0].count && count; i++) {
		server_t *server = service->groups[0].servers[i];

		if (!server_available(server) || server->reserved ||
		    server->kv_tokens < kv_tokens ||
		    (request->set_size && !server->shares_kv))
			continue;
		reserve_server(dispatch, server);
		count--;
	}
}

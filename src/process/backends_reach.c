#include <stdlib.h>

#include "base/mem.h"
#include "process/backends_state.h"

/* Servers to which connections must fail, with none that works meanwhile: fewer
 * may be down. All of them, if a service has fewer. */
enum { CUT_OFF_SERVERS_MIN = 3 };
/* A server that started within this time is tried before its service counts as
 * cut off. */
#define NEW_SERVER_US (2 * US_PER_S)

backend_service_t *backends_service(backends_t *backends, const char *name)
{
	backend_service_t *service;

	HASH_FIND_STR(backends->services, name, service);
	if (service)
		return service;
	service = mem_calloc(1, sizeof(*service));
	mem_strlcpy(service->name, name, sizeof(service->name));
	HASH_ADD_STR(backends->services, name, service);
	return service;
}

void backends_free_services(backends_t *backends)
{
	backend_service_t *service, *next;

	HASH_ITER (hh, backends->services, service, next) {
		HASH_DEL(backends->services, service);
		free(service);
	}
}

static bool has_failed(const backend_t *server)
{
	return server->connect_failed_us > server->service->connected_us;
}

static void judge(backends_t *backends, backend_service_t *service,
		  int64_t now_us)
{
	size_t count = 0, failed = 0;
	backend_t *server, *next;

	service->is_cut_off = false;
	HASH_ITER (hh, backends->servers, server, next) {
		if (server->service != service ||
		    !backend_in_service(server, now_us))
			continue;
		if (!has_failed(server) &&
		    now_us - server->begun_us < NEW_SERVER_US)
			return;
		count++;
		failed += has_failed(server);
	}
	service->is_cut_off =
		failed && (failed == count || failed >= CUT_OFF_SERVERS_MIN);
}

void backend_note_connection(backend_t *backend, bool made, int64_t started_us,
			     int64_t now_us)
{
	backend_service_t *service = backend->service;

	if (!made)
		backend->connect_failed_us = started_us;
	else if (started_us > service->connected_us)
		service->connected_us = started_us;
	if (backend->table && service->is_cut_off == made)
		judge(backend->table, service, now_us);
}

bool backends_is_cut_off(backends_t *backends, const char *service)
{
	backend_service_t *found;

	HASH_FIND_STR(backends->services, service, found);
	return found && found->is_cut_off;
}

void backends_check_reach(backends_t *backends,
			  backends_reach_changed_t changed, void *context,
			  int64_t now_us)
{
	backend_service_t *service, *next;

	HASH_ITER (hh, backends->services, service, next) {
		if (service->is_cut_off)
			judge(backends, service, now_us);
		if (service->is_cut_off == service->was_cut_off)
			continue;
		service->was_cut_off = service->is_cut_off;
		changed(context, service->name, service->is_cut_off);
	}
}

size_t backends_list_cut_off(const backends_t *backends, uint32_t *hashes,
			     size_t max)
{
	const backend_service_t *service;
	size_t count = 0;

	for (service = backends->services; service && count < max;
	     service = service->hh.next)
		if (service->is_cut_off)
			hashes[count++] = load_table_hash(service->name);
	return count;
}

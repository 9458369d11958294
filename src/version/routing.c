#include "version/routing.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/mem.h"

struct routing {
	atomic_int references;
	routing_conf_t conf;
};

static int compare_routes(const void *left, const void *right)
{
	const route_conf_t *a = left, *b = right;
	int order = strcasecmp(a->host, b->host);

	return order ? order : strcmp(a->prefix, b->prefix);
}

static int compare_keys(const void *left, const void *right)
{
	return strcmp(((const account_key_t *)left)->key,
		      ((const account_key_t *)right)->key);
}

static int compare_services(const void *left, const void *right)
{
	return strcmp(((const service_conf_t *)left)->name,
		      ((const service_conf_t *)right)->name);
}

static void sort(void *items, size_t count, size_t size,
		 int (*compare)(const void *, const void *))
{
	if (count)
		qsort(items, count, size, compare);
}

static void *find(const void *key, const void *items, size_t count, size_t size,
		  int (*compare)(const void *, const void *))
{
	return count ? bsearch(key, items, count, size, compare) : NULL;
}

routing_t *routing_create(const routing_conf_t *conf)
{
	routing_t *routing = mem_calloc(1, sizeof(*routing));

	routing->references = 1;
	routing->conf = *conf;
	sort(conf->routes, conf->route_count, sizeof(*conf->routes),
	     compare_routes);
	sort(conf->keys, conf->key_count, sizeof(*conf->keys), compare_keys);
	sort(conf->services, conf->service_count, sizeof(*conf->services),
	     compare_services);
	return routing;
}

routing_t *routing_ref(routing_t *routing)
{
	routing->references++;
	return routing;
}

void routing_unref(routing_t *routing)
{
	if (!routing || --routing->references)
		return;
	free(routing->conf.routes);
	free(routing->conf.services);
	free(routing->conf.accounts);
	free(routing->conf.keys);
	free(routing);
}

int64_t routing_version(const routing_t *routing)
{
	return routing->conf.version;
}

const caller_limits_t *routing_limits(const routing_t *routing)
{
	return &routing->conf.limits;
}

bool routing_needs_keys(const routing_t *routing)
{
	return routing->conf.account_count > 0;
}

/* Copies @p host without its port: routes are compared without the port. */
static void copy_host(char target[URL_SIZE_BYTES], const char *host)
{
	size_t size = strcspn(host, ":");

	/* An IPv6 address stands in brackets and has colons of its own. */
	if (*host == '[')
		size = strcspn(host, "]") + 1;
	if (size > strlen(host))
		size = strlen(host);
	if (size >= URL_SIZE_BYTES)
		size = URL_SIZE_BYTES - 1;
	memcpy(target, host, size);
	target[size] = '\0';
}

const route_conf_t *routing_find(const routing_t *routing, const char *host,
				 const char *path)
{
	route_conf_t wanted;
	size_t length = strcspn(path, "?");

	copy_host(wanted.host, host);
	if (length >= sizeof(wanted.prefix))
		length = sizeof(wanted.prefix) - 1;
	memcpy(wanted.prefix, path, length);
	for (; length > 0; length--) {
		const route_conf_t *route;

		if (path[length - 1] != '/')
			continue;
		wanted.prefix[length] = '\0';
		route = find(&wanted, routing->conf.routes,
			     routing->conf.route_count, sizeof(*route),
			     compare_routes);
		if (route)
			return route;
	}
	return NULL;
}

const account_conf_t *routing_account(const routing_t *routing, const char *key)
{
	account_key_t wanted;
	const account_key_t *found;

	if (mem_strlcpy(wanted.key, key, sizeof(wanted.key)))
		return NULL;
	found = find(&wanted, routing->conf.keys, routing->conf.key_count,
		     sizeof(*found), compare_keys);
	return found ? &routing->conf.accounts[found->account] : NULL;
}

const service_conf_t *routing_service(const routing_t *routing,
				      const char *name)
{
	service_conf_t wanted;

	if (mem_strlcpy(wanted.name, name, sizeof(wanted.name)))
		return NULL;
	return find(&wanted, routing->conf.services,
		    routing->conf.service_count, sizeof(wanted),
		    compare_services);
}

const char *routing_target(const route_conf_t *route, uint64_t draw)
{
	int64_t total = 0, offset;
	size_t i;

	for (i = 0; i < route->target_count; i++)
		total += route->targets[i].weight;
	if (total <= 0)
		return route->target_count ? route->targets[0].service : "";
	offset = (int64_t)(draw % (uint64_t)total);
	for (i = 0; i + 1 < route->target_count; i++) {
		offset -= route->targets[i].weight;
		if (offset < 0)
			break;
	}
	return route->targets[i].service;
}

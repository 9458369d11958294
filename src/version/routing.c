#include "version/routing.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/mem.h"

struct routing {
	atomic_int references;
	routing_conf_t conf;
	/** What the routes ask of each service, in the order of conf.services.
	 */
	struct service_routes {
		int32_t first_priority; /* of the most urgent one */
		int64_t shortest_target_ms; /* INT64_MAX: none has one */
	} * asked;
};

static int compare_routes(const void *left, const void *right)
{
	const route_conf_t *a = left, *b = right;
	int order = strcasecmp(a->host, b->host);

	return order ? order : strcmp(a->prefix, b->prefix);
}

/* Host and path prefix that are looked up; parts of longer texts. */
typedef struct {
	const char *host, *prefix;
	size_t host_size, prefix_size;
} route_key_t;

/* Compares the first @p size bytes of @p wanted, like @p compare, with the
 * whole of @p text. */
static int compare_part(const char *wanted, size_t size, const char *text,
			int (*compare)(const char *, const char *, size_t))
{
	int order = compare(wanted, text, size);

	return order || !text[size] ? order : -1;
}

static int compare_route_key(const void *key, const void *item)
{
	const route_key_t *wanted = key;
	const route_conf_t *route = item;
	int order = compare_part(wanted->host, wanted->host_size, route->host,
				 strncasecmp);

	return order ? order
		     : compare_part(wanted->prefix, wanted->prefix_size,
				    route->prefix, strncmp);
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

void routing_conf_clear(routing_conf_t *conf)
{
	free(conf->routes);
	free(conf->targets);
	free(conf->services);
	free(conf->accounts);
	free(conf->keys);
	text_pool_destroy(conf->texts);
}

static void note_route(routing_t *routing, const route_conf_t *route,
		       const char *service)
{
	const service_conf_t *found = routing_service(routing, service);
	struct service_routes *asked;

	if (!found)
		return;
	asked = &routing->asked[found - routing->conf.services];
	if (route->priority < asked->first_priority)
		asked->first_priority = route->priority;
	if (route->target_ms > 0 &&
	    route->target_ms < asked->shortest_target_ms)
		asked->shortest_target_ms = route->target_ms;
}

/* A configuration may have thousands of routes, so that this is not looked up
 * for each request. */
static void note_routes(routing_t *routing)
{
	const routing_conf_t *conf = &routing->conf;
	size_t i, target;

	routing->asked =
		mem_calloc(conf->service_count + 1, sizeof(*routing->asked));
	for (i = 0; i < conf->service_count; i++)
		routing->asked[i] =
			(struct service_routes){ INT32_MAX, INT64_MAX };
	for (i = 0; i < conf->route_count; i++)
		for (target = 0; target < conf->routes[i].target_count;
		     target++)
			note_route(routing, &conf->routes[i],
				   conf->routes[i].targets[target].service);
	for (i = 0; i < conf->service_count; i++)
		if (routing->asked[i].first_priority == INT32_MAX)
			routing->asked[i].first_priority = 0;
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
	note_routes(routing);
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
	routing_conf_clear(&routing->conf);
	free(routing->asked);
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
	return routing->conf.needs_keys;
}

/* @return size of @p host without its port: routes are compared without it */
static size_t host_size(const char *host)
{
	size_t size = strcspn(host, ":");

	/* An IPv6 address stands in brackets and has colons of its own. */
	if (*host == '[')
		size = strcspn(host, "]") + 1;
	return size < strlen(host) ? size : strlen(host);
}

const route_conf_t *routing_find(const routing_t *routing, const char *host,
				 const char *path)
{
	route_key_t wanted = { .host = host,
			       .host_size = host_size(host),
			       .prefix = path,
			       .prefix_size = strcspn(path, "?") };

	for (; wanted.prefix_size > 0; wanted.prefix_size--) {
		const route_conf_t *route;

		if (path[wanted.prefix_size - 1] != '/')
			continue;
		route = find(&wanted, routing->conf.routes,
			     routing->conf.route_count, sizeof(*route),
			     compare_route_key);
		if (route)
			return route;
	}
	return NULL;
}

const account_conf_t *routing_account(const routing_t *routing, const char *key)
{
	const account_key_t wanted = { .key = key };
	const account_key_t *found = find(&wanted, routing->conf.keys,
					  routing->conf.key_count,
					  sizeof(*found), compare_keys);

	return found ? &routing->conf.accounts[found->account] : NULL;
}

const service_conf_t *routing_service(const routing_t *routing,
				      const char *name)
{
	const service_conf_t wanted = { .name = name };

	return find(&wanted, routing->conf.services,
		    routing->conf.service_count, sizeof(wanted),
		    compare_services);
}

static bool leads_to(const route_conf_t *route, const char *service)
{
	size_t i;

	for (i = 0; i < route->target_count; i++)
		if (!strcmp(route->targets[i].service, service))
			return true;
	return false;
}

const account_conf_t *routing_account_named(const routing_t *routing,
					    const char *name)
{
	size_t i;

	for (i = 0; i < routing->conf.account_count; i++)
		if (!strcmp(routing->conf.accounts[i].name, name))
			return &routing->conf.accounts[i];
	return NULL;
}

int32_t routing_priority(const route_conf_t *route,
			 const account_conf_t *account)
{
	return account && account->priority >= 0 ? account->priority
						 : route->priority;
}

const route_conf_t *routing_route_to(const routing_t *routing,
				     const char *service)
{
	size_t i;

	for (i = 0; i < routing->conf.route_count; i++)
		if (leads_to(&routing->conf.routes[i], service))
			return &routing->conf.routes[i];
	return NULL;
}

int32_t routing_first_priority(const routing_t *routing, const char *service)
{
	const service_conf_t *found = routing_service(routing, service);

	return found ? routing->asked[found - routing->conf.services]
			       .first_priority
		     : 0;
}

int32_t routing_ranks_below(const routing_t *routing, const route_conf_t *route,
			    const char *service)
{
	int64_t ranks = (int64_t)route->priority -
			routing_first_priority(routing, service);

	if (ranks < 0)
		return 0;
	return ranks < ROUTING_RANKS_MAX ? (int32_t)ranks : ROUTING_RANKS_MAX;
}

int64_t routing_shortest_target_ms(const routing_t *routing,
				   const char *service)
{
	const service_conf_t *found = routing_service(routing, service);
	int64_t target_ms;

	if (!found)
		return 0;
	target_ms = routing->asked[found - routing->conf.services]
			    .shortest_target_ms;
	return target_ms < INT64_MAX ? target_ms : 0;
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

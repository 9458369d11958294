#include "ctl/store.h"

#include <stdlib.h>

#include "base/mem.h"

struct store {
	struct ev_loop *loop;
	client_t *client;
	platform_t *platform;
	store_result_t result; /**< result of the last call */
	bool is_done; /**< on_done() ran for the last call */
};

store_t *store_create(const settings_t *settings, err_t *err)
{
	store_t *store = mem_calloc(1, sizeof(*store));
	platform_conf_t conf = {
		.timeout_ms = settings->platform_timeout_ms,
		.calls_per_s = settings->platform_calls_per_s,
	};

	mem_strlcpy(conf.url, settings->platform_url, sizeof(conf.url));
	mem_strlcpy(conf.namespace_name, settings->platform_namespace,
		    sizeof(conf.namespace_name));
	mem_strlcpy(conf.token, settings->platform_token, sizeof(conf.token));
	store->loop = ev_loop_new(EVFLAG_AUTO);
	store->client = client_create(store->loop, err);
	if (!store->client) {
		store_destroy(store);
		return NULL;
	}
	store->platform = platform_create(store->client, &conf);
	return store;
}

void store_destroy(store_t *store)
{
	if (!store)
		return;
	if (store->platform)
		platform_destroy(store->platform);
	if (store->client)
		client_destroy(store->client);
	ev_loop_destroy(store->loop);
	free(store);
}

static void on_done(void *context, platform_status_t status,
		    const platform_object_t *object)
{
	store_t *store = context;

	store->is_done = true;
	store->result.status = status;
	if (object) {
		store->result.version = object->version;
		store->result.spec = json_incref(object->spec);
	}
	ev_break(store->loop, EVBREAK_ALL);
}

/**
 * Runs the event loop until on_done() stops it. If the call was not sent,
 * on_done() has run before the platform call returned; an event loop started
 * now would not be stopped.
 */
static store_result_t wait_for_result(store_t *store)
{
	if (!store->is_done)
		ev_run(store->loop, 0);
	return store->result;
}

store_result_t store_get(store_t *store)
{
	store->result = (store_result_t){ .status = PLATFORM_OK };
	store->is_done = false;
	platform_get(store->platform, PLATFORM_CONFIGURATIONS,
		     PLATFORM_CONFIGURATION_NAME, on_done, store);
	return wait_for_result(store);
}

store_result_t store_put(store_t *store, int64_t version, json_t *spec)
{
	store->result = (store_result_t){ .status = PLATFORM_OK };
	store->is_done = false;
	json_incref(spec);
	if (version)
		platform_put(store->platform, PLATFORM_CONFIGURATIONS,
			     PLATFORM_CONFIGURATION_NAME, version, spec,
			     on_done, store);
	else
		platform_create_object(store->platform, PLATFORM_CONFIGURATIONS,
				       PLATFORM_CONFIGURATION_NAME, spec,
				       on_done, store);
	return wait_for_result(store);
}

static void on_pause_over(struct ev_loop *loop, ev_timer *timer, int events)
{
	ev_break(loop, EVBREAK_ALL);
}

void store_sleep(store_t *store, int64_t pause_ms)
{
	ev_timer timer;

	ev_timer_init(&timer, on_pause_over,
		      (double)pause_ms / (double)MS_PER_S, 0.0);
	ev_timer_start(store->loop, &timer);
	ev_run(store->loop, 0);
	ev_timer_stop(store->loop, &timer);
}

const char *store_status_text(platform_status_t status)
{
	switch (status) {
	case PLATFORM_OK:
		return "no error";
	case PLATFORM_NOT_FOUND:
		return "no configuration has been applied yet";
	case PLATFORM_EXISTS:
	case PLATFORM_CONFLICT:
		return "another change was made first";
	case PLATFORM_REFUSED:
		return "the platform refused the call";
	case PLATFORM_BUDGET:
		return "the request budget is used up";
	case PLATFORM_UNSENT:
		return "the platform cannot be reached";
	case PLATFORM_UNKNOWN:
		return "the platform did not answer";
	}
	return "unknown status";
}

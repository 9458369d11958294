#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/history.h"
#include "base/log.h"
#include "base/mem.h"
#include "base/metrics.h"
#include "process/control.h"

/*
 * Delay before a failed read is retried by a node that watches the
 * configuration or has none. A configuration must be in force on all nodes
 * within 4 s, so the retry is well within that time.
 */
enum { RETRY_MS = 500 };

/*
 * Longest time that the platform holds a watch open. A link that went silent
 * is detected when a watch exceeds this time. With the call timeout of 1 s the
 * node announces a network partition at most 2 s after it began. Two watching
 * nodes in each of 25 data centres make 50 calls a second.
 */
enum { WATCH_MS = 1000 };

/*
 * Delay before a node that has a configuration, and does not watch it because
 * its calls fail, tests whether its link to the platform works again. In an
 * outage, 810 nodes make 162 calls a second.
 */
enum { LINK_RETRY_MS = 5000 };

/*
 * After the calls to the platform failed for this long, the node announces the
 * network partition to the other nodes.
 */
#define FAILING_US US_PER_S

struct control_config {
	control_t *control;
	/** Starts the next platform call outside of the call's callback. */
	ev_timer next;
	bool calling; /**< a platform call is in progress */
	/** The object was read; false: the next call reads, not watches. */
	bool known;
	bool missing; /**< the platform has no configuration object */
	/** This node is chosen to watch the configuration. */
	bool watching;
	int64_t object_version; /**< version that was read; 0: none */
	int64_t called_us; /**< start of the last call */
	/** Start of the first call that failed; 0: none since a success. */
	int64_t failing_us;
};

static void schedule(control_config_t *config, int64_t delay_ms)
{
	ev_timer_stop(config->control->loop, &config->next);
	ev_timer_set(&config->next, (double)delay_ms / MS_PER_S, 0.);
	ev_timer_start(config->control->loop, &config->next);
}

static void send_to_tasks(control_t *control, document_t *document)
{
	int32_t i;

	for (i = 0; i < control->settings.request_tasks; i++) {
		task_msg_t *message = task_msg_create(TASK_MSG_CONFIG, 0);

		message->as.config = document_ref(document);
		control_send(control, (uint32_t)i, message);
	}
}

static void apply(control_t *control, document_t *document, const char *source)
{
	int64_t version = document_version(document);

	metrics_set(METRIC_CONFIG_VERSION, version);
	log_event(EVENT_CONFIG_APPLIED,
		  "version=%" PRId64 " change_id=%s source=%s", version,
		  document_change_id(document), source);
	history_event("config",
		      "version=%" PRId64 " data_centre=%s "
		      "incarnation=%" PRIu64,
		      version, control->settings.data_centre,
		      control->incarnation);
	dispatch_configure(control->dispatch, document, clock_monotonic_us());
	control_load_configure(control->load, document);
	control_orphans_configure(control->orphans, document);
	control_orders_configure(control->orders, document);
	control_cache_configure(control->cache, document);
	control_credits_configure(control->credits, document);
	send_to_tasks(control, document);
	control_members_push_config(control->members);
	control_status_publish(control->status, clock_monotonic_us());
}

static void offer(control_t *control, document_t *document, const char *source)
{
	int64_t version = document_version(document);

	switch (inforce_offer(control->inforce, document)) {
	case INFORCE_APPLIED:
		apply(control, document, source);
		break;
	case INFORCE_SAME:
		break;
	case INFORCE_STALE:
		metrics_add(METRIC_CONFIG_STALE, 1);
		log_event(EVENT_CONFIG_STALE,
			  "version=%" PRId64 " in_force=%" PRId64 " source=%s",
			  version, inforce_version(control->inforce), source);
		break;
	case INFORCE_CONFLICT:
		log_event(EVENT_CONFIG_CONFLICT,
			  "version=%" PRId64 " source=%s", version, source);
		break;
	}
}

void control_config_offer(control_config_t *config, const char *text,
			  size_t size_bytes, const char *source)
{
	document_t *document;
	err_t err;

	document = document_parse(text, size_bytes, &err);
	if (!document) {
		log_event(EVENT_CONFIG_REFUSED, "source=%s problem=\"%s\"",
			  source, err.message);
		return;
	}
	offer(config->control, document, source);
	document_unref(document);
}

static void offer_object(control_config_t *config,
			 const platform_object_t *object)
{
	char *text = json_dumps(object->spec, JSON_COMPACT);

	control_config_offer(config, text, strlen(text), "platform");
	free(text);
}

/* Records since when the calls to the platform have failed. */
static void record_status(control_config_t *config, platform_status_t status)
{
	if (status == PLATFORM_OK || status == PLATFORM_NOT_FOUND)
		config->failing_us = 0;
	else if (status != PLATFORM_BUDGET && !config->failing_us)
		config->failing_us = config->called_us;
}

bool control_config_failing(const control_config_t *config, int64_t now_us)
{
	return config->failing_us && now_us - config->failing_us >= FAILING_US;
}

/* @return the delay before the next call after one that failed, in ms */
static int64_t retry_ms(const control_config_t *config)
{
	bool urgent = config->watching ||
		      !inforce_document(config->control->inforce);

	return urgent ? RETRY_MS : LINK_RETRY_MS;
}

static void on_answer(void *context, platform_status_t status,
		      const platform_object_t *object)
{
	control_config_t *config = context;

	config->calling = false;
	record_status(config, status);
	if (status == PLATFORM_OK && object) {
		config->known = true;
		config->object_version = object->version;
		offer_object(config, object);
	} else if (status != PLATFORM_OK) {
		config->known = false;
	}
	if (status == PLATFORM_NOT_FOUND && !config->missing)
		log_event(EVENT_CONFIG_MISSING, "name=%s",
			  PLATFORM_CONFIGURATION_NAME);
	config->missing = status == PLATFORM_NOT_FOUND;
	schedule(config, status == PLATFORM_OK ? 0 : retry_ms(config));
}

/*
 * Without a document every node reads the configuration; with a document only
 * two nodes watch it. A node whose calls failed keeps calling until it knows
 * that its link to the platform works.
 * @return true if this node is to start a call
 */
static bool must_call(const control_config_t *config)
{
	return config->watching || config->failing_us ||
	       !inforce_document(config->control->inforce);
}

static void on_next(struct ev_loop *loop, ev_timer *timer, int events)
{
	control_config_t *config = timer->data;
	platform_t *platform = config->control->platform;

	if (config->calling || !must_call(config))
		return;
	config->calling = true;
	config->called_us = clock_monotonic_us();
	if (config->known)
		platform_watch(platform, PLATFORM_CONFIGURATIONS,
			       PLATFORM_CONFIGURATION_NAME,
			       config->object_version, WATCH_MS, on_answer,
			       config);
	else
		platform_get(platform, PLATFORM_CONFIGURATIONS,
			     PLATFORM_CONFIGURATION_NAME, on_answer, config);
}

control_config_t *control_config_create(control_t *control)
{
	control_config_t *config = mem_calloc(1, sizeof(*config));

	config->control = control;
	ev_timer_init(&config->next, on_next, 0., 0.);
	config->next.data = config;
	return config;
}

void control_config_destroy(control_config_t *config)
{
	if (!config)
		return;
	ev_timer_stop(config->control->loop, &config->next);
	free(config);
}

void control_config_update_watch(control_config_t *config)
{
	bool watching = control_members_watches(config->control->members);

	if (watching == config->watching)
		return;
	config->watching = watching;
	/*
	 * The object may have changed before this node took over the watch, so
	 * it is read first.
	 */
	config->known = false;
	if (watching && !config->calling)
		schedule(config, 0);
}

void control_config_start(control_config_t *config)
{
	schedule(config, 0);
}

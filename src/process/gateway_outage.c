/* Finds out when the store answers this node again, and how long servers
 * without an entry are kept then. */
#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "process/gateway_state.h"

enum {
	/* Bounds the time for which the node does not know that the store
	 * answers again: servers may have left, and no watch may be open. */
	PROBE_INTERVAL_MS = 400,
	/* A probe that waits for longer was sent before the store answers. */
	ANSWER_MS = 200,
	/* After an outage a server without an entry is removed this long before
	 * its bound: a request takes time to reach it. */
	REMOVE_MARGIN_MS = 200,
	/* Entries that expired in an outage are back after this time. */
	RETURN_MS = 2000
};

/* @return false if there was none to stop */
static bool stop_probes(gateway_t *gateway)
{
	bool probed = ev_is_active(&gateway->store_probe_timer);
	size_t i;

	ev_timer_stop(gateway->loop, &gateway->store_probe_timer);
	for (i = 0; i < STORE_PROBES_MAX; i++) {
		store_probe_t *probe = &gateway->store_probes[i];

		if (probe->sent_boot_us)
			platform_cancel(gateway->platform, probe);
		probe->sent_boot_us = 0;
	}
	return probed;
}

void gateway_note_store_failure(gateway_t *gateway, int64_t sent_boot_us,
				bool is_silent)
{
	outage_note_failure(&gateway->outage, sent_boot_us, is_silent,
			    clock_boot_us());
}

/* Notes the probes that were sent before @p sent_boot_us and have no answer,
 * while the store answers another call. */
static void note_unanswered(gateway_t *gateway, int64_t sent_boot_us)
{
	size_t i;

	for (i = 0; i < STORE_PROBES_MAX; i++) {
		int64_t sent_us = gateway->store_probes[i].sent_boot_us;

		if (sent_us && sent_us < sent_boot_us)
			gateway_note_store_failure(gateway, sent_us, true);
	}
}

/* @return the end of the grace period after an outage that ends now */
static int64_t grace_end_us(const gateway_t *gateway)
{
	const node_settings_t *settings = &gateway->settings;
	outage_limits_t limits = {
		.return_us = RETURN_MS * US_PER_MS,
		.drain_us = (settings->drain_ms - REMOVE_MARGIN_MS) * US_PER_MS,
		.settle_us =
			(settings->settle_ms - REMOVE_MARGIN_MS) * US_PER_MS,
	};

	/* The publishers know if the platform was unavailable. */
	if (gateway_receives_updates(gateway))
		return gateway->received_grace_until_us;
	return clock_monotonic_us() +
	       outage_keep_us(&gateway->outage, &limits, clock_boot_us());
}

void gateway_end_store_outage(gateway_t *gateway)
{
	gateway->outage.since_us = 0;
	gateway->grace_until_us = grace_end_us(gateway);
}

bool gateway_note_store_answer(gateway_t *gateway, int64_t sent_boot_us)
{
	int64_t now_us = clock_boot_us(), since_us = gateway->outage.since_us;
	int64_t keep_ms;
	bool probed;

	note_unanswered(gateway, now_us - ANSWER_MS * US_PER_MS);
	probed = stop_probes(gateway);
	if (!outage_note_answer(&gateway->outage, sent_boot_us, now_us))
		return probed;
	gateway->grace_until_us = grace_end_us(gateway);
	keep_ms = (gateway->grace_until_us - clock_monotonic_us()) / US_PER_MS;
	log_event(EVENT_STORE_ANSWERS,
		  "failed_ms=%" PRId64 " last_failure_ms=%" PRId64
		  " keep_servers_ms=%" PRId64,
		  (now_us - since_us) / US_PER_MS,
		  (now_us - gateway->outage.failed_us) / US_PER_MS,
		  keep_ms > 0 ? keep_ms : 0);
	return probed;
}

static void on_probe(void *context, platform_status_t status,
		     const platform_object_t *object)
{
	store_probe_t *probe = context;
	gateway_t *gateway = probe->gateway;
	int64_t sent_boot_us = probe->sent_boot_us;

	probe->sent_boot_us = 0;
	if (status == PLATFORM_OK || status == PLATFORM_NOT_FOUND) {
		note_unanswered(gateway, sent_boot_us);
		stop_probes(gateway);
		gateway_call_views(gateway, NULL);
		return;
	}
	gateway_note_store_failure(gateway, sent_boot_us, true);
}

/* Several probes may wait for an answer: a new one is answered as soon as the
 * store answers, whatever becomes of the others. */
static void on_probe_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;
	size_t i;

	for (i = 0; i < STORE_PROBES_MAX; i++) {
		store_probe_t *probe = &gateway->store_probes[i];

		if (probe->sent_boot_us)
			continue;
		probe->gateway = gateway;
		probe->sent_boot_us = clock_boot_us();
		platform_get(gateway->platform, PLATFORM_VMS,
			     gateway->settings.node_id, on_probe, probe);
		return;
	}
}

bool gateway_probes_store(const gateway_t *gateway)
{
	return !gateway_receives_updates(gateway) &&
	       !gateway_is_partitioned(gateway) &&
	       gateway_retries_for_others(gateway);
}

void gateway_start_store_probes(gateway_t *gateway, int64_t delay_ms)
{
	if (ev_is_active(&gateway->store_probe_timer))
		return;
	ev_timer_init(&gateway->store_probe_timer, on_probe_timer,
		      (double)delay_ms / MS_PER_S,
		      (double)PROBE_INTERVAL_MS / MS_PER_S);
	gateway->store_probe_timer.data = gateway;
	ev_timer_start(gateway->loop, &gateway->store_probe_timer);
}

void gateway_stop_store_probes(gateway_t *gateway)
{
	stop_probes(gateway);
}

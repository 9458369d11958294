#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/gateway_state.h"

/* Delay after a failed call, doubled up to a maximum. The maximum is smaller
 * while other nodes reach the platform: then this node alone is partitioned
 * from it. */
enum {
	RETRY_FIRST_MS = 100,
	RETRY_MAX_MS = 800,
	/* For a node that receives no announcements: the view updates of others
	 * end its outage. */
	RETRY_PARTITIONED_MS = 3000,
	RETRY_DOUBLINGS_MAX = 3
};

/* Maximum delay while others reach the platform, as a share of the bound of a
 * view: with the random part, and a call that hangs, a retry is within the
 * bound. */
#define RETRY_BOUND_SHARE 0.1

/* In an outage the publishers find out for all nodes when it ends. The others
 * together make this many calls: a hundredth of what the platform allows. */
enum { IDLE_CALLS_PER_S = 20 };

/* Share of the bound for removed keys that one watch may take: a watch that
 * hangs is noticed, and another watch answered, within the bound. */
#define ROUTING_WAIT_SHARE 0.3
/* Keys are refused this long before the bound for removed keys, to allow for a
 * request on its way to a server and for timers that fire late. */
enum { KEY_MARGIN_MS = 600 };

/* Longest watches: they bound how long a watch that hangs hides a server that
 * leaves, or a data centre that is taken out of service. */
enum { SERVERS_WAIT_MS = 3000, EVACUATIONS_WAIT_MS = 4000 };

/* Delay after an answer with changes: changes often come in groups, and the
 * platform charges for each call. */
enum { COLLECT_MS = 120 };

/* First watch of a node that takes over from the publishers; short, since the
 * other nodes wait for its answer. */
enum { TAKEOVER_WAIT_MS = 120 };

/* Interval at which a subscriber checks if it must watch the store itself. */
enum { SUBSCRIBER_CHECK_MS = 200 };

/* Pause before the next listing while the store has an older configuration than
 * this node, from a copy: the operator writes the newer one again. */
enum { BEHIND_RETRY_MS = 300 };
/* Nodes that learn that the store came back read it within this time. */
enum { RESTORED_SPREAD_MS = 200 };

/* Retry of a node whose probes find out when the store answers again. */
enum { RETRY_PROBED_MS = 3000 };

static void schedule(view_t *view, int64_t delay_ms)
{
	ev_timer_stop(view->gateway->loop, &view->next);
	ev_timer_set(&view->next, (double)delay_ms / MS_PER_S, 0.);
	ev_timer_start(view->gateway->loop, &view->next);
}

static int64_t wait_ms(const view_t *view)
{
	if (gateway_has_subscribers(view->gateway))
		return publisher_watch_us(gateway_bound_us(view)) / US_PER_MS;
	switch (view->kind) {
	case PLATFORM_ROUTING:
		return (int64_t)((double)view->gateway->settings.key_revoke_ms *
				 ROUTING_WAIT_SHARE);
	case PLATFORM_SERVERS:
		return SERVERS_WAIT_MS;
	case PLATFORM_EVACUATIONS:
	default:
		return EVACUATIONS_WAIT_MS;
	}
}

int64_t gateway_grace_until_us(const gateway_t *gateway)
{
	return clock_monotonic_us() < gateway->grace_until_us
		       ? gateway->grace_until_us
		       : 0;
}

/* Prepares a listing, which replaces all known objects; a watch only adds
 * changes. */
static void begin_listing(view_t *view)
{
	if (view->kind == PLATFORM_SERVERS)
		backends_begin_listing(view->gateway->backends, view->restored);
	view->restored = false;
	if (view->kind == PLATFORM_EVACUATIONS)
		backends_clear_evacuations(view->gateway->backends);
}

static void end_listing(view_t *view)
{
	size_t removed;

	view->listed = true;
	view->listed_us = clock_monotonic_us();
	change_log_reset(view->log, view->revision);
	if (view->kind != PLATFORM_SERVERS)
		return;
	removed = backends_end_listing(view->gateway->backends,
				       gateway_grace_until_us(view->gateway));
	if (removed)
		log_event(EVENT_SERVER_REMOVED, "count=%zu reason=unlisted",
			  removed);
}

void gateway_confirm(view_t *view, int64_t boot_us)
{
	if (view->confirmed_boot_us < boot_us)
		view->confirmed_boot_us = boot_us;
}

/* @return true if the store has an older configuration than this node: it came
 * back from a copy, and does not show what is in force */
static bool is_store_behind(const view_t *view)
{
	return view->kind == PLATFORM_ROUTING &&
	       view->gateway->stored_version <
		       gateway_routing_version(view->gateway);
}

/* Notes when the view was complete: an answer without changes was given when
 * the wait was over, any other answer after its call was sent. */
static void confirm_answer(view_t *view, bool unchanged)
{
	int64_t at_us = view->called_boot_us;

	if (is_store_behind(view))
		return;
	if (unchanged)
		at_us += view->wait_ms * US_PER_MS;
	gateway_confirm(view,
			at_us > clock_boot_us() ? view->called_boot_us : at_us);
}

static void reset_listing(view_t *view)
{
	view->listed = false;
	*view->after = '\0';
}

void gateway_views_restored(gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++) {
		gateway->views[i].restored = true;
		gateway_relist(&gateway->views[i],
			       (int64_t)(gateway_random(gateway) %
					 RESTORED_SPREAD_MS));
	}
}

void gateway_relist(view_t *view, int64_t delay_ms)
{
	reset_listing(view);
	if (!view->calling)
		schedule(view, delay_ms);
}

/* @return the longer delay of a node that waits for others to reach the
 * platform again; 0: none */
static int64_t idle_retry_ms(const view_t *view)
{
	const gateway_t *gateway = view->gateway;

	if (!gateway_in_outage(view) || gateway_receives_updates(gateway))
		return 0;
	if (gateway_is_partitioned(gateway))
		return RETRY_PARTITIONED_MS;
	if (gateway_retries_for_others(gateway))
		return 0;
	return (int64_t)gateway->nodes * MS_PER_S / IDLE_CALLS_PER_S;
}

void gateway_retry_views(gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++) {
		view_t *view = &gateway->views[i];
		ev_tstamp pause_s =
			(double)(gateway_random(gateway) % RETRY_MAX_MS) /
			MS_PER_S;

		if (view->failures && !view->calling &&
		    ev_timer_remaining(gateway->loop, &view->next) > pause_s)
			schedule(view, (int64_t)(pause_s * MS_PER_S));
	}
}

void gateway_call_views(gateway_t *gateway, const view_t *except)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++) {
		view_t *view = &gateway->views[i];

		if (view == except)
			continue;
		if (view->calling)
			platform_cancel(gateway->platform, view);
		view->calling = false;
		schedule(view, 0);
	}
}

static void note_failure(const view_t *view)
{
	int64_t age_us = clock_boot_us() - view->called_boot_us;

	gateway_note_store_failure(view->gateway, view->called_boot_us,
				   age_us >= view->wait_ms * US_PER_MS);
}

static void log_failure(const view_t *view, platform_status_t status,
			bool probes)
{
	int64_t age_us = clock_boot_us() - view->called_boot_us;

	log_event(EVENT_VIEW_CALL_FAILED,
		  "kind=%d status=%d after_ms=%" PRId64 " failures=%" PRId32
		  " probes=%d",
		  (int)view->kind, (int)status, age_us / US_PER_MS,
		  view->failures, probes);
}

static void on_answer_failed(view_t *view, platform_status_t status)
{
	int32_t doublings = view->failures < RETRY_DOUBLINGS_MAX
				    ? view->failures
				    : RETRY_DOUBLINGS_MAX;
	int64_t delay_ms = RETRY_FIRST_MS << doublings;
	int64_t longest_ms = RETRY_MAX_MS, idle_ms;
	bool probes;

	view->failures++;
	/* The store has dropped the changes since the view's revision: list all
	 * objects again, at once. */
	if (status == PLATFORM_CONFLICT) {
		reset_listing(view);
		delay_ms = 0;
		log_event(EVENT_VIEW_RELISTED, "kind=%d revision=%" PRId64,
			  (int)view->kind, view->revision);
	} else {
		note_failure(view);
	}
	if (gateway_receives_updates(view->gateway))
		longest_ms = (int64_t)((double)gateway_bound_us(view) *
				       RETRY_BOUND_SHARE / US_PER_MS);
	if (delay_ms > longest_ms)
		delay_ms = longest_ms;
	idle_ms = idle_retry_ms(view);
	if (delay_ms && delay_ms < idle_ms)
		delay_ms = idle_ms;
	/* Nodes that failed together must not retry together. */
	if (delay_ms)
		delay_ms += (int64_t)(gateway_random(view->gateway) %
				      (uint64_t)delay_ms);
	probes = delay_ms && gateway_probes_store(view->gateway);
	if (probes) {
		gateway_start_store_probes(view->gateway, delay_ms);
		delay_ms = RETRY_PROBED_MS;
	}
	log_failure(view, status, probes);
	schedule(view, delay_ms);
}

/* Changes are sent with their own revision, not with that of the answer:
 * publishers get the same changes in different answers, and a node receives
 * them from several publishers. A change without a revision of its own gets
 * that of the answer. */
static int64_t next_revision(const view_t *view, const platform_page_t *page,
			     size_t index, int64_t before)
{
	int64_t revision = page->objects[index].version;

	if (revision <= view->revision || revision > page->revision)
		revision = page->revision;
	return revision > before ? revision : before;
}

static void apply_page(view_t *view, const platform_page_t *page)
{
	int64_t grace_until_us = gateway_grace_until_us(view->gateway),
		revision = 0;
	size_t i;

	for (i = 0; i < page->count; i++) {
		gateway_apply(view, &page->objects[i], grace_until_us);
		revision = next_revision(view, page, i, revision);
		if (view->listed)
			gateway_log_change(view, &page->objects[i], revision,
					   grace_until_us);
	}
}

static void on_page(void *context, platform_status_t status,
		    const platform_page_t *page)
{
	view_t *view = context;

	view->calling = false;
	if (status != PLATFORM_OK) {
		on_answer_failed(view, status);
		return;
	}
	if (gateway_note_store_answer(view->gateway, view->called_boot_us))
		gateway_call_views(view->gateway, view);
	if (view->failures) {
		view->failures = 0;
		gateway_retry_views(view->gateway);
	}
	if (!view->listed && !*view->after) {
		begin_listing(view);
		view->revision = page->revision;
	}
	apply_page(view, page);
	if (view->listed) {
		view->watched = true;
		view->revision = page->revision;
		confirm_answer(view, !page->count);
		if (page->count || view->takes_over)
			gateway_schedule_updates(view->gateway);
	} else {
		mem_strlcpy(view->after, page->next, sizeof(view->after));
		if (!*page->next) {
			end_listing(view);
			confirm_answer(view, false);
		}
	}
	if (view->listed && is_store_behind(view))
		gateway_relist(view, BEHIND_RETRY_MS);
	else
		schedule(view, view->listed && page->count ? COLLECT_MS : 0);
}

void gateway_end_outage(view_t *view)
{
	view->failures = 0;
	gateway_end_store_outage(view->gateway);
	schedule(view, SUBSCRIBER_CHECK_MS);
}

/* The first watch of a node waits for view updates, which make it unnecessary.
 * Publishers start to watch at once. */
static bool waits_for_update(const view_t *view)
{
	return !gateway_has_subscribers(view->gateway) && view->listed &&
	       !view->watched &&
	       view_is_fresh(clock_monotonic_us() - view->listed_us,
			     gateway_bound_us(view));
}

/* In an outage the first kind alone calls the platform, to find out when it
 * answers again, unless probes do. */
static bool is_deferred(const view_t *view)
{
	const view_t *first = &view->gateway->views[0];

	return view != first && first->failures &&
	       !gateway_probes_store(view->gateway);
}

static void on_next(struct ev_loop *loop, ev_timer *timer, int events)
{
	view_t *view = timer->data;
	platform_t *platform = view->gateway->platform;
	bool was_subscribed;

	if (view->calling)
		return;
	was_subscribed = view->subscribed;
	view->subscribed = view->listed && gateway_is_subscriber(view);
	if (view->subscribed || waits_for_update(view) || is_deferred(view)) {
		schedule(view, SUBSCRIBER_CHECK_MS);
		return;
	}
	view->calling = true;
	view->called_boot_us = clock_boot_us();
	view->wait_ms = wait_ms(view);
	view->takes_over = was_subscribed &&
			   gateway_has_subscribers(view->gateway);
	if (view->takes_over)
		view->wait_ms = TAKEOVER_WAIT_MS;
	if (view->listed)
		platform_watch_kind(platform, view->kind, view->revision,
				    view->wait_ms, on_page, view);
	else
		platform_list(platform, view->kind, view->after, false, on_page,
			      view);
}

void gateway_views_start(gateway_t *gateway)
{
	static const platform_kind_t kinds[KINDS_WATCHED] = {
		PLATFORM_ROUTING, PLATFORM_SERVERS, PLATFORM_EVACUATIONS
	};
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++) {
		view_t *view = &gateway->views[i];

		view->gateway = gateway;
		view->kind = kinds[i];
		view->log = change_log_create();
		ev_timer_init(&view->next, on_next, 0., 0.);
		view->next.data = view;
		ev_timer_start(gateway->loop, &view->next);
	}
}

void gateway_views_stop(gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++) {
		ev_timer_stop(gateway->loop, &gateway->views[i].next);
		change_log_destroy(gateway->views[i].log);
	}
}

bool gateway_has_views(const gateway_t *gateway)
{
	size_t i;

	for (i = 0; i < KINDS_WATCHED; i++)
		if (!gateway->views[i].confirmed_boot_us)
			return false;
	return gateway->routing;
}

bool gateway_keys_valid(const gateway_t *gateway)
{
	const node_settings_t *settings = &gateway->settings;
	int64_t age_us = clock_boot_us() - gateway->views[0].confirmed_boot_us;

	if (!settings->keys_expire)
		return true;
	return age_us < (settings->key_revoke_ms - KEY_MARGIN_MS) * US_PER_MS;
}

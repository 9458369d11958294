#include <inttypes.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/gateway_state.h"

/* Pause after a failed call; doubled up to the longest, which is shorter while
 * others reach the platform: the node is then cut off by itself. */
enum {
	RETRY_FIRST_MS = 100,
	RETRY_MAX_MS = 800,
	/* A node that hears no other one: their news end its outage. */
	RETRY_CUT_OFF_MS = 3000,
	RETRY_DOUBLINGS_MAX = 3
};

/* Longest pause while others reach the platform, as a part of the bound of a
 * view: with the random part, and a call that hangs, within the bound. */
#define RETRY_ALONE_SHARE 0.1

/* In an outage, which the nodes that watch for others end for all, the others
 * call a hundredth as often as the platform allows. */
enum { IDLE_CALLS_PER_S = 20 };

/* Share of the bound for removed keys that one watch may take: a watch that
 * hangs is noticed, and another one answered, within the bound. */
#define ROUTING_WAIT_SHARE 0.3
/* Time before the bound for removed keys at which keys are refused: a request
 * on its way to a server, and timers that fire late. */
enum { KEY_MARGIN_MS = 600 };

/* Bounds how long a watch that hangs hides a server that leaves, or a data
 * centre that is taken out of service. */
enum { SERVERS_WAIT_MS = 3000, EVACUATIONS_WAIT_MS = 4000 };

/* Pause after an answer with changes: changes often come in groups, and each
 * call is priced. */
enum { COLLECT_MS = 120 };

/* First watch of a node that goes on for those who watched: the others wait
 * for its answer. */
enum { TAKEOVER_WAIT_MS = 120 };

/* How often a node that follows checks whether it must watch itself. */
enum { FOLLOW_CHECK_MS = 200 };

/* After an outage of the store, entries that expired meanwhile are written
 * again within 2 s; those of servers that left are usable for as long. */
#define RETURN_US (1800 * US_PER_MS)

static void schedule(view_t *view, int64_t delay_ms)
{
	ev_timer_stop(view->gateway->loop, &view->next);
	ev_timer_set(&view->next, (double)delay_ms / MS_PER_S, 0.);
	ev_timer_start(view->gateway->loop, &view->next);
}

static int64_t wait_ms(const view_t *view)
{
	if (gateway_is_followed(view->gateway))
		return news_watch_us(gateway_bound_us(view)) / US_PER_MS;
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

int64_t gateway_keep_until_us(const gateway_t *gateway)
{
	return clock_monotonic_us() < gateway->keep_until_us
		       ? gateway->keep_until_us
		       : 0;
}

/* Nodes that heard of the platform meanwhile know whether it was away. */
static void note_return(gateway_t *gateway)
{
	gateway->keep_until_us = gateway_hears_news(gateway)
					 ? gateway->told_keep_until_us
					 : clock_monotonic_us() + RETURN_US;
}

/* A listing replaces what was known; a watch adds changes to it. */
static void begin_listing(view_t *view)
{
	if (view->kind == PLATFORM_SERVERS)
		backends_begin_listing(view->gateway->backends);
	if (view->kind == PLATFORM_EVACUATIONS)
		backends_clear_evacuations(view->gateway->backends);
}

static void end_listing(view_t *view)
{
	size_t removed;

	view->listed = true;
	view->listed_us = clock_monotonic_us();
	news_log_reset(view->log, view->revision);
	if (view->kind != PLATFORM_SERVERS)
		return;
	removed = backends_end_listing(view->gateway->backends,
				       gateway_keep_until_us(view->gateway));
	if (removed)
		log_event(EVENT_SERVER_REMOVED, "count=%zu reason=unlisted",
			  removed);
}

void gateway_confirm(view_t *view, int64_t boot_us)
{
	if (view->confirmed_boot_us < boot_us)
		view->confirmed_boot_us = boot_us;
}

/*
 * An answer without changes was given when the wait was over, and any answer
 * after its call was sent; the view was complete then.
 */
static void confirm_answer(view_t *view, bool quiet)
{
	int64_t at_us = view->called_boot_us;

	if (quiet)
		at_us += view->wait_ms * US_PER_MS;
	gateway_confirm(view,
			at_us > clock_boot_us() ? view->called_boot_us : at_us);
}

static void forget_listing(view_t *view)
{
	view->listed = false;
	*view->after = '\0';
}

void gateway_relist(view_t *view, int64_t delay_ms)
{
	forget_listing(view);
	if (!view->calling)
		schedule(view, delay_ms);
}

/* Nodes that wait for others to reach the platform again try it seldom. */
static int64_t idle_retry_ms(const view_t *view)
{
	const gateway_t *gateway = view->gateway;

	if (!gateway_is_outage(view) || gateway_hears_news(gateway))
		return 0;
	if (gateway_is_cut_off(gateway))
		return RETRY_CUT_OFF_MS;
	if (gateway_asks_for_others(gateway))
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

static void on_answer_failed(view_t *view, platform_status_t status)
{
	int32_t doublings = view->failures < RETRY_DOUBLINGS_MAX
				    ? view->failures
				    : RETRY_DOUBLINGS_MAX;
	int64_t delay_ms = RETRY_FIRST_MS << doublings;
	int64_t longest_ms = RETRY_MAX_MS, idle_ms;

	view->failures++;
	/* History that is gone is read again as a whole, at once. */
	if (status == PLATFORM_CONFLICT) {
		forget_listing(view);
		delay_ms = 0;
		log_event(EVENT_VIEW_RELISTED, "kind=%d revision=%" PRId64,
			  (int)view->kind, view->revision);
	}
	if (gateway_hears_news(view->gateway))
		longest_ms = (int64_t)((double)gateway_bound_us(view) *
				       RETRY_ALONE_SHARE / US_PER_MS);
	if (delay_ms > longest_ms)
		delay_ms = longest_ms;
	idle_ms = idle_retry_ms(view);
	if (delay_ms && delay_ms < idle_ms)
		delay_ms = idle_ms;
	/* Nodes that failed together must not come back together. */
	if (delay_ms)
		delay_ms += (int64_t)(gateway_random(view->gateway) %
				      (uint64_t)delay_ms);
	schedule(view, delay_ms);
}

/*
 * Changes are told by their own revision, not by that of the answer: watchers
 * get the same changes in different answers, and a node hears of them from
 * several. One that shows no revision of its own is told with the last.
 */
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
	int64_t keep_us = gateway_keep_until_us(view->gateway), revision = 0;
	size_t i;

	for (i = 0; i < page->count; i++) {
		gateway_apply(view, &page->objects[i], keep_us);
		revision = next_revision(view, page, i, revision);
		if (view->listed)
			gateway_log_change(view, &page->objects[i], revision,
					   keep_us);
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
	if (view->failures && view->confirmed_boot_us)
		note_return(view->gateway);
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
			gateway_news_due(view->gateway);
	} else {
		mem_strlcpy(view->after, page->next, sizeof(view->after));
		if (!*page->next) {
			end_listing(view);
			confirm_answer(view, false);
		}
	}
	schedule(view, view->listed && page->count ? COLLECT_MS : 0);
}

void gateway_end_outage(view_t *view)
{
	view->failures = 0;
	note_return(view->gateway);
	schedule(view, FOLLOW_CHECK_MS);
}

/* The first watch waits for what other nodes tell: with their news it is not
 * needed. Those who watch for the others start at once. */
static bool waits_for_news(const view_t *view)
{
	return !gateway_is_followed(view->gateway) && view->listed &&
	       !view->watched &&
	       news_is_fresh(clock_monotonic_us() - view->listed_us,
			     gateway_bound_us(view));
}

/* One kind finds out when a platform that fails answers again. */
static bool is_spared(const view_t *view)
{
	const view_t *first = &view->gateway->views[0];

	return view != first && first->failures;
}

static void on_next(struct ev_loop *loop, ev_timer *timer, int events)
{
	view_t *view = timer->data;
	platform_t *platform = view->gateway->platform;
	bool followed;

	if (view->calling)
		return;
	followed = view->following;
	view->following = view->listed && gateway_follows(view);
	if (view->following || waits_for_news(view) || is_spared(view)) {
		schedule(view, FOLLOW_CHECK_MS);
		return;
	}
	view->calling = true;
	view->called_boot_us = clock_boot_us();
	view->wait_ms = wait_ms(view);
	view->takes_over = followed && gateway_is_followed(view->gateway);
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
		view->log = news_log_create();
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
		news_log_destroy(gateway->views[i].log);
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

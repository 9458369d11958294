#include "duty/duties.h"

#include <ev.h>
#include <inttypes.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "duty/duty_lease.h"
#include "duty/order_duty.h"
#include "duty/usage_duty.h"
#include "platform/duties.h"
#include "process/gateway_state.h"

/* Period of on_tick(), which updates clock, lease and duties. */
#define TICK_S 0.1
#define LOAD_CHECK_INTERVAL_US (500 * US_PER_MS)
#define COUNTS_INTERVAL_US US_PER_S
/* A request counts in the window in which it began, but is counted only when
 * its first answer arrives. FINAL_DELAY_US after the end of a window, no
 * request of the window is missing. */
#define FINAL_DELAY_US US_PER_S
/* Counts of other nodes are accepted for this many windows after the present
 * window, since the clocks of the nodes differ. */
enum { WINDOWS_AHEAD = 2 };
/* A holder whose calls to the platform's interface all fail for UNREACHABLE_US
 * releases the lease, and does not request it for UNREACHABLE_ABSTAIN_US, so
 * that another node takes over. */
#define UNREACHABLE_US (2 * US_PER_S)
#define UNREACHABLE_ABSTAIN_US (10 * US_PER_S)
/* A node with a slow link requests the lease, too, if no node has requested or
 * held it for UNREQUESTED_US plus a random part of UNREQUESTED_SPREAD_US. */
#define UNREQUESTED_US (2 * US_PER_S)
#define UNREQUESTED_SPREAD_US (4 * US_PER_S)

struct duties {
	gateway_t *gateway;
	usage_duty_conf_t usage_conf;
	bool reports_usage, orders_servers;
	duty_lease_t *lease;
	bool held; /* this node held the lease at the last tick */
	/* The store came back from a copy since this node last held the lease:
	 * the state that it has may be older than what was reported. */
	bool store_restored;
	int64_t highest_closed; /* last window that any holder closed; 0: none
				 */
	usage_t *usage;
	usage_duty_t *usage_duty;
	order_duty_t *order_duty;
	int64_t load_checked_us; /* last check of the servers' load */
	ev_timer tick;
	int64_t counts_sent_us; /* when this node last sent its counts */
	/* Median of the nodes' clocks (time of day) minus CLOCK_BOOTTIME. */
	int64_t wall_offset_us;

	client_call_t *call; /* outstanding call to the platform; NULL: none */
	int64_t called_window; /* window of the last report to the platform; 0:
				  no report was due */
	server_order_t called_order; /* last order sent to the platform */
	int64_t failing_us; /* when calls began to fail; 0: the last call was
			       answered */
	int64_t abstain_until_us; /* the lease is not requested before this
				     time */
	/* When nodes ceased to request the lease, plus a random delay; 0: a
	 * node requests or holds the lease. */
	int64_t unrequested_us;
};

static int64_t wall_time_us(const duties_t *duties)
{
	return clock_boot_us() + duties->wall_offset_us;
}

static void update_clock(duties_t *duties)
{
	int64_t boot_us = clock_boot_us();

	duties->wall_offset_us = load_table_wall_ms(duties->gateway->load_table,
						    clock_wall_us() / US_PER_MS,
						    clock_monotonic_us(),
						    boot_us) *
					 US_PER_MS -
				 boot_us;
}

duty_state_t duties_state(const duties_t *duties)
{
	if (!duties)
		return DUTY_STATE_NONE;
	if (duties->held)
		return DUTY_STATE_HELD;
	return lease_wanted(duty_lease(duties->lease)) ? DUTY_STATE_REQUESTED
						       : DUTY_STATE_NONE;
}

int64_t duties_usage_closed(const duties_t *duties)
{
	return duties && duties->held
		       ? usage_duty_last_closed(duties->usage_duty)
		       : 0;
}

void duties_count_request(duties_t *duties, const char *account,
			  int64_t began_us)
{
	int64_t at_us;

	if (!duties)
		return;
	at_us = wall_time_us(duties) - (clock_monotonic_us() - began_us);
	usage_count_request(duties->usage,
			    usage_duty_window(&duties->usage_conf, at_us),
			    account);
}

void duties_receive_usage(duties_t *duties, const usage_message_t *message)
{
	int64_t window;

	if (!duties)
		return;
	window = usage_duty_window(&duties->usage_conf, wall_time_us(duties));
	if (message->window >
		    window - usage_duty_open_windows(&duties->usage_conf) &&
	    message->window <= window + WINDOWS_AHEAD)
		usage_receive(duties->usage, message);
}

static void send_window(duties_t *duties, int64_t window)
{
	packet_t packet = { .type = PACKET_USAGE };
	size_t next = 0;

	do {
		next = usage_fill(duties->usage, window, next,
				  &packet.as.usage);
		gateway_send_to_duty_nodes(duties->gateway, &packet);
	} while (next);
}

/* Sends this node's counts of all windows that the lease holder has not
 * closed. */
static void send_counts(duties_t *duties)
{
	const usage_duty_conf_t *conf = &duties->usage_conf;
	int64_t now_us = clock_monotonic_us(), at_us = wall_time_us(duties);
	int64_t present = usage_duty_window(conf, at_us);
	int64_t closed =
		load_table_usage_closed(duties->gateway->load_table, now_us);
	int64_t window = present - usage_duty_open_windows(conf) + 1;

	if (now_us - duties->counts_sent_us < COUNTS_INTERVAL_US)
		return;
	duties->counts_sent_us = now_us;
	usage_expire(duties->usage, window);
	for (; window <= present; window++) {
		if (usage_duty_ended(conf, window, at_us, FINAL_DELAY_US))
			usage_finish(duties->usage, window);
		if (window > closed)
			send_window(duties, window);
	}
}

/* Returns true if no node has requested or held the lease for some time, as
 * when all nodes with fast links run a build without duties. A random delay
 * makes nodes request the lease at different times. */
static bool is_unrequested(duties_t *duties)
{
	int64_t now_us = clock_monotonic_us();

	if (load_table_duty_wanted(duties->gateway->load_table, now_us)) {
		duties->unrequested_us = 0;
		return false;
	}
	if (!duties->unrequested_us)
		duties->unrequested_us =
			now_us + (int64_t)(gateway_random(duties->gateway) %
					   UNREQUESTED_SPREAD_US);
	return now_us - duties->unrequested_us >= UNREQUESTED_US;
}

static bool wants_lease(duties_t *duties)
{
	const gateway_t *gateway = duties->gateway;

	if (gateway->stop != STOP_NONE ||
	    clock_boot_us() < duties->abstain_until_us)
		return false;
	/* A holder keeps the lease even if other nodes have faster links. */
	return duties->held || gateway_is_publisher(gateway) ||
	       (gateway_reaches_store(gateway) && is_unrequested(duties));
}

static void cancel_call(duties_t *duties)
{
	if (duties->call)
		client_call_cancel(duties->call);
	duties->call = NULL;
}

/* Handles the gain or loss of the lease since the last tick. */
static void update_held(duties_t *duties)
{
	lease_t *lease = duty_lease(duties->lease);
	bool held = duty_lease_held(duties->lease);

	if (held == duties->held)
		return;
	duties->held = held;
	log_event(held ? EVENT_LEASE_ACQUIRED : EVENT_LEASE_LOST,
		  "lease=duties token=%" PRId64 " closed=%" PRId64,
		  lease_token(lease),
		  usage_duty_last_closed(duties->usage_duty));
	/* Other nodes send their usage counts to the nodes that announce that
	 * they request or hold the lease. */
	gateway_load_changed(duties->gateway, true);
	if (!held) {
		cancel_call(duties);
		return;
	}
	duties->failing_us = 0;
	usage_duty_take_over(duties->usage_duty,
			     json_object_get(lease_state(lease), "usage"));
	if (duties->store_restored)
		usage_duty_skip(duties->usage_duty, duties->highest_closed);
	duties->store_restored = false;
	order_duty_take_over(duties->order_duty,
			     json_object_get(lease_state(lease), "servers"));
}

/* Keeps the last window that any holder closed. */
static void note_closed(duties_t *duties)
{
	int64_t closed = load_table_usage_closed(duties->gateway->load_table,
						 clock_monotonic_us());

	if (duties->held)
		closed = usage_duty_last_closed(duties->usage_duty);
	if (closed > duties->highest_closed)
		duties->highest_closed = closed;
}

/* Sets the state to write with the lease. No call to the platform starts before
 * the state is written, so that a successor knows each call that this node may
 * have made. */
static void write_state(duties_t *duties)
{
	lease_set_state(duty_lease(duties->lease),
			json_pack("{s:o,s:o}", "usage",
				  usage_duty_state(duties->usage_duty),
				  "servers",
				  order_duty_state(duties->order_duty)));
}

/* Makes a holder whose calls all fail for UNREACHABLE_US release the lease. */
static void track_failures(duties_t *duties, bool answered)
{
	int64_t now_us = clock_boot_us();

	if (answered)
		duties->failing_us = 0;
	else if (!duties->failing_us)
		duties->failing_us = now_us;
	else if (now_us - duties->failing_us > UNREACHABLE_US)
		duties->abstain_until_us = now_us + UNREACHABLE_ABSTAIN_US;
}

static void finish_call(duties_t *duties, duty_answer_t answer,
			client_end_t end, int status, const char *what)
{
	duties->call = NULL;
	track_failures(duties, answer != DUTY_RETRY);
	if (answer != DUTY_ACCEPTED)
		log_event(EVENT_DUTY_FAILED,
			  "duty=%s status=%d end=%d answer=%s", what, status,
			  (int)end, answer == DUTY_RETRY ? "later" : "refused");
}

static void on_usage_answer(void *context, client_end_t end, int status,
			    const char *body, size_t size)
{
	duties_t *duties = context;
	duty_answer_t answer = platform_duty_answer(end, status);

	finish_call(duties, answer, end, status, "usage");
	usage_duty_answered(duties->usage_duty, duties->called_window, answer,
			    clock_boot_us());
}

static duty_call_conf_t make_call_conf(const duties_t *duties)
{
	const node_settings_t *settings = &duties->gateway->settings;

	return (duty_call_conf_t){
		.url = settings->duty_url,
		.holder = settings->node_id,
		.token = lease_token(duty_lease(duties->lease)),
		.timeout_ms = duty_lease_call_timeout_ms(duties->lease),
	};
}

static void on_order_answer(void *context, client_end_t end, int status,
			    const char *body, size_t size)
{
	duties_t *duties = context;
	duty_answer_t answer = platform_duty_answer(end, status);

	finish_call(duties, answer, end, status, "servers");
	order_duty_answered(duties->order_duty, &duties->called_order, answer,
			    clock_boot_us());
}

static void order_servers(duties_t *duties)
{
	duty_call_conf_t call_conf = make_call_conf(duties);
	server_order_t *order = &duties->called_order;

	if (!order_duty_next(duties->order_duty, clock_boot_us(), order))
		return;
	duties->call = platform_order_servers(duties->gateway->client,
					      &call_conf, order->service,
					      order->data_centre,
					      order->order.count,
					      on_order_answer, duties);
}

static void report_usage(duties_t *duties)
{
	duty_call_conf_t call_conf = make_call_conf(duties);
	const json_t *counts;

	duties->called_window =
		usage_duty_next(duties->usage_duty, clock_boot_us(), &counts);
	if (!duties->called_window)
		return;
	log_event(EVENT_USAGE_REPORTED,
		  "window=%" PRId64 " accounts=%zu token=%" PRId64
		  " age_ms=%" PRId64,
		  duties->called_window, json_object_size(counts),
		  call_conf.token,
		  (wall_time_us(duties) -
		   (duties->called_window + 1) * duties->usage_conf.window_us) /
			  US_PER_MS);
	duties->call = platform_report_usage(duties->gateway->client,
					     &call_conf, duties->called_window,
					     counts, on_usage_answer, duties);
}

static void update_duties(duties_t *duties)
{
	int64_t now_us = clock_boot_us();
	bool changed = false;

	if (duties->reports_usage)
		changed = usage_duty_close(duties->usage_duty, duties->usage,
					   wall_time_us(duties));
	if (duties->orders_servers &&
	    now_us - duties->load_checked_us >= LOAD_CHECK_INTERVAL_US) {
		duties->load_checked_us = now_us;
		changed |= order_duty_update(duties->order_duty, now_us);
	}
	if (changed)
		write_state(duties);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	duties_t *duties = timer->data;
	const lease_t *lease = duty_lease(duties->lease);

	update_clock(duties);
	note_closed(duties);
	duty_lease_step(duties->lease, wants_lease(duties));
	update_held(duties);
	if (duties->reports_usage)
		send_counts(duties);
	if (!duties->held)
		return;
	update_duties(duties);
	/* One call at a time, and none before the state is written: a successor
	 * must know of each call. */
	if (!duties->call && lease_state_written(lease))
		report_usage(duties);
	if (!duties->call && lease_state_written(lease))
		order_servers(duties);
}

void duties_store_restored(duties_t *duties)
{
	if (!duties)
		return;
	note_closed(duties);
	duties->store_restored = true;
	duty_lease_store_restored(duties->lease);
	update_held(duties);
}

void duties_stop(duties_t *duties)
{
	if (!duties)
		return;
	duty_lease_step(duties->lease, false);
	update_held(duties);
}

duties_t *duties_create(gateway_t *gateway)
{
	const node_settings_t *settings = &gateway->settings;
	duties_t *duties;

	if (!*settings->duty_url || settings->duty_lease_ms <= 0 ||
	    settings->usage_window_ms <= 0)
		return NULL;
	duties = mem_calloc(1, sizeof(*duties));
	duties->gateway = gateway;
	duties->reports_usage = platform_has_usage_duty(settings->duties);
	duties->orders_servers = platform_has_scale_duty(settings->duties);
	/* Requests are counted even if usage is not reported. The window may
	 * then have any length above 0. */
	duties->usage_conf.window_us =
		settings->usage_window_ms > 0
			? settings->usage_window_ms * US_PER_MS
			: US_PER_S;
	duties->usage_conf.delay_us = settings->usage_delay_ms * US_PER_MS;
	duties->lease = duty_lease_create(gateway->platform, settings->node_id,
					  gateway->incarnation,
					  settings->duty_lease_ms * US_PER_MS);
	duties->usage = usage_create(load_table_node_hash(settings->node_id),
				     gateway->incarnation);
	duties->usage_duty = usage_duty_create(&duties->usage_conf);
	duties->order_duty = order_duty_create(gateway);
	update_clock(duties);
	ev_timer_init(&duties->tick, on_tick, TICK_S, TICK_S);
	duties->tick.data = duties;
	ev_timer_start(gateway->loop, &duties->tick);
	return duties;
}

void duties_destroy(duties_t *duties)
{
	if (!duties)
		return;
	ev_timer_stop(duties->gateway->loop, &duties->tick);
	cancel_call(duties);
	duty_lease_destroy(duties->lease);
	usage_destroy(duties->usage);
	usage_duty_destroy(duties->usage_duty);
	order_duty_destroy(duties->order_duty);
	free(duties);
}

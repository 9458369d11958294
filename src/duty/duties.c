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

/* The clock, the lease and the duties are looked after this often. */
#define TICK_S 0.1
/* The load of the servers is looked at this often. */
#define LOOK_US (500 * US_PER_MS)
/* Nodes tell their counts this often. */
#define TELL_US US_PER_S
/* Requests are counted when their first answer comes; after this time in the
 * next window none is missing. */
#define FINAL_US US_PER_S
/* Windows from which reports of other nodes are taken; their clocks differ. */
enum { WINDOWS_AHEAD = 2 };
/* A holder that cannot reach the platform's interface for so long leaves the
 * lease to others, and stays away from it. */
#define UNREACHABLE_US (2 * US_PER_S)
#define UNREACHABLE_ABSTAIN_US (10 * US_PER_S)
/* A node asks for the duties, too, when no other one has asked for so long, and
 * for a random part of the time below. */
#define UNASKED_US (2 * US_PER_S)
#define UNASKED_SPREAD_US (4 * US_PER_S)

struct duties {
	gateway_t *gateway;
	usage_duty_conf_t usage_conf;
	bool reports_usage, orders_servers;
	duty_lease_t *lease;
	bool held; /* at the last tick */
	usage_t *usage;
	usage_duty_t *usage_duty;
	order_duty_t *order_duty;
	int64_t looked_us; /* at the load of the servers */
	ev_timer tick;
	int64_t told_us;
	/* Time of day, by most clocks, less CLOCK_BOOTTIME. */
	int64_t wall_offset_us;

	client_call_t *call; /* to the platform; NULL: none */
	int64_t called_window;
	server_order_t called_order;
	int64_t failing_us; /* since when no call is answered; 0: it was */
	int64_t away_until_us;
	int64_t unasked_us; /* since when no other node asks; 0: one does */
};

static int64_t time_us(const duties_t *duties)
{
	return clock_boot_us() + duties->wall_offset_us;
}

static void read_time(duties_t *duties)
{
	int64_t boot_us = clock_boot_us();

	duties->wall_offset_us = load_table_wall_ms(duties->gateway->share,
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
	return duties && duties->held ? usage_duty_closed(duties->usage_duty)
				      : 0;
}

void duties_count_request(duties_t *duties, const char *account,
			  int64_t began_us)
{
	int64_t at_us;

	if (!duties)
		return;
	at_us = time_us(duties) - (clock_monotonic_us() - began_us);
	usage_begin(duties->usage,
		    usage_duty_window(&duties->usage_conf, at_us), account);
}

void duties_receive_usage(duties_t *duties, const usage_message_t *report)
{
	int64_t window;

	if (!duties)
		return;
	window = usage_duty_window(&duties->usage_conf, time_us(duties));
	if (report->window > window - usage_duty_kept(&duties->usage_conf) &&
	    report->window <= window + WINDOWS_AHEAD)
		usage_receive(duties->usage, report);
}

static void tell_window(duties_t *duties, int64_t window)
{
	packet_t packet = { .type = PACKET_USAGE };
	size_t next = 0;

	do {
		next = usage_fill(duties->usage, window, next,
				  &packet.as.usage);
		gateway_send_to_duty_nodes(duties->gateway, &packet);
	} while (next);
}

/* Tells the own counts of the windows that are not closed yet. */
static void tell(duties_t *duties)
{
	const usage_duty_conf_t *conf = &duties->usage_conf;
	int64_t now_us = clock_monotonic_us(), at_us = time_us(duties);
	int64_t present = usage_duty_window(conf, at_us);
	int64_t closed =
		load_table_usage_closed(duties->gateway->share, now_us);
	int64_t window = present - usage_duty_kept(conf) + 1;

	if (now_us - duties->told_us < TELL_US)
		return;
	duties->told_us = now_us;
	usage_forget(duties->usage, window);
	for (; window <= present; window++) {
		if (usage_duty_ended(conf, window, at_us, FINAL_US))
			usage_finish(duties->usage, window);
		if (window > closed)
			tell_window(duties, window);
	}
}

/* Whether no node asks for the duties, as when the first ones run a build that
 * does not know of them; nodes find that out at different times. */
static bool is_unasked(duties_t *duties)
{
	int64_t now_us = clock_monotonic_us();

	if (load_table_duty_wanted(duties->gateway->share, now_us)) {
		duties->unasked_us = 0;
		return false;
	}
	if (!duties->unasked_us)
		duties->unasked_us =
			now_us + (int64_t)(gateway_random(duties->gateway) %
					   UNASKED_SPREAD_US);
	return now_us - duties->unasked_us >= UNASKED_US;
}

static bool is_wanted(duties_t *duties)
{
	const gateway_t *gateway = duties->gateway;

	if (gateway->stop != STOP_NONE ||
	    clock_boot_us() < duties->away_until_us)
		return false;
	/* A holder keeps the lease though others may be faster. */
	return duties->held || gateway_is_publisher(gateway) ||
	       (gateway_reaches_store(gateway) && is_unasked(duties));
}

static void end_call(duties_t *duties)
{
	if (duties->call)
		client_call_cancel(duties->call);
	duties->call = NULL;
}

/* Follows whether this node holds the lease. */
static void follow_lease(duties_t *duties)
{
	lease_t *lease = duty_lease(duties->lease);
	bool held = duty_lease_held(duties->lease);

	if (held == duties->held)
		return;
	duties->held = held;
	log_event(held ? EVENT_LEASE_ACQUIRED : EVENT_LEASE_LOST,
		  "lease=duties token=%" PRId64 " closed=%" PRId64,
		  lease_token(lease), usage_duty_closed(duties->usage_duty));
	/* Others must know to whom they tell their counts. */
	gateway_load_changed(duties->gateway, true);
	if (!held) {
		end_call(duties);
		return;
	}
	duties->failing_us = 0;
	usage_duty_take_over(duties->usage_duty,
			     json_object_get(lease_state(lease), "usage"));
	order_duty_take_over(duties->order_duty,
			     json_object_get(lease_state(lease), "servers"));
}

/* A successor must find what may have been sent. */
static void write_state(duties_t *duties)
{
	lease_set_state(duty_lease(duties->lease),
			json_pack("{s:o,s:o}", "usage",
				  usage_duty_state(duties->usage_duty),
				  "servers",
				  order_duty_state(duties->order_duty)));
}

/* A holder whose calls all fail leaves the duties to others. */
static void note_reach(duties_t *duties, bool answered)
{
	int64_t now_us = clock_boot_us();

	if (answered)
		duties->failing_us = 0;
	else if (!duties->failing_us)
		duties->failing_us = now_us;
	else if (now_us - duties->failing_us > UNREACHABLE_US)
		duties->away_until_us = now_us + UNREACHABLE_ABSTAIN_US;
}

static void note_answer(duties_t *duties, duty_answer_t answer,
			client_end_t end, int status, const char *what)
{
	duties->call = NULL;
	note_reach(duties, answer != DUTY_RETRY);
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

	note_answer(duties, answer, end, status, "usage");
	usage_duty_answered(duties->usage_duty, duties->called_window, answer,
			    clock_boot_us());
}

static duty_caller_t caller_of(const duties_t *duties)
{
	const node_settings_t *settings = &duties->gateway->settings;

	return (duty_caller_t){
		.url = settings->duty_url,
		.holder = settings->node_id,
		.token = lease_token(duty_lease(duties->lease)),
		.timeout_ms = duty_lease_call_ms(duties->lease),
	};
}

static void on_order_answer(void *context, client_end_t end, int status,
			    const char *body, size_t size)
{
	duties_t *duties = context;
	duty_answer_t answer = platform_duty_answer(end, status);

	note_answer(duties, answer, end, status, "servers");
	order_duty_answered(duties->order_duty, &duties->called_order, answer,
			    clock_boot_us());
}

static void order_servers(duties_t *duties)
{
	duty_caller_t caller = caller_of(duties);
	server_order_t *order = &duties->called_order;

	if (!order_duty_next(duties->order_duty, clock_boot_us(), order))
		return;
	duties->call = platform_order_servers(duties->gateway->client, &caller,
					      order->service,
					      order->data_centre,
					      order->order.count,
					      on_order_answer, duties);
}

static void report_usage(duties_t *duties)
{
	duty_caller_t caller = caller_of(duties);
	const json_t *counts;

	duties->called_window =
		usage_duty_next(duties->usage_duty, clock_boot_us(), &counts);
	if (!duties->called_window)
		return;
	log_event(EVENT_USAGE_REPORTED,
		  "window=%" PRId64 " accounts=%zu token=%" PRId64
		  " age_ms=%" PRId64,
		  duties->called_window, json_object_size(counts), caller.token,
		  (time_us(duties) -
		   (duties->called_window + 1) * duties->usage_conf.window_us) /
			  US_PER_MS);
	duties->call = platform_report_usage(duties->gateway->client, &caller,
					     duties->called_window, counts,
					     on_usage_answer, duties);
}

static void decide(duties_t *duties)
{
	int64_t now_us = clock_boot_us();
	bool changed = false;

	if (duties->reports_usage)
		changed = usage_duty_close(duties->usage_duty, duties->usage,
					   time_us(duties));
	if (duties->orders_servers && now_us - duties->looked_us >= LOOK_US) {
		duties->looked_us = now_us;
		changed |= order_duty_look(duties->order_duty, now_us);
	}
	if (changed)
		write_state(duties);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	duties_t *duties = timer->data;
	const lease_t *lease = duty_lease(duties->lease);

	read_time(duties);
	duty_lease_step(duties->lease, is_wanted(duties));
	follow_lease(duties);
	if (duties->reports_usage)
		tell(duties);
	if (!duties->held)
		return;
	decide(duties);
	/* One call at a time, and none that a successor would not know of. */
	if (!duties->call && lease_state_written(lease))
		report_usage(duties);
	if (!duties->call && lease_state_written(lease))
		order_servers(duties);
}

void duties_stop(duties_t *duties)
{
	if (!duties)
		return;
	duty_lease_step(duties->lease, false);
	follow_lease(duties);
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
	duties->reports_usage = platform_duty_usage(settings->duties);
	duties->orders_servers = platform_duty_servers(settings->duties);
	/* A window of any length, for requests that nobody reports. */
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
	read_time(duties);
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
	end_call(duties);
	duty_lease_destroy(duties->lease);
	usage_destroy(duties->usage);
	usage_duty_destroy(duties->usage_duty);
	order_duty_destroy(duties->order_duty);
	free(duties);
}

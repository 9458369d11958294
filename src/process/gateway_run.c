#include "process/gateway_run.h"

#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/log.h"
#include "platform/settings.h"
#include "process/gateway.h"
#include "process/stop_guard.h"

/* The stop itself ends 100 ms before the platform kills the process; this is
 * what is left of them for an end that hangs. */
enum { STOP_GUARD_MARGIN_MS = 30 };

static void on_stop(struct ev_loop *loop, ev_signal *watcher, int events)
{
	stop_guard_arm(gateway_stop_limit_ms(watcher->data) -
		       STOP_GUARD_MARGIN_MS);
	gateway_stop(watcher->data);
}

static void on_reload(struct ev_loop *loop, ev_signal *watcher, int events)
{
	node_settings_t settings;
	err_t err = { 0 };

	if (platform_settings_load(getenv(PLATFORM_SETTINGS_VARIABLE),
				   &settings, &err))
		gateway_reload(watcher->data, &settings);
	else
		log_event(EVENT_SETTINGS_REFUSED, "error=\"%s\"", err.message);
}

static void handle_signal(struct ev_loop *loop, ev_signal *watcher, int number,
			  void (*handler)(struct ev_loop *, ev_signal *, int),
			  gateway_t *gateway)
{
	ev_signal_init(watcher, handler, number);
	watcher->data = gateway;
	ev_signal_start(loop, watcher);
}

static int fail(const char *message)
{
	log_event(EVENT_START_FAILED, "error=\"%s\"", message);
	fprintf(stderr, "chivestaged: %s\n", message);
	return EXIT_FAILURE;
}

int gateway_run(void)
{
	const char *path = getenv(PLATFORM_SETTINGS_VARIABLE);
	struct ev_loop *loop = ev_default_loop(0);
	ev_signal term, interrupt, hangup;
	node_settings_t settings;
	gateway_t *gateway;
	err_t err = { 0 };

	if (!path)
		return fail("$" PLATFORM_SETTINGS_VARIABLE " is not set");
	if (!platform_settings_load(path, &settings, &err))
		return fail(err.message);
	gateway = gateway_create(loop, &settings, &err);
	if (!gateway)
		return fail(err.message);
	handle_signal(loop, &term, SIGTERM, on_stop, gateway);
	handle_signal(loop, &interrupt, SIGINT, on_stop, gateway);
	handle_signal(loop, &hangup, SIGHUP, on_reload, gateway);
	log_event(EVENT_PROCESS_STARTED, "vm=%s data_centre=%s callers=%s",
		  settings.node_id, settings.data_centre,
		  settings.caller_address);
	ev_run(loop, 0);
	gateway_destroy(gateway);
	log_event(EVENT_PROCESS_STOPPED, "vm=%s", settings.node_id);
	return EXIT_SUCCESS;
}

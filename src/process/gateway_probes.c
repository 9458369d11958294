#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/metrics.h"
#include "process/gateway_state.h"

enum {
	PROBE_CONNECTIONS_MAX = 16,
	HTTP_OK = 200,
	HTTP_NOT_FOUND = 404,
	HTTP_UNAVAILABLE = 503
};

/* @return the reason for the log; NULL: the node is ready */
static const char *unready_reason(const gateway_t *gateway)
{
	if (gateway->stop != STOP_NONE)
		return "stopping";
	if (!gateway_has_views(gateway))
		return "no configuration or servers yet";
	if (!gateway_keys_valid(gateway))
		return "keys cannot be confirmed";
	return NULL;
}

bool gateway_is_ready(gateway_t *gateway)
{
	const char *reason = unready_reason(gateway);

	if (gateway->was_ready != !reason)
		log_event(EVENT_READINESS_CHANGED, "ready=%s reason=\"%s\"",
			  reason ? "no" : "yes", reason ? reason : "");
	gateway->was_ready = !reason;
	return !reason;
}

static void *on_probe(void *context, exchange_t *exchange)
{
	gateway_t *gateway = context;
	bool ready = gateway_is_ready(gateway);

	exchange_reply(exchange, ready ? HTTP_OK : HTTP_UNAVAILABLE, NULL, 0,
		       NULL, 0);
	return exchange;
}

static void *on_metrics(void *context, exchange_t *exchange)
{
	gateway_t *gateway = context;
	reply_header_t type = { "Content-Type", "text/plain; version=0.0.4" };
	char *text;

	if (!strcmp(exchange_path(exchange), "/explain")) {
		gateway_explain(gateway, exchange);
		return exchange;
	}
	if (strcmp(exchange_path(exchange), "/metrics") != 0) {
		exchange_reply(exchange, HTTP_NOT_FOUND, NULL, 0, NULL, 0);
		return exchange;
	}
	text = metrics_render();
	exchange_reply(exchange, HTTP_OK, &type, 1, text, strlen(text));
	free(text);
	return exchange;
}

static void on_complete(void *user)
{
}

bool gateway_probes_start(gateway_t *gateway, err_t *err)
{
	listener_handler_t probes = { .on_request = on_probe,
				      .on_complete = on_complete,
				      .context = gateway };
	listener_handler_t metrics = { .on_request = on_metrics,
				       .on_complete = on_complete,
				       .context = gateway };
	listener_conf_t conf = { .address = gateway->settings.ready_address,
				 .connections_max = PROBE_CONNECTIONS_MAX };

	gateway->ready = listener_create(gateway->loop, &conf, &probes, err);
	if (!gateway->ready)
		return false;
	if (!*gateway->settings.metrics_address)
		return true;
	conf.address = gateway->settings.metrics_address;
	gateway->metrics = listener_create(gateway->loop, &conf, &metrics, err);
	return gateway->metrics;
}

void gateway_probes_stop(gateway_t *gateway)
{
	listener_destroy(gateway->ready);
	listener_destroy(gateway->metrics);
}

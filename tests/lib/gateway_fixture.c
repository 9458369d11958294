#include "lib/gateway_fixture.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/mem.h"
#include "cases.h"
#include "lib/loopback.h"

enum {
	WATCH_MS = 150,
	WATCH_POLL_MS = 30,
	REMOVALS_REVISION = 20 /* above those of all objects */
};

/* Time between two blocks of an answer without end. */
#define ENDLESS_INTERVAL_S 0.001

#define ROUTE(name, path, kind, service, extra)                         \
	"{\"name\":\"" name "\",\"host\":\"h\",\"pathPrefix\":\"" path  \
	"\",\"kind\":\"" kind "\",\"timeoutMs\":1500,"                  \
	"\"targetLatencyMs\":100,\"attempts\":2,\"service\":\"" service \
	"\"" extra "}"
#define SAFE ROUTE("safe", "/safe/", "idempotent", "s", "")
#define ONCE ROUTE("once", "/once/", "non_idempotent", "s", "")
#define OPEN ROUTE("open", "/open/", "idempotent", "s", ",\"public\":true")
#define STREAM                                     \
	ROUTE("stream", "/stream/", "stream", "s", \
	      ",\"resumable\":true,\"gapAimMs\":50")
#define SINGLE ROUTE("single", "/single/", "stream", "s", "")
#define LONG \
	ROUTE("long", "/stream/long/", "stream", "m", ",\"resumable\":true")
/* Two servers together have enough engine memory for a prompt of 15,000 tokens,
 * a single server does not. */
#define ENGINE                                                 \
	"{\"kvCapacity\":10000,\"stride\":10,\"step_ms\":1.0," \
	"\"chunk\":2048,\"read_per_s\":1000000.0,"             \
	"\"usual\":{\"prompt\":5000,\"answer\":100}}"
#define ACCOUNTS "[{\"name\":\"acme\",\"keys\":[\"" FIXTURE_KEY "\"]}]"

/* The arguments are the version, and more of the service "s". */
static const char configuration[] =
	"{\"version\":%d,\"routes\":[" SAFE "," ONCE "," OPEN "," STREAM
	"," SINGLE "," LONG "],\"services\":[{\"name\":\"s\"%s},"
	"{\"name\":\"m\",\"engine\":" ENGINE "}],"
	"\"limits\":{\"bodyBytes\":4000},\"tenants\":" ACCOUNTS "}";

/* Both servers serve the plain service "s" and, under other ids, the model
 * "m". */
static json_t *server_entry(const gateway_fixture_t *fixture,
			    const char *service, int i)
{
	char address[64], name[8];

	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 fixture->servers[i].port);
	snprintf(name, sizeof(name), "i-%s%d", service, i);
	return json_pack("{s:{s:s,s:i},s:{s:s,s:s,s:s,s:i,s:s,s:i,s:s,s:i}}",
			 "meta", "name", name, "revision", 5, "spec", "service",
			 service, "address", address, "zone", "a",
			 "concurrencyLimit",
			 fixture->slots ? fixture->slots : 8, "state", "ready",
			 "coldLeftMs", 0, "version", "v1", "seq", 1);
}

/* Entry of one of the nodes n2, n3 and so on; they are listed newest first. */
static json_t *node_entry(const gateway_fixture_t *fixture, size_t number)
{
	const char *data_centre =
		fixture->other_data_centre ? fixture->other_data_centre : "a";
	char name[24];

	snprintf(name, sizeof(name), "n%zu", number);
	return json_pack("{s:{s:s,s:i},s:{s:s,s:s,s:b}}", "meta", "name", name,
			 "revision", 5, "spec", "data_centre", data_centre,
			 "address", "127.0.0.1:9", "leaving", 0);
}

/* Entry that another gateway wrote; NULL: none yet. */
static json_t *other_entry(const gateway_fixture_t *fixture)
{
	json_t *object =
		fixture->other
			? json_loads(fixture->other->registration, 0, NULL)
			: NULL;
	json_t *entry = NULL;

	if (object)
		entry = json_pack("{s:{s:s,s:i},s:O}", "meta", "name",
				  fixture->other->node_id, "revision", 5,
				  "spec", json_object_get(object, "spec"));
	json_decref(object);
	return entry;
}

static json_t *configuration_spec(const gateway_fixture_t *fixture)
{
	char text[sizeof(configuration) + 32];

	snprintf(text, sizeof(text), configuration,
		 fixture->configuration_version
			 ? (int)fixture->configuration_version
			 : 3,
		 fixture->has_health ? ",\"healthPath\":\"/health\"" : "");
	return json_loads(text, 0, NULL);
}

static json_t *list_items(const gateway_fixture_t *fixture, const char *path)
{
	json_t *items = json_array(), *item;
	size_t i;

	if (!strcmp(path, "/objects/config") && !fixture->no_configuration)
		json_array_append_new(
			items, json_pack("{s:{s:s,s:i},s:o}", "meta", "name",
					 "main", "revision", 4, "spec",
					 configuration_spec(fixture)));
	if (!strcmp(path, "/objects/servers") && !fixture->no_servers) {
		json_array_append_new(items, server_entry(fixture, "s", 0));
		json_array_append_new(items, server_entry(fixture, "s", 1));
		json_array_append_new(items, server_entry(fixture, "m", 0));
		json_array_append_new(items, server_entry(fixture, "m", 1));
	}
	json_array_foreach(items, i, item)
	{
		if (fixture->edit)
			fixture->edit(fixture, path,
				      json_object_get(item, "spec"));
	}
	if (!strcmp(path, "/objects/chivestage-vms")) {
		json_t *other = other_entry(fixture);

		if (other)
			json_array_append_new(items, other);
		for (i = fixture->other_nodes; i > 0; i--)
			json_array_append_new(items,
					      node_entry(fixture, i + 1));
	}
	return items;
}

static void reply_json(const gateway_fixture_t *fixture, exchange_t *exchange,
		       int status, json_t *json)
{
	char *text = json_dumps(json, 0);
	reply_header_t header = { "Store-Era", fixture->era };

	exchange_reply(exchange, status, &header, fixture->era != NULL, text,
		       strlen(text));
	free(text);
	json_decref(json);
}

static void refuse_call(const gateway_fixture_t *fixture, exchange_t *exchange)
{
	if (fixture->store_refusal < 0)
		exchange_abort(exchange);
	else
		reply_json(fixture, exchange,
			   fixture->store_refusal ? fixture->store_refusal
						  : 503,
			   json_object());
}

/* @return true if the watch of the servers lacks their removal */
static bool lacks_removals(const gateway_fixture_t *fixture,
			   const exchange_t *exchange)
{
	const char *since = strstr(exchange_query(exchange), "watch=");

	return fixture->tells_removals && since &&
	       !strcmp(exchange_path(exchange), "/objects/servers") &&
	       atoi(since + strlen("watch=")) < REMOVALS_REVISION;
}

static void tell_removals(const gateway_fixture_t *fixture,
			  exchange_t *exchange)
{
	static const char *const names[] = { "i-s0", "i-s1", "i-m0", "i-m1" };
	json_t *events = json_array();
	size_t i;

	for (i = 0; i < COUNT_OF(names); i++)
		json_array_append_new(
			events,
			json_pack("{s:{s:{s:s,s:i},s:{}},s:b}", "object",
				  "meta", "name", names[i], "revision",
				  REMOVALS_REVISION, "spec", "deleted", 1));
	reply_json(fixture, exchange, 200,
		   json_pack("{s:o,s:i}", "events", events, "storeRevision",
			     REMOVALS_REVISION));
}

void gateway_fixture_forget_calls(gateway_fixture_t *fixture)
{
	memset(fixture->watches, 0, sizeof(fixture->watches));
}

/* Begins, or goes on with, an answer that never ends. */
static void write_endless(gateway_fixture_t *fixture, exchange_t *exchange)
{
	static char block[64 * 1024];

	memset(block, ' ', sizeof(block));
	if (exchange != fixture->endless)
		exchange_stream(exchange, 200, NULL, 0);
	fixture->endless = exchange;
	if (exchange_pending_bytes(exchange) >= sizeof(block))
		return;
	exchange_write(exchange, block, sizeof(block));
	fixture->endless_bytes += sizeof(block);
}

static void on_endless_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_fixture_t *fixture = timer->data;

	if (fixture->endless)
		write_endless(fixture, fixture->endless);
}

static void on_watch_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_fixture_t *fixture = timer->data;
	int64_t now_us = clock_monotonic_us();
	size_t i;

	for (i = 0; i < COUNT_OF(fixture->watches); i++) {
		exchange_t *exchange = fixture->watches[i];

		if (!exchange || fixture->store_silent ||
		    fixture->store_refuses ||
		    now_us - fixture->watched_us[i] <
			    fixture->wait_ms[i] * US_PER_MS)
			continue;
		fixture->watches[i] = NULL;
		if (fixture->store_endless) {
			write_endless(fixture, exchange);
			continue;
		}
		if (fixture->watch_status) {
			reply_json(fixture, exchange, fixture->watch_status,
				   json_object());
			continue;
		}
		reply_json(fixture, exchange, 200,
			   json_pack("{s:[],s:i}", "events", "storeRevision",
				     9));
	}
}

typedef struct {
	gateway_fixture_t *fixture;
	exchange_t *exchange;
	char body[500];
	size_t size;
} store_call_t;

static void *on_store_request(void *context, exchange_t *exchange)
{
	store_call_t *call = mem_calloc(1, sizeof(*call));

	call->fixture = context;
	call->exchange = exchange;
	return call;
}

static void hold_exchange(gateway_fixture_t *fixture, exchange_t *exchange)
{
	const char *wait = strstr(exchange_query(exchange), "waitMs=");
	size_t i = 0;

	while (fixture->watches[i])
		assert_true(++i < COUNT_OF(fixture->watches));
	fixture->watches[i] = exchange;
	fixture->watched_us[i] = clock_monotonic_us();
	fixture->wait_ms[i] = fixture->watches_wait && wait
				      ? atoi(wait + strlen("waitMs="))
				      : WATCH_MS;
}

static void on_store_body(void *user, const void *data, size_t size)
{
	store_call_t *call = user;

	if (call->size + size >= sizeof(call->body))
		return;
	memcpy(call->body + call->size, data, size);
	call->size += size;
}

/* @return true if the call belongs to a duty and was answered */
static bool answer_duty_call(store_call_t *call)
{
	gateway_fixture_t *fixture = call->fixture;
	const char *holder = exchange_header(call->exchange, "X-Duty-Holder");
	const char *token = exchange_header(call->exchange, "X-Fence-Token");

	if (!holder || !token)
		return false;
	if (fixture->duty_call_count < 64)
		snprintf(fixture->duty_calls[fixture->duty_call_count++],
			 sizeof(fixture->duty_calls[0]), "%s %s %s %s",
			 exchange_path(call->exchange), holder, token,
			 call->body);
	if (fixture->duties_endless)
		write_endless(fixture, call->exchange);
	else
		reply_json(fixture, call->exchange,
			   fixture->duties_fail ? 503 : 200, json_object());
	return true;
}

/* @return true if the call is for the node's own entry, which exists */
static bool answer_entry_call(gateway_fixture_t *fixture, exchange_t *exchange)
{
	static const char kind[] = "/objects/chivestage-vms";
	const char *path = exchange_path(exchange);
	bool creates = !strcmp(exchange_method(exchange), "POST");

	if (!fixture->has_entry || strncmp(path, kind, sizeof(kind) - 1) != 0 ||
	    (!creates && !path[sizeof(kind) - 1]))
		return false;
	reply_json(fixture, exchange, creates ? 409 : 200,
		   json_pack("{s:{s:s,s:i},s:{}}", "meta", "name", "n1",
			     "revision", 9, "spec"));
	return true;
}

static void on_store_complete(void *user)
{
	store_call_t *call = user;
	gateway_fixture_t *fixture = call->fixture;
	exchange_t *exchange = call->exchange;

	if (answer_duty_call(call))
		return;
	if (!strstr(exchange_path(exchange), "chivestage-"))
		fixture->view_calls++;
	if (!strcmp(exchange_path(exchange), "/objects/chivestage-vms") &&
	    !strcmp(exchange_method(exchange), "POST")) {
		fixture->registrations++;
		mem_strlcpy(fixture->registration, call->body,
			    sizeof(fixture->registration));
	}
	if (fixture->store_refuses)
		refuse_call(fixture, exchange);
	else if (!fixture->store_silent && answer_entry_call(fixture, exchange))
		return;
	else if (!fixture->store_silent && lacks_removals(fixture, exchange))
		tell_removals(fixture, exchange);
	else if (fixture->store_silent ||
		 strstr(exchange_query(exchange), "watch="))
		hold_exchange(fixture, exchange);
	else if (strstr(exchange_path(exchange), "/chivestage-") &&
		 strchr(strstr(exchange_path(exchange), "/chivestage-") + 1,
			'/') &&
		 !strcmp(exchange_method(exchange), "GET"))
		reply_json(fixture, exchange, 404, json_object());
	else if (!strcmp(exchange_method(exchange), "GET"))
		reply_json(
			fixture, exchange, 200,
			json_pack("{s:o,s:b,s:i}", "items",
				  list_items(fixture, exchange_path(exchange)),
				  "morePages", 0, "storeRevision", 9));
	else
		reply_json(fixture, exchange, 201,
			   json_pack("{s:{s:s,s:i},s:{}}", "meta", "name", "n",
				     "revision", 9, "spec"));
}

static void on_store_close(void *user, bool sent)
{
	store_call_t *call = user;
	size_t i;

	if (call->fixture->endless == call->exchange)
		call->fixture->endless = NULL;
	for (i = 0; i < COUNT_OF(call->fixture->watches); i++)
		if (call->fixture->watches[i] == call->exchange)
			call->fixture->watches[i] = NULL;
	free(call);
}

void gateway_fixture_start(gateway_fixture_t *fixture)
{
	listener_handler_t handler = { .on_request = on_store_request,
				       .on_body = on_store_body,
				       .on_complete = on_store_complete,
				       .on_close = on_store_close,
				       .context = fixture };
	listener_conf_t conf = { .address = "127.0.0.1:0",
				 .connections_max = 50 };
	node_settings_t settings = {
		.data_centre = "a",
		.region = { 1, { "a" } },
		.caller_address = "127.0.0.1:0",
		.ready_address = "127.0.0.1:0",
		.metrics_address = "127.0.0.1:0",
		.memory_limit_bytes = fixture->memory_limit_bytes
					      ? fixture->memory_limit_bytes
					      : 64 << 20,
		.descriptors_max = 1000,
		.stop_ms = 4000,
		.config_apply_ms = 2000,
		.drain_ms = 2000,
		.evacuate_ms = 5000,
		.settle_ms = 3000,
		.key_revoke_ms = 2000,
		.keys_expire = !fixture->keys_stay,
		.retry_ratio = 0.2,
		.retry_slack = 100,
		.retry_window_ms = 10000,
		.cold_factor = 1,
		.reservation_max_ms = 20000,
		.reservation_free_ms = 4000,
		.controls_load = fixture->controls_load
	};
	err_t err = { 0 };

	if (!fixture->node_id)
		fixture->node_id = "n1";
	mem_strlcpy(settings.node_id, fixture->node_id,
		    sizeof(settings.node_id));
	loopback_free_address(settings.peer_address,
			      sizeof(settings.peer_address));
	if (!fixture->takes_no_relays)
		loopback_free_address(settings.relay_address,
				      sizeof(settings.relay_address));
	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	fixture->store = listener_create(fixture->loop, &conf, &handler, &err);
	assert_non_null(fixture->store);
	gateway_fixture_server(fixture, &fixture->servers[0]);
	gateway_fixture_server(fixture, &fixture->servers[1]);
	snprintf(settings.platform_url, sizeof(settings.platform_url),
		 "http://127.0.0.1:%u", listener_port(fixture->store));
	if (fixture->has_duties) {
		mem_strlcpy(settings.duty_url, settings.platform_url,
			    sizeof(settings.duty_url));
		mem_strlcpy(settings.duties, "usage,scale",
			    sizeof(settings.duties));
		settings.duty_lease_ms = 2000;
		settings.usage_window_ms = 200;
		settings.usage_delay_ms = 4000;
	}
	fixture->client = client_create(fixture->loop, NULL);
	ev_timer_init(&fixture->watch_timer, on_watch_timer,
		      (double)WATCH_POLL_MS / MS_PER_S,
		      (double)WATCH_POLL_MS / MS_PER_S);
	fixture->watch_timer.data = fixture;
	ev_timer_start(fixture->loop, &fixture->watch_timer);
	ev_timer_init(&fixture->endless_timer, on_endless_timer,
		      ENDLESS_INTERVAL_S, ENDLESS_INTERVAL_S);
	fixture->endless_timer.data = fixture;
	ev_timer_start(fixture->loop, &fixture->endless_timer);
	fixture->gateway = gateway_create(fixture->loop, &settings, &err);
	if (!fixture->gateway)
		fail_msg("%s", err.message);
}

void gateway_fixture_stop(gateway_fixture_t *fixture)
{
	size_t j;
	int i;

	gateway_destroy(fixture->gateway);
	gateway_fixture_run(fixture, 20);
	client_destroy(fixture->client);
	ev_timer_stop(fixture->loop, &fixture->watch_timer);
	ev_timer_stop(fixture->loop, &fixture->endless_timer);
	listener_destroy(fixture->store);
	for (i = 0; i < 2; i++) {
		if (*fixture->servers[i].fillers)
			gateway_fixture_heal_server(fixture,
						    &fixture->servers[i]);
		gateway_fixture_stop_server(fixture, &fixture->servers[i]);
	}
	ev_loop_destroy(fixture->loop);
	for (j = 0; j < COUNT_OF(fixture->arrivals); j++)
		free(fixture->arrivals[j].text);
}

void gateway_fixture_run(gateway_fixture_t *fixture, int64_t ms)
{
	int64_t end_us = clock_monotonic_us() + ms * US_PER_MS;

	while (clock_monotonic_us() < end_us) {
		ev_run(fixture->loop, EVRUN_NOWAIT);
		usleep(500);
	}
}

void gateway_fixture_wait_ready(gateway_fixture_t *fixture)
{
	int i;

	for (i = 0; i < 400 && !gateway_is_ready(fixture->gateway); i++)
		gateway_fixture_run(fixture, 5);
	assert_true(gateway_is_ready(fixture->gateway));
}

static void on_reply_header(void *context, const char *name, const char *value)
{
	reply_t *reply = context;
	size_t used = strlen(reply->headers);

	reply->header_bytes += strlen(name) + strlen(value);
	reply->is_sealed |= !strcasecmp(name, "X-Server-Seal");
	snprintf(reply->headers + used, sizeof(reply->headers) - used,
		 "%s: %s\n", name, value);
}

static client_flow_t on_reply_data(void *context, const void *data, size_t size)
{
	reply_t *reply = context;

	if (reply->discards) {
		reply->size += size;
		return CLIENT_CONTINUE;
	}
	assert_true(reply->size + size < sizeof(reply->body));
	memcpy(reply->body + reply->size, data, size);
	reply->size += size;
	return CLIENT_CONTINUE;
}

static void on_reply_end(void *context, client_end_t end, int status)
{
	reply_t *reply = context;

	reply->call = NULL;
	reply->ended = true;
	reply->end = end;
	reply->status = status;
}

void gateway_fixture_call(gateway_fixture_t *fixture, reply_t *reply,
			  const char *method, const char *path,
			  const char *const *headers, const char *body)
{
	char url[64];
	client_handler_t handler = { .on_header = on_reply_header,
				     .on_data = on_reply_data,
				     .on_end = on_reply_end,
				     .context = reply };
	client_request_t request = { .method = method,
				     .url = url,
				     .target = path,
				     .headers = headers,
				     .body = body,
				     .body_size_bytes = body ? strlen(body) : 0,
				     .connect_timeout_ms = 1000,
				     .at_most_once = true };

	memset(reply, 0, sizeof(*reply));
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/",
		 listener_port(fixture->gateway->callers));
	reply->call = client_call(fixture->client, &request, &handler);
}

int gateway_fixture_send_unread(gateway_fixture_t *fixture, const char *path,
				int number)
{
	int fd = loopback_connect(listener_port(fixture->gateway->callers));
	char text[400];

	gateway_fixture_run(fixture, 1);
	snprintf(text, sizeof(text),
		 "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: e%d\r\n"
		 "X-Deadline-Ms: 1400\r\n" FIXTURE_AUTHORIZATION
		 "\r\nContent-Length: 4\r\n\r\nbody",
		 path, number);
	assert_true(send(fd, text, strlen(text), MSG_NOSIGNAL) > 0);
	return fd;
}

bool gateway_fixture_wait(gateway_fixture_t *fixture, const reply_t *reply,
			  int64_t limit_ms)
{
	int64_t end_us = clock_monotonic_us() + limit_ms * US_PER_MS;

	while (!reply->ended && clock_monotonic_us() < end_us) {
		ev_run(fixture->loop, EVRUN_NOWAIT);
		usleep(200);
	}
	return reply->ended;
}

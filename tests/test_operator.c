/**
 * Tests the operator listener: tokens, paths and readiness. Guards against
 * operator pages that a caller's key opens, against a status that is older than
 * the request for it, and against a daemon that its operators cannot reach.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <curl/curl.h>
#include <sodium.h>
#include <zmq.h>

#include "base/mailbox.h"
#include "base/mem.h"
#include "base/status.h"
#include "cases.h"
#include "process/task_msg.h"
#include "process/telemetry_task.h"

#define ADDRESS "127.0.0.1:18931"

static const struct {
	const char *path;
	const char *token;
	const char *method;
	bool ready;
	long status;
	const char *body;
} requests[] = {
	{ "/healthz", "operator-token", "GET", false, 200, "ok" },
	{ "/healthz", "caller-key", "GET", false, 401, "unauthorized" },
	{ "/healthz", NULL, "GET", false, 401, "unauthorized" },
	{ "/healthz", "operator-tokenx", "GET", false, 401, "unauthorized" },
	{ "/readyz", "operator-token", "GET", false, 503, "not ready" },
	{ "/readyz", "operator-token", "GET", true, 200, "ready" },
	{ "/metrics", "operator-token", "GET", true, 200,
	  "chivestage_requests_total" },
	{ "/status", "operator-token", "GET", true, 200, "{\"phase\":\"x\"}" },
	{ "/status", "operator-token", "POST", true, 405, "only GET" },
	{ "/other", "operator-token", "GET", true, 404, "no such path" },
};

static size_t collect(char *data, size_t size, size_t count, void *context)
{
	char *body = context;
	size_t length = strlen(body);

	snprintf(body + length, 8192 - length, "%.*s", (int)(size * count),
		 data);
	return size * count;
}

static void check_request(CURL *curl, size_t i)
{
	char url[128], header[128], body[8192] = "";
	struct curl_slist *headers = NULL;
	long status = 0;

	snprintf(url, sizeof(url), "http://" ADDRESS "%s", requests[i].path);
	if (requests[i].token) {
		snprintf(header, sizeof(header), "Authorization: Bearer %s",
			 requests[i].token);
		headers = curl_slist_append(headers, header);
	}
	status_publish(mem_strdup("{\"phase\":\"x\"}"), requests[i].ready);
	curl_easy_setopt(curl, CURLOPT_URL, url);
	curl_easy_setopt(curl, CURLOPT_PROXY, "");
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, requests[i].method);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, (void *)body);
	assert_int_equal(curl_easy_perform(curl), CURLE_OK);
	curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
	curl_slist_free_all(headers);
	if (status != requests[i].status || !strstr(body, requests[i].body))
		fail_msg("case %zu: status %ld, body %s", i, status, body);
}

/* Guards against a listener that accepts the key of a caller, no token, or a
 * token that only begins like the operators' token. */
static void serves_only_operators(void **state)
{
	settings_t settings = { .operator_address = ADDRESS,
				.operator_token = "operator-token" };
	void *zmq = zmq_ctx_new();
	err_t err = { 0 };
	telemetry_task_t *task = telemetry_task_create(&settings, zmq, &err);
	mailbox_sender_t *sender =
		mailbox_sender_create(zmq, "telemetry", &err);
	CURL *curl = curl_easy_init();
	pthread_t thread;
	size_t i;

	assert_non_null(task);
	assert_int_equal(
		pthread_create(&thread, NULL, telemetry_task_run, task), 0);
	for (i = 0; i < COUNT_OF(requests); i++)
		check_request(curl, i);
	assert_true(mailbox_send(sender, task_msg_create(TASK_MSG_STOP, 0)));
	pthread_join(thread, NULL);
	curl_easy_cleanup(curl);
	mailbox_sender_destroy(sender);
	telemetry_task_destroy(task);
	zmq_ctx_term(zmq);
	status_publish(NULL, false);
}

static void *publish_when_wanted(void *context)
{
	int tries;

	for (tries = 0; !status_wanted() && tries < 5000; tries++)
		usleep(1000);
	status_publish(mem_strdup("{\"phase\":\"new\"}"), true);
	return NULL;
}

/* Guards against a request for /status that gets the status published for the
 * request before. */
static void publishes_a_new_status_for_each_request(void **state)
{
	pthread_t thread;
	char *copy;

	status_publish(mem_strdup("{\"phase\":\"old\"}"), true);
	assert_false(status_wanted());
	assert_int_equal(
		pthread_create(&thread, NULL, publish_when_wanted, NULL), 0);
	copy = status_copy();
	pthread_join(thread, NULL);
	assert_string_equal(copy, "{\"phase\":\"new\"}");
	assert_false(status_wanted());
	free(copy);
	/* Without a control task that publishes a new status, status_copy()
	 * returns the last status. */
	copy = status_copy();
	assert_string_equal(copy, "{\"phase\":\"new\"}");
	free(copy);
	status_publish(NULL, false);
}

/* Guards against a daemon that starts although its operator address is in use,
 * so that operators cannot reach the daemon. */
static void refuses_an_address_in_use(void **state)
{
	settings_t settings = { .operator_address = ADDRESS,
				.operator_token = "operator-token" };
	void *zmq = zmq_ctx_new();
	err_t err = { 0 };
	telemetry_task_t *first = telemetry_task_create(&settings, zmq, &err);
	void *other = zmq_ctx_new();

	assert_non_null(first);
	assert_null(telemetry_task_create(&settings, other, &err));
	assert_non_null(strstr(err.message, ADDRESS));
	telemetry_task_destroy(first);
	zmq_ctx_term(other);
	zmq_ctx_term(zmq);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(serves_only_operators),
		cmocka_unit_test(publishes_a_new_status_for_each_request),
		cmocka_unit_test(refuses_an_address_in_use),
	};

	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return 1;
	return cmocka_run_group_tests(tests, NULL, NULL);
}

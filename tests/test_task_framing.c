/** Length of requests to our own interface. */
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "lib/fixture.h"
#include "lib/raw_requests.h"

static fixture_t own;

static void serve(server_call_t *call, size_t index)
{
	serve_reply(call, 200, "Content-Type", "text/plain", "ok");
}

static void start_own(void)
{
	fixture_start(&own, &(fixture_conf_t){ .deadline_ms = 0 });
	own.serve = serve;
}

static void stop_own(void)
{
	fixture_stop(&own);
}

static int own_port(void)
{
	return atoi(strrchr(own.task_url, ':') + 1);
}

static void step_own(void)
{
	fixture_step(&own);
}

static size_t own_arrivals(void)
{
	return own.call_count;
}

static bool arrived_at_own(const char *text)
{
	size_t i;

	for (i = 0; i < own.call_count; i++)
		if ((own.calls[i].body && strstr(own.calls[i].body, text)) ||
		    strstr(own.calls[i].path, text))
			return true;
	return false;
}

static const interface_t interface = { "own interface",
				       "/services/status/x",
				       "Authorization: Bearer secret",
				       false,
				       start_own,
				       stop_own,
				       own_port,
				       step_own,
				       own_arrivals,
				       arrived_at_own };

static void request_hidden_by_its_length(void **state)
{
	assert_int_equal(raw_requests_play(&interface), 0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(request_hidden_by_its_length),
	};

	curl_global_init(CURL_GLOBAL_DEFAULT);
	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}

/** Length of requests to the gateway. */
#include <curl/curl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "cases.h"
#include "lib/gateway_fixture.h"
#include "lib/raw_requests.h"

static gateway_fixture_t gateway;

static void start_gateway(void)
{
	memset(&gateway, 0, sizeof(gateway));
	gateway_fixture_start(&gateway);
	gateway_fixture_wait_ready(&gateway);
}

static void stop_gateway(void)
{
	gateway_fixture_stop(&gateway);
}

static int gateway_port(void)
{
	return listener_port(gateway.gateway->callers);
}

static void step_gateway(void)
{
	gateway_fixture_run(&gateway, 1);
}

static size_t gateway_arrivals(void)
{
	return gateway.arrival_count;
}

static bool arrived_at_gateway(const char *text)
{
	size_t i;

	for (i = 0; i < gateway.arrival_count; i++)
		if (strstr(gateway.arrivals[i].text, text))
			return true;
	return false;
}

static const interface_t interface = {
	"gateway",
	"/once/x",
	"X-Request-Id: r1\r\nAuthorization: Bearer k1",
	true,
	start_gateway,
	stop_gateway,
	gateway_port,
	step_gateway,
	gateway_arrivals,
	arrived_at_gateway
};

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

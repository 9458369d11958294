/**
 * Tests settings files. Guards against wrong defaults or units, and against an
 * invalid file that is accepted or refused without its line and key.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cases.h"
#include "process/settings.h"

/* The key pair of the examples, from zmq_curve(7). */
#define PUBLIC "Yne@$w-vo<fVvi]a<NY6T1ed:M$fCG*[IaLV{hID"
#define SECRET "D:)Q[IlAW!ahhC2ac:9*A}h:p?([4%wOTJ%JR%cs"
#define REQUIRED                                                         \
	"vm: {id: a1, data_centre: a}\n"                                 \
	"callers: {address: '127.0.0.1:8080'}\n"                         \
	"operators: {address: '127.0.0.1:8081', token: secret-token}\n"  \
	"peers: {address: '127.0.0.1:8082', public_key: '" PUBLIC "',\n" \
	"  secret_key: '" SECRET "'}\n"                                  \
	"platform: {url: 'http://127.0.0.1:8083'}\n"

static bool load(const char *text, settings_t *settings, err_t *err)
{
	char path[] = "/tmp/test_settings_XXXXXX";
	int fd = mkstemp(path);
	bool loaded;

	assert_true(fd >= 0);
	assert_int_equal(write(fd, text, strlen(text)), strlen(text));
	close(fd);
	loaded = settings_load(path, settings, err);
	unlink(path);
	return loaded;
}

static void applies_defaults_and_reads_units(void **state)
{
	settings_t settings;
	err_t err = { 0 };

	if (!load(REQUIRED "shutdown: {notice: 2min}\n"
			   "routing: {policy: cost}\n",
		  &settings, &err))
		fail_msg("%s", err.message);
	assert_string_equal(settings.vm_id, "a1");
	assert_int_equal(settings.memory_budget_bytes, 256 * 1024 * 1024);
	assert_int_equal(settings.drain_notice_ms, 120000);
	assert_int_equal(settings.route_policy, ROUTE_COST);
	assert_int_equal(settings.log_level, LOG_INFO);
}

/* Invalid files, with a part of the error message. */
static const struct {
	const char *text;
	const char *message;
	settings_err_t code;
} refused[] = {
	{ "vm: [", ":2: ", SETTINGS_ERR_SYNTAX },
	{ "just text\n", "expected sections", SETTINGS_ERR_SYNTAX },
	{ "vm: {id: a1, data_centre: a}\n", "callers.address: missing",
	  SETTINGS_ERR_KEY },
	{ REQUIRED "wm: {id: x}\n", ":7: wm: unknown section",
	  SETTINGS_ERR_KEY },
	{ REQUIRED "log:\n  colour: red\n", ":8: log.colour: unknown key",
	  SETTINGS_ERR_KEY },
	{ REQUIRED "log: {level: info, level: warn}\n",
	  ":7: log.level: stands more than once", SETTINGS_ERR_KEY },
	{ REQUIRED "log: {level: loud}\n",
	  ":7: log.level: expected one of error warn info debug",
	  SETTINGS_ERR_VALUE },
	{ REQUIRED "log: {level: [info]}\n",
	  ":7: log.level: expected a single value", SETTINGS_ERR_VALUE },
	{ REQUIRED "shutdown: {notice: 5}\n",
	  ":7: shutdown.notice: expected a unit", SETTINGS_ERR_VALUE },
	{ REQUIRED "shutdown: {notice: -5s}\n",
	  ":7: shutdown.notice: expected a number", SETTINGS_ERR_VALUE },
	{ REQUIRED "shutdown: {notice: 25h}\n",
	  ":7: shutdown.notice: out of range", SETTINGS_ERR_VALUE },
	{ REQUIRED "shutdown: {notice: 9223372036854775807h}\n",
	  ":7: shutdown.notice: out of range", SETTINGS_ERR_VALUE },
	{ REQUIRED "routing: {queue_max: 10ms}\n",
	  ":7: routing.queue_max: expected a number without a unit",
	  SETTINGS_ERR_VALUE },
	{ "vm: {id: a1, data_centre: a}\ncallers: {address: localhost}\n",
	  ":2: callers.address: expected ADDRESS:PORT", SETTINGS_ERR_VALUE },
	{ "vm: {id: a1, data_centre: a}\n"
	  "callers: {address: '127.0.0.1:8080'}\n"
	  "operators: {address: '127.0.0.1:8081', token: secret-token}\n"
	  "peers: {address: '127.0.0.1:8082', public_key: '" SECRET "',\n"
	  "  secret_key: '" SECRET "'}\n"
	  "platform: {url: 'http://127.0.0.1:8083'}\n",
	  "public_key does not belong to secret_key", SETTINGS_ERR_VALUE },
	{ "operators: {token: short}\n",
	  ":1: operators.token: expected 8 to 63 characters",
	  SETTINGS_ERR_VALUE },
};

static void refuses_with_file_line_and_key(void **state)
{
	settings_t settings;
	size_t i;

	for (i = 0; i < COUNT_OF(refused); i++) {
		err_t err = { 0 };

		assert_false(load(refused[i].text, &settings, &err));
		if (!strstr(err.message, refused[i].message))
			fail_msg("case %zu: \"%s\" lacks \"%s\"", i,
				 err.message, refused[i].message);
		assert_int_equal(err.code, refused[i].code);
	}
}

static void refuses_a_missing_file(void **state)
{
	settings_t settings;
	err_t err = { 0 };

	assert_false(settings_load("/nonexistent/file", &settings, &err));
	assert_int_equal(err.code, SETTINGS_ERR_FILE);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(applies_defaults_and_reads_units),
		cmocka_unit_test(refuses_with_file_line_and_key),
		cmocka_unit_test(refuses_a_missing_file),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

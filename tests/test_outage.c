/** Outages of the store, as the calls of a node show them. */
#include "base/units.h"
#include "cases.h"
#include "health/outage.h"

#define MS(ms) ((ms)*US_PER_MS)

enum { STEPS_MAX = 6 };

typedef enum {
	STEP_NONE,
	STEP_ANSWERED,
	STEP_REFUSED,
	STEP_SILENT
} step_type_t;

/* Calls in the order in which they end, in ms. */
typedef struct {
	step_type_t type;
	int64_t sent, ended;
} step_t;

static const outage_limits_t limits = { .return_us = MS(2000),
					.drain_us = MS(1800),
					.settle_us = MS(2800) };

/*
 * Guards against failures of single calls that are taken for an outage, against
 * outages that are not seen since a watch outlasts them, and against servers
 * that are kept for too long after the last failure.
 */
static void keeps_servers_within_their_bounds(void **state)
{
	static const struct {
		const char *name;
		step_t steps[STEPS_MAX];
		bool ends_outage;
		int64_t keep_ms;
	} cases[] = {
		{ "no failure", { { STEP_ANSWERED, 100, 110 } }, false, 0 },
		{ "no answer before",
		  { { STEP_REFUSED, 100, 100 }, { STEP_ANSWERED, 4000, 4000 } },
		  false,
		  0 },
		{ "one refusal",
		  { { STEP_ANSWERED, 50, 50 },
		    { STEP_REFUSED, 100, 100 },
		    { STEP_ANSWERED, 300, 300 } },
		  false,
		  0 },
		{ "a watch that was cut off",
		  { { STEP_ANSWERED, 50, 50 },
		    { STEP_REFUSED, 60, 3000 },
		    { STEP_ANSWERED, 3100, 3100 } },
		  false,
		  0 },
		{ "a silent watch beside one that is answered",
		  { { STEP_ANSWERED, 50, 50 },
		    { STEP_ANSWERED, 60, 3800 },
		    { STEP_SILENT, 60, 4060 },
		    { STEP_ANSWERED, 4200, 4200 } },
		  false,
		  0 },
		{ "refusals until shortly before",
		  { { STEP_ANSWERED, 50, 50 },
		    { STEP_REFUSED, 100, 100 },
		    { STEP_REFUSED, 4900, 4900 },
		    { STEP_ANSWERED, 5200, 5200 } },
		  true,
		  1800 },
		{ "refusals, known late",
		  { { STEP_ANSWERED, 50, 50 },
		    { STEP_REFUSED, 100, 100 },
		    { STEP_REFUSED, 4000, 4000 },
		    { STEP_ANSWERED, 6000, 6000 } },
		  true,
		  800 },
		{ "a silent watch, known late",
		  { { STEP_ANSWERED, 50, 50 },
		    { STEP_SILENT, 60, 4060 },
		    { STEP_ANSWERED, 4100, 4100 } },
		  true,
		  0 },
		{ "a watch that outlasts refusals",
		  { { STEP_ANSWERED, 50, 50 },
		    { STEP_REFUSED, 100, 100 },
		    { STEP_REFUSED, 4900, 4900 },
		    { STEP_ANSWERED, 60, 5000 } },
		  true,
		  1800 },
		{ "a second outage",
		  { { STEP_ANSWERED, 50, 50 },
		    { STEP_REFUSED, 100, 100 },
		    { STEP_ANSWERED, 5000, 5000 },
		    { STEP_REFUSED, 5100, 5100 },
		    { STEP_ANSWERED, 5300, 5300 } },
		  false,
		  0 },
	};
	size_t i, s;

	for (i = 0; i < COUNT_OF(cases); i++) {
		outage_t outage = { 0 };
		bool ends = false;
		int64_t keep_us = 0;

		for (s = 0; s < STEPS_MAX && cases[i].steps[s].type; s++) {
			const step_t *step = &cases[i].steps[s];
			int64_t sent_us = MS(step->sent);
			int64_t now_us = MS(step->ended);

			if (step->type == STEP_ANSWERED)
				ends = outage_note_answer(&outage, sent_us,
							  now_us);
			else
				outage_note_failure(&outage, sent_us,
						    step->type == STEP_SILENT,
						    now_us);
			keep_us = outage_keep_us(&outage, &limits, now_us);
		}
		if (ends != cases[i].ends_outage ||
		    (ends && keep_us != MS(cases[i].keep_ms)))
			fail_msg("%s: %s, %lld ms", cases[i].name,
				 ends ? "ends an outage" : "no outage",
				 (long long)(keep_us / US_PER_MS));
	}
}

int main(void)
{
	static const struct CMUnitTest tests[] = {
		cmocka_unit_test(keeps_servers_within_their_bounds),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

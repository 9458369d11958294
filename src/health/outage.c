#include "health/outage.h"

#include "base/units.h"

/* Entries expire after several reports of their servers are missing: calls that
 * fail for less than this are no outage in which they may have. */
#define OUTAGE_MIN_US (1 * US_PER_S)

void outage_note_failure(outage_t *outage, int64_t sent_us, bool is_silent,
			 int64_t now_us)
{
	if (outage->failed_us < sent_us)
		outage->failed_us = sent_us;
	if (outage->since_us)
		return;
	outage->since_us = now_us;
	if (is_silent)
		outage->since_us = sent_us > outage->answered_us
					   ? sent_us
					   : outage->answered_us;
}

bool outage_note_answer(outage_t *outage, int64_t sent_us, int64_t now_us)
{
	/* A watch that was sent before the outage may outlast it. */
	int64_t end_us = sent_us > outage->failed_us ? sent_us
						     : outage->failed_us;
	bool ends = outage->since_us && outage->answered_us &&
		    end_us - outage->since_us >= OUTAGE_MIN_US;

	outage->since_us = 0;
	outage->answered_us = now_us;
	return ends;
}

int64_t outage_keep_us(const outage_t *outage, const outage_limits_t *limits,
		       int64_t now_us)
{
	int64_t keep_us = outage->failed_us + limits->settle_us - now_us;

	if (keep_us > limits->return_us)
		keep_us = limits->return_us;
	if (keep_us > limits->drain_us)
		keep_us = limits->drain_us;
	return keep_us > 0 ? keep_us : 0;
}

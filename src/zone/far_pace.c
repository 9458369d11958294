#include "zone/far_pace.h"

#include "base/units.h"

/* Longest time for which the other data centres do not hear of load that ended;
 * shorter than the 200 ms after which an unchanged announcement is repeated, so
 * that silence still shows a partition. */
#define FAR_PAUSE_US (150 * US_PER_MS)

void far_pace_changed(far_pace_t *pace, bool grew)
{
	pace->load_grew |= grew;
}

bool far_pace_take(far_pace_t *pace, bool controls_load, int64_t now_us)
{
	bool due = !controls_load || pace->load_grew || !pace->sent_us ||
		   now_us - pace->sent_us >= FAR_PAUSE_US;

	pace->load_grew = false;
	if (due)
		pace->sent_us = now_us;
	return due;
}

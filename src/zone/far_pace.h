/**
 * @file far_pace.h
 * Decides which announcements of load go to the other data centres. Pure: time
 * is an argument.
 *
 * The load it answers: each request changes the load of a node twice or three
 * times, and announcements to all nodes of a region were most of the bytes
 * between data centres. With load control few requests leave a data centre.
 * Those that do need to know of new load at once, but not of load that ended.
 */
#ifndef ZONE_FAR_PACE_H
#define ZONE_FAR_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** State of a node, zero at the start. */
typedef struct {
	bool load_grew; /**< since the last announcement */
	int64_t sent_us; /**< last announcement to other data centres */
} far_pace_t;

/** Records that the load changed. */
void far_pace_changed(far_pace_t *pace, bool grew);
/**
 * Decides about the announcement that is sent now, and records it.
 * @param controls_load see node_settings_t; without it all go everywhere
 * @return true if it goes to the other data centres, too
 */
bool far_pace_take(far_pace_t *pace, bool controls_load, int64_t now_us);

#endif

/**
 * @file segment_state.h
 * State of the segment table. Private to src/process/segment_*.c.
 */
#ifndef PROCESS_SEGMENT_STATE_H
#define PROCESS_SEGMENT_STATE_H

#include <uthash.h>
#include <utlist.h>

#include "process/segment_table.h"

enum {
	/* Answers whose end is unclear, while their servers are watched. */
	UNCLEAR_MAX = 32,
	UNCLEAR_SEGMENTS_MAX = 16
};

typedef enum {
	SEGMENT_CLEAR,
	SEGMENT_SUSPECT,
	SEGMENT_BLOCKED
} segment_blame_t;

typedef struct segment {
	uint64_t id;
	segment_blame_t blame;
	/* Has as many crashes as blocked segments, and so has another. */
	bool is_tied;
	segment_crash_t *crashes; /* oldest first; NULL: never any */
	size_t crash_count;
	/* When a server that went on writing began to, at any node and at this
	 * one; 0: not known. */
	int64_t harmless_us, own_harmless_us;
	int64_t seen_us; /* last request with it, at any node */
	int64_t trial_until_us; /* another request with it waits until then */
	int64_t last_trial_us;
	int32_t trials; /* of any node, while it was blocked */
	int64_t announce_until_us;
	UT_hash_handle hh;
	struct segment *prev, *next; /* in the list of blamed ones */
} segment_t;

/** An answer whose end is unclear. */
typedef struct {
	uint32_t server;
	int64_t began_us, ended_us; /* ended_us of 0: unused */
	uint64_t ids[UNCLEAR_SEGMENTS_MAX];
	size_t count;
} unclear_t;

struct segment_table {
	segment_t *segments; /* least recently used first */
	segment_t *blamed; /* segments with crashes */
	int64_t announce_until_us; /* latest of all segments */
	unclear_t unclear[UNCLEAR_MAX];
	size_t unclear_next, unclear_count;
};

/** @return the segment; NULL: nothing is known of it */
segment_t *segment_find(const segment_table_t *table, uint64_t id);
/** Finds a segment, or adds it, and marks it as used. */
segment_t *segment_use(segment_table_t *table, uint64_t id, int64_t now_us);
void segment_remove(segment_table_t *table, segment_t *segment);
/** @return true if the segment has a crash of the server within @p within_us of
 * this one: nodes may notice it at different times. */
bool segment_has_crash(const segment_t *segment, segment_crash_t crash,
		       int64_t within_us);
/** @return true if one segment explains a crash of another. */
bool segment_explains(const segment_t *segment, segment_crash_t crash);
/** Adds a crash, unless a blocked segment or a later answer explains it. */
void segment_add_crash(segment_table_t *table, segment_t *segment,
		       segment_crash_t crash);
void segment_set_harmless(segment_table_t *table, segment_t *segment,
			  int64_t began_us);
/** Keeps the first @p count crashes; a segment without any is not blamed. */
void segment_set_count(segment_table_t *table, segment_t *segment,
		       size_t count);

void segment_add_crashes(segment_table_t *table, const segments_t *segments,
			 segment_crash_t crash, int64_t now_us);
/** Announces the segment for some time. */
void segment_announce(segment_table_t *table, segment_t *segment,
		      int64_t now_us);

/* segment_unclear.c */
/**
 * Decides on the answers of a server with an unclear end, after a crash of the
 * server or, with @p crash_us of 0, after it was found to be gone: it was alive
 * after those that ended before the crash.
 * @return true if some of them ended by it
 */
bool segment_add_unclear(segment_table_t *table, uint32_t server,
			 int64_t crash_us, int64_t now_us);
/** Takes servers as alive that had an answer with an unclear end long ago. */
void segment_clear_ends(segment_table_t *table, int64_t now_us);

/* segment_blame.c */
/**
 * Judges all segments anew.
 * @return id of a segment that was not blocked before and is now; 0: none
 */
uint64_t segment_table_blame(segment_table_t *table, int64_t now_us);
/** @return time of the last crash; 0: none */
int64_t segment_last_crash_us(const segment_t *segment);

#endif

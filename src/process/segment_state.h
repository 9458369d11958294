/**
 * @file segment_state.h
 * State of the segment table. Private to src/process/segment_*.c.
 */
#ifndef PROCESS_SEGMENT_STATE_H
#define PROCESS_SEGMENT_STATE_H

#include <uthash.h>
#include <utlist.h>

#include "base/units.h"
#include "process/segment_table.h"

/* Nodes notice one crash of a server within this time. */
#define SAME_CRASH_US (200 * US_PER_MS)
/* A server that ended starts again, under another start, within this time; a
 * later end is another one even if it was not seen to live. */
#define RESTART_US (5 * US_PER_S)

enum {
	/* Answers whose end is unclear, while their servers are watched. */
	UNCLEAR_MAX = 32,
	UNCLEAR_SEGMENTS_MAX = 16,
	/* Servers that ended lately. */
	ENDED_MAX = 64,
	/* Causes that were blocked and not yet logged; more are not logged. */
	NEWLY_BLOCKED_MAX = 16
};

typedef enum {
	SEGMENT_CLEAR,
	SEGMENT_SUSPECT,
	SEGMENT_BLOCKED
} segment_blame_t;

typedef struct segment {
	cause_kind_t kind;
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
	/* The last of these is of this node and did not end a server so far. */
	bool is_tried_here;
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
	uint64_t content;
	bool is_probed;
} unclear_t;

/** A server that ended, or broke off a request as if it had. */
typedef struct {
	uint32_t server;
	int64_t at_us, alive_us; /* last end; when it last was alive */
} ended_t;

struct segment_table {
	segment_t *known[CAUSE_KINDS]; /* least recently used first */
	/* Segments with crashes, and contents with so many that they explain
	 * crashes of segments. */
	segment_t *blamed[CAUSE_KINDS];
	int64_t announce_until_us[CAUSE_KINDS]; /* latest of all */
	unclear_t unclear[UNCLEAR_MAX];
	size_t unclear_next, unclear_count;
	ended_t ended[ENDED_MAX];
	size_t ended_next;
	cause_id_t newly_blocked[NEWLY_BLOCKED_MAX];
	size_t newly_blocked_count;
};

/* segment_store.c */
/** @return the cause; NULL: nothing is known of it */
segment_t *segment_find(const segment_table_t *table, cause_kind_t kind,
			uint64_t id);
/** Finds a cause, or adds it, and marks it as used. */
segment_t *segment_use(segment_table_t *table, cause_kind_t kind, uint64_t id,
		       int64_t now_us);
/** @return the content of a request; NULL: nothing is known of it */
segment_t *segment_find_content(const segment_table_t *table,
				const segments_t *segments);
void segment_remove(segment_table_t *table, segment_t *segment);
/** @return true if the segment has a crash of the server within @p within_us of
 * this one: nodes may notice it at different times. */
bool segment_has_crash(const segment_t *segment, segment_crash_t crash,
		       int64_t within_us);
/** @return true if a server of the crash ended under the cause within 5 s of
 * it, so that the cause may explain it. */
bool segment_explains(const segment_t *segment, segment_crash_t crash);
/** Adds a crash, unless a blocked segment or a later answer explains it. */
void segment_add_crash(segment_table_t *table, segment_t *segment,
		       segment_crash_t crash);
void segment_set_harmless(segment_table_t *table, segment_t *segment,
			  int64_t began_us);
/** Keeps the first @p count crashes; a segment without any is not blamed. */
void segment_set_count(segment_table_t *table, segment_t *segment,
		       size_t count);

/* segment_table.c */
void segment_add_crashes(segment_table_t *table, const segments_t *segments,
			 segment_crash_t crash, int64_t now_us);
/** Announces the segment for some time. */
void segment_announce(segment_table_t *table, segment_t *segment,
		      int64_t now_us);
/** @return true if the last trial may yet prove not to have run; it is not
 * announced until then, since the other nodes keep the highest number. */
bool segment_is_on_trial(const segment_t *segment, int64_t now_us);

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

/* segment_ends.c */
/** Notes that a server ended. */
void segment_note_end(segment_table_t *table, segment_crash_t crash);
/** Notes that a server was alive at @p alive_us. */
void segment_note_alive(segment_table_t *table, uint32_t server,
			int64_t alive_us);
/**
 * @return true if a content has an end of the server, which has not been alive
 * since: a server that did not start again cannot end again
 */
bool segment_has_end(const segment_table_t *table, const segment_t *content,
		     segment_crash_t crash);

/* segment_blame.c */
enum {
	/* Crashes from which a segment explains those of others, and above
	 * which a content does. One request alone, with its repeat, has fewer.
	 */
	EXPLAIN_CRASHES = 3
};

/** @return true if the further crashes of a content do not count against
 * segments. */
bool segment_explains_others(const segment_t *content, int64_t now_us);
/** Blocks a cause, and lets it be logged. */
void segment_block(segment_table_t *table, segment_t *segment);
/** Judges a content by its own crashes. */
void segment_judge_content(segment_table_t *table, segment_t *content,
			   int64_t now_us);
/** Judges all segments anew. */
void segment_table_blame(segment_table_t *table, int64_t now_us);
/** @return time of the last crash; 0: none */
int64_t segment_last_crash_us(const segment_t *segment);

#endif

/**
 * @file segment_table.h
 * Finds what crashes servers, and keeps requests with it from servers: segments
 * of prompts, and contents, which are requests that come again. Does no I/O;
 * time is an argument.
 *
 * A crash breaks all requests of a server, so each of their segments and
 * contents may be its cause. It is harmless if a server that began to write
 * after the crash went on writing. A content is blamed by its own crashes, and
 * a segment by the number of crashes that nothing else explains better:
 *
 * - suspect: crashes at two moments or more, or more of them for a segment that
 *   was harmless before. A node lets one such request pass at a time.
 * - blocked: crashes at more moments, and no other segment has the same ones.
 *   No request passes, but for a few trials, with long pauses.
 *
 * Nodes announce what they know of causes that are blamed; each of them judges
 * by the sum.
 */
#ifndef PROCESS_SEGMENT_TABLE_H
#define PROCESS_SEGMENT_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"
#include "process/limit_share.h"

/** A server that a request crashes does not write to it for this long. */
#define SEGMENT_WRITES_ON_US (1 * US_PER_S)

enum {
	/** Crashes of a segment that are kept; the oldest are dropped. */
	SEGMENT_CRASHES_MAX = 16,
	/** Segments and contents in one announcement, and crashes of each. */
	ANNOUNCED_SEGMENTS_MAX = 6,
	ANNOUNCED_CONTENTS_MAX = 4,
	ANNOUNCED_CRASHES_MAX = 8
};

typedef struct segment_table segment_table_t;

/** What may crash a server. */
typedef enum { CAUSE_SEGMENT, CAUSE_CONTENT } cause_kind_t;
enum { CAUSE_KINDS = 2 };

/** What may crash the server of one request. */
typedef struct {
	const uint64_t *ids; /**< segments of its prompt that others may
				share */
	size_t count;
	uint64_t content; /**< see content_id(); 0: not known */
} segments_t;

/** The end of a server, under requests with a segment. */
typedef struct {
	uint32_t server; /**< hash of the server's id and start */
	int64_t at_us;
} segment_crash_t;

/** What a node announces of one segment or content. Times are ages. */
typedef struct {
	uint64_t id;
	bool is_blocked;
	int32_t trials; /**< of any node, while it was blocked */
	int64_t seen_age_us; /**< time since the last request with it */
	int64_t harmless_age_us; /**< time since a server that went on writing
				  * began to, for the sender; negative: none */
	struct {
		uint32_t server;
		int64_t age_us;
	} crashes[ANNOUNCED_CRASHES_MAX];
	size_t crash_count;
} segment_report_t;

typedef enum {
	SEGMENTS_FREE, /**< the request may be sent */
	SEGMENTS_SUSPECT, /**< another request with the cause is being tried */
	SEGMENTS_BLOCKED /**< the cause crashes servers */
} segments_state_t;

/** A segment or content. */
typedef struct {
	cause_kind_t kind;
	uint64_t id;
} cause_id_t;

typedef struct {
	segments_state_t state;
	cause_id_t cause; /**< what decided */
	size_t crashes; /**< its crashes */
	int64_t crash_age_us; /**< time since the last one */
	int64_t retry_us; /**< time until the prompt may be sent */
} segments_verdict_t;

segment_table_t *segment_table_create(void);
void segment_table_destroy(segment_table_t *table);

/**
 * Judges a prompt before it is sent to a server.
 * @param nodes one of them, by hash, tries a blocked segment for all
 */
segments_verdict_t segment_table_judge(segment_table_t *table,
				       const segments_t *segments,
				       const limit_nodes_t *nodes,
				       int64_t now_us);
/** Notes that a prompt that may be sent is sent. */
void segment_table_sent(segment_table_t *table, const segments_t *segments,
			int64_t now_us);
/**
 * Notes that no server began to run a request that was sent at @p sent_us: if
 * it was the trial of a blocked cause, another one follows soon.
 */
void segment_table_note_not_run(segment_table_t *table,
				const segments_t *segments, int64_t sent_us,
				int64_t now_us);
/** Notes that a request broke off as if its server had ended. */
void segment_table_note_crash(segment_table_t *table,
			      const segments_t *segments, uint32_t server,
			      int64_t now_us);
/**
 * Notes that a server wrote an answer to the end, or long enough.
 * @param began_us when it began to write
 */
void segment_table_note_harmless(segment_table_t *table,
				 const segments_t *segments, int64_t began_us,
				 int64_t now_us);
/**
 * Notes an answer whose end does not tell whether the server ended: what the
 * server does next decides.
 */
void segment_table_note_unclear(segment_table_t *table,
				const segments_t *segments, uint32_t server,
				int64_t began_us, int64_t now_us);
/** Notes that a server was alive at @p alive_us. */
void segment_table_note_alive(segment_table_t *table, uint32_t server,
			      int64_t alive_us, int64_t now_us);
/** Notes that a server cannot be reached any more. */
void segment_table_note_dead(segment_table_t *table, uint32_t server,
			     int64_t now_us);
/**
 * Finds a server of which a probe has to show whether it lives on, after an
 * answer with an unclear end. Each server is named once for its answers.
 * @return false if there is none
 */
bool segment_table_to_probe(segment_table_t *table, uint32_t *server,
			    int64_t now_us);

/** Lists causes for an announcement. @return number of reports */
size_t segment_table_list(segment_table_t *table, cause_kind_t kind,
			  segment_report_t *reports, size_t max,
			  int64_t now_us);
/** Applies what another node announced. */
void segment_table_receive(segment_table_t *table, cause_kind_t kind,
			   const segment_report_t *report, int64_t now_us);
/** @return true if a server ended under a request with one of the causes. */
bool segment_table_blames(const segment_table_t *table,
			  const segments_t *segments);
/**
 * Judges anew what time has made clear, forgets segments that no request had
 * for long, and takes servers as alive that had an answer with an unclear end
 * some time ago.
 */
void segment_table_expire(segment_table_t *table, int64_t now_us);
/**
 * Names each cause once that is blocked and was not before, for the log.
 * @return false if there is none left
 */
bool segment_table_next_blocked(segment_table_t *table, cause_id_t *cause);
/** @return number of blocked causes; @p suspects receives that of suspects */
size_t segment_table_count(const segment_table_t *table, cause_kind_t kind,
			   size_t *suspects);
/** @return number of causes of which anything is known */
size_t segment_table_size(const segment_table_t *table, cause_kind_t kind);

#endif

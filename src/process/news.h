/**
 * @file news.h
 * What a node that watches the platform tells the others of its data centre:
 * recent changes, and until when its view was complete. Pure.
 *
 * A receiver learns in terms of its own clock when the view was complete: the
 * sender echoes the time that the receiver put on its last announcement, and
 * says how old the view was when that announcement arrived. News that are
 * delayed anywhere therefore never look fresher than they are.
 */
#ifndef PROCESS_NEWS_H
#define PROCESS_NEWS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct news_log news_log_t;

/** One change of an object; strings are owned by the holder. */
typedef struct {
	char *name;
	int64_t revision; /**< of the store, by the change */
	bool deleted;
	char *spec; /**< JSON text */
	int64_t keep_ms; /**< a deleted server stays in use for this time */
} news_change_t;

/** View of one kind of objects. */
typedef struct {
	uint32_t kind;
	int64_t revision; /**< of the store, to which the view is complete */
	int64_t from; /**< all changes after this revision are in the list */
	int64_t version; /**< of the routing configuration; else 0 */
	int64_t age_us; /**< see the wire format */
	news_change_t *changes;
	size_t change_count;
} news_view_t;

enum { NEWS_VIEWS_MAX = 4 };

typedef struct {
	uint64_t node;
	int64_t echo_boot_us;
	int64_t keep_ms; /**< missing servers may return for this time */
	news_view_t views[NEWS_VIEWS_MAX];
	size_t view_count;
} news_t;

/** Frees news that were decoded. */
void news_clear(news_t *news);

/** Keeps the changes of the last seconds, of one kind. */
news_log_t *news_log_create(void);
void news_log_destroy(news_log_t *log);
/** The view was read as a whole: what came before is not in the log. */
void news_log_reset(news_log_t *log, int64_t revision);
/** Copies the strings. */
void news_log_add(news_log_t *log, const news_change_t *change, int64_t now_us);
/** Drops changes that every receiver has had the time to get. */
void news_log_prune(news_log_t *log, int64_t now_us);
size_t news_log_count(const news_log_t *log);
/** @return the place in the log of the first change that a receiver with this
 * revision lacks. */
size_t news_log_find(const news_log_t *log, int64_t known_revision);
/**
 * Borrows changes into a view, from place @p first on, as many as fit.
 * @param revision to which the sender's view is complete
 * @return the place in the log of the next change
 */
size_t news_log_fill(news_log_t *log, size_t first, size_t size_max,
		     int64_t revision, news_view_t *view);

typedef enum {
	NEWS_CURRENT, /**< nothing new */
	NEWS_CHANGES, /**< apply those after the own revision */
	NEWS_GAP /**< changes are missing: read the objects anew */
} news_result_t;

/** Compares a view with the revision that the receiver has. */
news_result_t news_compare(const news_view_t *view, int64_t own_revision);

/**
 * Whether a view that others watch is fresh enough to go on without a watch.
 * @param age_us   since it was complete
 * @param bound_us within which a change must be in force
 */
bool news_is_fresh(int64_t age_us, int64_t bound_us);

/** @return the longest watch of a node that others follow. */
int64_t news_watch_us(int64_t bound_us);

/** @return when the view was complete, on the receiver's clock. */
int64_t news_confirmed_boot_us(const news_t *news, const news_view_t *view,
			       int64_t now_boot_us);

#endif

/**
 * @file view_update.h
 * View updates: a node that watches the platform's store (publisher) sends its
 * region recent changes, and the time to which its view is complete. No I/O.
 *
 * A receiver learns this time in terms of its own clock: the publisher echoes
 * the timestamp of the receiver's last announcement, and states how old the
 * view was when that announcement arrived. An update that is delayed anywhere
 * therefore never looks fresher than it is.
 */
#ifndef PROCESS_VIEW_UPDATE_H
#define PROCESS_VIEW_UPDATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct change_log change_log_t;

/** One change of an object. The strings belong to whoever holds the change. */
typedef struct {
	char *name;
	int64_t revision; /**< revision of the store after the change */
	bool deleted;
	char *spec; /**< new content of the object, as JSON text */
	/** Grace period in which a deleted server stays usable; 0: none. */
	int64_t grace_ms;
} view_change_t;

/** Changes of one kind of objects. */
typedef struct {
	uint32_t kind; /**< a platform_kind_t */
	/** Store revision to which the sender's view is complete. */
	int64_t revision;
	int64_t from; /**< the list holds all changes after this revision */
	/** Version of the routing configuration; 0 for other kinds. */
	int64_t version;
	/**
	 * Age of the sender's view when the echoed announcement arrived;
	 * negative if the view was complete later.
	 */
	int64_t age_us;
	view_change_t *changes;
	size_t change_count;
} view_delta_t;

enum { UPDATE_VIEWS_MAX = 4 };

typedef struct {
	uint64_t node; /**< hash of the sender's id */
	/** Timestamp of the receiver's last announcement, on its own clock. */
	int64_t echoed_boot_us;
	/** Grace period in which missing servers may return. */
	int64_t grace_ms;
	view_delta_t views[UPDATE_VIEWS_MAX];
	size_t view_count;
} view_update_t;

/** Frees the content of a decoded view update. */
void view_update_clear(view_update_t *update);

/** Creates a log of the changes of one kind in the last 3 s. */
change_log_t *change_log_create(void);
void change_log_destroy(change_log_t *log);
/** Empties the log after a full listing at @p revision. */
void change_log_reset(change_log_t *log, int64_t revision);
/** Adds a change, with copies of its strings. */
void change_log_add(change_log_t *log, const view_change_t *change,
		    int64_t now_us);
/** Drops changes that every receiver has had the time to receive. */
void change_log_prune(change_log_t *log, int64_t now_us);
size_t change_log_count(const change_log_t *log);
/**
 * @return the index of the first change that a receiver with this revision
 *   lacks
 */
size_t change_log_find(const change_log_t *log, int64_t known_revision);
/**
 * Sets the changes of a view, from index @p first on, as many as fit, but at
 * least those of one revision. The log keeps ownership of them.
 * @param size_max space for the changes in bytes
 * @param revision store revision to which the sender's view is complete
 * @return the index of the next change; the number of changes if none is left
 */
size_t change_log_fill(change_log_t *log, size_t first, size_t size_max,
		       int64_t revision, view_delta_t *view);

typedef enum {
	DELTA_CURRENT, /**< the receiver has all changes */
	DELTA_APPLICABLE, /**< apply changes after the receiver's revision */
	DELTA_GAP, /**< changes in between are missing: read all objects again
		    */
	DELTA_EARLIER, /**< the sender has not noticed yet that the store came
			  back from an older copy */
	DELTA_LATER /**< the receiver has not */
} delta_result_t;

/** Compares a received view with the revision that the receiver has. */
delta_result_t view_delta_compare(const view_delta_t *view,
				  int64_t own_revision);

/**
 * @return true if a view that others watch is fresh enough to be used
 *   without a watch of this node
 * @param age_us   time since the view was complete
 * @param bound_us time within which a change must be in force
 */
bool view_is_fresh(int64_t age_us, int64_t bound_us);

/** @return the longest time that one watch of a publisher may take, in us */
int64_t publisher_watch_us(int64_t bound_us);

/** @return when the view was complete, on the receiver's CLOCK_BOOTTIME */
int64_t view_delta_confirmed_boot_us(const view_update_t *update,
				     const view_delta_t *view,
				     int64_t now_boot_us);

#endif

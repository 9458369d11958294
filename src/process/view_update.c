#include "process/view_update.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"
#include "platform/client.h"

/* Changes are sent until they are this old; a receiver that missed one reads
 * all objects again. */
#define CHANGE_RETENTION_US (3 * US_PER_S)

enum {
	/* Enough for all servers of a large data centre to change at once. */
	CHANGES_MAX = 256,
	/* Encoded size of a change without its strings. */
	CHANGE_FRAME_BYTES = 24
};

struct change_log {
	view_change_t changes[CHANGES_MAX]; /* oldest first */
	int64_t added_us[CHANGES_MAX];
	size_t count;
	int64_t from; /* the log holds all changes after this revision */
};

change_log_t *change_log_create(void)
{
	return mem_calloc(1, sizeof(change_log_t));
}

static void drop_oldest(change_log_t *log)
{
	log->from = log->changes[0].revision;
	free(log->changes[0].name);
	free(log->changes[0].spec);
	log->count--;
	memmove(log->changes, log->changes + 1,
		log->count * sizeof(*log->changes));
	memmove(log->added_us, log->added_us + 1,
		log->count * sizeof(*log->added_us));
}

void change_log_destroy(change_log_t *log)
{
	while (log && log->count)
		drop_oldest(log);
	free(log);
}

void change_log_reset(change_log_t *log, int64_t revision)
{
	while (log->count)
		drop_oldest(log);
	log->from = revision;
}

void change_log_add(change_log_t *log, const view_change_t *change,
		    int64_t now_us)
{
	view_change_t *added;

	if (log->count == CHANGES_MAX)
		drop_oldest(log);
	log->added_us[log->count] = now_us;
	added = &log->changes[log->count++];
	*added = *change;
	added->name = mem_strdup(change->name);
	added->spec = mem_strdup(change->spec);
}

void change_log_prune(change_log_t *log, int64_t now_us)
{
	while (log->count && now_us - log->added_us[0] > CHANGE_RETENTION_US)
		drop_oldest(log);
}

size_t change_log_find(const change_log_t *log, int64_t known_revision)
{
	size_t i = 0;

	while (i < log->count && log->changes[i].revision <= known_revision)
		i++;
	return i;
}

static size_t encoded_size(const view_change_t *change)
{
	return strlen(change->name) + strlen(change->spec) + CHANGE_FRAME_BYTES;
}

/* Changes of one revision are sent together: a receiver that has the revision
 * would skip the rest of them. */
static bool may_end_before(const change_log_t *log, size_t i)
{
	return i == 0 ||
	       log->changes[i].revision != log->changes[i - 1].revision;
}

size_t change_log_fill(change_log_t *log, size_t first, size_t size_max,
		       int64_t revision, view_delta_t *view)
{
	size_t size = 0, i;

	view->from = first ? log->changes[first - 1].revision : log->from;
	view->changes = &log->changes[first];
	for (i = first; i < log->count; i++) {
		size += encoded_size(&log->changes[i]);
		if (size > size_max && i > first && may_end_before(log, i))
			break;
	}
	view->change_count = i - first;
	view->revision = i < log->count ? log->changes[i - 1].revision
					: revision;
	return i;
}

size_t change_log_count(const change_log_t *log)
{
	return log->count;
}

delta_result_t view_delta_compare(const view_delta_t *view,
				  int64_t own_revision)
{
	if (!platform_is_same_era(view->revision, own_revision))
		return view->revision < own_revision ? DELTA_EARLIER
						     : DELTA_LATER;
	if (own_revision >= view->revision)
		return DELTA_CURRENT;
	return own_revision >= view->from ? DELTA_APPLICABLE : DELTA_GAP;
}

/* A watch and two announcements take less time than a view stays fresh. The
 * rest of the bound is for the node's own watch of a view that is no longer
 * fresh. */
#define FRESH_SHARE 0.6
#define WATCH_SHARE 0.3

bool view_is_fresh(int64_t age_us, int64_t bound_us)
{
	return (double)age_us < (double)bound_us * FRESH_SHARE;
}

int64_t publisher_watch_us(int64_t bound_us)
{
	return (int64_t)((double)bound_us * WATCH_SHARE);
}

int64_t view_delta_confirmed_boot_us(const view_update_t *update,
				     const view_delta_t *view,
				     int64_t now_boot_us)
{
	int64_t at_us = update->echoed_boot_us - view->age_us;

	return at_us < now_boot_us ? at_us : now_boot_us;
}

void view_update_clear(view_update_t *update)
{
	size_t i, j;

	for (i = 0; i < update->view_count; i++) {
		for (j = 0; j < update->views[i].change_count; j++) {
			free(update->views[i].changes[j].name);
			free(update->views[i].changes[j].spec);
		}
		free(update->views[i].changes);
	}
	memset(update, 0, sizeof(*update));
}

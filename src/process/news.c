#include "process/news.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "base/units.h"

/* A change is told until it is this old; a receiver that missed it reads the
 * objects anew. */
#define KEPT_US (3 * US_PER_S)

enum {
	/* All servers of a large data centre may change at once. */
	CHANGES_MAX = 256,
	CHANGE_FRAME_BYTES = 24
};

struct news_log {
	news_change_t changes[CHANGES_MAX]; /* oldest first */
	int64_t added_us[CHANGES_MAX];
	size_t count;
	int64_t from; /* all changes after this revision are here */
};

news_log_t *news_log_create(void)
{
	return mem_calloc(1, sizeof(news_log_t));
}

static void drop_oldest(news_log_t *log)
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

void news_log_destroy(news_log_t *log)
{
	while (log && log->count)
		drop_oldest(log);
	free(log);
}

void news_log_reset(news_log_t *log, int64_t revision)
{
	while (log->count)
		drop_oldest(log);
	log->from = revision;
}

void news_log_add(news_log_t *log, const news_change_t *change, int64_t now_us)
{
	news_change_t *added;

	if (log->count == CHANGES_MAX)
		drop_oldest(log);
	log->added_us[log->count] = now_us;
	added = &log->changes[log->count++];
	*added = *change;
	added->name = mem_strdup(change->name);
	added->spec = mem_strdup(change->spec);
}

void news_log_prune(news_log_t *log, int64_t now_us)
{
	while (log->count && now_us - log->added_us[0] > KEPT_US)
		drop_oldest(log);
}

size_t news_log_find(const news_log_t *log, int64_t known_revision)
{
	size_t i = 0;

	while (i < log->count && log->changes[i].revision <= known_revision)
		i++;
	return i;
}

static size_t size_of(const news_change_t *change)
{
	return strlen(change->name) + strlen(change->spec) + CHANGE_FRAME_BYTES;
}

/* Changes of one revision are told together: a receiver that has the revision
 * passes over the rest of it. */
static bool may_end_before(const news_log_t *log, size_t i)
{
	return i == 0 ||
	       log->changes[i].revision != log->changes[i - 1].revision;
}

size_t news_log_fill(news_log_t *log, size_t first, size_t size_max,
		     int64_t revision, news_view_t *view)
{
	size_t size = 0, i;

	view->from = first ? log->changes[first - 1].revision : log->from;
	view->changes = &log->changes[first];
	for (i = first; i < log->count; i++) {
		size += size_of(&log->changes[i]);
		if (size > size_max && i > first && may_end_before(log, i))
			break;
	}
	view->change_count = i - first;
	view->revision = i < log->count ? log->changes[i - 1].revision
					: revision;
	return i;
}

size_t news_log_count(const news_log_t *log)
{
	return log->count;
}

news_result_t news_compare(const news_view_t *view, int64_t own_revision)
{
	if (own_revision >= view->revision)
		return NEWS_CURRENT;
	return own_revision >= view->from ? NEWS_CHANGES : NEWS_GAP;
}

/*
 * A watch and two announcements fit into the age of a fresh view; the rest of
 * the bound is for a watch of the node's own when the view is not fresh.
 */
#define FRESH_SHARE 0.6
#define WATCH_SHARE 0.3

bool news_is_fresh(int64_t age_us, int64_t bound_us)
{
	return (double)age_us < (double)bound_us * FRESH_SHARE;
}

int64_t news_watch_us(int64_t bound_us)
{
	return (int64_t)((double)bound_us * WATCH_SHARE);
}

int64_t news_confirmed_boot_us(const news_t *news, const news_view_t *view,
			       int64_t now_boot_us)
{
	int64_t at_us = news->echo_boot_us - view->age_us;

	return at_us < now_boot_us ? at_us : now_boot_us;
}

void news_clear(news_t *news)
{
	size_t i, j;

	for (i = 0; i < news->view_count; i++) {
		for (j = 0; j < news->views[i].change_count; j++) {
			free(news->views[i].changes[j].name);
			free(news->views[i].changes[j].spec);
		}
		free(news->views[i].changes);
	}
	memset(news, 0, sizeof(*news));
}

#include "lib/history_index.h"

#include <stdlib.h>
#include <string.h>

#include "base/mem.h"

/* Finds the entry with the id `name` in a table, or adds one. */
#define FIND_OR_ADD(table, name)                                            \
	({                                                                  \
		__typeof__(table) found_;                                   \
		const char *name_ = (name);                                 \
		HASH_FIND_STR(table, name_, found_);                        \
		if (!found_) {                                              \
			found_ = mem_calloc(1, sizeof(*found_));            \
			mem_strlcpy(found_->id, name_, sizeof(found_->id)); \
			HASH_ADD_STR(table, id, found_);                    \
		}                                                           \
		found_;                                                     \
	})

node_t *history_node(history_t *history, const char *incarnation)
{
	return FIND_OR_ADD(history->nodes, incarnation);
}

static void index_node(history_t *history, const record_t *record)
{
	node_t *node =
		history_node(history, record_text(record, "incarnation"));

	if (*node->who)
		return;
	mem_strlcpy(node->who, record->who, sizeof(node->who));
	node->start_us = record->t_us;
	node->stop_us = INT64_MAX;
}

static void end_node(history_t *history, const char *who, int64_t t_us)
{
	node_t *node;

	for (node = history->nodes; node; node = node->hh.next)
		if (!strcmp(node->who, who) && node->stop_us == INT64_MAX)
			node->stop_us = t_us;
}

static void index_execution(history_t *history, const record_t *record)
{
	const char *action = record_text(record, "action");

	if (*action)
		FIND_OR_ADD(history->actions, action)->executions++;
	else
		FIND_OR_ADD(history->calls, record_text(record, "call"))
			->ran_us = record->t_us;
}

void history_index(history_t *history)
{
	size_t i;

	records_sort(&history->records);
	for (i = 0; i < history->records.count; i++) {
		const record_t *record = &history->records.items[i];
		const char *call = record_text(record, "call");

		history->end_us = record->t_us;
		if (record_is(record, "invoke"))
			FIND_OR_ADD(history->calls, call)->invoke = record;
		else if (record_is(record, "response"))
			FIND_OR_ADD(history->calls, call)->response = record;
		else if (record_is(record, "gone"))
			FIND_OR_ADD(history->calls, call)->abandoned = record;
		else if (record_is(record, "submit"))
			FIND_OR_ADD(history->calls, call)->ran_us =
				record->t_us;
		else if (record_is(record, "execute"))
			index_execution(history, record);
		else if (record_is(record, "killed"))
			end_node(history, record_text(record, "node"),
				 record->t_us);
		else if (record_is(record, "stop"))
			end_node(history, record->who, record->t_us);
		else if (record_is(record, "config"))
			index_node(history, record);
	}
}

int64_t history_extend_due(const history_t *history, int64_t from_us,
			   int64_t due_us)
{
	int64_t allowed_us = due_us - from_us;
	const record_t *pause = NULL;
	size_t i;

	for (i = 0; i < history->records.count; i++) {
		const record_t *record = &history->records.items[i];

		if (record_is(record, "paused") && record->t_us <= due_us)
			pause = record;
		if (record_is(record, "resumed") && pause &&
		    record->t_us >= from_us) {
			due_us = record->t_us + allowed_us;
			pause = NULL;
		}
	}
	return pause ? INT64_MAX : due_us;
}

/* Frees a table and its entries. */
#define FREE_TABLE(table)                                 \
	do {                                              \
		__typeof__(table) item_ = (table), next_; \
		HASH_CLEAR(hh, table);                    \
		for (; item_; item_ = next_) {            \
			next_ = item_->hh.next;           \
			free(item_);                      \
		}                                         \
	} while (0)

void history_clear(history_t *history)
{
	FREE_TABLE(history->calls);
	FREE_TABLE(history->actions);
	FREE_TABLE(history->nodes);
	records_clear(&history->records);
}

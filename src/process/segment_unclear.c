#include <string.h>

#include "base/units.h"
#include "process/segment_state.h"

/* A server whose answer had an unclear end counts as alive after this time:
 * other requests of a server that ended break at once. */
#define UNCLEAR_US (1 * US_PER_S)
/* A server is probed if nothing else shows in this time whether it is alive. */
#define PROBE_AFTER_US (60 * US_PER_MS)
/* Answers of a server that end within this time before a crash may belong to
 * it; the server was alive after the others. */
#define CRASH_END_US (50 * US_PER_MS)

/* Takes the end of an answer that ended at @p until_us or before as clear. */
static void clear_end(segment_table_t *table, unclear_t *unclear,
		      int64_t until_us, int64_t now_us)
{
	segments_t segments = { unclear->ids, unclear->count,
				unclear->content };

	if (!unclear->ended_us || unclear->ended_us > until_us)
		return;
	unclear->ended_us = 0;
	table->unclear_count--;
	segment_table_note_harmless(table, &segments, unclear->began_us,
				    now_us);
}

bool segment_add_unclear(segment_table_t *table, uint32_t server,
			 int64_t crash_us, int64_t now_us)
{
	bool found = false;
	size_t i;

	for (i = 0; i < UNCLEAR_MAX && table->unclear_count; i++) {
		unclear_t *unclear = &table->unclear[i];
		segments_t segments = { unclear->ids, unclear->count,
					unclear->content };

		if (!unclear->ended_us || unclear->server != server)
			continue;
		clear_end(table, unclear, crash_us - CRASH_END_US, now_us);
		if (!unclear->ended_us)
			continue;
		segment_add_crashes(
			table, &segments,
			(segment_crash_t){ server, unclear->ended_us }, now_us);
		unclear->ended_us = 0;
		table->unclear_count--;
		found = true;
	}
	return found;
}

void segment_clear_ends(segment_table_t *table, int64_t now_us)
{
	size_t i;

	for (i = 0; i < UNCLEAR_MAX && table->unclear_count; i++)
		clear_end(table, &table->unclear[i], now_us - UNCLEAR_US,
			  now_us);
}

void segment_table_note_dead(segment_table_t *table, uint32_t server,
			     int64_t now_us)
{
	if (segment_add_unclear(table, server, 0, now_us))
		segment_table_blame(table, now_us);
}

void segment_table_note_unclear(segment_table_t *table,
				const segments_t *segments, uint32_t server,
				int64_t began_us, int64_t now_us)
{
	unclear_t *unclear = &table->unclear[table->unclear_next];

	table->unclear_next = (table->unclear_next + 1) % UNCLEAR_MAX;
	table->unclear_count += !unclear->ended_us;
	*unclear = (unclear_t){ .server = server,
				.began_us = began_us,
				.ended_us = now_us,
				.count = segments->count,
				.content = segments->content };
	if (unclear->count > UNCLEAR_SEGMENTS_MAX)
		unclear->count = UNCLEAR_SEGMENTS_MAX;
	if (unclear->count)
		memcpy(unclear->ids, segments->ids,
		       unclear->count * sizeof(*unclear->ids));
}

void segment_table_note_alive(segment_table_t *table, uint32_t server,
			      int64_t alive_us, int64_t now_us)
{
	size_t i;

	segment_note_alive(table, server, alive_us);
	for (i = 0; i < UNCLEAR_MAX && table->unclear_count; i++)
		if (table->unclear[i].server == server)
			clear_end(table, &table->unclear[i], alive_us, now_us);
}

bool segment_table_to_probe(segment_table_t *table, uint32_t *server,
			    int64_t now_us)
{
	bool found = false;
	size_t i;

	for (i = 0; i < UNCLEAR_MAX && table->unclear_count; i++) {
		unclear_t *unclear = &table->unclear[i];

		if (!unclear->ended_us || unclear->is_probed ||
		    now_us - unclear->ended_us < PROBE_AFTER_US ||
		    (found && unclear->server != *server))
			continue;
		found = true;
		*server = unclear->server;
		unclear->is_probed = true;
	}
	return found;
}

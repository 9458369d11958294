#include "process/segment_state.h"

/* @return index of what is known of a server; ENDED_MAX: nothing */
static size_t find_ended(const segment_table_t *table, uint32_t server)
{
	size_t i;

	for (i = 0; i < ENDED_MAX; i++)
		if (table->ended[i].at_us && table->ended[i].server == server)
			break;
	return i;
}

void segment_note_end(segment_table_t *table, segment_crash_t crash)
{
	size_t i = find_ended(table, crash.server);

	if (i == ENDED_MAX) {
		i = table->ended_next;
		table->ended_next = (table->ended_next + 1) % ENDED_MAX;
		table->ended[i] = (ended_t){ .server = crash.server };
	}
	if (crash.at_us > table->ended[i].at_us)
		table->ended[i].at_us = crash.at_us;
}

void segment_note_alive(segment_table_t *table, uint32_t server,
			int64_t alive_us)
{
	size_t i = find_ended(table, server);

	if (i < ENDED_MAX && alive_us > table->ended[i].alive_us)
		table->ended[i].alive_us = alive_us;
}

/* @return true if the server was alive between two of its ends */
static bool was_alive(const segment_table_t *table, uint32_t server,
		      int64_t from_us, int64_t to_us)
{
	size_t i = find_ended(table, server);

	return i < ENDED_MAX && table->ended[i].alive_us > from_us &&
	       table->ended[i].alive_us < to_us;
}

bool segment_has_end(const segment_table_t *table, const segment_t *content,
		     segment_crash_t crash)
{
	size_t i;

	for (i = 0; i < content->crash_count; i++) {
		int64_t from_us = content->crashes[i].at_us;
		int64_t to_us = crash.at_us;

		if (from_us > to_us) {
			from_us = crash.at_us;
			to_us = content->crashes[i].at_us;
		}
		if (content->crashes[i].server == crash.server &&
		    to_us - from_us < RESTART_US &&
		    !was_alive(table, crash.server, from_us, to_us))
			return true;
	}
	return false;
}

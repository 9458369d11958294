/**
 * @file remote.h
 * Other data centres as this node sees them, from the summaries of their
 * relays. The VM list only names whom to ask first. Pure: time is an argument.
 */
#ifndef PROCESS_REMOTE_H
#define PROCESS_REMOTE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/units.h"

typedef struct remote_table remote_table_t;

/** One member of another data centre. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	char address[URL_SIZE_BYTES];
	uint64_t incarnation; /**< 0: from the VM list only */
	bool leaving;
} remote_member_t;

/** One other data centre. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	bool reachable; /**< a summary arrived in time */
	int64_t heard_us; /**< last summary; 0: none */
	int64_t last_direct_us; /**< last one from that data centre itself */
	int64_t config_version;
	size_t count;
	remote_member_t *members; /**< sorted by vm_id */
} remote_dc_t;

remote_table_t *remote_create(void);
void remote_destroy(remote_table_t *table);

/** Names members of a data centre that has sent no summary yet. */
void remote_seed(remote_table_t *table, const char *data_centre,
		 const remote_member_t *members, size_t count);

/**
 * Takes in a summary; no members means that they did not change.
 * @param direct from a relay there, not handed on within this data centre
 * @return whether the members or the reachability changed
 */
bool remote_summary(remote_table_t *table, const char *data_centre,
		    int64_t config_version, const remote_member_t *members,
		    size_t count, bool direct, int64_t now_us);

/**
 * Marks data centres without a summary for @p silence_us as unreachable.
 * @return whether one became unreachable
 */
bool remote_tick(remote_table_t *table, int64_t silence_us, int64_t now_us);

/** @return the data centre at an index, NULL behind the last. */
const remote_dc_t *remote_at(const remote_table_t *table, size_t index);
const remote_dc_t *remote_find(const remote_table_t *table,
			       const char *data_centre);

/** @return a member of any other data centre, or NULL. */
const remote_member_t *remote_member(const remote_table_t *table,
				     const char *vm_id);

/** Lists the members that are not leaving, sorted by name. */
size_t remote_candidates(const remote_dc_t *dc, char (*names)[NAME_SIZE_BYTES],
			 size_t capacity);

/** @return members of all other data centres. */
size_t remote_count(const remote_table_t *table);

#endif

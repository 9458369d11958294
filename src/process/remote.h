/**
 * @file remote.h
 * Members of the other data centres, from the summaries that relay nodes there
 * send. While a data centre is unreachable, the platform's VM list may replace
 * its members. Does no I/O; time is an argument.
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
	uint64_t incarnation; /**< 0: known from the VM list only */
	bool leaving;
} remote_member_t;

/** One other data centre. */
typedef struct {
	char name[NAME_SIZE_BYTES];
	bool reachable; /**< a summary arrived, and the newest summary is recent
			   enough for remote_tick() */
	int64_t last_received_us; /**< last summary; 0: none */
	int64_t last_direct_us; /**< last direct summary of a relay there; 0:
				   none */
	int64_t config_version; /**< highest version in the summaries */
	size_t count; /**< number of members */
	remote_member_t *members; /**< sorted by vm_id */
} remote_dc_t;

remote_table_t *remote_create(void);
void remote_destroy(remote_table_t *table);

/**
 * Sets the members of a data centre from the VM list; has no effect while the
 * data centre is reachable.
 */
void remote_seed(remote_table_t *table, const char *data_centre,
		 const remote_member_t *members, size_t count);

/**
 * Takes in a summary of a data centre.
 * @param count  0: the members did not change
 * @param direct true: from a relay in that data centre; false: forwarded by a
 *               node of this data centre
 * @return true if the members or the reachability changed
 */
bool remote_summary(remote_table_t *table, const char *data_centre,
		    int64_t config_version, const remote_member_t *members,
		    size_t count, bool direct, int64_t now_us);

/**
 * Marks data centres without a summary for @p silence_us as unreachable.
 * @return true if a data centre became unreachable
 */
bool remote_tick(remote_table_t *table, int64_t silence_us, int64_t now_us);

/** @return the data centre at an index; NULL: after the last. */
const remote_dc_t *remote_at(const remote_table_t *table, size_t index);
/** @return a data centre; NULL: not known. */
const remote_dc_t *remote_find(const remote_table_t *table,
			       const char *data_centre);

/** @return a member of any other data centre; NULL: not known. */
const remote_member_t *remote_member(const remote_table_t *table,
				     const char *vm_id);

/**
 * Lists the members of a data centre that are not leaving, sorted by name.
 * @return number of names, at most @p capacity
 */
size_t remote_candidates(const remote_dc_t *dc, char (*names)[NAME_SIZE_BYTES],
			 size_t capacity);

/** @return number of members of all other data centres. */
size_t remote_count(const remote_table_t *table);

#endif

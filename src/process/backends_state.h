/**
 * @file backends_state.h
 * State of the server table. Private to src/process/backends*.c.
 */
#ifndef PROCESS_BACKENDS_STATE_H
#define PROCESS_BACKENDS_STATE_H

#include <uthash.h>

#include "process/backends.h"

/* What is known of a data centre. */
typedef struct centre {
	char name[NAME_SIZE_BYTES];
	bool evacuated;
	peers_state_t peers;
	int64_t cut_us; /* when its nodes fell silent together; 0: they did not
			 */
	int64_t heard_us; /* last data of a server */
	int64_t probed_us;
	int32_t unreachable; /* connections that failed since one was good */
	int64_t unreachable_us; /* the last of them */
	int64_t cut_off_until_us;
	UT_hash_handle hh;
} centre_t;

struct backend {
	backend_entry_t entry;
	backends_t *table; /* NULL after it was removed */
	int references;
	uint32_t hash;
	uint32_t starts; /* seen; another address counts as one */
	centre_t *centre;
	uint64_t listing; /* in which it was last seen */
	int64_t removed_at_us; /* 0: its entry is there */
	int64_t cold_until_us;
	double cold_tokens; /* requests that the cold limit leaves */
	uint32_t shared_for; /* generation of the nodes for the share below */
	double cold_share; /* of its limit, for this node */
	int64_t cold_filled_us;
	local_load_t work;
	int64_t leaving_us; /* when it said so; 0: it did not */
	int64_t away_until_us; /* it turned this node away */
	int32_t failures; /* in a row */
	int64_t paused_until_us;
	int64_t failed_us; /* last failure; 0: none since it was good */
	double pace; /* measured pauses against the model */
	UT_hash_handle hh;
};

struct backends {
	backends_conf_t conf;
	backend_t *servers;
	centre_t *centres;
	uint64_t listing;
	uint64_t *nodes; /* hashes; NULL: not known yet */
	size_t node_count;
	uint64_t own; /* hash of this node */
	uint32_t nodes_generation; /* grows with each list of nodes */
};

/** @return what is known of a data centre; a new one knows nothing. */
centre_t *backends_centre(backends_t *backends, const char *name);

#endif

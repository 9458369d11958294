/**
 * @file control_credits.h
 * State of the control task's side of the credit protocol. Private to
 * src/process/control_{credits,resources}.c.
 */
#ifndef PROCESS_CONTROL_CREDITS_H
#define PROCESS_CONTROL_CREDITS_H

#include <uthash.h>

#include "process/control.h"

/* Size of a key: resource kind and name. Two kinds may use the same name. */
enum { KEY_SIZE_BYTES = NAME_SIZE_BYTES + 4 };

/** A resource of any data centre and the node that owns it now. */
typedef struct {
	UT_hash_handle hh;
	char key[KEY_SIZE_BYTES]; /**< key from credit_resource_key() */
	resource_t resource;
	char data_centre[NAME_SIZE_BYTES]; /**< data centre whose nodes may own
					      the resource */
	credit_limit_t limit;
	char owner[NAME_SIZE_BYTES]; /**< VM id; empty: no owner reachable */
	uint64_t owner_incarnation; /**< 0: unknown */
	bool owner_is_self; /**< this node owns the resource */
	bool retired; /**< the resource is out of service */
	/** The document in force has the resource. */
	bool listed;
} credit_resource_t;

struct control_credits {
	control_t *control;
	credit_resource_t *entries; /**< hash table by key */
	int64_t next_tick_us; /**< earliest time of the next owner tick */
	credit_view_t view; /**< newest view that the owner received */
	/** Memory for the member names of `view` and of the next view. */
	char (*names)[NAME_SIZE_BYTES], (*next_names)[NAME_SIZE_BYTES];
	/** An answer arrived since the last call of control_credits_pump(). */
	bool answered;
};

/** Writes the key of a resource: its kind and name. */
void credit_resource_key(char key[KEY_SIZE_BYTES], const resource_t *resource);

/**
 * Adds the resources of a document that are missing, marks all of its
 * resources as listed and sets their limits.
 */
void credit_resources_list(control_credits_t *credits, document_t *document);

#endif

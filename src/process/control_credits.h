/**
 * @file control_credits.h
 * State of the credit part of the control task. Private to
 * src/process/control_{credits,resources}.c.
 */
#ifndef PROCESS_CONTROL_CREDITS_H
#define PROCESS_CONTROL_CREDITS_H

#include <uthash.h>

#include "process/control.h"

/* Kind and name; two kinds may use one name. */
enum { KEY_SIZE_BYTES = NAME_SIZE_BYTES + 4 };

/** A resource of any data centre and who owns it now. */
typedef struct {
	UT_hash_handle hh;
	char key[KEY_SIZE_BYTES];
	resource_t resource;
	char data_centre[NAME_SIZE_BYTES];
	credit_limit_t limit;
	char owner[NAME_SIZE_BYTES]; /* empty: none can be reached */
	uint64_t owner_incarnation;
	bool owned; /* by this node */
	bool retired;
	bool listed; /* during configure: still in the document */
} credit_resource_t;

struct control_credits {
	control_t *control;
	credit_resource_t *entries;
	int64_t tick_us;
	credit_view_t view;
	char (*names)[NAME_SIZE_BYTES], (*next_names)[NAME_SIZE_BYTES];
	bool answered; /* the holder got an answer since the last pump */
};

void credit_resource_key(char key[KEY_SIZE_BYTES], const resource_t *resource);

/** Marks the resources of a document as listed and sets their limits. */
void credit_resources_list(control_credits_t *credits, document_t *document);

#endif

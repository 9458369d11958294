#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "base/mem.h"
#include "connection/platform_state.h"

/* A platform object holds up to 1 MB; a VM list of 810 nodes about 200 kB. */
enum { ANSWER_MAX_BYTES = 2 * 1024 * 1024 };

static void finish_vms(platform_call_t *call, platform_status_t status)
{
	platform_vm_t *vms = NULL;
	size_t count = 0;
	err_t err;

	if (status == PLATFORM_OK) {
		vms = platform_parse_vms(call->data, call->size_bytes, &count,
					 &err);
		if (!vms) {
			log_event(EVENT_PLATFORM_BAD_ANSWER, "problem=\"%s\"",
				  err.message);
			status = PLATFORM_UNKNOWN;
		}
	}
	call->vms_done(call->context, status, vms, vms ? count : 0);
	free(vms);
}

static void finish_list(platform_call_t *call, platform_status_t status)
{
	platform_object_t *objects = NULL;
	char next[PLATFORM_NEXT_SIZE_BYTES] = "";
	json_t *root = NULL;
	size_t count = 0;
	err_t err;

	if (status == PLATFORM_OK) {
		objects = platform_parse_list(call->data, call->size_bytes,
					      &root, &count, next, &err);
		if (!objects) {
			log_event(EVENT_PLATFORM_BAD_ANSWER, "problem=\"%s\"",
				  err.message);
			status = PLATFORM_UNKNOWN;
		}
	}
	call->list_done(call->context, status, objects, objects ? count : 0,
			next);
	free(objects);
	json_decref(root);
}

static void finish_object(platform_call_t *call, platform_status_t status)
{
	platform_object_t object;
	json_t *root = NULL;
	err_t err;

	if (status == PLATFORM_OK && call->type != PLATFORM_CALL_WATCH &&
	    call->type != PLATFORM_CALL_DELETE) {
		root = platform_parse_object(call->data, call->size_bytes,
					     &object, &err);
		if (!root) {
			log_event(EVENT_PLATFORM_BAD_ANSWER, "problem=\"%s\"",
				  err.message);
			status = PLATFORM_UNKNOWN;
		}
	}
	call->done(call->context, status, root ? &object : NULL);
	json_decref(root);
}

static void on_end(void *context, client_end_t end, int http_status)
{
	platform_call_t *call = context;
	platform_status_t status =
		platform_status(call->type, end, http_status);

	call->handle = NULL;
	if (status == PLATFORM_OK && call->overflow)
		status = PLATFORM_UNKNOWN;
	platform_note_status(call->platform, status);
	if (call->type == PLATFORM_CALL_VMS)
		finish_vms(call, status);
	else if (call->type == PLATFORM_CALL_LIST)
		finish_list(call, status);
	else
		finish_object(call, status);
	platform_remove_call(call);
}

/* @return whether the line ended the watch. */
static bool handle_line(platform_call_t *call, const char *line, size_t size)
{
	platform_object_t object;
	json_t *root = NULL;
	platform_status_t status;

	if (!size)
		return false;
	status = platform_parse_event(line, size, &root, &object);
	if (status == PLATFORM_UNKNOWN)
		log_event(EVENT_PLATFORM_BAD_ANSWER,
			  "problem=\"malformed watch line\"");
	if (status == PLATFORM_OK && object.version <= call->version) {
		json_decref(root);
		return false;
	}
	call->done(call->context, status,
		   status == PLATFORM_OK ? &object : NULL);
	json_decref(root);
	return true;
}

/* @return whether a line ended the watch. */
static bool handle_lines(platform_call_t *call)
{
	char *line = call->data, *end = line + call->size_bytes, *newline;

	while ((newline = memchr(line, '\n', (size_t)(end - line)))) {
		if (handle_line(call, line, (size_t)(newline - line)))
			return true;
		line = newline + 1;
	}
	call->size_bytes = (size_t)(end - line);
	memmove(call->data, line, call->size_bytes);
	return false;
}

static client_flow_t on_data(void *context, const void *data, size_t size)
{
	platform_call_t *call = context;

	if (call->overflow || size > ANSWER_MAX_BYTES - call->size_bytes) {
		call->overflow = true;
		return CLIENT_CONTINUE;
	}
	call->data = mem_realloc(call->data, call->size_bytes + size, 1);
	memcpy(call->data + call->size_bytes, data, size);
	call->size_bytes += size;
	if (call->type == PLATFORM_CALL_WATCH && handle_lines(call)) {
		client_call_cancel(call->handle);
		platform_remove_call(call);
	}
	return CLIENT_CONTINUE;
}

const client_handler_t platform_call_handler = { .on_data = on_data,
						 .on_end = on_end };

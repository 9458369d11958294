#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "connection/client.h"
#include "ctl/ctl.h"

enum { STATUS_MAX_BYTES = 16 * 1024 * 1024, TIMEOUT_MS = 5000 };

/** Answer of a node to a request for its status. */
typedef struct {
	struct ev_loop *loop; /**< stopped when the answer is complete */
	client_end_t end;
	int status; /**< HTTP status */
	char *body; /**< freed by read_status() */
} reply_t;

static void on_done(void *context, client_end_t end, int status,
		    const char *body, size_t size)
{
	reply_t *reply = context;

	reply->end = end;
	reply->status = status;
	reply->body = mem_copy(body, size);
	ev_break(reply->loop, EVBREAK_ALL);
}

/** Requests a URL and waits for the answer. */
static void fetch(const ctl_fetch_t *wanted, client_t *client, reply_t *reply)
{
	const char *headers[] = { wanted->header, NULL };
	client_request_t request = {
		.method = "GET",
		.url = wanted->url,
		.headers = headers,
		.connect_timeout_ms = TIMEOUT_MS,
		.idle_timeout_ms = TIMEOUT_MS,
		.total_timeout_ms = TIMEOUT_MS,
		.ca_path = wanted->ca_path,
	};

	client_fetch(client, &request, STATUS_MAX_BYTES, on_done, reply);
	ev_run(reply->loop, 0);
}

json_t *ctl_fetch_json(const ctl_fetch_t *wanted, exit_code_t *code)
{
	reply_t reply = { .loop = NULL };
	client_t *client;
	json_t *json = NULL;
	err_t err = { 0 };

	*code = EXIT_FAILED;
	reply.loop = ev_loop_new(EVFLAG_AUTO);
	client = client_create(reply.loop, &err);
	if (!client) {
		ctl_error("%s", err.message);
		ev_loop_destroy(reply.loop);
		return NULL;
	}
	fetch(wanted, client, &reply);
	client_destroy(client);
	ev_loop_destroy(reply.loop);
	if (reply.end != CLIENT_OK) {
		ctl_error("%s: no answer from the node", wanted->address);
		*code = EXIT_UNREACHABLE;
	} else if (reply.status != 200) {
		ctl_error("%s: the node answered with HTTP status %d%s%s",
			  wanted->address, reply.status,
			  wanted->shows_errors ? " " : "",
			  wanted->shows_errors ? reply.body : "");
	} else {
		json = json_loads(reply.body, 0, NULL);
		if (!json)
			ctl_error("%s: the node's answer is not JSON",
				  wanted->address);
	}
	free(reply.body);
	return json;
}

/**
 * Reads the status of the node that the settings name.
 * @param code set to the exit code for the error
 * @return NULL after printing the error
 */
static json_t *read_status(const invocation_t *invocation, exit_code_t *code)
{
	char url[URL_SIZE_BYTES + 32], authorization[NAME_SIZE_BYTES + 32];
	settings_t settings;
	ctl_fetch_t wanted = { .url = url, .header = authorization };

	*code = EXIT_FAILED;
	if (!ctl_settings(invocation, &settings))
		return NULL;
	wanted.address = settings.operator_address;
	if (*settings.operator_certificate)
		wanted.ca_path = settings.operator_certificate;
	snprintf(url, sizeof(url), "%s://%s/status",
		 wanted.ca_path ? "https" : "http", settings.operator_address);
	snprintf(authorization, sizeof(authorization),
		 "Authorization: Bearer %s", settings.operator_token);
	return ctl_fetch_json(&wanted, code);
}

/** Prints a JSON value and its nested values as PATH: VALUE lines. */
static void print_value(const char *path, const json_t *value)
{
	char child[256];
	const char *key;
	json_t *member;
	size_t i;

	if (json_is_object(value)) {
		json_object_foreach((json_t *)value, key, member)
		{
			snprintf(child, sizeof(child), "%s%s%s", path,
				 *path ? "." : "", key);
			print_value(child, member);
		}
	} else if (json_is_array(value)) {
		json_array_foreach(value, i, member)
		{
			snprintf(child, sizeof(child), "%s[%zu]", path, i);
			print_value(child, member);
		}
	} else if (json_is_string(value)) {
		printf("%s: %s\n", path, json_string_value(value));
	} else {
		printf("%s: ", path);
		ctl_print_json(value);
	}
}

exit_code_t command_status(const invocation_t *invocation)
{
	exit_code_t code;
	json_t *status = read_status(invocation, &code);

	if (!status)
		return code;
	if (invocation->json)
		ctl_print_json(status);
	else
		print_value("", status);
	json_decref(status);
	return EXIT_OK;
}

/** @return the string under @p key; "-" if the member is missing or not a
 * string */
static const char *text_or_dash(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}

exit_code_t command_member_list(const invocation_t *invocation)
{
	exit_code_t code;
	json_t *status = read_status(invocation, &code);
	const json_t *members, *member;
	size_t i;

	if (!status)
		return code;
	members = json_object_get(status, "members");
	if (invocation->json) {
		ctl_print_json(members);
	} else {
		json_array_foreach(members, i, member)
			printf("%s %s %s %s\n", text_or_dash(member, "id"),
			       text_or_dash(member, "data_centre"),
			       text_or_dash(member, "state"),
			       text_or_dash(member, "address"));
	}
	json_decref(status);
	return EXIT_OK;
}

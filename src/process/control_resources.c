#include <stdio.h>

#include "base/mem.h"
#include "process/control_credits.h"

void credit_resource_key(char key[KEY_SIZE_BYTES], const resource_t *resource)
{
	snprintf(key, KEY_SIZE_BYTES, "%d %s", resource->kind, resource->name);
}

/* @return the new or existing entry, marked as listed by the configuration */
static credit_resource_t *add_entry(control_credits_t *credits,
				    resource_kind_t kind, const char *name,
				    const char *data_centre)
{
	resource_t resource = { .kind = kind };
	credit_resource_t *entry;
	char key[KEY_SIZE_BYTES];

	mem_strlcpy(resource.name, name, sizeof(resource.name));
	credit_resource_key(key, &resource);
	HASH_FIND_STR(credits->entries, key, entry);
	if (!entry) {
		entry = mem_calloc(1, sizeof(*entry));
		entry->resource = resource;
		mem_strlcpy(entry->key, key, sizeof(entry->key));
		HASH_ADD_STR(credits->entries, key, entry);
	}
	mem_strlcpy(entry->data_centre, data_centre,
		    sizeof(entry->data_centre));
	entry->listed = true;
	return entry;
}

static void add_servers(control_credits_t *credits, document_t *document)
{
	const server_conf_t *conf;
	credit_resource_t *entry;
	size_t i;

	for (i = 0; (conf = document_server_at(document, i)); i++) {
		entry = add_entry(credits, RESOURCE_SERVER, conf->name,
				  conf->data_centre);
		entry->limit.amount.kv_tokens = conf->kv_tokens;
		entry->limit.amount.slots = conf->max_requests;
		entry->retired = !document_server_in_service(document, conf);
	}
}

/*
 * @return the number of data centres that are not retired; at least 1, because
 *         the result is used as a divisor
 */
static int64_t data_centres_in_service(const document_t *document)
{
	const data_centre_conf_t *conf;
	int64_t count = 0;
	size_t i;

	for (i = 0; (conf = document_data_centre_at(document, i)); i++)
		if (!conf->retired)
			count++;
	return count ? count : 1;
}

/*
 * Each data centre in service may use an equal fraction of an account's rate,
 * rounded up to a whole request per second.
 */
static void add_accounts(control_credits_t *credits, document_t *document)
{
	int64_t data_centres = data_centres_in_service(document);
	const account_conf_t *conf;
	credit_resource_t *entry;
	size_t i;

	for (i = 0; (conf = document_account_at(document, i)); i++) {
		if (!conf->requests_per_s)
			continue;
		entry = add_entry(credits, RESOURCE_ACCOUNT, conf->name,
				  credits->control->settings.data_centre);
		entry->limit.requests_per_s =
			(conf->requests_per_s + data_centres - 1) /
			data_centres;
	}
}

/* Limits the weight loads that run at once in this data centre. */
static void add_weight_loads(control_credits_t *credits, document_t *document)
{
	const char *local = credits->control->settings.data_centre;
	credit_resource_t *entry =
		add_entry(credits, RESOURCE_WEIGHT_LOAD, local, local);

	entry->limit.amount.slots = document_limits(document)->weight_loads_max;
}

void credit_resources_list(control_credits_t *credits, document_t *document)
{
	add_servers(credits, document);
	add_accounts(credits, document);
	add_weight_loads(credits, document);
}

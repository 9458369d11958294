#include "process/settings.h"

#include <errno.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>
#include <zmq.h>

#include "base/mem.h"
#include "process/settings_table.h"

/** Location of a value in a settings file, for error messages. */
typedef struct {
	const char *path;
	size_t line; /**< line number, from 1; 0 for a default value */
	const setting_t *setting;
} location_t;

static bool value_error(const location_t *location, const char *problem,
			err_t *err)
{
	return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_VALUE,
		       "%s:%zu: %s.%s: %s", location->path, location->line,
		       location->setting->section, location->setting->key,
		       problem);
}

/** A unit that may follow a number; a list of units ends with a NULL text. */
typedef struct {
	const char *text;
	int64_t factor; /**< the unit, in ms or bytes */
} unit_t;

static const unit_t durations[] = { { "ms", 1 },
				    { "s", 1000 },
				    { "min", 60000 },
				    { "h", 3600000 },
				    { NULL, 0 } };
static const unit_t sizes[] = {
	{ "KiB", KIB }, { "MiB", MIB }, { "GiB", GIB }, { NULL, 0 }
};
static const unit_t no_unit[] = { { "", 1 }, { NULL, 0 } };

/* Reads a non-negative number that is followed by one of the units, and checks
 * its range.
 * @param value set to the number in ms or bytes, or without a unit */
static bool read_number(const char *text, const unit_t *units,
			const location_t *location, int64_t *value, err_t *err)
{
	const setting_t *setting = location->setting;
	char problem[128], *end;
	const unit_t *unit;
	long long number;

	errno = 0;
	number = strtoll(text, &end, 10);
	if (end == text || errno || *text < '0' || *text > '9')
		return value_error(location, "expected a number", err);
	for (unit = units; unit->text; unit++)
		if (!strcmp(end, unit->text))
			break;
	if (!unit->text) {
		snprintf(problem, sizeof(problem),
			 units == no_unit ? "expected a number without a unit"
					  : "expected a unit such as %s or %s",
			 units[0].text, units[1].text);
		return value_error(location, problem, err);
	}
	if (number > INT64_MAX / unit->factor ||
	    number * unit->factor < setting->min ||
	    number * unit->factor > setting->max) {
		snprintf(problem, sizeof(problem),
			 "out of range, from %" PRId64 " to %" PRId64 "%s",
			 setting->min, setting->max,
			 units == durations ? " ms"
			 : units == sizes   ? " bytes"
					    : "");
		return value_error(location, problem, err);
	}
	*value = number * unit->factor;
	return true;
}

/* Checks the port of IPV4:PORT or [IPV6]:PORT, but only the characters of the
 * IP address.
 * @return false for port 0 too, since no connection can be made to port 0 */
static bool is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end;
	long port;

	if (!colon || colon == text)
		return false;
	port = strtol(colon + 1, &end, 10);
	return !*end && port > 0 && port <= UINT16_MAX &&
	       strspn(text, "0123456789abcdefABCDEF.:[]") == strlen(text);
}

static bool read_enum(const char *text, const location_t *location, int *target,
		      err_t *err)
{
	const char *const *values = location->setting->values;
	char problem[160] = "expected one of";
	size_t length;
	int i;

	for (i = 0; values[i]; i++) {
		if (!strcmp(values[i], text)) {
			*target = i;
			return true;
		}
	}
	for (i = 0; values[i]; i++) {
		length = strlen(problem);
		snprintf(problem + length, sizeof(problem) - length, " %s",
			 values[i]);
	}
	return value_error(location, problem, err);
}

static bool read_text(const char *text, const location_t *location,
		      char *target, err_t *err)
{
	const setting_t *setting = location->setting;
	char problem[96];

	if (strlen(text) >= setting->size_bytes ||
	    (int64_t)strlen(text) < setting->min) {
		snprintf(problem, sizeof(problem),
			 "expected %" PRId64 " to %zu characters", setting->min,
			 setting->size_bytes - 1);
		return value_error(location, problem, err);
	}
	mem_strlcpy(target, text, setting->size_bytes);
	return true;
}

static bool read_value(const char *text, const location_t *location,
		       settings_t *settings, err_t *err)
{
	char *target = (char *)settings + location->setting->offset_bytes;
	int64_t number = 0;

	switch (location->setting->type) {
	case SETTING_ADDRESS:
		if (!is_address(text))
			return value_error(location, "expected ADDRESS:PORT",
					   err);
		return read_text(text, location, target, err);
	case SETTING_TEXT:
		return read_text(text, location, target, err);
	case SETTING_INT32:
		if (!read_number(text, no_unit, location, &number, err))
			return false;
		*(int32_t *)(void *)target = (int32_t)number;
		return true;
	case SETTING_DURATION_MS:
		return read_number(text, durations, location,
				   (int64_t *)(void *)target, err);
	case SETTING_SIZE_BYTES:
		return read_number(text, sizes, location,
				   (int64_t *)(void *)target, err);
	case SETTING_ENUM:
		return read_enum(text, location, (int *)(void *)target, err);
	}
	return false;
}

static bool key_error(const char *path, const yaml_node_t *node,
		      const char *section, const char *key, const char *problem,
		      err_t *err)
{
	return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_KEY,
		       "%s:%zu: %s%s%s: %s", path, node->start_mark.line + 1,
		       section, *key ? "." : "", key, problem);
}

/* @return the text of @p node; NULL if @p node is NULL or not a scalar */
static const char *scalar(const yaml_node_t *node)
{
	return node && node->type == YAML_SCALAR_NODE
		       ? (const char *)node->data.scalar.value
		       : NULL;
}

/* @param key NULL for any key of the section
 * @return an index of settings_table; -1 if the key or section is unknown */
static int find_setting(const char *section, const char *key)
{
	int i;

	for (i = 0; (size_t)i < settings_table_count; i++)
		if (!strcmp(settings_table[i].section, section) &&
		    (!key || !strcmp(settings_table[i].key, key)))
			return i;
	return -1;
}

static bool read_pair(const char *path, const char *section,
		      const yaml_node_t *key_node,
		      const yaml_node_t *value_node, bool seen[],
		      settings_t *settings, err_t *err)
{
	const char *key = scalar(key_node), *text = scalar(value_node);
	location_t location = { .path = path };
	int i;

	if (!key)
		return key_error(path, key_node, section, "",
				 "expected keys with values", err);
	i = find_setting(section, key);
	if (i < 0)
		return key_error(path, key_node, section, key, "unknown key",
				 err);
	if (seen[i])
		return key_error(path, key_node, section, key,
				 "stands more than once", err);
	seen[i] = true;
	location.setting = &settings_table[i];
	location.line = value_node->start_mark.line + 1;
	if (!text)
		return value_error(&location, "expected a single value", err);
	return read_value(text, &location, settings, err);
}

static bool read_section(const char *path, yaml_document_t *document,
			 const yaml_node_t *name_node,
			 const yaml_node_t *section_node, bool seen[],
			 settings_t *settings, err_t *err)
{
	const char *section = scalar(name_node);
	const yaml_node_pair_t *pair;

	if (!section || find_setting(section, NULL) < 0)
		return key_error(path, name_node, section ? section : "?", "",
				 "unknown section", err);
	if (section_node->type != YAML_MAPPING_NODE)
		return key_error(path, name_node, section, "",
				 "expected keys with values", err);
	for (pair = section_node->data.mapping.pairs.start;
	     pair < section_node->data.mapping.pairs.top; pair++)
		if (!read_pair(path, section,
			       yaml_document_get_node(document, pair->key),
			       yaml_document_get_node(document, pair->value),
			       seen, settings, err))
			return false;
	return true;
}

static bool read_root(const char *path, yaml_document_t *document, bool seen[],
		      settings_t *settings, err_t *err)
{
	const yaml_node_t *root = yaml_document_get_root_node(document);
	const yaml_node_pair_t *pair;

	if (!root || root->type != YAML_MAPPING_NODE)
		return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_SYNTAX,
			       "%s:1: expected sections with keys", path);
	for (pair = root->data.mapping.pairs.start;
	     pair < root->data.mapping.pairs.top; pair++)
		if (!read_section(path, document,
				  yaml_document_get_node(document, pair->key),
				  yaml_document_get_node(document, pair->value),
				  seen, settings, err))
			return false;
	return true;
}

/** The program that loads the settings; the tool needs fewer of the keys. */
typedef enum { PROGRAM_DAEMON, PROGRAM_TOOL } program_t;

/* @return true if the program needs a value of the key */
static bool is_required(program_t program, const setting_t *setting)
{
	return program == PROGRAM_DAEMON ||
	       !strcmp(setting->section, "platform") ||
	       !strcmp(setting->section, "operators");
}

/* Sets the keys that are missing in the file to their default values. A missing
 * key without a default value is an error. Keys that the program does not
 * require are skipped. */
static bool apply_defaults(const char *path, program_t program,
			   const bool seen[], settings_t *settings, err_t *err)
{
	location_t location = { .path = path };
	int i;

	for (i = 0; (size_t)i < settings_table_count; i++) {
		location.setting = &settings_table[i];
		if (seen[i] || !is_required(program, &settings_table[i]))
			continue;
		if (!settings_table[i].default_text)
			return err_set(err, ERR_LAYER_SETTINGS,
				       SETTINGS_ERR_KEY, "%s: %s.%s: missing",
				       path, settings_table[i].section,
				       settings_table[i].key);
		if (!read_value(settings_table[i].default_text, &location,
				settings, err))
			return false;
	}
	return true;
}

/* Refuses a public key that does not belong to the secret key: connections
 * between nodes would fail without an error message at either end. */
static bool check_peer_keys(const char *path, const settings_t *settings,
			    err_t *err)
{
	char public_key[CURVE_KEY_SIZE_BYTES];

	if (!zmq_curve_public(public_key, settings->peer_secret_key) &&
	    !strcmp(public_key, settings->peer_public_key))
		return true;
	return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_VALUE,
		       "%s: peers: public_key does not belong to secret_key; "
		       "generate a key pair with `chivestage keys`",
		       path);
}

/* Checks rules that concern two keys or the form of the VM id. */
static bool check_related_keys(const char *path, const settings_t *settings,
			       err_t *err)
{
	if (!*settings->caller_certificate != !*settings->caller_key)
		return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_KEY,
			       "%s: callers: set both certificate and key, "
			       "or neither",
			       path);
	if (!*settings->operator_certificate != !*settings->operator_key)
		return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_KEY,
			       "%s: operators: set both certificate and key, "
			       "or neither",
			       path);
	if (strpbrk(settings->vm_id, "./ \t\"") || settings->vm_id[0] == '-')
		return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_VALUE,
			       "%s: vm.id: expected a name without '.', '/', "
			       "'\"', spaces, tabs and a leading '-'",
			       path);
	return true;
}

static bool load(const char *path, program_t program, settings_t *settings,
		 err_t *err)
{
	bool seen[SETTINGS_MAX] = { false }, loaded;
	yaml_document_t document;
	yaml_parser_t parser;
	FILE *file = fopen(path, "r");

	memset(settings, 0, sizeof(*settings));
	if (!file)
		return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_FILE,
			       "%s: %s", path, strerror(errno));
	if (!yaml_parser_initialize(&parser)) {
		fclose(file);
		return err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_FILE,
			       "%s: cannot initialize the YAML parser", path);
	}
	yaml_parser_set_input_file(&parser, file);
	loaded = yaml_parser_load(&parser, &document);
	if (!loaded) {
		err_set(err, ERR_LAYER_SETTINGS, SETTINGS_ERR_SYNTAX,
			"%s:%zu: %s", path, parser.problem_mark.line + 1,
			parser.problem ? parser.problem : "not YAML");
	} else {
		loaded = read_root(path, &document, seen, settings, err) &&
			 apply_defaults(path, program, seen, settings, err) &&
			 check_related_keys(path, settings, err);
		yaml_document_delete(&document);
	}
	yaml_parser_delete(&parser);
	fclose(file);
	return loaded;
}

bool settings_load(const char *path, settings_t *settings, err_t *err)
{
	return load(path, PROGRAM_DAEMON, settings, err) &&
	       check_peer_keys(path, settings, err);
}

bool settings_load_tool(const char *path, settings_t *settings, err_t *err)
{
	return load(path, PROGRAM_TOOL, settings, err);
}

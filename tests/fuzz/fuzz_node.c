/**
 * Fuzzes the input of a gateway node: datagrams of other nodes, answers of the
 * store, settings, and headers of servers' answers. The first byte selects the
 * decoder. Fails if the node crashes or if the load of a server becomes
 * negative.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "platform/codec.h"
#include "platform/config.h"
#include "platform/headers.h"
#include "platform/settings.h"
#include "process/packet.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_loads(const load_table_t *table,
			const announcement_t *announcement, int64_t now_us)
{
	static const engine_profile_t engine = { .present = true,
						 .steps_per_iteration = 50,
						 .step_us = 1000 };
	size_t i;

	for (i = 0; i < announcement->item_count; i++) {
		server_load_t load = { 0 };

		load_table_add_load(table, announcement->items[i].server_hash,
				    &engine, &load, now_us);
		if (load.backlog_us < 0 || load.prefilling < 0 ||
		    load.decoding < 0 || load.kv_tokens < 0)
			abort();
	}
}

static void receive_packet(load_table_t *table, const uint8_t *data,
			   size_t size, int64_t now_us)
{
	packet_t packet;
	uint8_t again[PACKET_SIZE_MAX_BYTES];

	if (!packet_decode(&packet, data, size))
		return;
	if (packet.type == PACKET_LOAD) {
		load_table_receive(table, &packet.as.load, now_us, now_us);
		check_loads(table, &packet.as.load, now_us);
		/* Once more 1 s later. The load table ignores a node after a
		 * longer silence. */
		check_loads(table, &packet.as.load, now_us + US_PER_S);
	}
	if (packet.type == PACKET_USAGE) {
		usage_t *usage = usage_create(1, 1);
		usage_count_t *counts;
		size_t count;

		usage_receive(usage, &packet.as.usage);
		count = usage_sum(usage, packet.as.usage.window, &counts);
		usage_free_counts(counts, count);
		usage_complete(usage, packet.as.usage.window);
		usage_destroy(usage);
	}
	/* A decoded packet can be encoded again, or is too large for a
	 * datagram. */
	if (packet_encode(&packet, again, sizeof(again)) > sizeof(again))
		abort();
	packet_clear(&packet);
}

/* Each datagram begins with its size. All datagrams are received a second time
 * in reverse order. */
static void receive_datagrams(const uint8_t *data, size_t size)
{
	enum { DATAGRAMS_MAX = 16 };
	load_table_t *table = load_table_create();
	const uint8_t *starts[DATAGRAMS_MAX];
	size_t sizes[DATAGRAMS_MAX], count = 0, i;

	while (size && count < DATAGRAMS_MAX) {
		size_t length = *data++;

		size--;
		if (length > size)
			length = size;
		starts[count] = data;
		sizes[count++] = length;
		data += length;
		size -= length;
	}
	for (i = 0; i < count; i++)
		receive_packet(table, starts[i], sizes[i], (int64_t)i * 1000);
	for (i = count; i > 0; i--)
		receive_packet(table, starts[i - 1], sizes[i - 1], US_PER_S);
	load_table_expire(table, 100 * US_PER_S);
	load_table_destroy(table);
}

static void parse_page(const char *text, size_t size)
{
	platform_parsed_page_t parsed;
	backend_entry_t entry;
	size_t i, count;
	err_t err;

	if (platform_parse_page(text, size, 0, &parsed, &err)) {
		for (i = 0; i < parsed.page.count; i++) {
			const platform_object_t *object =
				&parsed.page.objects[i];

			platform_decode_server(object, &entry);
			routing_unref(
				platform_decode_routing(object->spec, &err));
		}
		platform_page_clear(&parsed);
	}
	free(platform_parse_vms(text, size, &count, &err));
}

static void parse_configuration(const char *text, size_t size)
{
	json_t *spec = json_loadb(text, size, JSON_DECODE_ANY, NULL);
	platform_object_t object = { .spec = spec };
	backend_entry_t entry;
	err_t err;

	if (!spec)
		return;
	routing_unref(platform_decode_routing(spec, &err));
	platform_decode_server(&object, &entry);
	json_decref(spec);
}

static void parse_settings(const char *text)
{
	node_settings_t settings;
	err_t err;

	platform_settings_parse("f", text, &settings, &err);
}

static void parse_reply_header(char *text)
{
	server_reply_t reply = { .status = 0 };
	char *value = strchr(text, ':');

	if (!value)
		return;
	*value++ = '\0';
	platform_read_reply_header(text, value, "r1", &reply);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	char *text;

	if (!size)
		return 0;
	text = mem_copy((const char *)data + 1, size - 1);
	switch (data[0] % 5) {
	case 0:
		receive_datagrams(data + 1, size - 1);
		break;
	case 1:
		parse_page(text, size - 1);
		break;
	case 2:
		parse_configuration(text, size - 1);
		break;
	case 3:
		parse_settings(text);
		break;
	default:
		parse_reply_header(text);
		break;
	}
	free(text);
	return 0;
}

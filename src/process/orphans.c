#include "process/orphans.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/mem.h"

/** A VM that runs or ran a node. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	bool known; /**< the membership view had the VM as alive once */
	bool alive; /**< the membership view has the VM as alive */
	bool listed; /**< the platform's VM list has the VM */
	uint64_t incarnation; /**< incarnation of the VM's process; 0: none seen
				 yet */
	UT_hash_handle hh;
} node_t;

/** Hash key of a stream; unused bytes are 0. */
typedef struct {
	char server[NAME_SIZE_BYTES];
	char id[STREAM_ID_SIZE_BYTES];
} stream_key_t;

/** An orphaned stream in the list of a server. */
typedef struct {
	stream_key_t key;
	stream_id_t id;
	int64_t due_us; /**< when the next cancellation is due */
	uint64_t list; /**< number of the last list with the stream */
	UT_hash_handle hh;
} stream_t;

struct orphans {
	node_t *nodes; /**< hash table by VM id */
	stream_t *streams; /**< hash table by key */
	bool has_vm_list; /**< the platform's VM list was received */
	uint64_t list; /**< number of the newest list of streams */
};

orphans_t *orphans_create(void)
{
	return mem_calloc(1, sizeof(orphans_t));
}

static void remove_stream(orphans_t *orphans, stream_t *stream)
{
	HASH_DEL(orphans->streams, stream);
	free(stream);
}

void orphans_destroy(orphans_t *orphans)
{
	node_t *node, *next_node;
	stream_t *stream, *next_stream;

	if (!orphans)
		return;
	HASH_ITER (hh, orphans->nodes, node, next_node) {
		HASH_DEL(orphans->nodes, node);
		free(node);
	}
	HASH_ITER (hh, orphans->streams, stream, next_stream)
		remove_stream(orphans, stream);
	free(orphans);
}

static node_t *get_node(orphans_t *orphans, const char *vm_id)
{
	node_t *node;

	HASH_FIND_STR(orphans->nodes, vm_id, node);
	if (node)
		return node;
	node = mem_calloc(1, sizeof(*node));
	mem_strlcpy(node->vm_id, vm_id, sizeof(node->vm_id));
	HASH_ADD_STR(orphans->nodes, vm_id, node);
	return node;
}

void orphans_node_alive(orphans_t *orphans, const char *vm_id,
			uint64_t incarnation)
{
	node_t *node = get_node(orphans, vm_id);

	node->known = node->alive = true;
	node->incarnation = incarnation;
}

void orphans_node_dead(orphans_t *orphans, const char *vm_id)
{
	get_node(orphans, vm_id)->alive = false;
}

void orphans_set_vms(orphans_t *orphans, const char *const *vm_ids,
		     size_t count)
{
	node_t *node, *next;
	size_t i;

	orphans->has_vm_list = true;
	HASH_ITER (hh, orphans->nodes, node, next)
		node->listed = false;
	for (i = 0; i < count; i++)
		get_node(orphans, vm_ids[i])->listed = true;
	HASH_ITER (hh, orphans->nodes, node, next) {
		if (node->alive || node->listed)
			continue;
		HASH_DEL(orphans->nodes, node);
		free(node);
	}
}

static node_t *find_node(const orphans_t *orphans, const stream_id_t *id)
{
	node_t *node;

	HASH_FIND_STR(orphans->nodes, id->vm_id, node);
	return node;
}

static bool is_orphan(const orphans_t *orphans, const stream_id_t *id)
{
	const node_t *node = find_node(orphans, id);

	if (node && node->alive)
		return node->incarnation != id->incarnation;
	return orphans->has_vm_list && !(node && node->listed);
}

/* @return for how long a new orphan must be listed before it is cancelled */
static int64_t grace_us(const orphans_t *orphans, const stream_id_t *id)
{
	const node_t *node = find_node(orphans, id);

	return node && node->known ? ORPHAN_GRACE_US : ORPHAN_UNKNOWN_GRACE_US;
}

/* Tracks a listed stream if it is orphaned. */
static void track_stream(orphans_t *orphans, const char *server,
			 const char *text, int64_t now_us)
{
	stream_key_t key = { 0 };
	stream_t *stream;
	stream_id_t id;

	if (!stream_id_parse(text, &id) || !is_orphan(orphans, &id) ||
	    mem_strlcpy(key.server, server, sizeof(key.server)) ||
	    mem_strlcpy(key.id, text, sizeof(key.id)))
		return;
	HASH_FIND(hh, orphans->streams, &key, sizeof(key), stream);
	if (!stream && orphans_count(orphans) >= ORPHAN_STREAMS_MAX)
		return;
	if (!stream) {
		stream = mem_calloc(1, sizeof(*stream));
		stream->key = key;
		stream->id = id;
		stream->due_us = now_us + grace_us(orphans, &id);
		HASH_ADD(hh, orphans->streams, key, sizeof(key), stream);
	}
	stream->list = orphans->list;
}

/* Removes streams of a server that are not in its newest list. */
static void remove_unlisted(orphans_t *orphans, const char *server)
{
	stream_t *stream, *next;

	HASH_ITER (hh, orphans->streams, stream, next)
		if (stream->list != orphans->list &&
		    !strcmp(stream->key.server, server))
			remove_stream(orphans, stream);
}

void orphans_apply_list(orphans_t *orphans, const char *server,
			const char *const *ids, size_t count, int64_t now_us)
{
	size_t i;

	orphans->list++;
	for (i = 0; i < count; i++)
		track_stream(orphans, server, ids[i], now_us);
	remove_unlisted(orphans, server);
}

void orphans_remove_server(orphans_t *orphans, const char *server)
{
	orphans->list++;
	remove_unlisted(orphans, server);
}

bool orphans_next_cancel(orphans_t *orphans, orphan_cancel_t *cancel,
			 int64_t now_us)
{
	stream_t *stream, *next;

	HASH_ITER (hh, orphans->streams, stream, next) {
		/* The node may have been seen alive since the list. */
		if (!is_orphan(orphans, &stream->id)) {
			remove_stream(orphans, stream);
			continue;
		}
		if (now_us < stream->due_us)
			continue;
		stream->due_us = now_us + ORPHAN_REPEAT_US;
		cancel->server = stream->key.server;
		cancel->id = stream->key.id;
		return true;
	}
	return false;
}

size_t orphans_count(const orphans_t *orphans)
{
	return HASH_COUNT(orphans->streams);
}

#include "process/janitor.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/mem.h"

/** What is known of a VM. */
typedef struct {
	char vm_id[NAME_SIZE_BYTES];
	bool known; /**< the membership view has or had it */
	bool alive;
	bool listed; /**< in the platform's list */
	uint64_t incarnation;
	UT_hash_handle hh;
} holder_t;

typedef struct {
	char server[NAME_SIZE_BYTES];
	char id[STREAM_ID_SIZE_BYTES];
} stream_key_t;

/** A listed stream whose holder is gone. */
typedef struct {
	stream_key_t key;
	stream_id_t id;
	int64_t due_us; /**< when to cancel it next */
	uint64_t list; /**< number of the list that showed it last */
	UT_hash_handle hh;
} stream_t;

struct janitor {
	holder_t *holders;
	stream_t *streams;
	bool has_vm_list;
	uint64_t list;
};

janitor_t *janitor_create(void)
{
	return mem_calloc(1, sizeof(janitor_t));
}

static void drop(janitor_t *janitor, stream_t *stream)
{
	HASH_DEL(janitor->streams, stream);
	free(stream);
}

void janitor_destroy(janitor_t *janitor)
{
	holder_t *holder, *next_holder;
	stream_t *stream, *next_stream;

	if (!janitor)
		return;
	HASH_ITER (hh, janitor->holders, holder, next_holder) {
		HASH_DEL(janitor->holders, holder);
		free(holder);
	}
	HASH_ITER (hh, janitor->streams, stream, next_stream)
		drop(janitor, stream);
	free(janitor);
}

static holder_t *get_holder(janitor_t *janitor, const char *vm_id)
{
	holder_t *holder;

	HASH_FIND_STR(janitor->holders, vm_id, holder);
	if (holder)
		return holder;
	holder = mem_calloc(1, sizeof(*holder));
	mem_strlcpy(holder->vm_id, vm_id, sizeof(holder->vm_id));
	HASH_ADD_STR(janitor->holders, vm_id, holder);
	return holder;
}

void janitor_holder_seen(janitor_t *janitor, const char *vm_id,
			 uint64_t incarnation)
{
	holder_t *holder = get_holder(janitor, vm_id);

	holder->known = holder->alive = true;
	holder->incarnation = incarnation;
}

void janitor_holder_dead(janitor_t *janitor, const char *vm_id)
{
	get_holder(janitor, vm_id)->alive = false;
}

void janitor_vm_list(janitor_t *janitor, const char *const *vm_ids,
		     size_t count)
{
	holder_t *holder, *next;
	size_t i;

	janitor->has_vm_list = true;
	HASH_ITER (hh, janitor->holders, holder, next)
		holder->listed = false;
	for (i = 0; i < count; i++)
		get_holder(janitor, vm_ids[i])->listed = true;
	HASH_ITER (hh, janitor->holders, holder, next) {
		if (holder->alive || holder->listed)
			continue;
		HASH_DEL(janitor->holders, holder);
		free(holder);
	}
}

static holder_t *find_holder(const janitor_t *janitor, const stream_id_t *id)
{
	holder_t *holder;

	HASH_FIND_STR(janitor->holders, id->vm_id, holder);
	return holder;
}

static bool is_orphan(const janitor_t *janitor, const stream_id_t *id)
{
	const holder_t *holder = find_holder(janitor, id);

	if (holder && holder->alive)
		return holder->incarnation != id->incarnation;
	return janitor->has_vm_list && !(holder && holder->listed);
}

static int64_t grace_us(const janitor_t *janitor, const stream_id_t *id)
{
	const holder_t *holder = find_holder(janitor, id);

	return holder && holder->known ? JANITOR_GRACE_US
				       : JANITOR_UNKNOWN_GRACE_US;
}

static void see(janitor_t *janitor, const char *server, const char *text,
		int64_t now_us)
{
	stream_key_t key = { 0 };
	stream_t *stream;
	stream_id_t id;

	if (!stream_id_parse(text, &id) || !is_orphan(janitor, &id) ||
	    mem_strlcpy(key.server, server, sizeof(key.server)) ||
	    mem_strlcpy(key.id, text, sizeof(key.id)))
		return;
	HASH_FIND(hh, janitor->streams, &key, sizeof(key), stream);
	if (!stream && janitor_count(janitor) >= JANITOR_STREAMS_MAX)
		return;
	if (!stream) {
		stream = mem_calloc(1, sizeof(*stream));
		stream->key = key;
		stream->id = id;
		stream->due_us = now_us + grace_us(janitor, &id);
		HASH_ADD(hh, janitor->streams, key, sizeof(key), stream);
	}
	stream->list = janitor->list;
}

/* Drops streams of a server that the newest list does not show. */
static void drop_unlisted(janitor_t *janitor, const char *server)
{
	stream_t *stream, *next;

	HASH_ITER (hh, janitor->streams, stream, next)
		if (stream->list != janitor->list &&
		    !strcmp(stream->key.server, server))
			drop(janitor, stream);
}

void janitor_list(janitor_t *janitor, const char *server,
		  const char *const *ids, size_t count, int64_t now_us)
{
	size_t i;

	janitor->list++;
	for (i = 0; i < count; i++)
		see(janitor, server, ids[i], now_us);
	drop_unlisted(janitor, server);
}

void janitor_forget(janitor_t *janitor, const char *server)
{
	janitor->list++;
	drop_unlisted(janitor, server);
}

bool janitor_next(janitor_t *janitor, janitor_cancel_t *cancel, int64_t now_us)
{
	stream_t *stream, *next;

	HASH_ITER (hh, janitor->streams, stream, next) {
		/* The holder may have turned out to be alive since. */
		if (!is_orphan(janitor, &stream->id)) {
			drop(janitor, stream);
			continue;
		}
		if (now_us < stream->due_us)
			continue;
		stream->due_us = now_us + JANITOR_REPEAT_US;
		cancel->server = stream->key.server;
		cancel->id = stream->key.id;
		return true;
	}
	return false;
}

size_t janitor_count(const janitor_t *janitor)
{
	return HASH_COUNT(janitor->streams);
}

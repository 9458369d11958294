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

struct orphans {
	holder_t *holders;
	stream_t *streams;
	bool has_vm_list;
	uint64_t list;
};

janitor_t *janitor_create(void)
{
	return mem_calloc(1, sizeof(janitor_t));
}

static void drop(janitor_t *orphans, stream_t *stream)
{
	HASH_DEL(orphans->streams, stream);
	free(stream);
}

void janitor_destroy(janitor_t *orphans)
{
	holder_t *holder, *next_holder;
	stream_t *stream, *next_stream;

	if (!orphans)
		return;
	HASH_ITER (hh, orphans->holders, holder, next_holder) {
		HASH_DEL(orphans->holders, holder);
		free(holder);
	}
	HASH_ITER (hh, orphans->streams, stream, next_stream)
		drop(orphans, stream);
	free(orphans);
}

static holder_t *get_holder(janitor_t *orphans, const char *vm_id)
{
	holder_t *holder;

	HASH_FIND_STR(orphans->holders, vm_id, holder);
	if (holder)
		return holder;
	holder = mem_calloc(1, sizeof(*holder));
	mem_strlcpy(holder->vm_id, vm_id, sizeof(holder->vm_id));
	HASH_ADD_STR(orphans->holders, vm_id, holder);
	return holder;
}

void janitor_holder_seen(janitor_t *orphans, const char *vm_id,
			 uint64_t incarnation)
{
	holder_t *holder = get_holder(orphans, vm_id);

	holder->known = holder->alive = true;
	holder->incarnation = incarnation;
}

void janitor_holder_dead(janitor_t *orphans, const char *vm_id)
{
	get_holder(orphans, vm_id)->alive = false;
}

void janitor_vm_list(janitor_t *orphans, const char *const *vm_ids,
		     size_t count)
{
	holder_t *holder, *next;
	size_t i;

	orphans->has_vm_list = true;
	HASH_ITER (hh, orphans->holders, holder, next)
		holder->listed = false;
	for (i = 0; i < count; i++)
		get_holder(orphans, vm_ids[i])->listed = true;
	HASH_ITER (hh, orphans->holders, holder, next) {
		if (holder->alive || holder->listed)
			continue;
		HASH_DEL(orphans->holders, holder);
		free(holder);
	}
}

static holder_t *find_holder(const janitor_t *orphans, const stream_id_t *id)
{
	holder_t *holder;

	HASH_FIND_STR(orphans->holders, id->vm_id, holder);
	return holder;
}

static bool is_orphan(const janitor_t *orphans, const stream_id_t *id)
{
	const holder_t *holder = find_holder(orphans, id);

	if (holder && holder->alive)
		return holder->incarnation != id->incarnation;
	return orphans->has_vm_list && !(holder && holder->listed);
}

static int64_t grace_us(const janitor_t *orphans, const stream_id_t *id)
{
	const holder_t *holder = find_holder(orphans, id);

	return holder && holder->known ? JANITOR_GRACE_US
				       : JANITOR_UNKNOWN_GRACE_US;
}

static void see(janitor_t *orphans, const char *server, const char *text,
		int64_t now_us)
{
	stream_key_t key = { 0 };
	stream_t *stream;
	stream_id_t id;

	if (!stream_id_parse(text, &id) || !is_orphan(orphans, &id) ||
	    mem_strlcpy(key.server, server, sizeof(key.server)) ||
	    mem_strlcpy(key.id, text, sizeof(key.id)))
		return;
	HASH_FIND(hh, orphans->streams, &key, sizeof(key), stream);
	if (!stream && janitor_count(orphans) >= JANITOR_STREAMS_MAX)
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

/* Drops streams of a server that the newest list does not show. */
static void drop_unlisted(janitor_t *orphans, const char *server)
{
	stream_t *stream, *next;

	HASH_ITER (hh, orphans->streams, stream, next)
		if (stream->list != orphans->list &&
		    !strcmp(stream->key.server, server))
			drop(orphans, stream);
}

void janitor_list(janitor_t *orphans, const char *server,
		  const char *const *ids, size_t count, int64_t now_us)
{
	size_t i;

	orphans->list++;
	for (i = 0; i < count; i++)
		see(orphans, server, ids[i], now_us);
	drop_unlisted(orphans, server);
}

void janitor_forget(janitor_t *orphans, const char *server)
{
	orphans->list++;
	drop_unlisted(orphans, server);
}

bool janitor_next(janitor_t *orphans, janitor_cancel_t *cancel, int64_t now_us)
{
	stream_t *stream, *next;

	HASH_ITER (hh, orphans->streams, stream, next) {
		/* The holder may have turned out to be alive since. */
		if (!is_orphan(orphans, &stream->id)) {
			drop(orphans, stream);
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

size_t janitor_count(const janitor_t *orphans)
{
	return HASH_COUNT(orphans->streams);
}

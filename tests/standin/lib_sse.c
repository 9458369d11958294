#include "lib_sse.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "lib/tokens.h"

enum { CHUNK_SIZE_BYTES = 512 };

sse_faults_t sse_faults;

/** One reply that streams tokens. */
typedef struct {
	stream_t *stream;
	int64_t position; /**< index of the next token to send */
	int64_t cut_at; /**< index at which the connection is cut; -1: none */
	bool end_sent;
} reader_t;

static size_t format_chunk(char *buffer, const char *id, int64_t offset,
			   const char *text, bool chat, bool last)
{
	static const char *const shapes[] = {
		"\"text\":\"%s\"", "\"delta\":{\"content\":\"%s\"}"
	};
	char choice[64];

	snprintf(choice, sizeof(choice), shapes[chat], text);
	return (size_t)snprintf(
		buffer, CHUNK_SIZE_BYTES,
		"data: {\"id\":\"%.128s\",\"object\":\"%s\",\"model\":\"%.64s\","
		"\"stream_id\":\"%.128s\",\"offset\":%" PRId64 ",\"tokens\":1,"
		"\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n",
		id, chat ? "chat.completion.chunk" : "text_completion",
		batch_conf.model, id, offset, choice,
		last ? "\"length\"" : "null");
}

/* Writes the chunk of the next token, and those that a fault adds. */
static size_t write_chunks(reader_t *reader, char *buffer)
{
	const stream_t *stream = reader->stream;
	char text[TOKEN_SIZE_BYTES + 1];
	size_t size = 0;

	if (http_use_fault(&sse_faults.crossed))
		size += format_chunk(buffer, "other.1.1.1", reader->position,
				     "crossed ", stream->chat, false);
	if (http_use_fault(&sse_faults.wrong_offset))
		size += format_chunk(buffer + size, stream->id,
				     reader->position + 1, "shifted ",
				     stream->chat, false);
	token_text(stream->seed, reader->position, text);
	size += format_chunk(buffer + size, stream->id, reader->position, text,
			     stream->chat,
			     reader->position + 1 == stream->max_tokens);
	reader->position++;
	return size;
}

static ssize_t read_stream(void *context, uint64_t position, char *buffer,
			   size_t size)
{
	static const char end[] = "data: [DONE]\n\n";
	reader_t *reader = context;
	stream_t *stream = reader->stream;
	size_t used = 0;

	pthread_mutex_lock(&batch_lock);
	while (stream_is_running(stream) && !http_stopping &&
	       reader->position >= stream->generated)
		pthread_cond_wait(&stream->changed, &batch_lock);
	while (reader->position < stream->generated &&
	       reader->position != reader->cut_at &&
	       used + 4 * CHUNK_SIZE_BYTES < size)
		used += write_chunks(reader, buffer + used);
	if (!used && stream->state == STREAM_COMPLETE && !reader->end_sent &&
	    reader->position == stream->generated) {
		memcpy(buffer, end, sizeof(end) - 1);
		used = sizeof(end) - 1;
		reader->end_sent = true;
	}
	pthread_mutex_unlock(&batch_lock);
	if (used)
		return (ssize_t)used;
	return reader->end_sent ? MHD_CONTENT_READER_END_OF_STREAM
				: MHD_CONTENT_READER_END_WITH_ERROR;
}

static void free_reader(void *context)
{
	reader_t *reader = context;

	pthread_mutex_lock(&batch_lock);
	batch_release(reader->stream);
	pthread_mutex_unlock(&batch_lock);
	free(reader);
}

enum MHD_Result sse_start(http_request_t *request, stream_t *stream,
			  int64_t position)
{
	reader_t *reader = mem_calloc(1, sizeof(*reader));

	reader->stream = stream;
	reader->position = position;
	reader->cut_at = http_use_fault(&sse_faults.cut_count)
				 ? position + sse_faults.cut_after
				 : -1;
	return http_stream(request, "text/event-stream", read_stream, reader,
			   free_reader);
}

#include "lib_sse.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/mem.h"
#include "lib/tokens.h"

enum { CHUNK_SIZE_BYTES = 512 }; /* most bytes of one formatted chunk */

sse_faults_t sse_faults;

/** State of one HTTP reply that sends the tokens of a stream. */
typedef struct {
	stream_t *stream;
	int64_t position; /**< index of the next token to send */
	int64_t cut_at; /**< index at which the connection breaks; -1: none */
	bool end_sent; /**< true after the "[DONE]" event */
} reply_t;

static size_t format_chunk(char *buffer, const char *id, int64_t offset,
			   const char *text, bool chat, bool last)
{
	static const char *const choice_formats[] = {
		"\"text\":\"%s\"", "\"delta\":{\"content\":\"%s\"}"
	};
	char choice[64];

	snprintf(choice, sizeof(choice), choice_formats[chat], text);
	return (size_t)snprintf(
		buffer, CHUNK_SIZE_BYTES,
		"data: {\"id\":\"%.128s\",\"object\":\"%s\",\"model\":\"%.64s\","
		"\"stream_id\":\"%.128s\",\"offset\":%" PRId64 ",\"tokens\":1,"
		"\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}]}\n\n",
		id, chat ? "chat.completion.chunk" : "text_completion",
		batch_conf.model, id, offset, choice,
		last ? "\"length\"" : "null");
}

/*
 * Writes the chunk of the next token, after the wrong chunks that the faults
 * insert.
 * @return bytes written, 3 * CHUNK_SIZE_BYTES at most
 */
static size_t write_chunks(reply_t *reply, char *buffer)
{
	const stream_t *stream = reply->stream;
	char text[TOKEN_SIZE_BYTES + 1];
	size_t size = 0;

	if (http_use_fault(&sse_faults.crossed))
		size += format_chunk(buffer, "other.1.1.1", reply->position,
				     "crossed ", stream->chat, false);
	if (http_use_fault(&sse_faults.wrong_offset))
		size += format_chunk(buffer + size, stream->id,
				     reply->position + 1, "shifted ",
				     stream->chat, false);
	token_text(stream->seed, reply->position, text);
	size += format_chunk(buffer + size, stream->id, reply->position, text,
			     stream->chat,
			     reply->position + 1 == stream->max_tokens);
	reply->position++;
	return size;
}

/* MHD content reader: waits for tokens and writes those that fit. */
static ssize_t read_stream(void *context, uint64_t position, char *buffer,
			   size_t size)
{
	static const char end[] = "data: [DONE]\n\n";
	reply_t *reply = context;
	stream_t *stream = reply->stream;
	size_t used = 0;

	pthread_mutex_lock(&batch_lock);
	while (stream_is_running(stream) && !http_stopping &&
	       reply->position >= stream->generated)
		pthread_cond_wait(&stream->changed, &batch_lock);
	while (reply->position < stream->generated &&
	       reply->position != reply->cut_at &&
	       used + 4 * CHUNK_SIZE_BYTES < size)
		used += write_chunks(reply, buffer + used);
	if (!used && stream->state == STREAM_COMPLETE && !reply->end_sent &&
	    reply->position == stream->generated) {
		memcpy(buffer, end, sizeof(end) - 1);
		used = sizeof(end) - 1;
		reply->end_sent = true;
	}
	pthread_mutex_unlock(&batch_lock);
	if (used)
		return (ssize_t)used;
	return reply->end_sent ? MHD_CONTENT_READER_END_OF_STREAM
			       : MHD_CONTENT_READER_END_WITH_ERROR;
}

static void free_reply(void *context)
{
	reply_t *reply = context;

	pthread_mutex_lock(&batch_lock);
	batch_unref(reply->stream);
	pthread_mutex_unlock(&batch_lock);
	free(reply);
}

enum MHD_Result sse_start(http_request_t *request, stream_t *stream,
			  int64_t position)
{
	reply_t *reply = mem_calloc(1, sizeof(*reply));

	reply->stream = stream;
	reply->position = position;
	reply->cut_at = http_use_fault(&sse_faults.cut_count)
				? position + sse_faults.cut_after
				: -1;
	return http_stream(request, "text/event-stream", read_stream, reply,
			   free_reply);
}

#include "connection/frames.h"

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	frames_source_t *source = watcher->data;

	source->handle(source->context);
}

/*
 * Reads the socket before each wait of the loop too: the descriptor of a ZeroMQ
 * socket is edge-triggered, and sending on the socket can consume the event of
 * a received message.
 */
static void on_before_wait(struct ev_loop *loop, ev_prepare *watcher,
			   int events)
{
	frames_source_t *source = watcher->data;

	source->handle(source->context);
}

bool frames_watch(frames_source_t *source, struct ev_loop *loop,
		  void (*handle)(void *context), void *context)
{
	int fd;
	size_t size = sizeof(fd);

	if (zmq_getsockopt(source->socket, ZMQ_FD, &fd, &size))
		return false;
	source->loop = loop;
	source->handle = handle;
	source->context = context;
	ev_io_init(&source->readable, on_readable, fd, EV_READ);
	source->readable.data = source;
	ev_io_start(loop, &source->readable);
	ev_prepare_init(&source->before_wait, on_before_wait);
	source->before_wait.data = source;
	ev_prepare_start(loop, &source->before_wait);
	return true;
}

void frames_unwatch(frames_source_t *source)
{
	if (source->loop) {
		ev_io_stop(source->loop, &source->readable);
		ev_prepare_stop(source->loop, &source->before_wait);
	}
	if (source->socket)
		zmq_close(source->socket);
	source->socket = NULL;
}

int frames_receive(void *socket, zmq_msg_t *frames, int capacity)
{
	int count = 0, more = 1;
	zmq_msg_t frame;

	while (more) {
		zmq_msg_init(&frame);
		if (zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) < 0)
			break;
		more = zmq_msg_more(&frame);
		if (count < capacity) {
			zmq_msg_init(&frames[count]);
			zmq_msg_move(&frames[count], &frame);
		}
		zmq_msg_close(&frame);
		count++;
	}
	return count;
}

void frames_close(zmq_msg_t *frames, int count, int capacity)
{
	int i;

	for (i = 0; i < count && i < capacity; i++)
		zmq_msg_close(&frames[i]);
}

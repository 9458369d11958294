#include "base/mailbox.h"

#include <stdio.h>
#include <stdlib.h>
#include <zmq.h>

#include "base/mem.h"

enum { ENDPOINT_SIZE_BYTES = 96, NO_LIMIT = 0, NO_LINGER_MS = 0 };

struct mailbox {
	void *socket;
	struct ev_loop *loop;
	ev_io readable;
	ev_prepare before_wait;
	mailbox_receive_t receive;
	void *context;
};

struct mailbox_sender {
	void *socket;
};

static void format_endpoint(char *endpoint, const char *name)
{
	snprintf(endpoint, ENDPOINT_SIZE_BYTES, "inproc://%s", name);
}

void mailbox_drain(mailbox_t *mailbox)
{
	void *message;

	while (zmq_recv(mailbox->socket, &message, sizeof(message),
			ZMQ_DONTWAIT) == (int)sizeof(message))
		mailbox->receive(mailbox->context, message);
}

static void on_readable(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	mailbox_drain(watcher->data);
}

/*
 * The descriptor of a ZeroMQ socket is edge-triggered: a message that arrives
 * while another message is handled causes no new event. The socket is therefore
 * checked again before each wait of the event loop.
 */
static void on_before_wait(struct ev_loop *loop, ev_prepare *watcher,
			   int events)
{
	mailbox_t *mailbox = watcher->data;
	int ready = 0;
	size_t size = sizeof(ready);

	(void)loop;
	(void)events;
	if (!zmq_getsockopt(mailbox->socket, ZMQ_EVENTS, &ready, &size) &&
	    (ready & ZMQ_POLLIN))
		mailbox_drain(mailbox);
}

static void *open_socket(void *zmq, int type)
{
	int limit = NO_LIMIT, linger = NO_LINGER_MS;
	void *socket = zmq_socket(zmq, type);

	if (!socket)
		return NULL;
	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket, ZMQ_SNDHWM, &limit, sizeof(limit));
	zmq_setsockopt(socket, ZMQ_RCVHWM, &limit, sizeof(limit));
	return socket;
}

mailbox_t *mailbox_create(void *zmq, const char *name, struct ev_loop *loop,
			  mailbox_receive_t receive, void *context, err_t *err)
{
	char endpoint[ENDPOINT_SIZE_BYTES];
	mailbox_t *mailbox = mem_calloc(1, sizeof(*mailbox));
	int fd;
	size_t size = sizeof(fd);

	format_endpoint(endpoint, name);
	mailbox->socket = open_socket(zmq, ZMQ_PULL);
	if (!mailbox->socket || zmq_bind(mailbox->socket, endpoint) ||
	    zmq_getsockopt(mailbox->socket, ZMQ_FD, &fd, &size)) {
		err_set(err, ERR_LAYER_BASE, zmq_errno(), "mailbox %s: %s",
			name, zmq_strerror(zmq_errno()));
		if (mailbox->socket)
			zmq_close(mailbox->socket);
		free(mailbox);
		return NULL;
	}
	mailbox->loop = loop;
	mailbox->receive = receive;
	mailbox->context = context;
	ev_io_init(&mailbox->readable, on_readable, fd, EV_READ);
	mailbox->readable.data = mailbox;
	ev_io_start(loop, &mailbox->readable);
	ev_prepare_init(&mailbox->before_wait, on_before_wait);
	mailbox->before_wait.data = mailbox;
	ev_prepare_start(loop, &mailbox->before_wait);
	return mailbox;
}

void mailbox_destroy(mailbox_t *mailbox)
{
	if (!mailbox)
		return;
	ev_io_stop(mailbox->loop, &mailbox->readable);
	ev_prepare_stop(mailbox->loop, &mailbox->before_wait);
	zmq_close(mailbox->socket);
	free(mailbox);
}

mailbox_sender_t *mailbox_sender_create(void *zmq, const char *name, err_t *err)
{
	char endpoint[ENDPOINT_SIZE_BYTES];
	mailbox_sender_t *sender = mem_calloc(1, sizeof(*sender));

	format_endpoint(endpoint, name);
	sender->socket = open_socket(zmq, ZMQ_PUSH);
	if (!sender->socket || zmq_connect(sender->socket, endpoint)) {
		err_set(err, ERR_LAYER_BASE, zmq_errno(), "mailbox %s: %s",
			name, zmq_strerror(zmq_errno()));
		if (sender->socket)
			zmq_close(sender->socket);
		free(sender);
		return NULL;
	}
	return sender;
}

void mailbox_sender_destroy(mailbox_sender_t *sender)
{
	if (!sender)
		return;
	zmq_close(sender->socket);
	free(sender);
}

bool mailbox_send(mailbox_sender_t *sender, void *message)
{
	return zmq_send(sender->socket, &message, sizeof(message),
			ZMQ_DONTWAIT) == (int)sizeof(message);
}

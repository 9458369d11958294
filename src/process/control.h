/**
 * @file control.h
 * Parts of the control task. Private to src/process/control*.c.
 */
#ifndef PROCESS_CONTROL_H
#define PROCESS_CONTROL_H

#include <ev.h>

#include "base/mailbox.h"
#include "connection/client.h"
#include "connection/platform.h"
#include "process/credit_holder.h"
#include "process/dispatch.h"
#include "process/settings.h"
#include "process/task_msg.h"
#include "version/inforce.h"

typedef struct control_config control_config_t;
typedef struct control_load control_load_t;

typedef struct control {
	settings_t settings;
	uint64_t incarnation;
	struct ev_loop *loop;
	client_t *client;
	platform_t *platform;
	mailbox_t *mailbox;
	mailbox_sender_t **request_tasks; /* settings.request_tasks of them */
	inforce_t *inforce;
	credit_holder_t *holder;
	dispatch_t *dispatch;
	control_config_t *config;
	control_load_t *load;
	ev_timer tick;
	ev_prepare before_wait;
	bool closing; /* messages are discarded */
} control_t;

/* control_config.c: reads, watches and applies the configuration. */
control_config_t *control_config_create(control_t *control);
void control_config_destroy(control_config_t *config);

/** Starts to read and watch the configuration object. */
void control_config_start(control_config_t *config);

/** Offers a document from the platform or a peer. */
void control_config_offer(control_config_t *config, const char *text,
			  size_t size_bytes, const char *source);

/* control_load.c: reads the load reports of backend servers. */
control_load_t *control_load_create(control_t *control);
void control_load_destroy(control_load_t *load);

/** Follows the servers of a new configuration. */
void control_load_configure(control_load_t *load, document_t *document);

/** Sends the polls that are due. */
void control_load_tick(control_load_t *load, int64_t now_us);

/* control_task.c */

/** Sends a message to a request task; takes over @p message. */
void control_send(control_t *control, uint32_t task, task_msg_t *message);

#endif

#include "process/control_task.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/mem.h"
#include "process/control.h"

/*
 * Time resolution of the dispatcher's deadlines and retries. The 50 wake-ups a
 * second take far below 1% of a core.
 */
enum { TICK_MS = 20 };

/*
 * Random low bits of an incarnation. The upper 42 bits hold the wall clock in
 * ms, so that a later process of the VM has a higher incarnation.
 */
enum { INCARNATION_RANDOM_BITS = 22 };

static uint64_t new_incarnation(void)
{
	uint64_t time_ms = (uint64_t)(clock_wall_us() / US_PER_MS);

	return time_ms << INCARNATION_RANDOM_BITS |
	       randombytes_uniform(1u << INCARNATION_RANDOM_BITS);
}

void control_send(control_t *control, uint32_t task, task_msg_t *message)
{
	if (task >= (uint32_t)control->settings.request_tasks ||
	    !mailbox_send(control->request_tasks[task], message))
		task_msg_destroy(message);
}

static void on_message(void *context, void *received)
{
	control_t *control = context;
	task_msg_t *message = received;
	int64_t now_us = clock_monotonic_us();

	if (control->closing) {
		task_msg_destroy(message);
		return;
	}
	switch (message->type) {
	case TASK_MSG_SUBMIT:
		if (message->as.submit.kind == REQUEST_ACTION)
			control_actions_submit(control->actions,
					       message->request,
					       &message->as.submit);
		else
			dispatch_submit(control->dispatch, message->request,
					&message->as.submit, now_us);
		break;
	case TASK_MSG_FIRST_TOKEN:
		dispatch_first_token(control->dispatch, message->request,
				     &message->as.first_token, now_us);
		break;
	case TASK_MSG_FINISHED:
		/*
		 * The claim of an action comes first, since the dispatcher may
		 * refuse the request.
		 */
		control_actions_finished(control->actions, message->request,
					 &message->as.finished);
		control_inflight_finished(control->inflight, message->request,
					  message->as.finished.end);
		dispatch_finished(control->dispatch, message->request,
				  &message->as.finished, now_us);
		break;
	case TASK_MSG_DRAIN:
		control_shutdown_start(control->shutdown);
		break;
	case TASK_MSG_IDLE:
		control_shutdown_task_idle(control->shutdown, message->as.task);
		break;
	case TASK_MSG_STOP:
		ev_break(control->loop, EVBREAK_ALL);
		break;
	case TASK_MSG_DISPATCH:
	case TASK_MSG_REFUSE:
	case TASK_MSG_ANSWER:
	case TASK_MSG_CONFIG:
	case TASK_MSG_NOTICE:
	case TASK_MSG_END_ALL:
		break;
	}
	task_msg_destroy(message);
}

/*
 * Informs the actions and the table of requests in flight of a decision.
 * @return true if the decision goes to the request task; false for a refused
 *         action, whose claim answers the caller
 */
static bool record_decision(control_t *control, const task_msg_t *message)
{
	if (message->type == TASK_MSG_DISPATCH) {
		control_actions_dispatched(control->actions, message->request);
		control_inflight_dispatched(control->inflight, message->request,
					    message->as.dispatch.server);
	}
	return message->type != TASK_MSG_REFUSE ||
	       !control_actions_refused(control->actions, message->request,
					&message->as.refuse);
}

static void log_blocked(control_t *control)
{
	uint64_t content;

	while (dispatch_next_blocked(control->dispatch, &content))
		log_event(EVENT_CONTENT_BLOCKED,
			  "content=%" PRIx64 " source=%s", content,
			  control->settings.vm_id);
}

static void pump_decisions(control_t *control)
{
	dispatch_action_t action;

	log_blocked(control);
	while (dispatch_next(control->dispatch, &action)) {
		task_msg_t *message;

		if (!record_decision(control, &action.message))
			continue;
		message = task_msg_create(action.message.type,
					  action.message.request);
		*message = action.message;
		control_send(control, action.task, message);
	}
}

static void on_before_wait(struct ev_loop *loop, ev_prepare *watcher,
			   int events)
{
	control_t *control = watcher->data;

	control_actions_pump(control->actions);
	/*
	 * New credits are used at once: to wait for the next tick would delay
	 * a first token by up to 20 ms.
	 */
	if (control_credits_pump(control->credits))
		dispatch_tick(control->dispatch, clock_monotonic_us());
	pump_decisions(control);
	control_actions_pump(control->actions);
	control_credits_pump(control->credits);
}

static void on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	control_t *control = timer->data;
	int64_t now_us = clock_monotonic_us();

	control_members_tick(control->members, now_us);
	control_credits_tick(control->credits, now_us);
	control_warmup_tick(control->warmup, now_us);
	control_orphans_tick(control->orphans, now_us);
	control_orders_tick(control->orders, now_us);
	control_cache_tick(control->cache, now_us);
	control_sweep_tick(control->sweep, now_us);
	dispatch_tick(control->dispatch, now_us);
	control_load_tick(control->load, now_us);
	control_status_tick(control->status, now_us);
	control_shutdown_tick(control->shutdown, now_us);
}

void control_members_changed(control_t *control)
{
	control_config_update_watch(control->config);
	control_credits_reassign(control->credits);
}

/* Creates the dispatcher and the modules that it depends on. */
static void create_dispatch(control_t *control)
{
	const settings_t *settings = &control->settings;
	credit_holder_conf_t holder = {
		.incarnation = control->incarnation,
		/* Used until a configuration sets the size of the block. */
		.server_block = { .slots = CREDIT_BLOCK_SLOTS },
		.account_block = 10, /* requests */
	};
	dispatch_conf_t dispatch = {
		.incarnation = control->incarnation,
		.policy = settings->route_policy,
		.queue_max = settings->queue_max,
	};

	mem_strlcpy(holder.vm_id, settings->vm_id, sizeof(holder.vm_id));
	mem_strlcpy(dispatch.vm_id, settings->vm_id, sizeof(dispatch.vm_id));
	mem_strlcpy(dispatch.data_centre, settings->data_centre,
		    sizeof(dispatch.data_centre));
	control->inforce = inforce_create();
	control->holder = credit_holder_create(&holder);
	control->owner = credit_owner_create(settings->vm_id);
	control->dispatch = dispatch_create(&dispatch, control->holder);
}

static bool open_mailboxes(control_t *control, void *zmq, err_t *err)
{
	char name[32];
	int32_t i;

	control->mailbox = mailbox_create(zmq, "control", control->loop,
					  on_message, control, err);
	if (!control->mailbox)
		return false;
	control->request_tasks =
		mem_calloc((size_t)control->settings.request_tasks,
			   sizeof(mailbox_sender_t *));
	for (i = 0; i < control->settings.request_tasks; i++) {
		snprintf(name, sizeof(name), "request-%d", i);
		control->request_tasks[i] =
			mailbox_sender_create(zmq, name, err);
		if (!control->request_tasks[i])
			return false;
	}
	return true;
}

static void on_store_restored(void *context)
{
	control_t *control = context;

	if (control->orders)
		control_orders_store_restored(control->orders);
}

static bool open_platform(control_t *control, err_t *err)
{
	const settings_t *settings = &control->settings;
	platform_conf_t conf = {
		.restored = on_store_restored,
		.context = control,
		.timeout_ms = settings->platform_timeout_ms,
		.calls_per_s = settings->platform_calls_per_s,
	};

	control->client = client_create(control->loop, err);
	if (!control->client)
		return false;
	mem_strlcpy(conf.url, settings->platform_url, sizeof(conf.url));
	mem_strlcpy(conf.namespace_name, settings->platform_namespace,
		    sizeof(conf.namespace_name));
	mem_strlcpy(conf.token, settings->platform_token, sizeof(conf.token));
	control->platform = platform_create(control->client, &conf);
	return true;
}

static void create_modules(control_t *control)
{
	create_dispatch(control);
	control->config = control_config_create(control);
	control->load = control_load_create(control);
	control->credits = control_credits_create(control);
	control->actions = control_actions_create(control);
	control->warmup = control_warmup_create(control);
	control->inflight = control_inflight_create(control);
	control->orphans = control_orphans_create(control);
	control->orders = control_orders_create(control);
	control->cache = control_cache_create(control);
	control->sweep = control_sweep_create(control);
	control->status = control_status_create(control);
}

static bool open_members(control_t *control, void *zmq, err_t *err)
{
	control->members = control_members_create(control, zmq, err);
	if (control->members)
		control->shutdown = control_shutdown_create(control, zmq, err);
	return control->shutdown;
}

static void start_watchers(control_t *control)
{
	ev_timer_init(&control->tick, on_tick, 0., (double)TICK_MS / MS_PER_S);
	control->tick.data = control;
	ev_timer_start(control->loop, &control->tick);
	ev_prepare_init(&control->before_wait, on_before_wait);
	/* Lowest priority: runs after the mailbox delivers its messages. */
	ev_set_priority(&control->before_wait, EV_MINPRI);
	control->before_wait.data = control;
	ev_prepare_start(control->loop, &control->before_wait);
}

control_t *control_task_create(const settings_t *settings, void *zmq,
			       err_t *err)
{
	control_t *control = mem_calloc(1, sizeof(*control));
	err_t cause;

	control->settings = *settings;
	control->incarnation = new_incarnation();
	control->loop = ev_loop_new(EVFLAG_AUTO);
	create_modules(control);
	if (!control->loop || !open_mailboxes(control, zmq, &cause) ||
	    !open_platform(control, &cause) ||
	    !open_members(control, zmq, &cause)) {
		err_set(err, ERR_LAYER_PROCESS, CONTROL_ERR_START,
			"control task: %s",
			control->loop ? cause.message : "no event loop");
		control_task_destroy(control);
		return NULL;
	}
	start_watchers(control);
	return control;
}

void *control_task_run(void *context)
{
	control_t *control = context;

	control_config_start(control->config);
	ev_run(control->loop, 0);
	return NULL;
}

static void close_mailboxes(control_t *control)
{
	int32_t i;

	for (i = 0;
	     control->request_tasks && i < control->settings.request_tasks; i++)
		mailbox_sender_destroy(control->request_tasks[i]);
	free(control->request_tasks);
	control->closing = true;
	if (control->mailbox)
		mailbox_drain(control->mailbox);
	mailbox_destroy(control->mailbox);
}

void control_task_destroy(control_t *control)
{
	if (!control)
		return;
	control_shutdown_destroy(control->shutdown);
	control_status_destroy(control->status);
	control_load_destroy(control->load);
	control_config_destroy(control->config);
	control_credits_destroy(control->credits);
	control_warmup_destroy(control->warmup);
	control_inflight_destroy(control->inflight);
	control_orphans_destroy(control->orphans);
	control_orders_destroy(control->orders);
	control_cache_destroy(control->cache);
	control_members_destroy(control->members);
	dispatch_destroy(control->dispatch);
	credit_owner_destroy(control->owner);
	credit_holder_destroy(control->holder);
	inforce_destroy(control->inforce);
	platform_destroy(control->platform);
	control_actions_destroy(control->actions);
	control_sweep_destroy(control->sweep);
	client_destroy(control->client);
	close_mailboxes(control);
	if (control->loop)
		ev_loop_destroy(control->loop);
	free(control);
}

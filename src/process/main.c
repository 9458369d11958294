#include <curl/curl.h>
#include <ev.h>
#include <popt.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>
#include <zmq.h>

#include "base/crash.h"
#include "base/history.h"
#include "base/log.h"
#include "base/mailbox.h"
#include "base/mem.h"
#include "platform/settings.h"
#include "process/control_task.h"
#include "process/gateway_run.h"
#include "process/request_task.h"
#include "process/settings.h"
#include "process/stop_guard.h"
#include "process/task_msg.h"
#if __has_include("process/telemetry_task.h")
#include "process/telemetry_task.h"
#define HAVE_TELEMETRY 1
#else
#define HAVE_TELEMETRY 0
#endif

enum {
	EXIT_USAGE = 2,
	/* After the limit of the shutdown: answers that are sent (1 s), and the
	 * end of the tasks and of the sockets to peers (0.2 s). */
	STOP_END_MAX_MS = 2000,
	/* Request tasks, control and telemetry. */
	TASKS_MAX = REQUEST_TASKS_MAX + 2
};

/** A task of the process, which runs on a thread of its own. */
typedef struct {
	void *object; /**< argument of run() and destroy() */
	void *(*run)(void *); /**< thread function */
	void (*destroy)(void *);
	pthread_t thread; /**< valid if running is true */
	bool running; /**< the thread was started */
} task_t;

/** A process that is configured by a settings file. */
typedef struct {
	settings_t settings;
	void *zmq;
	struct ev_loop *loop;
	mailbox_t *mailbox; /**< receives TASK_MSG_STOP */
	mailbox_sender_t *control; /**< sends to the control task */
	ev_signal term, interrupt; /**< SIGTERM, SIGINT */
	task_t tasks[TASKS_MAX]; /**< control, request tasks, telemetry */
	size_t task_count;
} daemon_t;

static void destroy_request(void *task)
{
	request_task_destroy(task);
}

static void destroy_control(void *task)
{
	control_task_destroy(task);
}

static void on_message(void *context, void *received)
{
	daemon_t *process = context;
	task_msg_t *message = received;

	if (message->type == TASK_MSG_STOP)
		ev_break(process->loop, EVBREAK_ALL);
	task_msg_destroy(message);
}

/* Asks the control task to shut down: SIGTERM and SIGINT start a drain. */
static void on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	daemon_t *process = watcher->data;
	task_msg_t *message = task_msg_create(TASK_MSG_DRAIN, 0);
	int64_t limit_ms = process->settings.drain_max_ms;

	if (limit_ms < process->settings.drain_notice_ms)
		limit_ms = process->settings.drain_notice_ms;
	stop_guard_arm(limit_ms + STOP_END_MAX_MS);
	if (!mailbox_send(process->control, message))
		task_msg_destroy(message);
}

/* Adds a task, whose thread start_threads() starts.
 * @return false if @p object is NULL, since the task could not be created */
static bool add_task(daemon_t *process, void *object, void *(*run)(void *),
		     void (*destroy)(void *))
{
	task_t *task = &process->tasks[process->task_count];

	if (!object)
		return false;
	task->object = object;
	task->run = run;
	task->destroy = destroy;
	process->task_count++;
	return true;
}

#if HAVE_TELEMETRY
static void destroy_telemetry(void *task)
{
	telemetry_task_destroy(task);
}

static bool create_telemetry(daemon_t *process, err_t *err)
{
	return add_task(process,
			telemetry_task_create(&process->settings, process->zmq,
					      err),
			telemetry_task_run, destroy_telemetry);
}
#else
static bool create_telemetry(daemon_t *process, err_t *err)
{
	return true;
}
#endif

/* Opens all sockets before a thread starts, so that an address in use or
 * another failure ends the start of the process. */
static bool create_tasks(daemon_t *process, err_t *err)
{
	int32_t i, count = process->settings.request_tasks;

	process->mailbox = mailbox_create(process->zmq, "main", process->loop,
					  on_message, process, err);
	if (!process->mailbox)
		return false;
	if (!add_task(process,
		      control_task_create(&process->settings, process->zmq,
					  err),
		      control_task_run, destroy_control))
		return false;
	for (i = 0; i < count; i++)
		if (!add_task(process,
			      request_task_create(&process->settings,
						  (uint32_t)i, process->zmq,
						  err),
			      request_task_run, destroy_request))
			return false;
	process->control = mailbox_sender_create(process->zmq, "control", err);
	return process->control && create_telemetry(process, err);
}

/* Blocks SIGTERM and SIGINT while the threads start: they inherit the mask, so
 * that only the event loop of main() receives these signals. */
static bool start_threads(daemon_t *process, err_t *err)
{
	sigset_t signals;
	size_t i;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	for (i = 0; i < process->task_count; i++) {
		task_t *task = &process->tasks[i];

		if (pthread_create(&task->thread, NULL, task->run,
				   task->object))
			return err_set(err, ERR_LAYER_PROCESS, 0,
				       "start thread %zu: out of resources", i);
		task->running = true;
	}
	pthread_sigmask(SIG_UNBLOCK, &signals, NULL);
	return true;
}

static void watch_signals(daemon_t *process)
{
	ev_signal_init(&process->term, on_signal, SIGTERM);
	process->term.data = process;
	ev_signal_start(process->loop, &process->term);
	ev_signal_init(&process->interrupt, on_signal, SIGINT);
	process->interrupt.data = process;
	ev_signal_start(process->loop, &process->interrupt);
}

static void destroy_tasks(daemon_t *process)
{
	size_t i;

	for (i = 0; i < process->task_count; i++)
		if (process->tasks[i].running)
			pthread_join(process->tasks[i].thread, NULL);
	while (process->task_count--)
		process->tasks[process->task_count].destroy(
			process->tasks[process->task_count].object);
	mailbox_sender_destroy(process->control);
	if (process->mailbox)
		mailbox_drain(process->mailbox);
	mailbox_destroy(process->mailbox);
}

static int run(daemon_t *process)
{
	err_t err = { 0 };
	bool started;

	process->zmq = zmq_ctx_new();
	process->loop = ev_default_loop(0);
	started = create_tasks(process, &err) && start_threads(process, &err);
	if (started) {
		watch_signals(process);
		log_event(EVENT_PROCESS_STARTED, "vm=%s data_centre=%s",
			  process->settings.vm_id,
			  process->settings.data_centre);
		ev_run(process->loop, 0);
	} else {
		log_event(EVENT_START_FAILED, "error=\"%s\"", err.message);
		fprintf(stderr, "chivestaged: %s\n", err.message);
		/* A thread that runs already would never receive
		 * TASK_MSG_STOP, so that joining it would not return. */
		if (process->task_count && process->tasks[0].running)
			_exit(EXIT_FAILURE);
	}
	destroy_tasks(process);
	zmq_ctx_term(process->zmq);
	log_event(EVENT_PROCESS_STOPPED, "vm=%s", process->settings.vm_id);
	return started ? EXIT_SUCCESS : EXIT_FAILURE;
}

/** Options of the command line; exactly one of them is given. */
typedef struct {
	char *settings; /**< path of the settings file; NULL with --platform */
	int platform; /**< 1: serve the routes of the platform; 0: run as the
			 settings file says */
} options_t;

/* @return false after a usage message if the command line is not valid */
static bool read_options(int argc, const char **argv, options_t *chosen)
{
	struct poptOption options[] = {
		{ "config", 'c', POPT_ARG_STRING, &chosen->settings, 0,
		  "settings of this process", "SETTINGS.yaml" },
		{ "platform", 'p', POPT_ARG_NONE, &chosen->platform, 0,
		  "serve the routes of the platform; its settings file is "
		  "named by $" PLATFORM_SETTINGS_VARIABLE,
		  NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext context =
		poptGetContext("chivestaged", argc, argv, options, 0);
	int result = poptGetNextOpt(context);
	bool valid = result == -1 && !poptPeekArg(context) &&
		     !chosen->settings == !!chosen->platform;

	if (result < -1)
		fprintf(stderr, "chivestaged: %s: %s\n",
			poptBadOption(context, 0), poptStrerror(result));
	if (!valid)
		poptPrintUsage(context, stderr, 0);
	poptFreeContext(context);
	return valid;
}

/* Raises the soft limit of open files to the hard limit: each stream takes two
 * sockets, and the usual soft limit is 1024. */
static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static bool init_libraries(void)
{
	raise_file_limit();
	/* A caller or server may close its connection at any time; a write then
	 * has to fail with EPIPE instead of ending the process. */
	signal(SIGPIPE, SIG_IGN);
	if (sodium_init() >= 0 && !curl_global_init(CURL_GLOBAL_DEFAULT))
		return true;
	fprintf(stderr, "chivestaged: libsodium or libcurl cannot be "
			"initialized\n");
	return false;
}

/* Runs the process that a settings file configures. @return the exit status */
static int run_daemon(const char *path)
{
	daemon_t process = { .zmq = NULL };
	err_t err = { 0 };
	int status;

	if (!settings_load(path, &process.settings, &err) ||
	    !log_open(process.settings.log_level, process.settings.log_format,
		      &err) ||
	    !history_open(process.settings.history_path, process.settings.vm_id,
			  &err)) {
		fprintf(stderr, "chivestaged: %s\n", err.message);
		return EXIT_FAILURE;
	}
	if (!init_libraries())
		return EXIT_FAILURE;
	status = run(&process);
	history_close();
	return status;
}

/* Runs a node that serves the platform's routes. @return the exit status */
static int run_gateway(void)
{
	err_t err = { 0 };

	if (!log_open(LOG_INFO, LOG_FORMAT_KEY_VALUE, &err)) {
		fprintf(stderr, "chivestaged: %s\n", err.message);
		return EXIT_FAILURE;
	}
	return init_libraries() ? gateway_run() : EXIT_FAILURE;
}

int main(int argc, const char **argv)
{
	options_t options = { 0 };
	int status;

	/* The platform sends SIGHUP when the settings file changes, also while
	 * the process starts. A signal during the start may be ignored, since
	 * the start reads the changed file. */
	signal(SIGHUP, SIG_IGN);
	crash_handler_install();

	if (!read_options(argc, argv, &options)) {
		free(options.settings);
		return EXIT_USAGE;
	}
	status = options.platform ? run_gateway()
				  : run_daemon(options.settings);
	free(options.settings);
	log_close();
	curl_global_cleanup();
	return status;
}

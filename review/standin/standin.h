/**
 * @file standin.h
 * Stand-ins for the review cases: the platform's store, servers, clients, and
 * the processes of the nodes. All addresses are loopback addresses.
 *
 * The store and the servers run a thread for each connection. A server can run
 * in a process of its own, so that a case can kill it.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	HEAD_MAX_BYTES = 32 * 1024,
	NODES_MAX = 4,
	ID_SIZE_BYTES = 48,
	SPEC_MAX_BYTES = 16 * 1024
};

/** Milliseconds since the case began. */
int64_t now_ms(void);
/** Sleeps until @p ms milliseconds after the case began. */
void sleep_until(int64_t ms);
void sleep_ms(int64_t ms);

/** Opens record.txt in the folder of the case, to append to it. */
void record_open(const char *path);
/** Writes one line with the time to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/** A request or an answer. */
typedef struct {
	char head[HEAD_MAX_BYTES]; /* start line and headers */
	char *body;
	size_t size;
	bool complete; /* false: the connection ended before the end */
	int64_t end_ms; /* when it was complete, or the connection ended */
} message_t;

/** @return false if the header is missing */
bool header(const message_t *message, const char *name, char *value,
	    size_t size);
/** @return status of an answer; 0: none */
int status_of(const message_t *message);
void message_clear(message_t *message);

/** Reads one request; answers have a length, chunks, or end with the channel.
 * @return false if the connection ended before the headers were complete */
bool read_request(int fd, message_t *message);
bool read_answer(int fd, message_t *message, int64_t until_ms);

/** @return a listening socket on a port, or on any with @p port of 0, which
 * receives it */
int listen_on(int *port);
/** @return the first of @p count ports that are free for TCP and UDP */
int free_ports(int count);
void start_thread(void *(*run)(void *), void *context);
/** Runs this program in another process, with other arguments; the first one
 * is its name, the last one NULL. */
pid_t run_role(const char *const *arguments);
/** @return a connected socket; -1: failed within a second */
int connect_to(int port);
bool send_all(int fd, const void *data, size_t size);
bool send_text(int fd, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Handles one request of a connection. @return false to close it */
typedef bool (*serve_t)(int fd, message_t *request, void *context);
/** Serves connections, each in a thread; returns at once. */
void serve(int listener, serve_t handler, void *context);

/** Starts the store. @return its port */
int store_start(void);
/** Writes an object; @p spec of NULL deletes it. */
void store_put(const char *kind, const char *name, const char *spec);
/** Writes the entry of a server that is ready. */
void store_put_server(const char *id, const char *service, int port, int slots);
/**
 * Writes the configuration: a service `jobdesk`, and two routes to it of the
 * host jobs.example: /status/ is idempotent with two attempts, /order/ is not
 * idempotent. The limits of clients and the service are those of the site
 * dswa-reports, the time limits of these kinds of request those of
 * dswa-reports-large.
 * @param keys keys of the one tenant, as JSON strings with commas
 */
void store_put_config(int version, const char *keys);

/** A node: its process and addresses. */
typedef struct {
	char name[16];
	pid_t pid; /* 0: not running */
	int port, ready_port, peer_port;
	char settings[256];
} node_t;

/** Sets up a node and starts it as the deploy file does.
 * @param more further lines of the settings, or "" */
void node_start(node_t *node, const char *folder, int number, int store_port,
		const char *more);
/** Starts its process again, with the same settings. */
void node_run(node_t *node);
bool node_is_ready(const node_t *node);
/** @return false if the node is not ready within 15 s */
bool node_wait_ready(const node_t *node);
/** @return true if the process has ended; @p status receives the wait status */
bool node_has_ended(node_t *node, int *status);
/** Kills the processes that are left. */
void node_kill(node_t *node);

#endif

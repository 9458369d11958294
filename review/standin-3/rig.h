/**
 * @file rig.h
 * Stand-ins for the cases 11 to 15: the platform's store, servers, clients, and
 * the start of daemons. All run as threads of one program on loopback
 * addresses; each connection has a thread of its own.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	RIG_HELD = 0, /* exit status: the rule held */
	RIG_BROKEN = 1,
	RIG_NOT_RUN = 2,
	HEAD_MAX_BYTES = 32 * 1024,
	CONNECTIONS_MAX = 4096
};

/* rig.c: time, record, HTTP */

/** Opens the record and notes the start. Ends the program on errors. */
void rig_start(const char *record_path);
/** @return seconds since rig_start() */
double rig_now_s(void);
void rig_sleep_until(double at_s);
/** Appends a line with the time to the record. */
void rig_record(const char *format, ...)
	__attribute__((format(printf, 1, 2)));
/** Ends all daemons and the program. */
void rig_finish(int status) __attribute__((noreturn));

/** An HTTP message that was read from a connection. */
typedef struct {
	char head[HEAD_MAX_BYTES];
	char method[16], target[1024]; /* of a request */
	int status; /* of an answer */
	char *body; /* NUL-terminated */
	size_t body_bytes;
} message_t;

/** @return false if the connection ended before the message did */
bool message_read(int fd, message_t *message, bool is_answer);
void message_clear(message_t *message);
/** Copies the value of a header. @return false if there is none */
bool message_header(const message_t *message, const char *name, char *value,
		    size_t size);
bool send_all(int fd, const char *data, size_t size);
/** @param headers complete header lines, or "" */
bool send_answer(int fd, int status, const char *headers, const char *body,
		 size_t body_bytes);
int connect_to(int port);

/** Called in a thread for each accepted connection; @p fd is closed after it.
 */
typedef void (*connection_t)(void *context, int fd);
typedef struct listener listener_t;

/** Listens on a free port, or on @p port if it is not 0. */
listener_t *listener_open(int port, connection_t handler, void *context);
int listener_port(const listener_t *listener);
/** Stops listening, and resets all connections. */
void listener_close(listener_t *listener);

/* store.c: the platform's store */

typedef enum {
	LINK_UP,
	LINK_BUSY, /* each call is answered 503 */
	LINK_SILENT /* calls get no answer */
} link_state_t;

typedef struct store_link store_link_t;

/** Opens an address of the store for one node. */
store_link_t *store_link_open(void);
int store_link_port(const store_link_t *link);
void store_link_set(store_link_t *link, link_state_t state);
/** Makes the channel of the next watch of a kind silent for good. */
void store_link_silence(store_link_t *link, const char *kind);
/** @return when that channel fell silent; 0: it has not */
double store_link_silent_s(const store_link_t *link);
/** Writes an object as the operator or a server does. Takes over @p spec. */
void store_put(const char *kind, const char *name, json_t *spec);
/** Changes are kept for this time: watches from before it get 410. */
void store_set_history(double history_s);

/* daemons.c */

typedef struct {
	char name[32];
	int front_port, ready_port, peer_port;
	pid_t pid;
	char settings[256], log[256];
} daemon_node_t;

/** Starts a daemon as the deploy file does. @param extra further settings */
void daemon_start(daemon_node_t *node, const char *name, int store_port,
		  const char *extra);
/** Kills a daemon as the platform does, and starts it again. */
void daemon_kill(const daemon_node_t *node);
void daemon_restart(daemon_node_t *node);
/** Waits until GET /ready is answered with 200. @return false: too late */
bool daemon_wait_ready(const daemon_node_t *node, double until_s);

/* server.c: plain servers */

typedef struct server server_t;
/** Called for each request that runs, with the lock of the servers held. */
typedef void (*run_seen_t)(const server_t *server, const char *request_id,
			   double at_s);

struct server {
	const char *id, *service;
	int port, work_ms, slots;
	int queue; /* requests that wait for a slot; others get 503 */
	int running, waiting;
	double cold_until_s; /* 0: warm */
	bool is_leaving;
	int64_t born_ms;
	int runs;
	listener_t *listener; /* NULL: down */
	run_seen_t run_seen;
	run_seen_t arrival_seen; /* the same for each arrival */
};

void server_up(server_t *server, int cold_ms);
/** Ends the server as a crash does. */
void server_crash(server_t *server);
/** Writes the server's entry to the store. */
void server_report(const server_t *server);

/* client.c */

typedef struct {
	int status; /* 0: no answer */
	char server[64]; /* server that answered; empty: none */
} result_t;

/** Sends one request on a new connection, and waits for its answer. */
result_t client_get(int port, const char *host, const char *path,
		    const char *id, const char *headers, int deadline_ms);

#endif

/**
 * @file standin.h
 * Stand-ins for the scripts of the second review: the platform's store, backend
 * servers, clients, and the daemons as separate processes. All of it runs on
 * loopback addresses and ports that the kernel chooses.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	HEAD_SIZE_MAX = 96 * 1024,
	NODE_DESCRIPTORS = 4100, /* limits.maxFds */
	ID_SIZE = 64
};

/** @return milliseconds on the steady clock since the start */
int64_t now_ms(void);
void sleep_ms(int64_t ms);
void sleep_until_ms(int64_t at_ms);

/** Opens record.txt in the folder of the case. */
void record_open(const char *directory);
/** Writes a line with the time to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** @return false if TROUBLE=0: the case runs without its disruption */
bool has_trouble(void);

/** A message with a length, as it was read from a connection. */
typedef struct {
	char head[HEAD_SIZE_MAX]; /**< first line and headers, NUL-terminated */
	char *body;
	size_t body_size;
	int status; /**< of an answer; 0: none was received */
	bool is_whole; /**< the message is complete */
} message_t;

/**
 * Copies the value of a header.
 * @return false if it is missing
 */
bool message_header(const message_t *message, const char *name, char *value,
		    size_t size);
void message_clear(message_t *message);
/** Opens a connection to 127.0.0.1. @return -1: no connection */
int connect_to(int port, int64_t timeout_ms);
/** @return false if the connection ended first */
bool send_all(int fd, const void *data, size_t size);
/**
 * Reads a message. Without a length and without chunks an answer ends with its
 * connection.
 * @return false if the connection ended before the headers were complete
 */
bool read_message(int fd, message_t *message, bool is_answer,
		  int64_t timeout_ms);

/** A request of a client. */
typedef struct {
	const char *method, *path, *id;
	const char *key; /**< NULL: none */
	const char *more_headers; /**< whole lines; NULL: none */
	int64_t deadline_ms;
	const void *body;
	size_t body_size;
} client_request_t;

/** Sends a request to host h.example. @return false: the channel ended */
bool client_send(int fd, const client_request_t *request);
/**
 * Sends a request and reads the answer.
 * @return false if the channel ended without a whole answer
 */
bool client_exchange(int fd, const client_request_t *request,
		     message_t *answer);

/** How the store treats the calls on one of its ports. */
typedef enum {
	STORE_ANSWERS,
	STORE_SILENT, /**< calls never get an answer, also not later */
	STORE_BUSY /**< calls get 503: nothing was done */
} store_mode_t;

/** @return the port of a new entrance to the store */
int store_open(void);
void store_set_mode(int port, store_mode_t mode);
/** Lets the channels that are open on all ports go silent for good, without a
 * reset. New ones work. */
void store_silence_channels(void);
/** Writes an object as the operator or a server, or deletes it (NULL). */
int64_t store_write(const char *kind, const char *name, json_t *spec);

/** A backend server. */
typedef struct server {
	char id[ID_SIZE];
	const char *service;
	const char *zone;
	int port, listen_fd;
	int slots;
	int64_t born_ms;
	int64_t cold_until_ms;
	const char *state;
	/** Answers a request on @p fd. @return false: closes the connection */
	bool (*serve)(struct server *server, const message_t *request, int fd);
	pthread_mutex_t lock;
	int running;
} server_t;

/** Starts a server; it is not in the store before server_announce(). */
void server_start(server_t *server);
/** Writes the entry of a server. */
void server_announce(const server_t *server);
/** Stops listening: new connections are refused. */
void server_stop_listening(server_t *server);
void server_listen_again(server_t *server);
/** Sends an answer with the seal and the id of the request. */
bool server_answer(const message_t *request, int fd, int status,
		   const char *more_headers, const void *body, size_t size);
/** @return true and the wrong-instance answer if another server is expected */
bool server_is_other(const server_t *server, const message_t *request, int fd);

/** A daemon. */
typedef struct {
	char name[ID_SIZE];
	const char *zone;
	pid_t pid;
	int front_port, ready_port, store_port, peer_port;
	int memory_mb;
	const char *more_settings; /**< further lines; NULL: none */
	char settings_path[256], log_path[256];
} node_t;

/** Starts a daemon with the command of the deploy file. */
bool node_start(node_t *node);
/** Writes the settings of a daemon, as for a small deployment. */
void node_write_settings(const node_t *node);
bool node_is_ready(const node_t *node);
bool node_wait_ready(const node_t *node, int64_t timeout_ms);
/** @return true if the process has ended by itself */
bool node_has_ended(node_t *node, int *status);
/** Ends all daemons and removes the temporary folder. */
void nodes_end(node_t *nodes, size_t count);

/** @return the memory that a daemon has in use, in KiB */
int64_t node_memory_kib(const node_t *node);

/** @return a route of host h.example with the members that all routes have */
json_t *route_json(const char *prefix, const char *kind, const char *service,
		   int timeout_ms, int target_ms);
/** @return limits as in the example of the platform's pages */
json_t *limits_json(void);

#endif

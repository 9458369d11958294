/**
 * @file soak.h
 * Randomized soak: real daemons as separate processes, with a store, backend
 * servers and callers played here, and faults injected from outside.
 *
 * Everything but the daemons runs on one loop. Each link passes a proxy that
 * can delay, reset, cut or silence it. The checks use only what callers and
 * servers see.
 */
#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>
#include <uthash.h>

#include "connection/client.h"
#include "connection/listener.h"

enum {
	NODES_MAX = 8,
	SERVERS = 6, /* the last two serve the plain service */
	PLAIN_SERVERS = 2,
	KEYS = 4,
	STREAM_EVENTS = 12,
	/* Promises of the settings that the daemons get. */
	DRAIN_MS = 2000,
	REVOKE_MS = 5000,
	STOP_MS = 8000,
	CALM_MS = 3000, /* a node without faults for this long is in touch */
	DEADLINE_MS = 4000
};

typedef struct soak soak_t;
typedef struct proxy proxy_t;

/** What a proxy does to its connections. */
typedef enum {
	LINK_GOOD,
	LINK_SLOW, /* delays what comes back */
	LINK_MUTE, /* swallows what comes back */
	LINK_SILENT, /* swallows both directions */
	LINK_REFUSED /* resets what is open and what comes */
} link_t;

/** A daemon process. */
typedef struct {
	soak_t *soak;
	char name[16];
	pid_t pid; /* 0: not running */
	bool paused, stopping, ready;
	int32_t misses; /* readiness probes in a row without a 200 */
	int64_t started_us;
	int64_t disturbed_us; /* last fault of the process or of its links */
	int port, ready_port, peer_port;
	proxy_t *store_link;
	char settings[256];
	ev_child child;
	ev_timer restart;
} node_t;

/** A backend server; its entry is written to the store. */
typedef struct {
	soak_t *soak;
	char id[16];
	bool plain, listed, draining;
	int64_t draining_us; /* when the store had it */
	listener_t *listener;
	proxy_t *link;
	int32_t running;
	double fail_share; /* of answers that break or fail */
	uint64_t arrivals;
} server_t;

/** One request of a caller, for the checks. */
typedef struct {
	char id[24];
	char path; /* s: safe, o: once, t: stream */
	int key; /* index, or -1 */
	int64_t sent_us;
	int32_t runs;
	bool refused; /* the caller was promised that it has not run */
	bool done;
	UT_hash_handle hh;
} request_record_t;

typedef struct {
	int64_t sent, complete, refused, failed, cut;
	int64_t calm_sent, calm_complete; /* after all faults ended */
} counts_t;

struct soak {
	struct ev_loop *loop;
	client_t *client; /* of callers */
	const char *build;
	char directory[128];
	uint64_t random;
	int64_t start_us, seconds;
	int node_count;
	node_t nodes[NODES_MAX];
	server_t servers[SERVERS];
	request_record_t *requests;
	uint64_t next_id;
	double rate_per_s;
	counts_t counts;
	int32_t violations;
	bool calm; /* no more faults: the fleet must recover */
	int64_t calm_us;
	int64_t key_revoked_us[KEYS]; /* 0: valid */
	int64_t version;
	ev_timer caller_timer, fault_timer, probe_timer, end_timer;
};

/** Reports a broken promise. */
void soak_violation(soak_t *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/** Writes a line with the time since the start. */
void soak_note(soak_t *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
uint64_t soak_random(soak_t *soak, uint64_t below);
bool soak_chance(soak_t *soak, double share);

/* proxy.c */
proxy_t *proxy_create(struct ev_loop *loop, int target_port);
int proxy_port(const proxy_t *proxy);
void proxy_set(proxy_t *proxy, link_t link);
void proxy_reset(proxy_t *proxy);
void proxy_destroy(proxy_t *proxy);

/* store.c */
typedef struct store store_t;
void store_start(soak_t *soak);
int store_port(void);
/** Writes an object; spec NULL deletes it. Takes over @p spec. */
void store_write(const char *kind, const char *name, json_t *spec);
void store_set_down(bool down);
void store_stop(void);
/** Writes the configuration in force from now on. */
void store_configure(soak_t *soak);

/* server.c */
void servers_start(soak_t *soak);
void server_announce(server_t *server);
void servers_stop(soak_t *soak);

/* nodes.c */
void nodes_start(soak_t *soak);
void node_signal(node_t *node, int number);
bool node_in_touch(const node_t *node);
void nodes_stop(soak_t *soak);

/* callers.c */
void callers_start(soak_t *soak);
request_record_t *callers_find(soak_t *soak, const char *id);
void callers_check(soak_t *soak);

/* faults.c */
void faults_start(soak_t *soak);
void faults_end(soak_t *soak);

#endif

/**
 * @file soak.h
 * Randomized soak test: runs daemons as separate processes and injects faults
 * into them and their links. The test process simulates the store, the backend
 * servers and the callers.
 *
 * All but the daemons runs on one event loop. The links of daemons to the store
 * and to servers pass through proxies, which can delay, reset, refuse or drop
 * their data. The checks use only what callers and servers can observe.
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
	KEYS = 4, /* keys of the client account */
	DUTY_KEYS = 80, /* the same with duties, and each of an account */
	/* With overload: accounts with a key each, more than the 12 that a node
	 * announces; slots of an engine; X-Request-Priority of the less urgent
	 * routes, and of deferred requests. */
	ACCOUNTS = 14,
	ENGINE_SLOTS = 3,
	LESS_URGENT = 4,
	LAST_PRIORITY = 9,
	STREAM_EVENTS = 12, /* events of a whole stream */
	/* The next three are time limits from the settings of the daemons, or
	 * from the defaults of these settings. */
	DRAIN_MS = 2000, /* time until a draining server gets no new requests */
	REVOKE_MS = 5000, /* time until a removed key is refused */
	STOP_MS = 8000, /* time from SIGTERM to the end of the daemon */
	UNDISTURBED_MS = 3000, /* time after the last fault of a node, from
				  which on the node must meet all limits */
	DEADLINE_MS = 4000, /* time limit of each request */
	CRASH_SEGMENTS = 2, /* segments of prompts that crash servers */
	CRASH_REQUESTS = 3, /* requests, sent again and again, that do */
	CRASH_CAUSES = CRASH_SEGMENTS + CRASH_REQUESTS,
	RATE_ARRIVALS_MAX = 256 /* counted arrivals that a server remembers */
};

/* Last part of a path: the answer that a plain server is asked for, other than
 * a short one. A long one takes 1.2 s to arrive. */
#define ANSWER_DELAYED "long" /* short, after 500 ms */
#define ANSWER_BIG "big" /* long, with a length */
#define ANSWER_BIG_CHUNKS "chunks" /* long, in chunks */

typedef struct soak soak_t;
typedef struct proxy proxy_t;

/** What a proxy does with its connections; replies come from the target. */
typedef enum {
	LINK_NORMAL, /* forwards both directions */
	LINK_SLOW, /* delays replies */
	LINK_DROP_REPLIES, /* drops replies */
	LINK_DROP_ALL, /* drops both directions */
	LINK_REFUSED, /* resets open connections and closes new ones */
	LINK_UNREACHABLE, /* resets open connections and refuses new ones */
	LINK_OPEN_ONLY, /* open connections go on, new ones are refused */
	LINK_SILENT, /* drops all data, new connections hang */
	LINK_HOLD /* holds up requests, which are lost if their sender resets
		     the connection before the link is normal again */
} link_mode_t;

/** What LINK_HOLD holds up of a request with a length. */
typedef enum {
	HELD_NONE, /* or of none with a length */
	HELD_PART, /* the rest is still with its sender */
	HELD_WHOLE
} held_call_t;

/** A daemon process. */
typedef struct {
	soak_t *soak;
	char name[16];
	pid_t pid; /* 0: not running */
	bool is_other_build, /* runs soak_t.other_build */
		paused, /* stopped by SIGSTOP */
		stopping, /* got SIGTERM or SIGKILL */
		ready; /* passes its readiness probes and gets requests */
	int32_t failed_probes; /* readiness probes in a row without a 200 */
	int64_t started_us;
	int64_t disturbed_us; /* last fault of the process or its links */
	int64_t stop_us; /* when the last graceful stop began; 0: none did */
	int port, ready_port, peer_port;
	int64_t told_us[SERVERS]; /* when the node first relayed the rate of a
				     server, since its last fault; 0: not yet */
	proxy_t *store_link;
	proxy_t *server_links[SERVERS]; /* with server_cuts; else NULL */
	int64_t cut_us; /* since when the links to all servers are cut; 0: they
			   are not */
	char settings[256]; /* path of the settings file */
	ev_child child;
	ev_timer restart;
} node_t;

/** The rate of requests that a server states, and what it got since. */
typedef struct {
	bool is_stated;
	double per_s, highest_per_s; /* stated now; highest that still counts */
	int64_t first_us, /* when the server first stated a rate */
		lowered_us; /* when the rate fell below the highest; 0: it did
			       not */
	int64_t arrivals_us[RATE_ARRIVALS_MAX]; /* of nodes that know the rate
						 */
	int arrival_count;
} rate_log_t;

/** A backend server, with an object in the store while it is listed. */
typedef struct {
	soak_t *soak;
	char id[16];
	bool plain, /* serves the plain service, else the model */
		listed, /* has an object in the store */
		draining; /* draining or deleted: gets no new requests after
			     DRAIN_MS */
	int64_t draining_us; /* when the store had the server as draining, or
				as deleted */
	listener_t *listener;
	proxy_t *link;
	int32_t running, waiting; /* requests that run, or wait for a slot */
	bool down; /* crashed, and not started again yet */
	ev_timer start_timer; /* starts the server again after a crash */
	double abort_chance; /* probability that an answer is aborted */
	uint64_t arrivals; /* requests received */
	int64_t born_ms; /* start of the server, as its object states it */
	rate_log_t rate;
} server_t;

/** One request of a caller, for the checks. */
typedef struct {
	char id[24];
	char path; /* s: repeatable, o: runs at most once, t: stream; with
		      overload also u: less urgent stream, v: the same that
		      runs at most once */
	int key; /* index of the caller's key; -1: none */
	const node_t *node; /* node that got the request */
	int tries; /* index in soak_t.tries; -1: not counted */
	int crash_cause; /* what crashes servers: the index of a segment of its
			    prompt, or from CRASH_SEGMENTS on the request
			    itself; -1: nothing */
	char body[16]; /* empty: none */
	int64_t sent_us, first_us; /* first_us: first data of the answer; 0:
				      none */
	int32_t arrivals; /* times that the request reached a server */
	int32_t runs; /* times that a server began to run the request */
	bool refused; /* the answer promised that the request was not run */
	bool done; /* the call of the caller ended */
	UT_hash_handle hh;
} request_record_t;

/** What servers got of one cause that crashes them. */
typedef struct {
	int crashes; /* of servers */
	int64_t known_us; /* when the last crash came that nodes may need to
			     know the cause; 0: not yet */
	int late_arrivals; /* requests that the rule allows only few of */
} crash_log_t;

/** Numbers of requests, by the way they ended. */
typedef struct {
	int64_t sent, /* requests sent in total */
		complete, /* answered with status 200 */
		refused, /* answered with status 503 */
		failed, /* answered with another status */
		cut; /* got no whole answer */
	/* Requests sent after soak_t.recovered_us: all, and those answered with
	 * status 200. */
	int64_t recovered_sent, recovered_complete;
} counts_t;

struct soak {
	struct ev_loop *loop;
	client_t *client; /* sends the callers' requests and the probes */
	const char *build; /* directory of chivestaged */
	const char *other_build; /* the same for every other daemon; NULL: none
				  */
	char directory[128]; /* settings and logs of the daemons */
	uint64_t random; /* state of the random number generator */
	int64_t start_us, seconds; /* start and duration of the faults */
	int node_count;
	node_t nodes[NODES_MAX];
	server_t servers[SERVERS];
	request_record_t *requests;
	uint64_t next_id;
	double rate_per_s;
	counts_t counts;
	int32_t violations;
	bool callers_over; /* no more requests are sent */
	bool faults_over; /* all faults ended: the fleet must recover */
	int64_t store_down_us; /* when the store fell silent; 0: it answers */
	int64_t recovered_us; /* end of the time to recover; 0: not reached */
	int64_t key_revoked_us[DUTY_KEYS]; /* 0: the key is valid */
	int64_t version; /* version of the configuration written last */
	int server_rates; /* servers state rates, and restart */
	uint64_t rates_random; /* state of the generator for rates */
	int prompt_crashes; /* prompts with some segments crash servers */
	uint64_t crashes_random; /* state of the generator for these */
	int request_crashes; /* some requests crash servers */
	crash_log_t crashes[CRASH_CAUSES];
	int server_cuts; /* nodes lose their links to all servers */
	uint64_t cuts_random; /* state of the generator for these */
	/* First tries at undisturbed nodes while some are cut off: at these,
	 * and at the others. */
	struct {
		int sent, served;
	} tries[2];
	int store_restores; /* the store comes back from copies */
	uint64_t restores_random; /* state of the generator for these */
	bool restoring; /* the store is away until it does */
	int overload; /* nodes control the load; bursts beyond the slots */
	int retry_kills; /* servers reject bursts in which all nodes are killed
			  */
	int duties; /* usage is reported, and cuts hold up reports */
	int stops; /* planned stops and changes alone, and callers of their own
		    */
	struct {
		int sent, served, refused, failed; /* at nodes that stop */
		int64_t served_ms; /* sum of their times */
	} stop_counts;
	int64_t stepped_us; /* when these callers were last looked at */
	uint64_t stops_random; /* state of the generator for these callers */
	ev_timer caller_timer, fault_timer, rate_timer, restore_timer,
		cut_timer, probe_timer, end_timer;
};

/** Prints a violation of a guarantee and counts it. */
void soak_violation(soak_t *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/** Prints a line with the time since the start. */
void soak_note(soak_t *soak, const char *format, ...)
	__attribute__((format(printf, 2, 3)));
/** @return a random number from 0 to @p below - 1. */
uint64_t soak_random(soak_t *soak, uint64_t below);
/** The same from a generator of its own, so that the faults of a seed do not
 * depend on its use. */
uint64_t soak_random_of(uint64_t *state, uint64_t below);
/** @return true with the probability @p chance. */
bool soak_chance(soak_t *soak, double chance);

/* proxy.c */
/** Listens on a free port of 127.0.0.1 and forwards to @p target_port. */
proxy_t *proxy_create(struct ev_loop *loop, int target_port);
int proxy_port(const proxy_t *proxy);
/** Sets what the proxy does with open and new connections. */
void proxy_set(proxy_t *proxy, link_mode_t link);
/** Resets the open connections of the proxy. */
void proxy_reset(proxy_t *proxy);
void proxy_destroy(proxy_t *proxy);
/** Makes what LINK_HOLD holds up stay with the sender, but for its begin. */
void proxy_bound_held(proxy_t *proxy);
/** @return what LINK_HOLD holds up of a request. */
held_call_t proxy_held_call(const proxy_t *proxy);

/* budget.c */
void budget_start(soak_t *soak);
/** @return factor of the rate of requests */
double budget_factor(const soak_t *soak);
/** @return true if a server rejects the request that arrives now */
bool budget_sheds(const soak_t *soak);
/** Counts a request of a caller. */
void budget_sent(const request_record_t *record);
/** Counts an arrival at a server; NULL: no caller sent the request. */
void budget_arrival(request_record_t *record);
/** @return settings of the daemons: retries per request, and above that */
double budget_ratio(const soak_t *soak);
int budget_slack(const soak_t *soak);
/** Checks the retries of the whole run. */
void budget_check(soak_t *soak);

/* cuts.c */
/** Creates the links of a node to the servers, with server_cuts. */
void cuts_link_node(node_t *node);
void cuts_unlink_node(node_t *node);
/** @return port at which the node reaches the server */
int cuts_port(const node_t *node, const server_t *server);
void cuts_start(soak_t *soak);
void cuts_end(soak_t *soak);
/** Decides if the request counts as a first try during a cut. */
void cuts_sent(soak_t *soak, request_record_t *record);
void cuts_answered(soak_t *soak, const request_record_t *record, bool served);
/** Compares the first tries at nodes that were cut off with the others. */
void cuts_check(soak_t *soak);

/* duties.c */
/** Opens the platform's interface. */
void duties_open(soak_t *soak);
/** Writes the settings of a daemon for duties; empty: it has none. */
void duties_settings(const node_t *node, char *text, size_t size);
/** @return the key of the next request */
int duties_key(void);
void duties_start(soak_t *soak);
void duties_check(soak_t *soak);

/* store.c */
typedef struct store store_t;
void store_start(soak_t *soak);
int store_port(int node);
/** Writes an object, or deletes the object if @p spec is NULL. The store frees
 * @p spec. */
void store_write(const char *kind, const char *name, json_t *spec);
/** While down, the store answers no call. */
void store_set_down(bool down);
/** Goes back to a copy of @p age_ms ago; what the operator and the servers
 * wrote since is written again. */
void store_restore(int64_t age_ms);
/** @return the revision of the last change. */
int64_t store_revision(void);
void store_stop(void);
/** Writes the name of the account of a key. With duties, names are so long that
 * a report of all is larger than what a link holds up. */
void store_account_name(const soak_t *soak, int key, char *name, size_t size);
/** Writes a configuration with the keys that are not revoked. */
void store_configure(soak_t *soak);

/* server.c */
void servers_start(soak_t *soak);
/** Writes the object of a server to the store, or deletes it if not listed. */
void server_announce(server_t *server);
/** Restarts a server at its address, under its id or under a new one. Its
 * requests break off. */
void server_restart(server_t *server);
/** Ends a server, with all of its requests; it starts again after @p ms. */
void server_crash(server_t *server, int64_t ms);
/** @return number of the server, from 0 */
int server_index(const server_t *server);
void servers_stop(soak_t *soak);

/* nodes.c */
void nodes_start(soak_t *soak);
/** Sends a signal to a daemon that runs, and sets node_t.disturbed_us. */
void node_signal(node_t *node, int number);
/** @return true if a daemon runs and had no fault for UNDISTURBED_MS. */
bool node_undisturbed(const node_t *node);
void nodes_stop(soak_t *soak);

/* callers.c */
void callers_start(soak_t *soak);
/** @return the request with the id; NULL if no caller sent it. */
request_record_t *callers_find(soak_t *soak, const char *id);
/** Checks at the end that requests succeeded after the faults. */
void callers_check(soak_t *soak);

/** @return true if the request is answered by a model */
bool callers_is_stream(const request_record_t *record);
/** @return true if the request may run once at most */
bool callers_is_once(const request_record_t *record);
/** @return a new request with a random path and key. */
request_record_t *callers_new_record(soak_t *soak);

/* overload.c */
void overload_start(soak_t *soak);
/** @return the part of the rate at which callers send requests now */
double overload_factor(const soak_t *soak);
/** Chooses path and account of a request. */
void overload_choose(const soak_t *soak, request_record_t *record);
void overload_answered(const request_record_t *record, bool served);
/** Checks the priority of a request that an engine got. */
void overload_arrival(soak_t *soak, const request_record_t *record,
		      int priority);
/** Asks the nodes for what they count when no requests are left. */
void overload_ask(soak_t *soak);
/** Compares what was served of each account and kind. */
void overload_check(soak_t *soak);

/* stops.c */
void stops_start(soak_t *soak);
void stops_end(soak_t *soak);
/** Prints what callers got of nodes that stop. */
void stops_print(const soak_t *soak);

/* rates.c */
void rates_start(soak_t *soak);
/** Checks, when a request arrives, the rate that the server states. */
void rates_arrival(server_t *server, const request_record_t *record);
/** Notes that a caller got an answer of the server with its rate. */
void rates_relayed(node_t *node, const char *server_id);
/** Withdraws all rates. */
void rates_end(soak_t *soak);

/* crashes.c */
void crashes_start(soak_t *soak);
/** Chooses the body of a request and the segments of its prompt, as the value
 * of X-Prefix-Hash. */
void crashes_choose(soak_t *soak, request_record_t *record, char *text,
		    size_t size);
/** Checks, when a request arrives, whether it was to be kept from servers. */
void crashes_arrival(soak_t *soak, const request_record_t *record);
/**
 * Crashes the server that begins to write an answer to @p record, if the
 * request, or a segment of its prompt, does so.
 * @return true if it crashed
 */
bool crashes_server(server_t *server, const request_record_t *record);

/* restores.c */
void restores_start(soak_t *soak);
void restores_end(soak_t *soak);

/* faults.c */
/** Removes a key of the client account, unless it has to stay. */
void faults_remove_key(soak_t *soak, int key);
void faults_start(soak_t *soak);
/** Ends all faults and lets no other fault begin. */
void faults_end(soak_t *soak);

#endif

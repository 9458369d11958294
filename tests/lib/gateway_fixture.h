/**
 * @file gateway_fixture.h
 * Runs a gateway on the event loop of the test, with a store and two backend
 * servers that follow a script. The servers are plain sockets, so that they can
 * break off anywhere.
 */
#ifndef TESTS_LIB_GATEWAY_FIXTURE_H
#define TESTS_LIB_GATEWAY_FIXTURE_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>

#include "connection/client.h"
#include "connection/listener.h"
#include "process/gateway_state.h"

/** What a server does with the next request that arrives at either server. */
typedef enum {
	SERVES, /**< sends a whole answer, or all events of a stream */
	NOT_RUN, /**< refuses the request before running it */
	MISDIRECTED, /**< answers with status 421 */
	CLOSES, /**< closes the connection without an answer */
	FAILS, /**< answers with status 500 and a seal: the server's own */
	FAILS_LONG, /**< the same, with a body too long to be held */
	UNSEALED, /**< success without X-Server-Seal: not the server's own */
	FOREIGN, /**< answer to another request */
	BREAKS_OFF, /**< breaks off in the body, or in the middle of an event */
	ENDS_EARLY, /**< ends a stream after its second event */
	ENDS_UNFRAMED, /**< ends early, in an answer without length or chunks */
	REPEATS, /**< sends events that the caller already has, then the rest */
	CUTS_HEAD, /**< closes the connection within the headers */
	GARBAGE, /**< sends bytes that are not an HTTP answer */
	ENDLESS_HEAD, /**< sends header lines without end */
	/** Refuses the request before running it, with an endless body. */
	ENDLESS_REFUSAL,
	ENDLESS_UNSEALED, /**< unsealed success with an endless body */
	/* Sealed answers without end: */
	ENDLESS_BODY,
	ENDLESS_CHUNKS,
	ENDLESS_ERROR, /**< with status 500 */
	ENDLESS_EVENT, /**< a stream with one event */
	ENDLESS_EVENTS, /**< a stream of events without ids */
	ENDLESS_REPEATS, /**< a stream that repeats an event */
	ENDLESS_BLANKS, /**< a stream of blank lines */
	REJECTS_ALL, /**< 503; rejects all requests of this node for 300 ms */
	/** Whole answer; says that the server accepts no new requests soon. */
	SAYS_LEAVING,
	SERVES_DELAYED, /**< whole answer, after 100 ms */
	BREAKS_OFF_LONG, /**< breaks off in a body longer than the gateway holds
			  */
	STALLS_LONG, /**< falls silent there */
	SERVES_LONG, /**< whole answer with a body of LONG_BODY_BYTES */
	SERVES_MEDIUM, /**< the same with MEDIUM_BODY_BYTES */
	/* The same with PARTS_BODY_BYTES, of which the last LAST_PART_BYTES
	 * come after 800 ms: */
	SERVES_PARTS, /**< with a length */
	SERVES_PARTS_CHUNKED,
	SERVES_PARTS_UNFRAMED, /**< ends with the connection */
	TRICKLES, /**< sends half of a stream, then a byte at intervals */
	SILENT /**< holds the request without an answer */
} server_act_t;

enum {
	ARRIVALS_MAX = 160,
	ACTS_MAX = 6,
	STREAM_EVENTS = 4,
	ARRIVAL_TEXT_BYTES = 20000,
	LONG_BODY_BYTES = 250000, /* less than the gateway holds */
	MEDIUM_BODY_BYTES = 150000, /* fits the buffers of a connection */
	PARTS_BODY_BYTES = 350000, /* more than that, also without the last */
	LAST_PART_BYTES = 50000
};

typedef struct {
	char *text; /**< request head and body as received */
	int server; /**< number of the server */
	int64_t at_us;
	bool closed; /**< closed by the gateway before the answer ended */
} arrival_t;

/** Reply as the caller received it. */
typedef struct {
	bool ended;
	bool discards; /**< keeps no body; set after the call began */
	client_end_t end;
	int status;
	char headers[2048]; /**< the first of them */
	size_t header_bytes; /**< names and values of all */
	bool is_sealed; /**< has X-Server-Seal */
	char body[8192];
	size_t size;
	client_call_t *call;
} reply_t;

/** What a server does with requests that have a text. */
typedef struct {
	const char *text;
	server_act_t act;
} text_act_t;

typedef struct gateway_fixture {
	struct ev_loop *loop;
	gateway_t *gateway;
	client_t *client;
	listener_t *store;
	exchange_t *watches[32]; /**< calls to the store not answered yet */
	int64_t watched_us[32]; /**< when each of these calls arrived */
	size_t watch_count;
	ev_timer watch_timer, endless_timer;
	int64_t wait_ms[32]; /**< until they are answered */
	bool watches_wait; /**< for as long as they ask, else 150 ms */
	bool store_silent;
	bool store_refuses; /**< answers all calls with store_refusal */
	int store_refusal; /**< a status; 0: 503, -1: resets connections */
	int watch_status; /**< status of the answers to watches; 0: 200 */
	/** Calls to the store, without those for the list of nodes. */
	int view_calls;
	const char *era; /**< Store-Era of the store's answers; NULL: none */
	int registrations; /**< entries that the gateway created for itself */
	bool has_entry; /**< the store has one of an earlier process */
	int64_t configuration_version; /**< 0: 3 */
	bool no_configuration;
	/** Changes the configuration, and the entry of each server, before they
	 * are sent; NULL: does not. */
	void (*edit)(const struct gateway_fixture *fixture, const char *path,
		     json_t *spec);
	size_t other_nodes; /**< nodes in the list of nodes after n1 */
	const char *other_data_centre; /**< of these nodes; NULL: that of n1 */
	bool takes_no_relays; /**< like a node of an earlier build */
	const char *node_id; /**< of the gateway; NULL: n1 */
	char registration[500]; /**< entry that the gateway wrote for itself */
	/** Another gateway, whose entry the list of nodes holds; NULL: none. */
	const struct gateway_fixture *other;
	/** Servers break off each request with this text in its headers, as if
	 * they ended, instead of following the script; NULL: none. */
	const char *crash_text;
	bool has_health; /**< service "s" has a health path, /health */
	/** How: CLOSES, BREAKS_OFF, ENDS_EARLY or ENDS_UNFRAMED. */
	server_act_t crash_act;
	int64_t crash_down_ms; /**< then refuses connections for so long */
	bool store_endless; /**< answers watches with bodies without end */
	bool duties_endless; /**< answers duties with bodies without end */
	exchange_t *endless; /**< the last such answer; NULL: none */
	size_t endless_bytes; /**< sent in all such answers */
	bool keys_stay; /**< valid, however late the store answers */
	int64_t memory_limit_bytes; /**< of the gateway; 0: 64 MiB */
	int slots; /**< requests that a server runs at once; 0: 8 */
	bool controls_load; /**< see node_settings_t */
	bool no_servers; /**< the entries of all servers were removed */
	bool tells_removals; /**< watches get these removals as changes */
	bool has_duties; /**< the platform has duties; set before the start */
	bool duties_fail; /**< answers calls of duties with 503 */
	/** Path, holder, token and body of each call. */
	char duty_calls[64][640];
	size_t duty_call_count;
	struct server {
		ev_io listening;
		int port;
		/** Rate of requests that the server states in whole answers;
		 * NULL: none. */
		const char *rate;
		ev_timer restart; /**< after a crash */
		int fillers[4]; /**< connections that fill the queue of a
				 * server that is cut off; 0: none */
	} servers[2];
	/** Script: act for each arrival, in order; SERVES after the last. */
	server_act_t acts[ACTS_MAX];
	/** Acts for requests with a text, in place of the script; ends with a
	 * text of NULL. NULL: none. */
	const text_act_t *text_acts;
	arrival_t arrivals[ARRIVALS_MAX];
	size_t arrival_count;
} gateway_fixture_t;

/** API key of the account "acme". */
#define FIXTURE_KEY "k1"
#define FIXTURE_AUTHORIZATION "Authorization: Bearer k1"

void gateway_fixture_start(gateway_fixture_t *fixture);
void gateway_fixture_stop(gateway_fixture_t *fixture);
/** Opens a server that follows the script in acts (gateway_servers.c). */
void gateway_fixture_server(gateway_fixture_t *fixture, struct server *server);
void gateway_fixture_stop_server(gateway_fixture_t *fixture,
				 struct server *server);
/** How connections to a server fail that the gateway cannot reach. */
typedef enum { CUT_REFUSES, CUT_HANGS } cut_t;
/** Cuts a server off; its entry stays. */
void gateway_fixture_cut_server(gateway_fixture_t *fixture,
				struct server *server, cut_t cut);
/** Ends the cut. */
void gateway_fixture_heal_server(gateway_fixture_t *fixture,
				 struct server *server);
/** Runs the loop until the gateway knows routes and servers. */
void gateway_fixture_wait_ready(gateway_fixture_t *fixture);
/** Calls that the store holds are never answered, like those that arrive while
 * it is cut off. */
void gateway_fixture_forget_calls(gateway_fixture_t *fixture);
/** Runs the loop for @p ms. */
void gateway_fixture_run(gateway_fixture_t *fixture, int64_t ms);

/**
 * Sends a request.
 * @param headers "Name: value" lines; the last entry is NULL
 */
void gateway_fixture_call(gateway_fixture_t *fixture, reply_t *reply,
			  const char *method, const char *path,
			  const char *const *headers, const char *body);
/**
 * Sends a request on a connection of its own, of whose answer nothing is read.
 * @param number makes the id of the request
 * @return the socket
 */
int gateway_fixture_send_unread(gateway_fixture_t *fixture, const char *path,
				int number);
/**
 * Runs the loop until the reply ended.
 * @return false if it did not end within @p limit_ms
 */
bool gateway_fixture_wait(gateway_fixture_t *fixture, const reply_t *reply,
			  int64_t limit_ms);

#endif

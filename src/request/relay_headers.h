/**
 * @file relay_headers.h
 * Headers between two nodes, one of which passes a request on to the other. No
 * other headers may begin like these: those of callers and servers are dropped.
 */
#ifndef REQUEST_RELAY_HEADERS_H
#define REQUEST_RELAY_HEADERS_H

#define RELAY_HEADER_PREFIX "Chivestage-Relay-"
/** Key of the receiving node, from its entry in the list of nodes. */
#define RELAY_HEADER_KEY RELAY_HEADER_PREFIX "Key"
/** VERSION,AGE: the configuration that the sending node has in force, and the
 * time in ms since it applied that configuration. */
#define RELAY_HEADER_VERSION RELAY_HEADER_PREFIX "Version"
/** In an answer that is not the server's: what became of the request. */
#define RELAY_HEADER_OUTCOME RELAY_HEADER_PREFIX "Outcome"

/** Values of RELAY_HEADER_OUTCOME. */
#define RELAY_UNAVAILABLE "unavailable"
#define RELAY_REFUSED "refused"
#define RELAY_FAILED "failed"

/** What became of a request that was passed on. */
typedef enum {
	RELAY_OUTCOME_ANSWERED, /**< the answer is the server's */
	RELAY_OUTCOME_UNAVAILABLE, /**< sent to no server; another node may
				    * serve the request */
	RELAY_OUTCOME_REFUSED, /**< not run; other nodes would refuse, too */
	RELAY_OUTCOME_FAILED /**< it may have run */
} relay_outcome_t;

#endif

/**
 * @file
 * Calls to the API of a gateway host, in decoded form.
 */
#ifndef BORAGEWINGD_GATE_API_H
#define BORAGEWINGD_GATE_API_H

#include <stdint.h>

#include "bwbase/packet.h"
#include "bwsteer/registry.h"

/** Kinds of API calls. */
enum gate_call_kind {
	GATE_CALL_UNKNOWN,
	GATE_CALL_READY, /**< whether this host accepts requests */
	GATE_CALL_LOOK_UP, /**< entry hosts for a client */
	GATE_CALL_ANNOUNCE, /**< heartbeat of a backend server */
	GATE_CALL_LEAVE, /**< a backend server shuts down */
	GATE_CALL_SUBMIT, /**< a new configuration */
	GATE_CALL_READ, /**< the current configuration */
	GATE_CALL_EVACUATE, /**< stop using a failure domain */
	GATE_CALL_REINSTATE, /**< use a failure domain again */
	GATE_CALL_KIND_COUNT
};

/** Stable names of enum gate_call_kind. */
extern const char *const gate_call_kind_string[GATE_CALL_KIND_COUNT];

/** An API call; kind determines which members are set. */
struct gate_call {
	enum gate_call_kind kind;
	char server[BW_SERVER_ID_MAX]; /**< ANNOUNCE, LEAVE */
	char domain[BW_SERVER_TEXT_MAX]; /**< LOOK_UP: of the client;
					     EVACUATE, REINSTATE */
	char region[BW_SERVER_TEXT_MAX]; /**< LOOK_UP: of the client */
};

#endif

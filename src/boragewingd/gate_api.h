/**
 * @file
 * Calls that a gateway host answers, with their decoded content.
 */
#ifndef BORAGEWINGD_GATE_API_H
#define BORAGEWINGD_GATE_API_H

#include <stdint.h>

#include "bwbase/packet.h"
#include "bwsteer/registry.h"

/** Kinds of call. */
enum gate_call_kind {
	GATE_CALL_UNKNOWN,
	GATE_CALL_READY, /**< whether this host takes requests */
	GATE_CALL_LOOK_UP, /**< which entry hosts a client is to use */
	GATE_CALL_ANNOUNCE, /**< sign of life of a backend server */
	GATE_CALL_LEAVE, /**< a backend server says goodbye */
	GATE_CALL_SUBMIT, /**< a new configuration */
	GATE_CALL_READ, /**< the configuration in force */
	GATE_CALL_EVACUATE, /**< stop using a failure domain */
	GATE_CALL_REINSTATE, /**< use a failure domain again */
	GATE_CALL_KIND_COUNT
};

/** Stable names of enum gate_call_kind. */
extern const char *const gate_call_kind_string[GATE_CALL_KIND_COUNT];

/** One call; kind says which members are set. */
struct gate_call {
	enum gate_call_kind kind;
	char server[BW_SERVER_ID_MAX]; /**< ANNOUNCE, LEAVE */
	char domain[BW_SERVER_TEXT_MAX]; /**< LOOK_UP: of the client;
					     EVACUATE, REINSTATE */
	char region[BW_SERVER_TEXT_MAX]; /**< LOOK_UP: of the client */
};

#endif

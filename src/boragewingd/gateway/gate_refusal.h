/**
 * @file
 * Log lines and counters of requests that a role turns away before it handles
 * them. docs/OPERATIONS.md describes the fields.
 */
#ifndef BORAGEWINGD_GATE_REFUSAL_H
#define BORAGEWINGD_GATE_REFUSAL_H

#include "bwproxy/listener.h"
#include "gate_node.h"

/** Number of status codes with which a control host refuses calls. */
#define GATE_REFUSED_STATUS_COUNT 4

/** Requests that one role turned away. */
struct gate_refusals {
	struct gate_node *node;
	struct bw_metric *invalid[BW_LISTENER_CAUSE_COUNT];
	struct bw_metric *refused[GATE_REFUSED_STATUS_COUNT]; /**< calls */
	uint64_t seen_count;
	int64_t second; /**< in which line_count lines were written */
	uint32_t line_count;
	uint32_t unlogged_count; /**< since the last line */
};

/**
 * Creates the counters.
 * @param role label of the counters, for example "entry"
 */
void gate_refusals_init(struct gate_refusals *refusals, struct gate_node *node,
			const char *role);

/**
 * Counts and logs a request that a listener did not accept. The lines are
 * limited per second, as a client may send garbage at any rate.
 * @param version configuration in force; 0: none
 */
void gate_refusals_note_invalid(struct gate_refusals *refusals,
				const struct bw_server_connection *connection,
				const struct bw_http_message *request,
				const struct bw_listener_rejection *rejection,
				uint64_t version);

/** Creates the counters of calls. */
void gate_refusals_init_calls(struct gate_refusals *refusals);

/** Counts a call that is answered with a 3xx or 4xx status code. */
void gate_refusals_count_call(struct gate_refusals *refusals,
			      uint16_t status_code);

/**
 * Counts and logs such a call; the lines are limited together with those of
 * invalid requests.
 * @param connection with the call in progress
 */
void gate_refusals_note_call(struct gate_refusals *refusals,
			     const struct bw_server_connection *connection,
			     uint16_t status_code, const char *cause);

/** Size of a text in a log line that came from a client. */
#define GATE_REFUSAL_TEXT_BYTES 256

/**
 * Copies bytes of a client for a log line: cut to the size of the line's text,
 * and with '?' for what is not printable ASCII, as a line has to be UTF-8.
 */
void gate_refusal_copy(char text[GATE_REFUSAL_TEXT_BYTES], const char *bytes,
		       size_t size_bytes);

/** Copies a field of a request in the same way; "" when it has none. */
void gate_refusal_copy_field(char text[GATE_REFUSAL_TEXT_BYTES],
			     const struct bw_http_message *request,
			     const char *name);

#endif

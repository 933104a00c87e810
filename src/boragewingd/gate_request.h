/**
 * @file
 * One client's request at an entry host, from arrival to end.
 */
#ifndef BORAGEWINGD_GATE_REQUEST_H
#define BORAGEWINGD_GATE_REQUEST_H

#include "gate_entry.h"

/** Size of a request id with its final zero. */
#define GATE_REQUEST_ID_BYTES 128

/** The last attempt of a request, for its log line. */
struct gate_attempt {
	char server[BW_SERVER_ID_MAX];
	enum bw_distance distance;
	bool warm; /**< the object was expected to be warm */
	bool home; /**< the server is the home of the object */
	double expected_ms;
	double others; /**< requests of other hosts that were assumed */
	int64_t report_age_ms; /**< of that assumption */
	uint32_t took_ms; /**< 0 while it is in flight */
	struct bw_load_report load; /**< as reported in the response */
};

/** One request. */
struct gate_request {
	struct gate_entry *entry;
	struct gate_request *next;
	struct gate_request **previous;
	struct bw_server_connection *connection; /**< NULL: client is gone */
	struct bw_pool_connection *upstream; /**< NULL: not sent */
	struct bw_routing *routing; /**< in force at its arrival */
	const struct bw_route *route;
	struct bw_job job;
	struct bw_buffer head; /**< fields that are forwarded */
	struct bw_buffer body;
	char id[GATE_REQUEST_ID_BYTES];
	uint8_t method;
	struct gate_attempt last;
	uint32_t queue_ms; /**< until it was first sent */
	uint32_t attempts; /**< backend servers that it was sent to */
	uint32_t connect_failures;
	bool traced; /**< each of its decisions gets a log line */
	bool may_have_run; /**< an attempt ended without a clear outcome */
	bool detached; /**< answered or left; only its end is awaited */
	ev_timer deadline_timer;
	uint64_t arrived_us;
	uint64_t sent_us;
};

/** Handles a complete request of a client. */
void gate_request_begin(struct gate_entry *entry,
			struct bw_server_connection *connection,
			const struct bw_http_message *message);

/** The client of a request went away. */
void gate_request_client_gone(struct gate_request *request);

/** Ends a request whose client left while a connection was made; see
 *  struct bw_pool_config. */
bool gate_request_connected(void *context, void *request);

/** The pool reports the end of a request. */
void gate_request_ended(void *context, void *request,
			enum bw_pool_result result,
			const struct bw_http_message *response);

/** Sends or rejects waiting requests for which it is time. */
void gate_request_run_queue(struct gate_entry *entry);

/** Frees a request without any answer. */
void gate_request_free(struct gate_request *request);

#endif

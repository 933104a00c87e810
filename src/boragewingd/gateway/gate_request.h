/**
 * @file
 * Life cycle of a client request at an entry host.
 */
#ifndef BORAGEWINGD_GATE_REQUEST_H
#define BORAGEWINGD_GATE_REQUEST_H

#include "gate_entry.h"

/** Size of a request id, including the terminating zero. */
#define GATE_REQUEST_ID_BYTES 128

/** Last attempt of a request, as logged. */
struct gate_attempt {
	char server[BW_SERVER_ID_MAX];
	enum bw_distance distance;
	bool warm; /**< the object was expected to be warm */
	bool home; /**< the server is the home of the object */
	double expected_ms;
	double other_host_requests; /**< estimate of those on the server */
	int64_t report_age_ms; /**< age of the load report it is based on;
				    -1: none */
	uint32_t took_ms; /**< 0 while it is in flight */
	struct bw_load_report load; /**< as reported in the response */
};

/** A client request. */
struct gate_request {
	struct gate_entry *entry;
	struct gate_request *next;
	struct gate_request **previous;
	struct bw_server_connection *connection; /**< NULL: no client */
	struct bw_pool_connection *upstream; /**< NULL: not in flight */
	struct bw_routing *routing; /**< that it follows */
	const struct bw_route *route;
	const struct bw_customer *customer; /**< of routing; NULL: none */
	char *key; /**< of the customer; NULL: none; never logged */
	struct gate_quota_use quota_use;
	struct bw_job job;
	struct bw_buffer head; /**< request line and forwarded fields */
	struct bw_body body; /**< taken from the listener; the pool reads it
				  while an attempt is in flight */
	struct bw_fingerprint fingerprint; /**< if has_fingerprint */
	bool has_fingerprint; /**< the body may be freed */
	char id[GATE_REQUEST_ID_BYTES];
	char *host; /**< asked for, with its port */
	char *affinity_key; /**< NULL: none */
	uint8_t method;
	struct gate_attempt last_attempt;
	uint32_t queue_ms; /**< time from arrival to first attempt */
	uint32_t attempts; /**< excludes failed connects */
	uint32_t connect_failures;
	bool traced; /**< log every decision about it */
	bool may_have_run; /**< an attempt ended without a clear outcome */
	bool detached; /**< ended for the client; may be in flight */
	bool expired; /**< the deadline passed while the body arrived */
	ev_timer deadline_timer; /**< then, if detached, of the attempt */
	uint64_t arrived_us;
	uint64_t sent_us;
};

/** Handles a complete client request. */
void gate_request_begin(struct gate_entry *entry,
			struct bw_server_connection *connection,
			const struct bw_http_message *message);

/** Handles the disconnect of the client. */
void gate_request_client_disconnected(struct gate_request *request);

/**
 * Pool callback: ends the request if its client disconnected while the upstream
 * connection was opened; see struct bw_pool_config.
 */
bool gate_request_connected(void *context, void *request);

/** Pool callback: handles the result of an attempt. */
void gate_request_ended(void *context, void *request,
			enum bw_pool_result result,
			const struct bw_http_message *response,
			struct bw_body *body);

/** Sends or rejects the queued requests that are due. */
void gate_request_run_queue(struct gate_entry *entry);

/** Responds to a request, because the host stops; it may be freed. */
void gate_request_stop(struct gate_request *request);

/** Frees a request without a response. */
void gate_request_free(struct gate_request *request);

#endif

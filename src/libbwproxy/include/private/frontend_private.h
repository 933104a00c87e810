/**
 * @file
 * Shared by the parts of the frontend: listeners (frontend.c),
 * requests (request.c) and responses (response.c).
 */
#ifndef PRIVATE_FRONTEND_PRIVATE_H
#define PRIVATE_FRONTEND_PRIVATE_H

#include <microhttpd.h>

#include "bwbase/clock.h"
#include "bwproxy/frontend.h"
#include "private/ring.h"

/** One accepted connection, to bound the time until a head is complete. */
struct connection {
	struct connection *next;
	struct connection *previous;
	int fd;
	bool awaiting_head;
	struct bw_time since; /**< start of the wait for a head */
};

/** One listening socket with its daemon. */
struct listener {
	struct bw_frontend *frontend;
	struct MHD_Daemon *daemon;
	struct bw_frontend_listener config; /**< texts are not kept */
	uint32_t index;
	uint16_t port;
	bool run_due; /**< MHD_run is needed in the deferred pass */
	ev_io io; /**< epoll descriptor of the daemon */
	ev_timer timer; /**< timeout of the daemon */
	ev_timer sweep; /**< looks for connections without a head */
	struct connection *connections;
};

/** The module. */
struct bw_frontend {
	struct ev_loop *loop;
	struct bw_frontend_handler user;
	uint32_t ring_bytes;
	struct listener listeners[BW_FRONTEND_LISTENERS_MAX];
	uint32_t listener_count;
	struct bw_request *requests; /**< all, doubly linked */
	struct bw_request
		*wake; /**< requests to look at in the deferred pass */
	ev_prepare deferred; /**< never started, only fed */
	int leave_fd; /**< epoll descriptor that reports closed callers */
	ev_io leave_io;
	bool stopping;
	bool idle_reported;
	bool closing; /**< free in progress: no new request */
	struct bw_frontend_counters counters;
};

/** How a request is answered. */
enum response_kind { RESPONSE_NONE, RESPONSE_WHOLE, RESPONSE_STREAMED };

/** One request. */
struct bw_request {
	struct bw_frontend *frontend;
	struct listener *listener;
	struct MHD_Connection *connection;
	struct bw_request *next;
	struct bw_request *previous;
	struct bw_request *wake_next;
	void *user;
	char *target; /**< owner of path and query */
	char *query;
	char *method;
	char peer[BW_FRONTEND_PEER_BYTES];
	struct bw_http_header *headers; /**< texts belong to MHD */
	size_t header_count;
	size_t header_bytes;
	int64_t content_length;
	uint64_t body_bytes; /**< received */
	uint64_t drained_bytes; /**< received and discarded */
	int fd;
	ev_timer receive_timer;
	bool head_seen;
	bool head_held; /**< suspended between head and body */
	bool announced; /**< HEAD delivered */
	bool body_ended; /**< BODY_END delivered */
	bool paused;
	bool suspended; /**< MHD does not handle the connection */
	bool waking; /**< in the wake list */
	bool dead; /**< caller left, or response aborted or refused */
	bool gone_reported;
	bool broken; /**< close the connection without a (whole) response */
	bool no_body; /**< response to HEAD, 204 or 304 */
	bool queued;
	enum response_kind kind;
	struct MHD_Response *response;
	uint32_t status_code;
	int64_t response_length;
	int64_t appended_bytes;
	struct bw_ring ring;
	bool ended;
	bool want_room;
};

/** Callbacks of MHD. */
void *request_new_(void *listener, const char *uri,
		   struct MHD_Connection *connection);
enum MHD_Result request_access_(void *listener,
				struct MHD_Connection *connection,
				const char *url, const char *method,
				const char *version, const char *upload_data,
				size_t *upload_size_bytes, void **slot);
void request_completed_(void *listener, struct MHD_Connection *connection,
			void **slot, enum MHD_RequestTerminationCode code);

/** Marks the caller as gone, reports it once, and wakes the request. */
void request_leave_(struct bw_request *request);
/** Has the deferred pass look at the request. */
void request_wake_(struct bw_request *request);
/** Takes the connection out of MHD's hands until the request is woken. */
void request_suspend_(struct bw_request *request);
/** Work of one request in the deferred pass. */
void request_resume_(struct bw_request *request);
/** Runs the daemon of the listener soon, outside of any MHD callback. */
void listener_run_soon_(struct listener *listener);
/** Reports idle if a stop is in progress and no request is left. */
void frontend_check_idle_(struct bw_frontend *frontend);

#endif

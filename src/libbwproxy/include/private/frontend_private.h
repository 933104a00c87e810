/**
 * @file
 * Internals shared by the files of the frontend: listeners (frontend.c),
 * requests (request.c) and responses (response.c).
 */
#ifndef PRIVATE_FRONTEND_PRIVATE_H
#define PRIVATE_FRONTEND_PRIVATE_H

#include <microhttpd.h>

#include "bwbase/clock.h"
#include "bwproxy/frontend.h"
#include "private/ring.h"

/** One accepted connection; bounds the time to receive a head. */
struct connection {
	struct connection *next;
	struct connection *previous;
	int fd;
	bool awaiting_head;
	struct bw_time wait_start; /**< when the wait for a head began */
};

/** One listening socket with its libmicrohttpd daemon. */
struct listener {
	struct bw_frontend *frontend;
	struct MHD_Daemon *daemon;
	struct bw_frontend_listener config; /**< strings are set to NULL */
	uint32_t index;
	uint16_t port;
	bool run_due; /**< call MHD_run in the deferred pass */
	ev_io io; /**< epoll descriptor of the daemon */
	ev_timer timer; /**< timeout of the daemon */
	ev_timer sweep; /**< closes connections that send no head */
	struct connection *connections;
};

struct bw_frontend {
	struct ev_loop *loop;
	struct bw_frontend_handler handler;
	uint32_t ring_bytes;
	struct listener listeners[BW_FRONTEND_LISTENERS_MAX];
	uint32_t listener_count;
	struct bw_request *requests; /**< doubly linked list of all */
	struct bw_request *wake_list; /**< handled in the deferred pass */
	ev_prepare deferred; /**< never started; triggered by ev_feed_event */
	int disconnect_fd; /**< epoll descriptor that reports disconnects */
	ev_io disconnect_io;
	bool stopping;
	bool idle_reported;
	bool closing; /**< bw_frontend_free in progress: no new request */
	struct bw_frontend_counters counters;
};

/** Kind of response that was started. */
enum response_kind { RESPONSE_NONE, RESPONSE_WHOLE, RESPONSE_STREAMED };

/** One request. */
struct bw_request {
	struct bw_frontend *frontend;
	struct listener *listener;
	struct MHD_Connection *connection;
	struct bw_request *next;
	struct bw_request *previous;
	struct bw_request *wake_next;
	void *context; /**< set by bw_request_set_context */
	char *target; /**< owns the memory of path and query */
	char *query;
	char *method;
	char peer[BW_FRONTEND_PEER_BYTES];
	struct bw_http_header *headers; /**< strings are owned by MHD */
	size_t header_count;
	size_t header_bytes;
	int64_t content_length;
	uint64_t body_bytes; /**< received */
	uint64_t discarded_bytes; /**< received and discarded */
	int fd;
	ev_timer receive_timer;
	bool head_received;
	bool head_suspended; /**< suspended between head and body */
	bool head_reported; /**< HEAD delivered */
	bool body_end_reported; /**< BODY_END delivered */
	bool paused;
	bool suspended; /**< MHD does not process the connection */
	bool in_wake_list;
	bool terminated; /**< disconnected, aborted or rejected */
	bool disconnect_reported; /**< DISCONNECTED delivered */
	bool must_close; /**< close without a complete response */
	bool no_body; /**< response to HEAD, 204 or 304 */
	bool queued; /**< response passed to MHD */
	enum response_kind kind;
	struct MHD_Response *response;
	uint32_t status_code;
	int64_t response_length;
	int64_t appended_bytes;
	struct bw_ring ring;
	bool ended; /**< bw_request_end was called */
	bool writable_due; /**< WRITABLE follows when the ring has space */
};

/** Callbacks for MHD. */
void *request_new_(void *listener, const char *uri,
		   struct MHD_Connection *connection);
enum MHD_Result request_access_(void *listener,
				struct MHD_Connection *connection,
				const char *url, const char *method,
				const char *version, const char *upload_data,
				size_t *upload_size_bytes, void **slot);
void request_completed_(void *listener, struct MHD_Connection *connection,
			void **slot, enum MHD_RequestTerminationCode code);

/** Reports a disconnected client once and schedules the request. */
void request_disconnected_(struct bw_request *request);
/** Adds the request to the wake list and schedules the deferred pass. */
void request_wake_(struct bw_request *request);
/** Suspends the connection in MHD until the request is woken. */
void request_suspend_(struct bw_request *request);
/** Resumes the connection and delivers WRITABLE if due. */
void request_resume_(struct bw_request *request);
/** Schedules MHD_run of the listener, outside of MHD callbacks. */
void listener_schedule_run_(struct listener *listener);
/** Calls idle if a stop is in progress and no request is active. */
void frontend_check_idle_(struct bw_frontend *frontend);

#endif

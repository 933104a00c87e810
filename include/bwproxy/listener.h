/**
 * @file
 * HTTP/1.1 server on the event loop. Requests and responses are buffered whole.
 * Each connection handles one request at a time; a pipelined request is read
 * once the response before it has been queued.
 */
#ifndef BWPROXY_LISTENER_H
#define BWPROXY_LISTENER_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"
#include "bwproxy/body.h"
#include "bwproxy/eviction.h"
#include "bwproxy/http1.h"
#include "bwproxy/loop_clock.h"
#include "bwproxy/memory.h"

struct bw_listener;
struct bw_server_connection;

/** Why a listener did not accept a request. */
enum bw_listener_cause {
	BW_LISTENER_MALFORMED, /**< not HTTP/1.x; see parser_error */
	BW_LISTENER_UNKNOWN_METHOD, /**< one that the parser lacks; CONNECT */
	BW_LISTENER_HEAD_TOO_LARGE,
	BW_LISTENER_BODY_TOO_LARGE,
	BW_LISTENER_NO_MEMORY, /**< for a request within the limits */
	BW_LISTENER_HEAD_TIMEOUT, /**< the head was not complete in time */
	BW_LISTENER_BODY_TIMEOUT, /**< the body is slower than a least rate */
	BW_LISTENER_BODY_MEMORY, /**< no memory for the body now */
	BW_LISTENER_CAUSE_COUNT
};

/** Stable names of enum bw_listener_cause. */
extern const char *const bw_listener_cause_string[BW_LISTENER_CAUSE_COUNT];

/** Status codes that answer a request, by enum bw_listener_cause. */
extern const uint16_t bw_listener_cause_status[BW_LISTENER_CAUSE_COUNT];

/** A request that the listener did not accept. */
struct bw_listener_rejection {
	enum bw_listener_cause cause;
	uint16_t status_code; /**< of the response */
	const char *parser_error; /**< name of the parser's error */
	const char *address; /**< of the listener */
	uint64_t received_bytes; /**< of the request and of those behind it */
	uint32_t age_ms; /**< since the first byte, or the last one of a body,
			      while the loop ran */
	uint32_t limit; /**< that applied: bytes or ms; 0: none */
	uint32_t limit_current; /**< the same for the next request */
};

/** A connection that the listener closes, or does not accept. */
struct bw_listener_eviction {
	enum bw_eviction_cause cause;
	enum bw_eviction_phase phase; /**< of the connection */
	const char *address; /**< of the listener */
	uint32_t peer; /**< IPv4 address in network byte order */
	int64_t lag_ms; /**< without progress */
	uint64_t held_bytes; /**< memory that it held */
};

/** Callbacks of a listener; context is bw_listener_config.context. */
struct bw_listener_handler {
	/** A request is complete; respond with bw_connection_respond. */
	void (*request)(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request);
	/** The client disconnected before it was sent the response. */
	void (*disconnected)(void *context,
			     struct bw_server_connection *connection);
	/**
	 * Optional. A request is not accepted, and the listener is about to
	 * respond with an error; it must not be responded to.
	 * @param request what was read of it
	 */
	void (*rejected)(void *context,
			 const struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 const struct bw_listener_rejection *rejection);
	/**
	 * Optional. A connection without a request in progress is closed, as
	 * others need what it holds, or as its client reads too slowly. A
	 * request that was being read has not run.
	 */
	void (*evicted)(void *context,
			const struct bw_listener_eviction *eviction);
};

/** Settings; strings and the handler are not copied. */
struct bw_listener_config {
	struct ev_loop *loop;
	const char *address; /**< IPv4 address and port */
	struct bw_http_limits limits;
	struct bw_body_budget *body_budget; /**< NULL: not limited */
	struct bw_memory *memory; /**< of the process; must outlive the
				       listener. NULL: not limited */
	const char *unavailable_fields; /**< header lines, each with CRLF, of
					     responses with 503; may be NULL */
	uint32_t connections_max;
	uint32_t head_timeout_ms; /**< from the first byte to the whole head */
	uint32_t idle_timeout_ms; /**< between requests, and of a body or a
				       response slower than a least rate */
	const struct bw_listener_handler *handler;
	void *context;
};

/** A listening socket and its connections. */
struct bw_listener {
	struct bw_listener_config config;
	int fd;
	ev_io accept_watcher;
	ev_timer sweep_timer;
	struct bw_loop_clock clock;
	struct bw_time swept_at; /**< last check of the timeouts */
	int64_t paused_ms; /**< the loop did not run; not part of any age */
	struct bw_server_connection *connections; /**< linked list */
	uint32_t connection_count;
	uint32_t busy_count; /**< connections with a request in progress */
	uint32_t lingering_count; /**< rejected, not yet closed */
	bool accept_paused; /**< no descriptor was left; see on_sweep_ */
	bool closing; /**< responses carry "Connection: close" */
	uint64_t accepted_count;
	uint64_t rejected_count; /**< beyond connections_max or out of memory */
	uint64_t evicted_count; /**< closed for others, or not accepted */
	struct bw_listener *next; /**< of bw_memory.listeners */
};

/**
 * Binds and starts to accept.
 * @return BW_OK; BW_EIO with errno set
 */
enum bw_status bw_listener_init(struct bw_listener *listener,
				const struct bw_listener_config *config);

/** Closes the socket and all connections; the handler is not called. */
void bw_listener_finish(struct bw_listener *listener);

/** Changes the timeouts, also those of open connections. */
void bw_listener_set_timeouts(struct bw_listener *listener,
			      uint32_t head_timeout_ms,
			      uint32_t idle_timeout_ms);

/** Adds "Connection: close" to every later response. */
void bw_listener_begin_close(struct bw_listener *listener);

/**
 * Accepts what the kernel has queued and stops accepting; closes connections
 * that have been without a request for a moment. Called from time to time.
 */
void bw_listener_close_idle(struct bw_listener *listener);

/**
 * Returns whether no request is being read or in progress, and all responses
 * are sent.
 */
bool bw_listener_is_idle(const struct bw_listener *listener);

/** Returns whether all responses are sent. */
bool bw_listener_is_flushed(const struct bw_listener *listener);

/** Returns the handler's context pointer of a request; initially NULL. */
void **bw_connection_context(struct bw_server_connection *connection);

/** Returns the IPv4 address of the client, in network byte order. */
uint32_t bw_connection_peer(const struct bw_server_connection *connection);

/**
 * Returns whether the client has closed the connection. Reads the state of the
 * socket, which shows it earlier than an overloaded event loop does.
 */
bool bw_connection_is_closed(const struct bw_server_connection *connection);

/** Returns the time since the first byte of the request in progress. */
int64_t bw_connection_request_age_ms(struct bw_server_connection *connection);

/** Returns the request in progress. */
const struct bw_http_message *
bw_connection_request(const struct bw_server_connection *connection);

/**
 * Moves the body of the request in progress, with its charge to the budget, to
 * the caller, who frees it; the request has no body afterwards.
 * @param body empty
 */
void bw_connection_take_body(struct bw_server_connection *connection,
			     struct bw_body *body);

/**
 * Responds to the request in progress.
 * @param fields header lines, each with CRLF; without Content-Length,
 *	Connection and Date
 * @param close whether to close the connection after the response
 */
void bw_connection_respond(struct bw_server_connection *connection,
			   uint16_t status_code, const struct bw_buffer *fields,
			   const void *body, size_t body_bytes, bool close);

/**
 * The same with a body that is moved to the listener with its charge, which is
 * released when the body is sent or the connection ends. The next request on
 * the connection is read after that.
 */
void bw_connection_respond_body(struct bw_server_connection *connection,
				uint16_t status_code,
				const struct bw_buffer *fields,
				struct bw_body *body, bool close);

#endif

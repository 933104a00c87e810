/**
 * @file
 * HTTP/1.1 client side of the proxy: libcurl's multi socket interface driven
 * by a libev loop.
 *
 * All functions must be called on the thread of the loop. Every function except
 * free may be called from an event callback. Events of one call, in order: at
 * most one CONNECTED; at most one HEAD; any number of BODY; exactly one of
 * COMPLETE and FAILED, after which the call is freed. WRITABLE may occur
 * anywhere before the last event.
 *
 * A request is sent at most once. libcurl 7.88 resends any request, even a
 * POST, when a reused connection ends before the first response byte; a
 * pre-request callback rejects that second attempt.
 */
#ifndef BWPROXY_UPSTREAM_H
#define BWPROXY_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "bwbase/status.h"
#include "bwproxy/http.h"

struct bw_upstream;
struct bw_call;

/** Kinds of events of a call. */
enum bw_upstream_event_kind {
	BW_UPSTREAM_CONNECTED, /**< request is sent after this event */
	BW_UPSTREAM_HEAD, /**< status line and header fields of the final
			     (not 1xx) response received */
	BW_UPSTREAM_BODY, /**< response body bytes received */
	BW_UPSTREAM_WRITABLE, /**< append accepts bytes again */
	BW_UPSTREAM_COMPLETE, /**< whole response received; last event */
	BW_UPSTREAM_FAILED, /**< call failed, see cause; last event */
	BW_UPSTREAM_EVENT_COUNT
};

/** Stable names of enum bw_upstream_event_kind. */
extern const char *const bw_upstream_event_string[BW_UPSTREAM_EVENT_COUNT];

/** Why a call failed. */
enum bw_upstream_cause {
	BW_UPSTREAM_CAUSE_NONE,
	BW_UPSTREAM_REFUSED, /**< no connection could be opened */
	BW_UPSTREAM_TIMEOUT, /**< deadline reached */
	BW_UPSTREAM_RESET, /**< connection closed before the response head */
	BW_UPSTREAM_SHORT_BODY, /**< connection closed within the response */
	BW_UPSTREAM_BAD_RESPONSE, /**< malformed response, or above a limit */
	BW_UPSTREAM_CANCELLED, /**< bw_upstream_cancel was called */
	BW_UPSTREAM_INTERNAL, /**< out of memory, libcurl failure, or a request
				   body of the wrong length */
	BW_UPSTREAM_CAUSE_COUNT
};

/** Stable names of enum bw_upstream_cause. */
extern const char *const bw_upstream_cause_string[BW_UPSTREAM_CAUSE_COUNT];

/** One event; a field is set for the event kinds named with it. */
struct bw_upstream_event {
	enum bw_upstream_event_kind kind;
	struct bw_call *call;
	uint32_t status_code; /**< HEAD: 200 to 599 */
	const struct bw_http_header *headers; /**< HEAD: until the last event */
	size_t header_count; /**< HEAD */
	int64_t content_length_bytes; /**< HEAD: Content-Length, or
					BW_HTTP_LENGTH_UNKNOWN */
	const uint8_t *data; /**< BODY: valid during the callback */
	size_t size_bytes; /**< BODY */
	enum bw_upstream_cause cause; /**< FAILED */
	/**
	 * COMPLETE, FAILED: request bytes may have been sent. False guarantees
	 * that none has.
	 */
	bool bytes_sent;
	/**
	 * FAILED: the connection was reused, and the peer closed it before the
	 * first response byte.
	 */
	bool reused_closed;
};

/** Event callback of a call. */
struct bw_upstream_handler {
	void *context;
	void (*event)(void *context, const struct bw_upstream_event *event);
};

/** Settings of an upstream. */
struct bw_upstream_config {
	uint32_t connections_per_server; /**< limit per address and port */
	uint32_t connections_total; /**< limit across all servers */
	uint32_t idle_timeout_s; /**< connections idle for longer are not
				  reused; greater than zero */
	uint32_t connect_timeout_ms; /**< greater than zero */
	uint32_t header_limit_bytes; /**< limit of the response head */
	uint32_t ring_bytes; /**< send buffer of one streamed request */
};

/** How the body of a request is supplied. */
enum bw_upstream_body {
	BW_UPSTREAM_BODY_NONE,
	BW_UPSTREAM_BODY_COMPLETE, /**< body and body_bytes; copied */
	BW_UPSTREAM_BODY_STREAMED /**< by bw_upstream_append and _end */
};

/** One request. Strings need to be valid only during bw_upstream_start. */
struct bw_upstream_request {
	const char *address; /**< IPv4 address in dotted form */
	uint16_t port;
	const char *source; /**< local address, or NULL for any */
	const char *method;
	const char *target; /**< path and query as sent */
	const struct bw_http_header *headers; /**< without hop-by-hop fields */
	size_t header_count;
	enum bw_upstream_body body_kind;
	const void *body;
	size_t body_bytes;
	int64_t body_length_bytes; /**< STREAMED: exact size, or
				     BW_HTTP_LENGTH_UNKNOWN */
	uint32_t deadline_ms; /**< for the whole call; greater than zero */
	bool fresh_connection; /**< do not reuse an idle connection */
	/**
	 * PEM text of the certificates trusted for the server; NULL: plain
	 * HTTP. The server's certificate must match tls_name.
	 */
	const char *tls_trust_pem;
	const char *tls_name; /**< expected name; set with tls_trust_pem */
};

/** Counts since init. */
struct bw_upstream_counters {
	uint64_t calls; /**< calls started */
	uint64_t connections; /**< sockets opened */
	uint64_t resends_refused; /**< resends by libcurl rejected */
	uint64_t ring_peak_bytes; /**< highest fill level of any ring */
	uint32_t active; /**< calls that have not ended */
};

/**
 * Creates an upstream on a loop.
 * @return BW_OK, BW_EINVAL for bad settings, or BW_ENOMEM
 */
enum bw_status bw_upstream_new(struct bw_upstream **upstream,
			       struct ev_loop *loop,
			       const struct bw_upstream_config *config);

/**
 * Cancels every call (each receives FAILED) and closes all connections. Must
 * not be called from an event callback. NULL is ignored.
 */
void bw_upstream_free(struct bw_upstream *upstream);

/**
 * Starts a call. No event is delivered before this function has returned.
 * @param call receives the call, valid until its last event
 * @return BW_OK; BW_EINVAL for a malformed address, method, target or field;
 *	BW_ENOMEM
 */
enum bw_status bw_upstream_start(struct bw_upstream *upstream,
				 const struct bw_upstream_request *request,
				 const struct bw_upstream_handler *handler,
				 struct bw_call **call);

/**
 * Appends bytes to a streamed request body.
 * @return bytes accepted; when fewer than size_bytes, WRITABLE follows once
 *	half of the ring is free
 */
size_t bw_upstream_append(struct bw_call *call, const void *data,
			  size_t size_bytes);

/**
 * Ends a streamed request body. The call fails when the number of bytes
 * differs from body_length_bytes.
 */
void bw_upstream_end(struct bw_call *call);

/** Stops BODY events until resume; TCP flow control slows the server down. */
void bw_upstream_pause(struct bw_call *call);
/** Resumes BODY events. */
void bw_upstream_resume(struct bw_call *call);

/**
 * Cancels a call: its connection is closed and FAILED with
 * BW_UPSTREAM_CANCELLED follows from the loop. No other event follows.
 */
void bw_upstream_cancel(struct bw_call *call);

/** Returns whether request bytes may have been sent; false: none so far. */
bool bw_upstream_bytes_sent(const struct bw_call *call);

/** Returns the counters. */
const struct bw_upstream_counters *
bw_upstream_counters(const struct bw_upstream *upstream);

#endif

/**
 * @file
 * HTTP/1.1 server side of the proxy: libmicrohttpd driven by a libev loop.
 *
 * Call all functions on the thread of the loop. Events are delivered through
 * one callback, which may call every function except bw_frontend_free.
 *
 * Events of one request, in order: HEAD; any number of BODY; BODY_END; any
 * number of WRITABLE; at most one DISCONNECTED, at any point after HEAD;
 * exactly one DONE. A response may be started from HEAD on; body data received
 * after that is discarded without BODY or BODY_END events.
 */
#ifndef BWPROXY_FRONTEND_H
#define BWPROXY_FRONTEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "bwbase/status.h"
#include "bwproxy/http.h"

/** Maximum number of listeners of one frontend. */
#define BW_FRONTEND_LISTENERS_MAX 8

/** Size of a peer address as text, with the terminating NUL. */
#define BW_FRONTEND_PEER_BYTES 46

struct bw_frontend;
struct bw_request;

/** Kinds of events of a request. */
enum bw_frontend_event_kind {
	BW_FRONTEND_HEAD, /**< request line and header fields received; the
			     accessors may be used */
	BW_FRONTEND_BODY, /**< body bytes in data and size_bytes */
	BW_FRONTEND_BODY_END, /**< whole body received */
	BW_FRONTEND_WRITABLE, /**< append may be called again */
	BW_FRONTEND_DISCONNECTED, /**< client disconnected or body rejected */
	BW_FRONTEND_DONE, /**< last event; the request is freed after it */
	BW_FRONTEND_EVENT_COUNT
};

/** Stable names of enum bw_frontend_event_kind. */
extern const char *const bw_frontend_event_string[BW_FRONTEND_EVENT_COUNT];

/** One event. */
struct bw_frontend_event {
	enum bw_frontend_event_kind kind;
	struct bw_request *request;
	const uint8_t *data; /**< BODY: bytes, valid during the callback */
	size_t size_bytes; /**< BODY: number of bytes, greater than zero */
	bool sent; /**< DONE: whole response passed to the kernel */
};

/** Callbacks of the module that uses the frontend. */
struct bw_frontend_handler {
	void *context;
	void (*event)(void *context, const struct bw_frontend_event *event);
	/** Called once after bw_frontend_stop, when no request is active. */
	void (*idle)(void *context);
};

/** Settings of one listener. Strings are used during init only. */
struct bw_frontend_listener {
	const char *address; /**< dotted-decimal IPv4 address */
	uint16_t port; /**< 0: chosen by the kernel */
	uint32_t connection_limit; /**< greater than zero */
	uint32_t connection_limit_per_ip; /**< 0: no limit */
	uint32_t idle_timeout_s; /**< without traffic; 0: no timeout */
	uint32_t receive_timeout_ms; /**< for a whole body; 0: no timeout */
	uint32_t header_limit_bytes; /**< request line and fields; >= 1024 */
	uint64_t body_limit_bytes; /**< larger bodies are rejected with 413 */
	const char *certificate_pem; /**< NULL: no TLS */
	const char *key_pem; /**< private key of certificate_pem */
};

/** Settings of a frontend. */
struct bw_frontend_config {
	const struct bw_frontend_listener *listeners;
	uint32_t listener_count; /**< 1 to BW_FRONTEND_LISTENERS_MAX */
	uint32_t ring_bytes; /**< buffer of one streamed response */
	struct bw_frontend_handler handler;
};

/** Counters since init. */
struct bw_frontend_counters {
	uint64_t requests; /**< HEAD events */
	uint64_t rejected; /**< by the frontend, with 4xx, 501 or 505 */
	uint64_t disconnected; /**< clients that closed too early */
	uint64_t ring_peak_bytes; /**< maximum fill of one ring */
	uint32_t active; /**< requests between HEAD and DONE */
};

/**
 * Binds all listeners and attaches them to loop.
 * @param frontend receives the new object
 * @return BW_OK; BW_EINVAL for bad settings; BW_EIO when a listener cannot be
 *	bound or its certificate is invalid; BW_ENOMEM
 */
enum bw_status bw_frontend_new(struct bw_frontend **frontend,
			       struct ev_loop *loop,
			       const struct bw_frontend_config *config);

/**
 * Closes all sockets at once. Active requests get DISCONNECTED and DONE. Must
 * not be called from an event callback. NULL is ignored.
 */
void bw_frontend_free(struct bw_frontend *frontend);

/** Returns the port that a listener is bound to. */
uint16_t bw_frontend_port(const struct bw_frontend *frontend, uint32_t index);

/**
 * Starts a graceful stop: closes the listening sockets, lets active requests
 * finish, adds "Connection: close" to every response, then calls idle.
 * Requests that arrive on open connections are still served.
 */
void bw_frontend_stop(struct bw_frontend *frontend);

/** Returns the counters. */
const struct bw_frontend_counters *
bw_frontend_counters(const struct bw_frontend *frontend);

/** Returns the index of the listener that received the request. */
uint32_t bw_request_listener(const struct bw_request *request);
/** Returns the method as sent by the client. */
const char *bw_request_method(const struct bw_request *request);
/** Returns the path as sent, not percent-decoded, without the query. */
const char *bw_request_path(const struct bw_request *request);
/** Returns the text after the first "?", or NULL when there is none. */
const char *bw_request_query(const struct bw_request *request);
/** Returns the peer's IP address as text. */
const char *bw_request_peer(const struct bw_request *request);
/** Returns the Content-Length, 0 without a body, or BW_HTTP_LENGTH_UNKNOWN. */
int64_t bw_request_content_length(const struct bw_request *request);
/** Returns the first value of a field, ignoring case, or NULL. */
const char *bw_request_header(const struct bw_request *request,
			      const char *name);
/** Returns all fields in order; valid until DONE. */
const struct bw_http_header *
bw_request_headers(const struct bw_request *request, size_t *count);
/** Attaches a pointer of the event handler to the request. */
void bw_request_set_context(struct bw_request *request, void *context);
/** Returns the pointer set by bw_request_set_context; initially NULL. */
void *bw_request_context(const struct bw_request *request);

/**
 * Stops the delivery of BODY and BODY_END until resume. When called from HEAD,
 * no body byte is read and "100 Continue" is not sent before resume; a response
 * started meanwhile reaches the client whatever the size of the body. The bytes
 * of the current BODY event count as consumed. Memory is bounded by the buffer
 * of the connection; TCP flow control slows down the client.
 */
void bw_request_pause(struct bw_request *request);
/** Resumes the delivery of the body. */
void bw_request_resume(struct bw_request *request);

/**
 * Responds with a complete body, which is copied. Fields for which
 * bw_http_hop_by_hop is true are omitted.
 * @param status_code 200 to 599
 * @return BW_OK; BW_EINVAL for a bad status code or a field with CR, LF or
 *	another control character; BW_ECONFLICT when a response was started
 *	before; BW_EUNAVAILABLE after DISCONNECTED or abort; BW_ENOMEM
 */
enum bw_status bw_request_respond(struct bw_request *request,
				  uint32_t status_code,
				  const struct bw_http_header *headers,
				  size_t header_count, const void *body,
				  size_t body_bytes);

/**
 * Starts a streamed response.
 * @param content_length_bytes exact size, or BW_HTTP_LENGTH_UNKNOWN (chunked)
 * @return as bw_request_respond
 */
enum bw_status bw_request_start(struct bw_request *request,
				uint32_t status_code,
				const struct bw_http_header *headers,
				size_t header_count,
				int64_t content_length_bytes);

/**
 * Appends body bytes of a streamed response.
 * @return bytes accepted; when fewer than size_bytes, WRITABLE follows once
 *	half of the ring is free. 0 after DISCONNECTED, end or abort. Bytes
 *	beyond the declared content length abort the response.
 */
size_t bw_request_append(struct bw_request *request, const void *data,
			 size_t size_bytes);

/**
 * Ends a streamed response. Aborts it when fewer bytes than the declared
 * content length were appended.
 */
void bw_request_end(struct bw_request *request);

/**
 * Aborts the response: closes the connection without a response, or in the
 * middle of it, so that the client cannot take it for complete. Has no effect
 * after bw_request_respond.
 */
void bw_request_abort(struct bw_request *request);

#endif

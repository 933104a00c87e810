/**
 * @file
 * A listener that answers each request with what it has read, for tests of
 * requests that are valid.
 */
#ifndef TEST_ECHO_H
#define TEST_ECHO_H

#include "harness.h"

/** Limits of the listener, those of the routing tables of the field. */
#define ECHO_HEAD_MAX_BYTES 16384
#define ECHO_BODY_MAX_BYTES 65536
extern const struct bw_http_limits echo_limits;

/** Responds with the method, target, Host and size of the body. */
struct echo {
	struct bw_server_connection *held; /**< not answered yet, or NULL */
	uint32_t requests;
	enum bw_listener_cause cause; /**< of the last rejection */
};

/** Appends text without its terminating null byte. */
void echo_append_text(struct bw_buffer *out, const char *text);

/** Opens the listener. @return its port */
uint16_t echo_listen(struct bw_listener *listener, struct ev_loop *loop,
		     struct echo *echo);

/** Responds to a request that was held. */
void echo_respond(struct echo *echo, struct bw_server_connection *connection);

/** Sends bytes and returns the status of the response; 0: none. */
uint32_t echo_status(struct ev_loop *loop, struct echo *echo, struct peer *peer,
		     const void *data, size_t size_bytes);

#endif

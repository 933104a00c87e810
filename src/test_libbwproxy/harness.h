/**
 * @file
 * Raw TCP peers and event loop helpers for the tests of libbwproxy.
 */
#ifndef TEST_HARNESS_H
#define TEST_HARNESS_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <ev.h>

#include "bwbase/buffer.h"
#include "bwproxy/frontend.h"
#include "bwproxy/listener.h"
#include "bwproxy/upstream.h"
#include "bwsteer/routing.h"

/** Limit of the connections of one raw server. */
#define PEERS_MAX 16

/** One raw TCP connection. */
struct peer {
	struct ev_loop *loop;
	int fd; /**< -1 after peer_close */
	ev_io io;
	struct bw_buffer in; /**< all bytes received */
	bool eof; /**< the other side closed or reset the connection */
	bool reset;
};

/** Raw TCP server that records the bytes of its connections. */
struct raw_server {
	struct ev_loop *loop;
	int fd;
	uint16_t port;
	ev_io io;
	struct peer peers[PEERS_MAX];
	uint32_t peer_count;
};

/** Runs the loop until condition holds; fails the test after 30 s. */
#define SPIN_UNTIL(loop, condition)                                    \
	do {                                                           \
		int64_t spin_end_ = spin_now_ms() + 30000;             \
		while (!(condition)) {                                 \
			if (spin_now_ms() > spin_end_)                 \
				fail_msg("timed out: %s", #condition); \
			spin_once(loop);                               \
		}                                                      \
	} while (0)

int64_t spin_now_ms(void);
/** Runs the loop once, waiting at most 20 ms for events. */
void spin_once(struct ev_loop *loop);

/** Connects to 127.0.0.1 and reads unless paused. */
void peer_connect(struct peer *peer, struct ev_loop *loop, uint16_t port);
void peer_pause(struct peer *peer); /**< stops reading */
void peer_resume(struct peer *peer); /**< resumes reading */
/** Sends all bytes, running the loop meanwhile. */
void peer_send(struct peer *peer, const void *data, size_t size_bytes);
void peer_send_text(struct peer *peer, const char *text);
void peer_close(struct peer *peer); /**< closes; received bytes remain */
void peer_reset(struct peer *peer); /**< closes with a TCP reset */
void peer_finish(struct peer *peer);
/** Returns whether the received bytes contain text. */
bool peer_has(const struct peer *peer, const char *text);
/** Counts text in the received bytes. */
uint32_t peer_count(const struct peer *peer, const char *text);

void raw_server_init(struct raw_server *server, struct ev_loop *loop);
void raw_server_finish(struct raw_server *server);

/** Opens a frontend with one listener on 127.0.0.1 and small limits. */
struct bw_frontend *frontend_open(struct ev_loop *loop,
				  struct bw_frontend_handler handler);
/** Opens an upstream with small limits. */
struct bw_upstream *upstream_open(struct ev_loop *loop);

/** Like frontend_open, with TLS unless the PEM texts are NULL. */
struct bw_frontend *frontend_open_tls(struct ev_loop *loop,
				      struct bw_frontend_handler handler,
				      const char *certificate_pem,
				      const char *key_pem);

/** Limits used by frontend_open and upstream_open. */
#define TEST_RING_BYTES 8192
#define TEST_HEADER_BYTES 4096
#define TEST_BODY_BYTES (4 * 1024 * 1024)

/** Recorded events of a call. */
struct reply {
	uint32_t connected_count;
	uint32_t status_code;
	struct bw_buffer body;
	bool over; /**< COMPLETE or FAILED received */
	bool complete;
	enum bw_upstream_cause cause;
	bool bytes_sent;
	bool reused_closed;
	uint32_t writable_count;
	bool pause_at_head;
};

/** Starts a call to 127.0.0.1 whose events are recorded in reply. */
struct bw_call *call_start(struct bw_upstream *upstream, uint16_t port,
			   const char *method, const char *target,
			   const void *body, size_t body_bytes,
			   struct reply *reply);
void reply_event(void *context, const struct bw_upstream_event *event);
void reply_finish(struct reply *reply);

/** Forwards every request of a frontend to one port (see relay.c). */
struct relay {
	struct bw_frontend *frontend;
	struct bw_upstream *upstream;
	uint16_t target_port;
	uint32_t done_count;
};
/** Reads a file into a NUL-terminated string; the caller frees it. */
char *read_text_file(const char *path);

void relay_init(struct relay *relay, struct ev_loop *loop,
		struct bw_upstream *upstream, uint16_t target_port);

/** Requests and rejections of a listener with target_echo_handler. */
struct target_echo {
	uint32_t requests;
	uint32_t disconnected_count;
	bool withhold_response;
	struct bw_listener_rejection rejection; /**< the last one */
	uint32_t rejected_count;
	char rejected_id[16]; /**< field Id of the last one */
	bool takes_body;
	struct bw_body body; /**< taken from the last request */
};

/** Responds with the request's target; its context is a target_echo. */
extern const struct bw_listener_handler target_echo_handler;

/**
 * Opens a listener on the first free port of 127.0.0.1 from first_port on.
 * @param config address is replaced
 * @return the port
 */
uint16_t listener_open(struct bw_listener *listener,
		       const struct bw_listener_config *config,
		       uint16_t first_port);

/** Returns bytes that differ from those next to them; the caller frees them. */
uint8_t *make_body(size_t size_bytes);

/** Returns a table with one route to one service. */
struct bw_routing *harness_routing(const char *host, const char *prefix);

#endif

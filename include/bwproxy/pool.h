/**
 * @file
 * HTTP/1.1 client on the event loop: kept connections to backend servers.
 * A connection carries one request at a time. A response counts only when it
 * is complete and echoes the id of the request; other responses on the same
 * connection are skipped, because a backend server may send an extra one.
 */
#ifndef BWPROXY_POOL_H
#define BWPROXY_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"
#include "bwproxy/http1.h"

struct bw_pool_connection;

/** How a request that was given to the pool ended. */
enum bw_pool_result {
	BW_POOL_RESPONSE, /**< a complete response arrived */
	BW_POOL_NOT_SENT, /**< no byte of the request left this host */
	BW_POOL_CLOSED, /**< the connection ended before the response */
	BW_POOL_INVALID, /**< bytes that are not a response to the request */
	BW_POOL_RESULT_COUNT
};

/** Stable names of enum bw_pool_result. */
extern const char *const bw_pool_result_string[BW_POOL_RESULT_COUNT];

/** Settings; texts are not copied. */
struct bw_pool_config {
	struct ev_loop *loop;
	struct bw_http_limits limits; /**< of responses */
	const char *id_field; /**< field that responses echo */
	uint32_t connect_timeout_ms;
	uint32_t idle_ms; /**< connections are kept at most so long unused */
	uint32_t connections_max;
	/**
	 * Reports the end of a request.
	 * @param response valid during the call; NULL without a response
	 */
	void (*ended)(void *context, void *request, enum bw_pool_result result,
		      const struct bw_http_message *response);
	/**
	 * Called when a new connection is open, before the request is sent on
	 * it; may be NULL. The connection may have taken long.
	 * @return false when the call has cancelled the request
	 */
	bool (*connected)(void *context, void *request);
	void *context;
};

/** Connections to all backend servers. */
struct bw_pool {
	struct bw_pool_config config;
	GHashTable *idle; /**< address -> linked list of idle connections */
	struct bw_pool_connection *connections; /**< all, linked list */
	uint32_t connection_count;
	uint64_t opened_count;
	uint64_t reused_count;
	uint64_t skipped_count; /**< responses to another request */
	ev_timer sweep_timer;
};

/** A request to send; all texts are copied. */
struct bw_pool_request {
	const char *address; /**< IPv4 address and port */
	const char *id; /**< value of the id field */
	const struct bw_buffer *head; /**< with the empty line at its end */
	const void *body;
	size_t body_bytes;
	bool head_response; /**< a HEAD request, whose response has no body */
	void *request; /**< handed to ended */
};

/** Initialises an empty pool. */
enum bw_status bw_pool_init(struct bw_pool *pool,
			    const struct bw_pool_config *config);

/** Closes all connections; ended is not called. */
void bw_pool_finish(struct bw_pool *pool);

/**
 * Sends a request on an idle connection or a new one. ended is called later,
 * from the loop.
 * @return the connection, for bw_pool_cancel; NULL when none can be opened
 */
struct bw_pool_connection *bw_pool_send(struct bw_pool *pool,
					const struct bw_pool_request *request);

/** Gives up a request and closes its connection; ended is not called. */
void bw_pool_cancel(struct bw_pool_connection *connection);

/** Returns whether a byte of the request has left this host. */
bool bw_pool_was_sent(const struct bw_pool_connection *connection);

/** Closes the idle connections to an address. */
void bw_pool_close_idle(struct bw_pool *pool, const char *address);

#endif

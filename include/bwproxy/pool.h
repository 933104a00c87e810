/**
 * @file
 * HTTP/1.1 client on the event loop: a pool of persistent connections to
 * backend servers. A connection carries one request at a time. A response is
 * accepted only when it is complete and echoes the id of the request; other
 * responses on the same connection are skipped, because a backend server may
 * send an extra one. A response whose body exceeds the budget is not read
 * further until other bodies are released.
 */
#ifndef BWPROXY_POOL_H
#define BWPROXY_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"
#include "bwproxy/body.h"
#include "bwproxy/http1.h"
#include "bwproxy/loop_clock.h"

struct bw_pool_connection;

/** Result of a request sent through the pool. */
enum bw_pool_result {
	BW_POOL_RESPONSE, /**< a complete response arrived */
	BW_POOL_NOT_SENT, /**< no byte of the request was sent */
	BW_POOL_CLOSED, /**< the connection ended before the response */
	BW_POOL_INVALID, /**< malformed data, or no response to the request */
	BW_POOL_RESULT_COUNT
};

/** Stable names of enum bw_pool_result. */
extern const char *const bw_pool_result_string[BW_POOL_RESULT_COUNT];

/** Settings. Strings are not copied and must outlive the pool. */
struct bw_pool_config {
	struct ev_loop *loop;
	struct bw_http_limits limits; /**< of responses */
	const char *id_field; /**< header field that responses echo */
	uint32_t connect_timeout_ms;
	uint32_t idle_ms; /**< maximum idle time of a connection */
	uint32_t connections_max;
	struct bw_body_budget *budget; /**< of bodies of responses, which allows
					    an overdraft; NULL: not limited */
	/**
	 * Called when a request has ended.
	 * @param response valid during the callback; its body is in body. NULL
	 *	unless result is BW_POOL_RESPONSE
	 * @param body with its charge to the budget; may be moved away. NULL
	 *	like response
	 */
	void (*ended)(void *context, void *request, enum bw_pool_result result,
		      const struct bw_http_message *response,
		      struct bw_body *body);
	/**
	 * Called when a new connection is established, before the request is
	 * sent on it; may be NULL. Lets the caller cancel a request whose
	 * connect took too long.
	 * @return false when the callback has cancelled the request
	 */
	bool (*connected)(void *context, void *request);
	void *context;
};

/** Pool of connections to all backend servers. */
struct bw_pool {
	struct bw_pool_config config;
	GHashTable *idle; /**< address -> singly linked idle connections */
	struct bw_pool_connection *connections; /**< all, linked list */
	uint32_t connection_count;
	uint64_t opened_count;
	uint64_t reused_count;
	uint64_t skipped_count; /**< responses to other requests */
	GQueue paused; /**< connections that are not read from until the budget
			    allows the rest of their response */
	uint64_t paused_count; /**< responses that had to wait for that */
	ev_timer sweep_timer;
	struct bw_loop_clock clock;
};

/** A request to send. Strings and the head are copied. */
struct bw_pool_request {
	const char *address; /**< IPv4 address and port */
	const char *id; /**< value of id_field */
	const struct bw_buffer *head; /**< including its final empty line */
	const void *body; /**< not copied: the caller keeps it until ended is
			     called, or the request is cancelled */
	size_t body_bytes;
	bool head_response; /**< a HEAD request, whose response has no body */
	void *request; /**< passed to the callbacks */
};

/** Initialises an empty pool. */
enum bw_status bw_pool_init(struct bw_pool *pool,
			    const struct bw_pool_config *config);

/** Closes all connections without calling ended. */
void bw_pool_finish(struct bw_pool *pool);

/**
 * Sends a request on an idle connection or a new one. In a full pool, the new
 * one replaces the connection that has been idle for longest. ended is called
 * later, from the loop.
 * @return the connection, for bw_pool_cancel; NULL when no connection can be
 *	opened or memory is exhausted
 */
struct bw_pool_connection *bw_pool_send(struct bw_pool *pool,
					const struct bw_pool_request *request);

/** Cancels a request by closing its connection, without calling ended. */
void bw_pool_cancel(struct bw_pool_connection *connection);

/** Returns whether any byte of the request was sent. */
bool bw_pool_was_sent(const struct bw_pool_connection *connection);

/** Returns whether the caller's body is not sent yet and must be kept. */
bool bw_pool_needs_body(const struct bw_pool_connection *connection);

/** Returns whether all connections that the pool may open are in use. */
bool bw_pool_is_full(const struct bw_pool *pool);

/** Closes the idle connections to an address. */
void bw_pool_close_idle(struct bw_pool *pool, const char *address);

#endif

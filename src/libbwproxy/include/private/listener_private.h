/**
 * @file
 * Shared by the source files of the listener: connections and requests
 * (listener.c), responses (listener_respond.c), causes and reports of
 * rejections (listener_reject.c), and connections that are closed for others
 * (listener_evict.c).
 */
#ifndef PRIVATE_LISTENER_PRIVATE_H
#define PRIVATE_LISTENER_PRIVATE_H

#include <ev.h>

#include "bwbase/buffer.h"
#include "bwbase/clock.h"
#include "bwproxy/body.h"
#include "bwproxy/eviction.h"
#include "bwproxy/http1.h"
#include "bwproxy/listener.h"

/** A connection of a client. */
struct bw_server_connection {
	struct bw_listener *listener;
	struct bw_server_connection *next;
	struct bw_server_connection **previous; /**< the pointer to this one */
	int fd;
	uint32_t peer; /**< IPv4 address in network byte order */
	ev_io read_watcher;
	ev_io write_watcher;
	struct bw_http_reader reader;
	struct bw_body body; /**< charge of the body in reader; no bytes */
	struct bw_buffer in; /**< bytes not yet parsed */
	struct bw_buffer out;
	struct bw_body out_body; /**< to be sent after out */
	size_t out_body_sent_bytes;
	struct bw_time state_since; /**< last progress, counted at a least rate
					 while a body is read or sent; on a
					 clock without the loop's pauses */
	uint32_t unread_max_bytes; /**< in the socket while it is not read */
	uint64_t charged_bytes; /**< to bw_memory: heads, input and output */
	struct bw_time began_at; /**< first byte of the request being read */
	uint64_t parsed_bytes; /**< of the request that is being read */
	void *context;
	bool busy; /**< a request is in progress */
	bool close_after_write;
	bool continue_sent;
	bool served; /**< has had a response */
	bool lingering; /**< rejected; what still arrives is dropped */
	uint64_t dropped_bytes; /**< while lingering */
};

/**
 * Reports a rejected request to the handler, if it has a callback for that. To
 * be called before the response, while the connection still has the request.
 * @param now on the clock of connection->state_since
 */
void listener_report_rejection(struct bw_server_connection *connection,
			       enum bw_listener_cause cause,
			       struct bw_time now);

/** Returns the time of the loop without the pauses in which it did not run. */
struct bw_time listener_run_time(struct bw_listener *listener);

/** Frees the body of the request, and its charge. */
void listener_free_body(struct bw_server_connection *connection);

/**
 * Closes and frees a connection.
 * @param notify_handler whether the handler of a request in progress is told
 */
void listener_close(struct bw_server_connection *connection,
		    bool notify_handler);

/** Writes the head of a response to out. */
void listener_write_head(struct bw_buffer *out, uint16_t status_code,
			 const struct bw_buffer *fields, size_t body_bytes,
			 bool close);

/**
 * Sends what the socket takes of the output, and the rest once it takes more.
 * @return whether the connection still exists
 */
bool listener_flush(struct bw_server_connection *connection);

/** Returns whether a response, or a part of it, is not sent yet. */
bool listener_has_output(const struct bw_server_connection *connection);

/** Appends the header lines of a response with 503. */
void listener_append_unavailable(const struct bw_listener *listener,
				 struct bw_buffer *fields);

/** Charges the memory of the process for what the connection holds now. */
void listener_charge(struct bw_server_connection *connection);

/**
 * Closes the connection that gives up its place first, see bw_eviction.
 * @return whether there was one
 */
bool listener_evict_for_connection(struct bw_listener *listener);

/**
 * Closes other connections of the process until the memory for heads allows
 * what this one holds.
 * @return whether it does
 */
bool listener_evict_for_head(struct bw_server_connection *connection);

/**
 * Closes another connection of the process that holds the body of a request.
 * @return whether there was one
 */
bool listener_evict_for_body(struct bw_server_connection *connection);

/** Closes clients that don't read, while responses are short of memory. */
void listener_evict_for_responses(struct bw_listener *listener);

/** Reports and closes a connection, after a refusal if a request is read. */
void listener_evict(struct bw_server_connection *connection,
		    enum bw_eviction_cause cause);

/** Reports that a connection is closed. */
void listener_report_eviction(struct bw_listener *listener,
			      enum bw_eviction_cause cause,
			      const struct bw_eviction_candidate *candidate,
			      uint32_t peer);

/** Reads pipelined requests from the loop, not from the handler. */
void listener_read_pipelined(struct bw_server_connection *connection);

#endif

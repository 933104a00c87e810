/**
 * @file
 * Shared by the two source files of the upstream client: event loop integration
 * (upstream.c) and calls (call.c).
 */
#ifndef PRIVATE_UPSTREAM_PRIVATE_H
#define PRIVATE_UPSTREAM_PRIVATE_H

#include <curl/curl.h>

#include "bwbase/buffer.h"
#include "bwbase/clock.h"
#include "bwproxy/upstream.h"
#include "private/ring.h"

/** An upstream client. */
struct bw_upstream {
	struct ev_loop *loop;
	struct bw_upstream_config config;
	CURLM *multi;
	ev_timer timer; /**< timeout requested by libcurl */
	ev_prepare deferred; /**< never started; triggered by ev_feed_event */
	struct bw_call *calls; /**< all, doubly linked */
	struct bw_call *deferred_calls; /**< for on_deferred_; singly linked */
	struct bw_upstream_counters counters;
};

/** One call. */
struct bw_call {
	struct bw_upstream *upstream;
	struct bw_upstream_handler handler;
	struct bw_call *next;
	struct bw_call *previous;
	struct bw_call *deferred_next;
	bool is_deferred; /**< in deferred_calls */
	CURL *easy;
	struct curl_slist *fields;
	struct curl_slist *connect_to; /**< set for TLS only */
	struct bw_time deadline;
	ev_timer timer; /**< deadline; libcurl does not apply its own timeout
			 to a call that waits for a connection */
	bool deadline_expired;
	enum bw_upstream_body body_kind;
	struct bw_buffer body; /**< COMPLETE */
	size_t body_offset; /**< bytes of body passed to libcurl */
	struct bw_ring ring; /**< STREAMED */
	int64_t body_length; /**< STREAMED */
	int64_t appended_bytes;
	bool ended; /**< STREAMED: bw_upstream_end was called */
	bool writable_pending; /**< STREAMED: append accepted fewer bytes than
				  given, so WRITABLE follows */
	bool added; /**< to the multi handle */
	bool cancelled;
	bool opened_socket; /**< the first attempt opened a connection */
	bool sent; /**< request bytes may have been sent */
	bool resend_refused;
	bool paused; /**< by bw_upstream_pause */
	bool receive_paused; /**< libcurl's receive side is paused */
	bool send_paused; /**< libcurl's send side is paused */
	bool is_head; /**< method is HEAD */
	bool head_done;
	bool bad_response;
	bool bad_request_body; /**< length differs from body_length */
	struct bw_buffer head; /**< NUL-terminated field names and values */
	size_t head_bytes; /**< bytes of all response fields received */
	struct bw_http_header *headers; /**< strings point into head */
	size_t header_count;
	uint32_t status_code; /**< 0 before the first status line */
	bool no_body; /**< response cannot have a body */
	int64_t content_length;
	int64_t received_bytes;
};

/** Sets the options and callbacks of call->easy. @return BW_OK or an error */
enum bw_status call_setup_(struct bw_call *call,
			   const struct bw_upstream_request *request);
/** Returns why a transfer failed, or BW_UPSTREAM_CAUSE_NONE. */
enum bw_upstream_cause call_cause_(const struct bw_call *call, CURLcode code);
/** Delivers an event; the caller has set kind and its fields. */
void call_emit_(struct bw_call *call, struct bw_upstream_event *event);
/** Schedules the call for on_deferred_. */
void call_defer_(struct bw_call *call);

#endif

/*
 * Tests of the HTTP listener over loopback. Guard against lost responses,
 * rejections without a cause, and connections held by clients that are slow.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bwproxy/listener.h"
#include "harness.h"

/** First port that a listener tries. */
#define FIRST_PORT 23500

/** More than the kernel buffers for one connection. */
#define LARGE_BODY_BYTES (8 * 1024 * 1024)

/** Of a response that a client reads slowly, and what it reads at a time. */
#define SLOW_BODY_BYTES (3 * LARGE_BODY_BYTES)
#define READ_BYTES 2000000

static uint16_t open_(struct bw_listener *listener, struct ev_loop *loop,
		      const struct bw_listener_handler *handler, void *context,
		      uint32_t idle_timeout_ms)
{
	struct bw_listener_config config = { .loop = loop,
					     .limits = { 1024, 1024 },
					     .connections_max = 4,
					     .head_timeout_ms = 300,
					     .idle_timeout_ms = idle_timeout_ms,
					     .handler = handler,
					     .context = context };

	return listener_open(listener, &config, FIRST_PORT);
}

static void listen_(struct bw_listener *listener, struct ev_loop *loop,
		    struct target_echo *echo, uint16_t *port)
{
	*port = open_(listener, loop, &target_echo_handler, echo, 60000);
}

/* Guards against lost responses to pipelined requests, incomplete requests that
 * hold a connection, and a disconnect that is not reported. */
static void test_listener(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct target_echo echo = { 0 };
	struct peer peer;
	struct peer slow;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	peer_connect(&peer, loop, port);
	/* Pipelined requests get their responses in order. */
	peer_send_text(&peer, "GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
			      "GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, peer_has(&peer, "/one") && peer_has(&peer, "/two"));
	assert_int_equal(peer_count(&peer, "HTTP/1.1 200 OK"), 2);
	/* An incomplete request gets a 408 response. */
	peer_connect(&slow, loop, port);
	peer_send_text(&slow, "GET /slow HTTP/1.1\r\n");
	SPIN_UNTIL(loop, peer_has(&slow, "HTTP/1.1 408"));
	SPIN_UNTIL(loop, slow.eof);
	/* A disconnect is reported while the request is in progress. */
	echo.withhold_response = true;
	peer_send_text(&peer, "GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, echo.requests == 3);
	peer_close(&peer);
	SPIN_UNTIL(loop, echo.disconnected_count == 1);
	assert_int_equal(listener.busy_count, 0);
	bw_listener_finish(&listener);
	peer_finish(&peer);
	peer_finish(&slow);
	ev_loop_destroy(loop);
}

/* A request that the listener rejects, and what it reports. */
struct rejection_case {
	const char *text; /**< of the request, up to the repeated part */
	const char *repeated; /**< sent repeat_count times */
	uint32_t repeat_count;
	enum bw_listener_cause cause;
	uint16_t status_code;
	const char *parser_error;
	uint32_t limit;
	const char *id;
};

static const struct rejection_case rejection_cases[] = {
	{ "GET /x HTTP/1.1\r\nId: a\r\n\x01: x\r\n\r\n", "", 0,
	  BW_LISTENER_MALFORMED, 400, "HPE_INVALID_HEADER_TOKEN", 0, "a" },
	{ "POST /x HTTP/1.1\r\nId: b\r\nConnection: upgrade\r\n"
	  "Upgrade: x\r\nContent-Length: 9\r\n\r\n",
	  "", 0, BW_LISTENER_BODY_TIMEOUT, 408, "HPE_OK", 400, "b" },
	{ "QUERY /x HTTP/1.1\r\n\r\n", "", 0, BW_LISTENER_UNKNOWN_METHOD, 501,
	  "HPE_INVALID_METHOD", 0, "" },
	{ "CONNECT x:1 HTTP/1.1\r\nId: h\r\n\r\n", "", 0,
	  BW_LISTENER_UNKNOWN_METHOD, 501, "HPE_CB_headers_complete", 0, "h" },
	{ "GET /x HTTP/1.1\r\nId: c\r\n", "Name: 0123456789\r\n", 95,
	  BW_LISTENER_HEAD_TOO_LARGE, 431, "HPE_CB_header_value", 1024, "c" },
	{ "GET /x HTTP/1.1\r\nId: d\r\n", "N: 0\r\n", 210,
	  BW_LISTENER_HEAD_TOO_LARGE, 431, "HPE_CB_header_field", 1024, "d" },
	{ "POST /x HTTP/1.1\r\nId: e\r\nContent-Length: 2000\r\n\r\n",
	  "0123456789", 200, BW_LISTENER_BODY_TOO_LARGE, 413, "HPE_CB_body",
	  1024, "e" },
	{ "GET /x HTTP/1.1\r\nId: f\r\n", "", 0, BW_LISTENER_HEAD_TIMEOUT, 408,
	  "HPE_OK", 300, "f" },
	{ "POST /x HTTP/1.1\r\nId: g\r\nContent-Length: 9\r\n\r\n", "", 0,
	  BW_LISTENER_BODY_TIMEOUT, 408, "HPE_OK", 400, "g" },
};

static void check_rejection_(struct ev_loop *loop, struct target_echo *echo,
			     uint16_t port,
			     const struct rejection_case *rejected)
{
	const struct bw_listener_rejection *rejection = &echo->rejection;
	uint32_t count = echo->rejected_count;
	struct peer peer;
	char status[32];
	char text[4096];
	size_t length;
	uint32_t i;

	length = (size_t)snprintf(text, sizeof(text), "%s", rejected->text);
	for (i = 0; i < rejected->repeat_count; i++)
		length += (size_t)snprintf(text + length, sizeof(text) - length,
					   "%s", rejected->repeated);
	assert_true(length < sizeof(text));
	peer_connect(&peer, loop, port);
	peer_send_text(&peer, text);
	snprintf(status, sizeof(status), "HTTP/1.1 %u", rejected->status_code);
	SPIN_UNTIL(loop, peer_has(&peer, status));
	assert_int_equal(echo->rejected_count, count + 1);
	assert_int_equal(rejection->cause, rejected->cause);
	assert_int_equal(rejection->status_code, rejected->status_code);
	if (rejected->parser_error)
		assert_string_equal(rejection->parser_error,
				    rejected->parser_error);
	assert_int_equal(rejection->limit, rejected->limit);
	assert_int_equal(rejection->received_bytes, strlen(text));
	assert_string_equal(echo->rejected_id, rejected->id);
	peer_finish(&peer);
}

/* Guards against a request that is rejected without a report of its cause. */
static void test_listener_rejections(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct target_echo echo = { 0 };
	uint16_t port;
	size_t i;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	bw_listener_set_timeouts(&listener, 300, 400);
	for (i = 0; i < sizeof(rejection_cases) / sizeof(rejection_cases[0]);
	     i++)
		check_rejection_(loop, &echo, port, &rejection_cases[i]);
	assert_int_equal(echo.requests, 0);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Begins a chunked request, and waits until the listener has read its head. */
static void begin_chunked_(struct ev_loop *loop, struct peer *peer)
{
	uint32_t count = peer_count(peer, "HTTP/1.1 100");

	peer_send_text(peer, "POST /two HTTP/1.1\r\nExpect: 100-continue\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n");
	SPIN_UNTIL(loop, peer_count(peer, "HTTP/1.1 100") == count + 1);
}

/* Sends the one chunk of a body. */
static void send_chunk_(struct peer *peer, uint32_t size_bytes)
{
	char text[2048];

	snprintf(text, sizeof(text), "%x\r\n%0*d\r\n0\r\n\r\n", size_bytes,
		 (int)size_bytes, 0);
	peer_send_text(peer, text);
}

/* Guards against limits that change within a request, that outlive a change on
 * an open connection, and that are reported for the next request. */
static void test_listener_old_limit(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct target_echo echo = { 0 };
	struct peer peer;
	struct peer late;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	listener.config.head_timeout_ms = 60000;
	peer_connect(&peer, loop, port);
	peer_connect(&late, loop, port);
	peer_send_text(&peer, "GET /one HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, peer_has(&peer, "/one"));
	begin_chunked_(loop, &peer);
	begin_chunked_(loop, &late);
	listener.config.limits.body_max_bytes = 512;
	/* Requests that began before the change keep their limit. */
	send_chunk_(&peer, 600);
	SPIN_UNTIL(loop, peer_has(&peer, "/two"));
	assert_int_equal(echo.rejected_count, 0);
	send_chunk_(&late, 1280);
	SPIN_UNTIL(loop, peer_has(&late, "HTTP/1.1 413"));
	assert_int_equal(echo.rejection.limit, 1024);
	assert_int_equal(echo.rejection.limit_current, 512);
	/* The next one on the open connection has the new limit. */
	begin_chunked_(loop, &peer);
	send_chunk_(&peer, 600);
	SPIN_UNTIL(loop, peer_has(&peer, "HTTP/1.1 413"));
	assert_int_equal(echo.rejection.limit, 512);
	assert_int_equal(echo.rejection.limit_current, 512);
	bw_listener_finish(&listener);
	peer_finish(&peer);
	peer_finish(&late);
	ev_loop_destroy(loop);
}

/* Guards against a body that is allocated larger than its length, that is lost
 * when the connection goes on, or that becomes part of the next one. */
static void test_listener_take_body(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct target_echo echo = { .takes_body = true };
	uint8_t *body = make_body(1001);
	struct peer peer;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	peer_connect(&peer, loop, port);
	peer_send_text(&peer, "POST /one HTTP/1.1\r\nContent-Length: "
			      "1001\r\n\r\n");
	peer_send(&peer, body, 500);
	spin_once(loop);
	assert_int_equal(echo.requests, 0);
	peer_send(&peer, body + 500, 501);
	SPIN_UNTIL(loop, peer_has(&peer, "/one"));
	assert_int_equal(echo.body.bytes.size_bytes, 1001);
	assert_int_equal(echo.body.bytes.capacity_bytes, 1001);
	assert_memory_equal(echo.body.bytes.data, body, 1001);
	peer_send_text(&peer, "POST /two HTTP/1.1\r\nContent-Length: "
			      "3\r\n\r\nabc");
	SPIN_UNTIL(loop, peer_has(&peer, "/two"));
	assert_int_equal(echo.body.bytes.size_bytes, 3);
	assert_memory_equal(echo.body.bytes.data, "abc", 3);
	bw_body_finish(&echo.body);
	free(body);
	bw_listener_finish(&listener);
	peer_finish(&peer);
	ev_loop_destroy(loop);
}

/* Sends the head of a request, with a body of zeros in part. */
static void send_part_(struct peer *peer, const char *fields, size_t part_bytes)
{
	char text[1500];
	int length = snprintf(text, sizeof(text), "POST /x HTTP/1.1\r\n%s\r\n",
			      fields);

	assert_true((size_t)length + part_bytes <= sizeof(text));
	memset(text + length, '0', part_bytes);
	peer_send(peer, text, (size_t)length + part_bytes);
}

/* Guards against bodies that take more memory than there is, against a refusal
 * without its time to wait, and against a charge that is not released. */
static void test_listener_budget(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_body_budget budget = { .max_bytes = 1000 };
	struct bw_listener listener;
	struct target_echo echo = { .takes_body = true };
	struct peer first;
	struct peer second;
	struct peer third;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	listener.config.body_budget = &budget;
	listener.config.unavailable_fields = "Retry-After: 0.5\r\n";
	bw_listener_set_timeouts(&listener, 60000, 60000);
	/* The announced length is charged before the body arrives. */
	peer_connect(&first, loop, port);
	send_part_(&first, "Content-Length: 600\r\n", 10);
	SPIN_UNTIL(loop, budget.used_bytes == 600);
	/* Another one is refused before its body has arrived. */
	peer_connect(&second, loop, port);
	send_part_(&second, "Content-Length: 401\r\nExpect: 100-continue\r\n",
		   0);
	SPIN_UNTIL(loop, second.eof);
	assert_false(second.reset);
	assert_true(peer_has(&second, "HTTP/1.1 503"));
	assert_true(peer_has(&second, "\r\nRetry-After: 0.5\r\n"));
	assert_true(peer_has(&second, "\r\nConnection: close\r\n"));
	assert_int_equal(echo.rejection.cause, BW_LISTENER_BODY_MEMORY);
	assert_int_equal(echo.rejection.status_code, 503);
	assert_int_equal(echo.rejection.limit, 1000);
	assert_int_equal(budget.used_bytes, 600);
	peer_finish(&second);
	/* One in chunks is charged as it grows. */
	peer_connect(&third, loop, port);
	send_part_(&third, "Transfer-Encoding: chunked\r\n\r\n401", 300);
	SPIN_UNTIL(loop, budget.used_bytes == 900);
	peer_send(&third, (uint8_t[101]){ 0 }, 101);
	SPIN_UNTIL(loop, peer_has(&third, "HTTP/1.1 503"));
	assert_int_equal(budget.used_bytes, 600);
	peer_finish(&third);
	/* A body above the limit is refused for good, whatever the budget. */
	peer_connect(&second, loop, port);
	send_part_(&second, "Content-Length: 1025\r\n", 0);
	SPIN_UNTIL(loop, peer_has(&second, "HTTP/1.1 413"));
	peer_finish(&second);
	/* The charge is released by who takes the body. */
	peer_send(&first, (uint8_t[590]){ 0 }, 590);
	SPIN_UNTIL(loop, peer_has(&first, "HTTP/1.1 200"));
	assert_int_equal(budget.used_bytes, 600);
	bw_body_finish(&echo.body);
	assert_int_equal(budget.used_bytes, 0);
	/* It is released by the response if nobody does. */
	echo.takes_body = false;
	send_part_(&first, "Content-Length: 200\r\n", 200);
	SPIN_UNTIL(loop, peer_count(&first, "HTTP/1.1 200") == 2);
	assert_int_equal(budget.used_bytes, 0);
	/* It is released by a disconnect, and by a timeout. */
	send_part_(&first, "Content-Length: 900\r\n", 1);
	SPIN_UNTIL(loop, budget.used_bytes == 900);
	peer_finish(&first);
	SPIN_UNTIL(loop, budget.used_bytes == 0);
	bw_listener_set_timeouts(&listener, 300, 300);
	peer_connect(&second, loop, port);
	send_part_(&second, "Content-Length: 900\r\n", 1);
	SPIN_UNTIL(loop, budget.used_bytes == 900);
	SPIN_UNTIL(loop, peer_has(&second, "HTTP/1.1 408"));
	assert_int_equal(budget.used_bytes, 0);
	peer_finish(&second);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Sends a body above the limit and more bytes behind it without reading. */
static void send_rejected_(struct ev_loop *loop, const struct target_echo *echo,
			   struct peer *peer, uint16_t port, size_t more_bytes)
{
	static const char head[] = "POST /x HTTP/1.1\r\nTransfer-Encoding: "
				   "chunked\r\n\r\n10000\r\n";
	uint32_t count = echo->rejected_count;
	uint8_t zeros[2000] = { 0 };
	uint8_t first[sizeof(head) - 1 + sizeof(zeros)] = { 0 };

	assert_true(more_bytes <= sizeof(zeros));
	memcpy(first, head, sizeof(head) - 1);
	peer_connect(peer, loop, port);
	peer_pause(peer);
	peer_send(peer, first, sizeof(first));
	SPIN_UNTIL(loop, echo->rejected_count == count + 1);
	peer_send(peer, zeros, more_bytes);
}

/* Guards against a reset that loses the response of a client that is still
 * sending, and against a rejected client that holds its connection. */
static void test_listener_linger(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct target_echo echo = { 0 };
	struct peer peer;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	send_rejected_(loop, &echo, &peer, port, 2000);
	peer_resume(&peer);
	SPIN_UNTIL(loop, peer.eof);
	assert_false(peer.reset);
	assert_true(peer_has(&peer, "HTTP/1.1 413"));
	assert_int_equal(listener.lingering_count, 1);
	/* It is dropped after a while. */
	SPIN_UNTIL(loop, listener.connection_count == 0);
	assert_int_equal(listener.lingering_count, 0);
	peer_finish(&peer);
	/* It is dropped at once when it sends more than a request may have. */
	send_rejected_(loop, &echo, &peer, port, 2000);
	assert_int_equal(listener.connection_count, 1);
	peer_send(&peer, (uint8_t[100]){ 0 }, 100);
	SPIN_UNTIL(loop, listener.connection_count == 0);
	peer_finish(&peer);
	/* It is closed when it closes. */
	send_rejected_(loop, &echo, &peer, port, 0);
	peer_close(&peer);
	SPIN_UNTIL(loop, listener.connection_count == 0);
	assert_int_equal(listener.lingering_count, 0);
	peer_finish(&peer);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Guards against a slow body that is rejected by the timeout of the head. */
static void test_listener_slow_body(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct target_echo echo = { 0 };
	struct peer peer;
	struct bw_time sent_at;
	uint16_t port;
	int i;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	peer_connect(&peer, loop, port);
	peer_send_text(&peer,
		       "POST /slow HTTP/1.1\r\nContent-Length: 6\r\n\r\n");
	for (i = 0; i < 6; i++) {
		sent_at = bw_loop_clock_now(&listener.clock);
		SPIN_UNTIL(loop,
			   bw_time_diff_ms(bw_loop_clock_now(&listener.clock),
					   sent_at) > 200);
		peer_send_text(&peer, "x");
	}
	SPIN_UNTIL(loop, peer_has(&peer, "/slow"));
	assert_int_equal(echo.rejected_count, 0);
	bw_listener_finish(&listener);
	peer_finish(&peer);
	ev_loop_destroy(loop);
}

/* Guards against a close that drops a request on an open connection, or that
 * leaves idle connections open. */
static void test_listener_close(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct target_echo echo = { 0 };
	struct peer peer;
	struct peer idle;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	peer_connect(&peer, loop, port);
	peer_connect(&idle, loop, port);
	SPIN_UNTIL(loop, listener.connection_count == 2);
	bw_listener_begin_close(&listener);
	peer_send_text(&peer, "GET /one HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, peer_has(&peer, "Connection: close"));
	SPIN_UNTIL(loop, peer.eof);
	assert_false(idle.eof);
	SPIN_UNTIL(loop, (bw_listener_close_idle(&listener), idle.eof));
	assert_true(bw_listener_is_idle(&listener));
	bw_listener_finish(&listener);
	peer_finish(&peer);
	peer_finish(&idle);
	ev_loop_destroy(loop);
}

/* Guards against a close that resets requests which the kernel has queued, or
 * which are read in part. */
static void test_listener_close_unread(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct ev_loop *peer_loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct target_echo echo = { 0 };
	struct peer queued;
	struct peer partial;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	peer_connect(&partial, loop, port);
	peer_send_text(&partial, "GET /partial HTTP/1.1\r\nHo");
	SPIN_UNTIL(loop, !bw_listener_is_idle(&listener));
	bw_listener_begin_close(&listener);
	/* The listener's loop does not run, so that it accepts nothing. */
	peer_connect(&queued, peer_loop, port);
	peer_send_text(&queued, "GET /queued HTTP/1.1\r\nHost: x\r\n\r\n");
	assert_int_equal(listener.connection_count, 1);
	bw_listener_close_idle(&listener);
	SPIN_UNTIL(loop, (spin_once(peer_loop), peer_has(&queued, "/queued")));
	peer_send_text(&partial, "st: x\r\n\r\n");
	SPIN_UNTIL(loop, (bw_listener_close_idle(&listener),
			  peer_has(&partial, "/partial")));
	SPIN_UNTIL(loop, !listener.connection_count);
	bw_listener_finish(&listener);
	peer_finish(&queued);
	peer_finish(&partial);
	ev_loop_destroy(peer_loop);
	ev_loop_destroy(loop);
}

/* @param context size of the body, or NULL for LARGE_BODY_BYTES */
static void respond_large_(void *context,
			   struct bw_server_connection *connection,
			   const struct bw_http_message *request)
{
	size_t size_bytes = context ? *(size_t *)context : LARGE_BODY_BYTES;
	uint8_t *body = make_body(size_bytes);

	(void)request;
	bw_connection_respond(connection, 200, NULL, body, size_bytes, false);
	free(body);
}

static const struct bw_listener_handler large_handler = {
	.request = respond_large_,
};

/* Guards against a host that takes itself for idle while it sends a response.
 */
static void test_listener_slow_reader(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct peer peer;
	uint16_t port;

	(void)state;
	port = open_(&listener, loop, &large_handler, NULL, 60000);
	peer_connect(&peer, loop, port);
	peer_pause(&peer);
	bw_listener_begin_close(&listener);
	peer_send_text(&peer, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, !bw_listener_is_flushed(&listener));
	assert_int_equal(listener.busy_count, 0);
	assert_false(bw_listener_is_idle(&listener));
	bw_listener_close_idle(&listener);
	assert_int_equal(listener.connection_count, 1);
	peer_resume(&peer);
	SPIN_UNTIL(loop, peer.eof);
	assert_true(peer.in.size_bytes > LARGE_BODY_BYTES);
	assert_true(bw_listener_is_idle(&listener));
	bw_listener_finish(&listener);
	peer_finish(&peer);
	ev_loop_destroy(loop);
}

/* Guards against a response that is cut off because its client reads slowly. */
static void test_listener_slow_reader_is_not_idle(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	size_t size_bytes = SLOW_BODY_BYTES;
	struct bw_listener listener;
	struct peer peer;
	int64_t pause_ends_ms;
	uint16_t port;

	(void)state;
	port = open_(&listener, loop, &large_handler, &size_bytes, 700);
	peer_connect(&peer, loop, port);
	peer_send_text(&peer, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n");
	while (!peer.eof && peer.in.size_bytes < SLOW_BODY_BYTES) {
		size_t enough_bytes = peer.in.size_bytes + READ_BYTES;

		peer_resume(&peer);
		SPIN_UNTIL(loop, peer.eof ||
					 peer.in.size_bytes >= enough_bytes ||
					 peer.in.size_bytes > SLOW_BODY_BYTES);
		peer_pause(&peer);
		pause_ends_ms = spin_now_ms() + 200;
		SPIN_UNTIL(loop, spin_now_ms() > pause_ends_ms);
	}
	peer_resume(&peer);
	SPIN_UNTIL(loop, peer.eof || peer.in.size_bytes > SLOW_BODY_BYTES);
	assert_true(peer.in.size_bytes > SLOW_BODY_BYTES);
	bw_listener_finish(&listener);
	peer_finish(&peer);
	ev_loop_destroy(loop);
}

static struct bw_body_budget response_budget_;

static void respond_body_(void *context,
			  struct bw_server_connection *connection,
			  const struct bw_http_message *request)
{
	struct bw_body body = { .budget = &response_budget_ };

	(void)context;
	(void)request;
	body.bytes.data = make_body(LARGE_BODY_BYTES);
	body.bytes.size_bytes = body.bytes.capacity_bytes = LARGE_BODY_BYTES;
	assert_true(bw_body_charge(&body, LARGE_BODY_BYTES));
	bw_connection_respond_body(connection, 200, NULL, &body, false);
	assert_int_equal(body.charged_bytes, 0);
}

static const struct bw_listener_handler body_handler = {
	.request = respond_body_,
};

/* Guards against a pipelined response within the body of the one before, and
 * against memory that stays charged. */
static void test_listener_keeps_body_until_sent(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct peer peer;
	struct peer gone;
	uint16_t port;

	(void)state;
	response_budget_.max_bytes = 4 * LARGE_BODY_BYTES;
	port = open_(&listener, loop, &body_handler, NULL, 60000);
	peer_connect(&peer, loop, port);
	peer_pause(&peer);
	peer_send_text(&peer, "GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
			      "GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
	peer_connect(&gone, loop, port);
	peer_pause(&gone);
	peer_send_text(&gone, "GET /gone HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, response_budget_.used_bytes == 2 * LARGE_BODY_BYTES);
	assert_false(bw_listener_is_flushed(&listener));
	peer_reset(&gone);
	SPIN_UNTIL(loop, response_budget_.used_bytes == LARGE_BODY_BYTES);
	peer_resume(&peer);
	SPIN_UNTIL(loop, peer.in.size_bytes > 2 * LARGE_BODY_BYTES);
	SPIN_UNTIL(loop, !response_budget_.used_bytes);
	assert_int_equal(peer_count(&peer, "HTTP/1.1 200 OK"), 2);
	assert_int_equal(listener.connection_count, 1);
	bw_listener_finish(&listener);
	peer_finish(&peer);
	peer_finish(&gone);
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_listener),
		cmocka_unit_test(test_listener_rejections),
		cmocka_unit_test(test_listener_old_limit),
		cmocka_unit_test(test_listener_take_body),
		cmocka_unit_test(test_listener_budget),
		cmocka_unit_test(test_listener_linger),
		cmocka_unit_test(test_listener_slow_body),
		cmocka_unit_test(test_listener_close),
		cmocka_unit_test(test_listener_close_unread),
		cmocka_unit_test(test_listener_slow_reader),
		cmocka_unit_test(test_listener_slow_reader_is_not_idle),
		cmocka_unit_test(test_listener_keeps_body_until_sent),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

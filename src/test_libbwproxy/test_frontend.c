#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness.h"

/* Counts of the events of a frontend, and its latest request. */
struct record {
	struct bw_frontend *frontend;
	struct bw_request *request; /* NULL after DONE */
	void (*on_head)(struct bw_request *request);
	uint32_t heads;
	uint32_t body_ends;
	uint32_t disconnects;
	uint32_t done;
	uint32_t writable_count;
	bool sent;
	bool idle;
	uint64_t body_bytes;
};

struct fixture {
	struct ev_loop *loop;
	struct record record;
	struct peer peer;
};

static void on_event_(void *context, const struct bw_frontend_event *event)
{
	struct record *record = context;

	switch (event->kind) {
	case BW_FRONTEND_HEAD:
		record->heads++;
		record->request = event->request;
		if (record->on_head)
			record->on_head(event->request);
		break;
	case BW_FRONTEND_BODY:
		assert_true(event->size_bytes > 0);
		record->body_bytes += event->size_bytes;
		break;
	case BW_FRONTEND_BODY_END:
		record->body_ends++;
		break;
	case BW_FRONTEND_WRITABLE:
		record->writable_count++;
		break;
	case BW_FRONTEND_DISCONNECTED:
		record->disconnects++;
		break;
	default:
		record->done++;
		record->sent = event->sent;
		record->request = NULL;
	}
}

static void on_idle_(void *context)
{
	((struct record *)context)->idle = true;
}

static void open_(struct fixture *f, void (*on_head)(struct bw_request *))
{
	struct bw_frontend_handler handler = { &f->record, on_event_,
					       on_idle_ };

	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->record.on_head = on_head;
	f->record.frontend = frontend_open(f->loop, handler);
	peer_connect(&f->peer, f->loop,
		     bw_frontend_port(f->record.frontend, 0));
}

static void close_(struct fixture *f)
{
	peer_finish(&f->peer);
	bw_frontend_free(f->record.frontend);
	ev_loop_destroy(f->loop);
}

static void respond_small_(struct bw_request *request)
{
	struct bw_http_header header = { "X-Kind", "lookup" };

	assert_int_equal(bw_request_respond(request, 200, &header, 1, "frame",
					    5),
			 BW_OK);
}

static void pause_(struct bw_request *request)
{
	bw_request_pause(request);
}

static void check_accessors_(struct bw_request *request)
{
	struct bw_http_header bad[] = { { "X-A", "b\r\nSet-Cookie: c" },
					{ "X-A\r\nB", "c" },
					{ "X A", "c" } };
	int i;

	assert_string_equal(bw_request_path(request), "/v1/a%20b");
	assert_string_equal(bw_request_query(request), "service=c%26d&e");
	assert_string_equal(bw_request_header(request, "boragewing-KEY"), "k");
	assert_string_equal(bw_request_peer(request), "127.0.0.1");
	assert_null(bw_request_header(request, "X-None"));
	for (i = 0; i < 3; i++) {
		assert_int_equal(bw_request_respond(request, 200, &bad[i], 1,
						    "", 0),
				 BW_EINVAL);
		assert_int_equal(bw_request_start(request, 200, &bad[i], 1, 1),
				 BW_EINVAL);
	}
	respond_small_(request);
}

/* Guards against a modified request target and against response header
 * injection. */
static void test_whole_response(void **state)
{
	struct fixture f;

	(void)state;
	open_(&f, check_accessors_);
	peer_send_text(&f.peer, "GET /v1/a%20b?service=c%26d&e HTTP/1.1\r\n"
				"Host: h\r\nBoragewing-Key: k\r\n\r\n");
	SPIN_UNTIL(f.loop, peer_has(&f.peer, "\r\n\r\nframe"));
	assert_true(peer_has(&f.peer, "X-Kind: lookup\r\n"));
	assert_false(peer_has(&f.peer, "Set-Cookie"));
	SPIN_UNTIL(f.loop, f.record.done == 1);
	assert_true(f.record.sent);
	assert_int_equal(f.record.disconnects, 0);
	assert_false(f.peer.eof);
	close_(&f);
}

/* Guards against unbounded memory for a client that does not read. */
static void test_slow_reader(void **state)
{
	enum { TOTAL_BYTES = 24 * 1024 * 1024 };
	static uint8_t block[4096];
	struct fixture f;
	size_t appended = 0;
	size_t accepted = 0;
	uint32_t idle_rounds = 0;

	(void)state;
	open_(&f, NULL);
	peer_pause(&f.peer);
	peer_send_text(&f.peer, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	SPIN_UNTIL(f.loop, f.record.body_ends == 1);
	assert_int_equal(bw_request_start(f.record.request, 200, NULL, 0,
					  BW_HTTP_LENGTH_UNKNOWN),
			 BW_OK);
	memset(block, 'x', sizeof(block));
	while (idle_rounds < 10) {
		accepted = bw_request_append(f.record.request, block,
					     sizeof(block));
		appended += accepted;
		idle_rounds = accepted ? 0 : idle_rounds + 1;
		spin_once(f.loop);
	}
	assert_true(appended < TOTAL_BYTES);
	peer_resume(&f.peer);
	while (appended < TOTAL_BYTES) {
		accepted = bw_request_append(f.record.request, block,
					     sizeof(block));
		appended += accepted;
		if (accepted < sizeof(block)) {
			uint32_t writable_count = f.record.writable_count;

			SPIN_UNTIL(f.loop,
				   f.record.writable_count > writable_count);
		}
	}
	bw_request_end(f.record.request);
	SPIN_UNTIL(f.loop, f.record.done == 1);
	SPIN_UNTIL(f.loop, peer_has(&f.peer, "\r\n0\r\n\r\n"));
	assert_true(f.record.sent);
	assert_true(bw_frontend_counters(f.record.frontend)->ring_peak_bytes <=
		    TEST_RING_BYTES);
	assert_true(f.peer.in.size_bytes > appended);
	close_(&f);
}

/* Guards against requests that continue after the client has disconnected. MHD
 * does not poll a connection that waits for its response. */
static void test_client_disconnect(void **state)
{
	static uint8_t block[TEST_RING_BYTES];
	struct fixture f;
	int kind;

	(void)state;
	/*
	 * 0: before the response; 1: while the request body is paused; 2: while
	 * the response body is blocked.
	 */
	for (kind = 0; kind < 3; kind++) {
		open_(&f, kind == 1 ? pause_ : NULL);
		peer_pause(&f.peer);
		peer_send_text(&f.peer, "POST / HTTP/1.1\r\nHost: h\r\n"
					"Content-Length: 3\r\n\r\nabc");
		SPIN_UNTIL(f.loop, kind == 1 ? f.record.heads == 1
					     : f.record.body_ends == 1);
		if (kind == 2) {
			bw_request_start(f.record.request, 200, NULL, 0,
					 BW_HTTP_LENGTH_UNKNOWN);
			SPIN_UNTIL(f.loop,
				   !bw_request_append(f.record.request, block,
						      sizeof(block)));
		}
		peer_close(&f.peer);
		SPIN_UNTIL(f.loop, f.record.done == 1);
		assert_int_equal(f.record.disconnects, 1);
		assert_false(f.record.sent);
		assert_int_equal(
			bw_frontend_counters(f.record.frontend)->active, 0);
		close_(&f);
	}
}

static void abort_at_head_(struct bw_request *request)
{
	bw_request_abort(request);
}

/* Guards against an aborted response that looks complete. */
static void test_abort(void **state)
{
	static const int64_t lengths[] = { BW_HTTP_LENGTH_UNKNOWN, 100 };
	struct fixture f;
	int i;

	(void)state;
	for (i = 0; i < 4; i++) {
		open_(&f, NULL);
		peer_send_text(&f.peer, "GET / HTTP/1.1\r\nHost: h\r\n"
					"Connection: close\r\n\r\n");
		SPIN_UNTIL(f.loop, f.record.body_ends == 1);
		bw_request_start(f.record.request, 200, NULL, 0,
				 lengths[i % 2]);
		bw_request_append(f.record.request, "part", 4);
		SPIN_UNTIL(f.loop, peer_has(&f.peer, "part"));
		/* An end before the declared length aborts as well. */
		if (i == 3)
			bw_request_end(f.record.request);
		else
			bw_request_abort(f.record.request);
		SPIN_UNTIL(f.loop, f.peer.eof && f.record.done == 1);
		assert_false(f.record.sent);
		assert_false(peer_has(&f.peer, "\r\n0\r\n"));
		assert_true(peer_has(&f.peer, lengths[i % 2] < 0
						      ? "chunked"
						      : "Content-Length: 100"));
		close_(&f);
	}
	open_(&f, abort_at_head_);
	peer_send_text(&f.peer, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	SPIN_UNTIL(f.loop, f.peer.eof && f.record.done == 1);
	assert_int_equal(f.peer.in.size_bytes, 0);
	close_(&f);
}

static void expect_response_(const char *request, const char *response,
			     uint32_t heads)
{
	struct fixture f;

	open_(&f, NULL);
	peer_send_text(&f.peer, request);
	SPIN_UNTIL(f.loop, peer_has(&f.peer, response) || f.peer.eof);
	if (!peer_has(&f.peer, response))
		fail_msg("%.60s: no %s", request, response);
	assert_int_equal(f.record.heads, heads);
	SPIN_UNTIL(f.loop, f.record.done == heads);
	close_(&f);
}

/* Guards against stalls, crashes and memory growth on malformed requests. */
static void test_invalid_requests(void **state)
{
	static char large[TEST_HEADER_BYTES * 16];
	struct bw_buffer text = { 0 };

	(void)state;
	memset(large, 'a', sizeof(large) - 1);
	bw_buffer_printf(&text,
			 "GET / HTTP/1.1\r\nHost: h\r\nX-A: %.*s\r\n\r\n",
			 TEST_HEADER_BYTES, large);
	expect_response_((char *)text.data, "HTTP/1.1 431", 0);
	bw_buffer_clear(&text);
	bw_buffer_printf(&text, "GET / HTTP/1.1\r\nHost: h\r\nX-A: %s\r\n\r\n",
			 large);
	expect_response_((char *)text.data, "HTTP/1.1 431", 0);
	bw_buffer_clear(&text);
	bw_buffer_printf(&text, "GET /%s HTTP/1.1\r\nHost: h\r\n\r\n", large);
	expect_response_((char *)text.data, "HTTP/1.1 4", 0);
	bw_buffer_finish(&text);
	expect_response_(
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n"
		"\r\n",
		"HTTP/1.1 413", 0);
	expect_response_(
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n",
		"HTTP/1.1 400", 0);
	expect_response_(
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5x\r\n\r\n",
		"HTTP/1.1 400", 0);
	expect_response_("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
			 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			 "HTTP/1.1 400", 0);
	expect_response_("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
			 "Content-Length: 2\r\n\r\nab",
			 "HTTP/1.1 400", 0);
	expect_response_(
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
		"\r\nzz\r\nab",
		"HTTP/1.1 400", 1);
	expect_response_("GET / HTTP/1.0\r\nHost: h\r\n\r\n", "HTTP/1.1 505",
			 0);
	expect_response_("GET http://h/ HTTP/1.1\r\nHost: h\r\n\r\n",
			 "HTTP/1.1 400", 0);
}

/* Guards against a chunked body that exceeds the size limit. */
static void test_chunked_body_limit(void **state)
{
	static uint8_t zeros[65536];
	struct fixture f;
	uint32_t i;

	(void)state;
	open_(&f, NULL);
	peer_send_text(&f.peer, "POST / HTTP/1.1\r\nHost: h\r\n"
				"Transfer-Encoding: chunked\r\n\r\n");
	for (i = 0; i <= TEST_BODY_BYTES / sizeof(zeros); i++) {
		peer_send_text(&f.peer, "10000\r\n");
		peer_send(&f.peer, zeros, sizeof(zeros));
		peer_send_text(&f.peer, "\r\n");
	}
	peer_send_text(&f.peer, "0\r\n\r\n");
	SPIN_UNTIL(f.loop, peer_has(&f.peer, "HTTP/1.1 413"));
	SPIN_UNTIL(f.loop, f.record.done == 1);
	assert_int_equal(f.record.disconnects, 1);
	assert_true(f.record.body_bytes <= TEST_BODY_BYTES);
	close_(&f);
}

/* Guards against a stall or a lost response when the response is started
 * before the body was read. */
static void test_early_response(void **state)
{
	static uint8_t body[512 * 1024];
	struct fixture f;

	(void)state;
	open_(&f, respond_small_);
	peer_send_text(&f.peer, "POST / HTTP/1.1\r\nHost: h\r\n"
				"Content-Length: 524288\r\n\r\n");
	peer_send(&f.peer, body, sizeof(body));
	SPIN_UNTIL(f.loop, peer_has(&f.peer, "\r\n\r\nframe"));
	assert_int_equal(f.record.body_bytes, 0);
	peer_send_text(&f.peer, "POST / HTTP/1.1\r\nHost: h\r\n"
				"Expect: 100-continue\r\n"
				"Content-Length: 524288\r\n\r\n");
	SPIN_UNTIL(f.loop, peer_count(&f.peer, "\r\n\r\nframe") == 2);
	assert_false(peer_has(&f.peer, "100 Continue"));
	SPIN_UNTIL(f.loop, f.record.done == 2);
	close_(&f);
}

/* Guards against a lost wake-up after resume, and against reading the body of a
 * paused request. */
static void test_pause_body(void **state)
{
	static uint8_t body[2 * 1024 * 1024];
	struct fixture f;
	int i;

	(void)state;
	open_(&f, pause_);
	peer_send_text(&f.peer, "POST / HTTP/1.1\r\nHost: h\r\n"
				"Content-Length: 2097152\r\n\r\n");
	peer_send(&f.peer, body, 1000);
	for (i = 0; i < 5; i++)
		spin_once(f.loop);
	assert_int_equal(f.record.heads, 1);
	assert_int_equal(f.record.body_bytes, 0);
	bw_request_resume(f.record.request);
	peer_send(&f.peer, body, sizeof(body) - 1000);
	SPIN_UNTIL(f.loop, f.record.body_ends == 1);
	assert_int_equal(f.record.body_bytes, sizeof(body));
	respond_small_(f.record.request);
	SPIN_UNTIL(f.loop, peer_has(&f.peer, "\r\n\r\nframe"));
	close_(&f);
}

/* Guards against a lost response when a request with a large body is rejected
 * some time after its head, for example by an admission queue. */
static void test_late_rejection(void **state)
{
	static const char *const expect[] = { "", "Expect: 100-continue\r\n" };
	static uint8_t body[1024];
	struct bw_buffer text = { 0 };
	struct fixture f;
	int i;
	int round;

	(void)state;
	/*
	 * 0 and 1 declare the length, 2 and 3 use chunks; 1 and 3 send "Expect"
	 * and no body.
	 */
	for (i = 0; i < 4; i++) {
		open_(&f, pause_);
		bw_buffer_clear(&text);
		bw_buffer_printf(&text,
				 "POST / HTTP/1.1\r\nHost: h\r\n%s%s\r\n\r\n",
				 expect[i % 2],
				 i < 2 ? "Content-Length: 3000000"
				       : "Transfer-Encoding: chunked");
		peer_send(&f.peer, text.data, text.size_bytes);
		if (!(i % 2))
			peer_send_text(&f.peer, "400\r\n");
		peer_send(&f.peer, body, i % 2 ? 0 : sizeof(body));
		if (i == 2)
			peer_send_text(&f.peer, "\r\n0\r\n\r\n");
		for (round = 0; round < 5; round++)
			spin_once(f.loop);
		assert_int_equal(f.record.heads, 1);
		assert_int_equal(f.peer.in.size_bytes, 0);
		respond_small_(f.record.request);
		SPIN_UNTIL(f.loop, peer_has(&f.peer, "\r\n\r\nframe"));
		SPIN_UNTIL(f.loop, f.record.done == 1);
		assert_true(f.record.sent);
		assert_false(peer_has(&f.peer, "100 Continue"));
		close_(&f);
	}
	bw_buffer_finish(&text);
}

/* Guards against a HEAD response that has a body or loses its length. */
static void test_head_method(void **state)
{
	struct fixture f;

	(void)state;
	open_(&f, NULL);
	peer_send_text(&f.peer, "HEAD / HTTP/1.1\r\nHost: h\r\n\r\n");
	SPIN_UNTIL(f.loop, f.record.body_ends == 1);
	bw_request_start(f.record.request, 200, NULL, 0, 100);
	assert_int_equal(bw_request_append(f.record.request, "part", 4), 4);
	bw_request_end(f.record.request);
	SPIN_UNTIL(f.loop, f.record.done == 1);
	assert_true(f.record.sent);
	SPIN_UNTIL(f.loop, peer_has(&f.peer, "Content-Length: 100\r\n"));
	assert_false(peer_has(&f.peer, "part"));
	close_(&f);
}

/* Guards against a graceful stop that aborts a request in progress. */
static void test_graceful_stop(void **state)
{
	struct fixture f;
	uint16_t port;

	(void)state;
	open_(&f, NULL);
	port = bw_frontend_port(f.record.frontend, 0);
	peer_send_text(&f.peer, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	SPIN_UNTIL(f.loop, f.record.body_ends == 1);
	bw_frontend_stop(f.record.frontend);
	spin_once(f.loop);
	assert_false(f.record.idle);
	assert_true(port != 0);
	respond_small_(f.record.request);
	SPIN_UNTIL(f.loop, f.record.idle);
	SPIN_UNTIL(f.loop, f.peer.eof);
	assert_true(peer_has(&f.peer, "\r\n\r\nframe"));
	assert_true(f.record.sent);
	close_(&f);
}

/* Guards against a missing DONE event when the frontend is freed. */
static void test_free_in_progress(void **state)
{
	struct fixture f;

	(void)state;
	open_(&f, NULL);
	peer_send_text(&f.peer, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
	SPIN_UNTIL(f.loop, f.record.body_ends == 1);
	bw_frontend_free(f.record.frontend);
	assert_int_equal(f.record.disconnects, 1);
	assert_int_equal(f.record.done, 1);
	peer_finish(&f.peer);
	ev_loop_destroy(f.loop);
}

/* Guards against clients that hold a connection by sending very slowly. */
static void test_slow_sender(void **state)
{
	struct bw_frontend_listener listener = { .address = "127.0.0.1",
						 .connection_limit = 5,
						 .idle_timeout_s = 1,
						 .receive_timeout_ms = 300,
						 .header_limit_bytes = 4096,
						 .body_limit_bytes = 4096 };
	struct fixture f;
	struct peer slow;
	struct bw_frontend_config config = { &listener,
					     1,
					     TEST_RING_BYTES,
					     { &f.record, on_event_,
					       on_idle_ } };
	uint16_t port;

	(void)state;
	memset(&f, 0, sizeof(f));
	f.loop = ev_loop_new(EVFLAG_AUTO);
	assert_int_equal(bw_frontend_new(&f.record.frontend, f.loop, &config),
			 BW_OK);
	port = bw_frontend_port(f.record.frontend, 0);
	peer_connect(&f.peer, f.loop, port);
	peer_connect(&slow, f.loop, port);
	peer_send_text(&f.peer, "POST / HTTP/1.1\r\nHost: h\r\n"
				"Content-Length: 2000\r\n\r\n");
	peer_send_text(&slow, "GET / HTTP/1.1\r\nX: ");
	SPIN_UNTIL(f.loop, (peer_send_text(&f.peer, "a"), f.peer.eof));
	SPIN_UNTIL(f.loop, (peer_send_text(&slow, "a"), slow.eof));
	SPIN_UNTIL(f.loop, f.record.done == 1);
	assert_int_equal(f.record.disconnects, 1);
	peer_finish(&slow);
	close_(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_response),
		cmocka_unit_test(test_slow_reader),
		cmocka_unit_test(test_client_disconnect),
		cmocka_unit_test(test_abort),
		cmocka_unit_test(test_invalid_requests),
		cmocka_unit_test(test_chunked_body_limit),
		cmocka_unit_test(test_early_response),
		cmocka_unit_test(test_pause_body),
		cmocka_unit_test(test_late_rejection),
		cmocka_unit_test(test_head_method),
		cmocka_unit_test(test_graceful_stop),
		cmocka_unit_test(test_free_in_progress),
		cmocka_unit_test(test_slow_sender),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

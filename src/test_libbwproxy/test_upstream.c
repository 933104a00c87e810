#include <stdio.h>
#include <string.h>

#include "harness.h"

struct fixture {
	struct ev_loop *loop;
	struct bw_upstream *upstream;
	struct raw_server server;
	struct reply reply;
};

static void setup_(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->loop = ev_loop_new(EVFLAG_AUTO);
	f->upstream = upstream_open(f->loop);
	raw_server_init(&f->server, f->loop);
}

static void teardown_(struct fixture *f)
{
	bw_upstream_free(f->upstream);
	reply_finish(&f->reply);
	raw_server_finish(&f->server);
	ev_loop_destroy(f->loop);
}

/* Starts a POST and waits until the server received its body on connection
 * index. */
static struct bw_call *post_(struct fixture *f, uint32_t index)
{
	struct bw_call *call = call_start(f->upstream, f->server.port, "POST",
					  "/orders?a=%20b", "closure", 7,
					  &f->reply);
	struct peer *peer = &f->server.peers[index];

	SPIN_UNTIL(f->loop, f->server.peer_count > index &&
				    peer_has(peer, "\r\n\r\nclosure"));
	return call;
}

/* Guards against header fields that libcurl adds or removes by default. */
static void test_complete_response(void **state)
{
	struct fixture f;
	struct peer *peer;

	(void)state;
	setup_(&f);
	post_(&f, 0);
	peer = &f.server.peers[0];
	assert_true(peer_has(peer, "POST /orders?a=%20b HTTP/1.1\r\n"));
	assert_true(peer_has(peer, "Content-Length: 7\r\n"));
	assert_false(peer_has(peer, "Expect:"));
	assert_false(peer_has(peer, "User-Agent"));
	assert_false(peer_has(peer, "Accept"));
	peer_send_text(peer,
		       "HTTP/1.1 302 Found\r\nLocation: /elsewhere\r\n"
		       "Content-Encoding: gzip\r\nContent-Length: 5\r\n\r\n"
		       "frame");
	SPIN_UNTIL(f.loop, f.reply.over);
	assert_true(f.reply.complete);
	assert_int_equal(f.reply.status_code, 302);
	assert_int_equal(f.reply.body.size_bytes, 5);
	assert_int_equal(f.reply.connected_count, 1);
	assert_true(f.reply.bytes_sent);
	teardown_(&f);
}

/* Guards against accepting a truncated or malformed response as complete. */
static void test_broken_responses(void **state)
{
	static const struct {
		const char *text;
		bool reset;
		enum bw_upstream_cause cause;
	} cases[] = {
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", false,
		  BW_UPSTREAM_SHORT_BODY },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort", true,
		  BW_UPSTREAM_SHORT_BODY },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "5\r\nshort\r\n",
		  false, BW_UPSTREAM_SHORT_BODY },
		{ "HTTP/1.1 200 OK\r\n\r\nno length", false,
		  BW_UPSTREAM_BAD_RESPONSE },
		{ "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
		  "Content-Length: 2\r\n\r\nab",
		  false, BW_UPSTREAM_BAD_RESPONSE },
		{ "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nab", false,
		  BW_UPSTREAM_BAD_RESPONSE },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		  "zz\r\nshort\r\n",
		  false, BW_UPSTREAM_SHORT_BODY },
		{ "SSH-2.0-x\r\n", false, BW_UPSTREAM_BAD_RESPONSE },
		{ "HTTP/1.1 101 Switching\r\n\r\n", false,
		  BW_UPSTREAM_BAD_RESPONSE },
		{ "HTTP/1.1 100 Continue\r\n\r\n", false, BW_UPSTREAM_RESET },
		{ "HTTP/1.1 20", false, BW_UPSTREAM_RESET },
		{ "", false, BW_UPSTREAM_RESET },
		{ "", true, BW_UPSTREAM_RESET },
	};
	struct fixture f;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup_(&f);
		post_(&f, 0);
		peer_send_text(&f.server.peers[0], cases[i].text);
		if (cases[i].reset) {
			if (cases[i].text[0])
				SPIN_UNTIL(f.loop, f.reply.status_code != 0);
			peer_reset(&f.server.peers[0]);
		} else {
			peer_close(&f.server.peers[0]);
		}
		SPIN_UNTIL(f.loop, f.reply.over);
		if (f.reply.complete || f.reply.cause != cases[i].cause)
			fail_msg("case %zu: %s", i,
				 bw_upstream_cause_string[f.reply.cause]);
		assert_true(f.reply.bytes_sent);
		assert_false(f.reply.reused_closed);
		assert_int_equal(f.server.peer_count, 1);
		teardown_(&f);
	}
}

/* Guards against a refused connection reported as possibly executed. */
static void test_connection_refused(void **state)
{
	struct fixture f;
	uint16_t port;

	(void)state;
	setup_(&f);
	port = f.server.port;
	raw_server_finish(&f.server);
	call_start(f.upstream, port, "GET", "/", NULL, 0, &f.reply);
	SPIN_UNTIL(f.loop, f.reply.over);
	assert_int_equal(f.reply.cause, BW_UPSTREAM_REFUSED);
	assert_false(f.reply.bytes_sent);
	assert_int_equal(f.reply.connected_count, 0);
	raw_server_init(&f.server, f.loop);
	teardown_(&f);
}

/* Guards against libcurl resending a request. Without the pre-request callback
 * it does so for requests without a body. */
static void test_reused_connection_closed(void **state)
{
	struct fixture f;
	uint32_t count = 0;
	uint32_t i;
	int kind;

	(void)state;
	/* Bit 0: reset instead of close; bit 1: request without a body. */
	for (kind = 0; kind < 4; kind++) {
		setup_(&f);
		post_(&f, 0);
		peer_send_text(&f.server.peers[0],
			       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
		SPIN_UNTIL(f.loop, f.reply.over);
		reply_finish(&f.reply);
		call_start(f.upstream, f.server.port, "POST", "/second",
			   kind & 2 ? NULL : "x", 1, &f.reply);
		SPIN_UNTIL(f.loop,
			   peer_count(&f.server.peers[0], "\r\n\r\n") == 2);
		if (kind & 1)
			peer_reset(&f.server.peers[0]);
		else
			peer_close(&f.server.peers[0]);
		SPIN_UNTIL(f.loop, f.reply.over || f.server.peer_count > 1);
		for (i = 0; i < 5; i++)
			spin_once(f.loop);
		for (i = 0, count = 0; i < f.server.peer_count; i++)
			count += peer_count(&f.server.peers[i], "POST /second");
		assert_int_equal(count, 1);
		assert_int_equal(f.reply.cause, BW_UPSTREAM_RESET);
		assert_true(f.reply.bytes_sent);
		assert_true(f.reply.reused_closed);
		assert_int_equal(f.reply.connected_count, 1);
		teardown_(&f);
	}
}

/* Guards against reusing a connection despite fresh_connection, and against
 * opening a connection for each request. */
static void test_reuse(void **state)
{
	struct bw_upstream_request request = { .address = "127.0.0.1",
					       .source = "127.0.0.7",
					       .method = "GET",
					       .target = "/",
					       .deadline_ms = 60000 };
	struct fixture f;
	struct bw_upstream_handler handler = { &f.reply, reply_event };
	struct bw_call *call;
	uint32_t round;
	struct peer *peer;

	(void)state;
	setup_(&f);
	request.port = f.server.port;
	for (round = 0; round < 4; round++) {
		request.fresh_connection = round >= 2;
		assert_int_equal(bw_upstream_start(f.upstream, &request,
						   &handler, &call),
				 BW_OK);
		peer = &f.server.peers[round < 2 ? 0 : round - 1];
		SPIN_UNTIL(f.loop, peer_count(peer, "\r\n\r\n") ==
					   (round == 1 ? 2U : 1U));
		peer_send_text(peer, "HTTP/1.1 204 No Content\r\n\r\n");
		SPIN_UNTIL(f.loop, f.reply.over);
		assert_true(f.reply.complete);
		reply_finish(&f.reply);
	}
	assert_int_equal(f.server.peer_count, 3);
	assert_int_equal(bw_upstream_counters(f.upstream)->connections, 3);
	teardown_(&f);
}

/* Guards against a call that continues after its cancellation or deadline. */
static void test_cancel_and_deadline(void **state)
{
	struct bw_upstream_request request = { .address = "127.0.0.1",
					       .method = "GET",
					       .target = "/",
					       .deadline_ms = 100 };
	struct fixture f;
	struct bw_upstream_handler handler = { &f.reply, reply_event };
	struct bw_call *call;

	(void)state;
	setup_(&f);
	call = post_(&f, 0);
	assert_true(bw_upstream_bytes_sent(call));
	bw_upstream_cancel(call);
	SPIN_UNTIL(f.loop, f.reply.over && f.server.peers[0].eof);
	assert_int_equal(f.reply.cause, BW_UPSTREAM_CANCELLED);
	reply_finish(&f.reply);
	/* Cancelled before the connect: nothing is sent. */
	call = call_start(f.upstream, f.server.port, "POST", "/never", "x", 1,
			  &f.reply);
	bw_upstream_cancel(call);
	SPIN_UNTIL(f.loop, f.reply.over);
	assert_false(f.reply.bytes_sent);
	reply_finish(&f.reply);
	request.port = f.server.port;
	bw_upstream_start(f.upstream, &request, &handler, &call);
	SPIN_UNTIL(f.loop, f.reply.over);
	assert_int_equal(f.reply.cause, BW_UPSTREAM_TIMEOUT);
	assert_int_equal(bw_upstream_counters(f.upstream)->active, 0);
	teardown_(&f);
}

/* Cancels the call at events of one kind. */
struct canceller {
	struct reply reply;
	enum bw_upstream_event_kind kind;
};

static void cancel_at_(void *context, const struct bw_upstream_event *event)
{
	struct canceller *canceller = context;

	if (event->kind == canceller->kind)
		bw_upstream_cancel(event->call);
	reply_event(&canceller->reply, event);
}

/* Guards against events or request bytes after a cancel from a callback. */
static void test_cancel_from_event(void **state)
{
	static const enum bw_upstream_event_kind kinds[] = {
		BW_UPSTREAM_CONNECTED, BW_UPSTREAM_HEAD, BW_UPSTREAM_BODY
	};
	struct bw_upstream_request request = { .address = "127.0.0.1",
					       .method = "GET",
					       .target = "/",
					       .deadline_ms = 60000 };
	struct fixture f;
	struct canceller canceller;
	struct bw_upstream_handler handler = { &canceller, cancel_at_ };
	struct bw_call *call;
	int i;

	(void)state;
	for (i = 0; i < 3; i++) {
		setup_(&f);
		memset(&canceller, 0, sizeof(canceller));
		canceller.kind = kinds[i];
		request.port = f.server.port;
		bw_upstream_start(f.upstream, &request, &handler, &call);
		SPIN_UNTIL(f.loop, f.server.peer_count == 1);
		if (i) {
			SPIN_UNTIL(f.loop,
				   peer_has(&f.server.peers[0], "GET /"));
			peer_send_text(
				&f.server.peers[0],
				"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
				"\r\nframe");
		}
		SPIN_UNTIL(f.loop, canceller.reply.over);
		assert_int_equal(canceller.reply.cause, BW_UPSTREAM_CANCELLED);
		assert_int_equal(canceller.reply.bytes_sent, i > 0);
		SPIN_UNTIL(f.loop, f.server.peers[0].eof);
		assert_int_equal(f.server.peers[0].in.size_bytes > 0, i > 0);
		reply_finish(&canceller.reply);
		teardown_(&f);
	}
}

/* Guards against a call that waits for a connection beyond its deadline, and
 * against one that stays queued when a connection becomes free. */
static void test_connection_limit(void **state)
{
	struct bw_upstream_config config = { 1, 1, 30, 5000, 4096, 4096 };
	struct bw_upstream_request request = { .address = "127.0.0.1",
					       .method = "GET",
					       .target = "/late",
					       .deadline_ms = 100 };
	struct fixture f;
	struct reply second = { 0 };
	struct bw_upstream_handler handler = { &second, reply_event };
	struct bw_call *call;

	(void)state;
	setup_(&f);
	bw_upstream_free(f.upstream);
	assert_int_equal(bw_upstream_new(&f.upstream, f.loop, &config), BW_OK);
	post_(&f, 0);
	request.port = f.server.port;
	bw_upstream_start(f.upstream, &request, &handler, &call);
	SPIN_UNTIL(f.loop, second.over);
	assert_int_equal(second.cause, BW_UPSTREAM_TIMEOUT);
	assert_false(second.bytes_sent);
	reply_finish(&second);
	call_start(f.upstream, f.server.port, "GET", "/next", NULL, 0, &second);
	spin_once(f.loop);
	peer_send_text(&f.server.peers[0],
		       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	SPIN_UNTIL(f.loop, peer_has(&f.server.peers[0], "GET /next"));
	assert_true(f.reply.complete);
	peer_send_text(&f.server.peers[0],
		       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	SPIN_UNTIL(f.loop, second.over);
	assert_true(second.complete);
	assert_int_equal(f.server.peer_count, 1);
	assert_false(peer_has(&f.server.peers[0], "/late"));
	reply_finish(&second);
	teardown_(&f);
}

/* Guards against unbounded response heads. */
static void test_response_head_limit(void **state)
{
	struct fixture f;
	struct bw_buffer text = { 0 };
	int i;

	(void)state;
	setup_(&f);
	post_(&f, 0);
	bw_buffer_printf(&text, "HTTP/1.1 200 OK\r\n");
	for (i = 0; i < 200; i++)
		bw_buffer_printf(&text, "X-%d: %0*d\r\n", i, 60, i);
	peer_send(&f.server.peers[0], text.data, text.size_bytes);
	SPIN_UNTIL(f.loop, f.reply.over);
	assert_int_equal(f.reply.cause, BW_UPSTREAM_BAD_RESPONSE);
	bw_buffer_finish(&text);
	teardown_(&f);
}

/* Guards against BODY events while paused, and against a lost resume. */
static void test_pause_response(void **state)
{
	struct fixture f;
	struct bw_call *call;
	int i;

	(void)state;
	setup_(&f);
	f.reply.pause_at_head = true;
	call = post_(&f, 0);
	peer_send_text(&f.server.peers[0],
		       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nframe");
	SPIN_UNTIL(f.loop, f.reply.status_code == 200);
	for (i = 0; i < 5; i++)
		spin_once(f.loop);
	assert_int_equal(f.reply.body.size_bytes, 0);
	assert_false(f.reply.over);
	bw_upstream_resume(call);
	SPIN_UNTIL(f.loop, f.reply.over);
	assert_true(f.reply.complete);
	assert_int_equal(f.reply.body.size_bytes, 5);
	teardown_(&f);
}

/* Guards against unbounded buffering when the server does not read, and against
 * a lost wake-up when the ring is empty. */
static void test_streamed_request(void **state)
{
	enum { TOTAL_BYTES = 24 * 1024 * 1024 };
	static uint8_t block[4096];
	struct bw_upstream_request request = {
		.address = "127.0.0.1",
		.method = "PUT",
		.target = "/",
		.body_kind = BW_UPSTREAM_BODY_STREAMED,
		.body_length_bytes = TOTAL_BYTES,
		.deadline_ms = 60000
	};
	struct fixture f;
	struct bw_upstream_handler handler = { &f.reply, reply_event };
	struct bw_call *call;
	size_t appended = 0;
	size_t accepted;
	uint32_t previous_count;

	(void)state;
	setup_(&f);
	request.port = f.server.port;
	bw_upstream_start(f.upstream, &request, &handler, &call);
	SPIN_UNTIL(f.loop, f.server.peer_count == 1 &&
				   peer_has(&f.server.peers[0], "\r\n\r\n"));
	while (appended < TOTAL_BYTES) {
		accepted = bw_upstream_append(call, block, sizeof(block));
		appended += accepted;
		previous_count = f.reply.writable_count;
		if (accepted < sizeof(block) && appended < TOTAL_BYTES)
			SPIN_UNTIL(f.loop,
				   f.reply.writable_count > previous_count);
	}
	bw_upstream_end(call);
	SPIN_UNTIL(f.loop, f.server.peers[0].in.size_bytes > TOTAL_BYTES);
	peer_send_text(&f.server.peers[0],
		       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	SPIN_UNTIL(f.loop, f.reply.over);
	assert_true(f.reply.complete);
	assert_true(bw_upstream_counters(f.upstream)->ring_peak_bytes <=
		    TEST_RING_BYTES);
	teardown_(&f);
}

/* Guards against request injection through the target, method or a header. */
static void test_injection(void **state)
{
	static const struct bw_http_header bad = { "X-A", "b\r\nX-B: c" };
	struct bw_upstream_request request = { .address = "127.0.0.1",
					       .port = 1,
					       .method = "GET",
					       .target = "/",
					       .headers = &bad,
					       .header_count = 1,
					       .deadline_ms = 1000 };
	struct fixture f;
	struct bw_upstream_handler handler = { &f.reply, reply_event };
	struct bw_call *call;

	(void)state;
	setup_(&f);
	assert_int_equal(bw_upstream_start(f.upstream, &request, &handler,
					   &call),
			 BW_EINVAL);
	request.header_count = 0;
	request.target = "/ HTTP/1.1\r\nX-B: c\r\n\r\n";
	assert_int_equal(bw_upstream_start(f.upstream, &request, &handler,
					   &call),
			 BW_EINVAL);
	request.target = "/";
	request.method = "GET /x";
	assert_int_equal(bw_upstream_start(f.upstream, &request, &handler,
					   &call),
			 BW_EINVAL);
	teardown_(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_complete_response),
		cmocka_unit_test(test_broken_responses),
		cmocka_unit_test(test_connection_refused),
		cmocka_unit_test(test_reused_connection_closed),
		cmocka_unit_test(test_reuse),
		cmocka_unit_test(test_cancel_and_deadline),
		cmocka_unit_test(test_cancel_from_event),
		cmocka_unit_test(test_connection_limit),
		cmocka_unit_test(test_response_head_limit),
		cmocka_unit_test(test_pause_response),
		cmocka_unit_test(test_streamed_request),
		cmocka_unit_test(test_injection),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

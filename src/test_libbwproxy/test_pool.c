/*
 * Connections to backend servers, and the HTTP server, over loopback. Guards
 * against answers that belong to another request, requests sent twice on a
 * stale connection, and answers that a reset has cut short.
 */
#include <stdio.h>
#include <string.h>

#include "bwproxy/listener.h"
#include "bwproxy/pool.h"
#include "harness.h"

/* Ends of requests in the order in which they were reported. */
struct ends {
	enum bw_pool_result results[8];
	uint16_t codes[8];
	char bodies[8][32];
	uint32_t count;
	struct bw_pool_connection *connection; /* to cancel */
	bool cancelled;
};

static void ended_(void *context, void *request, enum bw_pool_result result,
		   const struct bw_http_message *response)
{
	struct ends *ends = context;

	assert_ptr_equal(request, ends);
	ends->results[ends->count] = result;
	if (response) {
		ends->codes[ends->count] = response->status_code;
		snprintf(ends->bodies[ends->count], 32, "%.*s",
			 (int)response->body.size_bytes,
			 response->body.data ? (char *)response->body.data
					     : "");
	}
	ends->count++;
}

struct rig {
	struct ev_loop *loop;
	struct raw_server server;
	struct bw_pool pool;
	struct ends ends;
	char address[32];
};

static void open_(struct rig *rig)
{
	struct bw_pool_config config = { .id_field = "Request-Id" };

	memset(rig, 0, sizeof(*rig));
	rig->loop = ev_loop_new(EVFLAG_AUTO);
	raw_server_init(&rig->server, rig->loop);
	snprintf(rig->address, sizeof(rig->address), "127.0.0.1:%u",
		 rig->server.port);
	config.loop = rig->loop;
	config.limits.head_max_bytes = 4096;
	config.limits.body_max_bytes = 4096;
	config.connect_timeout_ms = 500;
	config.idle_ms = 5000;
	config.connections_max = 8;
	config.ended = ended_;
	config.context = &rig->ends;
	bw_pool_init(&rig->pool, &config);
}

static void close_(struct rig *rig)
{
	bw_pool_finish(&rig->pool);
	raw_server_finish(&rig->server);
	ev_loop_destroy(rig->loop);
}

static struct bw_pool_connection *send_(struct rig *rig, const char *id)
{
	struct bw_pool_request request = { .address = rig->address, .id = id };
	struct bw_pool_connection *connection;
	struct bw_buffer head;

	bw_buffer_init(&head);
	bw_buffer_printf(&head, "GET /%s HTTP/1.1\r\nRequest-Id: %s\r\n\r\n",
			 id, id);
	request.head = &head;
	request.request = &rig->ends;
	connection = bw_pool_send(&rig->pool, &request);
	bw_buffer_finish(&head);
	return connection;
}

/* The client left while the connection was made. */
static bool cancel_(void *context, void *request)
{
	struct ends *ends = context;

	(void)request;
	bw_pool_cancel(ends->connection);
	ends->cancelled = true;
	return false;
}

static void answer_(struct peer *peer, const char *id, const char *body)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %zu\r\n"
		 "\r\n%s",
		 id, strlen(body), body);
	peer_text(peer, text);
}

static void test_reuse(void **state)
{
	struct rig rig;

	(void)state;
	open_(&rig);
	send_(&rig, "one");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 1 &&
				     peer_has(&rig.server.peers[0], "/one"));
	answer_(&rig.server.peers[0], "one", "first");
	SPIN_UNTIL(rig.loop, rig.ends.count == 1);
	assert_int_equal(rig.ends.results[0], BW_POOL_RESPONSE);
	assert_string_equal(rig.ends.bodies[0], "first");
	send_(&rig, "two");
	SPIN_UNTIL(rig.loop, peer_has(&rig.server.peers[0], "/two"));
	answer_(&rig.server.peers[0], "two", "second");
	SPIN_UNTIL(rig.loop, rig.ends.count == 2);
	assert_string_equal(rig.ends.bodies[1], "second");
	assert_int_equal(rig.pool.opened_count, 1);
	close_(&rig);
}

/* Guards against a request that is sent although its owner gave it up in the
 * same turn of the loop in which the connection was made. */
static void test_cancel_when_connected(void **state)
{
	struct rig rig;

	(void)state;
	open_(&rig);
	rig.pool.config.connected = cancel_;
	rig.ends.connection = send_(&rig, "one");
	SPIN_UNTIL(rig.loop, rig.ends.cancelled && rig.server.peer_count == 1);
	assert_int_equal(rig.pool.connection_count, 0);
	assert_int_equal(rig.ends.count, 0);
	rig.pool.config.connected = NULL;
	send_(&rig, "two");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 2 &&
				     peer_has(&rig.server.peers[1], "/two"));
	assert_false(peer_has(&rig.server.peers[0], "/one"));
	close_(&rig);
}

static void test_extra_answer(void **state)
{
	struct rig rig;

	(void)state;
	open_(&rig);
	/* An answer to an earlier request comes before the right one. */
	send_(&rig, "mine");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 1);
	answer_(&rig.server.peers[0], "other", "foreign");
	answer_(&rig.server.peers[0], "mine", "right");
	SPIN_UNTIL(rig.loop, rig.ends.count == 1);
	assert_string_equal(rig.ends.bodies[0], "right");
	assert_int_equal(rig.pool.skipped_count, 1);
	/* Bytes on an idle connection end it. */
	answer_(&rig.server.peers[0], "mine", "again");
	SPIN_UNTIL(rig.loop, rig.pool.connection_count == 0);
	send_(&rig, "next");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 2);
	close_(&rig);
}

static void test_broken_answers(void **state)
{
	static const char half[] =
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\n"
		"abc";
	static const char unsized_[] =
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nabc";
	struct rig rig;

	(void)state;
	open_(&rig);
	send_(&rig, "a");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 1);
	peer_text(&rig.server.peers[0], half);
	peer_close(&rig.server.peers[0]);
	SPIN_UNTIL(rig.loop, rig.ends.count == 1);
	assert_int_equal(rig.ends.results[0], BW_POOL_CLOSED);
	/* Without a length the end of the stream ends the answer ... */
	send_(&rig, "a");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 2 &&
				     peer_has(&rig.server.peers[1], "/a"));
	peer_text(&rig.server.peers[1], unsized_);
	peer_close(&rig.server.peers[1]);
	SPIN_UNTIL(rig.loop, rig.ends.count == 2);
	assert_int_equal(rig.ends.results[1], BW_POOL_RESPONSE);
	assert_string_equal(rig.ends.bodies[1], "abc");
	/* ... but a reset does not. */
	send_(&rig, "a");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 3 &&
				     peer_has(&rig.server.peers[2], "/a"));
	peer_text(&rig.server.peers[2], unsized_);
	peer_reset(&rig.server.peers[2]);
	SPIN_UNTIL(rig.loop, rig.ends.count == 3);
	assert_int_equal(rig.ends.results[2], BW_POOL_CLOSED);
	send_(&rig, "a");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 4);
	peer_text(&rig.server.peers[3], "SSH-2.0-x\r\n");
	SPIN_UNTIL(rig.loop, rig.ends.count == 4);
	assert_int_equal(rig.ends.results[3], BW_POOL_INVALID);
	close_(&rig);
}

static void test_stale_connection(void **state)
{
	struct rig rig;

	(void)state;
	open_(&rig);
	send_(&rig, "one");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 1 &&
				     peer_has(&rig.server.peers[0], "/one"));
	answer_(&rig.server.peers[0], "one", "x");
	SPIN_UNTIL(rig.loop, rig.ends.count == 1);
	/* The server closes it; no request may be sent there any more. */
	peer_close(&rig.server.peers[0]);
	send_(&rig, "two");
	SPIN_UNTIL(rig.loop, rig.server.peer_count == 2 &&
				     peer_has(&rig.server.peers[1], "/two"));
	assert_false(peer_has(&rig.server.peers[0], "/two"));
	close_(&rig);
}

static void test_not_sent(void **state)
{
	struct rig rig;
	struct bw_pool_connection *connection;

	(void)state;
	open_(&rig);
	/* A port without a listener. */
	snprintf(rig.address, sizeof(rig.address), "127.0.0.1:1");
	connection = send_(&rig, "one");
	if (connection) {
		assert_false(bw_pool_was_sent(connection));
		SPIN_UNTIL(rig.loop, rig.ends.count == 1);
		assert_int_equal(rig.ends.results[0], BW_POOL_NOT_SENT);
	}
	close_(&rig);
}

/* The server side: answers each request with its target. */
struct echo {
	uint32_t requests;
	uint32_t gone;
	bool hold;
};

static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request)
{
	struct echo *echo = context;

	echo->requests++;
	if (!echo->hold)
		bw_connection_respond(connection, 200, NULL,
				      bw_http_text(request, request->target),
				      request->target.size_bytes, false);
}

static void on_gone_(void *context, struct bw_server_connection *connection)
{
	(void)connection;
	((struct echo *)context)->gone++;
}

static const struct bw_listener_handler echo_handler = {
	.request = on_request_,
	.disconnected = on_gone_,
};

static void listen_(struct bw_listener *listener, struct ev_loop *loop,
		    struct echo *echo, uint16_t *port)
{
	struct bw_listener_config config = { .loop = loop,
					     .connections_max = 4,
					     .head_timeout_ms = 300,
					     .idle_timeout_ms = 60000,
					     .handler = &echo_handler,
					     .context = echo };
	char address[32];
	uint16_t at;

	config.limits.head_max_bytes = 1024;
	config.limits.body_max_bytes = 1024;
	config.address = address;
	for (at = 23500; at < 23600; at++) {
		snprintf(address, sizeof(address), "127.0.0.1:%u", at);
		if (bw_listener_init(listener, &config) == BW_OK)
			break;
	}
	assert_true(at < 23600);
	*port = at;
}

static void test_listener(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	struct peer peer;
	struct peer slow;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	peer_connect(&peer, loop, port);
	/* Two requests at once are answered in order. */
	peer_text(&peer, "GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
			 "GET /two HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, peer_has(&peer, "/one") && peer_has(&peer, "/two"));
	assert_int_equal(peer_count(&peer, "HTTP/1.1 200 OK"), 2);
	/* A request that does not become complete gets 408. */
	peer_connect(&slow, loop, port);
	peer_text(&slow, "GET /slow HTTP/1.1\r\n");
	SPIN_UNTIL(loop, peer_has(&slow, "HTTP/1.1 408"));
	SPIN_UNTIL(loop, slow.eof);
	/* A client that leaves is reported while its request waits. */
	echo.hold = true;
	peer_text(&peer, "GET /held HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, echo.requests == 3);
	peer_close(&peer);
	SPIN_UNTIL(loop, echo.gone == 1);
	assert_int_equal(listener.busy_count, 0);
	bw_listener_finish(&listener);
	peer_finish(&peer);
	peer_finish(&slow);
	ev_loop_destroy(loop);
}

static void test_listener_close(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	struct peer peer;
	struct peer idle;
	uint16_t port;

	(void)state;
	listen_(&listener, loop, &echo, &port);
	peer_connect(&peer, loop, port);
	peer_connect(&idle, loop, port);
	SPIN_UNTIL(loop, listener.connection_count == 2);
	bw_listener_begin_close(&listener);
	peer_text(&peer, "GET /one HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(loop, peer_has(&peer, "Connection: close"));
	SPIN_UNTIL(loop, peer.eof);
	assert_false(idle.eof);
	bw_listener_close_idle(&listener);
	SPIN_UNTIL(loop, idle.eof);
	bw_listener_finish(&listener);
	peer_finish(&peer);
	peer_finish(&idle);
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reuse),
		cmocka_unit_test(test_cancel_when_connected),
		cmocka_unit_test(test_extra_answer),
		cmocka_unit_test(test_broken_answers),
		cmocka_unit_test(test_stale_connection),
		cmocka_unit_test(test_not_sent),
		cmocka_unit_test(test_listener),
		cmocka_unit_test(test_listener_close),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

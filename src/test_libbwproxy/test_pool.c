/*
 * Tests of the connection pool over loopback. Guard against responses delivered
 * to the wrong request, requests sent twice because of a stale connection, and
 * accepting responses truncated by a reset.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bwproxy/pool.h"
#include "harness.h"

/** Size of a body that does not fit the buffers of a connection. */
#define LARGE_BODY_BYTES (12 * 1024 * 1024)

/** Bytes after which a response counts as read without end. */
#define ENDLESS_BYTES (1024 * 1024)

/* Results of requests in the order of the callbacks. */
struct outcomes {
	enum bw_pool_result results[8];
	uint16_t codes[8];
	char bodies[8][32];
	uint32_t count;
	struct bw_pool_connection *connection; /* to cancel */
	bool cancelled;
};

static void ended_(void *context, void *request, enum bw_pool_result result,
		   const struct bw_http_message *response, struct bw_body *body)
{
	struct outcomes *outcomes = context;

	assert_ptr_equal(request, outcomes);
	outcomes->results[outcomes->count] = result;
	if (response) {
		outcomes->codes[outcomes->count] = response->status_code;
		snprintf(outcomes->bodies[outcomes->count], 32, "%.*s",
			 (int)body->bytes.size_bytes,
			 body->bytes.data ? (char *)body->bytes.data : "");
	}
	outcomes->count++;
}

/* Keeps the body as while its client reads it. */
static void keep_body_(void *context, void *request, enum bw_pool_result result,
		       const struct bw_http_message *response,
		       struct bw_body *body)
{
	struct bw_body *kept = request;

	(void)context;
	(void)response;
	assert_int_equal(result, BW_POOL_RESPONSE);
	bw_body_move(kept, body);
}

struct fixture {
	struct ev_loop *loop;
	struct raw_server server;
	struct bw_pool pool;
	struct outcomes outcomes;
	char address[32];
};

static void setup_(struct fixture *fixture)
{
	struct bw_pool_config config = { .id_field = "Request-Id" };

	memset(fixture, 0, sizeof(*fixture));
	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	raw_server_init(&fixture->server, fixture->loop);
	snprintf(fixture->address, sizeof(fixture->address), "127.0.0.1:%u",
		 fixture->server.port);
	config.loop = fixture->loop;
	config.limits.head_max_bytes = 4096;
	config.limits.body_max_bytes = 4096;
	config.connect_timeout_ms = 500;
	config.idle_ms = 5000;
	config.connections_max = 8;
	config.ended = ended_;
	config.context = &fixture->outcomes;
	bw_pool_init(&fixture->pool, &config);
}

static void teardown_(struct fixture *fixture)
{
	bw_pool_finish(&fixture->pool);
	raw_server_finish(&fixture->server);
	ev_loop_destroy(fixture->loop);
}

static struct bw_pool_connection *send_body_(struct fixture *fixture,
					     const char *id, const void *body,
					     size_t body_bytes)
{
	struct bw_pool_request request = { .address = fixture->address,
					   .id = id,
					   .body = body,
					   .body_bytes = body_bytes };
	struct bw_pool_connection *connection;
	struct bw_buffer head;

	bw_buffer_init(&head);
	bw_buffer_printf(&head, "GET /%s HTTP/1.1\r\nRequest-Id: %s\r\n\r\n",
			 id, id);
	request.head = &head;
	request.request = &fixture->outcomes;
	connection = bw_pool_send(&fixture->pool, &request);
	bw_buffer_finish(&head);
	return connection;
}

static struct bw_pool_connection *send_(struct fixture *fixture, const char *id)
{
	return send_body_(fixture, id, NULL, 0);
}

static bool ends_with_(const struct peer *peer, const uint8_t *body,
		       size_t body_bytes)
{
	return peer->in.size_bytes > body_bytes &&
	       !memcmp(peer->in.data + peer->in.size_bytes - body_bytes, body,
		       body_bytes);
}

/* Cancels the request, as when its client disconnects during the connect. */
static bool cancel_on_connect_(void *context, void *request)
{
	struct outcomes *outcomes = context;

	(void)request;
	bw_pool_cancel(outcomes->connection);
	outcomes->cancelled = true;
	return false;
}

static void respond_(struct peer *peer, const char *id, const char *body)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %zu\r\n"
		 "\r\n%s",
		 id, strlen(body), body);
	peer_send_text(peer, text);
}

/* Guards against opening a connection for each request. */
static void test_reuse(void **state)
{
	struct fixture fixture;

	(void)state;
	setup_(&fixture);
	send_(&fixture, "one");
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 1 &&
			   peer_has(&fixture.server.peers[0], "/one"));
	respond_(&fixture.server.peers[0], "one", "first");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
	assert_int_equal(fixture.outcomes.results[0], BW_POOL_RESPONSE);
	assert_string_equal(fixture.outcomes.bodies[0], "first");
	send_(&fixture, "two");
	SPIN_UNTIL(fixture.loop, peer_has(&fixture.server.peers[0], "/two"));
	respond_(&fixture.server.peers[0], "two", "second");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 2);
	assert_string_equal(fixture.outcomes.bodies[1], "second");
	assert_int_equal(fixture.pool.opened_count, 1);
	teardown_(&fixture);
}

/* Guards against sending a request that was cancelled in the loop iteration in
 * which its connection was established. */
static void test_cancel_when_connected(void **state)
{
	struct fixture fixture;

	(void)state;
	setup_(&fixture);
	fixture.pool.config.connected = cancel_on_connect_;
	fixture.outcomes.connection = send_(&fixture, "one");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.cancelled &&
					 fixture.server.peer_count == 1);
	assert_int_equal(fixture.pool.connection_count, 0);
	assert_int_equal(fixture.outcomes.count, 0);
	fixture.pool.config.connected = NULL;
	send_(&fixture, "two");
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 2 &&
			   peer_has(&fixture.server.peers[1], "/two"));
	assert_false(peer_has(&fixture.server.peers[0], "/one"));
	teardown_(&fixture);
}

static void test_extra_response(void **state)
{
	struct fixture fixture;

	(void)state;
	setup_(&fixture);
	/* A response to another request precedes the matching one. */
	send_(&fixture, "mine");
	SPIN_UNTIL(fixture.loop, fixture.server.peer_count == 1);
	respond_(&fixture.server.peers[0], "other", "foreign");
	respond_(&fixture.server.peers[0], "mine", "right");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
	assert_string_equal(fixture.outcomes.bodies[0], "right");
	assert_int_equal(fixture.pool.skipped_count, 1);
	/* Unsolicited bytes close an idle connection. */
	respond_(&fixture.server.peers[0], "mine", "again");
	SPIN_UNTIL(fixture.loop, fixture.pool.connection_count == 0);
	send_(&fixture, "next");
	SPIN_UNTIL(fixture.loop, fixture.server.peer_count == 2);
	teardown_(&fixture);
}

static void test_broken_responses(void **state)
{
	static const char truncated[] =
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: 9\r\n\r\n"
		"abc";
	static const char without_length[] =
		"HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nabc";
	struct fixture fixture;

	(void)state;
	setup_(&fixture);
	send_(&fixture, "a");
	SPIN_UNTIL(fixture.loop, fixture.server.peer_count == 1);
	peer_send_text(&fixture.server.peers[0], truncated);
	peer_close(&fixture.server.peers[0]);
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
	assert_int_equal(fixture.outcomes.results[0], BW_POOL_CLOSED);
	/* Without a length, the end of the stream ends the response. */
	send_(&fixture, "a");
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 2 &&
			   peer_has(&fixture.server.peers[1], "/a"));
	peer_send_text(&fixture.server.peers[1], without_length);
	peer_close(&fixture.server.peers[1]);
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 2);
	assert_int_equal(fixture.outcomes.results[1], BW_POOL_RESPONSE);
	assert_string_equal(fixture.outcomes.bodies[1], "abc");
	/* A reset does not. */
	send_(&fixture, "a");
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 3 &&
			   peer_has(&fixture.server.peers[2], "/a"));
	peer_send_text(&fixture.server.peers[2], without_length);
	peer_reset(&fixture.server.peers[2]);
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 3);
	assert_int_equal(fixture.outcomes.results[2], BW_POOL_CLOSED);
	send_(&fixture, "a");
	SPIN_UNTIL(fixture.loop, fixture.server.peer_count == 4);
	peer_send_text(&fixture.server.peers[3], "SSH-2.0-x\r\n");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 4);
	assert_int_equal(fixture.outcomes.results[3], BW_POOL_INVALID);
	teardown_(&fixture);
}

static void test_stale_connection(void **state)
{
	struct fixture fixture;

	(void)state;
	setup_(&fixture);
	send_(&fixture, "one");
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 1 &&
			   peer_has(&fixture.server.peers[0], "/one"));
	respond_(&fixture.server.peers[0], "one", "x");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
	/* A connection closed by the server must not be reused. */
	peer_close(&fixture.server.peers[0]);
	send_(&fixture, "two");
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 2 &&
			   peer_has(&fixture.server.peers[1], "/two"));
	assert_false(peer_has(&fixture.server.peers[0], "/two"));
	teardown_(&fixture);
}

/* Guards against parts of a body that are lost, repeated or reordered, and
 * against a body that is sent in part on the next use of a connection. */
static void test_large_body(void **state)
{
	struct fixture fixture;
	uint8_t *body = make_body(LARGE_BODY_BYTES);
	struct peer *peer;

	(void)state;
	setup_(&fixture);
	send_body_(&fixture, "one", body, LARGE_BODY_BYTES);
	SPIN_UNTIL(fixture.loop, fixture.server.peer_count == 1);
	peer = &fixture.server.peers[0];
	SPIN_UNTIL(fixture.loop, ends_with_(peer, body, LARGE_BODY_BYTES));
	respond_(peer, "one", "first");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
	assert_string_equal(fixture.outcomes.bodies[0], "first");
	send_body_(&fixture, "two", body, 3);
	SPIN_UNTIL(fixture.loop, peer_has(peer, "/two"));
	SPIN_UNTIL(fixture.loop, ends_with_(peer, body, 3));
	respond_(peer, "two", "second");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 2);
	assert_int_equal(fixture.pool.opened_count, 1);
	free(body);
	teardown_(&fixture);
}

/* Guards against use of a body after its request has ended, and of a connection
 * on which the rest of a body is due. */
static void test_response_before_body(void **state)
{
	struct fixture fixture;
	uint8_t *body = make_body(LARGE_BODY_BYTES);
	struct bw_pool_connection *connection;

	(void)state;
	setup_(&fixture);
	send_body_(&fixture, "one", body, LARGE_BODY_BYTES);
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 1 &&
			   peer_has(&fixture.server.peers[0], "/one"));
	peer_pause(&fixture.server.peers[0]);
	respond_(&fixture.server.peers[0], "one", "early");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
	assert_int_equal(fixture.outcomes.results[0], BW_POOL_RESPONSE);
	assert_int_equal(fixture.pool.connection_count, 0);
	/* The same holds for a request that is cancelled. */
	connection = send_body_(&fixture, "two", body, LARGE_BODY_BYTES);
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 2 &&
			   peer_has(&fixture.server.peers[1], "/two"));
	bw_pool_cancel(connection);
	free(body);
	peer_resume(&fixture.server.peers[0]);
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peers[0].eof && fixture.server.peers[1].eof);
	assert_int_equal(fixture.pool.connection_count, 0);
	teardown_(&fixture);
}

/* Guards against a refused connection reported as a request that was sent. */
static void test_not_sent(void **state)
{
	struct fixture fixture;
	struct bw_pool_connection *connection;

	(void)state;
	setup_(&fixture);
	/* A port without a listener. */
	snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:1");
	connection = send_(&fixture, "one");
	if (connection) {
		assert_false(bw_pool_was_sent(connection));
		SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
		assert_int_equal(fixture.outcomes.results[0], BW_POOL_NOT_SENT);
	}
	teardown_(&fixture);
}

/* Guards against idle connections that leave no room for another server. */
static void test_full_of_idle(void **state)
{
	struct fixture fixture;
	struct raw_server other;
	struct bw_time idle_since;
	uint32_t i;

	(void)state;
	setup_(&fixture);
	raw_server_init(&other, fixture.loop);
	fixture.pool.config.connections_max = 2;
	send_(&fixture, "one");
	send_(&fixture, "two");
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 2 &&
			   fixture.server.peers[0].in.size_bytes &&
			   fixture.server.peers[1].in.size_bytes);
	snprintf(fixture.address, sizeof(fixture.address), "127.0.0.1:%u",
		 other.port);
	/* All connections are in use. */
	assert_null(send_(&fixture, "three"));
	assert_true(bw_pool_is_full(&fixture.pool));
	for (i = 0; i < 2; i++) {
		struct peer *peer = &fixture.server.peers[i];

		respond_(peer, peer_has(peer, "/one") ? "one" : "two", "body");
		SPIN_UNTIL(fixture.loop, fixture.outcomes.count == i + 1);
		idle_since = bw_loop_clock_now(&fixture.pool.clock);
		SPIN_UNTIL(fixture.loop,
			   bw_loop_clock_now(&fixture.pool.clock).ms >
				   idle_since.ms);
	}
	assert_false(bw_pool_is_full(&fixture.pool));
	assert_non_null(send_(&fixture, "three"));
	SPIN_UNTIL(fixture.loop, other.peer_count == 1 &&
					 peer_has(&other.peers[0], "/three"));
	/* The connection that was idle for longer is closed. */
	SPIN_UNTIL(fixture.loop, fixture.server.peers[0].eof);
	assert_false(fixture.server.peers[1].eof);
	assert_int_equal(fixture.pool.connection_count, 2);
	raw_server_finish(&other);
	teardown_(&fixture);
}

/* Sends pieces without end until the request ends or the limit is reached.
 * @return the number of bytes sent */
static size_t send_endless_(struct fixture *fixture, const char *head,
			    const char *piece)
{
	struct peer *peer = &fixture->server.peers[0];
	static char block[4096];
	size_t piece_bytes = strlen(piece);
	size_t block_bytes = 0;
	size_t sent_bytes = 0;
	int i;

	while (block_bytes + piece_bytes <= sizeof(block)) {
		memcpy(block + block_bytes, piece, piece_bytes);
		block_bytes += piece_bytes;
	}
	send_(fixture, "one");
	SPIN_UNTIL(fixture->loop,
		   fixture->server.peer_count == 1 && peer_has(peer, "/one"));
	if (*head)
		peer_send_text(peer, head);
	while (!fixture->outcomes.count && sent_bytes < ENDLESS_BYTES) {
		peer_send(peer, block, block_bytes);
		sent_bytes += block_bytes;
	}
	for (i = 0; i < 20 && !fixture->outcomes.count; i++)
		spin_once(fixture->loop);
	return sent_bytes;
}

static void expect_endless_ends_(const char *head, const char *piece)
{
	struct fixture fixture;

	setup_(&fixture);
	send_endless_(&fixture, head, piece);
	assert_int_equal(fixture.outcomes.count, 1);
	assert_int_equal(fixture.outcomes.results[0], BW_POOL_INVALID);
	assert_int_equal(fixture.pool.connection_count, 0);
	SPIN_UNTIL(fixture.loop, fixture.server.peers[0].eof);
	teardown_(&fixture);
}

/* Guards against a response without end that is read without a limit. */
static void test_endless_response(void **state)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n";
	char text[128];

	(void)state;
	expect_endless_ends_("", "no response ");
	expect_endless_ends_("", "\r\n");
	expect_endless_ends_("HTTP/1.1 200 ", "OK");
	expect_endless_ends_(head, "a");
	expect_endless_ends_(head, "A: b\r\n");
	snprintf(text, sizeof(text), "%s\r\n", head);
	expect_endless_ends_(text, "body");
	snprintf(text, sizeof(text), "%sTransfer-Encoding: chunked\r\n\r\n",
		 head);
	expect_endless_ends_(text, "1\r\na\r\n");
	expect_endless_ends_(text, "1");
	snprintf(text, sizeof(text), "%sTransfer-Encoding: chunked\r\n\r\n1;",
		 head);
	expect_endless_ends_(text, "extension");
	snprintf(text, sizeof(text),
		 "%sTransfer-Encoding: chunked\r\n\r\n0\r\n", head);
	expect_endless_ends_(text, "Trailer: a\r\n");
	snprintf(text, sizeof(text), "%sContent-Length: 99999999\r\n\r\n",
		 head);
	expect_endless_ends_(text, "body");
}

/* Guards against responses to other requests that are read without end. */
static void test_endless_other_responses(void **state)
{
	(void)state;
	expect_endless_ends_("", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
				 "Content-Length: 1\r\n\r\na");
	expect_endless_ends_("", "HTTP/1.1 204 No Content\r\n\r\n");
	expect_endless_ends_("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n",
			     "body");
}

/* Guards against interim responses that are read without end. */
static void test_endless_interim_responses(void **state)
{
	(void)state;
	expect_endless_ends_("", "HTTP/1.1 100 Continue\r\n\r\n");
}

/* Guards against a response that is lost behind a few interim responses. */
static void test_interim_responses(void **state)
{
	struct fixture fixture;
	struct peer *peer;
	int i;

	(void)state;
	setup_(&fixture);
	peer = &fixture.server.peers[0];
	send_(&fixture, "one");
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 1 && peer_has(peer, "/one"));
	for (i = 0; i < 10; i++)
		peer_send_text(peer, "HTTP/1.1 102 Processing\r\n\r\n");
	respond_(peer, "one", "body");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
	assert_int_equal(fixture.outcomes.results[0], BW_POOL_RESPONSE);
	assert_string_equal(fixture.outcomes.bodies[0], "body");
	teardown_(&fixture);
}

/* A status line, and the status code of the response; 0: it is none. */
struct status_case {
	const char *line;
	uint16_t status_code;
};

static const struct status_case status_cases[] = {
	{ "HTTP/1.1 200 OK", 200 },
	{ "HTTP/1.1 200", 200 },
	{ "HTTP/1.1 200 ", 200 },
	{ "HTTP/1.0 404 Not Found", 404 },
	{ "HTTP/1.1 599 x", 599 },
	{ "HTTP/1.1 000 x", 0 },
	{ "HTTP/1.1 000", 0 },
	{ "HTTP/1.1 099 x", 0 },
	{ "HTTP/1.1 99 x", 0 },
	{ "HTTP/1.1 2 x", 0 },
	{ "HTTP/1.1 20", 0 },
	{ "HTTP/1.1 600 x", 0 },
	{ "HTTP/1.1 999 x", 0 },
	{ "HTTP/1.1 1000 x", 0 },
	{ "HTTP/1.1 2000 x", 0 },
	{ "HTTP/1.1 0200 x", 0 },
	{ "HTTP/1.1 -1 x", 0 },
	{ "HTTP/1.1 +200 x", 0 },
	{ "HTTP/1.1 2e2 x", 0 },
	{ "HTTP/1.1 OK", 0 },
	{ "HTTP/1.1 abc x", 0 },
	{ "HTTP/1.1 ", 0 },
	{ "HTTP/1.1", 0 },
	{ "HTTP/1.1  200 OK", 0 },
	{ "HTTP/1.1 65736 x", 0 },
	{ "HTTP/1.1 4294967496 x", 0 },
	{ "\r\nHTTP/1.1 200 OK", 200 },
	{ "HTTP/1.1 200.5 x", 0 },
};

/* Guards against a response whose status code is not one of 100 to 599 in three
 * digits that is passed on, or that is waited for until the deadline. */
static void test_status_lines(void **state)
{
	char text[256];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(status_cases) / sizeof(status_cases[0]); i++) {
		const struct status_case *status = &status_cases[i];
		struct fixture fixture;
		struct peer *peer;

		setup_(&fixture);
		peer = &fixture.server.peers[0];
		send_(&fixture, "one");
		SPIN_UNTIL(fixture.loop, fixture.server.peer_count == 1 &&
						 peer_has(peer, "/one"));
		snprintf(text, sizeof(text),
			 "%s\r\nRequest-Id: one\r\nContent-Length: 2\r\n\r\nab",
			 status->line);
		peer_send_text(peer, text);
		SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
		if (status->status_code) {
			assert_int_equal(fixture.outcomes.results[0],
					 BW_POOL_RESPONSE);
			assert_int_equal(fixture.outcomes.codes[0],
					 status->status_code);
		} else {
			assert_int_equal(fixture.outcomes.results[0],
					 BW_POOL_INVALID);
		}
		teardown_(&fixture);
	}
}

/* Guards against the bytes after a response to HEAD that count as the next
 * response. */
static void test_endless_body_after_head_response(void **state)
{
	struct bw_pool_request request = { .id = "one", .head_response = true };
	struct fixture fixture;
	struct bw_buffer head;

	(void)state;
	setup_(&fixture);
	bw_buffer_init(&head);
	bw_buffer_printf(&head,
			 "HEAD /one HTTP/1.1\r\nRequest-Id: one\r\n\r\n");
	request.address = fixture.address;
	request.head = &head;
	request.request = &fixture.outcomes;
	bw_pool_send(&fixture.pool, &request);
	bw_buffer_finish(&head);
	SPIN_UNTIL(fixture.loop,
		   fixture.server.peer_count == 1 &&
			   peer_has(&fixture.server.peers[0], "/one"));
	respond_(&fixture.server.peers[0], "one", "body");
	SPIN_UNTIL(fixture.loop, fixture.outcomes.count == 1);
	assert_int_equal(fixture.outcomes.results[0], BW_POOL_RESPONSE);
	SPIN_UNTIL(fixture.loop, fixture.pool.connection_count == 0);
	teardown_(&fixture);
}

/* Sends the first four bytes of a response, or the rest of it. */
static void respond_part_(struct peer *peer, const char *id, bool chunked,
			  bool first)
{
	char text[4096];

	memset(text, 'x', 2996);
	text[2996] = '\0';
	if (first)
		snprintf(text, sizeof(text),
			 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s", id,
			 chunked ? "Transfer-Encoding: chunked\r\n\r\n"
				   "4\r\nabcd\r\n"
				 : "Content-Length: 3000\r\n\r\nabcd");
	else if (chunked)
		strcpy(text, "0\r\n\r\n");
	peer_send_text(peer, text);
}

/* Guards against responses that together take more memory than the host has,
 * and against responses that wait for each other's memory without end. */
static void test_bodies_beyond_the_budget_wait(void **state)
{
	static const char *const ids[] = { "a", "b", "c", "d" };
	struct bw_body_budget budget = { .max_bytes = 3000,
					 .allows_overdraft = true };
	struct bw_body kept[4] = { { .budget = NULL } };
	struct fixture fixture;
	struct bw_pool_request request = { .head = NULL };
	struct bw_buffer head;
	uint32_t i;

	(void)state;
	setup_(&fixture);
	bw_buffer_init(&head);
	bw_buffer_printf(&head, "GET / HTTP/1.1\r\n\r\n");
	fixture.pool.config.budget = &budget;
	fixture.pool.config.ended = keep_body_;
	for (i = 0; i < 4; i++) {
		request.address = fixture.address;
		request.id = ids[i];
		request.head = &head;
		request.request = &kept[i];
		assert_non_null(bw_pool_send(&fixture.pool, &request));
		SPIN_UNTIL(fixture.loop, fixture.server.peer_count == i + 1);
		respond_part_(&fixture.server.peers[i], ids[i], i == 2, true);
		SPIN_UNTIL(fixture.loop,
			   budget.used_bytes + fixture.pool.paused.length >=
				   MIN(i + 1, 2U) * 3000 + (i > 1 ? i - 1 : 0));
	}
	/* One fits, the second exceeds the budget, two wait. */
	assert_int_equal(budget.used_bytes, 6000);
	assert_int_equal(fixture.pool.paused.length, 2);
	for (i = 0; i < 4; i++)
		respond_part_(&fixture.server.peers[i], ids[i], i == 2, false);
	SPIN_UNTIL(fixture.loop,
		   kept[0].bytes.size_bytes && kept[1].bytes.size_bytes);
	assert_int_equal(kept[0].charged_bytes, 3000);
	assert_int_equal(kept[2].bytes.size_bytes, 0);
	/* Released memory goes to the next in the queue. */
	bw_body_finish(&kept[1]);
	SPIN_UNTIL(fixture.loop, kept[2].bytes.size_bytes == 4);
	assert_int_equal(kept[3].bytes.size_bytes, 0);
	bw_body_finish(&kept[2]);
	bw_body_finish(&kept[0]);
	SPIN_UNTIL(fixture.loop, kept[3].bytes.size_bytes == 3000);
	bw_body_finish(&kept[3]);
	assert_int_equal(budget.used_bytes, 0);
	assert_false(budget.overdrawn);
	bw_buffer_finish(&head);
	teardown_(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reuse),
		cmocka_unit_test(test_cancel_when_connected),
		cmocka_unit_test(test_extra_response),
		cmocka_unit_test(test_broken_responses),
		cmocka_unit_test(test_stale_connection),
		cmocka_unit_test(test_large_body),
		cmocka_unit_test(test_response_before_body),
		cmocka_unit_test(test_not_sent),
		cmocka_unit_test(test_full_of_idle),
		cmocka_unit_test(test_endless_response),
		cmocka_unit_test(test_endless_other_responses),
		cmocka_unit_test(test_endless_interim_responses),
		cmocka_unit_test(test_interim_responses),
		cmocka_unit_test(test_status_lines),
		cmocka_unit_test(test_endless_body_after_head_response),
		cmocka_unit_test(test_bodies_beyond_the_budget_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

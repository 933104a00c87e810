/*
 * Valid requests of clients in seeded sequences, pipelines and pieces. Guards
 * against an error response to a request that stays within the limits.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bwbase/random.h"
#include "bwproxy/listener.h"
#include "bwsteer/routing.h"
#include "echo.h"

/** Rounds and seed of the random tests. */
#define ROUNDS 3000
#define SOCKET_ROUNDS 150
#define SEED 20

/** Requests of one connection. */
#define SEQUENCE_MAX 6

/* A request and what the reader has to make of it. */
struct sample {
	char target[400];
	char host[160];
	struct bw_buffer body;
	enum http_method method;
};

static void write_random_fields_(struct bw_random *random,
				 struct bw_buffer *out)
{
	static const char tchars[] = "abcXYZ019!#$%&'*+-.^_`|~";
	static const char *const known[] = {
		"Connection: keep-alive\r\n",
		"Accept:\r\n",
		"Accept: \r\n",
		"Accept: \t text/plain, \t */*\r\n",
		"Deadline-Ms: 2000\r\n",
		"Affinity-Key: 17\r\n",
		"connection: Keep-Alive, X-One\r\nX-One: 1\r\n",
		"TE: trailers\r\nConnection: TE\r\n",
		"Cookie: a=\"b\"; c=\xc3\xa9\r\n",
		"Proxy-Connection: keep-alive\r\n",
		"Keep-Alive: timeout=5\r\n",
	};
	uint64_t count = bw_random_below(random, 12);
	uint64_t i;
	uint64_t j;

	for (i = 0; i < count; i++) {
		uint64_t name_bytes = 1 + bw_random_below(random, 40);
		uint64_t value_bytes =
			bw_random_below(random, i % 4 ? 40 : 700);

		if (!bw_random_below(random, 3)) {
			echo_append_text(
				out, known[bw_random_below(
					     random,
					     sizeof(known) / sizeof(*known))]);
			continue;
		}
		echo_append_text(out, "x");
		for (j = 0; j < name_bytes; j++)
			bw_buffer_append(out,
					 &tchars[bw_random_below(
						 random, sizeof(tchars) - 1)],
					 1);
		echo_append_text(out, bw_random_below(random, 2) ? ":" : ": ");
		for (j = 0; j < value_bytes; j++) {
			char byte = (char)(0x20 + bw_random_below(random, 95));

			bw_buffer_append(out, &byte, 1);
		}
		echo_append_text(out, "\r\n");
	}
}

static void write_chunked_(struct bw_random *random, struct bw_buffer *out,
			   const struct bw_buffer *body)
{
	size_t done = 0;

	while (done < body->size_bytes) {
		size_t left = body->size_bytes - done;
		size_t bytes = 1 + bw_random_below(random, left);

		bw_buffer_printf(out,
				 bw_random_below(random, 2) ? "%zx" : "00%zX",
				 bytes);
		echo_append_text(out, bw_random_below(random, 4)
					      ? "\r\n"
					      : ";a=b;c\r\n");
		bw_buffer_append(out, body->data + done, bytes);
		echo_append_text(out, "\r\n");
		done += bytes;
	}
	echo_append_text(out, "0\r\n");
	if (!bw_random_below(random, 3))
		echo_append_text(out, "X-Sum: 1\r\nX-Empty:\r\n");
	echo_append_text(out, "\r\n");
}

static void make_sample_(struct bw_random *random, struct sample *sample,
			 struct bw_buffer *out)
{
	static const enum http_method methods[] = { HTTP_GET,	 HTTP_POST,
						    HTTP_PUT,	 HTTP_DELETE,
						    HTTP_HEAD,	 HTTP_PATCH,
						    HTTP_OPTIONS };
	static const char path[] = "abz019-._~!$&'()*+,;=:@/%20";
	size_t target_bytes = bw_random_below(random, 300);
	size_t body_bytes = 0;
	uint64_t framing = 0;
	size_t i;

	memset(sample, 0, sizeof(*sample));
	sample->method = methods[bw_random_below(random, 7)];
	sample->target[0] = '/';
	for (i = 1; i < target_bytes; i++)
		sample->target[i] =
			path[bw_random_below(random, sizeof(path) - 1)];
	if (!bw_random_below(random, 3))
		strcat(sample->target,
		       bw_random_below(random, 2) ? "?" : "?q=/?a");
	snprintf(sample->host, sizeof(sample->host), "h%u.example%s",
		 (unsigned)bw_random_below(random, 100),
		 bw_random_below(random, 2) ? "" : ":8080");
	if (sample->method != HTTP_GET && sample->method != HTTP_HEAD)
		framing = bw_random_below(random, 3);
	if (framing)
		body_bytes = bw_random_below(
			random, bw_random_below(random, 4) ? 300 : 20000);
	for (i = 0; i < body_bytes; i++) {
		uint8_t byte = (uint8_t)bw_random_next(random);

		bw_buffer_append(&sample->body, &byte, 1);
	}
	bw_buffer_printf(out, "%s %s HTTP/1.1\r\n",
			 http_method_str(sample->method), sample->target);
	write_random_fields_(random, out);
	bw_buffer_printf(out, "Host: %s\r\nRequest-Id: %016llx\r\n",
			 sample->host,
			 (unsigned long long)bw_random_next(random));
	if (framing && !bw_random_below(random, 4))
		echo_append_text(out, "Expect: 100-continue\r\n");
	write_random_fields_(random, out);
	if (framing == 1)
		bw_buffer_printf(out, "Content-Length: %zu\r\n\r\n",
				 body_bytes);
	else
		echo_append_text(out,
				 framing ? "Transfer-Encoding: chunked\r\n\r\n"
					 : "\r\n");
	if (framing == 1)
		bw_buffer_append(out, sample->body.data, body_bytes);
	else if (framing)
		write_chunked_(random, out, &sample->body);
}

static size_t random_piece_(struct bw_random *random, size_t left)
{
	static const size_t most[] = { 1, 7, 100, 1460, 16384 };
	size_t piece =
		1 + bw_random_below(random, most[bw_random_below(random, 5)]);

	return piece < left ? piece : left;
}

static void check_sample_(const struct sample *sample,
			  const struct bw_http_message *message)
{
	char host[160];

	assert_int_equal(message->method, sample->method);
	assert_int_equal(message->target.size_bytes, strlen(sample->target));
	assert_memory_equal(bw_http_text(message, message->target),
			    sample->target, strlen(sample->target));
	assert_true(bw_http_find(message, "Host", host, sizeof(host)));
	assert_string_equal(host, sample->host);
	assert_int_equal(message->body.size_bytes, sample->body.size_bytes);
	if (sample->body.size_bytes)
		assert_memory_equal(message->body.data, sample->body.data,
				    sample->body.size_bytes);
	assert_true(message->keep_alive);
}

/* Feeds the stream like a listener does: what is unread stays in a buffer. */
static void read_stream_(struct bw_random *random, const struct bw_buffer *wire,
			 const struct sample *samples, uint32_t count,
			 uint64_t round)
{
	struct bw_http_reader reader;
	struct bw_buffer in;
	uint32_t done = 0;
	size_t sent = 0;
	size_t used;

	bw_http_reader_init(&reader, HTTP_REQUEST, &echo_limits);
	bw_buffer_init(&in);
	while (done < count) {
		enum bw_http_progress progress;

		if (!in.size_bytes || bw_random_below(random, 2)) {
			size_t piece =
				random_piece_(random, wire->size_bytes - sent);

			bw_buffer_append(&in, wire->data + sent, piece);
			sent += piece;
		}
		progress = bw_http_reader_feed(&reader, in.data, in.size_bytes,
					       &used);
		bw_buffer_consume(&in, used);
		if (progress == BW_HTTP_COMPLETE) {
			check_sample_(&samples[done++], &reader.message);
			bw_http_reader_next(&reader);
		} else if (progress != BW_HTTP_INCOMPLETE) {
			fail_msg("round %llu request %u: result %d, parser %s",
				 (unsigned long long)round, done, progress,
				 http_errno_name(
					 HTTP_PARSER_ERRNO(&reader.parser)));
		}
	}
	assert_int_equal(in.size_bytes + wire->size_bytes - sent, 0);
	bw_buffer_finish(&in);
	bw_http_reader_finish(&reader);
}

/* Guards against parser state that outlives a message and spans that depend on
 * the pieces of the stream. */
static void test_reader_random(void **state)
{
	struct bw_random random;
	uint64_t round;

	(void)state;
	bw_random_init(&random, SEED);
	for (round = 0; round < ROUNDS; round++) {
		struct sample samples[SEQUENCE_MAX];
		struct bw_buffer wire;
		uint32_t count =
			1 + (uint32_t)bw_random_below(&random, SEQUENCE_MAX);
		uint32_t i;

		bw_buffer_init(&wire);
		for (i = 0; i < count; i++)
			make_sample_(&random, &samples[i], &wire);
		read_stream_(&random, &wire, samples, count, round);
		for (i = 0; i < count; i++)
			bw_buffer_finish(&samples[i].body);
		bw_buffer_finish(&wire);
	}
}

static void exchange_(struct bw_random *random, struct ev_loop *loop,
		      struct echo *echo, uint16_t port, uint64_t round)
{
	struct sample samples[SEQUENCE_MAX];
	struct bw_buffer wire;
	struct peer peer;
	uint32_t count = 1 + (uint32_t)bw_random_below(random, SEQUENCE_MAX);
	size_t sent = 0;
	uint32_t i;

	bw_buffer_init(&wire);
	for (i = 0; i < count; i++)
		make_sample_(random, &samples[i], &wire);
	peer_connect(&peer, loop, port);
	while (sent < wire.size_bytes && !peer.eof) {
		size_t piece = random_piece_(random, wire.size_bytes - sent);

		if (piece < 100)
			piece = wire.size_bytes - sent < 200 ? piece
							     : piece + 100;
		peer_send(&peer, wire.data + sent, piece);
		sent += piece;
		if (echo->held && bw_random_below(random, 2))
			echo_respond(echo, echo->held);
	}
	while (peer_count(&peer, "HTTP/1.1 200 OK") < count) {
		spin_once(loop);
		if (echo->held)
			echo_respond(echo, echo->held);
		if (peer.eof || peer_has(&peer, "HTTP/1.1 4"))
			fail_msg("round %llu: %.40s", (unsigned long long)round,
				 strstr((char *)peer.in.data, "HTTP/1.1 4")
					 ? strstr((char *)peer.in.data,
						  "HTTP/1.1 4")
					 : "closed");
	}
	for (i = 0; i < count; i++) {
		struct bw_buffer line;

		bw_buffer_init(&line);
		bw_buffer_printf(&line, "X-Echo: %s %s %s %zu\r\n",
				 http_method_str(samples[i].method),
				 samples[i].target, samples[i].host,
				 samples[i].body.size_bytes);
		bw_buffer_append(&line, "", 1);
		assert_true(peer_has(&peer, (const char *)line.data));
		bw_buffer_finish(&line);
		bw_buffer_finish(&samples[i].body);
	}
	peer_finish(&peer);
	bw_buffer_finish(&wire);
}

/* Guards against an error response to one of several kept or pipelined
 * requests that arrive in pieces. */
static void test_listener_random(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	struct bw_random random;
	uint16_t port = echo_listen(&listener, loop, &echo);
	uint64_t round;

	(void)state;
	bw_random_init(&random, SEED + 1);
	for (round = 0; round < SOCKET_ROUNDS; round++)
		exchange_(&random, loop, &echo, port, round);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

static uint32_t status_of_(struct ev_loop *loop, struct echo *echo,
			   struct peer *peer, const char *text)
{
	return echo_status(loop, echo, peer, text, strlen(text));
}

static void write_padded_(struct bw_buffer *out, uint32_t fields,
			  size_t value_bytes)
{
	uint32_t i;
	size_t j;

	echo_append_text(out, "GET /a HTTP/1.1\r\nHost: h.example\r\n");
	for (i = 0; i < fields; i++) {
		bw_buffer_printf(out, "X-%u: ", i);
		for (j = 0; j < value_bytes; j++)
			echo_append_text(out, "v");
		echo_append_text(out, "\r\n");
	}
	echo_append_text(out, "\r\n");
}

/* Guards against a limit of a newer routing table that does not apply to open
 * connections. */
static void test_newer_limits(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	struct bw_buffer wire;
	struct peer peer;
	uint16_t port = echo_listen(&listener, loop, &echo);

	(void)state;
	listener.config.limits.head_max_bytes = 512;
	peer_connect(&peer, loop, port);
	assert_int_equal(
		status_of_(loop, &echo, &peer,
			   "GET /a HTTP/1.1\r\nHost: h.example\r\n\r\n"),
		200);
	bw_buffer_init(&wire);
	listener.config.limits.head_max_bytes = ECHO_HEAD_MAX_BYTES;
	write_padded_(&wire, 1, 1000);
	assert_int_equal(echo_status(loop, &echo, &peer, wire.data,
				     wire.size_bytes),
			 200);
	peer_finish(&peer);
	bw_buffer_finish(&wire);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Guards against a limit of the number of fields that the limit of bytes does
 * not imply. */
static void test_many_fields(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	struct bw_buffer wire;
	struct peer peer;
	uint16_t port = echo_listen(&listener, loop, &echo);

	(void)state;
	bw_buffer_init(&wire);
	write_padded_(&wire, 150, 3);
	peer_connect(&peer, loop, port);
	assert_int_equal(echo_status(loop, &echo, &peer, wire.data,
				     wire.size_bytes),
			 200);
	peer_finish(&peer);
	bw_buffer_finish(&wire);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Guards against the parser's own limit below the configured one. */
static void test_large_head_limit(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	struct bw_buffer wire;
	struct peer peer;
	uint16_t port = echo_listen(&listener, loop, &echo);

	(void)state;
	listener.config.limits.head_max_bytes = 1024 * 1024;
	bw_buffer_init(&wire);
	write_padded_(&wire, 10, 9000);
	peer_connect(&peer, loop, port);
	assert_int_equal(echo_status(loop, &echo, &peer, wire.data,
				     wire.size_bytes),
			 200);
	peer_finish(&peer);
	bw_buffer_finish(&wire);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Returns whether the entry host would find the route of a request. */
static bool is_routed_(const char *text)
{
	struct bw_routing *routing = harness_routing("h.example", "/a/");
	const struct bw_route *route = NULL;
	struct bw_http_reader reader;
	char host[BW_ROUTE_HOST_MAX];
	size_t used;

	bw_http_reader_init(&reader, HTTP_REQUEST, &echo_limits);
	assert_int_equal(bw_http_reader_feed(&reader, (const uint8_t *)text,
					     strlen(text), &used),
			 BW_HTTP_COMPLETE);
	if (bw_http_find(&reader.message, "Host", host, sizeof(host)))
		route = bw_routing_find(routing, host, strlen(host),
					bw_http_text(&reader.message,
						     reader.message.target),
					reader.message.target.size_bytes);
	bw_http_reader_finish(&reader);
	bw_routing_unref(routing);
	return route != NULL;
}

/* Guards against a 404 because of optional white space. */
static void test_host_whitespace(void **state)
{
	(void)state;
	assert_true(is_routed_("GET /a/ HTTP/1.1\r\nHost: h.example\r\n\r\n"));
	assert_true(
		is_routed_("GET /a/ HTTP/1.1\r\nHost: \th.example\r\n\r\n"));
	assert_true(is_routed_("GET /a/ HTTP/1.1\r\nHost: h.example \r\n\r\n"));
	assert_true(
		is_routed_("GET /a/ HTTP/1.1\r\nHost: h.example\t\r\n\r\n"));
}

/* Guards against a result that depends on where the body is split. */
static void test_upgrade_with_body(void **state)
{
	static const char head[] = "POST /a HTTP/1.1\r\nHost: h.example\r\n"
				   "Connection: Upgrade\r\nUpgrade: h2c\r\n"
				   "Content-Length: 5\r\n\r\n";
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	struct peer peer;
	uint16_t port = echo_listen(&listener, loop, &echo);
	char whole[200];

	(void)state;
	peer_connect(&peer, loop, port);
	snprintf(whole, sizeof(whole), "%shello", head);
	assert_int_equal(status_of_(loop, &echo, &peer, whole), 200);
	peer_send_text(&peer, head);
	assert_int_equal(status_of_(loop, &echo, &peer, "hello"), 200);
	peer_finish(&peer);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Guards against a 400 for a method that is valid but unknown. */
static void test_unknown_method(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	struct peer peer;
	uint16_t port = echo_listen(&listener, loop, &echo);

	(void)state;
	peer_connect(&peer, loop, port);
	assert_int_equal(
		status_of_(loop, &echo, &peer,
			   "QUERY /a HTTP/1.1\r\nHost: h.example\r\n\r\n"),
		501);
	peer_finish(&peer);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reader_random),
		cmocka_unit_test(test_listener_random),
		cmocka_unit_test(test_newer_limits),
		cmocka_unit_test(test_many_fields),
		cmocka_unit_test(test_large_head_limit),
		cmocka_unit_test(test_host_whitespace),
		cmocka_unit_test(test_upgrade_with_body),
		cmocka_unit_test(test_unknown_method),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

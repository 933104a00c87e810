/*
 * Requests for which no memory is left. Guards against lack of memory that
 * looks like a fault of the request.
 */
#include <dlfcn.h>
#include <stdlib.h>
#include <string.h>

#include "echo.h"

/** Size from which allocations fail; 0: none do. */
static size_t refused_bytes;

/* Replaces the function of the C library. */
void *realloc(void *data, size_t size_bytes)
{
	static void *(*next)(void *, size_t);

	if (refused_bytes && size_bytes >= refused_bytes)
		return NULL;
	if (!next)
		*(void **)&next = dlsym(RTLD_NEXT, "realloc");
	return next(data, size_bytes);
}

/* Writes a request with a value and a body of the given sizes. */
static void write_sized_(struct bw_buffer *out, size_t value_bytes,
			 size_t body_bytes)
{
	size_t i;

	echo_append_text(out, "POST /a HTTP/1.1\r\nHost: h.example\r\nX: ");
	for (i = 0; i < value_bytes; i++)
		echo_append_text(out, "v");
	bw_buffer_printf(out, "\r\nContent-Length: %zu\r\n\r\n", body_bytes);
	for (i = 0; i < body_bytes; i++)
		echo_append_text(out, "b");
}

/* Guards against lack of memory that counts as a message beyond its limits. */
static void test_reader_no_memory(void **state)
{
	static const struct {
		size_t refused_bytes;
		size_t value_bytes;
		size_t body_bytes;
	} cases[] = {
		{ 20000, 1, 30000 }, /* body */
		{ 5000, 6000, 0 }, /* text of the head */
		{ 200, 1, 0 }, /* fields */
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		enum bw_http_progress progress;
		struct bw_http_reader reader;
		struct bw_buffer wire;
		size_t used;

		bw_buffer_init(&wire);
		write_sized_(&wire, cases[i].value_bytes, cases[i].body_bytes);
		bw_http_reader_init(&reader, HTTP_REQUEST, &echo_limits);
		refused_bytes = cases[i].refused_bytes;
		progress = bw_http_reader_feed(&reader, wire.data,
					       wire.size_bytes, &used);
		refused_bytes = 0;
		assert_int_equal(progress, BW_HTTP_NO_MEMORY);
		bw_http_reader_finish(&reader);
		bw_buffer_finish(&wire);
	}
}

/* Guards against lack of memory that is reported as an error of the client. */
static void test_listener_no_memory(void **state)
{
	/* No bytes stay unread, so that no reset overtakes the response. */
	static const struct {
		size_t refused_bytes;
		size_t body_bytes;
	} cases[] = {
		{ 28000, 28500 }, /* body */
		{ 10000, 11000 }, /* received bytes */
	};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	uint16_t port = echo_listen(&listener, loop, &echo);
	struct bw_buffer wire;
	struct peer peer;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		bw_buffer_init(&wire);
		write_sized_(&wire, 1, cases[i].body_bytes);
		peer_connect(&peer, loop, port);
		echo.cause = BW_LISTENER_CAUSE_COUNT;
		refused_bytes = cases[i].refused_bytes;
		assert_int_equal(echo_status(loop, &echo, &peer, wire.data,
					     wire.size_bytes),
				 503);
		refused_bytes = 0;
		assert_true(peer_has(&peer, "Retry-After: "));
		assert_int_equal(echo.cause, BW_LISTENER_NO_MEMORY);
		peer_finish(&peer);
		peer_connect(&peer, loop, port);
		assert_int_equal(echo_status(loop, &echo, &peer, wire.data,
					     wire.size_bytes),
				 200);
		peer_finish(&peer);
		bw_buffer_finish(&wire);
	}
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Guards against a response without its end or its fields: the client would
 * take the next one for the rest. */
static void test_response_no_memory(void **state)
{
	static const struct {
		size_t refused_bytes;
		size_t field_bytes;
		size_t body_bytes;
	} cases[] = {
		{ 64, 10, 10 }, /* head */
		{ 4000, 5000, 10 }, /* fields */
		{ 4000, 10, 5000 }, /* body */
	};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct echo echo = { 0 };
	uint16_t port = echo_listen(&listener, loop, &echo);
	char body[5000] = "";
	struct peer peer;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct bw_buffer fields;

		echo.requests = 0;
		echo.held = NULL;
		peer_connect(&peer, loop, port);
		peer_send_text(&peer, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
		SPIN_UNTIL(loop, echo.held);
		bw_buffer_init(&fields);
		refused_bytes = cases[i].refused_bytes;
		bw_buffer_printf(&fields, "X: %0*d\r\n",
				 (int)cases[i].field_bytes, 0);
		bw_connection_respond(echo.held, 200, &fields, body,
				      cases[i].body_bytes, false);
		refused_bytes = 0;
		SPIN_UNTIL(loop, peer.eof);
		assert_int_equal(peer.in.size_bytes, 0);
		bw_buffer_finish(&fields);
		peer_finish(&peer);
	}
	assert_int_equal(listener.connection_count, 0);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reader_no_memory),
		cmocka_unit_test(test_listener_no_memory),
		cmocka_unit_test(test_response_no_memory),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bwproxy/listener.h"
#include "bwproxy/loop_clock.h"
#include "bwproxy/pool.h"
#include "harness.h"
#include "stepped_clock.h"

#define STEP_S 30

/** First port that the listener tries. */
#define FIRST_PORT 23700

/** Limits of the listener and of the pool; both timeouts are below STEP_S. */
#define LIMIT_BYTES 4096
#define TIMEOUT_MS 10000

/** Time that includes several checks of the timeouts. */
#define CHECKS_MS 800

static int reset_(void **state)
{
	(void)state;
	wall_step_s = 0;
	suspended_s = 0;
	return 0;
}

/* Guards against deadlines and leases that follow the wall clock. */
static void test_wall_step(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_loop_clock clock;
	struct bw_time before;

	(void)state;
	bw_loop_clock_init(&clock, loop);
	before = bw_loop_clock_now(&clock);
	wall_step_s = -STEP_S;
	spin_once(loop);
	assert_in_range(bw_time_diff_ms(bw_loop_clock_now(&clock), before), 0,
			STEP_S * 500);
	wall_step_s = STEP_S;
	spin_once(loop);
	assert_in_range(bw_time_diff_ms(bw_loop_clock_now(&clock), before), 0,
			STEP_S * 500);
	ev_loop_destroy(loop);
}

/* Guards against a clock that is late, or that moves within an iteration. */
static void test_iteration(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_loop_clock clock;
	struct bw_time before;

	(void)state;
	bw_loop_clock_init(&clock, loop);
	before = bw_loop_clock_now(&clock);
	suspended_s = STEP_S;
	assert_int_equal(bw_loop_clock_now(&clock).ms, before.ms);
	spin_once(loop);
	assert_true(bw_time_diff_ms(bw_loop_clock_now(&clock), before) >=
		    STEP_S * 1000);
	before = bw_loop_clock_now(&clock);
	suspended_s = 2 * STEP_S;
	assert_int_equal(bw_loop_clock_now(&clock).ms, before.ms);
	assert_true(bw_time_diff_ms(bw_loop_clock_refresh(&clock), before) >=
		    STEP_S * 1000);
	assert_true(bw_time_diff_ms(bw_loop_clock_now(&clock), before) >=
		    STEP_S * 1000);
	ev_loop_destroy(loop);
}

static uint16_t listen_(struct bw_listener *listener, struct ev_loop *loop)
{
	static struct target_echo echo;
	struct bw_listener_config config = {
		.loop = loop,
		.limits = { LIMIT_BYTES, LIMIT_BYTES },
		.connections_max = 4,
		.head_timeout_ms = TIMEOUT_MS,
		.idle_timeout_ms = TIMEOUT_MS,
		.handler = &target_echo_handler,
		.context = &echo,
	};

	return listener_open(listener, &config, FIRST_PORT);
}

static void spin_for_(struct ev_loop *loop, int64_t duration_ms)
{
	int64_t end_ms = spin_now_ms() + duration_ms;

	SPIN_UNTIL(loop, spin_now_ms() > end_ms);
}

/* Guards against a 408, or a closed connection, because of a step. */
static void test_listener_step(void **state)
{
	static const char rest[] = "Host: h.example\r\n\r\n";
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct peer idle;
	struct peer peer;
	uint16_t port = listen_(&listener, loop);

	(void)state;
	peer_connect(&idle, loop, port);
	peer_connect(&peer, loop, port);
	peer_send_text(&peer, "GET /a HTTP/1.1\r\n");
	SPIN_UNTIL(loop, listener.connection_count == 2);
	spin_once(loop);
	wall_step_s = STEP_S;
	spin_for_(loop, CHECKS_MS);
	wall_step_s = 0;
	assert_false(peer_has(&peer, "HTTP/1.1 408"));
	assert_false(idle.eof);
	peer_send_text(&peer, rest);
	SPIN_UNTIL(loop, peer_has(&peer, "HTTP/1.1 200"));
	peer_finish(&peer);
	peer_finish(&idle);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Guards against a timeout of the client that was a pause of the host. */
static void test_late_loop(void **state)
{
	static const char rest[] = "Host: h.example\r\n\r\n";
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct peer peer;
	uint16_t port = listen_(&listener, loop);

	(void)state;
	bw_listener_set_timeouts(&listener, 600, TIMEOUT_MS);
	peer_connect(&peer, loop, port);
	peer_send_text(&peer, "GET /a HTTP/1.1\r\n");
	spin_for_(loop, 100);
	assert_int_equal(send(peer.fd, rest, strlen(rest), 0), strlen(rest));
	usleep(900000);
	SPIN_UNTIL(loop, peer_has(&peer, "\r\n\r\n"));
	assert_true(peer_has(&peer, "HTTP/1.1 200"));
	peer_finish(&peer);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Guards against rejecting what the client could not send in the meantime. */
static void test_suspended_listener(void **state)
{
	static const char rest[] = "Host: h.example\r\n\r\n";
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct peer idle;
	struct peer peer;
	uint16_t port = listen_(&listener, loop);

	(void)state;
	peer_connect(&idle, loop, port);
	peer_connect(&peer, loop, port);
	peer_send_text(&peer, "GET /a HTTP/1.1\r\n");
	SPIN_UNTIL(loop, listener.connection_count == 2);
	spin_once(loop);
	suspended_s = STEP_S;
	spin_for_(loop, CHECKS_MS);
	assert_false(peer.eof);
	assert_false(idle.eof);
	peer_send_text(&peer, rest);
	SPIN_UNTIL(loop, peer_has(&peer, "\r\n\r\n"));
	assert_true(peer_has(&peer, "HTTP/1.1 200"));
	peer_finish(&peer);
	peer_finish(&idle);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

/* Guards against timeouts that no longer apply. */
static void test_head_timeout(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_listener listener;
	struct peer peer;
	uint16_t port = listen_(&listener, loop);

	(void)state;
	bw_listener_set_timeouts(&listener, 600, TIMEOUT_MS);
	peer_connect(&peer, loop, port);
	peer_send_text(&peer, "GET /a HTTP/1.1\r\n");
	SPIN_UNTIL(loop, peer.eof);
	assert_true(peer_has(&peer, "HTTP/1.1 408"));
	peer_finish(&peer);
	bw_listener_finish(&listener);
	ev_loop_destroy(loop);
}

static void ended_(void *context, void *request, enum bw_pool_result result,
		   const struct bw_http_message *response, struct bw_body *body)
{
	(void)request;
	(void)response;
	(void)body;
	*(enum bw_pool_result *)context = result;
}

/* Guards against idle connections that a step closes. */
static void test_pool_step(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	enum bw_pool_result result = BW_POOL_RESULT_COUNT;
	struct bw_pool_config config = {
		.loop = loop,
		.id_field = "Request-Id",
		.limits = { LIMIT_BYTES, LIMIT_BYTES },
		.connect_timeout_ms = TIMEOUT_MS,
		.idle_ms = TIMEOUT_MS,
		.connections_max = 4,
		.ended = ended_,
		.context = &result,
	};
	struct bw_pool_request request = { .id = "one" };
	struct raw_server server;
	struct bw_buffer head;
	struct bw_pool pool;
	char address[32];

	(void)state;
	raw_server_init(&server, loop);
	snprintf(address, sizeof(address), "127.0.0.1:%u", server.port);
	bw_pool_init(&pool, &config);
	bw_buffer_init(&head);
	bw_buffer_printf(&head, "GET / HTTP/1.1\r\nRequest-Id: one\r\n\r\n");
	request.address = address;
	request.head = &head;
	assert_non_null(bw_pool_send(&pool, &request));
	SPIN_UNTIL(loop,
		   server.peer_count == 1 && peer_has(&server.peers[0], "one"));
	peer_send_text(&server.peers[0],
		       "HTTP/1.1 200 OK\r\nRequest-Id: one\r\n"
		       "Content-Length: 0\r\n\r\n");
	SPIN_UNTIL(loop, result == BW_POOL_RESPONSE);
	wall_step_s = STEP_S;
	spin_for_(loop, CHECKS_MS);
	assert_int_equal(pool.connection_count, 1);
	assert_false(server.peers[0].eof);
	bw_buffer_finish(&head);
	bw_pool_finish(&pool);
	raw_server_finish(&server);
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_wall_step, reset_),
		cmocka_unit_test_setup(test_iteration, reset_),
		cmocka_unit_test_setup(test_listener_step, reset_),
		cmocka_unit_test_setup(test_pool_step, reset_),
		cmocka_unit_test_setup(test_late_loop, reset_),
		cmocka_unit_test_setup(test_suspended_listener, reset_),
		cmocka_unit_test_setup(test_head_timeout, reset_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * A listener whose connections or memory run short. Guards against clients
 * without progress that keep others out, against a request in progress that is
 * closed for them, and against memory that grows with what clients send ahead.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "bwproxy/listener.h"
#include "harness.h"

#define FIRST_PORT 23700
#define CONNECTIONS_MAX 4
#define IDLE_TIMEOUT_MS 60000

/** Requests that a client sends ahead; their responses fill the buffers of the
 * kernel, with a small one at the client. */
#define AHEAD_COUNT 100000
#define CLIENT_BUFFER_BYTES 65536

/** What on_request_ responds. */
#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

/** More than the input and output that one connection may keep. */
#define KEPT_MAX_BYTES (256 * 1024)

/** Iterations of the loop in which nothing can be sent. */
#define STALLED_COUNT 20

/* Requests that are held, and what was closed. */
struct record {
	bool holds;
	uint32_t requests;
	uint32_t disconnected_count;
	uint32_t evicted_counts[BW_EVICTION_CAUSE_COUNT];
	enum bw_eviction_phase phase; /* of the last one */
};

static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request)
{
	struct record *record = context;

	(void)request;
	record->requests++;
	if (!record->holds)
		bw_connection_respond(connection, 200, NULL, "{}", 2, false);
}

static void on_disconnected_(void *context,
			     struct bw_server_connection *connection)
{
	struct record *record = context;

	(void)connection;
	record->disconnected_count++;
}

static void on_evicted_(void *context,
			const struct bw_listener_eviction *eviction)
{
	struct record *record = context;

	record->evicted_counts[eviction->cause]++;
	record->phase = eviction->phase;
}

static const struct bw_listener_handler handler = {
	.request = on_request_,
	.disconnected = on_disconnected_,
	.evicted = on_evicted_,
};

struct fixture {
	struct ev_loop *loop;
	struct bw_listener listener;
	struct bw_memory memory;
	struct record record;
	uint16_t port;
	struct peer peers[CONNECTIONS_MAX + 1];
};

static void setup_(struct fixture *fixture, uint64_t process_bytes)
{
	struct bw_listener_config config = {
		.limits = { 16384, 1000000 },
		.connections_max = CONNECTIONS_MAX,
		.head_timeout_ms = 60000,
		.idle_timeout_ms = IDLE_TIMEOUT_MS,
		.handler = &handler,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	bw_memory_init(&fixture->memory, process_bytes);
	config.loop = fixture->loop;
	config.memory = &fixture->memory;
	config.context = &fixture->record;
	fixture->port = listener_open(&fixture->listener, &config, FIRST_PORT);
}

static void teardown_(struct fixture *fixture)
{
	uint32_t i;

	bw_listener_finish(&fixture->listener);
	assert_null(fixture->memory.listeners);
	assert_int_equal(fixture->memory.connections_used_bytes, 0);
	assert_int_equal(fixture->memory.requests.used_bytes, 0);
	for (i = 0; i < CONNECTIONS_MAX + 1; i++) {
		if (fixture->peers[i].loop)
			peer_finish(&fixture->peers[i]);
	}
	ev_loop_destroy(fixture->loop);
}

static void open_all_(struct fixture *fixture, const char *text)
{
	uint32_t i;

	for (i = 0; i < CONNECTIONS_MAX; i++) {
		peer_connect(&fixture->peers[i], fixture->loop, fixture->port);
		peer_send_text(&fixture->peers[i], text);
	}
	SPIN_UNTIL(fixture->loop,
		   fixture->listener.connection_count == CONNECTIONS_MAX);
	for (i = 0; i < 5; i++)
		spin_once(fixture->loop);
}

static struct peer *send_ordinary_(struct fixture *fixture)
{
	struct peer *peer = &fixture->peers[CONNECTIONS_MAX];

	peer_connect(peer, fixture->loop, fixture->port);
	peer_send_text(peer, "GET /x HTTP/1.1\r\nHost: x\r\n\r\n");
	SPIN_UNTIL(fixture->loop, peer->eof || peer_has(peer, "\r\n\r\n"));
	return peer;
}

/* Guards against clients without a request, or with a part of one, that keep a
 * client out that sends a request. */
static void test_full_of_unfinished(void **state)
{
	static const struct {
		const char *text;
		enum bw_eviction_phase phase;
	} cases[] = {
		{ "", BW_EVICTION_UNUSED },
		{ "GET /x HTTP/1.1\r\n", BW_EVICTION_HEAD },
		{ "GET /x HTTP/1.1\r\n\r\n", BW_EVICTION_IDLE },
	};
	struct fixture fixture;
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		setup_(&fixture, 1 << 26);
		open_all_(&fixture, cases[i].text);
		assert_true(peer_has(send_ordinary_(&fixture), "HTTP/1.1 200"));
		assert_int_equal(
			fixture.record.evicted_counts[BW_EVICTION_CONNECTIONS],
			1);
		assert_int_equal(fixture.record.phase, cases[i].phase);
		/* The one that had waited the longest. */
		SPIN_UNTIL(fixture.loop, fixture.peers[0].eof);
		assert_int_equal(peer_has(&fixture.peers[0], "HTTP/1.1 503"),
				 cases[i].phase == BW_EVICTION_HEAD);
		assert_false(fixture.peers[1].eof);
		teardown_(&fixture);
	}
}

/* Guards against a request in progress that is closed for another client. */
static void test_full_of_busy(void **state)
{
	struct fixture fixture;

	(void)state;
	setup_(&fixture, 1 << 26);
	fixture.record.holds = true;
	open_all_(&fixture, "GET /x HTTP/1.1\r\n\r\n");
	assert_int_equal(fixture.record.requests, CONNECTIONS_MAX);
	assert_true(send_ordinary_(&fixture)->eof);
	assert_int_equal(fixture.record.evicted_counts[BW_EVICTION_FULL], 1);
	assert_int_equal(fixture.record.disconnected_count, 0);
	assert_int_equal(fixture.listener.busy_count, CONNECTIONS_MAX);
	teardown_(&fixture);
}

/* Guards against responses to requests sent ahead that fill the memory, and
 * against one of them that is lost when the client reads at last. */
static void test_requests_ahead(void **state)
{
	static const char text[] = "GET /x HTTP/1.1\r\nHost: x\r\n\r\n";
	struct fixture fixture;
	struct peer *peer;
	int buffer_bytes = CLIENT_BUFFER_BYTES;
	uint32_t sent_count = 0;
	uint32_t stalled_count = 0;
	size_t offset = 0;
	ssize_t sent;

	(void)state;
	setup_(&fixture, 1 << 26);
	peer = &fixture.peers[0];
	peer_connect(peer, fixture.loop, fixture.port);
	setsockopt(peer->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	peer_pause(peer);
	while (sent_count < AHEAD_COUNT) {
		sent = send(peer->fd, text + offset, sizeof(text) - 1 - offset,
			    MSG_DONTWAIT | MSG_NOSIGNAL);
		if (sent > 0) {
			stalled_count = 0;
			offset = (offset + (size_t)sent) % (sizeof(text) - 1);
			sent_count += !offset;
			continue;
		}
		spin_once(fixture.loop);
		assert_true(fixture.memory.connections_used_bytes <
			    KEPT_MAX_BYTES);
		if (++stalled_count == STALLED_COUNT)
			peer_resume(peer);
	}
	peer_resume(peer);
	SPIN_UNTIL(fixture.loop,
		   peer->in.size_bytes >= AHEAD_COUNT * strlen(RESPONSE));
	assert_int_equal(fixture.record.requests, AHEAD_COUNT);
	assert_int_equal(peer_count(peer, RESPONSE), AHEAD_COUNT);
	teardown_(&fixture);
}

/* Guards against large heads that keep out an ordinary one, when memory runs
 * short. */
static void test_memory_of_heads(void **state)
{
	struct fixture fixture;
	struct bw_buffer head;
	uint32_t i;

	(void)state;
	bw_buffer_init(&head);
	bw_buffer_printf(&head, "GET /x HTTP/1.1\r\n");
	for (i = 0; i < 3000; i++)
		bw_buffer_printf(&head, "a:b\r\n");
	bw_buffer_append(&head, "", 1);
	/* 128 KiB for heads; one of these takes 64 KiB and more. */
	setup_(&fixture, 1 << 20);
	for (i = 0; i < CONNECTIONS_MAX - 1; i++) {
		peer_connect(&fixture.peers[i], fixture.loop, fixture.port);
		peer_send_text(&fixture.peers[i], (char *)head.data);
	}
	SPIN_UNTIL(fixture.loop, peer_has(&fixture.peers[CONNECTIONS_MAX - 2],
					  "HTTP/1.1 503"));
	assert_true(fixture.memory.connections_used_bytes <
		    fixture.memory.connections_max_bytes);
	assert_true(peer_has(send_ordinary_(&fixture), "HTTP/1.1 200"));
	bw_buffer_finish(&head);
	teardown_(&fixture);
}

/* Guards against large bodies that keep out an ordinary one. */
static void test_memory_of_bodies(void **state)
{
	struct fixture fixture;
	struct peer *peer = &fixture.peers[1];
	int64_t stopped_until_ms;

	(void)state;
	/* 512 KiB for bodies, of which 32 are kept back. */
	setup_(&fixture, 1 << 20);
	peer_connect(&fixture.peers[0], fixture.loop, fixture.port);
	peer_send_text(&fixture.peers[0],
		       "POST /x HTTP/1.1\r\nContent-Length: 491520\r\n\r\n");
	SPIN_UNTIL(fixture.loop, fixture.memory.requests.used_bytes == 491520);
	peer_connect(peer, fixture.loop, fixture.port);
	peer_send_text(peer,
		       "POST /x HTTP/1.1\r\nContent-Length: 65537\r\n\r\n");
	SPIN_UNTIL(fixture.loop, peer_has(peer, "HTTP/1.1 503"));
	peer_finish(peer);
	peer_connect(peer, fixture.loop, fixture.port);
	peer_send_text(peer,
		       "POST /x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody");
	SPIN_UNTIL(fixture.loop, peer_has(peer, "HTTP/1.1 200"));
	assert_int_equal(fixture.listener.evicted_count, 0);
	peer_finish(peer);
	/* The large one gives way when it has stopped for a third of the idle
	 * timeout. */
	bw_listener_set_timeouts(&fixture.listener, 60000, 3000);
	stopped_until_ms = spin_now_ms() + 1000;
	SPIN_UNTIL(fixture.loop, spin_now_ms() > stopped_until_ms);
	peer_connect(peer, fixture.loop, fixture.port);
	peer_send_text(peer,
		       "POST /x HTTP/1.1\r\nContent-Length: 65537\r\n\r\n");
	SPIN_UNTIL(fixture.loop, fixture.memory.requests.used_bytes == 65537);
	SPIN_UNTIL(fixture.loop, peer_has(&fixture.peers[0], "HTTP/1.1 503"));
	assert_int_equal(fixture.record.evicted_counts[BW_EVICTION_MEMORY], 1);
	teardown_(&fixture);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_full_of_unfinished),
		cmocka_unit_test(test_full_of_busy),
		cmocka_unit_test(test_requests_ahead),
		cmocka_unit_test(test_memory_of_heads),
		cmocka_unit_test(test_memory_of_bodies),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bwbase/random.h"
#include "harness.h"

#define SEED 20261204
#define REQUESTS 3000
/* Exceeds the connection limit of 64 so that some calls wait. */
#define CONCURRENT 100
#define BODY_MAX_BYTES 40000

/* Server that echoes each request body once it is complete; its responses
 * are therefore in another order than its requests. */
struct echo {
	struct bw_frontend *frontend;
	struct bw_random random;
};

struct exchange {
	struct bw_buffer body;
	size_t sent_bytes;
	bool ended;
};

static void append_echo_(struct bw_request *request, struct exchange *exchange)
{
	exchange->sent_bytes += bw_request_append(
		request, exchange->body.data + exchange->sent_bytes,
		exchange->body.size_bytes - exchange->sent_bytes);
	if (exchange->sent_bytes == exchange->body.size_bytes)
		bw_request_end(request);
}

static void on_event_(void *context, const struct bw_frontend_event *event)
{
	struct echo *echo = context;
	struct exchange *exchange = bw_request_context(event->request);

	switch (event->kind) {
	case BW_FRONTEND_HEAD:
		exchange = calloc(1, sizeof(*exchange));
		bw_request_set_context(event->request, exchange);
		break;
	case BW_FRONTEND_BODY:
		bw_buffer_append(&exchange->body, event->data,
				 event->size_bytes);
		break;
	case BW_FRONTEND_BODY_END:
		bw_request_start(event->request, 200, NULL, 0,
				 bw_random_below(&echo->random, 2)
					 ? (int64_t)exchange->body.size_bytes
					 : BW_HTTP_LENGTH_UNKNOWN);
		append_echo_(event->request, exchange);
		break;
	case BW_FRONTEND_WRITABLE:
		append_echo_(event->request, exchange);
		break;
	case BW_FRONTEND_DONE:
		bw_buffer_finish(&exchange->body);
		free(exchange);
		break;
	default:
		break;
	}
}

/* A request in progress: its body and the response, which must be equal. */
struct slot {
	struct reply reply;
	struct bw_buffer body;
};

/* Generates a body that is unique in the run. */
static void generate_body_(struct bw_buffer *body, uint32_t number,
			   struct bw_random *random)
{
	uint64_t size = 8 + bw_random_below(random, BODY_MAX_BYTES);
	uint64_t word;

	bw_buffer_clear(body);
	bw_buffer_append(body, &number, sizeof(number));
	while (body->size_bytes < size) {
		word = bw_random_next(random);
		bw_buffer_append(body, &word, sizeof(word));
	}
}

static void check_reply_(struct slot *slot)
{
	assert_true(slot->reply.complete);
	assert_int_equal(slot->reply.status_code, 200);
	assert_int_equal(slot->reply.body.size_bytes, slot->body.size_bytes);
	assert_memory_equal(slot->reply.body.data, slot->body.data,
			    slot->body.size_bytes);
	reply_finish(&slot->reply);
}

/* Guards against responses that are delivered to the wrong caller, truncated or
 * stalled when many requests share connections. */
static void test_responses_not_mixed(void **state)
{
	static struct slot slots[CONCURRENT];
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_upstream *upstream = upstream_open(loop);
	struct bw_upstream *callers = upstream_open(loop);
	struct echo echo;
	struct relay relay;
	struct bw_random random;
	struct bw_frontend_handler handler = { .context = &echo,
					       .event = on_event_ };
	uint32_t started = 0;
	uint32_t finished = 0;
	uint32_t i;

	(void)state;
	bw_random_init(&random, SEED);
	bw_random_init(&echo.random, SEED + 1);
	echo.frontend = frontend_open(loop, handler);
	relay_init(&relay, loop, upstream, bw_frontend_port(echo.frontend, 0));
	while (finished < REQUESTS) {
		uint32_t previously_finished = finished;

		for (i = 0; i < CONCURRENT; i++) {
			struct slot *slot = &slots[i];

			if (slot->reply.over) {
				check_reply_(slot);
				finished++;
				bw_buffer_finish(&slot->body);
			}
			if (slot->body.size_bytes || started == REQUESTS)
				continue;
			generate_body_(&slot->body, started++, &random);
			call_start(callers, bw_frontend_port(relay.frontend, 0),
				   "POST", "/echo", slot->body.data,
				   slot->body.size_bytes, &slot->reply);
		}
		if (previously_finished == finished)
			spin_once(loop);
	}
	SPIN_UNTIL(loop, relay.done_count == REQUESTS);
	assert_int_equal(bw_upstream_counters(upstream)->calls, REQUESTS);
	assert_true(bw_upstream_counters(upstream)->connections <= 64);
	bw_frontend_free(relay.frontend);
	bw_upstream_free(callers);
	bw_upstream_free(upstream);
	bw_frontend_free(echo.frontend);
	ev_loop_destroy(loop);
}

/* Guards against TLS data that stays buffered after suspend and resume, and
 * against accepting a server certificate issued for another name. */
static void test_tls(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_upstream *callers = upstream_open(loop);
	char *certificate =
		read_text_file("src/test_libbwproxy/tls/certificate.pem");
	char *key = read_text_file("src/test_libbwproxy/tls/key.pem");
	struct echo echo;
	struct bw_frontend_handler handler = { .context = &echo,
					       .event = on_event_ };
	struct bw_upstream_request request = {
		.address = "127.0.0.1",
		.method = "POST",
		.target = "/",
		.body_kind = BW_UPSTREAM_BODY_COMPLETE,
		.deadline_ms = 60000,
		.tls_trust_pem = certificate,
		.tls_name = "frontend.test",
	};
	struct slot slot = { 0 };
	struct bw_upstream_handler caller = { &slot.reply, reply_event };
	struct bw_random random;
	struct bw_call *call;
	uint32_t i;

	(void)state;
	bw_random_init(&random, SEED);
	bw_random_init(&echo.random, SEED);
	echo.frontend = frontend_open_tls(loop, handler, certificate, key);
	request.port = bw_frontend_port(echo.frontend, 0);
	for (i = 0; i < 50; i++) {
		generate_body_(&slot.body, i, &random);
		request.body = slot.body.data;
		request.body_bytes = slot.body.size_bytes;
		assert_int_equal(bw_upstream_start(callers, &request, &caller,
						   &call),
				 BW_OK);
		SPIN_UNTIL(loop, slot.reply.over);
		check_reply_(&slot);
	}
	assert_int_equal(bw_upstream_counters(callers)->connections, 1);
	request.tls_name = "other.test";
	bw_upstream_start(callers, &request, &caller, &call);
	SPIN_UNTIL(loop, slot.reply.over);
	assert_int_equal(slot.reply.cause, BW_UPSTREAM_REFUSED);
	assert_false(slot.reply.bytes_sent);
	reply_finish(&slot.reply);
	bw_buffer_finish(&slot.body);
	bw_upstream_free(callers);
	bw_frontend_free(echo.frontend);
	ev_loop_destroy(loop);
	free(certificate);
	free(key);
}

/* Guards against a truncated response delivered as complete, and against an
 * upstream call that continues after its client has disconnected. */
static void test_faults_propagate(void **state)
{
	static const char *const heads[] = {
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"5\r\nshort\r\n",
	};
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_upstream *upstream = upstream_open(loop);
	struct raw_server server;
	struct relay relay;
	struct peer caller;
	uint32_t i;

	(void)state;
	raw_server_init(&server, loop);
	relay_init(&relay, loop, upstream, server.port);
	for (i = 0; i < 3; i++) {
		peer_connect(&caller, loop,
			     bw_frontend_port(relay.frontend, 0));
		peer_send_text(&caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
		SPIN_UNTIL(loop, server.peer_count == i + 1 &&
					 peer_has(&server.peers[i], "GET /"));
		if (i < 2) {
			peer_send_text(&server.peers[i], heads[i]);
			SPIN_UNTIL(loop, peer_has(&caller, "short"));
			peer_close(&server.peers[i]);
			SPIN_UNTIL(loop, caller.eof);
			assert_false(peer_has(&caller, "\r\n0\r\n"));
		} else {
			peer_close(&caller);
			SPIN_UNTIL(loop, server.peers[i].eof);
		}
		SPIN_UNTIL(loop, relay.done_count == i + 1);
		peer_finish(&caller);
	}
	bw_frontend_free(relay.frontend);
	bw_upstream_free(upstream);
	raw_server_finish(&server);
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_responses_not_mixed),
		cmocka_unit_test(test_tls),
		cmocka_unit_test(test_faults_propagate),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * A server that sends its responses late, twice, in parts, without a length or
 * not to the end. Guards against a response that reaches another request.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bwbase/random.h"
#include "bwproxy/pool.h"
#include "harness.h"

#define DEFAULT_SEEDS 60
#define REQUESTS 7
#define TEXT_BYTES 256

/** Iterations of the loop after which a server that is silent closes. */
#define PATIENCE 4

struct request {
	uint32_t number;
	bool head;
	bool ended;
	bool answered;
};

struct fixture {
	struct ev_loop *loop;
	struct raw_server server;
	struct bw_pool pool;
	struct bw_random random;
	struct request requests[REQUESTS];
	struct bw_buffer late[PEERS_MAX]; /**< sent during the next request */
	uint64_t seed;
};

static uint32_t answered_count;
static uint32_t ended_count;

static bool chance_(struct fixture *fixture, uint32_t percent)
{
	return bw_random_below(&fixture->random, 100) < percent;
}

static void ended_(void *context, void *ended, enum bw_pool_result result,
		   const struct bw_http_message *response, struct bw_body *body)
{
	struct fixture *fixture = context;
	struct request *request = ended;
	char expected[TEXT_BYTES] = "";

	assert_false(request->ended);
	request->ended = true;
	ended_count++;
	if (result != BW_POOL_RESPONSE)
		return;
	request->answered = true;
	answered_count++;
	if (!request->head)
		snprintf(expected, sizeof(expected), "body of r%u",
			 request->number);
	if (response->status_code != 200 ||
	    body->bytes.size_bytes != strlen(expected) ||
	    (expected[0] &&
	     memcmp(body->bytes.data, expected, strlen(expected)) != 0))
		fail_msg("seed %llu: r%u got \"%.*s\"",
			 (unsigned long long)fixture->seed, request->number,
			 (int)body->bytes.size_bytes,
			 body->bytes.data ? (char *)body->bytes.data : "");
}

static void set_up_(struct fixture *fixture, uint64_t seed)
{
	struct bw_pool_config config = { .id_field = "Request-Id" };

	memset(fixture, 0, sizeof(*fixture));
	fixture->seed = seed;
	bw_random_init(&fixture->random, seed);
	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	raw_server_init(&fixture->server, fixture->loop);
	config.loop = fixture->loop;
	config.limits.head_max_bytes = 4096;
	config.limits.body_max_bytes = 4096;
	config.connect_timeout_ms = 5000;
	config.idle_ms = 5000;
	config.connections_max = 2;
	config.ended = ended_;
	config.context = fixture;
	bw_pool_init(&fixture->pool, &config);
}

static void tear_down_(struct fixture *fixture)
{
	uint32_t i;

	for (i = 0; i < PEERS_MAX; i++)
		bw_buffer_finish(&fixture->late[i]);
	bw_pool_finish(&fixture->pool);
	raw_server_finish(&fixture->server);
	ev_loop_destroy(fixture->loop);
}

/* @return the index of the server's connection that received the request */
static uint32_t send_(struct fixture *fixture, struct request *request)
{
	struct bw_pool_request send = { .request = request };
	struct bw_buffer head;
	char address[32];
	char line[32];
	char id[16];
	uint32_t i = PEERS_MAX;

	snprintf(address, sizeof(address), "127.0.0.1:%u",
		 fixture->server.port);
	snprintf(id, sizeof(id), "r%u", request->number);
	snprintf(line, sizeof(line), " /%s HTTP", id);
	bw_buffer_init(&head);
	bw_buffer_printf(&head, "%s%s/1.1\r\nRequest-Id: %s\r\n\r\n",
			 request->head ? "HEAD" : "GET", line, id);
	send.address = address;
	send.id = id;
	send.head = &head;
	send.head_response = request->head;
	assert_non_null(bw_pool_send(&fixture->pool, &send));
	bw_buffer_finish(&head);
	while (i == PEERS_MAX && !request->ended) {
		spin_once(fixture->loop);
		for (i = 0; i < fixture->server.peer_count; i++) {
			if (peer_has(&fixture->server.peers[i], line))
				break;
		}
		if (i == fixture->server.peer_count)
			i = PEERS_MAX;
	}
	return i;
}

static void write_response_(struct fixture *fixture, uint32_t number,
			    bool without_length, struct bw_buffer *out)
{
	char body[TEXT_BYTES];

	snprintf(body, sizeof(body), "body of r%u", number);
	bw_buffer_printf(out, "HTTP/1.1 200 OK\r\nRequest-Id: r%u\r\n", number);
	if (!without_length)
		bw_buffer_printf(out, "Content-Length: %zu\r\n", strlen(body));
	bw_buffer_append(out, "\r\n", 2);
	if (!fixture->requests[number].head)
		bw_buffer_append(out, body, strlen(body));
}

static void send_parts_(struct fixture *fixture, struct peer *peer,
			const struct bw_buffer *bytes)
{
	size_t sent = 0;
	size_t part;

	while (sent < bytes->size_bytes) {
		part = bytes->size_bytes - sent;
		if (chance_(fixture, 50))
			part = 1 + bw_random_below(&fixture->random, part);
		peer_send(peer, bytes->data + sent, part);
		sent += part;
		if (chance_(fixture, 50))
			spin_once(fixture->loop);
	}
}

/* Answers a request in one of the ways; what is kept back comes later. */
static void answer_(struct fixture *fixture, struct request *request,
		    uint32_t index)
{
	struct peer *peer = &fixture->server.peers[index];
	bool without_length = chance_(fixture, 10);
	bool cut = chance_(fixture, 10);
	struct bw_buffer late = fixture->late[index];
	struct bw_buffer out;
	size_t kept;

	bw_buffer_init(&fixture->late[index]);
	bw_buffer_init(&out);
	bw_buffer_append_buffer(&out, &late);
	if (chance_(fixture, 20))
		bw_buffer_printf(&out, "HTTP/1.1 103 Early Hints\r\n\r\n");
	write_response_(fixture, request->number, without_length, &out);
	if (!without_length && chance_(fixture, 40)) {
		write_response_(fixture, request->number, false,
				&fixture->late[index]);
		/* The beginning of the copy may arrive with the response. */
		kept = bw_random_below(&fixture->random,
				       fixture->late[index].size_bytes + 1);
		if (chance_(fixture, 30)) {
			bw_buffer_append(&out, fixture->late[index].data, kept);
			bw_buffer_consume(&fixture->late[index], kept);
		}
	}
	if (cut)
		out.size_bytes =
			bw_random_below(&fixture->random, out.size_bytes);
	send_parts_(fixture, peer, &out);
	if (cut)
		peer_reset(peer);
	else if (without_length)
		peer_close(peer);
	bw_buffer_finish(&late);
	bw_buffer_finish(&out);
}

static void run_seed_(uint64_t seed)
{
	struct fixture fixture;
	uint32_t index;
	uint32_t i;
	uint32_t k;

	set_up_(&fixture, seed);
	for (i = 0; i < REQUESTS; i++) {
		struct request *request = &fixture.requests[i];

		request->number = i;
		request->head = chance_(&fixture, 25);
		index = send_(&fixture, request);
		if (index < PEERS_MAX)
			answer_(&fixture, request, index);
		for (k = 0; k < PATIENCE && !request->ended; k++)
			spin_once(fixture.loop);
		if (!request->ended)
			peer_close(&fixture.server.peers[index]);
		SPIN_UNTIL(fixture.loop, request->ended);
	}
	tear_down_(&fixture);
}

static void test_late_response_to_another_request(void **state)
{
	const char *text = getenv("BW_SEEDS");
	uint32_t count = text ? (uint32_t)atoi(text) : DEFAULT_SEEDS;
	uint64_t seed;

	(void)state;
	for (seed = 1; seed <= count; seed++)
		run_seed_(seed);
	printf("late responses: %u seeds, %u of %u requests answered\n", count,
	       answered_count, ended_count);
	assert_int_equal(ended_count, count * REQUESTS);
	assert_in_range(answered_count, ended_count / 2, ended_count - 1);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_late_response_to_another_request),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

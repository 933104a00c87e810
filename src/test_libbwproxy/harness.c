#include "harness.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bwbase/clock.h"
#include "bwbase/yaml.h"

#define SPIN_WAIT_S 0.02
#define READ_BYTES 4096

/** Ports that listener_open tries. */
#define PORTS_TRIED 100

static void peer_init_(struct peer *peer, struct ev_loop *loop, int fd);
static void on_peer_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_accept_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_wait_end_(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request);
static void on_disconnected_(void *context,
			     struct bw_server_connection *connection);
static void on_rejected_(void *context,
			 const struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 const struct bw_listener_rejection *rejection);

const struct bw_listener_handler target_echo_handler = {
	.request = on_request_,
	.disconnected = on_disconnected_,
	.rejected = on_rejected_,
};

int64_t spin_now_ms(void)
{
	return (int64_t)(bw_clock_us() / 1000);
}

void spin_once(struct ev_loop *loop)
{
	ev_timer wait_timer;

	ev_now_update(loop);
	ev_timer_init(&wait_timer, on_wait_end_, SPIN_WAIT_S, 0.);
	ev_timer_start(loop, &wait_timer);
	ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wait_timer);
}

void peer_connect(struct peer *peer, struct ev_loop *loop, uint16_t port)
{
	struct sockaddr_in address = { .sin_family = AF_INET,
				       .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_true(fd >= 0);
	assert_int_equal(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	peer_init_(peer, loop, fd);
}

void peer_pause(struct peer *peer)
{
	ev_io_stop(peer->loop, &peer->io);
}

void peer_resume(struct peer *peer)
{
	ev_io_start(peer->loop, &peer->io);
}

void peer_send(struct peer *peer, const void *data, size_t size_bytes)
{
	const uint8_t *next = data;
	int64_t end_ms = spin_now_ms() + 30000;
	ssize_t sent;

	while (size_bytes) {
		sent = send(peer->fd, next, size_bytes,
			    MSG_DONTWAIT | MSG_NOSIGNAL);
		if (sent < 0 && errno != EAGAIN)
			return;
		if (sent > 0) {
			next += sent;
			size_bytes -= (size_t)sent;
		}
		if (spin_now_ms() > end_ms)
			fail_msg("the peer does not read: send timed out");
		spin_once(peer->loop);
	}
}

void peer_send_text(struct peer *peer, const char *text)
{
	peer_send(peer, text, strlen(text));
}

void peer_close(struct peer *peer)
{
	if (peer->fd < 0)
		return;
	ev_io_stop(peer->loop, &peer->io);
	close(peer->fd);
	peer->fd = -1;
}

void peer_reset(struct peer *peer)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(peer->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	peer_close(peer);
}

void peer_finish(struct peer *peer)
{
	peer_close(peer);
	bw_buffer_finish(&peer->in);
}

bool peer_has(const struct peer *peer, const char *text)
{
	return peer_count(peer, text) > 0;
}

uint32_t peer_count(const struct peer *peer, const char *text)
{
	const uint8_t *next = peer->in.data;
	const uint8_t *end;
	uint32_t count = 0;

	if (!next)
		return 0;
	end = next + peer->in.size_bytes;
	while ((next = memmem(next, (size_t)(end - next), text,
			      strlen(text)))) {
		count++;
		next++;
	}
	return count;
}

void raw_server_init(struct raw_server *server, struct ev_loop *loop)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t size = sizeof(address);

	memset(server, 0, sizeof(*server));
	server->loop = loop;
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(server->fd, (struct sockaddr *)&address, size),
			 0);
	assert_int_equal(listen(server->fd, PEERS_MAX), 0);
	getsockname(server->fd, (struct sockaddr *)&address, &size);
	server->port = ntohs(address.sin_port);
	ev_io_init(&server->io, on_accept_, server->fd, EV_READ);
	server->io.data = server;
	ev_io_start(loop, &server->io);
}

void raw_server_finish(struct raw_server *server)
{
	uint32_t i;

	for (i = 0; i < server->peer_count; i++)
		peer_finish(&server->peers[i]);
	ev_io_stop(server->loop, &server->io);
	close(server->fd);
}

struct bw_frontend *frontend_open(struct ev_loop *loop,
				  struct bw_frontend_handler handler)
{
	return frontend_open_tls(loop, handler, NULL, NULL);
}

char *read_text_file(const char *path)
{
	struct bw_buffer text = { 0 };
	struct bw_yaml_error error;

	assert_int_equal(bw_file_read(path, 65536, &text, &error), BW_OK);
	assert_int_equal(bw_buffer_append(&text, "", 1), BW_OK);
	return (char *)text.data;
}

struct bw_frontend *frontend_open_tls(struct ev_loop *loop,
				      struct bw_frontend_handler handler,
				      const char *certificate_pem,
				      const char *key_pem)
{
	struct bw_frontend_listener listener = {
		.address = "127.0.0.1",
		.connection_limit = 500,
		.idle_timeout_s = 60,
		.header_limit_bytes = TEST_HEADER_BYTES,
		.body_limit_bytes = TEST_BODY_BYTES,
		.certificate_pem = certificate_pem,
		.key_pem = key_pem,
	};
	struct bw_frontend_config config = { .listeners = &listener,
					     .listener_count = 1,
					     .ring_bytes = TEST_RING_BYTES,
					     .handler = handler };
	struct bw_frontend *frontend;

	assert_int_equal(bw_frontend_new(&frontend, loop, &config), BW_OK);
	return frontend;
}

struct bw_upstream *upstream_open(struct ev_loop *loop)
{
	struct bw_upstream_config config = {
		.connections_per_server = 64,
		.connections_total = 256,
		.idle_timeout_s = 30,
		.connect_timeout_ms = 5000,
		.header_limit_bytes = TEST_HEADER_BYTES,
		.ring_bytes = TEST_RING_BYTES,
	};
	struct bw_upstream *upstream;

	assert_int_equal(bw_upstream_new(&upstream, loop, &config), BW_OK);
	return upstream;
}

struct bw_call *call_start(struct bw_upstream *upstream, uint16_t port,
			   const char *method, const char *target,
			   const void *body, size_t body_bytes,
			   struct reply *reply)
{
	struct bw_upstream_request request = {
		.address = "127.0.0.1",
		.port = port,
		.method = method,
		.target = target,
		.body_kind = body ? BW_UPSTREAM_BODY_COMPLETE
				  : BW_UPSTREAM_BODY_NONE,
		.body = body,
		.body_bytes = body_bytes,
		.deadline_ms = 60000,
	};
	struct bw_upstream_handler handler = { reply, reply_event };
	struct bw_call *call;

	assert_int_equal(bw_upstream_start(upstream, &request, &handler, &call),
			 BW_OK);
	return call;
}

void reply_event(void *context, const struct bw_upstream_event *event)
{
	struct reply *reply = context;

	assert_false(reply->over);
	switch (event->kind) {
	case BW_UPSTREAM_CONNECTED:
		reply->connected_count++;
		break;
	case BW_UPSTREAM_HEAD:
		reply->status_code = event->status_code;
		if (reply->pause_at_head)
			bw_upstream_pause(event->call);
		break;
	case BW_UPSTREAM_BODY:
		assert_true(reply->status_code != 0);
		bw_buffer_append(&reply->body, event->data, event->size_bytes);
		break;
	case BW_UPSTREAM_WRITABLE:
		reply->writable_count++;
		break;
	default:
		reply->over = true;
		reply->complete = event->kind == BW_UPSTREAM_COMPLETE;
		reply->cause = event->cause;
		reply->bytes_sent = event->bytes_sent;
		reply->reused_closed = event->reused_closed;
	}
}

void reply_finish(struct reply *reply)
{
	bw_buffer_finish(&reply->body);
	memset(reply, 0, sizeof(*reply));
}

uint16_t listener_open(struct bw_listener *listener,
		       const struct bw_listener_config *config,
		       uint16_t first_port)
{
	struct bw_listener_config with_address = *config;
	uint16_t end = first_port + PORTS_TRIED;
	char address[32];
	uint16_t port;

	with_address.address = address;
	for (port = first_port; port < end; port++) {
		snprintf(address, sizeof(address), "127.0.0.1:%u", port);
		if (bw_listener_init(listener, &with_address) == BW_OK)
			break;
	}
	assert_true(port < end);
	return port;
}

uint8_t *make_body(size_t size_bytes)
{
	uint8_t *body = malloc(size_bytes);
	size_t i;

	assert_non_null(body);
	for (i = 0; i < size_bytes; i++)
		body[i] = (uint8_t)(i * 7 + i / 251);
	return body;
}

static void peer_init_(struct peer *peer, struct ev_loop *loop, int fd)
{
	memset(peer, 0, sizeof(*peer));
	peer->loop = loop;
	peer->fd = fd;
	ev_io_init(&peer->io, on_peer_, fd, EV_READ);
	peer->io.data = peer;
	ev_io_start(loop, &peer->io);
}

static void on_peer_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct peer *peer = watcher->data;
	uint8_t data[READ_BYTES];
	ssize_t received = recv(peer->fd, data, sizeof(data), MSG_DONTWAIT);

	(void)events;
	if (received > 0) {
		bw_buffer_append(&peer->in, data, (size_t)received);
		return;
	}
	if (received < 0 && errno == EAGAIN)
		return;
	peer->eof = true;
	peer->reset = received < 0;
	ev_io_stop(loop, watcher);
}

static void on_accept_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct raw_server *server = watcher->data;
	int fd = accept(server->fd, NULL, NULL);

	(void)events;
	if (fd < 0)
		return;
	assert_true(server->peer_count < PEERS_MAX);
	peer_init_(&server->peers[server->peer_count++], loop, fd);
}

static void on_wait_end_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)watcher;
	(void)events;
}

static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request)
{
	struct target_echo *echo = context;

	echo->requests++;
	if (echo->takes_body) {
		bw_body_finish(&echo->body);
		bw_connection_take_body(connection, &echo->body);
	}
	if (!echo->withhold_response)
		bw_connection_respond(connection, 200, NULL,
				      bw_http_text(request, request->target),
				      request->target.size_bytes, false);
}

static void on_disconnected_(void *context,
			     struct bw_server_connection *connection)
{
	(void)connection;
	((struct target_echo *)context)->disconnected_count++;
}

static void on_rejected_(void *context,
			 const struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 const struct bw_listener_rejection *rejection)
{
	struct target_echo *echo = context;

	assert_int_equal(bw_connection_peer(connection),
			 htonl(INADDR_LOOPBACK));
	echo->rejection = *rejection;
	echo->rejected_count++;
	echo->rejected_id[0] = '\0';
	bw_http_find(request, "Id", echo->rejected_id,
		     sizeof(echo->rejected_id));
}

struct bw_routing *harness_routing(const char *host, const char *prefix)
{
	struct bw_routing *routing = bw_routing_new(1, 1);
	struct bw_route *route = bw_route_new();
	char error[BW_ROUTE_ERROR_MAX];

	assert_non_null(routing);
	assert_non_null(route);
	strcpy(routing->services[0].name, "s");
	strcpy(route->host, host);
	strcpy(route->prefix, prefix);
	route->timeout_ms = 1000;
	route->attempts_max = 1;
	assert_int_equal(bw_route_set_choice_count(route, 1), BW_OK);
	strcpy(route->choices[0].service, "s");
	route->choices[0].weight = 1;
	assert_int_equal(bw_routing_add(routing, route, error), BW_OK);
	return routing;
}

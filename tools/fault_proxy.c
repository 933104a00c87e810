#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bwbase/clock.h"
#include "bwproxy/frontend.h"
#include "fault.h"

#define CHUNK_BYTES 16384
#define QUEUE_LIMIT_BYTES 1048576
#define CONNECTIONS_MAX 8192
#define COMMAND_LIMIT_BYTES 65536
#define LISTEN_BACKLOG 1024
#define US_PER_MS 1000
#define US_PER_S 1e6
/* At 1 kbit/s, one bit takes 1000 us. */
#define US_PER_BIT_AT_1_KBIT_PER_S 1000

struct proxy;
struct connection;

/** Queued bytes and the earliest time at which they may be sent. */
struct chunk {
	struct chunk *next;
	uint64_t due_us;
	size_t size_bytes;
	size_t sent_bytes;
	uint8_t data[];
};

/** Listening socket and its target. */
struct pair {
	struct proxy *proxy;
	struct sockaddr_in target;
	uint32_t delay_ms;
	uint32_t rate_kbit_per_s;
	/** End of the last rate-limited transmission, by direction. */
	uint64_t busy_until_us[2];
	ev_io accept_io;
	int fd;
};

/** One direction of a forwarded connection. */
struct flow {
	struct connection *connection;
	int from_fd;
	int to_fd;
	int direction; /**< 0: client to target, 1: target to client */
	ev_io readable;
	ev_io writable;
	ev_timer due_timer;
	struct chunk *first;
	struct chunk *last;
	size_t queued_bytes;
	bool eof_received; /**< end of stream read from from_fd */
	bool eof_sent; /**< to_fd shut down for writing */
};

/** Forwarded connection. */
struct connection {
	struct connection *next;
	struct connection *previous;
	struct pair *pair;
	struct sockaddr_in source;
	int client_fd;
	int target_fd; /**< -1: connection not started yet */
	bool connected;
	bool frozen;
	ev_io connect_io;
	struct flow flows[2];
};

/** State of the process. */
struct proxy {
	struct ev_loop *loop;
	struct fault_config *config;
	struct fault_rules rules;
	struct pair *pairs;
	uint32_t pair_count;
	struct connection *connections;
	uint32_t connection_count;
	struct bw_frontend *frontend; /**< commands over HTTP; may be NULL */
	struct bw_buffer input; /**< incomplete command line from stdin */
	ev_io input_io;
};

static bool pair_open_(struct pair *pair, const struct fault_pair *config);
static void on_accept_(struct ev_loop *loop, ev_io *watcher, int events);
static void connection_open_(struct connection *connection);
static void on_connected_(struct ev_loop *loop, ev_io *watcher, int events);
static void connection_start_(struct connection *connection);
static void connection_close_(struct connection *connection, bool reset);
static void connection_apply_rules_(struct connection *connection);
static void flow_init_(struct flow *flow, struct connection *connection,
		       int direction);
static void flow_watch_(struct flow *flow);
static void flow_stop_(struct flow *flow);
static void on_readable_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_due_(struct ev_loop *loop, ev_timer *watcher, int events);
static bool flow_queue_(struct flow *flow, const uint8_t *data, size_t size);
static void flow_send_(struct flow *flow);
static void close_with_reset_(int fd);
static void apply_rules_(struct proxy *proxy);
static void on_input_(struct ev_loop *loop, ev_io *watcher, int events);
static void run_commands_(struct proxy *proxy, struct bw_buffer *input,
			  struct bw_buffer *out);
static void on_command_(void *context, const struct bw_frontend_event *event);
static bool commands_open_(struct proxy *proxy, int port);
static void on_signal_(struct ev_loop *loop, ev_signal *watcher, int events);
static void on_time_limit_(struct ev_loop *loop, ev_timer *watcher, int events);
static bool proxy_start_(struct proxy *proxy, const char *path, int port);
static void proxy_finish_(struct proxy *proxy);

int main(int argc, char **argv)
{
	static struct proxy proxy;
	char *path = NULL;
	int port = 0;
	int max_s = 3600;
	GOptionEntry entries[] = {
		{ "config", 0, 0, G_OPTION_ARG_FILENAME, &path, "Address pairs",
		  "FILE" },
		{ "command-port", 0, 0, G_OPTION_ARG_INT, &port,
		  "Loopback port for commands by POST; 0: none", "PORT" },
		{ "max-s", 0, 0, G_OPTION_ARG_INT, &max_s,
		  "End after this time", "S" },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new("- TCP fault proxy");
	ev_signal term;
	ev_signal interrupt;
	ev_timer limit;
	int result = 1;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !path ||
	    max_s < 1) {
		fprintf(stderr, "--config is needed\n");
		goto out;
	}
	signal(SIGPIPE, SIG_IGN);
	proxy.loop = ev_default_loop(EVFLAG_AUTO);
	if (!proxy_start_(&proxy, path, port))
		goto out;
	ev_signal_init(&term, on_signal_, SIGTERM);
	ev_signal_init(&interrupt, on_signal_, SIGINT);
	ev_timer_init(&limit, on_time_limit_, max_s, 0.);
	ev_signal_start(proxy.loop, &term);
	ev_signal_start(proxy.loop, &interrupt);
	ev_timer_start(proxy.loop, &limit);
	printf("ready\n");
	fflush(stdout);
	ev_run(proxy.loop, 0);
	result = 0;
out:
	proxy_finish_(&proxy);
	g_free(path);
	g_option_context_free(context);
	return result;
}

static bool proxy_start_(struct proxy *proxy, const char *path, int port)
{
	struct bw_yaml_error error = { 0 };
	uint32_t i;

	if (fault_config_read(path, &proxy->config, &error) != BW_OK) {
		fprintf(stderr, "%s:%u: %s\n", path, error.line, error.text);
		return false;
	}
	proxy->pairs =
		calloc(proxy->config->pairs_count, sizeof(*proxy->pairs));
	if (!proxy->pairs)
		return false;
	for (i = 0; i < proxy->config->pairs_count; i++) {
		proxy->pairs[i].proxy = proxy;
		if (!pair_open_(&proxy->pairs[i], &proxy->config->pairs[i])) {
			fprintf(stderr, "cannot listen on %s\n",
				proxy->config->pairs[i].listen);
			return false;
		}
		proxy->pair_count++;
	}
	if (port && !commands_open_(proxy, port)) {
		fprintf(stderr, "cannot listen on port %d\n", port);
		return false;
	}
	ev_io_init(&proxy->input_io, on_input_, STDIN_FILENO, EV_READ);
	proxy->input_io.data = proxy;
	if (fcntl(STDIN_FILENO, F_SETFL, O_NONBLOCK) == 0)
		ev_io_start(proxy->loop, &proxy->input_io);
	return true;
}

static void proxy_finish_(struct proxy *proxy)
{
	uint32_t i;

	while (proxy->connections)
		connection_close_(proxy->connections, true);
	for (i = 0; i < proxy->pair_count; i++) {
		ev_io_stop(proxy->loop, &proxy->pairs[i].accept_io);
		close(proxy->pairs[i].fd);
	}
	bw_frontend_free(proxy->frontend);
	bw_buffer_finish(&proxy->input);
	free(proxy->pairs);
	fault_config_free(proxy->config);
}

static bool pair_open_(struct pair *pair, const struct fault_pair *config)
{
	struct sockaddr_in address;
	int enable = 1;

	if (!fault_address_parse(config->listen, &address) ||
	    !fault_address_parse(config->target, &pair->target))
		return false;
	pair->delay_ms = config->delay_ms;
	pair->rate_kbit_per_s = config->rate_kbit_per_s;
	pair->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (pair->fd < 0)
		return false;
	setsockopt(pair->fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
	if (bind(pair->fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(pair->fd, LISTEN_BACKLOG)) {
		close(pair->fd);
		return false;
	}
	ev_io_init(&pair->accept_io, on_accept_, pair->fd, EV_READ);
	pair->accept_io.data = pair;
	ev_io_start(pair->proxy->loop, &pair->accept_io);
	return true;
}

static void on_accept_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct pair *pair = watcher->data;
	struct proxy *proxy = pair->proxy;
	struct sockaddr_in source;
	socklen_t size = sizeof(source);
	struct connection *connection;
	int fd;

	(void)loop;
	(void)events;
	fd = accept4(pair->fd, (struct sockaddr *)&source, &size,
		     SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	connection = proxy->connection_count < CONNECTIONS_MAX
			     ? calloc(1, sizeof(*connection))
			     : NULL;
	if (!connection ||
	    fault_effect_of(&proxy->rules, &source, &pair->target).cut) {
		free(connection);
		close_with_reset_(fd);
		return;
	}
	connection->pair = pair;
	connection->source = source;
	connection->client_fd = fd;
	connection->target_fd = -1;
	ev_io_init(&connection->connect_io, on_connected_, -1, EV_WRITE);
	connection->connect_io.data = connection;
	flow_init_(&connection->flows[0], connection, 0);
	flow_init_(&connection->flows[1], connection, 1);
	connection->next = proxy->connections;
	if (connection->next)
		connection->next->previous = connection;
	proxy->connections = connection;
	proxy->connection_count++;
	connection_apply_rules_(connection);
}

/* Binds to the IP address of the client, so that the target sees it as peer. */
static void connection_open_(struct connection *connection)
{
	struct sockaddr_in local = connection->source;
	int enable = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		connection_close_(connection, true);
		return;
	}
	connection->target_fd = fd;
	local.sin_port = 0;
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enable,
		   sizeof(enable));
	if (bind(fd, (struct sockaddr *)&local, sizeof(local)) ||
	    (connect(fd, (struct sockaddr *)&connection->pair->target,
		     sizeof(connection->pair->target)) &&
	     errno != EINPROGRESS)) {
		connection_close_(connection, true);
		return;
	}
	ev_io_set(&connection->connect_io, fd, EV_WRITE);
	ev_io_start(connection->pair->proxy->loop, &connection->connect_io);
}

static void on_connected_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct connection *connection = watcher->data;
	int error = 0;
	socklen_t size = sizeof(error);

	(void)events;
	ev_io_stop(loop, watcher);
	getsockopt(connection->target_fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		connection_close_(connection, true);
		return;
	}
	connection->connected = true;
	connection_start_(connection);
}

static void connection_start_(struct connection *connection)
{
	int enable = 1;

	setsockopt(connection->client_fd, IPPROTO_TCP, TCP_NODELAY, &enable,
		   sizeof(enable));
	setsockopt(connection->target_fd, IPPROTO_TCP, TCP_NODELAY, &enable,
		   sizeof(enable));
	connection->flows[0].from_fd = connection->flows[1].to_fd =
		connection->client_fd;
	connection->flows[0].to_fd = connection->flows[1].from_fd =
		connection->target_fd;
	if (!connection->frozen) {
		flow_watch_(&connection->flows[0]);
		flow_watch_(&connection->flows[1]);
	}
}

static void connection_close_(struct connection *connection, bool reset)
{
	struct proxy *proxy = connection->pair->proxy;
	struct chunk *chunk;
	int i;

	ev_io_stop(proxy->loop, &connection->connect_io);
	for (i = 0; i < 2; i++) {
		flow_stop_(&connection->flows[i]);
		while ((chunk = connection->flows[i].first)) {
			connection->flows[i].first = chunk->next;
			free(chunk);
		}
	}
	if (reset) {
		close_with_reset_(connection->client_fd);
		if (connection->target_fd >= 0)
			close_with_reset_(connection->target_fd);
	} else {
		close(connection->client_fd);
		close(connection->target_fd);
	}
	if (connection->next)
		connection->next->previous = connection->previous;
	if (connection->previous)
		connection->previous->next = connection->next;
	else
		proxy->connections = connection->next;
	proxy->connection_count--;
	free(connection);
}

/* Applies the active rules to one connection; frees it on a cut or when the
 * connection to the target cannot be started. */
static void connection_apply_rules_(struct connection *connection)
{
	struct fault_effect effect =
		fault_effect_of(&connection->pair->proxy->rules,
				&connection->source, &connection->pair->target);

	if (effect.cut) {
		connection_close_(connection, true);
		return;
	}
	connection->frozen = effect.frozen;
	if (connection->frozen) {
		flow_stop_(&connection->flows[0]);
		flow_stop_(&connection->flows[1]);
	} else if (connection->connected) {
		flow_watch_(&connection->flows[0]);
		flow_watch_(&connection->flows[1]);
	} else if (connection->target_fd < 0) {
		connection_open_(connection);
	}
}

static void flow_init_(struct flow *flow, struct connection *connection,
		       int direction)
{
	flow->connection = connection;
	flow->direction = direction;
	flow->from_fd = flow->to_fd = -1;
	ev_init(&flow->readable, on_readable_);
	ev_init(&flow->writable, on_writable_);
	ev_init(&flow->due_timer, on_due_);
	flow->readable.data = flow->writable.data = flow->due_timer.data = flow;
}

/* Watches for input while the queue is below its limit, and for writability
 * once the first chunk is due. */
static void flow_watch_(struct flow *flow)
{
	struct ev_loop *loop = flow->connection->pair->proxy->loop;
	uint64_t now_us = bw_clock_us();

	flow_stop_(flow);
	if (!flow->eof_received && flow->queued_bytes < QUEUE_LIMIT_BYTES) {
		ev_io_set(&flow->readable, flow->from_fd, EV_READ);
		ev_io_start(loop, &flow->readable);
	}
	if (!flow->first)
		return;
	if (flow->first->due_us <= now_us) {
		ev_io_set(&flow->writable, flow->to_fd, EV_WRITE);
		ev_io_start(loop, &flow->writable);
		return;
	}
	ev_now_update(loop);
	ev_timer_set(&flow->due_timer,
		     (double)(flow->first->due_us - now_us) / US_PER_S, 0.);
	ev_timer_start(loop, &flow->due_timer);
}

static void flow_stop_(struct flow *flow)
{
	struct ev_loop *loop = flow->connection->pair->proxy->loop;

	ev_io_stop(loop, &flow->readable);
	ev_io_stop(loop, &flow->writable);
	ev_timer_stop(loop, &flow->due_timer);
}

static void on_readable_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct flow *flow = watcher->data;
	uint8_t data[CHUNK_BYTES];
	ssize_t received = recv(flow->from_fd, data, sizeof(data), 0);

	(void)loop;
	(void)events;
	if (received < 0 && errno == EAGAIN)
		return;
	if (received < 0) {
		connection_close_(flow->connection, true);
		return;
	}
	if (!received)
		flow->eof_received = true;
	/* End of stream is queued as an empty chunk, so it is delayed too. */
	if (!flow_queue_(flow, data, (size_t)received)) {
		connection_close_(flow->connection, true);
		return;
	}
	flow_send_(flow);
}

static void on_writable_(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	flow_send_(watcher->data);
}

static void on_due_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	flow_send_(watcher->data);
}

static bool flow_queue_(struct flow *flow, const uint8_t *data, size_t size)
{
	struct connection *connection = flow->connection;
	struct pair *pair = connection->pair;
	struct fault_effect effect = fault_effect_of(
		&pair->proxy->rules, &connection->source, &pair->target);
	uint32_t rate_kbit_per_s = effect.rate_kbit_per_s
					   ? effect.rate_kbit_per_s
					   : pair->rate_kbit_per_s;
	uint64_t transmission_end_us = bw_clock_us();
	struct chunk *chunk = malloc(sizeof(*chunk) + size);

	if (!chunk)
		return false;
	if (rate_kbit_per_s) {
		if (transmission_end_us < pair->busy_until_us[flow->direction])
			transmission_end_us =
				pair->busy_until_us[flow->direction];
		transmission_end_us += (uint64_t)size * 8 *
				       US_PER_BIT_AT_1_KBIT_PER_S /
				       rate_kbit_per_s;
		pair->busy_until_us[flow->direction] = transmission_end_us;
	}
	chunk->next = NULL;
	chunk->due_us =
		transmission_end_us +
		(uint64_t)(pair->delay_ms + effect.delay_ms) * US_PER_MS;
	/* A shorter delay must not reorder bytes. */
	if (flow->first && chunk->due_us < flow->last->due_us)
		chunk->due_us = flow->last->due_us;
	chunk->size_bytes = size;
	chunk->sent_bytes = 0;
	memcpy(chunk->data, data, size);
	if (flow->first)
		flow->last->next = chunk;
	else
		flow->first = chunk;
	flow->last = chunk;
	flow->queued_bytes += size;
	return true;
}

static void flow_send_(struct flow *flow)
{
	struct connection *connection = flow->connection;
	struct chunk *chunk;
	ssize_t sent;

	while ((chunk = flow->first) && chunk->due_us <= bw_clock_us()) {
		if (!chunk->size_bytes) {
			shutdown(flow->to_fd, SHUT_WR);
			flow->eof_sent = true;
		} else {
			sent = send(flow->to_fd,
				    chunk->data + chunk->sent_bytes,
				    chunk->size_bytes - chunk->sent_bytes,
				    MSG_NOSIGNAL);
			if (sent < 0 && errno == EAGAIN)
				break;
			if (sent < 0) {
				connection_close_(connection, true);
				return;
			}
			chunk->sent_bytes += (size_t)sent;
			flow->queued_bytes -= (size_t)sent;
			if (chunk->sent_bytes < chunk->size_bytes)
				break;
		}
		flow->first = chunk->next;
		free(chunk);
	}
	if (connection->flows[0].eof_sent && connection->flows[1].eof_sent) {
		connection_close_(connection, false);
		return;
	}
	flow_watch_(flow);
}

static void close_with_reset_(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void apply_rules_(struct proxy *proxy)
{
	struct connection *connection = proxy->connections;
	struct connection *next;

	for (; connection; connection = next) {
		next = connection->next;
		connection_apply_rules_(connection);
	}
}

static void on_input_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct proxy *proxy = watcher->data;
	struct bw_buffer out = { 0 };
	char data[1024];
	ssize_t received = read(STDIN_FILENO, data, sizeof(data));

	(void)events;
	if (received < 0 && errno == EAGAIN)
		return;
	if (received <= 0) {
		ev_io_stop(loop, watcher);
		return;
	}
	bw_buffer_append(&proxy->input, data, (size_t)received);
	run_commands_(proxy, &proxy->input, &out);
	if (proxy->input.size_bytes > COMMAND_LIMIT_BYTES)
		bw_buffer_clear(&proxy->input);
	if (out.size_bytes)
		fwrite(out.data, 1, out.size_bytes, stdout);
	fflush(stdout);
	bw_buffer_finish(&out);
}

/* Executes and consumes each complete line. */
static void run_commands_(struct proxy *proxy, struct bw_buffer *input,
			  struct bw_buffer *out)
{
	uint8_t *end;
	bool changed = false;

	while (input->size_bytes &&
	       (end = memchr(input->data, '\n', input->size_bytes))) {
		*end = '\0';
		changed |= fault_command(&proxy->rules,
					 (const char *)input->data, out);
		bw_buffer_consume(input, (size_t)(end - input->data) + 1);
	}
	if (changed)
		apply_rules_(proxy);
}

static bool commands_open_(struct proxy *proxy, int port)
{
	struct bw_frontend_listener listener = {
		.address = "127.0.0.1",
		.port = (uint16_t)port,
		.connection_limit = 16,
		.idle_timeout_s = 60,
		.header_limit_bytes = 4096,
		.body_limit_bytes = COMMAND_LIMIT_BYTES,
	};
	struct bw_frontend_config config = {
		.listeners = &listener,
		.listener_count = 1,
		.ring_bytes = 4096,
		.handler = { .context = proxy, .event = on_command_ },
	};

	return bw_frontend_new(&proxy->frontend, proxy->loop, &config) == BW_OK;
}

static void on_command_(void *context, const struct bw_frontend_event *event)
{
	struct bw_buffer *body = bw_request_context(event->request);
	struct bw_buffer out = { 0 };

	switch (event->kind) {
	case BW_FRONTEND_HEAD:
		bw_request_set_context(event->request,
				       calloc(1, sizeof(*body)));
		break;
	case BW_FRONTEND_BODY:
		if (body)
			bw_buffer_append(body, event->data, event->size_bytes);
		break;
	case BW_FRONTEND_BODY_END:
		if (body && bw_buffer_append(body, "\n", 1) == BW_OK)
			run_commands_(context, body, &out);
		bw_request_respond(event->request, 200, NULL, 0, out.data,
				   out.size_bytes);
		bw_buffer_finish(&out);
		break;
	case BW_FRONTEND_DONE:
		if (body)
			bw_buffer_finish(body);
		free(body);
		break;
	default:
		break;
	}
}

static void on_signal_(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void on_time_limit_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

#include "bwproxy/listener.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "private/address.h"
#include "private/listener_private.h"

/** Listen backlog of the kernel; sized for a burst of clients. */
#define BACKLOG 1024

/** Size of one read. */
#define READ_BYTES 16384

/** Limit of pipelined bytes buffered while a request is in progress. */
#define PIPELINED_MAX_BYTES 65536

/** Size of the input whose memory is kept between requests. */
#define INPUT_KEPT_MAX_BYTES 4096

/** Receive buffer of a socket that is not read from. */
#define PAUSED_SOCKET_BYTES 65536

/** Maximum number of connections accepted per loop iteration. */
#define ACCEPT_BATCH 64

/** Default of unavailable_fields: tells clients of a 503 that has not run
 * when to send it again, in seconds. */
#define RETRY_AFTER_LINE "Retry-After: 1\r\n"

/**
 * Time for which a closing listener waits for a request on a connection that is
 * without one.
 */
#define CLOSE_IDLE_MS 250

/** Resolution of the connection timeouts. */
#define SWEEP_INTERVAL_S 0.25

/**
 * Largest part of the time between two sweeps that counts for timeouts. More
 * means that the loop did not run; what arrived meanwhile is still unread.
 */
#define SWEEP_COUNTED_MAX_MS 300

/** Longest time for which a rejected client's bytes are read and dropped. */
#define LINGER_MAX_MS 2000

/** Maximum number of connections whose bytes are read and dropped. */
#define LINGERING_MAX 64

static void leave_memory_(struct bw_listener *listener);
static int open_socket_(const char *address);
static void stop_accepting_(struct bw_listener *listener);
static bool may_close_(struct bw_server_connection *connection);
static void on_accept_(struct ev_loop *loop, ev_io *watcher, int events);
static int accept_batch_(struct bw_listener *listener);
static void pause_accepting_(struct bw_listener *listener);
static void reject_connection_(struct bw_listener *listener, int fd,
			       uint32_t peer);
static void add_connection_(struct bw_listener *listener, int fd,
			    uint32_t peer);
static void on_readable_(struct ev_loop *loop, ev_io *watcher, int events);
static void limit_pipelined_(struct bw_server_connection *connection);
static void pause_reading_(struct bw_server_connection *connection);
static void on_writable_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_sweep_(struct ev_loop *loop, ev_timer *watcher, int events);
static void check_age_(struct bw_server_connection *connection,
		       struct bw_time now);
static void count_pause_(struct bw_listener *listener);
static void handle_lack_of_memory_(struct bw_server_connection *connection);
static void begin_request_(struct bw_server_connection *connection);
static void read_request_(struct bw_server_connection *connection);
static void note_progress_(struct bw_server_connection *connection,
			   size_t read_bytes);
static bool admit_body_(struct bw_server_connection *connection);
static void send_continue_(struct bw_server_connection *connection);
static void reject_request_(struct bw_server_connection *connection,
			    enum bw_listener_cause cause);
static void drop_input_(struct bw_server_connection *connection,
			size_t size_bytes);

enum bw_status bw_listener_init(struct bw_listener *listener,
				const struct bw_listener_config *config)
{
	memset(listener, 0, sizeof(*listener));
	listener->config = *config;
	bw_loop_clock_init(&listener->clock, config->loop);
	listener->swept_at = bw_loop_clock_now(&listener->clock);
	listener->fd = open_socket_(config->address);
	if (listener->fd < 0)
		return BW_EIO;
	ev_io_init(&listener->accept_watcher, on_accept_, listener->fd,
		   EV_READ);
	listener->accept_watcher.data = listener;
	ev_io_start(config->loop, &listener->accept_watcher);
	ev_timer_init(&listener->sweep_timer, on_sweep_, SWEEP_INTERVAL_S,
		      SWEEP_INTERVAL_S);
	listener->sweep_timer.data = listener;
	ev_timer_start(config->loop, &listener->sweep_timer);
	if (config->memory) {
		if (!config->body_budget)
			listener->config.body_budget =
				&config->memory->requests;
		listener->next = config->memory->listeners;
		config->memory->listeners = listener;
	}
	return BW_OK;
}

void bw_listener_finish(struct bw_listener *listener)
{
	if (!listener->config.loop)
		return;
	while (listener->connections)
		listener_close(listener->connections, false);
	ev_timer_stop(listener->config.loop, &listener->sweep_timer);
	ev_io_stop(listener->config.loop, &listener->accept_watcher);
	if (listener->fd >= 0)
		close(listener->fd);
	listener->fd = -1;
	leave_memory_(listener);
}

void bw_listener_set_timeouts(struct bw_listener *listener,
			      uint32_t head_timeout_ms,
			      uint32_t idle_timeout_ms)
{
	listener->config.head_timeout_ms = head_timeout_ms;
	listener->config.idle_timeout_ms = idle_timeout_ms;
}

void bw_listener_begin_close(struct bw_listener *listener)
{
	listener->closing = true;
}

void bw_listener_close_idle(struct bw_listener *listener)
{
	struct bw_server_connection *connection = listener->connections;
	struct bw_server_connection *next;

	stop_accepting_(listener);
	for (; connection; connection = next) {
		next = connection->next;
		if (may_close_(connection))
			listener_close(connection, false);
	}
}

bool bw_listener_is_idle(const struct bw_listener *listener)
{
	const struct bw_server_connection *connection;

	for (connection = listener->connections; connection;
	     connection = connection->next) {
		if (connection->busy || connection->reader.started)
			return false;
	}
	return bw_listener_is_flushed(listener);
}

bool bw_listener_is_flushed(const struct bw_listener *listener)
{
	const struct bw_server_connection *connection;

	for (connection = listener->connections; connection;
	     connection = connection->next) {
		if (listener_has_output(connection))
			return false;
	}
	return true;
}

void **bw_connection_context(struct bw_server_connection *connection)
{
	return &connection->context;
}

uint32_t bw_connection_peer(const struct bw_server_connection *connection)
{
	return connection->peer;
}

bool bw_connection_is_closed(const struct bw_server_connection *connection)
{
	uint8_t byte;
	ssize_t received =
		recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	if (received < 0)
		return errno != EAGAIN && errno != EINTR;
	return received == 0;
}

int64_t bw_connection_request_age_ms(struct bw_server_connection *connection)
{
	return bw_time_diff_ms(bw_loop_clock_now(&connection->listener->clock),
			       connection->began_at);
}

const struct bw_http_message *
bw_connection_request(const struct bw_server_connection *connection)
{
	return &connection->reader.message;
}

void bw_connection_take_body(struct bw_server_connection *connection,
			     struct bw_body *body)
{
	bw_body_move(body, &connection->body);
	body->bytes = connection->reader.message.body;
	bw_buffer_init(&connection->reader.message.body);
}

static void leave_memory_(struct bw_listener *listener)
{
	struct bw_listener **link;

	if (!listener->config.memory)
		return;
	for (link = &listener->config.memory->listeners; *link;
	     link = &(*link)->next) {
		if (*link == listener) {
			*link = listener->next;
			return;
		}
	}
}

static int open_socket_(const char *address)
{
	struct sockaddr_in local;
	int on = 1;
	int fd;

	if (!address_parse(address, &local)) {
		errno = EINVAL;
		return -1;
	}
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&local, sizeof(local)) ||
	    listen(fd, BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Connections that the kernel has queued are reset if the socket is closed. */
static void stop_accepting_(struct bw_listener *listener)
{
	if (listener->fd < 0)
		return;
	while (accept_batch_(listener) == ACCEPT_BATCH)
		;
	ev_io_stop(listener->config.loop, &listener->accept_watcher);
	close(listener->fd);
	listener->fd = -1;
}

/* A request may be on its way, or unread in the socket. */
static bool may_close_(struct bw_server_connection *connection)
{
	struct bw_time now = listener_run_time(connection->listener);
	uint8_t byte;

	if (connection->busy || listener_has_output(connection) ||
	    connection->reader.started ||
	    bw_time_diff_ms(now, connection->state_since) < CLOSE_IDLE_MS)
		return false;
	return recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <= 0;
}

static void on_accept_(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	accept_batch_(watcher->data);
}

/* @return the number of connections that the kernel had queued, up to a limit
 */
static int accept_batch_(struct bw_listener *listener)
{
	struct sockaddr_in peer;
	socklen_t peer_bytes;
	int fd;
	int i;

	for (i = 0; i < ACCEPT_BATCH; i++) {
		peer_bytes = sizeof(peer);
		fd = accept4(listener->fd, (struct sockaddr *)&peer,
			     &peer_bytes, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0 && (errno == EMFILE || errno == ENFILE)) {
			if (listener_evict_for_connection(listener))
				continue;
			pause_accepting_(listener);
		}
		if (fd < 0)
			break;
		listener->accepted_count++;
		if (listener->connection_count >=
			    listener->config.connections_max &&
		    !listener_evict_for_connection(listener)) {
			reject_connection_(listener, fd, peer.sin_addr.s_addr);
			continue;
		}
		add_connection_(listener, fd, peer.sin_addr.s_addr);
	}
	return i;
}

/* The listening socket stays readable, and the loop would spin. */
static void pause_accepting_(struct bw_listener *listener)
{
	listener->accept_paused = true;
	ev_io_stop(listener->config.loop, &listener->accept_watcher);
}

static void reject_connection_(struct bw_listener *listener, int fd,
			       uint32_t peer)
{
	const struct bw_eviction_candidate candidate = {
		.phase = BW_EVICTION_UNUSED
	};

	listener->rejected_count++;
	listener_report_eviction(listener, BW_EVICTION_FULL, &candidate, peer);
	close(fd);
}

static void add_connection_(struct bw_listener *listener, int fd, uint32_t peer)
{
	struct bw_server_connection *connection =
		calloc(1, sizeof(*connection));
	int on = 1;

	if (!connection) {
		listener->rejected_count++;
		close(fd);
		return;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	connection->listener = listener;
	connection->fd = fd;
	connection->peer = peer;
	connection->state_since = listener_run_time(listener);
	connection->body.budget = listener->config.body_budget;
	bw_http_reader_init(&connection->reader, HTTP_REQUEST,
			    &listener->config.limits);
	connection->next = listener->connections;
	connection->previous = &listener->connections;
	if (connection->next)
		connection->next->previous = &connection->next;
	listener->connections = connection;
	listener->connection_count++;
	ev_io_init(&connection->read_watcher, on_readable_, fd, EV_READ);
	connection->read_watcher.data = connection;
	ev_io_init(&connection->write_watcher, on_writable_, fd, EV_WRITE);
	connection->write_watcher.data = connection;
	ev_io_start(listener->config.loop, &connection->read_watcher);
	/* The request has usually arrived already; read without polling. */
	ev_feed_event(listener->config.loop, &connection->read_watcher,
		      EV_READ);
}

static void on_readable_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct bw_server_connection *connection = watcher->data;
	static uint8_t bytes[READ_BYTES];
	ssize_t received;

	(void)loop;
	if (!(events & EV_CUSTOM)) {
		received = recv(connection->fd, bytes, sizeof(bytes), 0);
		if (received < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (received <= 0) {
			listener_close(connection, true);
			return;
		}
		if (connection->lingering) {
			drop_input_(connection, (size_t)received);
			return;
		}
		if (bw_buffer_append(&connection->in, bytes,
				     (size_t)received) != BW_OK) {
			handle_lack_of_memory_(connection);
			return;
		}
	}
	if (!connection->busy && !connection->close_after_write &&
	    !listener_has_output(connection))
		read_request_(connection);
	else
		limit_pipelined_(connection);
}

/*
 * What is sent ahead while the client doesn't read, or memory is short, stays
 * in the socket until the response is sent. A client that disconnects is then
 * noticed late.
 */
static void limit_pipelined_(struct bw_server_connection *connection)
{
	bool too_much = connection->in.size_bytes > PIPELINED_MAX_BYTES;

	listener_charge(connection);
	if (connection->busy && too_much)
		listener_close(connection, true);
	else if (too_much || !listener_evict_for_head(connection))
		pause_reading_(connection);
}

/* Unread bytes in sockets count as memory of the process, so they are limited
 * and charged as well. */
static void pause_reading_(struct bw_server_connection *connection)
{
	int buffer_bytes = PAUSED_SOCKET_BYTES / 2; /* the kernel doubles it */

	ev_io_stop(connection->listener->config.loop,
		   &connection->read_watcher);
	setsockopt(connection->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	connection->unread_max_bytes = PAUSED_SOCKET_BYTES;
	listener_charge(connection);
	if (!connection->busy && !listener_evict_for_head(connection))
		listener_evict(connection, BW_EVICTION_MEMORY);
}

static void on_writable_(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	if (listener_flush(watcher->data))
		listener_read_pipelined(watcher->data);
}

static void on_sweep_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct bw_listener *listener = watcher->data;
	struct bw_server_connection *connection = listener->connections;
	struct bw_server_connection *next;
	struct bw_time now;

	(void)loop;
	(void)events;
	count_pause_(listener);
	now = listener_run_time(listener);
	for (; connection; connection = next) {
		next = connection->next;
		if (!connection->busy)
			check_age_(connection, now);
	}
	listener_evict_for_responses(listener);
	if (listener->accept_paused && listener->fd >= 0) {
		listener->accept_paused = false;
		ev_io_start(listener->config.loop, &listener->accept_watcher);
	}
}

/* The head timeout covers the head; after it the client must not be idle. */
static void check_age_(struct bw_server_connection *connection,
		       struct bw_time now)
{
	const struct bw_listener_config *config = &connection->listener->config;
	int64_t age_ms = bw_time_diff_ms(now, connection->state_since);

	if (connection->lingering) {
		if (age_ms > LINGER_MAX_MS)
			listener_close(connection, false);
	} else if (listener_has_output(connection)) {
		if (age_ms > config->idle_timeout_ms)
			listener_evict(connection, BW_EVICTION_SLOW_READER);
	} else if (!connection->reader.started) {
		if (age_ms > config->idle_timeout_ms)
			listener_close(connection, false);
	} else if (!connection->reader.message.head_complete) {
		if (age_ms > config->head_timeout_ms)
			reject_request_(connection, BW_LISTENER_HEAD_TIMEOUT);
	} else if (age_ms > config->idle_timeout_ms) {
		reject_request_(connection, BW_LISTENER_BODY_TIMEOUT);
	}
}

static void count_pause_(struct bw_listener *listener)
{
	struct bw_time now = bw_loop_clock_now(&listener->clock);
	int64_t interval_ms = bw_time_diff_ms(now, listener->swept_at);

	if (interval_ms > SWEEP_COUNTED_MAX_MS)
		listener->paused_ms += interval_ms - SWEEP_COUNTED_MAX_MS;
	listener->swept_at = now;
}

struct bw_time listener_run_time(struct bw_listener *listener)
{
	return bw_time_add(bw_loop_clock_now(&listener->clock),
			   -listener->paused_ms);
}

/* Received bytes cannot be kept. */
static void handle_lack_of_memory_(struct bw_server_connection *connection)
{
	if (connection->busy || connection->close_after_write ||
	    listener_has_output(connection)) {
		listener_close(connection, true);
		return;
	}
	if (!connection->reader.started)
		begin_request_(connection);
	reject_request_(connection, BW_LISTENER_NO_MEMORY);
}

static void begin_request_(struct bw_server_connection *connection)
{
	const struct bw_listener_config *config = &connection->listener->config;

	connection->state_since = listener_run_time(connection->listener);
	connection->began_at = bw_loop_clock_now(&connection->listener->clock);
	connection->parsed_bytes = 0;
	connection->reader.limits = config->limits;
}

static void read_request_(struct bw_server_connection *connection)
{
	struct bw_listener *listener = connection->listener;
	enum bw_http_progress progress;
	bool reads_body = connection->reader.message.head_complete;
	size_t used_bytes;

	if (!connection->in.size_bytes)
		return;
	if (!connection->reader.started)
		begin_request_(connection);
	progress = bw_http_reader_feed(&connection->reader, connection->in.data,
				       connection->in.size_bytes, &used_bytes);
	bw_buffer_consume(&connection->in, used_bytes);
	connection->parsed_bytes += used_bytes;
	if (reads_body)
		note_progress_(connection, used_bytes);
	else if (connection->reader.message.head_complete)
		connection->state_since = listener_run_time(listener);
	if (!connection->in.size_bytes &&
	    connection->in.capacity_bytes > INPUT_KEPT_MAX_BYTES)
		bw_buffer_finish(&connection->in);
	listener_charge(connection);
	if ((progress == BW_HTTP_INCOMPLETE || progress == BW_HTTP_COMPLETE) &&
	    !listener_evict_for_head(connection))
		progress = BW_HTTP_NO_MEMORY;
	switch (progress) {
	case BW_HTTP_INCOMPLETE:
		if (admit_body_(connection))
			send_continue_(connection);
		break;
	case BW_HTTP_COMPLETE:
		if (!admit_body_(connection))
			break;
		connection->busy = true;
		listener->busy_count++;
		listener->config.handler->request(listener->config.context,
						  connection,
						  &connection->reader.message);
		break;
	case BW_HTTP_MALFORMED:
		reject_request_(connection, BW_LISTENER_MALFORMED);
		break;
	case BW_HTTP_HEAD_TOO_LARGE:
		reject_request_(connection, BW_LISTENER_HEAD_TOO_LARGE);
		break;
	case BW_HTTP_BODY_TOO_LARGE:
		reject_request_(connection, BW_LISTENER_BODY_TOO_LARGE);
		break;
	case BW_HTTP_NO_MEMORY:
		reject_request_(connection, BW_LISTENER_NO_MEMORY);
		break;
	case BW_HTTP_UNKNOWN_METHOD:
		reject_request_(connection, BW_LISTENER_UNKNOWN_METHOD);
		break;
	}
}

static void note_progress_(struct bw_server_connection *connection,
			   size_t read_bytes)
{
	uint64_t rate = bw_eviction_least_rate(
		bw_http_reader_body_bytes(&connection->reader));

	connection->state_since =
		bw_eviction_progress(connection->state_since, read_bytes, rate,
				     listener_run_time(connection->listener));
}

/*
 * Charges the body as soon as its length is known, or as it grows, and rejects
 * a request whose body is too large or exceeds the budget. Without a
 * reservation, a growing body takes up to two and a half times its size.
 * @return whether the request was not rejected
 */
static bool admit_body_(struct bw_server_connection *connection)
{
	struct bw_http_reader *reader = &connection->reader;
	uint64_t total_bytes = bw_http_reader_body_bytes(reader);

	if (total_bytes > reader->limits.body_max_bytes) {
		reject_request_(connection, BW_LISTENER_BODY_TOO_LARGE);
		return false;
	}
	while (!bw_body_charge(&connection->body, total_bytes)) {
		if (listener_evict_for_body(connection))
			continue;
		reject_request_(connection, BW_LISTENER_BODY_MEMORY);
		return false;
	}
	if (!(reader->parser.flags & F_CHUNKED) &&
	    bw_buffer_reserve(&reader->message.body, (size_t)total_bytes) !=
		    BW_OK) {
		reject_request_(connection, BW_LISTENER_NO_MEMORY);
		return false;
	}
	return true;
}

void listener_free_body(struct bw_server_connection *connection)
{
	bw_buffer_finish(&connection->reader.message.body);
	bw_body_finish(&connection->body);
}

static void send_continue_(struct bw_server_connection *connection)
{
	static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const struct bw_http_message *message = &connection->reader.message;
	char value[16];

	if (!message->head_complete || connection->continue_sent ||
	    !bw_http_find(message, "Expect", value, sizeof(value)))
		return;
	connection->continue_sent = true;
	bw_buffer_append(&connection->out, text, sizeof(text) - 1);
	listener_flush(connection);
}

/*
 * Responds with an error to an invalid request and closes the connection. The
 * client may still be sending: closing with unread bytes resets the connection,
 * and a client that gets a reset may lose the response. So the connection is
 * first closed for writing, and what arrives is dropped for a while.
 */
static void reject_request_(struct bw_server_connection *connection,
			    enum bw_listener_cause cause)
{
	struct bw_listener *listener = connection->listener;
	uint16_t status_code = bw_listener_cause_status[cause];
	struct bw_buffer fields;

	listener_report_rejection(connection, cause,
				  listener_run_time(listener));
	listener_free_body(connection);
	/* The response needs memory, and the request is not read again. */
	bw_http_message_finish(&connection->reader.message);
	connection->reader.started = false;
	connection->state_since = listener_run_time(connection->listener);
	connection->close_after_write = true;
	if (listener->lingering_count < LINGERING_MAX) {
		connection->lingering = true;
		listener->lingering_count++;
	}
	bw_buffer_finish(&connection->in);
	listener_charge(connection);
	bw_buffer_init(&fields);
	if (status_code == 503)
		listener_append_unavailable(listener, &fields);
	listener_write_head(&connection->out, status_code, &fields, 0, true);
	bw_buffer_finish(&fields);
	listener_flush(connection);
}

void listener_append_unavailable(const struct bw_listener *listener,
				 struct bw_buffer *fields)
{
	const char *lines = listener->config.unavailable_fields
				    ? listener->config.unavailable_fields
				    : RETRY_AFTER_LINE;

	bw_buffer_append(fields, lines, strlen(lines));
}

/* Drops no more than an accepted request may send. */
static void drop_input_(struct bw_server_connection *connection,
			size_t size_bytes)
{
	const struct bw_http_limits *limits = &connection->reader.limits;

	connection->dropped_bytes += size_bytes;
	if (connection->dropped_bytes >
	    (uint64_t)limits->head_max_bytes + limits->body_max_bytes)
		listener_close(connection, false);
}

void listener_close(struct bw_server_connection *connection,
		    bool notify_handler)
{
	struct bw_listener *listener = connection->listener;
	struct ev_loop *loop = listener->config.loop;

	if (connection->busy) {
		listener->busy_count--;
		if (notify_handler)
			listener->config.handler->disconnected(
				listener->config.context, connection);
	}
	if (connection->lingering)
		listener->lingering_count--;
	ev_io_stop(loop, &connection->read_watcher);
	ev_io_stop(loop, &connection->write_watcher);
	/* Send the response and FIN first, because close sends a reset when
	 * received bytes are unread. */
	shutdown(connection->fd, SHUT_WR);
	close(connection->fd);
	*connection->previous = connection->next;
	if (connection->next)
		connection->next->previous = connection->previous;
	listener->connection_count--;
	if (listener->config.memory)
		bw_memory_charge_connection(listener->config.memory,
					    &connection->charged_bytes, 0);
	listener_free_body(connection);
	bw_body_finish(&connection->out_body);
	bw_http_reader_finish(&connection->reader);
	bw_buffer_finish(&connection->in);
	bw_buffer_finish(&connection->out);
	free(connection);
}

#include "bwproxy/pool.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "private/address.h"

/** Size of the receive buffer. */
#define READ_BYTES 16384

/** Resolution of the connect and idle timeouts. */
#define SWEEP_INTERVAL_S 0.1

/** Sizes of the copies of an address and of a request id. */
#define ADDRESS_BYTES 32
#define ID_BYTES 128

/** Idle connections close after this fraction of the Keep-Alive timeout. */
#define KEEP_ALIVE_FRACTION 0.7

/** A body up to this size is copied behind its head, to send both at once. */
#define COPIED_BODY_MAX_BYTES 16384

/** Bodies without a known size are charged in steps of this size. */
#define CHARGE_STEP_BYTES 65536

/** Responses to other requests skipped before the request fails. */
#define SKIPPED_RESPONSES_MAX 4

/** Interim responses (1xx) read before the request fails. */
#define INTERIM_RESPONSES_MAX 32

struct bw_pool_connection {
	struct bw_pool *pool;
	struct bw_pool_connection *next;
	struct bw_pool_connection **previous; /**< the pointer to this one */
	struct bw_pool_connection *next_idle;
	char address[ADDRESS_BYTES];
	char id[ID_BYTES];
	int fd;
	bool connected;
	bool busy; /**< has a request in progress */
	bool sent; /**< a byte of the request in progress was written */
	uint32_t skipped_responses; /**< since the request was sent */
	struct bw_time since; /**< start of the connect or idle time */
	int64_t idle_limit_ms; /**< from idle_ms and the Keep-Alive field */
	uint32_t interim_responses; /**< since the request was sent */
	void *request; /**< caller's pointer, passed to the callbacks */
	ev_io read_watcher;
	ev_io write_watcher;
	struct bw_buffer out; /**< head, and a small body */
	const uint8_t *body; /**< caller's, to send after out */
	size_t body_bytes; /**< of body that are not sent yet */
	struct bw_http_reader reader;
	struct bw_body response_body; /**< charge of the body in reader; no
					  bytes */
	bool paused; /**< not read from, see struct bw_pool */
};

static struct bw_pool_connection *take_idle_(struct bw_pool *pool,
					     const char *address);
static struct bw_pool_connection *open_connection_(struct bw_pool *pool,
						   const char *address);
static struct bw_pool_connection *find_oldest_idle_(const struct bw_pool *pool);
static void on_readable_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_sweep_(struct ev_loop *loop, ev_timer *watcher, int events);
static void parse_responses_(struct bw_pool_connection *connection,
			     const uint8_t *data, size_t size_bytes);
static void handle_response_(struct bw_pool_connection *connection,
			     size_t extra_bytes);
static void admit_body_(struct bw_pool_connection *connection);
static bool is_ordinary_(const struct bw_pool_connection *connection);
static bool charge_body_(struct bw_pool_connection *connection);
static void resume_paused_(struct bw_pool *pool);
static bool is_matching_response_(const struct bw_pool_connection *connection);
static enum bw_status set_output_(struct bw_pool_connection *connection,
				  const struct bw_pool_request *request);
static void write_request_(struct bw_pool_connection *connection);
static ssize_t write_piece_(struct bw_pool_connection *connection,
			    const uint8_t *data, size_t size_bytes);
static void fail_request_(struct bw_pool_connection *connection,
			  enum bw_pool_result result);
static void add_idle_(struct bw_pool_connection *connection);
static void unlink_idle_(struct bw_pool_connection *connection);
static void close_connection_(struct bw_pool_connection *connection);

const char *const bw_pool_result_string[BW_POOL_RESULT_COUNT] = {
	[BW_POOL_RESPONSE] = "response",
	[BW_POOL_NOT_SENT] = "not_sent",
	[BW_POOL_CLOSED] = "closed",
	[BW_POOL_INVALID] = "invalid",
};

enum bw_status bw_pool_init(struct bw_pool *pool,
			    const struct bw_pool_config *config)
{
	memset(pool, 0, sizeof(*pool));
	pool->config = *config;
	bw_loop_clock_init(&pool->clock, config->loop);
	g_queue_init(&pool->paused);
	pool->idle =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ev_timer_init(&pool->sweep_timer, on_sweep_, SWEEP_INTERVAL_S,
		      SWEEP_INTERVAL_S);
	pool->sweep_timer.data = pool;
	ev_timer_start(config->loop, &pool->sweep_timer);
	return BW_OK;
}

void bw_pool_finish(struct bw_pool *pool)
{
	if (!pool->idle)
		return;
	while (pool->connections)
		close_connection_(pool->connections);
	ev_timer_stop(pool->config.loop, &pool->sweep_timer);
	g_hash_table_destroy(pool->idle);
	pool->idle = NULL;
}

struct bw_pool_connection *bw_pool_send(struct bw_pool *pool,
					const struct bw_pool_request *request)
{
	struct bw_pool_connection *connection =
		take_idle_(pool, request->address);

	if (connection)
		pool->reused_count++;
	else
		connection = open_connection_(pool, request->address);
	if (!connection)
		return NULL;
	g_strlcpy(connection->id, request->id, sizeof(connection->id));
	connection->busy = true;
	connection->sent = false;
	connection->skipped_responses = 0;
	connection->interim_responses = 0;
	connection->request = request->request;
	bw_http_reader_next(&connection->reader);
	connection->reader.skip_body = request->head_response;
	if (set_output_(connection, request) != BW_OK) {
		close_connection_(connection);
		return NULL;
	}
	ev_io_start(pool->config.loop, &connection->write_watcher);
	if (connection->connected)
		ev_feed_event(pool->config.loop, &connection->write_watcher,
			      EV_WRITE);
	return connection;
}

void bw_pool_cancel(struct bw_pool_connection *connection)
{
	close_connection_(connection);
}

bool bw_pool_was_sent(const struct bw_pool_connection *connection)
{
	return connection->sent;
}

bool bw_pool_needs_body(const struct bw_pool_connection *connection)
{
	return connection->body_bytes > 0;
}

bool bw_pool_is_full(const struct bw_pool *pool)
{
	return pool->connection_count >= pool->config.connections_max &&
	       !find_oldest_idle_(pool);
}

void bw_pool_close_idle(struct bw_pool *pool, const char *address)
{
	struct bw_pool_connection *connection;

	while ((connection = take_idle_(pool, address)))
		close_connection_(connection);
}

static struct bw_pool_connection *take_idle_(struct bw_pool *pool,
					     const char *address)
{
	struct bw_pool_connection *connection;
	uint8_t byte;

	while ((connection = g_hash_table_lookup(pool->idle, address))) {
		/* The server may have closed it since the last event. */
		if (recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) <
			    0 &&
		    errno == EAGAIN) {
			unlink_idle_(connection);
			return connection;
		}
		close_connection_(connection);
	}
	return NULL;
}

static struct bw_pool_connection *open_connection_(struct bw_pool *pool,
						   const char *address)
{
	struct bw_pool_connection *connection;
	struct sockaddr_in server_address;
	int enable = 1;
	int fd;

	if (bw_pool_is_full(pool) || !address_parse(address, &server_address))
		return NULL;
	if (pool->connection_count >= pool->config.connections_max)
		close_connection_(find_oldest_idle_(pool));
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return NULL;
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
	if (connect(fd, (struct sockaddr *)&server_address,
		    sizeof(server_address)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	connection = calloc(1, sizeof(*connection));
	if (!connection) {
		close(fd);
		return NULL;
	}
	connection->pool = pool;
	connection->fd = fd;
	connection->since = bw_loop_clock_now(&pool->clock);
	connection->idle_limit_ms = pool->config.idle_ms;
	connection->response_body.budget = pool->config.budget;
	g_strlcpy(connection->address, address, sizeof(connection->address));
	bw_http_reader_init(&connection->reader, HTTP_RESPONSE,
			    &pool->config.limits);
	connection->next = pool->connections;
	connection->previous = &pool->connections;
	if (connection->next)
		connection->next->previous = &connection->next;
	pool->connections = connection;
	pool->connection_count++;
	pool->opened_count++;
	ev_io_init(&connection->read_watcher, on_readable_, fd, EV_READ);
	connection->read_watcher.data = connection;
	ev_io_init(&connection->write_watcher, on_writable_, fd, EV_WRITE);
	connection->write_watcher.data = connection;
	return connection;
}

static struct bw_pool_connection *find_oldest_idle_(const struct bw_pool *pool)
{
	struct bw_pool_connection *oldest = NULL;
	struct bw_pool_connection *connection;

	for (connection = pool->connections; connection;
	     connection = connection->next) {
		if (!connection->busy &&
		    (!oldest || connection->since.ms < oldest->since.ms))
			oldest = connection;
	}
	return oldest;
}

static void on_readable_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct bw_pool_connection *connection = watcher->data;
	static uint8_t bytes[READ_BYTES];
	ssize_t received = recv(connection->fd, bytes, sizeof(bytes), 0);

	(void)loop;
	(void)events;
	if (received < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (!connection->busy) {
		/* End of stream, an error or unsolicited bytes. */
		close_connection_(connection);
	} else if (received > 0) {
		parse_responses_(connection, bytes, (size_t)received);
	} else if (!received && bw_http_reader_end(&connection->reader) ==
					BW_HTTP_COMPLETE) {
		connection->reader.message.keep_alive = false;
		handle_response_(connection, 0);
	} else {
		fail_request_(connection, BW_POOL_CLOSED);
	}
}

static void on_writable_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct bw_pool_connection *connection = watcher->data;
	const struct bw_pool_config *config = &connection->pool->config;
	int error = 0;
	socklen_t error_bytes = sizeof(error);

	(void)events;
	if (!connection->connected) {
		getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error,
			   &error_bytes);
		if (error) {
			fail_request_(connection, BW_POOL_NOT_SENT);
			return;
		}
		connection->connected = true;
		if (config->connected &&
		    !config->connected(config->context, connection->request))
			return;
		ev_io_start(loop, &connection->read_watcher);
	}
	write_request_(connection);
}

static void on_sweep_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct bw_pool *pool = watcher->data;
	struct bw_pool_connection *connection = pool->connections;
	struct bw_pool_connection *next;
	struct bw_time now = bw_loop_clock_now(&pool->clock);

	(void)loop;
	(void)events;
	resume_paused_(pool);
	while (connection) {
		int64_t age_ms = bw_time_diff_ms(now, connection->since);

		next = connection->next;
		if (!connection->busy && age_ms > connection->idle_limit_ms) {
			close_connection_(connection);
		} else if (connection->busy && !connection->connected &&
			   age_ms > pool->config.connect_timeout_ms) {
			fail_request_(connection, BW_POOL_NOT_SENT);
			/* The callback may have closed the next one. */
			next = pool->connections;
		}
		connection = next;
	}
}

static void parse_responses_(struct bw_pool_connection *connection,
			     const uint8_t *data, size_t size_bytes)
{
	enum bw_http_progress progress;
	size_t consumed_bytes;

	while (size_bytes) {
		progress = bw_http_reader_feed(&connection->reader, data,
					       size_bytes, &consumed_bytes);
		data += consumed_bytes;
		size_bytes -= consumed_bytes;
		if (progress == BW_HTTP_INCOMPLETE) {
			admit_body_(connection);
			return;
		}
		if (progress != BW_HTTP_COMPLETE) {
			fail_request_(connection, BW_POOL_INVALID);
			return;
		}
		if (is_matching_response_(connection)) {
			handle_response_(connection, size_bytes);
			return;
		}
		if (connection->reader.message.status_code >= 200) {
			connection->pool->skipped_count++;
			connection->skipped_responses++;
		} else {
			connection->interim_responses++;
		}
		if (connection->skipped_responses > SKIPPED_RESPONSES_MAX ||
		    connection->interim_responses > INTERIM_RESPONSES_MAX ||
		    !connection->reader.message.keep_alive) {
			fail_request_(connection, BW_POOL_INVALID);
			return;
		}
		bw_http_reader_next(&connection->reader);
		bw_body_finish(&connection->response_body);
	}
}

/* Reads on only when the budget allows the rest of the body. */
static void admit_body_(struct bw_pool_connection *connection)
{
	struct bw_pool *pool = connection->pool;

	if ((pool->paused.length == 0 || is_ordinary_(connection)) &&
	    charge_body_(connection))
		return;
	if (pool->paused.length &&
	    bw_http_reader_body_bytes(&connection->reader) <=
		    connection->response_body.charged_bytes)
		return;
	connection->paused = true;
	pool->paused_count++;
	g_queue_push_tail(&pool->paused, connection);
	ev_io_stop(pool->config.loop, &connection->read_watcher);
}

/* Part of the budget is kept back for such a body. */
static bool is_ordinary_(const struct bw_pool_connection *connection)
{
	const struct bw_body_budget *budget = connection->response_body.budget;

	return budget && bw_http_reader_knows_body_bytes(&connection->reader) &&
	       bw_http_reader_body_bytes(&connection->reader) <=
		       budget->ordinary_max_bytes;
}

/* @return whether the budget allows the body, as far as its size is known */
static bool charge_body_(struct bw_pool_connection *connection)
{
	struct bw_http_reader *reader = &connection->reader;
	uint64_t total_bytes = bw_http_reader_body_bytes(reader);

	if (!reader->message.head_complete || reader->skip_body)
		return true;
	if (total_bytes > reader->limits.body_max_bytes)
		return true; /* The reader fails it. */
	if (!bw_http_reader_knows_body_bytes(reader))
		return bw_body_charge(&connection->response_body,
				      total_bytes + CHARGE_STEP_BYTES -
					      total_bytes % CHARGE_STEP_BYTES);
	if (!bw_body_charge(&connection->response_body, total_bytes))
		return false;
	/* Else the buffer grows in steps; the reader reports a lack of memory.
	 */
	(void)bw_buffer_reserve(&reader->message.body, (size_t)total_bytes);
	return true;
}

/* The first in the queue goes first, whatever its size. */
static void resume_paused_(struct bw_pool *pool)
{
	struct bw_pool_connection *connection;

	while ((connection = g_queue_peek_head(&pool->paused)) &&
	       charge_body_(connection)) {
		g_queue_pop_head(&pool->paused);
		connection->paused = false;
		ev_io_start(pool->config.loop, &connection->read_watcher);
	}
}

/* Delivers the response. Bytes after it make the connection unusable. */
static void handle_response_(struct bw_pool_connection *connection,
			     size_t extra_bytes)
{
	struct bw_pool *pool = connection->pool;
	struct bw_http_message message = connection->reader.message;
	struct bw_body body = { .budget = NULL };
	void *request = connection->request;
	bool reusable = message.keep_alive && !extra_bytes &&
			!connection->out.size_bytes && !connection->body_bytes;
	char value[64];
	const char *timeout;

	if (!is_matching_response_(connection)) {
		fail_request_(connection, BW_POOL_INVALID);
		return;
	}
	if (bw_http_find(&message, "Keep-Alive", value, sizeof(value))) {
		timeout = strstr(value, "timeout=");
		if (timeout)
			connection->idle_limit_ms =
				MIN(connection->idle_limit_ms,
				    (int64_t)(KEEP_ALIVE_FRACTION * 1000.0 *
					      atoi(timeout + 8)));
	}
	/* Takes over the message, as the connection may be closed first. */
	memset(&connection->reader.message, 0,
	       sizeof(connection->reader.message));
	bw_body_move(&body, &connection->response_body);
	body.bytes = message.body;
	bw_buffer_init(&message.body);
	connection->request = NULL;
	connection->busy = false;
	if (reusable)
		add_idle_(connection);
	else
		close_connection_(connection);
	pool->config.ended(pool->config.context, request, BW_POOL_RESPONSE,
			   &message, &body);
	bw_body_finish(&body);
	bw_http_message_finish(&message);
}

static bool is_matching_response_(const struct bw_pool_connection *connection)
{
	char id[ID_BYTES];

	if (connection->reader.message.status_code < 200)
		return false;
	if (!bw_http_find(&connection->reader.message,
			  connection->pool->config.id_field, id, sizeof(id)))
		return false;
	return !strcmp(id, connection->id);
}

static enum bw_status set_output_(struct bw_pool_connection *connection,
				  const struct bw_pool_request *request)
{
	enum bw_status status;

	bw_buffer_clear(&connection->out);
	connection->body_bytes = 0;
	status = bw_buffer_append_buffer(&connection->out, request->head);
	if (status != BW_OK)
		return status;
	if (request->body_bytes <= COPIED_BODY_MAX_BYTES)
		return bw_buffer_append(&connection->out, request->body,
					request->body_bytes);
	connection->body = request->body;
	connection->body_bytes = request->body_bytes;
	return BW_OK;
}

static void write_request_(struct bw_pool_connection *connection)
{
	struct ev_loop *loop = connection->pool->config.loop;
	ssize_t sent;

	while (connection->out.size_bytes) {
		sent = write_piece_(connection, connection->out.data,
				    connection->out.size_bytes);
		if (sent <= 0)
			return;
		bw_buffer_consume(&connection->out, (size_t)sent);
	}
	while (connection->body_bytes) {
		sent = write_piece_(connection, connection->body,
				    connection->body_bytes);
		if (sent <= 0)
			return;
		connection->body += sent;
		connection->body_bytes -= (size_t)sent;
	}
	ev_io_stop(loop, &connection->write_watcher);
}

/*
 * @return number of bytes written; 0 when none can be written yet; -1 when the
 *	request has failed, and the connection no longer exists
 */
static ssize_t write_piece_(struct bw_pool_connection *connection,
			    const uint8_t *data, size_t size_bytes)
{
	ssize_t sent;

	do
		sent = send(connection->fd, data, size_bytes, MSG_NOSIGNAL);
	while (sent < 0 && errno == EINTR);
	if (sent < 0 && errno == EAGAIN)
		return 0;
	if (sent < 0) {
		fail_request_(connection, connection->sent ? BW_POOL_CLOSED
							   : BW_POOL_NOT_SENT);
		return -1;
	}
	connection->sent = true;
	return sent;
}

static void fail_request_(struct bw_pool_connection *connection,
			  enum bw_pool_result result)
{
	struct bw_pool *pool = connection->pool;
	void *request = connection->request;

	close_connection_(connection);
	pool->config.ended(pool->config.context, request, result, NULL, NULL);
}

static void add_idle_(struct bw_pool_connection *connection)
{
	struct bw_pool *pool = connection->pool;

	connection->since = bw_loop_clock_now(&pool->clock);
	bw_buffer_finish(&connection->out);
	connection->next_idle =
		g_hash_table_lookup(pool->idle, connection->address);
	g_hash_table_replace(pool->idle, g_strdup(connection->address),
			     connection);
}

static void unlink_idle_(struct bw_pool_connection *connection)
{
	struct bw_pool *pool = connection->pool;
	struct bw_pool_connection *other =
		g_hash_table_lookup(pool->idle, connection->address);

	if (other == connection && connection->next_idle) {
		g_hash_table_replace(pool->idle, g_strdup(connection->address),
				     connection->next_idle);
	} else if (other == connection) {
		g_hash_table_remove(pool->idle, connection->address);
	} else {
		while (other && other->next_idle != connection)
			other = other->next_idle;
		if (other)
			other->next_idle = connection->next_idle;
	}
	connection->next_idle = NULL;
}

static void close_connection_(struct bw_pool_connection *connection)
{
	struct bw_pool *pool = connection->pool;

	if (!connection->busy)
		unlink_idle_(connection);
	if (connection->paused)
		g_queue_remove(&pool->paused, connection);
	ev_io_stop(pool->config.loop, &connection->read_watcher);
	ev_io_stop(pool->config.loop, &connection->write_watcher);
	close(connection->fd);
	*connection->previous = connection->next;
	if (connection->next)
		connection->next->previous = connection->previous;
	pool->connection_count--;
	bw_http_reader_finish(&connection->reader);
	bw_body_finish(&connection->response_body);
	bw_buffer_finish(&connection->out);
	free(connection);
}

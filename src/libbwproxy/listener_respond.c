#include <errno.h>
#include <sys/socket.h>

#include "private/listener_private.h"

/** A body up to this size is copied behind its head, to send both at once. */
#define COPIED_BODY_MAX_BYTES 16384

static bool is_last_response_(const struct bw_server_connection *connection,
			      bool close);
static void end_request_(struct bw_server_connection *connection, bool last);
static ssize_t send_piece_(struct bw_server_connection *connection,
			   const uint8_t *data, size_t size_bytes);

void bw_connection_respond(struct bw_server_connection *connection,
			   uint16_t status_code, const struct bw_buffer *fields,
			   const void *body, size_t body_bytes, bool close)
{
	bool last = is_last_response_(connection, close);

	listener_write_head(&connection->out, status_code, fields, body_bytes,
			    last);
	if (connection->reader.message.method != HTTP_HEAD && body_bytes)
		bw_buffer_append(&connection->out, body, body_bytes);
	end_request_(connection, last);
}

void bw_connection_respond_body(struct bw_server_connection *connection,
				uint16_t status_code,
				const struct bw_buffer *fields,
				struct bw_body *body, bool close)
{
	bool last = is_last_response_(connection, close);

	listener_write_head(&connection->out, status_code, fields,
			    body->bytes.size_bytes, last);
	if (connection->reader.message.method == HTTP_HEAD) {
		bw_body_finish(body);
	} else if (body->bytes.size_bytes <= COPIED_BODY_MAX_BYTES) {
		bw_buffer_append(&connection->out, body->bytes.data,
				 body->bytes.size_bytes);
		bw_body_finish(body);
	} else {
		bw_body_move(&connection->out_body, body);
		connection->out_body_sent_bytes = 0;
	}
	end_request_(connection, last);
}

void listener_read_pipelined(struct bw_server_connection *connection)
{
	if (listener_has_output(connection))
		return;
	/* Reading stops when too much is sent ahead. */
	ev_io_start(connection->listener->config.loop,
		    &connection->read_watcher);
	connection->unread_max_bytes = 0;
	listener_charge(connection);
	if (connection->in.size_bytes && !connection->close_after_write)
		ev_feed_event(connection->listener->config.loop,
			      &connection->read_watcher, EV_CUSTOM);
}

bool listener_has_output(const struct bw_server_connection *connection)
{
	return connection->out.size_bytes > 0 ||
	       connection->out_body.bytes.size_bytes > 0;
}

bool listener_flush(struct bw_server_connection *connection)
{
	struct ev_loop *loop = connection->listener->config.loop;
	struct bw_body *body = &connection->out_body;
	ssize_t sent;

	/* The client would take what comes next for the missing part. */
	if (connection->out.incomplete) {
		listener_close(connection, false);
		return false;
	}
	while (connection->out.size_bytes) {
		sent = send_piece_(connection, connection->out.data,
				   connection->out.size_bytes);
		if (sent <= 0)
			return sent == 0;
		bw_buffer_consume(&connection->out, (size_t)sent);
	}
	while (connection->out_body_sent_bytes < body->bytes.size_bytes) {
		sent = send_piece_(connection,
				   body->bytes.data +
					   connection->out_body_sent_bytes,
				   body->bytes.size_bytes -
					   connection->out_body_sent_bytes);
		if (sent <= 0)
			return sent == 0;
		connection->out_body_sent_bytes += (size_t)sent;
	}
	connection->out_body_sent_bytes = 0;
	bw_body_finish(body);
	ev_io_stop(loop, &connection->write_watcher);
	if (connection->lingering) {
		shutdown(connection->fd, SHUT_WR);
		return true;
	}
	if (connection->close_after_write) {
		listener_close(connection, false);
		return false;
	}
	if (!connection->out.size_bytes && connection->out.capacity_bytes)
		bw_buffer_finish(&connection->out);
	if (!connection->reader.started)
		connection->state_since =
			listener_run_time(connection->listener);
	listener_charge(connection);
	return true;
}

void listener_write_head(struct bw_buffer *out, uint16_t status_code,
			 const struct bw_buffer *fields, size_t body_bytes,
			 bool close)
{
	bw_buffer_printf(out, "HTTP/1.1 %u %s\r\n", status_code,
			 http_status_str((enum http_status)status_code));
	if (fields)
		bw_buffer_append_buffer(out, fields);
	if (status_code != 204 && status_code != 304)
		bw_buffer_printf(out, "Content-Length: %zu\r\n", body_bytes);
	if (close)
		bw_buffer_printf(out, "Connection: close\r\n");
	bw_buffer_append(out, "\r\n", 2);
}

static bool is_last_response_(const struct bw_server_connection *connection,
			      bool close)
{
	return close || connection->listener->closing ||
	       !connection->reader.message.keep_alive;
}

/* The response is in the output. */
static void end_request_(struct bw_server_connection *connection, bool last)
{
	struct bw_listener *listener = connection->listener;

	connection->busy = false;
	listener->busy_count--;
	connection->context = NULL;
	connection->close_after_write = last;
	connection->continue_sent = false;
	connection->served = true;
	connection->state_since = listener_run_time(listener);
	listener_free_body(connection);
	bw_http_reader_next(&connection->reader);
	listener_charge(connection);
	if (!listener_flush(connection))
		return;
	listener_read_pipelined(connection);
}

/*
 * A client that reads at a least rate is not idle.
 * @return number of bytes sent; 0 when none can be sent yet; -1 when the
 *	connection no longer exists
 */
static ssize_t send_piece_(struct bw_server_connection *connection,
			   const uint8_t *data, size_t size_bytes)
{
	ssize_t sent;

	do
		sent = send(connection->fd, data, size_bytes, MSG_NOSIGNAL);
	while (sent < 0 && errno == EINTR);
	if (sent < 0 && errno == EAGAIN) {
		ev_io_start(connection->listener->config.loop,
			    &connection->write_watcher);
		return 0;
	}
	if (sent < 0) {
		listener_close(connection, true);
		return -1;
	}
	if (!connection->reader.started && !connection->lingering)
		connection->state_since = bw_eviction_progress(
			connection->state_since, (uint64_t)sent,
			bw_eviction_least_rate(
				connection->out_body.bytes.size_bytes),
			listener_run_time(connection->listener));
	return sent;
}

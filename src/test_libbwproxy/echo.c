#include "echo.h"

#include <stdlib.h>
#include <string.h>

/** First port that a listener tries. */
#define FIRST_PORT 23600

const struct bw_http_limits echo_limits = {
	.head_max_bytes = ECHO_HEAD_MAX_BYTES,
	.body_max_bytes = ECHO_BODY_MAX_BYTES,
};

void echo_append_text(struct bw_buffer *out, const char *text)
{
	assert_int_equal(bw_buffer_append(out, text, strlen(text)), BW_OK);
}

void echo_respond(struct echo *echo, struct bw_server_connection *connection)
{
	const struct bw_http_message *request =
		bw_connection_request(connection);
	struct bw_buffer fields;
	char host[160] = "";

	bw_http_find(request, "Host", host, sizeof(host));
	bw_buffer_init(&fields);
	bw_buffer_printf(&fields, "X-Echo: %s %.*s %s %zu\r\n",
			 http_method_str((enum http_method)request->method),
			 (int)request->target.size_bytes,
			 bw_http_text(request, request->target), host,
			 request->body.size_bytes);
	echo->requests++;
	echo->held = NULL;
	bw_connection_respond(connection, 200, &fields, "ok", 2, false);
	bw_buffer_finish(&fields);
}

/* Responds at once or from a later iteration, by turns. */
static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request)
{
	struct echo *echo = context;

	(void)request;
	if (echo->requests % 2)
		echo_respond(echo, connection);
	else
		echo->held = connection;
}

static void on_disconnected_(void *context,
			     struct bw_server_connection *connection)
{
	(void)connection;
	((struct echo *)context)->held = NULL;
}

static void on_rejected_(void *context,
			 const struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 const struct bw_listener_rejection *rejection)
{
	struct echo *echo = context;

	(void)connection;
	(void)request;
	echo->cause = rejection->cause;
}

static const struct bw_listener_handler echo_handler = {
	.request = on_request_,
	.disconnected = on_disconnected_,
	.rejected = on_rejected_,
};

uint16_t echo_listen(struct bw_listener *listener, struct ev_loop *loop,
		     struct echo *echo)
{
	struct bw_listener_config config = { .loop = loop,
					     .limits = echo_limits,
					     .connections_max = 4,
					     .head_timeout_ms = 20000,
					     .idle_timeout_ms = 60000,
					     .handler = &echo_handler,
					     .context = echo };

	return listener_open(listener, &config, FIRST_PORT);
}

uint32_t echo_status(struct ev_loop *loop, struct echo *echo, struct peer *peer,
		     const void *data, size_t size_bytes)
{
	uint32_t status_code = 0;
	char *line;

	bw_buffer_clear(&peer->in);
	peer_send(peer, data, size_bytes);
	while (!peer_has(peer, "\r\n\r\n") && !peer->eof) {
		spin_once(loop);
		if (echo->held)
			echo_respond(echo, echo->held);
	}
	bw_buffer_append(&peer->in, "", 1);
	line = strstr((char *)peer->in.data, "HTTP/1.1 ");
	if (line)
		status_code = (uint32_t)strtoul(line + 9, NULL, 10);
	return status_code;
}

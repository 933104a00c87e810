/*
 * Stub of a backend server behind a gateway, for tests. The last path segment
 * selects the behaviour: "lost" executes the request and closes the connection
 * without its response, "silent" executes it and never responds, "full" rejects
 * it with 503, "slow" responds after one second, "crash" executes it and ends
 * the process, "large" responds with LARGE_BODY_BYTES, "listed" responds with a
 * Connection field that lists other fields of the response, "limited" names a
 * limit of the requests per second that the server takes from all hosts
 * together, "leaving" says that the server leaves, "paused" rejects the request
 * with a Retry-After (it is in the ledger all the same), and any other value
 * responds at once. A request with the field Echo-Field gets the value of the
 * field that it names in the field Echo. Each execution is appended to a ledger
 * file: request id, server id, wall clock in ms, size of the body.
 */
#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "bwbase/clock.h"
#include "bwproxy/listener.h"

#define CONNECTIONS_MAX 256
#define HEAD_MAX_BYTES 65536
#define BODY_MAX_BYTES (64 * 1024 * 1024)
#define TIMEOUT_MS 60000
#define SLOW_RESPONSE_S 1.0
#define LIMIT_PER_S 2.0
#define PAUSE_S 3.0
#define LARGE_BODY_BYTES (7 * 1024 * 1024)

/** State of the process. */
struct backend {
	struct ev_loop *loop;
	struct bw_listener listener;
	const char *id;
	const char *ledger;
	uint32_t running;
};

/** Response that is sent after SLOW_RESPONSE_S. */
struct delayed_response {
	struct backend *backend;
	struct bw_server_connection *connection;
	ev_timer timer;
};

static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request);
static void on_disconnected_(void *context,
			     struct bw_server_connection *connection);
static void on_delay_end_(struct ev_loop *loop, ev_timer *timer, int events);
static void reject_with_pause_(struct bw_server_connection *connection,
			       const struct bw_http_message *request);
static void respond_(struct backend *backend,
		     struct bw_server_connection *connection);
static void echo_field_(const struct bw_http_message *request,
			struct bw_buffer *fields);
static void append_large_(struct bw_buffer *body);
static bool target_ends_with_(const struct bw_http_message *request,
			      const char *suffix);
static void append_to_ledger_(const struct backend *backend,
			      const struct bw_http_message *request);

static const struct bw_listener_handler handler = {
	.request = on_request_,
	.disconnected = on_disconnected_,
};

int main(int argc, char **argv)
{
	struct backend backend = { .loop = ev_default_loop(EVFLAG_AUTO) };
	struct bw_listener_config config = { .handler = &handler };

	if (argc != 4) {
		fprintf(stderr, "use: bw-gate-backend ADDRESS ID LEDGER\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	backend.id = argv[2];
	backend.ledger = argv[3];
	config.loop = backend.loop;
	config.address = argv[1];
	config.limits.head_max_bytes = HEAD_MAX_BYTES;
	config.limits.body_max_bytes = BODY_MAX_BYTES;
	config.connections_max = CONNECTIONS_MAX;
	config.head_timeout_ms = TIMEOUT_MS;
	config.idle_timeout_ms = TIMEOUT_MS;
	config.context = &backend;
	if (bw_listener_init(&backend.listener, &config) != BW_OK) {
		perror("bw-gate-backend");
		return 2;
	}
	ev_run(backend.loop, 0);
	return 0;
}

static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request)
{
	struct backend *backend = context;
	struct delayed_response *delayed;
	struct bw_buffer fields;
	char expected[128];

	if (bw_http_find(request, "Expect-Instance", expected,
			 sizeof(expected)) &&
	    strcmp(expected, backend->id) != 0) {
		bw_connection_respond(connection, 421, NULL, NULL, 0, false);
		return;
	}
	if (target_ends_with_(request, "/full")) {
		char id[128] = "";

		bw_http_find(request, "Request-Id", id, sizeof(id));
		bw_buffer_init(&fields);
		bw_buffer_printf(&fields,
				 "Not-Executed: 1\r\nRequest-Id: %s\r\n", id);
		bw_connection_respond(connection, 503, &fields, NULL, 0, false);
		bw_buffer_finish(&fields);
		return;
	}
	append_to_ledger_(backend, request);
	if (target_ends_with_(request, "/paused")) {
		reject_with_pause_(connection, request);
		return;
	}
	if (target_ends_with_(request, "/silent"))
		return;
	if (target_ends_with_(request, "/crash"))
		_exit(3);
	if (target_ends_with_(request, "/lost")) {
		/* A response without Request-Id matches no request; the client
		 * closes the connection. */
		bw_connection_respond(connection, 200, NULL, NULL, 0, true);
		return;
	}
	if (!target_ends_with_(request, "/slow")) {
		respond_(backend, connection);
		return;
	}
	delayed = calloc(1, sizeof(*delayed));
	delayed->backend = backend;
	delayed->connection = connection;
	*bw_connection_context(connection) = delayed;
	ev_timer_init(&delayed->timer, on_delay_end_, SLOW_RESPONSE_S, 0.0);
	delayed->timer.data = delayed;
	ev_timer_start(backend->loop, &delayed->timer);
}

static void on_disconnected_(void *context,
			     struct bw_server_connection *connection)
{
	struct backend *backend = context;
	struct delayed_response *delayed = *bw_connection_context(connection);

	if (!delayed)
		return;
	ev_timer_stop(backend->loop, &delayed->timer);
	free(delayed);
}

static void on_delay_end_(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct delayed_response *delayed = timer->data;

	(void)loop;
	(void)events;
	respond_(delayed->backend, delayed->connection);
	free(delayed);
}

static void reject_with_pause_(struct bw_server_connection *connection,
			       const struct bw_http_message *request)
{
	struct bw_buffer fields;
	char id[128] = "";

	bw_http_find(request, "Request-Id", id, sizeof(id));
	bw_buffer_init(&fields);
	bw_buffer_printf(&fields,
			 "Not-Executed: 1\r\nRequest-Id: %s\r\n"
			 "Retry-After: %.1f\r\n",
			 id, PAUSE_S);
	bw_connection_respond(connection, 503, &fields, NULL, 0, false);
	bw_buffer_finish(&fields);
}

static void respond_(struct backend *backend,
		     struct bw_server_connection *connection)
{
	const struct bw_http_message *request =
		bw_connection_request(connection);
	struct bw_buffer fields;
	struct bw_buffer body;
	char id[128] = "";

	bw_http_find(request, "Request-Id", id, sizeof(id));
	bw_buffer_init(&fields);
	bw_buffer_init(&body);
	bw_buffer_printf(&fields,
			 "Request-Id: %s\r\nResponse-Stamp: %s\r\n"
			 "Server-Load: 1,0,4\r\n",
			 id, backend->id);
	if (target_ends_with_(request, "/listed"))
		bw_buffer_printf(&fields,
				 "Connection: Response-Stamp, Request-Id, X\r\n"
				 "X: 1\r\n");
	if (target_ends_with_(request, "/leaving"))
		bw_buffer_printf(&fields, "Server-Leaving: 1\r\n");
	if (target_ends_with_(request, "/limited"))
		bw_buffer_printf(&fields, "Server-Limit: %.1f\r\n",
				 LIMIT_PER_S);
	echo_field_(request, &fields);
	bw_buffer_printf(&body, "%s %.*s %zu\n", id,
			 (int)request->target.size_bytes,
			 bw_http_text(request, request->target),
			 request->body.size_bytes);
	if (target_ends_with_(request, "/large"))
		append_large_(&body);
	bw_connection_respond(connection, 200, &fields, body.data,
			      body.size_bytes, false);
	bw_buffer_finish(&fields);
	bw_buffer_finish(&body);
}

static void echo_field_(const struct bw_http_message *request,
			struct bw_buffer *fields)
{
	char name[64];
	char value[128];

	if (bw_http_find(request, "Echo-Field", name, sizeof(name)) &&
	    bw_http_find(request, name, value, sizeof(value)))
		bw_buffer_printf(fields, "Echo: %s\r\n", value);
}

static void append_large_(struct bw_buffer *body)
{
	uint8_t line[64];

	memset(line, 'x', sizeof(line) - 1);
	line[sizeof(line) - 1] = '\n';
	while (body->size_bytes < LARGE_BODY_BYTES &&
	       bw_buffer_append(body, line, sizeof(line)) == BW_OK)
		;
}

static bool target_ends_with_(const struct bw_http_message *request,
			      const char *suffix)
{
	size_t length = strlen(suffix);

	return request->target.size_bytes >= length &&
	       !memcmp(bw_http_text(request, request->target) +
			       request->target.size_bytes - length,
		       suffix, length);
}

static void append_to_ledger_(const struct backend *backend,
			      const struct bw_http_message *request)
{
	FILE *ledger = fopen(backend->ledger, "a");
	char id[128] = "";

	bw_http_find(request, "Request-Id", id, sizeof(id));
	if (!ledger)
		return;
	fprintf(ledger, "%s %s %lld %zu\n", id, backend->id,
		(long long)bw_wall_ms(), request->body.size_bytes);
	fclose(ledger);
}

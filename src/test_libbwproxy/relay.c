#include <stdlib.h>
#include <string.h>

#include "harness.h"

/* A minimal exchange: streams the request body up and the response down with
 * back-pressure in both directions. */
struct pair {
	struct relay *relay;
	struct bw_request *request; /* NULL after DONE */
	struct bw_call *call; /* NULL after the last event */
	struct bw_buffer up; /* bytes the upstream ring did not take */
	struct bw_buffer down;
	bool up_ended;
	bool down_ended;
};

static void free_if_over_(struct pair *pair)
{
	if (pair->request || pair->call)
		return;
	pair->relay->done_count++;
	bw_buffer_finish(&pair->up);
	bw_buffer_finish(&pair->down);
	free(pair);
}

static void push_up_(struct pair *pair)
{
	if (!pair->call)
		return;
	bw_buffer_consume(&pair->up,
			  bw_upstream_append(pair->call, pair->up.data,
					     pair->up.size_bytes));
	if (pair->up.size_bytes) {
		if (pair->request)
			bw_request_pause(pair->request);
		return;
	}
	if (pair->request)
		bw_request_resume(pair->request);
	if (pair->up_ended)
		bw_upstream_end(pair->call);
}

static void push_down_(struct pair *pair)
{
	if (!pair->request)
		return;
	bw_buffer_consume(&pair->down,
			  bw_request_append(pair->request, pair->down.data,
					    pair->down.size_bytes));
	if (pair->down.size_bytes) {
		if (pair->call)
			bw_upstream_pause(pair->call);
		return;
	}
	if (pair->call)
		bw_upstream_resume(pair->call);
	if (pair->down_ended)
		bw_request_end(pair->request);
}

static void on_call_(void *context, const struct bw_upstream_event *event)
{
	struct pair *pair = context;

	switch (event->kind) {
	case BW_UPSTREAM_HEAD:
		if (pair->request)
			bw_request_start(pair->request, event->status_code,
					 event->headers, event->header_count,
					 event->content_length_bytes);
		break;
	case BW_UPSTREAM_BODY:
		bw_buffer_append(&pair->down, event->data, event->size_bytes);
		push_down_(pair);
		break;
	case BW_UPSTREAM_ROOM:
		push_up_(pair);
		break;
	case BW_UPSTREAM_COMPLETE:
		pair->call = NULL;
		pair->down_ended = true;
		push_down_(pair);
		free_if_over_(pair);
		break;
	case BW_UPSTREAM_FAILED:
		pair->call = NULL;
		if (pair->request)
			bw_request_abort(pair->request);
		free_if_over_(pair);
		break;
	default:
		break;
	}
}

static void start_(struct relay *relay, struct bw_request *incoming)
{
	struct pair *pair = calloc(1, sizeof(*pair));
	struct bw_upstream_user user = { pair, on_call_ };
	struct bw_upstream_request request = {
		.address = "127.0.0.1",
		.port = relay->target_port,
		.method = bw_request_method(incoming),
		.target = bw_request_path(incoming),
		.body_kind = BW_UPSTREAM_BODY_STREAMED,
		.body_length_bytes = bw_request_content_length(incoming),
		.deadline_ms = 60000,
	};

	request.headers = bw_request_headers(incoming, &request.header_count);
	pair->relay = relay;
	pair->request = incoming;
	bw_request_set_context(incoming, pair);
	assert_int_equal(bw_upstream_start(relay->upstream, &request, &user,
					   &pair->call),
			 BW_OK);
}

static void on_request_(void *context, const struct bw_frontend_event *event)
{
	struct pair *pair = bw_request_context(event->request);

	switch (event->kind) {
	case BW_FRONTEND_HEAD:
		start_(context, event->request);
		break;
	case BW_FRONTEND_BODY:
		bw_buffer_append(&pair->up, event->data, event->size_bytes);
		push_up_(pair);
		break;
	case BW_FRONTEND_BODY_END:
		pair->up_ended = true;
		push_up_(pair);
		break;
	case BW_FRONTEND_WRITABLE:
		push_down_(pair);
		break;
	case BW_FRONTEND_DISCONNECTED:
		if (pair->call)
			bw_upstream_cancel(pair->call);
		break;
	case BW_FRONTEND_DONE:
		pair->request = NULL;
		free_if_over_(pair);
		break;
	default:
		break;
	}
}

void relay_init(struct relay *relay, struct ev_loop *loop,
		struct bw_upstream *upstream, uint16_t target_port)
{
	struct bw_frontend_handler user = { .context = relay,
					    .event = on_request_ };

	memset(relay, 0, sizeof(*relay));
	relay->upstream = upstream;
	relay->target_port = target_port;
	relay->frontend = frontend_open(loop, user);
}

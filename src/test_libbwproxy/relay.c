#include <stdlib.h>
#include <string.h>

#include "harness.h"

/* A relayed request: streams the request body to the upstream and the response
 * to the frontend, with backpressure in both directions. */
struct exchange {
	struct relay *relay;
	struct bw_request *request; /* NULL after DONE */
	struct bw_call *call; /* NULL after COMPLETE or FAILED */
	struct bw_buffer request_body; /* not yet accepted by call */
	struct bw_buffer response_body; /* not yet accepted by request */
	bool request_ended;
	bool response_ended;
};

static void free_if_ended_(struct exchange *exchange)
{
	if (exchange->request || exchange->call)
		return;
	exchange->relay->done_count++;
	bw_buffer_finish(&exchange->request_body);
	bw_buffer_finish(&exchange->response_body);
	free(exchange);
}

static void forward_request_(struct exchange *exchange)
{
	if (!exchange->call)
		return;
	bw_buffer_consume(
		&exchange->request_body,
		bw_upstream_append(exchange->call, exchange->request_body.data,
				   exchange->request_body.size_bytes));
	if (exchange->request_body.size_bytes) {
		if (exchange->request)
			bw_request_pause(exchange->request);
		return;
	}
	if (exchange->request)
		bw_request_resume(exchange->request);
	if (exchange->request_ended)
		bw_upstream_end(exchange->call);
}

static void forward_response_(struct exchange *exchange)
{
	if (!exchange->request)
		return;
	bw_buffer_consume(
		&exchange->response_body,
		bw_request_append(exchange->request,
				  exchange->response_body.data,
				  exchange->response_body.size_bytes));
	if (exchange->response_body.size_bytes) {
		if (exchange->call)
			bw_upstream_pause(exchange->call);
		return;
	}
	if (exchange->call)
		bw_upstream_resume(exchange->call);
	if (exchange->response_ended)
		bw_request_end(exchange->request);
}

static void on_upstream_event_(void *context,
			       const struct bw_upstream_event *event)
{
	struct exchange *exchange = context;

	switch (event->kind) {
	case BW_UPSTREAM_HEAD:
		if (exchange->request)
			bw_request_start(exchange->request, event->status_code,
					 event->headers, event->header_count,
					 event->content_length_bytes);
		break;
	case BW_UPSTREAM_BODY:
		bw_buffer_append(&exchange->response_body, event->data,
				 event->size_bytes);
		forward_response_(exchange);
		break;
	case BW_UPSTREAM_WRITABLE:
		forward_request_(exchange);
		break;
	case BW_UPSTREAM_COMPLETE:
		exchange->call = NULL;
		exchange->response_ended = true;
		forward_response_(exchange);
		free_if_ended_(exchange);
		break;
	case BW_UPSTREAM_FAILED:
		exchange->call = NULL;
		if (exchange->request)
			bw_request_abort(exchange->request);
		free_if_ended_(exchange);
		break;
	default:
		break;
	}
}

static void start_call_(struct relay *relay, struct bw_request *incoming)
{
	struct exchange *exchange = calloc(1, sizeof(*exchange));
	struct bw_upstream_handler handler = { exchange, on_upstream_event_ };
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
	exchange->relay = relay;
	exchange->request = incoming;
	bw_request_set_context(incoming, exchange);
	assert_int_equal(bw_upstream_start(relay->upstream, &request, &handler,
					   &exchange->call),
			 BW_OK);
}

static void on_frontend_event_(void *context,
			       const struct bw_frontend_event *event)
{
	struct exchange *exchange = bw_request_context(event->request);

	switch (event->kind) {
	case BW_FRONTEND_HEAD:
		start_call_(context, event->request);
		break;
	case BW_FRONTEND_BODY:
		bw_buffer_append(&exchange->request_body, event->data,
				 event->size_bytes);
		forward_request_(exchange);
		break;
	case BW_FRONTEND_BODY_END:
		exchange->request_ended = true;
		forward_request_(exchange);
		break;
	case BW_FRONTEND_WRITABLE:
		forward_response_(exchange);
		break;
	case BW_FRONTEND_DISCONNECTED:
		if (exchange->call)
			bw_upstream_cancel(exchange->call);
		break;
	case BW_FRONTEND_DONE:
		exchange->request = NULL;
		free_if_ended_(exchange);
		break;
	default:
		break;
	}
}

void relay_init(struct relay *relay, struct ev_loop *loop,
		struct bw_upstream *upstream, uint16_t target_port)
{
	struct bw_frontend_handler handler = { .context = relay,
					       .event = on_frontend_event_ };

	memset(relay, 0, sizeof(*relay));
	relay->upstream = upstream;
	relay->target_port = target_port;
	relay->frontend = frontend_open(loop, handler);
}

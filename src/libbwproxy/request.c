#include "bwproxy/frontend.h"

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "private/frontend_private.h"

/* A client may send its whole body before it reads the response, so the rest of
 * the body is read and discarded up to this size after a response. */
#define DISCARD_LIMIT_BYTES (1024 * 1024)
#define MS_PER_S 1000.

#define HTTP_VERSION_SUPPORTED "HTTP/1.1"

static enum MHD_Result on_head_(struct bw_request *request, const char *method,
				const char *version);
static enum MHD_Result after_head_(struct bw_request *request);
static enum MHD_Result on_body_(struct bw_request *request, const char *data,
				size_t *size_bytes);
static enum MHD_Result on_end_(struct bw_request *request);
static uint32_t check_head_(struct bw_request *request, const char *version,
			    bool *fields_collected);
static enum MHD_Result collect_field_(void *context, enum MHD_ValueKind kind,
				      const char *name, const char *value);
static bool field_is_(const struct bw_http_header *header, const char *name);
static size_t count_fields_(const struct bw_request *request, const char *name);
static void set_peer_(struct bw_request *request);
static struct connection *connection_state_(const struct bw_request *request);
static void report_head_(struct bw_request *request);
static bool must_respond_early_(const struct bw_request *request);
static void reject_request_(struct bw_request *request, uint32_t status_code);
static enum MHD_Result queue_response_(struct bw_request *request);
static void deliver_event_(struct bw_request *request,
			   enum bw_frontend_event_kind kind, const void *data,
			   size_t size_bytes, bool sent);
static void on_receive_timeout_(struct ev_loop *loop, ev_timer *watcher,
				int events);
static void start_receive_timer_(struct bw_request *request);
static void free_request_(struct bw_request *request);

void *request_new_(void *context, const char *uri,
		   struct MHD_Connection *connection)
{
	struct listener *listener = context;
	struct bw_frontend *frontend = listener->frontend;
	struct bw_request *request = calloc(1, sizeof(*request));
	const union MHD_ConnectionInfo *info;

	if (!request)
		return NULL;
	request->target = strdup(uri);
	if (!request->target) {
		free(request);
		return NULL;
	}
	request->frontend = frontend;
	request->listener = listener;
	request->connection = connection;
	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	request->fd = info->connect_fd;
	ev_timer_init(&request->receive_timer, on_receive_timeout_, 0., 0.);
	request->receive_timer.data = request;
	request->next = frontend->requests;
	if (request->next)
		request->next->previous = request;
	frontend->requests = request;
	return request;
}

enum MHD_Result request_access_(void *context,
				struct MHD_Connection *connection,
				const char *url, const char *method,
				const char *version, const char *upload_data,
				size_t *upload_size_bytes, void **slot)
{
	struct bw_request *request = *slot;

	(void)context;
	(void)connection;
	(void)url;
	if (!request || request->must_close || request->frontend->closing)
		return MHD_NO;
	if (!request->head_received)
		return on_head_(request, method, version);
	if (request->head_suspended)
		return after_head_(request);
	if (*upload_size_bytes)
		return on_body_(request, upload_data, upload_size_bytes);
	return on_end_(request);
}

void request_completed_(void *context, struct MHD_Connection *connection,
			void **slot, enum MHD_RequestTerminationCode code)
{
	struct bw_request *request = *slot;
	struct bw_frontend *frontend;
	struct connection *state;
	struct bw_clock clock;
	bool sent;

	(void)context;
	(void)connection;
	if (!request)
		return;
	*slot = NULL;
	frontend = request->frontend;
	state = connection_state_(request);
	if (state) {
		bw_clock_init_monotonic(&clock);
		state->awaiting_head = true;
		state->wait_start = bw_clock_now(&clock);
	}
	ev_timer_stop(frontend->loop, &request->receive_timer);
	sent = code == MHD_REQUEST_TERMINATED_COMPLETED_OK && request->queued &&
	       !request->terminated;
	if (request->head_reported) {
		epoll_ctl(frontend->disconnect_fd, EPOLL_CTL_DEL, request->fd,
			  NULL);
		if (!sent && !request->terminated) {
			request->terminated = true;
			request->disconnect_reported = true;
			frontend->counters.disconnected++;
			deliver_event_(request, BW_FRONTEND_DISCONNECTED, NULL,
				       0, false);
		}
		frontend->counters.active--;
		deliver_event_(request, BW_FRONTEND_DONE, NULL, 0, sent);
	}
	free_request_(request);
	if (frontend->stopping)
		ev_feed_event(frontend->loop, &frontend->deferred, EV_CUSTOM);
}

void request_disconnected_(struct bw_request *request)
{
	if (request->disconnect_reported)
		return;
	request->disconnect_reported = true;
	request->must_close = true;
	if (!request->terminated) {
		request->terminated = true;
		request->frontend->counters.disconnected++;
		deliver_event_(request, BW_FRONTEND_DISCONNECTED, NULL, 0,
			       false);
	}
	request_wake_(request);
}

void request_wake_(struct bw_request *request)
{
	struct bw_frontend *frontend = request->frontend;

	if (!request->in_wake_list) {
		request->in_wake_list = true;
		request->wake_next = frontend->wake_list;
		frontend->wake_list = request;
	}
	listener_schedule_run_(request->listener);
}

void request_resume_(struct bw_request *request)
{
	size_t free_bytes;

	if (request->suspended) {
		request->suspended = false;
		MHD_resume_connection(request->connection);
	}
	free_bytes = request->ring.capacity_bytes - request->ring.size_bytes;
	if (!request->writable_due || request->terminated || request->ended ||
	    free_bytes * 2 < request->ring.capacity_bytes)
		return;
	request->writable_due = false;
	deliver_event_(request, BW_FRONTEND_WRITABLE, NULL, 0, false);
}

uint32_t bw_request_listener(const struct bw_request *request)
{
	return request->listener->index;
}

const char *bw_request_method(const struct bw_request *request)
{
	return request->method;
}

const char *bw_request_path(const struct bw_request *request)
{
	return request->target;
}

const char *bw_request_query(const struct bw_request *request)
{
	return request->query;
}

const char *bw_request_peer(const struct bw_request *request)
{
	return request->peer;
}

int64_t bw_request_content_length(const struct bw_request *request)
{
	return request->content_length;
}

const char *bw_request_header(const struct bw_request *request,
			      const char *name)
{
	size_t i;

	for (i = 0; i < request->header_count; i++) {
		if (field_is_(&request->headers[i], name))
			return request->headers[i].value;
	}
	return NULL;
}

const struct bw_http_header *
bw_request_headers(const struct bw_request *request, size_t *count)
{
	*count = request->header_count;
	return request->headers;
}

void bw_request_set_context(struct bw_request *request, void *context)
{
	request->context = context;
}

void *bw_request_context(const struct bw_request *request)
{
	return request->context;
}

void bw_request_pause(struct bw_request *request)
{
	request->paused = true;
	ev_timer_stop(request->frontend->loop, &request->receive_timer);
}

void bw_request_resume(struct bw_request *request)
{
	if (!request->paused)
		return;
	request->paused = false;
	if (request->terminated)
		return;
	if (request->head_received && request->content_length)
		start_receive_timer_(request);
	request_wake_(request);
}

static enum MHD_Result on_head_(struct bw_request *request, const char *method,
				const char *version)
{
	struct connection *state = connection_state_(request);
	bool fields_collected = true;
	uint32_t rejection;

	request->head_received = true;
	if (state)
		state->awaiting_head = false;
	request->method = strdup(method);
	if (!request->method)
		return MHD_NO;
	set_peer_(request);
	rejection = check_head_(request, version, &fields_collected);
	if (!fields_collected)
		return MHD_NO;
	request->query = strchr(request->target, '?');
	if (request->query)
		*request->query++ = '\0';
	if (rejection)
		reject_request_(request, rejection);
	else
		report_head_(request);
	return after_head_(request);
}

/* Chooses the next step after the head. A paused request with a body is
 * suspended before MHD reads the body or sends "100 Continue", so that a
 * response can still be sent. */
static enum MHD_Result after_head_(struct bw_request *request)
{
	request->head_suspended = false;
	if (request->must_close)
		return MHD_NO;
	if (request->kind != RESPONSE_NONE)
		return must_respond_early_(request) ? queue_response_(request)
						    : MHD_YES;
	if (!request->content_length)
		return MHD_YES;
	if (request->paused) {
		request->head_suspended = true;
		request_suspend_(request);
		return MHD_YES;
	}
	start_receive_timer_(request);
	return MHD_YES;
}

static void report_head_(struct bw_request *request)
{
	struct bw_frontend *frontend = request->frontend;
	struct epoll_event watch = { .events = EPOLLRDHUP | EPOLLET,
				     .data.ptr = request };

	request->head_reported = true;
	frontend->counters.requests++;
	frontend->counters.active++;
	epoll_ctl(frontend->disconnect_fd, EPOLL_CTL_ADD, request->fd, &watch);
	deliver_event_(request, BW_FRONTEND_HEAD, NULL, 0, false);
}

/* MHD accepts a response only before or after the body. With an early response,
 * MHD does not read the body and closes the connection afterwards. */
static bool must_respond_early_(const struct bw_request *request)
{
	return count_fields_(request, "Expect") ||
	       request->content_length > DISCARD_LIMIT_BYTES;
}

static enum MHD_Result on_body_(struct bw_request *request, const char *data,
				size_t *size_bytes)
{
	if (request->kind != RESPONSE_NONE) {
		request->discarded_bytes += *size_bytes;
		*size_bytes = 0;
		return request->discarded_bytes > DISCARD_LIMIT_BYTES ? MHD_NO
								      : MHD_YES;
	}
	if (request->paused) {
		request_suspend_(request);
		return MHD_YES;
	}
	request->body_bytes += *size_bytes;
	if (request->body_bytes > request->listener->config.body_limit_bytes) {
		*size_bytes = 0;
		reject_request_(request, MHD_HTTP_CONTENT_TOO_LARGE);
		return MHD_YES;
	}
	deliver_event_(request, BW_FRONTEND_BODY, data, *size_bytes, false);
	*size_bytes = 0;
	return request->must_close ? MHD_NO : MHD_YES;
}

static enum MHD_Result on_end_(struct bw_request *request)
{
	if (request->kind == RESPONSE_NONE && !request->body_end_reported) {
		if (request->paused) {
			request_suspend_(request);
			return MHD_YES;
		}
		request->body_end_reported = true;
		ev_timer_stop(request->frontend->loop, &request->receive_timer);
		deliver_event_(request, BW_FRONTEND_BODY_END, NULL, 0, false);
	}
	if (request->must_close)
		return MHD_NO;
	if (request->kind != RESPONSE_NONE)
		return queue_response_(request);
	request_suspend_(request);
	return MHD_YES;
}

/* Returns the status code for an invalid request, or 0. */
static uint32_t check_head_(struct bw_request *request, const char *version,
			    bool *fields_collected)
{
	const struct bw_frontend_listener *config = &request->listener->config;
	size_t length_field_count;
	size_t coding_field_count;

	MHD_get_connection_values(request->connection, MHD_HEADER_KIND,
				  collect_field_, request);
	*fields_collected = request->header_count != SIZE_MAX;
	if (!*fields_collected)
		return 0;
	request->header_bytes +=
		strlen(request->method) + strlen(request->target);
	if (strcmp(version, HTTP_VERSION_SUPPORTED) != 0)
		return MHD_HTTP_HTTP_VERSION_NOT_SUPPORTED;
	if (request->header_bytes > config->header_limit_bytes)
		return MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
	if (!bw_http_target_valid(request->target) ||
	    !bw_http_name_valid(request->method) ||
	    !bw_http_headers_valid(request->headers, request->header_count))
		return MHD_HTTP_BAD_REQUEST;
	length_field_count = count_fields_(request, "Content-Length");
	coding_field_count = count_fields_(request, "Transfer-Encoding");
	if (length_field_count + coding_field_count > 1)
		return MHD_HTTP_BAD_REQUEST;
	if (coding_field_count) {
		request->content_length = BW_HTTP_LENGTH_UNKNOWN;
		if (strcasecmp(bw_request_header(request, "Transfer-Encoding"),
			       "chunked") != 0)
			return MHD_HTTP_NOT_IMPLEMENTED;
	}
	if (length_field_count) {
		request->content_length = bw_http_parse_length(
			bw_request_header(request, "Content-Length"));
		if (request->content_length < 0)
			return MHD_HTTP_BAD_REQUEST;
		if ((uint64_t)request->content_length >
		    config->body_limit_bytes)
			return MHD_HTTP_CONTENT_TOO_LARGE;
	}
	return 0;
}

/* header_count is set to SIZE_MAX when memory is exhausted. */
static enum MHD_Result collect_field_(void *context, enum MHD_ValueKind kind,
				      const char *name, const char *value)
{
	struct bw_request *request = context;
	struct bw_http_header *headers;

	(void)kind;
	headers = realloc(request->headers,
			  (request->header_count + 1) * sizeof(*headers));
	if (!headers) {
		request->header_count = SIZE_MAX;
		return MHD_NO;
	}
	request->headers = headers;
	headers[request->header_count].name = name;
	headers[request->header_count].value = value ? value : "";
	request->header_bytes +=
		strlen(name) + strlen(headers[request->header_count].value);
	request->header_count++;
	return MHD_YES;
}

static bool field_is_(const struct bw_http_header *header, const char *name)
{
	return !strcasecmp(header->name, name);
}

static size_t count_fields_(const struct bw_request *request, const char *name)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < request->header_count; i++)
		count += field_is_(&request->headers[i], name);
	return count;
}

static void set_peer_(struct bw_request *request)
{
	const union MHD_ConnectionInfo *info;
	const struct sockaddr_in *address;

	info = MHD_get_connection_info(request->connection,
				       MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	if (!info || !info->client_addr ||
	    info->client_addr->sa_family != AF_INET)
		return;
	address = (const struct sockaddr_in *)info->client_addr;
	inet_ntop(AF_INET, &address->sin_addr, request->peer,
		  sizeof(request->peer));
}

static struct connection *connection_state_(const struct bw_request *request)
{
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(request->connection,
				       MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	return info ? info->socket_context : NULL;
}

/* Responds with an error; delivers DISCONNECTED if HEAD was delivered. */
static void reject_request_(struct bw_request *request, uint32_t status_code)
{
	static const struct bw_http_header not_run = { "Boragewing-Outcome",
						       "not-run" };
	char text[64];
	int length;
	enum bw_status status;

	length = snprintf(text, sizeof(text),
			  "{\"error\":\"refused\",\"status\":%u}\n",
			  status_code);
	/* After HEAD, body bytes may have been forwarded already. */
	status = bw_request_respond(request, status_code, &not_run,
				    request->head_reported ? 0 : 1, text,
				    (size_t)length);
	request->frontend->counters.rejected++;
	request->terminated = true;
	if (status != BW_OK)
		request->must_close = true;
	if (!request->head_reported || request->disconnect_reported)
		return;
	request->disconnect_reported = true;
	deliver_event_(request, BW_FRONTEND_DISCONNECTED, NULL, 0, false);
}

static enum MHD_Result queue_response_(struct bw_request *request)
{
	enum MHD_Result result;

	if (request->queued)
		return MHD_YES;
	ev_timer_stop(request->frontend->loop, &request->receive_timer);
	result = MHD_queue_response(request->connection, request->status_code,
				    request->response);
	request->queued = result == MHD_YES;
	return result;
}

void request_suspend_(struct bw_request *request)
{
	request->suspended = true;
	MHD_suspend_connection(request->connection);
}

static void deliver_event_(struct bw_request *request,
			   enum bw_frontend_event_kind kind, const void *data,
			   size_t size_bytes, bool sent)
{
	struct bw_frontend_event event = { .kind = kind,
					   .request = request,
					   .data = data,
					   .size_bytes = size_bytes,
					   .sent = sent };

	request->frontend->handler.event(request->frontend->handler.context,
					 &event);
}

static void start_receive_timer_(struct bw_request *request)
{
	uint32_t limit_ms = request->listener->config.receive_timeout_ms;

	if (!limit_ms || request->body_end_reported)
		return;
	ev_timer_stop(request->frontend->loop, &request->receive_timer);
	ev_timer_set(&request->receive_timer, limit_ms / MS_PER_S, 0.);
	ev_timer_start(request->frontend->loop, &request->receive_timer);
}

static void on_receive_timeout_(struct ev_loop *loop, ev_timer *watcher,
				int events)
{
	struct bw_request *request = watcher->data;

	(void)loop;
	(void)events;
	request->frontend->counters.rejected++;
	shutdown(request->fd, SHUT_RDWR);
	if (request->head_reported)
		request_disconnected_(request);
}

static void free_request_(struct bw_request *request)
{
	struct bw_frontend *frontend = request->frontend;
	struct bw_request **link = &frontend->wake_list;

	while (request->in_wake_list && *link) {
		if (*link == request) {
			*link = request->wake_next;
			break;
		}
		link = &(*link)->wake_next;
	}
	if (request->next)
		request->next->previous = request->previous;
	if (request->previous)
		request->previous->next = request->next;
	else
		frontend->requests = request->next;
	if (request->response)
		MHD_destroy_response(request->response);
	bw_ring_finish(&request->ring);
	free(request->headers);
	free(request->method);
	free(request->target);
	free(request);
}

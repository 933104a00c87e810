#include "bwproxy/upstream.h"

#include <arpa/inet.h>
#include <assert.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "private/upstream_private.h"

#define MS_PER_S 1000.

/** Loop watcher of a libcurl socket. */
struct watch {
	struct bw_upstream *upstream;
	ev_io io;
};

static int on_socket_(CURL *easy, curl_socket_t fd, int what, void *context,
		      void *socket_context);
static int on_timer_(CURLM *multi, long timeout_ms, void *context);
static void on_io_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_timeout_(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_deferred_(struct ev_loop *loop, ev_prepare *watcher, int events);
static void on_deadline_(struct ev_loop *loop, ev_timer *watcher, int events);
static void socket_action_(struct bw_upstream *upstream, curl_socket_t fd,
			   int events);
static void finish_completed_(struct bw_upstream *upstream);
static void process_deferred_(struct bw_call *call);
static void unpause_(struct bw_call *call);
static void notify_writable_(struct bw_call *call);
static void finish_call_(struct bw_call *call, CURLcode code);
static void free_call_(struct bw_call *call);
static bool request_valid_(const struct bw_upstream_request *request);
static bool body_valid_(const struct bw_upstream_request *request);
static bool address_valid_(const char *address);
static enum bw_status set_body_(struct bw_call *call,
				const struct bw_upstream_request *request);

const char *const bw_upstream_event_string[BW_UPSTREAM_EVENT_COUNT] = {
	[BW_UPSTREAM_CONNECTED] = "connected", [BW_UPSTREAM_HEAD] = "head",
	[BW_UPSTREAM_BODY] = "body",	       [BW_UPSTREAM_WRITABLE] = "room",
	[BW_UPSTREAM_COMPLETE] = "complete",   [BW_UPSTREAM_FAILED] = "failed",
};

const char *const bw_upstream_cause_string[BW_UPSTREAM_CAUSE_COUNT] = {
	[BW_UPSTREAM_CAUSE_NONE] = "none",
	[BW_UPSTREAM_REFUSED] = "refused",
	[BW_UPSTREAM_TIMEOUT] = "timeout",
	[BW_UPSTREAM_RESET] = "reset",
	[BW_UPSTREAM_SHORT_BODY] = "short_body",
	[BW_UPSTREAM_BAD_RESPONSE] = "bad_response",
	[BW_UPSTREAM_CANCELLED] = "cancelled",
	[BW_UPSTREAM_INTERNAL] = "internal",
};

enum bw_status bw_upstream_new(struct bw_upstream **upstream,
			       struct ev_loop *loop,
			       const struct bw_upstream_config *config)
{
	struct bw_upstream *new;

	*upstream = NULL;
	if (!config->connections_per_server || !config->connections_total ||
	    !config->idle_timeout_s || !config->connect_timeout_ms ||
	    !config->header_limit_bytes || !config->ring_bytes)
		return BW_EINVAL;
	if (curl_global_init(CURL_GLOBAL_DEFAULT))
		return BW_ENOMEM;
	new = calloc(1, sizeof(*new));
	if (!new)
		goto fail;
	new->loop = loop;
	new->config = *config;
	new->multi = curl_multi_init();
	if (!new->multi)
		goto fail;
	curl_multi_setopt(new->multi, CURLMOPT_SOCKETFUNCTION, on_socket_);
	curl_multi_setopt(new->multi, CURLMOPT_SOCKETDATA, new);
	curl_multi_setopt(new->multi, CURLMOPT_TIMERFUNCTION, on_timer_);
	curl_multi_setopt(new->multi, CURLMOPT_TIMERDATA, new);
	curl_multi_setopt(new->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
	curl_multi_setopt(new->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)config->connections_per_server);
	curl_multi_setopt(new->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
			  (long)config->connections_total);
	curl_multi_setopt(new->multi, CURLMOPT_MAXCONNECTS,
			  (long)config->connections_total);
	ev_timer_init(&new->timer, on_timeout_, 0., 0.);
	new->timer.data = new;
	ev_prepare_init(&new->deferred, on_deferred_);
	new->deferred.data = new;
	*upstream = new;
	return BW_OK;
fail:
	free(new);
	curl_global_cleanup();
	return BW_ENOMEM;
}

void bw_upstream_free(struct bw_upstream *upstream)
{
	if (!upstream)
		return;
	while (upstream->calls) {
		upstream->calls->cancelled = true;
		finish_call_(upstream->calls, CURLE_OK);
	}
	curl_multi_cleanup(upstream->multi);
	ev_timer_stop(upstream->loop, &upstream->timer);
	ev_clear_pending(upstream->loop, &upstream->deferred);
	free(upstream);
	curl_global_cleanup();
}

enum bw_status bw_upstream_start(struct bw_upstream *upstream,
				 const struct bw_upstream_request *request,
				 const struct bw_upstream_handler *handler,
				 struct bw_call **call)
{
	struct bw_call *new;
	struct bw_clock clock;
	enum bw_status status;

	*call = NULL;
	if (!request_valid_(request))
		return BW_EINVAL;
	new = calloc(1, sizeof(*new));
	if (!new)
		return BW_ENOMEM;
	new->upstream = upstream;
	new->handler = *handler;
	new->is_head = !strcmp(request->method, "HEAD");
	bw_clock_init_monotonic(&clock);
	new->deadline = bw_time_add(bw_clock_now(&clock), request->deadline_ms);
	new->next = upstream->calls;
	if (new->next)
		new->next->previous = new;
	upstream->calls = new;
	ev_init(&new->timer, on_deadline_);
	new->timer.data = new;
	upstream->counters.active++;
	status = set_body_(new, request);
	if (status == BW_OK)
		status = call_setup_(new, request);
	if (status != BW_OK) {
		free_call_(new);
		return status;
	}
	upstream->counters.calls++;
	ev_now_update(upstream->loop);
	ev_timer_set(&new->timer, request->deadline_ms / MS_PER_S, 0.);
	ev_timer_start(upstream->loop, &new->timer);
	call_defer_(new);
	*call = new;
	return BW_OK;
}

size_t bw_upstream_append(struct bw_call *call, const void *data,
			  size_t size_bytes)
{
	struct bw_upstream_counters *counters = &call->upstream->counters;
	size_t accepted_bytes;

	if (call->cancelled || call->ended ||
	    call->body_kind != BW_UPSTREAM_BODY_STREAMED)
		return 0;
	accepted_bytes = bw_ring_write(&call->ring, data, size_bytes);
	call->appended_bytes += (int64_t)accepted_bytes;
	if (call->body_length != BW_HTTP_LENGTH_UNKNOWN &&
	    call->appended_bytes > call->body_length)
		call->bad_request_body = true;
	if (accepted_bytes < size_bytes)
		call->writable_pending = true;
	if (call->ring.size_bytes > counters->ring_peak_bytes)
		counters->ring_peak_bytes = call->ring.size_bytes;
	if (call->send_paused || call->bad_request_body)
		call_defer_(call);
	return accepted_bytes;
}

void bw_upstream_end(struct bw_call *call)
{
	if (call->ended)
		return;
	call->ended = true;
	if (call->body_length != BW_HTTP_LENGTH_UNKNOWN &&
	    call->appended_bytes != call->body_length)
		call->bad_request_body = true;
	call_defer_(call);
}

void bw_upstream_pause(struct bw_call *call)
{
	call->paused = true;
}

void bw_upstream_resume(struct bw_call *call)
{
	call->paused = false;
	if (call->receive_paused)
		call_defer_(call);
}

void bw_upstream_cancel(struct bw_call *call)
{
	call->cancelled = true;
	call_defer_(call);
}

bool bw_upstream_bytes_sent(const struct bw_call *call)
{
	return call->sent;
}

const struct bw_upstream_counters *
bw_upstream_counters(const struct bw_upstream *upstream)
{
	return &upstream->counters;
}

void call_defer_(struct bw_call *call)
{
	struct bw_upstream *upstream = call->upstream;

	if (!call->is_deferred) {
		call->is_deferred = true;
		call->deferred_next = upstream->deferred_calls;
		upstream->deferred_calls = call;
	}
	ev_feed_event(upstream->loop, &upstream->deferred, EV_CUSTOM);
}

void call_emit_(struct bw_call *call, struct bw_upstream_event *event)
{
	event->call = call;
	call->handler.event(call->handler.context, event);
}

static int on_socket_(CURL *easy, curl_socket_t fd, int what, void *context,
		      void *socket_context)
{
	struct bw_upstream *upstream = context;
	struct watch *watch = socket_context;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch)
			ev_io_stop(upstream->loop, &watch->io);
		free(watch);
		curl_multi_assign(upstream->multi, fd, NULL);
		return 0;
	}
	if (!watch) {
		watch = calloc(1, sizeof(*watch));
		if (!watch)
			return -1;
		watch->upstream = upstream;
		ev_init(&watch->io, on_io_);
		watch->io.data = watch;
		curl_multi_assign(upstream->multi, fd, watch);
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(upstream->loop, &watch->io);
	ev_io_set(&watch->io, fd, events);
	if (events)
		ev_io_start(upstream->loop, &watch->io);
	return 0;
}

static int on_timer_(CURLM *multi, long timeout_ms, void *context)
{
	struct bw_upstream *upstream = context;

	(void)multi;
	ev_timer_stop(upstream->loop, &upstream->timer);
	if (timeout_ms < 0)
		return 0;
	ev_timer_set(&upstream->timer, (double)timeout_ms / MS_PER_S, 0.);
	ev_timer_start(upstream->loop, &upstream->timer);
	return 0;
}

static void on_io_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct watch *watch = watcher->data;
	int mask = 0;

	(void)loop;
	if (events & EV_READ)
		mask |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		mask |= CURL_CSELECT_OUT;
	socket_action_(watch->upstream, watcher->fd, mask);
}

static void on_timeout_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	socket_action_(watcher->data, CURL_SOCKET_TIMEOUT, 0);
}

static void on_deadline_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct bw_call *call = watcher->data;

	(void)loop;
	(void)events;
	call->deadline_expired = true;
	finish_call_(call, CURLE_OPERATION_TIMEDOUT);
}

static void socket_action_(struct bw_upstream *upstream, curl_socket_t fd,
			   int events)
{
	int running;

	curl_multi_socket_action(upstream->multi, fd, events, &running);
	finish_completed_(upstream);
}

static void finish_completed_(struct bw_upstream *upstream)
{
	struct bw_call *call;
	CURLMsg *message;
	CURLcode code;
	int remaining;

	while ((message = curl_multi_info_read(upstream->multi, &remaining))) {
		if (message->msg != CURLMSG_DONE)
			continue;
		code = message->data.result;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&call);
		finish_call_(call, code);
	}
}

static void on_deferred_(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	struct bw_upstream *upstream = watcher->data;
	struct bw_call *call;

	(void)loop;
	(void)events;
	while (upstream->deferred_calls) {
		call = upstream->deferred_calls;
		upstream->deferred_calls = call->deferred_next;
		call->deferred_next = NULL;
		call->is_deferred = false;
		process_deferred_(call);
	}
	finish_completed_(upstream);
}

static void process_deferred_(struct bw_call *call)
{
	if (call->cancelled || call->bad_request_body) {
		finish_call_(call, CURLE_OK);
		return;
	}
	if (!call->added) {
		if (curl_multi_add_handle(call->upstream->multi, call->easy)) {
			finish_call_(call, CURLE_OUT_OF_MEMORY);
			return;
		}
		call->added = true;
		return;
	}
	unpause_(call);
	notify_writable_(call);
}

static void unpause_(struct bw_call *call)
{
	bool receive = call->receive_paused && !call->paused;
	bool send = call->send_paused && (call->ring.size_bytes || call->ended);

	if (!receive && !send)
		return;
	if (receive)
		call->receive_paused = false;
	if (send)
		call->send_paused = false;
	curl_easy_pause(call->easy,
			(call->receive_paused ? CURLPAUSE_RECV : 0) |
				(call->send_paused ? CURLPAUSE_SEND : 0));
}

static void notify_writable_(struct bw_call *call)
{
	struct bw_upstream_event event = { .kind = BW_UPSTREAM_WRITABLE };
	size_t free_bytes = call->ring.capacity_bytes - call->ring.size_bytes;

	if (!call->writable_pending || call->ended || call->cancelled ||
	    free_bytes * 2 < call->ring.capacity_bytes)
		return;
	call->writable_pending = false;
	call_emit_(call, &event);
}

static void finish_call_(struct bw_call *call, CURLcode code)
{
	struct bw_upstream_event event = { .kind = BW_UPSTREAM_COMPLETE };

	if (call->added)
		curl_multi_remove_handle(call->upstream->multi, call->easy);
	call->added = false;
	event.cause = call_cause_(call, code);
	event.bytes_sent = call->sent;
	if (event.cause != BW_UPSTREAM_CAUSE_NONE) {
		event.kind = BW_UPSTREAM_FAILED;
		event.reused_closed = call->resend_refused ||
				      (event.cause == BW_UPSTREAM_RESET &&
				       call->sent && !call->opened_socket &&
				       !call->head_bytes);
	}
	call_emit_(call, &event);
	free_call_(call);
}

static void free_call_(struct bw_call *call)
{
	struct bw_upstream *upstream = call->upstream;
	struct bw_call **link = &upstream->deferred_calls;

	while (call->is_deferred && *link) {
		if (*link == call) {
			*link = call->deferred_next;
			break;
		}
		link = &(*link)->deferred_next;
	}
	if (call->next)
		call->next->previous = call->previous;
	if (call->previous)
		call->previous->next = call->next;
	else
		upstream->calls = call->next;
	upstream->counters.active--;
	ev_timer_stop(upstream->loop, &call->timer);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->fields);
	curl_slist_free_all(call->connect_to);
	bw_buffer_finish(&call->body);
	bw_buffer_finish(&call->head);
	bw_ring_finish(&call->ring);
	free(call->headers);
	free(call);
}

static bool request_valid_(const struct bw_upstream_request *request)
{
	return address_valid_(request->address) && request->port &&
	       (!request->source || address_valid_(request->source)) &&
	       bw_http_name_valid(request->method) &&
	       bw_http_target_valid(request->target) &&
	       bw_http_headers_valid(request->headers, request->header_count) &&
	       request->deadline_ms && body_valid_(request) &&
	       !request->tls_trust_pem == !request->tls_name;
}

static bool body_valid_(const struct bw_upstream_request *request)
{
	switch (request->body_kind) {
	case BW_UPSTREAM_BODY_NONE:
		return true;
	case BW_UPSTREAM_BODY_COMPLETE:
		return request->body || !request->body_bytes;
	case BW_UPSTREAM_BODY_STREAMED:
		return request->body_length_bytes >= BW_HTTP_LENGTH_UNKNOWN;
	}
	return false;
}

static bool address_valid_(const char *address)
{
	struct in_addr parsed;

	return address && inet_pton(AF_INET, address, &parsed) == 1;
}

static enum bw_status set_body_(struct bw_call *call,
				const struct bw_upstream_request *request)
{
	call->body_kind = request->body_kind;
	call->body_length = request->body_length_bytes;
	switch (request->body_kind) {
	case BW_UPSTREAM_BODY_NONE:
		return BW_OK;
	case BW_UPSTREAM_BODY_COMPLETE:
		return bw_buffer_append(&call->body, request->body,
					request->body_bytes);
	case BW_UPSTREAM_BODY_STREAMED:
		return bw_ring_init(&call->ring,
				    call->upstream->config.ring_bytes);
	}
	return BW_EINVAL;
}

#include "bwproxy/frontend.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "private/frontend_private.h"

/* The memory pool of a connection also stores the parsed fields, the read
 * buffer and the response head, so it is a multiple of the header limit. */
#define POOL_FACTOR 4
#define POOL_MIN_BYTES 32768
#define HEADER_LIMIT_MIN_BYTES 1024
#define DISCONNECT_BATCH 32
#define SWEEP_INTERVAL_S 1.0
#define LISTEN_BACKLOG 1024
#define MS_PER_S 1000

static enum bw_status check_config_(const struct bw_frontend_config *config);
static enum bw_status listener_open_(struct listener *listener);
static int socket_open_(const struct bw_frontend_listener *config);
static void listener_close_(struct listener *listener);
static void listener_run_(struct listener *listener);
static void on_daemon_io_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_daemon_timer_(struct ev_loop *loop, ev_timer *watcher,
			     int events);
static void on_sweep_(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_disconnect_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_deferred_(struct ev_loop *loop, ev_prepare *watcher, int events);
static void on_connection_(void *context, struct MHD_Connection *connection,
			   void **slot,
			   enum MHD_ConnectionNotificationCode code);
static void connection_remove_(struct listener *listener,
			       struct connection *connection);

const char *const bw_frontend_event_string[BW_FRONTEND_EVENT_COUNT] = {
	[BW_FRONTEND_HEAD] = "head",	     [BW_FRONTEND_BODY] = "body",
	[BW_FRONTEND_BODY_END] = "body_end", [BW_FRONTEND_WRITABLE] = "room",
	[BW_FRONTEND_DISCONNECTED] = "gone", [BW_FRONTEND_DONE] = "done",
};

enum bw_status bw_frontend_new(struct bw_frontend **frontend,
			       struct ev_loop *loop,
			       const struct bw_frontend_config *config)
{
	struct bw_frontend *new;
	enum bw_status status = check_config_(config);
	uint32_t i;

	*frontend = NULL;
	if (status != BW_OK)
		return status;
	new = calloc(1, sizeof(*new));
	if (!new)
		return BW_ENOMEM;
	new->loop = loop;
	new->handler = config->handler;
	new->ring_bytes = config->ring_bytes;
	ev_prepare_init(&new->deferred, on_deferred_);
	new->deferred.data = new;
	new->disconnect_fd = epoll_create1(EPOLL_CLOEXEC);
	status = BW_EIO;
	if (new->disconnect_fd < 0)
		goto fail;
	ev_io_init(&new->disconnect_io, on_disconnect_, new->disconnect_fd,
		   EV_READ);
	new->disconnect_io.data = new;
	ev_io_start(loop, &new->disconnect_io);
	for (i = 0; i < config->listener_count; i++) {
		new->listeners[i].frontend = new;
		new->listeners[i].index = i;
		new->listeners[i].config = config->listeners[i];
		status = listener_open_(&new->listeners[i]);
		if (status != BW_OK)
			goto fail;
		new->listener_count++;
	}
	*frontend = new;
	return BW_OK;
fail:
	bw_frontend_free(new);
	return status;
}

void bw_frontend_free(struct bw_frontend *frontend)
{
	struct bw_request *request;
	uint32_t i;

	if (!frontend)
		return;
	frontend->closing = true;
	for (request = frontend->requests; request; request = request->next) {
		request->must_close = true;
		if (request->head_reported)
			request_disconnected_(request);
		/* MHD aborts the process when a daemon is stopped while a
		 * connection is suspended. */
		request_resume_(request);
	}
	for (i = 0; i < frontend->listener_count; i++)
		listener_close_(&frontend->listeners[i]);
	ev_clear_pending(frontend->loop, &frontend->deferred);
	if (frontend->disconnect_fd >= 0) {
		ev_io_stop(frontend->loop, &frontend->disconnect_io);
		close(frontend->disconnect_fd);
	}
	free(frontend);
}

uint16_t bw_frontend_port(const struct bw_frontend *frontend, uint32_t index)
{
	assert(index < frontend->listener_count);
	return frontend->listeners[index].port;
}

void bw_frontend_stop(struct bw_frontend *frontend)
{
	uint32_t i;
	MHD_socket fd;

	if (frontend->stopping)
		return;
	frontend->stopping = true;
	for (i = 0; i < frontend->listener_count; i++) {
		fd = MHD_quiesce_daemon(frontend->listeners[i].daemon);
		if (fd != MHD_INVALID_SOCKET)
			close(fd);
	}
	ev_feed_event(frontend->loop, &frontend->deferred, EV_CUSTOM);
}

const struct bw_frontend_counters *
bw_frontend_counters(const struct bw_frontend *frontend)
{
	return &frontend->counters;
}

void listener_schedule_run_(struct listener *listener)
{
	listener->run_due = true;
	ev_feed_event(listener->frontend->loop, &listener->frontend->deferred,
		      EV_CUSTOM);
}

void frontend_check_idle_(struct bw_frontend *frontend)
{
	if (!frontend->stopping || frontend->idle_reported ||
	    frontend->closing || frontend->counters.active)
		return;
	frontend->idle_reported = true;
	if (frontend->handler.idle)
		frontend->handler.idle(frontend->handler.context);
}

static enum bw_status check_config_(const struct bw_frontend_config *config)
{
	const struct bw_frontend_listener *listener;
	struct in_addr address;
	uint32_t i;

	if (!config->listener_count ||
	    config->listener_count > BW_FRONTEND_LISTENERS_MAX ||
	    !config->ring_bytes || !config->handler.event)
		return BW_EINVAL;
	for (i = 0; i < config->listener_count; i++) {
		listener = &config->listeners[i];
		if (!listener->address || !listener->connection_limit ||
		    inet_pton(AF_INET, listener->address, &address) != 1 ||
		    listener->header_limit_bytes < HEADER_LIMIT_MIN_BYTES ||
		    !listener->certificate_pem != !listener->key_pem)
			return BW_EINVAL;
	}
	return BW_OK;
}

static enum bw_status listener_open_(struct listener *listener)
{
	struct bw_frontend_listener *config = &listener->config;
	struct ev_loop *loop = listener->frontend->loop;
	const union MHD_DaemonInfo *info;
	unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
	size_t pool_bytes = (size_t)config->header_limit_bytes * POOL_FACTOR;
	int fd = socket_open_(config);
	struct sockaddr_in bound;
	socklen_t bound_size = sizeof(bound);
	struct MHD_OptionItem tls_options[] = {
		{ MHD_OPTION_HTTPS_MEM_CERT, 0,
		  (void *)config->certificate_pem },
		{ MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)config->key_pem },
		{ MHD_OPTION_END, 0, NULL }
	};
	struct MHD_OptionItem no_options[] = { { MHD_OPTION_END, 0, NULL } };

	if (fd < 0)
		return BW_EIO;
	if (getsockname(fd, (struct sockaddr *)&bound, &bound_size)) {
		close(fd);
		return BW_EIO;
	}
	if (config->certificate_pem)
		flags |= MHD_USE_TLS;
	if (pool_bytes < POOL_MIN_BYTES)
		pool_bytes = POOL_MIN_BYTES;
	listener->port = ntohs(bound.sin_port);
	listener->daemon = MHD_start_daemon(
		flags, 0, NULL, NULL, request_access_, listener,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)config->connection_limit,
		MHD_OPTION_PER_IP_CONNECTION_LIMIT,
		(unsigned int)config->connection_limit_per_ip,
		MHD_OPTION_CONNECTION_TIMEOUT,
		(unsigned int)config->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, pool_bytes,
		MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_URI_LOG_CALLBACK,
		request_new_, listener, MHD_OPTION_NOTIFY_COMPLETED,
		request_completed_, listener, MHD_OPTION_NOTIFY_CONNECTION,
		on_connection_, listener, MHD_OPTION_ARRAY,
		config->certificate_pem ? tls_options : no_options,
		MHD_OPTION_END);
	config->address = NULL;
	config->certificate_pem = NULL;
	config->key_pem = NULL;
	if (!listener->daemon) {
		close(fd);
		return BW_EIO;
	}
	info = MHD_get_daemon_info(listener->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	ev_io_init(&listener->io, on_daemon_io_, info->epoll_fd, EV_READ);
	listener->io.data = listener;
	ev_timer_init(&listener->timer, on_daemon_timer_, 0., 0.);
	listener->timer.data = listener;
	ev_timer_init(&listener->sweep, on_sweep_, SWEEP_INTERVAL_S,
		      SWEEP_INTERVAL_S);
	listener->sweep.data = listener;
	ev_io_start(loop, &listener->io);
	if (config->idle_timeout_s)
		ev_timer_start(loop, &listener->sweep);
	return BW_OK;
}

static int socket_open_(const struct bw_frontend_listener *config)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int one = 1;
	int fd;

	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	address.sin_port = htons(config->port);
	inet_pton(AF_INET, config->address, &address.sin_addr);
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

static void listener_close_(struct listener *listener)
{
	struct ev_loop *loop = listener->frontend->loop;

	MHD_run(listener->daemon);
	ev_io_stop(loop, &listener->io);
	ev_timer_stop(loop, &listener->timer);
	ev_timer_stop(loop, &listener->sweep);
	MHD_stop_daemon(listener->daemon);
	assert(!listener->connections);
}

static void listener_run_(struct listener *listener)
{
	struct ev_loop *loop = listener->frontend->loop;
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	listener->run_due = false;
	MHD_run(listener->daemon);
	ev_timer_stop(loop, &listener->timer);
	if (MHD_get_timeout(listener->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&listener->timer, (double)timeout_ms / MS_PER_S, 0.);
	ev_timer_start(loop, &listener->timer);
}

static void on_daemon_io_(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	listener_run_(watcher->data);
}

static void on_daemon_timer_(struct ev_loop *loop, ev_timer *watcher,
			     int events)
{
	(void)loop;
	(void)events;
	listener_run_(watcher->data);
}

/* The connection timeout of MHD restarts with every byte, so a client that
 * sends its head slowly could keep a connection open without limit. */
static void on_sweep_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct listener *listener = watcher->data;
	int64_t limit_ms = (int64_t)listener->config.idle_timeout_s * MS_PER_S;
	struct bw_clock clock;
	struct bw_time now;
	struct connection *connection;

	(void)loop;
	(void)events;
	bw_clock_init_monotonic(&clock);
	now = bw_clock_now(&clock);
	for (connection = listener->connections; connection;
	     connection = connection->next) {
		if (!connection->awaiting_head ||
		    bw_time_diff_ms(now, connection->wait_start) <=
			    limit_ms + MS_PER_S)
			continue;
		shutdown(connection->fd, SHUT_RDWR);
		connection->awaiting_head = false;
	}
}

/* MHD does not poll a suspended connection, so disconnected clients are
 * detected by a separate epoll set that polls for EPOLLRDHUP only. */
static void on_disconnect_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct bw_frontend *frontend = watcher->data;
	struct epoll_event disconnects[DISCONNECT_BATCH];
	struct bw_request *request;
	int count;
	int i;

	(void)loop;
	(void)events;
	count = epoll_wait(frontend->disconnect_fd, disconnects,
			   DISCONNECT_BATCH, 0);
	for (i = 0; i < count; i++) {
		request = disconnects[i].data.ptr;
		if (request->kind == RESPONSE_WHOLE || request->ended)
			continue;
		request_disconnected_(request);
	}
}

static void on_deferred_(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	struct bw_frontend *frontend = watcher->data;
	struct bw_request *request;
	uint32_t i;

	(void)loop;
	(void)events;
	while (frontend->wake_list) {
		request = frontend->wake_list;
		frontend->wake_list = request->wake_next;
		request->wake_next = NULL;
		request->in_wake_list = false;
		request_resume_(request);
	}
	for (i = 0; i < frontend->listener_count; i++) {
		if (frontend->listeners[i].run_due)
			listener_run_(&frontend->listeners[i]);
	}
	frontend_check_idle_(frontend);
}

static void on_connection_(void *context, struct MHD_Connection *connection,
			   void **slot,
			   enum MHD_ConnectionNotificationCode code)
{
	struct listener *listener = context;
	const union MHD_ConnectionInfo *info;
	struct connection *new;
	struct bw_clock clock;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (*slot)
			connection_remove_(listener, *slot);
		*slot = NULL;
		return;
	}
	new = calloc(1, sizeof(*new));
	if (!new)
		return;
	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	bw_clock_init_monotonic(&clock);
	new->fd = info->connect_fd;
	new->awaiting_head = true;
	new->wait_start = bw_clock_now(&clock);
	new->next = listener->connections;
	if (new->next)
		new->next->previous = new;
	listener->connections = new;
	*slot = new;
}

static void connection_remove_(struct listener *listener,
			       struct connection *connection)
{
	if (connection->next)
		connection->next->previous = connection->previous;
	if (connection->previous)
		connection->previous->next = connection->next;
	else
		listener->connections = connection->next;
	free(connection);
}

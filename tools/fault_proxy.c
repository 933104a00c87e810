#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <glib.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bwbase/clock.h"
#include "bwproxy/frontend.h"
#include "fault.h"

#define CHUNK_BYTES 16384
#define QUEUE_LIMIT_BYTES 1048576
#define LINKS_MAX 8192
#define COMMAND_LIMIT_BYTES 65536
#define LISTEN_BACKLOG 1024
#define US_PER_MS 1000
#define US_PER_S 1e6
/* 1 kbit/s moves 1 bit in 1000 us. */
#define US_PER_BIT_AT_1_KBIT 1000

struct proxy;
struct link;

/** Bytes on their way, with the time at which they may be written. */
struct chunk {
	struct chunk *next;
	uint64_t due_us;
	size_t size_bytes;
	size_t at;
	uint8_t data[];
};

/** One listening address. */
struct pair {
	struct proxy *proxy;
	struct sockaddr_in target;
	uint32_t delay_ms;
	uint32_t rate_kbit_per_s;
	uint64_t free_us[2]; /**< end of the last transmission, each way */
	ev_io io;
	int fd;
};

/** One direction of a connection. */
struct flow {
	struct link *link;
	int from;
	int to;
	int way; /**< 0: from the caller, 1: to the caller */
	ev_io readable;
	ev_io writable;
	ev_timer due;
	struct chunk *first;
	struct chunk *last;
	size_t queued_bytes;
	bool ended; /**< the sender has shut down */
	bool closed; /**< passed on to the receiver */
};

/** One forwarded connection. */
struct link {
	struct link *next;
	struct link *previous;
	struct pair *pair;
	struct sockaddr_in source;
	int caller;
	int target; /**< -1: not opened yet */
	bool connected;
	bool frozen;
	ev_io connecting;
	struct flow flows[2];
};

/** The process. */
struct proxy {
	struct ev_loop *loop;
	struct fault_config *config;
	struct fault_rules rules;
	struct pair *pairs;
	uint32_t pair_count;
	struct link *links;
	uint32_t link_count;
	struct bw_frontend *frontend; /**< commands by HTTP; may be NULL */
	struct bw_buffer input; /**< incomplete command line */
	ev_io input_io;
};

static bool pair_open_(struct pair *pair, const struct fault_pair *config);
static void on_accept_(struct ev_loop *loop, ev_io *watcher, int events);
static void link_connect_(struct link *link);
static void on_connected_(struct ev_loop *loop, ev_io *watcher, int events);
static void link_start_(struct link *link);
static void link_close_(struct link *link, bool reset);
static void link_update_(struct link *link);
static void flow_init_(struct flow *flow, struct link *link, int way);
static void flow_watch_(struct flow *flow);
static void flow_stop_(struct flow *flow);
static void on_readable_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_writable_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_due_(struct ev_loop *loop, ev_timer *watcher, int events);
static bool flow_queue_(struct flow *flow, const uint8_t *data, size_t size);
static void flow_push_(struct flow *flow);
static void reset_(int fd);
static void apply_(struct proxy *proxy);
static void on_input_(struct ev_loop *loop, ev_io *watcher, int events);
static void run_lines_(struct proxy *proxy, struct bw_buffer *input,
		       struct bw_buffer *out);
static void on_command_(void *context, const struct bw_frontend_event *event);
static bool commands_open_(struct proxy *proxy, int port);
static void on_end_(struct ev_loop *loop, ev_signal *watcher, int events);
static void on_limit_(struct ev_loop *loop, ev_timer *watcher, int events);
static bool start_(struct proxy *proxy, const char *path, int port);
static void finish_(struct proxy *proxy);

int main(int argc, char **argv)
{
	static struct proxy proxy;
	char *path = NULL;
	int port = 0;
	int max_s = 3600;
	GOptionEntry entries[] = {
		{ "config", 0, 0, G_OPTION_ARG_FILENAME, &path, "Address pairs",
		  "FILE" },
		{ "command-port", 0, 0, G_OPTION_ARG_INT, &port,
		  "Loopback port for commands by POST; 0: none", "PORT" },
		{ "max-s", 0, 0, G_OPTION_ARG_INT, &max_s,
		  "End after this time", "S" },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new("- TCP fault proxy");
	ev_signal term;
	ev_signal interrupt;
	ev_timer limit;
	int result = 1;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) || !path ||
	    max_s < 1) {
		fprintf(stderr, "--config is needed\n");
		goto out;
	}
	signal(SIGPIPE, SIG_IGN);
	proxy.loop = ev_default_loop(EVFLAG_AUTO);
	if (!start_(&proxy, path, port))
		goto out;
	ev_signal_init(&term, on_end_, SIGTERM);
	ev_signal_init(&interrupt, on_end_, SIGINT);
	ev_timer_init(&limit, on_limit_, max_s, 0.);
	ev_signal_start(proxy.loop, &term);
	ev_signal_start(proxy.loop, &interrupt);
	ev_timer_start(proxy.loop, &limit);
	printf("ready\n");
	fflush(stdout);
	ev_run(proxy.loop, 0);
	result = 0;
out:
	finish_(&proxy);
	g_free(path);
	g_option_context_free(context);
	return result;
}

static bool start_(struct proxy *proxy, const char *path, int port)
{
	struct bw_yaml_error error = { 0 };
	uint32_t i;

	if (fault_config_read(path, &proxy->config, &error) != BW_OK) {
		fprintf(stderr, "%s:%u: %s\n", path, error.line, error.text);
		return false;
	}
	proxy->pairs =
		calloc(proxy->config->pairs_count, sizeof(*proxy->pairs));
	if (!proxy->pairs)
		return false;
	for (i = 0; i < proxy->config->pairs_count; i++) {
		proxy->pairs[i].proxy = proxy;
		if (!pair_open_(&proxy->pairs[i], &proxy->config->pairs[i])) {
			fprintf(stderr, "cannot listen on %s\n",
				proxy->config->pairs[i].listen);
			return false;
		}
		proxy->pair_count++;
	}
	if (port && !commands_open_(proxy, port)) {
		fprintf(stderr, "cannot listen on port %d\n", port);
		return false;
	}
	ev_io_init(&proxy->input_io, on_input_, STDIN_FILENO, EV_READ);
	proxy->input_io.data = proxy;
	if (fcntl(STDIN_FILENO, F_SETFL, O_NONBLOCK) == 0)
		ev_io_start(proxy->loop, &proxy->input_io);
	return true;
}

static void finish_(struct proxy *proxy)
{
	uint32_t i;

	while (proxy->links)
		link_close_(proxy->links, true);
	for (i = 0; i < proxy->pair_count; i++) {
		ev_io_stop(proxy->loop, &proxy->pairs[i].io);
		close(proxy->pairs[i].fd);
	}
	bw_frontend_free(proxy->frontend);
	bw_buffer_finish(&proxy->input);
	free(proxy->pairs);
	fault_config_free(proxy->config);
}

static bool pair_open_(struct pair *pair, const struct fault_pair *config)
{
	struct sockaddr_in address;
	int one = 1;

	if (!fault_address_parse(config->listen, &address) ||
	    !fault_address_parse(config->target, &pair->target))
		return false;
	pair->delay_ms = config->delay_ms;
	pair->rate_kbit_per_s = config->rate_kbit_per_s;
	pair->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (pair->fd < 0)
		return false;
	setsockopt(pair->fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(pair->fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(pair->fd, LISTEN_BACKLOG)) {
		close(pair->fd);
		return false;
	}
	ev_io_init(&pair->io, on_accept_, pair->fd, EV_READ);
	pair->io.data = pair;
	ev_io_start(pair->proxy->loop, &pair->io);
	return true;
}

static void on_accept_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct pair *pair = watcher->data;
	struct proxy *proxy = pair->proxy;
	struct sockaddr_in source;
	socklen_t size = sizeof(source);
	struct link *link;
	int fd;

	(void)loop;
	(void)events;
	fd = accept4(pair->fd, (struct sockaddr *)&source, &size,
		     SOCK_NONBLOCK | SOCK_CLOEXEC);
	if (fd < 0)
		return;
	link = proxy->link_count < LINKS_MAX ? calloc(1, sizeof(*link)) : NULL;
	if (!link ||
	    fault_effect_of(&proxy->rules, &source, &pair->target).cut) {
		free(link);
		reset_(fd);
		return;
	}
	link->pair = pair;
	link->source = source;
	link->caller = fd;
	link->target = -1;
	ev_io_init(&link->connecting, on_connected_, -1, EV_WRITE);
	link->connecting.data = link;
	flow_init_(&link->flows[0], link, 0);
	flow_init_(&link->flows[1], link, 1);
	link->next = proxy->links;
	if (link->next)
		link->next->previous = link;
	proxy->links = link;
	proxy->link_count++;
	link_update_(link);
}

/* Connects from the caller's own address, so that the target sees it. */
static void link_connect_(struct link *link)
{
	struct sockaddr_in local = link->source;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		link_close_(link, true);
		return;
	}
	link->target = fd;
	local.sin_port = 0;
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&local, sizeof(local)) ||
	    (connect(fd, (struct sockaddr *)&link->pair->target,
		     sizeof(link->pair->target)) &&
	     errno != EINPROGRESS)) {
		link_close_(link, true);
		return;
	}
	ev_io_set(&link->connecting, fd, EV_WRITE);
	ev_io_start(link->pair->proxy->loop, &link->connecting);
}

static void on_connected_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct link *link = watcher->data;
	int error = 0;
	socklen_t size = sizeof(error);

	(void)events;
	ev_io_stop(loop, watcher);
	getsockopt(link->target, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error) {
		link_close_(link, true);
		return;
	}
	link->connected = true;
	link_start_(link);
}

static void link_start_(struct link *link)
{
	int one = 1;

	setsockopt(link->caller, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(link->target, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	link->flows[0].from = link->flows[1].to = link->caller;
	link->flows[0].to = link->flows[1].from = link->target;
	if (!link->frozen) {
		flow_watch_(&link->flows[0]);
		flow_watch_(&link->flows[1]);
	}
}

static void link_close_(struct link *link, bool reset)
{
	struct proxy *proxy = link->pair->proxy;
	struct chunk *chunk;
	int i;

	ev_io_stop(proxy->loop, &link->connecting);
	for (i = 0; i < 2; i++) {
		flow_stop_(&link->flows[i]);
		while ((chunk = link->flows[i].first)) {
			link->flows[i].first = chunk->next;
			free(chunk);
		}
	}
	if (reset) {
		reset_(link->caller);
		if (link->target >= 0)
			reset_(link->target);
	} else {
		close(link->caller);
		close(link->target);
	}
	if (link->next)
		link->next->previous = link->previous;
	if (link->previous)
		link->previous->next = link->next;
	else
		proxy->links = link->next;
	proxy->link_count--;
	free(link);
}

/* Applies the rules in force to one connection; may free it. */
static void link_update_(struct link *link)
{
	struct fault_effect effect = fault_effect_of(
		&link->pair->proxy->rules, &link->source, &link->pair->target);

	if (effect.cut) {
		link_close_(link, true);
		return;
	}
	link->frozen = effect.frozen;
	if (link->frozen) {
		flow_stop_(&link->flows[0]);
		flow_stop_(&link->flows[1]);
	} else if (link->connected) {
		flow_watch_(&link->flows[0]);
		flow_watch_(&link->flows[1]);
	} else if (link->target < 0) {
		link_connect_(link);
	}
}

static void flow_init_(struct flow *flow, struct link *link, int way)
{
	flow->link = link;
	flow->way = way;
	flow->from = flow->to = -1;
	ev_init(&flow->readable, on_readable_);
	ev_init(&flow->writable, on_writable_);
	ev_init(&flow->due, on_due_);
	flow->readable.data = flow->writable.data = flow->due.data = flow;
}

/* Watches what the flow can do next: read while there is room, write when the
 * first chunk is due. */
static void flow_watch_(struct flow *flow)
{
	struct ev_loop *loop = flow->link->pair->proxy->loop;
	uint64_t now_us = bw_clock_us();

	flow_stop_(flow);
	if (!flow->ended && flow->queued_bytes < QUEUE_LIMIT_BYTES) {
		ev_io_set(&flow->readable, flow->from, EV_READ);
		ev_io_start(loop, &flow->readable);
	}
	if (!flow->first)
		return;
	if (flow->first->due_us <= now_us) {
		ev_io_set(&flow->writable, flow->to, EV_WRITE);
		ev_io_start(loop, &flow->writable);
		return;
	}
	ev_now_update(loop);
	ev_timer_set(&flow->due,
		     (double)(flow->first->due_us - now_us) / US_PER_S, 0.);
	ev_timer_start(loop, &flow->due);
}

static void flow_stop_(struct flow *flow)
{
	struct ev_loop *loop = flow->link->pair->proxy->loop;

	ev_io_stop(loop, &flow->readable);
	ev_io_stop(loop, &flow->writable);
	ev_timer_stop(loop, &flow->due);
}

static void on_readable_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct flow *flow = watcher->data;
	uint8_t data[CHUNK_BYTES];
	ssize_t got = recv(flow->from, data, sizeof(data), 0);

	(void)loop;
	(void)events;
	if (got < 0 && errno == EAGAIN)
		return;
	if (got < 0) {
		link_close_(flow->link, true);
		return;
	}
	if (!got)
		flow->ended = true;
	/* The end is queued as an empty chunk, so that it is delayed too. */
	if (!flow_queue_(flow, data, (size_t)got)) {
		link_close_(flow->link, true);
		return;
	}
	flow_push_(flow);
}

static void on_writable_(struct ev_loop *loop, ev_io *watcher, int events)
{
	(void)loop;
	(void)events;
	flow_push_(watcher->data);
}

static void on_due_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	flow_push_(watcher->data);
}

static bool flow_queue_(struct flow *flow, const uint8_t *data, size_t size)
{
	struct link *link = flow->link;
	struct pair *pair = link->pair;
	struct fault_effect effect = fault_effect_of(
		&pair->proxy->rules, &link->source, &pair->target);
	uint32_t rate = effect.rate_kbit_per_s ? effect.rate_kbit_per_s
					       : pair->rate_kbit_per_s;
	uint64_t start_us = bw_clock_us();
	struct chunk *chunk = malloc(sizeof(*chunk) + size);

	if (!chunk)
		return false;
	if (rate) {
		if (start_us < pair->free_us[flow->way])
			start_us = pair->free_us[flow->way];
		start_us += (uint64_t)size * 8 * US_PER_BIT_AT_1_KBIT / rate;
		pair->free_us[flow->way] = start_us;
	}
	chunk->next = NULL;
	chunk->due_us =
		start_us +
		(uint64_t)(pair->delay_ms + effect.delay_ms) * US_PER_MS;
	/* A shorter delay must not reorder bytes. */
	if (flow->first && chunk->due_us < flow->last->due_us)
		chunk->due_us = flow->last->due_us;
	chunk->size_bytes = size;
	chunk->at = 0;
	memcpy(chunk->data, data, size);
	if (flow->first)
		flow->last->next = chunk;
	else
		flow->first = chunk;
	flow->last = chunk;
	flow->queued_bytes += size;
	return true;
}

static void flow_push_(struct flow *flow)
{
	struct link *link = flow->link;
	struct chunk *chunk;
	ssize_t sent;

	while ((chunk = flow->first) && chunk->due_us <= bw_clock_us()) {
		if (!chunk->size_bytes) {
			shutdown(flow->to, SHUT_WR);
			flow->closed = true;
		} else {
			sent = send(flow->to, chunk->data + chunk->at,
				    chunk->size_bytes - chunk->at,
				    MSG_NOSIGNAL);
			if (sent < 0 && errno == EAGAIN)
				break;
			if (sent < 0) {
				link_close_(link, true);
				return;
			}
			chunk->at += (size_t)sent;
			flow->queued_bytes -= (size_t)sent;
			if (chunk->at < chunk->size_bytes)
				break;
		}
		flow->first = chunk->next;
		free(chunk);
	}
	if (link->flows[0].closed && link->flows[1].closed) {
		link_close_(link, false);
		return;
	}
	flow_watch_(flow);
}

static void reset_(int fd)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
}

static void apply_(struct proxy *proxy)
{
	struct link *link = proxy->links;
	struct link *next;

	for (; link; link = next) {
		next = link->next;
		link_update_(link);
	}
}

static void on_input_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct proxy *proxy = watcher->data;
	struct bw_buffer out = { 0 };
	char data[1024];
	ssize_t got = read(STDIN_FILENO, data, sizeof(data));

	(void)events;
	if (got < 0 && errno == EAGAIN)
		return;
	if (got <= 0) {
		ev_io_stop(loop, watcher);
		return;
	}
	bw_buffer_append(&proxy->input, data, (size_t)got);
	run_lines_(proxy, &proxy->input, &out);
	if (proxy->input.size_bytes > COMMAND_LIMIT_BYTES)
		bw_buffer_clear(&proxy->input);
	if (out.size_bytes)
		fwrite(out.data, 1, out.size_bytes, stdout);
	fflush(stdout);
	bw_buffer_finish(&out);
}

/* Runs and removes each complete line. */
static void run_lines_(struct proxy *proxy, struct bw_buffer *input,
		       struct bw_buffer *out)
{
	uint8_t *end;
	bool changed = false;

	while (input->size_bytes &&
	       (end = memchr(input->data, '\n', input->size_bytes))) {
		*end = '\0';
		changed |= fault_command(&proxy->rules,
					 (const char *)input->data, out);
		bw_buffer_consume(input, (size_t)(end - input->data) + 1);
	}
	if (changed)
		apply_(proxy);
}

static bool commands_open_(struct proxy *proxy, int port)
{
	struct bw_frontend_listener listener = {
		.address = "127.0.0.1",
		.port = (uint16_t)port,
		.connection_limit = 16,
		.idle_timeout_s = 60,
		.header_limit_bytes = 4096,
		.body_limit_bytes = COMMAND_LIMIT_BYTES,
	};
	struct bw_frontend_config config = {
		.listeners = &listener,
		.listener_count = 1,
		.ring_bytes = 4096,
		.user = { .context = proxy, .event = on_command_ },
	};

	return bw_frontend_new(&proxy->frontend, proxy->loop, &config) == BW_OK;
}

static void on_command_(void *context, const struct bw_frontend_event *event)
{
	struct bw_buffer *body = bw_request_user(event->request);
	struct bw_buffer out = { 0 };

	switch (event->kind) {
	case BW_FRONTEND_HEAD:
		bw_request_set_user(event->request, calloc(1, sizeof(*body)));
		break;
	case BW_FRONTEND_BODY:
		if (body)
			bw_buffer_append(body, event->data, event->size_bytes);
		break;
	case BW_FRONTEND_BODY_END:
		if (body && bw_buffer_append(body, "\n", 1) == BW_OK)
			run_lines_(context, body, &out);
		bw_request_respond(event->request, 200, NULL, 0, out.data,
				   out.size_bytes);
		bw_buffer_finish(&out);
		break;
	case BW_FRONTEND_DONE:
		if (body)
			bw_buffer_finish(body);
		free(body);
		break;
	default:
		break;
	}
}

static void on_end_(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void on_limit_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

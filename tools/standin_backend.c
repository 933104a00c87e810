#include <fcntl.h>
#include <jansson.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "payload.h"
#include "bwbase/clock.h"
#include "standin.h"

#define MS_PER_S 1000.
#define HEARTBEAT_S 1.
#define DRAIN_POLL_S 0.05
#define ID_BYTES 128
#define BODY_LIMIT_BYTES (64 * 1024 * 1024)
#define MARKER_WINDOW_BYTES 65536
#define WRONG_LENGTH_EXTRA_BYTES 10
#define INCARNATION_BITS 53

/** Execution of one request. */
struct run {
	struct instance *instance;
	struct bw_request *request;
	char key[ID_BYTES];
	char request_id[ID_BYTES];
	ev_timer timer;
	bool started; /**< start is in the ledger, end is not */
	bool past_deadline;
	enum fault fault;
	struct bw_buffer body; /**< first bytes of the request body */
	struct bw_buffer response;
	size_t response_sent_bytes;
};

static bool instance_open_(struct instance *instance);
static void on_request_event_(void *context,
			      const struct bw_frontend_event *event);
static void on_head_(struct instance *instance, struct bw_request *request);
static void on_body_end_(struct run *run);
static void on_service_end_(struct ev_loop *loop, ev_timer *watcher,
			    int events);
static void send_response_(struct run *run);
static void record_run_end_(struct run *run, const char *result);
static bool has_crash_marker_(const struct run *run);
static double draw_service_time_ms_(struct instance *instance);
static void append_to_ledger_(const struct run *run, const char *event,
			      const char *result);
static void respond_busy_(struct bw_request *request);
static void on_crash_(struct ev_loop *loop, ev_prepare *watcher, int events);
static void on_restart_(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_heartbeat_(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_term_(struct ev_loop *loop, ev_signal *watcher, int events);
static void on_drain_poll_(struct ev_loop *loop, ev_timer *watcher, int events);
static void on_time_limit_(struct ev_loop *loop, ev_timer *watcher, int events);
static enum bw_status standin_start_(struct standin *standin);

int main(int argc, char **argv)
{
	static struct standin standin;
	ev_signal term;
	ev_signal interrupt;
	ev_timer poll;
	ev_timer limit;
	uint32_t i;
	int result = 1;

	if (!options_parse(&standin.options, argc, argv))
		goto out;
	signal(SIGPIPE, SIG_IGN);
	standin.loop = ev_default_loop(EVFLAG_AUTO);
	ev_signal_init(&term, on_term_, SIGTERM);
	ev_signal_init(&interrupt, on_term_, SIGINT);
	ev_timer_init(&poll, on_drain_poll_, DRAIN_POLL_S, DRAIN_POLL_S);
	ev_timer_init(&limit, on_time_limit_, standin.options.max_s, 0.);
	term.data = interrupt.data = poll.data = limit.data = &standin;
	if (standin_start_(&standin) != BW_OK) {
		fprintf(stderr, "cannot start\n");
		goto out;
	}
	ev_signal_start(standin.loop, &term);
	ev_signal_start(standin.loop, &interrupt);
	ev_timer_start(standin.loop, &poll);
	ev_timer_start(standin.loop, &limit);
	ev_run(standin.loop, 0);
	result = 0;
	for (i = 0; i < standin.count; i++)
		bw_frontend_free(standin.instances[i].frontend);
	bw_upstream_free(standin.upstream);
	if (standin.ledger_fd >= 0)
		close(standin.ledger_fd);
out:
	options_finish(&standin.options);
	return result;
}

static enum bw_status standin_start_(struct standin *standin)
{
	const struct options *options = &standin->options;
	struct bw_upstream_config config = { .connections_per_server = 64,
					     .connections_total = 1024,
					     .idle_timeout_s = 10,
					     .connect_timeout_ms = 500,
					     .header_limit_bytes = 16384,
					     .ring_bytes = 4096 };
	struct instance *instance;
	enum bw_status status;
	int i;

	bw_random_init(&standin->random, (uint64_t)options->seed);
	standin->ledger_fd = -1;
	if (options->ledger_path) {
		standin->ledger_fd =
			open(options->ledger_path,
			     O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
		if (standin->ledger_fd < 0)
			return BW_EIO;
	}
	status = bw_upstream_new(&standin->upstream, standin->loop, &config);
	if (status != BW_OK)
		return status;
	for (i = 0; i < options->count; i++) {
		instance = &standin->instances[i];
		instance->standin = standin;
		snprintf(instance->id, sizeof(instance->id), "%.20s-%d",
			 options->id_prefix, i + 1);
		if (options->port_base)
			instance->port = (uint16_t)(options->port_base + i);
		ev_timer_init(&instance->heartbeat, on_heartbeat_,
			      HEARTBEAT_S * i / options->count, HEARTBEAT_S);
		ev_timer_init(&instance->restart, on_restart_, 0., 0.);
		ev_prepare_init(&instance->crash_event, on_crash_);
		instance->heartbeat.data = instance;
		instance->restart.data = instance;
		instance->crash_event.data = instance;
		report_init(instance);
		if (!instance_open_(instance))
			return BW_EIO;
		standin->count++;
		ev_timer_start(standin->loop, &instance->heartbeat);
		printf("%s %s:%u\n", instance->id, options->address,
		       instance->port);
	}
	fflush(stdout);
	return BW_OK;
}

static bool instance_open_(struct instance *instance)
{
	const struct options *options = &instance->standin->options;
	struct bw_frontend_listener listener = {
		.address = options->address,
		.port = instance->port,
		.connection_limit = (uint32_t)options->connections,
		.header_limit_bytes = 16384,
		.idle_timeout_s = 120,
		.body_limit_bytes = BODY_LIMIT_BYTES,
	};
	struct bw_frontend_config config = {
		.listeners = &listener,
		.listener_count = 1,
		.ring_bytes = 65536,
		.handler = { .context = instance, .event = on_request_event_ },
	};
	struct bw_random entropy;

	if (bw_frontend_new(&instance->frontend, instance->standin->loop,
			    &config) != BW_OK)
		return false;
	instance->port = bw_frontend_port(instance->frontend, 0);
	/* Not from the seed: a restarted process needs a new incarnation. JSON
	 * parsers that use doubles are exact up to 53 bits. */
	bw_random_init_system(&entropy);
	instance->incarnation =
		(bw_random_next(&entropy) >> (64 - INCARNATION_BITS)) | 1;
	instance->state = INSTANCE_UP;
	instance->started_ms = bw_wall_ms();
	return true;
}

static void on_request_event_(void *context,
			      const struct bw_frontend_event *event)
{
	struct run *run = bw_request_context(event->request);

	if (event->kind == BW_FRONTEND_HEAD) {
		on_head_(context, event->request);
		return;
	}
	if (!run)
		return;
	switch (event->kind) {
	case BW_FRONTEND_BODY:
		if (run->body.size_bytes < MARKER_WINDOW_BYTES)
			bw_buffer_append(&run->body, event->data,
					 event->size_bytes);
		break;
	case BW_FRONTEND_BODY_END:
		on_body_end_(run);
		break;
	case BW_FRONTEND_WRITABLE:
		send_response_(run);
		break;
	case BW_FRONTEND_DISCONNECTED:
		ev_timer_stop(run->instance->standin->loop, &run->timer);
		record_run_end_(run, "cancelled");
		break;
	case BW_FRONTEND_DONE:
		ev_timer_stop(run->instance->standin->loop, &run->timer);
		record_run_end_(run, event->sent ? "sent" : "broken");
		run->instance->in_flight--;
		bw_buffer_finish(&run->body);
		bw_buffer_finish(&run->response);
		free(run);
		break;
	default:
		break;
	}
}

static void on_head_(struct instance *instance, struct bw_request *request)
{
	const struct options *options = &instance->standin->options;
	const char *key = bw_request_header(request, "Boragewing-Key");
	const char *id = bw_request_header(request, PAYLOAD_ID_FIELD);
	struct run *run;

	if (instance->state == INSTANCE_DOWN) {
		bw_request_abort(request);
		return;
	}
	if (options->fail_fast) {
		bw_request_respond(request, 500, NULL, 0, "failed\n", 7);
		return;
	}
	run = instance->in_flight < (uint32_t)options->slots
		      ? calloc(1, sizeof(*run))
		      : NULL;
	if (!run) {
		respond_busy_(request);
		return;
	}
	instance->in_flight++;
	run->instance = instance;
	run->request = request;
	snprintf(run->key, sizeof(run->key), "%s", key ? key : "");
	snprintf(run->request_id, sizeof(run->request_id), "%s", id ? id : "");
	ev_timer_init(&run->timer, on_service_end_, 0., 0.);
	run->timer.data = run;
	bw_request_set_context(request, run);
}

static void on_body_end_(struct run *run)
{
	struct instance *instance = run->instance;
	const struct options *options = &instance->standin->options;
	const char *deadline =
		bw_request_header(run->request, "Boragewing-Deadline-Ms");
	double wait_ms = draw_service_time_ms_(instance);

	run->started = true;
	append_to_ledger_(run, "start", NULL);
	if (has_crash_marker_(run)) {
		if (options->crash_process)
			_exit(3);
		instance->state = INSTANCE_DOWN;
		ev_feed_event(instance->standin->loop, &instance->crash_event,
			      EV_CUSTOM);
		return;
	}
	if (options->fault != FAULT_NONE &&
	    bw_random_below(&instance->standin->random, 100) <
		    (uint64_t)options->fault_percent)
		run->fault = options->fault;
	if (run->fault == FAULT_LATE)
		wait_ms += options->late_ms;
	if (deadline && bw_http_parse_length(deadline) >= 0 &&
	    wait_ms > (double)bw_http_parse_length(deadline)) {
		wait_ms = (double)bw_http_parse_length(deadline);
		run->past_deadline = true;
	}
	ev_timer_set(&run->timer, wait_ms / MS_PER_S, 0.);
	ev_timer_start(instance->standin->loop, &run->timer);
}

static void on_service_end_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	static const struct bw_http_header late = { "Boragewing-Outcome",
						    "may-have-run" };
	static const struct bw_http_header ran = { "Boragewing-Outcome",
						   "ran" };
	struct run *run = watcher->data;
	const struct options *options = &run->instance->standin->options;
	int64_t length;

	(void)loop;
	(void)events;
	if (run->past_deadline) {
		record_run_end_(run, "deadline");
		bw_request_respond(run->request, 504, &late, 1, "late\n", 5);
		return;
	}
	if (run->fault == FAULT_RESET ||
	    payload_append(&run->response, run->request_id,
			   (size_t)options->answer_bytes) != BW_OK) {
		bw_request_abort(run->request);
		return;
	}
	length = (int64_t)run->response.size_bytes;
	if (run->fault == FAULT_WRONG_LENGTH)
		length += WRONG_LENGTH_EXTRA_BYTES;
	if (run->fault == FAULT_SHORT_BODY)
		run->response.size_bytes /= 2;
	if (bw_request_start(run->request, 200, &ran, 1, length) != BW_OK) {
		bw_request_abort(run->request);
		return;
	}
	record_run_end_(run, "ran");
	send_response_(run);
}

static void send_response_(struct run *run)
{
	run->response_sent_bytes += bw_request_append(
		run->request, run->response.data + run->response_sent_bytes,
		run->response.size_bytes - run->response_sent_bytes);
	if (run->response_sent_bytes == run->response.size_bytes)
		bw_request_end(run->request);
}

static void record_run_end_(struct run *run, const char *result)
{
	if (!run->started)
		return;
	run->started = false;
	if (run->instance->state == INSTANCE_DOWN)
		result = "crashed";
	append_to_ledger_(run, "end", result);
}

static bool has_crash_marker_(const struct run *run)
{
	const char *marker = run->instance->standin->options.crash_marker;
	const struct bw_http_header *headers;
	size_t count;
	size_t i;

	if (!marker)
		return false;
	if (run->body.size_bytes && memmem(run->body.data, run->body.size_bytes,
					   marker, strlen(marker)))
		return true;
	headers = bw_request_headers(run->request, &count);
	for (i = 0; i < count; i++) {
		if (strstr(headers[i].value, marker))
			return true;
	}
	return false;
}

static double draw_service_time_ms_(struct instance *instance)
{
	const struct options *options = &instance->standin->options;
	double fraction = bw_random_unit(&instance->standin->random);
	double time_ms = options->service_ms;
	int64_t age_ms = bw_wall_ms() - instance->started_ms;

	switch (options->service_time) {
	case SERVICE_FIXED:
		break;
	case SERVICE_UNIFORM:
		time_ms *= 2. * fraction;
		break;
	case SERVICE_EXPONENTIAL:
		time_ms *= -log(1. - fraction);
		break;
	}
	if (age_ms < options->cold_start_ms)
		time_ms *= 1. + (options->cold_factor - 1.) *
					(1. - (double)age_ms /
						      options->cold_start_ms);
	return time_ms;
}

/* Unbuffered, one write per line, so that a crash loses no start line. */
static void append_to_ledger_(const struct run *run, const char *event,
			      const char *result)
{
	struct standin *standin = run->instance->standin;
	struct bw_buffer line = { 0 };
	json_t *object;
	char *text;

	if (standin->ledger_fd < 0)
		return;
	object = json_pack("{s:s, s:s, s:I, s:s, s:s, s:s, s:s, s:I, s:s*}",
			   "event", event, "backend", run->instance->id,
			   "incarnation",
			   (json_int_t)run->instance->incarnation, "key",
			   run->key, "request_id", run->request_id, "method",
			   bw_request_method(run->request), "path",
			   bw_request_path(run->request), "wall_ms",
			   (json_int_t)bw_wall_ms(), "result", result);
	text = object ? json_dumps(object, JSON_COMPACT) : NULL;
	if (!text || bw_buffer_printf(&line, "%s\n", text) != BW_OK ||
	    write(standin->ledger_fd, line.data, line.size_bytes) !=
		    (ssize_t)line.size_bytes)
		fprintf(stderr, "cannot write the ledger\n");
	bw_buffer_finish(&line);
	free(text);
	json_decref(object);
}

static void respond_busy_(struct bw_request *request)
{
	static const struct bw_http_header not_run = { "Boragewing-Outcome",
						       "not-run" };

	bw_request_respond(request, 503, &not_run, 1, "busy\n", 5);
}

static void on_crash_(struct ev_loop *loop, ev_prepare *watcher, int events)
{
	struct instance *instance = watcher->data;
	int restart_ms = instance->standin->options.restart_ms;

	(void)events;
	bw_frontend_free(instance->frontend);
	instance->frontend = NULL;
	if (!restart_ms)
		return;
	ev_timer_set(&instance->restart, restart_ms / MS_PER_S, 0.);
	ev_timer_start(loop, &instance->restart);
}

static void on_restart_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct instance *instance = watcher->data;
	uint32_t i;

	(void)loop;
	(void)events;
	if (!instance_open_(instance)) {
		fprintf(stderr, "%s: cannot restart\n", instance->id);
		return;
	}
	for (i = 0; i < instance->entry_count; i++)
		instance->entries[i].announced = false;
}

static void on_heartbeat_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct instance *instance = watcher->data;

	(void)loop;
	(void)events;
	if (instance->state == INSTANCE_UP)
		report_heartbeat(instance);
	else if (instance->state == INSTANCE_DRAINING && !instance->left)
		report_send(instance, "drain");
}

static void on_term_(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct standin *standin = watcher->data;
	uint32_t i;

	(void)loop;
	(void)events;
	if (standin->shutting_down)
		return;
	standin->shutting_down = true;
	for (i = 0; i < standin->count; i++) {
		struct instance *instance = &standin->instances[i];

		if (instance->state == INSTANCE_DOWN) {
			ev_timer_stop(standin->loop, &instance->restart);
			instance->left = true;
			continue;
		}
		instance->state = INSTANCE_DRAINING;
		instance->drain_started_ms = bw_wall_ms();
		report_send(instance, "drain");
	}
}

/* Sends leave for each drained instance; ends the loop when all have left. */
static void on_drain_poll_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	struct standin *standin = watcher->data;
	int64_t limit_ms = standin->options.drain_ms;
	bool all_left = standin->shutting_down;
	uint32_t i;

	(void)events;
	for (i = 0; standin->shutting_down && i < standin->count; i++) {
		struct instance *instance = &standin->instances[i];

		if (!instance->left && instance->state == INSTANCE_DRAINING &&
		    !instance->in_flight &&
		    bw_wall_ms() - instance->drain_started_ms >= limit_ms) {
			instance->left = true;
			report_send(instance, "leave");
			bw_frontend_stop(instance->frontend);
		}
		if (instance->state == INSTANCE_DOWN)
			instance->left = true;
		all_left &= instance->left;
		if (instance->frontend)
			all_left &= !bw_frontend_counters(instance->frontend)
					     ->active;
	}
	if (all_left && !standin->reports_in_flight)
		ev_break(loop, EVBREAK_ALL);
}

static void on_time_limit_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

#include "calls_private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHART_PATH_BYTES 512

#define HEADER_FIRST_ATTEMPT "Boragewing-First-Attempt"

static const char *const state_string_[] = {
	"receiving", "binding", "claiming",   "joined",	   "queued",
	"running",   "waiting", "forwarding", "streaming", "finished"
};
static const char *const event_string_[] = { "bind",	"claim",  "join",
					     "queue",	"start",  "backoff",
					     "forward", "stream", "end" };
static const char *const action_string_[] = { "bind", "dispatch", "forward",
					      "release" };
static const struct bw_chart_names chart_names_ = {
	state_string_,	  CALL_STATE_COUNT, event_string_,
	CALL_EVENT_COUNT, action_string_,   CALL_ACTION_COUNT
};

const char *const call_outcome_string[CALL_OUTCOME_COUNT] = {
	[CALL_RAN] = "ran",
	[CALL_NOT_RUN] = "not-run",
	[CALL_MAY_HAVE_RUN] = "may-have-run",
};

static void make_metrics_(struct calls *calls);
static bool handle_event_(const struct bw_frontend_event *event);
static struct call *new_call_(struct calls *calls, struct bw_request *request);
static void free_call_(struct call *call);
static void on_timer_(struct ev_loop *loop, ev_timer *watcher, int events);
static void handle_key_event_(struct calls *calls,
			      const struct bw_keys_event *event);
static void start_queued_(struct calls *calls, struct bw_time now);
static void free_ended_calls_(struct calls *calls);
static void expire_calls_(struct calls *calls, struct bw_time now);

enum bw_status calls_new(struct calls **out, struct host *host,
			 struct bw_yaml_error *error)
{
	struct calls *calls = calloc(1, sizeof(*calls));
	char path[CHART_PATH_BYTES];
	enum bw_status status;

	*out = calls;
	if (!calls)
		return BW_ENOMEM;
	calls->host = host;
	calls->next_id = 1;
	g_queue_init(&calls->active);
	g_queue_init(&calls->ended);
	calls->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	snprintf(path, sizeof(path), "%s/request.yaml",
		 host->settings->charts_folder);
	status = bw_chart_load(&calls->chart, path, &chart_names_, error);
	make_metrics_(calls);
	return status;
}

void calls_free(struct calls *calls)
{
	if (!calls)
		return;
	while (calls->active.head)
		free_call_(calls->active.head->data);
	while (calls->ended.head)
		free_call_(calls->ended.head->data);
	g_hash_table_destroy(calls->by_id);
	free(calls);
}

void calls_start(struct calls *calls, struct bw_request *request,
		 const char *path_suffix)
{
	struct call *call = new_call_(calls, request);

	if (!call) {
		bw_request_abort(request);
		return;
	}
	if (!call_read_head(call, path_suffix))
		return;
	report_arrival(&calls->host->steering.reports, call->service,
		       call->region);
	bw_retry_record_first_attempt(&calls->host->steering.retry,
				      call->service_index, call->rank);
	if (bw_request_content_length(request) > CALL_BUFFER_MAX_BYTES)
		call_stream_body(call);
}

bool calls_event(struct calls *calls, const struct bw_frontend_event *event)
{
	(void)calls;
	return handle_event_(event);
}

static bool handle_event_(const struct bw_frontend_event *event)
{
	struct call *call = bw_request_context(event->request);

	if (!call || call->kind != WEB_CONTEXT_CALL)
		return false;
	switch (event->kind) {
	case BW_FRONTEND_BODY:
		call_receive_body(call, event->data, event->size_bytes);
		break;
	case BW_FRONTEND_BODY_END:
		call->body_complete = true;
		if (call->body_streamed)
			call_forward_body(call, NULL, 0);
		else if (call->state == CALL_RECEIVING)
			call_process_request(call);
		break;
	case BW_FRONTEND_WRITABLE:
		call_resume_response(call);
		break;
	case BW_FRONTEND_DISCONNECTED:
		call_on_disconnect(call);
		break;
	case BW_FRONTEND_DONE:
		call->request = NULL;
		if (call->state == CALL_FINISHED)
			call->calls->free_ended = true;
		else
			call_on_disconnect(call);
		break;
	default:
		break;
	}
	return true;
}

void calls_tick(struct calls *calls, struct bw_time now)
{
	expire_calls_(calls, now);
	calls->start_queued = true;
}

void calls_process_events(struct calls *calls, struct bw_time now)
{
	struct bw_keys_event event;

	while (bw_keys_next_event(&calls->host->steering.keys, &event))
		handle_key_event_(calls, &event);
	if (calls->start_queued) {
		calls->start_queued = false;
		start_queued_(calls, now);
	}
	if (calls->free_ended) {
		calls->free_ended = false;
		free_ended_calls_(calls);
	}
}

uint32_t calls_active(const struct calls *calls)
{
	return calls->active.length + calls->ended.length;
}

void calls_dump(const struct calls *calls, json_t *object)
{
	uint32_t counts[CALL_STATE_COUNT] = { 0 };
	const struct call *call;
	const GList *item;
	uint32_t i;

	for (item = calls->active.head; item; item = item->next) {
		call = item->data;
		counts[call->state]++;
	}
	for (i = 0; i < CALL_STATE_COUNT; i++)
		json_object_set_new(object, state_string_[i],
				    json_integer(counts[i]));
}

enum call_outcome call_unclaimed_outcome(const struct call *call)
{
	const struct bw_request *request = call->request;

	if (!request || (!bw_request_header(request, CALL_HEADER_KEY) &&
			 !bw_request_header(request, CALL_HEADER_CALLER_KEY)))
		return CALL_NOT_RUN;
	if (bw_request_header(request, HEADER_FIRST_ATTEMPT))
		return CALL_NOT_RUN;
	return CALL_MAY_HAVE_RUN;
}

void call_fire(struct call *call, enum call_event event)
{
	struct bw_chart_step step;

	if (bw_chart_next(&call->calls->chart, call->state, (uint8_t)event,
			  &step) != BW_OK) {
		bw_log_event(call->calls->host->log, BW_LOG_ERROR, "calls",
			     "unexpected_event", "{s:s, s:s}", "state",
			     state_string_[call->state], "event",
			     event_string_[event]);
		return;
	}
	call->state = step.state;
	switch (step.action) {
	case CALL_ACTION_BIND:
		call_bind_key(call);
		break;
	case CALL_ACTION_DISPATCH:
		call_dispatch(call);
		break;
	case CALL_ACTION_FORWARD:
		call_forward(call);
		break;
	case CALL_ACTION_RELEASE:
		call_release(call);
		g_queue_unlink(&call->calls->active, &call->link);
		g_queue_push_tail_link(&call->calls->ended, &call->link);
		call->calls->free_ended = true;
		break;
	default:
		break;
	}
}

static void make_metrics_(struct calls *calls)
{
	struct bw_metrics *metrics = &calls->host->metrics;
	char labels[BW_LABELS_MAX];
	uint32_t i;

	for (i = 0; i < BW_SHEET_RANKS_MAX; i++) {
		snprintf(labels, sizeof(labels), "rank=\"%u\"", i);
		calls->latency[i] = bw_metrics_get(
			metrics, BW_METRIC_HISTOGRAM,
			"boragewing_request_seconds",
			"Time from the head of a request to the end of its "
			"response, by rank (0 is the most urgent).",
			labels);
	}
	for (i = 0; i < CALL_OUTCOME_COUNT; i++) {
		snprintf(labels, sizeof(labels), "outcome=\"%s\"",
			 call_outcome_string[i]);
		calls->outcomes[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER, "boragewing_requests_total",
			"Requests by the outcome told to the caller.", labels);
	}
	calls->retries = bw_metrics_get(metrics, BW_METRIC_COUNTER,
					"boragewing_retries_total",
					"Attempts after the first.", "");
	calls->hedges = bw_metrics_get(metrics, BW_METRIC_COUNTER,
				       "boragewing_hedges_total",
				       "Hedged attempts.", "");
	calls->refused = bw_metrics_get(metrics, BW_METRIC_COUNTER,
					"boragewing_refused_total",
					"Requests refused by admission.", "");
	calls->poisoned = bw_metrics_get(
		metrics, BW_METRIC_COUNTER, "boragewing_poisoned_total",
		"Requests rejected by their crash fingerprint.", "");
}

static struct call *new_call_(struct calls *calls, struct bw_request *request)
{
	struct call *call = calloc(1, sizeof(*call));
	uint32_t i;

	if (!call)
		return NULL;
	call->kind = WEB_CONTEXT_CALL;
	call->calls = calls;
	call->id = calls->next_id++;
	call->request = request;
	call->start_us = bw_clock_us();
	for (i = 0; i < CALL_ATTEMPTS; i++)
		call->attempts[i].call = call;
	ev_init(&call->timer, on_timer_);
	call->timer.data = call;
	call->link.data = call;
	g_queue_push_tail_link(&calls->active, &call->link);
	bw_request_set_context(request, call);
	return call;
}

static void free_call_(struct call *call)
{
	uint32_t i;

	if (call->request)
		bw_request_set_context(call->request, NULL);
	ev_timer_stop(call->calls->host->loop, &call->timer);
	g_queue_unlink(call->state == CALL_FINISHED ? &call->calls->ended
						    : &call->calls->active,
		       &call->link);
	for (i = 0; i < CALL_ATTEMPTS; i++) {
		bw_buffer_finish(&call->attempts[i].headers);
		bw_buffer_finish(&call->attempts[i].body);
	}
	bw_buffer_finish(&call->body);
	free(call->method);
	free(call->upstream_target);
	free(call->client_target);
	free(call);
}

static void on_timer_(struct ev_loop *loop, ev_timer *watcher, int events)
{
	(void)loop;
	(void)events;
	call_on_timer(watcher->data);
}

/* A joined call may end, or start a new run, during the iteration. */
static void handle_key_event_(struct calls *calls,
			      const struct bw_keys_event *event)
{
	struct call *call;
	GList *item = calls->active.head;

	while (item) {
		call = item->data;
		item = item->next;
		if (!call->has_key || memcmp(call->key.id, event->key.id,
					     sizeof(call->key.id)) != 0)
			continue;
		if (event->kind == BW_KEYS_EVENT_READY &&
		    call->state == CALL_CLAIMING && call->run == event->run) {
			call_admit(call);
			return;
		}
		if (event->kind == BW_KEYS_EVENT_ENDED &&
		    call->state == CALL_JOINED) {
			call_resolve_key(call);
		}
	}
}

static void start_queued_(struct calls *calls, struct bw_time now)
{
	struct steering *steering = &calls->host->steering;
	struct bw_admission *admission = &steering->admission;
	struct bw_admission_request next;
	struct call *call;
	uint32_t free_slots;
	uint32_t i;

	for (i = 0; i < admission->services_count; i++) {
		while (admission->services[i].queued) {
			free_slots = steering_free_slots(
				steering, admission->services[i].name,
				admission->services[i].running, now);
			if (bw_admission_next(admission, i, free_slots, now,
					      &next) != BW_OK)
				break;
			call = call_find(calls, next.id);
			if (!call) {
				bw_admission_done(admission, next.service,
						  next.rank, 0);
				continue;
			}
			g_hash_table_remove(calls->by_id, &call->id);
			call->admitted = true;
			call_fire(call, CALL_EVENT_START);
		}
	}
}

/*
 * Frees the ended calls to which neither the front end nor an upstream
 * request refers.
 */
static void free_ended_calls_(struct calls *calls)
{
	GList *item = calls->ended.head;
	struct call *call;

	while (item) {
		call = item->data;
		item = item->next;
		if (!call->request && !call->attempts[0].upstream &&
		    !call->attempts[1].upstream)
			free_call_(call);
	}
}

static void expire_calls_(struct calls *calls, struct bw_time now)
{
	struct steering *steering = &calls->host->steering;
	struct bw_admission_request expired;
	struct call *call;
	GList *item = calls->active.head;
	uint32_t service_index = UINT32_MAX;
	bool has_servers = true;

	while (bw_admission_expire(&steering->admission, now, &expired) ==
	       BW_OK) {
		call = call_find(calls, expired.id);
		if (call)
			call_fail(call, 503, "deadline", CALL_NOT_RUN,
				  bw_admission_retry_after_ms(
					  &steering->admission,
					  call->service_index, call->rank,
					  &calls->host->random));
	}
	while (item) {
		call = item->data;
		item = item->next;
		if (call->state == CALL_QUEUED &&
		    call->service_index != service_index) {
			service_index = call->service_index;
			has_servers = steering_has_servers(steering,
							   call->service, now);
		}
		if (call->state == CALL_QUEUED && !has_servers) {
			call_fail_no_server(call);
			continue;
		}
		if (!bw_time_reached(now, call->deadline))
			continue;
		if (call->state == CALL_JOINED)
			call_fail(call, 504, "deadline", CALL_MAY_HAVE_RUN, 0);
		else if (call->state == CALL_BINDING ||
			 call->state == CALL_RECEIVING)
			call_fail(call, 504, "deadline",
				  call_unclaimed_outcome(call), 0);
		else if (call->state == CALL_CLAIMING)
			call_fail(call, 504, "deadline", CALL_NOT_RUN, 0);
	}
}

struct call *call_find(struct calls *calls, uint64_t id)
{
	return g_hash_table_lookup(calls->by_id, &id);
}

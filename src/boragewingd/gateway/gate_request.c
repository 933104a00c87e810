#include "gate_request.h"

#include <stdlib.h>
#include <string.h>

#include "bwproxy/target.h"
#include "gate_customer.h"
#include "gate_entry_private.h"
#include "gate_entry_respond.h"
#include "gate_forward.h"
#include "gate_log.h"
#include "gate_notice.h"
#include "gate_poison.h"
#include "gate_request_check.h"
#include "platform.h"

/** Part of the deadline reserved to return the response to the client. */
#define RESPONSE_RESERVE_MS 25

/** A request is retried only if more than this time remains. */
#define RETRY_TIME_MIN_MS 30

/** Maximum number of failed connects of a request; one more rejects it. */
#define CONNECT_FAILURES_MAX 3

/** Deadline of a request without a deadline field. */
#define DEADLINE_DEFAULT_MS 10000

/** Retry-After of rejections without a better estimate. */
#define RETRY_AFTER_DEFAULT_MS 500

/** Retry-After of a request that a stopping host has not sent; others may. */
#define RETRY_AFTER_STOPPING_MS 100

/** Status of a server that has not finished a request by its deadline. */
#define STATUS_TIMEOUT 504

/**
 * Time after the deadline for which an attempt that must not run twice waits
 * for its server. The server ends its work at the deadline that it was sent, so
 * only the way of its response remains.
 */
#define ATTEMPT_GRACE_MS 1000

/** Fraction of the fleet's retries per request that entry hosts use. */
#define RETRY_SHARE 0.6

static struct gate_request *
new_request_(struct gate_entry *entry, struct bw_server_connection *connection,
	     const struct bw_http_message *message);
static void set_deadline_(struct gate_request *request,
			  const struct bw_http_message *message,
			  struct bw_time now);
static bool refuse_beyond_quota_(struct gate_request *request);
static bool reject_if_poison_(struct gate_request *request);
static bool is_current_(struct gate_request *request);
static bool is_current_on_connection_(struct gate_request *request);
static void reconsider_(struct gate_request *request, enum gate_check check);
static void dispatch_request_(struct gate_request *request);
static void send_attempt_(struct gate_request *request);
static void reject_without_connection_(struct gate_request *request);
static void record_attempt_(struct gate_request *request, struct bw_time now);
static void handle_response_(struct gate_request *request,
			     const struct bw_http_message *response,
			     struct bw_body *body);
static enum bw_job_result response_result_(uint16_t status_code);
static void handle_failure_(struct gate_request *request,
			    enum bw_pool_result result);
static bool may_retry_(struct gate_request *request, struct bw_time now,
		       bool not_run);
static void retry_(struct gate_request *request, const char *cause);
static void relay_response_(struct gate_request *request,
			    const struct bw_http_message *response,
			    struct bw_body *body);
static void reject_(struct gate_request *request, enum bw_reject reason,
		    uint32_t retry_after_ms);
static void fail_(struct gate_request *request, uint16_t status_code,
		  enum gate_outcome outcome, const char *cause);
static void finish_for_client_(struct gate_request *request,
			       enum gate_outcome outcome, uint16_t status_code,
			       const char *cause);
static void release_body_(struct gate_request *request);
static void end_job_(struct gate_request *request, enum bw_job_result result,
		     const struct bw_http_message *response);
static void cancel_upstream_(struct gate_request *request);
static void on_deadline_(struct ev_loop *loop, ev_timer *timer, int events);
static void start_attempt_timer_(struct gate_request *request);
static void on_attempt_end_(struct ev_loop *loop, ev_timer *timer, int events);
static int64_t remaining_ms_(const struct gate_request *request,
			     struct bw_time now);

void gate_request_begin(struct gate_entry *entry,
			struct bw_server_connection *connection,
			const struct bw_http_message *message)
{
	struct gate_request *request;
	const struct bw_route *route = NULL;
	const struct bw_customer *customer;
	char key[GATE_KEY_BYTES];
	struct bw_http_target target;

	bw_http_target_read(message, &target);
	if (entry->routing && target.host)
		route = bw_routing_find(entry->routing, target.host,
					target.host_bytes, target.path,
					target.path_bytes);
	if (!route) {
		gate_entry_respond_unrouted(entry, connection, message);
		return;
	}
	if (gate_customer_identify(entry->routing, route, message, key,
				   &customer) == GATE_IDENTITY_UNKNOWN) {
		gate_customer_respond_unknown(entry, connection, message);
		return;
	}
	request = new_request_(entry, connection, message);
	request->route = route;
	if (customer)
		request->key = g_strdup(key);
	gate_customer_set(request, customer);
	set_deadline_(request, message, gate_node_now(entry->node));
	gate_request_keep_input(request, message, &target);
	gate_request_choose_service(request);
	gate_forward_copy_head(request, message, &target);
	if (refuse_beyond_quota_(request))
		return;
	entry->retry_tokens += RETRY_SHARE * entry->node->settings.retry_ratio;
	if (request->expired)
		reject_(request, BW_REJECT_DEADLINE, RETRY_AFTER_DEFAULT_MS);
	else if (!reject_if_poison_(request))
		dispatch_request_(request);
}

void gate_request_client_disconnected(struct gate_request *request)
{
	request->connection = NULL;
	if (request->detached)
		return;
	cancel_upstream_(request);
	finish_for_client_(request, GATE_OUTCOME_CANCELLED, 0, "client_gone");
}

void gate_request_ended(void *context, void *owner, enum bw_pool_result result,
			const struct bw_http_message *response,
			struct bw_body *body)
{
	struct gate_entry *entry = context;
	struct gate_request *request = owner;

	request->upstream = NULL;
	bw_metric_observe(entry->upstream_us, bw_clock_us() - request->sent_us);
	if (result == BW_POOL_RESPONSE)
		handle_response_(request, response, body);
	else
		handle_failure_(request, result);
	gate_request_run_queue(entry);
}

bool gate_request_connected(void *context, void *owner)
{
	struct gate_request *request = owner;

	(void)context;
	if (request->connection &&
	    bw_connection_is_closed(request->connection)) {
		*bw_connection_context(request->connection) = NULL;
		gate_request_client_disconnected(request);
		return false;
	}
	return is_current_on_connection_(request);
}

void gate_request_run_queue(struct gate_entry *entry)
{
	struct bw_rejection rejection;
	enum bw_verdict verdict;
	struct bw_job *job;

	while ((job = bw_dispatch_next(&entry->dispatch,
				       gate_node_now(entry->node), &verdict,
				       &rejection))) {
		if (verdict == BW_VERDICT_SEND)
			send_attempt_(job->owner);
		else
			reject_(job->owner, rejection.reason,
				rejection.retry_after_ms);
	}
}

void gate_request_stop(struct gate_request *request)
{
	if (request->detached)
		return;
	if (request->job.queued)
		bw_dispatch_remove(&request->entry->dispatch, &request->job);
	cancel_upstream_(request);
	if (!request->upstream && !request->may_have_run)
		reject_(request, BW_REJECT_STOPPING, RETRY_AFTER_STOPPING_MS);
	else
		fail_(request, 502, GATE_OUTCOME_FAILED,
		      bw_reject_string[BW_REJECT_STOPPING]);
}

void gate_request_free(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;

	if (request->upstream)
		bw_pool_cancel(request->upstream);
	if (request->job.target)
		end_job_(request, BW_JOB_CANCELLED, NULL);
	bw_dispatch_remove(&entry->dispatch, &request->job);
	ev_timer_stop(entry->node->loop, &request->deadline_timer);
	*request->previous = request->next;
	if (request->next)
		request->next->previous = request->previous;
	entry->request_count--;
	bw_routing_unref(request->routing);
	bw_buffer_finish(&request->head);
	bw_body_finish(&request->body);
	g_free(request->host);
	g_free(request->affinity_key);
	g_free(request->key);
	g_free(request);
}

static struct gate_request *
new_request_(struct gate_entry *entry, struct bw_server_connection *connection,
	     const struct bw_http_message *message)
{
	struct gate_request *request = g_new0(struct gate_request, 1);

	request->entry = entry;
	request->connection = connection;
	*bw_connection_context(connection) = request;
	request->routing = bw_routing_ref(entry->routing);
	request->method = message->method;
	request->arrived_us = bw_clock_us();
	request->job.owner = request;
	bw_http_find(message, PLATFORM_FIELD_REQUEST_ID, request->id,
		     sizeof(request->id));
	request->traced =
		bw_log_sampled(entry->node->log, bw_registry_hash(request->id));
	bw_connection_take_body(connection, &request->body);
	request->next = entry->requests;
	request->previous = &entry->requests;
	if (request->next)
		request->next->previous = &request->next;
	entry->requests = request;
	entry->request_count++;
	return request;
}

static void set_deadline_(struct gate_request *request,
			  const struct bw_http_message *message,
			  struct bw_time now)
{
	const struct bw_route *route = request->route;
	struct bw_job *job = &request->job;
	int64_t timeout_ms = DEADLINE_DEFAULT_MS;
	char text[24];

	if (bw_http_find(message, PLATFORM_FIELD_DEADLINE, text, sizeof(text)))
		timeout_ms = strtoll(text, NULL, 10);
	timeout_ms = MIN(timeout_ms, (int64_t)route->timeout_ms);
	/* The client counts from the first byte, which a long body is behind.
	 */
	timeout_ms -= bw_connection_request_age_ms(request->connection);
	request->expired = timeout_ms <= 0;
	timeout_ms = MAX(timeout_ms - RESPONSE_RESERVE_MS, 1);
	job->arrived = now;
	job->deadline = bw_time_add(now, timeout_ms);
	job->objective = bw_time_add(now, route->target_latency_ms);
	ev_timer_init(&request->deadline_timer, on_deadline_,
		      (double)timeout_ms / 1000.0, 0.0);
	request->deadline_timer.data = request;
	ev_timer_start(request->entry->node->loop, &request->deadline_timer);
}

/* Refuses a request beyond its customer's quota. @return whether it was */
static bool refuse_beyond_quota_(struct gate_request *request)
{
	uint32_t retry_after_ms;

	if (gate_quota_admit(request, &retry_after_ms))
		return false;
	gate_quota_note_refused(request, retry_after_ms);
	gate_entry_respond_error(request, 429, retry_after_ms, "quota");
	finish_for_client_(request, GATE_OUTCOME_BEYOND_QUOTA, 429, "quota");
	return true;
}

/* Rejects a request that crashes servers. @return whether it was rejected */
static bool reject_if_poison_(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;
	uint32_t retry_after_ms;

	if (!gate_poison_rejects(&entry->poison, request,
				 gate_node_now(entry->node), &retry_after_ms))
		return false;
	reject_(request, BW_REJECT_CRASHES, retry_after_ms);
	return true;
}

static void dispatch_request_(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;
	struct bw_rejection rejection;

	switch (bw_dispatch_offer(&entry->dispatch, &request->job,
				  gate_node_now(entry->node), &rejection)) {
	case BW_VERDICT_SEND:
		send_attempt_(request);
		break;
	case BW_VERDICT_WAIT:
		if (request->traced)
			gate_log_queued(request);
		break;
	case BW_VERDICT_REJECT:
		reject_(request, rejection.reason, rejection.retry_after_ms);
		break;
	}
}

static void reconsider_(struct gate_request *request, enum gate_check check)
{
	static const enum bw_reject reasons[GATE_CHECK_COUNT] = {
		[GATE_CHECK_NO_ROUTE] = BW_REJECT_NO_ROUTE,
		[GATE_CHECK_NO_KEY] = BW_REJECT_NO_KEY,
		[GATE_CHECK_EXPIRED] = BW_REJECT_DEADLINE,
		[GATE_CHECK_BEHIND] = BW_REJECT_BEHIND,
	};

	/* This frees servers that are gone: the request refers to none now. */
	if (check == GATE_CHECK_SERVER)
		gate_entry_update_targets(request->entry,
					  gate_node_now(request->entry->node));
	if (check == GATE_CHECK_SERVER || check == GATE_CHECK_ROUTE)
		dispatch_request_(request);
	else
		reject_(request, reasons[check], RETRY_AFTER_DEFAULT_MS);
}

/*
 * Returns whether the request may be sent to its server by the newest state;
 * otherwise it has been dispatched again or rejected.
 */
static bool is_current_(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;
	enum gate_check check;

	check = gate_request_check(request, gate_node_refresh(entry->node));
	if (check == GATE_CHECK_CURRENT)
		return true;
	gate_request_log_check(request, check);
	request->job.target = NULL;
	reconsider_(request, check);
	return false;
}

/* The same for a request whose connection has just been established. */
static bool is_current_on_connection_(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;
	enum gate_check check;

	if (request->detached)
		return true;
	check = gate_request_check(request, gate_node_refresh(entry->node));
	if (check == GATE_CHECK_CURRENT)
		return true;
	gate_request_log_check(request, check);
	bw_pool_cancel(request->upstream);
	request->upstream = NULL;
	request->attempts--;
	end_job_(request, BW_JOB_CANCELLED, NULL);
	reconsider_(request, check);
	gate_request_run_queue(entry);
	return false;
}

static void send_attempt_(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;
	struct bw_job *job = &request->job;
	struct bw_time now;
	struct bw_pool_request send = { .request = request };
	struct bw_buffer head;

	/* The client has disconnected and needs no response. */
	if (bw_connection_is_closed(request->connection)) {
		job->target = NULL;
		finish_for_client_(request, GATE_OUTCOME_CANCELLED, 0,
				   "client_gone");
		return;
	}
	if (!is_current_(request))
		return;
	now = gate_node_now(entry->node);
	bw_dispatch_sent(&entry->dispatch, job, now);
	request->sent_us = bw_clock_us();
	bw_buffer_init(&head);
	gate_forward_write_head(request, &head, remaining_ms_(request, now));
	send.address = job->target->address;
	send.id = request->id;
	send.head = &head;
	send.body = request->body.bytes.data;
	send.body_bytes = request->body.bytes.size_bytes;
	send.head_response = request->method == HTTP_HEAD;
	if (!request->attempts) {
		uint64_t queue_us = request->sent_us - request->arrived_us;

		request->queue_ms = (uint32_t)(queue_us / 1000);
		bw_metric_observe(entry->queue_us, queue_us);
	}
	record_attempt_(request, now);
	request->attempts++;
	request->upstream = bw_pool_send(&entry->pool, &send);
	bw_buffer_finish(&head);
	if (request->traced)
		gate_log_sent(request, now);
	if (request->upstream)
		return;
	if (bw_pool_is_full(&entry->pool))
		reject_without_connection_(request);
	else
		handle_failure_(request, BW_POOL_NOT_SENT);
}

/* The server has not failed: this host has no connection to spare. */
static void reject_without_connection_(struct gate_request *request)
{
	request->attempts--;
	end_job_(request, BW_JOB_CANCELLED, NULL);
	reject_(request, BW_REJECT_OVERLOAD, RETRY_AFTER_DEFAULT_MS);
}

static void record_attempt_(struct gate_request *request, struct bw_time now)
{
	const struct bw_job *job = &request->job;
	struct gate_attempt *last = &request->last_attempt;

	memset(last, 0, sizeof(*last));
	g_strlcpy(last->server, job->target->id, sizeof(last->server));
	last->distance = job->target->distance;
	last->warm = job->warm;
	last->home = job->object && job->home == job->target;
	last->expected_ms = job->expected_ms;
	last->other_host_requests = job->target->other_requests;
	last->report_age_ms = gate_report_age_ms(job->target, now);
}

static void handle_response_(struct gate_request *request,
			     const struct bw_http_message *response,
			     struct bw_body *body)
{
	struct gate_entry *entry = request->entry;
	struct bw_time now = gate_node_now(entry->node);
	uint16_t code = response->status_code;
	char text[16];
	bool not_run = code == 421 ||
		       bw_http_find(response, PLATFORM_FIELD_NOT_EXECUTED, text,
				    sizeof(text));
	bool is_signed = bw_http_find(response, PLATFORM_FIELD_SIGNATURE,
				      (char[256]){ 0 }, 256);
	bool has_content_encoding =
		bw_http_find(response, "Content-Encoding", (char[64]){ 0 }, 64);
	bool claims_not_run = code == 429 || code == 503 || code == 408 ||
			      code == 421;

	if (not_run) {
		end_job_(request, BW_JOB_REFUSED, response);
		if (request->detached)
			gate_request_free(request);
		else if (may_retry_(request, now, true))
			retry_(request, "refused_by_server");
		else
			reject_(request, BW_REJECT_OVERLOAD,
				RETRY_AFTER_DEFAULT_MS);
		return;
	}
	if (!is_signed || has_content_encoding || claims_not_run) {
		handle_failure_(request, BW_POOL_INVALID);
		return;
	}
	gate_poison_completed(&entry->poison, request, now);
	end_job_(request, response_result_(code), response);
	request->may_have_run = true;
	if (request->detached)
		gate_request_free(request);
	else if (code >= 500 && may_retry_(request, now, false))
		retry_(request, "server_error");
	else
		relay_response_(request, response, body);
}

static enum bw_job_result response_result_(uint16_t status_code)
{
	if (status_code == STATUS_TIMEOUT)
		return BW_JOB_EXPIRED;
	return status_code >= 500 ? BW_JOB_FAILED : BW_JOB_ANSWERED;
}

static void handle_failure_(struct gate_request *request,
			    enum bw_pool_result result)
{
	struct gate_entry *entry = request->entry;
	struct bw_time now = gate_node_now(entry->node);
	bool not_sent = result == BW_POOL_NOT_SENT;

	if (not_sent) {
		bw_pool_close_idle(&entry->pool, request->job.target->address);
		gate_poison_server_lost(&entry->poison,
					request->job.target->id_hash,
					request->job.target->started_wall_ms,
					now);
	} else if (result == BW_POOL_CLOSED) {
		gate_poison_connection_lost(&entry->poison, request, now);
	}
	end_job_(request, not_sent ? BW_JOB_UNREACHABLE : BW_JOB_FAILED, NULL);
	request->may_have_run = request->may_have_run || !not_sent;
	if (not_sent) {
		request->attempts--;
		request->connect_failures++;
	}
	if (request->detached) {
		gate_request_free(request);
	} else if (not_sent) {
		if (request->connect_failures <= CONNECT_FAILURES_MAX)
			dispatch_request_(request);
		else
			reject_(request, BW_REJECT_NO_SERVER,
				RETRY_AFTER_DEFAULT_MS);
	} else if (reject_if_poison_(request)) {
		return;
	} else if (may_retry_(request, now, false)) {
		retry_(request, bw_pool_result_string[result]);
	} else {
		fail_(request, 502, GATE_OUTCOME_FAILED,
		      bw_pool_result_string[result]);
	}
}

/*
 * A retry must be safe to execute, and within the remaining time, the attempts
 * of the route and the retry budget.
 */
static bool may_retry_(struct gate_request *request, struct bw_time now,
		       bool not_run)
{
	struct gate_entry *entry = request->entry;

	return (not_run || request->route->idempotent) &&
	       request->attempts < request->route->attempts_max &&
	       remaining_ms_(request, now) > RETRY_TIME_MIN_MS &&
	       entry->retry_tokens >= 1.0;
}

static void retry_(struct gate_request *request, const char *cause)
{
	struct gate_entry *entry = request->entry;

	entry->retry_tokens -= 1.0;
	bw_metric_add(entry->retries, 1);
	gate_log_retried(request, cause);
	dispatch_request_(request);
}

static void relay_response_(struct gate_request *request,
			    const struct bw_http_message *response,
			    struct bw_body *body)
{
	struct bw_buffer fields;
	uint16_t code = response->status_code;

	bw_buffer_init(&fields);
	gate_forward_copy_fields(response, &fields);
	bw_connection_respond_body(request->connection, code, &fields, body,
				   false);
	request->connection = NULL;
	bw_buffer_finish(&fields);
	finish_for_client_(request, GATE_OUTCOME_ANSWERED, code, "");
}

static void reject_(struct gate_request *request, enum bw_reject reason,
		    uint32_t retry_after_ms)
{
	struct gate_entry *entry = request->entry;

	bw_metric_add(entry->rejections[reason], 1);
	/* A 503 means "not run", but an earlier attempt may have run. */
	if (request->may_have_run) {
		fail_(request, 502, GATE_OUTCOME_FAILED,
		      bw_reject_string[reason]);
		return;
	}
	gate_entry_respond_error(request, 503, retry_after_ms,
				 bw_reject_string[reason]);
	finish_for_client_(request, GATE_OUTCOME_REJECTED, 503,
			   bw_reject_string[reason]);
}

static void fail_(struct gate_request *request, uint16_t status_code,
		  enum gate_outcome outcome, const char *cause)
{
	gate_entry_respond_error(request, status_code, 0, cause);
	finish_for_client_(request, outcome, status_code, cause);
}

/*
 * Ends a request for its client; one in flight is freed when its attempt ends.
 */
static void finish_for_client_(struct gate_request *request,
			       enum gate_outcome outcome, uint16_t status_code,
			       const char *cause)
{
	struct gate_entry *entry = request->entry;
	uint64_t took_us = bw_clock_us() - request->arrived_us;
	bool succeeded = outcome == GATE_OUTCOME_ANSWERED && status_code < 500;

	if (!request->may_have_run && !request->upstream &&
	    (outcome == GATE_OUTCOME_REJECTED ||
	     outcome == GATE_OUTCOME_CANCELLED))
		gate_quota_give_back(request);
	if (request->connection)
		*bw_connection_context(request->connection) = NULL;
	request->connection = NULL;
	bw_metric_add(entry->outcomes[outcome], 1);
	bw_metric_observe(entry->total_us[request->route->idempotent], took_us);
	/* A refusal beyond the quota has a line of its own. */
	if (outcome != GATE_OUTCOME_BEYOND_QUOTA &&
	    (!succeeded || request->traced))
		gate_log_end(request, outcome, status_code, cause, took_us);
	request->detached = true;
	ev_timer_stop(entry->node->loop, &request->deadline_timer);
	release_body_(request);
	if (request->upstream)
		start_attempt_timer_(request);
	else
		gate_request_free(request);
}

/*
 * An attempt stays in flight for as long as its server is silent, and must not
 * hold the memory of its body for that time. A part that is not sent by now
 * completes a request that nobody waits for, so the attempt is cancelled.
 */
static void release_body_(struct gate_request *request)
{
	if (!request->upstream || !request->body.bytes.size_bytes)
		return;
	if (bw_pool_needs_body(request->upstream)) {
		bw_pool_cancel(request->upstream);
		request->upstream = NULL;
		end_job_(request, BW_JOB_CANCELLED, NULL);
		return;
	}
	gate_poison_keep_fingerprint(request);
	bw_body_finish(&request->body);
}

static void end_job_(struct gate_request *request, enum bw_job_result result,
		     const struct bw_http_message *response)
{
	struct gate_entry *entry = request->entry;
	struct bw_time now = gate_node_now(entry->node);
	uint64_t id_hash = request->job.target->id_hash;
	struct bw_load_report load = { 0 };
	bool has_load = false;
	char text[64];

	if (response &&
	    bw_http_find(response, PLATFORM_FIELD_LOAD, text, sizeof(text)))
		has_load = platform_load_read(text, &load);
	if (has_load)
		request->last_attempt.load = load;
	if (response)
		gate_notice_read(request, response, now);
	if (load.time_unreadable)
		gate_notice_unreadable_speed(request, now);
	request->last_attempt.took_ms =
		(uint32_t)((bw_clock_us() - request->sent_us) / 1000);
	bw_dispatch_ended(&entry->dispatch, &request->job, result,
			  has_load ? &load : NULL, now);
	gate_log_ejection(request, id_hash, now);
}

/*
 * Cancels an attempt that is idempotent or not sent yet. Any other attempt
 * continues until on_attempt_end_, because cancelling it would leave its
 * outcome unknown.
 */
static void cancel_upstream_(struct gate_request *request)
{
	bool sent;

	if (!request->upstream)
		return;
	sent = bw_pool_was_sent(request->upstream);
	if (sent && !request->route->idempotent)
		return;
	request->may_have_run = request->may_have_run || sent;
	bw_pool_cancel(request->upstream);
	request->upstream = NULL;
	end_job_(request, BW_JOB_CANCELLED, NULL);
}

static void on_deadline_(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct gate_request *request = timer->data;
	struct gate_entry *entry = request->entry;

	(void)loop;
	(void)events;
	if (request->job.queued) {
		bw_dispatch_remove(&entry->dispatch, &request->job);
		reject_(request, BW_REJECT_DEADLINE, RETRY_AFTER_DEFAULT_MS);
		return;
	}
	cancel_upstream_(request);
	if (!request->upstream && !request->may_have_run)
		reject_(request, BW_REJECT_DEADLINE, RETRY_AFTER_DEFAULT_MS);
	else
		fail_(request, 504, GATE_OUTCOME_TIMEOUT, "deadline");
}

/* Bounds the attempt of a request that has ended for its client. */
static void start_attempt_timer_(struct gate_request *request)
{
	struct gate_entry *entry = request->entry;
	int64_t rest_ms = remaining_ms_(request, gate_node_now(entry->node));

	rest_ms = MAX(rest_ms, 0) + ATTEMPT_GRACE_MS;
	ev_timer_init(&request->deadline_timer, on_attempt_end_,
		      (double)rest_ms / 1000.0, 0.0);
	ev_timer_start(entry->node->loop, &request->deadline_timer);
}

/* Closes the connection of an attempt whose server has not responded. */
static void on_attempt_end_(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct gate_request *request = timer->data;
	struct gate_entry *entry = request->entry;

	(void)loop;
	(void)events;
	bw_pool_cancel(request->upstream);
	request->upstream = NULL;
	end_job_(request, BW_JOB_FAILED, NULL);
	gate_request_free(request);
	gate_request_run_queue(entry);
}

static int64_t remaining_ms_(const struct gate_request *request,
			     struct bw_time now)
{
	return bw_time_diff_ms(request->job.deadline, now);
}

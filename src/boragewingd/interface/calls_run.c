#include "calls_private.h"

#include <stdio.h>
#include <string.h>

#include "directory.h"

#define HEADER_OUTCOME "Boragewing-Outcome"

/** Retry-After value when the domain has no backend server. */
#define NO_SERVER_RETRY_MS 1000

/** Delay before a retry when no backend server had a free slot. */
#define SLOT_RETRY_MS 10

static void offer_to_admission_(struct call *call);
static bool start_attempt_(struct call *call, struct call_attempt *attempt,
			   bool hedge);
static enum bw_status open_upstream_(struct call *call,
				     struct call_attempt *attempt,
				     const char *address, uint16_t port,
				     const char *target, bool forwarded);
static void on_upstream_event_(void *context,
			       const struct bw_upstream_event *event);
static void on_response_head_(struct call_attempt *attempt,
			      const struct bw_upstream_event *event);
static void on_response_body_(struct call_attempt *attempt,
			      const struct bw_upstream_event *event);
static void on_response_complete_(struct call_attempt *attempt);
static void on_attempt_failed_(struct call_attempt *attempt,
			       const struct bw_upstream_event *event);
static void on_forward_failed_(struct call_attempt *attempt, bool bytes_sent);
static void end_backend_request_(struct call_attempt *attempt,
				 enum bw_backend_outcome outcome);
static enum bw_backend_outcome
backend_outcome_(const struct bw_upstream_event *event);
static void record_crash_(struct call_attempt *attempt,
			  const struct bw_upstream_event *event);
static void retry_or_fail_(struct call *call, bool not_run, const char *code);
static void release_slot_(struct call *call, uint64_t run_us);
static bool other_attempt_runs_(const struct call *call,
				const struct call_attempt *attempt);
static void cancel_attempt_(struct call_attempt *attempt);
static void start_hedge_timer_(struct call *call);

void call_resolve_key(struct call *call)
{
	struct host *host = call->calls->host;
	struct bw_keys_decision decision;

	bw_keys_begin(&host->steering.keys, &call->key, call->digest,
		      host_now(host), &host->out, &decision);
	switch (decision.kind) {
	case BW_KEYS_RUN:
		call->run = decision.run;
		call->key_claimed = true;
		if (decision.ready)
			call_admit(call);
		else
			call_fire(call, CALL_EVENT_CLAIM);
		break;
	case BW_KEYS_JOIN:
		call_fire(call, CALL_EVENT_JOIN);
		break;
	case BW_KEYS_REPLAY:
		call_replay(call, &decision.response);
		break;
	case BW_KEYS_NOT_OWNER:
	case BW_KEYS_SEALED:
		call_forward_key(call, &decision);
		break;
	case BW_KEYS_OWNER_ENDED:
		call_recover_record(call);
		break;
	default:
		call_refuse_key(call, &decision);
		break;
	}
}

void call_admit(struct call *call)
{
	if (!call->request && !call->key_claimed) {
		call_fire(call, CALL_EVENT_END);
		return;
	}
	offer_to_admission_(call);
}

void call_dispatch(struct call *call)
{
	if (start_attempt_(call, &call->attempts[0], false))
		return;
	/* Another host took the slot after the last load report. */
	release_slot_(call, 0);
	retry_or_fail_(call, true, "no_backend_server");
}

void call_forward(struct call *call)
{
	struct host *host = call->calls->host;
	const struct directory_host *target =
		directory_find_host(&host->directory, call->forward_host);
	struct call_attempt *attempt = &call->attempts[0];

	attempt->backend = 0;
	attempt->start_us = bw_clock_us();
	if (!target || call->hops >= CALL_HOPS_MAX ||
	    call_open_forward(call, attempt, target->address, target->port) !=
		    BW_OK)
		on_forward_failed_(attempt, false);
}

enum bw_status call_open_forward(struct call *call,
				 struct call_attempt *attempt,
				 const char *address, uint16_t port)
{
	return open_upstream_(call, attempt, address, port, call->client_target,
			      true);
}

void call_forward_body(struct call *call, const uint8_t *data,
		       size_t size_bytes)
{
	struct call_attempt *attempt = &call->attempts[0];
	size_t accepted_bytes;

	if (size_bytes &&
	    bw_buffer_append(&call->body, data, size_bytes) != BW_OK) {
		cancel_attempt_(attempt);
		return;
	}
	if (!attempt->upstream)
		return;
	accepted_bytes = bw_upstream_append(attempt->upstream, call->body.data,
					    call->body.size_bytes);
	bw_buffer_consume(&call->body, accepted_bytes);
	if (call->body.size_bytes) {
		if (!call->body_paused && call->request && !call->body_complete)
			bw_request_pause(call->request);
		call->body_paused = true;
		return;
	}
	if (call->body_complete) {
		bw_upstream_end(attempt->upstream);
		return;
	}
	if (call->body_paused && call->request) {
		call->body_paused = false;
		bw_request_resume(call->request);
	}
}

void call_resume_response(struct call *call)
{
	struct call_attempt *attempt = call->streamed_attempt;
	size_t accepted_bytes;

	if (!attempt || !attempt->upstream || !call->request)
		return;
	accepted_bytes = bw_request_append(call->request, attempt->body.data,
					   attempt->body.size_bytes);
	bw_buffer_consume(&attempt->body, accepted_bytes);
	if (!attempt->body.size_bytes)
		bw_upstream_resume(attempt->upstream);
}

void call_on_timer(struct call *call)
{
	struct host *host = call->calls->host;
	struct bw_retry_attempt attempt = {
		.service = call->service_index,
		.rank = call->rank,
		.attempts = call->attempts_made,
		.idempotent = call->idempotent,
		.deadline = call->deadline,
	};

	if (call->state == CALL_WAITING) {
		if (call->has_key && !call->key_claimed)
			call_resolve_key(call);
		else
			call_admit(call);
		return;
	}
	if (call->state != CALL_RUNNING || call->streamed_attempt ||
	    call->attempts[1].upstream)
		return;
	if (bw_retry_hedge(&host->steering.retry, &attempt,
			   bw_clock_us() - call->attempts[0].start_us,
			   host_now(host)) != BW_RETRY_ALLOWED)
		return;
	if (start_attempt_(call, &call->attempts[1], true))
		bw_metric_add(call->calls->hedges, 1);
}

void call_release(struct call *call)
{
	struct host *host = call->calls->host;
	uint32_t i;

	ev_timer_stop(host->loop, &call->timer);
	g_hash_table_remove(call->calls->by_id, &call->id);
	bw_admission_remove(&host->steering.admission, call->id);
	for (i = 0; i < CALL_ATTEMPTS; i++)
		cancel_attempt_(&call->attempts[i]);
	release_slot_(call, 0);
	call_end_run(call,
		     call->key_may_have_run ? BW_KEYS_OUTCOME_MAY_HAVE_RUN
					    : BW_KEYS_OUTCOME_NOT_RUN,
		     NULL);
}

/*
 * Idempotent work is cancelled when its caller disconnects. Other work that
 * has started continues, so that a resend receives its outcome.
 */
void call_on_disconnect(struct call *call)
{
	bool started = call->state == CALL_RUNNING ||
		       call->state == CALL_STREAMING;

	if (call->state == CALL_FINISHED)
		return;
	if (!call->idempotent && started && call->key_claimed &&
	    (!call->body_streamed || call->body_complete)) {
		call->responded = true;
		return;
	}
	call->responded = true;
	call_fire(call, CALL_EVENT_END);
}

static void offer_to_admission_(struct call *call)
{
	struct host *host = call->calls->host;
	struct bw_admission *admission = &host->steering.admission;
	struct bw_admission_request offered = {
		.id = call->id,
		.service = call->service_index,
		.rank = call->rank,
		.size_bytes = (uint32_t)call->body.size_bytes,
		.deadline = call->deadline,
	};
	struct bw_admission_result result;
	uint32_t free_slots;

	if (!steering_has_servers(&host->steering, call->service,
				  host_now(host))) {
		call_fail_no_server(call);
		return;
	}
	free_slots = steering_free_slots(
		&host->steering, call->service,
		admission->services[call->service_index].running,
		host_now(host));
	bw_admission_offer(admission, &offered, free_slots, host_now(host),
			   &host->random, &result);
	switch (result.outcome) {
	case BW_ADMISSION_ADMITTED:
		call->admitted = true;
		call_fire(call, CALL_EVENT_START);
		break;
	case BW_ADMISSION_QUEUED:
		g_hash_table_insert(call->calls->by_id, &call->id, call);
		call_fire(call, CALL_EVENT_QUEUE);
		break;
	default:
		bw_metric_add(call->calls->refused, 1);
		call_fail(call, 503, bw_admission_reason_string[result.reason],
			  call->key_may_have_run ? CALL_MAY_HAVE_RUN
						 : CALL_NOT_RUN,
			  result.retry_after_ms);
		break;
	}
}

/* The caller may retry in another domain of the plan. */
void call_fail_no_server(struct call *call)
{
	call_fail(call, 503, "no_backend_server",
		  call->key_may_have_run ? CALL_MAY_HAVE_RUN : CALL_NOT_RUN,
		  NO_SERVER_RETRY_MS);
}

/* Returns false when no backend server can accept the request now. */
static bool start_attempt_(struct call *call, struct call_attempt *attempt,
			   bool hedge)
{
	struct host *host = call->calls->host;
	struct bw_backend_table *table = &host->steering.backends;
	struct bw_time now = host_now(host);
	struct bw_backend_choice choice;

	if (!call_remaining_ms(call))
		return false;
	if (bw_backend_pick(table, call->service, now, &host->random,
			    call->tried_backends, call->tried_backends_count,
			    &choice) != BW_OK &&
	    (hedge || bw_backend_pick(table, call->service, now, &host->random,
				      NULL, 0, &choice) != BW_OK))
		return false;
	if (bw_backend_request_start(table, choice.handle, now) != BW_OK)
		return false;
	attempt->backend = choice.handle;
	attempt->backend_incarnation = choice.incarnation;
	attempt->in_flight = choice.in_flight + 1;
	attempt->hedge = hedge;
	attempt->start_us = bw_clock_us();
	bw_name_set(attempt->backend_id, choice.id);
	if (call->tried_backends_count < CALL_TRIED_MAX)
		call->tried_backends[call->tried_backends_count++] =
			choice.handle;
	call->attempts_made++;
	if (open_upstream_(call, attempt, choice.address, choice.port,
			   call->upstream_target, false) != BW_OK) {
		end_backend_request_(attempt, BW_BACKEND_CANCELLED);
		return false;
	}
	report_running(&host->steering.reports, call->service, 1);
	if (!hedge)
		start_hedge_timer_(call);
	return true;
}

static enum bw_status open_upstream_(struct call *call,
				     struct call_attempt *attempt,
				     const char *address, uint16_t port,
				     const char *target, bool forwarded)
{
	struct host *host = call->calls->host;
	struct bw_http_header headers[CALL_HEADERS_MAX];
	char values[4][BW_KEYS_TEXT_MAX];
	struct bw_upstream_handler handler = { attempt, on_upstream_event_ };
	struct bw_upstream_request request = {
		.address = address,
		.port = port,
		.source = host->settings->fleet.address,
		.method = call->method,
		.target = target,
		.headers = headers,
		.body_kind = BW_UPSTREAM_BODY_NONE,
		.deadline_ms = call_remaining_ms(call),
	};
	enum bw_status status;

	bw_buffer_clear(&attempt->headers);
	bw_buffer_clear(&attempt->body);
	attempt->refused = false;
	attempt->streaming = false;
	attempt->status_code = 0;
	request.header_count =
		call_request_headers(call, forwarded, headers, values);
	if (call->body_streamed) {
		request.body_kind = BW_UPSTREAM_BODY_STREAMED;
		request.body_length_bytes =
			call->request ? bw_request_content_length(call->request)
				      : BW_HTTP_LENGTH_UNKNOWN;
	} else if (call->body.size_bytes) {
		request.body_kind = BW_UPSTREAM_BODY_COMPLETE;
		request.body = call->body.data;
		request.body_bytes = call->body.size_bytes;
	}
	status = bw_upstream_start(host->upstream, &request, &handler,
				   &attempt->upstream);
	if (status == BW_OK && call->body_streamed)
		call_forward_body(call, NULL, 0);
	return status;
}

static void on_upstream_event_(void *context,
			       const struct bw_upstream_event *event)
{
	struct call_attempt *attempt = context;
	struct call *call = attempt->call;

	switch (event->kind) {
	case BW_UPSTREAM_CONNECTED:
		if (call->key_claimed)
			call->key_may_have_run = true;
		break;
	case BW_UPSTREAM_HEAD:
		on_response_head_(attempt, event);
		break;
	case BW_UPSTREAM_BODY:
		on_response_body_(attempt, event);
		break;
	case BW_UPSTREAM_WRITABLE:
		call_forward_body(call, NULL, 0);
		break;
	case BW_UPSTREAM_COMPLETE:
		attempt->upstream = NULL;
		on_response_complete_(attempt);
		break;
	case BW_UPSTREAM_FAILED:
		attempt->upstream = NULL;
		on_attempt_failed_(attempt, event);
		break;
	case BW_UPSTREAM_EVENT_COUNT:
		break;
	}
}

static void on_response_head_(struct call_attempt *attempt,
			      const struct bw_upstream_event *event)
{
	size_t i;

	attempt->status_code = event->status_code;
	attempt->content_length_bytes = event->content_length_bytes;
	call_save_headers(attempt, event);
	for (i = 0; i < event->header_count && attempt->backend; i++) {
		if (!g_ascii_strcasecmp(event->headers[i].name,
					HEADER_OUTCOME) &&
		    !strcmp(event->headers[i].value,
			    call_outcome_string[CALL_NOT_RUN]))
			attempt->refused = true;
	}
}

static void on_response_body_(struct call_attempt *attempt,
			      const struct bw_upstream_event *event)
{
	struct call *call = attempt->call;
	size_t accepted_bytes;

	if (!attempt->streaming) {
		if (bw_buffer_append(&attempt->body, event->data,
				     event->size_bytes) != BW_OK) {
			bw_upstream_cancel(attempt->upstream);
			return;
		}
		if (attempt->body.size_bytes <= CALL_BUFFER_MAX_BYTES ||
		    attempt->refused)
			return;
		attempt->streaming = true;
		call_respond_start(call, attempt);
		if (!attempt->upstream)
			return;
	} else if (bw_buffer_append(&attempt->body, event->data,
				    event->size_bytes) != BW_OK) {
		bw_upstream_cancel(attempt->upstream);
		return;
	}
	if (!call->request) {
		bw_buffer_clear(&attempt->body);
		return;
	}
	accepted_bytes = bw_request_append(call->request, attempt->body.data,
					   attempt->body.size_bytes);
	bw_buffer_consume(&attempt->body, accepted_bytes);
	if (attempt->body.size_bytes)
		bw_upstream_pause(attempt->upstream);
}

static void on_response_complete_(struct call_attempt *attempt)
{
	struct call *call = attempt->call;
	struct host *host = call->calls->host;
	uint64_t run_us = bw_clock_us() - attempt->start_us;
	struct bw_keys_response response = { .status = 0 };

	if (!attempt->backend) {
		if (!call_query_next_host(call, attempt))
			call_respond(call, attempt);
		return;
	}
	if (attempt->refused) {
		end_backend_request_(attempt, BW_BACKEND_REFUSED);
		if (other_attempt_runs_(call, attempt))
			return;
		call->key_may_have_run = false;
		release_slot_(call, 0);
		retry_or_fail_(call, true, "backend_server_refused");
		return;
	}
	end_backend_request_(attempt, attempt->status_code >= 500
					      ? BW_BACKEND_ERROR
					      : BW_BACKEND_OK);
	bw_poison_completed(&host->steering.poison, &call->fingerprint,
			    host_now(host));
	bw_retry_record_latency(&host->steering.retry, call->service_index,
				call->rank, run_us);
	report_run_time(&host->steering.reports, call->service, run_us);
	release_slot_(call, run_us);
	response.status = (uint16_t)attempt->status_code;
	response.headers = attempt->headers.data;
	response.headers_bytes = (uint32_t)attempt->headers.size_bytes;
	response.body = attempt->body.data;
	response.body_bytes = (uint32_t)attempt->body.size_bytes;
	call_end_run(call, BW_KEYS_OUTCOME_DONE,
		     attempt->streaming ? NULL : &response);
	call_respond(call, attempt);
}

static void on_attempt_failed_(struct call_attempt *attempt,
			       const struct bw_upstream_event *event)
{
	struct call *call = attempt->call;
	bool not_run = !event->bytes_sent;

	if (call->state == CALL_FINISHED) {
		call->calls->free_ended = true;
		return;
	}
	if (!attempt->backend) {
		on_forward_failed_(attempt, event->bytes_sent);
		return;
	}
	if (!not_run)
		call->may_have_run = true;
	end_backend_request_(attempt, backend_outcome_(event));
	record_crash_(attempt, event);
	if (attempt->streaming) {
		call_end_run(call, BW_KEYS_OUTCOME_MAY_HAVE_RUN, NULL);
		call_fail(call, 502, "response_broken", CALL_MAY_HAVE_RUN, 0);
		return;
	}
	if (other_attempt_runs_(call, attempt))
		return;
	release_slot_(call, 0);
	if (not_run)
		call->key_may_have_run = false;
	retry_or_fail_(call, not_run, bw_upstream_cause_string[event->cause]);
}

/*
 * The owner received the request only if bytes were sent, but an earlier
 * attempt may have run; a copy of the record shows whether it did. With a key
 * it is safe to query other hosts: only the process that owns it runs
 * the request.
 */
static void on_forward_failed_(struct call_attempt *attempt, bool bytes_sent)
{
	struct call *call = attempt->call;

	if (bytes_sent)
		call->may_have_run = true;
	if (attempt->streaming)
		call_fail(call, 502, "response_broken", CALL_MAY_HAVE_RUN, 0);
	else if (!call->has_key ||
		 (bytes_sent && (call->body_streamed || !call->request)))
		call_fail(call, 504, "owner_lost", CALL_MAY_HAVE_RUN, 0);
	else
		call_recover_record(call);
}

static void end_backend_request_(struct call_attempt *attempt,
				 enum bw_backend_outcome outcome)
{
	struct host *host = attempt->call->calls->host;

	if (!attempt->backend)
		return;
	bw_backend_request_end(&host->steering.backends, attempt->backend,
			       outcome, bw_clock_us() - attempt->start_us,
			       host_now(host));
	attempt->backend = 0;
	report_running(&host->steering.reports, attempt->call->service, -1);
	attempt->call->calls->start_queued = true;
}

static enum bw_backend_outcome
backend_outcome_(const struct bw_upstream_event *event)
{
	switch (event->cause) {
	case BW_UPSTREAM_REFUSED:
		return BW_BACKEND_UNREACHABLE;
	case BW_UPSTREAM_TIMEOUT:
		return BW_BACKEND_TIMEOUT;
	case BW_UPSTREAM_CANCELLED:
		return BW_BACKEND_CANCELLED;
	case BW_UPSTREAM_RESET:
	case BW_UPSTREAM_SHORT_BODY:
		return event->reused_closed && !event->bytes_sent
			       ? BW_BACKEND_CANCELLED
			       : BW_BACKEND_CONNECTION_LOST;
	default:
		return BW_BACKEND_ERROR;
	}
}

static void record_crash_(struct call_attempt *attempt,
			  const struct bw_upstream_event *event)
{
	struct host *host = attempt->call->calls->host;
	struct bw_poison *poison = &host->steering.poison;
	struct bw_time now = host_now(host);

	if (event->bytes_sent && (event->cause == BW_UPSTREAM_RESET ||
				  event->cause == BW_UPSTREAM_SHORT_BODY))
		bw_poison_connection_lost(poison, &attempt->call->fingerprint,
					  attempt->backend_incarnation,
					  attempt->in_flight, now);
	else if (event->cause == BW_UPSTREAM_REFUSED)
		bw_poison_server_lost(poison, attempt->backend_incarnation,
				      now);
}

static void retry_or_fail_(struct call *call, bool not_run, const char *code)
{
	struct host *host = call->calls->host;
	struct bw_retry_attempt failed = {
		.service = call->service_index,
		.rank = call->rank,
		.attempts = call->attempts_made ? call->attempts_made : 1,
		.idempotent = call->idempotent,
		.not_run = not_run,
		.deadline = call->deadline,
	};
	enum bw_retry_decision decision = BW_RETRY_ATTEMPTS;
	uint32_t delay_ms = SLOT_RETRY_MS;

	if (!call->body_streamed && (call->request || call->key_claimed))
		decision = bw_retry_decide(&host->steering.retry, &failed,
					   host_now(host), &host->random,
					   &delay_ms);
	if (decision == BW_RETRY_ALLOWED) {
		bw_metric_add(call->calls->retries, 1);
		call_fire(call, CALL_EVENT_BACKOFF);
		ev_timer_set(&call->timer, delay_ms / 1000.0, 0.);
		ev_timer_start(host->loop, &call->timer);
		return;
	}
	call_end_run(call,
		     not_run ? BW_KEYS_OUTCOME_NOT_RUN
			     : BW_KEYS_OUTCOME_MAY_HAVE_RUN,
		     NULL);
	call_fail(call, not_run ? 503 : 502, code,
		  not_run ? CALL_NOT_RUN : CALL_MAY_HAVE_RUN,
		  not_run ? 200 : 0);
}

static void release_slot_(struct call *call, uint64_t run_us)
{
	if (!call->admitted)
		return;
	call->admitted = false;
	bw_admission_done(&call->calls->host->steering.admission,
			  call->service_index, call->rank, run_us);
	call->calls->start_queued = true;
}

static bool other_attempt_runs_(const struct call *call,
				const struct call_attempt *attempt)
{
	uint32_t i;

	for (i = 0; i < CALL_ATTEMPTS; i++) {
		if (&call->attempts[i] != attempt && call->attempts[i].upstream)
			return true;
	}
	return false;
}

static void cancel_attempt_(struct call_attempt *attempt)
{
	if (!attempt->upstream)
		return;
	end_backend_request_(attempt, BW_BACKEND_CANCELLED);
	bw_upstream_cancel(attempt->upstream);
}

static void start_hedge_timer_(struct call *call)
{
	struct host *host = call->calls->host;
	uint64_t delay_us;

	if (!call->idempotent || call->body_streamed)
		return;
	delay_us = bw_retry_hedge_delay_us(&host->steering.retry,
					   call->service_index, call->rank);
	if (delay_us == UINT64_MAX)
		return;
	ev_timer_stop(host->loop, &call->timer);
	ev_timer_set(&call->timer, (double)delay_us / 1e6, 0.);
	ev_timer_start(host->loop, &call->timer);
}

uint32_t call_remaining_ms(const struct call *call)
{
	int64_t left_ms =
		bw_time_diff_ms(call->deadline, host_now(call->calls->host));

	return left_ms > 0 ? (uint32_t)left_ms : 0;
}

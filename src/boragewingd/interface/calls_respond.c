#include "calls_private.h"

#include <stdio.h>
#include <string.h>

#include "lookup.h"

#define HEADER_OUTCOME "Boragewing-Outcome"
#define HEADER_BACKEND "Boragewing-Backend"
#define HEADER_RETRY_HOSTS "Boragewing-Retry-Hosts"
#define ADDED_HEADERS_MAX 3
#define ERROR_BODY_BYTES 256
#define RETRY_HOSTS_BYTES 256

static uint32_t build_response_headers_(const struct call_attempt *attempt,
					struct bw_http_header *headers);
static bool is_dropped_header_(const char *name, bool forwarded);
static void count_outcome_(struct call *call, enum call_outcome outcome);
static void list_retry_hosts_(struct call *call, char *text, size_t text_bytes);
static void finish_call_(struct call *call);

void call_fail(struct call *call, uint32_t status_code, const char *code,
	       enum call_outcome outcome, uint32_t retry_after_ms)
{
	char body[ERROR_BODY_BYTES];
	char retry_after[16];
	char hosts[RETRY_HOSTS_BYTES];
	struct bw_http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ HEADER_OUTCOME, NULL },
		{ "Retry-After", retry_after },
		{ HEADER_RETRY_HOSTS, hosts },
		{ CALL_HEADER_RECORD, code },
	};
	bool absent = !strcmp(code, "absent");
	int length;

	/* An earlier attempt at another backend server may have run. */
	if (outcome == CALL_NOT_RUN && call->may_have_run)
		outcome = CALL_MAY_HAVE_RUN;
	headers[1].value = call_outcome_string[outcome];
	if (!call->responded && call->request) {
		call->responded = true;
		list_retry_hosts_(call, hosts, sizeof(hosts));
		snprintf(retry_after, sizeof(retry_after), "%u",
			 (retry_after_ms + 999) / 1000);
		length = snprintf(body, sizeof(body),
				  "{\"error\": \"%s\", \"outcome\": \"%s\", "
				  "\"retry_after_ms\": %u}\n",
				  code, call_outcome_string[outcome],
				  retry_after_ms);
		count_outcome_(call, outcome);
		bw_request_respond(call->request, status_code, headers,
				   absent	    ? 5
				   : retry_after_ms ? 4
						    : 2,
				   body, (size_t)length);
	} else if (call->request) {
		bw_request_abort(call->request);
	}
	finish_call_(call);
}

void call_respond(struct call *call, struct call_attempt *attempt)
{
	struct bw_http_header headers[CALL_HEADERS_MAX];
	uint32_t count;

	if (attempt->streaming) {
		if (call->request) {
			/*
			 * Nothing can be appended after the end, so the ring
			 * must accept the rest of the body in this call.
			 */
			bw_request_append(call->request, attempt->body.data,
					  attempt->body.size_bytes);
			bw_request_end(call->request);
		}
		finish_call_(call);
		return;
	}
	if (!call->responded && call->request) {
		call->responded = true;
		count = build_response_headers_(attempt, headers);
		count_outcome_(call, CALL_RAN);
		if (bw_request_respond(call->request, attempt->status_code,
				       headers, count, attempt->body.data,
				       attempt->body.size_bytes) != BW_OK)
			bw_request_abort(call->request);
	}
	finish_call_(call);
}

void call_respond_start(struct call *call, struct call_attempt *attempt)
{
	struct bw_http_header headers[CALL_HEADERS_MAX];
	uint32_t count = build_response_headers_(attempt, headers);
	uint32_t i;

	call->streamed_attempt = attempt;
	for (i = 0; i < CALL_ATTEMPTS; i++) {
		if (&call->attempts[i] != attempt && call->attempts[i].upstream)
			bw_upstream_cancel(call->attempts[i].upstream);
	}
	call_fire(call, CALL_EVENT_STREAM);
	if (call->responded || !call->request)
		return;
	call->responded = true;
	count_outcome_(call, CALL_RAN);
	if (bw_request_start(call->request, attempt->status_code, headers,
			     count, attempt->content_length_bytes) != BW_OK)
		call_fire(call, CALL_EVENT_END);
}

void call_replay(struct call *call, const struct bw_keys_response *response)
{
	struct bw_http_header headers[CALL_HEADERS_MAX];
	struct bw_http_header stored[CALL_HEADERS_MAX];
	uint32_t count = 0;
	uint32_t stored_count;
	uint32_t i;

	stored_count = call_read_headers(response->headers,
					 response->headers_bytes, stored,
					 CALL_HEADERS_MAX - ADDED_HEADERS_MAX);
	for (i = 0; i < stored_count; i++) {
		if (!is_dropped_header_(stored[i].name, false))
			headers[count++] = stored[i];
	}
	headers[count++] =
		(struct bw_http_header){ HEADER_OUTCOME,
					 call_outcome_string[CALL_RAN] };
	headers[count++] =
		(struct bw_http_header){ "Boragewing-Replayed", "true" };
	if (!call->responded && call->request) {
		call->responded = true;
		count_outcome_(call, CALL_RAN);
		if (bw_request_respond(call->request, response->status, headers,
				       count, response->body,
				       response->body_bytes) != BW_OK)
			bw_request_abort(call->request);
	}
	finish_call_(call);
}

void call_end_run(struct call *call, enum bw_keys_outcome outcome,
		  const struct bw_keys_response *response)
{
	struct host *host = call->calls->host;

	if (!call->key_claimed)
		return;
	call->key_claimed = false;
	bw_keys_finish_run(&host->steering.keys, &call->key, call->run, outcome,
			   response, host_now(host), &host->out);
}

uint32_t call_read_headers(const uint8_t *blob, size_t size_bytes,
			   struct bw_http_header *headers, uint32_t limit)
{
	const char *cursor = (const char *)blob;
	const char *end = cursor + size_bytes;
	uint32_t count = 0;

	while (cursor < end && count < limit) {
		headers[count].name = cursor;
		cursor += strlen(cursor) + 1;
		headers[count++].value = cursor;
		cursor += strlen(cursor) + 1;
	}
	return count;
}

static uint32_t build_response_headers_(const struct call_attempt *attempt,
					struct bw_http_header *headers)
{
	bool forwarded = !attempt->backend_id[0];
	struct bw_http_header received[CALL_HEADERS_MAX];
	uint32_t received_count;
	uint32_t count = 0;
	uint32_t i;

	received_count = call_read_headers(
		attempt->headers.data, attempt->headers.size_bytes, received,
		CALL_HEADERS_MAX - ADDED_HEADERS_MAX);
	for (i = 0; i < received_count; i++) {
		if (!is_dropped_header_(received[i].name, forwarded))
			headers[count++] = received[i];
	}
	if (!forwarded) {
		headers[count++] = (struct bw_http_header){
			HEADER_OUTCOME, call_outcome_string[CALL_RAN]
		};
		headers[count++] =
			(struct bw_http_header){ HEADER_BACKEND,
						 attempt->backend_id };
	}
	return count;
}

/*
 * A response forwarded from another entry host, such as the key's owner, keeps
 * its outcome and backend fields. The same fields from a backend server are
 * dropped.
 */
static bool is_dropped_header_(const char *name, bool forwarded)
{
	if (bw_http_hop_by_hop(name))
		return true;
	return !forwarded && (!g_ascii_strcasecmp(name, HEADER_OUTCOME) ||
			      !g_ascii_strcasecmp(name, HEADER_BACKEND));
}

static void count_outcome_(struct call *call, enum call_outcome outcome)
{
	struct calls *calls = call->calls;

	bw_metric_add(calls->outcomes[outcome], 1);
	if (outcome == CALL_RAN)
		bw_metric_observe(calls->latency[call->rank],
				  bw_clock_us() - call->start_us);
}

/* Lists other entry hosts of the plan, where the caller may retry. */
static void list_retry_hosts_(struct call *call, char *text, size_t text_bytes)
{
	struct host *host = call->calls->host;
	struct lookup_result result = { .count = 0 };
	size_t used = 0;
	uint32_t i;

	text[0] = '\0';
	if (!host->steering.sheet || !call->service[0] ||
	    bw_sheet_find_service(host->steering.sheet, call->service) ==
		    BW_SHEET_NONE ||
	    call->region >= host->steering.sheet->regions_count)
		return;
	lookup_choose(host, call->service, call->region, &result);
	for (i = 0; i < result.count && used < text_bytes; i++) {
		if (!strcmp(result.hosts[i]->name, host->settings->host.name))
			continue;
		used += (size_t)snprintf(text + used, text_bytes - used,
					 "%s%s:%u", used ? ", " : "",
					 result.hosts[i]->address,
					 result.hosts[i]->port);
	}
}

static void finish_call_(struct call *call)
{
	if (call->state != CALL_FINISHED)
		call_fire(call, CALL_EVENT_END);
}

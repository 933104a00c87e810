#include "gate_refusal.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "platform.h"

/** Maximum number of lines per second of one role. */
#define LINES_PER_S_MAX 50

/** Status codes with which a control host refuses or redirects calls. */
static const uint16_t refused_status_codes[GATE_REFUSED_STATUS_COUNT] = {
	307, 400, 404, 413
};

static bool may_log_(struct gate_refusals *refusals, const char *id);
static void format_peer_(const struct bw_server_connection *connection,
			 char text[INET_ADDRSTRLEN]);

void gate_refusals_init(struct gate_refusals *refusals, struct gate_node *node,
			const char *role)
{
	char labels[BW_LABELS_MAX];
	int i;

	memset(refusals, 0, sizeof(*refusals));
	refusals->node = node;
	for (i = 0; i < BW_LISTENER_CAUSE_COUNT; i++) {
		snprintf(labels, sizeof(labels),
			 "cause=\"%s\",role=\"%s\",status=\"%u\"",
			 bw_listener_cause_string[i], role,
			 bw_listener_cause_status[i]);
		refusals->invalid[i] = bw_metrics_get(
			&node->metrics, BW_METRIC_COUNTER,
			"bw_requests_invalid_total",
			"Requests that a listener did not accept, by cause",
			labels);
	}
}

void gate_refusals_note_invalid(struct gate_refusals *refusals,
				const struct bw_server_connection *connection,
				const struct bw_http_message *request,
				const struct bw_listener_rejection *rejection,
				uint64_t version)
{
	char id[GATE_REFUSAL_TEXT_BYTES];
	char target[GATE_REFUSAL_TEXT_BYTES];
	char peer[INET_ADDRSTRLEN];

	bw_metric_add(refusals->invalid[rejection->cause], 1);
	gate_refusal_copy_field(id, request, PLATFORM_FIELD_REQUEST_ID);
	if (!may_log_(refusals, id))
		return;
	gate_refusal_copy(target, bw_http_text(request, request->target),
			  request->target.size_bytes);
	format_peer_(connection, peer);
	bw_log_event(refusals->node->log, BW_LOG_WARNING, "request", "invalid",
		     "{s:s,s:i,s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:i}",
		     "request", id, "status", (int)rejection->status_code,
		     "cause", bw_listener_cause_string[rejection->cause],
		     "parser", rejection->parser_error, "target", target,
		     "peer", peer, "address", rejection->address,
		     "received_bytes", (json_int_t)rejection->received_bytes,
		     "age_ms", (json_int_t)rejection->age_ms, "limit",
		     (json_int_t)rejection->limit, "limit_current",
		     (json_int_t)rejection->limit_current, "version",
		     (json_int_t)version, "unlogged",
		     (int)refusals->unlogged_count);
	refusals->unlogged_count = 0;
}

void gate_refusals_init_calls(struct gate_refusals *refusals)
{
	char labels[BW_LABELS_MAX];
	int i;

	for (i = 0; i < GATE_REFUSED_STATUS_COUNT; i++) {
		snprintf(labels, sizeof(labels), "status=\"%u\"",
			 refused_status_codes[i]);
		refusals->refused[i] = bw_metrics_get(
			&refusals->node->metrics, BW_METRIC_COUNTER,
			"bw_calls_refused_total",
			"Calls refused or redirected by a control host",
			labels);
	}
}

void gate_refusals_count_call(struct gate_refusals *refusals,
			      uint16_t status_code)
{
	int i;

	for (i = 0; i < GATE_REFUSED_STATUS_COUNT; i++) {
		if (refused_status_codes[i] == status_code)
			bw_metric_add(refusals->refused[i], 1);
	}
}

void gate_refusals_note_call(struct gate_refusals *refusals,
			     const struct bw_server_connection *connection,
			     uint16_t status_code, const char *cause)
{
	const struct bw_http_message *request =
		bw_connection_request(connection);
	bool redirected = status_code < 400;
	char id[GATE_REFUSAL_TEXT_BYTES];
	char target[GATE_REFUSAL_TEXT_BYTES];
	char peer[INET_ADDRSTRLEN];
	struct gate_call call;

	gate_refusals_count_call(refusals, status_code);
	gate_refusal_copy_field(id, request, PLATFORM_FIELD_REQUEST_ID);
	if (!may_log_(refusals, id))
		return;
	platform_call_read(request, &call);
	gate_refusal_copy(target, bw_http_text(request, request->target),
			  request->target.size_bytes);
	format_peer_(connection, peer);
	bw_log_event(refusals->node->log,
		     redirected ? BW_LOG_INFO : BW_LOG_WARNING, "call",
		     redirected ? "redirected" : "refused",
		     "{s:s,s:s,s:i,s:s,s:s,s:s,s:s,s:i}", "request", id, "call",
		     gate_call_kind_string[call.kind], "status",
		     (int)status_code, "cause", cause, "method",
		     http_method_str((enum http_method)request->method),
		     "target", target, "peer", peer, "unlogged",
		     (int)refusals->unlogged_count);
	refusals->unlogged_count = 0;
}

void gate_refusal_copy(char text[GATE_REFUSAL_TEXT_BYTES], const char *bytes,
		       size_t size_bytes)
{
	size_t i;

	for (i = 0; i < size_bytes && i < GATE_REFUSAL_TEXT_BYTES - 1; i++)
		text[i] = bytes[i] >= ' ' && bytes[i] <= '~' ? bytes[i] : '?';
	text[i] = '\0';
}

void gate_refusal_copy_field(char text[GATE_REFUSAL_TEXT_BYTES],
			     const struct bw_http_message *request,
			     const char *name)
{
	uint32_t i;

	text[0] = '\0';
	for (i = 0; i < request->field_count; i++) {
		const struct bw_http_field *field = &request->fields[i];

		if (!bw_http_field_is(request, field, name))
			continue;
		gate_refusal_copy(text, bw_http_text(request, field->value),
				  field->value.size_bytes);
		return;
	}
}

/*
 * Requests are sampled like others while the log is behind, those without an id
 * by their number.
 */
static bool may_log_(struct gate_refusals *refusals, const char *id)
{
	int64_t second = gate_node_now(refusals->node).ms / 1000;
	uint64_t hash = id[0] ? bw_registry_hash(id) : refusals->seen_count;

	refusals->seen_count++;
	if (second != refusals->second) {
		refusals->second = second;
		refusals->line_count = 0;
	}
	if (refusals->line_count < LINES_PER_S_MAX &&
	    bw_log_sampled(refusals->node->log, hash)) {
		refusals->line_count++;
		return true;
	}
	refusals->unlogged_count++;
	return false;
}

static void format_peer_(const struct bw_server_connection *connection,
			 char text[INET_ADDRSTRLEN])
{
	struct in_addr address = { .s_addr = bw_connection_peer(connection) };

	if (!inet_ntop(AF_INET, &address, text, INET_ADDRSTRLEN))
		text[0] = '\0';
}

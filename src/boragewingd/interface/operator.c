#include "operator.h"

#include <sodium.h>
#include <string.h>

#include "command.h"
#include "control.h"
#include "host.h"
#include "view.h"

#define SUBMISSION_HEADER "Boragewing-Submission"
#define HASH_TEXT_BYTES (2 * BW_HASH_BYTES + 1)

static void respond_sheet_errors_(struct web_request *request,
				  const struct bw_sheet_errors *errors);
static bool read_submission_id_(struct web_request *request, char *id);
static void on_submitted_(void *context, const struct command_reply *reply);
static void respond_outcome_(struct web_request *request,
			     const struct command_reply *reply);
static void on_accepted_read_(void *context, const struct command_reply *reply);
static void on_group_changed_(void *context, const struct command_reply *reply);
static void update_metrics_(struct host *host);

void operator_submit(struct web_request *request)
{
	struct host *host = request->host;
	struct command command = { .kind = COMMAND_SUBMIT };
	struct bw_sheet_errors errors;
	struct bw_sheet *sheet = NULL;

	if (!read_submission_id_(request, command.submit.id))
		return;
	bw_sheet_errors_init(&errors);
	if (bw_sheet_load(request->body.data, request->body.size_bytes, &sheet,
			  &errors) != BW_OK) {
		respond_sheet_errors_(request, &errors);
		bw_sheet_errors_finish(&errors);
		return;
	}
	bw_sheet_errors_finish(&errors);
	command.submit.revision = sheet->revision;
	memcpy(command.submit.hash, sheet->hash, BW_HASH_BYTES);
	command.submit.text = request->body.data;
	command.submit.text_size_bytes = request->body.size_bytes;
	bw_sheet_free(sheet);
	web_retain(request);
	command_call(&host->commands, &command, on_submitted_, request);
}

void operator_sheet(struct web_request *request)
{
	uint32_t size_bytes = 0;
	const uint8_t *text = bw_distribute_content(
		&request->host->distribute, BW_DOCUMENT_SHEET, &size_bytes);

	if (text)
		web_respond_text(request, 200, "application/yaml", text,
				 size_bytes);
	else
		web_respond_error(request, 404, "no_sheet",
				  "no sheet is in force here yet");
}

void operator_show(struct web_request *request)
{
	struct command command = { .kind = COMMAND_READ };
	json_t *value;

	if (!strcmp(request->path_suffix, "accepted")) {
		web_retain(request);
		command_call(&request->host->commands, &command,
			     on_accepted_read_, request);
		return;
	}
	value = view_make(request->host, request->path_suffix);
	if (value)
		web_respond_json(request, 200, value);
	else
		web_respond_error(request, 404, "not_found",
				  "there is no view of this name");
}

void operator_leave(struct web_request *request)
{
	web_respond_json(request, 202, json_pack("{s:s}", "state", "leaving"));
	if (!host_is_leaving(request->host))
		host_leave(request->host);
}

void operator_group(struct web_request *request)
{
	struct command command = { .kind = COMMAND_GROUP_ADD };

	if (!strcmp(request->path_suffix, "remove"))
		command.kind = COMMAND_GROUP_REMOVE;
	else if (strcmp(request->path_suffix, "add")) {
		web_respond_error(request, 404, "not_found",
				  "no such operation");
		return;
	}
	if (!web_query_parameter(request, "host", command.host,
				 sizeof(command.host))) {
		web_respond_error(request, 400, "bad_request",
				  "parameter host is missing or too long");
		return;
	}
	web_retain(request);
	command_call(&request->host->commands, &command, on_group_changed_,
		     request);
}

void operator_metrics(struct web_request *request)
{
	struct bw_buffer text;

	update_metrics_(request->host);
	bw_buffer_init(&text);
	if (bw_metrics_print(&request->host->metrics, &text) == BW_OK)
		web_respond_text(request, 200,
				 "text/plain; version=0.0.4; charset=utf-8",
				 text.data, text.size_bytes);
	else
		web_respond_error(request, 503, "out_of_memory", "no memory");
	bw_buffer_finish(&text);
}

void operator_health(struct web_request *request)
{
	bool leaving = host_is_leaving(request->host);

	web_respond_json(request, leaving ? 503 : 200,
			 json_pack("{s:s}", "state",
				   host_state_string[request->host->state]));
}

static void respond_sheet_errors_(struct web_request *request,
				  const struct bw_sheet_errors *errors)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < errors->count; i++)
		json_array_append_new(list,
				      json_pack("{s:i, s:s}", "line",
						(int)errors->items[i].line,
						"text", errors->items[i].text));
	web_respond_json(request, 422,
			 json_pack("{s:s, s:o}", "error", "sheet_invalid",
				   "errors", list));
}

/* Without an id, a resend after a lost response cannot be detected. */
static bool read_submission_id_(struct web_request *request, char *id)
{
	const char *header =
		bw_request_header(request->request, SUBMISSION_HEADER);

	if (!header || !header[0] || strlen(header) >= BW_SUBMISSION_ID_MAX) {
		web_respond_error(request, 400, "bad_request",
				  "header %s is missing or too long",
				  SUBMISSION_HEADER);
		return false;
	}
	strcpy(id, header);
	return true;
}

static void on_submitted_(void *context, const struct command_reply *reply)
{
	struct web_request *request = context;

	if (request->request)
		respond_outcome_(request, reply);
	web_release(request);
}

static void respond_outcome_(struct web_request *request,
			     const struct command_reply *reply)
{
	const struct bw_outcome *outcome = &reply->outcome;
	char hash[HASH_TEXT_BYTES];
	uint32_t status_code = 200;

	if (reply->status == BW_EUNAVAILABLE) {
		web_respond_error(request, 503, "no_control_majority",
				  "the outcome is not known; send the same "
				  "submission again");
		return;
	}
	if (reply->status != BW_OK) {
		web_respond_error(request, 503, bw_status_string[reply->status],
				  "the submission was refused");
		return;
	}
	if (outcome->kind == BW_OUTCOME_CONFLICT)
		status_code = 409;
	sodium_bin2hex(hash, sizeof(hash), outcome->hash, BW_HASH_BYTES);
	web_respond_json(request, status_code,
			 json_pack("{s:s, s:b, s:I, s:s, s:s}", "outcome",
				   bw_outcome_kind_string[outcome->kind],
				   "repeated", (int)outcome->repeated,
				   "revision_in_force",
				   (json_int_t)outcome->revision, "hash", hash,
				   "leader", reply->leader));
}

static void on_accepted_read_(void *context, const struct command_reply *reply)
{
	struct web_request *request = context;
	char hash[HASH_TEXT_BYTES];

	if (!request->request) {
		web_release(request);
		return;
	}
	sodium_bin2hex(hash, sizeof(hash), reply->outcome.hash, BW_HASH_BYTES);
	if (reply->status == BW_OK)
		web_respond_json(
			request, 200,
			json_pack("{s:I, s:s, s:I, s:s}", "revision",
				  (json_int_t)reply->outcome.revision, "hash",
				  hash, "accepted_wall_ms",
				  (json_int_t)reply->outcome.expiry_wall_ms,
				  "leader", reply->leader));
	else
		web_respond_error(request, 503, "no_control_majority",
				  "no leader with a valid lease was reached");
	web_release(request);
}

static void on_group_changed_(void *context, const struct command_reply *reply)
{
	struct web_request *request = context;

	if (!request->request) {
		web_release(request);
		return;
	}
	switch (reply->status) {
	case BW_OK:
		web_respond_json(request, 202,
				 json_pack("{s:s, s:s}", "state", "proposed",
					   "leader", reply->leader));
		break;
	case BW_EUNAVAILABLE:
		web_respond_error(request, 503, "no_control_majority",
				  "no leader was reached");
		break;
	case BW_EAGAIN:
		web_respond_error(request, 409, "busy",
				  "another change is in progress, or the host "
				  "has not announced its disk yet");
		break;
	default:
		web_respond_error(request, 409, bw_status_string[reply->status],
				  "the change was refused");
		break;
	}
	web_release(request);
}

static void update_metrics_(struct host *host)
{
	const struct transport_counts *counts = &host->transport.counts;
	const struct {
		const char *name;
		const char *help;
		int64_t value;
	} gauges[] = {
		{ "boragewing_sheet_revision", "Revision in force.",
		  (int64_t)bw_distribute_number(&host->distribute,
						BW_DOCUMENT_SHEET) },
		{ "boragewing_plan_version", "Plan in force.",
		  (int64_t)bw_distribute_number(&host->distribute,
						BW_DOCUMENT_PLAN) },
		{ "boragewing_stale",
		  "Whether control has not confirmed the documents in time.",
		  bw_distribute_is_stale(&host->distribute, host_now(host)) },
		{ "boragewing_fleet_sent_bytes",
		  "Bytes of frames sent to other hosts.",
		  (int64_t)counts->sent_bytes },
		{ "boragewing_fleet_received_bytes",
		  "Bytes of frames received from other hosts.",
		  (int64_t)counts->received_bytes },
		{ "boragewing_fleet_dropped_packets",
		  "Packets dropped because a queue was full or a peer was not "
		  "connected.",
		  (int64_t)counts->dropped_packets },
		{ "boragewing_fleet_rejected_peers",
		  "Handshakes with a wrong key.",
		  (int64_t)counts->rejected_peers },
	};
	size_t i;

	for (i = 0; i < sizeof(gauges) / sizeof(gauges[0]); i++)
		bw_metric_set(bw_metrics_get(&host->metrics, BW_METRIC_GAUGE,
					     gauges[i].name, gauges[i].help,
					     ""),
			      gauges[i].value);
}

#include "gate_entry_respond.h"

#include "gate_log.h"
#include "platform.h"

/**
 * Retry-After of a request whose route or key another host may know; about the
 * interval of statuses of the control hosts.
 */
#define RETRY_AFTER_UNCONFIRMED_MS 500

void gate_entry_respond_error(struct gate_request *request,
			      uint16_t status_code, uint32_t retry_after_ms,
			      const char *text)
{
	struct bw_buffer fields;
	struct bw_buffer body;

	if (!request->connection)
		return;
	bw_buffer_init(&fields);
	bw_buffer_init(&body);
	bw_buffer_printf(&fields,
			 "Content-Type: application/json\r\n%s: %s\r\n",
			 PLATFORM_FIELD_REQUEST_ID, request->id);
	if (retry_after_ms)
		bw_buffer_printf(&fields, "%s: %.3f\r\n",
				 PLATFORM_FIELD_RETRY_AFTER,
				 retry_after_ms / 1000.0);
	platform_error_write(&body, text);
	bw_connection_respond(request->connection, status_code, &fields,
			      body.data, body.size_bytes, false);
	request->connection = NULL;
	bw_buffer_finish(&fields);
	bw_buffer_finish(&body);
}

void gate_entry_respond_refusal(struct bw_server_connection *connection,
				uint16_t status_code)
{
	struct bw_buffer fields;

	bw_buffer_init(&fields);
	if (status_code == 503)
		bw_buffer_printf(&fields, "%s: %.3f\r\n",
				 PLATFORM_FIELD_RETRY_AFTER,
				 RETRY_AFTER_UNCONFIRMED_MS / 1000.0);
	bw_connection_respond(connection, status_code, &fields, NULL, 0, false);
	bw_buffer_finish(&fields);
}

void gate_entry_respond_unrouted(struct gate_entry *entry,
				 struct bw_server_connection *connection,
				 const struct bw_http_message *message)
{
	struct bw_confirmation confirmation =
		gate_entry_confirm(entry, gate_node_now(entry->node));
	uint16_t status_code = confirmation.confirmed ? 404 : 503;

	if (entry->routing && !confirmation.confirmed)
		bw_metric_add(entry->unconfirmed, 1);
	bw_metric_add(entry->outcomes[GATE_OUTCOME_NO_ROUTE], 1);
	gate_log_no_route(entry, message, status_code, &confirmation);
	gate_entry_respond_refusal(connection, status_code);
}

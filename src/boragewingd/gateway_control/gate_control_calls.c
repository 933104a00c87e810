#include <stdio.h>
#include <string.h>

#include "gate_control_private.h"
#include "platform.h"

/** Time for which a call waits for a commit. */
#define COMMIT_TIMEOUT_MS 3000

/** TTL of a directory answer. Short, so that clients soon leave a lost host. */
#define ANSWER_TTL_MS 2000

/** Maximum number of entry hosts in a directory answer. */
#define ANSWER_HOSTS_MAX 64

static void handle_read_(struct gate_control *control,
			 struct bw_server_connection *connection,
			 struct bw_time now);
static void handle_evacuate_(struct gate_control *control,
			     struct bw_server_connection *connection,
			     const struct gate_call *call, struct bw_time now);
static void handle_announce_(struct gate_control *control,
			     struct bw_server_connection *connection,
			     const struct gate_call *call,
			     const struct bw_http_message *request,
			     struct bw_time now);

const char *const gate_call_kind_string[GATE_CALL_KIND_COUNT] = {
	[GATE_CALL_UNKNOWN] = "unknown",     [GATE_CALL_READY] = "ready",
	[GATE_CALL_LOOK_UP] = "look_up",     [GATE_CALL_ANNOUNCE] = "announce",
	[GATE_CALL_LEAVE] = "leave",	     [GATE_CALL_SUBMIT] = "submit",
	[GATE_CALL_READ] = "read",	     [GATE_CALL_EVACUATE] = "evacuate",
	[GATE_CALL_REINSTATE] = "reinstate",
};

void gate_control_handle_call(void *context,
			      struct bw_server_connection *connection,
			      const struct bw_http_message *request)
{
	struct gate_control *control = context;
	struct bw_time now = gate_node_refresh(control->node);
	struct gate_call call;

	platform_call_read(request, &call);
	switch (call.kind) {
	case GATE_CALL_LOOK_UP:
		gate_control_look_up(control, connection, &call, now);
		break;
	case GATE_CALL_ANNOUNCE:
		handle_announce_(control, connection, &call, request, now);
		break;
	case GATE_CALL_LEAVE:
		gate_control_leave(control, connection, &call, now);
		break;
	case GATE_CALL_SUBMIT:
		gate_control_submit(control, connection, request, now);
		break;
	case GATE_CALL_READ:
		handle_read_(control, connection, now);
		break;
	case GATE_CALL_EVACUATE:
	case GATE_CALL_REINSTATE:
		handle_evacuate_(control, connection, &call, now);
		break;
	case GATE_CALL_READY:
	case GATE_CALL_UNKNOWN:
	case GATE_CALL_KIND_COUNT:
		gate_control_refuse(control, connection, 404,
				    "unknown method or path");
		break;
	}
}

void gate_control_connection_closed(void *context,
				    struct bw_server_connection *connection)
{
	struct gate_control *control = context;
	guint i;

	gate_control_submission_closed(control, connection);
	for (i = 0; i < control->waiting->len; i++) {
		struct gate_wait *wait = control->waiting->pdata[i];

		if (wait->connection == connection)
			wait->connection = NULL;
	}
}

void gate_respond(struct bw_server_connection *connection, uint16_t status_code,
		  const struct bw_buffer *body, const char *location)
{
	struct bw_buffer fields;

	bw_buffer_init(&fields);
	bw_buffer_printf(&fields, "Content-Type: application/json\r\n");
	if (location)
		bw_buffer_printf(&fields, "Location: %s\r\n", location);
	if (body)
		bw_connection_respond(connection, status_code, &fields,
				      body->data, body->size_bytes, false);
	else
		bw_connection_respond(connection, status_code, &fields, "{}", 2,
				      false);
	bw_buffer_finish(&fields);
}

void gate_respond_error(struct bw_server_connection *connection,
			uint16_t status_code, const char *text)
{
	struct bw_buffer body;

	bw_buffer_init(&body);
	platform_error_write(&body, text);
	gate_respond(connection, status_code, &body, NULL);
	bw_buffer_finish(&body);
}

void gate_control_look_up(struct gate_control *control,
			  struct bw_server_connection *connection,
			  const struct gate_call *call, struct bw_time now)
{
	static char addresses[ANSWER_HOSTS_MAX][BW_NAME_MAX];
	struct bw_directory_query query = { .domain = call->domain,
					    .region = call->region };
	struct bw_buffer body;
	uint32_t count;

	bw_metric_add(control->lookups, 1);
	query.first = bw_random_next(&control->node->random) >> 1;
	count = bw_directory_choose(&control->entry_directory, &control->roster,
				    &query, now, addresses, ANSWER_HOSTS_MAX);
	if (!count) {
		bw_metric_add(control->lookups_unanswered, 1);
		gate_respond_error(connection, 503,
				   "too few entry hosts are ready");
		return;
	}
	bw_buffer_init(&body);
	platform_lookup_write(&body,
			      (const char(*)[BW_NAME_MAX])(void *)addresses,
			      count,
			      MIN((uint32_t)ANSWER_TTL_MS,
				  control->node->settings.answer_ttl_max_ms));
	gate_respond(connection, 200, &body, NULL);
	bw_buffer_finish(&body);
}

static void handle_read_(struct gate_control *control,
			 struct bw_server_connection *connection,
			 struct bw_time now)
{
	const struct bw_state *state = bw_replica_state(control->replica);

	if (gate_control_redirect_to_leader(control, connection, now))
		return;
	if (!state->revision)
		gate_respond_error(connection, 503, "no configuration yet");
	else
		gate_respond(connection, 200, &state->text, NULL);
}

static void handle_evacuate_(struct gate_control *control,
			     struct bw_server_connection *connection,
			     const struct gate_call *call, struct bw_time now)
{
	struct bw_buffer command;

	if (!gate_node_region(control->node, call->domain)[0]) {
		gate_control_refuse(control, connection, 404,
				    "no such failure domain");
		return;
	}
	if (gate_control_redirect_to_leader(control, connection, now))
		return;
	bw_buffer_init(&command);
	if (bw_command_evacuate(&command, call->domain,
				call->kind == GATE_CALL_EVACUATE) == BW_OK)
		gate_control_propose(control, connection, &command, now);
	else
		gate_control_refuse(control, connection, 400,
				    "invalid failure domain");
	bw_buffer_finish(&command);
}

static void handle_announce_(struct gate_control *control,
			     struct bw_server_connection *connection,
			     const struct gate_call *call,
			     const struct bw_http_message *request,
			     struct bw_time now)
{
	struct gate_node *node = control->node;
	struct bw_server_record record;
	struct bw_server *server = NULL;
	enum bw_registry_outcome outcome;
	char error[PLATFORM_ERROR_BYTES] = "";

	if (platform_announcement_read(call->server, request->body.data,
				       request->body.size_bytes, &record,
				       error) != BW_OK) {
		bw_log_event(node->log, BW_LOG_WARNING, "registry",
			     "announcement_invalid", "{s:s,s:s}", "server",
			     call->server, "cause", error);
		gate_refusals_count_call(&control->refusals, 400);
		gate_respond_error(connection, 400, error);
		return;
	}
	bw_metric_add(control->announcements, 1);
	outcome = gate_node_merge(node, &record, "announcement", now, &server);
	if (outcome != BW_REGISTRY_STALE)
		server->announced_here = true;
	if (outcome == BW_REGISTRY_CHANGED)
		gate_departures_note(&control->departures, server);
	if (outcome == BW_REGISTRY_CHANGED ||
	    record.state == BW_SERVER_DRAINING)
		gate_control_broadcast_record(control, server);
	if (record.state == BW_SERVER_DRAINING)
		gate_control_wait_for_copies(control, connection, server, now);
	else
		gate_respond(connection, 200, NULL, NULL);
}

bool gate_control_redirect_to_leader(struct gate_control *control,
				     struct bw_server_connection *connection,
				     struct bw_time now)
{
	const struct bw_http_message *request =
		bw_connection_request(connection);
	const char *leader = bw_replica_leader(control->replica);
	char location[512];
	char cause[BW_NAME_MAX + 16];

	if (control->current && bw_replica_has_lease(control->replica, now))
		return false;
	if (!leader[0] || !strcmp(leader, control->node->name)) {
		gate_respond_error(connection, 503, "no leader is known");
		return true;
	}
	snprintf(location, sizeof(location), "http://%s%.*s", leader,
		 (int)MIN(request->target.size_bytes, 400U),
		 bw_http_text(request, request->target));
	snprintf(cause, sizeof(cause), "the leader is %s", leader);
	gate_refusals_note_call(&control->refusals, connection, 307, cause);
	gate_respond(connection, 307, NULL, location);
	return true;
}

void gate_control_refuse(struct gate_control *control,
			 struct bw_server_connection *connection,
			 uint16_t status_code, const char *cause)
{
	gate_refusals_note_call(&control->refusals, connection, status_code,
				cause);
	gate_respond_error(connection, status_code, cause);
}

void gate_control_propose(struct gate_control *control,
			  struct bw_server_connection *connection,
			  const struct bw_buffer *command, struct bw_time now)
{
	struct gate_wait *wait;
	uint64_t index;
	enum bw_status status =
		bw_replica_propose(control->replica, command->data,
				   command->size_bytes, now, &index);

	if (status != BW_OK) {
		gate_respond_error(connection, 503, bw_status_string[status]);
		return;
	}
	control->dirty = true;
	wait = g_new0(struct gate_wait, 1);
	wait->kind = GATE_WAIT_COMMIT;
	wait->connection = connection;
	wait->deadline = bw_time_add(now, COMMIT_TIMEOUT_MS);
	wait->index = index;
	wait->term = bw_replica_term(control->replica);
	g_ptr_array_add(control->waiting, wait);
}

#include "gate_control.h"

#include <stdio.h>
#include <string.h>

#include "gate_control_private.h"

/** Packets that may be queued per iteration of the event loop. */
#define OUTBOX_LIMIT 4096

/** Limits of the HTTP listeners. */
#define HEAD_MAX_BYTES 16384
#define CONNECTIONS_MAX 1500

/** Fraction of the file descriptors for clients; other hosts use more here than
 * at an entry host. */
#define DESCRIPTORS_FRACTION 0.75
#define HEAD_TIMEOUT_MS 5000
#define IDLE_TIMEOUT_MS 30000

/**
 * Outcomes of submissions that the replica keeps. Few are needed, because the
 * version makes a submission idempotent.
 */
#define SUBMISSIONS_MAX 256
#define BINDINGS_MAX 16

/**
 * Timing of the replica. A round trip between regions takes up to 70 ms. The
 * timeouts are short, because after the loss of all hosts no request is served
 * until a leader is elected.
 */
#define REPLICA_HEARTBEAT_MS 80
#define ELECTION_MIN_MS 350
#define ELECTION_MAX_MS 650
#define LEASE_MS 280

/** Interval of hello messages of a host that has started, and for how long. */
#define STARTING_HELLO_INTERVAL_MS 120
#define STARTING_MS 1500

/**
 * Time between ticks after which announcements of backend servers may wait
 * unread: the process was stopped, or is short of processor time.
 */
#define TICK_GAP_MS 1000

/** Limit of the configurations that are sent to entry hosts. */
#define SEND_BYTES_PER_S (8 * 1024 * 1024)

/** Limit of earlier configurations kept to send the difference to them. */
#define HISTORY_MAX_BYTES (8 * 1024 * 1024)

/**
 * Path of the state chart of the replica's roles, relative to the working
 * directory.
 */
#define CHART_PATH "charts/replica.yaml"

static enum bw_status init_distribute_(struct gate_control *control);
static void publish_routing_(struct gate_control *control, struct bw_time now);
static enum bw_status open_replica_(struct gate_control *control);
static int count_listeners_(const struct gate_control *control);
static void on_evicted_(void *context,
			const struct bw_listener_eviction *eviction);
static enum bw_status open_listener_(struct gate_control *control,
				     struct bw_listener *listener,
				     const char *address);
static void on_rejected_(void *context,
			 const struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 const struct bw_listener_rejection *rejection);
static void handle_event_(struct gate_control *control,
			  const struct bw_replica_event *event);
static void log_members_(struct gate_control *control,
			 const struct bw_replica_event *event);
static void finish_committed_calls_(struct gate_control *control,
				    const struct bw_replica_event *event);
static void answer_commit_(struct gate_wait *wait,
			   const struct bw_replica_event *event);
static void expire_waiting_calls_(struct gate_control *control,
				  struct bw_time now);
static uint32_t hello_interval_ms_(const struct gate_control *control,
				   struct bw_time now);
static void note_hearing_(struct gate_control *control, struct bw_time now);
static void log_leader_change_(struct gate_control *control);

static const struct bw_listener_handler handler = {
	.request = gate_control_handle_call,
	.disconnected = gate_control_connection_closed,
	.rejected = on_rejected_,
	.evicted = on_evicted_,
};

enum bw_status gate_control_init(struct gate_control *control,
				 struct gate_node *node)
{
	const struct gate_settings *settings = &node->settings;
	enum bw_status status;

	memset(control, 0, sizeof(*control));
	control->node = node;
	control->storage.kind = BW_STORAGE_FOLDER;
	control->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	control->silent_since =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gate_control_fleet_init(control);
	gate_control_loads_init(control);
	gate_control_quota_init(control);
	control->waiting = g_ptr_array_new_with_free_func(g_free);
	bw_outbox_init(&control->out, OUTBOX_LIMIT);
	control->announcements = bw_metrics_get(
		&node->metrics, BW_METRIC_COUNTER, "bw_announcements_total",
		"Announcements of backend servers", "");
	control->lookups = bw_metrics_get(&node->metrics, BW_METRIC_COUNTER,
					  "bw_lookups_total",
					  "Directory answers", "");
	control->lookups_unanswered = bw_metrics_get(
		&node->metrics, BW_METRIC_COUNTER,
		"bw_lookups_unanswered_total",
		"Look-ups while too few entry hosts were ready", "");
	gate_refusals_init(&control->refusals, node, "control");
	gate_refusals_init_calls(&control->refusals);
	status = init_distribute_(control);
	if (status == BW_OK)
		status = open_replica_(control);
	if (status == BW_OK)
		status = gate_departures_init(&control->departures, node,
					      &control->storage);
	if (status == BW_OK)
		status = open_listener_(control, &control->api,
					settings->control_address);
	if (status == BW_OK && count_listeners_(control) > 1)
		status = open_listener_(control, &control->directory,
					settings->directory_address);
	return status;
}

void gate_control_finish(struct gate_control *control)
{
	if (!control->node)
		return;
	gate_control_submissions_finish(control);
	bw_listener_finish(&control->api);
	bw_listener_finish(&control->directory);
	gate_departures_finish(&control->departures);
	if (control->replica) {
		bw_replica_free(control->replica);
		bw_storage_finish(&control->storage);
	}
	bw_distribute_finish(&control->distribute);
	bw_outbox_finish(&control->out);
	g_ptr_array_free(control->waiting, TRUE);
	g_hash_table_destroy(control->entries);
	g_hash_table_destroy(control->silent_since);
	gate_control_loads_finish(control);
	gate_control_quota_finish(control);
	gate_control_fleet_finish(control);
}

void gate_control_receive(struct gate_control *control,
			  const struct bw_packet *packet, struct bw_time now)
{
	if (packet->channel == BW_CHANNEL_REPLICA) {
		gate_node_add_control(control->node, packet->peer, true, now);
		bw_replica_receive(control->replica, packet, now,
				   &control->out);
	} else if (packet->channel == BW_CHANNEL_GATE) {
		gate_control_handle_message(control, packet, now);
	} else if (packet->channel == BW_CHANNEL_DISTRIBUTE) {
		if (control->current)
			bw_distribute_receive(&control->distribute, packet, now,
					      &control->out);
	} else if (packet->channel == BW_CHANNEL_POISON) {
		gate_control_relay(control, packet);
	}
}

void gate_control_tick(struct gate_control *control, struct bw_time now)
{
	bw_replica_tick(control->replica, now, &control->out);
	/* A replica that has opened its storage again may be behind. */
	control->current = control->current &&
			   bw_replica_is_current(control->replica);
	bw_distribute_tick(&control->distribute, now, &control->out);
	expire_waiting_calls_(control, now);
	gate_control_check_group(control, now);
	log_leader_change_(control);
	note_hearing_(control, now);
	if (bw_time_reached(now, control->next_hello)) {
		control->next_hello =
			bw_time_add(now, hello_interval_ms_(control, now));
		gate_node_check_controls(control->node, now);
		gate_control_expire_entries(control, now);
		gate_control_expire_fleet(control, now);
		gate_control_send_heartbeats(control, now);
	}
	gate_control_send_fleet(control, now);
	gate_control_send_records(control);
	gate_control_send_loads(control, now);
	gate_control_quota_tick(control, now);
}

void gate_control_flush(struct gate_control *control, struct bw_time now)
{
	const struct bw_state *state = bw_replica_state(control->replica);
	struct bw_replica_event event;

	if (control->dirty) {
		control->dirty = false;
		bw_replica_flush(control->replica, now, &control->out);
		transport_flush(&control->node->transport, &control->out);
		bw_replica_sync(control->replica, now, &control->out);
	}
	if (gate_departures_sync(&control->departures, now))
		gate_control_finish_copied_calls(control);
	while (bw_replica_next_event(control->replica, &event))
		handle_event_(control, &event);
	transport_flush(&control->node->transport, &control->out);
	if (!control->current && bw_replica_is_current(control->replica)) {
		control->current = true;
		bw_log_event(control->node->log, BW_LOG_INFO, "configuration",
			     "state_current", "{s:I,s:I}", "version",
			     (json_int_t)state->revision, "index",
			     (json_int_t)state->applied_index);
	}
	if (control->current &&
	    (control->sent_sheet_index != state->sheet_index ||
	     control->sent_evacuation_index != state->evacuation_index)) {
		publish_routing_(control, now);
		control->sent_sheet_index = state->sheet_index;
		control->sent_evacuation_index = state->evacuation_index;
		gate_control_send_status_all(control);
	}
}

void gate_control_dump(struct gate_control *control, json_t *into)
{
	struct bw_time now = gate_node_now(control->node);
	struct bw_confirmation confirmation =
		gate_control_confirm(control, now);
	json_t *followers = json_array();
	GHashTableIter iter;
	gpointer value;

	bw_replica_dump(control->replica, into);
	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (entry->detail == GATE_DETAIL_FULL)
			json_array_append_new(followers,
					      json_string(entry->name));
	}
	json_object_set_new(
		into, "control",
		json_pack("{s:b,s:b,s:i,s:b,s:I,s:i,s:i,s:o}", "current",
			  control->current, "votes", control->votes, "voters",
			  (int)control->voter_count, "confirmed",
			  confirmation.confirmed, "confirmed_ms_ago",
			  confirmation.confirmed
				  ? (json_int_t)bw_time_diff_ms(
					    now, confirmation.as_of)
				  : (json_int_t)-1,
			  "entry_hosts",
			  (int)bw_roster_sorted(&control->roster)->len,
			  "contacts", (int)g_hash_table_size(control->entries),
			  "followers", followers));
}

void gate_control_stop(struct gate_control *control)
{
	bw_listener_begin_close(&control->api);
	bw_listener_begin_close(&control->directory);
}

bool gate_control_is_idle(const struct gate_control *control)
{
	return bw_listener_is_idle(&control->api) &&
	       bw_listener_is_idle(&control->directory);
}

static enum bw_status init_distribute_(struct gate_control *control)
{
	struct gate_node *node = control->node;
	struct bw_distribute_config config = {
		.random_seed = bw_random_next(&node->random),
		.bytes_per_s = SEND_BYTES_PER_S,
		.history_bytes = HISTORY_MAX_BYTES,
	};

	return bw_distribute_init(&control->distribute, &config,
				  gate_node_now(node));
}

static void publish_routing_(struct gate_control *control, struct bw_time now)
{
	const struct bw_state *state = bw_replica_state(control->replica);
	enum bw_status status;

	if (!state->revision)
		return;
	gate_control_note_committed(control, now);
	status = bw_distribute_publish(&control->distribute, BW_DOCUMENT_SHEET,
				       state->revision, state->text.data,
				       state->text.size_bytes, now);
	if (status != BW_OK)
		bw_log_event(control->node->log, BW_LOG_ERROR, "configuration",
			     "publish_failed", "{s:I,s:s}", "version",
			     (json_int_t)state->revision, "cause",
			     bw_status_string[status]);
}

static enum bw_status open_replica_(struct gate_control *control)
{
	struct gate_node *node = control->node;
	const struct gate_settings *settings = &node->settings;
	struct bw_replica_config config = { .storage = &control->storage };
	struct bw_yaml_error yaml_error = { 0 };
	char error[BW_WAL_ERROR_BYTES] = "";
	enum bw_status status;

	status =
		bw_replica_chart_load(&control->chart, CHART_PATH, &yaml_error);
	if (status == BW_OK)
		status = bw_storage_init_folder(&control->storage,
						settings->data_folder);
	if (status != BW_OK) {
		bw_log_event(node->log, BW_LOG_ERROR, "replica", "open_failed",
			     "{s:s,s:s,s:s}", "folder", settings->data_folder,
			     "status", bw_status_string[status], "cause",
			     yaml_error.text);
		return status;
	}
	bw_name_set(config.host, node->name);
	config.initial_hosts = settings->seeds;
	config.initial_count = settings->seed_count;
	config.chart = &control->chart;
	config.seed = bw_random_next(&node->random);
	config.heartbeat_ms = REPLICA_HEARTBEAT_MS;
	config.election_min_ms = ELECTION_MIN_MS;
	config.election_max_ms = ELECTION_MAX_MS;
	config.lease_ms = LEASE_MS;
	config.submissions_max = SUBMISSIONS_MAX;
	config.bindings_max = BINDINGS_MAX;
	config.join_only = !settings->first_start;
	status = bw_replica_new(&control->replica, &config, gate_node_now(node),
				error);
	if (status != BW_OK)
		bw_log_event(node->log, BW_LOG_ERROR, "replica", "start_failed",
			     "{s:s,s:s}", "status", bw_status_string[status],
			     "cause", error);
	return status;
}

static int count_listeners_(const struct gate_control *control)
{
	const struct gate_settings *settings = &control->node->settings;

	if (settings->directory_address[0] &&
	    strcmp(settings->directory_address, settings->control_address) != 0)
		return 2;
	return 1;
}

static enum bw_status open_listener_(struct gate_control *control,
				     struct bw_listener *listener,
				     const char *address)
{
	struct bw_listener_config config = { .loop = control->node->loop };
	enum bw_status status;

	config.address = address;
	config.limits.head_max_bytes = HEAD_MAX_BYTES;
	config.limits.body_max_bytes = BW_SHEET_TEXT_MAX_BYTES;
	config.connections_max =
		MIN(gate_node_connections_max(
			    control->node,
			    DESCRIPTORS_FRACTION / count_listeners_(control)),
		    CONNECTIONS_MAX);
	config.memory = &control->node->memory;
	config.head_timeout_ms = HEAD_TIMEOUT_MS;
	config.idle_timeout_ms = IDLE_TIMEOUT_MS;
	config.handler = &handler;
	config.context = control;
	status = bw_listener_init(listener, &config);
	if (status != BW_OK)
		bw_log_event(control->node->log, BW_LOG_ERROR, "listener",
			     "listen_failed", "{s:s}", "address", address);
	return status;
}

static void on_rejected_(void *context,
			 const struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 const struct bw_listener_rejection *rejection)
{
	struct gate_control *control = context;

	gate_refusals_note_invalid(
		&control->refusals, connection, request, rejection,
		bw_replica_state(control->replica)->revision);
}

static void on_evicted_(void *context,
			const struct bw_listener_eviction *eviction)
{
	const struct gate_control *control = context;

	gate_node_note_eviction(control->node, eviction);
}

static void handle_event_(struct gate_control *control,
			  const struct bw_replica_event *event)
{
	struct bw_log *log = control->node->log;

	switch (event->kind) {
	case BW_REPLICA_APPLIED:
		finish_committed_calls_(control, event);
		if (event->command != BW_COMMAND_NONE)
			bw_log_event(
				log, BW_LOG_INFO, "replica", "command_applied",
				"{s:s,s:s,s:I,s:I,s:I}", "command",
				bw_command_kind_string[event->command],
				"outcome",
				bw_outcome_kind_string[event->outcome.kind],
				"index", (json_int_t)event->index, "term",
				(json_int_t)event->term, "version",
				(json_int_t)event->outcome.revision);
		break;
	case BW_REPLICA_STORAGE_FAILED:
		bw_log_event(log, BW_LOG_ERROR, "replica", "storage_failed",
			     "{s:s}", "status",
			     bw_status_string[event->status]);
		break;
	case BW_REPLICA_STORAGE_REOPENED:
		bw_log_event(log, BW_LOG_WARNING, "replica", "storage_reopened",
			     "{s:I,s:I}", "index", (json_int_t)event->index,
			     "term", (json_int_t)event->term);
		break;
	case BW_REPLICA_MEMBER_CHANGED:
		log_members_(control, event);
		break;
	case BW_REPLICA_LEADER_CHANGED:
	case BW_REPLICA_SNAPSHOT_INSTALLED:
		bw_log_event(log, BW_LOG_INFO, "replica",
			     bw_replica_event_kind_string[event->kind],
			     "{s:I,s:I,s:s}", "index", (json_int_t)event->index,
			     "term", (json_int_t)event->term, "leader",
			     event->leader);
		break;
	case BW_REPLICA_EVENT_KIND_COUNT:
		break;
	}
}

/* Logs each member with its kind, because only voters count in a majority. */
static void log_members_(struct gate_control *control,
			 const struct bw_replica_event *event)
{
	struct bw_replica_member members[BW_GROUP_MAX];
	json_t *list = json_object();
	uint32_t count;
	uint32_t i;

	count = bw_replica_members(control->replica,
				   gate_node_now(control->node), members);
	for (i = 0; i < count; i++)
		json_object_set_new(
			list, members[i].member.host,
			json_string(
				bw_member_kind_string[members[i].member.kind]));
	bw_log_event(control->node->log, BW_LOG_INFO, "replica",
		     "member_changed", "{s:I,s:I,s:o}", "index",
		     (json_int_t)event->index, "term", (json_int_t)event->term,
		     "members", list);
}

static void finish_committed_calls_(struct gate_control *control,
				    const struct bw_replica_event *event)
{
	guint i = 0;

	while (i < control->waiting->len) {
		struct gate_wait *wait = control->waiting->pdata[i];

		if (wait->kind != GATE_WAIT_COMMIT ||
		    wait->index != event->index) {
			i++;
			continue;
		}
		if (wait->connection)
			answer_commit_(wait, event);
		g_ptr_array_remove_index_fast(control->waiting, i);
	}
}

/* The term differs when another leader's entry replaced the proposal. */
static void answer_commit_(struct gate_wait *wait,
			   const struct bw_replica_event *event)
{
	if (wait->term != event->term) {
		gate_respond_error(wait->connection, 503,
				   "the leader changed; the outcome is not "
				   "known");
		return;
	}
	switch (event->outcome.kind) {
	case BW_OUTCOME_ACCEPTED:
	case BW_OUTCOME_ALREADY_ACCEPTED:
	case BW_OUTCOME_CONFLICT: /* not newer than the active version */
	case BW_OUTCOME_EVACUATION_SET:
		gate_respond(wait->connection, 200, NULL, NULL);
		break;
	default:
		gate_respond_error(wait->connection, 503,
				   bw_outcome_kind_string[event->outcome.kind]);
		break;
	}
}

static void expire_waiting_calls_(struct gate_control *control,
				  struct bw_time now)
{
	guint i = 0;

	while (i < control->waiting->len) {
		struct gate_wait *wait = control->waiting->pdata[i];

		if (!bw_time_reached(now, wait->deadline)) {
			i++;
			continue;
		}
		if (wait->connection)
			gate_respond_error(wait->connection, 503,
					   "not confirmed by most control "
					   "hosts in time");
		g_ptr_array_remove_index_fast(control->waiting, i);
	}
}

/* Hosts that start together find each other within a few intervals. */
static uint32_t hello_interval_ms_(const struct gate_control *control,
				   struct bw_time now)
{
	uint32_t interval_ms = gate_node_hello_interval_ms(control->node, now);

	if (bw_time_diff_ms(now, control->node->started_at) > STARTING_MS)
		return interval_ms;
	return MIN(interval_ms, (uint32_t)STARTING_HELLO_INTERVAL_MS);
}

/*
 * A host that was stopped, or is cut off from most voters, must not conclude
 * from its own silence that backend servers are silent.
 */
static void note_hearing_(struct gate_control *control, struct bw_time now)
{
	bool gap = bw_time_diff_ms(now, control->ticked_at) > TICK_GAP_MS;

	control->ticked_at = now;
	if (!gate_control_in_majority(control, now))
		control->hears_servers_since.ms = 0;
	else if (gap || !control->hears_servers_since.ms)
		control->hears_servers_since = now;
}

static void log_leader_change_(struct gate_control *control)
{
	const char *leader = bw_replica_leader(control->replica);

	if (!strcmp(leader, control->leader))
		return;
	bw_name_set(control->leader, leader);
	bw_log_event(control->node->log, BW_LOG_INFO, "replica",
		     leader[0] ? "leader_known" : "leader_lost", "{s:s,s:I}",
		     "leader", leader, "term",
		     (json_int_t)bw_replica_term(control->replica));
}

#include "control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "host.h"

#define CHART_PATH_BYTES 512

/**
 * Time after which an uncommitted proposal fails with BW_EUNAVAILABLE; it
 * may still be committed later.
 */
#define PROPOSAL_TIMEOUT_MS 6000

/** A command whose proposal has not been committed yet. */
struct waiting_command {
	uint64_t index;
	uint64_t term;
	char origin[BW_NAME_MAX];
	uint64_t call_number;
	struct bw_time deadline;
};

static enum bw_status load_charts_(struct control *control,
				   struct bw_yaml_error *error);
static enum bw_status open_replica_(struct control *control,
				    struct bw_yaml_error *error);
static enum bw_status execute_submit_(struct control *control,
				      const struct command *command,
				      const char *origin, uint64_t call_number,
				      struct bw_time now);
static enum bw_status
execute_bind_key_(struct control *control, const struct command *command,
		  const char *origin, uint64_t call_number, struct bw_time now);
static enum bw_status execute_group_change_(struct control *control,
					    const struct command *command,
					    const char *origin,
					    uint64_t call_number,
					    struct bw_time now);
static enum bw_status execute_read_(struct control *control, const char *origin,
				    uint64_t call_number, struct bw_time now);
static enum bw_status propose_encoded_(struct control *control,
				       enum bw_status encode_status,
				       const struct bw_buffer *data,
				       const char *origin, uint64_t call_number,
				       struct bw_time now);
static enum bw_status propose_command_(struct control *control,
				       const struct bw_buffer *data,
				       const char *origin, uint64_t call_number,
				       struct bw_time now);
static void send_reply_(struct control *control, const char *origin,
			uint64_t call_number, enum bw_status status,
			const struct bw_outcome *outcome);
static void handle_replica_event_(struct control *control,
				  const struct bw_replica_event *event,
				  struct bw_time now);
static void handle_applied_entry_(struct control *control,
				  const struct bw_replica_event *event,
				  struct bw_time now);
static void publish_documents_(struct control *control, struct bw_time now);
static void load_sheet_(struct control *control);
static void expire_waiting_(struct control *control, struct bw_time now);
static void start_leadership_(struct control *control);
static void run_planner_(struct control *control, struct bw_time now);
static void build_reports_(struct control *control, struct bw_time now,
			   struct bw_plan_report *reports,
			   struct bw_plan_service_report *services,
			   struct report_domain *domains);
static void build_domain_report_(const struct control *control,
				 const struct report_domain *domain,
				 struct bw_plan_service_report *services);

enum bw_status control_init(struct control *control, struct host *host,
			    struct bw_yaml_error *error)
{
	enum bw_status status;

	memset(control, 0, sizeof(*control));
	control->host = host;
	control->storage.kind = BW_STORAGE_FOLDER;
	control->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	status = load_charts_(control, error);
	if (status != BW_OK)
		return status;
	bw_plan_init(&control->plan, &control->shift_chart);
	return open_replica_(control, error);
}

void control_finish(struct control *control)
{
	if (control->waiting)
		g_hash_table_destroy(control->waiting);
	if (control->replica) {
		bw_replica_free(control->replica);
		bw_storage_finish(&control->storage);
	}
	bw_plan_finish(&control->plan);
	bw_sheet_free(control->sheet);
}

void control_receive(struct control *control, const struct bw_packet *packet,
		     struct bw_time now)
{
	bw_replica_receive(control->replica, packet, now, &control->host->out);
}

void control_tick(struct control *control, struct bw_time now)
{
	bool leader;

	bw_replica_tick(control->replica, now, &control->host->out);
	/* A replica that has opened its storage again may be behind. */
	control->current = control->current &&
			   bw_replica_is_current(control->replica);
	leader = control->current &&
		 bw_replica_has_lease(control->replica, now);
	if (leader && !control->is_leader)
		start_leadership_(control);
	control->is_leader = leader;
	expire_waiting_(control, now);
	if (!leader)
		return;
	bw_distribute_confirm(&control->host->distribute, now);
	if (bw_time_reached(now, control->next_plan)) {
		control->next_plan = bw_time_add(now, CONTROL_PLAN_INTERVAL_MS);
		run_planner_(control, now);
	}
}

void control_flush(struct control *control, struct bw_time now)
{
	struct bw_replica_event event;

	if (control->dirty) {
		control->dirty = false;
		bw_replica_flush(control->replica, now, &control->host->out);
		transport_flush(&control->host->transport, &control->host->out);
		bw_replica_sync(control->replica, now, &control->host->out);
	}
	while (bw_replica_next_event(control->replica, &event))
		handle_replica_event_(control, &event, now);
	if (!control->current && bw_replica_is_current(control->replica)) {
		control->current = true;
		publish_documents_(control, now);
	}
}

enum bw_status control_execute(struct control *control,
			       const struct command *command,
			       const char *origin, uint64_t call_number,
			       struct bw_time now)
{
	if (!bw_replica_has_lease(control->replica, now))
		return BW_EUNAVAILABLE;
	switch (command->kind) {
	case COMMAND_SUBMIT:
		return execute_submit_(control, command, origin, call_number,
				       now);
	case COMMAND_BIND_KEY:
		return execute_bind_key_(control, command, origin, call_number,
					 now);
	case COMMAND_GROUP_ADD:
	case COMMAND_GROUP_REMOVE:
		return execute_group_change_(control, command, origin,
					     call_number, now);
	case COMMAND_READ:
		return execute_read_(control, origin, call_number, now);
	case COMMAND_KIND_COUNT:
		break;
	}
	return BW_EUNAVAILABLE;
}

const char *control_leader(const struct control *control)
{
	return bw_replica_leader(control->replica);
}

void control_dump(const struct control *control, json_t *into)
{
	json_t *replica = json_object();

	bw_replica_dump(control->replica, replica);
	json_object_set_new(into, "replica", replica);
	json_object_set_new(into, "waiting_commands",
			    json_integer(g_hash_table_size(control->waiting)));
	json_object_set_new(into, "planner_version",
			    json_integer((json_int_t)control->plan.version));
}

static enum bw_status load_charts_(struct control *control,
				   struct bw_yaml_error *error)
{
	const char *folder = control->host->settings->charts_folder;
	char path[CHART_PATH_BYTES];
	enum bw_status status;

	snprintf(path, sizeof(path), "%s/replica.yaml", folder);
	status = bw_replica_chart_load(&control->replica_chart, path, error);
	if (status != BW_OK)
		return status;
	snprintf(path, sizeof(path), "%s/shift.yaml", folder);
	return bw_chart_load(&control->shift_chart, path, &bw_shift_chart_names,
			     error);
}

static enum bw_status open_replica_(struct control *control,
				    struct bw_yaml_error *error)
{
	struct host *host = control->host;
	const struct settings *settings = host->settings;
	char initial[BW_GROUP_MAX][BW_NAME_MAX];
	char cause[BW_WAL_ERROR_BYTES] = "";
	struct bw_replica_config config = {
		.initial_hosts = (const char(*)[BW_NAME_MAX])initial,
		.chart = &control->replica_chart,
		.storage = &control->storage,
		.seed = bw_random_next(&host->random),
	};
	enum bw_status status;
	uint32_t i;

	for (i = 0; i < settings->seeds_count; i++) {
		if (settings->seeds[i].control &&
		    config.initial_count < BW_GROUP_MAX)
			bw_name_set(initial[config.initial_count++],
				    settings->seeds[i].name);
	}
	bw_name_set(config.host, settings->host.name);
	status = bw_storage_init_folder(&control->storage,
					settings->data_folder);
	if (status == BW_OK)
		status = bw_replica_new(&control->replica, &config,
					host_now(host), cause);
	if (status == BW_OK)
		return BW_OK;
	error->line = 0;
	snprintf(error->text, sizeof(error->text), "data folder %s: %s%s%s",
		 settings->data_folder, bw_status_string[status],
		 cause[0] ? ": " : "", cause);
	return status;
}

static enum bw_status execute_submit_(struct control *control,
				      const struct command *command,
				      const char *origin, uint64_t call_number,
				      struct bw_time now)
{
	struct bw_submit submit = command->submit;
	struct bw_buffer data;
	enum bw_status status;

	submit.accept_wall_ms = host_wall_ms(control->host);
	bw_buffer_init(&data);
	status = bw_command_submit(&data, &submit);
	status = propose_encoded_(control, status, &data, origin, call_number,
				  now);
	bw_buffer_finish(&data);
	return status;
}

static enum bw_status
execute_bind_key_(struct control *control, const struct command *command,
		  const char *origin, uint64_t call_number, struct bw_time now)
{
	struct bw_bind_key bind = command->bind;
	struct bw_outcome outcome;
	struct bw_buffer data;
	enum bw_status status;

	bind.now_wall_ms = host_wall_ms(control->host);
	if (bw_state_binding(bw_replica_state(control->replica), bind.key,
			     bind.now_wall_ms, &outcome)) {
		outcome.kind = BW_OUTCOME_ALREADY_BOUND;
		send_reply_(control, origin, call_number, BW_OK, &outcome);
		return BW_OK;
	}
	bw_buffer_init(&data);
	status = bw_command_bind_key(&data, &bind);
	status = propose_encoded_(control, status, &data, origin, call_number,
				  now);
	bw_buffer_finish(&data);
	return status;
}

static enum bw_status execute_group_change_(struct control *control,
					    const struct command *command,
					    const char *origin,
					    uint64_t call_number,
					    struct bw_time now)
{
	enum bw_status status;

	if (command->kind == COMMAND_GROUP_ADD)
		status = bw_replica_add(control->replica, command->host, true,
					now);
	else
		status =
			bw_replica_remove(control->replica, command->host, now);
	if (status == BW_EUNAVAILABLE)
		return status;
	control->dirty = true;
	send_reply_(control, origin, call_number, status, NULL);
	return BW_OK;
}

static enum bw_status execute_read_(struct control *control, const char *origin,
				    uint64_t call_number, struct bw_time now)
{
	const struct bw_state *state = bw_replica_state(control->replica);
	struct bw_outcome outcome = { .kind = BW_OUTCOME_NONE };

	(void)now;
	outcome.revision = state->revision;
	memcpy(outcome.hash, state->hash, BW_HASH_BYTES);
	outcome.expiry_wall_ms = state->accept_wall_ms;
	send_reply_(control, origin, call_number, BW_OK, &outcome);
	return BW_OK;
}

/* Responds immediately if the command could not be encoded. */
static enum bw_status propose_encoded_(struct control *control,
				       enum bw_status encode_status,
				       const struct bw_buffer *data,
				       const char *origin, uint64_t call_number,
				       struct bw_time now)
{
	if (encode_status == BW_OK)
		return propose_command_(control, data, origin, call_number,
					now);
	send_reply_(control, origin, call_number, encode_status, NULL);
	return BW_OK;
}

static enum bw_status propose_command_(struct control *control,
				       const struct bw_buffer *data,
				       const char *origin, uint64_t call_number,
				       struct bw_time now)
{
	struct waiting_command *waiting;
	enum bw_status status;
	uint64_t index = 0;

	status = bw_replica_propose(control->replica, data->data,
				    data->size_bytes, now, &index);
	if (status == BW_EUNAVAILABLE)
		return status;
	if (status != BW_OK) {
		send_reply_(control, origin, call_number, status, NULL);
		return BW_OK;
	}
	control->dirty = true;
	waiting = g_new0(struct waiting_command, 1);
	waiting->index = index;
	waiting->term = bw_replica_term(control->replica);
	waiting->call_number = call_number;
	waiting->deadline = bw_time_add(now, PROPOSAL_TIMEOUT_MS);
	bw_name_set(waiting->origin, origin);
	g_hash_table_insert(control->waiting, &waiting->index, waiting);
	return BW_OK;
}

static void send_reply_(struct control *control, const char *origin,
			uint64_t call_number, enum bw_status status,
			const struct bw_outcome *outcome)
{
	struct command_reply reply = { .status = status };

	if (outcome)
		reply.outcome = *outcome;
	bw_name_set(reply.leader, control->host->settings->host.name);
	command_respond(control->host, origin, call_number, &reply);
}

static void handle_replica_event_(struct control *control,
				  const struct bw_replica_event *event,
				  struct bw_time now)
{
	struct bw_log *log = control->host->log;

	switch (event->kind) {
	case BW_REPLICA_APPLIED:
		handle_applied_entry_(control, event, now);
		break;
	case BW_REPLICA_LEADER_CHANGED:
		bw_log_event(log, BW_LOG_INFO, "replica", "leader_changed",
			     "{s:s, s:I}", "leader", event->leader, "term",
			     (json_int_t)event->term);
		break;
	case BW_REPLICA_SNAPSHOT_INSTALLED:
		bw_log_event(log, BW_LOG_INFO, "replica", "snapshot_installed",
			     "{s:I}", "index", (json_int_t)event->index);
		publish_documents_(control, now);
		break;
	case BW_REPLICA_STORAGE_FAILED:
		bw_log_event(log, BW_LOG_ERROR, "replica", "storage_failed",
			     "{s:s}", "cause", bw_status_string[event->status]);
		break;
	case BW_REPLICA_STORAGE_REOPENED:
		bw_log_event(log, BW_LOG_WARNING, "replica", "storage_reopened",
			     "{s:I,s:I}", "index", (json_int_t)event->index,
			     "term", (json_int_t)event->term);
		break;
	case BW_REPLICA_MEMBER_CHANGED:
		bw_log_event(log, BW_LOG_INFO, "replica", "group_changed",
			     "{s:I}", "index", (json_int_t)event->index);
		break;
	case BW_REPLICA_EVENT_KIND_COUNT:
		break;
	}
}

static void handle_applied_entry_(struct control *control,
				  const struct bw_replica_event *event,
				  struct bw_time now)
{
	struct waiting_command *waiting;

	if (event->outcome.kind == BW_OUTCOME_ACCEPTED ||
	    event->outcome.kind == BW_OUTCOME_PLAN_SET)
		publish_documents_(control, now);
	if (event->index >= control->plan_index)
		control->plan_index = 0;
	waiting = g_hash_table_lookup(control->waiting, &event->index);
	if (!waiting)
		return;
	if (waiting->term == event->term)
		send_reply_(control, waiting->origin, waiting->call_number,
			    BW_OK, &event->outcome);
	else
		send_reply_(control, waiting->origin, waiting->call_number,
			    BW_EUNAVAILABLE, NULL);
	g_hash_table_remove(control->waiting, &event->index);
}

/*
 * After a restart, the snapshot and the start of the log contain older
 * documents than those in force before. Nothing is published until the replica
 * has caught up, so that no host reverts to an older sheet.
 */
static void publish_documents_(struct control *control, struct bw_time now)
{
	const struct bw_state *state = bw_replica_state(control->replica);
	struct bw_distribute *distribute = &control->host->distribute;

	if (!control->current)
		return;
	if (state->revision >
	    bw_distribute_number(distribute, BW_DOCUMENT_SHEET))
		bw_distribute_publish(distribute, BW_DOCUMENT_SHEET,
				      state->revision, state->text.data,
				      state->text.size_bytes, now);
	if (state->plan_version >
	    bw_distribute_number(distribute, BW_DOCUMENT_PLAN))
		bw_distribute_publish(distribute, BW_DOCUMENT_PLAN,
				      state->plan_version, state->plan.data,
				      state->plan.size_bytes, now);
}

/*
 * The planner's sheet is loaded from the replicated state and not when it is
 * published: this host may have received that revision from another host
 * before.
 */
static void load_sheet_(struct control *control)
{
	const struct bw_state *state = bw_replica_state(control->replica);
	struct bw_sheet_errors errors;
	struct bw_sheet *sheet = NULL;

	if (!state->revision ||
	    (control->sheet && control->sheet->revision == state->revision))
		return;
	bw_sheet_errors_init(&errors);
	if (bw_sheet_load(state->text.data, state->text.size_bytes, &sheet,
			  &errors) == BW_OK) {
		bw_sheet_free(control->sheet);
		control->sheet = sheet;
	}
	bw_sheet_errors_finish(&errors);
}

static void expire_waiting_(struct control *control, struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;
	struct waiting_command *waiting;

	g_hash_table_iter_init(&iter, control->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		waiting = value;
		if (!bw_time_reached(now, waiting->deadline))
			continue;
		send_reply_(control, waiting->origin, waiting->call_number,
			    BW_EUNAVAILABLE, NULL);
		g_hash_table_iter_remove(&iter);
	}
}

/*
 * A new leader continues from the committed plan, so that shifts recorded in
 * its predecessor's ledger still count against the limits.
 */
static void start_leadership_(struct control *control)
{
	const struct bw_state *state = bw_replica_state(control->replica);

	control->plan_index = 0;
	if (state->plan.size_bytes &&
	    bw_plan_decode(&control->plan, state->plan.data,
			   state->plan.size_bytes) != BW_OK)
		bw_log_event(control->host->log, BW_LOG_ERROR, "control",
			     "plan_malformed", NULL);
	bw_log_event(control->host->log, BW_LOG_INFO, "control", "leader_ready",
		     "{s:I, s:I}", "revision", (json_int_t)state->revision,
		     "plan", (json_int_t)state->plan_version);
}

static void run_planner_(struct control *control, struct bw_time now)
{
	struct bw_plan_report *reports;
	struct bw_plan_service_report *services;
	struct report_domain *domains;
	struct bw_buffer encoded;
	struct bw_buffer command;
	bool changed = false;
	size_t count;

	load_sheet_(control);
	/* The previous plan must be committed before the next step. */
	if (!control->sheet || control->plan_index)
		return;
	count = control->sheet->domains_count;
	reports = calloc(count, sizeof(*reports));
	domains = calloc(count, sizeof(*domains));
	services = calloc(count * control->sheet->services_count,
			  sizeof(*services));
	bw_buffer_init(&encoded);
	bw_buffer_init(&command);
	if (!reports || !services || !domains)
		goto out;
	build_reports_(control, now, reports, services, domains);
	if (bw_plan_step(&control->plan, control->sheet, reports,
			 host_wall_ms(control->host), &changed) != BW_OK ||
	    !changed)
		goto out;
	if (bw_plan_encode(&control->plan, &encoded) != BW_OK ||
	    bw_command_set_plan(&command, encoded.data, encoded.size_bytes) !=
		    BW_OK)
		goto out;
	if (bw_replica_propose(control->replica, command.data,
			       command.size_bytes, now,
			       &control->plan_index) == BW_OK)
		control->dirty = true;
	else
		control->plan_index = 0;
out:
	bw_buffer_finish(&command);
	bw_buffer_finish(&encoded);
	free(domains);
	free(services);
	free(reports);
}

static void build_reports_(struct control *control, struct bw_time now,
			   struct bw_plan_report *reports,
			   struct bw_plan_service_report *services,
			   struct report_domain *domains)
{
	const struct bw_sheet *sheet = control->sheet;
	const struct bw_aggregator *aggregator = &control->host->aggregator;
	const struct bw_summary *summary;
	uint32_t i;

	for (i = 0; i < sheet->domains_count; i++) {
		reports[i].services = services;
		summary =
			bw_aggregator_find(aggregator, sheet->domains[i].name);
		if (summary && summary->load_bytes &&
		    report_domain_decode(summary->load, summary->load_bytes,
					 &domains[i]) == BW_OK) {
			reports[i].known = true;
			reports[i].age_ms =
				(uint32_t)bw_summary_age_ms(summary, now);
			build_domain_report_(control, &domains[i], services);
		}
		services += sheet->services_count;
	}
}

static void build_domain_report_(const struct control *control,
				 const struct report_domain *domain,
				 struct bw_plan_service_report *services)
{
	const struct bw_sheet *sheet = control->sheet;
	const struct report_service *service;
	uint32_t index;
	uint32_t i;

	for (i = 0; i < domain->services_count; i++) {
		service = &domain->services[i];
		index = bw_sheet_find_service(sheet, service->total.service);
		if (index == BW_SHEET_NONE)
			continue;
		services[index].healthy_slots = service->healthy_slots;
		services[index].warming_slots = service->warming_slots;
		services[index].ramp = service->ramp;
		services[index].slots_in_use = service->total.in_use;
		services[index].mean_run_us = service->total.mean_run_us;
		services[index].draining = service->draining;
		services[index].demand = service->total.milli_slots;
	}
}

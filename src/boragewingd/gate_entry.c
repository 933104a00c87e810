#include "gate_entry.h"

#include <stdio.h>
#include <string.h>

#include "gate_request.h"
#include "platform.h"

/** Bounds before a configuration is known. */
#define HEAD_MAX_BYTES 16384
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000

/** Largest body that is kept; a larger request gets 413. */
#define BODY_MAX_BYTES (8 * 1024 * 1024)

/** Descriptors set aside for peers, files and listeners. */
#define DESCRIPTORS_RESERVED 400

/** Time to open a connection to a backend server; one round trip between
 * regions fits several times. */
#define CONNECT_TIMEOUT_MS 400

/** Time for which an unused connection to a backend server is kept. */
#define UPSTREAM_IDLE_MS 8000

/**
 * A backend server that no control host heard for so many of its intervals is
 * taken for lost; announcements may be seconds late.
 */
#define SILENT_INTERVALS 3

/** Interval at which the age of signs of life is checked. */
#define UPDATE_INTERVAL_MS 100

/** Time after which a configuration is asked for at another host. */
#define WANTED_TIMEOUT_MS 300

/** Time that a started host waits for a majority of control hosts. */
#define START_WAIT_MS 1500

/** Entry hosts that may use one cold backend server. */
#define COLD_HOSTS_MAX 4

/** Window in which the move of requests between regions is bounded. */
#define REGION_WINDOW_MS 2000

/** Interval of the lines on the load of each service. */
#define REPORT_INTERVAL_MS 4000

/** Part of the fleet's retry budget that the hosts use together. */
#define RETRY_SHARE 0.6

static enum bw_status open_listeners_(struct gate_entry *entry);
static void open_metrics_(struct gate_entry *entry);
static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request);
static void on_gone_(void *context, struct bw_server_connection *connection);
static void on_ready_(void *context, struct bw_server_connection *connection,
		      const struct bw_http_message *request);
static void on_ready_gone_(void *context,
			   struct bw_server_connection *connection);
static bool may_serve_(const struct gate_entry *entry, struct bw_time now);
static void say_hello_(struct gate_entry *entry, struct bw_time now);
static void handle_status_(struct gate_entry *entry, const char *sender,
			   const struct gate_status *status,
			   struct bw_time now);
static void want_routing_(struct gate_entry *entry, const char *sender,
			  uint64_t version, struct bw_time now);
static void handle_routing_(struct gate_entry *entry, const char *sender,
			    const struct gate_routing *routing,
			    struct bw_time now);
static void apply_routing_(struct gate_entry *entry,
			   struct bw_routing *routing);
static void update_targets_(struct gate_entry *entry, struct bw_time now);
static void update_target_(struct gate_entry *entry,
			   const struct bw_server *server, bool any_control,
			   struct bw_time now);
static bool is_superseded_(const struct gate_entry *entry,
			   const struct bw_server *server);
static bool is_evacuated_(const struct gate_entry *entry, const char *domain);
static void refill_retries_(struct gate_entry *entry, struct bw_time now);
static void report_load_(struct gate_entry *entry, struct bw_time now);
static void set_places_(struct gate_entry *entry);
static void handle_demands_(struct gate_entry *entry,
			    const struct gate_status *status);
static void fill_demands_(struct gate_entry *entry, struct gate_hello *hello,
			  struct bw_time now);

const char *const gate_end_string[GATE_END_COUNT] = {
	[GATE_END_ANSWERED] = "answered", [GATE_END_REJECTED] = "rejected",
	[GATE_END_FAILED] = "failed",	  [GATE_END_TIMEOUT] = "timeout",
	[GATE_END_NO_ROUTE] = "no_route", [GATE_END_CANCELLED] = "cancelled",
};

static const struct bw_listener_handler client_handler = {
	.request = on_request_,
	.gone = on_gone_,
};

static const struct bw_listener_handler ready_handler = {
	.request = on_ready_,
	.gone = on_ready_gone_,
};

enum bw_status gate_entry_init(struct gate_entry *entry, struct gate_node *node)
{
	struct bw_pool_config pool = { .loop = node->loop };
	enum bw_status status;

	memset(entry, 0, sizeof(*entry));
	entry->node = node;
	entry->started = gate_node_now(node);
	entry->retry_refilled = entry->started;
	entry->entry_count = 1;
	entry->update_due = true;
	bw_dispatch_init(&entry->dispatch, bw_random_next(&node->random));
	set_places_(entry);
	entry->dispatch.own_region =
		gate_node_region_index(node, node->settings.region);
	entry->dispatch.region_step_max = node->settings.region_step_max;
	entry->dispatch.region_window_ms = REGION_WINDOW_MS;
	open_metrics_(entry);
	pool.limits.head_max_bytes = HEAD_MAX_BYTES;
	pool.limits.body_max_bytes = BODY_MAX_BYTES;
	pool.id_field = PLATFORM_FIELD_REQUEST_ID;
	pool.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	pool.idle_ms = UPSTREAM_IDLE_MS;
	pool.connections_max =
		(node->settings.descriptors_max - DESCRIPTORS_RESERVED) / 2;
	pool.ended = gate_request_ended;
	pool.context = entry;
	status = bw_pool_init(&entry->pool, &pool);
	if (status == BW_OK)
		status = open_listeners_(entry);
	return status;
}

void gate_entry_finish(struct gate_entry *entry)
{
	if (!entry->node)
		return;
	while (entry->requests)
		gate_request_free(entry->requests);
	bw_pool_finish(&entry->pool);
	bw_listener_finish(&entry->clients);
	bw_listener_finish(&entry->ready);
	bw_dispatch_finish(&entry->dispatch);
	bw_routing_unref(entry->routing);
}

void gate_entry_receive(struct gate_entry *entry,
			const struct bw_packet *packet, struct bw_time now)
{
	static struct gate_servers servers;
	static struct gate_status status;
	struct gate_routing routing;
	struct bw_reader reader;

	if (packet->channel != BW_CHANNEL_GATE)
		return;
	gate_node_add_control(entry->node, packet->peer, true, now);
	bw_reader_init(&reader, packet->data, packet->size_bytes);
	switch (gate_message_type(&reader)) {
	case GATE_STATUS:
		gate_status_read(&reader, &status);
		if (bw_reader_status(&reader) == BW_OK)
			handle_status_(entry, packet->peer, &status, now);
		break;
	case GATE_SERVERS:
		gate_servers_read(&reader, &servers);
		if (bw_reader_status(&reader) == BW_OK)
			gate_node_receive_servers(entry->node, packet->peer,
						  &servers, now);
		break;
	case GATE_ROUTING:
		gate_routing_read(&reader, &routing);
		if (bw_reader_status(&reader) == BW_OK)
			handle_routing_(entry, packet->peer, &routing, now);
		break;
	default:
		break;
	}
	bw_reader_finish(&reader);
}

void gate_entry_tick(struct gate_entry *entry, struct bw_time now)
{
	struct gate_node *node = entry->node;

	if (bw_time_reached(now, entry->next_hello) ||
	    entry->is_ready != may_serve_(entry, now)) {
		entry->next_hello = bw_time_add(
			now, gate_node_hello_interval_ms(node, now));
		entry->is_ready = may_serve_(entry, now);
		gate_node_check_controls(node, now);
		say_hello_(entry, now);
		bw_metric_set(entry->waiting,
			      bw_dispatch_waiting(&entry->dispatch));
		bw_metric_set(entry->servers_known,
			      g_hash_table_size(node->registry.servers));
	}
	if (entry->update_due ||
	    entry->generation != node->registry.generation ||
	    bw_time_reached(now, entry->next_update))
		update_targets_(entry, now);
	refill_retries_(entry, now);
	if (bw_time_reached(now, entry->next_report))
		report_load_(entry, now);
	gate_request_run_queue(entry);
}

void gate_entry_stop(struct gate_entry *entry)
{
	bw_listener_begin_close(&entry->clients);
	entry->next_hello = gate_node_now(entry->node);
}

bool gate_entry_is_idle(const struct gate_entry *entry)
{
	return !entry->request_count && !entry->clients.busy_count;
}

void gate_entry_dump(const struct gate_entry *entry, json_t *into)
{
	json_object_set_new(
		into, "routing_version",
		json_integer(entry->routing
				     ? (json_int_t)entry->routing->version
				     : 0));
	json_object_set_new(into, "requests",
			    json_integer(entry->request_count));
	bw_dispatch_dump(&entry->dispatch, gate_node_now(entry->node), into);
}

static enum bw_status open_listeners_(struct gate_entry *entry)
{
	const struct gate_settings *settings = &entry->node->settings;
	struct bw_listener_config config = { .loop = entry->node->loop };
	enum bw_status status;

	config.address = settings->entry_address;
	config.limits.head_max_bytes = HEAD_MAX_BYTES;
	config.limits.body_max_bytes = BODY_MAX_BYTES;
	config.connections_max =
		(settings->descriptors_max - DESCRIPTORS_RESERVED) / 2;
	config.head_timeout_ms = HEAD_TIMEOUT_MS;
	config.idle_timeout_ms = IDLE_TIMEOUT_MS;
	config.handler = &client_handler;
	config.context = entry;
	status = bw_listener_init(&entry->clients, &config);
	if (status == BW_OK && settings->ready_address[0]) {
		config.address = settings->ready_address;
		config.handler = &ready_handler;
		status = bw_listener_init(&entry->ready, &config);
	}
	if (status != BW_OK)
		bw_log_event(entry->node->log, BW_LOG_ERROR, "listener",
			     "listen_failed", "{s:s}", "address",
			     config.address);
	return status;
}

static void open_metrics_(struct gate_entry *entry)
{
	struct bw_metrics *metrics = &entry->node->metrics;
	char labels[BW_LABELS_MAX];
	int i;

	for (i = 0; i < GATE_END_COUNT; i++) {
		snprintf(labels, sizeof(labels), "end=\"%s\"",
			 gate_end_string[i]);
		entry->ends[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER, "bw_requests_total",
			"Requests of clients by their end", labels);
	}
	for (i = 1; i < BW_REJECT_COUNT; i++) {
		snprintf(labels, sizeof(labels), "cause=\"%s\"",
			 bw_reject_string[i]);
		entry->rejects[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER, "bw_rejected_total",
			"Requests that did not run, by cause", labels);
	}
	entry->queue_us =
		bw_metrics_get(metrics, BW_METRIC_HISTOGRAM, "bw_stage_seconds",
			       "Time of requests by stage", "stage=\"queue\"");
	entry->upstream_us = bw_metrics_get(metrics, BW_METRIC_HISTOGRAM,
					    "bw_stage_seconds",
					    "Time of requests by stage",
					    "stage=\"upstream\"");
	entry->total_us[0] = bw_metrics_get(
		metrics, BW_METRIC_HISTOGRAM, "bw_answer_seconds",
		"Time from request to answer by kind of route",
		"idempotent=\"no\"");
	entry->total_us[1] = bw_metrics_get(
		metrics, BW_METRIC_HISTOGRAM, "bw_answer_seconds",
		"Time from request to answer by kind of route",
		"idempotent=\"yes\"");
	entry->retries = bw_metrics_get(metrics, BW_METRIC_COUNTER,
					"bw_retries_total",
					"Requests sent once more", "");
	entry->waiting = bw_metrics_get(metrics, BW_METRIC_GAUGE,
					"bw_waiting_requests",
					"Requests in queues", "");
	entry->in_force = bw_metrics_get(metrics, BW_METRIC_GAUGE,
					 "bw_routing_version",
					 "Configuration in force", "");
	entry->servers_known =
		bw_metrics_get(metrics, BW_METRIC_GAUGE, "bw_servers_known",
			       "Backend servers that announced themselves", "");
}

static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request)
{
	gate_request_begin(context, connection, request);
}

static void on_gone_(void *context, struct bw_server_connection *connection)
{
	struct gate_request *request = *bw_connection_context(connection);

	(void)context;
	if (request)
		gate_request_client_gone(request);
}

static void on_ready_(void *context, struct bw_server_connection *connection,
		      const struct bw_http_message *request)
{
	struct gate_entry *entry = context;
	bool serves = may_serve_(entry, gate_node_now(entry->node));

	(void)request;
	bw_connection_respond(connection, serves ? 200 : 503, NULL, "{}", 2,
			      false);
}

static void on_ready_gone_(void *context,
			   struct bw_server_connection *connection)
{
	(void)context;
	(void)connection;
}

/*
 * A started host serves once it holds a configuration that most control hosts
 * could have corrected; it does not wait for control hosts that are lost.
 */
static bool may_serve_(const struct gate_entry *entry, struct bw_time now)
{
	const struct gate_node *node = entry->node;
	uint32_t alive = 0;
	uint32_t i;

	if (node->stopping || !entry->routing)
		return false;
	if (entry->is_ready ||
	    bw_time_diff_ms(now, entry->started) > START_WAIT_MS)
		return true;
	for (i = 0; i < node->control_count; i++) {
		if (gate_peer_is_alive(&node->controls[i], now))
			alive++;
	}
	return alive > node->control_count / 2;
}

static void say_hello_(struct gate_entry *entry, struct bw_time now)
{
	struct gate_node *node = entry->node;
	static struct gate_hello hello;
	uint32_t i;

	fill_demands_(entry, &hello, now);
	if (node->stopping)
		hello.state = GATE_HOST_LEAVING;
	else
		hello.state = entry->is_ready ? GATE_HOST_READY
					      : GATE_HOST_STARTING;
	bw_name_set(hello.domain, node->settings.domain);
	bw_name_set(hello.region, node->settings.region);
	hello.routing_version = entry->routing ? entry->routing->version : 0;
	gate_hello_write(gate_node_frame(node), &hello);
	for (i = 0; i < node->control_count; i++)
		gate_node_send(node, node->controls[i].name);
}

static void handle_status_(struct gate_entry *entry, const char *sender,
			   const struct gate_status *status, struct bw_time now)
{
	uint64_t version = entry->routing ? entry->routing->version : 0;
	uint32_t i;

	for (i = 0; i < status->control_count; i++)
		gate_node_add_control(entry->node, status->controls[i], false,
				      now);
	if (status->entry_count) {
		entry->entry_count = status->entry_count;
		entry->entry_place = status->entry_place;
	}
	handle_demands_(entry, status);
	if (!status->current)
		return;
	if (status->evacuation_index > entry->evacuation_index) {
		entry->evacuation_index = status->evacuation_index;
		entry->evacuated_count = status->evacuated_count;
		memcpy(entry->evacuated, status->evacuated,
		       sizeof(entry->evacuated));
		entry->update_due = true;
		bw_log_event(entry->node->log, BW_LOG_INFO, "configuration",
			     "evacuations_in_force", "{s:I,s:i,s:s}", "index",
			     (json_int_t)status->evacuation_index, "domains",
			     (int)status->evacuated_count, "source", sender);
	}
	if (status->routing_version > version)
		want_routing_(entry, sender, status->routing_version, now);
}

static void want_routing_(struct gate_entry *entry, const char *sender,
			  uint64_t version, struct bw_time now)
{
	struct gate_routing wanted = { .version = version };

	if (version <= entry->wanted_version &&
	    bw_time_diff_ms(now, entry->wanted_at) < WANTED_TIMEOUT_MS)
		return;
	entry->wanted_version = version;
	entry->wanted_at = now;
	gate_routing_write(gate_node_frame(entry->node), GATE_ROUTING_WANTED,
			   &wanted);
	gate_node_send(entry->node, sender);
}

static void handle_routing_(struct gate_entry *entry, const char *sender,
			    const struct gate_routing *message,
			    struct bw_time now)
{
	struct bw_routing *routing;
	char error[PLATFORM_ERROR_BYTES] = "";
	enum bw_status status;

	(void)now;
	if (entry->routing && message->version <= entry->routing->version)
		return;
	status = platform_routing_read(message->text, message->text_bytes,
				       &routing, error);
	if (status != BW_OK) {
		bw_log_event(entry->node->log, BW_LOG_ERROR, "configuration",
			     "routing_unreadable", "{s:I,s:s,s:s}", "version",
			     (json_int_t)message->version, "source", sender,
			     "cause", error);
		return;
	}
	bw_log_event(entry->node->log, BW_LOG_INFO, "configuration",
		     "routing_in_force", "{s:I,s:I,s:s,s:i}", "version",
		     (json_int_t)routing->version, "previous",
		     (json_int_t)(entry->routing ? entry->routing->version : 0),
		     "source", sender, "routes", (int)routing->route_count);
	apply_routing_(entry, routing);
}

static void apply_routing_(struct gate_entry *entry, struct bw_routing *routing)
{
	const struct bw_routing_limits *limits = &routing->limits;
	uint32_t i;

	bw_routing_unref(entry->routing);
	entry->routing = routing;
	entry->clients.config.limits.head_max_bytes = limits->head_max_bytes;
	entry->clients.config.limits.body_max_bytes =
		MIN(limits->body_max_bytes, (uint32_t)BODY_MAX_BYTES);
	bw_listener_set_timeouts(&entry->clients, limits->head_timeout_ms,
				 limits->idle_timeout_ms);
	for (i = 0; i < routing->service_count; i++) {
		struct bw_dispatch_service *service = bw_dispatch_service(
			&entry->dispatch, routing->services[i].name);

		service->cold_requests_per_s =
			routing->services[i].cold_requests_per_s;
	}
	bw_metric_set(entry->in_force, (int64_t)routing->version);
	entry->update_due = true;
}

static void update_targets_(struct gate_entry *entry, struct bw_time now)
{
	struct gate_node *node = entry->node;
	GHashTableIter iter;
	gpointer value;
	bool any_control = false;
	uint32_t i;

	entry->update_due = false;
	entry->generation = node->registry.generation;
	entry->next_update = bw_time_add(now, UPDATE_INTERVAL_MS);
	entry->dispatch.host_count = entry->entry_count;
	entry->dispatch.cold_hosts_max =
		MIN(entry->entry_count, (uint32_t)COLD_HOSTS_MAX);
	for (i = 0; i < node->control_count; i++) {
		if (gate_peer_is_alive(&node->controls[i], now))
			any_control = true;
	}
	bw_dispatch_begin_update(&entry->dispatch);
	g_hash_table_iter_init(&iter, node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		update_target_(entry, value, any_control, now);
	bw_dispatch_end_update(&entry->dispatch, now);
}

static void update_target_(struct gate_entry *entry,
			   const struct bw_server *server, bool any_control,
			   struct bw_time now)
{
	struct gate_node *node = entry->node;
	const struct gate_settings *settings = &node->settings;
	struct bw_target_update update = { .server = server };
	const char *region = gate_node_region(node, server->record.domain);
	int64_t silent_ms =
		(int64_t)settings->announce_interval_ms * SILENT_INTERVALS;
	uint32_t turn;

	if (!server->record.address[0])
		return;
	if (!strcmp(server->record.domain, settings->domain))
		update.distance = BW_DISTANCE_DOMAIN;
	else if (!strcmp(region, settings->region))
		update.distance = BW_DISTANCE_REGION;
	else
		update.distance = BW_DISTANCE_FAR;
	update.region = gate_node_region_index(node, region);
	update.place = gate_node_place_index(node, server->record.domain);
	if (update.place >= settings->place_count)
		return;
	/* A host that hears no control host goes on with what it knows. */
	update.accepts = server->record.state == BW_SERVER_READY &&
			 (!any_control ||
			  bw_time_diff_ms(now, server->heard) <= silent_ms) &&
			 !is_evacuated_(entry, server->record.domain) &&
			 !is_superseded_(entry, server);
	turn = (uint32_t)((server->id_hash + entry->entry_place) %
			  MAX(entry->entry_count, 1U));
	update.cold_allowed = turn < COLD_HOSTS_MAX;
	bw_dispatch_update(&entry->dispatch, &update, now);
}

/* An address belongs to the server that started there last. */
static bool is_superseded_(const struct gate_entry *entry,
			   const struct bw_server *server)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bw_server *other = value;

		if (other != server &&
		    other->record.started_wall_ms >
			    server->record.started_wall_ms &&
		    !strcmp(other->record.address, server->record.address))
			return true;
	}
	return false;
}

static bool is_evacuated_(const struct gate_entry *entry, const char *domain)
{
	uint32_t i;

	for (i = 0; i < entry->evacuated_count; i++) {
		if (!strcmp(entry->evacuated[i], domain))
			return true;
	}
	return false;
}

/* The part of the budget that does not depend on traffic is shared. */
static void refill_retries_(struct gate_entry *entry, struct bw_time now)
{
	const struct gate_settings *settings = &entry->node->settings;
	double share = RETRY_SHARE * settings->retry_extra /
		       MAX(entry->entry_count, 1U);
	double age_ms = (double)bw_time_diff_ms(now, entry->retry_refilled);

	entry->retry_refilled = now;
	entry->retry_tokens += share * age_ms / settings->retry_window_ms;
	entry->retry_tokens = MIN(entry->retry_tokens, MAX(share, 1.0));
}

/* What the dispatcher believes, for those who read the log later. */
static void report_load_(struct gate_entry *entry, struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	entry->next_report = bw_time_add(now, REPORT_INTERVAL_MS);
	g_hash_table_iter_init(&iter, entry->dispatch.services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bw_dispatch_service *service = value;
		uint32_t accepting = 0;
		double share = 0.0;

		for (i = 0; i < service->targets->len; i++) {
			const struct bw_target *target =
				service->targets->pdata[i];

			accepting += target->accepts;
			share += target->part * target->correction;
		}
		bw_log_event(
			entry->node->log, BW_LOG_INFO, "dispatch", "load",
			"{s:s,s:i,s:i,s:i,s:i,s:f,s:f,s:f,s:f,s:f}", "service",
			service->name, "waiting", (int)service->waiting.length,
			"in_flight", (int)service->in_flight, "servers",
			(int)service->targets->len, "accepting", (int)accepting,
			"shares", share, "near_warm_ms",
			service->times[BW_DISTANCE_DOMAIN].warm_ms,
			"near_cold_ms",
			service->times[BW_DISTANCE_DOMAIN].cold_ms,
			"far_warm_ms", service->times[BW_DISTANCE_FAR].warm_ms,
			"far_cold_ms", service->times[BW_DISTANCE_FAR].cold_ms);
	}
}

static void set_places_(struct gate_entry *entry)
{
	const struct gate_node *node = entry->node;
	uint32_t i;

	entry->dispatch.place_count = node->settings.place_count;
	entry->dispatch.own_place =
		gate_node_place_index(node, node->settings.domain);
	for (i = 0; i < node->settings.place_count; i++)
		entry->dispatch.place_region[i] = gate_node_region_index(
			node, node->settings.places[i].region);
}

static void handle_demands_(struct gate_entry *entry,
			    const struct gate_status *status)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	if (!status->demand_count)
		return;
	g_hash_table_iter_init(&iter, entry->dispatch.services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bw_dispatch_service *service = value;
		uint64_t hash = bw_registry_hash(service->name);

		memset(service->demand_per_s, 0, sizeof(service->demand_per_s));
		for (i = 0; i < status->demand_count; i++) {
			const struct gate_demand *demand = &status->demands[i];
			uint32_t place = gate_node_place_index(entry->node,
							       demand->domain);

			if (demand->service_hash == hash &&
			    place < BW_SPREAD_DOMAINS_MAX)
				service->demand_per_s[place] =
					demand->per_s_milli / 1000.0;
		}
	}
}

static void fill_demands_(struct gate_entry *entry, struct gate_hello *hello,
			  struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;

	hello->demand_count = 0;
	g_hash_table_iter_init(&iter, entry->dispatch.services);
	while (g_hash_table_iter_next(&iter, NULL, &value) &&
	       hello->demand_count < GATE_DEMANDS_MAX) {
		struct bw_dispatch_service *service = value;
		struct gate_demand *demand =
			&hello->demands[hello->demand_count++];

		demand->domain[0] = '\0';
		demand->service_hash = bw_registry_hash(service->name);
		demand->per_s_milli =
			(uint32_t)(1000.0 *
				   bw_dispatch_arrivals_per_s(service, now));
	}
}

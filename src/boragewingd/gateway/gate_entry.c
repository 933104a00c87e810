#include "gate_entry.h"

#include <stdio.h>
#include <string.h>

#include "gate_entry_private.h"
#include "gate_notice.h"
#include "gate_poison.h"
#include "gate_request.h"
#include "platform.h"

/**
 * Limits that apply until a configuration is loaded. Until then requests get
 * 503, which a head that the configuration may allow has to get as well.
 */
#define HEAD_MAX_BYTES (1024 * 1024)
#define REQUEST_BODY_MAX_BYTES UINT32_MAX
#define HEAD_TIMEOUT_MS 3000
#define IDLE_TIMEOUT_MS 15000

/** Largest head and body of a response; larger ones count as invalid. */
#define RESPONSE_HEAD_MAX_BYTES 16384
#define RESPONSE_BODY_MAX_BYTES (8 * 1024 * 1024)

/** Response to a request whose body has no memory; ends in CRLF. */
#define UNAVAILABLE_FIELDS PLATFORM_FIELD_RETRY_AFTER ": 0.500\r\n"

/** Fraction of the file descriptors for clients, and for backend servers. */
#define DESCRIPTORS_FRACTION 0.5

/** Connections to the readiness address; they use reserved descriptors. */
#define READY_CONNECTIONS_MAX 64

/** Connect timeout to a backend server; several round trips between regions. */
#define CONNECT_TIMEOUT_MS 400

/** Idle timeout of pooled connections to backend servers. */
#define UPSTREAM_IDLE_MS 8000

/** Window over which shifts of requests between regions are limited. */
#define REGION_WINDOW_MS 2000

/**
 * Longest interval of hellos to the feed. They carry the loads of backend
 * servers, which change within the service time of a request.
 */
#define FULL_HELLO_INTERVAL_MS 250

/**
 * Rate and size of pieces of configurations, for a link of 2 Mbit/s: half of it
 * stays free for requests, and other traffic waits 33 ms behind a piece.
 */
#define RECEIVE_BYTES_PER_S 125000
#define PIECE_BYTES 8192

/**
 * Time after which clients should have gone from a stopping host: they read the
 * directory that leaves it out, and respect the readiness that it withdraws.
 */
#define CLIENTS_GONE_AFTER_MS 3000

/** Interval at which the dispatcher adapts to demand and load. */
#define ADAPT_INTERVAL_MS 200

/** Packets that may be queued while one packet is handled. */
#define OUTBOX_LIMIT 16

/** Fraction of the fleet's retry budget that all entry hosts use together. */
#define RETRY_SHARE 0.6

static enum bw_status init_distribute_(struct gate_entry *entry);
static enum bw_status open_listeners_(struct gate_entry *entry);
static void open_metrics_(struct gate_entry *entry);
static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request);
static void on_disconnected_(void *context,
			     struct bw_server_connection *connection);
static void on_rejected_(void *context,
			 const struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 const struct bw_listener_rejection *rejection);
static void on_evicted_(void *context,
			const struct bw_listener_eviction *eviction);
static void on_ready_(void *context, struct bw_server_connection *connection,
		      const struct bw_http_message *request);
static void on_ready_disconnected_(void *context,
				   struct bw_server_connection *connection);
static uint32_t hello_interval_ms_(const struct gate_entry *entry,
				   struct bw_time now);
static bool may_serve_(const struct gate_entry *entry, struct bw_time now);
static void refill_retries_(struct gate_entry *entry, struct bw_time now);

const char *const gate_outcome_string[GATE_OUTCOME_COUNT] = {
	[GATE_OUTCOME_ANSWERED] = "answered",
	[GATE_OUTCOME_REJECTED] = "rejected",
	[GATE_OUTCOME_FAILED] = "failed",
	[GATE_OUTCOME_TIMEOUT] = "timeout",
	[GATE_OUTCOME_NO_ROUTE] = "no_route",
	[GATE_OUTCOME_UNKNOWN_KEY] = "unknown_key",
	[GATE_OUTCOME_BEYOND_QUOTA] = "beyond_quota",
	[GATE_OUTCOME_CANCELLED] = "cancelled",
};

static const struct bw_listener_handler client_handler = {
	.request = on_request_,
	.disconnected = on_disconnected_,
	.rejected = on_rejected_,
	.evicted = on_evicted_,
};

static const struct bw_listener_handler ready_handler = {
	.request = on_ready_,
	.disconnected = on_ready_disconnected_,
	.evicted = on_evicted_,
};

enum bw_status gate_entry_init(struct gate_entry *entry, struct gate_node *node)
{
	struct bw_pool_config pool_config = { .loop = node->loop };
	enum bw_status status;

	memset(entry, 0, sizeof(*entry));
	entry->node = node;
	entry->started_at = gate_node_now(node);
	bw_feed_init(&entry->feed, node->name, entry->started_at);
	bw_fetch_init(&entry->fetch, node->name);
	entry->retry_refilled_at = entry->started_at;
	entry->entry_count = 1;
	entry->update_due = true;
	bw_dispatch_init(&entry->dispatch, bw_random_next(&node->random));
	gate_entry_set_domains(entry);
	entry->dispatch.own_region =
		gate_node_region_index(node, node->settings.region);
	entry->dispatch.region_step_max = node->settings.region_step_max;
	entry->dispatch.region_window_ms = REGION_WINDOW_MS;
	open_metrics_(entry);
	gate_notice_init(entry);
	gate_quota_init(&entry->quota, node);
	gate_refusals_init(&entry->refusals, node, "entry");
	gate_shares_init(&entry->shares, &node->metrics, node->log);
	pool_config.limits.head_max_bytes = RESPONSE_HEAD_MAX_BYTES;
	pool_config.limits.body_max_bytes = RESPONSE_BODY_MAX_BYTES;
	pool_config.id_field = PLATFORM_FIELD_REQUEST_ID;
	pool_config.connect_timeout_ms = CONNECT_TIMEOUT_MS;
	pool_config.idle_ms = UPSTREAM_IDLE_MS;
	pool_config.connections_max =
		gate_node_connections_max(node, DESCRIPTORS_FRACTION);
	pool_config.budget = &node->memory.responses;
	pool_config.ended = gate_request_ended;
	pool_config.connected = gate_request_connected;
	pool_config.context = entry;
	status = bw_pool_init(&entry->pool, &pool_config);
	if (status == BW_OK)
		status = init_distribute_(entry);
	if (status == BW_OK)
		status = gate_poison_init(&entry->poison, node);
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
	gate_entry_finish_build(entry);
	bw_pool_finish(&entry->pool);
	bw_listener_finish(&entry->clients);
	bw_listener_finish(&entry->ready);
	bw_dispatch_finish(&entry->dispatch);
	gate_poison_finish(&entry->poison);
	gate_quota_finish(&entry->quota);
	bw_distribute_finish(&entry->distribute);
	bw_outbox_finish(&entry->out);
	bw_routing_unref(entry->routing);
}

void gate_entry_tick(struct gate_entry *entry, struct bw_time now)
{
	struct gate_node *node = entry->node;

	if (bw_time_reached(now, entry->next_hello) ||
	    entry->reported_ready != may_serve_(entry, now)) {
		entry->next_hello =
			bw_time_add(now, hello_interval_ms_(entry, now));
		if (entry->reported_ready != may_serve_(entry, now))
			entry->next_brief_hello = now;
		entry->reported_ready = may_serve_(entry, now);
		gate_node_check_controls(node, now);
		gate_entry_send_hellos(entry, now);
		bw_metric_set(entry->waiting,
			      bw_dispatch_waiting(&entry->dispatch));
		gate_shares_update(&entry->shares, &entry->dispatch, now);
		bw_metric_set(entry->response_bytes,
			      (int64_t)node->memory.responses.used_bytes);
		bw_metric_set(entry->responses_paused,
			      entry->pool.paused.length);
		bw_metric_set(entry->servers_known,
			      g_hash_table_size(node->registry.servers));
		if (entry->routing)
			bw_metric_set(entry->routing_age_s,
				      bw_time_diff_ms(now,
						      entry->routing_since) /
					      1000);
	}
	gate_entry_fetch(entry, now);
	bw_distribute_tick(&entry->distribute, now, &entry->out);
	transport_flush(&node->transport, &entry->out);
	if (entry->update_due || bw_time_reached(now, entry->next_update))
		gate_entry_update_targets(entry, now);
	else if (entry->registry_generation != node->registry.generation)
		gate_entry_update_changed(entry, now);
	if (bw_time_reached(now, entry->next_adapt)) {
		entry->next_adapt = bw_time_add(now, ADAPT_INTERVAL_MS);
		bw_dispatch_adapt(&entry->dispatch, now);
	}
	refill_retries_(entry, now);
	gate_poison_tick(entry, now);
	gate_quota_tick(entry, now);
	if (bw_time_reached(now, entry->next_report))
		gate_entry_report_load(entry, now);
	gate_request_run_queue(entry);
}

void gate_entry_stop(struct gate_entry *entry, struct bw_time requests_end)
{
	bw_listener_begin_close(&entry->clients);
	bw_dispatch_stop(&entry->dispatch,
			 bw_time_add(gate_node_now(entry->node),
				     CLIENTS_GONE_AFTER_MS),
			 requests_end);
	entry->next_hello = gate_node_now(entry->node);
	entry->next_brief_hello = entry->next_hello;
}

void gate_entry_end_requests(struct gate_entry *entry)
{
	struct gate_request *request = entry->requests;
	struct gate_request *next;

	for (; request; request = next) {
		next = request->next;
		gate_request_stop(request);
	}
}

bool gate_entry_is_idle(const struct gate_entry *entry)
{
	return !entry->request_count && !entry->clients.connection_count;
}

int64_t gate_entry_behind_ms(const struct gate_entry *entry, struct bw_time now)
{
	if (!entry->outdated_since.ms)
		return 0;
	return bw_time_diff_ms(now, entry->outdated_since);
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
	json_object_set_new(into, "detail_source",
			    json_string(entry->feed.source));
	json_object_set_new(into, "entry_hosts",
			    json_integer(entry->entry_count));
	bw_dispatch_dump(&entry->dispatch, gate_node_now(entry->node), into);
	bw_poison_dump(&entry->poison.table, gate_node_now(entry->node), into);
}

static enum bw_status init_distribute_(struct gate_entry *entry)
{
	struct bw_distribute_config config = {
		.receives_only = true,
		.random_seed = bw_random_next(&entry->node->random),
		.receive_bytes_per_s = RECEIVE_BYTES_PER_S,
		.piece_bytes = PIECE_BYTES,
	};

	bw_outbox_init(&entry->out, OUTBOX_LIMIT);
	return bw_distribute_init(&entry->distribute, &config,
				  entry->started_at);
}

static enum bw_status open_listeners_(struct gate_entry *entry)
{
	const struct gate_settings *settings = &entry->node->settings;
	struct bw_listener_config config = { .loop = entry->node->loop };
	enum bw_status status;

	config.address = settings->entry_address;
	config.limits.head_max_bytes = HEAD_MAX_BYTES;
	config.limits.body_max_bytes = REQUEST_BODY_MAX_BYTES;
	config.memory = &entry->node->memory;
	config.unavailable_fields = UNAVAILABLE_FIELDS;
	config.connections_max =
		gate_node_connections_max(entry->node, DESCRIPTORS_FRACTION);
	config.head_timeout_ms = HEAD_TIMEOUT_MS;
	config.idle_timeout_ms = IDLE_TIMEOUT_MS;
	config.handler = &client_handler;
	config.context = entry;
	status = bw_listener_init(&entry->clients, &config);
	if (status == BW_OK && settings->ready_address[0]) {
		config.address = settings->ready_address;
		config.connections_max = READY_CONNECTIONS_MAX;
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

	for (i = 0; i < GATE_OUTCOME_COUNT; i++) {
		snprintf(labels, sizeof(labels), "end=\"%s\"",
			 gate_outcome_string[i]);
		entry->outcomes[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER, "bw_requests_total",
			"Requests of clients by their end", labels);
	}
	entry->unconfirmed = bw_metrics_get(
		metrics, BW_METRIC_COUNTER, "bw_no_route_unconfirmed_total",
		"Requests without a route that got 503, as the version in "
		"force was not confirmed",
		"");
	for (i = 0; i < 2; i++) {
		snprintf(labels, sizeof(labels), "status=\"%s\"",
			 i ? "401" : "503");
		entry->unknown_keys[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER, "bw_unknown_keys_total",
			"Requests whose key no customer has; 503 while the "
			"version in force was not confirmed",
			labels);
	}
	for (i = 1; i < BW_REJECT_COUNT; i++) {
		snprintf(labels, sizeof(labels), "cause=\"%s\"",
			 bw_reject_string[i]);
		entry->rejections[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER, "bw_rejected_total",
			"Requests that did not run, by cause", labels);
	}
	for (i = 1; i < GATE_CHECK_COUNT; i++) {
		snprintf(labels, sizeof(labels), "cause=\"%s\"",
			 gate_check_string[i]);
		entry->reconsidered[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER, "bw_reconsidered_total",
			"Requests that newer state kept from being sent as "
			"they were dispatched, by cause",
			labels);
	}
	for (i = 1; i < BW_FEED_CHANGE_COUNT; i++) {
		snprintf(labels, sizeof(labels), "cause=\"%s\"",
			 bw_feed_change_string[i]);
		entry->source_changes[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER,
			"bw_detail_source_changes_total",
			"Changes of the control host that sends full detail, "
			"by cause",
			labels);
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
	entry->routing_version = bw_metrics_get(metrics, BW_METRIC_GAUGE,
						"bw_routing_version",
						"Configuration in force", "");
	entry->routing_age_s = bw_metrics_get(
		metrics, BW_METRIC_GAUGE, "bw_routing_age_seconds",
		"Time since the configuration came into force here", "");
	entry->routing_fetches = bw_metrics_get(
		metrics, BW_METRIC_COUNTER, "bw_routing_fetches_total",
		"Requests for a newer configuration", "");
	entry->routing_received_bytes = bw_metrics_get(
		metrics, BW_METRIC_COUNTER, "bw_routing_received_bytes_total",
		"Bytes of configurations received, copies included", "");
	entry->response_bytes = bw_metrics_get(
		metrics, BW_METRIC_GAUGE, "bw_response_body_bytes",
		"Memory charged for bodies of responses", "");
	entry->responses_paused = bw_metrics_get(
		metrics, BW_METRIC_GAUGE, "bw_responses_paused",
		"Responses that are not read on for lack of memory", "");
	entry->servers_known =
		bw_metrics_get(metrics, BW_METRIC_GAUGE, "bw_servers_known",
			       "Backend servers that announced themselves", "");
}

static void on_request_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request)
{
	gate_request_begin(context, connection, request);
}

static void on_disconnected_(void *context,
			     struct bw_server_connection *connection)
{
	struct gate_request *request = *bw_connection_context(connection);

	(void)context;
	if (request)
		gate_request_client_disconnected(request);
}

static void on_rejected_(void *context,
			 const struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 const struct bw_listener_rejection *rejection)
{
	struct gate_entry *entry = context;

	gate_refusals_note_invalid(
		&entry->refusals, connection, request, rejection,
		entry->routing ? entry->routing->version : 0);
}

static void on_evicted_(void *context,
			const struct bw_listener_eviction *eviction)
{
	const struct gate_entry *entry = context;

	gate_node_note_eviction(entry->node, eviction);
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

static void on_ready_disconnected_(void *context,
				   struct bw_server_connection *connection)
{
	(void)context;
	(void)connection;
}

/* A host without a feed sends hellos often to find one. */
static uint32_t hello_interval_ms_(const struct gate_entry *entry,
				   struct bw_time now)
{
	uint32_t interval_ms = gate_node_hello_interval_ms(entry->node, now);

	if (!entry->feed.source[0])
		return GATE_FIRST_HELLO_INTERVAL_MS;
	return MIN(interval_ms, (uint32_t)FULL_HELLO_INTERVAL_MS);
}

/* A host that serves goes on until it stops. */
static bool may_serve_(const struct gate_entry *entry, struct bw_time now)
{
	struct bw_confirmation confirmation;

	if (entry->node->stopping || !entry->routing)
		return false;
	if (entry->reported_ready)
		return true;
	confirmation = gate_entry_confirm(entry, now);
	return bw_may_start(&confirmation, entry->routing->version,
			    bw_time_diff_ms(now, entry->started_at));
}

/*
 * Adds this host's share of the part of the retry budget that does not depend
 * on traffic.
 */
static void refill_retries_(struct gate_entry *entry, struct bw_time now)
{
	const struct gate_settings *settings = &entry->node->settings;
	double share = RETRY_SHARE * settings->retry_extra /
		       MAX(entry->entry_count, 1U);
	double elapsed_ms =
		(double)bw_time_diff_ms(now, entry->retry_refilled_at);

	entry->retry_refilled_at = now;
	entry->retry_tokens += share * elapsed_ms / settings->retry_window_ms;
	entry->retry_tokens = MIN(entry->retry_tokens, MAX(share, 1.0));
}

#include "gate_node.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "gate_catch_up.h"

/** Interval of transport heartbeats; a broken path is detected within 1.5 s. */
#define HEARTBEAT_MS 500

/**
 * Time after which an unused connection is closed. All hosts that start talk to
 * the same few control hosts first.
 */
#define IDLE_TIMEOUT_MS 8000

/** Time after which a control host that no host lists is removed. */
#define CONTROL_REMOVE_MS 20000

/** Time without a heartbeat after which a backend server is removed. */
#define SERVER_REMOVE_MS 60000

/** Interval at which such servers are looked for. */
#define EXPIRE_INTERVAL_MS 5000

/** Limits for requests to the metrics address. */
#define METRICS_HEAD_MAX_BYTES 8192
#define METRICS_CONNECTIONS_MAX 16
#define METRICS_TIMEOUT_MS 5000

/** File descriptors reserved for peers, files, and the listeners of readiness
 * and metrics; some, when a host has fewer. */
#define DESCRIPTORS_RESERVED 400
#define CONNECTIONS_MIN 16

static enum bw_status open_transport_(struct gate_node *node,
				      transport_receive_fn *receive,
				      void *context);
static enum bw_status open_metrics_(struct gate_node *node);
static void on_metrics_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request);
static void on_metrics_disconnected_(void *context,
				     struct bw_server_connection *connection);
static void on_metrics_evicted_(void *context,
				const struct bw_listener_eviction *eviction);
static void note_announcement_(const struct gate_node *node,
			       struct gate_peer *peer,
			       const struct gate_status *status,
			       struct bw_time now);
static int64_t age_ms_(struct bw_time at, struct bw_time now);
static void remove_control_(struct gate_node *node, uint32_t index);
static void apply_heartbeat_(struct gate_node *node, const char *sender,
			     const struct gate_heartbeat *heartbeat,
			     struct bw_time now);
static void log_passed_over_(struct gate_node *node, const char *sender,
			     const struct gate_heartbeat *heartbeat,
			     const struct bw_server *known);
static void request_records_(struct gate_node *node, const char *sender,
			     struct gate_servers *outdated);

static const struct bw_listener_handler metrics_handler = {
	.request = on_metrics_,
	.disconnected = on_metrics_disconnected_,
	.evicted = on_metrics_evicted_,
};

enum bw_status gate_node_init(struct gate_node *node,
			      const struct gate_settings *settings,
			      struct ev_loop *loop, struct bw_log *log,
			      transport_receive_fn *receive, void *context)
{
	enum bw_status status;

	memset(node, 0, sizeof(*node));
	node->settings = *settings;
	node->loop = loop;
	bw_loop_clock_init(&node->clock, loop);
	node->started_at = gate_node_now(node);
	node->log = log;
	bw_metrics_init(&node->metrics);
	bw_memory_init(&node->memory,
		       (uint64_t)settings->memory_max_mb * 1024 * 1024);
	gate_evictions_init(&node->evictions, log, &node->metrics);
	bw_random_init_system(&node->random);
	node->incarnation = bw_random_next(&node->random) | 1;
	bw_name_set(node->name, settings->control_address[0]
					? settings->control_address
					: settings->entry_address);
	bw_registry_init(&node->registry);
	status = open_transport_(node, receive, context);
	if (status == BW_OK)
		status = open_metrics_(node);
	if (status == BW_OK)
		gate_node_update_seeds(node, settings, gate_node_now(node));
	return status;
}

void gate_node_finish(struct gate_node *node)
{
	bw_listener_finish(&node->metrics_listener);
	if (node->transport.zmq)
		transport_finish(&node->transport);
	bw_registry_finish(&node->registry);
	bw_metrics_finish(&node->metrics);
	bw_buffer_finish(&node->frame);
}

struct bw_time gate_node_now(struct gate_node *node)
{
	return bw_loop_clock_now(&node->clock);
}

struct bw_time gate_node_refresh(struct gate_node *node)
{
	return bw_loop_clock_refresh(&node->clock);
}

void gate_node_add_control(struct gate_node *node, const char *name,
			   bool direct, struct bw_time now)
{
	struct gate_peer *peer;
	char internal[GATE_ADDRESS_BYTES];

	if (!strcmp(name, node->name) ||
	    !gate_internal_address(node, name, internal))
		return;
	peer = gate_node_control(node, name);
	if (!peer) {
		if (node->control_count == GATE_CONTROLS_MAX) {
			if (!node->controls_full)
				bw_log_event(node->log, BW_LOG_ERROR,
					     "membership", "control_hosts_full",
					     "{s:s,s:i}", "peer", name, "known",
					     (int)node->control_count);
			node->controls_full = true;
			return;
		}
		peer = &node->controls[node->control_count++];
		memset(peer, 0, sizeof(*peer));
		bw_name_set(peer->name, name);
		peer->used_domains = UINT64_MAX;
		transport_set_address(&node->transport, name, internal);
		bw_log_event(node->log, BW_LOG_INFO, "membership",
			     "control_host_known", "{s:s,s:b}", "peer", name,
			     "heard", direct);
	}
	peer->last_listed = now;
	if (!direct)
		return;
	if (peer->lost)
		bw_log_event(node->log, BW_LOG_INFO, "membership",
			     "control_host_regained", "{s:s}", "peer", name);
	peer->lost = false;
	peer->last_heard = now;
}

void gate_node_set_control_domain(struct gate_node *node, const char *name,
				  const char *domain)
{
	struct gate_peer *peer = gate_node_control(node, name);

	if (peer)
		bw_name_set(peer->domain, domain);
}

void gate_node_note_status(struct gate_node *node, const char *name,
			   const struct gate_status *status, struct bw_time now)
{
	struct gate_peer *peer;
	uint32_t i;

	for (i = 0; i < status->control_count; i++) {
		gate_node_add_control(node, status->controls[i], false, now);
		if (status->control_domains[i][0])
			gate_node_set_control_domain(
				node, status->controls[i],
				status->control_domains[i]);
	}
	gate_node_set_control_domain(node, name, status->domain);
	peer = gate_node_control(node, name);
	if (!peer)
		return;
	note_announcement_(node, peer, status, now);
	peer->sends_pieces = status->sends_pieces;
	peer->confirms = status->confirms;
	peer->tells_silence = status->tells_silence;
}

void gate_node_update_seeds(struct gate_node *node,
			    const struct gate_settings *settings,
			    struct bw_time now)
{
	uint32_t i;

	for (i = 0; i < node->control_count; i++)
		node->controls[i].seed = false;
	for (i = 0; i < settings->seed_count; i++) {
		struct gate_peer *peer;

		gate_node_add_control(node, settings->seeds[i], false, now);
		peer = gate_node_control(node, settings->seeds[i]);
		if (peer)
			peer->seed = true;
	}
}

void gate_node_check_controls(struct gate_node *node, struct bw_time now)
{
	uint32_t i = 0;

	while (i < node->control_count) {
		struct gate_peer *peer = &node->controls[i];

		if (peer->last_heard.ms && !peer->lost &&
		    !gate_peer_is_alive(peer, now)) {
			peer->lost = true;
			bw_log_event(node->log, BW_LOG_WARNING, "membership",
				     "control_host_lost", "{s:s,s:I}", "peer",
				     peer->name, "silent_ms",
				     (json_int_t)bw_time_diff_ms(
					     now, peer->last_heard));
		}
		if (!peer->seed &&
		    bw_time_diff_ms(now, peer->last_listed) >
			    CONTROL_REMOVE_MS &&
		    bw_time_diff_ms(now, peer->last_heard) > CONTROL_REMOVE_MS)
			remove_control_(node, i);
		else
			i++;
	}
	if (!bw_time_reached(now, node->next_expire))
		return;
	node->next_expire = bw_time_add(now, EXPIRE_INTERVAL_MS);
	bw_registry_expire(&node->registry, now, SERVER_REMOVE_MS);
}

/* Uses a short interval after a start or after losing all control hosts. */
uint32_t gate_node_hello_interval_ms(const struct gate_node *node,
				     struct bw_time now)
{
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		if (gate_peer_is_alive(&node->controls[i], now))
			return GATE_HELLO_INTERVAL_MS;
	}
	return GATE_FIRST_HELLO_INTERVAL_MS;
}

bool gate_peer_is_alive(const struct gate_peer *peer, struct bw_time now)
{
	return peer->last_heard.ms &&
	       bw_time_diff_ms(now, peer->last_heard) <= GATE_PEER_TIMEOUT_MS;
}

void gate_node_send(struct gate_node *node, const char *peer)
{
	gate_node_send_on(node, BW_CHANNEL_GATE, peer);
}

uint32_t gate_node_live_controls(const struct gate_node *node,
				 struct bw_time now)
{
	uint32_t count = 1;
	uint32_t i;

	for (i = 0; i < node->control_count; i++)
		count += gate_peer_is_alive(&node->controls[i], now);
	return count;
}

struct gate_peer *gate_node_control(struct gate_node *node, const char *name)
{
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		if (!strcmp(node->controls[i].name, name))
			return &node->controls[i];
	}
	return NULL;
}

void gate_node_send_on(struct gate_node *node, enum bw_channel channel,
		       const char *peer)
{
	struct bw_packet packet = { .channel = channel };

	bw_name_set(packet.peer, peer);
	packet.data = node->frame.data;
	packet.size_bytes = (uint32_t)node->frame.size_bytes;
	transport_send(&node->transport, &packet);
}

struct bw_buffer *gate_node_frame(struct gate_node *node)
{
	bw_buffer_clear(&node->frame);
	return &node->frame;
}

bool gate_internal_address(const struct gate_node *node, const char *address,
			   char internal[GATE_ADDRESS_BYTES])
{
	const char *colon = strrchr(address, ':');
	struct in_addr parsed;
	char ip[16];

	if (!colon || (size_t)(colon - address) >= sizeof(ip))
		return false;
	memcpy(ip, address, (size_t)(colon - address));
	ip[colon - address] = '\0';
	if (inet_pton(AF_INET, ip, &parsed) != 1)
		return false;
	snprintf(internal, GATE_ADDRESS_BYTES, "%s:%u", ip,
		 node->settings.internal_port);
	return true;
}

const char *gate_node_region(const struct gate_node *node, const char *domain)
{
	uint32_t i;

	for (i = 0; i < node->settings.domain_count; i++) {
		if (!strcmp(node->settings.domains[i].domain, domain))
			return node->settings.domains[i].region;
	}
	return "";
}

uint32_t gate_node_region_index(const struct gate_node *node,
				const char *region)
{
	uint32_t i;

	for (i = 0; i < node->settings.domain_count; i++) {
		if (!strcmp(node->settings.domains[i].region, region))
			return i % 32;
	}
	return 31;
}

void gate_domain_list_set(struct gate_domain_list *list,
			  const struct gate_settings *settings, uint64_t used)
{
	uint32_t i;

	list->known = true;
	list->count = 0;
	for (i = 0; i < settings->domain_count; i++) {
		if (used & (1ULL << i))
			bw_name_set(list->domains[list->count++],
				    settings->domains[i].domain);
	}
}

uint32_t gate_node_domain_index(const struct gate_node *node,
				const char *domain)
{
	uint32_t i = 0;

	while (i < node->settings.domain_count &&
	       strcmp(node->settings.domains[i].domain, domain) != 0)
		i++;
	return i;
}

void gate_node_dump(const struct gate_node *node, struct bw_time now,
		    json_t *into)
{
	json_t *controls = json_object();
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		const struct gate_peer *peer = &node->controls[i];

		json_object_set_new(
			controls, peer->name,
			json_pack("{s:s,s:b,s:b,s:I,s:I,s:I}", "domain",
				  peer->domain, "voter", peer->voter, "contact",
				  peer->contact_since.ms != 0, "heard_ms_ago",
				  (json_int_t)age_ms_(peer->last_heard, now),
				  "version",
				  (json_int_t)peer->announcement.version,
				  "confirmed_ms_ago",
				  (json_int_t)age_ms_(
					  peer->announcement.majority_as_of,
					  now)));
	}
	json_object_set_new(into, "control_hosts", controls);
	json_object_set_new(
		into, "servers",
		json_integer(g_hash_table_size(node->registry.servers)));
}

enum bw_registry_outcome gate_node_merge(struct gate_node *node,
					 const struct bw_server_record *record,
					 const char *source, struct bw_time now,
					 struct bw_server **server)
{
	enum bw_registry_outcome outcome =
		bw_registry_merge(&node->registry, record, now, server);

	if (outcome == BW_REGISTRY_CHANGED)
		bw_log_event(node->log, BW_LOG_INFO, "registry",
			     "server_changed", "{s:s,s:s,s:s,s:s,s:s,s:I,s:i}",
			     "server", record->id, "service", record->service,
			     "domain", record->domain, "state",
			     bw_server_state_string[record->state], "source",
			     source, "sequence", (json_int_t)record->sequence,
			     "cold_ms", (int)record->cold_ms);
	return outcome;
}

void gate_node_receive_servers(struct gate_node *node, const char *sender,
			       const struct gate_servers *servers,
			       struct bw_time now)
{
	struct gate_servers outdated = { .record_count = 0 };
	uint32_t i;

	for (i = 0; i < servers->record_count; i++)
		gate_node_merge(node, &servers->records[i], sender, now, NULL);
	for (i = 0; i < servers->heartbeat_count; i++) {
		const struct gate_heartbeat *heartbeat =
			&servers->heartbeats[i];
		struct bw_server *known = g_hash_table_lookup(
			node->registry.by_hash, &heartbeat->id_hash);

		if (bw_registry_lacks(known, heartbeat->started_wall_ms,
				      heartbeat->state, heartbeat->sequence)) {
			outdated.heartbeats[outdated.heartbeat_count++] =
				*heartbeat;
			continue;
		}
		if (heartbeat->started_wall_ms == known->record.started_wall_ms)
			apply_heartbeat_(node, sender, heartbeat, now);
		if (known->record.state == BW_SERVER_READY &&
		    heartbeat->state != BW_SERVER_READY)
			log_passed_over_(node, sender, heartbeat, known);
	}
	if (outdated.heartbeat_count)
		request_records_(node, sender, &outdated);
	gate_catch_up_received(node, sender, servers,
			       outdated.heartbeat_count > 0, now);
}

static void remove_control_(struct gate_node *node, uint32_t index)
{
	node->controls[index] = node->controls[--node->control_count];
	node->controls_full = false;
}

static void apply_heartbeat_(struct gate_node *node, const char *sender,
			     const struct gate_heartbeat *heartbeat,
			     struct bw_time now)
{
	if (!heartbeat->silent) {
		bw_registry_touch(&node->registry, heartbeat->id_hash,
				  heartbeat->sequence, now);
		return;
	}
	if (!bw_registry_silence(&node->registry, heartbeat->id_hash,
				 heartbeat->started_wall_ms,
				 heartbeat->sequence))
		return;
	bw_log_event(node->log, BW_LOG_INFO, "registry", "server_silent",
		     "{s:I,s:s,s:I}", "id_hash", (json_int_t)heartbeat->id_hash,
		     "source", sender, "sequence",
		     (json_int_t)heartbeat->sequence);
}

/* Returns the age of a time; -1 when it is not set. */
static int64_t age_ms_(struct bw_time at, struct bw_time now)
{
	return at.ms ? bw_time_diff_ms(now, at) : -1;
}

uint32_t gate_node_connections_max(const struct gate_node *node,
				   double fraction)
{
	uint32_t descriptors = node->settings.descriptors_max;

	if (descriptors < DESCRIPTORS_RESERVED + CONNECTIONS_MIN)
		return CONNECTIONS_MIN;
	descriptors -= DESCRIPTORS_RESERVED;
	return (uint32_t)(fraction * descriptors);
}

void gate_node_note_eviction(struct gate_node *node,
			     const struct bw_listener_eviction *eviction)
{
	gate_evictions_note(&node->evictions, eviction, gate_node_now(node));
}

static enum bw_status open_transport_(struct gate_node *node,
				      transport_receive_fn *receive,
				      void *context)
{
	struct transport_config config = { .loop = node->loop };
	char listen[GATE_ADDRESS_BYTES];
	enum bw_status status;

	snprintf(listen, sizeof(listen), "%s:%u", node->settings.ip,
		 node->settings.internal_port);
	config.self = node->name;
	config.incarnation = node->incarnation;
	config.listen_address = listen;
	config.advertise_address = listen;
	config.source_address = node->settings.ip;
	config.receive = receive;
	config.context = context;
	config.heartbeat_ms = HEARTBEAT_MS;
	config.idle_timeout_ms = IDLE_TIMEOUT_MS;
	status = transport_init(&node->transport, &config);
	node->transport.config.self = node->name;
	if (status != BW_OK)
		bw_log_event(node->log, BW_LOG_ERROR, "transport",
			     "listen_failed", "{s:s,s:s}", "address", listen,
			     "status", bw_status_string[status]);
	return status;
}

static enum bw_status open_metrics_(struct gate_node *node)
{
	struct bw_listener_config config = { .loop = node->loop };
	enum bw_status status;

	if (!node->settings.metrics_address[0])
		return BW_OK;
	config.address = node->settings.metrics_address;
	config.limits.head_max_bytes = METRICS_HEAD_MAX_BYTES;
	config.limits.body_max_bytes = METRICS_HEAD_MAX_BYTES;
	config.connections_max = METRICS_CONNECTIONS_MAX;
	config.head_timeout_ms = METRICS_TIMEOUT_MS;
	config.idle_timeout_ms = METRICS_TIMEOUT_MS;
	config.memory = &node->memory;
	config.handler = &metrics_handler;
	config.context = node;
	status = bw_listener_init(&node->metrics_listener, &config);
	if (status != BW_OK)
		bw_log_event(node->log, BW_LOG_ERROR, "metrics",
			     "listen_failed", "{s:s}", "address",
			     config.address);
	return status;
}

static void on_metrics_(void *context, struct bw_server_connection *connection,
			const struct bw_http_message *request)
{
	struct gate_node *node = context;
	struct bw_buffer fields;
	struct bw_buffer body;

	(void)request;
	bw_buffer_init(&fields);
	bw_buffer_init(&body);
	bw_buffer_printf(&fields,
			 "Content-Type: text/plain; version=0.0.4\r\n");
	bw_metrics_print(&node->metrics, &body);
	bw_connection_respond(connection, 200, &fields, body.data,
			      body.size_bytes, false);
	bw_buffer_finish(&fields);
	bw_buffer_finish(&body);
}

static void on_metrics_disconnected_(void *context,
				     struct bw_server_connection *connection)
{
	(void)context;
	(void)connection;
}

static void on_metrics_evicted_(void *context,
				const struct bw_listener_eviction *eviction)
{
	gate_node_note_eviction(context, eviction);
}

/*
 * A status is as old as the hello that it answers: it may have waited on a slow
 * link, or in this host while it was stopped. Hellos of an earlier process of
 * this host say nothing. What most voters confirmed is older still by the age
 * that the sender names.
 */
static void note_announcement_(const struct gate_node *node,
			       struct gate_peer *peer,
			       const struct gate_status *status,
			       struct bw_time now)
{
	struct bw_announcement announcement = {
		.version = status->routing_version,
		.current = status->current,
	};
	struct bw_time sent = { (int64_t)status->hello_sent_ms };

	if (bw_time_reached(sent, node->started_at) &&
	    bw_time_reached(now, sent)) {
		announcement.as_of = sent;
		if (status->confirmed)
			announcement.majority_as_of.ms =
				sent.ms - status->confirmed_age_ms;
	}
	bw_announcement_replace(&peer->announcement, &announcement);
	if (status->confirmed)
		peer->unconfirmed_since.ms = 0;
	else if (!peer->unconfirmed_since.ms)
		peer->unconfirmed_since = now;
}

/* The sender knows that a server drains or has left; this host takes that for
 * older than what it knows. */
static void log_passed_over_(struct gate_node *node, const char *sender,
			     const struct gate_heartbeat *heartbeat,
			     const struct bw_server *known)
{
	bw_log_event(node->log, BW_LOG_INFO, "registry",
		     "departure_passed_over", "{s:s,s:s,s:s,s:I,s:I,s:b}",
		     "server", known->record.id, "source", sender, "state",
		     bw_server_state_string[heartbeat->state], "sequence",
		     (json_int_t)heartbeat->sequence, "heard_sequence",
		     (json_int_t)known->heard_sequence, "same_start",
		     heartbeat->started_wall_ms ==
			     known->record.started_wall_ms);
}

static void request_records_(struct gate_node *node, const char *sender,
			     struct gate_servers *outdated)
{
	gate_servers_write(gate_node_frame(node), GATE_RECORDS_REQUEST,
			   outdated);
	gate_node_send(node, sender);
}

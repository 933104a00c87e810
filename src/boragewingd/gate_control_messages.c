#include <string.h>

#include "gate_control_private.h"

static void handle_servers_(struct gate_control *control,
			    const struct bw_packet *packet,
			    const struct gate_servers *servers,
			    struct bw_time now);
static void acknowledge_records_(struct gate_control *control, const char *peer,
				 const struct gate_servers *servers);
static uint32_t entry_index_(const struct gate_control *control,
			     const char *name);
static uint32_t count_in_domain_(const struct gate_control *control,
				 const char *domain);
static void sum_demands_(const struct gate_control *control,
			 struct gate_status *status);
static void add_demand_(struct gate_status *status, const char *domain,
			const struct gate_demand *demand);
static void store_loads_(GHashTable *table, const struct gate_load *loads,
			 uint32_t count);

void gate_control_handle_message(struct gate_control *control,
				 const struct bw_packet *packet,
				 struct bw_time now)
{
	static struct gate_servers servers;
	static struct gate_status status;
	static struct gate_hello hello;
	static struct gate_loads loads;
	struct bw_reader reader;
	uint32_t i;
	int type;

	bw_reader_init(&reader, packet->data, packet->size_bytes);
	type = gate_message_type(&reader);
	switch (type) {
	case GATE_HELLO:
		gate_hello_read(&reader, &hello);
		if (bw_reader_status(&reader) == BW_OK)
			gate_control_handle_hello(control, packet, &hello, now);
		break;
	case GATE_STATUS:
		gate_status_read(&reader, &status);
		if (bw_reader_status(&reader) != BW_OK)
			break;
		for (i = 0; i < status.control_count; i++)
			gate_node_add_control(control->node, status.controls[i],
					      false, now);
		break;
	case GATE_SERVERS:
	case GATE_SERVERS_ACK:
	case GATE_RECORDS_REQUEST:
		gate_servers_read(&reader, &servers);
		if (bw_reader_status(&reader) != BW_OK)
			break;
		if (type == GATE_SERVERS)
			handle_servers_(control, packet, &servers, now);
		else if (type == GATE_RECORDS_REQUEST)
			gate_control_send_requested(control, packet->peer,
						    &servers);
		for (i = 0;
		     type == GATE_SERVERS_ACK && i < servers.heartbeat_count;
		     i++)
			gate_control_record_acknowledged(
				control, packet->peer, &servers.heartbeats[i]);
		break;
	case GATE_LOADS:
		gate_loads_read(&reader, &loads);
		if (bw_reader_status(&reader) == BW_OK)
			store_loads_(control->peer_loads, loads.loads,
				     loads.count);
		break;
	case GATE_ROUTING_REQUEST:
		gate_control_send_routing(control, packet->peer);
		break;
	default:
		bw_log_event(control->node->log, BW_LOG_WARNING, "membership",
			     "message_unknown", "{s:s}", "peer", packet->peer);
		break;
	}
	bw_reader_finish(&reader);
}

void gate_control_handle_hello(struct gate_control *control,
			       const struct bw_packet *packet,
			       const struct gate_hello *hello,
			       struct bw_time now)
{
	struct gate_entry_host *entry;
	bool needs_digest;
	bool is_new_process;

	if (hello->control) {
		gate_node_add_control(control->node, packet->peer, true, now);
		return;
	}
	entry = g_hash_table_lookup(control->entries, packet->peer);
	is_new_process = !entry || entry->incarnation != packet->incarnation;
	if (!entry) {
		entry = g_new0(struct gate_entry_host, 1);
		bw_name_set(entry->name, packet->peer);
		g_hash_table_insert(control->entries, entry->name, entry);
	}
	if (is_new_process || entry->state != hello->state)
		bw_log_event(control->node->log, BW_LOG_INFO, "directory",
			     "entry_host_changed", "{s:s,s:s,s:i,s:b}", "peer",
			     packet->peer, "domain", hello->domain, "state",
			     (int)hello->state, "new_process", is_new_process);
	bw_name_set(entry->domain, hello->domain);
	bw_name_set(entry->region, hello->region);
	needs_digest = hello->detail == GATE_DETAIL_FULL &&
		       (is_new_process || entry->detail != GATE_DETAIL_FULL);
	entry->state = hello->state;
	entry->detail = hello->detail;
	entry->incarnation = packet->incarnation;
	entry->last_hello_at = now;
	entry->hello_sent_ms = hello->sent_ms;
	entry->routing_version = hello->routing_version;
	entry->demand_count =
		MIN(hello->demand_count, (uint32_t)GATE_SERVICES_MAX);
	memcpy(entry->demands, hello->demands,
	       entry->demand_count * sizeof(entry->demands[0]));
	store_loads_(control->loads, hello->loads, hello->load_count);
	if (needs_digest)
		gate_control_send_digest(control, packet->peer);
	gate_control_send_status(control, entry);
}

void gate_control_send_status(struct gate_control *control,
			      const struct gate_entry_host *entry)
{
	static struct gate_status status;
	const struct bw_state *state = bw_replica_state(control->replica);
	struct gate_node *node = control->node;
	struct bw_time now = gate_node_now(node);
	uint32_t i;

	memset(&status, 0, sizeof(status));
	bw_name_set(status.domain, node->settings.domain);
	status.current = control->current;
	status.routing_version = state->revision;
	status.evacuation_index = state->evacuation_index;
	status.evacuated_count = state->evacuated_count;
	memcpy(status.evacuated, state->evacuated, sizeof(status.evacuated));
	for (i = 0; i < node->control_count; i++) {
		if (entry->detail != GATE_DETAIL_BRIEF &&
		    gate_peer_is_alive(&node->controls[i], now))
			bw_name_set(status.controls[status.control_count++],
				    node->controls[i].name);
	}
	status.hello_sent_ms = entry->hello_sent_ms;
	status.sends_pieces = true;
	status.names_retired = control->submissions.committed &&
			       entry->routing_version < state->revision;
	if (status.names_retired)
		status.retired = control->submissions.retired;
	status.entry_count = g_hash_table_size(control->entries);
	status.entry_index = entry_index_(control, entry->name);
	status.domain_entry_count = count_in_domain_(control, entry->domain);
	if (entry->detail == GATE_DETAIL_FULL)
		sum_demands_(control, &status);
	gate_status_write(gate_node_frame(node), &status);
	gate_node_send(node, entry->name);
}

void gate_control_send_status_all(struct gate_control *control)
{
	bool is_leader = bw_replica_role(control->replica) == BW_REPLICA_LEADER;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (is_leader || entry->detail == GATE_DETAIL_FULL)
			gate_control_send_status(control, entry);
	}
}

/*
 * Forwards changed records from another control host to the entry hosts, which
 * may not be able to reach that host.
 */
static void handle_servers_(struct gate_control *control,
			    const struct bw_packet *packet,
			    const struct gate_servers *servers,
			    struct bw_time now)
{
	struct gate_node *node = control->node;
	uint64_t generation = node->registry.generation;
	uint32_t i;

	gate_node_add_control(node, packet->peer, true, now);
	gate_node_receive_servers(node, packet->peer, servers, now);
	acknowledge_records_(control, packet->peer, servers);
	if (generation == node->registry.generation)
		return;
	for (i = 0; i < servers->record_count; i++) {
		struct bw_server *known = bw_registry_find(
			&node->registry, servers->records[i].id);

		if (!known || known->changed_at.ms != now.ms)
			continue;
		gate_control_send_to_followers(control, known);
	}
}

/*
 * Acknowledges only records of servers that accept no new requests, because no
 * call waits for copies of other records.
 */
static void acknowledge_records_(struct gate_control *control, const char *peer,
				 const struct gate_servers *servers)
{
	static struct gate_servers ack;
	uint32_t i;

	ack.record_count = 0;
	ack.heartbeat_count = 0;
	for (i = 0; i < servers->record_count; i++) {
		const struct bw_server_record *record = &servers->records[i];
		struct gate_heartbeat *heartbeat;

		if (record->state == BW_SERVER_READY)
			continue;
		heartbeat = &ack.heartbeats[ack.heartbeat_count++];
		heartbeat->id_hash = bw_registry_hash(record->id);
		heartbeat->started_wall_ms = record->started_wall_ms;
		heartbeat->sequence = record->sequence;
		heartbeat->state = record->state;
	}
	if (!ack.heartbeat_count)
		return;
	gate_servers_write(gate_node_frame(control->node), GATE_SERVERS_ACK,
			   &ack);
	gate_node_send(control->node, peer);
}

void gate_control_expire_entries(struct gate_control *control,
				 struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (bw_time_diff_ms(now, entry->last_hello_at) <=
		    GATE_PEER_TIMEOUT_MS)
			continue;
		bw_log_event(control->node->log, BW_LOG_WARNING, "directory",
			     "entry_host_lost", "{s:s,s:s,s:I}", "peer",
			     entry->name, "domain", entry->domain, "silent_ms",
			     (json_int_t)bw_time_diff_ms(now,
							 entry->last_hello_at));
		g_hash_table_iter_remove(&iter);
	}
}

/* Returns the index of an entry host in the sorted list of addresses. */
static uint32_t entry_index_(const struct gate_control *control,
			     const char *name)
{
	GHashTableIter iter;
	gpointer key;
	uint32_t index = 0;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, &key, NULL)) {
		if (strcmp(key, name) < 0)
			index++;
	}
	return index;
}

static uint32_t count_in_domain_(const struct gate_control *control,
				 const char *domain)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (!strcmp(entry->domain, domain))
			count++;
	}
	return count;
}

static void sum_demands_(const struct gate_control *control,
			 struct gate_status *status)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		for (i = 0; i < entry->demand_count; i++)
			add_demand_(status, entry->domain, &entry->demands[i]);
	}
}

static void add_demand_(struct gate_status *status, const char *domain,
			const struct gate_demand *demand)
{
	struct gate_demand *sum;
	uint32_t i;

	for (i = 0; i < status->demand_count; i++) {
		sum = &status->demands[i];
		if (sum->service_hash == demand->service_hash &&
		    !strcmp(sum->domain, domain)) {
			sum->millirequests_per_s += demand->millirequests_per_s;
			return;
		}
	}
	if (status->demand_count == GATE_DEMANDS_MAX)
		return;
	sum = &status->demands[status->demand_count++];
	*sum = *demand;
	bw_name_set(sum->domain, domain);
}

static void store_loads_(GHashTable *table, const struct gate_load *loads,
			 uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct gate_load *stored =
			g_hash_table_lookup(table, &loads[i].id_hash);
		struct gate_load *load = g_new(struct gate_load, 1);

		*load = loads[i];
		/* A host that does not know of the leave does not end it. */
		if (stored && stored->leaving && !load->leaving) {
			load->leaving = true;
			load->started_wall_ms = stored->started_wall_ms;
		}
		g_hash_table_replace(table, &load->id_hash, load);
	}
}

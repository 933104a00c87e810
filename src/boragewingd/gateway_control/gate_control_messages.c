#include <string.h>

#include "gate_catch_up.h"
#include "gate_control_private.h"

/**
 * Interval of the parts of a status that are long and change slowly: the list
 * of control hosts, unless one more or less of them responds, and the demands.
 */
#define DETAILS_INTERVAL_MS 900

static void handle_control_hello_(struct gate_control *control,
				  const struct bw_packet *packet,
				  const struct gate_hello *hello,
				  struct bw_time now);
static void update_entry_(struct gate_control *control,
			  struct gate_entry_host *entry,
			  const struct gate_hello *hello, struct bw_time now);
static void fill_status_(struct gate_control *control,
			 struct gate_status *status, uint64_t receiver_version,
			 struct bw_time now);
static void list_controls_(const struct gate_control *control,
			   struct gate_status *status, struct bw_time now);

void gate_control_handle_message(struct gate_control *control,
				 const struct bw_packet *packet,
				 struct bw_time now)
{
	static struct gate_servers servers;
	static struct gate_status status;
	static struct gate_hello hello;
	static struct gate_loads loads;
	static struct gate_fleet fleet;
	struct gate_departures_request departures;
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
		gate_node_add_control(control->node, packet->peer, true, now);
		gate_node_note_status(control->node, packet->peer, &status,
				      now);
		break;
	case GATE_SERVERS:
	case GATE_SERVERS_ACK:
	case GATE_RECORDS_REQUEST:
		gate_servers_read(&reader, &servers);
		if (bw_reader_status(&reader) != BW_OK)
			break;
		if (type == GATE_SERVERS)
			gate_control_receive_servers(control, packet->peer,
						     &servers, now);
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
			gate_control_store_loads(control, loads.loads,
						 loads.count, false);
		break;
	case GATE_FLEET:
		gate_fleet_read(&reader, &fleet);
		if (bw_reader_status(&reader) == BW_OK)
			gate_control_receive_fleet(control, packet->peer,
						   &fleet, now);
		break;
	case GATE_DEPARTURES_REQUEST:
		gate_departures_request_read(&reader, &departures);
		if (bw_reader_status(&reader) == BW_OK)
			gate_catch_up_answer(control->node, packet->peer,
					     &departures);
		break;
	case GATE_QUOTA_DEMAND:
		gate_control_receive_demand(control, packet, &reader, now);
		break;
	case GATE_QUOTA_GRANT:
		gate_control_receive_grant(control, packet, &reader);
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
		handle_control_hello_(control, packet, hello, now);
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
	needs_digest = hello->detail == GATE_DETAIL_FULL &&
		       (is_new_process || entry->detail != GATE_DETAIL_FULL);
	if (is_new_process || entry->state != hello->state ||
	    entry->detail != hello->detail)
		control->fleet_changed = true;
	if (needs_digest || is_new_process)
		entry->details_sent_at.ms = 0;
	entry->incarnation = packet->incarnation;
	update_entry_(control, entry, hello, now);
	gate_control_store_loads(control, hello->loads, hello->load_count,
				 true);
	if (needs_digest)
		gate_control_send_digest(control, packet->peer);
	gate_control_send_status(control, entry);
}

/*
 * A voter responds, because the sender counts the voters that confirm its
 * version. Others respond only when they know more control hosts.
 */
static void handle_control_hello_(struct gate_control *control,
				  const struct bw_packet *packet,
				  const struct gate_hello *hello,
				  struct bw_time now)
{
	static struct gate_status status;
	struct gate_node *node = control->node;
	bool knows_more = gate_node_live_controls(node, now) >
			  hello->control_count;
	struct gate_peer *peer;

	gate_node_add_control(node, packet->peer, true, now);
	gate_node_set_control_domain(node, packet->peer, hello->domain);
	peer = gate_node_control(node, packet->peer);
	if (peer)
		peer->used_domains =
			gate_control_used_domains(control, &hello->used);
	gate_catch_up_note(node, packet, hello->departures, now);
	if (!hello->sent_ms || (!control->votes && !knows_more))
		return;
	fill_status_(control, &status, hello->routing_version, now);
	status.hello_sent_ms = hello->sent_ms;
	if (knows_more)
		list_controls_(control, &status, now);
	gate_status_write(gate_node_frame(node), &status);
	gate_node_send(node, packet->peer);
}

static void update_entry_(struct gate_control *control,
			  struct gate_entry_host *entry,
			  const struct gate_hello *hello, struct bw_time now)
{
	struct bw_roster_host host;

	bw_name_set(entry->domain, hello->domain);
	bw_name_set(entry->region, hello->region);
	entry->state = hello->state;
	entry->detail = hello->detail;
	entry->last_hello_at = now;
	entry->hello_sent_ms = hello->sent_ms;
	entry->routing_version = hello->routing_version;
	entry->accepts_silence = hello->accepts_silence;
	entry->used_domains = gate_control_used_domains(control, &hello->used);
	entry->demand_count =
		MIN(hello->demand_count, (uint32_t)GATE_SERVICES_MAX);
	memcpy(entry->demands, hello->demands,
	       entry->demand_count * sizeof(entry->demands[0]));
	bw_name_set(host.name, entry->name);
	bw_name_set(host.domain, entry->domain);
	bw_name_set(host.region, entry->region);
	host.state = entry->state;
	bw_roster_report(&control->roster, &host, now);
}

void gate_control_send_status(struct gate_control *control,
			      struct gate_entry_host *entry)
{
	static struct gate_status status;
	struct gate_node *node = control->node;
	struct bw_time now = gate_node_now(node);

	fill_status_(control, &status, entry->routing_version, now);
	status.hello_sent_ms = entry->hello_sent_ms;
	status.entry_count = bw_roster_sorted(&control->roster)->len;
	status.entry_index = bw_roster_index(&control->roster, entry->name);
	status.domain_entry_count =
		bw_roster_count_in(&control->roster, entry->domain);
	if (entry->detail == GATE_DETAIL_NAMES ||
	    (entry->detail == GATE_DETAIL_FULL &&
	     (bw_time_diff_ms(now, entry->details_sent_at) >=
		      DETAILS_INTERVAL_MS ||
	      entry->controls_listed != gate_node_live_controls(node, now)))) {
		entry->details_sent_at = now;
		entry->controls_listed = gate_node_live_controls(node, now);
		list_controls_(control, &status, now);
		if (entry->detail == GATE_DETAIL_FULL)
			gate_control_sum_demands(control, &status);
	}
	gate_status_write(gate_node_frame(node), &status);
	gate_node_send(node, entry->name);
}

static void fill_status_(struct gate_control *control,
			 struct gate_status *status, uint64_t receiver_version,
			 struct bw_time now)
{
	const struct bw_state *state = bw_replica_state(control->replica);
	struct bw_confirmation confirmation =
		gate_control_confirm(control, now);

	memset(status, 0, sizeof(*status));
	bw_name_set(status->domain, control->node->settings.domain);
	status->current = control->current;
	status->routing_version = state->revision;
	status->evacuation_index = state->evacuation_index;
	status->evacuated_count = state->evacuated_count;
	memcpy(status->evacuated, state->evacuated, sizeof(status->evacuated));
	status->sends_pieces = true;
	status->names_retired = control->submissions.committed &&
				receiver_version < state->revision;
	if (status->names_retired)
		status->retired = control->submissions.retired;
	status->confirmed = confirmation.confirmed;
	if (confirmation.confirmed)
		status->confirmed_age_ms =
			(uint32_t)bw_time_diff_ms(now, confirmation.as_of);
	status->tells_silence = true;
	status->departures = control->node->registry.departures;
}

static void list_controls_(const struct gate_control *control,
			   struct gate_status *status, struct bw_time now)
{
	const struct gate_node *node = control->node;
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		const struct gate_peer *peer = &node->controls[i];
		uint32_t index = status->control_count;

		if (!gate_peer_is_alive(peer, now))
			continue;
		bw_name_set(status->controls[index], peer->name);
		bw_name_set(status->control_domains[index], peer->domain);
		status->control_count++;
	}
}

void gate_control_send_status_all(struct gate_control *control)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		gate_control_send_status(control, value);
}

void gate_control_expire_entries(struct gate_control *control,
				 struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (bw_time_diff_ms(now, entry->last_hello_at) >
		    GATE_PEER_TIMEOUT_MS)
			g_hash_table_iter_remove(&iter);
	}
}

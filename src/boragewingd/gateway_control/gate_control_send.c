#include <string.h>

#include "gate_control_private.h"

/**
 * Rounds in which entry hosts get a heartbeat of each server once. They take
 * servers as alive until they are told otherwise; the heartbeats show records
 * that an entry host lacks.
 */
#define HEARTBEAT_ROUNDS 16

/** Rounds in which a change is repeated; a message may be lost. */
#define SILENCE_REPEATS 3

/** Announcements of a server that may be missing before it counts as silent. */
#define MISSED_ANNOUNCEMENTS_MAX 3

/** Group of hosts that receives a message. */
enum receiver_group {
	GROUP_CONTROLS, /**< all control hosts */
	GROUP_FOLLOWERS, /**< entry hosts that get full detail from here */
	GROUP_EARLIER, /**< those of an earlier version, which get a heartbeat
			    for each announcement */
	GROUP_ENTRIES /**< all entry hosts that send hellos to this host */
};

/** Receiver of a message: one host or a group. */
struct receiver {
	const char *peer; /**< NULL: send to the group */
	enum receiver_group group;
};

static void send_hello_(struct gate_control *control, struct bw_time now);
static void send_heartbeats_(struct gate_control *control,
			     enum receiver_group group);
static bool is_heartbeat_due_(const struct gate_control *control,
			      const struct bw_server *server,
			      enum receiver_group group);
static void add_heartbeat_(struct gate_control *control,
			   struct gate_servers *batch,
			   const struct bw_server *server,
			   const struct receiver *to);
static void flush_batch_(struct gate_control *control,
			 struct gate_servers *batch, const struct receiver *to);
static void send_records_(struct gate_control *control,
			  enum receiver_group group);
static void write_record_(struct gate_control *control,
			  const struct bw_server *server);
static void send_to_group_(struct gate_control *control,
			   enum receiver_group group);
static void send_on_channel_(struct gate_control *control,
			     enum bw_channel channel,
			     enum receiver_group group);
static bool is_in_group_(const struct gate_entry_host *entry,
			 enum receiver_group group);
static void send_to_entries_(struct gate_control *control,
			     enum bw_channel channel,
			     enum receiver_group group);
static bool has_earlier_followers_(const struct gate_control *control);
static bool is_overdue_(const struct gate_control *control,
			struct bw_time heard_at, struct bw_time now);
static void tell_silence_(struct gate_control *control, struct bw_time now);

void gate_control_broadcast_record(struct gate_control *control,
				   struct bw_server *server)
{
	if (server->record.state == BW_SERVER_READY) {
		server->send_to_controls = true;
		server->send_to_followers = true;
		control->records_pending = true;
		return;
	}
	write_record_(control, server);
	send_to_group_(control, GROUP_CONTROLS);
	send_to_group_(control, GROUP_ENTRIES);
}

void gate_control_send_to_followers(struct gate_control *control,
				    struct bw_server *server)
{
	if (server->record.state == BW_SERVER_READY) {
		server->send_to_followers = true;
		control->records_pending = true;
		return;
	}
	write_record_(control, server);
	send_to_group_(control, GROUP_ENTRIES);
}

void gate_control_send_records(struct gate_control *control)
{
	if (!control->records_pending)
		return;
	control->records_pending = false;
	send_records_(control, GROUP_CONTROLS);
	send_records_(control, GROUP_FOLLOWERS);
}

void gate_control_send_heartbeats(struct gate_control *control,
				  struct bw_time now)
{
	send_hello_(control, now);
	send_heartbeats_(control, GROUP_CONTROLS);
	if (has_earlier_followers_(control))
		send_heartbeats_(control, GROUP_EARLIER);
	tell_silence_(control, now);
	control->heartbeats_sent_at = now;
}

void gate_control_send_to_controls(struct gate_control *control,
				   enum bw_channel channel)
{
	send_on_channel_(control, channel, GROUP_CONTROLS);
}

void gate_control_relay(struct gate_control *control,
			const struct bw_packet *packet)
{
	struct gate_node *node = control->node;

	bw_buffer_append(gate_node_frame(node), packet->data,
			 packet->size_bytes);
	if (!gate_node_control(node, packet->peer))
		send_on_channel_(control, packet->channel, GROUP_CONTROLS);
	send_on_channel_(control, packet->channel, GROUP_FOLLOWERS);
}

static void send_hello_(struct gate_control *control, struct bw_time now)
{
	struct gate_node *node = control->node;
	const struct bw_state *state = bw_replica_state(control->replica);
	static struct gate_hello hello;

	hello.control = true;
	hello.state = node->stopping ? GATE_HOST_LEAVING : GATE_HOST_READY;
	bw_name_set(hello.domain, node->settings.domain);
	bw_name_set(hello.region, node->settings.region);
	hello.routing_version = state->revision;
	hello.sent_ms = (uint64_t)now.ms;
	hello.control_count = gate_node_live_controls(node, now);
	hello.accepts_silence = true;
	hello.departures = node->registry.departures;
	gate_control_list_used_domains(control, &hello.used);
	gate_hello_write(gate_node_frame(node), &hello);
	send_to_group_(control, GROUP_CONTROLS);
}

/* Sends the heartbeats that arrived since the last call. */
static void send_heartbeats_(struct gate_control *control,
			     enum receiver_group group)
{
	static struct gate_servers batch;
	struct receiver to = { .group = group };
	GHashTableIter iter;
	gpointer value;

	batch.record_count = 0;
	batch.heartbeat_count = 0;
	g_hash_table_iter_init(&iter, control->node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bw_server *server = value;

		if (!is_heartbeat_due_(control, server, group))
			continue;
		if (group == GROUP_CONTROLS)
			server->announced_here = false;
		add_heartbeat_(control, &batch, server, &to);
	}
	flush_batch_(control, &batch, &to);
}

/*
 * Control hosts get only the servers that announced to this host, because no
 * other control host sends them those.
 */
static bool is_heartbeat_due_(const struct gate_control *control,
			      const struct bw_server *server,
			      enum receiver_group group)
{
	if (group == GROUP_CONTROLS)
		return server->announced_here;
	return server->last_heard_at.ms >= control->heartbeats_sent_at.ms;
}

static void add_heartbeat_(struct gate_control *control,
			   struct gate_servers *batch,
			   const struct bw_server *server,
			   const struct receiver *to)
{
	struct gate_heartbeat *heartbeat =
		&batch->heartbeats[batch->heartbeat_count++];

	gate_heartbeat_set(heartbeat, server);
	if (to->peer || to->group == GROUP_FOLLOWERS)
		heartbeat->silent = server->silent_told;
	if (batch->heartbeat_count == GATE_BATCH_MAX)
		flush_batch_(control, batch, to);
}

static void flush_batch_(struct gate_control *control,
			 struct gate_servers *batch, const struct receiver *to)
{
	if (!batch->heartbeat_count && !batch->record_count)
		return;
	gate_servers_write(gate_node_frame(control->node), GATE_SERVERS, batch);
	if (to->peer)
		gate_node_send(control->node, to->peer);
	else
		send_to_group_(control, to->group);
	batch->heartbeat_count = 0;
	batch->record_count = 0;
}

static void send_records_(struct gate_control *control,
			  enum receiver_group group)
{
	static struct gate_servers batch;
	struct receiver to = { .group = group };
	GHashTableIter iter;
	gpointer value;

	batch.record_count = 0;
	batch.heartbeat_count = 0;
	g_hash_table_iter_init(&iter, control->node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bw_server *server = value;
		bool *due = group == GROUP_CONTROLS
				    ? &server->send_to_controls
				    : &server->send_to_followers;

		if (!*due)
			continue;
		*due = false;
		batch.records[batch.record_count++] = server->record;
		if (batch.record_count == GATE_BATCH_MAX)
			flush_batch_(control, &batch, &to);
	}
	flush_batch_(control, &batch, &to);
}

static void write_record_(struct gate_control *control,
			  const struct bw_server *server)
{
	static struct gate_servers batch;

	batch.record_count = 1;
	batch.heartbeat_count = 0;
	batch.records[0] = server->record;
	batch.departures_after = MAX(server->departure, 1) - 1;
	batch.departures_upto = server->departure;
	gate_servers_write(gate_node_frame(control->node), GATE_SERVERS,
			   &batch);
}

static void send_to_group_(struct gate_control *control,
			   enum receiver_group group)
{
	send_on_channel_(control, BW_CHANNEL_GATE, group);
}

static void send_on_channel_(struct gate_control *control,
			     enum bw_channel channel, enum receiver_group group)
{
	struct gate_node *node = control->node;
	uint32_t i;

	switch (group) {
	case GROUP_CONTROLS:
		for (i = 0; i < node->control_count; i++)
			gate_node_send_on(node, channel,
					  node->controls[i].name);
		break;
	case GROUP_FOLLOWERS:
	case GROUP_EARLIER:
	case GROUP_ENTRIES:
		send_to_entries_(control, channel, group);
		break;
	}
}

static bool is_in_group_(const struct gate_entry_host *entry,
			 enum receiver_group group)
{
	if (group == GROUP_ENTRIES)
		return true;
	return entry->detail == GATE_DETAIL_FULL &&
	       (group != GROUP_EARLIER || !entry->accepts_silence);
}

static void send_to_entries_(struct gate_control *control,
			     enum bw_channel channel, enum receiver_group group)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (is_in_group_(entry, group))
			gate_node_send_on(control->node, channel, entry->name);
	}
}

static bool has_earlier_followers_(const struct gate_control *control)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (is_in_group_(value, GROUP_EARLIER))
			return true;
	}
	return false;
}

/* Another control host may hold an announcement until its next hello. */
static bool is_overdue_(const struct gate_control *control,
			struct bw_time heard_at, struct bw_time now)
{
	return bw_time_diff_ms(now, heard_at) >
	       (int64_t)control->node->settings.announce_interval_ms *
			       MISSED_ANNOUNCEMENTS_MAX +
		       GATE_HELLO_INTERVAL_MS;
}

/*
 * Names the servers that have fallen silent or are heard again, and in each
 * round a part of all servers. A host that may have missed announcements itself
 * says nothing of overdue servers, unless it said before that they are silent.
 */
static void tell_silence_(struct gate_control *control, struct bw_time now)
{
	static struct gate_servers batch;
	struct receiver to = { .group = GROUP_FOLLOWERS };
	GHashTableIter iter;
	gpointer value;
	uint64_t round = control->heartbeat_round++ % HEARTBEAT_ROUNDS;
	bool judges = control->hears_servers_since.ms &&
		      is_overdue_(control, control->hears_servers_since, now);

	batch.record_count = 0;
	batch.heartbeat_count = 0;
	g_hash_table_iter_init(&iter, control->node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bw_server *server = value;
		bool silent = is_overdue_(control, server->last_heard_at, now);

		if (server->record.state == BW_SERVER_LEFT ||
		    (silent && !judges && !server->silent_told) ||
		    (silent == server->silent_told && !server->tells_left &&
		     server->id_hash % HEARTBEAT_ROUNDS != round))
			continue;
		if (silent != server->silent_told)
			server->tells_left = SILENCE_REPEATS;
		else if (server->tells_left)
			server->tells_left--;
		server->silent_told = silent;
		add_heartbeat_(control, &batch, server, &to);
	}
	flush_batch_(control, &batch, &to);
}

void gate_control_send_digest(struct gate_control *control, const char *peer)
{
	static struct gate_servers batch;
	struct receiver to = { .peer = peer };
	GHashTableIter iter;
	gpointer value;

	batch.record_count = 0;
	batch.heartbeat_count = 0;
	g_hash_table_iter_init(&iter, control->node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_heartbeat_(control, &batch, value, &to);
	flush_batch_(control, &batch, &to);
}

void gate_control_send_requested(struct gate_control *control, const char *peer,
				 const struct gate_servers *requested)
{
	static struct gate_servers batch;
	uint32_t i;

	batch.record_count = 0;
	batch.heartbeat_count = 0;
	for (i = 0; i < requested->heartbeat_count && i < GATE_BATCH_MAX; i++) {
		const struct bw_server *server =
			g_hash_table_lookup(control->node->registry.by_hash,
					    &requested->heartbeats[i].id_hash);

		if (server)
			batch.records[batch.record_count++] = server->record;
	}
	gate_servers_write(gate_node_frame(control->node), GATE_SERVERS,
			   &batch);
	gate_node_send(control->node, peer);
}

void gate_control_send_routing(struct gate_control *control, const char *peer)
{
	const struct bw_state *state = bw_replica_state(control->replica);
	struct gate_routing routing = { .version = state->revision };

	if (!control->current || !state->revision)
		return;
	routing.text = state->text.data;
	routing.text_bytes = state->text.size_bytes;
	gate_routing_write(gate_node_frame(control->node), GATE_ROUTING,
			   &routing);
	gate_node_send(control->node, peer);
}

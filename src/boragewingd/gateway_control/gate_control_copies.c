#include <string.h>

#include "gate_control_private.h"

/** Time for which a call waits for copies; callers time out after 1 s. */
#define COPIES_TIMEOUT_MS 800

static void merge_leave_(struct gate_control *control, const char *id,
			 struct bw_time now, struct bw_server **server);
static bool is_ahead_(const struct bw_server *known,
		      const struct bw_server_record *record);
static void answer_records_(struct gate_control *control, const char *peer,
			    const struct gate_servers *servers);
static void forward_changes_(struct gate_control *control,
			     const struct gate_servers *servers,
			     struct bw_time now);
static void repeat_leaves_(struct gate_control *control, struct bw_time now);
static void repeat_leave_(struct gate_control *control, struct gate_wait *wait,
			  const char *id, struct bw_time now);
static void add_holder_(struct gate_wait *wait, uint64_t holder);

void gate_control_leave(struct gate_control *control,
			struct bw_server_connection *connection,
			const struct gate_call *call, struct bw_time now)
{
	struct bw_server *server;
	struct gate_wait *wait;

	merge_leave_(control, call->server, now, &server);
	wait = gate_control_wait_for_copies(control, connection, server, now);
	if (wait)
		wait->leave = true;
}

/*
 * Delays the answer until a majority of the voters has the record on disk, so
 * that an isolated host sends none. After the answer no entry host may send new
 * requests to the server.
 */
struct gate_wait *
gate_control_wait_for_copies(struct gate_control *control,
			     struct bw_server_connection *connection,
			     const struct bw_server *server, struct bw_time now)
{
	struct gate_wait *wait;

	if (!gate_control_in_majority(control, now)) {
		gate_respond_error(connection, 503,
				   "cut off from most control hosts");
		return NULL;
	}
	wait = g_new0(struct gate_wait, 1);
	wait->kind = GATE_WAIT_COPIES;
	wait->connection = connection;
	wait->deadline = bw_time_add(now, COPIES_TIMEOUT_MS);
	gate_heartbeat_set(&wait->heartbeat, server);
	wait->heartbeat.sequence = server->record.sequence;
	g_ptr_array_add(control->waiting, wait);
	return wait;
}

void gate_control_receive_servers(struct gate_control *control,
				  const char *peer,
				  const struct gate_servers *servers,
				  struct bw_time now)
{
	struct gate_node *node = control->node;
	uint64_t generation = node->registry.generation;

	gate_node_add_control(node, peer, true, now);
	gate_node_receive_servers(node, peer, servers, now);
	if (generation != node->registry.generation) {
		forward_changes_(control, servers, now);
		repeat_leaves_(control, now);
	}
	answer_records_(control, peer, servers);
}

void gate_control_record_acknowledged(struct gate_control *control,
				      const char *host,
				      const struct gate_heartbeat *heartbeat)
{
	const struct gate_peer *peer = gate_node_control(control->node, host);
	guint i;

	if (!peer || !gate_control_counts(control, peer))
		return;
	for (i = 0; i < control->waiting->len; i++) {
		struct gate_wait *wait = control->waiting->pdata[i];

		if (wait->kind == GATE_WAIT_COPIES &&
		    wait->heartbeat.id_hash == heartbeat->id_hash &&
		    wait->heartbeat.started_wall_ms ==
			    heartbeat->started_wall_ms &&
		    wait->heartbeat.sequence <= heartbeat->sequence)
			add_holder_(wait, bw_registry_hash(host));
	}
	gate_control_finish_copied_calls(control);
}

void gate_control_finish_copied_calls(struct gate_control *control)
{
	/* This host has a copy, too. */
	uint32_t own = (control->votes || !control->voter_count) &&
		       !control->departures.failed;
	guint i = 0;

	while (i < control->waiting->len) {
		struct gate_wait *wait = control->waiting->pdata[i];

		if (wait->kind != GATE_WAIT_COPIES ||
		    wait->holder_count + own < gate_control_quorum(control)) {
			i++;
			continue;
		}
		if (wait->connection)
			gate_respond(wait->connection, 200, NULL, NULL);
		g_ptr_array_remove_index_fast(control->waiting, i);
	}
}

static void merge_leave_(struct gate_control *control, const char *id,
			 struct bw_time now, struct bw_server **server)
{
	struct bw_server *known =
		bw_registry_find(&control->node->registry, id);
	struct bw_server_record record = { .slots = 0 };

	/* Other hosts may know a server that is unknown here. */
	if (known) {
		record = known->record;
		record.sequence = known->heard_sequence;
	}
	g_strlcpy(record.id, id, sizeof(record.id));
	record.state = BW_SERVER_LEFT;
	record.sequence++;
	gate_node_merge(control->node, &record, "goodbye", now, server);
	gate_departures_note(&control->departures, *server);
	gate_control_broadcast_record(control, *server);
}

/*
 * Forwards changed records from another control host to the entry hosts, which
 * may not be able to reach that host.
 */
static void forward_changes_(struct gate_control *control,
			     const struct gate_servers *servers,
			     struct bw_time now)
{
	uint32_t i;

	for (i = 0; i < servers->record_count; i++) {
		struct bw_server *known = bw_registry_find(
			&control->node->registry, servers->records[i].id);

		if (!known || known->changed_at.ms != now.ms)
			continue;
		gate_departures_note(&control->departures, known);
		gate_control_send_to_followers(control, known);
	}
}

/*
 * Returns whether this host knows more than the sender of a record: a leave, or
 * another start.
 */
static bool is_ahead_(const struct bw_server *known,
		      const struct bw_server_record *record)
{
	return (known->record.state != record->state ||
		known->record.started_wall_ms != record->started_wall_ms) &&
	       bw_server_record_is_newer(record, &known->record);
}

/*
 * Acknowledges records of servers that accept no new requests, because calls
 * wait for copies of those; but not if this host knows that the server has
 * started again. Returns what this host knows better: the sender may have
 * missed it, for example while it was stopped.
 */
static void answer_records_(struct gate_control *control, const char *peer,
			    const struct gate_servers *servers)
{
	static struct gate_servers ack;
	static struct gate_servers newer;
	uint32_t i;

	ack.record_count = ack.heartbeat_count = 0;
	newer.record_count = newer.heartbeat_count = 0;
	for (i = 0; i < servers->record_count; i++) {
		const struct bw_server_record *record = &servers->records[i];
		const struct bw_server *known =
			bw_registry_find(&control->node->registry, record->id);
		struct gate_heartbeat *heartbeat;

		if (known && is_ahead_(known, record))
			newer.records[newer.record_count++] = known->record;
		if (record->state == BW_SERVER_READY || !known ||
		    known->record.state == BW_SERVER_READY)
			continue;
		heartbeat = &ack.heartbeats[ack.heartbeat_count++];
		heartbeat->id_hash = known->id_hash;
		heartbeat->started_wall_ms = record->started_wall_ms;
		heartbeat->sequence = record->sequence;
		heartbeat->state = record->state;
	}
	if (ack.heartbeat_count)
		gate_departures_acknowledge(&control->departures, peer, &ack);
	if (!newer.record_count)
		return;
	gate_servers_write(gate_node_frame(control->node), GATE_SERVERS,
			   &newer);
	gate_node_send(control->node, peer);
}

/*
 * The server that leaves may have started again since this host heard of it.
 * Other hosts then know the later start, do not take over the leave of the
 * earlier one, and have just said so.
 */
static void repeat_leaves_(struct gate_control *control, struct bw_time now)
{
	guint i;

	for (i = 0; i < control->waiting->len; i++) {
		struct gate_wait *wait = control->waiting->pdata[i];
		const struct bw_server *server;

		if (wait->kind != GATE_WAIT_COPIES || !wait->leave)
			continue;
		server = g_hash_table_lookup(control->node->registry.by_hash,
					     &wait->heartbeat.id_hash);
		if (server && server->record.state != BW_SERVER_LEFT)
			repeat_leave_(control, wait, server->record.id, now);
	}
}

/* Only for a caller that still waits: a call of the earlier start has ended. */
static void repeat_leave_(struct gate_control *control, struct gate_wait *wait,
			  const char *id, struct bw_time now)
{
	struct bw_server *server;

	if (!wait->connection || bw_connection_is_closed(wait->connection))
		return;
	merge_leave_(control, id, now, &server);
	gate_heartbeat_set(&wait->heartbeat, server);
	wait->heartbeat.sequence = server->record.sequence;
	wait->holder_count = 0;
}

static void add_holder_(struct gate_wait *wait, uint64_t holder)
{
	uint32_t i = 0;

	while (i < wait->holder_count && wait->holders[i] != holder)
		i++;
	if (i == wait->holder_count && i < GATE_CONTROLS_MAX)
		wait->holders[wait->holder_count++] = holder;
}

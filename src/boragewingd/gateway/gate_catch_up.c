#include "gate_catch_up.h"

#include <string.h>

/** Time after which a request is repeated; an answer may be lost. */
#define REQUEST_TIMEOUT_MS 500

static bool has_lacking_records_(struct gate_peer_departures *state,
				 const struct gate_servers *servers);
static void request_(struct gate_node *node, struct gate_peer *peer,
		     struct bw_time now);

void gate_catch_up_note(struct gate_node *node, const struct bw_packet *packet,
			uint64_t departures, struct bw_time now)
{
	struct gate_peer *peer = gate_node_control(node, packet->peer);
	struct gate_peer_departures *state;

	if (!peer)
		return;
	state = &peer->departures;
	if (peer->incarnation != packet->incarnation)
		memset(state, 0, sizeof(*state));
	peer->incarnation = packet->incarnation;
	state->named = MAX(state->named, departures);
	if (state->named > state->received &&
	    bw_time_diff_ms(now, state->requested_at) > REQUEST_TIMEOUT_MS)
		request_(node, peer, now);
}

void gate_catch_up_received(struct gate_node *node, const char *sender,
			    const struct gate_servers *servers,
			    bool lacks_records, struct bw_time now)
{
	struct gate_peer *peer = gate_node_control(node, sender);
	struct gate_peer_departures *state;
	bool is_answer = servers->departures_upto && servers->heartbeat_count;
	bool go_on;

	if (!peer)
		return;
	state = &peer->departures;
	if (servers->departures_upto && !lacks_records &&
	    servers->departures_after <= state->received)
		state->received =
			MAX(state->received, servers->departures_upto);
	if (is_answer)
		go_on = !lacks_records;
	else
		go_on = has_lacking_records_(state, servers);
	if (is_answer)
		state->lacks_records = lacks_records;
	if (go_on && state->named > state->received)
		request_(node, peer, now);
}

void gate_catch_up_answer(struct gate_node *node, const char *receiver,
			  const struct gate_departures_request *request)
{
	const struct bw_server *servers[GATE_BATCH_MAX];
	static struct gate_servers batch;
	uint32_t i;

	batch.record_count = 0;
	batch.heartbeat_count = bw_registry_departures(
		&node->registry, request->after, servers, GATE_BATCH_MAX);
	for (i = 0; i < batch.heartbeat_count; i++)
		gate_heartbeat_set(&batch.heartbeats[i], servers[i]);
	batch.departures_after = request->after;
	batch.departures_upto = node->registry.departures;
	if (batch.heartbeat_count == GATE_BATCH_MAX)
		batch.departures_upto = servers[GATE_BATCH_MAX - 1]->departure;
	gate_servers_write(gate_node_frame(node), GATE_SERVERS, &batch);
	gate_node_send(node, receiver);
}

/*
 * Returns whether a message has the records that were lacking, so that the same
 * request is now answered in full. That is tried once: a record that does not
 * replace the known one would be requested without end.
 */
static bool has_lacking_records_(struct gate_peer_departures *state,
				 const struct gate_servers *servers)
{
	bool is_tried = state->tried_after == state->received + 1;

	if (!state->lacks_records || servers->departures_upto ||
	    !servers->record_count || is_tried)
		return false;
	state->tried_after = state->received + 1;
	return true;
}

static void request_(struct gate_node *node, struct gate_peer *peer,
		     struct bw_time now)
{
	struct gate_departures_request request = {
		.after = peer->departures.received,
	};

	peer->departures.requested_at = now;
	peer->departures.lacks_records = false;
	gate_departures_request_write(gate_node_frame(node), &request);
	gate_node_send(node, peer->name);
	bw_log_event(node->log, BW_LOG_INFO, "registry", "departures_requested",
		     "{s:s,s:I,s:I}", "peer", peer->name, "after",
		     (json_int_t)request.after, "named",
		     (json_int_t)peer->departures.named);
}

/*
 * Quotas of customers: the leader answers the demands of entry hosts, the other
 * control hosts pass demands and grants on.
 */
#include <string.h>

#include "gate_control_private.h"

static void answer_(struct gate_control *control, const char *peer,
		    const struct gate_quota_demand *demand, struct bw_time now);
static void relay_(struct gate_control *control, const struct bw_packet *packet,
		   const char *peer);
static void update_granting_(struct gate_control *control, struct bw_time now);
static void send_closed_(struct gate_control *control, struct bw_time now);

void gate_control_quota_init(struct gate_control *control)
{
	const struct gate_settings *settings = &control->node->settings;
	struct bw_quota_bounds bounds = {
		.window_ms = settings->quota_window_ms,
		.over = settings->quota_over,
		.slack = settings->quota_slack,
	};

	bw_quota_grants_init(&control->quotas, &bounds);
	control->quota_demands = bw_metrics_get(
		&control->node->metrics, BW_METRIC_COUNTER,
		"bw_quota_demands_answered_total",
		"Demands of customers with a quota that were granted", "");
}

void gate_control_quota_finish(struct gate_control *control)
{
	bw_quota_grants_finish(&control->quotas);
}

void gate_control_quota_tick(struct gate_control *control, struct bw_time now)
{
	update_granting_(control, now);
	bw_quota_grants_tick(&control->quotas, now);
	if (control->quotas.granting &&
	    bw_quota_grants_in_use(&control->quotas))
		send_closed_(control, now);
}

void gate_control_receive_demand(struct gate_control *control,
				 const struct bw_packet *packet,
				 struct bw_reader *reader, struct bw_time now)
{
	static struct gate_quota_demand demand;
	const char *leader = bw_replica_leader(control->replica);

	gate_quota_demand_read(reader, &demand);
	if (bw_reader_status(reader) != BW_OK)
		return;
	update_granting_(control, now);
	if (control->quotas.granting)
		answer_(control, packet->peer, &demand, now);
	else if (!strcmp(packet->peer, demand.report.host) && leader[0] &&
		 strcmp(leader, control->node->name) != 0)
		relay_(control, packet, leader);
}

void gate_control_receive_grant(struct gate_control *control,
				const struct bw_packet *packet,
				struct bw_reader *reader)
{
	static struct gate_quota_grant grant;

	gate_quota_grant_read(reader, &grant);
	if (bw_reader_status(reader) != BW_OK)
		return;
	if (grant.host[0])
		relay_(control, packet, grant.host);
	else if (gate_node_control(control->node, packet->peer))
		gate_control_relay(control, packet);
}

static void answer_(struct gate_control *control, const char *peer,
		    const struct gate_quota_demand *demand, struct bw_time now)
{
	static struct gate_quota_grant grant;
	bool begun = !bw_quota_grants_in_use(&control->quotas);

	if (!bw_quota_grants_answer(&control->quotas, &demand->report,
				    grant.grants, now))
		return;
	if (begun)
		bw_log_event(control->node->log, BW_LOG_INFO, "quota",
			     "granting_begun", "{s:I,s:i}", "term",
			     (json_int_t)control->quotas.term, "entry_hosts",
			     (int)control->quotas.host_count);
	bw_name_set(grant.host, demand->report.host);
	grant.incarnation = demand->report.incarnation;
	grant.term = control->quotas.term;
	grant.sent_ms = demand->report.sent_ms;
	grant.grant_count = demand->report.demand_count;
	bw_metric_add(control->quota_demands, grant.grant_count);
	gate_quota_grant_write(gate_node_frame(control->node), &grant);
	gate_node_send(control->node, peer);
}

static void relay_(struct gate_control *control, const struct bw_packet *packet,
		   const char *peer)
{
	bw_buffer_append(gate_node_frame(control->node), packet->data,
			 packet->size_bytes);
	gate_node_send(control->node, peer);
}

/* The lease of the leader ends before another host can have one. */
static void update_granting_(struct gate_control *control, struct bw_time now)
{
	bool granting = bw_replica_has_lease(control->replica, now);

	bw_quota_grants_set_granting(&control->quotas, granting,
				     bw_replica_term(control->replica),
				     bw_roster_sorted(&control->roster)->len,
				     now);
}

static void send_closed_(struct gate_control *control, struct bw_time now)
{
	static struct gate_quota_grant list;
	struct bw_packet packet = { .channel = BW_CHANNEL_GATE };
	struct bw_buffer text;

	if (!bw_quota_grants_closed(&control->quotas, list.closed,
				    &list.closed_count, now))
		return;
	bw_buffer_init(&text);
	gate_quota_grant_write(&text, &list);
	packet.data = text.data;
	packet.size_bytes = (uint32_t)text.size_bytes;
	gate_control_relay(control, &packet);
	bw_buffer_finish(&text);
}

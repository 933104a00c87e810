#include "gate_quota.h"

#include "gate_request.h"

/**
 * Shortest interval of messages with demands. It bounds the messages that the
 * leader of the control hosts has to handle.
 */
#define SEND_INTERVAL_MS 150

static void send_(struct gate_entry *entry,
		  const struct bw_quota_demand *demands, uint32_t count,
		  struct bw_time now);

void gate_quota_init(struct gate_quota *quota, struct gate_node *node)
{
	const struct gate_settings *settings = &node->settings;
	struct bw_quota_bounds bounds = {
		.window_ms = settings->quota_window_ms,
		.over = settings->quota_over,
		.slack = settings->quota_slack,
	};

	bw_quota_shares_init(&quota->shares, &bounds, gate_node_now(node));
	quota->refused = bw_metrics_get(
		&node->metrics, BW_METRIC_COUNTER, "bw_quota_refused_total",
		"Requests beyond the quota of their customer", "");
	quota->given_back = bw_metrics_get(
		&node->metrics, BW_METRIC_COUNTER, "bw_quota_given_back_total",
		"Requests within a quota that did not run", "");
	quota->demands = bw_metrics_get(
		&node->metrics, BW_METRIC_COUNTER, "bw_quota_demands_total",
		"Demands of customers with a quota sent to control hosts", "");
}

void gate_quota_finish(struct gate_quota *quota)
{
	bw_quota_shares_finish(&quota->shares);
}

void gate_quota_tick(struct gate_entry *entry, struct bw_time now)
{
	struct gate_quota *quota = &entry->quota;
	struct bw_quota_demand demands[GATE_QUOTAS_MAX];
	uint32_t count;

	if (!entry->feed.source[0] || !bw_time_reached(now, quota->next_send))
		return;
	quota->next_send = bw_time_add(now, SEND_INTERVAL_MS);
	count = bw_quota_demands(&quota->shares, demands, GATE_QUOTAS_MAX, now);
	/* What does not fit is sent in the next interval. */
	if (count)
		send_(entry, demands, count, now);
}

void gate_quota_receive(struct gate_entry *entry, struct bw_reader *reader,
			struct bw_time now)
{
	static struct gate_quota_grant message;
	struct gate_quota *quota = &entry->quota;
	struct bw_time sent_at;
	uint32_t i;

	gate_quota_grant_read(reader, &message);
	if (bw_reader_status(reader) != BW_OK)
		return;
	if (!message.host[0]) {
		bw_quota_set_closed(&quota->shares, message.closed,
				    message.closed_count, now);
		return;
	}
	if (strcmp(message.host, entry->node->name) != 0 ||
	    message.incarnation != entry->node->incarnation ||
	    message.sent_ms > (uint64_t)now.ms ||
	    message.term < quota->shares.term)
		return;
	bw_quota_shares_set_term(&quota->shares, message.term);
	sent_at.ms = (int64_t)message.sent_ms;
	quota->applied_ms = MAX(quota->applied_ms, message.sent_ms);
	for (i = 0; i < message.grant_count; i++)
		bw_quota_lease(&quota->shares, &message.grants[i], sent_at,
			       now);
}

bool gate_quota_admit(struct gate_request *request, uint32_t *retry_after_ms)
{
	const struct bw_customer *customer = request->customer;
	struct gate_entry *entry = request->entry;
	struct bw_time now = gate_node_now(entry->node);
	struct bw_quota quota;

	if (!customer || customer->rate_per_s <= 0)
		return true;
	quota.customer_hash = customer->hash;
	quota.rate_per_s = customer->rate_per_s;
	quota.burst = customer->burst;
	if (!bw_quota_admit(&entry->quota.shares, &quota, now, retry_after_ms))
		return false;
	request->quota_use.customer_hash = customer->hash;
	request->quota_use.admitted_at = now;
	return true;
}

void gate_quota_note_refused(const struct gate_request *request,
			     uint32_t retry_after_ms)
{
	struct gate_entry *entry = request->entry;

	bw_metric_add(entry->quota.refused, 1);
	if (!request->traced)
		return;
	bw_log_event(entry->node->log, BW_LOG_WARNING, "quota", "refused",
		     "{s:s,s:s,s:f,s:f,s:i,s:I}", "request", request->id,
		     "customer", request->customer->name, "rate_per_s",
		     request->customer->rate_per_s, "burst",
		     request->customer->burst, "retry_after_ms",
		     (int)retry_after_ms, "version",
		     (json_int_t)request->routing->version);
}

void gate_quota_give_back(struct gate_request *request)
{
	struct gate_quota_use *use = &request->quota_use;
	struct gate_entry *entry = request->entry;

	if (!use->customer_hash)
		return;
	bw_quota_give_back(&entry->quota.shares, use->customer_hash,
			   use->admitted_at, gate_node_now(entry->node));
	bw_metric_add(entry->quota.given_back, 1);
	use->customer_hash = 0;
}

static void send_(struct gate_entry *entry,
		  const struct bw_quota_demand *demands, uint32_t count,
		  struct bw_time now)
{
	struct gate_node *node = entry->node;
	struct bw_quota_report report = {
		.incarnation = node->incarnation,
		.version = entry->routing ? entry->routing->version : 0,
		.term = entry->quota.shares.term,
		.sent_ms = (uint64_t)now.ms,
		.applied_ms = entry->quota.applied_ms,
		.demands = demands,
		.demand_count = count,
	};

	bw_name_set(report.host, node->name);
	gate_quota_demand_write(gate_node_frame(node), &report);
	gate_node_send(node, entry->feed.source);
	bw_metric_add(entry->quota.demands, count);
}

#include "quota_fleet.h"

#include <stdio.h>
#include <string.h>

/** Interval of the event loop of a host. */
#define TICK_MS 20

/** Interval at which an entry host sends its demands. */
#define SEND_INTERVAL_MS 160

/** Time of a message between hosts: between regions, and through a relay. */
#define MESSAGE_MS 60

/** Demands in one message. */
#define DEMANDS_MAX 4

/** Size of an encoded demand and grant. */
#define DEMAND_BYTES 30
#define GRANT_BYTES 14

/** Time for which the first host has granted when a test begins. */
#define STARTED_MS 20000

/** A message between an entry host and the host that grants. */
struct fleet_message {
	struct bw_time arrives_at;
	uint32_t host;
	uint64_t incarnation;
	uint64_t term; /**< of the host that grants */
	bool answer;
	bool to_all; /**< lists customers that are not open */
	struct bw_quota_closed closed[BW_QUOTA_CLOSED_MAX];
	uint32_t closed_count;
	struct bw_quota_report report;
	struct bw_quota_demand demands[DEMANDS_MAX];
	struct bw_quota_grant grants[DEMANDS_MAX];
};

static void init_shares_(struct fleet *fleet, uint32_t host);
static void update_granters_(struct fleet *fleet);
static void send_demands_(struct fleet *fleet, uint32_t host);
static void deliver_(struct fleet *fleet);
static void handle_demands_(struct fleet *fleet,
			    const struct fleet_message *message);
static void handle_grants_(struct fleet *fleet,
			   const struct fleet_message *message);
static void send_closed_(struct fleet *fleet);
static void handle_closed_(struct fleet *fleet,
			   const struct fleet_message *message);
static void offer_(struct fleet *fleet, double per_s, uint32_t first,
		   uint32_t count);

void fleet_init(struct fleet *fleet, uint64_t seed, uint32_t host_count,
		double rate_per_s, double burst)
{
	uint32_t i;

	memset(fleet, 0, sizeof(*fleet));
	fleet->bounds.window_ms = 5000;
	fleet->bounds.over = 0.1;
	fleet->bounds.slack = 20;
	fleet->now.ms = 100000000;
	fleet->host_count = host_count;
	fleet->listed_count = host_count;
	fleet->admitted = g_array_new(FALSE, FALSE, sizeof(int64_t));
	bw_random_init(&fleet->random, seed);
	g_queue_init(&fleet->messages);
	for (i = 0; i < FLEET_GRANTERS; i++)
		bw_quota_grants_init(&fleet->granters[i], &fleet->bounds);
	for (i = 0; i < host_count; i++) {
		struct fleet_host *host = &fleet->hosts[i];

		snprintf(host->name, sizeof(host->name), "host-%u", i);
		host->quota.customer_hash = 77;
		host->quota.rate_per_s = rate_per_s;
		host->quota.burst = burst;
		host->version = 1;
		init_shares_(fleet, i);
	}
	fleet_set_granter(fleet, 0);
	fleet->now.ms += STARTED_MS;
}

void fleet_finish(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++)
		bw_quota_shares_finish(&fleet->hosts[i].shares);
	for (i = 0; i < FLEET_GRANTERS; i++)
		bw_quota_grants_finish(&fleet->granters[i]);
	g_queue_clear_full(&fleet->messages, g_free);
	g_array_free(fleet->admitted, TRUE);
}

void fleet_restart(struct fleet *fleet, uint32_t host)
{
	bw_quota_shares_finish(&fleet->hosts[host].shares);
	init_shares_(fleet, host);
}

void fleet_set_granter(struct fleet *fleet, uint32_t granter)
{
	fleet->granter = granter;
	fleet->term++;
	update_granters_(fleet);
}

static void update_granters_(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < FLEET_GRANTERS; i++)
		bw_quota_grants_set_granting(&fleet->granters[i],
					     i == fleet->granter, fleet->term,
					     fleet->listed_count, fleet->now);
}

void fleet_run(struct fleet *fleet, int64_t ms, double per_s, uint32_t first,
	       uint32_t count)
{
	struct bw_time end = bw_time_add(fleet->now, ms);
	uint32_t i;

	while (!bw_time_reached(fleet->now, end)) {
		fleet->now = bw_time_add(fleet->now, TICK_MS);
		update_granters_(fleet);
		deliver_(fleet);
		for (i = 0; i < FLEET_GRANTERS; i++)
			bw_quota_grants_tick(&fleet->granters[i], fleet->now);
		send_closed_(fleet);
		offer_(fleet, per_s, first, count);
		for (i = 0; i < fleet->host_count; i++)
			send_demands_(fleet, i);
	}
}

uint32_t fleet_window_max(const struct fleet *fleet, int64_t from_ms)
{
	uint32_t most = 0;
	guint first = 0;
	guint i;

	for (i = 0; i < fleet->admitted->len; i++) {
		int64_t at = g_array_index(fleet->admitted, int64_t, i);

		while (g_array_index(fleet->admitted, int64_t, first) <=
			       at - fleet->bounds.window_ms ||
		       (first < i && g_array_index(fleet->admitted, int64_t,
						   first) < from_ms))
			first++;
		if (at >= from_ms)
			most = MAX(most, i - first + 1);
	}
	return most;
}

double fleet_bound(const struct fleet *fleet, double rate_per_s, double burst)
{
	return (rate_per_s * fleet->bounds.window_ms / 1000.0 + burst) *
		       (1 + fleet->bounds.over) +
	       fleet->bounds.slack;
}

void fleet_reset_counts(struct fleet *fleet)
{
	fleet->asked_count = 0;
	fleet->sent_bytes = 0;
	fleet->message_count = 0;
	g_array_set_size(fleet->admitted, 0);
}

uint32_t fleet_admitted(const struct fleet *fleet)
{
	return fleet->admitted->len;
}

static void init_shares_(struct fleet *fleet, uint32_t host)
{
	struct fleet_host *started = &fleet->hosts[host];

	bw_quota_shares_init(&started->shares, &fleet->bounds, fleet->now);
	bw_quota_shares_set_hosts(&started->shares, fleet->host_count, host);
	started->incarnation++;
	started->applied_ms = 0;
}

static void send_demands_(struct fleet *fleet, uint32_t index)
{
	struct fleet_host *host = &fleet->hosts[index];
	struct fleet_message *message;
	struct bw_quota_demand demands[DEMANDS_MAX];
	uint32_t count;

	if (!bw_time_reached(fleet->now, host->next_send))
		return;
	host->next_send = bw_time_add(fleet->now, SEND_INTERVAL_MS);
	count = bw_quota_demands(&host->shares, demands, DEMANDS_MAX,
				 fleet->now);
	if (!count || host->cut || fleet->granter == FLEET_NO_GRANTER)
		return;
	message = g_new0(struct fleet_message, 1);
	message->arrives_at = bw_time_add(fleet->now, MESSAGE_MS);
	message->host = index;
	message->incarnation = host->incarnation;
	bw_name_set(message->report.host, host->name);
	message->report.incarnation = host->incarnation;
	message->report.version = host->version;
	message->report.term = host->shares.term;
	message->report.sent_ms = (uint64_t)fleet->now.ms;
	message->report.applied_ms = host->applied_ms;
	message->report.demand_count = count;
	memcpy(message->demands, demands, sizeof(demands));
	g_queue_push_tail(&fleet->messages, message);
	fleet->message_count++;
	fleet->sent_bytes += count * DEMAND_BYTES;
}

static void deliver_(struct fleet *fleet)
{
	struct fleet_message *message;

	while ((message = g_queue_peek_head(&fleet->messages)) &&
	       bw_time_reached(fleet->now, message->arrives_at)) {
		g_queue_pop_head(&fleet->messages);
		if (message->to_all)
			handle_closed_(fleet, message);
		else if (fleet->hosts[message->host].cut)
			g_free(message);
		else if (message->answer)
			handle_grants_(fleet, message);
		else
			handle_demands_(fleet, message);
	}
}

/* Takes over the message. */
static void handle_demands_(struct fleet *fleet,
			    const struct fleet_message *message)
{
	struct fleet_message *answer = g_memdup2(message, sizeof(*message));

	answer->report.demands = answer->demands;
	if (fleet->granter == FLEET_NO_GRANTER ||
	    !bw_quota_grants_answer(&fleet->granters[fleet->granter],
				    &answer->report, answer->grants,
				    fleet->now)) {
		g_free(answer);
	} else {
		answer->answer = true;
		answer->term = fleet->granters[fleet->granter].term;
		answer->arrives_at = bw_time_add(fleet->now, MESSAGE_MS);
		g_queue_push_tail(&fleet->messages, answer);
		fleet->message_count++;
		fleet->sent_bytes += answer->report.demand_count * GRANT_BYTES;
	}
	g_free((gpointer)message);
}

/* Takes over the message. */
static void handle_grants_(struct fleet *fleet,
			   const struct fleet_message *message)
{
	struct fleet_host *host = &fleet->hosts[message->host];
	struct bw_time sent_at = { (int64_t)message->report.sent_ms };
	uint32_t i;

	if (message->term < host->shares.term) {
		g_free((gpointer)message);
		return;
	}
	if (message->incarnation == host->incarnation)
		bw_quota_shares_set_term(&host->shares, message->term);
	for (i = 0; i < message->report.demand_count &&
		    message->incarnation == host->incarnation;
	     i++)
		bw_quota_lease(&host->shares, &message->grants[i], sent_at,
			       fleet->now);
	if (message->incarnation == host->incarnation)
		host->applied_ms = message->report.sent_ms;
	g_free((gpointer)message);
}

static void send_closed_(struct fleet *fleet)
{
	struct fleet_message message = { .to_all = true };

	if (fleet->granter == FLEET_NO_GRANTER ||
	    !bw_quota_grants_closed(&fleet->granters[fleet->granter],
				    message.closed, &message.closed_count,
				    fleet->now))
		return;
	message.arrives_at = bw_time_add(fleet->now, MESSAGE_MS);
	g_queue_push_tail(&fleet->messages,
			  g_memdup2(&message, sizeof(message)));
}

/* Takes over the message. */
static void handle_closed_(struct fleet *fleet,
			   const struct fleet_message *message)
{
	uint32_t i;

	for (i = 0; i < fleet->host_count; i++) {
		if (!fleet->hosts[i].cut)
			bw_quota_set_closed(&fleet->hosts[i].shares,
					    message->closed,
					    message->closed_count, fleet->now);
	}
	g_free((gpointer)message);
}

static void offer_(struct fleet *fleet, double per_s, uint32_t first,
		   uint32_t count)
{
	uint32_t retry_after_ms;

	/* Twice as many draws with half the chance: an uneven stream. */
	for (fleet->due += 2 * per_s * TICK_MS / 1000.0; fleet->due >= 1;
	     fleet->due -= 1) {
		struct fleet_host *host =
			&fleet->hosts[first +
				      bw_random_below(&fleet->random, count)];

		if (bw_random_below(&fleet->random, 2))
			continue;
		fleet->asked_count++;
		if (bw_quota_admit(&host->shares, &host->quota, fleet->now,
				   &retry_after_ms))
			g_array_append_val(fleet->admitted, fleet->now.ms);
	}
}

/*
 * What control hosts tell each other of the entry hosts that get full detail
 * from them: which there are, in which state, and their demand. The cost of a
 * control host grows with the entry hosts of the fleet by one short row a
 * second each.
 */
#include <string.h>

#include "gate_control_private.h"

/** Interval of the lists, and the shortest one after a change. */
#define FLEET_INTERVAL_MS 1000
#define FLEET_CHANGE_INTERVAL_MS 100

/** Age at which the demands that another control host lists are dropped. */
#define DEMANDS_MAX_AGE_MS 3500

/** The demands that another control host listed last. */
struct listed_demands {
	char sender[BW_NAME_MAX];
	struct bw_time received_at;
	struct gate_demand *demands;
	uint32_t count;
};

static void fill_fleet_(struct gate_control *control, struct gate_fleet *fleet);
static void log_hosts_full_(struct gate_control *control);
static void add_demands_(struct gate_control *control,
			 const struct gate_demand *demands, uint32_t count,
			 const char *domain, struct gate_demand *sums,
			 uint32_t *sum_count);
static void log_demands_full_(struct gate_control *control);
static void store_demands_(struct gate_control *control, const char *sender,
			   const struct gate_fleet *fleet, struct bw_time now);
static void free_listed_demands_(gpointer data);
static void log_entry_(struct gate_control *control,
		       const struct bw_roster_host *host, const char *source);

void gate_control_fleet_init(struct gate_control *control)
{
	static const struct bw_directory_states states = {
		.ready = GATE_HOST_READY,
		.leaving = GATE_HOST_LEAVING,
	};

	bw_roster_init(&control->roster);
	bw_directory_init(&control->entry_directory, &states);
	control->listed_demands = g_hash_table_new_full(
		g_str_hash, g_str_equal, NULL, free_listed_demands_);
}

void gate_control_fleet_finish(struct gate_control *control)
{
	bw_roster_finish(&control->roster);
	g_hash_table_destroy(control->listed_demands);
}

void gate_control_send_fleet(struct gate_control *control, struct bw_time now)
{
	static struct gate_fleet fleet;
	bool changed = control->fleet_changed &&
		       bw_time_diff_ms(now, control->fleet_sent_at) >=
			       FLEET_CHANGE_INTERVAL_MS;

	if (!changed &&
	    bw_time_diff_ms(now, control->fleet_sent_at) < FLEET_INTERVAL_MS)
		return;
	control->fleet_sent_at = now;
	control->fleet_changed = false;
	fill_fleet_(control, &fleet);
	if (!fleet.host_count)
		return;
	gate_fleet_write(gate_node_frame(control->node), &fleet);
	gate_control_send_to_controls(control, BW_CHANNEL_GATE);
}

void gate_control_receive_fleet(struct gate_control *control,
				const char *sender,
				const struct gate_fleet *fleet,
				struct bw_time now)
{
	uint32_t i;

	gate_node_add_control(control->node, sender, true, now);
	for (i = 0; i < fleet->host_count; i++) {
		if (bw_roster_list(&control->roster, &fleet->hosts[i], now) !=
		    BW_ROSTER_UNCHANGED)
			log_entry_(control, &fleet->hosts[i], sender);
	}
	store_demands_(control, sender, fleet, now);
}

void gate_control_expire_fleet(struct gate_control *control, struct bw_time now)
{
	struct bw_roster_host host;
	int64_t silent_ms;
	GHashTableIter iter;
	gpointer value;

	while (bw_roster_expire(&control->roster, now, &host, &silent_ms))
		bw_log_event(control->node->log, BW_LOG_WARNING, "directory",
			     "entry_host_lost", "{s:s,s:s,s:I}", "peer",
			     host.name, "domain", host.domain, "silent_ms",
			     (json_int_t)silent_ms);
	g_hash_table_iter_init(&iter, control->listed_demands);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct listed_demands *listed = value;

		if (bw_time_diff_ms(now, listed->received_at) >
		    DEMANDS_MAX_AGE_MS)
			g_hash_table_iter_remove(&iter);
	}
}

void gate_control_sum_demands(struct gate_control *control,
			      struct gate_status *status)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (entry->detail == GATE_DETAIL_FULL)
			add_demands_(control, entry->demands,
				     entry->demand_count, entry->domain,
				     status->demands, &status->demand_count);
	}
	g_hash_table_iter_init(&iter, control->listed_demands);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct listed_demands *listed = value;

		add_demands_(control, listed->demands, listed->count, NULL,
			     status->demands, &status->demand_count);
	}
}

static void fill_fleet_(struct gate_control *control, struct gate_fleet *fleet)
{
	GHashTableIter iter;
	gpointer value;

	fleet->host_count = 0;
	fleet->demand_count = 0;
	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;
		struct bw_roster_host *host;

		if (entry->detail != GATE_DETAIL_FULL)
			continue;
		if (fleet->host_count == GATE_FLEET_HOSTS_MAX) {
			log_hosts_full_(control);
			break;
		}
		host = &fleet->hosts[fleet->host_count++];
		bw_name_set(host->name, entry->name);
		bw_name_set(host->domain, entry->domain);
		bw_name_set(host->region, entry->region);
		host->state = entry->state;
		add_demands_(control, entry->demands, entry->demand_count,
			     entry->domain, fleet->demands,
			     &fleet->demand_count);
	}
}

static void log_hosts_full_(struct gate_control *control)
{
	if (!control->hosts_full)
		bw_log_event(control->node->log, BW_LOG_ERROR, "directory",
			     "entry_hosts_full", "{s:i}", "hosts",
			     GATE_FLEET_HOSTS_MAX);
	control->hosts_full = true;
}

/* @param domain of the demands; NULL when each names its own */
static void add_demands_(struct gate_control *control,
			 const struct gate_demand *demands, uint32_t count,
			 const char *domain, struct gate_demand *sums,
			 uint32_t *sum_count)
{
	uint32_t i;
	uint32_t k;

	for (i = 0; i < count; i++) {
		const char *of = domain ? domain : demands[i].domain;

		for (k = 0; k < *sum_count; k++) {
			if (sums[k].service_hash == demands[i].service_hash &&
			    !strcmp(sums[k].domain, of))
				break;
		}
		if (k == GATE_DEMANDS_MAX) {
			log_demands_full_(control);
			continue;
		}
		if (k == *sum_count) {
			sums[k] = demands[i];
			bw_name_set(sums[k].domain, of);
			++*sum_count;
			continue;
		}
		sums[k].millirequests_per_s += demands[i].millirequests_per_s;
	}
}

static void log_demands_full_(struct gate_control *control)
{
	if (!control->demands_full)
		bw_log_event(control->node->log, BW_LOG_ERROR, "directory",
			     "demands_full", "{s:i}", "demands",
			     GATE_DEMANDS_MAX);
	control->demands_full = true;
}

static void store_demands_(struct gate_control *control, const char *sender,
			   const struct gate_fleet *fleet, struct bw_time now)
{
	struct listed_demands *listed =
		g_hash_table_lookup(control->listed_demands, sender);

	if (!listed) {
		listed = g_new0(struct listed_demands, 1);
		bw_name_set(listed->sender, sender);
		g_hash_table_insert(control->listed_demands, listed->sender,
				    listed);
	}
	g_free(listed->demands);
	listed->demands =
		g_memdup2(fleet->demands,
			  fleet->demand_count * sizeof(fleet->demands[0]));
	listed->count = fleet->demand_count;
	listed->received_at = now;
}

static void free_listed_demands_(gpointer data)
{
	struct listed_demands *listed = data;

	g_free(listed->demands);
	g_free(listed);
}

static void log_entry_(struct gate_control *control,
		       const struct bw_roster_host *host, const char *source)
{
	bw_log_event(control->node->log, BW_LOG_INFO, "directory",
		     "entry_host_listed", "{s:s,s:s,s:i,s:s}", "peer",
		     host->name, "domain", host->domain, "state",
		     (int)host->state, "source", source);
}

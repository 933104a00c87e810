#include <string.h>

#include "gate_entry_private.h"
#include "gate_poison.h"

/**
 * Announcement intervals without a heartbeat at any control host after which a
 * backend server counts as lost; announcements may be seconds late.
 */
#define MISSED_ANNOUNCEMENTS_MAX 3

/**
 * Longest delay of a forwarded heartbeat: two control hosts in a row may hold
 * it until their next message.
 */
#define RELAY_DELAY_MS (2 * GATE_HELLO_INTERVAL_MS)

/**
 * The same for a feed that names silent servers: twice the cycle in which it
 * sends a heartbeat of each server.
 */
#define CYCLE_TIMEOUT_MS 17000

/**
 * Shortest and longest interval at which the age of heartbeats is checked, and
 * the servers that are checked in the shortest one: an update costs time for
 * each server.
 */
#define UPDATE_INTERVAL_MS 200
#define UPDATE_INTERVAL_MAX_MS 1000
#define UPDATE_SERVERS 300

/** Changed servers up to which no complete update is made. */
#define UPDATE_CHANGED_MAX 16

/** Maximum number of entry hosts that may use the same cold backend server. */
#define COLD_HOSTS_MAX 4

/**
 * Time before the end of an evacuation from which on a missing control host may
 * have kept news of servers that are cold.
 */
#define MISSING_BEFORE_MS 3000

/** Interval of the log lines with the load of each service. */
#define REPORT_INTERVAL_MS 4000

static void update_address_(struct gate_entry *entry, const char *address,
			    bool heartbeats_reliable, struct bw_time now);
static void update_server_(struct gate_entry *entry,
			   const struct bw_server *server,
			   const struct bw_server *owner,
			   bool heartbeats_reliable, struct bw_time now);
static const struct bw_server *later_start_(const struct bw_server *owner,
					    const struct bw_server *server);
static void update_target_(struct gate_entry *entry,
			   const struct bw_server *server, bool usable,
			   struct bw_time now);
static bool news_may_be_lost_(const struct gate_entry *entry,
			      struct bw_time reinstated_at);
static void find_address_owners_(const struct gate_entry *entry,
				 GHashTable *owners);
static bool heartbeats_are_reliable_(const struct gate_entry *entry,
				     struct bw_time now);
static bool is_server_alive_(const struct gate_entry *entry,
			     const struct bw_server *server,
			     struct bw_time now);
static uint32_t update_interval_ms_(const struct gate_node *node);
static int64_t server_timeout_ms_(const struct gate_entry *entry);

void gate_entry_update_targets(struct gate_entry *entry, struct bw_time now)
{
	struct gate_node *node = entry->node;
	GHashTableIter iter;
	gpointer value;
	GHashTable *owners;
	bool heartbeats_reliable = heartbeats_are_reliable_(entry, now);

	entry->update_due = false;
	entry->registry_generation = node->registry.generation;
	entry->next_update = bw_time_add(now, update_interval_ms_(node));
	entry->dispatch.cold_hosts_max =
		MIN(entry->entry_count, (uint32_t)COLD_HOSTS_MAX);
	owners = g_hash_table_new(g_str_hash, g_str_equal);
	find_address_owners_(entry, owners);
	bw_dispatch_begin_update(&entry->dispatch);
	g_hash_table_iter_init(&iter, node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bw_server *server = value;

		update_server_(entry, server,
			       g_hash_table_lookup(owners,
						   server->record.address),
			       heartbeats_reliable, now);
	}
	bw_dispatch_end_update(&entry->dispatch, now);
	entry->used_domains = bw_dispatch_used_domains(&entry->dispatch);
	g_hash_table_destroy(owners);
}

void gate_entry_update_changed(struct gate_entry *entry, struct bw_time now)
{
	const struct bw_registry *registry = &entry->node->registry;
	const struct bw_server *changed[UPDATE_CHANGED_MAX];
	bool heartbeats_reliable = heartbeats_are_reliable_(entry, now);
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;
	uint32_t i;

	g_hash_table_iter_init(&iter, registry->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bw_server *server = value;

		if (server->generation <= entry->registry_generation)
			continue;
		if (count == UPDATE_CHANGED_MAX) {
			gate_entry_update_targets(entry, now);
			return;
		}
		changed[count++] = server;
	}
	entry->registry_generation = registry->generation;
	for (i = 0; i < count; i++)
		update_address_(entry, changed[i]->record.address,
				heartbeats_reliable, now);
}

void gate_entry_set_domains(struct gate_entry *entry)
{
	const struct gate_node *node = entry->node;
	uint32_t i;

	entry->dispatch.domain_count = node->settings.domain_count;
	entry->dispatch.own_domain =
		gate_node_domain_index(node, node->settings.domain);
	for (i = 0; i < node->settings.domain_count; i++)
		entry->dispatch.domain_region[i] = gate_node_region_index(
			node, node->settings.domains[i].region);
}

bool gate_entry_is_evacuated(const struct gate_entry *entry, const char *domain)
{
	uint32_t i;

	for (i = 0; i < entry->evacuated_count; i++) {
		if (!strcmp(entry->evacuated[i], domain))
			return true;
	}
	return false;
}

void gate_entry_set_evacuated(struct gate_entry *entry,
			      const struct gate_status *status,
			      struct bw_time now)
{
	char before[BW_EVACUATIONS_MAX][BW_NAME_MAX];
	uint32_t before_count = entry->evacuated_count;
	uint32_t i;

	memcpy(before, entry->evacuated, sizeof(before));
	entry->evacuation_index = status->evacuation_index;
	entry->evacuated_count = status->evacuated_count;
	memcpy(entry->evacuated, status->evacuated, sizeof(entry->evacuated));
	entry->update_due = true;
	for (i = 0; i < before_count; i++) {
		uint32_t domain =
			gate_node_domain_index(entry->node, before[i]);

		if (domain < GATE_DOMAINS_MAX &&
		    !gate_entry_is_evacuated(entry, before[i]))
			entry->reinstated_at[domain] = now;
	}
}

void gate_entry_report_load(struct gate_entry *entry, struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	entry->next_report = bw_time_add(now, REPORT_INTERVAL_MS);
	g_hash_table_iter_init(&iter, entry->dispatch.services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct bw_dispatch_service *service = value;
		uint32_t accepting = 0;
		double share = 0.0;

		for (i = 0; i < service->targets->len; i++) {
			const struct bw_target *target =
				service->targets->pdata[i];

			accepting += target->accepts;
			share += target->fraction * target->correction;
		}
		bw_log_event(
			entry->node->log, BW_LOG_INFO, "dispatch", "load",
			"{s:s,s:i,s:i,s:i,s:i,s:f,s:f,s:f,s:f,s:f}", "service",
			service->name, "waiting", (int)service->waiting.length,
			"in_flight", (int)service->in_flight, "servers",
			(int)service->targets->len, "accepting", (int)accepting,
			"shares", share, "near_warm_ms",
			service->times[BW_DISTANCE_DOMAIN].warm_ms,
			"near_cold_ms",
			service->times[BW_DISTANCE_DOMAIN].cold_ms,
			"far_warm_ms", service->times[BW_DISTANCE_FAR].warm_ms,
			"far_cold_ms", service->times[BW_DISTANCE_FAR].cold_ms);
	}
}

/* Updates the servers that have announced an address. */
static void update_address_(struct gate_entry *entry, const char *address,
			    bool heartbeats_reliable, struct bw_time now)
{
	const struct bw_server *owner = NULL;
	GHashTableIter iter;
	gpointer value;
	int pass;

	for (pass = 0; pass < 2; pass++) {
		g_hash_table_iter_init(&iter, entry->node->registry.servers);
		while (g_hash_table_iter_next(&iter, NULL, &value)) {
			const struct bw_server *server = value;

			if (strcmp(server->record.address, address) != 0)
				continue;
			if (pass == 0)
				owner = later_start_(owner, server);
			else
				update_server_(entry, server, owner,
					       heartbeats_reliable, now);
		}
	}
}

/* @param owner server that owns the address */
static void update_server_(struct gate_entry *entry,
			   const struct bw_server *server,
			   const struct bw_server *owner,
			   bool heartbeats_reliable, struct bw_time now)
{
	bool usable =
		owner->record.started_wall_ms <=
			server->record.started_wall_ms &&
		!server->silent &&
		(!heartbeats_reliable || is_server_alive_(entry, server, now));

	if (!usable && server->record.state == BW_SERVER_READY)
		gate_poison_server_lost(&entry->poison, server->id_hash,
					server->record.started_wall_ms, now);
	update_target_(entry, server, usable, now);
}

static void update_target_(struct gate_entry *entry,
			   const struct bw_server *server, bool usable,
			   struct bw_time now)
{
	struct gate_node *node = entry->node;
	const struct gate_settings *settings = &node->settings;
	struct bw_target_update update = { .server = server };
	const char *region = gate_node_region(node, server->record.domain);
	uint32_t offset;

	if (!server->record.address[0])
		return;
	if (!strcmp(server->record.domain, settings->domain))
		update.distance = BW_DISTANCE_DOMAIN;
	else if (!strcmp(region, settings->region))
		update.distance = BW_DISTANCE_REGION;
	else
		update.distance = BW_DISTANCE_FAR;
	update.region = gate_node_region_index(node, region);
	update.domain = gate_node_domain_index(node, server->record.domain);
	if (update.domain >= settings->domain_count)
		return;
	update.accepts = usable && server->record.state == BW_SERVER_READY &&
			 !gate_entry_is_evacuated(entry, server->record.domain);
	offset = (uint32_t)((server->id_hash + entry->entry_index) %
			    MAX(entry->entry_count, 1U));
	update.cold_allowed = offset < COLD_HOSTS_MAX;
	if (news_may_be_lost_(entry, entry->reinstated_at[update.domain]))
		update.reinstated_at = entry->reinstated_at[update.domain];
	bw_dispatch_update(&entry->dispatch, &update, now);
}

/*
 * Returns whether announcements of around the end of an evacuation may be known
 * to a missing control host only.
 */
static bool news_may_be_lost_(const struct gate_entry *entry,
			      struct bw_time reinstated_at)
{
	return bw_time_diff_ms(entry->control_missing_at, reinstated_at) >
	       -MISSING_BEFORE_MS;
}

/* The server that started last at an address owns it. */
static void find_address_owners_(const struct gate_entry *entry,
				 GHashTable *owners)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entry->node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bw_server *server = value;
		const struct bw_server *owner =
			g_hash_table_lookup(owners, server->record.address);

		if (later_start_(owner, server) == server)
			g_hash_table_replace(owners, server->record.address,
					     server);
	}
}

/* @param owner NULL for none */
static const struct bw_server *later_start_(const struct bw_server *owner,
					    const struct bw_server *server)
{
	if (!owner ||
	    owner->record.started_wall_ms < server->record.started_wall_ms)
		return server;
	return owner;
}

/*
 * Returns whether heartbeats have arrived long enough without a gap that a
 * missing one shows a lost server. A host that receives nothing from control
 * hosts, or whose feed has just changed or been interrupted, keeps using the
 * servers that it knows.
 */
static bool heartbeats_are_reliable_(const struct gate_entry *entry,
				     struct bw_time now)
{
	return bw_time_diff_ms(now, entry->feed_received_at) <=
		       GATE_FEED_TIMEOUT_MS &&
	       bw_time_diff_ms(now, entry->feed_continuous_since) >
		       server_timeout_ms_(entry);
}

static bool is_server_alive_(const struct gate_entry *entry,
			     const struct bw_server *server, struct bw_time now)
{
	return bw_time_diff_ms(now, server->last_heard_at) <=
	       server_timeout_ms_(entry);
}

static uint32_t update_interval_ms_(const struct gate_node *node)
{
	uint32_t servers = g_hash_table_size(node->registry.servers);

	return CLAMP(UPDATE_INTERVAL_MS * servers / UPDATE_SERVERS,
		     UPDATE_INTERVAL_MS, UPDATE_INTERVAL_MAX_MS);
}

static int64_t server_timeout_ms_(const struct gate_entry *entry)
{
	const struct gate_peer *feed =
		gate_node_control(entry->node, entry->feed.source);

	if (feed && feed->tells_silence)
		return CYCLE_TIMEOUT_MS;
	return (int64_t)entry->node->settings.announce_interval_ms *
		       MISSED_ANNOUNCEMENTS_MAX +
	       RELAY_DELAY_MS;
}

#include <string.h>

#include "gate_catch_up.h"
#include "gate_entry_private.h"
#include "gate_poison.h"

/**
 * Interval of hellos to control hosts that send brief detail only; two of them
 * fit in GATE_PEER_TIMEOUT_MS.
 */
#define BRIEF_HELLO_INTERVAL_MS 750

/**
 * Age at which a status no longer confirms the version in force: two intervals
 * of hellos, and the time of a slow host and path to answer.
 */
#define CONFIRMATION_MAX_AGE_MS 1750

/** Time for which a control host that no status lists counts as missing. */
#define MISSING_NOTED_MS 10000

/**
 * Time for which a contact that does not respond, or is cut off, gives way to
 * others.
 */
#define CONTACT_AVOIDED_MS 5000

/**
 * Time after which a contact that most voters do not confirm counts as cut off
 * from them. Longer than a change of the configuration takes to reach all
 * control hosts.
 */
#define CONTACT_CUT_OFF_MS 600

/**
 * Age of the confirmation by most voters at which a control host counts as cut
 * off from them. Elections are shorter.
 */
#define OUTDATED_AFTER_MS 2500

static void handle_status_(struct gate_entry *entry, const char *sender,
			   const struct gate_status *status,
			   struct bw_time now);
static void note_missing_controls_(struct gate_entry *entry, const char *sender,
				   struct bw_time now);
static void choose_feed_(struct gate_entry *entry, struct bw_time now);
static void note_source_change_(struct gate_entry *entry, const char *before,
				enum bw_feed_change change, struct bw_time now);
static void log_contact_(const struct gate_entry *entry,
			 const struct gate_peer *peer, bool contact,
			 struct bw_time now);
static void update_contact_(struct gate_entry *entry, struct gate_peer *peer,
			    bool contact, struct bw_time now);
static void send_to_controls_(struct gate_entry *entry,
			      struct gate_hello *hello, bool brief_due,
			      struct bw_time now);
static void handle_demands_(struct gate_entry *entry,
			    const struct gate_status *status);
static void fill_demands_(struct gate_entry *entry, struct gate_hello *hello,
			  struct bw_time now);
static void note_leave_(struct gate_entry *entry, const struct gate_load *load);
static void handle_loads_(struct gate_entry *entry,
			  const struct gate_loads *loads, struct bw_time now);
static void fill_loads_(struct gate_entry *entry, struct gate_hello *hello);
static bool is_cut_off_(const struct gate_peer *peer, struct bw_time now);
static bool is_outdated_(const struct gate_peer *peer, struct bw_time now);

void gate_entry_receive(struct gate_entry *entry,
			const struct bw_packet *packet, struct bw_time now)
{
	static struct gate_servers servers;
	static struct gate_status status;
	static struct gate_loads loads;
	struct gate_routing routing;
	struct bw_reader reader;

	if (packet->channel == BW_CHANNEL_POISON)
		gate_poison_receive(entry, packet, now);
	if (packet->channel == BW_CHANNEL_DISTRIBUTE)
		gate_entry_receive_pieces(entry, packet, now);
	if (packet->channel != BW_CHANNEL_GATE)
		return;
	gate_node_add_control(entry->node, packet->peer, true, now);
	gate_entry_note_feed_packet(entry, packet, now);
	bw_reader_init(&reader, packet->data, packet->size_bytes);
	switch (gate_message_type(&reader)) {
	case GATE_STATUS:
		gate_status_read(&reader, &status);
		if (bw_reader_status(&reader) != BW_OK)
			break;
		handle_status_(entry, packet->peer, &status, now);
		gate_catch_up_note(entry->node, packet, status.departures, now);
		break;
	case GATE_SERVERS:
		gate_servers_read(&reader, &servers);
		if (bw_reader_status(&reader) == BW_OK)
			gate_node_receive_servers(entry->node, packet->peer,
						  &servers, now);
		break;
	case GATE_ROUTING:
		gate_routing_read(&reader, &routing);
		if (bw_reader_status(&reader) == BW_OK)
			gate_entry_receive_text(entry, &routing, now);
		break;
	case GATE_LOADS:
		gate_loads_read(&reader, &loads);
		if (bw_reader_status(&reader) == BW_OK)
			handle_loads_(entry, &loads, now);
		break;
	case GATE_QUOTA_GRANT:
		gate_quota_receive(entry, &reader, now);
		break;
	default:
		break;
	}
	bw_reader_finish(&reader);
}

void gate_entry_send_hellos(struct gate_entry *entry, struct bw_time now)
{
	struct gate_node *node = entry->node;
	static struct gate_hello hello;
	bool brief_due = bw_time_reached(now, entry->next_brief_hello);

	if (brief_due)
		entry->next_brief_hello =
			bw_time_add(now, BRIEF_HELLO_INTERVAL_MS);
	choose_feed_(entry, now);
	fill_demands_(entry, &hello, now);
	hello.accepts_silence = true;
	gate_domain_list_set(&hello.used, &node->settings, entry->used_domains);
	hello.used.known = entry->used_domains != 0;
	if (node->stopping)
		hello.state = GATE_HOST_LEAVING;
	else
		hello.state = entry->reported_ready ? GATE_HOST_READY
						    : GATE_HOST_STARTING;
	bw_name_set(hello.domain, node->settings.domain);
	bw_name_set(hello.region, node->settings.region);
	hello.routing_version = entry->routing ? entry->routing->version : 0;
	hello.sent_ms = (uint64_t)now.ms;
	send_to_controls_(entry, &hello, brief_due, now);
}

static void choose_feed_(struct gate_entry *entry, struct bw_time now)
{
	const struct gate_node *node = entry->node;
	struct bw_feed_peer peers[GATE_CONTROLS_MAX];
	bool contact[GATE_CONTROLS_MAX];
	char before[BW_NAME_MAX];
	enum bw_feed_change change;
	uint32_t i;

	for (i = 0; i < node->control_count; i++)
		gate_entry_feed_peer(entry, i, now, &peers[i]);
	bw_name_set(before, entry->feed.source);
	change = bw_feed_choose(&entry->feed, peers, node->control_count, now);
	if (change != BW_FEED_KEPT)
		note_source_change_(entry, before, change, now);
	bw_feed_contacts(&entry->feed, peers, node->control_count, contact);
	for (i = 0; i < node->control_count; i++)
		update_contact_(entry, &entry->node->controls[i], contact[i],
				now);
}

static void note_source_change_(struct gate_entry *entry, const char *before,
				enum bw_feed_change change, struct bw_time now)
{
	const struct gate_peer *peer = gate_node_control(entry->node, before);
	int64_t silent_ms = -1;
	int64_t confirmed_ms_ago = -1;

	if (peer && peer->last_heard.ms)
		silent_ms = bw_time_diff_ms(now, peer->last_heard);
	if (peer && peer->announcement.majority_as_of.ms)
		confirmed_ms_ago =
			bw_time_diff_ms(now, peer->announcement.majority_as_of);
	bw_metric_add(entry->source_changes[change], 1);
	bw_log_event(entry->node->log, BW_LOG_INFO, "membership",
		     "detail_source_changed", "{s:s,s:s,s:s,s:I,s:I,s:b}",
		     "before", before, "peer", entry->feed.source, "cause",
		     bw_feed_change_string[change], "silent_ms",
		     (json_int_t)silent_ms, "confirmed_ms_ago",
		     (json_int_t)confirmed_ms_ago, "current",
		     peer && peer->announcement.current);
}

static void log_contact_(const struct gate_entry *entry,
			 const struct gate_peer *peer, bool contact,
			 struct bw_time now)
{
	int64_t unconfirmed_ms = 0;

	if (peer->unconfirmed_since.ms)
		unconfirmed_ms = bw_time_diff_ms(now, peer->unconfirmed_since);
	bw_log_event(entry->node->log, BW_LOG_INFO, "membership",
		     contact ? "contact_added" : "contact_dropped",
		     "{s:s,s:s,s:b,s:b,s:b,s:b,s:I}", "peer", peer->name,
		     "domain", peer->domain, "source_lists_peers",
		     entry->feed.has_source_peers, "heard_by_source",
		     bw_feed_is_heard_by_source(&entry->feed, peer->name),
		     "silent", !bw_time_reached(now, peer->avoided_until),
		     "cut_off", !bw_time_reached(now, peer->cut_off_until),
		     "unconfirmed_ms", (json_int_t)unconfirmed_ms);
}

/*
 * A control host that is no contact any more falls silent without being lost.
 */
static void update_contact_(struct gate_entry *entry, struct gate_peer *peer,
			    bool contact, struct bw_time now)
{
	struct bw_time latest;

	if (contact != (peer->contact_since.ms != 0))
		log_contact_(entry, peer, contact, now);
	if (!contact) {
		peer->contact_since.ms = 0;
		peer->unconfirmed_since.ms = 0;
		peer->last_heard.ms = 0;
		peer->lost = false;
		return;
	}
	if (!peer->contact_since.ms)
		peer->contact_since = now;
	if (is_cut_off_(peer, now))
		peer->cut_off_until = bw_time_add(now, CONTACT_AVOIDED_MS);
	latest.ms = MAX(peer->contact_since.ms, peer->last_heard.ms);
	if (bw_time_diff_ms(now, latest) <= GATE_PEER_TIMEOUT_MS)
		return;
	peer->avoided_until = bw_time_add(now, CONTACT_AVOIDED_MS);
	bw_log_event(entry->node->log, BW_LOG_INFO, "membership",
		     "contact_silent", "{s:s,s:s,s:I}", "peer", peer->name,
		     "domain", peer->domain, "silent_ms",
		     (json_int_t)bw_time_diff_ms(now, latest));
	peer->contact_since = now;
}

/*
 * Restarts the gap-free period of the feed: a new or restarted feed has not
 * received the heartbeats of the servers yet, and after a gap they arrive late.
 */
void gate_entry_note_feed_packet(struct gate_entry *entry,
				 const struct bw_packet *packet,
				 struct bw_time now)
{
	if (strcmp(packet->peer, entry->feed.source) != 0)
		return;
	if (packet->incarnation != entry->feed_incarnation ||
	    bw_time_diff_ms(now, entry->feed_received_at) >
		    GATE_FEED_TIMEOUT_MS)
		entry->feed_continuous_since = now;
	entry->feed_incarnation = packet->incarnation;
	entry->feed_received_at = now;
}

void gate_entry_feed_peer(const struct gate_entry *entry,
			  uint32_t control_index, struct bw_time now,
			  struct bw_feed_peer *peer)
{
	const struct gate_node *node = entry->node;
	const struct gate_peer *known = &node->controls[control_index];

	bw_name_set(peer->name, known->name);
	peer->alive = gate_peer_is_alive(known, now);
	peer->outdated = is_outdated_(known, now);
	peer->avoided = !bw_time_reached(now, known->avoided_until);
	peer->cut_off = !bw_time_reached(now, known->cut_off_until);
	peer->contact = known->contact_since.ms != 0;
	peer->region = gate_node_region_index(
		node, gate_node_region(node, known->domain));
	if (!known->domain[0])
		peer->distance = BW_FEED_UNKNOWN;
	else if (!strcmp(known->domain, node->settings.domain))
		peer->distance = BW_FEED_SAME_DOMAIN;
	else if (!strcmp(gate_node_region(node, known->domain),
			 node->settings.region))
		peer->distance = BW_FEED_SAME_REGION;
	else
		peer->distance = BW_FEED_OTHER_REGION;
}

static bool is_cut_off_(const struct gate_peer *peer, struct bw_time now)
{
	return peer->confirms && peer->unconfirmed_since.ms &&
	       bw_time_diff_ms(now, peer->unconfirmed_since) >
		       CONTACT_CUT_OFF_MS;
}

/* A control host of an earlier version does not say whether it is cut off. */
static bool is_outdated_(const struct gate_peer *peer, struct bw_time now)
{
	const struct bw_announcement *announcement = &peer->announcement;

	if (!announcement->current)
		return true;
	return peer->confirms &&
	       bw_announcement_unconfirmed_ms(announcement, now) >
		       OUTDATED_AFTER_MS;
}

/* Sends hellos to contacts that do not respond, too. */
static void send_to_controls_(struct gate_entry *entry,
			      struct gate_hello *hello, bool brief_due,
			      struct bw_time now)
{
	struct gate_node *node = entry->node;
	struct bw_feed_peer peer;
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		if (!node->controls[i].contact_since.ms)
			continue;
		gate_entry_feed_peer(entry, i, now, &peer);
		hello->load_count = 0;
		if (bw_feed_needs_detail(&entry->feed, &peer))
			hello->detail = GATE_DETAIL_FULL;
		else if (entry->feed.source[0])
			hello->detail = GATE_DETAIL_BRIEF;
		else
			hello->detail = GATE_DETAIL_NAMES;
		/*
		 * The first ones are lost while the connection is opened. One
		 * that is not confirmed may be cut off.
		 */
		if (hello->detail == GATE_DETAIL_BRIEF && !brief_due &&
		    node->controls[i].last_heard.ms &&
		    !node->controls[i].unconfirmed_since.ms)
			continue;
		if (!strcmp(peer.name, entry->feed.source))
			fill_loads_(entry, hello);
		gate_hello_write(gate_node_frame(node), hello);
		gate_node_send(node, peer.name);
	}
}

struct bw_confirmation gate_entry_confirm(const struct gate_entry *entry,
					  struct bw_time now)
{
	const struct gate_node *node = entry->node;
	struct bw_announcement announcements[GATE_CONTROLS_MAX];
	uint32_t i;

	for (i = 0; i < node->control_count; i++)
		announcements[i] = node->controls[i].announcement;
	return bw_confirm(announcements, node->control_count,
			  entry->routing ? entry->routing->version : 0,
			  CONFIRMATION_MAX_AGE_MS, now);
}

/* What servers announce to a control host that others do not hear is lost. */
static void note_missing_controls_(struct gate_entry *entry, const char *sender,
				   struct bw_time now)
{
	const struct gate_node *node = entry->node;
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		const struct gate_peer *peer = &node->controls[i];

		if (peer->last_listed.ms && peer->last_listed.ms != now.ms &&
		    bw_time_diff_ms(now, peer->last_listed) <
			    MISSING_NOTED_MS &&
		    strcmp(peer->name, sender) != 0)
			entry->control_missing_at = now;
	}
}

static void handle_status_(struct gate_entry *entry, const char *sender,
			   const struct gate_status *status, struct bw_time now)
{
	gate_node_note_status(entry->node, sender, status, now);
	if (status->control_count)
		note_missing_controls_(entry, sender, now);
	if (status->control_count)
		bw_feed_set_source_peers(&entry->feed, sender,
					 (const char(*)[BW_NAME_MAX])(
						 const void *)status->controls,
					 status->control_count);
	if (status->entry_count) {
		entry->entry_count = status->entry_count;
		entry->entry_index = status->entry_index;
		entry->dispatch.host_count = status->entry_count;
		bw_quota_shares_set_hosts(&entry->quota.shares,
					  status->entry_count,
					  status->entry_index);
		entry->dispatch.peer_count = status->domain_entry_count;
	}
	handle_demands_(entry, status);
	entry->newest_version =
		MAX(entry->newest_version, status->routing_version);
	if (!status->current)
		return;
	if (status->names_retired &&
	    status->routing_version == entry->newest_version)
		bw_retired_routes_merge(&entry->retired, &status->retired, now);
	if (!entry->outdated_since.ms &&
	    status->routing_version >
		    (entry->routing ? entry->routing->version : 0))
		entry->outdated_since = now;
	if (status->evacuation_index > entry->evacuation_index) {
		gate_entry_set_evacuated(entry, status, now);
		bw_log_event(entry->node->log, BW_LOG_INFO, "configuration",
			     "evacuations_in_force", "{s:I,s:i,s:s}", "index",
			     (json_int_t)status->evacuation_index, "domains",
			     (int)status->evacuated_count, "source", sender);
	}
	gate_entry_fetch(entry, now);
}

static void handle_demands_(struct gate_entry *entry,
			    const struct gate_status *status)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	if (!status->demand_count)
		return;
	g_hash_table_iter_init(&iter, entry->dispatch.services);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bw_dispatch_service *service = value;
		uint64_t service_hash = bw_registry_hash(service->name);

		memset(service->demand_per_s, 0, sizeof(service->demand_per_s));
		for (i = 0; i < status->demand_count; i++) {
			const struct gate_demand *demand = &status->demands[i];
			uint32_t domain_index = gate_node_domain_index(
				entry->node, demand->domain);

			if (demand->service_hash == service_hash &&
			    domain_index < BW_SPREAD_DOMAINS_MAX)
				service->demand_per_s[domain_index] =
					demand->millirequests_per_s / 1000.0;
		}
	}
}

static void fill_demands_(struct gate_entry *entry, struct gate_hello *hello,
			  struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;

	hello->demand_count = 0;
	g_hash_table_iter_init(&iter, entry->dispatch.services);
	while (g_hash_table_iter_next(&iter, NULL, &value) &&
	       hello->demand_count < GATE_DEMANDS_MAX) {
		struct bw_dispatch_service *service = value;
		struct gate_demand *demand =
			&hello->demands[hello->demand_count++];

		demand->domain[0] = '\0';
		demand->service_hash = bw_registry_hash(service->name);
		demand->millirequests_per_s =
			(uint32_t)(1000.0 *
				   bw_dispatch_arrivals_per_s(service, now));
	}
}

static void handle_loads_(struct gate_entry *entry,
			  const struct gate_loads *loads, struct bw_time now)
{
	uint32_t i;

	for (i = 0; i < loads->count; i++) {
		const struct gate_load *load = &loads->loads[i];

		bw_dispatch_note_shared_limit(
			&entry->dispatch, load->id_hash,
			load->limit_millirequests_per_s / 1000.0, now);
		note_leave_(entry, load);
		bw_dispatch_note_load(&entry->dispatch, load->id_hash,
				      load->outstanding, now);
		bw_dispatch_note_shared_speed(&entry->dispatch, load->id_hash,
					      load->time_percent, now);
	}
}

/* Another host has read in an answer that a server leaves. */
static void note_leave_(struct gate_entry *entry, const struct gate_load *load)
{
	if (load->leaving &&
	    bw_dispatch_note_shared_leave(&entry->dispatch, load->id_hash,
					  load->started_wall_ms))
		bw_log_event(entry->node->log, BW_LOG_INFO, "registry",
			     "server_leave_learned", "{s:I}", "id_hash",
			     (json_int_t)load->id_hash);
}

/* Adds the loads that servers reported in responses since the last hello. */
static void fill_loads_(struct gate_entry *entry, struct gate_hello *hello)
{
	GHashTableIter iter;
	gpointer value;

	hello->load_count = 0;
	g_hash_table_iter_init(&iter, entry->dispatch.targets);
	while (g_hash_table_iter_next(&iter, NULL, &value) &&
	       hello->load_count < GATE_LOADS_MAX) {
		struct bw_target *target = value;
		struct gate_load *load;

		if (!target->load_report_pending)
			continue;
		target->load_report_pending = false;
		load = &hello->loads[hello->load_count++];
		load->id_hash = target->id_hash;
		load->outstanding = target->reported_requests;
		load->limit_millirequests_per_s = (uint32_t)CLAMP(
			1000.0 * target->limit.limit_per_s, 0.0, 1e9);
		load->time_percent = bw_dispatch_unusual_percent(target);
		load->leaving = target->notice.leaving;
		load->started_wall_ms = target->started_wall_ms;
	}
}

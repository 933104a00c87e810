/**
 * @file
 * Control role of a gateway: the replica that stores the configuration and the
 * evacuated failure domains, the announcements of backend servers, and the
 * directory of entry hosts.
 */
#ifndef BORAGEWINGD_GATE_CONTROL_H
#define BORAGEWINGD_GATE_CONTROL_H

#include <glib.h>

#include "bwagree/replica.h"
#include "bwcustomer/quota_grants.h"
#include "bwproxy/listener.h"
#include "bwsteer/retired_routes.h"
#include "bwsteer/routing.h"
#include "bwmember/directory.h"
#include "bwmember/distribute.h"
#include "gate_api.h"
#include "gate_departures.h"
#include "gate_node.h"
#include "gate_refusal.h"

/** Submitted configurations that are not checked yet, in order. */
struct gate_submissions {
	GQueue waiting;
	size_t waiting_bytes; /**< size of their texts */
	ev_timer timer; /**< for the next slice */
	struct bw_routing *proposed; /**< latest; or NULL */
	uint8_t proposed_hash[BW_HASH_BYTES]; /**< of its text */
	struct bw_routing *committed; /**< if it was proposed here; or NULL */
	struct bw_retired_routes retired; /**< by what was committed since */
};

/** The control role of a host. */
struct gate_control {
	struct gate_node *node;
	struct bw_storage storage;
	struct bw_chart chart;
	struct bw_replica *replica;
	struct gate_departures departures;
	struct bw_distribute distribute; /**< sends configurations */
	struct bw_outbox out;
	struct bw_listener api;
	struct bw_listener directory;
	GHashTable *entries; /**< entry address -> struct gate_entry_host: those
				that send hello messages to this host */
	struct bw_roster roster; /**< all entry hosts */
	struct bw_directory entry_directory; /**< what look-ups get of it */
	GHashTable *listed_demands; /**< control address -> demands of its entry
				       hosts */
	bool fleet_changed; /**< an entry host with full detail changed */
	struct bw_time fleet_sent_at;
	bool demands_full; /**< logged that some demands are left out */
	bool hosts_full; /**< logged that some entry hosts are not listed */
	GPtrArray *waiting; /**< struct gate_wait: unanswered calls */
	struct gate_submissions submissions;
	bool current; /**< the applied state is up to date */
	bool dirty; /**< proposals are not yet synced to disk */
	uint64_t sent_sheet_index; /**< log index of the last
				       configuration sent to entry hosts */
	uint64_t sent_evacuation_index; /**< the same for evacuations */
	char leader[BW_NAME_MAX]; /**< last logged; "" when unknown */
	struct bw_time next_hello;
	struct bw_time next_member_check;
	bool votes; /**< this host is a voter */
	uint32_t voter_count; /**< 0 before there is a group */
	bool group_full; /**< logged that the group has no room */
	struct bw_time next_loads;
	uint32_t loads_round;
	GHashTable *loads; /**< id hash -> loads still to be sent */
	struct bw_time heartbeats_sent_at; /**< latest, of backend servers */
	uint32_t heartbeat_round;
	struct bw_time ticked_at;
	struct bw_time hears_servers_since; /**< since then, announcements at
					      any control host reach this
					      one; 0 ms: they do not */
	bool records_pending; /**< records are queued for sending */
	GHashTable *silent_since; /**< member -> int64_t, ms since which it is
				     silent; kept by the leader only */
	struct bw_quota_grants quotas; /**< see gate_control_quota.c */
	struct bw_metric *quota_demands;
	struct bw_metric *announcements;
	struct bw_metric *lookups;
	struct bw_metric *lookups_unanswered; /**< too few entry hosts were
						 ready */
	struct gate_refusals refusals;
};

/**
 * Opens the data folder and the listeners.
 * @return BW_OK or an error, which is logged
 */
enum bw_status gate_control_init(struct gate_control *control,
				 struct gate_node *node);

/** Frees the role. */
void gate_control_finish(struct gate_control *control);

/** Handles a packet from another host. */
void gate_control_receive(struct gate_control *control,
			  const struct bw_packet *packet, struct bw_time now);

/** Runs the timers that are due. */
void gate_control_tick(struct gate_control *control, struct bw_time now);

/**
 * Sends and syncs pending proposals and handles the events of the replica.
 * Called before the event loop blocks.
 */
void gate_control_flush(struct gate_control *control, struct bw_time now);

/** Adds the state of the role to a dump: the group, and who follows this host.
 */
void gate_control_dump(struct gate_control *control, json_t *into);

/** Begins a graceful shutdown. */
void gate_control_stop(struct gate_control *control);

/** Returns whether no call is in progress. */
bool gate_control_is_idle(const struct gate_control *control);

#endif

/**
 * @file
 * Interface shared by the source files of the entry role.
 */
#ifndef BORAGEWINGD_GATE_ENTRY_PRIVATE_H
#define BORAGEWINGD_GATE_ENTRY_PRIVATE_H

#include "gate_entry.h"

/**
 * Time without a message after which the feed counts as interrupted. The feed
 * sends a message at least every 250 ms.
 */
#define GATE_FEED_TIMEOUT_MS 1000

/** Sends state, demand and reported server loads to the control hosts. */
void gate_entry_send_hellos(struct gate_entry *entry, struct bw_time now);

/** Requests a newer configuration if that is due. */
void gate_entry_fetch(struct gate_entry *entry, struct bw_time now);

/** Handles a packet with a piece of a configuration. */
void gate_entry_receive_pieces(struct gate_entry *entry,
			       const struct bw_packet *packet,
			       struct bw_time now);

/** Handles a configuration that a control host of an earlier version sends. */
void gate_entry_receive_text(struct gate_entry *entry,
			     const struct gate_routing *message,
			     struct bw_time now);

/** Frees a table that is being built. */
void gate_entry_finish_build(struct gate_entry *entry);

/** Restarts the gap-free period of the feed when that is due. */
void gate_entry_note_feed_packet(struct gate_entry *entry,
				 const struct bw_packet *packet,
				 struct bw_time now);

/** Describes a control host for the choice of the feed. */
void gate_entry_feed_peer(const struct gate_entry *entry,
			  uint32_t control_index, struct bw_time now,
			  struct bw_feed_peer *peer);

/** Updates the backend servers known to the dispatcher. */
void gate_entry_update_targets(struct gate_entry *entry, struct bw_time now);

/** Replaces the set of evacuated failure domains. */
void gate_entry_set_evacuated(struct gate_entry *entry,
			      const struct gate_status *status,
			      struct bw_time now);

/**
 * Updates only those that have changed since the last update, and the earlier
 * servers at their addresses.
 */
void gate_entry_update_changed(struct gate_entry *entry, struct bw_time now);

/** Returns whether a failure domain is evacuated. */
bool gate_entry_is_evacuated(const struct gate_entry *entry,
			     const char *domain);

/** Sets the failure domains and their regions in the dispatcher. */
void gate_entry_set_domains(struct gate_entry *entry);

/** Logs the dispatcher's estimates for each service. */
void gate_entry_report_load(struct gate_entry *entry, struct bw_time now);

#endif

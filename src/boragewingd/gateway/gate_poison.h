/**
 * @file
 * Detects requests that crash backend servers. Reports lost connections and
 * lost servers to bw_poison, and shares crash records with other entry hosts.
 */
#ifndef BORAGEWINGD_GATE_POISON_H
#define BORAGEWINGD_GATE_POISON_H

#include "bwsteer/poison.h"
#include "gate_request.h"

/** Initialises the table. @return BW_OK or BW_ENOMEM */
enum bw_status gate_poison_init(struct gate_poison *poison,
				const struct gate_node *node);

/** Frees the table. */
void gate_poison_finish(struct gate_poison *poison);

/**
 * Returns whether to reject a request because identical ones crashed servers.
 * @param retry_after_ms receives the time until it is allowed, when true
 */
bool gate_poison_rejects(struct gate_poison *poison,
			 const struct gate_request *request, struct bw_time now,
			 uint32_t *retry_after_ms);

/** Keeps what identifies a request, before its body is freed. */
void gate_poison_keep_fingerprint(struct gate_request *request);

/** Records a connection loss after which the request may have run. */
void gate_poison_connection_lost(struct gate_poison *poison,
				 const struct gate_request *request,
				 struct bw_time now);

/** Records that a request got a complete response. */
void gate_poison_completed(struct gate_poison *poison,
			   const struct gate_request *request,
			   struct bw_time now);

/** Records that a server process was lost without announcing its exit. */
void gate_poison_server_lost(struct gate_poison *poison, uint64_t id_hash,
			     int64_t started_wall_ms, struct bw_time now);

/** Logs new crashes, and sends them to the feed, which forwards them. */
void gate_poison_tick(struct gate_entry *entry, struct bw_time now);

/** Merges crash records of other entry hosts. */
void gate_poison_receive(struct gate_entry *entry,
			 const struct bw_packet *packet, struct bw_time now);

#endif

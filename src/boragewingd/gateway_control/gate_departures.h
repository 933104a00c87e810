/**
 * @file
 * Durable copies of the records of backend servers that drain or have left. A
 * control host keeps them on its disk, so that after a restart of all processes
 * a late announcement does not bring such a server back, and acknowledges a
 * record only when its copy is durable.
 */
#ifndef BORAGEWINGD_GATE_DEPARTURES_H
#define BORAGEWINGD_GATE_DEPARTURES_H

#include "bwagree/record_file.h"
#include "gate_node.h"

/** The copies, and the acknowledgements that wait for the next sync. */
struct gate_departures {
	struct gate_node *node;
	struct bw_record_file file;
	bool is_open;
	bool failed; /**< the last sync failed */
	struct bw_time retry_at; /**< in that case */
	GPtrArray *acknowledgements;
};

/**
 * Adds the stored records to the registry of the node.
 * @param storage must outlive this object
 * @return BW_OK or an error, which is logged
 */
enum bw_status gate_departures_init(struct gate_departures *departures,
				    struct gate_node *node,
				    struct bw_storage *storage);

/** Frees the memory; the storage is not freed. */
void gate_departures_finish(struct gate_departures *departures);

/**
 * Notes the record of a server, if it accepts no new requests. It is durable
 * after the next gate_departures_sync that succeeds.
 */
void gate_departures_note(struct gate_departures *departures,
			  const struct bw_server *server);

/**
 * Sends an acknowledgement of records to a host after the next sync; it is
 * dropped if that fails.
 */
void gate_departures_acknowledge(struct gate_departures *departures,
				 const char *peer,
				 const struct gate_servers *records);

/**
 * Makes the noted records durable with one sync and sends the acknowledgements.
 * Called before the event loop blocks.
 * @return whether a sync has succeeded
 */
bool gate_departures_sync(struct gate_departures *departures,
			  struct bw_time now);

#endif

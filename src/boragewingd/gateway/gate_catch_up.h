/**
 * @file
 * Departures of backend servers that a host has missed. A control host sends
 * each departure once, to the hosts that it is connected to at that moment. It
 * numbers them, and names the last number in each hello and status, so that a
 * host which has missed some notices that and requests them. A host gets the
 * departures of all control hosts that it hears from, because any of them may
 * be cut off from the others.
 */
#ifndef BORAGEWINGD_GATE_CATCH_UP_H
#define BORAGEWINGD_GATE_CATCH_UP_H

#include "gate_node.h"

/**
 * Records the number that a control host named, and requests what is missing.
 * The numbers of a new process begin again.
 */
void gate_catch_up_note(struct gate_node *node, const struct bw_packet *packet,
			uint64_t departures, struct bw_time now);

/**
 * Records which departures a message of a control host had.
 * @param lacks_records whether records that it showed had to be requested
 */
void gate_catch_up_received(struct gate_node *node, const char *sender,
			    const struct gate_servers *servers,
			    bool lacks_records, struct bw_time now);

/** Sends a host the first departures of this control host after a number. */
void gate_catch_up_answer(struct gate_node *node, const char *receiver,
			  const struct gate_departures_request *request);

#endif

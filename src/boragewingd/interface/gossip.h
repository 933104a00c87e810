/**
 * @file
 * Gossip of backend server states and crash fingerprints between hosts.
 */
#ifndef BORAGEWINGD_GOSSIP_H
#define BORAGEWINGD_GOSSIP_H

#include <stdbool.h>

#include "steering.h"

/**
 * Sends the table of backend servers to hosts of the domain.
 * @param to_all whether to send to all hosts that are up, as after a state
 *	change; otherwise to a few random ones
 */
void gossip_backends(struct steering *steering, bool to_all,
		     struct bw_time now);

/**
 * Sends crash fingerprints to the hosts of the domain; an aggregator also
 * sends them to the aggregators of the other domains.
 */
void gossip_poison(struct steering *steering, struct bw_time now);

#endif

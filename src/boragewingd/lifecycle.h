/**
 * @file
 * Life of a host from its start to the end of a graceful shutdown, driven by
 * charts/host.yaml.
 */
#ifndef BORAGEWINGD_LIFECYCLE_H
#define BORAGEWINGD_LIFECYCLE_H

#include "host.h"

/**
 * Loads the chart and sets the initial state.
 * @return BW_OK, or another status with error filled
 */
enum bw_status lifecycle_init(struct host *host, struct bw_yaml_error *error);

/** Applies an event; one that the state does not expect is ignored. */
void lifecycle_fire(struct host *host, enum host_event event);

/** Advances a graceful shutdown; called every 50 ms. */
void lifecycle_tick(struct host *host, struct bw_time now);

#endif

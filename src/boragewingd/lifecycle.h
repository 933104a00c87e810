/**
 * @file
 * Lifecycle of a host from start to the end of a graceful shutdown, defined by
 * charts/host.yaml.
 */
#ifndef BORAGEWINGD_LIFECYCLE_H
#define BORAGEWINGD_LIFECYCLE_H

#include "host.h"

/**
 * Loads the state chart and sets the initial state.
 * @return BW_OK, or another status with error filled
 */
enum bw_status lifecycle_init(struct host *host, struct bw_yaml_error *error);

/** Applies an event; ignores one without a transition from this state. */
void lifecycle_fire(struct host *host, enum host_event event);

/** Advances a graceful shutdown; called every 50 ms. */
void lifecycle_tick(struct host *host, struct bw_time now);

#endif

/**
 * @file
 * Log lines and counters of connections that a listener closes for others, or
 * does not accept. docs/OPERATIONS.md describes the fields.
 */
#ifndef BORAGEWINGD_GATE_EVICTION_H
#define BORAGEWINGD_GATE_EVICTION_H

#include "bwbase/clock.h"
#include "bwbase/log.h"
#include "bwbase/metrics.h"
#include "bwproxy/listener.h"

/** Connections that a process closed. */
struct gate_evictions {
	struct bw_log *log;
	struct bw_metric *closed[BW_EVICTION_CAUSE_COUNT];
	int64_t second; /**< in which line_count lines were written */
	uint32_t line_count;
	uint32_t unlogged_count; /**< since the last line */
};

/** Creates the counters. */
void gate_evictions_init(struct gate_evictions *evictions, struct bw_log *log,
			 struct bw_metrics *metrics);

/**
 * Counts and logs such a connection. The lines are limited per second, as a
 * crowd may open connections at any rate.
 */
void gate_evictions_note(struct gate_evictions *evictions,
			 const struct bw_listener_eviction *eviction,
			 struct bw_time now);

#endif

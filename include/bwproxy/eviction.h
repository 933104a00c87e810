/**
 * @file
 * Decides which connection of a client is closed when connections, descriptors
 * or memory run short: the one with the least progress for what it holds. Uses
 * no network.
 *
 * Progress is counted at a least rate: a connection lags by the time for which
 * it has moved fewer bytes than that, so a client that moves a byte now and
 * then lags like one that has stopped.
 */
#ifndef BWPROXY_EVICTION_H
#define BWPROXY_EVICTION_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/clock.h"

/** What a connection is waiting for. */
enum bw_eviction_phase {
	BW_EVICTION_REFUSED, /**< for its client to close it after an error */
	BW_EVICTION_UNUSED, /**< for the first byte of its first request */
	BW_EVICTION_IDLE, /**< for the first byte of another request */
	BW_EVICTION_HEAD, /**< for the rest of a head */
	BW_EVICTION_BODY, /**< for the rest of a body */
	BW_EVICTION_BUSY, /**< for the response to a complete request */
	BW_EVICTION_RESPONSE, /**< for its client to read */
	BW_EVICTION_PHASE_COUNT
};

/** Stable names of enum bw_eviction_phase. */
extern const char *const bw_eviction_phase_string[BW_EVICTION_PHASE_COUNT];

/** What is short. */
enum bw_eviction_cause {
	BW_EVICTION_CONNECTIONS, /**< connections or descriptors */
	BW_EVICTION_MEMORY,
	BW_EVICTION_SLOW_READER, /**< nothing; it lagged for too long */
	BW_EVICTION_FULL, /**< connections, and none may be closed for it */
	BW_EVICTION_CAUSE_COUNT
};

/** Stable names of enum bw_eviction_cause. */
extern const char *const bw_eviction_cause_string[BW_EVICTION_CAUSE_COUNT];

/** A connection that may be closed. */
struct bw_eviction_candidate {
	enum bw_eviction_phase phase;
	int64_t lag_ms; /**< without progress */
	uint64_t held_bytes; /**< memory that closing it releases */
	/** Lag from which a body or a response may be closed to release memory.
	 */
	int64_t memory_lag_ms;
};

/**
 * Returns whether the connection may be closed for this cause. One whose
 * request is complete, or whose body or response makes progress, may not.
 */
bool bw_eviction_allows(const struct bw_eviction_candidate *candidate,
			enum bw_eviction_cause cause);

/** Returns whether one connection is closed before another; both may be. */
bool bw_eviction_precedes(const struct bw_eviction_candidate *one,
			  const struct bw_eviction_candidate *other);

/** Returns the least rate of a body of this size in bytes per second. */
uint64_t bw_eviction_least_rate(uint64_t body_bytes);

/**
 * Returns the time up to which a connection counts as having made progress.
 * @param since the time before these bytes were moved
 * @param rate least rate in bytes per second
 */
struct bw_time bw_eviction_progress(struct bw_time since, uint64_t moved_bytes,
				    uint64_t rate, struct bw_time now);

#endif

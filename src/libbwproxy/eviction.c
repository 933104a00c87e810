#include "bwproxy/eviction.h"

/**
 * Lag from which a begun request, or a connection that has never had one, goes
 * before idle connections. A head usually arrives within one round trip.
 */
#define STALLED_MS 1000

/** Least rate of a small body; a modem is faster. */
#define LEAST_BYTES_PER_S 1024

/** Time within which a body of any size arrives at its least rate. */
#define BODY_TIME_MAX_S 300

/** Order in which connections are closed; none of a later rank goes first. */
enum rank {
	RANK_REFUSED, /**< their client has its response */
	RANK_STALLED,
	RANK_IDLE, /**< their client opens another one at once */
	RANK_YOUNG /**< a request may be on its way */
};

static enum rank rank_(const struct bw_eviction_candidate *candidate);
static uint64_t cost_(const struct bw_eviction_candidate *candidate);

const char *const bw_eviction_phase_string[BW_EVICTION_PHASE_COUNT] = {
	[BW_EVICTION_REFUSED] = "refused",   [BW_EVICTION_UNUSED] = "unused",
	[BW_EVICTION_IDLE] = "idle",	     [BW_EVICTION_HEAD] = "head",
	[BW_EVICTION_BODY] = "body",	     [BW_EVICTION_BUSY] = "busy",
	[BW_EVICTION_RESPONSE] = "response",
};

const char *const bw_eviction_cause_string[BW_EVICTION_CAUSE_COUNT] = {
	[BW_EVICTION_CONNECTIONS] = "connections",
	[BW_EVICTION_MEMORY] = "memory",
	[BW_EVICTION_SLOW_READER] = "slow_reader",
	[BW_EVICTION_FULL] = "full",
};

bool bw_eviction_allows(const struct bw_eviction_candidate *candidate,
			enum bw_eviction_cause cause)
{
	switch (candidate->phase) {
	case BW_EVICTION_REFUSED:
	case BW_EVICTION_UNUSED:
	case BW_EVICTION_IDLE:
		return true;
	case BW_EVICTION_HEAD:
		return cause != BW_EVICTION_MEMORY ||
		       candidate->lag_ms >= STALLED_MS;
	case BW_EVICTION_BODY:
	case BW_EVICTION_RESPONSE:
		return candidate->lag_ms >= (cause == BW_EVICTION_MEMORY
						     ? candidate->memory_lag_ms
						     : STALLED_MS);
	case BW_EVICTION_BUSY:
	case BW_EVICTION_PHASE_COUNT:
		break;
	}
	return false;
}

bool bw_eviction_precedes(const struct bw_eviction_candidate *one,
			  const struct bw_eviction_candidate *other)
{
	enum rank rank = rank_(one);
	enum rank other_rank = rank_(other);

	if (rank != other_rank)
		return rank < other_rank;
	return cost_(one) > cost_(other);
}

uint64_t bw_eviction_least_rate(uint64_t body_bytes)
{
	uint64_t rate = body_bytes / BODY_TIME_MAX_S;

	return rate > LEAST_BYTES_PER_S ? rate : LEAST_BYTES_PER_S;
}

struct bw_time bw_eviction_progress(struct bw_time since, uint64_t moved_bytes,
				    uint64_t rate, struct bw_time now)
{
	struct bw_time progress = bw_time_add(
		since, (int64_t)((moved_bytes * 1000 + rate - 1) / rate));

	return bw_time_reached(now, progress) ? progress : now;
}

static enum rank rank_(const struct bw_eviction_candidate *candidate)
{
	if (candidate->phase == BW_EVICTION_REFUSED)
		return RANK_REFUSED;
	if (candidate->phase == BW_EVICTION_IDLE)
		return RANK_IDLE;
	return candidate->lag_ms >= STALLED_MS ? RANK_STALLED : RANK_YOUNG;
}

/* Least progress for the memory held. */
static uint64_t cost_(const struct bw_eviction_candidate *candidate)
{
	uint64_t lag_ms = candidate->lag_ms > 0 ? (uint64_t)candidate->lag_ms
						: 0;

	return (lag_ms + 1) * candidate->held_bytes;
}

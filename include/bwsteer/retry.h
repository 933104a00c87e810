/**
 * @file
 * Retry budgets, retry delays and hedging decisions.
 */
#ifndef BWSTEER_RETRY_H
#define BWSTEER_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/clock.h"
#include "bwbase/random.h"
#include "bwbase/status.h"
#include "bwsteer/sheet.h"

/** Settings; bw_retry_config_default gives usual values. */
struct bw_retry_config {
	uint32_t services_max;
	uint32_t ratio_percent; /**< retries per first attempt */
	uint32_t floor_per_s; /**< retries a second without any traffic */
	uint32_t burst; /**< most tokens kept */
	uint32_t attempts_max; /**< of one request, with the first */
	uint32_t backoff_base_ms; /**< bound of the first delay; doubles */
	uint32_t backoff_max_ms;
};

/** Decision on a retry or hedge. */
enum bw_retry_decision {
	BW_RETRY_ALLOWED,
	BW_RETRY_MAY_HAVE_RUN, /**< and is not idempotent */
	BW_RETRY_ATTEMPTS, /**< too many attempts */
	BW_RETRY_DEADLINE, /**< would start at or after the deadline */
	BW_RETRY_BUDGET, /**< no token left */
	BW_RETRY_DECISION_COUNT
};

/** Stable names of enum bw_retry_decision. */
extern const char *const bw_retry_decision_string[BW_RETRY_DECISION_COUNT];

/** A failed attempt. */
struct bw_retry_attempt {
	uint32_t service; /**< index below services_max */
	uint32_t rank;
	uint32_t attempts; /**< made so far, at least 1 */
	bool idempotent;
	bool not_run; /**< the attempt certainly did not run */
	struct bw_time deadline;
};

/** Intervals of the latency distribution: 8 per doubling, from 64 us. */
#define BW_RETRY_LATENCY_BUCKETS 160

/** Budget and latency of one service and rank. */
struct bw_retry_budget {
	uint64_t millitokens; /**< 1000 allow one retry */
	struct bw_time refilled;
	uint32_t latency[BW_RETRY_LATENCY_BUCKETS]; /**< decaying counts */
	uint32_t latency_count;
	uint64_t first_count;
	uint64_t allowed_count;
	uint64_t hedged_count;
	uint64_t denied_count[BW_RETRY_DECISION_COUNT];
};

/** Retry budgets of one host. */
struct bw_retry {
	struct bw_retry_config config;
	struct bw_retry_budget *budgets; /**< [service][BW_SHEET_RANKS_MAX] */
};

/** Fills in the defaults: 64 services, 10 %, floor 3 a second, burst 20, 3
 * attempts, back-off 10 ms to 1 s. */
void bw_retry_config_default(struct bw_retry_config *config);

/**
 * Initialises with full floors.
 * @return BW_OK, BW_ENOMEM, or BW_EINVAL for a zero bound
 */
enum bw_status bw_retry_init(struct bw_retry *retry,
			     const struct bw_retry_config *config,
			     struct bw_time now);

/** Frees the memory. */
void bw_retry_finish(struct bw_retry *retry);

/** Counts a first attempt, which adds to the budget. */
void bw_retry_record_first_attempt(struct bw_retry *retry, uint32_t service,
				   uint32_t rank);

/**
 * Decides on a retry; an allowed one takes a token.
 * @param delay_ms receives the time to wait first, when allowed
 */
enum bw_retry_decision bw_retry_decide(struct bw_retry *retry,
				       const struct bw_retry_attempt *attempt,
				       struct bw_time now,
				       struct bw_random *random,
				       uint32_t *delay_ms);

/** Records the latency of a complete response, for hedging. */
void bw_retry_record_latency(struct bw_retry *retry, uint32_t service,
			     uint32_t rank, uint64_t latency_us);

/**
 * Gives the time after which a second copy of a look-up may be sent: the
 * upper bound of the interval of the 95th percentile of observed latency.
 * @return microseconds; UINT64_MAX until enough responses were observed
 */
uint64_t bw_retry_hedge_delay_us(const struct bw_retry *retry, uint32_t service,
				 uint32_t rank);

/**
 * Decides on a hedged request; an allowed one takes a token.
 * @param attempt the attempt in progress; not_run is ignored
 * @param waited_us time since it started
 * @return BW_RETRY_DEADLINE also while it is too early
 */
enum bw_retry_decision bw_retry_hedge(struct bw_retry *retry,
				      const struct bw_retry_attempt *attempt,
				      uint64_t waited_us, struct bw_time now);

/**
 * Writes the state dump.
 * @param into JSON object that receives the members
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_retry_dump(const struct bw_retry *retry, json_t *into);

#endif

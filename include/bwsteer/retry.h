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

/** Configuration; see bw_retry_config_default for the defaults. */
struct bw_retry_config {
	uint32_t services_max;
	uint32_t retry_ratio_percent; /**< retries per 100 first attempts */
	uint32_t min_retries_per_s; /**< allowed without any first attempts */
	uint32_t burst; /**< capacity of the token bucket, in tokens */
	uint32_t attempts_max; /**< per request, including the first */
	uint32_t backoff_base_ms; /**< limit of the first delay; doubles */
	uint32_t backoff_max_ms; /**< limit of all delays */
};

/** Decision on a retry or hedge. */
enum bw_retry_decision {
	BW_RETRY_ALLOWED,
	BW_RETRY_MAY_HAVE_RUN, /**< and the request is not idempotent */
	BW_RETRY_ATTEMPTS, /**< attempts_max reached */
	BW_RETRY_DEADLINE, /**< the retry would start at or after the deadline
			    */
	BW_RETRY_BUDGET, /**< the token bucket is empty */
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

/** Buckets of the latency histogram: 8 per doubling, from 64 us. */
#define BW_RETRY_LATENCY_BUCKETS 160

/** Token bucket and latency histogram of one service and rank. */
struct bw_retry_budget {
	uint64_t millitokens; /**< 1000 pay for one retry or hedged request */
	struct bw_time refilled_at; /**< with min_retries_per_s */
	uint32_t latency[BW_RETRY_LATENCY_BUCKETS]; /**< histogram; counts are
						       halved regularly */
	uint32_t latency_count; /**< sum of the histogram */
	uint64_t first_attempt_count;
	uint64_t allowed_count; /**< retries */
	uint64_t hedged_count; /**< hedged requests allowed */
	uint64_t denied_count[BW_RETRY_DECISION_COUNT];
};

/** Retry budgets of one host. */
struct bw_retry {
	struct bw_retry_config config;
	struct bw_retry_budget *budgets; /**< [service][BW_SHEET_RANKS_MAX] */
};

/**
 * Fills in the defaults: 64 services, a retry ratio of 10 %, at least 3 retries
 * a second, a burst of 20, 3 attempts, and a back-off of 10 ms to 1 s.
 */
void bw_retry_config_default(struct bw_retry_config *config);

/**
 * Initialises the budgets, each with the minimum retries of one second.
 * @return BW_OK, BW_ENOMEM, or BW_EINVAL for a limit of zero or a maximum
 *	back-off below its base
 */
enum bw_status bw_retry_init(struct bw_retry *retry,
			     const struct bw_retry_config *config,
			     struct bw_time now);

/** Frees the memory. */
void bw_retry_finish(struct bw_retry *retry);

/** Records a first attempt, which adds to the retry budget. */
void bw_retry_record_first_attempt(struct bw_retry *retry, uint32_t service,
				   uint32_t rank);

/**
 * Decides whether a failed attempt may be retried; an allowed retry takes a
 * token.
 * @param delay_ms receives the delay before an allowed retry
 */
enum bw_retry_decision bw_retry_decide(struct bw_retry *retry,
				       const struct bw_retry_attempt *attempt,
				       struct bw_time now,
				       struct bw_random *random,
				       uint32_t *delay_ms);

/** Records the latency of a complete response for the hedging delay. */
void bw_retry_record_latency(struct bw_retry *retry, uint32_t service,
			     uint32_t rank, uint64_t latency_us);

/**
 * Returns the time after which a hedged request may be sent: the 95th
 * percentile of the recorded latencies, rounded up to the end of its bucket.
 * @return microseconds; UINT64_MAX until enough latencies are recorded
 */
uint64_t bw_retry_hedge_delay_us(const struct bw_retry *retry, uint32_t service,
				 uint32_t rank);

/**
 * Decides whether a hedged request may be sent; an allowed one takes a token.
 * @param attempt the attempt in progress; not_run is ignored
 * @param waited_us time since the attempt started
 * @return the decision; BW_RETRY_DEADLINE also before the hedging delay has
 *	passed
 */
enum bw_retry_decision bw_retry_hedge(struct bw_retry *retry,
				      const struct bw_retry_attempt *attempt,
				      uint64_t waited_us, struct bw_time now);

/**
 * Adds the state to a dump.
 * @param into JSON object that receives the members
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_retry_dump(const struct bw_retry *retry, json_t *into);

#endif

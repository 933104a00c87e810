#include "bwsteer/retry.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define MILLI 1000 /* millitokens per token, milliseconds per second */
#define LATENCY_MIN_US 64
#define LATENCY_BUCKETS_PER_DOUBLING 8
#define LATENCY_MIN_BIT 6 /* log2 of LATENCY_MIN_US */

/** Total count at which all counts are halved, so that old latencies decay. */
#define LATENCY_DECAY_COUNT 2048

/** Latencies needed to estimate the 95th percentile. */
#define HEDGE_MIN_COUNT 40

static struct bw_retry_budget *budget_(const struct bw_retry *retry,
				       uint32_t service, uint32_t rank);
static void refill_tokens_(const struct bw_retry *retry,
			   struct bw_retry_budget *budget, struct bw_time now);
static bool take_token_(const struct bw_retry *retry,
			struct bw_retry_budget *budget, struct bw_time now);
static enum bw_retry_decision deny_(struct bw_retry_budget *budget,
				    enum bw_retry_decision decision);
static uint32_t backoff_delay_ms_(const struct bw_retry_config *config,
				  uint32_t attempts, struct bw_random *random);
static uint32_t latency_bucket_(uint64_t latency_us);
static uint64_t latency_bucket_end_us_(uint32_t bucket);

const char *const bw_retry_decision_string[BW_RETRY_DECISION_COUNT] = {
	[BW_RETRY_ALLOWED] = "allowed",
	[BW_RETRY_MAY_HAVE_RUN] = "may_have_run",
	[BW_RETRY_ATTEMPTS] = "attempts",
	[BW_RETRY_DEADLINE] = "deadline",
	[BW_RETRY_BUDGET] = "budget",
};

void bw_retry_config_default(struct bw_retry_config *config)
{
	memset(config, 0, sizeof(*config));
	config->services_max = 64;
	config->retry_ratio_percent = 10;
	config->min_retries_per_s = 3;
	config->burst = 20;
	config->attempts_max = 3;
	config->backoff_base_ms = 10;
	config->backoff_max_ms = 1000;
}

enum bw_status bw_retry_init(struct bw_retry *retry,
			     const struct bw_retry_config *config,
			     struct bw_time now)
{
	size_t count = (size_t)config->services_max * BW_SHEET_RANKS_MAX;
	size_t i;

	memset(retry, 0, sizeof(*retry));
	if (!config->services_max || !config->burst || !config->attempts_max ||
	    !config->backoff_base_ms ||
	    config->backoff_max_ms < config->backoff_base_ms)
		return BW_EINVAL;
	retry->config = *config;
	retry->budgets = calloc(count, sizeof(retry->budgets[0]));
	if (!retry->budgets)
		return BW_ENOMEM;
	for (i = 0; i < count; i++) {
		retry->budgets[i].refilled_at = now;
		retry->budgets[i].millitokens =
			(uint64_t)config->min_retries_per_s * MILLI;
	}
	return BW_OK;
}

void bw_retry_finish(struct bw_retry *retry)
{
	free(retry->budgets);
	retry->budgets = NULL;
}

void bw_retry_record_first_attempt(struct bw_retry *retry, uint32_t service,
				   uint32_t rank)
{
	struct bw_retry_budget *budget = budget_(retry, service, rank);
	uint64_t max_millitokens = (uint64_t)retry->config.burst * MILLI;

	budget->first_attempt_count++;
	budget->millitokens +=
		(uint64_t)retry->config.retry_ratio_percent * MILLI / 100;
	if (budget->millitokens > max_millitokens)
		budget->millitokens = max_millitokens;
}

enum bw_retry_decision bw_retry_decide(struct bw_retry *retry,
				       const struct bw_retry_attempt *attempt,
				       struct bw_time now,
				       struct bw_random *random,
				       uint32_t *delay_ms)
{
	struct bw_retry_budget *budget =
		budget_(retry, attempt->service, attempt->rank);
	uint32_t delay;

	*delay_ms = 0;
	if (!attempt->idempotent && !attempt->not_run)
		return deny_(budget, BW_RETRY_MAY_HAVE_RUN);
	if (attempt->attempts >= retry->config.attempts_max)
		return deny_(budget, BW_RETRY_ATTEMPTS);
	delay = backoff_delay_ms_(&retry->config, attempt->attempts, random);
	if (bw_time_reached(bw_time_add(now, delay), attempt->deadline))
		return deny_(budget, BW_RETRY_DEADLINE);
	if (!take_token_(retry, budget, now))
		return deny_(budget, BW_RETRY_BUDGET);
	*delay_ms = delay;
	budget->allowed_count++;
	return BW_RETRY_ALLOWED;
}

void bw_retry_record_latency(struct bw_retry *retry, uint32_t service,
			     uint32_t rank, uint64_t latency_us)
{
	struct bw_retry_budget *budget = budget_(retry, service, rank);
	uint32_t i;

	budget->latency[latency_bucket_(latency_us)]++;
	budget->latency_count++;
	if (budget->latency_count < LATENCY_DECAY_COUNT)
		return;
	budget->latency_count = 0;
	for (i = 0; i < BW_RETRY_LATENCY_BUCKETS; i++) {
		budget->latency[i] /= 2;
		budget->latency_count += budget->latency[i];
	}
}

uint64_t bw_retry_hedge_delay_us(const struct bw_retry *retry, uint32_t service,
				 uint32_t rank)
{
	const struct bw_retry_budget *budget = budget_(retry, service, rank);
	uint32_t cumulative_count = 0;
	uint32_t i;

	if (budget->latency_count < HEDGE_MIN_COUNT)
		return UINT64_MAX;
	for (i = 0; i < BW_RETRY_LATENCY_BUCKETS; i++) {
		cumulative_count += budget->latency[i];
		if ((uint64_t)cumulative_count * 100 >=
		    (uint64_t)budget->latency_count * 95)
			return latency_bucket_end_us_(i);
	}
	return UINT64_MAX;
}

enum bw_retry_decision bw_retry_hedge(struct bw_retry *retry,
				      const struct bw_retry_attempt *attempt,
				      uint64_t waited_us, struct bw_time now)
{
	struct bw_retry_budget *budget =
		budget_(retry, attempt->service, attempt->rank);
	uint64_t hedge_delay_us =
		bw_retry_hedge_delay_us(retry, attempt->service, attempt->rank);

	if (!attempt->idempotent)
		return deny_(budget, BW_RETRY_MAY_HAVE_RUN);
	if (attempt->attempts >= retry->config.attempts_max)
		return deny_(budget, BW_RETRY_ATTEMPTS);
	if (waited_us < hedge_delay_us ||
	    bw_time_reached(now, attempt->deadline))
		return deny_(budget, BW_RETRY_DEADLINE);
	if (!take_token_(retry, budget, now))
		return deny_(budget, BW_RETRY_BUDGET);
	budget->hedged_count++;
	return BW_RETRY_ALLOWED;
}

enum bw_status bw_retry_dump(const struct bw_retry *retry, json_t *into)
{
	json_t *list = json_array();
	const struct bw_retry_budget *budget;
	uint32_t count = retry->config.services_max * BW_SHEET_RANKS_MAX;
	uint32_t i;

	if (!list)
		return BW_ENOMEM;
	for (i = 0; i < count; i++) {
		budget = &retry->budgets[i];
		if (!budget->first_attempt_count)
			continue;
		if (json_array_append_new(
			    list,
			    json_pack(
				    "{s:i,s:i,s:I,s:I,s:I,s:I,s:I}", "service",
				    (int)(i / BW_SHEET_RANKS_MAX), "rank",
				    (int)(i % BW_SHEET_RANKS_MAX),
				    "millitokens",
				    (json_int_t)budget->millitokens, "first",
				    (json_int_t)budget->first_attempt_count,
				    "retried",
				    (json_int_t)budget->allowed_count, "hedged",
				    (json_int_t)budget->hedged_count,
				    "denied_by_budget",
				    (json_int_t)budget
					    ->denied_count[BW_RETRY_BUDGET]))) {
			json_decref(list);
			return BW_ENOMEM;
		}
	}
	return json_object_set_new(into, "budgets", list) ? BW_ENOMEM : BW_OK;
}

static struct bw_retry_budget *budget_(const struct bw_retry *retry,
				       uint32_t service, uint32_t rank)
{
	assert(service < retry->config.services_max);
	assert(rank < BW_SHEET_RANKS_MAX);
	return &retry->budgets[(size_t)service * BW_SHEET_RANKS_MAX + rank];
}

static void refill_tokens_(const struct bw_retry *retry,
			   struct bw_retry_budget *budget, struct bw_time now)
{
	/* The minimum rate refills only up to the tokens of one second, so that
	 * it does not add to the retry ratio under traffic. */
	uint64_t max_millitokens =
		(uint64_t)retry->config.min_retries_per_s * MILLI;
	int64_t elapsed_ms = bw_time_diff_ms(now, budget->refilled_at);
	uint64_t added;

	if (elapsed_ms <= 0)
		return;
	budget->refilled_at = now;
	if (budget->millitokens >= max_millitokens)
		return;
	added = elapsed_ms >= MILLI ? max_millitokens
				    : (uint64_t)elapsed_ms *
					      retry->config.min_retries_per_s;
	budget->millitokens += added;
	if (budget->millitokens > max_millitokens)
		budget->millitokens = max_millitokens;
}

static bool take_token_(const struct bw_retry *retry,
			struct bw_retry_budget *budget, struct bw_time now)
{
	refill_tokens_(retry, budget, now);
	if (budget->millitokens < MILLI)
		return false;
	budget->millitokens -= MILLI;
	return true;
}

static enum bw_retry_decision deny_(struct bw_retry_budget *budget,
				    enum bw_retry_decision decision)
{
	budget->denied_count[decision]++;
	return decision;
}

static uint32_t backoff_delay_ms_(const struct bw_retry_config *config,
				  uint32_t attempts, struct bw_random *random)
{
	uint64_t bound = config->backoff_base_ms;
	uint32_t i;

	for (i = 1; i < attempts && bound < config->backoff_max_ms; i++)
		bound *= 2;
	if (bound > config->backoff_max_ms)
		bound = config->backoff_max_ms;
	/* Jitter takes at most half, so that no retry follows at once. */
	return (uint32_t)(bound / 2 +
			  bw_random_below(random, bound - bound / 2 + 1));
}

static uint32_t latency_bucket_(uint64_t latency_us)
{
	uint32_t bit;
	uint32_t bucket;

	if (latency_us < LATENCY_MIN_US)
		return 0;
	bit = 63 - (uint32_t)__builtin_clzll(latency_us);
	bucket = (bit - LATENCY_MIN_BIT) * LATENCY_BUCKETS_PER_DOUBLING +
		 ((latency_us >> (bit - 3)) &
		  (LATENCY_BUCKETS_PER_DOUBLING - 1));
	return bucket < BW_RETRY_LATENCY_BUCKETS ? bucket
						 : BW_RETRY_LATENCY_BUCKETS - 1;
}

static uint64_t latency_bucket_end_us_(uint32_t bucket)
{
	uint32_t bit = LATENCY_MIN_BIT + bucket / LATENCY_BUCKETS_PER_DOUBLING;
	uint64_t step = 1ULL << (bit - 3);

	return (1ULL << bit) +
	       (bucket % LATENCY_BUCKETS_PER_DOUBLING + 1) * step;
}

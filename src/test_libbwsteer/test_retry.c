#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "bwsteer/retry.h"

static struct bw_retry retry_;
static struct bw_random random_;
static struct bw_time now_;

static int setup_(void **state)
{
	struct bw_retry_config config;

	(void)state;
	now_ = (struct bw_time){ 1000 };
	bw_random_init(&random_, 1);
	bw_retry_config_default(&config);
	config.services_max = 2;
	return bw_retry_init(&retry_, &config, now_) != BW_OK;
}

static int teardown_(void **state)
{
	(void)state;
	bw_retry_finish(&retry_);
	return 0;
}

static enum bw_retry_decision decide_(uint32_t attempts, bool idempotent,
				      bool not_run, int64_t deadline_ms,
				      uint32_t *delay_ms)
{
	struct bw_retry_attempt attempt = { 0,		0,	 attempts,
					    idempotent, not_run, { 0 } };

	attempt.deadline = bw_time_add(now_, deadline_ms);
	return bw_retry_decide(&retry_, &attempt, now_, &random_, delay_ms);
}

/* Guards against a second run of work that may have run, and against retries
 * that no longer help. */
static void test_rules(void **state)
{
	uint32_t delay;

	(void)state;
	assert_int_equal(decide_(1, false, false, 1000, &delay),
			 BW_RETRY_MAY_HAVE_RUN);
	assert_int_equal(decide_(1, false, true, 1000, &delay),
			 BW_RETRY_ALLOWED);
	assert_int_equal(decide_(2, true, false, 1000, &delay),
			 BW_RETRY_ALLOWED);
	assert_in_range(delay, 10, 20);
	assert_int_equal(decide_(3, true, true, 1000, &delay),
			 BW_RETRY_ATTEMPTS);
	assert_int_equal(decide_(1, true, true, 5, &delay), BW_RETRY_DEADLINE);
	assert_int_equal(decide_(1, true, true, 0, &delay), BW_RETRY_DEADLINE);
}

/* Guards against retries that multiply the load of an outage. */
static void test_budget(void **state)
{
	uint32_t allowed = 0;
	uint32_t delay;
	uint32_t i;

	(void)state;
	for (i = 0; i < 10000; i++) {
		now_.ms += 1;
		bw_retry_record_first_attempt(&retry_, 0, 0);
		allowed += decide_(1, true, true, 1000, &delay) ==
			   BW_RETRY_ALLOWED;
	}
	/* 10 % of 10,000, and the floor of 3 a second over 10 s. */
	assert_in_range(allowed, 1000, 1000 + 3 * 10 + 3);
	/* The floor alone, after a pause without traffic. */
	allowed = 0;
	for (i = 0; i < 10000; i++) {
		now_.ms += 1;
		allowed += decide_(1, true, true, 1000, &delay) ==
			   BW_RETRY_ALLOWED;
	}
	assert_in_range(allowed, 29, 33);
	/* Ranks do not spend each other's budget. */
	assert_int_equal(retry_.budgets[1].millitokens, 3000);
}

/* Guards against hedging of most requests, or of work with effects. */
static void test_hedge(void **state)
{
	struct bw_retry_attempt attempt = { 1, 1, 1, true, false, { 9000 } };
	uint64_t after_us;
	uint32_t i;

	(void)state;
	assert_true(bw_retry_hedge_delay_us(&retry_, 1, 1) == UINT64_MAX);
	for (i = 0; i < 1000; i++)
		bw_retry_record_latency(&retry_, 1, 1,
					i % 100 < 94 ? 8000 : 90000);
	after_us = bw_retry_hedge_delay_us(&retry_, 1, 1);
	assert_in_range(after_us, 90000, 100000);
	for (i = 0; i < 1000; i++)
		bw_retry_record_latency(&retry_, 1, 1, 8000);
	after_us = bw_retry_hedge_delay_us(&retry_, 1, 1);
	assert_in_range(after_us, 8000, 9300);
	assert_int_equal(bw_retry_hedge(&retry_, &attempt, after_us - 1, now_),
			 BW_RETRY_DEADLINE);
	for (i = 0; i < 3; i++)
		assert_int_equal(bw_retry_hedge(&retry_, &attempt, after_us,
						now_),
				 BW_RETRY_ALLOWED);
	assert_int_equal(bw_retry_hedge(&retry_, &attempt, after_us, now_),
			 BW_RETRY_BUDGET);
	attempt.idempotent = false;
	assert_int_equal(bw_retry_hedge(&retry_, &attempt, after_us, now_),
			 BW_RETRY_MAY_HAVE_RUN);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_rules, setup_, teardown_),
		cmocka_unit_test_setup_teardown(test_budget, setup_, teardown_),
		cmocka_unit_test_setup_teardown(test_hedge, setup_, teardown_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

/*
 * Guards against expected times that a few long runs spoil, that stay at those
 * of cold runs, or that mix up routes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "bwwork/work.h"

#define KEY 77
#define WARM_MS 450.0
#define COLD_MS 1500.0

static struct bw_work_estimate expect_(const struct bw_work *work, uint64_t key,
				       enum bw_familiarity familiarity)
{
	struct bw_work_estimate estimate;

	bw_work_expect(work, key, familiarity, &estimate);
	return estimate;
}

/* 3 in 100 runs take seven times as long. */
static void test_long_tail(void **state)
{
	struct bw_work_estimate estimate;
	struct bw_work work;
	int i;

	(void)state;
	bw_work_init(&work);
	for (i = 0; i < 400; i++)
		bw_work_record(&work, KEY, BW_FAMILIARITY_HOME,
			       i % 33 ? WARM_MS : 7.0 * WARM_MS);
	estimate = expect_(&work, KEY, BW_FAMILIARITY_HOME);
	assert_true(estimate.usual_ms < 1.25 * WARM_MS);
	assert_true(estimate.high_ms >= estimate.usual_ms);
	assert_true(estimate.high_ms < 3.0 * WARM_MS);
}

/* Objects that were loaded are expected to be known soon. */
static void test_cold_start(void **state)
{
	struct bw_work work;
	int i;

	(void)state;
	bw_work_init(&work);
	for (i = 0; i < 20; i++)
		bw_work_record(&work, KEY, BW_FAMILIARITY_HOME, COLD_MS);
	for (i = 0; i < 40; i++)
		bw_work_record(&work, KEY, BW_FAMILIARITY_HOME, WARM_MS);
	assert_true(expect_(&work, KEY, BW_FAMILIARITY_HOME).usual_ms <
		    1.2 * WARM_MS);
}

static void test_unknown(void **state)
{
	struct bw_work work;

	(void)state;
	bw_work_init(&work);
	assert_true(expect_(&work, KEY, BW_FAMILIARITY_HOME).usual_ms == 0.0);
	bw_work_record(&work, KEY, BW_FAMILIARITY_NONE, COLD_MS);
	/* A colder run is the careful estimate. */
	assert_true(expect_(&work, KEY, BW_FAMILIARITY_HOME).usual_ms >
		    COLD_MS - 1.0);
	/* A route with the same index starts anew. */
	bw_work_record(&work, KEY + BW_WORK_ENTRIES, BW_FAMILIARITY_HOME,
		       WARM_MS);
	assert_true(expect_(&work, KEY, BW_FAMILIARITY_HOME).usual_ms == 0.0);
}

/* Nobody waits while a slot is free; nine slots end nine runs at a time. */
static void test_wait(void **state)
{
	(void)state;
	assert_true(bw_work_wait_ms(8.0, 9, 450.0) == 0.0);
	assert_true(bw_work_wait_ms(17.0, 9, 450.0) == 450.0);
	assert_true(bw_work_wait_ms(5.0, 0, 450.0) == 0.0);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_long_tail),
		cmocka_unit_test(test_cold_start),
		cmocka_unit_test(test_unknown),
		cmocka_unit_test(test_wait),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

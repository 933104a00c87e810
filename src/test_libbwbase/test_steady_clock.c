#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "bwbase/clock.h"
#include "stepped_clock.h"

#define STEP_S 30

/* Guards against a lease that a step of the wall clock prolongs or ends. */
static void test_wall_step(void **state)
{
	struct bw_time before;
	struct bw_clock clock;

	(void)state;
	bw_clock_init_monotonic(&clock);
	before = bw_clock_now(&clock);
	wall_step_s = -STEP_S;
	assert_in_range(bw_time_diff_ms(bw_clock_now(&clock), before), 0,
			STEP_S * 500);
	wall_step_s = STEP_S;
	assert_in_range(bw_time_diff_ms(bw_clock_now(&clock), before), 0,
			STEP_S * 500);
	wall_step_s = 0;
}

/* Guards against a lease that outlives a suspension of its holder. */
static void test_suspension(void **state)
{
	struct bw_time before;
	struct bw_clock clock;
	uint64_t before_us;

	(void)state;
	bw_clock_init_monotonic(&clock);
	before = bw_clock_now(&clock);
	before_us = bw_clock_us();
	suspended_s = STEP_S;
	assert_true(bw_time_diff_ms(bw_clock_now(&clock), before) >=
		    STEP_S * 1000);
	assert_true(bw_clock_us() - before_us >= STEP_S * 1000000);
	suspended_s = 0;
}

/* Guards against a time of 0 that isn't long ago on a host just booted. */
static void test_origin(void **state)
{
	const struct bw_time never = { 0 };
	struct bw_clock clock;

	(void)state;
	bw_clock_init_monotonic(&clock);
	suspended_s = -(time_t)(bw_clock_us() / 1000000);
	assert_true(bw_time_diff_ms(bw_clock_now(&clock), never) > 3600000);
	suspended_s = 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_wall_step),
		cmocka_unit_test(test_suspension),
		cmocka_unit_test(test_origin),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

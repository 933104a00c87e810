#include <string.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "bwproxy/loop_clock.h"
#include "harness.h"

#define STEP_S 30

/** Step of the wall clock, and time for which the host was suspended. */
static time_t wall_step_s;
static time_t suspended_s;

/* Replaces the function of the C library, also for the event loop. */
int clock_gettime(clockid_t clock, struct timespec *time)
{
	long result = syscall(SYS_clock_gettime, clock, time);

	if (clock == CLOCK_REALTIME)
		time->tv_sec += wall_step_s + suspended_s;
	if (clock == CLOCK_BOOTTIME)
		time->tv_sec += suspended_s;
	return (int)result;
}

/* libev reads the wall clock with one or the other. */
int gettimeofday(struct timeval *restrict time, void *restrict zone)
{
	struct timespec now;
	int result = clock_gettime(CLOCK_REALTIME, &now);

	(void)zone;
	time->tv_sec = now.tv_sec;
	time->tv_usec = now.tv_nsec / 1000;
	return result;
}

static int reset_(void **state)
{
	(void)state;
	wall_step_s = 0;
	suspended_s = 0;
	return 0;
}

/* Guards against deadlines and leases that follow the wall clock. */
static void test_wall_step(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_loop_clock clock;
	struct bw_time before;

	(void)state;
	bw_loop_clock_init(&clock, loop);
	before = bw_loop_clock_now(&clock);
	wall_step_s = -STEP_S;
	spin_once(loop);
	assert_in_range(bw_time_diff_ms(bw_loop_clock_now(&clock), before), 0,
			STEP_S * 500);
	wall_step_s = STEP_S;
	spin_once(loop);
	assert_in_range(bw_time_diff_ms(bw_loop_clock_now(&clock), before), 0,
			STEP_S * 500);
	ev_loop_destroy(loop);
}

/* Guards against a clock that is late, or that moves within an iteration. */
static void test_iteration(void **state)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct bw_loop_clock clock;
	struct bw_time before;

	(void)state;
	bw_loop_clock_init(&clock, loop);
	before = bw_loop_clock_now(&clock);
	suspended_s = STEP_S;
	assert_int_equal(bw_loop_clock_now(&clock).ms, before.ms);
	spin_once(loop);
	assert_true(bw_time_diff_ms(bw_loop_clock_now(&clock), before) >=
		    STEP_S * 1000);
	before = bw_loop_clock_now(&clock);
	suspended_s = 2 * STEP_S;
	assert_int_equal(bw_loop_clock_now(&clock).ms, before.ms);
	assert_true(bw_time_diff_ms(bw_loop_clock_refresh(&clock), before) >=
		    STEP_S * 1000);
	assert_true(bw_time_diff_ms(bw_loop_clock_now(&clock), before) >=
		    STEP_S * 1000);
	ev_loop_destroy(loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup(test_wall_step, reset_),
		cmocka_unit_test_setup(test_iteration, reset_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}

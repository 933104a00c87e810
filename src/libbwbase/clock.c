#include "bwbase/clock.h"

#include <assert.h>
#include <time.h>

/**
 * Added to the time since the host was booted. The time 0 is thus long ago,
 * also right after the boot, and means "never" where a time is not set.
 */
#define ORIGIN_MS (24LL * 60 * 60 * 1000)

void bw_clock_init_monotonic(struct bw_clock *clock)
{
	clock->kind = BW_CLOCK_MONOTONIC;
	clock->u.manual.ms = 0;
}

void bw_clock_init_manual(struct bw_clock *clock, struct bw_time start)
{
	clock->kind = BW_CLOCK_MANUAL;
	clock->u.manual = start;
}

void bw_clock_advance(struct bw_clock *clock, int64_t step_ms)
{
	assert(clock->kind == BW_CLOCK_MANUAL);
	assert(step_ms >= 0);
	clock->u.manual.ms += step_ms;
}

struct bw_time bw_clock_now(const struct bw_clock *clock)
{
	struct bw_time now = { 0 };

	switch (clock->kind) {
	case BW_CLOCK_MONOTONIC:
		now.ms = ORIGIN_MS + (int64_t)(bw_clock_us() / 1000);
		break;
	case BW_CLOCK_MANUAL:
		now = clock->u.manual;
		break;
	}
	return now;
}

struct bw_time bw_time_add(struct bw_time t, int64_t ms)
{
	t.ms += ms;
	return t;
}

int64_t bw_time_diff_ms(struct bw_time later, struct bw_time earlier)
{
	return later.ms - earlier.ms;
}

bool bw_time_reached(struct bw_time now, struct bw_time deadline)
{
	return now.ms >= deadline.ms;
}

uint64_t bw_clock_us(void)
{
	struct timespec ts;

	/* CLOCK_MONOTONIC stands still while the host is suspended. */
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

int64_t bw_wall_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

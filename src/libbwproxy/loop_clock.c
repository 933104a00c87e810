#include "bwproxy/loop_clock.h"

void bw_loop_clock_init(struct bw_loop_clock *clock, struct ev_loop *loop)
{
	clock->loop = loop;
	bw_clock_init_monotonic(&clock->clock);
	bw_loop_clock_refresh(clock);
}

struct bw_time bw_loop_clock_now(struct bw_loop_clock *clock)
{
	/* The number of the iteration grows before each wait. */
	if (clock->iteration != ev_iteration(clock->loop))
		bw_loop_clock_refresh(clock);
	return clock->now;
}

struct bw_time bw_loop_clock_refresh(struct bw_loop_clock *clock)
{
	clock->iteration = ev_iteration(clock->loop);
	clock->now = bw_clock_now(&clock->clock);
	return clock->now;
}

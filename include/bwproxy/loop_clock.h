/**
 * @file
 * Time of an event loop that steps of the wall clock don't change. ev_now, by
 * contrast, follows the wall clock.
 */
#ifndef BWPROXY_LOOP_CLOCK_H
#define BWPROXY_LOOP_CLOCK_H

#include <stdbool.h>

#include <ev.h>

#include "bwbase/clock.h"

/** Reads the clock once per iteration of a loop. */
struct bw_loop_clock {
	struct ev_loop *loop;
	struct bw_clock clock;
	unsigned int iteration; /**< in which the time was read */
	struct bw_time now;
};

/** Initialises a clock of a loop, and reads the time. */
void bw_loop_clock_init(struct bw_loop_clock *clock, struct ev_loop *loop);

/**
 * Returns the time at which the clock was first read after the last wait of
 * the loop. It is the same for the rest of the iteration unless refreshed.
 */
struct bw_time bw_loop_clock_now(struct bw_loop_clock *clock);

/**
 * Reads the time again, for decisions on which the length of the iteration so
 * far must have no influence. Never goes back.
 */
struct bw_time bw_loop_clock_refresh(struct bw_loop_clock *clock);

#endif

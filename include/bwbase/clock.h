/**
 * @file
 * Millisecond time points and the clocks that produce them.
 */
#ifndef BWBASE_CLOCK_H
#define BWBASE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/**
 * A point in monotonic time, in milliseconds since an arbitrary origin that is
 * at least a day before any time of a monotonic clock.
 */
struct bw_time {
	int64_t ms;
};

/** Kinds of clock. */
enum bw_clock_kind {
	BW_CLOCK_MONOTONIC, /**< the kernel's clock that never steps and counts
				 the time for which the host is suspended */
	BW_CLOCK_MANUAL /**< advanced by the caller, for tests */
};

/** A clock; the kind selects which member of u is in use. */
struct bw_clock {
	enum bw_clock_kind kind;
	union {
		struct bw_time manual; /**< BW_CLOCK_MANUAL: current time */
	} u;
};

/** Initialises a clock that reads the kernel's monotonic clock. */
void bw_clock_init_monotonic(struct bw_clock *clock);

/** Initialises a manual clock to the time start. */
void bw_clock_init_manual(struct bw_clock *clock, struct bw_time start);

/**
 * Advances a manual clock.
 * @param clock a clock of kind BW_CLOCK_MANUAL
 * @param step_ms step in milliseconds, not negative
 */
void bw_clock_advance(struct bw_clock *clock, int64_t step_ms);

/** Returns the current time of the clock. */
struct bw_time bw_clock_now(const struct bw_clock *clock);

/** Returns t plus ms milliseconds. */
struct bw_time bw_time_add(struct bw_time t, int64_t ms);

/** Returns the milliseconds from earlier to later; negative if reversed. */
int64_t bw_time_diff_ms(struct bw_time later, struct bw_time earlier);

/** Returns whether deadline has been reached at now. */
bool bw_time_reached(struct bw_time now, struct bw_time deadline);

/** Returns the monotonic time in microseconds, for latency measurement. */
uint64_t bw_clock_us(void);

/** Returns the wall clock in milliseconds since 1970-01-01 UTC. */
int64_t bw_wall_ms(void);

#endif

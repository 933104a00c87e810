/**
 * @file
 * Clock of the host that a test steps. Linked into a test, it replaces
 * functions of the C library, also for the event loop.
 */
#ifndef SHARE_STEPPED_CLOCK_H
#define SHARE_STEPPED_CLOCK_H

#include <time.h>

/** Step of the wall clock. */
extern time_t wall_step_s;

/** Time for which the host was suspended. */
extern time_t suspended_s;

#endif

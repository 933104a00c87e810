#include "stepped_clock.h"

#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

time_t wall_step_s;
time_t suspended_s;

/* Replaces the function of the C library. */
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

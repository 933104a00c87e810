/*
 * Preloaded into a process to give its host a slow link or a stepped wall
 * clock.
 *
 * HOST_LINK_BYTES_PER_S  limits what threads other than the first one receive,
 *                        that is, the traffic between hosts
 * HOST_CLOCK_STEP_FILE   holds the step of the wall clock in ms
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

/** Largest read of a limited thread; two packets of a usual link. */
#define READ_MAX_BYTES 3000

static long long step_ms_(void)
{
	const char *path = getenv("HOST_CLOCK_STEP_FILE");
	long long step_ms = 0;
	FILE *file = path ? fopen(path, "r") : NULL;

	if (!file)
		return 0;
	if (fscanf(file, "%lld", &step_ms) != 1)
		step_ms = 0;
	fclose(file);
	return step_ms;
}

ssize_t recv(int fd, void *data, size_t size_bytes, int flags)
{
	static ssize_t (*next)(int, void *, size_t, int);
	const char *rate = getenv("HOST_LINK_BYTES_PER_S");
	double bytes_per_s = rate ? atof(rate) : 0;
	ssize_t received;

	if (!next)
		*(void **)&next = dlsym(RTLD_NEXT, "recv");
	if (!bytes_per_s || syscall(SYS_gettid) == getpid())
		return next(fd, data, size_bytes, flags);
	if (size_bytes > READ_MAX_BYTES)
		size_bytes = READ_MAX_BYTES;
	received = next(fd, data, size_bytes, flags);
	if (received > 0)
		usleep((useconds_t)(1e6 * (double)received / bytes_per_s));
	return received;
}

int clock_gettime(clockid_t id, struct timespec *now)
{
	int result = (int)syscall(SYS_clock_gettime, id, now);
	long long ns;

	if (result || id != CLOCK_REALTIME)
		return result;
	ns = now->tv_sec * 1000000000LL + now->tv_nsec + step_ms_() * 1000000LL;
	now->tv_sec = ns / 1000000000LL;
	now->tv_nsec = ns % 1000000000LL;
	return 0;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
	struct timespec precise;

	(void)zone;
	if (clock_gettime(CLOCK_REALTIME, &precise))
		return -1;
	now->tv_sec = precise.tv_sec;
	now->tv_usec = precise.tv_nsec / 1000;
	return 0;
}

/*
 * Preloaded into a process to give its host a slow link, a stepped wall clock,
 * or to cut it off from others.
 *
 * HOST_LINK_BYTES_PER_S  limits what threads other than the first one receive,
 *                        that is, the traffic between hosts
 * HOST_CLOCK_STEP_FILE   holds the step of the wall clock in ms
 * HOST_CUT_FILE          lists IPv4 addresses, one a line; connections with
 * them fail in both directions
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
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

static int is_cut_(const struct sockaddr *address)
{
	const char *path = getenv("HOST_CUT_FILE");
	char line[INET_ADDRSTRLEN + 1];
	char text[INET_ADDRSTRLEN];
	int found = 0;
	FILE *file;

	if (!path || address->sa_family != AF_INET)
		return 0;
	file = fopen(path, "r");
	if (!file)
		return 0;
	inet_ntop(AF_INET, &((const struct sockaddr_in *)address)->sin_addr,
		  text, sizeof(text));
	while (!found && fgets(line, sizeof(line), file)) {
		line[strcspn(line, "\n")] = '\0';
		found = !strcmp(line, text);
	}
	fclose(file);
	return found;
}

static int is_peer_cut_(int fd)
{
	struct sockaddr_storage address;
	socklen_t size_bytes = sizeof(address);

	if (!getenv("HOST_CUT_FILE") ||
	    getpeername(fd, (struct sockaddr *)&address, &size_bytes))
		return 0;
	return is_cut_((const struct sockaddr *)&address);
}

int connect(int fd, const struct sockaddr *address, socklen_t size_bytes)
{
	static int (*next)(int, const struct sockaddr *, socklen_t);

	if (!next)
		*(void **)&next = dlsym(RTLD_NEXT, "connect");
	if (!is_cut_(address))
		return next(fd, address, size_bytes);
	errno = ECONNREFUSED;
	return -1;
}

ssize_t send(int fd, const void *data, size_t size_bytes, int flags)
{
	static ssize_t (*next)(int, const void *, size_t, int);

	if (!next)
		*(void **)&next = dlsym(RTLD_NEXT, "send");
	if (!is_peer_cut_(fd))
		return next(fd, data, size_bytes, flags);
	errno = ECONNRESET;
	return -1;
}

ssize_t recv(int fd, void *data, size_t size_bytes, int flags)
{
	static ssize_t (*next)(int, void *, size_t, int);
	const char *rate = getenv("HOST_LINK_BYTES_PER_S");
	double bytes_per_s = rate ? atof(rate) : 0;
	ssize_t received;

	if (!next)
		*(void **)&next = dlsym(RTLD_NEXT, "recv");
	if (is_peer_cut_(fd)) {
		errno = ECONNRESET;
		return -1;
	}
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

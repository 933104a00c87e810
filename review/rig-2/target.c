/*
 * Stand-in of a target: serves one service, and announces itself to the control
 * hosts. Each request takes WORK_MS; its answer has BODY_BYTES and is signed.
 * Writes a line to standard output when it begins to run a request.
 *
 * use: target ADDRESS ID SERVICE ZONE SLOTS WORK_MS BODY_BYTES COLD_MS
 * CONTROL...
 *
 * COLD_MS: time for which it is cold after its start
 *
 * It keeps one connection for its heartbeats. On SIGTERM it sends a leave
 * there, then to the other control hosts, and ends DRAIN_MS after the
 * acknowledgement, or UNACKNOWLEDGED_MS after the first try.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#include "net.h"

#define BEAT_INTERVAL_MS 1500
#define DRAIN_MS 2500
#define UNACKNOWLEDGED_MS 3500
#define BLOCK_BYTES 16384

static const char *address;
static const char *id;
static const char *service;
static const char *zone;
static int slots;
static int64_t work_ms;
static uint64_t body_bytes;
static int64_t cold_ms;
static char **controls;
static int control_count;
static int next; /* control host for the next call */
static volatile sig_atomic_t leaves;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int running;

/* @return whether the call was acknowledged; the connection is kept if so */
static bool call_control(struct net *net, const char *path, const char *body)
{
	char location[512];

	if (net->fd < 0 && !net_connect(net, controls[next], 0))
		return false;
	if (net_call_on(net, "POST", path, body, location, sizeof(location)) /
		    100 ==
	    2)
		return true;
	net_close(net);
	return false;
}

static void leave(struct net *net)
{
	int64_t began_ms = net_now_ms();
	char path[256];
	int tries = 0;

	snprintf(path, sizeof(path), "/-/instances/%s/leave", id);
	printf("%lld target %s sends its leave\n", (long long)began_ms, id);
	while (tries++ < control_count) {
		if (call_control(net, path, NULL)) {
			printf("%lld target %s: the leave is acknowledged\n",
			       (long long)net_now_ms(), id);
			net_sleep_ms(DRAIN_MS);
			break;
		}
		next = (next + 1) % control_count;
	}
	if (tries > control_count)
		net_sleep_ms(began_ms + UNACKNOWLEDGED_MS - net_now_ms());
	printf("%lld target %s ends\n", (long long)net_now_ms(), id);
	exit(0);
}

static void *announce(void *context)
{
	int64_t born_ms = (int64_t)time(NULL) * 1000;
	int64_t warm_at_ms = net_now_ms() + cold_ms;
	static struct net net = { .fd = -1 };
	int sequence = 0;
	int wait_ms;
	char path[256];
	char body[1024];

	(void)context;
	snprintf(path, sizeof(path), "/-/instances/%s/heartbeat", id);
	for (;;) {
		int tries = 0;

		snprintf(body, sizeof(body),
			 "{\"address\":\"%s\",\"born\":%lld,\"info\":"
			 "{\"service\":\"%s\",\"version\":\"v1\",\"zone\":"
			 "\"%s\",\"slots\":%d},\"status\":{\"state\":\"ready\","
			 "\"seq\":%d,\"coldLeftS\":%.3f}}",
			 address, (long long)born_ms, service, zone, slots,
			 ++sequence,
			 net_now_ms() < warm_at_ms
				 ? (double)(warm_at_ms - net_now_ms()) / 1000.0
				 : 0.0);
		while (!leaves && !call_control(&net, path, body) &&
		       ++tries < control_count)
			next = (next + 1) % control_count;
		if (sequence == 1)
			printf("%lld target %s has announced itself\n",
			       (long long)net_now_ms(), id);
		for (wait_ms = 0; !leaves && wait_ms < BEAT_INTERVAL_MS;
		     wait_ms += 50)
			net_sleep_ms(50);
		if (leaves)
			leave(&net);
	}
	return NULL;
}

static void on_terminate(int number)
{
	(void)number;
	leaves = 1;
}

/* @return whether a slot was free */
static bool take_slot(void)
{
	bool taken;

	pthread_mutex_lock(&lock);
	taken = running < slots;
	running += taken;
	pthread_mutex_unlock(&lock);
	return taken;
}

static void release_slot(void)
{
	pthread_mutex_lock(&lock);
	running--;
	pthread_mutex_unlock(&lock);
}

static bool reject(struct net *net, int code, const char *request)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %d Rejected\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
		 "Content-Length: 0\r\n\r\n",
		 code, request);
	return net_write(net, text, strlen(text));
}

static bool run(struct net *net, const char *request)
{
	static char block[BLOCK_BYTES];
	uint64_t left = body_bytes;
	char text[512];

	printf("%lld target %s runs %s\n", (long long)net_now_ms(), id,
	       request);
	net_sleep_ms(work_ms);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Stamp: %s.%s"
		 "\r\nContent-Length: %llu\r\n\r\n",
		 request, id, request, (unsigned long long)body_bytes);
	if (!net_write(net, text, strlen(text)))
		return false;
	while (left) {
		size_t part = left < sizeof(block) ? (size_t)left
						   : sizeof(block);

		if (!net_write(net, block, part))
			return false;
		left -= part;
	}
	return true;
}

static void *serve(void *context)
{
	struct net *net = context;
	struct net_head head;
	char request[NET_NAME_MAX];
	char expected[NET_NAME_MAX];
	bool open = true;

	while (open && net_read_head(net, &head)) {
		if (net_read_body(net, head.body_bytes, NULL, 0) <
		    head.body_bytes)
			break;
		net_field(&head, "Request-Id", request, sizeof(request));
		net_field(&head, "Expect-Instance", expected, sizeof(expected));
		if (expected[0] && strcmp(expected, id) != 0) {
			open = reject(net, 421, request);
		} else if (!take_slot()) {
			open = reject(net, 503, request);
		} else {
			open = run(net, request);
			release_slot();
		}
	}
	net_close(net);
	free(net);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t thread;
	int listener;

	if (argc < 10)
		return 2;
	address = argv[1];
	id = argv[2];
	service = argv[3];
	zone = argv[4];
	slots = atoi(argv[5]);
	work_ms = atoi(argv[6]);
	body_bytes = strtoull(argv[7], NULL, 10);
	cold_ms = atoi(argv[8]);
	controls = argv + 9;
	control_count = argc - 9;
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_terminate);
	listener = net_listen(address);
	if (listener < 0)
		return 2;
	pthread_create(&thread, NULL, announce, NULL);
	for (;;) {
		struct net *net = calloc(1, sizeof(*net));

		if (!net)
			return 2;
		net->fd = accept(listener, NULL, NULL);
		if (net->fd < 0 ||
		    pthread_create(&thread, NULL, serve, net) != 0) {
			free(net);
			continue;
		}
		pthread_detach(thread);
	}
}

/*
 * Proxy on the way from a target to a control host that can be cut. While the
 * file CUT_FILE exists nothing passes. Bytes of connections that were open
 * before arrive LATE_MS after it is gone, as those that a sender's kernel sends
 * again do, also if the sender has closed its connection or ended by then. A
 * connection that is opened during the cut is established afterwards, if its
 * sender still waits.
 *
 * use: hold ADDRESS CONTROL CUT_FILE LATE_MS
 */
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define STEP_MS 20
#define BLOCK_BYTES 4096

/** One direction of a connection. */
struct way {
	int from;
	int to;
};

static const char *control;
static const char *cut_file;
static int64_t late_ms;

static bool is_cut(void)
{
	return !access(cut_file, F_OK);
}

static void wait_until_healed(void)
{
	if (!is_cut())
		return;
	while (is_cut())
		net_sleep_ms(STEP_MS);
	net_sleep_ms(late_ms);
}

static void *pass_on(void *context)
{
	struct way way = *(struct way *)context;
	struct net to = { .fd = way.to };
	char block[BLOCK_BYTES];
	ssize_t received;

	free(context);
	while ((received = recv(way.from, block, sizeof(block), 0)) > 0) {
		wait_until_healed();
		if (!net_write(&to, block, (size_t)received))
			break;
	}
	wait_until_healed();
	shutdown(way.to, SHUT_WR);
	return NULL;
}

/* @return whether the sender still waits after the cut */
static bool is_established(int fd)
{
	struct pollfd event = { .fd = fd, .events = POLLRDHUP };

	while (is_cut()) {
		if (poll(&event, 1, STEP_MS) > 0)
			return false;
	}
	return true;
}

static bool start_way(pthread_t *thread, int from, int to)
{
	struct way *way = calloc(1, sizeof(*way));

	if (!way)
		return false;
	way->from = from;
	way->to = to;
	return pthread_create(thread, NULL, pass_on, way) == 0;
}

static void *serve(void *context)
{
	int client = *(int *)context;
	struct net server;
	pthread_t threads[2];

	free(context);
	if (is_established(client) && net_connect(&server, control, 0)) {
		if (start_way(&threads[0], client, server.fd) &&
		    start_way(&threads[1], server.fd, client)) {
			pthread_join(threads[0], NULL);
			pthread_join(threads[1], NULL);
		}
		net_close(&server);
	}
	close(client);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t thread;
	int listener;

	if (argc != 5)
		return 2;
	control = argv[2];
	cut_file = argv[3];
	late_ms = atoi(argv[4]);
	signal(SIGPIPE, SIG_IGN);
	listener = net_listen(argv[1]);
	if (listener < 0)
		return 2;
	for (;;) {
		int *client = malloc(sizeof(*client));

		if (!client)
			return 2;
		*client = accept(listener, NULL, NULL);
		if (*client < 0 ||
		    pthread_create(&thread, NULL, serve, client) != 0) {
			free(client);
			continue;
		}
		pthread_detach(thread);
	}
}

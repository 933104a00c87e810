/*
 * Stand-in of clients that send requests at a steady rate. Each has one kept
 * connection and one request at a time, and sends none again. Writes to
 * standard output what was sent and answered, with the time in ms.
 *
 * use: load ADDRESS PREFIX CLIENTS INTERVAL_MS SECONDS PATH
 *
 * PREFIX: begins the ids of the requests
 * PATH: ends with a slash, if the number of the client is to follow it
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net.h"

#define CLIENTS_MAX 128
#define DEADLINE_MS 4000

static const char *address;
static const char *prefix;
static const char *path;
static int64_t interval_ms;
static int64_t end_ms;
static int client_count;
static int numbers[CLIENTS_MAX];

/* @return the status code, 0 without an answer */
static int ask(struct net *net, const char *id, int number)
{
	struct net_head head;
	char text[512];
	char item[16] = "";

	if (path[strlen(path) - 1] == '/')
		snprintf(item, sizeof(item), "%d", number);
	snprintf(text, sizeof(text),
		 "GET %s%s HTTP/1.1\r\nHost: files.example\r\nRequest-Id: %s"
		 "\r\nDeadline-Ms: %d\r\n\r\n",
		 path, item, id, DEADLINE_MS);
	if (!net_write(net, text, strlen(text)) || !net_read_head(net, &head) ||
	    net_read_body(net, head.body_bytes, NULL, 0) < head.body_bytes)
		return 0;
	if (head.close)
		net_close(net);
	return atoi(head.first[1]);
}

static void *run_client(void *context)
{
	int number = *(const int *)context;
	int64_t next_ms = net_now_ms() + number * interval_ms / client_count;
	struct net net = { .fd = -1 };
	char id[64];
	int count = 0;

	for (; next_ms < end_ms; next_ms += interval_ms) {
		int code;

		net_sleep_ms(next_ms - net_now_ms());
		if (net.fd < 0 && !net_connect(&net, address, 0))
			continue;
		net_set_timeout(&net, DEADLINE_MS);
		snprintf(id, sizeof(id), "%s%02d-%04d", prefix, number,
			 count++);
		printf("%lld client %s sent\n", (long long)net_now_ms(), id);
		code = ask(&net, id, number);
		printf("%lld client %s answered %d\n", (long long)net_now_ms(),
		       id, code);
		if (!code)
			net_close(&net);
	}
	net_close(&net);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[CLIENTS_MAX];
	int i;

	if (argc != 7 || atoi(argv[3]) > CLIENTS_MAX)
		return 2;
	address = argv[1];
	prefix = argv[2];
	client_count = atoi(argv[3]);
	interval_ms = atoi(argv[4]);
	end_ms = net_now_ms() + 1000 * atoll(argv[5]);
	path = argv[6];
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < client_count; i++) {
		numbers[i] = i;
		if (pthread_create(&threads[i], NULL, run_client, &numbers[i]))
			return 2;
	}
	for (i = 0; i < client_count; i++)
		pthread_join(threads[i], NULL);
	return 0;
}

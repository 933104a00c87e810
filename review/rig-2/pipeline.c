/*
 * Stand-in of clients that send further idempotent requests before the first
 * one was answered. Each has one connection; it stops sending as soon as it has
 * read an answer that says Connection: close. Writes to standard output what
 * was sent, answered and cut, with the time in ms.
 *
 * use: pipeline ADDRESS CLIENTS REQUESTS AHEAD INTERVAL_MS BODY_BYTES RATE
 *
 * AHEAD: most requests without an answer; 1: none is sent ahead
 * BODY_BYTES: of each request but the first of a connection
 * RATE: bytes per second at which a client reads; 0: no limit
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net.h"

#define CLIENTS_MAX 64
#define DEADLINE_MS 8000
#define RECEIVE_BYTES 65536
#define BODY_MAX_BYTES (1024 * 1024)

struct client {
	int number;
	struct net net;
	pthread_mutex_t lock;
	int sent;
	int answered;
	bool stopped; /**< sends nothing more */
};

static const char *address;
static int request_count;
static int ahead_max;
static int64_t interval_ms;
static size_t body_bytes;
static uint32_t rate;
static char body[BODY_MAX_BYTES];

/* @return whether the next request was sent */
static bool send_next(struct client *client)
{
	char text[1024];
	size_t bytes = client->sent ? body_bytes : 0;

	snprintf(text, sizeof(text),
		 "%s /items/%d HTTP/1.1\r\nHost: files.example\r\n"
		 "Request-Id: c%02d-%03d\r\nDeadline-Ms: %d\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 bytes ? "POST" : "GET", client->number, client->number,
		 client->sent, DEADLINE_MS, bytes);
	printf("%lld client c%02d-%03d sent\n", (long long)net_now_ms(),
	       client->number, client->sent);
	client->sent++;
	return net_write(&client->net, text, strlen(text)) &&
	       net_write(&client->net, body, bytes);
}

static void *send_requests(void *context)
{
	struct client *client = context;
	bool open = true;

	while (open) {
		bool due;

		pthread_mutex_lock(&client->lock);
		open = !client->stopped && client->sent < request_count;
		due = client->sent - client->answered < ahead_max;
		pthread_mutex_unlock(&client->lock);
		if (open && due)
			open = send_next(client);
		net_sleep_ms(interval_ms);
	}
	return NULL;
}

/* @return whether another answer follows */
static bool read_answer(struct client *client)
{
	struct net_head head;
	char id[NET_NAME_MAX];
	uint64_t came;

	if (!net_read_head(&client->net, &head)) {
		printf("%lld client c%02d-%03d cut, no head of an answer\n",
		       (long long)net_now_ms(), client->number,
		       client->answered);
		return false;
	}
	net_field(&head, "Request-Id", id, sizeof(id));
	if (head.close) {
		pthread_mutex_lock(&client->lock);
		client->stopped = true;
		pthread_mutex_unlock(&client->lock);
	}
	came = net_read_body(&client->net, head.body_bytes, NULL, 0);
	if (came < head.body_bytes) {
		printf("%lld client %s cut, %llu of %llu bytes of an answer\n",
		       (long long)net_now_ms(), id, (unsigned long long)came,
		       (unsigned long long)head.body_bytes);
		return false;
	}
	printf("%lld client %s answered %s%s\n", (long long)net_now_ms(), id,
	       head.first[1], head.close ? ", closes" : "");
	pthread_mutex_lock(&client->lock);
	client->answered++;
	pthread_mutex_unlock(&client->lock);
	return !head.close && client->answered < request_count;
}

static void *run_client(void *context)
{
	struct client *client = context;
	pthread_t sender;

	if (!net_connect(&client->net, address, rate ? RECEIVE_BYTES : 0)) {
		printf("%lld client c%02d no connection\n",
		       (long long)net_now_ms(), client->number);
		return NULL;
	}
	client->net.read_bytes_per_s = rate;
	net_set_timeout(&client->net, DEADLINE_MS);
	if (pthread_create(&sender, NULL, send_requests, client) != 0)
		return NULL;
	while (read_answer(client))
		;
	pthread_mutex_lock(&client->lock);
	client->stopped = true;
	pthread_mutex_unlock(&client->lock);
	pthread_join(sender, NULL);
	net_close(&client->net);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct client clients[CLIENTS_MAX];
	pthread_t threads[CLIENTS_MAX];
	int count;
	int i;

	if (argc != 8)
		return 2;
	address = argv[1];
	count = atoi(argv[2]);
	request_count = atoi(argv[3]);
	ahead_max = atoi(argv[4]);
	interval_ms = atoi(argv[5]);
	body_bytes = strtoul(argv[6], NULL, 10);
	rate = (uint32_t)strtoul(argv[7], NULL, 10);
	if (count > CLIENTS_MAX || body_bytes > sizeof(body))
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < count; i++) {
		clients[i].number = i;
		pthread_mutex_init(&clients[i].lock, NULL);
		if (pthread_create(&threads[i], NULL, run_client, &clients[i]))
			return 2;
	}
	for (i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	return 0;
}

/**
 * @file
 * Clients that misbehave, for tests: opens connections to one address, plays
 * one behaviour on all of them and keeps them open until SIGTERM.
 *
 * Each client sends a stream: a head, and then a pattern that is repeated up to
 * a number of bytes. Prints "settled" once every client has sent its stream, is
 * held up by its peer or has been refused, and the counts at the end.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/** Interval of the steps of a slow client. */
#define STEP_MS 100

/** Bytes that a client reads in a step, if it reads slowly. */
#define SLOW_READ_BYTES 256

/** Receive buffer of a client that reads slowly, or not at all. */
#define SLOW_BUFFER_BYTES 4096

/** Time without progress of the whole crowd after which it is settled. */
#define SETTLED_MS 1000

/** Clients that are opened per step, so that the backlog is not exceeded. */
#define OPENED_PER_STEP_MAX 200

/** Longest life of the process. */
#define LIFE_MAX_MS 120000

#define HEAD_MAX_BYTES 65536
#define CHUNK_BYTES 4096

/** How a client reads. */
enum reading { READS_ALL, READS_SLOWLY, READS_NOTHING };

/** What a crowd does; see main for the names. */
struct behaviour {
	const char *name;
	bool (*build)(void);
	uint32_t step_bytes; /**< sent per step; 0: as much as possible */
	enum reading reading;
	bool trickles; /**< counts as settled while it sends */
	bool head_at_once; /**< only the body is sent in steps */
};

/** One client. */
struct client {
	int fd; /**< -1: closed */
	uint64_t sent_bytes;
	uint32_t budget_bytes; /**< may still be sent in this step */
	bool may_read; /**< in this step */
	bool answered;
};

static bool build_whole_(void);
static bool build_short_(void);
static bool build_chunked_(void);
static bool build_over_(void);
static bool build_fields_(void);
static bool build_half_fields_(void);
static bool build_ahead_(void);
static bool build_slow_head_(void);
static bool build_slow_reader_(void);
static bool build_half_head_(void);
static bool build_idle_(void);
static void append_(const char *text);
static void append_start_(const char *method);
static void append_short_fields_(void);
static void open_client_(struct client *client);
static void close_client_(struct client *client);
static void begin_step_(void);
static void poll_clients_(int timeout_ms);
static void read_client_(struct client *client);
static void write_client_(struct client *client);
static size_t next_piece_(const struct client *client, const char **piece);
static int64_t now_ms_(void);
static void on_signal_(int number);

static const struct behaviour behaviours[] = {
	/* Bodies of legal size. */
	{ "whole", build_whole_, 0, READS_ALL, false, false },
	{ "short", build_short_, 0, READS_ALL, false, false },
	{ "pieces", build_short_, 65536, READS_ALL, false, false },
	{ "chunked", build_chunked_, 0, READS_ALL, false, false },
	{ "over", build_over_, 0, READS_NOTHING, false, false },
	/* Heads. */
	{ "fields", build_fields_, 0, READS_ALL, false, false },
	{ "half-fields", build_half_fields_, 0, READS_ALL, false, false },
	{ "slow-head", build_slow_head_, 1, READS_ALL, true, false },
	{ "half-head", build_half_head_, 0, READS_ALL, false, false },
	{ "idle", build_idle_, 0, READS_ALL, false, false },
	/* Requests sent ahead, and slow clients. */
	{ "ahead", build_ahead_, 0, READS_NOTHING, false, false },
	{ "slow-body", build_short_, 1, READS_ALL, true, true },
	{ "slow-reader", build_slow_reader_, 0, READS_SLOWLY, true, false },
};

static struct {
	const struct behaviour *behaviour;
	struct sockaddr_in address;
	const char *path;
	const char *host;
	uint32_t client_count;
	uint32_t reopen_max; /**< clients opened again after they were closed */
	uint64_t body_bytes;
	uint32_t requests_ahead;
	char head[HEAD_MAX_BYTES];
	size_t head_bytes;
	char pattern[CHUNK_BYTES + 16];
	size_t pattern_bytes;
	uint64_t total_bytes; /**< of the stream */
	struct client *clients;
	struct pollfd *polled;
	uint32_t opened_count;
	uint32_t closed_count;
	uint32_t answered_count;
	uint32_t reopened_count;
	int64_t progress_at_ms;
} crowd;

static volatile sig_atomic_t ended;

int main(int argc, char **argv)
{
	bool settled = false;
	int64_t began_ms = now_ms_();
	struct rlimit files;
	char ip[32] = "";
	size_t i;

	if (argc != 9 || sscanf(argv[1], "%31[0-9.]", ip) != 1 ||
	    !strchr(argv[1], ':')) {
		fprintf(stderr, "use: bw-crowd ADDRESS BEHAVIOUR HOST PATH "
				"CLIENTS REOPENED BODY_BYTES AHEAD\n");
		return 2;
	}
	crowd.address.sin_family = AF_INET;
	crowd.address.sin_port =
		htons((uint16_t)atoi(strchr(argv[1], ':') + 1));
	inet_pton(AF_INET, ip, &crowd.address.sin_addr);
	for (i = 0; i < sizeof(behaviours) / sizeof(behaviours[0]); i++) {
		if (!strcmp(behaviours[i].name, argv[2]))
			crowd.behaviour = &behaviours[i];
	}
	crowd.host = argv[3];
	crowd.path = argv[4];
	crowd.client_count = (uint32_t)atoi(argv[5]);
	crowd.reopen_max = (uint32_t)atoi(argv[6]);
	crowd.body_bytes = strtoull(argv[7], NULL, 10);
	crowd.requests_ahead = (uint32_t)atoi(argv[8]);
	if (!crowd.behaviour || !crowd.behaviour->build()) {
		fprintf(stderr, "bw-crowd: behaviour %s\n", argv[2]);
		return 2;
	}
	files.rlim_cur = files.rlim_max = crowd.client_count + 64;
	setrlimit(RLIMIT_NOFILE, &files);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal_);
	crowd.clients = calloc(crowd.client_count, sizeof(*crowd.clients));
	crowd.polled = calloc(crowd.client_count, sizeof(*crowd.polled));
	if (!crowd.clients || !crowd.polled)
		return 2;
	for (i = 0; i < crowd.client_count; i++)
		crowd.clients[i].fd = -1;
	crowd.progress_at_ms = began_ms;
	while (!ended && now_ms_() - began_ms < LIFE_MAX_MS) {
		int64_t step_end_ms = now_ms_() + STEP_MS;

		begin_step_();
		while (!ended && now_ms_() < step_end_ms)
			poll_clients_((int)(step_end_ms - now_ms_()));
		if (!settled &&
		    now_ms_() - crowd.progress_at_ms >= SETTLED_MS &&
		    crowd.opened_count >= crowd.client_count) {
			settled = true;
			printf("settled\n");
			fflush(stdout);
		}
	}
	printf("opened %u, reopened %u, closed by the host %u, answered %u\n",
	       crowd.opened_count, crowd.reopened_count, crowd.closed_count,
	       crowd.answered_count);
	return 0;
}

static bool build_whole_(void)
{
	append_start_("POST");
	snprintf(crowd.head + crowd.head_bytes,
		 sizeof(crowd.head) - crowd.head_bytes,
		 "Content-Length: %llu\r\n\r\n",
		 (unsigned long long)crowd.body_bytes);
	crowd.head_bytes += strlen(crowd.head + crowd.head_bytes);
	memset(crowd.pattern, 'x', CHUNK_BYTES);
	crowd.pattern_bytes = CHUNK_BYTES;
	crowd.total_bytes = crowd.head_bytes + crowd.body_bytes;
	return true;
}

static bool build_short_(void)
{
	build_whole_();
	crowd.total_bytes--;
	return true;
}

static bool build_chunked_(void)
{
	append_start_("POST");
	append_("Transfer-Encoding: chunked\r\n\r\n");
	crowd.pattern_bytes = (size_t)snprintf(
		crowd.pattern, sizeof(crowd.pattern), "%x\r\n", CHUNK_BYTES);
	memset(crowd.pattern + crowd.pattern_bytes, 'x', CHUNK_BYTES);
	memcpy(crowd.pattern + crowd.pattern_bytes + CHUNK_BYTES, "\r\n", 2);
	crowd.pattern_bytes += CHUNK_BYTES + 2;
	/* Stops in the last chunk of a body of this size. */
	crowd.total_bytes =
		crowd.head_bytes +
		crowd.body_bytes / CHUNK_BYTES * crowd.pattern_bytes - 3;
	return crowd.body_bytes >= CHUNK_BYTES;
}

static bool build_over_(void)
{
	crowd.body_bytes *= 16;
	return build_whole_();
}

static bool build_fields_(void)
{
	append_start_("GET");
	append_short_fields_();
	append_("\r\n");
	crowd.total_bytes = crowd.head_bytes;
	return true;
}

static bool build_half_fields_(void)
{
	append_start_("GET");
	append_short_fields_();
	crowd.total_bytes = crowd.head_bytes;
	return true;
}

static bool build_slow_head_(void)
{
	return build_fields_();
}

static bool build_half_head_(void)
{
	append_start_("GET");
	crowd.total_bytes = crowd.head_bytes;
	return true;
}

static bool build_idle_(void)
{
	crowd.total_bytes = 0;
	return true;
}

static bool build_ahead_(void)
{
	append_start_("GET");
	append_("\r\n");
	if (crowd.head_bytes > sizeof(crowd.pattern))
		return false;
	memcpy(crowd.pattern, crowd.head, crowd.head_bytes);
	crowd.pattern_bytes = crowd.head_bytes;
	crowd.total_bytes = crowd.head_bytes * crowd.requests_ahead;
	crowd.head_bytes = 0;
	return true;
}

static bool build_slow_reader_(void)
{
	append_start_("GET");
	append_("\r\n");
	crowd.total_bytes = crowd.head_bytes;
	return true;
}

static void append_(const char *text)
{
	size_t size_bytes = strlen(text);

	if (crowd.head_bytes + size_bytes >= sizeof(crowd.head))
		abort();
	memcpy(crowd.head + crowd.head_bytes, text, size_bytes + 1);
	crowd.head_bytes += size_bytes;
}

static void append_start_(const char *method)
{
	append_(method);
	append_(" ");
	append_(crowd.path);
	append_(" HTTP/1.1\r\nHost: ");
	append_(crowd.host);
	append_("\r\nRequest-Id: crowd\r\nDeadline-Ms: 60000\r\n");
}

/* As many as a head of 16 KiB may have by the limits of the host. */
static void append_short_fields_(void)
{
	int i;

	for (i = 0; i < 3000; i++)
		append_("a:b\r\n");
}

static void open_client_(struct client *client)
{
	int bytes = SLOW_BUFFER_BYTES;

	memset(client, 0, sizeof(*client));
	client->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (client->fd < 0) {
		perror("bw-crowd: socket");
		exit(2);
	}
	if (crowd.behaviour->reading != READS_ALL)
		setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &bytes,
			   sizeof(bytes));
	if (connect(client->fd, (struct sockaddr *)&crowd.address,
		    sizeof(crowd.address)) &&
	    errno != EINPROGRESS)
		close_client_(client);
	crowd.progress_at_ms = now_ms_();
}

static void close_client_(struct client *client)
{
	crowd.closed_count++;
	close(client->fd);
	client->fd = -1;
}

/* Opens clients, and those again that the host closed, up to a number. */
static void begin_step_(void)
{
	uint32_t opened = 0;
	uint32_t i;

	for (i = 0; i < crowd.client_count; i++) {
		struct client *client = &crowd.clients[i];

		client->may_read = true;
		if (client->fd >= 0 || opened >= OPENED_PER_STEP_MAX) {
			client->budget_bytes = crowd.behaviour->step_bytes;
			continue;
		}
		if (crowd.opened_count >= crowd.client_count) {
			if (crowd.reopened_count >= crowd.reopen_max)
				continue;
			crowd.reopened_count++;
		} else {
			crowd.opened_count++;
		}
		opened++;
		open_client_(client);
		client->budget_bytes = crowd.behaviour->step_bytes;
	}
}

static void poll_clients_(int timeout_ms)
{
	const struct behaviour *behaviour = crowd.behaviour;
	uint32_t i;

	for (i = 0; i < crowd.client_count; i++) {
		struct client *client = &crowd.clients[i];

		crowd.polled[i].fd = client->fd;
		crowd.polled[i].events = 0;
		if (behaviour->reading == READS_ALL ||
		    (behaviour->reading == READS_SLOWLY && client->may_read))
			crowd.polled[i].events |= POLLIN;
		if (client->sent_bytes < crowd.total_bytes &&
		    (!behaviour->step_bytes || client->budget_bytes))
			crowd.polled[i].events |= POLLOUT;
	}
	if (poll(crowd.polled, crowd.client_count,
		 timeout_ms > 0 ? timeout_ms : 0) <= 0)
		return;
	for (i = 0; i < crowd.client_count; i++) {
		struct client *client = &crowd.clients[i];

		if (client->fd >= 0 &&
		    (crowd.polled[i].revents & (POLLERR | POLLHUP)) &&
		    !(crowd.polled[i].revents & POLLIN))
			close_client_(client);
		if (client->fd >= 0 && (crowd.polled[i].revents & POLLIN))
			read_client_(client);
		if (client->fd >= 0 && (crowd.polled[i].revents & POLLOUT))
			write_client_(client);
	}
}

static void read_client_(struct client *client)
{
	static char bytes[65536];
	size_t size_bytes = crowd.behaviour->reading == READS_SLOWLY
				    ? SLOW_READ_BYTES
				    : sizeof(bytes);
	ssize_t received = recv(client->fd, bytes, size_bytes, 0);

	if (received < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (received <= 0) {
		close_client_(client);
		return;
	}
	client->may_read = false;
	if (!client->answered)
		crowd.answered_count++;
	client->answered = true;
}

static void write_client_(struct client *client)
{
	const char *piece;
	size_t size_bytes = next_piece_(client, &piece);
	bool in_steps = crowd.behaviour->step_bytes &&
			!(crowd.behaviour->head_at_once &&
			  client->sent_bytes < crowd.head_bytes);
	ssize_t sent;

	if (in_steps && size_bytes > client->budget_bytes)
		size_bytes = client->budget_bytes;
	sent = send(client->fd, piece, size_bytes, MSG_NOSIGNAL);
	if (sent < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (sent < 0) {
		close_client_(client);
		return;
	}
	client->sent_bytes += (uint64_t)sent;
	if (in_steps)
		client->budget_bytes -= (uint32_t)sent;
	if (!crowd.behaviour->trickles)
		crowd.progress_at_ms = now_ms_();
}

static size_t next_piece_(const struct client *client, const char **piece)
{
	uint64_t left_bytes = crowd.total_bytes - client->sent_bytes;
	size_t offset;
	size_t size_bytes;

	if (client->sent_bytes < crowd.head_bytes) {
		*piece = crowd.head + client->sent_bytes;
		size_bytes = crowd.head_bytes - (size_t)client->sent_bytes;
	} else {
		offset = (client->sent_bytes - crowd.head_bytes) %
			 crowd.pattern_bytes;
		*piece = crowd.pattern + offset;
		size_bytes = crowd.pattern_bytes - offset;
	}
	return size_bytes < left_bytes ? size_bytes : (size_t)left_bytes;
}

static int64_t now_ms_(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void on_signal_(int number)
{
	(void)number;
	ended = 1;
}

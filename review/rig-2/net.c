#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 1000
#define REDIRECTS_MAX 2
#define BLOCK_BYTES 16384

static bool parse_address(const char *text, struct sockaddr_in *address)
{
	char ip[64];
	const char *colon = strrchr(text, ':');

	memset(address, 0, sizeof(*address));
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

int64_t net_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void net_sleep_ms(int64_t ms)
{
	struct timespec span = { ms / 1000, ms % 1000 * 1000000 };

	if (ms > 0)
		nanosleep(&span, NULL);
}

int net_listen(const char *address)
{
	struct sockaddr_in local;
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || !parse_address(address, &local))
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&local, sizeof(local)) ||
	    listen(fd, 512))
		return -1;
	return fd;
}

bool net_connect(struct net *net, const char *address, int receive_bytes)
{
	struct sockaddr_in remote;
	int on = 1;

	memset(net, 0, sizeof(*net));
	net->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (net->fd < 0 || !parse_address(address, &remote))
		return false;
	if (receive_bytes)
		setsockopt(net->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
			   sizeof(receive_bytes));
	setsockopt(net->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(net->fd, (struct sockaddr *)&remote, sizeof(remote)))
		return true;
	net_close(net);
	return false;
}

void net_set_timeout(struct net *net, int64_t ms)
{
	struct timeval span = { ms / 1000, ms % 1000 * 1000 };

	setsockopt(net->fd, SOL_SOCKET, SO_RCVTIMEO, &span, sizeof(span));
	setsockopt(net->fd, SOL_SOCKET, SO_SNDTIMEO, &span, sizeof(span));
}

bool net_write(struct net *net, const void *data, size_t size_bytes)
{
	const char *bytes = data;

	while (size_bytes) {
		ssize_t sent = send(net->fd, bytes, size_bytes, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		bytes += sent;
		size_bytes -= (size_t)sent;
	}
	return true;
}

/* @return whether more bytes came */
static bool read_ahead(struct net *net)
{
	ssize_t received;

	do
		received = recv(net->fd, net->ahead + net->ahead_bytes,
				sizeof(net->ahead) - net->ahead_bytes, 0);
	while (received < 0 && errno == EINTR);
	if (received <= 0)
		return false;
	net->ahead_bytes += (size_t)received;
	if (net->read_bytes_per_s)
		net_sleep_ms(1000 * received / net->read_bytes_per_s);
	return true;
}

static void consume(struct net *net, size_t size_bytes)
{
	net->ahead_bytes -= size_bytes;
	memmove(net->ahead, net->ahead + size_bytes, net->ahead_bytes);
}

bool net_read_head(struct net *net, struct net_head *head)
{
	const char *end;
	char value[NET_NAME_MAX];
	size_t size_bytes;

	memset(head, 0, sizeof(*head));
	while (!(end = memmem(net->ahead, net->ahead_bytes, "\r\n\r\n", 4))) {
		if (net->ahead_bytes == sizeof(net->ahead) || !read_ahead(net))
			return false;
	}
	size_bytes = (size_t)(end - net->ahead) + 4;
	if (size_bytes >= sizeof(head->text))
		return false;
	memcpy(head->text, net->ahead, size_bytes);
	consume(net, size_bytes);
	if (sscanf(head->text, "%511s %511s %511s", head->first[0],
		   head->first[1], head->first[2]) < 2)
		return false;
	net_field(head, "Content-Length", value, sizeof(value));
	head->body_bytes = strtoull(value, NULL, 10);
	net_field(head, "Connection", value, sizeof(value));
	head->close = !strcasecmp(value, "close");
	return true;
}

uint64_t net_read_body(struct net *net, uint64_t size_bytes, char *kept,
		       size_t kept_max)
{
	uint64_t read_bytes = 0;
	size_t kept_bytes = 0;

	while (read_bytes < size_bytes) {
		size_t part = net->ahead_bytes;

		if (!part) {
			if (!read_ahead(net))
				return read_bytes;
			continue;
		}
		if (part > size_bytes - read_bytes)
			part = (size_t)(size_bytes - read_bytes);
		if (kept && kept_bytes < kept_max) {
			size_t copied = part < kept_max - kept_bytes
						? part
						: kept_max - kept_bytes;

			memcpy(kept + kept_bytes, net->ahead, copied);
			kept_bytes += copied;
		}
		consume(net, part);
		read_bytes += part;
	}
	return read_bytes;
}

void net_field(const struct net_head *head, const char *name, char *value,
	       size_t value_bytes)
{
	const char *line = strstr(head->text, "\r\n");
	size_t name_bytes = strlen(name);

	value[0] = '\0';
	while (line && line[2] != '\r') {
		const char *next = strstr(line + 2, "\r\n");

		line += 2;
		if (next && !strncasecmp(line, name, name_bytes) &&
		    line[name_bytes] == ':') {
			const char *start = line + name_bytes + 1;
			size_t bytes;

			while (*start == ' ')
				start++;
			bytes = (size_t)(next - start);
			if (bytes >= value_bytes)
				bytes = value_bytes - 1;
			memcpy(value, start, bytes);
			value[bytes] = '\0';
			return;
		}
		line = next;
	}
}

void net_close(struct net *net)
{
	if (net->fd >= 0)
		close(net->fd);
	net->fd = -1;
}

int net_call_on(struct net *net, const char *method, const char *path,
		const char *body, char *location, size_t location_bytes)
{
	static __thread struct net_head head;
	char text[1024];
	size_t body_bytes = body ? strlen(body) : 0;

	location[0] = '\0';
	net_set_timeout(net, CALL_TIMEOUT_MS);
	snprintf(text, sizeof(text),
		 "%s %s HTTP/1.1\r\nHost: control\r\nContent-Type: "
		 "application/json\r\nContent-Length: %zu\r\n\r\n",
		 method, path, body_bytes);
	if (!net_write(net, text, strlen(text)) ||
	    !net_write(net, body, body_bytes) || !net_read_head(net, &head))
		return 0;
	net_field(&head, "Location", location, location_bytes);
	if (net_read_body(net, head.body_bytes, NULL, 0) < head.body_bytes)
		return 0;
	return atoi(head.first[1]);
}

static int call_once(const char *address, const char *method, const char *path,
		     const char *body, char *location, size_t location_bytes)
{
	static __thread struct net net;
	int code;

	location[0] = '\0';
	if (!net_connect(&net, address, 0))
		return 0;
	code = net_call_on(&net, method, path, body, location, location_bytes);
	net_close(&net);
	return code;
}

int net_call(const char *address, const char *method, const char *path,
	     const char *body)
{
	char location[512];
	char next[64];
	int redirects = 0;
	int code = call_once(address, method, path, body, location,
			     sizeof(location));

	while (code == 307 && redirects++ < REDIRECTS_MAX &&
	       sscanf(location, "http://%63[^/]", next) == 1)
		code = call_once(next, method, path, body, location,
				 sizeof(location));
	return code;
}

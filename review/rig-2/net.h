/*
 * Blocking HTTP/1.1 over TCP for the stand-ins of this review: one socket, one
 * buffer, and messages that are read whole.
 */
#ifndef REVIEW_NET_H
#define REVIEW_NET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define NET_HEAD_MAX_BYTES 16384
#define NET_NAME_MAX 128

/** A connection and the bytes that were read from it ahead. */
struct net {
	int fd;
	char ahead[NET_HEAD_MAX_BYTES];
	size_t ahead_bytes;
	uint32_t read_bytes_per_s; /**< limit of the rate of reading; 0: none */
};

/** Head of a message. */
struct net_head {
	char text[NET_HEAD_MAX_BYTES];
	char first[3][512]; /**< the three words of the first line */
	uint64_t body_bytes;
	bool close; /**< it says Connection: close */
};

/** @return milliseconds of the monotonic clock */
int64_t net_now_ms(void);

/** Sleeps for some milliseconds. */
void net_sleep_ms(int64_t ms);

/** @return a listening socket at "IP:PORT", or -1 */
int net_listen(const char *address);

/**
 * Connects to "IP:PORT". receive_bytes: size of the receive buffer, 0: default.
 * @return whether it is connected
 */
bool net_connect(struct net *net, const char *address, int receive_bytes);

/** Sets the time after which a read or a write fails. */
void net_set_timeout(struct net *net, int64_t ms);

/** @return whether all bytes were written */
bool net_write(struct net *net, const void *data, size_t size_bytes);

/** Reads a head. @return whether it is complete */
bool net_read_head(struct net *net, struct net_head *head);

/**
 * Reads a body, and copies up to kept_max of its bytes to kept (may be NULL).
 * @return number of bytes that came
 */
uint64_t net_read_body(struct net *net, uint64_t size_bytes, char *kept,
		       size_t kept_max);

/** Copies the value of a field; empty when there is none. */
void net_field(const struct net_head *head, const char *name, char *value,
	       size_t value_bytes);

/** Closes the connection. */
void net_close(struct net *net);

/**
 * Makes one call on an open connection, which stays open.
 * @return the status code, 0 without an answer
 */
int net_call_on(struct net *net, const char *method, const char *path,
		const char *body, char *location, size_t location_bytes);

/**
 * Makes one call with a body (may be NULL), follows two redirects, and waits a
 * second for the answer. @return the status code, 0 without an answer
 */
int net_call(const char *address, const char *method, const char *path,
	     const char *body);

#endif

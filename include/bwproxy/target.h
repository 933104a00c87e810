/**
 * @file
 * Host and path that a request asks for. The request target is usually a path,
 * with the host in the Host field; clients of proxies send both in the target
 * (absolute form), which then overrides the Host field (RFC 9112, 3.2.2).
 */
#ifndef BWPROXY_TARGET_H
#define BWPROXY_TARGET_H

#include "bwproxy/http1.h"

/** Texts are not NUL-terminated; they point into the message, or are static. */
struct bw_http_target {
	bool absolute; /**< the host is part of the request target */
	const char *host; /**< with its port, if any; NULL when missing */
	size_t host_bytes;
	const char *path; /**< never empty, except for an empty target */
	size_t path_bytes;
	const char *query; /**< with its question mark; "" when missing */
	size_t query_bytes;
};

/** Reads the target of a complete request. */
void bw_http_target_read(const struct bw_http_message *message,
			 struct bw_http_target *target);

#endif

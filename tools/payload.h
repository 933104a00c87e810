/**
 * @file
 * Request and response bodies generated from the request id, so that the
 * receiver can detect a truncated, corrupted or mixed-up response.
 */
#ifndef TOOLS_PAYLOAD_H
#define TOOLS_PAYLOAD_H

#include <stddef.h>

#include "bwbase/buffer.h"

/** HTTP field that carries the request id. */
#define PAYLOAD_ID_FIELD "Request-Id"

/** Result of the check of a body. */
enum payload_check {
	PAYLOAD_INTACT,
	PAYLOAD_WRONG_SIZE, /**< size differs from the one in its first line */
	PAYLOAD_OTHER_REQUEST, /**< generated from another request id */
	PAYLOAD_CORRUPT, /**< id and size match, content differs */
	PAYLOAD_CHECK_COUNT
};

/** Names of enum payload_check in the result files. */
extern const char *const payload_check_string[PAYLOAD_CHECK_COUNT];

/**
 * Appends the body "<id> <size>\n" followed by pseudo-random bytes that
 * are seeded with the id.
 * @param size_bytes size of the body; raised to the size of its first line
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status payload_append(struct bw_buffer *out, const char *request_id,
			      size_t size_bytes);

/** Checks a body against the id of the request. */
enum payload_check payload_verify(const char *request_id, const void *data,
				  size_t size_bytes);

#endif

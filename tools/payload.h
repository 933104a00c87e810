/**
 * @file
 * Response bodies that are derived from the request id, so that a cut or
 * foreign response can be detected.
 */
#ifndef TOOLS_PAYLOAD_H
#define TOOLS_PAYLOAD_H

#include <stddef.h>

#include "bwbase/buffer.h"

/** Field that carries the request id. */
#define PAYLOAD_ID_FIELD "Request-Id"

/** Verdict on a body. */
enum payload_check {
	PAYLOAD_INTACT,
	PAYLOAD_WRONG_SIZE, /**< shorter or longer than its first line states */
	PAYLOAD_OTHER_REQUEST, /**< belongs to another request */
	PAYLOAD_CORRUPT, /**< right id and size, wrong bytes */
	PAYLOAD_CHECK_COUNT
};

/** Stable names of enum payload_check. */
extern const char *const payload_check_string[PAYLOAD_CHECK_COUNT];

/**
 * Appends the body "<id> <size>\n" followed by bytes derived from the id.
 * @param size_bytes size of the body; raised to the size of its first line
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status payload_append(struct bw_buffer *out, const char *request_id,
			      size_t size_bytes);

/** Checks a body against the id of the request. */
enum payload_check payload_verify(const char *request_id, const void *data,
				  size_t size_bytes);

#endif

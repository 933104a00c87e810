/**
 * @file
 * Response bodies that are derived from the request id, so that a cut or
 * foreign response can be detected.
 */
#ifndef TOOLS_ANSWER_H
#define TOOLS_ANSWER_H

#include <stddef.h>

#include "bwbase/buffer.h"

/** Field that carries the request id. */
#define ANSWER_ID_FIELD "Request-Id"

/** Verdict on a body. */
enum answer_check {
	ANSWER_WHOLE,
	ANSWER_CUT, /**< shorter or longer than its first line states */
	ANSWER_FOREIGN, /**< belongs to another request */
	ANSWER_DAMAGED, /**< right id and size, wrong bytes */
	ANSWER_CHECK_COUNT
};

/** Stable names of enum answer_check. */
extern const char *const answer_check_string[ANSWER_CHECK_COUNT];

/**
 * Appends the body "<id> <size>\n" followed by bytes derived from the id.
 * @param size_bytes size of the body; raised to the size of its first line
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status answer_make(struct bw_buffer *out, const char *request_id,
			   size_t size_bytes);

/** Checks a body against the id of the request. */
enum answer_check answer_verify(const char *request_id, const void *data,
				size_t size_bytes);

#endif

/**
 * @file
 * HTTP/1.1 messages: an incremental reader and writers of heads.
 * Messages are kept whole, so that an incomplete one is never passed on.
 */
#ifndef BWPROXY_HTTP1_H
#define BWPROXY_HTTP1_H

#include <stdbool.h>
#include <stdint.h>

#include <http_parser.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"

/** Most header fields of a message. */
#define BW_HTTP_FIELDS_MAX 96

/** A part of the text of a message. */
struct bw_http_span {
	uint32_t offset_bytes;
	uint32_t size_bytes;
};

/** One header field. */
struct bw_http_field {
	struct bw_http_span name;
	struct bw_http_span value;
};

/** A request or response. */
struct bw_http_message {
	struct bw_buffer text; /**< target or reason, names and values */
	struct bw_buffer body; /**< without transfer coding */
	struct bw_http_span target; /**< of a request, as it was sent */
	struct bw_http_field fields[BW_HTTP_FIELDS_MAX];
	uint32_t field_count;
	uint8_t method; /**< an enum http_method; requests */
	uint16_t status_code; /**< responses */
	bool head_complete;
	bool complete;
	bool keep_alive; /**< the sender keeps the connection open */
};

/** Bounds of a message. */
struct bw_http_limits {
	uint32_t head_max_bytes;
	uint32_t body_max_bytes;
};

/** What a reader found. */
enum bw_http_progress {
	BW_HTTP_INCOMPLETE, /**< more bytes are needed */
	BW_HTTP_COMPLETE, /**< the message is complete */
	BW_HTTP_MALFORMED, /**< the bytes are not HTTP/1.x */
	BW_HTTP_HEAD_TOO_LARGE,
	BW_HTTP_BODY_TOO_LARGE
};

/** Reads one message after another from a stream of bytes. */
struct bw_http_reader {
	http_parser parser;
	struct bw_http_message message;
	struct bw_http_limits limits;
	enum bw_http_progress
		failure; /**< BW_HTTP_INCOMPLETE while there is none */
	bool started; /**< at least one byte of the message was read */
	bool last_was_value; /**< the last header callback was a value */
	bool skip_body; /**< the response answers a HEAD request */
};

/**
 * Initialises a reader.
 * @param type HTTP_REQUEST or HTTP_RESPONSE
 */
void bw_http_reader_init(struct bw_http_reader *reader,
			 enum http_parser_type type,
			 const struct bw_http_limits *limits);

/** Frees the memory of the message. */
void bw_http_reader_finish(struct bw_http_reader *reader);

/** Prepares for the next message on the same stream. */
void bw_http_reader_next(struct bw_http_reader *reader);

/**
 * Reads bytes up to the end of the current message.
 * @param used_bytes receives the number of bytes taken
 */
enum bw_http_progress bw_http_reader_feed(struct bw_http_reader *reader,
					  const uint8_t *data,
					  size_t size_bytes,
					  size_t *used_bytes);

/**
 * Handles the orderly end of the stream, which completes a response without
 * a length.
 */
enum bw_http_progress bw_http_reader_end(struct bw_http_reader *reader);

/**
 * Finds a field by name, ignoring case.
 * @param value receives the value with a final zero, cut to its size
 * @return whether the field exists and its value fits
 */
bool bw_http_find(const struct bw_http_message *message, const char *name,
		  char *value, size_t value_bytes);

/** Returns the first byte of a span; it has no final zero. */
const char *bw_http_text(const struct bw_http_message *message,
			 struct bw_http_span span);

/** Returns whether the name of a field equals a text, ignoring case. */
bool bw_http_field_is(const struct bw_http_message *message,
		      const struct bw_http_field *field, const char *name);

/**
 * Returns whether a field concerns one connection or the framing only and is
 * not forwarded (RFC 9110, section 7.6.1), Connection's own list included.
 */
bool bw_http_field_is_hop_by_hop(const struct bw_http_message *message,
				 const struct bw_http_field *field);

#endif

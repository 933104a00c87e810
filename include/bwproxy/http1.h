/**
 * @file
 * Incremental reader of HTTP/1.1 messages. Buffers a whole message, so that an
 * incomplete one is never forwarded.
 */
#ifndef BWPROXY_HTTP1_H
#define BWPROXY_HTTP1_H

#include <stdbool.h>
#include <stdint.h>

#include <http_parser.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"

/** Bytes on the wire that separate a field's name and value from others, at
 * least: a colon, CR and LF. */
#define BW_HTTP_FIELD_OVERHEAD_BYTES 3

/** Bytes of a status line up to the one behind the status code. */
#define BW_HTTP_STATUS_LINE_BYTES 13

/** A range of bytes of bw_http_message.text. */
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
	struct bw_buffer text; /**< target, field names and values */
	struct bw_buffer body; /**< after removal of the transfer coding */
	struct bw_http_span target; /**< requests: as sent */
	struct bw_http_field *fields;
	uint32_t field_count;
	uint32_t field_capacity; /**< allocated */
	uint32_t connection_first; /**< index of the first Connection field */
	uint32_t connection_end; /**< index behind the last one; 0: none */
	uint8_t method; /**< requests: an enum http_method */
	uint16_t status_code; /**< responses only */
	bool head_complete;
	bool complete;
	bool keep_alive; /**< the sender keeps the connection open */
};

/** Size limits of a message. */
struct bw_http_limits {
	/** Target, names, values and BW_HTTP_FIELD_OVERHEAD_BYTES each. */
	uint32_t head_max_bytes;
	uint32_t body_max_bytes;
};

/** Result of reading. */
enum bw_http_progress {
	BW_HTTP_INCOMPLETE, /**< more bytes are needed */
	BW_HTTP_COMPLETE, /**< the message is complete */
	BW_HTTP_MALFORMED, /**< not HTTP/1.x, or not a status code of 100 to
				599 in three digits */
	BW_HTTP_HEAD_TOO_LARGE,
	BW_HTTP_BODY_TOO_LARGE,
	BW_HTTP_UNKNOWN_METHOD, /**< also CONNECT */
	BW_HTTP_NO_MEMORY /**< for a message within its limits */
};

/** Reads successive messages from a byte stream. */
struct bw_http_reader {
	http_parser parser;
	struct bw_http_message message;
	struct bw_http_limits limits;
	enum bw_http_progress
		failure; /**< BW_HTTP_INCOMPLETE while there is none */
	/** End of the last piece of the body in the bytes being read, or NULL.
	 */
	const uint8_t *body_end;
	uint64_t overhead_bytes; /**< read since body_end or the beginning */
	uint8_t last_byte; /**< that was read; 0: none */
	char status_line[BW_HTTP_STATUS_LINE_BYTES]; /**< its beginning */
	uint8_t status_line_bytes; /**< that were read */
	bool started; /**< a byte of the message was read */
	bool last_was_value; /**< the last header callback was a value */
	bool skip_body; /**< response to a HEAD request */
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

/** Frees the memory of a message and leaves it empty. */
void bw_http_message_finish(struct bw_http_message *message);

/** Resets the reader for the next message of the stream. */
void bw_http_reader_next(struct bw_http_reader *reader);

/**
 * Reads bytes up to the end of the current message.
 * @param used_bytes receives the number of bytes consumed
 */
enum bw_http_progress bw_http_reader_feed(struct bw_http_reader *reader,
					  const uint8_t *data,
					  size_t size_bytes,
					  size_t *used_bytes);

/**
 * Handles the end of the stream, which completes a response without a
 * length.
 */
enum bw_http_progress bw_http_reader_end(struct bw_http_reader *reader);

/**
 * Returns the size of the body: by its Content-Length, else what was read of
 * it.
 */
uint64_t bw_http_reader_body_bytes(const struct bw_http_reader *reader);

/** Returns whether the size of the body is known before it has arrived. */
bool bw_http_reader_knows_body_bytes(const struct bw_http_reader *reader);

/**
 * Finds a field by name, ignoring case.
 * @param value receives the NUL-terminated value
 * @param value_bytes size of value
 * @return whether the field exists and its value fits
 */
bool bw_http_find(const struct bw_http_message *message, const char *name,
		  char *value, size_t value_bytes);

/** Returns the first byte of a span, which is not NUL-terminated. */
const char *bw_http_text(const struct bw_http_message *message,
			 struct bw_http_span span);

/** Returns whether a field has the given name, ignoring case. */
bool bw_http_field_is(const struct bw_http_message *message,
		      const struct bw_http_field *field, const char *name);

/**
 * Returns whether a field applies to one connection or to the framing and is
 * not forwarded (RFC 9110, section 7.6.1). Includes the fields that the
 * Connection field lists.
 */
bool bw_http_field_is_hop_by_hop(const struct bw_http_message *message,
				 const struct bw_http_field *field);

#endif

/**
 * @file
 * HTTP header fields shared by frontend and upstream.
 */
#ifndef BWPROXY_HTTP_H
#define BWPROXY_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Content length of a body whose size is not known in advance. */
#define BW_HTTP_LENGTH_UNKNOWN (-1)

/** One header field; both strings are NUL-terminated. */
struct bw_http_header {
	const char *name;
	const char *value;
};

/** Returns whether name is a valid field name (RFC 9110 token). */
bool bw_http_name_valid(const char *name);

/** Returns whether value contains no control character except tab. */
bool bw_http_value_valid(const char *value);

/** Returns whether every name and value of the list is valid. */
bool bw_http_headers_valid(const struct bw_http_header *headers, size_t count);

/**
 * Returns whether a field applies to one connection only (RFC 9110 section
 * 7.6.1) or gives the length of the body. The frontend and the upstream set
 * such fields themselves and never forward them.
 */
bool bw_http_hop_by_hop(const char *name);

/** Returns whether target is "/" followed by printable ASCII without "#". */
bool bw_http_target_valid(const char *target);

/**
 * Parses a decimal content length.
 * @return the value, or BW_HTTP_LENGTH_UNKNOWN when text is not a decimal
 *	number or overflows
 */
int64_t bw_http_parse_length(const char *text);

#endif

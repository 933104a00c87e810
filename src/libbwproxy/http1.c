#include "bwproxy/http1.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "bwproxy/http.h"

static int on_target_(http_parser *parser, const char *data, size_t size_bytes);
static int on_name_(http_parser *parser, const char *data, size_t size_bytes);
static int on_value_(http_parser *parser, const char *data, size_t size_bytes);
static int on_head_(http_parser *parser);
static int on_body_(http_parser *parser, const char *data, size_t size_bytes);
static int on_complete_(http_parser *parser);
static void trim_last_value_(struct bw_http_message *message);
static bool check_names_(struct bw_http_message *message,
			 enum http_parser_type type);
static void find_connection_fields_(struct bw_http_message *message);
static bool is_space_(char c);
static enum bw_status add_field_(struct bw_http_message *message);
static int append_to_span_(struct bw_http_reader *reader,
			   struct bw_http_span *span, const char *data,
			   size_t size_bytes);
static int set_failure_(struct bw_http_reader *reader,
			enum bw_http_progress failure);
static bool list_contains_(const char *list, size_t list_bytes,
			   const char *name, size_t name_bytes);
static void keep_status_line_(struct bw_http_reader *reader,
			      const uint8_t *data, size_t size_bytes);
static bool is_status_line_valid_(const struct bw_http_reader *reader);
static void read_unknown_method_(struct bw_http_reader *reader,
				 const uint8_t *data, size_t size_bytes,
				 size_t *used_bytes);
static bool is_token_char_(uint8_t c);
static void check_overhead_(struct bw_http_reader *reader, const uint8_t *data,
			    size_t size_bytes);
static enum bw_http_progress current_progress_(struct bw_http_reader *reader);

static const http_parser_settings parser_settings = {
	.on_url = on_target_,
	.on_header_field = on_name_,
	.on_header_value = on_value_,
	.on_headers_complete = on_head_,
	.on_body = on_body_,
	.on_message_complete = on_complete_,
};

/** Size of the longest hop-by-hop field name, with the terminating NUL. A
 * longer name is treated as end-to-end. */
#define HOP_BY_HOP_NAME_BYTES 64

/** Multiple of head_max_bytes, and bytes in addition, that white space, the
 * extensions of a chunk or trailers may have. */
#define OVERHEAD_FACTOR 2
#define OVERHEAD_BYTES 4096

/** Number of fields for which memory is first allocated. */
#define FIELDS_MIN 16

/** Number of fields whose memory is kept between messages. */
#define FIELDS_KEPT_MAX 32

/** Size of the text whose memory is kept between messages. */
#define TEXT_KEPT_MAX_BYTES 4096

void bw_http_reader_init(struct bw_http_reader *reader,
			 enum http_parser_type type,
			 const struct bw_http_limits *limits)
{
	memset(reader, 0, sizeof(*reader));
	/* The limits of the reader apply in place of the parser's own. */
	http_parser_set_max_header_size(UINT32_MAX);
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	reader->limits = *limits;
}

void bw_http_reader_finish(struct bw_http_reader *reader)
{
	bw_http_message_finish(&reader->message);
}

void bw_http_message_finish(struct bw_http_message *message)
{
	bw_buffer_finish(&message->text);
	bw_buffer_finish(&message->body);
	free(message->fields);
	memset(message, 0, sizeof(*message));
}

void bw_http_reader_next(struct bw_http_reader *reader)
{
	struct bw_http_message kept = {
		.text = reader->message.text,
		.body = reader->message.body,
		.fields = reader->message.fields,
		.field_capacity = reader->message.field_capacity,
	};

	if (kept.text.capacity_bytes > TEXT_KEPT_MAX_BYTES)
		bw_buffer_finish(&kept.text);
	bw_buffer_clear(&kept.text);
	bw_buffer_clear(&kept.body);
	if (kept.field_capacity > FIELDS_KEPT_MAX) {
		free(kept.fields);
		kept.fields = NULL;
		kept.field_capacity = 0;
	}
	reader->message = kept;
	reader->failure = BW_HTTP_INCOMPLETE;
	reader->started = false;
	reader->last_was_value = false;
	reader->overhead_bytes = 0;
	reader->last_byte = 0;
	reader->status_line_bytes = 0;
	http_parser_init(&reader->parser,
			 (enum http_parser_type)reader->parser.type);
	reader->parser.data = reader;
}

enum bw_http_progress bw_http_reader_feed(struct bw_http_reader *reader,
					  const uint8_t *data,
					  size_t size_bytes, size_t *used_bytes)
{
	*used_bytes = 0;
	if (!size_bytes)
		return current_progress_(reader);
	reader->started = true;
	reader->body_end = NULL;
	if (reader->parser.type == HTTP_RESPONSE)
		keep_status_line_(reader, data, size_bytes);
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_PAUSED)
		http_parser_pause(&reader->parser, 0);
	*used_bytes = http_parser_execute(&reader->parser, &parser_settings,
					  (const char *)data, size_bytes);
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_INVALID_METHOD &&
	    reader->failure == BW_HTTP_INCOMPLETE)
		read_unknown_method_(reader, data, size_bytes, used_bytes);
	if (*used_bytes)
		reader->last_byte = data[*used_bytes - 1];
	check_overhead_(reader, data, *used_bytes);
	return current_progress_(reader);
}

enum bw_http_progress bw_http_reader_end(struct bw_http_reader *reader)
{
	if (reader->failure == BW_HTTP_INCOMPLETE &&
	    reader->message.head_complete && !reader->message.complete)
		http_parser_execute(&reader->parser, &parser_settings, NULL, 0);
	if (reader->message.complete)
		return BW_HTTP_COMPLETE;
	return BW_HTTP_MALFORMED;
}

uint64_t bw_http_reader_body_bytes(const struct bw_http_reader *reader)
{
	uint64_t read_bytes = reader->message.body.size_bytes;

	if (!bw_http_reader_knows_body_bytes(reader))
		return read_bytes;
	if (reader->parser.content_length > UINT64_MAX - read_bytes)
		return UINT64_MAX;
	return read_bytes + reader->parser.content_length;
}

/* The parser counts down what remains of the length. */
bool bw_http_reader_knows_body_bytes(const struct bw_http_reader *reader)
{
	return reader->message.head_complete && !reader->message.complete &&
	       !(reader->parser.flags & F_CHUNKED) &&
	       reader->parser.content_length != UINT64_MAX;
}

bool bw_http_find(const struct bw_http_message *message, const char *name,
		  char *value, size_t value_bytes)
{
	uint32_t i;

	for (i = 0; i < message->field_count; i++) {
		const struct bw_http_field *field = &message->fields[i];

		if (!bw_http_field_is(message, field, name))
			continue;
		if (field->value.size_bytes >= value_bytes)
			return false;
		memcpy(value, bw_http_text(message, field->value),
		       field->value.size_bytes);
		value[field->value.size_bytes] = '\0';
		return true;
	}
	return false;
}

const char *bw_http_text(const struct bw_http_message *message,
			 struct bw_http_span span)
{
	if (!message->text.data)
		return "";
	return (const char *)message->text.data + span.offset_bytes;
}

bool bw_http_field_is(const struct bw_http_message *message,
		      const struct bw_http_field *field, const char *name)
{
	return strlen(name) == field->name.size_bytes &&
	       !strncasecmp(bw_http_text(message, field->name), name,
			    field->name.size_bytes);
}

bool bw_http_field_is_hop_by_hop(const struct bw_http_message *message,
				 const struct bw_http_field *field)
{
	char name[HOP_BY_HOP_NAME_BYTES];
	uint32_t i;

	if (field->name.size_bytes >= sizeof(name))
		return false;
	memcpy(name, bw_http_text(message, field->name),
	       field->name.size_bytes);
	name[field->name.size_bytes] = '\0';
	if (bw_http_hop_by_hop(name) || !strcasecmp(name, "Expect"))
		return true;
	for (i = message->connection_first; i < message->connection_end; i++) {
		const struct bw_http_field *other = &message->fields[i];

		if (bw_http_field_is(message, other, "Connection") &&
		    list_contains_(bw_http_text(message, other->value),
				   other->value.size_bytes, name,
				   field->name.size_bytes))
			return true;
	}
	return false;
}

static int on_target_(http_parser *parser, const char *data, size_t size_bytes)
{
	struct bw_http_reader *reader = parser->data;

	return append_to_span_(reader, &reader->message.target, data,
			       size_bytes);
}

static int on_name_(http_parser *parser, const char *data, size_t size_bytes)
{
	struct bw_http_reader *reader = parser->data;
	struct bw_http_message *message = &reader->message;

	if (message->head_complete)
		return 0; /* trailers are not forwarded */
	if (!message->field_count || reader->last_was_value) {
		trim_last_value_(message);
		if (add_field_(message) != BW_OK)
			return set_failure_(reader, BW_HTTP_NO_MEMORY);
	}
	reader->last_was_value = false;
	return append_to_span_(reader,
			       &message->fields[message->field_count - 1].name,
			       data, size_bytes);
}

static int on_value_(http_parser *parser, const char *data, size_t size_bytes)
{
	struct bw_http_reader *reader = parser->data;
	struct bw_http_message *message = &reader->message;

	if (message->head_complete || !message->field_count)
		return 0;
	reader->last_was_value = true;
	return append_to_span_(reader,
			       &message->fields[message->field_count - 1].value,
			       data, size_bytes);
}

static int on_head_(http_parser *parser)
{
	struct bw_http_reader *reader = parser->data;
	struct bw_http_message *message = &reader->message;

	trim_last_value_(message);
	if (!check_names_(message, (enum http_parser_type)parser->type) ||
	    (parser->type == HTTP_RESPONSE && !is_status_line_valid_(reader)))
		return set_failure_(reader, BW_HTTP_MALFORMED);
	find_connection_fields_(message);
	if (parser->type == HTTP_REQUEST && parser->method == HTTP_CONNECT)
		return set_failure_(reader, BW_HTTP_UNKNOWN_METHOD);
	message->head_complete = true;
	message->method = (uint8_t)parser->method;
	message->status_code = (uint16_t)parser->status_code;
	message->keep_alive = http_should_keep_alive(parser);
	/* Servers may ignore Upgrade (RFC 9110, section 7.8). */
	if (parser->type == HTTP_REQUEST)
		parser->upgrade = 0;
	/* 1 tells the parser that the message has no body. */
	return reader->skip_body ? 1 : 0;
}

static int on_body_(http_parser *parser, const char *data, size_t size_bytes)
{
	struct bw_http_reader *reader = parser->data;
	struct bw_buffer *body = &reader->message.body;

	if (body->size_bytes + size_bytes > reader->limits.body_max_bytes)
		return set_failure_(reader, BW_HTTP_BODY_TOO_LARGE);
	if (bw_buffer_append(body, data, size_bytes) != BW_OK)
		return set_failure_(reader, BW_HTTP_NO_MEMORY);
	reader->body_end = (const uint8_t *)data + size_bytes;
	return 0;
}

static int on_complete_(http_parser *parser)
{
	struct bw_http_reader *reader = parser->data;

	reader->message.complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

/* White space around a value is no part of it (RFC 9110, section 5.5). */
static void trim_last_value_(struct bw_http_message *message)
{
	const char *text = (const char *)message->text.data;
	struct bw_http_span *value;

	if (!message->field_count)
		return;
	value = &message->fields[message->field_count - 1].value;
	while (value->size_bytes &&
	       is_space_(text[value->offset_bytes + value->size_bytes - 1]))
		value->size_bytes--;
	while (value->size_bytes && is_space_(text[value->offset_bytes])) {
		value->offset_bytes++;
		value->size_bytes--;
	}
}

/*
 * White space before the colon: two readers could take the field for different
 * ones, and so see different ends of the message. Invalid in a request, and
 * removed from a response (RFC 9112, section 5.1).
 */
static bool check_names_(struct bw_http_message *message,
			 enum http_parser_type type)
{
	const char *text = (const char *)message->text.data;
	uint32_t i;

	for (i = 0; i < message->field_count; i++) {
		struct bw_http_span *name = &message->fields[i].name;
		const char *start = text + name->offset_bytes;

		while (type == HTTP_RESPONSE && name->size_bytes &&
		       is_space_(start[name->size_bytes - 1]))
			name->size_bytes--;
		if (!name->size_bytes || memchr(start, ' ', name->size_bytes) ||
		    memchr(start, '\t', name->size_bytes))
			return false;
	}
	return true;
}

/* Keeps the check of many fields against the Connection fields short. */
static void find_connection_fields_(struct bw_http_message *message)
{
	uint32_t i;

	for (i = 0; i < message->field_count; i++) {
		if (!bw_http_field_is(message, &message->fields[i],
				      "Connection"))
			continue;
		if (!message->connection_end)
			message->connection_first = i;
		message->connection_end = i + 1;
	}
}

static bool is_space_(char c)
{
	return c == ' ' || c == '\t';
}

/* The limit of the head bounds the number of fields. */
static enum bw_status add_field_(struct bw_http_message *message)
{
	uint32_t capacity = message->field_capacity;
	struct bw_http_field *fields;

	if (message->field_count == capacity) {
		capacity = capacity ? 2 * capacity : FIELDS_MIN;
		fields = realloc(message->fields, capacity * sizeof(*fields));
		if (!fields)
			return BW_ENOMEM;
		message->fields = fields;
		message->field_capacity = capacity;
	}
	memset(&message->fields[message->field_count++], 0,
	       sizeof(*message->fields));
	return BW_OK;
}

/* The parser may deliver one span in several contiguous pieces. */
static int append_to_span_(struct bw_http_reader *reader,
			   struct bw_http_span *span, const char *data,
			   size_t size_bytes)
{
	struct bw_buffer *text = &reader->message.text;
	size_t overhead_bytes = (size_t)reader->message.field_count *
				BW_HTTP_FIELD_OVERHEAD_BYTES;

	if (text->size_bytes + overhead_bytes + size_bytes >
	    reader->limits.head_max_bytes)
		return set_failure_(reader, BW_HTTP_HEAD_TOO_LARGE);
	if (!span->size_bytes)
		span->offset_bytes = (uint32_t)text->size_bytes;
	if (bw_buffer_append(text, data, size_bytes) != BW_OK)
		return set_failure_(reader, BW_HTTP_NO_MEMORY);
	span->size_bytes += (uint32_t)size_bytes;
	return 0;
}

static int set_failure_(struct bw_http_reader *reader,
			enum bw_http_progress failure)
{
	reader->failure = failure;
	return -1;
}

static bool list_contains_(const char *list, size_t list_bytes,
			   const char *name, size_t name_bytes)
{
	size_t end = 0;

	while (end < list_bytes) {
		size_t start = end;
		size_t last;

		while (end < list_bytes && list[end] != ',')
			end++;
		last = end;
		while (start < last && is_space_(list[start]))
			start++;
		while (start < last && is_space_(list[last - 1]))
			last--;
		if (last - start == name_bytes &&
		    !strncasecmp(list + start, name, name_bytes))
			return true;
		end++;
	}
	return false;
}

/* Line ends before the status line are skipped, as by the parser. */
static void keep_status_line_(struct bw_http_reader *reader,
			      const uint8_t *data, size_t size_bytes)
{
	size_t i;

	for (i = 0; i < size_bytes &&
		    reader->status_line_bytes < BW_HTTP_STATUS_LINE_BYTES;
	     i++) {
		if (!reader->status_line_bytes &&
		    (data[i] == '\r' || data[i] == '\n'))
			continue;
		reader->status_line[reader->status_line_bytes++] =
			(char)data[i];
	}
}

/*
 * The parser takes any number of digits for a status code (RFC 9112, section
 * 4), and reads on after one that no response has.
 */
static bool is_status_line_valid_(const struct bw_http_reader *reader)
{
	static const char pattern[] = "HTTP/d.d cdde";
	size_t i;

	if (reader->status_line_bytes < BW_HTTP_STATUS_LINE_BYTES)
		return false;
	for (i = 0; i < BW_HTTP_STATUS_LINE_BYTES; i++) {
		char c = reader->status_line[i];
		bool valid = c == pattern[i];

		if (pattern[i] == 'd')
			valid = c >= '0' && c <= '9';
		else if (pattern[i] == 'c') /* the class */
			valid = c >= '1' && c <= '5';
		else if (pattern[i] == 'e') /* the end */
			valid = c == ' ' || c == '\r' || c == '\n';
		if (!valid)
			return false;
	}
	return true;
}

/* The parser stops within a method that it does not know; a valid one is a
 * token and a space. */
static void read_unknown_method_(struct bw_http_reader *reader,
				 const uint8_t *data, size_t size_bytes,
				 size_t *used_bytes)
{
	size_t i = *used_bytes;
	uint8_t previous = i ? data[i - 1] : reader->last_byte;

	while (i < size_bytes && is_token_char_(data[i]))
		previous = data[i++];
	*used_bytes = i;
	if (i < size_bytes)
		reader->failure = data[i] == ' ' && is_token_char_(previous)
					  ? BW_HTTP_UNKNOWN_METHOD
					  : BW_HTTP_MALFORMED;
}

static bool is_token_char_(uint8_t c)
{
	const char text[] = { (char)c, '\0' };

	return bw_http_name_valid(text);
}

/* Bounds what the parser reads but does not deliver, between two pieces of the
 * body. */
static void check_overhead_(struct bw_http_reader *reader, const uint8_t *data,
			    size_t size_bytes)
{
	uint64_t max_bytes =
		OVERHEAD_FACTOR * (uint64_t)reader->limits.head_max_bytes +
		OVERHEAD_BYTES;

	if (reader->body_end) {
		size_bytes -= (size_t)(reader->body_end - data);
		reader->overhead_bytes = 0;
	}
	reader->overhead_bytes += size_bytes;
	if (reader->overhead_bytes > max_bytes && !reader->message.complete &&
	    reader->failure == BW_HTTP_INCOMPLETE)
		reader->failure = BW_HTTP_HEAD_TOO_LARGE;
}

static enum bw_http_progress current_progress_(struct bw_http_reader *reader)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&reader->parser);

	if (reader->failure != BW_HTTP_INCOMPLETE)
		return reader->failure;
	if (reader->message.complete)
		return BW_HTTP_COMPLETE;
	if (error == HPE_INVALID_METHOD)
		return BW_HTTP_INCOMPLETE;
	if ((error != HPE_OK && error != HPE_PAUSED) || reader->parser.upgrade)
		return reader->failure = BW_HTTP_MALFORMED;
	return BW_HTTP_INCOMPLETE;
}

#include "bwbase/log.h"

#include <assert.h>
#include <jansson.h>
#include <math.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "bwbase/clock.h"

#define TIME_TEXT_BYTES 32

/** Characters that are escaped in a JSON string. */
#define ESCAPED_CHARACTERS                                         \
	"\"\\\x01\x02\x03\x04\x05\x06\x07\x08\x09\x0a\x0b\x0c\x0d" \
	"\x0e\x0f\x10\x11\x12\x13\x14\x15\x16\x17\x18\x19\x1a\x1b" \
	"\x1c\x1d\x1e\x1f"

/** One in this many requests is logged while the buffer fills. */
#define SAMPLE_INTERVAL 16

/** Maximum size of one write; a writable pipe accepts it without blocking. */
#define FLUSH_CHUNK_BYTES 4096

static void format_time_(char text[TIME_TEXT_BYTES]);
static bool has_room_(const struct bw_log *log, enum bw_log_level level);
static void begin_line_(struct bw_log *log, enum bw_log_level level,
			const char *module, const char *event);
static bool append_fields_(struct bw_buffer *line, const char *fields,
			   va_list args);
static bool append_value_(struct bw_buffer *line, char type, va_list *args);
static void append_json_(struct bw_buffer *line, json_t *value);
static void append_text_(struct bw_buffer *line, const char *text);
static size_t utf8_bytes_(const uint8_t *text);
static void write_line_(struct bw_log *log);

const char *const bw_log_level_string[BW_LOG_LEVEL_COUNT] = {
	[BW_LOG_DEBUG] = "debug",
	[BW_LOG_INFO] = "info",
	[BW_LOG_WARNING] = "warning",
	[BW_LOG_ERROR] = "error",
};

void bw_log_init(struct bw_log *log, FILE *stream, enum bw_log_level threshold,
		 const char *host)
{
	memset(log, 0, sizeof(*log));
	log->stream = stream;
	log->threshold = threshold;
	log->fd = -1;
	bw_name_set(log->host, host);
}

void bw_log_init_buffered(struct bw_log *log, int fd,
			  uint32_t pending_max_bytes,
			  enum bw_log_level threshold, const char *host)
{
	bw_log_init(log, NULL, threshold, host);
	log->fd = fd;
	log->pending_max_bytes = pending_max_bytes;
}

void bw_log_flush(struct bw_log *log)
{
	struct pollfd poller = { .fd = log->fd, .events = POLLOUT };
	size_t written_bytes = 0;

	while (written_bytes < log->pending.size_bytes &&
	       poll(&poller, 1, 0) == 1 && (poller.revents & POLLOUT)) {
		size_t chunk_bytes = log->pending.size_bytes - written_bytes;
		ssize_t written;

		if (chunk_bytes > FLUSH_CHUNK_BYTES)
			chunk_bytes = FLUSH_CHUNK_BYTES;
		written = write(log->fd, log->pending.data + written_bytes,
				chunk_bytes);
		if (written <= 0)
			break;
		written_bytes += (size_t)written;
	}
	bw_buffer_consume(&log->pending, written_bytes);
	if (log->dropped_count > log->dropped_reported &&
	    log->pending.size_bytes < log->pending_max_bytes / 2) {
		uint64_t count = log->dropped_count - log->dropped_reported;

		log->dropped_reported = log->dropped_count;
		bw_log_event(log, BW_LOG_WARNING, "log", "lines_dropped",
			     "{s:I}", "count", (json_int_t)count);
	}
}

bool bw_log_sampled(const struct bw_log *log, uint64_t request_hash)
{
	if (log->fd < 0 || log->pending.size_bytes < log->pending_max_bytes / 4)
		return true;
	return request_hash % SAMPLE_INTERVAL == 0;
}

void bw_log_finish(struct bw_log *log)
{
	bw_buffer_finish(&log->pending);
	bw_buffer_finish(&log->line);
}

void bw_log_event(struct bw_log *log, enum bw_log_level level,
		  const char *module, const char *event, const char *fields,
		  ...)
{
	va_list args;
	bool complete = true;

	if (level < log->threshold)
		return;
	if (log->fd >= 0 && !has_room_(log, level)) {
		log->dropped_count++;
		return;
	}
	begin_line_(log, level, module, event);
	if (fields) {
		va_start(args, fields);
		complete = append_fields_(&log->line, fields, args);
		va_end(args);
	}
	assert(complete);
	(void)complete;
	write_line_(log);
	log->line_count[level]++;
}

int bw_log_level_find(const char *name)
{
	int i;

	for (i = 0; i < BW_LOG_LEVEL_COUNT; i++) {
		if (!strcmp(bw_log_level_string[i], name))
			return i;
	}
	return -1;
}

static void format_time_(char text[TIME_TEXT_BYTES])
{
	int64_t now_ms = bw_wall_ms();
	time_t seconds = (time_t)(now_ms / 1000);
	struct tm tm;
	size_t length;

	gmtime_r(&seconds, &tm);
	length = strftime(text, TIME_TEXT_BYTES, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(text + length, TIME_TEXT_BYTES - length, ".%03dZ",
		 (int)(now_ms % 1000));
}

static bool has_room_(const struct bw_log *log, enum bw_log_level level)
{
	size_t limit_bytes = log->pending_max_bytes;

	if (level < BW_LOG_WARNING)
		limit_bytes = limit_bytes / 4 * 3;
	return log->pending.size_bytes < limit_bytes;
}

static void begin_line_(struct bw_log *log, enum bw_log_level level,
			const char *module, const char *event)
{
	char time_text[TIME_TEXT_BYTES];

	format_time_(time_text);
	bw_buffer_clear(&log->line);
	bw_buffer_printf(&log->line,
			 "{\"time\":\"%s\",\"level\":\"%s\",\"host\":",
			 time_text, bw_log_level_string[level]);
	append_text_(&log->line, log->host);
	bw_buffer_printf(&log->line, ",\"module\":\"%s\",\"event\":\"%s\"",
			 module, event);
}

/*
 * Appends the values of a format such as "{s:s,s:i}". A line is written for
 * each request, so that values are not built first as for json_pack, whose
 * formats these are.
 */
static bool append_fields_(struct bw_buffer *line, const char *fields,
			   va_list args)
{
	const char *c;
	bool is_key = true;
	bool complete = true;
	va_list rest;

	va_copy(rest, args);
	for (c = fields; *c && complete; c++) {
		if (strchr("{}:, ", *c))
			continue;
		if (is_key) {
			bw_buffer_append(line, ",", 1);
			append_text_(line, va_arg(rest, const char *));
			bw_buffer_append(line, ":", 1);
		} else {
			complete = append_value_(line, *c, &rest);
		}
		is_key = !is_key;
	}
	va_end(rest);
	return complete;
}

/* @return false for a type that no line uses */
static bool append_value_(struct bw_buffer *line, char type, va_list *args)
{
	double number;

	switch (type) {
	case 's':
		append_text_(line, va_arg(*args, const char *));
		return true;
	case 'i':
		bw_buffer_printf(line, "%d", va_arg(*args, int));
		return true;
	case 'I':
		bw_buffer_printf(line, "%lld",
				 (long long)va_arg(*args, json_int_t));
		return true;
	case 'b':
		bw_buffer_printf(line, "%s",
				 va_arg(*args, int) ? "true" : "false");
		return true;
	case 'f':
		number = va_arg(*args, double);
		if (isfinite(number))
			bw_buffer_printf(line, "%.9g", number);
		else
			bw_buffer_append(line, "null", 4);
		return true;
	case 'o':
		append_json_(line, va_arg(*args, json_t *));
		return true;
	default:
		return false;
	}
}

/* Frees the value. */
static void append_json_(struct bw_buffer *line, json_t *value)
{
	char *text = value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY)
			   : NULL;

	bw_buffer_printf(line, "%s", text ? text : "null");
	free(text);
	json_decref(value);
}

/* Appends a JSON string; bytes that are not UTF-8 become question marks. */
static void append_text_(struct bw_buffer *line, const char *text)
{
	const uint8_t *c = (const uint8_t *)text;

	if (!text) {
		bw_buffer_append(line, "null", 4);
		return;
	}
	bw_buffer_append(line, "\"", 1);
	while (*c) {
		size_t plain = strcspn((const char *)c, ESCAPED_CHARACTERS);
		size_t bytes = 0;

		while (bytes < plain && c[bytes] < 0x80)
			bytes++;
		bw_buffer_append(line, c, bytes);
		c += bytes;
		if (!*c)
			break;
		if (bytes < plain) {
			size_t length = utf8_bytes_(c);

			bw_buffer_append(line, length ? (const char *)c : "?",
					 length ? length : 1);
			c += length ? length : 1;
			continue;
		}
		if (*c == '"' || *c == '\\')
			bw_buffer_printf(line, "\\%c", *c);
		else
			bw_buffer_printf(line, "\\u%04x", *c);
		c++;
	}
	bw_buffer_append(line, "\"", 1);
}

/* Returns the length of a multi-byte character; 0 when it is not valid. */
static size_t utf8_bytes_(const uint8_t *text)
{
	size_t bytes = text[0] >= 0xf0 ? 4 : text[0] >= 0xe0 ? 3 : 2;
	uint32_t minimum = bytes == 4 ? 0x10000 : bytes == 3 ? 0x800 : 0x80;
	uint32_t code = text[0] & (0xffU >> (bytes + 1));
	size_t i;

	if (text[0] < 0xc2 || text[0] > 0xf4)
		return 0;
	for (i = 1; i < bytes; i++) {
		if ((text[i] & 0xc0) != 0x80)
			return 0;
		code = code << 6 | (text[i] & 0x3fU);
	}
	if (code < minimum || code > 0x10ffff ||
	    (code >= 0xd800 && code <= 0xdfff))
		return 0;
	return bytes;
}

static void write_line_(struct bw_log *log)
{
	if (bw_buffer_append(&log->line, "}\n", 2) != BW_OK) {
		log->dropped_count++;
		return;
	}
	if (log->fd < 0) {
		fwrite(log->line.data, 1, log->line.size_bytes, log->stream);
		fflush(log->stream);
		return;
	}
	if (bw_buffer_append(&log->pending, log->line.data,
			     log->line.size_bytes) != BW_OK)
		log->dropped_count++;
}

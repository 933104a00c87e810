#include "bwbase/log.h"

#include <assert.h>
#include <jansson.h>
#include <poll.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "bwbase/clock.h"

#define TIME_TEXT_BYTES 32

/** One in this many requests is logged while the buffer fills. */
#define SAMPLE_INTERVAL 16

/** Maximum size of one write; a writable pipe accepts it without blocking. */
#define FLUSH_CHUNK_BYTES 4096

static void format_time_(char text[TIME_TEXT_BYTES]);
static bool has_room_(const struct bw_log *log, enum bw_log_level level);
static void write_line_(struct bw_log *log, const json_t *line);

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
}

void bw_log_event(struct bw_log *log, enum bw_log_level level,
		  const char *module, const char *event, const char *fields,
		  ...)
{
	char time_text[TIME_TEXT_BYTES];
	json_t *line;
	json_t *extra;
	va_list args;

	if (level < log->threshold)
		return;
	if (log->fd >= 0 && !has_room_(log, level)) {
		log->dropped_count++;
		return;
	}
	format_time_(time_text);
	line = json_pack("{s:s, s:s, s:s, s:s, s:s}", "time", time_text,
			 "level", bw_log_level_string[level], "host", log->host,
			 "module", module, "event", event);
	if (!line)
		return;
	if (fields) {
		va_start(args, fields);
		extra = json_vpack_ex(NULL, 0, fields, args);
		va_end(args);
		if (extra)
			json_object_update(line, extra);
		json_decref(extra);
	}
	write_line_(log, line);
	json_decref(line);
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

static void write_line_(struct bw_log *log, const json_t *line)
{
	char *text;

	if (log->fd < 0) {
		json_dumpf(line, log->stream, JSON_COMPACT);
		fputc('\n', log->stream);
		fflush(log->stream);
		return;
	}
	text = json_dumps(line, JSON_COMPACT);
	if (!text || bw_buffer_printf(&log->pending, "%s\n", text) != BW_OK)
		log->dropped_count++;
	free(text);
}

#include "bwbase/log.h"

#include <assert.h>
#include <jansson.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>

#include "bwbase/clock.h"

#define TIME_TEXT_BYTES 32

static void format_time_(char text[TIME_TEXT_BYTES]);

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
	bw_name_set(log->host, host);
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
	json_dumpf(line, log->stream, JSON_COMPACT);
	fputc('\n', log->stream);
	fflush(log->stream);
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

/**
 * @file
 * Logger that writes one JSON object a line.
 */
#ifndef BWBASE_LOG_H
#define BWBASE_LOG_H

#include <stdint.h>
#include <stdio.h>

#include "bwbase/packet.h"

/** Severity of a log line. */
enum bw_log_level {
	BW_LOG_DEBUG,
	BW_LOG_INFO,
	BW_LOG_WARNING,
	BW_LOG_ERROR,
	BW_LOG_LEVEL_COUNT
};

/** Stable names of enum bw_log_level. */
extern const char *const bw_log_level_string[BW_LOG_LEVEL_COUNT];

/** A logger. */
struct bw_log {
	FILE *stream;
	enum bw_log_level threshold; /**< lines below it are not written */
	char host[BW_NAME_MAX];
	uint64_t line_count[BW_LOG_LEVEL_COUNT]; /**< written, by level */
};

/**
 * Initialises a logger.
 * @param stream destination; stays owned by the caller
 * @param host value of the field "host" in each line
 */
void bw_log_init(struct bw_log *log, FILE *stream, enum bw_log_level threshold,
		 const char *host);

/**
 * Writes one line with the fields time (UTC, milliseconds), level, host,
 * module and event, followed by the given fields.
 * @param module module that reports, for example "replica"
 * @param event stable event name, for example "leader_elected"
 * @param fields json_pack format of one object, or NULL for no fields; its
 *	arguments follow
 */
void bw_log_event(struct bw_log *log, enum bw_log_level level,
		  const char *module, const char *event, const char *fields,
		  ...);

/** Finds the level of a name; returns -1 if there is none. */
int bw_log_level_find(const char *name);

#endif

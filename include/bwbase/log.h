/**
 * @file
 * Logger that writes one JSON object per line.
 */
#ifndef BWBASE_LOG_H
#define BWBASE_LOG_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "bwbase/buffer.h"
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
	int fd; /**< of a buffered logger; -1 otherwise */
	struct bw_buffer line; /**< that is being written */
	struct bw_buffer pending; /**< unwritten lines of a buffered logger */
	uint32_t pending_max_bytes;
	uint64_t dropped_count; /**< lines that did not fit */
	uint64_t dropped_reported; /**< of these, already reported by a line */
};

/**
 * Initialises a logger.
 * @param stream destination; stays owned by the caller
 * @param host value of the field "host" in each line
 */
void bw_log_init(struct bw_log *log, FILE *stream, enum bw_log_level threshold,
		 const char *host);

/**
 * Initialises a logger that never blocks: lines are kept in a bounded buffer
 * until bw_log_flush. When the buffer is three quarters full, lines below
 * BW_LOG_WARNING are dropped, so that warnings and errors still fit; a later
 * line reports how many were dropped.
 * @param fd destination; stays owned by the caller
 */
void bw_log_init_buffered(struct bw_log *log, int fd,
			  uint32_t pending_max_bytes,
			  enum bw_log_level threshold, const char *host);

/**
 * Returns whether the decisions on a request are logged. While the buffer of
 * a buffered logger is at least a quarter full, one in 16 requests is sampled
 * by its hash, so that a request is logged on all hosts or on none.
 */
bool bw_log_sampled(const struct bw_log *log, uint64_t request_hash);

/** Writes as much of the buffer as possible without blocking. */
void bw_log_flush(struct bw_log *log);

/** Frees the buffer; unwritten lines are lost. */
void bw_log_finish(struct bw_log *log);

/**
 * Writes one line with the fields time (UTC, milliseconds), level, host,
 * module and event, followed by the given fields.
 * @param module reporting module, for example "replica"
 * @param event stable event name, for example "leader_elected"
 * @param fields json_pack format of one object, or NULL for no fields; its
 *	arguments follow
 */
void bw_log_event(struct bw_log *log, enum bw_log_level level,
		  const char *module, const char *event, const char *fields,
		  ...);

/** Returns the level with this name, or -1 if there is none. */
int bw_log_level_find(const char *name);

#endif
